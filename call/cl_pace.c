#include "call/cl_pace.h"

#define RATE_FIRST 250000.0 /* bytes a second, two large answers or so */
#define RATE_LEAST 20000.0
#define RATE_MOST 1e9
#define RATE_FALL 0.6
#define RATE_GROWTH 0.1 /* of the rate, in a second of answers in time */
#define BURST (500 * BA_MS)
#define SLOW_FACTOR 2.0	    /* of the quickest: others are in the way */
#define QUICKEST_AGING 0.02 /* of the time, in a second: links change */

bool cl_pace_open(struct cl_pace *p, ba_time now)
{
	double most;

	if (!p->rate) {
		p->rate = RATE_FIRST;
		p->at = now;
	}
	most = p->rate * (double)BURST / (double)BA_SECOND;
	p->tokens += p->rate * (double)(now - p->at) / (double)BA_SECOND;
	p->at = now;
	if (p->tokens > most)
		p->tokens = most;
	return p->tokens >= 0;
}

void cl_pace_take(struct cl_pace *p, double bytes)
{
	p->tokens -= bytes;
}

void cl_pace_done(struct cl_pace *p, ba_time began, bool whole, ba_time now)
{
	double passed =
		p->done_at ? (double)(now - p->done_at) / (double)BA_SECOND : 0;
	ba_time took = now - began;
	bool slow = !whole;

	if (passed > 1)
		passed = 1;
	p->done_at = now;
	p->quickest =
		(ba_time)((double)p->quickest * (1 + QUICKEST_AGING * passed));

	if (whole && (!p->quickest || took < p->quickest))
		p->quickest = took;
	slow |= (double)took > SLOW_FACTOR * (double)p->quickest;
	if (!slow) {
		p->rate *= 1 + RATE_GROWTH * passed;
		if (p->rate > RATE_MOST)
			p->rate = RATE_MOST;
	} else if (began >= p->fell) {
		p->rate *= RATE_FALL;
		p->fell = now;
		if (p->rate < RATE_LEAST)
			p->rate = RATE_LEAST;
	}
}
