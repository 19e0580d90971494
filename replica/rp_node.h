/*
 * A replica: consensus, store and state machine combined.  It has no clock,
 * thread or socket of its own: its owner passes in messages and the time, and
 * sends the messages that the replica hands out.
 *
 * Rules:
 * - The final outcome of a submission is reported only after its entry is
 *   committed.  Any other answer refuses the submission, without any effect, or
 *   is %RP_SUBMISSION_TIMEOUT: its outcome is not known yet.
 * - A submission that is sent again while its entry is not committed waits
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
 * struct rp_node_owner - callbacks of the owner, embedded first by the owner
 * @send: send a packed RpMessage to replica @to; the message may be lost
 * @applied: called when an entry was applied; may be NULL
 * @published: called when the configuration has changed
 * @outcome: called with the outcome of the submission that came with @token
 * @role: called when role, leader or term has changed; may be NULL
 * @installed: called when the state was replaced by another replica's; may be
 *	NULL
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
	void (*installed)(struct rp_node_owner *o);
};

/**
 * struct rp_node_options - options of a replica
 * @store: taken over, also on failure
 * @snapshot_entries: entries between two snapshots, 0 for the default
 * @snapshot_versions: accepted versions between two snapshots at most, 0 for the
 *	default
 * @keep_entries: most entries up to a snapshot to keep when it is taken, 0 for
 *	the default
 * @chunk_bytes: size of the chunks that a snapshot is sent in, 0 for the
 *	default
 */
struct rp_node_options {
	struct rp_core_options core;
	struct rp_store *store;
	struct rp_node_owner *owner;
	size_t snapshot_entries;
	size_t snapshot_versions;
	size_t keep_entries;
	size_t chunk_bytes;
};

/**
 * struct rp_recovery_summary - what was recovered at start, to be logged
 * @entries: number of entries in the stored log
 * @cut_bytes, @damaged: see struct rp_recovered
 */
struct rp_recovery_summary {
	uint64_t snapshot_index;
	size_t entries;
	size_t cut_bytes;
	bool damaged;
};

/**
 * rp_node_new() - start a replica from its store
 * @found: filled in; may be NULL
 *
 * Return: %BA_OK, %RP_LOG_DAMAGED when the store is damaged and there is no
 * other replica to catch up from, %BA_FOLDER_UNWRITABLE or %BA_DISK_FULL.
 */
int rp_node_new(const struct rp_node_options *o, ba_time now,
		struct rp_recovery_summary *found, struct rp_node **out);

/** rp_node_add_peer() - call rp_core_add_peer() */
int rp_node_add_peer(struct rp_node *n, const char *name, const char *address);

/** rp_node_free() - stop at once and free the replica; @n may be NULL */
void rp_node_free(struct rp_node *n);

/** rp_node_tick() - run the timers that are due at @now */
void rp_node_tick(struct rp_node *n, ba_time now);

/** rp_node_prepare_stop() - prepare to stop; a leader hands over leadership */
void rp_node_prepare_stop(struct rp_node *n, ba_time now);

/** rp_node_deadline() - when to call rp_node_tick() next */
ba_time rp_node_deadline(const struct rp_node *n);

/**
 * rp_node_receive() - process a packed RpMessage from replica @from
 *
 * Return: %BA_OK or %WI_FRAME_GARBAGE.
 */
int rp_node_receive(struct rp_node *n, int from, const void *data, size_t len,
		    ba_time now);

/**
 * rp_node_submit() - process a submission of an operator
 * @token: identifies the submission in the call of @outcome, which may happen
 *	before this function returns
 * @wall: wall time, recorded for operators only
 */
void rp_node_submit(struct rp_node *n, uint64_t token, const CtSubmit *submit,
		    ba_time now, ba_time wall);

/** rp_node_cancel_wait() - stop waiting for the outcome of @token */
void rp_node_cancel_wait(struct rp_node *n, uint64_t token);

/**
 * rp_node_propose() - replicate an entry of another kind
 *
 * Return: %BA_OK, or the code it was refused with, as for rp_core_step().
 */
int rp_node_propose(struct rp_node *n, int kind, const void *body, size_t len,
		    ba_time now);

/** rp_node_core() - state of the consensus, read-only */
const struct rp_core *rp_node_core(const struct rp_node *n);

/** rp_node_machine() - the state machine, read-only */
const struct rp_machine *rp_node_machine(const struct rp_node *n);

/** rp_node_set_ack_summary() - call rp_core_set_ack_summary() */
void rp_node_set_ack_summary(struct rp_node *n, uint64_t lowest_version,
			     uint32_t daemons, uint32_t live);

#ifdef __cplusplus
}
#endif
#endif
