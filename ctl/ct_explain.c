#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "ctl/ct.h"

enum {
	MIN_CODE = 100, /* of the result codes, success apart */
	MAX_CODE = 799,
	MIN_EVENT = 1001,  /* the lowest id of an event */
	MAX_LINES = 10000, /* lines found, in all logs together */
	MAX_LINE_BYTES = 4096,
};

#define MAX_HISTORY "1000" /* versions that are searched, newest first */

static const char *const severities[] = {"debug", "info", "notice", "warning",
					 "error"};

static int list_results(void);
static int list_events(void);
static int explain_event(struct ct *ct, int id);
static int explain_code(struct ct *ct, int code);
static int explain_field(struct ct *ct, const char *field);
static int explain_version(struct ct *ct, long version);
static int read_log(const char *file, const char *field, GPtrArray *lines);
static bool has_field(const char *line, const char *field);
static int compare_times(const void *a, const void *b);
static int find_by_name(const char *name);

int ct_explain(struct ct *ct)
{
	const char *what = ct->args[0];
	char *end;
	long n = strtol(what, &end, 10);

	if (!strcmp(what, "results"))
		return list_results();
	if (!strcmp(what, "events"))
		return list_events();
	if (strchr(what, '='))
		return explain_field(ct, what);
	if (*end)
		n = find_by_name(what);
	if (!*end && ct->log_files)
		return explain_version(ct, n);
	if (n >= MIN_EVENT && ba_event_info((int)n))
		return explain_event(ct, (int)n);
	if (n >= MIN_CODE && n <= MAX_CODE &&
	    (ba_result_info((int)n) != ba_result_info(BA_INTERNAL) ||
	     n == BA_INTERNAL))
		return explain_code(ct, (int)n);
	if (n > 0 && ct->settings.mesh_name)
		return explain_version(ct, n);
	fprintf(stderr,
		"%s: neither an event, a result code nor a field; examples: "
		"5004, base-stale, 12 (a version, with --settings), call=ID "
		"(with --log FILE)\n",
		what);
	return BA_USAGE;
}

/* Prints the table of docs/RESULTS.md. */
static int list_results(void)
{
	puts("| code | name | what happened | what to do | HTTP | exit |\n"
	     "|---|---|---|---|---|---|");
	for (int c = ba_result_next(-1); c >= 0; c = ba_result_next(c)) {
		const struct ba_result_info *info = ba_result_info(c);
		char http[16] = "";

		if (info->http_status)
			g_snprintf(http, sizeof(http), "%d", info->http_status);
		printf("| %d | %s | %s | %s | %s | %d |\n", c, info->name,
		       info->text, info->next_step, http, info->exit_code);
	}
	return BA_OK;
}

/* Prints the table of docs/EVENTS.md. */
static int list_events(void)
{
	puts("| event | name | severity | what happened |\n|---|---|---|---|");
	for (int id = ba_event_next(-1); id >= 0; id = ba_event_next(id)) {
		const struct ba_event_info *info = ba_event_info(id);

		printf("| %d | %s | %s | %s |\n", id, info->name,
		       severities[info->severity], info->text);
	}
	return BA_OK;
}

static int explain_event(struct ct *ct, int id)
{
	const struct ba_event_info *info = ba_event_info(id);

	if (ct->json)
		ct_json_print(json_pack("{si ss ss ss}", "event", id, "name",
					info->name, "severity",
					severities[info->severity], "text",
					info->text));
	else
		printf("event %d %s (%s)\n%s\nIn the log: grep ' %d %s '\n", id,
		       info->name, severities[info->severity], info->text, id,
		       info->name);
	return BA_OK;
}

static int explain_code(struct ct *ct, int code)
{
	const struct ba_result_info *info = ba_result_info(code);

	if (ct->json)
		ct_json_print(json_pack("{si ss ss ss si si}", "code", code,
					"name", info->name, "text", info->text,
					"next_step", info->next_step,
					"http_status", info->http_status,
					"exit_code", info->exit_code));
	else
		printf("result %d %s\n%s\n%s\nexit status %d%s\n", code,
		       info->name, info->text, info->next_step, info->exit_code,
		       info->http_status ? "; callers get it over HTTP" : "");
	return BA_OK;
}

/* Prints the lines of all given logs that have the field, ordered by time. */
static int explain_field(struct ct *ct, const char *field)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	json_t *list = json_array();
	int code = ct->log_files ? BA_OK : BA_USAGE;

	if (code)
		fprintf(stderr, "%s: give the logs to search with --log FILE\n",
			field);
	for (char **log = ct->log_files; !code && log && *log; log++) {
		code = read_log(*log, field, lines);
		if (code)
			ct_fail(ct, code, *log);
	}
	g_ptr_array_sort(lines, compare_times);
	for (guint i = 0; !code && i < lines->len; i++) {
		const char *line = g_ptr_array_index(lines, i);

		if (ct->json)
			json_array_append_new(list, json_string(line));
		else
			puts(line);
	}
	if (!code && ct->json)
		ct_json_print(json_pack("{sO}", "lines", list));
	else if (!code && !lines->len)
		printf("no log line has the field %s\n", field);
	json_decref(list);
	g_ptr_array_free(lines, TRUE);
	return code;
}

/* Prints what the sources know of a version, then its lines in the logs. */
static int explain_version(struct ct *ct, long version)
{
	json_t *history = NULL;
	json_t *v;
	size_t i;
	char *field = g_strdup_printf("version=%ld", version);
	int code = BA_OK;

	if (ct->settings.mesh_name)
		code = ct_query_json(ct, "history", MAX_HISTORY, &history);
	if (code) {
		g_free(field);
		return ct_fail(ct, code, "carawayctl explain");
	}
	json_array_foreach (json_object_get(history, "versions"), i, v)
		if (json_integer_value(json_object_get(v, "version")) ==
		    version)
			ct_json_print(json_incref(v));
	json_decref(history);
	if (ct->log_files)
		code = explain_field(ct, field);
	g_free(field);
	return code;
}

static int read_log(const char *file, const char *field, GPtrArray *lines)
{
	FILE *f = fopen(file, "r");
	char line[MAX_LINE_BYTES];

	if (!f)
		return BA_FILE_UNREADABLE;
	while (lines->len < MAX_LINES && fgets(line, sizeof(line), f)) {
		line[strcspn(line, "\n")] = '\0';
		if (has_field(line, field))
			g_ptr_array_add(lines, g_strdup(line));
	}
	fclose(f);
	return BA_OK;
}

/*
 * Only whole fields match: "version=1" is found neither in "version=12" nor in
 * "from_version=1".
 */
static bool has_field(const char *line, const char *field)
{
	size_t len = strlen(field);

	for (const char *p = strstr(line, field); p; p = strstr(p + 1, field))
		if ((p == line || p[-1] == ' ') &&
		    (p[len] == '\0' || p[len] == ' '))
			return true;
	return false;
}

/* Each line begins with its time in a format that sorts as text. */
static int compare_times(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static int find_by_name(const char *name)
{
	for (int id = ba_event_next(-1); id >= 0; id = ba_event_next(id))
		if (!strcmp(ba_event_info(id)->name, name))
			return id;
	for (int c = ba_result_next(-1); c >= 0; c = ba_result_next(c))
		if (!strcmp(ba_result_info(c)->name, name))
			return c;
	return -1;
}
