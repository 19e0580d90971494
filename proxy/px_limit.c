#include <math.h>
#include <string.h>

#include "base/ba_digest.h"
#include "base/ba_event.h"
#include "proxy/px_internal.h"
#include "report/rt.h"

/* A limit that changes with each answer is not logged more often. */
#define LOG_PERIOD BA_SECOND

static bool read_stated(const char *text, struct cl_stated *out,
			const char **rest);
static void write_stated(uint64_t start, const struct cl_statement *s,
			 struct ba_buf *out);
static void on_recorded(struct px *p, enum cl_limit_change change, bool leaves,
			const char *source, const struct cl_limit *was);
static void on_change(struct px *p, enum cl_limit_change change,
		      const char *source, const struct cl_limit *was);
static void log_limit(struct px *p, enum cl_limit_change change,
		      const char *source, const struct cl_limit *was);
static void log_leaving(struct px *p, const char *change, const char *source);

void px_limit_on_start(struct px *p)
{
	struct px_backend *be = &p->backend;
	const struct px_heartbeat *hb = &be->heartbeat;
	struct cl_limit was = be->limit;
	uint64_t start = ba_hash(hb->backend, strlen(hb->backend),
				 (uint64_t)hb->start_wall_ms);

	/* It has registered again. */
	if (start == be->start)
		return;
	be->start = start;
	be->work = (struct cl_work){0};
	cl_limit_reset(&be->limit);
	if (was.leaving)
		log_leaving(p, "dropped", "start");
	if (was.limited)
		on_change(p, CL_LIMIT_DROPPED, "start", &was);
}

/* An answer of an earlier start says nothing about this one. */
void px_limit_on_answer(struct px_exchange *x, const struct cl_statement *s)
{
	struct px_backend *be = &x->p->backend;
	struct cl_limit was = be->limit;
	enum cl_limit_change change;
	bool leaves;

	if (x->backend_start != be->start)
		return;
	change = cl_limit_record(&be->limit, s, x->admission.started,
				 ba_loop_now(x->p->loop), &leaves);
	on_recorded(x->p, change, leaves, "answer", &was);
}

void px_limit_on_told(struct px_exchange *x)
{
	const char *text =
		ht_head_get(ht_conn_head(x->downstream->conn), PX_FIELD_TOLD);
	struct px_backend *be = &x->p->backend;
	struct cl_limit was = be->limit;
	ba_time now = ba_loop_now(x->p->loop);
	enum cl_limit_change change;
	struct cl_stated told;
	const char *age;
	bool leaves;

	if (!text || !be->presence.registered ||
	    !read_stated(text, &told, &age))
		return;
	x->is_told = true;
	if (told.start != be->start)
		return;
	change = cl_limit_adopt(&be->limit, &told.statement,
				now - MAX(px_read_duration(age), 0), now,
				&leaves);
	on_recorded(x->p, change, leaves, "proxy", &was);
}

void px_limit_on_stated(struct px_exchange *x, const struct ht_head *h)
{
	const char *text = ht_head_get(h, PX_FIELD_STATED);
	const char *room = ht_head_get(h, PX_FIELD_ROOM);
	ba_time now = ba_loop_now(x->p->loop);
	struct cl_stated s;
	const char *rest;

	if (!x->endpoint)
		return;
	if (!text || !read_stated(text, &s, &rest)) {
		cl_route_record_limit(x->endpoint, 0, 0);
		return;
	}
	if (cl_stated_learn(x->p->stated, x->endpoint->instance, s.start,
			    &s.statement, now))
		ba_event(CL_EV_STATED_DROPPED, "entries=%u",
			 cl_stated_count(x->p->stated));
	cl_route_record_limit(x->endpoint, s.statement.per_second,
			      room ? now + MAX(px_read_duration(room), 0) : 0);
	if (s.statement.leaving)
		cl_route_record_leaving(x->endpoint);
}

/* A sender that was told of something is told that it holds no more, too. */
void px_limit_write_stated(const struct px_exchange *x, struct ba_buf *out)
{
	const struct px_backend *be = &x->p->backend;
	const struct cl_limit *l = &be->limit;
	const struct cl_statement s = {
		.limit = l->limited ? CL_LIMIT_STATED : CL_LIMIT_ABSENT,
		.per_second = l->rate,
		.leaving = l->leaving,
	};

	if (!be->presence.registered ||
	    (!l->limited && !l->leaving && !x->is_told))
		return;
	ba_buf_addf(out, PX_FIELD_STATED ": ");
	write_stated(be->start, &s, out);
	ba_buf_addf(out, "\r\n");
	if (l->limited)
		ba_buf_addf(out, PX_FIELD_ROOM ": %lld\r\n",
			    (long long)(px_backend_room_at(x->p) -
					ba_loop_now(x->p->loop)));
}

void px_limit_write_told(const struct px_exchange *x, struct ba_buf *out)
{
	ba_time now = ba_loop_now(x->p->loop);
	const struct cl_stated *s =
		cl_stated_find(x->p->stated, x->endpoint->instance, now);

	if (!s)
		return;
	ba_buf_addf(out, PX_FIELD_TOLD ": ");
	write_stated(s->start, &s->statement, out);
	ba_buf_addf(out, " %lld\r\n", (long long)(now - s->told_at));
}

/*
 * Reads the start, the limit a second or "-", and whether the backend server
 * leaves; @rest is what follows.
 */
static bool read_stated(const char *text, struct cl_stated *out,
			const char **rest)
{
	char *end;

	*out = (struct cl_stated){.start = g_ascii_strtoull(text, &end, 16)};
	if (end == text || *end != ' ')
		return false;
	text = end + 1;
	if (*text == '-') {
		end = (char *)text + 1;
	} else {
		out->statement.per_second = g_ascii_strtod(text, &end);
		out->statement.limit = CL_LIMIT_STATED;
		if (end == text || !isfinite(out->statement.per_second) ||
		    out->statement.per_second < 0)
			return false;
	}
	if (strncmp(end, " 0", 2) != 0 && strncmp(end, " 1", 2) != 0)
		return false;
	out->statement.leaving = end[1] == '1';
	*rest = end + 2;
	return true;
}

static void write_stated(uint64_t start, const struct cl_statement *s,
			 struct ba_buf *out)
{
	char limit[G_ASCII_DTOSTR_BUF_SIZE] = "-";

	if (s->limit == CL_LIMIT_STATED)
		g_ascii_formatd(limit, sizeof(limit), "%.6g", s->per_second);
	ba_buf_addf(out, "%016llx %s %d", (unsigned long long)start, limit,
		    (int)s->leaving);
}

static void on_recorded(struct px *p, enum cl_limit_change change, bool leaves,
			const char *source, const struct cl_limit *was)
{
	if (change != CL_LIMIT_UNCHANGED)
		on_change(p, change, source, was);
	if (!leaves)
		return;
	log_leaving(p, "learned", source);
	px_backend_on_departure(p);
}

static void on_change(struct px *p, enum cl_limit_change change,
		      const char *source, const struct cl_limit *was)
{
	const struct cl_limit *l = &p->backend.limit;

	if (change == CL_LIMIT_LEARNED)
		rt_count(RT_BACKEND_LIMITS, 1);
	rt_set_gauge(RT_BACKEND_LIMIT,
		     l->limited ? (uint64_t)(l->rate * 1000) : 0);
	if (change != CL_LIMIT_CHANGED ||
	    ba_loop_now(p->loop) >= p->backend.logged_at + LOG_PERIOD)
		log_limit(p, change, source, was);
	if (p->backend.admit)
		px_backend_schedule_dispatch(p);
}

static void log_limit(struct px *p, enum cl_limit_change change,
		      const char *source, const struct cl_limit *was)
{
	struct px_backend *be = &p->backend;

	ba_event(CL_EV_BACKEND_LIMIT,
		 "backend=%s service=%s change=%s source=%s per_second=%g "
		 "was=%g sent=%llu",
		 be->heartbeat.backend, be->heartbeat.service,
		 cl_limit_change_name(change), source,
		 be->limit.limited ? be->limit.stated : 0,
		 was->limited ? was->stated : 0,
		 (unsigned long long)be->n_sent);
	be->n_sent = 0;
	be->logged_at = ba_loop_now(p->loop);
}

static void log_leaving(struct px *p, const char *change, const char *source)
{
	const struct px_heartbeat *hb = &p->backend.heartbeat;

	ba_event(CL_EV_BACKEND_LEAVING,
		 "backend=%s service=%s change=%s source=%s", hb->backend,
		 hb->service, change, source);
	if (!strcmp(change, "learned"))
		rt_count(RT_BACKEND_DEPARTURES, 1);
}
