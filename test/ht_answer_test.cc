#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "http/ht_answer.h"
#include "test/answer_cases.h"

namespace
{

/* An answer as the reader saw it. */
struct reading {
	bool complete = false;
	int status = 0;
	enum ht_flaw flaw = HT_FLAW_NONE;
	std::string fields;
	std::string body;
};

struct reader {
	struct ht_head head = {};
	struct ht_message answer = {};
	reading r;

	explicit reader(size_t head_limit = 1024, bool no_body = false)
	{
		answer.head = &head;
		answer.head_limit = head_limit;
		answer.no_body = no_body;
		ht_answer_begin(&answer);
	}
	~reader()
	{
		ht_message_free(&answer);
		ht_head_free(&head);
	}

	/* Whether more bytes are needed. */
	bool read(const std::string &bytes)
	{
		struct ht_bytes in = {bytes.data(), bytes.size()};
		struct ht_bytes body = {};

		for (;;) {
			switch (ht_message_read(&answer, &in, &body)) {
			case HT_STEP_MORE:
				EXPECT_EQ(in.len, 0U);
				return true;
			case HT_STEP_HEAD:
				note_head();
				break;
			case HT_STEP_BODY:
				EXPECT_GT(body.len, 0U);
				r.body.append(body.data, body.len);
				break;
			case HT_STEP_END:
				r.complete = true;
				return false;
			case HT_STEP_FLAW:
				r.flaw = answer.flaw;
				return false;
			}
		}
	}

	void note_head()
	{
		r.status = head.status;
		for (size_t i = 0; i < head.n_fields; i++) {
			r.fields += ht_head_name(&head, i);
			r.fields += "=";
			r.fields += ht_head_value(&head, i);
			r.fields += "\n";
		}
	}

	void close()
	{
		r.complete = ht_message_close(&answer, HT_END_CLOSED,
					      HT_TAKEN_WHOLE) == HT_STEP_END;
		r.flaw = answer.flaw;
	}
};

/* Reads @bytes in pieces of @size. */
reading read_in_pieces(const std::string &bytes, bool ends, size_t size,
		       size_t head_limit = 1024)
{
	reader a(head_limit);
	bool more = true;

	for (size_t at = 0; more && at < bytes.size(); at += size)
		more = a.read(bytes.substr(at, size));
	if (more && ends)
		a.close();
	return a.r;
}

TEST(HtAnswer, ProperOnesAreRead)
{
	for (const auto &c : proper_answers)
		for (size_t size : {1, 2, 7, 4096}) {
			reading r = read_in_pieces(c.bytes, c.ends, size);

			EXPECT_TRUE(r.complete) << c.name << size;
			EXPECT_EQ(r.status, c.status) << c.name << size;
			EXPECT_EQ(r.body, c.body) << c.name << size;
			EXPECT_EQ(r.flaw, HT_FLAW_NONE) << c.name << size;
		}
}

TEST(HtAnswer, ImproperOnesHaveAFlaw)
{
	for (const auto &c : improper_answers)
		for (size_t size : {1, 2, 7, 4096}) {
			reading r = read_in_pieces(c.bytes, c.ends, size);

			EXPECT_FALSE(r.complete) << c.name << size;
			EXPECT_NE(r.flaw, HT_FLAW_NONE) << c.name << size;
		}
}

TEST(HtAnswer, ValuesOfFields)
{
	static const struct {
		const char *line, *field;
	} cases[] = {
		{"X-A: v", "X-A=v\n"},
		{"X-A:v", "X-A=v\n"},
		{"X-A: \t v\t ", "X-A=v\n"},
		{"X-A:", "X-A=\n"},
		{"X-A: a:b", "X-A=a:b\n"},
		{"X-A: a\tb", "X-A=a\tb\n"},
		{"X-A: a\r\n b", "X-A=a b\n"},
		{"X-A: a\r\n\t \r\n b", "X-A=a b\n"},
		{"X-A:\r\n b", "X-A=b\n"},
		{"X-A: 1\r\nX-A: 2", "X-A=1\nX-A=2\n"},
	};

	for (const auto &c : cases) {
		std::string head =
			std::string("HTTP/1.1 204 X\r\n") + c.line + "\r\n\r\n";

		EXPECT_EQ(read_in_pieces(head, false, 4096).fields, c.field)
			<< c.line;
		EXPECT_EQ(read_in_pieces(head, false, 1).fields, c.field)
			<< c.line;
	}
}

TEST(HtAnswer, ConnectionMayBeKept)
{
	static const struct {
		const char *head;
		bool close;
	} cases[] = {
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: a, Close\r\n",
		 true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: closed\r\n",
		 false},
		{"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n", true},
		{"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n"
		 "Connection: keep-alive\r\n",
		 false},
		{"HTTP/1.1 200 OK\r\n", true},
		{"HTTP/1.1 204 OK\r\n", false},
	};

	for (const auto &c : cases) {
		reader a;

		a.read(std::string(c.head) + "\r\n");
		EXPECT_EQ(a.head.connection_close, c.close) << c.head;
	}
}

/* The answer to HEAD has the fields of GET, and no body. */
TEST(HtAnswer, ToHeadHasNoBody)
{
	for (const char *framing :
	     {"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
		reader a(1024, true);

		EXPECT_FALSE(a.read(std::string("HTTP/1.1 200 OK\r\n") +
				    framing + "\r\n"));
		EXPECT_TRUE(a.r.complete) << framing;
	}
}

TEST(HtAnswer, HeadTrailerAndChunkLinesAreBounded)
{
	static const struct {
		const char *name;
		std::string start, piece;
	} cases[] = {
		{"status line", "HTTP/1.1 200 ", "long"},
		{"field", "HTTP/1.1 200 OK\r\nX-A: ", "long"},
		{"fields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		{"folds", "HTTP/1.1 200 OK\r\nX-A: b\r\n", " b\r\n"},
		{"trailer", with_chunks("0\r\n"), "X-A: b\r\n"},
		{"extension", with_chunks("4;"), "long"},
		{"size", with_chunks(""), "0000"},
	};

	for (const auto &c : cases) {
		reader a;
		bool more = a.read(c.start);

		for (int i = 0; more && i < 10000; i++)
			more = a.read(c.piece);
		EXPECT_EQ(a.r.flaw, HT_FLAW_TOO_LARGE) << c.name;
	}
}

/* The second answer begins where the first has ended. */
TEST(HtAnswer, BytesAfterItAreLeft)
{
	for (const auto &c : proper_answers) {
		reader a;
		std::string bytes = c.bytes + "rest";
		struct ht_bytes in = {bytes.data(), c.bytes.size() + 4};
		struct ht_bytes body;
		enum ht_step step;

		if (c.ends || c.bytes.find("bodyHTTP") != std::string::npos)
			continue;
		do
			step = ht_message_read(&a.answer, &in, &body);
		while (step == HT_STEP_HEAD || step == HT_STEP_BODY);
		EXPECT_EQ(step, HT_STEP_END) << c.name;
		EXPECT_EQ(std::string(in.data, in.len), "rest") << c.name;
	}
}

/*
 * What is read does not depend on how the bytes arrive; the flaw that is met
 * first may.
 */
TEST(HtAnswer, PiecesMakeNoDifference)
{
	std::vector<std::string> all;

	for (const auto &c : proper_answers)
		all.push_back(c.bytes);
	for (const auto &c : improper_answers)
		all.push_back(c.bytes);
	EXPECT_TRUE(rc::check("a changed answer, in pieces", [&] {
		std::string bytes = *rc::gen::elementOf(all);
		size_t at = *rc::gen::inRange<size_t>(0, bytes.size());

		bytes[at] = *rc::gen::element(' ', '\r', '\n', ':', '\0', '0',
					      ';', 'a');
		size_t size = *rc::gen::inRange<size_t>(1, 40);

		reading pieces = read_in_pieces(bytes, true, size);
		reading whole = read_in_pieces(bytes, true, bytes.size());

		RC_ASSERT(pieces.complete == whole.complete);
		RC_ASSERT(pieces.complete || pieces.flaw != HT_FLAW_NONE);
		RC_ASSERT(pieces.status == whole.status);
		RC_ASSERT(pieces.fields == whole.fields);
		RC_ASSERT(pieces.body == whole.body);
	}));
}

TEST(HtAnswer, ParsedPartsOfOtherSources)
{
	static const struct {
		const char *name, *value;
		bool proper;
	} fields[] = {
		{"X-A", "v", true},	{"X-A", "", true},
		{"X-A", "a\tb", true},	{"X-A", "\xe9", true},
		{"", "v", false},	{"X A", "v", false},
		{"X-A ", "v", false},	{"X-A", "a\r\nX-B: b", false},
		{"X-A", "a\nb", false}, {"X-A\x01", "v", false},
		{"X-A:", "v", false},	{"X-A", "\x7f", false},
	};
	static const struct {
		int64_t status;
		bool is_final;
	} statuses[] = {{0, false},   {99, false},  {100, false},
			{199, false}, {200, true},  {599, true},
			{600, false}, {999, false}, {-200, false}};

	for (const auto &c : fields)
		EXPECT_EQ(ht_field_is_proper(c.name, c.value), c.proper)
			<< c.name << c.value;
	for (const auto &c : statuses)
		EXPECT_EQ(ht_status_is_final(c.status), c.is_final) << c.status;
}

} // namespace
