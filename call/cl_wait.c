#include <glib.h>

#include "call/cl_wait.h"

enum {
	WEIGHT_MOST = 3000,
	RANKS = 3,	 /* short ones, others and late ones of a priority */
	MEAN_SHARE = 64, /* of the newest in the mean of all routes */
	TIME_SHARE = 8,	 /* of the newest in the smoothed time of a route */
	ROUTES_LIMIT = 4096,
	PATIENCE_SHARE = 1024, /* of a difference is forgotten each time */
};

/* A call is short when a slot is held this many times longer on average. */
#define SHORT_SHARE 2.5
#define PATIENCE_JITTER (20 * BA_MS)

/*
 * @times: smoothed time of the calls of each route, by its name
 * @mean: smoothed time of all calls, in microseconds
 * @square: smoothed square of it
 */
struct cl_wait {
	GHashTable *times;
	double mean;
	double square;
};

static double slot_time(const struct cl_wait *w);

struct cl_wait *cl_wait_new(void)
{
	struct cl_wait *w = g_new0(struct cl_wait, 1);

	w->times =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return w;
}

void cl_wait_free(struct cl_wait *w)
{
	if (!w)
		return;
	g_hash_table_destroy(w->times);
	g_free(w);
}

enum cl_wait_class cl_wait_ticket(const struct cl_wait *w,
				  const struct cl_waiter *c, ba_time now,
				  struct cl_ticket *t)
{
	uint32_t rank = MIN(c->priority, WEIGHT_MOST / RANKS - 1);
	ba_time known = cl_wait_known(w, c->route);
	enum cl_wait_class class = CL_WAIT_IN_TIME;

	if (known && (double)known * SHORT_SHARE <= slot_time(w))
		class = CL_WAIT_SHORT;
	else if (now + known > c->target)
		class = CL_WAIT_LATE;
	t->expected = known;
	t->weight = WEIGHT_MOST - RANKS * (rank + 1) + class;
	switch (class) {
	case CL_WAIT_SHORT:
		t->deadline = c->deadline;
		break;
	case CL_WAIT_LATE:
		t->deadline = MIN(now + 2 * known, c->deadline);
		break;
	case CL_WAIT_IN_TIME:
		t->deadline = c->target - known / 2;
		break;
	}
	return class;
}

ba_time cl_wait_known(const struct cl_wait *w, const char *route)
{
	const ba_time *known =
		route ? g_hash_table_lookup(w->times, route) : NULL;

	return known ? *known : 0;
}

void cl_wait_served(struct cl_wait *w, const char *route, ba_time took)
{
	double t = (double)took;
	ba_time *known;

	w->mean += (t - w->mean) / MEAN_SHARE;
	w->square += (t * t - w->square) / MEAN_SHARE;
	if (!route)
		return;
	known = g_hash_table_lookup(w->times, route);
	if (known) {
		*known += (took - *known) / TIME_SHARE;
	} else if (g_hash_table_size(w->times) < ROUTES_LIMIT) {
		known = g_new(ba_time, 1);
		*known = took;
		g_hash_table_insert(w->times, g_strdup(route), known);
	}
}

ba_time cl_patience_spent(struct cl_patience *p, ba_time left)
{
	ba_time shorter = p->longest - left;

	if (shorter <= 0) {
		p->longest = left;
		return 0;
	}
	p->longest -= shorter / PATIENCE_SHARE;
	return shorter > PATIENCE_JITTER ? shorter : 0;
}

/* The time of a call as a slot sees it: long calls hold it for longer. */
static double slot_time(const struct cl_wait *w)
{
	return w->mean > 0 ? w->square / w->mean : 0;
}
