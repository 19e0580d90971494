#include "distrib/ds_subscriber.h"

static uint64_t lowest_allowed(const struct ds_subscriber *s);

enum ds_verdict ds_subscriber_decide(struct ds_subscriber *s,
				     const struct ds_offer *o)
{
	if (o->floor_known && !s->floor_known) {
		s->floor_known = true;
		s->floor = o->floor;
	}
	if (o->current < lowest_allowed(s))
		return o->payload ? DS_REFUSE_OLDER : DS_PUBLISHER_BEHIND;
	if (o->current == s->held && ba_digest_equal(&o->digest, &s->digest))
		return DS_UP_TO_DATE;
	if (o->current == s->held && o->payload != DS_PAYLOAD_SNAPSHOT)
		return DS_RESUBSCRIBE;
	if (!o->payload || !s->floor_known)
		return DS_WAIT;
	return DS_APPLY;
}

void ds_subscriber_applied(struct ds_subscriber *s, uint64_t version,
			   const struct ba_digest *digest)
{
	s->held = version;
	s->digest = *digest;
	s->floor_known = true;
	if (version > s->floor)
		s->floor = version;
}

static uint64_t lowest_allowed(const struct ds_subscriber *s)
{
	return s->held > s->floor ? s->held : s->floor;
}
