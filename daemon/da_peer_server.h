/*
 * Server for calls of other daemons to this daemon's backend server.
 */
#ifndef DA_PEER_SERVER_H
#define DA_PEER_SERVER_H

#include "daemon/da_call.h"

/**
 * da_peer_server_new() - listen for other daemons
 *
 * Return: the server, or NULL if the port is in use.
 */
struct da_peer_server *da_peer_server_new(struct da_worker *w,
					  const struct ba_address *at);

/** da_peer_server_close() - close all sessions; called before the loop stops */
void da_peer_server_close(struct da_peer_server *s);

/** da_peer_server_free() - free the server; NULL is allowed */
void da_peer_server_free(struct da_peer_server *s);

#endif
