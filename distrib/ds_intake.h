/*
 * The receiving side of distribution, in daemons and relays: decodes an
 * update, decides on it, applies it and checks the result.
 */
#ifndef DS_INTAKE_H
#define DS_INTAKE_H

#include "config/cf.h"
#include "distrib/ds_follower.h"
#include "wire/wi_session.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct ds_intake - the state of a subscriber and its snapshot
 * @follower: versions held and allowed
 * @current: snapshot held, or NULL
 */
struct ds_intake {
	struct ds_subscriber follower;
	struct cf_snapshot *current;
};

/**
 * struct ds_taken - outcome of an update
 * @verdict: the decision
 * @code: why the payload could not be applied, or %BA_OK
 * @current: the publisher's current version
 * @floor: floor given in the update, valid if @floor_known
 * @answer: number of the question that the update answers, or 0
 * @source_age: time since the source was last heard, 0 while it is heard
 */
struct ds_taken {
	enum ds_verdict verdict;
	int code;
	uint64_t current;
	uint64_t floor;
	bool floor_known;
	uint64_t answer;
	ba_time source_age;
};

/**
 * ds_intake_update() - process a DsUpdate frame
 * @result: outcome of the update
 * @next: the snapshot to put in force, set for %DS_APPLY only; it becomes the
 *	one held only by ds_intake_hold()
 *
 * Return: %BA_OK or %WI_FRAME_GARBAGE.
 */
int ds_intake_update(struct ds_intake *r, const struct wi_frame *f,
		     struct ds_taken *result, struct cf_snapshot **next);

/** ds_intake_hold() - make @s the snapshot held; takes its own reference */
void ds_intake_hold(struct ds_intake *r, struct cf_snapshot *s);

/**
 * ds_intake_subscribe() - send DsSubscribe
 * @whole: leave out the digest held, so that the publisher sends a snapshot
 */
void ds_intake_subscribe(const struct ds_intake *r, struct wi_session *s,
			 bool whole);

/** ds_intake_ask() - ask the peer for the floor, as question number @ask */
void ds_intake_ask(struct wi_session *s, uint64_t ask);

/** ds_intake_free() - release the snapshot */
void ds_intake_free(struct ds_intake *r);

#ifdef __cplusplus
}
#endif
#endif
