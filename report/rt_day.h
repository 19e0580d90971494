/*
 * Figures by day, kept by every replica of the source as a state machine.
 * Only committed log entries change its state, so all replicas agree and the
 * loss of one of them loses no figures.
 */
#ifndef RT_DAY_H
#define RT_DAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/ba_buf.h"
#include "base/ba_clock.h"
#include "config/cf.h"

#ifdef __cplusplus
extern "C" {
#endif

struct rt_days;

/** rt_days_new() - create the state without any figures */
struct rt_days *rt_days_new(void);

/** rt_days_free() - free the state; NULL is allowed */
void rt_days_free(struct rt_days *d);

/**
 * rt_days_add_batch() - add the figures of a packed RtBatch
 *
 * Invalid figures are skipped, the others are added.
 *
 * Return: %BA_OK, or %CF_ENCODING_WRONG if @data or any of its figures are
 * invalid.
 */
int rt_days_add_batch(struct rt_days *d, const void *data, size_t len);

/** rt_days_add_version() - record that version @s was accepted at @wall */
void rt_days_add_version(struct rt_days *d, const struct cf_snapshot *s,
			 ba_time wall);

/**
 * rt_days_set_in_force() - record what is in force on all reachable daemons
 * @version: lowest version in force on them
 * @daemons: number of reachable daemons
 * @live: number of daemons with a lease, 0 if not known
 *
 * A version is in force everywhere once as many daemons have it as hold a
 * lease.  While some of these are unreachable, the convergence limit is applied
 * to the others alone; for the unreachable ones that time is not counted.
 */
void rt_days_set_in_force(struct rt_days *d, uint64_t version, uint32_t daemons,
			  uint32_t live, ba_time wall);

/** rt_days_has_outage() - check if daemons with a lease are unreachable */
bool rt_days_has_outage(const struct rt_days *d);

/**
 * rt_days_json() - append the figures and verdicts of a day as JSON
 * @s: current version, for its policy
 * @day: "2026-12-04" in the time zone of the policy, or "" for today
 * @wall: current time
 *
 * Return: %BA_OK or %RT_DAY_UNKNOWN.
 */
int rt_days_json(const struct rt_days *d, const struct cf_snapshot *s,
		 const char *day, ba_time wall, struct ba_buf *out);

/** rt_days_encode() - append the whole state, for a log snapshot */
void rt_days_encode(const struct rt_days *d, struct ba_buf *out);

/**
 * rt_days_decode() - replace the state by an encoded one
 *
 * Return: %BA_OK or %CF_ENCODING_WRONG, which leaves the state unchanged.
 */
int rt_days_decode(struct rt_days *d, const void *data, size_t len);

#ifdef __cplusplus
}
#endif
#endif
