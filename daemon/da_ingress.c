#include <string.h>

#include <glib.h>

#include "call/cl_team.h"
#include "daemon/da_ingress.h"
#include "report/rt.h"

static int find_route(struct da_call *c);
static int check_team(const struct da_call *c, const struct cf_route *r);
static int find_key(struct da_call *c);
static ba_time time_limit(const struct cf_snapshot *s, int service);

int da_ingress_resolve(struct da_call *c)
{
	struct da_shared *shared = c->w->shared;
	int code;

	if (shared->closing)
		return CL_DRAINING;
	if (!shared->snapshot || !shared->snapshot->version)
		return CL_NOT_CONFIGURED;
	c->snapshot = cf_snapshot_ref(shared->snapshot);
	code = find_route(c);
	if ((code == CL_NO_ROUTE || code == CL_TEAM_KEY_MISSING ||
	     code == CL_TEAM_KEY_UNKNOWN) &&
	    ba_clock_now() >= shared->current_until)
		return CL_NOT_CURRENT;
	if (code)
		return code;
	if (!cl_admit_has_capacity(shared->in_progress,
				   DA_MAX_CALLS_IN_PROGRESS, c->weight,
				   shared->max_weight))
		return CL_OVERLOADED;
	return find_key(c);
}

int da_ingress_set_deadline(struct da_call *c, ba_time limit)
{
	const char *text = da_headers_get(&c->headers, CL_HEADER_TIME_LEFT);
	int64_t ms;
	char *end;

	if (text) {
		ms = g_ascii_strtoll(text, &end, 10);
		if (end == text || *end)
			return CL_REQUEST_MALFORMED;
		if (ms <= 0)
			return CL_DEADLINE_EXPIRED;
		if (ms < limit / BA_MS)
			limit = ms * BA_MS;
	}
	c->deadline = c->arrived + limit;
	if (c->deadline <= ba_clock_now())
		return CL_DEADLINE_EXPIRED;
	return BA_OK;
}

static int find_route(struct da_call *c)
{
	const struct cf_snapshot *s = c->snapshot;
	char *path = g_strndup(c->target, strcspn(c->target, "?"));
	const struct cf_route *route =
		cf_route_match_any_host(s, c->method, path);
	int code;

	g_free(path);
	if (!route)
		return CL_NO_ROUTE;
	code = check_team(c, route);
	if (code)
		return code;
	c->service = g_strdup(s->services[route->service].name);
	c->idempotent = route->idempotent || route->download;
	c->weight = s->policy.rows ? s->policy.rows[route->service].weight : 1;
	return da_ingress_set_deadline(c, time_limit(s, route->service));
}

static int check_team(const struct da_call *c, const struct cf_route *r)
{
	bool one = da_headers_count(&c->headers, CL_TEAM_KEY_FIELD) == 1;
	const struct cf_team *team;
	int code;

	if (!c->snapshot->has_teams || r->open)
		return BA_OK;
	code = cl_team_identify(
		c->snapshot,
		one ? da_headers_get(&c->headers, CL_TEAM_KEY_FIELD) : NULL,
		&team);
	if (code)
		rt_count(code == CL_TEAM_KEY_MISSING ? RT_TEAM_KEYS_MISSING
						     : RT_TEAM_KEYS_UNKNOWN,
			 1);
	return code;
}

/* On an idempotent route a key is ignored: repeated runs are allowed there. */
static int find_key(struct da_call *c)
{
	const char *key = da_headers_get(&c->headers, CL_HEADER_KEY);

	if (c->idempotent)
		return BA_OK;
	if (!key)
		return CL_KEY_REQUIRED;
	c->key = g_strdup(key);
	return cl_key_parse(c->key, &c->parsed_key);
}

static ba_time time_limit(const struct cf_snapshot *s, int service)
{
	ba_time limit = CL_TIME_LIMIT;

	if (s->services[service].timeout &&
	    s->services[service].timeout < limit)
		limit = s->services[service].timeout;
	if (s->policy.rows && s->policy.rows[service].deadline &&
	    s->policy.rows[service].deadline < limit)
		limit = s->policy.rows[service].deadline;
	return limit;
}
