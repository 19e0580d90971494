/*
 * The table of endpoint records, in relays and daemons.
 *
 * Rules:
 * - A record is held while the session that it was announced over is open.
 *   After that session has ended, it is valid until its lease deadline.
 * - While more than half of the records of a data centre are not held, their
 *   expiry is held back for up to %EP_HOLD_BACK_LIMIT, as the observer itself
 *   may be cut off.
 * - A record that has left is kept as a tombstone for %EP_TOMBSTONE_TIME after
 *   it has left, also if it is learned late.
 * - The marks of a tombstone count like those of a live record: they reach the
 *   tables that do not know it.
 * - Each change has a generation number, so that a reader can get the changes
 *   since the generation it has seen.
 * - The records of a data centre are spread over %EP_BUCKETS by a hash of the
 *   instance, and each bucket has a digest, so that two tables exchange only
 *   the buckets that differ.
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
	EP_STRING_LIMIT_BYTES = 127,
	/* fewest records whose expiry is held back */
	EP_HOLD_BACK_MIN_RECORDS = 3,
};

#define EP_TOMBSTONE_TIME (10 * BA_MINUTE)
#define EP_HOLD_BACK_LIMIT (10 * BA_MINUTE)

/**
 * enum ep_holder - who holds a record
 *
 * Values from %EP_HELD_BY_PEER on are ids of peers.  Where peers are not told
 * apart, %EP_HELD_BY_PEER stands for all of them.
 */
enum ep_holder {
	EP_HELD_BY_NONE = 0,
	EP_HELD_HERE = 1,
	EP_HELD_BY_PEER = 2,
};

/** enum ep_outcome - effect of a record on the table */
enum ep_outcome {
	EP_UNCHANGED,
	EP_JOINED,
	EP_CHANGED,
	EP_DRAINING,
	EP_LEFT,
	EP_EXPIRED,
	EP_OLDER,	/* a newer record is known; nothing was changed */
	EP_MUST_REFUTE, /* its writer must announce it with a newer sequence */
	EP_NO_ROOM,	/* the table is full; nothing was changed */
};

/**
 * struct ep_expiry - outcome of ep_table_expire()
 * @expired: number of records that expired
 * @held_back: number of records that were due but held back
 */
struct ep_expiry {
	size_t expired;
	size_t held_back;
};

/** typedef ep_visit - called for one record */
typedef void (*ep_visit)(const struct ep_record *r, void *arg);

/** ep_table_new() - create a table for at most @limit records */
struct ep_table *ep_table_new(size_t limit);

/** ep_table_free() - free the table; NULL is allowed */
void ep_table_free(struct ep_table *t);

/**
 * ep_record_check() - check the strings and the number of marks
 *
 * Return: %BA_OK or %WI_FRAME_GARBAGE.
 */
int ep_record_check(const struct ep_record *r);

/**
 * ep_table_put() - add a record, or update it if it is newer
 * @holder: %EP_HELD_HERE, a peer's id, or %EP_HELD_BY_NONE; in the last case
 *	the record expires at @lease_deadline unless it is held by then
 */
enum ep_outcome ep_table_put(struct ep_table *t, const struct ep_record *r,
			     uint64_t holder, ba_time lease_deadline,
			     ba_time now);

/** ep_table_release() - release a record whose session here has ended */
void ep_table_release(struct ep_table *t, const char *instance,
		      ba_time lease_deadline);

/** ep_table_release_holder() - release the records held by a lost peer */
void ep_table_release_holder(struct ep_table *t, uint64_t holder,
			     ba_time lease_deadline);

/** ep_table_begin_full() - begin an update that lists whole buckets */
void ep_table_begin_full(struct ep_table *t);

/**
 * ep_table_end_full() - end the update begun by ep_table_begin_full()
 * @buckets: the buckets of @data_centre that the update covered
 * @lease_deadline: time at which a record of these buckets expires if the
 *	update did not name it and it is not held here
 */
void ep_table_end_full(struct ep_table *t, const char *data_centre,
		       const uint32_t *buckets, size_t n_buckets,
		       ba_time lease_deadline);

/** ep_table_expire() - expire the records due that are not held back */
struct ep_expiry ep_table_expire(struct ep_table *t, ba_time now);

/** ep_table_deadline() - time at which ep_table_expire() is due next */
ba_time ep_table_deadline(const struct ep_table *t);

/** ep_table_get() - look up a record or tombstone; NULL if unknown */
const struct ep_record *ep_table_get(const struct ep_table *t,
				     const char *instance);

/** ep_table_is_held_here() - whether the session of @instance is open here */
bool ep_table_is_held_here(const struct ep_table *t, const char *instance);

/** ep_table_n_live() - number of records that have not left */
size_t ep_table_n_live(const struct ep_table *t);

/** ep_table_n_known() - number of records and tombstones */
size_t ep_table_n_known(const struct ep_table *t);

/** ep_table_generation() - generation of the last change */
uint64_t ep_table_generation(const struct ep_table *t);

/**
 * ep_table_visit_since() - visit the changes after @generation, oldest first
 */
void ep_table_visit_since(const struct ep_table *t, uint64_t generation,
			  ep_visit visit, void *arg);

/** ep_table_visit_held_here() - visit the records held here */
void ep_table_visit_held_here(const struct ep_table *t, ep_visit visit,
			      void *arg);

/**
 * struct ep_centre_digest - digest of the live records of a data centre, and of
 * its tombstones with marks
 * @root: hash of all buckets
 * @buckets: digest of each bucket
 */
struct ep_centre_digest {
	const char *data_centre;
	uint64_t root;
	uint64_t buckets[EP_BUCKETS];
};

/** ep_table_visit_digests() - visit the digest of each data centre */
void ep_table_visit_digests(const struct ep_table *t,
			    void (*visit)(const struct ep_centre_digest *d,
					  void *arg),
			    void *arg);

/**
 * ep_table_digest() - get the digest of one data centre
 * @out: the digest; that of no records if the data centre is unknown
 */
void ep_table_digest(const struct ep_table *t, const char *data_centre,
		     struct ep_centre_digest *out);

/**
 * ep_table_visit_buckets() - visit the records and tombstones of some buckets
 * @mask: bit i selects bucket i
 */
void ep_table_visit_buckets(const struct ep_table *t, const char *data_centre,
			    uint32_t mask, ep_visit visit, void *arg);

/**
 * struct ep_view_options - selects the endpoints of a daemon's view
 * @instance: instance of the daemon, part of the hash that ranks endpoints
 * @data_centre: data centre whose endpoints are preferred
 * @region: region whose endpoints are preferred next
 * @subset: most endpoints of one service, 0 for all
 */
struct ep_view_options {
	const char *instance;
	const char *data_centre;
	const char *region;
	size_t subset;
};

/**
 * ep_table_view() - make a view of the current records
 * @old: the previous view, or NULL
 *
 * Services that have not changed since @old are shared with it.
 * Return: a new reference, to @old itself if nothing has changed.
 */
struct ep_view *ep_table_view(struct ep_table *t, struct ep_view *old,
			      const struct ep_view_options *options);

#ifdef __cplusplus
}
#endif
#endif
