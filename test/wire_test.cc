#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstring>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

#include "base/ba_result.h"
#include "wire/ct.pb-c.h"
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

/* Two ends on one loop; the first event of interest stops it. */
struct end {
	struct wi_handler handler;
	struct ba_loop *loop;
	int opened;
	int frames;
	int code;
	bool stop_on_open;
};

struct taker {
	struct wi_acceptor acceptor;
	struct end *end;
};

void on_opened(struct wi_handler *h, struct wi_session *s)
{
	auto *e = (struct end *)h;

	e->opened++;
	if (e->stop_on_open)
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
	ba_loop_stop(e->loop);
}

struct wi_handler *accept_end(struct wi_acceptor *a, struct wi_session *)
{
	return &((struct taker *)a)->end->handler;
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
	int port = 42101;

	for (const auto &c : cases) {
		struct ba_loop *loop = ba_loop_new();
		struct end server = {
			{on_opened, on_frame, on_closed}, loop, 0, 0, 0, false};
		struct end client = server;
		struct taker t = {{accept_end}, &server};
		struct wi_identity sid = identity("m", WI_SOURCE, "", 1);
		struct wi_identity cid =
			identity(c.mesh, c.role, c.key_id, c.key);
		struct wi_listener *l = nullptr;
		struct ba_address at;
		std::string text = test_address(1, port++);

		client.stop_on_open = true;
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
		ba_loop_free(loop);
	}
}

} // namespace
