#include <string.h>

#include "base/ba_digest.h"
#include "base/ba_event.h"
#include "base/ba_result.h"
#include "relay/re.h"
#include "wire/ds.pb-c.h"

#define FLOOR_REQUEST_TIMEOUT BA_SECOND

static void on_opened(struct ds_link_owner *o, struct wi_session *s);
static int on_frame(struct ds_link_owner *o, struct wi_session *s,
		    const struct wi_frame *f);
static void on_lost(struct ds_link_owner *o, int code);
static int handle_update(struct re_relay *r, struct wi_session *s,
			 const struct wi_frame *f);
static void update_staleness(struct re_relay *r,
			     const struct ds_receive_result *result);
static void on_ack_timer(struct ba_timer *t, ba_time now);
static void send_ack(struct re_relay *r, struct wi_session *s);
static size_t order_upstreams(const struct re_relay *r, struct ba_address *out);

void re_upstream_start(struct re_relay *r)
{
	const struct re_settings *st = r->settings;
	struct ba_address *list = g_new0(struct ba_address,
					 st->sources.n + st->upstream_relays.n);
	struct ds_link_options options = {
		.identity = r->identity,
		.addresses = list,
		.seed = r->identity->incarnation,
	};

	options.n_addresses = order_upstreams(r, list);
	options.n_preferred = options.n_addresses - st->sources.n;
	r->upstream_owner.opened = on_opened;
	r->upstream_owner.frame = on_frame;
	r->upstream_owner.lost = on_lost;
	r->ack_timer.fire = on_ack_timer;
	r->stale_since = ba_loop_now(r->loop);
	r->ask_deadline = BA_NEVER;
	r->receiver.subscriber.floor_known = true;
	ds_feed_set_stale(r->feed, r->stale_since);
	r->upstream = ds_link_new(r->loop, &options, &r->upstream_owner);
	g_free(list);
}

void re_upstream_ask_floor(struct re_relay *r)
{
	r->ask_deadline = ba_loop_now(r->loop) + FLOOR_REQUEST_TIMEOUT;
	ds_receiver_ask_floor(ds_link_session(r->upstream), ++r->ask_number);
}

/*
 * An upstream that does not answer in time cannot reach the leader; another one
 * may be able to.
 */
void re_upstream_check(struct re_relay *r, ba_time now)
{
	if (now >= r->ask_deadline && ds_link_session(r->upstream))
		ds_link_set_stale(r->upstream, true);
}

void re_upstream_schedule_ack(struct re_relay *r)
{
	if (!r->ack_timer.slot)
		ba_loop_arm(r->loop, &r->ack_timer,
			    ba_loop_now(r->loop) + RE_BATCH_DELAY);
}

static void on_opened(struct ds_link_owner *o, struct wi_session *s)
{
	struct re_relay *r = ba_entry(o, struct re_relay, upstream_owner);

	ds_receiver_subscribe(&r->receiver, s, false);
	re_departure_ask(r);
	re_upstream_schedule_ack(r);
	ds_feed_set_upstream_ready(r->feed, true);
}

static int on_frame(struct ds_link_owner *o, struct wi_session *s,
		    const struct wi_frame *f)
{
	struct re_relay *r = ba_entry(o, struct re_relay, upstream_owner);

	if (f->type == DS_UPDATE)
		return handle_update(r, s, f);
	if (f->type == EP_DEPARTED)
		return re_departure_handle_logged(r, f);
	if (f->type == RT_ACK)
		return re_figures_handle_ack(r, f);
	return WI_FRAME_UNKNOWN;
}

static void on_lost(struct ds_link_owner *o, int code)
{
	struct re_relay *r = ba_entry(o, struct re_relay, upstream_owner);
	ba_time now = ba_loop_now(r->loop);

	(void)code;
	if (r->stale_since == BA_NEVER)
		r->stale_since = now;
	ds_feed_set_stale(r->feed, r->stale_since);
	r->ask_deadline = BA_NEVER;
	ds_feed_set_upstream_ready(r->feed, false);
}

static int handle_update(struct re_relay *r, struct wi_session *s,
			 const struct wi_frame *f)
{
	ba_time now = ba_loop_now(r->loop);
	struct cf_snapshot *next;
	struct ds_receive_result result;
	int ret = ds_receiver_handle_update(&r->receiver, f, &result, &next);

	if (ret)
		return ret;
	if (next) {
		ds_receiver_set_current(&r->receiver, next);
		ds_feed_publish(r->feed, next);
		re_quota_configure(r, next);
		cf_snapshot_unref(next);
		send_ack(r, s);
	}
	update_staleness(r, &result);
	if (result.answer && result.answer == r->ask_number) {
		r->ask_deadline = BA_NEVER;
		ds_feed_floor_answered(r->feed, result.floor);
	}
	if (result.verdict == DS_RESUBSCRIBE)
		ds_receiver_subscribe(&r->receiver, s, true);
	if (result.verdict == DS_UP_TO_DATE)
		re_upstream_schedule_ack(r);
	ds_link_set_stale(r->upstream,
			  r->stale_since != BA_NEVER || now >= r->ask_deadline);
	return BA_OK;
}

/*
 * The source counts as heard if the upstream hears it and is not behind the
 * version held here.
 */
static void update_staleness(struct re_relay *r,
			     const struct ds_receive_result *result)
{
	ba_time now = ba_loop_now(r->loop);
	bool fresh = !result->source_age &&
		     result->verdict != DS_PUBLISHER_BEHIND &&
		     result->verdict != DS_REFUSE_OLDER;

	if (fresh)
		r->stale_since = BA_NEVER;
	else if (result->source_age)
		r->stale_since = now - result->source_age;
	else if (r->stale_since == BA_NEVER)
		r->stale_since = now;
	ds_feed_set_stale(r->feed, r->stale_since);
}

static void on_ack_timer(struct ba_timer *t, ba_time now)
{
	struct re_relay *r = ba_entry(t, struct re_relay, ack_timer);
	struct wi_session *s = ds_link_session(r->upstream);

	(void)now;
	if (s)
		send_ack(r, s);
}

static void send_ack(struct re_relay *r, struct wi_session *s)
{
	struct ds_count counts[DS_COUNTS_LIMIT];
	DsVersionCount list[DS_COUNTS_LIMIT];
	DsVersionCount *pointers[DS_COUNTS_LIMIT];
	DsAck m = DS_ACK__INIT;

	m.version = r->receiver.subscriber.held;
	m.n_counts = ds_feed_counts(r->feed, counts);
	m.counts = pointers;
	for (size_t i = 0; i < m.n_counts; i++) {
		ds_version_count__init(&list[i]);
		list[i].version = counts[i].version;
		list[i].daemons = counts[i].daemons;
		pointers[i] = &list[i];
		m.daemons += counts[i].daemons;
	}
	m.live = (uint32_t)ep_table_n_live(r->table);
	wi_send(s, DS_ACK, &m.base);
}

/*
 * Only one relay of a region is meant to subscribe to a source, over the paid
 * link, and the others to it.  Relays are ordered by address; each one prefers
 * the relays ordered before it, first to last, and then the sources.  So the
 * first relay that is up uses the paid link, and no cycle can arise.  All of
 * them are listed by the address that their own region uses.  The source that is tried first differs between relays, by a hash of the instance.
 */
static size_t order_upstreams(const struct re_relay *r, struct ba_address *out)
{
	const struct re_settings *st = r->settings;
	const char *own = st->address.text;
	size_t first = 0;
	size_t n = 0;

	for (size_t i = 0; i < st->upstream_relays.n; i++) {
		const struct ba_address *a = &st->upstream_relays.list[i];
		size_t at = n;

		if (strcmp(a->text, own) >= 0)
			continue;
		for (; at && strcmp(out[at - 1].text, a->text) > 0; at--)
			out[at] = out[at - 1];
		out[at] = *a;
		n++;
	}
	if (st->sources.n)
		first = ba_hash(r->identity->instance,
				strlen(r->identity->instance), 0) %
			st->sources.n;
	for (size_t i = 0; i < st->sources.n; i++)
		out[n++] = st->sources.list[(first + i) % st->sources.n];
	return n;
}
