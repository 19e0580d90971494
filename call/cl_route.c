#include <string.h>

#include <glib.h>

#include "call/cl_route_internal.h"

enum { LATENCY_SAMPLES = 8, SHED_SAMPLES = 32, WORK_SAMPLES = 32 };

#define DAY (24 * BA_HOUR)

/* Lowest fraction of its share of calls that a new endpoint gets. */
#define SLOW_START_MIN_FACTOR 0.1

/* Share of a service's calls that are rejected above which none is ejected. */
#define SHED_SHARE_LIMIT 0.25

/* Endpoints with free slots are tried first, then busy ones, then ejected. */
enum pass { PASS_FREE, PASS_BUSY, PASS_EJECTED, PASSES };

static const enum cl_route_reason pass_reasons[PASSES] = {
	[PASS_BUSY] = CL_ROUTE_BUSY,
	[PASS_EJECTED] = CL_ROUTE_LAST_RESORT,
};

/* Two candidates drawn uniformly from @n endpoints. */
struct sample {
	struct cl_endpoint *candidates[2];
	uint64_t n;
};

static const char *const reason_names[] = {
	[CL_ROUTE_SELF] = "own-backend-server",
	[CL_ROUTE_DATA_CENTRE] = "data-centre",
	[CL_ROUTE_REGION] = "region",
	[CL_ROUTE_LINK] = "paid-link",
	[CL_ROUTE_PROBE] = "probe",
	[CL_ROUTE_OWNER] = "key-owner",
	[CL_ROUTE_BUSY] = "all-busy",
	[CL_ROUTE_LAST_RESORT] = "last-resort",
	[CL_ROUTE_NONE_KNOWN] = "none-known",
	[CL_ROUTE_NONE_LEFT] = "none-left",
	[CL_ROUTE_LINK_BUDGET] = "link-budget-spent",
};

static const char *const result_names[] = {
	[CL_ATTEMPT_ANSWERED] = "answer",
	[CL_ATTEMPT_ERROR_ANSWER] = "error-answer",
	[CL_ATTEMPT_OVERLOADED] = "overloaded",
	[CL_ATTEMPT_UNREACHABLE] = "unreachable",
	[CL_ATTEMPT_SILENT] = "silent",
	[CL_ATTEMPT_BROKEN] = "broken",
	[CL_ATTEMPT_TIMEOUT] = "timeout",
	[CL_ATTEMPT_DRAINING] = "draining",
	[CL_ATTEMPT_CANCELLED] = "cancelled",
	[CL_ATTEMPT_SHED] = "shed",
};

/* How much each result counts towards an ejection. */
static const uint32_t failure_weight[CL_ATTEMPT_RESULTS] = {
	[CL_ATTEMPT_ERROR_ANSWER] = 1, [CL_ATTEMPT_UNREACHABLE] = 2,
	[CL_ATTEMPT_SILENT] = 3,       [CL_ATTEMPT_BROKEN] = 1,
	[CL_ATTEMPT_TIMEOUT] = 1,      [CL_ATTEMPT_SHED] = 1,
};

static void service_free(gpointer p);
static void endpoint_free(struct cl_endpoint *e);
static struct cl_service_endpoints *service_get(struct cl_router *r,
						const char *name);
static void apply_record(struct cl_router *r, struct cl_service_endpoints *s,
			 const struct ep_record *rec, ba_time now);
static struct cl_endpoint *find_endpoint(struct cl_service_endpoints *s,
					 const struct ep_record *rec);
static enum cl_tier tier_of(const struct cl_router *r,
			    const struct ep_record *rec);
static void remove_unlisted(struct cl_router *r);
static void remove_endpoint(struct cl_router *r, struct cl_endpoint *e);
static struct cl_endpoint *pick_cohort(struct cl_router *r,
				       struct cl_service_endpoints *s,
				       const struct cl_pick_request *q,
				       ba_time now, struct ba_rand *rand,
				       enum cl_route_reason *reason);
static bool has_kept(const struct cl_service_endpoints *s);
static struct cl_endpoint *pick_by_time_or_load(struct cl_router *r,
						struct cl_service_endpoints *s,
						const struct cl_pick_request *q,
						ba_time now,
						struct ba_rand *rand,
						enum cl_route_reason *reason);
static struct cl_endpoint *pick_nearest(struct cl_router *r,
					struct cl_service_endpoints *s,
					const struct cl_pick_request *q,
					bool link, ba_time now,
					struct ba_rand *rand,
					enum cl_route_reason *reason);
static bool has_shorter_wait(const struct cl_endpoint *far,
			     const struct cl_endpoint *near,
			     const struct cl_pick_request *q, ba_time now);
static double busy_time(const struct cl_endpoint *e, double load,
			const struct cl_pick_request *q, ba_time now);
static struct cl_endpoint *pick_owner(struct cl_service_endpoints *s,
				      const struct cl_pick_request *q,
				      enum cl_route_reason *reason);
static struct cl_endpoint *pick_probe(struct cl_service_endpoints *s,
				      const struct cl_pick_request *q,
				      ba_time now);
static struct cl_endpoint *pick_tier(struct cl_router *r,
				     struct cl_service_endpoints *s,
				     const struct cl_pick_request *q,
				     enum cl_tier tier, enum pass pass,
				     ba_time now, struct ba_rand *rand);
static void add_candidate(struct sample *d, struct cl_endpoint *e,
			  struct ba_rand *rand);
static double load(const struct cl_endpoint *e, ba_time now);
static double cost(const struct cl_service_endpoints *s,
		   const struct cl_endpoint *e, const struct cl_pick_request *q,
		   ba_time now);
static double lowest_latency(const struct cl_service_endpoints *s);
static bool link_allowed(struct cl_router *r, ba_time now);
static void record_latency(struct cl_endpoint *e, ba_time latency, ba_time now);
static enum cl_route_change record_failure(struct cl_endpoint *e,
					   uint32_t weight, ba_time now);
static bool counts_as_failure(struct cl_endpoint *e,
			      enum cl_attempt_result result);
static enum cl_route_change record_success(struct cl_endpoint *e, ba_time now);
static bool may_eject(const struct cl_service_endpoints *s);

struct cl_router *cl_router_new(const struct cl_router_options *o)
{
	struct cl_router *r = g_new0(struct cl_router, 1);

	r->instance = g_strdup(o->instance);
	r->data_centre = g_strdup(o->data_centre);
	r->region = g_strdup(o->region);
	r->load_aware = o->load_aware;
	r->network[CL_TIER_LINK] = (double)CL_ROUTE_LINK_NETWORK_INITIAL;
	r->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    service_free);
	ba_list_init(&r->removed);
	return r;
}

void cl_router_free(struct cl_router *r)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	if (!r)
		return;
	g_hash_table_destroy(r->services);
	cf_snapshot_unref(r->snapshot);
	ba_list_each_safe(pos, tmp, &r->removed)
		endpoint_free(ba_entry(pos, struct cl_endpoint, link));
	g_free(r->instance);
	g_free(r->data_centre);
	g_free(r->region);
	g_free(r);
}

void cl_router_update(struct cl_router *r, const struct ep_view *v, ba_time now)
{
	for (size_t i = 0; i < v->n_services; i++) {
		const struct ep_service_view *sv = &v->services[i];
		struct cl_service_endpoints *s = service_get(r, sv->service);

		for (size_t j = 0; j < sv->n_records; j++)
			apply_record(r, s, &sv->records[j], now);
	}
	remove_unlisted(r);
}

void cl_router_set_rollouts(struct cl_router *r, struct cf_snapshot *s)
{
	struct cf_snapshot *old = r->snapshot;
	GHashTableIter it;
	struct ba_list *pos;
	gpointer p;

	if (!s->n_rollouts && (!old || !old->n_rollouts))
		return;
	r->snapshot = cf_snapshot_ref(s);
	g_hash_table_iter_init(&it, r->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cl_service_endpoints *se = p;

		se->rollout = cf_rollout_find(s, se->name);
		ba_list_each(pos, &se->endpoints)
		{
			struct cl_endpoint *e =
				ba_entry(pos, struct cl_endpoint, link);

			e->cohort = cf_rollout_cohort(se->rollout, e->version);
		}
	}
	cf_snapshot_unref(old);
}

void cl_router_drain_self(struct cl_router *r)
{
	r->self_draining = true;
}

void cl_router_set_link_budget(struct cl_router *r, uint64_t bytes_per_day,
			       ba_time now)
{
	double per_us = (double)bytes_per_day / (double)DAY;

	r->has_budget = bytes_per_day != 0;
	if (per_us == r->budget_per_us)
		return;
	r->budget_per_us = per_us;
	r->max_budget_bytes = per_us * (double)CL_LINK_BUDGET_BURST;
	r->budget_bytes = r->max_budget_bytes;
	r->budget_at = now;
}

void cl_router_spend_link_budget(struct cl_router *r, uint64_t bytes)
{
	r->budget_bytes -= (double)bytes;
}

struct cl_endpoint *cl_route_pick(struct cl_router *r,
				  const struct cl_pick_request *q, ba_time now,
				  struct ba_rand *rand,
				  enum cl_route_reason *reason)
{
	struct cl_service_endpoints *s =
		g_hash_table_lookup(r->services, q->service);
	struct cl_endpoint *e = NULL;

	*reason = CL_ROUTE_NONE_KNOWN;
	if (!s || ba_list_empty(&s->endpoints))
		return NULL;
	if (q->owner)
		e = pick_owner(s, q, reason);
	else
		e = pick_cohort(r, s, q, now, rand, reason);
	if (!e)
		return NULL;
	e->in_flight++;
	cl_place_sent(&e->place, e->in_flight, now);
	e->probing = e->ejected;
	if (e->stated_rate > 0)
		e->room_at = MAX(e->room_at, now) +
			     (ba_time)((double)BA_SECOND / e->stated_rate);
	return e;
}

void cl_route_record_load(struct cl_endpoint *e, uint32_t reported_load,
			  ba_time now)
{
	e->reported_load = reported_load;
	e->reported_at = now;
}

void cl_route_record_work(struct cl_router *r, struct cl_endpoint *e,
			  const struct cl_place_report *report, ba_time took,
			  ba_time now)
{
	struct cl_service_endpoints *s = e->service;
	double *network = &r->network[e->tier];

	cl_place_record(&e->place, report, e->in_flight, took, now);
	if (e->removed)
		return;
	s->states_work = true;
	if (!s->hold)
		s->hold = e->place.hold;
	s->hold += (e->place.hold - s->hold) / WORK_SAMPLES;
	if (!*network)
		*network = e->place.network;
	*network += (e->place.network - *network) / WORK_SAMPLES;
}

void cl_route_record_limit(struct cl_endpoint *e, double per_second,
			   ba_time room_at)
{
	e->stated_rate = per_second;
	e->room_at = room_at;
}

void cl_route_record_leaving(struct cl_endpoint *e)
{
	e->draining = true;
}

ba_time cl_route_room_at(const struct cl_router *r, const char *service,
			 ba_time self_room_at, ba_time now)
{
	const struct cl_service_endpoints *s =
		g_hash_table_lookup(r->services, service);
	const struct cl_pick_request q = {.self_room_at = self_room_at};
	double least = -1;
	struct ba_list *pos;

	if (!s)
		return now;
	ba_list_each(pos, &s->endpoints)
	{
		const struct cl_endpoint *e =
			ba_entry(pos, struct cl_endpoint, link);
		double wait = cl_route_room_wait(e, &q, now);

		if (!e->draining && e->cohort != CF_COHORT_BARRED &&
		    (least < 0 || wait < least))
			least = wait;
	}
	return least > 0 ? now + (ba_time)least : now;
}

enum cl_route_change cl_route_done(struct cl_router *r, struct cl_endpoint *e,
				   enum cl_attempt_result result,
				   ba_time latency, ba_time now)
{
	enum cl_route_change change = CL_ROUTE_UNCHANGED;

	e->in_flight--;
	if (result == CL_ATTEMPT_DRAINING)
		e->draining = true;
	if (result == CL_ATTEMPT_ANSWERED || result == CL_ATTEMPT_TIMEOUT)
		record_latency(e, latency, now);
	if (counts_as_failure(e, result))
		change = record_failure(e, failure_weight[result], now);
	else if (result == CL_ATTEMPT_ANSWERED)
		change = record_success(e, now);
	e->probing = false;
	if (e->removed && !e->in_flight) {
		ba_list_remove(&e->link);
		endpoint_free(e);
	}
	(void)r;
	return change;
}

const char *cl_route_reason_name(enum cl_route_reason reason)
{
	return reason_names[reason];
}

const char *cl_attempt_result_name(enum cl_attempt_result result)
{
	return result_names[result];
}

static void service_free(gpointer p)
{
	struct cl_service_endpoints *s = p;
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_each_safe(pos, tmp, &s->endpoints)
		endpoint_free(ba_entry(pos, struct cl_endpoint, link));
	g_free(s->name);
	g_free(s);
}

static void endpoint_free(struct cl_endpoint *e)
{
	g_free(e->instance);
	g_free(e->address);
	g_free(e->version);
	g_free(e);
}

static struct cl_service_endpoints *service_get(struct cl_router *r,
						const char *name)
{
	struct cl_service_endpoints *s = g_hash_table_lookup(r->services, name);

	if (s)
		return s;
	s = g_new0(struct cl_service_endpoints, 1);
	s->name = g_strdup(name);
	s->rollout = r->snapshot ? cf_rollout_find(r->snapshot, name) : NULL;
	ba_list_init(&s->endpoints);
	g_hash_table_insert(r->services, s->name, s);
	return s;
}

static void apply_record(struct cl_router *r, struct cl_service_endpoints *s,
			 const struct ep_record *rec, ba_time now)
{
	struct cl_endpoint *e = rec->left ? NULL : find_endpoint(s, rec);
	enum cl_tier tier = tier_of(r, rec);
	const char *address = tier == CL_TIER_LINK && rec->external_address &&
					      *rec->external_address
				      ? rec->external_address
				      : rec->address;

	if (rec->left)
		return;
	if (!e) {
		e = g_new0(struct cl_endpoint, 1);
		e->id = ++r->next_id;
		e->instance = g_strdup(rec->instance);
		e->address = g_strdup(address);
		e->incarnation = rec->incarnation;
		e->version = g_strdup(rec->version ? rec->version : "");
		e->cohort = cf_rollout_cohort(s->rollout, e->version);
		e->service = s;
		e->tier = tier;
		e->latency = (double)CL_LATENCY_INITIAL;
		e->latency_at = now;
		e->slow_start_end = now + CL_SLOW_START;
		cl_place_init(&e->place);
		ba_list_append(&s->endpoints, &e->link);
		s->n_endpoints++;
	}
	e->slots = rec->slots;
	e->draining = e->draining || rec->draining;
	e->listed = true;
}

/*
 * A new incarnation is a new endpoint; what was recorded of the old one does
 * not apply to it.
 */
static struct cl_endpoint *find_endpoint(struct cl_service_endpoints *s,
					 const struct ep_record *rec)
{
	struct ba_list *pos;

	ba_list_each(pos, &s->endpoints)
	{
		struct cl_endpoint *e = ba_entry(pos, struct cl_endpoint, link);

		if (e->incarnation == rec->incarnation &&
		    !strcmp(e->instance, rec->instance))
			return e;
	}
	return NULL;
}

static enum cl_tier tier_of(const struct cl_router *r,
			    const struct ep_record *rec)
{
	if (!strcmp(rec->instance, r->instance))
		return CL_TIER_SELF;
	if (!strcmp(rec->data_centre, r->data_centre))
		return CL_TIER_DATA_CENTRE;
	if (!strcmp(rec->region, r->region))
		return CL_TIER_REGION;
	return CL_TIER_LINK;
}

static void remove_unlisted(struct cl_router *r)
{
	GHashTableIter it;
	gpointer p;
	struct ba_list *pos;
	struct ba_list *tmp;

	g_hash_table_iter_init(&it, r->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct cl_service_endpoints *s = p;

		ba_list_each_safe(pos, tmp, &s->endpoints)
		{
			struct cl_endpoint *e =
				ba_entry(pos, struct cl_endpoint, link);

			if (e->listed)
				e->listed = false;
			else
				remove_endpoint(r, e);
		}
	}
}

static void remove_endpoint(struct cl_router *r, struct cl_endpoint *e)
{
	ba_list_remove(&e->link);
	e->service->n_endpoints--;
	e->service->n_ejected -= e->ejected;
	e->ejected = false;
	e->removed = true;
	if (e->in_flight)
		ba_list_append(&r->removed, &e->link);
	else
		endpoint_free(e);
}

/*
 * A call that is meant for the target version goes to another one if no
 * endpoint takes it, but not the other way round, unless no other is known.
 */
static struct cl_endpoint *pick_cohort(struct cl_router *r,
				       struct cl_service_endpoints *s,
				       const struct cl_pick_request *q,
				       ba_time now, struct ba_rand *rand,
				       enum cl_route_reason *reason)
{
	const struct cf_rollout *ro = s->rollout;
	bool runs = ro && ro->state == CF_ROLLOUT_RUNNING;
	struct cl_endpoint *e = NULL;

	s->to_target = runs && (ba_rand_below(rand, CF_SHARE_ALL) < ro->share ||
				!has_kept(s));
	for (int i = 0; i < 2; i++) {
		if (q->may_probe && (e = pick_probe(s, q, now)))
			*reason = CL_ROUTE_PROBE;
		else
			e = pick_by_time_or_load(r, s, q, now, rand, reason);
		if (e || !s->to_target)
			return e;
		s->to_target = false;
	}
	return e;
}

static bool has_kept(const struct cl_service_endpoints *s)
{
	struct ba_list *pos;

	ba_list_each(pos, &s->endpoints)
	{
		if (ba_entry(pos, struct cl_endpoint, link)->cohort ==
		    CF_COHORT_KEPT)
			return true;
	}
	return false;
}

bool cl_route_is_eligible(const struct cl_service_endpoints *s,
			  const struct cl_endpoint *e)
{
	return e->cohort == (s->to_target ? CF_COHORT_TARGET : CF_COHORT_KEPT);
}

static struct cl_endpoint *pick_by_time_or_load(struct cl_router *r,
						struct cl_service_endpoints *s,
						const struct cl_pick_request *q,
						ba_time now,
						struct ba_rand *rand,
						enum cl_route_reason *reason)
{
	bool link = link_allowed(r, now);
	struct cl_endpoint *e = NULL;

	if (s->states_work && r->load_aware)
		e = cl_route_pick_by_time(r, s, q, link, now, rand, reason);
	return e ? e : pick_nearest(r, s, q, link, now, rand, reason);
}

static struct cl_endpoint *pick_nearest(struct cl_router *r,
					struct cl_service_endpoints *s,
					const struct cl_pick_request *q,
					bool link, ba_time now,
					struct ba_rand *rand,
					enum cl_route_reason *reason)
{
	for (int pass = 0; pass < PASSES; pass++) {
		struct cl_endpoint *best = NULL;

		for (int t = 0; t < CL_TIERS; t++) {
			struct cl_endpoint *e;

			if (t == CL_TIER_LINK &&
			    (!link || q->no_link ||
			     (q->large_answer && pass != PASS_EJECTED)))
				continue;
			if (t == CL_TIER_SELF && r->self_draining)
				continue;
			e = pick_tier(r, s, q, (enum cl_tier)t, (enum pass)pass,
				      now, rand);
			*reason = pass == PASS_FREE ? (enum cl_route_reason)t
						    : pass_reasons[pass];
			if (e && pass == PASS_FREE)
				return e;
			if (e && (!best || has_shorter_wait(e, best, q, now)))
				best = e;
		}
		if (best)
			return best;
	}
	*reason = link ? CL_ROUTE_NONE_LEFT : CL_ROUTE_LINK_BUDGET;
	return NULL;
}

/*
 * Compares expected waits.  Without a free slot a call waits for the calls
 * before it, divided by the number of slots, so the nearest endpoint is not
 * always the best.
 */
static bool has_shorter_wait(const struct cl_endpoint *far,
			     const struct cl_endpoint *near,
			     const struct cl_pick_request *q, ba_time now)
{
	double factor = far->tier == CL_TIER_LINK ? CL_ROUTE_LINK_WAIT_RATIO
						  : CL_ROUTE_FARTHER_WAIT_RATIO;
	double near_load =
		near->tier == CL_TIER_SELF ? q->self_load : load(near, now);
	double near_time = busy_time(near, near_load, q, now);
	double far_time = busy_time(far, load(far, now), q, now);

	return far_time * factor < near_time;
}

/*
 * Time until a call would be answered that waits for a slot or for the stated
 * limit.  At its limit an endpoint is full, whatever slots it has left.
 */
static double busy_time(const struct cl_endpoint *e, double load,
			const struct cl_pick_request *q, ba_time now)
{
	double slots = e->slots ? e->slots : 1;
	double wait = cl_route_room_wait(e, q, now);

	if (wait > 0 && load + 1 < slots)
		load = slots - 1;
	return (load + 1) * e->latency / slots + wait;
}

static struct cl_endpoint *pick_owner(struct cl_service_endpoints *s,
				      const struct cl_pick_request *q,
				      enum cl_route_reason *reason)
{
	struct ba_list *pos;

	*reason = CL_ROUTE_NONE_LEFT;
	ba_list_each(pos, &s->endpoints)
	{
		struct cl_endpoint *e = ba_entry(pos, struct cl_endpoint, link);

		if (strcmp(e->instance, q->owner))
			continue;
		*reason = CL_ROUTE_OWNER;
		return e;
	}
	return NULL;
}

static struct cl_endpoint *pick_probe(struct cl_service_endpoints *s,
				      const struct cl_pick_request *q,
				      ba_time now)
{
	struct ba_list *pos;

	if (!s->n_ejected)
		return NULL;
	ba_list_each(pos, &s->endpoints)
	{
		struct cl_endpoint *e = ba_entry(pos, struct cl_endpoint, link);

		if (e->ejected && !e->probing && !e->draining &&
		    cl_route_is_eligible(s, e) && e->ejected_until <= now &&
		    !cl_route_was_tried(q, e))
			return e;
	}
	return NULL;
}

static struct cl_endpoint *pick_tier(struct cl_router *r,
				     struct cl_service_endpoints *s,
				     const struct cl_pick_request *q,
				     enum cl_tier tier, enum pass pass,
				     ba_time now, struct ba_rand *rand)
{
	struct sample d = {0};
	struct ba_list *pos;

	ba_list_each(pos, &s->endpoints)
	{
		struct cl_endpoint *e = ba_entry(pos, struct cl_endpoint, link);

		if (e->tier != tier || e->draining ||
		    !cl_route_is_eligible(s, e) || cl_route_was_tried(q, e))
			continue;
		/*
		 * The link is the last resort of a large answer, so its
		 * endpoints in any state count in the last pass.
		 */
		if (e->ejected != (pass == PASS_EJECTED) &&
		    !(q->large_answer && pass == PASS_EJECTED &&
		      tier == CL_TIER_LINK))
			continue;
		if (pass == PASS_FREE && cl_route_room_wait(e, q, now) > 0)
			continue;
		if (pass == PASS_FREE && e->slots &&
		    (tier == CL_TIER_SELF ? q->self_load : load(e, now)) >=
			    e->slots * (tier == CL_TIER_LINK
						? CL_ROUTE_LINK_SLOT_FRACTION
						: 1))
			continue;
		add_candidate(&d, e, rand);
	}
	if (d.n < 2 || !r->load_aware)
		return d.candidates[0];
	return cost(s, d.candidates[1], q, now) <
			       cost(s, d.candidates[0], q, now)
		       ? d.candidates[1]
		       : d.candidates[0];
}

bool cl_route_was_tried(const struct cl_pick_request *q,
			const struct cl_endpoint *e)
{
	for (size_t i = 0; i < q->n_tried; i++)
		if (q->tried[i] == e->id)
			return true;
	return false;
}

/* Reservoir sampling of two; their order is uniformly random too. */
static void add_candidate(struct sample *d, struct cl_endpoint *e,
			  struct ba_rand *rand)
{
	uint64_t at;

	d->n++;
	if (d->n == 1) {
		d->candidates[0] = e;
		return;
	}
	at = ba_rand_below(rand, d->n);
	if (d->n == 2) {
		d->candidates[1] = d->candidates[0];
		d->candidates[at] = e;
	} else if (at < 2) {
		d->candidates[at] = e;
	}
}

/*
 * The reported load adds to the daemon's own calls.  It is capped at the number
 * of slots and loses weight with age.
 */
static double load(const struct cl_endpoint *e, ba_time now)
{
	double others = e->reported_load;
	double age = (double)(now - e->reported_at);

	if (!e->reported_load)
		return e->in_flight;
	if (e->slots && others > e->slots)
		others = e->slots;
	return e->in_flight + others * (double)CL_REPORT_HALF_WEIGHT_AGE /
				      ((double)CL_REPORT_HALF_WEIGHT_AGE + age);
}

/* How long the stated limit delays a further call, in microseconds. */
double cl_route_room_wait(const struct cl_endpoint *e,
			  const struct cl_pick_request *q, ba_time now)
{
	ba_time room_at =
		e->tier == CL_TIER_SELF ? q->self_room_at : e->room_at;

	return room_at > now ? (double)(room_at - now) : 0;
}

static double cost(const struct cl_service_endpoints *s,
		   const struct cl_endpoint *e, const struct cl_pick_request *q,
		   ba_time now)
{
	double least = lowest_latency(s);
	double age = (double)(now - e->latency_at);
	double over = e->latency > least ? e->latency - least : 0;
	double slots = e->slots ? e->slots : 1;
	double calls = load(e, now) + 1;
	double wait = cl_route_room_wait(e, q, now);
	double latency =
		least + over * (double)CL_LATENCY_HALF_WEIGHT_AGE /
				((double)CL_LATENCY_HALF_WEIGHT_AGE + age);

	if (wait > 0)
		return (MAX(calls, slots) * latency + wait * slots) /
		       cl_route_slow_start_factor(e, now);
	return calls * latency / cl_route_slow_start_factor(e, now);
}

static double lowest_latency(const struct cl_service_endpoints *s)
{
	struct ba_list *pos;
	double best = 0;

	ba_list_each(pos, &s->endpoints)
	{
		const struct cl_endpoint *e =
			ba_entry(pos, struct cl_endpoint, link);

		if (!best || e->latency < best)
			best = e->latency;
	}
	return best;
}

double cl_route_slow_start_factor(const struct cl_endpoint *e, ba_time now)
{
	double left = (double)(e->slow_start_end - now) / (double)CL_SLOW_START;

	if (left <= 0)
		return 1;
	return left < 1 - SLOW_START_MIN_FACTOR ? 1 - left
						: SLOW_START_MIN_FACTOR;
}

/* Adds the budget for the time since the last check. */
static bool link_allowed(struct cl_router *r, ba_time now)
{
	if (!r->has_budget)
		return true;
	r->budget_bytes += (double)(now - r->budget_at) * r->budget_per_us;
	r->budget_at = now;
	if (r->budget_bytes > r->max_budget_bytes)
		r->budget_bytes = r->max_budget_bytes;
	return r->budget_bytes > 0;
}

static void record_latency(struct cl_endpoint *e, ba_time latency, ba_time now)
{
	double sample = latency > 0 ? (double)latency : 1;

	e->latency += (sample - e->latency) / LATENCY_SAMPLES;
	e->latency_at = now;
}

static enum cl_route_change record_failure(struct cl_endpoint *e,
					   uint32_t weight, ba_time now)
{
	ba_time span = CL_EJECTION_FIRST;

	e->failures += weight;
	if (e->removed || e->failures < CL_EJECTION_FAILURES)
		return CL_ROUTE_UNCHANGED;
	if (!e->ejected && !may_eject(e->service))
		return CL_ROUTE_UNCHANGED;
	for (uint32_t i = 0; i < e->ejections; i++)
		if (span < CL_EJECTION_MAX)
			span *= 2;
	if (span > CL_EJECTION_MAX)
		span = CL_EJECTION_MAX;
	e->ejections++;
	e->ejected_until = now + span;
	if (e->ejected)
		return CL_ROUTE_UNCHANGED;
	e->ejected = true;
	e->service->n_ejected++;
	return CL_ROUTE_EJECTED;
}

static bool counts_as_failure(struct cl_endpoint *e,
			      enum cl_attempt_result result)
{
	struct cl_service_endpoints *s = e->service;
	bool shed = result == CL_ATTEMPT_SHED;

	if (shed || result == CL_ATTEMPT_ANSWERED)
		s->shed_share += (shed - s->shed_share) / SHED_SAMPLES;
	return failure_weight[result] &&
	       !(shed && s->shed_share > SHED_SHARE_LIMIT);
}

static enum cl_route_change record_success(struct cl_endpoint *e, ba_time now)
{
	e->failures = 0;
	if (!e->ejected) {
		if (now - e->ejected_until > CL_EJECTION_MAX)
			e->ejections = 0;
		return CL_ROUTE_UNCHANGED;
	}
	e->ejected = false;
	e->ejected_until = now;
	e->service->n_ejected--;
	e->slow_start_end = now + CL_SLOW_START;
	return CL_ROUTE_RESTORED;
}

/* At most half of a service's endpoints may be ejected at once. */
static bool may_eject(const struct cl_service_endpoints *s)
{
	return 2 * (s->n_ejected + 1) <= s->n_endpoints;
}
