#include <string.h>

#include "base/ba_result.h"
#include "base/ba_unit.h"
#include "config/cf_internal.h"

/* A CfSnapshot message, and the storage of its submessages. */
struct encoder {
	CfSnapshot m;
	CfPolicy policy;
	CfLimits limits;
	CfService *services;
	CfRoute *routes;
	CfPolicyRow *rows;
	CfTeam *teams;
};

static void encoder_init(struct encoder *e, const struct cf_snapshot *s,
			 enum cf_form form);
static void encoder_free(struct encoder *e);
static void add_entries(struct cf_draft *d, const CfSnapshot *m);
static void pack(const ProtobufCMessage *m, struct ba_buf *out);
static uint32_t to_ms(ba_time t);
static ba_time from_ms(uint32_t ms);

void cf_snapshot_encode(const struct cf_snapshot *s, enum cf_form form,
			struct ba_buf *out)
{
	struct encoder e;

	encoder_init(&e, s, form);
	pack(&e.m.base, out);
	encoder_free(&e);
}

struct ba_digest cf_snapshot_digest(const struct cf_snapshot *s)
{
	struct ba_buf encoded = {0};
	struct ba_digest digest;
	struct encoder e;

	encoder_init(&e, s, CF_FORM_DIGESTS);
	e.m.version = 0;
	pack(&e.m.base, &encoded);
	encoder_free(&e);
	digest = ba_digest(encoded.data, encoded.len);
	ba_buf_free(&encoded);
	return digest;
}

int cf_snapshot_decode(const void *data, size_t len, struct cf_snapshot **out)
{
	CfSnapshot *m = cf_snapshot__unpack(NULL, len, data);
	struct ba_problems problems = {0};
	struct cf_draft d;
	int ret;

	if (!m)
		return CF_ENCODING_WRONG;
	cf_draft_init(&d, m->version);
	add_entries(&d, m);
	cf_draft_add_rollouts_proto(&d, m->rollouts, m->n_rollouts);
	if (m->policy) {
		cf_draft_set_policy_proto(&d, m->policy);
		for (size_t i = 0; i < m->policy->n_rows; i++)
			cf_draft_add_row_proto(&d, m->policy->rows[i]);
	}
	*out = cf_draft_finish(&d, &problems);
	ret = problems.n ? problems.list[0].code : BA_OK;
	ba_problems_free(&problems);
	cf_draft_free(&d);
	cf_snapshot__free_unpacked(m, NULL);
	return ret;
}

int cf_snapshot_decode_submission(const void *data, size_t len,
				  const struct cf_snapshot *base,
				  uint64_t version, struct cf_snapshot **out,
				  struct ba_problems *problems)
{
	CfSnapshot *m = cf_snapshot__unpack(NULL, len, data);
	struct cf_draft d;

	if (!m)
		return CF_ENCODING_WRONG;
	cf_draft_init(&d, version);
	add_entries(&d, m);
	cf_draft_copy_policy(&d, base);
	*out = cf_draft_finish(&d, problems);
	cf_draft_free(&d);
	cf_snapshot__free_unpacked(m, NULL);
	return problems->n ? problems->list[0].code : BA_OK;
}

static void add_entries(struct cf_draft *d, const CfSnapshot *m)
{
	for (size_t i = 0; i < m->n_services; i++)
		cf_draft_add_service_proto(d, m->services[i]);
	for (size_t i = 0; i < m->n_routes; i++)
		cf_draft_add_route_proto(d, m->routes[i]);
	for (size_t i = 0; i < m->n_teams; i++)
		cf_draft_add_team_proto(d, m->teams[i]);
	d->has_teams |= m->teams_empty;
	d->revision = m->revision;
	d->limits = cf_limits_from_proto(m->limits);
}

void cf_service_to_proto(CfService *m, const struct cf_service *s)
{
	cf_service__init(m);
	m->health_path = (char *)s->health_path;
	m->max_connections = s->max_connections;
	m->protocol = (char *)s->protocol;
	m->tls = s->tls;
	m->name = (char *)s->name;
	m->max_in_flight = s->max_in_flight;
	m->timeout_ms = to_ms(s->timeout);
}

void cf_route_to_proto(CfRoute *m, const struct cf_snapshot *s,
		       const struct cf_route *r)
{
	cf_route__init(m);
	m->name = (char *)r->name;
	m->path = (char *)r->path;
	m->method = (char *)r->method;
	m->service = (char *)s->services[r->service].name;
	m->idempotent = r->idempotent;
	m->host = (char *)r->host;
	m->timeout_ms = to_ms(r->timeout);
	m->latency_target_ms = to_ms(r->latency_target);
	m->priority = r->priority;
	m->attempts = r->attempts;
	m->download = r->download;
	m->upload = r->upload;
	m->open = r->open;
	m->named_service = (char *)r->named_service;
	if (!r->n_parts)
		return;
	m->parts = g_new(CfPart *, r->n_parts);
	m->n_parts = r->n_parts;
	for (size_t i = 0; i < r->n_parts; i++) {
		m->parts[i] = g_new(CfPart, 1);
		cf_part__init(m->parts[i]);
		m->parts[i]->service =
			(char *)s->services[r->parts[i].service].name;
		cf_number_to_proto(r->parts[i].weight, &m->parts[i]->weight,
				   &m->parts[i]->weight_rest);
	}
}

void cf_number_to_proto(double number, uint32_t *whole, double *rest)
{
	bool fits = number >= 0 && number <= UINT32_MAX && ba_is_whole(number);

	*whole = fits ? (uint32_t)number : 0;
	*rest = fits ? 0 : number;
}

void cf_route_proto_clear(CfRoute *m)
{
	for (size_t i = 0; i < m->n_parts; i++)
		g_free(m->parts[i]);
	g_free(m->parts);
}

void cf_limits_to_proto(CfLimits *m, const struct cf_limits *l)
{
	cf_limits__init(m);
	m->max_header_bytes = l->max_header_bytes;
	m->max_body_bytes = l->max_body_bytes;
	m->header_timeout_ms = to_ms(l->header_timeout);
	m->idle_timeout_ms = to_ms(l->idle_timeout);
}

struct cf_limits cf_limits_from_proto(const CfLimits *m)
{
	struct cf_limits l = {0};

	if (!m)
		return l;
	l.max_header_bytes = m->max_header_bytes;
	l.max_body_bytes = m->max_body_bytes;
	l.header_timeout = from_ms(m->header_timeout_ms);
	l.idle_timeout = from_ms(m->idle_timeout_ms);
	return l;
}

void cf_policy_row_to_proto(CfPolicyRow *m, const struct cf_snapshot *s,
			    const struct cf_policy_row *r)
{
	cf_policy_row__init(m);
	m->service = (char *)s->services[r->service].name;
	m->weight = r->weight;
	m->convergence_limit_ms = to_ms(r->convergence_limit);
	m->calls_limit = r->calls_limit;
	m->deadline_ms = to_ms(r->deadline);
}

void cf_policy_to_proto(CfPolicy *m, const struct cf_policy *p)
{
	cf_policy__init(m);
	m->time_zone = (char *)p->time_zone;
	m->cross_region_bytes_per_day = p->cross_region_bytes_per_day;
	m->convergence_weight = p->convergence_weight;
	m->bytes_weight = p->bytes_weight;
	m->convergence_limit_ms = to_ms(p->convergence_limit);
}

void cf_draft_add_service_proto(struct cf_draft *d, const CfService *m)
{
	struct cf_service s = {
		.name = m->name,
		.max_in_flight = m->max_in_flight,
		.timeout = from_ms(m->timeout_ms),
		.health_path = m->health_path,
		.max_connections = m->max_connections,
		.protocol = m->protocol,
		.tls = m->tls,
	};

	cf_draft_add_service(d, &s, 0);
}

void cf_draft_add_route_proto(struct cf_draft *d, const CfRoute *m)
{
	struct cf_route r = {
		.name = m->name,
		.path = m->path,
		.method = m->method,
		.idempotent = m->idempotent,
		.host = m->host,
		.download = m->download,
		.upload = m->upload,
		.open = m->open,
		.named_service = m->named_service,
		.timeout = from_ms(m->timeout_ms),
		.latency_target = from_ms(m->latency_target_ms),
		.priority = m->priority,
		.attempts = m->attempts,
	};

	cf_draft_add_route(d, &r, m->service, 0);
	for (size_t i = 0; i < m->n_parts; i++)
		cf_draft_add_part(d, m->parts[i]->service,
				  m->parts[i]->weight +
					  m->parts[i]->weight_rest);
}

void cf_draft_add_row_proto(struct cf_draft *d, const CfPolicyRow *m)
{
	struct cf_policy_row r = {
		.weight = m->weight,
		.convergence_limit = from_ms(m->convergence_limit_ms),
		.calls_limit = m->calls_limit,
		.deadline = from_ms(m->deadline_ms),
	};

	cf_draft_add_row(d, &r, m->service, 0);
}

void cf_draft_set_policy_proto(struct cf_draft *d, const CfPolicy *m)
{
	struct cf_policy p = {
		.time_zone = m->time_zone,
		.cross_region_bytes_per_day = m->cross_region_bytes_per_day,
		.convergence_weight = m->convergence_weight,
		.bytes_weight = m->bytes_weight,
		.convergence_limit = from_ms(m->convergence_limit_ms),
	};

	cf_draft_set_policy(d, &p);
}

static void encoder_init(struct encoder *e, const struct cf_snapshot *s,
			 enum cf_form form)
{
	cf_snapshot__init(&e->m);
	e->services = g_new(CfService, s->n_services + 1);
	e->routes = g_new(CfRoute, s->n_routes + 1);
	e->rows = g_new(CfPolicyRow, s->n_services + 1);
	e->teams = g_new(CfTeam, s->n_teams + 1);
	e->m.version = s->version;
	e->m.revision = s->revision;
	cf_limits_to_proto(&e->limits, &s->limits);
	if (protobuf_c_message_get_packed_size(&e->limits.base))
		e->m.limits = &e->limits;
	e->m.rollouts = cf_rollouts_to_proto(s);
	e->m.n_rollouts = s->n_rollouts;
	e->m.n_services = s->n_services;
	e->m.n_routes = s->n_routes;
	e->m.services = g_new(CfService *, s->n_services + 1);
	e->m.routes = g_new(CfRoute *, s->n_routes + 1);
	e->m.policy = &e->policy;
	cf_policy_to_proto(&e->policy, &s->policy);
	e->policy.n_rows = s->n_services;
	e->policy.rows = g_new(CfPolicyRow *, s->n_services + 1);
	for (size_t i = 0; i < s->n_services; i++) {
		cf_service_to_proto(&e->services[i], &s->services[i]);
		cf_policy_row_to_proto(&e->rows[i], s, &s->policy.rows[i]);
		e->m.services[i] = &e->services[i];
		e->policy.rows[i] = &e->rows[i];
	}
	for (size_t i = 0; i < s->n_routes; i++) {
		cf_route_to_proto(&e->routes[i], s, &s->routes[i]);
		e->m.routes[i] = &e->routes[i];
	}
	e->m.teams_empty = s->has_teams && !s->n_teams;
	e->m.n_teams = s->n_teams;
	e->m.teams = g_new(CfTeam *, s->n_teams + 1);
	for (size_t i = 0; i < s->n_teams; i++) {
		cf_team_to_proto(&e->teams[i], &s->teams[i], form);
		e->m.teams[i] = &e->teams[i];
	}
}

static void encoder_free(struct encoder *e)
{
	for (size_t i = 0; i < e->m.n_routes; i++)
		cf_route_proto_clear(&e->routes[i]);
	for (size_t i = 0; i < e->m.n_teams; i++)
		cf_team_proto_clear(&e->teams[i]);
	cf_rollouts_proto_free(e->m.rollouts);
	g_free(e->m.services);
	g_free(e->m.routes);
	g_free(e->m.teams);
	g_free(e->policy.rows);
	g_free(e->services);
	g_free(e->routes);
	g_free(e->rows);
	g_free(e->teams);
}

static void pack(const ProtobufCMessage *m, struct ba_buf *out)
{
	size_t len = protobuf_c_message_get_packed_size(m);

	ba_buf_reserve(out, len);
	protobuf_c_message_pack(m, out->data + out->len);
	out->len += len;
}

static uint32_t to_ms(ba_time t)
{
	return (uint32_t)(t / BA_MS);
}

static ba_time from_ms(uint32_t ms)
{
	return ms * BA_MS;
}
