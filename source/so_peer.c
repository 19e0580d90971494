#include <string.h>

#include "base/ba_result.h"
#include "source/so.h"
#include "wire/rp.pb-c.h"

#define REDIAL_LEAST (100 * BA_MS)
#define REDIAL_SPREAD (200 * BA_MS)

/* Shorter than those of other sessions: a leader is elected within seconds. */
static const struct wi_limits limits = {
	.heartbeat = 500 * BA_MS,
	.silence = 1500 * BA_MS,
	.opening = 1 * BA_SECOND,
	.queue_bytes = 64 * 1024 * 1024,
};

static void dial(struct so_peer *p);
static void on_timer(struct ba_timer *t, ba_time now);
static void on_opened(struct wi_handler *h, struct wi_session *session);
static int on_frame(struct wi_handler *h, struct wi_session *session,
		    const struct wi_frame *f);
static void on_closed(struct wi_handler *h, struct wi_session *session,
		      int code, ba_time retry_after);
static int take_forward(struct so_source *s, const struct wi_frame *f);

void so_peer_start(struct so_source *s)
{
	for (size_t i = 0; i < s->settings->names.n; i++) {
		struct so_peer *p = &s->peers[i];

		p->handler.opened = on_opened;
		p->handler.frame = on_frame;
		p->handler.closed = on_closed;
		p->timer.fire = on_timer;
		p->source = s;
		p->index = (int)i;
		if (p->index != s->self)
			dial(p);
	}
}

void so_peer_stop(struct so_source *s)
{
	for (size_t i = 0; i < s->settings->names.n; i++) {
		struct so_peer *p = &s->peers[i];

		ba_loop_disarm(s->loop, &p->timer);
		if (p->session)
			wi_detach(p->session);
		p->session = NULL;
	}
}

bool so_peer_is_open(const struct so_source *s, int index)
{
	return s->peers[index].open;
}

void so_peer_send(struct so_source *s, int to, int type, const void *data,
		  size_t len)
{
	struct so_peer *p = &s->peers[to];

	if (p->open)
		wi_send_raw(p->session, type, data, len);
}

int so_peer_frame(struct so_conn *c, const struct wi_frame *f)
{
	struct so_source *s = c->source;
	int from = so_peer_find(s, wi_session_peer(c->session)->instance);
	int ret;

	if (f->type == RP_FORWARD)
		return take_forward(s, f);
	if (f->type == RP_READ && from != RP_NOBODY)
		return so_read_answer(s, from, f);
	if (f->type == RP_READ_REPLY && from != RP_NOBODY)
		return so_read_reply(s, from, f);
	if (f->type != RP_MESSAGE || from == RP_NOBODY)
		return WI_FRAME_UNKNOWN;
	ret = rp_node_receive(s->node, from, f->data, f->len,
			      ba_loop_now(s->loop));
	so_source_rearm(s);
	return ret;
}

int so_peer_find(const struct so_source *s, const char *name)
{
	for (size_t i = 0; i < s->settings->names.n; i++)
		if (!strcmp(s->names[i], name))
			return (int)i;
	return RP_NOBODY;
}

static void dial(struct so_peer *p)
{
	struct so_source *s = p->source;

	p->open = false;
	p->session = wi_dial(s->loop, &s->settings->addresses.list[p->index],
			     s->identity, &limits, &p->handler);
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	(void)now;
	dial(ba_entry(t, struct so_peer, timer));
}

static void on_opened(struct wi_handler *h, struct wi_session *session)
{
	(void)session;
	((struct so_peer *)h)->open = true;
}

/* Replicas answer over the sessions that they have dialled themselves. */
static int on_frame(struct wi_handler *h, struct wi_session *session,
		    const struct wi_frame *f)
{
	(void)h;
	(void)session;
	(void)f;
	return WI_FRAME_UNKNOWN;
}

static void on_closed(struct wi_handler *h, struct wi_session *session,
		      int code, ba_time retry_after)
{
	struct so_peer *p = (struct so_peer *)h;
	struct so_source *s = p->source;
	ba_time wait =
		REDIAL_LEAST + (ba_time)ba_rand_below(&s->rand, REDIAL_SPREAD);

	(void)session;
	(void)code;
	p->session = NULL;
	p->open = false;
	ba_loop_arm(s->loop, &p->timer,
		    ba_loop_now(s->loop) + MAX(wait, retry_after));
}

/* A leader that was replaced meanwhile drops it; figures are sent again. */
static int take_forward(struct so_source *s, const struct wi_frame *f)
{
	RpForward *m = (RpForward *)wi_frame_unpack(f, &rp_forward__descriptor);

	if (!m)
		return WI_FRAME_GARBAGE;
	if (m->kind == RP_ENTRY_KIND__RP_ENTRY_FIGURES)
		rp_node_propose(s->node, (int)m->kind, m->body.data,
				m->body.len, ba_loop_now(s->loop));
	rp_forward__free_unpacked(m, NULL);
	so_source_rearm(s);
	return BA_OK;
}
