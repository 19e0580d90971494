/*
 * Admission control for the backend server of this daemon: starts, queues or
 * refuses each call.
 *
 * Rules:
 * - The number of running calls never exceeds the backend server's slots, its
 *   connections, or this daemon's share of the service's limit.  The adaptive
 *   concurrency limit may be lower still.
 * - The queue is bounded.  It is ordered by weight, heaviest first, then by
 *   deadline, earliest first.
 * - A call that is not expected to end before its deadline is refused before
 *   it runs.
 * - Calls start no faster than the limit that the backend server states.  The
 *   n-th in the queue is refused if the n-th start that the limit allows is too
 *   late for it.
 * - When the queue is full, the call with the lowest weight is refused.
 */
#ifndef CL_ADMIT_H
#define CL_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_list.h"
#include "call/cl.h"
#include "call/cl_limit.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum cl_admit_reason - why a call was started, queued or refused
 * @CL_ADMIT_QUEUE_FULL: the queue was full of calls that go before it
 * @CL_ADMIT_OUTWEIGHED: it was queued, and a call that goes before it arrived
 *	at the full queue
 * @CL_ADMIT_TOO_LATE: it was expected to end after its deadline
 * @CL_ADMIT_PACED: the same, as the stated limit lets it start too late
 */
enum cl_admit_reason {
	CL_ADMIT_FREE_SLOT,
	CL_ADMIT_QUEUED,
	CL_ADMIT_QUEUE_FULL,
	CL_ADMIT_OUTWEIGHED,
	CL_ADMIT_TOO_LATE,
	CL_ADMIT_RATE,
	CL_ADMIT_SHARE,
	CL_ADMIT_PACED,
	CL_ADMIT_REASONS,
};

/** enum cl_admit_action - what the owner of a call has to do with it */
enum cl_admit_action {
	CL_ADMIT_START,
	CL_ADMIT_WAIT,
	CL_ADMIT_REFUSE,
};

/**
 * enum cl_admit_result - how the backend server ended a call
 * @CL_ADMIT_SERVED: it processed the call; the duration is a sample of the
 *	service time
 * @CL_ADMIT_SHED: it rejected the call because of overload
 * @CL_ADMIT_OTHER: any other end
 */
enum cl_admit_result {
	CL_ADMIT_SERVED,
	CL_ADMIT_SHED,
	CL_ADMIT_OTHER,
};

/**
 * struct cl_admit_call - admission state of one call, embedded in its owner
 * @weight: priority; heavier calls are started first and refused last
 * @deadline: when the caller gives up, or an earlier time after which the
 *	answer has little value
 * @expected: expected service time, 0 if unknown
 * @late: it misses its target in any case, so calls in time precede it
 */
struct cl_admit_call {
	struct ba_list link;
	uint32_t weight;
	ba_time deadline;
	ba_time expected;
	ba_time started;
	bool late;
	bool waiting;
	bool running;
};

/**
 * struct cl_admit_options - limits of one backend server
 * @slots: announced number of concurrent calls
 * @connections: number of connections that it accepts
 * @queue: maximum number of queued calls
 * @adaptive: lower the concurrency limit while the announced one is too high
 * @bounded: enforce the limits; false admits every call that the rate limit
 *	allows, as the baseline of measurements
 */
struct cl_admit_options {
	uint32_t slots;
	uint32_t connections;
	uint32_t queue;
	bool adaptive;
	bool bounded;
};

struct cl_admit;

/** cl_admit_new() - create admission control with no calls */
struct cl_admit *cl_admit_new(const struct cl_admit_options *o);

/** cl_admit_free() - free @a; no call may be queued or running */
void cl_admit_free(struct cl_admit *a);

/**
 * cl_admit_set_share() - set this daemon's share of the service's limits
 * @in_flight: concurrent calls, 0 for no limit
 * @per_second: calls per second, 0 for no limit
 */
void cl_admit_set_share(struct cl_admit *a, uint32_t in_flight,
			double per_second, ba_time now);

/** cl_admit_set_slots() - set the announced number of @slots */
void cl_admit_set_slots(struct cl_admit *a, uint32_t slots);

/**
 * cl_admit_set_pace() - start calls no faster than @l allows
 * @l: read and changed until @a is freed; NULL for no limit
 */
void cl_admit_set_pace(struct cl_admit *a, struct cl_limit *l);

/** cl_admit_arrive() - start, queue or refuse an arriving call */
enum cl_admit_action cl_admit_arrive(struct cl_admit *a,
				     struct cl_admit_call *call, ba_time now,
				     enum cl_admit_reason *reason);

/**
 * cl_admit_next() - dequeue the next call to start or refuse
 * @act: set to %CL_ADMIT_START or %CL_ADMIT_REFUSE
 *
 * To be called after every event until it returns NULL.
 *
 * Return: the call that @act applies to, or NULL if there is none.
 */
struct cl_admit_call *cl_admit_next(struct cl_admit *a, ba_time now,
				    enum cl_admit_action *act,
				    enum cl_admit_reason *reason);

/**
 * cl_admit_next_at() - when to call cl_admit_next() even without an event
 *
 * Return: a time, %BA_NEVER if no call waits for the stated limit.
 */
ba_time cl_admit_next_at(const struct cl_admit *a, ba_time now);

/**
 * cl_admit_room_at() - when the stated limit would let a call start that arrives
 * now and precedes none but late ones
 *
 * Return: a time, @now if the limit does not delay it.
 */
ba_time cl_admit_room_at(const struct cl_admit *a, ba_time now);

/**
 * cl_admit_done() - release the slot of a call that has ended
 *
 * Return: whether the concurrency limit changed.
 */
bool cl_admit_done(struct cl_admit *a, struct cl_admit_call *call,
		   enum cl_admit_result result, ba_time now);

/** cl_admit_cancel() - remove a call from the queue, if it is queued */
void cl_admit_cancel(struct cl_admit *a, struct cl_admit_call *call);

/**
 * cl_admit_load() - return the number of running and queued calls
 *
 * Queued calls that are late are left out: a call in time precedes those of its
 * priority.
 */
uint32_t cl_admit_load(const struct cl_admit *a);

/** cl_admit_limit() - return the current concurrency limit */
uint32_t cl_admit_limit(const struct cl_admit *a);

/** cl_admit_reason_name() - return the name of @reason used in logs */
const char *cl_admit_reason_name(enum cl_admit_reason reason);

/**
 * cl_admit_has_capacity() - whether a daemon accepts one more call
 * @in_progress: calls in progress at the daemon
 * @limit: maximum number of calls in progress
 * @weight: weight of the called service
 * @max_weight: weight of the heaviest service, 0 to ignore weights
 *
 * Half of @limit is open to every service; the other half is open in
 * proportion to the weight, so that lighter services are refused earlier.
 */
bool cl_admit_has_capacity(uint32_t in_progress, uint32_t limit,
			   uint32_t weight, uint32_t max_weight);

#ifdef __cplusplus
}
#endif
#endif
