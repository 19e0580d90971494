/*
 * How fast updates cross a paid link, and how many sessions are admitted.
 * Pure decisions.
 */
#ifndef DS_PACING_H
#define DS_PACING_H

#include "base/ba_clock.h"
#include "base/ba_rand.h"
#include "config/cf.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DS_WINDOW_LIMIT BA_SECOND
#define DS_DAY (24 * BA_HOUR)

/**
 * struct ds_budget - bytes that may cross the paid links
 * @allowance: bytes that may be sent now; negative when overspent
 * @filled: when it was last filled up
 */
struct ds_budget {
	double allowance;
	ba_time filled;
	bool started;
};

/** ds_budget_spend() - @bytes are sent at @now */
void ds_budget_spend(struct ds_budget *b, const struct cf_policy *p,
		     uint64_t bytes, ba_time now);

/**
 * ds_pacing_window() - least time between two updates over a paid link
 * @budget: filled up to @now; NULL for none
 *
 * The first change after a quiet window leaves at once; those that follow
 * within it go together.  The window grows with the weight of bytes, never
 * past an eighth of the convergence limit; overspent, it is half of it.
 */
ba_time ds_pacing_window(const struct cf_policy *p, struct ds_budget *budget,
			 ba_time now);

/**
 * struct ds_admission - admits sessions at a steady rate
 * @next: when the next session has its turn
 */
struct ds_admission {
	ba_time next;
};

#define DS_ADMISSION_SPACING (2 * BA_MS)
#define DS_ADMISSION_BURST (500 * BA_MS)

/**
 * ds_admission_acquire() - whether a session may open now
 *
 * Return: 0 to admit it, or the time after which it should come again; the
 * turns are spread out, so that a herd does not come back together.
 */
ba_time ds_admission_acquire(struct ds_admission *a, struct ba_rand *r,
			     ba_time now);

#ifdef __cplusplus
}
#endif
#endif
