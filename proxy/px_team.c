/*
 * Teams of callers: the key that a request shows, the team that has it, and the
 * priority that follows.
 */
#include <string.h>
#include <strings.h>

#include "base/ba_result.h"
#include "proxy/px_internal.h"
#include "report/rt.h"

#define KEY_FIELD "Authorization"
#define KEY_SCHEME "Bearer "

/* Number of priorities of routes; those of teams count in multiples of it. */
#define ROUTE_PRIORITIES ((uint32_t)1001)

static int find_team(const struct px_exchange *x, const struct cf_team **out);
static uint32_t compose_priority(const struct cf_team *t,
				 const struct cf_route *r);

int px_team_identify(struct px_exchange *x, const struct cf_route *r)
{
	int code;

	x->priority = r->priority;
	if (!x->snapshot->n_teams)
		return BA_OK;
	code = find_team(x, &x->team);
	if (code && !r->open) {
		rt_count(code == CL_TEAM_KEY_MISSING ? RT_TEAM_KEYS_MISSING
						     : RT_TEAM_KEYS_UNKNOWN,
			 1);
		return code;
	}
	x->team_name = x->team ? x->team->name : NULL;
	x->priority = compose_priority(x->team, r);
	return BA_OK;
}

bool px_team_hides(const struct px_exchange *x, const char *field)
{
	bool has_teams = x->team_name || (x->snapshot && x->snapshot->n_teams);

	return has_teams && (!strcasecmp(field, KEY_FIELD) ||
			     x->p->dialect->is_team_field(field));
}

static int find_team(const struct px_exchange *x, const struct cf_team **out)
{
	const struct ht_head *h = ht_conn_head(x->downstream->conn);
	const char *key = ht_head_get(h, KEY_FIELD);
	struct ba_digest digest;

	*out = NULL;
	if (!key || ht_head_count(h, KEY_FIELD) != 1 ||
	    strncasecmp(key, KEY_SCHEME, strlen(KEY_SCHEME)) != 0)
		return CL_TEAM_KEY_MISSING;
	key += strlen(KEY_SCHEME);
	key += strspn(key, " ");
	digest = ba_digest(key, strlen(key));
	*out = cf_team_find_key(x->snapshot, &digest);
	return *out ? BA_OK : CL_TEAM_KEY_UNKNOWN;
}

/*
 * The priority of the team goes before that of the route, which takes its place
 * where there is no team or the team has none.
 */
static uint32_t compose_priority(const struct cf_team *t,
				 const struct cf_route *r)
{
	uint32_t first = t && t->has_priority ? t->priority : r->priority;

	return first * ROUTE_PRIORITIES + r->priority;
}
