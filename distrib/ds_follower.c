#include "distrib/ds_follower.h"

static uint64_t least(const struct ds_subscriber *f);

enum ds_verdict ds_subscriber_decide(struct ds_subscriber *f,
				     const struct ds_offer *o)
{
	if (o->floor_known && !f->floor_known) {
		f->floor_known = true;
		f->floor = o->floor;
	}
	if (o->current < least(f))
		return o->payload ? DS_REFUSE_OLDER : DS_BEHIND;
	if (o->current == f->held && ba_digest_equal(&o->digest, &f->digest))
		return DS_IN_STEP;
	if (o->current == f->held && o->payload != DS_PAYLOAD_SNAPSHOT)
		return DS_ASK_AGAIN;
	if (!o->payload || !f->floor_known)
		return DS_WAIT;
	return DS_APPLY;
}

void ds_subscriber_applied(struct ds_subscriber *f, uint64_t version,
			   const struct ba_digest *digest)
{
	f->held = version;
	f->digest = *digest;
	f->floor_known = true;
	if (version > f->floor)
		f->floor = version;
}

static uint64_t least(const struct ds_subscriber *f)
{
	return f->held > f->floor ? f->held : f->floor;
}
