#include <string.h>

#include <glib.h>

#include "base/ba_event.h"
#include "base/ba_list.h"
#include "base/ba_result.h"
#include "distrib/ds_dialer.h"
#include "distrib/ds_feed.h"
#include "distrib/ds_pacing.h"
#include "distrib/ds_publisher.h"
#include "wire/ds.pb-c.h"

enum {
	TAG_SNAPSHOT = 3 << 3 | 2, /* DsUpdate.snapshot, length-delimited */
	TAG_DELTA = 4 << 3 | 2,	   /* DsUpdate.delta, length-delimited */
	VARINT_BYTES = 10,
	SMALL_DELTA_BYTES = 4096, /* sent without comparing with the snapshot */
};

/**
 * struct peer - the session of one subscriber
 * @id: number of the subscriber in the publisher
 * @remote: whether the subscriber is in another region
 */
struct peer {
	uint64_t id;
	struct wi_session *session;
	bool remote;
};

/**
 * struct ds_feed - the publisher with its sessions and encoded updates
 * @timer: fires at the publisher's deadline
 * @bases: earlier snapshots that a delta may start from, by version
 * @deltas: encoded deltas to the current version, by the version they start
 *	from
 * @snapshot: encoded current snapshot; empty until it is needed
 * @stale_since: time the source was last heard, %BA_NEVER while it is heard
 * @budget: bytes sent to other regions
 * @limits_admission: whether the rate of new sessions is limited
 */
struct ds_feed {
	struct ba_timer timer;
	struct ba_loop *loop;
	struct ds_feed_owner *owner;
	struct ds_publisher *publisher;
	GHashTable *by_session;
	GHashTable *by_id;
	uint64_t last_id;
	struct cf_snapshot *current;
	GHashTable *bases;
	GHashTable *deltas;
	struct ba_buf snapshot;
	char *region;
	ba_time stale_since;
	struct ds_budget budget;
	bool limits_admission;
	struct ds_admission admission;
	struct ba_rand rand;
};

enum { QUEUE_BYTES = 64 * 1024 * 1024 };

/* Both ends together send fewer heartbeats than with one a second at each. */
const struct wi_limits ds_dial_limits = {
	.heartbeat_interval = 2400 * BA_MS,
	.silence_timeout = DS_SILENCE_LIMIT,
	.connect_timeout = WI_CONNECT_TIMEOUT,
	.handshake_timeout = 2 * BA_SECOND,
	.max_queue_bytes = QUEUE_BYTES,
};

const struct wi_limits ds_listen_limits = {
	.heartbeat_interval = DS_HEARTBEAT_INTERVAL,
	.silence_timeout = 3600 * BA_MS,
	.connect_timeout = WI_CONNECT_TIMEOUT,
	.handshake_timeout = 2 * BA_SECOND,
	.max_queue_bytes = QUEUE_BYTES,
};

static void buf_free(void *data);
static void unref_snapshot(void *data);
static void on_timer(struct ba_timer *t, ba_time now);
static void handle_event(struct ds_feed *f, const struct ds_event *e);
static void execute(struct ds_feed *f, const struct ds_action *a);
static void notify_summary(struct ds_feed *f);
static void send_update(struct ds_feed *f, const struct ds_action *a);
static const struct ba_buf *encoded_delta(struct ds_feed *f, uint64_t from);
static const struct ba_buf *encoded_snapshot(struct ds_feed *f);
static void add_payload(struct ba_buf *out, uint8_t tag,
			const struct ba_buf *payload);
static void drop_unused_bases(struct ds_feed *f);
static int on_subscribe(struct ds_feed *f, struct wi_session *s,
			const struct wi_frame *frame);
static int on_ack(struct ds_feed *f, struct wi_session *s,
		  const struct wi_frame *frame);
static struct peer *admit(struct ds_feed *f, struct wi_session *s);
static void read_counts(const DsAck *m, struct ds_event *e);

struct ds_feed *ds_feed_new(struct ba_loop *loop, struct ds_feed_owner *owner)
{
	struct ds_feed *f = g_new0(struct ds_feed, 1);

	f->timer.fire = on_timer;
	f->loop = loop;
	f->owner = owner;
	f->publisher = ds_publisher_new();
	f->by_session = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					      NULL, g_free);
	f->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	f->bases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 unref_snapshot);
	f->deltas = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  buf_free);
	f->stale_since = BA_NEVER;
	return f;
}

void ds_feed_free(struct ds_feed *f)
{
	if (!f)
		return;
	ba_loop_disarm(f->loop, &f->timer);
	g_hash_table_destroy(f->by_id);
	g_hash_table_destroy(f->by_session);
	g_hash_table_destroy(f->bases);
	g_hash_table_destroy(f->deltas);
	ba_buf_free(&f->snapshot);
	cf_snapshot_unref(f->current);
	ds_publisher_free(f->publisher);
	g_free(f->region);
	g_free(f);
}

void ds_feed_publish(struct ds_feed *f, struct cf_snapshot *s)
{
	struct ds_event e = {.kind = DS_PUBLISHED};

	if (s->version <= ds_publisher_version(f->publisher))
		return;
	if (f->current)
		g_hash_table_insert(f->bases, &f->current->version, f->current);
	f->current = cf_snapshot_ref(s);
	g_hash_table_remove_all(f->deltas);
	ba_buf_free(&f->snapshot);
	e.version = s->version;
	e.digest = s->digest;
	e.window =
		ds_pacing_window(&s->policy, &f->budget, ba_loop_now(f->loop));
	ba_event(DS_EV_PUBLISHED, "version=%llu subscribers=%u window_us=%lld",
		 (unsigned long long)s->version, g_hash_table_size(f->by_id),
		 (long long)e.window);
	handle_event(f, &e);
	drop_unused_bases(f);
}

int ds_feed_handle_frame(struct ds_feed *f, struct wi_session *s,
			 const struct wi_frame *frame)
{
	if (frame->type == DS_SUBSCRIBE)
		return on_subscribe(f, s, frame);
	if (frame->type == DS_ACK)
		return on_ack(f, s, frame);
	return WI_FRAME_UNKNOWN;
}

void ds_feed_remove_session(struct ds_feed *f, struct wi_session *s)
{
	struct peer *peer = g_hash_table_lookup(f->by_session, s);
	struct ds_event e = {.kind = DS_DROPPED};

	if (!peer)
		return;
	e.subscriber = peer->id;
	g_hash_table_remove(f->by_id, &peer->id);
	g_hash_table_remove(f->by_session, s);
	handle_event(f, &e);
}

void ds_feed_set_region(struct ds_feed *f, const char *region)
{
	g_free(f->region);
	f->region = g_strdup(region);
}

void ds_feed_set_admission(struct ds_feed *f, uint64_t seed)
{
	f->limits_admission = true;
	f->rand.state = seed;
}

void ds_feed_set_stale(struct ds_feed *f, ba_time since)
{
	struct ds_event e = {.kind = DS_STALE_CHANGED};
	bool changed = (f->stale_since == BA_NEVER) != (since == BA_NEVER);

	f->stale_since = since;
	if (changed)
		handle_event(f, &e);
}

void ds_feed_set_authority(struct ds_feed *f, bool authority)
{
	struct ds_event e = {.kind = DS_AUTHORITY_CHANGED,
			     .authority = authority};

	handle_event(f, &e);
}

void ds_feed_set_upstream_ready(struct ds_feed *f, bool ready)
{
	struct ds_event e = {.kind = ready ? DS_UPSTREAM_READY
					   : DS_UPSTREAM_LOST};

	handle_event(f, &e);
}

void ds_feed_floor_answered(struct ds_feed *f, uint64_t floor)
{
	struct ds_event e = {.kind = DS_FLOOR_ANSWERED, .floor = floor};

	handle_event(f, &e);
}

size_t ds_feed_counts(const struct ds_feed *f,
		      struct ds_count out[DS_COUNTS_LIMIT])
{
	return ds_publisher_counts(f->publisher, out);
}

uint64_t ds_feed_version(const struct ds_feed *f)
{
	return ds_publisher_version(f->publisher);
}

static void buf_free(void *data)
{
	ba_buf_free(data);
	g_free(data);
}

static void unref_snapshot(void *data)
{
	cf_snapshot_unref(data);
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	struct ds_feed *f = ba_entry(t, struct ds_feed, timer);
	struct ds_event e = {.kind = DS_TICK};

	(void)now;
	handle_event(f, &e);
}

static void handle_event(struct ds_feed *f, const struct ds_event *e)
{
	struct ds_actions actions = {0};
	ba_time deadline;

	ds_publisher_step(f->publisher, e, ba_loop_now(f->loop), &actions);
	for (size_t i = 0; i < actions.n; i++)
		execute(f, &actions.list[i]);
	ds_actions_free(&actions);
	deadline = ds_publisher_deadline(f->publisher);
	if (deadline != BA_NEVER)
		ba_loop_arm(f->loop, &f->timer, deadline);
}

static void execute(struct ds_feed *f, const struct ds_action *a)
{
	struct peer *peer;

	if (a->kind == DS_NOTIFY_SUMMARY) {
		notify_summary(f);
		return;
	}
	if (a->kind == DS_ASK_FLOOR) {
		if (f->owner && f->owner->ask_floor)
			f->owner->ask_floor(f->owner);
		return;
	}
	if (a->kind != DS_REFUSE) {
		send_update(f, a);
		return;
	}
	peer = g_hash_table_lookup(f->by_id, &a->subscriber);
	if (peer)
		wi_refuse(peer->session, DS_OVERLOADED, BA_SECOND);
}

static void notify_summary(struct ds_feed *f)
{
	struct ds_count counts[DS_COUNTS_LIMIT];
	size_t n = ds_publisher_counts(f->publisher, counts);
	uint32_t daemons = 0;

	if (!f->owner || !f->owner->on_summary)
		return;
	for (size_t i = 0; i < n; i++)
		daemons += counts[i].daemons;
	f->owner->on_summary(f->owner, n ? counts[0].version : 0, daemons);
}

/*
 * The configuration is encoded once for all subscribers and appended to the
 * other fields of the packed message: protobuf allows fields in any order.
 */
static void send_update(struct ds_feed *f, const struct ds_action *a)
{
	struct peer *peer = g_hash_table_lookup(f->by_id, &a->subscriber);
	const struct ba_buf *delta = NULL;
	struct ba_buf out = {0};
	DsUpdate m = DS_UPDATE__INIT;

	if (!peer)
		return;
	m.current_version = ds_publisher_version(f->publisher);
	m.floor = a->floor;
	m.floor_known = a->floor_known;
	m.answer = a->answer;
	/* The age is at least 1 ms, as 0 means that the source is heard. */
	if (f->stale_since != BA_NEVER)
		m.source_age_ms =
			(uint64_t)((ba_loop_now(f->loop) - f->stale_since) /
				   BA_MS) +
			1;
	if (f->current) {
		m.digest.data = f->current->digest.bytes;
		m.digest.len = BA_DIGEST_BYTES;
	}
	ba_buf_reserve(&out, ds_update__get_packed_size(&m));
	out.len = ds_update__pack(&m, out.data);
	if (a->kind == DS_SEND_DELTA)
		delta = encoded_delta(f, a->from);
	if (delta && (delta->len <= SMALL_DELTA_BYTES ||
		      delta->len < encoded_snapshot(f)->len))
		add_payload(&out, TAG_DELTA, delta);
	else if (a->kind != DS_SEND_RESUME)
		add_payload(&out, TAG_SNAPSHOT, encoded_snapshot(f));
	if (peer->remote && f->current)
		ds_budget_spend(&f->budget, &f->current->policy, out.len,
				ba_loop_now(f->loop));
	if (a->kind == DS_SEND_SNAPSHOT)
		ba_event(DS_EV_CATCH_UP, "peer=%s version=%llu bytes=%zu",
			 wi_session_peer(peer->session)->instance,
			 (unsigned long long)m.current_version, out.len);
	wi_send_packed(peer->session, DS_UPDATE, out.data, out.len);
	ba_buf_free(&out);
}

static const struct ba_buf *encoded_delta(struct ds_feed *f, uint64_t from)
{
	struct cf_snapshot *base = g_hash_table_lookup(f->bases, &from);
	struct ba_buf *b = g_hash_table_lookup(f->deltas, &from);
	uint64_t *key;

	if (b || !base)
		return b;
	b = g_new0(struct ba_buf, 1);
	key = g_new(uint64_t, 1);
	*key = from;
	cf_delta_encode(base, f->current, CF_FORM_DIGESTS, b);
	g_hash_table_insert(f->deltas, key, b);
	return b;
}

static const struct ba_buf *encoded_snapshot(struct ds_feed *f)
{
	if (!f->snapshot.len)
		cf_snapshot_encode(f->current, CF_FORM_DIGESTS, &f->snapshot);
	return &f->snapshot;
}

static void add_payload(struct ba_buf *out, uint8_t tag,
			const struct ba_buf *payload)
{
	uint8_t header[1 + VARINT_BYTES];
	size_t len = payload->len;
	size_t n = 0;

	header[n++] = tag;
	for (; len > 0x7f; len >>= 7)
		header[n++] = (uint8_t)(len | 0x80);
	header[n++] = (uint8_t)len;
	ba_buf_add(out, header, n);
	ba_buf_add(out, payload->data, payload->len);
}

static void drop_unused_bases(struct ds_feed *f)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, f->bases);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!ds_publisher_has_base(f->publisher, *(uint64_t *)key))
			g_hash_table_iter_remove(&iter);
}

static int on_subscribe(struct ds_feed *f, struct wi_session *s,
			const struct wi_frame *frame)
{
	DsSubscribe *m = (DsSubscribe *)wi_frame_unpack(
		frame, &ds_subscribe__descriptor);
	struct ds_event e = {.kind = DS_SUBSCRIBED};
	struct peer *peer;
	bool wants_roster;

	if (!m)
		return WI_FRAME_GARBAGE;
	wants_roster = m->wants_roster;
	e.version = m->held_version;
	e.floor = m->floor;
	if (m->held_digest.len == BA_DIGEST_BYTES)
		memcpy(e.digest.bytes, m->held_digest.data, BA_DIGEST_BYTES);
	e.ask = m->ask;
	ds_subscribe__free_unpacked(m, NULL);
	if (wants_roster) {
		if (f->owner && f->owner->send_roster)
			f->owner->send_roster(f->owner, s);
		return BA_OK;
	}
	peer = admit(f, s);
	if (!peer)
		return BA_OK;
	e.subscriber = peer->id;
	if (e.ask) {
		e.kind = DS_FLOOR_ASKED;
		handle_event(f, &e);
		return BA_OK;
	}
	e.remote = peer->remote;
	e.is_relay = wi_session_peer(s)->role == WI_RELAY;
	if (wi_session_peer(s)->role == WI_DAEMON) {
		e.counts[0].version = e.version;
		e.counts[0].daemons = 1;
		e.n_counts = 1;
	}
	handle_event(f, &e);
	return BA_OK;
}

static struct peer *admit(struct ds_feed *f, struct wi_session *s)
{
	const struct wi_peer *who = wi_session_peer(s);
	struct peer *peer = g_hash_table_lookup(f->by_session, s);
	ba_time wait = 0;

	if (peer)
		return peer;
	if (f->limits_admission && who->role == WI_DAEMON)
		wait = ds_admission_acquire(&f->admission, &f->rand,
					    ba_loop_now(f->loop));
	if (wait) {
		ba_event(DS_EV_SESSION_DEFERRED, "peer=%s retry_after_us=%lld",
			 who->instance, (long long)wait);
		wi_refuse(s, DS_OVERLOADED, wait);
		return NULL;
	}
	peer = g_new0(struct peer, 1);
	peer->id = ++f->last_id;
	peer->session = s;
	peer->remote = f->region && strcmp(f->region, who->region) != 0;
	g_hash_table_insert(f->by_session, s, peer);
	g_hash_table_insert(f->by_id, &peer->id, peer);
	return peer;
}

static int on_ack(struct ds_feed *f, struct wi_session *s,
		  const struct wi_frame *frame)
{
	struct peer *peer = g_hash_table_lookup(f->by_session, s);
	DsAck *m = (DsAck *)wi_frame_unpack(frame, &ds_ack__descriptor);
	struct ds_event e = {.kind = DS_ACKED};

	if (!m)
		return WI_FRAME_GARBAGE;
	e.version = m->version;
	read_counts(m, &e);
	ds_ack__free_unpacked(m, NULL);
	if (!peer)
		return BA_OK;
	e.subscriber = peer->id;
	handle_event(f, &e);
	return BA_OK;
}

static void read_counts(const DsAck *m, struct ds_event *e)
{
	size_t n = MIN(m->n_counts, (size_t)DS_COUNTS_LIMIT);

	for (size_t i = 0; i < n; i++) {
		e->counts[i].version = m->counts[i]->version;
		e->counts[i].daemons = m->counts[i]->daemons;
	}
	e->n_counts = n;
	if (n || !m->daemons)
		return;
	e->counts[0].version = m->version;
	e->counts[0].daemons = m->daemons;
	e->n_counts = 1;
}
