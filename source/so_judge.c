#include <math.h>

#include <glib.h>

#include "source/so_judge.h"

/* A difference this many standard deviations wide is none of chance. */
#define DEVIATIONS_MIN 4.0

/* A failure rate counts if it is above this share and this many times as high. */
#define FAILED_SHARE_MIN 0.04
#define FAILED_RATIO_MIN 3.0
enum { FAILED_CALLS_MIN = 5 };

/*
 * A call is slow if it takes over twice as long as all but one in twenty of the
 * version in force do.  A tenth of a step's calls may be slower for reasons
 * that are not the version's, such as slower machines.
 */
#define USUAL_SHARE 0.95
enum { SLOW_BUCKETS = 2, SLOW_CALLS_MIN = 6, USUAL_CALLS_MIN = 40 };
#define SLOW_SHARE_MIN 0.06
#define SLOW_RATIO_MIN 3.0

/* Failure rate of a version in force of which nothing is known. */
#define UNKNOWN_FAILED_SHARE 0.05

/*
 * struct stage - a share of the calls, and the part of the duration by whose
 * end it grows
 *
 * Shares times the parts of the duration add up to under a tenth before the last
 * stage: that much of the calls reaches a version that turns bad only then.
 */
struct stage {
	uint32_t share;
	double end;
};

static const struct stage stages[] = {
	{SO_ROLLOUT_FIRST_SHARE, 0.45},
	{100, 0.55},
	{300, 0.65},
	{CF_SHARE_ALL, 0.80},
};

/*
 * A stage lasts at least this part of the duration, and until the calls of its
 * share have been counted and judged, unless the duration is too short for it.
 */
#define STAGE_SHARE_MIN (1.0 / 20)
#define STAGE_TIME_MIN (1500 * BA_MS)
#define STAGE_SHARE_MAX (1.0 / 6)
/* Calls that are still running on the old version end in this part. */
#define SETTLE_SHARE (1.0 / 8)
#define SETTLE_TIME_MAX (10 * BA_SECOND)
/* Neither an instance that cannot be reached nor few calls delay it further. */
#define END_SHARE 0.92
/* Calls of the last step in which a version that fails one in ten is found. */
enum { END_CALLS_MIN = 60 };
/*
 * Time after which a target that is not heard counts as gone, if others are
 * heard.  A relay's proxies are back at another relay well before.
 */
#define GONE_TIME (5 * BA_SECOND)

static bool is_excess(double share, double calls, double usual,
		      double usual_calls, double ratio, double least);
static bool is_slow(const struct rt_tally *kept, const struct rt_tally *target);
static uint64_t sum_times(const struct rt_tally *t, unsigned int from);
static bool lacks_calls(const struct so_trial *t);
static size_t find_stage(uint32_t share);
static enum so_step finish(const struct so_trial *t, ba_time observed,
			   enum so_step_reason *reason);

enum so_verdict so_judge(const struct rt_tally *kept,
			 const struct rt_tally *target)
{
	double calls = rt_tally_total(target);
	double kept_calls = rt_tally_total(kept);
	double usual = kept_calls < USUAL_CALLS_MIN ? UNKNOWN_FAILED_SHARE
						    : kept->failed / kept_calls;

	if (calls >= SO_JUDGE_CALLS_MIN && target->failed >= FAILED_CALLS_MIN &&
	    is_excess(target->failed / calls, calls, usual,
		      MAX(kept_calls, USUAL_CALLS_MIN), FAILED_RATIO_MIN,
		      FAILED_SHARE_MIN))
		return SO_VERDICT_FAILS;
	return is_slow(kept, target) ? SO_VERDICT_SLOW : SO_VERDICT_GOOD;
}

enum so_step so_next_step(const struct so_trial *t, uint32_t *share,
			  enum so_step_reason *reason)
{
	size_t stage = find_stage(t->share);
	double at = (double)t->elapsed / (double)t->duration;
	ba_time least = MAX((ba_time)((double)t->duration * STAGE_SHARE_MIN),
			    MIN(STAGE_TIME_MIN, (ba_time)((double)t->duration *
							  STAGE_SHARE_MAX)));
	ba_time observed = MIN(t->step_elapsed, t->heard);

	*share = t->share;
	if (t->verdict != SO_VERDICT_GOOD) {
		*reason = t->verdict == SO_VERDICT_FAILS ? SO_REASON_FAILS
							 : SO_REASON_SLOW;
		return SO_STEP_ROLL_BACK;
	}
	if (!t->heard) {
		*reason = SO_REASON_UNHEARD;
		return at >= 1 && t->unheard >= GONE_TIME ? SO_STEP_ROLL_BACK
							  : SO_STEP_WAIT;
	}
	if (lacks_calls(t)) {
		*reason = SO_REASON_NO_CALLS;
		return at >= 1 && observed >= least ? SO_STEP_ROLL_BACK
						    : SO_STEP_WAIT;
	}
	*reason = SO_REASON_EARLY;
	if (at < stages[stage].end || observed < least)
		return SO_STEP_WAIT;
	if (stage + 1 == G_N_ELEMENTS(stages))
		return finish(t, observed, reason);
	*reason = SO_REASON_DUE;
	*share = stages[stage + 1].share;
	return SO_STEP_GROW;
}

const char *so_step_reason_name(enum so_step_reason reason)
{
	static const char *const names[] = {
		[SO_REASON_DUE] = "due",
		[SO_REASON_EARLY] = "early",
		[SO_REASON_FAILS] = "fails",
		[SO_REASON_SLOW] = "slow",
		[SO_REASON_NO_CALLS] = "no-calls",
		[SO_REASON_NOT_EVERYWHERE] = "not-everywhere",
		[SO_REASON_UNHEARD] = "unheard",
		[SO_REASON_FEW_CALLS] = "few-calls",
	};

	return (unsigned int)reason < SO_REASONS ? names[reason] : "unknown";
}

/* The usual share is taken one call higher, as few calls may have none. */
static bool is_excess(double share, double calls, double usual,
		      double usual_calls, double ratio, double least)
{
	double p = usual + 1 / (usual_calls + 1);
	double deviation =
		sqrt(p * (1 - MIN(p, 1)) * (1 / calls + 1 / usual_calls));

	return share >= least + ratio * usual &&
	       share - p >= DEVIATIONS_MIN * deviation;
}

static bool is_slow(const struct rt_tally *kept, const struct rt_tally *target)
{
	double kept_calls = (double)sum_times(kept, 0);
	double calls = (double)sum_times(target, 0);
	unsigned int bucket = 0;
	uint64_t slow;

	if (kept_calls < USUAL_CALLS_MIN || calls < SO_JUDGE_CALLS_MIN)
		return false;
	while ((double)sum_times(kept, bucket + 1) >
	       kept_calls * (1 - USUAL_SHARE))
		bucket++;
	bucket += SLOW_BUCKETS + 1;
	slow = sum_times(target, bucket);
	return slow >= SLOW_CALLS_MIN &&
	       is_excess((double)slow / calls, calls,
			 (double)sum_times(kept, bucket) / kept_calls,
			 kept_calls, SLOW_RATIO_MIN, SLOW_SHARE_MIN);
}

static uint64_t sum_times(const struct rt_tally *t, unsigned int from)
{
	uint64_t n = 0;

	for (unsigned int i = from; i < RT_TALLY_BUCKETS; i++)
		n += t->times[i];
	return n;
}

/*
 * Whether the target has run under a third of the calls that are its share,
 * where that is enough to judge by.
 */
static bool lacks_calls(const struct so_trial *t)
{
	uint64_t all = t->kept_calls + t->target_calls;
	uint64_t due = all * t->share / CF_SHARE_ALL;

	return due >= SO_JUDGE_CALLS_MIN && t->target_calls * 3 < due;
}

static size_t find_stage(uint32_t share)
{
	size_t i = 0;

	while (i + 1 < G_N_ELEMENTS(stages) && stages[i].share < share)
		i++;
	return i;
}

static enum so_step finish(const struct so_trial *t, ba_time observed,
			   enum so_step_reason *reason)
{
	double at = (double)t->elapsed / (double)t->duration;
	ba_time settle = MIN((ba_time)((double)t->duration * SETTLE_SHARE),
			     SETTLE_TIME_MAX);

	if (observed < settle)
		return SO_STEP_WAIT;
	*reason = SO_REASON_FEW_CALLS;
	if (t->target_calls < END_CALLS_MIN && at < END_SHARE)
		return SO_STEP_WAIT;
	*reason = SO_REASON_NOT_EVERYWHERE;
	if (!t->everywhere && at < END_SHARE)
		return SO_STEP_WAIT;
	*reason = SO_REASON_DUE;
	return SO_STEP_COMPLETE;
}
