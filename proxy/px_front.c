#include <string.h>
#include <strings.h>

#include "proxy/px_internal.h"

static void accept_front(struct px *p, int fd, bool from_peer);
static void on_begun(struct ht_owner *o, struct ht_conn *c);
static void on_head(struct ht_owner *o, struct ht_conn *c);
static void on_body(struct ht_owner *o, struct ht_conn *c, const void *data,
		    size_t len);
static void on_whole(struct ht_owner *o, struct ht_conn *c);
static void on_drained(struct ht_owner *o, struct ht_conn *c);
static void on_ended(struct ht_owner *o, struct ht_conn *c, enum ht_end why);
static void refuse(struct px_front *f, int status);
static void forget(struct px_front *f);
static size_t head_limit(const struct px *p);
static uint64_t body_limit(const struct px *p);
static ba_time header_timeout(const struct px *p);
static ba_time idle_timeout(const struct px_front *f);

void px_front_accept_caller(struct ht_acceptor *a, int fd)
{
	accept_front(ba_entry(a, struct px, callers), fd, false);
}

void px_front_accept_peer(struct ht_acceptor *a, int fd)
{
	accept_front(ba_entry(a, struct px, peers), fd, true);
}

void px_front_done(struct px_front *f)
{
	bool last = ht_conn_head(f->conn)->last;

	f->exchange = NULL;
	f->in_request = false;
	ba_buf_free(&f->body);
	if (last || (f->p->stopping && !f->from_peer)) {
		struct ht_conn *c = f->conn;

		forget(f);
		ht_conn_finish(c);
		return;
	}
	ht_conn_flush(f->conn);
	ht_conn_expect(f->conn, ba_loop_now(f->p->loop) + idle_timeout(f));
	ht_conn_next(f->conn);
}

void px_front_broken(struct px_front *f)
{
	struct ht_conn *c = f->conn;

	f->exchange = NULL;
	forget(f);
	ht_conn_abort(c);
}

void px_front_free(struct px_front *f)
{
	struct px_exchange *x = f->exchange;

	f->exchange = NULL;
	if (x)
		px_exchange_gone(x);
	ht_conn_abort(f->conn);
	forget(f);
}

static void accept_front(struct px *p, int fd, bool from_peer)
{
	struct px_front *f = g_new0(struct px_front, 1);

	f->p = p;
	f->from_peer = from_peer;
	f->owner.begun = on_begun;
	f->owner.head = on_head;
	f->owner.body = on_body;
	f->owner.whole = on_whole;
	f->owner.drained = on_drained;
	f->owner.ended = on_ended;
	ba_list_append(&p->fronts, &f->link);
	f->conn = ht_conn_accepted(p->loop, fd, head_limit(p), &f->owner);
	ht_conn_share(f->conn, p->link);
	ht_conn_expect(f->conn, ba_loop_now(p->loop) + idle_timeout(f));
}

static void on_begun(struct ht_owner *o, struct ht_conn *c)
{
	struct px_front *f = (struct px_front *)o;

	f->in_request = true;
	ht_conn_expect(c, ba_loop_now(f->p->loop) + header_timeout(f->p));
}

static void on_head(struct ht_owner *o, struct ht_conn *c)
{
	struct px_front *f = (struct px_front *)o;
	const struct ht_head *h = ht_conn_head(c);
	const char *expect = ht_head_get(h, "Expect");

	if (h->minor >= 1 && ht_head_count(h, "Host") != 1) {
		refuse(f, 400);
		return;
	}
	if (h->length > 0 && (uint64_t)h->length > body_limit(f->p)) {
		refuse(f, 413);
		return;
	}
	if (expect && !strcasecmp(expect, "100-continue")) {
		static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";

		ht_conn_write(c, go_on, sizeof(go_on) - 1);
		ht_conn_flush(c);
	}
	ht_conn_expect(c, ba_loop_now(f->p->loop) + idle_timeout(f));
}

static void on_body(struct ht_owner *o, struct ht_conn *c, const void *data,
		    size_t len)
{
	struct px_front *f = (struct px_front *)o;

	if (f->body.len + len > body_limit(f->p)) {
		refuse(f, 413);
		return;
	}
	ba_buf_add(&f->body, data, len);
	ht_conn_expect(c, ba_loop_now(f->p->loop) + idle_timeout(f));
}

static void on_whole(struct ht_owner *o, struct ht_conn *c)
{
	ht_conn_expect(c, BA_NEVER);
	px_exchange_begin((struct px_front *)o);
}

/* The answer goes on as fast as the caller takes it. */
static void on_drained(struct ht_owner *o, struct ht_conn *c)
{
	struct px_front *f = (struct px_front *)o;

	(void)c;
	if (f->exchange && f->exchange->conn)
		ht_conn_pause(f->exchange->conn, false);
}

static void on_ended(struct ht_owner *o, struct ht_conn *c, enum ht_end why)
{
	struct px_front *f = (struct px_front *)o;
	struct px_exchange *x = f->exchange;
	int status = why == HT_END_GARBAGE ? 400
		     : why == HT_END_HEAD  ? 431
		     : why == HT_END_LATE  ? 408
					   : 0;

	f->exchange = NULL;
	if (x)
		px_exchange_gone(x);
	else if (status && f->in_request) {
		px_compose_plain(status, ht_conn_out(c));
		ht_conn_finish(c);
	}
	forget(f);
}

/* What is left of the request is not read. */
static void refuse(struct px_front *f, int status)
{
	struct ht_conn *c = f->conn;

	px_compose_plain(status, ht_conn_out(c));
	forget(f);
	ht_conn_finish(c);
}

static void forget(struct px_front *f)
{
	ba_list_remove(&f->link);
	ba_buf_free(&f->body);
	g_free(f);
}

static size_t head_limit(const struct px *p)
{
	uint32_t set = p->snapshot ? p->snapshot->limits.max_header_bytes : 0;

	return set ? set : PX_HEAD_LIMIT_BYTES;
}

static uint64_t body_limit(const struct px *p)
{
	uint64_t set = p->snapshot ? p->snapshot->limits.max_body_bytes : 0;

	return set ? set : PX_BODY_LIMIT_BYTES;
}

static ba_time header_timeout(const struct px *p)
{
	ba_time set = p->snapshot ? p->snapshot->limits.header_timeout : 0;

	return set ? set : PX_HEADER_TIMEOUT;
}

/* Other proxies close what they do not use; this end waits for longer. */
static ba_time idle_timeout(const struct px_front *f)
{
	const struct px *p = f->p;
	ba_time set = p->snapshot ? p->snapshot->limits.idle_timeout : 0;

	if (f->from_peer)
		return PX_PEER_KEEP;
	return set ? set : PX_IDLE_TIMEOUT;
}
