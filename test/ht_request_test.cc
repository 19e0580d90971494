#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "http/ht_request.h"
#include "test/proxy_world.h"
#include "test/request_cases.h"

using namespace proxy_world;

namespace
{

enum { HEAD_LIMIT_BYTES = 4096 };

/* A request as the reader saw it. */
struct reading {
	bool complete = false;
	enum ht_flaw flaw = HT_FLAW_NONE;
	std::string method, target, fields, body;
	size_t used = 0;
};

/* Reads @bytes in pieces of @size. */
reading read_in_pieces(const std::string &bytes, size_t size)
{
	struct ht_head head = {};
	struct ht_message m = {};
	struct ht_bytes body = {};
	enum ht_step step = HT_STEP_MORE;
	reading r;

	m.head = &head;
	m.head_limit = HEAD_LIMIT_BYTES;
	ht_request_begin(&m);
	while (step == HT_STEP_MORE && r.used < bytes.size()) {
		std::string piece = bytes.substr(r.used, size);
		struct ht_bytes in = {piece.data(), piece.size()};

		while ((step = ht_message_read(&m, &in, &body)) ==
			       HT_STEP_HEAD ||
		       step == HT_STEP_BODY) {
			if (step == HT_STEP_BODY) {
				r.body.append(body.data, body.len);
				continue;
			}
			r.method = head.method;
			r.target = ht_head_target(&head);
			for (size_t i = 0; i < head.n_fields; i++)
				r.fields +=
					std::string(ht_head_name(&head, i)) +
					"=" + ht_head_value(&head, i) + "\n";
		}
		r.used += piece.size() - in.len;
	}
	r.complete = step == HT_STEP_END;
	r.flaw = m.flaw;
	ht_message_free(&m);
	ht_head_free(&head);
	return r;
}

TEST(HtRequest, ProperOnesAreRead)
{
	for (const auto &c : proper_requests)
		for (size_t size : {1, 2, 7, 65536}) {
			reading r = read_in_pieces(c.bytes + "GET /", size);

			EXPECT_TRUE(r.complete) << c.name << size;
			EXPECT_EQ(r.method, c.method) << c.name << size;
			EXPECT_EQ(r.target, c.target) << c.name << size;
			EXPECT_EQ(r.body, c.body) << c.name << size;
			EXPECT_EQ(r.used, c.bytes.size()) << c.name << size;
			EXPECT_EQ(r.fields.find("Id=2"), std::string::npos);
		}
}

TEST(HtRequest, ImproperOnesHaveAFlaw)
{
	for (const auto &c : improper_requests)
		for (size_t size : {1, 2, 7, 65536}) {
			reading r = read_in_pieces(c.bytes, size);

			EXPECT_FALSE(r.complete) << c.name << size;
			EXPECT_NE(r.flaw, HT_FLAW_NONE) << c.name << size;
			EXPECT_EQ(r.flaw == HT_FLAW_TOO_LARGE, c.status == 431)
				<< c.name << size;
		}
}

/*
 * What is read does not depend on how the bytes arrive; the flaw that is met
 * first may.
 */
TEST(HtRequest, PiecesMakeNoDifference)
{
	std::vector<std::string> all;

	for (const auto &c : proper_requests)
		all.push_back(c.bytes);
	for (const auto &c : improper_requests)
		all.push_back(c.bytes);
	EXPECT_TRUE(rc::check("a changed request, in pieces", [&] {
		std::string bytes = *rc::gen::elementOf(all);
		size_t at = *rc::gen::inRange<size_t>(0, bytes.size());

		bytes[at] = *rc::gen::element(' ', '\r', '\n', ':', '\0', '0',
					      ';', 'a');
		size_t size = *rc::gen::inRange<size_t>(1, 40);

		reading pieces = read_in_pieces(bytes, size);
		reading whole = read_in_pieces(bytes, bytes.size());

		RC_ASSERT(pieces.complete == whole.complete);
		RC_ASSERT(pieces.method == whole.method);
		RC_ASSERT(pieces.target == whole.target);
		RC_ASSERT(pieces.fields == whole.fields);
		RC_ASSERT(pieces.body == whole.body);
	}));
}

/* Neither a flawed request nor what stands behind it reaches a backend server. */
TEST(PxRequest, ImproperOnesAndWhatFollowsAreNotRun)
{
	world w;
	const std::string next = request("POST /book/", "X-Behind: 1\r\n", "b");
	struct pollfd backend = {w.backend.fd, POLLIN, 0};

	w.send_heartbeat("i-1", "ready", 1);
	while (poll(&backend, 1, 0) == 1)
		w.backend.accept_one().end();
	for (const auto &c : improper_requests) {
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		caller.write(c.bytes);
		if (c.bytes.size() > 4) /* else it may be cut within */
			send(caller.fd, next.data(), next.size(), MSG_NOSIGNAL);
		EXPECT_EQ(status(caller.read_message()), c.status) << c.name;
		EXPECT_TRUE(caller.is_closed_by_peer()) << c.name;
		EXPECT_EQ(poll(&backend, 1, 0), 0) << c.name;
	}
}

TEST(PxRequest, ImproperOnesAreRefusedOnThePortOfHeartbeats)
{
	world w;

	for (const auto &c : improper_requests) {
		blocking_socket s = blocking_socket::connect_to(HEARTBEAT_PORT);

		if (c.status != 400)
			continue;
		s.write(c.bytes);
		EXPECT_EQ(status(s.read_message()), 400) << c.name;
		EXPECT_TRUE(s.is_closed_by_peer()) << c.name;
	}
}

/* Pipelined requests run one after the other, each with its own body. */
TEST(PxRequest, ProperOnesPass)
{
	world w;

	w.send_heartbeat("i-1", "ready", 1);
	for (const auto &c : proper_requests) {
		if (strncmp(c.target, "/look/", 6) != 0)
			continue;
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		caller.write(c.bytes + request("GET /look/second"));
		for (bool second : {false, true}) {
			blocking_socket b = w.backend.accept_one();
			std::string got = b.read_message();

			b.write(answer(200, "ok", "Connection: close\r\n"));
			EXPECT_EQ(has(got, "/look/second"), second) << c.name;
			EXPECT_TRUE(second || has(got, c.body)) << c.name;
			EXPECT_FALSE(has(got, "X-Sum")) << c.name;
			EXPECT_EQ(status(caller.read_message()), 200) << c.name;
			if (has(c.bytes, "HTTP/1.0"))
				break;
		}
	}
}

} // namespace
