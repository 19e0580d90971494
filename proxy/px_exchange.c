#include <stdlib.h>
#include <string.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "proxy/px_internal.h"
#include "report/rt.h"

static struct px_exchange *exchange_new(struct px_downstream *d,
					const struct px_caller_fields *request);
static void begin_from_peer(struct px_exchange *x);
static void begin_from_caller(struct px_exchange *x);
static void refuse_unknown(struct px_exchange *x, int status, int code);
static void hold_or_refuse(struct px_exchange *x, int code);
static const struct cf_route *find_route(const struct cf_snapshot *s,
					 const struct ht_head *h);
static void apply_route(struct px_exchange *x, const struct cf_route *r);
static void earn_retries(struct px_retry_budget *b);
static void *find_or_add(GHashTable *table, const char *name, size_t size);
static const char *choose_service(struct px_exchange *x,
				  const struct cf_route *r);
static struct cl_split *find_split(struct px_exchange *x,
				   const struct cf_route *r);
static void on_deadline(struct ba_timer *t, ba_time now);
static void limit_answer(struct px_exchange *x, ba_time now);
static void answer_error(struct px_exchange *x, int status, int code);
static void fail(struct px_exchange *x);
static bool may_retry(struct px_exchange *x, int code);
static bool caller_can_return(const struct px_exchange *x, ba_time now);
static struct px_retry_budget *find_retry_budget(struct px *p,
						 const char *service);
static enum cl_attempt_result result_from_code(int code);

void px_exchange_begin(struct px_downstream *d)
{
	struct px_caller_fields request;
	struct px_exchange *x;

	if (d->from_peer &&
	    ht_head_get(ht_conn_head(d->conn), PX_FIELD_LEAVING)) {
		px_downstream_on_leaving(d);
		return;
	}
	d->p->dialect->read_request(ht_conn_head(d->conn), &request);
	x = exchange_new(d, &request);
	if (d->from_peer)
		begin_from_peer(x);
	else
		begin_from_caller(x);
}

/*
 * What must not run twice waits, as the connection may be closed before it is
 * answered; the caller then takes it for not read and sends it again.
 */
bool px_exchange_may_begin_behind(const struct px_downstream *d)
{
	const struct ht_head *h = ht_conn_head(d->conn);
	const struct cf_route *r;

	if (!d->p->snapshot ||
	    (strcmp(h->method, "GET") != 0 && strcmp(h->method, "HEAD") != 0))
		return false;
	r = find_route(d->p->snapshot, h);
	return r && (r->idempotent || r->download);
}

/* A request may be held again, so those to try are marked first. */
void px_exchange_resume(struct px *p, enum px_attempt_state state)
{
	struct px_exchange *x;
	struct ba_list *pos;

	ba_list_each(pos, &p->exchanges)
	{
		x = ba_entry(pos, struct px_exchange, link);
		if (x->state == state)
			x->state = PX_ATTEMPT_RESUMED;
	}
	while ((x = px_exchange_find(p, PX_ATTEMPT_RESUMED))) {
		x->state = PX_ATTEMPT_NONE;
		begin_from_caller(x);
	}
}

struct px_exchange *px_exchange_find(struct px *p, enum px_attempt_state state)
{
	struct ba_list *pos;

	ba_list_each(pos, &p->exchanges)
	{
		struct px_exchange *x = ba_entry(pos, struct px_exchange, link);

		if (x->state == state)
			return x;
	}
	return NULL;
}

void px_exchange_cancel(struct px_exchange *x)
{
	x->downstream = NULL;
	px_exchange_end_attempt(x, CL_ATTEMPT_CANCELLED);
	px_exchange_free(x);
}

void px_exchange_attempt(struct px_exchange *x)
{
	struct px *p = x->p;
	ba_time now = ba_loop_now(p->loop);
	double bytes = px_exchange_expected_bytes(x);
	bool large = bytes > PX_LARGE_ANSWER_BYTES;
	struct cl_place_report self;
	bool states_work = px_work_now(p, &self);
	const struct cl_pick_request q = {
		.service = x->service,
		.self_load =
			p->backend.admit ? cl_admit_load(p->backend.admit) : 0,
		.self_room_at = px_backend_room_at(p),
		.target = x->latency_target,
		.self_work = states_work ? &self : NULL,
		.tried = x->tried,
		.n_tried = x->n_tried,
		.may_probe = x->idempotent,
		.large_answer = large,
		.no_link = large && !cl_pace_allows(&p->pace, now),
	};
	enum cl_route_reason reason = CL_ROUTE_NONE_LEFT;

	x->endpoint = NULL;
	if (px_poison_refuses(x)) {
		x->last_code = CL_REQUEST_CRASHES;
		fail(x);
		return;
	}
	if (now < x->deadline && x->n_tried < PX_MAX_ENDPOINTS_TRIED &&
	    !p->begins_nothing)
		x->endpoint =
			cl_route_pick(p->router, &q, now, &p->rand, &reason);
	if (!x->endpoint && reason == CL_ROUTE_NONE_KNOWN) {
		hold_or_refuse(x, CL_NO_ENDPOINT);
		return;
	}
	if (!x->endpoint) {
		if (!x->last_code)
			x->last_code = now < x->deadline ? CL_NO_ENDPOINT
							 : CL_DEADLINE_EXPIRED;
		fail(x);
		return;
	}
	ba_event(CL_EV_ROUTED,
		 "call=%s route=%s priority=%u service=%s endpoint=%s "
		 "reason=%s in_flight=%u reported=%u expected_us=%lld "
		 "left_us=%lld",
		 x->id, x->route, x->priority, x->service,
		 x->endpoint->instance, cl_route_reason_name(reason),
		 x->endpoint->in_flight, x->endpoint->reported_load,
		 (long long)x->endpoint->expected,
		 (long long)(x->deadline - now));
	x->tried[x->n_tried++] = x->endpoint->id;
	x->last_try = x->n_tried == PX_MAX_ENDPOINTS_TRIED;
	x->sent_at = now;
	x->paced = large && x->endpoint->tier == CL_TIER_LINK;
	if (x->paced)
		cl_pace_take(&p->pace, bytes);
	if (x->endpoint->tier == CL_TIER_SELF)
		px_backend_admit(x);
	else
		px_upstream_send_peer(x);
}

double px_exchange_expected_bytes(struct px_exchange *x)
{
	return x->route ? cl_sizes_mean(x->p->sizes, x->route, x->service) : 0;
}

void px_exchange_on_not_run(struct px_exchange *x, int code)
{
	px_exchange_end_attempt(x, result_from_code(code));
	x->last_code = code;
	if (x->downstream->from_peer)
		answer_error(x, 503, code);
	else if (code == CL_REQUEST_CRASHES ||
		 (code == CL_SHED_BY_BACKEND && !may_retry(x, code)))
		fail(x);
	else
		px_exchange_attempt(x);
}

void px_exchange_on_broken(struct px_exchange *x, int code)
{
	struct px_downstream *d = x->downstream;
	bool answering = x->answering;

	px_exchange_end_attempt(x, CL_ATTEMPT_BROKEN);
	x->last_code = code;
	if (d->from_peer || answering) {
		ba_event(CL_EV_MAY_HAVE_RUN, "call=%s code=%d answering=%d",
			 x->id, code, (int)answering);
		px_exchange_free(x);
		px_downstream_abort(d);
	} else if (may_retry(x, code)) {
		px_exchange_attempt(x);
	} else {
		fail(x);
	}
}

bool px_exchange_retry_error(struct px_exchange *x)
{
	if (x->downstream->from_peer || !may_retry(x, CL_ANSWER_BROKEN))
		return false;
	px_exchange_end_attempt(x, CL_ATTEMPT_ERROR_ANSWER);
	px_exchange_attempt(x);
	return true;
}

void px_exchange_give_up(struct px_exchange *x)
{
	px_upstream_take_back(x);
	px_exchange_end_attempt(x, CL_ATTEMPT_CANCELLED);
	x->last_code = CL_DRAINING;
	fail(x);
}

void px_exchange_refuse(struct px_exchange *x, int status, int code)
{
	answer_error(x, status, code);
}

bool px_exchange_is_answered(const struct px_exchange *x)
{
	return x->answering || (x->conn && x->status && !x->not_run_code);
}

ba_time px_exchange_leaves_at(const struct px_exchange *x)
{
	ba_time own = x->p->leaves_at ? x->p->leaves_at : BA_NEVER;

	return x->leaves_at ? MIN(x->leaves_at, own) : own;
}

void px_exchange_free(struct px_exchange *x)
{
	ba_loop_disarm(x->p->loop, &x->timer);
	ba_list_remove(&x->link);
	x->p->n_exchanges--;
	cf_snapshot_unref(x->snapshot);
	g_free(x->caller);
	g_free(x->id);
	ba_charge_set(&x->buffered_charge, 0);
	ba_buf_free(&x->buffered);
	g_free(x);
}

void px_exchange_end_attempt(struct px_exchange *x,
			     enum cl_attempt_result result)
{
	struct px *p = x->p;
	ba_time now = ba_loop_now(p->loop);
	struct cl_endpoint *e = x->endpoint;
	struct ht_conn *c = x->conn;
	bool had_slot = x->admission.running;
	bool at_backend = x->state == PX_ATTEMPT_AT_BACKEND;
	bool abandoned = c && x->state == PX_ATTEMPT_AT_BACKEND &&
			 ht_conn_has_sent(c) && !x->not_run_code &&
			 (result == CL_ATTEMPT_CANCELLED ||
			  result == CL_ATTEMPT_TIMEOUT);
	bool refused_or_cancelled = result == CL_ATTEMPT_OVERLOADED ||
				    result == CL_ATTEMPT_DRAINING ||
				    result == CL_ATTEMPT_CANCELLED;

	x->conn = NULL;
	x->endpoint = NULL;
	x->state = PX_ATTEMPT_NONE;
	x->not_run_code = 0;
	x->answering_at = 0;
	x->buffered.len = 0;
	if (abandoned)
		px_poison_on_abandoned(x);
	if (c)
		ht_conn_abort(c);
	if (e && cl_route_done(p->router, e, result, now - x->sent_at, now) !=
			 CL_ROUTE_UNCHANGED)
		ba_event(CL_EV_EJECTED, "service=%s seen=%s", x->service,
			 cl_attempt_result_name(result));
	if (x->paced && !refused_or_cancelled)
		cl_pace_done(&p->pace, x->sent_at,
			     result == CL_ATTEMPT_ANSWERED, now);
	x->paced = false;
	cl_egress_release(&p->egress, &x->reservation);
	cl_admit_cancel(p->backend.admit, &x->admission);
	if (!had_slot)
		return;
	if (at_backend)
		px_rollout_count(x, result);
	cl_admit_done(p->backend.admit, &x->admission,
		      result == CL_ATTEMPT_ANSWERED ? CL_ADMIT_SERVED
						    : CL_ADMIT_OTHER,
		      now);
	px_backend_schedule_dispatch(p);
}

static struct px_exchange *exchange_new(struct px_downstream *d,
					const struct px_caller_fields *request)
{
	struct px_exchange *x = g_new0(struct px_exchange, 1);

	x->p = d->p;
	x->downstream = d;
	x->buffered_charge.account = d->p->memory;
	x->arrived_at = d->begun_at;
	x->caller_deadline = request->time_left < 0
				     ? BA_NEVER
				     : x->arrived_at + request->time_left;
	x->id = g_strdup(request->id ? request->id : "");
	x->timer.fire = on_deadline;
	ba_list_init(&x->admission.link);
	ba_list_append(&d->p->exchanges, &x->link);
	d->p->n_exchanges++;
	d->exchange = x;
	rt_count(RT_CALLS, 1);
	return x;
}

/* The other proxy has chosen the route; only local admission is left. */
static void begin_from_peer(struct px_exchange *x)
{
	const struct ht_head *h = ht_conn_head(x->downstream->conn);
	const char *service = ht_head_get(h, PX_FIELD_SERVICE);
	const char *caller = ht_head_get(h, PX_FIELD_CALLER);
	const char *left = ht_head_get(h, PX_FIELD_TIME_LEFT);
	const char *priority = ht_head_get(h, PX_FIELD_PRIORITY);
	const char *target = ht_head_get(h, PX_FIELD_TARGET_LEFT);
	const char *leaves = ht_head_get(h, PX_FIELD_LEAVES_LEFT);

	if (!service || !caller || !left) {
		answer_error(x, 400, CL_REQUEST_MALFORMED);
		return;
	}
	if (x->p->refuses_requests || x->p->begins_nothing) {
		answer_error(x, 503, CL_DRAINING);
		return;
	}
	x->service = service;
	x->caller = g_strdup(caller);
	x->digest = px_poison_digest(h, caller, &x->downstream->body);
	x->deadline = x->arrived_at + px_read_duration(left);
	x->priority = priority ? (uint32_t)strtoul(priority, NULL, 10) : 0;
	x->route = ht_head_get(h, PX_FIELD_ROUTE);
	x->team_name = ht_head_get(h, PX_FIELD_TEAM);
	x->last_try = ht_head_get(h, PX_FIELD_LAST_TRY) != NULL;
	x->latency_target =
		target ? x->arrived_at + px_read_duration(target) : x->deadline;
	if (leaves)
		x->leaves_at = x->arrived_at + px_read_duration(leaves);
	ba_loop_arm(x->p->loop, &x->timer, x->deadline);
	px_note_version(x->p, h);
	px_limit_on_told(x);
	if (px_poison_refuses(x))
		answer_error(x, 503, CL_REQUEST_CRASHES);
	else
		px_backend_admit(x);
}

static void begin_from_caller(struct px_exchange *x)
{
	struct px *p = x->p;
	const struct cf_route *r;
	bool had_token;
	int code;

	if (p->refuses_requests || p->begins_nothing) {
		answer_error(x, 503, CL_DRAINING);
		return;
	}
	if (!p->snapshot) {
		hold_or_refuse(x, CL_NOT_CONFIGURED);
		return;
	}
	/* Those of a request that was held are strings of the old snapshot. */
	x->route = NULL;
	x->service = NULL;
	x->team = NULL;
	x->team_name = NULL;
	cf_snapshot_unref(x->snapshot);
	x->snapshot = cf_snapshot_ref(p->snapshot);
	r = find_route(x->snapshot, ht_conn_head(x->downstream->conn));
	if (!r) {
		refuse_unknown(x, 404, CL_NO_ROUTE);
		return;
	}
	code = px_team_identify(x, r);
	if (code) {
		refuse_unknown(x, 401, code);
		return;
	}
	apply_route(x, r);
	x->digest = px_poison_digest(ht_conn_head(x->downstream->conn),
				     x->caller, &x->downstream->body);
	had_token = x->quota_taken;
	if (!px_quota_admits(x))
		return;
	ba_loop_arm(p->loop, &x->timer, x->deadline);
	if (!px_gate_admits(x)) {
		if (!had_token)
			px_quota_put_back(x);
		answer_error(x, 503, CL_SERVICE_FULL);
		return;
	}
	px_exchange_attempt(x);
}

/* A later configuration may allow the request. */
static void refuse_unknown(struct px_exchange *x, int status, int code)
{
	if (x->p->owner->is_current(x->p->owner))
		answer_error(x, status, code);
	else
		answer_error(x, 503, CL_NOT_CURRENT);
}

/* @code tells what is missing to route the request. */
static void hold_or_refuse(struct px_exchange *x, int code)
{
	struct px *p = x->p;
	ba_time until = cl_startup_wait_until(p->started_at, x->arrived_at,
					      x->caller_deadline);

	x->last_code = code;
	if (x->n_tried || ba_loop_now(p->loop) >= until) {
		fail(x);
		return;
	}
	x->state = PX_ATTEMPT_HELD;
	x->deadline = until;
	ba_loop_arm(p->loop, &x->timer, until);
}

static const struct cf_route *find_route(const struct cf_snapshot *s,
					 const struct ht_head *h)
{
	const char *target = ht_head_target(h);
	const char *host = ht_head_get(h, "Host");
	char *name = host ? g_ascii_strdown(host, -1) : g_strdup("");
	const struct cf_route *r;

	name[strcspn(name, ":")] = '\0';
	r = cf_route_match(s, name, h->method, target, strcspn(target, "?#"));
	g_free(name);
	return r;
}

static void apply_route(struct px_exchange *x, const struct cf_route *r)
{
	struct cl_patience *patience =
		find_or_add(x->p->patience, r->name, sizeof(*patience));
	ba_time timeout = r->timeout ? r->timeout : PX_DEFAULT_ROUTE_TIMEOUT;
	ba_time time_left = x->caller_deadline - x->arrived_at;
	bool time_known = x->caller_deadline != BA_NEVER;
	ba_time elapsed;

	x->route = r->name;
	x->service = choose_service(x, r);
	earn_retries(find_retry_budget(x->p, x->service));
	g_free(x->caller);
	x->caller = g_strdup(x->p->o.service);
	x->idempotent = r->idempotent || r->download;
	/* A download counts as large until answers have been measured. */
	if (r->download)
		cl_sizes_assume(x->p->sizes, x->route, x->service,
				2 * PX_LARGE_ANSWER_BYTES);
	x->max_runs = r->attempts ? r->attempts : PX_DEFAULT_ATTEMPTS;
	x->route_deadline = x->arrived_at + timeout;
	x->deadline = MIN(x->route_deadline, x->caller_deadline);
	x->latency_target = x->deadline;
	x->may_return =
		!r->latency_target || r->latency_target > PX_RETRY_AFTER_MIN;
	elapsed = time_known ? cl_patience_spent(patience, time_left) : 0;
	x->returned = elapsed > 0;
	if (r->latency_target &&
	    r->latency_target < x->deadline - x->arrived_at)
		x->latency_target = x->arrived_at + r->latency_target - elapsed;
}

/* All proxies together stay within a share of the requests for a service. */
static void earn_retries(struct px_retry_budget *b)
{
	cl_retry_earn(&b->all, PX_RETRY_RATIO, PX_RETRY_BUDGET_MAX);
	cl_retry_earn(&b->reruns, PX_RERUN_RATIO, 1);
}

/* Returns the entry @name of @table; a new entry is zeroed. */
static void *find_or_add(GHashTable *table, const char *name, size_t size)
{
	void *entry = g_hash_table_lookup(table, name);

	if (entry)
		return entry;
	entry = g_malloc0(size);
	g_hash_table_insert(table, g_strdup(name), entry);
	return entry;
}

static const char *choose_service(struct px_exchange *x,
				  const struct cf_route *r)
{
	const struct cf_service *services = x->snapshot->services;

	if (!r->n_parts)
		return services[r->service].name;
	return services[r->parts[cl_split_choose(find_split(x, r))].service]
		.name;
}

/* A change of the services or weights of a route begins anew. */
static struct cl_split *find_split(struct px_exchange *x,
				   const struct cf_route *r)
{
	struct px *p = x->p;
	struct cl_split *s = g_hash_table_lookup(p->splits, r->name);
	struct cl_split_part *parts = g_newa(struct cl_split_part, r->n_parts);

	for (size_t i = 0; i < r->n_parts; i++) {
		const struct cf_part *part = &r->parts[i];

		parts[i].service = x->snapshot->services[part->service].name;
		parts[i].weight = part->weight;
	}
	if (s && cl_split_fits(s, parts, r->n_parts))
		return s;
	s = cl_split_new(parts, r->n_parts, &p->rand);
	g_hash_table_replace(p->splits, g_strdup(r->name), s);
	return s;
}

static void on_deadline(struct ba_timer *t, ba_time now)
{
	struct px_exchange *x = ba_entry(t, struct px_exchange, timer);

	if (x->answering_at) {
		limit_answer(x, now);
		return;
	}
	if (x->state == PX_ATTEMPT_HELD) {
		fail(x);
		return;
	}
	if (x->state == PX_ATTEMPT_NO_TOKEN) {
		px_quota_refuse(x);
		return;
	}
	px_upstream_take_back(x);
	px_exchange_end_attempt(x, CL_ATTEMPT_TIMEOUT);
	x->last_code = CL_DEADLINE_EXPIRED;
	fail(x);
}

static void limit_answer(struct px_exchange *x, ba_time now)
{
	const struct cl_overrun o = {
		.arrived_at = x->arrived_at,
		.route_deadline = x->route_deadline,
		.caller_deadline = x->caller_deadline,
		.began_at = x->answering_at,
		.length = x->length,
		.received = x->answer_bytes,
	};
	const struct cl_overrun_passed passed = {
		.deadline = x->deadline,
		.length = x->length,
		.received = x->answer_bytes,
		.received_before = x->checked_bytes,
	};
	ba_time next = x->downstream->from_peer
			       ? cl_overrun_next_passed(&passed, now)
			       : cl_overrun_next(&o, now);

	x->checked_bytes = x->answer_bytes;
	if (next > now) {
		ba_loop_arm(x->p->loop, &x->timer, next);
		return;
	}
	ba_event(CL_EV_ANSWER_CUT,
		 "call=%s route=%s service=%s endpoint=%s received=%llu "
		 "length=%lld took_us=%lld",
		 x->id, x->route ? x->route : "", x->service,
		 x->endpoint ? x->endpoint->instance : "self",
		 (unsigned long long)x->answer_bytes, (long long)x->length,
		 (long long)(now - x->arrived_at));
	px_exchange_on_broken(x, CL_DEADLINE_PASSED);
}

static void answer_error(struct px_exchange *x, int status, int code)
{
	bool may_have_run = status == 502 || status == 504;
	struct px_downstream *d = x->downstream;

	ba_event(may_have_run ? CL_EV_MAY_HAVE_RUN : CL_EV_NOT_RUN,
		 "call=%s route=%s service=%s version=%llu code=%d status=%d "
		 "tried=%zu took_us=%lld request=%016llx team=%s",
		 x->id, x->route ? x->route : "", x->service ? x->service : "",
		 (unsigned long long)(x->snapshot ? x->snapshot->version : 0),
		 code, status, x->n_tried,
		 (long long)(ba_loop_now(x->p->loop) - x->arrived_at),
		 (unsigned long long)x->digest,
		 x->team_name ? x->team_name : "");
	rt_count(may_have_run ? RT_MAY_HAVE_RUN : RT_NOT_RUN, 1);
	px_compose_error(x, status, code, ht_conn_out(d->conn));
	px_exchange_free(x);
	px_downstream_finish_answer(d);
}

/* Answers 503 only if no backend server can have begun to work on it. */
static void fail(struct px_exchange *x)
{
	bool late = ba_loop_now(x->p->loop) >= x->deadline;
	int code = x->last_code;

	if (x->runs) {
		answer_error(x, late ? 504 : 502,
			     late ? CL_DEADLINE_PASSED : CL_MAY_HAVE_RUN);
		return;
	}
	px_gate_on_refused(x, code);
	/* Another proxy may name a code that says less than its refusal. */
	if (cl_outcome_of(code) != CL_OUT_NOT_RUN)
		code = CL_DEADLINE_EXPIRED;
	answer_error(x, 503, code);
}

static bool may_retry(struct px_exchange *x, int code)
{
	struct px_retry_budget *b = find_retry_budget(x->p, x->service);
	ba_time now = ba_loop_now(x->p->loop);
	const struct cl_failure f = {
		.code = code,
		.idempotent = x->idempotent,
		.attempts = x->runs,
		.deadline = x->deadline,
		.reserve = caller_can_return(x, now) ? PX_RETRY_RESERVE : 0,
	};
	enum cl_retry_reason reason = CL_RETRY_REFUSED_ATTEMPTS;
	bool rerun = cl_outcome_of(code) != CL_OUT_NOT_RUN;
	bool again = x->runs < x->max_runs;

	if (again && rerun && px_poison_suspects(x)) {
		reason = CL_RETRY_REFUSED_SUSPECT;
		again = false;
	}
	if (again && rerun && b->reruns.tokens < 1) {
		reason = CL_RETRY_REFUSED_BUDGET;
		again = false;
	}
	again = again && cl_retry_decide(&b->all, &f, now, &reason);
	if (again && rerun)
		b->reruns.tokens -= 1;
	rt_count(RT_RETRIED, again);
	ba_event(CL_EV_RETRIED, "call=%s service=%s code=%d again=%d reason=%s",
		 x->id, x->service, code, (int)again,
		 cl_retry_reason_name(reason));
	return again;
}

/* Whether a caller that is refused now can be back before its target. */
static bool caller_can_return(const struct px_exchange *x, ba_time now)
{
	return now + PX_RETRY_AFTER_MIN + PX_RETRY_AFTER_JITTER <
	       x->latency_target;
}

/* A budget starts empty, so that a restart adds nothing to it. */
static struct px_retry_budget *find_retry_budget(struct px *p,
						 const char *service)
{
	return find_or_add(p->retry_budgets, service,
			   sizeof(struct px_retry_budget));
}

void px_exchange_record_answer(struct px_exchange *x)
{
	if (x->route)
		cl_sizes_record(x->p->sizes, x->route, x->service,
				x->answer_bytes);
}

static enum cl_attempt_result result_from_code(int code)
{
	switch (code) {
	case CL_OVERLOADED:
	case CL_LINK_FULL:
	case CL_DEADLINE_PASSED: /* of a proxy of an earlier release */
	case CL_DEADLINE_EXPIRED:
		return CL_ATTEMPT_OVERLOADED;
	case CL_SHED_BY_BACKEND:
		return CL_ATTEMPT_SHED;
	case CL_DRAINING:
		return CL_ATTEMPT_DRAINING;
	case CL_NO_ENDPOINT:
	case CL_BACKEND_UNREACHABLE:
		return CL_ATTEMPT_UNREACHABLE;
	default:
		return CL_ATTEMPT_CANCELLED;
	}
}
