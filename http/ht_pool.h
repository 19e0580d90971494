/*
 * Connections to one address that wait for their next request.
 *
 * Rules:
 * - A connection that the other end has closed, or that was idle for as long
 *   as the other end keeps one, is never given out.
 * - The one used last is given out first, so that the others can end.
 */
#ifndef HT_POOL_H
#define HT_POOL_H

#include "http/ht_conn.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ht_pool;

/**
 * struct ht_pool_options - how a pool runs
 * @to: where to connect
 * @idle: how long a connection waits at most
 * @most: connections that wait at most
 * @head_limit: most bytes of the head of an answer
 */
struct ht_pool_options {
	struct ba_address to;
	ba_time idle_timeout;
	size_t max_idle;
	size_t head_limit;
};

/** ht_pool_new() - without connections */
struct ht_pool *ht_pool_new(struct ba_loop *loop,
			    const struct ht_pool_options *o);

/** ht_pool_free() - closes what waits; NULL is allowed */
void ht_pool_free(struct ht_pool *p);

/**
 * ht_pool_take() - a connection for a request of @o
 * @fresh: whether it had to be opened
 */
struct ht_conn *ht_pool_take(struct ht_pool *p, struct ht_conn_owner *o,
			     bool *fresh);

/**
 * ht_pool_give() - the answer is whole; the connection waits or is closed
 * @p: NULL closes it
 */
void ht_pool_give(struct ht_pool *p, struct ht_conn *c);

#ifdef __cplusplus
}
#endif
#endif
