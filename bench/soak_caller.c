#include <inttypes.h>
#include <string.h>

#include "bench/soak.h"
#include "test/platform_names.h"

enum {
	FRESH_ONE_IN = 8, /* requests that open a connection of their own */
	ORDER_ONE_IN = 4, /* requests that must not run twice */
};

#define CONNECT_TIMEOUT BA_SECOND

/* @request: in progress, or NULL while the connection is idle */
struct caller_conn {
	struct ht_conn_owner owner;
	struct ba_list link;
	struct ba_timer budget;
	struct soak_machine *machine;
	struct ht_conn *conn;
	struct soak_request *request;
	bool was_used;
};

static void on_arrival(struct ba_timer *t, ba_time now);
static struct caller_conn *find_idle(struct soak_machine *m);
static struct caller_conn *open_conn(struct soak_machine *m);
static void send_request(struct caller_conn *c, ba_time now);
static void on_head(struct ht_conn_owner *o, struct ht_conn *conn);
static void on_body(struct ht_conn_owner *o, struct ht_conn *conn,
		    const void *data, size_t len);
static void on_complete(struct ht_conn_owner *o, struct ht_conn *conn);
static void on_ended(struct ht_conn_owner *o, struct ht_conn *conn,
		     enum ht_end why);
static void on_budget(struct ba_timer *t, ba_time now);
static enum soak_outcome classify_answer(const struct soak_request *r,
					 const struct ht_head *h, ba_time now);
static enum soak_outcome classify_end(const struct soak_request *r,
				      enum ht_end why, ba_time now);
static enum soak_outcome classify_cut(const struct soak_request *r,
				      ba_time now);
static void end_request(struct caller_conn *c, enum soak_outcome o);
static void free_conn(struct caller_conn *c);

static const char *const outcome_names[SOAK_OUTCOMES] = {
	[SOAK_FAILED] = "failed",
	[SOAK_REPLACED] = "replaced",
	[SOAK_WRONG] = "WRONG",
	[SOAK_FALSE_REFUSAL] = "REFUSED but run",
	[SOAK_LATE] = "late",
	[SOAK_CUT] = "CUT",
	[SOAK_CUT_ALLOWED] = "cut, allowed",
	[SOAK_CUT_OTHER] = "cut without a stop of its proxy",
	[SOAK_CUT_UNCALM] = "cut near a crash",
};

void soak_callers_start(struct soak_machine *m)
{
	struct soak *s = m->soak;

	ba_list_init(&m->conns);
	m->arrival.fire = on_arrival;
	ba_loop_arm(s->loop, &m->arrival,
		    ba_loop_now(s->loop) + soak_exponential(&s->rand, s->rate));
}

static void on_arrival(struct ba_timer *t, ba_time now)
{
	struct soak_machine *m = ba_entry(t, struct soak_machine, arrival);
	struct soak *s = m->soak;
	struct caller_conn *c;

	if (!s->calling)
		return;
	c = find_idle(m);
	send_request(c ? c : open_conn(m), now);
	ba_loop_arm(s->loop, t, now + soak_exponential(&s->rand, s->rate));
}

static struct caller_conn *find_idle(struct soak_machine *m)
{
	struct ba_list *pos;

	if (!ba_rand_below(&m->soak->rand, FRESH_ONE_IN))
		return NULL;
	ba_list_each(pos, &m->conns)
	{
		struct caller_conn *c = ba_entry(pos, struct caller_conn, link);

		if (!c->request)
			return c;
	}
	return NULL;
}

static struct caller_conn *open_conn(struct soak_machine *m)
{
	struct caller_conn *c = g_new0(struct caller_conn, 1);
	struct soak *s = m->soak;

	c->machine = m;
	c->owner.head = on_head;
	c->owner.body = on_body;
	c->owner.complete = on_complete;
	c->owner.ended = on_ended;
	c->budget.fire = on_budget;
	ba_list_append(&m->conns, &c->link);
	c->conn = ht_conn_dial(s->loop, &m->process.at, SOAK_HEAD_LIMIT_BYTES,
			       &c->owner);
	ht_conn_set_deadline(c->conn, ba_loop_now(s->loop) + CONNECT_TIMEOUT);
	return c;
}

static void send_request(struct caller_conn *c, ba_time now)
{
	struct soak_machine *m = c->machine;
	struct soak *s = m->soak;
	struct soak_request *r = g_new0(struct soak_request, 1);
	const char *path;

	r->order = !ba_rand_below(&s->rand, ORDER_ONE_IN);
	path = r->order ? "order" : "long";
	g_snprintf(r->id, sizeof(r->id), "%s-%" PRIu64, m->name,
		   ++s->n_requests);
	r->machine = m;
	/* Uniform between 0.5 and 1.5 times the mean. */
	r->bytes = (size_t)s->mean_bytes / 2 +
		   ba_rand_below(&s->rand, (uint64_t)s->mean_bytes);
	r->sent_at = now;
	r->budget_end = now + s->budget;
	r->right = true;
	g_hash_table_insert(s->requests, r->id, r);
	c->request = r;
	if (c->was_used)
		ht_conn_read_next(c->conn);
	c->was_used = true;
	ba_buf_addf(
		ht_conn_out(c->conn),
		"GET /%s/%zu HTTP/1.1\r\nHost: soak.example\r\n" PN_ATTEMPT_ID
		": %s\r\n" PN_DEADLINE ": %" PRId64 "\r\n\r\n",
		path, r->bytes, r->id, s->budget / BA_MS);
	ht_conn_flush(c->conn);
	ba_loop_arm(s->loop, &c->budget, r->budget_end);
}

static void on_head(struct ht_conn_owner *o, struct ht_conn *conn)
{
	struct caller_conn *c = ba_entry(o, struct caller_conn, owner);
	const char *id = ht_head_get(ht_conn_head(conn), PN_ATTEMPT_ID);

	if (c->request && id && strcmp(id, c->request->id) != 0)
		c->request->right = false;
}

static void on_body(struct ht_conn_owner *o, struct ht_conn *conn,
		    const void *data, size_t len)
{
	struct caller_conn *c = ba_entry(o, struct caller_conn, owner);
	struct soak_request *r = c->request;
	uint8_t *expected;

	if (!r || ht_conn_head(conn)->status != 200)
		return;
	expected = g_malloc(len);
	soak_fill(r->id, r->read, expected, len);
	if (memcmp(expected, data, len) != 0)
		r->right = false;
	r->read += len;
	g_free(expected);
}

static void on_complete(struct ht_conn_owner *o, struct ht_conn *conn)
{
	struct caller_conn *c = ba_entry(o, struct caller_conn, owner);
	const struct ht_head *h = ht_conn_head(conn);

	if (c->request)
		end_request(c, classify_answer(
				       c->request, h,
				       ba_loop_now(c->machine->soak->loop)));
	if (!h->connection_close)
		return;
	ht_conn_abort(conn);
	free_conn(c);
}

static void on_ended(struct ht_conn_owner *o, struct ht_conn *conn,
		     enum ht_end why)
{
	struct caller_conn *c = ba_entry(o, struct caller_conn, owner);

	(void)conn;
	if (c->request)
		end_request(c,
			    classify_end(c->request, why,
					 ba_loop_now(c->machine->soak->loop)));
	free_conn(c);
}

static void on_budget(struct ba_timer *t, ba_time now)
{
	struct caller_conn *c = ba_entry(t, struct caller_conn, budget);

	(void)now;
	end_request(c, SOAK_LATE);
	ht_conn_abort(c->conn);
	free_conn(c);
}

static enum soak_outcome classify_answer(const struct soak_request *r,
					 const struct ht_head *h, ba_time now)
{
	enum soak_outcome cut;

	if (h->status == 200)
		return r->right && r->read == r->bytes &&
				       ht_head_get(h, PN_RESPONSE_STAMP)
			       ? SOAK_WHOLE
			       : SOAK_WRONG;
	if (h->status == 503 || h->status == 429 || h->status == 408 ||
	    h->status == 421)
		return r->order && r->worked_until ? SOAK_FALSE_REFUSAL
						   : SOAK_REFUSED;
	if (r->improper)
		return SOAK_FAILED;
	/* Its proxy may see that before the caller does. */
	if (now >= r->budget_end)
		return SOAK_LATE;
	cut = classify_cut(r, now);
	if (cut != SOAK_CUT || !r->worked_until)
		return SOAK_FAILED;
	return r->worked_until == BA_NEVER ? SOAK_CUT : SOAK_REPLACED;
}

static enum soak_outcome classify_end(const struct soak_request *r,
				      enum ht_end why, ba_time now)
{
	if (why == HT_END_CONNECT_FAILED)
		return SOAK_NOT_SENT;
	if (why == HT_END_MALFORMED || why == HT_END_HEAD_TOO_LARGE)
		return SOAK_WRONG;
	/* What had come of the answer was passed on. */
	if (r->improper)
		return SOAK_FAILED;
	if (!r->worked_until && now - r->sent_at <= SOAK_LOSS_SLACK)
		return SOAK_UNREAD;
	return classify_cut(r, now);
}

static enum soak_outcome classify_cut(const struct soak_request *r, ba_time now)
{
	const struct soak *s = r->machine->soak;
	ba_time stop = r->machine->process.terminated_at;

	if (s->crashed_at && s->crashed_at + SOAK_CALM_TIME > r->sent_at)
		return SOAK_CUT_UNCALM;
	if (!stop || now > stop + s->grace + BA_SECOND)
		return SOAK_CUT_OTHER;
	if (MIN(r->worked_until, now) >= stop + s->grace * 5 / 6 &&
	    r->sent_at <= stop + 3 * BA_SECOND)
		return SOAK_CUT_ALLOWED;
	return SOAK_CUT;
}

static void end_request(struct caller_conn *c, enum soak_outcome o)
{
	struct soak *s = c->machine->soak;
	struct soak_request *r = c->request;
	ba_time now = ba_loop_now(s->loop);
	ba_time stop = c->machine->process.terminated_at;

	s->outcomes[o]++;
	if (outcome_names[o])
		soak_log(s,
			 "%s: %s at %s, %zu of %zu bytes, %" PRId64
			 " ms after it was sent, %" PRId64
			 " ms after SIGTERM, work ended %" PRId64 " ms ago",
			 outcome_names[o], r->id,
			 r->endpoint ? r->endpoint : "none", r->read, r->bytes,
			 (now - r->sent_at) / BA_MS,
			 stop ? (now - stop) / BA_MS : -1,
			 r->worked_until && r->worked_until != BA_NEVER
				 ? (now - r->worked_until) / BA_MS
				 : -1);
	ba_loop_disarm(s->loop, &c->budget);
	g_hash_table_remove(s->requests, r->id);
	g_free(r);
	c->request = NULL;
}

static void free_conn(struct caller_conn *c)
{
	ba_list_remove(&c->link);
	ba_loop_disarm(c->machine->soak->loop, &c->budget);
	g_free(c);
}
