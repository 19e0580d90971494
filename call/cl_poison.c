#include <string.h>

#include <glib.h>

#include "base/ba_digest.h"
#include "base/ba_list.h"
#include "call/cl_poison.h"

enum {
	ANSWER_SETS = 1024,
	ANSWER_WAYS = 4,
	REPORTERS_MAX = 2048,
	/* Marks of one reporter, with those that its report has lost. */
	STORED_MAX = 2 * EP_MARKS_MAX,
};

#define ANSWER_MEMORY (10 * BA_SECOND)
#define REPORTER_MEMORY BA_HOUR

/* Reports of crashes that an acquittal voids may arrive this much after it. */
#define SETTLE_TIME (2 * BA_SECOND)
/* Within this time a report may still be followed by an older one. */
#define DISORDER_TIME (30 * BA_SECOND)
/* Least time between two searches for a report of the same conviction. */
#define SEARCH_INTERVAL BA_SECOND

/*
 * What this instance reports of a request.
 * @voided: number of @crashes that are void
 * @expires: end of the report; once it is not reported, time at which the
 *	counts are forgotten
 */
struct own_mark {
	uint32_t crashes;
	uint32_t acquittals;
	uint32_t voided;
	ba_time expires;
};

/*
 * @link: in the list of suspects or of convicts, oldest evidence first
 * @own_link: in the list of own marks, if it is reported
 * @crashes: of all instances, since the last acquittal
 * @told: the conviction was returned by cl_poison_next_convicted()
 * @settles: other instances' evidence that arrives before this time is void
 * @search_at: next search for a report of the conviction
 */
struct entry {
	struct ba_list link;
	struct ba_list own_link;
	uint64_t request;
	uint32_t crashes;
	bool convicted;
	bool told;
	ba_time expires;
	ba_time settles;
	ba_time search_at;
	struct own_mark own;
};

/*
 * A mark of the last report of a reporter.
 * @forgotten_at: %BA_NEVER while the report holds it
 */
struct stored {
	struct ep_mark mark;
	ba_time forgotten_at;
};

/* Another instance, with the marks of it that were processed. */
struct reporter {
	struct ba_list link;
	uint64_t id;
	uint64_t epoch;
	ba_time expires;
	GArray *stored;
};

/* An answer that was seen and may acquit its request, until @expires. */
struct answer {
	uint64_t request;
	ba_time expires;
};

/*
 * @untold: there may be convictions that were not told
 * @reporters_by_age: the one whose report changed last is at the end
 */
struct cl_poison {
	uint64_t id;
	GHashTable *entries;
	struct ba_list suspects;
	struct ba_list convicts;
	struct ba_list own;
	size_t n_own;
	unsigned int n_convicts;
	bool untold;
	uint64_t generation;
	GHashTable *reporters;
	struct ba_list reporters_by_age;
	struct answer answers[ANSWER_SETS][ANSWER_WAYS];
};

static void blame(struct cl_poison *p, uint64_t request, ba_time now);
static void learn_mark(struct cl_poison *p, struct reporter *r,
		       const struct ep_mark *mark, ba_time now);
static struct stored *add_stored(struct reporter *r, uint64_t request);
static void apply(struct cl_poison *p, const struct ep_mark *old,
		  const struct ep_mark *mark, ba_time now);
static void drop_missing(struct reporter *r, const struct ep_mark *marks,
			 size_t n, ba_time now);
static void add_evidence(struct cl_poison *p, struct entry *e, uint32_t crashes,
			 bool convicted, ba_time now);
static void convict(struct cl_poison *p, struct entry *e);
static void acquit(struct cl_poison *p, struct entry *e, ba_time now);
static void void_crashes(struct cl_poison *p, struct entry *e, ba_time now);
static bool is_witness(const struct entry *e);
static void renew_conviction(struct cl_poison *p, struct entry *e, ba_time now);
static bool is_reported(const struct cl_poison *p, uint64_t request);
static void touch(struct cl_poison *p, struct entry *e, ba_time now);
static void touch_own(struct cl_poison *p, struct entry *e, ba_time now);
static void hide_own(struct cl_poison *p, struct entry *e, ba_time now);
static struct own_mark *get_own(struct entry *e, ba_time now);
static struct entry *find_least_own(const struct cl_poison *p);
static struct entry *find_entry(const struct cl_poison *p, uint64_t request);
static struct entry *get_entry(struct cl_poison *p, uint64_t request,
			       ba_time now);
static void remove_entry(struct cl_poison *p, struct entry *e);
static struct reporter *find_reporter(struct cl_poison *p, uint64_t id);
static struct reporter *add_reporter(struct cl_poison *p, uint64_t id);
static void remove_reporter(struct cl_poison *p, struct reporter *r);
static struct stored *find_stored(const struct reporter *r, uint64_t request);
static void remember_answer(struct cl_poison *p, uint64_t request, ba_time now);
static bool take_answer(struct cl_poison *p, uint64_t request, ba_time now);
static void expire(struct cl_poison *p, ba_time now);
static void expire_entries(struct cl_poison *p, struct ba_list *oldest_first,
			   ba_time now);
static uint64_t instance_id(const char *instance);
static int compare_marks(const void *a, const void *b);

struct cl_poison *cl_poison_new(const char *instance)
{
	struct cl_poison *p = g_new0(struct cl_poison, 1);

	p->id = instance_id(instance);
	p->entries = g_hash_table_new(g_int64_hash, g_int64_equal);
	p->reporters = g_hash_table_new(g_int64_hash, g_int64_equal);
	ba_list_init(&p->suspects);
	ba_list_init(&p->convicts);
	ba_list_init(&p->own);
	ba_list_init(&p->reporters_by_age);
	return p;
}

void cl_poison_free(struct cl_poison *p)
{
	if (!p)
		return;
	expire(p, BA_NEVER);
	g_hash_table_destroy(p->entries);
	g_hash_table_destroy(p->reporters);
	g_free(p);
}

void cl_poison_crashed(struct cl_poison *p, const uint64_t *running, size_t n,
		       ba_time now)
{
	uint32_t most = 0;
	uint32_t *crashes;
	size_t i, j;

	expire(p, now);
	if (!n)
		return;
	crashes = g_new0(uint32_t, n);
	for (i = 0; i < n; i++) {
		const struct entry *e = find_entry(p, running[i]);

		if (e)
			crashes[i] = e->convicted ? UINT32_MAX : e->crashes;
		most = MAX(most, crashes[i]);
	}
	for (i = 0; i < n; i++) {
		for (j = 0; j < i && running[j] != running[i]; j++)
			;
		if (j == i && crashes[i] == most)
			blame(p, running[i], now);
	}
	g_free(crashes);
}

void cl_poison_answered(struct cl_poison *p, uint64_t request, ba_time now)
{
	struct entry *e;

	expire(p, now);
	e = find_entry(p, request);
	if (e && (e->convicted || e->crashes))
		acquit(p, e, now);
	else
		remember_answer(p, request, now);
}

void cl_poison_learn(struct cl_poison *p, const char *instance, uint64_t epoch,
		     const struct ep_mark *marks, size_t n, ba_time now)
{
	uint64_t id = instance_id(instance);
	struct reporter *r;
	size_t i;

	expire(p, now);
	if (id == p->id)
		return;
	r = find_reporter(p, id);
	if (!r && !n)
		return;
	/* One that was forgotten would be counted anew with the next report. */
	if (!r && g_hash_table_size(p->reporters) >= REPORTERS_MAX)
		return;
	if (!r)
		r = add_reporter(p, id);
	if (epoch < r->epoch)
		return;
	if (epoch > r->epoch)
		g_array_set_size(r->stored, 0);
	r->epoch = epoch;
	n = MIN(n, EP_MARKS_MAX);
	drop_missing(r, marks, n, now);
	for (i = 0; i < n; i++)
		learn_mark(p, r, &marks[i], now);
}

void cl_poison_learn_refusal(struct cl_poison *p, uint64_t request, ba_time now)
{
	struct entry *e;

	expire(p, now);
	e = get_entry(p, request, now);
	if (now >= e->settles)
		add_evidence(p, e, 0, true, now);
}

enum cl_poison_verdict cl_poison_verdict(struct cl_poison *p, uint64_t request,
					 ba_time now)
{
	struct entry *e;

	expire(p, now);
	e = find_entry(p, request);
	if (!e)
		return CL_POISON_CLEAR;
	if (e->convicted) {
		renew_conviction(p, e, now);
		return CL_POISON_CONVICTED;
	}
	return e->crashes >= CL_POISON_CRASHES - 1 ? CL_POISON_SUSPECT
						   : CL_POISON_CLEAR;
}

bool cl_poison_next_convicted(struct cl_poison *p, uint64_t *request,
			      uint32_t *crashes)
{
	struct ba_list *pos;

	if (!p->untold)
		return false;
	ba_list_each(pos, &p->convicts)
	{
		struct entry *e = ba_entry(pos, struct entry, link);

		if (e->told)
			continue;
		e->told = true;
		*request = e->request;
		*crashes = e->crashes;
		return true;
	}
	p->untold = false;
	return false;
}

size_t cl_poison_report(struct cl_poison *p, struct ep_mark *marks, ba_time now)
{
	struct ba_list *pos;
	size_t n = 0;

	expire(p, now);
	ba_list_each(pos, &p->own)
	{
		const struct entry *e = ba_entry(pos, struct entry, own_link);

		marks[n].request = e->request;
		marks[n].crashes = e->own.crashes;
		marks[n].acquittals = e->own.acquittals;
		marks[n].convicted = e->convicted && is_witness(e);
		n++;
	}
	qsort(marks, n, sizeof(*marks), compare_marks);
	return n;
}

uint64_t cl_poison_generation(const struct cl_poison *p)
{
	return p->generation;
}

unsigned int cl_poison_count_convicted(const struct cl_poison *p)
{
	return p->n_convicts;
}

static void blame(struct cl_poison *p, uint64_t request, ba_time now)
{
	struct entry *e = get_entry(p, request, now);

	get_own(e, now)->crashes++;
	add_evidence(p, e, 1, false, now);
	touch_own(p, e, now);
}

static void learn_mark(struct cl_poison *p, struct reporter *r,
		       const struct ep_mark *mark, ba_time now)
{
	struct stored *s = find_stored(r, mark->request);
	struct ep_mark old = {.request = mark->request};

	if (s)
		old = s->mark;
	/* Counts only grow, so this report is an older one. */
	if (mark->crashes < old.crashes || mark->acquittals < old.acquittals)
		return;
	if (!s)
		s = add_stored(r, mark->request);
	s->forgotten_at = BA_NEVER;
	s->mark = *mark;
	if (mark->crashes == old.crashes && mark->acquittals == old.acquittals)
		s->mark.convicted |= old.convicted;
	if (s->mark.crashes == old.crashes &&
	    s->mark.acquittals == old.acquittals &&
	    s->mark.convicted == old.convicted)
		return;
	r->expires = now + REPORTER_MEMORY;
	ba_list_remove(&r->link);
	ba_list_append(&p->reporters_by_age, &r->link);
	apply(p, &old, &s->mark, now);
}

/* Of more marks than there is room for, one that the report lost goes. */
static struct stored *add_stored(struct reporter *r, uint64_t request)
{
	struct stored s = {.mark.request = request, .forgotten_at = BA_NEVER};
	guint i = 0;

	if (r->stored->len == STORED_MAX) {
		while (i < STORED_MAX - 1 &&
		       g_array_index(r->stored, struct stored, i)
				       .forgotten_at == BA_NEVER)
			i++;
		g_array_remove_index(r->stored, i);
	}
	g_array_append_val(r->stored, s);
	return &g_array_index(r->stored, struct stored, r->stored->len - 1);
}

/* Within one mark, the acquittal came after the crashes. */
static void apply(struct cl_poison *p, const struct ep_mark *old,
		  const struct ep_mark *mark, ba_time now)
{
	struct entry *e = get_entry(p, mark->request, now);
	uint32_t crashes = mark->crashes - old->crashes;
	bool convicted = mark->convicted && !old->convicted;

	if (mark->acquittals > old->acquittals) {
		void_crashes(p, e, now);
		if (is_witness(e))
			hide_own(p, e, now);
		crashes = 0;
		convicted = mark->convicted;
	} else if (now < e->settles) {
		return;
	}
	if (crashes || convicted)
		add_evidence(p, e, crashes, convicted, now);
}

static void drop_missing(struct reporter *r, const struct ep_mark *marks,
			 size_t n, ba_time now)
{
	guint i = 0;
	size_t j;

	while (i < r->stored->len) {
		struct stored *s = &g_array_index(r->stored, struct stored, i);

		for (j = 0; j < n && marks[j].request != s->mark.request; j++)
			;
		if (j == n && s->forgotten_at == BA_NEVER)
			s->forgotten_at = now + DISORDER_TIME;
		if (s->forgotten_at <= now)
			g_array_remove_index(r->stored, i);
		else
			i++;
	}
}

static void add_evidence(struct cl_poison *p, struct entry *e, uint32_t crashes,
			 bool convicted, ba_time now)
{
	e->crashes += MIN(crashes, UINT32_MAX - e->crashes);
	touch(p, e, now);
	/* A proxy that starts must not take an acquittal for newer than it. */
	if (!is_witness(e))
		hide_own(p, e, now);
	if (convicted || e->crashes >= CL_POISON_CRASHES)
		convict(p, e);
	if (take_answer(p, e->request, now))
		acquit(p, e, now);
}

static void convict(struct cl_poison *p, struct entry *e)
{
	if (e->convicted)
		return;
	e->convicted = true;
	e->told = false;
	p->untold = true;
	p->n_convicts++;
	p->generation += is_witness(e);
	ba_list_remove(&e->link);
	ba_list_append(&p->convicts, &e->link);
}

static void acquit(struct cl_poison *p, struct entry *e, ba_time now)
{
	get_own(e, now)->acquittals++;
	e->own.voided = e->own.crashes;
	touch_own(p, e, now);
	void_crashes(p, e, now);
}

/* The answers that were seen before are spent with the one that acquitted. */
static void void_crashes(struct cl_poison *p, struct entry *e, ba_time now)
{
	take_answer(p, e->request, now);
	p->n_convicts -= e->convicted;
	e->convicted = false;
	e->crashes = 0;
	e->settles = now + SETTLE_TIME;
	touch(p, e, now);
}

/* Whether this instance reports crashes that no acquittal has voided. */
static bool is_witness(const struct entry *e)
{
	return e->own.crashes > e->own.voided;
}

/*
 * A conviction must not end while the request still comes, and a proxy that
 * starts has to find it in some report.
 */
static void renew_conviction(struct cl_poison *p, struct entry *e, ba_time now)
{
	if (e->expires - now > CL_POISON_MEMORY / 2) {
		if (is_witness(e) || now < e->search_at)
			return;
		e->search_at = now + SEARCH_INTERVAL;
		if (is_reported(p, e->request))
			return;
	}
	get_own(e, now)->crashes++;
	touch_own(p, e, now);
	touch(p, e, now);
}

/* Whether the last report of another instance holds the conviction. */
static bool is_reported(const struct cl_poison *p, uint64_t request)
{
	struct ba_list *pos;

	ba_list_each(pos, &p->reporters_by_age)
	{
		const struct reporter *r = ba_entry(pos, struct reporter, link);
		const struct stored *s = find_stored(r, request);

		if (s && s->mark.convicted && s->forgotten_at == BA_NEVER)
			return true;
	}
	return false;
}

static void touch(struct cl_poison *p, struct entry *e, ba_time now)
{
	e->expires = now + CL_POISON_MEMORY;
	ba_list_remove(&e->link);
	ba_list_append(e->convicted ? &p->convicts : &p->suspects, &e->link);
}

static void touch_own(struct cl_poison *p, struct entry *e, ba_time now)
{
	e->own.expires = now + CL_POISON_MEMORY;
	if (ba_list_empty(&e->own_link))
		p->n_own++;
	ba_list_remove(&e->own_link);
	ba_list_append(&p->own, &e->own_link);
	p->generation++;
	if (p->n_own > EP_MARKS_MAX)
		hide_own(p, find_least_own(p), now);
}

/* Ends the report of a mark, whose counts go on if it comes back soon. */
static void hide_own(struct cl_poison *p, struct entry *e, ba_time now)
{
	if (ba_list_empty(&e->own_link))
		return;
	ba_list_remove(&e->own_link);
	e->own.voided = e->own.crashes;
	e->own.expires = now + DISORDER_TIME;
	p->n_own--;
	p->generation++;
}

static struct own_mark *get_own(struct entry *e, ba_time now)
{
	if (ba_list_empty(&e->own_link) && e->own.expires <= now) {
		memset(&e->own, 0, sizeof(e->own));
		e->own.expires = now + DISORDER_TIME;
	}
	return &e->own;
}

/* The own mark that others need least: in fewest crashes, then oldest. */
static struct entry *find_least_own(const struct cl_poison *p)
{
	struct entry *least = NULL;
	struct ba_list *pos;

	ba_list_each(pos, &p->own)
	{
		struct entry *e = ba_entry(pos, struct entry, own_link);

		if (!least || e->convicted < least->convicted ||
		    (e->convicted == least->convicted &&
		     e->crashes < least->crashes))
			least = e;
	}
	return least;
}

static struct entry *find_entry(const struct cl_poison *p, uint64_t request)
{
	return g_hash_table_lookup(p->entries, &request);
}

static struct entry *get_entry(struct cl_poison *p, uint64_t request,
			       ba_time now)
{
	struct entry *e = find_entry(p, request);
	struct ba_list *oldest = p->suspects.next;

	if (e)
		return e;
	if (g_hash_table_size(p->entries) >= CL_POISON_ENTRIES_MAX) {
		if (ba_list_empty(&p->suspects))
			oldest = p->convicts.next;
		remove_entry(p, ba_entry(oldest, struct entry, link));
	}
	e = g_new0(struct entry, 1);
	e->request = request;
	ba_list_init(&e->link);
	ba_list_init(&e->own_link);
	g_hash_table_insert(p->entries, &e->request, e);
	touch(p, e, now);
	return e;
}

static void remove_entry(struct cl_poison *p, struct entry *e)
{
	hide_own(p, e, 0);
	ba_list_remove(&e->link);
	p->n_convicts -= e->convicted;
	g_hash_table_remove(p->entries, &e->request);
	g_free(e);
}

static struct reporter *find_reporter(struct cl_poison *p, uint64_t id)
{
	return g_hash_table_lookup(p->reporters, &id);
}

static struct reporter *add_reporter(struct cl_poison *p, uint64_t id)
{
	struct reporter *r;

	r = g_new0(struct reporter, 1);
	r->id = id;
	r->stored = g_array_new(FALSE, FALSE, sizeof(struct stored));
	g_hash_table_insert(p->reporters, &r->id, r);
	ba_list_append(&p->reporters_by_age, &r->link);
	return r;
}

static void remove_reporter(struct cl_poison *p, struct reporter *r)
{
	ba_list_remove(&r->link);
	g_hash_table_remove(p->reporters, &r->id);
	g_array_free(r->stored, TRUE);
	g_free(r);
}

static struct stored *find_stored(const struct reporter *r, uint64_t request)
{
	guint i;

	for (i = 0; i < r->stored->len; i++) {
		struct stored *s = &g_array_index(r->stored, struct stored, i);

		if (s->mark.request == request)
			return s;
	}
	return NULL;
}

static void remember_answer(struct cl_poison *p, uint64_t request, ba_time now)
{
	struct answer *set = p->answers[request % ANSWER_SETS];
	struct answer *oldest = set;
	int i;

	for (i = 0; i < ANSWER_WAYS; i++) {
		if (set[i].request == request) {
			oldest = &set[i];
			break;
		}
		if (set[i].expires < oldest->expires)
			oldest = &set[i];
	}
	oldest->request = request;
	oldest->expires = now + ANSWER_MEMORY;
}

/* Return: whether an answer to @request was remembered. */
static bool take_answer(struct cl_poison *p, uint64_t request, ba_time now)
{
	struct answer *set = p->answers[request % ANSWER_SETS];
	int i;

	for (i = 0; i < ANSWER_WAYS; i++) {
		if (set[i].request == request && set[i].expires > now) {
			set[i].expires = 0;
			return true;
		}
	}
	return false;
}

static void expire(struct cl_poison *p, ba_time now)
{
	struct ba_list *pos, *next;

	expire_entries(p, &p->suspects, now);
	expire_entries(p, &p->convicts, now);
	ba_list_each_safe(pos, next, &p->own)
	{
		struct entry *e = ba_entry(pos, struct entry, own_link);

		if (e->own.expires > now)
			break;
		hide_own(p, e, now);
	}
	ba_list_each_safe(pos, next, &p->reporters_by_age)
	{
		struct reporter *r = ba_entry(pos, struct reporter, link);

		if (r->expires > now)
			break;
		remove_reporter(p, r);
	}
}

static void expire_entries(struct cl_poison *p, struct ba_list *oldest_first,
			   ba_time now)
{
	struct ba_list *pos, *next;

	ba_list_each_safe(pos, next, oldest_first)
	{
		struct entry *e = ba_entry(pos, struct entry, link);

		if (e->expires > now)
			break;
		remove_entry(p, e);
	}
}

static uint64_t instance_id(const char *instance)
{
	return ba_hash(instance, strlen(instance), 0);
}

static int compare_marks(const void *a, const void *b)
{
	const struct ep_mark *x = a;
	const struct ep_mark *y = b;

	return (x->request > y->request) - (x->request < y->request);
}
