#include <string.h>

#include "base/ba_result.h"
#include "config/cf_internal.h"

/* A CfSnapshot message whose parts stand in arrays of this struct. */
struct encoder {
	CfSnapshot m;
	CfPolicy policy;
	CfService *services;
	CfRoute *routes;
	CfPolicyRow *rows;
};

static void encoder_init(struct encoder *e, const struct cf_snapshot *s);
static void encoder_free(struct encoder *e);
static void pack(const ProtobufCMessage *m, struct ba_buf *out);
static uint32_t to_ms(ba_time t);
static ba_time from_ms(uint32_t ms);

void cf_snapshot_encode(const struct cf_snapshot *s, struct ba_buf *out)
{
	struct encoder e;

	encoder_init(&e, s);
	pack(&e.m.base, out);
	encoder_free(&e);
}

struct ba_digest cf_snapshot_digest(const struct cf_snapshot *s)
{
	struct ba_buf text = {0};
	struct ba_digest digest;
	struct encoder e;

	encoder_init(&e, s);
	e.m.version = 0;
	pack(&e.m.base, &text);
	encoder_free(&e);
	digest = ba_digest(text.data, text.len);
	ba_buf_free(&text);
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
	for (size_t i = 0; i < m->n_services; i++)
		cf_from_service(&d, m->services[i]);
	for (size_t i = 0; i < m->n_routes; i++)
		cf_from_route(&d, m->routes[i]);
	if (m->policy) {
		cf_from_policy(&d, m->policy);
		for (size_t i = 0; i < m->policy->n_rows; i++)
			cf_from_row(&d, m->policy->rows[i]);
	}
	*out = cf_draft_finish(&d, &problems);
	ret = problems.n ? problems.list[0].code : BA_OK;
	ba_problems_free(&problems);
	cf_draft_free(&d);
	cf_snapshot__free_unpacked(m, NULL);
	return ret;
}

void cf_to_service(CfService *m, const struct cf_service *s)
{
	cf_service__init(m);
	m->name = (char *)s->name;
	m->max_in_flight = s->max_in_flight;
	m->timeout_ms = to_ms(s->timeout);
}

void cf_to_route(CfRoute *m, const struct cf_snapshot *s,
		 const struct cf_route *r)
{
	cf_route__init(m);
	m->name = (char *)r->name;
	m->path = (char *)r->path;
	m->method = (char *)r->method;
	m->service = (char *)s->services[r->service].name;
	m->idempotent = r->idempotent;
}

void cf_to_row(CfPolicyRow *m, const struct cf_snapshot *s,
	       const struct cf_row *r)
{
	cf_policy_row__init(m);
	m->service = (char *)s->services[r->service].name;
	m->weight = r->weight;
	m->convergence_limit_ms = to_ms(r->convergence_limit);
	m->calls_limit = r->calls_limit;
	m->deadline_ms = to_ms(r->deadline);
}

void cf_to_policy(CfPolicy *m, const struct cf_policy *p)
{
	cf_policy__init(m);
	m->time_zone = (char *)p->time_zone;
	m->cross_region_bytes_per_day = p->cross_region_bytes_per_day;
	m->convergence_weight = p->convergence_weight;
	m->bytes_weight = p->bytes_weight;
	m->convergence_limit_ms = to_ms(p->convergence_limit);
}

void cf_from_service(struct cf_draft *d, const CfService *m)
{
	struct cf_service s = {
		.name = m->name,
		.max_in_flight = m->max_in_flight,
		.timeout = from_ms(m->timeout_ms),
	};

	cf_draft_service(d, &s, 0);
}

void cf_from_route(struct cf_draft *d, const CfRoute *m)
{
	struct cf_route r = {
		.name = m->name,
		.path = m->path,
		.method = m->method,
		.idempotent = m->idempotent,
	};

	cf_draft_route(d, &r, m->service, 0);
}

void cf_from_row(struct cf_draft *d, const CfPolicyRow *m)
{
	struct cf_row r = {
		.weight = m->weight,
		.convergence_limit = from_ms(m->convergence_limit_ms),
		.calls_limit = m->calls_limit,
		.deadline = from_ms(m->deadline_ms),
	};

	cf_draft_row(d, &r, m->service, 0);
}

void cf_from_policy(struct cf_draft *d, const CfPolicy *m)
{
	struct cf_policy p = {
		.time_zone = m->time_zone,
		.cross_region_bytes_per_day = m->cross_region_bytes_per_day,
		.convergence_weight = m->convergence_weight,
		.bytes_weight = m->bytes_weight,
		.convergence_limit = from_ms(m->convergence_limit_ms),
	};

	cf_draft_policy(d, &p);
}

static void encoder_init(struct encoder *e, const struct cf_snapshot *s)
{
	cf_snapshot__init(&e->m);
	e->services = g_new(CfService, s->n_services + 1);
	e->routes = g_new(CfRoute, s->n_routes + 1);
	e->rows = g_new(CfPolicyRow, s->n_services + 1);
	e->m.version = s->version;
	e->m.n_services = s->n_services;
	e->m.n_routes = s->n_routes;
	e->m.services = g_new(CfService *, s->n_services + 1);
	e->m.routes = g_new(CfRoute *, s->n_routes + 1);
	e->m.policy = &e->policy;
	cf_to_policy(&e->policy, &s->policy);
	e->policy.n_rows = s->n_services;
	e->policy.rows = g_new(CfPolicyRow *, s->n_services + 1);
	for (size_t i = 0; i < s->n_services; i++) {
		cf_to_service(&e->services[i], &s->services[i]);
		cf_to_row(&e->rows[i], s, &s->policy.rows[i]);
		e->m.services[i] = &e->services[i];
		e->policy.rows[i] = &e->rows[i];
	}
	for (size_t i = 0; i < s->n_routes; i++) {
		cf_to_route(&e->routes[i], s, &s->routes[i]);
		e->m.routes[i] = &e->routes[i];
	}
}

static void encoder_free(struct encoder *e)
{
	g_free(e->m.services);
	g_free(e->m.routes);
	g_free(e->policy.rows);
	g_free(e->services);
	g_free(e->routes);
	g_free(e->rows);
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
