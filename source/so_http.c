#include <string.h>

#include "base/ba_digest.h"
#include "base/ba_event.h"
#include "base/ba_result.h"
#include "http/ht_service.h"
#include "source/so_http.h"

enum {
	HEAD_LIMIT_BYTES = 64 * 1024,
	BODY_LIMIT_BYTES = 32 * 1024 * 1024,
	ID_BYTES = RP_SUBMISSION_ID_BYTES + 1,
};

#define IDLE_TIMEOUT BA_MINUTE
#define OPERATOR "platform"

struct so_http {
	struct ht_service_owner owner;
	struct so_http_options o;
	struct ht_service *service;
};

/* struct order - a submission that waits for its outcome */
struct order {
	struct so_waiter waiter;
	struct so_source *source;
	struct ht_request *request;
};

static void on_request(struct ht_service_owner *o, struct ht_request *r);
static void on_gone(struct ht_service_owner *o, struct ht_request *r);
static void on_outcome(struct so_waiter *w, const CtOutcome *outcome);
static void send_elsewhere(struct so_source *s, struct ht_request *r);
static void take_read(struct so_http *h, struct ht_request *r);
static void take_submit(struct so_http *h, struct ht_request *r);
static bool is_accepted(const struct so_source *s, const char *id);
static int check(const struct so_source *s, const struct ba_buf *packed,
		 uint64_t base, struct ba_problems *problems);
static void submit(struct so_source *s, struct ht_request *r,
		   const struct ba_buf *packed, char *id);
static void answer(struct ht_request *r, int status, const char *fields);
static void answer_code(struct ht_request *r, int status, int code,
			const struct ba_problems *problems);

int so_http_new(struct ba_loop *loop, const struct so_http_options *o,
		struct so_http **out)
{
	const struct ht_service_options service = {
		.address = o->at,
		.head_limit = HEAD_LIMIT_BYTES,
		.body_limit = BODY_LIMIT_BYTES,
		.idle_timeout = IDLE_TIMEOUT,
	};
	struct so_http *h = g_new0(struct so_http, 1);

	h->owner.request = on_request;
	h->owner.cancelled = on_gone;
	h->o = *o;
	if (ht_service_new(loop, &service, &h->owner, &h->service)) {
		g_free(h);
		return BA_PORT_IN_USE;
	}
	*out = h;
	return BA_OK;
}

void so_http_free(struct so_http *h)
{
	if (!h)
		return;
	ht_service_free(h->service);
	g_free(h);
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
	else if (rp_core_proposal_error(rp_node_core(s->node),
					ba_loop_now(s->loop)))
		send_elsewhere(s, r);
	else if (call == SO_CALL_READ)
		take_read(h, r);
	else
		take_submit(h, r);
}

/* The submission goes on; its outcome is there for whoever sends it again. */
static void on_gone(struct ht_service_owner *o, struct ht_request *r)
{
	struct order *order = r->context;

	(void)o;
	if (!order)
		return;
	so_submit_forget(order->source, &order->waiter);
	g_free(order);
}

static void on_outcome(struct so_waiter *w, const CtOutcome *outcome)
{
	struct order *order = ba_entry(w, struct order, waiter);
	struct ht_request *r = order->request;
	int code = (int)outcome->code;

	ba_event(code ? RP_EV_SUBMISSION_REFUSED : RP_EV_ACCEPTED,
		 "operator=" OPERATOR " code=%d version=%llu current=%llu",
		 code, (unsigned long long)outcome->version,
		 (unsigned long long)outcome->current);
	r->context = NULL;
	g_free(order);
	if (!code)
		answer(r, 200, "");
	else
		answer_code(r, code == RP_BASE_STALE ? 412 : 503, code, NULL);
}

/* To the leader, when it is known. */
static void send_elsewhere(struct so_source *s, struct ht_request *r)
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

static void take_read(struct so_http *h, struct ht_request *r)
{
	const struct cf_snapshot *current =
		rp_machine_current(rp_node_machine(h->o.source->node));
	struct ba_buf body = {0};

	if (!current->revision) {
		answer_code(r, 503, CL_NOT_CONFIGURED, NULL);
		return;
	}
	h->o.dialect->write_configuration(current, &body);
	ht_request_answer(r, 200, "", "application/json", &body);
	ba_buf_free(&body);
}

static void take_submit(struct so_http *h, struct ht_request *r)
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
	code = check(s, &packed, base, &problems);
	if (code == RP_BASE_STALE)
		answer_code(r, 412, code, NULL);
	else if (code)
		answer_code(r, 400, code, &problems);
	else
		submit(s, r, &packed, id);
out:
	ba_problems_free(&problems);
	ba_buf_free(&packed);
}

/* The first outcome of an order is its outcome for good. */
static bool is_accepted(const struct so_source *s, const char *id)
{
	CtOutcome *known = rp_machine_outcome(rp_node_machine(s->node), id);
	bool accepted = known && !known->code;

	if (known)
		ct_outcome__free_unpacked(known, NULL);
	return accepted;
}

/* Whether it would be accepted now; what is wrong is told to nobody else. */
static int check(const struct so_source *s, const struct ba_buf *packed,
		 uint64_t base, struct ba_problems *problems)
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

static void submit(struct so_source *s, struct ht_request *r,
		   const struct ba_buf *packed, char *id)
{
	struct order *order = g_new0(struct order, 1);
	CtSubmit m = CT_SUBMIT__INIT;

	order->waiter.outcome = on_outcome;
	order->source = s;
	order->request = r;
	r->context = order;
	m.submission_id = id;
	m.base_version = rp_machine_current(rp_node_machine(s->node))->version;
	m.kind = CT_KIND__CT_KIND_SNAPSHOT;
	m.operator_ = OPERATOR;
	m.text.data = packed->data;
	m.text.len = packed->len;
	so_submit(s, &order->waiter, &m);
}

static void answer(struct ht_request *r, int status, const char *fields)
{
	const struct ba_buf none = {0};

	ht_request_answer(r, status, fields, "", &none);
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
	ht_request_answer(r, status, "", "application/json", &body);
	ba_buf_free(&body);
}
