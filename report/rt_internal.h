/*
 * Internals of report/.  The state of struct rt_days is held in an RtDays
 * message, so that its part of a log snapshot is that message packed.
 */
#ifndef RT_INTERNAL_H
#define RT_INTERNAL_H

#include <glib.h>
#include <jansson.h>

#include "report/rt.h"
#include "report/rt_day.h"
#include "wire/rt.pb-c.h"

enum {
	RT_DAYS_KEPT = 7,
	RT_INSTANCES_LIMIT = 65536,
	RT_LIVES_LIMIT = 8,	     /* incarnations of an instance */
	RT_VERSIONS_LIMIT = 131072,  /* of all days */
	RT_DAY_COUNTERS_LIMIT = 512, /* see rt_day_counter_add() */
	RT_GAPS_LIMIT = 256,	     /* of a day */
	RT_BREACHES_LIMIT = 64,	     /* of a day */
	RT_OUTAGES_LIMIT = 64,	     /* of a day */
	RT_DAY_KEY_BYTES = 11,	     /* "2026-12-04" */
	RT_SEQUENCE_WINDOW = 64,     /* sequences accepted out of order */
};

/**
 * RT_INTERVALS_MISSED - number of intervals without figures after which an
 * instance is unseen
 */
#define RT_INTERVALS_MISSED 3

/** RT_SILENCE_MS - time without figures after which an instance is unseen */
#define RT_SILENCE_MS \
	((uint64_t)(RT_INTERVALS_MISSED * RT_FIGURES_INTERVAL / BA_MS))

/**
 * RT_INSTANCE_STALE_MS - time before a day; an instance last seen earlier than
 * that is not listed as unseen on the day
 */
#define RT_INSTANCE_STALE_MS 600000ULL

/** struct rt_days - see rt_day.h; @tz is the time zone named @state->zone */
struct rt_days {
	RtDays *state;
	GTimeZone *tz;
};

/** rt_time_zone_set() - set the time zone of the days; "" is UTC */
void rt_time_zone_set(struct rt_days *d, const char *zone);

/** rt_day_key() - format the day of a time, such as "2026-12-04" */
void rt_day_key(const struct rt_days *d, uint64_t wall_ms,
		char key[RT_DAY_KEY_BYTES]);

/** rt_day_bounds() - get start and end of a day; false for an invalid @key */
bool rt_day_bounds(const struct rt_days *d, const char *key, uint64_t *from_ms,
		   uint64_t *to_ms);

/** rt_day_get() - get the day of @wall_ms; create it if missing */
RtDay *rt_day_get(struct rt_days *d, uint64_t wall_ms);

/** rt_day_find() - find a day; NULL if missing */
RtDay *rt_day_find(const struct rt_days *d, const char *key);

/** rt_day_counter_add() - add to a counter of a day */
void rt_day_counter_add(RtDay *day, uint32_t id, const char *label, uint64_t n);

/** rt_day_counter_value() - get the value of a counter of a day */
uint64_t rt_day_counter_value(const RtDay *day, enum rt_counter id,
			      const char *label);

/** rt_day_service() - get a service of a day; create it if missing */
RtServiceDay *rt_day_service(RtDay *day, const char *name);

/** rt_day_hour() - get an hour of a day; create it if missing */
RtHour *rt_day_hour(RtDay *day, uint64_t wall_ms);

/** rt_day_gap_add() - record a time in which an instance was not seen */
void rt_day_gap_add(RtDay *day, const RtGap *gap);

/** rt_day_breach_add() - record which instance counted a breach, and when */
void rt_day_breach_add(RtDay *day, const RtBreach *breach);

/**
 * rt_outage_update() - record that daemons with a lease are unreachable
 * @missing: number of these daemons at @wall
 * @since_us: time from which additional ones may have been unreachable, 0 if
 * not known
 *
 * Begins an outage if there is none.
 *
 * Return: whether more daemons are missing than before in this outage.
 */
bool rt_outage_update(struct rt_days *d, uint32_t missing, uint64_t since_us,
		      ba_time wall);

/** rt_outage_end() - end the ongoing outage at @wall and store it in @day */
void rt_outage_end(struct rt_days *d, RtDay *day, ba_time wall);

/** rt_outage_overlap() - get how many us of a time span outages cover */
uint64_t rt_outage_overlap(const struct rt_days *d, const RtDay *day,
			   uint64_t from_us, uint64_t to_us);

/**
 * rt_instance_get() - get an instance; create it if missing
 *
 * Return: NULL if there are %RT_INSTANCES_LIMIT already.
 */
RtInstance *rt_instance_get(struct rt_days *d, const char *name);

/**
 * rt_instance_accept_figures() - record that figures were received
 *
 * Return: false for figures that were received before or are too old to tell.
 */
bool rt_instance_accept_figures(struct rt_days *d, RtInstance *in,
				const RtFigures *f);

/** rt_instances_prune() - remove instances last seen before a time */
void rt_instances_prune(struct rt_days *d, uint64_t before_ms);

/**
 * rt_instances_seen() - count instances of a role seen in [@from_ms, @to_ms]
 * @seen_ms: set to the sum of the times they were seen; may be NULL
 */
size_t rt_instances_seen(const struct rt_days *d, const char *role,
			 uint64_t from_ms, uint64_t to_ms, uint64_t *seen_ms);

/**
 * rt_gaps() - list when in [@from_ms, @to_ms) instances were not seen
 * @wall_ms: end of the gaps that are still open
 *
 * Return: an array of RtGap, whose strings belong to @d and @day.
 */
GArray *rt_gaps(const struct rt_days *d, const RtDay *day, uint64_t from_ms,
		uint64_t to_ms, uint64_t wall_ms);

/** rt_is_breach() - check if a counter counts breaches of a promise */
bool rt_is_breach(uint32_t id);

/**
 * struct rt_view - input of the report of one day
 * @day: never NULL; empty for a day without figures
 * @from_ms: start of the day
 * @to_ms: end of the day
 * @wall_ms: time of the report, at most @to_ms
 * @gaps: array of RtGap
 */
struct rt_view {
	const struct rt_days *days;
	const RtDay *day;
	const struct cf_policy *policy;
	uint64_t from_ms;
	uint64_t to_ms;
	uint64_t wall_ms;
	GArray *gaps;
};

/** rt_promises_json() - build the verdict of each promise */
json_t *rt_promises_json(const struct rt_view *v);

/** rt_versions_json() - build convergence of versions accepted on the day */
json_t *rt_versions_json(const struct rt_view *v);

/** rt_control_json() - build control bytes by role and link, and the limit */
json_t *rt_control_json(const struct rt_view *v);

/** rt_outages_json() - build the outages of a day and the ongoing one */
json_t *rt_outages_json(const struct rt_view *v);

/** rt_calls_json() - build calls by service and outcome */
json_t *rt_calls_json(const struct rt_view *v);

/**
 * struct rt_version_counts - numbers of versions accepted on a day
 * @late: came into force after their limit, or are past it and not in force
 * @pending: not yet in force and within their limit
 * @unreachable: not yet in force on daemons that cannot be reached
 */
struct rt_version_counts {
	size_t accepted;
	size_t late;
	size_t pending;
	size_t unreachable;
};

/** rt_version_is_late() - check if accepted on the day and over its limit */
bool rt_version_is_late(const struct rt_view *v, const RtVersion *version);

/** rt_count_versions() - count the versions accepted on a day */
struct rt_version_counts rt_count_versions(const struct rt_view *v);

#endif
