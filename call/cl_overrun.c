#include <glib.h>

#include "call/cl_overrun.h"

static ba_time last_use(const struct cl_overrun *o);
static bool ends_by(const struct cl_overrun *o, ba_time limit, ba_time now);

ba_time cl_overrun_next(const struct cl_overrun *o, ba_time now)
{
	ba_time any_until = o->route_deadline + CL_OVERRUN_TIME;
	ba_time limit = last_use(o);

	if (now >= limit)
		return now;
	if (now < any_until)
		return MIN(any_until, limit);
	if (!ends_by(o, limit, now))
		return now;
	return MIN(now + CL_OVERRUN_PERIOD, limit);
}

ba_time cl_overrun_next_passed(const struct cl_overrun_passed *o, ba_time now)
{
	bool moves = o->length >= 0 && o->received > o->received_before;

	if (now < o->deadline + CL_OVERRUN_STALL_TIME || moves)
		return now + CL_OVERRUN_STALL_TIME;
	return now;
}

static ba_time last_use(const struct cl_overrun *o)
{
	if (o->caller_deadline == BA_NEVER)
		return 2 * o->route_deadline - o->arrived_at;
	return o->caller_deadline + CL_OVERRUN_CALLER_TIME;
}

/* Expects that the rest arrives as fast as what has arrived. */
static bool ends_by(const struct cl_overrun *o, ba_time limit, ba_time now)
{
	double took = (double)(now - o->began_at);

	if (o->length < 0 || !o->received)
		return false;
	return (double)o->began_at +
		       took * (double)o->length / (double)o->received <=
	       (double)limit;
}
