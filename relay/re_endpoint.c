#include <string.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "endpoint/ep_wire.h"
#include "relay/re.h"
#include "report/rt.h"

/* Lease of a record received from another relay that no session holds. */
#define UNHELD_LEASE (2 * RE_LEASE_MIN)

/**
 * struct packer - gathers records for one EpUpdate
 * @held_only: whether to pack only records of the data centres served here that
 *	are held here or have left
 * @pointers: pointers to @records, as protobuf-c needs them
 */
struct packer {
	struct re_relay *relay;
	bool held_only;
	GArray *records;
	GPtrArray *pointers;
};

static void log_outcome(enum ep_outcome outcome, const struct ep_record *r);
static void request_reannounce(struct re_relay *r, const char *instance);
static void schedule_batch(struct re_relay *r);
static void pack_start(struct packer *p, struct re_relay *r, bool held_only);
static void pack_record(const struct ep_record *rec, void *arg);
static void pack_end(struct packer *p, EpUpdate *m);
static void pack_free(struct packer *p);
static void answer_centre(struct re_relay *r, struct wi_session *s,
			  bool to_daemon, const EpCentreDigest *theirs,
			  const char *data_centre);
static void send_bucket_records(struct re_relay *r, struct wi_session *s,
				bool to_daemon, const char *data_centre,
				uint32_t mask);
static void send_bucket_digests(struct wi_session *s,
				struct ep_centre_digest *own);
static const EpCentreDigest *find_centre(const EpDigest *m, const char *name);
static void add_name(const struct ep_centre_digest *d, void *arg);
static void add_root(const struct ep_centre_digest *d, void *arg);

int re_endpoint_handle_announce(struct re_conn *c, const struct wi_frame *f)
{
	EpAnnounce *m =
		(EpAnnounce *)wi_frame_unpack(f, &ep_announce__descriptor);
	const struct wi_peer *peer = wi_session_peer(c->session);
	ba_time now = ba_loop_now(c->relay->loop);
	struct ep_mark marks[EP_MARKS_MAX];
	enum ep_outcome outcome;
	struct ep_record r;
	int ret = BA_OK;

	if (!m || !m->record) {
		ret = WI_FRAME_GARBAGE;
		goto out;
	}
	ep_record_from_message(m->record, now, marks, &r);
	ret = ep_record_check(&r);
	if (ret || strcmp(r.instance, peer->instance) != 0 ||
	    strcmp(r.data_centre, peer->data_centre) != 0) {
		ret = WI_FRAME_GARBAGE;
		goto out;
	}
	ep_record_keep_lifetime(&r, ep_table_get(c->relay->table, r.instance));
	re_departure_complete(c->relay, &r);
	c->lease = MAX(m->lease_ms * BA_MS, RE_LEASE_MIN);
	outcome =
		ep_table_put(c->relay->table, &r, EP_HELD_HERE, BA_NEVER, now);
	log_outcome(outcome, &r);
	if (outcome == EP_OLDER)
		ret = EP_INCARNATION_OLD;
	else if (outcome == EP_NO_ROOM)
		ret = EP_TABLE_FULL;
	else if (outcome == EP_MUST_REFUTE)
		request_reannounce(c->relay, r.instance);
	schedule_batch(c->relay);
out:
	if (m)
		ep_announce__free_unpacked(m, NULL);
	return ret;
}

/*
 * A record of a data centre that is not served here is valid until its relays
 * send a change.  A record of a data centre served here gets a lease if no
 * session holds it.
 */
int re_endpoint_handle_update(struct re_relay *r, uint64_t holder,
			      const struct wi_frame *f)
{
	EpUpdate *m = (EpUpdate *)wi_frame_unpack(f, &ep_update__descriptor);
	ba_time now = ba_loop_now(r->loop);

	if (!m)
		return WI_FRAME_GARBAGE;
	for (size_t i = 0; i < m->n_records; i++) {
		uint64_t by = m->held ? holder : EP_HELD_BY_NONE;
		struct ep_mark marks[EP_MARKS_MAX];
		enum ep_outcome outcome;
		struct ep_record rec;

		ep_record_from_message(m->records[i], now, marks, &rec);
		if (ep_record_check(&rec))
			continue;
		if (!re_relay_serves(r, rec.data_centre))
			by = EP_HELD_BY_PEER;
		outcome = ep_table_put(r->table, &rec, by, now + UNHELD_LEASE,
				       now);
		if (outcome == EP_MUST_REFUTE)
			request_reannounce(r, rec.instance);
	}
	ep_update__free_unpacked(m, NULL);
	schedule_batch(r);
	return BA_OK;
}

int re_endpoint_handle_digest(struct re_relay *r, struct wi_session *s,
			      bool to_daemon, const struct wi_frame *f)
{
	EpDigest *m = (EpDigest *)wi_frame_unpack(f, &ep_digest__descriptor);
	GPtrArray *names;

	if (!m)
		return WI_FRAME_GARBAGE;
	names = g_ptr_array_new();
	ep_table_visit_digests(r->table, add_name, names);
	for (size_t i = 0; i < m->n_centres; i++)
		if (!g_ptr_array_find_with_equal_func(
			    names, m->centres[i]->data_centre, g_str_equal,
			    NULL))
			g_ptr_array_add(names, m->centres[i]->data_centre);
	for (guint i = 0; i < names->len; i++)
		answer_centre(r, s, to_daemon, find_centre(m, names->pdata[i]),
			      names->pdata[i]);
	g_ptr_array_free(names, TRUE);
	ep_digest__free_unpacked(m, NULL);
	return BA_OK;
}

void re_endpoint_send_roots(struct re_relay *r, struct wi_session *s)
{
	GPtrArray *centres = g_ptr_array_new_with_free_func(g_free);
	EpDigest m = EP_DIGEST__INIT;

	ep_table_visit_digests(r->table, add_root, centres);
	m.centres = (EpCentreDigest **)centres->pdata;
	m.n_centres = centres->len;
	wi_send(s, EP_DIGEST, &m.base);
	g_ptr_array_free(centres, TRUE);
}

void re_endpoint_send_changes(struct re_relay *r, struct wi_session *s,
			      uint64_t since)
{
	EpUpdate m = EP_UPDATE__INIT;
	struct packer p;

	pack_start(&p, r, true);
	ep_table_visit_since(r->table, since, pack_record, &p);
	pack_end(&p, &m);
	m.held = true;
	if (m.n_records)
		wi_send(s, EP_UPDATE, &m.base);
	pack_free(&p);
}

void re_endpoint_send_held(struct re_relay *r, struct wi_session *s)
{
	EpUpdate m = EP_UPDATE__INIT;
	struct packer p;

	pack_start(&p, r, true);
	ep_table_visit_held_here(r->table, pack_record, &p);
	pack_end(&p, &m);
	m.held = true;
	if (m.n_records)
		wi_send(s, EP_UPDATE, &m.base);
	pack_free(&p);
}

void re_endpoint_release(struct re_conn *c)
{
	const struct wi_peer *peer = wi_session_peer(c->session);
	ba_time now = ba_loop_now(c->relay->loop);

	if (peer->role == WI_DAEMON &&
	    re_session_find(c->relay, peer->instance) == c)
		ep_table_release(c->relay->table, peer->instance,
				 now + c->lease);
	if (peer->role != WI_RELAY ||
	    !re_relay_serves(c->relay, peer->data_centre))
		return;
	ep_table_release_holder(c->relay->table, c->holder, now + UNHELD_LEASE);
}

void re_endpoint_expire(struct re_relay *r, ba_time now)
{
	struct ep_expiry x = ep_table_expire(r->table, now);

	if (x.expired) {
		rt_count(RT_LEASES_EXPIRED, x.expired);
		ba_event(EP_EV_EXPIRED, "endpoints=%zu", x.expired);
		schedule_batch(r);
	}
	if (x.held_back)
		ba_event(EP_EV_EXPIRY_HELD, "endpoints=%zu live=%zu",
			 x.held_back, ep_table_n_live(r->table));
}

/* The update is packed once, as all daemons are sent the same bytes. */
void re_endpoint_on_batch_timer(struct ba_timer *t, ba_time now)
{
	struct re_relay *r = ba_entry(t, struct re_relay, batch_timer);
	EpUpdate m = EP_UPDATE__INIT;
	struct ba_buf out = {0};
	struct ba_list *pos;
	struct packer p;

	(void)now;
	pack_start(&p, r, false);
	ep_table_visit_since(r->table, r->sent_generation, pack_record, &p);
	pack_end(&p, &m);
	if (m.n_records) {
		ba_buf_reserve(&out, ep_update__get_packed_size(&m));
		out.len = ep_update__pack(&m, out.data);
	}
	ba_list_each(pos, &r->conns)
	{
		struct re_conn *c = ba_entry(pos, struct re_conn, link);

		if (out.len && c->wants_endpoints)
			wi_send_packed(c->session, EP_UPDATE, out.data,
				       out.len);
	}
	pack_free(&p);
	ba_buf_free(&out);
	r->sent_generation = ep_table_generation(r->table);
	re_peer_send_changes(r);
}

static void log_outcome(enum ep_outcome outcome, const struct ep_record *r)
{
	enum ba_event_id id;

	if (outcome == EP_JOINED)
		id = EP_EV_JOINED;
	else if (outcome == EP_DRAINING)
		id = EP_EV_DRAINING;
	else if (outcome == EP_LEFT)
		id = EP_EV_LEFT;
	else
		return;
	ba_event(id, "instance=%s service=%s sequence=%llu", r->instance,
		 r->service, (unsigned long long)r->sequence);
}

/*
 * Sends the daemon its own record marked as left, upon which it announces the
 * record again with a newer sequence.
 */
static void request_reannounce(struct re_relay *r, const char *instance)
{
	const struct ep_record *rec = ep_table_get(r->table, instance);
	struct re_conn *c = re_session_find(r, instance);
	EpUpdate m = EP_UPDATE__INIT;
	EpRecord record;
	EpRecord *list = &record;

	if (!rec || !c)
		return;
	ep_record_to_message(rec, ba_loop_now(r->loop), &record);
	record.left = true;
	m.records = &list;
	m.n_records = 1;
	wi_send(c->session, EP_UPDATE, &m.base);
	ep_message_clear(&record);
}

static void schedule_batch(struct re_relay *r)
{
	if (ep_table_generation(r->table) == r->sent_generation)
		return;
	re_upstream_schedule_ack(r);
	if (!r->batch_timer.slot)
		ba_loop_arm(r->loop, &r->batch_timer,
			    ba_loop_now(r->loop) + RE_BATCH_DELAY);
}

static void pack_start(struct packer *p, struct re_relay *r, bool held_only)
{
	p->relay = r;
	p->held_only = held_only;
	p->records = g_array_new(FALSE, FALSE, sizeof(EpRecord));
	p->pointers = g_ptr_array_new();
}

/*
 * Other relays are sent the records of the data centres served here that are
 * held here or have left.
 */
static void pack_record(const struct ep_record *rec, void *arg)
{
	struct packer *p = arg;
	EpRecord m;

	if (p->held_only && !re_relay_serves(p->relay, rec->data_centre))
		return;
	if (p->held_only && !rec->left &&
	    !ep_table_is_held_here(p->relay->table, rec->instance))
		return;
	ep_record_to_message(rec, ba_loop_now(p->relay->loop), &m);
	g_array_append_val(p->records, m);
}

static void pack_end(struct packer *p, EpUpdate *m)
{
	for (guint i = 0; i < p->records->len; i++)
		g_ptr_array_add(p->pointers,
				&g_array_index(p->records, EpRecord, i));
	m->records = (EpRecord **)p->pointers->pdata;
	m->n_records = p->pointers->len;
}

static void pack_free(struct packer *p)
{
	for (guint i = 0; i < p->records->len; i++)
		ep_message_clear(&g_array_index(p->records, EpRecord, i));
	g_array_free(p->records, TRUE);
	g_ptr_array_free(p->pointers, TRUE);
}

/*
 * If the root differs, a relay that sent only its root is sent this relay's
 * bucket digests; one that sent bucket digests is sent the records of the
 * buckets that differ.  A daemon is always sent records.
 */
static void answer_centre(struct re_relay *r, struct wi_session *s,
			  bool to_daemon, const EpCentreDigest *theirs,
			  const char *data_centre)
{
	struct ep_centre_digest own;
	uint32_t mask = 0;

	ep_table_digest(r->table, data_centre, &own);
	if (theirs && theirs->root == own.root)
		return;
	if (!to_daemon && theirs && !theirs->n_buckets) {
		send_bucket_digests(s, &own);
		return;
	}
	for (unsigned int i = 0; i < EP_BUCKETS; i++) {
		uint64_t bucket = theirs && i < theirs->n_buckets
					  ? theirs->buckets[i]
					  : 0;

		if (bucket != own.buckets[i])
			mask |= 1U << i;
	}
	send_bucket_records(r, s, to_daemon, data_centre, mask);
}

static void send_bucket_records(struct re_relay *r, struct wi_session *s,
				bool to_daemon, const char *data_centre,
				uint32_t mask)
{
	EpUpdate m = EP_UPDATE__INIT;
	uint32_t buckets[EP_BUCKETS];
	struct packer p;

	if (!mask)
		return;
	pack_start(&p, r, false);
	ep_table_visit_buckets(r->table, data_centre, mask, pack_record, &p);
	pack_end(&p, &m);
	for (uint32_t i = 0; i < EP_BUCKETS; i++)
		if (mask >> i & 1)
			buckets[m.n_buckets++] = i;
	m.full = to_daemon;
	m.data_centre = (char *)data_centre;
	m.buckets = buckets;
	if (to_daemon || m.n_records)
		wi_send(s, EP_UPDATE, &m.base);
	pack_free(&p);
}

static void send_bucket_digests(struct wi_session *s,
				struct ep_centre_digest *own)
{
	EpCentreDigest c = EP_CENTRE_DIGEST__INIT;
	EpCentreDigest *list = &c;
	EpDigest m = EP_DIGEST__INIT;

	c.data_centre = (char *)own->data_centre;
	c.root = own->root;
	c.buckets = own->buckets;
	c.n_buckets = EP_BUCKETS;
	m.centres = &list;
	m.n_centres = 1;
	wi_send(s, EP_DIGEST, &m.base);
}

static const EpCentreDigest *find_centre(const EpDigest *m, const char *name)
{
	for (size_t i = 0; i < m->n_centres; i++)
		if (!strcmp(m->centres[i]->data_centre, name))
			return m->centres[i];
	return NULL;
}

static void add_name(const struct ep_centre_digest *d, void *arg)
{
	g_ptr_array_add(arg, (char *)d->data_centre);
}

static void add_root(const struct ep_centre_digest *d, void *arg)
{
	EpCentreDigest *c = g_new(EpCentreDigest, 1);

	ep_centre_digest__init(c);
	c->data_centre = (char *)d->data_centre;
	c->root = d->root;
	g_ptr_array_add(arg, c);
}
