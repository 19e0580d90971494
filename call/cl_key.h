/*
 * Idempotency keys and their owners.
 *
 * A key has the form HOME.ISSUED.RANDOM: the data centre whose endpoints may
 * run the call, the wall time of issue in milliseconds, and a random part.
 *
 * Rules:
 * - A key has at most one owner, chosen by rendezvous hashing: among the
 *   endpoints of the home data centre that are eligible for the time of issue,
 *   the one with the highest hash of endpoint and key.
 * - An endpoint is eligible for keys issued from its incarnation plus
 *   %CL_KEY_JOIN_DELAY on, by when its whole data centre knows it, until it
 *   drains or is lost.
 * - A draining endpoint is not eligible for keys issued after the drain began.
 *   A lost endpoint is not eligible for keys issued %CL_KEY_GRACE or more after
 *   its loss.  By then it accepts no new keys itself: it refuses keys issued
 *   %CL_KEY_LEASE or more after it last had a relay.  If it comes back, it is
 *   eligible for keys issued from then on.
 * - A key whose owner is gone is never reassigned to another endpoint.
 * - The daemon that would run a call decides on its own whether it is the
 *   owner, whatever the sender assumed.
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

enum { CL_KEY_TEXT_BYTES = 160, CL_KEY_RANDOM_MIN_BYTES = 4 };

#define CL_KEY_CLOCK_SKEW (1 * BA_SECOND)
#define CL_KEY_JOIN_DELAY (5 * BA_SECOND)
#define CL_KEY_GRACE (10 * BA_SECOND)
#define CL_KEY_LEASE (5 * BA_SECOND)
#define CL_KEY_MAX_AGE (10 * BA_MINUTE)

/**
 * struct cl_key - a parsed key
 * @text: the whole key
 * @home: name of the home data centre; points into @text, not terminated
 * @home_len: length of @home in bytes
 * @issued: wall time of issue
 */
struct cl_key {
	const char *text;
	const char *home;
	size_t home_len;
	ba_time issued;
};

/**
 * cl_key_parse() - parse an idempotency key
 * @text: must outlive @out
 *
 * Return: %BA_OK or %CL_KEY_MALFORMED.
 */
int cl_key_parse(const char *text, struct cl_key *out);

/** enum cl_owner_reason - result of looking up the owner of a key */
enum cl_owner_reason {
	CL_OWNER_FOUND,
	CL_OWNER_NONE, /* no endpoint can have run the call */
	CL_OWNER_GONE, /* the owner may have run the call, and is gone */
};

struct cl_owners;

/**
 * cl_owners_new() - create an empty set of owners
 * @wall: wall time now; the owners of keys issued before @wall plus
 *	%CL_KEY_JOIN_DELAY may be unknown
 */
struct cl_owners *cl_owners_new(ba_time wall);

/** cl_owners_free() - free @o; NULL is allowed */
void cl_owners_free(struct cl_owners *o);

/** cl_owners_update() - apply the endpoints that @v lists at wall time @wall */
void cl_owners_update(struct cl_owners *o, const struct ep_view *v,
		      ba_time wall);

/**
 * cl_owner_find() - find the owner of a key
 * @instance: set to the owner's instance, valid until the next update, or to
 *	NULL unless found
 * @incarnation: set to the owner's incarnation, or to 0 unless found
 */
enum cl_owner_reason cl_owner_find(const struct cl_owners *o,
				   const char *service,
				   const struct cl_key *key,
				   const char **instance,
				   uint64_t *incarnation);

/**
 * cl_owners_list_homes() - list the data centres that accept new keys
 * @service: service that the keys are for
 * @out: receives the names, separated by spaces
 */
void cl_owners_list_homes(const struct cl_owners *o, const char *service,
			  struct ba_buf *out);

#ifdef __cplusplus
}
#endif
#endif
