#include <string.h>

#include <glib.h>

#include "base/ba_event.h"
#include "daemon/da_attempt.h"
#include "daemon/da_local.h"
#include "report/rt.h"
#include "wire/cl.pb-c.h"

enum { STATUS_SERVICE_UNAVAILABLE = 503 };

/* What da_local_run_queue() decided about a queued call of any worker. */
struct decision {
	struct ba_list link;
	struct da_call *call;
	enum cl_admit_action action;
	enum cl_admit_reason reason;
};

static int check_drain_and_key(struct da_call *c, const struct ba_buf **answer);
static bool owns_key(const struct da_call *c);
static struct ba_digest digest_request(const struct da_call *c);
static int admit(struct da_call *c, enum cl_admit_reason *reason);
static void refuse(struct da_call *c, int code);
static void settle_key(struct da_call *c, int code);
static bool was_shed(const struct da_call *c);
static void save_answer(struct da_call *c);
static void replay(struct da_call *c, const void *data, size_t len);
static void apply_decision(void *arg);

void da_local_begin(struct da_call *c)
{
	struct da_shared *shared = c->w->shared;
	const struct ba_buf *answer = NULL;
	struct ba_buf copy = {0};
	enum cl_admit_reason reason = CL_ADMIT_FREE_SLOT;
	int code;

	pthread_mutex_lock(&shared->lock);
	code = check_drain_and_key(c, &answer);
	if (answer)
		ba_buf_add(&copy, answer->data, answer->len);
	else if (!code)
		code = admit(c, &reason);
	pthread_mutex_unlock(&shared->lock);
	if (copy.len) {
		rt_count(RT_DOUBLE_PREVENTED, 1);
		replay(c, copy.data, copy.len);
		ba_buf_free(&copy);
	} else if (code) {
		if (code == CL_OVERLOADED)
			ba_event(CL_EV_SHED, "call=%s service=%s reason=%s",
				 c->id, c->service,
				 cl_admit_reason_name(reason));
		refuse(c, code);
	} else if (c->admit_call.running) {
		da_attempt_start_backend(c);
	}
}

void da_local_end(struct da_call *c, enum cl_attempt_result result, int code)
{
	struct da_shared *shared = c->w->shared;
	enum cl_admit_result admit_result =
		result == CL_ATTEMPT_ANSWERED	  ? CL_ADMIT_SERVED
		: result == CL_ATTEMPT_OVERLOADED ? CL_ADMIT_SHED
						  : CL_ADMIT_OTHER;
	uint32_t limit;
	bool limit_changed;

	if (!c->admit_call.running && !c->admit_call.waiting &&
	    !c->store_answer)
		return;
	pthread_mutex_lock(&shared->lock);
	settle_key(c, code);
	cl_admit_cancel(shared->admit, &c->admit_call);
	limit_changed = cl_admit_done(shared->admit, &c->admit_call,
				      admit_result, ba_clock_now());
	limit = cl_admit_limit(shared->admit);
	pthread_mutex_unlock(&shared->lock);
	if (limit_changed)
		ba_event(CL_EV_LIMIT, "service=%s limit=%u seen=%s", c->service,
			 limit, cl_attempt_result_name(result));
	da_local_run_queue(shared);
}

/* Decisions are made under the lock and applied by the worker of each call. */
void da_local_run_queue(struct da_shared *shared)
{
	enum cl_admit_reason reason;
	enum cl_admit_action action;
	struct cl_admit_call *waiting;

	pthread_mutex_lock(&shared->lock);
	while ((waiting = cl_admit_next(shared->admit, ba_clock_now(), &action,
					&reason))) {
		struct decision *d = g_new(struct decision, 1);

		d->call = ba_entry(waiting, struct da_call, admit_call);
		d->action = action;
		d->reason = reason;
		d->call->decision_pending = true;
		ba_loop_post(d->call->w->loop, apply_decision, d);
	}
	pthread_mutex_unlock(&shared->lock);
}

static int check_drain_and_key(struct da_call *c, const struct ba_buf **answer)
{
	struct da_shared *shared = c->w->shared;
	struct ba_digest digest;
	int code;

	if (shared->closing || (shared->draining && !c->key))
		return CL_DRAINING;
	if (!c->key)
		return BA_OK;
	if (!owns_key(c))
		return CL_KEY_STALE;
	digest = digest_request(c);
	switch (cl_dedup_begin(shared->dedup, &c->parsed_key, &digest,
			       ba_clock_wall(), &code, answer)) {
	case CL_DEDUP_RUN:
		c->store_answer = true;
		return BA_OK;
	case CL_DEDUP_REPLAY:
		return BA_OK;
	default:
		return code;
	}
}

/*
 * Ownership is decided here, by this daemon's own list of owners, not by the
 * sender's.
 */
static bool owns_key(const struct da_call *c)
{
	const struct da_shared *shared = c->w->shared;
	const char *instance;
	uint64_t incarnation;

	return cl_owner_find(shared->owners, c->service, &c->parsed_key,
			     &instance, &incarnation) == CL_OWNER_FOUND &&
	       !strcmp(instance, shared->identity->instance) &&
	       incarnation == shared->identity->incarnation;
}

static struct ba_digest digest_request(const struct da_call *c)
{
	struct ba_buf b = {0};
	struct ba_digest d;

	ba_buf_addf(&b, "%s %s\n", c->method, c->target);
	ba_buf_add(&b, c->body.data, c->body.len);
	d = ba_digest(b.data, b.len);
	ba_buf_free(&b);
	return d;
}

static int admit(struct da_call *c, enum cl_admit_reason *reason)
{
	struct da_shared *shared = c->w->shared;

	c->admit_call.weight = shared->own_weight;
	c->admit_call.deadline = c->deadline;
	if (cl_admit_arrive(shared->admit, &c->admit_call, ba_clock_now(),
			    reason) != CL_ADMIT_REFUSE)
		return BA_OK;
	settle_key(c, CL_OVERLOADED);
	return CL_OVERLOADED;
}

static void refuse(struct da_call *c, int code)
{
	enum cl_attempt_result result =
		code == CL_DRAINING	? CL_ATTEMPT_DRAINING
		: code == CL_OVERLOADED ? CL_ATTEMPT_OVERLOADED
					: CL_ATTEMPT_ANSWERED;

	if (c->key && code != CL_OVERLOADED && code != CL_DRAINING) {
		rt_count(RT_KEYS_REFUSED, 1);
		ba_event(CL_EV_KEY_REFUSED, "call=%s key=%s code=%d", c->id,
			 c->key, code);
	}
	da_attempt_fail(c, code, result);
}

/*
 * The caller holds da_shared.lock.  A call that is cancelled while it waits for
 * a slot has not run, so its key is released.
 */
static void settle_key(struct da_call *c, int code)
{
	struct cl_dedup *dedup = c->w->shared->dedup;

	if (!c->store_answer)
		return;
	c->store_answer = false;
	if (cl_outcome_of(code) == CL_OUT_NOT_RUN || (!code && was_shed(c)))
		cl_dedup_release(dedup, c->key);
	else if (!code)
		save_answer(c);
	else if (code == CL_CANCELLED && !c->fetch && !c->admit_call.running)
		cl_dedup_release(dedup, c->key);
	else
		cl_dedup_mark_unknown(dedup, c->key);
}

/* A backend server that answers 503 with Retry-After has not run the call. */
static bool was_shed(const struct da_call *c)
{
	return c->answer.status == STATUS_SERVICE_UNAVAILABLE &&
	       da_headers_get(&c->answer.headers, "Retry-After");
}

/*
 * The data of an oversized answer is not kept.  A length above the limit has
 * cl_dedup record that the call was answered, without the answer.
 */
static void save_answer(struct da_call *c)
{
	const struct da_headers *h = &c->answer.headers;
	ClHeader **pointers;
	ClHeader *list;
	ClHead m = CL_HEAD__INIT;
	uint8_t *packed;
	size_t len;

	if (c->oversized) {
		cl_dedup_record_answer(c->w->shared->dedup, c->key, NULL,
				       CL_DEDUP_MAX_ANSWER_BYTES + 1);
		return;
	}
	list = g_new(ClHeader, h->n);
	pointers = g_new(ClHeader *, h->n);
	for (size_t i = 0; i < h->n; i++) {
		cl_header__init(&list[i]);
		list[i].name = h->list[i].name;
		list[i].value = h->list[i].value;
		pointers[i] = &list[i];
	}
	m.status = (uint32_t)c->answer.status;
	m.length = c->answer.length;
	m.headers = pointers;
	m.n_headers = h->n;
	m.data.data = c->answer.data.data;
	m.data.len = c->answer.data.len;
	len = cl_head__get_packed_size(&m);
	packed = g_malloc(len);
	cl_head__pack(&m, packed);
	cl_dedup_record_answer(c->w->shared->dedup, c->key, packed, len);
	g_free(packed);
	g_free(pointers);
	g_free(list);
}

static void replay(struct da_call *c, const void *data, size_t len)
{
	ClHead *m = cl_head__unpack(NULL, len, data);
	struct da_fetch_end end = {CL_ATTEMPT_ANSWERED, BA_OK, true};

	for (size_t i = 0; i < m->n_headers; i++)
		c->owner.header(&c->owner, m->headers[i]->name,
				m->headers[i]->value);
	c->owner.head(&c->owner, (int)m->status, m->length);
	c->owner.data(&c->owner, m->data.data, m->data.len);
	cl_head__free_unpacked(m, NULL);
	c->owner.ended(&c->owner, &end);
}

static void apply_decision(void *arg)
{
	struct decision *d = arg;
	struct da_call *c = d->call;
	enum cl_admit_action action = d->action;
	enum cl_admit_reason reason = d->reason;

	g_free(d);
	c->decision_pending = false;
	if (action == CL_ADMIT_START && !da_call_is_finished(c)) {
		da_attempt_start_backend(c);
		return;
	}
	if (action == CL_ADMIT_START) {
		/* CL_OVERLOADED has the key released: the call has not run. */
		da_local_end(c, CL_ATTEMPT_CANCELLED, CL_OVERLOADED);
		if (c->detached)
			da_call_detach(c);
		return;
	}
	ba_event(CL_EV_SHED, "call=%s service=%s reason=%s", c->id, c->service,
		 cl_admit_reason_name(reason));
	da_local_end(c, CL_ATTEMPT_OVERLOADED, CL_OVERLOADED);
	if (c->detached)
		da_call_detach(c);
	else
		refuse(c, CL_OVERLOADED);
}
