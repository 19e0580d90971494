#include <stdlib.h>
#include <string.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "proxy/px_internal.h"
#include "report/rt.h"

enum { BYTES_SHARE = 16 };

static struct px_exchange *exchange_new(struct px_front *f,
					const struct px_request *said);
static void begin_from_peer(struct px_exchange *x);
static void begin_from_caller(struct px_exchange *x, ba_time time_left);
static const struct cf_route *find_route(const struct px_exchange *x);
static void take_route(struct px_exchange *x, const struct cf_route *r,
		       ba_time time_left);
static struct px_seen *route_seen(struct px *p, const char *route);
static void *find_or_add(GHashTable *table, const char *name, size_t size);
static const char *choose_service(struct px_exchange *x,
				  const struct cf_route *r);
static struct px_split *split_of(struct px *p, const struct cf_route *r);
static void on_deadline(struct ba_timer *t, ba_time now);
static void refuse(struct px_exchange *x, int status, int code);
static void fail(struct px_exchange *x);
static bool may_repeat(struct px_exchange *x, int code);
static struct cl_retry *retry_of(struct px *p, const char *service);
static enum cl_seen seen_of(int code);

void px_exchange_begin(struct px_front *f)
{
	struct px_request said;
	struct px_exchange *x;

	f->p->dialect->read_request(ht_conn_head(f->conn), &said);
	x = exchange_new(f, &said);
	if (f->from_peer)
		begin_from_peer(x);
	else
		begin_from_caller(x, said.time_left);
}

void px_exchange_gone(struct px_exchange *x)
{
	x->front = NULL;
	px_exchange_leave(x, CL_SEEN_CANCELLED);
	px_exchange_end(x);
}

void px_exchange_attempt(struct px_exchange *x)
{
	struct px *p = x->p;
	ba_time now = ba_loop_now(p->loop);
	double bytes = px_exchange_bytes(x);
	bool heavy = bytes > PX_HEAVY_BYTES;
	const struct cl_pick_request q = {
		.service = x->service,
		.self_load = p->gate.admit ? cl_admit_load(p->gate.admit) : 0,
		.tried = x->tried,
		.n_tried = x->n_tried,
		.may_probe = x->idempotent,
		.heavy = heavy,
		.no_link = heavy && !cl_pace_open(&p->pace, now),
	};
	enum cl_route_reason reason = CL_ROUTE_NONE_LEFT;

	x->endpoint = NULL;
	if (now < x->deadline && x->n_tried < PX_TRIES_LIMIT)
		x->endpoint =
			cl_route_pick(p->router, &q, now, &p->rand, &reason);
	if (!x->endpoint) {
		if (!x->last_code)
			x->last_code = CL_NO_ENDPOINT;
		fail(x);
		return;
	}
	ba_event(CL_EV_ROUTED,
		 "call=%s route=%s priority=%u service=%s endpoint=%s "
		 "reason=%s in_flight=%u reported=%u left_us=%lld",
		 x->id, x->route, x->priority, x->service,
		 x->endpoint->instance, cl_route_reason_name(reason),
		 x->endpoint->in_flight, x->endpoint->reported,
		 (long long)(x->deadline - now));
	x->tried[x->n_tried++] = x->endpoint->id;
	x->last_try = x->n_tried == PX_TRIES_LIMIT;
	x->sent_at = now;
	x->paced = heavy && x->endpoint->tier == CL_TIER_LINK;
	if (x->paced)
		cl_pace_take(&p->pace, bytes);
	if (x->endpoint->tier == CL_TIER_SELF)
		px_gate_arrive(x);
	else
		px_upstream_peer(x);
}

double px_exchange_bytes(struct px_exchange *x)
{
	return x->route ? route_seen(x->p, x->route)->bytes : 0;
}

void px_exchange_not_run(struct px_exchange *x, int code)
{
	px_exchange_leave(x, seen_of(code));
	x->last_code = code;
	if (x->front->from_peer)
		refuse(x, 503, code);
	else if (code == CL_SHED_BY_BACKEND && !may_repeat(x, code))
		fail(x);
	else
		px_exchange_attempt(x);
}

void px_exchange_broken(struct px_exchange *x, int code)
{
	struct px_front *f = x->front;
	bool answering = x->answering;

	px_exchange_leave(x, CL_SEEN_BROKEN);
	x->last_code = code;
	if (f->from_peer || answering) {
		ba_event(CL_EV_MAY_HAVE_RUN, "call=%s code=%d answering=%d",
			 x->id, code, (int)answering);
		px_exchange_end(x);
		px_front_broken(f);
	} else if (may_repeat(x, code)) {
		px_exchange_attempt(x);
	} else {
		fail(x);
	}
}

bool px_exchange_failed(struct px_exchange *x)
{
	if (x->front->from_peer || !may_repeat(x, CL_ANSWER_BROKEN))
		return false;
	px_exchange_leave(x, CL_SEEN_ERROR_ANSWER);
	px_exchange_attempt(x);
	return true;
}

void px_exchange_give_up(struct px_exchange *x)
{
	if (x->answering) {
		px_exchange_broken(x, CL_CANCELLED);
		return;
	}
	px_exchange_leave(x, CL_SEEN_CANCELLED);
	x->last_code = CL_DRAINING;
	fail(x);
}

void px_exchange_end(struct px_exchange *x)
{
	ba_loop_disarm(x->p->loop, &x->timer);
	ba_list_remove(&x->link);
	x->p->n_exchanges--;
	cf_snapshot_unref(x->snapshot);
	g_free(x->caller);
	g_free(x->id);
	ba_buf_free(&x->held);
	g_free(x);
}

void px_exchange_leave(struct px_exchange *x, enum cl_seen seen)
{
	struct px *p = x->p;
	ba_time now = ba_loop_now(p->loop);
	struct cl_endpoint *e = x->endpoint;
	struct ht_conn *c = x->conn;
	bool ran = x->ticket.running;
	bool refused = seen == CL_SEEN_OVERLOADED || seen == CL_SEEN_DRAINING ||
		       seen == CL_SEEN_CANCELLED;

	x->conn = NULL;
	x->endpoint = NULL;
	x->place = PX_NOWHERE;
	x->not_run = 0;
	x->held.len = 0;
	if (c)
		ht_conn_abort(c);
	if (e && cl_route_done(p->router, e, seen, now - x->sent_at, now) !=
			 CL_ROUTE_UNCHANGED)
		ba_event(CL_EV_EJECTED, "service=%s seen=%s", x->service,
			 cl_seen_name(seen));
	if (x->paced && !refused)
		cl_pace_done(&p->pace, x->sent_at, seen == CL_SEEN_ANSWER, now);
	x->paced = false;
	cl_carry_end(&p->carry, &x->carried);
	cl_admit_leave(p->gate.admit, &x->ticket);
	if (!ran)
		return;
	cl_admit_done(p->gate.admit, &x->ticket,
		      seen == CL_SEEN_ANSWER ? CL_ADMIT_SERVED : CL_ADMIT_OTHER,
		      now);
	px_gate_next(p);
}

static struct px_exchange *exchange_new(struct px_front *f,
					const struct px_request *said)
{
	struct px_exchange *x = g_new0(struct px_exchange, 1);

	x->p = f->p;
	x->front = f;
	x->arrived = ba_loop_now(f->p->loop);
	x->id = g_strdup(said->id ? said->id : "");
	x->timer.fire = on_deadline;
	ba_list_init(&x->ticket.link);
	ba_list_append(&f->p->exchanges, &x->link);
	f->p->n_exchanges++;
	f->exchange = x;
	rt_count(RT_CALLS, 1);
	return x;
}

/* Another proxy has decided on the route; only the gate is left to pass. */
static void begin_from_peer(struct px_exchange *x)
{
	const struct ht_head *h = ht_conn_head(x->front->conn);
	const char *service = ht_head_get(h, PX_SERVICE);
	const char *caller = ht_head_get(h, PX_CALLER);
	const char *left = ht_head_get(h, PX_TIME_LEFT);
	const char *priority = ht_head_get(h, PX_PRIORITY);
	const char *target = ht_head_get(h, PX_TARGET_LEFT);

	if (!service || !caller || !left) {
		refuse(x, 400, CL_REQUEST_MALFORMED);
		return;
	}
	x->service = service;
	x->caller = g_strdup(caller);
	x->deadline = x->arrived + g_ascii_strtoll(left, NULL, 10);
	x->priority = priority ? (uint32_t)strtoul(priority, NULL, 10) : 0;
	x->route = ht_head_get(h, PX_ROUTE);
	x->last_try = ht_head_get(h, PX_LAST_TRY) != NULL;
	x->latency_target =
		target ? x->arrived + g_ascii_strtoll(target, NULL, 10)
		       : x->deadline;
	ba_loop_arm(x->p->loop, &x->timer, x->deadline);
	px_gate_arrive(x);
}

static void begin_from_caller(struct px_exchange *x, ba_time time_left)
{
	struct px *p = x->p;
	const struct cf_route *r;

	if (!p->snapshot || p->closed) {
		refuse(x, 503, p->closed ? CL_DRAINING : CL_NOT_CONFIGURED);
		return;
	}
	x->snapshot = cf_snapshot_ref(p->snapshot);
	r = find_route(x);
	if (!r) {
		refuse(x, 404, CL_NO_ROUTE);
		return;
	}
	take_route(x, r, time_left);
	ba_loop_arm(p->loop, &x->timer, x->deadline);
	px_exchange_attempt(x);
}

static const struct cf_route *find_route(const struct px_exchange *x)
{
	const struct ht_head *h = ht_conn_head(x->front->conn);
	const char *target = ht_head_target(h);
	const char *host = ht_head_get(h, "Host");
	char *name = host ? g_ascii_strdown(host, -1) : g_strdup("");
	const struct cf_route *r;

	name[strcspn(name, ":")] = '\0';
	r = cf_route_match(x->snapshot, name, h->method, target,
			   strcspn(target, "?#"));
	g_free(name);
	return r;
}

static void take_route(struct px_exchange *x, const struct cf_route *r,
		       ba_time left)
{
	struct px_seen *seen = route_seen(x->p, r->name);
	ba_time timeout = r->timeout ? r->timeout : PX_TIMEOUT_DEFAULT;
	ba_time spent;

	x->route = r->name;
	x->service = choose_service(x, r);
	x->caller = g_strdup(x->p->o.service);
	x->idempotent = r->idempotent || r->download;
	if (r->download && !seen->bytes)
		seen->bytes = 2 * PX_HEAVY_BYTES;
	x->most_runs = r->attempts ? r->attempts : PX_ATTEMPTS_DEFAULT;
	x->priority = r->priority;
	x->deadline = x->arrived + timeout;
	if (left >= 0 && left < timeout)
		x->deadline = x->arrived + left;
	x->latency_target = x->deadline;
	spent = left < 0 ? 0 : cl_patience_spent(&seen->patience, left);
	if (r->latency_target && r->latency_target < x->deadline - x->arrived)
		x->latency_target = x->arrived + r->latency_target - spent;
}

static struct px_seen *route_seen(struct px *p, const char *route)
{
	return find_or_add(p->seen, route, sizeof(struct px_seen));
}

/* What stands under @name in the table; zeroed when it is new. */
static void *find_or_add(GHashTable *table, const char *name, size_t size)
{
	void *known = g_hash_table_lookup(table, name);

	if (known)
		return known;
	known = g_malloc0(size);
	g_hash_table_insert(table, g_strdup(name), known);
	return known;
}

/*
 * Parts take turns by their weights, so that the shares hold over a few
 * requests already; a coin would need hundreds.
 */
static const char *choose_service(struct px_exchange *x,
				  const struct cf_route *r)
{
	const struct cf_snapshot *s = x->snapshot;
	struct px_split *split;
	double sum = 0;
	size_t best = 0;

	if (!r->n_parts)
		return s->services[r->service].name;
	split = split_of(x->p, r);
	for (size_t i = 0; i < r->n_parts; i++) {
		split->credit[i] += r->parts[i].weight;
		sum += r->parts[i].weight;
		if (split->credit[i] > split->credit[best])
			best = i;
	}
	split->credit[best] -= sum;
	return s->services[r->parts[best].service].name;
}

static struct px_split *split_of(struct px *p, const struct cf_route *r)
{
	struct px_split *s = g_hash_table_lookup(p->splits, r->name);
	double sum = 0;

	if (s && s->n == r->n_parts)
		return s;
	s = g_new0(struct px_split, 1);
	s->n = r->n_parts;
	s->credit = g_new0(double, s->n);
	for (size_t i = 0; i < s->n; i++)
		sum += r->parts[i].weight;
	/* Proxies that start together begin at different places. */
	for (size_t i = 0; i < s->n; i++)
		s->credit[i] =
			sum * (double)ba_rand_below(&p->rand, 1000) / 1000.0;
	g_hash_table_replace(p->splits, g_strdup(r->name), s);
	return s;
}

/* What has begun to go to the caller may go on for as long as it waits. */
static void on_deadline(struct ba_timer *t, ba_time now)
{
	struct px_exchange *x = ba_entry(t, struct px_exchange, timer);

	(void)now;
	if (x->answering)
		return;
	px_exchange_leave(x, CL_SEEN_TIMEOUT);
	x->last_code = CL_DEADLINE_EXPIRED;
	if (x->front->from_peer && !x->runs)
		refuse(x, 503, CL_DEADLINE_PASSED);
	else
		fail(x);
}

static void refuse(struct px_exchange *x, int status, int code)
{
	bool may_have_run = status == 502 || status == 504;
	struct px_front *f = x->front;

	ba_event(may_have_run ? CL_EV_MAY_HAVE_RUN : CL_EV_NOT_RUN,
		 "call=%s route=%s service=%s version=%llu code=%d status=%d "
		 "tried=%zu took_us=%lld",
		 x->id, x->route ? x->route : "", x->service ? x->service : "",
		 (unsigned long long)(x->snapshot ? x->snapshot->version : 0),
		 code, status, x->n_tried,
		 (long long)(ba_loop_now(x->p->loop) - x->arrived));
	rt_count(may_have_run ? RT_MAY_HAVE_RUN : RT_NOT_RUN, 1);
	px_compose_refusal(x, status, code, ht_conn_out(f->conn));
	px_exchange_end(x);
	px_front_done(f);
}

/* 503 only when no backend server can have begun to work on it. */
static void fail(struct px_exchange *x)
{
	bool late = ba_loop_now(x->p->loop) >= x->deadline;

	if (x->runs)
		refuse(x, late ? 504 : 502,
		       late ? CL_DEADLINE_EXPIRED : CL_MAY_HAVE_RUN);
	else
		refuse(x, 503, x->last_code);
}

static bool may_repeat(struct px_exchange *x, int code)
{
	const struct cl_failure f = {
		.code = code,
		.idempotent = x->idempotent,
		.attempts = x->runs,
		.deadline = x->deadline,
	};
	enum cl_retry_reason reason = CL_RETRY_REFUSED_ATTEMPTS;
	bool again = x->runs < x->most_runs &&
		     cl_retry_decide(retry_of(x->p, x->service), &f,
				     ba_loop_now(x->p->loop), &reason);

	rt_count(RT_RETRIED, again);
	ba_event(CL_EV_RETRIED, "call=%s service=%s code=%d again=%d reason=%s",
		 x->id, x->service, code, (int)again,
		 cl_retry_reason_name(reason));
	return again;
}

/*
 * Budgets begin empty and their greatest size is parted among the proxies, so
 * that all of them together stay within the allowance of a fleet.
 */
static struct cl_retry *retry_of(struct px *p, const char *service)
{
	return find_or_add(p->retries, service, sizeof(struct cl_retry));
}

void px_exchange_answered(struct px_exchange *x)
{
	struct px *p = x->p;
	struct cl_retry *r;
	struct px_seen *seen;
	double most = p->n_endpoints ? PX_RETRY_FLEET / p->n_endpoints : 1;

	if (!x->route)
		return;
	seen = route_seen(p, x->route);
	seen->bytes += ((double)x->answer_bytes - seen->bytes) / BYTES_SHARE;
	if (x->front->from_peer)
		return;
	r = retry_of(p, x->service);
	cl_retry_answered(r);
	if (r->tokens > MAX(most, 1))
		r->tokens = MAX(most, 1);
}

static enum cl_seen seen_of(int code)
{
	switch (code) {
	case CL_OVERLOADED:
	case CL_LINK_FULL:
	case CL_DEADLINE_PASSED:
		return CL_SEEN_OVERLOADED;
	case CL_SHED_BY_BACKEND:
		return CL_SEEN_ERROR_ANSWER;
	case CL_DRAINING:
		return CL_SEEN_DRAINING;
	case CL_NO_ENDPOINT:
	case CL_BACKEND_UNREACHABLE:
		return CL_SEEN_UNREACHABLE;
	default:
		return CL_SEEN_CANCELLED;
	}
}
