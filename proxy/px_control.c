#include <string.h>

#include "base/ba_event.h"
#include "proxy/px_internal.h"

/* The answer comes later. */
enum { LATER = 0 };

static int answer(struct px *p, struct ht_request *r, struct ba_buf *body);
static int accept_heartbeat(struct px *p, struct ht_request *r,
			    const char *backend, struct ba_buf *body);
static int accept_departure(struct px *p, struct ht_request *r,
			    const char *backend);
static int acknowledge_departure(struct px *p, struct ht_request *r,
				 const char *backend, int64_t start_wall_ms);
static bool is_of_own_service(const struct px *p,
			      const struct px_heartbeat *hb);
static bool accepts_start(const char *backend, int64_t start_wall_ms,
			  int64_t now_wall_ms);

void px_control_on_request(struct ht_service_owner *o, struct ht_request *r)
{
	struct ba_buf body = {0};
	int status = answer(ba_entry(o, struct px, control_owner), r, &body);

	if (status != LATER)
		ht_request_answer(r, status, "", "application/json", &body);
	ba_buf_free(&body);
}

static int answer(struct px *p, struct ht_request *r, struct ba_buf *body)
{
	char backend[PX_ID_BYTES];

	switch (p->dialect->read_control(r->head->method,
					 ht_head_target(r->head), backend)) {
	case PX_CONTROL_READY:
		return p->snapshot && p->endpoints_known && !p->stopping ? 200
									 : 503;
	case PX_CONTROL_HEARTBEAT:
		return accept_heartbeat(p, r, backend, body);
	case PX_CONTROL_DEREGISTER:
		return accept_departure(p, r, backend);
	default:
		return 404;
	}
}

/* A malformed heartbeat is answered with 400 and changes nothing. */
static int accept_heartbeat(struct px *p, struct ht_request *r,
			    const char *backend, struct ba_buf *body)
{
	struct px_heartbeat hb = {.slots = 0};

	if (r->body_truncated ||
	    !p->dialect->read_heartbeat(r->body.data, r->body.len, &hb)) {
		ba_event(EP_EV_REFUSED, "backend=%s bytes=%zu", backend,
			 r->body.len);
		return 400;
	}
	g_strlcpy(hb.backend, backend, sizeof(hb.backend));
	if (!accepts_start(backend, hb.start_wall_ms,
			   ba_clock_wall() / BA_MS) ||
	    !is_of_own_service(p, &hb))
		return 400;
	px_backend_on_heartbeat(p, &hb);
	if (hb.draining)
		return acknowledge_departure(p, r, backend, hb.start_wall_ms);
	p->dialect->write_heartbeat_ack(body);
	return 200;
}

static int accept_departure(struct px *p, struct ht_request *r,
			    const char *backend)
{
	struct ep_departure d = {
		.backend = backend,
		.received_wall_ms = ba_clock_wall() / BA_MS,
	};

	if (!p->dialect->read_departure(r->body.data, r->body.len,
					&d.start_wall_ms)) {
		ba_event(EP_EV_REFUSED, "backend=%s bytes=%zu", backend,
			 r->body.len);
		return 400;
	}
	if (!accepts_start(backend, d.start_wall_ms, d.received_wall_ms))
		return 400;
	px_backend_deregister(p, &d);
	return acknowledge_departure(p, r, backend, d.start_wall_ms);
}

/*
 * One that was not applied, as it looks like a late one of an earlier start, is
 * not acknowledged: if the backend server is there, it goes on getting requests.
 */
static int acknowledge_departure(struct px *p, struct ht_request *r,
				 const char *backend, int64_t start_wall_ms)
{
	struct ep_lifetime l;

	if (!px_backend_find_departure(p, backend, start_wall_ms, &l)) {
		ba_event(EP_EV_REFUSED, "backend=%s start=%lld departure=true",
			 backend, (long long)start_wall_ms);
		return 503;
	}
	if (!p->backend.presence.left_unsure && px_departure_wait(p, r, &l))
		return LATER;
	return 200;
}

/* Another writer may name another service, or one that there is not. */
static bool is_of_own_service(const struct px *p, const struct px_heartbeat *hb)
{
	if (!strcmp(hb->service, p->o.service))
		return true;
	ba_event(EP_EV_REFUSED, "backend=%s service=%s own_service=%s",
		 hb->backend, hb->service, p->o.service);
	return false;
}

static bool accepts_start(const char *backend, int64_t start_wall_ms,
			  int64_t now_wall_ms)
{
	if (ep_start_is_plausible(start_wall_ms, now_wall_ms))
		return true;
	ba_event(EP_EV_REFUSED, "backend=%s start=%lld", backend,
		 (long long)start_wall_ms);
	return false;
}
