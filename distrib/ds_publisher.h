/*
 * Decides which subscriber is sent which version, and when.  A state machine
 * without I/O: an event and the time give a list of actions, which ds_feed
 * executes.
 *
 * Rules:
 * - Published versions never decrease.
 * - At most one update is in flight to a subscriber; versions published
 *   meanwhile are sent as one update after its acknowledgement.
 * - A subscriber that holds a version is never sent an older one.
 * - The floor of a subscriber is the lowest version it may be given.  A
 *   daemon that holds no version and knows no floor may have held any
 *   version before it was restarted.  It is sent no configuration until the
 *   leader of the sources, asked after the daemon subscribed, has answered
 *   with the newest version; that becomes the daemon's floor.
 * - At most one question for the floor is pending; its answer serves every
 *   subscriber that was waiting when it was asked.
 * - A subscriber in another region is sent at most one update per window, as
 *   traffic between regions is paid for.
 * - A resume is an update without configuration: versions, floor and age.
 *   It is never delayed.
 */
#ifndef DS_PUBLISHER_H
#define DS_PUBLISHER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/ba_clock.h"
#include "base/ba_digest.h"
#include "distrib/ds_version_counts.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ds_publisher;

enum {
	DS_HISTORY_LIMIT = 64,
	DS_SUBSCRIBERS_LIMIT = 8192,
};

/** enum ds_event_kind - an event, with the fields of ds_event that it uses */
enum ds_event_kind {
	DS_SUBSCRIBED,	/* version, digest, floor, remote, is_relay, counts */
	DS_ACKED,	/* subscriber, version, counts */
	DS_DROPPED,	/* subscriber: its session has ended */
	DS_PUBLISHED,	/* version, digest, window */
	DS_FLOOR_ASKED, /* subscriber, ask: a relay asks for the floor */
	DS_FLOOR_ANSWERED,    /* floor: the answer to our own question */
	DS_UPSTREAM_LOST,     /* the upstream that was asked is gone */
	DS_UPSTREAM_READY,    /* there is an upstream to ask */
	DS_AUTHORITY_CHANGED, /* authority */
	DS_STALE_CHANGED,     /* the source was lost, or is heard again */
	DS_TICK,	      /* the deadline has passed */
};

/**
 * struct ds_event - one event
 * @subscriber: id of the subscriber, not 0
 * @version: version held, acknowledged or published
 * @floor: lowest version the subscriber may be given
 * @ask: number of a relay's question for the floor
 * @authority: whether this process leads the sources, so that no source can
 *	know a newer version
 * @remote: whether the subscriber is in another region
 * @is_relay: whether the subscriber only forwards versions and puts none in
 *	force itself
 * @window: least time between two updates to a remote subscriber
 * @counts: daemons served by the subscriber, per version, lowest first
 */
struct ds_event {
	enum ds_event_kind kind;
	uint64_t subscriber;
	uint64_t version;
	struct ba_digest digest;
	uint64_t floor;
	uint64_t ask;
	bool authority;
	bool remote;
	bool is_relay;
	ba_time window;
	struct ds_count counts[DS_COUNTS_LIMIT];
	size_t n_counts;
};

/** enum ds_action_kind - what ds_feed has to do */
enum ds_action_kind {
	DS_SEND_RESUME,	   /* versions, floor and age only */
	DS_SEND_DELTA,	   /* from @from to the current version */
	DS_SEND_SNAPSHOT,  /* the current version as a whole */
	DS_REFUSE,	   /* close the session: too many subscribers */
	DS_NOTIFY_SUMMARY, /* tell the owner that the summary has changed */
	DS_ASK_FLOOR,	   /* ask the upstream for the floor */
};

/** enum ds_reason - why an action is taken */
enum ds_reason {
	DS_REASON_NEWER,
	DS_REASON_SUBSCRIBED,
	DS_REASON_UP_TO_DATE,
	DS_REASON_NOT_IN_HISTORY,
	DS_REASON_DIGEST_DIFFERS,
	DS_REASON_BEHIND_SUBSCRIBER,
	DS_REASON_FLOOR_UNKNOWN,
	DS_REASON_ANSWERED,
	DS_REASON_STALE_CHANGED,
	DS_REASON_FULL,
	DS_REASON_ACKED,
};

/**
 * struct ds_action - one action
 * @from: version that a delta starts from
 * @floor: floor of the subscriber, valid if @floor_known
 * @answer: number of the relay's question that this answers, or 0
 */
struct ds_action {
	enum ds_action_kind kind;
	enum ds_reason reason;
	uint64_t subscriber;
	uint64_t from;
	uint64_t floor;
	bool floor_known;
	uint64_t answer;
};

/** struct ds_actions - a growable list of actions; all zero when empty */
struct ds_actions {
	struct ds_action *list;
	size_t n;
	size_t alloc;
};

/** ds_publisher_new() - create a publisher without version and authority */
struct ds_publisher *ds_publisher_new(void);

/** ds_publisher_free() - free the publisher; NULL is allowed */
void ds_publisher_free(struct ds_publisher *p);

/** ds_publisher_step() - process @e and append the actions to @out */
void ds_publisher_step(struct ds_publisher *p, const struct ds_event *e,
		       ba_time now, struct ds_actions *out);

/** ds_publisher_deadline() - time of the next %DS_TICK, or %BA_NEVER */
ba_time ds_publisher_deadline(const struct ds_publisher *p);

/** ds_publisher_version() - newest version published, 0 for none */
uint64_t ds_publisher_version(const struct ds_publisher *p);

/** ds_publisher_has_base() - whether a delta may start from @version */
bool ds_publisher_has_base(const struct ds_publisher *p, uint64_t version);

/**
 * ds_publisher_counts() - count the daemons per version, lowest version first
 * @out: the counts of all subscribers together
 *
 * Return: the number of counts.
 */
size_t ds_publisher_counts(const struct ds_publisher *p,
			   struct ds_count out[DS_COUNTS_LIMIT]);

/** ds_actions_free() - free the list and leave it empty */
void ds_actions_free(struct ds_actions *a);

#ifdef __cplusplus
}
#endif
#endif
