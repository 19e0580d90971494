#include <string.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "relay/re.h"
#include "report/rt.h"

static void on_opened(struct wi_handler *h, struct wi_session *s);
static int on_frame(struct wi_handler *h, struct wi_session *s,
		    const struct wi_frame *f);
static int handle_daemon_frame(struct re_conn *c, const struct wi_frame *f);
static int handle_relay_frame(struct re_conn *c, const struct wi_frame *f);
static void on_closed(struct wi_handler *h, struct wi_session *s, int code,
		      ba_time retry_after);
static void remove_conn(struct re_conn *c);

struct wi_handler *re_session_accept(struct wi_acceptor *a,
				     struct wi_session *s)
{
	struct re_relay *r = ba_entry(a, struct re_relay, acceptor);
	struct re_conn *c;

	if (r->n_conns >= RE_SESSIONS_LIMIT)
		return NULL;
	c = g_new0(struct re_conn, 1);
	c->handler.opened = on_opened;
	c->handler.frame = on_frame;
	c->handler.closed = on_closed;
	c->relay = r;
	c->session = s;
	c->lease = RE_LEASE_MIN;
	ba_list_init(&c->lender.link);
	ba_list_append(&r->conns, &c->link);
	r->n_conns++;
	return &c->handler;
}

void re_session_index(struct re_conn *c)
{
	g_hash_table_replace(c->relay->by_instance,
			     wi_session_peer(c->session)->instance, c);
}

struct re_conn *re_session_find(struct re_relay *r, const char *instance)
{
	return g_hash_table_lookup(r->by_instance, instance);
}

void re_session_free_all(struct re_relay *r)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_each_safe(pos, tmp, &r->conns)
	{
		struct re_conn *c = ba_entry(pos, struct re_conn, link);

		wi_detach(c->session);
		ba_list_remove(&c->link);
		g_free(c);
	}
	r->n_conns = 0;
}

static void on_opened(struct wi_handler *h, struct wi_session *s)
{
	struct re_conn *c = (struct re_conn *)h;
	struct re_relay *r = c->relay;

	c->open = true;
	if (wi_session_peer(s)->role == WI_RELAY)
		c->holder = EP_HELD_BY_PEER + r->n_holders++;
	else
		re_session_index(c);
}

static int on_frame(struct wi_handler *h, struct wi_session *s,
		    const struct wi_frame *f)
{
	struct re_conn *c = (struct re_conn *)h;
	enum wi_role role = wi_session_peer(s)->role;

	if (f->type == DS_SUBSCRIBE || f->type == DS_ACK)
		return ds_feed_handle_frame(c->relay->feed, s, f);
	if (role == WI_DAEMON)
		return handle_daemon_frame(c, f);
	if (role == WI_RELAY)
		return handle_relay_frame(c, f);
	return WI_FRAME_UNKNOWN;
}

static int handle_daemon_frame(struct re_conn *c, const struct wi_frame *f)
{
	if (f->type == EP_ANNOUNCE)
		return re_endpoint_handle_announce(c, f);
	if (f->type == RT_FIGURES)
		return re_figures_handle(c, f);
	if (f->type == QT_ASK)
		return re_quota_handle_ask(c, f);
	if (f->type == RT_TALLIES)
		return re_tallies_handle(c, f);
	if (f->type == EP_DEPART)
		return re_departure_handle(c, f);
	if (f->type != EP_DIGEST)
		return WI_FRAME_UNKNOWN;
	c->wants_endpoints = true;
	return re_endpoint_handle_digest(c->relay, c->session, true, f);
}

static int handle_relay_frame(struct re_conn *c, const struct wi_frame *f)
{
	if (f->type == EP_UPDATE)
		return re_endpoint_handle_update(c->relay, c->holder, f);
	if (f->type == EP_DIGEST)
		return re_endpoint_handle_digest(c->relay, c->session, false,
						 f);
	if (f->type == RT_BATCH)
		return re_figures_handle_batch(c, f);
	if (f->type == QT_ASK)
		return re_quota_handle_ask(c, f);
	if (f->type == RT_TALLIES)
		return re_tallies_handle(c, f);
	if (f->type == EP_DEPART)
		return re_departure_handle(c, f);
	return WI_FRAME_UNKNOWN;
}

static void on_closed(struct wi_handler *h, struct wi_session *s, int code,
		      ba_time retry_after)
{
	struct re_conn *c = (struct re_conn *)h;

	(void)code;
	(void)retry_after;
	if (c->open) {
		ds_feed_remove_session(c->relay->feed, s);
		re_endpoint_release(c);
		re_quota_end(c);
	}
	remove_conn(c);
}

static void remove_conn(struct re_conn *c)
{
	struct re_relay *r = c->relay;
	const char *instance = wi_session_peer(c->session)->instance;

	if (instance && re_session_find(r, instance) == c)
		g_hash_table_remove(r->by_instance, instance);
	ba_list_remove(&c->link);
	r->n_conns--;
	g_free(c);
}
