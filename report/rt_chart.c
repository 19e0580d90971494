/*
 * Inline SVG charts.  All their text comes from this file and needs no
 * escaping.
 */
#include <math.h>

#include "report/rt_page_internal.h"

/* Size and margins of a chart, in SVG user units. */
enum {
	WIDTH = 640,
	HEIGHT = 180,
	LEFT = 60,
	RIGHT = 10,
	TOP = 12,
	BOTTOM = 24,
	HOURS_LIMIT = 26,
	HOUR_MS = 3600000,
};

/* Range of the logarithmic scale of convergence. */
#define SCALE_MIN_MS 1
#define SCALE_MAX_MS 100000

static void begin_svg(struct ba_buf *out, const char *title);
static void end_svg(struct ba_buf *out);
static void add_text(struct ba_buf *out, double x, double y, const char *anchor,
		     const char *text);
static void add_line(struct ba_buf *out, const char *class, double y);
static void add_hours_axis(const struct rt_page *p, struct ba_buf *out);
static double x_of_time(const struct rt_page *p, json_int_t ms);
static double y_of_duration(double ms);
static void add_version(const struct rt_page *p, json_t *v, struct ba_buf *out);
static json_int_t max_of_hours(json_t *hours, const char *key);

void rt_chart_convergence(const struct rt_page *p, struct ba_buf *out)
{
	json_t *versions = rt_json_get(p->root, "versions");
	json_int_t limit = rt_json_int(versions, "limit_ms");
	json_t *v;
	size_t i;

	begin_svg(out, "Time from acceptance to being in force everywhere, for "
		       "each version, against its limit");
	for (json_int_t ms = SCALE_MIN_MS; ms <= SCALE_MAX_MS; ms *= 10) {
		char text[RT_TEXT_BYTES];

		add_line(out, "grid", y_of_duration((double)ms));
		add_text(out, LEFT - 6, y_of_duration((double)ms) + 4, "end",
			 rt_format_duration(ms * 1000, text));
	}
	if (limit) {
		add_line(out, "limit", y_of_duration((double)limit));
		add_text(out, WIDTH - RIGHT, y_of_duration((double)limit) - 4,
			 "end", "limit");
	}
	json_array_foreach (rt_json_get(versions, "list"), i, v)
		add_version(p, v, out);
	add_hours_axis(p, out);
	end_svg(out);
}

void rt_chart_hours(const struct rt_page *p, const char *key, bool in_bytes,
		    struct ba_buf *out)
{
	json_t *hours = rt_json_get(p->root, "hours");
	json_int_t max = max_of_hours(hours, key);
	double bar = (WIDTH - LEFT - RIGHT) / 24.0 - 3;
	char text[RT_TEXT_BYTES];
	json_t *h;
	size_t i;

	begin_svg(out, in_bytes ? "Bytes in each hour" : "Calls in each hour");
	if (in_bytes)
		rt_format_bytes(max, text);
	else
		g_snprintf(text, sizeof(text), "%lld", (long long)max);
	add_line(out, "grid", TOP);
	add_text(out, LEFT - 6, TOP + 4, "end", text);
	add_text(out, LEFT - 6, HEIGHT - BOTTOM + 4, "end", "0");
	json_array_foreach (hours, i, h) {
		json_int_t from = rt_json_int(h, "from_ms");
		double share =
			(double)rt_json_int(h, key) / (double)MAX(max, 1);
		double height = share * (HEIGHT - TOP - BOTTOM);

		if (i == HOURS_LIMIT)
			break;
		ba_buf_addf(out,
			    "<rect class=\"bar\" x=\"%.1f\" y=\"%.1f\" "
			    "width=\"%.1f\" height=\"%.1f\"/>",
			    x_of_time(p, from), HEIGHT - BOTTOM - height, bar,
			    height);
	}
	add_hours_axis(p, out);
	end_svg(out);
}

static void begin_svg(struct ba_buf *out, const char *title)
{
	ba_buf_addf(out,
		    "<svg viewBox=\"0 0 %d %d\" role=\"img\" "
		    "aria-label=\"%s\">",
		    WIDTH, HEIGHT, title);
}

static void end_svg(struct ba_buf *out)
{
	ba_buf_addf(out, "</svg>\n");
}

static void add_text(struct ba_buf *out, double x, double y, const char *anchor,
		     const char *text)
{
	ba_buf_addf(out,
		    "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>",
		    x, y, anchor, text);
}

static void add_line(struct ba_buf *out, const char *class, double y)
{
	ba_buf_addf(out,
		    "<line class=\"%s\" x1=\"%d\" x2=\"%d\" y1=\"%.1f\" "
		    "y2=\"%.1f\"/>",
		    class, LEFT, WIDTH - RIGHT, y, y);
}

static void add_hours_axis(const struct rt_page *p, struct ba_buf *out)
{
	json_int_t from = rt_json_int(p->root, "from_ms");

	add_line(out, "axis", HEIGHT - BOTTOM);
	for (int hour = 0; hour <= 24; hour += 4) {
		char text[RT_TEXT_BYTES];
		json_int_t ms = from + (json_int_t)hour * HOUR_MS;

		g_snprintf(text, sizeof(text), "%d:00", hour);
		add_text(out, x_of_time(p, ms), HEIGHT - 6,
			 hour == 24 ? "end" : "middle", text);
	}
}

static double x_of_time(const struct rt_page *p, json_int_t ms)
{
	double from = (double)rt_json_int(p->root, "from_ms");
	double to = (double)rt_json_int(p->root, "to_ms");
	double share = to > from ? ((double)ms - from) / (to - from) : 0;

	return LEFT + CLAMP(share, 0, 1) * (WIDTH - LEFT - RIGHT);
}

static double y_of_duration(double ms)
{
	double share =
		log10(CLAMP(ms, SCALE_MIN_MS, SCALE_MAX_MS) / SCALE_MIN_MS) /
		log10((double)SCALE_MAX_MS / SCALE_MIN_MS);

	return HEIGHT - BOTTOM - share * (HEIGHT - TOP - BOTTOM);
}

/* A version that is not in force yet is drawn at the time elapsed so far. */
static void add_version(const struct rt_page *p, json_t *v, struct ba_buf *out)
{
	json_int_t accepted = rt_json_int(v, "accepted_ms");
	json_t *after = rt_json_get(v, "after_ms");
	double ms =
		after ? json_real_value(after)
		      : (double)(rt_json_int(p->root, "as_of_ms") - accepted);
	const char *state = rt_json_str(v, "state");

	/* 'l' is "late". */
	ba_buf_addf(out,
		    "<circle class=\"%s\" cx=\"%.1f\" cy=\"%.1f\" r=\"3\"/>",
		    *state == 'l' ? "late" : "point", x_of_time(p, accepted),
		    y_of_duration(ms));
}

static json_int_t max_of_hours(json_t *hours, const char *key)
{
	json_int_t max = 0;
	json_t *h;
	size_t i;

	json_array_foreach (hours, i, h)
		max = MAX(max, rt_json_int(h, key));
	return max;
}
