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
#define CF_DEFAULT_TIMEOUT (10 * BA_SECOND)
#define CF_DEFAULT_CONVERGENCE (6 * BA_SECOND)

/**
 * struct cf_whole - a snapshot with what it owns
 * @refs: reference count, changed atomically
 * @strings: all strings of the snapshot
 * @by_path: the routes in the order of path and method, for lookups
 */
struct cf_whole {
	struct cf_snapshot s;
	uint64_t refs;
	GStringChunk *strings;
	const struct cf_route **by_path;
};

struct cf_draft_service {
	struct cf_service value;
	int line;
};

struct cf_draft_route {
	struct cf_route value;
	const char *service;
	int line;
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
	GArray *rows;
	GPtrArray *by_path;
	struct cf_policy policy;
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

/** cf_draft_row() - add a policy row for the service named @service */
void cf_draft_row(struct cf_draft *d, const struct cf_row *r,
		  const char *service, int line);

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

/** cf_route_compare() - order of routes by path, then method */
int cf_route_compare(const struct cf_route *a, const struct cf_route *b);

/** cf_snapshot_digest() - digest of the encoding without the version */
struct ba_digest cf_snapshot_digest(const struct cf_snapshot *s);

/** cf_to_service() - fill in a message; its strings are those of @s */
void cf_to_service(CfService *m, const struct cf_service *s);

/** cf_to_route() - fill in a message for a route of @s */
void cf_to_route(CfRoute *m, const struct cf_snapshot *s,
		 const struct cf_route *r);

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
