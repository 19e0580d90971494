#include "test/proxy_world.h"

using namespace proxy_world;

namespace
{

/* The same request, sent by callers of this proxy and by another proxy. */
const char *const of_peer = "caraway-service: stock\r\n"
			    "caraway-caller: stock\r\n"
			    "caraway-time-left-us: 5000000\r\n"
			    "caraway-route: look\r\n";

struct crash_world : world {
	int starts = 0;

	crash_world()
	{
		start_backend();
	}

	/* Starts the backend server anew; its heartbeat says so. */
	void start_backend()
	{
		if (backend.fd < 0)
			backend.start(BACKEND_PORT);
		starts++;
		send_heartbeat("i-" + std::to_string(starts), "ready", 1,
			       starts, 4);
	}

	/* Sends @text to @port and returns what it is answered. */
	static std::string ask(const std::string &text, int port = CALLER_PORT)
	{
		blocking_socket s = blocking_socket::connect_to(port);

		s.write(text);
		return s.read_message();
	}

	/* The backend server crashes while it runs @text only. */
	std::vector<struct ep_mark> crash(const std::string &text,
					  int port = CALLER_PORT)
	{
		blocking_socket s = blocking_socket::connect_to(port);
		int before = n_reports;

		s.write(text);
		blocking_socket b = backend.accept_one();

		EXPECT_FALSE(b.read_message().empty());
		backend.stop();
		b.end();
		std::string back = s.read_message();

		EXPECT_EQ(status(back), port == CALLER_PORT ? 502 : 0);
		return wait_for_report(before + 1);
	}

	void convict(const std::string &text)
	{
		for (int i = 0; i < 3; i++) {
			crash(text);
			start_backend();
		}
	}

	/* The backend server answers @text. */
	void serve(const std::string &text, int port = CALLER_PORT)
	{
		blocking_socket s = blocking_socket::connect_to(port);

		s.write(text);
		blocking_socket b = backend.accept_one();

		EXPECT_FALSE(b.read_message().empty());
		b.write(answer(200, "ok"));
		EXPECT_EQ(status(s.read_message()), 200);
	}

	/* No report comes, and what was heard of is not forgotten. */
	void expect_no_report()
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(300));
		std::lock_guard<std::mutex> g(lock);

		EXPECT_EQ(n_reports, 0);
	}
};

std::string get(const std::string &path, const std::string &fields = "",
		const std::string &body = "")
{
	return request("GET " + path, fields, body);
}

TEST(PxCrash, ThreeCrashesConvict)
{
	static const struct {
		const char *name, *text;
		bool refused;
	} cases[] = {
		{"other path",
		 "GET /look/other HTTP/1.1\r\nHost: a.example\r\n"
		 "X-Attempt-Id: 1\r\n\r\n",
		 false},
		{"other query",
		 "GET /look/bad?x HTTP/1.1\r\nHost: a.example\r\n"
		 "X-Attempt-Id: 1\r\n\r\n",
		 false},
		{"other method",
		 "PUT /look/bad HTTP/1.1\r\nHost: a.example\r\n"
		 "X-Attempt-Id: 1\r\n\r\n",
		 false},
		{"a body",
		 "GET /look/bad HTTP/1.1\r\nHost: a.example\r\n"
		 "X-Attempt-Id: 1\r\nContent-Length: 1\r\n\r\nx",
		 false},
		{"other id and fields, host with a port",
		 "GET /look/bad HTTP/1.1\r\nHost: A.example:80\r\n"
		 "X-Attempt-Id: 2\r\nX-Other: 1\r\n\r\n",
		 true},
	};
	crash_world w;
	std::string got;

	w.convict(get("/look/bad"));
	got = crash_world::ask(get("/look/bad"));
	EXPECT_EQ(status(got), 503);
	EXPECT_TRUE(has(got, "\"code\":621,")) << got;
	EXPECT_TRUE(has(got, "Retry-After: 30.")) << got;
	for (const auto &c : cases) {
		if (c.refused)
			EXPECT_EQ(status(crash_world::ask(c.text)), 503)
				<< c.name;
		else
			w.serve(c.text);
	}
}

/* The other proxy states the caller and gets the code of the refusal. */
TEST(PxCrash, IsTheSameRequestBesideTheEndpoint)
{
	std::string other_caller = of_peer;
	crash_world w;
	std::vector<struct ep_mark> m = w.crash(get("/look/bad"));

	ASSERT_EQ(m.size(), (size_t)1);
	EXPECT_EQ(m[0].crashes, 1u);
	w.start_backend();
	m = w.crash(get("/look/bad", of_peer), PEER_PORT);
	ASSERT_EQ(m.size(), (size_t)1);
	EXPECT_EQ(m[0].crashes, 2u);
	EXPECT_FALSE(m[0].convicted);
	w.start_backend();
	m = w.crash(get("/look/bad", of_peer), PEER_PORT);
	ASSERT_EQ(m.size(), (size_t)1);
	EXPECT_TRUE(m[0].convicted);
	w.start_backend();
	std::string got =
		crash_world::ask(get("/look/bad", of_peer), PEER_PORT);

	EXPECT_EQ(status(got), 503);
	EXPECT_TRUE(has(got, "caraway-not-run: 621\r\n")) << got;
	other_caller.replace(other_caller.find("caller: stock"), 13,
			     "caller: other");
	w.serve(get("/look/bad", other_caller), PEER_PORT);
}

/* Each of these ends is no crash, however often it comes. */
TEST(PxCrash, EndOfAConnectionIsNone)
{
	static const struct {
		const char *name, *bytes;
		bool reset;
	} cases[] = {
		{"reset", "", true},
		{"closed", "", false},
		{"half an answer",
		 "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n", false},
		{"garbage", "no answer\r\n\r\n", false},
		{"not run",
		 "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n"
		 "X-Attempt-Id: 1\r\nContent-Length: 9\r\n\r\n",
		 false},
	};
	crash_world w;

	for (const auto &c : cases)
		for (int i = 0; i < 4; i++) {
			blocking_socket s =
				blocking_socket::connect_to(CALLER_PORT);

			s.write(get("/look/good"));
			blocking_socket b = w.backend.accept_one();

			EXPECT_FALSE(b.read_message().empty()) << c.name;
			b.write(c.bytes);
			if (c.reset)
				b.reset();
			else
				b.end();
			EXPECT_GE(status(s.read_message()), 502) << c.name;
		}
	w.expect_no_report();
	w.serve(get("/look/good"));
}

/* It refuses a request, then it crashes while another one runs. */
TEST(PxCrash, RequestsThatWereNotRunAreNotBlamed)
{
	crash_world w;
	blocking_socket first = blocking_socket::connect_to(CALLER_PORT);
	blocking_socket second = blocking_socket::connect_to(CALLER_PORT);
	std::vector<struct ep_mark> m;

	first.write(get("/look/refused"));
	blocking_socket b1 = w.backend.accept_one();

	b1.read_message();
	second.write(get("/look/bad"));
	blocking_socket b2 = w.backend.accept_one();

	b2.read_message();
	b1.write("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: 1\r\n"
		 "Content-Length: 9\r\n\r\nhalf");
	w.backend.stop();
	b1.end();
	b2.end();
	EXPECT_EQ(status(first.read_message()), 503);
	EXPECT_EQ(status(second.read_message()), 502);
	m = w.wait_for_report(1);
	EXPECT_EQ(m.size(), (size_t)1);
}

/* All that was running is in one report; what was queued is not. */
TEST(PxCrash, CountsWhatWasRunning)
{
	crash_world w;
	std::vector<blocking_socket> callers, conns;
	std::vector<struct ep_mark> m;

	for (int i = 0; i < 6; i++) {
		callers.push_back(blocking_socket::connect_to(CALLER_PORT));
		callers.back().write(get("/look/" + std::to_string(i)));
		if (i >= 4)
			continue;
		conns.push_back(w.backend.accept_one());
		EXPECT_FALSE(conns.back().read_message().empty());
	}
	w.backend.stop();
	conns.clear();
	m = w.wait_for_report(1);
	EXPECT_EQ(m.size(), (size_t)4);
	for (const struct ep_mark &k : m)
		EXPECT_EQ(k.crashes, 1u);
}

/* The backend server goes on with what its caller has given up. */
TEST(PxCrash, CountsWhatCallersGaveUp)
{
	crash_world w;
	blocking_socket other = blocking_socket::connect_to(CALLER_PORT);
	std::vector<struct ep_mark> m;

	other.write(get("/look/good"));
	blocking_socket b1 = w.backend.accept_one();

	EXPECT_FALSE(b1.read_message().empty());
	blocking_socket s = blocking_socket::connect_to(CALLER_PORT);

	s.write(get("/look/bad"));
	blocking_socket b2 = w.backend.accept_one();

	EXPECT_FALSE(b2.read_message().empty());
	s.end();
	/* The proxy ends its connection too. */
	EXPECT_TRUE(b2.read_message().empty());
	w.backend.stop();
	b1.end();
	EXPECT_EQ(status(other.read_message()), 502);
	m = w.wait_for_report(1);
	EXPECT_EQ(m.size(), (size_t)2);
}

/* So does it with what has run out of time. */
TEST(PxCrash, CountsWhatRanOutOfTime)
{
	crash_world w;
	std::vector<struct ep_mark> m;
	blocking_socket s = blocking_socket::connect_to(CALLER_PORT);

	s.write(get("/short/bad"));
	blocking_socket b = w.backend.accept_one();

	EXPECT_FALSE(b.read_message().empty());
	EXPECT_EQ(status(s.read_message()), 504);
	w.backend.stop();
	b.end();
	w.start_backend();
	m = w.wait_for_report(1);
	EXPECT_EQ(m.size(), (size_t)1);
}

/* A planned end with requests in progress is no crash. */
TEST(PxCrash, EndOfADrainingBackendServerIsNone)
{
	crash_world w;
	blocking_socket s = blocking_socket::connect_to(CALLER_PORT);

	s.write(get("/look/good"));
	blocking_socket b = w.backend.accept_one();

	b.read_message();
	w.send_heartbeat("i-1", "draining", 2, 1, 4);
	w.backend.stop();
	b.end();
	EXPECT_EQ(status(s.read_message()), 502);
	w.expect_no_report();
}

/* So quick that no connection is refused. */
TEST(PxCrash, HeartbeatOfANewStartConfirms)
{
	crash_world w;
	blocking_socket s = blocking_socket::connect_to(CALLER_PORT);
	std::vector<struct ep_mark> m;

	s.write(get("/look/bad"));
	blocking_socket b = w.backend.accept_one();

	b.read_message();
	b.end();
	EXPECT_EQ(status(s.read_message()), 502);
	w.send_heartbeat("i-2", "ready", 1, 2, 4);
	m = w.wait_for_report(1);
	EXPECT_EQ(m.size(), (size_t)1);
}

/* One witness that knows the conviction is enough. */
TEST(PxCrash, ReportsOfOthersConvict)
{
	crash_world w;
	uint64_t digest = w.crash(get("/look/bad"))[0].request;

	w.start_backend();
	w.others["p8"] = {{digest, 1, 0, true}};
	w.run([&] { w.endpoints(false); });
	EXPECT_EQ(status(crash_world::ask(get("/look/bad"))), 503);
	w.others["p9"] = {{digest, 0, 1, false}};
	w.run([&] { w.endpoints(false); });
	w.serve(get("/look/bad"));
}

TEST(PxCrash, AnAnswerAcquits)
{
	crash_world w;
	std::vector<struct ep_mark> m;
	int before;

	w.crash(get("/look/rare"));
	w.start_backend();
	w.crash(get("/look/rare"));
	w.start_backend();
	before = w.n_reports;
	w.serve(get("/look/rare"));
	m = w.wait_for_report(before + 1);
	ASSERT_EQ(m.size(), (size_t)1);
	EXPECT_EQ(m[0].acquittals, 1u);
	w.crash(get("/look/rare"));
	w.start_backend();
	w.serve(get("/look/rare"));
}

/* The other proxy refuses it; this one does not send it again. */
TEST(PxCrash, LearnsFromTheRefusalOfAnotherProxy)
{
	crash_world w;
	listener other(OTHER_PROXY_PORT);
	std::string got;

	w.send_heartbeat("i-1", "draining", 2, 1, 4);
	w.run([&] { w.endpoints(true); });
	blocking_socket s = blocking_socket::connect_to(CALLER_PORT);

	s.write(get("/look/bad"));
	blocking_socket peer = other.accept_one();

	peer.read_message();
	peer.write("HTTP/1.1 503 X\r\ncaraway-not-run: 621\r\n"
		   "caraway-load: 0\r\nContent-Length: 0\r\n\r\n");
	got = s.read_message();
	EXPECT_EQ(status(got), 503);
	EXPECT_TRUE(has(got, "\"code\":621,")) << got;
	/* Answered without asking anybody: nothing more is read there. */
	got = crash_world::ask(get("/look/bad"));
	EXPECT_TRUE(has(got, "\"code\":621,")) << got;
}

/* It waits for a slot when the conviction arrives. */
TEST(PxCrash, QueuedRequestIsRefusedAtItsTurn)
{
	crash_world w;
	uint64_t digest = w.crash(get("/look/bad"))[0].request;
	std::vector<blocking_socket> callers, conns;
	std::string got;

	w.start_backend();
	for (int i = 0; i < 4; i++) {
		callers.push_back(blocking_socket::connect_to(CALLER_PORT));
		callers.back().write(get("/look/" + std::to_string(i)));
		conns.push_back(w.backend.accept_one());
		conns.back().read_message();
	}
	blocking_socket waits = blocking_socket::connect_to(PEER_PORT);

	waits.write(get("/look/bad", of_peer));
	std::this_thread::sleep_for(std::chrono::milliseconds(50));
	w.others["p8"] = {{digest, 1, 0, true}};
	w.run([&] { w.endpoints(false); });
	conns[0].write(answer(200, "ok"));
	EXPECT_EQ(status(callers[0].read_message()), 200);
	got = waits.read_message();
	EXPECT_TRUE(has(got, "caraway-not-run: 621\r\n")) << got;
	/* The slot is free again. */
	callers[0].write(get("/look/next"));
	EXPECT_TRUE(has(conns[0].read_message(), "/look/next"));
}

/*
 * The first attempt may have run, and the request is convicted before the
 * second one: the caller is not told that it was not run.
 */
TEST(PxCrash, ConvictedBetweenTwoAttemptsMayHaveRun)
{
	crash_world w;
	listener other(OTHER_PROXY_PORT);
	std::string got;

	for (int i = 0; i < 20; i++)
		w.serve(get("/look/" + std::to_string(i)));
	w.run([&] { w.endpoints(true); });
	blocking_socket s = blocking_socket::connect_to(CALLER_PORT);

	s.write(get("/look/bad"));
	blocking_socket b = w.backend.accept_one();

	EXPECT_TRUE(has(b.read_message(), "/look/bad"));
	b.reset();
	blocking_socket peer = other.accept_one();

	EXPECT_TRUE(has(peer.read_message(), "/look/bad"));
	peer.write("HTTP/1.1 503 X\r\ncaraway-not-run: 621\r\n"
		   "caraway-load: 0\r\nContent-Length: 0\r\n\r\n");
	got = s.read_message();
	EXPECT_EQ(status(got), 502);
	EXPECT_FALSE(has(got, "Retry-After")) << got;
}

/* The budget allows a retry, but the request has crashed two others. */
TEST(PxCrash, SuspectIsNotRetried)
{
	crash_world w;
	listener other(OTHER_PROXY_PORT);

	w.crash(get("/look/bad"));
	w.start_backend();
	w.crash(get("/look/bad"));
	w.start_backend();
	for (int i = 0; i < 20; i++)
		w.serve(get("/look/" + std::to_string(i)));
	w.run([&] { w.endpoints(true); });
	blocking_socket s = blocking_socket::connect_to(CALLER_PORT);

	s.write(get("/look/bad"));
	blocking_socket b = w.backend.accept_one();

	EXPECT_TRUE(has(b.read_message(), "/look/bad"));
	b.reset();
	EXPECT_EQ(status(s.read_message()), 502);
	struct pollfd p = {other.fd, POLLIN, 0};

	EXPECT_EQ(poll(&p, 1, 100), 0);
}

} // namespace
