#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <sodium.h>

#include "base/ba_result.h"
#include "base/ba_settings.h"
#include "base/ba_unit.h"

enum {
	SETTINGS_LIMIT_BYTES = 1024 * 1024,
	KEY_TEXT_BYTES = 64,
	KEY_FILE_LIMIT_BYTES = 256,
	FULL_KEY_BYTES = 128,
};

/*
 * How values of one kind are checked and stored: @set stores a TOML value of
 * type @type, and @parse the text of a default.
 */
struct kind_ops {
	const char *expected;
	enum ba_toml_type type;
	int (*set)(const struct ba_toml *value, void *member);
	int (*parse)(const char *text, void *member);
	bool numeric;
};

static int set_string(const struct ba_toml *value, void *member);
static int set_strings(const struct ba_toml *value, void *member);
static int set_integer(const struct ba_toml *value, void *member);
static int set_boolean(const struct ba_toml *value, void *member);
static int set_duration(const struct ba_toml *value, void *member);
static int set_bytes(const struct ba_toml *value, void *member);
static int set_rate(const struct ba_toml *value, void *member);
static int set_address(const struct ba_toml *value, void *member);
static int set_addresses(const struct ba_toml *value, void *member);
static int parse_string(const char *text, void *member);
static int parse_integer(const char *text, void *member);
static int parse_boolean(const char *text, void *member);
static int parse_duration(const char *text, void *member);
static int parse_bytes(const char *text, void *member);
static int parse_rate(const char *text, void *member);
static int parse_address(const char *text, void *member);

static const struct kind_ops kinds[] = {
	[BA_KIND_STRING] = {"a string in quotes", BA_TOML_STRING, set_string,
			    parse_string, false},
	[BA_KIND_STRINGS] = {"an array of strings", BA_TOML_ARRAY, set_strings,
			     NULL, false},
	[BA_KIND_INTEGER] = {"a whole number", BA_TOML_INTEGER, set_integer,
			     parse_integer, true},
	[BA_KIND_BOOLEAN] = {"true or false", BA_TOML_BOOLEAN, set_boolean,
			     parse_boolean, false},
	[BA_KIND_DURATION] = {"a duration such as \"250ms\"", BA_TOML_STRING,
			      set_duration, parse_duration, true},
	[BA_KIND_BYTES] = {"a size such as \"128MB\"", BA_TOML_STRING,
			   set_bytes, parse_bytes, true},
	[BA_KIND_RATE] = {"a rate such as \"10.5Mbit\"", BA_TOML_STRING,
			  set_rate, parse_rate, true},
	[BA_KIND_ADDRESS] = {"an address such as \"192.0.2.1:7000\"",
			     BA_TOML_STRING, set_address, parse_address, false},
	[BA_KIND_ADDRESSES] = {"an array of addresses", BA_TOML_ARRAY,
			       set_addresses, NULL, false},
};

static const char *const kind_names[] = {
	[BA_KIND_STRING] = "string",	   [BA_KIND_STRINGS] = "strings",
	[BA_KIND_INTEGER] = "integer",	   [BA_KIND_BOOLEAN] = "boolean",
	[BA_KIND_DURATION] = "duration",   [BA_KIND_BYTES] = "size",
	[BA_KIND_RATE] = "rate",	   [BA_KIND_ADDRESS] = "address",
	[BA_KIND_ADDRESSES] = "addresses",
};

static void check_unknown_keys(const struct ba_toml *table, const char *name,
			       const struct ba_settings_key *keys,
			       struct ba_problems *problems);
static void check_root_keys(const struct ba_toml *root,
			    const struct ba_settings_key *keys,
			    struct ba_problems *problems);
static bool is_root_key(const struct ba_settings_key *keys, const char *name);
static void read_key(const struct ba_toml *table,
		     const struct ba_settings_key *key, void *out,
		     struct ba_problems *problems);
static void check_range(const struct ba_settings_key *key, const void *member,
			int line, const char *full_key,
			struct ba_problems *problems);
static void format_full_key(char *out, size_t size, const char *table,
			    const char *name);

int ba_settings_read(const char *file, const struct ba_settings_key *keys,
		     void *out, struct ba_problems *problems)
{
	struct ba_buf text = {0};
	struct ba_toml_error err;
	struct ba_toml *root;
	const char *last = NULL;

	g_free(problems->file);
	problems->file = g_strdup(file);
	if (ba_file_read(file, SETTINGS_LIMIT_BYTES, &text)) {
		ba_problem_add(problems, BA_FILE_UNREADABLE, 0, "",
			       "a readable file");
		ba_buf_free(&text);
		return BA_FILE_UNREADABLE;
	}
	root = ba_toml_parse(ba_buf_text(&text), text.len, &err);
	ba_buf_free(&text);
	if (!root) {
		ba_problem_add(problems, BA_SYNTAX, err.line, "", "%s",
			       err.text);
		return BA_SYNTAX;
	}
	check_root_keys(root, keys, problems);
	for (const struct ba_settings_key *k = keys; k->name; k++) {
		if (last && !strcmp(last, k->table))
			continue;
		last = k->table;
		ba_settings_read_table(*last ? ba_toml_get(root, last) : root,
				       last, keys, out, problems);
	}
	ba_toml_free(root);
	return problems->n ? problems->list[0].code : BA_OK;
}

int ba_settings_read_table(const struct ba_toml *table, const char *name,
			   const struct ba_settings_key *keys, void *out,
			   struct ba_problems *problems)
{
	size_t before = problems->n;

	if (table && table->type != BA_TOML_TABLE) {
		ba_problem_add(problems, BA_TYPE_WRONG, table->line, name,
			       "a table, not %s",
			       ba_toml_type_name(table->type));
		return BA_TYPE_WRONG;
	}
	if (table && *name)
		check_unknown_keys(table, name, keys, problems);
	for (const struct ba_settings_key *k = keys; k->name; k++)
		if (!strcmp(k->table, name))
			read_key(table, k, out, problems);
	return problems->n > before ? problems->list[before].code : BA_OK;
}

void ba_settings_free(const struct ba_settings_key *keys, void *out)
{
	for (const struct ba_settings_key *k = keys; k->name; k++) {
		void *member = (char *)out + k->offset;

		if (k->kind == BA_KIND_STRING) {
			g_clear_pointer((char **)member, g_free);
		} else if (k->kind == BA_KIND_STRINGS) {
			struct ba_strings *s = member;

			for (size_t i = 0; i < s->n; i++)
				g_free(s->list[i]);
			g_clear_pointer(&s->list, g_free);
			s->n = 0;
		} else if (k->kind == BA_KIND_ADDRESSES) {
			struct ba_addresses *a = member;

			g_clear_pointer(&a->list, g_free);
			a->n = 0;
		}
	}
}

void ba_settings_describe(const struct ba_settings_key *keys,
			  struct ba_buf *out)
{
	for (const struct ba_settings_key *k = keys; k->name; k++) {
		char full_key[FULL_KEY_BYTES];

		format_full_key(full_key, sizeof(full_key), k->table, k->name);
		ba_buf_addf(out, "| %s | %s | %s |\n", full_key,
			    kind_names[k->kind],
			    k->required	      ? "required"
			    : k->default_text ? k->default_text
					      : "none");
	}
}

int ba_file_read(const char *file, size_t limit, struct ba_buf *out)
{
	int fd = open(file, O_RDONLY | O_CLOEXEC);
	ssize_t n = 0;

	if (fd < 0)
		return BA_FILE_UNREADABLE;
	while (out->len <= limit) {
		ba_buf_reserve(out, 4096);
		n = read(fd, out->data + out->len, out->alloc - out->len);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			break;
		out->len += (size_t)n;
	}
	close(fd);
	return n < 0 || out->len > limit ? BA_FILE_UNREADABLE : BA_OK;
}

int ba_key_file_read(const char *file, uint8_t key[32])
{
	struct ba_buf text = {0};
	const char *end = NULL;
	size_t len = 0;
	int ret = BA_OK;

	if (ba_file_read(file, KEY_FILE_LIMIT_BYTES, &text))
		ret = BA_FILE_UNREADABLE;
	else if (sodium_hex2bin(key, 32, ba_buf_text(&text), text.len, " \n",
				&len, &end) ||
		 len != 32 || *end)
		ret = BA_TYPE_WRONG;
	ba_buf_free(&text);
	return ret;
}

static void check_root_keys(const struct ba_toml *root,
			    const struct ba_settings_key *keys,
			    struct ba_problems *problems)
{
	for (size_t i = 0; i < root->n_children; i++) {
		const struct ba_toml *c = &root->children[i];

		if (is_root_key(keys, c->key))
			continue;
		ba_problem_add(problems, BA_KEY_UNKNOWN, c->line, c->key,
			       "one of the tables in the man page");
	}
}

static bool is_root_key(const struct ba_settings_key *keys, const char *name)
{
	for (const struct ba_settings_key *k = keys; k->name; k++)
		if (!strcmp(k->table, name) ||
		    (!*k->table && !strcmp(k->name, name)))
			return true;
	return false;
}

static void check_unknown_keys(const struct ba_toml *table, const char *name,
			       const struct ba_settings_key *keys,
			       struct ba_problems *problems)
{
	for (size_t i = 0; i < table->n_children; i++) {
		const struct ba_toml *c = &table->children[i];
		const struct ba_settings_key *k = keys;
		char full_key[FULL_KEY_BYTES];

		while (k->name &&
		       (strcmp(k->table, name) || strcmp(k->name, c->key)))
			k++;
		if (k->name)
			continue;
		format_full_key(full_key, sizeof(full_key), name, c->key);
		ba_problem_add(problems, BA_KEY_UNKNOWN, c->line, full_key,
			       "one of the keys in the man page");
	}
}

static void read_key(const struct ba_toml *table,
		     const struct ba_settings_key *key, void *out,
		     struct ba_problems *problems)
{
	const struct ba_toml *value = ba_toml_get(table, key->name);
	const struct kind_ops *ops = &kinds[key->kind];
	void *member = (char *)out + key->offset;
	char full_key[FULL_KEY_BYTES];
	int ret;

	format_full_key(full_key, sizeof(full_key), key->table, key->name);
	if (!value) {
		if (key->required)
			ba_problem_add(problems, BA_KEY_MISSING,
				       table ? table->line : 0, full_key, "%s",
				       ops->expected);
		else if (key->default_text && ops->parse)
			ops->parse(key->default_text, member);
		return;
	}
	/* 260.0 is a whole number, too. */
	if (value->type != ops->type &&
	    !(ops->type == BA_TOML_INTEGER && value->type == BA_TOML_FLOAT &&
	      ba_is_whole(value->real))) {
		ba_problem_add(problems, BA_TYPE_WRONG, value->line, full_key,
			       "%s, not %s", ops->expected,
			       ba_toml_type_name(value->type));
		return;
	}
	ret = ops->set(value, member);
	if (ret)
		ba_problem_add(problems, ret, value->line, full_key, "%s",
			       ops->expected);
	else if (ops->numeric)
		check_range(key, member, value->line, full_key, problems);
}

static void check_range(const struct ba_settings_key *key, const void *member,
			int line, const char *full_key,
			struct ba_problems *problems)
{
	int64_t n = *(const int64_t *)member;

	if (n >= key->least && (!key->most || n <= key->most))
		return;
	if (key->most)
		ba_problem_add(problems, BA_RANGE_WRONG, line, full_key,
			       "%lld to %lld", (long long)key->least,
			       (long long)key->most);
	else
		ba_problem_add(problems, BA_RANGE_WRONG, line, full_key,
			       "%lld or more", (long long)key->least);
}

static void format_full_key(char *out, size_t size, const char *table,
			    const char *name)
{
	g_snprintf(out, size, "%s%s%s", table, *table ? "." : "", name);
}

static int set_string(const struct ba_toml *value, void *member)
{
	return parse_string(value->string, member);
}

static int set_strings(const struct ba_toml *value, void *member)
{
	struct ba_strings *out = member;

	for (size_t i = 0; i < value->n_children; i++)
		if (value->children[i].type != BA_TOML_STRING)
			return BA_TYPE_WRONG;
	out->list = g_new0(char *, value->n_children + 1);
	out->n = value->n_children;
	for (size_t i = 0; i < out->n; i++)
		out->list[i] = g_strdup(value->children[i].string);
	return BA_OK;
}

static int set_integer(const struct ba_toml *value, void *member)
{
	*(int64_t *)member = value->type == BA_TOML_FLOAT ? (int64_t)value->real
							  : value->integer;
	return BA_OK;
}

static int set_boolean(const struct ba_toml *value, void *member)
{
	*(bool *)member = value->integer != 0;
	return BA_OK;
}

static int set_duration(const struct ba_toml *value, void *member)
{
	return parse_duration(value->string, member);
}

static int set_bytes(const struct ba_toml *value, void *member)
{
	return parse_bytes(value->string, member);
}

static int set_rate(const struct ba_toml *value, void *member)
{
	return parse_rate(value->string, member);
}

static int set_address(const struct ba_toml *value, void *member)
{
	return parse_address(value->string, member);
}

static int set_addresses(const struct ba_toml *value, void *member)
{
	struct ba_addresses *out = member;

	out->list = g_new0(struct ba_address, value->n_children + 1);
	out->n = value->n_children;
	for (size_t i = 0; i < out->n; i++) {
		const struct ba_toml *c = &value->children[i];

		if (c->type != BA_TOML_STRING)
			return BA_TYPE_WRONG;
		if (ba_parse_address(c->string, &out->list[i]))
			return BA_ADDRESS_WRONG;
	}
	return BA_OK;
}

static int parse_string(const char *text, void *member)
{
	g_free(*(char **)member);
	*(char **)member = g_strdup(text);
	return BA_OK;
}

static int parse_integer(const char *text, void *member)
{
	*(int64_t *)member = strtoll(text, NULL, 10);
	return BA_OK;
}

static int parse_boolean(const char *text, void *member)
{
	*(bool *)member = !strcmp(text, "true");
	return BA_OK;
}

static int parse_duration(const char *text, void *member)
{
	return ba_parse_duration(text, member);
}

static int parse_bytes(const char *text, void *member)
{
	return ba_parse_bytes(text, member);
}

static int parse_rate(const char *text, void *member)
{
	return ba_parse_rate(text, member);
}

static int parse_address(const char *text, void *member)
{
	return ba_parse_address(text, member);
}
