#include "call/cl.h"

static const char *const outcome_names[] = {
	[CL_OUT_ANSWERED] = "answered",
	[CL_OUT_NOT_RUN] = "not-run",
	[CL_OUT_MAY_HAVE_RUN] = "may-have-run",
};

/*
 * All other codes are set before the call reaches a backend server, so they
 * mean that it was not run.
 */
static const int may_have_run[] = {
	CL_DEADLINE_PASSED, CL_KEY_STALE, CL_MAY_HAVE_RUN,
	CL_ANSWER_BROKEN,   CL_CANCELLED, CL_KEY_IN_PROGRESS,
	BA_INTERNAL,
};

enum cl_outcome cl_outcome_of(int code)
{
	if (code == BA_OK)
		return CL_OUT_ANSWERED;
	for (size_t i = 0; i < sizeof(may_have_run) / sizeof(int); i++)
		if (may_have_run[i] == code)
			return CL_OUT_MAY_HAVE_RUN;
	return CL_OUT_NOT_RUN;
}

int cl_code_for_caller(int code, bool earlier_may_have_run)
{
	if (earlier_may_have_run && cl_outcome_of(code) == CL_OUT_NOT_RUN)
		return CL_MAY_HAVE_RUN;
	return code;
}

const char *cl_outcome_name(enum cl_outcome o)
{
	return outcome_names[o];
}
