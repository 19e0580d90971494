/*
 * Private to replica/: the state of the consensus, shared by the files for
 * elections, followers and leaders.
 */
#ifndef RP_INTERNAL_H
#define RP_INTERNAL_H

#include "base/ba_rand.h"
#include "replica/rp_core.h"

/*
 * Heartbeat rounds whose start is kept; the answer to an older round renews no
 * lease.
 */
enum { RP_ROUNDS_TRACKED = 64 };

/**
 * struct rp_peer - a known replica, this one included
 * @disk_id: disk identity in its last message, "" while unknown
 * @next: next entry that the leader sends to it
 * @match: last entry that it is known to have stored
 * @round: newest heartbeat round that it has answered
 * @inflight_deadline: when an unanswered append or chunk is sent again
 * @inflight_round: heartbeat round in which it was sent; messages arrive in
 *	order, so once a later round is answered it is lost
 * @inflight_index: last entry that this append or snapshot covers
 * @offset: byte offset of the snapshot chunk that it needs next
 * @granted: whether it granted its vote in the current election, or for
 *	forming the group
 * @formed: whether it last reported that it has a log
 * @unformed_at: when it last reported that it has no log, 0 when it has one or
 *	has not been heard
 * @damaged: whether it last reported that it lost synced entries
 * @heard_at: when its last message arrived, 0 for never
 * @lowest_version, @daemons, @live: see rp_core_set_ack_summary()
 */
struct rp_peer {
	char disk_id[RP_DISK_ID_BYTES];
	uint64_t next;
	uint64_t match;
	uint64_t round;
	ba_time inflight_deadline;
	uint64_t inflight_round;
	uint64_t inflight_index;
	uint64_t offset;
	bool granted;
	bool formed;
	ba_time unformed_at;
	bool damaged;
	ba_time heard_at;
	uint64_t lowest_version;
	uint32_t daemons;
	uint32_t live;
};

/**
 * struct rp_core - the state of one replica
 * @damaged: synced entries were lost, and no entry and no snapshot has been
 *	received since
 * @vote: peer that the vote of @term went to, or %RP_NO_PEER
 * @vote_unsaved: term and vote could not be saved; the next step tries again
 *	before anything else
 * @members: members of the newest entry that changes them, committed or not
 * @members_index: index of that entry, or of the snapshot
 * @snapshot_members: members as of the snapshot
 * @lease_holder: the leader whose lease this replica may have renewed last, also
 *	before its start; itself once it leads; %RP_NO_PEER if it is not known
 * @lease_term: term of that lease
 * @led: whether a leader was heard, or this replica led, since the start
 * @leader_heard_at: when the leader was last heard, at first the time of the
 *	start; this replica votes for none but @lease_holder until @election_min
 *	later
 * @up_to_date_at: when a message of the leader last named no newer commit index
 *	than @commit
 * @no_candidacy_until: the store refused a write or the leadership was handed
 *	over; this replica is no candidate until then
 * @stored: last entry that this replica has stored durably
 * @term_start: first entry of the term that this replica leads
 * @leader_since: when this replica became the leader
 * @lease_until: a leader accepts proposals until then
 * @round: newest heartbeat round as leader
 * @round_sent: when the newest rounds started, by round modulo
 *	%RP_ROUNDS_TRACKED
 * @install: received part of the snapshot that replaces state and log
 * @install_index: last entry that this snapshot covers
 * @install_term: term of that entry
 * @install_round: heartbeat round of the chunk received last, for the reply
 */
struct rp_core {
	struct rp_core_options o;
	char *names[RP_PEERS_LIMIT];
	char *addresses[RP_PEERS_LIMIT];
	struct rp_peer peers[RP_PEERS_LIMIT];
	int n_peers;
	int self;
	struct ba_rand rand;
	char disk_id[RP_DISK_ID_BYTES];
	bool damaged;
	enum rp_role role;
	uint64_t term;
	int vote;
	bool vote_unsaved;
	int leader;
	struct rp_log log;
	uint64_t commit;
	struct rp_members members;
	uint64_t members_index;
	struct rp_members snapshot_members;
	int lease_holder;
	uint64_t lease_term;
	bool led;
	ba_time leader_heard_at;
	ba_time up_to_date_at;
	ba_time election_deadline;
	ba_time heartbeat_deadline;
	ba_time probe_deadline;
	ba_time no_candidacy_until;
	uint64_t stored;
	uint64_t term_start;
	ba_time leader_since;
	ba_time lease_until;
	uint64_t round;
	ba_time round_sent[RP_ROUNDS_TRACKED];
	struct ba_buf install;
	uint64_t install_index;
	uint64_t install_term;
	uint64_t install_round;
};

/** rp_add_action() - append an action of @type; its other fields are zero */
struct rp_action *rp_add_action(struct rp_actions *out,
				enum rp_action_type type);

/** rp_send() - add a message to peer @to, with this replica's term and disk */
struct rp_message *rp_send(struct rp_core *c, struct rp_actions *out, int to,
			   enum rp_message_type type);

/** rp_save_vote() - add the action that saves the current term and vote */
void rp_save_vote(struct rp_core *c, struct rp_actions *out);

/** rp_set_lease_holder() - note and save that peer @leader leads the term */
void rp_set_lease_holder(struct rp_core *c, int leader, struct rp_actions *out);

/**
 * rp_become_follower() - follow @leader, or %RP_NO_PEER, in term @term
 * @reason: result code for %RP_DO_ROLE
 */
void rp_become_follower(struct rp_core *c, uint64_t term, int leader,
			int reason, ba_time now, struct rp_actions *out);

/** rp_append() - append a new entry of the current term and store it */
void rp_append(struct rp_core *c, int kind, const void *body, size_t len,
	       struct rp_actions *out);

/** rp_refresh_members() - set the members from the newest entry in the log */
void rp_refresh_members(struct rp_core *c);

/** rp_member() - member entry of peer @i, NULL when it is no member */
struct rp_member *rp_member(struct rp_core *c, int i);

/** rp_is_voter() - whether peer @i is a voter and has its registered disk */
bool rp_is_voter(struct rp_core *c, int i);

/** rp_commit_to() - advance the commit index to @index; never moves back */
void rp_commit_to(struct rp_core *c, uint64_t index, struct rp_actions *out);

/** rp_next_election_deadline() - draw a random deadline for an election */
ba_time rp_next_election_deadline(struct rp_core *c, ba_time now);

/**
 * rp_is_log_up_to_date() - whether a log that ends with @index of @term is at
 * least as new as this replica's log
 */
bool rp_is_log_up_to_date(const struct rp_core *c, uint64_t index,
			  uint64_t term);

/* Elections: rp_elect.c */
void rp_elect_tick(struct rp_core *c, ba_time now, struct rp_actions *out);
void rp_on_vote_request(struct rp_core *c, int from, const struct rp_message *m,
			ba_time now, struct rp_actions *out);
void rp_on_vote_reply(struct rp_core *c, int from, const struct rp_message *m,
		      ba_time now, struct rp_actions *out);
void rp_on_handover(struct rp_core *c, int from, const struct rp_message *m,
		    ba_time now, struct rp_actions *out);
void rp_end_lease(struct rp_core *c, ba_time now);

/* Forming the group: rp_form.c */
void rp_form_tick(struct rp_core *c, ba_time now, struct rp_actions *out);
void rp_on_probe(struct rp_core *c, int from, const struct rp_message *m,
		 ba_time now, struct rp_actions *out);
void rp_on_form_request(struct rp_core *c, int from, const struct rp_message *m,
			struct rp_actions *out);
void rp_on_form_reply(struct rp_core *c, int from, const struct rp_message *m,
		      ba_time now, struct rp_actions *out);

/* Followers: rp_follow.c */
void rp_on_append(struct rp_core *c, int from, const struct rp_message *m,
		  ba_time now, struct rp_actions *out);
void rp_on_install(struct rp_core *c, int from, const struct rp_message *m,
		   ba_time now, struct rp_actions *out);
void rp_on_installed(struct rp_core *c, const struct rp_event *e,
		     struct rp_actions *out);

/* The leader: rp_lead.c */
void rp_become_leader(struct rp_core *c, ba_time now, struct rp_actions *out);
void rp_lead_tick(struct rp_core *c, ba_time now, struct rp_actions *out);
void rp_lead_stored(struct rp_core *c, ba_time now, struct rp_actions *out);
void rp_on_append_reply(struct rp_core *c, int from, const struct rp_message *m,
			ba_time now, struct rp_actions *out);
void rp_on_install_reply(struct rp_core *c, int from,
			 const struct rp_message *m, ba_time now,
			 struct rp_actions *out);
void rp_hand_over_leadership(struct rp_core *c, ba_time now,
			     struct rp_actions *out);
void rp_replicate_all(struct rp_core *c, ba_time now, struct rp_actions *out);

#endif
