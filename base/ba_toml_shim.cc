/* toml++ asserts what a malformed document does not hold to. */
struct broken_assertion {
};
[[noreturn]] static void on_broken_assertion()
{
	throw broken_assertion();
}
#define TOML_ASSERT(expr) ((expr) ? (void)0 : on_broken_assertion())
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <vector>

#include "base/ba_toml.h"

static void describe(std::string_view text, int line, int column,
		     struct ba_toml_error *err);
static int first_line_asserted(std::string_view document);
static bool breaks_assertion(std::string_view document);
static void convert(const toml::node &from, struct ba_toml *to);
static void convert_table(const toml::table &from, struct ba_toml *to);
static void convert_array(const toml::array &from, struct ba_toml *to);
static char *copy(std::string_view s);

extern "C" struct ba_toml *ba_toml_parse(const char *text, size_t len,
					 struct ba_toml_error *err)
{
	std::string_view document(text, len);

	try {
		auto *root =
			(struct ba_toml *)calloc(1, sizeof(struct ba_toml));
		std::unique_ptr<struct ba_toml, void (*)(struct ba_toml *)>
			owned(root, ba_toml_free);

		if (root)
			convert(toml::parse(document), root);
		return owned.release();
	} catch (const toml::parse_error &e) {
		describe(e.description(), (int)e.source().begin.line,
			 (int)e.source().begin.column, err);
	} catch (const broken_assertion &) {
		describe("a name is missing or wrong",
			 first_line_asserted(document), 1, err);
	}
	return nullptr;
}

static void describe(std::string_view text, int line, int column,
		     struct ba_toml_error *err)
{
	auto n = std::min(text.size(), sizeof(err->text) - 1);

	memcpy(err->text, text.data(), n);
	err->text[n] = '\0';
	err->line = line;
	err->column = column;
}

/* The parser reads from the start, so an assertion that a line breaks stays. */
static int first_line_asserted(std::string_view document)
{
	std::vector<size_t> ends;

	for (size_t i = 0; i < document.size(); i++)
		if (document[i] == '\n' || i + 1 == document.size())
			ends.push_back(i + 1);
	auto first =
		std::partition_point(ends.begin(), ends.end(), [&](size_t end) {
			return !breaks_assertion(document.substr(0, end));
		});

	return (int)(first - ends.begin()) + 1;
}

static bool breaks_assertion(std::string_view document)
{
	try {
		(void)toml::parse(document);
	} catch (const toml::parse_error &) {
	} catch (const broken_assertion &) {
		return true;
	}
	return false;
}

static void convert(const toml::node &from, struct ba_toml *to)
{
	to->line = (int)from.source().begin.line;
	if (auto *t = from.as_table()) {
		convert_table(*t, to);
	} else if (auto *a = from.as_array()) {
		convert_array(*a, to);
	} else if (auto *s = from.as_string()) {
		to->type = BA_TOML_STRING;
		to->string = copy(s->get());
	} else if (auto *i = from.as_integer()) {
		to->type = BA_TOML_INTEGER;
		to->integer = i->get();
	} else if (auto *f = from.as_floating_point()) {
		to->type = BA_TOML_FLOAT;
		to->real = f->get();
	} else if (auto *b = from.as_boolean()) {
		to->type = BA_TOML_BOOLEAN;
		to->integer = b->get();
	} else {
		to->type = BA_TOML_OTHER;
	}
}

static void convert_table(const toml::table &from, struct ba_toml *to)
{
	std::vector<std::pair<const toml::key *, const toml::node *>> members;

	for (auto &&[key, node] : from)
		members.emplace_back(&key, &node);
	std::stable_sort(members.begin(), members.end(),
			 [](const auto &a, const auto &b) {
				 return a.first->source().begin <
					b.first->source().begin;
			 });
	to->type = BA_TOML_TABLE;
	to->n_children = members.size();
	to->children = (struct ba_toml *)calloc(members.size() + 1,
						sizeof(struct ba_toml));
	for (size_t i = 0; i < members.size(); i++) {
		to->children[i].key = copy(members[i].first->str());
		convert(*members[i].second, &to->children[i]);
		to->children[i].line =
			(int)members[i].first->source().begin.line;
	}
}

static void convert_array(const toml::array &from, struct ba_toml *to)
{
	to->type = BA_TOML_ARRAY;
	to->n_children = from.size();
	to->children = (struct ba_toml *)calloc(from.size() + 1,
						sizeof(struct ba_toml));
	for (size_t i = 0; i < from.size(); i++)
		convert(*from.get(i), &to->children[i]);
}

static char *copy(std::string_view s)
{
	char *out = (char *)malloc(s.size() + 1);

	memcpy(out, s.data(), s.size());
	out[s.size()] = '\0';
	return out;
}
