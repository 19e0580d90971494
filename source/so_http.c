#include <string.h>

#include "base/ba_digest.h"
#include "base/ba_event.h"
#include "base/ba_result.h"
#include "http/ht_service.h"
#include "source/so_http.h"
#include "source/so_judge.h"

enum {
	HEAD_LIMIT_BYTES = 64 * 1024,
	BODY_LIMIT_BYTES = 32 * 1024 * 1024,
	MAX_CONNECTIONS = 512,
	ID_BYTES = RP_SUBMISSION_ID_BYTES + 1,
};

#define IDLE_TIMEOUT BA_MINUTE

/* Operator name given to all submissions over HTTP. */
#define OPERATOR "platform"

struct so_http {
	struct ht_service_owner owner;
	struct so_http_options o;
	struct ht_service *service;
	struct ba_account *memory;
};

/* struct pending_submission - a request that waits for an outcome */
struct pending_submission {
	struct so_waiter waiter;
	struct so_source *source;
	struct ht_request *request;
};

static void on_request(struct ht_service_owner *o, struct ht_request *r);
static void on_cancelled(struct ht_service_owner *o, struct ht_request *r);
static void on_outcome(struct so_waiter *w, const CtOutcome *outcome);
static void redirect_to_leader(struct so_source *s, struct ht_request *r);
static void handle_read(struct so_http *h, struct ht_request *r);
static void handle_submit(struct so_http *h, struct ht_request *r);
static void handle_rollout_order(struct so_http *h, struct ht_request *r);
static int check_order(const struct so_source *s, const struct cf_rollout *o,
		       bool *repeated);
static void handle_rollout_read(struct so_http *h, struct ht_request *r);
static bool is_accepted(const struct so_source *s, const char *id);
static int check_submission(const struct so_source *s,
			    const struct ba_buf *packed, uint64_t base,
			    struct ba_problems *problems);
static void start_submission(struct so_source *s, struct ht_request *r,
			     CtKind kind, const struct ba_buf *packed,
			     char *id);
static void answer(struct ht_request *r, int status, const char *fields);
static void answer_code(struct ht_request *r, int status, int code,
			const struct ba_problems *problems);

int so_http_new(struct ba_loop *loop, const struct so_http_options *o,
		struct so_http **out)
{
	struct so_http *h = g_new0(struct so_http, 1);
	struct ba_account *memory = ba_account_new((uint64_t)o->memory);
	const struct ht_service_options service = {
		.address = o->address,
		.head_limit = HEAD_LIMIT_BYTES,
		.body_limit = BODY_LIMIT_BYTES,
		.idle_timeout = IDLE_TIMEOUT,
		.max_connections = MAX_CONNECTIONS,
		.account = memory,
	};

	h->owner.request = on_request;
	h->owner.cancelled = on_cancelled;
	h->o = *o;
	h->memory = memory;
	if (ht_service_new(loop, &service, &h->owner, &h->service)) {
		ba_account_unref(memory);
		g_free(h);
		return BA_PORT_IN_USE;
	}
	o->source->http = h;
	*out = h;
	return BA_OK;
}

void so_http_free(struct so_http *h)
{
	if (!h)
		return;
	h->o.source->http = NULL;
	ht_service_free(h->service);
	ba_account_unref(h->memory);
	g_free(h);
}

void so_http_stop_listening(struct so_http *h)
{
	ht_service_stop_listening(h->service);
}

bool so_http_is_unfinished(const struct so_http *h, uint64_t *progress)
{
	return ht_service_is_unfinished(h->service, progress);
}

static void on_request(struct ht_service_owner *o, struct ht_request *r)
{
	struct so_http *h = (struct so_http *)o;
	struct so_source *s = h->o.source;
	enum so_call call = h->o.dialect->read_call(r->head->method,
						    ht_head_target(r->head));

	if (call == SO_CALL_UNKNOWN)
		answer(r, 404, "");
	else if (r->body_truncated)
		answer(r, 413, "");
	else if (so_lease_error(s))
		redirect_to_leader(s, r);
	else if (call == SO_CALL_READ)
		handle_read(h, r);
	else if (call == SO_CALL_ROLLOUT_ORDER)
		handle_rollout_order(h, r);
	else if (call == SO_CALL_ROLLOUT_READ)
		handle_rollout_read(h, r);
	else
		handle_submit(h, r);
}

/*
 * The submission itself goes on; a client that sends it again gets its outcome.
 */
static void on_cancelled(struct ht_service_owner *o, struct ht_request *r)
{
	struct pending_submission *pending = r->context;

	(void)o;
	if (!pending)
		return;
	so_submit_cancel(pending->source, &pending->waiter);
	g_free(pending);
}

static void on_outcome(struct so_waiter *w, const CtOutcome *outcome)
{
	struct pending_submission *pending =
		ba_entry(w, struct pending_submission, waiter);
	struct ht_request *r = pending->request;
	int code = (int)outcome->code;
	int status = code == RP_BASE_STALE ? 412 : 503;

	if (code == RP_ROLLOUT_IN_PROGRESS)
		status = 409;
	else if (code == RP_SERVICE_UNKNOWN)
		status = 404;
	ba_event(code ? RP_EV_SUBMISSION_REFUSED : RP_EV_ACCEPTED,
		 "operator=" OPERATOR " code=%d version=%llu current=%llu",
		 code, (unsigned long long)outcome->version,
		 (unsigned long long)outcome->current);
	r->context = NULL;
	g_free(pending);
	if (!code)
		answer(r, 200, "");
	else
		answer_code(r, status, code, NULL);
}

static void redirect_to_leader(struct so_source *s, struct ht_request *r)
{
	int leader = rp_core_leader(rp_node_core(s->node));
	char *location;

	if (leader == RP_NO_PEER || leader == s->self) {
		answer_code(r, 503, RP_NO_QUORUM, NULL);
		return;
	}
	location = g_strdup_printf("Location: http://%s%s\r\n",
				   s->names[leader], ht_head_target(r->head));
	answer(r, 307, location);
	g_free(location);
}

static void handle_read(struct so_http *h, struct ht_request *r)
{
	const struct cf_snapshot *current =
		rp_machine_current(rp_node_machine(h->o.source->node));
	struct ba_buf body = {0};

	if (!current->revision) {
		answer_code(r, 503, CL_NOT_CONFIGURED, NULL);
		return;
	}
	h->o.dialect->write_configuration(current, &body);
	/* A large configuration takes a while to write. */
	if (so_lease_error(h->o.source))
		answer_code(r, 503, RP_NO_QUORUM, NULL);
	else
		ht_request_answer_whole(r, 200, "", "application/json", &body);
	ba_buf_free(&body);
}

static void handle_submit(struct so_http *h, struct ht_request *r)
{
	const struct so_dialect *d = h->o.dialect;
	struct so_source *s = h->o.source;
	struct ba_problems problems = {0};
	struct ba_buf packed = {0};
	struct ba_digest digest;
	char hex[17];
	char id[ID_BYTES];
	uint64_t base = 0;
	int code;

	if (!d->read_base(r->head, &base) ||
	    !d->read_configuration(r->body.data, r->body.len, &packed,
				   &problems)) {
		answer_code(r, 400, CF_ENCODING_WRONG, &problems);
		goto out;
	}
	digest = ba_digest(packed.data, packed.len);
	ba_digest_hex(&digest, hex);
	g_snprintf(id, sizeof(id), "%llx-%s", (unsigned long long)base, hex);
	if (is_accepted(s, id)) {
		answer(r, 200, "");
		goto out;
	}
	code = check_submission(s, &packed, base, &problems);
	if (code == RP_BASE_STALE)
		answer_code(r, 412, code, NULL);
	else if (code)
		answer_code(r, 400, code, &problems);
	else
		start_submission(s, r, CT_KIND__CT_KIND_SNAPSHOT, &packed, id);
out:
	ba_problems_free(&problems);
	ba_buf_free(&packed);
}

/*
 * The id names the order before, so that a new attempt with a version that was
 * rolled back is not taken for its repetition.
 */
static void handle_rollout_order(struct so_http *h, struct ht_request *r)
{
	struct so_source *s = h->o.source;
	struct ba_problems problems = {0};
	struct ba_buf packed = {0};
	struct cf_rollout o = {0};
	struct ba_digest digest;
	const struct cf_rollout *last;
	void *keep = NULL;
	char hex[17];
	char id[ID_BYTES];
	bool repeated;
	int code;

	if (!h->o.dialect->read_order(r->body.data, r->body.len, &packed,
				      &problems) ||
	    !cf_rollout_decode(packed.data, packed.len, &o, &keep)) {
		answer_code(r, 400, CF_ENCODING_WRONG, &problems);
		goto out;
	}
	code = check_order(s, &o, &repeated);
	if (code || repeated) {
		answer_code(r, code ? ba_result_info(code)->http_status : 200,
			    code, NULL);
		goto out;
	}
	last = cf_rollout_find(rp_machine_current(rp_node_machine(s->node)),
			       o.service);
	o.share = SO_ROLLOUT_FIRST_SHARE;
	packed.len = 0;
	cf_rollout_encode(&o, &packed);
	digest = ba_digest(packed.data, packed.len);
	ba_digest_hex(&digest, hex);
	g_snprintf(id, sizeof(id), "rollout-%llx-%s",
		   (unsigned long long)(last ? last->order : 0), hex);
	start_submission(s, r, CT_KIND__CT_KIND_ROLLOUT, &packed, id);
out:
	cf_rollout_release(keep);
	ba_problems_free(&problems);
	ba_buf_free(&packed);
}

static int check_order(const struct so_source *s, const struct cf_rollout *o,
		       bool *repeated)
{
	const struct cf_snapshot *current =
		rp_machine_current(rp_node_machine(s->node));
	struct cf_rollout order = *o;
	enum cf_order_verdict v;

	order.ordered_at = ba_clock_wall();
	v = cf_rollout_judge_order(cf_rollout_find(current, o->service),
				   &order);
	*repeated = v == CF_ORDER_REPEATS;
	if (v == CF_ORDER_WAITS)
		return RP_ROLLOUT_IN_PROGRESS;
	if (!*repeated && cf_service_find(current, o->service) == CF_NO_SERVICE)
		return RP_SERVICE_UNKNOWN;
	return BA_OK;
}

static void handle_rollout_read(struct so_http *h, struct ht_request *r)
{
	struct so_source *s = h->o.source;
	char service[CF_NAME_BYTES + 1];
	const struct cf_rollout *last = NULL;
	struct ba_buf body = {0};

	if (h->o.dialect->read_rollout_service(ht_head_target(r->head),
					       service))
		last = cf_rollout_find(
			rp_machine_current(rp_node_machine(s->node)), service);
	if (!last) {
		answer_code(r, 404, RP_SERVICE_UNKNOWN, NULL);
		return;
	}
	h->o.dialect->write_rollout(last, &body);
	ht_request_answer_whole(r, 200, "", "application/json", &body);
	ba_buf_free(&body);
}

/* The first outcome of a submission id is final. */
static bool is_accepted(const struct so_source *s, const char *id)
{
	CtOutcome *known = rp_machine_outcome(rp_node_machine(s->node), id);
	bool accepted = known && !known->code;

	if (known)
		ct_outcome__free_unpacked(known, NULL);
	return accepted;
}

/*
 * Checks whether the submission would be accepted now.  The problems found are
 * reported to the client of this request only.
 */
static int check_submission(const struct so_source *s,
			    const struct ba_buf *packed, uint64_t base,
			    struct ba_problems *problems)
{
	const struct cf_snapshot *current =
		rp_machine_current(rp_node_machine(s->node));
	struct cf_snapshot *next = NULL;
	int code = cf_snapshot_decode_submission(packed->data, packed->len,
						 current, current->version + 1,
						 &next, problems);

	if (!code && base != current->revision)
		code = RP_BASE_STALE;
	if (!code && next->revision <= current->revision) {
		ba_problem_add(problems, CF_VERSION_OLDER, 0, "version",
			       "above the current one, %llu",
			       (unsigned long long)current->revision);
		code = CF_VERSION_OLDER;
	}
	cf_snapshot_unref(next);
	return code;
}

static void start_submission(struct so_source *s, struct ht_request *r,
			     CtKind kind, const struct ba_buf *packed, char *id)
{
	struct pending_submission *pending =
		g_new0(struct pending_submission, 1);
	CtSubmit m = CT_SUBMIT__INIT;

	pending->waiter.outcome = on_outcome;
	pending->source = s;
	pending->request = r;
	r->context = pending;
	m.submission_id = id;
	m.base_version = rp_machine_current(rp_node_machine(s->node))->version;
	m.kind = kind;
	m.operator_ = OPERATOR;
	m.text.data = packed->data;
	m.text.len = packed->len;
	so_submit(s, &pending->waiter, &m);
}

static void answer(struct ht_request *r, int status, const char *fields)
{
	const struct ba_buf none = {0};

	ht_request_answer_whole(r, status, fields, "", &none);
}

static void answer_code(struct ht_request *r, int status, int code,
			const struct ba_problems *problems)
{
	struct ba_buf body = {0};

	ba_buf_addf(&body, "{");
	ba_result_json(code, &body);
	for (size_t i = 0; problems && i < problems->n; i++) {
		char *expected = g_strescape(problems->list[i].expected, NULL);

		ba_buf_addf(&body, "%s{\"key\":\"%s\",\"expected\":\"%s\"}",
			    i ? "," : ",\"problems\":[",
			    problems->list[i].key ? problems->list[i].key : "",
			    expected);
		g_free(expected);
	}
	ba_buf_addf(&body, "%s}\n", problems && problems->n ? "]" : "");
	ht_request_answer_whole(r, status, "", "application/json", &body);
	ba_buf_free(&body);
}
