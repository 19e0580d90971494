#include <string.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "proxy/px_internal.h"

enum {
	QUEUE_PER_SLOT = 16, /* the wait is bounded by the deadlines */
};

static int closed_code(const struct px *p, const char *service);
static int carry(struct px_exchange *x, double bytes);
static int code_of(enum cl_admit_reason reason);
static bool is_renewed(const struct px_gate *g, const struct px_beat *b);
static bool is_late(const struct px_gate *g, const struct px_beat *b);
static void open_gate(struct px *p, const struct px_beat *b);
static void refuse_waiting(struct px *p, int code);
static struct px_exchange *find_waiting(struct px *p);

void px_gate_arrive(struct px_exchange *x)
{
	struct px *p = x->p;
	ba_time now = ba_loop_now(p->loop);
	double bytes = px_exchange_bytes(x);
	ba_time sending = cl_carry_time(&p->carry, bytes);
	const struct cl_waiter waiter = {
		.route = x->route,
		.priority = x->priority,
		.target = x->latency_target - sending,
		.deadline = x->deadline - sending,
	};
	int code = closed_code(p, x->service);
	enum cl_admit_reason reason;

	if (!code)
		code = carry(x, bytes);
	if (code) {
		px_exchange_not_run(x, code);
		return;
	}
	cl_wait_ticket(p->gate.wait, &waiter, now, &x->ticket);
	switch (cl_admit_arrive(p->gate.admit, &x->ticket, now, &reason)) {
	case CL_ADMIT_START:
		px_upstream_backend(x);
		break;
	case CL_ADMIT_WAIT:
		x->place = PX_QUEUED;
		px_gate_next(p);
		break;
	case CL_ADMIT_REFUSE:
		px_exchange_not_run(x, code_of(reason));
		break;
	}
}

void px_gate_next(struct px *p)
{
	if (!p->gate.turn.slot)
		ba_loop_arm(p->loop, &p->gate.turn, ba_loop_now(p->loop));
}

void px_gate_on_turn(struct ba_timer *t, ba_time now)
{
	struct px *p = ba_entry(t, struct px, gate.turn);
	enum cl_admit_reason reason;
	enum cl_admit_act act;
	struct cl_ticket *ticket;

	while (p->gate.admit &&
	       (ticket = cl_admit_next(p->gate.admit, now, &act, &reason))) {
		struct px_exchange *x =
			ba_entry(ticket, struct px_exchange, ticket);

		if (act == CL_ADMIT_START)
			px_upstream_backend(x);
		else
			px_exchange_not_run(x, code_of(reason));
	}
}

void px_gate_beat(struct px *p, const struct px_beat *b)
{
	struct px_gate *g = &p->gate;
	bool renewed = is_renewed(g, b);
	bool changed = renewed || b->draining != g->beat.draining ||
		       b->slots != g->beat.slots;

	if (is_late(g, b))
		return;
	open_gate(p, b);
	if (!changed)
		return;
	ba_event(b->draining ? EP_EV_DRAINING : EP_EV_JOINED,
		 "backend=%s service=%s slots=%u renewed=%d", b->backend,
		 b->service, b->slots, (int)renewed);
	p->owner->backend(p->owner, &g->beat, renewed);
	if (b->draining)
		refuse_waiting(p, CL_DRAINING);
}

void px_gate_leave(struct px *p, const char *backend)
{
	struct px_gate *g = &p->gate;

	if (!g->known || strcmp(g->beat.backend, backend) != 0)
		return;
	ba_event(EP_EV_LEFT, "backend=%s service=%s", backend, g->beat.service);
	g->known = false;
	p->owner->backend(p->owner, NULL, false);
	refuse_waiting(p, CL_DRAINING);
}

bool px_gate_open(const struct px *p, const char *service)
{
	return !closed_code(p, service);
}

static int closed_code(const struct px *p, const char *service)
{
	const struct px_gate *g = &p->gate;

	if (!g->known || strcmp(g->beat.service, service) != 0)
		return CL_NO_ENDPOINT;
	return g->beat.draining ? CL_DRAINING : 0;
}

/* Short answers do not wait for others on the link. */
static int carry(struct px_exchange *x, double bytes)
{
	struct px *p = x->p;
	const struct cl_carry_call call = {
		.bytes = bytes,
		.work = cl_wait_known(p->gate.wait, x->route),
		.target = x->latency_target,
		.deadline = x->deadline,
		.last = x->last_try,
		.unsent = {[CL_CARRY_IN_TIME] = (double)ht_link_unsent(
				   p->link, CL_CARRY_IN_TIME),
			   [CL_CARRY_LATE] = (double)ht_link_unsent(
				   p->link, CL_CARRY_LATE)},
	};
	enum cl_carry_rank rank;

	if (bytes <= HT_LINK_SHORT)
		return 0;
	rank = cl_carry_judge(&p->carry, &call, ba_loop_now(p->loop));
	if (rank == CL_CARRY_NEVER)
		return CL_LINK_FULL;
	cl_carry_begin(&p->carry, &x->carried, bytes, rank);
	return 0;
}

static int code_of(enum cl_admit_reason reason)
{
	return reason == CL_ADMIT_TOO_LATE ? CL_DEADLINE_PASSED : CL_OVERLOADED;
}

static bool is_renewed(const struct px_gate *g, const struct px_beat *b)
{
	return !g->known || strcmp(g->beat.backend, b->backend) != 0 ||
	       g->beat.born != b->born || strcmp(g->beat.service, b->service);
}

/* Of an earlier start, or said before what is known already. */
static bool is_late(const struct px_gate *g, const struct px_beat *b)
{
	if (!*g->beat.backend)
		return false;
	if (b->born != g->beat.born)
		return b->born < g->beat.born;
	return !strcmp(g->beat.backend, b->backend) &&
	       b->sequence <= g->beat.sequence;
}

static void open_gate(struct px *p, const struct px_beat *b)
{
	struct px_gate *g = &p->gate;
	const struct cl_admit_options admit = {
		.slots = b->slots,
		.connections = UINT32_MAX,
		.queue = b->slots * QUEUE_PER_SLOT,
		.bounded = true,
	};
	const struct ht_pool_options pool = {
		.to = p->o.backend,
		.idle = PX_BACKEND_IDLE,
		.most = b->slots,
		.head_limit = PX_HEAD_LIMIT_BYTES,
	};

	if (!g->admit)
		g->admit = cl_admit_new(&admit);
	if (!g->pool)
		g->pool = ht_pool_new(p->loop, &pool);
	cl_admit_resize(g->admit, b->slots);
	g->beat = *b;
	g->known = true;
}

static void refuse_waiting(struct px *p, int code)
{
	struct px_exchange *x;

	while ((x = find_waiting(p)))
		px_exchange_not_run(x, code);
}

/* From the start each time: the end of one request may end another. */
static struct px_exchange *find_waiting(struct px *p)
{
	struct ba_list *pos;

	ba_list_each(pos, &p->exchanges)
	{
		struct px_exchange *x = ba_entry(pos, struct px_exchange, link);

		if (x->place == PX_QUEUED)
			return x;
	}
	return NULL;
}
