#include <string.h>

#include <glib.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "replica/rp_codec.h"
#include "replica/rp_node.h"
#include "replica/rp_waiters.h"
#include "wire/rp.pb-c.h"

enum {
	DEFAULT_SNAPSHOT_ENTRIES = 4096,
	DEFAULT_SNAPSHOT_VERSIONS = 16,
	DEFAULT_KEEP_ENTRIES = 1024,
	DEFAULT_CHUNK_BYTES = 512 * 1024,
	KEEP_LIMIT_BYTES = 8 * 1024 * 1024, /* bodies of the kept entries */
	/* a snapshot is due when the bodies in the log have this size */
	SNAPSHOT_LOG_BYTES = 32 * 1024 * 1024,
	WAITERS_LIMIT = 1024,
	UNCOMMITTED_ENTRIES_LIMIT = 4096,
};

#define OUTCOME_TIMEOUT (5 * BA_SECOND)

/*
 * @state: packed snapshot that the log follows
 * @snapshot_at: applied index at which the next snapshot is due
 * @n_versions: versions accepted since the last snapshot; a restart applies
 *	each of them, which costs as much as a configuration is large
 * @executing: actions are being executed; a step then only appends to them
 */
struct rp_node {
	struct rp_node_options o;
	struct rp_core *core;
	struct rp_machine *machine;
	struct ba_buf state;
	struct rp_actions actions;
	struct rp_waiters waiters;
	enum rp_role role;
	int leader;
	uint64_t snapshot_at;
	size_t n_versions;
	bool executing;
};

typedef int (*action_handler)(struct rp_node *n, const struct rp_action *a,
			      ba_time now);

static int do_save_vote(struct rp_node *n, const struct rp_action *a,
			ba_time now);
static int do_save_leader(struct rp_node *n, const struct rp_action *a,
			  ba_time now);
static int do_truncate(struct rp_node *n, const struct rp_action *a,
		       ba_time now);
static int do_append(struct rp_node *n, const struct rp_action *a, ba_time now);
static int do_send(struct rp_node *n, const struct rp_action *a, ba_time now);
static int do_nothing(struct rp_node *n, const struct rp_action *a,
		      ba_time now);
static int do_install(struct rp_node *n, const struct rp_action *a,
		      ba_time now);
static int do_role(struct rp_node *n, const struct rp_action *a, ba_time now);

/*
 * RP_DO_COMMIT has no handler of its own: committed entries are applied after
 * all actions, when no action can drop them any more.
 */
static const action_handler action_handlers[] = {
	[RP_DO_SAVE_VOTE] = do_save_vote, [RP_DO_SAVE_LEADER] = do_save_leader,
	[RP_DO_TRUNCATE] = do_truncate,	  [RP_DO_APPEND] = do_append,
	[RP_DO_SEND] = do_send,		  [RP_DO_COMMIT] = do_nothing,
	[RP_DO_INSTALL] = do_install,	  [RP_DO_ROLE] = do_role,
};

static int restore_machine(struct rp_node *n, struct rp_recovered *r);
static int step(struct rp_node *n, const struct rp_event *e, ba_time now);
static void execute_actions(struct rp_node *n, ba_time now);
static void apply_committed(struct rp_node *n);
static bool apply_entry(struct rp_node *n, const struct rp_entry *e);
static void take_snapshot(struct rp_node *n, ba_time now);
static int check_submission(const CtSubmit *submit);
static void send_refusal(struct rp_node *n, uint64_t token, int code);
static void send_outcome(struct rp_node *n, uint64_t token,
			 const CtOutcome *outcome);
static void notify_waiters(struct rp_node *n, const char *id);
static void fail_waiters(struct rp_node *n, ba_time until, uint64_t from,
			 int code);
static size_t entries_to_keep(const struct rp_node *n);

int rp_node_new(const struct rp_node_options *o, ba_time now,
		struct rp_recovery_summary *found, struct rp_node **out)
{
	struct rp_recovered r = {.term = 0};
	struct rp_node *n = g_new0(struct rp_node, 1);
	int ret;

	n->o = *o;
	n->leader = RP_NO_PEER;
	if (!n->o.snapshot_entries)
		n->o.snapshot_entries = DEFAULT_SNAPSHOT_ENTRIES;
	if (!n->o.snapshot_versions)
		n->o.snapshot_versions = DEFAULT_SNAPSHOT_VERSIONS;
	if (!n->o.keep_entries)
		n->o.keep_entries = DEFAULT_KEEP_ENTRIES;
	if (!n->o.chunk_bytes)
		n->o.chunk_bytes = DEFAULT_CHUNK_BYTES;
	rp_waiters_init(&n->waiters);
	ret = o->store->ops->load(o->store, &r);
	if (!ret && r.damaged && o->core.n_names == 1)
		ret = RP_LOG_DAMAGED;
	if (found) {
		found->snapshot_index = r.log.snapshot_index;
		found->entries = r.log.n;
		found->cut_bytes = r.cut_bytes;
		found->damaged = r.damaged;
	}
	if (!ret)
		ret = restore_machine(n, &r);
	if (!ret)
		n->core = rp_core_new(&n->o.core, &r,
				      rp_machine_members(n->machine), now);
	rp_log_free(&r.log);
	if (ret) {
		rp_node_free(n);
		return ret;
	}
	n->role = rp_core_role(n->core);
	n->snapshot_at = rp_core_commit(n->core) + n->o.snapshot_entries;
	*out = n;
	return BA_OK;
}

int rp_node_add_peer(struct rp_node *n, const char *name, const char *address)
{
	return rp_core_add_peer(n->core, name, address);
}

void rp_node_free(struct rp_node *n)
{
	if (!n)
		return;
	rp_waiters_free(&n->waiters);
	rp_core_free(n->core);
	rp_machine_free(n->machine);
	rp_actions_free(&n->actions);
	ba_buf_free(&n->state);
	n->o.store->ops->close(n->o.store);
	g_free(n);
}

void rp_node_tick(struct rp_node *n, ba_time now)
{
	struct rp_event e = {.type = RP_ON_TICK};

	step(n, &e, now);
	fail_waiters(n, now, 0, RP_SUBMISSION_TIMEOUT);
}

void rp_node_prepare_stop(struct rp_node *n, ba_time now)
{
	struct rp_event e = {.type = RP_ON_STOPPING};

	step(n, &e, now);
}

ba_time rp_node_deadline(const struct rp_node *n)
{
	return MIN(rp_core_deadline(n->core), rp_waiters_deadline(&n->waiters));
}

int rp_node_receive(struct rp_node *n, int from, const void *data, size_t len,
		    ba_time now)
{
	struct rp_event e = {.type = RP_ON_MESSAGE, .from = from};
	struct rp_received r;
	int ret = rp_message_decode(data, len, &r);

	if (ret)
		return ret;
	e.message = &r.message;
	step(n, &e, now);
	rp_received_free(&r);
	return BA_OK;
}

void rp_node_submit(struct rp_node *n, uint64_t token, const CtSubmit *submit,
		    ba_time now, ba_time wall)
{
	struct rp_event e = {
		.type = RP_ON_PROPOSE,
		.kind = RP_ENTRY_KIND__RP_ENTRY_SUBMISSION,
	};
	uint64_t index = rp_log_last(rp_core_log(n->core)) + 1;
	struct ba_buf body = {0};
	uint64_t pending_index;
	CtOutcome *known;
	int code = check_submission(submit);

	if (!code)
		code = rp_core_proposal_error(n->core, now);
	if (!code &&
	    (n->waiters.n >= WAITERS_LIMIT ||
	     index > rp_core_commit(n->core) + UNCOMMITTED_ENTRIES_LIMIT))
		code = RP_NO_QUORUM;
	if (code) {
		send_refusal(n, token, code);
		return;
	}
	known = rp_machine_outcome(n->machine, submit->submission_id);
	if (known) {
		send_outcome(n, token, known);
		ct_outcome__free_unpacked(known, NULL);
		return;
	}
	pending_index = rp_waiters_index(&n->waiters, submit->submission_id);
	rp_waiters_add(&n->waiters, token, submit->submission_id,
		       pending_index ? pending_index : index,
		       now + OUTCOME_TIMEOUT);
	if (pending_index)
		return;
	rp_machine_prepare(n->machine, submit, index, wall, &body);
	e.body = body.data;
	e.len = body.len;
	step(n, &e, now);
	ba_buf_free(&body);
}

void rp_node_cancel_wait(struct rp_node *n, uint64_t token)
{
	rp_waiters_remove(&n->waiters, token);
}

int rp_node_propose(struct rp_node *n, int kind, const void *body, size_t len,
		    ba_time now)
{
	struct rp_event e = {
		.type = RP_ON_PROPOSE,
		.kind = kind,
		.body = body,
		.len = len,
	};

	if (rp_log_last(rp_core_log(n->core)) >
	    rp_core_commit(n->core) + UNCOMMITTED_ENTRIES_LIMIT)
		return RP_NO_QUORUM;
	return step(n, &e, now);
}

const struct rp_core *rp_node_core(const struct rp_node *n)
{
	return n->core;
}

const struct rp_machine *rp_node_machine(const struct rp_node *n)
{
	return n->machine;
}

void rp_node_set_ack_summary(struct rp_node *n, uint64_t lowest_version,
			     uint32_t daemons, uint32_t live)
{
	rp_core_set_ack_summary(n->core, lowest_version, daemons, live);
}

static int restore_machine(struct rp_node *n, struct rp_recovered *r)
{
	if (!r->snapshot.len) {
		n->machine = rp_machine_new();
		return BA_OK;
	}
	n->state = r->snapshot;
	memset(&r->snapshot, 0, sizeof(r->snapshot));
	if (rp_machine_decode(n->state.data, n->state.len,
			      r->log.snapshot_index, &n->machine))
		return RP_LOG_DAMAGED;
	return BA_OK;
}

static int step(struct rp_node *n, const struct rp_event *e, ba_time now)
{
	int ret = rp_core_step(n->core, e, now, &n->actions);

	if (!n->executing) {
		n->executing = true;
		execute_actions(n, now);
		n->executing = false;
		apply_committed(n);
		take_snapshot(n, now);
	}
	return ret;
}

/* Handlers may append to the list; a failure drops the rest of it. */
static void execute_actions(struct rp_node *n, ba_time now)
{
	for (size_t i = 0; i < n->actions.n; i++) {
		const struct rp_action a = n->actions.list[i];
		struct rp_event failed = {
			.type = RP_ON_STORE_FAILED,
			.index = a.index,
		};

		failed.code = action_handlers[a.type](n, &a, now);
		if (!failed.code)
			continue;
		n->actions.n = i + 1;
		rp_core_step(n->core, &failed, now, &n->actions);
		if (a.type == RP_DO_APPEND)
			fail_waiters(n, BA_NEVER, a.index, failed.code);
	}
	n->actions.n = 0;
}

static int do_save_vote(struct rp_node *n, const struct rp_action *a,
			ba_time now)
{
	const char *vote =
		a->to == RP_NO_PEER ? "" : rp_core_peer(n->core, a->to).name;

	(void)now;
	return n->o.store->ops->save_vote(n->o.store, a->term, vote);
}

/*
 * Without the leader's name the next start only waits longer for an election,
 * so a failure does not end the step.
 */
static int do_save_leader(struct rp_node *n, const struct rp_action *a,
			  ba_time now)
{
	int ret = n->o.store->ops->save_leader(
		n->o.store, rp_core_peer(n->core, a->to).name);

	(void)now;
	if (ret)
		ba_event(RP_EV_DISK_FULL, "term=%llu code=%d leader_saved=no",
			 (unsigned long long)a->term, ret);
	return BA_OK;
}

static int do_truncate(struct rp_node *n, const struct rp_action *a,
		       ba_time now)
{
	(void)now;
	return n->o.store->ops->truncate(n->o.store, a->index);
}

static int do_append(struct rp_node *n, const struct rp_action *a, ba_time now)
{
	struct rp_event stored = {.type = RP_ON_STORED, .index = a->last};
	const struct rp_store_ops *ops = n->o.store->ops;
	int ret = BA_OK;

	for (uint64_t i = a->index; i <= a->last && !ret; i++)
		ret = ops->append(n->o.store,
				  rp_log_get(rp_core_log(n->core), i));
	if (!ret)
		ret = ops->sync(n->o.store);
	if (!ret)
		rp_core_step(n->core, &stored, now, &n->actions);
	return ret;
}

static int do_send(struct rp_node *n, const struct rp_action *a, ba_time now)
{
	struct ba_buf packed = {0};

	(void)now;
	rp_message_encode(&a->message, rp_core_log(n->core), &n->state,
			  n->o.chunk_bytes, &packed);
	n->o.owner->send(n->o.owner, a->to, packed.data, packed.len);
	ba_buf_free(&packed);
	return BA_OK;
}

static int do_nothing(struct rp_node *n, const struct rp_action *a, ba_time now)
{
	(void)n;
	(void)a;
	(void)now;
	return BA_OK;
}

static int do_install(struct rp_node *n, const struct rp_action *a, ba_time now)
{
	const struct ba_buf *data = rp_core_install_data(n->core);
	struct rp_event e = {.type = RP_ON_INSTALLED, .index = a->index};
	struct rp_machine *m = NULL;
	int ret = rp_machine_decode(data->data, data->len, a->index, &m);

	if (!ret)
		ret = n->o.store->ops->save_snapshot(n->o.store, a->index,
						     a->term, data, 0, true);
	if (ret) {
		rp_machine_free(m);
		return ret;
	}
	n->state.len = 0;
	ba_buf_add(&n->state, data->data, data->len);
	rp_machine_free(n->machine);
	n->machine = m;
	n->snapshot_at = a->index + n->o.snapshot_entries;
	n->n_versions = 0;
	e.members = rp_machine_members(m);
	rp_core_step(n->core, &e, now, &n->actions);
	n->o.owner->published(n->o.owner, rp_machine_current(m));
	if (n->o.owner->installed)
		n->o.owner->installed(n->o.owner);
	return BA_OK;
}

/*
 * When this replica is not the leader, the callers that wait are answered with
 * RP_SUBMISSION_TIMEOUT: they ask the new leader, with the same submission id.
 */
static int do_role(struct rp_node *n, const struct rp_action *a, ba_time now)
{
	(void)now;
	if (a->role != RP_LEADER)
		fail_waiters(n, BA_NEVER, 0, RP_SUBMISSION_TIMEOUT);
	if (n->o.owner->role)
		n->o.owner->role(n->o.owner, a->role, a->to, a->reason);
	return BA_OK;
}

/* Of the versions that are committed together only the last is published. */
static void apply_committed(struct rp_node *n)
{
	const struct rp_log *log = rp_core_log(n->core);
	bool published = false;

	while (rp_machine_applied(n->machine) < rp_core_commit(n->core))
		published |= apply_entry(
			n, rp_log_get(log, rp_machine_applied(n->machine) + 1));
	if (published)
		n->o.owner->published(n->o.owner,
				      rp_machine_current(n->machine));
}

/* Return: whether the entry has changed the configuration. */
static bool apply_entry(struct rp_node *n, const struct rp_entry *e)
{
	struct rp_applied applied;

	rp_machine_apply(n->machine, e, &applied);
	if (n->o.owner->applied)
		n->o.owner->applied(n->o.owner, e, &applied);
	n->n_versions += applied.published;
	if (applied.submission_id)
		notify_waiters(n, applied.submission_id);
	return applied.published;
}

/*
 * When the store fails, for instance on a full disk, the snapshot is taken
 * later, and until then the log keeps growing.
 */
static void take_snapshot(struct rp_node *n, ba_time now)
{
	uint64_t index = rp_machine_applied(n->machine);
	struct rp_event e = {
		.type = RP_ON_SNAPSHOT,
		.index = index,
	};
	struct ba_buf state = {0};
	uint64_t term = 0;

	if (index < n->snapshot_at && n->n_versions < n->o.snapshot_versions &&
	    (index <= rp_core_log(n->core)->snapshot_index ||
	     rp_core_log(n->core)->bytes < SNAPSHOT_LOG_BYTES))
		return;
	e.keep = entries_to_keep(n);
	n->snapshot_at = index + n->o.snapshot_entries;
	n->n_versions = 0;
	rp_log_term(rp_core_log(n->core), index, &term);
	rp_machine_encode(n->machine, &state);
	if (n->o.store->ops->save_snapshot(n->o.store, index, term, &state,
					   index + 1 - e.keep, false)) {
		ba_buf_free(&state);
		return;
	}
	ba_buf_free(&n->state);
	n->state = state;
	e.members = rp_machine_members(n->machine);
	rp_core_step(n->core, &e, now, &n->actions);
}

static int check_submission(const CtSubmit *submit)
{
	size_t len = strlen(submit->submission_id);

	if (!len || len > RP_SUBMISSION_ID_BYTES)
		return BA_RANGE_WRONG;
	return BA_OK;
}

static void send_refusal(struct rp_node *n, uint64_t token, int code)
{
	CtOutcome outcome = CT_OUTCOME__INIT;

	outcome.code = (uint32_t)code;
	send_outcome(n, token, &outcome);
}

/* Adds what is known now: the current version and the leader. */
static void send_outcome(struct rp_node *n, uint64_t token,
			 const CtOutcome *outcome)
{
	CtOutcome full = *outcome;
	int leader = rp_core_leader(n->core);

	full.current = rp_machine_current(n->machine)->version;
	if (leader != RP_NO_PEER)
		full.leader = (char *)rp_core_peer(n->core, leader).address;
	n->o.owner->outcome(n->o.owner, token, &full);
}

static void notify_waiters(struct rp_node *n, const char *id)
{
	CtOutcome *outcome = rp_machine_outcome(n->machine, id);
	uint64_t token;

	while (rp_waiters_take(&n->waiters, id, &token))
		send_outcome(n, token, outcome);
	ct_outcome__free_unpacked(outcome, NULL);
}

/*
 * The waiters are moved to another list first, as the owner may submit again
 * from its callback.
 */
static void fail_waiters(struct rp_node *n, ba_time until, uint64_t from,
			 int code)
{
	struct rp_waiters failed;
	uint64_t token;

	rp_waiters_init(&failed);
	rp_waiters_move(&n->waiters, until, from, &failed);
	while (rp_waiters_take(&failed, NULL, &token))
		send_refusal(n, token, code);
}

/* Followers that lag by no more than these entries need no snapshot. */
static size_t entries_to_keep(const struct rp_node *n)
{
	const struct rp_log *log = rp_core_log(n->core);
	uint64_t index = rp_machine_applied(n->machine);
	const struct rp_entry *e = rp_log_get(log, index);
	size_t bytes = 0;
	size_t keep = 0;

	while (e && keep < n->o.keep_entries &&
	       bytes + e->len < KEEP_LIMIT_BYTES) {
		bytes += e->len;
		keep++;
		e = rp_log_get(log, index - keep);
	}
	return keep;
}
