/*
 * Private to replica/: who waits for the outcomes of submissions.
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

/** rp_waiters_init() - nobody waits */
void rp_waiters_init(struct rp_waiters *w);

/** rp_waiters_free() - forget all */
void rp_waiters_free(struct rp_waiters *w);

/** rp_waiters_add() - @token waits for @id, which went into entry @index */
void rp_waiters_add(struct rp_waiters *w, uint64_t token, const char *id,
		    uint64_t index, ba_time deadline);

/** rp_waiters_index() - the entry that @id went into, 0 if nobody waits */
uint64_t rp_waiters_index(const struct rp_waiters *w, const char *id);

/** rp_waiters_take() - take out a waiter for @id, or with NULL the first */
bool rp_waiters_take(struct rp_waiters *w, const char *id, uint64_t *token);

/**
 * rp_waiters_move() - move to @to who waits no longer than @until for an
 * entry not before @from
 */
void rp_waiters_move(struct rp_waiters *w, ba_time until, uint64_t from,
		     struct rp_waiters *to);

/** rp_waiters_forget() - @token does not wait any more */
void rp_waiters_forget(struct rp_waiters *w, uint64_t token);

/** rp_waiters_deadline() - the first deadline, or %BA_NEVER */
ba_time rp_waiters_deadline(const struct rp_waiters *w);

#endif
