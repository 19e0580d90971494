/*
 * Private to replica/: callers that wait for the outcomes of submissions.
 */
#ifndef RP_WAITERS_H
#define RP_WAITERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/ba_clock.h"
#include "base/ba_list.h"

/** struct rp_waiters - waiters in the order of their deadlines */
struct rp_waiters {
	struct ba_list list;
	size_t n;
};

/** rp_waiters_init() - initialize an empty list */
void rp_waiters_init(struct rp_waiters *w);

/** rp_waiters_free() - remove all waiters */
void rp_waiters_free(struct rp_waiters *w);

/**
 * rp_waiters_add() - add a waiter for the outcome of a submission
 * @token: identifies the waiter
 * @id: submission id
 * @index: index of the entry of the submission
 * @deadline: when to stop waiting; not before that of the waiters so far
 */
void rp_waiters_add(struct rp_waiters *w, uint64_t token, const char *id,
		    uint64_t index, ba_time deadline);

/** rp_waiters_index() - index of the entry of @id, 0 when none waits for it */
uint64_t rp_waiters_index(const struct rp_waiters *w, const char *id);

/**
 * rp_waiters_take() - remove the first waiter for @id, or for any id when NULL
 * @token: set to the token of the waiter
 *
 * Return: false when there is none.
 */
bool rp_waiters_take(struct rp_waiters *w, const char *id, uint64_t *token);

/**
 * rp_waiters_move() - move waiters to @to
 * @until: only those with a deadline up to this time
 * @from: only those for an entry at this index or after it
 */
void rp_waiters_move(struct rp_waiters *w, ba_time until, uint64_t from,
		     struct rp_waiters *to);

/** rp_waiters_remove() - remove the waiters with @token */
void rp_waiters_remove(struct rp_waiters *w, uint64_t token);

/** rp_waiters_deadline() - earliest deadline, or %BA_NEVER */
ba_time rp_waiters_deadline(const struct rp_waiters *w);

#endif
