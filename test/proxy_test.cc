#include "test/proxy_world.h"

using namespace proxy_world;

namespace
{

TEST(PxReady, NeedsAConfiguration)
{
	world w(false);
	wire ready = wire::to(READY);

	ready.say("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
	EXPECT_EQ(status(ready.message()), 503);
	w.run([&] { w.configure(); });
	ready.say("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
	EXPECT_EQ(status(ready.message()), 200);
	w.run([&] { px_stop(w.proxy); });
	ready.say("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
	EXPECT_EQ(status(ready.message()), 503);
}

/* What the backend server gets of a request, and the caller of its answer. */
TEST(PxPath, RequestAndAnswerPassUnchanged)
{
	static const struct {
		const char *name, *line, *fields, *body;
	} cases[] = {
		{"no body", "GET /look/a?b=c%20d", "X-Other: v\r\n", ""},
		{"with a length", "POST /book/x", "", "some bytes"},
		{"another method", "PUT /look/", "Accept: a, b\r\n", "z"},
	};
	world w;

	w.beat("i-1", "ready", 1);
	for (const auto &c : cases) {
		wire caller = wire::to(CALLERS);

		caller.say(request(c.line,
				   std::string(c.fields) +
					   "Connection: keep-alive, X-Hop\r\n"
					   "X-Hop: 1\r\n"
					   "X-Caller-Service: forged\r\n"
					   "X-Target-Instance: forged\r\n"
					   "caraway-service: forged\r\n",
				   c.body));
		wire backend = w.backend.accept_one();
		std::string got = backend.message();

		EXPECT_TRUE(has(got, std::string(c.line) + " HTTP/1.1\r\n"))
			<< c.name;
		EXPECT_TRUE(has(got, c.fields)) << c.name;
		EXPECT_TRUE(has(got, "X-Attempt-Id: 1\r\n"));
		EXPECT_TRUE(has(got, "X-Caller-Service: stock\r\n"));
		EXPECT_TRUE(has(got, "X-Target-Instance: i-1\r\n"));
		EXPECT_FALSE(has(got, "forged") || has(got, "X-Hop"));
		EXPECT_TRUE(std::string(got).substr(got.size() -
						    strlen(c.body)) == c.body);
		backend.say(answer(201, "the answer", "X-Own: 1\r\n"));
		std::string back = caller.message();

		EXPECT_EQ(status(back), 201);
		EXPECT_TRUE(has(back, "X-Response-Stamp: s\r\n"));
		EXPECT_TRUE(has(back, "X-Own: 1\r\n"));
		EXPECT_TRUE(has(back, "\r\n\r\nthe answer"));
		EXPECT_FALSE(has(back, "caraway"));
		backend.end();
	}
}

TEST(PxPath, ChunkedBodiesAndAnswersWithoutALength)
{
	world w;
	wire caller = wire::to(CALLERS);

	w.beat("i-1", "ready", 1);
	caller.say(request("POST /look/x", "Transfer-Encoding: chunked\r\n"));
	caller.say("3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
	wire backend = w.backend.accept_one();

	EXPECT_TRUE(has(backend.message(), "\r\n\r\nabcde"));
	backend.say("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n\r\nuntil");
	backend.say(" the end");
	backend.end();
	EXPECT_TRUE(has(caller.message(), "\r\n\r\nuntil the end"));
}

/* Refusals that need no backend server. */
TEST(PxRefusal, IsAnsweredAtOnce)
{
	static const struct {
		const char *name, *text;
		int status;
	} cases[] = {
		{"no route",
		 "GET /nowhere/ HTTP/1.1\r\nHost: a.example\r\n\r\n", 404},
		{"not below the prefix",
		 "GET /look HTTP/1.1\r\nHost: a.example\r\n\r\n", 404},
		{"another host", "GET /look/ HTTP/1.1\r\nHost: c\r\n\r\n", 404},
		{"no host", "GET /look/ HTTP/1.1\r\n\r\n", 400},
		{"two hosts",
		 "GET / HTTP/1.1\r\nHost: a.example\r\nHost: b\r\n\r\n", 400},
		{"malformed length",
		 "POST /look/ HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n"
		 "\r\nabc",
		 400},
		{"length and chunks",
		 "POST /look/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		 400},
		{"no request", "HELLO\r\n\r\n", 400},
		{"large body",
		 "POST /look/ HTTP/1.1\r\nHost: a\r\nContent-Length: 100001\r\n"
		 "\r\n",
		 413},
		{"no endpoint yet",
		 "GET /look/ HTTP/1.1\r\nHost: A.Example:80\r\n\r\n", 503},
	};
	world w;

	for (const auto &c : cases) {
		wire caller = wire::to(CALLERS);

		caller.say(c.text);
		std::string got = caller.message();

		EXPECT_EQ(status(got), c.status) << c.name << ": " << got;
		EXPECT_EQ(got.rfind("HTTP/1.1"), 0u) << c.name << ": " << got;
		EXPECT_EQ(has(got, "Retry-After: "), c.status == 503) << c.name;
	}
}

TEST(PxRefusal, LargeHead)
{
	world w;
	wire caller = wire::to(CALLERS);

	caller.say("GET /look/ HTTP/1.1\r\nHost: a.example\r\nX: " +
		   std::string(5000, 'x') + "\r\n\r\n");
	EXPECT_EQ(status(caller.message()), 431);
}

enum ending { CLOSED, RESET, HALF, OTHER_ID, GARBAGE, FAILED, SHED };

void end_answer(wire &backend, enum ending e)
{
	switch (e) {
	case CLOSED:
		backend.end();
		return;
	case RESET:
		backend.reset();
		return;
	case HALF:
		backend.say("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n"
			    "Content-Length: 9\r\n\r\nhalf");
		backend.end();
		return;
	case OTHER_ID:
		backend.say("HTTP/1.1 200 OK\r\nX-Attempt-Id: 7\r\n"
			    "Content-Length: 5\r\n\r\nother");
		return;
	case GARBAGE:
		backend.say("\x01\x02 what is this\r\n\r\n");
		return;
	case FAILED:
		backend.say(answer(500, "sorry"));
		return;
	case SHED:
		backend.say(answer(503, "", "X-Not-Executed: 1\r\n"));
		return;
	}
}

/*
 * What may have run is not repeated unless it is idempotent, and 503 is told
 * only of what has not.  Without a saved-up budget nothing is repeated.
 */
TEST(PxOutcome, OfAnAnswerThatIsNone)
{
	static const struct {
		const char *name, *path;
		enum ending ending;
		int status;
	} cases[] = {
		{"closed", "GET /book/", CLOSED, 502},
		{"closed, idempotent", "GET /look/", CLOSED, 502},
		{"reset", "GET /book/", RESET, 502},
		{"half an answer", "GET /book/", HALF, 502},
		{"half an answer, idempotent", "GET /look/", HALF, 502},
		{"another request's answer", "GET /book/", OTHER_ID, 502},
		{"garbage", "GET /book/", GARBAGE, 502},
		{"failed", "GET /book/", FAILED, 500},
		{"not run there", "GET /book/", SHED, 503},
	};
	world w;

	w.beat("i-1", "ready", 1);
	for (const auto &c : cases) {
		wire caller = wire::to(CALLERS);

		caller.say(request(c.path));
		wire backend = w.backend.accept_one();

		EXPECT_FALSE(backend.message().empty()) << c.name;
		end_answer(backend, c.ending);
		std::string got = caller.message();

		EXPECT_EQ(status(got), c.status) << c.name;
		EXPECT_FALSE(has(got, "half") || has(got, "other")) << c.name;
		backend.end();
	}
}

/* After enough answers an idempotent request is sent to another endpoint. */
TEST(PxRetry, GoesElsewhereWithinTheBudget)
{
	world w;
	listener other(OTHER);

	w.beat("i-1", "ready", 1);
	for (int i = 0; i < 12; i++) {
		wire caller = wire::to(CALLERS);

		caller.say(request("GET /look/"));
		wire backend = w.backend.accept_one();

		backend.message();
		backend.say(answer(200, "ok"));
		EXPECT_EQ(status(caller.message()), 200);
		backend.end();
	}
	w.run([&] { w.endpoints(true); });
	wire caller = wire::to(CALLERS);

	caller.say(request("GET /look/"));
	wire backend = w.backend.accept_one();

	backend.message();
	backend.reset();
	wire peer = other.accept_one();
	std::string got = peer.message();

	EXPECT_TRUE(has(got, "caraway-service: stock\r\n")) << got;
	EXPECT_TRUE(has(got, "caraway-caller: stock\r\n"));
	EXPECT_FALSE(has(got, "X-Deadline-Ms"));
	peer.say(answer(200, "second", "caraway-load: 1\r\n"));
	std::string back = caller.message();

	EXPECT_EQ(status(back), 200);
	EXPECT_TRUE(has(back, "second"));
	EXPECT_FALSE(has(back, "caraway"));
}

TEST(PxRetry, ARefusalOfAnotherProxyIsNoAttempt)
{
	world w;
	listener other(OTHER);
	wire caller = wire::to(CALLERS);

	w.run([&] { w.endpoints(true); });
	caller.say(request("GET /book/"));
	wire peer = other.accept_one();

	peer.message();
	peer.say("HTTP/1.1 503 X\r\ncaraway-not-run: 603\r\n"
		 "caraway-load: 9\r\nContent-Length: 0\r\n\r\n");
	EXPECT_EQ(status(caller.message()), 503);
}

/* A 504 of the other proxy says nothing about what ran. */
TEST(PxRetry, ATimeoutOfAnotherProxyIsNoRefusal)
{
	world w;
	wire peer = wire::to(PEERS);

	w.beat("i-1", "ready", 1);
	peer.say("GET /book/ HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: 1\r\n"
		 "caraway-service: stock\r\ncaraway-caller: other\r\n"
		 "caraway-time-left-us: 100000\r\n\r\n");
	wire backend = w.backend.accept_one();

	EXPECT_TRUE(has(backend.message(), "X-Caller-Service: other\r\n"));
	std::string got = peer.message();

	EXPECT_EQ(status(got), 504);
	EXPECT_FALSE(has(got, "caraway-not-run"));
}

TEST(PxTimeout, OfTheRouteIsAnsweredAndTheBackendIsLeft)
{
	world w;
	wire caller = wire::to(CALLERS);

	w.beat("i-1", "ready", 1);
	caller.say(request("GET /short/"));
	wire backend = w.backend.accept_one();

	EXPECT_FALSE(backend.message().empty());
	EXPECT_EQ(status(caller.message()), 504);
	EXPECT_TRUE(backend.closes());
}

TEST(PxCancel, CallerThatLeavesIsFollowed)
{
	world w;
	wire caller = wire::to(CALLERS);

	w.beat("i-1", "ready", 1);
	caller.say(request("GET /look/"));
	wire backend = w.backend.accept_one();

	EXPECT_FALSE(backend.message().empty());
	caller.end();
	EXPECT_TRUE(backend.closes());
}

/* Two slots: the third waits, and starts when one is free. */
TEST(PxGate, NeverPassesMoreThanTheSlots)
{
	world w;
	wire a = wire::to(CALLERS);
	wire b = wire::to(CALLERS);
	wire c = wire::to(CALLERS);

	w.beat("i-1", "ready", 1);
	a.say(request("GET /look/a"));
	wire first = w.backend.accept_one();

	first.message();
	b.say(request("GET /look/b"));
	wire second = w.backend.accept_one();

	second.message();
	c.say(request("GET /look/c"));
	w.run([] {});
	struct pollfd none = {w.backend.fd, POLLIN, 0};

	EXPECT_EQ(poll(&none, 1, 0), 0);
	first.say(answer(200, "a"));
	EXPECT_EQ(status(a.message()), 200);
	EXPECT_TRUE(has(first.message(), "GET /look/c"));
	first.say(answer(200, "c"));
	EXPECT_EQ(status(c.message()), 200);
	second.say(answer(200, "b"));
	EXPECT_EQ(status(b.message()), 200);
}

/* The bound of a drain starts with its acknowledgement. */
TEST(PxGate, DrainRefusesFromItsAcknowledgement)
{
	world w;
	wire caller = wire::to(CALLERS);

	EXPECT_EQ(status(w.beat("i-1", "ready", 1)), 200);
	EXPECT_EQ(status(w.beat("i-1", "draining", 2)), 200);
	caller.say(request("GET /look/"));
	EXPECT_EQ(status(caller.message()), 503);
	/* One that was said before the drain and comes after it. */
	EXPECT_EQ(status(w.beat("i-1", "ready", 1)), 200);
	caller.say(request("GET /look/"));
	EXPECT_EQ(status(caller.message()), 503);
	/* Another start of the backend server, then one of the old start. */
	EXPECT_EQ(status(w.beat("i-2", "ready", 1, 9)), 200);
	EXPECT_EQ(status(w.beat("i-1", "ready", 3, 5)), 200);
	w.run([&] { w.endpoints(false, 2); });
	caller.say(request("GET /look/"));
	wire backend = w.backend.accept_one();

	EXPECT_TRUE(has(backend.message(), "X-Target-Instance: i-2\r\n"));
	backend.say(answer(200, "ok"));
	EXPECT_EQ(status(caller.message()), 200);
	EXPECT_EQ(status(w.control("POST /v1/instances/i-2/deregister", "")),
		  200);
	caller.say(request("GET /look/"));
	EXPECT_EQ(status(caller.message()), 503);
}

TEST(PxSplit, KeepsItsSharesInShortWindows)
{
	world w;
	int taken = 0;

	w.beat("i-1", "ready", 1);
	for (int i = 0; i < 40; i++) {
		wire caller = wire::to(CALLERS);

		caller.say("GET /x HTTP/1.1\r\nHost: b.example\r\n\r\n");
		/* The part without an endpoint is refused, and not moved. */
		struct pollfd p[2] = {{w.backend.fd, POLLIN, 0},
				      {caller.fd, POLLIN, 0}};

		ASSERT_GE(poll(p, 2, WAIT_S * 1000), 1);
		if (!(p[0].revents & POLLIN)) {
			EXPECT_EQ(status(caller.message()), 503);
			continue;
		}
		wire backend = w.backend.accept_one();

		backend.message();
		backend.say(answer(200, "ok"));
		EXPECT_EQ(status(caller.message()), 200);
		taken++;
	}
	EXPECT_NEAR(taken, 30, 1);
}

/* Its turn on the link comes after the time that a silent caller has. */
TEST(PxPath, AnAnswerIsSentToItsEndOverASlowLink)
{
	const std::string body(33000, 'b');
	world w(true, 4000);

	w.beat("i-1", "ready", 1);
	wire caller = wire::to(CALLERS);

	caller.say(request("GET /look/a", "Connection: close\r\n"));
	wire backend = w.backend.accept_one();

	backend.message();
	backend.say(answer(200, body));
	EXPECT_TRUE(has(caller.message(), body));
}

/* The answer is read from the backend server long before it is sent. */
TEST(PxStop, WaitsForAnswersThatAreNotSent)
{
	const std::string body(40000, 'b');
	world w(true, 20000);
	unsigned int left = 0;

	w.beat("i-1", "ready", 1);
	wire caller = wire::to(CALLERS);

	caller.say(request("GET /look/a"));
	wire backend = w.backend.accept_one();

	backend.message();
	backend.say(answer(200, body));
	caller.more();
	w.run([&] {
		px_stop(w.proxy);
		left = px_in_progress(w.proxy);
	});
	EXPECT_EQ(left, 1U);
	EXPECT_TRUE(has(caller.message(), body));
	w.run([&] { left = px_in_progress(w.proxy); });
	EXPECT_EQ(left, 0U);
}

TEST(PxStop, LateRequestsAreRefusedAndOthersGetAFinalAnswer)
{
	world w;
	wire early = wire::to(CALLERS);
	wire late = wire::to(CALLERS);

	w.beat("i-1", "ready", 1);
	early.say(request("GET /book/"));
	wire backend = w.backend.accept_one();

	EXPECT_FALSE(backend.message().empty());
	w.run([&] {
		px_stop(w.proxy);
		px_close(w.proxy);
	});
	late.say(request("GET /book/"));
	std::string got = late.message();

	EXPECT_EQ(status(got), 503);
	EXPECT_TRUE(has(got, "Connection: close\r\n"));
	w.run([&] { px_finish(w.proxy); });
	EXPECT_EQ(status(early.message()), 502);
}

} // namespace
