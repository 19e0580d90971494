/*
 * Short and long answers over one link, in virtual time.  The kernel is a
 * queue that sends in the order of writing.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "base/ba_rand.h"
#include "http/ht_link.h"

namespace
{

enum { RATE = 1300000, LONG_BYTES = 90000, SHORT_BYTES = 1500, WEIGHT = 16 };

struct kernel {
	ba_time free_at = 0;

	/* When the last of @bytes written at @now is sent. */
	ba_time write(double bytes, ba_time now)
	{
		free_at = std::max(free_at, now) +
			  (ba_time)(bytes / RATE * BA_SECOND);
		return free_at;
	}
};

struct message {
	struct ht_link_user user = {};
	struct ht_link *link = nullptr;
	kernel *k = nullptr;
	size_t sent = 0;
	size_t left = 0;
	ba_time now = 0;
	ba_time ends = 0;
	bool stuck = false;

	message()
	{
		user.may_write = [](struct ht_link_user *u) {
			((message *)u)
				->write(ht_link_next_run(((message *)u)->link));
		};
		ba_list_init(&user.link);
	}

	void write(ba_time at)
	{
		size_t n = ht_link_request(link, &user, sent, left, at);

		now = at;
		if (!n)
			return;
		if (stuck) {
			ht_link_account_write(link, &user, 0, true);
			return;
		}
		sent += n;
		left -= n;
		ends = k->write((double)n, at);
		ht_link_account_write(link, &user, n, false);
		if (!left)
			ht_link_dequeue(link, &user);
	}
};

struct delays {
	ba_time of_short = 0;
	ba_time last_end = 0;
};

/* Long answers at @load times the rate and short ones, for ten seconds. */
delays play(double load, bool shared)
{
	struct ht_link *l = ht_link_new(nullptr, shared ? RATE : 0, WEIGHT, 0);
	std::vector<std::unique_ptr<message>> all;
	struct ba_rand rand = {5};
	ba_time next_long = 0, next_short = 0;
	kernel k;
	delays d;

	for (;;) {
		ba_time now =
			std::min({next_long, next_short, ht_link_next_run(l)});
		bool is_long = now == next_long;

		if (now >= 10 * BA_SECOND)
			break;
		if (now == ht_link_next_run(l)) {
			ht_link_run(l, now);
			continue;
		}
		all.push_back(std::make_unique<message>());
		message *m = all.back().get();

		m->link = l;
		m->k = &k;
		m->left = is_long ? LONG_BYTES : SHORT_BYTES;
		m->write(now);
		if (is_long) {
			next_long += (ba_time)ba_rand_below(
				&rand, (uint64_t)(2 * LONG_BYTES / load / RATE *
						  BA_SECOND));
		} else {
			d.of_short = std::max(d.of_short, m->ends - now);
			next_short += 20 * BA_MS;
		}
	}
	while (ht_link_next_run(l) != BA_NEVER)
		ht_link_run(l, ht_link_next_run(l));
	for (auto &m : all) {
		EXPECT_EQ(m->left, 0U);
		d.last_end = std::max(d.last_end, m->ends);
	}
	ht_link_free(l);
	return d;
}

/* A piece and some short ones are before it, not the answers that wait. */
TEST(HtLink, ShortAnswersDoNotWaitForLongOnes)
{
	for (double load : {0.8, 1.0, 1.3}) {
		EXPECT_LT(play(load, true).of_short, 40 * BA_MS) << load;
		EXPECT_GT(play(load, false).of_short, 200 * BA_MS) << load;
	}
}

/* The rest of the rate is for layers below, which the model has not. */
TEST(HtLink, LongAnswersGetTheWholeRate)
{
	for (double load : {1.0, 1.3})
		EXPECT_LT((double)play(load, true).last_end,
			  1.07 * (double)play(load, false).last_end)
			<< load;
}

/* While the first rank has answers enough to fill the link. */
TEST(HtLink, TheSecondRankHasItsShare)
{
	struct ht_link *l = ht_link_new(nullptr, RATE, WEIGHT, 0);
	kernel k;
	message m[WEIGHT + 2];

	for (int i = 0; i < WEIGHT + 2; i++) {
		m[i].link = l;
		m[i].k = &k;
		m[i].left = LONG_BYTES;
		ht_link_set_rank(l, &m[i].user, i < 2);
		m[i].write(0);
	}
	while (m[WEIGHT + 1].left)
		ht_link_run(l, ht_link_next_run(l));
	EXPECT_LT(m[0].left, (size_t)HT_LINK_PIECE_BYTES);
	EXPECT_GE(m[1].left, (size_t)LONG_BYTES - HT_LINK_PIECE_BYTES);
	while (ht_link_next_run(l) != BA_NEVER)
		ht_link_run(l, ht_link_next_run(l));
	EXPECT_EQ(m[1].left, 0U);
	ht_link_free(l);
}

TEST(HtLink, AReceiverThatTakesNoMoreLetsOthersBy)
{
	struct ht_link *l = ht_link_new(nullptr, RATE, WEIGHT, 0);
	kernel k;
	message stuck, other;

	for (message *m : {&stuck, &other}) {
		m->link = l;
		m->k = &k;
		m->left = LONG_BYTES;
		m->stuck = m == &stuck;
		m->write(0);
	}
	while (ht_link_next_run(l) != BA_NEVER)
		ht_link_run(l, ht_link_next_run(l));
	EXPECT_EQ(other.left, 0U);
	EXPECT_EQ(stuck.left, (size_t)LONG_BYTES);
	stuck.stuck = false;
	stuck.write(BA_SECOND);
	while (ht_link_next_run(l) != BA_NEVER)
		ht_link_run(l, ht_link_next_run(l));
	EXPECT_EQ(stuck.left, 0U);
	ht_link_free(l);
}

} // namespace
