#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "ctl/ct.h"

enum { DEFAULT_TIMEOUT_S = 15 };

struct command_line {
	char *settings;
	gboolean json;
	gboolean version;
	gboolean keys;
	gint timeout_s;
	char **rest;
};

static const struct ct_command commands[] = {
	{"check", "FILE", "validate a configuration or policy file", 1, 1,
	 false, ct_check},
	{"diff", "FILE", "show what FILE would change", 1, 1, true, ct_diff},
	{"submit", "FILE", "submit a configuration", 1, 1, true, ct_submit},
	{"policy", "FILE", "submit a policy, the table of weights and limits",
	 1, 1, true, ct_policy},
	{"history", "[COUNT]", "list accepted versions", 0, 1, true,
	 ct_history},
	{"status", "",
	 "show the leader, and which replicas and relays lag or are cut off", 0,
	 0, true, ct_status},
	{"report", "",
	 "show the report of a day and whether its promises were kept", 0, 0,
	 true, ct_report},
	{"explain", "EVENT|CODE|VERSION|KEY=VALUE",
	 "what an event or result code means, or what happened to a version or call",
	 1, 1, false, ct_explain},
};

static const struct ct_command *find_command(const char *name);
static int parse_command_line(int argc, char **argv, struct command_line *c,
			      struct ct *ct);
static char *describe_commands(void);
static int run_command(const struct command_line *c, struct ct *ct);
static void print_keys(void);
static int usage(const char *fmt, const char *detail);
static void free_all(struct command_line *c, struct ct *ct);

int main(int argc, char **argv)
{
	struct command_line c = {.timeout_s = DEFAULT_TIMEOUT_S};
	struct ct ct = {.base_version = -1};
	int code = parse_command_line(argc, argv, &c, &ct);

	if (!code && c.version)
		printf("carawayctl %s\n", CARAWAY_VERSION);
	else if (!code && c.keys)
		print_keys();
	else if (!code)
		code = run_command(&c, &ct);
	free_all(&c, &ct);
	return ba_result_info(code)->exit_code;
}

static const struct ct_command *find_command(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(commands[i].name, name))
			return &commands[i];
	return NULL;
}

static int parse_command_line(int argc, char **argv, struct command_line *c,
			      struct ct *ct)
{
	GOptionEntry entries[] = {
		{"settings", 's', 0, G_OPTION_ARG_FILENAME, &c->settings,
		 "Settings file; default: $CARAWAYCTL_SETTINGS", "FILE"},
		{"json", 'j', 0, G_OPTION_ARG_NONE, &c->json,
		 "Print JSON for scripts", NULL},
		{"timeout", 't', 0, G_OPTION_ARG_INT, &c->timeout_s,
		 "Give up after this many seconds; default: 15", "SECONDS"},
		{"base", 'b', 0, G_OPTION_ARG_INT64, &ct->base_version,
		 "submit, policy: version the file is based on; default: the current one",
		 "VERSION"},
		{"id", 'i', 0, G_OPTION_ARG_STRING, &ct->submission_id,
		 "submit, policy: id of an earlier submission, to learn its outcome",
		 "ID"},
		{"day", 'd', 0, G_OPTION_ARG_STRING, &ct->day,
		 "report: the day; default: today", "YYYY-MM-DD"},
		{"html", 'H', 0, G_OPTION_ARG_FILENAME, &ct->html_file,
		 "report: also write it as HTML to FILE", "FILE"},
		{"log", 'l', 0, G_OPTION_ARG_FILENAME_ARRAY, &ct->log_files,
		 "explain: log file of an instance; may be repeated", "FILE"},
		{"keys", 'k', 0, G_OPTION_ARG_NONE, &c->keys,
		 "List the keys of the settings file and exit", NULL},
		{"version", 'V', 0, G_OPTION_ARG_NONE, &c->version,
		 "Print the version and exit", NULL},
		{G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY,
		 &c->rest, NULL, "COMMAND [ARGUMENT]"},
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *ctx = g_option_context_new(NULL);
	GError *err = NULL;
	char *text = describe_commands();
	int code = BA_OK;

	g_option_context_add_main_entries(ctx, entries, NULL);
	g_option_context_set_summary(ctx, text);
	g_option_context_set_description(
		ctx, "Exit status: 0 done, 1 failed, 2 usage or file, 3 "
		     "refused, 4 conflict, 5 unavailable, 6 a promise of the "
		     "report was broken. See carawayctl(1).");
	if (!g_option_context_parse(ctx, &argc, &argv, &err)) {
		code = usage("%s", err->message);
		g_error_free(err);
	}
	g_free(text);
	g_option_context_free(ctx);
	return code;
}

static char *describe_commands(void)
{
	GString *s = g_string_new("Commands:\n");

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		const struct ct_command *c = &commands[i];
		char *form = g_strdup_printf("%s %s", c->name, c->arguments);

		g_string_append_printf(s, "  %-16s %s\n", form, c->help);
		g_free(form);
	}
	g_string_append(s, "\nEach operator's settings file names the mesh, "
			   "the operator's key and the sources.");
	return g_string_free(s, FALSE);
}

static int run_command(const struct command_line *c, struct ct *ct)
{
	const struct ct_command *cmd;
	int code;

	if (!c->rest || !c->rest[0])
		return usage("%s", "a command is missing");
	cmd = find_command(c->rest[0]);
	if (!cmd)
		return usage("there is no command \"%s\"", c->rest[0]);
	ct->args = c->rest + 1;
	ct->n_args = (int)g_strv_length(ct->args);
	if (ct->n_args < cmd->min_args || ct->n_args > cmd->max_args)
		return usage("expected %s",
			     cmd->min_args ? cmd->arguments : "no argument");
	if (c->timeout_s < 1)
		return usage("%s", "--timeout takes 1 or more seconds");
	ct->json = c->json;
	ct->deadline = ba_clock_now() + c->timeout_s * BA_SECOND;
	code = ba_event_open("carawayctl", NULL, BA_ERROR);
	if (!code && (cmd->needs_sources || c->settings ||
		      g_getenv("CARAWAYCTL_SETTINGS")))
		code = ct_settings_load(ct, c->settings);
	if (!code)
		code = cmd->run(ct);
	ba_event_close();
	return code;
}

static void print_keys(void)
{
	struct ba_buf text = {0};

	ba_settings_describe(ct_settings_keys, &text);
	fputs(ba_buf_text(&text), stdout);
	ba_buf_free(&text);
}

static int usage(const char *fmt, const char *detail)
{
	char *text = g_strdup_printf(fmt, detail);

	fprintf(stderr, "carawayctl: %s; see carawayctl --help\n", text);
	g_free(text);
	return BA_USAGE;
}

static void free_all(struct command_line *c, struct ct *ct)
{
	ba_settings_free(ct_settings_keys, &ct->settings);
	g_free(ct->submission_id);
	g_free(ct->day);
	g_free(ct->html_file);
	g_strfreev(ct->log_files);
	g_free(c->settings);
	g_strfreev(c->rest);
}
