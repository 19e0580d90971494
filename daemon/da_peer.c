#include <string.h>

#include <glib.h>

#include "base/ba_event.h"
#include "base/ba_list.h"
#include "base/ba_result.h"
#include "daemon/da_peer.h"
#include "wire/cl.pb-c.h"

enum { CREDIT_STEP_BYTES = DA_PEER_CREDIT_BYTES / 4 };

#define LOOK (100 * BA_MS)
#define SIGN_AFTER (200 * BA_MS)
#define SILENT_AFTER (800 * BA_MS)
#define IDLE_LIMIT (30 * BA_SECOND)

const struct wi_limits da_peer_limits = {
	.heartbeat = 10 * BA_SECOND,
	.silence = 25 * BA_SECOND,
	.opening = 800 * BA_MS,
	.queue_bytes = 64 * 1024 * 1024,
};

struct da_peers {
	struct ba_loop *loop;
	const struct wi_identity *id;
	GHashTable *by_address;
	uint64_t next_id;
};

/* @by_id holds the attempts that were sent, @waiting those that were not. */
struct peer {
	struct wi_handler handler;
	struct da_peers *all;
	char *address;
	struct wi_session *session;
	bool open;
	GHashTable *by_id;
	struct ba_list waiting;
	struct ba_timer timer;
	uint64_t received;
	ba_time heard_at;
	ba_time used_at;
};

struct attempt {
	struct da_fetch fetch;
	struct ba_list link;
	struct peer *peer;
	uint64_t id;
	const struct da_request *request;
	struct ba_timer deadline;
	struct ba_buf held;
	size_t credit_due;
	bool sent;
	bool paused;
	bool whole;
	int result;
};

static const struct da_fetch_ops attempt_ops;

static void peer_free(gpointer p);
static struct peer *peer_get(struct da_peers *all, const char *address);
static void dial(struct peer *p);
static void on_opened(struct wi_handler *h, struct wi_session *s);
static int on_frame(struct wi_handler *h, struct wi_session *s,
		    const struct wi_frame *f);
static void on_closed(struct wi_handler *h, struct wi_session *s, int code,
		      ba_time retry_after);
static GList *take_waiting(struct peer *p);
static void on_look(struct ba_timer *t, ba_time now);
static void send_request(struct attempt *a);
static ClHeader **headers_message(const struct da_headers *h);
static int take_head(struct peer *p, const struct wi_frame *f);
static int take_data(struct peer *p, const struct wi_frame *f);
static void offer(struct attempt *a, const void *data, size_t len);
static void settle(struct attempt *a);
static void send_credit(struct attempt *a);
static void send_cancel(struct attempt *a);
static void end(struct attempt *a, enum cl_attempt_result seen, int result);
static void forget(struct attempt *a);
static void on_deadline(struct ba_timer *t, ba_time now);
static void drained(struct da_fetch *f, size_t bytes);
static void cancel(struct da_fetch *f);

static const struct da_fetch_ops attempt_ops = {
	.drained = drained,
	.cancel = cancel,
};

struct da_peers *da_peers_new(struct ba_loop *loop,
			      const struct wi_identity *id)
{
	struct da_peers *p = g_new0(struct da_peers, 1);

	p->loop = loop;
	p->id = id;
	p->by_address =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	return p;
}

void da_peers_close(struct da_peers *all)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, all->by_address);
	while (g_hash_table_iter_next(&it, NULL, &p))
		if (((struct peer *)p)->session)
			wi_close(((struct peer *)p)->session, WI_PEER_CLOSED);
}

void da_peers_free(struct da_peers *p)
{
	if (!p)
		return;
	g_hash_table_destroy(p->by_address);
	g_free(p);
}

struct da_fetch *da_peers_fetch(struct da_peers *all, const char *address,
				const struct da_request *q,
				struct da_fetch_owner *o)
{
	struct peer *p = peer_get(all, address);
	struct attempt *a = g_new0(struct attempt, 1);

	a->fetch.ops = &attempt_ops;
	a->fetch.owner = o;
	a->peer = p;
	a->id = ++all->next_id;
	a->request = q;
	a->deadline.fire = on_deadline;
	ba_list_init(&a->link);
	ba_loop_arm(all->loop, &a->deadline, q->deadline);
	if (!p->session)
		dial(p);
	if (p->open)
		send_request(a);
	else
		ba_list_append(&p->waiting, &a->link);
	return &a->fetch;
}

static void peer_free(gpointer data)
{
	struct peer *p = data;

	ba_loop_disarm(p->all->loop, &p->timer);
	g_hash_table_destroy(p->by_id);
	g_free(p->address);
	g_free(p);
}

static struct peer *peer_get(struct da_peers *all, const char *address)
{
	struct peer *p = g_hash_table_lookup(all->by_address, address);

	if (p)
		return p;
	p = g_new0(struct peer, 1);
	p->handler.opened = on_opened;
	p->handler.frame = on_frame;
	p->handler.closed = on_closed;
	p->all = all;
	p->address = g_strdup(address);
	p->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	p->timer.fire = on_look;
	ba_list_init(&p->waiting);
	g_hash_table_insert(all->by_address, p->address, p);
	return p;
}

static void dial(struct peer *p)
{
	struct ba_address to;

	memset(&to, 0, sizeof(to));
	ba_parse_address(p->address, &to);
	p->session = wi_dial(p->all->loop, &to, p->all->id, &da_peer_limits,
			     &p->handler);
}

static void on_opened(struct wi_handler *h, struct wi_session *s)
{
	struct peer *p = (struct peer *)h;
	struct ba_list *pos;
	struct ba_list *tmp;

	(void)s;
	p->open = true;
	p->heard_at = ba_loop_now(p->all->loop);
	ba_list_each_safe(pos, tmp, &p->waiting)
	{
		ba_list_remove(pos);
		send_request(ba_entry(pos, struct attempt, link));
	}
}

static int on_frame(struct wi_handler *h, struct wi_session *s,
		    const struct wi_frame *f)
{
	struct peer *p = (struct peer *)h;

	(void)s;
	if (f->type == CL_HEAD)
		return take_head(p, f);
	if (f->type == CL_DATA)
		return take_data(p, f);
	return WI_FRAME_UNKNOWN;
}

/* Attempts that were not sent cannot have run. */
static void on_closed(struct wi_handler *h, struct wi_session *s, int code,
		      ba_time retry_after)
{
	struct peer *p = (struct peer *)h;
	enum cl_attempt_result seen =
		code == WI_PEER_SILENT ? CL_ATTEMPT_SILENT : CL_ATTEMPT_BROKEN;
	GList *sent = g_hash_table_get_values(p->by_id);
	GList *unsent = take_waiting(p);

	(void)s;
	(void)retry_after;
	p->session = NULL;
	p->open = false;
	ba_loop_disarm(p->all->loop, &p->timer);
	g_hash_table_remove_all(p->by_id);
	for (GList *l = sent; l; l = l->next)
		end(l->data, seen, BA_OK);
	for (GList *l = unsent; l; l = l->next)
		end(l->data, CL_ATTEMPT_UNREACHABLE, BA_OK);
	g_list_free(sent);
	g_list_free(unsent);
}

static GList *take_waiting(struct peer *p)
{
	GList *list = NULL;
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_each_safe(pos, tmp, &p->waiting)
	{
		ba_list_remove(pos);
		list = g_list_append(list, ba_entry(pos, struct attempt, link));
	}
	return list;
}

/* Armed while the session is open and has been used. */
static void on_look(struct ba_timer *t, ba_time now)
{
	struct peer *p = ba_entry(t, struct peer, timer);
	uint64_t received = wi_session_received(p->session);

	if (received != p->received || !g_hash_table_size(p->by_id)) {
		p->received = received;
		p->heard_at = now;
	}
	if (g_hash_table_size(p->by_id))
		p->used_at = now;
	if (now - p->used_at > IDLE_LIMIT) {
		wi_close(p->session, BA_OK);
		return;
	}
	if (now - p->heard_at >= SILENT_AFTER) {
		ba_event(WI_EV_PEER_SILENT, "peer=%s calls=%u", p->address,
			 g_hash_table_size(p->by_id));
		wi_close(p->session, WI_PEER_SILENT);
		return;
	}
	if (now - p->heard_at >= SIGN_AFTER)
		wi_send(p->session, WI_PING, NULL);
	ba_loop_arm(p->all->loop, t,
		    g_hash_table_size(p->by_id) ? now + LOOK
						: now + IDLE_LIMIT);
}

static void send_request(struct attempt *a)
{
	const struct da_request *q = a->request;
	struct peer *p = a->peer;
	ba_time now = ba_clock_now();
	ba_time left = q->deadline - now;
	ClRequest m = CL_REQUEST__INIT;

	m.id = a->id;
	m.call = (char *)q->call;
	m.method = (char *)q->method;
	m.target = (char *)q->target;
	m.service = (char *)q->service;
	m.key = (char *)(q->key ? q->key : "");
	m.idempotent = q->idempotent;
	m.retry = q->retry;
	m.body.data = (uint8_t *)q->body;
	m.body.len = q->body_len;
	m.time_left_us = left > 0 ? (uint64_t)left : 1;
	m.credit = DA_PEER_CREDIT_BYTES;
	m.n_headers = q->headers->n;
	m.headers = headers_message(q->headers);
	a->sent = true;
	g_hash_table_insert(p->by_id, &a->id, a);
	wi_send(p->session, CL_REQUEST, &m.base);
	g_free(m.headers);
	p->used_at = now;
	if (p->timer.slot && p->timer.deadline <= now + LOOK)
		return;
	p->heard_at = now;
	ba_loop_arm(p->all->loop, &p->timer, now + LOOK);
}

/* One allocation: the pointers, then the messages. */
static ClHeader **headers_message(const struct da_headers *h)
{
	ClHeader **list = g_malloc(h->n * (sizeof(*list) + sizeof(**list)) + 1);
	ClHeader *m = (ClHeader *)(list + h->n);

	for (size_t i = 0; i < h->n; i++) {
		cl_header__init(&m[i]);
		m[i].name = h->list[i].name;
		m[i].value = h->list[i].value;
		list[i] = &m[i];
	}
	return list;
}

static int take_head(struct peer *p, const struct wi_frame *f)
{
	ClHead *m = cl_head__unpack(NULL, f->len, f->data);
	struct da_fetch_owner *o;
	struct attempt *a;

	if (!m)
		return WI_FRAME_GARBAGE;
	a = g_hash_table_lookup(p->by_id, &m->id);
	if (a) {
		o = a->fetch.owner;
		o->load(o, m->load);
		a->result = (int)m->result;
		a->whole = m->whole;
		for (size_t i = 0; !m->result && i < m->n_headers; i++)
			o->header(o, m->headers[i]->name, m->headers[i]->value);
		if (!m->result)
			o->head(o, (int)m->status, m->length);
		offer(a, m->data.data, m->data.len);
		settle(a);
	}
	cl_head__free_unpacked(m, NULL);
	return BA_OK;
}

static int take_data(struct peer *p, const struct wi_frame *f)
{
	ClData *m = cl_data__unpack(NULL, f->len, f->data);
	struct attempt *a;

	if (!m)
		return WI_FRAME_GARBAGE;
	a = g_hash_table_lookup(p->by_id, &m->id);
	if (a) {
		a->result = (int)m->result;
		a->whole = m->whole;
		offer(a, m->data.data, m->data.len);
		settle(a);
	}
	cl_data__free_unpacked(m, NULL);
	return BA_OK;
}

/* The credit bounds what can be held here while the owner has no room. */
static void offer(struct attempt *a, const void *data, size_t len)
{
	if (!len)
		return;
	if (a->paused || !a->fetch.owner->data(a->fetch.owner, data, len)) {
		a->paused = true;
		ba_buf_add(&a->held, data, len);
	}
}

static void settle(struct attempt *a)
{
	if (a->result)
		end(a, CL_ATTEMPT_ANSWERED, a->result);
	else if (a->whole && !a->held.len)
		end(a, CL_ATTEMPT_ANSWERED, BA_OK);
}

static void drained(struct da_fetch *f, size_t bytes)
{
	struct attempt *a = (struct attempt *)f;

	a->credit_due += bytes;
	if (a->credit_due >= CREDIT_STEP_BYTES && !a->whole)
		send_credit(a);
	if (!a->held.len)
		return;
	if (!a->fetch.owner->data(a->fetch.owner, a->held.data, a->held.len))
		return;
	a->paused = false;
	a->held.len = 0;
	settle(a);
}

static void send_credit(struct attempt *a)
{
	ClCredit m = CL_CREDIT__INIT;

	m.id = a->id;
	m.bytes = (uint32_t)a->credit_due;
	a->credit_due = 0;
	if (a->peer->open)
		wi_send(a->peer->session, CL_CREDIT, &m.base);
}

static void send_cancel(struct attempt *a)
{
	ClCancel m = CL_CANCEL__INIT;

	m.id = a->id;
	if (a->sent && a->peer->open)
		wi_send(a->peer->session, CL_CANCEL, &m.base);
}

static void end(struct attempt *a, enum cl_attempt_result seen, int result)
{
	struct da_fetch_owner *o = a->fetch.owner;
	struct da_end e = {seen, result, a->sent};

	forget(a);
	o->ended(o, &e);
}

static void forget(struct attempt *a)
{
	g_hash_table_remove(a->peer->by_id, &a->id);
	ba_loop_disarm(a->peer->all->loop, &a->deadline);
	ba_list_remove(&a->link);
	ba_buf_free(&a->held);
	g_free(a);
}

static void on_deadline(struct ba_timer *t, ba_time now)
{
	struct attempt *a = ba_entry(t, struct attempt, deadline);

	(void)now;
	send_cancel(a);
	end(a, a->sent ? CL_ATTEMPT_TIMEOUT : CL_ATTEMPT_UNREACHABLE, BA_OK);
}

static void cancel(struct da_fetch *f)
{
	struct attempt *a = (struct attempt *)f;

	send_cancel(a);
	forget(a);
}
