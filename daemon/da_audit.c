#include <pthread.h>
#include <string.h>

#include "base/ba_digest.h"
#include "base/ba_event.h"
#include "daemon/da_audit.h"
#include "report/rt.h"

enum {
	KEYS_KEPT = 65536,
	STATUS_OVERLOADED = 503,
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
};

#define REQUEST_ID "X-Request-Id"

/*
 * Hashes of the last keys that were handed over, by the order in which they
 * were; an entry whose request was not begun is cleared.
 *
 * Lock order: lock stands below the lock of the tables.
 */
static struct {
	pthread_mutex_t lock;
	GHashTable *places;
	uint64_t hashes[KEYS_KEPT];
	size_t next;
} keys = {.lock = PTHREAD_MUTEX_INITIALIZER};

static bool is_wrong(const struct da_call *c);
static bool has_named_length(const struct da_call *c);
static bool is_anothers(const struct da_call *c);
static void breach(const struct da_call *c, enum rt_counter id);
static bool remember(uint64_t hash);
static void forget(uint64_t hash);
static uint64_t hash_of(const struct da_call *c);

void da_audit_handed(const struct da_call *c)
{
	const struct da_tables *t = c->w->tables;

	if (t->draining && c->arrived > t->work_deadline)
		breach(c, RT_WORK_WHILE_DRAINING);
	if (!c->key)
		return;
	rt_count(RT_KEYED_CALLS, 1);
	rt_count(RT_KEYED_CHECKED, 1);
	if (!remember(hash_of(c)))
		breach(c, RT_DOUBLE_RUNS);
}

void da_audit_attempt(struct da_call *c, const struct da_end *end)
{
	bool begun = end->written && !end->result &&
		     c->answer.status != STATUS_OVERLOADED;

	if (begun)
		c->handed = true;
	else if (c->to_backend && c->key)
		forget(hash_of(c));
}

void da_audit_end(const struct da_call *c)
{
	switch (cl_outcome_of(c->result)) {
	case CL_OUT_ANSWERED:
		if (c->from_peer)
			break;
		rt_count(RT_ANSWERS_CHECKED, 1);
		if (is_wrong(c))
			breach(c, RT_ANSWERS_WRONG);
		break;
	case CL_OUT_NOT_RUN:
		if (!c->from_peer)
			rt_count(RT_NOT_RUN_CHECKED, 1);
		if (c->handed)
			breach(c, RT_FALSE_NOT_RUN);
		break;
	case CL_OUT_MAY_HAVE_RUN:
		break;
	}
}

/* The bytes that went out or wait to, against what the head named. */
static bool is_wrong(const struct da_call *c)
{
	const struct da_answer *a = &c->answer;
	uint64_t total = c->passed + (a->data.len - a->taken);

	return !a->whole || a->broken || is_anothers(c) ||
	       (has_named_length(c) && total != (uint64_t)a->length);
}

static bool has_named_length(const struct da_call *c)
{
	return c->answer.length >= 0 && strcmp(c->method, "HEAD") != 0 &&
	       c->answer.status != STATUS_NO_CONTENT &&
	       c->answer.status != STATUS_NOT_MODIFIED;
}

/*
 * A backend server that repeats the id of a request must repeat this one;
 * a key that was sent again gets its first answer, with the first id.
 */
static bool is_anothers(const struct da_call *c)
{
	const char *asked = da_headers_get(&c->headers, REQUEST_ID);
	const char *answered = da_headers_get(&c->answer.headers, REQUEST_ID);

	return !c->key && asked && answered && strcmp(asked, answered) != 0;
}

static void breach(const struct da_call *c, enum rt_counter id)
{
	rt_count(id, 1);
	ba_event(CL_EV_BREACH, "call=%s service=%s counter=%s key=%s", c->id,
		 c->service ? c->service : "-", rt_counter_name(id),
		 c->key ? c->key : "-");
}

/*
 * Whether the hash is new; the oldest one makes room for it, unless it was
 * cleared and stands in a newer place by now.
 */
static bool remember(uint64_t hash)
{
	uint64_t *place;
	bool fresh;

	pthread_mutex_lock(&keys.lock);
	if (!keys.places)
		keys.places = g_hash_table_new(g_int64_hash, g_int64_equal);
	fresh = !g_hash_table_contains(keys.places, &hash);
	if (fresh) {
		place = &keys.hashes[keys.next++ % KEYS_KEPT];
		if (g_hash_table_lookup(keys.places, place) == place)
			g_hash_table_remove(keys.places, place);
		*place = hash;
		g_hash_table_add(keys.places, place);
	}
	pthread_mutex_unlock(&keys.lock);
	return fresh;
}

static void forget(uint64_t hash)
{
	pthread_mutex_lock(&keys.lock);
	if (keys.places)
		g_hash_table_remove(keys.places, &hash);
	pthread_mutex_unlock(&keys.lock);
}

static uint64_t hash_of(const struct da_call *c)
{
	return ba_hash(c->key, strlen(c->key), 0);
}
