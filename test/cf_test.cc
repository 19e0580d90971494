#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/ba_result.h"
#include "config/cf.h"
#include "wire/cf.pb-c.h"

namespace
{

struct cf_snapshot *must_parse(const std::string &text,
			       const struct cf_snapshot *base, uint64_t version,
			       bool policy = false)
{
	struct ba_problems problems = {};
	struct cf_snapshot *s = nullptr;
	auto *parse = policy ? cf_parse_policy : cf_parse_configuration;
	int ret =
		parse(text.c_str(), text.size(), base, version, &s, &problems);
	struct ba_buf out = {};

	ba_problems_format(&problems, &out);
	EXPECT_EQ(ret, BA_OK) << ba_buf_text(&out) << text;
	ba_buf_free(&out);
	ba_problems_free(&problems);
	return s;
}

std::string service(const std::string &name, int max = 0, int timeout_ms = 500)
{
	return "[[services]]\nname = \"" + name +
	       "\"\nmax_in_flight = " + std::to_string(max) + "\ntimeout = \"" +
	       std::to_string(timeout_ms) + "ms\"\n";
}

std::string route(const std::string &name, const std::string &path,
		  const std::string &service, const std::string &method = "")
{
	return "[[routes]]\nname = \"" + name + "\"\npath = \"" + path +
	       "\"\nmethod = \"" + method + "\"\nservice = \"" + service +
	       "\"\nidempotent = " + (method == "GET" ? "true" : "false") +
	       "\n";
}

std::string team(const std::string &name, const std::string &key, int rate = 0)
{
	return "[[teams]]\nname = \"" + name + "\"\nkeys = [\"" + key +
	       "\", \"" + key +
	       "-2\"]\ncalls_per_second = " + std::to_string(rate) + "\n";
}

TEST(CfParse, EveryProblemIsReportedWithItsLine)
{
	static const struct {
		bool policy;
		const char *text;
		std::vector<std::pair<int, int>> problems; /* code, line */
	} cases[] = {
		{false, "", {}},
		{false, "[[services", {{BA_SYNTAX, 1}}},
		{false, "[[services]]\nname = \"A\"\n", {{CF_NAME_WRONG, 1}}},
		{false,
		 "[[services]]\nname = \"a\"\nlimit = 1\n\n"
		 "[[services]]\nname = \"b\"\ntimeout = \"5\"\n\n"
		 "[[routes]]\nname = \"r\"\npath = \"/a/\"\nservice = \"c\"\n",
		 {{BA_KEY_UNKNOWN, 3},
		  {BA_UNIT_WRONG, 7},
		  {BA_RANGE_WRONG, 9},
		  {CF_ROUTE_DANGLING, 9}}},
		{false,
		 "[[services]]\nname = \"a\"\n[[services]]\nname = \"a\"\n",
		 {{CF_DUPLICATE_NAME, 3}}},
		{false,
		 "[[services]]\nname = \"a\"\n"
		 "[[routes]]\nname = \"x\"\npath = \"/p\"\nservice = \"a\"\n"
		 "[[routes]]\nname = \"y\"\npath = \"/p\"\nservice = \"a\"\n",
		 {{CF_DUPLICATE_NAME, 7}}},
		{false,
		 "[[services]]\nname = \"a\"\n"
		 "[[routes]]\nname = \"x\"\npath = \"/p\"\nservice = \"a\"\n"
		 "idempotent = true\nupload = true\n"
		 "[[routes]]\nname = \"y\"\npath = \"/q\"\nservice = \"a\"\n"
		 "upload = true\n",
		 {{BA_RANGE_WRONG, 3}}},
		{false, "services = 5\n", {{BA_TYPE_WRONG, 1}}},
		{false,
		 "[[teams]]\nname = \"x\"\nkeys = [\"k\", \"k\"]\n"
		 "[[teams]]\nname = \"y\"\nkeys = [\"l\", \"k\"]\n",
		 {{CF_KEY_SHARED, 4}}},
		{false,
		 "[[teams]]\nname = \"x\"\nkeys = []\n"
		 "[[teams]]\nname = \"x\"\nkeys = [\"a b\"]\n",
		 {{CF_DUPLICATE_NAME, 4}, {BA_RANGE_WRONG, 4}}},
		{false,
		 "[[teams]]\nname = \"x\"\npriority = 1001\n",
		 {{BA_KEY_MISSING, 1}, {BA_RANGE_WRONG, 3}}},
		{false, "[mesh]\ntime_zone = \"UTC\"\n", {{BA_KEY_UNKNOWN, 1}}},
		{false,
		 "[[services]]\nname = \"a\"\ntimeout = \"1500us\"\n",
		 {{BA_RANGE_WRONG, 1}}},
		{true,
		 "[mesh]\ntime_zone = \"No/Where\"\n",
		 {{BA_RANGE_WRONG, 2}}},
		{true,
		 "[mesh]\nconvergence_weight = 0\nbytes_weight = 0\n",
		 {{BA_RANGE_WRONG, 0}}},
		{true,
		 "[[rows]]\nservice = \"zz\"\nweight = 5\n",
		 {{CF_POLICY_ROW_DANGLING, 1}}},
		{true,
		 "[[rows]]\nservice = \"a\"\nweight = 0\n"
		 "[[rows]]\nservice = \"a\"\n[[rows]]\nservice = \"a\"\n",
		 {{BA_RANGE_WRONG, 3}, {CF_DUPLICATE_NAME, 6}}},
	};
	struct cf_snapshot *empty = cf_snapshot_empty();
	struct cf_snapshot *base = must_parse(service("a"), empty, 1);

	for (const auto &c : cases) {
		struct ba_problems problems = {};
		struct cf_snapshot *s = nullptr;
		auto *parse =
			c.policy ? cf_parse_policy : cf_parse_configuration;
		int ret = parse(c.text, strlen(c.text), base, 2, &s, &problems);

		EXPECT_EQ(ret,
			  c.problems.empty() ? BA_OK : problems.list[0].code);
		EXPECT_EQ(s == nullptr, !c.problems.empty()) << c.text;
		std::multiset<std::pair<int, int>> got;

		for (size_t i = 0; i < problems.n; i++)
			got.insert(
				{problems.list[i].code, problems.list[i].line});
		EXPECT_EQ(got, (std::multiset<std::pair<int, int>>(
				       c.problems.begin(), c.problems.end())))
			<< c.text;
		ba_problems_free(&problems);
		cf_snapshot_unref(s);
	}
	cf_snapshot_unref(base);
	cf_snapshot_unref(empty);
}

TEST(CfPolicy, RowsStayWithTheirServiceAndDefaultsFillIn)
{
	struct cf_snapshot *empty = cf_snapshot_empty();
	struct cf_snapshot *one =
		must_parse(service("a") + service("b", 0, 700), empty, 1);
	struct cf_snapshot *two = must_parse(
		"[mesh]\ntime_zone = \"America/Bogota\"\n"
		"convergence_limit = \"4s\"\n"
		"[[rows]]\nservice = \"b\"\nweight = 900\ncalls_limit = 7\n",
		one, 2, true);
	struct cf_snapshot *three =
		must_parse(service("b") + service("c"), two, 3);

	EXPECT_EQ(one->policy.rows[1].deadline, 700 * BA_MS);
	EXPECT_STREQ(two->policy.time_zone, "America/Bogota");
	EXPECT_EQ(two->policy.rows[0].weight, 100u);
	EXPECT_EQ(two->policy.rows[0].convergence_limit, 4 * BA_SECOND);
	EXPECT_EQ(two->policy.rows[1].weight, 900u);
	EXPECT_EQ(two->policy.rows[1].deadline, 700 * BA_MS);
	EXPECT_STREQ(three->policy.time_zone, "America/Bogota");
	EXPECT_EQ(three->policy.rows[0].weight, 900u);
	EXPECT_EQ(three->policy.rows[0].calls_limit, 7u);
	EXPECT_EQ(three->policy.rows[1].weight, 100u);
	for (auto *s : {empty, one, two, three})
		cf_snapshot_unref(s);
}

TEST(CfRoute, LongestPathThenMethod)
{
	static const struct {
		const char *method, *path, *name;
	} cases[] = {
		{"GET", "/", "root"},
		{"GET", "/plan", "root"},
		{"GET", "/plans", "plans-get"},
		{"POST", "/plans", "plans"},
		{"GET", "/plansx", "root"},
		{"GET", "/plans/7/page", "plans-get"},
		{"GET", "/plans/big", "big"},
		{"POST", "/plans/big/9", "big"},
		{"GET", "/plans/bigger", "plans-get"},
		{"GET", "/plans/", "plans-get"},
		{"GET", "//plans", "root"},
		{"GET", "plans", nullptr},
		{"GET", "", nullptr},
	};
	struct cf_snapshot *empty = cf_snapshot_empty();
	struct cf_snapshot *s =
		must_parse(service("a") + route("root", "/", "a") +
				   route("plans", "/plans", "a") +
				   route("plans-get", "/plans", "a", "GET") +
				   route("big", "/plans/big", "a"),
			   empty, 1);

	EXPECT_EQ(cf_route_match_any_host(empty, "GET", "/"), nullptr);
	for (const auto &c : cases) {
		const struct cf_route *r =
			cf_route_match_any_host(s, c.method, c.path);

		EXPECT_STREQ(r ? r->name : nullptr, c.name)
			<< c.method << " " << c.path;
	}
	cf_snapshot_unref(s);
	cf_snapshot_unref(empty);
}

/*
 * A random snapshot.  Names are drawn from a small set, so that two snapshots
 * have entries in common.
 */
struct cf_snapshot *random_snapshot(uint64_t version)
{
	int mask = *rc::gen::inRange(0, 512);
	std::vector<int> names;
	struct cf_snapshot *empty = cf_snapshot_empty();
	std::string text;
	std::string rows = "[mesh]\nbytes_weight = " +
			   std::to_string(*rc::gen::inRange(1, 3)) + "\n";

	for (int n = 0; n < 9; n++)
		if (mask & 1 << n)
			names.push_back(n);
	for (int n : names) {
		text += service("s" + std::to_string(n),
				*rc::gen::inRange(0, 3));
		if (*rc::gen::inRange(0, 2))
			rows += "[[rows]]\nservice = \"s" + std::to_string(n) +
				"\"\nweight = " +
				std::to_string(*rc::gen::inRange(1, 4)) + "\n";
	}
	for (int r = 0; r < 6 && !names.empty(); r++) {
		auto to = *rc::gen::elementOf(names);
		std::string method = *rc::gen::element("", "GET");

		if (!*rc::gen::inRange(0, 2))
			continue;
		text += route("r" + std::to_string(r), "/p" + std::to_string(r),
			      "s" + std::to_string(to), method);
		/* route() makes a GET idempotent, and uploads never are. */
		text += *rc::gen::element("", "download = true\n",
					  method.empty() ? "upload = true\n"
							 : "");
	}
	for (int n = 0; n < 4; n++)
		if (*rc::gen::inRange(0, 2))
			text += team("t" + std::to_string(n),
				     "k" + std::to_string(n) +
					     *rc::gen::element("", "x"),
				     *rc::gen::inRange(0, 3));
	struct cf_snapshot *plain = must_parse(text, empty, version);
	struct cf_snapshot *s = must_parse(rows, plain, version, true);

	cf_snapshot_unref(plain);
	cf_snapshot_unref(empty);
	return s;
}

std::string encode(const struct cf_snapshot *s,
		   enum cf_form form = CF_FORM_DIGESTS)
{
	struct ba_buf b = {};

	cf_snapshot_encode(s, form, &b);
	std::string out((const char *)b.data, b.len);

	ba_buf_free(&b);
	return out;
}

std::string encode_delta(const struct cf_snapshot *from,
			 const struct cf_snapshot *to)
{
	struct ba_buf b = {};

	cf_delta_encode(from, to, CF_FORM_DIGESTS, &b);
	std::string out((const char *)b.data, b.len);

	ba_buf_free(&b);
	return out;
}

RC_GTEST_PROP(CfEncoding, RoundTripKeepsContentAndDigest, ())
{
	struct cf_snapshot *s = random_snapshot(7);
	struct cf_snapshot *back = nullptr;
	std::string text = encode(s);

	RC_ASSERT(cf_snapshot_decode(text.data(), text.size(), &back) == BA_OK);
	RC_ASSERT(encode(back) == text);
	RC_ASSERT(ba_digest_equal(&s->digest, &back->digest));
	cf_snapshot_unref(back);
	cf_snapshot_unref(s);
}

RC_GTEST_PROP(CfDelta, ApplyYieldsTargetAndChecksBase, ())
{
	struct cf_snapshot *from = random_snapshot(3);
	struct cf_snapshot *to = random_snapshot(9);
	struct cf_snapshot *got = nullptr;
	std::string d = encode_delta(from, to);

	RC_ASSERT(cf_delta_apply(from, d.data(), d.size(), &got) == BA_OK);
	RC_ASSERT(encode(got) == encode(to));
	cf_snapshot_unref(got);
	got = nullptr;
	RC_ASSERT(cf_delta_apply(to, d.data(), d.size(), &got) ==
		  CF_DELTA_BASE_WRONG);
	RC_ASSERT(got == nullptr);
	cf_snapshot_unref(from);
	cf_snapshot_unref(to);
}

TEST(CfTeam, IsFoundByNameAndByEachOfItsKeys)
{
	struct cf_snapshot *empty = cf_snapshot_empty();
	struct cf_snapshot *s =
		must_parse(team("b", "k1") + team("a", "k2"), empty, 1);
	static const struct {
		const char *key, *name;
	} cases[] = {
		{"k1", "b"}, {"k1-2", "b"}, {"k2", "a"},
		{"k", NULL}, {"k2-2", "a"}, {"", NULL},
	};

	for (const auto &c : cases) {
		struct ba_digest digest = ba_digest(c.key, strlen(c.key));
		const struct cf_team *t = cf_team_find_key(s, &digest);

		EXPECT_EQ(t, c.name ? cf_team_find(s, c.name) : nullptr)
			<< c.key;
		EXPECT_EQ(cf_team_find_key(empty, &digest), nullptr);
	}
	EXPECT_STREQ(cf_team_find(s, "a")->name, "a");
	EXPECT_EQ(cf_team_find(s, "c"), nullptr);
	cf_snapshot_unref(s);
	cf_snapshot_unref(empty);
}

/* Guards against review/13: a list without teams was taken for no list. */
TEST(CfTeam, EmptyListIsNotNone)
{
	const std::string texts[] = {"", "teams = []\n", team("a", "secret")};
	struct cf_snapshot *empty = cf_snapshot_empty();

	for (const std::string &before : texts) {
		struct cf_snapshot *from = must_parse(before, empty, 1);

		EXPECT_EQ(from->has_teams, !before.empty());
		for (const std::string &after : texts) {
			struct cf_snapshot *to = must_parse(after, from, 2);
			bool same = before == after;

			EXPECT_EQ(to->has_teams, !after.empty());
			EXPECT_EQ(ba_digest_equal(&from->digest, &to->digest),
				  same);
			for (auto form : {CF_FORM_DIGESTS, CF_FORM_KEYS}) {
				std::string text = encode(to, form);
				struct cf_snapshot *back = nullptr;
				struct cf_snapshot *next = nullptr;
				struct ba_buf delta = {};

				ASSERT_EQ(cf_snapshot_decode(text.data(),
							     text.size(),
							     &back),
					  BA_OK);
				EXPECT_EQ(back->has_teams, to->has_teams);
				cf_delta_encode(from, to, form, &delta);
				ASSERT_EQ(cf_delta_apply(from, delta.data,
							 delta.len, &next),
					  BA_OK);
				EXPECT_EQ(next->has_teams, to->has_teams);
				cf_snapshot_unref(back);
				cf_snapshot_unref(next);
				ba_buf_free(&delta);
			}
			cf_snapshot_unref(to);
		}
		cf_snapshot_unref(from);
	}
	cf_snapshot_unref(empty);
}

TEST(CfTeam, OnlyTheFormOfTheCoreHoldsKeys)
{
	struct cf_snapshot *empty = cf_snapshot_empty();
	struct cf_snapshot *s = must_parse(team("a", "secret"), empty, 1);

	for (auto form : {CF_FORM_DIGESTS, CF_FORM_KEYS}) {
		bool keys = form == CF_FORM_KEYS;
		std::string text = encode(s, form);
		struct cf_snapshot *back = nullptr;

		EXPECT_EQ(text.find("secret") != text.npos, keys);
		ASSERT_EQ(cf_snapshot_decode(text.data(), text.size(), &back),
			  BA_OK);
		EXPECT_TRUE(ba_digest_equal(&back->digest, &s->digest));
		EXPECT_EQ(back->teams[0].key_texts != nullptr, keys);
		EXPECT_EQ(encode(back, form), text);
		cf_snapshot_unref(back);
	}
	cf_snapshot_unref(s);
	cf_snapshot_unref(empty);
}

/*
 * A flipped bit may leave an encoding of the same content, or change the target
 * version, which the caller compares.  In every other case the delta must be
 * refused.
 */
RC_GTEST_PROP(CfDelta, CorruptDeltaIsNeverPartlyApplied, ())
{
	struct cf_snapshot *from = random_snapshot(3);
	struct cf_snapshot *to = random_snapshot(9);
	std::string before = encode(from);
	std::string d = encode_delta(from, to);

	for (size_t bit = 0; bit < d.size() * 8; bit++) {
		struct cf_snapshot *got = nullptr;
		std::string bad = d;

		bad[bit / 8] = (char)(bad[bit / 8] ^ (1 << bit % 8));
		if (cf_delta_apply(from, bad.data(), bad.size(), &got)) {
			RC_ASSERT(got == nullptr);
			continue;
		}
		RC_ASSERT(ba_digest_equal(&got->digest, &to->digest));
		RC_ASSERT(got->version > from->version);
		cf_snapshot_unref(got);
	}
	RC_ASSERT(encode(from) == before);
	cf_snapshot_unref(from);
	cf_snapshot_unref(to);
}

/*
 * A delta that lost one of its changes is refused because of its digest.  With
 * the digest replaced by that of the partial result, as if digests were not
 * compared, the delta is applied, and the comparison of digests in
 * CorruptDeltaIsNeverPartlyApplied detects it.
 */
TEST(CfBroken, DigestDetectsMissingChange)
{
	struct cf_snapshot *empty = cf_snapshot_empty();
	struct cf_snapshot *from =
		must_parse(service("a") + service("b"), empty, 3);
	struct cf_snapshot *to = must_parse(service("a", 5) + service("b", 6) +
						    route("r", "/p", "b"),
					    from, 9);
	struct cf_snapshot *partial = must_parse(
		service("a", 5) + service("b") + route("r", "/p", "b"), from,
		9);
	std::string d = encode_delta(from, to);
	CfDelta *m = cf_delta__unpack(nullptr, d.size(), (uint8_t *)d.data());
	struct cf_snapshot *got = nullptr;

	ASSERT_EQ(m->n_put_services, 2u);
	cf_service__free_unpacked(m->put_services[--m->n_put_services],
				  nullptr);
	d.resize(cf_delta__get_packed_size(m));
	cf_delta__pack(m, (uint8_t *)d.data());
	EXPECT_EQ(cf_delta_apply(from, d.data(), d.size(), &got),
		  CF_DIGEST_WRONG);
	EXPECT_EQ(got, nullptr);
	memcpy(m->to_digest.data, partial->digest.bytes, BA_DIGEST_BYTES);
	cf_delta__pack(m, (uint8_t *)d.data());
	ASSERT_EQ(cf_delta_apply(from, d.data(), d.size(), &got), BA_OK);
	EXPECT_FALSE(ba_digest_equal(&got->digest, &to->digest));
	cf_delta__free_unpacked(m, nullptr);
	for (auto *s : {empty, from, to, partial, got})
		cf_snapshot_unref(s);
}

RC_GTEST_PROP(CfEncoding, RandomBytesAreRefusedOrDecoded,
	      (const std::string &text))
{
	struct cf_snapshot *s = nullptr;
	struct cf_snapshot *empty = cf_snapshot_empty();

	if (cf_snapshot_decode(text.data(), text.size(), &s) == BA_OK)
		RC_ASSERT(s != nullptr);
	cf_snapshot_unref(s);
	s = nullptr;
	RC_ASSERT(cf_delta_apply(empty, text.data(), text.size(), &s) != BA_OK);
	RC_ASSERT(s == nullptr);
	cf_snapshot_unref(empty);
}

TEST(SharedCf, ReferencesFromManyThreads)
{
	struct cf_snapshot *s = cf_snapshot_empty();
	std::vector<std::thread> threads;

	for (int i = 0; i < 4; i++)
		threads.emplace_back([s] {
			for (int n = 0; n < 10000; n++)
				cf_snapshot_unref(cf_snapshot_ref(s));
		});
	for (auto &t : threads)
		t.join();
	EXPECT_EQ(s->version, 0u);
	cf_snapshot_unref(s);
}

} // namespace
