/*
 * A replica: consensus, store and state machine put together.  It has no
 * clock, thread or socket of its own: its driver gives it messages and the
 * time, and sends what it is told to.
 *
 * Rules:
 * - An outcome is told only after its entry is committed; before that, the
 *   replies are refusals that changed nothing, or "not known yet".
 * - A submission that is sent again while the first is on its way waits
 *   for the same outcome.
 */
#ifndef RP_NODE_H
#define RP_NODE_H

#include "replica/rp_core.h"
#include "replica/rp_machine.h"

#ifdef __cplusplus
extern "C" {
#endif

struct rp_node;

/**
 * struct rp_node_owner - what the driver does; embed it first
 * @send: send a packed RpMessage to replica @to; it may be lost
 * @applied: an entry was applied; may be NULL
 * @published: the configuration has changed
 * @outcome: the outcome of the submission that came with @token
 * @role: role, leader or term has changed; may be NULL
 */
struct rp_node_owner {
	void (*send)(struct rp_node_owner *o, int to, const void *data,
		     size_t len);
	void (*applied)(struct rp_node_owner *o, const struct rp_entry *e,
			const struct rp_applied *a);
	void (*published)(struct rp_node_owner *o, struct cf_snapshot *s);
	void (*outcome)(struct rp_node_owner *o, uint64_t token,
			const CtOutcome *outcome);
	void (*role)(struct rp_node_owner *o, enum rp_role role, int leader,
		     int reason);
};

/**
 * struct rp_node_options - how a replica runs
 * @store: taken over, also on failure
 * @snapshot_entries: entries between two snapshots, 0 for the default
 * @keep_entries: most entries kept before a snapshot, 0 for the default
 * @chunk_bytes: pieces that a snapshot is sent in, 0 for the default
 */
struct rp_node_options {
	struct rp_core_options core;
	struct rp_store *store;
	struct rp_node_owner *owner;
	size_t snapshot_entries;
	size_t keep_entries;
	size_t chunk_bytes;
};

/**
 * struct rp_recovery - what a start found, for the log
 * @entries: entries behind the snapshot
 */
struct rp_recovery {
	uint64_t snapshot_index;
	size_t entries;
	size_t cut_bytes;
	bool damaged;
};

/**
 * rp_node_new() - start a replica from its store
 * @found: filled in; may be NULL
 *
 * Return: %BA_OK, %RP_LOG_DAMAGED when there is nobody to catch up from,
 * %BA_FOLDER_UNWRITABLE or %BA_DISK_FULL.
 */
int rp_node_new(const struct rp_node_options *o, ba_time now,
		struct rp_recovery *found, struct rp_node **out);

/** rp_node_meet() - as rp_core_meet() */
int rp_node_meet(struct rp_node *n, const char *name, const char *address);

/** rp_node_free() - stop at once; NULL is allowed */
void rp_node_free(struct rp_node *n);

/** rp_node_tick() - time has passed */
void rp_node_tick(struct rp_node *n, ba_time now);

/** rp_node_stopping() - the replica ends soon; a leader hands over */
void rp_node_stopping(struct rp_node *n, ba_time now);

/** rp_node_deadline() - when to call rp_node_tick() */
ba_time rp_node_deadline(const struct rp_node *n);

/** rp_node_receive() - a message of replica @from; %WI_FRAME_GARBAGE */
int rp_node_receive(struct rp_node *n, int from, const void *data, size_t len,
		    ba_time now);

/**
 * rp_node_submit() - take in a submission
 * @token: names the submission in the call of @outcome, which may come
 *	before this returns
 * @wall: wall time, for people
 */
void rp_node_submit(struct rp_node *n, uint64_t token, const CtSubmit *submit,
		    ba_time now, ba_time wall);

/** rp_node_forget() - nobody waits for the outcome of @token any more */
void rp_node_forget(struct rp_node *n, uint64_t token);

/**
 * rp_node_propose() - replicate an entry of another kind
 *
 * Return: %BA_OK, or why it was not taken in, as for rp_core_step().
 */
int rp_node_propose(struct rp_node *n, int kind, const void *body, size_t len,
		    ba_time now);

/** rp_node_core() - the consensus, to look at */
const struct rp_core *rp_node_core(const struct rp_node *n);

/** rp_node_machine() - the state machine, to look at */
const struct rp_machine *rp_node_machine(const struct rp_node *n);

/** rp_node_summary() - acknowledgements of the own subscribers */
void rp_node_summary(struct rp_node *n, uint64_t lowest, uint32_t daemons,
		     uint32_t live);

#ifdef __cplusplus
}
#endif
#endif
