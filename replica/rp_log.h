/*
 * The part of the replicated log that is held in memory: the entries after
 * the last snapshot, and some before it for followers that lag.
 *
 * Rules:
 * - Entries are in the order of their index, without a gap.
 * - An entry is never changed.  A conflict drops entries at the end, a
 *   snapshot drops entries at the front.
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
 * @kind: RpEntryKind, the type of message in @body
 * @len: bytes in @body
 */
struct rp_entry {
	uint64_t index;
	uint64_t term;
	int kind;
	size_t len;
	uint8_t body[];
};

/**
 * struct rp_log - the entries @first to @first + @n - 1
 * @snapshot_index: last entry that the snapshot covers, 0 for none
 * @snapshot_term: term of that entry
 * @bytes: total bytes of the bodies
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

/** rp_entry_new() - create an entry with a copy of @body */
struct rp_entry *rp_entry_new(uint64_t index, uint64_t term, int kind,
			      const void *body, size_t len);

/** rp_log_init() - initialize an empty log that follows a snapshot */
void rp_log_init(struct rp_log *l, uint64_t snapshot_index,
		 uint64_t snapshot_term);

/** rp_log_free() - free all entries */
void rp_log_free(struct rp_log *l);

/** rp_log_append() - append @e, which must be the next entry; takes it over */
void rp_log_append(struct rp_log *l, struct rp_entry *e);

/** rp_log_truncate() - drop the entries from @index on */
void rp_log_truncate(struct rp_log *l, uint64_t index);

/**
 * rp_log_compact() - drop entries that a snapshot at @index covers
 * @keep: number of covered entries to keep for followers that lag
 */
void rp_log_compact(struct rp_log *l, uint64_t index, size_t keep);

/** rp_log_reset() - drop all entries; the log follows a snapshot at @index */
void rp_log_reset(struct rp_log *l, uint64_t index, uint64_t term);

/** rp_log_get() - entry at @index, or NULL when it is not in memory */
const struct rp_entry *rp_log_get(const struct rp_log *l, uint64_t index);

/** rp_log_last() - index of the last entry, or of the snapshot */
uint64_t rp_log_last(const struct rp_log *l);

/** rp_log_term() - set @term to that of entry @index; false when unknown */
bool rp_log_term(const struct rp_log *l, uint64_t index, uint64_t *term);

#ifdef __cplusplus
}
#endif
#endif
