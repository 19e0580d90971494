/*
 * An account of the memory that other ends make a process hold: what has come of
 * their requests, what they have not taken of answers, and their connections.
 *
 * Rules:
 * - Each holder has a charge, which it sets to what it holds now, in O(1).
 * - The account decides nothing by itself; its limit is below the memory of the
 *   instance by what the process needs for its own work.
 * - An account is used only from the thread of one loop.
 */
#ifndef BA_ACCOUNT_H
#define BA_ACCOUNT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Memory in MB, where the settings tell nothing of the instance. */
#define BA_ACCOUNT_DEFAULT_MB "160"
/* A holder that has moved nothing for this long may have to go. */
#define BA_HOLD_QUIET_TIME BA_SECOND

enum {
	/* What is no longer still fits when the limit is reached. */
	BA_ACCOUNT_SMALL_BYTES = 16 * 1024,
	/* A holder of less is not worth closing. */
	BA_HOLD_MIN_BYTES = 16 * 1024,
};

/** enum ba_crowd_act - what is done against a crowd */
enum ba_crowd_act {
	BA_CROWD_REFUSED,     /* a request, for want of memory */
	BA_CROWD_CLOSED,      /* a connection that held much and moved little */
	BA_CROWD_TURNED_AWAY, /* a connection, for want of descriptors */
	BA_CROWD_ACTS,
};

/**
 * struct ba_account - an account
 * @limit: bytes that all charges together may reach, SIZE_MAX for no limit
 * @used: their sum
 * @conns: connections that are charged to it
 * @refs: number of references
 * @acts: number of acts since the last line of the log about them
 * @logged_at: time of that line
 */
struct ba_account {
	size_t limit;
	size_t used;
	unsigned int conns;
	unsigned int refs;
	uint64_t acts[BA_CROWD_ACTS];
	ba_time logged_at;
};

/** struct ba_charge - what one holder holds; zeroed when it holds nothing */
struct ba_charge {
	struct ba_account *account;
	size_t bytes;
};

/**
 * ba_account_new() - create an empty account with one reference
 * @memory: bytes that the process may use, 0 for no limit
 */
struct ba_account *ba_account_new(uint64_t memory);

/** ba_account_ref() - take a reference; NULL is allowed */
struct ba_account *ba_account_ref(struct ba_account *a);

/** ba_account_unref() - release a reference; NULL is allowed */
void ba_account_unref(struct ba_account *a);

/** ba_charge_set() - state that the holder of @c holds @bytes now */
void ba_charge_set(struct ba_charge *c, size_t bytes);

/**
 * ba_account_has_room() - whether @more bytes fit, of @total that the holder then
 * has
 */
bool ba_account_has_room(const struct ba_account *a, size_t more, size_t total);

/** ba_account_is_tight() - whether holders should keep less than they may */
bool ba_account_is_tight(const struct ba_account *a);

/** ba_account_note() - log an act, in one line a second at most */
void ba_account_note(struct ba_account *a, enum ba_crowd_act act, ba_time now);

/**
 * ba_hold_weight() - how much is gained by closing a holder, 0 for nothing
 * @bytes: what it holds
 * @quiet: time since it last moved something
 *
 * Answers crowds that fill memory and stop: who holds the most and has been quiet
 * for the longest weighs the most, and who still moves weighs nothing.
 */
double ba_hold_weight(size_t bytes, ba_time quiet);

#ifdef __cplusplus
}
#endif
#endif
