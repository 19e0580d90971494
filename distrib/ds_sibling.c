#include <string.h>

#include <glib.h>

#include "base/ba_event.h"
#include "base/ba_list.h"
#include "base/ba_result.h"
#include "distrib/ds_feed.h"
#include "distrib/ds_sibling.h"

enum {
	SERVED_LIMIT = 8,      /* sessions of siblings served at once */
	CANDIDATES_LIMIT = 64, /* siblings among which one is chosen */
};

/** struct served_session - a session opened by a sibling */
struct served_session {
	struct wi_handler handler;
	struct ba_list link;
	struct ds_sibling *owner;
	struct wi_session *session;
};

/**
 * struct ds_sibling - both directions of catching up
 * @feed: publishes to siblings; NULL without a control address
 * @served: sessions opened by siblings
 * @client: session opened to a sibling, or NULL
 */
struct ds_sibling {
	struct wi_acceptor acceptor;
	struct wi_handler client_handler;
	struct ba_loop *loop;
	const struct wi_identity *identity;
	struct ds_sibling_owner *owner;
	struct wi_listener *listener;
	struct ds_feed *feed;
	struct ba_list served;
	unsigned int n_served;
	struct wi_session *client;
};

/** struct candidates - siblings that a session may be opened to */
struct candidates {
	const struct wi_identity *identity;
	const struct ep_record *list[CANDIDATES_LIMIT];
	size_t n;
};

static struct wi_handler *on_accept(struct wi_acceptor *a,
				    struct wi_session *s);
static int on_served_frame(struct wi_handler *h, struct wi_session *s,
			   const struct wi_frame *f);
static void on_served_closed(struct wi_handler *h, struct wi_session *s,
			     int code, ba_time retry_after);
static void on_client_opened(struct wi_handler *h, struct wi_session *s);
static int on_client_frame(struct wi_handler *h, struct wi_session *s,
			   const struct wi_frame *f);
static void on_client_closed(struct wi_handler *h, struct wi_session *s,
			     int code, ba_time retry_after);
static void add_candidate(const struct ep_record *r, void *arg);

struct ds_sibling *ds_sibling_new(struct ba_loop *loop,
				  const struct wi_identity *identity,
				  const struct ba_address *control_address,
				  struct ds_sibling_owner *owner)
{
	struct ds_sibling *s = g_new0(struct ds_sibling, 1);

	s->acceptor.accept = on_accept;
	s->client_handler.opened = on_client_opened;
	s->client_handler.frame = on_client_frame;
	s->client_handler.closed = on_client_closed;
	s->loop = loop;
	s->identity = identity;
	s->owner = owner;
	ba_list_init(&s->served);
	if (!control_address)
		return s;
	if (wi_listen(loop, control_address, identity, &ds_listen_limits,
		      &s->acceptor, &s->listener)) {
		g_free(s);
		return NULL;
	}
	s->feed = ds_feed_new(loop, NULL);
	return s;
}

void ds_sibling_publish(struct ds_sibling *s, struct cf_snapshot *snapshot)
{
	if (s->feed)
		ds_feed_publish(s->feed, snapshot);
}

void ds_sibling_connect(struct ds_sibling *s, const struct ep_table *table,
			struct ba_rand *rand)
{
	struct candidates c = {.identity = s->identity};
	const struct ep_record *r;
	struct ba_address to;

	if (s->client)
		return;
	ep_table_visit_since(table, 0, add_candidate, &c);
	if (!c.n)
		return;
	r = c.list[ba_rand_below(rand, c.n)];
	if (ba_parse_address(r->control_address, &to))
		return;
	s->client = wi_dial(s->loop, &to, s->identity, &ds_dial_limits,
			    &s->client_handler);
}

void ds_sibling_free(struct ds_sibling *s)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	if (!s)
		return;
	wi_listener_close(s->listener);
	if (s->client)
		wi_detach(s->client);
	ba_list_each_safe(pos, tmp, &s->served)
	{
		struct served_session *v =
			ba_entry(pos, struct served_session, link);

		wi_detach(v->session);
		g_free(v);
	}
	ds_feed_free(s->feed);
	g_free(s);
}

static struct wi_handler *on_accept(struct wi_acceptor *a,
				    struct wi_session *session)
{
	struct ds_sibling *s = (struct ds_sibling *)a;
	struct served_session *v;

	if (s->n_served >= SERVED_LIMIT)
		return NULL;
	v = g_new0(struct served_session, 1);
	v->handler.frame = on_served_frame;
	v->handler.closed = on_served_closed;
	v->owner = s;
	v->session = session;
	ba_list_append(&s->served, &v->link);
	s->n_served++;
	return &v->handler;
}

static int on_served_frame(struct wi_handler *h, struct wi_session *s,
			   const struct wi_frame *f)
{
	struct served_session *v = (struct served_session *)h;

	return ds_feed_handle_frame(v->owner->feed, s, f);
}

static void on_served_closed(struct wi_handler *h, struct wi_session *s,
			     int code, ba_time retry_after)
{
	struct served_session *v = (struct served_session *)h;

	(void)code;
	(void)retry_after;
	ds_feed_remove_session(v->owner->feed, s);
	ba_list_remove(&v->link);
	v->owner->n_served--;
	g_free(v);
}

static void on_client_opened(struct wi_handler *h, struct wi_session *session)
{
	struct ds_sibling *s = ba_entry(h, struct ds_sibling, client_handler);

	s->owner->frame(s->owner, session, NULL);
}

/*
 * The session is closed after one update; the next session may be to another
 * sibling.
 */
static int on_client_frame(struct wi_handler *h, struct wi_session *session,
			   const struct wi_frame *f)
{
	struct ds_sibling *s = ba_entry(h, struct ds_sibling, client_handler);
	int ret;

	if (f->type != DS_UPDATE)
		return WI_FRAME_UNKNOWN;
	ret = s->owner->frame(s->owner, session, f);
	if (!ret)
		wi_close(session, WI_PEER_CLOSED);
	return ret;
}

static void on_client_closed(struct wi_handler *h, struct wi_session *session,
			     int code, ba_time retry_after)
{
	struct ds_sibling *s = ba_entry(h, struct ds_sibling, client_handler);

	(void)session;
	(void)code;
	(void)retry_after;
	s->client = NULL;
}

static void add_candidate(const struct ep_record *r, void *arg)
{
	struct candidates *c = arg;

	if (c->n == CANDIDATES_LIMIT || r->left || !r->control_address ||
	    !*r->control_address ||
	    strcmp(r->data_centre, c->identity->data_centre) != 0 ||
	    !strcmp(r->instance, c->identity->instance))
		return;
	c->list[c->n++] = r;
}
