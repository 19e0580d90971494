/*
 * Internals of caraway-relay, which carries configuration and endpoint records
 * to the daemons and gathers their acknowledgements and figures.  struct
 * re_relay holds the state of the program; the files below operate on it.  All
 * of it is used only by the thread of its loop.
 *
 *   re_relay.c     start, stop and periodic work
 *   re_session.c   accepted sessions, and dispatch of their frames
 *   re_endpoint.c  endpoint records: their table, updates received and sent
 *   re_peer.c      sessions dialled to other relays, for endpoint records
 *   re_roster.c    tells daemons which relays there are
 *   re_upstream.c  the session to a source or another relay
 *   re_quota.c     grants tokens of the quotas of teams
 *   re_tallies.c   adds up the tallies of roll-outs and forwards them
 *   re_departure.c carries departures of backend servers to and from the log
 *   re_figures.c   forwards figures upstream and acknowledgements downstream
 */
#ifndef RE_H
#define RE_H

#include <glib.h>

#include "base/ba_list.h"
#include "call/cl_quota_pool.h"
#include "distrib/ds_feed.h"
#include "distrib/ds_receiver.h"
#include "distrib/ds_link.h"
#include "endpoint/ep_departures.h"
#include "endpoint/ep_table.h"
#include "prog/pr.h"
#include "report/rt_figures.h"
#include "report/rt_tally.h"
#include "wire/ep.pb-c.h"

enum {
	RE_SESSIONS_LIMIT = 8192,
	RE_FIGURES_LIMIT = 4096, /* figures queued for the upstream */
};

/* Shortest lease of an endpoint record once no session holds it. */
#define RE_LEASE_MIN (5 * BA_SECOND)
/* Endpoint records and acknowledgements are gathered this long. */
#define RE_BATCH_DELAY (20 * BA_MS)
/* Figures are gathered this long before they are sent upstream. */
#define RE_FIGURES_DELAY (500 * BA_MS)

/**
 * struct re_settings - contents of the settings file
 * @all_data_centres: whether this relay, together with the others, serves the
 *	daemons of all data centres
 */
struct re_settings {
	struct pr_common common;
	struct ba_address address;
	struct ba_address external_address;
	struct ba_addresses sources;
	struct ba_addresses upstream_relays;
	struct ba_addresses peers;
	bool all_data_centres;
};

/**
 * struct re_conn - an accepted session
 * @open: whether the handshake is complete
 * @wants_endpoints: whether it has asked for endpoint records, and so is sent
 *	their changes
 * @wants_departures: whether it has asked for departures that are logged
 * @wants_roster: whether it has asked for the roster of relays
 * @roster_digest: hash of the roster that it was sent last
 * @lease: how long a daemon's record remains valid after the session has ended
 * @holder: for a session of a relay, the id under which the table notes the
 *	records that this relay holds
 * @lender: shares of the daemon in the quotas of teams
 */
struct re_conn {
	struct wi_handler handler;
	struct ba_list link;
	struct re_relay *relay;
	struct wi_session *session;
	bool open;
	bool wants_endpoints;
	bool wants_departures;
	bool wants_roster;
	uint64_t roster_digest;
	ba_time lease;
	uint64_t holder;
	struct cl_quota_lender lender;
};

/**
 * struct re_peer - the session dialled to another relay
 * @sent_generation: generation of the table up to which it was sent changes
 * @quota_asked: the last question for tokens that was sent to it, at
 *	@quota_asked_at; its number is 0 once it was answered
 */
struct re_peer {
	struct ds_link_owner owner;
	struct re_relay *relay;
	struct ds_link *link;
	char *address;
	uint64_t sent_generation;
	struct cl_quota_message quota_asked;
	ba_time quota_asked_at;
};

/**
 * struct re_relay - the state of the program
 * @by_instance: instance name to &struct re_conn, as of re_session_index()
 *	and relays
 * @n_holders: number of holder ids given to sessions of relays so far
 * @stale_since: time the source was last heard, %BA_NEVER while it is heard
 * @ask_number: number of the last request for the floor, which is the sources'
 *	newest version
 * @ask_deadline: when that request times out, %BA_NEVER while none is pending
 * @roots_deadline: when root digests are next sent to the other relays
 * @departures: those of backend servers that are in the replicated log
 * @sent_generation: generation of the table up to which daemons were sent
 *	changes
 * @peers: array of &struct re_peer
 * @figures: RtFigures that are queued for the upstream
 * @quota: pool of the quotas of teams
 * @quota_timer: armed while tokens are to be asked for at other relays, which
 *	is done from @quota_not_before on
 * @quota_scarce: id to the name of the teams that are logged as scarce
 * @tallies: of roll-outs, queued for the upstream, or NULL; without an upstream
 *	they are dropped at @tallies_keep_until
 * @origins: instance to the instance whose session its figures came from
 */
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
	GHashTable *by_instance;
	uint64_t n_holders;

	struct ds_feed *feed;
	struct ds_receiver receiver;
	struct ds_link *upstream;
	ba_time stale_since;
	uint64_t ask_number;
	ba_time ask_deadline;
	struct ba_timer ack_timer;
	struct ba_timer tick_timer;
	ba_time roots_deadline;

	struct ep_table *table;
	struct ep_departures *departures;
	uint64_t sent_generation;
	struct ba_timer batch_timer;
	GPtrArray *peers;
	struct ba_timer roster_timer;

	struct rt_figures *own_figures;
	ba_time own_figures_deadline;
	GPtrArray *figures;
	struct rt_tallies *tallies;
	ba_time tallies_keep_until;
	struct ba_timer tallies_timer;
	GHashTable *origins;
	struct ba_timer figures_timer;

	struct cl_quota_pool *quota;
	struct ba_timer quota_timer;
	ba_time quota_not_before;
	GHashTable *quota_scarce;
};

/**
 * re_relay_start() - listen, dial the other relays and an upstream, and serve
 * @r: zeroed but for @loop, @settings and @identity
 *
 * Return: %BA_OK or %BA_PORT_IN_USE.
 */
int re_relay_start(struct re_relay *r);

/** re_relay_stop() - release everything that re_relay_start() set up */
void re_relay_stop(struct re_relay *r);

/** re_relay_serves() - whether the relay serves daemons of @data_centre */
bool re_relay_serves(const struct re_relay *r, const char *data_centre);

/** re_session_accept() - accept a session, or return NULL at the limit */
struct wi_handler *re_session_accept(struct wi_acceptor *a,
				     struct wi_session *s);

/**
 * re_session_index() - let re_session_find() find @c from now on
 *
 * The session of a daemon is found from its start, one of a relay since it has
 * sent figures: a relay may have two sessions with this one.
 */
void re_session_index(struct re_conn *c);

/** re_session_find() - find the open session of an instance, or NULL */
struct re_conn *re_session_find(struct re_relay *r, const char *instance);

/** re_session_free_all() - detach from all accepted sessions and free them */
void re_session_free_all(struct re_relay *r);

/** re_endpoint_handle_announce() - process an EpAnnounce of a daemon */
int re_endpoint_handle_announce(struct re_conn *c, const struct wi_frame *f);

/**
 * re_endpoint_handle_update() - process an EpUpdate of another relay
 * @holder: id under which the table notes the records that the other relay
 *	holds, or %EP_HELD_BY_NONE to give them a lease instead
 */
int re_endpoint_handle_update(struct re_relay *r, uint64_t holder,
			      const struct wi_frame *f);

/**
 * re_endpoint_handle_digest() - answer an EpDigest with the records or bucket
 * digests that differ
 * @to_daemon: whether @s is a session of a daemon, which is always sent records
 */
int re_endpoint_handle_digest(struct re_relay *r, struct wi_session *s,
			      bool to_daemon, const struct wi_frame *f);

/** re_endpoint_send_roots() - send the root digests of all data centres */
void re_endpoint_send_roots(struct re_relay *r, struct wi_session *s);

/**
 * re_endpoint_send_changes() - send the changed records that are held here or
 * have left
 * @since: generation of the table after which they changed
 */
void re_endpoint_send_changes(struct re_relay *r, struct wi_session *s,
			      uint64_t since);

/** re_endpoint_send_held() - send all records that are held here */
void re_endpoint_send_held(struct re_relay *r, struct wi_session *s);

/** re_endpoint_release() - release the records of a session that has ended */
void re_endpoint_release(struct re_conn *c);

/** re_endpoint_expire() - expire the records whose lease has run out */
void re_endpoint_expire(struct re_relay *r, ba_time now);

/** re_endpoint_on_batch_timer() - send the changes to daemons and relays */
void re_endpoint_on_batch_timer(struct ba_timer *t, ba_time now);

/** re_peer_start() - dial the other relays */
void re_peer_start(struct re_relay *r);

/** re_peer_add() - dial another relay, unless it is this one or is dialled */
void re_peer_add(struct re_relay *r, const struct ba_address *address);

/** re_peer_send_changes() - send the changed records to the other relays */
void re_peer_send_changes(struct re_relay *r);

/** re_peer_send_roots() - send the root digests to the other relays */
void re_peer_send_roots(struct re_relay *r);

/** re_peer_free_all() - end the sessions to the other relays */
void re_peer_free_all(struct re_relay *r);

/** re_roster_init() - prepare to tell daemons which relays there are */
void re_roster_init(struct re_relay *r);

/**
 * re_roster_schedule() - send the roster to the daemons at @at or earlier, to
 * those for whom it has changed
 */
void re_roster_schedule(struct re_relay *r, ba_time at);

/** re_upstream_start() - dial a source or a relay of the region */
void re_upstream_start(struct re_relay *r);

/** re_upstream_ask_floor() - ask upstream for the sources' newest version */
void re_upstream_ask_floor(struct re_relay *r);

/**
 * re_upstream_check() - mark the upstream stale if a request has timed out, so
 * that another one is tried; called once a second
 */
void re_upstream_check(struct re_relay *r, ba_time now);

/** re_upstream_schedule_ack() - send a DsAck upstream after a short delay */
void re_upstream_schedule_ack(struct re_relay *r);

/** re_quota_start() - begin with an empty pool */
void re_quota_start(struct re_relay *r);

/** re_quota_stop() - free the pool */
void re_quota_stop(struct re_relay *r);

/** re_quota_configure() - use the limits of @s from now on */
void re_quota_configure(struct re_relay *r, const struct cf_snapshot *s);

/** re_quota_check() - count the instances; called once a second */
void re_quota_check(struct re_relay *r);

/** re_quota_handle_ask() - answer a QtAsk of a daemon or another relay */
int re_quota_handle_ask(struct re_conn *c, const struct wi_frame *f);

/** re_quota_handle_grant() - process the answer of another relay */
int re_quota_handle_grant(struct re_peer *p, const struct wi_frame *f);

/** re_quota_end() - the session of a daemon has ended */
void re_quota_end(struct re_conn *c);

/** re_figures_handle() - process the RtFigures of a daemon */
int re_figures_handle(struct re_conn *c, const struct wi_frame *f);

/** re_figures_handle_batch() - process an RtBatch of another relay */
int re_figures_handle_batch(struct re_conn *c, const struct wi_frame *f);

/**
 * re_figures_handle_ack() - process an RtAck
 *
 * One for this relay's own figures ends here; any other is forwarded to the
 * session that the figures came from.
 */
int re_figures_handle_ack(struct re_relay *r, const struct wi_frame *f);

/** re_departure_start() - none is known to be logged */
void re_departure_start(struct re_relay *r);

/** re_departure_stop() - free them */
void re_departure_stop(struct re_relay *r);

/** re_departure_ask() - ask the upstream for those that are logged */
void re_departure_ask(struct re_relay *r);

/** re_departure_handle() - process the EP_DEPART of a daemon or relay */
int re_departure_handle(struct re_conn *c, const struct wi_frame *f);

/** re_departure_handle_logged() - process the EP_DEPARTED of the upstream */
int re_departure_handle_logged(struct re_relay *r, const struct wi_frame *f);

/** re_departure_complete() - add what is logged to the record of a daemon */
void re_departure_complete(struct re_relay *r, struct ep_record *record);

/** re_tallies_handle() - process the RtTallies of a daemon or relay */
int re_tallies_handle(struct re_conn *c, const struct wi_frame *f);

/** re_tallies_on_timer() - send the queued tallies upstream */
void re_tallies_on_timer(struct ba_timer *t, ba_time now);

/** re_figures_free() - free a queued RtFigures */
void re_figures_free(void *m);

/** re_figures_on_timer() - send the queued figures upstream */
void re_figures_on_timer(struct ba_timer *t, ba_time now);

#endif
