/*
 * The decision of a subscriber, daemon or relay: what to do with an update.
 * Pure; ds_agent and ds_upstream carry it out.
 *
 * Rules:
 * - No version below one that was held, or below the floor, is applied.
 * - One that holds nothing applies nothing until its floor is known.
 * - The floor never falls.
 */
#ifndef DS_FOLLOWER_H
#define DS_FOLLOWER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_clock.h"
#include "base/ba_digest.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct ds_subscriber - state of one subscriber
 * @held: version in force, 0 for none
 * @digest: its digest
 * @floor: lowest version that may be applied
 * @floor_known: whether @floor is known, from a disk or a publisher
 */
struct ds_subscriber {
	uint64_t held;
	struct ba_digest digest;
	uint64_t floor;
	bool floor_known;
};

/** enum ds_payload - what an update carries */
enum ds_payload {
	DS_PAYLOAD_NONE,
	DS_PAYLOAD_DELTA,
	DS_PAYLOAD_SNAPSHOT,
};

/** struct ds_offer - an update, as far as the decision needs it */
struct ds_offer {
	uint64_t current;
	struct ba_digest digest;
	uint64_t floor;
	bool floor_known;
	enum ds_payload payload;
};

/** enum ds_verdict - what to do with an update */
enum ds_verdict {
	DS_IN_STEP,	 /* acknowledge the version held */
	DS_APPLY,	 /* apply the payload, then acknowledge */
	DS_WAIT,	 /* nothing to apply yet */
	DS_BEHIND,	 /* the publisher is behind; another may be better */
	DS_REFUSE_OLDER, /* it would have been a step back */
	DS_ASK_AGAIN,	 /* subscribe again to get the snapshot */
};

/** ds_subscriber_decide() - decide on @o, and learn the floor from it */
enum ds_verdict ds_subscriber_decide(struct ds_subscriber *f,
				     const struct ds_offer *o);

/** ds_subscriber_applied() - @version is in force now */
void ds_subscriber_applied(struct ds_subscriber *f, uint64_t version,
			   const struct ba_digest *digest);

#ifdef __cplusplus
}
#endif
#endif
