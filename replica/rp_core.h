/*
 * Consensus among the replicas of a log (Raft with pre-votes and a leader
 * lease) as a state machine without input or output: each step takes the
 * state, one event and the time, and returns the actions to carry out.
 *
 * Rules:
 * - Each term has at most one leader; a replica saves its term and vote
 *   before it acts on them.
 * - An entry is committed when a quorum of voting members has stored it and
 *   it, or a later one, is of the leader's own term.  Committed entries are
 *   never lost, changed or reordered.
 * - A leader accepts proposals only within its lease, which a quorum renews
 *   by answering heartbeats.  Followers grant no other replica a vote for
 *   longer than the lease lasts.  They may elect the same leader again at once,
 *   as a replica that asks for votes does not lead.
 * - A group is formed by the votes of all its founders; a replica without a log
 *   votes for one candidate only.
 * - Membership changes one member at a time.  A replica with a new disk, or
 *   with one that lost its content, votes only after it has caught up.
 * - The caller executes actions in order.  When a store action fails, it
 *   drops the rest of the list and steps with %RP_ON_STORE_FAILED.
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
	RP_NO_PEER = -1,
	RP_APPEND_ENTRIES_LIMIT = 512,
	/* bodies of the entries of an append; a larger entry is sent alone */
	RP_APPEND_LIMIT_BYTES = 1024 * 1024,
	/* largest snapshot that is received from a leader */
	RP_STATE_LIMIT_BYTES = 256 * 1024 * 1024,
};

/** enum rp_role - role of a replica; %RP_UNFORMED until it has a log */
enum rp_role {
	RP_UNFORMED,
	RP_FOLLOWER,
	RP_PRE_CANDIDATE,
	RP_CANDIDATE,
	RP_LEADER,
};

/**
 * struct rp_times - intervals and timeouts of the protocol
 * @heartbeat: interval between the heartbeat rounds of a leader
 * @election_min: shortest election timeout of a follower
 * @election_max: longest election timeout of a follower
 * @lease: lease of a leader, counted from the start of a round that a quorum
 *	answered; shorter than @election_min by more than clocks drift
 * @probe: interval between the probes of a replica without a log
 * @resend: an append with entries, or a snapshot chunk, that is not answered is
 *	sent again after this time
 */
struct rp_times {
	ba_time heartbeat;
	ba_time election_min;
	ba_time election_max;
	ba_time lease;
	ba_time probe;
	ba_time resend;
};

/** rp_times_default - times for replicas up to 50 ms apart */
extern const struct rp_times rp_times_default;

/**
 * rp_times_fast_failover - times for replicas up to 50 ms apart whose callers
 * wait for less than a second: a failed leader is replaced within a second
 */
extern const struct rp_times rp_times_fast_failover;

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
 * struct rp_message - a message between replicas; fields that its type
 * does not use are zero
 * @pre: a pre-vote request or its reply
 * @granted: in a vote reply, whether the vote was granted
 * @accepted: in an append reply, whether the log matched
 * @done: the chunk is the last one of the snapshot
 * @formed: in a probe reply, whether the sender has a log
 * @is_reply: a probe reply, not a probe
 * @damaged: in a probe or its reply, whether the sender lost synced entries
 * @handover: the vote request follows from %RP_HANDOVER
 * @forming: the vote request is for forming the group
 * @index: last index of a candidate, previous index of an append, match
 *	index of its reply, index of a snapshot
 * @log_term: term of the entry at @index
 * @commit: commit index of the leader
 * @round: heartbeat round that the message belongs to
 * @offset: byte offset of a chunk in the snapshot; in a reply the offset of
 *	the next chunk that the sender needs
 * @lowest_version, @daemons, @live: see rp_core_set_ack_summary()
 * @disk_id: disk of the sender; in a vote request, the disk of the voter
 * @entries: only set in a received message; a message to be sent stands for
 *	the @n_entries entries after @index of the sender's log
 * @chunk: only set in a received message; rp_message_encode() fills it in
 */
struct rp_message {
	enum rp_message_type type;
	uint64_t term;
	bool pre;
	bool granted;
	bool accepted;
	bool done;
	bool formed;
	bool is_reply;
	bool damaged;
	bool handover;
	bool forming;
	uint64_t index;
	uint64_t log_term;
	uint64_t commit;
	uint64_t round;
	uint64_t offset;
	uint64_t lowest_version;
	uint32_t daemons;
	uint32_t live;
	char disk_id[RP_DISK_ID_BYTES];
	struct rp_entry *const *entries;
	size_t n_entries;
	const uint8_t *chunk;
	size_t chunk_len;
};

enum rp_event_type {
	RP_ON_TICK,    /* time has passed */
	RP_ON_MESSAGE, /* @message arrived from peer @from */
	RP_ON_PROPOSE, /* replicate a new entry of @kind */
	RP_ON_STORED,  /* entries up to @index are durable */
	/* a store action at @index, 0 for a vote, has failed with @code */
	RP_ON_STORE_FAILED,
	RP_ON_INSTALLED, /* the snapshot of %RP_DO_INSTALL is stored */
	RP_ON_SNAPSHOT,	 /* a snapshot at @index was taken */
	RP_ON_STOPPING,	 /* the replica will stop; a leader hands over */
};

/**
 * struct rp_event - one event; fields that its type does not use are zero
 * @keep: with %RP_ON_SNAPSHOT, number of entries up to @index that stay in
 *	memory
 */
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
	RP_DO_SAVE_VOTE,   /* save @term and the vote for peer @to */
	RP_DO_SAVE_LEADER, /* save that peer @to leads the term; may fail */
	RP_DO_TRUNCATE,	   /* drop the stored entries from @index on */
	RP_DO_APPEND,	   /* store the entries @index to @last, and sync */
	RP_DO_SEND,	   /* send @message to peer @to */
	RP_DO_COMMIT,	   /* entries up to @index are committed */
	RP_DO_INSTALL,	   /* replace state and log by the received snapshot */
	RP_DO_ROLE,	   /* role is @role and leader @to now, for @reason */
};

/** struct rp_action - one action; its type says which fields it uses */
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

/** struct rp_actions - actions of a step; the caller empties the list */
struct rp_actions {
	struct rp_action *list;
	size_t n;
	size_t alloc;
};

/**
 * struct rp_core_options - identity of the replica and its group
 * @names: names of all replicas, this one included, in any order; borrowed, as
 *	is @addresses, for as long as the replica runs
 * @addresses: addresses for operators, in the order of @names
 * @self: index of this replica in @names
 * @open_group: the group is open: the settings do not list its members.  @names
 *	are only the replicas that are known at the start, rp_core_add_peer()
 *	adds others, and the leader keeps @voters of them voting
 * @n_founders: in an open group, the first @n_founders names form the group
 *	when none of them has a log, if all of them agree; with 0 this replica
 *	only joins a group
 * @voters: in an open group, the number of voting members to keep
 * @seed: seed of the generator of election deadlines
 */
struct rp_core_options {
	const char *const *names;
	const char *const *addresses;
	size_t n_names;
	int self;
	bool open_group;
	size_t n_founders;
	size_t voters;
	struct rp_times times;
	uint64_t seed;
};

/**
 * struct rp_peer_state - what this replica knows of a peer, for the status
 * @match: last entry that the peer is known to have stored
 * @heard_at: when the last message of the peer arrived, 0 for never
 * @lowest_version, @daemons, @live: see rp_core_set_ack_summary()
 */
struct rp_peer_state {
	const char *name;
	const char *address;
	bool member;
	bool voting;
	uint64_t match;
	ba_time heard_at;
	uint64_t lowest_version;
	uint32_t daemons;
	uint32_t live;
};

struct rp_core;

/**
 * rp_core_new() - create the state of a replica that has just started
 * @r: content of its store; takes over the log
 * @members: members as of the snapshot, empty without a snapshot
 */
struct rp_core *rp_core_new(const struct rp_core_options *o,
			    struct rp_recovered *r,
			    const struct rp_members *members, ba_time now);

/**
 * rp_core_add_peer() - add a replica that may become a member
 *
 * Return: its index, also when it was known before, or %RP_NO_PEER when
 * %RP_PEERS_LIMIT replicas are known.
 */
int rp_core_add_peer(struct rp_core *c, const char *name, const char *address);

/** rp_core_n_peers() - number of known replicas, this one included */
int rp_core_n_peers(const struct rp_core *c);

/** rp_core_free() - free the state; @c may be NULL */
void rp_core_free(struct rp_core *c);

/**
 * rp_core_step() - process one event
 * @out: the actions to execute are appended here
 *
 * Return: %BA_OK; for a proposal also %RP_NOT_LEADER or %RP_NO_QUORUM, and then
 * the state is unchanged.
 */
int rp_core_step(struct rp_core *c, const struct rp_event *e, ba_time now,
		 struct rp_actions *out);

/** rp_core_proposal_error() - %BA_OK, or the code a proposal is refused with */
int rp_core_proposal_error(const struct rp_core *c, ba_time now);

/** rp_core_deadline() - when to step with %RP_ON_TICK */
ba_time rp_core_deadline(const struct rp_core *c);

/** rp_core_role() - current role */
enum rp_role rp_core_role(const struct rp_core *c);

/** rp_core_term() - the newest term seen */
uint64_t rp_core_term(const struct rp_core *c);

/** rp_core_leader() - index of the leader, or %RP_NO_PEER */
int rp_core_leader(const struct rp_core *c);

/** rp_core_commit() - index of the last entry known to be committed */
uint64_t rp_core_commit(const struct rp_core *c);

/** rp_core_log() - entries held in memory */
const struct rp_log *rp_core_log(const struct rp_core *c);

/** rp_core_members() - newest members in the log, committed or not */
const struct rp_members *rp_core_members(const struct rp_core *c);

/** rp_core_is_voter() - whether this replica is a voting member */
bool rp_core_is_voter(const struct rp_core *c);

/**
 * rp_core_up_to_date_at() - when this replica last knew every committed entry
 *
 * A leader knows them until its lease ends; a follower knew them when a message
 * of its leader named no newer commit index than its own.
 *
 * Return: the time, or 0 when it has not known them since its start.
 */
ba_time rp_core_up_to_date_at(const struct rp_core *c, ba_time now);

/**
 * rp_core_is_unrecoverable() - whether this replica is damaged and no other has
 * a log that it could catch up from
 */
bool rp_core_is_unrecoverable(const struct rp_core *c);

/**
 * rp_core_awaited_founder() - founder that a replica without a log waits for
 *
 * Of the candidate one that was not heard without a log, or did not vote; of any
 * other founder the candidate.
 *
 * Return: its index, or %RP_NO_PEER if there is none or this replica has a log.
 */
int rp_core_awaited_founder(const struct rp_core *c, ba_time now);

/** rp_core_install_data() - the received snapshot, for %RP_DO_INSTALL */
const struct ba_buf *rp_core_install_data(const struct rp_core *c);

/** rp_core_peer() - state of peer @i */
struct rp_peer_state rp_core_peer(const struct rp_core *c, int i);

/**
 * rp_core_set_ack_summary() - set the summary of the acknowledgements of this
 * replica's subscribers, which goes to the leader with each append reply
 * @lowest_version: lowest version in force on the daemons that the
 *	acknowledgements count
 * @daemons: number of these daemons
 * @live: number of daemons with a lease in the whole mesh
 */
void rp_core_set_ack_summary(struct rp_core *c, uint64_t lowest_version,
			     uint32_t daemons, uint32_t live);

/** rp_actions_free() - free the list */
void rp_actions_free(struct rp_actions *a);

#ifdef __cplusplus
}
#endif
#endif
