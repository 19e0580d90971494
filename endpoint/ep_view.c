#include <stdlib.h>
#include <string.h>

#include "base/ba_digest.h"
#include "endpoint/ep_internal.h"

/* A quarter of a subset is reserved for endpoints of other data centres. */
enum { RESERVED_DIVISOR = 4 };

/**
 * struct shared_records - the records of one service, shared by all views
 * since their last change
 * @refs: reference count, changed atomically
 * @generation: generation of the service's last change
 * @records: where ep_service_view.records points
 */
struct shared_records {
	int refs;
	uint64_t generation;
	size_t n;
	struct ep_record records[];
};

/**
 * struct shared_reports - the reports, shared by all views since their last
 * change
 * @refs: reference count, changed atomically
 * @list: where ep_view.reports points
 */
struct shared_reports {
	int refs;
	size_t n;
	struct ep_report list[];
};

/**
 * struct rank - rank of one endpoint in the choice of a subset
 * @distance: 0 in the own data centre, 1 in the own region, else 2; lower is
 *	preferred
 * @hash: order within the same distance
 */
struct rank {
	int distance;
	uint64_t hash;
	const struct ep_record *record;
};

static struct shared_records *shared_of(const struct ep_service_view *v);
static void shared_unref(struct shared_records *sr);
static struct shared_records *shared_new(const struct ep_service *s,
					 const struct ep_view_options *o);
static size_t choose_subset(const struct ep_service *s,
			    const struct ep_view_options *o,
			    struct rank *ranks);
static void reserve_other_centres(struct rank *ranks, size_t n, size_t subset);
static int compare_ranks(const void *a, const void *b);
static int compare_services(const void *a, const void *b);
static struct ep_service **sorted_services(struct ep_table *t, size_t *n);
static void add_service(struct ep_view *v, const struct ep_view *old,
			const struct ep_service *s,
			const struct ep_view_options *o);
static void set_reports(struct ep_view *v, const struct ep_view *old,
			const struct ep_table *t);
static struct shared_reports *reports_of(const struct ep_view *v);
static struct shared_reports *reports_new(const struct ep_table *t);
static void reports_unref(struct shared_reports *sr);

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
		shared_unref(shared_of(&v->services[i]));
	}
	g_free(v->services);
	reports_unref(reports_of(v));
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
	set_reports(v, old, t);
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
	struct shared_records *sr;

	if (before && shared_of(before)->generation == s->generation) {
		sr = shared_of(before);
		__atomic_add_fetch(&sr->refs, 1, __ATOMIC_RELAXED);
	} else {
		sr = shared_new(s, o);
	}
	sv->service = g_strdup(s->name);
	sv->records = sr->records;
	sv->n_records = sr->n;
}

static struct shared_records *shared_of(const struct ep_service_view *v)
{
	return ba_entry(v->records, struct shared_records, records);
}

static void shared_unref(struct shared_records *sr)
{
	if (__atomic_sub_fetch(&sr->refs, 1, __ATOMIC_ACQ_REL))
		return;
	for (size_t i = 0; i < sr->n; i++)
		ep_record_clear(&sr->records[i]);
	g_free(sr);
}

static struct shared_records *shared_new(const struct ep_service *s,
					 const struct ep_view_options *o)
{
	struct rank *ranks = g_new(struct rank, s->n_live);
	size_t n = choose_subset(s, o, ranks);
	struct shared_records *sr =
		g_malloc0(sizeof(*sr) + n * sizeof(struct ep_record));

	sr->refs = 1;
	sr->generation = s->generation;
	sr->n = n;
	for (size_t i = 0; i < n; i++)
		ep_record_copy(&sr->records[i], ranks[i].record);
	g_free(ranks);
	return sr;
}

/*
 * Rendezvous hashing: each daemon ranks the endpoints of a service by a hash
 * of both instances, so that load is spread evenly and a change of the
 * endpoints alters no more subsets than it must.
 */
static size_t choose_subset(const struct ep_service *s,
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
	reserve_other_centres(ranks, n, o->subset);
	return o->subset;
}

/*
 * A share of a full subset is reserved for endpoints outside the own data
 * centre.  Otherwise a daemon would know no endpoint of a service that its
 * data centre has lost.
 */
static void reserve_other_centres(struct rank *ranks, size_t n, size_t subset)
{
	size_t reserved = subset / RESERVED_DIVISOR;
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

static void set_reports(struct ep_view *v, const struct ep_view *old,
			const struct ep_table *t)
{
	struct shared_reports *sr;

	if (old && old->reports_generation == t->reports_generation) {
		sr = reports_of(old);
		__atomic_add_fetch(&sr->refs, 1, __ATOMIC_RELAXED);
	} else {
		sr = reports_new(t);
	}
	v->reports = sr->list;
	v->n_reports = sr->n;
	v->reports_generation = t->reports_generation;
}

static struct shared_reports *reports_of(const struct ep_view *v)
{
	return ba_entry(v->reports, struct shared_reports, list);
}

static struct shared_reports *reports_new(const struct ep_table *t)
{
	const struct ba_list *pos;
	struct shared_reports *sr;
	size_t n = 0;

	ba_list_each(pos, &t->reporting) n++;
	sr = g_malloc0(sizeof(*sr) + n * sizeof(struct ep_report));
	sr->refs = 1;
	ba_list_each(pos, &t->reporting)
	{
		const struct ep_record *r =
			&ba_entry(pos, struct ep_entry, by_report)->record;
		struct ep_report *to = &sr->list[sr->n++];

		to->instance = g_strdup(r->instance);
		to->marks = g_memdup2(r->marks,
				      r->n_marks * sizeof(struct ep_mark));
		to->n_marks = r->n_marks;
		to->epoch = r->marks_epoch;
	}
	return sr;
}

static void reports_unref(struct shared_reports *sr)
{
	if (__atomic_sub_fetch(&sr->refs, 1, __ATOMIC_ACQ_REL))
		return;
	for (size_t i = 0; i < sr->n; i++) {
		g_free(sr->list[i].instance);
		g_free(sr->list[i].marks);
	}
	g_free(sr);
}
