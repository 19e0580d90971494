#include <glib.h>

#include "call/cl_egress.h"

/* Fraction of the time left; answers of one route differ in size by half. */
#define MARGIN_FRACTION 0.15

static bool is_sent_by(const struct cl_egress *e,
		       const struct cl_egress_call *call,
		       enum cl_egress_rank rank, ba_time until, ba_time now);
static double bytes_to_send(const struct cl_egress *e,
			    const struct cl_egress_call *call,
			    enum cl_egress_rank rank);
static ba_time send_end(const struct cl_egress *e,
			const struct cl_egress_call *call,
			enum cl_egress_rank rank, ba_time now);
static ba_time idle_link_time(const struct cl_egress *e,
			      const struct cl_egress_call *call);

enum cl_egress_rank cl_egress_admit(const struct cl_egress *e,
				    const struct cl_egress_call *call,
				    ba_time now)
{
	ba_time idle_link_end = now + idle_link_time(e, call);

	if (send_end(e, call, CL_EGRESS_IN_TIME, now) <= idle_link_end ||
	    is_sent_by(e, call, CL_EGRESS_IN_TIME, call->target, now))
		return CL_EGRESS_IN_TIME;
	if ((call->no_alternative || idle_link_end > call->target) &&
	    is_sent_by(e, call, CL_EGRESS_LATE, call->deadline, now))
		return CL_EGRESS_LATE;
	return CL_EGRESS_REFUSED;
}

void cl_egress_reserve(struct cl_egress *e, struct cl_egress_reservation *r,
		       double bytes, enum cl_egress_rank rank)
{
	r->bytes = bytes;
	r->rank = rank;
	e->reserved[rank] += bytes;
}

void cl_egress_release(struct cl_egress *e, struct cl_egress_reservation *r)
{
	e->reserved[r->rank] -= r->bytes;
	r->bytes = 0;
}

ba_time cl_egress_transmit_time(const struct cl_egress *e, double bytes)
{
	if (e->rate <= 0)
		return 0;
	return (ba_time)(bytes * (double)BA_SECOND / (double)e->rate);
}

/*
 * The margin allows for errors of the estimated sizes and times, and for the
 * answer that is being sent, which is not interrupted.  Without it, all answers
 * would end close to the target, and every second one after it.
 */
static bool is_sent_by(const struct cl_egress *e,
		       const struct cl_egress_call *call,
		       enum cl_egress_rank rank, ba_time until, ba_time now)
{
	ba_time margin = cl_egress_transmit_time(e, call->bytes) +
			 (ba_time)((double)(until - now) * MARGIN_FRACTION);

	return send_end(e, call, rank, now) <= until - margin;
}

/*
 * Bytes to send until the call's answer is complete, the answer included.  If
 * answers in time are queued, more of their bytes are sent before a late answer
 * is complete.
 */
static double bytes_to_send(const struct cl_egress *e,
			    const struct cl_egress_call *call,
			    enum cl_egress_rank rank)
{
	double in_time = call->unsent[CL_EGRESS_IN_TIME] +
			 e->reserved[CL_EGRESS_IN_TIME];
	double late =
		call->unsent[CL_EGRESS_LATE] + e->reserved[CL_EGRESS_LATE];

	if (rank == CL_EGRESS_IN_TIME) {
		in_time += call->bytes;
		return in_time + MIN(late, in_time / CL_EGRESS_IN_TIME_WEIGHT);
	}
	late += call->bytes;
	return late + CL_EGRESS_IN_TIME_WEIGHT * MIN(late, in_time);
}

/* The link keeps sending other answers while the call is processed. */
static ba_time send_end(const struct cl_egress *e,
			const struct cl_egress_call *call,
			enum cl_egress_rank rank, ba_time now)
{
	return now +
	       MAX(cl_egress_transmit_time(e, bytes_to_send(e, call, rank)),
		   idle_link_time(e, call));
}

/* Time of a call whose answer has the link to itself. */
static ba_time idle_link_time(const struct cl_egress *e,
			      const struct cl_egress_call *call)
{
	return call->service_time + cl_egress_transmit_time(e, call->bytes);
}
