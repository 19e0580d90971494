/*
 * Admission: which calls the backend server beside this daemon gets, when,
 * and which are refused.
 *
 * Rules:
 * - Never more calls run than the backend server has slots, connections or
 *   share of the service's limit; a limit found by observation may be lower.
 * - The queue is bounded; it is ordered by weight, then by deadline.
 * - A call that cannot end before its deadline is refused before it runs.
 * - When the queue is full the lightest call is refused.
 */
#ifndef CL_ADMIT_H
#define CL_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_list.h"
#include "call/cl.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum cl_admit_reason - why a call starts, waits or is refused */
enum cl_admit_reason {
	CL_ADMIT_FREE_SLOT,
	CL_ADMIT_QUEUED,
	CL_ADMIT_QUEUE_FULL,
	CL_ADMIT_OUTWEIGHED,
	CL_ADMIT_TOO_LATE,
	CL_ADMIT_RATE,
	CL_ADMIT_SHARE,
	CL_ADMIT_REASONS,
};

/** enum cl_admit_act - what is to be done with a call */
enum cl_admit_act {
	CL_ADMIT_START,
	CL_ADMIT_WAIT,
	CL_ADMIT_REFUSE,
};

/** enum cl_admit_seen - what the end of a call showed of the backend server */
enum cl_admit_seen {
	CL_ADMIT_SERVED,
	CL_ADMIT_SHED,
	CL_ADMIT_OTHER,
};

/**
 * struct cl_ticket - a call in admission, embedded in its owner
 * @weight: of its service; the heavier waits less and is refused later
 * @deadline: when its caller gives up, or after which its answer is worth
 *	little
 * @expected: time that calls of its kind take, 0 when that is not known
 */
struct cl_ticket {
	struct ba_list link;
	uint32_t weight;
	ba_time deadline;
	ba_time expected;
	ba_time started;
	bool waiting;
	bool running;
};

/**
 * struct cl_admit_options - how a backend server is guarded
 * @slots: calls that it runs at once, as announced
 * @connections: connections that it accepts
 * @queue: calls that may wait
 * @adaptive: find a lower limit when the announced one is too high
 * @bounded: false admits everything, the baseline of the measurements
 */
struct cl_admit_options {
	uint32_t slots;
	uint32_t connections;
	uint32_t queue;
	bool adaptive;
	bool bounded;
};

struct cl_admit;

/** cl_admit_new() - nothing runs yet */
struct cl_admit *cl_admit_new(const struct cl_admit_options *o);

/** cl_admit_free() - free it; no ticket may be in it */
void cl_admit_free(struct cl_admit *a);

/**
 * cl_admit_share() - the part of the service's limits that falls to here
 * @in_flight: calls at once, 0 for no limit
 * @per_second: calls a second, 0 for no limit
 */
void cl_admit_share(struct cl_admit *a, uint32_t in_flight, double per_second,
		    ba_time now);

/** cl_admit_resize() - the backend server has @slots from now on */
void cl_admit_resize(struct cl_admit *a, uint32_t slots);

/** cl_admit_arrive() - a call has arrived */
enum cl_admit_act cl_admit_arrive(struct cl_admit *a, struct cl_ticket *t,
				  ba_time now, enum cl_admit_reason *reason);

/**
 * cl_admit_next() - the next thing to be done after any event
 * @act: %CL_ADMIT_START or %CL_ADMIT_REFUSE
 *
 * Return: the ticket that @act is for, or NULL when nothing is left to do.
 */
struct cl_ticket *cl_admit_next(struct cl_admit *a, ba_time now,
				enum cl_admit_act *act,
				enum cl_admit_reason *reason);

/**
 * cl_admit_done() - a started call has ended
 *
 * Return: whether the limit was changed.
 */
bool cl_admit_done(struct cl_admit *a, struct cl_ticket *t,
		   enum cl_admit_seen seen, ba_time now);

/** cl_admit_leave() - the caller of a waiting call has gone */
void cl_admit_leave(struct cl_admit *a, struct cl_ticket *t);

/** cl_admit_load() - calls that run or wait */
uint32_t cl_admit_load(const struct cl_admit *a);

/** cl_admit_limit() - calls that may run at once now */
uint32_t cl_admit_limit(const struct cl_admit *a);

/** cl_admit_reason_name() - the reason as it is logged */
const char *cl_admit_reason_name(enum cl_admit_reason reason);

/**
 * cl_admit_entry() - whether a daemon takes in one more call
 * @in_progress: calls that it has, of @limit at most
 * @weight: of the service called, against the heaviest, @most
 *
 * The lighter a service, the earlier it is refused: the last half of the
 * room is open in proportion to the weight.
 */
bool cl_admit_entry(uint32_t in_progress, uint32_t limit, uint32_t weight,
		    uint32_t most);

#ifdef __cplusplus
}
#endif
#endif
