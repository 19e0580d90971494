/*
 * HTTP server for counters: GET /metrics answers with them in the text
 * exposition format, GET /health with "ok".
 */
#ifndef PR_METRICS_H
#define PR_METRICS_H

#include "base/ba_loop.h"
#include "base/ba_unit.h"

struct pr_metrics;

/**
 * pr_metrics_start() - serve the counters of this process over HTTP
 * @loop: loop whose thread serves them
 * @address: where to listen; empty for no server
 * @out: the server, or NULL when @address is empty
 *
 * Return: %BA_OK or %BA_PORT_IN_USE.
 */
int pr_metrics_start(struct ba_loop *loop, const struct ba_address *address,
		     struct pr_metrics **out);

/** pr_metrics_stop() - stop serving; NULL is allowed */
void pr_metrics_stop(struct pr_metrics *m);

#endif
