#include <string.h>

#include <glib.h>

#include "base/ba_list.h"
#include "distrib/ds_departure.h"

/* An instance on the way may have been lost, or the leader have changed. */
#define RESEND_INTERVAL (300 * BA_MS)

static void on_timer(struct ba_timer *t, ba_time now);
static bool knows_departures(const struct ds_departure *d);
static void send_pending(struct ds_departure *d);

void ds_departure_init(struct ds_departure *d, struct ba_loop *loop,
		       const char *instance)
{
	d->timer.fire = on_timer;
	d->loop = loop;
	d->instance = instance;
}

void ds_departure_stop(struct ds_departure *d)
{
	ba_loop_disarm(d->loop, &d->timer);
	d->pending = false;
}

void ds_departure_opened(struct ds_departure *d, struct wi_session *s)
{
	d->session = s;
	if (!knows_departures(d))
		return;
	wi_send_packed(s, EP_DEPART, "", 0);
	send_pending(d);
}

void ds_departure_lost(struct ds_departure *d)
{
	d->session = NULL;
}

bool ds_departure_log(struct ds_departure *d, const struct ep_lifetime *l)
{
	if (d->session && !knows_departures(d))
		return false;
	if (d->pending && ep_lifetime_covers(&d->lifetime, l))
		return true;
	g_strlcpy(d->backend, l->backend, sizeof(d->backend));
	d->lifetime = *l;
	d->lifetime.backend = d->backend;
	d->pending = true;
	send_pending(d);
	return true;
}

void ds_departure_logged(struct ds_departure *d, const struct ep_lifetime *l)
{
	if (d->pending && ep_lifetime_covers(l, &d->lifetime))
		ds_departure_stop(d);
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	(void)now;
	send_pending(ba_entry(t, struct ds_departure, timer));
}

static bool knows_departures(const struct ds_departure *d)
{
	return wi_session_peer(d->session)->features & WI_FEATURE_DEPARTURES;
}

static void send_pending(struct ds_departure *d)
{
	const struct ep_departure_entry entry = {
		.instance = d->instance,
		.lifetime = d->lifetime,
	};
	struct ba_buf packed = {0};

	if (!d->pending)
		return;
	ba_loop_arm(d->loop, &d->timer, ba_loop_now(d->loop) + RESEND_INTERVAL);
	if (!d->session || !knows_departures(d))
		return;
	ep_departure_pack(&entry, &packed);
	wi_send_packed(d->session, EP_DEPART, packed.data, packed.len);
	ba_buf_free(&packed);
}
