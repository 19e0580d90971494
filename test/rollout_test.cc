/*
 * Tests of roll-outs: the verdict on a version, the steps in virtual time, and
 * what the replicated state keeps of them.
 */
#include <gtest/gtest.h>

#include <cmath>
#include <cstring>
#include <map>
#include <string>
#include <vector>

#include <glib.h>

#include "base/ba_rand.h"
#include "base/ba_result.h"
#include "call/cl_route.h"
#include "replica/rp_machine.h"
#include "report/rt_tally.h"
#include "source/so_judge.h"
#include "wire/ct.pb-c.h"
#include "wire/rp.pb-c.h"

namespace
{

/* How servers of a version answer: times around 100 ms, and a share of faults. */
struct Pattern {
	double failed;
	double slow;
	double factor;
	double spread;
};

double normal(ba_rand *rand)
{
	double sum = 0;

	for (int i = 0; i < 12; i++)
		sum += (double)ba_rand_below(rand, 1 << 20) / (1 << 20);
	return sum - 6;
}

rt_tally calls(const Pattern &p, int n, ba_rand *rand)
{
	rt_tally t = {};

	for (int i = 0; i < n; i++) {
		double ms = 100 * exp(p.spread * normal(rand));

		if ((double)ba_rand_below(rand, 1000) < 1000 * p.failed) {
			t.failed++;
			continue;
		}
		if ((double)ba_rand_below(rand, 1000) < 1000 * p.slow)
			ms *= p.factor;
		t.answered++;
		t.times[rt_tally_bucket((ba_time)(ms * BA_MS))]++;
	}
	return t;
}

TEST(Judge, BadVersionsAreToldFromNoise)
{
	const Pattern fine = {0, 0, 1, 0.5};
	static const struct {
		const char *name;
		Pattern kept;
		int n_kept;
		Pattern target;
		int n_target;
		so_verdict expected;
	} cases[] = {
		{"the same", fine, 2000, fine, 100, SO_VERDICT_GOOD},
		{"fails a fifth",
		 fine,
		 2000,
		 {0.2, 0, 1, 0.5},
		 100,
		 SO_VERDICT_FAILS},
		{"fails half, few calls",
		 fine,
		 2000,
		 {0.5, 0, 1, 0.5},
		 24,
		 SO_VERDICT_FAILS},
		{"fails all, nothing known before",
		 fine,
		 0,
		 {1, 0, 1, 0.5},
		 20,
		 SO_VERDICT_FAILS},
		{"too few calls",
		 fine,
		 2000,
		 {1, 0, 1, 0.5},
		 4,
		 SO_VERDICT_GOOD},
		{"both fail",
		 {0.2, 0, 1, 0.5},
		 2000,
		 {0.2, 0, 1, 0.5},
		 200,
		 SO_VERDICT_GOOD},
		{"five times slower",
		 fine,
		 2000,
		 {0, 1, 5, 0.5},
		 30,
		 SO_VERDICT_SLOW},
		{"a third is four times slower",
		 fine,
		 2000,
		 {0, 0.33, 4, 0.5},
		 300,
		 SO_VERDICT_SLOW},
		{"the same, times vary",
		 {0, 0, 1, 0.8},
		 2000,
		 {0, 0, 1, 0.8},
		 100,
		 SO_VERDICT_GOOD},
		{"machines half as fast",
		 fine,
		 2000,
		 {0, 1, 1.6, 0.5},
		 100,
		 SO_VERDICT_GOOD},
		{"fails one in a hundred",
		 fine,
		 2000,
		 {0.01, 0, 1, 0.5},
		 400,
		 SO_VERDICT_GOOD},
	};

	for (auto &c : cases) {
		int wrong = 0;

		for (uint64_t seed = 1; seed <= 200; seed++) {
			ba_rand rand = {seed};
			rt_tally kept = calls(c.kept, c.n_kept, &rand);
			rt_tally target = calls(c.target, c.n_target, &rand);

			wrong += so_judge(&kept, &target) != c.expected;
		}
		EXPECT_LE(wrong, 2) << c.name;
	}
}

/* What a roll-out has done when it ended, or after twice its duration. */
struct Result {
	so_step step;
	so_step_reason reason;
	ba_time at;
	double exposed; /* share of all calls until the duration is over */
};

/*
 * Plays a roll-out: 100 calls a second, counted @lag after they ran, and a
 * target that is bad from @bad_at on, or at shares of @bad_share and above.
 */
Result play(ba_time duration, ba_time bad_at, uint32_t bad_share, bool serves,
	    ba_time everywhere_at = 0)
{
	const ba_time tick = 200 * BA_MS;
	const int lag = 4;
	const double per_tick = 100 * (double)tick / (double)BA_SECOND;
	so_trial t = {};
	double exposed = 0;
	std::vector<double> bad;
	Result r = {SO_STEP_WAIT, SO_REASON_EARLY, 0, 0};

	t.duration = duration;
	t.share = SO_ROLLOUT_FIRST_SHARE;
	for (ba_time now = 0; now < 2 * duration; now += tick) {
		double target = serves ? per_tick * t.share / CF_SHARE_ALL : 0;
		double failures = 0;
		uint32_t share;

		t.elapsed = now;
		t.step_elapsed += tick;
		t.heard = now;
		t.everywhere = now >= everywhere_at;
		t.target_calls += (uint64_t)std::round(target);
		t.kept_calls += (uint64_t)std::round(per_tick - target);
		exposed += now < duration ? target : 0;
		bad.push_back(now >= bad_at || t.share >= bad_share ? target
								    : 0);
		for (size_t i = 0; i + lag < bad.size(); i++)
			failures += bad[i];
		if (failures >= 8)
			t.verdict = SO_VERDICT_FAILS;
		r.step = so_next_step(&t, &share, &r.reason);
		r.at = now;
		if (r.step == SO_STEP_COMPLETE || r.step == SO_STEP_ROLL_BACK)
			break;
		if (r.step == SO_STEP_GROW) {
			t.share = share;
			t.step_elapsed = 0;
			t.target_calls = 0;
			t.kept_calls = 0;
		}
	}
	r.exposed = exposed / (per_tick * (double)duration / (double)tick);
	return r;
}

TEST(Rollout, StepsKeepTimeAndExposure)
{
	const uint32_t never = CF_SHARE_ALL + 1;

	for (ba_time d :
	     {8 * BA_SECOND, 12 * BA_SECOND, 30 * BA_SECOND, 10 * BA_MINUTE}) {
		Result r = play(d, BA_NEVER, never, true);

		EXPECT_EQ(r.step, SO_STEP_COMPLETE) << d;
		EXPECT_LT(r.at, d);
		r = play(d, BA_NEVER, never, true, BA_NEVER);
		EXPECT_EQ(r.step, SO_STEP_COMPLETE) << "an instance is cut off";
		EXPECT_LT(r.at, d);
		r = play(d, 0, never, true);
		EXPECT_EQ(r.step, SO_STEP_ROLL_BACK) << "bad at once";
		EXPECT_EQ(r.reason, SO_REASON_FAILS);
		EXPECT_LT(r.at, 3500 * BA_MS);
		r = play(d, d * 2 / 5, never, true);
		EXPECT_EQ(r.step, SO_STEP_ROLL_BACK) << "bad later";
		EXPECT_LT(r.exposed, 0.1);
		r = play(d, BA_NEVER, 300, true);
		EXPECT_EQ(r.step, SO_STEP_ROLL_BACK) << "bad under load";
		EXPECT_LT(r.exposed, 0.1);
		r = play(d, BA_NEVER, never, false);
		EXPECT_EQ(r.step, SO_STEP_ROLL_BACK) << "gets no calls";
		EXPECT_EQ(r.reason, SO_REASON_NO_CALLS);
		EXPECT_LE(r.at, d + BA_SECOND);
	}
}

/*
 * A roll-out of 12 s in its last stage, as its leader knows it.  What was not
 * heard is neither good nor bad; what is heard and good is completed.
 */
TEST(Rollout, StepsRestOnWhatTheLeaderHeard)
{
	static const ba_time s = BA_SECOND;
	static const struct {
		const char *name;
		ba_time elapsed;
		ba_time heard;
		ba_time unheard;
		uint64_t target_calls;
		so_step step;
		so_step_reason reason;
	} cases[] = {
		{"heard since the step", 10 * s, 3 * s, 0, 300,
		 SO_STEP_COMPLETE, SO_REASON_DUE},
		{"just elected", 10 * s, 0, 0, 0, SO_STEP_WAIT,
		 SO_REASON_UNHEARD},
		{"heard for a moment", 10 * s, s / 2, 0, 50, SO_STEP_WAIT,
		 SO_REASON_EARLY},
		{"hears nobody, the time is over", 60 * s, 0, 0, 0,
		 SO_STEP_WAIT, SO_REASON_UNHEARD},
		{"hears the others only", 13 * s, 0, 2 * s, 0, SO_STEP_WAIT,
		 SO_REASON_UNHEARD},
		{"the target is gone", 13 * s, 0, 6 * s, 0, SO_STEP_ROLL_BACK,
		 SO_REASON_UNHEARD},
		{"few calls", 10 * s, 2 * s, 0, 20, SO_STEP_WAIT,
		 SO_REASON_FEW_CALLS},
		{"few calls, little time is left", 11500 * BA_MS, 2 * s, 0, 20,
		 SO_STEP_COMPLETE, SO_REASON_DUE},
		{"no calls at all", 11500 * BA_MS, 2 * s, 0, 0,
		 SO_STEP_COMPLETE, SO_REASON_DUE},
		{"heard after the time is over", 20 * s, 2 * s, 0, 200,
		 SO_STEP_COMPLETE, SO_REASON_DUE},
	};

	for (auto &c : cases) {
		so_step_reason reason;
		so_trial t = {};
		uint32_t share;

		t.duration = 12 * s;
		t.elapsed = c.elapsed;
		t.step_elapsed = 3 * s;
		t.share = CF_SHARE_ALL;
		t.everywhere = true;
		t.target_calls = c.target_calls;
		t.heard = c.heard;
		t.unheard = c.unheard;
		EXPECT_EQ(so_next_step(&t, &share, &reason), c.step) << c.name;
		EXPECT_EQ(reason, c.reason) << c.name;
	}
}

TEST(Rollout, VersionsAreTreatedByState)
{
	static const struct {
		cf_rollout_state state;
		const char *previous;
		const char *barred;
		const char *version;
		cf_cohort expected;
	} cases[] = {
		{CF_ROLLOUT_RUNNING, "", "", "v1", CF_COHORT_KEPT},
		{CF_ROLLOUT_RUNNING, "", "", "", CF_COHORT_KEPT},
		{CF_ROLLOUT_RUNNING, "", "", "v2", CF_COHORT_TARGET},
		{CF_ROLLOUT_RUNNING, "v1", "", "v3", CF_COHORT_BARRED},
		{CF_ROLLOUT_RUNNING, "", "v3", "v3", CF_COHORT_BARRED},
		{CF_ROLLOUT_COMPLETED, "v1", "", "v1", CF_COHORT_BARRED},
		{CF_ROLLOUT_COMPLETED, "v1", "", "v2", CF_COHORT_KEPT},
		{CF_ROLLOUT_ROLLED_BACK, "", "", "v2", CF_COHORT_BARRED},
		{CF_ROLLOUT_ROLLED_BACK, "", "", "v1", CF_COHORT_KEPT},
	};

	EXPECT_EQ(cf_rollout_cohort(nullptr, "v9"), CF_COHORT_KEPT);
	for (auto &c : cases) {
		cf_rollout r = {};

		r.target = "v2";
		r.state = c.state;
		r.previous = c.previous;
		r.barred = c.barred;
		EXPECT_EQ(cf_rollout_cohort(&r, c.version), c.expected)
			<< c.state << c.version;
	}
}

/** A machine that is fed as the leader feeds it. */
struct Machine {
	rp_machine *m = rp_machine_new();
	uint64_t index = 0;

	~Machine()
	{
		rp_machine_free(m);
	}
	cf_snapshot *current() const
	{
		return rp_machine_current(m);
	}
	const cf_rollout *rollout() const
	{
		return cf_rollout_find(current(), "plans");
	}
	int apply(int kind, ba_buf *body)
	{
		rp_applied applied;
		rp_entry *e =
			rp_entry_new(++index, 1, kind, body->data, body->len);

		rp_machine_apply(m, e, &applied);
		g_free(e);
		ba_buf_free(body);
		return applied.code;
	}
	int submit(CtKind kind, const void *text, size_t len, uint64_t base,
		   ba_time wall)
	{
		std::string id = "s" + std::to_string(index);
		CtSubmit s = CT_SUBMIT__INIT;
		ba_buf body = {};

		s.submission_id = &id[0];
		s.kind = kind;
		s.base_version = base;
		s.operator_ = const_cast<char *>("anna");
		s.text.data = (uint8_t *)const_cast<void *>(text);
		s.text.len = len;
		rp_machine_prepare(m, &s, index + 1, wall, &body);
		return apply(RP_ENTRY_KIND__RP_ENTRY_SUBMISSION, &body);
	}
	int configure(const std::string &text, uint64_t base)
	{
		return submit(CT_KIND__CT_KIND_CONFIGURATION, text.data(),
			      text.size(), base, 0);
	}
	int order(const char *service, const char *target, ba_time duration,
		  ba_time wall)
	{
		cf_rollout r = {};
		ba_buf packed = {};
		int code;

		r.service = service;
		r.target = target;
		r.previous = r.barred = "";
		r.duration = duration;
		r.share = SO_ROLLOUT_FIRST_SHARE;
		cf_rollout_encode(&r, &packed);
		code = submit(CT_KIND__CT_KIND_ROLLOUT, packed.data, packed.len,
			      0, wall);
		ba_buf_free(&packed);
		return code;
	}
	void step(uint64_t order, uint32_t from, uint32_t to,
		  cf_rollout_state state, const std::string &kept = "")
	{
		RpRolloutStep s = RP_ROLLOUT_STEP__INIT;
		ba_buf body = {};

		s.service = const_cast<char *>("plans");
		s.order = order;
		s.from_share = from;
		s.share = to;
		s.state = state;
		s.kept.data = (uint8_t *)kept.data();
		s.kept.len = kept.size();
		ba_buf_reserve(&body, rp_rollout_step__get_packed_size(&s));
		body.len = rp_rollout_step__pack(&s, body.data);
		apply(RP_ENTRY_KIND__RP_ENTRY_ROLLOUT, &body);
	}
	void restart()
	{
		ba_buf state = {};

		rp_machine_encode(m, &state);
		rp_machine_free(m);
		ASSERT_EQ(rp_machine_decode(state.data, state.len, index, &m),
			  BA_OK);
		ba_buf_free(&state);
	}
};

const char SERVICES[] = "[[services]]\nname = \"plans\"\ntimeout = \"1s\"\n";
const char MORE_SERVICES[] =
	"[[services]]\nname = \"plans\"\ntimeout = \"2s\"\n"
	"[[services]]\nname = \"visits\"\ntimeout = \"1s\"\n";

TEST(Rollout, OrdersAreAcceptedRepeatedOrRefused)
{
	Machine w;
	uint64_t first;

	EXPECT_EQ(w.order("plans", "v2", BA_SECOND, 0), RP_SERVICE_UNKNOWN);
	ASSERT_EQ(w.configure(SERVICES, 0), BA_OK);
	EXPECT_EQ(w.order("plans", "", BA_SECOND, 0), CF_ENCODING_WRONG);
	EXPECT_EQ(w.order("plans", "v2", 12 * BA_SECOND, BA_SECOND), BA_OK);
	ASSERT_TRUE(w.rollout());
	first = w.rollout()->order;
	EXPECT_EQ(w.rollout()->share, (uint32_t)SO_ROLLOUT_FIRST_SHARE);
	EXPECT_EQ(w.order("plans", "v2", 12 * BA_SECOND, 0), BA_OK);
	EXPECT_EQ(w.rollout()->order, first) << "it was a repetition";
	EXPECT_EQ(w.order("plans", "v3", 12 * BA_SECOND, 0),
		  RP_ROLLOUT_IN_PROGRESS);
	w.step(first + 1, 50, 120, CF_ROLLOUT_RUNNING);
	w.step(first, 120, 350, CF_ROLLOUT_RUNNING);
	EXPECT_EQ(w.rollout()->share, 50U) << "void steps";
	w.step(first, 50, 50, CF_ROLLOUT_ROLLED_BACK);
	EXPECT_EQ(w.order("plans", "v2", 12 * BA_SECOND, 20 * BA_SECOND),
		  BA_OK);
	EXPECT_EQ(w.rollout()->state, CF_ROLLOUT_ROLLED_BACK);
	EXPECT_EQ(w.order("plans", "v2", 12 * BA_SECOND, BA_MINUTE), BA_OK);
	EXPECT_EQ(w.rollout()->state, CF_ROLLOUT_RUNNING) << "a new attempt";
	w.step(w.rollout()->order, 50, 1000, CF_ROLLOUT_COMPLETED);
	EXPECT_EQ(w.order("plans", "v3", 12 * BA_SECOND, BA_HOUR), BA_OK);
	EXPECT_STREQ(w.rollout()->previous, "v2");
}

/* The operators' base is what they have submitted, whatever steps came. */
TEST(Rollout, StateSurvivesSubmissionsAndRestarts)
{
	Machine w;
	uint64_t base;
	uint64_t order;

	ASSERT_EQ(w.configure(SERVICES, 0), BA_OK);
	base = w.current()->version;
	ASSERT_EQ(w.order("plans", "v2", 12 * BA_SECOND, 0), BA_OK);
	order = w.rollout()->order;
	w.step(order, 50, 120, CF_ROLLOUT_RUNNING);
	w.restart();
	ASSERT_TRUE(w.rollout());
	EXPECT_EQ(w.rollout()->share, 120U);
	ASSERT_EQ(w.configure(MORE_SERVICES, base), BA_OK);
	EXPECT_EQ(w.current()->n_services, 2U);
	ASSERT_TRUE(w.rollout());
	EXPECT_EQ(w.rollout()->share, 120U);
	EXPECT_EQ(w.current()->version, w.index);
	EXPECT_EQ(w.configure(SERVICES, base), RP_BASE_STALE);
	EXPECT_EQ(w.configure(SERVICES, w.current()->version + 1),
		  RP_BASE_STALE);
	w.step(order, 120, 350, CF_ROLLOUT_RUNNING);
	EXPECT_EQ(w.configure(SERVICES, w.current()->version), BA_OK);
	EXPECT_EQ(w.rollout()->share, 350U);
	w.restart();
	w.step(order, 350, 1000, CF_ROLLOUT_COMPLETED);
	EXPECT_EQ(w.rollout()->state, CF_ROLLOUT_COMPLETED);
	EXPECT_EQ(w.current()->n_services, 1U);
}

/* A leader judges the target by it once the version in force has no calls. */
TEST(Rollout, WhatIsUsualIsKeptWhileItRuns)
{
	const std::string tallies = "packed RtTallies";
	const ba_buf *kept;
	uint64_t order;
	Machine w;

	ASSERT_EQ(w.configure(SERVICES, 0), BA_OK);
	ASSERT_EQ(w.order("plans", "v2", BA_MINUTE, 0), BA_OK);
	order = w.rollout()->order;
	w.step(order, 50, 1000, CF_ROLLOUT_RUNNING, tallies);
	w.step(order, 50, 100, CF_ROLLOUT_RUNNING, "of a step that is void");
	w.restart();
	kept = rp_machine_rollout_kept(w.m, "plans", order);
	ASSERT_TRUE(kept);
	EXPECT_EQ(std::string((char *)kept->data, kept->len), tallies);
	EXPECT_FALSE(rp_machine_rollout_kept(w.m, "plans", order + 1));
	w.step(order, 1000, 1000, CF_ROLLOUT_COMPLETED, tallies);
	EXPECT_FALSE(rp_machine_rollout_kept(w.m, "plans", order));
}

/* A step passes the other parts on, with the keys that only the log holds. */
TEST(Rollout, StepsKeepTeams)
{
	const std::string text = std::string(SERVICES) +
				 "[[teams]]\nname = \"x\"\nkeys = [\"k-1\"]\n";
	Machine w;

	ASSERT_EQ(w.configure(text, 0), BA_OK);
	ASSERT_EQ(w.order("plans", "v2", BA_SECOND, 0), BA_OK);
	w.step(w.rollout()->order, 50, 100, CF_ROLLOUT_RUNNING);
	w.restart();
	ASSERT_EQ(w.current()->n_teams, 1U);
	ASSERT_TRUE(w.current()->teams[0].key_texts);
	EXPECT_STREQ(w.current()->teams[0].key_texts[0], "k-1");
}

/* Guards against review/13 where a step copies the configuration. */
TEST(Rollout, StepsKeepAnEmptyListOfTeams)
{
	Machine w;

	ASSERT_EQ(w.configure("teams = []\n" + std::string(SERVICES), 0),
		  BA_OK);
	ASSERT_EQ(w.order("plans", "v2", BA_SECOND, 0), BA_OK);
	w.step(w.rollout()->order, 50, 100, CF_ROLLOUT_RUNNING);
	EXPECT_TRUE(w.current()->has_teams);
	w.restart();
	EXPECT_TRUE(w.current()->has_teams);
}

TEST(Rollout, DeltaCarriesIt)
{
	Machine w;
	cf_snapshot *before;
	cf_snapshot *after = nullptr;
	ba_buf delta = {};

	ASSERT_EQ(w.configure(MORE_SERVICES, 0), BA_OK);
	before = cf_snapshot_ref(w.current());
	ASSERT_EQ(w.order("visits", "v2", BA_SECOND, 0), BA_OK);
	ASSERT_EQ(w.order("plans", "v2", BA_SECOND, 0), BA_OK);
	cf_delta_encode(before, w.current(), CF_FORM_DIGESTS, &delta);
	EXPECT_LT(delta.len, 200U);
	ASSERT_EQ(cf_delta_apply(before, delta.data, delta.len, &after), BA_OK);
	EXPECT_EQ(after->n_rollouts, 2U);
	EXPECT_TRUE(cf_rollout_find(after, "plans"));
	cf_snapshot_unref(before);
	cf_snapshot_unref(after);
	ba_buf_free(&delta);
}

/* Counts the calls by version; endpoints "old-*" state v1, "new-*" v2. */
std::map<std::string, int> route(cl_router *router, int n, ba_rand *rand)
{
	std::map<std::string, int> got;

	for (int i = 0; i < n; i++) {
		cl_pick_request q = {};
		cl_route_reason reason;
		cl_endpoint *e;

		q.service = "plans";
		e = cl_route_pick(router, &q, BA_MINUTE, rand, &reason);
		got[e ? std::string(e->instance, 3) : "none"]++;
		if (e)
			cl_route_done(router, e, CL_ATTEMPT_ANSWERED, BA_MS,
				      BA_MINUTE);
	}
	return got;
}

void list(cl_router *router, const std::vector<const char *> &instances)
{
	std::vector<ep_record> records;
	ep_service_view service = {};
	ep_view view = {};

	for (auto *name : instances) {
		ep_record e = {};

		e.instance = const_cast<char *>(name);
		e.data_centre = e.region = const_cast<char *>("here");
		e.address = const_cast<char *>("192.0.2.1:1");
		e.version = const_cast<char *>(*name == 'o' ? "v1" : "v2");
		e.incarnation = 1;
		e.slots = 4;
		records.push_back(e);
	}
	service.service = const_cast<char *>("plans");
	service.records = records.data();
	service.n_records = records.size();
	view.services = &service;
	view.n_services = 1;
	cl_router_update(router, &view, 0);
}

TEST(Rollout, CallsAreSharedByVersion)
{
	static const struct {
		cf_rollout_state state;
		uint32_t share;
		std::vector<const char *> endpoints;
		int least_new; /* of 2,000 calls */
		int most_new;
		int none;
	} cases[] = {
		{CF_ROLLOUT_RUNNING, 0, {"old-1", "new-1"}, 0, 0, 0},
		{CF_ROLLOUT_RUNNING,
		 50,
		 {"old-1", "new-1", "new-2"},
		 60,
		 140,
		 0},
		{CF_ROLLOUT_RUNNING, 350, {"old-1", "new-1"}, 600, 800, 0},
		{CF_ROLLOUT_RUNNING, 1000, {"old-1", "new-1"}, 2000, 2000, 0},
		{CF_ROLLOUT_RUNNING, 1000, {"old-1"}, 0, 0, 0},
		{CF_ROLLOUT_RUNNING, 50, {"new-1"}, 2000, 2000, 0},
		{CF_ROLLOUT_ROLLED_BACK, 50, {"old-1", "new-1"}, 0, 0, 0},
		{CF_ROLLOUT_ROLLED_BACK, 50, {"new-1"}, 0, 0, 2000},
		{CF_ROLLOUT_COMPLETED, 1000, {"old-1", "new-1"}, 2000, 2000, 0},
		{CF_ROLLOUT_COMPLETED, 1000, {"old-1"}, 0, 0, 2000},
	};
	cl_router_options o = {"me", "here", "here", false};

	for (auto &c : cases) {
		cl_router *router = cl_router_new(&o);
		ba_rand rand = {7};
		Machine w;

		ASSERT_EQ(w.configure(SERVICES, 0), BA_OK);
		list(router, {"old-1", "new-1"});
		EXPECT_GT(route(router, 2000, &rand)["new"], 800)
			<< "no roll-out: all versions serve";
		ASSERT_EQ(w.order("plans", "v2", BA_MINUTE, 0), BA_OK);
		w.step(w.rollout()->order, 50, c.share, c.state);
		cl_router_set_rollouts(router, w.current());
		list(router, c.endpoints);
		auto got = route(router, 2000, &rand);
		EXPECT_GE(got["new"], c.least_new) << c.state << c.share;
		EXPECT_LE(got["new"], c.most_new) << c.state << c.share;
		EXPECT_EQ(got["none"], c.none) << c.state << c.share;
		cl_router_free(router);
	}
}

TEST(Tally, SetsAddUp)
{
	rt_tallies *a = rt_tallies_new();
	rt_tallies *b = rt_tallies_new();
	rt_tally_key key = {"plans", "v2", "r1"};
	ba_buf packed = {};

	rt_tallies_get(a, &key)->answered = 3;
	rt_tallies_get(a, &key)->times[rt_tally_bucket(100 * BA_MS)] = 3;
	rt_tallies_get(a, &key)->failed = 2;
	rt_tallies_pack(a, &packed);
	EXPECT_EQ(rt_tallies_count(a), 0U);
	EXPECT_EQ(rt_tallies_add(b, packed.data, packed.len), BA_OK);
	EXPECT_EQ(rt_tallies_add(b, packed.data, packed.len), BA_OK);
	EXPECT_EQ(rt_tally_total(rt_tallies_get(b, &key)), 10U);
	EXPECT_EQ(rt_tallies_get(b, &key)->times[13], 6U);
	EXPECT_EQ(rt_tallies_add(b, "\xff", 1), WI_FRAME_GARBAGE);
	EXPECT_EQ(rt_tally_bucket(0), 0U);
	EXPECT_EQ(rt_tally_bucket(BA_HOUR), RT_TALLY_BUCKETS - 1U);
	rt_tallies_free(a);
	rt_tallies_free(b);
	ba_buf_free(&packed);
}

} // namespace
