/*
 * Taking in updates: decode, decide, apply, validate.  Shared by daemons and
 * relays.
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
 * struct ds_intake - the follower with the snapshot it holds
 * @current: snapshot held, or NULL
 */
struct ds_intake {
	struct ds_subscriber follower;
	struct cf_snapshot *current;
};

/**
 * struct ds_taken - what an update came to
 * @verdict: the decision
 * @code: why a payload could not be applied, or %BA_OK
 * @floor: the floor it named, when @floor_known
 * @answer: number of the question that it answers, or 0
 * @source_age: time since the source was heard, 0 when it is heard
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
 * ds_intake_update() - take in a DsUpdate frame
 * @next: the snapshot to put in force, set only for %DS_APPLY; it is not
 *	held before ds_intake_hold()
 *
 * Return: %BA_OK or %WI_FRAME_GARBAGE.
 */
int ds_intake_update(struct ds_intake *in, const struct wi_frame *f,
		     struct ds_taken *taken, struct cf_snapshot **next);

/** ds_intake_hold() - @s is in force; takes its own reference */
void ds_intake_hold(struct ds_intake *in, struct cf_snapshot *s);

/**
 * ds_intake_subscribe() - send DsSubscribe
 * @whole: the digest held is left out, so that a snapshot is sent
 */
void ds_intake_subscribe(const struct ds_intake *in, struct wi_session *s,
			 bool whole);

/** ds_intake_ask() - ask for the floor with question number @ask */
void ds_intake_ask(struct wi_session *s, uint64_t ask);

/** ds_intake_free() - drop the snapshot */
void ds_intake_free(struct ds_intake *in);

#ifdef __cplusplus
}
#endif
#endif
