#include <string.h>

#include "base/ba_result.h"
#include "replica/rp_internal.h"

static ba_time next_attempt(struct rp_core *c, ba_time now);
static void request_votes(struct rp_core *c, bool pre, bool handover,
			  struct rp_actions *out);
static void count_votes(struct rp_core *c, ba_time now, struct rp_actions *out);
static void become_candidate(struct rp_core *c, bool handover, ba_time now,
			     struct rp_actions *out);
static bool has_leader(const struct rp_core *c, ba_time now);
static bool may_vote_for(const struct rp_core *c, int from,
			 const struct rp_message *m);

/*
 * A pre-vote comes first, so that a replica that was partitioned does not
 * depose a working leader with a higher term when it comes back.
 */
void rp_elect_tick(struct rp_core *c, ba_time now, struct rp_actions *out)
{
	if (now < c->election_deadline)
		return;
	c->election_deadline = next_attempt(c, now);
	c->leader = RP_NO_PEER;
	if (!rp_is_voter(c, c->self) || now < c->no_candidacy_until)
		return;
	c->role = RP_PRE_CANDIDATE;
	request_votes(c, true, false, out);
	count_votes(c, now, out);
}

void rp_on_vote_request(struct rp_core *c, int from, const struct rp_message *m,
			ba_time now, struct rp_actions *out)
{
	bool may_elect =
		m->handover || from == c->lease_holder || !has_leader(c, now);
	bool grant = may_elect && may_vote_for(c, from, m);
	struct rp_message *reply;

	if (m->forming) {
		rp_on_form_request(c, from, m, out);
		return;
	}
	if (grant && !m->pre) {
		if (m->term > c->term) {
			if (c->role == RP_UNFORMED)
				c->term = m->term;
			else
				rp_become_follower(c, m->term, RP_NO_PEER,
						   RP_TERM_OLD, now, out);
		}
		c->vote = from;
		c->election_deadline = rp_next_election_deadline(c, now);
		rp_save_vote(c, out);
	}
	reply = rp_send(c, out, from, RP_VOTE_REPLY);
	reply->pre = m->pre;
	reply->granted = grant;
	if (grant)
		reply->term = m->term;
}

void rp_on_vote_reply(struct rp_core *c, int from, const struct rp_message *m,
		      ba_time now, struct rp_actions *out)
{
	enum rp_role wanted = m->pre ? RP_PRE_CANDIDATE : RP_CANDIDATE;
	uint64_t term = m->pre ? c->term + 1 : c->term;

	if (c->role == RP_UNFORMED) {
		rp_on_form_reply(c, from, m, now, out);
		return;
	}
	if (!m->granted && m->term > c->term) {
		rp_become_follower(c, m->term, RP_NO_PEER, RP_TERM_OLD, now,
				   out);
		return;
	}
	if (!m->granted || c->role != wanted || m->term != term)
		return;
	memcpy(c->peers[from].disk_id, m->disk_id, sizeof(m->disk_id));
	c->peers[from].granted = true;
	count_votes(c, now, out);
}

/* The leader has given up its lease, so no voter waits for the lease to end. */
void rp_on_handover(struct rp_core *c, int from, const struct rp_message *m,
		    ba_time now, struct rp_actions *out)
{
	if (c->role != RP_FOLLOWER || c->leader != from || m->term != c->term ||
	    !rp_is_voter(c, c->self) || now < c->no_candidacy_until)
		return;
	become_candidate(c, true, now, out);
}

/*
 * After the start of all replicas a quorum is reachable a moment after the
 * first of them, so the pre-vote is tried again soon until there is a leader.
 */
static ba_time next_attempt(struct rp_core *c, ba_time now)
{
	const struct rp_times *t = &c->o.times;

	if (c->led)
		return rp_next_election_deadline(c, now);
	return now + t->heartbeat +
	       (ba_time)ba_rand_below(&c->rand, (uint64_t)t->heartbeat);
}

/* The last leader has been started anew, and does not lead. */
void rp_end_lease(struct rp_core *c, ba_time now)
{
	ba_time next = next_attempt(c, now);

	c->lease_holder = RP_NO_PEER;
	c->leader_heard_at = now - c->o.times.election_min;
	if (next < c->election_deadline)
		c->election_deadline = next;
}

static void request_votes(struct rp_core *c, bool pre, bool handover,
			  struct rp_actions *out)
{
	uint64_t last = rp_log_last(&c->log);
	uint64_t last_term = 0;

	rp_log_term(&c->log, last, &last_term);
	for (int i = 0; i < c->n_peers; i++) {
		const struct rp_member *member = rp_member(c, i);
		struct rp_message *m;

		c->peers[i].granted = i == c->self;
		if (i == c->self || !member || !member->voting)
			continue;
		m = rp_send(c, out, i, RP_VOTE_REQUEST);
		m->pre = pre;
		m->handover = handover;
		m->term = pre ? c->term + 1 : c->term;
		m->index = last;
		m->log_term = last_term;
		memcpy(m->disk_id, member->disk_id, sizeof(m->disk_id));
	}
}

static void count_votes(struct rp_core *c, ba_time now, struct rp_actions *out)
{
	size_t votes = 0;

	for (int i = 0; i < c->n_peers; i++)
		votes += c->peers[i].granted && rp_is_voter(c, i);
	if (votes < rp_members_quorum(&c->members))
		return;
	if (c->role == RP_PRE_CANDIDATE)
		become_candidate(c, false, now, out);
	else
		rp_become_leader(c, now, out);
}

static void become_candidate(struct rp_core *c, bool handover, ba_time now,
			     struct rp_actions *out)
{
	c->role = RP_CANDIDATE;
	c->term++;
	c->vote = c->self;
	c->election_deadline = rp_next_election_deadline(c, now);
	rp_save_vote(c, out);
	request_votes(c, false, handover, out);
	count_votes(c, now, out);
}

/*
 * Also true just after a start: before it, this replica may have answered a
 * heartbeat, and the lease of that leader may still last.
 */
static bool has_leader(const struct rp_core *c, ba_time now)
{
	if (c->role == RP_LEADER)
		return now < c->lease_until;
	return now < c->leader_heard_at + c->o.times.election_min;
}

/* The request names the disk of the voter: a new disk must not vote. */
static bool may_vote_for(const struct rp_core *c, int from,
			 const struct rp_message *m)
{
	if (m->term < c->term || strcmp(m->disk_id, c->disk_id))
		return false;
	if (m->pre && m->term == c->term)
		return false;
	if (!m->pre && m->term == c->term && c->vote != RP_NO_PEER &&
	    c->vote != from)
		return false;
	return rp_is_log_up_to_date(c, m->index, m->log_term);
}
