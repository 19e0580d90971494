/*
 * HTTP client of the caller stand-in.  It runs libcurl on the event loop.
 *
 * Rules:
 * - A request belongs to its owner until @done is called.
 * - @done is called once for each request that was sent, from the loop.
 */
#ifndef BN_HTTP_H
#define BN_HTTP_H

#include "base/ba_buf.h"
#include "base/ba_loop.h"
#include "bench/bn.h"

#ifdef __cplusplus
extern "C" {
#endif

struct bn_http;

enum { BN_HOMES_BYTES = 512 };

/** enum bn_transport - result of the transfer, whatever the status */
enum bn_transport {
	BN_COMPLETE,   /* the complete answer was received */
	BN_NOT_SENT,   /* no connection could be opened */
	BN_INCOMPLETE, /* the answer is missing or truncated */
};

/**
 * struct bn_request - a request and its answer, to be embedded
 * @done: called once @transport and the answer are set
 * @url: valid until @done is called
 * @method: HTTP method
 * @key: value of Idempotency-Key, or NULL
 * @id: value of X-Request-Id, or NULL
 * @body: body of the request, or NULL
 * @time_left: sent to the daemon and, with a margin, used as timeout; 0 for
 *	neither
 * @transport: result of the transfer
 * @status: HTTP status
 * @result: number in the result header, -1 if there is none
 * @etag: ETag of the answer, or ""
 * @homes: data centres that accept new keys, separated by spaces, or ""
 * @answer: body of the answer; freed by the owner
 */
struct bn_request {
	void (*done)(struct bn_request *r);
	const char *url;
	const char *method;
	const char *key;
	const char *id;
	const char *body;
	ba_time time_left;
	enum bn_transport transport;
	long status;
	int result;
	char etag[BN_ETAG_BYTES];
	char homes[BN_HOMES_BYTES];
	struct ba_buf answer;
};

/** bn_http_new() - create a client on @loop that reuses connections */
struct bn_http *bn_http_new(struct ba_loop *loop);

/** bn_http_send() - start the request @r */
void bn_http_send(struct bn_http *h, struct bn_request *r);

/** bn_http_free() - free @h; no request may be in progress */
void bn_http_free(struct bn_http *h);

#ifdef __cplusplus
}
#endif
#endif
