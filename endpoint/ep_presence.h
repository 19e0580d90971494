/*
 * Which backend server is beside a daemon, from heartbeats and deregistrations
 * that may be late, repeated or of an earlier start.
 *
 * Rules:
 * - A lifetime that has deregistered never comes back, nor does an earlier one.
 * - A deregistration that states its start is applied to that start only.
 * - One that states none and may have been meant for the start before, which had
 *   the same id, takes the backend server out.  Heartbeats that still arrive
 *   after %EP_LATE_TIME bring it back.
 */
#ifndef EP_PRESENCE_H
#define EP_PRESENCE_H

#include "endpoint/ep.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { EP_ID_BYTES = 128 };

/* How late a heartbeat or a deregistration may arrive. */
#define EP_LATE_TIME (10 * BA_SECOND)

/**
 * struct ep_presence - what is known of the backend servers at one place
 * @registered: a heartbeat of @known has arrived, and it has not left
 * @id: id of @known
 * @known: the last lifetime; borrows @id
 * @first_heard_at: when its first heartbeat arrived
 * @id_was_used: the start before it had the same id
 * @left_at: when it deregistered
 * @left_unsure: the deregistration may have been meant for another start
 */
struct ep_presence {
	bool registered;
	char id[EP_ID_BYTES];
	struct ep_lifetime known;
	ba_time first_heard_at;
	bool id_was_used;
	ba_time left_at;
	bool left_unsure;
};

/**
 * struct ep_departure - a deregistration
 * @start_wall_ms: wall time of the start in milliseconds, 0 if not stated
 * @received_wall_ms: wall time of the arrival in milliseconds
 */
struct ep_departure {
	const char *backend;
	int64_t start_wall_ms;
	int64_t received_wall_ms;
};

/** enum ep_heard - what a heartbeat tells */
enum ep_heard {
	EP_HEARD_PAST,	/* nothing: it was overtaken */
	EP_HEARD_AGAIN, /* the registered backend server is alive */
	EP_HEARD_START, /* another start, or it is registered again */
};

/** ep_presence_init() - know of no backend server */
void ep_presence_init(struct ep_presence *p);

/** ep_presence_hear() - process a heartbeat of @next */
enum ep_heard ep_presence_hear(struct ep_presence *p,
			       const struct ep_lifetime *next, ba_time now);

/**
 * ep_presence_leave() - process a deregistration
 *
 * Return: whether it was applied; else it was meant for another start.
 */
bool ep_presence_leave(struct ep_presence *p, const struct ep_departure *d,
		       ba_time now);

/**
 * ep_presence_restore() - use what was known before a restart of the daemon
 *
 * Return: whether that is newer than what was heard since.
 */
bool ep_presence_restore(struct ep_presence *p,
			 const struct ep_lifetime *known);

/**
 * ep_presence_told() - what to tell others; borrows the id
 *
 * A departure that is not sure is not told.
 */
struct ep_lifetime ep_presence_told(const struct ep_presence *p);

#ifdef __cplusplus
}
#endif
#endif
