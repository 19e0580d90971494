#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/ba_rand.h"
#include "call/cl_admit.h"
#include "call/cl_limit.h"
#include "call/cl_stated.h"

namespace
{

/* What the platform allows: see LIMIT and DRAIN of its rules. */
const ba_time SPAN = 4 * BA_SECOND;
const ba_time LEARN_TIME = 4 * BA_SECOND;
const ba_time TOLD_TIME = 500 * BA_MS;
const ba_time DRAIN_TIME = 2500 * BA_MS;

double allowed(double per_second)
{
	return 1.5 * per_second * 4 + 5;
}

struct cl_statement limit_of(double per_second, bool leaving = false)
{
	struct cl_statement s = {};

	s.limit = CL_LIMIT_STATED;
	s.per_second = per_second;
	s.leaving = leaving;
	return s;
}

struct cl_statement nothing(bool leaving = false)
{
	struct cl_statement s = {};

	s.leaving = leaving;
	return s;
}

struct cl_statement malformed()
{
	struct cl_statement s = {};

	s.limit = CL_LIMIT_MALFORMED;
	return s;
}

/* Answers of a backend server, in order, and what each changes. */
TEST(ClLimit, EachStatementHasItsEffect)
{
	struct step {
		struct cl_statement s;
		ba_time sent_at, now;
		enum cl_limit_change change;
		double rate; /* 0: not limited */
	};
	static const struct {
		const char *name;
		std::vector<step> steps;
	} cases[] = {
		{"learned, repeated, changed",
		 {{limit_of(20), 0, 10, CL_LIMIT_LEARNED, 20},
		  {limit_of(20), 0, 20, CL_LIMIT_UNCHANGED, 20},
		  {limit_of(30), 0, 30, CL_LIMIT_CHANGED, 30},
		  {limit_of(5), 0, 40, CL_LIMIT_CHANGED, 5}}},
		{"ends after two answers to later requests",
		 {{limit_of(20), 0, 10, CL_LIMIT_LEARNED, 20},
		  {nothing(), 11, 20, CL_LIMIT_UNCHANGED, 20},
		  {nothing(), 12, 30, CL_LIMIT_DROPPED, 0}}},
		{"overtaken answers end nothing",
		 {{limit_of(20), 0, 10, CL_LIMIT_LEARNED, 20},
		  {nothing(), 5, 20, CL_LIMIT_UNCHANGED, 20},
		  {nothing(), 10, 21, CL_LIMIT_UNCHANGED, 20},
		  {nothing(), 6, 22, CL_LIMIT_UNCHANGED, 20}}},
		{"one statement in between counts anew",
		 {{limit_of(20), 0, 10, CL_LIMIT_LEARNED, 20},
		  {nothing(), 11, 20, CL_LIMIT_UNCHANGED, 20},
		  {limit_of(20), 11, 21, CL_LIMIT_UNCHANGED, 20},
		  {nothing(), 22, 30, CL_LIMIT_UNCHANGED, 20}}},
		{"zero leaves a request in 4 s",
		 {{limit_of(0), 0, 10, CL_LIMIT_LEARNED, 0.25}}},
		{"huge", {{limit_of(1e300), 0, 10, CL_LIMIT_LEARNED, 1e6}}},
		{"malformed at first",
		 {{malformed(), 0, 10, CL_LIMIT_IGNORED, 0},
		  {malformed(), 0, 11, CL_LIMIT_UNCHANGED, 0}}},
		{"malformed changes nothing",
		 {{limit_of(20), 0, 10, CL_LIMIT_LEARNED, 20},
		  {malformed(), 11, 20, CL_LIMIT_IGNORED, 20},
		  {malformed(), 21, 30, CL_LIMIT_UNCHANGED, 20},
		  {nothing(), 21, 40, CL_LIMIT_UNCHANGED, 20},
		  {limit_of(20), 31, 50, CL_LIMIT_UNCHANGED, 20},
		  {malformed(), 51, 60, CL_LIMIT_IGNORED, 20}}},
	};

	for (const auto &c : cases) {
		struct cl_limit l = {};
		int i = 0;

		for (const auto &s : c.steps) {
			bool leaves;

			EXPECT_EQ(cl_limit_record(&l, &s.s, s.sent_at, s.now,
						  &leaves),
				  s.change)
				<< c.name << " " << i;
			EXPECT_DOUBLE_EQ(l.limited ? l.rate : 0, s.rate)
				<< c.name << " " << i;
			EXPECT_FALSE(leaves) << c.name << " " << i;
			i++;
		}
	}
}

TEST(ClLimit, DepartureHoldsUntilTheNextStart)
{
	struct cl_limit l = {};
	struct cl_statement leaves = nothing(true), stays = nothing();
	bool news;

	cl_limit_record(&l, &leaves, 1, 2, &news);
	EXPECT_TRUE(news);
	cl_limit_record(&l, &leaves, 3, 4, &news);
	EXPECT_FALSE(news);
	cl_limit_record(&l, &stays, 5, 6, &news);
	EXPECT_TRUE(l.leaving);
	cl_limit_reset(&l);
	EXPECT_FALSE(l.leaving);
}

TEST(ClLimit, AdoptsWhatWasToldLastUntilItsOwnAnswer)
{
	struct cl_limit l = {};
	struct cl_statement ten = limit_of(10), twenty = limit_of(20),
			    none = nothing(), leaves = nothing(true);
	bool news;

	EXPECT_EQ(cl_limit_adopt(&l, &none, 50, 100, &news),
		  CL_LIMIT_UNCHANGED);
	EXPECT_EQ(cl_limit_adopt(&l, &ten, 50, 100, &news), CL_LIMIT_LEARNED);
	EXPECT_EQ(cl_limit_adopt(&l, &twenty, 40, 110, &news),
		  CL_LIMIT_UNCHANGED)
		<< "older";
	EXPECT_DOUBLE_EQ(l.rate, 10);
	EXPECT_EQ(cl_limit_adopt(&l, &twenty, 60, 120, &news),
		  CL_LIMIT_CHANGED);
	EXPECT_EQ(cl_limit_adopt(&l, &leaves, 60, 130, &news),
		  CL_LIMIT_UNCHANGED);
	EXPECT_TRUE(news);
	EXPECT_EQ(cl_limit_record(&l, &ten, 125, 140, &news), CL_LIMIT_CHANGED);
	EXPECT_EQ(cl_limit_adopt(&l, &twenty, 150, 150, &news),
		  CL_LIMIT_UNCHANGED);
	EXPECT_DOUBLE_EQ(l.rate, 10);
}

/* In any span no more than the rate allows, whenever they are asked for. */
RC_GTEST_PROP(ClLimit, NoSpanHasMoreThanTheRate, (uint64_t seed))
{
	struct ba_rand rand = {seed};
	double rate = (double)(1 + ba_rand_below(&rand, 4000)) / 10;
	struct cl_statement s = limit_of(rate);
	std::vector<ba_time> out;
	struct cl_limit l = {};
	ba_time now = BA_HOUR;
	bool leaves;

	cl_limit_record(&l, &s, 0, now, &leaves);
	for (int i = 0; i < 2000; i++) {
		now += (ba_time)ba_rand_below(&rand, ba_rand_below(&rand, 50)
							     ? 20 * BA_MS
							     : 20 * BA_SECOND);
		/* Repeating the limit must not refill the bucket. */
		if (!ba_rand_below(&rand, 4))
			cl_limit_record(&l, &s, 0, now, &leaves);
		if (!ba_rand_below(&rand, 3))
			now = cl_limit_start_at(&l, 1, now);
		if (cl_limit_take(&l, now))
			out.push_back(now);
		else
			RC_ASSERT(cl_limit_start_at(&l, 1, now) > now);
	}
	for (size_t first = 0, i = 0; i < out.size(); i++) {
		while (out[i] - out[first] > SPAN)
			first++;
		RC_ASSERT((double)(i - first + 1) <=
			  l.rate * 4 + std::max(l.rate / 4, 1.0) + 1e-3);
	}
}

RC_GTEST_PROP(ClLimit, StartTimesAreThoseOfTheTokens, (uint64_t seed))
{
	struct ba_rand rand = {seed};
	struct cl_statement s =
		limit_of((double)ba_rand_below(&rand, 1000) / 10);
	struct cl_limit l = {};
	ba_time now = BA_HOUR;
	bool leaves;

	cl_limit_record(&l, &s, 0, now, &leaves);
	now += (ba_time)ba_rand_below(&rand, BA_SECOND);
	for (uint32_t n = 1; n < 20; n++) {
		struct cl_limit copy = l;
		ba_time expected = cl_limit_start_at(&l, n, now);
		ba_time at = now;

		for (uint32_t i = 0; i < n; i++) {
			at = cl_limit_start_at(&copy, 1, at);
			RC_ASSERT(cl_limit_take(&copy, at));
		}
		/* Each step is rounded up to a microsecond. */
		RC_ASSERT(at >= expected - 10 && at <= expected + 10 + n);
	}
}

TEST(ClStated, KeepsOneEntryForEachInstance)
{
	struct cl_stated_table *t = cl_stated_new();
	struct cl_statement ten = limit_of(10), none = nothing(),
			    leaves = nothing(true);

	EXPECT_FALSE(cl_stated_learn(t, "a", 1, &ten, 100));
	EXPECT_FALSE(cl_stated_learn(t, "a", 2, &leaves, 200));
	ASSERT_NE(cl_stated_find(t, "a", 300), nullptr);
	EXPECT_EQ(cl_stated_find(t, "a", 300)->start, 2u);
	EXPECT_TRUE(cl_stated_find(t, "a", 300)->statement.leaving);
	EXPECT_EQ(cl_stated_find(t, "b", 300), nullptr);
	EXPECT_NE(cl_stated_find(t, "a", 199 + CL_STATED_MEMORY), nullptr);
	EXPECT_EQ(cl_stated_find(t, "a", 200 + CL_STATED_MEMORY), nullptr);
	EXPECT_EQ(cl_stated_count(t), 0u);
	cl_stated_learn(t, "a", 2, &ten, 200);
	cl_stated_learn(t, "a", 2, &none, 300);
	EXPECT_EQ(cl_stated_count(t), 0u);
	cl_stated_free(t);
}

TEST(ClStated, DropsWhatWasToldFirst)
{
	struct cl_stated_table *t = cl_stated_new();
	struct cl_statement ten = limit_of(10);
	int dropped = 0;

	for (int i = 0; i < CL_STATED_MAX + 10; i++) {
		cl_stated_learn(t, "again", 1, &ten, i);
		dropped += cl_stated_learn(t, std::to_string(i).c_str(), 1,
					   &ten, i);
	}
	EXPECT_EQ(dropped, 11);
	EXPECT_EQ(cl_stated_count(t), (unsigned int)CL_STATED_MAX);
	EXPECT_NE(cl_stated_find(t, "again", CL_STATED_MAX), nullptr);
	EXPECT_EQ(cl_stated_find(t, "0", CL_STATED_MAX), nullptr);
	cl_stated_free(t);
}

enum variant {
	RIGHT,
	NO_PACE,	/* the gate ignores the limit */
	PER_SENDER,	/* each sender keeps the whole limit for itself */
	ADOPTS_NOTHING, /* a gate that restarts knows nothing */
	SAVES_TOKENS,	/* unused tokens are kept without a bound */
	ENDS_AT_ONCE,	/* one answer without a limit ends it */
	STAYS,		/* the departure is ignored */
};

struct trouble {
	const char *name;
	bool restarts, freezes, changes, leaves, overtakes;
	double demand; /* of the limit */
};

const struct trouble troubles[] = {
	{"calm", false, false, false, false, false, 3},
	{"calm, below the limit", false, false, false, false, false, 0.6},
	{"restarts of the gate", true, false, false, false, false, 3},
	{"restarts of the gate, little demand", true, false, false, false,
	 false, 1.1},
	{"freezes of the gate", false, true, false, false, false, 3},
	{"changes of the limit", false, false, true, false, false, 3},
	{"answers that are overtaken", false, false, false, false, true, 3},
	{"all of it", true, true, true, false, true, 3},
	{"departure", false, false, false, true, false, 3},
	{"departure and restarts of the gate", true, true, false, true, false,
	 3},
};

struct outcome {
	int over = 0;	    /* spans with more than is allowed */
	int late_reach = 0; /* requests after a departure was told */
	double used = 0;    /* of the limit, while it held */
};

/*
 * One backend server, the proxy beside it (the gate), on the machine of sender
 * 0, and senders with uneven demand, in virtual time.
 */
struct limit_mesh {
	enum { SENDERS = 8, SLOTS = 12 };
	static constexpr ba_time NAMED = 10 * BA_SECOND;
	static constexpr ba_time LENGTH = 60 * BA_SECOND;

	struct call {
		struct cl_admit_call admission; /* first */
		int origin;
		bool sent;
	};
	struct sender {
		struct cl_stated_table *stated = cl_stated_new();
		struct cl_limit own = {}; /* of PER_SENDER */
		ba_time told_limit = BA_NEVER;
		ba_time told_leaving = BA_NEVER;
	};
	struct arrival {
		ba_time at;
		bool counts;
	};

	const struct trouble &t;
	enum variant v;
	struct ba_rand rand;
	double rate;
	std::multimap<ba_time, std::function<void()>> events;
	ba_time now = 0;
	struct cl_limit limit = {};
	struct cl_admit *admit = nullptr;
	std::vector<std::unique_ptr<call>> calls;
	sender senders[SENDERS];
	ba_time frozen_until = 0;
	double saved = 0; /* tokens of SAVES_TOKENS */
	ba_time saved_at = 0;
	uint64_t life = 1; /* of the gate */
	std::vector<arrival> arrivals;
	std::vector<std::pair<ba_time, double>> rates;
	outcome out;

	limit_mesh(const struct trouble &t, enum variant v, uint64_t seed)
	    : t(t), v(v), rand{seed}
	{
		rate = 2 + (double)ba_rand_below(&rand, 400) / 10;
		rates.push_back({NAMED, rate});
		start_gate();
		run();
		judge();
	}
	~limit_mesh()
	{
		cl_admit_free(admit);
		for (auto &s : senders)
			cl_stated_free(s.stated);
	}

	ba_time between(ba_time least, ba_time most)
	{
		return least +
		       (ba_time)ba_rand_below(&rand, (uint64_t)(most - least));
	}

	void at(ba_time when, std::function<void()> f)
	{
		events.insert({when, std::move(f)});
	}

	void start_gate()
	{
		struct cl_admit_options o = {};

		o.slots = SLOTS;
		o.connections = UINT32_MAX;
		o.queue = SLOTS * 16;
		o.bounded = true;
		cl_admit_free(admit);
		admit = cl_admit_new(&o);
		cl_limit_reset(&limit);
		if (v != NO_PACE && v != PER_SENDER && v != SAVES_TOKENS)
			cl_admit_set_pace(admit, &limit);
		life++;
	}

	struct cl_statement stated()
	{
		bool leaves = t.leaves && now >= 20 * BA_SECOND;

		if (now < NAMED || now > LENGTH - 5 * BA_SECOND)
			return nothing(leaves);
		return limit_of(rate, leaves);
	}

	void run()
	{
		for (int i = 0; i < SENDERS; i++)
			at(between(0, BA_SECOND), [=] { send(i); });
		for (ba_time when = 16 * BA_SECOND; when < LENGTH;
		     when += between(2 * BA_SECOND, 5 * BA_SECOND)) {
			if (t.restarts)
				at(when, [=] { restart(); });
			if (t.freezes)
				at(when + BA_SECOND, [=] {
					frozen_until =
						now + between(BA_SECOND,
							      5 * BA_SECOND);
					forget_told(0);
				});
			if (t.changes)
				at(when, [=] {
					rate = rate > 15 ? rate / 3 : rate * 2;
					rates.push_back({now, rate});
				});
		}
		at(0, [=] { tick(); });
		while (!events.empty()) {
			auto e = events.begin();
			auto f = std::move(e->second);

			now = e->first;
			events.erase(e);
			if (now > LENGTH)
				return;
			f();
		}
	}

	void tick()
	{
		if (now >= frozen_until)
			process_queue();
		at(now + BA_MS, [=] { tick(); });
	}

	void forget_told(int i)
	{
		senders[i].told_limit = senders[i].told_leaving = BA_NEVER;
	}

	void restart()
	{
		start_gate();
		frozen_until = now + between(50 * BA_MS, BA_SECOND);
		cl_stated_free(senders[0].stated);
		senders[0].stated = cl_stated_new();
		forget_told(0);
	}

	/* Sender i has i + 1 parts of the demand. */
	void send(int i)
	{
		double of_all = (double)(i + 1) / (SENDERS * (SENDERS + 1) / 2);
		double gap = (double)BA_SECOND / (rate * t.demand * of_all);
		const struct cl_stated *s =
			cl_stated_find(senders[i].stated, "gate", now);
		struct cl_stated told = s ? *s : (struct cl_stated){};

		at(now + between((ba_time)gap / 2, (ba_time)gap * 3 / 2),
		   [=] { send(i); });
		if (!i && now < frozen_until)
			return;
		if (v == PER_SENDER && !cl_limit_take(&senders[i].own, now))
			return;
		at(now + between(0, 30 * BA_MS), [=] { arrive(i, told); });
	}

	/* A request that reaches a frozen gate is read when it wakes. */
	void arrive(int i, struct cl_stated told)
	{
		uint64_t sent_to = life;
		enum cl_admit_reason reason;
		bool leaves;

		if (now < frozen_until) {
			at(frozen_until, [=] {
				if (life == sent_to)
					arrive(i, told);
			});
			return;
		}
		if (told.start && v != ADOPTS_NOTHING)
			cl_limit_adopt(&limit, &told.statement, told.told_at,
				       now, &leaves);
		if (limit.leaving && v != STAYS) {
			answer(i, stated(), false);
			return;
		}
		if (v == SAVES_TOKENS && !has_saved_token()) {
			answer(i, told_now(), false);
			return;
		}
		calls.push_back(std::make_unique<call>());
		call *c = calls.back().get();

		c->origin = i;
		c->admission.weight = 1 + (uint32_t)ba_rand_below(&rand, 3);
		c->admission.deadline = now + 600 * BA_MS;
		c->admission.expected = 100 * BA_MS;
		switch (cl_admit_arrive(admit, &c->admission, now, &reason)) {
		case CL_ADMIT_START:
			reach(c);
			break;
		case CL_ADMIT_REFUSE:
			answer(i, told_now(), false);
			break;
		default:
			break;
		}
	}

	bool has_saved_token()
	{
		if (!limit.limited) {
			saved_at = now;
			return true;
		}
		saved += (double)(now - saved_at) * limit.rate /
			 (double)BA_SECOND;
		saved_at = now;
		if (saved < 1)
			return false;
		saved -= 1;
		return true;
	}

	void process_queue()
	{
		struct cl_admit_call *admission;
		enum cl_admit_reason reason;
		enum cl_admit_action act;

		while ((admission = cl_admit_next(admit, now, &act, &reason))) {
			call *c = (call *)admission;

			if (act == CL_ADMIT_START)
				reach(c);
			else
				answer(c->origin, told_now(), false);
		}
	}

	/* What the gate tells the senders. */
	struct cl_statement told_now()
	{
		return limit.limited ? limit_of(limit.rate, limit.leaving)
				     : nothing(limit.leaving);
	}

	void reach(call *c)
	{
		sender &s = senders[c->origin];
		uint64_t served_by = life;

		out.late_reach += s.told_leaving != BA_NEVER &&
				  now > s.told_leaving + DRAIN_TIME;
		arrivals.push_back(
			{now, s.told_limit != BA_NEVER &&
				      now >= s.told_limit + TOLD_TIME});
		at(now + between(40 * BA_MS, 160 * BA_MS), [=] {
			if (life == served_by)
				end(c, stated());
		});
	}

	/* An overtaken answer was made before the limit was stated. */
	void end(call *c, struct cl_statement s)
	{
		bool leaves;

		if (now < frozen_until) {
			at(frozen_until, [=] { end(c, s); });
			return;
		}
		cl_admit_done(admit, &c->admission, CL_ADMIT_SERVED, now);
		if (t.overtakes && ba_rand_below(&rand, 2)) {
			struct cl_statement old = nothing();

			cl_limit_record(&limit, &old, limit.stated_at - 1, now,
					&leaves);
			if (v == ENDS_AT_ONCE)
				limit.limited = false;
		}
		cl_limit_record(&limit, &s, c->admission.started, now, &leaves);
		answer(c->origin, s, true);
	}

	/* @made: by the backend server, so that the platform counts it. */
	void answer(int i, struct cl_statement s, bool made)
	{
		at(now + between(0, 30 * BA_MS), [=] {
			sender &to = senders[i];
			bool leaves;

			cl_stated_learn(to.stated, "gate", 1, &s, now);
			if (v == PER_SENDER)
				cl_limit_record(&to.own, &s, now, now, &leaves);
			if (made && s.limit == CL_LIMIT_STATED &&
			    to.told_limit == BA_NEVER)
				to.told_limit = now;
			if (made && s.leaving && to.told_leaving == BA_NEVER)
				to.told_leaving = now;
		});
	}

	double highest_rate(ba_time from, ba_time to)
	{
		double highest = 0;

		for (size_t i = 0; i < rates.size(); i++) {
			ba_time end = i + 1 < rates.size() ? rates[i + 1].first
							   : LENGTH;

			if (rates[i].first <= to && end >= from)
				highest = std::max(highest, rates[i].second);
		}
		return highest;
	}

	void judge()
	{
		ba_time end = LENGTH - 5 * BA_SECOND;
		size_t counted = 0, first = 0;
		double while_limited = 0;

		for (size_t i = 0; i < arrivals.size(); i++) {
			const arrival &a = arrivals[i];

			if (a.at > end)
				break;
			while_limited += a.at >= NAMED + LEARN_TIME;
			if (a.at < NAMED + LEARN_TIME)
				continue;
			counted += a.counts;
			for (; arrivals[first].at < a.at - SPAN; first++)
				counted -= arrivals[first].counts &&
					   arrivals[first].at >=
						   NAMED + LEARN_TIME;
			out.over += (double)counted >
				    allowed(highest_rate(a.at - SPAN, a.at));
		}
		out.used = while_limited / (rates[0].second *
					    (double)(end - NAMED - LEARN_TIME) /
					    (double)BA_SECOND);
	}
};

TEST(ClLimitMesh, LimitAndDepartureHoldInEachTrouble)
{
	for (const auto &t : troubles)
		for (uint64_t seed = 1; seed <= 30; seed++) {
			limit_mesh m(t, RIGHT, seed);

			EXPECT_EQ(m.out.over, 0) << t.name << " " << seed;
			EXPECT_EQ(m.out.late_reach, 0) << t.name << " " << seed;
		}
}

/* A limit that is kept by letting nothing through is no help. */
TEST(ClLimitMesh, LimitIsUsedWhereThereIsDemand)
{
	for (uint64_t seed = 1; seed <= 30; seed++) {
		EXPECT_GT(limit_mesh(troubles[0], RIGHT, seed).out.used, 0.95)
			<< seed;
		EXPECT_GT(limit_mesh(troubles[1], RIGHT, seed).out.used, 0.55)
			<< seed;
	}
}

TEST(ClLimitMesh, WrongVariantsAreCaught)
{
	static const struct {
		enum variant v;
		int trouble;
	} cases[] = {
		{NO_PACE, 0},	   {PER_SENDER, 0},   {ADOPTS_NOTHING, 9},
		{SAVES_TOKENS, 4}, {ENDS_AT_ONCE, 6}, {STAYS, 8},
	};

	for (const auto &c : cases) {
		int caught = 0;

		for (uint64_t seed = 1; seed <= 30; seed++) {
			limit_mesh m(troubles[c.trouble], c.v, seed);

			caught += m.out.over || m.out.late_reach;
		}
		EXPECT_GT(caught, 0) << c.v;
	}
}

} // namespace
