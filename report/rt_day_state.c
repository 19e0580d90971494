#include <stdio.h>
#include <string.h>

#include "report/rt_internal.h"
#include "report/rt_list.h"

#define HOUR_MS 3600000ULL

struct counter_key {
	uint32_t id;
	const char *label;
};

static int compare_day(const void *key, const void *element);
static int compare_counter(const void *key, const void *element);
static int compare_service(const void *key, const void *element);
static int compare_hour(const void *key, const void *element);
static int compare_gap(const void *key, const void *element);
static int compare_breach(const void *key, const void *element);
static void drop_oldest_day(struct rt_days *d);
static GDateTime *midnight(const struct rt_days *d, const char *key);
static int compare_u64(uint64_t a, uint64_t b);

/* UTC is used for an unknown zone and on hosts without time zone data. */
void rt_time_zone_set(struct rt_days *d, const char *zone)
{
	GTimeZone *tz = NULL;

	if (zone && *zone)
		tz = g_time_zone_new_identifier(zone);
	if (!tz)
		tz = g_time_zone_new_utc();
	if (d->tz)
		g_time_zone_unref(d->tz);
	d->tz = tz;
	if (d->state->zone == zone)
		return;
	if (d->state->zone != protobuf_c_empty_string)
		g_free(d->state->zone);
	d->state->zone = g_strdup(zone ? zone : "");
}

void rt_day_key(const struct rt_days *d, uint64_t wall_ms,
		char key[RT_DAY_KEY_BYTES])
{
	GDateTime *utc = g_date_time_new_from_unix_utc(
		(gint64)(MIN(wall_ms, (uint64_t)G_MAXINT64) / 1000));
	GDateTime *t = utc ? g_date_time_to_timezone(utc, d->tz) : NULL;

	g_strlcpy(key, "1970-01-01", RT_DAY_KEY_BYTES);
	if (t && g_date_time_get_year(t) <= 9999)
		g_snprintf(key, RT_DAY_KEY_BYTES, "%04d-%02d-%02d",
			   g_date_time_get_year(t) % 10000,
			   g_date_time_get_month(t) % 100,
			   g_date_time_get_day_of_month(t) % 100);
	g_clear_pointer(&t, g_date_time_unref);
	g_clear_pointer(&utc, g_date_time_unref);
}

bool rt_day_bounds(const struct rt_days *d, const char *key, uint64_t *from_ms,
		   uint64_t *to_ms)
{
	GDateTime *from = midnight(d, key);
	GDateTime *to;

	if (!from)
		return false;
	to = g_date_time_add_days(from, 1);
	*from_ms = (uint64_t)g_date_time_to_unix(from) * 1000;
	*to_ms = (uint64_t)g_date_time_to_unix(to) * 1000;
	g_date_time_unref(from);
	g_date_time_unref(to);
	return true;
}

RtDay *rt_day_get(struct rt_days *d, uint64_t wall_ms)
{
	RtDays *s = d->state;
	char key[RT_DAY_KEY_BYTES];
	bool found;
	size_t at;
	RtDay *day;

	rt_day_key(d, wall_ms, key);
	at = rt_list_find((void *const *)s->days, s->n_days, key, compare_day,
			  &found);
	if (found)
		return s->days[at];
	day = g_new(RtDay, 1);
	rt_day__init(day);
	day->key = g_strdup(key);
	rt_list_insert((void ***)&s->days, &s->n_days, at, day);
	if (s->n_days > RT_DAYS_KEPT && at > 0)
		drop_oldest_day(d);
	return day;
}

static void drop_oldest_day(struct rt_days *d)
{
	RtDays *s = d->state;
	RtDay *day = rt_list_remove((void **)s->days, &s->n_days, 0);
	uint64_t from_ms;
	uint64_t to_ms;

	if (rt_day_bounds(d, day->key, &from_ms, &to_ms))
		rt_instances_prune(d, to_ms);
	rt_day__free_unpacked(day, NULL);
}

RtDay *rt_day_find(const struct rt_days *d, const char *key)
{
	bool found;
	size_t at = rt_list_find((void *const *)d->state->days,
				 d->state->n_days, key, compare_day, &found);

	return found ? d->state->days[at] : NULL;
}

/*
 * Once a day has RT_DAY_COUNTERS_LIMIT counters, new labels are counted under
 * the label "other".  The counters labelled "other" and the totals may still be
 * added, up to twice the limit.
 */
void rt_day_counter_add(RtDay *day, uint32_t id, const char *label, uint64_t n)
{
	struct counter_key key = {id, label};
	bool found;
	size_t at = rt_list_find((void *const *)day->counters, day->n_counters,
				 &key, compare_counter, &found);
	RtCounter *c;

	if (!found && *label && day->n_counters >= RT_DAY_COUNTERS_LIMIT &&
	    strcmp(label, "other")) {
		rt_day_counter_add(day, id, "other", n);
		return;
	}
	if (!found && day->n_counters >= 2 * RT_DAY_COUNTERS_LIMIT)
		return;
	if (!found) {
		c = g_new(RtCounter, 1);
		rt_counter__init(c);
		c->id = id;
		c->label = g_strdup(label);
		rt_list_insert((void ***)&day->counters, &day->n_counters, at,
			       c);
	}
	day->counters[at]->value += n;
}

uint64_t rt_day_counter_value(const RtDay *day, enum rt_counter id,
			      const char *label)
{
	struct counter_key key = {(uint32_t)id, label};
	bool found;
	size_t at = rt_list_find((void *const *)day->counters, day->n_counters,
				 &key, compare_counter, &found);

	return found ? day->counters[at]->value : 0;
}

RtServiceDay *rt_day_service(RtDay *day, const char *name)
{
	bool found;
	size_t at = rt_list_find((void *const *)day->services, day->n_services,
				 name, compare_service, &found);
	RtServiceDay *s;

	if (found)
		return day->services[at];
	s = g_new(RtServiceDay, 1);
	rt_service_day__init(s);
	s->service = g_strdup(name);
	s->n_latency = RT_HIST_BUCKETS;
	s->latency = g_new0(uint64_t, RT_HIST_BUCKETS);
	rt_list_insert((void ***)&day->services, &day->n_services, at, s);
	return s;
}

RtHour *rt_day_hour(RtDay *day, uint64_t wall_ms)
{
	uint64_t hour = wall_ms / HOUR_MS;
	bool found;
	size_t at = rt_list_find((void *const *)day->hours, day->n_hours, &hour,
				 compare_hour, &found);
	RtHour *h;

	if (found)
		return day->hours[at];
	h = g_new(RtHour, 1);
	rt_hour__init(h);
	h->hour = hour;
	rt_list_insert((void ***)&day->hours, &day->n_hours, at, h);
	return h;
}

/* Keeps the earliest gaps, in whatever order they are added. */
void rt_day_gap_add(RtDay *day, const RtGap *gap)
{
	bool found;
	size_t at = rt_list_find((void *const *)day->gaps, day->n_gaps, gap,
				 compare_gap, &found);
	RtGap *g;

	if (found)
		return;
	g = g_new(RtGap, 1);
	*g = *gap;
	g->instance = g_strdup(gap->instance);
	g->role = g_strdup(gap->role);
	rt_list_insert((void ***)&day->gaps, &day->n_gaps, at, g);
	if (day->n_gaps <= RT_GAPS_LIMIT)
		return;
	day->gaps_left_out++;
	rt_gap__free_unpacked(
		rt_list_remove((void **)day->gaps, &day->n_gaps, RT_GAPS_LIMIT),
		NULL);
}

void rt_day_breach_add(RtDay *day, const RtBreach *breach)
{
	bool found;
	size_t at = rt_list_find((void *const *)day->breaches, day->n_breaches,
				 breach, compare_breach, &found);
	RtBreach *b;

	if (found) {
		day->breaches[at]->value += breach->value;
		return;
	}
	b = g_new(RtBreach, 1);
	*b = *breach;
	b->instance = g_strdup(breach->instance);
	rt_list_insert((void ***)&day->breaches, &day->n_breaches, at, b);
	if (day->n_breaches <= RT_BREACHES_LIMIT)
		return;
	day->breaches_left_out++;
	rt_breach__free_unpacked(rt_list_remove((void **)day->breaches,
						&day->n_breaches,
						RT_BREACHES_LIMIT),
				 NULL);
}

static GDateTime *midnight(const struct rt_days *d, const char *key)
{
	int year;
	int month;
	int day;
	int end = 0;

	/* NOLINTNEXTLINE(cert-err34-c): g_date_time_new checks the ranges */
	if (sscanf(key, "%4d-%2d-%2d%n", &year, &month, &day, &end) != 3 ||
	    key[end])
		return NULL;
	return g_date_time_new(d->tz, year, month, day, 0, 0, 0);
}

static int compare_day(const void *key, const void *element)
{
	return strcmp(key, ((const RtDay *)element)->key);
}

static int compare_counter(const void *key, const void *element)
{
	const struct counter_key *k = key;
	const RtCounter *c = element;

	return k->id == c->id ? strcmp(k->label, c->label)
			      : compare_u64(k->id, c->id);
}

static int compare_service(const void *key, const void *element)
{
	return strcmp(key, ((const RtServiceDay *)element)->service);
}

static int compare_hour(const void *key, const void *element)
{
	return compare_u64(*(const uint64_t *)key,
			   ((const RtHour *)element)->hour);
}

static int compare_gap(const void *key, const void *element)
{
	const RtGap *a = key;
	const RtGap *b = element;
	int ret = compare_u64(a->from_wall_ms, b->from_wall_ms);

	if (!ret)
		ret = compare_u64(a->to_wall_ms, b->to_wall_ms);
	return ret ? ret : strcmp(a->instance, b->instance);
}

static int compare_breach(const void *key, const void *element)
{
	const RtBreach *a = key;
	const RtBreach *b = element;
	int ret = compare_u64(a->from_wall_ms, b->from_wall_ms);

	if (!ret)
		ret = strcmp(a->instance, b->instance);
	return ret ? ret : compare_u64(a->id, b->id);
}

static int compare_u64(uint64_t a, uint64_t b)
{
	return a < b ? -1 : a > b;
}
