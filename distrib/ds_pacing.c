#include <glib.h>

#include "distrib/ds_pacing.h"

enum {
	WINDOW_SHARE = 8,    /* of the convergence limit, at most */
	OVERSPENT_SHARE = 2, /* of the convergence limit, when overspent */
	BURST_SHARE = 24,    /* of a day's budget may be spent at once */
	SPREAD = 4,	     /* of the time until its turn, for jitter */
};

static void fill(struct ds_budget *b, const struct cf_policy *p, ba_time now);

void ds_budget_spend(struct ds_budget *b, const struct cf_policy *p,
		     uint64_t bytes, ba_time now)
{
	fill(b, p, now);
	b->allowance -= (double)bytes;
}

ba_time ds_pacing_window(const struct cf_policy *p, struct ds_budget *budget,
			 ba_time now)
{
	uint64_t sum = (uint64_t)p->convergence_weight + p->bytes_weight;
	ba_time most =
		MIN(p->convergence_limit / WINDOW_SHARE, DS_WINDOW_LIMIT);

	if (budget && p->cross_region_bytes_per_day) {
		fill(budget, p, now);
		if (budget->allowance < 0)
			return p->convergence_limit / OVERSPENT_SHARE;
	}
	if (!sum)
		return 0;
	return most * p->bytes_weight / (ba_time)sum;
}

ba_time ds_admission_acquire(struct ds_admission *a, struct ba_rand *r,
			     ba_time now)
{
	ba_time wait;

	a->next = MAX(a->next, now - DS_ADMISSION_BURST);
	if (a->next <= now) {
		a->next += DS_ADMISSION_SPACING;
		return 0;
	}
	wait = a->next - now + DS_ADMISSION_SPACING;
	return wait +
	       (ba_time)ba_rand_below(r, (uint64_t)(wait / SPREAD + BA_SECOND));
}

static void fill(struct ds_budget *b, const struct cf_policy *p, ba_time now)
{
	double rate = (double)p->cross_region_bytes_per_day / (double)DS_DAY;
	double most = (double)p->cross_region_bytes_per_day / BURST_SHARE;

	if (!b->started) {
		b->started = true;
		b->allowance = most;
	} else {
		b->allowance += rate * (double)(now - b->filled);
	}
	b->allowance = MIN(b->allowance, most);
	b->filled = now;
}
