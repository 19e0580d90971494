#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <vector>

#include "base/ba_rand.h"
#include "call/cl_quota.h"
#include "call/cl_quota_pool.h"

namespace
{

/* Requests a second at a proxy are less than one a tick. */
enum { PROXIES = 24, RELAYS = 3 };

const ba_time TICK = 4 * BA_MS;
const ba_time HOLD = 150 * BA_MS;
const ba_time SILENCE = 1050 * BA_MS;

enum fault { NONE, CUT, FREEZE, KILL };

struct machine {
	fault state;
	ba_time until;
	ba_time since;
};

struct frame {
	int from, to; /* proxies, then relays */
	uint64_t session;
	bool is_grant;
	cl_quota_message m;
};

struct proxy {
	machine at;
	cl_quota *q;
	int relay;
	uint64_t session;
	ba_time dial_at;
	std::deque<std::pair<ba_time, int>> waiting;
};

struct relay {
	machine at;
	cl_quota_pool *pool;
	cl_quota_lender lender[PROXIES];
	uint64_t session[PROXIES];
	ba_time asked_at;
};

/* Proxies and relays of two regions in virtual time. */
struct world {
	std::vector<cl_quota_limit> limits;
	std::vector<double> demand; /* of all proxies together, a second */
	double skew = 0;	    /* of demand over the proxies */
	std::vector<proxy> p{PROXIES};
	std::vector<relay> r{RELAYS};
	std::multimap<ba_time, frame> link;
	std::vector<std::vector<ba_time>> admitted;
	std::vector<unsigned> asked, refused, owed;
	std::vector<double> ideal; /* bucket that sees all requests */
	ba_rand rand;
	ba_time now = 100 * BA_SECOND;
	ba_time ideal_at = now;
	uint64_t sessions = 0;
	unsigned counted = PROXIES; /* instances that relays know of */

	world(uint64_t seed, std::vector<cl_quota_limit> l,
	      std::vector<double> d)
	    : limits(l), demand(d), admitted(l.size()), asked(l.size()),
	      refused(l.size()), owed(l.size()), ideal(l.size()), rand{seed}
	{
		for (auto &x : p)
			start(x);
		for (auto &x : r)
			start(x);
		for (size_t t = 0; t < l.size(); t++)
			ideal[t] = l[t].burst;
	}

	~world()
	{
		for (auto &x : p)
			cl_quota_free(x.q);
		for (auto &x : r)
			cl_quota_pool_free(x.pool);
	}

	double chance()
	{
		return (double)(ba_rand_next(&rand) >> 11) / 9007199254740992.0;
	}

	static int region(int machine)
	{
		return machine < PROXIES ? machine % 2
					 : machine == PROXIES + RELAYS - 1;
	}

	machine &at(int i)
	{
		return i < PROXIES ? p[i].at : r[i - PROXIES].at;
	}

	void start(proxy &x)
	{
		x.at = {};
		x.q = cl_quota_new(now);
		cl_quota_configure(x.q, limits.data(), limits.size(), now);
		x.relay = -1;
		x.dial_at = now + (ba_time)ba_rand_below(&rand, 200 * BA_MS);
	}

	void start(relay &x)
	{
		x.at = {};
		cl_quota_pool_free(x.pool);
		x.pool = cl_quota_pool_new(now);
		cl_quota_pool_configure(x.pool, limits.data(), limits.size(),
					now);
		cl_quota_pool_count(x.pool, counted, now);
		for (auto &l : x.lender) {
			l.until = 0;
			ba_list_init(&l.link);
		}
		x.asked_at = 0;
	}

	void load(double part)
	{
		demand.clear();
		for (const auto &l : limits)
			demand.push_back(l.rate * part);
	}

	void configure(std::vector<cl_quota_limit> l)
	{
		limits = l;
		for (auto &x : p)
			if (x.q)
				cl_quota_configure(x.q, l.data(), l.size(),
						   now);
		for (auto &x : r)
			if (x.pool)
				cl_quota_pool_configure(x.pool, l.data(),
							l.size(), now);
	}

	void hit(int i, fault f, ba_time time)
	{
		machine &m = at(i);

		if (m.state != NONE)
			return;
		m = {f, now + time, now};
		if (f != KILL)
			return;
		if (i >= PROXIES) {
			cl_quota_pool_free(r[i - PROXIES].pool);
			r[i - PROXIES].pool = NULL;
			return;
		}
		cl_quota_free(p[i].q);
		p[i].q = NULL;
		p[i].waiting.clear();
		end_session(i);
	}

	void recover()
	{
		for (int i = 0; i < PROXIES + RELAYS; i++) {
			machine &m = at(i);

			if (m.state == NONE || now < m.until)
				continue;
			if (m.state == KILL && i < PROXIES)
				start(p[i]);
			else if (m.state == KILL)
				start(r[i - PROXIES]);
			m.state = NONE;
		}
	}

	/* The relay notices the end if it runs and is not cut off. */
	void end_session(int i)
	{
		proxy &x = p[i];
		int n = x.relay;

		x.relay = -1;
		x.dial_at = now + 100 * BA_MS;
		if (x.q) {
			cl_quota_connected(x.q, false, now);
			retry(i);
		}
		if (n >= 0 && r[n].at.state == NONE && x.at.state != CUT)
			cl_quota_pool_end(r[n].pool, &r[n].lender[i], now);
	}

	void dial(int i)
	{
		proxy &x = p[i];
		int first = region(i) ? RELAYS - 1
				      : (int)ba_rand_below(&rand, RELAYS - 1);

		x.dial_at = now + 100 * BA_MS;
		for (int k = 0; k < RELAYS; k++) {
			int n = (first + k) % RELAYS;

			if (r[n].at.state != NONE)
				continue;
			cl_quota_pool_end(r[n].pool, &r[n].lender[i], now);
			r[n].session[i] = x.session = ++sessions;
			x.relay = n;
			cl_quota_connected(x.q, true, now);
			return;
		}
	}

	void send(int from, int to, uint64_t session, bool is_grant,
		  const cl_quota_message &m)
	{
		ba_time way =
			region(from) == region(to) ? 2 * BA_MS : 30 * BA_MS;

		link.emplace(now + way +
				     (ba_time)ba_rand_below(&rand, 10 * BA_MS),
			     frame{from, to, session, is_grant, m});
	}

	/* What was sent to a machine that is frozen or cut off waits. */
	void deliver()
	{
		while (!link.empty() && link.begin()->first <= now) {
			frame f = link.begin()->second;
			fault from = at(f.from).state, to = at(f.to).state;

			link.erase(link.begin());
			if (to == FREEZE || to == CUT || from == CUT)
				link.emplace(now + 20 * BA_MS, f);
			else if (to == NONE)
				take_in(f);
		}
	}

	void take_in(const frame &f)
	{
		cl_quota_message out;

		if (f.to < PROXIES) {
			proxy &x = p[f.to];

			if (x.relay == f.from - PROXIES &&
			    x.session == f.session &&
			    cl_quota_granted(x.q, &f.m, now))
				retry(f.to);
		} else if (f.from < PROXIES) {
			relay &x = r[f.to - PROXIES];

			if (x.session[f.from] != f.session)
				return;
			cl_quota_pool_grant(x.pool, &x.lender[f.from], &f.m,
					    &out, now);
			send(f.to, f.from, f.session, true, out);
		} else if (f.is_grant) {
			cl_quota_pool_borrowed(r[f.to - PROXIES].pool, &f.m,
					       f.m.stamp, now);
		} else {
			cl_quota_pool_lend(r[f.to - PROXIES].pool, &f.m, &out,
					   now);
			out.stamp = f.m.stamp;
			send(f.to, f.from, 0, true, out);
		}
	}

	void retry(int i)
	{
		auto held = std::move(p[i].waiting);

		p[i].waiting.clear();
		for (auto &h : held)
			request(i, h.second, h.first);
	}

	void request(int i, int team, ba_time deadline)
	{
		proxy &x = p[i];
		bool first = !deadline;
		cl_quota_verdict v =
			cl_quota_take(x.q, limits[team].team, first, now);

		if (first) {
			bool within = ideal[team] >= 1;

			asked[team]++;
			ideal[team] -= within;
			owed[team] += within;
			deadline = now + HOLD;
		}
		if (v == CL_QUOTA_ADMIT)
			admitted[team].push_back(now);
		else if (v == CL_QUOTA_WAIT && now < deadline)
			x.waiting.push_back({deadline, team});
		else
			refused[team]++;
	}

	void clients(int i)
	{
		/* Proxies differ by up to exp(skew) in demand. */
		double share = std::exp(skew * (double)(i % 5) / 4);
		double all = 0;

		for (int k = 0; k < PROXIES; k++)
			all += std::exp(skew * (double)(k % 5) / 4);
		for (size_t t = 0; t < limits.size(); t++) {
			double n = demand[t] * share / all * TICK / BA_SECOND;

			for (; n > 0; n -= 1)
				if (chance() < n)
					request(i, (int)t, 0);
		}
	}

	void step()
	{
		cl_quota_message m;

		now += TICK;
		recover();
		for (size_t t = 0; t < limits.size(); t++)
			ideal[t] = std::min(ideal[t] + limits[t].rate * TICK /
							       BA_SECOND,
					    limits[t].burst);
		deliver();
		for (int i = 0; i < PROXIES; i++) {
			proxy &x = p[i];

			if (x.at.state == KILL || x.at.state == FREEZE)
				continue;
			while (!x.waiting.empty() &&
			       x.waiting.front().first <= now) {
				refused[x.waiting.front().second]++;
				x.waiting.pop_front();
			}
			if (x.relay >= 0 && lost(x))
				end_session(i);
			else if (x.relay < 0 && now >= x.dial_at &&
				 x.at.state == NONE)
				dial(i);
			clients(i);
			if (now >= cl_quota_ask_at(x.q)) {
				cl_quota_ask(x.q, &m, now);
				send(i, PROXIES + x.relay, x.session, false, m);
			}
		}
		for (int i = 0; i < RELAYS; i++) {
			relay &x = r[i];

			if (x.at.state == KILL || x.at.state == FREEZE ||
			    now < x.asked_at + 100 * BA_MS ||
			    !cl_quota_pool_ask(x.pool, RELAYS - 1, &m, now))
				continue;
			x.asked_at = now;
			for (int k = 0; k < RELAYS; k++)
				if (k != i)
					send(PROXIES + i, PROXIES + k, 0, false,
					     m);
		}
	}

	bool lost(const proxy &x)
	{
		const machine &m = r[x.relay].at;

		return m.state == KILL ||
		       (m.state != NONE && now > m.since + SILENCE) ||
		       (x.at.state == CUT && now > x.at.since + SILENCE);
	}

	void run(ba_time time)
	{
		for (ba_time end = now + time; now < end;)
			step();
	}

	void run_with_faults(ba_time time, double per_second)
	{
		for (ba_time end = now + time; now < end; step())
			if (chance() < per_second * TICK / BA_SECOND)
				strike();
	}

	/* A single machine, or many at the same moment. */
	void strike()
	{
		fault f = (fault)(CUT + ba_rand_below(&rand, 3));
		ba_time time = BA_SECOND +
			       (ba_time)ba_rand_below(&rand, 6 * BA_SECOND);
		unsigned herd = (unsigned)ba_rand_below(&rand, 4);

		for (int i = 0; i < PROXIES + RELAYS; i++)
			if (!ba_rand_below(&rand, herd ? 20 : 2))
				hit(i, f, time);
	}

	/* Most requests that ran in a window, less what the rule allows. */
	double worst_excess(size_t team, const cl_quota_limit &l) const
	{
		const auto &a = admitted[team];
		double bound = (l.rate * 5 + l.burst) * 1.1 + 20;
		double worst = -bound;
		size_t first = 0;

		for (size_t i = 0; i < a.size(); i++) {
			while (a[i] - a[first] >= CL_QUOTA_WINDOW)
				first++;
			worst = std::max(worst,
					 (double)(i - first + 1) - bound);
		}
		return worst;
	}

	/*
	 * Whether more than @part of the requests below the limit did not run.
	 * One may be waiting at the end.
	 */
	bool lost_more(size_t team, double part) const
	{
		return (double)admitted[team].size() <
		       owed[team] * (1 - part) - 1;
	}

	void forget()
	{
		for (size_t t = 0; t < limits.size(); t++)
			asked[t] = refused[t] = owed[t] = 0,
			admitted[t].clear();
	}
};

const std::vector<cl_quota_limit> THREE = {{1, 3.4, 3},
					   {2, 40, 20},
					   {3, 400, 200}};

/* Demand far above, around and below the limits, cuts, freezes, kills. */
RC_GTEST_PROP(ClQuota, NeverOverWithCutsFreezesAndKills, (uint64_t seed))
{
	world w(seed, THREE, {0, 0, 0});

	for (int phase = 0; phase < 4; phase++) {
		for (size_t t = 0; t < 3; t++)
			w.demand[t] = THREE[t].rate *
				      (0.3 + 6 * w.chance() * w.chance());
		w.skew = 4 * w.chance();
		w.run_with_faults(6 * BA_SECOND, 0.7);
	}
	for (size_t t = 0; t < 3; t++)
		RC_ASSERT(w.worst_excess(t, THREE[t]) <= 0);
}

TEST(ClQuota, RefusesLittleBelowTheLimitWhenCalm)
{
	const struct {
		double load, skew, most_lost;
	} cases[] = {
		{0.6, 0, 0.01}, {0.6, 2, 0.01}, {0.6, 4, 0.01},
		{0.9, 2, 0.02}, {3, 2, 0.05},	{6, 2, 0.05},
	};

	for (const auto &c : cases) {
		world w(7, THREE, {});

		w.load(c.load);
		w.skew = c.skew;
		w.run(5 * BA_SECOND);
		w.forget();
		w.run(20 * BA_SECOND);
		for (size_t t = 0; t < 3; t++) {
			EXPECT_FALSE(w.lost_more(t, c.most_lost))
				<< "load " << c.load << " skew " << c.skew
				<< " team " << t;
			EXPECT_LE(w.worst_excess(t, THREE[t]), 0);
		}
	}
}

/* Each failure comes while all teams ask for thrice their limits. */
TEST(ClQuota, BoundsAndServiceOverFailures)
{
	const int FIRST = PROXIES, LAST = PROXIES + RELAYS - 1;
	const struct {
		const char *name;
		fault f;
		std::vector<int> hit; /* empty: all proxies */
		ba_time time;
		double least; /* part of the limits in use meanwhile */
	} cases[] = {
		{"a relay dies while grants are out",
		 KILL,
		 {FIRST},
		 4 * BA_SECOND,
		 0.6},
		{"a relay freezes and wakes",
		 FREEZE,
		 {LAST},
		 4 * BA_SECOND,
		 0.4},
		{"a region is cut off", CUT, {LAST}, 6 * BA_SECOND, 0.4},
		{"instances freeze with grants and wake",
		 FREEZE,
		 {},
		 3 * BA_SECOND,
		 0},
		{"instances are cut off", CUT, {}, 6 * BA_SECOND, 0.3},
		{"instances restart with nothing known",
		 KILL,
		 {},
		 2 * BA_SECOND,
		 0},
	};

	for (const auto &c : cases) {
		world w(11, THREE, {});
		size_t ran;

		w.load(3);
		w.run(8 * BA_SECOND);
		for (int i : c.hit)
			w.hit(i, c.f, c.time);
		for (int i = 0; c.hit.empty() && i < PROXIES; i++)
			w.hit(i, c.f, c.time);
		ran = w.admitted[2].size();
		w.run(c.time);
		ran = w.admitted[2].size() - ran;
		EXPECT_GE((double)ran,
			  c.least * THREE[2].rate * c.time / BA_SECOND)
			<< c.name;
		w.run(3 * BA_SECOND);
		w.forget();
		w.run(5 * BA_SECOND);
		for (size_t t = 1; t < 3; t++)
			EXPECT_FALSE(w.lost_more(t, 0.05)) << c.name;
	}
}

TEST(ClQuota, LowerLimitBindsAfterAWindow)
{
	std::vector<cl_quota_limit> lower = THREE;
	world w(13, THREE, {});

	w.load(3);
	w.run(8 * BA_SECOND);
	for (auto &l : lower) {
		l.rate /= 4;
		l.burst /= 4;
	}
	w.configure(lower);
	w.forget();
	w.run(10 * BA_SECOND);
	for (size_t t = 0; t < 3; t++)
		EXPECT_LE(w.worst_excess(t, lower[t]), 0) << "team " << t;
}

/* A request that is refused after it took its token leaves it to the next. */
TEST(ClQuota, TokenThatIsPutBackIsTakenOnceMore)
{
	const uint64_t team = cl_quota_team("a");
	const cl_quota_limit limit = {team, 100, 100};
	ba_time now = 10 * BA_SECOND;
	cl_quota *q = cl_quota_new(now);
	cl_quota_message m = {};
	unsigned int granted, n = 0;

	cl_quota_configure(q, &limit, 1, now);
	cl_quota_connected(q, true, now);
	EXPECT_EQ(cl_quota_take(q, team, true, now), CL_QUOTA_WAIT);
	cl_quota_ask(q, &m, now);
	ASSERT_EQ(m.n, 1u);
	m.stamp = now;
	m.instances = 1;
	granted = m.amounts[0].tokens;
	ASSERT_GT(granted, 0u);
	ASSERT_TRUE(cl_quota_granted(q, &m, now));
	while (n <= granted &&
	       cl_quota_take(q, team, false, now) == CL_QUOTA_ADMIT)
		n++;
	EXPECT_EQ(n, granted);
	cl_quota_put_back(q, team, now);
	EXPECT_EQ(cl_quota_take(q, team, false, now), CL_QUOTA_ADMIT);
	EXPECT_NE(cl_quota_take(q, team, false, now), CL_QUOTA_ADMIT);
	cl_quota_put_back(q, team, now);
	EXPECT_NE(cl_quota_take(q, team, false, now + BA_SECOND),
		  CL_QUOTA_ADMIT)
		<< "a token lasts no longer for being put back";
	cl_quota_free(q);
}

/* The checks notice shares of too few instances. */
TEST(ClQuota, TheCheckerDetectsSharesThatAreTooLarge)
{
	world w(17, THREE, {});

	w.counted = PROXIES / 4;
	for (auto &x : w.r)
		w.start(x);
	w.load(6);
	w.run(3 * BA_SECOND);
	for (int i = 0; i < PROXIES; i++)
		w.hit(i, CUT, 20 * BA_SECOND);
	w.run(12 * BA_SECOND);
	EXPECT_GT(w.worst_excess(2, THREE[2]), 0);
}

} /* namespace */
