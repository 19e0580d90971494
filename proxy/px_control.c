#include <string.h>

#include "base/ba_event.h"
#include "proxy/px_internal.h"

enum { BODY_LIMIT_BYTES = 64 * 1024 };

/* struct call - a connection of the platform or of the backend server */
struct call {
	struct ht_owner owner;
	struct ba_list link;
	struct px *p;
	struct ht_conn *conn;
	struct ba_buf body;
};

static void on_head(struct ht_owner *o, struct ht_conn *c);
static void on_body(struct ht_owner *o, struct ht_conn *c, const void *data,
		    size_t len);
static void on_whole(struct ht_owner *o, struct ht_conn *c);
static void on_ended(struct ht_owner *o, struct ht_conn *c, enum ht_end why);
static int answer(struct call *k, const struct ht_head *h, struct ba_buf *body);
static int take_beat(struct call *k, const char *backend, struct ba_buf *body);
static void forget(struct call *k);

void px_control_accept(struct ht_acceptor *a, int fd)
{
	struct px *p = ba_entry(a, struct px, controls);
	struct call *k = g_new0(struct call, 1);

	k->p = p;
	k->owner.head = on_head;
	k->owner.body = on_body;
	k->owner.whole = on_whole;
	k->owner.ended = on_ended;
	ba_list_append(&p->controls_open, &k->link);
	k->conn = ht_conn_accepted(p->loop, fd, PX_HEAD_LIMIT_BYTES, &k->owner);
	ht_conn_expect(k->conn, ba_loop_now(p->loop) + PX_IDLE_TIMEOUT);
}

void px_control_free(struct ba_list *link)
{
	struct call *k = ba_entry(link, struct call, link);

	ht_conn_abort(k->conn);
	forget(k);
}

static void on_head(struct ht_owner *o, struct ht_conn *c)
{
	(void)o;
	(void)c;
}

static void on_body(struct ht_owner *o, struct ht_conn *c, const void *data,
		    size_t len)
{
	struct call *k = (struct call *)o;

	(void)c;
	if (k->body.len + len <= BODY_LIMIT_BYTES)
		ba_buf_add(&k->body, data, len);
}

static void on_whole(struct ht_owner *o, struct ht_conn *c)
{
	struct call *k = (struct call *)o;
	bool last = ht_conn_head(c)->last;
	struct ba_buf body = {0};
	int status = answer(k, ht_conn_head(c), &body);

	ba_buf_addf(ht_conn_out(c),
		    "HTTP/1.1 %d %s\r\n%s%sContent-Length: %zu\r\n\r\n", status,
		    ht_reason(status),
		    body.len ? "Content-Type: application/json\r\n" : "",
		    last ? "Connection: close\r\n" : "", body.len);
	ht_conn_write(c, body.data, body.len);
	ba_buf_free(&body);
	ba_buf_free(&k->body);
	if (last) {
		forget(k);
		ht_conn_finish(c);
		return;
	}
	ht_conn_flush(c);
	ht_conn_expect(c, ba_loop_now(k->p->loop) + PX_IDLE_TIMEOUT);
	ht_conn_next(c);
}

static void on_ended(struct ht_owner *o, struct ht_conn *c, enum ht_end why)
{
	(void)c;
	(void)why;
	forget((struct call *)o);
}

static int answer(struct call *k, const struct ht_head *h, struct ba_buf *body)
{
	struct px *p = k->p;
	char backend[PX_ID_BYTES];

	switch (p->dialect->read_control(h->method, ht_head_target(h),
					 backend)) {
	case PX_CONTROL_READY:
		return p->snapshot && p->routed && !p->stopping ? 200 : 503;
	case PX_CONTROL_BEAT:
		return take_beat(k, backend, body);
	case PX_CONTROL_LEAVE:
		px_gate_leave(p, backend);
		return 200;
	default:
		return 404;
	}
}

/* What cannot be read names no endpoint and changes nothing. */
static int take_beat(struct call *k, const char *backend, struct ba_buf *body)
{
	struct px_beat b = {.slots = 0};

	if (!k->p->dialect->read_beat(k->body.data, k->body.len, &b)) {
		ba_event(EP_EV_REFUSED, "backend=%s bytes=%zu", backend,
			 k->body.len);
		return 400;
	}
	g_strlcpy(b.backend, backend, sizeof(b.backend));
	px_gate_beat(k->p, &b);
	k->p->dialect->write_ack(body);
	return 200;
}

static void forget(struct call *k)
{
	ba_list_remove(&k->link);
	ba_buf_free(&k->body);
	g_free(k);
}
