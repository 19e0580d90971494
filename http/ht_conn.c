#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base/ba_socket.h"
#include "http/ht_conn.h"
#include "http/ht_request.h"

enum {
	READ_BYTES = 32 * 1024,
	READ_TIGHT_BYTES = 4 * 1024,	    /* with memory short */
	READ_AHEAD_LIMIT_BYTES = 32 * 1024, /* pipelined requests */
	READ_AHEAD_TIMES = 16, /* remembered; more count as the last of them */
	/* A client that takes no answers gets no more before it does. */
	UNTAKEN_LIMIT_BYTES = 64 * 1024,
	UNTAKEN_TIGHT_BYTES = 8 * 1024, /* with memory short */
	OUT_BUFFER_KEEP_BYTES = 4096,	/* a larger empty buffer is freed */
	/* A path that leaves sent bytes unacknowledged for longer is dead. */
	USER_TIMEOUT_MS = 3000,
	OWN_BYTES = 4096, /* of the kernel and of the owner for a connection */
	LINGER_MS = 1000, /* for the other end to read what was sent */
};

/* When bytes that were read ahead had arrived, up to offset @end. */
struct arrival {
	size_t end;
	ba_time at;
};

/*
 * @in: reads answers, on the client's side, or requests
 * @read_ahead: received bytes that follow the last message
 * @arrivals: when they arrived, the first @n_arrivals
 * @rereading: bytes that were read ahead are being parsed
 * @begun_at: when the first byte of the message arrived
 * @front: the connection whose answers go before those of this one, or NULL
 * @behind: the one whose answers follow, or NULL
 * @link: shared with other connections, or NULL
 * @charge: for what it holds
 * @message_sent: bytes written since ht_conn_read_next()
 * @watched_bits: events that the loop watches for
 * @callback_depth: depth of callbacks; the connection is freed only at 0
 * @has_sent: a byte was written since ht_conn_read_next()
 * @send_failed: what was to be written was dropped, as the other end was gone
 * @refused: the other end has refused the connection
 * @message_complete: a message was read, and ht_conn_read_next() not called yet
 * @next_waits: the next request is read once @out is sent
 * @keep_alive: the connection may be reused after the message
 * @closing: close once @out is sent, without callback
 * @closed: the socket is closed and no callback follows
 */
struct ht_conn {
	struct ba_watch watch;
	struct ba_timer timer;
	struct ba_loop *loop;
	struct ht_conn_owner *owner;
	struct ht_message in;
	struct ht_head head;
	struct ba_buf out;
	struct ba_buf read_ahead;
	struct arrival arrivals[READ_AHEAD_TIMES];
	size_t n_arrivals;
	bool rereading;
	ba_time begun_at;
	struct ht_conn *front;
	struct ht_conn *behind;
	struct ht_link *link;
	struct ht_link_user link_user;
	struct ba_charge charge;
	size_t message_sent;
	unsigned int watched_bits;
	int callback_depth;
	bool client;
	bool connecting;
	bool has_sent;
	bool send_failed;
	bool refused;
	bool paused;
	bool message_complete;
	bool next_waits;
	bool keep_alive;
	bool closing;
	bool closed;
};

static struct ht_conn *conn_new(struct ba_loop *loop, int fd, size_t head_limit,
				struct ht_conn_owner *o);
static void set_options(int fd);
static void on_ready(struct ba_watch *w, unsigned int bits);
static bool write_some(struct ht_conn *c, size_t len);
static void update_link(struct ht_conn *c);
static void set_send_deadline(struct ht_conn *c);
static void on_may_write(struct ht_link_user *u);
static void notify_drained(struct ht_conn *c);
static void on_connected(struct ht_conn *c);
static void on_deadline(struct ba_timer *t, ba_time now);
static void read_some(struct ht_conn *c);
static void on_data(struct ht_conn *c, const char *data, size_t len);
static void on_lost(struct ht_conn *c, enum ht_end why);
static enum ht_taken request_taken(const struct ht_conn *c);
static void read_messages(struct ht_conn *c, const char *data, size_t len);
static void notify_begun(struct ht_conn *c, const struct ht_bytes *in);
static void on_head(struct ht_conn *c);
static void complete_message(struct ht_conn *c);
static void store_read_ahead(struct ht_conn *c, const char *data, size_t len);
static struct ht_conn *last_behind(struct ht_conn *c);
static void move_socket(struct ht_conn *from, struct ht_conn *to);
static void end_behind(struct ht_conn *c);
static void note_arrival(struct ht_conn *c);
static void consume_arrivals(struct ht_conn *c, size_t len);
static void end_conn(struct ht_conn *c, enum ht_end why);
static void close_conn(struct ht_conn *c);
static void linger_close(struct ht_conn *c);
static bool is_tight(const struct ht_conn *c);
static void update_watch(struct ht_conn *c);
static void end_callback(struct ht_conn *c);
static void free_later(struct ht_conn *c);
static void on_free(struct ba_timer *t, ba_time now);
static void conn_free(struct ht_conn *c);

struct ht_conn *ht_conn_serve(struct ba_loop *loop, int fd, size_t head_limit,
			      struct ht_conn_owner *o)
{
	struct ht_conn *c = conn_new(loop, fd, head_limit, o);

	ht_request_begin(&c->in);
	update_watch(c);
	return c;
}

struct ht_conn *ht_conn_branch(struct ht_conn *c, struct ht_conn_owner *o)
{
	struct ht_conn *b = conn_new(c->loop, -1, c->in.head_limit, o);

	ht_request_begin(&b->in);
	b->front = c;
	c->behind = b;
	b->read_ahead = c->read_ahead;
	memset(&c->read_ahead, 0, sizeof(c->read_ahead));
	memcpy(b->arrivals, c->arrivals, sizeof(c->arrivals));
	b->n_arrivals = c->n_arrivals;
	c->n_arrivals = 0;
	return b;
}

bool ht_conn_has_behind(const struct ht_conn *c)
{
	return c->behind;
}

unsigned int ht_conn_count_front(const struct ht_conn *c)
{
	unsigned int n = 0;

	while ((c = c->front))
		n++;
	return n;
}

void ht_conn_hand_over(struct ht_conn *c)
{
	struct ht_conn *b = c->behind;
	struct ba_buf rest = c->out;

	ba_buf_add(&rest, b->out.data, b->out.len);
	ba_buf_free(&b->out);
	b->out = rest;
	memset(&c->out, 0, sizeof(c->out));
	c->owner = NULL;
	c->behind = NULL;
	b->front = c->front;
	c->front = NULL;
	if (b->front)
		b->front->behind = b;
	else
		move_socket(c, b);
	close_conn(c);
	if (b->front)
		return;
	if (b->closing) {
		ht_conn_close_after_flush(b);
		return;
	}
	ht_conn_flush(b);
	update_watch(b);
	notify_drained(b);
	if (!b->closed && b->owner && b->owner->first)
		b->owner->first(b->owner, b);
}

struct ht_conn *ht_conn_dial(struct ba_loop *loop, const struct ba_address *to,
			     size_t head_limit, struct ht_conn_owner *o)
{
	int fd = ba_socket_connect(to);
	bool refused = fd < 0 && errno == ECONNREFUSED;
	struct ht_conn *c = conn_new(loop, fd, head_limit, o);

	c->client = true;
	c->connecting = true;
	c->refused = refused;
	ht_answer_begin(&c->in);
	if (c->watch.fd >= 0)
		update_watch(c);
	else
		ba_loop_arm(loop, &c->timer, ba_loop_now(loop));
	return c;
}

void ht_conn_set_head_limit(struct ht_conn *c, size_t bytes)
{
	c->in.head_limit = bytes;
}

void ht_conn_set_account(struct ht_conn *c, struct ba_account *a)
{
	ba_charge_set(&c->charge, 0);
	if (c->charge.account)
		c->charge.account->conns--;
	ba_account_unref(c->charge.account);
	c->charge.account = ba_account_ref(a);
	if (a)
		a->conns++;
	ba_charge_set(&c->charge, ht_conn_held(c));
}

size_t ht_conn_held(const struct ht_conn *c)
{
	return OWN_BYTES + sizeof(*c) + c->head.text.alloc +
	       c->head.alloc * sizeof(*c->head.fields) + c->out.alloc +
	       c->read_ahead.alloc;
}

void ht_conn_set_link(struct ht_conn *c, struct ht_link *l)
{
	if (c->link == l)
		return;
	ht_link_unref(c->link);
	c->link = ht_link_ref(l);
}

void ht_conn_set_rank(struct ht_conn *c, unsigned int rank, ba_time due)
{
	if (!c->link)
		return;
	ht_link_set_rank(c->link, &c->link_user, rank);
	c->link_user.deadline = due;
}

void ht_conn_set_expiry(struct ht_conn *c, ba_time expiry)
{
	c->link_user.expiry = expiry;
}

void ht_conn_set_to_come(struct ht_conn *c, size_t bytes)
{
	c->link_user.to_come = bytes;
}

void ht_conn_set_owner(struct ht_conn *c, struct ht_conn_owner *o)
{
	c->owner = o;
}

ba_time ht_conn_begun_at(const struct ht_conn *c)
{
	return c->begun_at;
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

size_t ht_conn_unacknowledged(const struct ht_conn *c)
{
	if (c->closed || c->connecting)
		return 0;
	if (c->front)
		return c->out.len;
	return c->out.len + ba_socket_unacknowledged(c->watch.fd);
}

void ht_conn_flush(struct ht_conn *c)
{
	size_t len = c->out.len;

	if (c->closed || c->connecting || c->front || !len)
		return;
	if (c->link)
		len = ht_link_request(c->link, &c->link_user, c->message_sent,
				      len, ba_loop_now(c->loop));
	if (len && !write_some(c, len)) {
		/* What the other end sent before is still read. */
		c->out.len = 0;
		c->keep_alive = false;
		c->send_failed = true;
	}
	if (!c->out.len && c->out.alloc > OUT_BUFFER_KEEP_BYTES)
		ba_buf_free(&c->out);
	ba_charge_set(&c->charge, ht_conn_held(c));
	update_link(c);
	set_send_deadline(c);
	if (!c->out.len && c->closing)
		linger_close(c);
	else
		update_watch(c);
}

bool ht_conn_has_sent(const struct ht_conn *c)
{
	return c->has_sent;
}

bool ht_conn_has_sent_all(const struct ht_conn *c)
{
	return !c->out.len && !c->send_failed;
}

bool ht_conn_was_refused(const struct ht_conn *c)
{
	return c->refused;
}

enum ht_flaw ht_conn_flaw(const struct ht_conn *c)
{
	return c->in.flaw;
}

void ht_conn_pause(struct ht_conn *c, bool paused)
{
	if (c->paused == paused)
		return;
	c->paused = paused;
	update_watch(c);
}

void ht_conn_read_next(struct ht_conn *c)
{
	struct ba_buf held = c->read_ahead;

	c->has_sent = false;
	c->message_sent = 0;
	c->paused = false;
	c->next_waits =
		!c->client && c->out.len > (is_tight(c) ? UNTAKEN_TIGHT_BYTES
							: UNTAKEN_LIMIT_BYTES);
	if (c->next_waits) {
		update_watch(c);
		return;
	}
	c->message_complete = false;
	memset(&c->read_ahead, 0, sizeof(c->read_ahead));
	if (c->client) {
		c->in.no_body = false;
		ht_answer_begin(&c->in);
	} else {
		ht_request_begin(&c->in);
	}
	update_watch(c);
	if (held.len) {
		c->rereading = true;
		on_data(c, (const char *)held.data, held.len);
		c->rereading = false;
	}
	ba_buf_free(&held);
}

void ht_conn_skip_message(struct ht_conn *c)
{
	c->message_complete = false;
	ht_answer_begin(&c->in);
}

void ht_conn_expect_no_body(struct ht_conn *c)
{
	c->in.no_body = true;
}

void ht_conn_set_deadline(struct ht_conn *c, ba_time deadline)
{
	/* A dial that has failed is reported in any case, at once. */
	if (c->watch.fd < 0)
		return;
	if (deadline == BA_NEVER)
		ba_loop_disarm(c->loop, &c->timer);
	else
		ba_loop_arm(c->loop, &c->timer, deadline);
}

bool ht_conn_is_reusable(const struct ht_conn *c)
{
	return !c->closed && c->message_complete && c->keep_alive &&
	       !c->read_ahead.len && !c->out.len && !c->connecting;
}

bool ht_conn_in_callback(const struct ht_conn *c)
{
	return c->callback_depth;
}

void ht_conn_close_after_flush(struct ht_conn *c)
{
	c->owner = NULL;
	c->closing = true;
	end_behind(c);
	if (c->front)
		return;
	if (!c->out.len) {
		linger_close(c);
		return;
	}
	set_send_deadline(c);
	ht_conn_flush(c);
}

void ht_conn_abort(struct ht_conn *c)
{
	c->owner = NULL;
	close_conn(c);
}

void ht_conn_reset(struct ht_conn *c)
{
	const struct linger at_once = {.l_onoff = 1};

	/* Without it the close is an orderly one, as by ht_conn_abort(). */
	(void)setsockopt(c->watch.fd, SOL_SOCKET, SO_LINGER, &at_once,
			 sizeof(at_once));
	ht_conn_abort(c);
}

static struct ht_conn *conn_new(struct ba_loop *loop, int fd, size_t head_limit,
				struct ht_conn_owner *o)
{
	struct ht_conn *c = g_new0(struct ht_conn, 1);

	c->loop = loop;
	c->owner = o;
	c->in.head = &c->head;
	c->in.head_limit = head_limit;
	c->watch.fd = fd;
	c->watch.ready = on_ready;
	c->timer.fire = on_deadline;
	c->link_user.may_write = on_may_write;
	ba_list_init(&c->link_user.link);
	ht_head_clear(&c->head);
	if (fd >= 0)
		set_options(fd);
	return c;
}

static void set_options(int fd)
{
	const int on = 1;
	const int user_timeout = USER_TIMEOUT_MS;

	/* A failure costs only latency and slower detection of a dead path. */
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
			 sizeof(user_timeout));
}

static void on_ready(struct ba_watch *w, unsigned int bits)
{
	struct ht_conn *c = ba_entry(w, struct ht_conn, watch);

	c->callback_depth++;
	if (c->connecting && bits & (BA_WRITABLE | BA_HANGUP))
		on_connected(c);
	else if (bits & BA_WRITABLE)
		ht_conn_flush(c);
	if (!c->closed && !c->connecting && bits & (BA_READABLE | BA_HANGUP))
		read_some(c);
	else if (!c->closed && bits & BA_ENDED)
		on_lost(c, HT_END_CLOSED);
	if (bits & BA_WRITABLE)
		notify_drained(c);
	end_callback(c);
}

/*
 * While closing, bounds the time without progress of the other end.  Time spent
 * in the queue of the shared link does not count.
 */
static void set_send_deadline(struct ht_conn *c)
{
	if (!c->closing)
		return;
	if (!ba_list_empty(&c->link_user.link) && !c->link_user.blocked)
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
		ht_link_account_write(c->link, &c->link_user,
				      n > 0 ? (size_t)n : 0, n < (ssize_t)len);
	if (n < 0)
		return !gone;
	c->has_sent |= n > 0;
	c->message_sent += (size_t)n;
	ba_buf_consume(&c->out, (size_t)n);
	return true;
}

static void update_link(struct ht_conn *c)
{
	if (!c->link)
		return;
	ht_link_set_unsent(c->link, &c->link_user, c->out.len);
	if (!c->out.len)
		ht_link_dequeue(c->link, &c->link_user);
}

static void on_may_write(struct ht_link_user *u)
{
	struct ht_conn *c = ba_entry(u, struct ht_conn, link_user);

	c->callback_depth++;
	ht_conn_flush(c);
	notify_drained(c);
	end_callback(c);
}

static void notify_drained(struct ht_conn *c)
{
	if (!c->closed && c->owner && c->owner->drained && !c->out.len)
		c->owner->drained(c->owner, c);
	if (!c->closed && c->owner && c->next_waits && !c->out.len)
		ht_conn_read_next(c);
}

static void on_connected(struct ht_conn *c)
{
	socklen_t len = sizeof(int);
	int error = 0;

	if (getsockopt(c->watch.fd, SOL_SOCKET, SO_ERROR, &error, &len) ||
	    error) {
		c->refused = error == ECONNREFUSED;
		end_conn(c, HT_END_CONNECT_FAILED);
		return;
	}
	c->connecting = false;
	ba_loop_disarm(c->loop, &c->timer);
	ht_conn_flush(c);
	if (!c->closed)
		update_watch(c);
}

static void on_deadline(struct ba_timer *t, ba_time now)
{
	struct ht_conn *c = ba_entry(t, struct ht_conn, timer);

	(void)now;
	end_conn(c, c->connecting ? HT_END_CONNECT_FAILED : HT_END_TIMEOUT);
}

static void read_some(struct ht_conn *c)
{
	static _Thread_local char buffer[READ_BYTES];
	size_t len = is_tight(c) ? READ_TIGHT_BYTES : sizeof(buffer);
	ssize_t n = recv(c->watch.fd, buffer, len, 0);

	if (n > 0)
		on_data(c, buffer, (size_t)n);
	else if (!n)
		on_lost(c, c->send_failed ? HT_END_RESET : HT_END_CLOSED);
	else if (errno != EAGAIN && errno != EINTR)
		on_lost(c, HT_END_RESET);
}

static void on_data(struct ht_conn *c, const char *data, size_t len)
{
	c = last_behind(c);
	if (c->closing)
		return;
	if (c->message_complete)
		store_read_ahead(c, data, len);
	else
		read_messages(c, data, len);
}

/*
 * The end of the connection may complete a body without a length.  The kernel
 * reports a reset once: if a write has met it, reading meets an end of file.
 */
static void on_lost(struct ht_conn *c, enum ht_end why)
{
	if (c->client && !c->message_complete && ht_message_has_begun(&c->in) &&
	    ht_message_close(&c->in, why, request_taken(c)) == HT_STEP_END) {
		c->keep_alive = false;
		read_messages(c, NULL, 0);
		if (c->closed)
			return;
		if (c->message_complete) {
			ba_loop_unwatch(c->loop, &c->watch);
			return;
		}
	}
	end_conn(c, why);
}

/* A segment that closes the connection acknowledges all that has arrived. */
static enum ht_taken request_taken(const struct ht_conn *c)
{
	if (c->send_failed)
		return HT_TAKEN_LOST;
	return c->link_user.to_come || ht_conn_unacknowledged(c)
		       ? HT_TAKEN_PART
		       : HT_TAKEN_WHOLE;
}

/* Reads on with the next message if the owner has asked for it meanwhile. */
static void read_messages(struct ht_conn *c, const char *data, size_t len)
{
	struct ht_bytes in = {data, len};
	struct ht_bytes body;
	enum ht_step step;

	c->callback_depth++;
	do {
		size_t before = in.len;

		notify_begun(c, &in);
		step = c->closed || c->closing
			       ? HT_STEP_MORE
			       : ht_message_read(&c->in, &in, &body);
		consume_arrivals(c, before - in.len);
		if (step == HT_STEP_HEAD)
			on_head(c);
		else if (step == HT_STEP_BODY && c->owner && c->owner->body)
			c->owner->body(c->owner, c, body.data, body.len);
		else if (step == HT_STEP_END)
			complete_message(c);
	} while (step != HT_STEP_MORE && step != HT_STEP_FLAW &&
		 !c->message_complete);
	end_callback(c);
	if (c->closed || c->closing)
		return;
	if (step == HT_STEP_FLAW)
		end_conn(c, c->in.flaw == HT_FLAW_TOO_LARGE
				    ? HT_END_HEAD_TOO_LARGE
				    : HT_END_MALFORMED);
	else if (in.len)
		store_read_ahead(c, in.data, in.len);
}

/* Empty lines before a request are no part of it. */
static void notify_begun(struct ht_conn *c, const struct ht_bytes *in)
{
	size_t at = 0;

	if (ht_message_has_begun(&c->in) || !c->owner || !c->owner->begun)
		return;
	while (!c->client && at < in->len &&
	       (in->data[at] == '\r' || in->data[at] == '\n'))
		at++;
	if (at == in->len)
		return;
	c->begun_at = c->n_arrivals ? c->arrivals[0].at : ba_loop_now(c->loop);
	c->owner->begun(c->owner, c);
}

static void on_head(struct ht_conn *c)
{
	c->keep_alive = !c->head.connection_close;
	if (c->owner && c->owner->head)
		c->owner->head(c->owner, c);
}

static void complete_message(struct ht_conn *c)
{
	c->message_complete = true;
	if (c->owner && c->owner->complete)
		c->owner->complete(c->owner, c);
}

/*
 * On the client's side, bytes after the answer were not requested; they end
 * the connection.
 */
static void store_read_ahead(struct ht_conn *c, const char *data, size_t len)
{
	if (c->client) {
		c->keep_alive = false;
		if (c->owner)
			end_conn(c, HT_END_MALFORMED);
		return;
	}
	ba_buf_add(&c->read_ahead, data, len);
	if (!c->rereading)
		note_arrival(c);
	update_watch(c);
	if (c->owner && c->owner->ahead)
		c->owner->ahead(c->owner, c);
}

static struct ht_conn *last_behind(struct ht_conn *c)
{
	while (c->behind)
		c = c->behind;
	return c;
}

static void move_socket(struct ht_conn *from, struct ht_conn *to)
{
	ba_loop_disarm(from->loop, &from->timer);
	if (from->link) {
		ht_link_dequeue(from->link, &from->link_user);
		ht_link_set_unsent(from->link, &from->link_user, 0);
	}
	ba_loop_unwatch(from->loop, &from->watch);
	to->watch.fd = from->watch.fd;
	from->watch.fd = -1;
}

/* The last one behind is ended first. */
static void end_behind(struct ht_conn *c)
{
	while (c->behind) {
		struct ht_conn *last = last_behind(c);

		last->front->behind = NULL;
		last->front = NULL;
		if (last->closing)
			close_conn(last);
		else
			end_conn(last, HT_END_CLOSED);
	}
}

static void note_arrival(struct ht_conn *c)
{
	struct arrival *last;

	if (c->n_arrivals < READ_AHEAD_TIMES)
		c->n_arrivals++;
	last = &c->arrivals[c->n_arrivals - 1];
	last->end = c->read_ahead.len;
	last->at = ba_loop_now(c->loop);
}

static void consume_arrivals(struct ht_conn *c, size_t len)
{
	size_t kept = 0;

	for (size_t i = 0; i < c->n_arrivals; i++) {
		if (c->arrivals[i].end <= len)
			continue;
		c->arrivals[kept] = c->arrivals[i];
		c->arrivals[kept++].end -= len;
	}
	c->n_arrivals = kept;
}

/*
 * Calls the owner back once.  The connection is freed when no callback is
 * running any more.
 */
static void end_conn(struct ht_conn *c, enum ht_end why)
{
	struct ht_conn_owner *o = c->owner;
	bool was_closing = c->closing;

	if (c->closed)
		return;
	c->owner = NULL;
	c->callback_depth++;
	end_behind(c);
	if (o)
		o->ended(o, c, why);
	c->callback_depth--;
	if (c->closed || !c->closing || was_closing)
		close_conn(c);
}

/* Behind others it is kept until their answers are sent. */
static void close_conn(struct ht_conn *c)
{
	end_behind(c);
	if (c->front) {
		c->closing = true;
		return;
	}
	if (!c->closed) {
		c->closed = true;
		ba_loop_disarm(c->loop, &c->timer);
		if (c->link) {
			ht_link_dequeue(c->link, &c->link_user);
			ht_link_set_unsent(c->link, &c->link_user, 0);
		}
		if (c->watch.fd >= 0) {
			ba_loop_unwatch(c->loop, &c->watch);
			close(c->watch.fd);
		}
	}
	if (!c->callback_depth)
		free_later(c);
}

/* The callback may have closed the connection. */
static void end_callback(struct ht_conn *c)
{
	c->callback_depth--;
	ba_charge_set(&c->charge, ht_conn_held(c));
	if (c->closed && !c->callback_depth)
		free_later(c);
}

/* Defers to the end of the loop iteration, so that callers may still use @c. */
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
 * Closing a socket with unread bytes resets the connection, and the other end
 * may lose the answer.  So received bytes are read and dropped for LINGER_MS
 * before the close.
 */
static void linger_close(struct ht_conn *c)
{
	if (c->front)
		return;
	shutdown(c->watch.fd, SHUT_WR);
	c->paused = false;
	ba_buf_free(&c->read_ahead);
	ba_loop_arm(c->loop, &c->timer,
		    ba_loop_now(c->loop) + LINGER_MS * BA_MS);
	update_watch(c);
}

/* Whether memory for other ends is short. */
static bool is_tight(const struct ht_conn *c)
{
	return c->charge.account && ba_account_is_tight(c->charge.account);
}

/*
 * A caller whose further requests are not read may leave all the same; bytes of
 * theirs stand before the end of the connection.
 */
static void update_watch(struct ht_conn *c)
{
	unsigned int bits = 0;

	while (c->front)
		c = c->front;
	if (c->closed)
		return;
	if (!c->paused && !c->connecting &&
	    last_behind(c)->read_ahead.len <
		    (is_tight(c) ? 1 : READ_AHEAD_LIMIT_BYTES))
		bits |= BA_READABLE;
	else if (!c->client)
		bits |= BA_ENDED;
	if (c->connecting ||
	    (c->out.len &&
	     (ba_list_empty(&c->link_user.link) || c->link_user.blocked)))
		bits |= BA_WRITABLE;
	if (bits == c->watched_bits)
		return;
	c->watched_bits = bits;
	ba_loop_watch(c->loop, &c->watch, bits);
}

static void conn_free(struct ht_conn *c)
{
	ht_conn_set_account(c, NULL);
	ht_link_unref(c->link);
	ht_head_free(&c->head);
	ht_message_free(&c->in);
	ba_buf_free(&c->out);
	ba_buf_free(&c->read_ahead);
	g_free(c);
}
