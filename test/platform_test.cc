#include <gtest/gtest.h>

#include <cstring>
#include <jansson.h>
#include <string>

#include "base/ba_result.h"
#include "call/cl_quota.h"
#include "platform/pf.h"
#include "test/proxy_world.h"

namespace
{

/* The text of the test configuration, with @from replaced by @to. */
std::string configuration_with(const char *from, const char *to)
{
	std::string text = proxy_world::configuration;
	size_t at = text.find(from);

	EXPECT_NE(at, std::string::npos) << from;
	return text.replace(at, strlen(from), to);
}

/*
 * Submits a configuration.  Returns the code of the first problem and sets @key
 * to its key and @expected to its description, or returns BA_OK.
 */
int submit(const std::string &text, std::string *key,
	   std::string *expected = nullptr)
{
	struct cf_snapshot *none = cf_snapshot_empty();
	struct cf_snapshot *s = nullptr;
	struct ba_problems problems = {};
	struct ba_buf packed = {};
	int code = BA_OK;

	if (!pf_operators.read_configuration(text.data(), text.size(), &packed,
					     &problems))
		code = problems.list[0].code;
	else
		code = cf_snapshot_decode_submission(packed.data, packed.len,
						     none, 1, &s, &problems);
	if (problems.n)
		*key = problems.list[0].key;
	if (problems.n && expected)
		*expected = problems.list[0].expected;
	cf_snapshot_unref(s);
	cf_snapshot_unref(none);
	ba_problems_free(&problems);
	ba_buf_free(&packed);
	return code;
}

TEST(PfConfiguration, ReadReturnsWhatWasSubmitted)
{
	struct cf_snapshot *s = proxy_world::snapshot();
	struct ba_buf out = {};
	json_error_t error;
	json_t *sent = json_loads(
		configuration_with("\"9s\"", "\"9000ms\"").c_str(), 0, &error);
	json_t *back;

	pf_operators.write_configuration(s, &out);
	back = json_loads(ba_buf_text(&out), 0, &error);
	ASSERT_TRUE(sent && back);
	EXPECT_STREQ(json_string_value(json_object_get(back, "version")),
		     "0000002a");
	EXPECT_TRUE(json_equal(json_object_get(sent, "limits"),
			       json_object_get(back, "limits")));
	json_t *rows = json_object_get(json_object_get(back, "routes"), "rows");

	EXPECT_EQ(json_array_size(rows), 5u);
	/* Rows are returned sorted by name, with the values that were sent. */
	for (size_t i = 0; i < json_array_size(rows); i++) {
		json_t *row = json_array_get(rows, i);
		json_t *sent_rows = json_object_get(
			json_object_get(sent, "routes"), "rows");
		bool found = false;

		for (size_t j = 0; j < json_array_size(sent_rows); j++) {
			json_t *sent_row = json_array_get(sent_rows, j);

			/* Columns 4 and 5 are times, returned in ms. */
			for (size_t k = 4; k < 6; k++) {
				json_t *t = json_array_get(sent_row, k);

				if (!strcmp(json_string_value(t), "9s"))
					json_array_set_new(
						sent_row, k,
						json_string("9000ms"));
			}
			found |= json_equal(sent_row, row);
		}
		EXPECT_TRUE(found) << json_dumps(row, 0);
	}
	json_decref(sent);
	json_decref(back);
	ba_buf_free(&out);
	cf_snapshot_unref(s);
}

/* Also once its delta has been applied by another replica. */
TEST(PfConfiguration, ServiceNamedBesideASplitIsReadBack)
{
	struct cf_snapshot *sent = proxy_world::snapshot(configuration_with(
		"\"weight\":1}],2,null]", "\"weight\":1}],2,\"none\"]"));
	struct cf_snapshot *before = proxy_world::snapshot();
	struct cf_snapshot *next =
		cf_snapshot_set_rollouts(sent, nullptr, 0, 2);
	struct cf_snapshot *s = nullptr;
	struct ba_buf delta = {};
	struct ba_buf out = {};

	cf_delta_encode(before, next, CF_FORM_KEYS, &delta);
	ASSERT_EQ(cf_delta_apply(before, delta.data, delta.len, &s), BA_OK);
	pf_operators.write_configuration(s, &out);
	EXPECT_TRUE(proxy_world::has(
		ba_buf_text(&out),
		"{\"service\":\"none\",\"weight\":1}],2,\"none\"]"));
	ba_buf_free(&delta);
	ba_buf_free(&out);
	cf_snapshot_unref(s);
	cf_snapshot_unref(next);
	cf_snapshot_unref(before);
	cf_snapshot_unref(sent);
}

/* The test configuration with teams and, in all routes, the column of @open. */
std::string configuration_with_teams(const char *rows, const char *open)
{
	std::string text = proxy_world::configuration;
	const std::string column = ",\"service\"],\"rows\"";
	size_t at = text.find(column) + column.size() - 8;
	size_t end = text.find("]]}", at);

	text.insert(text.size() - 1,
		    std::string(",\"tenants\":{\"columns\":[\"name\",") +
			    "\"api_keys\",\"priority\",\"rate_per_s\","
			    "\"burst\"],\"rows\":[" +
			    rows + "]}");
	text.insert(end, std::string(",") + open);
	text.insert(at, ",\"auth_exempt\"");
	return text;
}

TEST(PfConfiguration, TeamsAreReadBackAsTheyWereSent)
{
	static const char *const rows =
		"[\"b\",[\"k2\",\"k1\"],3,539,0],[\"d\",[],0,null,7],"
		"[\"c\",[\"k3\"],null,0,null]";
	std::string text = configuration_with_teams(rows, "true");
	struct cf_snapshot *s = proxy_world::snapshot(text);
	struct ba_buf out = {};
	json_t *sent = json_loads(text.c_str(), 0, nullptr);
	json_t *back;

	pf_operators.write_configuration(s, &out);
	back = json_loads(ba_buf_text(&out), 0, nullptr);
	ASSERT_TRUE(sent && back);
	json_t *want = json_object_get(sent, "tenants");
	json_t *list = json_object_get(want, "rows");
	json_t *d = json_incref(json_array_get(list, 1));

	/* Rows are returned sorted by name. */
	json_array_remove(list, 1);
	json_array_append_new(list, d);
	EXPECT_TRUE(json_equal(want, json_object_get(back, "tenants")))
		<< ba_buf_text(&out);
	EXPECT_TRUE(proxy_world::has(ba_buf_text(&out),
				     "\"service\",\"auth_exempt\"]"));
	EXPECT_TRUE(s->routes[s->n_routes - 1].open);
	EXPECT_FALSE(s->routes[0].open);
	json_decref(sent);
	json_decref(back);
	ba_buf_free(&out);
	cf_snapshot_unref(s);
}

/* Guards against review/13: a table without rows was not read back. */
TEST(PfConfiguration, EmptyTableOfTeamsIsOne)
{
	const std::string plain = proxy_world::configuration;
	std::string null_table = plain;

	null_table.insert(null_table.size() - 1, ",\"tenants\":null");
	const struct {
		std::string text;
		bool has_teams;
	} cases[] = {
		{plain, false},
		{null_table, false},
		{configuration_with_teams("", "true"), true},
	};

	for (const auto &c : cases) {
		struct cf_snapshot *s = proxy_world::snapshot(c.text);
		struct ba_buf out = {};

		pf_operators.write_configuration(s, &out);
		EXPECT_EQ(s->has_teams, c.has_teams) << c.text;
		EXPECT_EQ(proxy_world::has(ba_buf_text(&out), "\"tenants\":{"),
			  c.has_teams)
			<< ba_buf_text(&out);
		ba_buf_free(&out);
		cf_snapshot_unref(s);
	}
}

TEST(PfConfiguration, WrongTeamsAreRefusedByName)
{
	static const struct {
		const char *name, *rows, *key, *named;
	} cases[] = {
		{"shared key",
		 "[\"a\",[\"k\",\"l\"],1,1,1],[\"b\",[\"l\"],1,1,1]",
		 "teams.keys", "\"a\" and \"b\""},
		{"two of a name", "[\"a\",[\"k\"],1,1,1],[\"a\",[],1,1,1]",
		 "teams.name", "\"a\""},
		{"blank in a key", "[\"a\",[\"k l\"],1,1,1]", "teams.keys",
		 "\"a\""},
		{"keys of another type", "[\"a\",\"k\",1,1,1]", "tenants",
		 "\"a\""},
		{"key of another type", "[\"a\",[5],1,1,1]", "tenants",
		 "\"a\""},
		{"negative rate", "[\"a\",[\"k\"],1,-1,1]", "tenants", "\"a\""},
		{"row cut short", "[\"a\",[\"k\"],1", "body", ""},
		{"no name", "[null,[\"k\"],1,1,1]", "tenants", "row 1"},
	};

	for (const auto &c : cases) {
		std::string key;
		std::string expected;
		int code = submit(configuration_with_teams(c.rows, "false"),
				  &key, &expected);

		EXPECT_NE(code, BA_OK) << c.name;
		EXPECT_EQ(key, c.key) << c.name;
		EXPECT_TRUE(proxy_world::has(expected, c.named)) << expected;
	}
}

/* What is read back of a configuration that is accepted. */
std::string accepted(const std::string &text)
{
	std::string key;
	std::string expected;
	struct ba_buf out = {};

	EXPECT_EQ(submit(text, &key, &expected), BA_OK)
		<< key << ": " << expected << "\n"
		<< text;
	struct cf_snapshot *s = proxy_world::snapshot(text);

	pf_operators.write_configuration(s, &out);
	std::string back = ba_buf_text(&out);

	ba_buf_free(&out);
	cf_snapshot_unref(s);
	return back;
}

/* Guards against names and numbers that the platform allows and we refused. */
TEST(PfConfiguration, AllThatIsNotInvalidIsAccepted)
{
	const std::string long_name(CF_NAME_BYTES, 'n');
	const std::string long_path = "/" + std::string(1000, 'p') + "/";
	const struct {
		std::string from, to, back;
	} cases[] = {
		{"[\"look\"", "[\"Look_1.a b\"", "[\"Look_1.a b\""},
		{"[\"look\"", "[\"" + long_name + "\"", long_name},
		{"\"300ms\",2,null,2", "\"300ms\",70000,null,2", "70000"},
		{"\"300ms\",2,null,2", "\"300ms\",2.0,null,2.0",
		 "\"300ms\",2,null,2"},
		{"\"300ms\",2,null,2", "\"300ms\",2,null,5000", "2,null,5000"},
		{"/look/", long_path, long_path},
		{"\"9000ms\"", "\"2.5s\"", "\"2500ms\""},
		{"4096", "4096.0", "4096"},
		{"100000", "100000.0", "100000"},
		{"100000", "9007199254740993", "9007199254740993"},
	};

	for (const auto &c : cases) {
		std::string back = accepted(
			configuration_with(c.from.c_str(), c.to.c_str()));

		EXPECT_TRUE(proxy_world::has(back, c.back)) << back;
	}
	std::string back = accepted(configuration_with_teams(
		"[\"Red Team.1_A\",[\"k\"],70000,5.0,1]", "true"));

	EXPECT_TRUE(
		proxy_world::has(back, "[\"Red Team.1_A\",[\"k\"],70000,5,1]"))
		<< back;
}

/* Guards against weights and rates with a fraction, which were refused. */
TEST(PfConfiguration, FractionsAreReadBackAsTheyWereSent)
{
	std::string text = configuration_with_teams(
		"[\"a\",[\"k\"],null,0.25,2.5],[\"b\",[],null,1e12,7]", "true");
	const std::string weights =
		"\"weight\":3},{\"service\":\"none\",\"weight\":1}";

	text.replace(text.find(weights), weights.size(),
		     "\"weight\":99.5},{\"service\":\"none\",\"weight\":0.5}");
	std::string back = accepted(text);

	for (const char *part : {"\"weight\":99.5}", "\"weight\":0.5}",
				 ",0.25,2.5]", ",1000000000000,7]"})
		EXPECT_TRUE(proxy_world::has(back, part)) << part << back;

	struct cf_snapshot *s = proxy_world::snapshot(text);
	struct cf_snapshot *empty = cf_snapshot_empty();
	struct cf_snapshot *next = nullptr;
	struct cl_quota_limit limits[2];
	struct ba_buf delta = {};

	/* The same by a delta, as proxies get it. */
	cf_delta_encode(empty, s, CF_FORM_DIGESTS, &delta);
	ASSERT_EQ(cf_delta_apply(empty, delta.data, delta.len, &next), BA_OK);
	EXPECT_EQ(next->routes[4].parts[0].weight, 99.5);
	ASSERT_EQ(cl_quota_read_limits(next, limits), 2u);
	EXPECT_EQ(limits[0].rate, 0.25);
	EXPECT_EQ(limits[0].burst, 2.5);
	EXPECT_EQ(limits[1].burst, 7);
	ba_buf_free(&delta);
	cf_snapshot_unref(next);
	cf_snapshot_unref(empty);
	cf_snapshot_unref(s);
}

/* One case per kind of error, with the field that must be reported. */
TEST(PfConfiguration, ErrorNamesTheWrongField)
{
	static const struct {
		const char *name, *from, *to, *key;
		const char *entry; /* that is named, or "" */
	} cases[] = {
		{"cut short", "\"limits\"", "", "body", ""},
		{"version", "\"0000002a\"", "\"xyz\"", "version", ""},
		{"long version", "\"0000002a\"", "\"00000002a\"", "version",
		 ""},
		{"no routes", "\"routes\"", "\"roads\"", "routes", ""},
		{"unknown service", "2,\"stock\"]", "2,\"gone\"]",
		 "routes.service", "look"},
		{"unknown part", "{\"service\":\"none\"",
		 "{\"service\":\"gone\"", "routes.split.service", "split"},
		{"unknown service beside a split", "\"weight\":1}],2,null]",
		 "\"weight\":1}],2,\"gone\"]", "routes.service", "split"},
		{"empty service beside a split", "\"weight\":1}],2,null]",
		 "\"weight\":1}],2,\"\"]", "routes", "split"},
		{"service of another type beside a split",
		 "\"weight\":1}],2,null]", "\"weight\":1}],2,7]", "routes",
		 "split"},
		{"sum of weights 0",
		 "\"weight\":3},{\"service\":\"none\",\"weight\":1}",
		 "\"weight\":0},{\"service\":\"none\",\"weight\":0}",
		 "routes.split.weight", "split"},
		{"weight below 0", "\"weight\":3}", "\"weight\":-0.5}",
		 "routes", "split"},
		{"weight of another type", "\"weight\":3}", "\"weight\":\"3\"}",
		 "routes", "split"},
		{"timeout of 0", "\"9000ms\"", "\"0ms\"", "routes.timeout",
		 "look"},
		{"timeout without a unit", "\"9000ms\"", "9000", "routes",
		 "look"},
		{"target far above the timeout", "\"9s\",\"400ms\"",
		 "\"9s\",\"69s\"", "routes.latency_target", "book"},
		{"unknown kind", "\"non_idempotent\"", "\"maybe\"", "routes",
		 "book"},
		{"two routes with one path", "/book/", "/look/", "routes.path",
		 "look"},
		{"limits", "4096", "\"4096\"", "limits", ""},
		{"size with a fraction", "4096", "4096.5", "limits", ""},
		{"size below 0", "100000", "-1", "limits", ""},
		{"blank before a name", "[\"look\"", "[\" look\"",
		 "routes.name", "look"},
		{"line feed in a name", "[\"look\"", "[\"lo\\nok\"",
		 "routes.name", ""},
		{"empty name", "[\"look\"", "[\"\"", "routes.name", ""},
		{"priority below 0", "\"300ms\",2,", "\"300ms\",-2,", "routes",
		 "look"},
		{"priority with a fraction", "\"300ms\",2,", "\"300ms\",2.5,",
		 "routes", "look"},
		{"tls of another type", "10,\"h1\",false", "10,\"h1\",\"no\"",
		 "services", "stock"},
		{"time with two points", "\"9000ms\"", "\"1.2.3s\"", "routes",
		 "look"},
		{"time with an exponent", "\"9000ms\"", "\"1e3s\"", "routes",
		 "look"},
		{"time in hexadecimal", "\"9000ms\"", "\"0x9s\"", "routes",
		 "look"},
		{"time in another unit", "\"9000ms\"", "\"9000us\"", "routes",
		 "look"},
	};

	for (const auto &c : cases) {
		std::string key;
		std::string expected;
		int code = submit(configuration_with(c.from, c.to), &key,
				  &expected);

		EXPECT_NE(code, BA_OK) << c.name;
		EXPECT_EQ(key, c.key) << c.name;
		EXPECT_TRUE(proxy_world::has(expected, c.entry)) << expected;
	}
}

TEST(PfConfiguration, BorderlineValuesAreAccepted)
{
	static const struct {
		const char *name, *from, *to;
	} cases[] = {
		{"as it is", "\"version\"", "\"version\""},
		{"target a little above the timeout", "\"9s\",\"400ms\"",
		 "\"9s\",\"68s\""},
		{"one part with weight 0", "\"weight\":3", "\"weight\":0"},
		{"unknown fields", "{\"version\"", "{\"new\":[1],\"version\""},
		{"fractions", "\"9000ms\"", "\"0.5s\""},
		{"known service beside a split", "\"weight\":1}],2,null]",
		 "\"weight\":1}],2,\"none\"]"},
	};

	for (const auto &c : cases) {
		std::string key;

		EXPECT_EQ(submit(configuration_with(c.from, c.to), &key), BA_OK)
			<< c.name << " " << key;
	}
}

TEST(PfHeartbeat, MalformedBodyIsRefused)
{
	static const char *const valid =
		"{\"service\":\"s\",\"address\":\"a\",\"zone\":\"z\","
		"\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","
		"\"cold_left\":\"1.5s\",\"sequence\":4,\"born\":17}";
	static const struct {
		const char *name, *from, *to;
		bool ok;
	} cases[] = {
		{"as it is", "\"s\"", "\"s\"", true},
		{"no start time", ",\"born\":17", "", true},
		{"unknown field", "\"zone\"", "\"place\":1,\"zone\"", true},
		{"no zone", "\"zone\"", "\"place\"", false},
		{"zone of another type", "\"z\"", "5", false},
		{"no version", "\"version\"", "\"release\"", false},
		{"no cold start", "\"cold_left\"", "\"cold\"", false},
		{"no address", "\"address\"", "\"at\"", false},
		{"no sequence", "\"sequence\"", "\"number\"", false},
		{"no service", "\"service\"", "\"servant\"", false},
		{"service of another type", "\"s\"", "5", false},
		{"no slots", "\"slots\":4", "\"slots\":0", false},
		{"slots of another type", "\"slots\":4", "\"slots\":\"4\"",
		 false},
		{"unknown state", "ready", "steady", false},
		{"start time as a fraction", ":17", ":17.5", false},
		{"time without a unit", "1.5s", "15", false},
		{"not UTF-8", "{", "\xff\xfe", false},
		{"NUL in a name", "\"s\"", "\"s\\u0000t\"", false},
	};

	for (const auto &c : cases) {
		std::string text = valid;
		struct px_heartbeat b = {};

		text.replace(text.find(c.from), strlen(c.from), c.to);
		EXPECT_EQ(pf_proxy.read_heartbeat(text.data(), text.size(), &b),
			  c.ok)
			<< c.name;
	}
	struct px_heartbeat b = {};

	/* A roll-out may name a version of as many characters. */
	for (int len : {(int)CF_NAME_BYTES, CF_NAME_BYTES + 1}) {
		std::string text = valid;

		text.replace(text.find("v1"), 2, std::string((size_t)len, 'v'));
		EXPECT_EQ(pf_proxy.read_heartbeat(text.data(), text.size(), &b),
			  len == CF_NAME_BYTES);
	}
	EXPECT_FALSE(pf_proxy.read_heartbeat(nullptr, 0, &b));
	ASSERT_TRUE(pf_proxy.read_heartbeat(valid, strlen(valid), &b));
	EXPECT_EQ(b.cold_time, 1500 * BA_MS);
	EXPECT_EQ(b.sequence, 4);
	EXPECT_EQ(b.start_wall_ms, 17);
	EXPECT_EQ(b.slots, 4u);
}

TEST(PfControl, CallsByMethodAndPath)
{
	static const struct {
		const char *method, *target;
		enum px_control call;
	} cases[] = {
		{"GET", "/v1/ready", PX_CONTROL_READY},
		{"POST", "/v1/ready", PX_CONTROL_UNKNOWN},
		{"POST", "/v1/instances/i-1/heartbeat", PX_CONTROL_HEARTBEAT},
		{"POST", "/v1/instances/i-1/deregister", PX_CONTROL_DEREGISTER},
		{"POST", "/v1/instances//heartbeat", PX_CONTROL_UNKNOWN},
		{"POST", "/v1/instances/i-1", PX_CONTROL_UNKNOWN},
		{"GET", "/v1/instances/i-1/heartbeat", PX_CONTROL_UNKNOWN},
		{"POST", "/", PX_CONTROL_UNKNOWN},
	};

	for (const auto &c : cases) {
		char backend[PX_ID_BYTES] = "";

		EXPECT_EQ(pf_proxy.read_control(c.method, c.target, backend),
			  c.call)
			<< c.method << " " << c.target;
		if (c.call == PX_CONTROL_HEARTBEAT) {
			EXPECT_STREQ(backend, "i-1");
		}
	}
}

/* Reads an answer with @fields, each "name: value" ended by CR LF. */
struct px_answer_fields read_answer(const std::string &fields)
{
	struct px_answer_fields out = {};
	struct ht_field list[4] = {};
	struct ht_head h = {};
	std::string text;

	h.fields = list;
	for (size_t at = 0, end; at < fields.size(); at = end + 2) {
		size_t colon = fields.find(": ", at);

		end = fields.find("\r\n", at);
		list[h.n_fields].name = (uint32_t)text.size();
		text += fields.substr(at, colon - at) + '\0';
		list[h.n_fields++].value = (uint32_t)text.size();
		text += fields.substr(colon + 2, end - colon - 2) + '\0';
	}
	h.text.data = (uint8_t *)text.data();
	h.text.len = text.size();
	pf_proxy.read_answer(&h, &out);
	return out;
}

TEST(PfAnswer, LoadOfEachCase)
{
	const struct {
		const char *value;
		uint32_t running, waiting, speed;
	} cases[] = {
		{"3,0,8", 3, 0, 0},
		{"18,4,18,250", 18, 4, 250},
		{"0,0,18,60", 0, 0, 60},
		{"3,0,8,100,7", 0, 0, 0},
		{"3,0,8,", 0, 0, 0},
		{"3,0,8,fast", 0, 0, 0},
		{"-3,0,8,100", 0, 0, 0},
		{"3 ,0,8,100", 0, 0, 0},
		{"", 0, 0, 0},
		{"3,0,8,99999999999999999999", 0, 0, 0},
	};

	for (const auto &c : cases) {
		struct px_stated_load got =
			read_answer("X-Server-Load: " + std::string(c.value) +
				    "\r\n")
				.load;

		EXPECT_EQ(got.running, c.running) << c.value;
		EXPECT_EQ(got.waiting, c.waiting) << c.value;
		EXPECT_EQ(got.speed, c.speed) << c.value;
	}
}

TEST(PfAnswer, LimitAndDepartureOfEachCase)
{
	static const struct {
		const char *name, *fields;
		enum cl_limit_field limit;
		double per_second;
		bool leaving;
	} cases[] = {
		{"none", "", CL_LIMIT_ABSENT, 0, false},
		{"fraction", "Server-Limit: 19.9\r\n", CL_LIMIT_STATED, 19.9,
		 false},
		{"other case of letters", "server-limit: 7\r\n",
		 CL_LIMIT_STATED, 7, false},
		{"zero", "Server-Limit: 0\r\n", CL_LIMIT_STATED, 0, false},
		{"zero with a fraction", "Server-Limit: 0.0\r\n",
		 CL_LIMIT_STATED, 0, false},
		{"huge", "Server-Limit: 99999999999999999999\r\n",
		 CL_LIMIT_STATED, 1e20, false},
		{"point first", "Server-Limit: .5\r\n", CL_LIMIT_STATED, .5,
		 false},
		{"empty", "Server-Limit: \r\n", CL_LIMIT_MALFORMED, 0, false},
		{"word", "Server-Limit: many\r\n", CL_LIMIT_MALFORMED, 0,
		 false},
		{"negative", "Server-Limit: -3\r\n", CL_LIMIT_MALFORMED, 0,
		 false},
		{"exponent", "Server-Limit: 1e3\r\n", CL_LIMIT_MALFORMED, 0,
		 false},
		{"infinite", "Server-Limit: inf\r\n", CL_LIMIT_MALFORMED, 0,
		 false},
		{"not a number", "Server-Limit: nan\r\n", CL_LIMIT_MALFORMED, 0,
		 false},
		{"hexadecimal", "Server-Limit: 0x10\r\n", CL_LIMIT_MALFORMED, 0,
		 false},
		{"two points", "Server-Limit: 1.2.3\r\n", CL_LIMIT_MALFORMED, 0,
		 false},
		{"a point alone", "Server-Limit: .\r\n", CL_LIMIT_MALFORMED, 0,
		 false},
		{"unit", "Server-Limit: 5/s\r\n", CL_LIMIT_MALFORMED, 0, false},
		{"two fields", "Server-Limit: 5\r\nServer-Limit: 6\r\n",
		 CL_LIMIT_MALFORMED, 0, false},
		{"leaving", "Server-Leaving: 1\r\n", CL_LIMIT_ABSENT, 0, true},
		{"both", "Server-Leaving: 1\r\nServer-Limit: 2.5\r\n",
		 CL_LIMIT_STATED, 2.5, true},
		{"not leaving", "Server-Leaving: 0\r\n", CL_LIMIT_ABSENT, 0,
		 false},
		{"malformed departure", "Server-Leaving: soon\r\n",
		 CL_LIMIT_ABSENT, 0, false},
	};

	for (const auto &c : cases) {
		struct px_answer_fields got = read_answer(c.fields);

		EXPECT_EQ(got.statement.limit, c.limit) << c.name;
		EXPECT_DOUBLE_EQ(got.statement.per_second, c.per_second)
			<< c.name;
		EXPECT_EQ(got.statement.leaving, c.leaving) << c.name;
	}
}

TEST(PfRollout, CallsOrdersAndStates)
{
	static const struct {
		const char *method;
		const char *target;
		so_call call;
		const char *service; /* NULL: names none */
	} calls[] = {
		{"POST", "/v1/rollouts/start", SO_CALL_ROLLOUT_ORDER, nullptr},
		{"GET", "/v1/rollouts/start", SO_CALL_UNKNOWN, nullptr},
		{"GET", "/v1/rollouts/huvo/read", SO_CALL_ROLLOUT_READ, "huvo"},
		{"GET", "/v1/rollouts//read", SO_CALL_ROLLOUT_READ, nullptr},
		{"GET", "/v1/rollouts/a/b/read", SO_CALL_ROLLOUT_READ, nullptr},
		{"POST", "/v1/rollouts/huvo/read", SO_CALL_UNKNOWN, nullptr},
	};
	static const struct {
		const char *body;
		bool ok;
	} orders[] = {
		{R"({"service":"a","target_version":"v2","duration":"12s"})",
		 true},
		{R"({"service":"a","target_version":"v2","duration":"0s"})",
		 false},
		{R"({"service":"a","target_version":"v2"})", false},
		{R"({"service":"a","target_version":2,"duration":"1s"})",
		 false},
		{R"({"service":)", false},
	};
	struct cf_rollout r = {};
	struct ba_buf out = {};

	for (auto &c : calls) {
		char service[CF_NAME_BYTES + 1] = "";

		EXPECT_EQ(pf_operators.read_call(c.method, c.target), c.call)
			<< c.target;
		if (c.call != SO_CALL_ROLLOUT_READ)
			continue;
		EXPECT_EQ(pf_operators.read_rollout_service(c.target, service),
			  c.service != nullptr)
			<< c.target;
		EXPECT_STREQ(service, c.service ? c.service : "");
	}
	for (auto &c : orders) {
		struct ba_problems problems = {};
		void *keep = nullptr;

		out.len = 0;
		ASSERT_EQ(pf_operators.read_order(c.body, strlen(c.body), &out,
						  &problems),
			  c.ok)
			<< c.body;
		EXPECT_EQ(problems.n == 0, c.ok);
		ba_problems_free(&problems);
		if (!c.ok)
			continue;
		ASSERT_TRUE(cf_rollout_decode(out.data, out.len, &r, &keep));
		EXPECT_STREQ(r.target, "v2");
		EXPECT_EQ(r.duration, 12 * BA_SECOND);
		cf_rollout_release(keep);
	}
	r.target = "v2";
	r.state = CF_ROLLOUT_ROLLED_BACK;
	out.len = 0;
	pf_operators.write_rollout(&r, &out);
	EXPECT_STREQ(ba_buf_text(&out),
		     "{\"state\":\"rolled_back\",\"target_version\":\"v2\"}");
	ba_buf_free(&out);
}

} // namespace
