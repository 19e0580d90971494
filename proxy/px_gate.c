#include <string.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "proxy/px_internal.h"

/* A call is short when a slot is held this many times longer on average. */
#define SHORT_SHARE 2.5

enum {
	WEIGHT_MOST = 3000,
	RANKS = 3,	 /* short, others and late ones of a priority */
	MEAN_SHARE = 64, /* of the newest in the mean of all routes */
	TIME_SHARE = 8,	 /* of the newest in the smoothed time of a route */
	ROUTES_LIMIT = 4096,
	QUEUE_PER_SLOT = 16, /* the wait is bounded by the deadlines */
};

static void fill_ticket(struct px_exchange *x, ba_time now);
static double slot_time(const struct px_gate *g);
static int closed_code(const struct px *p, const char *service);
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
	int code = closed_code(p, x->service);
	enum cl_admit_reason reason;

	if (code) {
		px_exchange_not_run(x, code);
		return;
	}
	fill_ticket(x, now);
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

/*
 * An answer is worth most within its latency target, so that a request waits
 * only for as long as it can still be met, also when it takes longer than
 * others by half: else all that waits ends about at the target, and every
 * second one behind it.  One that is late in any case goes
 * behind the others of its priority, and waits no longer than it takes.  One
 * that is short beside the others here goes first and may wait until its
 * caller gives up: it costs the others little, and most of them are calls of
 * requests that are being worked on elsewhere.
 */
static void fill_ticket(struct px_exchange *x, ba_time now)
{
	const struct px_gate *g = &x->p->gate;
	const ba_time *known =
		x->route ? g_hash_table_lookup(g->times, x->route) : NULL;
	uint32_t rank = MIN(x->priority, WEIGHT_MOST / RANKS - 1);
	struct cl_ticket *t = &x->ticket;
	bool is_short;
	bool late;

	t->expected = known ? *known : 0;
	is_short = known && (double)t->expected * SHORT_SHARE <= slot_time(g);
	late = !is_short && now + t->expected > x->latency_target;
	t->deadline = x->latency_target - t->expected / 2;
	if (is_short)
		t->deadline = x->deadline;
	else if (late)
		t->deadline = MIN(now + 2 * t->expected, x->deadline);
	t->weight = WEIGHT_MOST - RANKS * rank + is_short - late;
}

/* The time of a call as a slot sees it: long calls hold it for longer. */
static double slot_time(const struct px_gate *g)
{
	return g->mean > 0 ? g->square / g->mean : 0;
}

void px_gate_served(struct px_exchange *x)
{
	struct px_gate *g = &x->p->gate;
	ba_time took = ba_loop_now(x->p->loop) - x->ticket.started;
	ba_time *known;

	g->mean += ((double)took - g->mean) / MEAN_SHARE;
	g->square += ((double)took * (double)took - g->square) / MEAN_SHARE;
	if (!x->route)
		return;
	known = g_hash_table_lookup(g->times, x->route);
	if (known) {
		*known += (took - *known) / TIME_SHARE;
	} else if (g_hash_table_size(g->times) < ROUTES_LIMIT) {
		known = g_new(ba_time, 1);
		*known = took;
		g_hash_table_insert(g->times, g_strdup(x->route), known);
	}
}

static int closed_code(const struct px *p, const char *service)
{
	const struct px_gate *g = &p->gate;

	if (!g->known || strcmp(g->beat.service, service) != 0)
		return CL_NO_ENDPOINT;
	return g->beat.draining ? CL_DRAINING : 0;
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
