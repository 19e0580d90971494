/*
 * Answers that have begun and go on past the timeout of their route.
 *
 * Rules:
 * - An answer that has no length may have no end either: it is cut off
 *   %CL_OVERRUN_TIME after the timeout.
 * - One with a length is whole, only slow: it goes on while its caller waits, as
 *   long as it arrives fast enough to end by then.
 * - The caller of a request that states no deadline waits for as long again as
 *   the timeout.
 * - The proxy beside the backend server leaves that to the one that the request
 *   entered, which knows its caller.  That one may be frozen: an answer is cut off
 *   here %CL_OVERRUN_STALL_TIME later if it has no length or stands still.
 */
#ifndef CL_OVERRUN_H
#define CL_OVERRUN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Time after the timeout in which any answer may still end. */
#define CL_OVERRUN_TIME (250 * BA_MS)
/* How long an answer may go on after its caller has stopped waiting. */
#define CL_OVERRUN_CALLER_TIME BA_SECOND
/* How often an answer that goes on is looked at again. */
#define CL_OVERRUN_PERIOD (250 * BA_MS)
/* How long an answer for another proxy may stand still, past its deadline. */
#define CL_OVERRUN_STALL_TIME (5 * BA_SECOND)

/**
 * struct cl_overrun - an answer that is arriving
 * @arrived_at: when its request arrived
 * @route_deadline: when the timeout of the route expires
 * @caller_deadline: when the caller stops waiting, %BA_NEVER if unknown
 * @began_at: when the first byte of the answer arrived
 * @length: length of its body, -1 if unknown
 * @received: length of what has arrived of it
 */
struct cl_overrun {
	ba_time arrived_at;
	ba_time route_deadline;
	ba_time caller_deadline;
	ba_time began_at;
	int64_t length;
	uint64_t received;
};

/**
 * cl_overrun_next() - decide whether the answer may go on
 *
 * Return: when to decide again; @now if it is to be cut off.
 */
ba_time cl_overrun_next(const struct cl_overrun *o, ba_time now);

/**
 * struct cl_overrun_passed - an answer that is passed on to another proxy
 * @deadline: when the caller stops waiting or the timeout expires
 * @length: length of its body, -1 if unknown
 * @received: length of what has arrived of it
 * @received_before: the same at the decision before
 */
struct cl_overrun_passed {
	ba_time deadline;
	int64_t length;
	uint64_t received;
	uint64_t received_before;
};

/** cl_overrun_next_passed() - cl_overrun_next() beside the backend server */
ba_time cl_overrun_next_passed(const struct cl_overrun_passed *o, ba_time now);

#ifdef __cplusplus
}
#endif
#endif
