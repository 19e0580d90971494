#include <string.h>
#include <strings.h>

#include "base/ba_result.h"
#include "proxy/px_internal.h"

static bool is_proxy_field(const char *name);
static void add_fields(const struct px_exchange *x, const struct ht_head *h,
		       struct ba_buf *out);
static void add_backend_fields(const struct px_exchange *x, struct ba_buf *out);
static void add_proxy_fields(struct px_exchange *x, struct ba_buf *out);
static void add_version(const struct px *p, struct ba_buf *out);
static void add_leaves_field(const struct px_exchange *x, struct ba_buf *out);
static ba_time time_left(const struct px_exchange *x);
static ba_time retry_after(struct px_exchange *x, int code);
static ba_time room_wait(const struct px_exchange *x);

void px_compose_request(struct px_exchange *x, bool to_backend,
			struct ba_buf *out)
{
	const struct ht_head *h = ht_conn_head(x->downstream->conn);
	const struct ba_chain *body = &x->downstream->body;

	ba_buf_addf(out, "%s %s HTTP/1.1\r\n", h->method, ht_head_target(h));
	add_fields(x, h, out);
	if (to_backend)
		add_backend_fields(x, out);
	else
		add_proxy_fields(x, out);
	if (body->len || h->length >= 0 || h->chunked)
		ba_buf_addf(out, "Content-Length: %zu\r\n", body->len);
	ba_buf_addf(out, "\r\n");
}

void px_compose_notice(const struct px_exchange *x, struct ba_buf *out)
{
	ba_buf_addf(out,
		    "POST / HTTP/1.1\r\nHost: -\r\n" PX_FIELD_LEAVING
		    ": %s\r\n",
		    x->id);
	add_leaves_field(x, out);
	ba_buf_addf(out, "Content-Length: 0\r\n\r\n");
}

/*
 * Writes Content-Length if the length is known.  Otherwise the answer is sent
 * in chunks, so that the caller can tell a truncated answer from a complete
 * one.
 */
void px_compose_answer_head(struct px_exchange *x, const struct ht_head *h,
			    struct ba_buf *out)
{
	const struct ht_head *request = ht_conn_head(x->downstream->conn);

	ba_buf_addf(out, "HTTP/1.1 %d %s\r\n", h->status,
		    ht_reason_phrase(h->status));
	for (size_t i = 0; i < h->n_fields; i++)
		if (!ht_head_is_hop_by_hop(h, i) &&
		    !is_proxy_field(ht_head_name(h, i)))
			ba_buf_addf(out, "%s: %s\r\n", ht_head_name(h, i),
				    ht_head_value(h, i));
	if (x->downstream->from_peer) {
		ba_buf_addf(out, PX_FIELD_LOAD ": %u\r\n",
			    cl_admit_load(x->p->backend.admit));
		px_work_write(x, out);
		add_version(x->p, out);
		px_limit_write_stated(x, out);
	}
	x->chunked = !x->no_body && x->length < 0 && request->minor >= 1;
	if (x->length >= 0 && h->status != 204)
		ba_buf_addf(out, "Content-Length: %lld\r\n",
			    (long long)x->length);
	else if (x->chunked)
		ba_buf_addf(out, "Transfer-Encoding: chunked\r\n");
	if (px_downstream_closes(x->downstream))
		ba_buf_addf(out, "Connection: close\r\n");
	ba_buf_addf(out, "\r\n");
}

void px_compose_error(struct px_exchange *x, int status, int code,
		      struct ba_buf *out)
{
	struct ba_buf body = {0};

	ba_buf_addf(&body, "{");
	ba_result_json(code, &body);
	ba_buf_addf(&body, "}\n");
	ba_buf_addf(out, "HTTP/1.1 %d %s\r\n", status,
		    ht_reason_phrase(status));
	if (x->downstream->from_peer && status == 503)
		ba_buf_addf(out, PX_FIELD_NOT_RUN ": %d\r\n", code);
	if (x->downstream->from_peer) {
		ba_buf_addf(out, PX_FIELD_LOAD ": %u\r\n",
			    x->p->backend.admit
				    ? cl_admit_load(x->p->backend.admit)
				    : 0);
		px_work_write(x, out);
		add_version(x->p, out);
		px_limit_write_stated(x, out);
	} else if (status == 503 || status == 429)
		ba_buf_addf(out, "Retry-After: %.3f\r\n",
			    (double)retry_after(x, code) / (double)BA_SECOND);
	else if (status == 401)
		ba_buf_addf(out, "WWW-Authenticate: Bearer\r\n");
	if (px_downstream_closes(x->downstream))
		ba_buf_addf(out, "Connection: close\r\n");
	ba_buf_addf(out,
		    "Content-Type: application/json\r\n"
		    "Content-Length: %zu\r\n\r\n",
		    body.len);
	if (strcmp(ht_conn_head(x->downstream->conn)->method, "HEAD") != 0)
		ba_buf_add(out, body.data, body.len);
	ba_buf_free(&body);
}

void px_compose_unread(struct px_downstream *d, int code, struct ba_buf *out)
{
	ba_time wait =
		PX_RETRY_AFTER_MIN +
		(ba_time)ba_rand_below(&d->p->rand, PX_RETRY_AFTER_JITTER);

	ba_buf_addf(out, "HTTP/1.1 503 %s\r\n", ht_reason_phrase(503));
	if (d->from_peer)
		ba_buf_addf(out, PX_FIELD_NOT_RUN ": %d\r\n", code);
	else
		ba_buf_addf(out, "Retry-After: %.3f\r\n",
			    (double)wait / (double)BA_SECOND);
	ba_buf_addf(out, "Content-Length: 0\r\nConnection: close\r\n\r\n");
}

void px_compose_bodyless(int status, struct ba_buf *out)
{
	ba_buf_addf(out,
		    "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n"
		    "Connection: close\r\n\r\n",
		    status, ht_reason_phrase(status));
}

static bool is_proxy_field(const char *name)
{
	return !strncasecmp(name, PX_FIELD_PREFIX, strlen(PX_FIELD_PREFIX));
}

static void add_fields(const struct px_exchange *x, const struct ht_head *h,
		       struct ba_buf *out)
{
	for (size_t i = 0; i < h->n_fields; i++) {
		const char *name = ht_head_name(h, i);

		if (ht_head_is_hop_by_hop(h, i) || is_proxy_field(name) ||
		    x->p->dialect->is_daemon_field(name) ||
		    px_team_hides(x, name))
			continue;
		ba_buf_addf(out, "%s: %s\r\n", name, ht_head_value(h, i));
	}
}

static void add_backend_fields(const struct px_exchange *x, struct ba_buf *out)
{
	const struct px_backend_fields fields = {
		.time_left = time_left(x),
		.caller = x->caller,
		.backend = x->p->backend.heartbeat.backend,
		.team = x->team_name,
	};

	x->p->dialect->write_backend_fields(&fields, out);
}

static void add_proxy_fields(struct px_exchange *x, struct ba_buf *out)
{
	/* This proxy sends the last piece on when it has come. */
	ba_time target =
		x->latency_target - ba_loop_now(x->p->loop) -
		cl_egress_transmit_time(&x->p->egress,
					MIN(px_exchange_expected_bytes(x),
					    (double)HT_LINK_PIECE_BYTES));

	ba_buf_addf(out, PX_FIELD_SERVICE ": %s\r\n" PX_FIELD_CALLER ": %s\r\n",
		    x->service, x->caller);
	ba_buf_addf(out, PX_FIELD_ROUTE ": %s\r\n" PX_FIELD_PRIORITY ": %u\r\n",
		    x->route, x->priority);
	if (x->team_name)
		ba_buf_addf(out, PX_FIELD_TEAM ": %s\r\n", x->team_name);
	if (x->last_try)
		ba_buf_addf(out, PX_FIELD_LAST_TRY ": 1\r\n");
	ba_buf_addf(out,
		    PX_FIELD_TIME_LEFT ": %lld\r\n" PX_FIELD_TARGET_LEFT
				       ": %lld\r\n",
		    (long long)time_left(x), (long long)target);
	add_leaves_field(x, out);
	add_version(x->p, out);
	px_limit_write_told(x, out);
}

static void add_version(const struct px *p, struct ba_buf *out)
{
	if (p->snapshot)
		ba_buf_addf(out, PX_FIELD_VERSION ": %llu\r\n",
			    (unsigned long long)p->snapshot->version);
}

/* The caller may leave before this proxy does. */
static void add_leaves_field(const struct px_exchange *x, struct ba_buf *out)
{
	ba_time now = ba_loop_now(x->p->loop);
	ba_time until = MIN(x->p->leaves_at, x->deadline);

	if (x->p->leaves_at)
		ba_buf_addf(out, PX_FIELD_LEAVES_LEFT ": %lld\r\n",
			    (long long)MAX(until - now, 0));
}

static ba_time time_left(const struct px_exchange *x)
{
	ba_time left = x->deadline - ba_loop_now(x->p->loop);

	return left > BA_MS ? left : BA_MS;
}

/*
 * The jitter keeps callers that were refused together from retrying together.
 * A proxy without a configuration asks for a longer wait: it may have to wait
 * for the election of a leader.  A request that crashes backend servers is not
 * wanted back.  Where all endpoints are at the limits that they state, none has
 * room before the time that they tell.
 */
static ba_time retry_after(struct px_exchange *x, int code)
{
	ba_time now = ba_loop_now(x->p->loop);
	ba_time min = code == CL_NOT_CONFIGURED ? PX_RETRY_AFTER_NOT_CONFIGURED
		      : code == CL_REQUEST_CRASHES ? PX_RETRY_AFTER_CONVICTED
						   : PX_RETRY_AFTER_MIN;

	if (code == CL_SERVICE_FULL && x->latency_target > now)
		return cl_gate_retry_after(
			x->latency_target - now,
			(double)ba_rand_below(&x->p->rand, 1000) / 1000);
	if (code == CL_QUOTA_EXCEEDED)
		min = px_quota_retry_after(x);
	else if (x->service)
		min = MAX(min, room_wait(x));
	return min + (ba_time)ba_rand_below(&x->p->rand, PX_RETRY_AFTER_JITTER);
}

static ba_time room_wait(const struct px_exchange *x)
{
	ba_time now = ba_loop_now(x->p->loop);

	return cl_route_room_at(x->p->router, x->service,
				px_backend_room_at(x->p), now) -
	       now;
}
