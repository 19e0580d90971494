#include <string.h>
#include <strings.h>

#include <glib.h>

#include "base/ba_event.h"
#include "base/ba_list.h"
#include "call/cl.h"
#include "daemon/da_client.h"
#include "http/ht_pool.h"

#define CONNECT_TIMEOUT (300 * BA_MS)
#define MAX_IDLE_TIME (20 * BA_SECOND)

/*
 * @waiting: attempts that wait for a connection, in order of arrival
 * @n_active: attempts that have one
 * @start_timer: starts waiting attempts at the end of a loop iteration, when
 *	the connection of the last answer is idle again
 */
struct da_client {
	struct ba_loop *loop;
	struct ht_pool *pool;
	struct ba_address to;
	unsigned int connections;
	struct ba_list waiting;
	unsigned int n_active;
	struct ba_timer start_timer;
};

/*
 * @link: entry in the queue of waiting attempts
 * @conn: NULL while it waits, and once the answer is complete
 * @fresh: @conn was opened for this attempt
 * @may_resend: the request may be written again
 * @paused: the owner takes no more; what arrives meanwhile is @undelivered
 * @complete: the answer is complete
 */
struct transfer {
	struct da_fetch fetch;
	struct ht_conn_owner conn_owner;
	struct ba_list link;
	struct da_client *client;
	struct ht_conn *conn;
	const struct da_request *request;
	struct ba_timer deadline_timer;
	struct ba_buf undelivered;
	bool fresh;
	bool may_resend;
	bool paused;
	bool complete;
};

static void arm_start(struct da_client *c);
static void on_start(struct ba_timer *t, ba_time now);
static void start(struct transfer *f);
static void compose(const struct transfer *f, struct ba_buf *out);
static void on_head(struct ht_conn_owner *o, struct ht_conn *conn);
static void on_body(struct ht_conn_owner *o, struct ht_conn *conn,
		    const void *data, size_t len);
static void on_complete(struct ht_conn_owner *o, struct ht_conn *conn);
static void on_conn_ended(struct ht_conn_owner *o, struct ht_conn *conn,
			  enum ht_end why);
static void on_deadline(struct ba_timer *t, ba_time now);
static void release_conn(struct transfer *f, bool reuse);
static void finish(struct transfer *f, enum cl_attempt_result result,
		   bool written);
static void transfer_free(struct transfer *f);
static void consumed(struct da_fetch *fetch, size_t bytes);
static void cancel(struct da_fetch *fetch);

static const struct da_fetch_ops transfer_ops = {
	.consumed = consumed,
	.cancel = cancel,
};

struct da_client *da_client_new(struct ba_loop *loop,
				const struct ba_address *to,
				unsigned int connections)
{
	const struct ht_pool_options o = {
		.to = *to,
		.idle_timeout = MAX_IDLE_TIME,
		.max_idle = connections,
		.head_limit = CL_HEADER_LIMIT_BYTES,
	};
	struct da_client *c = g_new0(struct da_client, 1);

	c->loop = loop;
	c->pool = ht_pool_new(loop, &o);
	c->to = *to;
	c->connections = connections;
	c->start_timer.fire = on_start;
	ba_list_init(&c->waiting);
	return c;
}

void da_client_free(struct da_client *c)
{
	if (!c)
		return;
	ba_loop_disarm(c->loop, &c->start_timer);
	ht_pool_free(c->pool);
	g_free(c);
}

struct da_fetch *da_client_fetch(struct da_client *c,
				 const struct da_request *q,
				 struct da_fetch_owner *o)
{
	struct transfer *f = g_new0(struct transfer, 1);

	f->fetch.ops = &transfer_ops;
	f->fetch.owner = o;
	f->conn_owner.head = on_head;
	f->conn_owner.body = on_body;
	f->conn_owner.complete = on_complete;
	f->conn_owner.ended = on_conn_ended;
	f->client = c;
	f->request = q;
	f->may_resend = q->idempotent;
	f->deadline_timer.fire = on_deadline;
	ba_loop_arm(c->loop, &f->deadline_timer, q->deadline);
	ba_list_append(&c->waiting, &f->link);
	arm_start(c);
	return &f->fetch;
}

static void arm_start(struct da_client *c)
{
	if (!c->start_timer.slot && !ba_list_empty(&c->waiting) &&
	    c->n_active < c->connections)
		ba_loop_arm(c->loop, &c->start_timer, ba_loop_now(c->loop));
}

static void on_start(struct ba_timer *t, ba_time now)
{
	struct da_client *c = ba_entry(t, struct da_client, start_timer);

	(void)now;
	while (!ba_list_empty(&c->waiting) && c->n_active < c->connections) {
		struct transfer *f =
			ba_entry(c->waiting.next, struct transfer, link);

		ba_list_remove(&f->link);
		ba_list_init(&f->link);
		c->n_active++;
		start(f);
	}
}

static void start(struct transfer *f)
{
	struct da_client *c = f->client;

	f->conn = ht_pool_take(c->pool, &f->conn_owner, &f->fresh);
	if (f->fresh)
		ht_conn_set_deadline(f->conn,
				     ba_loop_now(c->loop) + CONNECT_TIMEOUT);
	if (!strcmp(f->request->method, "HEAD"))
		ht_conn_expect_no_body(f->conn);
	compose(f, ht_conn_out(f->conn));
	ht_conn_flush(f->conn);
}

static void compose(const struct transfer *f, struct ba_buf *out)
{
	const struct da_request *q = f->request;
	const struct da_headers *headers = q->headers;

	ba_buf_addf(out, "%s %s HTTP/1.1\r\n", q->method, q->target);
	if (!da_headers_get(headers, "Host"))
		ba_buf_addf(out, "Host: %s\r\n", f->client->to.text);
	for (size_t i = 0; i < headers->n; i++)
		ba_buf_addf(out, "%s: %s\r\n", headers->list[i].name,
			    headers->list[i].value);
	if (q->body_len ||
	    (strcmp(q->method, "GET") != 0 && strcmp(q->method, "HEAD") != 0))
		ba_buf_addf(out, "Content-Length: %zu\r\n", q->body_len);
	ba_buf_addf(out, "\r\n");
	ba_buf_add(out, q->body, q->body_len);
}

static void on_head(struct ht_conn_owner *o, struct ht_conn *conn)
{
	struct transfer *f = ba_entry(o, struct transfer, conn_owner);
	struct da_fetch_owner *owner = f->fetch.owner;
	const struct ht_head *h = ht_conn_head(conn);

	f->may_resend = false;
	for (size_t i = 0; i < h->n_fields; i++)
		if (!ht_head_is_hop_by_hop(h, i) &&
		    !da_header_is_hop_by_hop(ht_head_name(h, i)))
			owner->header(owner, ht_head_name(h, i),
				      ht_head_value(h, i));
	owner->head(owner, h->status, h->length);
}

static void on_body(struct ht_conn_owner *o, struct ht_conn *conn,
		    const void *data, size_t len)
{
	struct transfer *f = ba_entry(o, struct transfer, conn_owner);

	if (!f->paused && f->fetch.owner->data(f->fetch.owner, data, len))
		return;
	f->paused = true;
	ba_buf_add(&f->undelivered, data, len);
	ht_conn_pause(conn, true);
}

static void on_complete(struct ht_conn_owner *o, struct ht_conn *conn)
{
	struct transfer *f = ba_entry(o, struct transfer, conn_owner);

	(void)conn;
	f->complete = true;
	release_conn(f, true);
	if (!f->undelivered.len)
		finish(f, CL_ATTEMPT_ANSWERED, true);
}

static void on_conn_ended(struct ht_conn_owner *o, struct ht_conn *conn,
			  enum ht_end why)
{
	struct transfer *f = ba_entry(o, struct transfer, conn_owner);
	enum ht_flaw flaw = ht_conn_flaw(conn);
	bool written = ht_conn_has_sent(conn);
	bool lost = why == HT_END_CLOSED || why == HT_END_RESET;

	f->conn = NULL;
	if (flaw != HT_FLAW_NONE)
		ba_event(CL_EV_ANSWER_FLAWED, "call=%s flaw=%s status=%d",
			 f->request->call, ht_flaw_name(flaw),
			 ht_conn_head(conn)->status);
	if (!f->fresh && f->may_resend && lost && flaw == HT_FLAW_NONE) {
		start(f);
		return;
	}
	release_conn(f, false);
	finish(f, written ? CL_ATTEMPT_BROKEN : CL_ATTEMPT_UNREACHABLE,
	       written);
}

static void on_deadline(struct ba_timer *t, ba_time now)
{
	struct transfer *f = ba_entry(t, struct transfer, deadline_timer);
	bool written = f->complete || (f->conn && ht_conn_has_sent(f->conn));

	(void)now;
	if (!f->complete)
		release_conn(f, false);
	finish(f, written ? CL_ATTEMPT_TIMEOUT : CL_ATTEMPT_UNREACHABLE,
	       written);
}

/* Ends the use of a connection, if the attempt has got as far. */
static void release_conn(struct transfer *f, bool reuse)
{
	struct da_client *c = f->client;
	struct ht_conn *conn = f->conn;

	if (!ba_list_empty(&f->link))
		return;
	f->conn = NULL;
	c->n_active--;
	arm_start(c);
	if (conn)
		ht_pool_give(reuse ? c->pool : NULL, conn);
}

static void finish(struct transfer *f, enum cl_attempt_result result,
		   bool written)
{
	struct da_fetch_owner *o = f->fetch.owner;
	const struct da_fetch_end end = {result, BA_OK, written};

	transfer_free(f);
	o->ended(o, &end);
}

static void transfer_free(struct transfer *f)
{
	ba_list_remove(&f->link);
	ba_loop_disarm(f->client->loop, &f->deadline_timer);
	ba_buf_free(&f->undelivered);
	g_free(f);
}

static void consumed(struct da_fetch *fetch, size_t bytes)
{
	struct transfer *f = (struct transfer *)fetch;

	(void)bytes;
	if (!f->paused ||
	    !f->fetch.owner->data(f->fetch.owner, f->undelivered.data,
				  f->undelivered.len))
		return;
	f->paused = false;
	f->undelivered.len = 0;
	if (f->complete)
		finish(f, CL_ATTEMPT_ANSWERED, true);
	else
		ht_conn_pause(f->conn, false);
}

static void cancel(struct da_fetch *fetch)
{
	struct transfer *f = (struct transfer *)fetch;

	if (!f->complete)
		release_conn(f, false);
	transfer_free(f);
}
