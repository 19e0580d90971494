#include <string.h>

#include "report/rt.h"
#include "report/rt_audit.h"

static unsigned int count_dangling(const struct cf_snapshot *s);
static bool is_whole(const struct cf_snapshot *s);

struct rt_audit_finding rt_audit_version(struct rt_audit *a,
					 const struct cf_snapshot *s)
{
	struct rt_audit_finding f = {0};

	f.older = s->version < a->highest;
	f.partial = !is_whole(s);
	f.dangling = count_dangling(s);
	if (s->version > a->highest)
		a->highest = s->version;
	rt_count(RT_VERSIONS_AUDITED, 1);
	rt_count(RT_ROUTES_CHECKED, s->n_routes);
	rt_count(RT_OLDER_APPLIED, f.older);
	rt_count(RT_PARTIAL_APPLIED, f.partial);
	rt_count(RT_ROUTES_DANGLING, f.dangling);
	return f;
}

static unsigned int count_dangling(const struct cf_snapshot *s)
{
	unsigned int n = 0;

	for (size_t i = 0; i < s->n_routes; i++) {
		int service = s->routes[i].service;

		n += service < 0 || (size_t)service >= s->n_services;
	}
	return n;
}

/*
 * Checks that the version has no dangling routes, and that encoding and
 * decoding it again gives its digest.
 */
static bool is_whole(const struct cf_snapshot *s)
{
	struct ba_buf encoded = {0};
	struct cf_snapshot *again = NULL;
	bool whole;

	if (count_dangling(s))
		return false;
	cf_snapshot_encode(s, CF_FORM_DIGESTS, &encoded);
	whole = !cf_snapshot_decode(encoded.data, encoded.len, &again) &&
		!memcmp(&again->digest, &s->digest, sizeof(s->digest));
	cf_snapshot_unref(again);
	ba_buf_free(&encoded);
	return whole;
}
