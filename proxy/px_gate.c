#include "base/ba_event.h"
#include "base/ba_result.h"
#include "proxy/px_internal.h"
#include "report/rt.h"

enum { DRAWS = 1 << 20 }; /* different random numbers */

/* Time between two lines of the log about one service. */
#define LOG_INTERVAL (1 * BA_SECOND)

/*
 * @refused: requests refused since the last line of the log
 * @logged_at: time of that line
 */
struct px_gate {
	struct cl_gate gate;
	unsigned int refused;
	ba_time logged_at;
};

static struct px_gate *find_gate(struct px_exchange *x);
static void log_refusal(struct px_exchange *x, struct px_gate *g, ba_time now);

/*
 * A request whose caller cannot be back before its target always passes: most
 * are calls of runs in progress, which would be lost with it.
 */
bool px_gate_admits(struct px_exchange *x)
{
	ba_time now = ba_loop_now(x->p->loop);
	struct px_gate *g;
	double draw;

	if (!x->may_return || !cl_gate_pays(x->p->o.link_rate))
		return true;
	draw = (double)ba_rand_below(&x->p->rand, DRAWS) / DRAWS;
	g = find_gate(x);
	x->entered_late = now >= x->latency_target;
	x->gated = cl_gate_admit(&g->gate,
				 x->entered_late ? CL_GATE_LATE
				 : x->returned	 ? CL_GATE_RETURNED
						 : CL_GATE_FRESH,
				 x->priority, draw, now);
	if (!x->gated)
		log_refusal(x, g, now);
	return x->gated;
}

void px_gate_on_accepted(struct px_exchange *x)
{
	if (x->gated)
		cl_gate_accepted(&find_gate(x)->gate, ba_loop_now(x->p->loop));
}

void px_gate_on_refused(struct px_exchange *x, int code)
{
	bool full = code == CL_OVERLOADED || code == CL_DEADLINE_EXPIRED ||
		    code == CL_LINK_FULL;

	if (x->gated && full && x->n_tried && !x->entered_late)
		cl_gate_refused(&find_gate(x)->gate, ba_loop_now(x->p->loop));
}

static struct px_gate *find_gate(struct px_exchange *x)
{
	struct px_gate *g = g_hash_table_lookup(x->p->gates, x->service);

	if (!g) {
		g = g_new0(struct px_gate, 1);
		g_hash_table_insert(x->p->gates, g_strdup(x->service), g);
	}
	return g;
}

static void log_refusal(struct px_exchange *x, struct px_gate *g, ba_time now)
{
	rt_count(RT_REFUSED_AT_ENTRY, 1);
	g->refused++;
	if (g->logged_at && now < g->logged_at + LOG_INTERVAL)
		return;
	ba_event(CL_EV_SERVICE_FULL,
		 "call=%s service=%s priority=%u late=%d accepted=%.1f "
		 "turned_away=%.1f refused=%u",
		 x->id, x->service, x->priority, (int)x->entered_late,
		 g->gate.accepted, g->gate.refused, g->refused);
	g->refused = 0;
	g->logged_at = now;
}
