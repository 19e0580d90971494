/*
 * Catching up from siblings, the other daemons of the same data centre, while
 * no relay answers.  Each daemon publishes the version it holds at its control
 * address, and subscribes to a sibling to get a newer one.
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
 * struct ds_sibling_owner - callback to the owner; embed it first
 * @frame: called with NULL when the session to a sibling was opened, then with
 *	each frame that arrives on it; for a frame, a code other than %BA_OK
 *	closes the session
 */
struct ds_sibling_owner {
	int (*frame)(struct ds_sibling_owner *o, struct wi_session *s,
		     const struct wi_frame *f);
};

/**
 * ds_sibling_new() - serve siblings at @control_address, unless it is NULL
 *
 * Return: the new object, or NULL if the address is in use.
 */
struct ds_sibling *ds_sibling_new(struct ba_loop *loop,
				  const struct wi_identity *identity,
				  const struct ba_address *control_address,
				  struct ds_sibling_owner *owner);

/** ds_sibling_publish() - serve @snapshot; takes its own reference */
void ds_sibling_publish(struct ds_sibling *s, struct cf_snapshot *snapshot);

/** ds_sibling_connect() - open a session to a random sibling of @table */
void ds_sibling_connect(struct ds_sibling *s, const struct ep_table *table,
			struct ba_rand *rand);

/** ds_sibling_free() - end all sessions; NULL is allowed */
void ds_sibling_free(struct ds_sibling *s);

#ifdef __cplusplus
}
#endif
#endif
