/*
 * Settings: a TOML file read into a struct by a table of keys.  The file is
 * checked whole; all problems are reported at once, and nothing starts with
 * half of its settings.
 */
#ifndef BA_SETTINGS_H
#define BA_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/ba_problem.h"
#include "base/ba_toml.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum ba_kind - what a key holds, and the C type of its member */
enum ba_kind {
	BA_KIND_STRING,	  /* char * */
	BA_KIND_STRINGS,  /* struct ba_strings */
	BA_KIND_INTEGER,  /* int64_t */
	BA_KIND_BOOLEAN,  /* bool */
	BA_KIND_DURATION, /* ba_time */
	BA_KIND_BYTES,	  /* int64_t */
	BA_KIND_RATE,	  /* int64_t, bytes a second */
	BA_KIND_ADDRESS,  /* struct ba_address */
	BA_KIND_ADDRESSES /* struct ba_addresses */
};

/** struct ba_strings - a list of strings */
struct ba_strings {
	char **list;
	size_t n;
};

/** struct ba_addresses - a list of addresses */
struct ba_addresses {
	struct ba_address *list;
	size_t n;
};

/**
 * struct ba_key - one key of a settings file
 * @table: the table it stands in, "" for the root
 * @name: its name
 * @kind: what it holds
 * @required: whether the file must have it
 * @offset: where its member stands in the settings struct
 * @fallback: value used when the key is absent, as it would be written;
 *	NULL leaves the member zeroed
 * @least: least value of a number, duration or size
 * @most: greatest value, 0 for no limit
 */
struct ba_key {
	const char *table;
	const char *name;
	enum ba_kind kind;
	bool required;
	size_t offset;
	const char *fallback;
	int64_t least;
	int64_t most;
};

/**
 * ba_settings_read() - read @file into @out by the table @keys
 * @keys: the table, ended by a row whose name is NULL
 * @out: the settings struct, zeroed by the caller
 * @problems: all that is wrong with the file
 *
 * Return: %BA_OK, or the code of the first problem.
 */
int ba_settings_read(const char *file, const struct ba_key *keys, void *out,
		     struct ba_problems *problems);

/** ba_settings_free() - free the members that @keys describes */
void ba_settings_free(const struct ba_key *keys, void *out);

/**
 * ba_settings_read_table() - read one TOML table by the rows of @keys whose
 * @table is @name; unknown keys in it are problems
 *
 * Return: %BA_OK, or the code of the first problem in this table.
 */
int ba_settings_read_table(const struct ba_toml *table, const char *name,
			   const struct ba_key *keys, void *out,
			   struct ba_problems *problems);

/**
 * ba_settings_describe() - append a row "| table.key | kind | default |" for
 * each key; the default of a required key reads "required"
 */
void ba_settings_describe(const struct ba_key *keys, struct ba_buf *out);

/** ba_file_read() - read a whole file of at most @limit bytes into @out */
int ba_file_read(const char *file, size_t limit, struct ba_buf *out);

/**
 * ba_key_file_read() - read a key of 32 bytes, written as 64 hexadecimal
 * digits, from @file
 *
 * Return: %BA_OK, %BA_FILE_UNREADABLE or %BA_TYPE_WRONG.
 */
int ba_key_file_read(const char *file, uint8_t key[32]);

#ifdef __cplusplus
}
#endif
#endif
