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

/**
 * da_peer_server_finish() - stop listening, and end each session once the other
 * daemon has read its answers
 */
void da_peer_server_finish(struct da_peer_server *s);

/**
 * da_peer_server_is_unfinished() - whether a session has not ended
 * @progress: set to a number that changes when another daemon takes something
 */
bool da_peer_server_is_unfinished(const struct da_peer_server *s,
				  uint64_t *progress);

/** da_peer_server_close() - close all sessions; called before the loop stops */
void da_peer_server_close(struct da_peer_server *s);

/** da_peer_server_free() - free the server; NULL is allowed */
void da_peer_server_free(struct da_peer_server *s);

#endif
