#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base/ba_result.h"
#include "http/ht_service.h"

struct ht_service {
	struct ht_acceptor acceptor;
	struct ba_loop *loop;
	struct ht_service_options o;
	struct ht_service_owner *owner;
	struct ht_listener *listener;
	struct ba_list conns;
	unsigned int n_conns;
};

/* struct served - a connection with its request, which is @asked when whole */
struct served {
	struct ht_owner owner;
	struct ht_request request;
	struct ba_list link;
	struct ht_service *service;
	struct ht_conn *conn;
	bool asked;
};

static void on_accept(struct ht_acceptor *a, int fd);
static void on_body(struct ht_owner *o, struct ht_conn *c, const void *data,
		    size_t len);
static void on_whole(struct ht_owner *o, struct ht_conn *c);
static void on_ended(struct ht_owner *o, struct ht_conn *c, enum ht_end why);
static void expect_request(struct served *v);
static void clear(struct ht_request *r);
static void forget(struct served *v);

int ht_service_new(struct ba_loop *loop, const struct ht_service_options *o,
		   struct ht_service_owner *owner, struct ht_service **out)
{
	struct ht_service *s = g_new0(struct ht_service, 1);

	s->acceptor.accept = on_accept;
	s->loop = loop;
	s->o = *o;
	s->owner = owner;
	ba_list_init(&s->conns);
	if (ht_listen(loop, o->at, &s->acceptor, &s->listener)) {
		g_free(s);
		return BA_PORT_IN_USE;
	}
	*out = s;
	return BA_OK;
}

void ht_service_free(struct ht_service *s)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	if (!s)
		return;
	ht_listener_close(s->listener);
	ba_list_each_safe(pos, tmp, &s->conns)
	{
		struct served *v = ba_entry(pos, struct served, link);

		ht_conn_abort(v->conn);
		forget(v);
	}
	g_free(s);
}

void ht_request_answer(struct ht_request *r, int status, const char *fields,
		       const char *type, const struct ba_buf *body)
{
	struct served *v = ba_entry(r, struct served, request);
	struct ht_conn *c = v->conn;
	bool last = r->head->last;

	ba_buf_addf(ht_conn_out(c),
		    "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s%s", status,
		    ht_reason(status), body->len, fields,
		    last ? "Connection: close\r\n" : "");
	if (body->len)
		ba_buf_addf(ht_conn_out(c), "Content-Type: %s\r\n", type);
	ba_buf_addf(ht_conn_out(c), "\r\n");
	ht_conn_write(c, body->data, body->len);
	v->asked = false;
	clear(r);
	if (last) {
		forget(v);
		ht_conn_finish(c);
		return;
	}
	ht_conn_flush(c);
	expect_request(v);
	ht_conn_next(c);
}

static void on_accept(struct ht_acceptor *a, int fd)
{
	struct ht_service *s = (struct ht_service *)a;
	struct served *v;

	if (s->o.connections && s->n_conns >= s->o.connections) {
		close(fd);
		return;
	}
	v = g_new0(struct served, 1);
	v->owner.body = on_body;
	v->owner.whole = on_whole;
	v->owner.ended = on_ended;
	v->service = s;
	ba_list_append(&s->conns, &v->link);
	s->n_conns++;
	v->conn = ht_conn_accepted(s->loop, fd, s->o.head_limit, &v->owner);
	v->request.head = ht_conn_head(v->conn);
	expect_request(v);
}

static void on_body(struct ht_owner *o, struct ht_conn *c, const void *data,
		    size_t len)
{
	struct served *v = (struct served *)o;
	struct ht_request *r = &v->request;

	(void)c;
	r->cut |= r->body.len + len > v->service->o.body_limit;
	if (!r->cut)
		ba_buf_add(&r->body, data, len);
}

static void on_whole(struct ht_owner *o, struct ht_conn *c)
{
	struct served *v = (struct served *)o;

	ht_conn_expect(c, BA_NEVER);
	v->asked = true;
	v->service->owner->request(v->service->owner, &v->request);
}

static void on_ended(struct ht_owner *o, struct ht_conn *c, enum ht_end why)
{
	(void)c;
	(void)why;
	forget((struct served *)o);
}

static void expect_request(struct served *v)
{
	struct ht_service *s = v->service;

	ht_conn_expect(v->conn, ba_loop_now(s->loop) + s->o.idle);
}

static void clear(struct ht_request *r)
{
	ba_buf_free(&r->body);
	r->cut = false;
	r->context = NULL;
}

static void forget(struct served *v)
{
	struct ht_service *s = v->service;

	if (v->asked && s->owner->gone)
		s->owner->gone(s->owner, &v->request);
	ba_list_remove(&v->link);
	s->n_conns--;
	clear(&v->request);
	g_free(v);
}
