/*
 * Simulation, in virtual time, of a mesh of proxies, each with its own table of
 * requests that crash backend servers.  Reports arrive late, twice and in any
 * order; proxies are cut off and restart; backend servers crash by the request,
 * one at a time, by the rack, and with their proxies.  Each run has its own
 * seed.
 */
#include <gtest/gtest.h>
#include <malloc.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/ba_rand.h"
#include "call/cl_poison.h"

namespace
{

enum {
	PROXIES = 40,
	RACK = 5,
	SLOTS = 4,
	POPULAR = 4,
	ATTEMPTS = 3,
	RESENT_MAX = 5
};

/* Users' rule: reaches, by proxies in touch, after the third crash is known. */
const int LATE_REACHES_MAX = 3;

/* Digests up to here are of poisons, the next POPULAR of popular requests. */
enum { POISONS_MAX = 8, FIRST_UNIQUE = POISONS_MAX + POPULAR };

const ba_time START = 1000 * BA_SECOND;
const ba_time WARM_UP = 5 * BA_SECOND;
const ba_time STABLE = 4 * BA_SECOND;
/* Bounds of the simulation on detection of a crash and on spreading. */
const ba_time DETECTION = 200 * BA_MS;
const ba_time SPREAD = 500 * BA_MS;
/* How long before a crash an answer acquits. */
const ba_time SHORTLY = 9 * BA_SECOND;

/**
 * Variant of the decision.  A rule that is false is left out, to check that the
 * test notices.
 */
struct Variant {
	bool spreads = true;
	bool acquits = true;
	bool spreads_acquittals = true;
	bool blames_most_suspected = true;
	bool counts_once = true;
};

/** What happens, as mean times between two events; 0 is never. */
struct Scenario {
	const char *what;
	int poisons;
	ba_time poison;
	ba_time sound;
	ba_time plain_crash;
	ba_time rack_crash; /* the proxies stay */
	ba_time rack_loss;  /* the proxies too */
	ba_time cut;
	ba_time restart; /* of a proxy */
	ba_time length;
	ba_time answered_for = 0; /* the poison is answered so long */
};

const Scenario scenarios[] = {
	{"poison alone", 1, 100 * BA_MS, 0, 0, 0, 0, 0, 0, BA_MINUTE},
	{"beside sound ones", 1, 100 * BA_MS, 10 * BA_MS, 0, 0, 0, 0, 0,
	 BA_MINUTE},
	{"two at once", 2, 200 * BA_MS, 10 * BA_MS, 0, 0, 0, 0, 0, BA_MINUTE},
	{"beside many that run long", 3, BA_SECOND, 2 * BA_MS, 2 * BA_SECOND,
	 10 * BA_SECOND, 0, 0, 0, BA_MINUTE},
	{"plain crashes", 1, 500 * BA_MS, 10 * BA_MS, 5 * BA_SECOND, 0, 0, 0, 0,
	 BA_MINUTE},
	{"storm of crashes", 1, BA_SECOND, 10 * BA_MS, 300 * BA_MS, 0, 0, 0, 0,
	 BA_MINUTE},
	{"racks crash", 1, 500 * BA_MS, 10 * BA_MS, 0, 15 * BA_SECOND, 0, 0, 0,
	 BA_MINUTE},
	{"racks crash in sequence", 1, BA_SECOND, 10 * BA_MS, 0, 3 * BA_SECOND,
	 0, 0, 0, BA_MINUTE},
	{"racks are lost", 1, 500 * BA_MS, 10 * BA_MS, 0, 0, 15 * BA_SECOND, 0,
	 0, BA_MINUTE},
	{"cuts", 1, 500 * BA_MS, 10 * BA_MS, 0, 0, 0, 2 * BA_SECOND, 0,
	 BA_MINUTE},
	{"restarts", 1, 500 * BA_MS, 10 * BA_MS, 0, 0, 0, 0, BA_SECOND,
	 BA_MINUTE},
	{"all of it", 2, 500 * BA_MS, 10 * BA_MS, 10 * BA_SECOND,
	 30 * BA_SECOND, 30 * BA_SECOND, 4 * BA_SECOND, 4 * BA_SECOND,
	 BA_MINUTE},
	{"storm of all of it", 2, BA_SECOND, 10 * BA_MS, BA_SECOND,
	 5 * BA_SECOND, 5 * BA_SECOND, BA_SECOND, BA_SECOND, BA_MINUTE},
	{"slow", 1, 20 * BA_SECOND, 500 * BA_MS, BA_MINUTE, 0, 0, BA_MINUTE,
	 BA_MINUTE, 40 * BA_MINUTE},
	{"very slow", 1, 90 * BA_SECOND, BA_SECOND, 0, 0, 0, 0, 0,
	 90 * BA_MINUTE},
	{"answered at first", 1, 100 * BA_MS, 10 * BA_MS, 0, 0, 0, 0, 0,
	 BA_MINUTE, 20 * BA_SECOND},
};

struct Call {
	uint64_t request;
	int sender;
	uint64_t sender_epoch;
	int attempt;
	int resent;
};

struct Report {
	uint64_t epoch = 0;
	std::vector<ep_mark> marks;
};

struct Proxy {
	std::string name;
	cl_poison *poison = nullptr;
	bool up = false;
	bool cut = false;
	ba_time connected_at = 0;
	uint64_t epoch = 0;
	uint64_t generation = 0;
	bool backend_up = true;
	int backend_start = 0;
	std::vector<Call> running;
};

/** What truly happened to a request. */
struct Truth {
	int crashes = 0;
	int late_reaches = 0; /* later than STABLE after the third crash */
	ba_time last_crash = 0;
	ba_time third_crash = BA_NEVER;
	ba_time last_answer = 0; /* that a proxy in touch saw */
	/*
	 * When some proxy in touch has learned of the last crash and has an
	 * answer, from shortly before the crash or from after it.
	 */
	ba_time acquitted_at = BA_NEVER;
};

struct Totals {
	int reaches = 0;
	int most_late_reaches = 0;
	int over_budget = 0; /* runs with more than the users allow */
	int popular = 0;
	int popular_refused = 0;
	int popular_refused_after_answer = 0;
	int unique = 0;
	int unique_refused = 0;
	int refused_under_three_crashes = 0;
	int blamed_beside_suspect = 0;
	int reports = 0;
	int report_marks_max = 0;

	void add(const Totals &t)
	{
		reaches += t.reaches;
		over_budget += t.most_late_reaches > LATE_REACHES_MAX;
		most_late_reaches =
			std::max(most_late_reaches, t.most_late_reaches);
		popular += t.popular;
		popular_refused += t.popular_refused;
		popular_refused_after_answer += t.popular_refused_after_answer;
		unique += t.unique;
		unique_refused += t.unique_refused;
		refused_under_three_crashes += t.refused_under_three_crashes;
		blamed_beside_suspect += t.blamed_beside_suspect;
		reports += t.reports;
		report_marks_max =
			std::max(report_marks_max, t.report_marks_max);
	}
};

class Mesh
{
public:
	Mesh(uint64_t seed, const Scenario &s, const Variant &v)
	    : scenario(s), variant(v), rand{seed}, proxies(PROXIES),
	      latest(PROXIES)
	{
		for (int i = 0; i < PROXIES; i++) {
			proxies[i].name = "i" + std::to_string(i);
			start(i);
		}
	}

	~Mesh()
	{
		for (auto &x : proxies)
			cl_poison_free(x.poison);
	}

	Totals run()
	{
		ba_time end = START + WARM_UP + scenario.length;

		for (int i = 0; i < scenario.poisons; i++)
			repeat(scenario.poison, WARM_UP + below(5 * BA_SECOND),
			       [this, i] { arrive((uint64_t)i); });
		repeat(scenario.sound, 0, [this] { arrive_sound(); });
		repeat(scenario.plain_crash, 0,
		       [this] { crash(random_proxy()); });
		repeat(scenario.rack_crash, 0, [this] { crash_rack(); });
		repeat(scenario.rack_loss, 0, [this] { lose_rack(); });
		repeat(scenario.cut, 0, [this] { cut(random_proxy()); });
		repeat(scenario.restart, 0,
		       [this] { restart(random_proxy()); });
		while (!events.empty() && events.begin()->first < end) {
			auto first = events.begin();
			auto event = first->second;

			now = first->first;
			events.erase(first);
			event();
		}
		for (auto &t : truths)
			totals.most_late_reaches =
				std::max(totals.most_late_reaches,
					 t.second.late_reaches);
		return totals;
	}

private:
	ba_time below(ba_time n)
	{
		return (ba_time)ba_rand_below(&rand, (uint64_t)n);
	}

	int random_proxy()
	{
		return (int)below(PROXIES);
	}

	void after(ba_time span, std::function<void()> event)
	{
		events.emplace(now + span, event);
	}

	void repeat(ba_time every, ba_time first, std::function<void()> event)
	{
		if (!every)
			return;
		after(first + below(2 * every), [this, every, event] {
			event();
			repeat(every, 0, event);
		});
	}

	bool is_stable(int i) const
	{
		return proxies[i].up && !proxies[i].cut &&
		       now - proxies[i].connected_at >= STABLE;
	}

	void start(int i)
	{
		Proxy &x = proxies[i];

		cl_poison_free(x.poison);
		x.poison = cl_poison_new(x.name.c_str());
		x.epoch = (uint64_t)now;
		x.generation = 0;
		x.running.clear();
		x.up = true;
		x.cut = false;
		connect(i);
	}

	void connect(int i)
	{
		proxies[i].connected_at = now;
		publish(i);
		for (int j = 0; j < PROXIES; j++)
			if (j != i)
				deliver(i, j, latest[j], SPREAD);
	}

	void publish(int i)
	{
		Proxy &x = proxies[i];
		ep_mark marks[EP_MARKS_MAX];
		size_t n = cl_poison_report(x.poison, marks, now);

		latest[i].epoch = x.epoch;
		latest[i].marks.assign(marks, marks + n);
		totals.report_marks_max =
			std::max(totals.report_marks_max, (int)n);
		for (auto &m : latest[i].marks)
			if (!variant.spreads_acquittals)
				m.acquittals = 0;
		for (int j = 0; j < PROXIES; j++) {
			if (j == i)
				continue;
			deliver(j, i, latest[i], SPREAD);
			if (!below(10))
				deliver(j, i, latest[i], 5 * BA_SECOND);
		}
	}

	void deliver(int to, int from, const Report &report, ba_time within)
	{
		if (!variant.spreads)
			return;
		after(below(within), [this, to, from, report] {
			Proxy &x = proxies[to];
			uint64_t epoch = report.epoch;

			if (!x.up || x.cut)
				return;
			if (!variant.counts_once)
				epoch = (uint64_t)now;
			cl_poison_learn(x.poison, proxies[from].name.c_str(),
					epoch, report.marks.data(),
					report.marks.size(), now);
			tell(to);
		});
	}

	/* Publishes the report of @i if it has changed. */
	void tell(int i)
	{
		Proxy &x = proxies[i];
		uint64_t generation = cl_poison_generation(x.poison);

		if (x.cut || generation == x.generation)
			return;
		x.generation = generation;
		totals.reports++;
		publish(i);
	}

	void arrive_sound()
	{
		if (below(4)) {
			totals.popular++;
			arrive(POISONS_MAX + (uint64_t)below(POPULAR));
		} else {
			totals.unique++;
			arrive(FIRST_UNIQUE + unique++);
		}
	}

	void arrive(uint64_t request, int resent = 0)
	{
		int i = random_proxy();

		if (proxies[i].up)
			attempt({request, i, proxies[i].epoch, 0, resent});
	}

	/* The caller of a unique request sends it again, at any proxy. */
	void failed(const Call &c)
	{
		if (c.request < FIRST_UNIQUE || c.resent == RESENT_MAX)
			return;
		after(BA_SECOND,
		      [this, c] { arrive(c.request, c.resent + 1); });
	}

	void attempt(const Call &c)
	{
		Proxy &x = proxies[c.sender];
		enum cl_poison_verdict v;
		int i = random_proxy();

		if (!x.up || x.epoch != c.sender_epoch)
			return;
		v = cl_poison_verdict(x.poison, c.request, now);
		tell(c.sender);
		if (v == CL_POISON_CONVICTED)
			return refused(c);
		if (c.attempt && v == CL_POISON_SUSPECT)
			return failed(c);
		for (int n = 0; n < PROXIES && !takes(proxies[i]); n++)
			i = (i + 1) % PROXIES;
		if (!takes(proxies[i]))
			return;
		v = cl_poison_verdict(proxies[i].poison, c.request, now);
		tell(i);
		if (v != CL_POISON_CONVICTED)
			return run_at(i, c);
		refused(c);
		cl_poison_learn_refusal(x.poison, c.request, now);
		tell(c.sender);
	}

	static bool takes(const Proxy &x)
	{
		return x.up && x.backend_up && x.running.size() < SLOTS;
	}

	void refused(const Call &c)
	{
		Truth &t = truths[c.request];

		totals.refused_under_three_crashes += t.crashes < 3;
		failed(c);
		if (c.request < POISONS_MAX)
			return;
		if (c.request >= FIRST_UNIQUE) {
			totals.unique_refused++;
			return;
		}
		totals.popular_refused++;
		totals.popular_refused_after_answer +=
			is_stable(c.sender) && t.acquitted_at != BA_NEVER &&
			now - t.acquitted_at > 2 * SPREAD;
	}

	void run_at(int i, const Call &c)
	{
		Proxy &x = proxies[i];
		Truth &t = truths[c.request];
		int backend_start = x.backend_start;
		ba_time span = 20 * BA_MS + below(200 * BA_MS);

		x.running.push_back(c);
		if (c.request < POISONS_MAX &&
		    now >= START + scenario.answered_for) {
			totals.reaches++;
			t.late_reaches += t.third_crash != BA_NEVER &&
					  now - t.third_crash > STABLE &&
					  is_stable(c.sender);
			after(span, [this, i, backend_start] {
				if (proxies[i].backend_start == backend_start)
					crash(i);
			});
			return;
		}
		if (c.request >= FIRST_UNIQUE)
			span += below(2 * BA_SECOND);
		after(span, [this, i, c, backend_start] {
			end(i, c, backend_start);
		});
	}

	void end(int i, const Call &c, int backend_start)
	{
		Proxy &x = proxies[i];
		Truth &t = truths[c.request];
		auto pos = std::find_if(x.running.begin(), x.running.end(),
					[&c](const Call &r) {
						return r.request == c.request &&
						       r.sender == c.sender &&
						       r.attempt == c.attempt;
					});

		if (x.backend_start != backend_start ||
		    pos == x.running.end() || !x.up)
			return;
		x.running.erase(pos);
		answered(i, c.request);
		if (proxies[c.sender].up && c.sender != i &&
		    proxies[c.sender].epoch == c.sender_epoch)
			answered(c.sender, c.request);
		if (!is_stable(i))
			return;
		t.last_answer = now;
		if (t.acquitted_at == BA_NEVER)
			t.acquitted_at = std::max(
				now, t.last_crash + DETECTION + SPREAD);
	}

	void answered(int i, uint64_t request)
	{
		if (!variant.acquits)
			return;
		cl_poison_answered(proxies[i].poison, request, now);
		tell(i);
	}

	/* The proxy stays and reports what its backend server was running. */
	void crash(int i)
	{
		Proxy &x = proxies[i];
		std::vector<Call> lost = x.running;
		std::vector<uint64_t> requests;
		uint64_t epoch = x.epoch;

		if (!stop_backend(i))
			return;
		for (auto &c : lost)
			requests.push_back(c.request);
		after(below(DETECTION), [this, i, epoch, requests] {
			if (proxies[i].up && proxies[i].epoch == epoch)
				detect_crash(i, requests);
		});
		for (auto &c : lost) {
			Call again = c;

			if (c.attempt + 1 >= ATTEMPTS) {
				failed(c);
				continue;
			}

			again.attempt++;
			after(DETECTION + below(100 * BA_MS),
			      [this, again] { attempt(again); });
		}
	}

	bool stop_backend(int i)
	{
		Proxy &x = proxies[i];
		std::set<uint64_t> requests;

		if (!x.backend_up)
			return false;
		x.backend_up = false;
		x.backend_start++;
		for (auto &c : x.running)
			requests.insert(c.request);
		for (uint64_t request : requests) {
			Truth &t = truths[request];

			t.last_crash = now;
			t.acquitted_at = BA_NEVER;
			if (now - t.last_answer < SHORTLY)
				t.acquitted_at = now + DETECTION + SPREAD;
			if (request < POISONS_MAX &&
			    now < START + scenario.answered_for)
				continue;
			if (++t.crashes == 3)
				t.third_crash = now;
		}
		x.running.clear();
		after(2 * BA_SECOND + below(2 * BA_SECOND),
		      [this, i] { proxies[i].backend_up = true; });
		return true;
	}

	void detect_crash(int i, const std::vector<uint64_t> &requests)
	{
		cl_poison *p = proxies[i].poison;
		bool suspect = false;
		std::vector<uint64_t> others;
		std::map<uint64_t, uint32_t> before = crashes_reported(p);

		for (uint64_t request : requests) {
			if (cl_poison_verdict(p, request, now) ==
			    CL_POISON_CLEAR)
				others.push_back(request);
			else
				suspect = true;
		}
		if (variant.blames_most_suspected)
			cl_poison_crashed(p, requests.data(), requests.size(),
					  now);
		else
			for (uint64_t request : requests)
				cl_poison_crashed(p, &request, 1, now);
		std::map<uint64_t, uint32_t> reported = crashes_reported(p);
		for (uint64_t request : others)
			totals.blamed_beside_suspect +=
				suspect && reported[request] > before[request];
		tell(i);
	}

	std::map<uint64_t, uint32_t> crashes_reported(cl_poison *p)
	{
		ep_mark marks[EP_MARKS_MAX];
		size_t n = cl_poison_report(p, marks, now);
		std::map<uint64_t, uint32_t> crashes;

		for (size_t i = 0; i < n; i++)
			crashes[marks[i].request] = marks[i].crashes;
		return crashes;
	}

	void crash_rack()
	{
		int first = random_proxy() / RACK * RACK;

		for (int i = first; i < first + RACK; i++)
			after(below(300 * BA_MS), [this, i] { crash(i); });
	}

	void lose_rack()
	{
		int first = random_proxy() / RACK * RACK;

		for (int i = first; i < first + RACK; i++) {
			stop_backend(i);
			proxies[i].up = false;
			after(2 * BA_SECOND + below(3 * BA_SECOND), [this, i] {
				if (!proxies[i].up)
					start(i);
			});
		}
	}

	void cut(int i)
	{
		Proxy &x = proxies[i];
		uint64_t epoch = x.epoch;

		if (!x.up || x.cut)
			return;
		x.cut = true;
		after(BA_SECOND + below(20 * BA_SECOND), [this, i, epoch] {
			if (!proxies[i].up || proxies[i].epoch != epoch)
				return;
			proxies[i].cut = false;
			connect(i);
			tell(i);
		});
	}

	void restart(int i)
	{
		if (proxies[i].up)
			start(i);
	}

	Scenario scenario;
	Variant variant;
	ba_rand rand;
	ba_time now = START;
	std::multimap<ba_time, std::function<void()>> events;
	std::vector<Proxy> proxies;
	std::vector<Report> latest; /* as the relays hold them */
	std::map<uint64_t, Truth> truths;
	uint64_t unique = 0;
	Totals totals;
};

Totals totals_of(const Scenario &s, const Variant &v, uint64_t seeds)
{
	Totals sum;

	for (uint64_t seed = 1; seed <= seeds; seed++)
		sum.add(Mesh(seed, s, v).run());
	return sum;
}

/* Late reaches and refusals of sound requests that no rule allows. */
bool keeps_promises(const Totals &t)
{
	return t.most_late_reaches <= LATE_REACHES_MAX &&
	       !t.popular_refused_after_answer &&
	       !t.refused_under_three_crashes && !t.blamed_beside_suspect &&
	       t.report_marks_max <= EP_MARKS_MAX;
}

const Scenario &find_scenario(const char *what)
{
	for (auto &s : scenarios)
		if (!strcmp(s.what, what))
			return s;
	throw std::out_of_range(what);
}

RC_GTEST_PROP(ClPoisonMesh, KeepsPromisesUnderFailures, (uint64_t seed))
{
	const Scenario &s =
		scenarios[seed % (sizeof(scenarios) / sizeof(scenarios[0]))];

	RC_ASSERT(keeps_promises(Mesh(seed, s, Variant()).run()));
}

TEST(ClPoisonMesh, EachScenarioKeepsPromises)
{
	for (auto &s : scenarios) {
		Totals t = totals_of(s, Variant(), 5);

		EXPECT_LE(t.most_late_reaches, LATE_REACHES_MAX) << s.what;
		EXPECT_EQ(t.popular_refused_after_answer, 0) << s.what;
		EXPECT_EQ(t.refused_under_three_crashes, 0) << s.what;
		EXPECT_EQ(t.blamed_beside_suspect, 0) << s.what;
		EXPECT_LE(t.report_marks_max, EP_MARKS_MAX) << s.what;
		/* The poison came, and crashed enough to be found. */
		EXPECT_GE(t.reaches, 3 * 5) << s.what;
		EXPECT_EQ(t.popular > 0, s.sound > 0) << s.what;
	}
}

/*
 * A poison that was answered until it turned has its answers remembered at many
 * proxies, whose acquittals must not follow one another.
 */
TEST(ClPoisonMesh, AnswersBeforeTheTurnAcquitOnce)
{
	Totals t = totals_of(find_scenario("answered at first"), Variant(), 20);

	EXPECT_LE(t.most_late_reaches, LATE_REACHES_MAX);
}

/* Each broken variant has to be detected by the checker of its rule. */
TEST(ClPoisonMesh, BrokenVariantsAreCaught)
{
	Variant local, never_acquits, acquits_locally, blames_all, counts_again;

	local.spreads = false;
	never_acquits.acquits = false;
	acquits_locally.spreads_acquittals = false;
	blames_all.blames_most_suspected = false;
	counts_again.counts_once = false;
	EXPECT_GT(totals_of(find_scenario("beside sound ones"), local, 1)
			  .most_late_reaches,
		  LATE_REACHES_MAX);
	EXPECT_GT(totals_of(find_scenario("racks crash in sequence"),
			    never_acquits, 5)
			  .popular_refused_after_answer,
		  0);
	EXPECT_GT(
		totals_of(find_scenario("storm of crashes"), acquits_locally, 5)
			.popular_refused_after_answer,
		0);
	EXPECT_GT(totals_of(find_scenario("beside many that run long"),
			    blames_all, 5)
			  .blamed_beside_suspect,
		  0);
	EXPECT_GT(totals_of(find_scenario("plain crashes"), counts_again, 5)
			  .refused_under_three_crashes,
		  0);
}

/**
 * Steps at the proxy "self", and the verdicts on requests 1 and 2.  Steps are
 * crash:REQUEST,... answer:REQUEST refusal:REQUEST ask:REQUEST wait:SECONDS and
 * learn:INSTANCE@EPOCH:REQUEST/CRASHES/ACQUITTALS,... with a "!" after a mark
 * that says convicted.
 */
struct StepsCase {
	const char *what;
	const char *steps;
	enum cl_poison_verdict first;
	enum cl_poison_verdict second;
};

const enum cl_poison_verdict CLEAR = CL_POISON_CLEAR;
const enum cl_poison_verdict SUSPECT = CL_POISON_SUSPECT;
const enum cl_poison_verdict CONVICTED = CL_POISON_CONVICTED;

const StepsCase steps_cases[] = {
	{"nothing", "", CLEAR, CLEAR},
	{"crash with nothing running", "crash:", CLEAR, CLEAR},
	{"one crash", "crash:1", CLEAR, CLEAR},
	{"two crashes", "crash:1 crash:1", SUSPECT, CLEAR},
	{"three crashes", "crash:1 crash:1 crash:1", CONVICTED, CLEAR},
	{"two runs of it in a crash", "crash:1,1 crash:1,1", SUSPECT, CLEAR},

	{"most crashes explain", "crash:1 crash:1,2 crash:2,1", CONVICTED,
	 CLEAR},
	{"as many crashes", "crash:1,2 crash:1,2", SUSPECT, SUSPECT},
	{"conviction explains", "refusal:1 crash:2 crash:2 crash:2,1",
	 CONVICTED, SUSPECT},
	{"others' crashes explain",
	 "learn:a@1:1/1/0 learn:b@1:1/2/0 crash:1,2 crash:2", CONVICTED, CLEAR},

	{"three instances", "learn:a@1:1/1/0 learn:b@1:1/1/0 learn:c@1:1/1/0",
	 CONVICTED, CLEAR},
	{"one instance at times",
	 "learn:a@1:1/1/0 learn:a@1:1/2/0 learn:a@1:1/3/0", CONVICTED, CLEAR},
	{"delivered again", "learn:a@1:1/1/0 learn:a@1:1/1/0 learn:a@1:1/1/0",
	 CLEAR, CLEAR},
	{"older one", "learn:a@1:1/2/0 learn:a@1:1/1/0 learn:a@1:1/2/0",
	 SUSPECT, CLEAR},
	{"older epoch", "learn:a@2:1/1/0 learn:a@1:1/2/0", CLEAR, CLEAR},
	{"new epoch adds", "learn:a@1:1/2/0 learn:a@2:1/1/0", CONVICTED, CLEAR},
	{"new epoch is empty", "learn:a@1:1/3/0 learn:a@2:", CONVICTED, CLEAR},
	{"older one with a lost mark",
	 "learn:a@1:1/2/0 learn:a@1: learn:a@1:1/2/0", SUSPECT, CLEAR},
	{"lost mark comes back higher",
	 "learn:a@1:1/2/0 learn:a@1: learn:a@1:1/3/0", CONVICTED, CLEAR},
	{"lost mark is counted anew later",
	 "learn:a@1:1/2/0 learn:a@1: wait:31 learn:a@1:1/1/0", CONVICTED,
	 CLEAR},
	{"several marks", "learn:a@1:1/2/0,2/3/0", SUSPECT, CONVICTED},
	{"own report", "learn:self@1:1/3/0", CLEAR, CLEAR},

	{"answer acquits", "crash:1 crash:1 crash:1 answer:1", CLEAR, CLEAR},
	{"crashes after an answer count anew",
	 "crash:1 crash:1 answer:1 crash:1 crash:1", SUSPECT, CLEAR},
	{"acquittal voids crashes of all",
	 "learn:a@1:1/2/0 crash:1 learn:b@1:1/0/1", CLEAR, CLEAR},
	{"acquittal voids what its reporter says",
	 "learn:a@1:1/2/0 learn:a@1:1/3/1", CLEAR, CLEAR},
	{"acquitted, then convicted", "learn:a@1:1/4/1!", CONVICTED, CLEAR},
	{"older conviction",
	 "learn:a@1:1/3/0! learn:a@1:1/3/1 wait:3 learn:a@1:1/3/0!", CLEAR,
	 CLEAR},
	{"reports overtaken by the acquittal",
	 "learn:b@1:1/0/1 learn:a@1:1/3/0!", CLEAR, CLEAR},
	{"report after the acquittal", "learn:b@1:1/0/1 wait:3 learn:a@1:1/3/0",
	 CONVICTED, CLEAR},
	{"acquittal delivered again",
	 "learn:b@1:1/0/1 wait:3 learn:a@1:1/3/0 learn:b@1:1/0/1", CONVICTED,
	 CLEAR},

	{"answered shortly before", "answer:1 learn:a@1:1/3/0!", CLEAR, CLEAR},
	{"answered long before", "answer:1 wait:11 learn:a@1:1/3/0", CONVICTED,
	 CLEAR},
	{"one answer acquits once",
	 "answer:1 learn:a@1:1/3/0 wait:3 learn:a@1:1/6/0", CONVICTED, CLEAR},
	{"answer is spent by another's",
	 "answer:1 learn:b@1:1/0/1 wait:3 learn:a@1:1/3/0", CONVICTED, CLEAR},
	{"answered before the own crash", "answer:1 crash:1 crash:1 crash:1",
	 SUSPECT, CLEAR},

	{"word of a witness", "learn:a@1:1/1/0!", CONVICTED, CLEAR},
	{"word of a witness in a new epoch", "learn:a@1: learn:a@2:1/1/0!",
	 CONVICTED, CLEAR},
	{"refusal", "refusal:1", CONVICTED, CLEAR},
	{"refusal after an answer", "answer:1 refusal:1", CLEAR, CLEAR},
	{"refusal overtaken by the acquittal", "learn:a@1:1/0/1 refusal:1",
	 CLEAR, CLEAR},

	{"kept", "crash:1 crash:1 crash:1 wait:599", CONVICTED, CLEAR},
	{"forgotten", "crash:1 crash:1 crash:1 wait:600", CLEAR, CLEAR},
	{"suspicion forgotten", "crash:1 crash:1 wait:600 crash:1", CLEAR,
	 CLEAR},
	{"kept while it comes",
	 "crash:1 crash:1 crash:1 wait:599 ask:1 wait:599 ask:1 wait:599",
	 CONVICTED, CLEAR},
	{"kept while it comes elsewhere",
	 "learn:a@1:1/1/0! wait:500 learn:a@1:1/2/0! wait:500", CONVICTED,
	 CLEAR},
	{"suspect is not renewed by coming",
	 "crash:1 crash:1 wait:599 ask:1 "
	 "wait:1",
	 CLEAR, CLEAR},
	{"outlives its reporters",
	 "learn:a@1:1/3/0! learn:a@2: wait:300 learn:a@3:", CONVICTED, CLEAR},
};

std::vector<ep_mark> parse_marks(const std::string &text)
{
	std::vector<ep_mark> marks;
	std::istringstream in(text);
	std::string mark;

	while (std::getline(in, mark, ',')) {
		unsigned int request, crashes, acquittals;

		if (sscanf(mark.c_str(), "%u/%u/%u", &request, &crashes,
			   &acquittals) != 3)
			throw std::invalid_argument(mark);
		marks.push_back(
			{request, crashes, acquittals, mark.back() == '!'});
	}
	return marks;
}

void learn(cl_poison *p, const std::string &text, ba_time now)
{
	size_t at = text.find('@');
	size_t colon = text.find(':', at);
	std::vector<ep_mark> marks = parse_marks(text.substr(colon + 1));

	cl_poison_learn(p, text.substr(0, at).c_str(),
			std::stoull(text.substr(at + 1, colon - at - 1)),
			marks.data(), marks.size(), now);
}

/* Return: the time after the step. */
ba_time take_step(cl_poison *p, const std::string &step, ba_time now)
{
	size_t colon = step.find(':');
	std::string name = step.substr(0, colon);
	std::string text = step.substr(colon + 1);
	std::vector<uint64_t> numbers;
	std::istringstream in(name == "learn" ? "" : text);
	std::string number;

	while (std::getline(in, number, ','))
		numbers.push_back(std::stoull(number));
	if (name == "learn")
		learn(p, text, now);
	else if (name == "crash")
		cl_poison_crashed(p, numbers.data(), numbers.size(), now);
	else if (name == "answer")
		cl_poison_answered(p, numbers.at(0), now);
	else if (name == "refusal")
		cl_poison_learn_refusal(p, numbers.at(0), now);
	else if (name == "ask")
		cl_poison_verdict(p, numbers.at(0), now);
	else if (name == "wait")
		return now + (ba_time)numbers.at(0) * BA_SECOND;
	else
		throw std::invalid_argument(step);
	return now;
}

ba_time take_steps(cl_poison *p, const char *steps)
{
	std::istringstream in(steps);
	std::string step;
	ba_time now = START;

	while (in >> step)
		now = take_step(p, step, now);
	return now;
}

TEST(ClPoison, EachCaseHasItsVerdicts)
{
	for (auto &c : steps_cases) {
		cl_poison *p = cl_poison_new("self");
		ba_time now = take_steps(p, c.steps);

		EXPECT_EQ(cl_poison_verdict(p, 1, now), c.first) << c.what;
		EXPECT_EQ(cl_poison_verdict(p, 2, now), c.second) << c.what;
		EXPECT_EQ(cl_poison_count_convicted(p),
			  (unsigned int)((c.first == CONVICTED) +
					 (c.second == CONVICTED)))
			<< c.what;
		cl_poison_free(p);
	}
}

/** Steps as above, and the own report after them. */
struct ReportCase {
	const char *what;
	const char *steps;
	const char *marks;
};

const ReportCase report_cases[] = {
	{"nothing", "", ""},
	{"crash", "crash:3,1,2", "1/1/0,2/1/0,3/1/0"},
	{"witness", "crash:1 learn:a@1:1/2/0", "1/1/0!"},
	{"witness by another's word", "crash:1 learn:a@1:1/1/0!", "1/1/0!"},
	{"no witness", "learn:a@1:1/3/0!", ""},
	{"no witness refuses", "learn:a@1:1/3/0! ask:1 wait:299 ask:1", ""},
	{"refuses what no report holds", "learn:a@1:1/3/0! learn:a@2: ask:1",
	 "1/1/0!"},
	{"refuses what no report holds any more",
	 "learn:a@1:1/3/0! learn:a@1: ask:1", "1/1/0!"},
	{"refuses what a refusal told", "refusal:1 ask:1", "1/1/0!"},
	{"renews", "learn:a@1:1/3/0! wait:300 ask:1", "1/1/0!"},
	{"renews its own", "crash:1 crash:1 crash:1 wait:300 ask:1", "1/4/0!"},
	{"own answer", "crash:1 answer:1", "1/1/1"},
	{"answer to another's suspect", "learn:a@1:1/1/0 answer:1", "1/0/1"},
	{"answer remembered", "answer:1 learn:a@1:1/1/0", "1/0/1"},
	{"answer to nobody's suspect", "answer:1", ""},
	{"answer before the own crash", "answer:1 crash:1", "1/1/1"},
	{"acquitted elsewhere", "crash:1,2 learn:a@1:1/0/1", "2/1/0"},
	{"acquitted elsewhere, crashes again",
	 "crash:1 learn:a@1:1/0/1 wait:3 crash:1", "1/2/0"},
	{"own acquittal, then suspected anew",
	 "learn:a@1:1/1/0 answer:1 wait:3 learn:a@1:1/2/0", ""},
	{"kept", "crash:1 wait:599", "1/1/0"},
	{"forgotten", "crash:1 wait:600", ""},
	{"counts start anew after that", "crash:1 wait:600 crash:1", "1/1/0"},
};

TEST(ClPoison, EachCaseHasItsReport)
{
	for (auto &c : report_cases) {
		cl_poison *p = cl_poison_new("self");
		ba_time now = take_steps(p, c.steps);
		std::vector<ep_mark> expected = parse_marks(c.marks);
		ep_mark marks[EP_MARKS_MAX];
		size_t n = cl_poison_report(p, marks, now);

		EXPECT_EQ(n, expected.size()) << c.what;
		for (size_t i = 0; i < std::min(n, expected.size()); i++) {
			EXPECT_EQ(marks[i].request, expected[i].request)
				<< c.what;
			EXPECT_EQ(marks[i].crashes, expected[i].crashes)
				<< c.what;
			EXPECT_EQ(marks[i].acquittals, expected[i].acquittals)
				<< c.what;
			EXPECT_EQ(marks[i].convicted, expected[i].convicted)
				<< c.what;
		}
		cl_poison_free(p);
	}
}

TEST(ClPoison, ProxyThatStartsLearnsFromOneWitness)
{
	ep_mark marks[EP_MARKS_MAX];
	cl_poison *witness = cl_poison_new("witness");
	ba_time now = take_steps(witness, "learn:a@1:1/1/0 learn:b@1:1/1/0 "
					  "crash:1,2");
	size_t n = cl_poison_report(witness, marks, now);

	for (bool tells_conviction : {true, false}) {
		cl_poison *p = cl_poison_new("new");

		for (size_t i = 0; i < n; i++)
			marks[i].convicted &= tells_conviction;
		cl_poison_learn(p, "witness", 1, marks, n, now);
		EXPECT_EQ(cl_poison_verdict(p, 1, now),
			  tells_conviction ? CONVICTED : CLEAR);
		EXPECT_EQ(cl_poison_verdict(p, 2, now), CLEAR);
		cl_poison_free(p);
	}
	cl_poison_free(witness);
}

/* With more than the report holds, it keeps those in most crashes. */
TEST(ClPoison, ReportKeepsTheMostSuspected)
{
	cl_poison *p = cl_poison_new("self");
	ep_mark marks[EP_MARKS_MAX];
	std::vector<uint64_t> many;

	take_steps(p, "crash:1 crash:1 crash:1 crash:2 crash:2");
	for (uint64_t request = 1000; request < 1100; request++)
		many.push_back(request);
	cl_poison_crashed(p, many.data(), many.size(), START);
	ASSERT_EQ(cl_poison_report(p, marks, START), (size_t)EP_MARKS_MAX);
	EXPECT_EQ(marks[0].request, 1u);
	EXPECT_EQ(marks[1].request, 2u);
	EXPECT_EQ(marks[2].request, 1070u);
	EXPECT_EQ(marks[EP_MARKS_MAX - 1].request, 1099u);
	cl_poison_free(p);
}

TEST(ClPoison, ConvictionsAreDroppedLast)
{
	cl_poison *p = cl_poison_new("self");
	std::vector<ep_mark> marks;

	take_steps(p, "crash:1 crash:1 crash:1 crash:2 crash:2");
	for (uint64_t i = 0; i < 2 * CL_POISON_ENTRIES_MAX; i++) {
		ep_mark mark = {1000 + i, 1, 0, false};

		cl_poison_learn(p, std::to_string(i).c_str(), 1, &mark, 1,
				START);
	}
	EXPECT_EQ(cl_poison_verdict(p, 1, START), CONVICTED);
	EXPECT_EQ(cl_poison_verdict(p, 2, START), CLEAR);
	for (uint64_t i = 0; i < 2 * CL_POISON_ENTRIES_MAX; i++)
		cl_poison_learn_refusal(p, 1000 + i, START);
	EXPECT_EQ(cl_poison_verdict(p, 1, START), CLEAR);
	EXPECT_EQ(cl_poison_count_convicted(p),
		  (unsigned int)CL_POISON_ENTRIES_MAX);
	cl_poison_free(p);
}

/* Bytes on the heap; 0 with an allocator that does not tell. */
size_t heap_used()
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/* Of the 128 MB that a daemon may use for control. */
const size_t STATE_MAX = 8 * 1024 * 1024;

/* Each of 16,000 instances reports as much as it can, and then other marks. */
TEST(ClPoison, WorstStateIsBounded)
{
	size_t before = heap_used();
	cl_poison *p = cl_poison_new("self");
	uint64_t request = 0;

	for (int i = 0; i < 16000; i++) {
		for (uint32_t turn = 0; turn < 2; turn++) {
			ep_mark marks[EP_MARKS_MAX];

			for (auto &m : marks)
				m = {request++, 1, 0, false};
			cl_poison_learn(p, std::to_string(i).c_str(), 1, marks,
					EP_MARKS_MAX, START);
		}
	}
	EXPECT_LE(heap_used(), before + STATE_MAX);
	cl_poison_free(p);
}

/*
 * One crash of one instance, and acquittals by more instances than are
 * remembered.  Each view brings all reports again.
 */
TEST(ClPoison, ReportsOfManyAreCountedOnce)
{
	const ep_mark crash = {1, 1, 0, false};
	const ep_mark acquittal = {2, 0, 1, false};
	cl_poison *p = cl_poison_new("self");

	for (int view = 0; view < 3; view++)
		for (int i = 0; i < 3000; i++)
			cl_poison_learn(p, std::to_string(i).c_str(), 1,
					i ? &acquittal : &crash, 1,
					START + view * BA_SECOND);
	EXPECT_EQ(cl_poison_verdict(p, 1, START + 3 * BA_SECOND), CLEAR);
	cl_poison_free(p);
}

RC_GTEST_PROP(ClPoison, StateIsBounded, (uint64_t seed))
{
	ba_rand rand = {seed};
	size_t before = heap_used();
	cl_poison *p = cl_poison_new("self");
	ba_time now = START;
	uint64_t requests = 1 + ba_rand_below(&rand, 1 << 16);

	for (int i = 0; i < 2000; i++) {
		ep_mark marks[EP_MARKS_MAX];
		uint64_t running[EP_MARKS_MAX];
		size_t n = ba_rand_below(&rand, EP_MARKS_MAX + 1);
		std::string instance =
			std::to_string(ba_rand_below(&rand, 4000));

		now += (ba_time)ba_rand_below(&rand, 100 * BA_MS);
		for (size_t j = 0; j < n; j++) {
			running[j] = ba_rand_below(&rand, requests);
			marks[j] = {running[j],
				    (uint32_t)ba_rand_below(&rand, 4),
				    (uint32_t)ba_rand_below(&rand, 2),
				    !ba_rand_below(&rand, 10)};
		}
		switch (ba_rand_below(&rand, 6)) {
		case 0:
			cl_poison_crashed(p, running, n, now);
			break;
		case 1:
			cl_poison_answered(p, running[0], now);
			break;
		case 2:
			cl_poison_learn_refusal(p, running[0], now);
			break;
		case 3:
			cl_poison_verdict(p, running[0], now);
			break;
		default:
			cl_poison_learn(p, instance.c_str(),
					ba_rand_below(&rand, 3), marks, n, now);
			break;
		}
		n = cl_poison_report(p, marks, now);
		RC_ASSERT(n <= (size_t)EP_MARKS_MAX);
		for (size_t j = 1; j < n; j++)
			RC_ASSERT(marks[j - 1].request < marks[j].request);
		RC_ASSERT(cl_poison_count_convicted(p) <=
			  (unsigned int)CL_POISON_ENTRIES_MAX);
	}
	RC_ASSERT(heap_used() <= before + STATE_MAX);
	now += BA_HOUR;
	cl_poison_verdict(p, 1, now);
	RC_ASSERT(cl_poison_count_convicted(p) == 0u);
	cl_poison_free(p);
}

/* The report changes only if the generation does, which starts its sending. */
RC_GTEST_PROP(ClPoison, GenerationChangesWithTheReport, (uint64_t seed))
{
	ba_rand rand = {seed};
	cl_poison *p = cl_poison_new("self");
	std::vector<ep_mark> last;
	uint64_t generation = cl_poison_generation(p);
	ba_time now = START;

	for (int i = 0; i < 1000; i++) {
		uint64_t request = ba_rand_below(&rand, 40);
		ep_mark marks[EP_MARKS_MAX];
		size_t n;

		now += (ba_time)ba_rand_below(&rand, 10 * BA_SECOND);
		switch (ba_rand_below(&rand, 4)) {
		case 0:
			cl_poison_crashed(p, &request, 1, now);
			break;
		case 1:
			cl_poison_answered(p, request, now);
			break;
		case 2:
			marks[0] = {request, (uint32_t)i, 0,
				    !ba_rand_below(&rand, 4)};
			cl_poison_learn(p, "a", (uint64_t)i, marks, 1, now);
			break;
		default:
			cl_poison_verdict(p, request, now);
			break;
		}
		n = cl_poison_report(p, marks, now);
		bool same =
			n == last.size() &&
			std::equal(last.begin(), last.end(), marks,
				   [](const ep_mark &a, const ep_mark &b) {
					   return a.request == b.request &&
						  a.crashes == b.crashes &&
						  a.acquittals ==
							  b.acquittals &&
						  a.convicted == b.convicted;
				   });
		RC_ASSERT(same || cl_poison_generation(p) != generation);
		generation = cl_poison_generation(p);
		last.assign(marks, marks + n);
	}
	cl_poison_free(p);
}

} // namespace
