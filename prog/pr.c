#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include <glib.h>
#include <sodium.h>

#include "base/ba_digest.h"
#include "base/ba_event.h"
#include "base/ba_rand.h"
#include "base/ba_result.h"
#include "prog/pr.h"
#include "prog/pr_guard.h"
#include "prog/pr_meter.h"

struct command_line {
	char *file;
	gboolean check;
	gboolean version;
	gboolean keys;
};

static const char *const level_names[] = {
	[BA_DEBUG] = "debug",	  [BA_INFO] = "info",	[BA_NOTICE] = "notice",
	[BA_WARNING] = "warning", [BA_ERROR] = "error",
};

static int parse_command_line(int argc, char **argv, struct command_line *c);
static int print_keys(const struct ba_settings_key *keys);
static int read_settings(const struct command_line *c,
			 const struct ba_settings_key *keys,
			 struct pr_common *s, struct wi_identity *id);
static void check_log_level(const struct pr_common *s, struct ba_problems *p);
static void check_mesh_key(const struct pr_common *s, struct wi_identity *id,
			   struct ba_problems *p);
static int find_log_level(const char *name);
static void raise_descriptor_limit(void);
static int open_log(const char *program, const struct pr_common *s);

int pr_start(int argc, char **argv, enum wi_role role,
	     const struct ba_settings_key *keys, struct pr_common *settings,
	     struct wi_identity *id)
{
	struct command_line c = {0};
	const char *slash = strrchr(argv[0], '/');
	const char *program = slash ? slash + 1 : argv[0];
	int ret = parse_command_line(argc, argv, &c);

	if (ret < 0 && c.version) {
		printf("%s %s\n", program, CARAWAY_VERSION);
		ret = 0;
	} else if (ret < 0 && c.keys) {
		ret = print_keys(keys);
	} else if (ret < 0) {
		ret = read_settings(&c, keys, settings, id);
	}
	if (ret < 0 && c.check) {
		printf("%s: the settings are valid\n", c.file);
		ret = 0;
	}
	g_free(c.file);
	if (ret >= 0)
		return ret;
	if (sodium_init() < 0)
		return ba_result_info(BA_INTERNAL)->exit_code;
	raise_descriptor_limit();
	id->mesh = settings->mesh_name;
	id->instance = settings->instance_name;
	id->role = role;
	id->data_centre = settings->data_centre;
	id->region = settings->region;
	id->incarnation = (uint64_t)ba_clock_wall();
	id->features = WI_FEATURES;
	id->key_id = "";
	id->meter = pr_meter_init(id->data_centre, id->region);
	return open_log(program, settings);
}

int pr_listen_failed(const struct ba_address *address)
{
	const struct ba_result_info *info = ba_result_info(BA_PORT_IN_USE);

	ba_event(BA_EV_LISTEN_FAILED, "address=%s code=%d", address->text,
		 (int)BA_PORT_IN_USE);
	fprintf(stderr, "%s: %s %s (%d %s)\n", address->text, info->text,
		info->next_step, (int)BA_PORT_IN_USE, info->name);
	return info->exit_code;
}

int pr_port(const struct ba_address *a)
{
	const struct sockaddr_in6 *v6 = (const void *)&a->sockaddr;
	const struct sockaddr_in *v4 = (const void *)&a->sockaddr;

	return ntohs(a->sockaddr.ss_family == AF_INET6 ? v6->sin6_port
						       : v4->sin_port);
}

void pr_set_port(struct ba_addresses *list, int64_t port)
{
	for (size_t i = 0; port && i < list->n; i++) {
		struct ba_address *a = &list->list[i];
		char *host = g_strndup(
			a->text, (gsize)(strrchr(a->text, ':') - a->text));
		char *text = g_strdup_printf("%s:%d", host, (int)port);

		/* Cannot fail: the host was valid and the port is in range. */
		(void)ba_parse_address(text, a);
		g_free(text);
		g_free(host);
	}
}

void pr_shuffle(struct ba_addresses *list, const char *instance)
{
	struct ba_rand rand = {ba_hash(instance, strlen(instance), 0)};

	for (size_t i = list->n; i > 1; i--) {
		size_t at = ba_rand_below(&rand, i);
		struct ba_address swap = list->list[at];

		list->list[at] = list->list[i - 1];
		list->list[i - 1] = swap;
	}
}

void pr_end(const struct ba_settings_key *keys, struct pr_common *settings)
{
	ba_event(BA_EV_STOPPED, "instance=%s", settings->instance_name);
	pr_guard_note(PR_STAGE_LOG, 0);
	ba_event_close();
	ba_settings_free(keys, settings);
}

static int parse_command_line(int argc, char **argv, struct command_line *c)
{
	GOptionEntry entries[] = {
		{"settings", 's', 0, G_OPTION_ARG_FILENAME, &c->file,
		 "Settings file", "FILE"},
		{"check", 'c', 0, G_OPTION_ARG_NONE, &c->check,
		 "Check the settings and exit", NULL},
		{"version", 'V', 0, G_OPTION_ARG_NONE, &c->version,
		 "Print the version and exit", NULL},
		{"keys", 'k', 0, G_OPTION_ARG_NONE, &c->keys,
		 "List the keys of the settings file and exit", NULL},
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *ctx = g_option_context_new(NULL);
	GError *err = NULL;
	int ret = -1;

	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &err)) {
		fprintf(stderr, "%s: %s\n", argv[0], err->message);
		g_error_free(err);
		ret = ba_result_info(BA_USAGE)->exit_code;
	} else if (!c->version && !c->keys && !c->file) {
		fprintf(stderr, "%s: --settings FILE is required; see --help\n",
			argv[0]);
		ret = ba_result_info(BA_USAGE)->exit_code;
	}
	g_option_context_free(ctx);
	return ret;
}

static int print_keys(const struct ba_settings_key *keys)
{
	struct ba_buf text = {0};

	ba_settings_describe(keys, &text);
	fputs(ba_buf_text(&text), stdout);
	ba_buf_free(&text);
	return 0;
}

static int read_settings(const struct command_line *c,
			 const struct ba_settings_key *keys,
			 struct pr_common *s, struct wi_identity *id)
{
	struct ba_problems problems = {0};
	struct ba_buf text = {0};
	int ret = -1;

	ba_settings_read(c->file, keys, s, &problems);
	if (s->log_level)
		check_log_level(s, &problems);
	if (s->mesh_key_file)
		check_mesh_key(s, id, &problems);
	if (!problems.n && s->check)
		s->check(s, &problems);
	if (problems.n) {
		ba_problems_format(&problems, &text);
		fputs(ba_buf_text(&text), stderr);
		ret = ba_result_info(problems.list[0].code)->exit_code;
	}
	ba_buf_free(&text);
	ba_problems_free(&problems);
	return ret;
}

static void check_log_level(const struct pr_common *s, struct ba_problems *p)
{
	if (find_log_level(s->log_level) < 0)
		ba_problem_add(p, BA_RANGE_WRONG, 0, "log.level",
			       "debug, info, notice, warning or error");
}

static void check_mesh_key(const struct pr_common *s, struct wi_identity *id,
			   struct ba_problems *p)
{
	int code = ba_key_file_read(s->mesh_key_file, id->key);

	if (code)
		ba_problem_add(p, code, 0, "mesh.key_file",
			       "a file of 64 hexadecimal digits at %s",
			       s->mesh_key_file);
}

static int find_log_level(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++)
		if (!strcmp(level_names[i], name))
			return (int)i;
	return -1;
}

int64_t pr_descriptors(int64_t stated)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return stated;
	return stated ? MIN(stated, (int64_t)limit.rlim_cur)
		      : (int64_t)MIN(limit.rlim_cur, 1 << 24);
}

/* A relay needs a descriptor for each daemon of its data centre. */
static void raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static int open_log(const char *program, const struct pr_common *s)
{
	char *name = g_strdup_printf("%s/%s", program, s->instance_name);
	int ret = ba_event_open(name, s->log_file,
				(enum ba_severity)find_log_level(s->log_level));

	g_free(name);
	if (ret) {
		fprintf(stderr, "%s: %s\n", s->log_file,
			ba_result_info(ret)->text);
		return ba_result_info(ret)->exit_code;
	}
	ba_event(BA_EV_STARTED, "instance=%s data_centre=%s region=%s",
		 s->instance_name, s->data_centre, s->region);
	return -1;
}
