/*
 * Frames: four bytes of message length, two bytes of type, both big-endian,
 * then a protobuf message.
 *
 * Rules: a frame longer than the limit ends the session before it is
 * buffered; a message that cannot be decoded ends the session; no decision is
 * made on data that was not decoded.
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
 * wi_frame_next() - parse the first frame of @in without consuming it
 * @limit: greatest accepted length of the message, in bytes
 *
 * Return: the size of the frame in bytes, 0 if it is not complete yet, or
 * minus %WI_FRAME_TOO_LARGE.
 */
long wi_frame_next(const struct ba_buf *in, size_t limit,
		   struct wi_frame *frame);

/**
 * wi_frame_unpack() - decode the message of a frame
 *
 * Return: the message, to be freed with protobuf_c_message_free_unpacked(),
 * or NULL if it cannot be decoded.
 */
ProtobufCMessage *wi_frame_unpack(const struct wi_frame *frame,
				  const ProtobufCMessageDescriptor *type);

#ifdef __cplusplus
}
#endif
#endif
