#include <string.h>

#include "replica/rp_internal.h"
#include "wire/rp.pb-c.h"

/*
 * Forming the group.  Only the founder with the first name asks the others for
 * their votes, and it needs the vote of each founder that its settings list.  A
 * replica without a log votes once, for one candidate, and saves that before it
 * answers; so two groups with a founder in common are never formed, whatever
 * the settings of their founders say.
 */

enum { FIRST_TERM = 1 };

static bool lost_its_disk(struct rp_core *c, int from,
			  const struct rp_message *m);
static void try_to_form(struct rp_core *c, ba_time now, struct rp_actions *out);
static bool may_form(const struct rp_core *c, ba_time now);
static bool may_grant(const struct rp_core *c, int from,
		      const struct rp_message *m);
static bool vote_is_free(const struct rp_core *c, int candidate);
static int n_founders(const struct rp_core *c);
static int first_founder(const struct rp_core *c);
static bool all_unformed(const struct rp_core *c, ba_time now);
static bool is_unformed(const struct rp_core *c, int i, ba_time now);
static bool request_missing_votes(struct rp_core *c, struct rp_actions *out);
static void form_group(struct rp_core *c, ba_time now, struct rp_actions *out);

/* Probes for an existing group; the first founder forms one if there is none. */
void rp_form_tick(struct rp_core *c, ba_time now, struct rp_actions *out)
{
	if (now < c->probe_deadline)
		return;
	c->probe_deadline = now + c->o.times.probe;
	for (int i = 0; i < c->n_peers; i++) {
		if (i == c->self)
			continue;
		rp_send(c, out, i, RP_PROBE)->damaged = c->damaged;
	}
	try_to_form(c, now, out);
}

void rp_on_probe(struct rp_core *c, int from, const struct rp_message *m,
		 ba_time now, struct rp_actions *out)
{
	struct rp_peer *p = &c->peers[from];
	struct rp_message *reply;

	if (!m->is_reply && lost_its_disk(c, from, m))
		rp_end_lease(c, now);
	p->formed = m->formed;
	p->unformed_at = m->formed ? 0 : now;
	p->damaged = m->damaged;
	if (strcmp(p->disk_id, m->disk_id)) {
		p->match = 0;
		p->next = rp_log_last(&c->log) + 1;
		p->round = 0;
		p->granted = false;
	}
	memcpy(p->disk_id, m->disk_id, sizeof(p->disk_id));
	if (!m->is_reply) {
		reply = rp_send(c, out, from, RP_PROBE);
		reply->is_reply = true;
		reply->formed = c->role != RP_UNFORMED;
		reply->damaged = c->damaged && c->role == RP_UNFORMED;
	}
	if (c->role == RP_UNFORMED)
		try_to_form(c, now, out);
}

/* A vote that was given is given again, as its first reply may be lost. */
void rp_on_form_request(struct rp_core *c, int from, const struct rp_message *m,
			struct rp_actions *out)
{
	bool grant = may_grant(c, from, m);
	struct rp_message *reply;

	if (grant && (c->vote != from || c->term < m->term)) {
		c->term = m->term;
		c->vote = from;
		rp_save_vote(c, out);
	}
	reply = rp_send(c, out, from, RP_VOTE_REPLY);
	reply->granted = grant;
	if (grant)
		reply->term = m->term;
}

void rp_on_form_reply(struct rp_core *c, int from, const struct rp_message *m,
		      ba_time now, struct rp_actions *out)
{
	struct rp_peer *p = &c->peers[from];

	if (!m->granted || m->pre || c->vote != c->self || m->term != c->term ||
	    strcmp(p->disk_id, m->disk_id))
		return;
	p->granted = true;
	try_to_form(c, now, out);
}

int rp_core_awaited_founder(const struct rp_core *c, ba_time now)
{
	int first = first_founder(c);

	if (c->role != RP_UNFORMED || first != c->self)
		return c->role == RP_UNFORMED ? first : RP_NO_PEER;
	for (int i = 0; i < n_founders(c); i++)
		if (i != c->self && !is_unformed(c, i, now))
			return i;
	/* Votes are asked for once all are there. */
	for (int i = 0; i < n_founders(c); i++)
		if (i != c->self && !c->peers[i].granted)
			return i;
	return RP_NO_PEER;
}

/*
 * Whether the last leader asks for a group with another disk than the one that
 * it led with.  It has been started anew then, and does not lead.
 */
static bool lost_its_disk(struct rp_core *c, int from,
			  const struct rp_message *m)
{
	const struct rp_member *member = rp_member(c, from);

	return from == c->lease_holder && c->role == RP_FOLLOWER && member &&
	       strcmp(member->disk_id, m->disk_id) != 0;
}

/* Its own vote is saved before the candidate asks for others. */
static void try_to_form(struct rp_core *c, ba_time now, struct rp_actions *out)
{
	if (!may_form(c, now))
		return;
	if (c->vote != c->self) {
		c->term = FIRST_TERM;
		c->vote = c->self;
		rp_save_vote(c, out);
	}
	if (!request_missing_votes(c, out))
		form_group(c, now, out);
}

static bool may_form(const struct rp_core *c, ba_time now)
{
	return !c->damaged && first_founder(c) == c->self &&
	       vote_is_free(c, c->self) && all_unformed(c, now);
}

/* The request names the disk of the voter: a new disk must not vote. */
static bool may_grant(const struct rp_core *c, int from,
		      const struct rp_message *m)
{
	int first = first_founder(c);

	if (c->role != RP_UNFORMED || c->damaged || m->term < c->term ||
	    strcmp(m->disk_id, c->disk_id) != 0)
		return false;
	return c->vote == from || (vote_is_free(c, from) &&
				   (first == from || first == RP_NO_PEER));
}

/* A term without a vote was learnt from a group that exists. */
static bool vote_is_free(const struct rp_core *c, int candidate)
{
	for (int i = 0; i < c->n_peers; i++)
		if (c->peers[i].formed)
			return false;
	return c->vote == candidate || (c->vote == RP_NO_PEER && !c->term);
}

/* All replicas in the settings, or in an open group only its founders. */
static int n_founders(const struct rp_core *c)
{
	return c->o.open_group ? (int)c->o.n_founders : c->n_peers;
}

/*
 * The founder whose name sorts first: each founder lists the names in an order
 * of its own.  %RP_NO_PEER if this replica only joins a group.
 */
static int first_founder(const struct rp_core *c)
{
	int first = RP_NO_PEER;

	for (int i = 0; i < n_founders(c); i++)
		if (first == RP_NO_PEER ||
		    strcmp(c->names[i], c->names[first]) < 0)
			first = i;
	return first;
}

static bool all_unformed(const struct rp_core *c, ba_time now)
{
	for (int i = 0; i < n_founders(c); i++)
		if (i != c->self && !is_unformed(c, i, now))
			return false;
	return true;
}

/* The report of a replica that it has no log counts for three probes. */
static bool is_unformed(const struct rp_core *c, int i, ba_time now)
{
	const struct rp_peer *p = &c->peers[i];

	return p->unformed_at && !p->damaged &&
	       now <= p->unformed_at + 3 * c->o.times.probe;
}

/* Return: whether a vote is missing. */
static bool request_missing_votes(struct rp_core *c, struct rp_actions *out)
{
	bool missing = false;

	for (int i = 0; i < n_founders(c); i++) {
		struct rp_message *m;

		if (i == c->self || c->peers[i].granted)
			continue;
		missing = true;
		m = rp_send(c, out, i, RP_VOTE_REQUEST);
		m->forming = true;
		memcpy(m->disk_id, c->peers[i].disk_id, sizeof(m->disk_id));
	}
	return missing;
}

/* The first entry names the disk of every founder. */
static void form_group(struct rp_core *c, ba_time now, struct rp_actions *out)
{
	struct rp_members members = {.n = 0};
	struct ba_buf body = {0};

	for (int i = 0; i < n_founders(c); i++)
		rp_members_add(&members, c->names[i], c->addresses[i],
			       i == c->self ? c->disk_id : c->peers[i].disk_id,
			       true);
	rp_members_encode(&members, &body);
	rp_append(c, RP_ENTRY_KIND__RP_ENTRY_MEMBERS, body.data, body.len, out);
	ba_buf_free(&body);
	rp_become_leader(c, now, out);
}
