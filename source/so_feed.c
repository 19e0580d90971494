#include <string.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "source/so.h"
#include "wire/ds.pb-c.h"
#include "wire/rp.pb-c.h"

#define SUMMARY_AGE_LIMIT BA_SECOND
#define SUBSCRIBER_KEPT (24 * BA_HOUR)

static void on_ack(struct ds_feed_owner *o, uint64_t lowest, uint32_t daemons);
static void on_ask(struct ds_feed_owner *o);
static void set_authority(struct so_source *s, ba_time now);
static void note_subscriber(struct so_conn *c, const struct wi_frame *f);
static void set_behind(struct so_subscriber *r, const DsAck *m);
static struct so_subscriber *subscriber(struct so_source *s,
					const struct wi_peer *peer);
static void subscriber_free(gpointer data);
static gboolean is_forgotten(gpointer key, gpointer value, gpointer now);
static void check_in_force(struct so_source *s, ba_time now);
static void propose_in_force(struct so_source *s, RtInForce *e, bool apart);
static uint32_t count_live(struct so_source *s);
static void tell_live(struct so_source *s);

void so_feed_start(struct so_source *s)
{
	s->feed_owner.on_summary = on_ack;
	s->feed_owner.ask_floor = on_ask;
	s->feed = ds_feed_new(s->loop, &s->feed_owner);
	so_read_start(s);
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

int so_feed_frame(struct so_conn *c, const struct wi_frame *f)
{
	if (f->type == RT_BATCH)
		return so_figures_batch(c, f);
	if (f->type == DS_ACK)
		note_subscriber(c, f);
	if (f->type == DS_SUBSCRIBE)
		set_authority(c->source, ba_loop_now(c->source->loop));
	return ds_feed_handle_frame(c->source->feed, c->session, f);
}

/*
 * What is published is fresh while a leader within its lease says so, or a
 * follower hears one.  Only the leader itself can know that no daemon holds
 * anything newer.
 */
void so_feed_check(struct so_source *s, ba_time now)
{
	const struct rp_core *core = rp_node_core(s->node);
	ba_time informed = rp_core_up_to_date_at(core, now);
	bool fresh = informed && now - informed <= 3 * s->heartbeat;

	ds_feed_set_stale(s->feed,
			  fresh ? BA_NEVER : MAX(informed, s->started));
	set_authority(s, now);
	so_read_check(s, now);
	g_hash_table_foreach_remove(s->subscribers, is_forgotten, &now);
	check_in_force(s, now);
}

/*
 * Looked at again for each question: a leader that was frozen has lost its
 * lease before its timers say so.
 */
static void set_authority(struct so_source *s, ba_time now)
{
	const struct rp_core *core = rp_node_core(s->node);

	ds_feed_set_authority(s->feed, !rp_core_proposal_error(core, now));
}

static void on_ack(struct ds_feed_owner *o, uint64_t lowest, uint32_t daemons)
{
	struct so_source *s = ba_entry(o, struct so_source, feed_owner);

	rp_node_set_ack_summary(s->node, lowest, daemons, count_live(s));
	check_in_force(s, ba_loop_now(s->loop));
}

static void on_ask(struct ds_feed_owner *o)
{
	so_read_ask(ba_entry(o, struct so_source, feed_owner));
}

static void note_subscriber(struct so_conn *c, const struct wi_frame *f)
{
	DsAck *m = (DsAck *)wi_frame_unpack(f, &ds_ack__descriptor);
	struct so_subscriber *r;

	if (!m)
		return;
	r = subscriber(c->source, wi_session_peer(c->session));
	if (r) {
		r->version = m->n_counts ? m->counts[0]->version : m->version;
		r->daemons = m->daemons;
		r->live = m->live;
		r->heard = ba_loop_now(c->source->loop);
		set_behind(r, m);
		tell_live(c->source);
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

static struct so_subscriber *subscriber(struct so_source *s,
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

static gboolean is_forgotten(gpointer key, gpointer value, gpointer now)
{
	const struct so_subscriber *r = value;

	(void)key;
	return *(ba_time *)now - r->heard > SUBSCRIBER_KEPT;
}

/* Each relay knows the leases of the whole mesh; only open sessions count. */
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

static void tell_live(struct so_source *s)
{
	struct rp_peer_state own = rp_core_peer(rp_node_core(s->node), s->self);
	uint32_t live = count_live(s);

	if (live != own.live)
		rp_node_set_ack_summary(s->node, own.lowest, own.daemons, live);
}

/*
 * The leader adds up what the replicas' subscribers acknowledged.  A replica
 * that has been silent for long is left out: its relays go to others.  An
 * entry is also due when daemons with a lease get out of reach, and when
 * they are back.
 */
static void check_in_force(struct so_source *s, ba_time now)
{
	const struct rp_core *core = rp_node_core(s->node);
	const struct rp_machine *m = rp_node_machine(s->node);
	RtInForce e = RT_IN_FORCE__INIT;
	uint64_t lowest = UINT64_MAX;
	bool apart;

	if (rp_core_proposal_error(core, now))
		return;
	for (int i = 0; i < rp_core_n_peers(core); i++) {
		struct rp_peer_state p = rp_core_peer(core, i);
		bool own = i == s->self;

		if (!own && now - p.heard > SUMMARY_AGE_LIMIT)
			continue;
		e.live = MAX(e.live, p.live);
		if (!p.daemons)
			continue;
		lowest = MIN(lowest, p.lowest);
		e.daemons += p.daemons;
	}
	if (!e.daemons)
		return;
	apart = e.daemons < e.live;
	if (apart == s->apart && (lowest <= rp_machine_in_force(m) ||
				  lowest <= s->proposed_in_force))
		return;
	e.version = MIN(lowest, rp_machine_current(m)->version);
	propose_in_force(s, &e, apart);
}

static void propose_in_force(struct so_source *s, RtInForce *e, bool apart)
{
	uint8_t packed[64];
	size_t len;

	e->wall_us = (uint64_t)ba_clock_wall();
	len = rt_in_force__pack(e, packed);
	if (rp_node_propose(s->node, RP_ENTRY_KIND__RP_ENTRY_IN_FORCE, packed,
			    len, ba_loop_now(s->loop)))
		return;
	s->proposed_in_force = apart == s->apart || apart ? e->version : 0;
	s->apart = apart;
	so_source_rearm(s);
}
