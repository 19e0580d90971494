/*
 * Private to config/: snapshots under construction, and their rules.
 */
#ifndef CF_INTERNAL_H
#define CF_INTERNAL_H

#include <glib.h>

#include "config/cf.h"
#include "wire/cf.pb-c.h"

enum {
	CF_PATH_BYTES = 255,
	CF_HOST_BYTES = 253,
	CF_PARTS_LIMIT = 64,
	CF_PRIORITY_LIMIT = 1000,
	CF_ATTEMPTS_LIMIT = 100,
	CF_CONNECTIONS_LIMIT = 1000000,
	CF_METHOD_BYTES = 15,
	CF_ZONE_BYTES = 63,
	CF_IN_FLIGHT_LIMIT = 1000000,
	CF_WEIGHT_LIMIT = 1000,
	CF_DEFAULT_ROW_WEIGHT = 100,
	CF_DEFAULT_POLICY_WEIGHT = 50,
};

/* Stands for the line of an entry that comes from a checked snapshot. */
enum { CF_LINE_KEPT = -1 };

#define CF_TIME_LIMIT (24 * BA_HOUR)
/* A target so far above the timeout can only be a mistake. */
#define CF_TARGET_ABOVE_TIMEOUT BA_MINUTE
#define CF_DEFAULT_TIMEOUT (10 * BA_SECOND)
#define CF_DEFAULT_CONVERGENCE (6 * BA_SECOND)

/**
 * struct cf_whole - a snapshot with what it owns
 * @refs: reference count, changed atomically
 * @strings: all strings of the snapshot
 * @parts: the parts of all split routes
 * @by_path: the routes in the order of host, path and method, for lookups
 */
struct cf_whole {
	struct cf_snapshot s;
	uint64_t refs;
	GStringChunk *strings;
	struct cf_part *parts;
	const struct cf_route **by_path;
};

struct cf_draft_service {
	struct cf_service value;
	int line;
};

/** struct cf_draft_part - a part of a split route, its service named */
struct cf_draft_part {
	const char *service;
	uint32_t weight;
};

/**
 * struct cf_draft_route - a route with the services it names
 * @first_part: its parts stand in the parts of the draft from here on
 * @n_parts: 0 for a route to one service
 */
struct cf_draft_route {
	struct cf_route value;
	const char *service;
	int line;
	guint first_part;
	guint n_parts;
};

struct cf_draft_row {
	struct cf_row value;
	const char *service;
	int line;
};

/**
 * struct cf_draft - a snapshot under construction: entries in any order,
 * services named and not yet found; names of services that routes and rows
 * refer to are borrowed until the draft is finished
 * @by_path: the routes in the order of path and method, once they are sorted
 */
struct cf_draft {
	uint64_t version;
	GStringChunk *strings;
	GArray *services;
	GArray *routes;
	GArray *parts;
	GArray *rows;
	GPtrArray *by_path;
	struct cf_policy policy;
	uint64_t revision;
	struct cf_limits limits;
};

/** cf_draft_init() - an empty draft with the default policy */
void cf_draft_init(struct cf_draft *d, uint64_t version);

/** cf_draft_free() - free what the draft still owns */
void cf_draft_free(struct cf_draft *d);

/** cf_draft_service() - add a service that stands on @line of its file */
void cf_draft_service(struct cf_draft *d, const struct cf_service *s, int line);

/** cf_draft_route() - add a route to the service named @service */
void cf_draft_route(struct cf_draft *d, const struct cf_route *r,
		    const char *service, int line);

/** cf_draft_part() - split the route that was added last over @service too */
void cf_draft_part(struct cf_draft *d, const char *service, uint32_t weight);

/** cf_draft_row() - add a policy row for the service named @service */
void cf_draft_row(struct cf_draft *d, const struct cf_row *r,
		  const char *service, int line);

/** cf_draft_keep_route() - add a route of the checked snapshot @from */
void cf_draft_keep_route(struct cf_draft *d, const struct cf_snapshot *from,
			 const struct cf_route *r);

/** cf_draft_keep_policy() - the policy of @from, with the rows of services of @d */
void cf_draft_keep_policy(struct cf_draft *d, const struct cf_snapshot *from);

/** cf_draft_policy() - set all of the policy but its rows */
void cf_draft_policy(struct cf_draft *d, const struct cf_policy *p);

/** cf_draft_keep() - a copy of @text that lives as long as the snapshot */
const char *cf_draft_keep(struct cf_draft *d, const char *text);

/**
 * cf_draft_finish() - sort, check every rule, and make the snapshot
 * @problems: every rule that is broken
 *
 * Services without a row get the default one.
 *
 * Return: the snapshot, or NULL.
 */
struct cf_snapshot *cf_draft_finish(struct cf_draft *d,
				    struct ba_problems *problems);

/** cf_check() - check the rules of a sorted draft with services found */
void cf_check(const struct cf_draft *d, struct ba_problems *problems);

/** cf_draft_service_find() - index in a sorted draft, or %CF_NO_SERVICE */
int cf_draft_service_find(const struct cf_draft *d, const char *name);

/** cf_route_compare() - order of routes by host, path, then method */
int cf_route_compare(const struct cf_route *a, const struct cf_route *b);

/** cf_snapshot_digest() - digest of the encoding without the version */
struct ba_digest cf_snapshot_digest(const struct cf_snapshot *s);

/** cf_to_service() - fill in a message; its strings are those of @s */
void cf_to_service(CfService *m, const struct cf_service *s);

/**
 * cf_to_route() - fill in a message for a route of @s; its parts are freed
 * with cf_to_route_free()
 */
void cf_to_route(CfRoute *m, const struct cf_snapshot *s,
		 const struct cf_route *r);

/** cf_to_route_free() - free what cf_to_route() has allocated */
void cf_to_route_free(CfRoute *m);

/** cf_to_limits() - fill in a message */
void cf_to_limits(CfLimits *m, const struct cf_limits *l);

/** cf_from_limits() - the limits of a message, or the defaults for NULL */
struct cf_limits cf_from_limits(const CfLimits *m);

/** cf_to_row() - fill in a message for a policy row of @s */
void cf_to_row(CfPolicyRow *m, const struct cf_snapshot *s,
	       const struct cf_row *r);

/** cf_to_policy() - fill in a message without rows */
void cf_to_policy(CfPolicy *m, const struct cf_policy *p);

/** cf_from_service() - add the service of a message to a draft */
void cf_from_service(struct cf_draft *d, const CfService *m);

/** cf_from_route() - add the route of a message to a draft */
void cf_from_route(struct cf_draft *d, const CfRoute *m);

/** cf_from_row() - add the policy row of a message to a draft */
void cf_from_row(struct cf_draft *d, const CfPolicyRow *m);

/** cf_from_policy() - set the policy of a draft, without its rows */
void cf_from_policy(struct cf_draft *d, const CfPolicy *m);

#endif
