#include "test/proxy_world.h"

using namespace proxy_world;

namespace
{

/* The configuration with two teams; /photos/ is open. */
std::string with_teams(const std::string &keys_of_blue = "\"kb\"")
{
	std::string text = configuration;
	const std::string column = "\"service\"],\"rows\"";
	size_t at = text.find(column);

	text.replace(at, column.size(),
		     "\"service\",\"auth_exempt\"],\"rows\"");
	at = text.find("\"400ms\",1,null,2,\"stock\"]", text.find("/photos/"));
	text.insert(text.find(']', at), ",true");
	text.insert(text.size() - 1,
		    ",\"tenants\":{\"columns\":[\"name\",\"api_keys\","
		    "\"priority\",\"rate_per_s\",\"burst\"],\"rows\":["
		    "[\"red\",[\"kr1\",\"kr2\"],7,0,null],[\"blue\",[" +
			    keys_of_blue + "],null,null,5]]}");
	return text;
}

std::string key(const std::string &text)
{
	return "Authorization: Bearer " + text + "\r\n";
}

/* Each request goes to the backend server, or is refused where it entered. */
TEST(PxTeam, KeyDecidesWhoRuns)
{
	static const struct {
		const char *name, *path, *fields;
		int code;	  /* of the refusal, or 0 */
		const char *team; /* that the backend server is told */
	} cases[] = {
		{"first key", "GET /look/", "Authorization: Bearer kr1\r\n", 0,
		 "red"},
		{"second key, other letters", "GET /look/",
		 "authorization: bEARER   kr2\r\n", 0, "red"},
		{"another team's name", "GET /look/",
		 "X-Tenant: red\r\nAuthorization: Bearer kb\r\nx-tenant: a\r\n",
		 0, "blue"},
		{"no key", "GET /look/", "X-Tenant: red\r\n", 623, ""},
		{"another scheme", "GET /look/", "Authorization: Basic kr1\r\n",
		 623, ""},
		{"two keys", "GET /look/",
		 "Authorization: Bearer kr1\r\nAuthorization: Bearer kr1\r\n",
		 623, ""},
		{"unknown key", "GET /look/", "Authorization: Bearer kr\r\n",
		 624, ""},
		{"open, no key", "POST /photos/", "X-Tenant: red\r\n", 0, ""},
		{"open, unknown key", "POST /photos/",
		 "Authorization: Bearer kr\r\n", 0, ""},
		{"open, a key", "POST /photos/", "Authorization: Bearer kb\r\n",
		 0, "blue"},
	};
	world w(false);

	w.run([&] { w.configure(with_teams()); });
	w.send_heartbeat("i-1", "ready", 1);
	for (const auto &c : cases) {
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		caller.write(request(c.path, c.fields));
		if (c.code) {
			std::string got = caller.read_message();

			EXPECT_EQ(status(got), 401) << c.name;
			EXPECT_TRUE(has(got, "WWW-Authenticate: Bearer\r\n"));
			EXPECT_TRUE(has(got, std::to_string(c.code))) << got;
			continue;
		}
		blocking_socket backend = w.backend.accept_one();
		std::string got = backend.read_message();
		std::string team = "X-Tenant: " + std::string(c.team) + "\r\n";

		EXPECT_EQ(has(got, team), *c.team != '\0') << c.name << got;
		EXPECT_EQ(got.find("enant"), got.rfind("enant")) << got;
		EXPECT_EQ(has(got, "enant"), *c.team != '\0') << got;
		EXPECT_FALSE(has(got, "uthorization")) << got;
		backend.write(answer(200, "ok"));
		EXPECT_EQ(status(caller.read_message()), 200) << c.name;
	}
}

/* Without teams both are fields as any other. */
TEST(PxTeam, FieldsPassWhereThereAreNoTeams)
{
	world w;

	w.send_heartbeat("i-1", "ready", 1);
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	caller.write(request("GET /look/", key("x") + "X-Tenant: red\r\n"));
	std::string got = w.backend.accept_one().read_message();

	EXPECT_TRUE(has(got, key("x") + "X-Tenant: red\r\n")) << got;
}

/* The priority of the team goes before that of the route. */
TEST(PxTeam, GoesToTheOtherProxyWithItsPriority)
{
	static const struct {
		const char *path, *key, *team;
		unsigned int priority;
	} cases[] = {
		{"GET /look/", "kr1", "caraway-team: red\r\n", 7 * 1001 + 2},
		{"GET /look/", "kb", "caraway-team: blue\r\n", 2 * 1001 + 2},
		{"POST /photos/", "none", "", 1 * 1001 + 1},
	};
	world w(false);
	listener other(OTHER_PROXY_PORT);

	w.run([&] {
		w.configure(with_teams());
		w.endpoints(true);
	});
	for (const auto &c : cases) {
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		caller.write(request(c.path, key(c.key) +
						     "X-Tenant: a\r\n"
						     "caraway-team: a\r\n"));
		blocking_socket peer = other.accept_one();
		std::string got = peer.read_message();

		EXPECT_TRUE(has(got, c.team)) << got;
		EXPECT_EQ(has(got, "caraway-team"), *c.team != '\0') << got;
		EXPECT_TRUE(has(
			got, "caraway-priority: " + std::to_string(c.priority) +
				     "\r\n"))
			<< got;
		EXPECT_FALSE(has(got, "uthorization") || has(got, "X-Tenant"));
		peer.end();
	}
	w.send_heartbeat("i-1", "ready", 1);
	blocking_socket peer = blocking_socket::connect_to(PEER_PORT);

	peer.write(
		"GET /look/ HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: 1\r\n"
		"caraway-service: stock\r\ncaraway-caller: other\r\n"
		"caraway-team: red\r\ncaraway-time-left-us: 9000000\r\n\r\n");
	std::string got = w.backend.accept_one().read_message();

	EXPECT_TRUE(has(got, "X-Tenant: red\r\n")) << got;
	EXPECT_FALSE(has(got, "caraway")) << got;
}

/* A key that is not known may be one that was added since. */
TEST(PxTeam, UnknownKeyIsCertainOnlyWhileTheConfigurationIsCurrent)
{
	world w(false);

	w.run([&] { w.configure(with_teams()); });
	for (bool current : {false, true}) {
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		w.current = current;
		caller.write(request("GET /look/", key("new")));
		std::string got = caller.read_message();

		EXPECT_EQ(status(got), current ? 401 : 503);
		EXPECT_EQ(has(got, "Retry-After: "), !current) << got;
	}
}

/*
 * The key goes while one request is at work and others are behind it, which
 * begin only when it is answered.
 */
TEST(PxTeam, RevokedKeyIsRefusedOnAnOpenConnection)
{
	world w(false);
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	w.run([&] { w.configure(with_teams("\"kb\",\"old\"")); });
	w.send_heartbeat("i-1", "ready", 1);
	caller.write(request("POST /book/", key("old")) +
		     request("POST /book/", key("old")) +
		     request("POST /book/", key("kb")));
	blocking_socket backend = w.backend.accept_one();

	EXPECT_TRUE(has(backend.read_message(), "X-Tenant: blue\r\n"));
	w.run([&] { w.configure(with_teams()); });
	backend.write(answer(200, "first"));
	EXPECT_EQ(status(caller.read_message()), 200);
	EXPECT_EQ(status(caller.read_message()), 401);
	blocking_socket again = w.backend.accept_one();

	EXPECT_TRUE(has(again.read_message(), "X-Tenant: blue\r\n"));
	again.write(answer(200, "third"));
	EXPECT_TRUE(has(caller.read_message(), "third"));
}

/*
 * Guards against review/13: once the last team was gone, requests with any key
 * ran, and the key was passed on.
 */
TEST(PxTeam, NoKeyIsKnownOnceTheLastTeamIsGone)
{
	world w(false);
	std::string text = with_teams();
	size_t rows = text.rfind("\"rows\":[") + strlen("\"rows\":[");

	text.replace(rows, text.rfind("]}}") - rows, "");
	w.run([&] { w.configure(with_teams()); });
	w.send_heartbeat("i-1", "ready", 1);
	w.run([&] { w.configure(text); });
	for (const char *shown : {"kr1", "kb", "never"}) {
		blocking_socket caller =
			blocking_socket::connect_to(CALLER_PORT);

		caller.write(request("GET /look/", key(shown)));
		EXPECT_EQ(status(caller.read_message()), 401) << shown;
	}
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	caller.write(request("POST /photos/", key("kr1")));
	blocking_socket backend = w.backend.accept_one();

	EXPECT_FALSE(has(backend.read_message(), "uthorization"));
}

/* Requests that wait for an endpoint look their key up again. */
TEST(PxTeam, RevokedKeyOfAHeldRequestIsRefused)
{
	world w(false);
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);
	blocking_socket other = blocking_socket::connect_to(CALLER_PORT);

	w.run([&] {
		struct cf_snapshot *s = snapshot(with_teams("\"kb\",\"old\""));

		px_configure(w.proxy, s);
		cf_snapshot_unref(s);
	});
	caller.write(request("GET /look/", key("old")));
	/* It has been read when a later one has its answer. */
	other.write(request("GET /nowhere/"));
	EXPECT_EQ(status(other.read_message()), 404);
	w.run([&] { w.configure(with_teams()); });
	EXPECT_EQ(status(caller.read_message()), 401);
}

/* What stands behind an answer that closes is not read or passed on. */
TEST(PxPipeline, AnswersComeInOrderAndEndWithOneThatCloses)
{
	world w;
	blocking_socket caller = blocking_socket::connect_to(CALLER_PORT);

	w.send_heartbeat("i-1", "ready", 1);
	caller.write(request("GET /look/1") + request("GET /nowhere/") +
		     request("GET /look/3", "Connection: close\r\n") +
		     request("GET /look/4"));
	blocking_socket backend = w.backend.accept_one();

	EXPECT_TRUE(has(backend.read_message(), "/look/1 "));
	backend.write(answer(200, "one"));
	blocking_socket again = w.backend.accept_one();

	EXPECT_TRUE(has(again.read_message(), "/look/3 "));
	again.write(answer(200, "three"));
	EXPECT_TRUE(has(caller.read_message(), "one"));
	EXPECT_EQ(status(caller.read_message()), 404);
	EXPECT_TRUE(has(caller.read_message(), "three"));
	EXPECT_TRUE(caller.is_closed_by_peer());
	for (blocking_socket *s : {&backend, &again}) {
		s->set_patience(1);
		EXPECT_EQ(s->read_message(), "");
	}
}

} // namespace
