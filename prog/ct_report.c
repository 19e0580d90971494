#include <glib.h>

#include "base/ba_result.h"
#include "prog/ct.h"

int ct_report(struct ct *ct)
{
	json_t *report;
	int code = ct_query_json(ct, "report", ct->day, &report);

	if (code)
		return ct_fail(ct, code, "carawayctl report");
	ct_json_print(report);
	return BA_OK;
}
