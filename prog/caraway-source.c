#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "prog/pr_metrics.h"
#include "prog/so.h"

#define SO_KEY(t, n, k, req, m)                                           \
	{                                                                 \
		t, n, k, req, offsetof(struct so_settings, m), NULL, 0, 0 \
	}

static const struct ba_key keys[] = {
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

static int check_replicas(const struct so_settings *st);
static int refuse(const char *key, const char *expected, int code);
static int run(struct so_source *s);
static int start_failed(const struct so_settings *st, int code);
static void on_signal(int signo, void *arg);

int main(int argc, char **argv)
{
	struct so_settings settings = {0};
	struct wi_identity identity = {0};
	struct so_source source = {0};
	int ret = pr_start(argc, argv, WI_SOURCE, keys, &settings.common,
			   &identity);

	if (ret < 0)
		ret = check_replicas(&settings);
	if (ret >= 0) {
		ba_event_close();
		ba_settings_free(keys, &settings);
		return ret;
	}
	source.settings = &settings;
	source.identity = &identity;
	source.loop = ba_loop_new();
	ba_loop_signals(source.loop, on_signal, &source);
	ret = run(&source);
	ba_loop_free(source.loop);
	pr_end(keys, &settings.common);
	return ret;
}

/* What one key cannot say about itself: -1 to go on, or the exit status. */
static int check_replicas(const struct so_settings *st)
{
	bool found = false;

	if (st->names.n != st->addresses.n)
		return refuse("replicas.addresses", "one for each name",
			      BA_RANGE_WRONG);
	if (!st->names.n || st->names.n > RP_MEMBERS_LIMIT)
		return refuse("replicas.names", "1 to 9 names", BA_RANGE_WRONG);
	for (size_t i = 0; i < st->names.n; i++) {
		found |= !strcmp(st->names.list[i], st->common.instance_name);
		for (size_t j = 0; j < i; j++)
			if (!strcmp(st->names.list[i], st->names.list[j]))
				return refuse("replicas.names",
					      "each name once",
					      CF_DUPLICATE_NAME);
	}
	if (!found)
		return refuse("replicas.names", "instance.name among them",
			      RP_NOT_A_MEMBER);
	return -1;
}

static int refuse(const char *key, const char *expected, int code)
{
	const struct ba_result_info *info = ba_result_info(code);

	ba_event(BA_EV_SETTINGS_REFUSED, "key=%s code=%d", key, code);
	fprintf(stderr, "%s: %s (%s; %d %s)\n", key, info->text, expected, code,
		info->name);
	return info->exit_code;
}

static int run(struct so_source *s)
{
	const struct so_settings *st = s->settings;
	struct pr_metrics *metrics = NULL;
	int ret;

	if (pr_metrics_start(&st->common.metrics, &metrics))
		return pr_listen_failed(&st->common.metrics);
	ret = so_source_start(s);
	if (ret) {
		so_source_stop(s);
		pr_metrics_stop(metrics);
		return start_failed(st, ret);
	}
	ba_event(BA_EV_LISTENING, "address=%s", st->address.text);
	ba_loop_run(s->loop);
	ba_event(BA_EV_STOPPING, "instance=%s", s->identity->instance);
	so_source_stop(s);
	pr_metrics_stop(metrics);
	return s->exit_code ? start_failed(st, s->exit_code) : 0;
}

static int start_failed(const struct so_settings *st, int code)
{
	const struct ba_result_info *info = ba_result_info(code);
	const char *what = st->data_folder;

	if (code == BA_PORT_IN_USE)
		return pr_listen_failed(&st->address);
	if (code == BA_FILE_UNREADABLE || code == BA_TYPE_WRONG)
		what = st->operators_folder;
	ba_event(RP_EV_LOG_DAMAGED, "folder=%s code=%d", what, code);
	fprintf(stderr, "%s: %s %s (%d %s)\n", what, info->text,
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
		ba_loop_stop(s->loop);
	}
}
