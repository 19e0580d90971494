#include "call/cl_pace.h"

/* Rates in bytes per second; initially about two large answers a second. */
#define RATE_INITIAL 250000.0
#define RATE_MIN 20000.0
#define RATE_MAX 1e9
#define RATE_DECREASE_FACTOR 0.6
/* Fraction of the rate, per second without a slow or failed answer. */
#define RATE_INCREASE 0.1
#define BURST (500 * BA_MS)
/* An answer that takes this many times the minimum is delayed by others. */
#define SLOW_FACTOR 2.0
/* Growth of the minimum per second, as a fraction, since links change. */
#define MIN_DURATION_AGING 0.02

bool cl_pace_allows(struct cl_pace *p, ba_time now)
{
	double max_tokens;

	if (!p->rate) {
		p->rate = RATE_INITIAL;
		p->tokens_at = now;
	}
	max_tokens = p->rate * (double)BURST / (double)BA_SECOND;
	p->tokens += p->rate * (double)(now - p->tokens_at) / (double)BA_SECOND;
	p->tokens_at = now;
	if (p->tokens > max_tokens)
		p->tokens = max_tokens;
	return p->tokens >= 0;
}

void cl_pace_take(struct cl_pace *p, double bytes)
{
	p->tokens -= bytes;
}

void cl_pace_done(struct cl_pace *p, ba_time began, bool complete, ba_time now)
{
	double elapsed =
		p->last_done ? (double)(now - p->last_done) / (double)BA_SECOND
			     : 0;
	ba_time took = now - began;
	bool congested = !complete;

	if (elapsed > 1)
		elapsed = 1;
	p->last_done = now;
	p->min_duration = (ba_time)((double)p->min_duration *
				    (1 + MIN_DURATION_AGING * elapsed));

	if (complete && (!p->min_duration || took < p->min_duration))
		p->min_duration = took;
	congested |= (double)took > SLOW_FACTOR * (double)p->min_duration;
	if (!congested) {
		p->rate *= 1 + RATE_INCREASE * elapsed;
		if (p->rate > RATE_MAX)
			p->rate = RATE_MAX;
	} else if (began >= p->decreased_at) {
		p->rate *= RATE_DECREASE_FACTOR;
		p->decreased_at = now;
		if (p->rate < RATE_MIN)
			p->rate = RATE_MIN;
	}
}
