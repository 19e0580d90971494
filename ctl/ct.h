/*
 * carawayctl: what its commands share.
 */
#ifndef CT_H
#define CT_H

#include <stdbool.h>

#include <jansson.h>

#include "base/ba_settings.h"
#include "config/cf.h"
#include "wire/ct.pb-c.h"
#include "wire/wi_session.h"

/** struct ct_settings - the settings file of an operator */
struct ct_settings {
	char *mesh_name;
	char *operator_name;
	char *key_file;
	struct ba_addresses sources;
};

/**
 * struct ct - one run of the command
 * @deadline: when to give up, in time of ba_clock_now()
 * @args: arguments behind the name of the command
 */
struct ct {
	struct ct_settings settings;
	struct wi_identity id;
	ba_time deadline;
	bool json;
	int64_t base;
	char *submission_id;
	char *day;
	char *html;
	char **logs;
	char **args;
	int n_args;
};

/** struct ct_command - one command; @run returns a result code */
struct ct_command {
	const char *name;
	const char *arguments;
	const char *help;
	int least;
	int most;
	bool asks_source;
	int (*run)(struct ct *ct);
};

int ct_check(struct ct *ct);
int ct_diff(struct ct *ct);
int ct_submit(struct ct *ct);
int ct_policy(struct ct *ct);
int ct_history(struct ct *ct);
int ct_status(struct ct *ct);
int ct_report(struct ct *ct);
int ct_explain(struct ct *ct);

/** ct_settings_keys - the table of settings, for ct_settings_load() */
extern const struct ba_settings_key ct_settings_keys[];

/**
 * ct_settings_load() - read @file, or the one CARAWAYCTL_SETTINGS names
 *
 * Prints what is wrong.  Return: %BA_OK or the code of the first problem.
 */
int ct_settings_load(struct ct *ct, const char *file);

/**
 * ct_query() - ask the sources one after the other until one answers
 * @argument: of the command, or NULL
 * @answer: to be freed with ct_answer__free_unpacked(), only on success
 *
 * Return: %BA_OK, or why no source answered.
 */
int ct_query(struct ct *ct, const char *command, const char *argument,
	     CtAnswer **answer);

/** ct_query_json() - the same, for the JSON of the answer */
int ct_query_json(struct ct *ct, const char *command, const char *argument,
		  json_t **out);

/**
 * ct_send_submission() - send until an outcome is known
 * @outcome: to be freed with ct_outcome__free_unpacked(), only on success
 *
 * Return: %BA_OK, or why no outcome is known.
 */
int ct_send_submission(struct ct *ct, const CtSubmit *submit,
		       CtOutcome **outcome);

/** ct_current() - the snapshot that is current at the sources */
int ct_current(struct ct *ct, struct cf_snapshot **out);

/** ct_fail() - print what @code means and what to do; returns @code */
int ct_fail(const struct ct *ct, int code, const char *where);

/** ct_problems_print() - print all problems of a file; the first code */
int ct_problems_print(const struct ct *ct, const struct ba_problems *p);

/** ct_json_print() - print and free a JSON value */
void ct_json_print(json_t *value);

/** ct_time_text() - "2026-12-04 18:03:11.250" in UTC, or "-" for 0 */
const char *ct_time_text(json_int_t ms, char *out, size_t size);

/** ct_file_is_policy() - whether a TOML text is a policy, not services */
bool ct_file_is_policy(const char *text, size_t len);

/**
 * ct_file_parse() - read and validate a file on top of @base
 *
 * Prints what is wrong.  Return: %BA_OK or the code of the first problem.
 */
int ct_file_parse(struct ct *ct, const char *file,
		  const struct cf_snapshot *base, struct cf_snapshot **out);

#endif
