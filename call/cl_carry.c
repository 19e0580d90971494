#include "call/cl_carry.h"

/* Of the time to the target; sizes of answers of a route differ by half. */
#define MARGIN_SHARE 0.15
/* Those in time that come later go first too; they leave about a third. */
#define LATE_WAIT 3

static ba_time margin(const struct cl_carry *c,
		      const struct cl_carry_call *call, ba_time now);
static ba_time sent_at(const struct cl_carry *c,
		       const struct cl_carry_call *call,
		       enum cl_carry_rank rank, ba_time now);

enum cl_carry_rank cl_carry_judge(const struct cl_carry *c,
				  const struct cl_carry_call *call, ba_time now)
{
	if (c->rate <= 0 || sent_at(c, call, CL_CARRY_IN_TIME, now) <=
				    call->target - margin(c, call, now))
		return CL_CARRY_IN_TIME;
	if (call->last &&
	    sent_at(c, call, CL_CARRY_LATE, now) <= call->deadline)
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
 * on, also when it is a late one: without room for these all answers end at
 * about the target, and every second one behind it.
 */
static ba_time margin(const struct cl_carry *c,
		      const struct cl_carry_call *call, ba_time now)
{
	return cl_carry_time(c, call->bytes) +
	       (ba_time)((double)(call->target - now) * MARGIN_SHARE);
}

/* The link goes on while the call is worked on. */
static ba_time sent_at(const struct cl_carry *c,
		       const struct cl_carry_call *call,
		       enum cl_carry_rank rank, ba_time now)
{
	double before = 0;
	ba_time wait;

	for (int i = 0; i <= (int)rank; i++)
		before += call->unsent[i] + c->promised[i];
	wait = cl_carry_time(c, before);
	if (rank == CL_CARRY_LATE)
		wait *= LATE_WAIT;
	return now + (wait > call->work ? wait : call->work) +
	       cl_carry_time(c, call->bytes);
}
