#include <algorithm>
#include <atomic>
#include <list>

#include "test/proxy_world.h"

using namespace proxy_world;

namespace
{

using steady = std::chrono::steady_clock;

/* What the platform allows in any span of SPAN_S seconds. */
enum { SPAN_S = 4 };

size_t allowed(double per_second)
{
	return (size_t)(1.5 * SPAN_S * per_second) + 5;
}

/* Answers each request at once, with the fields that are set at that time. */
struct busy_backend {
	listener &at;
	std::mutex lock;
	std::string fields;
	std::vector<steady::time_point> arrivals;
	std::atomic<bool> done{false};
	std::thread thread;

	explicit busy_backend(listener &l, const std::string &f = "")
	    : at(l), fields(f), thread([this] { serve(); })
	{
	}
	~busy_backend()
	{
		done = true;
		thread.join();
	}

	void state(const std::string &f)
	{
		std::lock_guard<std::mutex> g(lock);

		fields = f;
	}

	size_t count()
	{
		std::lock_guard<std::mutex> g(lock);

		return arrivals.size();
	}

	/* The most arrivals in any span of SPAN_S seconds. */
	size_t most_in_a_span()
	{
		std::lock_guard<std::mutex> g(lock);
		size_t most = 0;

		for (size_t first = 0, i = 0; i < arrivals.size(); i++) {
			while (arrivals[i] - arrivals[first] >
			       std::chrono::seconds(SPAN_S))
				first++;
			most = std::max(most, i - first + 1);
		}
		return most;
	}

	void serve()
	{
		std::list<blocking_socket> conns;

		while (!done) {
			std::vector<struct pollfd> fds{{at.fd, POLLIN, 0}};
			size_t i = 1;

			for (auto &c : conns)
				fds.push_back({c.fd, POLLIN, 0});
			poll(fds.data(), fds.size(), 20);
			conns.remove_if([&](blocking_socket &c) {
				return fds[i++].revents && !answer_one(c);
			});
			if (fds[0].revents)
				conns.emplace_back(
					accept(at.fd, nullptr, nullptr));
		}
	}

	bool answer_one(blocking_socket &c)
	{
		std::string got = c.read_message();
		std::string f;

		if (got.empty())
			return false;
		{
			std::lock_guard<std::mutex> g(lock);

			arrivals.push_back(steady::now());
			f = fields;
		}
		c.write(answer(200, "ok", f));
		return true;
	}
};

const char *const of_peer = "caraway-service: stock\r\n"
			    "caraway-caller: stock\r\n"
			    "caraway-time-left-us: 400000\r\n"
			    "caraway-target-left-us: 300000\r\n"
			    "caraway-route: look\r\n";

/*
 * Callers that send for @time, each its next request after an answer, which
 * comes within the timeout of the route: calls that have missed their target
 * wait for as long as calls in time keep coming.
 */
void call_for(std::chrono::milliseconds time, int n, int port = CALLER_PORT,
	      const std::string &fields = "")
{
	std::vector<std::thread> callers;
	auto end = steady::now() + time;

	for (int i = 0; i < n; i++)
		callers.emplace_back([=] {
			blocking_socket s = blocking_socket::connect_to(port);

			s.set_patience(ROUTE_S + 1);
			while (steady::now() < end) {
				s.write(request("GET /look/a", fields));
				EXPECT_FALSE(s.read_message().empty());
				std::this_thread::sleep_for(
					std::chrono::milliseconds(20));
			}
		});
	for (auto &c : callers)
		c.join();
}

int ask(int port = CALLER_PORT, const std::string &fields = "")
{
	blocking_socket s = blocking_socket::connect_to(port);

	s.write(request("GET /look/a", fields));
	return status(s.read_message());
}

/* A backend server that stated a limit got as many requests as before. */
TEST(PxLimit, StatedLimitIsKept)
{
	world w;
	busy_backend b(w.backend, "Server-Limit: 5.5\r\n");

	w.send_heartbeat("i-1", "ready", 1, 1, 4);
	std::thread others([] {
		call_for(std::chrono::seconds(5), 4, PEER_PORT, of_peer);
	});
	call_for(std::chrono::seconds(5), 4);
	others.join();
	EXPECT_LE(b.most_in_a_span(), allowed(5.5));
	EXPECT_GE(b.count(), 20u);
}

/* A backend server that stated its departure got new requests. */
TEST(PxLimit, LeavingBackendGetsNoNewRequest)
{
	static const struct {
		const char *name;
		int port;
		const char *fields;
	} cases[] = {
		{"of a caller", CALLER_PORT, ""},
		{"of another proxy", PEER_PORT, of_peer},
	};

	for (const auto &c : cases) {
		world w;
		busy_backend b(w.backend);

		w.send_heartbeat("i-1", "ready", 1, 1, 4);
		EXPECT_EQ(ask(c.port, c.fields), 200) << c.name;
		b.state("Server-Leaving: 1\r\n");
		EXPECT_EQ(ask(c.port, c.fields), 200) << c.name;
		EXPECT_EQ(ask(c.port, c.fields), 503) << c.name;
		EXPECT_EQ(b.count(), 2u) << c.name;
	}
}

/* Asks as another proxy; returns what it is told of the backend server. */
std::string ask_stated(const std::string &fields = "")
{
	blocking_socket s = blocking_socket::connect_to(PEER_PORT);
	const std::string name = "caraway-stated: ";
	std::string got;
	size_t at;

	s.write(request("GET /look/a", of_peer + fields));
	got = s.read_message();
	at = got.find(name);
	return at == std::string::npos
		       ? ""
		       : got.substr(at + name.size(),
				    got.find("\r\n", at) - at - name.size());
}

/* Without the digest of the start. */
std::string limit_and_leaving(const std::string &stated)
{
	return stated.substr(std::min(stated.size(), (size_t)16));
}

/* Whatever comes after the head, it has been stated. */
TEST(PxLimit, EachKindOfAnswerStatesIt)
{
	static const struct {
		const char *name, *status, *rest;
		int caller; /* what the caller is told, 0 for a broken answer */
	} cases[] = {
		{"whole", "200 OK", "Content-Length: 2\r\n\r\nok", 200},
		{"streamed", "200 OK",
		 "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200},
		{"error", "500 Error", "Content-Length: 0\r\n\r\n", 500},
		{"refusal", "503 Full",
		 "X-Not-Executed: full\r\nContent-Length: 0\r\n\r\n", 503},
		{"broken off", "200 OK", "Content-Length: 9\r\n\r\nok", 502},
		{"broken off at the head", "200 OK",
		 "Content-Length: 9\r\n\r\n", 502},
		{"streamed, broken off", "200 OK",
		 "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", 502},
	};

	for (const auto &c : cases) {
		world w;
		blocking_socket s = blocking_socket::connect_to(CALLER_PORT);

		w.send_heartbeat("i-1", "ready", 1, 1, 4);
		s.write(request("GET /look/a"));
		{
			blocking_socket b = w.backend.accept_one();

			b.read_message();
			b.write(std::string("HTTP/1.1 ") + c.status +
				"\r\nX-Attempt-Id: 1\r\nServer-Limit: 700\r\n" +
				c.rest);
		}
		EXPECT_EQ(status(s.read_message()), c.caller) << c.name;
		busy_backend b(w.backend, "Server-Limit: 700\r\n");

		EXPECT_EQ(limit_and_leaving(ask_stated()), " 700 0") << c.name;
	}
}

/* @before: what the answers before state; @last: what the last one states */
TEST(PxLimit, StatementsOfEachCase)
{
	static const struct {
		const char *name;
		std::vector<const char *> before;
		const char *last;
		const char *stated;
	} cases[] = {
		{"none", {""}, "", ""},
		{"zero", {}, "Server-Limit: 0\r\n", " 0.25 0"},
		{"huge", {}, "Server-Limit: 10000000000\r\n", " 1e+06 0"},
		{"malformed", {}, "Server-Limit: soon\r\n", ""},
		{"malformed afterwards",
		 {"Server-Limit: 900\r\n"},
		 "Server-Limit: -1\r\n",
		 " 900 0"},
		{"changed",
		 {"Server-Limit: 900\r\n"},
		 "Server-Limit: 800.5\r\n",
		 " 800.5 0"},
		{"one answer without", {"Server-Limit: 900\r\n"}, "", " 900 0"},
		{"ended", {"Server-Limit: 900\r\n", ""}, "", ""},
		{"departure", {}, "Server-Leaving: 1\r\n", " - 1"},
		{"both",
		 {},
		 "Server-Leaving: 1\r\nServer-Limit: 7\r\n",
		 " 7 1"},
	};

	for (const auto &c : cases) {
		world w;
		busy_backend b(w.backend);

		w.send_heartbeat("i-1", "ready", 1, 1, 4);
		for (const char *fields : c.before) {
			b.state(fields);
			EXPECT_EQ(ask(), 200) << c.name;
		}
		b.state(c.last);
		EXPECT_EQ(limit_and_leaving(ask_stated()), c.stated) << c.name;
	}
}

TEST(PxLimit, DepartureIsAnnouncedAndHoldsUntilTheNextStart)
{
	world w;
	busy_backend b(w.backend, "Server-Leaving: 1\r\n");

	w.send_heartbeat("i-1", "ready", 1, 1, 4);
	EXPECT_EQ(ask(), 200);
	{
		std::lock_guard<std::mutex> g(w.lock);

		EXPECT_TRUE(w.announced_draining);
	}
	b.state("");
	w.send_heartbeat("i-1", "ready", 2, 1, 4);
	EXPECT_EQ(ask(PEER_PORT, of_peer), 503) << "a late heartbeat";
	w.send_heartbeat("i-1", "ready", 1, 2, 4);
	EXPECT_EQ(ask(PEER_PORT, of_peer), 200) << "the same id, started anew";
	EXPECT_EQ(b.count(), 2u);
	std::lock_guard<std::mutex> g(w.lock);

	EXPECT_FALSE(w.announced_draining);
}

/* An answer of an earlier start says nothing of the one that runs now. */
TEST(PxLimit, AnswerOfAnEarlierStartIsIgnored)
{
	world w;
	blocking_socket s = blocking_socket::connect_to(CALLER_PORT);

	w.send_heartbeat("i-1", "ready", 1, 1, 4);
	s.write(request("GET /look/a"));
	{
		blocking_socket b = w.backend.accept_one();

		b.read_message();
		w.send_heartbeat("i-2", "ready", 1, 2, 4);
		b.write(answer(200, "ok",
			       "Server-Limit: 5\r\nServer-Leaving: 1\r\n"));
		EXPECT_EQ(status(s.read_message()), 200);
	}
	busy_backend b(w.backend);

	EXPECT_EQ(ask_stated(), "");
}

/* A proxy that has restarted learns from the requests of the others. */
TEST(PxLimit, RestartedProxyAdoptsWhatOthersWereTold)
{
	static const struct {
		const char *name, *told;
		bool of_this_start;
		int first, second;
	} cases[] = {
		{"nothing", nullptr, true, 200, 200},
		{"limit", " 0.5 0 900000", true, 200, 503},
		{"departure", " - 1 900000", true, 503, 503},
		{"limit of another start", " 0.5 0 900000", false, 200, 200},
		{"departure of another start", " - 1 900000", false, 200, 200},
		{"malformed", " much 0 900000", true, 200, 200},
		{"cut short", " 0.5", true, 200, 200},
		{"negative", " -0.5 0 1", true, 200, 200},
	};
	std::string start;

	{
		world w;
		busy_backend b(w.backend, "Server-Limit: 700\r\n");

		w.send_heartbeat("i-1", "ready", 1, 1, 4);
		EXPECT_EQ(ask(), 200);
		start = ask_stated().substr(0, 16);
		ASSERT_EQ(start.size(), 16u);
	}
	for (const auto &c : cases) {
		world w;
		busy_backend b(w.backend);
		std::string fields = of_peer;

		w.send_heartbeat("i-1", "ready", 1, c.of_this_start ? 1 : 2, 4);
		if (c.told)
			fields += "caraway-told: " + start + c.told + "\r\n";
		EXPECT_EQ(ask(PEER_PORT, fields), c.first) << c.name;
		EXPECT_EQ(ask(PEER_PORT, fields), c.second) << c.name;
		EXPECT_EQ(b.count(),
			  (size_t)((c.first == 200) + (c.second == 200)))
			<< c.name;
	}
}

/* A sender repeats what it was told, also to a proxy that has restarted. */
TEST(PxLimit, SenderTellsTheOtherProxyWhatItWasTold)
{
	world w;
	listener other(OTHER_PROXY_PORT);
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);
	const char *refusal = "HTTP/1.1 503 X\r\ncaraway-not-run: 611\r\n"
			      "caraway-stated: 00000000000000ab 12.5 1\r\n"
			      "Content-Length: 0\r\n\r\n";

	w.run([&] { w.endpoints(true); });
	caller.write(request("GET /look/a"));
	blocking_socket peer = other.accept_one();

	EXPECT_FALSE(has(peer.read_message(), "caraway-told"));
	peer.write(refusal);
	EXPECT_EQ(status(caller.read_message()), 503);
	caller.write(request("GET /look/a"));
	EXPECT_EQ(status(caller.read_message()), 503) << "not asked again";
	w.run([&] { w.endpoints(true, 1, 2); });
	caller.write(request("GET /look/a"));
	std::string sent = peer.read_message();

	EXPECT_TRUE(has(sent, "caraway-told: 00000000000000ab 12.5 1 "))
		<< sent;
	peer.write("HTTP/1.1 200 X\r\nX-Attempt-Id: 1\r\n"
		   "caraway-stated: 00000000000000ac - 0\r\n"
		   "Content-Length: 0\r\n\r\n");
	EXPECT_EQ(status(caller.read_message()), 200);
	caller.write(request("GET /look/a"));
	EXPECT_FALSE(has(peer.read_message(), "caraway-told"));
}

TEST(PxLimit, RefusedCallerIsToldWhenThereIsRoom)
{
	static const struct {
		const char *name, *fields;
		double least, most;
	} cases[] = {
		{"room in 3 s",
		 "caraway-stated: 00000000000000ab 0.5 0\r\n"
		 "caraway-room-us: 3000000\r\n",
		 2.9, 3.4},
		{"room at once",
		 "caraway-stated: 00000000000000ab 500 0\r\n"
		 "caraway-room-us: 0\r\n",
		 0.2, 0.6},
		{"no limit", "", 0.2, 0.6},
	};

	for (const auto &c : cases) {
		world w;
		listener other(OTHER_PROXY_PORT);
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		w.send_heartbeat("i-1", "draining", 1, 1, 4);
		w.run([&] { w.endpoints(true); });
		/* The own one drains, so only the other may have room. */
		caller.write(request("GET /look/a"));
		blocking_socket peer = other.accept_one();

		peer.read_message();
		peer.write(std::string("HTTP/1.1 503 X\r\n"
				       "caraway-not-run: 603\r\n") +
			   c.fields + "Content-Length: 0\r\n\r\n");
		std::string got = caller.read_message();
		size_t at = got.find("Retry-After: ");

		ASSERT_NE(at, std::string::npos) << got;
		EXPECT_GE(std::stod(got.substr(at + 13)), c.least) << c.name;
		EXPECT_LE(std::stod(got.substr(at + 13)), c.most) << c.name;
	}
}

} // namespace
