/*
 * Counters, histograms and the figures of the day.
 *
 * Rules:
 * - A counter only grows; each process counts what it saw itself.
 * - Histograms of two processes merge without loss.
 * - Figures are taken in once for each (instance, incarnation, sequence).
 * - What no process reported is "not known since", never good.
 */
#ifndef RT_H
#define RT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/ba_buf.h"
#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum rt_counter - numbered counters; names in the table of rt.c
 *
 * The numbers stand in logs of sources: append, never reorder.
 */
enum rt_counter {
	RT_CALLS,
	RT_ANSWERED,
	RT_NOT_RUN,
	RT_MAY_HAVE_RUN,
	RT_SHED,
	RT_RETRIED,
	RT_KEYS_REFUSED,
	RT_DOUBLE_PREVENTED,
	RT_ANSWERS_BROKEN,
	RT_CUT_BY_STOP,
	RT_WORK_WHILE_DRAINING,
	RT_VERSIONS_APPLIED,
	RT_VERSIONS_REFUSED,
	RT_OLDER_REFUSED,
	RT_ROUTES_DANGLING,
	RT_CONTROL_BYTES_SENT,
	RT_CONTROL_BYTES_RECEIVED,
	RT_CROSS_REGION_BYTES,
	RT_SESSIONS_LOST,
	RT_LEASES_EXPIRED,
	RT_DRAINS,
	RT_PARTITIONS,
	RT_VERSIONS_AUDITED,
	RT_ROUTES_CHECKED,
	RT_OLDER_APPLIED,
	RT_PARTIAL_APPLIED,
	RT_ANSWERS_CHECKED,
	RT_ANSWERS_WRONG,
	RT_NOT_RUN_CHECKED,
	RT_FALSE_NOT_RUN,
	RT_KEYED_CALLS,
	RT_KEYED_CHECKED,
	RT_DOUBLE_RUNS,
	RT_DRAINS_CHECKED,
	RT_STOPS_BEGUN,
	RT_STOPS_ENDED,
	RT_PARTITIONS_HEALED,
	RT_SESSIONS_REOPENED,
	RT_COUNTERS,
};

/** rt_count() - add @n to a counter of this process; from any thread */
void rt_count(enum rt_counter id, uint64_t n);

/**
 * rt_count_label() - add @n to a counter and to its part named @label, such
 * as "andina>caribe" for bytes over a link; from any thread
 *
 * At most %RT_LABELS parts are kept; further ones go to the part "other".
 */
void rt_count_label(enum rt_counter id, const char *label, uint64_t n);

/**
 * rt_label_at() - walk the labelled parts, in no particular order
 * @i: from 0 on
 * @label: the name of the part, valid while the process runs
 *
 * Return: whether there is a part number @i.
 */
bool rt_label_at(size_t i, enum rt_counter *id, const char **label,
		 uint64_t *value);

/** rt_counter_value() - the value of a counter of this process */
uint64_t rt_counter_value(enum rt_counter id);

/** rt_counter_name() - name in the text exposition format */
const char *rt_counter_name(enum rt_counter id);

enum { RT_HIST_BUCKETS = 512, RT_LABELS = 64, RT_LABEL_BYTES = 128 };

/**
 * struct rt_hist - a log-linear histogram of microseconds, 16 buckets for
 * each power of two, so that a quantile is off by 1 part in 16 at most
 */
struct rt_hist {
	uint64_t count[RT_HIST_BUCKETS];
};

/** rt_hist_bucket() - the bucket that @us falls into */
unsigned int rt_hist_bucket(ba_time us);

/** rt_hist_upper() - the greatest value of a bucket, in microseconds */
ba_time rt_hist_upper(unsigned int bucket);

/** rt_hist_total() - how many values were counted */
uint64_t rt_hist_total(const struct rt_hist *h);

/** rt_hist_add() - count one value; from any thread */
void rt_hist_add(struct rt_hist *h, ba_time us);

/** rt_hist_merge() - add the counts of @from */
void rt_hist_merge(struct rt_hist *h, const struct rt_hist *from);

/** rt_hist_quantile() - upper end of the bucket of quantile @q; 0 if empty */
ba_time rt_hist_quantile(const struct rt_hist *h, double q);

/** rt_latency() - a call was answered after @us microseconds */
void rt_latency(ba_time us);

/** rt_expose() - append all counters and the latency of calls in the text exposition format */
void rt_expose(struct ba_buf *out);

#ifdef __cplusplus
}
#endif
#endif
