#include <stdlib.h>
#include <string.h>

#include "base/ba_digest.h"
#include "endpoint/ep_internal.h"

enum { RESERVED_SHARE = 4 }; /* of a subset, for other data centres */

/*
 * The records of one service, shared by every view since they last changed;
 * ep_service_view.records points at its member.
 */
struct block {
	int refs;
	uint64_t generation;
	size_t n;
	struct ep_record records[];
};

/** struct rank - one candidate of a subset; lower goes first */
struct rank {
	int distance;
	uint64_t hash;
	const struct ep_record *record;
};

static struct block *block_of(const struct ep_service_view *v);
static void block_unref(struct block *b);
static struct block *block_build(const struct ep_service *s,
				 const struct ep_view_options *o);
static size_t choose(const struct ep_service *s,
		     const struct ep_view_options *o, struct rank *ranks);
static void reserve_elsewhere(struct rank *ranks, size_t n, size_t subset);
static int compare_ranks(const void *a, const void *b);
static int compare_services(const void *a, const void *b);
static struct ep_service **sorted_services(struct ep_table *t, size_t *n);
static void add_service(struct ep_view *v, const struct ep_view *old,
			const struct ep_service *s,
			const struct ep_view_options *o);

struct ep_view *ep_view_ref(struct ep_view *v)
{
	__atomic_add_fetch(&v->refs, 1, __ATOMIC_RELAXED);
	return v;
}

void ep_view_unref(struct ep_view *v)
{
	if (!v || __atomic_sub_fetch(&v->refs, 1, __ATOMIC_ACQ_REL))
		return;
	for (size_t i = 0; i < v->n_services; i++) {
		g_free(v->services[i].service);
		block_unref(block_of(&v->services[i]));
	}
	g_free(v->services);
	g_free(v);
}

const struct ep_service_view *ep_view_find(const struct ep_view *v,
					   const char *service)
{
	size_t low = 0;
	size_t high = v->n_services;

	while (low < high) {
		size_t mid = low + (high - low) / 2;
		int order = strcmp(v->services[mid].service, service);

		if (!order)
			return &v->services[mid];
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}

struct ep_view *ep_table_view(struct ep_table *t, struct ep_view *old,
			      const struct ep_view_options *options)
{
	struct ep_service **list;
	struct ep_view *v;
	size_t n;

	if (old && old->generation == t->generation)
		return ep_view_ref(old);
	list = sorted_services(t, &n);
	v = g_new0(struct ep_view, 1);
	v->refs = 1;
	v->generation = t->generation;
	v->services = g_new0(struct ep_service_view, n);
	for (size_t i = 0; i < n; i++)
		add_service(v, old, list[i], options);
	g_free(list);
	return v;
}

static struct ep_service **sorted_services(struct ep_table *t, size_t *n)
{
	struct ep_service **list =
		g_new(struct ep_service *, g_hash_table_size(t->services));
	GHashTableIter iter;
	void *s;

	*n = 0;
	g_hash_table_iter_init(&iter, t->services);
	while (g_hash_table_iter_next(&iter, NULL, &s))
		if (((struct ep_service *)s)->n_live)
			list[(*n)++] = s;
	qsort(list, *n, sizeof(struct ep_service *), compare_services);
	return list;
}

static void add_service(struct ep_view *v, const struct ep_view *old,
			const struct ep_service *s,
			const struct ep_view_options *o)
{
	const struct ep_service_view *before =
		old ? ep_view_find(old, s->name) : NULL;
	struct ep_service_view *sv = &v->services[v->n_services++];
	struct block *b;

	if (before && block_of(before)->generation == s->generation) {
		b = block_of(before);
		__atomic_add_fetch(&b->refs, 1, __ATOMIC_RELAXED);
	} else {
		b = block_build(s, o);
	}
	sv->service = g_strdup(s->name);
	sv->records = b->records;
	sv->n_records = b->n;
}

static struct block *block_of(const struct ep_service_view *v)
{
	return ba_entry(v->records, struct block, records);
}

static void block_unref(struct block *b)
{
	if (__atomic_sub_fetch(&b->refs, 1, __ATOMIC_ACQ_REL))
		return;
	for (size_t i = 0; i < b->n; i++)
		ep_record_clear(&b->records[i]);
	g_free(b);
}

static struct block *block_build(const struct ep_service *s,
				 const struct ep_view_options *o)
{
	struct rank *ranks = g_new(struct rank, s->n_live);
	size_t n = choose(s, o, ranks);
	struct block *b = g_malloc0(sizeof(*b) + n * sizeof(struct ep_record));

	b->refs = 1;
	b->generation = s->generation;
	b->n = n;
	for (size_t i = 0; i < n; i++)
		ep_record_copy(&b->records[i], ranks[i].record);
	g_free(ranks);
	return b;
}

/*
 * Rendezvous hashing: each daemon ranks the endpoints of a service by a hash
 * of both names, so that a change moves only the daemons it must, and load
 * spreads evenly.
 */
static size_t choose(const struct ep_service *s,
		     const struct ep_view_options *o, struct rank *ranks)
{
	uint64_t seed = ba_hash(o->instance, strlen(o->instance), 0);
	const struct ba_list *pos;
	size_t n = 0;

	ba_list_each(pos, &s->entries)
	{
		const struct ep_record *r =
			&ba_entry(pos, struct ep_entry, by_service)->record;

		if (r->left)
			continue;
		ranks[n].record = r;
		ranks[n].hash = ba_hash(r->instance, strlen(r->instance), seed);
		ranks[n].distance = !strcmp(r->data_centre, o->data_centre) ? 0
				    : !strcmp(r->region, o->region)	    ? 1
									    : 2;
		n++;
	}
	qsort(ranks, n, sizeof(*ranks), compare_ranks);
	if (!o->subset || n <= o->subset)
		return n;
	reserve_elsewhere(ranks, n, o->subset);
	return o->subset;
}

/*
 * A share of a full subset is outside the own data centre, or a daemon whose
 * data centre loses a service would know no other endpoint of it.
 */
static void reserve_elsewhere(struct rank *ranks, size_t n, size_t subset)
{
	size_t reserved = subset / RESERVED_SHARE;
	size_t n_own = 0;

	while (n_own < n && !ranks[n_own].distance)
		n_own++;
	if (n_own <= subset - reserved)
		return;
	reserved = MIN(reserved, n - n_own);
	memmove(ranks + subset - reserved,
		ranks + MAX(n_own, subset - reserved),
		reserved * sizeof(*ranks));
}

static int compare_ranks(const void *a, const void *b)
{
	const struct rank *x = a;
	const struct rank *y = b;

	if (x->distance != y->distance)
		return x->distance - y->distance;
	if (x->hash != y->hash)
		return x->hash < y->hash ? -1 : 1;
	return strcmp(x->record->instance, y->record->instance);
}

static int compare_services(const void *a, const void *b)
{
	const struct ep_service *const *x = a;
	const struct ep_service *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}
