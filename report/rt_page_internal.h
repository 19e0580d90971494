/*
 * Inside the pages: a report that was read, and how its values are written.
 */
#ifndef RT_PAGE_INTERNAL_H
#define RT_PAGE_INTERNAL_H

#include <stdbool.h>

#include <glib.h>
#include <jansson.h>

#include "base/ba_buf.h"

enum { RT_TEXT_BYTES = 64 };

/**
 * struct rt_page - a report
 * @tz: its time zone, in which all times are written
 * @zone: the name of that zone as it is shown
 */
struct rt_page {
	const char *mesh;
	json_t *root;
	GTimeZone *tz;
	const char *zone;
};

/** rt_page_read() - %BA_OK, or %WI_FRAME_GARBAGE for what is no report */
int rt_page_read(struct rt_page *p, const char *mesh, const char *json,
		 size_t len);

/** rt_page_free() - free what rt_page_read() made */
void rt_page_free(struct rt_page *p);

/** rt_get() - a member of an object; NULL when it is not there */
json_t *rt_get(json_t *o, const char *key);

/** rt_int() - an integer member, 0 when it is not there */
json_int_t rt_int(json_t *o, const char *key);

/** rt_str() - a string member, "" when it is not there */
const char *rt_str(json_t *o, const char *key);

/** rt_clock() - "18:03:11" of a time in the zone of the report */
const char *rt_clock(const struct rt_page *p, json_int_t ms,
		     char out[RT_TEXT_BYTES]);

/** rt_bytes() - "1.25 MB", in powers of 1000 */
const char *rt_bytes(json_int_t n, char out[RT_TEXT_BYTES]);

/** rt_span() - "250 ms" or "6 s", from microseconds */
const char *rt_span(json_int_t us, char out[RT_TEXT_BYTES]);

/** rt_headline() - the verdict in a few words */
const char *rt_headline(const struct rt_page *p);

/** rt_summary() - the sentence under the headline */
void rt_summary(const struct rt_page *p, struct ba_buf *out);

/** rt_evidence() - what a promise's verdict rests on, in one sentence */
void rt_evidence(const struct rt_page *p, json_t *promise, struct ba_buf *out);

/** rt_state_text() - "held", "broken" or "not known since 18:03:11" */
const char *rt_state_text(const struct rt_page *p, json_t *promise,
			  char out[RT_TEXT_BYTES]);

/** rt_chart_convergence() - a chart of each version against its limit */
void rt_chart_convergence(const struct rt_page *p, struct ba_buf *out);

/** rt_chart_hours() - bars of a member of each hour */
void rt_chart_hours(const struct rt_page *p, const char *key, bool bytes,
		    struct ba_buf *out);

enum { RT_LINE_BYTES = 160 };

/** rt_outage_line() - when how many daemons were out of reach, as text */
const char *rt_outage_line(const struct rt_page *p, json_t *outage,
			   char out[RT_LINE_BYTES]);

#endif
