/*
 * Simulates short and long answers over one link, in virtual time.  The kernel
 * is modelled as a queue that sends in the order of writing.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "base/ba_rand.h"
#include "http/ht_link.h"

namespace
{

enum {
	RATE_BYTES_PER_S = 1300000,
	LONG_BYTES = 90000,
	SHORT_BYTES = 1500,
	WEIGHT = 16
};

struct kernel {
	ba_time free_at = 0;

	/* Returns when the last of @bytes, written at @now, is sent. */
	ba_time write(double bytes, ba_time now)
	{
		free_at = std::max(free_at, now) +
			  (ba_time)(bytes / RATE_BYTES_PER_S * BA_SECOND);
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
	ba_time ends_at = 0;
	bool blocked = false;

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
		if (blocked) {
			ht_link_account_write(link, &user, 0, true);
			return;
		}
		sent += n;
		left -= n;
		ends_at = k->write((double)n, at);
		ht_link_account_write(link, &user, n, false);
		ht_link_set_unsent(link, &user, left);
		if (!left)
			ht_link_dequeue(link, &user);
	}
};

struct delays {
	ba_time max_short_delay = 0;
	ba_time last_end = 0;
};

/*
 * Simulates ten seconds of short answers, and of long ones at @load times the
 * rate.  Unless @scheduled, every answer is written at once.
 */
delays simulate(double load, bool scheduled)
{
	struct ht_link *l = ht_link_new(
		nullptr, scheduled ? RATE_BYTES_PER_S : 0, WEIGHT, 0);
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
				&rand,
				(uint64_t)(2 * LONG_BYTES / load /
					   RATE_BYTES_PER_S * BA_SECOND));
		} else {
			d.max_short_delay =
				std::max(d.max_short_delay, m->ends_at - now);
			next_short += 20 * BA_MS;
		}
	}
	while (ht_link_next_run(l) != BA_NEVER)
		ht_link_run(l, ht_link_next_run(l));
	for (auto &m : all) {
		EXPECT_EQ(m->left, 0U);
		d.last_end = std::max(d.last_end, m->ends_at);
	}
	ht_link_free(l);
	return d;
}

/* A short answer waits for a piece and other short ones, not for long ones. */
TEST(HtLink, ShortAnswersDoNotWaitForLongOnes)
{
	for (double load : {0.8, 1.0, 1.3}) {
		EXPECT_LT(simulate(load, true).max_short_delay, 40 * BA_MS)
			<< load;
		EXPECT_GT(simulate(load, false).max_short_delay, 200 * BA_MS)
			<< load;
	}
}

/* The margin is the rate reserved for lower layers, which are not modelled. */
TEST(HtLink, LongAnswersGetTheWholeRate)
{
	for (double load : {1.0, 1.3})
		EXPECT_LT((double)simulate(load, true).last_end,
			  1.07 * (double)simulate(load, false).last_end)
			<< load;
}

/*
 * The first rank has enough answers to fill the link.  While all WEIGHT of them
 * are sent, about one answer of the second rank is.
 */
TEST(HtLink, SecondRankGetsItsShare)
{
	struct ht_link *l = ht_link_new(nullptr, RATE_BYTES_PER_S, WEIGHT, 0);
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

TEST(HtLink, BlockedReceiverDoesNotDelayOthers)
{
	struct ht_link *l = ht_link_new(nullptr, RATE_BYTES_PER_S, WEIGHT, 0);
	kernel k;
	message blocked, other;

	for (message *m : {&blocked, &other}) {
		m->link = l;
		m->k = &k;
		m->left = LONG_BYTES;
		m->blocked = m == &blocked;
		m->write(0);
	}
	while (ht_link_next_run(l) != BA_NEVER)
		ht_link_run(l, ht_link_next_run(l));
	EXPECT_EQ(other.left, 0U);
	EXPECT_EQ(blocked.left, (size_t)LONG_BYTES);
	blocked.blocked = false;
	blocked.write(BA_SECOND);
	while (ht_link_next_run(l) != BA_NEVER)
		ht_link_run(l, ht_link_next_run(l));
	EXPECT_EQ(blocked.left, 0U);
	ht_link_free(l);
}

static message *add(std::vector<std::unique_ptr<message>> &all,
		    struct ht_link *l, kernel *k, size_t bytes,
		    unsigned int rank)
{
	all.push_back(std::make_unique<message>());
	message *m = all.back().get();

	m->link = l;
	m->k = k;
	m->left = bytes;
	ht_link_set_rank(l, &m->user, rank);
	return m;
}

/*
 * An answer that can still be in time is sent by its target, but the receiver
 * leaves before that.
 */
TEST(HtLink, AnswerInTimeIsSentBeforeItsReceiverLeaves)
{
	struct ht_link *l = ht_link_new(nullptr, RATE_BYTES_PER_S, WEIGHT, 0);
	std::vector<std::unique_ptr<message>> all;
	const ba_time leaves_at = 800 * BA_MS;
	kernel k;

	for (int i = 0; i < 20; i++) {
		message *m = add(all, l, &k, LONG_BYTES, 0);

		m->user.deadline = 2900 * BA_MS;
		m->write(0);
	}
	message *leaver = add(all, l, &k, LONG_BYTES, 0);

	leaver->user.deadline = 3 * BA_SECOND;
	leaver->user.expiry = leaves_at;
	leaver->write(0);
	while (ht_link_next_run(l) != BA_NEVER)
		ht_link_run(l, ht_link_next_run(l));
	EXPECT_EQ(leaver->left, 0U);
	EXPECT_LE(leaver->ends_at, leaves_at + HT_LINK_EXPIRY_TAIL);
	ht_link_free(l);
}

/*
 * What is sent for receivers that leave is no reason to send nothing else of
 * the second rank: that rank has its small share in any case.
 */
TEST(HtLink, SecondRankKeepsItsShareAfterAnExpiringAnswer)
{
	ba_time ends_at[2];

	for (bool expires : {false, true}) {
		struct ht_link *l =
			ht_link_new(nullptr, RATE_BYTES_PER_S, WEIGHT, 0);
		std::vector<std::unique_ptr<message>> all;
		kernel k;
		message *late = add(all, l, &k, 2 * LONG_BYTES, 1);
		message *expiring = add(all, l, &k, 4 * LONG_BYTES, expires);

		late->write(0);
		expiring->user.expiry = expires ? 400 * BA_MS : 0;
		expiring->write(0);
		for (int i = 0; i < 200; i++)
			add(all, l, &k, LONG_BYTES, 0)->write(0);
		while (late->left)
			ht_link_run(l, ht_link_next_run(l));
		ends_at[expires] = late->ends_at;
		ht_link_free(l);
	}
	EXPECT_LT(ends_at[1], ends_at[0] + BA_SECOND);
}

} // namespace
