/* The text and HTML output has what the JSON has and nothing else. */
#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "base/ba_result.h"
#include "report/rt_page.h"

namespace
{

std::string report(const std::string &verdict, const std::string &promise,
		   const std::string &rest = "")
{
	return "{\"day\":\"2026-12-04\",\"time_zone\":\"America/Bogota\","
	       "\"from_ms\":1796360400000,\"to_ms\":1796446800000,"
	       "\"as_of_ms\":1796400000000,\"verdict\":\"" +
	       verdict + "\",\"promises\":[" + promise + "]" + rest + "}";
}

std::string promise(const std::string &state, const std::string &reason)
{
	return "{\"text\":\"P\",\"state\":\"" + state + "\",\"reason\":\"" +
	       reason +
	       "\",\"since_ms\":1796385600000,\"occasions\":4,\"checked\":3,"
	       "\"breaches\":1,\"noun\":\"things\",\"places\":[{\"instance\":"
	       "\"d7\",\"from_ms\":1796385600000,\"to_ms\":1796385610000,"
	       "\"count\":1}],\"events\":[{\"event\":5004,\"name\":"
	       "\"in-force\"}]}";
}

std::string text(const std::string &json)
{
	struct ba_buf out = {};

	EXPECT_EQ(rt_page_text("m", json.data(), json.size(), &out), BA_OK);
	std::string s = ba_buf_text(&out);

	ba_buf_free(&out);
	return s;
}

std::string html(const std::string &json)
{
	struct ba_buf out = {};

	EXPECT_EQ(rt_page_html("<m>", json.data(), json.size(), &out), BA_OK);
	std::string s = ba_buf_text(&out);

	ba_buf_free(&out);
	return s;
}

/* Undoes line wrapping: a line break with its indent becomes one space. */
std::string unwrapped(const std::string &s)
{
	std::string out;

	for (char c : s)
		if (c != '\n' && c != ' ')
			out += c;
		else if (out.empty() || out.back() != ' ')
			out += ' ';
	return out;
}

bool has(const std::string &s, const std::string &part)
{
	return s.find(part) != std::string::npos;
}

TEST(RtPage, Verdicts)
{
	static const struct {
		const char *verdict;
		const char *state;
		const char *reason;
		const char *head;
		const char *mark;
		const char *count;
	} cases[] = {
		{"held", "held", "", "Today held so far", "held",
		 "Of 1 promises 1 held."},
		{"broken", "broken", "it was broken once", "Today did not hold",
		 "broken", "Of 1 promises 1 broken, 0 held."},
		{"not known", "not known", "1 daemons were out of sight",
		 "Not all of the day is known", "not known since 07:00:00",
		 "Of 1 promises 0 held, 1 not known."},
		{"held", "not known", "no occasion arose", "Today held so far",
		 "no occasion", "Of 1 promises 0 held, 1 without occasion."},
	};

	for (auto &c : cases) {
		std::string json =
			report(c.verdict, promise(c.state, c.reason));

		for (auto &page : {unwrapped(text(json)), html(json)}) {
			EXPECT_TRUE(has(page, c.head)) << page;
			EXPECT_TRUE(has(page, c.mark)) << page;
			EXPECT_TRUE(has(page, c.count)) << page;
			EXPECT_TRUE(has(page, "5004 in-force")) << page;
			EXPECT_TRUE(has(page, "07:00:00")) << page;
		}
	}
}

TEST(RtPage, MissingValuesAreOmittedOrNotKnown)
{
	std::string json = report("not known", promise("not known", ""));

	EXPECT_TRUE(
		has(text(json), "TRAFFIC BETWEEN REGIONS: 0 B [not known]"));
	EXPECT_FALSE(has(text(json), "half within"));
	EXPECT_FALSE(has(html(json), "half within"));
}

TEST(RtPage, NamesAreEscaped)
{
	std::string json = report(
		"held", promise("held", ""),
		",\"calls\":{\"services\":[{\"service\":\"<script>\"}]},"
		"\"unseen\":{\"list\":[{\"instance\":\"<b>\",\"role\":\"&\"}]},"
		"\"control\":{\"links\":[{\"link\":\"a>b\"}]}");
	std::string page = html(json);

	EXPECT_FALSE(has(page, "<script"));
	EXPECT_FALSE(has(page, "<b>"));
	EXPECT_TRUE(has(page, "&lt;script&gt;"));
	EXPECT_TRUE(has(page, "a&gt;b"));
	EXPECT_TRUE(has(page, "&lt;m&gt;"));
}

TEST(RtPage, HtmlLoadsNoExternalResources)
{
	std::string page = html(report("held", promise("held", "")));

	for (auto part : {"src=", "href=", "url(", "<script", "@import"})
		EXPECT_FALSE(has(page, part)) << part;
}

TEST(RtPage, VersionsOverTheirLimitAreAlwaysListed)
{
	std::string list;

	for (int i = 40; i > 0; i--)
		list += std::string(i < 40 ? "," : "") +
			"{\"version\":" + std::to_string(100 + i) +
			",\"accepted_ms\":1796385600000,\"after_ms\":7300.0,"
			"\"limit_ms\":6000,\"limited_by\":\"\",\"state\":\"" +
			(i == 5 ? "late" : "in force") + "\",\"daemons\":14}";
	std::string json =
		report("broken", promise("broken", ""),
		       ",\"versions\":{\"accepted\":40,\"late\":1,\"list\":[" +
			       list + "]}");

	EXPECT_TRUE(has(text(json), "     105 07:00:00"));
	EXPECT_TRUE(has(html(json), "<td>105</td>"));
	EXPECT_FALSE(has(text(json), "     106 "));
	EXPECT_TRUE(has(html(json), "class=\"late\""));
}

TEST(RtPage, OtherJsonIsRefused)
{
	struct ba_buf out = {};

	for (std::string s : {"", "{}", "[1]", "{\"promises\":3}", "\xff"}) {
		EXPECT_EQ(rt_page_text("m", s.data(), s.size(), &out),
			  WI_FRAME_GARBAGE);
		EXPECT_EQ(rt_page_html("m", s.data(), s.size(), &out),
			  WI_FRAME_GARBAGE);
	}
	EXPECT_EQ(out.len, 0u);
}

} // namespace
