#include <string.h>

#include "base/ba_result.h"
#include "report/rt_page_internal.h"

static void add_places(const struct rt_page *p, json_t *promise,
		       struct ba_buf *out);
static size_t count_state(const struct rt_page *p, const char *state);
static size_t count_without_occasion(const struct rt_page *p);

int rt_page_read(struct rt_page *p, const char *mesh, const char *json,
		 size_t len)
{
	*p = (struct rt_page){.mesh = mesh};
	p->root = json_loadb(json, len, 0, NULL);
	if (!json_is_array(rt_json_get(p->root, "promises"))) {
		json_decref(p->root);
		return WI_FRAME_GARBAGE;
	}
	p->zone = rt_json_str(p->root, "time_zone");
	p->tz = g_time_zone_new_identifier(p->zone);
	if (p->tz)
		return BA_OK;
	p->tz = g_time_zone_new_utc();
	p->zone = "UTC";
	return BA_OK;
}

void rt_page_free(struct rt_page *p)
{
	json_decref(p->root);
	g_time_zone_unref(p->tz);
}

json_t *rt_json_get(json_t *o, const char *key)
{
	return json_object_get(o, key);
}

json_int_t rt_json_int(json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

const char *rt_json_str(json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s ? s : "";
}

const char *rt_format_time(const struct rt_page *p, json_int_t ms,
			   char out[RT_TEXT_BYTES])
{
	GDateTime *utc = g_date_time_new_from_unix_utc(ms / 1000);
	GDateTime *t = utc ? g_date_time_to_timezone(utc, p->tz) : NULL;

	g_strlcpy(out, "-", RT_TEXT_BYTES);
	if (t)
		g_snprintf(out, RT_TEXT_BYTES, "%02d:%02d:%02d",
			   g_date_time_get_hour(t), g_date_time_get_minute(t),
			   g_date_time_get_second(t));
	g_clear_pointer(&t, g_date_time_unref);
	g_clear_pointer(&utc, g_date_time_unref);
	return out;
}

const char *rt_format_bytes(json_int_t n, char out[RT_TEXT_BYTES])
{
	static const char *const units[] = {"B", "KB", "MB", "GB", "TB"};
	double v = (double)n;
	size_t i = 0;

	while (v >= 1000 && i + 1 < G_N_ELEMENTS(units)) {
		v /= 1000;
		i++;
	}
	g_snprintf(out, RT_TEXT_BYTES, i ? "%.3g %s" : "%.0f %s", v, units[i]);
	return out;
}

const char *rt_format_duration(json_int_t us, char out[RT_TEXT_BYTES])
{
	double v = (double)us;

	if (us < 1000)
		g_snprintf(out, RT_TEXT_BYTES, "%lld us", (long long)us);
	else if (us < 1000000)
		g_snprintf(out, RT_TEXT_BYTES, "%.3g ms", v / 1000);
	else
		g_snprintf(out, RT_TEXT_BYTES, "%.3g s", v / 1000000);
	return out;
}

const char *rt_headline(const struct rt_page *p)
{
	const char *verdict = rt_json_str(p->root, "verdict");
	bool complete = json_is_true(rt_json_get(p->root, "complete"));

	if (!strcmp(verdict, "held"))
		return complete ? "The day held" : "Today held so far";
	if (!strcmp(verdict, "broken"))
		return complete ? "The day did not hold" : "Today did not hold";
	return "Not all of the day is known";
}

void rt_summary(const struct rt_page *p, struct ba_buf *out)
{
	size_t n = json_array_size(rt_json_get(p->root, "promises"));
	size_t broken = count_state(p, "broken");
	size_t no_occasion = count_without_occasion(p);
	size_t unknown = count_state(p, "not known") - no_occasion;

	ba_buf_addf(out, "Of %zu promises ", n);
	if (broken)
		ba_buf_addf(out, "%zu broken, ", broken);
	ba_buf_addf(out, "%zu held", count_state(p, "held"));
	if (unknown)
		ba_buf_addf(out, ", %zu not known", unknown);
	if (no_occasion)
		ba_buf_addf(out, ", %zu without occasion", no_occasion);
	if (!strcmp(rt_json_str(rt_json_get(p->root, "control"), "state"),
		    "broken"))
		ba_buf_addf(out, "; traffic between regions is over its limit");
	ba_buf_addf(out, ".");
}

void rt_evidence(const struct rt_page *p, json_t *promise, struct ba_buf *out)
{
	const char *reason = rt_json_str(promise, "reason");
	json_int_t occasions = rt_json_int(promise, "occasions");
	json_t *event;
	size_t i;

	if (*reason)
		ba_buf_addf(out, "%c%s. ", g_ascii_toupper(*reason),
			    reason + 1);
	if (occasions)
		ba_buf_addf(out, "Checked %lld of %lld %s, found %lld wrong. ",
			    (long long)rt_json_int(promise, "checked"),
			    (long long)occasions, rt_json_str(promise, "noun"),
			    (long long)rt_json_int(promise, "breaches"));
	add_places(p, promise, out);
	ba_buf_addf(out, "Events:");
	json_array_foreach (rt_json_get(promise, "events"), i, event)
		ba_buf_addf(out, "%s %lld %s", i ? "," : "",
			    (long long)rt_json_int(event, "event"),
			    rt_json_str(event, "name"));
}

const char *rt_format_state(const struct rt_page *p, json_t *promise,
			    char out[RT_TEXT_BYTES])
{
	const char *state = rt_json_str(promise, "state");
	char clock[RT_TEXT_BYTES];

	if (!strcmp(rt_json_str(promise, "reason"), "no occasion arose"))
		return "no occasion";
	if (strcmp(state, "not known"))
		return state;
	g_snprintf(out, RT_TEXT_BYTES, "not known since %s",
		   rt_format_time(p, rt_json_int(promise, "since_ms"), clock));
	return out;
}

static void add_places(const struct rt_page *p, json_t *promise,
		       struct ba_buf *out)
{
	char from[RT_TEXT_BYTES];
	char to[RT_TEXT_BYTES];
	json_t *place;
	size_t i;

	json_array_foreach (rt_json_get(promise, "places"), i, place)
		ba_buf_addf(
			out, "Counted %lld on %s between %s and %s. ",
			(long long)rt_json_int(place, "count"),
			rt_json_str(place, "instance"),
			rt_format_time(p, rt_json_int(place, "from_ms"), from),
			rt_format_time(p, rt_json_int(place, "to_ms"), to));
}

static size_t count_state(const struct rt_page *p, const char *state)
{
	size_t n = 0;
	size_t i;
	json_t *promise;

	json_array_foreach (rt_json_get(p->root, "promises"), i, promise)
		n += !strcmp(rt_json_str(promise, "state"), state);
	return n;
}

static size_t count_without_occasion(const struct rt_page *p)
{
	size_t n = 0;
	size_t i;
	json_t *promise;

	json_array_foreach (rt_json_get(p->root, "promises"), i, promise)
		n += !strcmp(rt_json_str(promise, "reason"),
			     "no occasion arose");
	return n;
}

const char *rt_format_outage(const struct rt_page *p, json_t *outage,
			     char out[RT_LINE_BYTES])
{
	json_int_t ended = rt_json_int(outage, "to_ms");
	char from[RT_TEXT_BYTES];
	char to[RT_TEXT_BYTES];

	g_snprintf(out, RT_LINE_BYTES,
		   "%lld daemons out of reach from %s to %s; that time does "
		   "not count",
		   (long long)rt_json_int(outage, "daemons"),
		   rt_format_time(p, rt_json_int(outage, "from_ms"), from),
		   ended ? rt_format_time(p, ended, to) : "now");
	return out;
}
