/*
 * Answers to a request that is still being sent, and answers that end with their
 * connection: which of them are whole.
 */
#include <future>
#include <thread>

#include "daemon/da_client.h"
#include "http/ht_end.h"
#include "test/answer_cases.h"
#include "test/proxy_world.h"

using namespace proxy_world;

namespace
{

TEST(EarlyAnswer, OnlyAnOrderlyCloseCompletesABodyWithoutALength)
{
	static const enum ht_end ends[] = {
		HT_END_CLOSED,	  HT_END_RESET,		 HT_END_CONNECT_FAILED,
		HT_END_MALFORMED, HT_END_HEAD_TOO_LARGE, HT_END_TIMEOUT};
	static const struct {
		enum ht_framing framing;
		enum ht_taken request;
		bool may_be_whole;
	} cases[] = {
		{HT_FRAMING_HEAD, HT_TAKEN_WHOLE, false},
		{HT_FRAMING_HEAD, HT_TAKEN_PART, false},
		{HT_FRAMING_HEAD, HT_TAKEN_LOST, false},
		{HT_FRAMING_LENGTH, HT_TAKEN_WHOLE, false},
		{HT_FRAMING_LENGTH, HT_TAKEN_PART, false},
		{HT_FRAMING_LENGTH, HT_TAKEN_LOST, false},
		{HT_FRAMING_CHUNKS, HT_TAKEN_WHOLE, false},
		{HT_FRAMING_CHUNKS, HT_TAKEN_PART, false},
		{HT_FRAMING_CHUNKS, HT_TAKEN_LOST, false},
		{HT_FRAMING_CLOSE, HT_TAKEN_WHOLE, true},
		{HT_FRAMING_CLOSE, HT_TAKEN_PART, false},
		{HT_FRAMING_CLOSE, HT_TAKEN_LOST, false},
	};

	for (const auto &c : cases)
		for (enum ht_end why : ends)
			EXPECT_EQ(ht_end_is_whole(c.framing, why, c.request),
				  c.may_be_whole && why == HT_END_CLOSED)
				<< c.framing << why << c.request;
}

/*
 * @taken: bytes of the request that the server reads before it answers; of
 *	ALL, the whole of it
 * @delay_ms: from the answer to the end of the connection
 * @close: the end is an orderly one
 * @status: what the client gets; 0 for a connection that ends visibly broken
 */
struct early_answer {
	const char *name;
	std::string bytes;
	size_t taken;
	int delay_ms;
	bool close;
	int status;
};

enum : size_t { UPLOAD_BYTES = 8000000, ALL = SIZE_MAX, SOME = 500000 };

std::string large(const std::string &framing)
{
	return with_framing(framing, std::string(300000, 'p'));
}

const std::vector<early_answer> early_answers = {
	{"reset at once", with_framing("", "part"), 1, 0, false, 502},
	{"reset after 10 ms", with_framing("", "part"), 1, 10, false, 502},
	{"reset after 50 ms", with_framing("", "part"), 1, 50, false, 502},
	{"reset after 200 ms", with_framing("", "part"), 1, 200, false, 502},
	{"to be closed", with_framing("Connection: close\r\n", "part"), 1, 50,
	 false, 502},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Attempt-Id: 1\r\n\r\npart", 1, 50,
	 false, 502},
	{"no body", with_framing("", ""), 1, 50, false, 502},
	{"large part", large(""), 1, 50, false, 0},
	{"upload read in part", with_framing("", "part"), SOME, 50, false, 502},
	{"after a 100",
	 "HTTP/1.1 100 Continue\r\n\r\n" + with_framing("", "part"), 1, 50,
	 false, 502},
	{"chunks", with_chunks("4\r\npart\r\n"), 1, 50, false, 502},
	{"large part in chunks",
	 with_chunks("f4240\r\n" + std::string(300000, 'p')), 1, 50, false, 0},
	{"length", with_framing("Content-Length: 8\r\n", "part"), 1, 50, false,
	 502},
	{"large part of a length", large("Content-Length: 400000\r\n"), 1, 50,
	 false, 0},
	{"half a head", "HTTP/1.1 200 OK\r\nContent-", 1, 50, false, 502},
	{"nothing", "", 1, 50, false, 502},
	{"closed before the upload is in", with_framing("", "part"), 1, 0, true,
	 502},
	{"the same with a large part", large(""), 1, 0, true, 0},
	{"reset after the whole upload", with_framing("", "part"), ALL, 50,
	 false, 502},
	/* Proper ones */
	{"closed after the whole upload", with_framing("", "body"), ALL, 0,
	 true, 200},
	{"own length, reset at once",
	 with_status_line("HTTP/1.1 413 Content Too Large"), 1, 0, false, 413},
	{"own length, reset later",
	 with_status_line("HTTP/1.1 413 Content Too Large"), 1, 50, false, 413},
	{"503, reset at once", with_status_line("HTTP/1.1 503 Full"), SOME, 0,
	 false, 503},
	{"204, reset at once", "HTTP/1.1 204 X\r\nX-Attempt-Id: 1\r\n\r\n", 1,
	 0, false, 204},
	{"last chunk, reset at once", with_chunks("4\r\nbody\r\n0\r\n\r\n"),
	 SOME, 0, false, 200},
	{"own length, closed", with_framing("Content-Length: 4\r\n", "body"), 1,
	 0, true, 200},
};

/* Answers one request as @c says; reads no more of it. */
blocking_socket answer_early(listener &at, const early_answer &c)
{
	blocking_socket s = at.accept_one();
	size_t all = 0;

	while (s.unread.find("\r\n\r\n") == std::string::npos && s.read_more())
		;
	if (c.taken == ALL)
		all = s.unread.find("\r\n\r\n") + 4 + UPLOAD_BYTES;
	while (s.unread.size() < (all ? all : c.taken) && s.read_more())
		;
	s.write(c.bytes);
	std::this_thread::sleep_for(std::chrono::milliseconds(c.delay_ms));
	if (!c.close) {
		s.reset();
		return s;
	}
	shutdown(s.fd, SHUT_WR);
	return s;
}

/* Whether @got ends as it says that it does. */
bool is_whole(const std::string &got)
{
	size_t head = got.find("\r\n\r\n");

	if (head == std::string::npos)
		return false;
	if (has(got.substr(0, head), "Transfer-Encoding: chunked"))
		return got.size() >= 5 &&
		       got.substr(got.size() - 5) == "0\r\n\r\n";
	return got.size() - head - 4 ==
	       blocking_socket::length(got.substr(0, head));
}

TEST(EarlyAnswer, IsWholeToTheCallerOnlyIfItHasEnded)
{
	const std::string upload(UPLOAD_BYTES, 'u');

	for (bool via_peer : {false, true}) {
		world w;
		listener peer(OTHER_PROXY_PORT);

		w.run([&] {
			w.configure(changed("100000", "16000000"));
			if (via_peer)
				w.endpoints(true);
		});
		if (!via_peer)
			w.send_heartbeat("i-1", "ready", 1);
		for (const auto &c : early_answers) {
			blocking_socket caller =
				blocking_socket::connect_to(CALLER_PORT);
			auto server = std::async([&] {
				return answer_early(via_peer ? peer : w.backend,
						    c);
			});
			/* A proxy passes on whole requests only. */
			bool ran = !via_peer || has(c.bytes, "\r\n\r\n");
			int expected = !ran ? 503 : c.status ? c.status : 200;

			caller.write(request("POST /photos/",
					     "Connection: close\r\n", upload));
			std::string got = caller.read_rest();

			server.get();
			EXPECT_EQ(is_whole(got), c.status != 0)
				<< c.name << via_peer;
			EXPECT_EQ(status(got), expected) << c.name << via_peer;
			EXPECT_EQ(got.rfind("HTTP/1.1 "), 0U)
				<< c.name << via_peer;
			EXPECT_FALSE(c.status == 502 && has(got, "part"))
				<< c.name << via_peer;
		}
	}
}

struct upload : da_fetch_owner {
	struct ba_loop *loop;
	int status = 0;
	enum cl_attempt_result result = CL_ATTEMPT_CANCELLED;

	explicit upload(struct ba_loop *l) : da_fetch_owner(), loop(l)
	{
		header = [](struct da_fetch_owner *, const char *,
			    const char *) {};
		head = [](struct da_fetch_owner *o, int status, int64_t) {
			((upload *)o)->status = status;
		};
		data = [](struct da_fetch_owner *, const void *, size_t) {
			return true;
		};
		ended = [](struct da_fetch_owner *o,
			   const struct da_fetch_end *e) {
			((upload *)o)->result = e->attempt_result;
			ba_loop_stop(((upload *)o)->loop);
		};
	}
};

TEST(EarlyAnswer, IsWholeToTheDaemonOnlyIfItHasEnded)
{
	const std::string body(UPLOAD_BYTES, 'u');
	struct da_headers none = {};
	struct da_request q = {};

	q.call = "1";
	q.method = "POST";
	q.target = "/";
	q.headers = &none;
	q.body = body.data();
	q.body_len = body.size();
	for (const auto &c : early_answers) {
		listener server(BACKEND_PORT);
		struct ba_loop *loop = ba_loop_new();
		struct ba_address to = address(BACKEND_PORT);
		struct da_client *client = da_client_new(loop, &to, 10);
		upload u(loop);
		bool whole = c.status && c.status != 502;

		q.deadline = ba_clock_now() + WAIT_S * BA_SECOND;
		da_client_fetch(client, &q, &u);
		auto backend =
			std::async([&] { return answer_early(server, c); });

		ba_loop_run(loop);
		da_client_free(client);
		settle(loop);
		backend.get();
		ba_loop_free(loop);
		EXPECT_EQ(u.result,
			  whole ? CL_ATTEMPT_ANSWERED : CL_ATTEMPT_BROKEN)
			<< c.name;
		EXPECT_TRUE(!whole || u.status == c.status) << c.name;
	}
}

} // namespace
