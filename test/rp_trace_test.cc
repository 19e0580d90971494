/*
 * Replay of recorded traces: a replica that gets the recorded events must take
 * the recorded actions again, byte for byte.  With RP_RECORD=1 in the
 * environment the traces are recorded again.
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
 * State at the end of each trace: role, term, committed entries, version.
 * Entry 1 has the members, entry 2 starts the term of the first leader.
 * leader-lost: entry 3 is the first submission, 4 starts the term of the new
 *	leader, 5 is the second submission; the first one, sent again, adds
 *	no entry.
 * disk-lost: entries 3 to 26 are 24 submissions, the last one valid; 27 takes
 *	the vote of the lost disk away, 28 gives it back.
 * leader-cut-off: entry 3 reached the other replicas and is committed with
 *	entry 4 of the next leader; the old leader refuses the second
 *	submission.
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
	{"leader-cut-off", cut_the_leader_off, 4, RP_FOLLOWER, 2, 4, 3},
};

std::string from_hex(const std::string &text)
{
	std::string out;

	for (size_t i = 0; i + 1 < text.size(); i += 2)
		out += (char)std::stoi(text.substr(i, 2), nullptr, 16);
	return out;
}

/* Processes one event of a trace; false for a line that records an action. */
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

/* Without one of the events the replica takes other actions. */
TEST(RpBroken, ReplayDetectsAMissingEvent)
{
	std::string recorded = read(std::string(folder) + "leader-lost.trace");
	size_t from = recorded.find("\nsubmit ");
	world w(1, 3);

	recorded.erase(from, recorded.find('\n', from + 1) - from);
	replay(w, recorded);
	EXPECT_NE(w.trace.str(), recorded);
}

} // namespace
