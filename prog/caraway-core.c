#include <malloc.h>
#include <signal.h>
#include <string.h>

#include "base/ba_account.h"
#include "base/ba_event.h"
#include "base/ba_result.h"
#include "platform/pf.h"
#include "prog/pr.h"
#include "prog/pr_guard.h"
#include "prog/pr_metrics.h"
#include "relay/re.h"
#include "source/so.h"
#include "source/so_group.h"
#include "source/so_http.h"

/**
 * struct settings - the settings file
 * @operator_address: where operators reach this process
 * @seeds: operator addresses of some instances; at the first start of the whole
 *	system they are the first members of the group
 * @source_address: where replicas reach each other; all use the same port
 * @relay_address: where daemons and relays reach a relay; all use the same port
 * @first_start: the whole system starts for the first time, so the seeds form
 *	the group
 * @grace_time: time from the signal to stop until the process is killed
 * @memory_mb: memory that the process may use in MB
 * @max_losses: instances that may be lost at once while the group goes on; of
 *	more than %LOSSES_LIMIT that many are borne
 */
struct settings {
	struct pr_common common;
	struct ba_address operator_address;
	struct ba_address source_address;
	struct ba_address relay_address;
	char *data_folder;
	ba_time grace_time;
	struct ba_addresses seeds;
	bool first_start;
	int64_t memory_mb;
	int64_t max_losses;
};

#define KEY(t, n, k, req, m)                                           \
	{                                                              \
		t, n, k, req, offsetof(struct settings, m), NULL, 0, 0 \
	}

static const struct ba_settings_key keys[] = {
	PR_COMMON_KEYS,
	KEY("core", "operator_address", BA_KIND_ADDRESS, true,
	    operator_address),
	KEY("core", "source_address", BA_KIND_ADDRESS, true, source_address),
	KEY("core", "relay_address", BA_KIND_ADDRESS, true, relay_address),
	KEY("core", "data_folder", BA_KIND_STRING, true, data_folder),
	{"core", "grace", BA_KIND_DURATION, false,
	 offsetof(struct settings, grace_time), "6s", BA_MS, 0},
	{"core", "memory_mb", BA_KIND_INTEGER, false,
	 offsetof(struct settings, memory_mb), BA_ACCOUNT_DEFAULT_MB, 16,
	 1 << 20},
	KEY("group", "seeds", BA_KIND_ADDRESSES, true, seeds),
	KEY("group", "first_start", BA_KIND_BOOLEAN, false, first_start),
	{"group", "losses", BA_KIND_INTEGER, false,
	 offsetof(struct settings, max_losses), "1", 0, 0},
	{.name = NULL},
};

/* With fewer replicas, the loss of one would leave no majority. */
enum { MIN_VOTERS = 3, LOSSES_LIMIT = (RP_MEMBERS_LIMIT - 1) / 2 };

enum { MAPPED_BYTES = 512 * 1024 };

struct program {
	struct settings settings;
	struct ba_addresses founders;
	struct ba_addresses known_addresses;
	struct wi_identity relay_identity;
	struct wi_identity source_identity;
	struct so_settings source_settings;
	struct re_settings relay_settings;
	struct ba_loop *loop;
	struct so_source source;
	struct re_relay relay;
	struct so_http *http;
	struct pr_metrics *metrics;
	bool started;
};

static int run(struct program *g);
static void collect_known_addresses(struct program *g);
static void set_role_settings(struct program *g);
static struct ba_addresses copy_with_port(const struct ba_addresses *from,
					  const struct ba_address *port_of);
static int start_roles(struct program *g);
static void on_signal(int signo, void *arg);
static void on_peer_discovered(struct so_source *s, const char *name);

int main(int argc, char **argv)
{
	struct program *g = g_new0(struct program, 1);
	int ret = pr_start(argc, argv, WI_RELAY, keys, &g->settings.common,
			   &g->relay_identity);

	if (ret < 0) {
		ret = run(g);
		pr_end(keys, &g->settings.common);
	}
	g_free(g);
	return ret;
}

static int run(struct program *g)
{
	int ret;

	/* Large bodies go back to the system, and grow without a copy. */
	mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES);
	g->loop = ba_loop_new();
	ret = pr_guard_start(g->loop, g->settings.grace_time, on_signal, g);
	collect_known_addresses(g);
	set_role_settings(g);
	if (!ret)
		ret = start_roles(g);
	if (!ret)
		ba_loop_run(g->loop);
	pr_guard_detach();
	so_http_free(g->http);
	pr_metrics_stop(g->metrics);
	if (g->relay.listener)
		re_relay_stop(&g->relay);
	if (g->started)
		so_source_stop(&g->source);
	ba_loop_free(g->loop);
	return ret;
}

/* The founders come first, then the other addresses. */
static void collect_known_addresses(struct program *g)
{
	const struct settings *s = &g->settings;
	struct ba_addresses *known = &g->known_addresses;

	if (so_group_load_founders(s->data_folder,
				   s->first_start ? &s->seeds : NULL,
				   &g->founders))
		ba_event(BA_EV_SETTINGS_REFUSED, "folder=%s founders=not-kept",
			 s->data_folder);
	for (size_t i = 0; i < g->founders.n; i++)
		so_group_add_address(known, &g->founders.list[i]);
	for (size_t i = 0; i < s->seeds.n; i++)
		so_group_add_address(known, &s->seeds.list[i]);
	so_group_add_address(known, &s->operator_address);
}

/*
 * Sets what the source and the relay read from a settings file of their own
 * when they run as separate programs.
 */
static void set_role_settings(struct program *g)
{
	const struct settings *s = &g->settings;
	struct so_settings *so = &g->source_settings;
	struct re_settings *re = &g->relay_settings;

	so->common = s->common;
	so->address = s->source_address;
	so->data_folder = s->data_folder;
	so->grace_time = s->grace_time;
	so->open_group = true;
	so->times = &rp_times_fast_failover;
	so->voters = (size_t)MAX(2 * MIN(s->max_losses, LOSSES_LIMIT) + 1,
				 MIN_VOTERS);
	so->n_founders = g->founders.n;
	so->names.list = g_new0(char *, g->known_addresses.n + 1);
	for (size_t i = 0; i < g->known_addresses.n; i++)
		so->names.list[so->names.n++] = g->known_addresses.list[i].text;
	so->addresses = copy_with_port(&g->known_addresses, &s->source_address);
	re->common = s->common;
	re->address = s->relay_address;
	re->sources.list = (struct ba_address *)&s->source_address;
	re->sources.n = 1;
	re->peers = copy_with_port(&g->known_addresses, &s->relay_address);
	re->all_data_centres = true;
	g->source_identity = g->relay_identity;
	g->source_identity.role = WI_SOURCE;
	g->source_identity.instance = s->operator_address.text;
	g->source.settings = so;
	g->source.identity = &g->source_identity;
	g->source.loop = g->loop;
	g->source.peer_discovered = on_peer_discovered;
	g->relay.settings = re;
	g->relay.identity = &g->relay_identity;
	g->relay.loop = g->loop;
}

static struct ba_addresses copy_with_port(const struct ba_addresses *from,
					  const struct ba_address *port_of)
{
	struct ba_addresses to = {
		.list = g_memdup2(from->list, from->n * sizeof(*from->list)),
		.n = from->n,
	};

	pr_set_port(&to, pr_port(port_of));
	return to;
}

static int start_roles(struct program *g)
{
	const struct so_http_options http = {
		.address = &g->settings.operator_address,
		.source = &g->source,
		.dialect = &pf_operators,
		.memory = g->settings.memory_mb * 1024 * 1024,
	};
	int ret = so_source_start(&g->source);

	if (ret == BA_PORT_IN_USE)
		return pr_listen_failed(&g->settings.source_address);
	if (ret) {
		ba_event(BA_EV_SETTINGS_REFUSED, "folder=%s code=%d",
			 g->settings.data_folder, ret);
		return ba_result_info(ret)->exit_code;
	}
	g->started = true;
	if (re_relay_start(&g->relay))
		return pr_listen_failed(&g->settings.relay_address);
	if (so_http_new(g->loop, &http, &g->http))
		return pr_listen_failed(&g->settings.operator_address);
	if (pr_metrics_start(g->loop, &g->settings.common.metrics_address,
			     &g->metrics))
		return pr_listen_failed(&g->settings.common.metrics_address);
	return 0;
}

static void on_signal(int signo, void *arg)
{
	struct program *g = arg;

	if (signo == SIGHUP) {
		ba_event_reopen();
		return;
	}
	ba_event(BA_EV_STOPPING, "instance=%s", g->relay_identity.instance);
	pr_guard_note(PR_STAGE_REQUESTS, PR_LEFT_UNKNOWN);
	so_source_shut_down(&g->source);
}

/* Each instance of the group runs a relay as well as a replica. */
static void on_peer_discovered(struct so_source *s, const char *name)
{
	struct program *g = ba_entry(s, struct program, source);
	struct ba_address address;
	struct ba_addresses one = {&address, 1};

	if (!g->relay.listener || ba_parse_address(name, &address))
		return;
	pr_set_port(&one, pr_port(&g->settings.relay_address));
	re_peer_add(&g->relay, &address);
}
