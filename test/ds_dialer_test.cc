#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "distrib/ds_dialer.h"

namespace
{

/* As of sessions to relays: see ds_session_limits. */
const ba_time SILENCE_TIMEOUT = 2500 * BA_MS;
const ba_time HANDSHAKE_TIMEOUT = 2 * BA_SECOND;
const ba_time REFUSAL_TIME = BA_MS;
const ba_time OPEN_TIME = 35 * BA_MS;
const ba_time FROZEN_AT = 10 * BA_SECOND;
const ba_time LENGTH = 120 * BA_SECOND;

/*
 * Frozen from FROZEN_AT to @thaws_at: the kernel accepts connections, and
 * nothing is said.
 */
struct relay {
	ba_time thaws_at; /* 0: it does not freeze */
	bool refuses;	  /* from FROZEN_AT on */
};

const relay SOUND = {0, false};
const relay FROZEN = {BA_NEVER, false};
const relay GONE = {0, true};

enum variant {
	RIGHT,
	REDIALS,      /* the relay that fell silent is dialled first */
	WAITS,	      /* no time limit of its own for the handshake */
	REDIALS_WAITS /* both */
};

/* A daemon in virtual time; it was at the first relay for long. */
struct daemon_world {
	std::vector<relay> relays;
	enum variant v;
	struct ds_dialer d;
	ba_time now = 0;
	ba_time lost_at = BA_NEVER; /* the silence was noticed */
	ba_time found_at = BA_NEVER;
	std::vector<size_t> dials;

	daemon_world(const std::vector<relay> &r, size_t n_preferred,
		     enum variant v, uint64_t seed)
	    : relays(r), v(v)
	{
		ds_dialer_init(&d, r.size(), n_preferred, seed, now);
		run();
	}

	bool is_frozen(size_t i) const
	{
		return relays[i].thaws_at && now >= FROZEN_AT &&
		       now < relays[i].thaws_at;
	}

	void dial()
	{
		size_t i = d.current;

		ds_dialer_dialled(&d, now);
		dials.push_back(i);
		if (relays[i].refuses && now >= FROZEN_AT) {
			now += REFUSAL_TIME;
			close(false);
			return;
		}
		for (ba_time end = now + HANDSHAKE_TIMEOUT; now < end;
		     now += BA_MS) {
			bool may_give_up = v != WAITS && v != REDIALS_WAITS;

			if (!is_frozen(i)) {
				now += OPEN_TIME;
				ds_dialer_opened(&d, now);
				return;
			}
			if (may_give_up && ds_dialer_should_give_up(&d, now))
				break;
		}
		close(true);
	}

	void close(bool silent)
	{
		bool redials = v == REDIALS || v == REDIALS_WAITS;

		ds_dialer_closed(&d, silent && !redials, 0, now);
	}

	void run()
	{
		ba_time silent_since = BA_NEVER;

		for (; now < LENGTH; now += BA_MS) {
			if (!d.open) {
				if (now >= d.dial_deadline)
					dial();
				if (d.open && lost_at != BA_NEVER)
					found_at = std::min(found_at, now);
				silent_since = BA_NEVER;
				continue;
			}
			if (!is_frozen(d.current) &&
			    !(relays[d.current].refuses && now >= FROZEN_AT)) {
				silent_since = BA_NEVER;
			} else if (silent_since == BA_NEVER) {
				silent_since = now;
			}
			if (silent_since != BA_NEVER &&
			    now >= silent_since + SILENCE_TIMEOUT) {
				lost_at = std::min(lost_at, now);
				close(true);
			} else if (ds_dialer_should_fail_back(&d, now)) {
				close(false);
			}
		}
	}
};

/*
 * A daemon dialled the frozen relay that it had just left, and waited for it.
 * @within: from the end of the session to the next
 */
const struct {
	const char *name;
	std::vector<relay> relays;
	size_t n_preferred;
	ba_time within;
} cases[] = {
	{"the only one of the data centre", {FROZEN, SOUND, SOUND}, 1, 100},
	{"one of two", {FROZEN, SOUND, SOUND}, 2, 100},
	{"both of the data centre", {FROZEN, FROZEN, SOUND, SOUND}, 2, 700},
	{"both, and the next is gone", {FROZEN, FROZEN, GONE, SOUND}, 2, 800},
	{"three in a row", {FROZEN, FROZEN, FROZEN, SOUND}, 3, 1300},
	{"without a preference", {FROZEN, SOUND, SOUND}, 0, 100},
	{"it thaws when it is left",
	 {{FROZEN_AT + SILENCE_TIMEOUT + 20 * BA_MS, false}, SOUND},
	 1,
	 100},
};

ba_time longest_search(size_t i, enum variant v)
{
	ba_time longest = 0;

	for (uint64_t seed = 1; seed <= 50; seed++) {
		daemon_world w(cases[i].relays, cases[i].n_preferred, v, seed);

		if (w.found_at == BA_NEVER)
			return BA_NEVER;
		longest = std::max(longest, w.found_at - w.lost_at);
	}
	return longest;
}

TEST(DsDialer, SilentRelayIsLeftAtOnce)
{
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		EXPECT_LE(longest_search(i, RIGHT), cases[i].within * BA_MS)
			<< cases[i].name;
}

TEST(DsDialer, WrongVariantsWaitForTheSilentRelay)
{
	EXPECT_GT(longest_search(0, REDIALS), cases[0].within * BA_MS);
	EXPECT_GT(longest_search(2, WAITS), cases[2].within * BA_MS);
	EXPECT_GT(longest_search(0, REDIALS_WAITS), 2 * BA_SECOND);
}

/* A relay that is only slow must not be given up for ever. */
TEST(DsDialer, TimeForTheHandshakeGrows)
{
	struct ds_dialer d;
	ba_time now = 0, last = 0;

	ds_dialer_init(&d, 2, 1, 1, now);
	for (int i = 0; i < 12; i++) {
		ba_time begin = now = d.dial_deadline;

		ds_dialer_dialled(&d, now);
		EXPECT_FALSE(ds_dialer_should_give_up(&d, now));
		now = ds_dialer_deadline(&d);
		EXPECT_TRUE(ds_dialer_should_give_up(&d, now));
		EXPECT_GE(now - begin, last);
		last = now - begin;
		ds_dialer_closed(&d, true, 0, now);
		EXPECT_FALSE(ds_dialer_should_give_up(&d, now));
	}
	EXPECT_EQ(last, DS_SETUP_TIME_LIMIT);
}

TEST(DsDialer, OnlyAddressIsNotGivenUp)
{
	struct ds_dialer d;

	ds_dialer_init(&d, 1, 1, 1, 0);
	ds_dialer_dialled(&d, 0);
	EXPECT_EQ(ds_dialer_deadline(&d), BA_NEVER);
}

/* It goes back when the relay is well again, and the delay is over. */
TEST(DsDialer, PreferredRelayIsUsedAgain)
{
	daemon_world w({{FROZEN_AT + 5 * BA_SECOND, false}, SOUND}, 1, RIGHT,
		       3);

	EXPECT_TRUE(w.d.open);
	EXPECT_EQ(w.d.current, 0u);
	EXPECT_EQ(w.dials, (std::vector<size_t>{0, 1, 0}));
}

} // namespace
