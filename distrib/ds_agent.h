/*
 * The daemon's side of distribution: one session to a relay of its data
 * centre, over which it announces its endpoint and receives configuration
 * and endpoint records.
 *
 * Rules:
 * - No version below one that was held is ever given to @on_snapshot.
 * - A snapshot is given whole, after validation and digest check.
 * - Without a relay the last snapshot stays in force; another relay or a
 *   sibling is tried with jittered, capped back-off.
 */
#ifndef DS_AGENT_H
#define DS_AGENT_H

#include "base/ba_settings.h"
#include "base/ba_unit.h"
#include "config/cf.h"
#include "endpoint/ep.h"
#include "wire/wi_session.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ds_agent;

/**
 * struct ds_agent_owner - what the daemon does with the news; embed it first
 * @on_snapshot: a new version is to be put in force; the reference is given
 * @on_view: the endpoints have changed; the reference is given
 * @figures: append a packed RtFigures to send, or leave @out empty
 * @figures_taken: the figures of (@incarnation, @sequence) are kept safely
 */
struct ds_agent_owner {
	void (*on_snapshot)(struct ds_agent_owner *o, struct cf_snapshot *s);
	void (*on_view)(struct ds_agent_owner *o, struct ep_view *v);
	void (*figures)(struct ds_agent_owner *o, struct ba_buf *out);
	void (*figures_taken)(struct ds_agent_owner *o, uint64_t incarnation,
			      uint64_t sequence);
};

/**
 * struct ds_agent_options - how an agent runs
 * @relays: relays of the data centre, in order of preference
 * @record: the endpoint this daemon announces; copied
 * @lease: how long the announcement lives without renewal
 * @data_folder: keeps the highest version held, or NULL
 * @seed: of the generator for back-off
 * @control_address: where siblings of the data centre catch up, or NULL
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
 * ds_agent_new() - start an agent on @loop; it runs on that thread
 *
 * A version kept in the data folder is given to @owner before the return.
 * Return: the agent, or NULL when @control_address is in use.
 */
struct ds_agent *ds_agent_new(struct ba_loop *loop,
			      const struct ds_agent_options *options,
			      struct ds_agent_owner *owner);

/**
 * ds_agent_announce() - the endpoint is as @record says
 * @record: its instance, incarnation and sequence are not looked at; copied
 * @renewed: the backend server has started anew: what others have seen of it
 *	does not hold any more
 */
void ds_agent_announce(struct ds_agent *a, const struct ep_record *record,
		       bool renewed);

/** ds_agent_drain() - announce that the endpoint takes no new work */
void ds_agent_drain(struct ds_agent *a);

/** ds_agent_leave() - announce that the endpoint has gone */
void ds_agent_leave(struct ds_agent *a);

/** ds_agent_send_figures() - send figures now, out of their turn */
void ds_agent_send_figures(struct ds_agent *a);

/** ds_agent_version() - version held, 0 for none */
uint64_t ds_agent_version(const struct ds_agent *a);

/** ds_agent_connected() - whether a relay session is open */
bool ds_agent_connected(const struct ds_agent *a);

/** ds_agent_free() - end the session and free the agent */
void ds_agent_free(struct ds_agent *a);

#ifdef __cplusplus
}
#endif
#endif
