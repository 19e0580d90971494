#include <string.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "proxy/px_internal.h"
#include "report/rt.h"

enum {
	QUEUE_PER_SLOT = 16, /* deadlines bound the time in the queue */
};

static void announce(struct px *p, bool renewed);
static int refusal_code(const struct px *p, const char *service);
static int reserve_link(struct px_exchange *x, double bytes);
static int code_from_reason(enum cl_admit_reason reason);
static struct ep_lifetime lifetime_of(const struct px_heartbeat *hb);
static void unregister(struct px *p, bool was_registered);
static void apply_heartbeat(struct px *p, const struct px_heartbeat *hb);
static void refuse_queued(struct px *p, int code);

void px_backend_admit(struct px_exchange *x)
{
	struct px *p = x->p;
	ba_time now = ba_loop_now(p->loop);
	double bytes = px_exchange_expected_bytes(x);
	ba_time sending = cl_egress_transmit_time(&p->egress, bytes);
	ba_time leaves_at = px_exchange_leaves_at(x);
	const struct cl_sched_call waiter = {
		.route = x->route,
		.priority = x->priority,
		.target = MIN(x->latency_target, leaves_at) - sending,
		.deadline = MIN(x->deadline, leaves_at) - sending,
	};
	int code = refusal_code(p, x->service);
	enum cl_admit_reason reason;

	if (!code)
		code = reserve_link(x, bytes);
	if (code) {
		px_exchange_on_not_run(x, code);
		return;
	}
	cl_sched_assign(p->backend.sched, &waiter, now, &x->admission);
	switch (cl_admit_arrive(p->backend.admit, &x->admission, now,
				&reason)) {
	case CL_ADMIT_START:
		px_upstream_send_backend(x);
		break;
	case CL_ADMIT_WAIT:
		x->state = PX_ATTEMPT_QUEUED;
		px_backend_schedule_dispatch(p);
		break;
	case CL_ADMIT_REFUSE:
		px_exchange_on_not_run(x, code_from_reason(reason));
		break;
	}
}

void px_backend_schedule_dispatch(struct px *p)
{
	struct ba_timer *t = &p->backend.dispatch_timer;
	ba_time now = ba_loop_now(p->loop);

	if (!t->slot || t->deadline > now)
		ba_loop_arm(p->loop, t, now);
}

void px_backend_on_dispatch(struct ba_timer *t, ba_time now)
{
	struct px *p = ba_entry(t, struct px, backend.dispatch_timer);
	enum cl_admit_reason reason;
	enum cl_admit_action act;
	struct cl_admit_call *admission;

	while (p->backend.admit &&
	       (admission =
			cl_admit_next(p->backend.admit, now, &act, &reason))) {
		struct px_exchange *x =
			ba_entry(admission, struct px_exchange, admission);

		if (act == CL_ADMIT_START && px_poison_refuses(x))
			px_exchange_on_not_run(x, CL_REQUEST_CRASHES);
		else if (act == CL_ADMIT_START)
			px_upstream_send_backend(x);
		else
			px_exchange_on_not_run(x, code_from_reason(reason));
	}
	if (p->backend.admit && !t->slot)
		ba_loop_arm(p->loop, t,
			    cl_admit_next_at(p->backend.admit, now));
}

void px_backend_on_heartbeat(struct px *p, const struct px_heartbeat *hb)
{
	struct px_backend *be = &p->backend;
	struct ep_lifetime next = lifetime_of(hb);
	enum ep_heard heard =
		ep_presence_hear(&be->presence, &next, ba_loop_now(p->loop));
	bool renewed = heard == EP_HEARD_START ||
		       strcmp(be->heartbeat.service, hb->service) != 0;
	bool changed = renewed || hb->draining != be->heartbeat.draining ||
		       hb->slots != be->heartbeat.slots;

	if (heard == EP_HEARD_PAST)
		return;
	apply_heartbeat(p, hb);
	px_rollout_check(p);
	if (renewed) {
		px_poison_on_start(p);
		px_limit_on_start(p);
		be->echoes_ids = false;
		be->names_refusals = false;
	}
	if (!changed)
		return;
	ba_event(hb->draining ? EP_EV_DRAINING : EP_EV_JOINED,
		 "backend=%s service=%s slots=%u renewed=%d", hb->backend,
		 hb->service, hb->slots, (int)renewed);
	announce(p, renewed);
	if (hb->draining)
		refuse_queued(p, CL_DRAINING);
}

/* It is remembered, as a heartbeat that was sent before may arrive later. */
void px_backend_deregister(struct px *p, const struct ep_departure *d)
{
	struct px_backend *be = &p->backend;
	bool was_registered = be->presence.registered;

	if (!ep_presence_leave(&be->presence, d, ba_loop_now(p->loop)))
		return;
	ba_event(EP_EV_LEFT, "backend=%s service=%s registered=%d unsure=%d",
		 d->backend, be->heartbeat.service, (int)was_registered,
		 (int)be->presence.left_unsure);
	unregister(p, was_registered);
}

void px_restore_backend(struct px *p, const struct ep_lifetime *known)
{
	struct px_backend *be = &p->backend;
	bool was_registered = be->presence.registered;

	if (!ep_presence_restore(&be->presence, known) || !was_registered)
		return;
	if (!be->presence.registered) {
		unregister(p, true);
		return;
	}
	be->heartbeat.draining = known->state == EP_DRAINS;
	if (be->heartbeat.draining)
		px_backend_on_departure(p);
}

bool px_backend_find_departure(const struct px *p, const char *backend,
			       int64_t start_wall_ms, struct ep_lifetime *out)
{
	*out = p->backend.presence.known;
	return out->state != EP_SERVES && !strcmp(out->backend, backend) &&
	       (!start_wall_ms || start_wall_ms == out->start_wall_ms);
}

void px_backend_on_departure(struct px *p)
{
	struct ep_lifetime told = p->backend.presence.known;

	if (!p->backend.presence.registered)
		return;
	told.state = EP_DRAINS;
	px_departure_log(p, &told);
	announce(p, false);
	refuse_queued(p, CL_DRAINING);
}

bool px_backend_is_leaving(const struct px_backend *be)
{
	return be->heartbeat.draining || be->limit.leaving;
}

ba_time px_backend_room_at(const struct px *p)
{
	ba_time now = ba_loop_now(p->loop);

	return p->backend.admit ? cl_admit_room_at(p->backend.admit, now) : now;
}

bool px_backend_accepts(const struct px *p, const char *service)
{
	return !refusal_code(p, service);
}

/* A departure that answers state is announced like one of a heartbeat. */
static void announce(struct px *p, bool renewed)
{
	const struct px_backend *be = &p->backend;
	struct ep_lifetime told = ep_presence_told(&be->presence);
	struct px_heartbeat hb = be->heartbeat;

	hb.draining = px_backend_is_leaving(be);
	if (be->presence.registered && hb.draining)
		told.state = EP_DRAINS;
	p->owner->backend_changed(
		p->owner, be->presence.registered ? &hb : NULL, &told, renewed);
}

static int refusal_code(const struct px *p, const char *service)
{
	const struct px_backend *be = &p->backend;

	if (!be->presence.registered ||
	    strcmp(be->heartbeat.service, service) != 0)
		return CL_NO_ENDPOINT;
	if (px_rollout_bars(p))
		return CL_NO_ENDPOINT;
	return px_backend_is_leaving(be) ? CL_DRAINING : 0;
}

/*
 * Reserves room on the outgoing link for the answer.  Short answers need none,
 * because they do not queue behind others on the link.
 *
 * Return: 0 or the code of a refusal.
 */
static int reserve_link(struct px_exchange *x, double bytes)
{
	struct px *p = x->p;
	ba_time leaves_at = px_exchange_leaves_at(x);
	const struct cl_egress_call call = {
		.bytes = bytes,
		.service_time =
			cl_sched_service_time(p->backend.sched, x->route),
		.target = MIN(x->latency_target, leaves_at),
		.deadline = MIN(x->deadline, leaves_at),
		.no_alternative = x->last_try,
		.unsent = {[CL_EGRESS_IN_TIME] = (double)ht_link_unsent(
				   p->link, CL_EGRESS_IN_TIME),
			   [CL_EGRESS_LATE] = (double)ht_link_unsent(
				   p->link, CL_EGRESS_LATE)},
	};
	enum cl_egress_rank rank;

	if (bytes <= HT_LINK_SHORT_BYTES)
		return 0;
	rank = cl_egress_admit(&p->egress, &call, ba_loop_now(p->loop));
	if (rank == CL_EGRESS_REFUSED)
		return CL_LINK_FULL;
	cl_egress_reserve(&p->egress, &x->reservation, bytes, rank);
	return 0;
}

static int code_from_reason(enum cl_admit_reason reason)
{
	if (reason == CL_ADMIT_PACED)
		rt_count(RT_RATE_REFUSED, 1);
	return reason == CL_ADMIT_TOO_LATE ? CL_DEADLINE_EXPIRED
					   : CL_OVERLOADED;
}

static struct ep_lifetime lifetime_of(const struct px_heartbeat *hb)
{
	return (struct ep_lifetime){
		.backend = hb->backend,
		.start_wall_ms = hb->start_wall_ms,
		.sequence = hb->sequence,
		.state = hb->draining ? EP_DRAINS : EP_SERVES,
	};
}

static void unregister(struct px *p, bool was_registered)
{
	if (was_registered)
		px_poison_on_leave(p);
	announce(p, false);
	refuse_queued(p, CL_DRAINING);
}

static void apply_heartbeat(struct px *p, const struct px_heartbeat *hb)
{
	struct px_backend *be = &p->backend;
	const struct cl_admit_options admit = {
		.slots = hb->slots,
		.connections = UINT32_MAX,
		.queue = hb->slots * QUEUE_PER_SLOT,
		.bounded = true,
	};
	const struct ht_pool_options pool = {
		.to = p->o.backend_address,
		.idle_timeout = PX_BACKEND_POOL_IDLE_TIMEOUT,
		.max_idle = hb->slots,
		.head_limit = PX_HEAD_LIMIT_BYTES,
		.account = p->memory,
	};

	if (!be->admit) {
		be->admit = cl_admit_new(&admit);
		cl_admit_set_pace(be->admit, &be->limit);
	}
	if (!be->pool)
		be->pool = ht_pool_new(p->loop, &pool);
	cl_admit_set_slots(be->admit, hb->slots);
	be->warm_at = ba_loop_now(p->loop) + hb->cold_time;
	be->heartbeat = *hb;
}

static void refuse_queued(struct px *p, int code)
{
	struct px_exchange *x;

	while ((x = px_exchange_find(p, PX_ATTEMPT_QUEUED)))
		px_exchange_on_not_run(x, code);
}
