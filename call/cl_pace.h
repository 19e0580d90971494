/*
 * How much of a shared link large answers may take, found by trying: the link
 * does not say what it carries, and others use it too, above all the control
 * of the mesh, which waits behind whatever fills it.
 *
 * The load it answers: a region that has lost all endpoints of a service with
 * large answers, whose callers are served from the other region.
 *
 * Rules:
 * - The rate falls at once when an answer takes much longer than the quickest
 *   of late, or fails, and grows slowly while none does.
 * - It falls once for all answers that were under way together.
 */
#ifndef CL_PACE_H
#define CL_PACE_H

#include <stdbool.h>

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct cl_pace - the rate of one proxy over one link; zeroed at first
 * @rate: bytes a second
 * @tokens: bytes that may be asked for now; negative when overspent
 * @at: when @tokens was true
 * @quickest: time of the quickest answer of late
 * @done_at: when the last answer came
 * @fell: when the rate last fell
 */
struct cl_pace {
	double rate;
	double tokens;
	ba_time at;
	ba_time quickest;
	ba_time done_at;
	ba_time fell;
};

/** cl_pace_open() - whether another answer may be asked for */
bool cl_pace_open(struct cl_pace *p, ba_time now);

/** cl_pace_take() - an answer of about @bytes is asked for */
void cl_pace_take(struct cl_pace *p, double bytes);

/**
 * cl_pace_done() - it has come, or not
 * @began: when it was asked for
 * @whole: whether it came whole
 */
void cl_pace_done(struct cl_pace *p, ba_time began, bool whole, ba_time now);

#ifdef __cplusplus
}
#endif
#endif
