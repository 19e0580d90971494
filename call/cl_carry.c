#include <glib.h>

#include "call/cl_carry.h"

/* Of the time there is; sizes of answers of a route differ by half. */
#define MARGIN_SHARE 0.15

static bool sent_in_time(const struct cl_carry *c,
			 const struct cl_carry_call *call,
			 enum cl_carry_rank rank, ba_time until, ba_time now);
static double before(const struct cl_carry *c, const struct cl_carry_call *call,
		     enum cl_carry_rank rank);
static ba_time sent_at(const struct cl_carry *c,
		       const struct cl_carry_call *call,
		       enum cl_carry_rank rank, ba_time now);
static ba_time least_time(const struct cl_carry *c,
			  const struct cl_carry_call *call);

enum cl_carry_rank cl_carry_judge(const struct cl_carry *c,
				  const struct cl_carry_call *call, ba_time now)
{
	ba_time on_idle_link = now + least_time(c, call);

	if (sent_at(c, call, CL_CARRY_IN_TIME, now) <= on_idle_link ||
	    sent_in_time(c, call, CL_CARRY_IN_TIME, call->target, now))
		return CL_CARRY_IN_TIME;
	if ((call->last || on_idle_link > call->target) &&
	    sent_in_time(c, call, CL_CARRY_LATE, call->deadline, now))
		return CL_CARRY_LATE;
	return CL_CARRY_NEVER;
}

void cl_carry_begin(struct cl_carry *c, struct cl_carried *t, double bytes,
		    enum cl_carry_rank rank)
{
	t->bytes = bytes;
	t->rank = rank;
	c->promised[rank] += bytes;
}

void cl_carry_end(struct cl_carry *c, struct cl_carried *t)
{
	c->promised[t->rank] -= t->bytes;
	t->bytes = 0;
}

ba_time cl_carry_time(const struct cl_carry *c, double bytes)
{
	if (c->rate <= 0)
		return 0;
	return (ba_time)(bytes * (double)BA_SECOND / (double)c->rate);
}

/*
 * Sizes and times are expected ones, and the answer that is being sent goes
 * on: without room for these all answers end at about the target, and every
 * second one behind it.
 */
static bool sent_in_time(const struct cl_carry *c,
			 const struct cl_carry_call *call,
			 enum cl_carry_rank rank, ba_time until, ba_time now)
{
	ba_time margin = cl_carry_time(c, call->bytes) +
			 (ba_time)((double)(until - now) * MARGIN_SHARE);

	return sent_at(c, call, rank, now) <= until - margin;
}

/*
 * Bytes that are sent until the call's answer is, itself included.  Where
 * answers in time wait, more of them come before a late one is through.
 */
static double before(const struct cl_carry *c, const struct cl_carry_call *call,
		     enum cl_carry_rank rank)
{
	double in_time =
		call->unsent[CL_CARRY_IN_TIME] + c->promised[CL_CARRY_IN_TIME];
	double late = call->unsent[CL_CARRY_LATE] + c->promised[CL_CARRY_LATE];

	if (rank == CL_CARRY_IN_TIME) {
		in_time += call->bytes;
		return in_time + MIN(late, in_time / CL_CARRY_WEIGHT);
	}
	late += call->bytes;
	return late + CL_CARRY_WEIGHT * MIN(late, in_time);
}

/* The link goes on while the call is worked on. */
static ba_time sent_at(const struct cl_carry *c,
		       const struct cl_carry_call *call,
		       enum cl_carry_rank rank, ba_time now)
{
	return now + MAX(cl_carry_time(c, before(c, call, rank)),
			 least_time(c, call));
}

/* Of a call whose answer has the link to itself. */
static ba_time least_time(const struct cl_carry *c,
			  const struct cl_carry_call *call)
{
	return call->work + cl_carry_time(c, call->bytes);
}
