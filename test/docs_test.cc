/* The catalogues in docs/ have each row of the code's tables, and no other. */
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "report/rt.h"

namespace
{

std::string read(const std::string &path)
{
	std::ifstream in(path);
	std::stringstream s;

	EXPECT_TRUE(in) << path;
	s << in.rdbuf();
	return s.str();
}

/* Cells of the rows of the tables in a page, without their heads. */
std::vector<std::vector<std::string>> rows(const std::string &path)
{
	std::stringstream in(read(path));
	std::vector<std::vector<std::string>> out;
	std::string line;
	bool body = false;

	while (std::getline(in, line)) {
		if (line.rfind("|---", 0) == 0) {
			body = true;
			continue;
		}
		if (line.empty() || line[0] != '|')
			body = false;
		if (!body)
			continue;
		std::vector<std::string> cells;
		std::stringstream cell_in(line.substr(1));
		std::string cell;

		while (std::getline(cell_in, cell, '|')) {
			size_t from = cell.find_first_not_of(' ');
			size_t to = cell.find_last_not_of(' ');

			cells.push_back(
				from == std::string::npos
					? ""
					: cell.substr(from, to - from + 1));
		}
		out.push_back(cells);
	}
	return out;
}

TEST(BaDocs, ResultsAreThoseOfTheTable)
{
	std::set<std::vector<std::string>> want, got;

	for (int c = ba_result_next(-1); c >= 0; c = ba_result_next(c)) {
		const struct ba_result_info *i = ba_result_info(c);

		want.insert(
			{std::to_string(c), i->name, i->text, i->next_step,
			 i->http_status ? std::to_string(i->http_status) : "",
			 std::to_string(i->exit_code)});
	}
	for (auto &row : rows("docs/RESULTS.md"))
		got.insert(row);
	EXPECT_EQ(got, want) << "run: make docs";
}

TEST(BaDocs, EventsAreThoseOfTheTable)
{
	static const char *const severities[] = {"debug", "info", "notice",
						 "warning", "error"};
	std::set<std::vector<std::string>> want, got;

	for (int id = ba_event_next(-1); id >= 0; id = ba_event_next(id)) {
		const struct ba_event_info *i = ba_event_info(id);

		want.insert({std::to_string(id), i->name,
			     severities[i->severity], i->text});
	}
	for (auto &row : rows("docs/EVENTS.md"))
		got.insert(row);
	EXPECT_EQ(got, want) << "run: make docs";
}

/* Each alarm, a warning or an error, says in OPERATIONS.md what to do. */
TEST(BaDocs, EachAlarmHasAnAnswer)
{
	std::set<std::string> answered;

	for (auto &row : rows("docs/OPERATIONS.md"))
		answered.insert(row[0]);
	for (int id = ba_event_next(-1); id >= 0; id = ba_event_next(id)) {
		const struct ba_event_info *i = ba_event_info(id);

		if (i->severity >= BA_WARNING) {
			EXPECT_TRUE(answered.count(std::to_string(id)))
				<< id << " " << i->name;
		}
	}
}

/* What the code says in place of the users' words stands in its headers. */
TEST(BaDocs, TermsOfTheGlossaryAreUsed)
{
	std::string headers;

	for (auto folder : {"base", "wire", "config", "replica", "endpoint",
			    "distrib", "call", "report", "prog"}) {
		if (!std::filesystem::exists(folder))
			continue;
		for (auto &f : std::filesystem::directory_iterator(folder))
			if (f.path().extension() == ".h")
				headers += read(f.path().string());
	}
	auto table = rows("docs/GLOSSARY.md");

	EXPECT_GT(table.size(), 0u);
	for (auto &row : table) {
		std::stringstream terms(row[1]);
		std::string term;

		while (std::getline(terms, term, ',')) {
			term = term.substr(term.find_first_not_of(' '));
			EXPECT_NE(headers.find(term), std::string::npos)
				<< term;
		}
	}
}

/* Each counter is explained on the page of figures. */
TEST(BaDocs, CountersAreThoseOfTheTable)
{
	std::set<std::string> want, got;

	for (int i = 0; i < RT_COUNTERS; i++)
		want.insert(rt_counter_name((enum rt_counter)i));
	for (auto &row : rows("docs/design/61-figures.md"))
		got.insert(row[0]);
	EXPECT_EQ(got, want);
}

/*
 * Words of the code, without those of this file, and the names of its files.
 * A word that stands before a parenthesis is also there with the parenthesis.
 */
std::set<std::string> code_words()
{
	static const std::set<std::string> kinds = {".c",  ".h",     ".cc",
						    ".sh", ".proto", ".awk"};
	static const std::regex word("([A-Za-z0-9_]+)(\\(?)");
	std::set<std::string> out;

	for (auto folder :
	     {"base", "wire", "http", "config", "replica", "endpoint",
	      "distrib", "call", "report", "proxy", "platform", "daemon",
	      "source", "relay", "ctl", "prog", "bench", "test"}) {
		for (auto &f :
		     std::filesystem::recursive_directory_iterator(folder)) {
			if (!kinds.count(f.path().extension().string()) ||
			    f.path().filename() == "docs_test.cc")
				continue;
			std::string text = read(f.path().string());

			out.insert(f.path().stem().string());
			for (std::sregex_iterator
				     i(text.begin(), text.end(), word),
			     end;
			     i != end; ++i) {
				out.insert(i->str());
				out.insert(i->str(1));
			}
		}
	}
	return out;
}

/* Pages of docs/, the README and the man pages. */
std::vector<std::string> pages()
{
	std::vector<std::string> out = {"README.md"};

	for (auto &f : std::filesystem::recursive_directory_iterator("docs"))
		if (f.path().extension() == ".md")
			out.push_back(f.path().string());
	for (auto &f : std::filesystem::directory_iterator("prog"))
		if (std::string(".1.5.8").find(f.path().extension().string()) !=
		    std::string::npos)
			out.push_back(f.path().string());
	return out;
}

/* Names of @text that no longer stand in the code, or files that are gone. */
std::vector<std::string> stale_names(const std::string &text,
				     const std::set<std::string> &words)
{
	static const std::regex name(
		"\\b((ba|wi|ht|cf|rp|ep|ds|cl|rt|px|pf|da|so|re|ct|pr)_\\w+"
		"|(BA|WI|HT|CF|RP|EP|DS|CL|RT|PX|PF|DA|SO|RE|CT|PR)_[A-Z0-9_]+"
		"|(Ba|Wi|Ht|Cf|Rp|Ep|Ds|Cl|Rt|Px|Pf|Shared)[A-Z]\\w*)"
		"(\\.([A-Z]\\w+))?");
	static const std::regex function("\\b(\\w+)\\(\\)");
	static const std::regex file("\\b[a-z]+/([a-z]+/)?[a-z_0-9-]+"
				     "\\.(cc|c|h|sh|proto)\\b");
	std::vector<std::string> out;

	for (std::sregex_iterator i(text.begin(), text.end(), name), end;
	     i != end; ++i) {
		if (!words.count(i->str(1)))
			out.push_back(i->str(1));
		if ((*i)[6].matched && !words.count(i->str(6)))
			out.push_back(i->str(0));
	}
	for (std::sregex_iterator i(text.begin(), text.end(), function), end;
	     i != end; ++i)
		if (!words.count(i->str(1) + "("))
			out.push_back(i->str(0));
	for (std::sregex_iterator i(text.begin(), text.end(), file), end;
	     i != end; ++i)
		if (!std::filesystem::exists(i->str()))
			out.push_back(i->str());
	return out;
}

TEST(BaDocs, NamesOfThePagesStandInTheCode)
{
	std::set<std::string> words = code_words();

	EXPECT_GT(words.size(), 5000u);
	EXPECT_EQ(
		stale_names(
			"`cl_route`, `cl_none`, ClAdmit.NoSuchTest, no_such_function()",
			words),
		(std::vector<std::string>{"cl_none", "ClAdmit.NoSuchTest",
					  "no_such_function()"}));
	EXPECT_EQ(stale_names("call/cl_route.c, call/cl_none.c", words),
		  (std::vector<std::string>{"cl_none", "call/cl_none.c"}));
	for (auto &page : pages())
		for (auto &name : stale_names(read(page), words))
			ADD_FAILURE() << page << ": " << name;
}

} // namespace
