#include <math.h>
#include <string.h>

#include <glib.h>

#include "base/ba_digest.h"
#include "base/ba_list.h"
#include "call/cl_quota.h"

/*
 * Not used of what the limit allows: for clocks that differ in speed, and for
 * shares that are counted twice while the number of instances changes.
 */
#define MARGIN 5.0 /* requests */

/* Time over which the rate of a team's requests is averaged. */
#define DEMAND_TIME BA_SECOND

/*
 * Bounds of limits, so that neither waits nor numbers of tokens overflow: one
 * request in 1,000 s, and more than a mesh can serve.
 */
#define RATE_MIN 0.001
#define AMOUNT_MAX 1e9

/* A team with fewer requests a second is not asked for ahead. */
#define DEMAND_MIN 0.01

/* Bounds of the time after which a refused request may come back. */
#define RETRY_MIN CL_QUOTA_SCARCE_TIME
#define RETRY_MAX (5 * BA_SECOND)

/* A relay answers in less, also one of another region. */
#define ANSWER_TIME (200 * BA_MS)

enum { GRANTS = 4 };

/** struct grant - tokens that may be used until @until */
struct grant {
	uint32_t tokens;
	ba_time until;
};

/*
 * @active: in the list of those that are asked for
 * @grants: the oldest first
 * @own: tokens of the own share, as of @own_at, in the period @own_period
 * @demand: requests a second, as of @demand_at
 * @waiting: requests that wait for the next grant
 * @scarce_until: until when no tokens are asked for
 * @granted_part: part of the tokens last asked for that was granted
 */
struct team {
	struct cl_quota_limit limit;
	struct ba_list active;
	struct grant grants[GRANTS];
	double own;
	ba_time own_at;
	uint64_t own_period;
	double demand;
	ba_time demand_at;
	uint32_t waiting;
	ba_time scarce_until;
	double granted_part;
	bool configured;
};

/*
 * @teams: struct team by id
 * @stamp: of the last grant in the open session, or 0
 * @lent_until: when the shares are the instance's own again
 * @lent_here: they are lent in the open session
 * @own_period: number of the time in which the shares are the own ones; tokens
 *	of an earlier one are void
 * @asked: the last question
 * @open: it is not answered yet
 * @urgent: the next question does not wait for its period
 */
struct cl_quota {
	GHashTable *teams;
	struct ba_list active;
	bool connected;
	uint32_t instances;
	ba_time stamp;
	ba_time lent_until;
	bool lent_here;
	uint64_t own_period;
	struct cl_quota_message asked;
	ba_time asked_at;
	bool open;
	bool urgent;
};

static void forget_waiting(struct cl_quota *q);
static void note_demand(struct cl_quota *q, struct team *t, ba_time now);
static double demand(const struct team *t, ba_time now);
static uint32_t count_granted(struct team *t, ba_time now);
static bool spend_granted(struct team *t, ba_time now);
static uint32_t give_back(struct team *t, ba_time now);
static bool spend_own(struct cl_quota *q, struct team *t, ba_time now);
static void lend(struct cl_quota *q, ba_time now);
static uint32_t wanted(struct team *t, ba_time now);
static void add_grant(struct team *t, uint32_t tokens, ba_time until,
		      ba_time now);
static gboolean is_dropped(gpointer key, gpointer value, gpointer arg);
static void team_free(gpointer p);

double cl_quota_stock(const struct cl_quota_limit *l)
{
	double seconds = (double)CL_QUOTA_WINDOW / BA_SECOND;

	return l->burst + CL_QUOTA_OVERAGE * (l->rate * seconds + l->burst) +
	       CL_QUOTA_SLACK - MARGIN;
}

uint64_t cl_quota_team(const char *name)
{
	return ba_hash(name, strlen(name), 0);
}

size_t cl_quota_read_limits(const struct cf_snapshot *s,
			    struct cl_quota_limit *list)
{
	size_t n = 0;

	for (size_t i = 0; i < s->n_teams; i++) {
		const struct cf_team *t = &s->teams[i];

		if (t->calls_per_second <= 0)
			continue;
		list[n++] = (struct cl_quota_limit){
			.team = cl_quota_team(t->name),
			.rate = CLAMP(t->calls_per_second, RATE_MIN,
				      AMOUNT_MAX),
			.burst = MIN(t->burst, AMOUNT_MAX),
		};
	}
	return n;
}

struct cl_quota *cl_quota_new(ba_time now)
{
	struct cl_quota *q = g_new0(struct cl_quota, 1);

	q->teams = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 team_free);
	ba_list_init(&q->active);
	/* The shares of an earlier start may still be lent. */
	q->lent_until = now + CL_QUOTA_LOAN_TIME;
	q->asked_at = now - CL_QUOTA_ASK_PERIOD;
	return q;
}

void cl_quota_free(struct cl_quota *q)
{
	if (!q)
		return;
	g_hash_table_destroy(q->teams);
	g_free(q);
}

void cl_quota_configure(struct cl_quota *q, const struct cl_quota_limit *l,
			size_t n, ba_time now)
{
	for (size_t i = 0; i < n; i++) {
		struct team *t = g_hash_table_lookup(q->teams, &l[i].team);

		if (!t) {
			t = g_new0(struct team, 1);
			t->own_at = now;
			t->granted_part = 1;
			ba_list_init(&t->active);
			t->limit.team = l[i].team;
			g_hash_table_insert(q->teams, &t->limit.team, t);
		}
		t->limit = l[i];
		t->configured = true;
	}
	g_hash_table_foreach_remove(q->teams, is_dropped, NULL);
}

void cl_quota_connected(struct cl_quota *q, bool connected, ba_time now)
{
	q->connected = connected;
	q->stamp = 0;
	q->lent_here = false;
	q->open = false;
	q->urgent = true;
	q->asked_at = now - CL_QUOTA_ASK_PERIOD;
	forget_waiting(q);
}

enum cl_quota_verdict cl_quota_take(struct cl_quota *q, uint64_t team,
				    bool first, ba_time now)
{
	struct team *t = g_hash_table_lookup(q->teams, &team);

	if (!t)
		return CL_QUOTA_ADMIT;
	if (first)
		note_demand(q, t, now);
	if (spend_granted(t, now)) {
		q->urgent |= wanted(t, now) > 2 * count_granted(t, now);
		return CL_QUOTA_ADMIT;
	}
	if (spend_own(q, t, now))
		return CL_QUOTA_ADMIT;
	if (!q->connected || now < t->scarce_until)
		return CL_QUOTA_REFUSE;
	t->waiting++;
	q->urgent = true;
	return CL_QUOTA_WAIT;
}

/* The token never gets more time than it had: it joins those that end first. */
void cl_quota_put_back(struct cl_quota *q, uint64_t team, ba_time now)
{
	struct team *t = g_hash_table_lookup(q->teams, &team);
	struct grant *first = NULL;

	if (!t)
		return;
	for (size_t i = 0; i < GRANTS; i++) {
		struct grant *g = &t->grants[i];

		if (now < g->until && (!first || g->until < first->until))
			first = g;
	}
	if (first)
		first->tokens++;
	else if (now >= q->lent_until && t->own_period == q->own_period)
		t->own += 1;
}

/*
 * While a part of the requests is admitted, a later one has that chance.  A
 * relay that does not answer is left by the time at which the loan ends.
 */
ba_time cl_quota_retry_after(struct cl_quota *q, uint64_t team, ba_time now)
{
	struct team *t = g_hash_table_lookup(q->teams, &team);
	ba_time wait = RETRY_MIN;

	if (!t)
		return wait;
	if (!q->connected)
		wait = q->instances ? (ba_time)(q->instances / t->limit.rate *
						BA_SECOND)
				    : RETRY_MAX;
	else if (q->open && now >= q->asked_at + ANSWER_TIME)
		wait = q->lent_until - now;
	else if (t->granted_part > 0)
		wait = (ba_time)(RETRY_MIN / t->granted_part);
	else
		wait = (ba_time)(BA_SECOND / t->limit.rate);
	return CLAMP(MAX(wait, t->scarce_until - now), RETRY_MIN, RETRY_MAX);
}

void cl_quota_read(struct cl_quota *q, uint64_t team,
		   struct cl_quota_known *out, ba_time now)
{
	struct team *t = g_hash_table_lookup(q->teams, &team);

	*out = (struct cl_quota_known){
		.connected = q->connected,
		.lent = now < q->lent_until,
		.instances = q->instances,
		.demand = t ? demand(t, now) : 0,
	};
}

ba_time cl_quota_ask_at(const struct cl_quota *q)
{
	ba_time soon = q->asked_at + CL_QUOTA_ASK_GAP;
	ba_time at = q->asked_at + CL_QUOTA_ASK_PERIOD;

	if (!q->connected || !g_hash_table_size(q->teams))
		return BA_NEVER;
	if (q->open)
		return q->asked_at + CL_QUOTA_GRANT_TIME;
	if (q->urgent)
		return soon;
	if (q->stamp && !q->lent_here)
		at = MIN(at, MAX(soon, q->lent_until));
	return at;
}

void cl_quota_ask(struct cl_quota *q, struct cl_quota_message *out, ba_time now)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	q->asked.number++;
	q->asked.stamp = q->stamp;
	q->asked.instances = q->instances;
	q->asked.n = 0;
	lend(q, now);
	ba_list_each_safe(pos, tmp, &q->active)
	{
		struct team *t = ba_entry(pos, struct team, active);
		struct cl_quota_amount a = {.team = t->limit.team};
		uint32_t want = wanted(t, now);

		if (q->asked.n == CL_QUOTA_AMOUNTS)
			break;
		if (q->stamp)
			a.returned = give_back(t, now);
		a.tokens = want - MIN(want, count_granted(t, now));
		if (a.tokens || a.returned)
			q->asked.amounts[q->asked.n++] = a;
		if (demand(t, now) < DEMAND_MIN)
			ba_list_remove(&t->active);
	}
	q->asked_at = now;
	q->open = true;
	q->urgent = false;
	*out = q->asked;
}

bool cl_quota_granted(struct cl_quota *q, const struct cl_quota_message *m,
		      ba_time now)
{
	ba_time until = q->asked_at + CL_QUOTA_GRANT_TIME;

	if (!q->open || m->number != q->asked.number || m->n != q->asked.n)
		return false;
	q->open = false;
	q->stamp = m->stamp;
	if (m->instances && m->instances != q->instances) {
		q->own_period++;
		q->instances = m->instances;
	}
	forget_waiting(q);
	for (size_t i = 0; i < m->n; i++) {
		const struct cl_quota_amount *asked = &q->asked.amounts[i];
		uint32_t got = MIN(m->amounts[i].tokens, asked->tokens);
		struct team *t = g_hash_table_lookup(q->teams, &asked->team);

		if (!t || !asked->tokens)
			continue;
		t->granted_part = (double)got / asked->tokens;
		if (got < asked->tokens)
			t->scarce_until = now + CL_QUOTA_SCARCE_TIME;
		add_grant(t, got, until, now);
	}
	return true;
}

/* Those that wait try again now, and are counted anew. */
static void forget_waiting(struct cl_quota *q)
{
	struct ba_list *pos;

	ba_list_each(pos, &q->active) ba_entry(pos, struct team, active)
		->waiting = 0;
}

static void note_demand(struct cl_quota *q, struct team *t, ba_time now)
{
	t->demand = demand(t, now) + (double)BA_SECOND / DEMAND_TIME;
	t->demand_at = now;
	if (ba_list_empty(&t->active))
		ba_list_append(&q->active, &t->active);
}

static double demand(const struct team *t, ba_time now)
{
	return t->demand *
	       exp(-(double)MAX(now - t->demand_at, 0) / DEMAND_TIME);
}

static uint32_t count_granted(struct team *t, ba_time now)
{
	uint32_t n = 0;

	for (size_t i = 0; i < GRANTS; i++)
		if (now < t->grants[i].until)
			n += t->grants[i].tokens;
	return n;
}

static bool spend_granted(struct team *t, ba_time now)
{
	for (size_t i = 0; i < GRANTS; i++) {
		if (now >= t->grants[i].until || !t->grants[i].tokens)
			continue;
		t->grants[i].tokens--;
		return true;
	}
	return false;
}

/* Tokens that may expire unused before the next question. */
static uint32_t give_back(struct team *t, ba_time now)
{
	uint32_t n = 0;

	for (size_t i = 0; i < GRANTS; i++) {
		struct grant *g = &t->grants[i];

		if (now >= g->until || g->until > now + CL_QUOTA_ASK_PERIOD)
			continue;
		n += g->tokens;
		g->tokens = 0;
	}
	return n;
}

static bool spend_own(struct cl_quota *q, struct team *t, ba_time now)
{
	ba_time from = MAX(t->own_at, q->lent_until);

	if (now < q->lent_until || !q->instances)
		return false;
	if (t->own_period != q->own_period) {
		t->own_period = q->own_period;
		t->own = 0;
	}
	t->own += t->limit.rate / q->instances * (double)MAX(now - from, 0) /
		  BA_SECOND;
	t->own = MIN(t->own, cl_quota_stock(&t->limit) / q->instances);
	t->own_at = now;
	if (t->own < 1)
		return false;
	t->own -= 1;
	return true;
}

/*
 * Shares that are lent to another relay come back first.  After a start no own
 * share is used before a loan of the earlier start has ended, but the shares
 * are lent at once: its session has ended with it.
 */
static void lend(struct cl_quota *q, ba_time now)
{
	bool lent_before = q->own_period || q->lent_here;

	q->asked.lends = false;
	if (!q->stamp)
		return;
	if (lent_before && !q->lent_here && now < q->lent_until)
		return;
	if (!q->lent_here)
		q->own_period++;
	q->lent_here = true;
	q->lent_until = now + CL_QUOTA_LOAN_TIME;
	q->asked.lends = true;
}

/* Without a request that waits, a single token is not worth its expiry. */
static uint32_t wanted(struct team *t, ba_time now)
{
	double ahead = demand(t, now) * CL_QUOTA_AHEAD / BA_SECOND;

	if (now < t->scarce_until)
		return 0;
	return t->waiting + (ahead < 1 ? 0 : (uint32_t)ceil(ahead));
}

/* The oldest grants are merged when there are too many. */
static void add_grant(struct team *t, uint32_t tokens, ba_time until,
		      ba_time now)
{
	struct grant *g = t->grants;

	if (!tokens || now >= until)
		return;
	if (now < g[0].until && g[0].tokens) {
		g[1].tokens += g[0].tokens;
		g[1].until = MIN(g[0].until, g[1].until);
	}
	memmove(g, g + 1, (GRANTS - 1) * sizeof(*g));
	g[GRANTS - 1] = (struct grant){tokens, until};
}

static gboolean is_dropped(gpointer key, gpointer value, gpointer arg)
{
	struct team *t = value;
	bool dropped = !t->configured;

	(void)key;
	(void)arg;
	t->configured = false;
	return dropped;
}

static void team_free(gpointer p)
{
	struct team *t = p;

	ba_list_remove(&t->active);
	g_free(t);
}
