/*
 * The receiving side of distribution, in daemons and relays: decodes an
 * update, decides on it, applies it and checks the result.
 */
#ifndef DS_RECEIVER_H
#define DS_RECEIVER_H

#include "config/cf.h"
#include "distrib/ds_subscriber.h"
#include "wire/wi_session.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct ds_receiver - the state of a subscriber and its snapshot
 * @subscriber: versions held and allowed
 * @current: snapshot held, or NULL
 */
struct ds_receiver {
	struct ds_subscriber subscriber;
	struct cf_snapshot *current;
};

/**
 * struct ds_receive_result - outcome of an update
 * @verdict: the decision
 * @code: why the payload could not be applied, or %BA_OK
 * @current: the publisher's current version
 * @floor: floor given in the update, valid if @floor_known
 * @answer: number of the question that the update answers, or 0
 * @source_age: time since the source was last heard, 0 while it is heard
 */
struct ds_receive_result {
	enum ds_verdict verdict;
	int code;
	uint64_t current;
	uint64_t floor;
	bool floor_known;
	uint64_t answer;
	ba_time source_age;
};

/**
 * ds_receiver_handle_update() - process a DsUpdate frame
 * @result: outcome of the update
 * @next: the snapshot to put in force, set for %DS_APPLY only; it becomes the
 *	one held only by ds_receiver_set_current()
 *
 * Return: %BA_OK or %WI_FRAME_GARBAGE.
 */
int ds_receiver_handle_update(struct ds_receiver *r, const struct wi_frame *f,
			      struct ds_receive_result *result,
			      struct cf_snapshot **next);

/**
 * ds_receiver_set_current() - make @s the snapshot held
 * @s: the snapshot; the receiver takes its own reference
 */
void ds_receiver_set_current(struct ds_receiver *r, struct cf_snapshot *s);

/** ds_receiver_ask_roster() - ask the relay at @s for the roster of relays */
void ds_receiver_ask_roster(struct wi_session *s);

/**
 * ds_receiver_subscribe() - send DsSubscribe
 * @wants_snapshot: whether to leave out the digest held, so that the publisher
 *	sends a snapshot
 */
void ds_receiver_subscribe(const struct ds_receiver *r, struct wi_session *s,
			   bool wants_snapshot);

/**
 * ds_receiver_ask_floor() - ask the peer for the floor
 * @ask: number of the question
 */
void ds_receiver_ask_floor(struct wi_session *s, uint64_t ask);

/** ds_receiver_free() - release the snapshot */
void ds_receiver_free(struct ds_receiver *r);

#ifdef __cplusplus
}
#endif
#endif
