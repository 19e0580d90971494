/*
 * Simulation of a group of replicas in virtual time: a network that loses,
 * delays, duplicates and reorders messages and cuts links, stores in memory
 * that lose what was not synced, and checkers of the invariants.
 */
#ifndef TEST_RP_WORLD_H
#define TEST_RP_WORLD_H

#include <algorithm>
#include <cstring>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "base/ba_rand.h"
#include "base/ba_result.h"
#include "replica/rp_codec.h"
#include "replica/rp_node.h"
#include "wire/rp.pb-c.h"

/* Faults built into the replicas on purpose, which the checkers must detect. */
enum fault {
	NO_FAULT,
	VOTE_NOT_SAVED,
	SYNC_SKIPPED,
	DISK_ID_KEPT,	/* an empty disk keeps its old identity */
	REPLIES_FORGED, /* a cut-off leader gets replies that nobody sent */
	LEASE_TOO_LONG,
	NEW_ID_ON_RESEND,
	LOG_REORDERED,
	LEADER_WRONG, /* a restart takes s1 for the last leader */
};

struct mem_store {
	struct rp_store store;
	std::string disk_id;
	uint64_t term = 0;
	std::string vote;
	std::string leader;
	uint64_t snapshot_index = 0, snapshot_term = 0;
	std::string snapshot;
	/* by index: term, kind and body */
	std::map<uint64_t, std::pair<uint64_t, std::pair<int, std::string>>>
		log;
	std::map<uint64_t, std::pair<uint64_t, std::pair<int, std::string>>>
		pending;
	bool full = false;
	bool damaged = false;
	bool crashed = false;
	int crash_after = -1; /* operations left until a crash, -1 for none */
	int installs = 0;
	enum fault fault = NO_FAULT;

	bool crash_if_due()
	{
		if (crash_after >= 0 && !crash_after--)
			crashed = true;
		return crashed;
	}
};

extern const struct rp_store_ops mem_ops;

static inline int mem_load(struct rp_store *s, struct rp_recovered *out)
{
	auto *m = (struct mem_store *)s;

	strcpy(out->disk_id, m->disk_id.c_str());
	out->term = m->term;
	out->damaged = m->damaged;
	strcpy(out->vote, m->vote.c_str());
	strcpy(out->leader,
	       m->fault == LEADER_WRONG ? "s1" : m->leader.c_str());
	ba_buf_add(&out->snapshot, m->snapshot.data(), m->snapshot.size());
	rp_log_init(&out->log, m->snapshot_index, m->snapshot_term);
	for (const auto &[index, e] : m->log)
		rp_log_append(&out->log,
			      rp_entry_new(index, e.first, e.second.first,
					   e.second.second.data(),
					   e.second.second.size()));
	return BA_OK;
}

static inline int mem_append(struct rp_store *s, const struct rp_entry *e)
{
	auto *m = (struct mem_store *)s;

	if (m->crash_if_due() || m->full)
		return BA_DISK_FULL;
	/* Entries that could not be removed when the disk was full. */
	if (m->pending.empty())
		m->log.erase(m->log.lower_bound(e->index), m->log.end());
	m->pending[e->index] = {
		e->term, {e->kind, std::string((const char *)e->body, e->len)}};
	return BA_OK;
}

static inline int mem_sync(struct rp_store *s)
{
	auto *m = (struct mem_store *)s;

	if (m->crash_if_due() || m->full) {
		m->pending.clear();
		return BA_DISK_FULL;
	}
	if (m->fault == SYNC_SKIPPED && m->pending.rbegin()->first > 10)
		return BA_OK;
	for (const auto &[index, e] : m->pending)
		m->log[index] = e;
	m->pending.clear();
	return BA_OK;
}

static inline int mem_truncate(struct rp_store *s, uint64_t index)
{
	auto *m = (struct mem_store *)s;

	/* The real store writes what it keeps to a new file. */
	if (m->crash_if_due() || m->full)
		return BA_DISK_FULL;
	m->log.erase(m->log.lower_bound(index), m->log.end());
	m->pending.erase(m->pending.lower_bound(index), m->pending.end());
	return BA_OK;
}

static inline int mem_save_vote(struct rp_store *s, uint64_t term,
				const char *vote)
{
	auto *m = (struct mem_store *)s;

	if (m->crash_if_due() || m->full)
		return BA_DISK_FULL;
	if (m->fault == VOTE_NOT_SAVED)
		return BA_OK;
	m->term = term;
	m->vote = vote;
	m->leader.clear();
	return BA_OK;
}

static inline int mem_save_leader(struct rp_store *s, const char *leader)
{
	auto *m = (struct mem_store *)s;

	if (m->crash_if_due() || m->full)
		return BA_DISK_FULL;
	m->leader = leader;
	return BA_OK;
}

static inline int mem_save_snapshot(struct rp_store *s, uint64_t index,
				    uint64_t term, const struct ba_buf *state,
				    uint64_t keep_from, bool reset)
{
	auto *m = (struct mem_store *)s;

	if (m->crash_if_due() || m->full)
		return BA_DISK_FULL;
	m->installs += reset;
	m->snapshot_index = index;
	m->snapshot_term = term;
	m->snapshot.assign((const char *)state->data, state->len);
	if (reset)
		m->log.clear();
	else
		m->log.erase(m->log.begin(), m->log.lower_bound(keep_from));
	return BA_OK;
}

static inline void mem_close(struct rp_store *)
{
}

inline const struct rp_store_ops mem_ops = {
	mem_load,      mem_append,	mem_sync,	   mem_truncate,
	mem_save_vote, mem_save_leader, mem_save_snapshot, mem_close,
};

struct world;

/*
 * @listed: replicas that its settings list, by index in the world, in the order
 *	of its settings, founders first; empty for all that the world lists
 * @n_founders: founders among them, if @listed is not empty
 * @names: their names
 */
struct replica {
	struct rp_node_owner owner;
	struct world *w;
	int index;
	std::vector<int> listed;
	size_t n_founders = 0;
	std::vector<const char *> names;
	struct mem_store store;
	struct rp_node *node = nullptr;
	int n_published = 0; /* since the start */
};

struct packet {
	ba_time at;
	uint64_t order;
	int from, to;
	std::string data;
	bool operator<(const packet &o) const
	{
		return at != o.at ? at > o.at : order > o.order;
	}
};

/* Whether the outcome of a submission cannot change any more. */
static inline bool is_final(const CtOutcome *o)
{
	return o->code != RP_NOT_LEADER && o->code != RP_NO_QUORUM &&
	       o->code != RP_SUBMISSION_TIMEOUT && o->code != BA_DISK_FULL;
}

struct world {
	struct ba_rand rand;
	enum fault fault;
	struct rp_times times = rp_times_default;
	int n;
	int n_listed;	  /* replicas that the settings list */
	int founders = 0; /* of an open group, 0 for any other */
	size_t voters = 0;
	bool formed = false; /* a replica that starts now only joins */
	ba_time now = BA_SECOND;
	uint64_t order = 0;
	unsigned int lost_percent = 0;
	ba_time delay_max = 20 * BA_MS;
	std::vector<std::unique_ptr<replica>> all;
	std::vector<const char *> names, addresses;
	std::priority_queue<packet> packets;
	bool cut[RP_MEMBERS_LIMIT][RP_MEMBERS_LIMIT] = {};
	uint64_t disks = 0, tokens = 0;
	size_t snapshot_entries = 15;
	int disks_lost = 0;
	std::string violation;
	int traced = -1; /* replica whose events and actions go into @trace */
	std::ostringstream trace;

	std::map<uint64_t, int> leaders;	   /* by term */
	std::map<uint64_t, std::string> committed; /* by index */
	std::map<uint64_t, std::string> submitted; /* submission id by token */
	std::map<std::string, std::pair<uint32_t, uint64_t>>
		final_outcomes; /* code and version by submission id */
	std::map<uint64_t, std::pair<uint32_t, uint64_t>>
		replies;	     /* code and current version by token */
	std::set<uint64_t> accepted; /* versions reported as accepted */

	world(uint64_t seed, int n, enum fault f = NO_FAULT, int founders = 0,
	      size_t voters = 0)
	    : rand{seed}, fault(f), n(n), n_listed(n), founders(founders),
	      voters(voters)
	{
		static const char *const list[] = {"s1", "s2", "s3",
						   "s4", "s5", "s6"};

		names.assign(list, list + n);
		addresses = names;
		if (founders)
			times = rp_times_fast_failover;
		if (f == LEASE_TOO_LONG)
			times.lease = 4 * times.election_max;
		for (int i = 0; i < n; i++) {
			all.emplace_back(new replica{});
			all[i]->w = this;
			all[i]->index = i;
			all[i]->store.store.ops = &mem_ops;
			all[i]->store.fault = f;
			new_disk(i);
			start(i);
		}
	}

	~world()
	{
		for (int i = 0; i < n; i++)
			stop(i);
	}

	void fail(const std::string &what)
	{
		if (violation.empty())
			violation = what;
	}

	void new_disk(int i)
	{
		struct mem_store &s = all[i]->store;
		std::string id = s.disk_id;
		const struct rp_store_ops *ops = s.store.ops;

		disks_lost += !id.empty();
		s = mem_store{};
		s.store.ops = ops;
		s.fault = fault;
		s.disk_id = fault == DISK_ID_KEPT && !id.empty()
				    ? id
				    : "disk-" + std::to_string(++disks);
	}

	void start(int i)
	{
		start(i, ba_rand_next(&rand));
	}
	void start(int i, uint64_t seed);
	int peer_of(int i, int j) const;
	void stop(int i);
	void crash(int i);
	void send(int from, int to, const void *data, size_t len);
	void forge_reply(int from, int to, const void *data, size_t len);
	void deliver(const packet &p);
	void check(int i);
	void run(ba_time until);
	void submit(int i, const std::string &id, uint64_t base, int variant);
	void heal();

	bool up(int i) const
	{
		return all[i]->node != nullptr;
	}

	const struct rp_core *core(int i) const
	{
		return rp_node_core(all[i]->node);
	}

	const struct rp_machine *machine(int i) const
	{
		return rp_node_machine(all[i]->node);
	}

	int leader() const
	{
		for (int i = 0; i < n; i++)
			if (up(i) && !rp_core_proposal_error(core(i), now))
				return i;
		return -1;
	}

	/*
	 * Whether an open group has all the voters it wants, each with its
	 * registered disk, so that one more disk may be lost: while a replica
	 * that replaces a lost voter has no vote yet, the loss is not repaired.
	 */
	bool has_all_voters(struct rp_members *m) const
	{
		size_t voting = 0;

		for (int i = 0; i < n; i++) {
			const struct rp_member *member =
				rp_members_find(m, names[i]);

			if (!member || !member->voting)
				continue;
			voting++;
			if (all[i]->store.disk_id != member->disk_id)
				return false;
		}
		return voting == std::min(voters, (size_t)n);
	}

	/* Whether every replica is a voter with its current disk. */
	bool repaired() const
	{
		int l = leader();

		if (l < 0)
			return false;
		struct rp_members m = *rp_machine_members(machine(l));
		struct rp_members newest = *rp_core_members(core(l));

		if (founders)
			return has_all_voters(&m) && has_all_voters(&newest);

		for (int i = 0; i < n; i++) {
			const struct rp_member *member =
				rp_members_find(&m, names[i]);

			if (!member || !member->voting ||
			    all[i]->store.disk_id != member->disk_id)
				return false;
		}
		return true;
	}

	uint64_t below(uint64_t limit)
	{
		return ba_rand_below(&rand, limit);
	}
};

static inline std::string to_hex(const void *data, size_t len)
{
	static const char digits[] = "0123456789abcdef";
	std::string out;

	for (size_t i = 0; i < len; i++) {
		uint8_t c = ((const uint8_t *)data)[i];

		out += {digits[c >> 4], digits[c & 15]};
	}
	return out;
}

static inline void on_send(struct rp_node_owner *o, int to, const void *data,
			   size_t len)
{
	auto *r = (replica *)o;

	if (r->index == r->w->traced)
		r->w->trace << "send " << to << " " << to_hex(data, len)
			    << "\n";
	const char *name = rp_core_peer(rp_node_core(r->node), to).name;

	for (int i = 0; i < r->w->n; i++)
		if (!strcmp(r->w->names[i], name))
			r->w->send(r->index, i, data, len);
}

static inline void on_applied(struct rp_node_owner *o, const struct rp_entry *e,
			      const struct rp_applied *)
{
	auto *r = (replica *)o;
	std::string text = std::to_string(e->term) + ":" +
			   std::to_string(e->kind) + ":" +
			   std::string((const char *)e->body, e->len);
	uint64_t index = e->index;

	if (r->w->fault == LOG_REORDERED && r->index == 1 && index > 5)
		index ^= 1;
	auto [at, first] = r->w->committed.emplace(index, text);

	if (!first && at->second != text)
		r->w->fail("committed entry " + std::to_string(e->index) +
			   " differs");
}

static inline void on_published(struct rp_node_owner *o, struct cf_snapshot *)
{
	((struct replica *)o)->n_published++;
}

static inline void on_outcome(struct rp_node_owner *o, uint64_t token,
			      const CtOutcome *outcome)
{
	auto *r = (replica *)o;
	world *w = r->w;

	if (r->index == w->traced)
		w->trace << "outcome " << token << " " << outcome->code << " "
			 << outcome->version << "\n";
	w->replies[token] = {outcome->code, outcome->current};
	if (!is_final(outcome) || r->store.crashed)
		return;
	auto now = std::make_pair(outcome->code, outcome->version);
	auto [at, first] = w->final_outcomes.emplace(w->submitted[token], now);

	if (!first && at->second != now)
		w->fail("submission " + at->first + " has two outcomes");
	if (!outcome->code)
		w->accepted.insert(outcome->version);
}

static inline void on_role(struct rp_node_owner *o, enum rp_role role, int, int)
{
	auto *r = (replica *)o;

	if (r->index == r->w->traced)
		r->w->trace << "role " << role << "\n";
	if (role != RP_LEADER || r->store.crashed)
		return;
	uint64_t term = rp_core_term(rp_node_core(r->node));
	auto [at, first] = r->w->leaders.emplace(term, r->index);

	if (!first && at->second != r->index)
		r->w->fail("two leaders in term " + std::to_string(term));
}

inline void world::start(int i, uint64_t seed)
{
	replica &r = *all[i];
	struct rp_node_options o = {};

	if (r.node)
		return;
	r.store.crashed = false;
	r.store.crash_after = -1;
	r.owner = {on_send,    on_applied, on_published,
		   on_outcome, on_role,	   nullptr};
	r.n_published = 0;
	r.names.assign(names.begin(), names.begin() + n_listed);
	o.core.self = i;
	o.core.n_founders = formed ? 0 : (size_t)founders;
	if (!r.listed.empty()) {
		r.names.clear();
		for (int j : r.listed) {
			if (j == i)
				o.core.self = (int)r.names.size();
			r.names.push_back(names[j]);
		}
		o.core.n_founders = formed ? 0 : r.n_founders;
	}
	o.core.names = r.names.data();
	o.core.addresses = r.names.data();
	o.core.n_names = r.names.size();
	o.core.open_group = founders != 0;
	o.core.voters = voters;
	o.core.times = times;
	o.core.seed = seed;
	if (i == traced)
		trace << "start " << now << " " << i << " " << o.core.seed
		      << " " << r.store.disk_id << "\n";
	o.store = &r.store.store;
	o.owner = &r.owner;
	o.snapshot_entries = snapshot_entries;
	o.keep_entries = 3;
	o.chunk_bytes = 150;
	if (rp_node_new(&o, now, nullptr, &r.node))
		fail("a replica did not start");
}

/* Index of replica @j among the peers of replica @i, or -1. */
inline int world::peer_of(int i, int j) const
{
	for (int k = 0; k < rp_core_n_peers(core(i)); k++)
		if (!strcmp(rp_core_peer(core(i), k).name, names[j]))
			return k;
	return -1;
}

inline void world::stop(int i)
{
	rp_node_free(all[i]->node);
	all[i]->node = nullptr;
}

/* Entries that were appended and not synced are lost. */
inline void world::crash(int i)
{
	all[i]->store.pending.clear();
	stop(i);
}

inline void world::send(int from, int to, const void *data, size_t len)
{
	if (fault == REPLIES_FORGED && cut[from][to])
		forge_reply(from, to, data, len);
	if (all[from]->store.crashed || cut[from][to] ||
	    below(100) < lost_percent)
		return;
	int copies = lost_percent && below(100) < 5 ? 2 : 1;

	while (copies--)
		packets.push({now + 100 + (ba_time)below((uint64_t)delay_max),
			      ++order, from, to,
			      std::string((const char *)data, len)});
}

/* Delivers a reply that accepts the append, which the receiver never sent. */
inline void world::forge_reply(int from, int to, const void *data, size_t len)
{
	struct rp_received r;
	struct ba_buf out = {};
	struct rp_message m = {};

	if (rp_message_decode(data, len, &r))
		return;
	if (r.message.type == RP_APPEND && r.message.n_entries) {
		m.type = RP_APPEND_REPLY;
		m.term = r.message.term;
		m.accepted = true;
		m.index = r.message.index + r.message.n_entries;
		strcpy(m.disk_id, all[to]->store.disk_id.c_str());
		rp_message_encode(&m, nullptr, nullptr, 0, &out);
		packets.push({now + 1, ++order, to, from,
			      std::string((char *)out.data, out.len)});
	}
	ba_buf_free(&out);
	rp_received_free(&r);
}

inline void world::deliver(const packet &p)
{
	if (up(p.to) && p.to == traced)
		trace << "receive " << now << " " << p.from << " "
		      << to_hex(p.data.data(), p.data.size()) << "\n";
	if (up(p.to))
		rp_node_receive(all[p.to]->node, peer_of(p.to, p.from),
				p.data.data(), p.data.size(), now);
	check(p.to);
}

/* At most one replica accepts submissions at a time: leases do not overlap. */
inline void world::check(int i)
{
	int accepting = 0;

	if (up(i) && all[i]->store.crashed)
		crash(i);
	for (int j = 0; j < n; j++)
		accepting += up(j) && !rp_core_proposal_error(core(j), now);
	if (accepting > 1)
		fail("two replicas accept at once");
}

inline void world::run(ba_time until)
{
	while (violation.empty() && now < until) {
		ba_time next = until;
		int who = -1;

		if (!packets.empty())
			next = std::min(next, packets.top().at);
		for (int i = 0; i < n; i++) {
			ba_time d = up(i) ? rp_node_deadline(all[i]->node)
					  : BA_NEVER;

			if (d < next || (d == next && packets.empty())) {
				next = d;
				who = i;
			}
		}
		now = std::max(now, next);
		if (who >= 0) {
			if (who == traced)
				trace << "tick " << now << "\n";
			rp_node_tick(all[who]->node, now);
			check(who);
		} else if (!packets.empty() && packets.top().at <= now) {
			packet p = packets.top();

			packets.pop();
			deliver(p);
		}
	}
}

/*
 * Submits a configuration with the service "s@variant" to replica @i.  It is
 * invalid when @variant is a multiple of 7.
 */
inline void world::submit(int i, const std::string &id, uint64_t base,
			  int variant)
{
	CtSubmit s = CT_SUBMIT__INIT;
	std::string text = "[[services]]\nname = \"s" +
			   std::to_string(variant) + "\"\n" +
			   (variant % 7 ? "" : "wrong = 1\n");
	uint64_t token = ++tokens;
	std::string sent = id;

	if (!up(i))
		return;
	if (i == traced)
		trace << "submit " << now << " " << token << " " << id << " "
		      << base << " " << variant << "\n";
	submitted[token] = id;
	if (fault == NEW_ID_ON_RESEND && final_outcomes.count(id))
		sent += "x";
	s.submission_id = (char *)sent.c_str();
	s.operator_ = (char *)"ana";
	s.base_version = base;
	s.text.data = (uint8_t *)text.data();
	s.text.len = text.size();
	rp_node_submit(all[i]->node, token, &s, now, now);
	check(i);
}

inline void world::heal()
{
	memset(cut, 0, sizeof(cut));
	lost_percent = 0;
	for (int i = 0; i < n; i++) {
		all[i]->store.full = false;
		all[i]->store.crash_after = -1;
		check(i); /* its store may have crashed since the last check */
		start(i);
	}
}

#endif
