/*
 * Internals of the text and HTML output: the parsed report and the formats
 * of its values.
 */
#ifndef RT_PAGE_INTERNAL_H
#define RT_PAGE_INTERNAL_H

#include <stdbool.h>

#include <glib.h>
#include <jansson.h>

#include "base/ba_buf.h"

enum { RT_TEXT_BYTES = 64 };

/**
 * struct rt_page - a parsed report
 * @mesh: name of the deployment
 * @tz: time zone of the report, used for all times
 * @zone: displayed name of that time zone
 */
struct rt_page {
	const char *mesh;
	json_t *root;
	GTimeZone *tz;
	const char *zone;
};

/**
 * rt_page_read() - parse a report
 *
 * Return: %BA_OK, or %WI_FRAME_GARBAGE if @json is not a report.
 */
int rt_page_read(struct rt_page *p, const char *mesh, const char *json,
		 size_t len);

/** rt_page_free() - free what rt_page_read() allocated */
void rt_page_free(struct rt_page *p);

/** rt_json_get() - get a member of an object; NULL if missing */
json_t *rt_json_get(json_t *o, const char *key);

/** rt_json_int() - get an integer member; 0 if missing */
json_int_t rt_json_int(json_t *o, const char *key);

/** rt_json_str() - get a string member; "" if missing */
const char *rt_json_str(json_t *o, const char *key);

/** rt_format_time() - format a time in the zone of the report as "18:03:11" */
const char *rt_format_time(const struct rt_page *p, json_int_t ms,
			   char out[RT_TEXT_BYTES]);

/** rt_format_bytes() - format bytes as "1.25 MB", in powers of 1000 */
const char *rt_format_bytes(json_int_t n, char out[RT_TEXT_BYTES]);

/** rt_format_duration() - format microseconds as "250 ms" or "6 s" */
const char *rt_format_duration(json_int_t us, char out[RT_TEXT_BYTES]);

/** rt_headline() - get the verdict in a few words */
const char *rt_headline(const struct rt_page *p);

/** rt_summary() - append the sentence below the headline */
void rt_summary(const struct rt_page *p, struct ba_buf *out);

/** rt_evidence() - append what the verdict of a promise is based on */
void rt_evidence(const struct rt_page *p, json_t *promise, struct ba_buf *out);

/**
 * rt_format_state() - format the verdict of a promise
 *
 * Return: "held", "broken", "not known since 18:03:11" or "no occasion".
 */
const char *rt_format_state(const struct rt_page *p, json_t *promise,
			    char out[RT_TEXT_BYTES]);

/** rt_chart_convergence() - append a chart of convergence and its limit */
void rt_chart_convergence(const struct rt_page *p, struct ba_buf *out);

/**
 * rt_chart_hours() - append a bar chart of the hours
 * @key: member of each hour to draw
 * @in_bytes: whether its unit is bytes, otherwise calls
 */
void rt_chart_hours(const struct rt_page *p, const char *key, bool in_bytes,
		    struct ba_buf *out);

enum { RT_LINE_BYTES = 160 };

/** rt_format_outage() - format the times and the daemons of an outage */
const char *rt_format_outage(const struct rt_page *p, json_t *outage,
			     char out[RT_LINE_BYTES]);

#endif
