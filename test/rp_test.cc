#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>

#include "test/rp_world.h"

namespace
{

enum { RUNS = 10 };

/* Kinds of failures that a run injects. */
enum failure {
	MESSAGE_LOSS = 1,
	CUT_LINKS = 2,
	CRASHES = 4,
	DISK_LOSS = 8,
	FULL_DISKS = 16,
	ALL_FAILURES = 31,
};

void cut_links(world &w)
{
	int a = (int)w.below((uint64_t)w.n);
	int b = (int)w.below((uint64_t)w.n);

	if (w.below(3)) {
		w.cut[a][b] = true;
		return;
	}
	for (int i = 0; i < w.n; i++) {
		w.cut[a][i] = true;
		w.cut[i][a] = w.below(2);
	}
}

void lose_disk(world &w)
{
	int i = (int)w.below((uint64_t)w.n);

	if (!w.repaired())
		return;
	w.crash(i);
	w.new_disk(i);
	w.start(i);
}

void inject_failure(world &w, int kinds)
{
	int i = (int)w.below((uint64_t)w.n);

	switch (w.below(10)) {
	case 0:
	case 1:
		if (kinds & CUT_LINKS)
			cut_links(w);
		break;
	case 2:
	case 3:
		memset(w.cut, 0, sizeof(w.cut));
		break;
	case 4:
		if (kinds & CRASHES)
			w.crash(i);
		break;
	case 5:
		if (w.up(i) && w.below(2))
			rp_node_prepare_stop(w.all[i]->node, w.now);
		else if (kinds & CRASHES)
			w.all[i]->store.crash_after = (int)w.below(6);
		break;
	case 6:
	case 7:
		w.start(i);
		break;
	case 8:
		if (kinds & DISK_LOSS)
			lose_disk(w);
		break;
	default:
		w.all[i]->store.full = (kinds & FULL_DISKS) && w.below(2);
		break;
	}
}

/* Submissions race, repeat ids and have old bases. */
void submit_random(world &w)
{
	int l = w.leader();
	int i = l >= 0 && w.below(4) ? l : (int)w.below((uint64_t)w.n);
	std::string id = "id-" + std::to_string(w.below(w.tokens / 2 + 2));
	uint64_t base = w.up(i) ? rp_machine_current(w.machine(i))->version : 0;

	w.submit(i, id, base, (int)w.below(50));
}

/* State of each replica, to be printed when a check fails. */
std::string describe_state(const world &w)
{
	std::ostringstream out;

	for (int i = 0; i < w.n; i++) {
		const struct rp_core *c = w.core(i);
		const struct rp_members *m = rp_core_members(c);

		out << "\n"
		    << w.names[i] << " " << w.all[i]->store.disk_id << " role "
		    << rp_core_role(c) << " term " << rp_core_term(c)
		    << " last " << rp_log_last(rp_core_log(c)) << " commit "
		    << rp_core_commit(c) << " members";
		for (size_t j = 0; j < m->n; j++)
			out << " " << m->list[j].name << "/"
			    << m->list[j].disk_id
			    << (m->list[j].voting ? "+" : "-");
	}
	return out.str();
}

/* Once the failures have ended, the group must recover and lose nothing. */
void check_recovered(world &w)
{
	w.heal();
	w.run(w.now + 20 * BA_SECOND);
	if (!w.violation.empty())
		return;
	int l = w.leader();

	if (l < 0) {
		w.fail("no leader after the failures" + describe_state(w));
		return;
	}
	std::set<uint64_t> kept;
	const struct rp_version *v;

	for (size_t i = 0; (v = rp_machine_version(w.machine(l), i)); i++)
		kept.insert(v->version);
	for (uint64_t version : w.accepted)
		if (!kept.count(version))
			w.fail("accepted version " + std::to_string(version) +
			       " is lost");
	for (int i = 0; i < w.n; i++)
		if (rp_machine_applied(w.machine(i)) !=
		    rp_machine_applied(w.machine(l)))
			w.fail("a replica did not catch up");
	if (!w.repaired())
		w.fail("a replica did not get its vote back");
}

std::string run_world(uint64_t seed, int n, int kinds, enum fault fault,
		      int founders = 0, size_t voters = 0)
{
	world w(seed, n, fault, founders, voters);

	w.run(w.now + 2 * BA_SECOND);
	w.formed = true;
	if (kinds & MESSAGE_LOSS)
		w.lost_percent = 5;
	for (int i = 0; i < 60 && w.violation.empty(); i++) {
		submit_random(w);
		if (!w.below(1 + seed % 5))
			inject_failure(w, kinds);
		w.run(w.now + (ba_time)w.below(700) * BA_MS);
	}
	if (w.violation.empty())
		check_recovered(w);
	return w.violation;
}

RC_GTEST_PROP(RpGroup, KeepsInvariantsUnderFailures, (uint64_t seed))
{
	struct ba_rand seeds = {seed};

	for (int i = 0; i < RUNS; i++) {
		uint64_t run_seed = ba_rand_next(&seeds);
		std::string violation = run_world(run_seed, i % 4 ? 3 : 5,
						  ALL_FAILURES, NO_FAULT);

		RC_ASSERT(violation == "");
	}
}

/* Four instances tolerate the loss of one, and six the loss of two. */
RC_GTEST_PROP(RpOpenGroup, KeepsInvariantsUnderFailures, (uint64_t seed))
{
	struct ba_rand seeds = {seed};

	for (int i = 0; i < RUNS; i++) {
		uint64_t run_seed = ba_rand_next(&seeds);
		std::string violation =
			i % 3 ? run_world(run_seed, 4, ALL_FAILURES, NO_FAULT,
					  3, 3)
			      : run_world(run_seed, 6, ALL_FAILURES, NO_FAULT,
					  3, 5);

		RC_ASSERT(violation == "");
	}
}

bool contains(const std::string &text, const char *part)
{
	return *part && text.find(part) != std::string::npos;
}

/* Each checker must detect a replica with its fault within 400 runs. */
TEST(RpBroken, EveryCheckerDetectsItsFault)
{
	static const struct {
		enum fault fault;
		int kinds;
		const char *finding;
		const char *or_finding;
	} cases[] = {
		{VOTE_NOT_SAVED, MESSAGE_LOSS | CRASHES, "two leaders in term",
		 ""},
		{SYNC_SKIPPED, CUT_LINKS | CRASHES, "is lost", "differs"},
		{DISK_ID_KEPT, CUT_LINKS | CRASHES | DISK_LOSS, "is lost",
		 "differs"},
		{REPLIES_FORGED, CUT_LINKS, "is lost", "differs"},
		{LEASE_TOO_LONG, CUT_LINKS, "two replicas accept", ""},
		{NEW_ID_ON_RESEND, MESSAGE_LOSS, "two outcomes", ""},
		{LOG_REORDERED, MESSAGE_LOSS, "differs", ""},
	};

	for (const auto &c : cases) {
		std::string found;
		uint64_t seed = 0;
		bool expected = false;

		while (!expected && seed < 400) {
			found = run_world(++seed, 3, c.kinds, c.fault);
			expected = contains(found, c.finding) ||
				   contains(found, c.or_finding);
		}
		EXPECT_TRUE(expected) << c.finding << ", not: " << found;
		std::cout << "seed " << seed << ": " << found << "\n";
	}
}

/* Runs @w until it has a leader that accepts submissions. */
int wait_for_leader(world &w)
{
	for (int i = 0; i < 100 && w.leader() < 0; i++)
		w.run(w.now + 100 * BA_MS);
	return w.leader();
}

uint64_t version(const world &w, int i)
{
	return rp_machine_current(w.machine(i))->version;
}

TEST(RpLease, CutOffLeaderStopsAccepting)
{
	static const struct {
		const char *name;
		bool in, out;
	} cases[] = {
		{"two-way", true, true},
		{"answers lost", true, false},
		{"heartbeats lost", false, true},
	};

	for (const auto &c : cases) {
		world w(3, 3);
		int l = wait_for_leader(w);

		ASSERT_GE(l, 0);
		for (int i = 0; i < 3; i++) {
			w.cut[i][l] = c.in;
			w.cut[l][i] = c.out;
		}
		w.run(w.now + w.times.lease + 2 * w.delay_max);
		w.submit(l, "late", version(w, l), 1);
		EXPECT_EQ(w.replies[w.tokens].first, RP_NO_QUORUM) << c.name;
		w.run(w.now + 5 * BA_SECOND);
		ASSERT_GE(w.leader(), 0) << c.name;
		EXPECT_NE(w.leader(), l) << c.name;
		EXPECT_EQ(w.violation, "") << c.name;
	}
}

TEST(RpLease, StoppingLeaderHandsOver)
{
	world w(21, 3);
	int l = wait_for_leader(w);
	ba_time begun = w.now;

	ASSERT_GE(l, 0);
	rp_node_prepare_stop(w.all[l]->node, w.now);
	EXPECT_NE(rp_core_proposal_error(w.core(l), w.now), BA_OK);
	w.run(w.now + 200 * BA_MS);
	ASSERT_GE(w.leader(), 0);
	EXPECT_NE(w.leader(), l);
	w.run(begun + 10 * BA_SECOND);
	EXPECT_NE(w.leader(), l);
	EXPECT_EQ(w.violation, "");
}

/*
 * All replicas crash at once and start again within 400 ms, as after a loss of
 * power.  The last leader asks for votes as soon as a quorum runs.
 */
TEST(RpLease, LastLeaderReturnsSoonAfterATotalCrash)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		world w(seed, 5);
		int l = wait_for_leader(w);
		std::vector<ba_time> starts;

		ASSERT_GE(l, 0);
		w.run(w.now + BA_SECOND);
		l = w.leader();
		for (int i = 0; i < 10; i++) {
			w.submit(l, "id-" + std::to_string(i), version(w, l),
				 1);
			w.run(w.now + 300 * BA_MS);
		}
		EXPECT_EQ(w.accepted.size(), 10u);
		for (int i = 0; i < 5; i++)
			w.crash(i);
		w.run(w.now + 300 * BA_MS);
		for (int i = 0; i < 5; i++) {
			w.start(i);
			starts.push_back(w.now);
			w.run(w.now + (ba_time)w.below(100) * BA_MS);
		}
		/* A retry, two rounds of votes and one that commits. */
		w.run(std::max(starts[2], starts[(size_t)l]) +
		      2 * w.times.heartbeat + 6 * w.delay_max);
		EXPECT_EQ(w.leader(), l) << seed;
		EXPECT_LE(w.all[(size_t)l]->n_published, 1) << seed;
		w.run(w.now + 5 * BA_SECOND);
		EXPECT_EQ(w.violation, "") << seed;
	}
}

/* The last leader has lost its disk: it says so, and another is elected. */
TEST(RpLease, LeaderThatLostItsDiskIsReplacedSoon)
{
	int soon = 0;

	for (uint64_t seed = 1; seed <= 50; seed++) {
		world w(seed, 5);
		int l = wait_for_leader(w);

		ASSERT_GE(l, 0);
		w.run(w.now + BA_SECOND);
		l = w.leader();
		for (int i = 0; i < 5; i++)
			w.crash(i);
		w.new_disk(l);
		w.run(w.now + 300 * BA_MS);
		for (int i = 0; i < 5; i++)
			w.start(i);
		w.run(w.now + w.times.probe + 3 * w.times.heartbeat +
		      8 * w.delay_max);
		soon += w.leader() >= 0;
		w.run(w.now + 5 * BA_SECOND);
		EXPECT_GE(w.leader(), 0) << seed;
		EXPECT_EQ(w.violation, "") << seed;
	}
	/* Two candidates may split the votes. */
	EXPECT_GT(soon, 40);
}

/*
 * s1 cannot reach the leader and asks for votes; the third replica has just
 * started again.  Returns whether two replicas led at once in one of the runs.
 */
bool restarted_voter_breaks_a_lease(enum fault fault)
{
	for (uint64_t seed = 1; seed <= 100; seed++) {
		world w(seed, 3, fault);
		int l = wait_for_leader(w);

		w.crash(0);
		w.run(w.now + 3 * BA_SECOND);
		w.start(0);
		w.run(w.now + BA_SECOND);
		l = w.leader();
		if (l <= 0)
			continue;
		w.cut[0][l] = w.cut[l][0] = true;
		w.run(w.now + 2 * BA_SECOND);
		for (int i = 0; i < 20; i++) {
			w.crash(3 - l);
			w.start(3 - l);
			w.run(w.now + 300 * BA_MS);
		}
		if (!w.violation.empty())
			return true;
	}
	return false;
}

TEST(RpLease, RestartedVoterHonoursTheLastLeader)
{
	EXPECT_FALSE(restarted_voter_breaks_a_lease(NO_FAULT));
	EXPECT_TRUE(restarted_voter_breaks_a_lease(LEADER_WRONG));
}

TEST(RpRepair, SecondLossRightAfterARepairLosesNothing)
{
	world w(5, 3);
	int l = wait_for_leader(w);

	ASSERT_GE(l, 0);
	w.submit(l, "kept", 0, 1);
	w.run(w.now + BA_SECOND);
	uint64_t kept = version(w, l);
	int first = (l + 1) % 3;
	int second = (l + 2) % 3;

	w.crash(first);
	w.new_disk(first);
	w.start(first);
	EXPECT_FALSE(rp_core_is_voter(w.core(first)));
	while (!w.repaired())
		w.run(w.now + 10 * BA_MS);
	w.crash(second);
	w.new_disk(second);
	w.crash(l);
	w.start(l);
	w.run(w.now + 5 * BA_SECOND);
	ASSERT_GE(w.leader(), 0);
	EXPECT_GT(kept, 0u);
	EXPECT_EQ(version(w, w.leader()), kept);
}

/* Restarts the replicas one at a time, with settings that list @n_listed. */
void restart_with_settings(world &w, int n_listed)
{
	w.n_listed = n_listed;
	for (int i = 0; i < n_listed; i++) {
		w.crash(i);
		w.start(i);
		ASSERT_GE(wait_for_leader(w), 0);
		w.run(w.now + 2 * BA_SECOND);
	}
}

TEST(RpMembers, FollowTheSettingsOneChangeAtATime)
{
	world w(17, 5);
	size_t members;

	for (int i = 0; i < 5; i++) {
		w.crash(i);
		w.new_disk(i);
	}
	w.n_listed = 3;
	for (int i = 0; i < 3; i++)
		w.start(i);
	ASSERT_GE(wait_for_leader(w), 0);
	w.submit(w.leader(), "kept", 0, 1);
	restart_with_settings(w, 5);
	w.run(w.now + 5 * BA_SECOND);
	ASSERT_GE(w.leader(), 0);
	EXPECT_TRUE(w.repaired());
	EXPECT_GT(version(w, 4), 0u);
	w.crash(0);
	w.crash(1);
	w.run(w.now + 5 * BA_SECOND);
	EXPECT_GE(w.leader(), 2);
	restart_with_settings(w, 3);
	w.crash(3);
	w.crash(4);
	w.run(w.now + 5 * BA_SECOND);
	ASSERT_GE(w.leader(), 0);
	members = rp_machine_members(w.machine(w.leader()))->n;
	EXPECT_EQ(members, 3u);
	EXPECT_GT(version(w, w.leader()), 0u);
	EXPECT_EQ(w.violation, "");
}

TEST(RpOpenGroup, NonVoterReplacesALostVoter)
{
	world w(19, 4, NO_FAULT, 3, 3);

	ASSERT_GE(wait_for_leader(w), 0);
	EXPECT_LT(w.leader(), 3);
	w.formed = true;
	w.submit(w.leader(), "kept", 0, 1);
	w.run(w.now + BA_SECOND);
	EXPECT_FALSE(rp_core_is_voter(w.core(3)));
	EXPECT_GT(version(w, 3), 0u);
	w.crash((w.leader() + 1) % 3);
	w.run(w.now + 4 * BA_SECOND);
	EXPECT_TRUE(rp_core_is_voter(w.core(3)));
	EXPECT_TRUE(w.repaired());
	/* The group therefore survives the loss of another voter. */
	w.crash(w.leader());
	w.run(w.now + 4 * BA_SECOND);
	ASSERT_GE(w.leader(), 0);
	EXPECT_GT(version(w, w.leader()), 0u);
	EXPECT_EQ(w.violation, "");
}

TEST(RpOpenGroup, OnlyFoundersFormAGroup)
{
	world w(23, 4, NO_FAULT, 3, 3);

	w.formed = true;
	for (int i = 0; i < 4; i++) {
		w.crash(i);
		w.new_disk(i);
		w.start(i);
	}
	w.run(w.now + 10 * BA_SECOND);
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(rp_core_role(w.core(i)), RP_UNFORMED);
}

/* After a restart the settings list one replica; the log names the others. */
TEST(RpOpenGroup, PeersAreAddedFromTheLog)
{
	world w(29, 4, NO_FAULT, 3, 3);

	ASSERT_GE(wait_for_leader(w), 0);
	w.formed = true;
	w.submit(w.leader(), "kept", 0, 1);
	w.run(w.now + 2 * BA_SECOND);
	for (int i = 0; i < 4; i++)
		w.crash(i);
	w.n_listed = 1;
	w.start(0);
	EXPECT_EQ(rp_core_n_peers(w.core(0)), 3);
}

TEST(RpSubmission, OneOfTwoWithTheSameBaseIsAccepted)
{
	world w(7, 3);
	int l = wait_for_leader(w);

	ASSERT_GE(l, 0);
	w.submit(l, "ana-1", 0, 1);
	w.submit(l, "eva-1", 0, 2);
	w.run(w.now + BA_SECOND);
	EXPECT_EQ(w.final_outcomes["ana-1"].first, (uint32_t)BA_OK);
	EXPECT_EQ(w.final_outcomes["eva-1"].first, (uint32_t)RP_BASE_STALE);
	EXPECT_EQ(w.replies[2].second, w.final_outcomes["ana-1"].second);
}

TEST(RpSubmission, ResendAfterALeaderChangeGetsTheFirstOutcome)
{
	world w(9, 3);
	int l = wait_for_leader(w);

	ASSERT_GE(l, 0);
	w.submit(l, "first", 0, 1);
	w.submit(l, "wrong", 0, 7);
	w.run(w.now + BA_SECOND);
	auto first = w.final_outcomes["first"];
	auto wrong = w.final_outcomes["wrong"];

	w.crash(l);
	l = wait_for_leader(w);
	ASSERT_GE(l, 0);
	w.submit(l, "other", version(w, l), 2);
	w.run(w.now + BA_SECOND);
	EXPECT_EQ(w.final_outcomes["other"].first, (uint32_t)BA_OK);
	w.submit(l, "first", 0, 1);
	w.submit(l, "wrong", version(w, l), 3);
	EXPECT_EQ(w.final_outcomes["first"], first);
	EXPECT_EQ(w.final_outcomes["wrong"], wrong);
	EXPECT_EQ(w.replies[w.tokens].first, wrong.first);
	EXPECT_EQ(w.violation, "");
}

TEST(RpDiskFull, LeaderRefusesAndRecovers)
{
	for (int n : {1, 3}) {
		world w(11, n);
		int l = wait_for_leader(w);

		ASSERT_GE(l, 0);
		w.all[l]->store.full = true;
		w.submit(l, "full", 0, 1);
		EXPECT_EQ(w.replies[w.tokens].first, (uint32_t)BA_DISK_FULL);
		EXPECT_EQ(version(w, l), 0u);
		if (n > 1) {
			w.run(w.now + 5 * BA_SECOND);
			ASSERT_GE(w.leader(), 0);
			EXPECT_NE(w.leader(), l);
		}
		w.all[l]->store.full = false;
		l = wait_for_leader(w);
		w.submit(l, "again", 0, 1);
		w.run(w.now + BA_SECOND);
		EXPECT_EQ(w.final_outcomes["again"].first, (uint32_t)BA_OK);
	}
}

/*
 * Of another operator's installation: the disks were full one after another, for
 * seconds each, and long after the last one had room changes were refused.
 */
TEST(RpDiskFull, DisksInTurnDelayChangesOnlyForSeconds)
{
	const ba_time ack = 4 * BA_SECOND;

	for (int n : {3, 5})
		for (uint64_t seed = 1; seed <= 40; seed++) {
			world w(seed, n);
			ba_time accepted_at = w.now;
			uint64_t newest = 0;
			int variant = 1;
			int l = wait_for_leader(w);

			ASSERT_GE(l, 0);
			/* The last rounds have room everywhere. */
			for (int round = 0; round < n + 6; round++) {
				int full = round < n ? round : -1;

				if (seed % 2 && round < n && w.leader() >= 0)
					full = w.leader();
				if (full >= 0)
					w.all[full]->store.full = true;
				for (int i = 0; i < 10; i++) {
					w.run(w.now + 300 * BA_MS);
					l = w.leader();
					if (l < 0)
						continue;
					if (version(w, l) > newest)
						accepted_at = w.now;
					newest =
						std::max(newest, version(w, l));
					EXPECT_LE(w.now - accepted_at, ack)
						<< seed << " " << round;
					variant += variant % 7 == 6 ? 2 : 1;
					w.submit(
						l,
						"id-" + std::to_string(variant),
						version(w, l), variant);
				}
				if (full >= 0)
					w.all[full]->store.full = false;
			}
			w.run(w.now + BA_SECOND);
			EXPECT_LE(w.now - accepted_at, ack) << seed;
			EXPECT_EQ(w.violation, "") << seed;
			for (int i = 0; i < n; i++)
				EXPECT_GE(version(w, i), newest) << seed;
		}
}

/* A new group with a damaged replica would lose the committed entries. */
TEST(RpDamaged, NoGroupIsFormedWithADamagedReplica)
{
	world w(13, 3);

	for (int i = 0; i < 3; i++)
		w.crash(i);
	for (int i = 0; i < 3; i++) {
		w.new_disk(i);
		w.all[i]->store.damaged = i == 1;
		w.start(i);
	}
	w.run(w.now + 5 * BA_SECOND);
	EXPECT_EQ(w.leader(), -1);
	EXPECT_TRUE(rp_core_is_unrecoverable(w.core(1)));
	EXPECT_FALSE(rp_core_is_unrecoverable(w.core(0)));
}

TEST(RpMachine, EncodingRoundTripKeepsTheState)
{
	world w(15, 1);
	int l = wait_for_leader(w);
	struct ba_buf once = {};
	struct ba_buf twice = {};
	struct rp_machine *back = nullptr;

	for (int i = 1; i < 10; i++)
		w.submit(l, "id-" + std::to_string(i), version(w, l), i);
	rp_machine_encode(w.machine(l), &once);
	ASSERT_EQ(rp_machine_decode(once.data, once.len,
				    rp_machine_applied(w.machine(l)), &back),
		  BA_OK);
	rp_machine_encode(back, &twice);
	EXPECT_EQ(std::string((char *)once.data, once.len),
		  std::string((char *)twice.data, twice.len));
	rp_machine_free(back);
	ba_buf_free(&once);
	ba_buf_free(&twice);
}

RC_GTEST_PROP(RpCodec, GarbageIsRefused, (const std::string &text))
{
	struct rp_received r;

	if (!rp_message_decode(text.data(), text.size(), &r))
		rp_received_free(&r);
}

} // namespace
