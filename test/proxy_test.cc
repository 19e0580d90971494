#include "test/proxy_world.h"

#include <malloc.h>

#include "base/ba_event.h"
#if defined(__SANITIZE_ADDRESS__)
/* Of the sanitizer; GCC has no header for it. */
extern "C" size_t __sanitizer_get_current_allocated_bytes(void);
#endif

using namespace proxy_world;

namespace
{

TEST(PxReady, NeedsAConfiguration)
{
	world w(false);
	blocking_socket ready = blocking_socket::connect_to(READY_PORT);

	ready.write("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
	EXPECT_EQ(status(ready.read_message()), 503);
	w.run([&] { w.configure(); });
	ready.write("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
	EXPECT_EQ(status(ready.read_message()), 200);
	w.begin_stop();
	ready.write("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
	EXPECT_EQ(status(ready.read_message()), 503);
}

/* After a start, requests wait a little for the configuration. */
TEST(PxStartup, HoldsRequestsUntilTheyCanBeRouted)
{
	world w(false);
	blocking_socket first = blocking_socket::connect_to(CALLER_PORT);
	blocking_socket second = blocking_socket::connect_to(CALLER_PORT);
	blocking_socket gone = blocking_socket::connect_to(CALLER_PORT);

	w.send_heartbeat("i-1", "ready", 1);
	gone.write(request("GET /look/gone"));
	first.write(request("GET /look/first"));
	second.write(request("GET /nowhere/"));
	gone.end();
	w.run([&] {
		struct cf_snapshot *s = snapshot();

		px_configure(w.proxy, s);
		cf_snapshot_unref(s);
	});
	EXPECT_EQ(status(second.read_message()), 404);
	w.run([&] { w.endpoints(false); });
	blocking_socket backend = w.backend.accept_one();

	EXPECT_TRUE(has(backend.read_message(), "GET /look/first HTTP/1.1"));
	backend.write(answer(200, "ok"));
	EXPECT_EQ(status(first.read_message()), 200);
}

/* Events are written out, as their strings are read only then. */
struct full_log {
	full_log()
	{
		EXPECT_EQ(ba_event_open("p/i", "/dev/null", BA_INFO), BA_OK);
	}
	~full_log()
	{
		ba_event_close();
		EXPECT_EQ(ba_event_open("p/i", "/dev/null", BA_NOTICE), BA_OK);
		ba_event_close();
	}
};

/*
 * The refusal named the route and service of the version that was released.  The
 * address sanitizer tells.
 */
TEST(PxStartup, RouteOfAHeldRequestGoes)
{
	full_log log;

	for (bool current : {true, false}) {
		world w(false);
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);
		blocking_socket other =
			blocking_socket::connect_to(CALLER_PORT);

		w.run([&] {
			struct cf_snapshot *s = snapshot();

			px_configure(w.proxy, s);
			cf_snapshot_unref(s);
		});
		caller.write(request("GET /look/"));
		/* It has been read when a later one has its answer. */
		other.write(request("GET /nowhere/"));
		EXPECT_EQ(status(other.read_message()), 404);
		/* The refusal of one that is not current looks up the service. */
		w.current = current;
		w.run([&] {
			struct cf_snapshot *s = snapshot(
				changed("\"/look/\"", "\"/elsewhere/\""));

			px_configure(w.proxy, s);
			cf_snapshot_unref(s);
		});
		EXPECT_EQ(status(caller.read_message()), current ? 404 : 503);
	}
}

TEST(PxStartup, RefusesWhatItHeldForTooLong)
{
	world w(false);
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);
	std::string got;

	caller.write("GET /look/ HTTP/1.1\r\nHost: a.example\r\n"
		     "X-Deadline-Ms: 400\r\n\r\n");
	got = caller.read_message();
	EXPECT_EQ(status(got), 503);
	EXPECT_TRUE(has(got, "Retry-After: 0.")) << got;
}

/* Only hop-by-hop, private and forged fields are not forwarded. */
TEST(PxForward, RequestAndAnswerPassUnchanged)
{
	static const struct {
		const char *name, *line, *fields, *body;
	} cases[] = {
		{"no body", "GET /look/a?b=c%20d", "X-Other: v\r\n", ""},
		{"with a length", "POST /book/x", "", "some bytes"},
		{"another method", "PUT /look/", "Accept: a, b\r\n", "z"},
	};
	world w;

	w.send_heartbeat("i-1", "ready", 1);
	for (const auto &c : cases) {
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		caller.write(request(c.line,
				     std::string(c.fields) +
					     "Connection: keep-alive, X-Hop\r\n"
					     "X-Hop: 1\r\n"
					     "X-Caller-Service: forged\r\n"
					     "X-Target-Instance: forged\r\n"
					     "caraway-service: forged\r\n",
				     c.body));
		blocking_socket backend = w.backend.accept_one();
		std::string got = backend.read_message();

		EXPECT_TRUE(has(got, std::string(c.line) + " HTTP/1.1\r\n"))
			<< c.name;
		EXPECT_TRUE(has(got, c.fields)) << c.name;
		EXPECT_TRUE(has(got, "X-Attempt-Id: 1\r\n"));
		EXPECT_TRUE(has(got, "X-Caller-Service: stock\r\n"));
		EXPECT_TRUE(has(got, "X-Target-Instance: i-1\r\n"));
		EXPECT_FALSE(has(got, "forged") || has(got, "X-Hop"));
		EXPECT_TRUE(std::string(got).substr(got.size() -
						    strlen(c.body)) == c.body);
		backend.write(answer(201, "the answer", "X-Own: 1\r\n"));
		std::string back = caller.read_message();

		EXPECT_EQ(status(back), 201);
		EXPECT_TRUE(has(back, "X-Response-Stamp: s\r\n"));
		EXPECT_TRUE(has(back, "X-Own: 1\r\n"));
		EXPECT_TRUE(has(back, "\r\n\r\nthe answer"));
		EXPECT_FALSE(has(back, "caraway"));
		backend.end();
	}
}

TEST(PxForward, ChunkedBodiesAndAnswersWithoutALength)
{
	world w;
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	w.send_heartbeat("i-1", "ready", 1);
	caller.write(request("POST /look/x", "Transfer-Encoding: chunked\r\n"));
	caller.write("3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
	blocking_socket backend = w.backend.accept_one();

	EXPECT_TRUE(has(backend.read_message(), "\r\n\r\nabcde"));
	backend.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n\r\nuntil");
	backend.write(" the end");
	backend.end();
	EXPECT_TRUE(has(caller.read_message(), "\r\n\r\nuntil the end"));
}

/* A route that is not known may be one that was added since. */
TEST(PxRefusal, UnknownRouteIsCertainOnlyWhileTheConfigurationIsCurrent)
{
	static const struct {
		bool current;
		int status, code;
	} cases[] = {{true, 404, 601}, {false, 503, 622}, {true, 404, 601}};
	struct world w;

	for (const auto &c : cases) {
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		w.current = c.current;
		caller.write("GET /nowhere/ HTTP/1.1\r\nHost: a.example\r\n"
			     "X-Attempt-Id: 1\r\n\r\n");
		std::string got = caller.read_message();

		EXPECT_EQ(status(got), c.status) << got;
		EXPECT_TRUE(
			has(got, "\"code\":" + std::to_string(c.code) + ","))
			<< got;
		EXPECT_EQ(has(got, "Retry-After: "), !c.current) << got;
	}
}

/* What other proxies have in force is heard with each request and answer. */
TEST(PxVersion, IsHeardFromOtherProxies)
{
	static const struct {
		const char *field;
		uint64_t heard;
	} cases[] = {
		{"", 0},
		{"caraway-version: 7\r\n", 7},
		{"caraway-version: 0\r\n", 0},
		{"caraway-version: \r\n", 0},
		{"caraway-version: -7\r\n", 0},
		{"caraway-version: 7x\r\n", 0},
		{"caraway-version: 18446744073709551615\r\n", UINT64_MAX},
		{"caraway-version: 18446744073709551616\r\n", 0},
	};
	world w;

	for (const auto &c : cases) {
		blocking_socket s = blocking_socket::connect_to(PEER_PORT);
		std::string got;

		w.version_heard = 0;
		s.write(request(
			"GET /look/a",
			std::string("caraway-service: stock\r\n"
				    "caraway-caller: stock\r\n"
				    "caraway-time-left-us: 400000\r\n") +
				c.field));
		got = s.read_message();
		EXPECT_EQ(w.version_heard, c.heard) << c.field;
		EXPECT_NE(got.find("caraway-version: 1\r\n"), std::string::npos)
			<< got;
	}
}

/* These requests are refused without a backend server. */
/* A time that another proxy states overflowed. */
TEST(PxRequest, TimesOfOtherProxiesAreBounded)
{
	static const char *const fields[] = {"caraway-time-left-us",
					     "caraway-target-left-us",
					     "caraway-leaves-left-us"};
	const std::string digits(118, '5');
	world w;

	w.send_heartbeat("i-1", "ready", 1);
	for (const char *field : fields)
		for (const char *sign : {"", "-"}) {
			blocking_socket s =
				blocking_socket::connect_to(PEER_PORT);
			std::string other;

			for (const char *f : fields)
				if (f != field)
					other +=
						std::string(f) + ": 400000\r\n";
			s.write(request("GET /look/a",
					"caraway-service: stock\r\n"
					"caraway-caller: stock\r\n" +
						other + field + ": " + sign +
						digits + "\r\n"));
			/* No time is left; the others are no limits. */
			bool expired = *sign && field == fields[0];

			if (!expired) {
				blocking_socket b = w.backend.accept_one();

				b.read_message();
				b.write(answer(200, "ok"));
			}
			EXPECT_EQ(status(s.read_message()), expired ? 503 : 200)
				<< field << sign;
		}
}

TEST(PxRefusal, NeedsNoBackendServer)
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
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		caller.write(c.text);
		std::string got = caller.read_message();

		EXPECT_EQ(status(got), c.status) << c.name << ": " << got;
		EXPECT_EQ(got.rfind("HTTP/1.1"), 0u) << c.name << ": " << got;
		EXPECT_EQ(has(got, "Retry-After: "), c.status == 503) << c.name;
	}
}

TEST(PxRefusal, LargeHead)
{
	world w;
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	caller.write("GET /look/ HTTP/1.1\r\nHost: a.example\r\nX: " +
		     std::string(5000, 'x') + "\r\n\r\n");
	EXPECT_EQ(status(caller.read_message()), 431);
}

/*
 * The proxy that a request entered has applied the limits; the next one refused
 * it with 431, as the fields of proxies had made it larger.
 */
TEST(PxLimits, AreAppliedWhereARequestEnters)
{
	static const std::string of_proxies =
		"caraway-service: stock\r\n"
		"caraway-caller: stock\r\n"
		"caraway-time-left-us: 400000\r\n";
	static const struct {
		const char *name;
		size_t head, body;
		int caller, peer;
	} cases[] = {
		{"just below the limit", 3950, 0, 200, 200},
		{"above the limit of heads", 4200, 0, 431, 200},
		{"body at the limit", 0, 100000, 200, 200},
		{"above the limit of bodies", 0, 100001, 413, 200},
	};

	for (const auto &c : cases)
		for (bool of_peer : {false, true}) {
			world w;
			blocking_socket s = blocking_socket::connect_to(
				of_peer ? PEER_PORT : CALLER_PORT);
			int want = of_peer ? c.peer : c.caller;

			w.send_heartbeat("i-1", "ready", 1);
			s.write(request("POST /book/1",
					"X-Long: " + std::string(c.head, 'x') +
						"\r\n" +
						(of_peer ? of_proxies : ""),
					std::string(c.body, 'b')));
			if (want == 200) {
				blocking_socket b = w.backend.accept_one();

				b.read_message();
				b.write(answer(200, "ok"));
			}
			EXPECT_EQ(status(s.read_message()), want)
				<< c.name << of_peer;
		}
}

/* A connection from before the change kept the limit of its first request. */
TEST(PxLimits, OfAChangeHoldOnOpenConnections)
{
	const std::string large = request(
		"GET /look/", "X-Long: " + std::string(5000, 'x') + "\r\n");
	world w;
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	w.send_heartbeat("i-1", "ready", 1);
	caller.write(request("GET /look/"));
	blocking_socket b = w.backend.accept_one();

	b.read_message();
	b.write(answer(200, "ok"));
	EXPECT_EQ(status(caller.read_message()), 200);
	w.run([&] {
		w.configure(changed("\"max_header_bytes\":4096",
				    "\"max_header_bytes\":8192"));
	});
	caller.write(large);
	b.read_message();
	b.write(answer(200, "ok"));
	EXPECT_EQ(status(caller.read_message()), 200);
}

std::string pipelined(const std::string &method, const std::string &path,
		      const std::string &id)
{
	return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\n" +
	       "X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 2000\r\n" +
	       (method == "POST" ? "Content-Length: 0\r\n\r\n" : "\r\n");
}

std::string named_answer(const std::string &id)
{
	std::string a = answer(200, "of " + id);

	return a.replace(a.find("X-Attempt-Id: 1"), 15, "X-Attempt-Id: " + id);
}

/*
 * A request that waited until those before it on its connection were answered
 * was late, or never read, though a backend server was free.
 */
TEST(PxPipeline, RequestsRunTogetherAndAreAnsweredInOrder)
{
	world w;
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);
	std::vector<blocking_socket> servers;

	w.send_heartbeat("i-1", "ready", 1, 5, 3);
	caller.write(pipelined("GET", "/look/1", "1") +
		     pipelined("GET", "/look/2", "2"));
	servers.push_back(w.backend.accept_one());
	servers.push_back(w.backend.accept_one());
	caller.write(pipelined("GET", "/look/3", "3").substr(0, 30));
	caller.write(pipelined("GET", "/look/3", "3").substr(30));
	servers.push_back(w.backend.accept_one());
	for (int i : {2, 1, 0}) {
		EXPECT_TRUE(has(servers[i].read_message(),
				"/look/" + std::to_string(i + 1)));
		servers[i].write(named_answer(std::to_string(i + 1)));
	}
	for (const char *id : {"1", "2", "3"})
		EXPECT_TRUE(
			has(caller.read_message(), std::string("of ") + id));
	/* The connection is as before. */
	caller.write(pipelined("GET", "/look/4", "4") +
		     pipelined("GET", "/none/", "5"));
	EXPECT_TRUE(has(servers[0].read_message(), "/look/4"));
	servers[0].write(named_answer("4"));
	EXPECT_TRUE(has(caller.read_message(), "of 4"));
	EXPECT_EQ(status(caller.read_message()), 404);
}

/*
 * Guards against review/14: when a large answer broke off, the answers to the
 * requests before and behind it were lost with the connection.
 */
TEST(PxPipeline, LargeAnswerThatBreaksOffLosesNoOther)
{
	for (int breaks : {0, 1}) {
		world w;
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);
		std::vector<blocking_socket> servers;
		std::string sent;

		w.send_heartbeat("i-1", "ready", 1, 5, 3);
		for (const char *id : {"1", "2", "3"})
			sent += pipelined("GET", std::string("/look/") + id,
					  id);
		caller.write(sent);
		for (int i : {0, 1, 2}) {
			servers.push_back(w.backend.accept_one());
			EXPECT_TRUE(has(servers[i].read_message(),
					"/look/" + std::to_string(i + 1)));
		}
		servers[breaks].write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
				      std::to_string(breaks + 1) +
				      "\r\nContent-Length: 300000\r\n\r\n" +
				      std::string(200000, 'x'));
		servers[breaks].end();
		for (int i : {2, 1 - breaks})
			servers[i].write(named_answer(std::to_string(i + 1)));
		/* There is no other backend server to get the answer from. */
		for (int i : {0, 1, 2}) {
			std::string got = caller.read_message();

			EXPECT_EQ(status(got), i == breaks ? 502 : 200);
			EXPECT_EQ(has(got, "of " + std::to_string(i + 1)),
				  i != breaks);
		}
	}
}

/* If the connection is closed, a request behind counts as not read. */
TEST(PxPipeline, WhatMustNotRunTwiceWaits)
{
	world w;
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	w.send_heartbeat("i-1", "ready", 1, 5, 3);
	caller.write(pipelined("GET", "/look/", "1") +
		     pipelined("POST", "/book/", "2") +
		     pipelined("GET", "/look/", "3"));
	for (const char *id : {"1", "2", "3"}) {
		blocking_socket b = w.backend.accept_one();
		struct pollfd p = {w.backend.fd, POLLIN, 0};

		EXPECT_TRUE(has(b.read_message(),
				std::string("X-Attempt-Id: ") + id));
		EXPECT_EQ(poll(&p, 1, 50), 0) << id;
		b.write(named_answer(id) + "x");
		EXPECT_TRUE(
			has(caller.read_message(), std::string("of ") + id));
	}
}

/* Ends of the connection, while one request waits behind another. */
TEST(PxPipeline, EndsTogether)
{
	static const char *const cases[] = {"caller leaves", "bad request",
					    "caller closes after the last"};

	for (const char *name : cases) {
		world w;
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);
		bool leaves = name == cases[0];
		std::string last = pipelined("GET", "/look/", "2");

		SCOPED_TRACE(name);
		w.send_heartbeat("i-1", "ready", 1, 5, 3);
		if (name == cases[1])
			last += "GET / HTTP/1x\r\n\r\n";
		if (name == cases[2])
			last.insert(last.size() - 2, "Connection: close\r\n");
		caller.write(pipelined("GET", "/look/", "1") + last);
		blocking_socket first = w.backend.accept_one();
		blocking_socket second = w.backend.accept_one();

		first.read_message();
		second.read_message();
		if (leaves) {
			caller.end();
			EXPECT_TRUE(first.is_closed_by_peer());
			EXPECT_TRUE(second.is_closed_by_peer());
			continue;
		}
		second.write(named_answer("2"));
		first.write(named_answer("1"));
		EXPECT_TRUE(has(caller.read_message(), "of 1"));
		EXPECT_TRUE(has(caller.read_message(), "of 2"));
		if (name == cases[1]) {
			EXPECT_EQ(status(caller.read_message()), 400);
		}
		EXPECT_TRUE(caller.is_closed_by_peer());
	}
}

/*
 * The time that an upload takes to arrive counts: a backend server was given the
 * whole time of the caller from the last byte on.
 */
TEST(PxTimeout, CountsFromTheFirstByteOfTheRequest)
{
	const std::string head = "POST /photos/ HTTP/1.1\r\nHost: a.example\r\n"
				 "X-Attempt-Id: 1\r\nX-Deadline-Ms: 900\r\n"
				 "Content-Length: 5\r\n\r\nbod";
	const std::string name = "X-Deadline-Ms: ";
	static const struct {
		int arrives_in_ms;
		bool served;
	} cases[] = {{500, true}, {1000, false}};

	for (const auto &c : cases) {
		world w;
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		w.send_heartbeat("i-1", "ready", 1);
		caller.write(head);
		std::this_thread::sleep_for(
			std::chrono::milliseconds(c.arrives_in_ms));
		caller.write("y1");
		if (c.served) {
			blocking_socket b = w.backend.accept_one();
			std::string got = b.read_message();
			size_t at = got.find(name);

			ASSERT_NE(at, std::string::npos) << got;
			EXPECT_LE(std::stoi(got.substr(at + name.size())), 400);
			b.write(answer(200, "ok"));
		}
		EXPECT_EQ(status(caller.read_message()), c.served ? 200 : 503);
	}
}

/*
 * A caller sent four requests at once; the first takes 400 ms.  The next was
 * given its whole time from then on, so that it ran after its caller had given
 * up, and the third went to the backend server although its time had passed.
 */
TEST(PxTimeout, CountsWhileARequestWaitsBehindAnother)
{
	world w;
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);
	const std::string name = "X-Deadline-Ms: ";
	std::string requests;

	w.send_heartbeat("i-1", "ready", 1);
	for (const char *ms : {"2000", "1000", "200", "2000"})
		requests += "POST /book/ HTTP/1.1\r\nHost: a.example\r\n"
			    "X-Attempt-Id: 1\r\nContent-Length: 0\r\n" +
			    name + ms + "\r\n\r\n";
	caller.write(requests);
	blocking_socket first = w.backend.accept_one();

	first.read_message();
	std::this_thread::sleep_for(std::chrono::milliseconds(400));
	first.write(answer(200, "1"));
	/* The first connection is not idle yet when the second is sent. */
	blocking_socket second = w.backend.accept_one();
	const struct {
		blocking_socket *on;
		int most_ms;
	} cases[] = {{&second, 600}, {&first, 1600}};

	for (const auto &c : cases) {
		std::string got = c.on->read_message();
		size_t at = got.find(name);

		ASSERT_NE(at, std::string::npos) << got;
		EXPECT_LE(std::stoi(got.substr(at + name.size())), c.most_ms);
		c.on->write(answer(200, "1"));
	}
	for (int expected : {200, 200, 503, 200})
		EXPECT_EQ(status(caller.read_message()), expected);
}

std::string large_bodies()
{
	return changed("\"max_body_bytes\":100000",
		       "\"max_body_bytes\":67108864");
}

std::string upload_head(const std::string &fields, size_t length)
{
	return "POST /photos/1 HTTP/1.1\r\nHost: a.example\r\n"
	       "X-Attempt-Id: 1\r\n" +
	       fields +
	       (length ? "Content-Length: " + std::to_string(length)
		       : "Transfer-Encoding: chunked") +
	       "\r\n\r\n";
}

/* A body is written in pieces, as the other end takes them. */
TEST(PxUpload, LargeBodyArrivesWhole)
{
	std::string body(6000000, 'b');

	for (size_t i = 0; i < body.size(); i++)
		body[i] = (char)('a' + i * 7 / 1000 % 26);
	for (bool via_peer : {false, true})
		for (int64_t link_rate : {0, 20000000}) {
			world w(true, link_rate);
			listener peer(OTHER_PROXY_PORT);
			blocking_socket caller =
				blocking_socket::connect_to(CALLER_PORT);

			w.run([&] { w.configure(large_bodies()); });
			if (via_peer)
				w.run([&] { w.endpoints(true); });
			else
				w.send_heartbeat("i-1", "ready", 1);
			std::thread sender([&] {
				caller.write(upload_head("", body.size()) +
					     body);
			});
			blocking_socket server =
				(via_peer ? peer : w.backend).accept_one();
			std::string got = server.read_message();

			sender.join();
			EXPECT_EQ(got.size() - got.find("\r\n\r\n") - 4,
				  body.size());
			EXPECT_TRUE(got.compare(got.find("\r\n\r\n") + 4,
						std::string::npos, body) == 0);
			server.write(answer(200, "ok"));
			EXPECT_EQ(status(caller.read_message()), 200);
		}
}

/* The rest of a body would be taken for the next request. */
TEST(PxUpload, ConnectionIsClosedIfTheAnswerComesBeforeTheWholeBody)
{
	const std::string body(8000000, 'b');
	world w;
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	w.run([&] { w.configure(large_bodies()); });
	w.send_heartbeat("i-1", "ready", 1);
	std::thread sender(
		[&] { caller.write(upload_head("", body.size()) + body); });
	blocking_socket backend = w.backend.accept_one();

	while (!has(backend.unread, "\r\n\r\n"))
		ASSERT_TRUE(backend.read_more());
	sender.join();
	backend.write(answer(200, "early"));
	EXPECT_TRUE(has(caller.read_message(), "early"));
	EXPECT_LT(backend.read_rest().size(), body.size());
}

/* Uploads that the configuration allows took a proxy over its memory. */
TEST(PxUpload, BodiesTogetherStayWithinTheMemory)
{
	static const std::string of_proxies =
		"caraway-service: stock\r\ncaraway-caller: stock\r\n"
		"caraway-time-left-us: 4000000\r\n";
	static const size_t body = 700000; /* three quarters of 2 MB hold two */

	for (bool of_peer : {false, true})
		for (bool has_length : {true, false}) {
			world w(true, 0, 2000000);
			std::vector<blocking_socket> held;
			const std::string head =
				upload_head(of_peer ? of_proxies : "",
					    has_length ? body : 0);
			std::string part(body - 1, 'b');
			std::string got;

			if (!has_length)
				part = "aae5f\r\n" + part + "\r\n";
			w.run([&] { w.configure(large_bodies()); });
			w.send_heartbeat("i-1", "ready", 1);
			for (int i = 0; i < 3; i++) {
				held.push_back(blocking_socket::connect_to(
					of_peer ? PEER_PORT : CALLER_PORT));
				held.back().write(head + part);
			}
			std::vector<struct pollfd> p;

			for (auto &h : held)
				p.push_back({h.fd, POLLIN, 0});
			ASSERT_EQ(poll(p.data(), p.size(), WAIT_S * 1000), 1);
			/* Without a length, any of them may be the last. */
			size_t refused = p[0].revents	? 0
					 : p[1].revents ? 1
							: 2;
			blocking_socket &other = held[(refused + 1) % 3];

			got = held[refused].read_message();
			EXPECT_EQ(status(got), 503) << of_peer << has_length;
			EXPECT_TRUE(has(got, of_peer ? "caraway-not-run: "
						     : "Retry-After: "))
				<< got;
			const std::string end =
				has_length ? "b" : "1\r\nb\r\n0\r\n\r\n";

			other.write(end);
			blocking_socket backend = w.backend.accept_one();

			backend.read_message();
			backend.write(answer(200, "ok"));
			EXPECT_EQ(status(other.read_message()), 200);
			/* There is room again. */
			other.write(head + part + end);
			backend.read_message();
			backend.write(answer(200, "ok"));
			EXPECT_EQ(status(other.read_message()), 200);
		}
}

enum backend_failure {
	CLOSED,
	RESET,
	TRUNCATED,
	OTHER_ID,
	MALFORMED,
	FAILED,
	SHED
};

void fail_answer(blocking_socket &backend, enum backend_failure f)
{
	switch (f) {
	case CLOSED:
		backend.end();
		return;
	case RESET:
		backend.reset();
		return;
	case TRUNCATED:
		backend.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n"
			      "Content-Length: 9\r\n\r\nhalf");
		backend.end();
		return;
	case OTHER_ID:
		backend.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: 7\r\n"
			      "Content-Length: 5\r\n\r\nother");
		return;
	case MALFORMED:
		backend.write("\x01\x02 what is this\r\n\r\n");
		return;
	case FAILED:
		backend.write(answer(500, "sorry"));
		return;
	case SHED:
		backend.write(answer(503, "", "X-Not-Executed: 1\r\n"));
		return;
	}
}

/*
 * A request that may have run is retried only if it is idempotent, and 503 is
 * answered only if it did not run.  Nothing is retried here, because the retry
 * budget is still empty.
 */
TEST(PxOutcome, OfAFailedOrBrokenAnswer)
{
	static const struct {
		const char *name, *path;
		enum backend_failure failure;
		int status;
	} cases[] = {
		{"closed", "GET /book/", CLOSED, 502},
		{"closed, idempotent", "GET /look/", CLOSED, 502},
		{"reset", "GET /book/", RESET, 502},
		{"half an answer", "GET /book/", TRUNCATED, 502},
		{"half an answer, idempotent", "GET /look/", TRUNCATED, 502},
		{"another request's answer", "GET /book/", OTHER_ID, 502},
		{"garbage", "GET /book/", MALFORMED, 502},
		{"failed", "GET /book/", FAILED, 500},
		{"not run there", "GET /book/", SHED, 503},
	};
	world w;

	w.send_heartbeat("i-1", "ready", 1);
	for (const auto &c : cases) {
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		caller.write(request(c.path));
		blocking_socket backend = w.backend.accept_one();

		EXPECT_FALSE(backend.read_message().empty()) << c.name;
		fail_answer(backend, c.failure);
		std::string got = caller.read_message();

		EXPECT_EQ(status(got), c.status) << c.name;
		EXPECT_FALSE(has(got, "half") || has(got, "other")) << c.name;
		backend.end();
	}
}

/*
 * What a backend server sent late without an id was taken for the answer to the
 * next order, which ran twice or got a foreign success.
 */
TEST(PxOutcome, LateBytesWithoutAnIdAreNoAnswer)
{
	static const std::string rejection =
		"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
		"Content-Length: 0\r\n\r\n";
	static const std::string no_answer =
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
	world w;

	w.send_heartbeat("i-1", "ready", 1);
	for (const char *line : {"POST /book/1", "GET /look/1"}) {
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		caller.write(request(line));
		blocking_socket backend = w.backend.accept_one();

		backend.read_message();
		backend.write(answer(200, "first"));
		EXPECT_TRUE(has(caller.read_message(), "first")) << line;
		caller.write(request(line));
		backend.read_message();
		backend.write(no_answer);
		backend.write(answer(200, "second"));
		EXPECT_TRUE(has(caller.read_message(), "second")) << line;
		/* Its second copy would come on this connection. */
		caller.write(request(line));
		backend.read_message();
		backend.write(rejection);
		EXPECT_EQ(status(caller.read_message()), 503) << line;
		EXPECT_TRUE(backend.is_closed_by_peer()) << line;
	}
}

/* Some backend servers name no request in any answer. */
TEST(PxOutcome, AnswersOfAServerThatNamesNoRequestAreDelivered)
{
	world w;
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	w.send_heartbeat("i-1", "ready", 1);
	caller.write(request("GET /look/1"));
	blocking_socket backend = w.backend.accept_one();

	for (int i = 0; i < 3; i++) {
		if (i)
			caller.write(request("GET /look/1"));
		backend.read_message();
		backend.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
			      "ok");
		EXPECT_EQ(status(caller.read_message()), 200) << i;
	}
}

/*
 * A backend server sends a second copy of its answer, late, when the connection
 * serves the next request.  That caller gets its own answer.
 */
TEST(PxOutcome, LateSecondCopyOfAnAnswerReachesNobody)
{
	static const struct {
		const char *name;
		bool together; /* with the first bytes of the next answer */
		int copies;
		int status;
		bool named; /* the second request has an id */
	} cases[] = {
		{"before the answer", false, 1, 200, true},
		{"in one piece with it", true, 1, 200, true},
		{"three times", true, 3, 200, true},
		{"without end", true, 50, 502, true},
		{"to a request without an id", false, 1, 200, false},
	};
	world w;

	w.send_heartbeat("i-1", "ready", 1);
	for (const auto &c : cases) {
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);
		std::string copies;

		caller.write(request("GET /book/1"));
		blocking_socket backend = w.backend.accept_one();

		EXPECT_TRUE(has(backend.read_message(), "/book/1"));
		backend.write(answer(200, "first"));
		EXPECT_TRUE(has(caller.read_message(), "first")) << c.name;
		caller.write(std::string("GET /book/2 HTTP/1.1\r\n"
					 "Host: a.example\r\n") +
			     (c.named ? "X-Attempt-Id: 2\r\n\r\n" : "\r\n"));
		EXPECT_TRUE(has(backend.read_message(), "/book/2")) << c.name;
		for (int i = 0; i < c.copies; i++)
			copies += answer(200, "first");
		std::string own = answer(200, "second");

		if (c.named)
			own.replace(own.find("Id: 1"), 5, "Id: 2");
		else
			own.erase(own.find("X-Attempt-Id"), 17);
		backend.write(c.together ? copies + own : copies);
		if (!c.together)
			backend.write(own);
		std::string got = caller.read_message();

		EXPECT_EQ(status(got), c.status) << c.name;
		EXPECT_EQ(has(got, "second"), c.status == 200) << c.name;
		EXPECT_FALSE(has(got, "first")) << c.name;
		backend.end();
	}
}

/* Bytes that come while no request waits end the connection at once. */
TEST(PxOutcome, BytesOnAnIdleConnectionEndIt)
{
	world w;
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	w.send_heartbeat("i-1", "ready", 1);
	caller.write(request("GET /book/1"));
	blocking_socket backend = w.backend.accept_one();

	backend.read_message();
	backend.write(answer(200, "first"));
	caller.read_message();
	backend.write("HTTP/1.1 2");
	EXPECT_TRUE(backend.is_closed_by_peer());
}

/* Sends @piece again and again until the proxy closes; false after WAIT_S. */
bool is_cut_off(blocking_socket &backend, const std::string &piece)
{
	ba_time end = ba_clock_now() + WAIT_S * BA_SECOND;

	while (ba_clock_now() < end)
		if (send(backend.fd, piece.data(), piece.size(), MSG_NOSIGNAL) <
		    0)
			return true;
	return false;
}

/* Bytes that the process has allocated and not freed. */
size_t allocated_bytes()
{
#if defined(__SANITIZE_ADDRESS__)
	return __sanitizer_get_current_allocated_bytes();
#else
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
#endif
}

/* A faulty backend server sends bytes without end. */
TEST(PxOutcome, AnswerWithoutEndIsCutOff)
{
	static const struct {
		const char *name, *start, *piece;
		int status;
	} cases[] = {
		{"garbage", "", "garbage without end ", 502},
		{"head", "HTTP/1.1 200 OK\r\n", "X-More: abcdefgh\r\n", 502},
		{"field", "HTTP/1.1 200 OK\r\nX-Long: ", "abcdefghijkl", 502},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", 504},
		{"body with no length", "HTTP/1.1 200 OK\r\n\r\n", "body", 200},
		{"chunks",
		 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		 "4\r\nbody\r\n", 200},
		{"answer that says that it did not run",
		 "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n\r\n", "body", 504},
	};
	world w;

	w.send_heartbeat("i-1", "ready", 1);
	for (const auto &c : cases) {
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		caller.write("GET /book/1 HTTP/1.1\r\nHost: a.example\r\n"
			     "X-Attempt-Id: 1\r\nX-Deadline-Ms: 300\r\n\r\n");
		blocking_socket backend = w.backend.accept_one();
		std::string piece;

		for (int i = 0; i < 100; i++)
			piece += c.piece;
		backend.read_message();
		backend.write(c.start);
		std::string got;
		std::thread reader([&] {
			got = c.status == 200 ? caller.read_rest()
					      : caller.read_message();
		});

		EXPECT_TRUE(is_cut_off(backend, piece)) << c.name;
		reader.join();
		EXPECT_EQ(status(got), c.status) << c.name;
		EXPECT_FALSE(has(got, "\r\n0\r\n\r\n")) << c.name;
	}
}

/* The timeout of the route did not end an answer that had begun. */
TEST(PxTimeout, AnswerWithoutEndIsCutSoonAfterTheTimeoutOfItsRoute)
{
	static const struct {
		const char *name, *head, *piece;
	} cases[] = {
		{"no length", "", "body"},
		{"chunks", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n"},
		{"length", "Content-Length: 100000000000\r\n", "body"},
	};
	const auto timeout = std::chrono::milliseconds(200);
	const auto slack = std::chrono::milliseconds(500);

	for (bool via_peer : {false, true})
		for (const auto &c : cases) {
			world w;
			listener peer(OTHER_PROXY_PORT);
			blocking_socket caller =
				blocking_socket::connect_to(CALLER_PORT);
			std::string piece;
			bool cut = false;

			if (via_peer)
				w.run([&] { w.endpoints(true); });
			else
				w.send_heartbeat("i-1", "ready", 1);
			for (int i = 0; i < 1000; i++)
				piece += c.piece;
			auto start = std::chrono::steady_clock::now();

			caller.write(request("GET /short/"));
			blocking_socket server =
				(via_peer ? peer : w.backend).accept_one();

			server.read_message();
			server.write(std::string("HTTP/1.1 200 OK\r\n"
						 "X-Attempt-Id: 1\r\n") +
				     c.head + "\r\n");
			std::thread sender(
				[&] { cut = is_cut_off(server, piece); });
			std::string got = caller.read_ends();
			auto took = std::chrono::steady_clock::now() - start;

			sender.join();
			EXPECT_TRUE(cut) << c.name << via_peer;
			EXPECT_EQ(status(got), 200) << c.name << via_peer;
			EXPECT_FALSE(has(got, "\r\n0\r\n\r\n")) << c.name;
			EXPECT_GE(took, timeout) << c.name << via_peer;
			EXPECT_LE(took, timeout + slack) << c.name << via_peer;
		}
}

/*
 * Each piece comes 100 ms after the last one; the route's timeout is 200 ms.
 * Guards against an answer that was held for the sake of a request behind it, and
 * was replaced by 504 at the timeout.
 */
TEST(PxTimeout, WholeAnswerThatIsSlowIsDelivered)
{
	const std::string piece(50000, 'b');
	const int n = 12;

	for (bool is_followed : {false, true}) {
		world w;
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		w.send_heartbeat("i-1", "ready", 1, 5, 3);
		caller.write(pipelined("GET", "/short/", "1"));
		blocking_socket server = w.backend.accept_one();

		server.read_message();
		if (is_followed) {
			caller.write(pipelined("GET", "/look/2", "2"));
			blocking_socket other = w.backend.accept_one();

			other.read_message();
			other.write(named_answer("2"));
		}
		std::thread sender([&] {
			server.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n"
				     "Content-Length: " +
				     std::to_string(n * piece.size()) +
				     "\r\n\r\n");
			for (int i = 0; i < n; i++) {
				std::this_thread::sleep_for(
					std::chrono::milliseconds(i ? 100 : 0));
				server.write(piece);
			}
		});
		std::string got = caller.read_message();

		sender.join();
		EXPECT_EQ(status(got), 200) << is_followed;
		EXPECT_GT(got.size(), n * piece.size());
		EXPECT_TRUE(!is_followed || has(caller.read_message(), "of 2"));
	}
}

/*
 * Another operator's proxy kept all that a faulty endpoint sent, until it was
 * out of memory.
 */
TEST(PxMemory, BytesWithoutEndAreNotKept)
{
	static const struct {
		const char *name, *start, *piece;
		bool caller_reads;
	} cases[] = {
		{"garbage", "", "garbage without end ", true},
		{"fields of a head", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", true},
		{"one field", "HTTP/1.1 200 OK\r\nX-Long: ", "abcdefghij",
		 true},
		{"status line", "HTTP/1.1 200 ", "abcdefghij", true},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", true},
		{"interim answers with fields", "",
		 "HTTP/1.1 103 X\r\nLink: abcdefghij\r\n\r\n", true},
		{"body with no length", "HTTP/1.1 200 OK\r\n\r\n", "body",
		 true},
		{"body with no length, caller does not read",
		 "HTTP/1.1 200 OK\r\n\r\n", "body", false},
		{"body with a length, caller does not read",
		 "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
		 "body", false},
		{"chunks of one byte",
		 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		 "1\r\nx\r\n", true},
		{"chunks, caller does not read",
		 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		 "4\r\nbody\r\n", false},
		{"extension of a chunk",
		 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;",
		 "abcdefghij", true},
		{"trailers",
		 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		 "X-A: b\r\n", true},
		{"body of a rejection",
		 "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n\r\n", "body", true},
		{"answers to others", "",
		 "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9\r\nContent-Length: 4\r\n"
		 "\r\nbody",
		 true},
		{"answers after the answer",
		 "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nContent-Length: 4\r\n"
		 "\r\nbody",
		 "HTTP/1.1 200 OK\r\n\r\n", true},
	};
	const size_t limit = 1024 * 1024; /* for one request */

	for (const auto &c : cases) {
		world w;
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);
		std::string piece;
		size_t before;
		size_t most = 0;
		size_t sent = 0;

		w.send_heartbeat("i-1", "ready", 1);
		for (int i = 0; i < 2000; i++)
			piece += c.piece;
		caller.write("GET /book/1 HTTP/1.1\r\nHost: a.example\r\n"
			     "X-Attempt-Id: 1\r\nX-Deadline-Ms: 300\r\n"
			     "Connection: close\r\n\r\n");
		blocking_socket backend = w.backend.accept_one();

		backend.read_message();
		before = allocated_bytes();
		std::thread reader([&] {
			char buffer[65536];

			while (c.caller_reads &&
			       recv(caller.fd, buffer, sizeof(buffer), 0) > 0)
				;
		});

		send(backend.fd, c.start, strlen(c.start), MSG_NOSIGNAL);
		for (;;) {
			ssize_t n = send(backend.fd, piece.data(), piece.size(),
					 MSG_NOSIGNAL);

			most = std::max(most, allocated_bytes());
			if (n < 0)
				break;
			sent += (size_t)n;
		}
		reader.join();
		EXPECT_LE(most, before + limit) << c.name << " of " << sent;
	}
}

/* Requests fill the budget; then a failed idempotent request is retried. */
TEST(PxRetry, GoesElsewhereWithinTheBudget)
{
	world w;
	listener other(OTHER_PROXY_PORT);

	w.send_heartbeat("i-1", "ready", 1);
	for (int i = 0; i < 20; i++) {
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		caller.write(request("GET /look/"));
		blocking_socket backend = w.backend.accept_one();

		backend.read_message();
		backend.write(answer(200, "ok"));
		EXPECT_EQ(status(caller.read_message()), 200);
		backend.end();
	}
	w.run([&] { w.endpoints(true); });
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	caller.write(request("GET /look/"));
	blocking_socket backend = w.backend.accept_one();

	backend.read_message();
	backend.reset();
	blocking_socket peer = other.accept_one();
	std::string got = peer.read_message();

	EXPECT_TRUE(has(got, "caraway-service: stock\r\n")) << got;
	EXPECT_TRUE(has(got, "caraway-caller: stock\r\n"));
	EXPECT_FALSE(has(got, "X-Deadline-Ms"));
	peer.write(answer(200, "second", "caraway-load: 1\r\n"));
	std::string back = caller.read_message();

	EXPECT_EQ(status(back), 200);
	EXPECT_TRUE(has(back, "second"));
	EXPECT_FALSE(has(back, "caraway"));
}

TEST(PxRetry, RefusalOfAnotherProxyIsNotAnAttempt)
{
	world w;
	listener other(OTHER_PROXY_PORT);
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	w.run([&] { w.endpoints(true); });
	caller.write(request("GET /book/"));
	blocking_socket peer = other.accept_one();

	peer.read_message();
	/* 603 is CL_OVERLOADED. */
	peer.write("HTTP/1.1 503 X\r\ncaraway-not-run: 603\r\n"
		   "caraway-load: 9\r\nContent-Length: 0\r\n\r\n");
	EXPECT_EQ(status(caller.read_message()), 503);
}

/* A request that may have run is answered 504, without "not run". */
TEST(PxRetry, TimeoutIsNotReportedAsNotRun)
{
	world w;
	blocking_socket peer = blocking_socket::connect_to(PEER_PORT);

	w.send_heartbeat("i-1", "ready", 1);
	peer.write("GET /book/ HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: 1\r\n"
		   "caraway-service: stock\r\ncaraway-caller: other\r\n"
		   "caraway-time-left-us: 100000\r\n\r\n");
	blocking_socket backend = w.backend.accept_one();

	EXPECT_TRUE(has(backend.read_message(), "X-Caller-Service: other\r\n"));
	std::string got = peer.read_message();

	EXPECT_EQ(status(got), 504);
	EXPECT_FALSE(has(got, "caraway-not-run"));
}

/*
 * Uploads that waited for the outgoing link of their proxy were answered 504,
 * "may have run", though another proxy passes on whole requests only.
 */
TEST(PxRetry, RequestThatWasNotSentWholeIsReportedAsNotRun)
{
	enum { LINK_RATE = 100 * 1000, LONG_BODY = 90 * 1000, SHORT_BODY = 9 };
	static const struct {
		const char *name;
		size_t body;
		bool closes; /* the other proxy ends the connection */
		int status, code;
	} cases[] = {
		{"not sent whole in its time", LONG_BODY, false, 503, 616},
		{"sent whole, without an answer", SHORT_BODY, false, 504, 604},
		{"cut off before it was sent whole", LONG_BODY, true, 503, 612},
		{"cut off after it was sent whole", SHORT_BODY, true, 502, 607},
	};

	for (const auto &c : cases) {
		world w(true, LINK_RATE);
		listener other(OTHER_PROXY_PORT);
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		w.run([&] { w.endpoints(true); });
		caller.write("POST /photos/ HTTP/1.1\r\nHost: a.example\r\n"
			     "X-Attempt-Id: 1\r\nX-Deadline-Ms: 300\r\n"
			     "Content-Length: " +
			     std::to_string(c.body) + "\r\n\r\n" +
			     std::string(c.body, 'x'));
		blocking_socket peer = other.accept_one();

		if (c.body == SHORT_BODY) {
			EXPECT_FALSE(peer.read_message().empty());
		}
		if (c.closes)
			peer.end();
		std::string got = caller.read_message();

		EXPECT_EQ(status(got), c.status) << c.name << got;
		EXPECT_TRUE(
			has(got, "\"code\":" + std::to_string(c.code) + ","))
			<< c.name << got;
		EXPECT_EQ(has(got, "Retry-After: "), c.status == 503) << c.name;
	}
}

TEST(PxTimeout, OfTheRouteIsAnsweredAndClosesTheBackendConnection)
{
	world w;
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	w.send_heartbeat("i-1", "ready", 1);
	caller.write(request("GET /short/"));
	blocking_socket backend = w.backend.accept_one();

	EXPECT_FALSE(backend.read_message().empty());
	EXPECT_EQ(status(caller.read_message()), 504);
	EXPECT_TRUE(backend.is_closed_by_peer());
}

TEST(PxCancel, CallerDisconnectCancelsTheRequest)
{
	world w;
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	w.send_heartbeat("i-1", "ready", 1);
	caller.write(request("GET /look/"));
	blocking_socket backend = w.backend.accept_one();

	EXPECT_FALSE(backend.read_message().empty());
	caller.end();
	EXPECT_TRUE(backend.is_closed_by_peer());
}

/*
 * Behind a download no other request begins, so further requests are read up to a
 * limit.  Beyond it the end of the connection was not seen.  What is not read fits
 * into the receive window, or the end would not have arrived.
 */
TEST(PxCancel, CallerWhoseRequestsAreNotReadMayLeave)
{
	static const struct {
		const char *name;
		size_t n_behind;
		bool resets;
	} cases[] = {
		{"some requests behind", 2, false},
		{"more than are read", 16, false},
		{"more than are read, and a reset", 16, true},
	};
	std::string padding = "X-Padding: " + std::string(3000, 'x') + "\r\n";

	for (auto &c : cases) {
		const struct linger reset = {1, 0};
		world w;
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		w.run([&] {
			struct cf_snapshot *s =
				snapshot(changed("\"/look/\",\"idempotent\"",
						 "\"/look/\",\"download\""));

			px_configure(w.proxy, s);
			cf_snapshot_unref(s);
		});
		w.send_heartbeat("i-1", "ready", 1);
		caller.write(request("GET /look/"));
		blocking_socket backend = w.backend.accept_one();

		EXPECT_FALSE(backend.read_message().empty()) << c.name;
		for (size_t i = 0; i < c.n_behind; i++)
			caller.write(request("GET /look/", padding));
		g_usleep(100 * 1000);
		if (c.resets)
			setsockopt(caller.fd, SOL_SOCKET, SO_LINGER, &reset,
				   sizeof(reset));
		caller.end();
		backend.set_patience(1);
		EXPECT_TRUE(backend.is_closed_by_peer()) << c.name;
		EXPECT_EQ(recv(backend.fd, &padding[0], 1, MSG_DONTWAIT), 0)
			<< c.name;
	}
}

/* With two slots, the third request waits until a slot is free. */
TEST(PxAdmission, NeverExceedsTheSlots)
{
	world w;
	blocking_socket a = blocking_socket::connect_to(CALLER_PORT);
	blocking_socket b = blocking_socket::connect_to(CALLER_PORT);
	blocking_socket c = blocking_socket::connect_to(CALLER_PORT);

	w.send_heartbeat("i-1", "ready", 1);
	a.write(request("GET /look/a"));
	blocking_socket first = w.backend.accept_one();

	first.read_message();
	b.write(request("GET /look/b"));
	blocking_socket second = w.backend.accept_one();

	second.read_message();
	c.write(request("GET /look/c"));
	w.run([] {});
	struct pollfd none = {w.backend.fd, POLLIN, 0};

	EXPECT_EQ(poll(&none, 1, 0), 0);
	first.write(answer(200, "a"));
	EXPECT_EQ(status(a.read_message()), 200);
	EXPECT_TRUE(has(first.read_message(), "GET /look/c"));
	first.write(answer(200, "c"));
	EXPECT_EQ(status(c.read_message()), 200);
	second.write(answer(200, "b"));
	EXPECT_EQ(status(b.read_message()), 200);
}

/* The time limit of a drain starts with its acknowledgement. */
TEST(PxAdmission, DrainRefusesFromItsAcknowledgement)
{
	world w;
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	EXPECT_EQ(status(w.send_heartbeat("i-1", "ready", 1)), 200);
	EXPECT_EQ(status(w.send_heartbeat("i-1", "draining", 2)), 200);
	caller.write(request("GET /look/"));
	EXPECT_EQ(status(caller.read_message()), 503);
	/* A heartbeat sent before the drain arrives after it. */
	EXPECT_EQ(status(w.send_heartbeat("i-1", "ready", 1)), 200);
	caller.write(request("GET /look/"));
	EXPECT_EQ(status(caller.read_message()), 503);
	/* The next start of the backend server, then a late heartbeat. */
	EXPECT_EQ(status(w.send_heartbeat("i-2", "ready", 1, 9)), 200);
	EXPECT_EQ(status(w.send_heartbeat("i-1", "ready", 3, 5)), 200);
	w.run([&] { w.endpoints(false, 2); });
	caller.write(request("GET /look/"));
	blocking_socket backend = w.backend.accept_one();

	EXPECT_TRUE(has(backend.read_message(), "X-Target-Instance: i-2\r\n"));
	backend.write(answer(200, "ok"));
	EXPECT_EQ(status(caller.read_message()), 200);
	EXPECT_EQ(
		status(w.call_control("POST /v1/instances/i-2/deregister", "")),
		200);
	caller.write(request("GET /look/"));
	EXPECT_EQ(status(caller.read_message()), 503);
}

/*
 * A heartbeat that was sent before the deregistration arrived after it and made
 * the backend server a new one.
 */
TEST(PxBackend, LateHeartbeatDoesNotReviveAServerThatDeregistered)
{
	struct step {
		const char *call, *id, *state;
		int sequence;
		long start_wall_ms; /* 0: not stated */
		bool used;	    /* after the step */
	};
	static const struct {
		const char *name;
		std::vector<struct step> steps;
	} cases[] = {
		{"sent after the last one",
		 {{"heartbeat", "i-1", "ready", 1, 5, true},
		  {"deregister", "i-1", "", 0, 0, false},
		  {"heartbeat", "i-1", "ready", 2, 5, false}}},
		{"repeated",
		 {{"heartbeat", "i-1", "ready", 1, 5, true},
		  {"deregister", "i-1", "", 0, 0, false},
		  {"heartbeat", "i-1", "ready", 1, 5, false}}},
		{"after a repeated deregistration",
		 {{"heartbeat", "i-1", "ready", 1, 5, true},
		  {"deregister", "i-1", "", 0, 0, false},
		  {"deregister", "i-1", "", 0, 0, false},
		  {"heartbeat", "i-1", "ready", 2, 5, false}}},
		{"after a departure that it announced",
		 {{"heartbeat", "i-1", "ready", 1, 5, true},
		  {"heartbeat", "i-1", "draining", 2, 5, false},
		  {"deregister", "i-1", "", 0, 0, false},
		  {"heartbeat", "i-1", "ready", 3, 5, false}}},
		{"of an earlier start, after a later one has left",
		 {{"heartbeat", "i-1", "ready", 1, 5, true},
		  {"heartbeat", "i-2", "ready", 1, 9, true},
		  {"deregister", "i-2", "", 0, 0, false},
		  {"heartbeat", "i-1", "ready", 2, 5, false},
		  {"heartbeat", "i-2", "ready", 2, 9, false}}},
		{"the proxy never heard of it before",
		 {{"deregister", "i-1", "", 0, 0, false},
		  {"heartbeat", "i-1", "ready", 1, 5, false}}},
		{"the deregistration states the start",
		 {{"deregister", "i-1", "", 0, 5, false},
		  {"heartbeat", "i-1", "ready", 1, 5, false},
		  {"heartbeat", "i-1", "ready", 1, 9, true}}},
		{"the next start has another id",
		 {{"heartbeat", "i-1", "ready", 1, 5, true},
		  {"deregister", "i-1", "", 0, 0, false},
		  {"heartbeat", "i-2", "ready", 1, 9, true},
		  {"heartbeat", "i-1", "ready", 2, 5, true}}},
		{"the next start has the same id",
		 {{"heartbeat", "i-1", "ready", 7, 5, true},
		  {"deregister", "i-1", "", 0, 0, false},
		  {"heartbeat", "i-1", "ready", 1, 9, true}}},
		{"a late deregistration of the start before",
		 {{"heartbeat", "i-1", "ready", 7, 5, true},
		  {"heartbeat", "i-1", "ready", 1, 9, true},
		  {"deregister", "i-1", "", 0, 5, true},
		  {"heartbeat", "i-2", "ready", 1, 12, true},
		  {"deregister", "i-1", "", 0, 0, true}}},
	};

	for (const auto &c : cases) {
		world w;
		int n = 0;

		for (const auto &s : c.steps) {
			if (!strcmp(s.call, "heartbeat"))
				w.send_heartbeat(s.id, s.state, s.sequence,
						 s.start_wall_ms);
			else
				w.call_control(
					std::string("POST /v1/instances/") +
						s.id + "/deregister",
					s.start_wall_ms
						? "{\"born\":" +
							  std::to_string(
								  s.start_wall_ms) +
							  "}"
						: "");
			w.run([&] { w.endpoints(false, ++n); });
			EXPECT_EQ(w.is_used(), s.used)
				<< c.name << ", step " << n;
		}
	}
}

/*
 * A proxy was killed after it had acknowledged a departure, and the next process
 * heard a heartbeat that was sent before.
 */
TEST(PxBackend, RestartedProxyUsesWhatItsPredecessorKnew)
{
	static const struct {
		const char *name;
		enum ep_state state;
		bool heard_first;
		const char *id, *next;
		int sequence;
		long start_wall_ms;
		bool used;
	} cases[] = {
		{"it left", EP_HAS_LEFT, false, "i-1", "ready", 9, 5, false},
		{"it left, heard before", EP_HAS_LEFT, true, "i-1", "ready", 9,
		 5, false},
		{"it left, next start", EP_HAS_LEFT, false, "i-1", "ready", 1,
		 6, true},
		{"it drains, sent before", EP_DRAINS, false, "i-1", "ready", 6,
		 5, false},
		{"it drains, sent before, heard before", EP_DRAINS, true, "i-1",
		 "ready", 6, 5, false},
		{"it drains, sent after", EP_DRAINS, false, "i-1", "draining",
		 8, 5, false},
		{"it serves, sent after", EP_SERVES, false, "i-1", "ready", 8,
		 5, true},
		{"it serves, heard before", EP_SERVES, true, "i-1", "ready", 8,
		 5, true},
		{"it serves, late one of an earlier start", EP_SERVES, false,
		 "i-0", "ready", 8, 4, false},
		{"it serves, late one heard before", EP_SERVES, true, "i-0",
		 "ready", 8, 4, false},
	};

	for (const auto &c : cases) {
		world w;
		const struct ep_lifetime known = {"i-1", 5, 7, c.state};

		if (!c.heard_first)
			w.run([&] { px_restore_backend(w.proxy, &known); });
		w.send_heartbeat(c.id, c.next, c.sequence, c.start_wall_ms);
		if (c.heard_first)
			w.run([&] { px_restore_backend(w.proxy, &known); });
		EXPECT_EQ(w.is_used(), c.used) << c.name;
	}
}

/*
 * Another writer's odd entry ended the machines of another operator that read
 * it, or they stopped following the list.
 */
TEST(PxBackend, OddEntriesOfAnotherWriterChangeNothing)
{
	const std::string valid =
		"{\"service\":\"stock\",\"address\":\"x\",\"zone\":\"dc1\","
		"\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
		"\"cold_left\":\"0ms\",\"sequence\":9,\"born\":99}";
	const std::string deep(30000, '[');
	const std::string deep_object = [] {
		std::string text;

		for (int i = 0; i < 9000; i++)
			text += "{\"a\":";
		return text;
	}();
	const struct {
		const char *name;
		std::string from, to;
	} cases[] = {
		{"deep arrays", valid, deep},
		{"deep arrays, closed", valid, deep + std::string(30000, ']')},
		{"deep objects", valid, deep_object},
		{"deep value of an unknown field", "\"v1\"", deep},
		{"closed deep value", "\"v1\"",
		 std::string(3000, '[') + std::string(3000, ']')},
		{"number too large", "\"slots\":2",
		 "\"slots\":" + std::string(400, '9')},
		{"start too large", ":99}", ":" + std::string(30, '9') + "}"},
		{"start in the far future", ":99}", ":99999999999999}"},
		{"real number too large", "\"slots\":2", "\"slots\":1e999"},
		{"negative number", "\"slots\":2", "\"slots\":-2"},
		{"too many slots", "\"slots\":2", "\"slots\":4294967298"},
		{"sequence too large", "\"sequence\":9",
		 "\"sequence\":18446744073709551616"},
		{"time too large", "0ms", std::string(400, '9') + "s"},
		{"long name", "\"stock\"",
		 "\"" + std::string(60000, 's') + "\""},
		{"not UTF-8", "stock", "\xff\xfe"},
		{"nothing", valid, ""},
		{"null", valid, "null"},
	};
	world w;

	w.send_heartbeat("i-1", "ready", 1);
	for (const auto &c : cases) {
		std::string text = valid;

		text.replace(text.find(c.from), c.from.size(), c.to);
		for (const char *call : {"heartbeat", "deregister"})
			w.call_control(
				std::string("POST /v1/instances/i-odd/") + call,
				text);
		EXPECT_TRUE(w.is_used()) << c.name;
	}
	EXPECT_EQ(status(w.send_heartbeat("i-1", "ready", 2)), 200);
	EXPECT_TRUE(w.is_used());
}

/* Records of other proxies that name no address that can be reached. */
TEST(PxBackend, OddAddressesOfOtherProxiesAreNoEndpoints)
{
	static const char *const addresses[] = {
		"127.0.0.1:99999",
		"127.0.0.1:-1",
		"127.0.0.1:0",
		"127.0.0.1:",
		"127.0.0.1",
		":1",
		"nowhere:1",
		"[::1:1",
		"256.0.0.1:1",
		"127.0.0.1:1:1",
		"18446744073709551616:1",
	};
	world w;

	w.send_heartbeat("i-1", "ready", 1);
	for (const char *a : addresses) {
		w.run([&] { w.endpoint_at(a); });
		for (int i = 0; i < 5; i++)
			EXPECT_TRUE(w.is_used()) << a;
	}
}

TEST(PxSplit, KeepsItsSharesOverFewRequests)
{
	world w;
	int taken = 0;

	w.send_heartbeat("i-1", "ready", 1);
	for (int i = 0; i < 40; i++) {
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		caller.write("GET /x HTTP/1.1\r\nHost: b.example\r\n\r\n");
		/*
		 * Requests for the part without endpoints are refused, not
		 * sent to the other part.
		 */
		struct pollfd p[2] = {{w.backend.fd, POLLIN, 0},
				      {caller.fd, POLLIN, 0}};

		ASSERT_GE(poll(p, 2, WAIT_S * 1000), 1);
		if (!(p[0].revents & POLLIN)) {
			EXPECT_EQ(status(caller.read_message()), 503);
			continue;
		}
		blocking_socket backend = w.backend.accept_one();

		backend.read_message();
		backend.write(answer(200, "ok"));
		EXPECT_EQ(status(caller.read_message()), 200);
		taken++;
	}
	EXPECT_NEAR(taken, 30, 1);
}

/*
 * What was built up by the old weights went on sending requests to a service of
 * weight 0.  It is largest right after a request for the other service.
 */
TEST(PxSplit, ChangedWeightsHoldFromTheNextRequest)
{
	static const char *const request =
		"GET /x HTTP/1.1\r\nHost: b.example\r\n";
	static const struct {
		const char *name, *before, *after;
		bool used;
	} cases[] = {
		{"smaller scale",
		 "{\"service\":\"stock\",\"weight\":90},"
		 "{\"service\":\"none\",\"weight\":10}",
		 "{\"service\":\"stock\",\"weight\":0},"
		 "{\"service\":\"none\",\"weight\":1}",
		 false},
		{"parts change places",
		 "{\"service\":\"stock\",\"weight\":90},"
		 "{\"service\":\"none\",\"weight\":10}",
		 "{\"service\":\"none\",\"weight\":1},"
		 "{\"service\":\"stock\",\"weight\":0}",
		 false},
		{"the other way round",
		 "{\"service\":\"stock\",\"weight\":10},"
		 "{\"service\":\"none\",\"weight\":90}",
		 "{\"service\":\"stock\",\"weight\":1},"
		 "{\"service\":\"none\",\"weight\":0}",
		 true},
	};
	const std::string split = "{\"service\":\"stock\",\"weight\":3},"
				  "{\"service\":\"none\",\"weight\":1}";

	for (const auto &c : cases) {
		world w;
		int n = 0;

		w.send_heartbeat("i-1", "ready", 1);
		w.run([&] { w.configure(changed(split, c.before)); });
		while (w.is_used(request) != c.used)
			ASSERT_LT(++n, 20) << c.name;
		w.run([&] { w.configure(changed(split, c.after)); });
		for (int i = 0; i < 30; i++)
			ASSERT_EQ(w.is_used(request), c.used) << c.name << i;
	}
}

/*
 * The answer waits for the link longer than USER_TIMEOUT_MS of ht_conn.c, which
 * bounds the time without progress of a closing connection.
 */
TEST(PxForward, AnswerIsCompleteOverASlowLink)
{
	const std::string body(33000, 'b');
	world w(true, 4000);

	w.send_heartbeat("i-1", "ready", 1);
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	caller.write(request("GET /look/a", "Connection: close\r\n"));
	blocking_socket backend = w.backend.accept_one();

	backend.read_message();
	backend.write(answer(200, body));
	EXPECT_TRUE(has(caller.read_message(), body));
}

/* The whole answer is read long before it is sent over the slow link. */
TEST(PxStop, CountsUnsentAnswers)
{
	const std::string body(40000, 'b');
	world w(true, 20000);
	unsigned int left = 0;

	w.send_heartbeat("i-1", "ready", 1);
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	caller.write(request("GET /look/a"));
	blocking_socket backend = w.backend.accept_one();

	backend.read_message();
	backend.write(answer(200, body));
	caller.read_more();
	w.begin_stop();
	w.run([&] { left = px_count_in_progress(w.proxy); });
	EXPECT_EQ(left, 1U);
	EXPECT_TRUE(has(caller.read_message(), body));
	w.run([&] { left = px_count_in_progress(w.proxy); });
	EXPECT_EQ(left, 0U);
}

TEST(PxStop, NewRequestsAreRefusedAndOthersGetAFinalAnswer)
{
	world w;
	blocking_socket early = blocking_socket::connect_to(CALLER_PORT);
	blocking_socket late = blocking_socket::connect_to(CALLER_PORT);

	w.send_heartbeat("i-1", "ready", 1);
	early.write(request("GET /book/"));
	blocking_socket backend = w.backend.accept_one();

	EXPECT_FALSE(backend.read_message().empty());
	w.begin_stop();
	w.run([&] { px_refuse_requests(w.proxy); });
	late.write(request("GET /book/"));
	std::string got = late.read_message();

	EXPECT_EQ(status(got), 503);
	EXPECT_TRUE(has(got, "Connection: close\r\n"));
	w.run([&] { px_end_requests(w.proxy); });
	EXPECT_EQ(status(early.read_message()), 502);
}

/*
 * Another operator's proxy took requests late in the grace time and cut them off
 * at its end.
 */
TEST(PxStop, NoRequestIsTakenLateInTheGraceTime)
{
	const std::string of_proxies = "caraway-service: stock\r\n"
				       "caraway-caller: stock\r\n"
				       "caraway-time-left-us: 4000000\r\n";
	world w;
	blocking_socket kept = blocking_socket::connect_to(CALLER_PORT);
	blocking_socket upload = blocking_socket::connect_to(CALLER_PORT);
	blocking_socket peer = blocking_socket::connect_to(PEER_PORT);

	w.send_heartbeat("i-1", "ready", 1);
	w.begin_stop();
	kept.write(request("POST /book/1"));
	blocking_socket backend = w.backend.accept_one();

	backend.read_message();
	upload.write("POST /photos/ HTTP/1.1\r\nHost: a.example\r\n"
		     "Content-Length: 2\r\n\r\na");
	w.run([&] { px_refuse_requests(w.proxy); });
	backend.write(answer(200, "ok"));
	EXPECT_EQ(status(kept.read_message()), 200);
	upload.write("b");
	EXPECT_EQ(status(upload.read_message()), 503);
	for (const char *line : {"POST /book/2", "GET /look/"}) {
		peer.write(request(line, of_proxies));
		std::string got = peer.read_message();

		EXPECT_EQ(status(got), 503) << line;
		EXPECT_TRUE(has(got, "caraway-not-run: ")) << got;
	}
	struct pollfd p = {w.backend.fd, POLLIN, 0};

	EXPECT_EQ(poll(&p, 1, 50), 0);
}

/* The answer was made, so the stop must not turn it into a failure. */
TEST(PxStop, AnswerThatIsArrivingIsDeliveredWhole)
{
	const std::string body(40000, 'b');
	const std::string whole = answer(200, body);
	world w;

	w.send_heartbeat("i-1", "ready", 1);
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	caller.write(request("GET /look/a"));
	blocking_socket backend = w.backend.accept_one();

	backend.read_message();
	backend.write(whole.substr(0, 20000));
	usleep(50000);
	w.begin_stop();
	w.run([&] { px_end_requests(w.proxy); });
	backend.write(whole.substr(20000));
	EXPECT_TRUE(has(caller.read_message(), body));
}

/* Another proxy can be late with an answer only if it knows of the stop. */
TEST(PxStop, OtherProxiesLearnWhenTheirAnswersMustArrive)
{
	world w;
	listener other(OTHER_PROXY_PORT);

	w.endpoints(true);
	w.send_heartbeat("i-1", "draining", 1);
	blocking_socket early = blocking_socket::connect_to(CALLER_PORT);
	blocking_socket late = blocking_socket::connect_to(CALLER_PORT);

	early.write(request("GET /look/a"));
	blocking_socket first = other.accept_one();
	std::string sent = first.read_message();

	EXPECT_TRUE(has(sent, "GET /look/a"));
	EXPECT_FALSE(has(sent, "caraway-leaves-left-us"));
	w.begin_stop();
	blocking_socket second = other.accept_one();

	sent = second.read_message();
	EXPECT_TRUE(has(sent, "caraway-leaving: 1\r\n")) << sent;
	EXPECT_TRUE(has(sent, "caraway-leaves-left-us: ")) << sent;
	second.write("HTTP/1.1 204 No Content\r\n\r\n");
	late.write(request("GET /look/b"));
	sent = second.read_message();
	EXPECT_TRUE(has(sent, "GET /look/b")) << sent;
	EXPECT_TRUE(has(sent, "caraway-leaves-left-us: ")) << sent;
}

static std::string peer_request(const std::string &id,
				const std::string &fields = "")
{
	return "GET /look/" + id + " HTTP/1.1\r\nHost: a.example\r\n" +
	       "X-Attempt-Id: " + id + "\r\ncaraway-service: stock\r\n" +
	       "caraway-caller: desk\r\ncaraway-route: look\r\n" +
	       "caraway-time-left-us: 8000000\r\n" +
	       "caraway-target-left-us: 1000\r\n" + fields + "\r\n";
}

static std::string long_answer(const std::string &id, const std::string &body)
{
	return "HTTP/1.1 200 X\r\nX-Attempt-Id: " + id +
	       "\r\nContent-Length: " + std::to_string(body.size()) +
	       "\r\n\r\n" + body;
}

/*
 * Two late answers share the link, and the shorter rest goes first.  The longer
 * one is for a proxy that leaves as soon as the link can have sent it.
 */
TEST(PxStop, AnswerForAProxyThatLeavesGoesFirst)
{
	static const char leaving[] =
		"POST / HTTP/1.1\r\nHost: -\r\ncaraway-leaving: 2\r\n"
		"caraway-leaves-left-us: 1500000\r\n"
		"Content-Length: 0\r\n\r\n";
	const std::string shorter(150000, 's');
	const std::string longer(200000, 'l');

	for (bool by_notice : {false, true}) {
		world w(true, 200000);
		blocking_socket staying =
			blocking_socket::connect_to(PEER_PORT);
		blocking_socket leaver = blocking_socket::connect_to(PEER_PORT);
		blocking_socket notice = blocking_socket::connect_to(PEER_PORT);

		w.send_heartbeat("i-1", "ready", 1);
		staying.write(peer_request("1"));
		blocking_socket b1 = w.backend.accept_one();

		b1.read_message();
		leaver.write(peer_request(
			"2", by_notice
				     ? ""
				     : "caraway-leaves-left-us: 1500000\r\n"));
		blocking_socket b2 = w.backend.accept_one();

		b2.read_message();
		b1.write(long_answer("1", shorter));
		b2.write(long_answer("2", longer));
		if (by_notice) {
			notice.write(leaving);
			EXPECT_EQ(status(notice.read_message()), 204);
		}
		EXPECT_TRUE(has(leaver.read_message(), longer)) << by_notice;
		EXPECT_TRUE(staying.read_more());
		EXPECT_LT(staying.unread.size(), shorter.size()) << by_notice;
		EXPECT_TRUE(has(staying.read_message(), shorter)) << by_notice;
	}
}

/*
 * Of an answer above PX_OUT_HIGH_WATER_BYTES, the rest that the backend server
 * still holds must arrive before its receiver leaves, too.  Five shorter ones
 * wait for the same link.
 */
TEST(PxStop, RestThatTheBackendStillHoldsArrivesBeforeItsReceiverLeaves)
{
	const std::string shorter(100000, 's');
	const std::string longer(400000, 'l');
	const int n = 5;
	world w(true, 200000);

	w.send_heartbeat("i-1", "ready", 1, 5, n + 1);
	std::vector<blocking_socket> staying;
	std::vector<blocking_socket> backends;

	for (int i = 0; i < n; i++) {
		staying.push_back(blocking_socket::connect_to(PEER_PORT));
		staying.back().write(peer_request(std::to_string(i)));
		backends.push_back(w.backend.accept_one());
		backends.back().read_message();
	}
	blocking_socket leaver = blocking_socket::connect_to(PEER_PORT);

	leaver.write(peer_request("9", "caraway-leaves-left-us: 2500000\r\n"));
	blocking_socket b = w.backend.accept_one();

	b.read_message();
	ba_time begun = ba_clock_now();

	for (int i = 0; i < n; i++)
		backends[(size_t)i].write(
			long_answer(std::to_string(i), shorter));
	std::thread writer([&] { b.write(long_answer("9", longer)); });

	EXPECT_TRUE(has(leaver.read_message(), longer));
	EXPECT_LE(ba_clock_now() - begun, 3 * BA_SECOND);
	writer.join();
}

/*
 * The program calls px_end_requests() again and again until its end.  What
 * arrives meanwhile cannot be ended any more, so it must not begin.
 */
TEST(PxStop, NoRequestBeginsAfterTheFinalAnswers)
{
	for (bool from_peer : {false, true}) {
		world w;

		w.send_heartbeat("i-1", "ready", 1);
		blocking_socket late = blocking_socket::connect_to(
			from_peer ? PEER_PORT : CALLER_PORT);

		w.begin_stop();
		w.run([&] { px_end_requests(w.proxy); });
		late.write(from_peer ? peer_request("1")
				     : request("GET /book/a"));
		usleep(50000);
		w.run([&] { px_end_requests(w.proxy); });
		EXPECT_EQ(status(late.read_message()), 503) << from_peer;
	}
}

} // namespace
