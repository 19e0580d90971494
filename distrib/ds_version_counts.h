/*
 * Number of daemons per version in force.  The sorted list is updated
 * incrementally, so that the cost of an acknowledgement does not depend on
 * the number of subscribers.
 */
#ifndef DS_VERSION_COUNTS_H
#define DS_VERSION_COUNTS_H

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

/** struct ds_version_counts - counts, lowest version first; zeroed when empty */
struct ds_version_counts {
	struct ds_count *list;
	size_t n;
	size_t alloc;
};

/** ds_version_counts_add() - add @daemons to the count of @version */
void ds_version_counts_add(struct ds_version_counts *t, uint64_t version,
			   uint32_t daemons);

/** ds_version_counts_subtract() - subtract @daemons from that of @version */
void ds_version_counts_subtract(struct ds_version_counts *t, uint64_t version,
				uint32_t daemons);

/**
 * ds_version_counts_summary() - copy the counts, at most %DS_COUNTS_LIMIT
 *
 * If there are more, the lowest versions are counted together as the lowest.
 * Return: the number of counts.
 */
size_t ds_version_counts_summary(const struct ds_version_counts *t,
				 struct ds_count out[DS_COUNTS_LIMIT]);

/** ds_version_counts_free() - free the list and leave it empty */
void ds_version_counts_free(struct ds_version_counts *t);

#ifdef __cplusplus
}
#endif
#endif
