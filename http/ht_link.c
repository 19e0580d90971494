#include <glib.h>

#include "http/ht_link.h"

/* Of the rate; the rest is for the bytes of the layers below. */
#define USABLE 0.95

/*
 * @tokens: bytes that may be written ahead; negative when overdrawn
 * @at: when @tokens was true
 * @waiting: users with long messages by rank, the next one first
 * @credit: bytes that the second rank is owed while both wait
 * @unsent: bytes that are not written, by rank
 * @busy: users that have some
 */
struct ht_link {
	struct ba_loop *loop;
	struct ba_timer timer;
	double rate;
	double weight;
	double tokens;
	ba_time at;
	struct ba_list waiting[HT_LINK_RANKS];
	double credit;
	size_t unsent[HT_LINK_RANKS];
	unsigned int busy;
};

static void refill(struct ht_link *l, ba_time now);
static void settle(struct ht_link *l, const struct ht_link_user *u,
		   double bytes);
static struct ht_link_user *first(const struct ht_link *l);
static struct ht_link_user *first_of(const struct ba_list *waiting);
static bool waits(const struct ht_link_user *u);
static void arm(struct ht_link *l);
static void on_timer(struct ba_timer *t, ba_time now);

struct ht_link *ht_link_new(struct ba_loop *loop, int64_t rate, double weight,
			    ba_time now)
{
	struct ht_link *l = g_new0(struct ht_link, 1);

	l->loop = loop;
	l->timer.fire = on_timer;
	l->rate = (double)rate * USABLE;
	l->weight = weight;
	l->tokens = HT_LINK_AHEAD;
	l->at = now;
	for (int i = 0; i < HT_LINK_RANKS; i++)
		ba_list_init(&l->waiting[i]);
	return l;
}

void ht_link_free(struct ht_link *l)
{
	if (!l)
		return;
	for (int i = 0; i < HT_LINK_RANKS; i++)
		while (!ba_list_empty(&l->waiting[i]))
			ba_list_remove(l->waiting[i].next);
	if (l->loop)
		ba_loop_disarm(l->loop, &l->timer);
	g_free(l);
}

size_t ht_link_ask(struct ht_link *l, struct ht_link_user *u, size_t sent,
		   size_t left, ba_time now)
{
	refill(l, now);
	if (sent + left <= HT_LINK_SHORT || l->rate <= 0)
		return left;
	if (!waits(u))
		ba_list_append(&l->waiting[u->rank], &u->link);
	u->full = false;
	if (l->tokens > 0 && first(l) == u)
		return MIN(left, HT_LINK_PIECE);
	arm(l);
	return 0;
}

void ht_link_wrote(struct ht_link *l, struct ht_link_user *u, size_t bytes,
		   bool full)
{
	l->tokens -= (double)bytes;
	settle(l, u, (double)bytes);
	u->full = full;
	arm(l);
}

void ht_link_leave(struct ht_link *l, struct ht_link_user *u)
{
	if (!waits(u))
		return;
	ba_list_remove(&u->link);
	ba_list_init(&u->link);
	arm(l);
}

void ht_link_rank(struct ht_link *l, struct ht_link_user *u, unsigned int rank)
{
	bool waited = waits(u);

	if (rank == u->rank)
		return;
	l->unsent[u->rank] -= u->unsent;
	l->unsent[rank] += u->unsent;
	u->rank = rank;
	if (!waited)
		return;
	ba_list_remove(&u->link);
	ba_list_append(&l->waiting[rank], &u->link);
}

void ht_link_note(struct ht_link *l, struct ht_link_user *u, size_t unsent)
{
	l->busy += !u->unsent && unsent;
	l->busy -= u->unsent && !unsent;
	l->unsent[u->rank] += unsent;
	l->unsent[u->rank] -= u->unsent;
	u->unsent = unsent;
}

size_t ht_link_unsent(const struct ht_link *l, unsigned int rank)
{
	return l->unsent[rank];
}

unsigned int ht_link_busy(const struct ht_link *l)
{
	return l->busy;
}

ba_time ht_link_next(const struct ht_link *l)
{
	if (!first(l))
		return BA_NEVER;
	if (l->tokens > 0)
		return l->at;
	return l->at + 1 + (ba_time)(-l->tokens * (double)BA_SECOND / l->rate);
}

/* One that has no use for its turn loses it. */
void ht_link_run(struct ht_link *l, ba_time now)
{
	struct ht_link_user *u;

	refill(l, now);
	while (l->tokens > 0 && (u = first(l))) {
		double before = l->tokens;

		u->go(u);
		if (l->tokens == before && first(l) == u)
			ht_link_leave(l, u);
	}
	arm(l);
}

static void refill(struct ht_link *l, ba_time now)
{
	l->tokens += l->rate * (double)(now - l->at) / (double)BA_SECOND;
	l->tokens = MIN(l->tokens, HT_LINK_AHEAD);
	l->at = now;
}

/* While only one rank waits nothing is owed. */
static void settle(struct ht_link *l, const struct ht_link_user *u,
		   double bytes)
{
	if (!waits(u))
		return;
	if (!first_of(&l->waiting[0]) || !first_of(&l->waiting[1]))
		l->credit = 0;
	else
		l->credit += u->rank ? -bytes * l->weight : bytes;
}

static struct ht_link_user *first(const struct ht_link *l)
{
	struct ht_link_user *one = first_of(&l->waiting[0]);
	struct ht_link_user *two = first_of(&l->waiting[1]);

	return two && (!one || l->credit > 0) ? two : one;
}

static struct ht_link_user *first_of(const struct ba_list *waiting)
{
	struct ba_list *pos;

	ba_list_each(pos, waiting)
	{
		struct ht_link_user *u =
			ba_entry(pos, struct ht_link_user, link);

		if (!u->full)
			return u;
	}
	return NULL;
}

static bool waits(const struct ht_link_user *u)
{
	return !ba_list_empty(&u->link);
}

static void arm(struct ht_link *l)
{
	ba_time next = ht_link_next(l);

	if (!l->loop)
		return;
	if (next == BA_NEVER)
		ba_loop_disarm(l->loop, &l->timer);
	else
		ba_loop_arm(l->loop, &l->timer, next);
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	ht_link_run(ba_entry(t, struct ht_link, timer), now);
}
