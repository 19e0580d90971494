#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>

#include "base/ba_buf.h"
#include "base/ba_digest.h"
#include "base/ba_drain.h"
#include "base/ba_list.h"
#include "base/ba_loop.h"
#include "base/ba_pool.h"
#include "base/ba_rand.h"
#include "base/ba_result.h"
#include "base/ba_settings.h"
#include "base/ba_toml.h"
#include "base/ba_unit.h"

namespace
{

/* Guards against review/15: "6.5s" was refused, and programs did not start. */
TEST(BaUnit, Durations)
{
	static const struct {
		const char *text;
		int code;
		ba_time value;
	} cases[] = {
		{"250ms", BA_OK, 250 * BA_MS},
		{"6s", BA_OK, 6 * BA_SECOND},
		{"10us", BA_OK, 10},
		{"5 min", BA_OK, 5 * BA_MINUTE},
		{"2h", BA_OK, 2 * BA_HOUR},
		{"6.5s", BA_OK, 6500 * BA_MS},
		{"6.0s", BA_OK, 6 * BA_SECOND},
		{"0.25 min", BA_OK, 15 * BA_SECOND},
		{".5s", BA_OK, 500 * BA_MS},
		{"1.0000004s", BA_OK, BA_SECOND},
		{"0.0000006s", BA_OK, 1},
		{"9007199254740993us", BA_OK, 9007199254740993},
		{"1.2.3s", BA_UNIT_WRONG, 0},
		{".s", BA_UNIT_WRONG, 0},
		{"1,5s", BA_UNIT_WRONG, 0},
		{"0x10s", BA_UNIT_WRONG, 0},
		{"1e3s", BA_UNIT_WRONG, 0},
		{"99999999999.5h", BA_UNIT_WRONG, 0},
		{"6", BA_UNIT_WRONG, 0},
		{"-6s", BA_UNIT_WRONG, 0},
		{"6 days", BA_UNIT_WRONG, 0},
		{"", BA_UNIT_WRONG, 0},
		{"9223372036854775807h", BA_UNIT_WRONG, 0},
	};

	for (const auto &c : cases) {
		ba_time got = 0;

		EXPECT_EQ(ba_parse_duration(c.text, &got), c.code) << c.text;
		EXPECT_EQ(got, c.value) << c.text;
	}
}

TEST(BaUnit, Rates)
{
	static const struct {
		const char *text;
		int code;
		int64_t value;
	} cases[] = {
		{"64kbit", BA_OK, 8000},      {"10.5Mbit", BA_OK, 1312500},
		{"1Gbit", BA_OK, 125000000},  {"1000.0Mbit", BA_OK, 125000000},
		{"0Mbit", BA_UNIT_WRONG, 0},  {"10", BA_UNIT_WRONG, 0},
		{"-1Mbit", BA_UNIT_WRONG, 0}, {"1e30Mbit", BA_UNIT_WRONG, 0},
		{"1 MB", BA_UNIT_WRONG, 0},   {"", BA_UNIT_WRONG, 0},
		{"2.4Mbit", BA_OK, 300000},   {".5Mbit", BA_OK, 62500},
	};

	for (const auto &c : cases) {
		int64_t got = 0;

		EXPECT_EQ(ba_parse_rate(c.text, &got), c.code) << c.text;
		EXPECT_EQ(got, c.value) << c.text;
	}
}

TEST(BaUnit, Sizes)
{
	static const struct {
		const char *text;
		int code;
		int64_t value;
	} cases[] = {
		{"512B", BA_OK, 512},
		{"1.5GB", BA_OK, 1500000000},
		{"0B", BA_OK, 0},
		{"1.5", BA_UNIT_WRONG, 0},
		{"1.5 GiB", BA_UNIT_WRONG, 0},
	};

	for (const auto &c : cases) {
		int64_t got = 0;

		EXPECT_EQ(ba_parse_bytes(c.text, &got), c.code) << c.text;
		EXPECT_EQ(got, c.value) << c.text;
	}
}

TEST(BaUnit, Addresses)
{
	static const struct {
		const char *text;
		int code;
	} cases[] = {
		{"127.0.0.1:80", BA_OK},
		{"[::1]:80", BA_OK},
		{"127.0.0.1", BA_ADDRESS_WRONG},
		{"localhost:80", BA_ADDRESS_WRONG},
		{"127.0.0.1:0", BA_ADDRESS_WRONG},
		{"127.0.0.1:65536", BA_ADDRESS_WRONG},
		{":80", BA_ADDRESS_WRONG},
		{"", BA_ADDRESS_WRONG},
	};

	for (const auto &c : cases) {
		struct ba_address a;

		EXPECT_EQ(ba_parse_address(c.text, &a), c.code) << c.text;
	}
}

struct settings {
	char *name;
	int64_t slots;
	ba_time wait;
	struct ba_addresses relays;
};

const struct ba_settings_key keys[] = {
	{"mesh", "name", BA_KIND_STRING, true, offsetof(settings, name),
	 nullptr, 0, 0},
	{"call", "slots", BA_KIND_INTEGER, false, offsetof(settings, slots),
	 "12", 1, 100},
	{"call", "wait", BA_KIND_DURATION, false, offsetof(settings, wait),
	 "1s", 0, 0},
	{"relays", "addresses", BA_KIND_ADDRESSES, false,
	 offsetof(settings, relays), nullptr, 0, 0},
	{nullptr, nullptr, BA_KIND_STRING, false, 0, nullptr, 0, 0},
};

std::string write_file(const std::string &text)
{
	std::string path = testing::TempDir() + "base_test.toml";

	std::ofstream(path) << text;
	return path;
}

TEST(BaSettings, FirstProblemHasCodeLineAndKey)
{
	static const struct {
		const char *text;
		int code;
		int line;
		const char *key;
	} cases[] = {
		{"[mesh]\nname = \"a\"\n", BA_OK, 0, ""},
		{"[mesh]\n", BA_KEY_MISSING, 1, "mesh.name"},
		{"", BA_KEY_MISSING, 0, "mesh.name"},
		{"[mesh]\nname = 3\n", BA_TYPE_WRONG, 2, "mesh.name"},
		{"[mesh]\nname = \"a\"\nnmae = 1\n", BA_KEY_UNKNOWN, 3,
		 "mesh.nmae"},
		{"[mesh]\nname = \"a\"\n[cal]\n", BA_KEY_UNKNOWN, 3, "cal"},
		{"[mesh]\nname = \"a\"\n[call]\nslots = 101\n", BA_RANGE_WRONG,
		 4, "call.slots"},
		{"[mesh]\nname = \"a\"\n[call]\nslots = 12.0\n", BA_OK, 0, ""},
		{"[mesh]\nname = \"a\"\n[call]\nslots = 12.5\n", BA_TYPE_WRONG,
		 4, "call.slots"},
		{"[mesh]\nname = \"a\"\n[call]\nwait = \"6\"\n", BA_UNIT_WRONG,
		 4, "call.wait"},
		{"[mesh]\nname = \"a\"\n[relays]\naddresses = [\"x\"]\n",
		 BA_ADDRESS_WRONG, 4, "relays.addresses"},
		{"[mesh\n", BA_SYNTAX, 1, ""},
	};

	for (const auto &c : cases) {
		struct settings out = {};
		struct ba_problems problems = {};
		int code = ba_settings_read(write_file(c.text).c_str(), keys,
					    &out, &problems);

		EXPECT_EQ(code, c.code) << c.text;
		if (c.code == BA_OK) {
			EXPECT_STREQ(out.name, "a");
			EXPECT_EQ(out.slots, 12);
			EXPECT_EQ(out.wait, BA_SECOND);
		} else if (problems.n) {
			EXPECT_EQ(problems.list[0].line, c.line) << c.text;
			EXPECT_STREQ(problems.list[0].key, c.key) << c.text;
		}
		ba_problems_free(&problems);
		ba_settings_free(keys, &out);
	}
}

RC_GTEST_PROP(BaBuf, AddedTextFollowsConsumedBytes, (const std::string &a))
{
	struct ba_buf b = {};

	ba_buf_add(&b, a.data(), a.size());
	ba_buf_addf(&b, "%d", 42);
	ba_buf_consume(&b, a.size());
	RC_ASSERT(std::string(ba_buf_text(&b)) == "42");
	ba_buf_free(&b);
}

struct recording_timer {
	struct ba_timer timer;
	struct ba_loop *loop;
	std::vector<int> *order;
	int id;
};

void record_id(struct ba_timer *t, ba_time)
{
	auto *k = (struct recording_timer *)t;

	k->order->push_back(k->id);
	if (k->order->size() == 3)
		ba_loop_stop(k->loop);
}

TEST(BaLoop, TimersFireInOrderOfDeadline)
{
	struct ba_loop *loop = ba_loop_new();
	std::vector<int> order;
	struct recording_timer timers[4] = {};
	ba_time now = ba_clock_now();

	for (int i = 0; i < 4; i++) {
		timers[i] = {{record_id, 0, 0}, loop, &order, i};
		ba_loop_arm(loop, &timers[i].timer, now - i);
	}
	ba_loop_disarm(loop, &timers[1].timer);
	ba_loop_run(loop);
	EXPECT_EQ(order, (std::vector<int>{3, 2, 0}));
	ba_loop_free(loop);
}

struct counting_job {
	struct ba_job job;
	struct ba_loop *loop;
	int *count;
};

void count_up(void *arg)
{
	++*(int *)arg;
}

void run_job(struct ba_job *job)
{
	auto *j = (struct counting_job *)job;

	ba_loop_post(j->loop, count_up, j->count);
}

TEST(SharedBaPool, JobsRunOnceAndPostToTheLoop)
{
	struct ba_loop *loop = ba_loop_new();
	struct ba_pool *pool = ba_pool_new(4, 100);
	struct counting_job jobs[100];
	int count = 0;

	for (auto &j : jobs) {
		j = {{{nullptr, nullptr}, run_job}, loop, &count};
		EXPECT_EQ(ba_pool_submit(pool, &j.job), BA_OK);
	}
	ba_pool_free(pool);
	ba_loop_free(loop);
	EXPECT_EQ(count, 100);
}

TEST(BaDrain, EndsWhenNothingIsLeftOrMoves)
{
	const ba_time stall = BA_DRAIN_STALL_LIMIT;
	const ba_time deadline = 10 * stall;
	static const struct {
		const char *name;
		ba_time period; /* between two signs of progress, 0 for none */
		ba_time empty_at;
		ba_time end;
	} cases[] = {
		{"nothing left", 0, 0, 0},
		{"all taken", stall / 4, 3 * stall, 3 * stall},
		{"nobody reads", 0, BA_NEVER, stall},
		{"reads without end", stall / 4, BA_NEVER, deadline},
		{"too slow", 2 * stall, BA_NEVER, stall},
	};
	const ba_time step = stall / 20;

	for (const auto &c : cases) {
		struct ba_drain d;
		ba_time now = 0;

		ba_drain_begin(&d, deadline, now);
		while (ba_drain_continues(
			&d, now < c.empty_at,
			c.period ? (uint64_t)(now / c.period) : 0, now))
			now += step;
		EXPECT_EQ(now, c.end) << c.name;
	}
}

TEST(BaDigest, IsDeterministicAndDependsOnKey)
{
	uint8_t key[BA_KEY_BYTES] = {1};
	struct ba_digest plain = ba_digest("a", 1);
	struct ba_digest keyed = ba_digest_keyed(key, "a", 1);
	struct ba_digest again = ba_digest("a", 1);

	EXPECT_TRUE(ba_digest_equal(&plain, &again));
	EXPECT_FALSE(ba_digest_equal(&plain, &keyed));
}

/*
 * toml++ ends the process at some of these, by its own assertions: an operator's
 * typing error must not end the leader.
 */
TEST(BaToml, WhatIsNoDocumentIsRefusedWithItsLine)
{
	static const struct {
		const char *text;
		int line;
	} cases[] = {
		{"[/orders]", 1},
		{"[.a]", 1},
		{"[=]", 1},
		{"[[.a]]", 1},
		{"[ ,]", 1},
		{"\n\n[#]\na = 1", 3},
		{"a = 1\n[b]\nc = 2\n[\1[m]\nd = 3\n", 4},
		{"text = \"\"\"\n[/no header]\n\"\"\"\n[/a]\n", 4},
		{"\u01a4 = 1", 1},
		{"a = 1\n\u2003\u0378 = 2", 2},
		{"a.=1", 1},
		{"a = [1,,2]", 1},
		{"x = {.a=1}", 1},
		{"a = \"\\ud800\"", 1},
		{"a = 1\na = 2", 2},
		{"[a]\n[a]", 2},
	};

	for (const auto &c : cases) {
		struct ba_toml_error err = {};
		struct ba_toml *root =
			ba_toml_parse(c.text, strlen(c.text), &err);

		EXPECT_EQ(root, nullptr) << c.text;
		EXPECT_EQ(err.line, c.line) << c.text;
		EXPECT_GT(strlen(err.text), 0u) << c.text;
		ba_toml_free(root);
	}
}

} // namespace
