#include <string.h>

#include <glib.h>

#include "base/ba_result.h"
#include "http/ht_service.h"
#include "prog/pr_metrics.h"
#include "report/rt.h"

enum {
	MAX_CONNECTIONS = 16,
	MAX_HEAD_BYTES = 8192,
};

#define IDLE_TIMEOUT (10 * BA_SECOND)

struct pr_metrics {
	struct ht_service_owner owner;
	struct ht_service *service;
};

static void on_request(struct ht_service_owner *o, struct ht_request *r);
static int write_response(const char *url, const char *method,
			  struct ba_buf *out);

int pr_metrics_start(struct ba_loop *loop, const struct ba_address *address,
		     struct pr_metrics **out)
{
	const struct ht_service_options o = {
		.address = address,
		.head_limit = MAX_HEAD_BYTES,
		.idle_timeout = IDLE_TIMEOUT,
		.max_connections = MAX_CONNECTIONS,
	};
	struct pr_metrics *m;

	*out = NULL;
	if (!address->len)
		return BA_OK;
	m = g_new0(struct pr_metrics, 1);
	m->owner.request = on_request;
	if (ht_service_new(loop, &o, &m->owner, &m->service)) {
		g_free(m);
		return BA_PORT_IN_USE;
	}
	*out = m;
	return BA_OK;
}

void pr_metrics_stop(struct pr_metrics *m)
{
	if (!m)
		return;
	ht_service_free(m->service);
	g_free(m);
}

static void on_request(struct ht_service_owner *o, struct ht_request *r)
{
	struct ba_buf body = {0};
	int status =
		write_response(ht_head_target(r->head), r->head->method, &body);

	(void)o;
	ht_request_answer(r, status, "", "text/plain; version=0.0.4", &body);
	ba_buf_free(&body);
}

static int write_response(const char *url, const char *method,
			  struct ba_buf *out)
{
	if (strcmp(method, "GET") != 0) {
		ba_buf_addf(out, "only GET is served here\n");
		return 405;
	}
	if (!strcmp(url, "/metrics")) {
		rt_expose(out);
		return 200;
	}
	if (!strcmp(url, "/health")) {
		ba_buf_addf(out, "ok\n");
		return 200;
	}
	ba_buf_addf(out, "served here: /metrics and /health\n");
	return 404;
}
