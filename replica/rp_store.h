/*
 * Where a replica keeps what must survive it.  The real store is a data
 * folder (rp_disk.h); tests have one in memory that loses unsynced bytes.
 *
 * Rules:
 * - What an operation returned %BA_OK for is there after any crash; append
 *   is the exception, which needs a sync.
 * - An operation that fails changes nothing that was there before.
 * - Entries that were synced once and not truncated are found again, or the
 *   store says that it is damaged; only what was never synced is cut.
 */
#ifndef RP_STORE_H
#define RP_STORE_H

#include "base/ba_buf.h"
#include "replica/rp_log.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	RP_NAME_BYTES = 64,
	RP_DISK_ID_BYTES = 33,
};

/**
 * struct rp_recovered - what was found at the start
 * @disk_id: identity of the disk, new when there was none or it is damaged
 * @term: newest term seen
 * @vote: whom the vote of this term went to, "" for nobody
 * @snapshot: the state machine at @log.snapshot_index, may be empty
 * @log: the entries
 * @damaged: synced entries are missing or changed, now or at an earlier
 *	start with nothing caught up since; the log is empty, the identity new
 * @cut_bytes: bytes of a torn tail that was never synced and was cut
 */
struct rp_recovered {
	char disk_id[RP_DISK_ID_BYTES];
	uint64_t term;
	char vote[RP_NAME_BYTES];
	struct ba_buf snapshot;
	struct rp_log log;
	bool damaged;
	size_t cut_bytes;
};

/** struct rp_store - a store; @ops says how it works */
struct rp_store {
	const struct rp_store_ops *ops;
};

/**
 * struct rp_store_ops - all return %BA_OK, %BA_DISK_FULL or
 * %BA_FOLDER_UNWRITABLE
 * @load: read everything; called once, first
 * @append: add one entry, not yet durable
 * @sync: make what was appended durable
 * @truncate: drop the entries from @index on, durably
 * @save_vote: keep term and vote, durably
 * @save_snapshot: replace the snapshot and drop entries below @keep_from,
 *	durably; with @reset all entries are dropped
 * @close: give the store back
 */
struct rp_store_ops {
	int (*load)(struct rp_store *s, struct rp_recovered *out);
	int (*append)(struct rp_store *s, const struct rp_entry *e);
	int (*sync)(struct rp_store *s);
	int (*truncate)(struct rp_store *s, uint64_t index);
	int (*save_vote)(struct rp_store *s, uint64_t term, const char *vote);
	int (*save_snapshot)(struct rp_store *s, uint64_t index, uint64_t term,
			     const struct ba_buf *state, uint64_t keep_from,
			     bool reset);
	void (*close)(struct rp_store *s);
};

#ifdef __cplusplus
}
#endif
#endif
