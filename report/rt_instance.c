/*
 * When each instance was seen, that is, covered by its figures.  A promise is
 * reported as held only for times in which all daemons were seen.
 */
#include <string.h>

#include "report/rt_figures.h"
#include "report/rt_internal.h"
#include "report/rt_list.h"

static uint64_t last_seen(const RtInstance *in);
static int compare_instance(const void *key, const void *element);
static int compare_life(const void *key, const void *element);
static RtLife *get_life(struct rt_days *d, RtInstance *in, const RtFigures *f);
static void drop_oldest_life(struct rt_days *d, RtInstance *in);
static bool accept_sequence(RtLife *l, uint64_t sequence);
static void skip_sequences(RtLife *l, uint64_t n);
static void find_gap(const RtLife *l, const RtLife *next, uint64_t wall_ms,
		     RtGap *gap);
static void add_gap(GArray *gaps, const RtGap *gap, uint64_t from_ms,
		    uint64_t to_ms);

RtInstance *rt_instance_get(struct rt_days *d, const char *name)
{
	RtDays *s = d->state;
	bool found;
	size_t at = rt_list_find((void *const *)s->instances, s->n_instances,
				 name, compare_instance, &found);
	RtInstance *in;

	if (found)
		return s->instances[at];
	if (s->n_instances >= RT_INSTANCES_LIMIT)
		return NULL;
	in = g_new(RtInstance, 1);
	rt_instance__init(in);
	in->name = g_strdup(name);
	rt_list_insert((void ***)&s->instances, &s->n_instances, at, in);
	return in;
}

bool rt_instance_accept_figures(struct rt_days *d, RtInstance *in,
				const RtFigures *f)
{
	RtLife *l = get_life(d, in, f);

	if (!l || !accept_sequence(l, f->sequence))
		return false;
	if (!*in->role && *f->role)
		in->role = g_strdup(f->role);
	l->from_wall_ms = MIN(l->from_wall_ms, f->from_wall_ms);
	l->to_wall_ms = MAX(l->to_wall_ms, f->to_wall_ms);
	l->interval_ms = MAX(l->interval_ms, f->to_wall_ms - f->from_wall_ms);
	l->final = l->final || f->final;
	return true;
}

GArray *rt_gaps(const struct rt_days *d, const RtDay *day, uint64_t from_ms,
		uint64_t to_ms, uint64_t wall_ms)
{
	GArray *gaps = g_array_new(FALSE, FALSE, sizeof(RtGap));

	for (size_t i = 0; i < day->n_gaps; i++)
		add_gap(gaps, day->gaps[i], from_ms, to_ms);
	for (size_t i = 0; i < d->state->n_instances; i++) {
		const RtInstance *in = d->state->instances[i];
		RtGap gap = RT_GAP__INIT;

		gap.instance = in->name;
		gap.role = in->role;
		if (last_seen(in) + RT_INSTANCE_STALE_MS < from_ms)
			continue;
		for (size_t k = 0; k < in->n_lives; k++) {
			const RtLife *next =
				k + 1 < in->n_lives ? in->lives[k + 1] : NULL;

			find_gap(in->lives[k], next, wall_ms, &gap);
			add_gap(gaps, &gap, from_ms, to_ms);
		}
	}
	return gaps;
}

void rt_instances_prune(struct rt_days *d, uint64_t before_ms)
{
	RtDays *s = d->state;
	size_t kept = 0;

	for (size_t i = 0; i < s->n_instances; i++) {
		RtInstance *in = s->instances[i];

		if (last_seen(in) < before_ms)
			rt_instance__free_unpacked(in, NULL);
		else
			s->instances[kept++] = in;
	}
	s->n_instances = kept;
}

size_t rt_instances_seen(const struct rt_days *d, const char *role,
			 uint64_t from_ms, uint64_t to_ms, uint64_t *seen_ms)
{
	uint64_t total = 0;
	size_t n = 0;

	for (size_t i = 0; i < d->state->n_instances; i++) {
		const RtInstance *in = d->state->instances[i];
		bool seen = false;

		if (strcmp(in->role, role))
			continue;
		for (size_t k = 0; k < in->n_lives; k++) {
			uint64_t from =
				MAX(from_ms, in->lives[k]->from_wall_ms);
			uint64_t to = MIN(to_ms, in->lives[k]->to_wall_ms);

			seen = seen || from <= to;
			total += from < to ? to - from : 0;
		}
		n += seen;
	}
	if (seen_ms)
		*seen_ms = total;
	return n;
}

static uint64_t last_seen(const RtInstance *in)
{
	return in->n_lives ? in->lives[in->n_lives - 1]->to_wall_ms : 0;
}

static int compare_instance(const void *key, const void *element)
{
	return strcmp(key, ((const RtInstance *)element)->name);
}

static int compare_life(const void *key, const void *element)
{
	uint64_t a = *(const uint64_t *)key;
	uint64_t b = ((const RtLife *)element)->incarnation;

	return a < b ? -1 : a > b;
}

/*
 * Finds or adds an incarnation.  Returns NULL if it is older than all that
 * are kept and there is no room.
 */
static RtLife *get_life(struct rt_days *d, RtInstance *in, const RtFigures *f)
{
	bool found;
	size_t at = rt_list_find((void *const *)in->lives, in->n_lives,
				 &f->incarnation, compare_life, &found);
	RtLife *l;

	if (found)
		return in->lives[at];
	if (in->n_lives == RT_LIVES_LIMIT && at == 0)
		return NULL;
	l = g_new(RtLife, 1);
	rt_life__init(l);
	l->incarnation = f->incarnation;
	l->from_wall_ms = f->from_wall_ms;
	rt_list_insert((void ***)&in->lives, &in->n_lives, at, l);
	if (in->n_lives > RT_LIVES_LIMIT)
		drop_oldest_life(d, in);
	return l;
}

/*
 * Removes the oldest incarnation.  The gap before the next one is kept in the
 * day in which it begins.
 */
static void drop_oldest_life(struct rt_days *d, RtInstance *in)
{
	RtGap gap = RT_GAP__INIT;
	RtLife *l;
	RtDay *day;

	gap.instance = in->name;
	gap.role = in->role;
	find_gap(in->lives[0], in->lives[1], in->lives[1]->from_wall_ms, &gap);
	day = rt_day_get(d, gap.from_wall_ms);
	if (gap.to_wall_ms > gap.from_wall_ms)
		rt_day_gap_add(day, &gap);
	l = rt_list_remove((void **)in->lives, &in->n_lives, 0);
	rt_life__free_unpacked(l, NULL);
}

/*
 * Returns whether a sequence is new.  Sequences may arrive in any order within
 * RT_SEQUENCE_WINDOW.
 */
static bool accept_sequence(RtLife *l, uint64_t sequence)
{
	uint64_t bit;

	if (sequence <= l->taken)
		return false;
	if (sequence - l->taken > RT_SEQUENCE_WINDOW)
		skip_sequences(l, sequence - l->taken - RT_SEQUENCE_WINDOW);
	bit = 1ULL << (sequence - l->taken - 1);
	if (l->above & bit)
		return false;
	l->above |= bit;
	while (l->above & 1) {
		l->taken++;
		l->above >>= 1;
	}
	return true;
}

static void skip_sequences(RtLife *l, uint64_t n)
{
	l->taken += n;
	l->above = n < RT_SEQUENCE_WINDOW ? l->above >> n : 0;
	l->holes = true;
}

/*
 * An instance that did not stop gracefully is unseen from its last figures
 * until its next incarnation or, if it has none and has been silent for too
 * long, until now.  If figures in the middle are missing, the whole incarnation
 * counts as unseen.
 */
static void find_gap(const RtLife *l, const RtLife *next, uint64_t wall_ms,
		     RtGap *gap)
{
	bool missing = l->above || l->holes;
	uint64_t silence =
		MAX(RT_SILENCE_MS, RT_INTERVALS_MISSED * l->interval_ms);

	gap->from_wall_ms = missing ? l->from_wall_ms : l->to_wall_ms;
	gap->to_wall_ms = next ? next->from_wall_ms : wall_ms;
	if (missing)
		return;
	if (l->final || (!next && wall_ms < l->to_wall_ms + silence))
		gap->to_wall_ms = gap->from_wall_ms;
}

static void add_gap(GArray *gaps, const RtGap *gap, uint64_t from_ms,
		    uint64_t to_ms)
{
	RtGap g = *gap;

	g.from_wall_ms = MAX(g.from_wall_ms, from_ms);
	g.to_wall_ms = MIN(g.to_wall_ms, to_ms);
	if (g.from_wall_ms < g.to_wall_ms)
		g_array_append_val(gaps, g);
}
