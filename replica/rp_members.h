/*
 * Members of the replica group.
 */
#ifndef RP_MEMBERS_H
#define RP_MEMBERS_H

#include <stdbool.h>

#include "base/ba_buf.h"
#include "replica/rp_store.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	RP_MEMBERS_LIMIT = 9,
	RP_PEERS_LIMIT = 64, /* known replicas, members or not */
	RP_ADDRESS_BYTES = 64,
};

/**
 * struct rp_member - a member of the group
 * @disk_id: identity of its disk; with another disk its vote does not count
 * @voting: whether it counts for elections and commits
 */
struct rp_member {
	char name[RP_NAME_BYTES];
	char address[RP_ADDRESS_BYTES];
	char disk_id[RP_DISK_ID_BYTES];
	bool voting;
};

/** struct rp_members - all members; none before the group is formed */
struct rp_members {
	struct rp_member list[RP_MEMBERS_LIMIT];
	size_t n;
};

/** rp_members_find() - find the member named @name, or NULL */
struct rp_member *rp_members_find(struct rp_members *m, const char *name);

/** rp_members_quorum() - number of voting members that form a majority */
size_t rp_members_quorum(const struct rp_members *m);

/** rp_members_add() - add a member, unless there are %RP_MEMBERS_LIMIT */
void rp_members_add(struct rp_members *m, const char *name, const char *address,
		    const char *disk_id, bool voting);

/** rp_members_remove() - remove the member named @name, if there is one */
void rp_members_remove(struct rp_members *m, const char *name);

/** rp_members_encode() - append a packed RpMembers */
void rp_members_encode(const struct rp_members *m, struct ba_buf *out);

/** rp_members_decode() - read a packed RpMembers; false when it is invalid */
bool rp_members_decode(struct rp_members *m, const void *data, size_t len);

#ifdef __cplusplus
}
#endif
#endif
