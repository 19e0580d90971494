#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "base/ba_event.h"
#include "daemon/da_attempt.h"
#include "daemon/da_audit.h"
#include "daemon/da_call.h"
#include "daemon/da_ingress.h"
#include "daemon/da_local.h"
#include "report/rt.h"
#include "report/rt_figures.h"

/*
 * An attempt that was paused, see UNSENT_HIGH_BYTES in da_attempt.c, resumes
 * when no more than this is unsent.
 */
enum { UNSENT_LOW_BYTES = 64 * 1024 };

#define SWEEP_PERIOD (50 * BA_MS)
/* Age of a call from which its sender is checked. */
#define DISCONNECT_CHECK_AFTER (100 * BA_MS)

static int begin_from_caller(struct da_call *c);
static int begin_from_peer(struct da_call *c);
static void arm_sweep(struct da_worker *w, ba_time now);
static void end_detached(struct da_call *c);
static void record_end(struct da_call *c);
static void call_free(struct da_call *c);

void da_call_init(struct da_call *c, struct da_worker *w,
		  const struct da_frontend *front)
{
	da_attempt_init(c);
	c->w = w;
	c->frontend = front;
	c->arrived = ba_clock_now();
	c->answer.length = -1;
	ba_list_init(&c->ready);
	ba_list_init(&c->admit_call.link);
	ba_list_append(&w->calls, &c->link);
	if (!w->sweep_timer.slot)
		arm_sweep(w, c->arrived);
}

void da_call_begin(struct da_call *c)
{
	struct da_shared *shared = c->w->shared;
	int code;

	if (!c->id[0])
		snprintf(c->id, sizeof(c->id), "%016llx",
			 (unsigned long long)ba_rand_next(&c->w->rand));
	c->inner = da_headers_get(&c->headers, CL_HEADER_LAYER) != NULL;
	pthread_mutex_lock(&shared->lock);
	shared->in_progress++;
	c->counted = true;
	code = c->from_peer ? begin_from_peer(c) : begin_from_caller(c);
	pthread_mutex_unlock(&shared->lock);
	if (code)
		da_call_fail(c, code);
	else if (c->from_peer)
		da_local_begin(c);
	else
		da_attempt_start(c);
}

void da_call_fail(struct da_call *c, int code)
{
	enum cl_outcome o;

	code = cl_code_for_caller(code, c->may_have_run);
	o = cl_outcome_of(code);
	c->result = code;
	c->answer.broken = c->head_sent;
	ba_event(o == CL_OUT_NOT_RUN ? CL_EV_NOT_RUN : CL_EV_MAY_HAVE_RUN,
		 "call=%s method=%s target=%s service=%s code=%d", c->id,
		 c->method, c->target, c->service ? c->service : "-", code);
	if (c->detached)
		end_detached(c);
	else
		da_call_notify(c);
}

void da_call_complete(struct da_call *c)
{
	c->answer.complete = true;
	if (c->detached)
		end_detached(c);
	else
		da_call_notify(c);
}

/*
 * The frontend is called once, at the end of the loop iteration: a small
 * answer is complete by then.
 */
void da_call_notify(struct da_call *c)
{
	if (!ba_list_empty(&c->ready))
		return;
	ba_list_append(&c->w->ready_calls, &c->ready);
	ba_loop_arm(c->w->loop, &c->w->ready_timer, 0);
}

void da_call_consumed(struct da_call *c, size_t bytes)
{
	struct da_answer *a = &c->answer;

	c->bytes_sent += bytes;
	if (a->sent == a->data.len) {
		a->sent = 0;
		a->data.len = 0;
	}
	if (!c->fetch)
		return;
	if (c->paused && a->data.len - a->sent > UNSENT_LOW_BYTES)
		return;
	c->paused = false;
	c->fetch->ops->consumed(c->fetch, bytes);
}

bool da_call_is_finished(const struct da_call *c)
{
	return c->detached || c->result || c->answer.complete;
}

void da_call_detach(struct da_call *c)
{
	ba_list_remove(&c->ready);
	if (c->decision_pending || (c->store_answer && c->fetch)) {
		c->detached = true;
		return;
	}
	da_attempt_cancel(c);
	call_free(c);
}

void da_call_notify_ready(struct da_worker *w)
{
	while (!ba_list_empty(&w->ready_calls)) {
		struct da_call *c =
			ba_entry(w->ready_calls.next, struct da_call, ready);

		ba_list_remove(&c->ready);
		if (c->bad_answer && c->fetch) {
			da_attempt_cancel(c);
			rt_count(RT_ANSWERS_BROKEN, 1);
			c->result = CL_ANSWER_BROKEN;
			c->answer.broken = c->head_sent;
		}
		c->frontend->answer_changed(c);
	}
}

void da_call_sweep(struct da_worker *w, ba_time now)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_each_safe(pos, tmp, &w->calls)
	{
		struct da_call *c = ba_entry(pos, struct da_call, link);

		if (now - c->arrived < DISCONNECT_CHECK_AFTER ||
		    c->decision_pending || c->detached ||
		    !c->frontend->is_disconnected ||
		    !c->frontend->is_disconnected(c))
			continue;
		if (c->store_answer && c->fetch)
			continue;
		da_attempt_cancel(c);
		if (!da_call_is_finished(c))
			da_call_fail(c, CL_CANCELLED);
	}
	da_local_run_queue(w->shared);
	if (!ba_list_empty(&w->calls))
		arm_sweep(w, now);
}

void da_call_add_error_json(int code, struct ba_buf *out)
{
	const struct ba_result_info *info = ba_result_info(code);

	ba_buf_addf(out,
		    "{\"code\":%d,\"name\":\"%s\",\"outcome\":\"%s\","
		    "\"message\":\"%s\",\"next_step\":\"%s\"}\n",
		    code, info->name, cl_outcome_name(cl_outcome_of(code)),
		    info->text, info->next_step);
}

static int begin_from_caller(struct da_call *c)
{
	int code = da_ingress_resolve(c);

	return code ? code : da_attempt_choose_endpoint(c);
}

static int begin_from_peer(struct da_call *c)
{
	const struct da_settings *s = c->w->shared->settings;

	if (strcmp(c->service, s->backend_service))
		return CL_NO_ENDPOINT;
	if (c->deadline <= ba_clock_now())
		return CL_DEADLINE_EXPIRED;
	return c->key ? cl_key_parse(c->key, &c->parsed_key) : BA_OK;
}

static void arm_sweep(struct da_worker *w, ba_time now)
{
	ba_loop_arm(w->loop, &w->sweep_timer, now + SWEEP_PERIOD);
}

/* A call is freed only once, so da_call.detached is cleared first. */
static void end_detached(struct da_call *c)
{
	c->detached = false;
	da_call_detach(c);
}

/*
 * Only the daemon that accepted a call from its caller adds it to the figures
 * of the report.
 */
static void record_end(struct da_call *c)
{
	static const enum rt_outcome outcomes[] = {
		[CL_OUT_ANSWERED] = RT_OUTCOME_ANSWERED,
		[CL_OUT_NOT_RUN] = RT_OUTCOME_NOT_RUN,
		[CL_OUT_MAY_HAVE_RUN] = RT_OUTCOME_MAY_HAVE_RUN,
	};
	struct da_shared *shared = c->w->shared;
	ba_time took = ba_clock_now() - c->arrived;
	enum rt_outcome o = outcomes[cl_outcome_of(c->result)];

	if (!c->counted)
		return;
	da_audit_call_end(c);
	pthread_mutex_lock(&shared->lock);
	shared->in_progress--;
	pthread_mutex_unlock(&shared->lock);
	if (c->result == CL_OVERLOADED)
		o = RT_OUTCOME_SHED;
	if (!c->from_peer)
		rt_figures_add_call(
			shared->figures, c->service ? c->service : "-", o, took,
			c->n_tried > 1 ? (unsigned int)c->n_tried - 1 : 0);
	if (!c->result)
		ba_event(CL_EV_ANSWERED, "call=%s status=%d us=%lld", c->id,
			 c->answer.status, (long long)took);
}

static void call_free(struct da_call *c)
{
	record_end(c);
	ba_list_remove(&c->link);
	cf_snapshot_unref(c->snapshot);
	da_headers_free(&c->headers);
	da_headers_free(&c->sent_headers);
	da_headers_free(&c->answer.headers);
	ba_buf_free(&c->answer.data);
	ba_buf_free(&c->body);
	g_free(c->etag);
	g_free(c->content_range);
	g_free(c->method);
	g_free(c->target);
	g_free(c->service);
	g_free(c->key);
	g_free(c);
}
