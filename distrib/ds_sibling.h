/*
 * Catching up among the daemons of one data centre, for when no relay
 * answers: each daemon publishes what it holds at its control address, and
 * asks a sibling for something newer.
 */
#ifndef DS_SIBLING_H
#define DS_SIBLING_H

#include "base/ba_rand.h"
#include "config/cf.h"
#include "endpoint/ep_table.h"
#include "wire/wi_session.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ds_sibling;

/**
 * struct ds_sibling_owner - embed it first
 * @frame: a frame of the sibling asked arrived; NULL when the session opens
 */
struct ds_sibling_owner {
	int (*frame)(struct ds_sibling_owner *o, struct wi_session *s,
		     const struct wi_frame *f);
};

/**
 * ds_sibling_new() - publish at @control_address, unless it is NULL
 *
 * Return: NULL when the address is in use.
 */
struct ds_sibling *ds_sibling_new(struct ba_loop *loop,
				  const struct wi_identity *identity,
				  const struct ba_address *control_address,
				  struct ds_sibling_owner *owner);

/** ds_sibling_publish() - @s is held now; takes its own reference */
void ds_sibling_publish(struct ds_sibling *s, struct cf_snapshot *snapshot);

/** ds_sibling_connect() - open a session to a sibling chosen at random */
void ds_sibling_connect(struct ds_sibling *s, const struct ep_table *table,
			struct ba_rand *rand);

/** ds_sibling_free() - end all sessions; NULL is allowed */
void ds_sibling_free(struct ds_sibling *s);

#ifdef __cplusplus
}
#endif
#endif
