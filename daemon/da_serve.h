/*
 * Server for calls of other daemons to this daemon's backend server.
 */
#ifndef DA_SERVE_H
#define DA_SERVE_H

#include "daemon/da_call.h"

/** da_serve_new() - listen for other daemons; NULL if the port is in use */
struct da_serve *da_serve_new(struct da_worker *w, const struct ba_address *at);

/** da_serve_close() - close all sessions; called before the loop stops */
void da_serve_close(struct da_serve *s);

/** da_serve_free() - free the server; NULL is allowed */
void da_serve_free(struct da_serve *s);

#endif
