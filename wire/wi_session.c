#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base/ba_event.h"
#include "base/ba_list.h"
#include "base/ba_result.h"
#include "base/ba_socket.h"
#include "wire/wi.pb-c.h"
#include "wire/wi_session.h"

enum {
	READ_BYTES = 65536,
	BACKLOG = 1024,
};

enum wi_state {
	WI_CONNECTING,
	WI_AUTHENTICATING,
	WI_OPEN,
	WI_CLOSING,
};

/*
 * @finishing: to be half-closed once all that is queued is sent
 * @half_closed: nothing more can be sent, and what is received is dropped
 */
struct wi_session {
	struct ba_watch watch;
	struct ba_timer timer;
	struct ba_timer close_timer;
	struct ba_timer flush_timer;
	struct ba_loop *loop;
	struct wi_handler *handler;
	const struct wi_identity *id;
	struct wi_limits limits;
	enum wi_state state;
	bool is_dialler;
	struct ba_buf in;
	struct ba_buf out;
	struct ba_buf own_hello;
	struct ba_buf peer_hello;
	uint8_t key[BA_KEY_BYTES];
	struct wi_peer peer;
	char peer_text[BA_ADDRESS_TEXT_BYTES];
	ba_time setup_deadline;
	ba_time silence_deadline;
	ba_time ping_deadline;
	unsigned int watched_events;
	uint64_t sent;
	uint64_t received;
	uint64_t reported_sent;
	uint64_t reported_received;
	bool opened;
	bool finishing;
	bool half_closed;
	int close_code;
	ba_time retry_after;
};

struct wi_listener {
	struct ba_watch watch;
	struct ba_loop *loop;
	const struct wi_identity *id;
	struct wi_limits limits;
	struct wi_acceptor *acceptor;
};

const struct wi_limits wi_limits_default = {
	.heartbeat_interval = 5 * BA_SECOND,
	.silence_timeout = 12 * BA_SECOND,
	.connect_timeout = WI_CONNECT_TIMEOUT,
	.handshake_timeout = 3 * BA_SECOND,
	.max_queue_bytes = 64 * 1024 * 1024,
};

static struct wi_session *session_new(struct ba_loop *loop, int fd,
				      const struct wi_identity *id,
				      const struct wi_limits *limits);
static void session_free(struct wi_session *s);
static void on_accept(struct ba_watch *w, unsigned int bits);
static void on_ready(struct ba_watch *w, unsigned int bits);
static void on_timer(struct ba_timer *t, ba_time now);
static void on_close_timer(struct ba_timer *t, ba_time now);
static void on_flush_timer(struct ba_timer *t, ba_time now);
static int finish_connect(struct wi_session *s);
static void send_hello(struct wi_session *s);
static int read_frames(struct wi_session *s);
static int handle_frame(struct wi_session *s, const struct wi_frame *f);
static int handle_handshake_frame(struct wi_session *s,
				  const struct wi_frame *f);
static int handle_hello(struct wi_session *s, const struct wi_frame *f);
static int handle_proof(struct wi_session *s, const struct wi_frame *f);
static int handle_refusal(struct wi_session *s, const struct wi_frame *f);
static int choose_key(struct wi_session *s, const WiHello *hello);
static struct ba_digest compute_proof(const struct wi_session *s,
				      bool of_dialler);
static int flush(struct wi_session *s);
static void update_watch(struct wi_session *s);
static void flush_soon(struct wi_session *s);
static void arm_timer(struct wi_session *s);
static void report_traffic(struct wi_session *s);
static void queue_frame(struct wi_session *s, int type,
			const ProtobufCMessage *message);

struct wi_session *wi_dial(struct ba_loop *loop, const struct ba_address *to,
			   const struct wi_identity *id,
			   const struct wi_limits *limits, struct wi_handler *h)
{
	int fd = ba_socket_connect(to);
	struct wi_session *s = session_new(loop, fd, id, limits);

	s->is_dialler = true;
	s->handler = h;
	g_strlcpy(s->peer_text, to->text, sizeof(s->peer_text));
	if (fd < 0) {
		wi_close(s, WI_CONNECT_FAILED);
		return s;
	}
	s->setup_deadline = ba_clock_now() + limits->connect_timeout;
	ba_loop_watch(loop, &s->watch, BA_WRITABLE);
	arm_timer(s);
	return s;
}

int wi_listen(struct ba_loop *loop, const struct ba_address *at,
	      const struct wi_identity *id, const struct wi_limits *limits,
	      struct wi_acceptor *a, struct wi_listener **out)
{
	int fd = ba_socket_listen(at, BACKLOG);
	struct wi_listener *l;

	if (fd < 0)
		return BA_PORT_IN_USE;
	l = g_new0(struct wi_listener, 1);
	l->watch.fd = fd;
	l->watch.ready = on_accept;
	l->loop = loop;
	l->id = id;
	l->limits = *limits;
	l->acceptor = a;
	ba_loop_watch(loop, &l->watch, BA_READABLE);
	*out = l;
	return BA_OK;
}

void wi_listener_close(struct wi_listener *l)
{
	if (!l)
		return;
	ba_loop_unwatch(l->loop, &l->watch);
	close(l->watch.fd);
	g_free(l);
}

int wi_send(struct wi_session *s, int type, const ProtobufCMessage *message)
{
	if (s->state == WI_CLOSING || s->half_closed)
		return WI_PEER_CLOSED;
	queue_frame(s, type, message);
	if (s->out.len <= s->limits.max_queue_bytes)
		return BA_OK;
	wi_close(s, WI_QUEUE_FULL);
	return WI_QUEUE_FULL;
}

int wi_send_packed(struct wi_session *s, int type, const void *data, size_t len)
{
	uint8_t header[WI_HEADER_BYTES] = {
		(uint8_t)(len >> 24), (uint8_t)(len >> 16), (uint8_t)(len >> 8),
		(uint8_t)len,	      (uint8_t)(type >> 8), (uint8_t)type,
	};

	if (s->state == WI_CLOSING || s->half_closed)
		return WI_PEER_CLOSED;
	ba_buf_add(&s->out, header, sizeof(header));
	ba_buf_add(&s->out, data, len);
	flush_soon(s);
	if (s->out.len <= s->limits.max_queue_bytes)
		return BA_OK;
	wi_close(s, WI_QUEUE_FULL);
	return WI_QUEUE_FULL;
}

void wi_flush(struct wi_session *s)
{
	if (s->state == WI_OPEN && !(s->watched_events & BA_WRITABLE))
		flush(s);
}

ba_time wi_session_heard_at(const struct wi_session *s)
{
	return s->silence_deadline - s->limits.silence_timeout;
}

void wi_close(struct wi_session *s, int code)
{
	if (s->state == WI_CLOSING)
		return;
	if (s->watch.fd >= 0)
		ba_loop_unwatch(s->loop, &s->watch);
	s->state = WI_CLOSING;
	s->close_code = code;
	ba_loop_disarm(s->loop, &s->timer);
	ba_loop_disarm(s->loop, &s->flush_timer);
	ba_loop_arm(s->loop, &s->close_timer, 0);
}

void wi_finish(struct wi_session *s)
{
	if (s->state == WI_CLOSING || s->finishing)
		return;
	if (s->state != WI_OPEN) {
		wi_close(s, WI_PEER_CLOSED);
		return;
	}
	s->finishing = true;
	flush(s);
}

void wi_detach(struct wi_session *s)
{
	s->handler = NULL;
	wi_close(s, WI_PEER_CLOSED);
}

void wi_refuse(struct wi_session *s, int code, ba_time retry_after)
{
	WiRefusal refusal = WI_REFUSAL__INIT;

	if (s->state == WI_CLOSING)
		return;
	if (s->half_closed) {
		wi_close(s, code);
		return;
	}
	refusal.code = (uint32_t)code;
	refusal.text = (char *)ba_result_info(code)->text;
	refusal.retry_after_ms = (uint32_t)(retry_after / BA_MS);
	queue_frame(s, WI_REFUSAL, &refusal.base);
	flush(s);
	wi_close(s, code);
}

const struct wi_peer *wi_session_peer(const struct wi_session *s)
{
	return &s->peer;
}

uint64_t wi_session_sent(const struct wi_session *s)
{
	return s->sent;
}

uint64_t wi_session_received(const struct wi_session *s)
{
	return s->received;
}

size_t wi_session_queued(const struct wi_session *s)
{
	return s->out.len;
}

size_t wi_session_unacknowledged(const struct wi_session *s)
{
	if (s->state == WI_CLOSING)
		return 0;
	return s->out.len + ba_socket_unacknowledged(s->watch.fd);
}

static struct wi_session *session_new(struct ba_loop *loop, int fd,
				      const struct wi_identity *id,
				      const struct wi_limits *limits)
{
	struct wi_session *s = g_new0(struct wi_session, 1);
	ba_time now = ba_clock_now();
	int one = 1;

	s->loop = loop;
	s->id = id;
	s->limits = *limits;
	s->watch.fd = fd;
	s->watch.ready = on_ready;
	s->timer.fire = on_timer;
	s->close_timer.fire = on_close_timer;
	s->flush_timer.fire = on_flush_timer;
	s->setup_deadline = now + limits->handshake_timeout;
	s->silence_deadline = now + limits->silence_timeout;
	s->ping_deadline = now + limits->heartbeat_interval;
	if (fd >= 0)
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return s;
}

static void session_free(struct wi_session *s)
{
	ba_loop_disarm(s->loop, &s->timer);
	ba_loop_disarm(s->loop, &s->close_timer);
	ba_loop_disarm(s->loop, &s->flush_timer);
	if (s->watch.fd >= 0)
		close(s->watch.fd);
	ba_buf_free(&s->in);
	ba_buf_free(&s->out);
	ba_buf_free(&s->own_hello);
	ba_buf_free(&s->peer_hello);
	g_free(s->peer.instance);
	g_free(s->peer.data_centre);
	g_free(s->peer.region);
	g_free(s->peer.operator_name);
	g_free(s);
}

static void on_accept(struct ba_watch *w, unsigned int bits)
{
	struct wi_listener *l = ba_entry(w, struct wi_listener, watch);

	(void)bits;
	for (;;) {
		struct wi_session *s;
		int fd = accept4(w->fd, NULL, NULL,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			return;
		s = session_new(l->loop, fd, l->id, &l->limits);
		g_strlcpy(s->peer_text, "incoming", sizeof(s->peer_text));
		s->handler = l->acceptor->accept(l->acceptor, s);
		s->state = WI_AUTHENTICATING;
		if (!s->handler) {
			wi_refuse(s, WI_TOO_MANY_PEERS, BA_SECOND);
			continue;
		}
		send_hello(s);
		arm_timer(s);
	}
}

static void on_ready(struct ba_watch *w, unsigned int bits)
{
	struct wi_session *s = ba_entry(w, struct wi_session, watch);
	int ret = BA_OK;

	if (s->state == WI_CONNECTING)
		ret = finish_connect(s);
	if (!ret && (bits & (BA_READABLE | BA_HANGUP)))
		ret = read_frames(s);
	if (!ret && s->state != WI_CLOSING)
		ret = flush(s);
	if (ret && s->state != WI_CLOSING)
		wi_refuse(s, ret, 0);
}

static int finish_connect(struct wi_session *s)
{
	int err = 0;
	socklen_t len = sizeof(err);

	getsockopt(s->watch.fd, SOL_SOCKET, SO_ERROR, &err, &len);
	if (err) {
		wi_close(s, WI_CONNECT_FAILED);
		return BA_OK;
	}
	s->state = WI_AUTHENTICATING;
	s->setup_deadline = ba_loop_now(s->loop) + s->limits.handshake_timeout;
	arm_timer(s);
	send_hello(s);
	return BA_OK;
}

static void send_hello(struct wi_session *s)
{
	WiHello hello = WI_HELLO__INIT;
	uint8_t nonce[WI_NONCE_BYTES];

	ba_random_bytes(nonce, sizeof(nonce));
	hello.protocol = WI_PROTOCOL;
	hello.mesh = (char *)s->id->mesh;
	hello.instance = (char *)s->id->instance;
	hello.role = s->id->role;
	hello.data_centre = (char *)s->id->data_centre;
	hello.region = (char *)s->id->region;
	hello.incarnation = s->id->incarnation;
	hello.features = s->id->features;
	hello.key_id = (char *)(s->id->key_id ? s->id->key_id : "");
	hello.nonce.data = nonce;
	hello.nonce.len = sizeof(nonce);
	ba_buf_reserve(&s->own_hello, wi_hello__get_packed_size(&hello));
	s->own_hello.len = wi_hello__pack(&hello, s->own_hello.data);
	queue_frame(s, WI_HELLO, &hello.base);
}

/*
 * The handler may close the session while it handles a frame, so the state is
 * checked again after each frame.
 */
static int read_frames(struct wi_session *s)
{
	size_t used = 0;
	ssize_t n;

	ba_buf_reserve(&s->in, READ_BYTES);
	n = read(s->watch.fd, s->in.data + s->in.len, READ_BYTES);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return BA_OK;
	if (n <= 0) {
		wi_close(s, WI_PEER_CLOSED);
		return BA_OK;
	}
	s->in.len += (size_t)n;
	s->received += (uint64_t)n;
	report_traffic(s);
	s->silence_deadline = ba_loop_now(s->loop) + s->limits.silence_timeout;
	if (s->half_closed)
		s->in.len = 0;
	while (s->state != WI_CLOSING) {
		size_t limit = s->state == WI_OPEN ? WI_FRAME_LIMIT_BYTES
						   : WI_HANDSHAKE_LIMIT_BYTES;
		struct ba_buf rest = {s->in.data + used, s->in.len - used, 0};
		struct wi_frame f;
		long len = wi_frame_next(&rest, limit, &f);
		int ret;

		if (len < 0)
			return (int)-len;
		if (!len)
			break;
		ret = handle_frame(s, &f);
		if (ret)
			return ret;
		used += (size_t)len;
	}
	ba_buf_consume(&s->in, used);
	if (!s->in.len)
		ba_buf_free(&s->in);
	return BA_OK;
}

static int handle_frame(struct wi_session *s, const struct wi_frame *f)
{
	if (f->type == WI_REFUSAL)
		return handle_refusal(s, f);
	if (s->state != WI_OPEN)
		return handle_handshake_frame(s, f);
	if (f->type == WI_PING) {
		queue_frame(s, WI_PONG, NULL);
		return BA_OK;
	}
	if (f->type == WI_PONG)
		return BA_OK;
	return s->handler->frame(s->handler, s, f);
}

static int handle_handshake_frame(struct wi_session *s,
				  const struct wi_frame *f)
{
	if (f->type == WI_HELLO && !s->peer_hello.len)
		return handle_hello(s, f);
	if (f->type == WI_PROOF && s->peer_hello.len)
		return handle_proof(s, f);
	return WI_FRAME_GARBAGE;
}

static int handle_hello(struct wi_session *s, const struct wi_frame *f)
{
	WiHello *hello = (WiHello *)wi_frame_unpack(f, &wi_hello__descriptor);
	WiProof message = WI_PROOF__INIT;
	struct ba_digest mac;
	int ret = BA_OK;

	if (!hello)
		return WI_FRAME_GARBAGE;
	if (hello->nonce.len != WI_NONCE_BYTES ||
	    hello->protocol != WI_PROTOCOL)
		ret = WI_FRAME_GARBAGE;
	else if (strcmp(hello->mesh, s->id->mesh))
		ret = WI_MESH_WRONG;
	else
		ret = choose_key(s, hello);
	if (!ret) {
		s->peer.instance = g_strdup(hello->instance);
		s->peer.role = (enum wi_role)hello->role;
		s->peer.data_centre = g_strdup(hello->data_centre);
		s->peer.region = g_strdup(hello->region);
		s->peer.incarnation = hello->incarnation;
		s->peer.features = hello->features;
		s->peer.operator_name = g_strdup(hello->key_id);
		ba_buf_add(&s->peer_hello, f->data, f->len);
		mac = compute_proof(s, s->is_dialler);
		message.mac.data = mac.bytes;
		message.mac.len = sizeof(mac.bytes);
		queue_frame(s, WI_PROOF, &message.base);
	}
	wi_hello__free_unpacked(hello, NULL);
	return ret;
}

static int choose_key(struct wi_session *s, const WiHello *hello)
{
	if (!*hello->key_id) {
		if (hello->role == WI_OPERATOR)
			return WI_KEY_WRONG;
		memcpy(s->key, s->id->key, sizeof(s->key));
		return BA_OK;
	}
	for (size_t i = 0; i < s->id->n_operators; i++) {
		const struct wi_operator *op = &s->id->operators[i];

		if (hello->role != WI_OPERATOR ||
		    strcmp(op->name, hello->key_id))
			continue;
		memcpy(s->key, op->key, sizeof(s->key));
		return BA_OK;
	}
	return WI_KEY_WRONG;
}

/*
 * The proof is a MAC over both hellos and the side that sends it, so that it
 * can be neither replayed nor reflected.  In a session with an operator both
 * ends use the operator's key.
 */
static struct ba_digest compute_proof(const struct wi_session *s,
				      bool of_dialler)
{
	const struct ba_buf *first =
		s->is_dialler ? &s->own_hello : &s->peer_hello;
	const struct ba_buf *second =
		s->is_dialler ? &s->peer_hello : &s->own_hello;
	const uint8_t *key = s->id->role == WI_OPERATOR ? s->id->key : s->key;
	struct ba_buf text = {0};
	struct ba_digest mac;

	ba_buf_add(&text, of_dialler ? "dial" : "take", 4);
	ba_buf_add(&text, first->data, first->len);
	ba_buf_add(&text, second->data, second->len);
	mac = ba_digest_keyed(key, text.data, text.len);
	ba_buf_free(&text);
	return mac;
}

static int handle_proof(struct wi_session *s, const struct wi_frame *f)
{
	WiProof *message = (WiProof *)wi_frame_unpack(f, &wi_proof__descriptor);
	struct ba_digest expected = compute_proof(s, !s->is_dialler);
	struct ba_digest received = {{0}};
	bool has_mac_length;

	if (!message)
		return WI_FRAME_GARBAGE;
	has_mac_length = message->mac.len == sizeof(received.bytes);
	if (has_mac_length)
		memcpy(received.bytes, message->mac.data,
		       sizeof(received.bytes));
	wi_proof__free_unpacked(message, NULL);
	if (!has_mac_length || !ba_digest_equal(&expected, &received))
		return WI_KEY_WRONG;
	s->state = WI_OPEN;
	ba_event(WI_EV_SESSION_OPEN, "peer=%s role=%d data_centre=%s",
		 s->peer.instance, (int)s->peer.role, s->peer.data_centre);
	arm_timer(s);
	s->opened = true;
	if (s->id->meter)
		s->id->meter->opened(s->id->meter, &s->peer);
	if (s->handler->opened)
		s->handler->opened(s->handler, s);
	return BA_OK;
}

static int handle_refusal(struct wi_session *s, const struct wi_frame *f)
{
	WiRefusal *refusal =
		(WiRefusal *)wi_frame_unpack(f, &wi_refusal__descriptor);
	int code;

	if (!refusal)
		return WI_FRAME_GARBAGE;
	s->retry_after = refusal->retry_after_ms * BA_MS;
	code = refusal->code ? (int)refusal->code : WI_PEER_CLOSED;
	wi_refusal__free_unpacked(refusal, NULL);
	wi_close(s, code);
	return BA_OK;
}

static int flush(struct wi_session *s)
{
	size_t done = 0;

	while (done < s->out.len) {
		ssize_t n = send(s->watch.fd, s->out.data + done,
				 s->out.len - done, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n <= 0) {
			wi_close(s, WI_PEER_CLOSED);
			return BA_OK;
		}
		done += (size_t)n;
	}
	s->sent += done;
	report_traffic(s);
	if (done)
		s->ping_deadline =
			ba_loop_now(s->loop) + s->limits.heartbeat_interval;
	if (done == s->out.len)
		ba_buf_free(&s->out);
	else
		ba_buf_consume(&s->out, done);
	if (s->finishing && !s->out.len && !s->half_closed) {
		s->half_closed = true;
		shutdown(s->watch.fd, SHUT_WR);
	}
	update_watch(s);
	return BA_OK;
}

/*
 * All frames of one loop iteration are written at its end, without waiting
 * for another iteration that reports the socket as writable.
 */
static void flush_soon(struct wi_session *s)
{
	if (s->state == WI_CONNECTING || s->state == WI_CLOSING)
		return;
	if (!(s->watched_events & BA_WRITABLE))
		ba_loop_arm(s->loop, &s->flush_timer, 0);
}

static void on_flush_timer(struct ba_timer *t, ba_time now)
{
	(void)now;
	flush(ba_entry(t, struct wi_session, flush_timer));
}

static void update_watch(struct wi_session *s)
{
	unsigned int bits = BA_READABLE;

	if (s->state == WI_CONNECTING || s->state == WI_CLOSING)
		return;
	if (s->out.len)
		bits |= BA_WRITABLE;
	if (bits == s->watched_events)
		return;
	s->watched_events = bits;
	ba_loop_watch(s->loop, &s->watch, bits);
}

/* The bytes of the handshake are reported with the first frames after it. */
static void report_traffic(struct wi_session *s)
{
	struct wi_meter *m = s->id->meter;

	if (!m || !s->opened)
		return;
	m->transferred(m, &s->peer, s->sent - s->reported_sent,
		       s->received - s->reported_received);
	s->reported_sent = s->sent;
	s->reported_received = s->received;
}

static void arm_timer(struct wi_session *s)
{
	ba_time deadline = MIN(s->silence_deadline, s->ping_deadline);

	if (s->state != WI_OPEN)
		deadline = s->setup_deadline;
	ba_loop_arm(s->loop, &s->timer, deadline);
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	struct wi_session *s = ba_entry(t, struct wi_session, timer);

	if (s->state != WI_OPEN) {
		wi_close(s, s->state == WI_CONNECTING ? WI_CONNECT_FAILED
						      : WI_PEER_SILENT);
		return;
	}
	if (now >= s->silence_deadline) {
		ba_event(WI_EV_PEER_SILENT, "peer=%s", s->peer.instance);
		wi_close(s, WI_PEER_SILENT);
		return;
	}
	if (now >= s->ping_deadline) {
		s->ping_deadline = now + s->limits.heartbeat_interval;
		queue_frame(s, WI_PING, NULL);
	}
	arm_timer(s);
}

static void on_close_timer(struct ba_timer *t, ba_time now)
{
	struct wi_session *s = ba_entry(t, struct wi_session, close_timer);
	const char *name = s->peer.instance ? s->peer.instance : s->peer_text;
	enum ba_event_id event = WI_EV_SESSION_CLOSED;

	(void)now;
	if (s->close_code == WI_MESH_WRONG || s->close_code == WI_KEY_WRONG ||
	    s->close_code == WI_FRAME_TOO_LARGE ||
	    s->close_code == WI_FRAME_GARBAGE ||
	    s->close_code == WI_FRAME_UNKNOWN)
		event = WI_EV_SESSION_REFUSED;
	ba_event(event, "peer=%s code=%d reason=%s", name, s->close_code,
		 ba_result_info(s->close_code)->name);
	if (s->id->meter && s->opened)
		s->id->meter->closed(s->id->meter, &s->peer, s->close_code);
	if (s->handler)
		s->handler->closed(s->handler, s, s->close_code,
				   s->retry_after);
	session_free(s);
}

static void queue_frame(struct wi_session *s, int type,
			const ProtobufCMessage *message)
{
	if (s->half_closed)
		return;
	wi_frame_add(&s->out, type, message);
	flush_soon(s);
}
