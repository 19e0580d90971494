#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "distrib/ds_dialer.h"

namespace
{

/* As of sessions to relays: see ds_dial_limits. */
const ba_time HANDSHAKE_TIMEOUT = 2 * BA_SECOND;
const ba_time REFUSAL_TIME = BA_MS;
const ba_time OPEN_TIME = 35 * BA_MS;
const ba_time FROZEN_AT = 10 * BA_SECOND;
const ba_time LENGTH = 120 * BA_SECOND;

/*
 * Frozen from FROZEN_AT to @thaws_at, and again each @period if it is not 0:
 * the kernel accepts connections, and nothing is said.
 */
struct relay {
	ba_time thaws_at; /* 0: it does not freeze */
	bool refuses;	  /* from FROZEN_AT on */
	ba_time period;
};

const relay SOUND = {0, false, 0};
const relay FROZEN = {BA_NEVER, false, 0};
const relay GONE = {0, true, 0};

enum variant {
	RIGHT,
	REDIALS,       /* the relay that fell silent is dialled first */
	WAITS,	       /* no time limit of its own for the handshake */
	REDIALS_WAITS, /* both */
	PATIENT,       /* silence is judged as late as it ever is */
	IMPATIENT,     /* as early as it ever is */
};

/* A daemon in virtual time; it was at the first relay for long. */
struct daemon_world {
	std::vector<relay> relays;
	enum variant v;
	struct ds_dialer d;
	ba_time now = 0;
	ba_time lost_at = BA_NEVER; /* the silence was noticed */
	ba_time found_at = BA_NEVER;
	size_t n_silent = 0; /* sessions left for silence */
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
		ba_time since = now - FROZEN_AT;

		if (since > 0 && relays[i].period)
			since %= relays[i].period;
		return relays[i].thaws_at && since >= 0 &&
		       since < relays[i].thaws_at - FROZEN_AT;
	}

	ba_time silence_time() const
	{
		switch (v) {
		case PATIENT:
			return DS_SILENCE_LIMIT;
		case IMPATIENT:
			return DS_SILENCE_FIRST;
		default:
			return ds_dialer_silence_time(&d, now);
		}
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
			    now >= silent_since + silence_time()) {
				lost_at = std::min(lost_at, now);
				n_silent++;
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
	 {{FROZEN_AT + DS_SILENCE_FIRST + 20 * BA_MS, false, 0}, SOUND},
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
	daemon_world w({{FROZEN_AT + 5 * BA_SECOND, false, 0}, SOUND}, 1, RIGHT,
		       3);

	EXPECT_TRUE(w.d.open);
	EXPECT_EQ(w.d.current, 0u);
	EXPECT_EQ(w.dials, (std::vector<size_t>{0, 1, 0}));
}

/*
 * Daemons of a frozen relay had an old configuration for 2.5 s and more.
 * @within: from the freeze to the next session
 */
TEST(DsDialer, FrozenRelayIsLeftWithinItsBound)
{
	static const struct {
		const char *name;
		std::vector<relay> relays;
		ba_time within;
	} frozen[] = {
		{"one of two", {FROZEN, SOUND}, 1200},
		{"one of many", {FROZEN, SOUND, SOUND, SOUND}, 1200},
		{"the next is gone", {FROZEN, GONE, SOUND}, 1200},
		{"the next is frozen", {FROZEN, FROZEN, SOUND}, 2000},
	};

	for (const auto &c : frozen)
		for (uint64_t seed = 1; seed <= 50; seed++) {
			daemon_world w(c.relays, 0, RIGHT, seed);
			daemon_world late(c.relays, 0, PATIENT, seed);

			EXPECT_LE(w.found_at - FROZEN_AT, c.within * BA_MS)
				<< c.name;
			EXPECT_GT(late.found_at - FROZEN_AT, c.within * BA_MS)
				<< c.name;
		}
}

/*
 * Two relays lost the same upstream.  The daemon left the second one, which had
 * another upstream a moment later, and waited for the first one again.
 */
TEST(DsDialer, RelayThatIsStaleForAMomentIsKept)
{
	static const struct {
		ba_time fresh, stale; /* since the session was opened */
		bool is_left;
	} cases[] = {
		{50 * BA_MS, 200 * BA_MS, false},
		{50 * BA_MS, 700 * BA_MS, true},
		{10 * BA_SECOND, 200 * BA_MS, false},
		{10 * BA_SECOND, 700 * BA_MS, true},
		{0, 700 * BA_MS, true},
	};

	for (const auto &c : cases) {
		struct ds_dialer d;
		bool is_left = false;

		ds_dialer_init(&d, 2, 0, 1, 0);
		ds_dialer_dialled(&d, 0);
		ds_dialer_opened(&d, 0);
		if (c.fresh)
			ds_dialer_set_stale(&d, false, c.fresh / 2);
		ds_dialer_set_stale(&d, true, c.fresh);
		for (ba_time now = c.fresh; now < c.fresh + c.stale;
		     now += BA_MS) {
			ds_dialer_set_stale(&d, true, now);
			is_left |= ds_dialer_should_leave(&d, now);
		}
		EXPECT_EQ(is_left, c.is_left) << c.fresh << " " << c.stale;
	}
}

/* Relays that pause again and again are slow, and so is any other of them. */
TEST(DsDialer, RelaysThatPauseOftenKeepTheirSessions)
{
	const relay slow = {FROZEN_AT + 2 * BA_SECOND, false, 4 * BA_SECOND};

	for (uint64_t seed = 1; seed <= 50; seed++) {
		daemon_world w({slow, slow, slow}, 0, RIGHT, seed);
		daemon_world rash({slow, slow, slow}, 0, IMPATIENT, seed);

		EXPECT_LE(w.n_silent, (LENGTH / DS_SILENT_PERIOD + 1) *
					      (size_t)DS_SILENT_MAX);
		EXPECT_GT(rash.n_silent, 2 * w.n_silent);
	}
}

/* A heartbeat that comes after a pause of less than 300 ms is in time. */
TEST(DsDialer, ShortPausesAreNoSilence)
{
	struct ds_dialer d;

	ds_dialer_init(&d, 2, 0, 1, 0);
	EXPECT_GT(ds_dialer_silence_time(&d, 0),
		  DS_HEARTBEAT_INTERVAL + 300 * BA_MS);
	ds_dialer_init(&d, 1, 0, 1, 0);
	EXPECT_EQ(ds_dialer_silence_time(&d, 0), DS_SILENCE_LIMIT);
}

} // namespace
