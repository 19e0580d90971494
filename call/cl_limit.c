#include <math.h>

#include <glib.h>

#include "call/cl_limit.h"

/* Tokens below 1 by this are counted as 1: sums of fractions are not exact. */
#define TOKEN_TOLERANCE 1e-6

static const char *const change_names[] = {
	[CL_LIMIT_UNCHANGED] = "unchanged", [CL_LIMIT_LEARNED] = "learned",
	[CL_LIMIT_CHANGED] = "changed",	    [CL_LIMIT_DROPPED] = "dropped",
	[CL_LIMIT_IGNORED] = "malformed",
};

static enum cl_limit_change state_limit(struct cl_limit *l, double per_second,
					ba_time now);
static enum cl_limit_change count_absent(struct cl_limit *l, ba_time sent_at);
static bool record_leaving(struct cl_limit *l, bool leaving);
static double tokens_at(const struct cl_limit *l, ba_time now);
static double max_tokens(const struct cl_limit *l);

void cl_limit_reset(struct cl_limit *l)
{
	*l = (struct cl_limit){.answered = false};
}

enum cl_limit_change cl_limit_record(struct cl_limit *l,
				     const struct cl_statement *s,
				     ba_time sent_at, ba_time now, bool *leaves)
{
	bool was_malformed = l->malformed;

	l->answered = true;
	*leaves = record_leaving(l, s->leaving);
	switch (s->limit) {
	case CL_LIMIT_STATED:
		l->malformed = false;
		return state_limit(l, s->per_second, now);
	case CL_LIMIT_MALFORMED:
		l->malformed = true;
		return was_malformed ? CL_LIMIT_UNCHANGED : CL_LIMIT_IGNORED;
	default:
		return count_absent(l, sent_at);
	}
}

enum cl_limit_change cl_limit_adopt(struct cl_limit *l,
				    const struct cl_statement *s,
				    ba_time told_at, ba_time now, bool *leaves)
{
	enum cl_limit_change change;

	*leaves = false;
	if (l->answered)
		return CL_LIMIT_UNCHANGED;
	*leaves = record_leaving(l, s->leaving);
	if (s->limit != CL_LIMIT_STATED ||
	    (l->limited && told_at <= l->stated_at))
		return CL_LIMIT_UNCHANGED;
	change = state_limit(l, s->per_second, now);
	l->stated_at = told_at;
	return change;
}

bool cl_limit_take(struct cl_limit *l, ba_time now)
{
	if (!l->limited)
		return true;
	l->tokens = tokens_at(l, now);
	l->tokens_at = now;
	if (l->tokens < 1 - TOKEN_TOLERANCE)
		return false;
	l->tokens -= 1;
	return true;
}

ba_time cl_limit_start_at(const struct cl_limit *l, uint32_t n, ba_time now)
{
	double missing;

	if (!l->limited)
		return now;
	missing = (double)n - tokens_at(l, now);
	if (missing <= TOKEN_TOLERANCE)
		return now;
	return now + (ba_time)ceil(missing * (double)BA_SECOND / l->rate);
}

const char *cl_limit_change_name(enum cl_limit_change change)
{
	return change_names[change];
}

static enum cl_limit_change state_limit(struct cl_limit *l, double per_second,
					ba_time now)
{
	bool was_limited = l->limited;
	double was = l->stated;

	l->tokens = was_limited ? tokens_at(l, now) : 1;
	l->tokens_at = now;
	l->limited = true;
	l->stated = per_second;
	l->rate = CLAMP(per_second, CL_LIMIT_RATE_MIN, CL_LIMIT_RATE_MAX);
	l->tokens = MIN(l->tokens, max_tokens(l));
	l->stated_at = now;
	l->absent = 0;
	if (!was_limited)
		return CL_LIMIT_LEARNED;
	return was == per_second ? CL_LIMIT_UNCHANGED : CL_LIMIT_CHANGED;
}

static enum cl_limit_change count_absent(struct cl_limit *l, ba_time sent_at)
{
	if (!l->limited || sent_at <= l->stated_at ||
	    ++l->absent < CL_LIMIT_ABSENT_ANSWERS)
		return CL_LIMIT_UNCHANGED;
	l->limited = false;
	l->malformed = false;
	l->absent = 0;
	return CL_LIMIT_DROPPED;
}

/* Returns whether the departure is news. */
static bool record_leaving(struct cl_limit *l, bool leaving)
{
	bool news = leaving && !l->leaving;

	l->leaving = l->leaving || leaving;
	return news;
}

static double tokens_at(const struct cl_limit *l, ba_time now)
{
	double earned =
		(double)(now - l->tokens_at) * l->rate / (double)BA_SECOND;

	return MIN(l->tokens + MAX(earned, 0), max_tokens(l));
}

static double max_tokens(const struct cl_limit *l)
{
	return MAX(l->rate * (double)CL_LIMIT_BURST / (double)BA_SECOND, 1);
}
