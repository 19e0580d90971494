#include <string.h>

#include "base/ba_result.h"
#include "report/rt_page.h"
#include "report/rt_page_internal.h"

enum { VERSIONS_SHOWN = 10 };

static const char style[] =
	":root{--ink:#1c2430;--soft:#5b6675;--line:#d8dee6;--paper:#fff;"
	"--held:#1b6e3c;--broken:#b3261e;--unknown:#8a5a00;--bar:#4a78a8}"
	"@media(prefers-color-scheme:dark){:root{--ink:#e8ecf1;--soft:#a3adba;"
	"--line:#3a4452;--paper:#171c23;--held:#5fc98a;--broken:#ff8a80;"
	"--unknown:#f0b75a;--bar:#7aa7d6}}"
	"@media print{:root{--ink:#000;--soft:#444;--line:#bbb;--paper:#fff;"
	"--held:#1b6e3c;--broken:#b3261e;--unknown:#8a5a00;--bar:#4a78a8}"
	"li,tr,svg{break-inside:avoid}h2{break-after:avoid}}"
	"*{box-sizing:border-box}"
	"body{margin:0 auto;max-width:50rem;padding:1rem;"
	"font:16px/1.45 system-ui,sans-serif;color:var(--ink);"
	"background:var(--paper)}"
	"header{border-left:.5rem solid var(--c);padding:.25rem 1rem}"
	"h1{margin:.1rem 0;font-size:1.9rem;color:var(--c)}"
	"h2{margin:2rem 0 .5rem;font-size:1.2rem}"
	"p{margin:.25rem 0}.soft{color:var(--soft);font-size:.88em}"
	".held{--c:var(--held)}.broken{--c:var(--broken)}"
	".unknown{--c:var(--unknown)}.idle{--c:var(--soft)}"
	"ol{list-style:none;padding:0;margin:0}"
	"ol li{display:grid;grid-template-columns:7.5rem 1fr;gap:.75rem;"
	"padding:.6rem 0;border-top:1px solid var(--line)}"
	".mark{color:var(--c);font-weight:700}"
	"@media(max-width:32rem){ol li{grid-template-columns:1fr;gap:.1rem}}"
	".wide{overflow-x:auto}table{border-collapse:collapse;width:100%;"
	"font-size:.9em}th,td{text-align:right;padding:.3rem .5rem;"
	"border-top:1px solid var(--line);white-space:nowrap}"
	"th:first-child,td:first-child{text-align:left}th{color:var(--soft);"
	"font-weight:600}td.c{color:var(--c);font-weight:600}"
	"svg{width:100%;height:auto;display:block;margin:.5rem 0}"
	"svg text{font:11px system-ui,sans-serif;fill:var(--soft)}"
	".grid{stroke:var(--line)}.axis{stroke:var(--soft)}"
	".limit{stroke:var(--broken);stroke-dasharray:5 4}"
	".point{fill:var(--bar)}.late{fill:var(--broken)}.bar{fill:var(--bar)}"
	"@media print{body{font-size:9pt;padding:0;max-width:none}"
	"h2{margin:1rem 0 .3rem}ol li{padding:.3rem 0}svg{height:6.5rem}}";

static void add_head(const struct rt_page *p, struct ba_buf *out);
static void add_promises(const struct rt_page *p, struct ba_buf *out);
static void add_versions(const struct rt_page *p, struct ba_buf *out);
static void add_version_table(const struct rt_page *p, json_t *list,
			      struct ba_buf *out);
static void add_version(const struct rt_page *p, json_t *v, struct ba_buf *out);
static void add_control(const struct rt_page *p, struct ba_buf *out);
static void add_roles(json_t *roles, struct ba_buf *out);
static void add_calls(const struct rt_page *p, struct ba_buf *out);
static void add_service(json_t *s, struct ba_buf *out);
static void add_incidents(const struct rt_page *p, struct ba_buf *out);
static void add_outages(const struct rt_page *p, struct ba_buf *out);
static void add_unseen(const struct rt_page *p, struct ba_buf *out);
static void add_escaped(struct ba_buf *out, const char *text);
static const char *class_of(const char *state);

int rt_page_html(const char *mesh, const char *json, size_t len,
		 struct ba_buf *out)
{
	struct rt_page p;
	int code = rt_page_read(&p, mesh, json, len);

	if (code)
		return code;
	add_head(&p, out);
	add_promises(&p, out);
	add_versions(&p, out);
	add_control(&p, out);
	add_calls(&p, out);
	add_incidents(&p, out);
	add_unseen(&p, out);
	ba_buf_addf(out, "<p class=\"soft\">A number beside a line is an event "
			 "in the logs; <code>carawayctl explain NUMBER</code> "
			 "tells what it means and what to do.</p>\n"
			 "</body></html>\n");
	rt_page_free(&p);
	return BA_OK;
}

static void add_head(const struct rt_page *p, struct ba_buf *out)
{
	const char *verdict = rt_json_str(p->root, "verdict");
	char clock[RT_TEXT_BYTES];

	ba_buf_addf(out, "<!doctype html>\n<html lang=\"en\"><head>"
			 "<meta charset=\"utf-8\">"
			 "<meta name=\"viewport\" content=\"width=device-width,"
			 "initial-scale=1\"><title>");
	add_escaped(out, p->mesh);
	ba_buf_addf(out, " ");
	add_escaped(out, rt_json_str(p->root, "day"));
	ba_buf_addf(out, "</title><style>%s</style></head><body>\n", style);
	ba_buf_addf(out, "<header class=\"%s\"><p class=\"soft\">",
		    class_of(verdict));
	add_escaped(out, p->mesh);
	ba_buf_addf(out, " &middot; ");
	add_escaped(out, rt_json_str(p->root, "day"));
	ba_buf_addf(out, " &middot; ");
	add_escaped(out, p->zone);
	ba_buf_addf(out, " &middot; as of %s</p><h1>%s</h1><p>",
		    rt_format_time(p, rt_json_int(p->root, "as_of_ms"), clock),
		    rt_headline(p));
	rt_summary(p, out);
	ba_buf_addf(out, "</p></header>\n");
}

static void add_promises(const struct rt_page *p, struct ba_buf *out)
{
	char state[RT_TEXT_BYTES];
	json_t *promise;
	size_t i;

	ba_buf_addf(out, "<section><h2>What must always hold</h2><ol>\n");
	json_array_foreach (rt_json_get(p->root, "promises"), i, promise) {
		const char *text = rt_format_state(p, promise, state);
		struct ba_buf evidence = {0};

		rt_evidence(p, promise, &evidence);
		ba_buf_addf(out,
			    "<li class=\"%s\"><span class=\"mark\">%s</span>"
			    "<div><p>",
			    strcmp(text, "no occasion")
				    ? class_of(rt_json_str(promise, "state"))
				    : "idle",
			    text);
		add_escaped(out, rt_json_str(promise, "text"));
		ba_buf_addf(out, "</p><p class=\"soft\">");
		add_escaped(out, ba_buf_text(&evidence));
		ba_buf_addf(out, "</p></div></li>\n");
		ba_buf_free(&evidence);
	}
	ba_buf_addf(out, "</ol></section>\n");
}

static void add_versions(const struct rt_page *p, struct ba_buf *out)
{
	json_t *versions = rt_json_get(p->root, "versions");
	json_t *list = rt_json_get(versions, "list");
	char a[RT_TEXT_BYTES];
	char b[RT_TEXT_BYTES];
	char c[RT_TEXT_BYTES];

	ba_buf_addf(out,
		    "<section><h2>Changes of configuration</h2><p>%lld "
		    "accepted, %lld over their limit, %lld on their way.",
		    (long long)rt_json_int(versions, "accepted"),
		    (long long)rt_json_int(versions, "late"),
		    (long long)rt_json_int(versions, "on_their_way"));
	if (rt_json_get(versions, "p50_us"))
		ba_buf_addf(
			out,
			" In force on every proxy: half within %s, 99 of "
			"100 within %s, the slowest after %s.",
			rt_format_duration(rt_json_int(versions, "p50_us"), a),
			rt_format_duration(rt_json_int(versions, "p99_us"), b),
			rt_format_duration(rt_json_int(versions, "max_us"), c));
	ba_buf_addf(out, "</p>\n");
	if (json_array_size(list)) {
		rt_chart_convergence(p, out);
		ba_buf_addf(out, "<p class=\"soft\">Each dot is one version, "
				 "at the hour it was accepted; the higher, the "
				 "longer it took. Red dots are over their "
				 "limit.</p>\n");
		add_version_table(p, list, out);
	}
	ba_buf_addf(out, "</section>\n");
}

static void add_version_table(const struct rt_page *p, json_t *list,
			      struct ba_buf *out)
{
	json_t *v;
	size_t i;

	ba_buf_addf(out, "<div class=\"wide\"><table><tr><th>Version</th>"
			 "<th>Accepted</th><th>In force after</th>"
			 "<th>Limit</th><th>Proxies</th><th>State</th></tr>\n");
	/* 'l' is "late". */
	json_array_foreach (list, i, v) {
		if (i < VERSIONS_SHOWN || *rt_json_str(v, "state") == 'l')
			add_version(p, v, out);
	}
	ba_buf_addf(out, "</table></div>\n");
	if (json_array_size(list) > VERSIONS_SHOWN)
		ba_buf_addf(
			out,
			"<p class=\"soft\">The latest %d and all over their limit are shown; "
			"<code>carawayctl history</code> lists more.</p>\n",
			VERSIONS_SHOWN);
}

static void add_version(const struct rt_page *p, json_t *v, struct ba_buf *out)
{
	const char *state = rt_json_str(v, "state");
	json_t *after = rt_json_get(v, "after_ms");
	char a[RT_TEXT_BYTES];
	char b[RT_TEXT_BYTES];
	char c[RT_TEXT_BYTES];

	/* 'l' is "late", 'i' is "in force". */
	ba_buf_addf(
		out,
		"<tr class=\"%s\"><td>%lld</td><td>%s</td><td>%s</td>"
		"<td>%s",
		*state == 'l'	? "broken"
		: *state == 'i' ? "held"
				: "unknown",
		(long long)rt_json_int(v, "version"),
		rt_format_time(p, rt_json_int(v, "accepted_ms"), a),
		after ? rt_format_duration(
				(json_int_t)(1000 * json_real_value(after)), b)
		      : "&ndash;",
		rt_format_duration(rt_json_int(v, "limit_ms") * 1000, c));
	if (*rt_json_str(v, "limited_by")) {
		ba_buf_addf(out, " (");
		add_escaped(out, rt_json_str(v, "limited_by"));
		ba_buf_addf(out, ")");
	}
	ba_buf_addf(out, "</td><td>%lld</td><td class=\"c\">",
		    (long long)rt_json_int(v, "daemons"));
	add_escaped(out, state);
	ba_buf_addf(out, "</td></tr>\n");
}

static void add_control(const struct rt_page *p, struct ba_buf *out)
{
	json_t *control = rt_json_get(p->root, "control");
	json_int_t limit = rt_json_int(control, "limit_bytes");
	char a[RT_TEXT_BYTES];
	json_t *o;
	size_t i;

	ba_buf_addf(
		out,
		"<section><h2>Traffic of the system itself</h2>"
		"<p class=\"%s\"><span class=\"mark\">%s</span> across "
		"regions",
		class_of(rt_json_str(control, "state")),
		rt_format_bytes(rt_json_int(control, "cross_region_bytes"), a));
	if (limit)
		ba_buf_addf(out, ", of %s allowed in a day",
			    rt_format_bytes(limit, a));
	ba_buf_addf(out, ".</p>\n");
	rt_chart_hours(p, "cross_region_bytes", true, out);
	ba_buf_addf(out, "<p class=\"soft\">Bytes across regions in each hour."
			 "</p><div class=\"wide\"><table><tr><th>Link</th>"
			 "<th>Bytes</th></tr>\n");
	json_array_foreach (rt_json_get(control, "links"), i, o) {
		ba_buf_addf(out, "<tr><td>");
		add_escaped(out, rt_json_str(o, "link"));
		ba_buf_addf(out, "</td><td>%s</td></tr>\n",
			    rt_format_bytes(rt_json_int(o, "bytes"), a));
	}
	ba_buf_addf(out, "</table></div>\n");
	add_roles(rt_json_get(control, "roles"), out);
	ba_buf_addf(out, "</section>\n");
}

static void add_roles(json_t *roles, struct ba_buf *out)
{
	char a[RT_TEXT_BYTES];
	char b[RT_TEXT_BYTES];
	char c[RT_TEXT_BYTES];
	json_t *o;
	size_t i;

	ba_buf_addf(out, "<div class=\"wide\"><table><tr><th>Role</th>"
			 "<th>Instances</th><th>Sent</th><th>Received</th>"
			 "<th>Each, a second</th></tr>\n");
	json_array_foreach (roles, i, o) {
		json_t *each = rt_json_get(o, "bytes_per_instance_s");

		ba_buf_addf(
			out,
			"<tr><td>%s</td><td>%lld</td><td>%s</td><td>%s</td>"
			"<td>%s</td></tr>\n",
			rt_json_str(o, "role"),
			(long long)rt_json_int(o, "instances"),
			rt_format_bytes(rt_json_int(o, "sent"), a),
			rt_format_bytes(rt_json_int(o, "received"), b),
			rt_format_bytes((json_int_t)json_real_value(each), c));
	}
	ba_buf_addf(out, "</table></div>\n");
}

static void add_calls(const struct rt_page *p, struct ba_buf *out)
{
	json_t *calls = rt_json_get(p->root, "calls");
	json_t *s;
	size_t i;

	ba_buf_addf(out,
		    "<section><h2>Calls</h2><p>%lld calls: %lld answered, "
		    "%lld told that nothing was run, %lld that may have "
		    "run.</p>\n",
		    (long long)rt_json_int(calls, "calls"),
		    (long long)rt_json_int(calls, "answered"),
		    (long long)rt_json_int(calls, "not_run"),
		    (long long)rt_json_int(calls, "may_have_run"));
	rt_chart_hours(p, "calls", false, out);
	ba_buf_addf(out, "<p class=\"soft\">Calls in each hour.</p>"
			 "<div class=\"wide\"><table><tr><th>Service</th>"
			 "<th>Answered</th><th>Not run</th><th>May have run"
			 "</th><th>Tried again</th><th>Half within</th>"
			 "<th>99 of 100 within</th></tr>\n");
	json_array_foreach (rt_json_get(calls, "services"), i, s)
		add_service(s, out);
	ba_buf_addf(out, "</table></div></section>\n");
}

static void add_service(json_t *s, struct ba_buf *out)
{
	bool has_latency = rt_json_get(s, "p50_us");
	char a[RT_TEXT_BYTES];
	char b[RT_TEXT_BYTES];

	ba_buf_addf(out, "<tr><td>");
	add_escaped(out, rt_json_str(s, "service"));
	ba_buf_addf(
		out,
		"</td><td>%lld</td><td>%lld</td><td>%lld</td><td>%lld</td>"
		"<td>%s</td><td>%s</td></tr>\n",
		(long long)rt_json_int(s, "answered"),
		(long long)rt_json_int(s, "not_run"),
		(long long)rt_json_int(s, "may_have_run"),
		(long long)rt_json_int(s, "retried"),
		has_latency ? rt_format_duration(rt_json_int(s, "p50_us"), a)
			    : "&ndash;",
		has_latency ? rt_format_duration(rt_json_int(s, "p99_us"), b)
			    : "&ndash;");
}

static void add_incidents(const struct rt_page *p, struct ba_buf *out)
{
	json_t *o;
	size_t i;

	ba_buf_addf(out, "<section><h2>Faults, and how they were met</h2>"
			 "<div class=\"wide\"><table><tr><th>What</th>"
			 "<th>Times</th><th>Event</th></tr>\n");
	json_array_foreach (rt_json_get(p->root, "incidents"), i, o) {
		if (!rt_json_int(o, "count"))
			continue;
		ba_buf_addf(out, "<tr><td>");
		add_escaped(out, rt_json_str(o, "text"));
		ba_buf_addf(out, "</td><td>%lld</td><td>%lld</td></tr>\n",
			    (long long)rt_json_int(o, "count"),
			    (long long)rt_json_int(o, "event"));
	}
	ba_buf_addf(out, "</table></div>\n");
	add_outages(p, out);
	ba_buf_addf(out, "</section>\n");
}

static void add_outages(const struct rt_page *p, struct ba_buf *out)
{
	char line[RT_LINE_BYTES];
	json_t *o;
	size_t i;

	json_array_foreach (rt_json_get(p->root, "outages"), i, o)
		ba_buf_addf(out, "<p>%s.</p>\n", rt_format_outage(p, o, line));
}

static void add_unseen(const struct rt_page *p, struct ba_buf *out)
{
	json_t *unseen = rt_json_get(p->root, "unseen");
	json_t *list = rt_json_get(unseen, "list");
	char from[RT_TEXT_BYTES];
	char to[RT_TEXT_BYTES];
	json_t *o;
	size_t i;

	ba_buf_addf(out, "<section><h2>What was out of sight</h2>\n");
	if (!json_array_size(list))
		ba_buf_addf(out, "<p>Nothing.</p>\n");
	else
		ba_buf_addf(out, "<div class=\"wide\"><table><tr>"
				 "<th>Instance</th><th>Role</th><th>From</th>"
				 "<th>To</th></tr>\n");
	json_array_foreach (list, i, o) {
		ba_buf_addf(out, "<tr><td>");
		add_escaped(out, rt_json_str(o, "instance"));
		ba_buf_addf(out, "</td><td>");
		add_escaped(out, rt_json_str(o, "role"));
		ba_buf_addf(
			out, "</td><td>%s</td><td>%s</td></tr>\n",
			rt_format_time(p, rt_json_int(o, "from_ms"), from),
			rt_json_get(o, "to_ms")
				? rt_format_time(p, rt_json_int(o, "to_ms"), to)
				: "still");
	}
	if (json_array_size(list))
		ba_buf_addf(out, "</table></div>\n");
	if (rt_json_int(unseen, "more"))
		ba_buf_addf(out, "<p>And %lld more times.</p>\n",
			    (long long)rt_json_int(unseen, "more"));
	ba_buf_addf(out, "</section>\n");
}

static void add_escaped(struct ba_buf *out, const char *text)
{
	char *escaped = g_markup_escape_text(text, -1);

	ba_buf_add(out, escaped, strlen(escaped));
	g_free(escaped);
}

static const char *class_of(const char *state)
{
	if (!strcmp(state, "held"))
		return "held";
	return strcmp(state, "broken") ? "unknown" : "broken";
}
