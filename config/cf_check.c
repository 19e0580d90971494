#include <math.h>
#include <string.h>

#include "base/ba_result.h"
#include "config/cf_internal.h"

static void check_counts(const struct cf_draft *d, struct ba_problems *p);
static void check_services(const struct cf_draft *d, struct ba_problems *p);
static void check_service(const struct cf_draft_service *s,
			  struct ba_problems *p);
static void check_routes(const struct cf_draft *d, struct ba_problems *p);
static void check_route(const struct cf_draft_route *r, struct ba_problems *p);
static void check_host_route(const struct cf_draft_route *r,
			     struct ba_problems *p);
static void check_parts(const struct cf_draft *d,
			const struct cf_draft_route *r, struct ba_problems *p);
static void check_unique_paths(const struct cf_draft *d, struct ba_problems *p);
static void check_policy(const struct cf_draft *d, struct ba_problems *p);
static void check_rows(const struct cf_draft *d, struct ba_problems *p);
static bool advance_to_service(const struct cf_draft *d, guint *at,
			       const char *name);
static void check_row(const struct cf_draft_row *r, struct ba_problems *p);
static void name_entry(struct ba_problems *p, size_t from, const char *name);
static int reported_line(int line);
static bool is_file_name(const char *name);
static bool is_message_name(const char *name);
static void check_time(ba_time t, int line, const char *key,
		       struct ba_problems *p);
static bool is_path(const char *path, int limit);
static bool has_trailing_slash(const char *path);
static bool is_host(const char *host);
static bool is_method(const char *method);
static bool is_time_zone(const char *zone);

void cf_draft_check(const struct cf_draft *d, struct ba_problems *problems)
{
	check_counts(d, problems);
	check_services(d, problems);
	check_routes(d, problems);
	check_unique_paths(d, problems);
	cf_draft_check_teams(d, problems);
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
		size_t before = p->n;

		if (s->line != CF_LINE_FROM_SNAPSHOT)
			check_service(s, p);
		if (last && !strcmp(last, s->value.name))
			ba_problem_add(p, CF_DUPLICATE_NAME,
				       reported_line(s->line), "services.name",
				       "one service \"%s\"", last);
		name_entry(p, before, s->value.name);
		last = s->value.name;
	}
}

static void check_service(const struct cf_draft_service *s,
			  struct ba_problems *p)
{
	cf_check_name(s->value.name, s->line, "services.name", p);
	cf_check_number(s->value.max_in_flight, 0, CF_IN_FLIGHT_LIMIT, s->line,
			"services.max_in_flight", p);
	check_time(s->value.timeout, s->line, "services.timeout", p);
}

static void check_routes(const struct cf_draft *d, struct ba_problems *p)
{
	const char *last = NULL;

	for (guint i = 0; i < d->routes->len; i++) {
		const struct cf_draft_route *r =
			&g_array_index(d->routes, struct cf_draft_route, i);
		size_t before = p->n;

		if (r->line != CF_LINE_FROM_SNAPSHOT) {
			check_route(r, p);
			check_host_route(r, p);
		}
		check_parts(d, r, p);
		if (r->value.service == CF_NO_SERVICE)
			ba_problem_add(p, CF_ROUTE_DANGLING,
				       reported_line(r->line), "routes.service",
				       "the name of a service, not \"%s\"",
				       r->service);
		if (last && !strcmp(last, r->value.name))
			ba_problem_add(p, CF_DUPLICATE_NAME,
				       reported_line(r->line), "routes.name",
				       "one route \"%s\"", last);
		name_entry(p, before, r->value.name);
		last = r->value.name;
	}
}

static void check_route(const struct cf_draft_route *r, struct ba_problems *p)
{
	int path_limit = r->line ? CF_FILE_PATH_BYTES : CF_PATH_BYTES;

	cf_check_name(r->value.name, r->line, "routes.name", p);
	if (!is_path(r->value.path, path_limit) ||
	    (!*r->value.host && has_trailing_slash(r->value.path)))
		ba_problem_add(p, BA_RANGE_WRONG, r->line, "routes.path",
			       "a path such as \"/plans\", %d bytes at most, "
			       "without a final '/'",
			       path_limit);
	if (!is_method(r->value.method))
		ba_problem_add(p, BA_RANGE_WRONG, r->line, "routes.method",
			       "a method such as \"GET\", or none");
	if (r->value.upload && (r->value.idempotent || r->value.download))
		ba_problem_add(p, BA_RANGE_WRONG, r->line, "routes.upload",
			       "no idempotent route and no download");
}

/* A route with a host must set its timeout; others use that of the service. */
static void check_host_route(const struct cf_draft_route *r,
			     struct ba_problems *p)
{
	const struct cf_route *v = &r->value;

	if (!*v->host)
		return;
	if (!is_host(v->host))
		ba_problem_add(p, BA_RANGE_WRONG, r->line, "routes.host",
			       "a host name in lower case without a port");
	check_time(v->timeout, r->line, "routes.timeout", p);
	if (v->latency_target >= v->timeout + CF_TARGET_EXCESS_LIMIT)
		ba_problem_add(p, BA_RANGE_WRONG, r->line,
			       "routes.latency_target",
			       "less than a minute above the timeout");
}

static void check_parts(const struct cf_draft *d,
			const struct cf_draft_route *r, struct ba_problems *p)
{
	double sum = 0;

	if (!r->n_parts)
		return;
	if (*r->value.named_service &&
	    cf_draft_service_find(d, r->value.named_service) == CF_NO_SERVICE)
		ba_problem_add(p, CF_ROUTE_DANGLING, reported_line(r->line),
			       "routes.service",
			       "the name of a service, not \"%s\"",
			       r->value.named_service);
	if (r->n_parts > CF_PARTS_LIMIT)
		ba_problem_add(p, CF_TOO_MANY, reported_line(r->line),
			       "routes.split", "%d parts at most",
			       CF_PARTS_LIMIT);
	for (guint i = 0; i < r->n_parts; i++) {
		const struct cf_draft_part *part = &g_array_index(
			d->parts, struct cf_draft_part, r->first_part + i);

		sum += cf_is_amount(part->weight) ? part->weight : NAN;
		if (cf_draft_service_find(d, part->service) == CF_NO_SERVICE)
			ba_problem_add(p, CF_ROUTE_DANGLING,
				       reported_line(r->line),
				       "routes.split.service",
				       "the name of a service, not \"%s\"",
				       part->service);
	}
	if (!isfinite(sum) || sum <= 0)
		ba_problem_add(p, BA_RANGE_WRONG, reported_line(r->line),
			       "routes.split.weight",
			       "weights of 0 or more, whose sum is above 0");
}

/* With two routes of one host, path and method the match would be arbitrary. */
static void check_unique_paths(const struct cf_draft *d, struct ba_problems *p)
{
	const struct cf_draft_route *last = NULL;

	for (guint i = 0; i < d->by_path->len; i++) {
		const struct cf_draft_route *r =
			g_ptr_array_index(d->by_path, i);

		if (last && !cf_route_compare(&last->value, &r->value))
			ba_problem_add(p, CF_DUPLICATE_NAME,
				       reported_line(r->line), "routes.path",
				       "one route for %s %s, not \"%s\" too",
				       *r->value.method ? r->value.method
							: "every method of",
				       r->value.path, last->value.name);
		last = r;
	}
}

static void check_policy(const struct cf_draft *d, struct ba_problems *p)
{
	const struct cf_policy *policy = &d->policy;

	if (!is_time_zone(policy->time_zone))
		ba_problem_add(p, BA_RANGE_WRONG, 0, "mesh.time_zone",
			       "a name such as \"America/Bogota\"");
	cf_check_number(policy->convergence_weight, 0, CF_WEIGHT_LIMIT, 0,
			"mesh.convergence_weight", p);
	cf_check_number(policy->bytes_weight, 0, CF_WEIGHT_LIMIT, 0,
			"mesh.bytes_weight", p);
	if (!policy->convergence_weight && !policy->bytes_weight)
		ba_problem_add(p, BA_RANGE_WRONG, 0, "mesh.convergence_weight",
			       "one of the two weights above 0");
	check_time(policy->convergence_limit, 0, "mesh.convergence_limit", p);
}

static void check_rows(const struct cf_draft *d, struct ba_problems *p)
{
	const char *last = NULL;
	guint at = 0;

	for (guint i = 0; i < d->rows->len; i++) {
		const struct cf_draft_row *r =
			&g_array_index(d->rows, struct cf_draft_row, i);

		if (r->line != CF_LINE_FROM_SNAPSHOT)
			check_row(r, p);
		if (!advance_to_service(d, &at, r->service))
			ba_problem_add(p, CF_POLICY_ROW_DANGLING,
				       reported_line(r->line), "rows.service",
				       "the name of a service, not \"%s\"",
				       r->service);
		if (last && !strcmp(last, r->service))
			ba_problem_add(p, CF_DUPLICATE_NAME,
				       reported_line(r->line), "rows.service",
				       "one row for \"%s\"", last);
		last = r->service;
	}
}

/*
 * Advances @at to service @name, and returns whether it exists.  Rows and
 * services are both sorted by name, so @at only moves forward.
 */
static bool advance_to_service(const struct cf_draft *d, guint *at,
			       const char *name)
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
	cf_check_number(r->value.weight, 1, CF_WEIGHT_LIMIT, r->line,
			"rows.weight", p);
	check_time(r->value.convergence_limit, r->line,
		   "rows.convergence_limit", p);
	check_time(r->value.deadline, r->line, "rows.deadline", p);
}

/* A configuration that is no file has no lines to tell its entries by. */
static void name_entry(struct ba_problems *p, size_t from, const char *name)
{
	for (size_t i = from; i < p->n; i++) {
		char *expected = p->list[i].expected;

		p->list[i].expected =
			g_strdup_printf("%s; in \"%s\"", expected, name);
		g_free(expected);
	}
}

static int reported_line(int line)
{
	return line == CF_LINE_FROM_SNAPSHOT ? 0 : line;
}

bool cf_is_amount(double number)
{
	return number >= 0 && isfinite(number);
}

/* Names in messages are those of a platform, which has rules of its own. */
void cf_check_name(const char *name, int line, const char *key,
		   struct ba_problems *p)
{
	if (line && !is_file_name(name))
		ba_problem_add(p, CF_NAME_WRONG, line, key,
			       "a to z, 0 to 9 and '-', 1 to %d characters",
			       CF_FILE_NAME_BYTES);
	if (!line && !is_message_name(name))
		ba_problem_add(p, CF_NAME_WRONG, line, key,
			       "1 to %d printable characters of ASCII, "
			       "without a blank at either end",
			       CF_NAME_BYTES);
}

static bool is_file_name(const char *name)
{
	size_t len = strlen(name);

	return len && len <= CF_FILE_NAME_BYTES &&
	       strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-") == len;
}

/* Names are sent in fields of HTTP, whose readers strip blanks at the ends. */
static bool is_message_name(const char *name)
{
	size_t len = strlen(name);

	for (size_t i = 0; i < len; i++)
		if (name[i] < ' ' || name[i] >= 0x7f)
			return false;
	return len && len <= CF_NAME_BYTES && name[0] != ' ' &&
	       name[len - 1] != ' ';
}

/* The encoding has a resolution of 1 ms; finer values cannot be stored. */
static void check_time(ba_time t, int line, const char *key,
		       struct ba_problems *p)
{
	if (t < BA_MS || t > CF_TIME_LIMIT || t % BA_MS)
		ba_problem_add(p, BA_RANGE_WRONG, line, key,
			       "\"1ms\" to \"24h\" in whole milliseconds");
}

void cf_check_number(uint32_t n, uint32_t least, uint32_t most, int line,
		     const char *key, struct ba_problems *p)
{
	if (n < least || n > most)
		ba_problem_add(p, BA_RANGE_WRONG, line, key, "%u to %u", least,
			       most);
}

static bool is_path(const char *path, int limit)
{
	size_t len = strlen(path);

	if (path[0] != '/' || len > (size_t)limit || strstr(path, "//"))
		return false;
	for (const char *c = path; *c; c++)
		if (*c <= ' ' || *c >= 0x7f || strchr("?#\\\"", *c))
			return false;
	return true;
}

/*
 * A path with a trailing '/' matches what is below it, but not the path
 * itself.  Only routes with a host may have one.
 */
static bool has_trailing_slash(const char *path)
{
	size_t len = strlen(path);

	return len > 1 && path[len - 1] == '/';
}

static bool is_host(const char *host)
{
	size_t len = strlen(host);

	return len <= CF_HOST_BYTES &&
	       strspn(host, "abcdefghijklmnopqrstuvwxyz0123456789.-_") == len;
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

	return len && len <= CF_TIME_ZONE_BYTES && zone[0] != '/' &&
	       !strstr(zone, "..") &&
	       strspn(zone, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
			    "abcdefghijklmnopqrstuvwxyz0123456789_+-/") == len;
}
