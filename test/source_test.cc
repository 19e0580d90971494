#include <gtest/gtest.h>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "base/ba_result.h"
#include "test/net.h"

extern "C" {
#include "source/so.h"
}

namespace
{

/* The replicas of one group on one loop, each with its own data folder. */
struct group {
	struct replica {
		struct so_settings settings = {};
		struct wi_identity id = {};
		struct so_source source = {};
		std::string name;
		std::string folder;
	};

	/* @started: replicas to start, 0 for all */
	group(int n, int port, int started = 0)
	{
		for (int i = 0; i < n; i++) {
			struct ba_address a = {};
			std::string text = test_address(21 + i, port);

			EXPECT_EQ(ba_parse_address(text.c_str(), &a), BA_OK);
			addresses.push_back(a);
			names.push_back("s" + std::to_string(i + 1));
		}
		for (auto &name : names)
			name_list.push_back((char *)name.c_str());
		operators_folder = testing::TempDir() + "source_test_operators";
		std::filesystem::create_directories(operators_folder);
		for (int i = 0; i < (started ? started : n); i++)
			start(i);
	}

	void start(int i)
	{
		replicas.push_back(std::make_unique<replica>());
		struct replica *r = replicas.back().get();
		struct so_settings *st = &r->settings;

		r->name = names[i];
		r->folder = testing::TempDir() + "source_test_" + r->name;
		std::filesystem::remove_all(r->folder);
		std::filesystem::create_directories(r->folder);
		st->common.instance_name = (char *)r->name.c_str();
		st->address = addresses[i];
		st->data_folder = (char *)r->folder.c_str();
		st->operators_folder = (char *)operators_folder.c_str();
		st->names = {name_list.data(), name_list.size()};
		st->addresses = {addresses.data(), addresses.size()};
		r->id.mesh = "m";
		r->id.instance = r->name.c_str();
		r->id.role = WI_SOURCE;
		r->id.data_centre = "d";
		r->id.region = "r";
		r->id.incarnation = i + 1;
		r->id.key_id = "";
		r->source.loop = loop;
		r->source.settings = st;
		r->source.identity = &r->id;
		ASSERT_EQ(so_source_start(&r->source), BA_OK);
	}

	~group()
	{
		for (auto &r : replicas)
			so_source_stop(&r->source);
		ba_loop_free(loop);
	}

	struct ba_loop *loop = ba_loop_new();
	std::vector<std::string> names;
	std::vector<char *> name_list;
	std::vector<struct ba_address> addresses;
	std::vector<std::unique_ptr<replica>> replicas;
	std::string operators_folder;
};

/* Calls @step every 5 ms until it returns true, for 10 seconds at most. */
struct stepper {
	struct ba_timer timer;
	struct ba_loop *loop;
	bool (*step)(void *arg);
	void *arg;
	ba_time deadline;
	bool met;
};

void on_step(struct ba_timer *t, ba_time now)
{
	auto *s = (struct stepper *)t;

	s->met = s->step(s->arg);
	if (s->met || now >= s->deadline)
		ba_loop_stop(s->loop);
	else
		ba_loop_arm(s->loop, t, now + 5 * BA_MS);
}

template <typename F> bool step_until(struct ba_loop *loop, F step)
{
	struct stepper s = {};

	s.timer.fire = on_step;
	s.loop = loop;
	s.step = [](void *arg) { return (*(F *)arg)(); };
	s.arg = &step;
	s.deadline = ba_clock_now() + 10 * BA_SECOND;
	ba_loop_arm(loop, &s.timer, 0);
	ba_loop_run(loop);
	return s.met;
}

/*
 * Each message re-arms the timer of a source.  A source that gets messages all
 * the time must still check the state of the group when the check is due.
 */
TEST(RpSource, MessagesDoNotPutOffTheChecks)
{
	struct group g(1, 23201);
	struct so_source *s = &g.replicas[0]->source;
	ba_time first = s->check_deadline;

	EXPECT_TRUE(step_until(g.loop, [&] {
		so_source_rearm(s);
		return s->check_deadline > first;
	}));
}

/*
 * The process is held up in the middle of a loop iteration.  The time of the
 * loop says that the lease lasts; it has run out.
 */
TEST(RpSource, LeaseIsNotJudgedByTheTimeOfTheLoop)
{
	struct group g(1, 23241);
	struct so_source *s = &g.replicas[0]->source;
	bool checked = false;

	ASSERT_TRUE(step_until(g.loop, [&] {
		if (so_lease_error(s))
			return false;
		g_usleep((gulong)rp_times_default.lease + 100 * BA_MS);
		EXPECT_EQ(rp_core_proposal_error(rp_node_core(s->node),
						 ba_loop_now(g.loop)),
			  BA_OK);
		EXPECT_EQ(so_lease_error(s), RP_NO_QUORUM);
		checked = true;
		return true;
	}));
	EXPECT_TRUE(checked);
	/* The lease is renewed once the loop runs again. */
	EXPECT_TRUE(step_until(g.loop, [&] { return !so_lease_error(s); }));
}

int query(struct group &g, const char *command)
{
	CtQuery q = CT_QUERY__INIT;
	struct ba_buf json = {};
	struct ba_buf snapshot = {};
	int code;

	q.command = (char *)command;
	code = so_operator_answer(&g.replicas[0]->source, &q, &json, &snapshot);
	ba_buf_free(&json);
	ba_buf_free(&snapshot);
	return code;
}

/* A replica that has just started must not pass part of the log for all. */
TEST(RpSource, AnswersAboutTheLogOnlyOnceItHasCaughtUp)
{
	static const struct {
		const char *command;
		int alone, caught_up;
	} cases[] = {
		{"status", BA_OK, BA_OK},
		{"history", RP_NO_QUORUM, BA_OK},
		{"current", RP_NO_QUORUM, BA_OK},
		{"no such command", BA_USAGE, BA_USAGE},
	};
	struct group alone(3, 23221, 1);
	struct group whole(1, 23231);

	ASSERT_TRUE(step_until(whole.loop, [&] {
		return rp_core_up_to_date_at(
			       rp_node_core(whole.replicas[0]->source.node),
			       ba_loop_now(whole.loop)) > 0;
	}));
	for (const auto &c : cases) {
		EXPECT_EQ(query(alone, c.command), c.alone) << c.command;
		EXPECT_EQ(query(whole, c.command), c.caught_up) << c.command;
	}
}

/*
 * A follower reads the newest version from the leader, so that it can tell a
 * daemon its floor.
 */
TEST(RpSource, FollowersLearnTheNewestVersionFromTheLeader)
{
	struct group g(3, 23211);
	size_t asked = 0;

	EXPECT_TRUE(step_until(g.loop, [&] {
		for (auto &r : g.replicas)
			if (r->source.read.leader == RP_NO_PEER &&
			    rp_core_leader(rp_node_core(r->source.node)) !=
				    r->source.self)
				return false;
		return true;
	}));
	for (auto &r : g.replicas) {
		if (r->source.read.leader == RP_NO_PEER)
			continue;
		so_read_send_request(&r->source);
		asked++;
		EXPECT_NE(r->source.read.deadline, BA_NEVER);
	}
	EXPECT_EQ(asked, 2u);
	EXPECT_TRUE(step_until(g.loop, [&] {
		for (auto &r : g.replicas)
			if (r->source.read.deadline != BA_NEVER)
				return false;
		return true;
	}));
}

} // namespace
