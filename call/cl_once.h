/*
 * At most once: what the daemon beside a backend server remembers of the
 * keys that it has run.
 *
 * Rules:
 * - A key is run at most once; sent again, it gets its first answer.
 * - A key that may have been forgotten is refused: one issued before this
 *   incarnation, before the window, or before the oldest that had to go.
 * - A key whose call ended unknown stays unknown.
 * - A key is released only when its call was certainly not run.
 * - The table is bounded in keys and in bytes.
 */
#ifndef CL_ONCE_H
#define CL_ONCE_H

#include "base/ba_digest.h"
#include "call/cl_key.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	CL_ONCE_KEYS = 65536,
	CL_ONCE_BYTES = 16 * 1024 * 1024,
	CL_ONCE_ANSWER_BYTES = 64 * 1024,
};

/** enum cl_once_act - what is to be done with a keyed call */
enum cl_once_act {
	CL_ONCE_RUN,
	CL_ONCE_REPLAY,
	CL_ONCE_REFUSE,
};

/**
 * struct cl_once_options - bounds of a table
 * @incarnation: wall time from which on this process sees all its keys
 */
struct cl_once_options {
	ba_time incarnation;
	size_t keys;
	size_t bytes;
};

struct cl_once;

/** cl_once_new() - no key is known */
struct cl_once *cl_once_new(const struct cl_once_options *o);

/** cl_once_free() - free it; NULL is allowed */
void cl_once_free(struct cl_once *t);

/** cl_once_close() - keys issued from @wall on are never for this endpoint */
void cl_once_close(struct cl_once *t, ba_time wall);

/**
 * cl_once_extend() - others see this endpoint now
 *
 * Keys issued up to %CL_KEY_CUT_OFF after @wall may run here.  The bound is
 * stored ahead, as a process that was paused may read a request before it
 * notices that it is cut off.  After a lapse, those issued since are left out
 * until %CL_KEY_JOIN has passed.
 */
void cl_once_extend(struct cl_once *t, ba_time wall);

/**
 * cl_once_begin() - a call with @key has arrived
 * @request: digest of what is asked for
 * @wall: wall time now
 * @code: why it is refused
 * @answer: the answer to give again, valid until the next call
 */
enum cl_once_act cl_once_begin(struct cl_once *t, const struct cl_key *key,
			       const struct ba_digest *request, ba_time wall,
			       int *code, const struct ba_buf **answer);

/** cl_once_answered() - the call with @key was answered */
void cl_once_answered(struct cl_once *t, const char *key, const void *answer,
		      size_t len);

/** cl_once_unknown() - the call with @key may have run */
void cl_once_unknown(struct cl_once *t, const char *key);

/** cl_once_released() - the call with @key was not run */
void cl_once_released(struct cl_once *t, const char *key);

/** cl_once_size() - keys that are remembered */
size_t cl_once_size(const struct cl_once *t);

#ifdef __cplusplus
}
#endif
#endif
