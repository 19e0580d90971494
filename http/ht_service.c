#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base/ba_result.h"
#include "http/ht_service.h"
#include "report/rt.h"

struct ht_service {
	struct ht_acceptor acceptor;
	struct ba_loop *loop;
	struct ht_service_options o;
	struct ht_service_owner *owner;
	struct ht_listener *listener;
	struct ba_list conns;
	unsigned int n_conns;
};

/*
 * @charge: for the body of @request
 * @moved_at: when something of it has come last
 * @in_request: @request is complete and has not been answered
 */
struct service_conn {
	struct ht_conn_owner owner;
	struct ht_request request;
	struct ba_list link;
	struct ht_service *service;
	struct ht_conn *conn;
	struct ba_charge charge;
	ba_time moved_at;
	bool in_request;
};

static void on_accept(struct ht_acceptor *a, int fd);
static struct service_conn *find_idle(struct ht_service *s);
static bool make_room(struct service_conn *sc, size_t len);
static void refuse(struct service_conn *sc);
static void on_body(struct ht_conn_owner *o, struct ht_conn *c,
		    const void *data, size_t len);
static void on_complete(struct ht_conn_owner *o, struct ht_conn *c);
static void on_ended(struct ht_conn_owner *o, struct ht_conn *c,
		     enum ht_end why);
static void write_answer(struct service_conn *sc, int status,
			 const char *fields, const char *type,
			 const struct ba_buf *body);
static void on_last_drained(struct ht_conn_owner *o, struct ht_conn *c);
static void set_idle_deadline(struct service_conn *sc);
static void clear_request(struct ht_request *r);
static void remove_conn(struct service_conn *sc);

int ht_service_new(struct ba_loop *loop, const struct ht_service_options *o,
		   struct ht_service_owner *owner, struct ht_service **out)
{
	struct ht_service *s = g_new0(struct ht_service, 1);

	s->acceptor.accept = on_accept;
	s->loop = loop;
	s->o = *o;
	s->owner = owner;
	ba_list_init(&s->conns);
	if (ht_listen(loop, o->address, &s->acceptor, &s->listener)) {
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
		struct service_conn *sc =
			ba_entry(pos, struct service_conn, link);

		ht_conn_abort(sc->conn);
		remove_conn(sc);
	}
	g_free(s);
}

void ht_request_answer(struct ht_request *r, int status, const char *fields,
		       const char *type, const struct ba_buf *body)
{
	struct service_conn *sc = ba_entry(r, struct service_conn, request);
	struct ht_conn *c = sc->conn;
	bool last = r->head->connection_close;

	write_answer(sc, status, fields, type, body);
	if (last) {
		remove_conn(sc);
		ht_conn_close_after_flush(c);
		return;
	}
	ht_conn_flush(c);
	ba_list_remove(&sc->link);
	ba_list_append(&sc->service->conns, &sc->link);
	set_idle_deadline(sc);
	ht_conn_read_next(c);
}

void ht_request_answer_whole(struct ht_request *r, int status,
			     const char *fields, const char *type,
			     const struct ba_buf *body)
{
	struct service_conn *sc = ba_entry(r, struct service_conn, request);
	struct ht_conn *c = sc->conn;

	if (!r->head->connection_close) {
		ht_request_answer(r, status, fields, type, body);
		return;
	}
	write_answer(sc, status, fields, type, body);
	sc->owner.drained = on_last_drained;
	set_idle_deadline(sc);
	ht_conn_flush(c);
	if (!ht_conn_out(c)->len)
		on_last_drained(&sc->owner, c);
}

void ht_service_stop_listening(struct ht_service *s)
{
	ht_listener_close(s->listener);
	s->listener = NULL;
}

bool ht_service_is_unfinished(const struct ht_service *s, uint64_t *progress)
{
	struct ba_list *pos;
	size_t left = 0;

	ba_list_each(pos, &s->conns)
	{
		const struct service_conn *sc =
			ba_entry(pos, struct service_conn, link);

		left += sc->in_request + ht_conn_unacknowledged(sc->conn);
	}
	*progress = left;
	return left;
}

static void on_accept(struct ht_acceptor *a, int fd)
{
	struct ht_service *s = (struct ht_service *)a;
	struct service_conn *sc;

	if (s->o.max_connections && s->n_conns >= s->o.max_connections) {
		sc = find_idle(s);
		rt_count(RT_CONNS_TURNED_AWAY, 1);
		if (s->o.account)
			ba_account_note(s->o.account, BA_CROWD_TURNED_AWAY,
					ba_loop_now(s->loop));
		if (!sc) {
			close(fd);
			return;
		}
		ht_conn_abort(sc->conn);
		remove_conn(sc);
	}
	sc = g_new0(struct service_conn, 1);
	sc->owner.body = on_body;
	sc->owner.complete = on_complete;
	sc->owner.ended = on_ended;
	sc->service = s;
	ba_list_append(&s->conns, &sc->link);
	s->n_conns++;
	sc->conn = ht_conn_serve(s->loop, fd, s->o.head_limit, &sc->owner);
	ht_conn_set_account(sc->conn, s->o.account);
	sc->charge.account = s->o.account;
	sc->request.head = ht_conn_head(sc->conn);
	set_idle_deadline(sc);
}

static void on_body(struct ht_conn_owner *o, struct ht_conn *c,
		    const void *data, size_t len)
{
	struct service_conn *sc = (struct service_conn *)o;
	struct ht_request *r = &sc->request;

	(void)c;
	sc->moved_at = ba_loop_now(sc->service->loop);
	r->body_truncated |= r->body.len + len > sc->service->o.body_limit;
	if (r->body_truncated)
		return;
	if (!make_room(sc, len)) {
		refuse(sc);
		return;
	}
	ba_buf_add(&r->body, data, len);
	ba_charge_set(&sc->charge, r->body.alloc);
}

/* The oldest of those without a complete request. */
static struct service_conn *find_idle(struct ht_service *s)
{
	struct ba_list *pos;

	ba_list_each(pos, &s->conns)
	{
		struct service_conn *sc =
			ba_entry(pos, struct service_conn, link);

		if (!sc->in_request && !ht_conn_out(sc->conn)->len)
			return sc;
	}
	return NULL;
}

/*
 * Return: whether there is memory for @len more bytes of the body of @sc.  A
 * buffer that grows is there twice for a moment.
 */
static bool make_room(struct service_conn *sc, size_t len)
{
	const struct ba_buf *body = &sc->request.body;
	struct ht_service *s = sc->service;
	size_t need = body->len + len;
	size_t more = need > body->alloc ? 2 * need : 0;
	struct ba_list *pos;

	while (s->o.account && !ba_account_has_room(s->o.account, more, need)) {
		struct service_conn *worst = NULL;
		double most = 0;

		ba_list_each(pos, &s->conns)
		{
			struct service_conn *other =
				ba_entry(pos, struct service_conn, link);
			/* Those that were refused are no longer in the list. */
			/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
			double weight = ba_hold_weight(other->charge.bytes,
						       ba_loop_now(s->loop) -
							       other->moved_at);

			if (other == sc || other->in_request || weight <= most)
				continue;
			worst = other;
			most = weight;
		}
		if (!worst)
			return false;
		refuse(worst);
	}
	return true;
}

/* Answers that the request was not run, for want of memory, and closes. */
static void refuse(struct service_conn *sc)
{
	static const char text[] = "HTTP/1.1 503 Service Unavailable\r\n"
				   "Retry-After: 1\r\nContent-Length: 0\r\n"
				   "Connection: close\r\n\r\n";
	struct ht_conn *c = sc->conn;

	rt_count(RT_BODIES_REFUSED, 1);
	ba_account_note(sc->service->o.account, BA_CROWD_REFUSED,
			ba_loop_now(sc->service->loop));
	ht_conn_write(c, text, sizeof(text) - 1);
	remove_conn(sc);
	ht_conn_close_after_flush(c);
}

static void on_complete(struct ht_conn_owner *o, struct ht_conn *c)
{
	struct service_conn *sc = (struct service_conn *)o;

	ht_conn_set_deadline(c, BA_NEVER);
	sc->in_request = true;
	sc->service->owner->request(sc->service->owner, &sc->request);
}

static void on_ended(struct ht_conn_owner *o, struct ht_conn *c,
		     enum ht_end why)
{
	int status = why == HT_END_MALFORMED	    ? 400
		     : why == HT_END_HEAD_TOO_LARGE ? 431
						    : 0;

	remove_conn((struct service_conn *)o);
	if (!status)
		return;
	ba_buf_addf(ht_conn_out(c),
		    "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n"
		    "Connection: close\r\n\r\n",
		    status, ht_reason_phrase(status));
	ht_conn_close_after_flush(c);
}

/* Writes the answer, which ends the request; nothing is sent yet. */
static void write_answer(struct service_conn *sc, int status,
			 const char *fields, const char *type,
			 const struct ba_buf *body)
{
	struct ba_buf *out = ht_conn_out(sc->conn);
	bool last = sc->request.head->connection_close;

	ba_buf_addf(out, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s%s",
		    status, ht_reason_phrase(status), body->len, fields,
		    last ? "Connection: close\r\n" : "");
	if (body->len)
		ba_buf_addf(out, "Content-Type: %s\r\n", type);
	ba_buf_addf(out, "\r\n");
	ba_buf_add(out, body->data, body->len);
	sc->in_request = false;
	clear_request(&sc->request);
}

/* The last answer of the connection is in the kernel. */
static void on_last_drained(struct ht_conn_owner *o, struct ht_conn *c)
{
	remove_conn((struct service_conn *)o);
	ht_conn_close_after_flush(c);
}

static void set_idle_deadline(struct service_conn *sc)
{
	struct ht_service *s = sc->service;

	ht_conn_set_deadline(sc->conn,
			     ba_loop_now(s->loop) + s->o.idle_timeout);
}

static void clear_request(struct ht_request *r)
{
	struct service_conn *sc = ba_entry(r, struct service_conn, request);

	ba_charge_set(&sc->charge, 0);
	ba_buf_free(&r->body);
	r->body_truncated = false;
	r->context = NULL;
}

static void remove_conn(struct service_conn *sc)
{
	struct ht_service *s = sc->service;

	if (sc->in_request && s->owner->cancelled)
		s->owner->cancelled(s->owner, &sc->request);
	ba_list_remove(&sc->link);
	s->n_conns--;
	clear_request(&sc->request);
	g_free(sc);
}
