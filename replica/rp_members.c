#include <string.h>

#include <glib.h>

#include "replica/rp_members.h"
#include "wire/rp.pb-c.h"

struct rp_member *rp_members_find(struct rp_members *m, const char *name)
{
	for (size_t i = 0; i < m->n; i++)
		if (!strcmp(m->list[i].name, name))
			return &m->list[i];
	return NULL;
}

size_t rp_members_quorum(const struct rp_members *m)
{
	size_t voting = 0;

	for (size_t i = 0; i < m->n; i++)
		voting += m->list[i].voting;
	return voting / 2 + 1;
}

void rp_members_add(struct rp_members *m, const char *name, const char *address,
		    const char *disk_id, bool voting)
{
	struct rp_member *member;

	if (m->n == RP_MEMBERS_LIMIT)
		return;
	member = &m->list[m->n++];
	memset(member, 0, sizeof(*member));
	g_strlcpy(member->name, name, sizeof(member->name));
	g_strlcpy(member->address, address, sizeof(member->address));
	g_strlcpy(member->disk_id, disk_id, sizeof(member->disk_id));
	member->voting = voting;
}

void rp_members_remove(struct rp_members *m, const char *name)
{
	struct rp_member *member = rp_members_find(m, name);

	if (!member)
		return;
	m->n--;
	memmove(member, member + 1,
		(size_t)(&m->list[m->n] - member) * sizeof(*member));
}

void rp_members_encode(const struct rp_members *m, struct ba_buf *out)
{
	RpMembers all = RP_MEMBERS__INIT;
	RpMember items[RP_MEMBERS_LIMIT];
	RpMember *list[RP_MEMBERS_LIMIT];
	size_t len;

	all.members = list;
	all.n_members = m->n;
	for (size_t i = 0; i < m->n; i++) {
		rp_member__init(&items[i]);
		items[i].name = (char *)m->list[i].name;
		items[i].address = (char *)m->list[i].address;
		items[i].disk_id = (char *)m->list[i].disk_id;
		items[i].voting = m->list[i].voting;
		list[i] = &items[i];
	}
	len = rp_members__get_packed_size(&all);
	ba_buf_reserve(out, len);
	rp_members__pack(&all, out->data + out->len);
	out->len += len;
}

bool rp_members_decode(struct rp_members *m, const void *data, size_t len)
{
	RpMembers *all = rp_members__unpack(NULL, len, data);
	bool valid = all && all->n_members <= RP_MEMBERS_LIMIT;

	memset(m, 0, sizeof(*m));
	for (size_t i = 0; valid && i < all->n_members; i++) {
		const RpMember *member = all->members[i];

		rp_members_add(m, member->name, member->address,
			       member->disk_id, member->voting);
	}
	if (all)
		rp_members__free_unpacked(all, NULL);
	return valid;
}
