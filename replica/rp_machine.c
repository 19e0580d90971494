#include <string.h>

#include "base/ba_result.h"
#include "replica/rp_machine_internal.h"
#include "wire/rp.pb-c.h"
#include "wire/rt.pb-c.h"

typedef void (*applier)(struct rp_machine *m, const struct rp_entry *e,
			struct rp_applied *out);

static void apply_submission(struct rp_machine *m, const struct rp_entry *e,
			     struct rp_applied *out);
static void apply_members(struct rp_machine *m, const struct rp_entry *e,
			  struct rp_applied *out);
static void apply_figures(struct rp_machine *m, const struct rp_entry *e,
			  struct rp_applied *out);
static void apply_in_force(struct rp_machine *m, const struct rp_entry *e,
			   struct rp_applied *out);
static void apply_rollout(struct rp_machine *m, const struct rp_entry *e,
			  struct rp_applied *out);
static bool is_current_base(const struct rp_machine *m, uint64_t version);
static void apply_departures(struct rp_machine *m, const struct rp_entry *e,
			     struct rp_applied *out);
static void add_departure(const struct ep_departure_entry *d, void *arg);
static void mark_in_force(struct rp_machine *m, const RtInForce *f);
static int decide_submission(struct rp_machine *m, const RpSubmission *s,
			     struct cf_snapshot **out);
static void accept_version(struct rp_machine *m, const RpSubmission *s,
			   struct cf_snapshot *next);
static void record_outcome(struct rp_machine *m, const RpSubmission *s,
			   int code);
static int parse_submission(const struct rp_machine *m, const CtSubmit *submit,
			    uint64_t index, struct cf_snapshot **out,
			    struct ba_problems *problems);
static void pack_submission(const CtSubmit *submit, ba_time wall, int code,
			    const struct ba_buf *delta,
			    const struct ba_problems *problems,
			    struct ba_buf *out);
static void version_free(struct rp_version *v);
static void outcome_free(gpointer data);

static const applier appliers[] = {
	[RP_ENTRY_KIND__RP_ENTRY_SUBMISSION] = apply_submission,
	[RP_ENTRY_KIND__RP_ENTRY_MEMBERS] = apply_members,
	[RP_ENTRY_KIND__RP_ENTRY_FIGURES] = apply_figures,
	[RP_ENTRY_KIND__RP_ENTRY_IN_FORCE] = apply_in_force,
	[RP_ENTRY_KIND__RP_ENTRY_ROLLOUT] = apply_rollout,
	[RP_ENTRY_KIND__RP_ENTRY_DEPARTURES] = apply_departures,
};

struct rp_machine *rp_machine_new(void)
{
	struct rp_machine *m = g_new0(struct rp_machine, 1);

	m->current = cf_snapshot_empty();
	m->base = cf_snapshot_ref(m->current);
	m->outcomes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    outcome_free);
	g_queue_init(&m->outcome_queue);
	g_queue_init(&m->versions);
	m->days = rt_days_new();
	m->kept = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					rp_kept_free);
	m->departures = ep_departures_new();
	return m;
}

void rp_machine_free(struct rp_machine *m)
{
	if (!m)
		return;
	cf_snapshot_unref(m->current);
	cf_snapshot_unref(m->base);
	g_queue_clear(&m->outcome_queue);
	g_hash_table_destroy(m->outcomes);
	g_queue_clear_full(&m->versions, (GDestroyNotify)version_free);
	rt_days_free(m->days);
	g_hash_table_destroy(m->kept);
	ep_departures_free(m->departures);
	g_free(m);
}

void rp_machine_apply(struct rp_machine *m, const struct rp_entry *e,
		      struct rp_applied *out)
{
	memset(out, 0, sizeof(*out));
	out->kind = e->kind;
	m->applied = e->index;
	if (e->kind >= 0 && (size_t)e->kind < G_N_ELEMENTS(appliers) &&
	    appliers[e->kind])
		appliers[e->kind](m, e, out);
}

uint64_t rp_machine_applied(const struct rp_machine *m)
{
	return m->applied;
}

struct cf_snapshot *rp_machine_current(const struct rp_machine *m)
{
	return m->current;
}

const struct rt_days *rp_machine_days(const struct rp_machine *m)
{
	return m->days;
}

const struct rp_members *rp_machine_members(const struct rp_machine *m)
{
	return &m->members;
}

const struct ep_departures *rp_machine_departures(const struct rp_machine *m)
{
	return m->departures;
}

uint64_t rp_machine_in_force_version(const struct rp_machine *m)
{
	return m->in_force_version;
}

const struct rp_version *rp_machine_version(const struct rp_machine *m,
					    size_t i)
{
	guint n = m->versions.length;

	return i < n ? g_queue_peek_nth((GQueue *)&m->versions,
					n - 1 - (guint)i)
		     : NULL;
}

CtOutcome *rp_machine_outcome(const struct rp_machine *m, const char *id)
{
	const struct rp_outcome *o = g_hash_table_lookup(m->outcomes, id);

	if (!o)
		return NULL;
	return ct_outcome__unpack(NULL, o->packed.len, o->packed.data);
}

void rp_machine_prepare(const struct rp_machine *m, const CtSubmit *submit,
			uint64_t index, ba_time wall, struct ba_buf *out)
{
	struct ba_problems problems = {0};
	struct cf_snapshot *next = NULL;
	struct ba_buf delta = {0};
	bool rollout = submit->kind == CT_KIND__CT_KIND_ROLLOUT;
	int code = BA_OK;

	if (rollout)
		ba_buf_add(&delta, submit->text.data, submit->text.len);
	else
		code = parse_submission(m, submit, index, &next, &problems);
	if (next && !code)
		cf_delta_encode(m->base, next, CF_FORM_KEYS, &delta);
	pack_submission(submit, wall, code, &delta, &problems, out);
	cf_snapshot_unref(next);
	ba_problems_free(&problems);
	ba_buf_free(&delta);
}

void rp_machine_record_outcome(struct rp_machine *m, const char *id,
			       const void *packed, size_t len)
{
	struct rp_outcome *o = g_new0(struct rp_outcome, 1);

	if (m->outcome_queue.length == RP_OUTCOMES_LIMIT) {
		struct rp_outcome *oldest = g_queue_pop_head(&m->outcome_queue);

		g_hash_table_remove(m->outcomes, oldest->id);
	}
	o->id = g_strdup(id);
	ba_buf_add(&o->packed, packed, len);
	g_hash_table_insert(m->outcomes, o->id, o);
	g_queue_push_tail(&m->outcome_queue, o);
}

void rp_machine_add_version(struct rp_machine *m, struct rp_version *v)
{
	if (m->versions.length == RP_VERSIONS_LIMIT)
		version_free(g_queue_pop_head(&m->versions));
	g_queue_push_tail(&m->versions, v);
	if (v->in_force_at)
		m->in_force_version = MAX(m->in_force_version, v->version);
}

static void apply_submission(struct rp_machine *m, const struct rp_entry *e,
			     struct rp_applied *out)
{
	RpSubmission *s = rp_submission__unpack(NULL, e->len, e->body);
	struct cf_snapshot *next = NULL;
	const struct rp_outcome *o;

	if (!s || !s->submit) {
		out->code = CF_ENCODING_WRONG;
	} else if (!g_hash_table_contains(m->outcomes,
					  s->submit->submission_id)) {
		out->code = decide_submission(m, s, &next);
		if (next) {
			accept_version(m, s, next);
			out->published = true;
		}
		record_outcome(m, s, out->code);
	}
	if (s && s->submit) {
		o = g_hash_table_lookup(m->outcomes, s->submit->submission_id);
		out->submission_id = o->id;
	}
	if (s)
		rp_submission__free_unpacked(s, NULL);
}

static void apply_members(struct rp_machine *m, const struct rp_entry *e,
			  struct rp_applied *out)
{
	(void)out;
	rp_members_decode(&m->members, e->body, e->len);
}

static void apply_figures(struct rp_machine *m, const struct rp_entry *e,
			  struct rp_applied *out)
{
	out->code = rt_days_add_batch(m->days, e->body, e->len);
}

/* Once a version is in force everywhere, so are all versions before it. */
static void apply_in_force(struct rp_machine *m, const struct rp_entry *e,
			   struct rp_applied *out)
{
	RtInForce *f = rt_in_force__unpack(NULL, e->len, e->body);

	if (!f) {
		out->code = CF_ENCODING_WRONG;
		return;
	}
	rt_days_set_in_force(m->days, f->version, f->daemons, f->live,
			     (ba_time)f->wall_us);
	if (f->daemons >= f->live)
		mark_in_force(m, f);
	rt_in_force__free_unpacked(f, NULL);
}

static void apply_rollout(struct rp_machine *m, const struct rp_entry *e,
			  struct rp_applied *out)
{
	struct cf_snapshot *next = rp_rollout_step(m, e->body, e->len);

	if (!next)
		return;
	cf_snapshot_unref(m->current);
	m->current = next;
	out->published = true;
}

static void apply_departures(struct rp_machine *m, const struct rp_entry *e,
			     struct rp_applied *out)
{
	if (ep_departures_read(e->body, e->len, add_departure, m->departures) <
	    0)
		out->code = CF_ENCODING_WRONG;
}

static void add_departure(const struct ep_departure_entry *d, void *arg)
{
	ep_departures_add(arg, d);
}

static void mark_in_force(struct rp_machine *m, const RtInForce *f)
{
	for (GList *l = m->versions.tail; l; l = l->prev) {
		struct rp_version *v = l->data;

		if (v->version > f->version)
			continue;
		if (v->in_force_at)
			break;
		v->in_force_at = (ba_time)f->wall_us;
		v->daemons = f->daemons;
	}
	m->in_force_version = MAX(m->in_force_version, f->version);
}

static int decide_submission(struct rp_machine *m, const RpSubmission *s,
			     struct cf_snapshot **out)
{
	if (s->code)
		return (int)s->code;
	if (s->submit->kind == CT_KIND__CT_KIND_ROLLOUT)
		return rp_rollout_order(m, s->delta.data, s->delta.len,
					(ba_time)s->wall_us, out);
	if (!is_current_base(m, s->submit->base_version))
		return RP_BASE_STALE;
	return cf_delta_apply(m->base, s->delta.data, s->delta.len, out);
}

/* The versions since the last submission differ in their roll-outs only. */
static bool is_current_base(const struct rp_machine *m, uint64_t version)
{
	return version >= m->base->version && version <= m->current->version;
}

static void accept_version(struct rp_machine *m, const RpSubmission *s,
			   struct cf_snapshot *next)
{
	struct rp_version *v = g_new0(struct rp_version, 1);

	if (s->submit->kind == CT_KIND__CT_KIND_ROLLOUT) {
		cf_snapshot_unref(m->current);
		m->current = next;
	} else {
		rp_rollout_set_configuration(m, next);
		next = m->current;
	}
	v->version = next->version;
	v->operator_name = g_strdup(s->submit->operator_);
	v->submission_id = g_strdup(s->submit->submission_id);
	v->kind = (int)s->submit->kind;
	v->file_name = g_strdup(s->submit->file_name);
	v->accepted_at = (ba_time)s->wall_us;
	ba_digest_hex(&next->digest, v->digest);
	rp_machine_add_version(m, v);
	rt_days_add_version(m->days, next, (ba_time)s->wall_us);
}

static void record_outcome(struct rp_machine *m, const RpSubmission *s,
			   int code)
{
	CtOutcome outcome = CT_OUTCOME__INIT;
	struct ba_buf packed = {0};
	size_t len;

	outcome.code = (uint32_t)code;
	outcome.version = code ? 0 : m->current->version;
	outcome.current = m->current->version;
	outcome.problems = s->problems;
	outcome.n_problems = s->n_problems;
	len = ct_outcome__get_packed_size(&outcome);
	ba_buf_reserve(&packed, len);
	packed.len = ct_outcome__pack(&outcome, packed.data);
	rp_machine_record_outcome(m, s->submit->submission_id, packed.data,
				  packed.len);
	ba_buf_free(&packed);
}

static int parse_submission(const struct rp_machine *m, const CtSubmit *submit,
			    uint64_t index, struct cf_snapshot **out,
			    struct ba_problems *problems)
{
	const char *text = (const char *)submit->text.data;

	if (!is_current_base(m, submit->base_version))
		return RP_BASE_STALE;
	if (submit->kind == CT_KIND__CT_KIND_POLICY)
		return cf_parse_policy(text, submit->text.len, m->base, index,
				       out, problems);
	if (submit->kind == CT_KIND__CT_KIND_SNAPSHOT)
		return cf_snapshot_decode_submission(submit->text.data,
						     submit->text.len, m->base,
						     index, out, problems);
	return cf_parse_configuration(text, submit->text.len, m->base, index,
				      out, problems);
}

/* The text is left out: replicas apply the delta and do not parse the file. */
static void pack_submission(const CtSubmit *submit, ba_time wall, int code,
			    const struct ba_buf *delta,
			    const struct ba_problems *problems,
			    struct ba_buf *out)
{
	RpSubmission s = RP_SUBMISSION__INIT;
	CtSubmit head = *submit;
	CtProblem items[RP_PROBLEMS_LIMIT];
	CtProblem *list[RP_PROBLEMS_LIMIT];
	size_t len;

	head.text.len = 0;
	s.submit = &head;
	s.wall_us = (uint64_t)wall;
	s.code = (uint32_t)code;
	s.delta.data = delta->data;
	s.delta.len = delta->len;
	s.problems = list;
	s.n_problems = MIN(problems->n, RP_PROBLEMS_LIMIT);
	for (size_t i = 0; i < s.n_problems; i++) {
		ct_problem__init(&items[i]);
		items[i].code = (uint32_t)problems->list[i].code;
		items[i].line = (uint32_t)problems->list[i].line;
		items[i].key =
			problems->list[i].key ? problems->list[i].key : "";
		items[i].expected = problems->list[i].expected;
		list[i] = &items[i];
	}
	len = rp_submission__get_packed_size(&s);
	ba_buf_reserve(out, len);
	out->len += rp_submission__pack(&s, out->data + out->len);
}

static void version_free(struct rp_version *v)
{
	g_free(v->operator_name);
	g_free(v->submission_id);
	g_free(v->file_name);
	g_free(v);
}

static void outcome_free(gpointer data)
{
	struct rp_outcome *o = data;

	g_free(o->id);
	ba_buf_free(&o->packed);
	g_free(o);
}
