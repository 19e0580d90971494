/*
 * What other backend servers state, as their proxies told this one.
 *
 * A proxy that restarts has forgotten what its backend server stated.  The
 * others repeat it to that proxy with their requests.
 *
 * Rules:
 * - An entry belongs to one start of a backend server, by a digest.
 * - An entry is forgotten when the other proxy tells that nothing is stated any
 *   more, or %CL_STATED_MEMORY after it was told last.
 * - There are at most %CL_STATED_MAX entries; the one that was told first is
 *   dropped for a new one.
 */
#ifndef CL_STATED_H
#define CL_STATED_H

#include "call/cl_limit.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { CL_STATED_MAX = 1024 };

#define CL_STATED_MEMORY (10 * BA_MINUTE)

/**
 * struct cl_stated - what one backend server states
 * @start: digest of its id and its start
 * @told_at: when the proxy beside it told that
 */
struct cl_stated {
	uint64_t start;
	struct cl_statement statement;
	ba_time told_at;
};

struct cl_stated_table;

/** cl_stated_new() - create an empty table */
struct cl_stated_table *cl_stated_new(void);

/** cl_stated_free() - free @t; NULL is allowed */
void cl_stated_free(struct cl_stated_table *t);

/**
 * cl_stated_learn() - process what the proxy of @instance tells
 *
 * Return: whether an entry of another instance was dropped for it.
 */
bool cl_stated_learn(struct cl_stated_table *t, const char *instance,
		     uint64_t start, const struct cl_statement *s, ba_time now);

/** cl_stated_find() - look up what was told; NULL if nothing is known */
const struct cl_stated *cl_stated_find(struct cl_stated_table *t,
				       const char *instance, ba_time now);

/** cl_stated_count() - count the entries */
unsigned int cl_stated_count(const struct cl_stated_table *t);

#ifdef __cplusplus
}
#endif
#endif
