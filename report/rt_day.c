#include <string.h>

#include "base/ba_digest.h"
#include "base/ba_result.h"
#include "report/rt_figures.h"
#include "report/rt_internal.h"
#include "report/rt_list.h"

/* Convergence limit if the policy has none. */
#define DEFAULT_CONVERGENCE_LIMIT (6 * BA_SECOND)

enum { NAME_LIMIT_BYTES = 128 };

static bool is_valid(const RtFigures *f);
static void add_figures(struct rt_days *d, const RtFigures *f);
static void add_counters(RtDay *day, const RtFigures *f);
static void add_services(RtDay *day, const RtFigures *f);
static void add_hour(RtDay *day, const RtFigures *f);
static uint64_t counter_total(const RtFigures *f, enum rt_counter id);
static uint64_t unreached_since_us(const struct rt_days *d, size_t at);
static RtVersion *add_version(RtDays *s, uint64_t version);
static RtVersion *find_version(const RtDays *s, uint64_t version, size_t *at);
static int compare_version(const void *key, const void *element);
static int compare_mark(const void *key, const void *element);
static void set_limit(struct rt_days *d, const struct cf_snapshot *s,
		      RtVersion *v);
static bool update_mark(RtDays *state, const char *service, uint64_t mark);
static uint64_t hash_service(const struct cf_snapshot *s, size_t service);
static void prune_marks(RtDays *state, const struct cf_snapshot *s);

struct rt_days *rt_days_new(void)
{
	struct rt_days *d = g_new0(struct rt_days, 1);

	d->state = g_new(RtDays, 1);
	rt_days__init(d->state);
	rt_time_zone_set(d, "");
	return d;
}

void rt_days_free(struct rt_days *d)
{
	if (!d)
		return;
	rt_days__free_unpacked(d->state, NULL);
	g_time_zone_unref(d->tz);
	g_free(d);
}

int rt_days_add_batch(struct rt_days *d, const void *data, size_t len)
{
	RtBatch *batch = rt_batch__unpack(NULL, len, data);
	int code = BA_OK;

	if (!batch)
		return CF_ENCODING_WRONG;
	for (size_t i = 0; i < batch->n_figures; i++) {
		if (is_valid(batch->figures[i]))
			add_figures(d, batch->figures[i]);
		else
			code = CF_ENCODING_WRONG;
	}
	rt_batch__free_unpacked(batch, NULL);
	return code;
}

void rt_days_add_version(struct rt_days *d, const struct cf_snapshot *s,
			 ba_time wall)
{
	RtVersion *v;

	if (g_strcmp0(d->state->zone, s->policy.time_zone))
		rt_time_zone_set(d, s->policy.time_zone);
	rt_day_get(d, (uint64_t)(wall / BA_MS));
	v = add_version(d->state, s->version);
	if (!v)
		return;
	v->accepted_us = (uint64_t)wall;
	set_limit(d, s, v);
}

/* A superseded version comes into force with the version that replaced it. */
void rt_days_set_in_force(struct rt_days *d, uint64_t version, uint32_t daemons,
			  uint32_t live, ba_time wall)
{
	RtDay *day = rt_day_get(d, (uint64_t)(wall / BA_MS));
	uint32_t holders = live ? MIN(daemons, live) : daemons;
	bool unreachable = daemons < live;
	bool grew = false;
	size_t at;

	day->most_daemons = MAX(day->most_daemons, holders);
	/* All versions up to @version stand before index @at. */
	find_version(d->state, version + 1, &at);
	if (unreachable)
		grew = rt_outage_update(d, live - daemons,
					unreached_since_us(d, at), wall);
	else if (rt_days_has_outage(d))
		rt_outage_end(d, day, wall);
	while (at > 0 && !d->state->versions[at - 1]->in_force_us) {
		RtVersion *v = d->state->versions[--at];

		if (!v->reached_us) {
			v->reached_us = (uint64_t)wall;
			v->waited = grew;
			v->daemons = holders;
		}
		if (unreachable)
			continue;
		v->in_force_us = (uint64_t)wall;
		v->daemons = holders;
		v->away_us = rt_outage_overlap(d, day, v->accepted_us,
					       (uint64_t)wall);
	}
}

/*
 * Finds the oldest version before index @at that was not yet known to be in
 * force on all reachable daemons.  The daemons that it waited for may have been
 * unreachable since it was accepted.  Returns that time, 0 if there is no such
 * version.
 */
static uint64_t unreached_since_us(const struct rt_days *d, size_t at)
{
	uint64_t since = 0;

	while (at > 0 && !d->state->versions[at - 1]->reached_us)
		since = d->state->versions[--at]->accepted_us;
	return since;
}

bool rt_days_has_outage(const struct rt_days *d)
{
	return d->state->outage != NULL;
}

void rt_days_encode(const struct rt_days *d, struct ba_buf *out)
{
	ba_buf_reserve(out, rt_days__get_packed_size(d->state));
	out->len += rt_days__pack(d->state, out->data + out->len);
}

int rt_days_decode(struct rt_days *d, const void *data, size_t len)
{
	RtDays *state = rt_days__unpack(NULL, len, data);
	char *zone;

	if (!state)
		return CF_ENCODING_WRONG;
	for (size_t i = 0; i < state->n_days; i++) {
		const RtDay *day = state->days[i];

		for (size_t k = 0; k < day->n_services; k++)
			if (day->services[k]->n_latency != RT_HIST_BUCKETS)
				goto wrong;
	}
	rt_days__free_unpacked(d->state, NULL);
	d->state = state;
	zone = g_strdup(state->zone);
	rt_time_zone_set(d, zone);
	g_free(zone);
	return BA_OK;
wrong:
	rt_days__free_unpacked(state, NULL);
	return CF_ENCODING_WRONG;
}

static bool is_valid(const RtFigures *f)
{
	if (!*f->instance || strlen(f->instance) >= NAME_LIMIT_BYTES ||
	    strlen(f->role) >= NAME_LIMIT_BYTES || !f->sequence ||
	    f->to_wall_ms < f->from_wall_ms)
		return false;
	for (size_t i = 0; i < f->n_services; i++) {
		const RtServiceFigures *s = f->services[i];

		if (strlen(s->service) >= NAME_LIMIT_BYTES ||
		    s->n_latency_index != s->n_latency_count)
			return false;
	}
	for (size_t i = 0; i < f->n_counters; i++)
		if (strlen(f->counters[i]->label) >= NAME_LIMIT_BYTES)
			return false;
	return f->n_services <= RT_SERVICES_LIMIT;
}

static void add_figures(struct rt_days *d, const RtFigures *f)
{
	RtInstance *in = rt_instance_get(d, f->instance);
	RtDay *day;

	if (!in) {
		d->state->instances_left_out++;
		return;
	}
	if (!rt_instance_accept_figures(d, in, f))
		return;
	day = rt_day_get(d, f->from_wall_ms);
	add_counters(day, f);
	add_services(day, f);
	add_hour(day, f);
}

static void add_counters(RtDay *day, const RtFigures *f)
{
	for (size_t i = 0; i < f->n_counters; i++) {
		const RtCounter *c = f->counters[i];
		RtBreach breach = RT_BREACH__INIT;

		rt_day_counter_add(day, c->id, c->label, c->value);
		if (!c->value || !rt_is_breach(c->id) || *c->label)
			continue;
		breach.from_wall_ms = f->from_wall_ms;
		breach.to_wall_ms = f->to_wall_ms;
		breach.instance = f->instance;
		breach.id = c->id;
		breach.value = c->value;
		rt_day_breach_add(day, &breach);
	}
}

static void add_services(RtDay *day, const RtFigures *f)
{
	for (size_t i = 0; i < f->n_services; i++) {
		const RtServiceFigures *from = f->services[i];
		RtServiceDay *to = rt_day_service(day, from->service);

		to->answered += from->answered;
		to->not_run += from->not_run;
		to->may_have_run += from->may_have_run;
		to->shed += from->shed;
		to->retried += from->retried;
		for (size_t k = 0; k < from->n_latency_index; k++)
			if (from->latency_index[k] < RT_HIST_BUCKETS)
				to->latency[from->latency_index[k]] +=
					from->latency_count[k];
	}
}

static void add_hour(RtDay *day, const RtFigures *f)
{
	RtHour *h = rt_day_hour(day, f->from_wall_ms);

	h->calls += counter_total(f, RT_CALLS);
	h->answered += counter_total(f, RT_ANSWERED);
	h->control_bytes += counter_total(f, RT_CONTROL_BYTES_SENT);
	h->cross_region_bytes += counter_total(f, RT_CROSS_REGION_BYTES);
}

static uint64_t counter_total(const RtFigures *f, enum rt_counter id)
{
	for (size_t i = 0; i < f->n_counters; i++)
		if (f->counters[i]->id == (uint32_t)id &&
		    !*f->counters[i]->label)
			return f->counters[i]->value;
	return 0;
}

/* Returns NULL if the version exists already. */
static RtVersion *add_version(RtDays *s, uint64_t version)
{
	size_t at;
	RtVersion *v = find_version(s, version, &at);

	if (v)
		return NULL;
	if (s->n_versions == RT_VERSIONS_LIMIT) {
		rt_version__free_unpacked(
			rt_list_remove((void **)s->versions, &s->n_versions, 0),
			NULL);
		find_version(s, version, &at);
	}
	v = g_new(RtVersion, 1);
	rt_version__init(v);
	v->version = version;
	rt_list_insert((void ***)&s->versions, &s->n_versions, at, v);
	return v;
}

static RtVersion *find_version(const RtDays *s, uint64_t version, size_t *at)
{
	bool found;

	*at = rt_list_find((void *const *)s->versions, s->n_versions, &version,
			   compare_version, &found);
	return found ? s->versions[*at] : NULL;
}

static int compare_version(const void *key, const void *element)
{
	uint64_t a = *(const uint64_t *)key;
	uint64_t b = ((const RtVersion *)element)->version;

	return a < b ? -1 : a > b;
}

static int compare_mark(const void *key, const void *element)
{
	return strcmp(key, ((const RtServiceMark *)element)->service);
}

/*
 * Sets the convergence limit of a version to that of the mesh, or to the lowest
 * one of the services that the version changes if that is lower.  Updates the
 * marks of the services.
 */
static void set_limit(struct rt_days *d, const struct cf_snapshot *s,
		      RtVersion *v)
{
	const struct cf_policy *p = &s->policy;
	ba_time limit = p->convergence_limit ? p->convergence_limit
					     : DEFAULT_CONVERGENCE_LIMIT;
	const char *by = NULL;

	for (size_t i = 0; i < s->n_services; i++) {
		const char *name = s->services[i].name;
		ba_time row_limit = p->rows ? p->rows[i].convergence_limit : 0;

		if (!update_mark(d->state, name, hash_service(s, i)) ||
		    !row_limit || row_limit >= limit)
			continue;
		limit = row_limit;
		by = name;
	}
	prune_marks(d->state, s);
	v->limit_us = (uint64_t)limit;
	if (by)
		v->limited_by = g_strdup(by);
}

/* Stores the mark of a service.  Returns whether it is new or has changed. */
static bool update_mark(RtDays *state, const char *service, uint64_t mark)
{
	bool found;
	size_t at = rt_list_find((void *const *)state->marks, state->n_marks,
				 service, compare_mark, &found);
	RtServiceMark *m;

	if (found) {
		m = state->marks[at];
	} else {
		m = g_new(RtServiceMark, 1);
		rt_service_mark__init(m);
		m->service = g_strdup(service);
		rt_list_insert((void ***)&state->marks, &state->n_marks, at, m);
	}
	found = found && m->mark == mark;
	m->mark = mark;
	return !found;
}

/*
 * Hashes the limits, the policy row and the routes of a service, so that a
 * different mark means that the service changed.
 */
static uint64_t hash_service(const struct cf_snapshot *s, size_t service)
{
	const struct cf_service *v = &s->services[service];
	const struct cf_policy_row *row =
		s->policy.rows ? &s->policy.rows[service] : NULL;
	struct ba_buf text = {0};
	uint64_t mark;

	ba_buf_addf(&text, "%u %lld", v->max_in_flight, (long long)v->timeout);
	if (row)
		ba_buf_addf(&text, " %u %lld %u %lld", row->weight,
			    (long long)row->convergence_limit, row->calls_limit,
			    (long long)row->deadline);
	for (size_t i = 0; i < s->n_routes; i++) {
		const struct cf_route *r = &s->routes[i];

		if (r->service == (int)service)
			ba_buf_addf(&text, "\n%s %s %s %d", r->name, r->path,
				    r->method, r->idempotent);
	}
	mark = ba_hash(text.data, text.len, 0);
	ba_buf_free(&text);
	return mark;
}

/*
 * Removes the marks of services that the version no longer has.  Both lists
 * are sorted by name.
 */
static void prune_marks(RtDays *state, const struct cf_snapshot *s)
{
	for (size_t i = state->n_marks; i > 0; i--) {
		RtServiceMark *m = state->marks[i - 1];

		if (cf_service_find(s, m->service) != CF_NO_SERVICE)
			continue;
		rt_list_remove((void **)state->marks, &state->n_marks, i - 1);
		rt_service_mark__free_unpacked(m, NULL);
	}
}
