/*
 * Format of entries, meta slots and the snapshot on disk.
 */
#ifndef RP_RECORD_H
#define RP_RECORD_H

#include "replica/rp_store.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	RP_RECORD_HEADER_BYTES = 12,
	RP_RECORD_LIMIT_BYTES = 64 * 1024 * 1024,
	RP_META_SLOT_BYTES = 512,
	RP_SNAPSHOT_HEADER_BYTES = 40,
};

/**
 * struct rp_meta - content of a meta slot
 * @sequence: the valid slot with the greater number is the current one
 * @synced_index: index of the last synced entry
 * @leader: leader followed in @term, "" if not known
 * @damaged: damaged files were renamed, and no entry has been synced and no
 *	received snapshot stored since
 */
struct rp_meta {
	uint64_t sequence;
	uint64_t term;
	uint64_t synced_index;
	bool damaged;
	char vote[RP_NAME_BYTES];
	char leader[RP_NAME_BYTES];
	char disk_id[RP_DISK_ID_BYTES];
};

/** rp_record_add() - append the record of entry @e */
void rp_record_add(struct ba_buf *out, const struct rp_entry *e);

/**
 * rp_record_read() - read the record at the start of @data
 * @size: set to the bytes that the record takes up
 *
 * Return: the entry, or NULL when there is no complete, valid record.
 */
struct rp_entry *rp_record_read(const uint8_t *data, size_t len, size_t *size);

/** rp_meta_write() - fill in a slot of %RP_META_SLOT_BYTES */
void rp_meta_write(uint8_t *slot, const struct rp_meta *m);

/** rp_meta_read() - read a slot; false when it is invalid */
bool rp_meta_read(const uint8_t *slot, struct rp_meta *m);

/** rp_snapshot_write() - append header and content of a snapshot file */
void rp_snapshot_write(struct ba_buf *out, uint64_t index, uint64_t term,
		       const struct ba_buf *state);

/** rp_snapshot_read() - read a snapshot file; false when it is invalid */
bool rp_snapshot_read(const struct ba_buf *file, uint64_t *index,
		      uint64_t *term, struct ba_buf *state);

#ifdef __cplusplus
}
#endif
#endif
