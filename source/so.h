/*
 * Inside of caraway-source: one struct, and the parts that work on it.  All
 * of it belongs to the thread of its loop.
 *
 *   so_source.c      start, stop, and the replica's owner
 *   so_session.c     sessions that were accepted, and their frames
 *   so_submit.c      submissions that wait for their outcome
 *   so_operator.c    submissions and queries
 *   so_http.c        the operators' API over HTTP
 *   so_status.c      the JSON that queries are answered with
 *   so_peer.c        sessions dialled to the other replicas
 *   so_feed.c        relays: what they are sent, what they acknowledge
 *   so_figures.c     figures of the day on their way into the log
 *   so_keys.c        keys of the operators
 */
#ifndef SO_H
#define SO_H

#include <glib.h>

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
	SO_TEXT_LIMIT_BYTES = 4 * 1024 * 1024,
};

/**
 * struct so_settings - the settings file
 * @open: others may join; a replica is then named by the address where
 *	operators reach it, and all listen on the same port
 * @founders: so many of the first names form the group when there is none
 * @voters: voting members that are wanted
 * @times: spans of the protocol, NULL for the default
 */
struct so_settings {
	struct pr_common common;
	struct ba_address address;
	struct ba_address external_address;
	char *data_folder;
	char *operators_folder;
	struct ba_strings names;
	struct ba_addresses addresses;
	bool open;
	size_t founders;
	size_t voters;
	const struct rp_times *times;
};

/**
 * struct so_waiter - whoever waits for the outcome of a submission; embed it
 * @outcome: the outcome has come
 * @token: of the submission, 0 for none
 */
struct so_waiter {
	void (*outcome)(struct so_waiter *w, const CtOutcome *outcome);
	uint64_t token;
};

/**
 * struct so_conn - one accepted session
 */
struct so_conn {
	struct wi_handler handler;
	struct ba_list link;
	struct so_source *source;
	struct wi_session *session;
	bool open;
	struct so_waiter waiter;
};

/**
 * struct so_peer - the session dialled to another replica
 * @failures: times it ended since it was last open
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
 * struct so_subscriber - what a relay last told, kept after it has gone
 * @heard: time of ba_clock_now()
 */
struct so_subscriber {
	char *instance;
	char *data_centre;
	char *region;
	uint64_t version;
	uint32_t daemons;
	uint32_t live;
	char **behind;
	ba_time heard;
};

/**
 * struct so_read - a follower's question to the leader for the newest version
 * @leader: who is asked, or %RP_NO_PEER
 * @number: of the last question; answers to earlier ones are dropped
 * @deadline: when the question is lost, %BA_NEVER while none is open
 */
struct so_read {
	int leader;
	uint64_t number;
	ba_time deadline;
};

/**
 * struct so_source - the program
 * @heartbeat: of the leader among the replicas
 * @started: when it began, in time of ba_clock_now()
 * @check_deadline: when the state of the group is looked at again
 * @proposed_in_force: newest version for which an entry was proposed
 * @met: a replica of an open group has been met; may be NULL
 * @apart: whether the last such entry lacked daemons that have a lease
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
	struct ba_timer end_timer;
	uint64_t last_token;
	GHashTable *waiting;
	struct so_peer peers[RP_PEERS_LIMIT];
	char *names[RP_PEERS_LIMIT];
	char *addresses[RP_PEERS_LIMIT];
	int n_peers;
	void (*met)(struct so_source *s, const char *name);
	int self;
	ba_time heartbeat;
	ba_time started;
	ba_time check_deadline;
	struct ba_rand rand;
	struct ds_feed *feed;
	GHashTable *subscribers;
	uint64_t proposed_in_force;
	bool apart;
	struct so_read read;
	struct rt_figures *figures;
	struct ba_timer figures_timer;
	int exit_code;
};

/**
 * so_source_start() - recover the log, listen and dial; @loop, @settings and
 * @identity of a zeroed @s are set
 *
 * Return: %BA_OK, %BA_PORT_IN_USE, or a code of rp_node_new().
 */
int so_source_start(struct so_source *s);

/** so_source_stop() - end everything that so_source_start() began */
void so_source_stop(struct so_source *s);

/** so_source_end() - hand over, then stop the loop */
void so_source_end(struct so_source *s);

/** so_source_rearm() - the replica may have another deadline now */
void so_source_rearm(struct so_source *s);

/** so_source_propose() - propose, or have the leader do it */
void so_source_propose(struct so_source *s, int kind, const void *body,
		       size_t len);

/** so_session_accept() - take in an incoming session */
struct wi_handler *so_session_accept(struct wi_acceptor *a,
				     struct wi_session *session);

/** so_session_find() - the open session of a peer, or NULL */
struct so_conn *so_session_find(struct so_source *s, const char *instance);

/** so_session_free_all() - end all accepted sessions */
void so_session_free_all(struct so_source *s);

/** so_operator_frame() - a frame of an operator's session */
int so_operator_frame(struct so_conn *c, const struct wi_frame *f);

/** so_submit() - take in a submission; @w is told of its outcome */
void so_submit(struct so_source *s, struct so_waiter *w,
	       const CtSubmit *submit);

/** so_submit_outcome() - the outcome of the submission with @token */
void so_submit_outcome(struct so_source *s, uint64_t token,
		       const CtOutcome *outcome);

/** so_submit_forget() - @w waits no more */
void so_submit_forget(struct so_source *s, struct so_waiter *w);

/** so_operator_closed() - the session has ended */
void so_operator_closed(struct so_conn *c);

/** so_status_json() - append the answer to "status" */
void so_status_json(struct so_source *s, struct ba_buf *out);

/** so_history_json() - append the answer to "history" */
void so_history_json(struct so_source *s, size_t limit, struct ba_buf *out);

/** so_current_json() - append the answer to "current" */
void so_current_json(struct so_source *s, struct ba_buf *out);

/** so_peer_add() - a replica at @address; its place */
int so_peer_add(struct so_source *s, const char *name,
		const struct ba_address *address);

/** so_peer_start() - dial every other replica */
void so_peer_start(struct so_source *s);

/** so_peer_stop() - end the sessions to the other replicas */
void so_peer_stop(struct so_source *s);

/** so_peer_is_open() - whether a session to a replica is open */
bool so_peer_is_open(const struct so_source *s, int index);

/** so_peer_send() - send a frame to replica @to; it may be lost */
void so_peer_send(struct so_source *s, int to, int type, const void *data,
		  size_t len);

/** so_peer_frame() - a frame that another replica has sent */
int so_peer_frame(struct so_conn *c, const struct wi_frame *f);

/**
 * so_peer_meet() - a replica of an open group is known from now on
 *
 * Return: its place, or %RP_NO_PEER when it cannot be one.
 */
int so_peer_meet(struct so_source *s, const char *name);

/** so_peer_find() - place of the replica named @name, or %RP_NO_PEER */
int so_peer_find(const struct so_source *s, const char *name);

/** so_feed_start() - begin to publish */
void so_feed_start(struct so_source *s);

/** so_feed_frame() - a frame of a relay's session */
int so_feed_frame(struct so_conn *c, const struct wi_frame *f);

/** so_feed_check() - say how fresh the feed is; note what is in force */
void so_feed_check(struct so_source *s, ba_time now);

/** so_feed_stop() - stop publishing */
void so_feed_stop(struct so_source *s);

/** so_figures_start() - count, and put own figures into the log */
void so_figures_start(struct so_source *s);

/** so_figures_batch() - a relay has sent an RtBatch */
int so_figures_batch(struct so_conn *c, const struct wi_frame *f);

/** so_figures_applied() - an RtBatch is in the log: acknowledge it */
void so_figures_applied(struct so_source *s, const struct rp_entry *e);

/** so_figures_stop() - stop counting */
void so_figures_stop(struct so_source *s);

/**
 * so_keys_load() - read the operators' keys anew
 *
 * Return: %BA_OK, %BA_FILE_UNREADABLE or %BA_TYPE_WRONG, and then the keys
 * that were read before stay.
 */
int so_keys_load(struct so_source *s);

/** so_keys_free() - forget the operators' keys */
void so_keys_free(struct wi_identity *id);

/** so_read_start() - nobody is asked yet */
void so_read_start(struct so_source *s);

/** so_read_check() - follow changes of the leader, and lost questions */
void so_read_check(struct so_source *s, ba_time now);

/** so_read_ask() - ask the leader for the newest version */
void so_read_ask(struct so_source *s);

/** so_read_answer() - a follower asks; only a leader in its lease answers */
int so_read_answer(struct so_source *s, int from, const struct wi_frame *f);

/** so_read_reply() - the leader has answered */
int so_read_reply(struct so_source *s, int from, const struct wi_frame *f);

#endif
