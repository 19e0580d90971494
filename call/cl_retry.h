/*
 * Retry: whether a failed attempt is made again on another endpoint.
 *
 * Rules:
 * - Only a call that is idempotent, or that is known not to have run.
 * - Only while time is left, and at most %CL_ATTEMPTS_LIMIT attempts.
 * - Retries are a share of the answers of late; when nothing is answered
 *   any more, retries end.
 * - Of a chain of calls only the outermost tries again what may have run;
 *   an inner one tries again only what was not run.
 */
#ifndef CL_RETRY_H
#define CL_RETRY_H

#include <stdbool.h>

#include "call/cl.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CL_RETRY_SHARE 0.1
#define CL_RETRY_MOST 10.0

/** struct cl_retry - the budget of one service at one daemon */
struct cl_retry {
	double tokens;
};

/** enum cl_retry_reason - why an attempt is or is not made again */
enum cl_retry_reason {
	CL_RETRY_NOT_RUN,
	CL_RETRY_IDEMPOTENT,
	CL_RETRY_DRAINING,
	CL_RETRY_REFUSED_UNSAFE,
	CL_RETRY_REFUSED_FINAL,
	CL_RETRY_REFUSED_ATTEMPTS,
	CL_RETRY_REFUSED_DEADLINE,
	CL_RETRY_REFUSED_LAYER,
	CL_RETRY_REFUSED_BUDGET,
	CL_RETRY_REASONS,
};

/**
 * struct cl_failure - an attempt that failed
 * @code: result code of the attempt
 * @idempotent: the call may run twice
 * @inner: the call was made by a backend server while it served another
 * @attempts: made so far
 * @deadline: of the call
 */
struct cl_failure {
	int code;
	bool idempotent;
	bool inner;
	unsigned int attempts;
	ba_time deadline;
};

/** cl_retry_init() - a full budget */
void cl_retry_init(struct cl_retry *r);

/** cl_retry_answered() - a call was answered */
void cl_retry_answered(struct cl_retry *r);

/** cl_retry_decide() - whether to try again; takes from the budget if so */
bool cl_retry_decide(struct cl_retry *r, const struct cl_failure *f,
		     ba_time now, enum cl_retry_reason *reason);

/** cl_retry_reason_name() - the reason as it is logged */
const char *cl_retry_reason_name(enum cl_retry_reason reason);

#ifdef __cplusplus
}
#endif
#endif
