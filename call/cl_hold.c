#include "call/cl_hold.h"

size_t cl_hold_limit(const struct cl_hold *h)
{
	if (h->to_proxy)
		return 0;
	return h->shared && !h->memory_tight ? CL_HOLD_SHARED_BYTES
					     : CL_HOLD_BYTES;
}
