#include <string.h>

#include <glib.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "daemon/da_peer.h"
#include "daemon/da_peer_server.h"
#include "wire/cl.pb-c.h"

enum { SESSIONS_LIMIT = 4096, QUEUE_LOW_BYTES = 512 * 1024 };

struct da_peer_server {
	struct wi_acceptor acceptor;
	struct wi_listener *listener;
	struct da_worker *w;
	struct ba_list sessions;
	unsigned int n_sessions;
};

struct peer_session {
	struct wi_handler handler;
	struct ba_list link;
	struct da_peer_server *server;
	struct wi_session *session;
	GHashTable *by_id;
};

/*
 * A call of another daemon.  @session is NULL once the session or the call has
 * ended; @credit is the number of bytes that may be sent.
 */
struct peer_call {
	struct da_call call;
	struct peer_session *session;
	uint64_t id;
	size_t credit;
};

static struct wi_handler *on_accept(struct wi_acceptor *a,
				    struct wi_session *s);
static int on_frame(struct wi_handler *h, struct wi_session *s,
		    const struct wi_frame *f);
static void on_closed(struct wi_handler *h, struct wi_session *s, int code,
		      ba_time retry_after);
static int handle_request(struct peer_session *s, const struct wi_frame *f);
static void fill_call(struct da_call *c, const ClRequest *m);
static int handle_credit(struct peer_session *s, const struct wi_frame *f);
static int handle_cancel(struct peer_session *s, const struct wi_frame *f);
static void on_answer_changed(struct da_call *c);
static bool send_head(struct peer_call *p);
static bool send_data(struct peer_call *p);
static size_t next_chunk(const struct peer_call *p);
static void finish_call(struct peer_call *p);

static const struct da_frontend frontend = {.answer_changed =
						    on_answer_changed};

struct da_peer_server *da_peer_server_new(struct da_worker *w,
					  const struct ba_address *at)
{
	struct da_peer_server *s = g_new0(struct da_peer_server, 1);

	s->acceptor.accept = on_accept;
	s->w = w;
	ba_list_init(&s->sessions);
	if (!wi_listen(w->loop, at, w->shared->identity, &da_peer_limits,
		       &s->acceptor, &s->listener))
		return s;
	g_free(s);
	return NULL;
}

void da_peer_server_finish(struct da_peer_server *s)
{
	struct ba_list *pos;

	wi_listener_close(s->listener);
	s->listener = NULL;
	ba_list_each(pos, &s->sessions)
		wi_finish(ba_entry(pos, struct peer_session, link)->session);
}

bool da_peer_server_is_unfinished(const struct da_peer_server *s,
				  uint64_t *progress)
{
	struct ba_list *pos;

	*progress = s->n_sessions;
	ba_list_each(pos, &s->sessions)
	{
		const struct wi_session *ws =
			ba_entry(pos, struct peer_session, link)->session;

		*progress +=
			wi_session_unacknowledged(ws) + wi_session_received(ws);
	}
	return s->n_sessions;
}

void da_peer_server_close(struct da_peer_server *s)
{
	struct ba_list *pos;

	ba_list_each(pos, &s->sessions)
	{
		struct wi_session *ws =
			ba_entry(pos, struct peer_session, link)->session;
		size_t bytes = wi_session_unacknowledged(ws);

		if (bytes)
			ba_event(BA_EV_UNDELIVERED, "peer=%s bytes=%zu",
				 wi_session_peer(ws)->instance, bytes);
		wi_close(ws, WI_PEER_CLOSED);
	}
}

void da_peer_server_free(struct da_peer_server *s)
{
	g_free(s);
}

static struct wi_handler *on_accept(struct wi_acceptor *a,
				    struct wi_session *ws)
{
	struct da_peer_server *server = (struct da_peer_server *)a;
	struct peer_session *s;

	if (server->n_sessions >= SESSIONS_LIMIT)
		return NULL;
	s = g_new0(struct peer_session, 1);
	s->handler.frame = on_frame;
	s->handler.closed = on_closed;
	s->server = server;
	s->session = ws;
	s->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	ba_list_append(&server->sessions, &s->link);
	server->n_sessions++;
	return &s->handler;
}

static int on_frame(struct wi_handler *h, struct wi_session *ws,
		    const struct wi_frame *f)
{
	struct peer_session *s = (struct peer_session *)h;

	if (wi_session_peer(ws)->role != WI_DAEMON)
		return WI_FRAME_UNKNOWN;
	switch (f->type) {
	case CL_REQUEST:
		return handle_request(s, f);
	case CL_CREDIT:
		return handle_credit(s, f);
	case CL_CANCEL:
		return handle_cancel(s, f);
	default:
		return WI_FRAME_UNKNOWN;
	}
}

static void on_closed(struct wi_handler *h, struct wi_session *ws, int code,
		      ba_time retry_after)
{
	struct peer_session *s = (struct peer_session *)h;
	GList *calls = g_hash_table_get_values(s->by_id);

	(void)ws;
	(void)code;
	(void)retry_after;
	g_hash_table_remove_all(s->by_id);
	for (GList *l = calls; l; l = l->next) {
		struct peer_call *p = l->data;

		p->session = NULL;
		da_call_detach(&p->call);
	}
	g_list_free(calls);
	g_hash_table_destroy(s->by_id);
	ba_list_remove(&s->link);
	s->server->n_sessions--;
	g_free(s);
}

static int handle_request(struct peer_session *s, const struct wi_frame *f)
{
	ClRequest *m = cl_request__unpack(NULL, f->len, f->data);
	struct peer_call *p;

	if (!m)
		return WI_FRAME_GARBAGE;
	if (g_hash_table_contains(s->by_id, &m->id)) {
		cl_request__free_unpacked(m, NULL);
		return WI_FRAME_GARBAGE;
	}
	p = g_new0(struct peer_call, 1);
	da_call_init(&p->call, s->server->w, &frontend);
	p->session = s;
	p->id = m->id;
	p->credit = MIN(m->credit, DA_PEER_CREDIT_BYTES);
	fill_call(&p->call, m);
	g_hash_table_insert(s->by_id, &p->id, p);
	cl_request__free_unpacked(m, NULL);
	da_call_begin(&p->call);
	return BA_OK;
}

static void fill_call(struct da_call *c, const ClRequest *m)
{
	ba_time left = (ba_time)MIN(m->time_left_us, (uint64_t)CL_TIME_LIMIT);

	c->from_peer = true;
	c->method = g_strdup(m->method);
	c->target = g_strdup(m->target);
	c->service = g_strdup(m->service);
	c->key = *m->key ? g_strdup(m->key) : NULL;
	c->idempotent = m->idempotent && !c->key;
	c->deadline = c->arrived + left;
	g_strlcpy(c->id, m->call, sizeof(c->id));
	for (size_t i = 0; i < m->n_headers; i++)
		da_headers_add(&c->headers, m->headers[i]->name,
			       m->headers[i]->value);
	ba_buf_add(&c->body, m->body.data, m->body.len);
}

static int handle_credit(struct peer_session *s, const struct wi_frame *f)
{
	ClCredit *m = cl_credit__unpack(NULL, f->len, f->data);
	struct peer_call *p;

	if (!m)
		return WI_FRAME_GARBAGE;
	p = g_hash_table_lookup(s->by_id, &m->id);
	if (p) {
		p->credit = MIN(p->credit + m->bytes, DA_PEER_CREDIT_BYTES);
		da_call_notify(&p->call);
	}
	cl_credit__free_unpacked(m, NULL);
	return BA_OK;
}

static int handle_cancel(struct peer_session *s, const struct wi_frame *f)
{
	ClCancel *m = cl_cancel__unpack(NULL, f->len, f->data);
	struct peer_call *p;

	if (!m)
		return WI_FRAME_GARBAGE;
	p = g_hash_table_lookup(s->by_id, &m->id);
	if (p)
		finish_call(p);
	cl_cancel__free_unpacked(m, NULL);
	return BA_OK;
}

static void on_answer_changed(struct da_call *c)
{
	struct peer_call *p = (struct peer_call *)c;
	bool done = false;

	if (!p->session)
		return;
	if (!c->head_sent)
		done = send_head(p);
	while (!done && c->answer.data.len > c->answer.sent && p->credit)
		done = send_data(p);
	if (!done && (c->answer.complete || c->result) &&
	    c->answer.data.len == c->answer.sent)
		done = send_data(p);
	if (done)
		finish_call(p);
}

/* Return: whether a frame was sent that ends the answer. */
static bool send_head(struct peer_call *p)
{
	struct da_call *c = &p->call;
	struct da_answer *a = &c->answer;
	ClHead m = CL_HEAD__INIT;
	ClHeader **list = NULL;
	size_t n = next_chunk(p);
	ClHeader *h;

	if (!c->result && !a->status)
		return false;
	c->head_sent = true;
	m.id = p->id;
	m.result = (uint32_t)c->result;
	pthread_mutex_lock(&c->w->shared->lock);
	m.load = cl_admit_load(c->w->shared->admit);
	pthread_mutex_unlock(&c->w->shared->lock);
	m.whole = c->result || (a->complete && a->sent + n == a->data.len);
	if (!c->result) {
		list = g_malloc(a->headers.n * (sizeof(*list) + sizeof(*h)) +
				1);
		h = (ClHeader *)(list + a->headers.n);
		for (size_t i = 0; i < a->headers.n; i++) {
			cl_header__init(&h[i]);
			h[i].name = a->headers.list[i].name;
			h[i].value = a->headers.list[i].value;
			list[i] = &h[i];
		}
		m.headers = list;
		m.n_headers = a->headers.n;
		m.status = (uint32_t)a->status;
		m.length = a->length;
		m.data.data = a->data.data + a->sent;
		m.data.len = n;
	}
	wi_send(p->session->session, CL_HEAD, &m.base);
	g_free(list);
	if (!c->result) {
		p->credit -= n;
		a->sent += n;
		if (n)
			da_call_consumed(c, n);
	}
	return m.whole;
}

static bool send_data(struct peer_call *p)
{
	struct da_call *c = &p->call;
	struct da_answer *a = &c->answer;
	ClData m = CL_DATA__INIT;
	size_t n = next_chunk(p);

	m.id = p->id;
	m.data.data = a->data.data + a->sent;
	m.data.len = n;
	a->sent += n;
	p->credit -= n;
	if (a->sent == a->data.len && (a->complete || c->result)) {
		m.whole = true;
		m.result = (uint32_t)c->result;
	}
	wi_send(p->session->session, CL_DATA, &m.base);
	if (n)
		da_call_consumed(c, n);
	return m.whole;
}

static size_t next_chunk(const struct peer_call *p)
{
	const struct da_answer *a = &p->call.answer;
	size_t n = MIN(a->data.len - a->sent, p->credit);

	return MIN(n, DA_PEER_CHUNK_BYTES);
}

static void finish_call(struct peer_call *p)
{
	g_hash_table_remove(p->session->by_id, &p->id);
	p->session = NULL;
	da_call_detach(&p->call);
}
