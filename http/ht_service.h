/*
 * An HTTP server for small requests: each body is kept in memory, and a
 * request may be answered at once or later.
 *
 * Rules:
 * - The owner holds a request from @request until it answers it or gets
 *   @cancelled.
 * - A connection carries one request at a time.
 * - A body for which there is no memory is answered 503; before that, others that
 *   hold much and have stopped coming are.
 */
#ifndef HT_SERVICE_H
#define HT_SERVICE_H

#include "http/ht_conn.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ht_service;

/**
 * struct ht_request - a complete request; its owner may change only @context
 * @head: its head
 * @body: its body, up to the service's limit
 * @body_truncated: the body exceeded the limit
 * @context: for the owner's use; NULL for each new request
 */
struct ht_request {
	const struct ht_head *head;
	struct ba_buf body;
	bool body_truncated;
	void *context;
};

/**
 * struct ht_service_owner - callbacks to the user of a service; embed it
 * @request: a complete request has arrived
 * @cancelled: its connection has ended before the answer; may be NULL
 */
struct ht_service_owner {
	void (*request)(struct ht_service_owner *o, struct ht_request *r);
	void (*cancelled)(struct ht_service_owner *o, struct ht_request *r);
};

/**
 * struct ht_service_options - configuration of a service
 * @address: address to listen on
 * @head_limit: limit of the bytes of a head
 * @body_limit: limit of the bytes of a body that are kept
 * @idle_timeout: a connection without a request is closed after this time
 * @max_connections: limit of open connections, 0 for no limit; beyond it the one
 *	that has been without a request for longest is closed
 * @account: charged with what the service holds; may be NULL
 */
struct ht_service_options {
	const struct ba_address *address;
	size_t head_limit;
	size_t body_limit;
	ba_time idle_timeout;
	unsigned int max_connections;
	struct ba_account *account;
};

/**
 * ht_service_new() - start a service on @loop
 *
 * Return: %BA_OK or %BA_PORT_IN_USE.
 */
int ht_service_new(struct ba_loop *loop, const struct ht_service_options *o,
		   struct ht_service_owner *owner, struct ht_service **out);

/** ht_service_free() - close all connections and free @s; NULL is allowed */
void ht_service_free(struct ht_service *s);

/**
 * ht_request_answer() - answer a request; @r is invalid afterwards
 * @fields: further fields, each ended by CR LF, or ""
 * @type: Content-Type, sent if the body is not empty
 */
void ht_request_answer(struct ht_request *r, int status, const char *fields,
		       const char *type, const struct ba_buf *body);

/**
 * ht_request_answer_whole() - answer a request whose connection counts in
 * ht_service_is_unfinished() until all is sent, also if it is its last one
 */
void ht_request_answer_whole(struct ht_request *r, int status,
			     const char *fields, const char *type,
			     const struct ba_buf *body);

/** ht_service_stop_listening() - accept no more; open connections continue */
void ht_service_stop_listening(struct ht_service *s);

/**
 * ht_service_is_unfinished() - whether a request has not been answered, or
 * part of an answer has not reached the other end
 * @progress: set to a number that changes when another end takes something
 */
bool ht_service_is_unfinished(const struct ht_service *s, uint64_t *progress);

#ifdef __cplusplus
}
#endif
#endif
