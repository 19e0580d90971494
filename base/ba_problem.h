/*
 * A list of problems found in one file, all reported at once.
 */
#ifndef BA_PROBLEM_H
#define BA_PROBLEM_H

#include <stddef.h>

#include "base/ba_buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct ba_problem - one thing that is wrong
 * @code: result code
 * @line: line in the file, 0 where none applies
 * @key: full key, such as "mesh.name"
 * @expected: what was expected there
 */
struct ba_problem {
	int code;
	int line;
	char *key;
	char *expected;
};

/** struct ba_problems - all that is wrong with @file; zeroed when empty */
struct ba_problems {
	char *file;
	struct ba_problem *list;
	size_t n;
};

/** ba_problem_add() - add one problem; @fmt says what was expected */
void ba_problem_add(struct ba_problems *p, int code, int line, const char *key,
		    const char *fmt, ...) __attribute__((format(printf, 5, 6)));

/** ba_problems_format() - one line for each, "file:line: key: ..." */
void ba_problems_format(const struct ba_problems *p, struct ba_buf *out);

/** ba_problems_free() - free the members; the list is empty again */
void ba_problems_free(struct ba_problems *p);

#ifdef __cplusplus
}
#endif
#endif
