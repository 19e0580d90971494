#include <string.h>

#include "base/ba_result.h"
#include "report/rt_page.h"
#include "report/rt_page_internal.h"

enum { VERSIONS_SHOWN = 10, WRAP_COLUMNS = 66 };

static void add_head(const struct rt_page *p, struct ba_buf *out);
static void add_promises(const struct rt_page *p, struct ba_buf *out);
static void add_wrapped(struct ba_buf *out, const char *text);
static void add_versions(const struct rt_page *p, struct ba_buf *out);
static void add_outages(const struct rt_page *p, struct ba_buf *out);
static void add_control(const struct rt_page *p, struct ba_buf *out);
static void add_calls(const struct rt_page *p, struct ba_buf *out);
static void add_service(json_t *s, struct ba_buf *out);
static void add_incidents(const struct rt_page *p, struct ba_buf *out);
static void add_unseen(const struct rt_page *p, struct ba_buf *out);

int rt_page_text(const char *mesh, const char *json, size_t len,
		 struct ba_buf *out)
{
	struct rt_page p;
	int code = rt_page_read(&p, mesh, json, len);

	if (code)
		return code;
	add_head(&p, out);
	add_promises(&p, out);
	add_versions(&p, out);
	add_outages(&p, out);
	add_control(&p, out);
	add_calls(&p, out);
	add_incidents(&p, out);
	add_unseen(&p, out);
	ba_buf_addf(out, "\ncarawayctl explain NUMBER tells what an event "
			 "means and what to do.\n");
	rt_page_free(&p);
	return BA_OK;
}

static void add_head(const struct rt_page *p, struct ba_buf *out)
{
	char clock[RT_TEXT_BYTES];

	ba_buf_addf(out, "%s, %s (%s), as of %s\n\n", p->mesh,
		    rt_json_str(p->root, "day"), p->zone,
		    rt_format_time(p, rt_json_int(p->root, "as_of_ms"), clock));
	ba_buf_addf(out, "%s. ", rt_headline(p));
	rt_summary(p, out);
	ba_buf_addf(out, "\n");
}

static void add_promises(const struct rt_page *p, struct ba_buf *out)
{
	char state[RT_TEXT_BYTES];
	json_t *promise;
	size_t i;

	ba_buf_addf(out, "\nPROMISES\n");
	json_array_foreach (rt_json_get(p->root, "promises"), i, promise) {
		struct ba_buf evidence = {0};

		rt_evidence(p, promise, &evidence);
		ba_buf_addf(out, "%zu  [%s]\n", i + 1,
			    rt_format_state(p, promise, state));
		add_wrapped(out, rt_json_str(promise, "text"));
		add_wrapped(out, ba_buf_text(&evidence));
		ba_buf_free(&evidence);
	}
}

/* Indents by three columns and breaks lines at spaces. */
static void add_wrapped(struct ba_buf *out, const char *text)
{
	while (strlen(text) > WRAP_COLUMNS) {
		int len = WRAP_COLUMNS;

		while (len > 0 && text[len] != ' ')
			len--;
		if (!len)
			break;
		ba_buf_addf(out, "   %.*s\n", len, text);
		text += len + 1;
	}
	ba_buf_addf(out, "   %s\n", text);
}

static void add_versions(const struct rt_page *p, struct ba_buf *out)
{
	json_t *versions = rt_json_get(p->root, "versions");
	json_t *list = rt_json_get(versions, "list");
	char a[RT_TEXT_BYTES];
	char b[RT_TEXT_BYTES];
	char c[RT_TEXT_BYTES];
	json_t *v;
	size_t i;

	ba_buf_addf(out,
		    "\nCHANGES: %lld accepted, %lld over their limit, %lld on "
		    "their way\n",
		    (long long)rt_json_int(versions, "accepted"),
		    (long long)rt_json_int(versions, "late"),
		    (long long)rt_json_int(versions, "on_their_way"));
	if (rt_json_get(versions, "p50_us"))
		ba_buf_addf(
			out,
			"In force everywhere: half within %s, 99 of 100 "
			"within %s, slowest %s\n",
			rt_format_duration(rt_json_int(versions, "p50_us"), a),
			rt_format_duration(rt_json_int(versions, "p99_us"), b),
			rt_format_duration(rt_json_int(versions, "max_us"), c));
	if (json_array_size(list))
		ba_buf_addf(out, "   %8s %-9s %10s %8s %8s  %s\n", "version",
			    "accepted", "after", "limit", "daemons", "state");
	json_array_foreach (list, i, v) {
		json_t *after = rt_json_get(v, "after_ms");

		/* 'l' is "late". */
		if (i >= VERSIONS_SHOWN && *rt_json_str(v, "state") != 'l')
			continue;
		ba_buf_addf(out, "   %8lld %-9s %10s %8s %8lld  %s%s%s\n",
			    (long long)rt_json_int(v, "version"),
			    rt_format_time(p, rt_json_int(v, "accepted_ms"), a),
			    after ? rt_format_duration(
					    (json_int_t)(1000 * json_real_value(
									after)),
					    b)
				  : "-",
			    rt_format_duration(
				    rt_json_int(v, "limit_ms") * 1000, c),
			    (long long)rt_json_int(v, "daemons"),
			    rt_json_str(v, "state"),
			    *rt_json_str(v, "limited_by") ? ", limit of " : "",
			    rt_json_str(v, "limited_by"));
	}
}

static void add_outages(const struct rt_page *p, struct ba_buf *out)
{
	char line[RT_LINE_BYTES];
	json_t *o;
	size_t i;

	json_array_foreach (rt_json_get(p->root, "outages"), i, o)
		ba_buf_addf(out, "%s\n", rt_format_outage(p, o, line));
}

static void add_control(const struct rt_page *p, struct ba_buf *out)
{
	json_t *control = rt_json_get(p->root, "control");
	char a[RT_TEXT_BYTES];
	char b[RT_TEXT_BYTES];
	json_t *o;
	size_t i;

	ba_buf_addf(
		out, "\nTRAFFIC BETWEEN REGIONS: %s",
		rt_format_bytes(rt_json_int(control, "cross_region_bytes"), a));
	if (rt_json_int(control, "limit_bytes"))
		ba_buf_addf(out, " of %s allowed",
			    rt_format_bytes(rt_json_int(control, "limit_bytes"),
					    a));
	ba_buf_addf(out, " [%s]\n",
		    control ? rt_json_str(control, "state") : "not known");
	json_array_foreach (rt_json_get(control, "links"), i, o)
		ba_buf_addf(out, "   %-30s %10s\n", rt_json_str(o, "link"),
			    rt_format_bytes(rt_json_int(o, "bytes"), a));
	ba_buf_addf(out, "CONTROL TRAFFIC BY ROLE\n   %-8s %9s %10s %10s %s\n",
		    "role", "instances", "sent", "received", "each, a second");
	json_array_foreach (rt_json_get(control, "roles"), i, o) {
		char each[RT_TEXT_BYTES];

		rt_format_bytes((json_int_t)json_real_value(
					rt_json_get(o, "bytes_per_instance_s")),
				each);
		ba_buf_addf(out, "   %-8s %9lld %10s %10s %s\n",
			    rt_json_str(o, "role"),
			    (long long)rt_json_int(o, "instances"),
			    rt_format_bytes(rt_json_int(o, "sent"), a),
			    rt_format_bytes(rt_json_int(o, "received"), b),
			    each);
	}
}

static void add_calls(const struct rt_page *p, struct ba_buf *out)
{
	json_t *calls = rt_json_get(p->root, "calls");
	json_t *s;
	size_t i;

	ba_buf_addf(out, "\nCALLS: %lld; by service\n",
		    (long long)rt_json_int(calls, "calls"));
	ba_buf_addf(out, "   %-20s %9s %8s %9s %7s %9s %9s\n", "service",
		    "answered", "not run", "may have", "retried", "median",
		    "99 of 100");
	json_array_foreach (rt_json_get(calls, "services"), i, s)
		add_service(s, out);
}

static void add_service(json_t *s, struct ba_buf *out)
{
	bool has_latency = rt_json_get(s, "p50_us");
	char a[RT_TEXT_BYTES];
	char b[RT_TEXT_BYTES];

	ba_buf_addf(
		out, "   %-20s %9lld %8lld %9lld %7lld %9s %9s\n",
		rt_json_str(s, "service"),
		(long long)rt_json_int(s, "answered"),
		(long long)rt_json_int(s, "not_run"),
		(long long)rt_json_int(s, "may_have_run"),
		(long long)rt_json_int(s, "retried"),
		has_latency ? rt_format_duration(rt_json_int(s, "p50_us"), a)
			    : "-",
		has_latency ? rt_format_duration(rt_json_int(s, "p99_us"), b)
			    : "-");
}

static void add_incidents(const struct rt_page *p, struct ba_buf *out)
{
	json_t *o;
	size_t i;

	ba_buf_addf(out, "\nFAULTS AND REPAIR\n");
	json_array_foreach (rt_json_get(p->root, "incidents"), i, o)
		ba_buf_addf(out, "   %8lld  %s (event %lld)\n",
			    (long long)rt_json_int(o, "count"),
			    rt_json_str(o, "text"),
			    (long long)rt_json_int(o, "event"));
}

static void add_unseen(const struct rt_page *p, struct ba_buf *out)
{
	json_t *unseen = rt_json_get(p->root, "unseen");
	json_t *list = rt_json_get(unseen, "list");
	char from[RT_TEXT_BYTES];
	char to[RT_TEXT_BYTES];
	json_t *o;
	size_t i;

	ba_buf_addf(out, "\nNOT SEEN%s\n",
		    json_array_size(list) ? "" : ": nothing was out of sight");
	json_array_foreach (list, i, o) {
		bool ongoing = !rt_json_get(o, "to_ms");

		ba_buf_addf(out, "   %-8s %-20s %s from %s to %s\n",
			    rt_json_str(o, "role"), rt_json_str(o, "instance"),
			    ongoing ? "still out of sight," : "out of sight",
			    rt_format_time(p, rt_json_int(o, "from_ms"), from),
			    ongoing ? "now"
				    : rt_format_time(p, rt_json_int(o, "to_ms"),
						     to));
	}
	if (rt_json_int(unseen, "more"))
		ba_buf_addf(out, "   and %lld more times\n",
			    (long long)rt_json_int(unseen, "more"));
}
