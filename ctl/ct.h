/*
 * The context, settings, queries and output that the commands of carawayctl
 * share.
 */
#ifndef CT_H
#define CT_H

#include <stdbool.h>

#include <jansson.h>

#include "base/ba_settings.h"
#include "config/cf.h"
#include "wire/ct.pb-c.h"
#include "wire/wi_session.h"

/** struct ct_settings - the contents of an operator's settings file */
struct ct_settings {
	char *mesh_name;
	char *operator_name;
	char *key_file;
	struct ba_addresses sources;
};

/**
 * struct ct - context of one run of carawayctl
 * @deadline: when to give up, in the time of ba_clock_now()
 * @json: whether to print JSON instead of text
 * @base_version: version that a submission is based on; negative until known
 * @submission_id: from --id, or generated when the submission is sent
 * @day: day of the report, or NULL for today
 * @html_file: where to write the report as HTML, or NULL
 * @log_files: NULL-terminated list of log files to search, or NULL
 * @args: arguments after the name of the command
 */
struct ct {
	struct ct_settings settings;
	struct wi_identity identity;
	ba_time deadline;
	bool json;
	int64_t base_version;
	char *submission_id;
	char *day;
	char *html_file;
	char **log_files;
	char **args;
	int n_args;
};

/**
 * struct ct_command - a command of carawayctl
 * @arguments: the arguments as --help shows them
 * @min_args: least number of arguments
 * @max_args: greatest number of arguments
 * @needs_sources: the command asks a source and so requires settings
 * @run: runs the command; returns a result code
 */
struct ct_command {
	const char *name;
	const char *arguments;
	const char *help;
	int min_args;
	int max_args;
	bool needs_sources;
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

/** ct_settings_keys - table of settings that ct_settings_load() reads */
extern const struct ba_settings_key ct_settings_keys[];

/**
 * ct_settings_load() - read the settings of the operator
 * @file: the settings file; NULL for the one that CARAWAYCTL_SETTINGS names
 *
 * Prints all problems.  Return: %BA_OK or the code of the first problem.
 */
int ct_settings_load(struct ct *ct, const char *file);

/**
 * ct_query() - send a query to each source in turn until one answers
 * @command: the query
 * @argument: argument of @command, or NULL
 * @answer: to be freed with ct_answer__free_unpacked(), only on success
 *
 * Return: %BA_OK, or why no source answered.
 */
int ct_query(struct ct *ct, const char *command, const char *argument,
	     CtAnswer **answer);

/**
 * ct_query_json() - send a query as ct_query() does and parse the JSON answer
 * @out: the parsed answer, owned by the caller; only on success
 *
 * Return: %BA_OK, why no source answered, the code of the answer, or
 * %WI_FRAME_GARBAGE if the answer is not JSON.
 */
int ct_query_json(struct ct *ct, const char *command, const char *argument,
		  json_t **out);

/**
 * ct_send_submission() - send a submission until its outcome is known
 * @outcome: to be freed with ct_outcome__free_unpacked(), only on success
 *
 * Return: %BA_OK, or why no outcome is known.
 */
int ct_send_submission(struct ct *ct, const CtSubmit *submit,
		       CtOutcome **outcome);

/**
 * ct_fetch_current() - fetch the current snapshot from a source
 * @out: the snapshot, owned by the caller; only on success
 *
 * Return: %BA_OK, why no source answered, the code of the answer, or why the
 * snapshot could not be decoded.
 */
int ct_fetch_current(struct ct *ct, struct cf_snapshot **out);

/**
 * ct_fail() - print the meaning of @code and the next step to standard error
 * @where: the file or the command that the code is about
 *
 * With --json it also prints them as JSON to standard output.  Return: @code.
 */
int ct_fail(const struct ct *ct, int code, const char *where);

/** ct_problems_print() - print all problems; returns the code of the first */
int ct_problems_print(const struct ct *ct, const struct ba_problems *p);

/** ct_json_print() - print @value and drop a reference to it */
void ct_json_print(json_t *value);

/**
 * ct_time_format() - format a wall time as "2026-12-04 18:03:11.250" in UTC
 * @ms: milliseconds since 1970, or 0
 *
 * Return: @out, or "-" for 0.
 */
const char *ct_time_format(json_int_t ms, char *out, size_t size);

/**
 * ct_file_is_policy() - whether a TOML text is a policy; otherwise it is taken
 * for a configuration
 */
bool ct_file_is_policy(const char *text, size_t len);

/**
 * ct_file_parse() - read and validate a configuration or policy file
 * @base: the snapshot that the file is applied to
 * @out: the resulting snapshot, owned by the caller; only on success
 *
 * Prints all problems.  Return: %BA_OK or the code of the first problem.
 */
int ct_file_parse(struct ct *ct, const char *file,
		  const struct cf_snapshot *base, struct cf_snapshot **out);

#endif
