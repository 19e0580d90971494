/*
 * One attempt of a call: a request that is sent on, and its answer.
 */
#ifndef DA_FETCH_H
#define DA_FETCH_H

#include "base/ba_clock.h"
#include "call/cl_route.h"
#include "daemon/da_headers.h"

/**
 * struct da_request - what is sent on; outlives the attempt
 * @call: name of the call in the logs
 * @target: path and query as they came
 * @key: idempotency key, or NULL
 * @idempotent: it may be sent twice over a connection that was lost
 */
struct da_request {
	const char *call;
	const char *method;
	const char *target;
	const char *service;
	const char *key;
	const struct da_headers *headers;
	const void *body;
	size_t body_len;
	ba_time deadline;
	bool idempotent;
	bool retry;
};

/**
 * struct da_end - how an attempt ended
 * @result: what the peer said about it, %BA_OK from a backend server
 * @written: a byte of the request may have reached the other end
 */
struct da_end {
	enum cl_attempt_result seen;
	int result;
	bool written;
};

struct da_fetch;

/**
 * struct da_fetch_owner - takes the answer; embed it first
 * @header: one field of the answer
 * @head: all fields are there; @length is -1 when it is not known
 * @data: bytes of the body; false asks to pause until da_fetch_continue(),
 *	and the same bytes are offered again
 * @load: the other end said how many calls it has
 * @ended: the attempt is over and its fetch is freed
 */
struct da_fetch_owner {
	void (*header)(struct da_fetch_owner *o, const char *name,
		       const char *value);
	void (*head)(struct da_fetch_owner *o, int status, int64_t length);
	bool (*data)(struct da_fetch_owner *o, const void *data, size_t len);
	void (*load)(struct da_fetch_owner *o, uint32_t load);
	void (*ended)(struct da_fetch_owner *o, const struct da_end *end);
};

/** struct da_fetch - an attempt, first member of each kind of it */
struct da_fetch {
	const struct da_fetch_ops *ops;
	struct da_fetch_owner *owner;
};

/**
 * struct da_fetch_ops - what each kind of attempt can do
 * @drained: @bytes of the answer were passed on
 * @cancel: give up; @ended is not called
 */
struct da_fetch_ops {
	void (*drained)(struct da_fetch *f, size_t bytes);
	void (*cancel)(struct da_fetch *f);
};

#endif
