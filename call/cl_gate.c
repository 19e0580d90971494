#include <math.h>

#include "call/cl_gate.h"

/* Refusals below this share of all offers, or fewer, are taken for chance. */
#define CHANCE_SHARE 0.05
#define CHANCE_REFUSALS 1.0

/* How often each rank passes at least, against all requests. */
#define LEAST_SHARE 0.25

/* When a refused request returns, as shares of the time to its target. */
#define EARLIEST_RETURN 0.2
#define LATEST_RETURN 0.5

static void forget(struct cl_gate *g, ba_time now);
static struct cl_gate_rank *find_rank(struct cl_gate *g, enum cl_gate_turn turn,
				      uint32_t priority);
static bool precedes(const struct cl_gate_rank *a,
		     const struct cl_gate_rank *b);
static bool is_overloaded(const struct cl_gate *g);

bool cl_gate_pays(int64_t link_rate)
{
	return link_rate > 0 && link_rate <= CL_GATE_LINK_RATE_MAX;
}

bool cl_gate_admit(struct cl_gate *g, enum cl_gate_turn turn, uint32_t priority,
		   double draw, ba_time now)
{
	double before = 0;
	double all = 0;
	struct cl_gate_rank *own;
	double room;
	double share;

	forget(g, now);
	own = find_rank(g, turn, priority);
	own->asked++;
	if (!is_overloaded(g))
		return true;
	for (unsigned int i = 0; i < g->n_ranks; i++) {
		if (&g->ranks[i] < own)
			before += g->ranks[i].asked;
		all += g->ranks[i].asked;
	}
	room = CL_GATE_EXCESS * g->accepted + CL_GATE_SLACK;
	share = (room - before) / own->asked;
	return draw < fmax(share, LEAST_SHARE * room / all);
}

ba_time cl_gate_retry_after(ba_time target_left, double draw)
{
	return (ba_time)((double)target_left *
			 (EARLIEST_RETURN +
			  draw * (LATEST_RETURN - EARLIEST_RETURN)));
}

void cl_gate_accepted(struct cl_gate *g, ba_time now)
{
	forget(g, now);
	g->accepted++;
}

void cl_gate_refused(struct cl_gate *g, ba_time now)
{
	forget(g, now);
	g->refused++;
}

static void forget(struct cl_gate *g, ba_time now)
{
	double kept = exp(-(double)(now - g->at) / (double)CL_GATE_MEMORY);

	g->at = now;
	g->accepted *= kept;
	g->refused *= kept;
	for (unsigned int i = 0; i < g->n_ranks; i++)
		g->ranks[i].asked *= kept;
}

/* With more ranks than are kept, the last one stands for all that follow. */
static struct cl_gate_rank *find_rank(struct cl_gate *g, enum cl_gate_turn turn,
				      uint32_t priority)
{
	const struct cl_gate_rank rank = {.turn = turn, .priority = priority};
	unsigned int i = 0;

	while (i < g->n_ranks && precedes(&g->ranks[i], &rank))
		i++;
	if (i < g->n_ranks && !precedes(&rank, &g->ranks[i]))
		return &g->ranks[i];
	if (g->n_ranks == CL_GATE_RANKS)
		return &g->ranks[i < CL_GATE_RANKS ? i : CL_GATE_RANKS - 1];
	for (unsigned int j = g->n_ranks++; j > i; j--)
		g->ranks[j] = g->ranks[j - 1];
	g->ranks[i] = rank;
	return &g->ranks[i];
}

static bool precedes(const struct cl_gate_rank *a, const struct cl_gate_rank *b)
{
	if ((a->turn == CL_GATE_LATE) != (b->turn == CL_GATE_LATE))
		return b->turn == CL_GATE_LATE;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->turn < b->turn;
}

static bool is_overloaded(const struct cl_gate *g)
{
	return g->refused > CHANCE_REFUSALS &&
	       g->refused > CHANCE_SHARE * (g->accepted + g->refused);
}
