#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstring>

#include "distrib/ds_pacing.h"
#include "test/ds_world.h"

namespace
{

using ds_world::broken;
using ds_world::world;

/* Faults at random, then quiet; the checkers watch all the while. */
RC_GTEST_PROP(DsWorld, KeepsThePromisesUnderAnyFaults, (uint16_t seed))
{
	const auto faults = *rc::gen::resize(
		150, rc::gen::container<std::vector<uint32_t>>(
			     rc::gen::inRange<uint32_t>(0, UINT32_MAX)));
	world w(seed, {});

	w.run(BA_SECOND);
	for (uint32_t op : faults)
		w.fault(op);
	w.heal();
	for (const std::string &v : w.violations)
		RC_FAIL(v);
}

/* Each broken variant has to be caught, by the checker meant for it. */
TEST(DsWorld, BrokenVariantsAreCaught)
{
	static const struct {
		const char *name;
		broken rules;
		const char *checker;
	} cases[] = {
		{"takes older versions",
		 {true, false, false, false, false},
		 "No proxy ever moves back"},
		{"skips the question",
		 {false, true, false, false, false},
		 "No proxy ever moves back"},
		{"applies in part",
		 {false, false, true, false, false},
		 "never applied in part"},
		{"forgets acknowledgements",
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
				w.fault((uint32_t)ba_rand_next(&r));
			w.heal();
			for (const std::string &v : w.violations)
				caught |=
					v.find(c.checker) != std::string::npos;
		}
		EXPECT_TRUE(caught) << c.name;
	}
}

} // namespace
