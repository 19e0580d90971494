/*
 * Private to replica/: the state of the consensus, shared by the files
 * that decide about elections, following and leading.
 */
#ifndef RP_INTERNAL_H
#define RP_INTERNAL_H

#include "base/ba_rand.h"
#include "replica/rp_core.h"

enum { RP_ROUNDS = 64 };

/**
 * struct rp_peer - another replica, or this one
 * @disk_id: as it last told, "" while unknown
 * @next: the leader sends from here on
 * @match: stored there for certain
 * @round: newest heartbeat round it has answered
 * @wait_deadline: until then an append or chunk is on its way
 * @wait_index: the last entry of that append
 * @offset: of the snapshot chunk it wants next
 * @granted: its vote in the election that is on
 * @unformed_at: when it last said that it has no log, 0 for never
 */
struct rp_peer {
	char disk_id[RP_DISK_ID_BYTES];
	uint64_t next;
	uint64_t match;
	uint64_t round;
	ba_time wait_deadline;
	uint64_t wait_index;
	uint64_t offset;
	bool granted;
	ba_time unformed_at;
	bool damaged;
	ba_time heard;
	uint64_t lowest;
	uint32_t daemons;
	uint32_t live;
};

/**
 * struct rp_core - the state of one replica
 * @vote: whom the vote of @term went to, or %RP_NOBODY
 * @unsaved: saving term and vote failed; it is tried again first
 * @members: of the newest entry that changes them, committed or not
 * @members_index: that entry, 0 for the snapshot
 * @heard_leader: until @election_least after this, nobody else is elected
 * @informed: when a leader's message said nothing newer was committed
 * @stored: last own entry that is durable
 * @term_start: first entry of the own term as leader
 * @led_since: when it became the leader
 * @lease_until: a leader accepts until then
 * @round_sent: when the newest rounds began
 * @store_deadline: the disk refused writes; no candidacy until then
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
	bool unsaved;
	int leader;
	struct rp_log log;
	uint64_t commit;
	struct rp_members members;
	uint64_t members_index;
	struct rp_members snapshot_members;
	ba_time heard_leader;
	ba_time informed;
	ba_time election_deadline;
	ba_time heartbeat_deadline;
	ba_time probe_deadline;
	ba_time store_deadline;
	uint64_t stored;
	uint64_t term_start;
	ba_time led_since;
	ba_time lease_until;
	uint64_t round;
	ba_time round_sent[RP_ROUNDS];
	struct ba_buf install;
	uint64_t install_index;
	uint64_t install_term;
	uint64_t install_round;
};

/** rp_act() - add an action of @type to the list; zeroed but for it */
struct rp_action *rp_act(struct rp_actions *out, enum rp_action_type type);

/** rp_send() - add a message to peer @to; own term and disk filled in */
struct rp_message *rp_send(struct rp_core *c, struct rp_actions *out, int to,
			   enum rp_message_type type);

/** rp_save_vote() - save the own term and vote */
void rp_save_vote(struct rp_core *c, struct rp_actions *out);

/** rp_become_follower() - of @leader, or of %RP_NOBODY, in term @term */
void rp_become_follower(struct rp_core *c, uint64_t term, int leader,
			int reason, ba_time now, struct rp_actions *out);

/** rp_append() - add a new entry of the own term to the log */
void rp_append(struct rp_core *c, int kind, const void *body, size_t len,
	       struct rp_actions *out);

/** rp_members_refresh() - find the newest members in the log */
void rp_members_refresh(struct rp_core *c);

/** rp_member() - the member that peer @i is, or NULL */
struct rp_member *rp_member(struct rp_core *c, int i);

/** rp_counts() - whether peer @i votes, with the disk it should have */
bool rp_counts(struct rp_core *c, int i);

/** rp_commit_to() - entries up to @index are committed */
void rp_commit_to(struct rp_core *c, uint64_t index, struct rp_actions *out);

/** rp_later() - a random deadline for an election */
ba_time rp_later(struct rp_core *c, ba_time now);

/** rp_is_up_to_date() - whether a log that ends there is at least as new */
bool rp_is_up_to_date(const struct rp_core *c, uint64_t index, uint64_t term);

/* Elections and the first formation: rp_elect.c */
void rp_elect_tick(struct rp_core *c, ba_time now, struct rp_actions *out);
void rp_form_tick(struct rp_core *c, ba_time now, struct rp_actions *out);
void rp_on_vote_request(struct rp_core *c, int from, const struct rp_message *m,
			ba_time now, struct rp_actions *out);
void rp_on_vote_reply(struct rp_core *c, int from, const struct rp_message *m,
		      ba_time now, struct rp_actions *out);
void rp_on_probe(struct rp_core *c, int from, const struct rp_message *m,
		 ba_time now, struct rp_actions *out);
void rp_on_handover(struct rp_core *c, int from, const struct rp_message *m,
		    ba_time now, struct rp_actions *out);

/* Following: rp_follow.c */
void rp_on_append(struct rp_core *c, int from, const struct rp_message *m,
		  ba_time now, struct rp_actions *out);
void rp_on_install(struct rp_core *c, int from, const struct rp_message *m,
		   ba_time now, struct rp_actions *out);
void rp_on_installed(struct rp_core *c, const struct rp_event *e,
		     struct rp_actions *out);

/* Leading: rp_lead.c */
void rp_become_leader(struct rp_core *c, ba_time now, struct rp_actions *out);
void rp_lead_tick(struct rp_core *c, ba_time now, struct rp_actions *out);
void rp_lead_stored(struct rp_core *c, ba_time now, struct rp_actions *out);
void rp_on_append_reply(struct rp_core *c, int from, const struct rp_message *m,
			ba_time now, struct rp_actions *out);
void rp_on_install_reply(struct rp_core *c, int from,
			 const struct rp_message *m, ba_time now,
			 struct rp_actions *out);
void rp_hand_over(struct rp_core *c, ba_time now, struct rp_actions *out);
void rp_replicate_all(struct rp_core *c, ba_time now, struct rp_actions *out);

#endif
