#include <string.h>

#include "base/ba_result.h"
#include "relay/re.h"

static void on_opened(struct ds_link_owner *o, struct wi_session *s);
static int on_frame(struct ds_link_owner *o, struct wi_session *s,
		    const struct wi_frame *f);
static void on_lost(struct ds_link_owner *o, int code);
static bool is_self(const struct re_relay *r, const struct ba_address *a);

void re_peer_start(struct re_relay *r)
{
	const struct ba_addresses *peers = &r->settings->peers;

	r->peers = g_new0(struct re_peer, peers->n);
	for (size_t i = 0; i < peers->n; i++) {
		struct re_peer *p = &r->peers[r->n_peers];
		struct ds_link_options options = {
			.identity = r->identity,
			.addresses = &peers->list[i],
			.n_addresses = 1,
			.seed = r->identity->incarnation + i,
		};

		if (is_self(r, &peers->list[i]))
			continue;
		p->owner.opened = on_opened;
		p->owner.frame = on_frame;
		p->owner.lost = on_lost;
		p->relay = r;
		p->link = ds_link_new(r->loop, &options, &p->owner);
		r->n_peers++;
	}
}

void re_peer_send_changes(struct re_relay *r)
{
	for (size_t i = 0; i < r->n_peers; i++) {
		struct re_peer *p = &r->peers[i];
		struct wi_session *s = ds_link_session(p->link);

		if (!s)
			continue;
		re_endpoint_send_changes(r, s, p->sent_generation);
		p->sent_generation = ep_table_generation(r->table);
	}
}

void re_peer_send_roots(struct re_relay *r)
{
	for (size_t i = 0; i < r->n_peers; i++) {
		struct wi_session *s = ds_link_session(r->peers[i].link);

		if (s)
			re_endpoint_send_roots(r, s);
	}
}

void re_peer_free_all(struct re_relay *r)
{
	for (size_t i = 0; i < r->n_peers; i++)
		ds_link_free(r->peers[i].link);
	g_free(r->peers);
	r->n_peers = 0;
}

/*
 * Records held here go over the sessions that were dialled here, so that
 * each pair of relays tells every change once in each direction.
 */
static void on_opened(struct ds_link_owner *o, struct wi_session *s)
{
	struct re_peer *p = (struct re_peer *)o;

	if (re_relay_serves(p->relay, wi_session_peer(s)->data_centre))
		re_endpoint_send_held(p->relay, s);
	re_endpoint_send_roots(p->relay, s);
	p->sent_generation = ep_table_generation(p->relay->table);
}

static int on_frame(struct ds_link_owner *o, struct wi_session *s,
		    const struct wi_frame *f)
{
	struct re_peer *p = (struct re_peer *)o;

	if (f->type == EP_UPDATE)
		return re_endpoint_update(p->relay, EP_HELD_BY_NONE, f);
	if (f->type == EP_DIGEST)
		return re_endpoint_digest(p->relay, s, false, f);
	return WI_FRAME_UNKNOWN;
}

static void on_lost(struct ds_link_owner *o, int code)
{
	(void)o;
	(void)code;
}

static bool is_self(const struct re_relay *r, const struct ba_address *a)
{
	return !strcmp(a->text, r->settings->address.text) ||
	       !strcmp(a->text, r->settings->external_address.text);
}
