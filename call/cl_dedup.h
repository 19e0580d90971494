/*
 * At-most-once execution: the table in which the daemon of a backend server
 * keeps the idempotency keys of calls that it has run, and their answers.
 *
 * Rules:
 * - A key is run at most once; when it is sent again, it gets its first answer.
 * - A key that may have been run and removed from the table is refused: one
 *   issued before this incarnation, more than %CL_KEY_MAX_AGE ago, or not after
 *   the newest key that was evicted.
 * - A key whose call ended with an unknown outcome keeps that outcome.
 * - A key is released only when its call was certainly not run.
 * - The table is bounded in keys and in bytes of answers.
 */
#ifndef CL_DEDUP_H
#define CL_DEDUP_H

#include "base/ba_digest.h"
#include "call/cl_key.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	CL_DEDUP_MAX_KEYS = 65536,
	CL_DEDUP_MAX_BYTES = 16 * 1024 * 1024,
	CL_DEDUP_MAX_ANSWER_BYTES = 64 * 1024,
};

/** enum cl_dedup_action - what the owner of a keyed call has to do with it */
enum cl_dedup_action {
	CL_DEDUP_RUN,
	CL_DEDUP_REPLAY,
	CL_DEDUP_REFUSE,
};

/**
 * struct cl_dedup_options - bounds of a table
 * @incarnation: keys issued before this wall time may have been run by an
 *	earlier process
 * @keys: maximum number of keys
 * @bytes: maximum total size of the answers
 */
struct cl_dedup_options {
	ba_time incarnation;
	size_t keys;
	size_t bytes;
};

struct cl_dedup;

/** cl_dedup_new() - create an empty table */
struct cl_dedup *cl_dedup_new(const struct cl_dedup_options *o);

/** cl_dedup_free() - free @t; NULL is allowed */
void cl_dedup_free(struct cl_dedup *t);

/** cl_dedup_close() - refuse keys issued from @wall on, for good */
void cl_dedup_close(struct cl_dedup *t, ba_time wall);

/**
 * cl_dedup_renew_lease() - renew the lease
 * @wall: wall time now
 *
 * To be called while other daemons see this endpoint.
 *
 * Keys issued less than %CL_KEY_LEASE after @wall may run here.  The end of the
 * lease is stored in advance, because a process that was paused may read a
 * request before it notices that it is cut off.  If the lease has lapsed, keys
 * issued before @wall plus %CL_KEY_JOIN_DELAY are refused.
 */
void cl_dedup_renew_lease(struct cl_dedup *t, ba_time wall);

/**
 * cl_dedup_begin() - run, replay or refuse an arriving call with @key
 * @request: digest of the request
 * @wall: wall time now
 * @code: set to the reason of a refusal, otherwise to %BA_OK
 * @answer: set to the answer to replay, valid until the next use of @t, or to
 *	NULL
 */
enum cl_dedup_action cl_dedup_begin(struct cl_dedup *t,
				    const struct cl_key *key,
				    const struct ba_digest *request,
				    ba_time wall, int *code,
				    const struct ba_buf **answer);

/** cl_dedup_record_answer() - store the answer to the call with @key */
void cl_dedup_record_answer(struct cl_dedup *t, const char *key,
			    const void *answer, size_t len);

/** cl_dedup_mark_unknown() - record that the call with @key may have run */
void cl_dedup_mark_unknown(struct cl_dedup *t, const char *key);

/** cl_dedup_release() - remove @key, as its call was not run */
void cl_dedup_release(struct cl_dedup *t, const char *key);

/** cl_dedup_size() - return the number of keys in the table */
size_t cl_dedup_size(const struct cl_dedup *t);

#ifdef __cplusplus
}
#endif
#endif
