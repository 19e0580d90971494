/*
 * Schedules the writes of an instance's connections on their shared outgoing
 * link, with a token bucket and two ranks.  The kernel sends in the order of
 * writing, so a short answer would wait behind all that was written before
 * it.  Long messages are queued in user space instead.
 *
 * This serves a backend server whose long answers nearly fill its link, and
 * which also answers short calls that have tight deadlines.
 *
 * Rules:
 * - A short message is never delayed, but it takes tokens too.
 * - Long messages are sent by deadline, then in order of arrival, a piece at a
 *   time, at the rate of the link.  One whose receiver accepts no more is passed
 *   over.
 * - A message that cannot be complete by its deadline moves to the second rank,
 *   so that it delays none that can.
 * - The second rank gets the rate that the first leaves unused, and a small
 *   share in any case, so that it does not starve.
 * - A message of the second rank whose receiver leaves soon goes before all
 *   others, as late as it can be complete by then.  If the rate does not suffice
 *   for all of these, the largest are given up first.
 * - At most one piece is written ahead of the rate.
 */
#ifndef HT_LINK_H
#define HT_LINK_H

#include <stdbool.h>
#include <stddef.h>

#include "base/ba_list.h"
#include "base/ba_loop.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	HT_LINK_SHORT_BYTES = 16 * 1024, /* longest message never delayed */
	HT_LINK_PIECE_BYTES = 16 * 1024, /* longest write of other messages */
	HT_LINK_BURST_BYTES = 16 * 1024, /* limit of the token bucket */
	HT_LINK_RANKS = 2,
};

/* How long after its expiry a message may still be of use. */
#define HT_LINK_EXPIRY_TAIL (500 * BA_MS)

struct ht_link;

/**
 * struct ht_link_user - one connection; embed it
 * @may_write: callback; the user calls ht_link_request() again
 * @link: entry in the queue of its rank; empty when not queued
 * @blocked: its receiver accepts no more, until the next ht_link_request()
 * @rank: 0, or 1 for the smaller share
 * @deadline: when its message is to be complete, 0 for none
 * @expiry: when its receiver is about to leave, 0 if not known; a message that
 *	cannot be complete %HT_LINK_EXPIRY_TAIL later is given up first
 * @unsent: bytes that are not written yet
 * @to_come: bytes that will follow these
 */
struct ht_link_user {
	void (*may_write)(struct ht_link_user *u);
	struct ba_list link;
	bool blocked;
	unsigned int rank;
	ba_time deadline;
	ba_time expiry;
	size_t unsent;
	size_t to_come;
};

/**
 * ht_link_new() - create an idle link
 * @loop: runs the link; NULL if the caller does, with ht_link_run()
 * @rate: bytes a second, or 0 if not known; then no write is delayed
 * @weight: bytes of the first rank for one byte of the second
 */
struct ht_link *ht_link_new(struct ba_loop *loop, int64_t rate, double weight,
			    ba_time now);

/**
 * ht_link_free() - empty the queues and end @l; NULL is allowed
 *
 * No user is called any more.
 */
void ht_link_free(struct ht_link *l);

/** ht_link_ref() - keep @l in memory, also after ht_link_free() */
struct ht_link *ht_link_ref(struct ht_link *l);

/** ht_link_unref() - drop a reference of ht_link_ref(); NULL is allowed */
void ht_link_unref(struct ht_link *l);

/**
 * ht_link_request() - ask how much may be written now
 * @sent: bytes of the message that were written before
 * @left: bytes of it that are ready to be written
 *
 * Return: bytes, at most @left; @u is called later for the rest.
 */
size_t ht_link_request(struct ht_link *l, struct ht_link_user *u, size_t sent,
		       size_t left, ba_time now);

/**
 * ht_link_account_write() - charge the link for @bytes that were written
 * @blocked: the receiver accepts no more now
 */
void ht_link_account_write(struct ht_link *l, struct ht_link_user *u,
			   size_t bytes, bool blocked);

/**
 * ht_link_set_end() - tell when the sender itself is about to leave
 *
 * No user has a later expiry from now on.
 */
void ht_link_set_end(struct ht_link *l, ba_time end);

/** ht_link_dequeue() - remove @u, which has nothing to write or cannot */
void ht_link_dequeue(struct ht_link *l, struct ht_link_user *u);

/** ht_link_set_rank() - set the rank of @u; a queued user moves */
void ht_link_set_rank(struct ht_link *l, struct ht_link_user *u,
		      unsigned int rank);

/** ht_link_set_unsent() - record that @u has @unsent bytes to write */
void ht_link_set_unsent(struct ht_link *l, struct ht_link_user *u,
			size_t unsent);

/** ht_link_unsent() - get the unwritten bytes of all users of @rank */
size_t ht_link_unsent(const struct ht_link *l, unsigned int rank);

/** ht_link_count_unsent_users() - count users with unwritten bytes */
unsigned int ht_link_count_unsent_users(const struct ht_link *l);

/** ht_link_next_run() - get the time of the next ht_link_run(), or %BA_NEVER */
ba_time ht_link_next_run(const struct ht_link *l);

/** ht_link_run() - call queued users while there are tokens */
void ht_link_run(struct ht_link *l, ba_time now);

#ifdef __cplusplus
}
#endif
#endif
