/*
 * The figures of the days, kept by every replica of the source: a state
 * machine that is driven by the committed entries of the log only, so that
 * all replicas agree and the loss of one loses nothing.
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

/** rt_days_new() - no figures yet */
struct rt_days *rt_days_new(void);

/** rt_days_free() - free them; NULL is allowed */
void rt_days_free(struct rt_days *d);

/**
 * rt_days_batch() - take in a packed RtBatch
 *
 * Return: %BA_OK or %CF_ENCODING_WRONG.
 */
int rt_days_batch(struct rt_days *d, const void *data, size_t len);

/** rt_days_accepted() - a version was accepted at @wall */
void rt_days_accepted(struct rt_days *d, const struct cf_snapshot *s,
		      ba_time wall);

/**
 * rt_days_in_force() - a version was in force on all daemons in reach
 * @daemons: that are in reach
 * @live: that have a lease, 0 when it is not known
 *
 * A version is in force everywhere once it is on as many daemons as have a
 * lease.  While some are out of reach, the others are judged alone; for the
 * rest that time does not count.
 */
void rt_days_in_force(struct rt_days *d, uint64_t version, uint32_t daemons,
		      uint32_t live, ba_time wall);

/** rt_days_apart() - whether daemons with a lease are out of reach */
bool rt_days_apart(const struct rt_days *d);

/**
 * rt_days_json() - append the figures and verdicts of a day as JSON
 * @day: "2026-12-04" in the time zone of the policy, or "" for today
 *
 * Return: %BA_OK or %RT_DAY_UNKNOWN.
 */
int rt_days_json(const struct rt_days *d, const struct cf_snapshot *s,
		 const char *day, ba_time wall, struct ba_buf *out);

/** rt_days_encode() - append the whole state, for a snapshot of the log */
void rt_days_encode(const struct rt_days *d, struct ba_buf *out);

/** rt_days_decode() - replace the state; %BA_OK or %CF_ENCODING_WRONG */
int rt_days_decode(struct rt_days *d, const void *data, size_t len);

#ifdef __cplusplus
}
#endif
#endif
