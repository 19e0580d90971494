#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>
#include <http_parser.h>

#include "base/ba_socket.h"
#include "http/ht_conn.h"

enum {
	READ_BYTES = 32 * 1024,
	HELD_LIMIT_BYTES = 64 * 1024, /* requests that came early */
	KEEP_OUT_BYTES = 4096,	      /* larger buffers are given back */
	USER_TIMEOUT_MS = 3000, /* unacknowledged bytes: the path is dead */
	LINGER_MS = 1000,	/* for the other end to read what was sent */
};

enum part { PART_NONE, PART_NAME, PART_VALUE };

/*
 * @held: bytes behind the message that was read last
 * @link: shared with other connections, or NULL
 * @message_sent: bytes written since ht_conn_next()
 * @busy: depth of calls to the owner; the end waits for it to be 0
 * @resting: a whole message was read and ht_conn_next() not yet called
 * @started: a byte of the message was read
 */
struct ht_conn {
	struct ba_watch watch;
	struct ba_timer timer;
	struct ba_loop *loop;
	struct ht_owner *owner;
	http_parser parser;
	struct ht_head head;
	struct ba_buf out;
	struct ba_buf held;
	struct ht_link *link;
	struct ht_link_user on_link;
	size_t message_sent;
	size_t head_limit;
	size_t head_bytes;
	enum part part;
	unsigned int bits;
	int busy;
	bool client;
	bool connecting;
	bool sent;
	bool paused;
	bool resting;
	bool started;
	bool in_head;
	bool no_body;
	bool keep;
	bool finishing;
	bool dead;
	bool head_too_large;
};

static struct ht_conn *conn_new(struct ba_loop *loop, int fd, size_t head_limit,
				struct ht_owner *o);
static void set_options(int fd);
static void on_ready(struct ba_watch *w, unsigned int bits);
static bool write_some(struct ht_conn *c, size_t len);
static void tell_link(struct ht_conn *c);
static void expect_progress(struct ht_conn *c);
static void on_link_turn(struct ht_link_user *u);
static void tell_drained(struct ht_conn *c);
static void on_connected(struct ht_conn *c);
static void on_deadline(struct ba_timer *t, ba_time now);
static void read_some(struct ht_conn *c);
static void take(struct ht_conn *c, const char *data, size_t len);
static void take_end(struct ht_conn *c);
static void parse(struct ht_conn *c, const char *data, size_t len);
static void hold(struct ht_conn *c, const char *data, size_t len);
static void end(struct ht_conn *c, enum ht_end why);
static void leave(struct ht_conn *c);
static void linger(struct ht_conn *c);
static void rewatch(struct ht_conn *c);
static void end_call(struct ht_conn *c);
static void free_later(struct ht_conn *c);
static void on_free(struct ba_timer *t, ba_time now);
static void conn_free(struct ht_conn *c);
static int on_begin(http_parser *p);
static int on_target(http_parser *p, const char *at, size_t len);
static int on_name(http_parser *p, const char *at, size_t len);
static int on_value(http_parser *p, const char *at, size_t len);
static int on_head(http_parser *p);
static int on_body(http_parser *p, const char *at, size_t len);
static int on_whole(http_parser *p);
static bool add_text(struct ht_conn *c, const char *at, size_t len);
static void end_text(struct ht_conn *c);

static const http_parser_settings settings = {
	.on_message_begin = on_begin,
	.on_url = on_target,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_whole,
};

struct ht_conn *ht_conn_accepted(struct ba_loop *loop, int fd,
				 size_t head_limit, struct ht_owner *o)
{
	struct ht_conn *c = conn_new(loop, fd, head_limit, o);

	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	rewatch(c);
	return c;
}

struct ht_conn *ht_conn_dial(struct ba_loop *loop, const struct ba_address *to,
			     size_t head_limit, struct ht_owner *o)
{
	struct ht_conn *c = conn_new(loop, ba_socket_dial(to), head_limit, o);

	c->client = true;
	c->connecting = true;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	if (c->watch.fd >= 0)
		rewatch(c);
	else
		ba_loop_arm(loop, &c->timer, ba_loop_now(loop));
	return c;
}

void ht_conn_share(struct ht_conn *c, struct ht_link *l)
{
	c->link = l;
}

void ht_conn_rank(struct ht_conn *c, unsigned int rank)
{
	if (c->link)
		ht_link_rank(c->link, &c->on_link, rank);
}

void ht_conn_own(struct ht_conn *c, struct ht_owner *o)
{
	c->owner = o;
}

struct ht_head *ht_conn_head(struct ht_conn *c)
{
	return &c->head;
}

void ht_conn_write(struct ht_conn *c, const void *data, size_t len)
{
	ba_buf_add(&c->out, data, len);
}

struct ba_buf *ht_conn_out(struct ht_conn *c)
{
	return &c->out;
}

void ht_conn_flush(struct ht_conn *c)
{
	size_t len = c->out.len;

	if (c->dead || c->connecting || !len)
		return;
	if (c->link)
		len = ht_link_ask(c->link, &c->on_link, c->message_sent, len,
				  ba_loop_now(c->loop));
	if (len && !write_some(c, len)) {
		/* What the other end has sent before is still to be read. */
		c->out.len = 0;
		c->keep = false;
	}
	if (!c->out.len && c->out.alloc > KEEP_OUT_BYTES)
		ba_buf_free(&c->out);
	tell_link(c);
	expect_progress(c);
	if (!c->out.len && c->finishing)
		linger(c);
	else
		rewatch(c);
}

bool ht_conn_sent(const struct ht_conn *c)
{
	return c->sent;
}

void ht_conn_pause(struct ht_conn *c, bool paused)
{
	if (c->paused == paused)
		return;
	c->paused = paused;
	rewatch(c);
}

void ht_conn_next(struct ht_conn *c)
{
	struct ba_buf held = c->held;

	c->resting = false;
	c->started = false;
	c->sent = false;
	c->message_sent = 0;
	c->no_body = false;
	c->paused = false;
	memset(&c->held, 0, sizeof(c->held));
	http_parser_pause(&c->parser, 0);
	rewatch(c);
	if (held.len)
		take(c, (const char *)held.data, held.len);
	ba_buf_free(&held);
}

void ht_conn_no_body(struct ht_conn *c)
{
	c->no_body = true;
}

void ht_conn_expect(struct ht_conn *c, ba_time deadline)
{
	if (deadline == BA_NEVER)
		ba_loop_disarm(c->loop, &c->timer);
	else
		ba_loop_arm(c->loop, &c->timer, deadline);
}

bool ht_conn_reusable(const struct ht_conn *c)
{
	return !c->dead && c->resting && c->keep && !c->held.len &&
	       !c->out.len && !c->connecting;
}

bool ht_conn_in_call(const struct ht_conn *c)
{
	return c->busy;
}

void ht_conn_finish(struct ht_conn *c)
{
	c->owner = NULL;
	c->finishing = true;
	if (!c->out.len) {
		linger(c);
		return;
	}
	expect_progress(c);
	ht_conn_flush(c);
}

void ht_conn_abort(struct ht_conn *c)
{
	c->owner = NULL;
	leave(c);
}

static struct ht_conn *conn_new(struct ba_loop *loop, int fd, size_t head_limit,
				struct ht_owner *o)
{
	struct ht_conn *c = g_new0(struct ht_conn, 1);

	c->loop = loop;
	c->owner = o;
	c->head_limit = head_limit;
	c->watch.fd = fd;
	c->watch.ready = on_ready;
	c->timer.fire = on_deadline;
	c->on_link.go = on_link_turn;
	ba_list_init(&c->on_link.link);
	ht_head_clear(&c->head);
	if (fd >= 0)
		set_options(fd);
	return c;
}

static void set_options(int fd)
{
	const int on = 1;
	const int user_timeout = USER_TIMEOUT_MS;

	/* Only speed and the time to notice a dead path hang on these. */
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
			 sizeof(user_timeout));
}

static void on_ready(struct ba_watch *w, unsigned int bits)
{
	struct ht_conn *c = ba_entry(w, struct ht_conn, watch);

	c->busy++;
	if (c->connecting && bits & (BA_WRITABLE | BA_HANGUP))
		on_connected(c);
	else if (bits & BA_WRITABLE)
		ht_conn_flush(c);
	if (!c->dead && !c->connecting && bits & (BA_READABLE | BA_HANGUP))
		read_some(c);
	if (bits & BA_WRITABLE)
		tell_drained(c);
	end_call(c);
}

/* Of the other end; the time on the shared link does not count. */
static void expect_progress(struct ht_conn *c)
{
	if (!c->finishing)
		return;
	if (!ba_list_empty(&c->on_link.link) && !c->on_link.full)
		ba_loop_disarm(c->loop, &c->timer);
	else
		ba_loop_arm(c->loop, &c->timer,
			    ba_loop_now(c->loop) + USER_TIMEOUT_MS * BA_MS);
}

/* Return: whether the connection can still be written to. */
static bool write_some(struct ht_conn *c, size_t len)
{
	ssize_t n = send(c->watch.fd, c->out.data, len, MSG_NOSIGNAL);
	bool gone = n < 0 && errno != EAGAIN && errno != EINTR;

	if (c->link)
		ht_link_wrote(c->link, &c->on_link, n > 0 ? (size_t)n : 0,
			      n < (ssize_t)len);
	if (n < 0)
		return !gone;
	c->sent |= n > 0;
	c->message_sent += (size_t)n;
	ba_buf_consume(&c->out, (size_t)n);
	return true;
}

static void tell_link(struct ht_conn *c)
{
	if (!c->link)
		return;
	ht_link_note(c->link, &c->on_link, c->out.len);
	if (!c->out.len)
		ht_link_leave(c->link, &c->on_link);
}

static void on_link_turn(struct ht_link_user *u)
{
	struct ht_conn *c = ba_entry(u, struct ht_conn, on_link);

	c->busy++;
	ht_conn_flush(c);
	tell_drained(c);
	end_call(c);
}

static void tell_drained(struct ht_conn *c)
{
	if (!c->dead && c->owner && c->owner->drained && !c->out.len)
		c->owner->drained(c->owner, c);
}

static void on_connected(struct ht_conn *c)
{
	socklen_t len = sizeof(int);
	int error = 0;

	if (getsockopt(c->watch.fd, SOL_SOCKET, SO_ERROR, &error, &len) ||
	    error) {
		end(c, HT_END_CONNECT);
		return;
	}
	c->connecting = false;
	ba_loop_disarm(c->loop, &c->timer);
	ht_conn_flush(c);
	if (!c->dead)
		rewatch(c);
}

static void on_deadline(struct ba_timer *t, ba_time now)
{
	struct ht_conn *c = ba_entry(t, struct ht_conn, timer);

	(void)now;
	end(c, c->connecting ? HT_END_CONNECT : HT_END_LATE);
}

static void read_some(struct ht_conn *c)
{
	static _Thread_local char buffer[READ_BYTES];
	ssize_t n = recv(c->watch.fd, buffer, sizeof(buffer), 0);

	if (n > 0)
		take(c, buffer, (size_t)n);
	else if (!n)
		take_end(c);
	else if (errno != EAGAIN && errno != EINTR)
		end(c, HT_END_RESET);
}

static void take(struct ht_conn *c, const char *data, size_t len)
{
	if (c->finishing)
		return;
	if (c->resting)
		hold(c, data, len);
	else
		parse(c, data, len);
}

/* The end of the connection may be the end of a body without a length. */
static void take_end(struct ht_conn *c)
{
	if (c->client && c->started && !c->resting && !c->in_head) {
		c->keep = false;
		c->busy++;
		http_parser_execute(&c->parser, &settings, "", 0);
		c->busy--;
		if (c->dead)
			return;
		if (c->resting) {
			ba_loop_unwatch(c->loop, &c->watch);
			return;
		}
	}
	end(c, HT_END_CLOSED);
}

static void parse(struct ht_conn *c, const char *data, size_t len)
{
	enum http_errno code;
	size_t used;

	c->busy++;
	used = http_parser_execute(&c->parser, &settings, data, len);
	end_call(c);
	if (c->dead)
		return;
	code = HTTP_PARSER_ERRNO(&c->parser);
	if (c->finishing)
		return;
	if (c->head_too_large)
		end(c, HT_END_HEAD);
	else if (code != HPE_OK && code != HPE_PAUSED)
		end(c, HT_END_GARBAGE);
	else if (used < len && c->resting)
		hold(c, data + used, len - used);
}

/* A server answers nothing that was not asked for. */
static void hold(struct ht_conn *c, const char *data, size_t len)
{
	if (c->client) {
		c->keep = false;
		if (c->owner)
			end(c, HT_END_GARBAGE);
		return;
	}
	ba_buf_add(&c->held, data, len);
	rewatch(c);
}

/* The owner is told once, and the memory goes when no call is under way. */
static void end(struct ht_conn *c, enum ht_end why)
{
	struct ht_owner *o = c->owner;
	bool finishing = c->finishing;

	if (c->dead)
		return;
	c->owner = NULL;
	c->busy++;
	if (o)
		o->ended(o, c, why);
	c->busy--;
	if (c->dead || !c->finishing || finishing)
		leave(c);
}

static void leave(struct ht_conn *c)
{
	if (!c->dead) {
		c->dead = true;
		ba_loop_disarm(c->loop, &c->timer);
		if (c->link) {
			ht_link_leave(c->link, &c->on_link);
			ht_link_note(c->link, &c->on_link, 0);
		}
		if (c->watch.fd >= 0) {
			ba_loop_unwatch(c->loop, &c->watch);
			close(c->watch.fd);
		}
	}
	if (!c->busy)
		free_later(c);
}

/* Whoever was called may have ended the connection. */
static void end_call(struct ht_conn *c)
{
	c->busy--;
	if (c->dead && !c->busy)
		free_later(c);
}

/* At the end of the turn, so that whoever is calling may still look. */
static void free_later(struct ht_conn *c)
{
	c->timer.fire = on_free;
	if (!c->timer.slot)
		ba_loop_arm(c->loop, &c->timer, ba_loop_now(c->loop));
}

static void on_free(struct ba_timer *t, ba_time now)
{
	(void)now;
	conn_free(ba_entry(t, struct ht_conn, timer));
}

/*
 * Closing a socket with unread bytes resets it, and the other end may lose
 * the answer; so what still comes is read and dropped for a while.
 */
static void linger(struct ht_conn *c)
{
	shutdown(c->watch.fd, SHUT_WR);
	c->paused = false;
	ba_buf_free(&c->held);
	ba_loop_arm(c->loop, &c->timer,
		    ba_loop_now(c->loop) + LINGER_MS * BA_MS);
	rewatch(c);
}

static void rewatch(struct ht_conn *c)
{
	unsigned int bits = 0;

	if (c->dead)
		return;
	if (!c->paused && !c->connecting && c->held.len < HELD_LIMIT_BYTES)
		bits |= BA_READABLE;
	if (c->connecting || (c->out.len && (ba_list_empty(&c->on_link.link) ||
					     c->on_link.full)))
		bits |= BA_WRITABLE;
	if (bits == c->bits)
		return;
	c->bits = bits;
	ba_loop_watch(c->loop, &c->watch, bits);
}

static void conn_free(struct ht_conn *c)
{
	ht_head_free(&c->head);
	ba_buf_free(&c->out);
	ba_buf_free(&c->held);
	g_free(c);
}

static int on_begin(http_parser *p)
{
	struct ht_conn *c = p->data;

	ht_head_clear(&c->head);
	c->head_bytes = 0;
	c->part = PART_NONE;
	c->in_head = true;
	c->started = true;
	if (c->owner && c->owner->begun)
		c->owner->begun(c->owner, c);
	return c->dead;
}

static int on_target(http_parser *p, const char *at, size_t len)
{
	struct ht_conn *c = p->data;

	if (c->part == PART_NONE)
		c->head.target = (uint32_t)c->head.text.len;
	c->part = PART_VALUE;
	return !add_text(c, at, len);
}

static int on_name(http_parser *p, const char *at, size_t len)
{
	struct ht_conn *c = p->data;
	struct ht_head *h = &c->head;

	if (c->part != PART_NAME) {
		end_text(c);
		if (h->n_fields == h->alloc) {
			h->alloc = h->alloc ? 2 * h->alloc : 16;
			h->fields =
				g_renew(struct ht_field, h->fields, h->alloc);
		}
		h->fields[h->n_fields++].name = (uint32_t)h->text.len;
		h->fields[h->n_fields - 1].value = 0;
	}
	c->part = PART_NAME;
	return !add_text(c, at, len);
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct ht_conn *c = p->data;
	struct ht_head *h = &c->head;

	if (c->part == PART_NAME) {
		end_text(c);
		h->fields[h->n_fields - 1].value = (uint32_t)h->text.len;
	}
	c->part = PART_VALUE;
	return !add_text(c, at, len);
}

static int on_head(http_parser *p)
{
	struct ht_conn *c = p->data;
	struct ht_head *h = &c->head;

	end_text(c);
	c->in_head = false;
	h->minor = p->http_minor;
	h->chunked = p->flags & F_CHUNKED;
	h->length = p->flags & F_CONTENTLENGTH ? (int64_t)p->content_length
					       : HT_LENGTH_UNKNOWN;
	h->last = !http_should_keep_alive(p);
	c->keep = !h->last;
	p->upgrade = 0;
	if (c->client)
		h->status = p->status_code;
	else
		h->method = http_method_str((enum http_method)p->method);
	if (c->client && p->status_code / 100 == 1)
		return 0;
	if (c->owner && c->owner->head)
		c->owner->head(c->owner, c);
	if (c->dead || c->finishing)
		return -1;
	return c->no_body ? 1 : 0;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct ht_conn *c = p->data;

	if (c->owner && c->owner->body)
		c->owner->body(c->owner, c, at, len);
	return c->dead || c->finishing;
}

/* An interim answer announces the one that counts. */
static int on_whole(http_parser *p)
{
	struct ht_conn *c = p->data;

	if (c->client && p->status_code / 100 == 1) {
		c->started = false;
		return 0;
	}
	c->resting = true;
	http_parser_pause(p, 1);
	if (c->owner && c->owner->whole)
		c->owner->whole(c->owner, c);
	return 0;
}

static bool add_text(struct ht_conn *c, const char *at, size_t len)
{
	c->head_bytes += len;
	if (c->head_bytes > c->head_limit) {
		c->head_too_large = true;
		return false;
	}
	ba_buf_add(&c->head.text, at, len);
	return true;
}

static void end_text(struct ht_conn *c)
{
	if (c->part == PART_NONE)
		return;
	ba_buf_add(&c->head.text, "", 1);
	if (c->part == PART_NAME && c->head.n_fields)
		c->head.fields[c->head.n_fields - 1].value =
			(uint32_t)(c->head.text.len - 1);
}
