#include <string.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "source/so.h"
#include "source/so_reach.h"
#include "wire/ds.pb-c.h"
#include "wire/rp.pb-c.h"

#define SUMMARY_AGE_LIMIT BA_SECOND
#define SUBSCRIBER_RETENTION (24 * BA_HOUR)

static void on_summary(struct ds_feed_owner *o, uint64_t lowest,
		       uint32_t daemons);
static void on_ask_floor(struct ds_feed_owner *o);
static void update_authority(struct so_source *s);
static void update_subscriber(struct so_conn *c, const struct wi_frame *f);
static void set_behind(struct so_subscriber *r, const DsAck *m);
static struct so_subscriber *get_subscriber(struct so_source *s,
					    const struct wi_peer *peer);
static void subscriber_free(gpointer data);
static gboolean is_expired(gpointer key, gpointer value, gpointer now);
static void check_in_force(struct so_source *s, ba_time now);
static bool knows_all_daemons(const struct so_source *s, uint32_t live,
			      ba_time now);
static void propose_in_force(struct so_source *s, RtInForce *e,
			     bool unreachable);
static uint32_t count_live(struct so_source *s);
static void update_live(struct so_source *s);

void so_feed_start(struct so_source *s)
{
	s->feed_owner.on_summary = on_summary;
	s->feed_owner.ask_floor = on_ask_floor;
	s->feed = ds_feed_new(s->loop, &s->feed_owner);
	so_read_init(s);
	ds_feed_set_region(s->feed, s->identity->region);
	ds_feed_set_stale(s->feed, ba_loop_now(s->loop));
	s->subscribers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       subscriber_free);
}

void so_feed_stop(struct so_source *s)
{
	ds_feed_free(s->feed);
	g_hash_table_destroy(s->subscribers);
}

int so_feed_handle_frame(struct so_conn *c, const struct wi_frame *f)
{
	if (f->type == RT_BATCH)
		return so_figures_handle_batch(c, f);
	if (f->type == RT_TALLIES)
		return so_rollout_handle_tallies(c->source, f, false);
	if (f->type == EP_DEPART)
		return so_departure_handle(c, f);
	if (f->type == DS_ACK)
		update_subscriber(c, f);
	if (f->type == DS_SUBSCRIBE)
		update_authority(c->source);
	return ds_feed_handle_frame(c->source->feed, c->session, f);
}

/*
 * The published version is fresh on a leader whose lease is valid and on a
 * follower that hears such a leader.  Only the leader itself knows that no
 * daemon holds a newer version.
 */
void so_feed_check(struct so_source *s, ba_time now)
{
	const struct rp_core *core = rp_node_core(s->node);
	ba_time up_to_date_at = rp_core_up_to_date_at(core, now);
	bool fresh = up_to_date_at && now - up_to_date_at <= 3 * s->heartbeat;

	ds_feed_set_stale(s->feed,
			  fresh ? BA_NEVER : MAX(up_to_date_at, s->started_at));
	update_authority(s);
	so_read_check(s, now);
	g_hash_table_foreach_remove(s->subscribers, is_expired, &now);
	check_in_force(s, now);
}

/*
 * The lease is checked again for each DS_SUBSCRIBE: the lease of a leader
 * whose process was suspended runs out before its timers fire.
 */
static void update_authority(struct so_source *s)
{
	ds_feed_set_authority(s->feed, !so_lease_error(s));
}

static void on_summary(struct ds_feed_owner *o, uint64_t lowest,
		       uint32_t daemons)
{
	struct so_source *s = ba_entry(o, struct so_source, feed_owner);

	rp_node_set_ack_summary(s->node, lowest, daemons, count_live(s));
	check_in_force(s, ba_loop_now(s->loop));
}

static void on_ask_floor(struct ds_feed_owner *o)
{
	so_read_send_request(ba_entry(o, struct so_source, feed_owner));
}

static void update_subscriber(struct so_conn *c, const struct wi_frame *f)
{
	DsAck *m = (DsAck *)wi_frame_unpack(f, &ds_ack__descriptor);
	struct so_subscriber *r;

	if (!m)
		return;
	r = get_subscriber(c->source, wi_session_peer(c->session));
	if (r) {
		r->version = m->n_counts ? m->counts[0]->version : m->version;
		r->daemons = m->daemons;
		r->live = m->live;
		r->heard_at = ba_loop_now(c->source->loop);
		set_behind(r, m);
		update_live(c->source);
	}
	ds_ack__free_unpacked(m, NULL);
}

static void set_behind(struct so_subscriber *r, const DsAck *m)
{
	g_strfreev(r->behind);
	r->behind = g_new0(char *, m->n_behind + 1);
	for (size_t i = 0; i < m->n_behind; i++)
		r->behind[i] = g_strdup(m->behind[i]);
}

static struct so_subscriber *get_subscriber(struct so_source *s,
					    const struct wi_peer *peer)
{
	struct so_subscriber *r =
		g_hash_table_lookup(s->subscribers, peer->instance);

	if (r || g_hash_table_size(s->subscribers) >= SO_SUBSCRIBERS_LIMIT)
		return r;
	r = g_new0(struct so_subscriber, 1);
	r->instance = g_strdup(peer->instance);
	r->data_centre = g_strdup(peer->data_centre);
	r->region = g_strdup(peer->region);
	g_hash_table_insert(s->subscribers, r->instance, r);
	return r;
}

static void subscriber_free(gpointer data)
{
	struct so_subscriber *r = data;

	g_free(r->instance);
	g_free(r->data_centre);
	g_free(r->region);
	g_strfreev(r->behind);
	g_free(r);
}

static gboolean is_expired(gpointer key, gpointer value, gpointer now)
{
	const struct so_subscriber *r = value;

	(void)key;
	return *(ba_time *)now - r->heard_at > SUBSCRIBER_RETENTION;
}

/*
 * Each relay knows the leases of the whole mesh, so the counts are not added
 * up.  Relays without an open session are left out.
 */
static uint32_t count_live(struct so_source *s)
{
	GHashTableIter it;
	gpointer value;
	uint32_t live = 0;

	g_hash_table_iter_init(&it, s->subscribers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct so_subscriber *r = value;

		if (so_session_find(s, r->instance))
			live = MAX(live, r->live);
	}
	return live;
}

static void update_live(struct so_source *s)
{
	struct rp_peer_state own = rp_core_peer(rp_node_core(s->node), s->self);
	uint32_t live = count_live(s);

	if (live != own.live)
		rp_node_set_ack_summary(s->node, own.lowest_version,
					own.daemons, live);
}

/*
 * The leader adds up the acknowledgements reported by the replicas.  A replica
 * not heard for SUMMARY_AGE_LIMIT is left out, as its relays connect to other
 * replicas.  An entry is also proposed when daemons become unreachable, that is
 * when fewer are counted than have a lease, and when all are reachable again.
 */
static void check_in_force(struct so_source *s, ba_time now)
{
	const struct rp_core *core = rp_node_core(s->node);
	const struct rp_machine *m = rp_node_machine(s->node);
	RtInForce e = RT_IN_FORCE__INIT;
	uint64_t lowest = UINT64_MAX;
	bool unreachable;

	if (rp_core_proposal_error(core, now))
		return;
	for (int i = 0; i < rp_core_n_peers(core); i++) {
		struct rp_peer_state p = rp_core_peer(core, i);
		bool own = i == s->self;

		if (!own && now - p.heard_at > SUMMARY_AGE_LIMIT)
			continue;
		e.live = MAX(e.live, p.live);
		if (!p.daemons)
			continue;
		lowest = MIN(lowest, p.lowest_version);
		e.daemons += p.daemons;
	}
	if (!e.daemons || !knows_all_daemons(s, e.live, now))
		return;
	unreachable = e.daemons < e.live;
	if (unreachable == s->daemons_unreachable &&
	    (lowest <= rp_machine_in_force_version(m) ||
	     lowest <= s->proposed_in_force))
		return;
	e.version = MIN(lowest, rp_machine_current(m)->version);
	propose_in_force(s, &e, unreachable);
}

static bool knows_all_daemons(const struct so_source *s, uint32_t live,
			      ba_time now)
{
	const struct rp_machine *m = rp_node_machine(s->node);
	struct so_reach r = {.live = live, .running = now - s->started_at};
	const struct rp_version *v;

	for (size_t i = 0; !r.before && (v = rp_machine_version(m, i)); i++)
		r.before = v->in_force_at ? v->daemons : 0;
	return so_reach_is_known(&r);
}

static void propose_in_force(struct so_source *s, RtInForce *e,
			     bool unreachable)
{
	uint8_t packed[64]; /* an RtInForce takes 34 bytes at most */
	size_t len;

	e->wall_us = (uint64_t)ba_clock_wall();
	len = rt_in_force__pack(e, packed);
	if (rp_node_propose(s->node, RP_ENTRY_KIND__RP_ENTRY_IN_FORCE, packed,
			    len, ba_loop_now(s->loop)))
		return;
	s->proposed_in_force =
		unreachable == s->daemons_unreachable || unreachable
			? e->version
			: 0;
	s->daemons_unreachable = unreachable;
	so_source_rearm(s);
}
