#include <gtest/gtest.h>

#include <map>
#include <queue>
#include <string>
#include <vector>

#include "base/ba_rand.h"
#include "call/cl_sched.h"

namespace
{

/* One kind of calls that arrive at a backend server. */
struct kind {
	const char *route;
	double per_second;
	ba_time service_time; /* mean; uniform from half to 1.5 times of it */
	ba_time target;	      /* latency target, from the first attempt */
	ba_time patience;     /* after which the caller gives up, likewise */
	int retries;
};

struct call {
	struct cl_admit_call admit_call;
	const struct kind *kind;
	ba_time first_attempt;
	ba_time ends;
	int retries;
};

struct event {
	ba_time at;
	uint64_t order;
	enum { ARRIVES, ENDS } what;
	call *c;
	bool operator<(const event &o) const
	{
		return at != o.at ? at > o.at : order > o.order;
	}
};

struct count {
	int total, in_time, late, failed;
};

/*
 * Simulation of a backend server's queue in virtual time.  Refused calls are
 * retried after 200 to 500 ms, up to the number of retries of their kind.  In
 * the baseline all calls have the same weight, wait until their callers give
 * up, and are ordered by that deadline.
 */
struct simulation {
	static const int slots = 12;
	struct ba_rand rand = {7};
	struct cl_admit *admit;
	struct cl_sched *sched = cl_sched_new();
	bool baseline;
	std::priority_queue<event> events;
	std::map<std::string, struct cl_patience> patience;
	std::map<std::string, count> counts;
	uint64_t order = 0;

	explicit simulation(bool baseline) : baseline(baseline)
	{
		struct cl_admit_options o = {};

		o.slots = slots;
		o.connections = 1000;
		o.queue = slots * 16;
		o.bounded = true;
		admit = cl_admit_new(&o);
	}
	~simulation()
	{
		cl_admit_free(admit);
		cl_sched_free(sched);
	}

	ba_time random_between(ba_time least, ba_time most)
	{
		return least +
		       (ba_time)ba_rand_below(&rand, (uint64_t)(most - least));
	}

	void push(ba_time at, call *c, decltype(event::what) what)
	{
		events.push({at, ++order, what, c});
	}

	void start(call *c, ba_time now)
	{
		ba_time half = c->kind->service_time / 2;

		push(now + half + random_between(0, 2 * half), c, event::ENDS);
	}

	void refuse(call *c, ba_time now)
	{
		ba_time retry_at =
			now + random_between(200 * BA_MS, 500 * BA_MS);

		if (c->retries-- > 0 &&
		    retry_at < c->first_attempt + c->kind->patience)
			push(retry_at, c, event::ARRIVES);
		else
			counts[c->kind->route].failed++, delete c;
	}

	void arrive(call *c, ba_time now)
	{
		ba_time left = c->first_attempt + c->kind->patience - now;
		enum cl_admit_reason reason;
		struct cl_sched_call arriving = {};

		arriving.route = c->kind->route;
		arriving.priority = 1;
		arriving.deadline = now + left;
		arriving.target =
			now + c->kind->target -
			cl_patience_spent(&patience[arriving.route], left);
		c->admit_call = {};
		cl_sched_assign(sched, &arriving, now, &c->admit_call);
		if (baseline) {
			c->admit_call.weight = 1;
			c->admit_call.expected = 0;
			c->admit_call.deadline = arriving.deadline;
		}
		switch (cl_admit_arrive(admit, &c->admit_call, now, &reason)) {
		case CL_ADMIT_START:
			start(c, now);
			break;
		case CL_ADMIT_REFUSE:
			refuse(c, now);
			break;
		case CL_ADMIT_WAIT:
			break;
		}
	}

	void end(call *c, ba_time now)
	{
		count &n = counts[c->kind->route];

		cl_sched_record(sched, c->kind->route,
				now - c->admit_call.started);
		cl_admit_done(admit, &c->admit_call, CL_ADMIT_SERVED, now);
		if (now <= c->first_attempt + c->kind->target)
			n.in_time++;
		else if (now <= c->first_attempt + c->kind->patience)
			n.late++;
		else
			n.failed++;
		delete c;
	}

	void process_queue(ba_time now)
	{
		enum cl_admit_reason reason;
		enum cl_admit_action act;
		struct cl_admit_call *t;

		while ((t = cl_admit_next(admit, now, &act, &reason))) {
			call *c = (call *)t;

			if (act == CL_ADMIT_START)
				start(c, now);
			else
				refuse(c, now);
		}
	}

	void run(const std::vector<kind> &kinds, ba_time length)
	{
		for (const auto &k : kinds) {
			ba_time gap =
				(ba_time)((double)BA_SECOND / k.per_second);

			for (ba_time at = random_between(0, gap); at < length;
			     at += random_between(gap / 2, gap + gap / 2)) {
				push(at, new call{{}, &k, at, 0, k.retries},
				     event::ARRIVES);
				counts[k.route].total++;
			}
		}
		while (!events.empty()) {
			event e = events.top();

			events.pop();
			if (e.what == event::ARRIVES)
				arrive(e.c, e.at);
			else
				end(e.c, e.at);
			process_queue(e.at);
		}
	}
};

/* Twelve slots run 40 calls of 300 ms per second; @load is relative to that. */
std::vector<kind> lookups(double load)
{
	return {{"look", 40 * load, 300 * BA_MS, 800 * BA_MS, 5 * BA_SECOND,
		 2}};
}

TEST(ClSched, OverloadKeepsServedCallsInTime)
{
	static const struct {
		double load, in_time_of_capacity;
	} cases[] = {{1.2, 0.75}, {1.5, 0.75}, {2.0, 0.75}};

	for (const auto &c : cases) {
		simulation scheduled(false), unscheduled(true);

		scheduled.run(lookups(c.load), 60 * BA_SECOND);
		unscheduled.run(lookups(c.load), 60 * BA_SECOND);
		EXPECT_GT(scheduled.counts["look"].in_time,
			  c.in_time_of_capacity * 40 * 60)
			<< c.load;
		EXPECT_GT(scheduled.counts["look"].in_time,
			  2 * unscheduled.counts["look"].in_time)
			<< c.load;
	}
}

TEST(ClSched, FewCallsAreRefusedBelowCapacity)
{
	simulation g(false);

	g.run(lookups(0.8), 60 * BA_SECOND);
	EXPECT_LT(g.counts["look"].failed, g.counts["look"].total / 100);
	EXPECT_GT(g.counts["look"].in_time, g.counts["look"].total * 95 / 100);
}

/* Short calls, which other calls wait for, share the queue with long ones. */
TEST(ClSched, ShortCallsPassLongOnes)
{
	simulation g(false);

	g.run({{"book", 40, 290 * BA_MS, BA_SECOND, 6 * BA_SECOND, 2},
	       {"check", 60, 55 * BA_MS, 200 * BA_MS, 600 * BA_MS, 0}},
	      60 * BA_SECOND);
	EXPECT_LT(g.counts["check"].failed, g.counts["check"].total / 50);
	EXPECT_GT(g.counts["check"].in_time, g.counts["check"].total * 9 / 10);
}

/* A target little above the service time: most calls were served late. */
TEST(ClSched, CallsThatCanJustMeetTheirTargetDo)
{
	for (double load : {1.1, 1.2, 1.5}) {
		simulation g(false);
		std::vector<kind> kinds = lookups(load);

		kinds[0].target = 500 * BA_MS;
		g.run(kinds, 60 * BA_SECOND);
		EXPECT_GT(g.counts["look"].in_time, 0.6 * 40 * 60) << load;
	}
}

TEST(ClSched, ClassOfEachCase)
{
	static const struct {
		const char *name, *route;
		ba_time target;
		enum cl_sched_class class_;
	} cases[] = {
		{"long and in time", "long", 800 * BA_MS, CL_SCHED_IN_TIME},
		{"long and late", "long", 200 * BA_MS, CL_SCHED_LATE},
		{"long and in time without delay", "long", 320 * BA_MS,
		 CL_SCHED_TIGHT},
		{"just not tight", "long", 450 * BA_MS, CL_SCHED_IN_TIME},
		{"target passed", "long", -5 * BA_MS, CL_SCHED_LATE},
		{"short", "short", 800 * BA_MS, CL_SCHED_SHORT},
		{"short and late", "short", -5 * BA_MS, CL_SCHED_SHORT},
		{"unknown service time", "new", 100 * BA_MS, CL_SCHED_IN_TIME},
		{"no route", nullptr, 100 * BA_MS, CL_SCHED_IN_TIME},
	};
	struct cl_sched *sched = cl_sched_new();

	for (int i = 0; i < 500; i++) {
		cl_sched_record(sched, "long", 300 * BA_MS);
		cl_sched_record(sched, "short", 30 * BA_MS);
	}
	for (const auto &c : cases) {
		struct cl_sched_call one = {c.route, 1, c.target, 900 * BA_MS};
		struct cl_admit_call t = {};

		EXPECT_EQ(cl_sched_assign(sched, &one, 0, &t), c.class_)
			<< c.name;
		EXPECT_LE(t.deadline, 900 * BA_MS) << c.name;
	}
	cl_sched_free(sched);
}

TEST(ClPatience, ShorterTimeLeftMeansALaterAttempt)
{
	struct cl_patience p = {};

	EXPECT_EQ(cl_patience_spent(&p, 5 * BA_SECOND), 0);
	EXPECT_EQ(cl_patience_spent(&p, 5 * BA_SECOND - 10 * BA_MS), 0);
	EXPECT_NEAR(cl_patience_spent(&p, 4 * BA_SECOND), BA_SECOND, BA_MS);
	EXPECT_EQ(cl_patience_spent(&p, 6 * BA_SECOND), 0);
	EXPECT_NEAR(cl_patience_spent(&p, 5 * BA_SECOND), BA_SECOND, BA_MS);
	/* New callers that wait for less must change the estimate. */
	for (int i = 0; i < 10000; i++)
		cl_patience_spent(&p, BA_SECOND);
	EXPECT_LT(cl_patience_spent(&p, BA_SECOND), 50 * BA_MS);
}

} // namespace
