#include <gtest/gtest.h>

#include "base/ba_result.h"
#include "call/cl.h"
#include "report/rt.h"

extern "C" {
#include "prog/pr_meter.h"
}

namespace
{

struct wi_peer peer(const char *data_centre, const char *region)
{
	struct wi_peer p = {};

	p.instance = (char *)"peer";
	p.data_centre = (char *)data_centre;
	p.region = (char *)region;
	return p;
}

TEST(RtMeter, BytesBetweenRegionsAreCountedByTheirSender)
{
	struct wi_meter *m = pr_meter_init("d1", "r1");
	struct wi_peer near = peer("d2", "r1");
	struct wi_peer far = peer("d3", "r2");
	uint64_t sent = rt_counter_value(RT_CONTROL_BYTES_SENT);
	uint64_t received = rt_counter_value(RT_CONTROL_BYTES_RECEIVED);
	uint64_t crossed = rt_counter_value(RT_CROSS_REGION_BYTES);

	m->transferred(m, &near, 10, 20);
	m->transferred(m, &far, 100, 200);
	EXPECT_EQ(rt_counter_value(RT_CONTROL_BYTES_SENT), sent + 110);
	EXPECT_EQ(rt_counter_value(RT_CONTROL_BYTES_RECEIVED), received + 220);
	EXPECT_EQ(rt_counter_value(RT_CROSS_REGION_BYTES), crossed + 100);
}

TEST(RtMeter, PartitionsAreSeenOnceAndHealOnce)
{
	static const struct {
		const char *data_centre;
		int code; /* BA_OK opens a session */
		unsigned int seen;
		unsigned int healed;
	} cases[] = {
		{"d2", WI_PEER_CLOSED, 0, 0}, {"d2", WI_PEER_SILENT, 1, 0},
		{"d2", WI_PEER_SILENT, 1, 0}, {"d3", WI_PEER_SILENT, 2, 0},
		{"d2", BA_OK, 2, 1},	      {"d2", BA_OK, 2, 1},
		{"d1", WI_PEER_SILENT, 2, 1}, {"d1", BA_OK, 2, 1},
		{"d3", BA_OK, 2, 2},
	};
	struct wi_meter *m = pr_meter_init("d1", "r1");
	uint64_t seen = rt_counter_value(RT_PARTITIONS);
	uint64_t healed = rt_counter_value(RT_PARTITIONS_HEALED);

	for (const auto &c : cases) {
		struct wi_peer p = peer(c.data_centre, "r2");

		if (c.code)
			m->closed(m, &p, c.code);
		else
			m->opened(m, &p);
		EXPECT_EQ(rt_counter_value(RT_PARTITIONS), seen + c.seen);
		EXPECT_EQ(rt_counter_value(RT_PARTITIONS_HEALED),
			  healed + c.healed);
	}
}

/*
 * The first attempt failed after the backend server had received it, and the
 * second found no endpoint.  Reporting "not run" would be wrong.
 */
TEST(ClOutcome, NotRunIsNotReportedAfterAnAttemptThatMayHaveRun)
{
	static const struct {
		int code;
		bool earlier_ran;
		int reported;
	} cases[] = {
		{CL_NO_ENDPOINT, false, CL_NO_ENDPOINT},
		{CL_NO_ENDPOINT, true, CL_MAY_HAVE_RUN},
		{CL_OVERLOADED, true, CL_MAY_HAVE_RUN},
		{CL_BACKEND_UNREACHABLE, true, CL_MAY_HAVE_RUN},
		{CL_DRAINING, true, CL_MAY_HAVE_RUN},
		{CL_DEADLINE_PASSED, true, CL_DEADLINE_PASSED},
		{CL_ANSWER_BROKEN, true, CL_ANSWER_BROKEN},
		{BA_OK, true, BA_OK},
	};

	for (const auto &c : cases)
		EXPECT_EQ(cl_code_for_caller(c.code, c.earlier_ran), c.reported)
			<< c.code;
}

} // namespace
