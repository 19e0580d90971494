#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>
#include <microhttpd.h>

#include "daemon/da_http.h"
#include "http/ht_message.h"

/*
 * CONNECTIONS_LIMIT holds for each worker.  A number of MAX_LENGTH_DIGITS
 * decimal digits fits in 64 bits.
 */
enum {
	CONNECTIONS_LIMIT = 8192,
	CALLER_IDLE_SECONDS = 60,
	STREAM_BLOCK_BYTES = 64 * 1024,
	MAX_DISCARDED_BYTES = 16 * CL_BODY_LIMIT_BYTES,
	MAX_LENGTH_DIGITS = 18,
	RESULT_BYTES = 48,
	STATUS_SERVICE_UNAVAILABLE = 503,
};

#define RETRY_AFTER_SECONDS "1"
#define REQUEST_TIMEOUT (10 * BA_SECOND)

struct da_http {
	struct ba_watch watch;
	struct ba_timer timer;
	struct da_worker *w;
	struct MHD_Daemon *daemon;
};

/* A call from a caller, with the connection for its answer. */
struct http_call {
	struct da_call call;
	struct MHD_Connection *conn;
	bool request_complete;
	bool suspended;
	bool too_large;
};

/* Header fields of a request that decide where it ends and whom it is for. */
struct head_scan {
	struct http_call *call;
	unsigned int n_lengths;
	unsigned int n_codings;
	unsigned int n_hosts;
	bool bad_length;
	bool bad_field;
	uint64_t length;
};

static void on_ready(struct ba_watch *w, unsigned int bits);
static void on_timer(struct ba_timer *t, ba_time now);
static void *on_target(void *cls, const char *target,
		       struct MHD_Connection *conn);
static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **state);
static void on_completed(void *cls, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode why);
static int check_head(struct http_call *hc);
static enum MHD_Result on_field(void *cls, enum MHD_ValueKind kind,
				const char *name, const char *value);
static bool parse_length(const char *text, uint64_t *out);
static enum MHD_Result append_body(struct http_call *hc, const char *data,
				   size_t len);
static void on_answer_changed(struct da_call *c);
static bool is_disconnected(struct da_call *c);
static int socket_of(const struct http_call *hc);
static enum MHD_Result queue_answer(struct http_call *hc);
static enum MHD_Result queue_error(struct http_call *hc);
static enum MHD_Result queue_body(struct http_call *hc);
static ssize_t on_read(void *cls, uint64_t pos, char *buf, size_t max);
static void add_homes(struct MHD_Response *res, const struct da_call *c);
static void add_result(struct MHD_Response *res, const struct da_call *c);

static const struct da_frontend frontend = {.answer_changed = on_answer_changed,
					    .is_disconnected = is_disconnected};

struct da_http *da_http_new(struct da_worker *w, int listen_fd)
{
	struct da_http *h = g_new0(struct da_http, 1);
	int fd = fcntl(listen_fd, F_DUPFD_CLOEXEC, 0);

	h->w = w;
	h->timer.fire = on_timer;
	h->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		on_request, h, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_URI_LOG_CALLBACK, on_target, h,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, h,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_LIMIT,
		MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)CALLER_IDLE_SECONDS,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CL_HEADER_LIMIT_BYTES, MHD_OPTION_STRICT_FOR_CLIENT, 1,
		MHD_OPTION_END);
	if (!h->daemon) {
		close(fd);
		g_free(h);
		return NULL;
	}
	h->watch.fd = MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_EPOLL_FD)
			      ->epoll_fd;
	h->watch.ready = on_ready;
	ba_loop_watch(w->loop, &h->watch, BA_READABLE);
	return h;
}

void da_http_run(struct da_http *h)
{
	MHD_UNSIGNED_LONG_LONG ms;

	MHD_run(h->daemon);
	if (MHD_get_timeout(h->daemon, &ms) == MHD_YES)
		ba_loop_arm(h->w->loop, &h->timer,
			    ms ? ba_clock_now() + (ba_time)ms * BA_MS : 0);
	else
		ba_loop_disarm(h->w->loop, &h->timer);
}

void da_http_free(struct da_http *h)
{
	if (!h)
		return;
	ba_loop_unwatch(h->w->loop, &h->watch);
	ba_loop_disarm(h->w->loop, &h->timer);
	MHD_stop_daemon(h->daemon);
	g_free(h);
}

static void on_ready(struct ba_watch *w, unsigned int bits)
{
	(void)bits;
	da_http_run(ba_entry(w, struct da_http, watch));
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	(void)now;
	da_http_run(ba_entry(t, struct da_http, timer));
}

static void *on_target(void *cls, const char *target,
		       struct MHD_Connection *conn)
{
	struct da_http *h = cls;
	struct http_call *hc = g_new0(struct http_call, 1);

	hc->conn = conn;
	hc->call.target = g_strdup(target);
	da_call_init(&hc->call, h->w, &frontend);
	return hc;
}

/* libmicrohttpd calls this for the head, each part of the body and its end. */
static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **state)
{
	struct http_call *hc = *state;
	size_t n = *len;
	int code;

	(void)cls;
	(void)url;
	(void)version;
	if (!hc->call.method) {
		hc->call.method = g_strdup(method);
		code = check_head(hc);
		if (code)
			da_call_fail(&hc->call, code);
		return code ? queue_answer(hc) : MHD_YES;
	}
	if (n) {
		*len = 0;
		return append_body(hc, data, n);
	}
	if (hc->request_complete)
		return queue_answer(hc);
	hc->request_complete = true;
	hc->suspended = true;
	MHD_suspend_connection(conn);
	if (hc->too_large)
		da_call_fail(&hc->call, CL_REQUEST_TOO_LARGE);
	else
		da_call_begin(&hc->call);
	return MHD_YES;
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode why)
{
	struct http_call *hc = *state;

	(void)cls;
	(void)conn;
	*state = NULL;
	if (!hc)
		return;
	hc->conn = NULL;
	if (why != MHD_REQUEST_TERMINATED_COMPLETED_OK && !hc->call.result)
		hc->call.result = CL_CANCELLED;
	da_call_detach(&hc->call);
}

/*
 * Refuses requests whose end or host is ambiguous.  If the end is, another
 * server could read the same bytes as two requests (request smuggling).
 */
static int check_head(struct http_call *hc)
{
	struct head_scan s = {.call = hc};

	MHD_get_connection_values(hc->conn, MHD_HEADER_KIND, on_field, &s);
	if (s.n_lengths + s.n_codings > 1 || s.bad_length || s.n_hosts > 1)
		return CL_REQUEST_MALFORMED;
	if (s.bad_field ||
	    !ht_is_token(hc->call.method, strlen(hc->call.method)))
		return CL_REQUEST_MALFORMED;
	if (*hc->call.target != '/')
		return CL_REQUEST_MALFORMED;
	if (s.length > CL_BODY_LIMIT_BYTES)
		return CL_REQUEST_TOO_LARGE;
	return BA_OK;
}

static enum MHD_Result on_field(void *cls, enum MHD_ValueKind kind,
				const char *name, const char *value)
{
	struct head_scan *s = cls;

	(void)kind;
	if (!value)
		value = "";
	s->bad_field |= !ht_field_is_proper(name, value);
	if (!strcasecmp(name, "Content-Length")) {
		s->n_lengths++;
		if (!parse_length(value, &s->length))
			s->bad_length = true;
	} else if (!strcasecmp(name, "Transfer-Encoding")) {
		s->n_codings++;
		if (strcasecmp(value, "chunked"))
			s->bad_length = true;
	} else if (!strcasecmp(name, "Host")) {
		s->n_hosts++;
	}
	da_headers_add(&s->call->call.headers, name, value);
	return MHD_YES;
}

static bool parse_length(const char *text, uint64_t *out)
{
	size_t digits = strspn(text, "0123456789");

	if (!digits || digits > MAX_LENGTH_DIGITS || text[digits])
		return false;
	*out = g_ascii_strtoull(text, NULL, 10);
	return true;
}

/*
 * The rest of a body that is too large is read and discarded, up to
 * MAX_DISCARDED_BYTES, so that the caller can be answered.
 */
static enum MHD_Result append_body(struct http_call *hc, const char *data,
				   size_t len)
{
	struct ba_buf *body = &hc->call.body;

	if (hc->too_large) {
		body->len += len;
		return body->len > MAX_DISCARDED_BYTES ? MHD_NO : MHD_YES;
	}
	if (body->len + len > CL_BODY_LIMIT_BYTES) {
		ba_buf_free(body);
		hc->too_large = true;
		return MHD_YES;
	}
	ba_buf_add(body, data, len);
	return MHD_YES;
}

static void on_answer_changed(struct da_call *c)
{
	struct http_call *hc = (struct http_call *)c;

	if (!hc->suspended || !(da_call_is_finished(c) || c->answer.status))
		return;
	hc->suspended = false;
	MHD_resume_connection(hc->conn);
}

/* Also closes the connection of a request that takes too long to arrive. */
static bool is_disconnected(struct da_call *c)
{
	struct http_call *hc = (struct http_call *)c;
	char byte;
	ssize_t n;

	if (!hc->request_complete) {
		if (ba_clock_now() - c->arrived > REQUEST_TIMEOUT)
			shutdown(socket_of(hc), SHUT_RDWR);
		return false;
	}
	if (!hc->suspended || c->head_sent)
		return false;
	n = recv(socket_of(hc), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return !n || (n < 0 && errno != EAGAIN && errno != EINTR);
}

static int socket_of(const struct http_call *hc)
{
	return MHD_get_connection_info(hc->conn,
				       MHD_CONNECTION_INFO_CONNECTION_FD)
		->connect_fd;
}

static enum MHD_Result queue_answer(struct http_call *hc)
{
	hc->call.head_sent = true;
	return hc->call.result ? queue_error(hc) : queue_body(hc);
}

static enum MHD_Result queue_error(struct http_call *hc)
{
	struct da_call *c = &hc->call;
	int status = ba_result_info(c->result)->http_status;
	struct ba_buf json = {0};
	struct MHD_Response *res;
	enum MHD_Result ret;

	da_call_add_error_json(c->result, &json);
	res = MHD_create_response_from_buffer(json.len, json.data,
					      MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(res, "Content-Type", "application/json");
	if (status == STATUS_SERVICE_UNAVAILABLE ||
	    c->result == CL_KEY_IN_PROGRESS)
		MHD_add_response_header(res, "Retry-After",
					RETRY_AFTER_SECONDS);
	/* What follows on the connection may be a part of this request. */
	if (c->result == CL_REQUEST_MALFORMED)
		MHD_add_response_header(res, "Connection", "close");
	add_homes(res, c);
	add_result(res, c);
	ret = MHD_queue_response(hc->conn, status ? (unsigned int)status : 500,
				 res);
	MHD_destroy_response(res);
	ba_buf_free(&json);
	return ret;
}

static enum MHD_Result queue_body(struct http_call *hc)
{
	struct da_answer *a = &hc->call.answer;
	uint64_t size = a->length < 0 ? MHD_SIZE_UNKNOWN : (uint64_t)a->length;
	struct MHD_Response *res;
	enum MHD_Result ret;

	if (a->complete && strcmp(hc->call.method, "HEAD"))
		res = MHD_create_response_from_buffer(a->data.len, a->data.data,
						      MHD_RESPMEM_PERSISTENT);
	else
		res = MHD_create_response_from_callback(
			size, STREAM_BLOCK_BYTES, on_read, hc, NULL);
	for (size_t i = 0; i < a->headers.n; i++)
		MHD_add_response_header(res, a->headers.list[i].name,
					a->headers.list[i].value);
	add_result(res, &hc->call);
	ret = MHD_queue_response(hc->conn, (unsigned int)a->status, res);
	MHD_destroy_response(res);
	return ret;
}

/*
 * Lists the data centres that accept new keys, with each error of a call that
 * needs a key: its own key may have no owner.
 */
static void add_homes(struct MHD_Response *res, const struct da_call *c)
{
	struct da_shared *shared = c->w->shared;
	struct ba_buf homes = {0};

	if (!c->service || c->idempotent)
		return;
	pthread_mutex_lock(&shared->lock);
	cl_owners_list_homes(shared->owners, c->service, &homes);
	pthread_mutex_unlock(&shared->lock);
	if (homes.len)
		MHD_add_response_header(res, CL_HEADER_HOMES,
					ba_buf_text(&homes));
	ba_buf_free(&homes);
}

static ssize_t on_read(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct http_call *hc = cls;
	struct da_answer *a = &hc->call.answer;
	size_t n = a->data.len - a->sent;

	(void)pos;
	if (!n && a->broken)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (!n && a->complete)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (!n) {
		hc->suspended = true;
		MHD_suspend_connection(hc->conn);
		return 0;
	}
	if (n > max)
		n = max;
	memcpy(buf, a->data.data + a->sent, n);
	a->sent += n;
	da_call_consumed(&hc->call, n);
	return (ssize_t)n;
}

/*
 * The connection is closed after a request whose end is in doubt: what follows
 * must not be read as a request.
 */
static void add_result(struct MHD_Response *res, const struct da_call *c)
{
	char text[RESULT_BYTES];

	snprintf(text, sizeof(text), "%d %s", c->result,
		 cl_outcome_name(cl_outcome_of(c->result)));
	MHD_add_response_header(res, CL_HEADER_RESULT, text);
	if (c->w->shared->draining || c->result == CL_REQUEST_MALFORMED ||
	    c->result == CL_REQUEST_TOO_LARGE)
		MHD_add_response_header(res, "Connection", "close");
}
