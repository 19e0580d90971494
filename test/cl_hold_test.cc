#include <gtest/gtest.h>

#include "call/cl_hold.h"

namespace
{

TEST(ClHold, LimitOfEachConnection)
{
	static const struct {
		struct cl_hold hold; /* to_proxy, shared, memory_tight */
		size_t want;
	} cases[] = {
		{{false, false, false}, CL_HOLD_BYTES},
		{{false, false, true}, CL_HOLD_BYTES},
		{{false, true, false}, CL_HOLD_SHARED_BYTES},
		{{false, true, true}, CL_HOLD_BYTES},
		{{true, false, false}, 0},
		{{true, true, false}, 0},
	};

	for (const auto &c : cases)
		EXPECT_EQ(cl_hold_limit(&c.hold), c.want)
			<< c.hold.to_proxy << c.hold.shared
			<< c.hold.memory_tight;
}
} // namespace
