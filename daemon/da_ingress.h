/*
 * First step of a call at the daemon that accepts it from its caller.
 */
#ifndef DA_INGRESS_H
#define DA_INGRESS_H

#include "daemon/da_call.h"

/**
 * da_ingress_resolve() - determine the route, deadline and key of a call
 *
 * The caller holds da_shared.lock.
 *
 * Return: %BA_OK, or a result code that tells why the call is refused.
 */
int da_ingress_resolve(struct da_call *c);

/**
 * da_ingress_set_deadline() - set the deadline of a call
 * @limit: longest time from its arrival; the call's %CL_HEADER_TIME_LEFT
 *	may shorten it
 *
 * Return: %BA_OK, %CL_REQUEST_MALFORMED or %CL_DEADLINE_EXPIRED.
 */
int da_ingress_set_deadline(struct da_call *c, ba_time limit);

#endif
