#include <gtest/gtest.h>

#include <cstdio>

#include "test/load_replay.h"

namespace
{

using namespace load_replay;

/*
 * Ten endpoints of six slots, reached from 25 proxies over 15 ms; an answer or
 * refusal needs 3 ms of the link of the endpoint's proxy.  "status" takes 120 ms
 * and has the higher priority; the slots have room for 500 of it a second.
 */
const setup mesh = {10, 6, 25, 15 * BA_MS, 3 * BA_MS, 3, false};
const double room = 500;

kind status(double load, ba_time from, ba_time to)
{
	return {"status",    0,		  from,		to, load * room,
		120 * BA_MS, 500 * BA_MS, 1200 * BA_MS, 1,  false};
}

kind orders(double load, ba_time from, ba_time to)
{
	return {"order",     1,		  from,		 to, load * room * 0.75,
		160 * BA_MS, 800 * BA_MS, 2 * BA_SECOND, 1,  false};
}

std::map<std::string, count> play(const std::vector<kind> &kinds, bool gated)
{
	setup s = mesh;

	s.gated = gated;
	replay r(s);

	r.run(kinds);
	for (const auto &n : r.counts)
		printf("%-6s gate=%d asked %d in time %d late %d refused %d "
		       "offers %d runs %d wasted %d\n",
		       n.first.c_str(), gated, n.second.asked, n.second.in_time,
		       n.second.late, n.second.refused, n.second.offers,
		       n.second.runs, n.second.wasted);
	return r.counts;
}

const ba_time day = 10 * BA_SECOND;

/* The bound: what the slots could run of what was asked. */
TEST(ClGate, OverloadIsRefusedWhereItEnters)
{
	for (double load : {1.3, 2.0, 3.0}) {
		double bound = room * 10;
		count open = play({status(load, 0, day)}, false)["status"];
		count gated = play({status(load, 0, day)}, true)["status"];

		printf("load %.1f bound %.0f\n", load, bound);
		EXPECT_GT(gated.in_time, 0.8 * bound) << load;
		EXPECT_GE(gated.in_time, open.in_time) << load;
		EXPECT_LT(gated.offers, open.offers) << load;
	}
}

/* Where there is room, and with calls that are refused by chance, all passes. */
TEST(ClGate, RefusesNothingWhileThereIsRoom)
{
	/* Calm, and a step from a fifth of the room to nine tenths. */
	for (double load : {0.5, 0.9}) {
		count n = play({status(0.2, 0, day),
				status(load - 0.2, 5 * BA_SECOND, day)},
			       true)["status"];

		EXPECT_LT(n.refused, n.asked / 100) << load;
	}
}

/* A less urgent kind must not be served better than a more urgent one. */
TEST(ClGate, MoreUrgentPassesAndNothingStarves)
{
	auto n = play({status(0.8, 0, day), orders(1.2, 0, day)}, true);
	auto served = [&](const char *k) {
		return (double)(n[k].in_time + n[k].late) / n[k].asked;
	};
	double all = (double)(n["status"].in_time + n["status"].late +
			      n["order"].in_time + n["order"].late) /
		     (n["status"].asked + n["order"].asked);

	EXPECT_GT(served("status"), 0.9);
	EXPECT_GT(served("order"), all / 4);
}

/* Callers that repeat at once, three times, against the same load without. */
TEST(ClGate, StormOfRetriesCostsLittle)
{
	kind calm = status(1.1, 0, day);
	kind most = status(1.1 * 0.7, 0, day);
	kind storm = status(1.1 * 0.3, 0, day);

	storm.retries = 3;
	storm.at_once = true;
	EXPECT_GT(play({most, storm}, true)["status"].in_time,
		  0.95 * play({calm}, true)["status"].in_time);
	play({most, storm}, false);
	play({calm}, false);
}

TEST(ClGate, IsInForceOnlyWhereOffersTakeMuchOfALink)
{
	const struct {
		int64_t bits_per_second;
		bool pays;
	} cases[] = {
		{0, false},	  {2400000, true},  {5000000, true},
		{5100000, false}, {7300000, false}, {1000000000, false},
	};

	for (const auto &c : cases)
		EXPECT_EQ(cl_gate_pays(c.bits_per_second / 8), c.pays)
			<< c.bits_per_second;
}

} // namespace
