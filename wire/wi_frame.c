#include <arpa/inet.h>
#include <string.h>

#include "base/ba_result.h"
#include "wire/wi_frame.h"

void wi_frame_add(struct ba_buf *out, int type, const ProtobufCMessage *message)
{
	size_t len = message ? protobuf_c_message_get_packed_size(message) : 0;
	uint32_t wire_len = htonl((uint32_t)len);
	uint16_t wire_type = htons((uint16_t)type);

	ba_buf_reserve(out, WI_HEADER_BYTES + len);
	ba_buf_add(out, &wire_len, sizeof(wire_len));
	ba_buf_add(out, &wire_type, sizeof(wire_type));
	if (message)
		protobuf_c_message_pack(message, out->data + out->len);
	out->len += len;
}

long wi_frame_next(const struct ba_buf *in, size_t limit,
		   struct wi_frame *frame)
{
	uint32_t wire_len;
	uint16_t wire_type;
	size_t len;

	if (in->len < WI_HEADER_BYTES)
		return 0;
	memcpy(&wire_len, in->data, sizeof(wire_len));
	memcpy(&wire_type, in->data + sizeof(wire_len), sizeof(wire_type));
	len = ntohl(wire_len);
	if (len > limit)
		return -WI_FRAME_TOO_LARGE;
	if (in->len < WI_HEADER_BYTES + len)
		return 0;
	frame->type = ntohs(wire_type);
	frame->data = in->data + WI_HEADER_BYTES;
	frame->len = len;
	return (long)(WI_HEADER_BYTES + len);
}

ProtobufCMessage *wi_frame_unpack(const struct wi_frame *frame,
				  const ProtobufCMessageDescriptor *type)
{
	return protobuf_c_message_unpack(type, NULL, frame->len, frame->data);
}
