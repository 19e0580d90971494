#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "call/cl_hold.h"
#include "proxy/px_internal.h"
#include "report/rt.h"

static void accept_conn(struct px *p, int fd, bool from_peer);
static struct px_downstream *downstream_new(struct px *p, bool from_peer);
static void on_begun(struct ht_conn_owner *o, struct ht_conn *c);
static void on_head(struct ht_conn_owner *o, struct ht_conn *c);
static void on_body(struct ht_conn_owner *o, struct ht_conn *c,
		    const void *data, size_t len);
static void on_complete(struct ht_conn_owner *o, struct ht_conn *c);
static void on_ahead(struct ht_conn_owner *o, struct ht_conn *c);
static void on_first(struct ht_conn_owner *o, struct ht_conn *c);
static bool lets_others_begin(const struct px_downstream *d);
static void on_drained(struct ht_conn_owner *o, struct ht_conn *c);
static void on_ended(struct ht_conn_owner *o, struct ht_conn *c,
		     enum ht_end why);
static void set_moved(struct px_downstream *d);
static void free_body(struct px_downstream *d);
static void refuse(struct px_downstream *d, int status);
static void cut_off(struct ht_conn *c);
static void log_cut_off(const struct px_downstream *d,
			const struct px_exchange *x);
static bool is_answering(const struct px_downstream *d, const char *id);
static void set_expiry(struct px_downstream *d, ba_time expiry);
static void end_noted_answer(struct px_downstream *d);
static void remove_downstream(struct px_downstream *d);
static size_t head_limit(const struct px_downstream *d);
static uint64_t body_limit(const struct px_downstream *d);
static ba_time header_timeout(const struct px *p);
static ba_time idle_timeout(const struct px_downstream *d);

void px_downstream_accept_caller(struct ht_acceptor *a, int fd)
{
	accept_conn(ba_entry(a, struct px, caller_acceptor), fd, false);
}

void px_downstream_accept_peer(struct ht_acceptor *a, int fd)
{
	accept_conn(ba_entry(a, struct px, peer_acceptor), fd, true);
}

void px_downstream_note_answer(struct px_downstream *d,
			       const struct px_exchange *x)
{
	g_free(d->answer_id);
	d->answer_id = g_strdup(x->id);
	d->answered_at = ba_loop_now(d->p->loop);
}

void px_downstream_finish_answer(struct px_downstream *d)
{
	struct ht_conn *c = d->conn;

	d->exchange = NULL;
	d->in_request = false;
	free_body(d);
	if (ht_conn_has_behind(c)) {
		/* What is left of the answer is sent by the one behind. */
		g_clear_pointer(&d->answer_id, g_free);
		remove_downstream(d);
		ht_conn_hand_over(c);
		return;
	}
	if (px_downstream_closes(d)) {
		/* The connection, which has no owner from now on, sends it. */
		g_clear_pointer(&d->answer_id, g_free);
		remove_downstream(d);
		ht_conn_close_after_flush(c);
		return;
	}
	ht_conn_flush(d->conn);
	if (!ht_conn_out(d->conn)->len)
		g_clear_pointer(&d->answer_id, g_free);
	ht_conn_set_deadline(d->conn,
			     ba_loop_now(d->p->loop) + idle_timeout(d));
	ht_conn_read_next(d->conn);
}

bool px_downstream_closes(const struct px_downstream *d)
{
	if (ht_conn_has_behind(d->conn))
		return false;
	return ht_conn_head(d->conn)->connection_close ||
	       (d->p->stopping && !d->from_peer);
}

void px_downstream_on_leaving(struct px_downstream *d)
{
	static const char done[] = "HTTP/1.1 204 No Content\r\n\r\n";
	const struct ht_head *h = ht_conn_head(d->conn);
	const char *id = ht_head_get(h, PX_FIELD_LEAVING);
	const char *left = ht_head_get(h, PX_FIELD_LEAVES_LEFT);
	ba_time now = ba_loop_now(d->p->loop);
	struct ba_list *pos;

	ba_list_each(pos, &d->p->downstreams)
	{
		struct px_downstream *other =
			ba_entry(pos, struct px_downstream, link);

		if (left && other->from_peer && is_answering(other, id))
			set_expiry(other, now + px_read_duration(left));
	}
	ht_conn_write(d->conn, done, sizeof(done) - 1);
	px_downstream_finish_answer(d);
}

void px_downstream_abort(struct px_downstream *d)
{
	struct ht_conn *c = d->conn;

	d->exchange = NULL;
	remove_downstream(d);
	cut_off(c);
}

void px_downstream_free(struct px_downstream *d)
{
	struct px_exchange *x = d->exchange;

	d->exchange = NULL;
	if (x) {
		log_cut_off(d, x);
		px_exchange_cancel(x);
		cut_off(d->conn);
	} else {
		ht_conn_abort(d->conn);
	}
	remove_downstream(d);
}

static void accept_conn(struct px *p, int fd, bool from_peer)
{
	struct px_downstream *d;

	if (!px_crowd_admit(p, from_peer)) {
		close(fd);
		return;
	}
	d = downstream_new(p, from_peer);
	d->conn = ht_conn_serve(p->loop, fd, head_limit(d), &d->owner);
	ht_conn_set_link(d->conn, p->link);
	ht_conn_set_account(d->conn, p->memory);
	ht_conn_set_deadline(d->conn, ba_loop_now(p->loop) + idle_timeout(d));
}

static struct px_downstream *downstream_new(struct px *p, bool from_peer)
{
	struct px_downstream *d = g_new0(struct px_downstream, 1);

	d->p = p;
	d->from_peer = from_peer;
	d->owner.begun = on_begun;
	d->owner.head = on_head;
	d->owner.body = on_body;
	d->owner.complete = on_complete;
	d->owner.ahead = on_ahead;
	d->owner.first = on_first;
	d->owner.drained = on_drained;
	d->owner.ended = on_ended;
	d->moved_at = ba_loop_now(p->loop);
	d->body_charge.account = p->memory;
	ba_list_append(&p->downstreams, &d->link);
	p->crowd.n_conns[from_peer]++;
	return d;
}

static void on_begun(struct ht_conn_owner *o, struct ht_conn *c)
{
	struct px_downstream *d = (struct px_downstream *)o;

	d->in_request = true;
	d->begun_at = ht_conn_begun_at(c);
	set_moved(d);
	px_crowd_watch(d->p);
	ht_conn_set_head_limit(c, head_limit(d));
	ht_conn_set_deadline(c, ba_loop_now(d->p->loop) + header_timeout(d->p));
}

static void on_head(struct ht_conn_owner *o, struct ht_conn *c)
{
	struct px_downstream *d = (struct px_downstream *)o;
	const struct ht_head *h = ht_conn_head(c);
	const char *expect = ht_head_get(h, "Expect");

	if (h->minor >= 1 && ht_head_count(h, "Host") != 1) {
		refuse(d, 400);
		return;
	}
	if (h->length > 0 && (uint64_t)h->length > body_limit(d)) {
		refuse(d, 413);
		return;
	}
	if (h->length > 0 && !px_crowd_reserve(d, (size_t)h->length)) {
		px_downstream_refuse_unread(d);
		return;
	}
	if (expect && !strcasecmp(expect, "100-continue")) {
		static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";

		ht_conn_write(c, interim, sizeof(interim) - 1);
		ht_conn_flush(c);
	}
	ht_conn_set_deadline(c, ba_loop_now(d->p->loop) + idle_timeout(d));
}

static void on_body(struct ht_conn_owner *o, struct ht_conn *c,
		    const void *data, size_t len)
{
	struct px_downstream *d = (struct px_downstream *)o;

	if (d->body.len + len > body_limit(d)) {
		refuse(d, 413);
		return;
	}
	ba_chain_add(&d->body, data, len);
	d->moved_at = ba_loop_now(d->p->loop);
	if (!px_crowd_grow(d)) {
		px_downstream_refuse_unread(d);
		return;
	}
	ht_conn_set_deadline(c, ba_loop_now(d->p->loop) + idle_timeout(d));
}

static void on_complete(struct ht_conn_owner *o, struct ht_conn *c)
{
	struct px_downstream *d = (struct px_downstream *)o;

	ht_conn_set_deadline(c, BA_NEVER);
	set_moved(d);
	px_crowd_unpause(d);
	px_crowd_watch(d->p);
	if (d->is_behind && !px_exchange_may_begin_behind(d))
		d->waits = true;
	else
		px_exchange_begin(d);
}

/* Begins the request that follows while that of @c is in progress. */
static void on_ahead(struct ht_conn_owner *o, struct ht_conn *c)
{
	struct px_downstream *d = (struct px_downstream *)o;
	struct px_downstream *b;

	if (!lets_others_begin(d))
		return;
	b = downstream_new(d->p, false);
	b->is_behind = true;
	b->conn = ht_conn_branch(c, &b->owner);
	ht_conn_set_link(b->conn, d->p->link);
	ht_conn_set_account(b->conn, d->p->memory);
	ht_conn_read_next(b->conn);
}

static void on_first(struct ht_conn_owner *o, struct ht_conn *c)
{
	struct px_downstream *d = (struct px_downstream *)o;
	ba_time now = ba_loop_now(d->p->loop);

	d->is_behind = false;
	if (d->waits) {
		d->waits = false;
		px_exchange_begin(d);
	} else if (!d->exchange) {
		ht_conn_set_deadline(c,
				     now + (d->in_request ? header_timeout(d->p)
							  : idle_timeout(d)));
	}
}

/*
 * Only what may run again lets others begin: if its answer is cut off, theirs
 * are lost too.  An answer that is usually sent on in pieces could be; a single
 * larger one is held, see call/cl_hold.h.
 */
static bool lets_others_begin(const struct px_downstream *d)
{
	const struct ht_head *h = ht_conn_head(d->conn);
	struct px_exchange *x = d->exchange;

	return x && x->idempotent && !d->from_peer && !d->p->stopping &&
	       h->minor >= 1 && !h->connection_close && !x->answering &&
	       ht_conn_count_front(d->conn) < PX_REQUESTS_BEHIND_LIMIT &&
	       px_exchange_expected_bytes(x) < CL_HOLD_BYTES;
}

/* Resumes reading the answer once the caller has taken what was written. */
static void on_drained(struct ht_conn_owner *o, struct ht_conn *c)
{
	struct px_downstream *d = (struct px_downstream *)o;

	(void)c;
	d->moved_at = ba_loop_now(d->p->loop);
	end_noted_answer(d);
	if (d->exchange && d->exchange->conn)
		ht_conn_pause(d->exchange->conn, false);
}

static void on_ended(struct ht_conn_owner *o, struct ht_conn *c,
		     enum ht_end why)
{
	struct px_downstream *d = (struct px_downstream *)o;
	struct px_exchange *x = d->exchange;
	int status = why == HT_END_MALFORMED	    ? 400
		     : why == HT_END_HEAD_TOO_LARGE ? 431
		     : why == HT_END_TIMEOUT	    ? 408
						    : 0;

	d->exchange = NULL;
	if (x && x->answering && d->from_peer)
		log_cut_off(d, x);
	if (x)
		px_exchange_cancel(x);
	else if (status && d->in_request) {
		px_compose_bodyless(status, ht_conn_out(c));
		ht_conn_close_after_flush(c);
	}
	remove_downstream(d);
}

/* Keeps the connections in the order in which something last came. */
static void set_moved(struct px_downstream *d)
{
	d->moved_at = ba_loop_now(d->p->loop);
	ba_list_remove(&d->link);
	ba_list_append(&d->p->downstreams, &d->link);
}

static void free_body(struct px_downstream *d)
{
	ba_chain_free(&d->body);
	ba_charge_set(&d->body_charge, 0);
}

/* Answers that the request was not run, for want of memory, and closes. */
void px_downstream_refuse_unread(struct px_downstream *d)
{
	struct ht_conn *c = d->conn;

	ba_event(CL_EV_NOT_RUN, "code=%d status=503 bodies=%llu length=%lld",
		 CL_OVERLOADED, (unsigned long long)d->p->memory->used,
		 (long long)ht_conn_head(c)->length);
	rt_count(RT_NOT_RUN, 1);
	rt_count(RT_BODIES_REFUSED, 1);
	ba_account_note(d->p->memory, BA_CROWD_REFUSED,
			ba_loop_now(d->p->loop));
	px_compose_unread(d, CL_OVERLOADED, ht_conn_out(c));
	remove_downstream(d);
	ht_conn_close_after_flush(c);
}

/* Answers @status and closes; the rest of the request is not read. */
static void refuse(struct px_downstream *d, int status)
{
	struct ht_conn *c = d->conn;

	px_compose_bodyless(status, ht_conn_out(c));
	remove_downstream(d);
	ht_conn_close_after_flush(c);
}

/* HTTP/1.0 has no chunks, so that an orderly close may end a body. */
static void cut_off(struct ht_conn *c)
{
	if (ht_conn_head(c)->minor)
		ht_conn_abort(c);
	else
		ht_conn_reset(c);
}

static void log_cut_off(const struct px_downstream *d,
			const struct px_exchange *x)
{
	ba_event(CL_EV_MAY_HAVE_RUN,
		 "call=%s place=%d answering=%d received=%llu length=%lld "
		 "unsent=%zu",
		 x->id, (int)x->state, (int)x->answering,
		 (unsigned long long)x->answer_bytes, (long long)x->length,
		 ht_conn_out(d->conn)->len);
}

/* Whether @id is in progress on @d, or its answer is not all sent. */
static bool is_answering(const struct px_downstream *d, const char *id)
{
	if (d->exchange)
		return !strcmp(d->exchange->id, id);
	return d->answer_id && !strcmp(d->answer_id, id);
}

static void set_expiry(struct px_downstream *d, ba_time expiry)
{
	if (d->exchange)
		d->exchange->leaves_at = expiry;
	ht_conn_set_expiry(d->conn, expiry);
}

/* Logs an answer whose last byte waited long, or was never sent. */
static void end_noted_answer(struct px_downstream *d)
{
	ba_time held = ba_loop_now(d->p->loop) - d->answered_at;
	size_t unsent = ht_conn_out(d->conn)->len;

	if (!d->answer_id)
		return;
	if (unsent || held >= PX_ANSWER_HELD_TIME)
		ba_event(CL_EV_ANSWER_HELD,
			 "call=%s held_us=%lld unsent=%zu from_peer=%d",
			 d->answer_id, (long long)held, unsent,
			 (int)d->from_peer);
	g_clear_pointer(&d->answer_id, g_free);
}

static void remove_downstream(struct px_downstream *d)
{
	end_noted_answer(d);
	px_crowd_leave(d);
	ba_list_remove(&d->link);
	free_body(d);
	g_free(d);
}

/*
 * The limits of the configuration are applied where a request enters.  The next
 * proxy gets it with more fields, and may have another version in force.
 */
static size_t head_limit(const struct px_downstream *d)
{
	const struct cf_snapshot *s = d->p->snapshot;
	size_t limit = s ? s->limits.max_header_bytes : 0;

	if (!limit)
		limit = PX_HEAD_LIMIT_BYTES;
	return d->from_peer ? limit + PX_HEAD_LIMIT_BYTES : limit;
}

static uint64_t body_limit(const struct px_downstream *d)
{
	const struct cf_snapshot *s = d->p->snapshot;
	uint64_t limit = s ? s->limits.max_body_bytes : 0;

	if (d->from_peer)
		return UINT64_MAX;
	return limit ? limit : PX_DEFAULT_BODY_LIMIT_BYTES;
}

static ba_time header_timeout(const struct px *p)
{
	ba_time timeout = p->snapshot ? p->snapshot->limits.header_timeout : 0;

	return timeout ? timeout : PX_DEFAULT_HEADER_TIMEOUT;
}

/*
 * A connection of another proxy is kept for longer than that proxy pools it,
 * so that it is the other proxy that closes an unused one.
 */
static ba_time idle_timeout(const struct px_downstream *d)
{
	const struct px *p = d->p;
	ba_time timeout = p->snapshot ? p->snapshot->limits.idle_timeout : 0;

	if (d->from_peer)
		return PX_PEER_IDLE_TIMEOUT;
	return timeout ? timeout : PX_DEFAULT_IDLE_TIMEOUT;
}
