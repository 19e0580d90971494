#include <string.h>

#include "base/ba_result.h"
#include "config/cf_internal.h"

/* A CfDelta under construction, and the storage of its submessages. */
struct delta {
	CfDelta m;
	CfPolicy policy;
	CfLimits limits;
	CfService *services;
	CfRoute *routes;
	CfPolicyRow *rows;
	CfTeam *teams;
};

static void diff_services(struct delta *d, const struct cf_snapshot *from,
			  const struct cf_snapshot *to);
static void diff_routes(struct delta *d, const struct cf_snapshot *from,
			const struct cf_snapshot *to);
static void diff_teams(struct delta *d, const struct cf_snapshot *from,
		       const struct cf_snapshot *to, enum cf_form form);
static void diff_policy(struct delta *d, const struct cf_snapshot *from,
			const struct cf_snapshot *to);
static void diff_rows(struct delta *d, const struct cf_snapshot *from,
		      const struct cf_snapshot *to);
static void add_put_service(struct delta *d, const struct cf_service *s);
static void add_put_route(struct delta *d, const struct cf_snapshot *to,
			  const struct cf_route *r);
static bool same_service(const struct cf_service *a,
			 const struct cf_service *b);
static bool same_route(const struct cf_snapshot *from, const struct cf_route *a,
		       const struct cf_snapshot *to, const struct cf_route *b);
static bool same_parts(const struct cf_snapshot *from, const struct cf_route *a,
		       const struct cf_snapshot *to, const struct cf_route *b);
static bool same_policy(const struct cf_policy *a, const struct cf_policy *b);
static bool same_row(const struct cf_policy_row *a,
		     const struct cf_policy_row *b);
static void delta_init(struct delta *d, const struct cf_snapshot *from,
		       const struct cf_snapshot *to);
static void delta_free(struct delta *d);
static int apply(const struct cf_snapshot *from, const CfDelta *m,
		 struct cf_snapshot **out);
static GHashTable *name_set(char *const *drops, size_t n_drops);
static void apply_services(struct cf_draft *d, const struct cf_snapshot *from,
			   const CfDelta *m);
static void apply_routes(struct cf_draft *d, const struct cf_snapshot *from,
			 const CfDelta *m);
static void apply_teams(struct cf_draft *d, const struct cf_snapshot *from,
			const CfDelta *m);
static void apply_rows(struct cf_draft *d, const struct cf_snapshot *from,
		       const CfDelta *m);

void cf_delta_encode(const struct cf_snapshot *from,
		     const struct cf_snapshot *to, enum cf_form form,
		     struct ba_buf *out)
{
	struct delta d;
	size_t len;

	delta_init(&d, from, to);
	diff_services(&d, from, to);
	diff_routes(&d, from, to);
	diff_teams(&d, from, to, form);
	diff_policy(&d, from, to);
	diff_rows(&d, from, to);
	len = cf_delta__get_packed_size(&d.m);
	ba_buf_reserve(out, len);
	cf_delta__pack(&d.m, out->data + out->len);
	out->len += len;
	delta_free(&d);
}

int cf_delta_apply(const struct cf_snapshot *from, const void *data, size_t len,
		   struct cf_snapshot **out)
{
	CfDelta *m = cf_delta__unpack(NULL, len, data);
	int ret;

	if (!m)
		return CF_ENCODING_WRONG;
	if (m->from_version != from->version)
		ret = CF_DELTA_BASE_WRONG;
	else if (m->to_version <= m->from_version)
		ret = CF_VERSION_OLDER;
	else if (m->to_digest.len != BA_DIGEST_BYTES)
		ret = CF_ENCODING_WRONG;
	else
		ret = apply(from, m, out);
	cf_delta__free_unpacked(m, NULL);
	return ret;
}

static void diff_services(struct delta *d, const struct cf_snapshot *from,
			  const struct cf_snapshot *to)
{
	size_t i = 0;
	size_t j = 0;

	while (i < from->n_services || j < to->n_services) {
		const struct cf_service *a = &from->services[i];
		const struct cf_service *b = &to->services[j];
		int order = i == from->n_services ? 1
			    : j == to->n_services ? -1
						  : strcmp(a->name, b->name);

		if (order < 0) {
			d->m.drop_services[d->m.n_drop_services++] =
				(char *)a->name;
			i++;
			continue;
		}
		if (order || !same_service(a, b))
			add_put_service(d, b);
		i += !order;
		j++;
	}
}

static void diff_routes(struct delta *d, const struct cf_snapshot *from,
			const struct cf_snapshot *to)
{
	size_t i = 0;
	size_t j = 0;

	while (i < from->n_routes || j < to->n_routes) {
		const struct cf_route *a = &from->routes[i];
		const struct cf_route *b = &to->routes[j];
		int order = i == from->n_routes ? 1
			    : j == to->n_routes ? -1
						: strcmp(a->name, b->name);

		if (order < 0) {
			d->m.drop_routes[d->m.n_drop_routes++] =
				(char *)a->name;
			i++;
			continue;
		}
		if (order || !same_route(from, a, to, b))
			add_put_route(d, to, b);
		i += !order;
		j++;
	}
}

static void diff_teams(struct delta *d, const struct cf_snapshot *from,
		       const struct cf_snapshot *to, enum cf_form form)
{
	size_t i = 0;
	size_t j = 0;

	while (i < from->n_teams || j < to->n_teams) {
		const struct cf_team *a = &from->teams[i];
		const struct cf_team *b = &to->teams[j];
		int order = i == from->n_teams ? 1
			    : j == to->n_teams ? -1
					       : strcmp(a->name, b->name);

		if (order < 0) {
			d->m.drop_teams[d->m.n_drop_teams++] = (char *)a->name;
			i++;
			continue;
		}
		if (order || !cf_team_same(a, b)) {
			CfTeam *put = &d->teams[d->m.n_put_teams];

			cf_team_to_proto(put, b, form);
			d->m.put_teams[d->m.n_put_teams++] = put;
		}
		i += !order;
		j++;
	}
}

static void diff_policy(struct delta *d, const struct cf_snapshot *from,
			const struct cf_snapshot *to)
{
	if (same_policy(&from->policy, &to->policy))
		return;
	cf_policy_to_proto(&d->policy, &to->policy);
	d->m.policy = &d->policy;
}

static void diff_rows(struct delta *d, const struct cf_snapshot *from,
		      const struct cf_snapshot *to)
{
	size_t i = 0;

	for (size_t j = 0; j < to->n_services; j++) {
		const struct cf_policy_row *row = &to->policy.rows[j];
		CfPolicyRow *put = &d->rows[d->m.n_put_rows];
		int order = 1;

		while (i < from->n_services && order > 0) {
			order = strcmp(to->services[j].name,
				       from->services[i].name);
			i += order > 0;
		}
		if (!order && i < from->n_services &&
		    same_row(&from->policy.rows[i], row))
			continue;
		cf_policy_row_to_proto(put, to, row);
		d->m.put_rows[d->m.n_put_rows++] = put;
	}
}

static void add_put_service(struct delta *d, const struct cf_service *s)
{
	CfService *put = &d->services[d->m.n_put_services];

	cf_service_to_proto(put, s);
	d->m.put_services[d->m.n_put_services++] = put;
}

static void add_put_route(struct delta *d, const struct cf_snapshot *to,
			  const struct cf_route *r)
{
	CfRoute *put = &d->routes[d->m.n_put_routes];

	cf_route_to_proto(put, to, r);
	d->m.put_routes[d->m.n_put_routes++] = put;
}

static bool same_service(const struct cf_service *a, const struct cf_service *b)
{
	return a->max_in_flight == b->max_in_flight &&
	       a->timeout == b->timeout && a->tls == b->tls &&
	       a->max_connections == b->max_connections &&
	       !strcmp(a->health_path, b->health_path) &&
	       !strcmp(a->protocol, b->protocol);
}

static bool same_route(const struct cf_snapshot *from, const struct cf_route *a,
		       const struct cf_snapshot *to, const struct cf_route *b)
{
	return a->idempotent == b->idempotent && a->download == b->download &&
	       a->upload == b->upload && a->timeout == b->timeout &&
	       a->latency_target == b->latency_target &&
	       a->priority == b->priority && a->attempts == b->attempts &&
	       a->open == b->open && !strcmp(a->host, b->host) &&
	       !strcmp(a->path, b->path) && !strcmp(a->method, b->method) &&
	       !strcmp(a->named_service, b->named_service) &&
	       !strcmp(from->services[a->service].name,
		       to->services[b->service].name) &&
	       same_parts(from, a, to, b);
}

static bool same_parts(const struct cf_snapshot *from, const struct cf_route *a,
		       const struct cf_snapshot *to, const struct cf_route *b)
{
	if (a->n_parts != b->n_parts)
		return false;
	for (size_t i = 0; i < a->n_parts; i++)
		if (a->parts[i].weight != b->parts[i].weight ||
		    strcmp(from->services[a->parts[i].service].name,
			   to->services[b->parts[i].service].name) != 0)
			return false;
	return true;
}

static bool same_policy(const struct cf_policy *a, const struct cf_policy *b)
{
	return !strcmp(a->time_zone, b->time_zone) &&
	       a->cross_region_bytes_per_day == b->cross_region_bytes_per_day &&
	       a->convergence_weight == b->convergence_weight &&
	       a->bytes_weight == b->bytes_weight &&
	       a->convergence_limit == b->convergence_limit;
}

static bool same_row(const struct cf_policy_row *a,
		     const struct cf_policy_row *b)
{
	return a->weight == b->weight && a->calls_limit == b->calls_limit &&
	       a->convergence_limit == b->convergence_limit &&
	       a->deadline == b->deadline;
}

static void delta_init(struct delta *d, const struct cf_snapshot *from,
		       const struct cf_snapshot *to)
{
	cf_delta__init(&d->m);
	d->m.from_version = from->version;
	d->m.to_version = to->version;
	d->m.revision = to->revision;
	cf_limits_to_proto(&d->limits, &to->limits);
	if (protobuf_c_message_get_packed_size(&d->limits.base))
		d->m.limits = &d->limits;
	d->m.teams_empty = to->has_teams && !to->n_teams;
	d->m.to_digest.data = (uint8_t *)to->digest.bytes;
	d->m.to_digest.len = sizeof(to->digest.bytes);
	d->services = g_new(CfService, to->n_services + 1);
	d->routes = g_new(CfRoute, to->n_routes + 1);
	d->rows = g_new(CfPolicyRow, to->n_services + 1);
	if (!cf_rollouts_equal(from, to)) {
		d->m.rollouts_changed = true;
		d->m.rollouts = cf_rollouts_to_proto(to);
		d->m.n_rollouts = to->n_rollouts;
	}
	d->m.put_services = g_new(CfService *, to->n_services + 1);
	d->m.put_routes = g_new(CfRoute *, to->n_routes + 1);
	d->m.put_rows = g_new(CfPolicyRow *, to->n_services + 1);
	d->teams = g_new(CfTeam, to->n_teams + 1);
	d->m.put_teams = g_new(CfTeam *, to->n_teams + 1);
	d->m.drop_teams = g_new(char *, from->n_teams + 1);
	d->m.drop_services = g_new(char *, from->n_services + 1);
	d->m.drop_routes = g_new(char *, from->n_routes + 1);
}

static void delta_free(struct delta *d)
{
	for (size_t i = 0; i < d->m.n_put_routes; i++)
		cf_route_proto_clear(d->m.put_routes[i]);
	for (size_t i = 0; i < d->m.n_put_teams; i++)
		cf_team_proto_clear(d->m.put_teams[i]);
	cf_rollouts_proto_free(d->m.rollouts);
	g_free(d->services);
	g_free(d->routes);
	g_free(d->rows);
	g_free(d->m.put_services);
	g_free(d->m.put_routes);
	g_free(d->m.put_rows);
	g_free(d->m.drop_services);
	g_free(d->m.drop_routes);
	g_free(d->teams);
	g_free(d->m.put_teams);
	g_free(d->m.drop_teams);
}

static int apply(const struct cf_snapshot *from, const CfDelta *m,
		 struct cf_snapshot **out)
{
	struct ba_problems problems = {0};
	struct cf_snapshot *s;
	struct cf_draft d;
	int ret = BA_OK;

	cf_draft_init(&d, m->to_version);
	d.revision = m->revision;
	d.limits = cf_limits_from_proto(m->limits);
	apply_services(&d, from, m);
	apply_routes(&d, from, m);
	apply_teams(&d, from, m);
	if (m->policy)
		cf_draft_set_policy_proto(&d, m->policy);
	else
		cf_draft_set_policy(&d, &from->policy);
	apply_rows(&d, from, m);
	if (m->rollouts_changed)
		cf_draft_add_rollouts_proto(&d, m->rollouts, m->n_rollouts);
	else
		cf_draft_copy_rollouts(&d, from);
	s = cf_draft_finish(&d, &problems);
	if (!s) {
		ret = problems.list[0].code;
	} else if (memcmp(s->digest.bytes, m->to_digest.data,
			  BA_DIGEST_BYTES) != 0) {
		ret = CF_DIGEST_WRONG;
		cf_snapshot_unref(s);
	} else {
		*out = s;
	}
	ba_problems_free(&problems);
	cf_draft_free(&d);
	return ret;
}

/*
 * Returns the set of the dropped names.  Callers add the names of put entries;
 * entries of the base snapshot that are in neither are kept.
 */
static GHashTable *name_set(char *const *drops, size_t n_drops)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < n_drops; i++)
		g_hash_table_add(names, drops[i]);
	return names;
}

static void apply_services(struct cf_draft *d, const struct cf_snapshot *from,
			   const CfDelta *m)
{
	GHashTable *names = name_set(m->drop_services, m->n_drop_services);

	for (size_t i = 0; i < m->n_put_services; i++) {
		g_hash_table_add(names, m->put_services[i]->name);
		cf_draft_add_service_proto(d, m->put_services[i]);
	}
	for (size_t i = 0; i < from->n_services; i++)
		if (!g_hash_table_contains(names, from->services[i].name))
			cf_draft_add_service(d, &from->services[i],
					     CF_LINE_FROM_SNAPSHOT);
	g_hash_table_destroy(names);
}

static void apply_routes(struct cf_draft *d, const struct cf_snapshot *from,
			 const CfDelta *m)
{
	GHashTable *names = name_set(m->drop_routes, m->n_drop_routes);

	for (size_t i = 0; i < m->n_put_routes; i++) {
		g_hash_table_add(names, m->put_routes[i]->name);
		cf_draft_add_route_proto(d, m->put_routes[i]);
	}
	for (size_t i = 0; i < from->n_routes; i++) {
		const struct cf_route *r = &from->routes[i];

		if (!g_hash_table_contains(names, r->name))
			cf_draft_copy_route(d, from, r);
	}
	g_hash_table_destroy(names);
}

static void apply_teams(struct cf_draft *d, const struct cf_snapshot *from,
			const CfDelta *m)
{
	GHashTable *names = name_set(m->drop_teams, m->n_drop_teams);

	d->has_teams = m->teams_empty;
	for (size_t i = 0; i < m->n_put_teams; i++) {
		g_hash_table_add(names, m->put_teams[i]->name);
		cf_draft_add_team_proto(d, m->put_teams[i]);
	}
	for (size_t i = 0; i < from->n_teams; i++)
		if (!g_hash_table_contains(names, from->teams[i].name))
			cf_draft_copy_team(d, &from->teams[i]);
	g_hash_table_destroy(names);
}

/* A row exists only together with its service; a dropped service drops it. */
static void apply_rows(struct cf_draft *d, const struct cf_snapshot *from,
		       const CfDelta *m)
{
	GHashTable *names = name_set(m->drop_services, m->n_drop_services);

	for (size_t i = 0; i < m->n_put_rows; i++) {
		g_hash_table_add(names, m->put_rows[i]->service);
		cf_draft_add_row_proto(d, m->put_rows[i]);
	}
	for (size_t i = 0; i < from->n_services; i++) {
		const char *name = from->services[i].name;

		if (!g_hash_table_contains(names, name))
			cf_draft_add_row(d, &from->policy.rows[i], name,
					 CF_LINE_FROM_SNAPSHOT);
	}
	g_hash_table_destroy(names);
}
