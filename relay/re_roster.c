/*
 * The roster of relays.  A relay offers itself and those relays that it has an
 * open session to, so one that has left is not offered again after a restart.
 */
#include <string.h>

#include "base/ba_digest.h"
#include "distrib/ds_roster.h"
#include "relay/re.h"
#include "wire/ds.pb-c.h"

static void on_asked(struct ds_feed_owner *o, struct wi_session *s);
static void on_timer(struct ba_timer *t, ba_time now);
static void send_roster(struct re_relay *r, struct re_conn *c);
static size_t list_relays(const struct re_relay *r, const char *region,
			  DsRelay *out);
static void add_relay(DsRelay *m, const char *address, const char *data_centre,
		      const char *region);

void re_roster_init(struct re_relay *r)
{
	r->feed_owner.send_roster = on_asked;
	r->roster_timer.fire = on_timer;
}

void re_roster_schedule(struct re_relay *r, ba_time at)
{
	if (!r->roster_timer.slot || at < r->roster_timer.deadline)
		ba_loop_arm(r->loop, &r->roster_timer, at);
}

static void on_asked(struct ds_feed_owner *o, struct wi_session *s)
{
	struct re_relay *r = ba_entry(o, struct re_relay, feed_owner);
	struct re_conn *c = re_session_find(r, wi_session_peer(s)->instance);

	if (!c || c->session != s)
		return;
	c->wants_roster = true;
	c->roster_digest = 0;
	send_roster(r, c);
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	struct re_relay *r = ba_entry(t, struct re_relay, roster_timer);
	struct ba_list *pos;

	(void)now;
	ba_list_each(pos, &r->conns)
	{
		struct re_conn *c = ba_entry(pos, struct re_conn, link);

		if (c->wants_roster)
			send_roster(r, c);
	}
}

/*
 * A daemon is sent the relays of its region.  Where the settings of each daemon
 * name the relays of its data centre, the roster is empty and changes nothing.
 */
static void send_roster(struct re_relay *r, struct re_conn *c)
{
	DsRelay relays[DS_ROSTER_LIMIT];
	DsRelay *list[DS_ROSTER_LIMIT];
	DsRoster m = DS_ROSTER__INIT;
	struct ba_buf packed = {0};
	uint64_t digest;

	m.n_relays =
		list_relays(r, wi_session_peer(c->session)->region, relays);
	m.relays = list;
	for (size_t i = 0; i < m.n_relays; i++)
		list[i] = &relays[i];
	ba_buf_reserve(&packed, ds_roster__get_packed_size(&m));
	packed.len = ds_roster__pack(&m, packed.data);
	digest = ba_hash(packed.data, packed.len, 1);
	if (digest != c->roster_digest)
		wi_send_packed(c->session, DS_ROSTER, packed.data, packed.len);
	c->roster_digest = digest;
	ba_buf_free(&packed);
}

static size_t list_relays(const struct re_relay *r, const char *region,
			  DsRelay *out)
{
	const struct wi_identity *self = r->identity;
	size_t n = 0;

	if (!r->settings->all_data_centres)
		return 0;
	if (!strcmp(self->region, region))
		add_relay(&out[n++], r->settings->address.text,
			  self->data_centre, self->region);
	for (guint i = 0; i < r->peers->len && n < DS_ROSTER_LIMIT; i++) {
		const struct re_peer *p = r->peers->pdata[i];
		const struct wi_session *s = ds_link_session(p->link);

		if (s && !strcmp(wi_session_peer(s)->region, region))
			add_relay(&out[n++], p->address,
				  wi_session_peer(s)->data_centre, region);
	}
	return n;
}

static void add_relay(DsRelay *m, const char *address, const char *data_centre,
		      const char *region)
{
	ds_relay__init(m);
	m->address = (char *)address;
	m->data_centre = (char *)data_centre;
	m->region = (char *)region;
}
