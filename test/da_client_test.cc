/* Which answers of a backend server the daemon takes for one. */
#include <gtest/gtest.h>

#include <thread>

#include "daemon/da_client.h"
#include "test/answer_cases.h"
#include "test/proxy_world.h"

using proxy_world::address;
using proxy_world::BACKEND_PORT;
using proxy_world::listener;

namespace
{

struct fetched : da_fetch_owner {
	struct ba_loop *loop;
	int status = 0;
	std::string body;
	std::string fields;
	enum cl_attempt_result result = CL_ATTEMPT_CANCELLED;
	bool written = false;

	explicit fetched(struct ba_loop *l) : da_fetch_owner(), loop(l)
	{
		header = [](struct da_fetch_owner *o, const char *name,
			    const char *value) {
			((fetched *)o)->fields +=
				std::string(name) + ": " + value + "\n";
		};
		head = [](struct da_fetch_owner *o, int status, int64_t) {
			((fetched *)o)->status = status;
		};
		data = [](struct da_fetch_owner *o, const void *data,
			  size_t len) {
			((fetched *)o)->body.append((const char *)data, len);
			return true;
		};
		ended = [](struct da_fetch_owner *o,
			   const struct da_fetch_end *e) {
			((fetched *)o)->result = e->attempt_result;
			((fetched *)o)->written = e->written;
			ba_loop_stop(((fetched *)o)->loop);
		};
	}
};

/* What becomes of a request that the server answers with @bytes. */
fetched fetch(const std::string &bytes, bool ends, const char *method = "GET")
{
	listener server(BACKEND_PORT);
	struct ba_loop *loop = ba_loop_new();
	struct ba_address to = address(BACKEND_PORT);
	struct da_client *client = da_client_new(loop, &to, 10);
	struct da_headers none = {};
	struct da_request q = {};
	fetched f(loop);

	q.call = "1";
	q.method = method;
	q.target = "/";
	q.headers = &none;
	q.deadline = ba_clock_now() + 2 * BA_SECOND;
	da_client_fetch(client, &q, &f);
	std::thread backend([&] {
		proxy_world::blocking_socket s = server.accept_one();

		s.read_message();
		s.write(bytes);
		if (ends)
			shutdown(s.fd, SHUT_WR);
		s.is_closed_by_peer();
	});

	ba_loop_run(loop);
	da_client_free(client);
	settle(loop);
	backend.join();
	ba_loop_free(loop);
	return f;
}

TEST(DaClient, ImproperAnswersAreNone)
{
	for (const auto &c : improper_answers) {
		fetched f = fetch(c.bytes, c.ends);

		EXPECT_EQ(f.result, CL_ATTEMPT_BROKEN) << c.name;
	}
}

TEST(DaClient, ProperAnswersOfOddFormPass)
{
	for (const auto &c : proper_answers) {
		fetched f = fetch(c.bytes, c.ends);

		EXPECT_EQ(f.result, CL_ATTEMPT_ANSWERED) << c.name;
		EXPECT_EQ(f.status, c.status) << c.name;
		EXPECT_EQ(f.body, c.body) << c.name;
		EXPECT_EQ(f.fields.find("X-Sum"), std::string::npos) << c.name;
	}
}

/* A client, and the server's side in a thread of its own. */
struct served {
	listener server{BACKEND_PORT};
	struct ba_loop *loop = ba_loop_new();
	struct ba_address to = address(BACKEND_PORT);
	struct da_client *client;
	struct da_headers none = {};

	explicit served(unsigned int connections)
	    : client(da_client_new(loop, &to, connections))
	{
	}
	~served()
	{
		da_client_free(client);
		settle_and_free(loop);
	}

	struct da_request request(const char *target, bool idempotent = false)
	{
		struct da_request q = {};

		q.call = target;
		q.method = "GET";
		q.target = target;
		q.headers = &none;
		q.deadline = ba_clock_now() + 2 * BA_SECOND;
		q.idempotent = idempotent;
		return q;
	}
};

/*
 * A request on a kept connection that is lost may have run.  It has, if a byte of
 * its answer was read.
 */
TEST(DaClient, RequestOnALostConnectionIsWrittenAgainIfIdempotent)
{
	static const struct {
		const char *name, *answer;
		bool idempotent, again;
	} cases[] = {
		{"closed", "", false, false},
		{"closed, idempotent", "", true, true},
		{"closed in the answer, idempotent", "HTTP/1.1 200 OK\r\nX-A",
		 true, false},
	};

	for (const auto &c : cases) {
		served s(1);
		struct da_request q = s.request("/", c.idempotent);
		fetched first(s.loop);
		fetched second(s.loop);
		std::thread backend([&] {
			auto kept = s.server.accept_one();

			kept.read_message();
			kept.write(with_status_line("HTTP/1.1 200 OK"));
			kept.read_message();
			kept.write(c.answer);
			kept.end();
			if (!c.again)
				return;
			auto other = s.server.accept_one();

			other.read_message();
			other.write(with_status_line("HTTP/1.1 200 OK"));
			other.is_closed_by_peer();
		});

		da_client_fetch(s.client, &q, &first);
		ba_loop_run(s.loop);
		da_client_fetch(s.client, &q, &second);
		ba_loop_run(s.loop);
		EXPECT_EQ(first.result, CL_ATTEMPT_ANSWERED) << c.name;
		EXPECT_EQ(second.result,
			  c.again ? CL_ATTEMPT_ANSWERED : CL_ATTEMPT_BROKEN)
			<< c.name;
		da_client_free(s.client);
		s.client = nullptr;
		settle(s.loop);
		backend.join();
	}
}

TEST(DaClient, AttemptsBeyondTheLimitWait)
{
	served s(1);
	struct da_request a = s.request("/a");
	struct da_request b = s.request("/b");
	struct da_request late = s.request("/late");
	fetched first(s.loop);
	fetched second(s.loop);
	fetched third(s.loop);
	std::string asked;
	std::thread backend([&] {
		auto c = s.server.accept_one();

		for (int i = 0; i < 2; i++) {
			asked += c.read_message().substr(0, 7);
			std::this_thread::sleep_for(
				std::chrono::milliseconds(50));
			c.write(with_status_line("HTTP/1.1 200 OK"));
		}
		c.is_closed_by_peer();
	});

	late.deadline = ba_clock_now() + 10 * BA_MS;
	da_client_fetch(s.client, &a, &first);
	da_client_fetch(s.client, &late, &third);
	da_client_fetch(s.client, &b, &second);
	for (int i = 0; i < 3; i++)
		ba_loop_run(s.loop);
	EXPECT_EQ(first.result, CL_ATTEMPT_ANSWERED);
	EXPECT_EQ(second.result, CL_ATTEMPT_ANSWERED);
	EXPECT_EQ(third.result, CL_ATTEMPT_UNREACHABLE);
	EXPECT_FALSE(third.written);
	da_client_free(s.client);
	s.client = nullptr;
	settle(s.loop);
	backend.join();
	EXPECT_EQ(asked, "GET /a GET /b ");
}

/* An owner that takes no more gets the rest later, unchanged and once. */
TEST(DaClient, PausedAnswerArrivesWhole)
{
	const std::string body(300000, 'b');
	served s(1);
	struct da_request q = s.request("/");
	struct slow : fetched {
		struct opener {
			struct ba_timer timer;
			slow *f;
		} opener = {};
		struct da_fetch *fetch = nullptr;
		bool open = false;

		explicit slow(struct ba_loop *l) : fetched(l)
		{
			data = [](struct da_fetch_owner *o, const void *data,
				  size_t len) {
				auto *f = (slow *)o;

				if (!f->open) {
					ba_loop_arm(f->loop, &f->opener.timer,
						    ba_clock_now() + BA_MS);
					return false;
				}
				f->open = false;
				f->body.append((const char *)data, len);
				return true;
			};
			opener.f = this;
			opener.timer.fire = [](struct ba_timer *t, ba_time) {
				slow *f = ((struct opener *)t)->f;

				f->open = true;
				f->fetch->ops->consumed(f->fetch, 0);
			};
		}
	} f(s.loop);
	std::thread backend([&] {
		auto c = s.server.accept_one();

		c.read_message();
		c.write("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" +
			body);
		c.is_closed_by_peer();
	});

	f.fetch = da_client_fetch(s.client, &q, &f);
	ba_loop_run(s.loop);
	EXPECT_EQ(f.result, CL_ATTEMPT_ANSWERED);
	EXPECT_TRUE(f.body == body);
	ba_loop_disarm(s.loop, &f.opener.timer);
	da_client_free(s.client);
	s.client = nullptr;
	settle(s.loop);
	backend.join();
}

TEST(DaClient, RequestIsWrittenAsItCame)
{
	served s(1);
	struct da_request q = s.request("/a?b=c");
	struct da_headers h = {};
	fetched f(s.loop);
	std::string got;
	std::thread backend([&] {
		auto c = s.server.accept_one();

		got = c.read_message();
		c.write("HTTP/1.1 204 X\r\nConnection: close\r\n\r\n");
	});

	da_headers_add(&h, "Host", "x.example");
	da_headers_add(&h, "X-A", "v");
	q.method = "PUT";
	q.headers = &h;
	q.body = "body";
	q.body_len = 4;
	da_client_fetch(s.client, &q, &f);
	ba_loop_run(s.loop);
	backend.join();
	EXPECT_EQ(got, "PUT /a?b=c HTTP/1.1\r\nHost: x.example\r\nX-A: v\r\n"
		       "Content-Length: 4\r\n\r\nbody");
	EXPECT_EQ(f.status, 204);
	da_headers_free(&h);
}

} // namespace
