#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstring>

#include "distrib/ds_pacing.h"
#include "distrib/ds_roster.h"
#include "test/ds_world.h"

namespace
{

using ds_world::broken;
using ds_world::world;

/* Random faults, then recovery; the checkers run at every update. */
RC_GTEST_PROP(DsWorld, GuaranteesHoldUnderRandomFaults, (uint16_t seed))
{
	const auto faults = *rc::gen::resize(
		150, rc::gen::container<std::vector<uint32_t>>(
			     rc::gen::inRange<uint32_t>(0, UINT32_MAX)));
	world w(seed, {});

	w.run(BA_SECOND);
	for (uint32_t op : faults)
		w.inject_fault(op);
	w.heal();
	for (const std::string &v : w.violations)
		RC_FAIL(v);
}

/* Each broken variant has to be detected by the checker of its rule. */
TEST(DsWorld, BrokenVariantsAreCaught)
{
	static const struct {
		const char *name;
		broken rules;
		const char *checker;
	} cases[] = {
		{"accepts older versions",
		 {true, false, false, false, false},
		 "No proxy ever moves back"},
		{"skips the question for the floor",
		 {false, true, false, false, false},
		 "No proxy ever moves back"},
		{"applies partially",
		 {false, false, true, false, false},
		 "never applied in part"},
		{"loses acknowledgements",
		 {false, false, false, true, false},
		 "in force on every proxy"},
		{"leaves routes dangling",
		 {false, false, false, false, true},
		 "No route on any proxy"},
	};

	for (const auto &c : cases) {
		bool caught = false;

		for (uint64_t seed = 1; seed <= 400 && !caught; seed++) {
			struct ba_rand r = {seed};
			world w(seed, c.rules);

			w.run(BA_SECOND);
			for (int i = 0; i < 60; i++)
				w.inject_fault((uint32_t)ba_rand_next(&r));
			w.heal();
			for (const std::string &v : w.violations)
				caught |=
					v.find(c.checker) != std::string::npos;
		}
		EXPECT_TRUE(caught) << c.name;
	}
}

/* The failures listed under "What fails" that concern distribution. */
void restart_all(world &w)
{
	for (int i = ds_world::FIRST_RELAY; i < ds_world::N_NODES; i++)
		w.stop(i);
	for (int i = ds_world::FIRST_RELAY; i < ds_world::N_NODES; i++)
		w.start(i);
}

void source_outage(world &w)
{
	for (int i = 0; i < ds_world::FIRST_RELAY; i++)
		w.stop(i);
	w.run(10 * BA_SECOND);
	for (int i = 0; i < ds_world::FIRST_RELAY; i++)
		w.start(i);
	w.elect(1);
}

void updates_during_elections(world &w)
{
	for (int i = 0; i < 20; i++) {
		w.accept_version();
		w.elect(i % ds_world::N_SOURCES);
		w.run(BA_MS);
	}
}

void long_isolation(world &w)
{
	w.isolate_relay(ds_world::FIRST_RELAY);
	for (int i = 0; i < 100; i++) {
		w.accept_version();
		w.run(BA_SECOND);
	}
}

void restart_after_many_versions(world &w)
{
	w.stop(ds_world::DAEMON_WITH_DISK);
	w.stop(ds_world::FIRST_DAEMON);
	w.stop(ds_world::FIRST_RELAY + 1);
	for (int i = 0; i < 300; i++) {
		w.accept_version();
		w.run(2 * BA_MS);
	}
	w.start(ds_world::DAEMON_WITH_DISK);
	w.start(ds_world::FIRST_DAEMON);
	w.start(ds_world::FIRST_RELAY + 1);
}

void silent_connections(world &w)
{
	for (int i = ds_world::FIRST_DAEMON; i < ds_world::N_NODES; i++)
		for (int r = 0; r < ds_world::N_RELAYS; r++)
			w.partition(ds_world::FIRST_RELAY + r, i, r % 2);
	w.accept_version();
	w.run(ds_world::SILENCE_LIMIT);
}

struct failure {
	const char *name;
	void (*inject)(world &w);
};

const failure failures[] = {
	{"SimultaneousRestart", restart_all},
	{"SourceOutage", source_outage},
	{"UpdatesDuringElections", updates_during_elections},
	{"LongIsolation", long_isolation},
	{"RestartAfterManyVersions", restart_after_many_versions},
	{"SilentConnections", silent_connections},
};
constexpr int N_FAILURES = sizeof(failures) / sizeof(failures[0]);

class DsFails : public testing::TestWithParam<std::tuple<int, int>>
{
};

/* One failure alone if both are the same, otherwise one after the other. */
TEST_P(DsFails, NoVersionIsOlderPartialOrLost)
{
	int first = std::get<0>(GetParam());
	int second = std::get<1>(GetParam());

	for (uint64_t seed = 1; seed <= 5; seed++) {
		world w(seed, {});

		w.run(BA_SECOND);
		failures[first].inject(w);
		w.accept_version();
		w.run((ba_time)seed * 400 * BA_MS);
		if (second != first)
			failures[second].inject(w);
		w.accept_version();
		w.heal();
		EXPECT_EQ(w.violations, std::vector<std::string>());
		EXPECT_GT(w.applied, (size_t)ds_world::N_DAEMONS);
	}
}

std::string failure_name(const testing::TestParamInfo<std::tuple<int, int>> &i)
{
	int first = std::get<0>(i.param);
	int second = std::get<1>(i.param);

	if (first == second)
		return failures[first].name;
	return std::string(failures[first].name) + "Then" +
	       failures[second].name;
}

INSTANTIATE_TEST_SUITE_P(WhatFails, DsFails,
			 testing::Combine(testing::Range(0, N_FAILURES),
					  testing::Range(0, N_FAILURES)),
			 failure_name);

TEST(DsPacing, TheWindowFollowsThePolicy)
{
	static const struct {
		uint32_t convergence_weight;
		uint32_t bytes_weight;
		ba_time limit;
		uint64_t budget;
		uint64_t spent;
		ba_time window;
	} cases[] = {
		{1, 0, 6 * BA_SECOND, 0, 0, 0},
		{3, 1, 4 * BA_SECOND, 0, 0, 125 * BA_MS},
		{1, 3, 4 * BA_SECOND, 0, 0, 375 * BA_MS},
		{0, 1, 60 * BA_SECOND, 0, 0, BA_SECOND},
		{1, 1, 4 * BA_SECOND, 24000000, 10, 250 * BA_MS},
		{1, 1, 4 * BA_SECOND, 24000000, 2000000, 2 * BA_SECOND},
	};

	for (const auto &c : cases) {
		struct cf_policy p = {};
		struct ds_budget b = {};

		p.convergence_weight = c.convergence_weight;
		p.bytes_weight = c.bytes_weight;
		p.convergence_limit = c.limit;
		p.cross_region_bytes_per_day = c.budget;
		ds_budget_spend(&b, &p, c.spent, BA_SECOND);
		EXPECT_EQ(ds_pacing_window(&p, &b, BA_SECOND), c.window);
	}
}

/*
 * Sessions that open at once are admitted at the rate of the relay; the others
 * are told when to try again.
 */
TEST(DsAdmission, SimultaneousSessionsAreSpreadOut)
{
	struct ds_admission a = {};
	struct ba_rand r = {1};
	ba_time now = 1000 * BA_SECOND;
	int admitted = 0;
	ba_time longest = 0;

	for (int i = 0; i < 1000; i++) {
		ba_time wait = ds_admission_acquire(&a, &r, now);

		admitted += !wait;
		longest = std::max(longest, wait);
	}
	EXPECT_EQ(admitted, DS_ADMISSION_BURST / DS_ADMISSION_SPACING + 1);
	EXPECT_GT(longest, 0);
	EXPECT_LT(longest, 2 * BA_SECOND);
}

/* Versions published while an update is in flight are sent as one delta. */
TEST(DsPublisher, CoalescesWhileAnUpdateIsInFlight)
{
	struct ds_publisher *p = ds_publisher_new();
	struct ds_actions out = {};
	struct ds_event e = ds_world::event(DS_PUBLISHED);

	e.version = 1;
	ds_publisher_step(p, &e, 0, &out);
	e = ds_world::event(DS_SUBSCRIBED, 7);
	e.version = e.floor = 1;
	ds_publisher_step(p, &e, 0, &out);
	out.n = 0;
	for (uint64_t v = 2; v <= 9; v++) {
		e = ds_world::event(DS_PUBLISHED);
		e.version = v;
		e.digest.bytes[0] = (uint8_t)v;
		ds_publisher_step(p, &e, 0, &out);
	}
	ASSERT_EQ(out.n, 1u);
	EXPECT_EQ(out.list[0].kind, DS_SEND_DELTA);
	out.n = 0;
	e = ds_world::event(DS_ACKED, 7);
	e.version = 2;
	ds_publisher_step(p, &e, 0, &out);
	ASSERT_GE(out.n, 1u);
	EXPECT_EQ(out.list[0].kind, DS_SEND_DELTA);
	EXPECT_EQ(out.list[0].from, 2u);
	ds_actions_free(&out);
	ds_publisher_free(p);
}

/*
 * The first policy arrives after the first configuration; its window has to
 * apply to subscribers that are already paced.
 */
TEST(DsPublisher, AShorterWindowTakesEffectAtOnce)
{
	struct ds_publisher *p = ds_publisher_new();
	struct ds_actions out = {};
	auto publish = [&](uint64_t version, ba_time window, ba_time now) {
		struct ds_event e = ds_world::event(DS_PUBLISHED);

		e.version = version;
		e.window = window;
		ds_publisher_step(p, &e, now, &out);
	};
	auto send_event = [&](enum ds_event_kind kind, uint64_t version) {
		struct ds_event e = ds_world::event(kind, 7);

		e.version = e.floor = version;
		e.remote = true;
		e.is_relay = true;
		ds_publisher_step(p, &e, 0, &out);
	};

	publish(1, BA_SECOND, 0);
	send_event(DS_SUBSCRIBED, 1);
	publish(2, BA_SECOND, 0);
	send_event(DS_ACKED, 2);
	out.n = 0;
	publish(3, 50 * BA_MS, 100 * BA_MS);
	EXPECT_EQ(out.n, 0u);
	EXPECT_EQ(ds_publisher_deadline(p), 150 * BA_MS);
	struct ds_event tick = ds_world::event(DS_TICK);

	ds_publisher_step(p, &tick, 150 * BA_MS, &out);
	EXPECT_EQ(out.n, 1u);
	ds_actions_free(&out);
	ds_publisher_free(p);
}

struct ds_relay relay_at(const std::string &address, const char *data_centre,
			 const char *region)
{
	struct ds_relay r = {};

	EXPECT_EQ(ba_parse_address(address.c_str(), &r.address), BA_OK);
	r.data_centre = data_centre;
	r.region = region;
	return r;
}

/* 24 relays, three in each of 8 data centres of two regions; three seeds. */
struct roster_world {
	std::vector<struct ds_relay> relays;
	std::vector<struct ba_address> seeds;
	const char *const centres[8] = {"a1", "a2", "a3", "a4",
					"b1", "b2", "b3", "b4"};

	roster_world()
	{
		for (int i = 0; i < 24; i++)
			relays.push_back(
				relay_at("10.0.0." + std::to_string(i) + ":7",
					 centres[i / 3], i < 12 ? "a" : "b"));
		for (int i : {0, 4, 20})
			seeds.push_back(relays[i].address);
	}

	struct ds_ranking rank(const std::string &name, int centre,
			       size_t n_relays = 24) const
	{
		struct ds_place self = {name.c_str(), centres[centre],
					centre < 4 ? "a" : "b"};
		struct ds_ranking out = {};

		ds_roster_rank(&self, relays.data(), n_relays, seeds.data(),
			       seeds.size(), &out);
		return out;
	}
};

/* Every daemon goes to its data centre, and no relay gets far more than others. */
TEST(DsRoster, DaemonsSpreadOverTheRelaysOfTheirDataCentre)
{
	roster_world w;
	std::map<std::string, int> sessions;
	int most = 0;

	for (int i = 0; i < 800; i++) {
		struct ds_ranking r = w.rank("d" + std::to_string(i), i % 8);

		ASSERT_EQ(r.n_preferred, 3u);
		EXPECT_EQ(r.n, 24u);
		sessions[r.list[0].text]++;
		for (size_t j = 0; j < 3; j++)
			EXPECT_LT(ds_ranking_find(&r, r.list[j].text), 3u);
	}
	EXPECT_EQ(sessions.size(), 24u);
	for (const auto &[address, n] : sessions)
		most = std::max(most, n);
	EXPECT_LT(most, 1.5 * 800 / 24);
}

/* All daemons of a relay move at once when it falls silent. */
TEST(DsRoster, DaemonsOfOneRelaySpreadOverTheOthers)
{
	roster_world w;
	std::map<std::string, std::map<std::string, int>> moves;

	for (int i = 0; i < 2400; i++) {
		struct ds_ranking r = w.rank("d" + std::to_string(i), i % 8);

		moves[r.list[0].text][r.list[1].text]++;
	}
	EXPECT_EQ(moves.size(), 24u);
	for (const auto &[from, to] : moves) {
		EXPECT_EQ(to.size(), 2u) << from;
		for (const auto &[address, n] : to)
			EXPECT_LT(n, 1.5 * 2400 / 24 / 2) << address;
	}
}

TEST(DsRoster, MovesOnlyForARelayThatIsNew)
{
	roster_world w;
	struct ds_ranking none = {};
	struct ds_ranking empty = w.rank("d", 0, 0);
	struct ds_ranking one = w.rank("d", 0, 1);
	struct ds_ranking all = w.rank("d", 0);
	struct ds_ranking region_only = w.rank("d", 3, 3);
	struct ds_ranking with_centre = w.rank("d", 3);
	const struct {
		const char *name;
		const struct ds_ranking *before, *after;
		const char *current;
		bool moves;
	} cases[] = {
		{"first roster, at a seed of another place", &none, &all,
		 "10.0.0.20:7", true},
		{"first roster, already there", &none, &all, "10.0.0.1:7",
		 false},
		{"no relays known", &none, &empty, "10.0.0.20:7", false},
		{"more relays of the own data centre", &one, &all, "10.0.0.0:7",
		 false},
		{"same relays, which could not be reached", &all, &all,
		 "10.0.0.20:7", false},
		{"first relay of the own data centre", &region_only,
		 &with_centre, "10.0.0.1:7", true},
	};

	for (const auto &c : cases)
		EXPECT_EQ(ds_roster_should_move(c.before, c.after, c.current),
			  c.moves)
			<< c.name;
	EXPECT_EQ(empty.n_preferred, 0u);
	EXPECT_EQ(empty.n, 3u);
}

} // namespace
