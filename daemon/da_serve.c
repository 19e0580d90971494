#include <string.h>

#include <glib.h>

#include "base/ba_result.h"
#include "daemon/da_peer.h"
#include "daemon/da_serve.h"
#include "wire/cl.pb-c.h"

enum { SESSIONS_LIMIT = 4096, QUEUE_LOW_BYTES = 512 * 1024 };

struct da_serve {
	struct wi_acceptor acceptor;
	struct wi_listener *listener;
	struct da_worker *w;
	struct ba_list sessions;
	unsigned int n_sessions;
};

struct session {
	struct wi_handler handler;
	struct ba_list link;
	struct da_serve *serve;
	struct wi_session *session;
	GHashTable *by_id;
};

/* @session is NULL once it has ended. */
struct served {
	struct da_call call;
	struct session *session;
	uint64_t id;
	size_t credit;
};

static struct wi_handler *on_accept(struct wi_acceptor *a,
				    struct wi_session *s);
static int on_frame(struct wi_handler *h, struct wi_session *s,
		    const struct wi_frame *f);
static void on_closed(struct wi_handler *h, struct wi_session *s, int code,
		      ba_time retry_after);
static int take_request(struct session *s, const struct wi_frame *f);
static void fill_call(struct da_call *c, const ClRequest *m);
static int take_credit(struct session *s, const struct wi_frame *f);
static int take_cancel(struct session *s, const struct wi_frame *f);
static void on_moved(struct da_call *c);
static bool send_head(struct served *v);
static bool send_data(struct served *v);
static size_t next_chunk(const struct served *v);
static void finish(struct served *v);

static const struct da_front front = {.moved = on_moved};

struct da_serve *da_serve_new(struct da_worker *w, const struct ba_address *at)
{
	struct da_serve *s = g_new0(struct da_serve, 1);

	s->acceptor.accept = on_accept;
	s->w = w;
	ba_list_init(&s->sessions);
	if (!wi_listen(w->loop, at, w->tables->identity, &da_peer_limits,
		       &s->acceptor, &s->listener))
		return s;
	g_free(s);
	return NULL;
}

void da_serve_close(struct da_serve *s)
{
	struct ba_list *pos;

	wi_listener_close(s->listener);
	s->listener = NULL;
	ba_list_each(pos, &s->sessions) wi_close(
		ba_entry(pos, struct session, link)->session, WI_PEER_CLOSED);
}

void da_serve_free(struct da_serve *s)
{
	g_free(s);
}

static struct wi_handler *on_accept(struct wi_acceptor *a, struct wi_session *w)
{
	struct da_serve *serve = (struct da_serve *)a;
	struct session *s;

	if (serve->n_sessions >= SESSIONS_LIMIT)
		return NULL;
	s = g_new0(struct session, 1);
	s->handler.frame = on_frame;
	s->handler.closed = on_closed;
	s->serve = serve;
	s->session = w;
	s->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	ba_list_append(&serve->sessions, &s->link);
	serve->n_sessions++;
	return &s->handler;
}

static int on_frame(struct wi_handler *h, struct wi_session *w,
		    const struct wi_frame *f)
{
	struct session *s = (struct session *)h;

	if (wi_session_peer(w)->role != WI_DAEMON)
		return WI_FRAME_UNKNOWN;
	switch (f->type) {
	case CL_REQUEST:
		return take_request(s, f);
	case CL_CREDIT:
		return take_credit(s, f);
	case CL_CANCEL:
		return take_cancel(s, f);
	default:
		return WI_FRAME_UNKNOWN;
	}
}

static void on_closed(struct wi_handler *h, struct wi_session *w, int code,
		      ba_time retry_after)
{
	struct session *s = (struct session *)h;
	GList *calls = g_hash_table_get_values(s->by_id);

	(void)w;
	(void)code;
	(void)retry_after;
	g_hash_table_remove_all(s->by_id);
	for (GList *l = calls; l; l = l->next) {
		struct served *v = l->data;

		v->session = NULL;
		da_call_leave(&v->call);
	}
	g_list_free(calls);
	g_hash_table_destroy(s->by_id);
	ba_list_remove(&s->link);
	s->serve->n_sessions--;
	g_free(s);
}

static int take_request(struct session *s, const struct wi_frame *f)
{
	ClRequest *m = cl_request__unpack(NULL, f->len, f->data);
	struct served *v;

	if (!m)
		return WI_FRAME_GARBAGE;
	if (g_hash_table_contains(s->by_id, &m->id)) {
		cl_request__free_unpacked(m, NULL);
		return WI_FRAME_GARBAGE;
	}
	v = g_new0(struct served, 1);
	da_call_init(&v->call, s->serve->w, &front);
	v->session = s;
	v->id = m->id;
	v->credit = MIN(m->credit, DA_PEER_CREDIT_BYTES);
	fill_call(&v->call, m);
	g_hash_table_insert(s->by_id, &v->id, v);
	cl_request__free_unpacked(m, NULL);
	da_call_begin(&v->call);
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

static int take_credit(struct session *s, const struct wi_frame *f)
{
	ClCredit *m = cl_credit__unpack(NULL, f->len, f->data);
	struct served *v;

	if (!m)
		return WI_FRAME_GARBAGE;
	v = g_hash_table_lookup(s->by_id, &m->id);
	if (v) {
		v->credit = MIN(v->credit + m->bytes, DA_PEER_CREDIT_BYTES);
		da_call_moved(&v->call);
	}
	cl_credit__free_unpacked(m, NULL);
	return BA_OK;
}

static int take_cancel(struct session *s, const struct wi_frame *f)
{
	ClCancel *m = cl_cancel__unpack(NULL, f->len, f->data);
	struct served *v;

	if (!m)
		return WI_FRAME_GARBAGE;
	v = g_hash_table_lookup(s->by_id, &m->id);
	if (v)
		finish(v);
	cl_cancel__free_unpacked(m, NULL);
	return BA_OK;
}

static void on_moved(struct da_call *c)
{
	struct served *v = (struct served *)c;
	bool done = false;

	if (!v->session)
		return;
	if (!c->started)
		done = send_head(v);
	while (!done && c->answer.data.len > c->answer.taken && v->credit)
		done = send_data(v);
	if (!done && (c->answer.whole || c->result) &&
	    c->answer.data.len == c->answer.taken)
		done = send_data(v);
	if (done)
		finish(v);
}

/* Return: whether the answer ended with it. */
static bool send_head(struct served *v)
{
	struct da_call *c = &v->call;
	struct da_answer *a = &c->answer;
	ClHead m = CL_HEAD__INIT;
	ClHeader **list = NULL;
	size_t n = next_chunk(v);
	ClHeader *h;

	if (!c->result && !a->status)
		return false;
	c->started = true;
	m.id = v->id;
	m.result = (uint32_t)c->result;
	pthread_mutex_lock(&c->w->tables->lock);
	m.load = cl_admit_load(c->w->tables->admit);
	pthread_mutex_unlock(&c->w->tables->lock);
	m.whole = c->result || (a->whole && a->taken + n == a->data.len);
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
		m.data.data = a->data.data + a->taken;
		m.data.len = n;
	}
	wi_send(v->session->session, CL_HEAD, &m.base);
	g_free(list);
	if (!c->result) {
		v->credit -= n;
		a->taken += n;
		if (n)
			da_call_drained(c, n);
	}
	return m.whole;
}

static bool send_data(struct served *v)
{
	struct da_call *c = &v->call;
	struct da_answer *a = &c->answer;
	ClData m = CL_DATA__INIT;
	size_t n = next_chunk(v);

	m.id = v->id;
	m.data.data = a->data.data + a->taken;
	m.data.len = n;
	a->taken += n;
	v->credit -= n;
	if (a->taken == a->data.len && (a->whole || c->result)) {
		m.whole = true;
		m.result = (uint32_t)c->result;
	}
	wi_send(v->session->session, CL_DATA, &m.base);
	if (n)
		da_call_drained(c, n);
	return m.whole;
}

static size_t next_chunk(const struct served *v)
{
	const struct da_answer *a = &v->call.answer;
	size_t n = MIN(a->data.len - a->taken, v->credit);

	return MIN(n, DA_PEER_CHUNK_BYTES);
}

static void finish(struct served *v)
{
	g_hash_table_remove(v->session->by_id, &v->id);
	v->session = NULL;
	da_call_leave(&v->call);
}
