/*
 * Private to the state machine: its state, shared with its encoder.
 */
#ifndef RP_MACHINE_INTERNAL_H
#define RP_MACHINE_INTERNAL_H

#include <glib.h>

#include "replica/rp_machine.h"

/** struct rp_outcome - outcome of a submission, packed as CtOutcome */
struct rp_outcome {
	char *id;
	struct ba_buf packed;
};

/**
 * struct rp_machine - the state
 * @applied: index of the last applied entry
 * @outcomes: struct rp_outcome by submission id
 * @outcome_queue: the same outcomes, oldest first
 * @versions: struct rp_version, oldest first
 * @in_force_version: newest version that is in force everywhere
 */
struct rp_machine {
	uint64_t applied;
	struct cf_snapshot *current;
	GHashTable *outcomes;
	GQueue outcome_queue;
	GQueue versions;
	uint64_t in_force_version;
	struct rt_days *days;
	struct rp_members members;
};

/**
 * rp_machine_record_outcome() - add the outcome of submission @id
 *
 * Drops the oldest outcome when there are %RP_OUTCOMES_LIMIT.
 */
void rp_machine_record_outcome(struct rp_machine *m, const char *id,
			       const void *packed, size_t len);

/**
 * rp_machine_add_version() - add a version; takes over @v
 *
 * Drops the oldest version when there are %RP_VERSIONS_LIMIT.
 */
void rp_machine_add_version(struct rp_machine *m, struct rp_version *v);

#endif
