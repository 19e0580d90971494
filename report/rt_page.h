/*
 * Renders the JSON of rt_days_json() as text and HTML for operators.
 *
 * Rule: the output has nothing that the JSON does not have; what is missing
 * there is shown as not known.
 */
#ifndef RT_PAGE_H
#define RT_PAGE_H

#include <stddef.h>

#include "base/ba_buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * rt_page_text() - append the report as text for a terminal
 * @mesh: name of the deployment
 *
 * Return: %BA_OK, or %WI_FRAME_GARBAGE if @json is not a report.
 */
int rt_page_text(const char *mesh, const char *json, size_t len,
		 struct ba_buf *out);

/**
 * rt_page_html() - append the report as one HTML file without scripts
 * @mesh: name of the deployment
 *
 * Return: %BA_OK, or %WI_FRAME_GARBAGE if @json is not a report.
 */
int rt_page_html(const char *mesh, const char *json, size_t len,
		 struct ba_buf *out);

#ifdef __cplusplus
}
#endif
#endif
