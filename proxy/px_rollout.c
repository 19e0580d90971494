#include "proxy/px_internal.h"
#include "report/rt_tally.h"

/*
 * Time over which calls are counted before they are reported.  It adds to the
 * time until a bad version is noticed.
 */
#define REPORT_DELAY (400 * BA_MS)
/*
 * Time between reports of a server that runs no calls.  Without them its proxy
 * would look like one that cannot be heard.
 */
#define IDLE_REPORT_INTERVAL (800 * BA_MS)

static const struct cf_rollout *find_own(const struct px *p);
static bool is_running(const struct px *p);
static struct rt_tally *get_tally(struct px *p, const char *route);
static void on_timer(struct ba_timer *t, ba_time now);

void px_rollout_init(struct px *p)
{
	p->tally_timer.fire = on_timer;
}

void px_rollout_free(struct px *p)
{
	ba_loop_disarm(p->loop, &p->tally_timer);
	rt_tallies_free(p->tallies);
}

/*
 * A call that was refused without being run, or given up by its caller, tells
 * nothing of the version; nor does the time that a server takes in its slow
 * start.
 */
void px_rollout_count(struct px_exchange *x, enum cl_attempt_result result)
{
	struct px *p = x->p;
	ba_time now = ba_loop_now(p->loop);
	bool warm = now >= p->backend.warm_at;
	bool failed = result == CL_ATTEMPT_ERROR_ANSWER ||
		      result == CL_ATTEMPT_BROKEN ||
		      (result == CL_ATTEMPT_TIMEOUT && warm);
	struct rt_tally *t;

	if (!is_running(p) || (!failed && result != CL_ATTEMPT_ANSWERED))
		return;
	t = get_tally(p, x->route ? x->route : "");
	if (!t)
		return;
	t->failed += failed;
	t->answered += !failed;
	if (!failed && warm)
		t->times[rt_tally_bucket(now - x->admission.started)]++;
	px_rollout_check(p);
}

void px_rollout_check(struct px *p)
{
	if (is_running(p) && !p->tally_timer.slot)
		ba_loop_arm(p->loop, &p->tally_timer,
			    ba_loop_now(p->loop) + REPORT_DELAY);
}

bool px_rollout_bars(const struct px *p)
{
	return cf_rollout_cohort(find_own(p), p->backend.heartbeat.version) ==
	       CF_COHORT_BARRED;
}

static const struct cf_rollout *find_own(const struct px *p)
{
	return p->snapshot ? cf_rollout_find(p->snapshot,
					     p->backend.heartbeat.service)
			   : NULL;
}

static bool is_running(const struct px *p)
{
	const struct cf_rollout *ro = find_own(p);

	return ro && ro->state == CF_ROLLOUT_RUNNING;
}

static struct rt_tally *get_tally(struct px *p, const char *route)
{
	const struct rt_tally_key key = {
		.service = p->backend.heartbeat.service,
		.version = p->backend.heartbeat.version,
		.route = route,
	};

	if (!p->tallies)
		p->tallies = rt_tallies_new();
	return rt_tallies_get(p->tallies, &key);
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	struct px *p = ba_entry(t, struct px, tally_timer);
	struct ba_buf packed = {0};

	px_rollout_check(p);
	if (!p->tallies || !rt_tallies_count(p->tallies)) {
		if (!p->backend.presence.registered || !is_running(p) ||
		    now < p->idle_report_at)
			return;
		get_tally(p, "");
	}
	p->idle_report_at = now + IDLE_REPORT_INTERVAL;
	rt_tallies_pack(p->tallies, &packed);
	if (p->owner->tallied)
		p->owner->tallied(p->owner, packed.data, packed.len);
	ba_buf_free(&packed);
}
