#include <stdio.h>

#include "proxy/px_internal.h"

void px_work_on_answer(struct px_exchange *x, const struct px_stated_load *l)
{
	struct px_backend *be = &x->p->backend;

	/* An answer of an earlier start says nothing about this one. */
	if (x->backend_start == be->start && l->speed)
		cl_work_state(&be->work, l->speed);
}

void px_work_record(struct px_exchange *x)
{
	struct px_backend *be = &x->p->backend;

	if (x->backend_start == be->start && be->work.speed)
		cl_work_record(&be->work, x->backend_speed,
			       ba_loop_now(x->p->loop) - x->admission.started);
}

bool px_work_now(const struct px *p, struct cl_place_report *out)
{
	const struct px_backend *be = &p->backend;

	if (!be->admit || !be->presence.registered || !be->work.speed)
		return false;
	*out = (struct cl_place_report){
		.calls = cl_admit_load(be->admit),
		.slots = be->heartbeat.slots,
		.speed = be->work.speed,
		.hold = (ba_time)be->work.hold,
	};
	return true;
}

void px_work_write(const struct px_exchange *x, struct ba_buf *out)
{
	struct cl_place_report r;

	if (!px_work_now(x->p, &r))
		return;
	ba_buf_addf(out, PX_FIELD_WORK ": %u,%u,%u,%lld,%lld\r\n", r.calls,
		    r.slots, r.speed, (long long)r.hold,
		    (long long)(ba_loop_now(x->p->loop) - x->arrived_at));
}

void px_work_on_told(struct px_exchange *x, const struct ht_head *h)
{
	const char *text = ht_head_get(h, PX_FIELD_WORK);
	ba_time now = ba_loop_now(x->p->loop);
	struct cl_place_report r = {0};
	long long hold;
	long long spent;

	if (!text || !x->endpoint ||
	    sscanf(text, "%u,%u,%u,%lld,%lld", &r.calls, &r.slots, &r.speed,
		   &hold, &spent) != 5 ||
	    !r.speed)
		return;
	r.hold = MAX(hold, 0);
	r.spent = MAX(spent, 0);
	cl_route_record_work(x->p->router, x->endpoint, &r, now - x->sent_at,
			     now);
}
