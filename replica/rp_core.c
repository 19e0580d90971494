#include <string.h>

#include <glib.h>

#include "base/ba_result.h"
#include "replica/rp_internal.h"
#include "wire/rp.pb-c.h"

static void on_tick(struct rp_core *c, const struct rp_event *e, ba_time now,
		    struct rp_actions *out);
static void on_message(struct rp_core *c, const struct rp_event *e, ba_time now,
		       struct rp_actions *out);
static void on_propose(struct rp_core *c, const struct rp_event *e, ba_time now,
		       struct rp_actions *out);
static void on_stored(struct rp_core *c, const struct rp_event *e, ba_time now,
		      struct rp_actions *out);
static void on_store_failed(struct rp_core *c, const struct rp_event *e,
			    ba_time now, struct rp_actions *out);
static void on_installed(struct rp_core *c, const struct rp_event *e,
			 ba_time now, struct rp_actions *out);
static void on_snapshot(struct rp_core *c, const struct rp_event *e,
			ba_time now, struct rp_actions *out);
static void on_stopping(struct rp_core *c, const struct rp_event *e,
			ba_time now, struct rp_actions *out);
static void restore_peers_and_vote(struct rp_core *c,
				   const struct rp_recovered *r);
static int find_peer(const struct rp_core *c, const char *name);

const struct rp_times rp_times_default = {
	.heartbeat = 150 * BA_MS,
	.election_min = 900 * BA_MS,
	.election_max = 1500 * BA_MS,
	.lease = 700 * BA_MS,
	.probe = 200 * BA_MS,
	.resend = 400 * BA_MS,
};

const struct rp_times rp_times_fast_failover = {
	.heartbeat = 100 * BA_MS,
	.election_min = 500 * BA_MS,
	.election_max = 900 * BA_MS,
	.lease = 380 * BA_MS,
	.probe = 150 * BA_MS,
	.resend = 300 * BA_MS,
};

static void (*const event_handlers[])(struct rp_core *c,
				      const struct rp_event *e, ba_time now,
				      struct rp_actions *out) = {
	[RP_ON_TICK] = on_tick,
	[RP_ON_MESSAGE] = on_message,
	[RP_ON_PROPOSE] = on_propose,
	[RP_ON_STORED] = on_stored,
	[RP_ON_STORE_FAILED] = on_store_failed,
	[RP_ON_INSTALLED] = on_installed,
	[RP_ON_SNAPSHOT] = on_snapshot,
	[RP_ON_STOPPING] = on_stopping,
};

static void (*const message_handlers[])(struct rp_core *c, int from,
					const struct rp_message *m, ba_time now,
					struct rp_actions *out) = {
	[RP_VOTE_REQUEST] = rp_on_vote_request,
	[RP_VOTE_REPLY] = rp_on_vote_reply,
	[RP_APPEND] = rp_on_append,
	[RP_APPEND_REPLY] = rp_on_append_reply,
	[RP_INSTALL] = rp_on_install,
	[RP_INSTALL_REPLY] = rp_on_install_reply,
	[RP_PROBE] = rp_on_probe,
	[RP_HANDOVER] = rp_on_handover,
};

struct rp_core *rp_core_new(const struct rp_core_options *o,
			    struct rp_recovered *r,
			    const struct rp_members *members, ba_time now)
{
	struct rp_core *c = g_new0(struct rp_core, 1);

	c->o = *o;
	c->self = o->self;
	for (size_t i = 0; i < o->n_names; i++)
		rp_core_add_peer(c, o->names[i], o->addresses[i]);
	c->rand.state = o->seed;
	c->log = r->log;
	memset(&r->log, 0, sizeof(r->log));
	g_strlcpy(c->disk_id, r->disk_id, sizeof(c->disk_id));
	c->damaged = r->damaged;
	c->leader = RP_NO_PEER;
	c->lease_holder = RP_NO_PEER;
	c->term = r->term;
	c->commit = c->log.snapshot_index;
	c->stored = rp_log_last(&c->log);
	c->snapshot_members = *members;
	rp_refresh_members(c);
	restore_peers_and_vote(c, r);
	c->role = rp_log_last(&c->log) ? RP_FOLLOWER : RP_UNFORMED;
	c->leader_heard_at = now;
	c->election_deadline = rp_next_election_deadline(c, now);
	if (rp_is_voter(c, c->self) &&
	    (rp_members_quorum(&c->members) == 1 || c->lease_holder == c->self))
		c->election_deadline = now;
	c->probe_deadline = now;
	return c;
}

/*
 * In an open group the members in the log, the replica that got the vote and
 * the leader are peers too, as the settings need not list them: vote and leader
 * are stored by name, also for a replica that the settings no longer list.  The
 * last entry may have a newer term than the saved one in a folder of a release
 * that stored the first entry before it saved the term.
 */
static void restore_peers_and_vote(struct rp_core *c,
				   const struct rp_recovered *r)
{
	uint64_t last_term = 0;

	for (size_t i = 0; c->o.open_group && i < c->members.n; i++)
		rp_core_add_peer(c, c->members.list[i].name,
				 c->members.list[i].address);
	if (c->o.open_group && *r->vote)
		rp_core_add_peer(c, r->vote, r->vote);
	if (c->o.open_group && *r->leader)
		rp_core_add_peer(c, r->leader, r->leader);
	c->vote = find_peer(c, r->vote);
	c->lease_holder = find_peer(c, r->leader);
	c->lease_term = c->term;
	rp_log_term(&c->log, rp_log_last(&c->log), &last_term);
	if (last_term <= c->term)
		return;
	c->term = last_term;
	c->vote = RP_NO_PEER;
	c->lease_holder = RP_NO_PEER;
}

int rp_core_add_peer(struct rp_core *c, const char *name, const char *address)
{
	int i = find_peer(c, name);

	if (i != RP_NO_PEER)
		return i;
	if (c->n_peers == RP_PEERS_LIMIT)
		return RP_NO_PEER;
	c->names[c->n_peers] = g_strdup(name);
	c->addresses[c->n_peers] = g_strdup(address);
	c->peers[c->n_peers].next = rp_log_last(&c->log) + 1;
	return c->n_peers++;
}

int rp_core_n_peers(const struct rp_core *c)
{
	return c->n_peers;
}

void rp_core_free(struct rp_core *c)
{
	if (!c)
		return;
	for (int i = 0; i < c->n_peers; i++) {
		g_free(c->names[i]);
		g_free(c->addresses[i]);
	}
	rp_log_free(&c->log);
	ba_buf_free(&c->install);
	g_free(c);
}

int rp_core_step(struct rp_core *c, const struct rp_event *e, ba_time now,
		 struct rp_actions *out)
{
	if (e->type == RP_ON_PROPOSE) {
		int code = rp_core_proposal_error(c, now);

		if (code)
			return code;
	}
	if (c->vote_unsaved) {
		c->vote_unsaved = false;
		rp_save_vote(c, out);
	}
	event_handlers[e->type](c, e, now, out);
	return BA_OK;
}

int rp_core_proposal_error(const struct rp_core *c, ba_time now)
{
	if (c->role != RP_LEADER)
		return c->leader == RP_NO_PEER ? RP_NO_QUORUM : RP_NOT_LEADER;
	if (now >= c->lease_until || c->commit < c->term_start)
		return RP_NO_QUORUM;
	return BA_OK;
}

ba_time rp_core_deadline(const struct rp_core *c)
{
	if (c->role == RP_LEADER)
		return c->heartbeat_deadline;
	if (c->role == RP_UNFORMED)
		return c->probe_deadline;
	return c->election_deadline;
}

enum rp_role rp_core_role(const struct rp_core *c)
{
	return c->role;
}

uint64_t rp_core_term(const struct rp_core *c)
{
	return c->term;
}

int rp_core_leader(const struct rp_core *c)
{
	return c->leader;
}

uint64_t rp_core_commit(const struct rp_core *c)
{
	return c->commit;
}

const struct rp_log *rp_core_log(const struct rp_core *c)
{
	return &c->log;
}

const struct rp_members *rp_core_members(const struct rp_core *c)
{
	return &c->members;
}

bool rp_core_is_voter(const struct rp_core *c)
{
	return rp_is_voter((struct rp_core *)c, c->self);
}

ba_time rp_core_up_to_date_at(const struct rp_core *c, ba_time now)
{
	if (c->role == RP_LEADER && c->commit >= c->term_start)
		return MIN(now, c->lease_until);
	return c->up_to_date_at;
}

bool rp_core_is_unrecoverable(const struct rp_core *c)
{
	if (!c->damaged || c->role != RP_UNFORMED)
		return false;
	for (int i = 0; i < c->n_peers; i++)
		if (i != c->self && !c->peers[i].unformed_at)
			return false;
	return true;
}

const struct ba_buf *rp_core_install_data(const struct rp_core *c)
{
	return &c->install;
}

struct rp_peer_state rp_core_peer(const struct rp_core *c, int i)
{
	const struct rp_peer *p = &c->peers[i];
	const struct rp_member *m = rp_member((struct rp_core *)c, i);
	bool other_disk = m && p->disk_id[0] && strcmp(m->disk_id, p->disk_id);
	struct rp_peer_state s = {
		.name = c->names[i],
		.address = c->addresses[i],
		.member = m != NULL,
		.voting = m && m->voting && !other_disk,
		.match = i == c->self ? c->stored : p->match,
		.heard_at = p->heard_at,
		.lowest_version = p->lowest_version,
		.daemons = p->daemons,
		.live = p->live,
	};

	return s;
}

void rp_core_set_ack_summary(struct rp_core *c, uint64_t lowest_version,
			     uint32_t daemons, uint32_t live)
{
	c->peers[c->self].lowest_version = lowest_version;
	c->peers[c->self].daemons = daemons;
	c->peers[c->self].live = live;
}

void rp_actions_free(struct rp_actions *a)
{
	g_free(a->list);
	memset(a, 0, sizeof(*a));
}

struct rp_action *rp_add_action(struct rp_actions *out,
				enum rp_action_type type)
{
	struct rp_action *a;

	if (out->n == out->alloc) {
		out->alloc = out->alloc ? 2 * out->alloc : 16;
		out->list = g_renew(struct rp_action, out->list, out->alloc);
	}
	a = &out->list[out->n++];
	memset(a, 0, sizeof(*a));
	a->type = type;
	return a;
}

struct rp_message *rp_send(struct rp_core *c, struct rp_actions *out, int to,
			   enum rp_message_type type)
{
	struct rp_action *a = rp_add_action(out, RP_DO_SEND);

	a->to = to;
	a->message.type = type;
	a->message.term = c->term;
	memcpy(a->message.disk_id, c->disk_id, sizeof(c->disk_id));
	return &a->message;
}

void rp_save_vote(struct rp_core *c, struct rp_actions *out)
{
	struct rp_action *a = rp_add_action(out, RP_DO_SAVE_VOTE);

	a->term = c->term;
	a->to = c->vote;
}

void rp_set_lease_holder(struct rp_core *c, int leader, struct rp_actions *out)
{
	struct rp_action *a;

	c->led = true;
	if (c->lease_holder == leader && c->lease_term == c->term)
		return;
	c->lease_holder = leader;
	c->lease_term = c->term;
	a = rp_add_action(out, RP_DO_SAVE_LEADER);
	a->to = leader;
	a->term = c->term;
}

void rp_become_follower(struct rp_core *c, uint64_t term, int leader,
			int reason, ba_time now, struct rp_actions *out)
{
	bool changed = c->role != RP_FOLLOWER || c->leader != leader;

	if (term > c->term) {
		c->term = term;
		c->vote = RP_NO_PEER;
		rp_save_vote(c, out);
	}
	if (c->role != RP_FOLLOWER)
		c->election_deadline = rp_next_election_deadline(c, now);
	c->role = RP_FOLLOWER;
	c->leader = leader;
	if (changed) {
		struct rp_action *a = rp_add_action(out, RP_DO_ROLE);

		a->role = RP_FOLLOWER;
		a->to = leader;
		a->term = c->term;
		a->reason = reason;
	}
}

void rp_append(struct rp_core *c, int kind, const void *body, size_t len,
	       struct rp_actions *out)
{
	uint64_t index = rp_log_last(&c->log) + 1;
	struct rp_action *a = rp_add_action(out, RP_DO_APPEND);

	rp_log_append(&c->log, rp_entry_new(index, c->term, kind, body, len));
	a->index = index;
	a->last = index;
	if (kind == RP_ENTRY_KIND__RP_ENTRY_MEMBERS)
		rp_refresh_members(c);
}

/* As in Raft, members take effect once their entry is in the log. */
void rp_refresh_members(struct rp_core *c)
{
	for (size_t i = c->log.n; i > 0; i--) {
		const struct rp_entry *e = c->log.entries[i - 1];

		if (e->kind != RP_ENTRY_KIND__RP_ENTRY_MEMBERS)
			continue;
		if (!rp_members_decode(&c->members, e->body, e->len))
			continue;
		c->members_index = e->index;
		return;
	}
	c->members = c->snapshot_members;
	c->members_index = c->log.snapshot_index;
}

struct rp_member *rp_member(struct rp_core *c, int i)
{
	return rp_members_find(&c->members, c->names[i]);
}

bool rp_is_voter(struct rp_core *c, int i)
{
	const struct rp_member *m = rp_member(c, i);
	const char *disk_id = i == c->self ? c->disk_id : c->peers[i].disk_id;

	return m && m->voting && !strcmp(m->disk_id, disk_id);
}

void rp_commit_to(struct rp_core *c, uint64_t index, struct rp_actions *out)
{
	if (index <= c->commit)
		return;
	c->commit = index;
	rp_add_action(out, RP_DO_COMMIT)->index = index;
}

ba_time rp_next_election_deadline(struct rp_core *c, ba_time now)
{
	const struct rp_times *t = &c->o.times;

	return now + t->election_min +
	       (ba_time)ba_rand_below(
		       &c->rand, (uint64_t)(t->election_max - t->election_min));
}

bool rp_is_log_up_to_date(const struct rp_core *c, uint64_t index,
			  uint64_t term)
{
	uint64_t last = rp_log_last(&c->log);
	uint64_t last_term = 0;

	rp_log_term(&c->log, last, &last_term);
	return term > last_term || (term == last_term && index >= last);
}

static void on_tick(struct rp_core *c, const struct rp_event *e, ba_time now,
		    struct rp_actions *out)
{
	(void)e;
	if (c->role == RP_LEADER)
		rp_lead_tick(c, now, out);
	else if (c->role == RP_UNFORMED)
		rp_form_tick(c, now, out);
	else
		rp_elect_tick(c, now, out);
}

static void on_message(struct rp_core *c, const struct rp_event *e, ba_time now,
		       struct rp_actions *out)
{
	if (e->from < 0 || e->from >= c->n_peers || e->from == c->self)
		return;
	c->peers[e->from].heard_at = now;
	message_handlers[e->message->type](c, e->from, e->message, now, out);
}

static void on_propose(struct rp_core *c, const struct rp_event *e, ba_time now,
		       struct rp_actions *out)
{
	rp_append(c, e->kind, e->body, e->len, out);
	rp_replicate_all(c, now, out);
}

static void on_stored(struct rp_core *c, const struct rp_event *e, ba_time now,
		      struct rp_actions *out)
{
	c->stored = MIN(e->index, rp_log_last(&c->log));
	if (c->role == RP_LEADER)
		rp_lead_stored(c, now, out);
}

/*
 * Entries that were not stored are dropped.  A leader that is a quorum by
 * itself stays leader and refuses submissions until the disk has room; in a
 * larger group it steps down, as the disk of another replica may have room.
 */
static void on_store_failed(struct rp_core *c, const struct rp_event *e,
			    ba_time now, struct rp_actions *out)
{
	bool stays_leader = c->role == RP_LEADER && e->index &&
			    c->commit >= c->term_start &&
			    rp_members_quorum(&c->members) == 1;

	c->no_candidacy_until = now + c->o.times.election_max;
	c->vote_unsaved = true;
	ba_buf_free(&c->install);
	rp_log_truncate(&c->log, c->stored + 1);
	c->commit = MIN(c->commit, rp_log_last(&c->log));
	rp_refresh_members(c);
	if (!rp_log_last(&c->log)) {
		c->role = RP_UNFORMED;
		c->leader = RP_NO_PEER;
		for (int i = 0; i < c->n_peers; i++)
			c->peers[i].granted = false;
		c->probe_deadline = c->no_candidacy_until;
	} else if (!stays_leader) {
		rp_become_follower(c, c->term, RP_NO_PEER, e->code, now, out);
	}
}

static void on_installed(struct rp_core *c, const struct rp_event *e,
			 ba_time now, struct rp_actions *out)
{
	(void)now;
	rp_on_installed(c, e, out);
}

static void on_snapshot(struct rp_core *c, const struct rp_event *e,
			ba_time now, struct rp_actions *out)
{
	(void)now;
	(void)out;
	c->snapshot_members = *e->members;
	rp_log_compact(&c->log, e->index, e->keep);
	rp_refresh_members(c);
}

static void on_stopping(struct rp_core *c, const struct rp_event *e,
			ba_time now, struct rp_actions *out)
{
	(void)e;
	if (c->role == RP_LEADER)
		rp_hand_over_leadership(c, now, out);
}

static int find_peer(const struct rp_core *c, const char *name)
{
	for (int i = 0; i < c->n_peers; i++)
		if (!strcmp(c->names[i], name))
			return i;
	return RP_NO_PEER;
}
