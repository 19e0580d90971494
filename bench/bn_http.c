#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <curl/curl.h>
#include <glib.h>

#include "base/ba_list.h"
#include "bench/bn.h"
#include "bench/bn_http.h"

enum {
	MAX_CACHED_CONNECTIONS = 4096,
	CONNECT_TIMEOUT_MS = 1000,
	HEADER_BYTES = 160,
	MS_PER_SECOND = 1000,
	DEADLINE_MARGIN_MS = 500, /* the daemon answers at the deadline */
};

struct bn_http {
	struct ba_loop *loop;
	CURLM *multi;
	struct ba_timer timer;
	GPtrArray *idle; /* struct transfer, to be reused */
};

struct transfer {
	CURL *easy;
	struct curl_slist *headers;
	struct bn_request *request;
};

struct http_socket {
	struct ba_watch watch;
	struct bn_http *http;
};

static struct transfer *get_transfer(struct bn_http *h);
static void add_header(struct transfer *t, const char *name, const char *value);
static int on_socket_change(CURL *easy, curl_socket_t fd, int what, void *arg,
			    void *socket_arg);
static int on_timeout_change(CURLM *multi, long ms, void *arg);
static void on_timer(struct ba_timer *t, ba_time now);
static void on_socket_ready(struct ba_watch *w, unsigned int bits);
static size_t on_data(char *data, size_t size, size_t n, void *arg);
static size_t on_header(char *data, size_t size, size_t n, void *arg);
static void copy_value(char *out, size_t size, const char *value, size_t n);
static void complete_transfers(struct bn_http *h);
static void complete_transfer(struct bn_http *h, struct transfer *t,
			      CURLcode code);
static enum bn_transport transport_result(CURLcode code);

struct bn_http *bn_http_new(struct ba_loop *loop)
{
	struct bn_http *h = g_new0(struct bn_http, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	h->loop = loop;
	h->timer.fire = on_timer;
	h->idle = g_ptr_array_new();
	h->multi = curl_multi_init();
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERFUNCTION, on_timeout_change);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_MAXCONNECTS,
			  (long)MAX_CACHED_CONNECTIONS);
	return h;
}

void bn_http_send(struct bn_http *h, struct bn_request *r)
{
	struct transfer *t = get_transfer(h);
	char left[32];

	t->request = r;
	r->result = -1;
	r->status = 0;
	r->etag[0] = '\0';
	r->homes[0] = '\0';
	r->answer.len = 0;
	curl_easy_setopt(t->easy, CURLOPT_URL, r->url);
	curl_easy_setopt(t->easy, CURLOPT_CUSTOMREQUEST, r->method);
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(t->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(t->easy, CURLOPT_HEADERDATA, r);
	curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(t->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CONNECT_TIMEOUT_MS);
	if (r->body)
		curl_easy_setopt(t->easy, CURLOPT_POSTFIELDS, r->body);
	if (r->key)
		add_header(t, BN_KEY_HEADER, r->key);
	if (r->id)
		add_header(t, BN_ID_HEADER, r->id);
	if (r->time_left > 0) {
		long ms = (long)(r->time_left / BA_MS);

		snprintf(left, sizeof(left), "%ld", ms);
		add_header(t, BN_TIME_LEFT_HEADER, left);
		curl_easy_setopt(t->easy, CURLOPT_TIMEOUT_MS,
				 ms + DEADLINE_MARGIN_MS);
	}
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
	curl_multi_add_handle(h->multi, t->easy);
}

void bn_http_free(struct bn_http *h)
{
	for (unsigned int i = 0; i < h->idle->len; i++) {
		struct transfer *t = g_ptr_array_index(h->idle, i);

		curl_easy_cleanup(t->easy);
		g_free(t);
	}
	g_ptr_array_free(h->idle, TRUE);
	ba_loop_disarm(h->loop, &h->timer);
	curl_multi_cleanup(h->multi);
	g_free(h);
}

static struct transfer *get_transfer(struct bn_http *h)
{
	struct transfer *t;

	if (h->idle->len)
		return g_ptr_array_steal_index(h->idle, h->idle->len - 1);
	t = g_new0(struct transfer, 1);
	t->easy = curl_easy_init();
	return t;
}

static void add_header(struct transfer *t, const char *name, const char *value)
{
	char line[HEADER_BYTES];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	t->headers = curl_slist_append(t->headers, line);
}

static int on_socket_change(CURL *easy, curl_socket_t fd, int what, void *arg,
			    void *socket_arg)
{
	struct bn_http *h = arg;
	struct http_socket *s = socket_arg;
	unsigned int bits = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		ba_loop_unwatch(h->loop, &s->watch);
		g_free(s);
		return 0;
	}
	if (!s) {
		s = g_new0(struct http_socket, 1);
		s->http = h;
		s->watch.fd = fd;
		s->watch.ready = on_socket_ready;
		curl_multi_assign(h->multi, fd, s);
	}
	if (what & CURL_POLL_IN)
		bits |= BA_READABLE;
	if (what & CURL_POLL_OUT)
		bits |= BA_WRITABLE;
	ba_loop_watch(h->loop, &s->watch, bits);
	return 0;
}

static int on_timeout_change(CURLM *multi, long ms, void *arg)
{
	struct bn_http *h = arg;

	(void)multi;
	if (ms < 0)
		ba_loop_disarm(h->loop, &h->timer);
	else
		ba_loop_arm(h->loop, &h->timer, ba_clock_now() + ms * BA_MS);
	return 0;
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	struct bn_http *h = ba_entry(t, struct bn_http, timer);
	int running;

	(void)now;
	curl_multi_socket_action(h->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	complete_transfers(h);
}

static void on_socket_ready(struct ba_watch *w, unsigned int bits)
{
	struct bn_http *h = ba_entry(w, struct http_socket, watch)->http;
	int running;
	int what = 0;

	if (bits & BA_READABLE)
		what |= CURL_CSELECT_IN;
	if (bits & BA_WRITABLE)
		what |= CURL_CSELECT_OUT;
	if (bits & BA_HANGUP)
		what |= CURL_CSELECT_ERR;
	curl_multi_socket_action(h->multi, w->fd, what, &running);
	complete_transfers(h);
}

static size_t on_data(char *data, size_t size, size_t n, void *arg)
{
	struct bn_request *r = arg;

	ba_buf_add(&r->answer, data, size * n);
	return size * n;
}

static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	static const char result[] = BN_RESULT_HEADER ":";
	static const char etag[] = "ETag:";
	static const char homes[] = BN_HOMES_HEADER ":";
	struct bn_request *r = arg;

	if (n > sizeof(result) &&
	    !strncasecmp(data, result, sizeof(result) - 1))
		r->result = atoi(data + sizeof(result) - 1);
	if (n > sizeof(etag) && !strncasecmp(data, etag, sizeof(etag) - 1))
		copy_value(r->etag, sizeof(r->etag), data + sizeof(etag) - 1,
			   n - sizeof(etag) + 1);
	if (n > sizeof(homes) && !strncasecmp(data, homes, sizeof(homes) - 1))
		copy_value(r->homes, sizeof(r->homes), data + sizeof(homes) - 1,
			   n - sizeof(homes) + 1);
	return size * n;
}

static void copy_value(char *out, size_t size, const char *value, size_t n)
{
	size_t len = n < size ? n : size - 1;

	memcpy(out, value, len);
	out[len] = '\0';
	g_strstrip(out);
}

static void complete_transfers(struct bn_http *h)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(h->multi, &left))) {
		struct transfer *t;

		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &t);
		complete_transfer(h, t, m->data.result);
	}
}

static void complete_transfer(struct bn_http *h, struct transfer *t,
			      CURLcode code)
{
	struct bn_request *r = t->request;

	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &r->status);
	curl_multi_remove_handle(h->multi, t->easy);
	curl_easy_reset(t->easy);
	curl_slist_free_all(t->headers);
	t->headers = NULL;
	t->request = NULL;
	g_ptr_array_add(h->idle, t);
	r->transport = transport_result(code);
	r->done(r);
}

static enum bn_transport transport_result(CURLcode code)
{
	switch (code) {
	case CURLE_OK:
		return BN_COMPLETE;
	case CURLE_COULDNT_CONNECT:
		return BN_NOT_SENT;
	default:
		return BN_INCOMPLETE;
	}
}
