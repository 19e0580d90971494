#include <string.h>

#include <glib.h>

#include "base/ba_digest.h"
#include "replica/rp_record.h"
#include "wire/rp.pb-c.h"

/* Seeds of the checksums: "carbend" in ASCII, then the kind of the data. */
#define RECORD_SEED 0x63617262656e6401ULL
#define META_SEED 0x63617262656e6402ULL
#define SNAPSHOT_SEED 0x63617262656e6403ULL

/* A slot begins with sequence, term and synced index, of 8 bytes each. */
enum {
	META_CHECKSUM_AT = RP_META_SLOT_BYTES - 8,
	META_DAMAGED_AT = 24,
	META_VOTE_AT = 32,
	META_DISK_AT = META_VOTE_AT + RP_NAME_BYTES,
	META_LEADER_AT = META_DISK_AT + RP_DISK_ID_BYTES,
};

static void put_64(uint8_t *at, uint64_t v);
static uint64_t get_64(const uint8_t *at);
static void put_32(uint8_t *at, uint32_t v);
static uint32_t get_32(const uint8_t *at);

void rp_record_add(struct ba_buf *out, const struct rp_entry *e)
{
	RpEntry m = RP_ENTRY__INIT;
	uint8_t *record;
	size_t len;

	m.index = e->index;
	m.term = e->term;
	m.kind = (RpEntryKind)e->kind;
	m.body.data = (uint8_t *)e->body;
	m.body.len = e->len;
	len = rp_entry__get_packed_size(&m);
	ba_buf_reserve(out, RP_RECORD_HEADER_BYTES + len);
	record = out->data + out->len;
	rp_entry__pack(&m, record + RP_RECORD_HEADER_BYTES);
	put_32(record, (uint32_t)len);
	put_64(record + 4, ba_hash(record + RP_RECORD_HEADER_BYTES, len,
				   RECORD_SEED ^ len));
	out->len += RP_RECORD_HEADER_BYTES + len;
}

struct rp_entry *rp_record_read(const uint8_t *data, size_t len, size_t *size)
{
	struct rp_entry *e;
	RpEntry *m;
	size_t n;

	if (len < RP_RECORD_HEADER_BYTES)
		return NULL;
	n = get_32(data);
	if (n > RP_RECORD_LIMIT_BYTES || n > len - RP_RECORD_HEADER_BYTES)
		return NULL;
	if (ba_hash(data + RP_RECORD_HEADER_BYTES, n, RECORD_SEED ^ n) !=
	    get_64(data + 4))
		return NULL;
	m = rp_entry__unpack(NULL, n, data + RP_RECORD_HEADER_BYTES);
	if (!m)
		return NULL;
	e = rp_entry_new(m->index, m->term, (int)m->kind, m->body.data,
			 m->body.len);
	rp_entry__free_unpacked(m, NULL);
	*size = RP_RECORD_HEADER_BYTES + n;
	return e;
}

void rp_meta_write(uint8_t *slot, const struct rp_meta *m)
{
	memset(slot, 0, RP_META_SLOT_BYTES);
	put_64(slot, m->sequence);
	put_64(slot + 8, m->term);
	put_64(slot + 16, m->synced_index);
	slot[META_DAMAGED_AT] = m->damaged;
	memcpy(slot + META_VOTE_AT, m->vote, sizeof(m->vote));
	memcpy(slot + META_DISK_AT, m->disk_id, sizeof(m->disk_id));
	memcpy(slot + META_LEADER_AT, m->leader, sizeof(m->leader));
	put_64(slot + META_CHECKSUM_AT,
	       ba_hash(slot, META_CHECKSUM_AT, META_SEED));
}

bool rp_meta_read(const uint8_t *slot, struct rp_meta *m)
{
	if (ba_hash(slot, META_CHECKSUM_AT, META_SEED) !=
	    get_64(slot + META_CHECKSUM_AT))
		return false;
	m->sequence = get_64(slot);
	m->term = get_64(slot + 8);
	m->synced_index = get_64(slot + 16);
	m->damaged = slot[META_DAMAGED_AT] != 0;
	memcpy(m->vote, slot + META_VOTE_AT, sizeof(m->vote));
	memcpy(m->disk_id, slot + META_DISK_AT, sizeof(m->disk_id));
	memcpy(m->leader, slot + META_LEADER_AT, sizeof(m->leader));
	m->vote[sizeof(m->vote) - 1] = '\0';
	m->disk_id[sizeof(m->disk_id) - 1] = '\0';
	m->leader[sizeof(m->leader) - 1] = '\0';
	return true;
}

void rp_snapshot_write(struct ba_buf *out, uint64_t index, uint64_t term,
		       const struct ba_buf *state)
{
	uint8_t header[RP_SNAPSHOT_HEADER_BYTES] = {0};

	put_64(header, index);
	put_64(header + 8, term);
	put_64(header + 16, state->len);
	put_64(header + 24, ba_hash(state->data, state->len, SNAPSHOT_SEED));
	put_64(header + 32, ba_hash(header, 32, SNAPSHOT_SEED));
	ba_buf_add(out, header, sizeof(header));
	ba_buf_add(out, state->data, state->len);
}

bool rp_snapshot_read(const struct ba_buf *file, uint64_t *index,
		      uint64_t *term, struct ba_buf *state)
{
	const uint8_t *h = file->data;
	size_t len;

	if (file->len < RP_SNAPSHOT_HEADER_BYTES ||
	    ba_hash(h, 32, SNAPSHOT_SEED) != get_64(h + 32))
		return false;
	len = file->len - RP_SNAPSHOT_HEADER_BYTES;
	if (get_64(h + 16) != len ||
	    get_64(h + 24) !=
		    ba_hash(h + RP_SNAPSHOT_HEADER_BYTES, len, SNAPSHOT_SEED))
		return false;
	*index = get_64(h);
	*term = get_64(h + 8);
	ba_buf_add(state, h + RP_SNAPSHOT_HEADER_BYTES, len);
	return true;
}

static void put_64(uint8_t *at, uint64_t v)
{
	for (int i = 0; i < 8; i++)
		at[i] = (uint8_t)(v >> (8 * i));
}

static uint64_t get_64(const uint8_t *at)
{
	uint64_t v = 0;

	for (int i = 0; i < 8; i++)
		v |= (uint64_t)at[i] << (8 * i);
	return v;
}

static void put_32(uint8_t *at, uint32_t v)
{
	for (int i = 0; i < 4; i++)
		at[i] = (uint8_t)(v >> (8 * i));
}

static uint32_t get_32(const uint8_t *at)
{
	uint32_t v = 0;

	for (int i = 0; i < 4; i++)
		v |= (uint32_t)at[i] << (8 * i);
	return v;
}
