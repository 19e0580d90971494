#include <string.h>

#include "base/ba_result.h"
#include "config/cf_internal.h"

static void from_proto(const CfRollout *m, struct cf_rollout *out);
static bool same_rollout(const struct cf_rollout *a,
			 const struct cf_rollout *b);
static bool is_valid(const struct cf_rollout *r);
static bool is_name(const char *text, bool required);
static gint by_service(gconstpointer a, gconstpointer b);
static void to_proto(CfRollout *m, const struct cf_rollout *r);

/* All other parts pass through the encoding unchanged. */
struct cf_snapshot *cf_snapshot_set_rollouts(const struct cf_snapshot *s,
					     const struct cf_rollout *list,
					     size_t n, uint64_t version)
{
	struct cf_snapshot source = {
		.rollouts = (struct cf_rollout *)list,
		.n_rollouts = n,
	};
	struct cf_snapshot *out = NULL;
	struct ba_buf packed = {0};
	CfRollout **old;
	size_t n_old;
	CfSnapshot *m;
	int ret;

	cf_snapshot_encode(s, CF_FORM_KEYS, &packed);
	m = cf_snapshot__unpack(NULL, packed.len, packed.data);
	old = m->rollouts;
	n_old = m->n_rollouts;
	m->version = version;
	m->rollouts = cf_rollouts_to_proto(&source);
	m->n_rollouts = n;
	packed.len = 0;
	ba_buf_reserve(&packed, cf_snapshot__get_packed_size(m));
	packed.len = cf_snapshot__pack(m, packed.data);
	cf_rollouts_proto_free(m->rollouts);
	m->rollouts = old;
	m->n_rollouts = n_old;
	cf_snapshot__free_unpacked(m, NULL);
	ret = cf_snapshot_decode(packed.data, packed.len, &out);
	ba_buf_free(&packed);
	g_assert(!ret);
	return out;
}

const struct cf_rollout *cf_rollout_find(const struct cf_snapshot *s,
					 const char *service)
{
	for (size_t i = 0; i < s->n_rollouts; i++)
		if (!strcmp(s->rollouts[i].service, service))
			return &s->rollouts[i];
	return NULL;
}

enum cf_cohort cf_rollout_cohort(const struct cf_rollout *r,
				 const char *version)
{
	bool target;

	if (!r || !*version)
		return CF_COHORT_KEPT;
	target = !strcmp(version, r->target);
	if (r->state == CF_ROLLOUT_COMPLETED)
		return target ? CF_COHORT_KEPT : CF_COHORT_BARRED;
	if (target)
		return r->state == CF_ROLLOUT_RUNNING ? CF_COHORT_TARGET
						      : CF_COHORT_BARRED;
	if (*r->previous)
		return strcmp(version, r->previous) ? CF_COHORT_BARRED
						    : CF_COHORT_KEPT;
	return strcmp(version, r->barred) ? CF_COHORT_KEPT : CF_COHORT_BARRED;
}

enum cf_order_verdict cf_rollout_judge_order(const struct cf_rollout *last,
					     const struct cf_rollout *order)
{
	bool same;

	if (!last)
		return CF_ORDER_STARTS;
	same = !strcmp(last->target, order->target);
	switch (last->state) {
	case CF_ROLLOUT_RUNNING:
		return same && last->duration == order->duration
			       ? CF_ORDER_REPEATS
			       : CF_ORDER_WAITS;
	case CF_ROLLOUT_COMPLETED:
		return same ? CF_ORDER_REPEATS : CF_ORDER_STARTS;
	case CF_ROLLOUT_ROLLED_BACK:
		return same && last->duration == order->duration &&
				       order->ordered_at <
					       last->ordered_at +
						       last->duration +
						       CF_ORDER_REPEAT_TIME
			       ? CF_ORDER_REPEATS
			       : CF_ORDER_STARTS;
	}
	return CF_ORDER_WAITS;
}

bool cf_rollout_decode(const void *data, size_t len, struct cf_rollout *out,
		       void **keep)
{
	CfRollout *m = cf_rollout__unpack(NULL, len, data);

	*keep = m;
	if (!m)
		return false;
	from_proto(m, out);
	return is_valid(out);
}

void cf_rollout_release(void *keep)
{
	if (keep)
		cf_rollout__free_unpacked(keep, NULL);
}

void cf_rollout_encode(const struct cf_rollout *r, struct ba_buf *out)
{
	CfRollout m;

	to_proto(&m, r);
	ba_buf_reserve(out, cf_rollout__get_packed_size(&m));
	out->len += cf_rollout__pack(&m, out->data + out->len);
}

const char *cf_rollout_state_name(enum cf_rollout_state state)
{
	static const char *const names[] = {
		[CF_ROLLOUT_RUNNING] = "running",
		[CF_ROLLOUT_COMPLETED] = "completed",
		[CF_ROLLOUT_ROLLED_BACK] = "rolled-back",
	};

	return names[state];
}

void cf_draft_add_rollout(struct cf_draft *d, const struct cf_rollout *r)
{
	struct cf_rollout entry = *r;

	entry.service = cf_draft_strdup(d, r->service);
	entry.target = cf_draft_strdup(d, r->target);
	entry.previous = cf_draft_strdup(d, r->previous);
	entry.barred = cf_draft_strdup(d, r->barred);
	g_array_append_val(d->rollouts, entry);
}

void cf_draft_add_rollouts_proto(struct cf_draft *d, CfRollout *const *list,
				 size_t n)
{
	struct cf_rollout r;

	for (size_t i = 0; i < n; i++) {
		from_proto(list[i], &r);
		cf_draft_add_rollout(d, &r);
	}
}

void cf_draft_copy_rollouts(struct cf_draft *d, const struct cf_snapshot *from)
{
	for (size_t i = 0; i < from->n_rollouts; i++)
		cf_draft_add_rollout(d, &from->rollouts[i]);
}

void cf_draft_check_rollouts(const struct cf_draft *d,
			     struct ba_problems *problems)
{
	const struct cf_rollout *list =
		(const struct cf_rollout *)d->rollouts->data;

	g_array_sort(d->rollouts, by_service);
	for (guint i = 0; i < d->rollouts->len; i++) {
		if (is_valid(&list[i]) &&
		    (!i || strcmp(list[i - 1].service, list[i].service) != 0))
			continue;
		ba_problem_add(problems, CF_ENCODING_WRONG, 0, "rollouts",
			       "one valid roll-out of each service");
		return;
	}
}

CfRollout **cf_rollouts_to_proto(const struct cf_snapshot *s)
{
	CfRollout **list;
	CfRollout *messages;

	if (!s->n_rollouts)
		return NULL;
	/* The messages and the pointers to them are one allocation. */
	list = g_malloc(s->n_rollouts *
			(sizeof(CfRollout *) + sizeof(CfRollout)));
	messages = (CfRollout *)(list + s->n_rollouts);
	for (size_t i = 0; i < s->n_rollouts; i++) {
		to_proto(&messages[i], &s->rollouts[i]);
		list[i] = &messages[i];
	}
	return list;
}

void cf_rollouts_proto_free(CfRollout **list)
{
	g_free(list);
}

bool cf_rollouts_equal(const struct cf_snapshot *a, const struct cf_snapshot *b)
{
	if (a->n_rollouts != b->n_rollouts)
		return false;
	for (size_t i = 0; i < a->n_rollouts; i++)
		if (!same_rollout(&a->rollouts[i], &b->rollouts[i]))
			return false;
	return true;
}

static void from_proto(const CfRollout *m, struct cf_rollout *out)
{
	out->service = m->service;
	out->target = m->target;
	out->state = (enum cf_rollout_state)m->state;
	out->share = m->share;
	out->previous = m->previous;
	out->barred = m->barred;
	out->order = m->order;
	out->duration = m->duration_ms * BA_MS;
	out->ordered_at = (ba_time)m->ordered_us;
	out->stepped_at = (ba_time)m->stepped_us;
	out->elapsed = m->elapsed_ms * BA_MS;
}

static bool same_rollout(const struct cf_rollout *a, const struct cf_rollout *b)
{
	return !strcmp(a->service, b->service) &&
	       !strcmp(a->target, b->target) && a->state == b->state &&
	       a->share == b->share && !strcmp(a->previous, b->previous) &&
	       !strcmp(a->barred, b->barred) && a->order == b->order &&
	       a->duration == b->duration && a->ordered_at == b->ordered_at &&
	       a->stepped_at == b->stepped_at && a->elapsed == b->elapsed;
}

static bool is_valid(const struct cf_rollout *r)
{
	return is_name(r->service, true) && is_name(r->target, true) &&
	       is_name(r->previous, false) && is_name(r->barred, false) &&
	       r->share <= CF_SHARE_ALL && r->duration > 0 &&
	       r->duration <= CF_TIME_LIMIT &&
	       r->state <= CF_ROLLOUT_ROLLED_BACK;
}

static bool is_name(const char *text, bool required)
{
	size_t len = strlen(text);

	return len <= CF_NAME_BYTES && (len || !required);
}

static gint by_service(gconstpointer a, gconstpointer b)
{
	const struct cf_rollout *x = a;
	const struct cf_rollout *y = b;

	return strcmp(x->service, y->service);
}

static void to_proto(CfRollout *m, const struct cf_rollout *r)
{
	cf_rollout__init(m);
	m->service = (char *)r->service;
	m->target = (char *)r->target;
	m->state = (CfRolloutState)r->state;
	m->share = r->share;
	m->previous = (char *)r->previous;
	m->barred = (char *)r->barred;
	m->order = r->order;
	m->duration_ms = (uint32_t)(r->duration / BA_MS);
	m->ordered_us = (uint64_t)r->ordered_at;
	m->stepped_us = (uint64_t)r->stepped_at;
	m->elapsed_ms = (uint32_t)(r->elapsed / BA_MS);
}
