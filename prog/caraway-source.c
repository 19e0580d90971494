#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "prog/pr_guard.h"
#include "prog/pr_metrics.h"
#include "source/so.h"

/* Time from the signal to stop until the process ends in any case. */
#define GRACE_TIME (6 * BA_SECOND)

#define SO_KEY(t, n, k, req, m)                                           \
	{                                                                 \
		t, n, k, req, offsetof(struct so_settings, m), NULL, 0, 0 \
	}

static const struct ba_settings_key keys[] = {
	PR_COMMON_KEYS,
	SO_KEY("source", "address", BA_KIND_ADDRESS, true, address),
	SO_KEY("source", "external_address", BA_KIND_ADDRESS, false,
	       external_address),
	SO_KEY("source", "data_folder", BA_KIND_STRING, true, data_folder),
	SO_KEY("source", "operators_folder", BA_KIND_STRING, true,
	       operators_folder),
	SO_KEY("replicas", "names", BA_KIND_STRINGS, true, names),
	SO_KEY("replicas", "addresses", BA_KIND_ADDRESSES, true, addresses),
	{0},
};

static void check_settings(const struct pr_common *common,
			   struct ba_problems *problems);
static void check_names(const struct so_settings *st,
			struct ba_problems *problems);
static int run(struct so_source *s);
static int report_failure(const struct so_settings *st, int code);
static void on_signal(int signo, void *arg);

int main(int argc, char **argv)
{
	struct so_settings settings = {0};
	struct wi_identity identity = {0};
	struct so_source source = {0};
	int ret;

	settings.common.check = check_settings;
	settings.grace_time = GRACE_TIME;
	ret = pr_start(argc, argv, WI_SOURCE, keys, &settings.common,
		       &identity);
	if (ret >= 0) {
		ba_settings_free(keys, &settings);
		return ret;
	}
	source.settings = &settings;
	source.identity = &identity;
	source.loop = ba_loop_new();
	ret = pr_guard_start(source.loop, GRACE_TIME, on_signal, &source);
	if (!ret)
		ret = run(&source);
	pr_guard_detach();
	ba_loop_free(source.loop);
	pr_end(keys, &settings.common);
	return ret;
}

static void check_settings(const struct pr_common *common,
			   struct ba_problems *problems)
{
	const struct so_settings *st = (const struct so_settings *)common;

	if (st->names.n != st->addresses.n)
		ba_problem_add(problems, BA_RANGE_WRONG, 0,
			       "replicas.addresses", "one for each name");
	if (!st->names.n || st->names.n > RP_MEMBERS_LIMIT)
		ba_problem_add(problems, BA_RANGE_WRONG, 0, "replicas.names",
			       "1 to %d names", RP_MEMBERS_LIMIT);
	if (!g_file_test(st->operators_folder, G_FILE_TEST_IS_DIR))
		ba_problem_add(problems, BA_FILE_UNREADABLE, 0,
			       "source.operators_folder",
			       "a folder of files NAME.key");
	check_names(st, problems);
}

static void check_names(const struct so_settings *st,
			struct ba_problems *problems)
{
	bool found = false;

	for (size_t i = 0; i < st->names.n; i++) {
		const char *name = st->names.list[i];

		found |= !strcmp(name, st->common.instance_name);
		if (strlen(name) >= RP_NAME_BYTES)
			ba_problem_add(problems, CF_NAME_WRONG, 0,
				       "replicas.names", "%d bytes at most",
				       RP_NAME_BYTES - 1);
		for (size_t j = 0; j < i; j++)
			if (!strcmp(name, st->names.list[j]))
				ba_problem_add(problems, CF_DUPLICATE_NAME, 0,
					       "replicas.names", "\"%s\" once",
					       name);
	}
	if (!found)
		ba_problem_add(problems, RP_NOT_A_MEMBER, 0, "replicas.names",
			       "instance.name, \"%s\", among them",
			       st->common.instance_name);
}

static int run(struct so_source *s)
{
	const struct so_settings *st = s->settings;
	struct pr_metrics *metrics = NULL;
	int ret;

	if (pr_metrics_start(s->loop, &st->common.metrics_address, &metrics))
		return pr_listen_failed(&st->common.metrics_address);
	ret = so_source_start(s);
	if (ret) {
		so_source_stop(s);
		pr_metrics_stop(metrics);
		return report_failure(st, ret);
	}
	ba_event(BA_EV_LISTENING, "address=%s", st->address.text);
	ba_loop_run(s->loop);
	ba_event(BA_EV_STOPPING, "instance=%s", s->identity->instance);
	so_source_stop(s);
	pr_metrics_stop(metrics);
	return s->exit_code ? report_failure(st, s->exit_code) : 0;
}

static int report_failure(const struct so_settings *st, int code)
{
	const struct ba_result_info *info = ba_result_info(code);
	const char *folder = st->data_folder;

	if (code == BA_PORT_IN_USE)
		return pr_listen_failed(&st->address);
	if (code == BA_FILE_UNREADABLE || code == BA_TYPE_WRONG)
		folder = st->operators_folder;
	ba_event(code == RP_LOG_DAMAGED ? RP_EV_LOG_DAMAGED
					: BA_EV_SETTINGS_REFUSED,
		 "folder=%s code=%d", folder, code);
	fprintf(stderr, "%s: %s %s (%d %s)\n", folder, info->text,
		info->next_step, code, info->name);
	return info->exit_code;
}

static void on_signal(int signo, void *arg)
{
	struct so_source *s = arg;

	if (signo == SIGHUP) {
		ba_event_reopen();
		so_keys_load(s);
	} else {
		pr_guard_note(PR_STAGE_REQUESTS, PR_LEFT_UNKNOWN);
		so_source_shut_down(s);
	}
}
