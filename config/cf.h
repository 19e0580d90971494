/*
 * Configuration and policy.  Operators submit them; every daemon holds a
 * copy.
 *
 * Rules:
 * - A snapshot is immutable and complete; it is shared by reference count.
 * - Every route and every policy row refers to a service of the same snapshot.
 * - The digest covers the canonical encoding of everything except the version.
 * - A delta applies to exactly one version, and the result must have the
 *   digest that the delta carries; otherwise nothing is changed.
 * - No key belongs to two teams.  Only the core holds keys as text; what is
 *   sent to others, and the digest of a snapshot, has their digests instead.
 */
#ifndef CF_H
#define CF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/ba_buf.h"
#include "base/ba_clock.h"
#include "base/ba_digest.h"
#include "base/ba_problem.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Lengths of strings are without the final NUL. */
enum {
	CF_NAME_BYTES = 127,
	CF_SERVICES_LIMIT = 4096,
	CF_ROUTES_LIMIT = 16384,
	CF_TEAMS_LIMIT = 16384,
	CF_NO_SERVICE = -1,
};

/**
 * struct cf_service - configuration of one service
 * @name: lower case letters, digits and '-'
 * @max_in_flight: limit on calls in flight across the mesh, 0 for no limit
 * @timeout: maximum duration of a call
 * @health_path: path of the health check of a backend server, or ""
 * @max_connections: connections that one endpoint accepts, 0 if unknown
 * @protocol: protocol of its backend servers, "" for HTTP/1.1
 * @tls: whether its backend servers require TLS
 */
struct cf_service {
	const char *name;
	uint32_t max_in_flight;
	ba_time timeout;
	const char *health_path;
	uint32_t max_connections;
	const char *protocol;
	bool tls;
};

/**
 * struct cf_part - one target of a route with a weighted split
 * @service: index into the services of the same snapshot
 * @weight: share of the calls, relative to the sum over all parts
 */
struct cf_part {
	int service;
	double weight;
};

/**
 * struct cf_limits - size limits and timeouts for requests of callers; a
 * member that is 0 stands for the default of the program
 */
struct cf_limits {
	uint32_t max_header_bytes;
	uint64_t max_body_bytes;
	ba_time header_timeout;
	ba_time idle_timeout;
};

/**
 * struct cf_route - configuration of one route
 * @host: host of the request in lower case, or "" for any host
 * @path: path prefix, matched up to a '/' boundary; a prefix with a final
 *	'/' matches only paths below it
 * @method: HTTP method, or "" for any method
 * @service: index into the services of the same snapshot; the service of
 *	the first part when the route is split
 * @idempotent: whether calls may be retried without an idempotency key
 * @download: whether responses are large
 * @upload: whether requests are large; its calls may run once only
 * @timeout: maximum duration of a call, 0 for the timeout of the service
 * @latency_target: target latency; an answer that takes longer is worth less; 0
 *	for no target
 * @priority: priority of its calls, 0 is the highest
 * @attempts: maximum number of endpoints that are tried for one call, 0 for
 *	the default
 * @open: whether its calls need no key of a team
 * @named_service: service that is named beside @parts, or ""; it exists, and
 *	is kept for reading back
 * @parts: targets of a weighted split, or NULL
 * @n_parts: number of targets, 0 when the route is not split
 */
struct cf_route {
	const char *name;
	const char *host;
	const char *path;
	const char *method;
	int service;
	bool idempotent;
	bool download;
	bool upload;
	ba_time timeout;
	ba_time latency_target;
	uint32_t priority;
	uint32_t attempts;
	bool open;
	const char *named_service;
	struct cf_part *parts;
	size_t n_parts;
};

/**
 * struct cf_team - a group of callers, known by its keys
 * @has_priority: whether @priority was given; it precedes that of the route
 * @priority: priority of its calls, 0 is the highest
 * @has_calls_per_second: whether @calls_per_second was given
 * @calls_per_second: limit in the whole mesh, 0 for no limit
 * @has_burst: whether @burst was given
 * @burst: calls beyond @calls_per_second that may come at once
 * @keys: digests of its keys, in the order of the operator
 * @key_texts: the keys themselves; NULL outside the core
 */
struct cf_team {
	const char *name;
	bool has_priority;
	uint32_t priority;
	bool has_calls_per_second;
	double calls_per_second;
	bool has_burst;
	double burst;
	const struct ba_digest *keys;
	const char *const *key_texts;
	size_t n_keys;
};

/**
 * struct cf_policy_row - policy row: the policy for one service
 * @service: index into the services of the same snapshot
 * @weight: 1 to 1000; a service with a greater weight is shed later
 * @convergence_limit: maximum time for a change to reach every daemon
 * @calls_limit: limit in calls per second across the mesh, 0 for no limit
 * @deadline: time allowed for a call whose caller sets no deadline
 */
struct cf_policy_row {
	int service;
	uint32_t weight;
	ba_time convergence_limit;
	uint32_t calls_limit;
	ba_time deadline;
};

/**
 * struct cf_policy - policy that operators set for the mesh
 * @time_zone: IANA name of the time zone in which a day begins and ends
 * @cross_region_bytes_per_day: byte budget of the paid links between
 *	regions, 0 for no limit
 * @convergence_weight: weight of fast convergence, relative to @bytes_weight
 * @bytes_weight: weight of sending few bytes
 * @convergence_limit: maximum time for a change to reach every daemon of the
 *	mesh
 * @rows: one row per service, in the order of the services
 */
struct cf_policy {
	const char *time_zone;
	uint64_t cross_region_bytes_per_day;
	uint32_t convergence_weight;
	uint32_t bytes_weight;
	ba_time convergence_limit;
	struct cf_policy_row *rows;
};

/** enum cf_rollout_state - as CfRolloutState */
enum cf_rollout_state {
	CF_ROLLOUT_RUNNING,
	CF_ROLLOUT_COMPLETED,
	CF_ROLLOUT_ROLLED_BACK,
};

/** CF_SHARE_ALL - all calls, as a share in thousandths */
enum { CF_SHARE_ALL = 1000, CF_ROLLOUTS_LIMIT = CF_SERVICES_LIMIT };

/** enum cf_cohort - how a roll-out treats the endpoints of a version */
enum cf_cohort {
	CF_COHORT_KEPT,	  /* serves, as before the roll-out */
	CF_COHORT_TARGET, /* gets the share of the roll-out */
	CF_COHORT_BARRED, /* gets no calls */
};

/**
 * struct cf_rollout - the last move of a service's calls to another version
 * @target: version that the calls are moved to
 * @share: share of the calls for @target while it runs, in thousandths
 * @previous: version that was in force before, "" if not known: all but @target
 * @barred: version that was rolled back before, or ""
 * @order: index of the log entry of the order
 * @ordered_at: wall time of the order
 * @stepped_at: wall time of the last step
 * @elapsed: time from the order to the last step
 */
struct cf_rollout {
	const char *service;
	const char *target;
	enum cf_rollout_state state;
	uint32_t share;
	const char *previous;
	const char *barred;
	uint64_t order;
	ba_time duration;
	ba_time ordered_at;
	ba_time stepped_at;
	ba_time elapsed;
};

/**
 * struct cf_snapshot - one version of the configuration with its policy
 * @version: index in the replicated log, 0 for the empty snapshot
 * @revision: version number assigned by the operators, 0 if they use none
 * @digest: digest of the canonical encoding without the version
 * @has_teams: whether there is a list of teams.  It may be empty: then no key
 *	is known, and only open routes can be called.  Without a list no key is
 *	asked for.
 */
struct cf_snapshot {
	uint64_t version;
	struct ba_digest digest;
	struct cf_service *services;
	size_t n_services;
	struct cf_route *routes;
	size_t n_routes;
	struct cf_policy policy;
	uint64_t revision;
	struct cf_limits limits;
	bool has_teams;
	struct cf_team *teams;
	size_t n_teams;
	struct cf_rollout *rollouts;
	size_t n_rollouts;
};

/** cf_snapshot_empty() - create the snapshot of version 0, without services */
struct cf_snapshot *cf_snapshot_empty(void);

/** cf_snapshot_ref() - take a reference; callable from any thread */
struct cf_snapshot *cf_snapshot_ref(struct cf_snapshot *s);

/** cf_snapshot_unref() - drop a reference; @s may be NULL */
void cf_snapshot_unref(struct cf_snapshot *s);

/**
 * cf_parse_configuration() - parse services and routes from TOML
 * @base: current snapshot; its policy is kept, with the rows of services
 *	that remain
 * @version: version of the new snapshot
 * @out: the new snapshot, set only on success
 * @problems: receives every problem of the file
 *
 * Return: %BA_OK or the code of the first problem.
 */
int cf_parse_configuration(const char *text, size_t len,
			   const struct cf_snapshot *base, uint64_t version,
			   struct cf_snapshot **out,
			   struct ba_problems *problems);

/** cf_parse_policy() - parse a policy from TOML; services are those of @base */
int cf_parse_policy(const char *text, size_t len,
		    const struct cf_snapshot *base, uint64_t version,
		    struct cf_snapshot **out, struct ba_problems *problems);

/**
 * enum cf_form - what an encoding holds of the keys of teams
 */
enum cf_form {
	CF_FORM_DIGESTS, /* their digests; for everybody */
	CF_FORM_KEYS,	 /* the keys; for the log of the core only */
};

/** cf_snapshot_encode() - append the CfSnapshot message to @out */
void cf_snapshot_encode(const struct cf_snapshot *s, enum cf_form form,
			struct ba_buf *out);

/**
 * cf_snapshot_decode() - decode a CfSnapshot message and check every rule
 *
 * Return: %BA_OK, %CF_ENCODING_WRONG, or the code of the first broken rule.
 */
int cf_snapshot_decode(const void *data, size_t len, struct cf_snapshot **out);

/**
 * cf_snapshot_decode_submission() - decode a CfSnapshot message that an
 * operator submits
 * @base: current snapshot; its policy is kept, with the rows of services
 *	that remain
 * @version: version of the new snapshot
 *
 * Return: %BA_OK or the code of the first problem.
 */
int cf_snapshot_decode_submission(const void *data, size_t len,
				  const struct cf_snapshot *base,
				  uint64_t version, struct cf_snapshot **out,
				  struct ba_problems *problems);

/** cf_delta_encode() - append to @out the CfDelta that turns @from into @to */
void cf_delta_encode(const struct cf_snapshot *from,
		     const struct cf_snapshot *to, enum cf_form form,
		     struct ba_buf *out);

/**
 * cf_delta_apply() - apply a CfDelta message to @from
 *
 * Return: %BA_OK, %CF_DELTA_BASE_WRONG, %CF_VERSION_OLDER,
 * %CF_DIGEST_WRONG, %CF_ENCODING_WRONG, or the code of the first rule that
 * the result breaks; @out is set only on success.
 */
int cf_delta_apply(const struct cf_snapshot *from, const void *data, size_t len,
		   struct cf_snapshot **out);

/**
 * cf_snapshot_set_rollouts() - copy @s with other roll-outs
 * @list: sorted by service; its strings are copied
 */
struct cf_snapshot *cf_snapshot_set_rollouts(const struct cf_snapshot *s,
					     const struct cf_rollout *list,
					     size_t n, uint64_t version);

/** cf_rollout_find() - the last roll-out of @service, or NULL */
const struct cf_rollout *cf_rollout_find(const struct cf_snapshot *s,
					 const char *service);

/**
 * cf_rollout_cohort() - how endpoints of @version are treated
 * @r: the last roll-out of their service; NULL if there was none
 * @version: what they state of themselves, "" for nothing
 */
enum cf_cohort cf_rollout_cohort(const struct cf_rollout *r,
				 const char *version);

/** enum cf_order_verdict - what becomes of the order of a roll-out */
enum cf_order_verdict {
	CF_ORDER_STARTS,
	CF_ORDER_REPEATS, /* it was accepted before */
	CF_ORDER_WAITS,	  /* another one is in progress */
};

/*
 * An order that is the same as that of a version rolled back is its repetition
 * for this time after the end of the duration, else a new attempt.
 */
#define CF_ORDER_REPEAT_TIME (30 * BA_SECOND)

/** cf_rollout_judge_order() - compare an order with the last roll-out */
enum cf_order_verdict cf_rollout_judge_order(const struct cf_rollout *last,
					     const struct cf_rollout *order);

/**
 * cf_rollout_decode() - decode a CfRollout message that an operator submits
 * @keep: set to the message that owns the strings of @out, to be passed to
 *	cf_rollout_release()
 *
 * Return: whether it names a service, a target and a duration.
 */
bool cf_rollout_decode(const void *data, size_t len, struct cf_rollout *out,
		       void **keep);

/** cf_rollout_release() - free what cf_rollout_decode() set */
void cf_rollout_release(void *keep);

/** cf_rollout_encode() - append the CfRollout message */
void cf_rollout_encode(const struct cf_rollout *r, struct ba_buf *out);

/** cf_rollout_state_name() - "running", "completed" or "rolled-back" */
const char *cf_rollout_state_name(enum cf_rollout_state state);

/**
 * cf_number_to_proto() - encode a number that may have a fraction
 * @whole: set to the number if it is one of 32 bits, else to 0
 * @rest: set to what @whole lacks; 0, which is not sent, for a whole number
 */
void cf_number_to_proto(double number, uint32_t *whole, double *rest);

/** cf_service_find() - find a service by name; index or %CF_NO_SERVICE */
int cf_service_find(const struct cf_snapshot *s, const char *name);

/** cf_team_find() - find a team by name, or NULL */
const struct cf_team *cf_team_find(const struct cf_snapshot *s,
				   const char *name);

/** cf_team_find_key() - find the team that has a key, or NULL */
const struct cf_team *cf_team_find_key(const struct cf_snapshot *s,
				       const struct ba_digest *key);

/**
 * cf_route_match() - find the route for a request
 * @host: host of the request in lower case, without a port, or ""
 * @path: path of the request without the query, @len bytes
 *
 * The routes of @host are matched first, then those for any host.  The
 * longest matching path wins; for equal paths a route with the method of the
 * request takes precedence over a route for any method.
 *
 * Return: the route, or NULL.
 */
const struct cf_route *cf_route_match(const struct cf_snapshot *s,
				      const char *host, const char *method,
				      const char *path, size_t len);

/**
 * cf_route_match_any_host() - match a NUL-terminated path against the routes
 * for any host
 */
const struct cf_route *cf_route_match_any_host(const struct cf_snapshot *s,
					       const char *method,
					       const char *path);

#ifdef __cplusplus
}
#endif
#endif
