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
static bool is_new_start(const struct px_backend *be,
			 const struct px_heartbeat *hb);
static bool is_past(const struct px *p, const struct px_heartbeat *hb);
static struct ep_lifetime lifetime_of(const struct px_heartbeat *hb);
static bool names_another_start(const struct px_backend *be,
				const struct px_departure *d);
static void note_departure(struct px *p, const struct px_departure *d);
static void unregister(struct px *p);
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
	bool renewed = is_new_start(be, hb);
	bool changed = renewed || hb->draining != be->heartbeat.draining ||
		       hb->slots != be->heartbeat.slots;

	if (is_past(p, hb))
		return;
	apply_heartbeat(p, hb);
	if (renewed) {
		px_poison_on_start(p);
		px_limit_on_start(p);
		be->echoes_ids = false;
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
void px_backend_deregister(struct px *p, const struct px_departure *d)
{
	struct px_backend *be = &p->backend;

	if (names_another_start(be, d))
		return;
	note_departure(p, d);
	ba_event(EP_EV_LEFT, "backend=%s service=%s registered=%d unsure=%d",
		 d->backend, be->heartbeat.service, (int)be->registered,
		 (int)be->left_unsure);
	unregister(p);
}

void px_restore_backend(struct px *p, const struct ep_lifetime *known)
{
	struct px_backend *be = &p->backend;
	struct px_heartbeat *hb = &be->heartbeat;
	struct ep_lifetime own = lifetime_of(hb);
	bool same = own.start_wall_ms == known->start_wall_ms;

	if (*own.backend && !ep_lifetime_is_past(known, &own))
		return;
	if (!same || !be->registered) {
		memset(hb, 0, sizeof(*hb));
		g_strlcpy(hb->backend, known->backend, sizeof(hb->backend));
		hb->start_wall_ms = known->start_wall_ms;
		hb->sequence = known->sequence;
	}
	hb->draining = known->state == EP_DRAINS;
	hb->left = known->state == EP_HAS_LEFT;
	be->left_unsure = false;
	if (!same || hb->left)
		unregister(p);
	else if (hb->draining)
		px_backend_on_departure(p);
}

void px_backend_on_departure(struct px *p)
{
	if (!p->backend.registered)
		return;
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
	struct px_heartbeat hb = p->backend.heartbeat;

	hb.draining = px_backend_is_leaving(&p->backend);
	hb.left = hb.left && !p->backend.left_unsure;
	p->owner->backend_changed(p->owner, &hb, p->backend.registered,
				  renewed);
}

static int refusal_code(const struct px *p, const char *service)
{
	const struct px_backend *be = &p->backend;

	if (!be->registered || strcmp(be->heartbeat.service, service) != 0)
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

static bool is_new_start(const struct px_backend *be,
			 const struct px_heartbeat *hb)
{
	return !be->registered ||
	       strcmp(be->heartbeat.backend, hb->backend) != 0 ||
	       be->heartbeat.start_wall_ms != hb->start_wall_ms ||
	       strcmp(be->heartbeat.service, hb->service);
}

/*
 * Whether @hb is of a start that has left or of an earlier one, or was sent
 * before the last one.  Where it is not sure which start has left, heartbeats
 * that go on arriving show that it is another one.
 */
static bool is_past(const struct px *p, const struct px_heartbeat *hb)
{
	const struct px_backend *be = &p->backend;
	struct ep_lifetime known = lifetime_of(&be->heartbeat);
	struct ep_lifetime next = lifetime_of(hb);

	if (be->heartbeat.left && be->left_unsure &&
	    ba_loop_now(p->loop) >= be->left_at + PX_LATE_CONTROL_TIME)
		return false;
	return ep_lifetime_is_past(&known, &next);
}

static struct ep_lifetime lifetime_of(const struct px_heartbeat *hb)
{
	return (struct ep_lifetime){
		.backend = hb->backend,
		.start_wall_ms = hb->start_wall_ms,
		.sequence = hb->sequence,
		.state = hb->left	? EP_HAS_LEFT
			 : hb->draining ? EP_DRAINS
					: EP_SERVES,
	};
}

/* Whether the deregistration is a late or repeated one of an earlier start. */
static bool names_another_start(const struct px_backend *be,
				const struct px_departure *d)
{
	if (be->registered && strcmp(be->heartbeat.backend, d->backend) != 0)
		return true;
	return d->start_wall_ms &&
	       d->start_wall_ms < be->heartbeat.start_wall_ms;
}

/* Of a start that was never heard of, only the time before which it began. */
static void note_departure(struct px *p, const struct px_departure *d)
{
	struct px_backend *be = &p->backend;
	struct px_heartbeat *hb = &be->heartbeat;
	ba_time now = ba_loop_now(p->loop);
	bool known =
		!strcmp(hb->backend, d->backend) &&
		(!d->start_wall_ms || d->start_wall_ms == hb->start_wall_ms);

	be->left_unsure =
		!d->start_wall_ms &&
		(!known || (be->id_was_used &&
			    now < be->first_heard_at + PX_LATE_CONTROL_TIME));
	if (!known) {
		memset(hb, 0, sizeof(*hb));
		g_strlcpy(hb->backend, d->backend, sizeof(hb->backend));
		hb->start_wall_ms = d->start_wall_ms ? d->start_wall_ms
						     : d->received_wall_ms;
	}
	hb->left = true;
	be->left_at = now;
}

static void unregister(struct px *p)
{
	struct px_backend *be = &p->backend;

	if (!be->registered)
		return;
	be->registered = false;
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
	};

	if (!be->admit) {
		be->admit = cl_admit_new(&admit);
		cl_admit_set_pace(be->admit, &be->limit);
	}
	if (!be->pool)
		be->pool = ht_pool_new(p->loop, &pool);
	cl_admit_set_slots(be->admit, hb->slots);
	if (is_new_start(be, hb)) {
		be->first_heard_at = ba_loop_now(p->loop);
		be->id_was_used =
			!strcmp(be->heartbeat.backend, hb->backend) &&
			be->heartbeat.start_wall_ms != hb->start_wall_ms;
	}
	be->heartbeat = *hb;
	be->registered = true;
}

static void refuse_queued(struct px *p, int code)
{
	struct px_exchange *x;

	while ((x = px_exchange_find(p, PX_ATTEMPT_QUEUED)))
		px_exchange_on_not_run(x, code);
}
