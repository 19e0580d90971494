/*
 * Messages between replicas as the bytes of an RpMessage.
 */
#ifndef RP_CODEC_H
#define RP_CODEC_H

#include "replica/rp_core.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct rp_received - a decoded message with what it borrows from */
struct rp_received {
	struct rp_message message;
	void *raw;
	struct rp_entry **entries;
};

/**
 * rp_message_encode() - append a packed RpMessage
 * @log: where the entries of an append are
 * @state: where the chunk of an installation is
 * @chunk: most bytes of a chunk
 */
void rp_message_encode(const struct rp_message *m, const struct rp_log *log,
		       const struct ba_buf *state, size_t chunk,
		       struct ba_buf *out);

/**
 * rp_message_decode() - read a packed RpMessage
 *
 * Return: %BA_OK or %WI_FRAME_GARBAGE; @out is to be freed only on success.
 */
int rp_message_decode(const void *data, size_t len, struct rp_received *out);

/** rp_received_free() - free what a decoded message borrows from */
void rp_received_free(struct rp_received *r);

#ifdef __cplusplus
}
#endif
#endif
