/*
 * Quotas of teams: requests of a team wait here for tokens, or are refused.
 */
#include "base/ba_clock.h"
#include "base/ba_event.h"
#include "base/ba_result.h"
#include "proxy/px_internal.h"
#include "report/rt.h"

/* A request waits for tokens for this part of the time to its target. */
#define WAIT_PART 4
/* Time enough for an answer of a relay in the same region. */
#define WAIT_MIN (30 * BA_MS)
#define WAIT_MAX (300 * BA_MS)

/* Refusals are logged once in this time for each team. */
#define LOG_PERIOD (5 * BA_SECOND)

/* Teams whose refusals are logged in that time. */
enum { LOG_LIMIT = 16 };

/* @refused: since @logged_at */
struct refusals {
	char *team;
	uint64_t refused;
	ba_time logged_at;
};

static void on_timer(struct ba_timer *t, ba_time now);
static void schedule(struct px *p);
static void resume(struct px *p);
static ba_time wait_until(const struct px_exchange *x, ba_time now);
static void note_refusal(struct px_exchange *x);
static void log_refusals(struct px *p, struct refusals *r);
static gboolean is_old(gpointer key, gpointer value, gpointer arg);
static void refusals_free(gpointer data);

void px_quota_init(struct px *p)
{
	struct px_quota *q = &p->quota;

	q->timer.fire = on_timer;
	q->tokens = cl_quota_new(ba_clock_now());
	q->refusals = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    refusals_free);
}

void px_quota_free(struct px *p)
{
	ba_loop_disarm(p->loop, &p->quota.timer);
	cl_quota_free(p->quota.tokens);
	g_hash_table_destroy(p->quota.refusals);
}

void px_quota_configure(struct px *p)
{
	const struct cf_snapshot *s = p->snapshot;
	struct cl_quota_limit *list = g_new(struct cl_quota_limit, s->n_teams);
	size_t n = cl_quota_read_limits(s, list);

	cl_quota_configure(p->quota.tokens, list, n, ba_clock_now());
	g_free(list);
	schedule(p);
}

void px_quota_connected(struct px *p, bool connected)
{
	cl_quota_connected(p->quota.tokens, connected, ba_clock_now());
	schedule(p);
	resume(p);
}

void px_quota_granted(struct px *p, const struct cl_quota_message *m)
{
	if (!cl_quota_granted(p->quota.tokens, m, ba_clock_now()))
		return;
	resume(p);
	schedule(p);
}

/*
 * The clock is read for each request: the time of the loop may be that before
 * a suspension.
 */
bool px_quota_admits(struct px_exchange *x)
{
	struct cl_quota *q = x->p->quota.tokens;
	enum cl_quota_verdict v;
	ba_time now;

	if (!x->team || !x->team->calls_per_second || x->quota_taken)
		return true;
	now = ba_clock_now();
	v = cl_quota_take(q, cl_quota_team(x->team->name), !x->quota_until,
			  now);
	if (!x->quota_until)
		x->quota_until = wait_until(x, now);
	x->quota_taken = v == CL_QUOTA_ADMIT;
	schedule(x->p);
	if (v == CL_QUOTA_ADMIT)
		return true;
	if (v == CL_QUOTA_REFUSE || now >= x->quota_until) {
		px_quota_refuse(x);
		return false;
	}
	x->state = PX_ATTEMPT_NO_TOKEN;
	ba_loop_arm(x->p->loop, &x->timer, x->quota_until);
	return false;
}

void px_quota_put_back(struct px_exchange *x)
{
	if (!x->quota_taken)
		return;
	cl_quota_put_back(x->p->quota.tokens, cl_quota_team(x->team->name),
			  ba_clock_now());
	x->quota_taken = false;
}

void px_quota_refuse(struct px_exchange *x)
{
	note_refusal(x);
	px_exchange_refuse(x, 429, CL_QUOTA_EXCEEDED);
}

ba_time px_quota_retry_after(const struct px_exchange *x)
{
	return cl_quota_retry_after(x->p->quota.tokens,
				    cl_quota_team(x->team->name),
				    ba_clock_now());
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	struct px *p = ba_entry(t, struct px, quota.timer);
	struct cl_quota_message m;

	now = ba_clock_now();
	if (cl_quota_ask_at(p->quota.tokens) <= now) {
		cl_quota_ask(p->quota.tokens, &m, now);
		p->owner->ask_quota(p->owner, &m);
	}
	schedule(p);
}

static void schedule(struct px *p)
{
	ba_time at = cl_quota_ask_at(p->quota.tokens);

	if (at == BA_NEVER)
		ba_loop_disarm(p->loop, &p->quota.timer);
	else if (!p->quota.timer.slot || p->quota.timer.deadline != at)
		ba_loop_arm(p->loop, &p->quota.timer, at);
}

/* A request may wait again, so those to try are marked first. */
static void resume(struct px *p)
{
	px_exchange_resume(p, PX_ATTEMPT_NO_TOKEN);
}

static ba_time wait_until(const struct px_exchange *x, ba_time now)
{
	ba_time wait = (x->latency_target - x->arrived_at) / WAIT_PART;

	return MIN(now + CLAMP(wait, WAIT_MIN, WAIT_MAX), x->deadline);
}

static void note_refusal(struct px_exchange *x)
{
	GHashTable *all = x->p->quota.refusals;
	ba_time now = ba_loop_now(x->p->loop);
	struct refusals *r = g_hash_table_lookup(all, x->team->name);

	rt_count(RT_QUOTA_REFUSED, 1);
	if (!r && g_hash_table_size(all) >= LOG_LIMIT)
		g_hash_table_foreach_remove(all, is_old, x->p);
	if (!r && g_hash_table_size(all) >= LOG_LIMIT)
		return;
	if (!r) {
		r = g_new0(struct refusals, 1);
		r->team = g_strdup(x->team->name);
		g_hash_table_insert(all, r->team, r);
		r->logged_at = now - LOG_PERIOD;
	}
	r->refused++;
	if (now < r->logged_at + LOG_PERIOD)
		return;
	log_refusals(x->p, r);
	r->logged_at = now;
}

static void log_refusals(struct px *p, struct refusals *r)
{
	struct cl_quota_known v;

	cl_quota_read(p->quota.tokens, cl_quota_team(r->team), &v,
		      ba_clock_now());
	ba_event(CL_EV_QUOTA_REFUSED,
		 "team=%s refused=%llu relay=%d lent=%d instances=%u "
		 "per_second=%.1f",
		 r->team, (unsigned long long)r->refused, (int)v.connected,
		 (int)v.lent, v.instances, v.demand);
	r->refused = 0;
}

/* What was refused of such a team since its last line is logged first. */
static gboolean is_old(gpointer key, gpointer value, gpointer arg)
{
	struct refusals *r = value;
	struct px *p = arg;
	bool old = ba_loop_now(p->loop) >= r->logged_at + LOG_PERIOD;

	(void)key;
	if (old && r->refused)
		log_refusals(p, r);
	return old;
}

static void refusals_free(gpointer data)
{
	struct refusals *r = data;

	g_free(r->team);
	g_free(r);
}
