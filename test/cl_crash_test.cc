#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/ba_rand.h"
#include "call/cl_crash.h"

namespace
{

enum event_kind {
	LOST,	   /* on a used connection, sent 100 ms before */
	LOST_IDLE, /* on a used connection, sent just now */
	LOST_FRESH,
	CHECKED,
	REFUSED,
	OPENED, /* a connection of a request, dialled @arg ms ago */
	RESTARTED,
	LEFT,
	REPORT, /* time passes; @arg requests are reported */
	CHECKS, /* @arg checks are due */
};

struct event {
	int at_ms;
	event_kind kind;
	int arg;
};

void apply(struct cl_crash *c, const event &e, const char *name)
{
	ba_time now = e.at_ms * BA_MS;
	uint64_t running[CL_CRASH_RUNNING_MAX];

	switch (e.kind) {
	case LOST:
		cl_crash_lost(c, (uint64_t)e.arg, false, now - 100 * BA_MS,
			      now);
		break;
	case LOST_IDLE:
		cl_crash_lost(c, (uint64_t)e.arg, false, now, now);
		break;
	case LOST_FRESH:
		cl_crash_lost(c, (uint64_t)e.arg, true, now, now);
		break;
	case CHECKED:
		cl_crash_checked(c, (enum cl_crash_dial)e.arg, now);
		break;
	case REFUSED:
		cl_crash_refused(c, now);
		break;
	case OPENED:
		cl_crash_opened(c, now - e.arg * BA_MS, now);
		break;
	case RESTARTED:
		cl_crash_restarted(c, now);
		break;
	case LEFT:
		cl_crash_reset(c);
		break;
	case REPORT:
		EXPECT_EQ(cl_crash_take(c, running, now), (size_t)e.arg)
			<< name << " at " << e.at_ms;
		break;
	case CHECKS:
		EXPECT_EQ(cl_crash_wants_check(c, now), e.arg != 0)
			<< name << " at " << e.at_ms;
		break;
	}
}

/* Many copies of a popular request leave room for the others. */
TEST(ClCrash, CopiesOfARequestTakeOnePlace)
{
	const ba_time now = BA_SECOND;
	uint64_t running[CL_CRASH_RUNNING_MAX];
	struct cl_crash c;

	cl_crash_reset(&c);
	for (int i = 0; i < CL_CRASH_RUNNING_MAX; i++)
		cl_crash_lost(&c, 1, false, now - BA_MS, now);
	cl_crash_lost(&c, 2, false, now - BA_MS, now);
	cl_crash_refused(&c, now);
	EXPECT_EQ(cl_crash_take(&c, running, now + BA_SECOND), (size_t)2);
}

TEST(ClCrash, IsToldFromTheEndOfAConnection)
{
	static const struct {
		const char *name;
		std::vector<event> events;
	} cases[] = {
		{"refused test connection",
		 {{1000, LOST, 1},
		  {1000, CHECKS, 1},
		  {1001, LOST, 2},
		  {1001, CHECKS, 0},
		  {1002, CHECKED, CL_CRASH_REFUSED},
		  {1003, LOST, 3},
		  {1003, CHECKS, 0},
		  {1040, REPORT, 0},
		  {1060, REPORT, 3},
		  {1100, REPORT, 0}}},
		{"single reset",
		 {{1000, LOST, 1},
		  {1000, CHECKS, 1},
		  {1020, CHECKED, CL_CRASH_OPENED},
		  {1020, CHECKS, 0},
		  {1200, REPORT, 0},
		  {3000, REFUSED, 0},
		  {3100, REPORT, 0}}},
		{"single reset shortly before a crash",
		 {{1000, LOST, 1},
		  {1000, CHECKS, 1},
		  {1020, CHECKED, CL_CRASH_OPENED},
		  {1100, LOST, 2},
		  {1100, CHECKS, 1},
		  {1101, CHECKED, CL_CRASH_REFUSED},
		  {1200, REPORT, 1}}},
		{"lost during the test connection",
		 {{1000, LOST, 1},
		  {1000, CHECKS, 1},
		  {1010, LOST, 2},
		  {1020, CHECKED, CL_CRASH_OPENED},
		  {1020, CHECKS, 1},
		  {1021, CHECKED, CL_CRASH_REFUSED},
		  {1200, REPORT, 1}}},
		{"test connection ended at once",
		 {{1000, LOST, 1},
		  {1000, CHECKS, 1},
		  {1001, CHECKED, CL_CRASH_UNCLEAR},
		  {1020, CHECKS, 0},
		  {1051, CHECKS, 1},
		  {1052, CHECKED, CL_CRASH_REFUSED},
		  {1200, REPORT, 1}}},
		{"no answer to any test connection",
		 {{1000, LOST, 1},
		  {1000, CHECKS, 1},
		  {2000, CHECKED, CL_CRASH_UNCLEAR},
		  {2100, CHECKS, 0},
		  {2200, REFUSED, 0},
		  {2300, REPORT, 0}}},
		{"refused connection of a request",
		 {{1000, LOST, 1}, {1001, REFUSED, 0}, {1100, REPORT, 1}}},
		{"refusal known before the loss",
		 {{1000, REFUSED, 0}, {1001, LOST, 1}, {1100, REPORT, 1}}},
		{"started anew at once",
		 {{1000, LOST, 1},
		  {1000, CHECKS, 1},
		  {1020, CHECKED, CL_CRASH_OPENED},
		  {1500, RESTARTED, 0},
		  {1501, LOST, 2},
		  {1550, REPORT, 2}}},
		{"started anew long after a reset",
		 {{1000, LOST, 1},
		  {1000, CHECKS, 1},
		  {1020, CHECKED, CL_CRASH_OPENED},
		  {2100, RESTARTED, 0},
		  {2200, REPORT, 0}}},
		{"start before the report",
		 {{1000, LOST, 1},
		  {1001, REFUSED, 0},
		  {1010, RESTARTED, 0},
		  {1020, LOST_FRESH, 2},
		  {1051, REPORT, 1},
		  {1100, REPORT, 0}}},
		{"crash right after the first start",
		 {{1000, RESTARTED, 0},
		  {1010, LOST_FRESH, 1},
		  {1010, CHECKS, 1},
		  {1011, CHECKED, CL_CRASH_REFUSED},
		  {1100, REPORT, 1}}},
		{"reset after a crash, before its new start is announced",
		 {{1000, LOST, 1},
		  {1001, REFUSED, 0},
		  {1100, REPORT, 1},
		  {1200, OPENED, 1},
		  {1400, LOST, 2},
		  {1500, RESTARTED, 0},
		  {1600, REPORT, 0}}},
		{"sent on a connection that had ended",
		 {{1000, LOST, 1},
		  {1001, REFUSED, 0},
		  {1002, LOST_IDLE, 2},
		  {1100, REPORT, 1}}},
		{"late end of a connection of a reported crash",
		 {{1000, LOST, 1},
		  {1001, REFUSED, 0},
		  {1100, REPORT, 1},
		  {1101, LOST, 2},
		  {1102, REFUSED, 0},
		  {1300, REPORT, 0}}},
		{"next crash, of a start that is not announced",
		 {{1000, LOST, 1},
		  {1001, REFUSED, 0},
		  {1100, REPORT, 1},
		  {4000, LOST_FRESH, 2},
		  {4000, CHECKS, 1},
		  {4001, CHECKED, CL_CRASH_REFUSED},
		  {4100, REPORT, 1}}},
		{"next crash, after an answer",
		 {{1000, LOST, 1},
		  {1001, REFUSED, 0},
		  {1100, REPORT, 1},
		  {4000, OPENED, 10},
		  {4100, LOST, 2},
		  {4101, REFUSED, 0},
		  {4200, REPORT, 1}}},
		{"leaves as announced",
		 {{1000, LOST, 1},
		  {1001, LEFT, 0},
		  {1002, REFUSED, 0},
		  {1100, REPORT, 0}}},
		{"the same request twice",
		 {{1000, LOST, 1},
		  {1000, LOST, 1},
		  {1001, REFUSED, 0},
		  {1100, REPORT, 1}}},
	};

	for (const auto &k : cases) {
		struct cl_crash c;

		cl_crash_reset(&c);
		for (const event &e : k.events)
			apply(&c, e, k.name);
	}
}

TEST(ClCrash, IsBounded)
{
	struct cl_crash c;
	uint64_t running[CL_CRASH_RUNNING_MAX];

	cl_crash_reset(&c);
	for (uint64_t i = 0; i < 1000; i++)
		cl_crash_lost(&c, i, false, 0, BA_SECOND);
	cl_crash_refused(&c, BA_SECOND);
	EXPECT_EQ(cl_crash_take(&c, running, 2 * BA_SECOND),
		  (size_t)CL_CRASH_RUNNING_MAX);
}

/* How a proxy decides; the broken ones have to be detected. */
enum variant { RIGHT, EACH_LOSS_IS_A_CRASH, NEVER_CHECKS, FORGETS_NOTHING };

/*
 * One backend server with a few connections, in steps of a millisecond.  It
 * crashes now and then and is back after a time; single connections break; the
 * ends of connections become known a few milliseconds apart.
 */
struct simulation {
	enum { CONNECTIONS = 6, STEPS = 60000, CHECK_TIME = 20 * BA_MS };

	struct connection {
		bool open, busy, fresh;
		uint64_t request;
		ba_time sent_at;
		ba_time ends_at; /* when the proxy learns of the end */
	};

	struct crash_or_report {
		ba_time at;
		std::set<uint64_t> requests;
		ba_time doubt; /* how long before it a reset is unclear */
	};

	struct ba_rand rand;
	variant v;
	struct cl_crash c;
	connection conns[CONNECTIONS] = {};
	bool up = true;
	ba_time up_at = 0, beat_at = BA_NEVER, beaten_at = 0;
	ba_time check_ends = BA_NEVER;
	bool check_refused = false;
	uint64_t last_request = 0;
	std::vector<crash_or_report> crashes, reports;
	/*
	 * Requests that were not running at a crash, though a proxy cannot
	 * tell: their connection broke shortly before, or had ended already
	 * when they were sent.
	 */
	std::map<uint64_t, ba_time> unclear;

	simulation(uint64_t seed, variant v) : rand{seed}, v(v)
	{
		cl_crash_reset(&c);
	}

	bool one_in(uint64_t n)
	{
		return !ba_rand_below(&rand, n);
	}

	ba_time ms(uint64_t least, uint64_t most)
	{
		return (ba_time)(least +
				 ba_rand_below(&rand, most - least + 1)) *
		       BA_MS;
	}

	void crash(ba_time now)
	{
		bool at_once = one_in(4); /* no connection is refused */
		crash_or_report one = {now, {}, 0};

		for (connection &k : conns) {
			if (k.open && k.busy)
				one.requests.insert(k.request);
			if (k.open)
				k.ends_at = now + ms(0, 3);
		}
		one.doubt = at_once ? CL_CRASH_MEMORY : 2 * CHECK_TIME;
		crashes.push_back(one);
		up = at_once;
		up_at = now + (at_once ? 0 : ms(2000, 5000));
		beat_at = up_at + ms(10, 500);
	}

	/* Requests are sent while the proxy does not know that it is down. */
	void send(connection &k, ba_time now)
	{
		k.fresh = !k.open;
		if (!k.open && !up) {
			cl_crash_refused(&c, now);
			return;
		}
		if (!k.open)
			k.ends_at = BA_NEVER;
		k.open = true;
		k.busy = true;
		k.request = ++last_request;
		k.sent_at = now;
		if (k.ends_at != BA_NEVER)
			unclear[k.request] = now;
	}

	void end(connection &k, ba_time now)
	{
		if (k.busy && v == EACH_LOSS_IS_A_CRASH)
			reports.push_back({now, {k.request}, 0});
		else if (k.busy)
			cl_crash_lost(&c, k.request, k.fresh, k.sent_at, now);
		k = {};
	}

	void answer(connection &k, ba_time now)
	{
		k.busy = false;
		if (k.fresh && v != FORGETS_NOTHING)
			cl_crash_opened(&c, k.sent_at, now);
	}

	void check(ba_time now)
	{
		if (check_ends <= now) {
			check_ends = BA_NEVER;
			if (v != FORGETS_NOTHING || check_refused)
				cl_crash_checked(&c,
						 check_refused
							 ? CL_CRASH_REFUSED
							 : CL_CRASH_OPENED,
						 now);
			else
				cl_crash_checked(&c, CL_CRASH_UNCLEAR, now);
		}
		if (v == NEVER_CHECKS || !cl_crash_wants_check(&c, now))
			return;
		check_refused = !up;
		check_ends = now + (up ? (ba_time)CHECK_TIME : ms(0, 2));
	}

	void step(ba_time now)
	{
		uint64_t running[CL_CRASH_RUNNING_MAX];
		size_t n;

		if (!up && now >= up_at)
			up = true;
		if (now >= beat_at) {
			beat_at = BA_NEVER;
			beaten_at = now;
			cl_crash_restarted(&c, now);
		}
		/* No start crashes before the last crash is reported. */
		if (up && beat_at == BA_NEVER &&
		    now > beaten_at + CL_CRASH_SETTLE_TIME && one_in(4000))
			crash(now);
		for (connection &k : conns) {
			if (k.open && now >= k.ends_at)
				end(k, now);
			else if (k.open && k.ends_at == BA_NEVER && k.busy &&
				 one_in(300)) {
				unclear[k.request] = now; /* a single reset */
				end(k, now);
			} else if (k.open && k.ends_at == BA_NEVER && k.busy &&
				   one_in(30))
				answer(k, now);
			else if (!k.busy && one_in(50))
				send(k, now);
		}
		check(now);
		n = cl_crash_take(&c, running, now);
		if (n)
			reports.push_back({now, {running, running + n}, 0});
	}

	bool explains(const crash_or_report &crash,
		      const crash_or_report &report) const
	{
		for (uint64_t r : crash.requests)
			if (!report.requests.count(r))
				return false;
		for (uint64_t r : report.requests) {
			auto u = unclear.find(r);

			if (!crash.requests.count(r) &&
			    (u == unclear.end() ||
			     u->second < crash.at - crash.doubt ||
			     u->second > report.at))
				return false;
		}
		return report.at >= crash.at;
	}

	/* Returns why the reports are wrong, "" if they are right. */
	std::string run()
	{
		size_t next = 0;

		for (int i = 0; i < STEPS; i++)
			step((1000 + i) * BA_MS);
		for (const crash_or_report &one : crashes) {
			if (next < reports.size() &&
			    explains(one, reports[next]))
				next++;
			else if (!one.requests.empty() &&
				 one.at + 2 * BA_SECOND < STEPS * BA_MS)
				return "a crash is not reported as it was";
		}
		return next < reports.size() ? "a report without a crash" : "";
	}
};

RC_GTEST_PROP(ClCrash, IsReportedOnceWithAllThatWasRunning, (uint64_t seed))
{
	simulation s(seed, RIGHT);

	RC_ASSERT(s.run() == std::string());
}

TEST(ClCrash, BrokenVariantsAreDetected)
{
	for (variant v :
	     {EACH_LOSS_IS_A_CRASH, NEVER_CHECKS, FORGETS_NOTHING}) {
		int detected = 0;

		for (uint64_t seed = 0; seed < 20; seed++)
			detected += !simulation(seed, v).run().empty();
		EXPECT_GE(detected, 10) << (int)v;
	}
}

} // namespace
