#include <string.h>

#include <glib.h>

#include "http/ht_link.h"

/* The rest of the rate is left for the headers of lower layers. */
#define USABLE_RATE_SHARE 0.95
/* Messages with an expiry count on this share; short ones take of the rate. */
#define EXPIRY_RATE_SHARE 0.75
/* How much earlier than necessary a message with an expiry is sent. */
#define EXPIRY_SLACK (200 * BA_MS)

/*
 * @refs: references; ht_link_new() gives the first
 * @tokens: token bucket, in bytes; negative when overdrawn
 * @refilled_at: time at which @tokens was last updated
 * @waiting: queue of users with long messages, by rank
 * @hurried: user whose writes are not counted in @credit, or NULL
 * @credit: bytes that the first rank has sent while both ranks wait, less
 *	@weight times those of the second rank; when positive, the second
 *	is next
 * @unsent: bytes that are not written yet, by rank
 * @n_unsent_users: number of users with such bytes
 * @end: when the sender is about to leave, 0 if not known
 * @expiring: users with an expiry; used only during a call of expiring_user()
 */
struct ht_link {
	unsigned int refs;
	struct ba_loop *loop;
	struct ba_timer timer;
	double rate;
	double weight;
	double tokens;
	ba_time refilled_at;
	struct ba_list waiting[HT_LINK_RANKS];
	const struct ht_link_user *hurried;
	double credit;
	size_t unsent[HT_LINK_RANKS];
	unsigned int n_unsent_users;
	ba_time end;
	GPtrArray *expiring;
};

static void refill(struct ht_link *l, ba_time now);
static void update_credit(struct ht_link *l, const struct ht_link_user *u,
			  double bytes);
static struct ht_link_user *next_user(struct ht_link *l);
static struct ht_link_user *expiring_user(const struct ht_link *l);
static void collect_expiring(const struct ht_link *l);
static gint compare_expiry(gconstpointer a, gconstpointer b, gpointer link);
static guint find_largest(const GPtrArray *users, guint n);
static ba_time expiry(const struct ht_link *l, const struct ht_link_user *u);
static ba_time expiry_send_time(const struct ht_link *l, size_t bytes);
static size_t rest(const struct ht_link_user *u);
static bool is_any_unblocked(const struct ht_link *l);
static struct ht_link_user *first_unblocked(const struct ht_link *l,
					    unsigned int rank);
static void demote_late(struct ht_link *l, ba_time now);
static bool precedes(const struct ht_link *l, const struct ht_link_user *a,
		     const struct ht_link_user *b);
static ba_time due(const struct ht_link *l, const struct ht_link_user *u);
static void dequeue(struct ba_list *pos);
static bool is_waiting(const struct ht_link_user *u);
static void arm_timer(struct ht_link *l);
static void on_timer(struct ba_timer *t, ba_time now);

struct ht_link *ht_link_new(struct ba_loop *loop, int64_t rate, double weight,
			    ba_time now)
{
	struct ht_link *l = g_new0(struct ht_link, 1);

	l->refs = 1;
	l->loop = loop;
	l->expiring = g_ptr_array_new();
	l->timer.fire = on_timer;
	l->rate = (double)rate * USABLE_RATE_SHARE;
	l->weight = weight;
	l->tokens = HT_LINK_BURST_BYTES;
	l->refilled_at = now;
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
			dequeue(l->waiting[i].next);
	if (l->loop)
		ba_loop_disarm(l->loop, &l->timer);
	l->loop = NULL;
	ht_link_unref(l);
}

struct ht_link *ht_link_ref(struct ht_link *l)
{
	l->refs++;
	return l;
}

void ht_link_unref(struct ht_link *l)
{
	if (!l || --l->refs)
		return;
	g_ptr_array_free(l->expiring, TRUE);
	g_free(l);
}

size_t ht_link_request(struct ht_link *l, struct ht_link_user *u, size_t sent,
		       size_t left, ba_time now)
{
	refill(l, now);
	if (sent + left <= HT_LINK_SHORT_BYTES || l->rate <= 0)
		return left;
	if (!is_waiting(u))
		ba_list_append(&l->waiting[u->rank], &u->link);
	u->blocked = false;
	if (!u->unsent)
		ht_link_set_unsent(l, u, left);
	demote_late(l, now);
	if (l->tokens > 0 && next_user(l) == u)
		return MIN(left, HT_LINK_PIECE_BYTES);
	arm_timer(l);
	return 0;
}

void ht_link_account_write(struct ht_link *l, struct ht_link_user *u,
			   size_t bytes, bool blocked)
{
	l->tokens -= (double)bytes;
	update_credit(l, u, (double)bytes);
	u->blocked = blocked;
	arm_timer(l);
}

void ht_link_set_end(struct ht_link *l, ba_time end)
{
	l->end = end;
	arm_timer(l);
}

void ht_link_dequeue(struct ht_link *l, struct ht_link_user *u)
{
	if (!is_waiting(u))
		return;
	dequeue(&u->link);
	arm_timer(l);
}

void ht_link_set_rank(struct ht_link *l, struct ht_link_user *u,
		      unsigned int rank)
{
	bool was_waiting = is_waiting(u);

	if (rank == u->rank)
		return;
	l->unsent[u->rank] -= u->unsent;
	l->unsent[rank] += u->unsent;
	u->rank = rank;
	if (!was_waiting)
		return;
	ba_list_remove(&u->link);
	ba_list_append(&l->waiting[rank], &u->link);
}

void ht_link_set_unsent(struct ht_link *l, struct ht_link_user *u,
			size_t unsent)
{
	l->n_unsent_users += !u->unsent && unsent;
	l->n_unsent_users -= u->unsent && !unsent;
	l->unsent[u->rank] += unsent;
	l->unsent[u->rank] -= u->unsent;
	u->unsent = unsent;
}

size_t ht_link_unsent(const struct ht_link *l, unsigned int rank)
{
	return l->unsent[rank];
}

unsigned int ht_link_count_unsent_users(const struct ht_link *l)
{
	return l->n_unsent_users;
}

ba_time ht_link_next_run(const struct ht_link *l)
{
	if (!is_any_unblocked(l))
		return BA_NEVER;
	if (l->tokens > 0)
		return l->refilled_at;
	return l->refilled_at + 1 +
	       (ba_time)(-l->tokens * (double)BA_SECOND / l->rate);
}

/* A user that is called and writes nothing is removed from its queue. */
void ht_link_run(struct ht_link *l, ba_time now)
{
	struct ht_link_user *u;

	refill(l, now);
	demote_late(l, now);
	while (l->tokens > 0 && (u = next_user(l))) {
		double before = l->tokens;

		u->may_write(u);
		if (l->tokens == before && next_user(l) == u)
			ht_link_dequeue(l, u);
	}
	arm_timer(l);
}

static void refill(struct ht_link *l, ba_time now)
{
	l->tokens +=
		l->rate * (double)(now - l->refilled_at) / (double)BA_SECOND;
	l->tokens = MIN(l->tokens, HT_LINK_BURST_BYTES);
	l->refilled_at = now;
}

/*
 * Nothing is owed while only one rank waits, nor for a message that goes first
 * as its receiver leaves: the rest of its rank keeps its share.
 */
static void update_credit(struct ht_link *l, const struct ht_link_user *u,
			  double bytes)
{
	if (!is_waiting(u) || u == l->hurried)
		return;
	if (!first_unblocked(l, 0) || !first_unblocked(l, 1))
		l->credit = 0;
	else
		l->credit += u->rank ? -bytes * l->weight : bytes;
}

static struct ht_link_user *next_user(struct ht_link *l)
{
	struct ht_link_user *high = first_unblocked(l, 0);
	struct ht_link_user *low = first_unblocked(l, 1);
	struct ht_link_user *expiring = low ? expiring_user(l) : NULL;

	l->hurried = expiring;
	if (expiring)
		return expiring;
	return low && (!high || l->credit > 0) ? low : high;
}

/*
 * Returns the message of the second rank that expires first, if one of those
 * that can be complete in time could not be if it waited any longer.
 */
static struct ht_link_user *expiring_user(const struct ht_link *l)
{
	ba_time now = l->refilled_at;
	ba_time slack = BA_NEVER;
	GPtrArray *users = l->expiring;
	size_t bytes = 0;
	guint n = 0;

	collect_expiring(l);
	for (guint i = 0; i < users->len; i++) {
		struct ht_link_user *u = users->pdata[i];

		users->pdata[n++] = u;
		bytes += rest(u);
		if (now + expiry_send_time(l, bytes) >
		    expiry(l, u) + HT_LINK_EXPIRY_TAIL) {
			guint largest = find_largest(users, n);

			u = users->pdata[largest];
			bytes -= rest(u);
			memmove(&users->pdata[largest],
				&users->pdata[largest + 1],
				(--n - largest) * sizeof(gpointer));
		}
	}
	bytes = 0;
	for (guint i = 0; i < n; i++) {
		const struct ht_link_user *u = users->pdata[i];

		bytes += rest(u);
		slack = MIN(slack,
			    expiry(l, u) - now - expiry_send_time(l, bytes));
	}
	return n && slack <= EXPIRY_SLACK ? users->pdata[0] : NULL;
}

static void collect_expiring(const struct ht_link *l)
{
	struct ba_list *pos;

	g_ptr_array_set_size(l->expiring, 0);
	ba_list_each(pos, &l->waiting[1])
	{
		struct ht_link_user *u =
			ba_entry(pos, struct ht_link_user, link);

		if (expiry(l, u) && !u->blocked)
			g_ptr_array_add(l->expiring, u);
	}
	g_ptr_array_sort_with_data(l->expiring, compare_expiry, (gpointer)l);
}

static gint compare_expiry(gconstpointer a, gconstpointer b, gpointer link)
{
	ba_time ta = expiry(link, *(struct ht_link_user *const *)a);
	ba_time tb = expiry(link, *(struct ht_link_user *const *)b);

	return (ta > tb) - (ta < tb);
}

/* Returns the index of the largest of the first @n users. */
static guint find_largest(const GPtrArray *users, guint n)
{
	guint largest = 0;

	for (guint i = 1; i < n; i++) {
		const struct ht_link_user *u = users->pdata[i];
		const struct ht_link_user *v = users->pdata[largest];

		if (rest(u) > rest(v))
			largest = i;
	}
	return largest;
}

static ba_time expiry(const struct ht_link *l, const struct ht_link_user *u)
{
	if (!l->end || !u->expiry)
		return MAX(l->end, u->expiry);
	return MIN(l->end, u->expiry);
}

static ba_time expiry_send_time(const struct ht_link *l, size_t bytes)
{
	return (ba_time)((double)bytes * (double)BA_SECOND /
			 (l->rate * EXPIRY_RATE_SHARE));
}

static size_t rest(const struct ht_link_user *u)
{
	return u->unsent + u->to_come;
}

static bool is_any_unblocked(const struct ht_link *l)
{
	return first_unblocked(l, 0) || first_unblocked(l, 1);
}

static struct ht_link_user *first_unblocked(const struct ht_link *l,
					    unsigned int rank)
{
	struct ht_link_user *first = NULL;
	struct ba_list *pos;

	ba_list_each(pos, &l->waiting[rank])
	{
		struct ht_link_user *u =
			ba_entry(pos, struct ht_link_user, link);

		if (!u->blocked && (!first || precedes(l, u, first)))
			first = u;
	}
	return first;
}

/*
 * Of equals, the one that was queued first is met first.  In the second rank,
 * where the rate does not suffice for all, the shortest rest is sent first, so
 * that most of them end while their receivers still wait.
 */
static bool precedes(const struct ht_link *l, const struct ht_link_user *a,
		     const struct ht_link_user *b)
{
	if (a->rank)
		return a->unsent < b->unsent;
	return due(l, a) && (!due(l, b) || due(l, a) < due(l, b));
}

/* When the message is to be complete, 0 for no such time. */
static ba_time due(const struct ht_link *l, const struct ht_link_user *u)
{
	ba_time leaves_at = expiry(l, u);

	if (!u->deadline || !leaves_at)
		return u->deadline;
	return MIN(u->deadline, leaves_at);
}

static void demote_late(struct ht_link *l, ba_time now)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_each_safe(pos, tmp, &l->waiting[0])
	{
		struct ht_link_user *u =
			ba_entry(pos, struct ht_link_user, link);
		double time = (double)u->unsent * (double)BA_SECOND / l->rate;

		if (due(l, u) && (double)now + time > (double)due(l, u))
			ht_link_set_rank(l, u, 1);
	}
}

static void dequeue(struct ba_list *pos)
{
	ba_list_remove(pos);
	ba_list_init(pos);
}

static bool is_waiting(const struct ht_link_user *u)
{
	return !ba_list_empty(&u->link);
}

static void arm_timer(struct ht_link *l)
{
	ba_time next = ht_link_next_run(l);

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
