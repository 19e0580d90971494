/*
 * The part of the replicated log that is held in memory: the entries behind
 * the last snapshot, and some before it for followers that are behind.
 *
 * Rules:
 * - Entries stand in the order of their index, without a gap.
 * - An entry is never changed; it is dropped at the end by a conflict or at
 *   the front by a snapshot.
 */
#ifndef RP_LOG_H
#define RP_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct rp_entry - one entry of the log
 * @kind: RpEntryKind, which says what message the body holds
 * @len: bytes of the body
 */
struct rp_entry {
	uint64_t index;
	uint64_t term;
	int kind;
	size_t len;
	uint8_t body[];
};

/**
 * struct rp_log - entries @first to @first + @n - 1
 * @snapshot_index: last entry that the snapshot covers, 0 for none
 * @snapshot_term: its term
 * @bytes: bodies held
 */
struct rp_log {
	struct rp_entry **entries;
	size_t n;
	size_t alloc;
	uint64_t first;
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	size_t bytes;
};

/** rp_entry_new() - an entry with a copy of @body */
struct rp_entry *rp_entry_new(uint64_t index, uint64_t term, int kind,
			      const void *body, size_t len);

/** rp_log_init() - an empty log behind a snapshot */
void rp_log_init(struct rp_log *l, uint64_t snapshot_index,
		 uint64_t snapshot_term);

/** rp_log_free() - free all entries */
void rp_log_free(struct rp_log *l);

/** rp_log_append() - take over @e, which must be the next one */
void rp_log_append(struct rp_log *l, struct rp_entry *e);

/** rp_log_truncate() - drop the entries from @index on */
void rp_log_truncate(struct rp_log *l, uint64_t index);

/**
 * rp_log_compact() - a snapshot covers the entries up to @index
 * @keep: how many of these stay for followers that are behind
 */
void rp_log_compact(struct rp_log *l, uint64_t index, size_t keep);

/** rp_log_reset() - drop all entries; a snapshot came from the leader */
void rp_log_reset(struct rp_log *l, uint64_t index, uint64_t term);

/** rp_log_get() - the entry at @index, or NULL when it is not held */
const struct rp_entry *rp_log_get(const struct rp_log *l, uint64_t index);

/** rp_log_last() - index of the last entry, or of the snapshot */
uint64_t rp_log_last(const struct rp_log *l);

/** rp_log_term() - the term of entry @index; whether it is known */
bool rp_log_term(const struct rp_log *l, uint64_t index, uint64_t *term);

#ifdef __cplusplus
}
#endif
#endif
