/*
 * Number of daemons per version in force.  The sorted list is updated
 * incrementally, so that the cost of an acknowledgement does not depend on
 * the number of subscribers.
 */
#ifndef DS_TALLY_H
#define DS_TALLY_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum { DS_COUNTS_LIMIT = 16 };

/** struct ds_count - number of daemons that have @version in force */
struct ds_count {
	uint64_t version;
	uint32_t daemons;
};

/** struct ds_tally - counts, lowest version first; all zero when empty */
struct ds_tally {
	struct ds_count *list;
	size_t n;
	size_t alloc;
};

/** ds_tally_add() - add @daemons to the count of @version */
void ds_tally_add(struct ds_tally *t, uint64_t version, uint32_t daemons);

/** ds_tally_subtract() - subtract @daemons from the count of @version */
void ds_tally_subtract(struct ds_tally *t, uint64_t version, uint32_t daemons);

/**
 * ds_tally_summary() - copy the counts, at most %DS_COUNTS_LIMIT
 *
 * If there are more, the lowest versions are counted together as the lowest.
 * Return: the number of counts.
 */
size_t ds_tally_summary(const struct ds_tally *t,
			struct ds_count out[DS_COUNTS_LIMIT]);

/** ds_tally_free() - free the list and leave the tally empty */
void ds_tally_free(struct ds_tally *t);

#ifdef __cplusplus
}
#endif
#endif
