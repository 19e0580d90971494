#include <string.h>

#include "base/ba_digest.h"
#include "distrib/ds_roster.h"

/* A relay with its rank: the nearer first, equals by the hash. */
struct candidate {
	const struct ds_relay *relay;
	unsigned int distance;
	uint64_t hash;
};

static unsigned int distance_of(const struct ds_place *self,
				const struct ds_relay *r);
static bool precedes(const struct candidate *a, const struct candidate *b);
static void add_address(struct ds_ranking *out, const struct ba_address *a);

void ds_roster_rank(const struct ds_place *self, const struct ds_relay *relays,
		    size_t n_relays, const struct ba_address *seeds,
		    size_t n_seeds, struct ds_ranking *out)
{
	struct candidate sorted[DS_ROSTER_LIMIT];
	uint64_t seed = ba_hash(self->instance, strlen(self->instance), 0);
	size_t n = 0;

	for (size_t i = 0; i < n_relays && n < DS_ROSTER_LIMIT; i++) {
		const char *text = relays[i].address.text;
		struct candidate c = {
			.relay = &relays[i],
			.distance = distance_of(self, &relays[i]),
			.hash = ba_hash(text, strlen(text), seed),
		};
		size_t at = n++;

		for (; at && precedes(&c, &sorted[at - 1]); at--)
			sorted[at] = sorted[at - 1];
		sorted[at] = c;
	}
	out->n = 0;
	out->n_preferred = 0;
	for (size_t i = 0; i < n; i++) {
		add_address(out, &sorted[i].relay->address);
		if (sorted[i].distance == sorted[0].distance)
			out->n_preferred = out->n;
	}
	for (size_t i = 0; i < n_seeds; i++)
		add_address(out, &seeds[i]);
}

size_t ds_ranking_find(const struct ds_ranking *r, const char *address)
{
	size_t i = 0;

	while (i < r->n && strcmp(r->list[i].text, address) != 0)
		i++;
	return i;
}

bool ds_roster_should_move(const struct ds_ranking *before,
			   const struct ds_ranking *after, const char *current)
{
	if (ds_ranking_find(after, current) < after->n_preferred)
		return false;
	for (size_t i = 0; i < after->n_preferred; i++)
		if (ds_ranking_find(before, after->list[i].text) >=
		    before->n_preferred)
			return true;
	return false;
}

static unsigned int distance_of(const struct ds_place *self,
				const struct ds_relay *r)
{
	if (!strcmp(r->data_centre, self->data_centre))
		return 0;
	return strcmp(r->region, self->region) ? 2 : 1;
}

static bool precedes(const struct candidate *a, const struct candidate *b)
{
	if (a->distance != b->distance)
		return a->distance < b->distance;
	return a->hash < b->hash;
}

static void add_address(struct ds_ranking *out, const struct ba_address *a)
{
	if (out->n < sizeof(out->list) / sizeof(out->list[0]) &&
	    ds_ranking_find(out, a->text) == out->n)
		out->list[out->n++] = *a;
}
