/*
 * The outgoing link of an instance, shared by its connections.  The kernel
 * sends in the order of writing, so that a short answer would wait behind all
 * that was written before it; here long messages wait instead, in user space.
 *
 * The load it answers: a backend server with long answers that nearly fill
 * its link, and that also answers short calls with little time.
 *
 * Rules:
 * - A short message is never held back; its bytes count all the same.
 * - Long ones go one after the other in the order in which they came, a piece
 *   at a time, at the rate of the link; one whose receiver does not take
 *   more lets others by.
 * - Those of the second rank get what the first leaves, and a small share in
 *   any case, so that none stands still.
 * - No more than a piece is written ahead of the rate.
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
	HT_LINK_SHORT_BYTES =
		16 * 1024, /* bytes of a message that never waits */
	HT_LINK_PIECE_BYTES =
		16 * 1024, /* bytes written at once of a longer one */
	HT_LINK_BURST_BYTES = 16 * 1024, /* what an idle link may make up for */
	HT_LINK_RANKS = 2,
};

struct ht_link;

/**
 * struct ht_link_user - one connection; embed it
 * @go: it may write; calls ht_link_request() again
 * @link: in the list of those that wait, or empty
 * @full: its receiver takes no more now, which the next ask ends
 * @rank: 0, or 1 for the lesser share
 * @unsent: bytes that are not written
 */
struct ht_link_user {
	void (*may_write)(struct ht_link_user *u);
	struct ba_list link;
	bool blocked;
	unsigned int rank;
	size_t unsent;
};

/**
 * ht_link_new() - a link that is idle
 * @loop: calls those that wait; NULL when the caller does by ht_link_run()
 * @rate: bytes a second, or 0 when it is not known and nobody waits
 * @weight: bytes of the first rank for one of the second
 */
struct ht_link *ht_link_new(struct ba_loop *loop, int64_t rate, double weight,
			    ba_time now);

/** ht_link_free() - nobody waits any more; NULL is allowed */
void ht_link_free(struct ht_link *l);

/**
 * ht_link_request() - how much may be written now
 * @sent: bytes of the message that were written before
 * @left: bytes of it that are here to be written
 *
 * Return: bytes, at most @left; for what is left over @u is called later.
 */
size_t ht_link_request(struct ht_link *l, struct ht_link_user *u, size_t sent,
		       size_t left, ba_time now);

/**
 * ht_link_account_write() - @bytes were written
 * @full: the receiver takes no more now
 */
void ht_link_account_write(struct ht_link *l, struct ht_link_user *u,
			   size_t bytes, bool full);

/** ht_link_dequeue() - @u has nothing to write, or cannot */
void ht_link_dequeue(struct ht_link *l, struct ht_link_user *u);

/** ht_link_set_rank() - the place of @u among those that wait, from now on */
void ht_link_set_rank(struct ht_link *l, struct ht_link_user *u,
		      unsigned int rank);

/** ht_link_set_unsent() - @u has @unsent bytes that are not written */
void ht_link_set_unsent(struct ht_link *l, struct ht_link_user *u,
			size_t unsent);

/** ht_link_unsent() - bytes that are not written, of users of @rank */
size_t ht_link_unsent(const struct ht_link *l, unsigned int rank);

/** ht_link_count_unsent_users() - users that have bytes that are not written */
unsigned int ht_link_count_unsent_users(const struct ht_link *l);

/** ht_link_next_run() - when ht_link_run() is due, or %BA_NEVER */
ba_time ht_link_next_run(const struct ht_link *l);

/** ht_link_run() - call those whose turn has come */
void ht_link_run(struct ht_link *l, ba_time now);

#ifdef __cplusplus
}
#endif
#endif
