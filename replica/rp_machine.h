/*
 * The state machine behind the log: the current configuration, the outcomes
 * of submissions, the versions that were accepted, and the figures of the
 * days.  It changes by committed entries only, so all replicas agree.
 *
 * Rules:
 * - A submission is accepted when its base is the current version at the
 *   moment its entry is applied; of two with equal bases one wins.
 * - The first outcome of a submission id is its outcome for good, as long
 *   as it is remembered: for the last %RP_OUTCOMES_LIMIT submissions.  An
 *   older one that is sent again is refused, as its base is not current.
 * - The version of a configuration is the index of its entry.
 * - Applying an entry reads no file, clock or setting.
 */
#ifndef RP_MACHINE_H
#define RP_MACHINE_H

#include "base/ba_clock.h"
#include "base/ba_problem.h"
#include "config/cf.h"
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
	RP_PROBLEMS_LIMIT = 50,
	RP_SUBMISSION_ID_BYTES = 63,
};

/**
 * struct rp_version - one accepted version
 * @kind: CtKind of the submission
 * @accepted: wall time at which the leader took it in
 * @in_force: wall time at which it was in force everywhere, 0 for not yet
 */
struct rp_version {
	uint64_t version;
	char *operator_name;
	char *submission_id;
	int kind;
	char *file_name;
	char digest[17];
	ba_time accepted;
	ba_time in_force;
	uint32_t daemons;
};

/**
 * struct rp_applied - what an entry did
 * @code: outcome of a submission
 * @submission_id: of a submission, else NULL; borrowed from the machine
 * @published: the configuration has changed
 */
struct rp_applied {
	int kind;
	int code;
	const char *submission_id;
	bool published;
};

struct rp_machine;

/** rp_machine_new() - nothing accepted yet */
struct rp_machine *rp_machine_new(void);

/** rp_machine_free() - NULL is allowed */
void rp_machine_free(struct rp_machine *m);

/** rp_machine_apply() - apply the entry behind the last one applied */
void rp_machine_apply(struct rp_machine *m, const struct rp_entry *e,
		      struct rp_applied *out);

/** rp_machine_applied() - index of the last entry applied */
uint64_t rp_machine_applied(const struct rp_machine *m);

/** rp_machine_current() - the configuration; borrowed */
struct cf_snapshot *rp_machine_current(const struct rp_machine *m);

/** rp_machine_days() - the figures of the days; borrowed */
const struct rt_days *rp_machine_days(const struct rp_machine *m);

/** rp_machine_members() - members as of the last entry applied */
const struct rp_members *rp_machine_members(const struct rp_machine *m);

/** rp_machine_in_force() - newest version that is in force everywhere */
uint64_t rp_machine_in_force(const struct rp_machine *m);

/** rp_machine_version() - the @i th newest version, or NULL */
const struct rp_version *rp_machine_version(const struct rp_machine *m,
					    size_t i);

/**
 * rp_machine_outcome() - the outcome of a submission id
 *
 * Return: to be freed with ct_outcome__free_unpacked(), or NULL when the id
 * is not remembered.
 */
CtOutcome *rp_machine_outcome(const struct rp_machine *m, const char *id);

/**
 * rp_machine_prepare() - the body of an entry for a submission
 * @index: the index the entry will get
 * @wall: when the leader took it in
 *
 * Reads and checks the file; when it is wrong or its base is not current,
 * the entry records the refusal.
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
