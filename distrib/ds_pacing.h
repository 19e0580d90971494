/*
 * Computes two rate limits, without I/O: of the updates to other regions, whose
 * traffic is paid for, and of the sessions that a relay admits.
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
 * struct ds_budget - token bucket of the bytes sent to other regions
 * @tokens: bytes that may be sent now; negative when overspent
 * @refilled: time of the last refill
 * @started: whether the bucket was filled for the first time
 */
struct ds_budget {
	double tokens;
	ba_time refilled;
	bool started;
};

/** ds_budget_spend() - take @bytes, sent at @now, from the budget */
void ds_budget_spend(struct ds_budget *b, const struct cf_policy *p,
		     uint64_t bytes, ba_time now);

/**
 * ds_pacing_window() - compute the least time between two updates to a
 * subscriber in another region
 * @p: weights, convergence limit and daily budget
 * @budget: refilled up to @now; NULL for none
 *
 * The first change after a window without updates is sent at once; those that
 * follow within the window are sent together.  The window grows with the
 * weight of bytes, up to an eighth of the convergence limit and at most
 * %DS_WINDOW_LIMIT.  While the budget is overspent, it is half of the
 * convergence limit.
 *
 * Return: the window in microseconds.
 */
ba_time ds_pacing_window(const struct cf_policy *p, struct ds_budget *budget,
			 ba_time now);

/**
 * struct ds_admission - limits the rate of new sessions
 * @next: earliest time of the next session; it may lie %DS_ADMISSION_BURST in
 *	the past, so that a burst of sessions is admitted at once
 */
struct ds_admission {
	ba_time next;
};

/*
 * One session is admitted per spacing.  Unused time is credited up to the
 * burst, so that at most burst / spacing + 1 sessions are admitted at once.
 */
#define DS_ADMISSION_SPACING (2 * BA_MS)
#define DS_ADMISSION_BURST (500 * BA_MS)

/**
 * ds_admission_acquire() - ask to open a session at @now
 *
 * Return: 0 to admit the session, or the time after which it should try
 * again; these times are spread out, so that the refused sessions do not all
 * return at once.
 */
ba_time ds_admission_acquire(struct ds_admission *a, struct ba_rand *r,
			     ba_time now);

#ifdef __cplusplus
}
#endif
#endif
