#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <atomic>
#include <cstring>
#include <string>
#include <thread>
#include <sys/socket.h>
#include <unistd.h>

#include "base/ba_result.h"
#include "base/ba_socket.h"
#include "wire/ct.pb-c.h"
#include "test/loop.h"
#include "test/net.h"
#include "wire/wi_session.h"

namespace
{

RC_GTEST_PROP(WiFrame, RoundTripInPieces, (const std::string &text))
{
	CtQuery q = CT_QUERY__INIT;
	struct ba_buf out = {};
	struct ba_buf in = {};
	struct wi_frame f = {};
	std::string plain = text.c_str();

	q.command = (char *)plain.c_str();
	wi_frame_add(&out, CT_QUERY, &q.base);
	for (size_t i = 0; i < out.len; i++) {
		RC_ASSERT(wi_frame_next(&in, 1 << 20, &f) == 0);
		ba_buf_add(&in, out.data + i, 1);
	}
	RC_ASSERT(wi_frame_next(&in, 1 << 20, &f) == (long)out.len);
	auto *got = (CtQuery *)wi_frame_unpack(&f, &ct_query__descriptor);

	RC_ASSERT(got != nullptr);
	RC_ASSERT(plain == got->command);
	ct_query__free_unpacked(got, nullptr);
	ba_buf_free(&out);
	ba_buf_free(&in);
}

TEST(WiFrame, TooLongIsRefusedBeforeItIsBuffered)
{
	struct ba_buf in = {};
	struct wi_frame f = {};
	const uint8_t header[] = {0x7f, 0xff, 0xff, 0xff, 0, 1};

	ba_buf_add(&in, header, sizeof(header));
	EXPECT_EQ(wi_frame_next(&in, WI_FRAME_LIMIT_BYTES, &f),
		  -WI_FRAME_TOO_LARGE);
	ba_buf_free(&in);
}

/* One end of a session; its first frame or its close stops the loop. */
struct end {
	struct wi_handler handler;
	struct ba_loop *loop;
	int opened = 0;
	int frames = 0;
	int code = 0;
	bool send_on_open = false;
	struct wi_session *session = nullptr;
};

struct test_acceptor {
	struct wi_acceptor acceptor;
	struct end *end;
};

void on_opened(struct wi_handler *h, struct wi_session *s)
{
	auto *e = (struct end *)h;

	e->opened++;
	e->session = s;
	if (e->send_on_open)
		wi_send(s, CT_QUERY, nullptr);
}

int on_frame(struct wi_handler *h, struct wi_session *, const struct wi_frame *)
{
	auto *e = (struct end *)h;

	e->frames++;
	ba_loop_stop(e->loop);
	return BA_OK;
}

void on_closed(struct wi_handler *h, struct wi_session *, int code, ba_time)
{
	auto *e = (struct end *)h;

	e->code = code;
	e->session = nullptr;
	ba_loop_stop(e->loop);
}

void close_end(const struct end &e)
{
	if (e.session)
		wi_close(e.session, WI_PEER_CLOSED);
}

struct wi_handler *accept_end(struct wi_acceptor *a, struct wi_session *)
{
	return &((struct test_acceptor *)a)->end->handler;
}

struct wi_identity identity(const char *mesh, enum wi_role role,
			    const char *key_id, uint8_t key)
{
	struct wi_identity id = {};

	id.mesh = mesh;
	id.instance = "i";
	id.role = role;
	id.data_centre = "d";
	id.region = "r";
	id.key_id = key_id;
	id.key[0] = key;
	return id;
}

TEST(WiSession, Opening)
{
	static const struct {
		const char *mesh;
		enum wi_role role;
		const char *key_id;
		uint8_t key;
		int code;
	} cases[] = {
		{"m", WI_DAEMON, "", 1, BA_OK},
		{"m", WI_OPERATOR, "ana", 7, BA_OK},
		{"other", WI_DAEMON, "", 1, WI_MESH_WRONG},
		{"m", WI_DAEMON, "", 2, WI_KEY_WRONG},
		{"m", WI_OPERATOR, "ana", 1, WI_KEY_WRONG},
		{"m", WI_OPERATOR, "eva", 7, WI_KEY_WRONG},
		{"m", WI_OPERATOR, "", 1, WI_KEY_WRONG},
		{"m", WI_DAEMON, "ana", 7, WI_KEY_WRONG},
	};
	struct wi_operator ana = {"ana", {7}};
	int port = 22101;

	for (const auto &c : cases) {
		struct ba_loop *loop = ba_loop_new();
		struct end server = {{on_opened, on_frame, on_closed}, loop};
		struct end client = server;
		struct test_acceptor t = {{accept_end}, &server};
		struct wi_identity sid = identity("m", WI_SOURCE, "", 1);
		struct wi_identity cid =
			identity(c.mesh, c.role, c.key_id, c.key);
		struct wi_listener *l = nullptr;
		struct ba_address at;
		std::string text = test_address(1, port++);

		client.send_on_open = true;
		sid.operators = &ana;
		sid.n_operators = 1;
		ASSERT_EQ(ba_parse_address(text.c_str(), &at), BA_OK);
		ASSERT_EQ(wi_listen(loop, &at, &sid, &wi_limits_default,
				    &t.acceptor, &l),
			  BA_OK);
		wi_dial(loop, &at, &cid, &wi_limits_default, &client.handler);
		ba_loop_run(loop);
		if (c.code == BA_OK) {
			EXPECT_EQ(server.frames, 1) << c.key_id;
		} else {
			EXPECT_EQ(server.frames, 0) << c.key_id;
			EXPECT_TRUE(server.code == c.code ||
				    client.code == c.code)
				<< c.mesh << c.key_id;
		}
		wi_listener_close(l);
		close_end(client);
		close_end(server);
		settle_and_free(loop);
	}
}

/* Connects a plain socket, for a peer that violates the protocol. */
int raw_connect(const struct ba_address *at)
{
	int fd = socket(at->sockaddr.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);

	EXPECT_EQ(connect(fd, (const struct sockaddr *)&at->sockaddr, at->len),
		  0);
	return fd;
}

/*
 * Dials a listening socket that nobody accepts from, after @n_queued other
 * connections have filled its queue.
 */
int dial_unread(int port, const struct wi_limits &limits, size_t n_queued)
{
	struct ba_loop *loop = ba_loop_new();
	struct end client = {{on_opened, on_frame, on_closed}, loop};
	struct wi_identity id = identity("m", WI_DAEMON, "", 1);
	std::vector<int> queued;
	struct ba_address at;
	int fd;

	EXPECT_EQ(ba_parse_address(test_address(1, port).c_str(), &at), BA_OK);
	fd = ba_socket_listen(&at, 0);
	EXPECT_GE(fd, 0);
	while (queued.size() < n_queued)
		queued.push_back(ba_socket_connect(&at));
	wi_dial(loop, &at, &id, &limits, &client.handler);
	ba_loop_run(loop);
	for (int queued_fd : queued)
		close(queued_fd);
	close(fd);
	settle_and_free(loop);
	return client.code;
}

TEST(WiSession, ForeignBytesCloseOnlyThatSession)
{
	static const struct {
		const char *name;
		std::string bytes;
		int code;
	} cases[] = {
		{"http", "GET / HTTP/1.1\r\n\r\n", WI_FRAME_TOO_LARGE},
		{"too large", std::string("\x7f\xff\xff\xff\0\1", 6),
		 WI_FRAME_TOO_LARGE},
		{"not a message", std::string("\0\0\0\2\0\1\xff\xff", 8),
		 WI_FRAME_GARBAGE},
		{"proof before hello", std::string("\0\0\0\0\0\2", 6),
		 WI_FRAME_GARBAGE},
		{"unknown type", std::string("\0\0\0\0\3\1", 6),
		 WI_FRAME_GARBAGE},
		{"truncated", std::string("\0\0\0\7\0\1\1", 7), WI_PEER_SILENT},
	};
	struct wi_limits limits = wi_limits_default;
	int port = 22141;

	limits.handshake_timeout = 50 * BA_MS;
	for (const auto &c : cases) {
		struct ba_loop *loop = ba_loop_new();
		struct end server = {{on_opened, on_frame, on_closed}, loop};
		struct end client = server;
		struct test_acceptor t = {{accept_end}, &server};
		struct wi_identity id = identity("m", WI_SOURCE, "", 1);
		struct wi_listener *l = nullptr;
		struct ba_address at;

		ASSERT_EQ(
			ba_parse_address(test_address(1, port++).c_str(), &at),
			BA_OK);
		ASSERT_EQ(wi_listen(loop, &at, &id, &limits, &t.acceptor, &l),
			  BA_OK);
		int fd = raw_connect(&at);

		ASSERT_EQ(send(fd, c.bytes.data(), c.bytes.size(), 0),
			  (ssize_t)c.bytes.size());
		ba_loop_run(loop);
		EXPECT_EQ(server.code, c.code) << c.name;
		EXPECT_EQ(server.opened, 0) << c.name;
		close(fd);

		client.send_on_open = true;
		wi_dial(loop, &at, &id, &limits, &client.handler);
		ba_loop_run(loop);
		EXPECT_EQ(server.frames, 1) << c.name;
		wi_listener_close(l);
		close_end(client);
		close_end(server);
		settle_and_free(loop);
	}
}

/*
 * The peer's host accepts the connection, but its process never sends
 * anything: TCP alone would not detect it.
 */
TEST(WiSession, SilentPeerTimesOutInHandshake)
{
	struct wi_limits limits = wi_limits_default;

	limits.handshake_timeout = 50 * BA_MS;
	EXPECT_EQ(dial_unread(22161, limits, 0), WI_PEER_SILENT);
}

void stop_when_opened(struct wi_handler *h, struct wi_session *)
{
	auto *e = (struct end *)h;

	e->opened++;
	ba_loop_stop(e->loop);
}

/* The dialling end stops running its loop once the session is open. */
TEST(SharedWiSession, FrozenPeerTimesOutWhenOpen)
{
	struct ba_loop *loop = ba_loop_new();
	struct ba_loop *frozen = ba_loop_new();
	struct end server = {{nullptr, on_frame, on_closed}, loop};
	struct end client = {{stop_when_opened, on_frame, on_closed}, frozen};
	struct test_acceptor t = {{accept_end}, &server};
	struct wi_identity id = identity("m", WI_SOURCE, "", 1);
	struct wi_limits limits = wi_limits_default;
	struct wi_listener *l = nullptr;
	struct ba_address at;

	limits.heartbeat_interval = 20 * BA_MS;
	limits.silence_timeout = 100 * BA_MS;
	ASSERT_EQ(ba_parse_address(test_address(1, 22163).c_str(), &at), BA_OK);
	ASSERT_EQ(wi_listen(loop, &at, &id, &limits, &t.acceptor, &l), BA_OK);
	std::thread dialler([&] {
		wi_dial(frozen, &at, &id, &limits, &client.handler);
		ba_loop_run(frozen);
	});
	ba_loop_run(loop);
	dialler.join();
	EXPECT_EQ(client.opened, 1);
	EXPECT_EQ(server.code, WI_PEER_SILENT);
	wi_listener_close(l);
	client.handler.frame = on_frame;
	ba_loop_run(frozen);
	EXPECT_NE(client.code, BA_OK);
	settle_and_free(loop);
	settle_and_free(frozen);
}

/* No SYN is answered; the kernel alone would retry for minutes. */
TEST(WiSession, ConnectTimesOut)
{
	struct wi_limits limits = wi_limits_default;

	limits.connect_timeout = 50 * BA_MS;
	limits.handshake_timeout = BA_HOUR;
	/* Once the accept queue is full, the kernel drops SYN packets. */
	EXPECT_EQ(dial_unread(22163, limits, 4), WI_CONNECT_FAILED);
}

TEST(WiSession, ConnectionRefused)
{
	struct ba_loop *loop = ba_loop_new();
	struct end client = {{on_opened, on_frame, on_closed}, loop};
	struct wi_identity id = identity("m", WI_DAEMON, "", 1);
	struct ba_address at;

	ASSERT_EQ(ba_parse_address(test_address(1, 22162).c_str(), &at), BA_OK);
	wi_dial(loop, &at, &id, &wi_limits_default, &client.handler);
	ba_loop_run(loop);
	EXPECT_EQ(client.code, WI_CONNECT_FAILED);
	settle_and_free(loop);
}

enum { LONG_FRAMES = 32, LONG_FRAME_BYTES = 1024 * 1024 };

/* One end that sends more than the kernel holds, then finishes. */
void send_and_finish(struct wi_handler *h, struct wi_session *s)
{
	auto *e = (struct end *)h;
	std::string text(LONG_FRAME_BYTES, 'x');

	e->opened++;
	for (int i = 0; i < LONG_FRAMES; i++)
		wi_send_packed(s, CT_QUERY, text.data(), text.size());
	wi_finish(s);
	EXPECT_EQ(wi_send_packed(s, CT_QUERY, "", 0), BA_OK);
	EXPECT_GT(wi_session_unacknowledged(s), 0u);
}

int ignore_frame(struct wi_handler *, struct wi_session *,
		 const struct wi_frame *)
{
	return BA_OK;
}

int count_frame(struct wi_handler *h, struct wi_session *s,
		const struct wi_frame *)
{
	((struct end *)h)->frames++;
	wi_send(s, CT_QUERY, nullptr);
	return BA_OK;
}

/* The peer writes while it reads, which must not reset the connection. */
TEST(WiSession, FinishDeliversWhatIsQueued)
{
	struct ba_loop *loop = ba_loop_new();
	struct end server = {{send_and_finish, ignore_frame, on_closed}, loop};
	struct end client = {{nullptr, count_frame, on_closed}, loop};
	struct test_acceptor t = {{accept_end}, &server};
	struct wi_identity id = identity("m", WI_SOURCE, "", 1);
	struct wi_listener *l = nullptr;
	struct ba_address at;

	ASSERT_EQ(ba_parse_address(test_address(1, 22165).c_str(), &at), BA_OK);
	ASSERT_EQ(
		wi_listen(loop, &at, &id, &wi_limits_default, &t.acceptor, &l),
		BA_OK);
	wi_dial(loop, &at, &id, &wi_limits_default, &client.handler);
	ba_loop_run(loop);
	EXPECT_EQ(client.frames, LONG_FRAMES + 1);
	EXPECT_EQ(client.code, WI_PEER_CLOSED);
	while (!server.code)
		ba_loop_run(loop);
	EXPECT_EQ(server.code, WI_PEER_CLOSED);
	wi_listener_close(l);
	settle_and_free(loop);
}

/* A server that is busy in its loop until @seen, or for too long. */
struct busy_server {
	struct end end; /* first */
	std::atomic<bool> seen{false};
	bool in_time = false;
};

void send_flush_and_work(struct wi_handler *h, struct wi_session *s)
{
	auto *b = (struct busy_server *)h;

	wi_send_packed(s, CT_QUERY, "", 0);
	wi_flush(s);
	for (int i = 0; i < 1000 && !b->seen; i++)
		usleep(10 * 1000);
	b->in_time = b->seen;
	wi_finish(s);
}

struct watching_client {
	struct end end; /* first */
	std::atomic<bool> *seen;
};

int note_frame(struct wi_handler *h, struct wi_session *,
	       const struct wi_frame *)
{
	*((struct watching_client *)h)->seen = true;
	return BA_OK;
}

/* The other end need not wait until the sender's loop goes on. */
TEST(SharedWiSession, FlushWritesBeforeTheEndOfTheIteration)
{
	struct ba_loop *loop = ba_loop_new();
	struct ba_loop *client_loop = ba_loop_new();
	struct busy_server server;
	struct watching_client client = {
		{{nullptr, note_frame, on_closed}, client_loop}, &server.seen};
	struct test_acceptor t = {{accept_end}, &server.end};
	struct wi_identity id = identity("m", WI_SOURCE, "", 1);
	struct wi_listener *l = nullptr;
	struct ba_address at;

	server.end = {{send_flush_and_work, ignore_frame, on_closed}, loop};
	ASSERT_EQ(ba_parse_address(test_address(1, 22166).c_str(), &at), BA_OK);
	ASSERT_EQ(
		wi_listen(loop, &at, &id, &wi_limits_default, &t.acceptor, &l),
		BA_OK);
	std::thread busy([=] { ba_loop_run(loop); });
	wi_dial(client_loop, &at, &id, &wi_limits_default, &client.end.handler);
	ba_loop_run(client_loop);
	busy.join();
	EXPECT_TRUE(server.in_time);
	wi_listener_close(l);
	settle_and_free(client_loop);
	settle_and_free(loop);
}

} // namespace
