#include <string.h>

#include <glib.h>
#include <microhttpd.h>

#include "base/ba_buf.h"
#include "base/ba_result.h"
#include "prog/pr_metrics.h"
#include "report/rt.h"

enum {
	CONNECTIONS_LIMIT = 16,
	IDLE_TIMEOUT_S = 10,
};

struct pr_metrics {
	struct MHD_Daemon *http;
};

static enum MHD_Result answer(void *cls, struct MHD_Connection *c,
			      const char *url, const char *method,
			      const char *version, const char *body,
			      size_t *body_len, void **state);
static unsigned int fill(const char *url, const char *method,
			 struct ba_buf *out);

int pr_metrics_start(const struct ba_address *at, struct pr_metrics **out)
{
	struct pr_metrics *m;

	*out = NULL;
	if (!at->len)
		return BA_OK;
	m = g_new0(struct pr_metrics, 1);
	m->http = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, answer, NULL,
		MHD_OPTION_SOCK_ADDR, (const struct sockaddr *)&at->sockaddr,
		MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_LIMIT,
		MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S, MHD_OPTION_END);
	if (!m->http) {
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
	MHD_stop_daemon(m->http);
	g_free(m);
}

static enum MHD_Result answer(void *cls, struct MHD_Connection *c,
			      const char *url, const char *method,
			      const char *version, const char *body,
			      size_t *body_len, void **state)
{
	struct ba_buf text = {0};
	struct MHD_Response *r;
	enum MHD_Result ret;
	unsigned int status;

	(void)cls;
	(void)version;
	(void)body;
	(void)state;
	*body_len = 0;
	status = fill(url, method, &text);
	r = MHD_create_response_from_buffer(text.len, text.data,
					    MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(r, MHD_HTTP_HEADER_CONTENT_TYPE,
				"text/plain; version=0.0.4");
	ret = MHD_queue_response(c, status, r);
	MHD_destroy_response(r);
	ba_buf_free(&text);
	return ret;
}

static unsigned int fill(const char *url, const char *method,
			 struct ba_buf *out)
{
	if (strcmp(method, MHD_HTTP_METHOD_GET)) {
		ba_buf_addf(out, "only GET is served here\n");
		return MHD_HTTP_METHOD_NOT_ALLOWED;
	}
	if (!strcmp(url, "/metrics")) {
		rt_expose(out);
		return MHD_HTTP_OK;
	}
	if (!strcmp(url, "/health")) {
		ba_buf_addf(out, "ok\n");
		return MHD_HTTP_OK;
	}
	ba_buf_addf(out, "served here: /metrics and /health\n");
	return MHD_HTTP_NOT_FOUND;
}
