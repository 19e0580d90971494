#include <string.h>

#include <glib.h>

#include "call/cl_split.h"

/**
 * struct part - state of one part
 * @current: grows by @weight with each choice; the largest is chosen
 */
struct part {
	char *service;
	double weight;
	double current;
};

struct cl_split {
	double sum;
	size_t n;
	struct part parts[];
};

struct cl_split *cl_split_new(const struct cl_split_part *parts, size_t n,
			      struct ba_rand *rand)
{
	struct cl_split *s = g_malloc0(sizeof(*s) + n * sizeof(s->parts[0]));

	s->n = n;
	for (size_t i = 0; i < n; i++) {
		s->parts[i].service = g_strdup(parts[i].service);
		s->parts[i].weight = parts[i].weight;
		s->sum += parts[i].weight;
	}
	for (size_t i = 0; i < n; i++)
		s->parts[i].current =
			s->sum * (double)ba_rand_below(rand, 1000) / 1000.0;
	return s;
}

void cl_split_free(struct cl_split *s)
{
	if (!s)
		return;
	for (size_t i = 0; i < s->n; i++)
		g_free(s->parts[i].service);
	g_free(s);
}

bool cl_split_fits(const struct cl_split *s, const struct cl_split_part *parts,
		   size_t n)
{
	if (s->n != n)
		return false;
	for (size_t i = 0; i < n; i++)
		if (s->parts[i].weight != parts[i].weight ||
		    strcmp(s->parts[i].service, parts[i].service) != 0)
			return false;
	return true;
}

size_t cl_split_choose(struct cl_split *s)
{
	struct part *best = NULL;

	for (size_t i = 0; i < s->n; i++) {
		struct part *p = &s->parts[i];

		if (p->weight <= 0)
			continue;
		p->current += p->weight;
		if (!best || p->current > best->current)
			best = p;
	}
	if (!best)
		return 0;
	best->current -= s->sum;
	return (size_t)(best - s->parts);
}
