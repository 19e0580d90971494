/*
 * The publishing side of distribution, in a source and in a relay: which
 * subscriber is sent which version, and what all of them acknowledged.
 *
 * Rules:
 * - A subscriber at a version whose delta is kept gets the delta, any other
 *   the snapshot, one at the current version a resume of a few bytes.
 * - A version is never published below an earlier one.
 * - Each subscriber has at most one update in flight.
 */
#ifndef DS_FEED_H
#define DS_FEED_H

#include "config/cf.h"
#include "distrib/ds_tally.h"
#include "wire/wi_session.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ds_feed;

/**
 * struct ds_feed_owner - told about acknowledgements; embed it first
 * @on_ack: the summary of all subscribers has changed: @lowest is the
 *	lowest version in force among @daemons daemons
 * @on_ask: ask upstream for the newest version; may be NULL
 */
struct ds_feed_owner {
	void (*on_ack)(struct ds_feed_owner *o, uint64_t lowest,
		       uint32_t daemons);
	void (*on_ask)(struct ds_feed_owner *o);
};

/** ds_feed_new() - a feed on @loop; @owner may be NULL */
struct ds_feed *ds_feed_new(struct ba_loop *loop, struct ds_feed_owner *owner);

/** ds_feed_publish() - send @s to every subscriber; takes a reference */
void ds_feed_publish(struct ds_feed *f, struct cf_snapshot *s);

/**
 * ds_feed_frame() - give the feed a frame of a subscriber's session
 *
 * Return: %BA_OK, %WI_FRAME_UNKNOWN when the frame is not the feed's, or
 * the code to close the session with.
 */
int ds_feed_frame(struct ds_feed *f, struct wi_session *s,
		  const struct wi_frame *frame);

/** ds_feed_drop() - the session has ended */
void ds_feed_drop(struct ds_feed *f, struct wi_session *s);

/**
 * ds_feed_set_region() - subscribers of other regions are paced by the
 * policy; without a region none is
 */
void ds_feed_set_region(struct ds_feed *f, const char *region);

/** ds_feed_set_admission() - spread out storms of subscribers; for relays */
void ds_feed_set_admission(struct ds_feed *f, uint64_t seed);

/**
 * ds_feed_set_stale() - the source has not been heard since @since, or is
 * heard now when it is %BA_NEVER; subscribers are told
 */
void ds_feed_set_stale(struct ds_feed *f, ba_time since);

/**
 * ds_feed_set_authority() - whether this process leads the sources, with a
 * lease: then no newer version than the one published has been accepted
 *
 * A daemon that may have held any version is given one only after the
 * authority was asked; a feed starts without authority.
 */
void ds_feed_set_authority(struct ds_feed *f, bool authority);

/** ds_feed_ask_ready() - whether @on_ask can reach an upstream now */
void ds_feed_ask_ready(struct ds_feed *f, bool ready);

/** ds_feed_answered() - the authority's newest version, after @on_ask */
void ds_feed_answered(struct ds_feed *f, uint64_t floor);

/** ds_feed_counts() - the summary as a list; the number of counts */
size_t ds_feed_counts(const struct ds_feed *f,
		      struct ds_count out[DS_COUNTS_LIMIT]);

/** ds_feed_version() - newest version published, 0 for none */
uint64_t ds_feed_version(const struct ds_feed *f);

/** ds_limits - limits of sessions that carry distribution */
extern const struct wi_limits ds_limits;

/** ds_feed_free() - free the feed; sessions are not closed */
void ds_feed_free(struct ds_feed *f);

#ifdef __cplusplus
}
#endif
#endif
