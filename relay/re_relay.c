#include <string.h>

#include "base/ba_result.h"
#include "relay/re.h"

#define ROOTS_INTERVAL (30 * BA_SECOND)

static void on_summary(struct ds_feed_owner *o, uint64_t lowest,
		       uint32_t daemons);
static void on_ask_floor(struct ds_feed_owner *o);
static void on_tick(struct ba_timer *t, ba_time now);

int re_relay_start(struct re_relay *r)
{
	ba_time now = ba_loop_now(r->loop);

	r->acceptor.accept = re_session_accept;
	ba_list_init(&r->conns);
	if (wi_listen(r->loop, &r->settings->address, r->identity,
		      &ds_listen_limits, &r->acceptor, &r->listener))
		return BA_PORT_IN_USE;
	r->by_instance = g_hash_table_new(g_str_hash, g_str_equal);
	r->origins =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	r->figures = g_ptr_array_new_with_free_func(re_figures_free);
	r->own_figures =
		rt_figures_new(r->identity->instance, "relay",
			       r->identity->incarnation, ba_clock_wall());
	r->table = ep_table_new(EP_TABLE_LIMIT);
	r->feed_owner.on_summary = on_summary;
	r->feed_owner.ask_floor = on_ask_floor;
	r->feed = ds_feed_new(r->loop, &r->feed_owner);
	ds_feed_set_region(r->feed, r->identity->region);
	ds_feed_set_admission(r->feed, r->identity->incarnation);
	r->batch_timer.fire = re_endpoint_on_batch_timer;
	r->figures_timer.fire = re_figures_on_timer;
	r->tallies_timer.fire = re_tallies_on_timer;
	r->tick_timer.fire = on_tick;
	re_roster_init(r);
	re_departure_start(r);
	re_quota_start(r);
	re_peer_start(r);
	re_upstream_start(r);
	ba_loop_arm(r->loop, &r->tick_timer, now + BA_SECOND);
	ba_loop_arm(r->loop, &r->figures_timer, now + BA_SECOND);
	return BA_OK;
}

void re_relay_stop(struct re_relay *r)
{
	ba_loop_disarm(r->loop, &r->tick_timer);
	ba_loop_disarm(r->loop, &r->figures_timer);
	ba_loop_disarm(r->loop, &r->tallies_timer);
	rt_tallies_free(r->tallies);
	ba_loop_disarm(r->loop, &r->batch_timer);
	ba_loop_disarm(r->loop, &r->roster_timer);
	ba_loop_disarm(r->loop, &r->ack_timer);
	ba_loop_disarm(r->loop, &r->quota_timer);
	wi_listener_close(r->listener);
	ds_link_free(r->upstream);
	re_peer_free_all(r);
	re_session_free_all(r);
	re_quota_stop(r);
	re_departure_stop(r);
	ds_feed_free(r->feed);
	ds_receiver_free(&r->receiver);
	ep_table_free(r->table);
	rt_figures_free(r->own_figures);
	g_ptr_array_free(r->figures, TRUE);
	g_hash_table_destroy(r->origins);
	g_hash_table_destroy(r->by_instance);
}

bool re_relay_serves(const struct re_relay *r, const char *data_centre)
{
	return r->settings->all_data_centres ||
	       !strcmp(data_centre, r->identity->data_centre);
}

static void on_summary(struct ds_feed_owner *o, uint64_t lowest,
		       uint32_t daemons)
{
	struct re_relay *r = ba_entry(o, struct re_relay, feed_owner);

	(void)lowest;
	(void)daemons;
	re_upstream_schedule_ack(r);
}

static void on_ask_floor(struct ds_feed_owner *o)
{
	re_upstream_ask_floor(ba_entry(o, struct re_relay, feed_owner));
}

static void on_tick(struct ba_timer *t, ba_time now)
{
	struct re_relay *r = ba_entry(t, struct re_relay, tick_timer);

	ba_loop_arm(r->loop, t, now + BA_SECOND);
	re_endpoint_expire(r, now);
	re_quota_check(r);
	re_upstream_check(r, now);
	if (now >= r->roots_deadline) {
		r->roots_deadline = now + ROOTS_INTERVAL;
		re_peer_send_roots(r);
	}
	if (now >= r->own_figures_deadline && !r->figures_timer.slot)
		ba_loop_arm(r->loop, &r->figures_timer, now);
}
