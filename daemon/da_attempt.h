/*
 * Attempts of a call: choosing an endpoint, sending the request, receiving the
 * answer and deciding on a retry.
 */
#ifndef DA_ATTEMPT_H
#define DA_ATTEMPT_H

#include "daemon/da_call.h"

#ifdef __cplusplus
extern "C" {
#endif

/** da_attempt_init() - set the callbacks that receive answers */
void da_attempt_init(struct da_call *c);

/**
 * da_attempt_choose_endpoint() - choose an endpoint for the next attempt
 *
 * The caller holds da_shared.lock.
 *
 * Return: %BA_OK, or a result code that tells why there is no endpoint.
 */
int da_attempt_choose_endpoint(struct da_call *c);

/** da_attempt_start() - send the call to the chosen endpoint */
void da_attempt_start(struct da_call *c);

/** da_attempt_start_backend() - send the call to the own backend server */
void da_attempt_start_backend(struct da_call *c);

/**
 * da_attempt_fail() - retry the call after a failed attempt, or end it
 * @code: result code of the attempt
 * @result: how the attempt ended, for routing and the retry decision
 */
void da_attempt_fail(struct da_call *c, int code,
		     enum cl_attempt_result result);

/** da_attempt_cancel() - cancel the attempt in progress, if any */
void da_attempt_cancel(struct da_call *c);

#ifdef __cplusplus
}
#endif
#endif
