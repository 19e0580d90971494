/*
 * At most once through owner crash, cut, duplicate, late answer, resend at
 * another data centre, drain and restart: a small mesh of the real decisions
 * in virtual time.  Each run is one seed.
 */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstring>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/ba_rand.h"
#include "call/cl_key.h"
#include "call/cl_once.h"

namespace
{

const ba_time START = 1700000000LL * BA_SECOND;
const char SERVICE[] = "orders";

/**
 * What a variant leaves out, to see that the checker notices; and whether the
 * daemons are paused while a long time passes.
 */
struct Variant {
	bool pauses = true;
	bool owner_checks = true;
	bool notices_cut = true;
	bool keeps_unknown = true;
};

struct Endpoint {
	std::string name;
	std::string centre;
	ba_time incarnation = 0;
	bool up = false;
	bool draining = false;
	bool cut = false;
	ba_time cut_at = 0;
	cl_once *once = nullptr;
	cl_owners *owners = nullptr;
};

/** One news of the endpoints of a data centre, on its way to observers. */
struct Observer {
	cl_owners *owners = nullptr;
	std::string centre;
	bool cut = false;
};

struct Told {
	int runs = 0;
	bool open = false;
	bool not_run = false;
	bool answered = false;
};

class World
{
public:
	World(uint64_t seed, const Variant &v) : variant(v), rand{seed}
	{
		const char *centres[] = {"a", "a", "a", "b", "b"};

		for (int i = 0; i < 5; i++) {
			Endpoint e;

			e.name = "e" + std::to_string(i);
			e.centre = centres[i];
			endpoints.push_back(e);
			start(endpoints[i]);
		}
		for (const char *centre : {"a", "a", "b"}) {
			Observer o;

			o.centre = centre;
			o.owners = cl_owners_new(now - BA_MINUTE);
			observers.push_back(o);
		}
		spread();
		now += CL_KEY_JOIN + BA_SECOND;
	}

	~World()
	{
		for (auto &e : endpoints)
			stop(e);
		for (auto &o : observers)
			cl_owners_free(o.owners);
	}

	void run(int steps)
	{
		for (int i = 0; i < steps; i++)
			step();
	}

	int doubles() const
	{
		int n = 0;

		for (auto &t : told)
			n += t.second.runs > 1;
		return n;
	}

	int false_not_run() const
	{
		int n = 0;

		for (auto &t : told)
			n += t.second.not_run && !t.second.open &&
			     !t.second.answered && t.second.runs;
		return n;
	}

	int answered() const
	{
		int n = 0;

		for (auto &t : told)
			n += t.second.answered;
		return n;
	}

private:
	void start(Endpoint &e)
	{
		cl_once_options o = {};

		e.incarnation = now;
		e.up = true;
		e.draining = e.cut = false;
		o.incarnation = now + CL_KEY_JOIN;
		o.keys = 8;
		o.bytes = 64;
		e.once = cl_once_new(&o);
		e.owners = cl_owners_new(now);
	}

	void stop(Endpoint &e)
	{
		cl_once_free(e.once);
		cl_owners_free(e.owners);
		e.once = nullptr;
		e.owners = nullptr;
		e.up = false;
	}

	/* Records as a relay of @centre has them. */
	void spread_to(cl_owners *o)
	{
		std::vector<ep_record> records;
		ep_service_view service = {};
		ep_view view = {};

		for (auto &e : endpoints) {
			ep_record r = {};

			if (!e.up || (e.cut && now - e.cut_at > 3 * BA_SECOND))
				continue;
			r.instance = const_cast<char *>(e.name.c_str());
			r.data_centre = const_cast<char *>(e.centre.c_str());
			r.incarnation = (uint64_t)e.incarnation;
			r.draining = e.draining && !e.cut;
			records.push_back(r);
		}
		service.service = const_cast<char *>(SERVICE);
		service.records = records.data();
		service.n_records = records.size();
		view.services = &service;
		view.n_services = 1;
		cl_owners_update(o, &view, now);
	}

	void spread()
	{
		for (auto &o : observers)
			if (!o.cut)
				spread_to(o.owners);
		for (auto &e : endpoints)
			if (e.up && !e.cut)
				spread_to(e.owners);
	}

	/* What each daemon does while it has a relay. */
	void watch()
	{
		for (auto &e : endpoints) {
			ba_time silent = 2500 * BA_MS;

			if (!e.up || !variant.notices_cut)
				continue;
			if (!e.cut || now - e.cut_at < silent)
				cl_once_extend(e.once, now);
		}
	}

	void pass(ba_time span)
	{
		ba_time end = now + span;

		while (!variant.pauses && end - now > BA_SECOND) {
			now += BA_SECOND;
			watch();
			spread();
		}
		now = end;
	}

	Endpoint &any()
	{
		return endpoints[ba_rand_below(&rand, 5)];
	}

	void step()
	{
		Endpoint &e = any();

		now += (ba_time)ba_rand_below(&rand, 800 * BA_MS);
		watch();
		spread();
		switch (ba_rand_below(&rand, 14)) {
		case 0:
			if (e.up)
				stop(e);
			break;
		case 1:
			if (!e.up)
				start(e);
			break;
		case 2:
			if (!e.up || e.draining)
				break;
			e.draining = true;
			cl_once_close(e.once, now);
			break;
		case 3:
			if (!e.cut)
				e.cut_at = now;
			e.cut = !e.cut;
			break;
		case 4:
			observers[2].cut = !observers[2].cut;
			break;
		case 5:
			pass((ba_time)ba_rand_below(&rand, 20 * BA_SECOND));
			break;
		case 6:
			finish();
			break;
		case 7:
		case 8:
		case 9:
			if (!keys.empty())
				send(keys[ba_rand_below(&rand, keys.size())]);
			break;
		default:
			new_key();
			break;
		}
	}

	void new_key()
	{
		const char *home = ba_rand_below(&rand, 3) ? "a" : "b";

		keys.push_back(std::string(home) + "." +
			       std::to_string(now / BA_MS) + ".k" +
			       std::to_string(1000 + keys.size()));
		send(keys.back());
	}

	/* Any observer may be asked; a cut one reaches its own centre only. */
	void send(const std::string &text)
	{
		Observer &o = observers[ba_rand_below(&rand, observers.size())];
		Told &t = told[text];
		const char *owner;
		uint64_t incarnation;
		cl_key key;

		ASSERT_EQ(cl_key_parse(text.c_str(), &key), BA_OK);
		switch (cl_owner_find(o.owners, SERVICE, &key, &owner,
				      &incarnation)) {
		case CL_OWNER_NONE:
			t.not_run = true;
			return;
		case CL_OWNER_GONE:
			t.open = true;
			return;
		default:
			break;
		}
		for (auto &e : endpoints)
			if (e.name == owner)
				reach(e, o, key, t);
	}

	void reach(Endpoint &e, const Observer &o, const cl_key &key, Told &t)
	{
		struct ba_digest request = ba_digest("r", 1);
		const ba_buf *answer;
		const char *owner;
		uint64_t incarnation;
		int code;

		if (!e.up || (o.cut && e.centre != o.centre)) {
			t.not_run = true; /* the connection is refused */
			return;
		}
		if (variant.owner_checks &&
		    (cl_owner_find(e.owners, SERVICE, &key, &owner,
				   &incarnation) != CL_OWNER_FOUND ||
		     e.name != owner ||
		     incarnation != (uint64_t)e.incarnation)) {
			t.open = true;
			return;
		}
		switch (cl_once_begin(e.once, &key, &request, now, &code,
				      &answer)) {
		case CL_ONCE_RUN:
			t.runs++;
			end_run(e, key, t);
			break;
		case CL_ONCE_REPLAY:
			t.answered = true;
			break;
		case CL_ONCE_REFUSE:
			if (cl_outcome_of(code) == CL_OUT_NOT_RUN)
				t.not_run = true;
			else
				t.open = true;
			break;
		}
	}

	/* Answered, lost, or late: the answer comes in a later step. */
	void end_run(Endpoint &e, const cl_key &key, Told &t)
	{
		switch (ba_rand_below(&rand, 4)) {
		case 0:
			t.open = true;
			if (variant.keeps_unknown)
				cl_once_unknown(e.once, key.text);
			else
				cl_once_released(e.once, key.text);
			break;
		case 1:
			t.open = true;
			late.push_back({e.name, e.incarnation, key.text});
			break;
		case 2:
			t.open = true; /* the caller did not get it */
			cl_once_answered(e.once, key.text, "answer", 6);
			break;
		default:
			t.answered = true;
			cl_once_answered(e.once, key.text, "answer", 6);
			break;
		}
	}

	void finish()
	{
		for (auto &l : late)
			for (auto &e : endpoints)
				if (e.up && e.name == l.endpoint &&
				    e.incarnation == l.incarnation)
					cl_once_answered(e.once, l.key.c_str(),
							 "answer", 6);
		late.clear();
	}

	struct Late {
		std::string endpoint;
		ba_time incarnation;
		std::string key;
	};

	Variant variant;
	ba_rand rand;
	ba_time now = START;
	std::vector<Endpoint> endpoints;
	std::vector<Observer> observers;
	std::vector<std::string> keys;
	std::vector<Late> late;
	std::map<std::string, Told> told;
};

/** Double runs and false words of "not run" over many seeds. */
struct Harm {
	int doubles = 0;
	int false_not_run = 0;
	int answered = 0;
};

Harm harm_of(const Variant &v, uint64_t seeds)
{
	Harm h;

	for (uint64_t seed = 1; seed <= seeds; seed++) {
		World w(seed, v);

		w.run(300);
		h.doubles += w.doubles();
		h.false_not_run += w.false_not_run();
		h.answered += w.answered();
	}
	return h;
}

RC_GTEST_PROP(ClOnce, NothingRunsTwiceAndNotRunIsTrue, (uint64_t seed))
{
	for (bool pauses : {true, false}) {
		Variant v;

		v.pauses = pauses;
		World w(seed, v);
		w.run(400);
		RC_ASSERT(w.doubles() == 0);
		RC_ASSERT(w.false_not_run() == 0);
	}
}

/* Whether one of the first @seeds has a call that runs twice. */
bool doubles_within(const Variant &v, uint64_t seeds)
{
	for (uint64_t seed = 1; seed <= seeds; seed++) {
		World w(seed, v);

		w.run(400);
		if (w.doubles())
			return true;
	}
	return false;
}

/* Seeds at which the property above once failed. */
TEST(ClOnce, NothingRunsTwiceAtSeedsThatOnceFailed)
{
	const uint64_t seeds[] = {
		2287861365433480, 3871967696344562743, 2235441792358082851,
		20017508,	  1682731070242,
	};

	for (uint64_t seed : seeds) {
		World w(seed, Variant());

		w.run(400);
		EXPECT_EQ(w.doubles(), 0) << seed;
		EXPECT_EQ(w.false_not_run(), 0) << seed;
	}
}

TEST(ClOnce, MostKeysAreAnsweredAllTheSame)
{
	Variant awake;

	awake.pauses = false;
	Harm h = harm_of(awake, 50);

	EXPECT_EQ(h.doubles, 0);
	EXPECT_EQ(h.false_not_run, 0);
	EXPECT_GT(h.answered, 300);
}

TEST(ClOnce, EachMissingRuleIsNoticed)
{
	Variant trusting, unaware, releasing;

	trusting.owner_checks = false;
	unaware.notices_cut = false;
	releasing.keeps_unknown = false;
	EXPECT_TRUE(doubles_within(trusting, 10000)) << "owner not checked";
	EXPECT_TRUE(doubles_within(unaware, 10000)) << "cut not noticed";
	EXPECT_TRUE(doubles_within(releasing, 10000)) << "unknown released";
}

struct KeyCase {
	const char *text;
	int code;
};

const KeyCase key_cases[] = {
	{"dc1.1700000000000.abcd", BA_OK},
	{"dc-1.1700000000000.c1-22:3", BA_OK},
	{"", CL_KEY_MALFORMED},
	{"abcd", CL_KEY_MALFORMED},
	{"dc1.1700000000000", CL_KEY_MALFORMED},
	{"dc1.1700000000000.", CL_KEY_MALFORMED},
	{"dc1.1700000000000.abc", CL_KEY_MALFORMED},
	{"dc1.170000000000.abcd", CL_KEY_MALFORMED},
	{"dc1.17000000000000.abcd", CL_KEY_MALFORMED},
	{"dc1.1700000000x00.abcd", CL_KEY_MALFORMED},
	{".1700000000000.abcd", CL_KEY_MALFORMED},
	{"dc1.1700000000000.ab cd", CL_KEY_MALFORMED},
	{"dc1.1700000000000.abcd\xff", CL_KEY_MALFORMED},
	{"dc1..abcd", CL_KEY_MALFORMED},
};

TEST(ClKey, FormsAreCheckedWhole)
{
	for (auto &c : key_cases) {
		cl_key key;

		EXPECT_EQ(cl_key_parse(c.text, &key), c.code) << c.text;
	}
}

RC_GTEST_PROP(ClKey, AnyTextIsTakenOrRefused, (const std::string &text))
{
	cl_key key;
	int code = cl_key_parse(text.c_str(), &key);

	RC_ASSERT(code == BA_OK || code == CL_KEY_MALFORMED);
}

/** One step of a key at one daemon, and what the caller is told. */
struct OnceCase {
	const char *what;
	ba_time issued; /* against the start of the process */
	ba_time now;
	const char *before; /* what became of an earlier call with the key */
	int code;
};

const OnceCase once_cases[] = {
	{"new", 10 * BA_SECOND, 11 * BA_SECOND, "", BA_OK},
	{"before this incarnation", -1, 11 * BA_SECOND, "", CL_KEY_STALE},
	{"older than the window", BA_SECOND, BA_SECOND + CL_KEY_MAX_AGE + 1, "",
	 CL_KEY_STALE},
	{"from the future", 13 * BA_SECOND, 11 * BA_SECOND, "",
	 CL_KEY_MALFORMED},
	{"still running", 10 * BA_SECOND, 11 * BA_SECOND, "running",
	 CL_KEY_IN_PROGRESS},
	{"unknown end", 10 * BA_SECOND, 11 * BA_SECOND, "unknown",
	 CL_MAY_HAVE_RUN},
	{"known not run", 10 * BA_SECOND, 11 * BA_SECOND, "released", BA_OK},
	{"answered", 10 * BA_SECOND, 11 * BA_SECOND, "answered", BA_OK},
	{"answer too large to keep", 10 * BA_SECOND, 11 * BA_SECOND, "large",
	 CL_KEY_STALE},
	{"other request", 10 * BA_SECOND, 11 * BA_SECOND, "other",
	 CL_KEY_REUSED},
	{"after the drain", 10 * BA_SECOND, 11 * BA_SECOND, "drained",
	 CL_DRAINING},
};

TEST(ClOnce, EachCaseIsToldByItsCode)
{
	for (auto &c : once_cases) {
		cl_once_options o = {START, 16, 1024};
		cl_once *t = cl_once_new(&o);
		std::string text = "a." +
				   std::to_string((START + c.issued) / BA_MS) +
				   ".abcd";
		std::string large(CL_ONCE_ANSWER_BYTES + 1, 'x');
		struct ba_digest first = ba_digest("1", 1);
		struct ba_digest second = ba_digest("2", 1);
		bool other = !strcmp(c.before, "other");
		const ba_buf *answer;
		cl_key key;
		int code = 0;

		ASSERT_EQ(cl_key_parse(text.c_str(), &key), BA_OK);
		key.issued = START + c.issued;
		if (*c.before && strcmp(c.before, "drained")) {
			ASSERT_EQ(cl_once_begin(t, &key, &first, START + c.now,
						&code, &answer),
				  CL_ONCE_RUN);
		}
		if (!strcmp(c.before, "unknown"))
			cl_once_unknown(t, key.text);
		else if (!strcmp(c.before, "released"))
			cl_once_released(t, key.text);
		else if (!strcmp(c.before, "answered"))
			cl_once_answered(t, key.text, "yes", 3);
		else if (!strcmp(c.before, "large"))
			cl_once_answered(t, key.text, large.data(),
					 large.size());
		else if (!strcmp(c.before, "drained"))
			cl_once_close(t, START + 10 * BA_SECOND);
		cl_once_act act =
			cl_once_begin(t, &key, other ? &second : &first,
				      START + c.now, &code, &answer);
		EXPECT_EQ(code, c.code) << c.what;
		EXPECT_EQ(act == CL_ONCE_REFUSE, c.code != BA_OK) << c.what;
		if (!strcmp(c.before, "answered")) {
			ASSERT_EQ(act, CL_ONCE_REPLAY);
			EXPECT_EQ(
				std::string((char *)answer->data, answer->len),
				"yes");
		}
		cl_once_free(t);
	}
}

/* The second process has forgotten what the first one ran. */
TEST(ClOnce, ARestartRefusesWhatItMayHaveForgotten)
{
	std::string text = "a." + std::to_string(START / BA_MS) + ".abcd";
	struct ba_digest request = ba_digest("r", 1);
	cl_key key;

	ASSERT_EQ(cl_key_parse(text.c_str(), &key), BA_OK);
	for (bool forgetful : {false, true}) {
		int runs = 0;

		for (ba_time born : {START - BA_MINUTE, START + BA_SECOND}) {
			cl_once_options o = {forgetful ? 0 : born, 16, 1024};
			cl_once *t = cl_once_new(&o);
			const ba_buf *answer;
			int code;

			runs += cl_once_begin(t, &key, &request,
					      START + 2 * BA_SECOND, &code,
					      &answer) == CL_ONCE_RUN;
			cl_once_free(t);
		}
		EXPECT_EQ(runs, forgetful ? 2 : 1);
	}
}

/* What is pushed out by the bounds must not come back as new. */
RC_GTEST_PROP(ClOnce, BoundsHoldAndForgettingRefuses, (uint64_t seed))
{
	cl_once_options o = {START, 32, 512};
	cl_once *t = cl_once_new(&o);
	struct ba_digest request = ba_digest("r", 1);
	ba_rand rand = {seed};
	std::map<std::string, int> runs;
	ba_time now = START + BA_MINUTE;

	for (int i = 0; i < 2000; i++) {
		ba_time issued =
			now - (ba_time)ba_rand_below(&rand, 2 * BA_MINUTE);
		std::string text = "a." + std::to_string(issued / BA_MS) +
				   ".k" + std::to_string(1000 + i % 300);
		const ba_buf *answer;
		cl_key key;
		int code;

		if (ba_rand_below(&rand, 2) && !runs.empty())
			text = runs.begin()->first;
		now += (ba_time)ba_rand_below(&rand, BA_SECOND);
		RC_ASSERT(cl_key_parse(text.c_str(), &key) == BA_OK);
		if (cl_once_begin(t, &key, &request, now, &code, &answer) ==
		    CL_ONCE_RUN) {
			runs[text]++;
			cl_once_answered(t, key.text, text.data(), text.size());
		}
		RC_ASSERT(cl_once_size(t) <= 32u);
	}
	for (auto &r : runs)
		RC_ASSERT(r.second == 1);
	cl_once_free(t);
}

} // namespace
