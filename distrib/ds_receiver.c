#include <string.h>

#include "base/ba_result.h"
#include "distrib/ds_receiver.h"
#include "wire/ds.pb-c.h"

static void read_offer(const DsUpdate *m, struct ds_offer *o);
static int apply(const struct ds_receiver *r, const DsUpdate *m,
		 const struct ds_offer *o, struct cf_snapshot **next);

int ds_receiver_handle_update(struct ds_receiver *r, const struct wi_frame *f,
			      struct ds_receive_result *result,
			      struct cf_snapshot **next)
{
	DsUpdate *m = (DsUpdate *)wi_frame_unpack(f, &ds_update__descriptor);
	struct ds_offer o;

	if (!m)
		return WI_FRAME_GARBAGE;
	memset(result, 0, sizeof(*result));
	*next = NULL;
	read_offer(m, &o);
	result->current = o.current;
	result->floor = o.floor;
	result->floor_known = o.floor_known;
	result->answer = m->answer;
	result->source_age = (ba_time)m->source_age_ms * BA_MS;
	result->verdict = ds_subscriber_decide(&r->subscriber, &o);
	if (result->verdict == DS_APPLY)
		result->code = apply(r, m, &o, next);
	if (result->code)
		result->verdict = DS_RESUBSCRIBE;
	ds_update__free_unpacked(m, NULL);
	return BA_OK;
}

void ds_receiver_set_current(struct ds_receiver *r, struct cf_snapshot *s)
{
	cf_snapshot_unref(r->current);
	r->current = cf_snapshot_ref(s);
	ds_subscriber_applied(&r->subscriber, s->version, &s->digest);
}

void ds_receiver_subscribe(const struct ds_receiver *r, struct wi_session *s,
			   bool wants_snapshot)
{
	DsSubscribe m = DS_SUBSCRIBE__INIT;
	struct ba_digest digest = r->subscriber.digest;

	m.held_version = r->subscriber.held;
	m.floor = r->subscriber.floor;
	if (m.held_version && !wants_snapshot) {
		m.held_digest.data = digest.bytes;
		m.held_digest.len = sizeof(digest.bytes);
	}
	wi_send(s, DS_SUBSCRIBE, &m.base);
}

void ds_receiver_ask_roster(struct wi_session *s)
{
	DsSubscribe m = DS_SUBSCRIBE__INIT;

	m.wants_roster = true;
	wi_send(s, DS_SUBSCRIBE, &m.base);
}

void ds_receiver_ask_floor(struct wi_session *s, uint64_t ask)
{
	DsSubscribe m = DS_SUBSCRIBE__INIT;

	m.ask = ask;
	wi_send(s, DS_SUBSCRIBE, &m.base);
}

void ds_receiver_free(struct ds_receiver *r)
{
	cf_snapshot_unref(r->current);
	r->current = NULL;
}

static void read_offer(const DsUpdate *m, struct ds_offer *o)
{
	memset(o, 0, sizeof(*o));
	o->current = m->current_version;
	o->floor = m->floor;
	o->floor_known = m->floor_known;
	if (m->digest.len == BA_DIGEST_BYTES)
		memcpy(o->digest.bytes, m->digest.data, BA_DIGEST_BYTES);
	if (m->snapshot.len)
		o->payload = DS_PAYLOAD_SNAPSHOT;
	else if (m->delta.len)
		o->payload = DS_PAYLOAD_DELTA;
}

/* The result must have the version and the digest named in the update. */
static int apply(const struct ds_receiver *r, const DsUpdate *m,
		 const struct ds_offer *o, struct cf_snapshot **next)
{
	struct cf_snapshot *s = NULL;
	int ret;

	if (o->payload == DS_PAYLOAD_SNAPSHOT)
		ret = cf_snapshot_decode(m->snapshot.data, m->snapshot.len, &s);
	else if (r->current)
		ret = cf_delta_apply(r->current, m->delta.data, m->delta.len,
				     &s);
	else
		ret = CF_DELTA_BASE_WRONG;
	if (ret)
		return ret;
	if (s->version != o->current ||
	    !ba_digest_equal(&s->digest, &o->digest)) {
		cf_snapshot_unref(s);
		return CF_DIGEST_WRONG;
	}
	*next = s;
	return BA_OK;
}
