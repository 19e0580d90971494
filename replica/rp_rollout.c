#include <string.h>

#include "base/ba_result.h"
#include "replica/rp_machine_internal.h"
#include "wire/rp.pb-c.h"

static struct cf_snapshot *with_rollout(const struct rp_machine *m,
					const struct cf_rollout *r);
static void continue_history(struct cf_rollout *r,
			     const struct cf_rollout *last);

int rp_rollout_order(const struct rp_machine *m, const void *body, size_t len,
		     ba_time wall, struct cf_snapshot **out)
{
	const struct cf_rollout *last;
	struct cf_rollout r;
	int code = BA_OK;
	void *keep;

	if (!cf_rollout_decode(body, len, &r, &keep)) {
		cf_rollout_release(keep);
		return CF_ENCODING_WRONG;
	}
	r.order = m->applied;
	r.ordered_at = wall;
	r.stepped_at = wall;
	r.elapsed = 0;
	r.state = CF_ROLLOUT_RUNNING;
	last = cf_rollout_find(m->current, r.service);
	continue_history(&r, last);
	switch (cf_rollout_judge_order(last, &r)) {
	case CF_ORDER_STARTS:
		if (cf_service_find(m->current, r.service) == CF_NO_SERVICE)
			code = RP_SERVICE_UNKNOWN;
		else if (!last && m->current->n_rollouts >= CF_ROLLOUTS_LIMIT)
			code = CF_TOO_MANY;
		else
			*out = with_rollout(m, &r);
		break;
	case CF_ORDER_REPEATS:
		break;
	case CF_ORDER_WAITS:
		code = RP_ROLLOUT_IN_PROGRESS;
		break;
	}
	cf_rollout_release(keep);
	return code;
}

struct cf_snapshot *rp_rollout_step(struct rp_machine *m, const void *body,
				    size_t len)
{
	RpRolloutStep *s = rp_rollout_step__unpack(NULL, len, body);
	const struct cf_rollout *last =
		s ? cf_rollout_find(m->current, s->service) : NULL;
	struct cf_snapshot *next = NULL;
	struct cf_rollout r;

	if (last && last->order == s->order &&
	    last->state == CF_ROLLOUT_RUNNING && last->share == s->from_share &&
	    s->share <= CF_SHARE_ALL && s->state <= CF_ROLLOUT_ROLLED_BACK) {
		r = *last;
		r.share = s->share;
		r.state = (enum cf_rollout_state)s->state;
		r.stepped_at = (ba_time)s->wall_us;
		r.elapsed = s->elapsed_ms * BA_MS;
		if (r.state == CF_ROLLOUT_RUNNING)
			rp_rollout_keep(m, r.service, r.order, s->kept.data,
					s->kept.len);
		else
			g_hash_table_remove(m->kept, r.service);
		next = with_rollout(m, &r);
	}
	if (s)
		rp_rollout_step__free_unpacked(s, NULL);
	return next;
}

void rp_rollout_keep(struct rp_machine *m, const char *service, uint64_t order,
		     const void *tallies, size_t len)
{
	struct rp_kept *k = g_new0(struct rp_kept, 1);

	k->order = order;
	ba_buf_add(&k->tallies, tallies, len);
	g_hash_table_replace(m->kept, g_strdup(service), k);
}

const struct ba_buf *rp_machine_rollout_kept(const struct rp_machine *m,
					     const char *service,
					     uint64_t order)
{
	const struct rp_kept *k = g_hash_table_lookup(m->kept, service);

	return k && k->order == order ? &k->tallies : NULL;
}

void rp_kept_free(void *data)
{
	struct rp_kept *k = data;

	ba_buf_free(&k->tallies);
	g_free(k);
}

void rp_rollout_set_configuration(struct rp_machine *m,
				  struct cf_snapshot *next)
{
	const struct cf_snapshot *old = m->current;
	struct cf_snapshot *current =
		old->n_rollouts ? cf_snapshot_set_rollouts(next, old->rollouts,
							   old->n_rollouts,
							   next->version)
				: cf_snapshot_ref(next);

	cf_snapshot_unref(m->current);
	cf_snapshot_unref(m->base);
	m->current = current;
	m->base = next;
}

/* The version is the index of the entry that is being applied. */
static struct cf_snapshot *with_rollout(const struct rp_machine *m,
					const struct cf_rollout *r)
{
	const struct cf_snapshot *s = m->current;
	struct cf_rollout *list = g_new(struct cf_rollout, s->n_rollouts + 1);
	struct cf_snapshot *next;
	size_t n = 0;

	for (size_t i = 0; i < s->n_rollouts; i++)
		if (strcmp(s->rollouts[i].service, r->service) != 0)
			list[n++] = s->rollouts[i];
	list[n++] = *r;
	next = cf_snapshot_set_rollouts(s, list, n, m->applied);
	g_free(list);
	return next;
}

static void continue_history(struct cf_rollout *r,
			     const struct cf_rollout *last)
{
	r->previous = "";
	r->barred = "";
	if (!last)
		return;
	r->previous = last->previous;
	if (last->state == CF_ROLLOUT_COMPLETED)
		r->previous = last->target;
	else if (strcmp(last->target, r->target) != 0)
		r->barred = last->target;
}
