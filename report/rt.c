#include <pthread.h>
#include <string.h>

#include "base/ba_atomic.h"
#include "report/rt.h"

enum {
	SUB_BITS = 4, /* 16 buckets for each power of two */
	SUB_BUCKETS = 1 << SUB_BITS,
	NAME_BYTES = 64,
};

/* A labelled part of a counter.  It is never removed: @label stays valid. */
struct part {
	enum rt_counter id;
	char label[RT_LABEL_BYTES];
	uint64_t value;
};

static const char *const counter_names[] = {
	[RT_CALLS] = "calls",
	[RT_ANSWERED] = "calls_answered",
	[RT_NOT_RUN] = "calls_not_run",
	[RT_MAY_HAVE_RUN] = "calls_may_have_run",
	[RT_SHED] = "calls_shed",
	[RT_RETRIED] = "calls_retried",
	[RT_KEYS_REFUSED] = "keys_refused",
	[RT_DOUBLE_PREVENTED] = "double_runs_prevented",
	[RT_ANSWERS_BROKEN] = "answers_broken",
	[RT_CUT_BY_STOP] = "calls_cut_by_stop",
	[RT_WORK_WHILE_DRAINING] = "work_while_draining",
	[RT_VERSIONS_APPLIED] = "versions_applied",
	[RT_VERSIONS_REFUSED] = "versions_refused",
	[RT_OLDER_REFUSED] = "older_versions_refused",
	[RT_ROUTES_DANGLING] = "routes_dangling",
	[RT_CONTROL_BYTES_SENT] = "control_bytes_sent",
	[RT_CONTROL_BYTES_RECEIVED] = "control_bytes_received",
	[RT_CROSS_REGION_BYTES] = "cross_region_bytes",
	[RT_SESSIONS_LOST] = "sessions_lost",
	[RT_LEASES_EXPIRED] = "leases_expired",
	[RT_DRAINS] = "drains",
	[RT_PARTITIONS] = "partitions",
	[RT_VERSIONS_AUDITED] = "versions_audited",
	[RT_ROUTES_CHECKED] = "routes_checked",
	[RT_OLDER_APPLIED] = "older_versions_applied",
	[RT_PARTIAL_APPLIED] = "partial_versions_applied",
	[RT_ANSWERS_CHECKED] = "answers_checked",
	[RT_ANSWERS_WRONG] = "answers_wrong",
	[RT_NOT_RUN_CHECKED] = "not_run_checked",
	[RT_FALSE_NOT_RUN] = "not_run_false",
	[RT_KEYED_CALLS] = "keyed_calls",
	[RT_KEYED_CHECKED] = "keyed_calls_checked",
	[RT_DOUBLE_RUNS] = "double_runs",
	[RT_DRAINS_CHECKED] = "drains_checked",
	[RT_STOPS_BEGUN] = "stops_begun",
	[RT_STOPS_ENDED] = "stops_ended",
	[RT_PARTITIONS_HEALED] = "partitions_healed",
	[RT_SESSIONS_REOPENED] = "sessions_reopened",
	[RT_BACKEND_CRASHES] = "backend_crashes",
	[RT_REQUESTS_CONVICTED] = "requests_convicted",
	[RT_CONVICTED_REFUSED] = "convicted_refused",
	[RT_BACKEND_LIMITS] = "backend_limits_learned",
	[RT_BACKEND_DEPARTURES] = "backend_departures_learned",
	[RT_RATE_REFUSED] = "rate_refused",
	[RT_UPSTREAMS_SILENT] = "upstreams_silent",
	[RT_UPSTREAMS_PASSED_OVER] = "upstreams_passed_over",
	[RT_UPSTREAM_UNHEARD_MS] = "upstream_unheard_ms",
	[RT_BODIES_REFUSED] = "bodies_refused",
	[RT_HOLDERS_CLOSED] = "holders_closed",
	[RT_CONNS_TURNED_AWAY] = "conns_turned_away",
	[RT_TEAM_KEYS_MISSING] = "team_keys_missing",
	[RT_TEAM_KEYS_UNKNOWN] = "team_keys_unknown",
	[RT_QUOTA_REFUSED] = "quota_refused",
	[RT_REFUSED_AT_ENTRY] = "refused_at_entry",
	[RT_DEPARTURES_UNLOGGED] = "departures_unlogged",
};

static const char *const gauge_names[] = {
	[RT_CONVICTED] = "convicted_requests",
	[RT_BACKEND_LIMIT] = "backend_limit_per_1000_s",
	[RT_BEHIND] = "versions_behind",
};

static uint64_t counters[RT_COUNTERS];
static uint64_t gauges[RT_GAUGES];

static pthread_mutex_t parts_lock = PTHREAD_MUTEX_INITIALIZER;
static struct part parts[RT_PARTS_LIMIT];
static size_t n_parts;

static struct part *get_part(enum rt_counter id, const char *label);
static void expose_parts(struct ba_buf *out, enum rt_counter id);
static void expose_latency(struct ba_buf *out);

static struct rt_hist latency;

void rt_count(enum rt_counter id, uint64_t n)
{
	ba_add_64(&counters[id], n);
}

void rt_count_label(enum rt_counter id, const char *label, uint64_t n)
{
	rt_count(id, n);
	pthread_mutex_lock(&parts_lock);
	get_part(id, label)->value += n;
	pthread_mutex_unlock(&parts_lock);
}

bool rt_part_at(size_t i, enum rt_counter *id, const char **label,
		uint64_t *value)
{
	bool found;

	pthread_mutex_lock(&parts_lock);
	found = i < n_parts;
	if (found) {
		*id = parts[i].id;
		*label = parts[i].label;
		*value = parts[i].value;
	}
	pthread_mutex_unlock(&parts_lock);
	return found;
}

uint64_t rt_counter_value(enum rt_counter id)
{
	return ba_load_64(&counters[id]);
}

void rt_set_gauge(enum rt_gauge id, uint64_t value)
{
	ba_store_64(&gauges[id], value);
}

uint64_t rt_gauge_value(enum rt_gauge id)
{
	return ba_load_64(&gauges[id]);
}

const char *rt_counter_name(enum rt_counter id)
{
	return (unsigned int)id < RT_COUNTERS ? counter_names[id] : NULL;
}

unsigned int rt_hist_bucket(ba_time us)
{
	uint64_t v = us > 0 ? (uint64_t)us : 0;
	unsigned int shift;
	unsigned int bucket;

	if (v < SUB_BUCKETS)
		return (unsigned int)v;
	shift = 63 - (unsigned int)__builtin_clzll(v) - SUB_BITS;
	bucket = (shift + 1) * SUB_BUCKETS +
		 (unsigned int)(v >> shift) % SUB_BUCKETS;
	return bucket < RT_HIST_BUCKETS ? bucket : RT_HIST_BUCKETS - 1;
}

ba_time rt_hist_upper(unsigned int bucket)
{
	unsigned int shift;

	if (bucket < SUB_BUCKETS)
		return bucket;
	shift = bucket / SUB_BUCKETS - 1;
	return ((ba_time)(SUB_BUCKETS + bucket % SUB_BUCKETS + 1) << shift) - 1;
}

uint64_t rt_hist_total(const struct rt_hist *h)
{
	uint64_t total = 0;

	for (size_t i = 0; i < RT_HIST_BUCKETS; i++)
		total += ba_load_64(&h->count[i]);
	return total;
}

void rt_hist_add(struct rt_hist *h, ba_time us)
{
	ba_add_64(&h->count[rt_hist_bucket(us)], 1);
}

void rt_hist_merge(struct rt_hist *h, const struct rt_hist *from)
{
	for (size_t i = 0; i < RT_HIST_BUCKETS; i++)
		ba_add_64(&h->count[i], ba_load_64(&from->count[i]));
}

ba_time rt_hist_quantile(const struct rt_hist *h, double q)
{
	uint64_t total = rt_hist_total(h);
	uint64_t rank = (uint64_t)(q * (double)total);
	uint64_t seen = 0;

	if (!total)
		return 0;
	if (rank >= total)
		rank = total - 1;
	for (unsigned int i = 0; i < RT_HIST_BUCKETS; i++) {
		seen += ba_load_64(&h->count[i]);
		if (seen > rank)
			return rt_hist_upper(i);
	}
	return rt_hist_upper(RT_HIST_BUCKETS - 1);
}

void rt_record_latency(ba_time us)
{
	rt_hist_add(&latency, us);
}

void rt_expose(struct ba_buf *out)
{
	for (unsigned int i = 0; i < RT_COUNTERS; i++) {
		ba_buf_addf(out, "# TYPE caraway_%s_total counter\n",
			    counter_names[i]);
		ba_buf_addf(out, "caraway_%s_total %llu\n", counter_names[i],
			    (unsigned long long)rt_counter_value(i));
		expose_parts(out, i);
	}
	for (unsigned int i = 0; i < RT_GAUGES; i++)
		ba_buf_addf(out, "# TYPE caraway_%s gauge\ncaraway_%s %llu\n",
			    gauge_names[i], gauge_names[i],
			    (unsigned long long)rt_gauge_value(i));
	expose_latency(out);
}

static void expose_latency(struct ba_buf *out)
{
	static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};

	ba_buf_addf(out, "# TYPE caraway_call_microseconds summary\n");
	for (size_t i = 0; i < sizeof(quantiles) / sizeof(*quantiles); i++)
		ba_buf_addf(
			out,
			"caraway_call_microseconds{quantile=\"%g\"} %lld\n",
			quantiles[i],
			(long long)rt_hist_quantile(&latency, quantiles[i]));
	ba_buf_addf(out, "caraway_call_microseconds_count %llu\n",
		    (unsigned long long)rt_hist_total(&latency));
}

/*
 * Finds or adds a part; the last one counts all labels that no longer fit.
 * Called with the lock held.
 */
static struct part *get_part(enum rt_counter id, const char *label)
{
	struct part *p;

	for (size_t i = 0; i < n_parts; i++)
		if (parts[i].id == id && !strcmp(parts[i].label, label))
			return &parts[i];
	if (n_parts == RT_PARTS_LIMIT)
		return &parts[RT_PARTS_LIMIT - 1];
	p = &parts[n_parts++];
	p->id = id;
	if (n_parts == RT_PARTS_LIMIT)
		label = "other";
	strncpy(p->label, label, RT_LABEL_BYTES - 1);
	return p;
}

/*
 * The parts have a metric name other than the total, so that a sum over one
 * name counts nothing twice.
 */
static void expose_parts(struct ba_buf *out, enum rt_counter id)
{
	enum rt_counter part_id;
	const char *label;
	uint64_t value;
	bool first = true;

	for (size_t i = 0; rt_part_at(i, &part_id, &label, &value); i++) {
		if (part_id != id)
			continue;
		if (first)
			ba_buf_addf(out,
				    "# TYPE caraway_%s_part_total counter\n",
				    counter_names[id]);
		first = false;
		ba_buf_addf(out, "caraway_%s_part_total{of=\"%s\"} %llu\n",
			    counter_names[id], label,
			    (unsigned long long)value);
	}
}
