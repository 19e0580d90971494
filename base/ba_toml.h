/*
 * TOML documents as a tree of C structs.  The parser is toml++, a C++ library;
 * only ba_toml_shim.cc uses it.
 */
#ifndef BA_TOML_H
#define BA_TOML_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum ba_toml_type {
	BA_TOML_TABLE,
	BA_TOML_ARRAY,
	BA_TOML_STRING,
	BA_TOML_INTEGER,
	BA_TOML_FLOAT,
	BA_TOML_BOOLEAN,
	BA_TOML_OTHER,
};

/**
 * struct ba_toml - one node of a document
 * @type: type of the node
 * @line: line in the file, from 1; for a member of a table, the line of its key
 * @key: its key in the enclosing table, NULL inside arrays and at the root
 * @string: value of a string
 * @integer: value of an integer, or of a boolean as 0 or 1
 * @real: value of a float
 * @children: members of a table or array, in the order of the file
 * @n_children: number of members
 */
struct ba_toml {
	enum ba_toml_type type;
	int line;
	char *key;
	char *string;
	int64_t integer;
	double real;
	struct ba_toml *children;
	size_t n_children;
};

/** struct ba_toml_error - where and why parsing failed */
struct ba_toml_error {
	int line;
	int column;
	char text[256];
};

/**
 * ba_toml_parse() - parse a document
 * @text: the document, @len bytes
 * @err: set on failure
 *
 * Return: the root table, to be freed with ba_toml_free(), or NULL.
 */
struct ba_toml *ba_toml_parse(const char *text, size_t len,
			      struct ba_toml_error *err);

/** ba_toml_free() - free a document; @root may be NULL */
void ba_toml_free(struct ba_toml *root);

/** ba_toml_get() - find the member of @table named @key, or NULL */
const struct ba_toml *ba_toml_get(const struct ba_toml *table, const char *key);

/** ba_toml_type_name() - name of a type for messages, such as "a string" */
const char *ba_toml_type_name(enum ba_toml_type type);

#ifdef __cplusplus
}
#endif
#endif
