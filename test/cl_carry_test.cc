/*
 * Long answers of three instances whose links carry less than what is asked
 * of them, in virtual time, against the decision alone.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <queue>
#include <vector>

#include "base/ba_rand.h"
#include "call/cl_carry.h"

namespace
{

enum { INSTANCES = 3, RATE = 1300000, BYTES = 90000 };

const ba_time WORK = 190 * BA_MS;
const ba_time TARGET = BA_SECOND;
const ba_time DEADLINE = 2500 * BA_MS;

struct call {
	ba_time arrived;
	ba_time begins; /* its answer */
	struct cl_carried carried;
	cl_carry_rank rank;

	bool operator<(const call &o) const
	{
		return begins > o.begins;
	}
};

/** One instance: calls that are worked on, and answers that wait. */
struct instance {
	struct cl_carry carry = {};
	std::priority_queue<call> working;
	std::deque<call> unsent[CL_CARRY_RANKS];
	ba_time free_at = 0;
	int credit = 0; /* answers that the late ones are owed */
};

struct result {
	int asked = 0;
	int in_time = 0;
	int late = 0;
	int refused = 0;
};

class world
{
public:
	world(bool judges, double load, double first_share)
	    : judges(judges), load(load), first_share(first_share)
	{
		for (auto &i : instances)
			i.carry.rate = RATE;
	}

	result play(ba_time length)
	{
		ba_time gap = (ba_time)((double)BA_SECOND * BYTES /
					(load * INSTANCES * RATE));

		for (ba_time now = 0; now < length; now += gap) {
			for (auto &i : instances)
				send_until(i, now);
			arrive(now);
		}
		for (auto &i : instances)
			send_until(i, length + BA_MINUTE);
		return r;
	}

private:
	/* The caller's own instance is near; the others are asked after it. */
	void arrive(ba_time now)
	{
		bool first =
			(double)ba_rand_below(&rand, 1000) < 1000 * first_share;
		size_t at = first ? 0 : 1 + ba_rand_below(&rand, 2);

		r.asked++;
		for (int tries = 1; tries <= INSTANCES; tries++) {
			if (take(instances[at], now, tries == INSTANCES))
				return;
			at = (at + 1) % INSTANCES;
		}
		r.refused++;
	}

	bool take(instance &i, ba_time now, bool last)
	{
		struct cl_carry_call c = {};
		call one = {now, now + WORK, {}, CL_CARRY_IN_TIME};

		c.bytes = BYTES;
		c.work = WORK;
		c.target = now + TARGET;
		c.deadline = now + DEADLINE;
		c.last = last;
		for (int k = 0; k < CL_CARRY_RANKS; k++)
			c.unsent[k] = (double)i.unsent[k].size() * BYTES;
		if (judges)
			one.rank = cl_carry_judge(&i.carry, &c, now);
		if (one.rank == CL_CARRY_NEVER)
			return false;
		cl_carry_begin(&i.carry, &one.carried, BYTES, one.rank);
		i.working.push(one);
		return true;
	}

	void send_until(instance &i, ba_time now)
	{
		for (;;) {
			ba_time at = i.free_at;
			bool idle = i.unsent[0].empty() && i.unsent[1].empty();

			if (idle && i.working.empty())
				return;
			if (idle)
				at = std::max(at, i.working.top().begins);
			if (at > now)
				return;
			while (!i.working.empty() &&
			       i.working.top().begins <= at) {
				call one = i.working.top();

				i.working.pop();
				cl_carry_end(&i.carry, &one.carried);
				i.unsent[one.rank].push_back(one);
			}
			send_one(i, at);
		}
	}

	void send_one(instance &i, ba_time at)
	{
		bool both = !i.unsent[0].empty() && !i.unsent[1].empty();
		bool late = both ? i.credit > 0 : i.unsent[0].empty();
		auto &queue = i.unsent[late];
		ba_time took;

		i.credit = !both ? 0 : i.credit + (late ? -CL_CARRY_WEIGHT : 1);
		i.free_at = at + cl_carry_time(&i.carry, BYTES);
		took = i.free_at - queue.front().arrived;
		r.in_time += took <= TARGET;
		r.late += took > TARGET && took <= DEADLINE;
		queue.pop_front();
	}

	bool judges;
	double load;
	double first_share;
	struct ba_rand rand = {3};
	instance instances[INSTANCES];
	result r;
};

double goodput(bool judges, double load, double first_share = 1.0 / 3)
{
	result r = world(judges, load, first_share).play(BA_MINUTE);

	return (double)r.in_time / r.asked * load;
}

TEST(ClCarry, TooManyCallsLeaveAnswersInTime)
{
	for (double load : {1.1, 1.3, 1.6}) {
		EXPECT_GT(goodput(true, load), 0.9) << load;
		EXPECT_LT(goodput(false, load), 0.4) << load;
	}
}

TEST(ClCarry, WhatOneLinkCannotCarryGoesToOthers)
{
	EXPECT_GT(goodput(true, 0.85, 0.5), 0.97 * 0.85);
	EXPECT_LT(goodput(false, 0.85, 0.5), 0.8 * 0.85);
}

/* Whatever is taken is answered while its caller waits. */
TEST(ClCarry, WhatWouldComeTooLateIsRefused)
{
	result r = world(true, 1.6, 1.0 / 3).play(BA_MINUTE);

	EXPECT_GT(r.refused, r.asked / 10);
	EXPECT_GE(r.in_time + r.late + r.refused, r.asked * 98 / 100);
}

TEST(ClCarry, Cases)
{
	static const struct {
		const char *what;
		int64_t rate;
		double unsent, unsent_late, promised;
		ba_time target, deadline;
		bool last;
		cl_carry_rank want;
	} cases[] = {
		{"no rate is known", 0, 1e9, 0, 1e9, 1, 1, false,
		 CL_CARRY_IN_TIME},
		{"an idle link", 1000, 0, 0, 0, 300 * BA_MS, BA_SECOND, false,
		 CL_CARRY_IN_TIME},
		{"answers that wait", 1000, 300, 0, 0, 300 * BA_MS, BA_SECOND,
		 false, CL_CARRY_NEVER},
		{"answers to come", 1000, 0, 0, 300, 300 * BA_MS, BA_SECOND,
		 false, CL_CARRY_NEVER},
		{"late ones take their share", 1000, 100, 300, 0, 360 * BA_MS,
		 BA_SECOND, false, CL_CARRY_NEVER},
		{"and no more", 1000, 100, 300, 0, 370 * BA_MS, BA_SECOND,
		 false, CL_CARRY_IN_TIME},
		{"late, and nowhere else to go", 1000, 30, 0, 0, 200 * BA_MS,
		 BA_SECOND, true, CL_CARRY_LATE},
		{"late on any link", 1000, 10, 0, 0, 50 * BA_MS, BA_SECOND,
		 false, CL_CARRY_LATE},
		{"late, and the link is idle", 1000, 0, 0, 0, 50 * BA_MS,
		 60 * BA_MS, false, CL_CARRY_IN_TIME},
		{"too late for its caller", 1000, 100, 0, 0, 200 * BA_MS,
		 BA_SECOND, true, CL_CARRY_NEVER},
	};

	for (const auto &c : cases) {
		struct cl_carry l = {c.rate, {c.promised, 0}};
		struct cl_carry_call call = {};

		call.bytes = 100;
		call.target = c.target;
		call.deadline = c.deadline;
		call.last = c.last;
		call.unsent[CL_CARRY_IN_TIME] = c.unsent;
		call.unsent[CL_CARRY_LATE] = c.unsent_late;
		EXPECT_EQ(cl_carry_judge(&l, &call, 0), c.want) << c.what;
	}
}

} // namespace
