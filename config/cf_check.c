#include <string.h>

#include "base/ba_result.h"
#include "config/cf_internal.h"

static void check_counts(const struct cf_draft *d, struct ba_problems *p);
static void check_services(const struct cf_draft *d, struct ba_problems *p);
static void check_service(const struct cf_draft_service *s,
			  struct ba_problems *p);
static void check_routes(const struct cf_draft *d, struct ba_problems *p);
static void check_route(const struct cf_draft_route *r, struct ba_problems *p);
static void check_paths(const struct cf_draft *d, struct ba_problems *p);
static void check_policy(const struct cf_draft *d, struct ba_problems *p);
static void check_rows(const struct cf_draft *d, struct ba_problems *p);
static bool walk_to(const struct cf_draft *d, guint *at, const char *name);
static void check_row(const struct cf_draft_row *r, struct ba_problems *p);
static int line_of(int line);
static void check_name(const char *name, int line, const char *key,
		       struct ba_problems *p);
static void check_time(ba_time t, int line, const char *key,
		       struct ba_problems *p);
static void check_number(uint32_t n, uint32_t least, uint32_t most, int line,
			 const char *key, struct ba_problems *p);
static bool is_path(const char *path);
static bool is_method(const char *method);
static bool is_time_zone(const char *zone);

void cf_check(const struct cf_draft *d, struct ba_problems *problems)
{
	check_counts(d, problems);
	check_services(d, problems);
	check_routes(d, problems);
	check_paths(d, problems);
	check_policy(d, problems);
	check_rows(d, problems);
}

static void check_counts(const struct cf_draft *d, struct ba_problems *p)
{
	if (d->services->len > CF_SERVICES_LIMIT)
		ba_problem_add(p, CF_TOO_MANY, 0, "services", "%d at most",
			       CF_SERVICES_LIMIT);
	if (d->routes->len > CF_ROUTES_LIMIT)
		ba_problem_add(p, CF_TOO_MANY, 0, "routes", "%d at most",
			       CF_ROUTES_LIMIT);
}

static void check_services(const struct cf_draft *d, struct ba_problems *p)
{
	const char *last = NULL;

	for (guint i = 0; i < d->services->len; i++) {
		const struct cf_draft_service *s =
			&g_array_index(d->services, struct cf_draft_service, i);

		if (s->line != CF_LINE_KEPT)
			check_service(s, p);
		if (last && !strcmp(last, s->value.name))
			ba_problem_add(p, CF_DUPLICATE_NAME, line_of(s->line),
				       "services.name", "one service \"%s\"",
				       last);
		last = s->value.name;
	}
}

static void check_service(const struct cf_draft_service *s,
			  struct ba_problems *p)
{
	check_name(s->value.name, s->line, "services.name", p);
	check_number(s->value.max_in_flight, 0, CF_IN_FLIGHT_LIMIT, s->line,
		     "services.max_in_flight", p);
	check_time(s->value.timeout, s->line, "services.timeout", p);
}

static void check_routes(const struct cf_draft *d, struct ba_problems *p)
{
	const char *last = NULL;

	for (guint i = 0; i < d->routes->len; i++) {
		const struct cf_draft_route *r =
			&g_array_index(d->routes, struct cf_draft_route, i);

		if (r->line != CF_LINE_KEPT)
			check_route(r, p);
		if (r->value.service == CF_NO_SERVICE)
			ba_problem_add(p, CF_ROUTE_DANGLING, line_of(r->line),
				       "routes.service",
				       "the name of a service, not \"%s\"",
				       r->service);
		if (last && !strcmp(last, r->value.name))
			ba_problem_add(p, CF_DUPLICATE_NAME, line_of(r->line),
				       "routes.name", "one route \"%s\"", last);
		last = r->value.name;
	}
}

static void check_route(const struct cf_draft_route *r, struct ba_problems *p)
{
	check_name(r->value.name, r->line, "routes.name", p);
	if (!is_path(r->value.path))
		ba_problem_add(p, BA_RANGE_WRONG, r->line, "routes.path",
			       "a path such as \"/plans\", %d bytes at most, "
			       "without a final '/'",
			       CF_PATH_BYTES);
	if (!is_method(r->value.method))
		ba_problem_add(p, BA_RANGE_WRONG, r->line, "routes.method",
			       "a method such as \"GET\", or none");
}

/* Two routes of the same path and method would make the choice arbitrary. */
static void check_paths(const struct cf_draft *d, struct ba_problems *p)
{
	const struct cf_draft_route *last = NULL;

	for (guint i = 0; i < d->by_path->len; i++) {
		const struct cf_draft_route *r =
			g_ptr_array_index(d->by_path, i);

		if (last && !cf_route_compare(&last->value, &r->value))
			ba_problem_add(p, CF_DUPLICATE_NAME, line_of(r->line),
				       "routes.path",
				       "one route for %s %s, not \"%s\" too",
				       *r->value.method ? r->value.method
							: "every method of",
				       r->value.path, last->value.name);
		last = r;
	}
}

static void check_policy(const struct cf_draft *d, struct ba_problems *p)
{
	const struct cf_policy *y = &d->policy;

	if (!is_time_zone(y->time_zone))
		ba_problem_add(p, BA_RANGE_WRONG, 0, "mesh.time_zone",
			       "a name such as \"America/Bogota\"");
	check_number(y->convergence_weight, 0, CF_WEIGHT_LIMIT, 0,
		     "mesh.convergence_weight", p);
	check_number(y->bytes_weight, 0, CF_WEIGHT_LIMIT, 0,
		     "mesh.bytes_weight", p);
	if (!y->convergence_weight && !y->bytes_weight)
		ba_problem_add(p, BA_RANGE_WRONG, 0, "mesh.convergence_weight",
			       "one of the two weights above 0");
	check_time(y->convergence_limit, 0, "mesh.convergence_limit", p);
}

static void check_rows(const struct cf_draft *d, struct ba_problems *p)
{
	const char *last = NULL;
	guint at = 0;

	for (guint i = 0; i < d->rows->len; i++) {
		const struct cf_draft_row *r =
			&g_array_index(d->rows, struct cf_draft_row, i);

		if (r->line != CF_LINE_KEPT)
			check_row(r, p);
		if (!walk_to(d, &at, r->service))
			ba_problem_add(p, CF_POLICY_ROW_DANGLING,
				       line_of(r->line), "rows.service",
				       "the name of a service, not \"%s\"",
				       r->service);
		if (last && !strcmp(last, r->service))
			ba_problem_add(p, CF_DUPLICATE_NAME, line_of(r->line),
				       "rows.service", "one row for \"%s\"",
				       last);
		last = r->service;
	}
}

/* Rows and services are both sorted; whether service @name is there. */
static bool walk_to(const struct cf_draft *d, guint *at, const char *name)
{
	int order = -1;

	while (*at < d->services->len && order < 0) {
		order = strcmp(
			g_array_index(d->services, struct cf_draft_service, *at)
				.value.name,
			name);
		*at += order < 0;
	}
	return !order;
}

static void check_row(const struct cf_draft_row *r, struct ba_problems *p)
{
	check_number(r->value.weight, 1, CF_WEIGHT_LIMIT, r->line,
		     "rows.weight", p);
	check_time(r->value.convergence_limit, r->line,
		   "rows.convergence_limit", p);
	check_time(r->value.deadline, r->line, "rows.deadline", p);
}

static int line_of(int line)
{
	return line == CF_LINE_KEPT ? 0 : line;
}

static void check_name(const char *name, int line, const char *key,
		       struct ba_problems *p)
{
	size_t len = strlen(name);

	if (!len || len > CF_NAME_BYTES ||
	    strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-") != len)
		ba_problem_add(p, CF_NAME_WRONG, line, key,
			       "a to z, 0 to 9 and '-', 1 to %d characters",
			       CF_NAME_BYTES);
}

/* The encoding counts milliseconds, so nothing finer can be kept. */
static void check_time(ba_time t, int line, const char *key,
		       struct ba_problems *p)
{
	if (t < BA_MS || t > CF_TIME_LIMIT || t % BA_MS)
		ba_problem_add(p, BA_RANGE_WRONG, line, key,
			       "\"1ms\" to \"24h\" in whole milliseconds");
}

static void check_number(uint32_t n, uint32_t least, uint32_t most, int line,
			 const char *key, struct ba_problems *p)
{
	if (n < least || n > most)
		ba_problem_add(p, BA_RANGE_WRONG, line, key, "%u to %u", least,
			       most);
}

static bool is_path(const char *path)
{
	size_t len = strlen(path);

	if (path[0] != '/' || len > CF_PATH_BYTES || strstr(path, "//"))
		return false;
	if (len > 1 && path[len - 1] == '/')
		return false;
	for (const char *c = path; *c; c++)
		if (*c <= ' ' || *c >= 0x7f || strchr("?#\\\"", *c))
			return false;
	return true;
}

static bool is_method(const char *method)
{
	size_t len = strlen(method);

	return len <= CF_METHOD_BYTES &&
	       strspn(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == len;
}

static bool is_time_zone(const char *zone)
{
	size_t len = strlen(zone);

	return len && len <= CF_ZONE_BYTES && zone[0] != '/' &&
	       !strstr(zone, "..") &&
	       strspn(zone, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
			    "abcdefghijklmnopqrstuvwxyz0123456789_+-/") == len;
}
