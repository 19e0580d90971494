#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/ba_digest.h"
#include "base/ba_result.h"
#include "bench/soak.h"
#include "test/platform_names.h"

#define HEARTBEAT_PERIOD (500 * BA_MS)

/* Requests of which a backend server in trouble refuses one. */
enum { REFUSED_ONE_IN = 16 };

/*
 * What follows the first line, the id and the stamp of an improper answer.
 * @ends: the connection is closed after it
 */
static const struct {
	const char *line;
	const char *rest;
	bool ends;
} improper_answers[] = {
	{"HTTP/1.1 000 X", "Content-Length: 4\r\n\r\nbody", false},
	{"HTTP/1.1 0200 OK", "Content-Length: 4\r\n\r\nbody", false},
	{"HTTP/1.1 200 OK", "X A: v\r\nContent-Length: 4\r\n\r\nbody", false},
	{"HTTP/1.1 200 OK", "X\001A: v\r\nContent-Length: 4\r\n\r\nbody",
	 false},
	{"HTTP/1.1 200 OK",
	 "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
	{"HTTP/1.1 200 OK", "Transfer-Encoding: gzip\r\n\r\nbody", true},
	{"HTTP/1.1 200 OK",
	 "Transfer-Encoding: chunked\r\n\r\n4\r\nbodyXX0\r\n\r\n", false},
	{"HTTP/1.1 200 OK",
	 "Transfer-Encoding: chunked\r\n\r\n0\r\nX A: v\r\n\r\n", false},
	{"HTTP/1.1 200 OK",
	 "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody", true},
	{"HTTP/1.1 200 OK",
	 PN_ATTEMPT_ID ": other\r\nContent-Length: 4\r\n\r\nbody", false},
	{"HTTP/1.1 200 OK", "Content-Len", true},
	{"HTTP/1.1 200 OK", "Content-Length: 9\r\n\r\nbody", true},
};

/* @refused: id of a request that was refused on it, or "" */
struct backend_conn {
	struct ht_conn_owner owner;
	struct ba_timer work;
	struct soak_machine *machine;
	struct ht_conn *conn;
	char id[SOAK_ID_BYTES];
	char refused[SOAK_ID_BYTES];
	bool working;
	bool fails;
};

struct heartbeat {
	struct soak_call call;
	struct soak_machine *machine;
};

static void on_accept(struct ht_acceptor *a, int fd);
static void on_complete(struct ht_conn_owner *o, struct ht_conn *conn);
static bool is_refused(struct soak_machine *m);
static void refuse(struct backend_conn *c, const char *id,
		   const struct soak_request *r);
static void write_refusal(struct backend_conn *c, const char *id,
			  const struct soak_request *r);
static void begin_work(struct soak *s, struct soak_machine *m,
		       struct soak_request *r);
static bool answer_improperly(struct backend_conn *c, struct soak_request *r);
static void on_ended(struct ht_conn_owner *o, struct ht_conn *conn,
		     enum ht_end why);
static void on_work_end(struct ba_timer *t, ba_time now);
static void end_work(struct backend_conn *c);
static void on_heartbeat_timer(struct ba_timer *t, ba_time now);
static void on_heartbeat_done(struct soak_call *call);

int soak_backend_start(struct soak_machine *m)
{
	m->backend_acceptor.accept = on_accept;
	m->heartbeat.fire = on_heartbeat_timer;
	m->start_wall_ms = ba_clock_wall() / BA_MS;
	ba_loop_arm(m->soak->loop, &m->heartbeat, ba_loop_now(m->soak->loop));
	return ht_listen(m->soak->loop, &m->backend, &m->backend_acceptor,
			 &m->backend_listener);
}

void soak_fill(const char *id, size_t from, uint8_t *out, size_t len)
{
	uint64_t start = ba_hash(id, strlen(id), 0);

	for (size_t i = 0; i < len; i++)
		out[i] = (uint8_t)('a' + (start + from + i) % 23);
}

static void on_accept(struct ht_acceptor *a, int fd)
{
	struct backend_conn *c = g_new0(struct backend_conn, 1);

	c->machine = ba_entry(a, struct soak_machine, backend_acceptor);
	c->owner.complete = on_complete;
	c->owner.ended = on_ended;
	c->work.fire = on_work_end;
	c->conn = ht_conn_serve(c->machine->soak->loop, fd,
				SOAK_HEAD_LIMIT_BYTES, &c->owner);
}

static void on_complete(struct ht_conn_owner *o, struct ht_conn *conn)
{
	struct backend_conn *c = ba_entry(o, struct backend_conn, owner);
	struct soak_machine *m = c->machine;
	struct soak *s = m->soak;
	const char *id = ht_head_get(ht_conn_head(conn), PN_ATTEMPT_ID);
	struct soak_request *r =
		id ? g_hash_table_lookup(s->requests, id) : NULL;
	ba_time now = ba_loop_now(s->loop);

	soak_limit_on_arrival(m, r);
	if (is_refused(m)) {
		refuse(c, id ? id : "", r);
		return;
	}
	if (s->improper_one_in && *c->refused && ba_rand_below(&s->rand, 2)) {
		s->n_refusals_again++;
		write_refusal(c, c->refused, r);
		ht_conn_flush(conn);
	}
	c->working = true;
	g_strlcpy(c->id, id ? id : "", sizeof(c->id));
	begin_work(s, m, r);
	c->fails = soak_rollout_on_work(m);
	ba_loop_arm(s->loop, &c->work,
		    now + s->work_time / 2 +
			    (ba_time)ba_rand_below(&s->rand,
						   (uint64_t)s->work_time));
}

static bool is_refused(struct soak_machine *m)
{
	struct soak *s = m->soak;

	return m->in_flight >= s->slots ||
	       (s->improper_one_in && !ba_rand_below(&s->rand, REFUSED_ONE_IN));
}

static void refuse(struct backend_conn *c, const char *id,
		   const struct soak_request *r)
{
	g_strlcpy(c->refused, id, sizeof(c->refused));
	write_refusal(c, id, r);
	ht_conn_flush(c->conn);
	ht_conn_read_next(c->conn);
}

static void write_refusal(struct backend_conn *c, const char *id,
			  const struct soak_request *r)
{
	struct ba_buf *out = ht_conn_out(c->conn);

	ba_buf_addf(out, "HTTP/1.1 503 Full\r\n" PN_NOT_EXECUTED
			 ": full\r\nContent-Length: 0\r\n");
	if (c->machine->soak->improper_one_in)
		ba_buf_addf(out, PN_ATTEMPT_ID ": %s\r\n", id);
	soak_limit_write(c->machine, r, out);
	ba_buf_addf(out, "\r\n");
}

static void begin_work(struct soak *s, struct soak_machine *m,
		       struct soak_request *r)
{
	m->in_flight++;
	if (!r)
		return;
	if (r->order && r->worked_until) {
		s->n_twice++;
		soak_log(s, "order %s ran at %s and at %s", r->id, r->endpoint,
			 m->name);
	}
	r->endpoint = m->name;
	r->worked_until = BA_NEVER;
	r->improper = false;
}

static void on_ended(struct ht_conn_owner *o, struct ht_conn *conn,
		     enum ht_end why)
{
	struct backend_conn *c = ba_entry(o, struct backend_conn, owner);

	(void)conn;
	(void)why;
	if (c->working)
		end_work(c);
	ba_loop_disarm(c->machine->soak->loop, &c->work);
	g_free(c);
}

static void on_work_end(struct ba_timer *t, ba_time now)
{
	struct backend_conn *c = ba_entry(t, struct backend_conn, work);
	const char *target = ht_head_target(ht_conn_head(c->conn));
	const char *slash = strrchr(target, '/');
	size_t bytes = slash ? strtoul(slash + 1, NULL, 10) : 0;
	struct ba_buf *out = ht_conn_out(c->conn);
	struct soak_request *r;

	(void)now;
	end_work(c);
	r = g_hash_table_lookup(c->machine->soak->requests, c->id);
	if (answer_improperly(c, r))
		return;
	if (c->fails) {
		ba_buf_addf(out,
			    "HTTP/1.1 500 Bad version\r\n" PN_ATTEMPT_ID
			    ": %s\r\n" PN_RESPONSE_STAMP
			    ": soak.%s\r\nContent-Length: 0\r\n\r\n",
			    c->id, c->id);
		ht_conn_flush(c->conn);
		ht_conn_read_next(c->conn);
		return;
	}
	ba_buf_addf(out,
		    "HTTP/1.1 200 OK\r\n" PN_ATTEMPT_ID
		    ": %s\r\n" PN_RESPONSE_STAMP ": soak.%s\r\n"
		    "Content-Length: %zu\r\n",
		    c->id, c->id, bytes);
	soak_limit_write(c->machine, r, out);
	ba_buf_addf(out, "\r\n");
	ba_buf_reserve(out, bytes);
	soak_fill(c->id, 0, out->data + out->len, bytes);
	out->len += bytes;
	ht_conn_flush(c->conn);
	ht_conn_read_next(c->conn);
}

/* Return: whether the answer was an improper one; @c may be gone then. */
static bool answer_improperly(struct backend_conn *c, struct soak_request *r)
{
	struct soak *s = c->machine->soak;
	struct ht_conn *conn = c->conn;
	size_t i;

	if (!s->improper_one_in ||
	    ba_rand_below(&s->rand, (uint64_t)s->improper_one_in) != 0)
		return false;
	i = ba_rand_below(&s->rand, G_N_ELEMENTS(improper_answers));
	s->n_improper++;
	if (r)
		r->improper = true;
	ba_buf_addf(ht_conn_out(conn),
		    "%s\r\n" PN_ATTEMPT_ID ": %s\r\n" PN_RESPONSE_STAMP
		    ": soak.%s\r\n%s",
		    improper_answers[i].line, c->id, c->id,
		    improper_answers[i].rest);
	if (improper_answers[i].ends) {
		ht_conn_close_after_flush(conn);
		g_free(c);
		return true;
	}
	ht_conn_flush(conn);
	ht_conn_read_next(conn);
	return true;
}

static void end_work(struct backend_conn *c)
{
	struct soak *s = c->machine->soak;
	struct soak_request *r = g_hash_table_lookup(s->requests, c->id);

	c->working = false;
	c->machine->in_flight--;
	if (r && r->endpoint == c->machine->name)
		r->worked_until = ba_loop_now(s->loop);
}

static void on_heartbeat_timer(struct ba_timer *t, ba_time now)
{
	struct soak_machine *m = ba_entry(t, struct soak_machine, heartbeat);
	struct heartbeat *hb = g_new0(struct heartbeat, 1);
	struct ba_buf head = {0};
	struct ba_buf body = {0};

	hb->machine = m;
	hb->call.done = on_heartbeat_done;
	ba_buf_addf(&head, "POST " PN_HEARTBEAT_PATH " HTTP/1.1\r\n", m->name);
	ba_buf_addf(&body, PN_HEARTBEAT, m->service, m->backend.text,
		    m->data_centre, soak_rollout_version(m), m->soak->slots,
		    ++m->sequence, m->start_wall_ms);
	soak_call_send(m->soak->loop, &hb->call, &m->registration,
		       ba_buf_text(&head), ba_buf_text(&body));
	ba_buf_free(&head);
	ba_buf_free(&body);
	ba_loop_arm(m->soak->loop, t, now + HEARTBEAT_PERIOD);
}

static void on_heartbeat_done(struct soak_call *call)
{
	struct heartbeat *hb = ba_entry(call, struct heartbeat, call);
	struct soak *s = hb->machine->soak;

	s->heartbeats_crossed += call->crossed && hb->machine->process.stopping;
	if (call->cut && hb->machine->process.stopping) {
		s->heartbeats_cut++;
		soak_log(s, "heartbeat of %s without an answer",
			 hb->machine->name);
	}
	g_free(hb);
}
