/*
 * A server of whole requests: small calls whose body fits into memory, each
 * answered at once or later.
 *
 * Rules:
 * - A request is the owner's from @request until it is answered or @gone.
 * - A connection carries one request after the other.
 */
#ifndef HT_SERVICE_H
#define HT_SERVICE_H

#include "http/ht_conn.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ht_service;

/**
 * struct ht_request - a whole request; read only for its owner, but @context
 * @head: its head
 * @body: its body, or as much of it as the service keeps
 * @cut: the body was longer than that
 * @context: the owner's, NULL for each new request
 */
struct ht_request {
	const struct ht_head *head;
	struct ba_buf body;
	bool cut;
	void *context;
};

/**
 * struct ht_service_owner - whoever answers; embed it
 * @request: a request is whole
 * @gone: nobody waits for its answer any more; may be NULL
 */
struct ht_service_owner {
	void (*request)(struct ht_service_owner *o, struct ht_request *r);
	void (*gone)(struct ht_service_owner *o, struct ht_request *r);
};

/**
 * struct ht_service_options - how a service runs
 * @at: where it listens
 * @head_limit: most bytes of a head
 * @body_limit: most bytes of a body that are kept
 * @idle: a connection without a request is closed after this time
 * @connections: most connections at once, 0 for no limit
 */
struct ht_service_options {
	const struct ba_address *at;
	size_t head_limit;
	size_t body_limit;
	ba_time idle;
	unsigned int connections;
};

/** ht_service_new() - listen; %BA_OK or %BA_PORT_IN_USE */
int ht_service_new(struct ba_loop *loop, const struct ht_service_options *o,
		   struct ht_service_owner *owner, struct ht_service **out);

/** ht_service_free() - end all connections; NULL is allowed */
void ht_service_free(struct ht_service *s);

/**
 * ht_request_answer() - answer; @r is not the owner's any more
 * @fields: further fields, each ended by CR LF, or ""
 * @type: of the body, told when there is one
 */
void ht_request_answer(struct ht_request *r, int status, const char *fields,
		       const char *type, const struct ba_buf *body);

#ifdef __cplusplus
}
#endif
#endif
