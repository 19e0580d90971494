#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <memory>
#include <string>
#include <vector>

#include "call/cl_split.h"

namespace
{

using parts = std::vector<struct cl_split_part>;

struct deleter {
	void operator()(struct cl_split *s) const
	{
		cl_split_free(s);
	}
};

std::unique_ptr<struct cl_split, deleter> make(const parts &p, uint64_t seed)
{
	struct ba_rand rand = {seed};

	return std::unique_ptr<struct cl_split, deleter>(
		cl_split_new(p.data(), p.size(), &rand));
}

TEST(ClSplit, FractionsAreShares)
{
	const struct cl_split_part parts[] = {{"a", 0.5}, {"b", 1.5}};
	struct ba_rand rand = {1};
	struct cl_split *s = cl_split_new(parts, 2, &rand);
	int got[2] = {};

	for (int i = 0; i < 400; i++)
		got[cl_split_choose(s)]++;
	EXPECT_NEAR(got[0], 100, 2);
	cl_split_free(s);
}

/* With a random first state, a part of weight 0 was chosen at times. */
TEST(ClSplit, PartOfWeightZeroIsNeverChosen)
{
	static const parts cases[] = {
		{{"a", 0}, {"b", 1}},
		{{"a", 0}, {"b", 1}, {"c", 9}},
		{{"a", 1}, {"b", 0}, {"c", 1000000}},
		{{"a", 0}, {"b", 0}, {"c", 1}},
	};

	for (const auto &p : cases)
		for (uint64_t seed = 1; seed <= 200; seed++) {
			auto s = make(p, seed);

			for (int i = 0; i < 50; i++)
				ASSERT_NE(p[cl_split_choose(s.get())].weight,
					  0u)
					<< seed;
		}
}

TEST(ClSplit, FitsOnlyTheServicesAndWeightsItWasMadeFor)
{
	static const struct {
		const char *name;
		parts p;
		bool fits;
	} cases[] = {
		{"the same", {{"a", 90}, {"b", 10}}, true},
		{"other weights", {{"a", 0}, {"b", 1}}, false},
		{"the same shares on another scale",
		 {{"a", 9}, {"b", 1}},
		 false},
		{"another service", {{"a", 90}, {"c", 10}}, false},
		{"another order", {{"b", 10}, {"a", 90}}, false},
		{"fewer parts", {{"a", 90}}, false},
		{"more parts", {{"a", 90}, {"b", 10}, {"c", 0}}, false},
	};
	auto s = make({{"a", 90}, {"b", 10}}, 1);

	for (const auto &c : cases)
		EXPECT_EQ(cl_split_fits(s.get(), c.p.data(), c.p.size()),
			  c.fits)
			<< c.name;
}

RC_GTEST_PROP(ClSplit, SharesHoldOverAnyRunOfChoices, (uint64_t seed))
{
	struct ba_rand rand = {seed};
	parts p(1 + ba_rand_below(&rand, 6));
	std::vector<double> got(p.size());
	double sum = 0;

	for (auto &part : p) {
		part.service = "a";
		part.weight = (uint32_t)(ba_rand_below(&rand, 4)
						 ? 1 + ba_rand_below(&rand, 100)
						 : 0);
		sum += part.weight;
	}
	RC_PRE(sum > 0);
	auto s = make(p, seed);

	for (int n = 1; n <= 500; n++) {
		got[cl_split_choose(s.get())]++;
		for (size_t i = 0; i < p.size(); i++)
			RC_ASSERT(std::fabs(got[i] - n * p[i].weight / sum) <=
				  2);
	}
}

} // namespace
