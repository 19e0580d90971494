#include <string.h>

#include "base/ba_digest.h"
#include "base/ba_event.h"
#include "base/ba_result.h"
#include "http/ht_conn.h"
#include "source/so_http.h"

enum {
	HEAD_LIMIT_BYTES = 64 * 1024,
	BODY_LIMIT_BYTES = 32 * 1024 * 1024,
};

#define IDLE_TIMEOUT BA_MINUTE
#define OPERATOR "platform"

struct so_http {
	struct ht_acceptor acceptor;
	struct ba_loop *loop;
	struct so_http_options o;
	struct ht_listener *listener;
	struct ba_list calls;
};

/* struct call - one connection of an operator */
struct call {
	struct ht_owner owner;
	struct so_waiter waiter;
	struct ba_list link;
	struct so_http *http;
	struct ht_conn *conn;
	struct ba_buf body;
};

static void on_accept(struct ht_acceptor *a, int fd);
static void on_head(struct ht_owner *o, struct ht_conn *c);
static void on_body(struct ht_owner *o, struct ht_conn *c, const void *data,
		    size_t len);
static void on_whole(struct ht_owner *o, struct ht_conn *c);
static void on_ended(struct ht_owner *o, struct ht_conn *c, enum ht_end why);
static void on_outcome(struct so_waiter *w, const CtOutcome *outcome);
static void send_elsewhere(struct call *k);
static void take_read(struct call *k);
static void take_submit(struct call *k);
static bool is_known(struct call *k, const CtSubmit *submit, uint64_t base);
static int check(struct call *k, const struct ba_buf *packed, uint64_t base,
		 struct ba_problems *problems);
static void submit(struct call *k, const struct ba_buf *packed, char *id);
static void answer(struct call *k, int status, const char *extra,
		   const void *body, size_t len);
static void answer_code(struct call *k, int status, int code,
			const struct ba_problems *problems);
static void forget(struct call *k);

int so_http_new(struct ba_loop *loop, const struct so_http_options *o,
		struct so_http **out)
{
	struct so_http *h = g_new0(struct so_http, 1);

	h->acceptor.accept = on_accept;
	h->loop = loop;
	h->o = *o;
	ba_list_init(&h->calls);
	if (ht_listen(loop, o->at, &h->acceptor, &h->listener)) {
		g_free(h);
		return BA_PORT_IN_USE;
	}
	*out = h;
	return BA_OK;
}

void so_http_free(struct so_http *h)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	if (!h)
		return;
	ht_listener_close(h->listener);
	ba_list_each_safe(pos, tmp, &h->calls)
	{
		struct call *k = ba_entry(pos, struct call, link);

		ht_conn_abort(k->conn);
		forget(k);
	}
	g_free(h);
}

static void on_accept(struct ht_acceptor *a, int fd)
{
	struct so_http *h = (struct so_http *)a;
	struct call *k = g_new0(struct call, 1);

	k->http = h;
	k->owner.head = on_head;
	k->owner.body = on_body;
	k->owner.whole = on_whole;
	k->owner.ended = on_ended;
	k->waiter.outcome = on_outcome;
	ba_list_append(&h->calls, &k->link);
	k->conn = ht_conn_accepted(h->loop, fd, HEAD_LIMIT_BYTES, &k->owner);
	ht_conn_expect(k->conn, ba_loop_now(h->loop) + IDLE_TIMEOUT);
}

static void on_head(struct ht_owner *o, struct ht_conn *c)
{
	(void)o;
	(void)c;
}

static void on_body(struct ht_owner *o, struct ht_conn *c, const void *data,
		    size_t len)
{
	struct call *k = (struct call *)o;

	(void)c;
	if (k->body.len <= BODY_LIMIT_BYTES)
		ba_buf_add(&k->body, data, len);
}

static void on_whole(struct ht_owner *o, struct ht_conn *c)
{
	struct call *k = (struct call *)o;
	struct so_source *s = k->http->o.source;
	const struct ht_head *h = ht_conn_head(c);
	enum so_call call =
		k->http->o.dialect->read_call(h->method, ht_head_target(h));

	ht_conn_expect(c, BA_NEVER);
	if (call == SO_CALL_UNKNOWN)
		answer(k, 404, "", NULL, 0);
	else if (k->body.len > BODY_LIMIT_BYTES)
		answer(k, 413, "", NULL, 0);
	else if (rp_core_accepting(rp_node_core(s->node), ba_loop_now(s->loop)))
		send_elsewhere(k);
	else if (call == SO_CALL_READ)
		take_read(k);
	else
		take_submit(k);
}

static void on_ended(struct ht_owner *o, struct ht_conn *c, enum ht_end why)
{
	(void)c;
	(void)why;
	forget((struct call *)o);
}

static void on_outcome(struct so_waiter *w, const CtOutcome *outcome)
{
	struct call *k = ba_entry(w, struct call, waiter);
	int code = (int)outcome->code;

	ba_event(code ? RP_EV_SUBMISSION_REFUSED : RP_EV_ACCEPTED,
		 "operator=" OPERATOR " code=%d version=%llu current=%llu",
		 code, (unsigned long long)outcome->version,
		 (unsigned long long)outcome->current);
	if (!code)
		answer(k, 200, "", NULL, 0);
	else if (code == RP_BASE_STALE)
		answer_code(k, 412, code, NULL);
	else
		answer_code(k, 503, code, NULL);
}

/* To the leader, when it is known. */
static void send_elsewhere(struct call *k)
{
	struct so_source *s = k->http->o.source;
	int leader = rp_core_leader(rp_node_core(s->node));
	char *extra;

	if (leader == RP_NOBODY || leader == s->self) {
		answer_code(k, 503, RP_NO_QUORUM, NULL);
		return;
	}
	extra = g_strdup_printf("Location: http://%s%s\r\n", s->names[leader],
				ht_head_target(ht_conn_head(k->conn)));
	answer(k, 307, extra, NULL, 0);
	g_free(extra);
}

static void take_read(struct call *k)
{
	const struct rp_machine *m = rp_node_machine(k->http->o.source->node);
	const struct cf_snapshot *current = rp_machine_current(m);
	struct ba_buf body = {0};

	if (!current->revision) {
		answer_code(k, 503, CL_NOT_CONFIGURED, NULL);
		return;
	}
	k->http->o.dialect->write_configuration(current, &body);
	answer(k, 200, "", body.data, body.len);
	ba_buf_free(&body);
}

static void take_submit(struct call *k)
{
	const struct so_dialect *d = k->http->o.dialect;
	struct ba_problems problems = {0};
	struct ba_buf packed = {0};
	CtSubmit probe = CT_SUBMIT__INIT;
	struct ba_digest digest;
	char id[2 * BA_DIGEST_BYTES + 32];
	char hex[2 * BA_DIGEST_BYTES + 1];
	uint64_t base = 0;
	int code;

	if (!d->read_base(ht_conn_head(k->conn), &base) ||
	    !d->read_configuration(k->body.data, k->body.len, &packed,
				   &problems)) {
		answer_code(k, 400, CF_ENCODING_WRONG, &problems);
		goto out;
	}
	digest = ba_digest(packed.data, packed.len);
	ba_digest_hex(&digest, hex);
	g_snprintf(id, sizeof(id), "%llx-%s", (unsigned long long)base, hex);
	probe.submission_id = id;
	if (is_known(k, &probe, base))
		goto out;
	code = check(k, &packed, base, &problems);
	if (code == RP_BASE_STALE)
		answer_code(k, 412, code, NULL);
	else if (code)
		answer_code(k, 400, code, &problems);
	else
		submit(k, &packed, id);
out:
	ba_problems_free(&problems);
	ba_buf_free(&packed);
}

/* The first outcome of an order is its outcome for good. */
static bool is_known(struct call *k, const CtSubmit *submit, uint64_t base)
{
	const struct rp_machine *m = rp_node_machine(k->http->o.source->node);
	CtOutcome *known = rp_machine_outcome(m, submit->submission_id);
	bool accepted = known && !known->code;

	(void)base;
	if (known)
		ct_outcome__free_unpacked(known, NULL);
	if (accepted)
		answer(k, 200, "", NULL, 0);
	return accepted;
}

/* Whether it would be accepted now; what is wrong is told to nobody else. */
static int check(struct call *k, const struct ba_buf *packed, uint64_t base,
		 struct ba_problems *problems)
{
	const struct rp_machine *m = rp_node_machine(k->http->o.source->node);
	const struct cf_snapshot *current = rp_machine_current(m);
	struct cf_snapshot *next = NULL;
	int code = cf_snapshot_adopt(packed->data, packed->len, current,
				     current->version + 1, &next, problems);

	if (!code && base != current->revision)
		code = RP_BASE_STALE;
	if (!code && next->revision <= current->revision) {
		ba_problem_add(problems, CF_VERSION_OLDER, 0, "version",
			       "above the current one, %llu",
			       (unsigned long long)current->revision);
		code = CF_VERSION_OLDER;
	}
	cf_snapshot_unref(next);
	return code;
}

static void submit(struct call *k, const struct ba_buf *packed, char *id)
{
	struct so_source *s = k->http->o.source;
	CtSubmit m = CT_SUBMIT__INIT;

	m.submission_id = id;
	m.base_version = rp_machine_current(rp_node_machine(s->node))->version;
	m.kind = CT_KIND__CT_KIND_SNAPSHOT;
	m.operator_ = OPERATOR;
	m.text.data = packed->data;
	m.text.len = packed->len;
	so_submit(s, &k->waiter, &m);
}

static void answer(struct call *k, int status, const char *extra,
		   const void *body, size_t len)
{
	struct ht_conn *c = k->conn;
	bool last = ht_conn_head(c)->last;

	ba_buf_addf(ht_conn_out(c),
		    "HTTP/1.1 %d %s\r\n%s%s%sContent-Length: %zu\r\n\r\n",
		    status, ht_reason(status), extra,
		    len ? "Content-Type: application/json\r\n" : "",
		    last ? "Connection: close\r\n" : "", len);
	ht_conn_write(c, body, len);
	ba_buf_free(&k->body);
	if (last) {
		forget(k);
		ht_conn_finish(c);
		return;
	}
	ht_conn_flush(c);
	ht_conn_expect(c, ba_loop_now(k->http->loop) + IDLE_TIMEOUT);
	ht_conn_next(c);
}

static void answer_code(struct call *k, int status, int code,
			const struct ba_problems *problems)
{
	const struct ba_result_info *info = ba_result_info(code);
	struct ba_buf body = {0};

	ba_buf_addf(&body, "{\"code\":%d,\"name\":\"%s\",\"text\":\"%s\"", code,
		    info->name, info->text);
	for (size_t i = 0; problems && i < problems->n; i++) {
		char *expected = g_strescape(problems->list[i].expected, NULL);

		ba_buf_addf(&body, "%s{\"key\":\"%s\",\"expected\":\"%s\"}",
			    i ? "," : ",\"problems\":[",
			    problems->list[i].key ? problems->list[i].key : "",
			    expected);
		g_free(expected);
	}
	ba_buf_addf(&body, "%s}\n", problems && problems->n ? "]" : "");
	answer(k, status, "", body.data, body.len);
	ba_buf_free(&body);
}

static void forget(struct call *k)
{
	so_submit_forget(k->http->o.source, &k->waiter);
	ba_list_remove(&k->link);
	ba_buf_free(&k->body);
	g_free(k);
}
