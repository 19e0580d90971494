/*
 * Retry policy: whether a failed attempt is retried on another endpoint.
 *
 * Rules:
 * - A call is retried only if it is idempotent or known not to have run.
 * - A call is retried only before its deadline, and makes at most
 *   %CL_ATTEMPTS_LIMIT attempts.
 * - Each answered call adds a fraction of a retry to the retry budget; once
 *   no calls are answered, the budget runs out and retries stop.  An owner may
 *   let each call add to it instead.
 * - The last tokens of a budget are for calls whose caller cannot come back in
 *   time after a refusal, such as calls of runs in progress.  When the endpoints
 *   of a service refuse calls at random, the budget does not suffice for all.
 * - Within a chain of calls, only the outermost call is retried if it may have
 *   run; an inner call is retried only if it was not run.
 * - A retry after the refusal of a draining endpoint needs no budget.
 */
#ifndef CL_RETRY_H
#define CL_RETRY_H

#include <stdbool.h>

#include "call/cl.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Retries that each answered call adds to the budget, and the maximum. */
#define CL_RETRY_BUDGET_RATIO 0.1
#define CL_RETRY_BUDGET_MAX 10.0

/**
 * struct cl_retry - retry budget of one service at one daemon
 * @tokens: retries left; may be fractional
 */
struct cl_retry {
	double tokens;
};

/**
 * enum cl_retry_reason - why an attempt is or is not retried
 *
 * The reasons that allow a retry come first, up to %CL_RETRY_DRAINING.
 */
enum cl_retry_reason {
	CL_RETRY_NOT_RUN,
	CL_RETRY_IDEMPOTENT,
	CL_RETRY_DRAINING,
	CL_RETRY_REFUSED_UNSAFE,
	CL_RETRY_REFUSED_FINAL,
	CL_RETRY_REFUSED_ATTEMPTS,
	CL_RETRY_REFUSED_DEADLINE,
	CL_RETRY_REFUSED_INNER,
	CL_RETRY_REFUSED_BUDGET,
	CL_RETRY_REFUSED_SUSPECT,
	CL_RETRY_REASONS,
};

/**
 * struct cl_failure - a failed attempt
 * @code: result code of the attempt
 * @idempotent: the call may run more than once
 * @inner: the call was made by a backend server while it served another call
 * @attempts: number of attempts made so far
 * @deadline: deadline of the call
 * @reserve: tokens that a retry must leave in the budget
 */
struct cl_failure {
	int code;
	bool idempotent;
	bool inner;
	unsigned int attempts;
	ba_time deadline;
	double reserve;
};

/** cl_retry_init() - fill the budget */
void cl_retry_init(struct cl_retry *r);

/** cl_retry_earn() - add @tokens to the budget, up to @max */
void cl_retry_earn(struct cl_retry *r, double tokens, double max);

/** cl_retry_answered() - add to the budget after an answered call */
void cl_retry_answered(struct cl_retry *r);

/**
 * cl_retry_decide() - whether to retry after a failed attempt
 * @reason: set in any case
 *
 * Takes a token from the budget if the retry needs one.
 */
bool cl_retry_decide(struct cl_retry *r, const struct cl_failure *f,
		     ba_time now, enum cl_retry_reason *reason);

/** cl_retry_reason_name() - return the name of @reason used in logs */
const char *cl_retry_reason_name(enum cl_retry_reason reason);

#ifdef __cplusplus
}
#endif
#endif
