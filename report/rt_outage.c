/*
 * Outages: times in which daemons with a lease were unreachable.
 */
#include "report/rt_internal.h"

static json_t *outage_json(const RtOutage *o);

bool rt_outage_update(struct rt_days *d, uint32_t missing, uint64_t since_us,
		      ba_time wall)
{
	RtOutage *o = d->state->outage;
	bool grew;

	if (!o) {
		o = g_new(RtOutage, 1);
		rt_outage__init(o);
		o->from_us = (uint64_t)wall;
		d->state->outage = o;
	}
	grew = missing > o->missing;
	if (grew && since_us)
		o->from_us = MIN(o->from_us, since_us);
	o->missing = MAX(o->missing, missing);
	return grew;
}

void rt_outage_end(struct rt_days *d, RtDay *day, ba_time wall)
{
	RtOutage *o = d->state->outage;

	o->to_us = (uint64_t)wall;
	d->state->outage = NULL;
	if (day->n_outages >= RT_OUTAGES_LIMIT) {
		day->outages_left_out++;
		rt_outage__free_unpacked(o, NULL);
		return;
	}
	day->outages = g_renew(RtOutage *, day->outages, day->n_outages + 1);
	day->outages[day->n_outages++] = o;
}

/* Outages overlap if one turns out to have begun before the last one ended. */
uint64_t rt_outage_overlap(const struct rt_days *d, const RtDay *day,
			   uint64_t from_us, uint64_t to_us)
{
	const RtOutage *ongoing = d->state->outage;
	uint64_t counted_to = from_us;
	uint64_t sum = 0;

	for (size_t i = 0; i < day->n_outages; i++) {
		const RtOutage *o = day->outages[i];
		uint64_t begin = MAX(o->from_us, counted_to);
		uint64_t end = MIN(o->to_us, to_us);

		if (begin >= end)
			continue;
		sum += end - begin;
		counted_to = end;
	}
	if (ongoing)
		counted_to = MAX(counted_to, ongoing->from_us);
	return sum + (ongoing && counted_to < to_us ? to_us - counted_to : 0);
}

json_t *rt_outages_json(const struct rt_view *v)
{
	const RtOutage *ongoing = v->days->state->outage;
	json_t *list = json_array();

	for (size_t i = 0; i < v->day->n_outages; i++)
		json_array_append_new(list, outage_json(v->day->outages[i]));
	if (ongoing && ongoing->from_us / 1000 < v->to_ms)
		json_array_append_new(list, outage_json(ongoing));
	return list;
}

static json_t *outage_json(const RtOutage *o)
{
	return json_pack("{sI sI si}", "from_ms",
			 (json_int_t)(o->from_us / 1000), "to_ms",
			 (json_int_t)(o->to_us / 1000), "daemons",
			 (int)o->missing);
}
