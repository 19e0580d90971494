/*
 * Decides what a subscriber, that is a daemon or a relay, does with an update.
 * A state machine without I/O; ds_agent and the relay execute its decisions.
 *
 * Rules:
 * - No version below one that was held, or below the floor, is applied.
 * - A subscriber that holds no version applies none until its floor is known.
 * - The floor never decreases.
 */
#ifndef DS_SUBSCRIBER_H
#define DS_SUBSCRIBER_H

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
 * @digest: digest of the version in force
 * @floor: lowest version that may be applied
 * @floor_known: whether @floor is known, from the disk or from a publisher
 */
struct ds_subscriber {
	uint64_t held;
	struct ba_digest digest;
	uint64_t floor;
	bool floor_known;
};

/** enum ds_payload - what an update contains */
enum ds_payload {
	DS_PAYLOAD_NONE,
	DS_PAYLOAD_DELTA,
	DS_PAYLOAD_SNAPSHOT,
};

/**
 * struct ds_offer - the fields of an update that the decision needs
 * @current: the publisher's current version
 * @digest: digest of @current
 * @floor: lowest version the subscriber may apply, valid if @floor_known
 */
struct ds_offer {
	uint64_t current;
	struct ba_digest digest;
	uint64_t floor;
	bool floor_known;
	enum ds_payload payload;
};

/** enum ds_verdict - what to do with an update */
enum ds_verdict {
	DS_UP_TO_DATE,	     /* up to date: acknowledge the version held */
	DS_APPLY,	     /* apply the payload, then acknowledge */
	DS_WAIT,	     /* nothing to apply, or no floor is known yet */
	DS_PUBLISHER_BEHIND, /* the publisher is behind; try another */
	DS_REFUSE_OLDER,     /* the payload is older than what may be applied */
	DS_RESUBSCRIBE,	     /* subscribe again to get the snapshot */
};

/**
 * ds_subscriber_decide() - decide on @o; take its floor if none is known yet
 */
enum ds_verdict ds_subscriber_decide(struct ds_subscriber *s,
				     const struct ds_offer *o);

/** ds_subscriber_applied() - note that @version is in force */
void ds_subscriber_applied(struct ds_subscriber *s, uint64_t version,
			   const struct ba_digest *digest);

#ifdef __cplusplus
}
#endif
#endif
