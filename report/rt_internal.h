/*
 * Inside report/: the state of rt_days is kept in its own message, so that
 * a snapshot of the log is that message packed.
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
	RT_LIVES_LIMIT = 8,
	RT_VERSIONS_LIMIT = 131072,
	RT_DAY_COUNTERS_LIMIT = 512,
	RT_GAPS_LIMIT = 256,
	RT_BREACHES_LIMIT = 64,
	RT_OUTAGES_LIMIT = 64,
	RT_KEY_BYTES = 11,
	RT_WINDOW = 64, /* sequences that may come out of order */
};

/** RT_INTERVALS_MISSED - figures that may be late before it is not seen */
#define RT_INTERVALS_MISSED 3

/** RT_SILENCE_MS - an instance that sent nothing for so long is not seen */
#define RT_SILENCE_MS \
	((uint64_t)(RT_INTERVALS_MISSED * RT_FIGURES_INTERVAL / BA_MS))

/** RT_FORGET_MS - an instance that ended so long before a day is not of it */
#define RT_FORGET_MS 600000ULL

/** struct rt_days - see rt_day.h; @tz belongs to @state->zone */
struct rt_days {
	RtDays *state;
	GTimeZone *tz;
};

/** rt_zone_set() - count days in @zone from now on; "" is UTC */
void rt_zone_set(struct rt_days *d, const char *zone);

/** rt_day_key() - the day of a time, such as "2026-12-04" */
void rt_day_key(const struct rt_days *d, uint64_t wall_ms,
		char key[RT_KEY_BYTES]);

/** rt_day_bounds() - when a day begins and ends; false for a wrong @key */
bool rt_day_bounds(const struct rt_days *d, const char *key, uint64_t *from_ms,
		   uint64_t *to_ms);

/** rt_day_get() - the day of @wall_ms, made when there is none */
RtDay *rt_day_get(struct rt_days *d, uint64_t wall_ms);

/** rt_day_find() - the day, or NULL */
RtDay *rt_day_find(const struct rt_days *d, const char *key);

/** rt_day_count() - add to a counter of a day */
void rt_day_count(RtDay *day, uint32_t id, const char *label, uint64_t n);

/** rt_day_value() - a counter of a day */
uint64_t rt_day_value(const RtDay *day, enum rt_counter id, const char *label);

/** rt_day_service() - a service of a day, made when there is none */
RtServiceDay *rt_day_service(RtDay *day, const char *name);

/** rt_day_hour() - an hour of a day, made when there is none */
RtHour *rt_day_hour(RtDay *day, uint64_t wall_ms);

/** rt_day_gap() - keep that an instance was not seen */
void rt_day_gap(RtDay *day, const RtGap *gap);

/** rt_day_breach() - keep who counted a breach, and when */
void rt_day_breach(RtDay *day, const RtBreach *breach);

/**
 * rt_outage_goes_on() - daemons with a lease are out of reach at @wall
 * @since_us: since when more of them may have been, 0 when not known
 *
 * Return: whether more of them are than before.
 */
bool rt_outage_goes_on(struct rt_days *d, uint32_t missing, uint64_t since_us,
		       ba_time wall);

/** rt_outage_ends() - all daemons with a lease are in reach; kept in @day */
void rt_outage_ends(struct rt_days *d, RtDay *day, ba_time wall);

/** rt_outage_time() - how long outages lasted between two times, in us */
uint64_t rt_outage_time(const struct rt_days *d, const RtDay *day,
			uint64_t from_us, uint64_t to_us);

/** rt_instance_get() - an instance, made when there is none; NULL if full */
RtInstance *rt_instance_get(struct rt_days *d, const char *name);

/** rt_instance_take() - whether these figures are taken in for the first time */
bool rt_instance_take(struct rt_days *d, RtInstance *in, const RtFigures *f);

/** rt_instances_forget() - drop those last seen before a time */
void rt_instances_forget(struct rt_days *d, uint64_t before_ms);

/**
 * rt_instances_seen() - how many of a role were seen in a time
 * @seen_ms: set to the time of all of them together; may be NULL
 */
size_t rt_instances_seen(const struct rt_days *d, const char *role,
			 uint64_t from_ms, uint64_t to_ms, uint64_t *seen_ms);

/** rt_gaps() - when in [@from_ms, @to_ms) instances were not seen */
GArray *rt_gaps(const struct rt_days *d, const RtDay *day, uint64_t from_ms,
		uint64_t to_ms, uint64_t wall_ms);

/** rt_is_breach() - whether a counter counts breaches of a promise */
bool rt_is_breach(uint32_t id);

/**
 * struct rt_view - what a report is made of
 * @day: never NULL; empty for a day without figures
 * @gaps: of RtGap
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

/** rt_promises_json() - the verdict of each promise */
json_t *rt_promises_json(const struct rt_view *v);

/** rt_versions_json() - convergence of the versions accepted on that day */
json_t *rt_versions_json(const struct rt_view *v);

/** rt_control_json() - control bytes by role and link, against the limit */
json_t *rt_control_json(const struct rt_view *v);

/** rt_outages_json() - the outages of a day, and the one that lasts */
json_t *rt_outages_json(const struct rt_view *v);

/** rt_calls_json() - calls by service and outcome */
json_t *rt_calls_json(const struct rt_view *v);

/**
 * struct rt_convergence - versions accepted on a day
 * @late: in force after their limit, or past it and not yet in force
 * @pending: not yet in force and inside their limit
 * @apart: not yet in force on daemons that cannot be reached
 */
struct rt_convergence {
	size_t accepted;
	size_t late;
	size_t pending;
	size_t apart;
};

/** rt_version_is_late() - whether it is of the day and over its limit */
bool rt_version_is_late(const struct rt_view *v, const RtVersion *version);

/** rt_convergence() - count the versions of a day */
struct rt_convergence rt_convergence(const struct rt_view *v);

#endif
