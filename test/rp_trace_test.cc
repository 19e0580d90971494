/*
 * Replay of recorded traces: the events that one replica saw, and the
 * actions that it must take again, byte for byte.  With RP_RECORD=1 in the
 * environment the traces are recorded anew.
 */
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <functional>

#include "test/rp_world.h"

namespace
{

const char *const folder = "test/traces/";

int wait_for_leader(world &w)
{
	for (int i = 0; i < 100 && w.leader() < 0; i++)
		w.run(w.now + 100 * BA_MS);
	return w.leader();
}

void begin_trace(world &w, int i)
{
	w.crash(i);
	w.new_disk(i);
	w.traced = i;
	w.start(i);
}

void lose_the_leader(world &w)
{
	begin_trace(w, 2);
	int l = wait_for_leader(w);

	w.submit(l, "one", 0, 1);
	w.run(w.now + 500 * BA_MS);
	w.crash(l);
	w.run(w.now + 2 * BA_SECOND);
	l = wait_for_leader(w);
	w.submit(l, "two", rp_machine_current(w.machine(l))->version, 2);
	w.submit(l, "one", 0, 1);
	w.run(w.now + 500 * BA_MS);
}

void lose_the_disk(world &w)
{
	int l = wait_for_leader(w);

	for (int i = 1; i < 25; i++) {
		w.submit(l, std::to_string(i),
			 rp_machine_current(w.machine(l))->version, i);
		w.run(w.now + 60 * BA_MS);
	}
	begin_trace(w, (l + 1) % 3);
	w.run(w.now + 2 * BA_SECOND);
}

void cut_the_leader_off(world &w)
{
	begin_trace(w, 0);
	int l = wait_for_leader(w);

	for (int i = 0; i < 3; i++)
		w.cut[i][l] = true;
	w.submit(l, "unknown", 0, 1);
	w.run(w.now + BA_SECOND);
	w.submit(l, "refused", 0, 2);
	w.run(w.now + 2 * BA_SECOND);
	w.heal();
	w.run(w.now + BA_SECOND);
}

/*
 * What each trace must end with: role, term, committed entries, version.
 * Entries 1 and 2 are the members and the first leader's own.
 * leader-lost: 3 is the first submission, 4 the new leader's entry, 5 the
 *	second submission; the first one again adds nothing.
 * disk-lost: 24 submissions from 3 on, the last one valid; 27 takes the
 *	vote of the lost disk away, 28 gives it back.
 * leader-cut-off: 3 reached the others, and is committed by the next
 *	leader's entry 4; the old leader refuses the second submission.
 */
const struct {
	const char *name;
	void (*scenario)(world &w);
	uint64_t seed;
	enum rp_role role;
	uint64_t term, commit, version;
} traces[] = {
	{"leader-lost", lose_the_leader, 9, RP_LEADER, 2, 5, 5},
	{"disk-lost", lose_the_disk, 3, RP_FOLLOWER, 1, 28, 26},
	{"leader-cut-off", cut_the_leader_off, 3, RP_FOLLOWER, 2, 4, 3},
};

std::string from_hex(const std::string &text)
{
	std::string out;

	for (size_t i = 0; i + 1 < text.size(); i += 2)
		out += (char)std::stoi(text.substr(i, 2), nullptr, 16);
	return out;
}

/* Feeds one event of a trace; false for a line that states an action. */
bool feed(world &w, const std::string &line)
{
	std::istringstream in(line);
	std::string kind, text, id;
	uint64_t seed, token, base;
	int i, variant;

	in >> kind;
	if (kind == "start") {
		in >> w.now >> i >> seed >> id;
		w.traced = i;
		w.all[i]->store.disk_id = id;
		w.start(i, seed);
	} else if (kind == "tick") {
		in >> w.now;
		w.trace << line << "\n";
		rp_node_tick(w.all[w.traced]->node, w.now);
	} else if (kind == "receive") {
		in >> w.now >> i >> text;
		w.trace << line << "\n";
		text = from_hex(text);
		rp_node_receive(w.all[w.traced]->node, i, text.data(),
				text.size(), w.now);
	} else if (kind == "submit") {
		in >> w.now >> token >> id >> base >> variant;
		w.tokens = token - 1;
		w.submit(w.traced, id, base, variant);
	} else {
		return false;
	}
	return true;
}

std::string read(const std::string &path)
{
	std::ifstream in(path);
	std::ostringstream out;

	out << in.rdbuf();
	return out.str();
}

void replay(world &w, const std::string &recorded)
{
	std::istringstream lines(recorded);
	std::string line;

	for (int i = 0; i < 3; i++)
		w.crash(i);
	while (std::getline(lines, line))
		feed(w, line);
}

TEST(RpTrace, ReplayTakesTheSameActions)
{
	for (const auto &t : traces) {
		std::string path = std::string(folder) + t.name + ".trace";

		if (getenv("RP_RECORD")) {
			world w(t.seed, 3);

			t.scenario(w);
			std::ofstream(path) << w.trace.str();
		}
		std::string recorded = read(path);
		world w(1, 3);

		replay(w, recorded);
		ASSERT_GE(w.traced, 0) << path;
		EXPECT_EQ(w.trace.str(), recorded) << t.name;
		EXPECT_EQ(rp_core_role(w.core(w.traced)), t.role) << t.name;
		EXPECT_EQ(rp_core_term(w.core(w.traced)), t.term) << t.name;
		EXPECT_EQ(rp_core_commit(w.core(w.traced)), t.commit) << t.name;
		EXPECT_EQ(rp_machine_current(w.machine(w.traced))->version,
			  t.version)
			<< t.name;
	}
}

/* An event that is left out changes what the replica does. */
TEST(RpBroken, ReplayNoticesAMissingEvent)
{
	std::string recorded = read(std::string(folder) + "leader-lost.trace");
	size_t from = recorded.find("\nsubmit ");
	world w(1, 3);

	recorded.erase(from, recorded.find('\n', from + 1) - from);
	replay(w, recorded);
	EXPECT_NE(w.trace.str(), recorded);
}

} // namespace
