#include <stdlib.h>
#include <string.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "proxy/px_internal.h"
#include "report/rt.h"

static void send_over(struct px_exchange *x, struct ht_pool *pool,
		      enum px_place place);
static struct ht_pool *peer_pool(struct px *p, const char *address);
static void on_head(struct ht_owner *o, struct ht_conn *c);
static void on_body(struct ht_owner *o, struct ht_conn *c, const void *data,
		    size_t len);
static void on_whole(struct ht_owner *o, struct ht_conn *c);
static void on_ended(struct ht_owner *o, struct ht_conn *c, enum ht_end why);
static int not_run_code(const struct px_exchange *x, const struct ht_head *h,
			const struct px_answer *said);
static void take_load(struct px_exchange *x, const struct ht_head *h);
static void release(struct px_exchange *x);
static void begin_answer(struct px_exchange *x);
static void pass_held(struct px_exchange *x);
static void finish(struct px_exchange *x);

void px_upstream_backend(struct px_exchange *x)
{
	if (!px_gate_open(x->p, x->service)) {
		px_exchange_not_run(x, CL_NO_ENDPOINT);
		return;
	}
	send_over(x, x->p->gate.pool, PX_AT_BACKEND);
}

void px_upstream_peer(struct px_exchange *x)
{
	struct ht_pool *pool = peer_pool(x->p, x->endpoint->address);

	if (!pool) {
		px_exchange_not_run(x, CL_BACKEND_UNREACHABLE);
		return;
	}
	send_over(x, pool, PX_AT_PEER);
}

static void send_over(struct px_exchange *x, struct ht_pool *pool,
		      enum px_place place)
{
	ba_time now = ba_loop_now(x->p->loop);

	x->up.head = on_head;
	x->up.body = on_body;
	x->up.whole = on_whole;
	x->up.ended = on_ended;
	x->place = place;
	x->pool = pool;
	x->not_run = 0;
	x->status = 0;
	x->answer_bytes = 0;
	x->runs++;
	x->conn = ht_pool_take(pool, &x->up, &x->fresh);
	if (x->fresh)
		ht_conn_expect(x->conn, now + PX_CONNECT_TIMEOUT);
	if (!strcmp(ht_conn_head(x->front->conn)->method, "HEAD"))
		ht_conn_no_body(x->conn);
	if (place == PX_AT_PEER)
		ht_conn_share(x->conn, x->p->link);
	px_compose_request(x, place == PX_AT_BACKEND, ht_conn_out(x->conn));
	ht_conn_flush(x->conn);
}

static struct ht_pool *peer_pool(struct px *p, const char *address)
{
	struct ht_pool *pool = g_hash_table_lookup(p->pools, address);
	struct ht_pool_options o = {
		.idle = PX_PEER_IDLE,
		.most = PX_PEER_IDLE_MOST,
		.head_limit = PX_HEAD_LIMIT_BYTES,
	};

	if (pool)
		return pool;
	if (ba_parse_address(address, &o.to))
		return NULL;
	pool = ht_pool_new(p->loop, &o);
	g_hash_table_insert(p->pools, g_strdup(address), pool);
	return pool;
}

/* An answer that names another request belongs to that one. */
static void on_head(struct ht_owner *o, struct ht_conn *c)
{
	struct px_exchange *x = ba_entry(o, struct px_exchange, up);
	const struct ht_head *h = ht_conn_head(c);
	struct px_answer said;

	x->p->dialect->read_answer(h, &said);
	if (said.id && *x->id && strcmp(said.id, x->id) != 0) {
		px_exchange_broken(x, CL_ANSWER_BROKEN);
		return;
	}
	if (x->place == PX_AT_PEER)
		take_load(x, h);
	x->status = h->status;
	x->length = h->length;
	x->not_run = not_run_code(x, h, &said);
}

static void on_body(struct ht_owner *o, struct ht_conn *c, const void *data,
		    size_t len)
{
	struct px_exchange *x = ba_entry(o, struct px_exchange, up);

	if (x->not_run)
		return;
	x->answer_bytes += len;
	ba_buf_add(&x->held, data, len);
	if (!x->answering && x->held.len < PX_HOLD_BYTES &&
	    !x->front->from_peer)
		return;
	begin_answer(x);
	pass_held(x);
	if (ht_conn_out(x->front->conn)->len > PX_STREAM_BYTES)
		ht_conn_pause(c, true);
}

static void on_whole(struct ht_owner *o, struct ht_conn *c)
{
	struct px_exchange *x = ba_entry(o, struct px_exchange, up);
	int not_run = x->not_run;

	(void)c;
	if (not_run) {
		x->runs--;
		release(x);
		px_exchange_not_run(x, not_run);
		return;
	}
	if (x->status >= 500 && !x->answering && px_exchange_failed(x))
		return;
	finish(x);
}

static void on_ended(struct ht_owner *o, struct ht_conn *c, enum ht_end why)
{
	struct px_exchange *x = ba_entry(o, struct px_exchange, up);
	bool sent = ht_conn_sent(c);

	x->conn = NULL;
	ba_event(CL_EV_MAY_HAVE_RUN,
		 "call=%s place=%d end=%d sent=%d fresh=%d status=%d", x->id,
		 (int)x->place, (int)why, (int)sent, (int)x->fresh, x->status);
	if (x->not_run || why == HT_END_CONNECT || !sent) {
		x->runs--;
		px_exchange_not_run(x, x->not_run ? x->not_run
						  : CL_BACKEND_UNREACHABLE);
		return;
	}
	px_exchange_broken(x, CL_ANSWER_BROKEN);
}

static int not_run_code(const struct px_exchange *x, const struct ht_head *h,
			const struct px_answer *said)
{
	const char *told;

	if (x->place == PX_AT_PEER) {
		told = ht_head_get(h, PX_NOT_RUN);
		return told ? atoi(told) : 0;
	}
	if (h->status == 421)
		return CL_NO_ENDPOINT;
	return said->not_run ? CL_SHED_BY_BACKEND : 0;
}

/* What it has besides the requests of this proxy. */
static void take_load(struct px_exchange *x, const struct ht_head *h)
{
	const char *told = ht_head_get(h, PX_LOAD);
	struct cl_endpoint *e = x->endpoint;
	uint32_t load;

	if (!told || !e)
		return;
	load = (uint32_t)strtoul(told, NULL, 10);
	cl_route_report(e, load > e->in_flight ? load - e->in_flight : 0,
			ba_loop_now(x->p->loop));
}

/* The connection can carry the next request. */
static void release(struct px_exchange *x)
{
	struct ht_conn *c = x->conn;

	x->conn = NULL;
	ht_pool_give(x->pool, c);
}

static void begin_answer(struct px_exchange *x)
{
	if (x->answering)
		return;
	x->answering = true;
	ht_conn_rank(x->front->conn, x->carried.rank);
	px_compose_answer(x, ht_conn_head(x->conn),
			  ht_conn_out(x->front->conn));
}

static void pass_held(struct px_exchange *x)
{
	struct ba_buf *out = ht_conn_out(x->front->conn);

	if (!x->held.len)
		return;
	if (x->chunked)
		ba_buf_addf(out, "%zx\r\n", x->held.len);
	ba_buf_add(out, x->held.data, x->held.len);
	if (x->chunked)
		ba_buf_addf(out, "\r\n");
	x->held.len = 0;
	ht_conn_flush(x->front->conn);
}

/* An answer that is here whole has a length, whatever it came with. */
static void finish(struct px_exchange *x)
{
	struct px_front *f = x->front;
	bool framed;

	if (!x->answering && x->length < 0)
		x->length = (int64_t)x->held.len;
	begin_answer(x);
	pass_held(x);
	if (x->chunked)
		ba_buf_addf(ht_conn_out(f->conn), "0\r\n\r\n");
	rt_count(RT_ANSWERED, 1);
	rt_latency(ba_loop_now(x->p->loop) - x->arrived);
	framed = x->chunked || x->bodyless || x->length >= 0;
	ba_event(CL_EV_ANSWERED, "call=%s service=%s status=%d took_us=%lld",
		 x->id, x->service, x->status,
		 (long long)(ba_loop_now(x->p->loop) - x->arrived));
	release(x);
	if (x->ticket.running)
		cl_wait_served(x->p->gate.wait, x->route,
			       ba_loop_now(x->p->loop) - x->ticket.started);
	px_exchange_leave(x, x->status >= 500 ? CL_SEEN_ERROR_ANSWER
					      : CL_SEEN_ANSWER);
	px_exchange_answered(x);
	px_exchange_end(x);
	if (!framed)
		ht_conn_head(f->conn)->last = true;
	px_front_done(f);
}
