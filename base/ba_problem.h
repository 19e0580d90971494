/*
 * A list of the problems found in one file, so that all are reported at once.
 */
#ifndef BA_PROBLEM_H
#define BA_PROBLEM_H

#include <stddef.h>

#include "base/ba_buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct ba_problem - one problem
 * @code: result code
 * @line: line in the file, 0 where none applies
 * @key: full key, such as "mesh.name"; may be NULL
 * @expected: description of what was expected
 */
struct ba_problem {
	int code;
	int line;
	char *key;
	char *expected;
};

/** struct ba_problems - all problems of @file; zeroed when empty */
struct ba_problems {
	char *file;
	struct ba_problem *list;
	size_t n;
};

/** ba_problem_add() - add a problem; @fmt describes what was expected */
void ba_problem_add(struct ba_problems *p, int code, int line, const char *key,
		    const char *fmt, ...) __attribute__((format(printf, 5, 6)));

/** ba_problems_format() - append a line "file:line: key: ..." per problem */
void ba_problems_format(const struct ba_problems *p, struct ba_buf *out);

/** ba_problems_free() - free the members and empty the list */
void ba_problems_free(struct ba_problems *p);

#ifdef __cplusplus
}
#endif
#endif
