#include <gtest/gtest.h>

#include "call/cl_sizes.h"

namespace
{

/* An estimate was kept by the name of the route when it led elsewhere. */
TEST(ClSizes, RouteThatLeadsToAnotherServiceHasAnotherEstimate)
{
	struct cl_sizes *s = cl_sizes_new();

	for (int i = 0; i < 200; i++)
		cl_sizes_record(s, "r", "large", 100000);
	EXPECT_NEAR(cl_sizes_mean(s, "r", "large"), 100000, 1);
	EXPECT_EQ(cl_sizes_mean(s, "r", "small"), 0);
	for (int i = 0; i < 200; i++)
		cl_sizes_record(s, "r", "small", 500);
	EXPECT_NEAR(cl_sizes_mean(s, "r", "small"), 500, 1);
	EXPECT_NEAR(cl_sizes_mean(s, "r", "large"), 100000, 1);
	EXPECT_EQ(cl_sizes_mean(s, "other", "large"), 0);
	cl_sizes_free(s);
}

TEST(ClSizes, AssumptionHoldsUntilAnAnswerWasMeasured)
{
	struct cl_sizes *s = cl_sizes_new();

	cl_sizes_assume(s, "r", "a", 64000);
	EXPECT_EQ(cl_sizes_mean(s, "r", "a"), 64000);
	EXPECT_EQ(cl_sizes_mean(s, "r", "b"), 0);
	cl_sizes_record(s, "r", "a", 0);
	EXPECT_EQ(cl_sizes_mean(s, "r", "a"), 60000);
	cl_sizes_assume(s, "r", "a", 64000);
	EXPECT_EQ(cl_sizes_mean(s, "r", "a"), 60000);
	cl_sizes_free(s);
}

} // namespace
