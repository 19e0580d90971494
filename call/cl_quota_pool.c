#include <math.h>

#include <glib.h>

#include "call/cl_quota_pool.h"

/* Shares are added up in steps of this time. */
#define STEP (5 * BA_MS)

/* Tokens that are out are counted by the time of their expiry, rounded up. */
#define SLOT (50 * BA_MS)

/* Time over which the rate of granted tokens is averaged. */
#define DEMAND_TIME BA_SECOND

/* A team stays scarce for this time after tokens were last lacking. */
#define SCARCE_TIME BA_SECOND

enum { SLOTS = 16 };

G_STATIC_ASSERT(SLOTS *SLOT >
		CL_QUOTA_GRANT_TIME + CL_QUOTA_BORROW_TIME + 2 * SLOT);

/*
 * @tokens: as of @credit
 * @credit: of the pool, up to which @tokens have accrued
 * @out: tokens granted, by the slot of their expiry modulo %SLOTS
 * @out_slot: the first slot of @out that has not expired
 * @borrowed: tokens from other relays, until @borrowed_until
 * @demand: tokens granted a second, as of @demand_at
 * @lacking: tokens to ask other relays for
 */
struct team {
	struct cl_quota_limit limit;
	double tokens;
	double credit;
	double out[SLOTS];
	int64_t out_slot;
	uint32_t borrowed;
	ba_time borrowed_until;
	double demand;
	ba_time demand_at;
	double lacking;
	ba_time scarce_until;
	struct ba_list link;
	bool configured;
};

/*
 * @credit: integral over time of the part of all shares that is lent, in
 *	seconds, as of @at
 * @lenders: struct cl_quota_lender
 * @instances: highest number of the last %CL_QUOTA_COUNT_MEMORY, last
 *	confirmed at @counted_at
 * @told: highest number that an instance knew of
 * @lacking: teams that lack tokens
 */
struct cl_quota_pool {
	GHashTable *teams;
	double credit;
	ba_time at;
	struct ba_list lenders;
	unsigned int n_lenders;
	ba_time started_at;
	uint32_t instances;
	uint32_t count;
	ba_time counted_at;
	uint32_t told;
	struct ba_list lacking;
	uint64_t number;
};

static void advance(struct cl_quota_pool *p, ba_time now, bool exact);
static uint32_t known_instances(const struct cl_quota_pool *p, ba_time now);
static double lent_part(const struct cl_quota_pool *p);
static void settle(struct cl_quota_pool *p, struct team *t, ba_time now);
static void settle_all(struct cl_quota_pool *p, ba_time now);
static double count_out(struct team *t, ba_time now);
static void begin_grant(const struct cl_quota_pool *p,
			const struct cl_quota_message *ask,
			struct cl_quota_message *out, ba_time now);
static uint32_t grant(struct cl_quota_pool *p, struct team *t, uint32_t want,
		      ba_time now);
static uint32_t take(struct team *t, uint32_t want, double reserve,
		     ba_time until);
static void take_back(struct team *t, uint32_t returned, ba_time now);
static double ahead(const struct team *t, ba_time now);
static void note_lacking(struct cl_quota_pool *p, struct team *t, double n);
static gboolean is_dropped(gpointer key, gpointer value, gpointer arg);
static void team_free(gpointer p);

struct cl_quota_pool *cl_quota_pool_new(ba_time now)
{
	struct cl_quota_pool *p = g_new0(struct cl_quota_pool, 1);

	p->teams = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 team_free);
	ba_list_init(&p->lenders);
	ba_list_init(&p->lacking);
	p->started_at = now;
	p->at = now;
	return p;
}

void cl_quota_pool_free(struct cl_quota_pool *p)
{
	if (!p)
		return;
	g_hash_table_destroy(p->teams);
	g_free(p);
}

void cl_quota_pool_configure(struct cl_quota_pool *p,
			     const struct cl_quota_limit *l, size_t n,
			     ba_time now)
{
	settle_all(p, now);
	for (size_t i = 0; i < n; i++) {
		struct team *t = g_hash_table_lookup(p->teams, &l[i].team);

		if (!t) {
			t = g_new0(struct team, 1);
			ba_list_init(&t->link);
			t->credit = p->credit;
			t->limit.team = l[i].team;
			g_hash_table_insert(p->teams, &t->limit.team, t);
		}
		t->limit = l[i];
		t->configured = true;
	}
	g_hash_table_foreach_remove(p->teams, is_dropped, NULL);
}

void cl_quota_pool_count(struct cl_quota_pool *p, uint32_t instances,
			 ba_time now)
{
	advance(p, now, true);
	if (instances >= p->count ||
	    now - p->counted_at > CL_QUOTA_COUNT_MEMORY) {
		p->count = instances;
		p->counted_at = now;
	}
	p->instances = known_instances(p, now);
}

/*
 * The share is lent from the stamp on, at which the instance had not sent yet:
 * its own count begins later.
 */
void cl_quota_pool_grant(struct cl_quota_pool *p, struct cl_quota_lender *l,
			 const struct cl_quota_message *ask,
			 struct cl_quota_message *out, ba_time now)
{
	ba_time until = ask->stamp + CL_QUOTA_SHARE_TIME;

	/* What an instance knew before is asked only of the first ones. */
	if (ask->instances > p->told &&
	    now < p->started_at + CL_QUOTA_LOAN_TIME) {
		advance(p, now, true);
		p->told = ask->instances;
		p->instances = known_instances(p, now);
	}
	if (ask->lends && ask->stamp <= now && until > now) {
		advance(p, now, l->until <= now);
		p->n_lenders += !l->until;
		l->until = MAX(l->until, until);
		if (ba_list_empty(&l->link))
			ba_list_append(&p->lenders, &l->link);
	} else {
		advance(p, now, false);
	}
	begin_grant(p, ask, out, now);
	for (size_t i = 0; i < ask->n; i++) {
		struct team *t =
			g_hash_table_lookup(p->teams, &ask->amounts[i].team);

		if (!t)
			continue;
		/* What comes later has expired here. */
		if (now < ask->stamp + CL_QUOTA_GRANT_TIME)
			take_back(t, ask->amounts[i].returned, now);
		out->amounts[i].tokens =
			grant(p, t, ask->amounts[i].tokens, now);
	}
}

void cl_quota_pool_end(struct cl_quota_pool *p, struct cl_quota_lender *l,
		       ba_time now)
{
	if (!l->until)
		return;
	advance(p, now, true);
	if (!l->until)
		return;
	ba_list_remove(&l->link);
	l->until = 0;
	p->n_lenders--;
	settle_all(p, now);
}

void cl_quota_pool_lend(struct cl_quota_pool *p,
			const struct cl_quota_message *ask,
			struct cl_quota_message *out, ba_time now)
{
	ba_time until = now + CL_QUOTA_BORROW_TIME + CL_QUOTA_GRANT_TIME;

	advance(p, now, false);
	begin_grant(p, ask, out, now);
	for (size_t i = 0; i < ask->n; i++) {
		struct team *t =
			g_hash_table_lookup(p->teams, &ask->amounts[i].team);

		if (!t)
			continue;
		settle(p, t, now);
		out->amounts[i].tokens = take(t, ask->amounts[i].tokens,
					      ahead(t, now) + 1, until);
	}
}

bool cl_quota_pool_is_lacking(const struct cl_quota_pool *p)
{
	return !ba_list_empty(&p->lacking);
}

bool cl_quota_pool_ask(struct cl_quota_pool *p, unsigned int n_peers,
		       struct cl_quota_message *out, ba_time now)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	*out = (struct cl_quota_message){.number = p->number + 1, .stamp = now};
	ba_list_each_safe(pos, tmp, &p->lacking)
	{
		struct team *t = ba_entry(pos, struct team, link);

		if (out->n == CL_QUOTA_AMOUNTS || !n_peers)
			break;
		out->amounts[out->n++] = (struct cl_quota_amount){
			.team = t->limit.team,
			.tokens = (uint32_t)ceil(t->lacking / n_peers),
		};
		t->lacking = 0;
		ba_list_remove(&t->link);
	}
	p->number += out->n > 0;
	return out->n;
}

/* What is still there expires with what comes now, or before. */
void cl_quota_pool_borrowed(struct cl_quota_pool *p,
			    const struct cl_quota_message *m, ba_time asked_at,
			    ba_time now)
{
	ba_time until = asked_at + CL_QUOTA_BORROW_TIME;

	if (now >= until)
		return;
	for (size_t i = 0; i < m->n; i++) {
		struct team *t =
			g_hash_table_lookup(p->teams, &m->amounts[i].team);

		if (!t || !m->amounts[i].tokens)
			continue;
		if (now >= t->borrowed_until || !t->borrowed) {
			t->borrowed = 0;
			t->borrowed_until = until;
		}
		t->borrowed += m->amounts[i].tokens;
		t->borrowed_until = MIN(t->borrowed_until, until);
	}
}

bool cl_quota_pool_read(struct cl_quota_pool *p, uint64_t team,
			struct cl_quota_pool_state *out, ba_time now)
{
	struct team *t = g_hash_table_lookup(p->teams, &team);

	if (!t)
		return false;
	advance(p, now, false);
	settle(p, t, now);
	*out = (struct cl_quota_pool_state){
		.scarce = now < t->scarce_until,
		.lenders = p->n_lenders,
		.instances = p->instances,
		.tokens = t->tokens,
	};
	return true;
}

/* @exact: before a change of the lenders or of the number of instances */
static void advance(struct cl_quota_pool *p, ba_time now, bool exact)
{
	double lent = 0;
	struct ba_list *pos;
	struct ba_list *tmp;
	unsigned int before = p->n_lenders;

	if (now <= p->at || (!exact && now < p->at + STEP))
		return;
	ba_list_each_safe(pos, tmp, &p->lenders)
	{
		struct cl_quota_lender *l =
			ba_entry(pos, struct cl_quota_lender, link);

		lent += (double)MAX(MIN(l->until, now) - p->at, 0);
		if (l->until > now)
			continue;
		ba_list_remove(&l->link);
		l->until = 0;
		p->n_lenders--;
	}
	if (p->instances)
		p->credit += MIN(lent / p->instances, (double)(now - p->at)) /
			     BA_SECOND;
	p->at = now;
	p->instances = known_instances(p, now);
	if (p->n_lenders < before)
		settle_all(p, now);
}

static uint32_t known_instances(const struct cl_quota_pool *p, ba_time now)
{
	uint32_t n = MAX(MAX(p->count, p->told), p->n_lenders);

	return p->told || now >= p->started_at + CL_QUOTA_COUNT_TIME ? n : 0;
}

static double lent_part(const struct cl_quota_pool *p)
{
	return p->instances ? MIN((double)p->n_lenders / p->instances, 1) : 0;
}

static void settle(struct cl_quota_pool *p, struct team *t, ba_time now)
{
	double stock = cl_quota_stock(&t->limit) * lent_part(p);

	t->tokens += t->limit.rate * (p->credit - t->credit);
	t->credit = p->credit;
	t->tokens = CLAMP(t->tokens, 0, MAX(stock - count_out(t, now), 0));
}

static void settle_all(struct cl_quota_pool *p, ba_time now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, p->teams);
	while (g_hash_table_iter_next(&it, NULL, &value))
		settle(p, value, now);
}

static double count_out(struct team *t, ba_time now)
{
	int64_t first = now / SLOT;
	double sum = 0;

	if (first - t->out_slot > SLOTS)
		t->out_slot = first - SLOTS;
	for (; t->out_slot < first; t->out_slot++)
		t->out[t->out_slot % SLOTS] = 0;
	for (size_t i = 0; i < SLOTS; i++)
		sum += t->out[i];
	return sum;
}

static void begin_grant(const struct cl_quota_pool *p,
			const struct cl_quota_message *ask,
			struct cl_quota_message *out, ba_time now)
{
	*out = (struct cl_quota_message){
		.number = ask->number,
		.stamp = now,
		.instances = p->instances,
		.n = ask->n,
	};
	for (size_t i = 0; i < ask->n; i++)
		out->amounts[i].team = ask->amounts[i].team;
}

static uint32_t grant(struct cl_quota_pool *p, struct team *t, uint32_t want,
		      ba_time now)
{
	uint32_t n = now < t->borrowed_until ? MIN(want, t->borrowed) : 0;
	double soon;

	settle(p, t, now);
	t->borrowed -= n;
	n += take(t, want - n, 0, now + CL_QUOTA_GRANT_TIME);
	t->demand =
		t->demand * exp(-(double)(now - t->demand_at) / DEMAND_TIME) +
		n;
	t->demand_at = now;
	soon = floor(ahead(t, now));
	if (n < want)
		t->scarce_until = now + SCARCE_TIME;
	if (n < want || t->tokens < soon)
		note_lacking(p, t, want - n + MAX(soon - t->tokens, 0));
	return n;
}

/* Takes whole tokens, and leaves @reserve of them. */
static uint32_t take(struct team *t, uint32_t want, double reserve,
		     ba_time until)
{
	double n = MIN((double)want, floor(t->tokens - reserve));

	if (n < 1)
		return 0;
	t->tokens -= n;
	t->out[(until / SLOT + 1) % SLOTS] += n;
	return (uint32_t)n;
}

/* Those that expire first are the ones that are given back. */
static void take_back(struct team *t, uint32_t returned, ba_time now)
{
	double left = MIN(returned, count_out(t, now));

	t->tokens += left;
	for (int64_t s = now / SLOT; left > 0 && s < now / SLOT + SLOTS; s++) {
		double n = MIN(left, t->out[s % SLOTS]);

		t->out[s % SLOTS] -= n;
		left -= n;
	}
}

/* Tokens that the instances of this relay will soon ask for. */
static double ahead(const struct team *t, ba_time now)
{
	double rate =
		t->demand * exp(-(double)(now - t->demand_at) / DEMAND_TIME);

	return rate * CL_QUOTA_AHEAD / DEMAND_TIME;
}

static void note_lacking(struct cl_quota_pool *p, struct team *t, double n)
{
	t->lacking = MAX(t->lacking, n);
	if (ba_list_empty(&t->link))
		ba_list_append(&p->lacking, &t->link);
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

	ba_list_remove(&t->link);
	g_free(t);
}
