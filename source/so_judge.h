/*
 * The decisions of a roll-out: whether a version is worse than the one that it
 * replaces, and which step comes next.  Both are pure functions.
 *
 * The load that they answer: calls whose failures and times vary by themselves,
 * of which a new version gets few at first.  A bad version is to get a small
 * share of all calls until it is found out; a good one is to get all of them
 * within the duration of the order.
 */
#ifndef SO_JUDGE_H
#define SO_JUDGE_H

#include <stdbool.h>

#include "config/cf.h"
#include "report/rt_tally.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Calls below which neither a failure rate nor a step is judged. */
enum { SO_JUDGE_CALLS_MIN = 10 };

/* Share of the calls that the target version gets from the order on. */
enum { SO_ROLLOUT_FIRST_SHARE = 50 };

/** enum so_verdict - what the calls say of the target version */
enum so_verdict {
	SO_VERDICT_GOOD, /* or not known to be bad */
	SO_VERDICT_FAILS,
	SO_VERDICT_SLOW,
};

/**
 * so_judge() - compare the calls of one route, or of all
 * @kept: calls that ran on the version that is in force
 * @target: calls that ran on the version that replaces it
 */
enum so_verdict so_judge(const struct rt_tally *kept,
			 const struct rt_tally *target);

/** enum so_step - what a roll-out does next */
enum so_step {
	SO_STEP_WAIT,
	SO_STEP_GROW,
	SO_STEP_COMPLETE,
	SO_STEP_ROLL_BACK,
};

/** enum so_step_reason - why; a number in RpRolloutStep and in the log */
enum so_step_reason {
	SO_REASON_DUE,
	SO_REASON_EARLY,	  /* the step has not lasted long enough */
	SO_REASON_FAILS,	  /* the target fails more often */
	SO_REASON_SLOW,		  /* the target is slower */
	SO_REASON_NO_CALLS,	  /* the target gets too few of its calls */
	SO_REASON_NOT_EVERYWHERE, /* the last step is not in force everywhere */
	SO_REASON_UNHEARD,	  /* the target is not heard */
	SO_REASON_FEW_CALLS, /* the target ran few calls in the last step */
	SO_REASONS,
};

/**
 * struct so_trial - state of a roll-out that runs, as its leader knows it
 * @elapsed: time since the order
 * @step_elapsed: time since the last step
 * @share: share of the target, in thousandths
 * @everywhere: the last step is in force everywhere
 * @verdict: the worst one of all routes
 * @kept_calls: calls of the version in force since the last step that the
 *	leader counted
 * @target_calls: calls of the target since then
 * @heard: how long the leader has heard the target's proxies without a pause,
 *	0 while it does not hear them
 * @unheard: how long it has heard the others without them
 */
struct so_trial {
	ba_time duration;
	ba_time elapsed;
	ba_time step_elapsed;
	uint32_t share;
	bool everywhere;
	enum so_verdict verdict;
	uint64_t kept_calls;
	uint64_t target_calls;
	ba_time heard;
	ba_time unheard;
};

/**
 * so_next_step() - decide the next step
 * @share: set to the share after a step that grows, else to that of @t
 * @reason: set in any case
 *
 * The time in which the leader did not hear the target does not count: a version
 * of which nothing was heard is not known to be good.
 */
enum so_step so_next_step(const struct so_trial *t, uint32_t *share,
			  enum so_step_reason *reason);

/** so_step_reason_name() - name of @reason used in logs */
const char *so_step_reason_name(enum so_step_reason reason);

#ifdef __cplusplus
}
#endif
#endif
