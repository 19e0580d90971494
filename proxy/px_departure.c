/*
 * Departures of the own backend server are acknowledged once they are in the
 * replicated log: then they also hold when this proxy, the relays and the sources
 * have all been restarted.  They are applied at once.
 */
#include <string.h>

#include "base/ba_event.h"
#include "proxy/px_internal.h"
#include "report/rt.h"

/* The backend server gives up a call after a second, and repeats it. */
#define ACKNOWLEDGE_TIMEOUT (800 * BA_MS)

/*
 * struct waiter - a call whose answer waits for the log
 * @lifetime: what is to be logged; its id is @backend
 */
struct waiter {
	struct ba_list link;
	struct ht_request *request;
	struct ep_lifetime lifetime;
	char backend[EP_ID_BYTES];
	ba_time deadline;
};

static void on_timer(struct ba_timer *t, ba_time now);
static void set_lifetime(struct ep_lifetime *to, char *id,
			 const struct ep_lifetime *from);
static void waiter_answer(struct px *p, struct waiter *w, int status);
static void waiter_free(struct waiter *w);

void px_departure_init(struct px *p)
{
	struct px_departure *d = &p->departure;

	ba_list_init(&d->waiters);
	d->logged.backend = d->logged_id;
	d->timer.fire = on_timer;
}

void px_departure_free(struct px *p)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_loop_disarm(p->loop, &p->departure.timer);
	ba_list_each_safe(pos, tmp, &p->departure.waiters)
		waiter_free(ba_entry(pos, struct waiter, link));
}

void px_departure_log(struct px *p, const struct ep_lifetime *l)
{
	if (p->owner->log_departure &&
	    !ep_lifetime_covers(&p->departure.logged, l))
		p->owner->log_departure(p->owner, l);
}

bool px_departure_wait(struct px *p, struct ht_request *r,
		       const struct ep_lifetime *l)
{
	struct px_departure *d = &p->departure;
	struct waiter *w;

	if (!p->owner->log_departure || ep_lifetime_covers(&d->logged, l))
		return false;
	w = g_new0(struct waiter, 1);
	w->request = r;
	w->deadline = ba_loop_now(p->loop) + ACKNOWLEDGE_TIMEOUT;
	set_lifetime(&w->lifetime, w->backend, l);
	r->context = w;
	ba_list_append(&d->waiters, &w->link);
	if (!d->timer.slot)
		ba_loop_arm(p->loop, &d->timer, w->deadline);
	p->owner->log_departure(p->owner, l);
	return true;
}

void px_departure_on_cancelled(struct ht_service_owner *o, struct ht_request *r)
{
	(void)o;
	if (r->context)
		waiter_free(r->context);
}

void px_departure_logged(struct px *p, const struct ep_lifetime *logged)
{
	struct px_departure *d = &p->departure;
	struct ba_list *pos;
	struct ba_list *tmp;

	if (!ep_lifetime_covers(&d->logged, logged))
		set_lifetime(&d->logged, d->logged_id, logged);
	ba_list_each_safe(pos, tmp, &d->waiters)
	{
		struct waiter *w = ba_entry(pos, struct waiter, link);

		if (ep_lifetime_covers(&d->logged, &w->lifetime))
			waiter_answer(p, w, 200);
	}
}

/* The call is repeated; until then the departure may have been logged. */
static void on_timer(struct ba_timer *t, ba_time now)
{
	struct px *p = ba_entry(t, struct px, departure.timer);
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_each_safe(pos, tmp, &p->departure.waiters)
	{
		struct waiter *w = ba_entry(pos, struct waiter, link);

		if (w->deadline > now) {
			ba_loop_arm(p->loop, t, w->deadline);
			break;
		}
		rt_count(RT_DEPARTURES_UNLOGGED, 1);
		ba_event(EP_EV_NOT_LOGGED, "backend=%s state=%d", w->backend,
			 (int)w->lifetime.state);
		waiter_answer(p, w, 503);
	}
}

static void set_lifetime(struct ep_lifetime *to, char *id,
			 const struct ep_lifetime *from)
{
	*to = *from;
	g_strlcpy(id, from->backend, EP_ID_BYTES);
	to->backend = id;
}

static void waiter_answer(struct px *p, struct waiter *w, int status)
{
	struct ht_request *r = w->request;
	struct ba_buf body = {0};

	r->context = NULL;
	waiter_free(w);
	if (status == 200)
		p->dialect->write_heartbeat_ack(&body);
	ht_request_answer(r, status, "", "application/json", &body);
	ba_buf_free(&body);
}

static void waiter_free(struct waiter *w)
{
	ba_list_remove(&w->link);
	g_free(w);
}
