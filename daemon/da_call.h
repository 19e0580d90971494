/*
 * One call: from a whole request to the end of its answer.
 *
 * Rules:
 * - A call belongs to the worker that took it in.
 * - It keeps the snapshot it began with.
 * - Once a byte of the answer has gone out, a failure ends it as broken.
 * - A keyed call that has been sent to the backend server runs to its end,
 *   also when nobody waits for it any more.
 */
#ifndef DA_CALL_H
#define DA_CALL_H

#include "base/ba_buf.h"
#include "call/cl_answer.h"
#include "daemon/da.h"
#include "daemon/da_fetch.h"
#include "daemon/da_headers.h"

enum { DA_CALL_ID_BYTES = 17 };

struct da_call;

/**
 * struct da_front - whom a call came from
 * @moved: the answer has moved, at the end of a turn of the loop
 * @gone: whether the other end has gone away; may be NULL
 */
struct da_front {
	void (*moved)(struct da_call *c);
	bool (*gone)(struct da_call *c);
};

/**
 * struct da_answer - the answer as far as it has come
 * @status: HTTP status, 0 before the head
 * @length: length of the body, -1 when it is not known
 * @taken: bytes of @data that have gone out
 * @whole: nothing more will come
 * @broken: it broke off
 */
struct da_answer {
	int status;
	int64_t length;
	struct da_headers headers;
	struct ba_buf data;
	size_t taken;
	bool whole;
	bool broken;
};

/**
 * struct da_call - one call; the first member of what each front has of it
 * @link: in the worker's list of calls
 * @ready: in the worker's list of calls to look at in this turn
 * @from_peer: came from a daemon, for the own backend server
 * @inner: was made by a backend server while it served another
 * @keep: remember the answer for the key; it is held back until whole
 * @big: the answer is too large for that and goes out as it comes
 * @granted: a slot was given, the note of it is on its way to the worker
 * @orphan: its front has gone
 * @started: the head of the answer has gone out
 * @passed: bytes of the answer that have gone out
 * @result: result code, %BA_OK while it is going well
 */
struct da_call {
	struct da_fetch_owner owner;
	const struct da_front *front;
	struct ba_list link;
	struct ba_list ready;
	struct da_worker *w;
	char id[DA_CALL_ID_BYTES];
	bool from_peer;
	bool inner;
	bool counted;
	bool started;
	bool paused;
	bool keep;
	bool big;
	bool granted;
	bool orphan;
	bool may_have_run;
	bool handed;

	char *method;
	char *target;
	struct da_headers headers;
	struct ba_buf body;
	ba_time arrived;
	ba_time deadline;
	struct cf_snapshot *snapshot;
	char *service;
	char *key;
	struct cl_key parsed_key;
	bool idempotent;
	uint32_t weight;

	struct da_fetch *fetch;
	struct cl_endpoint *endpoint;
	enum cl_route_reason route_reason;
	struct cl_admit_call ticket;
	struct da_headers sent;
	struct da_request request;
	bool to_backend;
	bool resuming;
	bool part_bad;
	uint64_t tried[CL_ATTEMPTS_LIMIT];
	size_t n_tried;
	ba_time sent_at;

	struct da_answer answer;
	struct cl_answer check;
	char *part_etag;
	char *part_range;
	uint64_t passed;
	int result;
};

/** da_call_init() - fill in a zeroed call that arrives now */
void da_call_init(struct da_call *c, struct da_worker *w,
		  const struct da_front *front);

/** da_call_begin() - the request is whole: route it and send it on */
void da_call_begin(struct da_call *c);

/** da_call_fail() - end the call with @code */
void da_call_fail(struct da_call *c, int code);

/** da_call_whole() - the answer is whole */
void da_call_whole(struct da_call *c);

/** da_call_moved() - have the front look at the answer in this turn */
void da_call_moved(struct da_call *c);

/** da_call_drained() - @bytes of the answer have gone out */
void da_call_drained(struct da_call *c, size_t bytes);

/** da_call_over() - whether the call has its answer or its failure */
bool da_call_over(const struct da_call *c);

/**
 * da_call_leave() - the front is done with the call, or has lost its end
 *
 * The call is freed with g_free(), now or when it has run to its end.
 */
void da_call_leave(struct da_call *c);

/** da_call_turn() - let the fronts look at what has moved */
void da_call_turn(struct da_worker *w);

/** da_call_sweep() - end what was cancelled, refuse what waits too long */
void da_call_sweep(struct da_worker *w, ba_time now);

/** da_call_json() - the body of an error answer */
void da_call_json(int code, struct ba_buf *out);

#endif
