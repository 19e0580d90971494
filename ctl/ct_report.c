#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "base/ba_result.h"
#include "ctl/ct.h"
#include "report/rt_page.h"

static int print_report(struct ct *ct, const CtAnswer *answer);
static int write_html(const struct ct *ct, const CtAnswer *answer);
static int verdict_code(const CtAnswer *answer);

int ct_report(struct ct *ct)
{
	CtAnswer *answer;
	int code = ct_query(ct, "report", ct->day, &answer);

	if (code)
		return ct_fail(ct, code, "carawayctl report");
	if (answer->code)
		code = ct_fail(ct, (int)answer->code, "carawayctl report");
	else
		code = print_report(ct, answer);
	ct_answer__free_unpacked(answer, NULL);
	return code;
}

static int print_report(struct ct *ct, const CtAnswer *answer)
{
	const char *json = (const char *)answer->json.data;
	struct ba_buf page = {0};
	int code = BA_OK;

	if (ct->json)
		ct_json_print(json_loadb(json, answer->json.len, 0, NULL));
	else
		code = rt_page_text(ct->settings.mesh_name, json,
				    answer->json.len, &page);
	if (!code)
		fputs(ba_buf_text(&page), stdout);
	ba_buf_free(&page);
	if (!code && ct->html_file)
		code = write_html(ct, answer);
	return code ? ct_fail(ct, code, "carawayctl report")
		    : verdict_code(answer);
}

static int write_html(const struct ct *ct, const CtAnswer *answer)
{
	struct ba_buf page = {0};
	int code = rt_page_html(ct->settings.mesh_name,
				(const char *)answer->json.data,
				answer->json.len, &page);

	if (!code &&
	    !g_file_set_contents(ct->html_file, (const char *)page.data,
				 (gssize)page.len, NULL))
		code = BA_FOLDER_UNWRITABLE;
	ba_buf_free(&page);
	return code;
}

/* A broken promise has an exit status of its own, so that scripts see it. */
static int verdict_code(const CtAnswer *answer)
{
	json_t *report = json_loadb((const char *)answer->json.data,
				    answer->json.len, 0, NULL);
	const char *verdict =
		json_string_value(json_object_get(report, "verdict"));
	int code = verdict && !strcmp(verdict, "broken") ? RT_PROMISE_BROKEN
							 : BA_OK;

	json_decref(report);
	return code;
}
