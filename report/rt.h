/*
 * Counters and histograms of a process.  The figures of a process are what it
 * counted in an interval; the source adds them up for the daily report.
 *
 * Rules:
 * - A counter never decreases; each process counts only what it observed.
 * - Histograms of two processes merge without loss.
 * - Figures are counted once for each (instance, incarnation, sequence).
 * - A promise that no process reported on is "not known since" a time, never
 *   "held".
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
 * enum rt_counter - numbers of the counters; their names are in rt.c
 *
 * The numbers are stored in the logs of sources: append, never reorder.
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
	RT_BACKEND_CRASHES,
	RT_REQUESTS_CONVICTED,
	RT_CONVICTED_REFUSED,
	RT_BACKEND_LIMITS,
	RT_BACKEND_DEPARTURES,
	RT_RATE_REFUSED,
	RT_UPSTREAMS_SILENT,
	RT_UPSTREAMS_PASSED_OVER,
	RT_UPSTREAM_UNHEARD_MS, /* without word between two sessions, in ms */
	RT_BODIES_REFUSED,	/* requests, for want of memory */
	RT_HOLDERS_CLOSED,    /* connections that held much and moved little */
	RT_CONNS_TURNED_AWAY, /* for want of descriptors */
	RT_TEAM_KEYS_MISSING,
	RT_TEAM_KEYS_UNKNOWN,
	RT_QUOTA_REFUSED,
	RT_REFUSED_AT_ENTRY,
	RT_DEPARTURES_UNLOGGED,
	RT_COUNTERS,
};

/** enum rt_gauge - values of a process that are no part of its figures */
enum rt_gauge {
	RT_CONVICTED,	  /* requests that it refuses now */
	RT_BACKEND_LIMIT, /* 1,000 times the stated limit, 0 for none */
	RT_BEHIND,	  /* versions known to be newer than the one held */
	RT_GAUGES,
};

/** rt_set_gauge() - set a gauge of this process, from any thread */
void rt_set_gauge(enum rt_gauge id, uint64_t value);

/** rt_gauge_value() - get the value of a gauge of this process */
uint64_t rt_gauge_value(enum rt_gauge id);

/** rt_count() - add @n to a counter of this process, from any thread */
void rt_count(enum rt_counter id, uint64_t n);

/**
 * rt_count_label() - add @n to a counter and to its part named @label
 * @label: such as "andina>caribe" for bytes sent over a link
 *
 * Can be called from any thread.  There are at most %RT_PARTS_LIMIT parts in
 * a process, the last of them "other", which counts all further labels.
 */
void rt_count_label(enum rt_counter id, const char *label, uint64_t n);

/**
 * rt_part_at() - get the labelled part at index @i
 * @i: from 0; the order of the parts is unspecified
 * @label: set to the name of the part, valid while the process runs
 *
 * Return: false if there are no more than @i parts.
 */
bool rt_part_at(size_t i, enum rt_counter *id, const char **label,
		uint64_t *value);

/** rt_counter_value() - get the value of a counter of this process */
uint64_t rt_counter_value(enum rt_counter id);

/**
 * rt_counter_name() - get the name of a counter
 *
 * Return: its metric name without "caraway_" and "_total", NULL for an unknown
 * @id.
 */
const char *rt_counter_name(enum rt_counter id);

enum { RT_HIST_BUCKETS = 512, RT_PARTS_LIMIT = 64, RT_LABEL_BYTES = 128 };

/**
 * struct rt_hist - log-linear histogram of microseconds
 * @count: values in each bucket
 *
 * There are 16 buckets for each power of two, so the relative error of a
 * quantile is at most 1/16.  The last bucket ends at 2^35 us, 9.5 hours, and
 * counts all greater values too.
 */
struct rt_hist {
	uint64_t count[RT_HIST_BUCKETS];
};

/** rt_hist_bucket() - get the bucket of @us */
unsigned int rt_hist_bucket(ba_time us);

/** rt_hist_upper() - get the greatest value of a bucket, in microseconds */
ba_time rt_hist_upper(unsigned int bucket);

/** rt_hist_total() - get the number of values */
uint64_t rt_hist_total(const struct rt_hist *h);

/** rt_hist_add() - add one value, from any thread */
void rt_hist_add(struct rt_hist *h, ba_time us);

/** rt_hist_merge() - add all values of @from */
void rt_hist_merge(struct rt_hist *h, const struct rt_hist *from);

/**
 * rt_hist_quantile() - get a quantile
 * @q: from 0 to 1
 *
 * Return: the greatest value of the bucket that has it, 0 if @h is empty.
 */
ba_time rt_hist_quantile(const struct rt_hist *h, double q);

/** rt_record_latency() - record that a call was answered after @us */
void rt_record_latency(ba_time us);

/**
 * rt_expose() - append all metrics in the text exposition format
 *
 * These are the counters and the latency of calls.
 */
void rt_expose(struct ba_buf *out);

#ifdef __cplusplus
}
#endif
#endif
