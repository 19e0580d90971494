/*
 * Stand-in for a backend server: slots, a connection limit, a cold start,
 * load reports that may lag or be wrong, a health probe, load shedding,
 * cancellation, deadlines and a graceful stop.  It counts the runs of each
 * Idempotency-Key, or of each request id if there is no key, and serves the
 * counts at /_counts.
 */
#include <inttypes.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/ba_list.h"
#include "base/ba_loop.h"
#include "base/ba_rand.h"
#include "base/ba_result.h"
#include "bench/bn.h"

enum {
	SPARE_CONNECTIONS = 16, /* for probes and counts */
	COLD_START_FACTOR = 4,
	BODY_LIMIT = 1 << 20, /* bytes */
	DOWNLOAD_CHUNK_BYTES = 32 * 1024,
	LOAD_SAMPLES = 64,
};

enum fault {
	FAULT_NONE,
	FAULT_WRONG_ID, /* answers with the id of the previous request */
	FAULT_SHORT,	/* truncates answers, without their checksum */
	FAULT_TWICE,	/* counts every call as run twice */
	N_FAULTS,
};

static const char *const fault_names[N_FAULTS] = {
	[FAULT_NONE] = "none",
	[FAULT_WRONG_ID] = "wrong-id",
	[FAULT_SHORT] = "short",
	[FAULT_TWICE] = "twice",
};

enum call_state { CALL_RECEIVING, CALL_RUNNING, CALL_DONE, CALL_CANCELLED };

/* Number of running calls at the time @at, for load reports that lag. */
struct load_sample {
	ba_time at;
	int in_flight;
};

struct server {
	struct ba_loop *loop;
	struct MHD_Daemon *mhd;
	struct ba_watch watch;
	struct ba_timer mhd_timer;
	GHashTable *runs; /* number of runs, by key or id */
	struct ba_rand rand;
	char *service;
	char *previous_id;
	enum fault fault;
	int slots;
	int connections;
	int in_flight; /* calls that hold a slot */
	int n_calls;   /* all, until their answer is sent */
	int answer_bytes;
	gint64 download_bytes;
	ba_time service_time;
	ba_time probe_time;
	ba_time load_lag;
	double load_factor; /* of the reported load to the actual one */
	ba_time cold_start_end;
	struct load_sample samples[LOAD_SAMPLES]; /* a ring */
	unsigned int n_samples;			  /* recorded since the start */
	bool draining;
	uint64_t shed;
	uint64_t cancelled;
	uint64_t expired;   /* calls that arrived after their deadline */
	uint64_t team_keys; /* calls that showed the key of a team */
};

struct call {
	struct server *server;
	struct MHD_Connection *conn;
	struct ba_timer timer;
	struct ba_watch watch;
	enum call_state state;
	int status;
	bool holds_slot;
	bool is_probe;
	char *id;
	size_t body_bytes;
};

struct download {
	char *path;
	uint64_t offset;
};

static void read_options(struct server *s, int argc, char **argv,
			 struct ba_address *address);
static enum MHD_Result on_request(void *arg, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *size, void **ctx);
static enum MHD_Result begin_call(struct server *s, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  struct call *c);
static void run_call(struct call *c, ba_time time);
static void count_run(struct server *s, const char *key);
static enum MHD_Result send_answer(struct call *c, const char *url,
				   const char *method);
static enum MHD_Result send_text(struct MHD_Connection *conn, int status,
				 struct ba_buf *text, const char *load,
				 const char *id);
static enum MHD_Result send_download(struct call *c, const char *url,
				     const char *load);
static enum MHD_Result send_counts(struct server *s,
				   struct MHD_Connection *conn);
static bool parse_range(struct MHD_Connection *conn, const char *etag,
			uint64_t size, uint64_t *offset);
static ssize_t fill_download(void *arg, uint64_t pos, char *out, size_t max);
static void free_download(void *arg);
static void write_load(struct server *s, char out[16]);
static int reported_load(const struct server *s);
static void record_load(struct server *s);
static void on_call_timer(struct ba_timer *t, ba_time now);
static void on_call_readable(struct ba_watch *w, unsigned int bits);
static void finish_call(struct call *c, enum call_state state);
static void on_completed(void *arg, struct MHD_Connection *conn, void **ctx,
			 enum MHD_RequestTerminationCode code);
static void run_mhd(struct server *s);
static void on_mhd_ready(struct ba_watch *w, unsigned int bits);
static void on_mhd_timer(struct ba_timer *t, ba_time now);
static void on_signal(int signo, void *arg);
static void stop_when_idle(struct server *s);

int main(int argc, char **argv)
{
	struct server s = {0};
	struct ba_address address;
	const union MHD_DaemonInfo *info;

	read_options(&s, argc, argv, &address);
	s.loop = ba_loop_new();
	s.runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ba_loop_signals(s.loop, on_signal, &s);
	s.mhd = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		on_request, &s, MHD_OPTION_SOCK_ADDR, &address.sockaddr,
		MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)(s.connections + SPARE_CONNECTIONS),
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, &s, MHD_OPTION_END);
	if (!s.mhd) {
		fprintf(stderr, "%s: %s\n", address.text,
			ba_result_info(BA_PORT_IN_USE)->text);
		return ba_result_info(BA_PORT_IN_USE)->exit_code;
	}
	info = MHD_get_daemon_info(s.mhd, MHD_DAEMON_INFO_EPOLL_FD);
	s.watch.fd = info->epoll_fd;
	s.watch.ready = on_mhd_ready;
	s.mhd_timer.fire = on_mhd_timer;
	ba_loop_watch(s.loop, &s.watch, BA_READABLE);
	ba_loop_run(s.loop);
	MHD_stop_daemon(s.mhd);
	g_hash_table_destroy(s.runs);
	ba_loop_free(s.loop);
	g_free(s.service);
	g_free(s.previous_id);
	return 0;
}

static void read_options(struct server *s, int argc, char **argv,
			 struct ba_address *address)
{
	char *at = NULL;
	char *service_time = NULL;
	char *probe_time = NULL;
	char *load_lag = NULL;
	char *cold_start = NULL;
	char *fault = NULL;
	const GOptionEntry entries[] = {
		{"address", 0, 0, G_OPTION_ARG_STRING, &at, "Where to listen",
		 "IP:PORT"},
		{"service", 0, 0, G_OPTION_ARG_STRING, &s->service,
		 "Service that is served", "NAME"},
		{"slots", 0, 0, G_OPTION_ARG_INT, &s->slots,
		 "Calls that run at once", "N"},
		{"connections", 0, 0, G_OPTION_ARG_INT, &s->connections,
		 "Connections that are accepted", "N"},
		{"service-time", 0, 0, G_OPTION_ARG_STRING, &service_time,
		 "Mean time a call runs", "TIME"},
		{"probe-time", 0, 0, G_OPTION_ARG_STRING, &probe_time,
		 "Time a probe of /health takes", "TIME"},
		{"cold-start", 0, 0, G_OPTION_ARG_STRING, &cold_start,
		 "Time after the start during which calls run slowly", "TIME"},
		{"load-lag", 0, 0, G_OPTION_ARG_STRING, &load_lag,
		 "Age of the load that is reported", "TIME"},
		{"load-lie", 0, 0, G_OPTION_ARG_DOUBLE, &s->load_factor,
		 "Factor on the load that is reported", "FACTOR"},
		{"answer-bytes", 0, 0, G_OPTION_ARG_INT, &s->answer_bytes,
		 "Padding of answers", "BYTES"},
		{"download-bytes", 0, 0, G_OPTION_ARG_INT64, &s->download_bytes,
		 "Size of the downloads; GET is a download then", "BYTES"},
		{"break", 0, 0, G_OPTION_ARG_STRING, &fault,
		 "Fault to inject: wrong-id, short or twice", "FAULT"},
		G_OPTION_ENTRY_NULL,
	};

	s->slots = 12;
	s->connections = 120;
	s->load_factor = 1.0;
	bn_parse_options(&argc, &argv, entries);
	*address = bn_parse_address("address", at);
	s->service_time = bn_parse_duration("service-time", service_time);
	s->probe_time = bn_parse_duration("probe-time", probe_time);
	s->load_lag = bn_parse_duration("load-lag", load_lag);
	s->cold_start_end =
		ba_clock_now() + bn_parse_duration("cold-start", cold_start);
	if (!s->service)
		s->service = g_strdup("service");
	for (int i = 0; fault && i < N_FAULTS; i++)
		if (!strcmp(fault, fault_names[i]))
			s->fault = (enum fault)i;
	s->rand.state = g_str_hash(at);
	g_free(at);
	g_free(service_time);
	g_free(probe_time);
	g_free(load_lag);
	g_free(cold_start);
	g_free(fault);
}

/* Called for the header, each part of the body, its end and after a resume. */
static enum MHD_Result on_request(void *arg, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *size, void **ctx)
{
	struct server *s = arg;
	struct call *c = *ctx;

	(void)version;
	(void)data;
	if (!c) {
		c = g_new0(struct call, 1);
		c->server = s;
		c->conn = conn;
		c->timer.fire = on_call_timer;
		c->watch.ready = on_call_readable;
		*ctx = c;
		s->n_calls++;
		return MHD_YES;
	}
	if (*size) {
		c->body_bytes += *size;
		*size = 0;
		return c->body_bytes > BODY_LIMIT ? MHD_NO : MHD_YES;
	}
	switch (c->state) {
	case CALL_RECEIVING:
		return begin_call(s, conn, url, method, c);
	case CALL_DONE:
		return send_answer(c, url, method);
	default:
		return MHD_NO;
	}
}

static enum MHD_Result begin_call(struct server *s, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  struct call *c)
{
	const char *id =
		MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "id");
	const char *key = MHD_lookup_connection_value(conn, MHD_HEADER_KIND,
						      BN_KEY_HEADER);
	const char *left = MHD_lookup_connection_value(conn, MHD_HEADER_KIND,
						       BN_TIME_LEFT_HEADER);

	if (!strcmp(url, "/_counts"))
		return send_counts(s, conn);
	s->team_keys += MHD_lookup_connection_value(conn, MHD_HEADER_KIND,
						    "Authorization") != NULL;
	c->id = g_strdup(id ? id : "");
	c->status = MHD_HTTP_OK;
	if (!strcmp(url, "/health")) {
		c->is_probe = true;
		run_call(c, s->probe_time);
	} else if (left && atol(left) <= 0) {
		s->expired++;
		c->status = MHD_HTTP_GATEWAY_TIMEOUT;
		c->state = CALL_DONE;
	} else if (s->draining || s->in_flight >= s->slots) {
		s->shed++;
		c->status = MHD_HTTP_SERVICE_UNAVAILABLE;
		c->state = CALL_DONE;
	} else {
		ba_time time = s->service_time;

		/* Uniform between 0.5 and 1.5 times the mean. */
		if (time)
			time = time / 2 +
			       (ba_time)ba_rand_below(&s->rand, (uint64_t)time);
		if (ba_clock_now() < s->cold_start_end)
			time *= COLD_START_FACTOR;
		count_run(s, key ? key : c->id);
		c->holds_slot = true;
		s->in_flight++;
		record_load(s);
		run_call(c, time);
	}
	return c->state == CALL_DONE ? send_answer(c, url, method) : MHD_YES;
}

static void run_call(struct call *c, ba_time time)
{
	const union MHD_ConnectionInfo *info;

	if (!time) {
		finish_call(c, CALL_DONE);
		return;
	}
	c->state = CALL_RUNNING;
	info = MHD_get_connection_info(c->conn,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	c->watch.fd = info->connect_fd;
	MHD_suspend_connection(c->conn);
	ba_loop_watch(c->server->loop, &c->watch, BA_READABLE);
	ba_loop_arm(c->server->loop, &c->timer, ba_clock_now() + time);
}

static void count_run(struct server *s, const char *key)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(s->runs, key));

	n += s->fault == FAULT_TWICE ? 2 : 1;
	g_hash_table_replace(s->runs, g_strdup(key), GINT_TO_POINTER(n));
}

static enum MHD_Result send_answer(struct call *c, const char *url,
				   const char *method)
{
	struct server *s = c->server;
	struct ba_buf text = {0};
	char *answer_id = g_strdup(c->id);
	enum MHD_Result ret;
	char load[16];

	write_load(s, load);
	if (c->status == MHD_HTTP_OK && !c->is_probe && s->download_bytes &&
	    !strcmp(method, "GET")) {
		g_free(answer_id);
		return send_download(c, url, load);
	}
	if (c->status == MHD_HTTP_OK && !c->is_probe) {
		if (s->fault == FAULT_WRONG_ID && s->previous_id) {
			g_free(answer_id);
			answer_id = g_strdup(s->previous_id);
		}
		bn_answer_write(&text, s->service, answer_id,
				(size_t)s->answer_bytes);
		if (s->fault == FAULT_SHORT)
			text.len /= 2;
		g_free(s->previous_id);
		s->previous_id = g_strdup(c->id);
	} else if (c->is_probe) {
		if (s->draining)
			c->status = MHD_HTTP_SERVICE_UNAVAILABLE;
		ba_buf_addf(&text, "{\"draining\":%s,\"load\":\"%s\"}\n",
			    s->draining ? "true" : "false", load);
	}
	ret = send_text(c->conn, c->status, &text, load, answer_id);
	g_free(answer_id);
	return ret;
}

static enum MHD_Result send_text(struct MHD_Connection *conn, int status,
				 struct ba_buf *text, const char *load,
				 const char *id)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
		text->len, text->data, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result ret;

	MHD_add_response_header(r, BN_LOAD_HEADER, load);
	if (*id)
		MHD_add_response_header(r, BN_ID_HEADER, id);
	if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
		MHD_add_response_header(r, "Retry-After", "1");
	ret = MHD_queue_response(conn, (unsigned int)status, r);
	MHD_destroy_response(r);
	ba_buf_free(text);
	return ret;
}

static enum MHD_Result send_download(struct call *c, const char *url,
				     const char *load)
{
	uint64_t size = (uint64_t)c->server->download_bytes;
	struct download *d = g_new0(struct download, 1);
	struct MHD_Response *r;
	unsigned int status = MHD_HTTP_OK;
	enum MHD_Result ret;
	char range[80];
	char etag[BN_ETAG_BYTES];

	d->path = g_strdup(url);
	bn_download_etag(url, size, etag);
	if (parse_range(c->conn, etag, size, &d->offset))
		status = MHD_HTTP_PARTIAL_CONTENT;
	r = MHD_create_response_from_callback(size - d->offset,
					      DOWNLOAD_CHUNK_BYTES,
					      fill_download, d, free_download);
	if (status == MHD_HTTP_PARTIAL_CONTENT) {
		snprintf(range, sizeof(range),
			 "bytes %" PRIu64 "-%" PRIu64 "/%" PRIu64, d->offset,
			 size - 1, size);
		MHD_add_response_header(r, "Content-Range", range);
	}
	MHD_add_response_header(r, "ETag", etag);
	MHD_add_response_header(r, "Accept-Ranges", "bytes");
	MHD_add_response_header(r, BN_LOAD_HEADER, load);
	ret = MHD_queue_response(c->conn, status, r);
	MHD_destroy_response(r);
	return ret;
}

static enum MHD_Result send_counts(struct server *s,
				   struct MHD_Connection *conn)
{
	struct ba_buf text = {0};
	GHashTableIter it;
	const char *comma = "";
	void *key;
	void *n;

	ba_buf_addf(&text,
		    "{\"service\":\"%s\",\"shed\":%" PRIu64
		    ",\"cancelled\":%" PRIu64 ",\"late\":%" PRIu64
		    ",\"team_keys\":%" PRIu64 ",\"runs\":{",
		    s->service, s->shed, s->cancelled, s->expired,
		    s->team_keys);
	g_hash_table_iter_init(&it, s->runs);
	while (g_hash_table_iter_next(&it, &key, &n)) {
		ba_buf_addf(&text, "%s\"%s\":%d", comma, (char *)key,
			    GPOINTER_TO_INT(n));
		comma = ",";
	}
	ba_buf_addf(&text, "}}\n");
	return send_text(conn, MHD_HTTP_OK, &text, "0/0", "");
}

/* Only "bytes=N-" is supported; other ranges get the whole download. */
static bool parse_range(struct MHD_Connection *conn, const char *etag,
			uint64_t size, uint64_t *offset)
{
	const char *range =
		MHD_lookup_connection_value(conn, MHD_HEADER_KIND, "Range");
	const char *match =
		MHD_lookup_connection_value(conn, MHD_HEADER_KIND, "If-Range");
	char *end;

	if (!range || strncmp(range, "bytes=", 6) != 0)
		return false;
	if (match && strcmp(match, etag) != 0)
		return false;
	*offset = strtoull(range + 6, &end, 10);
	if (*end != '-' || end[1] || *offset >= size) {
		*offset = 0;
		return false;
	}
	return true;
}

static ssize_t fill_download(void *arg, uint64_t pos, char *out, size_t max)
{
	const struct download *d = arg;

	bn_download_fill(d->path, d->offset + pos, (uint8_t *)out, max);
	return (ssize_t)max;
}

static void free_download(void *arg)
{
	struct download *d = arg;

	g_free(d->path);
	g_free(d);
}

static void write_load(struct server *s, char out[16])
{
	int load = (int)(reported_load(s) * s->load_factor);

	snprintf(out, 16, "%d/%d", load, s->slots);
}

static int reported_load(const struct server *s)
{
	ba_time at = ba_clock_now() - s->load_lag;
	unsigned int oldest =
		s->n_samples > LOAD_SAMPLES ? s->n_samples - LOAD_SAMPLES : 0;

	if (!s->load_lag)
		return s->in_flight;
	for (unsigned int i = s->n_samples; i > oldest; i--)
		if (s->samples[(i - 1) % LOAD_SAMPLES].at <= at)
			return s->samples[(i - 1) % LOAD_SAMPLES].in_flight;
	return 0;
}

static void record_load(struct server *s)
{
	struct load_sample *last =
		&s->samples[(s->n_samples + LOAD_SAMPLES - 1) % LOAD_SAMPLES];
	ba_time now = ba_clock_now();

	/* Limit the rate of samples, so that the ring covers the lag. */
	if (s->n_samples && now - last->at < s->load_lag / (LOAD_SAMPLES / 2)) {
		last->in_flight = s->in_flight;
		return;
	}
	s->samples[s->n_samples++ % LOAD_SAMPLES] =
		(struct load_sample){now, s->in_flight};
}

static void on_call_timer(struct ba_timer *t, ba_time now)
{
	struct call *c = ba_entry(t, struct call, timer);

	(void)now;
	finish_call(c, CALL_DONE);
	run_mhd(c->server);
}

/*
 * The caller sends nothing while its call runs: end of file or an error means
 * that it has disconnected, which cancels the call.
 */
static void on_call_readable(struct ba_watch *w, unsigned int bits)
{
	struct call *c = ba_entry(w, struct call, watch);
	char byte;

	(void)bits;
	if (recv(w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) {
		ba_loop_unwatch(c->server->loop, w);
		return;
	}
	c->server->cancelled++;
	finish_call(c, CALL_CANCELLED);
	run_mhd(c->server);
}

static void finish_call(struct call *c, enum call_state state)
{
	bool suspended = c->state == CALL_RUNNING;

	if (c->holds_slot) {
		c->server->in_flight--;
		record_load(c->server);
	}
	c->holds_slot = false;
	c->state = state;
	if (!suspended)
		return;
	ba_loop_disarm(c->server->loop, &c->timer);
	ba_loop_unwatch(c->server->loop, &c->watch);
	MHD_resume_connection(c->conn);
}

static void on_completed(void *arg, struct MHD_Connection *conn, void **ctx,
			 enum MHD_RequestTerminationCode code)
{
	struct server *s = arg;
	struct call *c = *ctx;

	(void)conn;
	(void)code;
	if (!c)
		return;
	s->n_calls--;
	if (c->holds_slot)
		c->server->in_flight--;
	ba_loop_disarm(c->server->loop, &c->timer);
	g_free(c->id);
	g_free(c);
	*ctx = NULL;
}

static void run_mhd(struct server *s)
{
	MHD_UNSIGNED_LONG_LONG left;

	MHD_run(s->mhd);
	if (MHD_get_timeout(s->mhd, &left) == MHD_YES)
		ba_loop_arm(s->loop, &s->mhd_timer,
			    ba_clock_now() + (ba_time)left * BA_MS);
	stop_when_idle(s);
}

static void on_mhd_ready(struct ba_watch *w, unsigned int bits)
{
	(void)bits;
	run_mhd(ba_entry(w, struct server, watch));
}

static void on_mhd_timer(struct ba_timer *t, ba_time now)
{
	(void)now;
	run_mhd(ba_entry(t, struct server, mhd_timer));
}

static void on_signal(int signo, void *arg)
{
	struct server *s = arg;

	(void)signo;
	s->draining = true;
	stop_when_idle(s);
}

static void stop_when_idle(struct server *s)
{
	if (s->draining && !s->n_calls)
		ba_loop_stop(s->loop);
}
