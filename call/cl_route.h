/*
 * Routing: which endpoint takes a call.
 *
 * Rules:
 * - Own backend server first, then the data centre, the region, and the
 *   paid link as far as its byte budget goes.
 * - Of two endpoints drawn at random the one with less load and latency is
 *   taken; what was seen first-hand counts, a report only adds to it and
 *   loses its weight with age.
 * - An ejected endpoint gets one probe after its time; at most half of the
 *   endpoints of a service are ejected, and an ejected one is still used
 *   when nothing else is left.
 * - A draining endpoint gets no new work.
 * - A router is not locked; its owner holds one lock around each call.
 */
#ifndef CL_ROUTE_H
#define CL_ROUTE_H

#include <stdbool.h>

#include "base/ba_list.h"
#include "base/ba_rand.h"
#include "call/cl.h"
#include "endpoint/ep.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CL_SLOW_START (5 * BA_SECOND)
#define CL_EJECTION_FIRST (1 * BA_SECOND)
#define CL_EJECTION_LONGEST (30 * BA_SECOND)
#define CL_REPORT_AGE (500 * BA_MS)
#define CL_LATENCY_AGE (5 * BA_SECOND)
#define CL_LATENCY_ASSUMED (10 * BA_MS)
#define CL_BUDGET_BURST (10 * BA_MINUTE)

enum { CL_EJECT_AT = 3 };

/** enum cl_tier - how far away an endpoint is */
enum cl_tier {
	CL_TIER_SELF,
	CL_TIER_DATA_CENTRE,
	CL_TIER_REGION,
	CL_TIER_LINK,
	CL_TIERS,
};

/** enum cl_route_reason - why an endpoint, or none, was chosen */
enum cl_route_reason {
	CL_ROUTE_SELF,
	CL_ROUTE_DATA_CENTRE,
	CL_ROUTE_REGION,
	CL_ROUTE_LINK,
	CL_ROUTE_PROBE,
	CL_ROUTE_OWNER,
	CL_ROUTE_BUSY,
	CL_ROUTE_LAST_RESORT,
	CL_ROUTE_NONE_KNOWN,
	CL_ROUTE_NONE_LEFT,
	CL_ROUTE_BUDGET,
	CL_ROUTE_REASONS,
};

/** enum cl_seen - what an attempt on an endpoint showed */
enum cl_seen {
	CL_SEEN_ANSWER,
	CL_SEEN_ERROR_ANSWER,
	CL_SEEN_OVERLOADED,
	CL_SEEN_UNREACHABLE,
	CL_SEEN_SILENT,
	CL_SEEN_BROKEN,
	CL_SEEN_TIMEOUT,
	CL_SEEN_DRAINING,
	CL_SEEN_CANCELLED,
	CL_SEEN_KINDS,
};

/** enum cl_route_change - a change of an endpoint's standing, to be logged */
enum cl_route_change {
	CL_ROUTE_UNCHANGED,
	CL_ROUTE_EJECTED,
	CL_ROUTE_RESTORED,
};

/**
 * struct cl_endpoint - one endpoint as this daemon sees it; read only for
 * users, valid from cl_route_pick() to cl_route_done()
 * @id: never used again for another endpoint
 * @address: where to forward to from here
 * @in_flight: calls of this daemon that it has
 * @latency: smoothed time of its answers
 * @reported: load that it last reported, besides our own calls
 */
struct cl_endpoint {
	struct ba_list link;
	uint64_t id;
	char *instance;
	char *address;
	struct cl_service_routes *service;
	uint64_t incarnation;
	enum cl_tier tier;
	uint32_t slots;
	uint32_t in_flight;
	uint32_t reported;
	ba_time reported_at;
	double latency;
	ba_time latency_at;
	ba_time ramp_end;
	uint32_t failures;
	uint32_t ejections;
	ba_time ejected_until;
	bool ejected;
	bool probing;
	bool draining;
	bool gone;
	bool listed;
};

/**
 * struct cl_router_options - where this daemon stands
 * @instance: own instance; its endpoint is the own backend server
 * @first_hand: false chooses at random, the baseline of the measurements
 */
struct cl_router_options {
	const char *instance;
	const char *data_centre;
	const char *region;
	bool first_hand;
};

/**
 * struct cl_pick_request - what is asked of the router
 * @tried: endpoints that this call has tried already
 * @owner: instance that must take the call, or NULL
 * @self_load: calls that run or wait at the own backend server
 * @may_probe: the call may be spent on an ejected endpoint
 * @heavy: its answer is large: the paid link is the last resort
 * @no_link: the paid link is not to be taken at all
 */
struct cl_pick_request {
	const char *service;
	const char *owner;
	uint32_t self_load;
	const uint64_t *tried;
	size_t n_tried;
	bool may_probe;
	bool heavy;
	bool no_link;
};

struct cl_router;

/** cl_router_new() - a router that knows no endpoints */
struct cl_router *cl_router_new(const struct cl_router_options *o);

/** cl_router_free() - free it; no call may be in flight */
void cl_router_free(struct cl_router *r);

/** cl_router_update() - the endpoints are those of @v from now on */
void cl_router_update(struct cl_router *r, const struct ep_view *v,
		      ba_time now);

/** cl_router_drain_self() - the own backend server takes no new work */
void cl_router_drain_self(struct cl_router *r);

/** cl_router_budget() - bytes a day this daemon may send over the link, 0 for no limit */
void cl_router_budget(struct cl_router *r, uint64_t bytes_per_day, ba_time now);

/** cl_router_spend() - @bytes of a call went over the paid link */
void cl_router_spend(struct cl_router *r, uint64_t bytes);

/**
 * cl_route_pick() - choose the endpoint of a call
 * @reason: why; set in any case
 *
 * Return: the endpoint, to be given back with cl_route_done(), or NULL.
 */
struct cl_endpoint *cl_route_pick(struct cl_router *r,
				  const struct cl_pick_request *q, ba_time now,
				  struct ba_rand *rand,
				  enum cl_route_reason *reason);

/** cl_route_report() - @e reported @load calls of others */
void cl_route_report(struct cl_endpoint *e, uint32_t load, ba_time now);

/**
 * cl_route_done() - an attempt has ended
 * @latency: time it took
 *
 * Return: whether the endpoint was ejected or restored by it.
 */
enum cl_route_change cl_route_done(struct cl_router *r, struct cl_endpoint *e,
				   enum cl_seen seen, ba_time latency,
				   ba_time now);

/** cl_route_reason_name() - the reason as it is logged */
const char *cl_route_reason_name(enum cl_route_reason reason);

/** cl_seen_name() - the observation as it is logged */
const char *cl_seen_name(enum cl_seen seen);

#ifdef __cplusplus
}
#endif
#endif
