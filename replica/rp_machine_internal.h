/*
 * Private to the state machine: its state, shared with its encoding.
 */
#ifndef RP_MACHINE_INTERNAL_H
#define RP_MACHINE_INTERNAL_H

#include <glib.h>

#include "replica/rp_machine.h"

/** struct rp_outcome - what became of a submission, packed as CtOutcome */
struct rp_outcome {
	char *id;
	struct ba_buf packed;
};

/**
 * struct rp_machine - the state
 * @outcomes: by submission id
 * @order: the same, the oldest first
 * @versions: of struct rp_version, the oldest first
 */
struct rp_machine {
	uint64_t applied;
	struct cf_snapshot *current;
	GHashTable *outcomes;
	GQueue order;
	GQueue versions;
	uint64_t in_force;
	struct rt_days *days;
	struct rp_members members;
};

/** rp_machine_remember() - record an outcome, dropping the oldest */
void rp_machine_remember(struct rp_machine *m, const char *id,
			 const void *packed, size_t len);

/** rp_machine_add_version() - take over @v, dropping the oldest */
void rp_machine_add_version(struct rp_machine *m, struct rp_version *v);

#endif
