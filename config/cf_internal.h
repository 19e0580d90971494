/*
 * Internal to config/: drafts of snapshots, and the rules they must satisfy.
 */
#ifndef CF_INTERNAL_H
#define CF_INTERNAL_H

#include <glib.h>

#include "config/cf.h"
#include "wire/cf.pb-c.h"

/* Lengths of strings are without the final NUL. */
enum {
	CF_PATH_BYTES = 2047,
	CF_HOST_BYTES = 253,
	CF_FILE_NAME_BYTES = 63, /* of a name in a file */
	CF_FILE_PATH_BYTES = 255,
	CF_PARTS_LIMIT = 1024,
	CF_PRIORITY_LIMIT = 1000, /* in a file */
	CF_CONNECTIONS_LIMIT = 1000000,
	CF_METHOD_BYTES = 15,
	CF_TIME_ZONE_BYTES = 63,
	CF_IN_FLIGHT_LIMIT = 1000000,
	CF_WEIGHT_LIMIT = 1000,
	CF_DEFAULT_ROW_WEIGHT = 100,
	CF_DEFAULT_POLICY_WEIGHT = 50,
	CF_KEY_BYTES = 255,
	CF_KEYS_LIMIT = 1000, /* of one team */
};

/*
 * Line number of an entry that was copied from a snapshot.  The values of such
 * an entry have been checked before; only the rules that relate it to other
 * entries are checked again.
 */
enum { CF_LINE_FROM_SNAPSHOT = -1 };

#define CF_TIME_LIMIT (24 * BA_HOUR)
/* A latency target this far above the timeout can only be a mistake. */
#define CF_TARGET_EXCESS_LIMIT BA_MINUTE
#define CF_DEFAULT_TIMEOUT (10 * BA_SECOND)
#define CF_DEFAULT_CONVERGENCE (6 * BA_SECOND)

/**
 * struct cf_snapshot_impl - a snapshot and the memory it owns
 * @s: public part; first, so that the two structs share one address
 * @refs: reference count, changed atomically
 * @strings: storage of all strings of the snapshot
 * @parts: storage of the parts of all split routes
 * @by_path: the routes sorted by host, path and method, for binary search
 * @keys: storage of the digests of all keys
 * @key_texts: storage of the keys
 * @by_key: the digests of all keys, sorted, for binary search
 * @n_keys: their number
 */
struct cf_snapshot_impl {
	struct cf_snapshot s;
	uint64_t refs;
	GStringChunk *strings;
	struct cf_part *parts;
	const struct cf_route **by_path;
	struct ba_digest *keys;
	const char **key_texts;
	struct cf_key_owner *by_key;
	size_t n_keys;
};

/** struct cf_key_owner - a key and the index of its team */
struct cf_key_owner {
	struct ba_digest key;
	uint32_t team;
};

struct cf_draft_service {
	struct cf_service value;
	int line;
};

/** struct cf_draft_part - a part of a split route, its service by name */
struct cf_draft_part {
	const char *service;
	double weight;
};

/**
 * struct cf_draft_route - a route that refers to its services by name
 * @service: name of its service
 * @line: line in the file, 0 for an entry of a message, or
 *	%CF_LINE_FROM_SNAPSHOT
 * @first_part: index of its first part in the parts of the draft
 * @n_parts: number of its parts, 0 for a route to one service
 */
struct cf_draft_route {
	struct cf_route value;
	const char *service;
	int line;
	guint first_part;
	guint n_parts;
};

struct cf_draft_row {
	struct cf_policy_row value;
	const char *service;
	int line;
};

/** struct cf_draft_key - a key; @text is NULL where only the digest is known */
struct cf_draft_key {
	struct ba_digest digest;
	const char *text;
};

/**
 * struct cf_draft_team - a team whose keys are in the keys of the draft
 * @line: as for a route
 * @wrong_key: whether one of its keys is no key or digest
 */
struct cf_draft_team {
	struct cf_team value;
	int line;
	guint first_key;
	guint n_keys;
	bool wrong_key;
};

/**
 * struct cf_draft - a snapshot under construction
 * @by_path: pointers to the routes, sorted by host, path and method; filled by
 *	cf_draft_finish()
 * @by_key: the digests of all keys, sorted; filled by cf_draft_finish()
 *
 * Entries are added in any order.  Routes, parts and rows refer to services by
 * name; these names are borrowed, and must stay valid until the draft is
 * finished.
 */
struct cf_draft {
	uint64_t version;
	GStringChunk *strings;
	GArray *services;
	GArray *routes;
	GArray *parts;
	GArray *rows;
	bool has_teams;
	GArray *teams;
	GArray *keys;
	GArray *by_key;
	GPtrArray *by_path;
	struct cf_policy policy;
	uint64_t revision;
	struct cf_limits limits;
	GArray *rollouts;
};

/** cf_draft_init() - initialize an empty draft with the default policy */
void cf_draft_init(struct cf_draft *d, uint64_t version);

/** cf_draft_free() - free the memory that the draft still owns */
void cf_draft_free(struct cf_draft *d);

/** cf_draft_add_service() - add a service, defined on @line of the file */
void cf_draft_add_service(struct cf_draft *d, const struct cf_service *s,
			  int line);

/** cf_draft_add_route() - add a route whose target is the service @service */
void cf_draft_add_route(struct cf_draft *d, const struct cf_route *r,
			const char *service, int line);

/** cf_draft_add_part() - add a split target to the route added last */
void cf_draft_add_part(struct cf_draft *d, const char *service, double weight);

/** cf_draft_add_row() - add a policy row for the service @service */
void cf_draft_add_row(struct cf_draft *d, const struct cf_policy_row *r,
		      const char *service, int line);

/** cf_draft_add_team() - add a team, without its keys */
void cf_draft_add_team(struct cf_draft *d, const struct cf_team *t, int line);

/** cf_draft_add_key() - add a key to the team added last */
void cf_draft_add_key(struct cf_draft *d, const char *text);

/** cf_draft_copy_team() - add team @t of a snapshot, with its keys */
void cf_draft_copy_team(struct cf_draft *d, const struct cf_team *t);

/** cf_draft_sort_teams() - sort the teams by name and index their keys */
void cf_draft_sort_teams(struct cf_draft *d);

/** cf_draft_check_teams() - check every rule of sorted teams */
void cf_draft_check_teams(const struct cf_draft *d,
			  struct ba_problems *problems);

/** cf_draft_build_teams() - move the sorted teams into the snapshot */
void cf_draft_build_teams(const struct cf_draft *d,
			  struct cf_snapshot_impl *impl);

/** cf_draft_copy_route() - add route @r of the snapshot @from */
void cf_draft_copy_route(struct cf_draft *d, const struct cf_snapshot *from,
			 const struct cf_route *r);

/**
 * cf_draft_copy_policy() - copy the policy of @from, with the rows of the
 * services of @d
 */
void cf_draft_copy_policy(struct cf_draft *d, const struct cf_snapshot *from);

/** cf_draft_set_policy() - set the policy, without its rows */
void cf_draft_set_policy(struct cf_draft *d, const struct cf_policy *p);

/** cf_draft_strdup() - copy @text into the string storage of the snapshot */
const char *cf_draft_strdup(struct cf_draft *d, const char *text);

/**
 * cf_draft_finish() - sort the draft, check every rule, build the snapshot
 * @problems: receives every broken rule
 *
 * Services without a policy row get a default row.
 *
 * Return: the snapshot, or NULL if a rule is broken.
 */
struct cf_snapshot *cf_draft_finish(struct cf_draft *d,
				    struct ba_problems *problems);

/** cf_is_amount() - whether a number is 0 or more, and finite */
bool cf_is_amount(double number);

/**
 * cf_check_name() - check the name of an entry
 * @line: line that a problem is reported with
 * @key: key that a problem is reported with
 */
void cf_check_name(const char *name, int line, const char *key,
		   struct ba_problems *p);

/** cf_check_number() - check that a number is in a range */
void cf_check_number(uint32_t n, uint32_t least, uint32_t most, int line,
		     const char *key, struct ba_problems *p);

/** cf_sort_array() - sort @a unless it is sorted already */
void cf_sort_array(GArray *a, GCompareFunc compare);

/** cf_draft_check() - check every rule of a sorted, resolved draft */
void cf_draft_check(const struct cf_draft *d, struct ba_problems *problems);

/** cf_draft_service_find() - index in the sorted services, or %CF_NO_SERVICE */
int cf_draft_service_find(const struct cf_draft *d, const char *name);

/** cf_route_compare() - compare two routes by host, path, then method */
int cf_route_compare(const struct cf_route *a, const struct cf_route *b);

/** cf_snapshot_digest() - digest of the encoding without the version */
struct ba_digest cf_snapshot_digest(const struct cf_snapshot *s);

/** cf_service_to_proto() - fill in a message; borrows the strings of @s */
void cf_service_to_proto(CfService *m, const struct cf_service *s);

/**
 * cf_route_to_proto() - fill in a message for a route of @s; release its parts
 * with cf_route_proto_clear()
 */
void cf_route_to_proto(CfRoute *m, const struct cf_snapshot *s,
		       const struct cf_route *r);

/** cf_route_proto_clear() - free what cf_route_to_proto() allocated */
void cf_route_proto_clear(CfRoute *m);

/**
 * cf_team_to_proto() - fill in a message; borrows the strings of @t; release
 * it with cf_team_proto_clear()
 */
void cf_team_to_proto(CfTeam *m, const struct cf_team *t, enum cf_form form);

/** cf_team_proto_clear() - free what cf_team_to_proto() allocated */
void cf_team_proto_clear(CfTeam *m);

/** cf_team_same() - whether two teams of one name are equal */
bool cf_team_same(const struct cf_team *a, const struct cf_team *b);

/** cf_limits_to_proto() - fill in a message */
void cf_limits_to_proto(CfLimits *m, const struct cf_limits *l);

/** cf_limits_from_proto() - limits of a message, the defaults for NULL */
struct cf_limits cf_limits_from_proto(const CfLimits *m);

/** cf_policy_row_to_proto() - fill in a message for a policy row of @s */
void cf_policy_row_to_proto(CfPolicyRow *m, const struct cf_snapshot *s,
			    const struct cf_policy_row *r);

/** cf_policy_to_proto() - fill in a message, without its rows */
void cf_policy_to_proto(CfPolicy *m, const struct cf_policy *p);

/** cf_draft_add_service_proto() - add the service of a message to a draft */
void cf_draft_add_service_proto(struct cf_draft *d, const CfService *m);

/** cf_draft_add_route_proto() - add the route of a message to a draft */
void cf_draft_add_route_proto(struct cf_draft *d, const CfRoute *m);

/** cf_draft_add_team_proto() - add the team of a message to a draft */
void cf_draft_add_team_proto(struct cf_draft *d, const CfTeam *m);

/** cf_draft_add_row_proto() - add the policy row of a message to a draft */
void cf_draft_add_row_proto(struct cf_draft *d, const CfPolicyRow *m);

/** cf_draft_set_policy_proto() - set the policy, but not its rows */
void cf_draft_set_policy_proto(struct cf_draft *d, const CfPolicy *m);

/** cf_draft_add_rollout() - add a roll-out; its strings are copied */
void cf_draft_add_rollout(struct cf_draft *d, const struct cf_rollout *r);

/** cf_draft_add_rollouts_proto() - add the roll-outs of a message */
void cf_draft_add_rollouts_proto(struct cf_draft *d, CfRollout *const *list,
				 size_t n);

/** cf_draft_copy_rollouts() - add the roll-outs of a snapshot */
void cf_draft_copy_rollouts(struct cf_draft *d, const struct cf_snapshot *from);

/** cf_draft_check_rollouts() - report the first wrong roll-out */
void cf_draft_check_rollouts(const struct cf_draft *d,
			     struct ba_problems *problems);

/**
 * cf_rollouts_to_proto() - convert all roll-outs of a snapshot
 *
 * Return: the messages, to be freed with cf_rollouts_proto_free(); NULL if
 * there are none.
 */
CfRollout **cf_rollouts_to_proto(const struct cf_snapshot *s);

/** cf_rollouts_proto_free() - free what cf_rollouts_to_proto() returned */
void cf_rollouts_proto_free(CfRollout **list);

/** cf_rollouts_equal() - whether two snapshots have the same roll-outs */
bool cf_rollouts_equal(const struct cf_snapshot *a,
		       const struct cf_snapshot *b);

#endif
