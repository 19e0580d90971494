#include <string.h>

#include "base/ba_digest.h"
#include "base/ba_event.h"
#include "proxy/px_internal.h"
#include "report/rt.h"

enum {
	/* Digests in one line of the log, each of 16 digits. */
	LOGGED_DIGESTS = 32,
	CHECK_HEAD_LIMIT_BYTES = 1024,
};

/*
 * A test connection counts as open if it lasts so long: a process that ends may
 * close its listening socket last.
 */
#define CHECK_HOLD_TIME (20 * BA_MS)

static uint64_t digest_add(uint64_t digest, const void *part, size_t len);
static void on_timer(struct ba_timer *t, ba_time now);
static void check_backend(struct px *p);
static void on_check_opened(struct ht_conn_owner *o, struct ht_conn *c);
static void on_check_ended(struct ht_conn_owner *o, struct ht_conn *c,
			   enum ht_end why);
static void on_check_held(struct ba_timer *t, ba_time now);
static void report_crash(struct px *p);
static void advance(struct px *p);
static void tell_owner(struct px *p);

void px_poison_init(struct px *p)
{
	struct px_poison *s = &p->poison;

	s->table = cl_poison_new(p->o.instance);
	cl_crash_reset(&s->crash);
	s->timer.fire = on_timer;
	s->hold_timer.fire = on_check_held;
	s->check_owner.drained = on_check_opened;
	s->check_owner.ended = on_check_ended;
}

void px_poison_free(struct px *p)
{
	struct px_poison *s = &p->poison;

	ba_loop_disarm(p->loop, &s->timer);
	ba_loop_disarm(p->loop, &s->hold_timer);
	if (s->check)
		ht_conn_abort(s->check);
	s->check = NULL;
	cl_poison_free(s->table);
	s->table = NULL;
}

/* Each part is hashed with the digest before it as seed, so none runs on. */
uint64_t px_poison_digest(const struct ht_head *h, const char *caller,
			  const struct ba_chain *body)
{
	const char *host = ht_head_get(h, "Host");
	const char *target = ht_head_target(h);
	char *name = g_ascii_strdown(host ? host : "", -1);
	uint64_t d = digest_add(0, name, strcspn(name, ":"));

	g_free(name);
	d = digest_add(d, h->method, strlen(h->method));
	d = digest_add(d, target, strlen(target));
	d = digest_add(d, caller, strlen(caller));
	return ba_chain_hash(body, d);
}

bool px_poison_refuses(struct px_exchange *x)
{
	struct px *p = x->p;

	if (cl_poison_verdict(p->poison.table, x->digest,
			      ba_loop_now(p->loop)) != CL_POISON_CONVICTED)
		return false;
	rt_count(RT_CONVICTED_REFUSED, 1);
	tell_owner(p);
	return true;
}

bool px_poison_suspects(const struct px_exchange *x)
{
	return cl_poison_verdict(x->p->poison.table, x->digest,
				 ba_loop_now(x->p->loop)) != CL_POISON_CLEAR;
}

void px_poison_on_lost(struct px_exchange *x)
{
	struct px *p = x->p;

	/* A backend server that leaves may end with requests in progress. */
	if (!p->backend.presence.registered ||
	    px_backend_is_leaving(&p->backend))
		return;
	cl_crash_lost(&p->poison.crash, x->digest, x->fresh,
		      x->admission.started, ba_loop_now(p->loop));
	advance(p);
}

void px_poison_on_abandoned(struct px_exchange *x)
{
	struct px *p = x->p;

	if (p->backend.presence.registered &&
	    !px_backend_is_leaving(&p->backend))
		cl_crash_abandoned(&p->poison.crash, x->digest,
				   x->admission.started, ba_loop_now(p->loop));
}

void px_poison_on_refused(struct px *p)
{
	cl_crash_refused(&p->poison.crash, ba_loop_now(p->loop));
	advance(p);
}

void px_poison_on_opened(struct px_exchange *x)
{
	cl_crash_opened(&x->p->poison.crash, x->admission.started,
			ba_loop_now(x->p->loop));
	advance(x->p);
}

void px_poison_on_start(struct px *p)
{
	cl_crash_restarted(&p->poison.crash, ba_loop_now(p->loop));
	advance(p);
}

void px_poison_on_leave(struct px *p)
{
	struct cl_crash *c = &p->poison.crash;
	bool checking = c->checking;

	cl_crash_reset(c);
	c->checking = checking;
	advance(p);
}

void px_poison_on_answered(struct px_exchange *x)
{
	struct px *p = x->p;

	cl_poison_answered(p->poison.table, x->digest, ba_loop_now(p->loop));
	tell_owner(p);
}

void px_poison_on_refusal(struct px_exchange *x)
{
	struct px *p = x->p;

	cl_poison_learn_refusal(p->poison.table, x->digest,
				ba_loop_now(p->loop));
	tell_owner(p);
}

void px_poison_learn(struct px *p, const struct ep_view *v)
{
	for (size_t i = 0; i < v->n_reports; i++) {
		const struct ep_report *r = &v->reports[i];

		cl_poison_learn(p->poison.table, r->instance, r->epoch,
				r->marks, r->n_marks, ba_loop_now(p->loop));
	}
	tell_owner(p);
}

static uint64_t digest_add(uint64_t digest, const void *part, size_t len)
{
	return ba_hash(part, len, digest);
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	(void)now;
	advance(ba_entry(t, struct px, poison.timer));
}

/* Does what is due, and arms the timer for what comes next. */
static void advance(struct px *p)
{
	struct px_poison *s = &p->poison;
	ba_time now = ba_loop_now(p->loop);
	ba_time next;

	if (cl_crash_wants_check(&s->crash, now))
		check_backend(p);
	report_crash(p);
	next = cl_crash_next(&s->crash);
	if (next == BA_NEVER)
		ba_loop_disarm(p->loop, &s->timer);
	else
		ba_loop_arm(p->loop, &s->timer, next);
}

static void check_backend(struct px *p)
{
	struct px_poison *s = &p->poison;

	s->check_open = false;
	s->check = ht_conn_dial(p->loop, &p->o.backend_address,
				CHECK_HEAD_LIMIT_BYTES, &s->check_owner);
	ht_conn_set_deadline(s->check,
			     ba_loop_now(p->loop) + PX_CONNECT_TIMEOUT);
}

static void on_check_opened(struct ht_conn_owner *o, struct ht_conn *c)
{
	struct px *p = ba_entry(o, struct px, poison.check_owner);

	(void)c;
	if (p->poison.check_open)
		return;
	p->poison.check_open = true;
	ba_loop_arm(p->loop, &p->poison.hold_timer,
		    ba_loop_now(p->loop) + CHECK_HOLD_TIME);
}

static void on_check_ended(struct ht_conn_owner *o, struct ht_conn *c,
			   enum ht_end why)
{
	struct px *p = ba_entry(o, struct px, poison.check_owner);

	(void)why;
	p->poison.check = NULL;
	ba_loop_disarm(p->loop, &p->poison.hold_timer);
	cl_crash_checked(&p->poison.crash,
			 ht_conn_was_refused(c) ? CL_CRASH_REFUSED
						: CL_CRASH_UNCLEAR,
			 ba_loop_now(p->loop));
	advance(p);
}

static void on_check_held(struct ba_timer *t, ba_time now)
{
	struct px *p = ba_entry(t, struct px, poison.hold_timer);

	ht_conn_abort(p->poison.check);
	p->poison.check = NULL;
	cl_crash_checked(&p->poison.crash, CL_CRASH_OPENED, now);
	advance(p);
}

static void report_crash(struct px *p)
{
	struct px_poison *s = &p->poison;
	ba_time now = ba_loop_now(p->loop);
	uint64_t running[CL_CRASH_RUNNING_MAX];
	size_t n = cl_crash_take(&s->crash, running, now);
	struct ba_buf list = {0};

	if (!n)
		return;
	for (size_t i = 0; i < n && i < LOGGED_DIGESTS; i++)
		ba_buf_addf(&list, "%s%016llx", i ? "," : "",
			    (unsigned long long)running[i]);
	ba_event(CL_EV_CRASH_SUSPECTED, "backend=%s running=%zu requests=%.*s",
		 p->backend.heartbeat.backend, n, (int)list.len,
		 (const char *)list.data);
	ba_buf_free(&list);
	rt_count(RT_BACKEND_CRASHES, 1);
	cl_poison_crashed(s->table, running, n, now);
	tell_owner(p);
}

/* Logs new convictions and passes on the own report if it has changed. */
static void tell_owner(struct px *p)
{
	struct px_poison *s = &p->poison;
	struct ep_mark marks[EP_MARKS_MAX];
	uint64_t request;
	uint32_t crashes;
	size_t n;

	while (cl_poison_next_convicted(s->table, &request, &crashes)) {
		ba_event(CL_EV_REQUEST_CONVICTED, "request=%016llx crashes=%u",
			 (unsigned long long)request, crashes);
		rt_count(RT_REQUESTS_CONVICTED, 1);
	}
	rt_set_gauge(RT_CONVICTED, cl_poison_count_convicted(s->table));
	if (s->generation == cl_poison_generation(s->table))
		return;
	n = cl_poison_report(s->table, marks, ba_loop_now(p->loop));
	s->generation = cl_poison_generation(s->table);
	p->owner->marks_changed(p->owner, marks, n);
}
