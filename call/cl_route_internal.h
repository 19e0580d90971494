/*
 * Private to call/cl_route*.c:
 *
 *   cl_route.c        endpoints and their ejection, choice by calls and latency
 *   cl_route_place.c  choice by the expected time to the end of the call
 */
#ifndef CL_ROUTE_INTERNAL_H
#define CL_ROUTE_INTERNAL_H

#include <glib.h>

#include "call/cl_route.h"

/*
 * If all slots are busy, an endpoint farther away is chosen if the wait at the
 * nearer one is longer by this factor.
 */
#define CL_ROUTE_FARTHER_WAIT_RATIO 1.25
#define CL_ROUTE_LINK_WAIT_RATIO 2.0

/*
 * Fraction of its slots up to which an endpoint across the paid link counts as
 * free, so that the rest is left to calls from its own region.
 */
#define CL_ROUTE_LINK_SLOT_FRACTION 0.7

/* Assumed time on the way over the paid link until it is measured. */
#define CL_ROUTE_LINK_NETWORK_INITIAL (60 * BA_MS)

/**
 * struct cl_service_endpoints - the endpoints of one service
 * @rollout: last roll-out of the service, in the snapshot of the router, or NULL
 * @to_target: the call that is being routed is meant for the target version
 * @shed_share: moving average of the share of calls that were rejected
 * @states_work: an endpoint has stated the speed of its work
 * @hold: moving average of the time that calls hold slots at usual speed, over
 *	all endpoints, in microseconds
 */
struct cl_service_endpoints {
	char *name;
	const struct cf_rollout *rollout;
	bool to_target;
	double shed_share;
	bool states_work;
	double hold;
	struct ba_list endpoints;
	unsigned int n_endpoints;
	unsigned int n_ejected;
};

/*
 * @snapshot: configuration whose roll-outs are applied, NULL before the first
 * @removed: endpoints that are no longer listed and still have calls
 * @network: moving average of the time on the way by tier, in microseconds
 * @has_budget: the paid link has a byte budget; @budget_bytes are left of it,
 *	as of @budget_at
 */
struct cl_router {
	char *instance;
	char *data_centre;
	char *region;
	bool load_aware;
	bool self_draining;
	struct cf_snapshot *snapshot;
	GHashTable *services;
	struct ba_list removed;
	uint64_t next_id;
	double network[CL_TIERS];
	bool has_budget;
	double budget_bytes;
	double max_budget_bytes;
	double budget_per_us;
	ba_time budget_at;
};

/** cl_route_was_tried() - whether the call was sent to @e before */
bool cl_route_was_tried(const struct cl_pick_request *q,
			const struct cl_endpoint *e);

/** cl_route_is_eligible() - whether @e has the version that the call is meant for */
bool cl_route_is_eligible(const struct cl_service_endpoints *s,
			  const struct cl_endpoint *e);

/** cl_route_room_wait() - how long the limit that @e states delays a call */
double cl_route_room_wait(const struct cl_endpoint *e,
			  const struct cl_pick_request *q, ba_time now);

/** cl_route_slow_start_factor() - share of its calls that @e gets, up to 1 */
double cl_route_slow_start_factor(const struct cl_endpoint *e, ba_time now);

/**
 * cl_route_pick_by_time() - choose by the expected time to the end of the call
 * @link: the paid link may be used
 *
 * Return: an endpoint, or NULL if all are ejected, draining or must not be used.
 */
struct cl_endpoint *cl_route_pick_by_time(struct cl_router *r,
					  struct cl_service_endpoints *s,
					  const struct cl_pick_request *q,
					  bool link, ba_time now,
					  struct ba_rand *rand,
					  enum cl_route_reason *reason);

#endif
