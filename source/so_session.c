#include <string.h>

#include "base/ba_result.h"
#include "source/so.h"
#include "report/rt.h"

static void on_opened(struct wi_handler *h, struct wi_session *session);
static int on_frame(struct wi_handler *h, struct wi_session *session,
		    const struct wi_frame *f);
static void on_closed(struct wi_handler *h, struct wi_session *session,
		      int code, ba_time retry_after);

struct wi_handler *so_session_accept(struct wi_acceptor *a,
				     struct wi_session *session)
{
	struct so_source *s = ba_entry(a, struct so_source, acceptor);
	struct so_conn *c;

	if (s->n_conns >= SO_SESSIONS_LIMIT)
		return NULL;
	c = g_new0(struct so_conn, 1);
	c->handler.opened = on_opened;
	c->handler.frame = on_frame;
	c->handler.closed = on_closed;
	c->source = s;
	c->session = session;
	ba_list_append(&s->conns, &c->link);
	s->n_conns++;
	return &c->handler;
}

struct so_conn *so_session_find(struct so_source *s, const char *instance)
{
	struct ba_list *pos;

	ba_list_each(pos, &s->conns)
	{
		struct so_conn *c = ba_entry(pos, struct so_conn, link);

		if (c->open &&
		    !strcmp(wi_session_peer(c->session)->instance, instance))
			return c;
	}
	return NULL;
}

void so_session_free_all(struct so_source *s)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_each_safe(pos, tmp, &s->conns)
	{
		struct so_conn *c = ba_entry(pos, struct so_conn, link);

		wi_detach(c->session);
		ba_list_remove(&c->link);
		g_free(c);
	}
	s->n_conns = 0;
}

bool so_session_is_unfinished(const struct so_source *s, uint64_t *progress)
{
	struct ba_list *pos;

	*progress = 0;
	ba_list_each(pos, &s->conns)
	{
		const struct so_conn *c = ba_entry(pos, struct so_conn, link);

		if (!c->open ||
		    wi_session_peer(c->session)->role != WI_OPERATOR)
			continue;
		*progress += (c->waiter.token != 0) +
			     wi_session_unacknowledged(c->session);
	}
	return *progress;
}

/* Moves the session to the front: so_session_find() returns the newest one. */
static void on_opened(struct wi_handler *h, struct wi_session *session)
{
	struct so_conn *c = (struct so_conn *)h;
	const struct wi_peer *peer = wi_session_peer(session);

	c->open = true;
	ba_list_remove(&c->link);
	ba_list_prepend(&c->source->conns, &c->link);
	if (peer->role == WI_DAEMON)
		wi_refuse(session, RP_NOT_A_MEMBER, BA_SECOND);
	else if (peer->role == WI_SOURCE &&
		 so_peer_discover(c->source, peer->instance) == RP_NO_PEER)
		wi_refuse(session, RP_NOT_A_MEMBER, BA_SECOND);
}

static int on_frame(struct wi_handler *h, struct wi_session *session,
		    const struct wi_frame *f)
{
	static int (*const handlers[])(struct so_conn * c,
				       const struct wi_frame *f) = {
		[WI_RELAY] = so_feed_handle_frame,
		[WI_SOURCE] = so_peer_handle_frame,
		[WI_OPERATOR] = so_operator_handle_frame,
	};
	enum wi_role role = wi_session_peer(session)->role;

	if (role >= G_N_ELEMENTS(handlers) || !handlers[role])
		return WI_FRAME_UNKNOWN;
	return handlers[role]((struct so_conn *)h, f);
}

static void on_closed(struct wi_handler *h, struct wi_session *session,
		      int code, ba_time retry_after)
{
	struct so_conn *c = (struct so_conn *)h;

	(void)code;
	(void)retry_after;
	if (c->open) {
		ds_feed_remove_session(c->source->feed, session);
		so_operator_closed(c);
	}
	ba_list_remove(&c->link);
	c->source->n_conns--;
	g_free(c);
}
