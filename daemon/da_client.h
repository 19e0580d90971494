/*
 * HTTP client for attempts at this daemon's backend server.
 *
 * Rules:
 * - There are never more connections than the limit; attempts beyond it wait.
 * - A request is written again only if it is idempotent, and only where a kept
 *   connection turns out to be lost.
 */
#ifndef DA_CLIENT_H
#define DA_CLIENT_H

#include "base/ba_loop.h"
#include "base/ba_unit.h"
#include "daemon/da_fetch.h"

#ifdef __cplusplus
extern "C" {
#endif

struct da_client;

/**
 * da_client_new() - create a client on @loop
 * @to: address of the backend server
 * @connections: greatest number of connections to it
 */
struct da_client *da_client_new(struct ba_loop *loop,
				const struct ba_address *to,
				unsigned int connections);

/** da_client_free() - free the client; no attempt may be running */
void da_client_free(struct da_client *c);

/** da_client_fetch() - start an attempt; the owner is called back later only */
struct da_fetch *da_client_fetch(struct da_client *c,
				 const struct da_request *q,
				 struct da_fetch_owner *o);

#ifdef __cplusplus
}
#endif
#endif
