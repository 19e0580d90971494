/*
 * Consensus among the replicas of the log, as pure decisions: each step
 * takes the state, one event and the time, and yields actions.
 *
 * Rules:
 * - One leader at most for each term; term and vote are saved before they
 *   are used.
 * - An entry is committed when a quorum of voting members has stored it and
 *   it, or a later one, is of the leader's own term.  Committed entries are
 *   never lost, changed or reordered.
 * - A leader accepts only within its lease, which a quorum renews by
 *   answering heartbeats; followers elect nobody else for longer than that.
 * - Members change one at a time; a new disk, or one that lost its content,
 *   votes only after it has caught up.
 * - Actions are carried out in their order.  When a store action fails, the
 *   rest of the list is dropped and %RP_ON_STORE_FAILED follows.
 */
#ifndef RP_CORE_H
#define RP_CORE_H

#include <stdbool.h>

#include "base/ba_clock.h"
#include "replica/rp_members.h"
#include "replica/rp_store.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	RP_NOBODY = -1,
	RP_APPEND_ENTRIES_LIMIT = 512,
	RP_APPEND_LIMIT_BYTES = 1024 * 1024,
	RP_STATE_LIMIT_BYTES = 256 * 1024 * 1024,
};

/** enum rp_role - what a replica is at the moment */
enum rp_role {
	RP_UNFORMED,
	RP_FOLLOWER,
	RP_PRE_CANDIDATE,
	RP_CANDIDATE,
	RP_LEADER,
};

/**
 * struct rp_times - spans of the protocol
 * @heartbeat: between the rounds of a leader
 * @election_least: a follower waits this long at least for its leader
 * @election_most: and this long at most
 * @lease: a leader accepts this long after a round that a quorum answered;
 *	below @election_least by more than clocks drift
 * @probe: between the questions of a replica without a log
 * @resend: a message without an answer is sent again after this time
 */
struct rp_times {
	ba_time heartbeat;
	ba_time election_least;
	ba_time election_most;
	ba_time lease;
	ba_time probe;
	ba_time resend;
};

/** rp_times_default - for replicas up to 50 ms apart */
extern const struct rp_times rp_times_default;

/**
 * rp_times_near - for replicas up to 50 ms apart whose callers wait for less
 * than a second: a leader that is gone is replaced within one
 */
extern const struct rp_times rp_times_near;

enum rp_message_type {
	RP_VOTE_REQUEST,
	RP_VOTE_REPLY,
	RP_APPEND,
	RP_APPEND_REPLY,
	RP_INSTALL,
	RP_INSTALL_REPLY,
	RP_PROBE,
	RP_HANDOVER,
};

/**
 * struct rp_message - a message between replicas; members that its type
 * does not use are zero
 * @index: last index of a candidate, previous index of an append, match
 *	index of its reply, index of a snapshot
 * @log_term: the term of that index
 * @round: heartbeat round that the message belongs to
 * @disk_id: of the sender, but in a vote request of the voter
 * @entries: on arrival only; to be sent are the @n_entries behind @index
 *	of the sender's log
 * @offset: of a chunk in the snapshot; in a reply the next one wanted
 * @chunk: on arrival only; the sender's driver fills it in
 * @lowest: lowest version in force below the sender
 */
struct rp_message {
	enum rp_message_type type;
	uint64_t term;
	bool pre;
	bool granted;
	bool accepted;
	bool done;
	bool formed;
	bool answer;
	bool damaged;
	bool handover;
	uint64_t index;
	uint64_t log_term;
	uint64_t commit;
	uint64_t round;
	uint64_t offset;
	uint64_t lowest;
	uint32_t daemons;
	uint32_t live;
	char disk_id[RP_DISK_ID_BYTES];
	struct rp_entry *const *entries;
	size_t n_entries;
	const uint8_t *chunk;
	size_t chunk_len;
};

enum rp_event_type {
	RP_ON_TICK,	    /* time has passed */
	RP_ON_MESSAGE,	    /* @message came from @from */
	RP_ON_PROPOSE,	    /* an entry of @kind is to be replicated */
	RP_ON_STORED,	    /* entries up to @index are durable */
	RP_ON_STORE_FAILED, /* @code: of an entry at @index, or with 0 the vote */
	RP_ON_INSTALLED,    /* the snapshot of %RP_DO_INSTALL is in place */
	RP_ON_SNAPSHOT,	    /* a snapshot at @index was taken */
	RP_ON_STOPPING,	    /* the replica ends soon; it hands its lead over */
};

/** struct rp_event - one event; members that its type does not use are 0 */
struct rp_event {
	enum rp_event_type type;
	int from;
	const struct rp_message *message;
	int kind;
	const void *body;
	size_t len;
	uint64_t index;
	uint64_t term;
	const struct rp_members *members;
	size_t keep;
	int code;
};

enum rp_action_type {
	RP_DO_SAVE_VOTE, /* save @term and the vote for peer @to */
	RP_DO_TRUNCATE,	 /* drop stored entries from @index on */
	RP_DO_APPEND,	 /* store the entries @index to @last, and sync */
	RP_DO_SEND,	 /* send @message to peer @to */
	RP_DO_COMMIT,	 /* entries up to @index are committed */
	RP_DO_INSTALL,	 /* put the received snapshot in place of all */
	RP_DO_ROLE,	 /* the role has changed to @role, for @reason */
};

/** struct rp_action - one action; see enum rp_action_type */
struct rp_action {
	enum rp_action_type type;
	int to;
	uint64_t index;
	uint64_t last;
	uint64_t term;
	enum rp_role role;
	int reason;
	struct rp_message message;
};

/** struct rp_actions - actions of a step, emptied by its caller */
struct rp_actions {
	struct rp_action *list;
	size_t n;
	size_t alloc;
};

/**
 * struct rp_core_options - who the replica is
 * @names: names of all replicas, own included, in the order of all settings;
 *	borrowed, with @addresses, for as long as the replica runs
 * @addresses: where operators reach them, in the same order
 * @self: own place in @names
 * @open: the settings do not say who the members are: @names are only those
 *	that are known at the start, rp_core_meet() adds others, and the leader
 *	keeps @voters of them voting
 * @founders: when @open, so many of the first names form the group when none
 *	of them has a log; with 0 this replica only joins one
 * @voters: when @open, voting members that are wanted
 * @seed: of the generator for election deadlines
 */
struct rp_core_options {
	const char *const *names;
	const char *const *addresses;
	size_t n_names;
	int self;
	bool open;
	size_t founders;
	size_t voters;
	struct rp_times times;
	uint64_t seed;
};

/**
 * struct rp_peer_state - what a replica knows of another, for status
 * @heard: when it last sent something, 0 for never
 */
struct rp_peer_state {
	const char *name;
	const char *address;
	bool member;
	bool voting;
	uint64_t match;
	ba_time heard;
	uint64_t lowest;
	uint32_t daemons;
	uint32_t live;
};

struct rp_core;

/**
 * rp_core_new() - a replica that has just started
 * @r: what its store held; the log is taken over
 * @members: members as of the snapshot, empty for none
 */
struct rp_core *rp_core_new(const struct rp_core_options *o,
			    struct rp_recovered *r,
			    const struct rp_members *members, ba_time now);

/**
 * rp_core_meet() - a replica is known from now on
 *
 * Return: its place, also when it was known, or %RP_NOBODY when there are
 * too many.
 */
int rp_core_meet(struct rp_core *c, const char *name, const char *address);

/** rp_core_n_peers() - replicas that are known, own included */
int rp_core_n_peers(const struct rp_core *c);

/** rp_core_free() - NULL is allowed */
void rp_core_free(struct rp_core *c);

/**
 * rp_core_step() - decide about one event
 * @out: actions are appended
 *
 * Return: %BA_OK; for a proposal also %RP_NOT_LEADER, %RP_NO_QUORUM or
 * %BA_DISK_FULL, and then nothing was done.
 */
int rp_core_step(struct rp_core *c, const struct rp_event *e, ba_time now,
		 struct rp_actions *out);

/** rp_core_accepting() - %BA_OK or why a proposal would be refused */
int rp_core_accepting(const struct rp_core *c, ba_time now);

/** rp_core_deadline() - when to step with %RP_ON_TICK */
ba_time rp_core_deadline(const struct rp_core *c);

/** rp_core_role() - the role at this moment */
enum rp_role rp_core_role(const struct rp_core *c);

/** rp_core_term() - the newest term seen */
uint64_t rp_core_term(const struct rp_core *c);

/** rp_core_leader() - place of the leader, or %RP_NOBODY */
int rp_core_leader(const struct rp_core *c);

/** rp_core_commit() - index of the last committed entry that is known */
uint64_t rp_core_commit(const struct rp_core *c);

/** rp_core_log() - the entries in memory */
const struct rp_log *rp_core_log(const struct rp_core *c);

/** rp_core_members() - the newest members in the log */
const struct rp_members *rp_core_members(const struct rp_core *c);

/** rp_core_votes() - whether this replica is a voting member */
bool rp_core_votes(const struct rp_core *c);

/**
 * rp_core_informed() - when this replica last knew all that is committed: a
 * leader within its lease, or a follower by its leader's last message
 *
 * Return: the time, or 0 when it has not known it since its start.
 */
ba_time rp_core_informed(const struct rp_core *c, ba_time now);

/** rp_core_alone() - damaged, and every other replica has no log either */
bool rp_core_alone(const struct rp_core *c);

/** rp_core_install_data() - the snapshot that %RP_DO_INSTALL is about */
const struct ba_buf *rp_core_install_data(const struct rp_core *c);

/** rp_core_peer() - what is known of peer @i */
struct rp_peer_state rp_core_peer(const struct rp_core *c, int i);

/** rp_core_summary() - own acknowledgements, told to the leader */
void rp_core_summary(struct rp_core *c, uint64_t lowest, uint32_t daemons,
		     uint32_t live);

/** rp_actions_free() - free the list */
void rp_actions_free(struct rp_actions *a);

#ifdef __cplusplus
}
#endif
#endif
