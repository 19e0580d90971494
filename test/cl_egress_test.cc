/*
 * Simulation, in virtual time, of three instances whose callers request more
 * long answers than the links can send.  Only the admission decision is tested.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <queue>
#include <vector>

#include "base/ba_rand.h"
#include "call/cl_egress.h"

namespace
{

enum { INSTANCES = 3, BYTES_PER_SECOND = 1300000, ANSWER_BYTES = 90000 };

const ba_time SERVICE_TIME = 190 * BA_MS;
const ba_time TARGET = BA_SECOND;
const ba_time DEADLINE = 2500 * BA_MS;

struct call {
	ba_time arrived;
	ba_time answer_at; /* when the answer can be sent */
	struct cl_egress_reservation reservation;
	cl_egress_rank rank;

	bool operator<(const call &o) const
	{
		return answer_at > o.answer_at;
	}
};

/** One instance with its running calls and its queued answers. */
struct instance {
	struct cl_egress egress = {};
	std::priority_queue<call> running;
	std::deque<call> unsent[CL_EGRESS_RANKS];
	ba_time free_at = 0;
	int credit = 0; /* a late answer is due while this is positive */
};

struct result {
	int total = 0;
	int in_time = 0;
	int late = 0;
	int refused = 0;
};

class simulation
{
public:
	simulation(bool admission, double load, double first_instance_share)
	    : admission(admission), load(load),
	      first_instance_share(first_instance_share)
	{
		for (auto &i : instances)
			i.egress.rate = BYTES_PER_SECOND;
	}

	result run(ba_time length)
	{
		ba_time gap = (ba_time)((double)BA_SECOND * ANSWER_BYTES /
					(load * INSTANCES * BYTES_PER_SECOND));

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
	/*
	 * A call is sent to the near instance, the caller's own, and to the
	 * others in turn while it is refused.  Callers are at the first
	 * instance with a probability of @first_instance_share.
	 */
	void arrive(ba_time now)
	{
		bool first = (double)ba_rand_below(&rand, 1000) <
			     1000 * first_instance_share;
		size_t at = first ? 0 : 1 + ba_rand_below(&rand, 2);

		r.total++;
		for (int tries = 1; tries <= INSTANCES; tries++) {
			if (admit(instances[at], now, tries == INSTANCES))
				return;
			at = (at + 1) % INSTANCES;
		}
		r.refused++;
	}

	bool admit(instance &i, ba_time now, bool last)
	{
		struct cl_egress_call c = {};
		call one = {now, now + SERVICE_TIME, {}, CL_EGRESS_IN_TIME};

		c.bytes = ANSWER_BYTES;
		c.service_time = SERVICE_TIME;
		c.target = now + TARGET;
		c.deadline = now + DEADLINE;
		c.no_alternative = last;
		for (int k = 0; k < CL_EGRESS_RANKS; k++)
			c.unsent[k] = (double)i.unsent[k].size() * ANSWER_BYTES;
		if (admission)
			one.rank = cl_egress_admit(&i.egress, &c, now);
		if (one.rank == CL_EGRESS_REFUSED)
			return false;
		cl_egress_reserve(&i.egress, &one.reservation, ANSWER_BYTES,
				  one.rank);
		i.running.push(one);
		return true;
	}

	void send_until(instance &i, ba_time now)
	{
		for (;;) {
			ba_time at = i.free_at;
			bool idle = i.unsent[0].empty() && i.unsent[1].empty();

			if (idle && i.running.empty())
				return;
			if (idle)
				at = std::max(at, i.running.top().answer_at);
			if (at > now)
				return;
			while (!i.running.empty() &&
			       i.running.top().answer_at <= at) {
				call one = i.running.top();

				i.running.pop();
				cl_egress_release(&i.egress, &one.reservation);
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

		i.credit = !both ? 0
				 : i.credit + (late ? -CL_EGRESS_IN_TIME_WEIGHT
						    : 1);
		i.free_at =
			at + cl_egress_transmit_time(&i.egress, ANSWER_BYTES);
		took = i.free_at - queue.front().arrived;
		r.in_time += took <= TARGET;
		r.late += took > TARGET && took <= DEADLINE;
		queue.pop_front();
	}

	bool admission;
	double load;
	double first_instance_share;
	struct ba_rand rand = {3};
	instance instances[INSTANCES];
	result r;
};

/* Answers sent in time per second, as a fraction of what all links can send. */
double goodput(bool admission, double load,
	       double first_instance_share = 1.0 / 3)
{
	result r = simulation(admission, load, first_instance_share)
			   .run(BA_MINUTE);

	return (double)r.in_time / r.total * load;
}

TEST(ClEgress, OverloadKeepsAnswersInTime)
{
	for (double load : {1.1, 1.3, 1.6}) {
		EXPECT_GT(goodput(true, load), 0.9) << load;
		EXPECT_LT(goodput(false, load), 0.4) << load;
	}
}

TEST(ClEgress, ExcessOfOneLinkGoesToOtherInstances)
{
	EXPECT_GT(goodput(true, 0.85, 0.5), 0.97 * 0.85);
	EXPECT_LT(goodput(false, 0.85, 0.5), 0.8 * 0.85);
}

/* Every admitted call is answered before its caller gives up. */
TEST(ClEgress, CallsThatWouldMissTheDeadlineAreRefused)
{
	result r = simulation(true, 1.6, 1.0 / 3).run(BA_MINUTE);

	EXPECT_GT(r.refused, r.total / 10);
	EXPECT_GE(r.in_time + r.late + r.refused, r.total * 98 / 100);
}

TEST(ClEgress, RankOfEachCase)
{
	static const struct {
		const char *what;
		int64_t rate;
		double unsent, unsent_late, reserved;
		ba_time target, deadline;
		bool last;
		cl_egress_rank expected;
	} cases[] = {
		{"unknown rate", 0, 1e9, 0, 1e9, 1, 1, false,
		 CL_EGRESS_IN_TIME},
		{"idle link", 1000, 0, 0, 0, 300 * BA_MS, BA_SECOND, false,
		 CL_EGRESS_IN_TIME},
		{"queued answers", 1000, 300, 0, 0, 300 * BA_MS, BA_SECOND,
		 false, CL_EGRESS_REFUSED},
		{"answers of running calls", 1000, 0, 0, 300, 300 * BA_MS,
		 BA_SECOND, false, CL_EGRESS_REFUSED},
		{"share of late answers leaves too little time", 1000, 100, 300,
		 0, 360 * BA_MS, BA_SECOND, false, CL_EGRESS_REFUSED},
		{"share of late answers leaves enough time", 1000, 100, 300, 0,
		 370 * BA_MS, BA_SECOND, false, CL_EGRESS_IN_TIME},
		{"late, no other endpoint", 1000, 30, 0, 0, 200 * BA_MS,
		 BA_SECOND, true, CL_EGRESS_LATE},
		{"late on an idle link too", 1000, 10, 0, 0, 50 * BA_MS,
		 BA_SECOND, false, CL_EGRESS_LATE},
		{"late, link idle", 1000, 0, 0, 0, 50 * BA_MS, 60 * BA_MS,
		 false, CL_EGRESS_IN_TIME},
		{"after the deadline", 1000, 100, 0, 0, 200 * BA_MS, BA_SECOND,
		 true, CL_EGRESS_REFUSED},
	};

	for (const auto &c : cases) {
		struct cl_egress l = {c.rate, {c.reserved, 0}};
		struct cl_egress_call call = {};

		call.bytes = 100;
		call.target = c.target;
		call.deadline = c.deadline;
		call.no_alternative = c.last;
		call.unsent[CL_EGRESS_IN_TIME] = c.unsent;
		call.unsent[CL_EGRESS_LATE] = c.unsent_late;
		EXPECT_EQ(cl_egress_admit(&l, &call, 0), c.expected) << c.what;
	}
}

} // namespace
