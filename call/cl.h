/*
 * Definitions shared by all modules that decide about calls: outcomes, limits
 * and header names.
 *
 * Rules:
 * - The outcome of a call is one of: answered, not run, may have run.  "Not
 *   run" is reported only when no backend server can have seen the call.
 * - A decision depends only on its state, a typed event and the time that is
 *   passed in; the modules read no clock and make no system calls.
 * - Messages carry the time left, not a deadline; each process computes a
 *   deadline of its own on arrival.
 */
#ifndef CL_H
#define CL_H

#include <stdbool.h>
#include <stddef.h>

#include "base/ba_clock.h"
#include "base/ba_result.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	CL_HEADER_LIMIT_BYTES = 32 * 1024,
	CL_BODY_LIMIT_BYTES = 1024 * 1024,
	CL_ATTEMPTS_LIMIT = 3,
	CL_RETRY_AFTER_SECONDS = 1,
};

/* Upper bound on the duration of a call; a policy row may set a lower one. */
#define CL_TIME_LIMIT (30 * BA_SECOND)

#define CL_HEADER_RESULT "X-Caraway-Result"
#define CL_HEADER_TIME_LEFT "X-Caraway-Time-Left"
#define CL_HEADER_LAYER "X-Caraway-Layer"
#define CL_HEADER_LOAD "X-Caraway-Load"
#define CL_HEADER_HOMES "X-Caraway-Key-Homes"
#define CL_HEADER_KEY "Idempotency-Key"

/** enum cl_outcome - how a call ended */
enum cl_outcome {
	CL_OUT_ANSWERED,
	CL_OUT_NOT_RUN,
	CL_OUT_MAY_HAVE_RUN,
};

/** cl_outcome_of() - map the result @code to the outcome of the call */
enum cl_outcome cl_outcome_of(int code);

/**
 * cl_code_for_caller() - choose the result code to send to the caller
 * @code: result code of the last attempt
 * @earlier_may_have_run: an earlier attempt may have run
 *
 * Return: @code, or %CL_MAY_HAVE_RUN if @code means that the call was not run
 * although an earlier attempt may have run.
 */
int cl_code_for_caller(int code, bool earlier_may_have_run);

/** cl_outcome_name() - return "answered", "not-run" or "may-have-run" */
const char *cl_outcome_name(enum cl_outcome o);

#ifdef __cplusplus
}
#endif
#endif
