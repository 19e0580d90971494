#include <stdio.h>

#include <glib.h>

#include "base/ba_digest.h"
#include "base/ba_result.h"
#include "ctl/ct.h"

enum {
	MAX_FILE_BYTES = 8 * 1024 * 1024,
	SUBMISSION_ID_BYTES = 16,
};

static int submit(struct ct *ct, CtKind kind);
static int resolve_base_version(struct ct *ct);
static char *new_submission_id(void);
static int send_submission(struct ct *ct, CtKind kind,
			   const struct ba_buf *text);
static int print_outcome(struct ct *ct, const CtOutcome *o);
static int print_refusal(struct ct *ct, const CtOutcome *o);

int ct_submit(struct ct *ct)
{
	return submit(ct, CT_KIND__CT_KIND_CONFIGURATION);
}

int ct_policy(struct ct *ct)
{
	return submit(ct, CT_KIND__CT_KIND_POLICY);
}

static int submit(struct ct *ct, CtKind kind)
{
	struct ba_buf text = {0};
	int code = ba_file_read(ct->args[0], MAX_FILE_BYTES, &text);

	if (code) {
		ct_fail(ct, code, ct->args[0]);
	} else {
		code = resolve_base_version(ct);
		if (!code)
			code = send_submission(ct, kind, &text);
	}
	ba_buf_free(&text);
	return code;
}

static int resolve_base_version(struct ct *ct)
{
	json_t *current;
	int code;

	if (ct->base_version >= 0)
		return BA_OK;
	code = ct_query_json(ct, "current", NULL, &current);
	if (code)
		return ct_fail(ct, code, "carawayctl submit");
	ct->base_version =
		json_integer_value(json_object_get(current, "version"));
	json_decref(current);
	return BA_OK;
}

static char *new_submission_id(void)
{
	uint8_t bytes[SUBMISSION_ID_BYTES];
	GString *s = g_string_new(NULL);

	ba_random_bytes(bytes, sizeof(bytes));
	for (size_t i = 0; i < sizeof(bytes); i++)
		g_string_append_printf(s, "%02x", bytes[i]);
	return g_string_free(s, FALSE);
}

static int send_submission(struct ct *ct, CtKind kind,
			   const struct ba_buf *text)
{
	CtSubmit m = CT_SUBMIT__INIT;
	CtOutcome *outcome;
	int code;

	if (!ct->submission_id)
		ct->submission_id = new_submission_id();
	m.submission_id = ct->submission_id;
	m.base_version = (uint64_t)ct->base_version;
	m.kind = kind;
	m.operator_ = ct->settings.operator_name;
	m.file_name = ct->args[0];
	m.text.data = text->data;
	m.text.len = text->len;
	code = ct_send_submission(ct, &m, &outcome);
	if (code) {
		ct_fail(ct, code, ct->args[0]);
		fprintf(stderr,
			"the outcome may be unknown; to learn it, submit the "
			"same file with --id %s --base %lld\n",
			ct->submission_id, (long long)ct->base_version);
		return code;
	}
	code = print_outcome(ct, outcome);
	ct_outcome__free_unpacked(outcome, NULL);
	return code;
}

static int print_outcome(struct ct *ct, const CtOutcome *o)
{
	if (o->code)
		return print_refusal(ct, o);
	if (ct->json)
		ct_json_print(json_pack("{si sI ss}", "code", 0, "version",
					(json_int_t)o->version, "submission_id",
					ct->submission_id));
	else
		printf("%s: accepted as version %llu; carawayctl status shows "
		       "where it is in force\n",
		       ct->args[0], (unsigned long long)o->version);
	return BA_OK;
}

static int print_refusal(struct ct *ct, const CtOutcome *o)
{
	struct ba_problems problems = {.file = g_strdup(ct->args[0])};
	int code = (int)o->code;

	for (size_t i = 0; i < o->n_problems; i++) {
		const CtProblem *p = o->problems[i];

		ba_problem_add(&problems, (int)p->code, (int)p->line, p->key,
			       "%s", p->expected);
	}
	if (problems.n)
		ct_problems_print(ct, &problems);
	else
		ct_fail(ct, code, ct->args[0]);
	if (code == RP_BASE_STALE)
		fprintf(stderr, "base %lld, current version %llu\n",
			(long long)ct->base_version,
			(unsigned long long)o->current);
	ba_problems_free(&problems);
	return code;
}
