/*
 * Reads of the newest version from the leader.  A daemon that may have held any
 * version must not be given one older than the newest, which is its floor.  By
 * these reads every replica, not the leader alone, can tell a daemon its floor.
 * Only a leader whose lease is valid replies.
 */
#include "base/ba_result.h"
#include "source/so.h"
#include "wire/rp.pb-c.h"

#define READ_TIMEOUT (300 * BA_MS)

static void send_packed(struct so_source *s, int to, int type,
			const ProtobufCMessage *m);

void so_read_init(struct so_source *s)
{
	s->read.leader = RP_NO_PEER;
	s->read.deadline = BA_NEVER;
}

void so_read_check(struct so_source *s, ba_time now)
{
	struct so_read *r = &s->read;
	int leader = rp_core_leader(rp_node_core(s->node));

	if (leader != RP_NO_PEER &&
	    (leader == s->self || !so_peer_is_open(s, leader)))
		leader = RP_NO_PEER;
	if (leader == r->leader && now < r->deadline)
		return;
	ds_feed_set_upstream_ready(s->feed, false);
	r->leader = leader;
	r->deadline = BA_NEVER;
	if (leader != RP_NO_PEER)
		ds_feed_set_upstream_ready(s->feed, true);
}

void so_read_send_request(struct so_source *s)
{
	struct so_read *r = &s->read;
	RpRead m = RP_READ__INIT;

	if (r->leader == RP_NO_PEER)
		return;
	m.number = ++r->number;
	r->deadline = ba_loop_now(s->loop) + READ_TIMEOUT;
	send_packed(s, r->leader, RP_READ, &m.base);
}

int so_read_handle_request(struct so_source *s, int from,
			   const struct wi_frame *f)
{
	RpRead *m = (RpRead *)wi_frame_unpack(f, &rp_read__descriptor);
	RpReadReply reply = RP_READ_REPLY__INIT;

	if (!m)
		return WI_FRAME_GARBAGE;
	if (!so_lease_error(s)) {
		reply.number = m->number;
		reply.version =
			rp_machine_current(rp_node_machine(s->node))->version;
		send_packed(s, from, RP_READ_REPLY, &reply.base);
	}
	rp_read__free_unpacked(m, NULL);
	return BA_OK;
}

int so_read_handle_reply(struct so_source *s, int from,
			 const struct wi_frame *f)
{
	RpReadReply *m =
		(RpReadReply *)wi_frame_unpack(f, &rp_read_reply__descriptor);

	if (!m)
		return WI_FRAME_GARBAGE;
	if (from == s->read.leader && m->number == s->read.number) {
		s->read.deadline = BA_NEVER;
		ds_feed_floor_answered(s->feed, m->version);
	}
	rp_read_reply__free_unpacked(m, NULL);
	return BA_OK;
}

static void send_packed(struct so_source *s, int to, int type,
			const ProtobufCMessage *m)
{
	struct ba_buf packed = {0};

	ba_buf_reserve(&packed, protobuf_c_message_get_packed_size(m));
	packed.len = protobuf_c_message_pack(m, packed.data);
	so_peer_send(s, to, type, packed.data, packed.len);
	ba_buf_free(&packed);
}
