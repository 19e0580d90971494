/*
 * How long a call may wait at the gate of a backend server, and behind whom:
 * what fills in the ticket that admission works with.
 *
 * The load it answers: more calls than slots for seconds, callers that come
 * back after a refusal, and calls that other calls wait for.
 *
 * Rules:
 * - A call waits only while its latency target can be met, also when it takes
 *   longer than others by half: else all that waits ends about at the target,
 *   and every second one behind it.
 * - One that is late in any case goes behind the others of its priority.
 * - One that is short beside the others goes first and may wait until its
 *   caller gives up: it costs them little, and most short ones are calls of
 *   requests that are worked on elsewhere and fail with them.
 * - Callers of one route wait equally long, so that one that waits for less
 *   has been here before: its target counts from its first attempt.
 */
#ifndef CL_WAIT_H
#define CL_WAIT_H

#include "call/cl_admit.h"

#ifdef __cplusplus
extern "C" {
#endif

struct cl_wait;

/** enum cl_wait_class - what a call is beside the others */
enum cl_wait_class {
	CL_WAIT_LATE,
	CL_WAIT_IN_TIME,
	CL_WAIT_SHORT,
};

/**
 * struct cl_waiter - what is known of a call that arrives
 * @route: its route, or NULL
 * @priority: rank of the route, 0 is the highest
 * @target: until when its answer is worth most
 * @deadline: when its caller gives up
 */
struct cl_waiter {
	const char *route;
	uint32_t priority;
	ba_time target;
	ba_time deadline;
};

/** cl_wait_new() - nothing is known yet */
struct cl_wait *cl_wait_new(void);

/** cl_wait_free() - NULL is allowed */
void cl_wait_free(struct cl_wait *w);

/** cl_wait_ticket() - fill in weight, deadline and expected time of @t */
enum cl_wait_class cl_wait_ticket(const struct cl_wait *w,
				  const struct cl_waiter *c, ba_time now,
				  struct cl_ticket *t);

/** cl_wait_known() - how long calls of @route take, 0 if not known */
ba_time cl_wait_known(const struct cl_wait *w, const char *route);

/** cl_wait_served() - a call of @route held a slot for @took */
void cl_wait_served(struct cl_wait *w, const char *route, ba_time took);

/**
 * struct cl_patience - how long the callers of a route wait
 * @longest: the longest that one has told; forgotten slowly
 */
struct cl_patience {
	ba_time longest;
};

/**
 * cl_patience_spent() - how long ago the first attempt was
 * @left: how long this one's caller waits
 */
ba_time cl_patience_spent(struct cl_patience *p, ba_time left);

#ifdef __cplusplus
}
#endif
#endif
