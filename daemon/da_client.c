#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>

#include "base/ba_loop.h"
#include "daemon/da_client.h"

/*
 * A connection that was idle for MAX_IDLE_SECONDS is not reused.
 * MAX_IDLE_HANDLES is the greatest length of da_client.idle.
 */
enum {
	CONNECT_TIMEOUT_MS = 300,
	MAX_IDLE_SECONDS = 20,
	MAX_IDLE_HANDLES = 64,
	MAX_CACHED_CONNECTIONS = 1024,
	URL_BYTES = 64,
	FIRST_FINAL_STATUS = 200,
};

/*
 * A socket of libcurl.  @in_use: libcurl waits for events of the socket;
 * @watched_events: the events that the loop watches, which may be more.
 */
struct socket_watch {
	struct ba_watch watch;
	struct da_client *client;
	unsigned int watched_events;
	bool in_use;
};

/*
 * @watches is indexed by file descriptor.  An idle connection stays watched
 * between transfers, which saves two system calls for each call.
 *
 * @idle holds transfers whose curl handle can be reused.
 */
struct da_client {
	struct ba_loop *loop;
	CURLM *multi;
	struct socket_watch **watches;
	size_t n_watches;
	struct ba_timer timer;
	struct ba_list idle;
	unsigned int n_idle;
};

struct transfer {
	struct da_fetch fetch;
	struct ba_list link;
	struct da_client *client;
	CURL *easy;
	struct curl_slist *headers;
	int status;
	int64_t length;
	unsigned int n_sends;
	bool may_resend;
	bool head_complete;
	bool paused;
};

static void consumed(struct da_fetch *fetch, size_t bytes);
static void cancel(struct da_fetch *fetch);
static int on_socket(CURL *easy, curl_socket_t fd, int what, void *user,
		     void *socket_user);
static struct socket_watch *watch_get(struct da_client *c, curl_socket_t fd);
static void unwatch(struct socket_watch *s);
static int on_close(void *user, curl_socket_t fd);
static int set_timer(CURLM *multi, long ms, void *user);
static void on_timer(struct ba_timer *t, ba_time now);
static void on_ready(struct ba_watch *w, unsigned int bits);
static void run_socket_action(struct da_client *c, curl_socket_t fd, int bits);
static void finish(struct transfer *f, CURLcode code);
static enum cl_attempt_result attempt_result_of(CURLcode code, bool written);
static struct transfer *transfer_get(struct da_client *c);
static void transfer_release(struct transfer *f);
static void set_fixed_options(CURL *easy);
static void set_request(struct transfer *f, const char *address,
			const struct da_request *q);
static void set_headers(struct transfer *f, const struct da_request *q);
static size_t on_header(char *data, size_t size, size_t n, void *user);
static void parse_status_line(struct transfer *f, const char *line, size_t len);
static void parse_field(struct transfer *f, const char *line, size_t len);
static size_t on_data(char *data, size_t size, size_t n, void *user);
static int on_sending(void *user, char *to, char *from, int to_port,
		      int from_port);

static const struct da_fetch_ops transfer_ops = {
	.consumed = consumed,
	.cancel = cancel,
};

struct da_client *da_client_new(struct ba_loop *loop, long connections)
{
	struct da_client *c = g_new0(struct da_client, 1);

	c->loop = loop;
	c->timer.fire = on_timer;
	ba_list_init(&c->idle);
	c->multi = curl_multi_init();
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_MAXCONNECTS,
			  (long)MAX_CACHED_CONNECTIONS);
	curl_multi_setopt(c->multi, CURLMOPT_MAX_HOST_CONNECTIONS, connections);
	return c;
}

void da_client_free(struct da_client *c)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	if (!c)
		return;
	ba_list_each_safe(pos, tmp, &c->idle)
	{
		struct transfer *f = ba_entry(pos, struct transfer, link);

		curl_easy_cleanup(f->easy);
		g_free(f);
	}
	curl_multi_cleanup(c->multi);
	ba_loop_disarm(c->loop, &c->timer);
	for (size_t i = 0; i < c->n_watches; i++)
		g_free(c->watches[i]);
	g_free(c->watches);
	g_free(c);
}

struct da_fetch *da_client_fetch(struct da_client *c, const char *address,
				 const struct da_request *q,
				 struct da_fetch_owner *o)
{
	struct transfer *f = transfer_get(c);

	f->fetch.ops = &transfer_ops;
	f->fetch.owner = o;
	f->paused = false;
	f->status = 0;
	f->length = -1;
	f->n_sends = 0;
	f->head_complete = false;
	f->may_resend = q->idempotent;
	set_request(f, address, q);
	set_headers(f, q);
	curl_multi_add_handle(c->multi, f->easy);
	return &f->fetch;
}

static void consumed(struct da_fetch *fetch, size_t bytes)
{
	struct transfer *f = (struct transfer *)fetch;

	(void)bytes;
	if (!f->paused)
		return;
	f->paused = false;
	curl_easy_pause(f->easy, CURLPAUSE_CONT);
}

static void cancel(struct da_fetch *fetch)
{
	struct transfer *f = (struct transfer *)fetch;

	curl_multi_remove_handle(f->client->multi, f->easy);
	transfer_release(f);
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *user,
		     void *socket_user)
{
	struct da_client *c = user;
	struct socket_watch *s = watch_get(c, fd);
	unsigned int bits = 0;

	(void)easy;
	(void)socket_user;
	s->in_use = what != CURL_POLL_REMOVE;
	if (!s->in_use)
		return 0;
	if (what & CURL_POLL_IN)
		bits |= BA_READABLE;
	if (what & CURL_POLL_OUT)
		bits |= BA_WRITABLE;
	if (bits != s->watched_events)
		ba_loop_watch(c->loop, &s->watch, bits);
	s->watched_events = bits;
	return 0;
}

static struct socket_watch *watch_get(struct da_client *c, curl_socket_t fd)
{
	size_t i = (size_t)fd;

	if (i >= c->n_watches) {
		size_t n = MAX(2 * c->n_watches, i + 1);

		c->watches = g_renew(struct socket_watch *, c->watches, n);
		memset(c->watches + c->n_watches, 0,
		       (n - c->n_watches) * sizeof(*c->watches));
		c->n_watches = n;
	}
	if (!c->watches[i]) {
		c->watches[i] = g_new0(struct socket_watch, 1);
		c->watches[i]->watch.fd = fd;
		c->watches[i]->watch.ready = on_ready;
		c->watches[i]->client = c;
	}
	return c->watches[i];
}

static void unwatch(struct socket_watch *s)
{
	ba_loop_unwatch(s->client->loop, &s->watch);
	s->watched_events = 0;
}

static int on_close(void *user, curl_socket_t fd)
{
	struct da_client *c = user;

	if ((size_t)fd < c->n_watches && c->watches[fd]) {
		unwatch(c->watches[fd]);
		c->watches[fd]->in_use = false;
	}
	return close(fd);
}

static int set_timer(CURLM *multi, long ms, void *user)
{
	struct da_client *c = user;

	(void)multi;
	if (ms < 0)
		ba_loop_disarm(c->loop, &c->timer);
	else
		ba_loop_arm(c->loop, &c->timer,
			    ms ? ba_clock_now() + ms * BA_MS : 0);
	return 0;
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	(void)now;
	run_socket_action(ba_entry(t, struct da_client, timer),
			  CURL_SOCKET_TIMEOUT, 0);
}

static void on_ready(struct ba_watch *w, unsigned int bits)
{
	struct socket_watch *s = ba_entry(w, struct socket_watch, watch);
	int select = 0;

	if (!s->in_use) {
		unwatch(s);
		return;
	}
	if (bits & BA_READABLE)
		select |= CURL_CSELECT_IN;
	if (bits & BA_WRITABLE)
		select |= CURL_CSELECT_OUT;
	if (bits & BA_HANGUP)
		select |= CURL_CSELECT_ERR;
	run_socket_action(s->client, w->fd, select);
}

static void run_socket_action(struct da_client *c, curl_socket_t fd, int bits)
{
	int running;
	int left;
	const CURLMsg *m;

	curl_multi_socket_action(c->multi, fd, bits, &running);
	while ((m = curl_multi_info_read(c->multi, &left))) {
		struct transfer *f;
		CURLcode code = m->data.result;

		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &f);
		finish(f, code);
	}
}

static void finish(struct transfer *f, CURLcode code)
{
	struct da_fetch_owner *o = f->fetch.owner;
	struct da_fetch_end end;

	end.code = BA_OK;
	end.written = f->n_sends != 0;
	end.attempt_result = attempt_result_of(code, end.written);
	curl_multi_remove_handle(f->client->multi, f->easy);
	transfer_release(f);
	o->ended(o, &end);
}

static enum cl_attempt_result attempt_result_of(CURLcode code, bool written)
{
	if (code == CURLE_OK)
		return CL_ATTEMPT_ANSWERED;
	if (!written)
		return CL_ATTEMPT_UNREACHABLE;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return CL_ATTEMPT_TIMEOUT;
	return CL_ATTEMPT_BROKEN;
}

static struct transfer *transfer_get(struct da_client *c)
{
	struct transfer *f;

	if (!ba_list_empty(&c->idle)) {
		f = ba_entry(c->idle.next, struct transfer, link);
		ba_list_remove(&f->link);
		c->n_idle--;
		return f;
	}
	f = g_new0(struct transfer, 1);
	ba_list_init(&f->link);
	f->client = c;
	f->easy = curl_easy_init();
	curl_easy_setopt(f->easy, CURLOPT_PRIVATE, f);
	curl_easy_setopt(f->easy, CURLOPT_HEADERDATA, f);
	curl_easy_setopt(f->easy, CURLOPT_WRITEDATA, f);
	curl_easy_setopt(f->easy, CURLOPT_PREREQDATA, f);
	curl_easy_setopt(f->easy, CURLOPT_CLOSESOCKETDATA, c);
	set_fixed_options(f->easy);
	return f;
}

static void transfer_release(struct transfer *f)
{
	struct da_client *c = f->client;

	curl_slist_free_all(f->headers);
	f->headers = NULL;
	if (c->n_idle >= MAX_IDLE_HANDLES) {
		curl_easy_cleanup(f->easy);
		g_free(f);
		return;
	}
	ba_list_prepend(&c->idle, &f->link);
	c->n_idle++;
}

static void set_fixed_options(CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_sending);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, (long)MAX_IDLE_SECONDS);
}

static void set_request(struct transfer *f, const char *address,
			const struct da_request *q)
{
	char *url = g_strdup_printf("http://%s%s", address, q->target);
	ba_time left = q->deadline - ba_clock_now();
	bool head = !strcmp(q->method, "HEAD");

	curl_easy_setopt(f->easy, CURLOPT_URL, url);
	g_free(url);
	curl_easy_setopt(f->easy, CURLOPT_CUSTOMREQUEST, NULL);
	curl_easy_setopt(f->easy, CURLOPT_NOBODY, 0L);
	if (head) {
		curl_easy_setopt(f->easy, CURLOPT_NOBODY, 1L);
	} else if (!q->body_len && !strcmp(q->method, "GET")) {
		curl_easy_setopt(f->easy, CURLOPT_HTTPGET, 1L);
	} else {
		curl_easy_setopt(f->easy, CURLOPT_POST, 1L);
		curl_easy_setopt(f->easy, CURLOPT_POSTFIELDS,
				 q->body_len ? q->body : "");
		curl_easy_setopt(f->easy, CURLOPT_POSTFIELDSIZE,
				 (long)q->body_len);
		curl_easy_setopt(f->easy, CURLOPT_CUSTOMREQUEST, q->method);
	}
	curl_easy_setopt(f->easy, CURLOPT_TIMEOUT_MS,
			 left > BA_MS ? (long)(left / BA_MS) : 1L);
}

/*
 * An entry "Name:" without a value keeps libcurl from adding that field, and
 * "Name;" has it sent with an empty value.
 */
static void set_headers(struct transfer *f, const struct da_request *q)
{
	static const char *const unwanted[] = {"Accept", "Content-Type",
					       "User-Agent"};
	char line[CL_HEADER_LIMIT_BYTES];

	f->headers = curl_slist_append(NULL, "Expect:");
	for (size_t i = 0; i < G_N_ELEMENTS(unwanted); i++) {
		if (da_headers_get(q->headers, unwanted[i]))
			continue;
		snprintf(line, sizeof(line), "%s:", unwanted[i]);
		f->headers = curl_slist_append(f->headers, line);
	}
	for (size_t i = 0; i < q->headers->n; i++) {
		const struct da_header *h = &q->headers->list[i];

		snprintf(line, sizeof(line), *h->value ? "%s: %s" : "%s;",
			 h->name, h->value);
		f->headers = curl_slist_append(f->headers, line);
	}
	curl_easy_setopt(f->easy, CURLOPT_HTTPHEADER, f->headers);
}

static size_t on_header(char *data, size_t size, size_t n, void *user)
{
	struct transfer *f = user;
	size_t len = size * n;
	size_t line_len = len;

	while (line_len &&
	       (data[line_len - 1] == '\n' || data[line_len - 1] == '\r'))
		line_len--;
	if (f->head_complete)
		return len; /* a trailer */
	if (line_len > 5 && !strncasecmp(data, "HTTP/", 5)) {
		parse_status_line(f, data, line_len);
	} else if (line_len) {
		parse_field(f, data, line_len);
	} else if (f->status >= FIRST_FINAL_STATUS) {
		f->head_complete = true;
		f->fetch.owner->head(f->fetch.owner, f->status, f->length);
	}
	return len;
}

static void parse_status_line(struct transfer *f, const char *line, size_t len)
{
	const char *space = memchr(line, ' ', len);

	f->status = space ? atoi(space + 1) : 0;
	f->length = -1;
}

static void parse_field(struct transfer *f, const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);
	char *name;
	char *value;

	if (!colon || f->status < FIRST_FINAL_STATUS)
		return;
	name = g_strndup(line, (size_t)(colon - line));
	value = g_strstrip(
		g_strndup(colon + 1, len - (size_t)(colon + 1 - line)));
	if (!strcasecmp(name, "Content-Length"))
		f->length = g_ascii_strtoll(value, NULL, 10);
	else if (!da_header_is_hop_by_hop(name))
		f->fetch.owner->header(f->fetch.owner, name, value);
	g_free(name);
	g_free(value);
}

static size_t on_data(char *data, size_t size, size_t n, void *user)
{
	struct transfer *f = user;

	if (!f->fetch.owner->data(f->fetch.owner, data, size * n)) {
		f->paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	return size * n;
}

/*
 * libcurl calls this each time before it writes the request.  When a reused
 * connection turns out to be closed, libcurl would write the request again,
 * which could run a request twice that is not idempotent.
 */
static int on_sending(void *user, char *to, char *from, int to_port,
		      int from_port)
{
	struct transfer *f = user;

	(void)to;
	(void)from;
	(void)to_port;
	(void)from_port;
	if (f->n_sends++ && !f->may_resend)
		return CURL_PREREQFUNC_ABORT;
	return CURL_PREREQFUNC_OK;
}
