#include <pthread.h>
#include <string.h>

#include "base/ba_digest.h"
#include "base/ba_event.h"
#include "daemon/da_audit.h"
#include "report/rt.h"

enum {
	MAX_RECENT_KEYS = 65536,
	STATUS_SERVICE_UNAVAILABLE = 503,
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
};

#define REQUEST_ID "X-Request-Id"

/*
 * Ring buffer of the hashes of the last idempotency keys that were sent to the
 * backend server.  @next modulo %MAX_RECENT_KEYS is the index of the oldest.
 * @entries is the set of these hashes, as pointers into @hashes, without those
 * of keys whose request did not begin to run.
 *
 * Lock order: da_shared.lock, then this lock.
 */
static struct {
	pthread_mutex_t lock;
	GHashTable *entries;
	uint64_t hashes[MAX_RECENT_KEYS];
	size_t next;
} recent_keys = {.lock = PTHREAD_MUTEX_INITIALIZER};

static bool is_answer_wrong(const struct da_call *c);
static bool has_declared_length(const struct da_call *c);
static bool has_other_request_id(const struct da_call *c);
static void report_breach(const struct da_call *c, enum rt_counter id);
static bool add_key_hash(uint64_t hash);
static void remove_key_hash(uint64_t hash);
static uint64_t hash_key(const struct da_call *c);

void da_audit_backend_start(const struct da_call *c)
{
	const struct da_shared *shared = c->w->shared;

	if (shared->draining && c->arrived > shared->work_deadline)
		report_breach(c, RT_WORK_WHILE_DRAINING);
	if (!c->key)
		return;
	rt_count(RT_KEYED_CALLS, 1);
	rt_count(RT_KEYED_CHECKED, 1);
	if (!add_key_hash(hash_key(c)))
		report_breach(c, RT_DOUBLE_RUNS);
}

void da_audit_attempt_end(struct da_call *c, const struct da_fetch_end *end)
{
	bool begun = end->written && !end->code &&
		     c->answer.status != STATUS_SERVICE_UNAVAILABLE;

	if (begun)
		c->may_have_begun = true;
	else if (c->to_backend && c->key)
		remove_key_hash(hash_key(c));
}

void da_audit_call_end(const struct da_call *c)
{
	switch (cl_outcome_of(c->result)) {
	case CL_OUT_ANSWERED:
		if (c->from_peer)
			break;
		rt_count(RT_ANSWERS_CHECKED, 1);
		if (is_answer_wrong(c))
			report_breach(c, RT_ANSWERS_WRONG);
		break;
	case CL_OUT_NOT_RUN:
		if (!c->from_peer)
			rt_count(RT_NOT_RUN_CHECKED, 1);
		if (c->may_have_begun)
			report_breach(c, RT_FALSE_NOT_RUN);
		break;
	case CL_OUT_MAY_HAVE_RUN:
		break;
	}
}

/*
 * An answer is wrong if it is incomplete or broken, if it echoes the id of
 * another request, or if the bytes that were sent or are still buffered are
 * not as many as its head declared.
 */
static bool is_answer_wrong(const struct da_call *c)
{
	const struct da_answer *a = &c->answer;
	uint64_t total = c->bytes_sent + (a->data.len - a->sent);

	return !a->complete || a->broken || has_other_request_id(c) ||
	       (has_declared_length(c) && total != (uint64_t)a->length);
}

static bool has_declared_length(const struct da_call *c)
{
	return c->answer.length >= 0 && strcmp(c->method, "HEAD") != 0 &&
	       c->answer.status != STATUS_NO_CONTENT &&
	       c->answer.status != STATUS_NOT_MODIFIED;
}

/*
 * A backend server that echoes X-Request-Id must echo the id of this request.
 * Keyed calls are exempt: a repeated key gets the answer to its first request,
 * with the id of that one.
 */
static bool has_other_request_id(const struct da_call *c)
{
	const char *sent = da_headers_get(&c->headers, REQUEST_ID);
	const char *echoed = da_headers_get(&c->answer.headers, REQUEST_ID);

	return !c->key && sent && echoed && strcmp(sent, echoed) != 0;
}

static void report_breach(const struct da_call *c, enum rt_counter id)
{
	rt_count(id, 1);
	ba_event(CL_EV_BREACH, "call=%s service=%s counter=%s key=%s", c->id,
		 c->service ? c->service : "-", rt_counter_name(id),
		 c->key ? c->key : "-");
}

/*
 * Adds a hash in place of the oldest one, unless the set has it already.  The
 * oldest hash leaves the set, unless it was removed and added again since: the
 * set then points to a newer slot with the same hash.
 *
 * Return: whether the hash was added.
 */
static bool add_key_hash(uint64_t hash)
{
	uint64_t *entry;
	bool is_new;

	pthread_mutex_lock(&recent_keys.lock);
	if (!recent_keys.entries)
		recent_keys.entries =
			g_hash_table_new(g_int64_hash, g_int64_equal);
	is_new = !g_hash_table_contains(recent_keys.entries, &hash);
	if (is_new) {
		entry = &recent_keys
				 .hashes[recent_keys.next++ % MAX_RECENT_KEYS];
		if (g_hash_table_lookup(recent_keys.entries, entry) == entry)
			g_hash_table_remove(recent_keys.entries, entry);
		*entry = hash;
		g_hash_table_add(recent_keys.entries, entry);
	}
	pthread_mutex_unlock(&recent_keys.lock);
	return is_new;
}

static void remove_key_hash(uint64_t hash)
{
	pthread_mutex_lock(&recent_keys.lock);
	if (recent_keys.entries)
		g_hash_table_remove(recent_keys.entries, &hash);
	pthread_mutex_unlock(&recent_keys.lock);
}

static uint64_t hash_key(const struct da_call *c)
{
	return ba_hash(c->key, strlen(c->key), 0);
}
