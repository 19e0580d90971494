#include <string.h>

#include <glib.h>

#include "base/ba_result.h"
#include "replica/rp_codec.h"
#include "wire/rp.pb-c.h"

/*
 * Sources of the content that a message only refers to.
 * @log: holds the entries of an append
 * @state: packed snapshot of an install message
 * @chunk_bytes: most bytes in a chunk of @state
 */
struct content {
	const struct rp_log *log;
	const struct ba_buf *state;
	size_t chunk_bytes;
};

typedef void (*encoder)(const struct rp_message *m, const struct content *from,
			struct ba_buf *out);
typedef bool (*decoder)(const RpMessage *proto, struct rp_received *out);

static void encode_vote_request(const struct rp_message *m,
				const struct content *from, struct ba_buf *out);
static void encode_vote_reply(const struct rp_message *m,
			      const struct content *from, struct ba_buf *out);
static void encode_append(const struct rp_message *m,
			  const struct content *from, struct ba_buf *out);
static void encode_append_reply(const struct rp_message *m,
				const struct content *from, struct ba_buf *out);
static void encode_install(const struct rp_message *m,
			   const struct content *from, struct ba_buf *out);
static void encode_install_reply(const struct rp_message *m,
				 const struct content *from,
				 struct ba_buf *out);
static void encode_probe(const struct rp_message *m, const struct content *from,
			 struct ba_buf *out);
static void encode_handover(const struct rp_message *m,
			    const struct content *from, struct ba_buf *out);
static bool decode_vote_request(const RpMessage *proto,
				struct rp_received *out);
static bool decode_vote_reply(const RpMessage *proto, struct rp_received *out);
static bool decode_append(const RpMessage *proto, struct rp_received *out);
static bool decode_append_reply(const RpMessage *proto,
				struct rp_received *out);
static bool decode_install(const RpMessage *proto, struct rp_received *out);
static bool decode_install_reply(const RpMessage *proto,
				 struct rp_received *out);
static bool decode_probe(const RpMessage *proto, struct rp_received *out);
static bool decode_handover(const RpMessage *proto, struct rp_received *out);
static void pack(const RpMessage *proto, struct ba_buf *out);
static bool decode_disk_id(const char *id, struct rp_received *out);

static const encoder encoders[] = {
	[RP_VOTE_REQUEST] = encode_vote_request,
	[RP_VOTE_REPLY] = encode_vote_reply,
	[RP_APPEND] = encode_append,
	[RP_APPEND_REPLY] = encode_append_reply,
	[RP_INSTALL] = encode_install,
	[RP_INSTALL_REPLY] = encode_install_reply,
	[RP_PROBE] = encode_probe,
	[RP_HANDOVER] = encode_handover,
};

static const decoder decoders[] = {
	[RP_MESSAGE__BODY_VOTE_REQUEST] = decode_vote_request,
	[RP_MESSAGE__BODY_VOTE_REPLY] = decode_vote_reply,
	[RP_MESSAGE__BODY_APPEND] = decode_append,
	[RP_MESSAGE__BODY_APPEND_REPLY] = decode_append_reply,
	[RP_MESSAGE__BODY_INSTALL] = decode_install,
	[RP_MESSAGE__BODY_INSTALL_REPLY] = decode_install_reply,
	[RP_MESSAGE__BODY_PROBE] = decode_probe,
	[RP_MESSAGE__BODY_HANDOVER] = decode_handover,
};

void rp_message_encode(const struct rp_message *m, const struct rp_log *log,
		       const struct ba_buf *state, size_t chunk_bytes,
		       struct ba_buf *out)
{
	const struct content from = {log, state, chunk_bytes};

	encoders[m->type](m, &from, out);
}

int rp_message_decode(const void *data, size_t len, struct rp_received *out)
{
	RpMessage *proto = rp_message__unpack(NULL, len, data);
	decoder decode = NULL;

	memset(out, 0, sizeof(*out));
	if (!proto)
		return WI_FRAME_GARBAGE;
	if ((size_t)proto->body_case < G_N_ELEMENTS(decoders))
		decode = decoders[proto->body_case];
	out->proto = proto;
	if (decode && decode(proto, out))
		return BA_OK;
	rp_received_free(out);
	return WI_FRAME_GARBAGE;
}

void rp_received_free(struct rp_received *r)
{
	for (size_t i = 0; i < r->message.n_entries; i++)
		g_free(r->entries[i]);
	g_free(r->entries);
	rp_message__free_unpacked(r->proto, NULL);
	memset(r, 0, sizeof(*r));
}

static void encode_vote_request(const struct rp_message *m,
				const struct content *from, struct ba_buf *out)
{
	RpVoteRequest body = RP_VOTE_REQUEST__INIT;
	RpMessage proto = RP_MESSAGE__INIT;

	(void)from;
	body.term = m->term;
	body.last_index = m->index;
	body.last_term = m->log_term;
	body.pre = m->pre;
	body.handover = m->handover;
	body.forming = m->forming;
	body.voter_disk = (char *)m->disk_id;
	proto.body_case = RP_MESSAGE__BODY_VOTE_REQUEST;
	proto.vote_request = &body;
	pack(&proto, out);
}

static void encode_vote_reply(const struct rp_message *m,
			      const struct content *from, struct ba_buf *out)
{
	RpVoteReply body = RP_VOTE_REPLY__INIT;
	RpMessage proto = RP_MESSAGE__INIT;

	(void)from;
	body.term = m->term;
	body.granted = m->granted;
	body.pre = m->pre;
	body.disk_id = (char *)m->disk_id;
	proto.body_case = RP_MESSAGE__BODY_VOTE_REPLY;
	proto.vote_reply = &body;
	pack(&proto, out);
}

static void encode_append(const struct rp_message *m,
			  const struct content *from, struct ba_buf *out)
{
	RpAppend body = RP_APPEND__INIT;
	RpMessage proto = RP_MESSAGE__INIT;
	RpEntry *entries = g_new(RpEntry, m->n_entries + 1);
	RpEntry **list = g_new(RpEntry *, m->n_entries + 1);

	for (size_t i = 0; i < m->n_entries; i++) {
		const struct rp_entry *e =
			rp_log_get(from->log, m->index + 1 + i);

		rp_entry__init(&entries[i]);
		entries[i].index = e->index;
		entries[i].term = e->term;
		entries[i].kind = (RpEntryKind)e->kind;
		entries[i].body.data = (uint8_t *)e->body;
		entries[i].body.len = e->len;
		list[i] = &entries[i];
	}
	body.term = m->term;
	body.previous_index = m->index;
	body.previous_term = m->log_term;
	body.commit = m->commit;
	body.round = m->round;
	body.entries = list;
	body.n_entries = m->n_entries;
	proto.body_case = RP_MESSAGE__BODY_APPEND;
	proto.append = &body;
	pack(&proto, out);
	g_free(list);
	g_free(entries);
}

static void encode_append_reply(const struct rp_message *m,
				const struct content *from, struct ba_buf *out)
{
	RpAppendReply body = RP_APPEND_REPLY__INIT;
	RpMessage proto = RP_MESSAGE__INIT;

	(void)from;
	body.term = m->term;
	body.accepted = m->accepted;
	body.match_index = m->index;
	body.round = m->round;
	body.disk_id = (char *)m->disk_id;
	body.lowest = m->lowest_version;
	body.daemons = m->daemons;
	body.live = m->live;
	proto.body_case = RP_MESSAGE__BODY_APPEND_REPLY;
	proto.append_reply = &body;
	pack(&proto, out);
}

static void encode_install(const struct rp_message *m,
			   const struct content *from, struct ba_buf *out)
{
	RpInstall body = RP_INSTALL__INIT;
	RpMessage proto = RP_MESSAGE__INIT;
	size_t at = MIN((size_t)m->offset, from->state->len);

	body.term = m->term;
	body.last_index = m->index;
	body.last_term = m->log_term;
	body.offset = m->offset;
	body.chunk.data = from->state->data + at;
	body.chunk.len = MIN(from->state->len - at, from->chunk_bytes);
	body.done = at + body.chunk.len == from->state->len;
	body.round = m->round;
	proto.body_case = RP_MESSAGE__BODY_INSTALL;
	proto.install = &body;
	pack(&proto, out);
}

static void encode_install_reply(const struct rp_message *m,
				 const struct content *from, struct ba_buf *out)
{
	RpInstallReply body = RP_INSTALL_REPLY__INIT;
	RpMessage proto = RP_MESSAGE__INIT;

	(void)from;
	body.term = m->term;
	body.last_index = m->index;
	body.offset = m->offset;
	body.round = m->round;
	body.disk_id = (char *)m->disk_id;
	proto.body_case = RP_MESSAGE__BODY_INSTALL_REPLY;
	proto.install_reply = &body;
	pack(&proto, out);
}

static void encode_probe(const struct rp_message *m, const struct content *from,
			 struct ba_buf *out)
{
	RpProbe body = RP_PROBE__INIT;
	RpMessage proto = RP_MESSAGE__INIT;

	(void)from;
	body.disk_id = (char *)m->disk_id;
	body.formed = m->formed;
	body.answer = m->is_reply;
	body.damaged = m->damaged;
	proto.body_case = RP_MESSAGE__BODY_PROBE;
	proto.probe = &body;
	pack(&proto, out);
}

static void encode_handover(const struct rp_message *m,
			    const struct content *from, struct ba_buf *out)
{
	RpHandover body = RP_HANDOVER__INIT;
	RpMessage proto = RP_MESSAGE__INIT;

	(void)from;
	body.term = m->term;
	proto.body_case = RP_MESSAGE__BODY_HANDOVER;
	proto.handover = &body;
	pack(&proto, out);
}

static bool decode_vote_request(const RpMessage *proto, struct rp_received *out)
{
	const RpVoteRequest *body = proto->vote_request;
	struct rp_message *m = &out->message;

	m->type = RP_VOTE_REQUEST;
	m->term = body->term;
	m->index = body->last_index;
	m->log_term = body->last_term;
	m->pre = body->pre;
	m->handover = body->handover;
	m->forming = body->forming;
	return decode_disk_id(body->voter_disk, out);
}

static bool decode_vote_reply(const RpMessage *proto, struct rp_received *out)
{
	const RpVoteReply *body = proto->vote_reply;
	struct rp_message *m = &out->message;

	m->type = RP_VOTE_REPLY;
	m->term = body->term;
	m->granted = body->granted;
	m->pre = body->pre;
	return decode_disk_id(body->disk_id, out);
}

static bool decode_append(const RpMessage *proto, struct rp_received *out)
{
	const RpAppend *body = proto->append;
	struct rp_message *m = &out->message;

	m->type = RP_APPEND;
	m->term = body->term;
	m->index = body->previous_index;
	m->log_term = body->previous_term;
	m->commit = body->commit;
	m->round = body->round;
	out->entries = g_new0(struct rp_entry *, body->n_entries + 1);
	for (size_t i = 0; i < body->n_entries; i++) {
		const RpEntry *e = body->entries[i];

		out->entries[i] = rp_entry_new(e->index, e->term, (int)e->kind,
					       e->body.data, e->body.len);
	}
	m->entries = out->entries;
	m->n_entries = body->n_entries;
	return true;
}

static bool decode_append_reply(const RpMessage *proto, struct rp_received *out)
{
	const RpAppendReply *body = proto->append_reply;
	struct rp_message *m = &out->message;

	m->type = RP_APPEND_REPLY;
	m->term = body->term;
	m->accepted = body->accepted;
	m->index = body->match_index;
	m->round = body->round;
	m->lowest_version = body->lowest;
	m->daemons = body->daemons;
	m->live = body->live;
	return decode_disk_id(body->disk_id, out);
}

static bool decode_install(const RpMessage *proto, struct rp_received *out)
{
	const RpInstall *body = proto->install;
	struct rp_message *m = &out->message;

	m->type = RP_INSTALL;
	m->term = body->term;
	m->index = body->last_index;
	m->log_term = body->last_term;
	m->offset = body->offset;
	m->round = body->round;
	m->done = body->done;
	m->chunk = body->chunk.data;
	m->chunk_len = body->chunk.len;
	return true;
}

static bool decode_install_reply(const RpMessage *proto,
				 struct rp_received *out)
{
	const RpInstallReply *body = proto->install_reply;
	struct rp_message *m = &out->message;

	m->type = RP_INSTALL_REPLY;
	m->term = body->term;
	m->index = body->last_index;
	m->offset = body->offset;
	m->round = body->round;
	return decode_disk_id(body->disk_id, out);
}

static bool decode_probe(const RpMessage *proto, struct rp_received *out)
{
	const RpProbe *body = proto->probe;
	struct rp_message *m = &out->message;

	m->type = RP_PROBE;
	m->formed = body->formed;
	m->is_reply = body->answer;
	m->damaged = body->damaged;
	return decode_disk_id(body->disk_id, out);
}

static bool decode_handover(const RpMessage *proto, struct rp_received *out)
{
	out->message.type = RP_HANDOVER;
	out->message.term = proto->handover->term;
	return true;
}

static void pack(const RpMessage *proto, struct ba_buf *out)
{
	size_t len = rp_message__get_packed_size(proto);

	ba_buf_reserve(out, len);
	rp_message__pack(proto, out->data + out->len);
	out->len += len;
}

static bool decode_disk_id(const char *id, struct rp_received *out)
{
	return g_strlcpy(out->message.disk_id, id,
			 sizeof(out->message.disk_id)) <
	       sizeof(out->message.disk_id);
}
