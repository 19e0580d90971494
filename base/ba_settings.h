/*
 * Settings: a TOML file is read into a struct, as described by a table of keys.
 * The whole file is checked and all problems are reported at once; a program
 * never starts with part of its settings.
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

/** enum ba_kind - kind of the value of a key, and the C type of its member */
enum ba_kind {
	BA_KIND_STRING,	  /* char * */
	BA_KIND_STRINGS,  /* struct ba_strings */
	BA_KIND_INTEGER,  /* int64_t */
	BA_KIND_BOOLEAN,  /* bool */
	BA_KIND_DURATION, /* ba_time */
	BA_KIND_BYTES,	  /* int64_t */
	BA_KIND_RATE,	  /* int64_t, bytes per second */
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
 * struct ba_settings_key - one key of a settings file
 * @table: table of the file that the key belongs to, "" for the root
 * @name: name of the key
 * @kind: kind of its value
 * @required: whether the key must be present
 * @offset: offset of its member in the settings struct
 * @default_text: value if the key is absent, as it would be written in the
 *	file; NULL leaves the member zeroed
 * @least: minimum of a number, duration, size or rate
 * @most: maximum, 0 for no limit
 */
struct ba_settings_key {
	const char *table;
	const char *name;
	enum ba_kind kind;
	bool required;
	size_t offset;
	const char *default_text;
	int64_t least;
	int64_t most;
};

/**
 * ba_settings_read() - read the settings file @file into @out
 * @keys: table of keys, ended by a row whose name is NULL
 * @out: the settings struct, zeroed by the caller
 * @problems: receives every problem of the file
 *
 * Return: %BA_OK, or the code of the first problem.
 */
int ba_settings_read(const char *file, const struct ba_settings_key *keys,
		     void *out, struct ba_problems *problems);

/** ba_settings_free() - free the members that @keys describes */
void ba_settings_free(const struct ba_settings_key *keys, void *out);

/**
 * ba_settings_read_table() - read one TOML table into @out
 * @table: the table, or NULL if the file does not have it
 * @name: its name; the rows of @keys for this table are read
 *
 * A key of the table that is not in @keys is reported as a problem.
 *
 * Return: %BA_OK, or the code of the first problem in this table.
 */
int ba_settings_read_table(const struct ba_toml *table, const char *name,
			   const struct ba_settings_key *keys, void *out,
			   struct ba_problems *problems);

/**
 * ba_settings_describe() - append a row "| table.key | kind | default |" for
 * each key; the default of a required key is shown as "required"
 */
void ba_settings_describe(const struct ba_settings_key *keys,
			  struct ba_buf *out);

/**
 * ba_file_read() - append a whole file to @out
 * @limit: maximum length of @out with the file, in bytes
 *
 * Return: %BA_OK, or %BA_FILE_UNREADABLE, also when the file is too long.
 */
int ba_file_read(const char *file, size_t limit, struct ba_buf *out);

/**
 * ba_key_file_read() - read a secret key of 32 bytes, written as 64
 * hexadecimal digits, from @file
 *
 * Return: %BA_OK, %BA_FILE_UNREADABLE or %BA_TYPE_WRONG.
 */
int ba_key_file_read(const char *file, uint8_t key[32]);

#ifdef __cplusplus
}
#endif
#endif
