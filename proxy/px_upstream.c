#include <stdlib.h>
#include <string.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "call/cl_hold.h"
#include "proxy/px_internal.h"
#include "report/rt.h"

enum { STATUS_FIRST_ERROR = 400 };

/* A call that tells another proxy when this one leaves. */
struct notice {
	struct ht_conn_owner owner;
	struct ba_list link;
	struct ht_pool *pool;
	struct ht_conn *conn;
};

static void send_request(struct px_exchange *x, struct ht_pool *pool,
			 enum px_attempt_state state);
static void on_notice_complete(struct ht_conn_owner *o, struct ht_conn *c);
static void on_notice_ended(struct ht_conn_owner *o, struct ht_conn *c,
			    enum ht_end why);
static void notice_free(struct notice *n);
static struct ht_pool *find_peer_pool(struct px *p, const char *address);
static void write_body(struct px_exchange *x);
static size_t body_left(const struct px_exchange *x);
static void on_drained(struct ht_conn_owner *o, struct ht_conn *c);
static void on_head(struct ht_conn_owner *o, struct ht_conn *c);
static bool is_contradictory(const struct ht_head *h,
			     const struct px_answer_fields *ans);
static bool is_foreign(const struct px_exchange *x, const struct ht_head *h,
		       const struct px_answer_fields *ans);
static bool has_no_body(const struct px_exchange *x, const struct ht_head *h);
static void on_body(struct ht_conn_owner *o, struct ht_conn *c,
		    const void *data, size_t len);
static bool is_within(const struct px_exchange *x, size_t limit);
static size_t hold_limit(const struct px_exchange *x);
static void on_complete(struct ht_conn_owner *o, struct ht_conn *c);
static void on_ended(struct ht_conn_owner *o, struct ht_conn *c,
		     enum ht_end why);
static void tell_loss(struct px_exchange *x, const struct ht_conn *c,
		      enum ht_end why, bool sent);
static int read_not_run_code(const struct px_exchange *x,
			     const struct ht_head *h,
			     const struct px_answer_fields *ans);
static bool cannot_have_run(const struct px_exchange *x,
			    const struct ht_conn *c);
static void record_load(struct px_exchange *x, const struct ht_head *h);
static void release_conn(struct px_exchange *x);
static void begin_answer(struct px_exchange *x);
static void forward_buffered(struct px_exchange *x);
static void finish_answer(struct px_exchange *x);

void px_upstream_send_backend(struct px_exchange *x)
{
	if (!px_backend_accepts(x->p, x->service)) {
		px_exchange_on_not_run(x, CL_NO_ENDPOINT);
		return;
	}
	send_request(x, x->p->backend.pool, PX_ATTEMPT_AT_BACKEND);
}

void px_upstream_send_peer(struct px_exchange *x)
{
	struct ht_pool *pool = find_peer_pool(x->p, x->endpoint->address);

	if (!pool) {
		px_exchange_on_not_run(x, CL_BACKEND_UNREACHABLE);
		return;
	}
	send_request(x, pool, PX_ATTEMPT_AT_PEER);
}

void px_upstream_take_back(struct px_exchange *x)
{
	if (x->conn && cannot_have_run(x, x->conn))
		x->runs--;
}

/* The answer is of no interest: the notice is a hint. */
void px_upstream_announce_leaving(struct px_exchange *x)
{
	struct px *p = x->p;
	ba_time now = ba_loop_now(p->loop);
	struct notice *n = g_new0(struct notice, 1);
	bool fresh;

	n->owner.complete = on_notice_complete;
	n->owner.ended = on_notice_ended;
	n->pool = x->pool;
	ba_list_append(&p->notices, &n->link);
	n->conn = ht_pool_take(n->pool, &n->owner, &fresh);
	ht_conn_set_deadline(n->conn, now + PX_CONNECT_TIMEOUT);
	px_compose_notice(x, ht_conn_out(n->conn));
	ht_conn_flush(n->conn);
}

void px_upstream_end_notices(struct px *p)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_each_safe(pos, tmp, &p->notices)
	{
		struct notice *n = ba_entry(pos, struct notice, link);

		ht_conn_abort(n->conn);
		notice_free(n);
	}
}

static void on_notice_complete(struct ht_conn_owner *o, struct ht_conn *c)
{
	struct notice *n = (struct notice *)o;
	struct ht_pool *pool = n->pool;

	notice_free(n);
	ht_pool_give(pool, c);
}

static void on_notice_ended(struct ht_conn_owner *o, struct ht_conn *c,
			    enum ht_end why)
{
	(void)c;
	(void)why;
	notice_free((struct notice *)o);
}

static void notice_free(struct notice *n)
{
	ba_list_remove(&n->link);
	g_free(n);
}

static void send_request(struct px_exchange *x, struct ht_pool *pool,
			 enum px_attempt_state state)
{
	ba_time now = ba_loop_now(x->p->loop);

	x->upstream.head = on_head;
	x->upstream.body = on_body;
	x->upstream.complete = on_complete;
	x->upstream.drained = on_drained;
	x->upstream.ended = on_ended;
	x->state = state;
	x->pool = pool;
	x->not_run_code = 0;
	x->foreign = false;
	x->from_backend = false;
	x->unnamed = false;
	x->n_foreign = 0;
	x->status = 0;
	x->answer_bytes = 0;
	x->runs++;
	if (state == PX_ATTEMPT_AT_BACKEND) {
		x->backend_start = x->p->backend.start;
		x->backend_speed = x->p->backend.work.speed;
		x->p->backend.n_sent++;
	}
	x->conn = ht_pool_take(pool, &x->upstream, &x->fresh);
	if (x->fresh)
		ht_conn_set_deadline(x->conn, now + PX_CONNECT_TIMEOUT);
	if (!strcmp(ht_conn_head(x->downstream->conn)->method, "HEAD"))
		ht_conn_expect_no_body(x->conn);
	if (state == PX_ATTEMPT_AT_PEER)
		ht_conn_set_link(x->conn, x->p->link);
	px_compose_request(x, state == PX_ATTEMPT_AT_BACKEND,
			   ht_conn_out(x->conn));
	x->body_written = 0;
	x->body_pos = (struct ba_chain_pos){0};
	write_body(x);
}

/* Writes pieces until one has to wait; then on_drained() goes on. */
static void write_body(struct px_exchange *x)
{
	const struct ba_chain *body = &x->downstream->body;
	size_t piece = ba_account_is_tight(x->p->memory) ? PX_OUT_TIGHT_BYTES
							 : PX_BODY_PIECE_BYTES;
	struct ht_conn *c = x->conn;
	const uint8_t *data;
	size_t len;

	do {
		size_t left = piece;

		while (left &&
		       (len = ba_chain_read(body, &x->body_pos, left, &data))) {
			ht_conn_write(c, data, len);
			x->body_written += len;
			left -= len;
		}
		ht_conn_set_to_come(c, body_left(x));
		ht_conn_flush(c);
	} while (body_left(x) && ht_conn_has_sent_all(c));
}

static size_t body_left(const struct px_exchange *x)
{
	return x->downstream ? x->downstream->body.len - x->body_written : 0;
}

static void on_drained(struct ht_conn_owner *o, struct ht_conn *c)
{
	struct px_exchange *x = ba_entry(o, struct px_exchange, upstream);

	if (body_left(x) && ht_conn_has_sent_all(c))
		write_body(x);
}

static struct ht_pool *find_peer_pool(struct px *p, const char *address)
{
	struct ht_pool *pool = g_hash_table_lookup(p->peer_pools, address);
	struct ht_pool_options o = {
		.idle_timeout = PX_PEER_POOL_IDLE_TIMEOUT,
		.max_idle = PX_PEER_POOL_MAX_IDLE,
		.head_limit = PX_HEAD_LIMIT_BYTES,
		.account = p->memory,
	};

	if (pool)
		return pool;
	if (ba_parse_address(address, &o.to))
		return NULL;
	pool = ht_pool_new(p->loop, &o);
	g_hash_table_insert(p->peer_pools, g_strdup(address), pool);
	return pool;
}

/*
 * An answer that names another attempt is not an answer to this request.  On a
 * connection that served others before, it is a late copy of an answer to one
 * of them, and the answer to this request follows.
 */
static void on_head(struct ht_conn_owner *o, struct ht_conn *c)
{
	struct px_exchange *x = ba_entry(o, struct px_exchange, upstream);
	const struct ht_head *h = ht_conn_head(c);
	struct px_answer_fields ans;

	x->p->dialect->read_answer(h, &ans);
	x->foreign = is_foreign(x, h, &ans);
	if (is_contradictory(h, &ans)) {
		ba_event(CL_EV_ANSWER_FLAWED,
			 "call=%s service=%s place=%d flaw=contradictory "
			 "status=%d answer=%s",
			 x->id, x->service, (int)x->state, h->status,
			 ans.id ? ans.id : "");
		px_exchange_on_broken(x, CL_ANSWER_BROKEN);
		return;
	}
	if (x->foreign) {
		ba_event(CL_EV_FOREIGN_ANSWER, "call=%s answer=%s fresh=%d",
			 x->id, ans.id ? ans.id : "", (int)x->fresh);
		if (x->fresh || ++x->n_foreign > PX_FOREIGN_ANSWERS_LIMIT)
			px_exchange_on_broken(x, CL_ANSWER_BROKEN);
		return;
	}
	if (x->state == PX_ATTEMPT_AT_PEER) {
		record_load(x, h);
		px_work_on_told(x, h);
		px_note_version(x->p, h);
		px_limit_on_stated(x, h);
	} else {
		x->p->backend.echoes_ids |= ans.id != NULL;
		x->unnamed = !ans.id;
		if (x->fresh)
			px_poison_on_opened(x);
		px_limit_on_answer(x, &ans.statement);
		px_work_on_answer(x, &ans.load);
	}
	x->status = h->status;
	x->length = h->length;
	x->no_body = has_no_body(x, h);
	x->not_run_code = read_not_run_code(x, h, &ans);
	if (x->not_run_code && x->state == PX_ATTEMPT_AT_BACKEND)
		x->p->backend.names_refusals |= ans.id != NULL;
	x->from_backend = !x->not_run_code &&
			  (x->state == PX_ATTEMPT_AT_BACKEND || ans.id);
}

/* Whose an answer is, and whether the request ran, must be clear. */
static bool is_contradictory(const struct ht_head *h,
			     const struct px_answer_fields *ans)
{
	return ans->names_several ||
	       (ans->not_run && h->status < STATUS_FIRST_ERROR);
}

/*
 * A backend server that names requests does so in each answer; some do not in
 * rejections.  Without that, bytes on a connection in use again belong to no
 * request.  Where no rejection is named, one on such a connection is no late
 * copy, as on_complete() gives a connection back only after answers that name a
 * request.
 */
static bool is_foreign(const struct px_exchange *x, const struct ht_head *h,
		       const struct px_answer_fields *ans)
{
	const struct px_backend *be = &x->p->backend;

	if (ans->id)
		return strcmp(ans->id, x->id) != 0 && (*x->id || !x->fresh);
	if (x->fresh || !*x->id || x->state != PX_ATTEMPT_AT_BACKEND)
		return false;
	return read_not_run_code(x, h, ans) ? be->names_refusals
					    : be->echoes_ids;
}

static bool has_no_body(const struct px_exchange *x, const struct ht_head *h)
{
	const char *method = ht_conn_head(x->downstream->conn)->method;

	return !strcmp(method, "HEAD") || h->status == 204 || h->status == 304;
}

static void on_body(struct ht_conn_owner *o, struct ht_conn *c,
		    const void *data, size_t len)
{
	struct px_exchange *x = ba_entry(o, struct px_exchange, upstream);
	size_t limit = hold_limit(x);

	if (x->not_run_code || x->foreign)
		return;
	x->answer_bytes += len;
	ba_buf_add(&x->buffered, data, len);
	ba_charge_set(&x->buffered_charge, x->buffered.alloc);
	if (!x->answering && is_within(x, limit)) {
		if (!x->answering_at && !is_within(x, CL_HOLD_BYTES))
			x->answering_at = ba_loop_now(x->p->loop);
		return;
	}
	begin_answer(x);
	forward_buffered(x);
	if (ht_conn_out(x->downstream->conn)->len > px_crowd_high_water(x->p))
		ht_conn_pause(c, true);
}

static bool is_within(const struct px_exchange *x, size_t limit)
{
	return x->buffered.len < limit && x->length <= (int64_t)limit;
}

static size_t hold_limit(const struct px_exchange *x)
{
	const struct px_downstream *d = x->downstream;
	const struct cl_hold hold = {
		.to_proxy = d->from_peer,
		.shared = d->is_behind || ht_conn_has_behind(d->conn),
		.memory_tight = ba_account_is_tight(x->p->memory),
	};

	return cl_hold_limit(&hold);
}

/*
 * A second copy of a rejection that names no request could not be told from a
 * rejection of the next one, so the connection is closed.
 */
static void on_complete(struct ht_conn_owner *o, struct ht_conn *c)
{
	struct px_exchange *x = ba_entry(o, struct px_exchange, upstream);
	int code = x->not_run_code;

	if (x->foreign) {
		ht_conn_skip_message(c);
		return;
	}
	if (code) {
		if (code == CL_REQUEST_CRASHES)
			px_poison_on_refusal(x);
		x->runs--;
		if (!x->unnamed)
			release_conn(x);
		px_exchange_on_not_run(x, code);
		return;
	}
	if (x->from_backend)
		px_poison_on_answered(x);
	if (x->status >= 500 && !x->answering && px_exchange_retry_error(x))
		return;
	finish_answer(x);
}

static void on_ended(struct ht_conn_owner *o, struct ht_conn *c,
		     enum ht_end why)
{
	struct px_exchange *x = ba_entry(o, struct px_exchange, upstream);
	bool sent = ht_conn_has_sent(c);
	bool not_passed_on = cannot_have_run(x, c);

	x->conn = NULL;
	/* A refusal that was cut off is believed, one that is none is not. */
	if (why == HT_END_MALFORMED || why == HT_END_HEAD_TOO_LARGE)
		x->not_run_code = 0;
	if (ht_conn_flaw(c) != HT_FLAW_NONE)
		ba_event(CL_EV_ANSWER_FLAWED,
			 "call=%s service=%s place=%d flaw=%s status=%d", x->id,
			 x->service, (int)x->state,
			 ht_flaw_name(ht_conn_flaw(c)), x->status);
	ba_event(CL_EV_MAY_HAVE_RUN,
		 "call=%s place=%d end=%d sent=%d fresh=%d status=%d "
		 "request=%016llx",
		 x->id, (int)x->state, (int)why, (int)sent, (int)x->fresh,
		 x->status, (unsigned long long)x->digest);
	if (x->state == PX_ATTEMPT_AT_BACKEND)
		tell_loss(x, c, why, sent);
	if (x->not_run_code || why == HT_END_CONNECT_FAILED || not_passed_on) {
		x->runs--;
		px_exchange_on_not_run(x, x->not_run_code
						  ? x->not_run_code
						  : CL_BACKEND_UNREACHABLE);
		return;
	}
	px_exchange_on_broken(x, CL_ANSWER_BROKEN);
}

/*
 * Another proxy passes on whole requests only, and has no answer of a backend
 * server before.  What was passed on of an answer can't be taken back.
 */
static bool cannot_have_run(const struct px_exchange *x,
			    const struct ht_conn *c)
{
	if (x->answering)
		return false;
	return !ht_conn_has_sent(c) ||
	       (x->state == PX_ATTEMPT_AT_PEER && !x->from_backend &&
		(!ht_conn_has_sent_all(c) || body_left(x)));
}

/* What the backend server has not run was not running when it crashed. */
static void tell_loss(struct px_exchange *x, const struct ht_conn *c,
		      enum ht_end why, bool sent)
{
	if (why == HT_END_CONNECT_FAILED && ht_conn_was_refused(c))
		px_poison_on_refused(x->p);
	else if (sent && !x->not_run_code &&
		 (why == HT_END_CLOSED || why == HT_END_RESET))
		px_poison_on_lost(x);
}

static int read_not_run_code(const struct px_exchange *x,
			     const struct ht_head *h,
			     const struct px_answer_fields *ans)
{
	const char *value;

	if (x->state == PX_ATTEMPT_AT_PEER) {
		value = ht_head_get(h, PX_FIELD_NOT_RUN);
		return value ? atoi(value) : 0;
	}
	/* Misdirected Request: it was not for this backend server. */
	if (h->status == 421)
		return CL_NO_ENDPOINT;
	return ans->not_run ? CL_SHED_BY_BACKEND : 0;
}

/*
 * Reports the endpoint's load without the requests of this proxy, which the
 * router counts itself.
 */
static void record_load(struct px_exchange *x, const struct ht_head *h)
{
	const char *value = ht_head_get(h, PX_FIELD_LOAD);
	struct cl_endpoint *e = x->endpoint;
	uint32_t load;

	if (!value || !e)
		return;
	load = (uint32_t)strtoul(value, NULL, 10);
	cl_route_record_load(e, load > e->in_flight ? load - e->in_flight : 0,
			     ba_loop_now(x->p->loop));
}

/*
 * Returns the connection to its pool for the next request.  It is closed if the
 * answer came before the whole request was written.
 */
static void release_conn(struct px_exchange *x)
{
	struct ht_conn *c = x->conn;

	x->conn = NULL;
	ht_pool_give(body_left(x) ? NULL : x->pool, c);
}

static void begin_answer(struct px_exchange *x)
{
	if (x->answering)
		return;
	x->answering = true;
	if (!x->answering_at)
		x->answering_at = ba_loop_now(x->p->loop);
	ht_conn_set_rank(x->downstream->conn, x->reservation.rank,
			 x->reservation.rank == CL_EGRESS_IN_TIME
				 ? x->latency_target
				 : 0);
	ht_conn_set_expiry(x->downstream->conn, x->leaves_at);
	px_compose_answer_head(x, ht_conn_head(x->conn),
			       ht_conn_out(x->downstream->conn));
}

static void forward_buffered(struct px_exchange *x)
{
	struct ba_buf *out = ht_conn_out(x->downstream->conn);
	double bytes = x->length >= 0 ? (double)x->length
				      : px_exchange_expected_bytes(x);
	double to_come = bytes - (double)x->answer_bytes;

	if (!x->buffered.len)
		return;
	if (x->chunked)
		ba_buf_addf(out, "%zx\r\n", x->buffered.len);
	ba_buf_add(out, x->buffered.data, x->buffered.len);
	if (x->chunked)
		ba_buf_addf(out, "\r\n");
	x->buffered.len = 0;
	if (ba_account_is_tight(x->p->memory)) {
		ba_buf_free(&x->buffered);
		ba_charge_set(&x->buffered_charge, 0);
	}
	ht_conn_set_to_come(x->downstream->conn,
			    to_come > 0 ? (size_t)to_come : 0);
	ht_conn_flush(x->downstream->conn);
}

/*
 * Delivers the rest of the answer.  If nothing of it was sent yet, its length
 * is known even if it came without Content-Length; not that of the body which
 * GET would get, if the answer has none.
 */
static void finish_answer(struct px_exchange *x)
{
	struct px_downstream *d = x->downstream;
	bool framed;

	if (!x->answering && x->length < 0 && !x->no_body)
		x->length = (int64_t)x->buffered.len;
	begin_answer(x);
	forward_buffered(x);
	ht_conn_set_to_come(d->conn, 0);
	if (x->chunked)
		ba_buf_addf(ht_conn_out(d->conn), "0\r\n\r\n");
	rt_count(RT_ANSWERED, 1);
	rt_record_latency(ba_loop_now(x->p->loop) - x->arrived_at);
	framed = x->chunked || x->no_body || x->length >= 0;
	ba_event(CL_EV_ANSWERED, "call=%s service=%s status=%d took_us=%lld",
		 x->id, x->service, x->status,
		 (long long)(ba_loop_now(x->p->loop) - x->arrived_at));
	release_conn(x);
	if (x->admission.running) {
		cl_sched_record(x->p->backend.sched, x->route,
				ba_loop_now(x->p->loop) - x->admission.started);
		px_work_record(x);
	}
	px_exchange_end_attempt(x, x->status >= 500 ? CL_ATTEMPT_ERROR_ANSWER
						    : CL_ATTEMPT_ANSWERED);
	px_exchange_record_answer(x);
	px_gate_on_accepted(x);
	px_downstream_note_answer(d, x);
	px_exchange_free(x);
	if (!framed)
		ht_conn_head(d->conn)->connection_close = true;
	px_downstream_finish_answer(d);
}
