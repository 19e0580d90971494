#include <string.h>

#include <glib.h>

#include "base/ba_result.h"
#include "replica/rp_internal.h"
#include "wire/rp.pb-c.h"

static bool accept_leader(struct rp_core *c, int from,
			  const struct rp_message *m, ba_time now,
			  struct rp_actions *out);
static bool has_consecutive_entries(const struct rp_message *m);
static bool log_matches(const struct rp_core *c, const struct rp_message *m,
			uint64_t *hint);
static void append_entries(struct rp_core *c, const struct rp_message *m,
			   struct rp_actions *out);
static void truncate_conflict(struct rp_core *c, uint64_t index,
			      struct rp_actions *out);
static void send_append_reply(struct rp_core *c, int from, bool accepted,
			      uint64_t index, uint64_t round,
			      struct rp_actions *out);
static void receive_chunk(struct rp_core *c, int from,
			  const struct rp_message *m, struct rp_actions *out);

void rp_on_append(struct rp_core *c, int from, const struct rp_message *m,
		  ba_time now, struct rp_actions *out)
{
	uint64_t hint = 0;
	uint64_t match;

	if (!has_consecutive_entries(m))
		return;
	if (!accept_leader(c, from, m, now, out))
		return;
	if (!log_matches(c, m, &hint)) {
		send_append_reply(c, from, false, hint, m->round, out);
		return;
	}
	append_entries(c, m, out);
	match = m->index + m->n_entries;
	send_append_reply(c, from, true, match, m->round, out);
	rp_commit_to(c, MIN(m->commit, match), out);
	if (m->commit <= c->commit)
		c->up_to_date_at = now;
}

/* A snapshot that the log already covers only advances the commit index. */
void rp_on_install(struct rp_core *c, int from, const struct rp_message *m,
		   ba_time now, struct rp_actions *out)
{
	uint64_t term = 0;

	if (!accept_leader(c, from, m, now, out))
		return;
	if (m->index <= c->commit ||
	    (rp_log_term(&c->log, m->index, &term) && term == m->log_term)) {
		rp_commit_to(c, m->index, out);
		send_append_reply(c, from, true, m->index, m->round, out);
		return;
	}
	receive_chunk(c, from, m, out);
}

void rp_on_installed(struct rp_core *c, const struct rp_event *e,
		     struct rp_actions *out)
{
	rp_log_reset(&c->log, c->install_index, c->install_term);
	c->commit = c->install_index;
	c->stored = c->install_index;
	c->damaged = false;
	c->snapshot_members = *e->members;
	rp_refresh_members(c);
	ba_buf_free(&c->install);
	if (c->leader != RP_NO_PEER)
		send_append_reply(c, c->leader, true, c->commit,
				  c->install_round, out);
}

/*
 * Follows the sender, if it leads the current or a newer term.  Returns whether
 * it does.
 */
static bool accept_leader(struct rp_core *c, int from,
			  const struct rp_message *m, ba_time now,
			  struct rp_actions *out)
{
	if (m->term < c->term) {
		send_append_reply(c, from, false, 0, m->round, out);
		return false;
	}
	if (m->term == c->term && c->role == RP_LEADER)
		return false;
	rp_become_follower(c, m->term, from, RP_TERM_OLD, now, out);
	rp_set_lease_holder(c, from, out);
	c->leader_heard_at = now;
	c->election_deadline = rp_next_election_deadline(c, now);
	return true;
}

static bool has_consecutive_entries(const struct rp_message *m)
{
	for (size_t i = 0; i < m->n_entries; i++)
		if (m->entries[i]->index != m->index + 1 + i)
			return false;
	return true;
}

/*
 * Whether the log has the entry before those of the append.  Committed entries
 * are the same in every log, others are compared by their term.  @hint is the
 * last entry that may match, so that the leader skips the conflicting term.
 */
static bool log_matches(const struct rp_core *c, const struct rp_message *m,
			uint64_t *hint)
{
	uint64_t last = rp_log_last(&c->log);
	uint64_t conflict_term;
	uint64_t term = 0;

	if (m->index <= c->commit)
		return true;
	if (m->index > last) {
		*hint = last;
		return false;
	}
	if (rp_log_term(&c->log, m->index, &term) && term == m->log_term)
		return true;
	conflict_term = term;
	*hint = m->index - 1;
	while (*hint > c->commit && rp_log_term(&c->log, *hint, &term) &&
	       term == conflict_term)
		(*hint)--;
	return false;
}

static void append_entries(struct rp_core *c, const struct rp_message *m,
			   struct rp_actions *out)
{
	uint64_t first = 0;
	bool members_changed = false;

	for (size_t i = 0; i < m->n_entries; i++) {
		const struct rp_entry *e = m->entries[i];
		const struct rp_entry *own = rp_log_get(&c->log, e->index);

		if (e->index <= c->commit || (own && own->term == e->term))
			continue;
		if (own) {
			truncate_conflict(c, e->index, out);
			members_changed = true;
		}
		if (!first)
			first = e->index;
		rp_log_append(&c->log, rp_entry_new(e->index, e->term, e->kind,
						    e->body, e->len));
		members_changed |= e->kind == RP_ENTRY_KIND__RP_ENTRY_MEMBERS;
	}
	if (first) {
		struct rp_action *a = rp_add_action(out, RP_DO_APPEND);

		a->index = first;
		a->last = rp_log_last(&c->log);
		c->damaged = false;
	}
	if (members_changed)
		rp_refresh_members(c);
}

static void truncate_conflict(struct rp_core *c, uint64_t index,
			      struct rp_actions *out)
{
	rp_log_truncate(&c->log, index);
	c->stored = MIN(c->stored, index - 1);
	rp_add_action(out, RP_DO_TRUNCATE)->index = index;
}

static void send_append_reply(struct rp_core *c, int from, bool accepted,
			      uint64_t index, uint64_t round,
			      struct rp_actions *out)
{
	struct rp_message *reply = rp_send(c, out, from, RP_APPEND_REPLY);

	reply->accepted = accepted;
	reply->index = index;
	reply->round = round;
	reply->lowest_version = c->peers[c->self].lowest_version;
	reply->daemons = c->peers[c->self].daemons;
	reply->live = c->peers[c->self].live;
}

static void receive_chunk(struct rp_core *c, int from,
			  const struct rp_message *m, struct rp_actions *out)
{
	struct rp_message *reply;

	if (c->install_index != m->index || c->install_term != m->log_term) {
		c->install.len = 0;
		c->install_index = m->index;
		c->install_term = m->log_term;
	}
	c->install_round = m->round;
	if (m->offset == c->install.len &&
	    c->install.len + m->chunk_len <= RP_STATE_LIMIT_BYTES) {
		ba_buf_add(&c->install, m->chunk, m->chunk_len);
		if (m->done) {
			struct rp_action *a = rp_add_action(out, RP_DO_INSTALL);

			a->index = m->index;
			a->term = m->log_term;
			return;
		}
	}
	reply = rp_send(c, out, from, RP_INSTALL_REPLY);
	reply->index = m->index;
	reply->offset = c->install.len;
	reply->round = m->round;
}
