/*
 * Forming the group at the first start of the whole system.
 */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include <glib.h>

#include "source/so_group.h"
#include "test/rp_world.h"

namespace
{

enum {
	INSTANCES = 4,
	RUNS = 40,
	START_SPREAD_MS = 300,
	REGION_DELAY_MS = 60, /* of a message, at most */
};

/* From the last start: probe, votes, first entry, each over a region link. */
const ba_time formed_within = 700 * BA_MS;

struct ba_addresses addresses(std::vector<const char *> texts)
{
	struct ba_addresses all = {};

	for (const char *text : texts) {
		struct ba_address a;

		EXPECT_EQ(ba_parse_address(text, &a), BA_OK);
		all.list = g_renew(struct ba_address, all.list, all.n + 1);
		all.list[all.n++] = a;
	}
	return all;
}

std::string founders_of(const char *folder, const struct ba_addresses *seeds)
{
	struct ba_addresses out = {};
	std::string text;

	EXPECT_EQ(so_group_load_founders(folder, seeds, &out), BA_OK);
	for (size_t i = 0; i < out.n; i++)
		text += std::string(i ? " " : "") + out.list[i].text;
	g_free(out.list);
	return text;
}

/* Guards against other founders after a restart before the group was formed. */
TEST(RpForm, FoundersStayAsStoredAtTheFirstStart)
{
	char parent[] = "/tmp/caraway-founders-XXXXXX";
	struct ba_addresses first =
		addresses({"127.0.0.2:1", "127.0.0.1:1", "127.0.0.2:1"});
	struct ba_addresses other = addresses({"127.0.0.3:1"});

	ASSERT_NE(mkdtemp(parent), nullptr);
	/* The folder is made at the first start. */
	std::string path = std::string(parent) + "/data";
	const char *folder = path.c_str();

	EXPECT_EQ(founders_of(folder, nullptr), "");
	EXPECT_EQ(founders_of(folder, &first), "127.0.0.2:1 127.0.0.1:1");
	EXPECT_EQ(founders_of(folder, &other), "127.0.0.2:1 127.0.0.1:1");
	EXPECT_EQ(founders_of(folder, nullptr), "127.0.0.2:1 127.0.0.1:1");
	unlink((path + "/founders").c_str());
	rmdir(folder);
	rmdir(parent);
	g_free(first.list);
	g_free(other.list);
}

/* Each replica has all instances as peers, as the roster brings them. */
void list(world &w, int i, const std::vector<int> &founders)
{
	replica &r = *w.all[i];

	r.listed = founders;
	r.n_founders = founders.size();
	for (int j = 0; j < w.n; j++)
		if (std::find(founders.begin(), founders.end(), j) ==
		    founders.end())
			r.listed.push_back(j);
}

void stop_all(world &w)
{
	for (int i = 0; i < w.n; i++)
		w.crash(i);
	w.packets = {};
}

/* Starts the instances one after the other, within START_SPREAD_MS. */
void start_all(world &w)
{
	std::vector<std::pair<ba_time, int>> starts;

	for (int i = 0; i < w.n; i++)
		starts.emplace_back(
			w.now + (ba_time)w.below(START_SPREAD_MS) * BA_MS, i);
	std::sort(starts.begin(), starts.end());
	for (const auto &[at, i] : starts) {
		w.run(at);
		w.start(i);
	}
}

std::vector<int> permutation(size_t n, int number)
{
	std::vector<int> p;

	for (int i = 0; i < (int)n; i++)
		p.push_back(i);
	while (number--)
		std::next_permutation(p.begin(), p.end());
	return p;
}

int count_unformed(const world &w)
{
	int n = 0;

	for (int i = 0; i < w.n; i++)
		n += w.up(i) && rp_core_role(w.core(i)) == RP_UNFORMED;
	return n;
}

/*
 * Guards against review/11 and review/12: seeds in another order on each
 * machine led to two leaders, or to none.
 */
TEST(RpForm, SeedsInAnyOrderFormOneGroup)
{
	static const struct {
		int founders, orders;
	} cases[] = {{1, 1}, {2, 2}, {3, 6}};

	for (const auto &t : cases) {
		int all = t.orders * t.orders * t.orders;

		for (int k = 0; k < all; k++) {
			world w((uint64_t)k + 1, INSTANCES, NO_FAULT,
				t.founders, 3);
			const int number[] = {k % t.orders,
					      k / t.orders % t.orders,
					      k / t.orders / t.orders, 0};

			stop_all(w);
			w.delay_max = REGION_DELAY_MS * BA_MS;
			for (int i = 0; i < INSTANCES; i++)
				list(w, i,
				     permutation((size_t)t.founders,
						 number[i]));
			start_all(w);
			w.run(w.now + formed_within);
			ASSERT_GE(w.leader(), 0)
				<< t.founders << " founders, orders " << k;
			w.submit(w.leader(), "first", 0, 1);
			w.run(w.now + BA_SECOND);
			ASSERT_EQ(w.accepted.size(), 1u);
			ASSERT_EQ(count_unformed(w), 0);
			ASSERT_EQ(w.violation, "");
		}
	}
}

TEST(RpForm, WhoIsWaitedForIsNamed)
{
	world w(3, 3, NO_FAULT, 3, 3);

	stop_all(w);
	w.start(1);
	w.run(w.now + BA_SECOND);
	EXPECT_EQ(rp_core_awaited_founder(w.core(1), w.now), 0);
	w.start(0);
	w.run(w.now + BA_SECOND);
	EXPECT_EQ(rp_core_awaited_founder(w.core(0), w.now), 2);
	EXPECT_EQ(rp_core_awaited_founder(w.core(1), w.now), 0);
	w.start(2);
	w.run(w.now + BA_SECOND);
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(rp_core_awaited_founder(w.core(i), w.now),
			  RP_NO_PEER);
}

/* A random set of @n of the instances, in random order. */
std::vector<int> random_founders(world &w, size_t n)
{
	std::vector<int> set = permutation((size_t)w.n, 0);

	for (size_t i = set.size(); i > 1; i--)
		std::swap(set[i - 1], set[w.below(i)]);
	set.resize(n);
	return set;
}

void disturb(world &w)
{
	int i = (int)w.below((uint64_t)w.n);

	switch (w.below(4)) {
	case 0:
		w.crash(i);
		break;
	case 1:
		w.all[i]->store.crash_after = (int)w.below(4);
		break;
	case 2: /* frozen or cut off: what it sends and gets is lost */
		for (int j = 0; j < w.n; j++)
			w.cut[i][j] = w.cut[j][i] = true;
		break;
	default:
		memset(w.cut, 0, sizeof(w.cut));
		w.start(i);
	}
}

/* Crashes, restarts and cuts of founders while they form the group. */
void run_disturbed(world &w, bool other_seeds, size_t n_seeds)
{
	w.delay_max = REGION_DELAY_MS * BA_MS;
	w.lost_percent = (unsigned int)w.below(10);
	start_all(w);
	for (int k = 0; k < 30 && w.violation.empty(); k++) {
		if (w.leader() >= 0)
			w.submit(w.leader(), "id-" + std::to_string(k), 0, k);
		if (other_seeds) {
			int i = (int)w.below((uint64_t)w.n);

			if (!w.up(i))
				list(w, i, random_founders(w, n_seeds));
		}
		disturb(w);
		w.run(w.now + (ba_time)w.below(200) * BA_MS);
	}
	w.heal();
	w.run(w.now + 5 * BA_SECOND);
}

/* Guards against a group founded by one founder without votes. */
RC_GTEST_PROP(RpForm, FounderLostWhileItFormsIsWaitedFor, (uint64_t seed))
{
	struct ba_rand seeds = {seed};

	for (int k = 0; k < RUNS; k++) {
		world w(ba_rand_next(&seeds), INSTANCES, NO_FAULT, 3, 3);

		stop_all(w);
		for (int i = 0; i < w.n; i++)
			list(w, i, permutation(3, (int)w.below(6)));
		run_disturbed(w, false, 3);
		RC_ASSERT(w.violation == "");
		RC_ASSERT(w.leader() >= 0);
	}
}

/*
 * Any two of these sets of founders have one in common, so two groups, or two
 * first versions, are never formed.  Founders who differ may form none.
 */
RC_GTEST_PROP(RpForm, DifferentSeedsNeverFormTwoGroups, (uint64_t seed))
{
	struct ba_rand seeds = {seed};

	for (int k = 0; k < RUNS; k++) {
		world w(ba_rand_next(&seeds), INSTANCES, NO_FAULT, 3, 3);

		stop_all(w);
		for (int i = 0; i < w.n; i++)
			list(w, i, random_founders(w, 3));
		run_disturbed(w, true, 3);
		RC_ASSERT(w.violation == "");
	}
}
} // namespace
