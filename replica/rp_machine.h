/*
 * The replicated state machine: the current configuration, the outcomes of
 * submissions, the accepted versions, the departures of backend servers, and the
 * daily figures.  Only committed
 * entries change it, so all replicas reach the same state.
 *
 * Rules:
 * - A submission is accepted only when its base is the current version at the
 *   moment its entry is applied; of two with the same base, at most one is
 *   accepted.
 * - The first outcome of a submission id is final.  The outcomes of the last
 *   %RP_OUTCOMES_LIMIT submissions are kept; an older submission that is sent
 *   again is refused, as its base is not current.
 * - The version of a configuration is the index of its entry.
 * - Applying an entry reads no file, clock or setting.
 * - What was counted of the version in force is kept with each step of a
 *   roll-out, for the leaders that follow, and dropped when the roll-out ends.
 * - Roll-outs are part of the configuration that is published, not of what
 *   operators submit: a step changes the version, and a submission may be based
 *   on any version since the last one that was accepted.
 */
#ifndef RP_MACHINE_H
#define RP_MACHINE_H

#include "base/ba_clock.h"
#include "base/ba_problem.h"
#include "config/cf.h"
#include "endpoint/ep_departures.h"
#include "replica/rp_log.h"
#include "replica/rp_members.h"
#include "report/rt_day.h"
#include "wire/ct.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	RP_OUTCOMES_LIMIT = 4096,
	RP_VERSIONS_LIMIT = 4096,
	RP_PROBLEMS_LIMIT = 50, /* of a submission; others are left out */
	RP_SUBMISSION_ID_BYTES = 63,
};

/**
 * struct rp_version - one accepted version
 * @kind: CtKind of the submission
 * @accepted_at: wall time at which the leader received the submission
 * @in_force_at: wall time at which it was in force everywhere, 0 for not yet
 * @daemons: number of daemons it was in force at, at that time
 */
struct rp_version {
	uint64_t version;
	char *operator_name;
	char *submission_id;
	int kind;
	char *file_name;
	char digest[17];
	ba_time accepted_at;
	ba_time in_force_at;
	uint32_t daemons;
};

/**
 * struct rp_applied - effect of an applied entry
 * @kind: RpEntryKind of the entry
 * @code: outcome of a submission; else the result of decoding the entry
 * @submission_id: id of a submission, else NULL; borrowed from the machine
 * @published: whether the configuration has changed
 */
struct rp_applied {
	int kind;
	int code;
	const char *submission_id;
	bool published;
};

struct rp_machine;

/** rp_machine_new() - create a machine with an empty configuration */
struct rp_machine *rp_machine_new(void);

/** rp_machine_free() - free the machine; @m may be NULL */
void rp_machine_free(struct rp_machine *m);

/** rp_machine_apply() - apply @e, which must follow the last applied entry */
void rp_machine_apply(struct rp_machine *m, const struct rp_entry *e,
		      struct rp_applied *out);

/** rp_machine_applied() - index of the last applied entry */
uint64_t rp_machine_applied(const struct rp_machine *m);

/** rp_machine_current() - current configuration; borrowed */
struct cf_snapshot *rp_machine_current(const struct rp_machine *m);

/** rp_machine_days() - daily figures; borrowed */
const struct rt_days *rp_machine_days(const struct rp_machine *m);

/** rp_machine_members() - members as of the last applied entry */
const struct rp_members *rp_machine_members(const struct rp_machine *m);

/**
 * rp_machine_in_force_version() - newest version that is in force everywhere
 */
uint64_t rp_machine_in_force_version(const struct rp_machine *m);

/**
 * rp_machine_version() - accepted version, counted back from the newest
 * @i: 0 for the newest
 *
 * Return: the version, or NULL when fewer are kept.
 */
const struct rp_version *rp_machine_version(const struct rp_machine *m,
					    size_t i);

/**
 * rp_machine_outcome() - the outcome of a submission id
 *
 * Return: the outcome, which the caller frees with ct_outcome__free_unpacked(),
 * or NULL when none is kept for @id.
 */
CtOutcome *rp_machine_outcome(const struct rp_machine *m, const char *id);

/**
 * rp_machine_rollout_kept() - the calls of the version in force, of a roll-out
 * @order: of the roll-out
 *
 * As of its last step.  Return: a packed RtTallies, borrowed, or NULL.
 */
const struct ba_buf *rp_machine_rollout_kept(const struct rp_machine *m,
					     const char *service,
					     uint64_t order);

/** rp_machine_departures() - departures of backend servers; borrowed */
const struct ep_departures *rp_machine_departures(const struct rp_machine *m);

/**
 * rp_machine_prepare() - append the body of the entry for a submission
 * @index: index that the entry will have
 * @wall: wall time at which the leader received the submission
 *
 * Parses and checks the submitted file.  When the file is invalid or its base
 * is not current, the entry records the refusal.
 */
void rp_machine_prepare(const struct rp_machine *m, const CtSubmit *submit,
			uint64_t index, ba_time wall, struct ba_buf *out);

/** rp_machine_encode() - append a packed RpState */
void rp_machine_encode(const struct rp_machine *m, struct ba_buf *out);

/**
 * rp_machine_decode() - read a packed RpState that was taken at @index
 *
 * Return: %BA_OK or %CF_ENCODING_WRONG; @out is set only on success.
 */
int rp_machine_decode(const void *data, size_t len, uint64_t index,
		      struct rp_machine **out);

#ifdef __cplusplus
}
#endif
#endif
