#include <string.h>

#include "config/cf_internal.h"

static const char *copy_or_empty(struct cf_draft *d, const char *text);
static void sort_entries(struct cf_draft *d);
static void resolve_services(struct cf_draft *d);
static void sort_routes_by_path(struct cf_draft *d);
static gint by_service_name(gconstpointer a, gconstpointer b);
static gint by_route_name(gconstpointer a, gconstpointer b);
static gint by_row_service(gconstpointer a, gconstpointer b);
static gint by_path(gconstpointer a, gconstpointer b);
static void add_default_rows(struct cf_draft *d);
static struct cf_snapshot *build_snapshot(struct cf_draft *d);
static void resolve_parts(const struct cf_draft *d,
			  struct cf_snapshot_impl *impl);
static void build_path_index(const struct cf_draft *d,
			     struct cf_snapshot_impl *impl);

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
	d->has_teams = false;
	d->teams = g_array_new(FALSE, TRUE, sizeof(struct cf_draft_team));
	d->keys = g_array_new(FALSE, TRUE, sizeof(struct cf_draft_key));
	d->by_key = g_array_new(FALSE, TRUE, sizeof(struct cf_key_owner));
	d->by_path = g_ptr_array_new();
	d->rollouts = g_array_new(FALSE, TRUE, sizeof(struct cf_rollout));
	cf_draft_set_policy(d, &policy);
}

void cf_draft_free(struct cf_draft *d)
{
	g_clear_pointer(&d->strings, g_string_chunk_free);
	g_array_free(d->services, TRUE);
	g_array_free(d->routes, TRUE);
	g_array_free(d->parts, TRUE);
	g_array_free(d->rows, TRUE);
	g_array_free(d->teams, TRUE);
	g_array_free(d->keys, TRUE);
	g_array_free(d->by_key, TRUE);
	g_ptr_array_free(d->by_path, TRUE);
	g_array_free(d->rollouts, TRUE);
}

void cf_draft_add_service(struct cf_draft *d, const struct cf_service *s,
			  int line)
{
	struct cf_draft_service entry = {*s, line};

	entry.value.name = cf_draft_strdup(d, s->name);
	entry.value.health_path = copy_or_empty(d, s->health_path);
	entry.value.protocol = copy_or_empty(d, s->protocol);
	g_array_append_val(d->services, entry);
}

void cf_draft_add_route(struct cf_draft *d, const struct cf_route *r,
			const char *service, int line)
{
	struct cf_draft_route entry = {*r, service, line, d->parts->len, 0};

	entry.value.name = cf_draft_strdup(d, r->name);
	entry.value.host = copy_or_empty(d, r->host);
	entry.value.path = cf_draft_strdup(d, r->path);
	entry.value.method = copy_or_empty(d, r->method);
	entry.value.named_service = copy_or_empty(d, r->named_service);
	entry.value.parts = NULL;
	entry.value.n_parts = 0;
	g_array_append_val(d->routes, entry);
}

void cf_draft_add_part(struct cf_draft *d, const char *service, double weight)
{
	struct cf_draft_part entry = {service, weight};

	g_array_append_val(d->parts, entry);
	g_array_index(d->routes, struct cf_draft_route, d->routes->len - 1)
		.n_parts++;
}

void cf_draft_copy_route(struct cf_draft *d, const struct cf_snapshot *from,
			 const struct cf_route *r)
{
	cf_draft_add_route(d, r, from->services[r->service].name,
			   CF_LINE_FROM_SNAPSHOT);
	for (size_t i = 0; i < r->n_parts; i++)
		cf_draft_add_part(d, from->services[r->parts[i].service].name,
				  r->parts[i].weight);
}

void cf_draft_copy_policy(struct cf_draft *d, const struct cf_snapshot *from)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	cf_draft_set_policy(d, &from->policy);
	for (guint i = 0; i < d->services->len; i++)
		g_hash_table_add(
			names, (char *)g_array_index(d->services,
						     struct cf_draft_service, i)
				       .value.name);
	for (size_t i = 0; i < from->n_services; i++) {
		const char *name = from->services[i].name;

		if (g_hash_table_contains(names, name))
			cf_draft_add_row(d, &from->policy.rows[i], name,
					 CF_LINE_FROM_SNAPSHOT);
	}
	g_hash_table_destroy(names);
}

void cf_draft_add_row(struct cf_draft *d, const struct cf_policy_row *r,
		      const char *service, int line)
{
	struct cf_draft_row entry = {*r, service, line};

	g_array_append_val(d->rows, entry);
}

void cf_draft_set_policy(struct cf_draft *d, const struct cf_policy *p)
{
	d->policy = *p;
	d->policy.time_zone = cf_draft_strdup(d, p->time_zone);
	d->policy.rows = NULL;
}

const char *cf_draft_strdup(struct cf_draft *d, const char *text)
{
	return g_string_chunk_insert(d->strings, text);
}

static const char *copy_or_empty(struct cf_draft *d, const char *text)
{
	return text && *text ? cf_draft_strdup(d, text) : "";
}

struct cf_snapshot *cf_draft_finish(struct cf_draft *d,
				    struct ba_problems *problems)
{
	size_t before = problems->n;

	sort_entries(d);
	resolve_services(d);
	sort_routes_by_path(d);
	cf_draft_check(d, problems);
	cf_draft_check_rollouts(d, problems);
	if (problems->n > before)
		return NULL;
	add_default_rows(d);
	return build_snapshot(d);
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

static void sort_entries(struct cf_draft *d)
{
	cf_sort_array(d->services, by_service_name);
	cf_sort_array(d->routes, by_route_name);
	cf_sort_array(d->rows, by_row_service);
	cf_draft_sort_teams(d);
}

/* Encoded entries are sorted already; checking is cheaper than sorting. */
void cf_sort_array(GArray *a, GCompareFunc compare)
{
	guint size = g_array_get_element_size(a);

	for (guint i = 1; i < a->len; i++) {
		if (compare(a->data + (i - 1) * size, a->data + i * size) <= 0)
			continue;
		g_array_sort(a, compare);
		return;
	}
}

static void resolve_services(struct cf_draft *d)
{
	for (guint i = 0; i < d->routes->len; i++) {
		struct cf_draft_route *r =
			&g_array_index(d->routes, struct cf_draft_route, i);

		r->value.service = cf_draft_service_find(d, r->service);
	}
}

static void sort_routes_by_path(struct cf_draft *d)
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

/* Equal routes stay in file order, so that the later one is reported. */
static gint by_path(gconstpointer a, gconstpointer b)
{
	const struct cf_draft_route *const *x = a;
	const struct cf_draft_route *const *y = b;
	int order = cf_route_compare(&(*x)->value, &(*y)->value);

	return order ? order : (*x)->line - (*y)->line;
}

/*
 * Rows and services are both sorted and every row has its service, so one pass
 * over the services finds those without a row.
 */
static void add_default_rows(struct cf_draft *d)
{
	guint n_given = d->rows->len;
	guint row = 0;

	for (guint i = 0; i < d->services->len; i++) {
		const struct cf_service *s =
			&g_array_index(d->services, struct cf_draft_service, i)
				 .value;
		struct cf_policy_row default_row = {
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
			cf_draft_add_row(d, &default_row, s->name, 0);
	}
	cf_sort_array(d->rows, by_row_service);
}

static struct cf_snapshot *build_snapshot(struct cf_draft *d)
{
	struct cf_snapshot_impl *impl = g_new0(struct cf_snapshot_impl, 1);
	struct cf_snapshot *s = &impl->s;

	impl->refs = 1;
	impl->strings = g_steal_pointer(&d->strings);
	s->version = d->version;
	s->policy = d->policy;
	s->n_services = d->services->len;
	s->n_routes = d->routes->len;
	s->services = g_new0(struct cf_service, s->n_services + 1);
	s->routes = g_new0(struct cf_route, s->n_routes + 1);
	s->revision = d->revision;
	s->limits = d->limits;
	s->n_rollouts = d->rollouts->len;
	s->rollouts = g_memdup2(d->rollouts->data,
				d->rollouts->len * sizeof(struct cf_rollout));
	s->policy.rows = g_new0(struct cf_policy_row, s->n_services + 1);
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
	resolve_parts(d, impl);
	build_path_index(d, impl);
	cf_draft_build_teams(d, impl);
	s->digest = cf_snapshot_digest(s);
	return s;
}

/*
 * Sorting moves the routes, not the parts: first_part stays a valid index into
 * the parts of the draft.
 */
static void resolve_parts(const struct cf_draft *d,
			  struct cf_snapshot_impl *impl)
{
	impl->parts = g_new0(struct cf_part, d->parts->len + 1);
	for (guint i = 0; i < d->parts->len; i++) {
		const struct cf_draft_part *p =
			&g_array_index(d->parts, struct cf_draft_part, i);

		impl->parts[i].service = cf_draft_service_find(d, p->service);
		impl->parts[i].weight = p->weight;
	}
	for (guint i = 0; i < d->routes->len; i++) {
		const struct cf_draft_route *r =
			&g_array_index(d->routes, struct cf_draft_route, i);

		if (!r->n_parts)
			continue;
		impl->s.routes[i].parts = &impl->parts[r->first_part];
		impl->s.routes[i].n_parts = r->n_parts;
	}
}

static void build_path_index(const struct cf_draft *d,
			     struct cf_snapshot_impl *impl)
{
	const struct cf_draft_route *first =
		(const struct cf_draft_route *)d->routes->data;

	impl->by_path = g_new0(const struct cf_route *, impl->s.n_routes + 1);
	for (guint i = 0; i < d->by_path->len; i++) {
		const struct cf_draft_route *r =
			g_ptr_array_index(d->by_path, i);

		impl->by_path[i] = &impl->s.routes[r - first];
	}
}
