/*
 * Pacing of large answers over a shared link: an adaptive rate limit with
 * slow increase and multiplicative decrease.  The capacity of the link is
 * unknown, and other traffic uses it too, above all the control traffic of
 * the mesh, which is delayed by anything that fills the link.
 *
 * Needed when a region has lost all endpoints of a service with large answers
 * and its callers are served from the other region.
 *
 * Rules:
 * - The rate is decreased at once when an answer fails or takes much longer
 *   than the quickest recent one, and is increased slowly otherwise.
 * - It is decreased only once for all answers that were in flight together.
 */
#ifndef CL_PACE_H
#define CL_PACE_H

#include <stdbool.h>

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct cl_pace - rate limit of one proxy over one link; initially zeroed
 * @rate: bytes per second, 0 before first use
 * @tokens: bytes that may be requested now; negative when overspent
 * @tokens_at: when @tokens was last refilled
 * @min_duration: duration of the quickest recent answer
 * @last_done: when the last answer ended
 * @decreased_at: when the rate was last decreased
 */
struct cl_pace {
	double rate;
	double tokens;
	ba_time tokens_at;
	ba_time min_duration;
	ba_time last_done;
	ba_time decreased_at;
};

/**
 * cl_pace_allows() - whether an answer may be requested now
 *
 * Adds the tokens for the time since the last call of this function.
 */
bool cl_pace_allows(struct cl_pace *p, ba_time now);

/** cl_pace_take() - take tokens for a requested answer of about @bytes */
void cl_pace_take(struct cl_pace *p, double bytes);

/**
 * cl_pace_done() - adapt the rate after an answer has ended
 * @began: when it was requested
 * @complete: it was received completely
 */
void cl_pace_done(struct cl_pace *p, ba_time began, bool complete, ba_time now);

#ifdef __cplusplus
}
#endif
#endif
