#include <string.h>

#include <glib.h>

#include "base/ba_result.h"
#include "replica/rp_internal.h"
#include "wire/rp.pb-c.h"

/*
 * An append or chunk may take long over a full link.  It is sent again after a
 * multiple of the resend time only, unless it is known to be lost.
 */
#define RP_INFLIGHT_RESENDS 10

/* In an open group, a member that is not heard for longer is replaced. */
#define RP_MEMBER_SILENCE_LIMIT (2 * BA_SECOND)

static int find_successor(struct rp_core *c, ba_time now);
static void begin_round(struct rp_core *c, ba_time now, struct rp_actions *out);
static void renew_lease(struct rp_core *c);
static void advance_commit(struct rp_core *c, ba_time now,
			   struct rp_actions *out);
static uint64_t quorum_value(struct rp_core *c, const uint64_t *values);
static bool accept_reply(struct rp_core *c, int from,
			 const struct rp_message *m, ba_time now,
			 struct rp_actions *out);
static void replicate(struct rp_core *c, int to, ba_time now,
		      struct rp_actions *out);
static void send_append(struct rp_core *c, int to, size_t n, ba_time now,
			struct rp_actions *out);
static void send_chunk(struct rp_core *c, int to, ba_time now,
		       struct rp_actions *out);
static void set_inflight(const struct rp_core *c, struct rp_peer *p,
			 ba_time now);
static size_t count_batch(const struct rp_core *c, uint64_t next);
static void reconcile_members(struct rp_core *c, ba_time now,
			      struct rp_actions *out);
static bool reconcile_member(struct rp_core *c, int i, ba_time now,
			     struct rp_members *m);
static bool should_reconcile(struct rp_core *c, int i, ba_time now);
static size_t count_voters(const struct rp_core *c);
static const char *find_silent_member(struct rp_core *c, bool voting,
				      ba_time now);
static bool remove_surplus(struct rp_core *c, ba_time now,
			   struct rp_members *m);
static bool remove_unlisted(const struct rp_core *c, struct rp_members *m);

/* An entry of the new term commits the entries of earlier terms. */
void rp_become_leader(struct rp_core *c, ba_time now, struct rp_actions *out)
{
	struct rp_action *a = rp_add_action(out, RP_DO_ROLE);

	c->role = RP_LEADER;
	c->leader = c->self;
	a->role = RP_LEADER;
	a->to = c->self;
	a->term = c->term;
	rp_set_lease_holder(c, c->self, out);
	for (int i = 0; i < c->n_peers; i++) {
		struct rp_peer *p = &c->peers[i];

		p->next = rp_log_last(&c->log) + 1;
		p->match = 0;
		p->round = 0;
		p->offset = 0;
		p->inflight_deadline = 0;
		p->lowest_version = i == c->self ? p->lowest_version : 0;
		p->daemons = i == c->self ? p->daemons : 0;
		p->live = i == c->self ? p->live : 0;
	}
	c->round = 0;
	c->leader_since = now;
	c->lease_until = now;
	c->term_start = rp_log_last(&c->log) + 1;
	rp_append(c, RP_ENTRY_KIND__RP_ENTRY_NOOP, NULL, 0, out);
	begin_round(c, now, out);
}

void rp_lead_tick(struct rp_core *c, ba_time now, struct rp_actions *out)
{
	if (now < c->heartbeat_deadline)
		return;
	begin_round(c, now, out);
	if (now >= c->lease_until + c->o.times.election_max) {
		rp_become_follower(c, c->term, RP_NO_PEER, RP_NO_QUORUM, now,
				   out);
		return;
	}
	reconcile_members(c, now, out);
}

void rp_lead_stored(struct rp_core *c, ba_time now, struct rp_actions *out)
{
	advance_commit(c, now, out);
}

void rp_on_append_reply(struct rp_core *c, int from, const struct rp_message *m,
			ba_time now, struct rp_actions *out)
{
	struct rp_peer *p = &c->peers[from];
	uint64_t next;

	if (!accept_reply(c, from, m, now, out))
		return;
	p->lowest_version = m->lowest_version;
	p->daemons = m->daemons;
	p->live = m->live;
	if (m->accepted) {
		p->match = MAX(p->match, m->index);
		p->next = MAX(p->next, p->match + 1);
		p->offset = 0;
		if (p->match >= p->inflight_index ||
		    m->round > p->inflight_round)
			p->inflight_deadline = 0;
		advance_commit(c, now, out);
		replicate(c, from, now, out);
		return;
	}
	next = MAX(p->match + 1, MIN(p->next - 1, m->index + 1));
	if (next >= p->next)
		return;
	p->next = next;
	p->inflight_deadline = 0;
	replicate(c, from, now, out);
}

void rp_on_install_reply(struct rp_core *c, int from,
			 const struct rp_message *m, ba_time now,
			 struct rp_actions *out)
{
	struct rp_peer *p = &c->peers[from];

	if (!accept_reply(c, from, m, now, out))
		return;
	p->offset = m->index == c->log.snapshot_index ? m->offset : 0;
	p->inflight_deadline = 0;
	replicate(c, from, now, out);
}

void rp_replicate_all(struct rp_core *c, ba_time now, struct rp_actions *out)
{
	for (int i = 0; i < c->n_peers; i++)
		if (i != c->self)
			replicate(c, i, now, out);
}

/*
 * A leader that stops hands over to a replica that has every entry.  It is a
 * follower from then on, so it accepts no more proposals in this term.
 */
void rp_hand_over_leadership(struct rp_core *c, ba_time now,
			     struct rp_actions *out)
{
	int to = find_successor(c, now);

	if (to == RP_NO_PEER)
		return;
	rp_send(c, out, to, RP_HANDOVER);
	c->no_candidacy_until = now + 2 * c->o.times.election_max;
	rp_become_follower(c, c->term, RP_NO_PEER, BA_OK, now, out);
}

static int find_successor(struct rp_core *c, ba_time now)
{
	for (int i = 0; i < c->n_peers; i++) {
		const struct rp_peer *p = &c->peers[i];

		if (i != c->self && rp_is_voter(c, i) &&
		    p->match == rp_log_last(&c->log) &&
		    now < p->heard_at + c->o.times.election_min)
			return i;
	}
	return RP_NO_PEER;
}

static void begin_round(struct rp_core *c, ba_time now, struct rp_actions *out)
{
	c->round++;
	c->round_sent[c->round % RP_ROUNDS_TRACKED] = now;
	c->heartbeat_deadline = now + c->o.times.heartbeat;
	renew_lease(c);
	for (int i = 0; i < c->n_peers; i++) {
		if (i == c->self)
			continue;
		if (now >= c->peers[i].inflight_deadline)
			replicate(c, i, now, out);
		send_append(c, i, 0, now, out);
	}
}

/* The lease is counted from the start of the round, not from its answers. */
static void renew_lease(struct rp_core *c)
{
	uint64_t rounds[RP_PEERS_LIMIT] = {0};
	uint64_t round;
	ba_time until;

	for (int i = 0; i < c->n_peers; i++)
		rounds[i] = i == c->self ? c->round : c->peers[i].round;
	round = quorum_value(c, rounds);
	if (!round || c->round - round >= RP_ROUNDS_TRACKED)
		return;
	until = c->round_sent[round % RP_ROUNDS_TRACKED] + c->o.times.lease;
	c->lease_until = MAX(c->lease_until, until);
}

/* Only entries of the own term are counted; they commit all before them. */
static void advance_commit(struct rp_core *c, ba_time now,
			   struct rp_actions *out)
{
	uint64_t matches[RP_PEERS_LIMIT] = {0};
	uint64_t term = 0;
	uint64_t index;

	for (int i = 0; i < c->n_peers; i++)
		matches[i] = i == c->self ? c->stored : c->peers[i].match;
	index = quorum_value(c, matches);
	if (index <= c->commit || !rp_log_term(&c->log, index, &term) ||
	    term != c->term)
		return;
	rp_commit_to(c, index, out);
	for (int i = 0; i < c->n_peers; i++)
		if (i != c->self)
			send_append(c, i, 0, now, out);
}

/*
 * The greatest value that a quorum of voters has reached; it is the value of
 * one of them.
 */
static uint64_t quorum_value(struct rp_core *c, const uint64_t *values)
{
	size_t quorum = rp_members_quorum(&c->members);
	uint64_t best = 0;
	uint64_t reached[RP_PEERS_LIMIT];
	size_t n_voters = 0;

	for (int i = 0; i < c->n_peers; i++)
		if (rp_is_voter(c, i))
			reached[n_voters++] = values[i];
	for (size_t i = 0; i < n_voters; i++) {
		size_t n = 0;

		for (size_t j = 0; j < n_voters; j++)
			n += reached[j] >= reached[i];
		if (n >= quorum)
			best = MAX(best, reached[i]);
	}
	return best;
}

/*
 * Handles what all replies have in common.  Returns whether this replica is
 * still the leader of the term that the reply belongs to.
 */
static bool accept_reply(struct rp_core *c, int from,
			 const struct rp_message *m, ba_time now,
			 struct rp_actions *out)
{
	struct rp_peer *p = &c->peers[from];

	if (m->term > c->term && c->role != RP_UNFORMED) {
		rp_become_follower(c, m->term, RP_NO_PEER, RP_TERM_OLD, now,
				   out);
		return false;
	}
	if (c->role != RP_LEADER || m->term < c->term)
		return false;
	if (strcmp(p->disk_id, m->disk_id)) {
		memcpy(p->disk_id, m->disk_id, sizeof(p->disk_id));
		p->match = 0;
		p->next = rp_log_last(&c->log) + 1;
		p->round = 0;
		p->offset = 0;
	}
	p->round = MAX(p->round, MIN(m->round, c->round));
	renew_lease(c);
	return true;
}

static void replicate(struct rp_core *c, int to, ba_time now,
		      struct rp_actions *out)
{
	struct rp_peer *p = &c->peers[to];
	uint64_t term;
	size_t n;

	if (now < p->inflight_deadline)
		return;
	if (p->next < c->log.first ||
	    !rp_log_term(&c->log, p->next - 1, &term)) {
		send_chunk(c, to, now, out);
		return;
	}
	n = count_batch(c, p->next);
	if (n)
		send_append(c, to, n, now, out);
}

/* Without entries it is a heartbeat, whose answer is not waited for. */
static void send_append(struct rp_core *c, int to, size_t n, ba_time now,
			struct rp_actions *out)
{
	struct rp_peer *p = &c->peers[to];
	struct rp_message *m = rp_send(c, out, to, RP_APPEND);
	uint64_t term = 0;

	m->index = p->next - 1;
	if (!rp_log_term(&c->log, m->index, &term))
		m->index = 0;
	m->log_term = term;
	m->commit = c->commit;
	m->round = c->round;
	if (!n)
		return;
	m->n_entries = n;
	p->inflight_index = m->index + n;
	set_inflight(c, p, now);
}

static void send_chunk(struct rp_core *c, int to, ba_time now,
		       struct rp_actions *out)
{
	struct rp_peer *p = &c->peers[to];
	struct rp_message *m = rp_send(c, out, to, RP_INSTALL);

	m->index = c->log.snapshot_index;
	m->log_term = c->log.snapshot_term;
	m->offset = p->offset;
	m->round = c->round;
	p->inflight_index = m->index;
	set_inflight(c, p, now);
}

static void set_inflight(const struct rp_core *c, struct rp_peer *p,
			 ba_time now)
{
	p->inflight_round = c->round;
	p->inflight_deadline = now + RP_INFLIGHT_RESENDS * c->o.times.resend;
}

static size_t count_batch(const struct rp_core *c, uint64_t next)
{
	const struct rp_entry *e = rp_log_get(&c->log, next);
	size_t bytes = 0;
	size_t n = 0;

	while (e && n < RP_APPEND_ENTRIES_LIMIT &&
	       (!n || bytes + e->len <= RP_APPEND_LIMIT_BYTES)) {
		bytes += e->len;
		n++;
		e = rp_log_get(&c->log, next + n);
	}
	return n;
}

/*
 * Changes one member at a time, and only once the last change and an entry of
 * this term are committed.
 */
static void reconcile_members(struct rp_core *c, ba_time now,
			      struct rp_actions *out)
{
	struct rp_members m = c->members;
	struct ba_buf body = {0};
	bool changed = false;

	if (c->members_index > c->commit || c->commit < c->term_start)
		return;
	for (int i = 0; i < c->n_peers && !changed; i++)
		if (i != c->self &&
		    (!c->o.open_group || should_reconcile(c, i, now)))
			changed = reconcile_member(c, i, now, &m);
	if (!changed)
		changed = c->o.open_group ? remove_surplus(c, now, &m)
					  : remove_unlisted(c, &m);
	if (!changed)
		return;
	rp_members_encode(&m, &body);
	rp_append(c, RP_ENTRY_KIND__RP_ENTRY_MEMBERS, body.data, body.len, out);
	ba_buf_free(&body);
	rp_replicate_all(c, now, out);
}

/*
 * Adds peer @i or updates its entry.  A member with a new disk has no vote
 * until it has caught up.
 */
static bool reconcile_member(struct rp_core *c, int i, ba_time now,
			     struct rp_members *m)
{
	const struct rp_peer *p = &c->peers[i];
	struct rp_member *member = rp_members_find(m, c->names[i]);

	if (!p->disk_id[0] || now > p->heard_at + c->o.times.election_min)
		return false;
	if (!member) {
		rp_members_add(m, c->names[i], c->addresses[i], p->disk_id,
			       false);
		return m->n > c->members.n;
	}
	if (strcmp(member->disk_id, p->disk_id)) {
		g_strlcpy(member->disk_id, p->disk_id, sizeof(member->disk_id));
		member->voting = false;
		return true;
	}
	if (member->voting || p->match < c->commit)
		return false;
	member->voting = true;
	return true;
}

/*
 * In an open group a replica becomes a member, or a voter, when there are too
 * few voters or one of them is silent.  A member with another disk loses its
 * vote in any case.
 */
static bool should_reconcile(struct rp_core *c, int i, ba_time now)
{
	const struct rp_member *member = rp_member(c, i);

	if (member && strcmp(member->disk_id, c->peers[i].disk_id))
		return true;
	if (member && member->voting)
		return false;
	if (c->peers[i].match < c->commit)
		return false;
	return count_voters(c) < c->o.voters ||
	       (count_voters(c) == c->o.voters &&
		find_silent_member(c, true, now));
}

static size_t count_voters(const struct rp_core *c)
{
	size_t n = 0;

	for (size_t i = 0; i < c->members.n; i++)
		n += c->members.list[i].voting;
	return n;
}

/*
 * Name of a voter, or with @voting false of another member, that this leader
 * has not heard for RP_MEMBER_SILENCE_LIMIT; NULL when there is none.
 */
static const char *find_silent_member(struct rp_core *c, bool voting,
				      ba_time now)
{
	for (int i = 0; i < c->n_peers; i++) {
		const struct rp_member *member = rp_member(c, i);
		ba_time heard = MAX(c->peers[i].heard_at, c->leader_since);

		if (i != c->self && member && member->voting == voting &&
		    now >= heard + RP_MEMBER_SILENCE_LIMIT)
			return c->names[i];
	}
	return NULL;
}

/*
 * Removes a silent member that has no vote, as it only takes up a place.  With
 * more voters than wanted, removes the silent voter once its replacement votes,
 * or else the last member other than this leader.
 */
static bool remove_surplus(struct rp_core *c, ba_time now, struct rp_members *m)
{
	const char *name = find_silent_member(c, false, now);

	if (!name && count_voters(c) > c->o.voters) {
		name = find_silent_member(c, true, now);
		for (size_t i = m->n; !name && i > 0; i--)
			if (strcmp(m->list[i - 1].name, c->names[c->self]) != 0)
				name = m->list[i - 1].name;
	}
	if (!name)
		return false;
	rp_members_remove(m, name);
	return true;
}

/* Members that the settings no longer list are removed. */
static bool remove_unlisted(const struct rp_core *c, struct rp_members *m)
{
	for (size_t i = 0; i < m->n; i++) {
		bool known = false;

		for (int j = 0; j < c->n_peers; j++)
			known |= !strcmp(m->list[i].name, c->names[j]);
		if (known)
			continue;
		rp_members_remove(m, m->list[i].name);
		return true;
	}
	return false;
}
