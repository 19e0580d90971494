#include <string.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "report/rt_internal.h"

enum { GAPS_LISTED = 50, HOUR_MS = 3600000 };

/* A counter of faults or of their handling, with the related event. */
struct incident {
	const char *text;
	enum rt_counter id;
	int event;
};

static const struct incident incidents[] = {
	{"drains", RT_DRAINS, EP_EV_DRAINING},
	{"planned stops begun", RT_STOPS_BEGUN, BA_EV_STOPPING},
	{"planned stops ended", RT_STOPS_ENDED, BA_EV_STOPPED},
	{"sessions lost", RT_SESSIONS_LOST, WI_EV_SESSION_CLOSED},
	{"sessions opened again", RT_SESSIONS_REOPENED, WI_EV_SESSION_OPEN},
	{"relays and sources that fell silent", RT_UPSTREAMS_SILENT,
	 DS_EV_UPSTREAM_LOST},
	{"relays and sources passed over", RT_UPSTREAMS_PASSED_OVER,
	 DS_EV_PASSED_OVER},
	{"leases of endpoints expired", RT_LEASES_EXPIRED, EP_EV_EXPIRED},
	{"partitions seen", RT_PARTITIONS, EP_EV_EXPIRY_HELD},
	{"partitions healed", RT_PARTITIONS_HEALED, DS_EV_CATCH_UP},
	{"versions refused by daemons", RT_VERSIONS_REFUSED, CF_EV_REFUSED},
	{"older versions refused", RT_OLDER_REFUSED, DS_EV_OLDER_REFUSED},
	{"calls tried again", RT_RETRIED, CL_EV_RETRIED},
	{"calls shed by the policy", RT_SHED, CL_EV_SHED},
	{"second runs prevented", RT_DOUBLE_PREVENTED, CL_EV_KEY_REFUSED},
	{"calls refused for their key", RT_KEYS_REFUSED, CL_EV_KEY_REFUSED},
	{"answers that broke off and were told so", RT_ANSWERS_BROKEN,
	 CL_EV_MAY_HAVE_RUN},
};

static json_t *build_report(const struct rt_view *v, const char *key);
static json_t *incidents_json(const RtDay *day);
static json_t *unseen_json(const struct rt_view *v);
static json_t *hours_json(const RtDay *day);
static json_t *days_json(const struct rt_days *d);
static const char *overall_verdict(json_t *promises, json_t *control);
static bool has_no_occasion(json_t *promise);

int rt_days_json(const struct rt_days *d, const struct cf_snapshot *s,
		 const char *day, ba_time wall, struct ba_buf *out)
{
	static const RtDay empty = RT_DAY__INIT;
	uint64_t wall_ms = (uint64_t)(wall / BA_MS);
	char today[RT_DAY_KEY_BYTES];
	const char *key = *day ? day : today;
	struct rt_view v = {.days = d, .policy = &s->policy};
	json_t *report;
	char *text;

	rt_day_key(d, wall_ms, today);
	v.day = rt_day_find(d, key);
	if (!v.day && strcmp(key, today))
		return RT_DAY_UNKNOWN;
	if (!v.day)
		v.day = &empty;
	if (!rt_day_bounds(d, key, &v.from_ms, &v.to_ms))
		return RT_DAY_UNKNOWN;
	v.wall_ms = MIN(wall_ms, v.to_ms);
	v.gaps = rt_gaps(d, v.day, v.from_ms, v.to_ms, wall_ms);
	report = build_report(&v, key);
	g_array_free(v.gaps, TRUE);
	text = json_dumps(report, JSON_COMPACT | JSON_REAL_PRECISION(6));
	ba_buf_add(out, text, strlen(text));
	free(text);
	json_decref(report);
	return BA_OK;
}

static json_t *build_report(const struct rt_view *v, const char *key)
{
	json_t *promises = rt_promises_json(v);
	json_t *control = rt_control_json(v);
	json_t *report =
		json_pack("{ss ss sb sI sI sI ss}", "day", key, "time_zone",
			  *v->days->state->zone ? v->days->state->zone : "UTC",
			  "complete", v->wall_ms >= v->to_ms, "from_ms",
			  (json_int_t)v->from_ms, "to_ms", (json_int_t)v->to_ms,
			  "as_of_ms", (json_int_t)v->wall_ms, "verdict",
			  overall_verdict(promises, control));

	json_object_set_new(report, "promises", promises);
	json_object_set_new(report, "versions", rt_versions_json(v));
	json_object_set_new(report, "outages", rt_outages_json(v));
	json_object_set_new(report, "control", control);
	json_object_set_new(report, "calls", rt_calls_json(v));
	json_object_set_new(report, "incidents", incidents_json(v->day));
	json_object_set_new(report, "unseen", unseen_json(v));
	json_object_set_new(report, "hours", hours_json(v->day));
	json_object_set_new(report, "days", days_json(v->days));
	return report;
}

/*
 * Returns the worst verdict: "broken", then "not known", then "held".  Promises
 * without an occasion are ignored.
 */
static const char *overall_verdict(json_t *promises, json_t *control)
{
	const char *verdict = "held";
	bool any_held = false;
	size_t i;
	json_t *p;

	json_array_foreach (promises, i, p) {
		const char *state =
			json_string_value(json_object_get(p, "state"));

		if (!strcmp(state, "broken"))
			return "broken";
		if (!strcmp(state, "held"))
			any_held = true;
		else if (!has_no_occasion(p))
			verdict = "not known";
	}
	if (!strcmp(json_string_value(json_object_get(control, "state")),
		    "broken"))
		return "broken";
	return any_held ? verdict : "not known";
}

static bool has_no_occasion(json_t *promise)
{
	return !json_integer_value(json_object_get(promise, "occasions")) &&
	       !strcmp(json_string_value(json_object_get(promise, "reason")),
		       "no occasion arose");
}

static json_t *incidents_json(const RtDay *day)
{
	json_t *list = json_array();

	for (size_t i = 0; i < G_N_ELEMENTS(incidents); i++) {
		const struct incident *in = &incidents[i];

		json_array_append_new(
			list, json_pack("{ss sI si}", "text", in->text, "count",
					(json_int_t)rt_day_counter_value(
						day, in->id, ""),
					"event", in->event));
	}
	return list;
}

static json_t *unseen_json(const struct rt_view *v)
{
	json_t *list = json_array();
	json_int_t more = (json_int_t)v->day->gaps_left_out;

	for (guint i = 0; i < v->gaps->len; i++) {
		const RtGap *g = &g_array_index(v->gaps, RtGap, i);
		json_t *o;

		if (i >= GAPS_LISTED) {
			more++;
			continue;
		}
		o = json_pack("{ss ss sI}", "instance", g->instance, "role",
			      g->role, "from_ms", (json_int_t)g->from_wall_ms);
		if (g->to_wall_ms < v->wall_ms)
			json_object_set_new(
				o, "to_ms",
				json_integer((json_int_t)g->to_wall_ms));
		json_array_append_new(list, o);
	}
	return json_pack("{so sI}", "list", list, "more", more);
}

static json_t *hours_json(const RtDay *day)
{
	json_t *list = json_array();

	for (size_t i = 0; i < day->n_hours; i++) {
		const RtHour *h = day->hours[i];

		json_array_append_new(
			list,
			json_pack("{sI sI sI sI sI}", "from_ms",
				  (json_int_t)h->hour * HOUR_MS, "calls",
				  (json_int_t)h->calls, "answered",
				  (json_int_t)h->answered, "control_bytes",
				  (json_int_t)h->control_bytes,
				  "cross_region_bytes",
				  (json_int_t)h->cross_region_bytes));
	}
	return list;
}

static json_t *days_json(const struct rt_days *d)
{
	json_t *list = json_array();

	for (size_t i = 0; i < d->state->n_days; i++)
		json_array_append_new(list,
				      json_string(d->state->days[i]->key));
	return list;
}
