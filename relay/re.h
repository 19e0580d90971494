/*
 * Inside of caraway-relay: one struct, and the parts that work on it.  All
 * of it belongs to the thread of its loop.
 *
 *   re_relay.c     start, stop and what is done every second
 *   re_session.c   sessions that were accepted, and their frames
 *   re_endpoint.c  the table of endpoint records and who is told of changes
 *   re_peer.c      sessions dialled to other relays, for endpoint records
 *   re_upstream.c  the session to a source or another relay
 *   re_figures.c   figures on their way up, acknowledgements down
 */
#ifndef RE_H
#define RE_H

#include <glib.h>

#include "base/ba_list.h"
#include "distrib/ds_feed.h"
#include "distrib/ds_receiver.h"
#include "distrib/ds_link.h"
#include "endpoint/ep_table.h"
#include "prog/pr.h"
#include "report/rt_figures.h"
#include "wire/ep.pb-c.h"

enum {
	RE_SESSIONS_LIMIT = 8192,
	RE_FIGURES_LIMIT = 4096, /* figures that wait to go up */
};

#define RE_LEASE_LEAST (5 * BA_SECOND)
#define RE_BATCH_DELAY (20 * BA_MS)
#define RE_FIGURES_DELAY (500 * BA_MS)

/**
 * struct re_settings - the settings file
 * @every_centre: serves the daemons of all data centres, with the other relays
 */
struct re_settings {
	struct pr_common common;
	struct ba_address address;
	struct ba_address external_address;
	struct ba_addresses sources;
	struct ba_addresses upstream_relays;
	struct ba_addresses peers;
	bool every_centre;
};

/**
 * struct re_conn - one accepted session
 * @synced: has asked for endpoint records and is told of changes
 * @lease: how long its record lives on when the session ends
 * @holder: id under which a relay's records are held
 */
struct re_conn {
	struct wi_handler handler;
	struct ba_list link;
	struct re_relay *relay;
	struct wi_session *session;
	bool open;
	bool synced;
	ba_time lease;
	uint64_t holder;
};

/** struct re_peer - one session that was dialled to another relay */
struct re_peer {
	struct ds_link_owner owner;
	struct re_relay *relay;
	struct ds_link *link;
	char *address;
	uint64_t sent_generation;
};

struct re_relay {
	struct wi_acceptor acceptor;
	struct ds_feed_owner feed_owner;
	struct ds_link_owner upstream_owner;
	struct ba_loop *loop;
	const struct re_settings *settings;
	const struct wi_identity *identity;
	struct wi_listener *listener;
	struct ba_list conns;
	unsigned int n_conns;
	GHashTable *by_instance; /* daemons and relays with an open session */
	uint64_t last_holder;

	struct ds_feed *feed;
	struct ds_receiver intake;
	struct ds_link *upstream;
	ba_time stale_since;
	uint64_t ask;
	ba_time ask_deadline;
	struct ba_timer ack_timer;
	struct ba_timer second_timer;
	ba_time roots_deadline;

	struct ep_table *table;
	uint64_t sent_generation;
	struct ba_timer batch_timer;
	GPtrArray *peers; /* struct re_peer */

	struct rt_figures *own_figures;
	ba_time own_figures_deadline;
	GPtrArray *figures;  /* RtFigures that wait */
	GHashTable *origins; /* instance to the one its figures came from */
	struct ba_timer figures_timer;
};

/**
 * re_relay_start() - listen, dial and serve; @loop, @settings and @identity
 * of a zeroed @r are set
 *
 * Return: %BA_OK or %BA_PORT_IN_USE.
 */
int re_relay_start(struct re_relay *r);

/** re_relay_stop() - end everything that re_relay_start() began */
void re_relay_stop(struct re_relay *r);

/** re_relay_serves() - whether it serves daemons of @data_centre */
bool re_relay_serves(const struct re_relay *r, const char *data_centre);

/** re_session_accept() - take in an incoming session */
struct wi_handler *re_session_accept(struct wi_acceptor *a,
				     struct wi_session *s);

/** re_session_find() - the open session of an instance, or NULL */
struct re_conn *re_session_find(struct re_relay *r, const char *instance);

/** re_session_free_all() - end all accepted sessions */
void re_session_free_all(struct re_relay *r);

/** re_endpoint_announce() - a daemon announces its endpoint */
int re_endpoint_announce(struct re_conn *c, const struct wi_frame *f);

/** re_endpoint_update() - another relay sends records; @holder or 0 */
int re_endpoint_update(struct re_relay *r, uint64_t holder,
		       const struct wi_frame *f);

/** re_endpoint_digest() - answer a digest with what differs */
int re_endpoint_digest(struct re_relay *r, struct wi_session *s, bool to_daemon,
		       const struct wi_frame *f);

/** re_endpoint_send_roots() - tell a relay the roots of all data centres */
void re_endpoint_send_roots(struct re_relay *r, struct wi_session *s);

/** re_endpoint_send_changes() - records held here that changed since */
void re_endpoint_send_changes(struct re_relay *r, struct wi_session *s,
			      uint64_t since);

/** re_endpoint_send_held() - all records held here */
void re_endpoint_send_held(struct re_relay *r, struct wi_session *s);

/** re_endpoint_lost() - the session of a daemon or relay has ended */
void re_endpoint_lost(struct re_conn *c);

/** re_endpoint_expire() - look for leases that have run out */
void re_endpoint_expire(struct re_relay *r, ba_time now);

/** re_endpoint_on_batch() - send out what has changed */
void re_endpoint_on_batch(struct ba_timer *t, ba_time now);

/** re_peer_start() - dial the other relays */
void re_peer_start(struct re_relay *r);

/** re_peer_meet() - dial another relay too, unless it is dialled already */
void re_peer_meet(struct re_relay *r, const struct ba_address *address);

/** re_peer_send_changes() - tell them of records that changed here */
void re_peer_send_changes(struct re_relay *r);

/** re_peer_send_roots() - compare tables with one of them */
void re_peer_send_roots(struct re_relay *r);

/** re_peer_free_all() - end the sessions */
void re_peer_free_all(struct re_relay *r);

/** re_upstream_start() - dial a source or a relay of the region */
void re_upstream_start(struct re_relay *r);

/** re_upstream_ask() - ask for the newest version of the sources */
void re_upstream_ask(struct re_relay *r);

/** re_upstream_check() - look for a better upstream; once a second */
void re_upstream_check(struct re_relay *r, ba_time now);

/** re_upstream_ack() - send the summary, a little later */
void re_upstream_ack(struct re_relay *r);

/** re_figures_take() - RT_FIGURES of a daemon */
int re_figures_take(struct re_conn *c, const struct wi_frame *f);

/** re_figures_take_batch() - RT_BATCH of another relay */
int re_figures_take_batch(struct re_conn *c, const struct wi_frame *f);

/** re_figures_ack() - RT_ACK from upstream, on its way down */
int re_figures_ack(struct re_relay *r, const struct wi_frame *f);

/** re_figures_free() - free one RtFigures that waits */
void re_figures_free(void *m);

/** re_figures_on_timer() - send what waits */
void re_figures_on_timer(struct ba_timer *t, ba_time now);

#endif
