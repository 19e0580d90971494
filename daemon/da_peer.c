#include <string.h>

#include <glib.h>

#include "base/ba_event.h"
#include "base/ba_list.h"
#include "base/ba_result.h"
#include "daemon/da_peer.h"
#include "wire/cl.pb-c.h"

/* Credit for consumed bytes is sent when it amounts to this. */
enum { CREDIT_STEP_BYTES = DA_PEER_CREDIT_BYTES / 4 };

#define CHECK_PERIOD (100 * BA_MS)
#define PING_AFTER (200 * BA_MS)
#define SILENCE_LIMIT (800 * BA_MS)
#define IDLE_LIMIT (30 * BA_SECOND)

const struct wi_limits da_peer_limits = {
	.heartbeat_interval = 10 * BA_SECOND,
	.silence_timeout = 25 * BA_SECOND,
	.handshake_timeout = 800 * BA_MS,
	.max_queue_bytes = 64 * 1024 * 1024,
};

struct da_peers {
	struct ba_loop *loop;
	const struct wi_identity *id;
	GHashTable *by_address;
	uint64_t next_id;
};

/*
 * @by_id holds attempts that were sent, @waiting those that were not yet.
 * @silent_since is the time from which the silence of the peer is measured.
 */
struct peer {
	struct wi_handler handler;
	struct da_peers *peers;
	char *address;
	struct wi_session *session;
	bool open;
	GHashTable *by_id;
	struct ba_list waiting;
	struct ba_timer timer;
	uint64_t bytes_received;
	ba_time silent_since;
	ba_time last_used_at;
};

struct attempt {
	struct da_fetch fetch;
	struct ba_list link;
	struct peer *peer;
	uint64_t id;
	const struct da_request *request;
	struct ba_timer deadline_timer;
	struct ba_buf undelivered;
	size_t unsent_credit;
	bool sent;
	bool paused;
	bool complete;
	int code;
};

static const struct da_fetch_ops attempt_ops;

static void peer_free(gpointer p);
static struct peer *peer_get(struct da_peers *peers, const char *address);
static void open_session(struct peer *p);
static void on_opened(struct wi_handler *h, struct wi_session *s);
static int on_frame(struct wi_handler *h, struct wi_session *s,
		    const struct wi_frame *f);
static void on_closed(struct wi_handler *h, struct wi_session *s, int code,
		      ba_time retry_after);
static GList *remove_waiting(struct peer *p);
static void on_check(struct ba_timer *t, ba_time now);
static void send_request(struct attempt *a);
static ClHeader **make_header_messages(const struct da_headers *h);
static int handle_head(struct peer *p, const struct wi_frame *f);
static int handle_data(struct peer *p, const struct wi_frame *f);
static void deliver(struct attempt *a, const void *data, size_t len);
static void end_if_complete(struct attempt *a);
static void send_credit(struct attempt *a);
static void send_cancel(struct attempt *a);
static void end_attempt(struct attempt *a, enum cl_attempt_result result,
			int code);
static void attempt_free(struct attempt *a);
static void on_deadline(struct ba_timer *t, ba_time now);
static void consumed(struct da_fetch *f, size_t bytes);
static void cancel(struct da_fetch *f);

static const struct da_fetch_ops attempt_ops = {
	.consumed = consumed,
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

void da_peers_close(struct da_peers *peers)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, peers->by_address);
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

struct da_fetch *da_peers_fetch(struct da_peers *peers, const char *address,
				const struct da_request *q,
				struct da_fetch_owner *o)
{
	struct peer *p = peer_get(peers, address);
	struct attempt *a = g_new0(struct attempt, 1);

	a->fetch.ops = &attempt_ops;
	a->fetch.owner = o;
	a->peer = p;
	a->id = ++peers->next_id;
	a->request = q;
	a->deadline_timer.fire = on_deadline;
	ba_list_init(&a->link);
	ba_loop_arm(peers->loop, &a->deadline_timer, q->deadline);
	if (!p->session)
		open_session(p);
	if (p->open)
		send_request(a);
	else
		ba_list_append(&p->waiting, &a->link);
	return &a->fetch;
}

static void peer_free(gpointer data)
{
	struct peer *p = data;

	ba_loop_disarm(p->peers->loop, &p->timer);
	g_hash_table_destroy(p->by_id);
	g_free(p->address);
	g_free(p);
}

static struct peer *peer_get(struct da_peers *peers, const char *address)
{
	struct peer *p = g_hash_table_lookup(peers->by_address, address);

	if (p)
		return p;
	p = g_new0(struct peer, 1);
	p->handler.opened = on_opened;
	p->handler.frame = on_frame;
	p->handler.closed = on_closed;
	p->peers = peers;
	p->address = g_strdup(address);
	p->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	p->timer.fire = on_check;
	ba_list_init(&p->waiting);
	g_hash_table_insert(peers->by_address, p->address, p);
	return p;
}

static void open_session(struct peer *p)
{
	struct ba_address to;

	memset(&to, 0, sizeof(to));
	ba_parse_address(p->address, &to);
	p->session = wi_dial(p->peers->loop, &to, p->peers->id, &da_peer_limits,
			     &p->handler);
}

static void on_opened(struct wi_handler *h, struct wi_session *s)
{
	struct peer *p = (struct peer *)h;
	struct ba_list *pos;
	struct ba_list *tmp;

	(void)s;
	p->open = true;
	p->silent_since = ba_loop_now(p->peers->loop);
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
		return handle_head(p, f);
	if (f->type == CL_DATA)
		return handle_data(p, f);
	return WI_FRAME_UNKNOWN;
}

/* Attempts that were not sent cannot have run: they end as unreachable. */
static void on_closed(struct wi_handler *h, struct wi_session *s, int code,
		      ba_time retry_after)
{
	struct peer *p = (struct peer *)h;
	enum cl_attempt_result result =
		code == WI_PEER_SILENT ? CL_ATTEMPT_SILENT : CL_ATTEMPT_BROKEN;
	GList *sent = g_hash_table_get_values(p->by_id);
	GList *unsent = remove_waiting(p);

	(void)s;
	(void)retry_after;
	p->session = NULL;
	p->open = false;
	ba_loop_disarm(p->peers->loop, &p->timer);
	g_hash_table_remove_all(p->by_id);
	for (GList *l = sent; l; l = l->next)
		end_attempt(l->data, result, BA_OK);
	for (GList *l = unsent; l; l = l->next)
		end_attempt(l->data, CL_ATTEMPT_UNREACHABLE, BA_OK);
	g_list_free(sent);
	g_list_free(unsent);
}

static GList *remove_waiting(struct peer *p)
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

/* The timer is armed while the session is open and has carried a call. */
static void on_check(struct ba_timer *t, ba_time now)
{
	struct peer *p = ba_entry(t, struct peer, timer);
	uint64_t received = wi_session_received(p->session);

	if (received != p->bytes_received || !g_hash_table_size(p->by_id)) {
		p->bytes_received = received;
		p->silent_since = now;
	}
	if (g_hash_table_size(p->by_id))
		p->last_used_at = now;
	if (now - p->last_used_at > IDLE_LIMIT) {
		wi_close(p->session, BA_OK);
		return;
	}
	if (now - p->silent_since >= SILENCE_LIMIT) {
		ba_event(WI_EV_PEER_SILENT, "peer=%s calls=%u", p->address,
			 g_hash_table_size(p->by_id));
		wi_close(p->session, WI_PEER_SILENT);
		return;
	}
	if (now - p->silent_since >= PING_AFTER)
		wi_send(p->session, WI_PING, NULL);
	ba_loop_arm(p->peers->loop, t,
		    g_hash_table_size(p->by_id) ? now + CHECK_PERIOD
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
	m.headers = make_header_messages(q->headers);
	a->sent = true;
	g_hash_table_insert(p->by_id, &a->id, a);
	wi_send(p->session, CL_REQUEST, &m.base);
	g_free(m.headers);
	p->last_used_at = now;
	/* After a time without calls, the silence is measured from now on. */
	if (p->timer.slot && p->timer.deadline <= now + CHECK_PERIOD)
		return;
	p->silent_since = now;
	ba_loop_arm(p->peers->loop, &p->timer, now + CHECK_PERIOD);
}

/* The pointers and the messages share one allocation, in this order. */
static ClHeader **make_header_messages(const struct da_headers *h)
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

static int handle_head(struct peer *p, const struct wi_frame *f)
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
		a->code = (int)m->result;
		a->complete = m->whole;
		for (size_t i = 0; !m->result && i < m->n_headers; i++)
			o->header(o, m->headers[i]->name, m->headers[i]->value);
		if (!m->result)
			o->head(o, (int)m->status, m->length);
		deliver(a, m->data.data, m->data.len);
		end_if_complete(a);
	}
	cl_head__free_unpacked(m, NULL);
	return BA_OK;
}

static int handle_data(struct peer *p, const struct wi_frame *f)
{
	ClData *m = cl_data__unpack(NULL, f->len, f->data);
	struct attempt *a;

	if (!m)
		return WI_FRAME_GARBAGE;
	a = g_hash_table_lookup(p->by_id, &m->id);
	if (a) {
		a->code = (int)m->result;
		a->complete = m->whole;
		deliver(a, m->data.data, m->data.len);
		end_if_complete(a);
	}
	cl_data__free_unpacked(m, NULL);
	return BA_OK;
}

/* Credit bounds the bytes that are held here while the owner is paused. */
static void deliver(struct attempt *a, const void *data, size_t len)
{
	if (!len)
		return;
	if (a->paused || !a->fetch.owner->data(a->fetch.owner, data, len)) {
		a->paused = true;
		ba_buf_add(&a->undelivered, data, len);
	}
}

static void end_if_complete(struct attempt *a)
{
	if (a->code)
		end_attempt(a, CL_ATTEMPT_ANSWERED, a->code);
	else if (a->complete && !a->undelivered.len)
		end_attempt(a, CL_ATTEMPT_ANSWERED, BA_OK);
}

static void consumed(struct da_fetch *f, size_t bytes)
{
	struct attempt *a = (struct attempt *)f;

	a->unsent_credit += bytes;
	if (a->unsent_credit >= CREDIT_STEP_BYTES && !a->complete)
		send_credit(a);
	if (!a->undelivered.len)
		return;
	if (!a->fetch.owner->data(a->fetch.owner, a->undelivered.data,
				  a->undelivered.len))
		return;
	a->paused = false;
	a->undelivered.len = 0;
	end_if_complete(a);
}

static void send_credit(struct attempt *a)
{
	ClCredit m = CL_CREDIT__INIT;

	m.id = a->id;
	m.bytes = (uint32_t)a->unsent_credit;
	a->unsent_credit = 0;
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

static void end_attempt(struct attempt *a, enum cl_attempt_result result,
			int code)
{
	struct da_fetch_owner *o = a->fetch.owner;
	struct da_fetch_end e = {result, code, a->sent};

	attempt_free(a);
	o->ended(o, &e);
}

static void attempt_free(struct attempt *a)
{
	g_hash_table_remove(a->peer->by_id, &a->id);
	ba_loop_disarm(a->peer->peers->loop, &a->deadline_timer);
	ba_list_remove(&a->link);
	ba_buf_free(&a->undelivered);
	g_free(a);
}

static void on_deadline(struct ba_timer *t, ba_time now)
{
	struct attempt *a = ba_entry(t, struct attempt, deadline_timer);

	(void)now;
	send_cancel(a);
	end_attempt(a, a->sent ? CL_ATTEMPT_TIMEOUT : CL_ATTEMPT_UNREACHABLE,
		    BA_OK);
}

static void cancel(struct da_fetch *f)
{
	struct attempt *a = (struct attempt *)f;

	send_cancel(a);
	attempt_free(a);
}
