/*
 * Frames between two programs: each is decoded as its type says, and what a
 * daemon gets is applied to a snapshot.
 */
#include "base/ba_clock.h"
#include "base/ba_result.h"
#include "config/cf.h"
#include "distrib/ds_receiver.h"
#include "endpoint/ep_table.h"
#include "endpoint/ep_wire.h"
#include "fuzz/fz.h"
#include "wire/cl.pb-c.h"
#include "wire/ct.pb-c.h"
#include "wire/ds.pb-c.h"
#include "wire/ep.pb-c.h"
#include "wire/rp.pb-c.h"
#include "wire/rt.pb-c.h"
#include "wire/wi.pb-c.h"
#include "wire/wi_frame.h"

static const struct {
	int type;
	const ProtobufCMessageDescriptor *message;
} types[] = {
	{WI_HELLO, &wi_hello__descriptor},
	{WI_PROOF, &wi_proof__descriptor},
	{WI_REFUSAL, &wi_refusal__descriptor},
	{CT_SUBMIT, &ct_submit__descriptor},
	{CT_OUTCOME, &ct_outcome__descriptor},
	{CT_QUERY, &ct_query__descriptor},
	{CT_ANSWER, &ct_answer__descriptor},
	{RP_MESSAGE, &rp_message__descriptor},
	{RP_FORWARD, &rp_forward__descriptor},
	{RP_READ, &rp_read__descriptor},
	{RP_READ_REPLY, &rp_read_reply__descriptor},
	{RP_ROSTER, &rp_roster__descriptor},
	{DS_SUBSCRIBE, &ds_subscribe__descriptor},
	{DS_ACK, &ds_ack__descriptor},
	{DS_ROSTER, &ds_roster__descriptor},
	{EP_DIGEST, &ep_digest__descriptor},
	{RT_FIGURES, &rt_figures__descriptor},
	{RT_BATCH, &rt_batch__descriptor},
	{RT_TALLIES, &rt_tallies__descriptor},
	{EP_DEPART, &ep_departures__descriptor},
	{EP_DEPARTED, &ep_departures__descriptor},
	{RT_ACK, &rt_ack__descriptor},
	{CL_REQUEST, &cl_request__descriptor},
	{CL_HEAD, &cl_head__descriptor},
	{CL_DATA, &cl_data__descriptor},
	{CL_CREDIT, &cl_credit__descriptor},
	{CL_CANCEL, &cl_cancel__descriptor},
};

static void decode(const struct wi_frame *f)
{
	for (size_t i = 0; i < sizeof(types) / sizeof(*types); i++) {
		ProtobufCMessage *m;

		if (types[i].type != f->type)
			continue;
		m = wi_frame_unpack(f, types[i].message);
		if (m)
			protobuf_c_message_free_unpacked(m, NULL);
	}
}

/* A version that is put in force is newer than the one before. */
static void update(struct ds_receiver *r, const struct wi_frame *f)
{
	struct ds_receive_result result;
	struct cf_snapshot *next = NULL;
	uint64_t held = r->subscriber.held;

	if (ds_receiver_handle_update(r, f, &result, &next))
		return;
	fz_require((result.verdict == DS_APPLY) == !!next,
		   "a snapshot comes with its verdict");
	if (!next)
		return;
	fz_require(next->version > held, "versions only grow");
	ds_receiver_set_current(r, next);
	cf_snapshot_unref(next);
}

static void put_record(struct ep_table *t, const EpRecord *m)
{
	struct ep_mark marks[EP_MARKS_MAX];
	struct ep_record record;

	ep_record_from_message(m, BA_SECOND, marks, &record);
	if (ep_record_check(&record))
		return;
	fz_require(record.n_marks <= EP_MARKS_MAX, "marks are bounded");
	ep_table_put(t, &record, EP_HELD_BY_PEER, BA_NEVER, BA_SECOND);
}

static void put_records(struct ep_table *t, const struct wi_frame *f)
{
	EpUpdate *u;
	EpAnnounce *a;

	if (f->type == EP_UPDATE) {
		u = (EpUpdate *)wi_frame_unpack(f, &ep_update__descriptor);
		for (size_t i = 0; u && i < u->n_records; i++)
			put_record(t, u->records[i]);
		if (u)
			ep_update__free_unpacked(u, NULL);
	} else if (f->type == EP_ANNOUNCE) {
		a = (EpAnnounce *)wi_frame_unpack(f, &ep_announce__descriptor);
		if (a && a->record)
			put_record(t, a->record);
		if (a)
			ep_announce__free_unpacked(a, NULL);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct ds_receiver receiver = {.current = NULL};
	struct ep_table *table = ep_table_new(64);
	struct ba_buf in = {.data = (uint8_t *)data, .len = len};
	struct wi_frame f;
	long n;

	while ((n = wi_frame_next(&in, WI_HANDSHAKE_LIMIT_BYTES, &f)) > 0) {
		fz_require((size_t)n <= in.len, "a frame is in the buffer");
		decode(&f);
		put_records(table, &f);
		if (f.type == DS_UPDATE)
			update(&receiver, &f);
		in.data += n;
		in.len -= (size_t)n;
	}
	ds_receiver_free(&receiver);
	ep_table_free(table);
	return 0;
}
