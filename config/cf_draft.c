#include <string.h>

#include "config/cf_internal.h"

static const char *keep_or_none(struct cf_draft *d, const char *text);
static void sort(struct cf_draft *d);
static void sort_array(GArray *a, GCompareFunc compare);
static void find_services(struct cf_draft *d);
static void sort_paths(struct cf_draft *d);
static gint by_service_name(gconstpointer a, gconstpointer b);
static gint by_route_name(gconstpointer a, gconstpointer b);
static gint by_row_service(gconstpointer a, gconstpointer b);
static gint by_path(gconstpointer a, gconstpointer b);
static void add_default_rows(struct cf_draft *d);
static struct cf_snapshot *make(struct cf_draft *d);
static void take_parts(const struct cf_draft *d, struct cf_whole *w);
static void index_paths(const struct cf_draft *d, struct cf_whole *w);

void cf_draft_init(struct cf_draft *d, uint64_t version)
{
	const struct cf_policy policy = {
		.time_zone = "UTC",
		.convergence_weight = CF_DEFAULT_POLICY_WEIGHT,
		.bytes_weight = CF_DEFAULT_POLICY_WEIGHT,
		.convergence_limit = CF_DEFAULT_CONVERGENCE,
	};

	d->version = version;
	d->strings = g_string_chunk_new(4096);
	d->services = g_array_new(FALSE, TRUE, sizeof(struct cf_draft_service));
	d->routes = g_array_new(FALSE, TRUE, sizeof(struct cf_draft_route));
	d->parts = g_array_new(FALSE, TRUE, sizeof(struct cf_draft_part));
	d->revision = 0;
	memset(&d->limits, 0, sizeof(d->limits));
	d->rows = g_array_new(FALSE, TRUE, sizeof(struct cf_draft_row));
	d->by_path = g_ptr_array_new();
	cf_draft_policy(d, &policy);
}

void cf_draft_free(struct cf_draft *d)
{
	g_clear_pointer(&d->strings, g_string_chunk_free);
	g_array_free(d->services, TRUE);
	g_array_free(d->routes, TRUE);
	g_array_free(d->parts, TRUE);
	g_array_free(d->rows, TRUE);
	g_ptr_array_free(d->by_path, TRUE);
}

void cf_draft_service(struct cf_draft *d, const struct cf_service *s, int line)
{
	struct cf_draft_service one = {*s, line};

	one.value.name = cf_draft_keep(d, s->name);
	one.value.health_path = keep_or_none(d, s->health_path);
	one.value.protocol = keep_or_none(d, s->protocol);
	g_array_append_val(d->services, one);
}

void cf_draft_route(struct cf_draft *d, const struct cf_route *r,
		    const char *service, int line)
{
	struct cf_draft_route one = {*r, service, line, d->parts->len, 0};

	one.value.name = cf_draft_keep(d, r->name);
	one.value.host = keep_or_none(d, r->host);
	one.value.path = cf_draft_keep(d, r->path);
	one.value.method = keep_or_none(d, r->method);
	one.value.parts = NULL;
	one.value.n_parts = 0;
	g_array_append_val(d->routes, one);
}

void cf_draft_part(struct cf_draft *d, const char *service, uint32_t weight)
{
	struct cf_draft_part one = {service, weight};

	g_array_append_val(d->parts, one);
	g_array_index(d->routes, struct cf_draft_route, d->routes->len - 1)
		.n_parts++;
}

void cf_draft_keep_route(struct cf_draft *d, const struct cf_snapshot *from,
			 const struct cf_route *r)
{
	cf_draft_route(d, r, from->services[r->service].name, CF_LINE_KEPT);
	for (size_t i = 0; i < r->n_parts; i++)
		cf_draft_part(d, from->services[r->parts[i].service].name,
			      r->parts[i].weight);
}

void cf_draft_keep_policy(struct cf_draft *d, const struct cf_snapshot *from)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	cf_draft_policy(d, &from->policy);
	for (guint i = 0; i < d->services->len; i++)
		g_hash_table_add(
			names, (char *)g_array_index(d->services,
						     struct cf_draft_service, i)
				       .value.name);
	for (size_t i = 0; i < from->n_services; i++) {
		const char *name = from->services[i].name;

		if (g_hash_table_contains(names, name))
			cf_draft_row(d, &from->policy.rows[i], name,
				     CF_LINE_KEPT);
	}
	g_hash_table_destroy(names);
}

void cf_draft_row(struct cf_draft *d, const struct cf_row *r,
		  const char *service, int line)
{
	struct cf_draft_row one = {*r, service, line};

	g_array_append_val(d->rows, one);
}

void cf_draft_policy(struct cf_draft *d, const struct cf_policy *p)
{
	d->policy = *p;
	d->policy.time_zone = cf_draft_keep(d, p->time_zone);
	d->policy.rows = NULL;
}

const char *cf_draft_keep(struct cf_draft *d, const char *text)
{
	return g_string_chunk_insert(d->strings, text);
}

static const char *keep_or_none(struct cf_draft *d, const char *text)
{
	return text && *text ? cf_draft_keep(d, text) : "";
}

struct cf_snapshot *cf_draft_finish(struct cf_draft *d,
				    struct ba_problems *problems)
{
	size_t before = problems->n;

	sort(d);
	find_services(d);
	sort_paths(d);
	cf_check(d, problems);
	if (problems->n > before)
		return NULL;
	add_default_rows(d);
	return make(d);
}

int cf_draft_service_find(const struct cf_draft *d, const char *name)
{
	guint low = 0;
	guint high = d->services->len;

	while (low < high) {
		guint mid = (low + high) / 2;
		const struct cf_draft_service *s = &g_array_index(
			d->services, struct cf_draft_service, mid);
		int order = strcmp(s->value.name, name);

		if (!order)
			return (int)mid;
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return CF_NO_SERVICE;
}

static void sort(struct cf_draft *d)
{
	sort_array(d->services, by_service_name);
	sort_array(d->routes, by_route_name);
	sort_array(d->rows, by_row_service);
}

/* Encoded entries come sorted, so looking first is the shorter way. */
static void sort_array(GArray *a, GCompareFunc compare)
{
	guint size = g_array_get_element_size(a);

	for (guint i = 1; i < a->len; i++) {
		if (compare(a->data + (i - 1) * size, a->data + i * size) <= 0)
			continue;
		g_array_sort(a, compare);
		return;
	}
}

static void find_services(struct cf_draft *d)
{
	for (guint i = 0; i < d->routes->len; i++) {
		struct cf_draft_route *r =
			&g_array_index(d->routes, struct cf_draft_route, i);

		r->value.service = cf_draft_service_find(d, r->service);
	}
}

static void sort_paths(struct cf_draft *d)
{
	for (guint i = 0; i < d->routes->len; i++)
		g_ptr_array_add(
			d->by_path,
			&g_array_index(d->routes, struct cf_draft_route, i));
	g_ptr_array_sort(d->by_path, by_path);
}

static gint by_service_name(gconstpointer a, gconstpointer b)
{
	const struct cf_draft_service *x = a;
	const struct cf_draft_service *y = b;

	return strcmp(x->value.name, y->value.name);
}

static gint by_route_name(gconstpointer a, gconstpointer b)
{
	const struct cf_draft_route *x = a;
	const struct cf_draft_route *y = b;

	return strcmp(x->value.name, y->value.name);
}

static gint by_row_service(gconstpointer a, gconstpointer b)
{
	const struct cf_draft_row *x = a;
	const struct cf_draft_row *y = b;

	return strcmp(x->service, y->service);
}

/* Equal ones in the order of the file, so that the later is reported. */
static gint by_path(gconstpointer a, gconstpointer b)
{
	const struct cf_draft_route *const *x = a;
	const struct cf_draft_route *const *y = b;
	int order = cf_route_compare(&(*x)->value, &(*y)->value);

	return order ? order : (*x)->line - (*y)->line;
}

/* Both lists are sorted and every row has its service: one merge. */
static void add_default_rows(struct cf_draft *d)
{
	guint n_given = d->rows->len;
	guint row = 0;

	for (guint i = 0; i < d->services->len; i++) {
		const struct cf_service *s =
			&g_array_index(d->services, struct cf_draft_service, i)
				 .value;
		struct cf_row fallback = {
			.weight = CF_DEFAULT_ROW_WEIGHT,
			.convergence_limit = d->policy.convergence_limit,
			.deadline = s->timeout,
		};

		if (row < n_given &&
		    !strcmp(g_array_index(d->rows, struct cf_draft_row, row)
				    .service,
			    s->name))
			row++;
		else
			cf_draft_row(d, &fallback, s->name, 0);
	}
	sort_array(d->rows, by_row_service);
}

static struct cf_snapshot *make(struct cf_draft *d)
{
	struct cf_whole *w = g_new0(struct cf_whole, 1);
	struct cf_snapshot *s = &w->s;

	w->refs = 1;
	w->strings = g_steal_pointer(&d->strings);
	s->version = d->version;
	s->policy = d->policy;
	s->n_services = d->services->len;
	s->n_routes = d->routes->len;
	s->services = g_new0(struct cf_service, s->n_services + 1);
	s->routes = g_new0(struct cf_route, s->n_routes + 1);
	s->revision = d->revision;
	s->limits = d->limits;
	s->policy.rows = g_new0(struct cf_row, s->n_services + 1);
	for (guint i = 0; i < d->services->len; i++) {
		s->services[i] =
			g_array_index(d->services, struct cf_draft_service, i)
				.value;
		s->policy.rows[i] =
			g_array_index(d->rows, struct cf_draft_row, i).value;
		s->policy.rows[i].service = (int)i;
	}
	for (guint i = 0; i < d->routes->len; i++)
		s->routes[i] =
			g_array_index(d->routes, struct cf_draft_route, i)
				.value;
	take_parts(d, w);
	index_paths(d, w);
	s->digest = cf_snapshot_digest(s);
	return s;
}

/* Routes are sorted and keep their places in the draft's list of parts. */
static void take_parts(const struct cf_draft *d, struct cf_whole *w)
{
	w->parts = g_new0(struct cf_part, d->parts->len + 1);
	for (guint i = 0; i < d->parts->len; i++) {
		const struct cf_draft_part *p =
			&g_array_index(d->parts, struct cf_draft_part, i);

		w->parts[i].service = cf_draft_service_find(d, p->service);
		w->parts[i].weight = p->weight;
	}
	for (guint i = 0; i < d->routes->len; i++) {
		const struct cf_draft_route *r =
			&g_array_index(d->routes, struct cf_draft_route, i);

		if (!r->n_parts)
			continue;
		w->s.routes[i].parts = &w->parts[r->first_part];
		w->s.routes[i].n_parts = r->n_parts;
	}
}

static void index_paths(const struct cf_draft *d, struct cf_whole *w)
{
	const struct cf_draft_route *first =
		(const struct cf_draft_route *)d->routes->data;

	w->by_path = g_new0(const struct cf_route *, w->s.n_routes + 1);
	for (guint i = 0; i < d->by_path->len; i++) {
		const struct cf_draft_route *r =
			g_ptr_array_index(d->by_path, i);

		w->by_path[i] = &w->s.routes[r - first];
	}
}
