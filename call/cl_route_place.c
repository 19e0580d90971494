#include "call/cl_route_internal.h"

/* A call is expected in time if it may take this much longer than estimated. */
#define IN_TIME_MARGIN 1.5

/* Candidates of one tier, with a free slot and without. */
struct tier_draw {
	struct cl_place_draw free;
	struct cl_place_draw busy;
};

/* What a choice depends on; @link: the paid link may be used. */
struct search {
	const struct cl_router *r;
	const struct cl_pick_request *q;
	ba_time now;
	struct ba_rand *rand;
	bool link;
};

/* The chosen one so far. */
struct choice {
	struct cl_endpoint *endpoint;
	double total;
	bool is_free;
};

static void search_tiers(const struct search *h, struct cl_service_endpoints *s,
			 enum cl_tier first, enum cl_tier last,
			 struct choice *best);
static bool may_use(const struct search *h, const struct cl_endpoint *e);
static void consider(const struct search *h, struct cl_endpoint *e,
		     struct tier_draw *d);
static struct cl_place_time estimate(const struct search *h,
				     const struct cl_endpoint *e);
static bool is_enough(const struct search *h, const struct choice *c);
static void compare(struct choice *best, const struct cl_place_draw *d,
		    enum cl_tier tier, bool is_free);

/* Farther tiers are only looked at if none nearby is good enough. */
struct cl_endpoint *cl_route_pick_by_time(struct cl_router *r,
					  struct cl_service_endpoints *s,
					  const struct cl_pick_request *q,
					  bool link, ba_time now,
					  struct ba_rand *rand,
					  enum cl_route_reason *reason)
{
	const struct search h = {r, q, now, rand,
				 link && !q->no_link && !q->large_answer};
	struct choice best = {0};

	search_tiers(&h, s, CL_TIER_SELF, CL_TIER_DATA_CENTRE, &best);
	if (!is_enough(&h, &best))
		search_tiers(&h, s, CL_TIER_REGION, CL_TIER_LINK, &best);
	if (!best.endpoint)
		return NULL;
	best.endpoint->expected = (ba_time)best.total;
	*reason = best.is_free ? (enum cl_route_reason)best.endpoint->tier
			       : CL_ROUTE_BUSY;
	return best.endpoint;
}

static void search_tiers(const struct search *h, struct cl_service_endpoints *s,
			 enum cl_tier first, enum cl_tier last,
			 struct choice *best)
{
	struct tier_draw draws[CL_TIERS] = {0};
	struct ba_list *pos;

	ba_list_each(pos, &s->endpoints)
	{
		struct cl_endpoint *e = ba_entry(pos, struct cl_endpoint, link);

		if (e->tier >= first && e->tier <= last && may_use(h, e))
			consider(h, e, &draws[e->tier]);
	}
	for (int t = first; t <= (int)last; t++) {
		compare(best, &draws[t].free, (enum cl_tier)t, true);
		if (is_enough(h, best))
			return;
		/* The two drawn are slow, but others nearby may not be. */
		if (best->endpoint && best->is_free &&
		    best->endpoint->tier == (enum cl_tier)t &&
		    draws[t].free.least < best->total) {
			best->endpoint = draws[t].free.quickest;
			best->total = draws[t].free.least;
		}
		if (is_enough(h, best))
			return;
		compare(best, &draws[t].busy, (enum cl_tier)t, false);
	}
}

static bool may_use(const struct search *h, const struct cl_endpoint *e)
{
	if (e->draining || e->ejected || cl_route_was_tried(h->q, e) ||
	    !cl_route_is_eligible(e->service, e))
		return false;
	if (e->tier == CL_TIER_LINK)
		return h->link;
	return e->tier != CL_TIER_SELF || !h->r->self_draining;
}

static void consider(const struct search *h, struct cl_endpoint *e,
		     struct tier_draw *d)
{
	struct cl_place_time t = estimate(h, e);
	double room = cl_route_room_wait(e, h->q, h->now);
	double slots = e->slots ? e->slots : 1;
	double weight =
		slots * cl_route_slow_start_factor(e, h->now) / MAX(t.work, 1);
	bool is_free = !t.wait && !room;

	if (e->tier == CL_TIER_LINK && t.load >= CL_ROUTE_LINK_SLOT_FRACTION)
		is_free = false;
	t.wait += room;
	cl_place_consider(is_free ? &d->free : &d->busy, e, cl_place_total(&t),
			  weight, h->rand);
}

static struct cl_place_time estimate(const struct search *h,
				     const struct cl_endpoint *e)
{
	const struct cl_place_site site = {
		.in_flight = e->in_flight,
		.slots = e->slots,
		.hold = e->service->hold,
		.network = h->r->network[e->tier],
	};
	const struct cl_place_report self = {
		.calls = h->q->self_load,
		.slots = e->slots,
		.speed = CL_PLACE_USUAL_SPEED,
	};

	if (e->tier == CL_TIER_SELF)
		return cl_place_exact(h->q->self_work ? h->q->self_work : &self,
				      e->service->hold);
	return cl_place_estimate(&e->place, &site, h->now);
}

/*
 * A call that is in time with half as much again, or is run about as fast as
 * usual, gains nothing farther away, and the way there takes bytes of a link
 * that others need.  The second counts for calls whose work is shorter than the
 * mean of their service, as that of inner calls.
 */
static bool is_enough(const struct search *h, const struct choice *c)
{
	double usual;

	if (!c->endpoint || !c->is_free || !h->q->target)
		return false;
	usual = c->endpoint->service->hold;
	return (double)h->now + IN_TIME_MARGIN * c->total <=
		       (double)h->q->target ||
	       c->total <= IN_TIME_MARGIN * usual;
}

/*
 * A free slot farther away is better than none nearby.  Otherwise the way there
 * must be worth it.
 */
static void compare(struct choice *best, const struct cl_place_draw *d,
		    enum cl_tier tier, bool is_free)
{
	double factor = tier == CL_TIER_LINK ? CL_ROUTE_LINK_WAIT_RATIO
					     : CL_ROUTE_FARTHER_WAIT_RATIO;
	struct cl_endpoint *e;
	double total;

	e = cl_place_better(d, &total);
	if (!e)
		return;
	if (best->endpoint && is_free && !best->is_free)
		factor = 1;
	if (best->endpoint && total * factor >= best->total)
		return;
	*best = (struct choice){e, total, is_free};
}
