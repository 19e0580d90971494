/*
 * A call, from the complete request to the end of its answer.
 *
 * Rules:
 * - A call belongs to the worker that accepted it.
 * - A call uses the same configuration snapshot from start to end.
 * - Once a byte of the answer has been sent, a failure ends it as broken.
 * - A keyed call that has been sent to the backend server runs to its end,
 *   even if its caller has disconnected.
 */
#ifndef DA_CALL_H
#define DA_CALL_H

#include "base/ba_buf.h"
#include "call/cl_answer.h"
#include "daemon/da.h"
#include "daemon/da_fetch.h"
#include "daemon/da_headers.h"

/* 16 hexadecimal digits and a NUL. */
enum { DA_CALL_ID_BYTES = 17 };

struct da_call;

/**
 * struct da_frontend - the side that a call came from
 * @answer_changed: the answer has more data or has ended; called at the end of
 *	an iteration of the loop
 * @is_disconnected: whether the sender of the call has disconnected; polled by
 *	da_call_sweep(); may be NULL
 */
struct da_frontend {
	void (*answer_changed)(struct da_call *c);
	bool (*is_disconnected)(struct da_call *c);
};

/**
 * struct da_answer - the part of the answer received so far
 * @status: HTTP status, 0 before the head has been received
 * @length: length of the body in bytes, -1 if it is not known
 * @data: received bytes of the body that are not discarded yet
 * @sent: bytes of @data that have been sent on
 * @complete: the whole answer has been received
 * @broken: the answer ended before it was complete
 */
struct da_answer {
	int status;
	int64_t length;
	struct da_headers headers;
	struct ba_buf data;
	size_t sent;
	bool complete;
	bool broken;
};

/**
 * struct da_call - a call; a frontend embeds it as first member
 * @link: in the worker's list of calls
 * @ready: in the worker's list of calls whose answer has changed
 * @from_peer: came from another daemon, for this daemon's backend server
 * @inner: was made by a backend server while it served another call
 * @counted: included in da_shared.in_progress
 * @head_sent: the head of the answer has been sent
 * @paused: no more data is accepted until the frontend has sent some
 * @store_answer: store the answer for the key; it is buffered until complete
 * @oversized: the answer is too large to be stored and is sent as it arrives
 * @decision_pending: admission decided about the waiting call; the decision
 *	is queued for the worker
 * @detached: the frontend is done with the call or has lost its sender
 * @may_have_run: an attempt failed after which the request may have run
 * @may_have_begun: for the audit: an attempt wrote the request, and neither a
 *	result code of a peer nor a 503 of the backend server told that it did
 *	not run
 * @arrived: when the call was received, by ba_clock_now()
 * @weight: weight of the service in the policy, for the choice of calls to shed
 * @tried: ids of the endpoints of all attempts, the last one included
 * @resuming: the attempt requests the rest of an answer by its range
 * @bad_answer: the answer of the attempt contradicts its head or, when
 *	resuming, the answer that was sent so far
 * @bad_head: the head of the answer is none of HTTP/1; @answer.status stays 0
 * @check: checks the data of the answer against its head
 * @bytes_sent: bytes of the answer that have been sent
 * @result: result code, %BA_OK unless the call has failed
 */
struct da_call {
	struct da_fetch_owner owner;
	const struct da_frontend *frontend;
	struct ba_list link;
	struct ba_list ready;
	struct da_worker *w;
	char id[DA_CALL_ID_BYTES];
	bool from_peer;
	bool inner;
	bool counted;
	bool head_sent;
	bool paused;
	bool store_answer;
	bool oversized;
	bool decision_pending;
	bool detached;
	bool may_have_run;
	bool may_have_begun;

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
	struct cl_admit_call admit_call;
	struct da_headers sent_headers;
	struct da_request request;
	bool to_backend;
	bool resuming;
	bool bad_answer;
	bool bad_head;
	uint64_t tried[CL_ATTEMPTS_LIMIT];
	size_t n_tried;
	ba_time sent_at;

	struct da_answer answer;
	struct cl_answer check;
	char *etag;
	char *content_range;
	uint64_t bytes_sent;
	int result;
};

#ifdef __cplusplus
extern "C" {
#endif

/** da_call_init() - initialise a zeroed call that arrives now */
void da_call_init(struct da_call *c, struct da_worker *w,
		  const struct da_frontend *front);

/** da_call_begin() - route a call whose request is complete, and send it */
void da_call_begin(struct da_call *c);

/**
 * da_call_fail() - end the call with @code
 *
 * The result is cl_code_for_caller() of @code, as an earlier attempt may have
 * run.
 */
void da_call_fail(struct da_call *c, int code);

/** da_call_complete() - mark the answer as complete */
void da_call_complete(struct da_call *c);

/**
 * da_call_notify() - have answer_changed() called at the end of this iteration
 * of the loop
 */
void da_call_notify(struct da_call *c);

/**
 * da_call_consumed() - account for @bytes of the answer that were sent, and
 * resume a paused attempt if enough of them were
 */
void da_call_consumed(struct da_call *c, size_t bytes);

/** da_call_is_finished() - whether the call is answered, failed or detached */
bool da_call_is_finished(const struct da_call *c);

/**
 * da_call_detach() - release the call on behalf of its frontend
 *
 * Called when the frontend is done with the call or its sender has
 * disconnected.  The call is freed with g_free(), at once or, if it must run
 * to its end, after that.
 */
void da_call_detach(struct da_call *c);

/** da_call_notify_ready() - call answer_changed() for all calls that need it */
void da_call_notify_ready(struct da_worker *w);

/**
 * da_call_sweep() - cancel calls whose sender has disconnected, and run the
 * admission queue, which refuses calls that wait too long
 */
void da_call_sweep(struct da_worker *w, ba_time now);

/** da_call_add_error_json() - append the body of an error answer to @out */
void da_call_add_error_json(int code, struct ba_buf *out);

#ifdef __cplusplus
}
#endif
#endif
