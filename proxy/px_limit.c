#include <string.h>

#include "base/ba_digest.h"
#include "base/ba_event.h"
#include "proxy/px_internal.h"
#include "report/rt.h"

/* A limit that changes with each answer is not logged more often. */
#define LOG_PERIOD BA_SECOND

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

	be->start = ba_hash(hb->backend, strlen(hb->backend),
			    (uint64_t)hb->start_wall_ms);
	cl_limit_reset(&be->limit);
	if (was.leaving)
		log_leaving(p, "dropped", "start");
	if (was.limited)
		on_change(p, CL_LIMIT_DROPPED, "start", &was);
}

/* An answer of an earlier start says nothing about this one. */
void px_limit_on_answer(struct px_exchange *x, const struct cl_statement *s)
{
	struct px *p = x->p;
	struct px_backend *be = &p->backend;
	struct cl_limit was = be->limit;
	enum cl_limit_change change;
	bool leaves;

	if (x->backend_start != be->start)
		return;
	change = cl_limit_record(&be->limit, s, x->admission.started,
				 ba_loop_now(p->loop), &leaves);
	if (change != CL_LIMIT_UNCHANGED)
		on_change(p, change, "answer", &was);
	if (leaves)
		log_leaving(p, "learned", "answer");
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
