#include <gtest/gtest.h>

#include <queue>
#include <vector>

#include "base/ba_rand.h"
#include "call/cl_pace.h"

namespace
{

enum { PROXIES = 8, ANSWER_BYTES = 90000 };

struct transfer {
	ba_time ends, began;
	int proxy;
	bool operator<(const transfer &o) const
	{
		return ends > o.ends;
	}
};

struct result {
	double utilization; /* sent bytes as a fraction of capacity */
	ba_time delay;	    /* longest delay of a control message */
};

/*
 * Simulates proxies that request large answers over one link for @length, at
 * @load times its capacity of @link bytes per second.  The result covers the
 * second half of the time.
 */
result simulate(double link, double load, bool paced, ba_time length)
{
	std::vector<cl_pace> pace(PROXIES);
	std::priority_queue<transfer> in_flight;
	struct ba_rand rand = {11};
	ba_time gap = (ba_time)(ANSWER_BYTES / link / load * 1e6);
	ba_time free_at = 0;
	result r = {};

	for (ba_time now = 0; now < length; now += gap) {
		int i = (int)ba_rand_below(&rand, PROXIES);

		while (!in_flight.empty() && in_flight.top().ends <= now) {
			transfer t = in_flight.top();

			in_flight.pop();
			cl_pace_done(&pace[t.proxy], t.began, true, t.ends);
		}
		if (now > length / 2)
			r.delay = std::max(r.delay, free_at - now);
		if (paced && !cl_pace_allows(&pace[i], now))
			continue;
		cl_pace_take(&pace[i], ANSWER_BYTES);
		free_at = std::max(free_at, now) +
			  (ba_time)(ANSWER_BYTES / link * 1e6);
		in_flight.push({free_at + 100 * BA_MS, now, i});
		if (now > length / 2)
			r.utilization +=
				ANSWER_BYTES / link / ((double)length / 2e6);
	}
	return r;
}

TEST(ClPace, LeavesCapacityForOtherTraffic)
{
	static const struct {
		double link, load;
	} cases[] = {{4.4e6, 1.5}, {4.4e6, 4}, {2e6, 2}, {20e6, 2}};

	for (const auto &c : cases) {
		result with = simulate(c.link, c.load, true, 60 * BA_SECOND);
		result without =
			simulate(c.link, c.load, false, 60 * BA_SECOND);

		EXPECT_LT(with.delay, 500 * BA_MS) << c.link << " " << c.load;
		EXPECT_GT(with.utilization, 0.5) << c.link << " " << c.load;
		EXPECT_GT(without.delay, 5 * BA_SECOND);
	}
}

TEST(ClPace, ConcurrentFailuresDecreaseTheRateOnce)
{
	struct cl_pace p = {};

	EXPECT_TRUE(cl_pace_allows(&p, BA_SECOND));
	cl_pace_done(&p, BA_SECOND, true, BA_SECOND + 100 * BA_MS);
	double before = p.rate;

	for (int i = 0; i < 5; i++)
		cl_pace_done(&p, 2 * BA_SECOND, false, 3 * BA_SECOND);
	EXPECT_NEAR(p.rate, before * 0.6, 1);
	cl_pace_done(&p, 3 * BA_SECOND, false, 4 * BA_SECOND);
	EXPECT_NEAR(p.rate, before * 0.36, 1);
}

} // namespace
