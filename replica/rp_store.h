/*
 * Durable storage of a replica.  In production it is a data folder
 * (rp_disk.h); tests use a store in memory that loses unsynced bytes.
 *
 * Rules:
 * - The effect of an operation that returned %BA_OK survives any crash; only
 *   append also needs a sync.
 * - An operation that fails leaves the earlier content as it was.
 * - Entries that were synced and not truncated are loaded again, or the store
 *   reports damage; it cuts off only bytes that were never synced.
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
	RP_DISK_ID_BYTES = 33, /* 32 hexadecimal digits and a NUL */
};

/**
 * struct rp_recovered - content of the store at start
 * @disk_id: identity of the disk; new when there was none or it is damaged
 * @term: newest term seen
 * @vote: name of the replica that got the vote of this term, "" for none
 * @leader: name of the leader that was followed in this term, "" if not known
 * @snapshot: packed state machine as of @log.snapshot_index, may be empty
 * @log: the entries
 * @damaged: synced entries are missing or changed, or were at an earlier start
 *	and no entry or received snapshot has been stored since; the log is then
 *	empty and the identity new
 * @cut_bytes: bytes of a torn, never synced end of the log that were cut off
 */
struct rp_recovered {
	char disk_id[RP_DISK_ID_BYTES];
	uint64_t term;
	char vote[RP_NAME_BYTES];
	char leader[RP_NAME_BYTES];
	struct ba_buf snapshot;
	struct rp_log log;
	bool damaged;
	size_t cut_bytes;
};

/** struct rp_store - a store, embedded first by its implementation */
struct rp_store {
	const struct rp_store_ops *ops;
};

/**
 * struct rp_store_ops - operations of a store; all but @close return %BA_OK,
 * %BA_DISK_FULL or %BA_FOLDER_UNWRITABLE
 * @load: read everything; called once, before any other operation
 * @append: append one entry, not yet durable
 * @sync: make the appended entries durable
 * @truncate: durably drop the entries from @index on
 * @save_vote: durably replace term and vote; no leader of the term is known
 * @save_leader: durably store the leader of the term
 * @save_snapshot: durably replace the snapshot and drop the entries before
 *	@keep_from; with @reset drop all entries
 * @close: close and free the store
 */
struct rp_store_ops {
	int (*load)(struct rp_store *s, struct rp_recovered *out);
	int (*append)(struct rp_store *s, const struct rp_entry *e);
	int (*sync)(struct rp_store *s);
	int (*truncate)(struct rp_store *s, uint64_t index);
	int (*save_vote)(struct rp_store *s, uint64_t term, const char *vote);
	int (*save_leader)(struct rp_store *s, const char *leader);
	int (*save_snapshot)(struct rp_store *s, uint64_t index, uint64_t term,
			     const struct ba_buf *state, uint64_t keep_from,
			     bool reset);
	void (*close)(struct rp_store *s);
};

#ifdef __cplusplus
}
#endif
#endif
