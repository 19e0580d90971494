/*
 * The table of endpoint records, in relays and daemons.
 *
 * Rules:
 * - A record is held while the session it was announced over is open; when
 *   that ends, it lives on until its lease deadline.
 * - When more than half of a data centre is no longer held, nothing of it
 *   expires until %EP_HOLD_LIMIT: the observer may be cut off.
 * - A record that has left stays as a tombstone for %EP_TOMBSTONE_TIME.
 * - Changes are numbered by generation, so that any reader can be given
 *   what changed since the generation it has seen.
 */
#ifndef EP_TABLE_H
#define EP_TABLE_H

#include "base/ba_rand.h"
#include "endpoint/ep.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	EP_TABLE_LIMIT = 65536,
	EP_BUCKETS = 32,
	EP_NAME_LIMIT_BYTES = 127,
	EP_EXPIRY_GUARD_MIN = 3,
};

#define EP_TOMBSTONE_TIME (10 * BA_MINUTE)
#define EP_HOLD_LIMIT (10 * BA_MINUTE)

/** enum ep_holder - by whom a record is held; others are ids of peers */
enum ep_holder {
	EP_HELD_BY_NONE = 0,
	EP_HELD_HERE = 1,
	EP_HELD_BY_PEER = 2,
};

/** enum ep_outcome - what a record did to the table */
enum ep_outcome {
	EP_UNCHANGED,
	EP_JOINED,
	EP_CHANGED,
	EP_DRAINS,
	EP_GONE,
	EP_EXPIRED,
	EP_OLDER,   /* a newer one is known; nothing was changed */
	EP_REFUTED, /* its writer has to announce it again, newer */
	EP_NO_ROOM,
};

/** struct ep_expiry - outcome of ep_table_expire() */
struct ep_expiry {
	size_t expired;
	size_t held_back;
};

/** typedef ep_visit - called for one record */
typedef void (*ep_visit)(const struct ep_record *r, void *arg);

/** ep_table_new() - an empty table for at most @limit records */
struct ep_table *ep_table_new(size_t limit);

/** ep_table_free() - free the table; NULL is allowed */
void ep_table_free(struct ep_table *t);

/** ep_record_check() - %BA_OK, or %WI_FRAME_GARBAGE for unusable fields */
int ep_record_check(const struct ep_record *r);

/**
 * ep_table_put() - take in a record
 * @holder: %EP_HELD_HERE, a peer's id, or %EP_HELD_BY_NONE: then it expires
 *	at @lease_deadline unless it is held by then
 */
enum ep_outcome ep_table_put(struct ep_table *t, const struct ep_record *r,
			     uint64_t holder, ba_time lease_deadline,
			     ba_time now);

/** ep_table_release() - the session of @instance has ended here */
void ep_table_release(struct ep_table *t, const char *instance,
		      ba_time lease_deadline);

/** ep_table_release_holder() - the session to a peer has ended */
void ep_table_release_holder(struct ep_table *t, uint64_t holder,
			     ba_time lease_deadline);

/** ep_table_begin_full() - a full update of some buckets begins */
void ep_table_begin_full(struct ep_table *t);

/**
 * ep_table_end_full() - the records of its buckets that the update did not
 * name expire at @lease_deadline
 */
void ep_table_end_full(struct ep_table *t, const char *data_centre,
		       const uint32_t *buckets, size_t n_buckets,
		       ba_time lease_deadline);

/** ep_table_expire() - expire what is due and not held back */
struct ep_expiry ep_table_expire(struct ep_table *t, ba_time now);

/** ep_table_deadline() - when ep_table_expire() has to run next */
ba_time ep_table_deadline(const struct ep_table *t);

/** ep_table_get() - the record of @instance, tombstones included, or NULL */
const struct ep_record *ep_table_get(const struct ep_table *t,
				     const char *instance);

/** ep_table_is_held_here() - whether its session is open here */
bool ep_table_is_held_here(const struct ep_table *t, const char *instance);

/** ep_table_live() - records that have not left */
size_t ep_table_live(const struct ep_table *t);

/** ep_table_generation() - generation of the last change */
uint64_t ep_table_generation(const struct ep_table *t);

/** ep_table_since() - visit what changed after @generation, oldest first */
void ep_table_since(const struct ep_table *t, uint64_t generation,
		    ep_visit visit, void *arg);

/** ep_table_held_here() - visit the records held here */
void ep_table_held_here(const struct ep_table *t, ep_visit visit, void *arg);

/**
 * struct ep_centre_digest - digest of one data centre's live records
 */
struct ep_centre_digest {
	const char *data_centre;
	uint64_t root;
	uint64_t buckets[EP_BUCKETS];
};

/** ep_table_digests() - visit the digest of each data centre */
void ep_table_digests(const struct ep_table *t,
		      void (*visit)(const struct ep_centre_digest *d,
				    void *arg),
		      void *arg);

/** ep_table_digest() - digest of one data centre; zeroed when unknown */
void ep_table_digest(const struct ep_table *t, const char *data_centre,
		     struct ep_centre_digest *out);

/**
 * ep_table_buckets() - visit some buckets of a data centre, tombstones too
 * @mask: bit i stands for bucket i
 */
void ep_table_buckets(const struct ep_table *t, const char *data_centre,
		      uint32_t mask, ep_visit visit, void *arg);

/**
 * struct ep_view_options - which endpoints a daemon's view has
 * @instance: the daemon, for its place in the hash
 * @data_centre: preferred, then
 * @region: preferred to other regions
 * @subset: at most so many endpoints of a service, 0 for all
 */
struct ep_view_options {
	const char *instance;
	const char *data_centre;
	const char *region;
	size_t subset;
};

/**
 * ep_table_view() - the view after @old, which may be NULL
 *
 * Services without a change since @old are shared with it.  Return: a new
 * reference; @old itself when nothing changed.
 */
struct ep_view *ep_table_view(struct ep_table *t, struct ep_view *old,
			      const struct ep_view_options *options);

#ifdef __cplusplus
}
#endif
#endif
