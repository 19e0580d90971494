/*
 * Frames: four bytes of length, two bytes of type, both big-endian, then a
 * protobuf message.
 *
 * Rules: a frame longer than the limit ends the session before it is
 * buffered; a message that cannot be decoded ends the session; nothing
 * undecoded reaches a decision.
 */
#ifndef WI_FRAME_H
#define WI_FRAME_H

#include <protobuf-c/protobuf-c.h>

#include "base/ba_buf.h"
#include "wire/wi_type.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { WI_HEADER_BYTES = 6 };

/** struct wi_frame - a received frame; @data points into the read buffer */
struct wi_frame {
	int type;
	const uint8_t *data;
	size_t len;
};

/** wi_frame_add() - append a frame to @out; @message may be NULL */
void wi_frame_add(struct ba_buf *out, int type,
		  const ProtobufCMessage *message);

/**
 * wi_frame_next() - take the first frame of @in without consuming it
 * @limit: greatest length that is accepted
 *
 * Return: the bytes the frame takes up, 0 when it is not whole yet, or
 * minus %WI_FRAME_TOO_LARGE.
 */
long wi_frame_next(const struct ba_buf *in, size_t limit,
		   struct wi_frame *frame);

/**
 * wi_frame_unpack() - decode the message of a frame
 *
 * Return: the message, to be freed with protobuf_c_message_free_unpacked(),
 * or NULL when it cannot be decoded.
 */
ProtobufCMessage *wi_frame_unpack(const struct wi_frame *frame,
				  const ProtobufCMessageDescriptor *type);

#ifdef __cplusplus
}
#endif
#endif
