/*
 * Roll-outs: the leader adds up what the proxies count, and proposes the steps.
 * With each step it logs what it knows of the version in force, which a later
 * leader may not be able to count again.  The calls of the target are in its
 * memory only: a leader that is new judges by those that it hears itself.
 */
#include <string.h>

#include "base/ba_event.h"
#include "base/ba_result.h"
#include "report/rt_tally.h"
#include "source/so.h"
#include "source/so_judge.h"
#include "wire/rp.pb-c.h"

/* A bad turn is seen in the calls of the last one to two of these. */
#define RECENT_TIME (2 * BA_SECOND)
/*
 * Proxies report twice in this time, also if they ran no calls.  A longer pause
 * means that they were not heard.
 */
#define REPORT_PAUSE_MAX (2 * BA_SECOND)
/* A step that is not applied by then is proposed again. */
#define PROPOSAL_TIMEOUT BA_SECOND
/*
 * A step that was applied this long after its time is one of an earlier run of
 * the process; a shorter difference is one between clocks.
 */
#define REPLAYED_AGE (5 * BA_SECOND)

/* Windows of the target's calls; the last two are recent ones. */
enum { WINDOW_STEP, WINDOW_NOW, WINDOW_BEFORE, WINDOWS };

/*
 * Routes whose calls are logged with a step, those with most calls first; and
 * the least number of them that is worth it.
 */
enum { LOGGED_ROUTES_LIMIT = 64, LOGGED_CALLS_MIN = 40 };

/*
 * struct watch - since when reports on some backend servers have come in without
 * a pause, and when the last one came; 0 for none
 */
struct watch {
	ba_time since;
	ba_time last;
};

/* struct route - calls of one route in a roll-out */
struct route {
	struct rt_tally kept;
	struct rt_tally target[WINDOWS];
};

/*
 * struct trial - a roll-out that runs, as followed by this replica
 * @order, @share: of the roll-out, to tell whether it has moved on
 * @version: version of the configuration since which the share holds
 * @since: when that was
 * @elapsed: time from the order until then
 * @routes: struct route by name; "" for all together
 * @kept_calls, @target_calls: since the last step
 * @kept, @target: reports on either version
 * @rotate_at: when the recent windows move on
 * @proposed_until: when a proposal that was made is given up
 * @waits_for: reason why no step was taken at the last look
 */
struct trial {
	uint64_t order;
	uint32_t share;
	uint64_t version;
	ba_time since;
	ba_time elapsed;
	GHashTable *routes;
	uint64_t kept_calls;
	uint64_t target_calls;
	struct watch kept;
	struct watch target;
	ba_time rotate_at;
	ba_time proposed_until;
	enum so_step_reason waits_for;
};

static void trial_free(gpointer data);
static struct trial *trial_new(void);
static void follow(struct so_source *s, const struct cf_snapshot *current,
		   const struct cf_rollout *r);
static void begin_step(struct trial *t, const struct cf_rollout *r,
		       uint64_t version, ba_time now);
static void forget(struct so_source *s, const char *service, struct trial *t);
static void restore(const struct rt_tally_key *key, const struct rt_tally *t,
		    void *arg);
static void hear(struct watch *w, ba_time now);
static ba_time heard_time(const struct watch *w, ba_time now);
static ba_time unheard_time(const struct trial *t, ba_time now);
static void count(const struct rt_tally_key *key, const struct rt_tally *t,
		  void *arg);
static struct route *find_or_add_route(struct trial *t, const char *name);
static void add(struct trial *t, const char *route, enum cf_cohort cohort,
		const struct rt_tally *tally);
static void rotate(struct trial *t, ba_time now);
static void check(struct so_source *s, const struct cf_rollout *r,
		  struct trial *t, ba_time now);
static void log_wait(const struct cf_rollout *r, struct trial *t,
		     const struct so_trial *trial, enum so_step_reason reason);
static enum so_verdict judge_all(const struct trial *t);
static void pack_kept(const struct trial *t, const char *service,
		      struct ba_buf *out);
static gint by_calls(gconstpointer a, gconstpointer b, gpointer arg);
static void propose(struct so_source *s, struct trial *t,
		    const RpRolloutStep *step);

void so_rollout_start(struct so_source *s)
{
	s->trials = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  trial_free);
}

void so_rollout_stop(struct so_source *s)
{
	g_clear_pointer(&s->trials, g_hash_table_destroy);
}

void so_rollout_published(struct so_source *s,
			  const struct cf_snapshot *current)
{
	for (size_t i = 0; i < current->n_rollouts; i++)
		follow(s, current, &current->rollouts[i]);
}

/* Replicas may differ for a moment in which one they take for the leader. */
int so_rollout_handle_tallies(struct so_source *s, const struct wi_frame *f,
			      bool forwarded)
{
	int leader = rp_core_leader(rp_node_core(s->node));
	struct rt_tallies *list;
	int ret;

	if (leader != s->self) {
		if (leader != RP_NO_PEER && !forwarded)
			so_peer_send(s, leader, RT_TALLIES, f->data, f->len);
		return BA_OK;
	}
	list = rt_tallies_new();
	ret = rt_tallies_add(list, f->data, f->len);
	if (!ret)
		rt_tallies_each(list, count, s);
	rt_tallies_free(list);
	return ret;
}

void so_rollout_check(struct so_source *s, ba_time now)
{
	const struct cf_snapshot *current =
		rp_machine_current(rp_node_machine(s->node));

	if (!current->n_rollouts || so_lease_error(s))
		return;
	for (size_t i = 0; i < current->n_rollouts; i++) {
		const struct cf_rollout *r = &current->rollouts[i];
		struct trial *t = g_hash_table_lookup(s->trials, r->service);

		if (t && r->state == CF_ROLLOUT_RUNNING)
			check(s, r, t, now);
	}
}

void so_rollout_forget_counts(struct so_source *s)
{
	GHashTableIter it;
	gpointer service;
	gpointer value;

	g_hash_table_iter_init(&it, s->trials);
	while (g_hash_table_iter_next(&it, &service, &value))
		forget(s, service, value);
}

static struct trial *trial_new(void)
{
	struct trial *t = g_new0(struct trial, 1);

	t->routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return t;
}

static void trial_free(gpointer data)
{
	struct trial *t = data;

	g_hash_table_destroy(t->routes);
	g_free(t);
}

static void follow(struct so_source *s, const struct cf_snapshot *current,
		   const struct cf_rollout *r)
{
	struct trial *t = g_hash_table_lookup(s->trials, r->service);

	if (r->state != CF_ROLLOUT_RUNNING) {
		g_hash_table_remove(s->trials, r->service);
		return;
	}
	if (t && t->order == r->order && t->share == r->share)
		return;
	if (!t || t->order != r->order) {
		t = trial_new();
		t->order = r->order;
		forget(s, r->service, t);
		g_hash_table_replace(s->trials, g_strdup(r->service), t);
	}
	begin_step(t, r, current->version, ba_loop_now(s->loop));
}

/* What the version in force did is kept: later it gets few calls or none. */
static void begin_step(struct trial *t, const struct cf_rollout *r,
		       uint64_t version, ba_time now)
{
	ba_time age = ba_clock_wall() - r->stepped_at;
	GHashTableIter it;
	gpointer value;

	t->order = r->order;
	t->share = r->share;
	t->version = version;
	t->since = now;
	t->elapsed = r->elapsed + (age > REPLAYED_AGE ? age : 0);
	t->kept_calls = 0;
	t->target_calls = 0;
	t->proposed_until = 0;
	g_hash_table_iter_init(&it, t->routes);
	while (g_hash_table_iter_next(&it, NULL, &value))
		memset(((struct route *)value)->target, 0,
		       sizeof(((struct route *)value)->target));
}

/* What was logged of the version in force stays. */
static void forget(struct so_source *s, const char *service, struct trial *t)
{
	const struct ba_buf *kept = rp_machine_rollout_kept(
		rp_node_machine(s->node), service, t->order);
	struct rt_tallies *list = rt_tallies_new();

	g_hash_table_remove_all(t->routes);
	t->kept_calls = 0;
	t->target_calls = 0;
	t->proposed_until = 0;
	memset(&t->kept, 0, sizeof(t->kept));
	memset(&t->target, 0, sizeof(t->target));
	if (kept && rt_tallies_add(list, kept->data, kept->len))
		ba_event(RP_EV_ROLLOUT, "service=%s tallies=unreadable",
			 service);
	rt_tallies_each(list, restore, t);
	rt_tallies_free(list);
}

static void restore(const struct rt_tally_key *key, const struct rt_tally *t,
		    void *arg)
{
	rt_tally_merge(&find_or_add_route(arg, key->route)->kept, t);
}

static void hear(struct watch *w, ba_time now)
{
	if (!w->last || now - w->last > REPORT_PAUSE_MAX)
		w->since = now;
	w->last = now;
}

static ba_time heard_time(const struct watch *w, ba_time now)
{
	return w->last && now - w->last <= REPORT_PAUSE_MAX ? w->last - w->since
							    : 0;
}

static ba_time unheard_time(const struct trial *t, ba_time now)
{
	if (heard_time(&t->target, now) || !heard_time(&t->kept, now))
		return 0;
	return t->kept.last - MAX(t->kept.since, t->target.last);
}

static void count(const struct rt_tally_key *key, const struct rt_tally *tally,
		  void *arg)
{
	struct so_source *s = arg;
	const struct cf_rollout *r = cf_rollout_find(
		rp_machine_current(rp_node_machine(s->node)), key->service);
	struct trial *t = g_hash_table_lookup(s->trials, key->service);
	enum cf_cohort cohort = cf_rollout_cohort(r, key->version);

	if (!t || cohort == CF_COHORT_BARRED)
		return;
	rotate(t, ba_loop_now(s->loop));
	hear(cohort == CF_COHORT_TARGET ? &t->target : &t->kept,
	     ba_loop_now(s->loop));
	if (!rt_tally_total(tally))
		return;
	if (cohort == CF_COHORT_TARGET)
		t->target_calls += rt_tally_total(tally);
	else
		t->kept_calls += rt_tally_total(tally);
	if (*key->route)
		add(t, key->route, cohort, tally);
	add(t, "", cohort, tally);
}

static struct route *find_or_add_route(struct trial *t, const char *name)
{
	struct route *r = g_hash_table_lookup(t->routes, name);

	if (!r) {
		r = g_new0(struct route, 1);
		g_hash_table_insert(t->routes, g_strdup(name), r);
	}
	return r;
}

static void add(struct trial *t, const char *route, enum cf_cohort cohort,
		const struct rt_tally *tally)
{
	struct route *r = find_or_add_route(t, route);

	if (cohort == CF_COHORT_KEPT) {
		rt_tally_merge(&r->kept, tally);
		return;
	}
	rt_tally_merge(&r->target[WINDOW_STEP], tally);
	rt_tally_merge(&r->target[WINDOW_NOW], tally);
}

static void rotate(struct trial *t, ba_time now)
{
	GHashTableIter it;
	gpointer value;

	if (now < t->rotate_at)
		return;
	t->rotate_at = now + RECENT_TIME;
	g_hash_table_iter_init(&it, t->routes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct route *r = value;

		r->target[WINDOW_BEFORE] = r->target[WINDOW_NOW];
		memset(&r->target[WINDOW_NOW], 0, sizeof(r->target[0]));
	}
}

static void check(struct so_source *s, const struct cf_rollout *r,
		  struct trial *t, ba_time now)
{
	const struct so_trial trial = {
		.duration = r->duration,
		.elapsed = t->elapsed + now - t->since,
		.step_elapsed = now - t->since,
		.share = r->share,
		.everywhere = rp_machine_in_force_version(
				      rp_node_machine(s->node)) >= t->version,
		.verdict = judge_all(t),
		.kept_calls = t->kept_calls,
		.target_calls = t->target_calls,
		.heard = heard_time(&t->target, now),
		.unheard = unheard_time(t, now),
	};
	static const enum cf_rollout_state states[] = {
		[SO_STEP_GROW] = CF_ROLLOUT_RUNNING,
		[SO_STEP_COMPLETE] = CF_ROLLOUT_COMPLETED,
		[SO_STEP_ROLL_BACK] = CF_ROLLOUT_ROLLED_BACK,
	};
	RpRolloutStep m = RP_ROLLOUT_STEP__INIT;
	struct ba_buf kept = {0};
	enum so_step_reason reason;
	enum so_step step;

	if (now < t->proposed_until)
		return;
	step = so_next_step(&trial, &m.share, &reason);
	if (step == SO_STEP_WAIT) {
		log_wait(r, t, &trial, reason);
		return;
	}
	m.service = (char *)r->service;
	m.order = r->order;
	m.from_share = r->share;
	m.state = (uint32_t)states[step];
	m.wall_us = (uint64_t)ba_clock_wall();
	m.elapsed_ms = (uint32_t)(trial.elapsed / BA_MS);
	m.reason = (uint32_t)reason;
	pack_kept(t, r->service, &kept);
	m.kept.data = kept.data;
	m.kept.len = kept.len;
	ba_event(RP_EV_ROLLOUT,
		 "service=%s target=%s state=%s share=%u reason=%s "
		 "elapsed_ms=%u calls=%llu kept_calls=%llu heard_ms=%lld",
		 r->service, r->target,
		 cf_rollout_state_name((enum cf_rollout_state)m.state), m.share,
		 so_step_reason_name(reason), m.elapsed_ms,
		 (unsigned long long)t->target_calls,
		 (unsigned long long)t->kept_calls,
		 (long long)(trial.heard / BA_MS));
	propose(s, t, &m);
	ba_buf_free(&kept);
}

/* Once for each reason but the time, which is the schedule's. */
static void log_wait(const struct cf_rollout *r, struct trial *t,
		     const struct so_trial *trial, enum so_step_reason reason)
{
	bool logged = reason == t->waits_for;

	t->waits_for = reason;
	if (logged || reason == SO_REASON_EARLY)
		return;
	ba_event(RP_EV_ROLLOUT,
		 "service=%s target=%s waits=%s share=%u elapsed_ms=%lld "
		 "heard_ms=%lld calls=%llu",
		 r->service, r->target, so_step_reason_name(reason), r->share,
		 (long long)(trial->elapsed / BA_MS),
		 (long long)(trial->heard / BA_MS),
		 (unsigned long long)trial->target_calls);
}

static enum so_verdict judge_all(const struct trial *t)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, t->routes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct route *r = value;
		struct rt_tally recent = r->target[WINDOW_NOW];
		enum so_verdict v = so_judge(&r->kept, &r->target[WINDOW_STEP]);

		rt_tally_merge(&recent, &r->target[WINDOW_BEFORE]);
		if (v == SO_VERDICT_GOOD)
			v = so_judge(&r->kept, &recent);
		if (v != SO_VERDICT_GOOD)
			return v;
	}
	return SO_VERDICT_GOOD;
}

static void pack_kept(const struct trial *t, const char *service,
		      struct ba_buf *out)
{
	struct rt_tallies *logged = rt_tallies_new();
	GList *names = g_list_sort_with_data(g_hash_table_get_keys(t->routes),
					     by_calls, t->routes);
	size_t n = 0;

	for (GList *l = names; l && n < LOGGED_ROUTES_LIMIT; l = l->next, n++) {
		const struct route *r = g_hash_table_lookup(t->routes, l->data);
		const struct rt_tally_key key = {
			.service = service,
			.version = "",
			.route = l->data,
		};

		if (rt_tally_total(&r->kept) < LOGGED_CALLS_MIN)
			break;
		rt_tally_merge(rt_tallies_get(logged, &key), &r->kept);
	}
	rt_tallies_pack(logged, out);
	rt_tallies_free(logged);
	g_list_free(names);
}

static gint by_calls(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct route *x = g_hash_table_lookup(arg, a);
	const struct route *y = g_hash_table_lookup(arg, b);
	uint32_t n = rt_tally_total(&x->kept);
	uint32_t m = rt_tally_total(&y->kept);

	return n < m ? 1 : -(n > m);
}

static void propose(struct so_source *s, struct trial *t,
		    const RpRolloutStep *step)
{
	ba_time now = ba_loop_now(s->loop);
	struct ba_buf packed = {0};

	t->proposed_until = now + PROPOSAL_TIMEOUT;
	ba_buf_reserve(&packed, rp_rollout_step__get_packed_size(step));
	packed.len = rp_rollout_step__pack(step, packed.data);
	rp_node_propose(s->node, RP_ENTRY_KIND__RP_ENTRY_ROLLOUT, packed.data,
			packed.len, now);
	so_source_rearm(s);
	ba_buf_free(&packed);
}
