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

/** struct rp_kept - RpRolloutTallies of a roll-out that runs */
struct rp_kept {
	uint64_t order;
	struct ba_buf tallies;
};

/**
 * struct rp_machine - the state
 * @applied: index of the last applied entry
 * @base: as of the last accepted submission of a configuration or policy,
 *	without roll-outs; @current if there was none
 * @outcomes: struct rp_outcome by submission id
 * @outcome_queue: the same outcomes, oldest first
 * @versions: struct rp_version, oldest first
 * @in_force_version: newest version that is in force everywhere
 * @kept: struct rp_kept by service
 */
struct rp_machine {
	uint64_t applied;
	struct cf_snapshot *current;
	struct cf_snapshot *base;
	GHashTable *outcomes;
	GQueue outcome_queue;
	GQueue versions;
	uint64_t in_force_version;
	struct rt_days *days;
	struct rp_members members;
	GHashTable *kept;
	struct ep_departures *departures;
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

/**
 * rp_rollout_order() - decide the order of a roll-out
 * @body: packed CfRollout
 * @wall: wall time at which the leader received it
 * @out: the configuration with the roll-out; unset if the order is a repetition
 *
 * Return: %BA_OK, or the code that it is refused with.
 */
int rp_rollout_order(const struct rp_machine *m, const void *body, size_t len,
		     ba_time wall, struct cf_snapshot **out);

/**
 * rp_rollout_step() - apply an RpRolloutStep
 *
 * Return: the configuration with the step, or NULL if it is void.
 */
struct cf_snapshot *rp_rollout_step(struct rp_machine *m, const void *body,
				    size_t len);

/** rp_rollout_keep() - keep what is known of the version in force */
void rp_rollout_keep(struct rp_machine *m, const char *service, uint64_t order,
		     const void *tallies, size_t len);

/** rp_kept_free() - free a struct rp_kept */
void rp_kept_free(void *data);

/**
 * rp_rollout_set_configuration() - replace @base and @current
 * @next: configuration without roll-outs; taken over
 */
void rp_rollout_set_configuration(struct rp_machine *m,
				  struct cf_snapshot *next);

#endif
