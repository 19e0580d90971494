/*
 * Configuration and policy: what operators submit and every daemon holds.
 *
 * Rules:
 * - A snapshot is immutable and whole; it is shared by reference count.
 * - Every route and every policy row names a service of its own snapshot.
 * - The digest covers the canonical encoding of everything but the version.
 * - A delta applies to exactly one version and must yield the digest it
 *   names; otherwise nothing is changed.
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

enum {
	CF_NAME_BYTES = 63,
	CF_SERVICES_LIMIT = 4096,
	CF_ROUTES_LIMIT = 16384,
	CF_NO_SERVICE = -1,
};

/**
 * struct cf_service - one service
 * @name: lower case letters, digits and '-'
 * @max_in_flight: calls in flight over the mesh, 0 for no limit
 * @timeout: longest time a call may take
 * @health_path: where a backend server tells its health, or ""
 * @max_connections: that one endpoint accepts, 0 when not known
 * @protocol: what its backend servers speak, "" for HTTP/1.1
 * @tls: whether they want it encrypted
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
 * struct cf_part - one of the services that a route is split over
 * @service: index into the services of the same snapshot
 * @weight: its share, against the sum of all parts
 */
struct cf_part {
	int service;
	uint32_t weight;
};

/**
 * struct cf_limits - what a caller may send; zeroed for the defaults of the
 * program
 */
struct cf_limits {
	uint32_t max_header_bytes;
	uint64_t max_body_bytes;
	ba_time header_timeout;
	ba_time idle_timeout;
};

/**
 * struct cf_route - one route
 * @host: host that the caller names, in lower case, or "" for every one
 * @path: prefix that ends at a '/' boundary; with a final '/' it matches
 *	only what is below it
 * @method: HTTP method, or "" for every one
 * @service: index into the services of the same snapshot; that of the first
 *	part when the route is split
 * @idempotent: whether calls may be tried again without a key
 * @download: answers are large
 * @timeout: longest time a call may take, 0 for that of the service
 * @latency_target: within which an answer is worth most, 0 for none
 * @priority: rank of its calls, 0 is the highest
 * @attempts: endpoints that one call may run on, 0 for the default
 * @parts: the services it is split over, or NULL
 */
struct cf_route {
	const char *name;
	const char *host;
	const char *path;
	const char *method;
	int service;
	bool idempotent;
	bool download;
	ba_time timeout;
	ba_time latency_target;
	uint32_t priority;
	uint32_t attempts;
	struct cf_part *parts;
	size_t n_parts;
};

/**
 * struct cf_row - one row of the operators' table
 * @service: index into the services of the same snapshot
 * @weight: 1 to 1000; the heavier service is shed later
 * @convergence_limit: longest time for a change to reach every daemon
 * @calls_limit: calls per second over the mesh, 0 for no limit
 * @deadline: given to a call whose caller names none
 */
struct cf_row {
	int service;
	uint32_t weight;
	ba_time convergence_limit;
	uint32_t calls_limit;
	ba_time deadline;
};

/**
 * struct cf_policy - the operators' table
 * @time_zone: IANA name that days are counted in
 * @cross_region_bytes_per_day: budget of the paid links, 0 for no limit
 * @convergence_weight: weight of fast convergence, against
 * @bytes_weight: weight of few bytes
 * @convergence_limit: for the whole mesh
 * @rows: one for each service, in the order of the services
 */
struct cf_policy {
	const char *time_zone;
	uint64_t cross_region_bytes_per_day;
	uint32_t convergence_weight;
	uint32_t bytes_weight;
	ba_time convergence_limit;
	struct cf_row *rows;
};

/**
 * struct cf_snapshot - one version of the configuration with its policy
 * @version: position in the replicated log, 0 for the empty one
 * @revision: the operators' own number, 0 when they use none
 * @digest: of the canonical encoding, without the version
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
};

/** cf_snapshot_empty() - version 0, without services */
struct cf_snapshot *cf_snapshot_empty(void);

/** cf_snapshot_ref() - take a reference; safe from any thread */
struct cf_snapshot *cf_snapshot_ref(struct cf_snapshot *s);

/** cf_snapshot_unref() - drop a reference; NULL is allowed */
void cf_snapshot_unref(struct cf_snapshot *s);

/**
 * cf_parse_configuration() - read services and routes from TOML
 * @base: the current snapshot; its policy rows are kept for services that
 *	remain
 * @version: version the result gets
 * @out: the new snapshot, only on success
 * @problems: everything that is wrong with the file
 *
 * Return: %BA_OK or the code of the first problem.
 */
int cf_parse_configuration(const char *text, size_t len,
			   const struct cf_snapshot *base, uint64_t version,
			   struct cf_snapshot **out,
			   struct ba_problems *problems);

/** cf_parse_policy() - the same for the policy, on the services of @base */
int cf_parse_policy(const char *text, size_t len,
		    const struct cf_snapshot *base, uint64_t version,
		    struct cf_snapshot **out, struct ba_problems *problems);

/** cf_snapshot_encode() - append the CfSnapshot message to @out */
void cf_snapshot_encode(const struct cf_snapshot *s, struct ba_buf *out);

/**
 * cf_snapshot_decode() - read a CfSnapshot message and validate it whole
 *
 * Return: %BA_OK, %CF_ENCODING_WRONG, or the code of the rule it breaks.
 */
int cf_snapshot_decode(const void *data, size_t len, struct cf_snapshot **out);

/**
 * cf_snapshot_adopt() - read a CfSnapshot message that an operator submits
 * @base: the current snapshot; its policy is kept, with the rows of services
 *	that remain
 * @version: version the result gets
 *
 * Return: %BA_OK or the code of the first problem.
 */
int cf_snapshot_adopt(const void *data, size_t len,
		      const struct cf_snapshot *base, uint64_t version,
		      struct cf_snapshot **out, struct ba_problems *problems);

/** cf_delta_encode() - append the CfDelta from @from to @to to @out */
void cf_delta_encode(const struct cf_snapshot *from,
		     const struct cf_snapshot *to, struct ba_buf *out);

/**
 * cf_delta_apply() - apply a CfDelta to @from
 *
 * Return: %BA_OK, %CF_DELTA_BASE_WRONG, %CF_DIGEST_WRONG,
 * %CF_ENCODING_WRONG, or the code of the rule that the result breaks;
 * @out is set only on success.
 */
int cf_delta_apply(const struct cf_snapshot *from, const void *data, size_t len,
		   struct cf_snapshot **out);

/** cf_service_find() - index of a service, or %CF_NO_SERVICE */
int cf_service_find(const struct cf_snapshot *s, const char *name);

/**
 * cf_route_match() - the route of @host with the longest matching path, else
 * one of every host; one with a method goes before one without
 * @host: in lower case, without a port
 * @path: without a query
 * @len: its length
 *
 * Return: the route, or NULL.
 */
const struct cf_route *cf_route_match(const struct cf_snapshot *s,
				      const char *host, const char *method,
				      const char *path, size_t len);

/** cf_route_find() - the route of every host for a path that ends in NUL */
const struct cf_route *cf_route_find(const struct cf_snapshot *s,
				     const char *method, const char *path);

#ifdef __cplusplus
}
#endif
#endif
