#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <vector>

#include "base/ba_toml.h"

static void convert(const toml::node &from, struct ba_toml *to);
static void convert_table(const toml::table &from, struct ba_toml *to);
static void convert_array(const toml::array &from, struct ba_toml *to);
static char *copy(std::string_view s);

extern "C" struct ba_toml *ba_toml_parse(const char *text, size_t len,
					 struct ba_toml_error *err)
{
	auto result = toml::parse(std::string_view(text, len));

	if (!result) {
		auto d = result.error().description();
		auto n = std::min(d.size(), sizeof(err->text) - 1);

		memcpy(err->text, d.data(), n);
		err->text[n] = '\0';
		err->line = (int)result.error().source().begin.line;
		err->column = (int)result.error().source().begin.column;
		return nullptr;
	}
	auto *root = (struct ba_toml *)calloc(1, sizeof(struct ba_toml));

	if (root)
		convert(result.table(), root);
	return root;
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
