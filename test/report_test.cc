#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstring>
#include <string>
#include <thread>
#include <vector>

#include "report/rt.h"
#include "report/rt_figures.h"
#include "wire/rt.pb-c.h"

namespace
{

TEST(RtCounter, EachHasAName)
{
	for (int i = 0; i < RT_COUNTERS; i++) {
		const char *name = rt_counter_name((enum rt_counter)i);

		ASSERT_NE(name, nullptr) << i;
		EXPECT_GT(strlen(name), 0u) << i;
	}
	EXPECT_EQ(rt_counter_name(RT_COUNTERS), nullptr);
}

TEST(SharedRtCounter, ConcurrentAddsAreNotLost)
{
	const int n_threads = 4, n_adds = 5000;
	uint64_t before = rt_counter_value(RT_RETRIED);
	static struct rt_hist h;
	std::vector<std::thread> threads;

	for (int i = 0; i < n_threads; i++)
		threads.emplace_back([] {
			for (int k = 0; k < n_adds; k++) {
				rt_count(RT_RETRIED, 1);
				rt_count_label(RT_CROSS_REGION_BYTES,
					       "a>threads", 2);
				rt_hist_add(&h, k);
			}
		});
	for (auto &t : threads)
		t.join();
	EXPECT_EQ(rt_counter_value(RT_RETRIED) - before,
		  (uint64_t)n_threads * n_adds);
	EXPECT_EQ(rt_hist_total(&h), (uint64_t)n_threads * n_adds);
}

TEST(RtExpose, HasTotalsAndParts)
{
	struct ba_buf out = {};

	rt_count_label(RT_CROSS_REGION_BYTES, "x>y", 7);
	rt_expose(&out);
	std::string text = ba_buf_text(&out);

	EXPECT_NE(
		text.find(
			"caraway_cross_region_bytes_part_total{of=\"x>y\"} 7\n"),
		std::string::npos);
	EXPECT_NE(text.find("# TYPE caraway_calls_total counter\n"),
		  std::string::npos);
	ba_buf_free(&out);
}

TEST(RtHist, BucketEnds)
{
	static const struct {
		ba_time us;
		unsigned int bucket;
		ba_time upper;
	} cases[] = {
		{-5, 0, 0},   {0, 0, 0},	 {15, 15, 15}, {16, 16, 16},
		{31, 31, 31}, {32, 32, 33},	 {33, 32, 33}, {63, 47, 63},
		{64, 48, 67}, {1000, 111, 1023},
	};

	for (auto &c : cases) {
		EXPECT_EQ(rt_hist_bucket(c.us), c.bucket) << c.us;
		EXPECT_EQ(rt_hist_upper(c.bucket), c.upper) << c.us;
	}
}

RC_GTEST_PROP(RtHist, RelativeErrorIsAtMostOneSixteenth, ())
{
	ba_time us = *rc::gen::inRange<ba_time>(0, 30LL * 1000 * 1000 * 1000);
	ba_time upper = rt_hist_upper(rt_hist_bucket(us));

	RC_ASSERT(upper >= us);
	RC_ASSERT((upper - us) * 16 <= us);
}

RC_GTEST_PROP(RtHist, MergeEqualsCountingTogether,
	      (const std::vector<uint32_t> &a, const std::vector<uint32_t> &b))
{
	struct rt_hist x = {}, y = {}, both = {};

	for (auto v : a) {
		rt_hist_add(&x, v);
		rt_hist_add(&both, v);
	}
	for (auto v : b) {
		rt_hist_add(&y, v);
		rt_hist_add(&both, v);
	}
	rt_hist_merge(&x, &y);
	RC_ASSERT(!memcmp(&x, &both, sizeof(x)));
	for (double q : {0.0, 0.5, 0.99, 1.0})
		RC_ASSERT(rt_hist_quantile(&x, q) ==
			  rt_hist_quantile(&both, q));
}

RtFigures *pack(struct rt_figures *f, ba_time wall, bool final = false)
{
	struct ba_buf out = {};

	rt_figures_pack(f, wall, final, &out);
	RtFigures *m = rt_figures__unpack(nullptr, out.len, out.data);

	ba_buf_free(&out);
	return m;
}

uint64_t counter(const RtFigures *m, enum rt_counter id, const char *label)
{
	for (size_t i = 0; i < m->n_counters; i++)
		if (m->counters[i]->id == (uint32_t)id &&
		    !strcmp(m->counters[i]->label, label))
			return m->counters[i]->value;
	return 0;
}

TEST(RtFigures, AreResentUntilAcknowledged)
{
	struct rt_figures *f = rt_figures_new("d1", "daemon", 9, 1 * BA_SECOND);
	RtFigures *m;

	rt_figures_free(nullptr);
	m = pack(f, 2 * BA_SECOND);
	rt_figures__free_unpacked(m, nullptr);
	rt_figures_ack(f, 9, 1);
	rt_count(RT_DRAINS, 2);
	rt_count(RT_CONTROL_BYTES_SENT, 50);
	rt_figures_add_call(f, "plans", RT_OUTCOME_ANSWERED, 1000, 1);
	m = pack(f, 3 * BA_SECOND);
	EXPECT_EQ(m->sequence, 2u);
	EXPECT_EQ(m->from_wall_ms, 2000u);
	EXPECT_EQ(counter(m, RT_DRAINS, ""), 2u);
	EXPECT_EQ(counter(m, RT_CONTROL_BYTES_SENT, "daemon"), 50u);
	rt_figures__free_unpacked(m, nullptr);

	rt_count(RT_DRAINS, 5);
	rt_figures_ack(f, 9, 1);
	rt_figures_ack(f, 8, 2);
	EXPECT_TRUE(rt_figures_has_pending(f));
	m = pack(f, 4 * BA_SECOND);
	EXPECT_EQ(m->sequence, 2u);
	EXPECT_EQ(m->to_wall_ms, 3000u);
	EXPECT_EQ(counter(m, RT_DRAINS, ""), 2u);
	rt_figures__free_unpacked(m, nullptr);

	rt_figures_ack(f, 9, 2);
	EXPECT_FALSE(rt_figures_has_pending(f));
	m = pack(f, 5 * BA_SECOND, true);
	EXPECT_EQ(m->sequence, 3u);
	EXPECT_EQ(m->from_wall_ms, 3000u);
	EXPECT_TRUE(m->final);
	EXPECT_EQ(counter(m, RT_DRAINS, ""), 5u);
	EXPECT_EQ(m->n_services, 0u);
	rt_figures__free_unpacked(m, nullptr);
	rt_figures_free(f);
}

TEST(RtFigures, CallsByServiceAndOutcome)
{
	struct rt_figures *f = rt_figures_new("d1", "daemon", 1, 0);
	uint64_t not_run = rt_counter_value(RT_NOT_RUN);

	rt_figures_add_call(f, "plans", RT_OUTCOME_ANSWERED, 100, 0);
	rt_figures_add_call(f, "plans", RT_OUTCOME_ANSWERED, 100, 2);
	rt_figures_add_call(f, "plans", RT_OUTCOME_SHED, 0, 0);
	rt_figures_add_call(f, "plans", RT_OUTCOME_NOT_RUN, 0, 0);
	rt_figures_add_call(f, "plans", RT_OUTCOME_MAY_HAVE_RUN, 0, 0);
	RtFigures *m = pack(f, BA_SECOND);

	ASSERT_EQ(m->n_services, 1u);
	EXPECT_STREQ(m->services[0]->service, "plans");
	EXPECT_EQ(m->services[0]->answered, 2u);
	EXPECT_EQ(m->services[0]->not_run, 2u);
	EXPECT_EQ(m->services[0]->shed, 1u);
	EXPECT_EQ(m->services[0]->may_have_run, 1u);
	EXPECT_EQ(m->services[0]->retried, 2u);
	ASSERT_EQ(m->services[0]->n_latency_index, 1u);
	EXPECT_EQ(m->services[0]->latency_index[0], rt_hist_bucket(100));
	EXPECT_EQ(m->services[0]->latency_count[0], 2u);
	EXPECT_EQ(rt_counter_value(RT_NOT_RUN) - not_run, 2u);
	rt_figures__free_unpacked(m, nullptr);
	rt_figures_free(f);
}

} // namespace
