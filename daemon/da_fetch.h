/*
 * Interface of a fetch: the part of an attempt of a call that forwards the
 * request to the chosen endpoint and receives the answer.
 */
#ifndef DA_FETCH_H
#define DA_FETCH_H

#include "base/ba_clock.h"
#include "call/cl_route.h"
#include "daemon/da_headers.h"

/**
 * struct da_request - the request to forward; outlives the attempt
 * @call: id of the call in log messages
 * @target: path and query, unchanged
 * @key: idempotency key, or NULL
 * @idempotent: the request may be sent again when the connection is lost
 * @retry: not the first attempt of the call
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
 * struct da_fetch_end - how an attempt ended
 * @attempt_result: how the connection and the answer ended
 * @code: result code that the peer daemon returned; %BA_OK if there is none
 * @written: a byte of the request may have reached the other end
 */
struct da_fetch_end {
	enum cl_attempt_result attempt_result;
	int code;
	bool written;
};

struct da_fetch;

/**
 * struct da_fetch_owner - receives the answer; embed it as first member
 * @header: receives one header field of the answer
 * @head: all header fields are received; @length is the body's length in
 *	bytes, -1 if it is not known
 * @data: receives bytes of the body; false pauses the attempt until @consumed
 *	of struct da_fetch_ops, after which the same bytes are passed again
 * @load: receives the number of calls that run or wait at the other end
 * @ended: the attempt has ended and its fetch is freed
 */
struct da_fetch_owner {
	void (*header)(struct da_fetch_owner *o, const char *name,
		       const char *value);
	void (*head)(struct da_fetch_owner *o, int status, int64_t length);
	bool (*data)(struct da_fetch_owner *o, const void *data, size_t len);
	void (*load)(struct da_fetch_owner *o, uint32_t load);
	void (*ended)(struct da_fetch_owner *o, const struct da_fetch_end *end);
};

/** struct da_fetch - a fetch; first member of each implementation */
struct da_fetch {
	const struct da_fetch_ops *ops;
	struct da_fetch_owner *owner;
};

/**
 * struct da_fetch_ops - operations of an implementation
 * @consumed: @bytes of the answer were sent on; resumes a paused attempt
 * @cancel: cancel the attempt and free it; @ended is not called
 */
struct da_fetch_ops {
	void (*consumed)(struct da_fetch *f, size_t bytes);
	void (*cancel)(struct da_fetch *f);
};

#endif
