#include <stdio.h>
#include <time.h>

#include <glib.h>

#include "base/ba_result.h"
#include "ctl/ct.h"

static json_t *problems_json(const struct ba_problems *p);

int ct_fail(const struct ct *ct, int code, const char *where)
{
	const struct ba_result_info *info = ba_result_info(code);

	if (ct->json)
		ct_json_print(json_pack("{si ss ss ss ss}", "code", code,
					"name", info->name, "where", where,
					"text", info->text, "next_step",
					info->next_step));
	fprintf(stderr, "%s: %s %s (%d %s)\n", where, info->text,
		info->next_step, code, info->name);
	return code;
}

int ct_problems_print(const struct ct *ct, const struct ba_problems *p)
{
	struct ba_buf text = {0};

	if (!p->n)
		return BA_OK;
	if (ct->json)
		ct_json_print(json_pack("{si so}", "code", p->list[0].code,
					"problems", problems_json(p)));
	ba_problems_format(p, &text);
	fputs(ba_buf_text(&text), stderr);
	ba_buf_free(&text);
	fprintf(stderr, "%s\n", ba_result_info(p->list[0].code)->next_step);
	return p->list[0].code;
}

void ct_json_print(json_t *value)
{
	json_dumpf(value, stdout, JSON_INDENT(2) | JSON_REAL_PRECISION(6));
	putchar('\n');
	json_decref(value);
}

const char *ct_time_format(json_int_t ms, char *out, size_t size)
{
	time_t seconds = (time_t)(ms / 1000);
	char calendar[32];
	struct tm tm;

	if (!ms)
		return "-";
	gmtime_r(&seconds, &tm);
	strftime(calendar, sizeof(calendar), "%Y-%m-%d %H:%M:%S", &tm);
	g_snprintf(out, size, "%s.%03d", calendar, (int)(ms % 1000));
	return out;
}

static json_t *problems_json(const struct ba_problems *p)
{
	json_t *list = json_array();

	for (size_t i = 0; i < p->n; i++) {
		const struct ba_problem *problem = &p->list[i];
		const struct ba_result_info *info =
			ba_result_info(problem->code);

		json_array_append_new(
			list, json_pack("{ss? si ss? si ss ss ss?}", "file",
					p->file, "line", problem->line, "key",
					problem->key, "code", problem->code,
					"name", info->name, "text", info->text,
					"expected", problem->expected));
	}
	return list;
}
