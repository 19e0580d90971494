/*
 * What all decisions about calls share: outcomes, limits and header names.
 *
 * Rules:
 * - A call ends answered, not run, or may have run.  "Not run" is said only
 *   when no backend server can have seen the call.
 * - A decision is a function of its state, a typed event and the time; it
 *   reads no clock and calls no system.
 * - Time left travels on the wire; each process turns it into a deadline on
 *   arrival.
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

/* Longest time a call may take when no policy row says less. */
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

/** cl_outcome_of() - what the result @code says about the call */
enum cl_outcome cl_outcome_of(int code);

/**
 * cl_code_told() - the code that a caller is told
 * @code: of the last attempt
 * @earlier_ran: an earlier attempt may have run
 *
 * Return: @code, or %CL_MAY_HAVE_RUN where it would deny that attempt.
 */
int cl_code_told(int code, bool earlier_ran);

/** cl_outcome_name() - "answered", "not-run" or "may-have-run" */
const char *cl_outcome_name(enum cl_outcome o);

#ifdef __cplusplus
}
#endif
#endif
