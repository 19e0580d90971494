/*
 * Internals of caraway-source, a replica of the log of accepted
 * configurations.  struct so_source holds the state of the program; the files
 * below operate on it.  All of it is used only by the thread of its loop.
 *
 *   so_source.c      start, stop, and the callbacks of the replica
 *   so_session.c     accepted sessions, and dispatch of their frames
 *   so_submit.c      submissions that wait for their outcome
 *   so_operator.c    submissions and queries of operators' sessions
 *   so_http.c        the operators' API over HTTP
 *   so_status.c      JSON of the answers to queries
 *   so_peer.c        sessions dialled to the other replicas
 *   so_feed.c        updates to relays, and their acknowledgements
 *   so_figures.c     figures for the daily report: adds them to the log
 *   so_departure.c   departures of backend servers: adds them to the log
 *   so_keys.c        the operators' keys
 *   so_rollout.c     roll-outs: adds up what proxies count, proposes the steps
 *   so_judge.c       the decisions of a roll-out
 *   so_reach.c       whether all daemons are known
 *   so_read.c        reads of the newest version from the leader
 */
#ifndef SO_H
#define SO_H

#include <glib.h>

#include "base/ba_drain.h"
#include "base/ba_list.h"
#include "base/ba_rand.h"
#include "distrib/ds_feed.h"
#include "prog/pr.h"
#include "replica/rp_node.h"
#include "report/rt_figures.h"
#include "wire/rt.pb-c.h"

enum {
	SO_SESSIONS_LIMIT = 1024,
	SO_SUBSCRIBERS_LIMIT = 4096,
	SO_OPERATORS_LIMIT = 256,
	SO_SUBMISSION_TEXT_LIMIT_BYTES = 4 * 1024 * 1024,
};

/**
 * struct so_settings - contents of the settings file
 * @open_group: whether replicas that are not in @names may join; a replica is
 *	then named by the address where operators reach it, and all replicas
 *	listen on the same port
 * @n_founders: the first @n_founders of @names form the group when there is
 *	none
 * @voters: target number of voting members
 * @grace_time: time from the signal to stop until the process is killed
 * @times: times of the replication protocol, NULL for the defaults
 */
struct so_settings {
	struct pr_common common;
	struct ba_address address;
	struct ba_address external_address;
	char *data_folder;
	char *operators_folder;
	struct ba_strings names;
	struct ba_addresses addresses;
	bool open_group;
	size_t n_founders;
	size_t voters;
	ba_time grace_time;
	const struct rp_times *times;
};

/**
 * struct so_waiter - waits for the outcome of a submission; embed it
 * @outcome: called when the outcome is known
 * @token: token of the pending submission, 0 for none
 */
struct so_waiter {
	void (*outcome)(struct so_waiter *w, const CtOutcome *outcome);
	uint64_t token;
};

/**
 * struct so_conn - an accepted session
 * @open: whether the handshake is complete
 * @waiter: waits for the operator's pending submission
 * @wants_departures: whether a relay is sent departures that are logged
 */
struct so_conn {
	struct wi_handler handler;
	struct ba_list link;
	struct so_source *source;
	struct wi_session *session;
	bool open;
	struct so_waiter waiter;
	bool wants_departures;
};

/**
 * struct so_peer - the session dialled to another replica
 * @timer: fires when the replica is to be dialled again
 * @open: whether the handshake is complete
 * @index: index of the replica in &so_source.peers
 * @failures: number of times a session ended since one was last open
 */
struct so_peer {
	struct wi_handler handler;
	struct ba_timer timer;
	struct so_source *source;
	struct wi_session *session;
	bool open;
	int index;
	struct ba_address address;
	unsigned int failures;
};

/**
 * struct so_subscriber - last acknowledgement of a relay
 * @version: lowest version in force on the relay's daemons, or the relay's own
 *	version if it counts none
 * @daemons: number of daemons that it counts
 * @live: number of daemons with a lease in the whole mesh
 * @behind: names of the instances that lag, NULL-terminated
 * @heard_at: time of the acknowledgement, from ba_clock_now()
 *
 * It is kept for a time after the relay has disconnected.
 */
struct so_subscriber {
	char *instance;
	char *data_centre;
	char *region;
	uint64_t version;
	uint32_t daemons;
	uint32_t live;
	char **behind;
	ba_time heard_at;
};

/**
 * struct so_read - a follower's read of the newest version from the leader
 * @leader: index of the leader that is asked, or %RP_NO_PEER
 * @number: number of the last request; replies to earlier ones are ignored
 * @deadline: when the request times out, %BA_NEVER while none is pending
 */
struct so_read {
	int leader;
	uint64_t number;
	ba_time deadline;
};

struct so_http;

/**
 * struct so_source - the state of the program
 * @http: the operators' API over HTTP, or NULL
 * @drain: the wait for operators to take their answers during a stop
 * @waiters: token of a submission to its &struct so_waiter
 * @peer_discovered: called when a replica of an open group is discovered; may
 *	be NULL
 * @self: index of this replica in @peers
 * @heartbeat: interval of the leader's heartbeats
 * @started_at: start time, from ba_clock_now()
 * @check_deadline: when the state of the group is checked next
 * @forming_report_deadline: when a replica that waits for the group to be formed
 *	says so next
 * @subscribers: instance name to &struct so_subscriber
 * @trials: roll-outs that run, by service, as so_rollout.c follows them
 * @proposed_in_force: newest version proposed as in force, by an RtInForce
 *	entry
 * @daemons_unreachable: whether the last RtInForce entry counted fewer daemons
 *	than have a lease
 */
struct so_source {
	struct wi_acceptor acceptor;
	struct rp_node_owner owner;
	struct ds_feed_owner feed_owner;
	struct ba_loop *loop;
	const struct so_settings *settings;
	struct wi_identity *identity;
	struct wi_listener *listener;
	struct ba_list conns;
	unsigned int n_conns;
	struct rp_node *node;
	struct ba_timer timer;
	struct ba_timer shutdown_timer;
	struct ba_drain drain;
	struct so_http *http;
	uint64_t last_token;
	GHashTable *waiters;
	struct so_peer peers[RP_PEERS_LIMIT];
	char *names[RP_PEERS_LIMIT];
	char *addresses[RP_PEERS_LIMIT];
	int n_peers;
	void (*peer_discovered)(struct so_source *s, const char *name);
	int self;
	ba_time heartbeat;
	ba_time started_at;
	ba_time check_deadline;
	ba_time forming_report_deadline;
	struct ba_rand rand;
	struct ds_feed *feed;
	GHashTable *subscribers;
	GHashTable *trials;
	uint64_t proposed_in_force;
	bool daemons_unreachable;
	struct so_read read;
	struct rt_figures *figures;
	struct ba_timer figures_timer;
	int exit_code;
};

/**
 * so_source_start() - recover the log, listen, and dial the other replicas
 * @s: zeroed but for @loop, @settings and @identity
 *
 * Return: %BA_OK, %BA_PORT_IN_USE, or a code of rp_node_new().
 */
int so_source_start(struct so_source *s);

/** so_source_stop() - release everything that so_source_start() set up */
void so_source_stop(struct so_source *s);

/**
 * so_source_shut_down() - hand over leadership, let operators take their
 * answers, then stop the loop
 */
void so_source_shut_down(struct so_source *s);

/**
 * so_lease_error() - whether this replica leads and its lease lasts
 *
 * Reads the clock: the time of the loop is that of the start of its iteration,
 * and the process may have been suspended or slow since.  To be called right
 * before an answer that only the leader may give.
 *
 * Return: %BA_OK, or the code that a proposal is refused with.
 */
int so_lease_error(const struct so_source *s);

/** so_source_rearm() - set the timer to the replica's current deadline */
void so_source_rearm(struct so_source *s);

/**
 * so_source_propose() - propose an entry, or forward it to the leader
 *
 * The entry is dropped if no leader is known.
 */
void so_source_propose(struct so_source *s, int kind, const void *body,
		       size_t len);

/** so_session_accept() - accept a session, or return NULL at the limit */
struct wi_handler *so_session_accept(struct wi_acceptor *a,
				     struct wi_session *session);

/** so_session_find() - find the newest open session of an instance, or NULL */
struct so_conn *so_session_find(struct so_source *s, const char *instance);

/**
 * so_session_is_unfinished() - whether an operator waits for an outcome or for
 * the rest of an answer
 * @progress: set to a number that changes when an operator takes something
 */
bool so_session_is_unfinished(const struct so_source *s, uint64_t *progress);

/** so_session_free_all() - detach from all accepted sessions and free them */
void so_session_free_all(struct so_source *s);

/** so_operator_handle_frame() - process a frame of an operator's session */
int so_operator_handle_frame(struct so_conn *c, const struct wi_frame *f);

/**
 * so_operator_answer() - answer the query @q with @json and @snapshot
 *
 * Return: %BA_OK, %BA_USAGE, %RP_NO_QUORUM if this replica has not caught up
 * since its start, or a code of the command.
 */
int so_operator_answer(struct so_source *s, const CtQuery *q,
		       struct ba_buf *json, struct ba_buf *snapshot);

/** so_submit() - pass @submit to the replica; @w is called with its outcome */
void so_submit(struct so_source *s, struct so_waiter *w,
	       const CtSubmit *submit);

/** so_submit_deliver_outcome() - pass an outcome to the waiter for @token */
void so_submit_deliver_outcome(struct so_source *s, uint64_t token,
			       const CtOutcome *outcome);

/** so_submit_cancel() - stop waiting; the submission itself goes on */
void so_submit_cancel(struct so_source *s, struct so_waiter *w);

/** so_operator_closed() - cancel the wait for an outcome at a session's end */
void so_operator_closed(struct so_conn *c);

/** so_status_json() - append the JSON that answers "status" */
void so_status_json(struct so_source *s, struct ba_buf *out);

/** so_history_json() - append the JSON that answers "history" */
void so_history_json(struct so_source *s, size_t limit, struct ba_buf *out);

/** so_current_json() - append the JSON that answers "current" */
void so_current_json(struct so_source *s, struct ba_buf *out);

/** so_peer_add() - add a replica without dialling it; return its index */
int so_peer_add(struct so_source *s, const char *name,
		const struct ba_address *address);

/** so_peer_start() - dial every other replica */
void so_peer_start(struct so_source *s);

/** so_peer_stop() - detach from the sessions to the other replicas */
void so_peer_stop(struct so_source *s);

/** so_peer_is_open() - whether the session to a replica is open */
bool so_peer_is_open(const struct so_source *s, int index);

/** so_peer_send() - send a frame to replica @to; drop it without a session */
void so_peer_send(struct so_source *s, int to, int type, const void *data,
		  size_t len);

/** so_peer_flush() - write what was sent to a replica now */
void so_peer_flush(struct so_source *s, int to);

/** so_peer_handle_frame() - process a frame from another replica */
int so_peer_handle_frame(struct so_conn *c, const struct wi_frame *f);

/**
 * so_peer_discover() - add and dial a replica of an open group, unless known
 *
 * Return: its index, or %RP_NO_PEER if it cannot be a replica of this group.
 */
int so_peer_discover(struct so_source *s, const char *name);

/** so_peer_find() - return the index of replica @name, or %RP_NO_PEER */
int so_peer_find(const struct so_source *s, const char *name);

/** so_feed_start() - start publishing */
void so_feed_start(struct so_source *s);

/** so_feed_handle_frame() - process a frame of a relay's session */
int so_feed_handle_frame(struct so_conn *c, const struct wi_frame *f);

/**
 * so_feed_check() - update how stale the feed is, and propose the version in
 * force
 */
void so_feed_check(struct so_source *s, ba_time now);

/** so_feed_stop() - stop publishing */
void so_feed_stop(struct so_source *s);

/** so_figures_start() - start counting and proposing this process's figures */
void so_figures_start(struct so_source *s);

/** so_figures_handle_batch() - propose an RtBatch that a relay has sent */
int so_figures_handle_batch(struct so_conn *c, const struct wi_frame *f);

/** so_figures_ack_applied() - acknowledge an RtBatch that is in the log */
void so_figures_ack_applied(struct so_source *s, const struct rp_entry *e);

/** so_figures_stop() - stop counting */
void so_figures_stop(struct so_source *s);

/**
 * so_keys_load() - read the operators' keys, or read them again
 *
 * Return: %BA_OK, or %BA_FILE_UNREADABLE or %BA_TYPE_WRONG, in which case the
 * keys read before are kept.
 */
int so_keys_load(struct so_source *s);

/** so_keys_free() - free the operators' keys */
void so_keys_free(struct wi_identity *id);

/** so_departure_handle() - log the departures of a relay's EP_DEPART */
int so_departure_handle(struct so_conn *c, const struct wi_frame *f);

/** so_departure_applied() - send relays the departures of an entry */
void so_departure_applied(struct so_source *s, const struct rp_entry *e);

/** so_departure_installed() - send relays those of a state that was installed */
void so_departure_installed(struct so_source *s);

/** so_rollout_start() - begin to follow roll-outs */
void so_rollout_start(struct so_source *s);

/** so_rollout_stop() - free the state */
void so_rollout_stop(struct so_source *s);

/** so_rollout_published() - follow the roll-outs of a new configuration */
void so_rollout_published(struct so_source *s,
			  const struct cf_snapshot *current);

/**
 * so_rollout_handle_tallies() - count an RtTallies, or pass it to the leader
 * @forwarded: another replica has passed it on
 */
int so_rollout_handle_tallies(struct so_source *s, const struct wi_frame *f,
			      bool forwarded);

/** so_rollout_check() - if leader, propose the steps that are due */
void so_rollout_check(struct so_source *s, ba_time now);

/** so_rollout_forget_counts() - begin to count anew, after a change of leader */
void so_rollout_forget_counts(struct so_source *s);

/** so_read_init() - initialise the state; no leader is known yet */
void so_read_init(struct so_source *s);

/** so_read_check() - handle a change of leader and a request's timeout */
void so_read_check(struct so_source *s, ba_time now);

/** so_read_send_request() - ask the leader for the newest version */
void so_read_send_request(struct so_source *s);

/** so_read_handle_request() - reply to a follower, if leader with a lease */
int so_read_handle_request(struct so_source *s, int from,
			   const struct wi_frame *f);

/** so_read_handle_reply() - process the leader's reply to a request */
int so_read_handle_reply(struct so_source *s, int from,
			 const struct wi_frame *f);

#endif
