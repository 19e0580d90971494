/*
 * Encoding of messages between replicas as RpMessage.
 */
#ifndef RP_CODEC_H
#define RP_CODEC_H

#include "replica/rp_core.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct rp_received - a decoded message and the memory it refers to */
struct rp_received {
	struct rp_message message;
	void *proto;
	struct rp_entry **entries;
};

/**
 * rp_message_encode() - append a packed RpMessage to @out
 * @log: holds the entries that an append refers to
 * @state: packed snapshot, for the chunk of an install message
 * @chunk_bytes: most bytes in a chunk
 */
void rp_message_encode(const struct rp_message *m, const struct rp_log *log,
		       const struct ba_buf *state, size_t chunk_bytes,
		       struct ba_buf *out);

/**
 * rp_message_decode() - read a packed RpMessage
 *
 * Return: %BA_OK or %WI_FRAME_GARBAGE.  On success the caller frees @out with
 * rp_received_free(); on failure there is nothing to free.
 */
int rp_message_decode(const void *data, size_t len, struct rp_received *out);

/** rp_received_free() - free the memory that a decoded message refers to */
void rp_received_free(struct rp_received *r);

#ifdef __cplusplus
}
#endif
#endif
