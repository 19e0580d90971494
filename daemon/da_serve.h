/*
 * The side of sessions between daemons that has the backend server.
 */
#ifndef DA_SERVE_H
#define DA_SERVE_H

#include "daemon/da_call.h"

/** da_serve_new() - take calls of other daemons; NULL when the port is in use */
struct da_serve *da_serve_new(struct da_worker *w, const struct ba_address *at);

/** da_serve_close() - end all sessions; before the loop stops */
void da_serve_close(struct da_serve *s);

/** da_serve_free() - free it; NULL is allowed */
void da_serve_free(struct da_serve *s);

#endif
