#include <stdlib.h>
#include <string.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "source/so.h"

enum {
	DEFAULT_HISTORY_VERSIONS = 100,
	DAY_BYTES = 10, /* YYYY-MM-DD */
};

/*
 * A command of CtQuery; @answer fills in the JSON and snapshot of CtAnswer.
 * With @needs_log it is about the log, which a replica that has just started
 * has not applied yet.
 */
struct command {
	const char *name;
	bool needs_log;
	int (*answer)(struct so_source *s, const char *argument,
		      struct ba_buf *json, struct ba_buf *snapshot);
};

static void on_outcome(struct so_waiter *w, const CtOutcome *outcome);
static int handle_submit(struct so_conn *c, const struct wi_frame *f);
static int handle_query(struct so_conn *c, const struct wi_frame *f);
static int answer_status(struct so_source *s, const char *argument,
			 struct ba_buf *json, struct ba_buf *snapshot);
static int answer_current(struct so_source *s, const char *argument,
			  struct ba_buf *json, struct ba_buf *snapshot);
static int answer_history(struct so_source *s, const char *argument,
			  struct ba_buf *json, struct ba_buf *snapshot);
static int answer_report(struct so_source *s, const char *argument,
			 struct ba_buf *json, struct ba_buf *snapshot);
static void send_refusal(struct so_conn *c, int code);
static void log_outcome(const struct so_conn *c, const CtOutcome *outcome);

static const struct command commands[] = {
	{"status", false, answer_status},
	{"current", true, answer_current},
	{"history", true, answer_history},
	{"report", true, answer_report},
};

int so_operator_handle_frame(struct so_conn *c, const struct wi_frame *f)
{
	if (f->type == CT_SUBMIT)
		return handle_submit(c, f);
	if (f->type == CT_QUERY)
		return handle_query(c, f);
	return WI_FRAME_UNKNOWN;
}

/* Until it has caught up with a leader once, the log may be known in part. */
int so_operator_answer(struct so_source *s, const CtQuery *q,
		       struct ba_buf *json, struct ba_buf *snapshot)
{
	const struct rp_core *core = rp_node_core(s->node);
	bool caught_up = rp_core_up_to_date_at(core, ba_loop_now(s->loop));

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, q->command) != 0)
			continue;
		if (commands[i].needs_log && !caught_up)
			return RP_NO_QUORUM;
		return commands[i].answer(s,
					  q->n_arguments ? q->arguments[0] : "",
					  json, snapshot);
	}
	return BA_USAGE;
}

void so_operator_closed(struct so_conn *c)
{
	so_submit_cancel(c->source, &c->waiter);
}

static void on_outcome(struct so_waiter *w, const CtOutcome *outcome)
{
	struct so_conn *c = ba_entry(w, struct so_conn, waiter);

	log_outcome(c, outcome);
	wi_send(c->session, CT_OUTCOME, &outcome->base);
}

/*
 * The operator's name is that of the authenticated session; the name in the
 * frame is ignored.
 */
static int handle_submit(struct so_conn *c, const struct wi_frame *f)
{
	CtSubmit *m = (CtSubmit *)wi_frame_unpack(f, &ct_submit__descriptor);
	CtSubmit submit;

	if (!m)
		return WI_FRAME_GARBAGE;
	if (c->waiter.token) {
		send_refusal(c, WI_QUEUE_FULL);
	} else if (m->text.len > SO_SUBMISSION_TEXT_LIMIT_BYTES) {
		send_refusal(c, WI_FRAME_TOO_LARGE);
	} else {
		submit = *m;
		submit.operator_ = wi_session_peer(c->session)->operator_name;
		c->waiter.outcome = on_outcome;
		so_submit(c->source, &c->waiter, &submit);
	}
	ct_submit__free_unpacked(m, NULL);
	return BA_OK;
}

static int handle_query(struct so_conn *c, const struct wi_frame *f)
{
	CtQuery *q = (CtQuery *)wi_frame_unpack(f, &ct_query__descriptor);
	CtAnswer answer = CT_ANSWER__INIT;
	struct ba_buf json = {0};
	struct ba_buf snapshot = {0};
	int leader = rp_core_leader(rp_node_core(c->source->node));
	int code;

	if (!q)
		return WI_FRAME_GARBAGE;
	code = so_operator_answer(c->source, q, &json, &snapshot);
	if (leader != RP_NO_PEER && leader != c->source->self)
		answer.leader = (char *)c->source->addresses[leader];
	answer.code = (uint32_t)code;
	answer.json.data = json.data;
	answer.json.len = json.len;
	answer.snapshot.data = snapshot.data;
	answer.snapshot.len = snapshot.len;
	wi_send(c->session, CT_ANSWER, &answer.base);
	ba_buf_free(&json);
	ba_buf_free(&snapshot);
	ct_query__free_unpacked(q, NULL);
	return BA_OK;
}

static int answer_status(struct so_source *s, const char *argument,
			 struct ba_buf *json, struct ba_buf *snapshot)
{
	(void)argument;
	(void)snapshot;
	so_status_json(s, json);
	return BA_OK;
}

static int answer_current(struct so_source *s, const char *argument,
			  struct ba_buf *json, struct ba_buf *snapshot)
{
	(void)argument;
	so_current_json(s, json);
	cf_snapshot_encode(rp_machine_current(rp_node_machine(s->node)),
			   CF_FORM_DIGESTS, snapshot);
	return BA_OK;
}

static int answer_history(struct so_source *s, const char *argument,
			  struct ba_buf *json, struct ba_buf *snapshot)
{
	char *end = NULL;
	long limit = DEFAULT_HISTORY_VERSIONS;

	(void)snapshot;
	if (*argument) {
		limit = strtol(argument, &end, 10);
		if (*end || limit < 1)
			return BA_USAGE;
	}
	so_history_json(s, (size_t)limit, json);
	return BA_OK;
}

static int answer_report(struct so_source *s, const char *argument,
			 struct ba_buf *json, struct ba_buf *snapshot)
{
	const struct rp_machine *m = rp_node_machine(s->node);

	(void)snapshot;
	if (strlen(argument) > DAY_BYTES)
		return RT_DAY_UNKNOWN;
	return rt_days_json(rp_machine_days(m), rp_machine_current(m), argument,
			    ba_clock_wall(), json);
}

static void send_refusal(struct so_conn *c, int code)
{
	CtOutcome outcome = CT_OUTCOME__INIT;

	outcome.code = (uint32_t)code;
	wi_send(c->session, CT_OUTCOME, &outcome.base);
}

static void log_outcome(const struct so_conn *c, const CtOutcome *outcome)
{
	const char *name = wi_session_peer(c->session)->operator_name;

	if (outcome->code)
		ba_event(
			RP_EV_SUBMISSION_REFUSED,
			"operator=%s code=%u reason=%s problems=%zu current=%llu",
			name, outcome->code,
			ba_result_info((int)outcome->code)->name,
			outcome->n_problems,
			(unsigned long long)outcome->current);
	else
		ba_event(RP_EV_ACCEPTED, "operator=%s version=%llu", name,
			 (unsigned long long)outcome->version);
}
