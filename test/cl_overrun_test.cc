#include <gtest/gtest.h>

#include "call/cl_overrun.h"

namespace
{

/* The timeout is 1 s; times are in milliseconds after the arrival. */
TEST(ClOverrun, AnswersOfEachCase)
{
	static const struct {
		const char *name;
		int caller; /* deadline, 0 if unknown */
		int began;
		int64_t length;
		uint64_t received;
		int now;
		int want; /* next decision; the same as @now: cut off */
	} cases[] = {
		{"no length, just after the timeout", 6000, 200, -1, 500, 1000,
		 1250},
		{"no length", 6000, 200, -1, 500, 1250, 1250},
		{"no length, caller waits for less", 800, 200, -1, 500, 800,
		 1250},
		{"no length, caller left long ago", 100, 50, -1, 500, 1100,
		 1100},
		{"no length, caller states no deadline", 0, 200, -1, 500, 1250,
		 1250},
		{"whole, ends in time", 6000, 250, 4000, 1000, 1250, 1500},
		{"whole, ends just in time", 6000, 250, 6750, 1000, 1250, 1500},
		{"whole, would end too late", 6000, 250, 6751, 1000, 1250,
		 1250},
		{"length without end", 6000, 250, INT64_MAX, 1000, 1250, 1250},
		{"whole, stands still", 6000, 250, 4000, 1000, 5000, 5000},
		{"whole, almost the last moment", 6000, 250, 4000, 3970, 6900,
		 7000},
		{"whole, the last moment", 6000, 250, 4000, 3999, 7000, 7000},
		{"whole, nothing of it yet", 6000, 1000, 4000, 0, 1250, 1250},
		{"whole, caller states no deadline", 0, 250, 1700, 1000, 1250,
		 1500},
		{"whole, too slow without a deadline", 0, 250, 1800, 1000, 1250,
		 1250},
	};

	for (const auto &c : cases) {
		const struct cl_overrun o = {
			.arrived_at = BA_HOUR,
			.route_deadline = BA_HOUR + BA_SECOND,
			.caller_deadline = c.caller ? BA_HOUR + c.caller * BA_MS
						    : BA_NEVER,
			.began_at = BA_HOUR + c.began * BA_MS,
			.length = c.length,
			.received = c.received,
		};

		EXPECT_EQ((cl_overrun_next(&o, BA_HOUR + c.now * BA_MS) -
			   BA_HOUR) /
				  BA_MS,
			  c.want)
			<< c.name;
	}
}

/* The deadline is at 1 s; times are in milliseconds. */
TEST(ClOverrun, AnswersForAnotherProxy)
{
	static const struct {
		const char *name;
		int64_t length;
		uint64_t received, before;
		int now, want;
	} cases[] = {
		{"at the deadline", -1, 500, 0, 1000, 6000},
		{"no length, that proxy has not ended it", -1, 900, 500, 6000,
		 6000},
		{"whole, moves", 4000, 900, 500, 6000, 11000},
		{"whole, stands still", 4000, 900, 900, 6000, 6000},
		{"whole, stood still for less", 4000, 900, 900, 5999, 10999},
	};

	for (const auto &c : cases) {
		const struct cl_overrun_passed o = {
			.deadline = BA_HOUR + BA_SECOND,
			.length = c.length,
			.received = c.received,
			.received_before = c.before,
		};

		EXPECT_EQ((cl_overrun_next_passed(&o, BA_HOUR + c.now * BA_MS) -
			   BA_HOUR) /
				  BA_MS,
			  c.want)
			<< c.name;
	}
}

} // namespace
