/*
 * HTTP requests by libcurl on the event loop, for the caller stand-in.
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

/** enum bn_transport - how far a request came */
enum bn_transport {
	BN_COMPLETE,   /* the answer arrived to its end */
	BN_NOT_SENT,   /* no connection could be opened */
	BN_BROKEN_OFF, /* the answer is missing or broke off */
};

/**
 * struct bn_request - a request and its answer; embed it
 * @done: called when @transport and the answer are known
 * @url: where to; the owner keeps it until @done
 * @method: HTTP method
 * @key: Idempotency-Key, or NULL
 * @id: sent as X-Request-Id, or NULL
 * @body: of the request, or NULL
 * @time_left: told to the daemon and kept as timeout, 0 for none
 * @status: HTTP status
 * @result: number in the result header, -1 when there is none
 * @etag: validator of the answer, or ""
 * @homes: data centres that take new keys, or ""
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

/** bn_http_new() - a client on @loop that keeps its connections open */
struct bn_http *bn_http_new(struct ba_loop *loop);

/** bn_http_send() - send @r */
void bn_http_send(struct bn_http *h, struct bn_request *r);

/** bn_http_free() - free a client without open requests */
void bn_http_free(struct bn_http *h);

#ifdef __cplusplus
}
#endif
#endif
