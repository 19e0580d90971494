#include <stdio.h>
#include <string.h>
#include <strings.h>

#include <glib.h>

#include "base/ba_event.h"
#include "call/cl_team.h"
#include "daemon/da_attempt.h"
#include "daemon/da_audit.h"
#include "daemon/da_client.h"
#include "daemon/da_local.h"
#include "daemon/da_peer.h"
#include "http/ht_answer.h"
#include "report/rt.h"

/*
 * An attempt is paused when more than UNSENT_HIGH_BYTES of its answer are
 * unsent, unless the answer is buffered to be stored.
 */
enum {
	UNSENT_HIGH_BYTES = 256 * 1024,
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
	STATUS_SERVICE_UNAVAILABLE = 503,
};

static int find_owner(struct da_call *c, const char **owner);
static void log_route(const struct da_call *c);
static void fill_request(struct da_call *c);
static void fill_sent_headers(struct da_call *c);
static void add_range_headers(struct da_call *c);
static void on_header(struct da_fetch_owner *o, const char *name,
		      const char *value);
static void on_head(struct da_fetch_owner *o, int status, int64_t length);
static bool on_data(struct da_fetch_owner *o, const void *data, size_t len);
static void on_load(struct da_fetch_owner *o, uint32_t load);
static void on_ended(struct da_fetch_owner *o, const struct da_fetch_end *end);
static bool is_buffered(const struct da_call *c);
static bool may_retry_overload(struct da_call *c,
			       enum cl_attempt_result result);
static bool has_no_body(const struct da_call *c);
static enum cl_attempt_result classify_end(const struct da_call *c,
					   const struct da_fetch_end *end);
static int end_result_code(const struct da_call *c,
			   const struct da_fetch_end *end,
			   enum cl_attempt_result result);
static void release_endpoint(struct da_call *c, enum cl_attempt_result result);
static bool decide_retry(struct da_call *c, int code,
			 enum cl_retry_reason *reason);
static struct cl_retry *retry_budget_get(struct da_shared *shared,
					 const char *service);
static void reset_answer(struct da_call *c);
static void resume_or_fail(struct da_call *c);

void da_attempt_init(struct da_call *c)
{
	c->owner.header = on_header;
	c->owner.head = on_head;
	c->owner.data = on_data;
	c->owner.load = on_load;
	c->owner.ended = on_ended;
}

int da_attempt_choose_endpoint(struct da_call *c)
{
	struct da_shared *shared = c->w->shared;
	struct cl_pick_request q = {
		.service = c->service,
		.self_load = cl_admit_load(shared->admit),
		.tried = c->tried,
		.n_tried = c->n_tried,
		.may_probe = c->idempotent,
	};
	int code = c->key ? find_owner(c, &q.owner) : BA_OK;

	if (code)
		return code;
	c->endpoint = cl_route_pick(shared->router, &q, ba_clock_now(),
				    &c->w->rand, &c->route_reason);
	if (!c->endpoint)
		return CL_NO_ENDPOINT;
	c->to_backend = c->endpoint->tier == CL_TIER_SELF;
	if (c->n_tried < CL_ATTEMPTS_LIMIT)
		c->tried[c->n_tried++] = c->endpoint->id;
	return BA_OK;
}

void da_attempt_start(struct da_call *c)
{
	c->sent_at = ba_clock_now();
	if (c->to_backend) {
		log_route(c);
		da_local_begin(c);
		return;
	}
	fill_request(c);
	c->fetch = da_peers_fetch(c->w->peers, c->endpoint->address,
				  &c->request, &c->owner);
	log_route(c);
}

static void log_route(const struct da_call *c)
{
	ba_event(CL_EV_ROUTED, "call=%s service=%s endpoint=%s reason=%s",
		 c->id, c->service, c->endpoint->instance,
		 cl_route_reason_name(c->route_reason));
}

void da_attempt_start_backend(struct da_call *c)
{
	c->to_backend = true;
	c->sent_at = ba_clock_now();
	da_audit_backend_start(c);
	fill_request(c);
	c->fetch = da_client_fetch(c->w->client, &c->request, &c->owner);
}

void da_attempt_fail(struct da_call *c, int code, enum cl_attempt_result result)
{
	struct da_shared *shared = c->w->shared;
	enum cl_retry_reason reason;
	bool again;

	release_endpoint(c, result);
	if (c->from_peer || c->detached) {
		da_call_fail(c, code);
		return;
	}
	pthread_mutex_lock(&shared->lock);
	again = decide_retry(c, code, &reason) &&
		!da_attempt_choose_endpoint(c);
	pthread_mutex_unlock(&shared->lock);
	if (!again) {
		da_call_fail(c, code);
		return;
	}
	ba_event(CL_EV_RETRIED, "call=%s seen=%s code=%d reason=%s", c->id,
		 cl_attempt_result_name(result), code,
		 cl_retry_reason_name(reason));
	reset_answer(c);
	da_attempt_start(c);
}

void da_attempt_cancel(struct da_call *c)
{
	if (c->fetch) {
		c->fetch->ops->cancel(c->fetch);
		c->fetch = NULL;
	}
	da_local_end(c, CL_ATTEMPT_CANCELLED, CL_CANCELLED);
	release_endpoint(c, CL_ATTEMPT_CANCELLED);
}

/*
 * CL_NO_ENDPOINT tells the caller that the call has not run, which is certain
 * only if no instance can have owned the key.  An owner that is gone may have
 * run the call, so that CL_KEY_STALE is returned.
 */
static int find_owner(struct da_call *c, const char **owner)
{
	static const int codes[] = {
		[CL_OWNER_FOUND] = BA_OK,
		[CL_OWNER_NONE] = CL_NO_ENDPOINT,
		[CL_OWNER_GONE] = CL_KEY_STALE,
	};
	uint64_t incarnation;

	return codes[cl_owner_find(c->w->shared->owners, c->service,
				   &c->parsed_key, owner, &incarnation)];
}

static void fill_request(struct da_call *c)
{
	struct da_request *q = &c->request;

	q->call = c->id;
	q->method = c->method;
	q->target = c->target;
	q->service = c->service;
	q->key = c->key;
	q->headers = &c->sent_headers;
	q->body = c->body.data;
	q->body_len = c->body.len;
	q->deadline = c->deadline;
	q->idempotent = c->idempotent;
	q->retry = c->n_tried > 1;
	fill_sent_headers(c);
}

static void fill_sent_headers(struct da_call *c)
{
	ba_time left = c->deadline - ba_clock_now();
	bool hides_key = c->snapshot && c->snapshot->has_teams;
	char number[24];

	da_headers_clear(&c->sent_headers);
	for (size_t i = 0; i < c->headers.n; i++) {
		const struct da_header *h = &c->headers.list[i];

		if (!da_header_is_hop_by_hop(h->name) &&
		    !da_header_is_reserved(h->name) &&
		    !(hides_key && !strcasecmp(h->name, CL_TEAM_KEY_FIELD)))
			da_headers_add(&c->sent_headers, h->name, h->value);
	}
	if (c->resuming)
		add_range_headers(c);
	if (!c->to_backend)
		return;
	snprintf(number, sizeof(number), "%lld",
		 (long long)(left > BA_MS ? left / BA_MS : 1));
	da_headers_add(&c->sent_headers, CL_HEADER_TIME_LEFT, number);
	if (!da_headers_get(&c->headers, CL_HEADER_LAYER))
		da_headers_add(&c->sent_headers, CL_HEADER_LAYER, "inner");
}

static void add_range_headers(struct da_call *c)
{
	char range[CL_RANGE_BYTES];

	cl_answer_format_range(&c->check, range);
	da_headers_add(&c->sent_headers, "Range", range);
	da_headers_add(&c->sent_headers, "If-Range", c->check.etag);
}

/* Answers of other daemons and stored ones are checked here for the first time. */
static void on_header(struct da_fetch_owner *o, const char *name,
		      const char *value)
{
	struct da_call *c = (struct da_call *)o;

	if (!ht_field_is_proper(name, value)) {
		c->bad_head = true;
		return;
	}
	if (da_header_is_reserved(name))
		return;
	if (!strcasecmp(name, "ETag")) {
		g_free(c->etag);
		c->etag = g_strdup(value);
	} else if (!strcasecmp(name, "Content-Range")) {
		g_free(c->content_range);
		c->content_range = g_strdup(value);
	}
	if (!c->resuming)
		da_headers_add(&c->answer.headers, name, value);
}

static void on_head(struct da_fetch_owner *o, int status, int64_t length)
{
	struct da_call *c = (struct da_call *)o;
	bool may_resume = c->idempotent && !strcmp(c->method, "GET") &&
			  !da_headers_get(&c->headers, "Range");

	c->bad_head |= !ht_status_is_final(status);
	if (c->bad_head && !c->resuming) {
		ba_event(CL_EV_ANSWER_FLAWED, "call=%s flaw=%s status=%d",
			 c->id,
			 ht_flaw_name(ht_status_is_final(status)
					      ? HT_FLAW_FIELD
					      : HT_FLAW_STATUS),
			 status);
		return;
	}
	if (c->resuming) {
		c->bad_answer =
			c->bad_head ||
			cl_answer_resume(&c->check, status, c->etag,
					 c->content_range) != CL_PART_GOOD;
		da_call_notify(c);
		return;
	}
	cl_answer_start(&c->check, status, length, c->etag,
			may_resume && !c->from_peer);
	c->answer.status = status;
	c->answer.length = length;
	if (!is_buffered(c))
		da_call_notify(c);
}

static bool on_data(struct da_fetch_owner *o, const void *data, size_t len)
{
	struct da_call *c = (struct da_call *)o;
	struct da_answer *a = &c->answer;

	if (!a->status)
		return true;
	if (!is_buffered(c) && a->data.len - a->sent > UNSENT_HIGH_BYTES) {
		c->paused = true;
		return false;
	}
	if (c->bad_answer ||
	    cl_answer_add_data(&c->check, len) != CL_PART_GOOD) {
		c->bad_answer = true;
		da_call_notify(c);
		return true;
	}
	ba_buf_add(&a->data, data, len);
	c->oversized = c->oversized || a->data.len > CL_DEDUP_MAX_ANSWER_BYTES;
	if (!is_buffered(c))
		da_call_notify(c);
	return true;
}

static bool is_buffered(const struct da_call *c)
{
	return c->store_answer && !c->oversized;
}

/*
 * The load that is recorded excludes the calls of this daemon, which
 * cl_endpoint.in_flight counts.
 */
static void on_load(struct da_fetch_owner *o, uint32_t load)
{
	struct da_call *c = (struct da_call *)o;
	struct cl_endpoint *e = c->endpoint;

	if (!e)
		return;
	pthread_mutex_lock(&c->w->shared->lock);
	cl_route_record_load(e, load > e->in_flight ? load - e->in_flight : 0,
			     ba_clock_now());
	pthread_mutex_unlock(&c->w->shared->lock);
}

static void on_ended(struct da_fetch_owner *o, const struct da_fetch_end *end)
{
	struct da_call *c = (struct da_call *)o;
	enum cl_attempt_result result = classify_end(c, end);
	int code = end_result_code(c, end, result);

	da_audit_attempt_end(c, end);
	if (code && cl_outcome_of(code) == CL_OUT_MAY_HAVE_RUN)
		c->may_have_run = true;
	c->fetch = NULL;
	da_local_end(c, result, code);
	if (!code && may_retry_overload(c, result)) {
		da_attempt_fail(c, CL_OVERLOADED, result);
	} else if (!code) {
		release_endpoint(c, result);
		pthread_mutex_lock(&c->w->shared->lock);
		cl_retry_answered(retry_budget_get(c->w->shared, c->service));
		pthread_mutex_unlock(&c->w->shared->lock);
		da_call_complete(c);
	} else if (c->head_sent) {
		release_endpoint(c, result);
		resume_or_fail(c);
	} else {
		da_attempt_fail(c, code, result);
	}
}

/*
 * A backend server at its limit answers 503, and another endpoint may have
 * capacity.  If there is none, or no retry budget, the caller gets that answer.
 * The budget is consulted here without being spent.
 */
static bool may_retry_overload(struct da_call *c, enum cl_attempt_result result)
{
	struct da_shared *shared = c->w->shared;
	enum cl_retry_reason reason;
	struct cl_retry before;
	bool again;

	if (result != CL_ATTEMPT_OVERLOADED || !c->idempotent || c->inner ||
	    c->head_sent || c->from_peer || c->detached)
		return false;
	pthread_mutex_lock(&shared->lock);
	before = *retry_budget_get(shared, c->service);
	again = decide_retry(c, CL_OVERLOADED, &reason);
	*retry_budget_get(shared, c->service) = before;
	pthread_mutex_unlock(&shared->lock);
	return again;
}

static bool has_no_body(const struct da_call *c)
{
	return !strcmp(c->method, "HEAD") ||
	       c->answer.status == STATUS_NO_CONTENT ||
	       c->answer.status == STATUS_NOT_MODIFIED;
}

static enum cl_attempt_result classify_end(const struct da_call *c,
					   const struct da_fetch_end *end)
{
	if (end->code == CL_DRAINING)
		return CL_ATTEMPT_DRAINING;
	if (end->code == CL_OVERLOADED)
		return CL_ATTEMPT_OVERLOADED;
	if (end->code == CL_BACKEND_UNREACHABLE)
		return CL_ATTEMPT_UNREACHABLE;
	if (end->code)
		return cl_outcome_of(end->code) == CL_OUT_NOT_RUN
			       ? CL_ATTEMPT_ANSWERED
			       : CL_ATTEMPT_BROKEN;
	if (end->attempt_result != CL_ATTEMPT_ANSWERED)
		return end->attempt_result;
	if (!c->answer.status)
		return CL_ATTEMPT_BROKEN;
	if (!has_no_body(c) &&
	    (c->bad_answer || cl_answer_check_end(&c->check) != CL_PART_GOOD))
		return CL_ATTEMPT_BROKEN;
	if (c->answer.status == STATUS_SERVICE_UNAVAILABLE)
		return CL_ATTEMPT_OVERLOADED;
	return c->answer.status >= 500 ? CL_ATTEMPT_ERROR_ANSWER
				       : CL_ATTEMPT_ANSWERED;
}

static int end_result_code(const struct da_call *c,
			   const struct da_fetch_end *end,
			   enum cl_attempt_result result)
{
	if (end->code)
		return end->code;
	if (!end->written)
		return ba_clock_now() >= c->deadline ? CL_OVERLOADED
						     : CL_BACKEND_UNREACHABLE;
	switch (result) {
	case CL_ATTEMPT_ANSWERED:
	case CL_ATTEMPT_ERROR_ANSWER:
	case CL_ATTEMPT_OVERLOADED:
		return BA_OK;
	case CL_ATTEMPT_TIMEOUT:
		return CL_DEADLINE_PASSED;
	default:
		return c->answer.status ? CL_ANSWER_BROKEN : CL_MAY_HAVE_RUN;
	}
}

static void release_endpoint(struct da_call *c, enum cl_attempt_result result)
{
	struct da_shared *shared = c->w->shared;
	enum cl_route_change change;
	ba_time now = ba_clock_now();
	char name[CF_NAME_BYTES + 1];

	if (!c->endpoint)
		return;
	/* The endpoint is valid only until cl_route_done(). */
	g_strlcpy(name, c->endpoint->instance, sizeof(name));
	pthread_mutex_lock(&shared->lock);
	if (c->endpoint->tier == CL_TIER_LINK)
		cl_router_spend_link_budget(shared->router,
					    (uint64_t)c->check.received +
						    c->body.len);
	change = cl_route_done(shared->router, c->endpoint, result,
			       now - c->sent_at, now);
	pthread_mutex_unlock(&shared->lock);
	c->endpoint = NULL;
	if (change == CL_ROUTE_EJECTED)
		ba_event(CL_EV_EJECTED, "endpoint=%s service=%s seen=%s", name,
			 c->service, cl_attempt_result_name(result));
	else if (change == CL_ROUTE_RESTORED)
		ba_event(CL_EV_RESTORED, "endpoint=%s service=%s", name,
			 c->service);
}

static bool decide_retry(struct da_call *c, int code,
			 enum cl_retry_reason *reason)
{
	struct cl_failure f = {
		.code = code,
		.idempotent = c->idempotent,
		.inner = c->inner,
		.attempts = (unsigned int)c->n_tried,
		.deadline = c->deadline,
	};

	return cl_retry_decide(retry_budget_get(c->w->shared, c->service), &f,
			       ba_clock_now(), reason);
}

static struct cl_retry *retry_budget_get(struct da_shared *shared,
					 const char *service)
{
	struct cl_retry *r =
		g_hash_table_lookup(shared->retry_budgets, service);

	if (r)
		return r;
	r = g_new0(struct cl_retry, 1);
	cl_retry_init(r);
	g_hash_table_insert(shared->retry_budgets, g_strdup(service), r);
	return r;
}

static void reset_answer(struct da_call *c)
{
	c->answer.status = 0;
	c->answer.length = -1;
	c->answer.data.len = 0;
	c->answer.sent = 0;
	da_headers_clear(&c->answer.headers);
	memset(&c->check, 0, sizeof(c->check));
	c->paused = false;
	c->bad_answer = false;
	c->bad_head = false;
}

/*
 * When a part of the answer has been sent already, the rest is requested from
 * another endpoint, or the call ends so that the caller sees that the answer is
 * incomplete.
 */
static void resume_or_fail(struct da_call *c)
{
	struct da_shared *shared = c->w->shared;
	enum cl_retry_reason reason;
	bool again = false;

	if (c->check.resumable && !c->detached) {
		pthread_mutex_lock(&shared->lock);
		again = decide_retry(c, CL_ANSWER_BROKEN, &reason) &&
			!da_attempt_choose_endpoint(c);
		pthread_mutex_unlock(&shared->lock);
	}
	if (again) {
		ba_event(CL_EV_RETRIED, "call=%s resumed_at=%lld", c->id,
			 (long long)c->check.received);
		c->resuming = true;
		c->bad_answer = false;
		c->bad_head = false;
		c->paused = false;
		da_attempt_start(c);
		return;
	}
	rt_count(RT_ANSWERS_BROKEN, 1);
	da_call_fail(c, CL_ANSWER_BROKEN);
}
