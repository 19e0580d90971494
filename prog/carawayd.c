#include <stdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "base/ba_socket.h"
#include "distrib/ds_agent.h"
#include "daemon/da.h"
#include "daemon/da_client.h"
#include "daemon/da_http.h"
#include "daemon/da_peer.h"
#include "daemon/da_peer_server.h"
#include "prog/pr_guard.h"
#include "prog/pr_metrics.h"
#include "report/rt.h"
#include "report/rt_audit.h"
#include "report/rt_figures.h"

enum {
	MAX_WORKERS = 16,
	QUEUE_PER_SLOT = 4,
	CALLERS_BACKLOG = 1024, /* callers that no worker has accepted yet */
};

/* How long the endpoint's record stays valid after the session has ended. */
#define LEASE (3 * BA_SECOND)
/* Time from the beginning of a stop until callers are refused. */
#define REFUSE_DELAY (2 * BA_SECOND)
/* The same until no call that arrives may reach the backend server. */
#define DRAIN_GRACE_TIME (2 * BA_SECOND)
/* Longest wait for the acknowledgement of the last figures. */
#define FIGURES_TIMEOUT BA_SECOND
/* Longest wait for calls in progress, from the beginning of a stop. */
#define STOP_TIMEOUT (CL_TIME_LIMIT + 5 * BA_SECOND)
/* Time from the signal to stop until the process ends in any case. */
#define GRACE_TIME (STOP_TIMEOUT + 5 * BA_SECOND)
#define STOP_POLL_PERIOD (20 * BA_MS)
#define LEASE_RENEWAL_PERIOD (100 * BA_MS)

#define KEY(t, n, k, req, m, f, lo, hi)                                  \
	{                                                                \
		t, n, k, req, offsetof(struct da_settings, m), f, lo, hi \
	}

static const struct ba_settings_key keys[] = {
	PR_COMMON_KEYS,
	KEY("daemon", "caller_address", BA_KIND_ADDRESS, true, caller_address,
	    NULL, 0, 0),
	KEY("daemon", "peer_address", BA_KIND_ADDRESS, true, peer_address, NULL,
	    0, 0),
	KEY("daemon", "external_peer_address", BA_KIND_ADDRESS, false,
	    external_peer_address, NULL, 0, 0),
	KEY("daemon", "control_address", BA_KIND_ADDRESS, false,
	    control_address, NULL, 0, 0),
	KEY("daemon", "data_folder", BA_KIND_STRING, false, data_folder, NULL,
	    0, 0),
	KEY("daemon", "workers", BA_KIND_INTEGER, false, workers, "2", 1,
	    MAX_WORKERS),
	KEY("relays", "addresses", BA_KIND_ADDRESSES, true, relays, NULL, 0, 0),
	KEY("backend", "service", BA_KIND_STRING, true, backend_service, NULL,
	    0, 0),
	KEY("backend", "address", BA_KIND_ADDRESS, true, backend_address, NULL,
	    0, 0),
	KEY("backend", "slots", BA_KIND_INTEGER, true, slots, NULL, 1, 65536),
	KEY("backend", "connections", BA_KIND_INTEGER, true, connections, NULL,
	    1, 65536),
	{.name = NULL},
};

/*
 * @call_identity: identity in the sessions that carry calls; it has no meter,
 *	as only control traffic is counted
 * @figures_deadline: when the stop no longer waits for the last figures to be
 *	acknowledged; 0 until calls have ended
 * @refuse_at: when callers are refused during a stop
 * @stop_deadline: when the stop no longer waits for calls in progress; 0 while
 *	the daemon is not stopping
 */
struct daemon {
	struct ds_agent_owner owner;
	struct da_settings settings;
	struct wi_identity identity;
	struct wi_identity call_identity;
	struct ba_loop *loop;
	struct ds_agent *agent;
	struct pr_metrics *metrics;
	struct rt_audit audit;
	struct da_shared shared;
	struct da_worker *workers;
	int64_t n_workers;
	struct ep_view *view;
	ba_time figures_deadline;
	bool sent_last_figures;
	struct ba_timer lease_timer;
	struct ba_timer stop_timer;
	ba_time refuse_at;
	ba_time stop_deadline;
};

static int run(struct daemon *d);
static int start_workers(struct daemon *d);
static int start_worker(struct daemon *d, struct da_worker *w, int listen_fd);
static void run_one_turn(struct ba_loop *loop);
static void stop_loop(void *arg);
static void create_shared(struct daemon *d);
static void free_shared(struct da_shared *t);
static void stop_worker(void *arg);
static void on_drain_timer(struct ba_timer *t, ba_time now);
static void divide_limits(struct daemon *d);
static uint64_t count_endpoints_in_region(const struct daemon *d);
static void on_lease_timer(struct ba_timer *t, ba_time now);
static void *run_worker(void *arg);
static void end_workers(struct daemon *d);
static void on_ready_timer(struct ba_timer *t, ba_time now);
static void on_sweep_timer(struct ba_timer *t, ba_time now);
static int start_agent(struct daemon *d);
static void on_snapshot(struct ds_agent_owner *o, struct cf_snapshot *s);
static void on_view(struct ds_agent_owner *o, struct ep_view *v);
static void add_figures(struct ds_agent_owner *o, struct ba_buf *out);
static void on_figures_acked(struct ds_agent_owner *o, uint64_t incarnation,
			     uint64_t sequence);
static void on_signal(int signo, void *arg);
static void begin_stop(struct daemon *d);
static void on_stop_timer(struct ba_timer *t, ba_time now);
static bool send_remaining_figures(struct daemon *d);

int main(int argc, char **argv)
{
	struct daemon *d = g_new0(struct daemon, 1);
	int ret = pr_start(argc, argv, WI_DAEMON, keys, &d->settings.common,
			   &d->identity);

	if (ret < 0) {
		ret = run(d);
		pr_end(keys, &d->settings.common);
	}
	g_free(d);
	return ret;
}

static int run(struct daemon *d)
{
	int ret;

	d->loop = ba_loop_new();
	d->stop_timer.fire = on_stop_timer;
	d->lease_timer.fire = on_lease_timer;
	d->call_identity = d->identity;
	d->call_identity.meter = NULL;
	create_shared(d);
	ret = pr_guard_start(d->loop, GRACE_TIME, on_signal, d);
	if (!ret)
		ret = start_workers(d);
	if (!ret &&
	    pr_metrics_start(d->loop, &d->settings.common.metrics_address,
			     &d->metrics))
		ret = pr_listen_failed(&d->settings.common.metrics_address);
	if (!ret)
		ret = start_agent(d);
	if (!ret)
		ba_loop_run(d->loop);
	pr_guard_detach();
	ba_loop_disarm(d->loop, &d->lease_timer);
	ba_loop_disarm(d->loop, &d->stop_timer);
	ds_agent_free(d->agent);
	pr_metrics_stop(d->metrics);
	run_one_turn(d->loop);
	end_workers(d);
	free_shared(&d->shared);
	ep_view_unref(d->view);
	ba_loop_free(d->loop);
	return ret;
}

/* Sessions that were closed end in the next turn of the loop. */
static void run_one_turn(struct ba_loop *loop)
{
	ba_loop_post(loop, stop_loop, loop);
	ba_loop_run(loop);
}

static void stop_loop(void *arg)
{
	ba_loop_stop(arg);
}

static void create_shared(struct daemon *d)
{
	const struct da_settings *s = &d->settings;
	struct da_shared *t = &d->shared;
	struct cl_router_options router = {
		.instance = d->identity.instance,
		.data_centre = d->identity.data_centre,
		.region = d->identity.region,
		.load_aware = true,
	};
	struct cl_admit_options admit = {
		.slots = (uint32_t)s->slots,
		.connections = (uint32_t)s->connections,
		.queue = (uint32_t)(s->slots * QUEUE_PER_SLOT),
		.adaptive = true,
		.bounded = true,
	};
	struct cl_dedup_options dedup = {
		.incarnation =
			(ba_time)d->identity.incarnation + CL_KEY_JOIN_DELAY,
		.keys = CL_DEDUP_MAX_KEYS,
		.bytes = CL_DEDUP_MAX_BYTES,
	};

	pthread_mutex_init(&t->lock, NULL);
	t->settings = s;
	t->identity = &d->call_identity;
	t->router = cl_router_new(&router);
	t->admit = cl_admit_new(&admit);
	t->dedup = cl_dedup_new(&dedup);
	t->owners = cl_owners_new((ba_time)d->identity.incarnation);
	t->retry_budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t->figures = rt_figures_new(d->identity.instance, "daemon",
				    d->identity.incarnation, ba_clock_wall());
}

static void free_shared(struct da_shared *t)
{
	cl_router_free(t->router);
	cl_admit_free(t->admit);
	cl_dedup_free(t->dedup);
	cl_owners_free(t->owners);
	g_hash_table_destroy(t->retry_budgets);
	rt_figures_free(t->figures);
	cf_snapshot_unref(t->snapshot);
	pthread_mutex_destroy(&t->lock);
}

static int start_workers(struct daemon *d)
{
	int64_t n = MIN(d->settings.workers, d->settings.connections);
	int listen_fd =
		ba_socket_listen(&d->settings.caller_address, CALLERS_BACKLOG);
	int ret = 0;

	d->n_workers = n;
	d->workers = g_new0(struct da_worker, n);
	if (listen_fd < 0)
		ret = pr_listen_failed(&d->settings.caller_address);
	for (int64_t i = 0; !ret && i < n; i++)
		ret = start_worker(d, &d->workers[i], listen_fd);
	if (listen_fd >= 0)
		close(listen_fd);
	return ret;
}

/* All workers serve callers; only the first one serves other daemons. */
static int start_worker(struct daemon *d, struct da_worker *w, int listen_fd)
{
	const struct da_settings *s = &d->settings;
	uint64_t seed;

	ba_random_bytes(&seed, sizeof(seed));
	w->shared = &d->shared;
	w->rand.state = seed;
	w->ready_timer.fire = on_ready_timer;
	w->sweep_timer.fire = on_sweep_timer;
	w->drain_timer.fire = on_drain_timer;
	ba_list_init(&w->calls);
	ba_list_init(&w->ready_calls);
	w->loop = ba_loop_new();
	w->client = da_client_new(
		w->loop, &s->backend_address,
		(unsigned int)MAX(s->connections / d->n_workers, 1));
	w->peers = da_peers_new(w->loop, &d->call_identity);
	w->http_server = da_http_new(w, listen_fd);
	if (!w->http_server)
		return ba_result_info(BA_INTERNAL)->exit_code;
	if (w == d->workers) {
		w->peer_server = da_peer_server_new(w, &s->peer_address);
		if (!w->peer_server)
			return pr_listen_failed(&s->peer_address);
	}
	pthread_create(&w->thread, NULL, run_worker, w);
	return 0;
}

static void *run_worker(void *arg)
{
	struct da_worker *w = arg;

	ba_loop_run(w->loop);
	return NULL;
}

/* Answers to other daemons that are queued are still delivered. */
static void stop_worker(void *arg)
{
	struct da_worker *w = arg;
	ba_time now = ba_clock_now();

	da_http_free(w->http_server);
	w->http_server = NULL;
	da_peers_close(w->peers);
	if (w->peer_server)
		da_peer_server_finish(w->peer_server);
	ba_drain_begin(&w->drain, w->stop_deadline, now);
	ba_loop_arm(w->loop, &w->drain_timer, now);
}

/* The closed sessions end in this turn of the loop, before it stops. */
static void on_drain_timer(struct ba_timer *t, ba_time now)
{
	struct da_worker *w = ba_entry(t, struct da_worker, drain_timer);
	uint64_t progress = 0;
	bool left = w->peer_server &&
		    da_peer_server_is_unfinished(w->peer_server, &progress);

	if (ba_drain_continues(&w->drain, left, progress, now)) {
		ba_loop_arm(w->loop, t, now + STOP_POLL_PERIOD);
		return;
	}
	if (w->peer_server)
		da_peer_server_close(w->peer_server);
	ba_loop_stop(w->loop);
}

static void end_workers(struct daemon *d)
{
	for (int64_t i = 0; i < d->n_workers; i++) {
		struct da_worker *w = &d->workers[i];

		if (!w->loop)
			continue;
		if (w->thread) {
			w->stop_deadline = d->stop_deadline;
			ba_loop_post(w->loop, stop_worker, w);
			pthread_join(w->thread, NULL);
		}
		da_http_free(w->http_server);
		da_peer_server_free(w->peer_server);
		da_peers_free(w->peers);
		da_client_free(w->client);
		ba_loop_free(w->loop);
	}
	g_free(d->workers);
}

static void on_ready_timer(struct ba_timer *t, ba_time now)
{
	struct da_worker *w = ba_entry(t, struct da_worker, ready_timer);

	(void)now;
	da_call_notify_ready(w);
	if (w->http_server)
		da_http_run(w->http_server);
}

static void on_sweep_timer(struct ba_timer *t, ba_time now)
{
	da_call_sweep(ba_entry(t, struct da_worker, sweep_timer), now);
}

static int start_agent(struct daemon *d)
{
	const struct da_settings *s = &d->settings;
	struct ep_record record = {
		.instance = s->common.instance_name,
		.service = s->backend_service,
		.data_centre = s->common.data_centre,
		.region = s->common.region,
		.address = (char *)s->peer_address.text,
		.external_address = (char *)s->external_peer_address.text,
		.control_address = (char *)s->control_address.text,
		.incarnation = d->identity.incarnation,
		.sequence = 1,
		.slots = (uint32_t)s->slots,
		.connections = (uint32_t)s->connections,
	};
	struct ds_agent_options o = {
		.identity = &d->identity,
		.relays = &s->relays,
		.record = &record,
		.lease = LEASE,
		.data_folder = s->data_folder,
		.control_address =
			s->control_address.len ? &s->control_address : NULL,
	};

	ba_random_bytes(&o.seed, sizeof(o.seed));
	d->owner.on_snapshot = on_snapshot;
	d->owner.on_view = on_view;
	d->owner.add_figures = add_figures;
	d->owner.on_figures_acked = on_figures_acked;
	d->agent = ds_agent_new(d->loop, &o, &d->owner);
	if (!d->agent)
		return pr_listen_failed(&s->control_address);
	ba_loop_arm(d->loop, &d->lease_timer, 0);
	return 0;
}

static void on_snapshot(struct ds_agent_owner *o, struct cf_snapshot *s)
{
	struct daemon *d = ba_entry(o, struct daemon, owner);
	struct cf_snapshot *old;

	pthread_mutex_lock(&d->shared.lock);
	old = d->shared.snapshot;
	d->shared.snapshot = s;
	divide_limits(d);
	pthread_mutex_unlock(&d->shared.lock);
	cf_snapshot_unref(old);
	rt_count(RT_VERSIONS_APPLIED, 1);
	rt_audit_version(&d->audit, s);
	ba_event(CF_EV_APPLIED, "version=%llu", (unsigned long long)s->version);
}

static void on_view(struct ds_agent_owner *o, struct ep_view *v)
{
	struct daemon *d = ba_entry(o, struct daemon, owner);

	pthread_mutex_lock(&d->shared.lock);
	cl_router_update(d->shared.router, v, ba_clock_now());
	cl_owners_update(d->shared.owners, v, ba_clock_wall());
	ep_view_unref(d->view);
	d->view = v;
	divide_limits(d);
	pthread_mutex_unlock(&d->shared.lock);
}

/*
 * The limits of a service apply to the whole mesh, so each of its endpoints
 * gets an equal share.  The budget of the paid link is divided among the
 * daemons of the region.  The caller holds the lock of the shared state.
 */
static void divide_limits(struct daemon *d)
{
	struct da_shared *t = &d->shared;
	const struct cf_snapshot *s = t->snapshot;
	const struct ep_service_view *own;
	const struct cf_policy_row *row;
	ba_time now = ba_clock_now();
	int i;

	if (!s || !d->view)
		return;
	i = cf_service_find(s, d->settings.backend_service);
	own = ep_view_find(d->view, d->settings.backend_service);
	row = i >= 0 && s->policy.rows ? &s->policy.rows[i] : NULL;
	t->own_weight = row ? row->weight : 1;
	t->max_weight = 0;
	for (size_t k = 0; s->policy.rows && k < s->n_services; k++)
		t->max_weight = MAX(t->max_weight, s->policy.rows[k].weight);
	if (own && own->n_records && i >= 0)
		cl_admit_set_share(t->admit,
				   (uint32_t)((s->services[i].max_in_flight +
					       own->n_records - 1) /
					      own->n_records),
				   row ? (double)row->calls_limit /
						   (double)own->n_records
				       : 0,
				   now);
	cl_router_set_link_budget(t->router,
				  s->policy.cross_region_bytes_per_day /
					  count_endpoints_in_region(d),
				  now);
}

static uint64_t count_endpoints_in_region(const struct daemon *d)
{
	uint64_t n = 0;

	for (size_t i = 0; i < d->view->n_services; i++)
		for (size_t j = 0; j < d->view->services[i].n_records; j++)
			n += !strcmp(d->view->services[i].records[j].region,
				     d->identity.region);
	return n ? n : 1;
}

/*
 * Renews the lease of idempotency keys only while a relay is connected: without
 * one, other daemons may believe that this endpoint is gone.  What relays
 * confirm of the configuration is renewed with it.
 */
static void on_lease_timer(struct ba_timer *t, ba_time now)
{
	struct daemon *d = ba_entry(t, struct daemon, lease_timer);

	pthread_mutex_lock(&d->shared.lock);
	if (ds_agent_connected(d->agent))
		cl_dedup_renew_lease(d->shared.dedup, ba_clock_wall());
	d->shared.current_until = ds_agent_current_until(d->agent);
	pthread_mutex_unlock(&d->shared.lock);
	ba_loop_arm(d->loop, t, now + LEASE_RENEWAL_PERIOD);
}

static void add_figures(struct ds_agent_owner *o, struct ba_buf *out)
{
	struct daemon *d = ba_entry(o, struct daemon, owner);

	rt_figures_pack(d->shared.figures, ba_clock_wall(),
			d->figures_deadline != 0, out);
}

static void on_figures_acked(struct ds_agent_owner *o, uint64_t incarnation,
			     uint64_t sequence)
{
	struct daemon *d = ba_entry(o, struct daemon, owner);

	rt_figures_ack(d->shared.figures, incarnation, sequence);
}

static void on_signal(int signo, void *arg)
{
	struct daemon *d = arg;

	if (signo == SIGHUP)
		ba_event_reopen();
	else if (!d->stop_deadline)
		begin_stop(d);
}

/* Other daemons get time to learn of the drain before callers are refused. */
static void begin_stop(struct daemon *d)
{
	ba_time now = ba_clock_now();

	ba_event(BA_EV_STOPPING, "instance=%s", d->identity.instance);
	rt_count(RT_DRAINS, 1);
	rt_count(RT_STOPS_BEGUN, 1);
	ds_agent_drain(d->agent);
	pthread_mutex_lock(&d->shared.lock);
	d->shared.draining = true;
	d->shared.work_deadline = now + DRAIN_GRACE_TIME;
	cl_router_drain_self(d->shared.router);
	cl_dedup_close(d->shared.dedup, ba_clock_wall());
	pthread_mutex_unlock(&d->shared.lock);
	d->refuse_at = now + REFUSE_DELAY;
	d->stop_deadline = now + STOP_TIMEOUT;
	ba_loop_arm(d->loop, &d->stop_timer, now + STOP_POLL_PERIOD);
}

static void on_stop_timer(struct ba_timer *t, ba_time now)
{
	struct daemon *d = ba_entry(t, struct daemon, stop_timer);
	unsigned int left;

	pthread_mutex_lock(&d->shared.lock);
	if (now >= d->refuse_at)
		d->shared.closing = true;
	left = d->shared.in_progress;
	pthread_mutex_unlock(&d->shared.lock);
	pr_guard_note(PR_STAGE_REQUESTS, (int)left);
	if (now < d->refuse_at || (left && now < d->stop_deadline)) {
		ba_loop_arm(d->loop, t, now + STOP_POLL_PERIOD);
		return;
	}
	if (!d->figures_deadline) {
		pr_guard_cut((int)left);
		rt_count(RT_CUT_BY_STOP, left);
		rt_count(RT_STOPS_ENDED, 1);
		rt_count(RT_DRAINS_CHECKED, 1);
		d->figures_deadline = now + FIGURES_TIMEOUT;
		ds_agent_leave(d->agent);
	}
	if (now >= d->figures_deadline || !send_remaining_figures(d)) {
		ba_loop_stop(d->loop);
		return;
	}
	ba_loop_arm(d->loop, t, now + STOP_POLL_PERIOD);
}

/*
 * The last figures can be packed only after those packed before the end of the
 * stop have been acknowledged.  Returns whether there is more to wait for.
 */
static bool send_remaining_figures(struct daemon *d)
{
	if (rt_figures_has_pending(d->shared.figures))
		return true;
	if (d->sent_last_figures)
		return false;
	d->sent_last_figures = true;
	ds_agent_send_figures(d->agent);
	return true;
}
