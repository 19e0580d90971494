/*
 * Departures of backend servers: carries them from the daemons to the sources,
 * and those that are logged back.  A daemon that was restarted gets from here
 * what was acknowledged before, also after a restart of everything.
 */
#include <string.h>

#include "base/ba_result.h"
#include "relay/re.h"

/*
 * struct asked - departures that a session sent to be logged
 * @foreign: whether one of them is not the daemon's own
 */
struct asked {
	const struct re_conn *conn;
	bool foreign;
};

static void check_instance(const struct ep_departure_entry *d, void *arg);
static void learn(const struct ep_departure_entry *d, void *arg);
static bool is_daemon(const struct re_conn *c);
static bool knows_departures(const struct wi_session *s);
static void send_known(struct re_conn *c);

void re_departure_start(struct re_relay *r)
{
	r->departures = ep_departures_new();
}

void re_departure_stop(struct re_relay *r)
{
	ep_departures_free(r->departures);
}

void re_departure_ask(struct re_relay *r)
{
	struct wi_session *upstream = ds_link_session(r->upstream);

	if (knows_departures(upstream))
		wi_send_packed(upstream, EP_DEPART, "", 0);
}

/*
 * Departures to be logged are not kept here: who sends them does so again until
 * they are.  An upstream of an older release can't have them logged; then they are
 * acknowledged without the log.
 */
int re_departure_handle(struct re_conn *c, const struct wi_frame *f)
{
	struct wi_session *upstream = ds_link_session(c->relay->upstream);
	struct asked asked = {.conn = c};
	int n = ep_departures_read(f->data, f->len, check_instance, &asked);

	if (n < 0 || asked.foreign)
		return WI_FRAME_GARBAGE;
	c->wants_departures = true;
	if (!n)
		send_known(c);
	else if (upstream && knows_departures(upstream))
		wi_send_packed(upstream, EP_DEPART, f->data, f->len);
	else if (upstream)
		wi_send_packed(c->session, EP_DEPARTED, f->data, f->len);
	return BA_OK;
}

int re_departure_handle_logged(struct re_relay *r, const struct wi_frame *f)
{
	struct ba_list *pos;

	if (ep_departures_read(f->data, f->len, learn, r) < 0)
		return WI_FRAME_GARBAGE;
	ba_list_each(pos, &r->conns)
	{
		struct re_conn *c = ba_entry(pos, struct re_conn, link);

		if (c->wants_departures && !is_daemon(c))
			wi_send_packed(c->session, EP_DEPARTED, f->data,
				       f->len);
	}
	return BA_OK;
}

void re_departure_complete(struct re_relay *r, struct ep_record *record)
{
	const struct ep_departure_entry *d =
		ep_departures_find(r->departures, record->instance);

	if (d) {
		const struct ep_record logged = {
			.backend = (char *)d->lifetime.backend,
			.backend_start_wall_ms = d->lifetime.start_wall_ms,
			.backend_sequence = d->lifetime.sequence,
			.backend_state = d->lifetime.state,
		};

		ep_record_keep_lifetime(record, &logged);
	}
}

/* A daemon speaks for the backend server beside it only. */
static void check_instance(const struct ep_departure_entry *d, void *arg)
{
	struct asked *asked = arg;
	const struct re_conn *c = asked->conn;

	if (is_daemon(c) &&
	    strcmp(d->instance, wi_session_peer(c->session)->instance) != 0)
		asked->foreign = true;
}

static void learn(const struct ep_departure_entry *d, void *arg)
{
	struct re_relay *r = arg;
	struct re_conn *c = re_session_find(r, d->instance);

	ep_departures_add(r->departures, d);
	if (c && c->wants_departures && is_daemon(c))
		send_known(c);
}

static bool is_daemon(const struct re_conn *c)
{
	return wi_session_peer(c->session)->role == WI_DAEMON;
}

static bool knows_departures(const struct wi_session *s)
{
	return wi_session_peer(s)->features & WI_FEATURE_DEPARTURES;
}

/* To a daemon, what is known of its own backend server; to a relay, all. */
static void send_known(struct re_conn *c)
{
	const struct ep_departures *all = c->relay->departures;
	struct ba_buf packed = {0};

	if (is_daemon(c)) {
		const struct ep_departure_entry *own = ep_departures_find(
			all, wi_session_peer(c->session)->instance);

		if (own)
			ep_departure_pack(own, &packed);
	} else {
		ep_departures_pack(all, &packed);
	}
	if (packed.len)
		wi_send_packed(c->session, EP_DEPARTED, packed.data,
			       packed.len);
	ba_buf_free(&packed);
}
