/* Measurements of the report: convergence, control bytes and calls. */
#include <string.h>

#include "base/ba_event.h"
#include "report/rt_internal.h"

enum { VERSIONS_LISTED = 500 };

static bool accepted_on_day(const struct rt_view *v, const RtVersion *version);
static const char *version_state(const struct rt_view *v,
				 const RtVersion *version);
static json_t *version_json(const struct rt_view *v, const RtVersion *version);
static json_t *roles_json(const struct rt_view *v);
static json_t *links_json(const RtDay *day);
static json_t *service_json(const RtServiceDay *s, struct rt_hist *total);
static void add_quantiles(json_t *o, const struct rt_hist *h);

struct rt_version_counts rt_count_versions(const struct rt_view *v)
{
	const RtDays *s = v->days->state;
	struct rt_version_counts c = {0};

	for (size_t i = 0; i < s->n_versions; i++) {
		const char *state;

		if (!accepted_on_day(v, s->versions[i]))
			continue;
		state = version_state(v, s->versions[i]);
		c.accepted++;
		c.late += !strcmp(state, "late");
		c.pending += !strcmp(state, "on its way");
		c.unreachable += !strcmp(state, "out of reach");
	}
	return c;
}

bool rt_version_is_late(const struct rt_view *v, const RtVersion *version)
{
	return accepted_on_day(v, version) &&
	       !strcmp(version_state(v, version), "late");
}

/* Lists only the latest versions; the quantiles cover all of the day. */
json_t *rt_versions_json(const struct rt_view *v)
{
	const RtDays *s = v->days->state;
	struct rt_version_counts c = rt_count_versions(v);
	struct rt_hist h = {0};
	json_t *list = json_array();
	json_t *o;

	for (size_t i = s->n_versions; i > 0; i--) {
		const RtVersion *version = s->versions[i - 1];

		if (!accepted_on_day(v, version))
			continue;
		if (version->in_force_us)
			rt_hist_add(&h, (ba_time)(version->in_force_us -
						  version->accepted_us));
		if (json_array_size(list) < VERSIONS_LISTED)
			json_array_append_new(list, version_json(v, version));
	}
	o = json_pack("{sI sI sI sI sO si si}", "accepted",
		      (json_int_t)c.accepted, "late", (json_int_t)c.late,
		      "on_their_way", (json_int_t)c.pending, "limit_ms",
		      (json_int_t)(v->policy->convergence_limit / BA_MS),
		      "list", list, "accepted_event", RP_EV_ACCEPTED,
		      "in_force_event", DS_EV_IN_FORCE);
	add_quantiles(o, &h);
	json_decref(list);
	return o;
}

json_t *rt_control_json(const struct rt_view *v)
{
	uint64_t crossed =
		rt_day_counter_value(v->day, RT_CROSS_REGION_BYTES, "");
	uint64_t limit = v->policy->cross_region_bytes_per_day;
	const char *state = "not known";

	if (limit && crossed > limit)
		state = "broken";
	else if (crossed && !v->gaps->len)
		state = "held";
	return json_pack("{sI sI ss so so si}", "cross_region_bytes",
			 (json_int_t)crossed, "limit_bytes", (json_int_t)limit,
			 "state", state, "links", links_json(v->day), "roles",
			 roles_json(v), "event", RT_EV_FIGURES);
}

json_t *rt_calls_json(const struct rt_view *v)
{
	struct rt_hist total = {0};
	json_t *list = json_array();
	json_t *o;

	for (size_t i = 0; i < v->day->n_services; i++)
		json_array_append_new(
			list, service_json(v->day->services[i], &total));
	o = json_pack(
		"{sI sI sI sI sI so}", "calls",
		(json_int_t)rt_day_counter_value(v->day, RT_CALLS, ""),
		"answered",
		(json_int_t)rt_day_counter_value(v->day, RT_ANSWERED, ""),
		"not_run",
		(json_int_t)rt_day_counter_value(v->day, RT_NOT_RUN, ""),
		"may_have_run",
		(json_int_t)rt_day_counter_value(v->day, RT_MAY_HAVE_RUN, ""),
		"shed", (json_int_t)rt_day_counter_value(v->day, RT_SHED, ""),
		"services", list);
	add_quantiles(o, &total);
	return o;
}

static bool accepted_on_day(const struct rt_view *v, const RtVersion *version)
{
	uint64_t ms = version->accepted_us / 1000;

	return ms >= v->from_ms && ms < v->to_ms;
}

/*
 * For reachable daemons the limit applies to all the time since the version
 * was accepted; for the others, to that time without outages.  Only the latter
 * applies to a version that turned out to wait for unreachable daemons.
 */
static const char *version_state(const struct rt_view *v,
				 const RtVersion *version)
{
	const RtDays *s = v->days->state;
	uint64_t now_us = v->wall_ms * 1000;
	uint64_t reached_us =
		version->reached_us ? version->reached_us : now_us;
	uint64_t in_force_us =
		version->in_force_us ? version->in_force_us : now_us;
	uint64_t away_us = version->away_us;

	if (!version->in_force_us)
		away_us = rt_outage_overlap(v->days, v->day,
					    version->accepted_us, now_us);
	if (!version->waited && !(s->outage && !version->reached_us) &&
	    reached_us > version->accepted_us + version->limit_us)
		return "late";
	if (!version->in_force_us && s->outage)
		return "out of reach";
	if (in_force_us > version->accepted_us + away_us + version->limit_us)
		return "late";
	return version->in_force_us ? "in force" : "on its way";
}

static json_t *version_json(const struct rt_view *v, const RtVersion *version)
{
	json_t *o = json_pack(
		"{sI sI sI ss ss sI}", "version", (json_int_t)version->version,
		"accepted_ms", (json_int_t)(version->accepted_us / 1000),
		"limit_ms", (json_int_t)(version->limit_us / 1000),
		"limited_by", version->limited_by, "state",
		version_state(v, version), "daemons",
		(json_int_t)version->daemons);

	if (version->in_force_us)
		json_object_set_new(o, "after_ms",
				    json_real((double)(version->in_force_us -
						       version->accepted_us) /
					      1000.0));
	if (version->away_us)
		json_object_set_new(
			o, "away_ms",
			json_integer((json_int_t)(version->away_us / 1000)));
	return o;
}

static json_t *roles_json(const struct rt_view *v)
{
	static const char *const roles[] = {"daemon", "relay", "source"};
	json_t *list = json_array();

	for (size_t i = 0; i < G_N_ELEMENTS(roles); i++) {
		uint64_t sent = rt_day_counter_value(
			v->day, RT_CONTROL_BYTES_SENT, roles[i]);
		uint64_t received = rt_day_counter_value(
			v->day, RT_CONTROL_BYTES_RECEIVED, roles[i]);
		uint64_t seen_ms;
		size_t n = rt_instances_seen(v->days, roles[i], v->from_ms,
					     v->to_ms, &seen_ms);
		double each = seen_ms ? 1000.0 * (double)(sent + received) /
						(double)seen_ms
				      : 0;

		json_array_append_new(
			list, json_pack("{ss sI sI sI sf}", "role", roles[i],
					"instances", (json_int_t)n, "sent",
					(json_int_t)sent, "received",
					(json_int_t)received,
					"bytes_per_instance_s", each));
	}
	return list;
}

static json_t *links_json(const RtDay *day)
{
	json_t *list = json_array();

	for (size_t i = 0; i < day->n_counters; i++) {
		const RtCounter *c = day->counters[i];

		if (c->id == RT_CROSS_REGION_BYTES && *c->label)
			json_array_append_new(
				list, json_pack("{ss sI}", "link", c->label,
						"bytes", (json_int_t)c->value));
	}
	return list;
}

static json_t *service_json(const RtServiceDay *s, struct rt_hist *total)
{
	struct rt_hist h = {0};
	json_t *o = json_pack(
		"{ss sI sI sI sI sI}", "service", s->service, "answered",
		(json_int_t)s->answered, "not_run", (json_int_t)s->not_run,
		"may_have_run", (json_int_t)s->may_have_run, "shed",
		(json_int_t)s->shed, "retried", (json_int_t)s->retried);

	for (size_t i = 0; i < s->n_latency; i++)
		h.count[i] = s->latency[i];
	rt_hist_merge(total, &h);
	add_quantiles(o, &h);
	return o;
}

static void add_quantiles(json_t *o, const struct rt_hist *h)
{
	static const struct {
		const char *key;
		double q;
	} quantiles[] = {
		{"p50_us", 0.5},
		{"p99_us", 0.99},
		{"max_us", 1.0},
	};

	if (!rt_hist_total(h))
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++)
		json_object_set_new(o, quantiles[i].key,
				    json_integer((json_int_t)rt_hist_quantile(
					    h, quantiles[i].q)));
}
