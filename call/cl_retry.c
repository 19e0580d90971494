#include "call/cl_retry.h"

static const char *const reason_names[] = {
	[CL_RETRY_NOT_RUN] = "not-run",
	[CL_RETRY_IDEMPOTENT] = "idempotent",
	[CL_RETRY_DRAINING] = "endpoint-draining",
	[CL_RETRY_REFUSED_UNSAFE] = "may-have-run",
	[CL_RETRY_REFUSED_FINAL] = "final",
	[CL_RETRY_REFUSED_ATTEMPTS] = "attempts-spent",
	[CL_RETRY_REFUSED_DEADLINE] = "deadline",
	[CL_RETRY_REFUSED_INNER] = "inner-layer",
	[CL_RETRY_REFUSED_BUDGET] = "budget-spent",
	[CL_RETRY_REFUSED_SUSPECT] = "suspect",
};

static bool is_final(int code);
static enum cl_retry_reason retry_reason(const struct cl_failure *f,
					 ba_time now);

void cl_retry_init(struct cl_retry *r)
{
	r->tokens = CL_RETRY_BUDGET_MAX;
}

void cl_retry_earn(struct cl_retry *r, double tokens, double max)
{
	r->tokens += tokens;
	if (r->tokens > max)
		r->tokens = max;
}

void cl_retry_answered(struct cl_retry *r)
{
	cl_retry_earn(r, CL_RETRY_BUDGET_RATIO, CL_RETRY_BUDGET_MAX);
}

/*
 * A draining endpoint refuses a call before any work is done, so that retry
 * costs no budget.
 */
bool cl_retry_decide(struct cl_retry *r, const struct cl_failure *f,
		     ba_time now, enum cl_retry_reason *reason)
{
	*reason = retry_reason(f, now);
	if (*reason == CL_RETRY_DRAINING)
		return true;
	if (*reason > CL_RETRY_DRAINING)
		return false;
	if (r->tokens < 1 + f->reserve) {
		*reason = CL_RETRY_REFUSED_BUDGET;
		return false;
	}
	r->tokens -= 1;
	return true;
}

const char *cl_retry_reason_name(enum cl_retry_reason reason)
{
	return reason_names[reason];
}

static enum cl_retry_reason retry_reason(const struct cl_failure *f,
					 ba_time now)
{
	bool not_run = cl_outcome_of(f->code) == CL_OUT_NOT_RUN;

	if (is_final(f->code))
		return CL_RETRY_REFUSED_FINAL;
	if (!not_run && !f->idempotent)
		return CL_RETRY_REFUSED_UNSAFE;
	if (f->attempts >= CL_ATTEMPTS_LIMIT)
		return CL_RETRY_REFUSED_ATTEMPTS;
	if (now >= f->deadline)
		return CL_RETRY_REFUSED_DEADLINE;
	if (f->code == CL_DRAINING)
		return CL_RETRY_DRAINING;
	if (not_run)
		return CL_RETRY_NOT_RUN;
	return f->inner ? CL_RETRY_REFUSED_INNER : CL_RETRY_IDEMPOTENT;
}

/*
 * A final code would be the result at any endpoint, or means that the caller no
 * longer waits.
 */
static bool is_final(int code)
{
	switch (code) {
	case CL_NO_ROUTE:
	case CL_NOT_CURRENT:
	case CL_TEAM_KEY_MISSING:
	case CL_TEAM_KEY_UNKNOWN:
	case CL_KEY_REQUIRED:
	case CL_KEY_STALE:
	case CL_KEY_MALFORMED:
	case CL_KEY_REUSED:
	case CL_KEY_IN_PROGRESS:
	case CL_REQUEST_TOO_LARGE:
	case CL_REQUEST_MALFORMED:
	case CL_DEADLINE_EXPIRED:
	case CL_CANCELLED:
		return true;
	default:
		return false;
	}
}
