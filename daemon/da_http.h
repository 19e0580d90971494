/*
 * HTTP server of a worker, for callers.
 */
#ifndef DA_HTTP_H
#define DA_HTTP_H

#include "daemon/da_call.h"

struct da_http;

/** da_http_new() - serve callers at @listen_fd, which is duplicated */
struct da_http *da_http_new(struct da_worker *w, int listen_fd);

/** da_http_run() - process pending events of the server */
void da_http_run(struct da_http *h);

/** da_http_free() - stop and free the server; NULL is allowed */
void da_http_free(struct da_http *h);

#endif
