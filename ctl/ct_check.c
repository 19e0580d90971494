#include <stdio.h>

#include <glib.h>

#include "base/ba_result.h"
#include "ctl/ct.h"

static int load_base_snapshot(struct ct *ct, struct cf_snapshot **out);
static json_t *snapshot_json(const struct cf_snapshot *s);
static json_t *policy_json(const struct cf_snapshot *s);
static json_t *rows_json(const struct cf_snapshot *s);
static json_t *compare_snapshots(json_t *from, json_t *to);
static void compare_section(const char *section, json_t *from, json_t *to,
			    json_t *changes);
static json_t *make_change(const char *section, const char *name, json_t *from,
			   json_t *to);
static void print_changes(json_t *changes);
static void print_fields(json_t *from, json_t *to);
static char *value_text(json_t *value);

int ct_check(struct ct *ct)
{
	struct cf_snapshot *base;
	struct cf_snapshot *s;
	int code = load_base_snapshot(ct, &base);

	if (code)
		return code;
	code = ct_file_parse(ct, ct->args[0], base, &s);
	cf_snapshot_unref(base);
	if (code)
		return code;
	if (ct->json)
		ct_json_print(json_pack("{si sI sI}", "code", 0, "services",
					(json_int_t)s->n_services, "routes",
					(json_int_t)s->n_routes));
	else
		printf("%s: valid; %zu services, %zu routes\n", ct->args[0],
		       s->n_services, s->n_routes);
	cf_snapshot_unref(s);
	return BA_OK;
}

int ct_diff(struct ct *ct)
{
	struct cf_snapshot *base;
	struct cf_snapshot *s;
	json_t *changes;
	int code = ct_fetch_current(ct, &base);

	if (code)
		return ct_fail(ct, code, "carawayctl diff");
	code = ct_file_parse(ct, ct->args[0], base, &s);
	if (code) {
		cf_snapshot_unref(base);
		return code;
	}
	changes = compare_snapshots(snapshot_json(base), snapshot_json(s));
	if (ct->json) {
		ct_json_print(json_pack("{sI sO}", "base",
					(json_int_t)base->version, "changes",
					changes));
	} else {
		print_changes(changes);
		printf("%zu changes against version %llu; to submit just "
		       "these: --base %llu\n",
		       json_array_size(changes),
		       (unsigned long long)base->version,
		       (unsigned long long)base->version);
	}
	json_decref(changes);
	cf_snapshot_unref(base);
	cf_snapshot_unref(s);
	return BA_OK;
}

/*
 * The rows of a policy name services of the current version, which is known
 * only with settings; without them the base is empty.
 */
static int load_base_snapshot(struct ct *ct, struct cf_snapshot **out)
{
	int code;

	if (!ct->settings.mesh_name) {
		*out = cf_snapshot_empty();
		return BA_OK;
	}
	code = ct_fetch_current(ct, out);
	return code ? ct_fail(ct, code, "carawayctl check") : BA_OK;
}

static json_t *snapshot_json(const struct cf_snapshot *s)
{
	json_t *services = json_object();
	json_t *routes = json_object();

	for (size_t i = 0; i < s->n_services; i++) {
		const struct cf_service *v = &s->services[i];

		json_object_set_new(
			services, v->name,
			json_pack("{sI sI}", "max_in_flight",
				  (json_int_t)v->max_in_flight, "timeout_ms",
				  (json_int_t)(v->timeout / BA_MS)));
	}
	for (size_t i = 0; i < s->n_routes; i++) {
		const struct cf_route *r = &s->routes[i];

		json_object_set_new(
			routes, r->name,
			json_pack("{ss ss ss sb sb sb}", "path", r->path,
				  "method", r->method, "service",
				  s->services[r->service].name, "idempotent",
				  r->idempotent, "download", r->download,
				  "upload", r->upload));
	}
	return json_pack("{so so so so}", "services", services, "routes",
			 routes, "policy", policy_json(s), "rows",
			 rows_json(s));
}

static json_t *policy_json(const struct cf_snapshot *s)
{
	const struct cf_policy *p = &s->policy;

	return json_pack("{s{ss? sI sI sI sI}}", "mesh", "time_zone",
			 p->time_zone, "cross_region_bytes_per_day",
			 (json_int_t)p->cross_region_bytes_per_day,
			 "convergence_weight",
			 (json_int_t)p->convergence_weight, "bytes_weight",
			 (json_int_t)p->bytes_weight, "convergence_limit_ms",
			 (json_int_t)(p->convergence_limit / BA_MS));
}

static json_t *rows_json(const struct cf_snapshot *s)
{
	json_t *rows = json_object();

	for (size_t i = 0; i < s->n_services && s->policy.rows; i++) {
		const struct cf_policy_row *r = &s->policy.rows[i];

		json_object_set_new(
			rows, s->services[i].name,
			json_pack("{sI sI sI sI}", "weight",
				  (json_int_t)r->weight, "convergence_limit_ms",
				  (json_int_t)(r->convergence_limit / BA_MS),
				  "calls_limit", (json_int_t)r->calls_limit,
				  "deadline_ms",
				  (json_int_t)(r->deadline / BA_MS)));
	}
	return rows;
}

/* Drops a reference to both; returns the changes in the order of sections. */
static json_t *compare_snapshots(json_t *from, json_t *to)
{
	static const char *const sections[] = {"services", "routes", "policy",
					       "rows"};
	json_t *changes = json_array();

	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++)
		compare_section(sections[i], json_object_get(from, sections[i]),
				json_object_get(to, sections[i]), changes);
	json_decref(from);
	json_decref(to);
	return changes;
}

static void compare_section(const char *section, json_t *from, json_t *to,
			    json_t *changes)
{
	const char *name;
	json_t *value;

	json_object_foreach (from, name, value)
		if (!json_object_get(to, name))
			json_array_append_new(
				changes,
				make_change(section, name, value, NULL));
	json_object_foreach (to, name, value)
		if (!json_equal(json_object_get(from, name), value))
			json_array_append_new(
				changes,
				make_change(section, name,
					    json_object_get(from, name),
					    value));
}

static json_t *make_change(const char *section, const char *name, json_t *from,
			   json_t *to)
{
	json_t *c = json_pack("{ss ss}", "in", section, "name", name);

	if (from)
		json_object_set(c, "from", from);
	if (to)
		json_object_set(c, "to", to);
	return c;
}

static void print_changes(json_t *changes)
{
	size_t i;
	json_t *c;

	json_array_foreach (changes, i, c) {
		json_t *from = json_object_get(c, "from");
		json_t *to = json_object_get(c, "to");

		printf("%c %s %s\n",
		       from && to ? '~'
		       : to	  ? '+'
				  : '-',
		       json_string_value(json_object_get(c, "in")),
		       json_string_value(json_object_get(c, "name")));
		print_fields(from, to);
	}
}

static void print_fields(json_t *from, json_t *to)
{
	const char *key;
	json_t *value;

	json_object_foreach (to ? to : from, key, value) {
		json_t *old = json_object_get(from, key);
		char *old_text = value_text(old);
		char *new_text = value_text(value);

		if (from && to && !json_equal(old, value))
			printf("    %s: %s -> %s\n", key, old_text, new_text);
		else if (!from || !to)
			printf("    %s: %s\n", key, new_text);
		g_free(old_text);
		g_free(new_text);
	}
}

static char *value_text(json_t *value)
{
	if (json_is_string(value))
		return g_strdup(json_string_value(value));
	if (json_is_integer(value))
		return g_strdup_printf("%lld",
				       (long long)json_integer_value(value));
	return g_strdup(json_is_true(value)    ? "true"
			: json_is_false(value) ? "false"
					       : "-");
}
