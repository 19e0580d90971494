#include <string.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "source/so.h"
#include "source/so_http.h"
#include "replica/rp_disk.h"
#include "wire/rp.pb-c.h"

#define CHECK_INTERVAL (200 * BA_MS)
#define FORMING_REPORT_INTERVAL (10 * BA_SECOND)
#define SHUTDOWN_DELAY (100 * BA_MS)
/* Share of the grace time for operators, from the beginning of a stop. */
#define SHUTDOWN_SHARE (2.0 / 3)
#define SHUTDOWN_POLL_PERIOD (20 * BA_MS)

static int start_node(struct so_source *s);
static void discover_recovered(struct so_source *s);
static void log_recovery(const struct rp_recovery_summary *found);
static void on_timer(struct ba_timer *t, ba_time now);
static void report_forming(struct so_source *s, ba_time now);
static void on_shutdown_timer(struct ba_timer *t, ba_time now);
static void on_send(struct rp_node_owner *o, int to, const void *data,
		    size_t len);
static bool has_backlog(const struct so_source *s);
static void on_applied(struct rp_node_owner *o, const struct rp_entry *e,
		       const struct rp_applied *a);
static void on_published(struct rp_node_owner *o, struct cf_snapshot *snapshot);
static void on_installed(struct rp_node_owner *o);
static void on_outcome(struct rp_node_owner *o, uint64_t token,
		       const CtOutcome *outcome);
static void on_role(struct rp_node_owner *o, enum rp_role role, int leader,
		    int reason);

int so_source_start(struct so_source *s)
{
	int ret = so_keys_load(s);

	if (ret)
		return ret;
	ba_list_init(&s->conns);
	s->waiters = g_hash_table_new(g_int64_hash, g_int64_equal);
	s->rand.state = s->identity->incarnation;
	s->started_at = ba_loop_now(s->loop);
	s->timer.fire = on_timer;
	so_feed_start(s);
	so_rollout_start(s);
	so_figures_start(s);
	ret = start_node(s);
	if (!ret) {
		s->acceptor.accept = so_session_accept;
		ret = wi_listen(s->loop, &s->settings->address, s->identity,
				&ds_listen_limits, &s->acceptor, &s->listener);
	}
	if (ret)
		return ret;
	so_peer_start(s);
	on_published(&s->owner, rp_machine_current(rp_node_machine(s->node)));
	on_timer(&s->timer, ba_loop_now(s->loop));
	return BA_OK;
}

void so_source_stop(struct so_source *s)
{
	ba_loop_disarm(s->loop, &s->timer);
	ba_loop_disarm(s->loop, &s->shutdown_timer);
	wi_listener_close(s->listener);
	so_peer_stop(s);
	/* NULL if the start failed at the operators' keys, its first step. */
	if (s->waiters) {
		so_session_free_all(s);
		so_figures_stop(s);
		rp_node_free(s->node);
		so_feed_stop(s);
		so_rollout_stop(s);
		g_hash_table_destroy(s->waiters);
	}
	so_keys_free(s->identity);
}

/* The delay lets frames that are still queued be sent. */
void so_source_shut_down(struct so_source *s)
{
	ba_time now = ba_loop_now(s->loop);

	if (s->shutdown_timer.slot)
		return;
	rp_node_prepare_stop(s->node, now);
	so_source_rearm(s);
	if (s->http)
		so_http_stop_listening(s->http);
	ba_drain_begin(&s->drain,
		       now + (ba_time)((double)s->settings->grace_time *
				       SHUTDOWN_SHARE),
		       now);
	s->shutdown_timer.fire = on_shutdown_timer;
	ba_loop_arm(s->loop, &s->shutdown_timer, now + SHUTDOWN_DELAY);
}

int so_lease_error(const struct so_source *s)
{
	return rp_core_proposal_error(rp_node_core(s->node), ba_clock_now());
}

void so_source_rearm(struct so_source *s)
{
	ba_time deadline = rp_node_deadline(s->node);

	ba_loop_arm(s->loop, &s->timer, MIN(deadline, s->check_deadline));
}

void so_source_propose(struct so_source *s, int kind, const void *body,
		       size_t len)
{
	ba_time now = ba_loop_now(s->loop);
	int leader = rp_core_leader(rp_node_core(s->node));
	RpForward m = RP_FORWARD__INIT;
	struct ba_buf packed = {0};

	if (leader == s->self) {
		rp_node_propose(s->node, kind, body, len, now);
		so_source_rearm(s);
		return;
	}
	if (leader == RP_NO_PEER)
		return;
	m.kind = (RpEntryKind)kind;
	m.body.data = (uint8_t *)body;
	m.body.len = len;
	ba_buf_reserve(&packed, rp_forward__get_packed_size(&m));
	packed.len = rp_forward__pack(&m, packed.data);
	so_peer_send(s, leader, RP_FORWARD, packed.data, packed.len);
	ba_buf_free(&packed);
}

static int start_node(struct so_source *s)
{
	const struct so_settings *st = s->settings;
	struct rp_node_options o = {.owner = &s->owner};
	struct rp_recovery_summary found = {0};
	int ret = rp_disk_open(st->data_folder, &o.store);

	if (ret)
		return ret;
	s->owner.send = on_send;
	s->owner.applied = on_applied;
	s->owner.published = on_published;
	s->owner.installed = on_installed;
	s->owner.outcome = on_outcome;
	s->owner.role = on_role;
	for (size_t i = 0; i < st->names.n; i++)
		so_peer_add(s, st->names.list[i], &st->addresses.list[i]);
	s->self = so_peer_find(s, s->identity->instance);
	o.core.names = (const char *const *)s->names;
	o.core.addresses = (const char *const *)s->addresses;
	o.core.open_group = st->open_group;
	o.core.n_founders = st->n_founders;
	o.core.voters = st->voters;
	o.core.n_names = st->names.n;
	o.core.self = s->self;
	o.core.times = st->times ? *st->times : rp_times_default;
	o.core.seed = s->identity->incarnation;
	s->heartbeat = o.core.times.heartbeat;
	ret = rp_node_new(&o, ba_loop_now(s->loop), &found, &s->node);
	log_recovery(&found);
	if (!ret)
		discover_recovered(s);
	return ret;
}

/* Adds the members that are in the log but not in the settings. */
static void discover_recovered(struct so_source *s)
{
	const struct rp_core *core = rp_node_core(s->node);

	for (int i = s->n_peers; i < rp_core_n_peers(core); i++)
		so_peer_discover(s, rp_core_peer(core, i).name);
}

static void log_recovery(const struct rp_recovery_summary *found)
{
	if (found->damaged)
		ba_event(RP_EV_LOG_DAMAGED, "code=%d", (int)RP_LOG_DAMAGED);
	if (found->cut_bytes)
		ba_event(RP_EV_LOG_CUT, "bytes=%zu", found->cut_bytes);
	ba_event(RP_EV_RECOVERED, "snapshot=%llu entries=%zu",
		 (unsigned long long)found->snapshot_index, found->entries);
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	struct so_source *s = ba_entry(t, struct so_source, timer);

	if (now >= rp_node_deadline(s->node))
		rp_node_tick(s->node, now);
	if (now >= s->check_deadline) {
		s->check_deadline = now + CHECK_INTERVAL;
		report_forming(s, now);
		so_feed_check(s, now);
		so_rollout_check(s, now);
	}
	if (rp_core_is_unrecoverable(rp_node_core(s->node))) {
		ba_event(RP_EV_LOG_DAMAGED, "code=%d nobody_has_a_log=true",
			 (int)RP_LOG_DAMAGED);
		s->exit_code = RP_LOG_DAMAGED;
		ba_loop_stop(s->loop);
	}
	so_source_rearm(s);
}

/* Says at intervals why a replica that could form the group does not. */
static void report_forming(struct so_source *s, ba_time now)
{
	const struct rp_core *core = rp_node_core(s->node);
	int founder = rp_core_awaited_founder(core, now);
	struct rp_peer_state peer;

	if (founder == RP_NO_PEER)
		return;
	if (!s->forming_report_deadline)
		s->forming_report_deadline = now + FORMING_REPORT_INTERVAL;
	if (now < s->forming_report_deadline)
		return;
	s->forming_report_deadline = now + FORMING_REPORT_INTERVAL;
	peer = rp_core_peer(core, founder);
	ba_event(RP_EV_FORMING_WAITS, "founder=%s heard=%s", peer.name,
		 peer.heard_at && now < peer.heard_at + FORMING_REPORT_INTERVAL
			 ? "true"
			 : "false");
}

static void on_shutdown_timer(struct ba_timer *t, ba_time now)
{
	struct so_source *s = ba_entry(t, struct so_source, shutdown_timer);
	uint64_t progress = 0;
	uint64_t http_progress = 0;
	bool left = so_session_is_unfinished(s, &progress);

	if (s->http)
		left |= so_http_is_unfinished(s->http, &http_progress);
	if (ba_drain_continues(&s->drain, left, progress + http_progress,
			       now)) {
		ba_loop_arm(s->loop, t, now + SHUTDOWN_POLL_PERIOD);
		return;
	}
	if (left)
		ba_event(BA_EV_UNDELIVERED, "operators=true");
	ba_loop_stop(s->loop);
}

static void on_send(struct rp_node_owner *o, int to, const void *data,
		    size_t len)
{
	struct so_source *s = ba_entry(o, struct so_source, owner);

	so_peer_send(s, to, RP_MESSAGE, data, len);
	/*
	 * A new leader is about to apply what was not yet known to be
	 * committed, for long with a slow processor; the others apply the same
	 * once they hear of it.
	 */
	if (has_backlog(s))
		so_peer_flush(s, to);
}

static bool has_backlog(const struct so_source *s)
{
	uint64_t applied = rp_machine_applied(rp_node_machine(s->node));

	return rp_core_commit(rp_node_core(s->node)) > applied + 1;
}

static void on_applied(struct rp_node_owner *o, const struct rp_entry *e,
		       const struct rp_applied *a)
{
	struct so_source *s = ba_entry(o, struct so_source, owner);

	/* With the first entry of its term a leader is sure of its version. */
	if (e->kind == RP_ENTRY_KIND__RP_ENTRY_NOOP)
		s->check_deadline = 0;
	if (e->kind == RP_ENTRY_KIND__RP_ENTRY_FIGURES && !a->code)
		so_figures_ack_applied(s, e);
	if (e->kind == RP_ENTRY_KIND__RP_ENTRY_DEPARTURES && !a->code)
		so_departure_applied(s, e);
	if (e->kind == RP_ENTRY_KIND__RP_ENTRY_MEMBERS)
		ba_event(RP_EV_MEMBERS, "index=%llu",
			 (unsigned long long)e->index);
	if (e->kind == RP_ENTRY_KIND__RP_ENTRY_IN_FORCE)
		ba_event(DS_EV_IN_FORCE, "version=%llu",
			 (unsigned long long)rp_machine_in_force_version(
				 rp_node_machine(s->node)));
}

static void on_published(struct rp_node_owner *o, struct cf_snapshot *snapshot)
{
	struct so_source *s = ba_entry(o, struct so_source, owner);

	if (snapshot->version)
		ds_feed_publish(s->feed, snapshot);
	so_rollout_published(s, snapshot);
}

static void on_installed(struct rp_node_owner *o)
{
	so_departure_installed(ba_entry(o, struct so_source, owner));
}

static void on_outcome(struct rp_node_owner *o, uint64_t token,
		       const CtOutcome *outcome)
{
	so_submit_deliver_outcome(ba_entry(o, struct so_source, owner), token,
				  outcome);
}

static void on_role(struct rp_node_owner *o, enum rp_role role, int leader,
		    int reason)
{
	struct so_source *s = ba_entry(o, struct so_source, owner);
	unsigned long long term = rp_core_term(rp_node_core(s->node));

	s->proposed_in_force = 0;
	so_rollout_forget_counts(s);
	s->check_deadline = 0;
	s->daemons_unreachable =
		rt_days_has_outage(rp_machine_days(rp_node_machine(s->node)));
	if (role == RP_LEADER)
		ba_event(RP_EV_ELECTED, "term=%llu", term);
	else if (reason == RP_NO_QUORUM)
		ba_event(RP_EV_QUORUM_LOST, "term=%llu", term);
	else if (reason == BA_DISK_FULL)
		ba_event(RP_EV_DISK_FULL, "term=%llu", term);
	else
		ba_event(RP_EV_DEPOSED, "term=%llu leader=%s", term,
			 leader == RP_NO_PEER ? "" : s->names[leader]);
}
