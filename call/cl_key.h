/*
 * Idempotency keys and their owners.
 *
 * A key reads HOME.ISSUED.RANDOM: the data centre whose endpoints may run
 * it, the wall time of its issue in milliseconds, and a random part.
 *
 * Rules:
 * - A key has one owner at most: of the home data centre's endpoints that
 *   could own a key of that time, the one with the highest hash with it.
 * - An endpoint can own keys issued from its incarnation plus %CL_KEY_JOIN
 *   on, when all of its data centre know it, until it is closed.
 * - An endpoint that drains is closed to keys issued after that; one that
 *   was lost is closed %CL_KEY_GRACE later, by when it takes no new keys
 *   itself: those issued %CL_KEY_CUT_OFF after it last had a relay.
 *   If it comes back it can own keys issued from then on.
 * - A key whose owner is gone is never given to another.
 * - The daemon that would run a call decides by itself whether it is the
 *   owner; what the sender believed does not count.
 */
#ifndef CL_KEY_H
#define CL_KEY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_buf.h"
#include "call/cl.h"
#include "endpoint/ep.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { CL_KEY_TEXT_BYTES = 160, CL_KEY_RANDOM_LEAST = 4 };

#define CL_KEY_SKEW (1 * BA_SECOND)
#define CL_KEY_JOIN (5 * BA_SECOND)
#define CL_KEY_GRACE (10 * BA_SECOND)
#define CL_KEY_CUT_OFF (5 * BA_SECOND)
#define CL_KEY_WINDOW (10 * BA_MINUTE)

/**
 * struct cl_key - a parsed key
 * @home: data centre, points into the text and is @home_len long
 * @issued: wall time of its issue
 */
struct cl_key {
	const char *text;
	const char *home;
	size_t home_len;
	ba_time issued;
};

/** cl_key_parse() - %BA_OK or %CL_KEY_MALFORMED; @text must outlive @out */
int cl_key_parse(const char *text, struct cl_key *out);

/** enum cl_owner_reason - what is known about the owner of a key */
enum cl_owner_reason {
	CL_OWNER_FOUND,
	CL_OWNER_NONE, /* nobody can have run it */
	CL_OWNER_GONE, /* its owner may have run it and is gone */
};

struct cl_owners;

/** cl_owners_new() - nothing is known of keys issued before @wall */
struct cl_owners *cl_owners_new(ba_time wall);

/** cl_owners_free() - free it; NULL is allowed */
void cl_owners_free(struct cl_owners *o);

/** cl_owners_update() - the endpoints are those of @v, at the wall time */
void cl_owners_update(struct cl_owners *o, const struct ep_view *v,
		      ba_time wall);

/**
 * cl_owner_find() - the owner of a key
 * @instance: its instance, valid until the next update; NULL unless found
 * @incarnation: its incarnation
 */
enum cl_owner_reason cl_owner_find(const struct cl_owners *o,
				   const char *service,
				   const struct cl_key *key,
				   const char **instance,
				   uint64_t *incarnation);

/**
 * cl_owners_homes() - data centres that take new keys of @service
 * @out: names, separated by spaces
 */
void cl_owners_homes(const struct cl_owners *o, const char *service,
		     struct ba_buf *out);

#ifdef __cplusplus
}
#endif
#endif
