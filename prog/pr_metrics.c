#include <string.h>

#include <glib.h>

#include "base/ba_list.h"
#include "base/ba_result.h"
#include "http/ht_conn.h"
#include "prog/pr_metrics.h"
#include "report/rt.h"

enum {
	CONNECTIONS_LIMIT = 16,
	HEAD_LIMIT_BYTES = 8192,
};

#define IDLE_TIMEOUT (10 * BA_SECOND)

struct pr_metrics {
	struct ht_acceptor acceptor;
	struct ba_loop *loop;
	struct ht_listener *listener;
	struct ba_list conns;
	unsigned int n_conns;
};

/* struct reader - a connection of whoever collects the counters */
struct reader {
	struct ht_owner owner;
	struct ba_list link;
	struct pr_metrics *metrics;
	struct ht_conn *conn;
};

static void on_accept(struct ht_acceptor *a, int fd);
static void on_head(struct ht_owner *o, struct ht_conn *c);
static void on_body(struct ht_owner *o, struct ht_conn *c, const void *data,
		    size_t len);
static void on_whole(struct ht_owner *o, struct ht_conn *c);
static void on_ended(struct ht_owner *o, struct ht_conn *c, enum ht_end why);
static int fill(const char *url, const char *method, struct ba_buf *out);
static void forget(struct reader *r);

int pr_metrics_start(struct ba_loop *loop, const struct ba_address *at,
		     struct pr_metrics **out)
{
	struct pr_metrics *m;

	*out = NULL;
	if (!at->len)
		return BA_OK;
	m = g_new0(struct pr_metrics, 1);
	m->acceptor.accept = on_accept;
	m->loop = loop;
	ba_list_init(&m->conns);
	if (ht_listen(loop, at, &m->acceptor, &m->listener)) {
		g_free(m);
		return BA_PORT_IN_USE;
	}
	*out = m;
	return BA_OK;
}

void pr_metrics_stop(struct pr_metrics *m)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	if (!m)
		return;
	ht_listener_close(m->listener);
	ba_list_each_safe(pos, tmp, &m->conns)
	{
		struct reader *r = ba_entry(pos, struct reader, link);

		ht_conn_abort(r->conn);
		forget(r);
	}
	g_free(m);
}

static void on_accept(struct ht_acceptor *a, int fd)
{
	struct pr_metrics *m = (struct pr_metrics *)a;
	struct reader *r = g_new0(struct reader, 1);

	r->owner.head = on_head;
	r->owner.body = on_body;
	r->owner.whole = on_whole;
	r->owner.ended = on_ended;
	r->metrics = m;
	ba_list_append(&m->conns, &r->link);
	r->conn = ht_conn_accepted(m->loop, fd, HEAD_LIMIT_BYTES, &r->owner);
	ht_conn_expect(r->conn, ba_loop_now(m->loop) + IDLE_TIMEOUT);
	if (m->n_conns++ < CONNECTIONS_LIMIT)
		return;
	ht_conn_abort(r->conn);
	forget(r);
}

static void on_head(struct ht_owner *o, struct ht_conn *c)
{
	(void)o;
	(void)c;
}

static void on_body(struct ht_owner *o, struct ht_conn *c, const void *data,
		    size_t len)
{
	(void)o;
	(void)c;
	(void)data;
	(void)len;
}

static void on_whole(struct ht_owner *o, struct ht_conn *c)
{
	const struct ht_head *h = ht_conn_head(c);
	struct reader *r = (struct reader *)o;
	struct ba_buf text = {0};
	bool last = h->last;
	int status = fill(ht_head_target(h), h->method, &text);

	ba_buf_addf(ht_conn_out(c),
		    "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n"
		    "Content-Type: text/plain; version=0.0.4\r\n%s\r\n",
		    status, ht_reason(status), text.len,
		    last ? "Connection: close\r\n" : "");
	ht_conn_write(c, text.data, text.len);
	ba_buf_free(&text);
	if (last) {
		forget(r);
		ht_conn_finish(c);
		return;
	}
	ht_conn_flush(c);
	ht_conn_expect(c, ba_loop_now(r->metrics->loop) + IDLE_TIMEOUT);
	ht_conn_next(c);
}

static void on_ended(struct ht_owner *o, struct ht_conn *c, enum ht_end why)
{
	(void)c;
	(void)why;
	forget((struct reader *)o);
}

static int fill(const char *url, const char *method, struct ba_buf *out)
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

static void forget(struct reader *r)
{
	ba_list_remove(&r->link);
	r->metrics->n_conns--;
	g_free(r);
}
