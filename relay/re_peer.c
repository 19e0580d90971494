#include <string.h>

#include "base/ba_result.h"
#include "relay/re.h"

/* Relays that are found together go into one roster. */
#define ROSTER_DELAY (20 * BA_MS)
/* A relay whose session is opened again within this time stays in it. */
#define ROSTER_LOST_DELAY (2 * BA_SECOND)

static void on_opened(struct ds_link_owner *o, struct wi_session *s);
static int on_frame(struct ds_link_owner *o, struct wi_session *s,
		    const struct wi_frame *f);
static void on_lost(struct ds_link_owner *o, int code);
static void peer_free(gpointer data);
static bool is_dialled(const struct re_relay *r, const struct ba_address *a);
static bool is_self(const struct re_relay *r, const struct ba_address *a);

void re_peer_start(struct re_relay *r)
{
	const struct ba_addresses *peers = &r->settings->peers;

	r->peers = g_ptr_array_new_with_free_func(peer_free);
	for (size_t i = 0; i < peers->n; i++)
		re_peer_add(r, &peers->list[i]);
}

void re_peer_add(struct re_relay *r, const struct ba_address *address)
{
	struct ds_link_options options = {
		.identity = r->identity,
		.addresses = address,
		.n_addresses = 1,
		.seed = r->identity->incarnation + r->peers->len,
	};
	struct re_peer *p;

	if (is_self(r, address) || is_dialled(r, address))
		return;
	p = g_new0(struct re_peer, 1);
	p->owner.opened = on_opened;
	p->owner.frame = on_frame;
	p->owner.lost = on_lost;
	p->relay = r;
	p->address = g_strdup(address->text);
	p->link = ds_link_new(r->loop, &options, &p->owner);
	g_ptr_array_add(r->peers, p);
}

void re_peer_send_changes(struct re_relay *r)
{
	for (guint i = 0; i < r->peers->len; i++) {
		struct re_peer *p = r->peers->pdata[i];
		struct wi_session *s = ds_link_session(p->link);

		if (!s)
			continue;
		re_endpoint_send_changes(r, s, p->sent_generation);
		p->sent_generation = ep_table_generation(r->table);
	}
}

void re_peer_send_roots(struct re_relay *r)
{
	for (guint i = 0; i < r->peers->len; i++) {
		struct re_peer *p = r->peers->pdata[i];
		struct wi_session *s = ds_link_session(p->link);

		if (s)
			re_endpoint_send_roots(r, s);
	}
}

void re_peer_free_all(struct re_relay *r)
{
	g_ptr_array_free(r->peers, TRUE);
}

static void peer_free(gpointer data)
{
	struct re_peer *p = data;

	ds_link_free(p->link);
	g_free(p->address);
	g_free(p);
}

static bool is_dialled(const struct re_relay *r, const struct ba_address *a)
{
	for (guint i = 0; i < r->peers->len; i++)
		if (!strcmp(((struct re_peer *)r->peers->pdata[i])->address,
			    a->text))
			return true;
	return false;
}

/*
 * Records held here are sent only over sessions dialled from here.  As each of
 * two relays dials the other, a change is sent once in each direction.
 */
static void on_opened(struct ds_link_owner *o, struct wi_session *s)
{
	struct re_peer *p = (struct re_peer *)o;

	p->quota_asked.number = 0;
	if (re_relay_serves(p->relay, wi_session_peer(s)->data_centre))
		re_endpoint_send_held(p->relay, s);
	re_endpoint_send_roots(p->relay, s);
	p->sent_generation = ep_table_generation(p->relay->table);
	re_roster_schedule(p->relay,
			   ba_loop_now(p->relay->loop) + ROSTER_DELAY);
}

static int on_frame(struct ds_link_owner *o, struct wi_session *s,
		    const struct wi_frame *f)
{
	struct re_peer *p = (struct re_peer *)o;

	if (f->type == EP_UPDATE)
		return re_endpoint_handle_update(p->relay, EP_HELD_BY_NONE, f);
	if (f->type == EP_DIGEST)
		return re_endpoint_handle_digest(p->relay, s, false, f);
	if (f->type == QT_GRANT)
		return re_quota_handle_grant(p, f);
	return WI_FRAME_UNKNOWN;
}

static void on_lost(struct ds_link_owner *o, int code)
{
	struct re_peer *p = (struct re_peer *)o;

	(void)code;
	re_roster_schedule(p->relay,
			   ba_loop_now(p->relay->loop) + ROSTER_LOST_DELAY);
}

static bool is_self(const struct re_relay *r, const struct ba_address *a)
{
	return !strcmp(a->text, r->settings->address.text) ||
	       !strcmp(a->text, r->settings->external_address.text);
}
