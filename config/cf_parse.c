#include <stddef.h>
#include <string.h>

#include "base/ba_result.h"
#include "base/ba_settings.h"
#include "config/cf_internal.h"

/*
 * Values of one table of the file, as ba_settings_read_table() fills them in.
 * KEY() makes the name of a member the name of its key in the file.
 */
struct parsed_service {
	char *name;
	int64_t max_in_flight;
	ba_time timeout;
};

struct parsed_route {
	char *name;
	char *path;
	char *method;
	char *service;
	bool idempotent;
	bool download;
	bool upload;
	bool open;
};

struct parsed_team {
	char *name;
	struct ba_strings keys;
	int64_t priority; /* -1 for none */
	int64_t calls_per_second;
	int64_t burst;
};

struct parsed_mesh {
	char *time_zone;
	int64_t cross_region_bytes_per_day;
	int64_t convergence_weight;
	int64_t bytes_weight;
	ba_time convergence_limit;
};

struct parsed_row {
	char *service;
	int64_t weight;
	ba_time convergence_limit;
	int64_t calls_limit;
	ba_time deadline;
};

#define KEY(table, type, member, kind, required, default_text, least, most)    \
	{                                                                      \
		table, #member, kind, required, offsetof(struct type, member), \
			default_text, (int64_t)(least), (int64_t)(most)        \
	}

static const struct ba_settings_key service_keys[] = {
	KEY("services", parsed_service, name, BA_KIND_STRING, true, NULL, 0, 0),
	KEY("services", parsed_service, max_in_flight, BA_KIND_INTEGER, false,
	    "0", 0, CF_IN_FLIGHT_LIMIT),
	KEY("services", parsed_service, timeout, BA_KIND_DURATION, false, "10s",
	    BA_MS, CF_TIME_LIMIT),
	{NULL, NULL, BA_KIND_STRING, false, 0, NULL, 0, 0},
};

static const struct ba_settings_key route_keys[] = {
	KEY("routes", parsed_route, name, BA_KIND_STRING, true, NULL, 0, 0),
	KEY("routes", parsed_route, path, BA_KIND_STRING, true, NULL, 0, 0),
	KEY("routes", parsed_route, method, BA_KIND_STRING, false, "", 0, 0),
	KEY("routes", parsed_route, service, BA_KIND_STRING, true, NULL, 0, 0),
	KEY("routes", parsed_route, idempotent, BA_KIND_BOOLEAN, false, "false",
	    0, 0),
	KEY("routes", parsed_route, download, BA_KIND_BOOLEAN, false, "false",
	    0, 0),
	KEY("routes", parsed_route, upload, BA_KIND_BOOLEAN, false, "false", 0,
	    0),
	KEY("routes", parsed_route, open, BA_KIND_BOOLEAN, false, "false", 0,
	    0),
	{NULL, NULL, BA_KIND_STRING, false, 0, NULL, 0, 0},
};

static const struct ba_settings_key team_keys[] = {
	KEY("teams", parsed_team, name, BA_KIND_STRING, true, NULL, 0, 0),
	KEY("teams", parsed_team, keys, BA_KIND_STRINGS, true, NULL, 0, 0),
	KEY("teams", parsed_team, priority, BA_KIND_INTEGER, false, "-1", -1,
	    CF_PRIORITY_LIMIT),
	KEY("teams", parsed_team, calls_per_second, BA_KIND_INTEGER, false, "0",
	    0, UINT32_MAX),
	KEY("teams", parsed_team, burst, BA_KIND_INTEGER, false, "0", 0,
	    UINT32_MAX),
	{NULL, NULL, BA_KIND_STRING, false, 0, NULL, 0, 0},
};

static const struct ba_settings_key mesh_keys[] = {
	KEY("mesh", parsed_mesh, time_zone, BA_KIND_STRING, false, "UTC", 0, 0),
	KEY("mesh", parsed_mesh, cross_region_bytes_per_day, BA_KIND_BYTES,
	    false, "0B", 0, 0),
	KEY("mesh", parsed_mesh, convergence_weight, BA_KIND_INTEGER, false,
	    "50", 0, CF_WEIGHT_LIMIT),
	KEY("mesh", parsed_mesh, bytes_weight, BA_KIND_INTEGER, false, "50", 0,
	    CF_WEIGHT_LIMIT),
	KEY("mesh", parsed_mesh, convergence_limit, BA_KIND_DURATION, false,
	    "6s", BA_MS, CF_TIME_LIMIT),
	{NULL, NULL, BA_KIND_STRING, false, 0, NULL, 0, 0},
};

static const struct ba_settings_key row_keys[] = {
	KEY("rows", parsed_row, service, BA_KIND_STRING, true, NULL, 0, 0),
	KEY("rows", parsed_row, weight, BA_KIND_INTEGER, false, "100", 1,
	    CF_WEIGHT_LIMIT),
	KEY("rows", parsed_row, convergence_limit, BA_KIND_DURATION, false,
	    NULL, BA_MS, CF_TIME_LIMIT),
	KEY("rows", parsed_row, calls_limit, BA_KIND_INTEGER, false, "0", 0,
	    UINT32_MAX),
	KEY("rows", parsed_row, deadline, BA_KIND_DURATION, false, NULL, BA_MS,
	    CF_TIME_LIMIT),
	{NULL, NULL, BA_KIND_STRING, false, 0, NULL, 0, 0},
};

typedef void (*table_reader)(const struct ba_toml *table,
			     const struct cf_snapshot *base, struct cf_draft *d,
			     struct ba_problems *problems);

static int parse(const char *text, size_t len, struct ba_problems *problems,
		 struct ba_toml **out);
static void check_root_keys(const struct ba_toml *root,
			    const char *const *names, size_t n_names,
			    struct ba_problems *problems);
static void read_array(const struct ba_toml *root, const char *name,
		       table_reader read, const struct cf_snapshot *base,
		       struct cf_draft *d, struct ba_problems *problems);
static void read_service(const struct ba_toml *table,
			 const struct cf_snapshot *base, struct cf_draft *d,
			 struct ba_problems *problems);
static void read_route(const struct ba_toml *table,
		       const struct cf_snapshot *base, struct cf_draft *d,
		       struct ba_problems *problems);
static void read_team(const struct ba_toml *table,
		      const struct cf_snapshot *base, struct cf_draft *d,
		      struct ba_problems *problems);
static void read_mesh(const struct ba_toml *root, struct cf_draft *d,
		      struct ba_problems *problems);
static void check_time_zone(const char *zone, int line,
			    struct ba_problems *problems);
static void read_row(const struct ba_toml *table,
		     const struct cf_snapshot *base, struct cf_draft *d,
		     struct ba_problems *problems);
static void copy_configuration(const struct cf_snapshot *base,
			       struct cf_draft *d);
static int finish_draft(struct cf_draft *d, struct ba_toml *root, size_t before,
			struct cf_snapshot **out, struct ba_problems *problems);

int cf_parse_configuration(const char *text, size_t len,
			   const struct cf_snapshot *base, uint64_t version,
			   struct cf_snapshot **out,
			   struct ba_problems *problems)
{
	static const char *const names[] = {"services", "routes", "teams"};
	size_t before = problems->n;
	struct ba_toml *root;
	struct cf_draft d;
	int ret = parse(text, len, problems, &root);

	if (ret)
		return ret;
	cf_draft_init(&d, version);
	check_root_keys(root, names, G_N_ELEMENTS(names), problems);
	read_array(root, "services", read_service, base, &d, problems);
	read_array(root, "routes", read_route, base, &d, problems);
	d.has_teams = ba_toml_get(root, "teams") != NULL;
	read_array(root, "teams", read_team, base, &d, problems);
	cf_draft_copy_policy(&d, base);
	return finish_draft(&d, root, before, out, problems);
}

int cf_parse_policy(const char *text, size_t len,
		    const struct cf_snapshot *base, uint64_t version,
		    struct cf_snapshot **out, struct ba_problems *problems)
{
	static const char *const names[] = {"mesh", "rows"};
	size_t before = problems->n;
	struct ba_toml *root;
	struct cf_draft d;
	int ret = parse(text, len, problems, &root);

	if (ret)
		return ret;
	cf_draft_init(&d, version);
	check_root_keys(root, names, G_N_ELEMENTS(names), problems);
	copy_configuration(base, &d);
	read_mesh(root, &d, problems);
	read_array(root, "rows", read_row, base, &d, problems);
	return finish_draft(&d, root, before, out, problems);
}

static int parse(const char *text, size_t len, struct ba_problems *problems,
		 struct ba_toml **out)
{
	struct ba_toml_error err;

	*out = ba_toml_parse(text, len, &err);
	if (*out)
		return BA_OK;
	ba_problem_add(problems, BA_SYNTAX, err.line, NULL, "TOML: %s",
		       err.text);
	return BA_SYNTAX;
}

static void check_root_keys(const struct ba_toml *root,
			    const char *const *names, size_t n_names,
			    struct ba_problems *problems)
{
	for (size_t i = 0; i < root->n_children; i++) {
		const struct ba_toml *c = &root->children[i];
		size_t at = 0;

		while (at < n_names && strcmp(c->key, names[at]) != 0)
			at++;
		if (at == n_names)
			ba_problem_add(problems, BA_KEY_UNKNOWN, c->line,
				       c->key,
				       "one of the %zu tables from \"%s\"",
				       n_names, names[0]);
	}
}

static void read_array(const struct ba_toml *root, const char *name,
		       table_reader read, const struct cf_snapshot *base,
		       struct cf_draft *d, struct ba_problems *problems)
{
	const struct ba_toml *array = ba_toml_get(root, name);

	if (!array)
		return;
	if (array->type != BA_TOML_ARRAY) {
		ba_problem_add(problems, BA_TYPE_WRONG, array->line, name,
			       "tables under [[%s]], not %s", name,
			       ba_toml_type_name(array->type));
		return;
	}
	for (size_t i = 0; i < array->n_children; i++)
		read(&array->children[i], base, d, problems);
}

static void read_service(const struct ba_toml *table,
			 const struct cf_snapshot *base, struct cf_draft *d,
			 struct ba_problems *problems)
{
	struct parsed_service v = {0};
	struct cf_service s = {0};

	(void)base;
	if (!ba_settings_read_table(table, "services", service_keys, &v,
				    problems)) {
		s.name = v.name;
		s.max_in_flight = (uint32_t)v.max_in_flight;
		s.timeout = v.timeout;
		cf_draft_add_service(d, &s, table->line);
	} else if (v.name) {
		/*
		 * The service is added by its name with default values, so
		 * that routes to it are not reported as well.
		 */
		s.name = v.name;
		s.timeout = CF_DEFAULT_TIMEOUT;
		cf_draft_add_service(d, &s, table->line);
	}
	ba_settings_free(service_keys, &v);
}

static void read_route(const struct ba_toml *table,
		       const struct cf_snapshot *base, struct cf_draft *d,
		       struct ba_problems *problems)
{
	struct parsed_route v = {0};

	(void)base;
	if (!ba_settings_read_table(table, "routes", route_keys, &v,
				    problems)) {
		struct cf_route r = {
			.name = v.name,
			.path = v.path,
			.method = v.method,
			.idempotent = v.idempotent,
			.download = v.download,
			.upload = v.upload,
			.open = v.open,
		};

		cf_draft_add_route(d, &r, cf_draft_strdup(d, v.service),
				   table->line);
	}
	ba_settings_free(route_keys, &v);
}

static void read_team(const struct ba_toml *table,
		      const struct cf_snapshot *base, struct cf_draft *d,
		      struct ba_problems *problems)
{
	struct parsed_team v = {0};

	(void)base;
	if (!ba_settings_read_table(table, "teams", team_keys, &v, problems)) {
		struct cf_team t = {
			.name = v.name,
			.has_priority = v.priority >= 0,
			.priority = (uint32_t)MAX(v.priority, 0),
			.has_calls_per_second = v.calls_per_second > 0,
			.calls_per_second = (double)v.calls_per_second,
			.has_burst = v.burst > 0,
			.burst = (double)v.burst,
		};

		cf_draft_add_team(d, &t, table->line);
		for (size_t i = 0; i < v.keys.n; i++)
			cf_draft_add_key(d, v.keys.list[i]);
	}
	ba_settings_free(team_keys, &v);
}

static void read_mesh(const struct ba_toml *root, struct cf_draft *d,
		      struct ba_problems *problems)
{
	const struct ba_toml *table = ba_toml_get(root, "mesh");
	const struct ba_toml *zone = ba_toml_get(table, "time_zone");
	struct parsed_mesh v = {0};

	if (!ba_settings_read_table(table, "mesh", mesh_keys, &v, problems)) {
		struct cf_policy p = {
			.time_zone = v.time_zone,
			.cross_region_bytes_per_day =
				(uint64_t)v.cross_region_bytes_per_day,
			.convergence_weight = (uint32_t)v.convergence_weight,
			.bytes_weight = (uint32_t)v.bytes_weight,
			.convergence_limit = v.convergence_limit,
		};

		cf_draft_set_policy(d, &p);
		check_time_zone(v.time_zone, zone ? zone->line : 0, problems);
	}
	ba_settings_free(mesh_keys, &v);
}

/* Only files need this check: a decoded snapshot has been checked before. */
static void check_time_zone(const char *zone, int line,
			    struct ba_problems *problems)
{
	GTimeZone *tz = g_time_zone_new_identifier(zone);

	if (tz)
		g_time_zone_unref(tz);
	else
		ba_problem_add(problems, BA_RANGE_WRONG, line, "mesh.time_zone",
			       "a time zone that this instance knows");
}

static void read_row(const struct ba_toml *table,
		     const struct cf_snapshot *base, struct cf_draft *d,
		     struct ba_problems *problems)
{
	struct parsed_row v = {0};

	if (!ba_settings_read_table(table, "rows", row_keys, &v, problems)) {
		int at = cf_service_find(base, v.service);
		struct cf_policy_row r = {
			.weight = (uint32_t)v.weight,
			.convergence_limit = v.convergence_limit,
			.calls_limit = (uint32_t)v.calls_limit,
			.deadline = v.deadline,
		};

		if (!r.convergence_limit)
			r.convergence_limit = d->policy.convergence_limit;
		if (!r.deadline)
			r.deadline = at == CF_NO_SERVICE
					     ? CF_DEFAULT_TIMEOUT
					     : base->services[at].timeout;
		cf_draft_add_row(d, &r, cf_draft_strdup(d, v.service),
				 table->line);
	}
	ba_settings_free(row_keys, &v);
}

/*
 * A policy file changes no service, route or team; they are copied from @base.
 * Policy rows are removed only together with their service.
 */
static void copy_configuration(const struct cf_snapshot *base,
			       struct cf_draft *d)
{
	for (size_t i = 0; i < base->n_services; i++)
		cf_draft_add_service(d, &base->services[i],
				     CF_LINE_FROM_SNAPSHOT);
	for (size_t i = 0; i < base->n_routes; i++)
		cf_draft_copy_route(d, base, &base->routes[i]);
	d->has_teams = base->has_teams;
	for (size_t i = 0; i < base->n_teams; i++)
		cf_draft_copy_team(d, &base->teams[i]);
	d->revision = base->revision;
	d->limits = base->limits;
}

/* Checks the rules even after a wrong key, to report all problems at once. */
static int finish_draft(struct cf_draft *d, struct ba_toml *root, size_t before,
			struct cf_snapshot **out, struct ba_problems *problems)
{
	struct cf_snapshot *s = cf_draft_finish(d, problems);
	int ret = BA_OK;

	if (problems->n > before) {
		ret = problems->list[before].code;
		cf_snapshot_unref(s);
	} else {
		*out = s;
	}
	cf_draft_free(d);
	ba_toml_free(root);
	return ret;
}
