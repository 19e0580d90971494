/*
 * The daemon's side of distribution: one session to a relay of its data
 * centre, over which it announces its endpoint and receives configuration
 * and endpoint records.
 *
 * Rules:
 * - No version below one that was held is ever passed to @on_snapshot.
 * - A snapshot is passed as a whole, after validation and a digest check.
 * - Without a relay the last snapshot stays in force.  Another relay is tried
 *   with a jittered, capped back-off, and a sibling at jittered intervals.
 */
#ifndef DS_AGENT_H
#define DS_AGENT_H

#include "base/ba_settings.h"
#include "base/ba_unit.h"
#include "call/cl_quota.h"
#include "config/cf.h"
#include "endpoint/ep.h"
#include "wire/wi_session.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DS_CURRENT_SILENCE DS_SILENCE_FIRST

/* Changes may reach a region this much later than another one. */
#define DS_BEHIND_LIMIT (4 * BA_SECOND)

struct ds_agent;

/**
 * struct ds_agent_owner - callbacks to the daemon; embed it first
 * @on_snapshot: puts a new version in force; takes over the reference
 * @on_lifetime: learns what was known of the own backend server before the start
 *	of this daemon; may be NULL
 * @on_departed: a departure of the own backend server is in the replicated log;
 *	may be NULL
 * @on_view: uses a new view of the endpoints; takes over the reference
 * @add_figures: appends a packed RtFigures to send, or leaves @out empty; may
 *	be NULL
 * @on_figures_acked: the figures of (@incarnation, @sequence) were acknowledged
 *	as safely stored; may be NULL
 * @on_relay: a relay can be asked for tokens, or no longer; may be NULL
 * @on_quota_granted: the relay has answered ds_agent_ask_quota(); may be NULL
 */
struct ds_agent_owner {
	void (*on_snapshot)(struct ds_agent_owner *o, struct cf_snapshot *s);
	void (*on_lifetime)(struct ds_agent_owner *o,
			    const struct ep_lifetime *known);
	void (*on_departed)(struct ds_agent_owner *o,
			    const struct ep_lifetime *logged);
	void (*on_view)(struct ds_agent_owner *o, struct ep_view *v);
	void (*add_figures)(struct ds_agent_owner *o, struct ba_buf *out);
	void (*on_figures_acked)(struct ds_agent_owner *o, uint64_t incarnation,
				 uint64_t sequence);
	void (*on_relay)(struct ds_agent_owner *o, bool connected);
	void (*on_quota_granted)(struct ds_agent_owner *o,
				 const struct cl_quota_message *m);
};

/**
 * struct ds_agent_options - options of an agent
 * @relays: relays of the data centre, in order of preference
 * @record: the endpoint this daemon announces; copied
 * @lease: time that the announced record stays valid after the session has
 *	ended
 * @data_folder: folder that stores the highest version held, or NULL
 * @seed: seed of the generator for back-off and jitter
 * @control_address: address that serves siblings, or NULL
 */
struct ds_agent_options {
	const struct wi_identity *identity;
	const struct ba_addresses *relays;
	const struct ep_record *record;
	ba_time lease;
	const char *data_folder;
	uint64_t seed;
	const struct ba_address *control_address;
};

/**
 * ds_agent_new() - start an agent on @loop; it runs on the loop's thread
 *
 * A version stored in the data folder is passed to @owner before the return.
 * Return: the agent, or NULL if @control_address is in use.
 */
struct ds_agent *ds_agent_new(struct ba_loop *loop,
			      const struct ds_agent_options *options,
			      struct ds_agent_owner *owner);

/**
 * ds_agent_announce() - announce a change of the endpoint
 * @record: new state of the endpoint; copied, except for the instance,
 *	incarnation, sequence and marks
 * @renewed: whether the backend server was restarted, so that a new
 *	incarnation begins and observations of the old one are void
 */
void ds_agent_announce(struct ds_agent *a, const struct ep_record *record,
		       bool renewed);

/**
 * ds_agent_report_marks() - announce the endpoint with other marks
 * @marks: all marks; copied, at most %EP_MARKS_MAX
 * @epoch: wall time of the start of the counts in @marks
 *
 * Changes that follow each other closely are announced together.  The marks
 * stay part of all later announcements, also over later sessions.
 */
void ds_agent_report_marks(struct ds_agent *a, const struct ep_mark *marks,
			   size_t n, uint64_t epoch);

/**
 * ds_agent_log_departure() - have a departure logged; see @on_departed
 *
 * That is called at once if the relay is of an older release: then the departure
 * is in its memory only.
 */
void ds_agent_log_departure(struct ds_agent *a, const struct ep_lifetime *l);

/** ds_agent_drain() - announce that the endpoint takes no new work */
void ds_agent_drain(struct ds_agent *a);

/** ds_agent_leave() - announce that the endpoint has left */
void ds_agent_leave(struct ds_agent *a);

/** ds_agent_send_figures() - send figures now, besides the periodic ones */
void ds_agent_send_figures(struct ds_agent *a);

/** ds_agent_ask_quota() - ask the relay for tokens, if one is connected */
void ds_agent_ask_quota(struct ds_agent *a, const struct cl_quota_message *m);
/**
 * ds_agent_send_tallies() - send a packed RtTallies of a roll-out
 *
 * It is lost if no relay is connected.
 */
void ds_agent_send_tallies(struct ds_agent *a, const void *data, size_t len);

/** ds_agent_version() - return the version held, 0 for none */
uint64_t ds_agent_version(const struct ds_agent *a);

/** ds_agent_connected() - whether a relay session is open */
bool ds_agent_connected(const struct ds_agent *a);

/**
 * ds_agent_note_version() - note that another instance has @version in force
 *
 * Versions that are not newer than the one held are ignored.
 */
void ds_agent_note_version(struct ds_agent *a, uint64_t version);

/**
 * ds_agent_current_until() - until when the version held counts as the newest
 *
 * It does for %DS_CURRENT_SILENCE after a relay was heard that hears the source
 * and has confirmed the version in the open session, while no other instance
 * was heard of that has a newer one.
 *
 * Return: a time, which may have passed, or 0 while the version does not.
 */
ba_time ds_agent_current_until(const struct ds_agent *a);

/** ds_agent_is_current() - whether the version held counts as the newest now */
bool ds_agent_is_current(const struct ds_agent *a);

/** ds_agent_free() - end the session and free the agent */
void ds_agent_free(struct ds_agent *a);

#ifdef __cplusplus
}
#endif
#endif
