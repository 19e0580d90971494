/*
 * Attempts of a call: where it is sent, what comes back, and whether it is
 * tried again.
 */
#ifndef DA_ATTEMPT_H
#define DA_ATTEMPT_H

#include "daemon/da_call.h"

/** da_attempt_init() - let the call take answers */
void da_attempt_init(struct da_call *c);

/**
 * da_attempt_choose() - choose an endpoint; under the lock of the tables
 *
 * Return: %BA_OK, or why there is none.
 */
int da_attempt_choose(struct da_call *c);

/** da_attempt_start() - send the call to the chosen endpoint */
void da_attempt_start(struct da_call *c);

/** da_attempt_backend() - send the call to the own backend server */
void da_attempt_backend(struct da_call *c);

/** da_attempt_failed() - an attempt failed with @code: try again or fail */
void da_attempt_failed(struct da_call *c, int code,
		       enum cl_attempt_result seen);

/** da_attempt_cancel() - give up the attempt that is on its way */
void da_attempt_cancel(struct da_call *c);

#endif
