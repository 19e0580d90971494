#include <stdarg.h>

#include <glib.h>

#include "base/ba_problem.h"
#include "base/ba_result.h"

void ba_problem_add(struct ba_problems *p, int code, int line, const char *key,
		    const char *fmt, ...)
{
	struct ba_problem *problem;
	va_list ap;

	p->list = g_renew(struct ba_problem, p->list, p->n + 1);
	problem = &p->list[p->n++];
	problem->code = code;
	problem->line = line;
	problem->key = g_strdup(key);
	va_start(ap, fmt);
	problem->expected = g_strdup_vprintf(fmt, ap);
	va_end(ap);
}

void ba_problems_format(const struct ba_problems *p, struct ba_buf *out)
{
	for (size_t i = 0; i < p->n; i++) {
		const struct ba_problem *problem = &p->list[i];
		const struct ba_result_info *info =
			ba_result_info(problem->code);

		ba_buf_addf(out, "%s:%d: %s: %s (%s; %d %s)\n",
			    p->file ? p->file : "-", problem->line,
			    problem->key ? problem->key : "", info->text,
			    problem->expected, problem->code, info->name);
	}
}

void ba_problems_free(struct ba_problems *p)
{
	for (size_t i = 0; i < p->n; i++) {
		g_free(p->list[i].key);
		g_free(p->list[i].expected);
	}
	g_free(p->list);
	g_free(p->file);
	*p = (struct ba_problems){0};
}
