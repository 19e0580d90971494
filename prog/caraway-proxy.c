#include <signal.h>
#include <string.h>

#include "base/ba_account.h"
#include "base/ba_digest.h"
#include "base/ba_event.h"
#include "base/ba_result.h"
#include "distrib/ds_agent.h"
#include "platform/pf.h"
#include "prog/pr.h"
#include "prog/pr_guard.h"
#include "prog/pr_metrics.h"
#include "proxy/px.h"

/* How long the endpoint's record stays valid after the session has ended. */
#define LEASE (3 * BA_SECOND)
/*
 * Time from the signal to stop until requests are refused.  Until then they are
 * accepted, so that other proxies learn of the stop and callers see that this
 * proxy is no longer ready.
 */
#define REFUSE_DELAY (2500 * BA_MS)
#define REFUSE_SHARE (5.0 / 12)
/*
 * Time from the signal to stop until the drain is announced.  Until then other
 * proxies send requests to the backend server, which goes on serving them.
 */
#define DRAIN_DELAY (1200 * BA_MS)
#define DRAIN_SHARE (1.0 / 5)
/*
 * Share of the grace time until requests get their final answer, and until the
 * process ends.  Answers that are arriving have the time between.
 */
#define STOP_SHARE (5.0 / 6)
#define END_SHARE (29.0 / 30)
#define STOP_POLL_PERIOD (20 * BA_MS)

/**
 * struct settings - the settings file
 * @link_rate: rate of the outgoing link in bytes per second, or 0
 * @memory_mb: memory that the process may use in MB
 * @descriptors: descriptors that it may use, 0 for those that the system allows
 * @relay_port: port of all relays if their addresses name another one, or 0
 * @grace_time: time from the signal to stop until the process is killed
 */
struct settings {
	struct pr_common common;
	struct ba_address caller_address;
	struct ba_address peer_address;
	struct ba_address ready_address;
	struct ba_address registration_address;
	struct ba_address backend_address;
	int64_t link_rate;
	int64_t memory_mb;
	int64_t descriptors;
	char *service;
	struct ba_addresses relays;
	int64_t relay_port;
	ba_time grace_time;
};

#define KEY(t, n, k, req, m)                                           \
	{                                                              \
		t, n, k, req, offsetof(struct settings, m), NULL, 0, 0 \
	}

static const struct ba_settings_key keys[] = {
	PR_COMMON_KEYS,
	KEY("proxy", "caller_address", BA_KIND_ADDRESS, true, caller_address),
	KEY("proxy", "peer_address", BA_KIND_ADDRESS, true, peer_address),
	KEY("proxy", "ready_address", BA_KIND_ADDRESS, false, ready_address),
	KEY("proxy", "beat_address", BA_KIND_ADDRESS, false,
	    registration_address),
	KEY("proxy", "link_rate", BA_KIND_RATE, false, link_rate),
	{"proxy", "memory_mb", BA_KIND_INTEGER, false,
	 offsetof(struct settings, memory_mb), BA_ACCOUNT_DEFAULT_MB, 16,
	 1 << 20},
	{"proxy", "descriptors", BA_KIND_INTEGER, false,
	 offsetof(struct settings, descriptors), NULL, 128, 1 << 24},
	KEY("backend", "address", BA_KIND_ADDRESS, true, backend_address),
	KEY("backend", "service", BA_KIND_STRING, true, service),
	KEY("relays", "addresses", BA_KIND_ADDRESSES, true, relays),
	{"relays", "port", BA_KIND_INTEGER, false,
	 offsetof(struct settings, relay_port), NULL, 1, 65535},
	{"proxy", "grace", BA_KIND_DURATION, false,
	 offsetof(struct settings, grace_time), "6s", BA_MS, 0},
	{.name = NULL},
};

/*
 * @drain_at: when the drain is announced; %BA_NEVER once it has been
 * @refuse_at: when new requests are refused; the stop ends no earlier
 * @stop_deadline: when requests in progress get their final answer; 0 while the
 *	program is not stopping
 * @end_deadline: when the program ends, even if answers are not all sent
 */
struct program {
	struct px_owner proxy_owner;
	struct ds_agent_owner agent_owner;
	struct settings settings;
	struct wi_identity identity;
	struct ba_loop *loop;
	struct pr_metrics *metrics;
	struct px *proxy;
	struct ds_agent *agent;
	struct ba_timer stop_timer;
	ba_time drain_at;
	ba_time refuse_at;
	ba_time stop_deadline;
	ba_time end_deadline;
};

static int run(struct program *g);
static int start_proxy(struct program *g);
static void start_agent(struct program *g);
static void on_backend_changed(struct px_owner *o, const struct px_heartbeat *b,
			       const struct ep_lifetime *l, bool renewed);
static void on_marks_changed(struct px_owner *o, const struct ep_mark *marks,
			     size_t n);
static void on_version_heard(struct px_owner *o, uint64_t version);
static bool is_current(struct px_owner *o);
static void ask_quota(struct px_owner *o, const struct cl_quota_message *m);
static void on_relay(struct ds_agent_owner *o, bool connected);
static void on_quota_granted(struct ds_agent_owner *o,
			     const struct cl_quota_message *m);
static void on_tallied(struct px_owner *o, const void *data, size_t len);
static void log_departure(struct px_owner *o, const struct ep_lifetime *l);
static void on_departed(struct ds_agent_owner *o,
			const struct ep_lifetime *logged);
static void on_snapshot(struct ds_agent_owner *o, struct cf_snapshot *s);
static void on_lifetime(struct ds_agent_owner *o,
			const struct ep_lifetime *known);
static void on_view(struct ds_agent_owner *o, struct ep_view *v);
static void on_signal(int signo, void *arg);
static ba_time grace_share(const struct program *g, double share);
static void on_stop_timer(struct ba_timer *t, ba_time now);

int main(int argc, char **argv)
{
	struct program *g = g_new0(struct program, 1);
	int ret = pr_start(argc, argv, WI_DAEMON, keys, &g->settings.common,
			   &g->identity);

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

	g->loop = ba_loop_new();
	g->stop_timer.fire = on_stop_timer;
	ret = pr_guard_start(g->loop, g->settings.grace_time, on_signal, g);
	if (!ret)
		ret = start_proxy(g);
	if (!ret &&
	    pr_metrics_start(g->loop, &g->settings.common.metrics_address,
			     &g->metrics))
		ret = pr_listen_failed(&g->settings.common.metrics_address);
	if (!ret) {
		start_agent(g);
		ba_loop_run(g->loop);
	}
	pr_guard_detach();
	ba_loop_disarm(g->loop, &g->stop_timer);
	ds_agent_free(g->agent);
	px_free(g->proxy);
	pr_metrics_stop(g->metrics);
	ba_loop_free(g->loop);
	return ret;
}

static int start_proxy(struct program *g)
{
	const struct settings *s = &g->settings;
	const struct ba_address *failed = NULL;
	struct px_options o = {
		.caller_address = s->caller_address,
		.peer_address = s->peer_address,
		.ready_address = s->ready_address,
		.registration_address = s->registration_address,
		.backend_address = s->backend_address,
		.instance = s->common.instance_name,
		.data_centre = s->common.data_centre,
		.region = s->common.region,
		.link_rate = s->link_rate,
		.memory = s->memory_mb * 1024 * 1024,
		.descriptors = pr_descriptors(s->descriptors),
		.service = s->service,
		.dialect = &pf_proxy,
	};

	ba_random_bytes(&o.seed, sizeof(o.seed));
	g->proxy_owner.backend_changed = on_backend_changed;
	g->proxy_owner.marks_changed = on_marks_changed;
	g->proxy_owner.version_heard = on_version_heard;
	g->proxy_owner.is_current = is_current;
	g->proxy_owner.ask_quota = ask_quota;
	g->proxy_owner.tallied = on_tallied;
	g->proxy_owner.log_departure = log_departure;
	if (px_new(g->loop, &o, &g->proxy_owner, &failed, &g->proxy))
		return pr_listen_failed(failed);
	return 0;
}

/* The record has no endpoint until the backend server has announced itself. */
static void start_agent(struct program *g)
{
	struct settings *s = &g->settings;
	struct ep_record record = {
		.instance = s->common.instance_name,
		.service = "",
		.data_centre = s->common.data_centre,
		.region = s->common.region,
		.address = "",
		.external_address = "",
		.control_address = "",
		.backend = "",
		.incarnation = g->identity.incarnation,
		.left = true,
	};
	struct ds_agent_options o = {
		.identity = &g->identity,
		.relays = &s->relays,
		.record = &record,
		.lease = LEASE,
	};

	ba_random_bytes(&o.seed, sizeof(o.seed));
	pr_set_port(&s->relays, s->relay_port);
	pr_shuffle(&s->relays, s->common.instance_name);
	g->agent_owner.on_snapshot = on_snapshot;
	g->agent_owner.on_lifetime = on_lifetime;
	g->agent_owner.on_departed = on_departed;
	g->agent_owner.on_view = on_view;
	g->agent_owner.on_relay = on_relay;
	g->agent_owner.on_quota_granted = on_quota_granted;
	g->agent = ds_agent_new(g->loop, &o, &g->agent_owner);
}

static void on_backend_changed(struct px_owner *o, const struct px_heartbeat *b,
			       const struct ep_lifetime *l, bool renewed)
{
	struct program *g = ba_entry(o, struct program, proxy_owner);
	const struct settings *s = &g->settings;
	struct ep_record record = {
		.service = b ? (char *)b->service : "",
		.data_centre = s->common.data_centre,
		.region = s->common.region,
		.address = (char *)s->peer_address.text,
		.external_address = "",
		.control_address = "",
		.backend = (char *)l->backend,
		.version = b ? (char *)b->version : "",
		.backend_start_wall_ms = l->start_wall_ms,
		.backend_sequence = l->sequence,
		.backend_state = l->state,
		.cold_time = b ? b->cold_time : 0,
		.slots = b ? b->slots : 0,
		.draining = b && b->draining,
		.left = !b,
	};

	ds_agent_announce(g->agent, &record, renewed);
}

static void on_marks_changed(struct px_owner *o, const struct ep_mark *marks,
			     size_t n)
{
	struct program *g = ba_entry(o, struct program, proxy_owner);

	ds_agent_report_marks(g->agent, marks, n, g->identity.incarnation);
}

static void on_version_heard(struct px_owner *o, uint64_t version)
{
	struct program *g = ba_entry(o, struct program, proxy_owner);

	ds_agent_note_version(g->agent, version);
}

static bool is_current(struct px_owner *o)
{
	struct program *g = ba_entry(o, struct program, proxy_owner);

	return ds_agent_is_current(g->agent);
}

static void ask_quota(struct px_owner *o, const struct cl_quota_message *m)
{
	struct program *g = ba_entry(o, struct program, proxy_owner);

	ds_agent_ask_quota(g->agent, m);
}

static void on_relay(struct ds_agent_owner *o, bool connected)
{
	struct program *g = ba_entry(o, struct program, agent_owner);

	px_quota_connected(g->proxy, connected);
}

static void on_quota_granted(struct ds_agent_owner *o,
			     const struct cl_quota_message *m)
{
	struct program *g = ba_entry(o, struct program, agent_owner);

	px_quota_granted(g->proxy, m);
}

static void on_tallied(struct px_owner *o, const void *data, size_t len)
{
	struct program *g = ba_entry(o, struct program, proxy_owner);

	ds_agent_send_tallies(g->agent, data, len);
}

static void log_departure(struct px_owner *o, const struct ep_lifetime *l)
{
	struct program *g = ba_entry(o, struct program, proxy_owner);

	ds_agent_log_departure(g->agent, l);
}

static void on_departed(struct ds_agent_owner *o,
			const struct ep_lifetime *logged)
{
	struct program *g = ba_entry(o, struct program, agent_owner);

	px_departure_logged(g->proxy, logged);
}

static void on_snapshot(struct ds_agent_owner *o, struct cf_snapshot *s)
{
	struct program *g = ba_entry(o, struct program, agent_owner);

	px_configure(g->proxy, s);
	ba_event(CF_EV_APPLIED, "version=%llu revision=%llu",
		 (unsigned long long)s->version,
		 (unsigned long long)s->revision);
	cf_snapshot_unref(s);
}

static void on_lifetime(struct ds_agent_owner *o,
			const struct ep_lifetime *known)
{
	struct program *g = ba_entry(o, struct program, agent_owner);

	px_restore_backend(g->proxy, known);
}

static void on_view(struct ds_agent_owner *o, struct ep_view *v)
{
	struct program *g = ba_entry(o, struct program, agent_owner);

	px_set_endpoints(g->proxy, v);
	ep_view_unref(v);
}

static void on_signal(int signo, void *arg)
{
	struct program *g = arg;
	ba_time now = ba_loop_now(g->loop);

	if (signo == SIGHUP) {
		ba_event_reopen();
		return;
	}
	if (g->stop_deadline)
		return;
	ba_event(BA_EV_STOPPING, "instance=%s", g->identity.instance);
	g->drain_at = now + MIN(DRAIN_DELAY, grace_share(g, DRAIN_SHARE));
	g->refuse_at = now + MIN(REFUSE_DELAY, grace_share(g, REFUSE_SHARE));
	g->stop_deadline = now + grace_share(g, STOP_SHARE);
	g->end_deadline = now + grace_share(g, END_SHARE);
	px_begin_stop(g->proxy, g->stop_deadline);
	ba_loop_arm(g->loop, &g->stop_timer, now + STOP_POLL_PERIOD);
}

static ba_time grace_share(const struct program *g, double share)
{
	return (ba_time)((double)g->settings.grace_time * share);
}

static void on_stop_timer(struct ba_timer *t, ba_time now)
{
	struct program *g = ba_entry(t, struct program, stop_timer);
	int left;

	if (now >= g->drain_at) {
		g->drain_at = BA_NEVER;
		ds_agent_drain(g->agent);
	}
	if (now >= g->refuse_at)
		px_refuse_requests(g->proxy);
	if (now >= g->stop_deadline)
		px_end_requests(g->proxy);
	left = (int)px_count_in_progress(g->proxy);
	pr_guard_note(PR_STAGE_REQUESTS, left);
	if (now < g->end_deadline && (now < g->refuse_at || left)) {
		ba_loop_arm(g->loop, t, now + STOP_POLL_PERIOD);
		return;
	}
	pr_guard_cut(left);
	ds_agent_leave(g->agent);
	ba_loop_stop(g->loop);
}
