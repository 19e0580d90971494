/*
 * What a caller gets for each answer of a faulty backend server, from the proxy
 * beside it and from one that got the answer from another proxy.
 */
#include "test/answer_cases.h"
#include "test/proxy_world.h"

using namespace proxy_world;

namespace
{

/* What the caller gets if the server at @at answers its request with @bytes. */
std::string relay(listener &at, const std::string &bytes, bool ends,
		  const char *line = "GET /book/")
{
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	caller.write(request(line, "Connection: close\r\n"));
	blocking_socket server = at.accept_one();

	EXPECT_FALSE(server.read_message().empty());
	server.write(bytes);
	if (ends)
		shutdown(server.fd, SHUT_WR);
	return caller.read_rest();
}

/* The body of an answer that has a length, is in chunks or has no body. */
std::string body_of(const std::string &message)
{
	size_t head = message.find("\r\n\r\n");

	return head == std::string::npos ? "" : message.substr(head + 4);
}

/* A proxy whose requests go to a server beside it, or to another proxy. */
struct served_world : world {
	listener peer{OTHER_PROXY_PORT};
	bool via_peer;

	explicit served_world(bool via_peer) : via_peer(via_peer)
	{
		if (via_peer)
			run([this] { endpoints(true); });
		else
			send_heartbeat("i-1", "ready", 1);
	}

	std::string answer_with(const std::string &bytes, bool ends)
	{
		return relay(via_peer ? peer : backend, bytes, ends);
	}
};

/*
 * A broken answer is not reported as "not run": the request may have run.  No
 * byte of it reaches the caller.
 */
TEST(PxAnswer, ImproperOnesReachNobody)
{
	for (bool via_peer : {false, true}) {
		served_world w(via_peer);

		for (const auto &c : improper_answers) {
			std::string got = w.answer_with(c.bytes, c.ends);

			EXPECT_EQ(status(got), 502) << c.name << via_peer;
			EXPECT_FALSE(has(got, "body")) << c.name << via_peer;
			EXPECT_FALSE(has(got, "X-A")) << c.name << via_peer;
		}
	}
}

TEST(PxAnswer, ProperOnesOfOddFormPass)
{
	for (bool via_peer : {false, true}) {
		served_world w(via_peer);

		for (const auto &c : proper_answers) {
			std::string got = w.answer_with(c.bytes, c.ends);

			EXPECT_EQ(status(got), c.status) << c.name << via_peer;
			EXPECT_EQ(body_of(got), c.body) << c.name << via_peer;
			EXPECT_FALSE(has(got, "X-Sum")) << c.name << via_peer;
			EXPECT_FALSE(has(got, "Id: 2")) << c.name << via_peer;
		}
	}
}

/*
 * An answer without a body bears the length that GET would get, if any: the
 * proxy made it 0 where it was not stated.
 */
TEST(PxAnswer, LengthOfAnAnswerWithoutABodyIsNotMadeUp)
{
	static const struct {
		const char *line, *status, *length;
		bool stated;
	} cases[] = {
		{"HEAD /look/", "200 OK", "", false},
		{"HEAD /look/", "200 OK", "Content-Length: 4\r\n", true},
		{"HEAD /look/", "200 OK", "Content-Length: 0\r\n", true},
		{"GET /look/", "304 Not Modified", "", false},
		{"GET /look/", "304 Not Modified", "Content-Length: 4\r\n",
		 true},
		{"GET /look/", "204 No Content", "", false},
		{"GET /look/", "204 No Content", "Content-Length: 0\r\n",
		 false},
	};
	world w;

	w.send_heartbeat("i-1", "ready", 1);
	for (const auto &c : cases) {
		std::string got = relay(w.backend,
					std::string("HTTP/1.1 ") + c.status +
						"\r\nX-Attempt-Id: 1\r\n" +
						c.length + "\r\n",
					false, c.line);

		EXPECT_EQ(got.substr(9, 3), std::string(c.status).substr(0, 3));
		EXPECT_EQ(has(got, "Content-Length"), c.stated)
			<< c.line << c.status << c.length;
		EXPECT_EQ(c.stated && has(got, c.length), c.stated)
			<< c.line << c.status << c.length;
		EXPECT_FALSE(has(got, "chunked")) << c.line << c.status;
	}
}

/*
 * A request that may run again is sent to another endpoint, whose answer its
 * caller gets, while the retry budget lasts; any other one is not.
 */
TEST(PxAnswer, ImproperOnesAreReplacedWhereTheRouteAllows)
{
	static const struct {
		const char *name;
		std::string bytes;
	} cases[] = {
		{"status", with_status_line("HTTP/1.1 000 X")},
		{"field", with_field("X A: v")},
		{"framing", with_framing("Transfer-Encoding: gzip\r\n", "")},
		{"chunk", with_chunks("4\r\nbodyXX0\r\n\r\n")},
		{"trailer", with_chunks("0\r\nX A: v\r\n\r\n")},
		{"end", "HTTP/1.1 200 OK\r\nContent-Len"},
		{"names", "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n"
			  "X-Attempt-Id: 2\r\nContent-Length: 0\r\n\r\n"},
	};

	for (const char *line : {"GET /look/", "GET /book/"})
		for (const auto &c : cases) {
			world w;
			listener other(OTHER_PROXY_PORT);
			bool again = has(line, "look");

			w.send_heartbeat("i-1", "ready", 1);
			for (int i = 0; i < 21; i++)
				relay(w.backend, answer(200, ""), false, line);
			w.run([&] { w.endpoints(true); });
			blocking_socket caller =
				blocking_socket::connect_to(CALLER_PORT);

			caller.write(request(line));
			blocking_socket backend = w.backend.accept_one();

			backend.read_message();
			backend.write(c.bytes);
			backend.end();
			if (again) {
				blocking_socket peer = other.accept_one();

				peer.read_message();
				peer.write(answer(200, "second"));
			}
			std::string got = caller.read_message();

			EXPECT_EQ(status(got), again ? 200 : 502) << c.name;
			EXPECT_EQ(has(got, "second"), again) << c.name;
		}
}

/* Whose an answer is, and whether the request ran, must be clear. */
TEST(PxAnswer, ContradictoryOnesReachNobody)
{
	static const struct {
		const char *name, *status, *fields;
		int expected;
	} cases[] = {
		{"own id", "200 OK", "X-Attempt-Id: 1\r\n", 200},
		{"own id twice", "200 OK",
		 "X-Attempt-Id: 1\r\nX-Attempt-Id: 1\r\n", 200},
		{"own id and another", "200 OK",
		 "X-Attempt-Id: 1\r\nX-Attempt-Id: 7\r\n", 502},
		{"another id and the own", "200 OK",
		 "X-Attempt-Id: 7\r\nX-Attempt-Id: 1\r\n", 502},
		{"ids in a list", "200 OK", "X-Attempt-Id: 1, 7\r\n", 502},
		{"empty id", "200 OK", "X-Attempt-Id:\r\n", 502},
		{"success that did not run", "200 OK",
		 "X-Attempt-Id: 1\r\nX-Not-Executed: 1\r\n", 502},
		{"redirection that did not run", "302 Found",
		 "X-Attempt-Id: 1\r\nX-Not-Executed: 1\r\n", 502},
		{"rejection", "503 Full",
		 "X-Attempt-Id: 1\r\nX-Not-Executed: 1\r\n", 503},
	};

	for (const auto &c : cases) {
		world w;

		w.send_heartbeat("i-1", "ready", 1);
		std::string got =
			relay(w.backend,
			      std::string("HTTP/1.1 ") + c.status + "\r\n" +
				      c.fields + "Content-Length: 0\r\n\r\n",
			      false);

		EXPECT_EQ(status(got), c.expected) << c.name;
	}
}

/*
 * A faulty backend server writes an earlier refusal once more on a kept
 * connection.  The request that runs there is not reported as "not run", and
 * is tried nowhere else.
 */
TEST(PxAnswer, RefusalOfAnEarlierRequestIsNotBelieved)
{
	static const std::string unnamed =
		"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
		"Content-Length: 0\r\n\r\n";
	static const std::string named =
		answer(503, "", "X-Not-Executed: 1\r\n");
	static const std::string other_status =
		answer(421, "", "X-Not-Executed: 1\r\n");
	static const std::string own = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 2\r\n"
				       "Content-Length: 4\r\n\r\nbody";
	static const std::string own_refusal =
		"HTTP/1.1 503 Full\r\nX-Attempt-Id: 2\r\n"
		"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
	static const struct {
		const char *name;
		std::string first, second;
		int expected;
	} cases[] = {
		{"named, then the answer", named, named + own, 200},
		{"of another status, then the answer", other_status,
		 other_status + own, 200},
		{"twice, then the answer", named, named + named + own, 200},
		{"without its name, then the answer", named, unnamed + own,
		 200},
		{"named, and no answer", named, named, 504},
		{"without its name, and no answer", named, unnamed, 504},
		{"named, then the own refusal", named, named + own_refusal,
		 503},
	};
	world w;

	w.send_heartbeat("i-1", "ready", 1);
	for (const char *line : {"POST /book/1", "GET /look/1"})
		for (const auto &c : cases) {
			blocking_socket caller =
				blocking_socket::connect_to(CALLER_PORT);

			caller.write(request(line));
			blocking_socket backend = w.backend.accept_one();

			backend.read_message();
			backend.write(c.first);
			EXPECT_EQ(status(caller.read_message()), 503) << c.name;
			caller.write(std::string(line) +
				     " HTTP/1.1\r\nHost: a.example\r\n"
				     "X-Attempt-Id: 2\r\n"
				     "X-Deadline-Ms: 300\r\n\r\n");
			EXPECT_TRUE(has(backend.read_message(), "Id: 2"))
				<< c.name;
			backend.write(c.second);
			std::string got = caller.read_message();

			EXPECT_EQ(status(got), c.expected) << c.name << line;
			EXPECT_EQ(has(got, "body"), c.expected == 200)
				<< c.name << line;
			backend.end();
		}
}

/*
 * A refusal that ends in bytes that are no answer tells nothing; one that is cut
 * off has told that the request did not run.
 */
TEST(PxAnswer, ImproperRefusalIsNotBelieved)
{
	static const struct {
		const char *name;
		std::string rest;
		bool ends;
		int expected;
	} cases[] = {
		{"whole", "Content-Length: 4\r\n\r\nfull", false, 503},
		{"cut off", "Content-Length: 4\r\n\r\nfu", true, 503},
		{"cut off in the head", "Content-Len", true, 502},
		{"broken chunk",
		 "Transfer-Encoding: chunked\r\n\r\n4\r\nfullXX\r\n", false,
		 502},
		{"broken trailer",
		 "Transfer-Encoding: chunked\r\n\r\n0\r\nX A: v\r\n\r\n", false,
		 502},
		{"broken field", "X A: v\r\nContent-Length: 0\r\n\r\n", false,
		 502},
		{"two lengths",
		 "Content-Length: 0\r\nContent-Length: 4\r\n\r\n", false, 502},
	};

	for (const auto &c : cases) {
		world w;

		w.send_heartbeat("i-1", "ready", 1);
		std::string got =
			relay(w.backend,
			      "HTTP/1.1 503 Full\r\nX-Attempt-Id: 1\r\n"
			      "X-Not-Executed: 1\r\n" +
				      c.rest,
			      c.ends);

		EXPECT_EQ(status(got), c.expected) << c.name;
	}
}

/*
 * A caller of HTTP/1.0 gets no chunks: the end of its connection ends a body of
 * unknown length, unless the connection is reset.
 */
TEST(PxAnswer, BrokenOneIsNotWholeToACallerOfHttp10)
{
	const std::string part(200000, 'p');

	for (bool whole : {false, true}) {
		world w;
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		w.send_heartbeat("i-1", "ready", 1);
		caller.write("GET /look/ HTTP/1.0\r\nHost: a.example\r\n"
			     "X-Attempt-Id: 1\r\n\r\n");
		blocking_socket backend = w.backend.accept_one();

		backend.read_message();
		backend.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n"
			      "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" +
			      part + "\r\n" + (whole ? "0\r\n\r\n" : ""));
		backend.end();
		std::string got;
		char buffer[65536];
		ssize_t n;

		while ((n = recv(caller.fd, buffer, sizeof(buffer), 0)) > 0)
			got.append(buffer, (size_t)n);
		EXPECT_EQ(n, whole ? 0 : -1);
		EXPECT_TRUE(whole || errno == ECONNRESET) << errno;
		EXPECT_FALSE(has(got, "chunked"));
		if (!whole)
			continue;
		EXPECT_EQ(status(got), 200);
		EXPECT_TRUE(body_of(got) == part);
	}
}

} // namespace
