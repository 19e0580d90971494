#include <glib.h>

#include "call/cl_sched.h"

enum {
	CLASSES = 4,	   /* weights per priority, see cl_sched.h */
	MEAN_SAMPLES = 64, /* in the moving average over all routes */
	ROUTE_SAMPLES = 8, /* in the moving average of one route */
	ROUTES_LIMIT = 4096,
	PATIENCE_DECAY = 1024, /* 1/1024 of the difference per call */
};

/*
 * A call is short if the mean time for which slots are held is at least this
 * multiple of its expected service time.
 */
#define SHORT_RATIO 2.5

/*
 * A time left that is shorter than the longest by no more than this does not
 * make the call a later attempt.
 */
#define PATIENCE_JITTER (20 * BA_MS)

/*
 * @times: moving average of the service time of each route, by its name
 * @mean: moving average of the service time of all calls, in microseconds
 * @mean_square: moving average of the square of the service time
 */
struct cl_sched {
	GHashTable *times;
	double mean;
	double mean_square;
};

static double mean_slot_time(const struct cl_sched *s);

struct cl_sched *cl_sched_new(void)
{
	struct cl_sched *s = g_new0(struct cl_sched, 1);

	s->times =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return s;
}

void cl_sched_free(struct cl_sched *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->times);
	g_free(s);
}

enum cl_sched_class cl_sched_assign(const struct cl_sched *s,
				    const struct cl_sched_call *c, ba_time now,
				    struct cl_admit_call *admit)
{
	uint32_t priority = MIN(c->priority, CL_SCHED_PRIORITIES - 1);
	ba_time expected = cl_sched_service_time(s, c->route);
	enum cl_sched_class class = CL_SCHED_IN_TIME;

	if (expected && (double)expected * SHORT_RATIO <= mean_slot_time(s))
		class = CL_SCHED_SHORT;
	else if (now + expected > c->target)
		class = CL_SCHED_LATE;
	else if (now + expected + expected / 2 > c->target)
		class = CL_SCHED_TIGHT;
	admit->expected = expected;
	admit->late = class == CL_SCHED_LATE;
	admit->weight = CLASSES * (CL_SCHED_PRIORITIES - 1 - priority) + class;
	switch (class) {
	case CL_SCHED_SHORT:
		admit->deadline = c->deadline;
		break;
	case CL_SCHED_LATE:
		admit->deadline = MIN(now + 2 * expected, c->deadline);
		break;
	case CL_SCHED_TIGHT:
		admit->deadline = c->target;
		break;
	case CL_SCHED_IN_TIME:
		admit->deadline = c->target - expected / 2;
		break;
	}
	return class;
}

ba_time cl_sched_service_time(const struct cl_sched *s, const char *route)
{
	const ba_time *expected =
		route ? g_hash_table_lookup(s->times, route) : NULL;

	return expected ? *expected : 0;
}

void cl_sched_record(struct cl_sched *s, const char *route, ba_time took)
{
	double t = (double)took;
	ba_time *expected;

	s->mean += (t - s->mean) / MEAN_SAMPLES;
	s->mean_square += (t * t - s->mean_square) / MEAN_SAMPLES;
	if (!route)
		return;
	expected = g_hash_table_lookup(s->times, route);
	if (expected) {
		*expected += (took - *expected) / ROUTE_SAMPLES;
	} else if (g_hash_table_size(s->times) < ROUTES_LIMIT) {
		expected = g_new(ba_time, 1);
		*expected = took;
		g_hash_table_insert(s->times, g_strdup(route), expected);
	}
}

ba_time cl_patience_spent(struct cl_patience *p, ba_time left)
{
	ba_time shorter = p->longest - left;

	if (shorter <= 0) {
		p->longest = left;
		return 0;
	}
	p->longest -= shorter / PATIENCE_DECAY;
	return shorter > PATIENCE_JITTER ? shorter : 0;
}

/*
 * Mean service time weighted by itself: the time of the call that occupies a
 * slot at a random moment, when long calls are met more often than short ones.
 */
static double mean_slot_time(const struct cl_sched *s)
{
	return s->mean > 0 ? s->mean_square / s->mean : 0;
}
