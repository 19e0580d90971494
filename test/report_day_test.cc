/*
 * Daily figures: adding them is idempotent and independent of order, and no
 * promise is reported as held without evidence.
 */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstring>
#include <jansson.h>
#include <string>
#include <vector>

#include "base/ba_result.h"
#include "report/rt.h"
#include "report/rt_audit.h"
#include "report/rt_day.h"
#include "wire/rt.pb-c.h"

namespace
{

/* 2026-12-04 12:00:00 UTC, which is 07:00 in Bogota. */
const uint64_t NOON_MS = 1796385600000ULL;

struct counted {
	enum rt_counter id;
	uint64_t value;
};

struct figures {
	std::string instance;
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t from_ms;
	uint64_t to_ms;
	bool final;
	std::vector<counted> counters;
	std::vector<uint32_t> latencies;
};

std::string pack(const std::vector<figures> &list)
{
	RtBatch batch = RT_BATCH__INIT;
	std::vector<RtFigures> messages(list.size());
	std::vector<RtFigures *> pointers;
	std::vector<std::vector<RtCounter>> counters(list.size());
	std::vector<std::vector<RtCounter *>> counter_pointers(list.size());
	std::vector<RtServiceFigures> services(list.size());
	std::vector<RtServiceFigures *> service_pointers(list.size());
	std::vector<std::vector<uint32_t>> index(list.size());
	std::vector<std::vector<uint64_t>> count(list.size());

	for (size_t i = 0; i < list.size(); i++) {
		const figures &f = list[i];
		RtFigures &m = messages[i];

		rt_figures__init(&m);
		m.instance = (char *)f.instance.c_str();
		m.role = (char *)"daemon";
		m.incarnation = f.incarnation;
		m.sequence = f.sequence;
		m.from_wall_ms = f.from_ms;
		m.to_wall_ms = f.to_ms;
		m.final = f.final;
		for (auto &c : f.counters) {
			RtCounter counter = RT_COUNTER__INIT;

			counter.id = c.id;
			counter.value = c.value;
			counters[i].push_back(counter);
		}
		for (auto &c : counters[i])
			counter_pointers[i].push_back(&c);
		m.counters = counter_pointers[i].data();
		m.n_counters = counters[i].size();
		rt_service_figures__init(&services[i]);
		services[i].service = (char *)"plans";
		services[i].answered = f.latencies.size();
		for (auto us : f.latencies) {
			index[i].push_back(rt_hist_bucket(us));
			count[i].push_back(1);
		}
		services[i].latency_index = index[i].data();
		services[i].n_latency_index = index[i].size();
		services[i].latency_count = count[i].data();
		services[i].n_latency_count = count[i].size();
		service_pointers[i] = &services[i];
		m.services = &service_pointers[i];
		m.n_services = 1;
		pointers.push_back(&m);
	}
	batch.figures = pointers.data();
	batch.n_figures = pointers.size();
	std::string out(rt_batch__get_packed_size(&batch), 0);

	rt_batch__pack(&batch, (uint8_t *)out.data());
	return out;
}

struct policy_options {
	const char *zone = "America/Bogota";
	ba_time limit = 6 * BA_SECOND;
	uint64_t bytes = 0;
};

struct cf_snapshot *snapshot(uint64_t version, const policy_options &o = {})
{
	struct cf_snapshot *s = cf_snapshot_empty();

	/* Only what the report uses; freed by cf_snapshot_unref(). */
	s->version = version;
	s->policy.time_zone = o.zone;
	s->policy.convergence_limit = o.limit;
	s->policy.cross_region_bytes_per_day = o.bytes;
	return s;
}

/* Daily figures with accessors for their report. */
class Days
{
public:
	Days(const policy_options &options = {}) : o(options)
	{
		accepted(1, 0);
	}
	~Days()
	{
		rt_days_free(d);
	}
	void accepted(uint64_t version, uint64_t at_ms)
	{
		struct cf_snapshot *s = snapshot(version, o);

		rt_days_add_version(d, s, (ba_time)at_ms * BA_MS);
		release(s);
	}
	int add(const std::vector<figures> &list)
	{
		std::string s = pack(list);

		return rt_days_add_batch(d, s.data(), s.size());
	}
	std::string state() const
	{
		struct ba_buf out = {};

		rt_days_encode(d, &out);
		std::string s((const char *)out.data, out.len);

		ba_buf_free(&out);
		return s;
	}
	json_t *report(uint64_t wall_ms, const char *day = "")
	{
		struct cf_snapshot *s = snapshot(1, o);
		struct ba_buf out = {};
		int code =
			rt_days_json(d, s, day, (ba_time)wall_ms * BA_MS, &out);
		json_t *r = code ? nullptr
				 : json_loadb((const char *)out.data, out.len,
					      0, nullptr);

		ba_buf_free(&out);
		release(s);
		return r;
	}
	std::string promise(int i, uint64_t wall_ms, const char *key = "state")
	{
		json_t *r = report(wall_ms);
		json_t *p = json_array_get(json_object_get(r, "promises"), i);
		json_t *v = json_object_get(p, key);
		std::string s = json_is_string(v)
					? json_string_value(v)
					: std::to_string(json_integer_value(v));

		json_decref(r);
		return s;
	}
	std::string verdict(uint64_t wall_ms)
	{
		json_t *r = report(wall_ms);
		std::string s =
			json_string_value(json_object_get(r, "verdict"));

		json_decref(r);
		return s;
	}

	struct rt_days *d = rt_days_new();

private:
	static void release(struct cf_snapshot *s)
	{
		s->policy.time_zone = nullptr;
		cf_snapshot_unref(s);
	}
	policy_options o;
};

/* Counters of a day on which every promise was checked and none broken. */
std::vector<counted> good()
{
	return {
		{RT_VERSIONS_APPLIED, 1}, {RT_VERSIONS_AUDITED, 1},
		{RT_ANSWERED, 5},	  {RT_ANSWERS_CHECKED, 5},
		{RT_NOT_RUN, 2},	  {RT_NOT_RUN_CHECKED, 2},
		{RT_KEYED_CALLS, 1},	  {RT_KEYED_CHECKED, 1},
		{RT_DRAINS, 1},		  {RT_DRAINS_CHECKED, 1},
		{RT_STOPS_BEGUN, 1},	  {RT_STOPS_ENDED, 1},
	};
}

figures make_figures(const char *instance, uint64_t sequence, uint64_t from_ms,
		     const std::vector<counted> &counters,
		     uint64_t incarnation = 1)
{
	return {instance,	 incarnation, sequence, from_ms,
		from_ms + 10000, false,	      counters, {}};
}

TEST(RtDay, APromiseIsHeldBrokenOrNotKnown)
{
	static const struct {
		int promise;
		enum rt_counter checked;
		enum rt_counter breach;
	} cases[] = {
		{0, RT_VERSIONS_AUDITED, RT_OLDER_APPLIED},
		{1, RT_VERSIONS_AUDITED, RT_ROUTES_DANGLING},
		{2, RT_VERSIONS_AUDITED, RT_PARTIAL_APPLIED},
		{3, RT_ANSWERS_CHECKED, RT_ANSWERS_WRONG},
		{4, RT_NOT_RUN_CHECKED, RT_FALSE_NOT_RUN},
		{5, RT_KEYED_CHECKED, RT_DOUBLE_RUNS},
		{6, RT_DRAINS_CHECKED, RT_WORK_WHILE_DRAINING},
		{7, RT_STOPS_ENDED, RT_CUT_BY_STOP},
	};

	for (auto &c : cases) {
		std::vector<counted> broken = good();
		std::vector<counted> unchecked = good();

		broken.push_back({c.breach, 1});
		unchecked.erase(std::remove_if(unchecked.begin(),
					       unchecked.end(),
					       [&](const counted &x) {
						       return x.id == c.checked;
					       }),
				unchecked.end());
		Days held, breached, skipped, none;

		held.add({make_figures("d1", 1, NOON_MS, good())});
		EXPECT_EQ(held.promise(c.promise, NOON_MS + 11000), "held");
		EXPECT_EQ(held.verdict(NOON_MS + 11000), "held");
		breached.add({make_figures("d1", 1, NOON_MS, broken)});
		EXPECT_EQ(breached.promise(c.promise, NOON_MS + 11000),
			  "broken");
		EXPECT_EQ(breached.verdict(NOON_MS + 11000), "broken");
		skipped.add({make_figures("d1", 1, NOON_MS, unchecked)});
		EXPECT_EQ(skipped.promise(c.promise, NOON_MS + 11000),
			  "not known");
		EXPECT_EQ(skipped.verdict(NOON_MS + 11000), "not known");
		none.add({make_figures("d1", 1, NOON_MS, {})});
		EXPECT_EQ(none.promise(c.promise, NOON_MS + 11000),
			  "not known");
		EXPECT_EQ(none.promise(c.promise, NOON_MS + 11000, "reason"),
			  "no occasion arose");
	}
}

TEST(RtDay, ABreachNamesItsInstanceAndEvent)
{
	Days days;

	days.add({make_figures("d7", 1, NOON_MS, {{RT_DOUBLE_RUNS, 2}})});
	json_t *r = days.report(NOON_MS + 11000);
	json_t *p = json_array_get(json_object_get(r, "promises"), 5);
	json_t *place = json_array_get(json_object_get(p, "places"), 0);

	EXPECT_STREQ(json_string_value(json_object_get(place, "instance")),
		     "d7");
	EXPECT_EQ(json_integer_value(json_object_get(place, "count")), 2);
	EXPECT_GT(json_array_size(json_object_get(p, "events")), 0u);
	json_decref(r);
}

TEST(RtDay, NothingReportedIsNotKnown)
{
	Days days;

	for (int i = 0; i < 8; i++)
		EXPECT_EQ(days.promise(i, NOON_MS), "not known") << i;
	EXPECT_EQ(days.verdict(NOON_MS), "not known");
}

TEST(RtDay, NoPromiseIsHeldIfADaemonIsUnseen)
{
	static const struct {
		const char *what;
		std::vector<figures> list;
		uint64_t wall_ms;
		const char *state;
		uint64_t since_ms;
	} cases[] = {
		{"sent figures recently",
		 {make_figures("d1", 1, NOON_MS, good())},
		 NOON_MS + 39000,
		 "held",
		 0},
		{"silent for 30 s",
		 {make_figures("d1", 1, NOON_MS, good())},
		 NOON_MS + 40000,
		 "not known",
		 NOON_MS + 10000},
		{"long intervals, sent figures recently",
		 {{"d1", 1, 1, NOON_MS, NOON_MS + 300000, false, good(), {}}},
		 NOON_MS + 1199000,
		 "held",
		 0},
		{"long intervals, silent for three of them",
		 {{"d1", 1, 1, NOON_MS, NOON_MS + 300000, false, good(), {}}},
		 NOON_MS + 1200000,
		 "not known",
		 NOON_MS + 300000},
		{"stopped gracefully",
		 {{"d1", 1, 1, NOON_MS, NOON_MS + 10000, true, good(), {}}},
		 NOON_MS + 90000,
		 "held",
		 0},
		{"killed and restarted",
		 {make_figures("d1", 1, NOON_MS, good()),
		  make_figures("d1", 1, NOON_MS + 15000, good(), 2)},
		 NOON_MS + 26000,
		 "not known",
		 NOON_MS + 10000},
		{"stopped gracefully and restarted",
		 {{"d1", 1, 1, NOON_MS, NOON_MS + 10000, true, good(), {}},
		  make_figures("d1", 1, NOON_MS + 15000, good(), 2)},
		 NOON_MS + 26000,
		 "held",
		 0},
		{"figures missing in the middle",
		 {make_figures("d1", 1, NOON_MS, good()),
		  make_figures("d1", 3, NOON_MS + 20000, good())},
		 NOON_MS + 31000,
		 "not known",
		 NOON_MS},
		{"one of two is silent",
		 {make_figures("d1", 1, NOON_MS + 40000, good()),
		  make_figures("d2", 1, NOON_MS, good())},
		 NOON_MS + 51000,
		 "not known",
		 NOON_MS + 10000},
	};

	for (auto &c : cases) {
		Days days;

		days.add(c.list);
		EXPECT_EQ(days.promise(0, c.wall_ms), c.state) << c.what;
		if (c.since_ms) {
			EXPECT_EQ(days.promise(0, c.wall_ms, "since_ms"),
				  std::to_string(c.since_ms))
				<< c.what;
		}
	}
}

TEST(RtDay, DaemonsWithAVersionButNoFiguresAreUnseen)
{
	Days days;

	days.add({make_figures("d1", 1, NOON_MS, good())});
	rt_days_set_in_force(days.d, 1, 2, 0, (ba_time)NOON_MS * BA_MS);
	EXPECT_EQ(days.promise(0, NOON_MS + 11000), "not known");
}

TEST(RtDay, ConvergenceAgainstTheLimit)
{
	static const struct {
		const char *what;
		uint64_t in_force_after_ms; /* 0 for never */
		uint64_t asked_after_ms;
		const char *state;
	} cases[] = {
		{"in time", 5999, 9000, "held"},
		{"late", 6001, 9000, "broken"},
		{"on its way", 0, 5000, "not known"},
		{"overdue", 0, 6001, "broken"},
	};

	for (auto &c : cases) {
		Days days;

		days.add({make_figures("d1", 1, NOON_MS, good())});
		days.accepted(2, NOON_MS);
		if (c.in_force_after_ms)
			rt_days_set_in_force(
				days.d, 2, 1, 0,
				(ba_time)(NOON_MS + c.in_force_after_ms) *
					BA_MS);
		EXPECT_EQ(days.promise(8, NOON_MS + c.asked_after_ms), c.state)
			<< c.what;
	}
}

/*
 * Version 2 is accepted at noon.  Each entry gives, at a time after that, the
 * lowest version in force, the number of reachable daemons and the number of
 * daemons with a lease.
 */
TEST(RtDay, ConvergenceDuringOutages)
{
	struct entry {
		uint64_t after_ms;
		uint64_t version;
		uint32_t daemons;
		uint32_t live;
	};
	static const struct {
		const char *what;
		std::vector<entry> entries;
		uint64_t asked_after_ms;
		const char *state;
	} cases[] = {
		{"not in force on all daemons with a lease",
		 {{100, 2, 8, 14}},
		 200,
		 "not known"},
		{"not late while they are unreachable",
		 {{100, 2, 8, 14}},
		 60000,
		 "not known"},
		{"all of them in time after the outage",
		 {{100, 2, 8, 14}, {60000, 1, 14, 14}, {65999, 2, 14, 14}},
		 70000,
		 "held"},
		{"too slow after the outage",
		 {{100, 2, 8, 14}, {60000, 1, 14, 14}, {66001, 2, 14, 14}},
		 70000,
		 "broken"},
		{"not in force long after the outage",
		 {{100, 2, 8, 14}, {60000, 1, 14, 14}},
		 66001,
		 "broken"},
		{"reachable daemons are late despite the outage",
		 {{100, 1, 8, 14}, {6001, 2, 8, 14}, {7000, 2, 14, 14}},
		 8000,
		 "broken"},
		{"outage found only by the wait for its daemons",
		 {{9000, 2, 8, 14}, {12000, 1, 14, 14}, {12100, 2, 14, 14}},
		 13000,
		 "held"},
		{"outage found to affect more daemons",
		 {{100, 1, 12, 14},
		  {9000, 2, 8, 14},
		  {12000, 1, 14, 14},
		  {12100, 2, 14, 14}},
		 13000,
		 "held"},
		{"a daemon whose lease ended is not waited for",
		 {{100, 2, 13, 14}, {3000, 2, 13, 13}},
		 4000,
		 "held"},
	};

	for (auto &c : cases) {
		Days days;

		days.add({make_figures("d1", 1, NOON_MS - 60000, good())});
		rt_days_set_in_force(days.d, 1, 1, 1,
				     (ba_time)(NOON_MS - 1000) * BA_MS);
		days.accepted(2, NOON_MS);
		for (auto &e : c.entries)
			rt_days_set_in_force(
				days.d, e.version, e.daemons, e.live,
				(ba_time)(NOON_MS + e.after_ms) * BA_MS);
		days.add({make_figures("d1", 2, NOON_MS + 60000, good())});
		json_t *r = days.report(NOON_MS + c.asked_after_ms);
		json_t *list =
			json_object_get(json_object_get(r, "versions"), "list");
		std::string state = json_string_value(
			json_object_get(json_array_get(list, 0), "state"));

		EXPECT_EQ(state == "late"	? "broken"
			  : state == "in force" ? "held"
						: "not known",
			  std::string(c.state))
			<< c.what;
		json_decref(r);
	}
}

TEST(RtDay, SupersededVersionIsInForceWithTheNext)
{
	Days days;

	days.add({make_figures("d1", 1, NOON_MS, good())});
	days.accepted(2, NOON_MS);
	days.accepted(3, NOON_MS + 10);
	rt_days_set_in_force(days.d, 3, 1, 0, (ba_time)(NOON_MS + 200) * BA_MS);
	EXPECT_EQ(days.promise(8, NOON_MS + 9000), "held");
	EXPECT_EQ(days.promise(8, NOON_MS + 9000, "occasions"), "2");
}

TEST(RtDay, DayStartsAtMidnightInTheTimeZoneOfThePolicy)
{
	/* Midnight in Bogota is 05:00 UTC, in Jakarta 17:00 UTC. */
	static const struct {
		const char *zone;
		uint64_t wall_ms;
		const char *day;
	} cases[] = {
		{"America/Bogota", NOON_MS - 7 * 3600000 - 1, "2026-12-03"},
		{"America/Bogota", NOON_MS - 7 * 3600000, "2026-12-04"},
		{"Asia/Jakarta", NOON_MS + 5 * 3600000 - 1, "2026-12-04"},
		{"Asia/Jakarta", NOON_MS + 5 * 3600000, "2026-12-05"},
		{"", NOON_MS + 12 * 3600000 - 1, "2026-12-04"},
		{"No/Such_Zone", NOON_MS + 12 * 3600000, "2026-12-05"},
	};

	for (auto &c : cases) {
		policy_options o;

		o.zone = c.zone;
		Days days(o);

		days.add({make_figures("d1", 1, c.wall_ms, {{RT_CALLS, 3}})});
		json_t *r = days.report(c.wall_ms + 50, c.day);

		ASSERT_NE(r, nullptr) << c.zone;
		json_t *calls = json_object_get(r, "calls");

		EXPECT_EQ(json_integer_value(json_object_get(calls, "calls")),
			  3)
			<< c.zone;
		json_decref(r);
		EXPECT_EQ(days.report(c.wall_ms, "2026-11-01"), nullptr);
		EXPECT_EQ(days.report(c.wall_ms, "nonsense"), nullptr);
	}
}

TEST(RtDay, CrossRegionBytesAgainstTheLimit)
{
	static const struct {
		uint64_t limit;
		uint64_t bytes;
		const char *verdict;
	} cases[] = {
		{0, 1000, "held"},
		{1000, 1000, "held"},
		{999, 1000, "broken"},
	};

	for (auto &c : cases) {
		policy_options o;
		std::vector<counted> counters = good();

		o.bytes = c.limit;
		counters.push_back({RT_CROSS_REGION_BYTES, c.bytes});
		Days days(o);

		days.add({make_figures("d1", 1, NOON_MS, counters)});
		EXPECT_EQ(days.verdict(NOON_MS + 11000), c.verdict) << c.limit;
	}
}

TEST(RtDay, BadBatchesAreRefused)
{
	Days days;
	std::string before = days.state();

	EXPECT_EQ(rt_days_add_batch(days.d, "\xff\xff", 2), CF_ENCODING_WRONG);
	EXPECT_EQ(days.add({make_figures("", 1, NOON_MS, {})}),
		  CF_ENCODING_WRONG);
	EXPECT_EQ(days.add({make_figures("d1", 0, NOON_MS, {})}),
		  CF_ENCODING_WRONG);
	EXPECT_EQ(days.add({make_figures(std::string(200, 'x').c_str(), 1,
					 NOON_MS, {})}),
		  CF_ENCODING_WRONG);
	EXPECT_EQ(days.state(), before);
	EXPECT_EQ(rt_days_decode(days.d, "\xff\xff", 2), CF_ENCODING_WRONG);
	EXPECT_EQ(days.state(), before);
}

TEST(RtDay, NoMoreDaysAreKeptThanTheLimit)
{
	Days days;

	for (int i = 0; i < 30; i++)
		days.add({make_figures("d1", (uint64_t)i + 1,
				       NOON_MS + (uint64_t)i * 86400000,
				       good())});
	json_t *r = days.report(NOON_MS + 29 * 86400000ULL);

	EXPECT_EQ(json_array_size(json_object_get(r, "days")), 7u);
	json_decref(r);
}

std::vector<figures> arbitrary_figures()
{
	std::vector<figures> list;
	int instances = *rc::gen::inRange(1, 4);

	for (int i = 0; i < instances; i++)
		for (uint64_t life = 1; life < 3; life++)
			for (uint64_t s = 1; s < 4; s++) {
				uint64_t from =
					NOON_MS + life * 60000 + s * 10000;
				figures f = make_figures(
					("d" + std::to_string(i)).c_str(), s,
					from, {}, life);

				f.counters.push_back(
					{(enum rt_counter) *
						 rc::gen::inRange(
							 0, (int)RT_COUNTERS),
					 *rc::gen::inRange<uint64_t>(0, 5)});
				f.latencies.push_back(
					*rc::gen::inRange<uint32_t>(0, 90000));
				list.push_back(f);
			}
	return list;
}

RC_GTEST_PROP(RtDay, FiguresAreIdempotentAndCommute, ())
{
	std::vector<figures> list = arbitrary_figures();
	std::vector<figures> shuffled = list;
	Days plain, other;

	/* Some are repeated, all are shuffled and added in separate batches. */
	for (auto &f : list)
		if (*rc::gen::arbitrary<bool>())
			shuffled.push_back(f);
	for (size_t i = shuffled.size() - 1; i > 0; i--)
		std::swap(shuffled[i],
			  shuffled[(size_t)*rc::gen::inRange(0, (int)i + 1)]);
	plain.add(list);
	for (auto &f : shuffled)
		other.add({f});
	RC_ASSERT(plain.state() == other.state());
}

RC_GTEST_PROP(RtDay, DecodedStateContinuesLikeTheOriginal, ())
{
	std::vector<figures> list = arbitrary_figures();
	size_t cut = (size_t)*rc::gen::inRange(0, (int)list.size() + 1);
	Days whole, first, second;
	std::vector<figures> head(list.begin(), list.begin() + (long)cut);
	std::vector<figures> tail(list.begin() + (long)cut, list.end());

	whole.add(list);
	first.add(head);
	std::string state = first.state();

	RC_ASSERT(rt_days_decode(second.d, state.data(), state.size()) ==
		  BA_OK);
	second.add(tail);
	RC_ASSERT(whole.state() == second.state());
}

/* The audit finds an older version, a damaged one and a dangling route. */
TEST(RtAudit, FindsEachFault)
{
	const char text[] = "[[services]]\nname = \"plans\"\n"
			    "max_in_flight = 1\ntimeout = \"1s\"\n"
			    "[[routes]]\nname = \"r\"\npath = \"/p\"\n"
			    "service = \"plans\"\nidempotent = true\n";
	struct cf_snapshot *base = cf_snapshot_empty();
	struct cf_snapshot *s = nullptr;
	struct ba_problems problems = {};
	struct rt_audit audit = {};
	struct rt_audit_finding f;

	ASSERT_EQ(cf_parse_configuration(text, strlen(text), base, 5, &s,
					 &problems),
		  BA_OK);
	f = rt_audit_version(&audit, s);
	EXPECT_EQ(f.older + f.partial + f.dangling, 0u);
	f = rt_audit_version(&audit, base);
	EXPECT_EQ(f.older, 1u);
	s->digest.bytes[0] ^= 1;
	f = rt_audit_version(&audit, s);
	EXPECT_EQ(f.partial, 1u);
	EXPECT_EQ(f.older, 0u);
	s->digest.bytes[0] ^= 1;
	s->routes[0].service = 1;
	f = rt_audit_version(&audit, s);
	EXPECT_EQ(f.dangling, 1u);
	s->routes[0].service = 0;
	ba_problems_free(&problems);
	cf_snapshot_unref(s);
	cf_snapshot_unref(base);
}

} // namespace
