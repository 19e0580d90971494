/*
 * Departures of backend servers, which their proxies acknowledge once they are in
 * the log.  Every replica sends its relays what it applies.
 */
#include "base/ba_result.h"
#include "source/so.h"
#include "wire/rp.pb-c.h"

/*
 * struct receiver - reads departures that are to be logged
 * @known: as of the log
 * @unlogged: packed EpDepartures of those that are not in it
 * @logged: the same of the others
 */
struct receiver {
	const struct ep_departures *known;
	struct ba_buf unlogged;
	struct ba_buf logged;
	ba_time wall;
};

static void sort_out(const struct ep_departure_entry *d, void *arg);
static void send_all(struct so_conn *c);

int so_departure_handle(struct so_conn *c, const struct wi_frame *f)
{
	struct so_source *s = c->source;
	struct receiver r = {
		.known = rp_machine_departures(rp_node_machine(s->node)),
		.wall = ba_clock_wall(),
	};
	int n = ep_departures_read(f->data, f->len, sort_out, &r);

	if (n < 0)
		return WI_FRAME_GARBAGE;
	if (!n)
		send_all(c);
	if (r.logged.len)
		wi_send_packed(c->session, EP_DEPARTED, r.logged.data,
			       r.logged.len);
	if (r.unlogged.len)
		so_source_propose(s, RP_ENTRY_KIND__RP_ENTRY_DEPARTURES,
				  r.unlogged.data, r.unlogged.len);
	ba_buf_free(&r.logged);
	ba_buf_free(&r.unlogged);
	return BA_OK;
}

/* Also if an entry before it said the same: who asks may not know of that. */
void so_departure_applied(struct so_source *s, const struct rp_entry *e)
{
	struct ba_list *pos;

	ba_list_each(pos, &s->conns)
	{
		struct so_conn *c = ba_entry(pos, struct so_conn, link);

		if (c->wants_departures)
			wi_send_packed(c->session, EP_DEPARTED, e->body,
				       e->len);
	}
}

void so_departure_installed(struct so_source *s)
{
	struct ba_list *pos;

	ba_list_each(pos, &s->conns)
	{
		struct so_conn *c = ba_entry(pos, struct so_conn, link);

		if (c->wants_departures)
			send_all(c);
	}
}

/*
 * Packed messages that follow each other are one message with the departures of
 * both.
 */
static void sort_out(const struct ep_departure_entry *d, void *arg)
{
	struct receiver *r = arg;
	const struct ep_departure_entry *known =
		ep_departures_find(r->known, d->instance);
	struct ep_departure_entry received = *d;

	received.wall = r->wall;
	if (known && ep_lifetime_covers(&known->lifetime, &d->lifetime))
		ep_departure_pack(known, &r->logged);
	else
		ep_departure_pack(&received, &r->unlogged);
}

static void send_all(struct so_conn *c)
{
	struct ba_buf packed = {0};

	c->wants_departures = true;
	ep_departures_pack(
		rp_machine_departures(rp_node_machine(c->source->node)),
		&packed);
	if (packed.len)
		wi_send_packed(c->session, EP_DEPARTED, packed.data,
			       packed.len);
	ba_buf_free(&packed);
}
