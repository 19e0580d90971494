#include <glib.h>

#include "distrib/ds_pacing.h"

enum {
	/* The window is at most an eighth of the convergence limit. */
	WINDOW_DIVISOR = 8,
	/*
	 * While the budget is overspent, the window is half of the
	 * convergence limit.
	 */
	OVERSPENT_DIVISOR = 2,
	/* At most a 24th of a day's budget may be spent at once. */
	BURST_DIVISOR = 24,
	/*
	 * A random time of up to a quarter of the retry delay plus one second
	 * is added to the delay.
	 */
	JITTER_DIVISOR = 4,
};

static void refill(struct ds_budget *b, const struct cf_policy *p, ba_time now);

void ds_budget_spend(struct ds_budget *b, const struct cf_policy *p,
		     uint64_t bytes, ba_time now)
{
	refill(b, p, now);
	b->tokens -= (double)bytes;
}

ba_time ds_pacing_window(const struct cf_policy *p, struct ds_budget *budget,
			 ba_time now)
{
	uint64_t sum = (uint64_t)p->convergence_weight + p->bytes_weight;
	ba_time limit =
		MIN(p->convergence_limit / WINDOW_DIVISOR, DS_WINDOW_LIMIT);

	if (budget && p->cross_region_bytes_per_day) {
		refill(budget, p, now);
		if (budget->tokens < 0)
			return p->convergence_limit / OVERSPENT_DIVISOR;
	}
	if (!sum)
		return 0;
	return limit * p->bytes_weight / (ba_time)sum;
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
	return wait + (ba_time)ba_rand_below(
			      r, (uint64_t)(wait / JITTER_DIVISOR + BA_SECOND));
}

static void refill(struct ds_budget *b, const struct cf_policy *p, ba_time now)
{
	double rate = (double)p->cross_region_bytes_per_day / (double)DS_DAY;
	double limit = (double)p->cross_region_bytes_per_day / BURST_DIVISOR;

	if (!b->started) {
		b->started = true;
		b->tokens = limit;
	} else {
		b->tokens += rate * (double)(now - b->refilled);
	}
	b->tokens = MIN(b->tokens, limit);
	b->refilled = now;
}
