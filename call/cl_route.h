/*
 * Load balancing: chooses the endpoint of each call.
 *
 * Rules:
 * - Endpoints are tried in order of distance: the own backend server, the data
 *   centre, the region, and the other regions, which are reached over a paid
 *   link and only while its byte budget lasts.
 * - Of two endpoints drawn at random, the one with less load and latency is
 *   chosen.  The daemon relies on its own calls and measurements; a load report
 *   only adds to them and loses weight with age.
 * - Where endpoints state the speed of their work, the expected time to the end
 *   of the call is compared instead (cl_place.h), also between distances.
 * - An endpoint that rejects calls is ejected only while the service as a whole
 *   rejects few.  If all endpoints reject calls, whatever their load, each
 *   ejection would only concentrate the load on the others.
 * - An ejected endpoint gets a single probe once its ejection time is over.  At
 *   most half of the endpoints of a service are ejected, and an ejected one is
 *   still used if no other is left.
 * - A draining endpoint gets no new calls.
 * - While a roll-out of a service runs, its share of the calls goes to endpoints
 *   of the target version, the others to those that serve already.  Endpoints of
 *   a version that was rolled back or replaced get none.
 * - An endpoint at the limit that it states counts as full until it has room
 *   again, and its wait for the limit adds to that for a slot.
 * - A router has no lock; its owner holds one around each function call.
 */
#ifndef CL_ROUTE_H
#define CL_ROUTE_H

#include <stdbool.h>

#include "base/ba_list.h"
#include "base/ba_rand.h"
#include "call/cl.h"
#include "call/cl_place.h"
#include "config/cf.h"
#include "endpoint/ep.h"

#ifdef __cplusplus
extern "C" {
#endif

/* How long a new or restored endpoint gets a growing share of calls. */
#define CL_SLOW_START (5 * BA_SECOND)

/* The ejection time doubles with each ejection, up to the maximum. */
#define CL_EJECTION_FIRST (1 * BA_SECOND)
#define CL_EJECTION_MAX (30 * BA_SECOND)

/*
 * The age at which a reported load counts half, and the age at which the part
 * of an endpoint's latency above the lowest one of its service counts half.
 */
#define CL_REPORT_HALF_WEIGHT_AGE (500 * BA_MS)
#define CL_LATENCY_HALF_WEIGHT_AGE (5 * BA_SECOND)

#define CL_LATENCY_INITIAL (10 * BA_MS)

/* The link's unspent budget accumulates for at most this time. */
#define CL_LINK_BUDGET_BURST (10 * BA_MINUTE)

/* Weighted consecutive failures after which an endpoint is ejected. */
enum { CL_EJECTION_FAILURES = 3 };

/** enum cl_tier - distance of an endpoint, the nearest first */
enum cl_tier {
	CL_TIER_SELF,
	CL_TIER_DATA_CENTRE,
	CL_TIER_REGION,
	CL_TIER_LINK,
	CL_TIERS,
};

/**
 * enum cl_route_reason - why an endpoint or none was chosen
 * @CL_ROUTE_OWNER: it is the instance that must run the call
 * @CL_ROUTE_BUSY: no endpoint has a free slot
 * @CL_ROUTE_LAST_RESORT: no endpoint is left that is not ejected; for a large
 *	answer, none but those across the paid link
 * @CL_ROUTE_NONE_KNOWN: the service has no endpoints
 * @CL_ROUTE_NONE_LEFT: all endpoints are draining, were tried or must not be
 *	used; or the instance that must run the call is not among them
 */
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
	CL_ROUTE_LINK_BUDGET,
	CL_ROUTE_REASONS,
};

/**
 * enum cl_attempt_result - result of an attempt, as it counts for its endpoint
 * @CL_ATTEMPT_SHED: the backend server rejected the call without running it
 * @CL_ATTEMPT_ERROR_ANSWER: the answer has a status of 500 or more
 * @CL_ATTEMPT_SILENT: nothing arrived on the connection for too long
 * @CL_ATTEMPT_BROKEN: the connection was lost, or the answer is incomplete
 * @CL_ATTEMPT_TIMEOUT: the time of the call ended before the answer came
 */
enum cl_attempt_result {
	CL_ATTEMPT_ANSWERED,
	CL_ATTEMPT_ERROR_ANSWER,
	CL_ATTEMPT_OVERLOADED,
	CL_ATTEMPT_UNREACHABLE,
	CL_ATTEMPT_SILENT,
	CL_ATTEMPT_BROKEN,
	CL_ATTEMPT_TIMEOUT,
	CL_ATTEMPT_DRAINING,
	CL_ATTEMPT_CANCELLED,
	CL_ATTEMPT_SHED,
	CL_ATTEMPT_RESULTS,
};

/** enum cl_route_change - change of an endpoint's ejection state */
enum cl_route_change {
	CL_ROUTE_UNCHANGED,
	CL_ROUTE_EJECTED,
	CL_ROUTE_RESTORED,
};

/**
 * struct cl_endpoint - state of one endpoint, as known to this daemon
 * @id: unique; never reused for another endpoint
 * @address: address to forward calls to from this daemon
 * @in_flight: calls of this daemon in progress at the endpoint
 * @reported_load: last reported load, without the calls of this daemon
 * @room_at: when the limit that it states lets a further call start
 * @stated_rate: that limit, calls a second of all daemons, 0 for none
 * @place: what is known of its speed and load
 * @expected: time that the last call sent there was expected to take, in
 *	microseconds, 0 if it was not estimated
 * @latency: moving average of its answer time, in microseconds
 * @slow_start_end: when it gets its full share of calls
 * @failures: weighted failures since the last answer
 * @ejections: recent ejections; each one doubles the ejection time
 * @ejected_until: when the next probe is due, or when it was restored
 * @probing: a call to the ejected endpoint is in progress
 * @removed: no longer listed, but still has calls of this daemon
 * @listed: only used during an update
 * @version: version of its backend server, "" if it states none
 * @cohort: how the roll-out of its service treats it
 *
 * Read-only for users, and valid from cl_route_pick() to cl_route_done().
 */
struct cl_endpoint {
	struct ba_list link;
	uint64_t id;
	char *instance;
	char *address;
	struct cl_service_endpoints *service;
	uint64_t incarnation;
	enum cl_tier tier;
	uint32_t slots;
	uint32_t in_flight;
	uint32_t reported_load;
	ba_time reported_at;
	ba_time room_at;
	double stated_rate;
	struct cl_place place;
	ba_time expected;
	double latency;
	ba_time latency_at;
	ba_time slow_start_end;
	uint32_t failures;
	uint32_t ejections;
	ba_time ejected_until;
	bool ejected;
	bool probing;
	bool draining;
	bool removed;
	bool listed;
	char *version;
	enum cf_cohort cohort;
};

/**
 * struct cl_router_options - location of this daemon, and its algorithm
 * @instance: own instance; its endpoint is the own backend server
 * @load_aware: compare load and latency of two endpoints; false chooses at
 *	random, as the baseline of measurements
 */
struct cl_router_options {
	const char *instance;
	const char *data_centre;
	const char *region;
	bool load_aware;
};

/**
 * struct cl_pick_request - description of a call that needs an endpoint
 * @owner: instance that must run the call, or NULL for any
 * @self_load: calls running or queued at the own backend server
 * @self_room_at: when the limit that it states lets a further call start
 * @target: when the answer should be there, 0 if unknown
 * @self_work: state of the own backend server, NULL if it does not state the
 *	speed of its work
 * @tried: ids of endpoints that the call has already been sent to
 * @may_probe: the call may be used to probe an ejected endpoint
 * @large_answer: the answer is large, so the paid link is the last resort
 * @no_link: the paid link must not be used
 */
struct cl_pick_request {
	const char *service;
	const char *owner;
	uint32_t self_load;
	ba_time self_room_at;
	ba_time target;
	const struct cl_place_report *self_work;
	const uint64_t *tried;
	size_t n_tried;
	bool may_probe;
	bool large_answer;
	bool no_link;
};

struct cl_router;

/** cl_router_new() - create a router without endpoints */
struct cl_router *cl_router_new(const struct cl_router_options *o);

/** cl_router_free() - free @r; no call may be in flight */
void cl_router_free(struct cl_router *r);

/** cl_router_update() - replace the endpoints by those of @v */
void cl_router_update(struct cl_router *r, const struct ep_view *v,
		      ba_time now);

/** cl_router_set_rollouts() - apply the roll-outs of @s; takes a reference */
void cl_router_set_rollouts(struct cl_router *r, struct cf_snapshot *s);

/** cl_router_drain_self() - send no new calls to the own backend server */
void cl_router_drain_self(struct cl_router *r);

/**
 * cl_router_set_link_budget() - set the byte budget of the paid link
 * @bytes_per_day: bytes this daemon may send per day, 0 for no limit
 */
void cl_router_set_link_budget(struct cl_router *r, uint64_t bytes_per_day,
			       ba_time now);

/** cl_router_spend_link_budget() - charge @bytes to the paid link's budget */
void cl_router_spend_link_budget(struct cl_router *r, uint64_t bytes);

/**
 * cl_route_pick() - choose the endpoint of a call
 * @reason: set to the reason in any case
 *
 * Return: the endpoint, to be released with cl_route_done(), or NULL.
 */
struct cl_endpoint *cl_route_pick(struct cl_router *r,
				  const struct cl_pick_request *q, ba_time now,
				  struct ba_rand *rand,
				  enum cl_route_reason *reason);

/**
 * cl_route_record_load() - record the load that an endpoint reported
 * @reported_load: running and queued calls there, those of this daemon excluded
 */
void cl_route_record_load(struct cl_endpoint *e, uint32_t reported_load,
			  ba_time now);

/**
 * cl_route_record_work() - record the load and speed that an endpoint reported
 * @took: from the sending of the call to the answer with the report
 *
 * From the first such report on, endpoints of its service are chosen by the
 * expected time to the end of a call (cl_place.h).
 */
void cl_route_record_work(struct cl_router *r, struct cl_endpoint *e,
			  const struct cl_place_report *report, ba_time took,
			  ba_time now);

/**
 * cl_route_record_limit() - record the limit that an endpoint states
 * @per_second: calls a second of all daemons, 0 for no limit
 * @room_at: when it lets a further call start
 */
void cl_route_record_limit(struct cl_endpoint *e, double per_second,
			   ba_time room_at);

/** cl_route_record_leaving() - send no new calls to an endpoint */
void cl_route_record_leaving(struct cl_endpoint *e);

/**
 * cl_route_room_at() - when the stated limits let a further call start
 * @self_room_at: as in struct cl_pick_request
 *
 * Return: for the endpoint of @service that has room first, @now if that is not
 * delayed by a limit or no endpoint is known.
 */
ba_time cl_route_room_at(const struct cl_router *r, const char *service,
			 ba_time self_room_at, ba_time now);

/**
 * cl_route_done() - record the result of an attempt and release its endpoint
 * @latency: duration of the attempt
 *
 * Return: whether the endpoint was ejected or restored.
 */
enum cl_route_change cl_route_done(struct cl_router *r, struct cl_endpoint *e,
				   enum cl_attempt_result result,
				   ba_time latency, ba_time now);

/** cl_route_reason_name() - return the name of @reason used in logs */
const char *cl_route_reason_name(enum cl_route_reason reason);

/** cl_attempt_result_name() - return the name of @result used in logs */
const char *cl_attempt_result_name(enum cl_attempt_result result);

#ifdef __cplusplus
}
#endif
#endif
