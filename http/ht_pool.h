/*
 * A pool of idle connections to one address.
 *
 * Rules:
 * - A connection is never reused if the other end has closed it, or if it was
 *   idle for as long as the other end keeps an idle connection open.
 * - The most recently used connection is reused first, so that surplus ones
 *   reach their idle timeout.
 */
#ifndef HT_POOL_H
#define HT_POOL_H

#include "http/ht_conn.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ht_pool;

/**
 * struct ht_pool_options - configuration of a pool
 * @to: address to connect to
 * @idle_timeout: longest time that a connection is kept idle
 * @max_idle: limit of idle connections
 * @head_limit: limit of the bytes of an answer's head
 * @account: charged with what connections hold; may be NULL
 */
struct ht_pool_options {
	struct ba_address to;
	ba_time idle_timeout;
	size_t max_idle;
	size_t head_limit;
	struct ba_account *account;
};

/** ht_pool_new() - create an empty pool */
struct ht_pool *ht_pool_new(struct ba_loop *loop,
			    const struct ht_pool_options *o);

/** ht_pool_free() - close idle connections and free @p; NULL is allowed */
void ht_pool_free(struct ht_pool *p);

/**
 * ht_pool_take() - get a connection for a request of @o
 * @fresh: set to whether it had to be opened
 */
struct ht_conn *ht_pool_take(struct ht_pool *p, struct ht_conn_owner *o,
			     bool *fresh);

/**
 * ht_pool_give() - return a connection whose answer is complete
 * @p: NULL closes the connection
 *
 * A connection that cannot be reused, or is above the limit, is closed.
 */
void ht_pool_give(struct ht_pool *p, struct ht_conn *c);

#ifdef __cplusplus
}
#endif
#endif
