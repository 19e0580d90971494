#include <string.h>

#include <glib.h>

#include "base/ba_list.h"
#include "call/cl_dedup.h"

enum state { RUNNING, ANSWERED, ANSWER_NOT_KEPT, UNKNOWN };

/*
 * @order: position in the sequence by time of issue; the oldest are removed
 *	first
 */
struct entry {
	char *key;
	ba_time issued;
	struct ba_digest request;
	enum state state;
	struct ba_buf answer;
	GSequenceIter *order;
};

/*
 * @floor: keys issued before this time may have been run and removed
 * @ceiling: keys issued from this time on belong to another endpoint; the end
 *	of the lease, or the time of cl_dedup_close()
 * @closed: @ceiling does not change any more
 * @bytes: total size of the stored answers
 */
struct cl_dedup {
	struct cl_dedup_options options;
	GHashTable *by_key;
	GSequence *by_issue;
	ba_time floor;
	ba_time ceiling;
	bool closed;
	size_t bytes;
};

static int check_issue_time(const struct cl_dedup *t, const struct cl_key *key,
			    ba_time wall);
static enum cl_dedup_action check_entry(const struct entry *e,
					const struct ba_digest *request,
					int *code,
					const struct ba_buf **answer);
static void remove_expired(struct cl_dedup *t, ba_time wall);
static bool make_room(struct cl_dedup *t, size_t keys, size_t bytes);
static void remove_entry(struct cl_dedup *t, struct entry *e);
static struct entry *find_entry(const struct cl_dedup *t, const char *key);
static gint compare_issued(gconstpointer a, gconstpointer b, gpointer user);
static void entry_free(gpointer p);

struct cl_dedup *cl_dedup_new(const struct cl_dedup_options *o)
{
	struct cl_dedup *t = g_new0(struct cl_dedup, 1);

	t->options = *o;
	t->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  entry_free);
	t->by_issue = g_sequence_new(NULL);
	t->floor = o->incarnation;
	t->ceiling = BA_NEVER;
	return t;
}

void cl_dedup_free(struct cl_dedup *t)
{
	if (!t)
		return;
	g_sequence_free(t->by_issue);
	g_hash_table_destroy(t->by_key);
	g_free(t);
}

void cl_dedup_close(struct cl_dedup *t, ba_time wall)
{
	t->closed = true;
	t->ceiling = MIN(t->ceiling, wall);
}

void cl_dedup_renew_lease(struct cl_dedup *t, ba_time wall)
{
	if (t->closed)
		return;
	if (wall >= t->ceiling)
		t->floor = MAX(t->floor, wall + CL_KEY_JOIN_DELAY);
	t->ceiling = wall + CL_KEY_LEASE;
}

enum cl_dedup_action cl_dedup_begin(struct cl_dedup *t,
				    const struct cl_key *key,
				    const struct ba_digest *request,
				    ba_time wall, int *code,
				    const struct ba_buf **answer)
{
	struct entry *e;

	*answer = NULL;
	remove_expired(t, wall);
	e = find_entry(t, key->text);
	if (e)
		return check_entry(e, request, code, answer);
	*code = check_issue_time(t, key, wall);
	if (*code)
		return CL_DEDUP_REFUSE;
	*code = CL_OVERLOADED;
	if (!make_room(t, 1, 0))
		return CL_DEDUP_REFUSE;
	/* make_room() may have raised the floor. */
	*code = CL_KEY_STALE;
	if (key->issued < t->floor)
		return CL_DEDUP_REFUSE;
	e = g_new0(struct entry, 1);
	e->key = g_strdup(key->text);
	e->issued = key->issued;
	e->request = *request;
	e->state = RUNNING;
	e->order =
		g_sequence_insert_sorted(t->by_issue, e, compare_issued, NULL);
	g_hash_table_insert(t->by_key, e->key, e);
	*code = BA_OK;
	return CL_DEDUP_RUN;
}

void cl_dedup_record_answer(struct cl_dedup *t, const char *key,
			    const void *answer, size_t len)
{
	struct entry *e = find_entry(t, key);

	if (!e)
		return;
	e->state = ANSWER_NOT_KEPT;
	if (len > CL_DEDUP_MAX_ANSWER_BYTES || !make_room(t, 0, len))
		return;
	e = find_entry(t, key);
	if (!e)
		return;
	e->state = ANSWERED;
	ba_buf_add(&e->answer, answer, len);
	t->bytes += len;
}

void cl_dedup_mark_unknown(struct cl_dedup *t, const char *key)
{
	struct entry *e = find_entry(t, key);

	if (e)
		e->state = UNKNOWN;
}

void cl_dedup_release(struct cl_dedup *t, const char *key)
{
	struct entry *e = find_entry(t, key);

	if (e)
		remove_entry(t, e);
}

size_t cl_dedup_size(const struct cl_dedup *t)
{
	return g_hash_table_size(t->by_key);
}

static int check_issue_time(const struct cl_dedup *t, const struct cl_key *key,
			    ba_time wall)
{
	if (key->issued < t->floor || key->issued < wall - CL_KEY_MAX_AGE)
		return CL_KEY_STALE;
	if (key->issued > wall + CL_KEY_CLOCK_SKEW)
		return CL_KEY_MALFORMED;
	if (key->issued >= t->ceiling)
		return CL_DRAINING;
	return BA_OK;
}

static enum cl_dedup_action check_entry(const struct entry *e,
					const struct ba_digest *request,
					int *code, const struct ba_buf **answer)
{
	static const int codes[] = {
		[RUNNING] = CL_KEY_IN_PROGRESS,
		[ANSWERED] = BA_OK,
		[ANSWER_NOT_KEPT] = CL_KEY_STALE,
		[UNKNOWN] = CL_MAY_HAVE_RUN,
	};

	*code = CL_KEY_REUSED;
	if (!ba_digest_equal(&e->request, request))
		return CL_DEDUP_REFUSE;
	*code = codes[e->state];
	if (e->state != ANSWERED)
		return CL_DEDUP_REFUSE;
	*answer = &e->answer;
	return CL_DEDUP_REPLAY;
}

static void remove_expired(struct cl_dedup *t, ba_time wall)
{
	GSequenceIter *first = g_sequence_get_begin_iter(t->by_issue);

	while (!g_sequence_iter_is_end(first)) {
		struct entry *e = g_sequence_get(first);

		if (e->issued >= wall - CL_KEY_MAX_AGE || e->state == RUNNING)
			return;
		remove_entry(t, e);
		first = g_sequence_get_begin_iter(t->by_issue);
	}
}

/* Evicting a key raises the floor, so that it cannot be run again as new. */
static bool make_room(struct cl_dedup *t, size_t keys, size_t bytes)
{
	while (g_hash_table_size(t->by_key) + keys > t->options.keys ||
	       t->bytes + bytes > t->options.bytes) {
		GSequenceIter *first = g_sequence_get_begin_iter(t->by_issue);
		struct entry *e;

		if (g_sequence_iter_is_end(first))
			return false;
		e = g_sequence_get(first);
		if (e->state == RUNNING)
			return false;
		t->floor = MAX(t->floor, e->issued + 1);
		remove_entry(t, e);
	}
	return true;
}

static void remove_entry(struct cl_dedup *t, struct entry *e)
{
	t->bytes -= e->answer.len;
	g_sequence_remove(e->order);
	g_hash_table_remove(t->by_key, e->key);
}

static struct entry *find_entry(const struct cl_dedup *t, const char *key)
{
	return g_hash_table_lookup(t->by_key, key);
}

static gint compare_issued(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct entry *x = a;
	const struct entry *y = b;

	(void)user;
	return (x->issued > y->issued) - (x->issued < y->issued);
}

static void entry_free(gpointer p)
{
	struct entry *e = p;

	g_free(e->key);
	ba_buf_free(&e->answer);
	g_free(e);
}
