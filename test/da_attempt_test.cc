/* What the daemon makes of answers that it got from another daemon or stored. */
#include <gtest/gtest.h>

#include "base/ba_result.h"
#include "daemon/da_attempt.h"
#include "test/loop.h"

namespace
{

/* A call of another daemon, whose attempt is answered by the test. */
struct answered_call {
	struct da_shared shared = {};
	struct da_worker w = {};
	struct da_call c = {};

	answered_call(const char *name, const char *value, int status,
		      int64_t length, const std::string &body)
	{
		static char method[] = "GET";
		static char target[] = "/";
		static char service[] = "stock";
		const struct da_fetch_end end = {CL_ATTEMPT_ANSWERED, BA_OK,
						 true};

		pthread_mutex_init(&shared.lock, nullptr);
		shared.retry_budgets = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, g_free);
		w.shared = &shared;
		w.loop = ba_loop_new();
		ba_list_init(&w.calls);
		ba_list_init(&w.ready_calls);
		w.ready_timer.fire = [](struct ba_timer *, ba_time) {};
		w.sweep_timer.fire = [](struct ba_timer *, ba_time) {};
		da_call_init(&c, &w, nullptr);
		c.from_peer = true;
		c.method = method;
		c.target = target;
		c.service = service;
		if (name)
			c.owner.header(&c.owner, name, value);
		if (status >= 0)
			c.owner.head(&c.owner, status, length);
		c.owner.data(&c.owner, body.data(), body.size());
		c.owner.ended(&c.owner, &end);
	}

	~answered_call()
	{
		ba_loop_disarm(w.loop, &w.ready_timer);
		ba_loop_disarm(w.loop, &w.sweep_timer);
		da_headers_free(&c.answer.headers);
		ba_buf_free(&c.answer.data);
		settle_and_free(w.loop);
		g_hash_table_destroy(shared.retry_budgets);
	}
};

/*
 * A status of 0 was taken for the answer that had not come yet, so that the
 * caller got neither.
 */
TEST(DaAttempt, ImproperAnswersMayHaveRun)
{
	static const struct {
		const char *name;
		const char *field, *value;
		int status; /* -1 for no head */
	} cases[] = {
		{"status 0", "X-A", "v", 0},
		{"interim status", "X-A", "v", 103},
		{"status 600", "X-A", "v", 600},
		{"blank in a name", "X A", "v", 200},
		{"no name", "", "v", 200},
		{"control byte in a name", "X\x01", "v", 200},
		{"line break in a value", "X-A", "a\r\nX-B: b", 200},
		{"no head", nullptr, "", -1},
	};

	for (const auto &c : cases) {
		answered_call a(c.field, c.value, c.status, 4, "body");

		EXPECT_EQ(a.c.result, CL_MAY_HAVE_RUN) << c.name;
		EXPECT_FALSE(a.c.answer.complete) << c.name;
		EXPECT_EQ(a.c.answer.status, 0) << c.name;
		EXPECT_EQ(a.c.answer.data.len, 0U) << c.name;
	}
}

TEST(DaAttempt, ProperAnswersPass)
{
	for (int status : {200, 299, 404, 500, 599}) {
		answered_call a("X-A", "a\tb", status, 4, "body");

		EXPECT_EQ(a.c.result, BA_OK) << status;
		EXPECT_TRUE(a.c.answer.complete) << status;
		EXPECT_EQ(a.c.answer.status, status);
		EXPECT_EQ(a.c.answer.data.len, 4U) << status;
	}
}

} // namespace
