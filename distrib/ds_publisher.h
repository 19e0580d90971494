/*
 * The decision of a publisher: which subscriber is sent what, and when.
 * Pure: (state, event, now) to actions; ds_feed carries them out.
 *
 * Rules:
 * - A version is never published below an earlier one.
 * - At most one update is in flight to a subscriber; what comes meanwhile
 *   is sent as one when it has acknowledged.
 * - A subscriber that holds a version is never sent an older one.
 * - A daemon that holds none and knows no floor may have held any version
 *   before it was restarted.  It is sent nothing before the leader of the
 *   sources, asked after it subscribed, has told the newest version; that
 *   becomes its floor.
 * - One such question is on its way at a time; it stands for all who wait.
 * - Subscribers across a paid link are sent at most one update a window.
 * - Resumes carry no configuration and are never held up.
 */
#ifndef DS_PUBLISHER_H
#define DS_PUBLISHER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/ba_clock.h"
#include "base/ba_digest.h"
#include "distrib/ds_tally.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ds_publisher;

enum {
	DS_HISTORY_LIMIT = 64,
	DS_SUBSCRIBERS_LIMIT = 8192,
};

/** enum ds_event_kind - what happened to a publisher */
enum ds_event_kind {
	DS_SUBSCRIBED,	/* version, digest, floor, remote, is_relay, counts */
	DS_ACKED,	/* subscriber, version, counts */
	DS_DROPPED,	/* subscriber */
	DS_PUBLISHED,	/* version, digest, window */
	DS_FLOOR_ASKED, /* subscriber, ask: a relay asks for the floor */
	DS_FLOOR_ANSWERED,    /* floor: the answer to our own question */
	DS_UPSTREAM_LOST,     /* the upstream that was asked is gone */
	DS_UPSTREAM_READY,    /* there is an upstream to ask */
	DS_AUTHORITY_CHANGED, /* authority: we lead the sources, or not any more */
	DS_AGE_CHANGED,	      /* the age of the data has changed much */
	DS_TICK,
};

/**
 * struct ds_event - one event
 * @subscriber: id, not 0
 * @version: version held, acknowledged or published
 * @floor: lowest version the subscriber may be given
 * @ask: number of a relay's question
 * @authority: whether no source can know a newer version than we do
 * @remote: the subscriber is across a paid link
 * @is_relay: the subscriber puts nothing in force itself
 * @window: least time between updates across a paid link
 * @counts: daemons below the subscriber, lowest version first
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

/** enum ds_action_kind - what a publisher does */
enum ds_action_kind {
	DS_SEND_RESUME,	   /* versions and floor only */
	DS_SEND_DELTA,	   /* from @from to the current version */
	DS_SEND_SNAPSHOT,  /* the current version whole */
	DS_REFUSE,	   /* too many subscribers */
	DS_NOTIFY_SUMMARY, /* the summary has changed */
	DS_ASK_FLOOR,	   /* ask the upstream for the floor */
};

/** enum ds_reason - why */
enum ds_reason {
	DS_REASON_NEWER,
	DS_REASON_SUBSCRIBED,
	DS_REASON_UP_TO_DATE,
	DS_REASON_NOT_IN_HISTORY,
	DS_REASON_DIGEST_DIFFERS,
	DS_REASON_BEHIND_SUBSCRIBER,
	DS_REASON_FLOOR_UNKNOWN,
	DS_REASON_ANSWERED,
	DS_REASON_AGE_CHANGED,
	DS_REASON_FULL,
	DS_REASON_ACKED,
};

/**
 * struct ds_action - one action
 * @from: version a delta starts from
 * @floor: floor of the subscriber, when @floor_known
 * @answer: number of the relay's question that is answered, or 0
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

/** struct ds_actions - a growable list; zeroed when empty */
struct ds_actions {
	struct ds_action *list;
	size_t n;
	size_t alloc;
};

/** ds_publisher_new() - nothing published, no authority */
struct ds_publisher *ds_publisher_new(void);

/** ds_publisher_free() - free it; NULL is allowed */
void ds_publisher_free(struct ds_publisher *p);

/** ds_publisher_step() - take in @e and append what is to be done to @out */
void ds_publisher_step(struct ds_publisher *p, const struct ds_event *e,
		       ba_time now, struct ds_actions *out);

/** ds_publisher_deadline() - when a %DS_TICK is due, or %BA_NEVER */
ba_time ds_publisher_deadline(const struct ds_publisher *p);

/** ds_publisher_version() - newest version published */
uint64_t ds_publisher_version(const struct ds_publisher *p);

/** ds_publisher_has_base() - whether deltas from @version can be made */
bool ds_publisher_has_base(const struct ds_publisher *p, uint64_t version);

/**
 * ds_publisher_counts() - the summary of all subscribers, lowest first
 *
 * Return: the number of counts.
 */
size_t ds_publisher_counts(const struct ds_publisher *p,
			   struct ds_count out[DS_COUNTS_LIMIT]);

/** ds_actions_free() - free the list; it is empty again */
void ds_actions_free(struct ds_actions *a);

#ifdef __cplusplus
}
#endif
#endif
