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

#include <stdint.h>

#include "base/ba_buf.h"
#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum rt_counter - numbered counters; names in the table of rt.c */
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
	RT_COUNTERS,
};

/** rt_count() - add @n to a counter of this process; from any thread */
void rt_count(enum rt_counter id, uint64_t n);

/** rt_counter_value() - the value of a counter of this process */
uint64_t rt_counter_value(enum rt_counter id);

/** rt_counter_name() - name in the text exposition format */
const char *rt_counter_name(enum rt_counter id);

enum { RT_HIST_BUCKETS = 512 };

/**
 * struct rt_hist - a log-linear histogram of microseconds, 16 buckets for
 * each power of two, so that a quantile is off by 1 part in 16 at most
 */
struct rt_hist {
	uint64_t count[RT_HIST_BUCKETS];
};

/** rt_hist_add() - count one value; from any thread */
void rt_hist_add(struct rt_hist *h, ba_time us);

/** rt_hist_merge() - add the counts of @from */
void rt_hist_merge(struct rt_hist *h, const struct rt_hist *from);

/** rt_hist_quantile() - upper end of the bucket that holds quantile @q */
ba_time rt_hist_quantile(const struct rt_hist *h, double q);

/** rt_expose() - append all counters in the text exposition format */
void rt_expose(struct ba_buf *out);

#ifdef __cplusplus
}
#endif
#endif
