/*
 * How many daemons have which version in force.  A sorted list, kept by
 * adding and taking away, so that an acknowledgement costs a few steps
 * whatever the number of subscribers.
 */
#ifndef DS_TALLY_H
#define DS_TALLY_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum { DS_COUNTS_LIMIT = 16 };

/** struct ds_count - how many daemons have a version in force */
struct ds_count {
	uint64_t version;
	uint32_t daemons;
};

/** struct ds_tally - counts, lowest version first; zeroed when empty */
struct ds_tally {
	struct ds_count *list;
	size_t n;
	size_t alloc;
};

/** ds_tally_add() - @daemons more at @version */
void ds_tally_add(struct ds_tally *t, uint64_t version, uint32_t daemons);

/** ds_tally_subtract() - @daemons fewer at @version */
void ds_tally_subtract(struct ds_tally *t, uint64_t version, uint32_t daemons);

/**
 * ds_tally_summary() - the counts, at most %DS_COUNTS_LIMIT
 *
 * When there are more, those next to the lowest are counted with it.
 * Return: the number of counts.
 */
size_t ds_tally_summary(const struct ds_tally *t,
			struct ds_count out[DS_COUNTS_LIMIT]);

/** ds_tally_free() - free the list; the tally is empty again */
void ds_tally_free(struct ds_tally *t);

#ifdef __cplusplus
}
#endif
#endif
