#include <string.h>

#include "base/ba_digest.h"
#include "endpoint/ep_internal.h"

static void fill_digest(const struct ep_centre *c, struct ep_centre_digest *d);

void ep_table_visit_digests(const struct ep_table *t,
			    void (*visit)(const struct ep_centre_digest *d,
					  void *arg),
			    void *arg)
{
	GHashTableIter iter;
	void *c;

	g_hash_table_iter_init(&iter, t->centres);
	while (g_hash_table_iter_next(&iter, NULL, &c)) {
		struct ep_centre_digest d;

		fill_digest(c, &d);
		visit(&d, arg);
	}
}

void ep_table_digest(const struct ep_table *t, const char *data_centre,
		     struct ep_centre_digest *out)
{
	struct ep_centre none = {.name = (char *)data_centre};
	struct ep_centre *c = g_hash_table_lookup(t->centres, data_centre);

	fill_digest(c ? c : &none, out);
}

void ep_table_visit_buckets(const struct ep_table *t, const char *data_centre,
			    uint32_t mask, ep_visit visit, void *arg)
{
	struct ep_centre *c = g_hash_table_lookup(t->centres, data_centre);
	const struct ba_list *pos;

	if (!c)
		return;
	ba_list_each(pos, &c->entries)
	{
		struct ep_entry *e = ba_entry(pos, struct ep_entry, by_centre);

		if (mask >> e->bucket & 1)
			visit(&e->record, arg);
	}
}

static void fill_digest(const struct ep_centre *c, struct ep_centre_digest *d)
{
	d->data_centre = c->name;
	memcpy(d->buckets, c->buckets, sizeof(d->buckets));
	d->root = ba_hash(d->buckets, sizeof(d->buckets), 0);
}
