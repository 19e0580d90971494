/*
 * Teams of callers: the key that a request shows, the team that has it, and the
 * priority that follows.
 */
#include <strings.h>

#include "base/ba_result.h"
#include "call/cl_team.h"
#include "proxy/px_internal.h"
#include "report/rt.h"

/*
 * Number of priorities that are told apart, of teams and of routes; a greater
 * one counts as the last of them.
 */
#define PRIORITIES ((uint32_t)1001)

static int find_team(const struct px_exchange *x, const struct cf_team **out);
static uint32_t compose_priority(const struct cf_team *t,
				 const struct cf_route *r);

int px_team_identify(struct px_exchange *x, const struct cf_route *r)
{
	int code;

	x->priority = r->priority;
	if (!x->snapshot->has_teams)
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
	bool has_teams =
		x->team_name || (x->snapshot && x->snapshot->has_teams);

	return has_teams && (!strcasecmp(field, CL_TEAM_KEY_FIELD) ||
			     x->p->dialect->is_team_field(field));
}

static int find_team(const struct px_exchange *x, const struct cf_team **out)
{
	const struct ht_head *h = ht_conn_head(x->downstream->conn);
	bool one = ht_head_count(h, CL_TEAM_KEY_FIELD) == 1;

	return cl_team_identify(x->snapshot,
				one ? ht_head_get(h, CL_TEAM_KEY_FIELD) : NULL,
				out);
}

/*
 * The priority of the team goes before that of the route, which takes its place
 * where there is no team or the team has none.
 */
static uint32_t compose_priority(const struct cf_team *t,
				 const struct cf_route *r)
{
	uint32_t first = t && t->has_priority ? t->priority : r->priority;

	return MIN(first, PRIORITIES - 1) * PRIORITIES +
	       MIN(r->priority, PRIORITIES - 1);
}
