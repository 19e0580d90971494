#include <gtest/gtest.h>

#include <string>

#include "base/ba_account.h"
#include "base/ba_chain.h"
#include "base/ba_digest.h"

namespace
{

TEST(BaAccount, RoomBySizeAndUse)
{
	static const struct {
		size_t used, more, total;
		bool room, tight;
	} cases[] = {
		{0, 75000, 75000, true, false},
		{0, 75001, 75001, false, false},
		{56250, 18750, 75000, true, false},
		{56251, 18750, 75000, false, true},
		{75000, 9375, 9375, true, true}, /* small */
		{75000, 9376, 9376, false, true},
		{75000, 1, BA_ACCOUNT_SMALL_BYTES + 1, false, true},
		{90000, 0, 75000, true, true},
	};

	for (const auto &c : cases) {
		struct ba_account *a = ba_account_new(100000);
		struct ba_charge charge = {a, 0};

		ba_charge_set(&charge, c.used);
		EXPECT_EQ(ba_account_has_room(a, c.more, c.total), c.room)
			<< c.used << " " << c.more;
		EXPECT_EQ(ba_account_is_tight(a), c.tight) << c.used;
		ba_charge_set(&charge, 0);
		EXPECT_EQ(a->used, 0u);
		ba_account_unref(a);
	}
}

TEST(BaAccount, WhoHoldsMostAndMovesLeastGoes)
{
	static const struct {
		size_t bytes;
		ba_time quiet;
		size_t other_bytes;
		ba_time other_quiet;
		bool worse;
	} cases[] = {
		{2000000, BA_SECOND, 1000000, BA_SECOND, true},
		{1000000, 3 * BA_SECOND, 2000000, BA_SECOND, true},
		{60000000, BA_SECOND - 1, 20000, BA_SECOND, false}, /* moves */
		{BA_HOLD_MIN_BYTES - 1, BA_HOUR, 20000, BA_SECOND, false},
	};

	for (const auto &c : cases)
		EXPECT_EQ(ba_hold_weight(c.bytes, c.quiet) >
				  ba_hold_weight(c.other_bytes, c.other_quiet),
			  c.worse)
			<< c.bytes;
}

TEST(BaChain, HoldsAndHashesWhatWasAdded)
{
	for (size_t piece : {1, 7, 4096, 32768, 100000}) {
		struct ba_chain chain = {};
		struct ba_chain_pos pos = {};
		std::string all, got;
		const uint8_t *data;
		size_t n;

		for (size_t i = 0; all.size() < 150000; i++) {
			const std::string p(piece, (char)('a' + i % 23));

			ba_chain_add(&chain, p.data(), p.size());
			all += p;
		}
		while ((n = ba_chain_read(&chain, &pos, 5000, &data)))
			got.append((const char *)data, n);
		EXPECT_EQ(got, all) << piece;
		EXPECT_EQ(ba_chain_hash(&chain, 9),
			  ba_hash(all.data(), all.size(), 9));
		EXPECT_LT(chain.alloc, all.size() + 34000) << piece;
		ba_chain_free(&chain);
	}
}

} // namespace
