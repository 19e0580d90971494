/*
 * Scheduling of calls in the queue of a backend server: sets the weight,
 * deadline and expected service time that admission control works with.
 *
 * Needed under overload that lasts for seconds, with callers that retry after
 * a refusal, and with calls that other calls wait for.
 *
 * Rules:
 * - A call is queued only while it can meet its latency target even if it takes
 *   half as long again as expected.  Otherwise all queued calls would end close
 *   to the target, and every second one after it.
 * - A call that arrives without time for that, but not too late, is queued
 *   behind those while it is expected to meet its target.
 * - A call that misses its target in any case is queued behind the other calls
 *   of its priority.
 * - A call that is short compared with the others is queued before them and may
 *   wait until its caller gives up.  It delays the others little, and most
 *   short calls belong to requests in progress elsewhere, which fail with them.
 * - All callers of a route are assumed to have the same patience (the time
 *   after which a caller gives up).  So a call with less time left is a later
 *   attempt, and its target counts from the first attempt.
 */
#ifndef CL_SCHED_H
#define CL_SCHED_H

#include "call/cl_admit.h"

#ifdef __cplusplus
extern "C" {
#endif

struct cl_sched;

/* Priorities from 0, the highest, to this, exclusive, are told apart. */
#define CL_SCHED_PRIORITIES ((uint32_t)1001 * 1001)

/**
 * enum cl_sched_class - classes of calls of one priority, in ascending order of
 * weight
 * @CL_SCHED_LATE: it is expected to miss its target
 * @CL_SCHED_TIGHT: it meets its target only if it takes no longer than expected
 * @CL_SCHED_IN_TIME: it can still meet its target
 * @CL_SCHED_SHORT: it is short compared with the other calls
 */
enum cl_sched_class {
	CL_SCHED_LATE,
	CL_SCHED_TIGHT,
	CL_SCHED_IN_TIME,
	CL_SCHED_SHORT,
};

/**
 * struct cl_sched_call - description of an arriving call
 * @route: name of its route, or NULL
 * @priority: of its team and route, 0 is the highest
 * @target: latency target, as a point in time
 * @deadline: when its caller gives up
 */
struct cl_sched_call {
	const char *route;
	uint32_t priority;
	ba_time target;
	ba_time deadline;
};

/** cl_sched_new() - create a scheduler without samples */
struct cl_sched *cl_sched_new(void);

/** cl_sched_free() - free @s; NULL is allowed */
void cl_sched_free(struct cl_sched *s);

/**
 * cl_sched_assign() - set weight, deadline and expected service time of a call
 * @c: description of the call
 * @admit: its admission state, where they are set
 *
 * Return: the class of the call.
 */
enum cl_sched_class cl_sched_assign(const struct cl_sched *s,
				    const struct cl_sched_call *c, ba_time now,
				    struct cl_admit_call *admit);

/** cl_sched_service_time() - return the service time of @route, 0 if unknown */
ba_time cl_sched_service_time(const struct cl_sched *s, const char *route);

/** cl_sched_record() - record that a call of @route held a slot for @took */
void cl_sched_record(struct cl_sched *s, const char *route, ba_time took);

/**
 * struct cl_patience - how long the callers of a route wait
 * @longest: longest time that a caller had left; decays slowly
 */
struct cl_patience {
	ba_time longest;
};

/**
 * cl_patience_spent() - estimate the time since the first attempt of a call
 * @left: how long its caller still waits
 *
 * Return: the time since the first attempt, 0 if this is the first one.
 */
ba_time cl_patience_spent(struct cl_patience *p, ba_time left);

#ifdef __cplusplus
}
#endif
#endif
