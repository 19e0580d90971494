/*
 * The publishing side of distribution, in sources, relays and daemons: sends
 * versions to the sessions of subscribers and sums up their acknowledgements.
 * What is sent to whom is decided by ds_publisher.
 *
 * Rules:
 * - A subscriber whose version is still in the history is sent a delta, any
 *   other the snapshot.  One at the current version is sent a resume, a few
 *   bytes without configuration.
 * - Published versions never decrease.
 * - Each subscriber has at most one update in flight.
 */
#ifndef DS_FEED_H
#define DS_FEED_H

#include "config/cf.h"
#include "distrib/ds_version_counts.h"
#include "wire/wi_session.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ds_feed;

/**
 * struct ds_feed_owner - callbacks to the owner; embed it first
 * @on_summary: the summary of all acknowledgements has changed: @lowest is the
 *	lowest version in force among @daemons daemons; may be NULL
 * @ask_floor: asks the upstream for the newest version; may be NULL
 * @send_roster: a daemon asks for the roster of relays; may be NULL
 */
struct ds_feed_owner {
	void (*on_summary)(struct ds_feed_owner *o, uint64_t lowest,
			   uint32_t daemons);
	void (*ask_floor)(struct ds_feed_owner *o);
	void (*send_roster)(struct ds_feed_owner *o, struct wi_session *s);
};

/** ds_feed_new() - create a feed on @loop; @owner may be NULL */
struct ds_feed *ds_feed_new(struct ba_loop *loop, struct ds_feed_owner *owner);

/** ds_feed_publish() - send @s to all subscribers; takes its own reference */
void ds_feed_publish(struct ds_feed *f, struct cf_snapshot *s);

/**
 * ds_feed_handle_frame() - process a frame of a subscriber's session
 *
 * Return: %BA_OK, %WI_FRAME_UNKNOWN if the frame is of another component, or
 * the code to close the session with.
 */
int ds_feed_handle_frame(struct ds_feed *f, struct wi_session *s,
			 const struct wi_frame *frame);

/** ds_feed_remove_session() - remove the subscriber whose session has ended */
void ds_feed_remove_session(struct ds_feed *f, struct wi_session *s);

/**
 * ds_feed_set_region() - set the region of this process
 *
 * Updates to subscribers of other regions are paced as the policy says;
 * without a region none are.
 */
void ds_feed_set_region(struct ds_feed *f, const char *region);

/**
 * ds_feed_set_admission() - limit the rate at which daemons subscribe
 * @seed: seed of the generator for retry delays
 *
 * For relays, to which all daemons of a data centre may reconnect at once.
 */
void ds_feed_set_admission(struct ds_feed *f, uint64_t seed);

/**
 * ds_feed_set_stale() - set when the source was last heard
 * @since: that time, or %BA_NEVER while the source is heard
 *
 * Subscribers are told when the source is lost and when it is heard again.
 */
void ds_feed_set_stale(struct ds_feed *f, ba_time since);

/**
 * ds_feed_set_authority() - set whether this process leads the sources
 *
 * While it leads them and holds the lease, no version newer than the one
 * published has been accepted.  A daemon that may have held any version is
 * given one only after the process with authority was asked.  A feed starts
 * without authority.
 */
void ds_feed_set_authority(struct ds_feed *f, bool authority);

/**
 * ds_feed_set_upstream_ready() - set whether @ask_floor can reach an upstream
 */
void ds_feed_set_upstream_ready(struct ds_feed *f, bool ready);

/**
 * ds_feed_floor_answered() - pass on the answer to @ask_floor
 * @floor: newest version, as told by the process with authority
 */
void ds_feed_floor_answered(struct ds_feed *f, uint64_t floor);

/**
 * ds_feed_counts() - count the daemons per version, lowest version first
 *
 * Return: the number of counts.
 */
size_t ds_feed_counts(const struct ds_feed *f,
		      struct ds_count out[DS_COUNTS_LIMIT]);

/** ds_feed_version() - return the newest version published, 0 for none */
uint64_t ds_feed_version(const struct ds_feed *f);

/**
 * ds_dial_limits - limits of the sessions used for distribution, at the end that
 * dials
 *
 * It learns soon that the publisher is silent, so the publisher sends the more
 * frequent heartbeats, and waits longer for those of the other end.
 */
extern const struct wi_limits ds_dial_limits;

/** ds_listen_limits - the same, at the end that listens */
extern const struct wi_limits ds_listen_limits;

/** ds_feed_free() - free the feed; sessions are not closed */
void ds_feed_free(struct ds_feed *f);

#ifdef __cplusplus
}
#endif
#endif
