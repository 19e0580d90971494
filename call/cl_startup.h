/*
 * How long a proxy that has just started keeps a request while it lacks what
 * it needs to route it: the configuration, or any endpoint of the service.
 *
 * Needed after the loss of all processes: callers send requests from the first
 * moment on, and the configuration arrives a fraction of a second later.  A
 * caller that is refused returns after a multiple of that, too late for its
 * latency target, and together with all others.
 *
 * Rules:
 * - A request waits for a fraction of the time that its caller waits, so that
 *   it can still be served, or refused in time to be sent again.
 * - Only a proxy that has just started keeps requests.  Later there is no
 *   reason to expect what is missing.
 */
#ifndef CL_STARTUP_H
#define CL_STARTUP_H

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* How long a proxy counts as just started. */
#define CL_STARTUP_TIME (5 * BA_SECOND)

/**
 * cl_startup_wait_until() - how long a request may wait
 * @started_at: when the proxy was started
 * @arrived_at: when the request arrived
 * @caller_deadline: when its caller gives up, %BA_NEVER if unknown
 *
 * Return: the time at which it must be refused; @arrived_at or earlier if it
 * must not wait at all.
 */
ba_time cl_startup_wait_until(ba_time started_at, ba_time arrived_at,
			      ba_time caller_deadline);

#ifdef __cplusplus
}
#endif
#endif
