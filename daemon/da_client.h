/*
 * HTTP client for attempts at this daemon's backend server.
 */
#ifndef DA_CLIENT_H
#define DA_CLIENT_H

#include "base/ba_loop.h"
#include "daemon/da_fetch.h"

struct da_client;

/**
 * da_client_new() - create a client on @loop
 * @connections: greatest number of connections to the backend server
 */
struct da_client *da_client_new(struct ba_loop *loop, long connections);

/** da_client_free() - free the client; no attempt may be running */
void da_client_free(struct da_client *c);

/** da_client_fetch() - start an attempt at @address, "ip:port" */
struct da_fetch *da_client_fetch(struct da_client *c, const char *address,
				 const struct da_request *q,
				 struct da_fetch_owner *o);

#endif
