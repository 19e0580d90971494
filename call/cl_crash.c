#include <string.h>

#include "call/cl_crash.h"

static bool may_explain(struct cl_crash *c, ba_time sent_at);
static void add_run(struct cl_crash *c, uint64_t request, bool abandoned,
		    ba_time now);
static void confirm(struct cl_crash *c, ba_time now);
static void forget(struct cl_crash *c, ba_time now);
static void forget_survived(struct cl_crash *c);
static void update(struct cl_crash *c, ba_time check_at);

void cl_crash_reset(struct cl_crash *c)
{
	memset(c, 0, sizeof(*c));
	c->down_at = BA_NEVER;
	c->report_at = BA_NEVER;
	c->check_at = BA_NEVER;
}

void cl_crash_lost(struct cl_crash *c, uint64_t request, bool fresh,
		   ba_time sent_at, ba_time now)
{
	forget(c, now);
	if (fresh && sent_at > c->down_at)
		cl_crash_opened(c, sent_at, now);
	if (!may_explain(c, sent_at))
		return;
	add_run(c, request, false, now);
	update(c, now);
}

void cl_crash_abandoned(struct cl_crash *c, uint64_t request, ba_time sent_at,
			ba_time now)
{
	forget(c, now);
	if (may_explain(c, sent_at))
		add_run(c, request, true, now);
}

bool cl_crash_wants_check(struct cl_crash *c, ba_time now)
{
	forget(c, now);
	if (c->checking || c->report_at != BA_NEVER || now < c->check_at)
		return false;
	c->checking = true;
	c->checked_from = now;
	c->check_at = BA_NEVER;
	return true;
}

void cl_crash_checked(struct cl_crash *c, enum cl_crash_dial how, ba_time now)
{
	c->checking = false;
	switch (how) {
	case CL_CRASH_OPENED:
		cl_crash_opened(c, c->checked_from, now);
		break;
	case CL_CRASH_REFUSED:
		cl_crash_refused(c, now);
		break;
	case CL_CRASH_UNCLEAR:
		forget(c, now);
		update(c, now + CL_CRASH_CHECK_PERIOD);
		break;
	}
}

void cl_crash_opened(struct cl_crash *c, ba_time dialled_at, ba_time now)
{
	forget(c, now);
	if (c->report_at != BA_NEVER ||
	    (c->down_at != BA_NEVER && dialled_at <= c->down_at))
		return;
	c->down_at = BA_NEVER;
	for (size_t i = 0; i < c->n; i++)
		if (c->runs[i].lost_at <= dialled_at)
			c->runs[i].survived = true;
	update(c, now);
}

void cl_crash_refused(struct cl_crash *c, ba_time now)
{
	forget(c, now);
	if (c->down_at != BA_NEVER)
		return;
	if (c->report_at == BA_NEVER)
		forget_survived(c);
	c->down_at = now;
	c->start_due = true;
	confirm(c, now);
}

void cl_crash_restarted(struct cl_crash *c, ba_time now)
{
	forget(c, now);
	c->down_at = BA_NEVER;
	/* Otherwise what was lost since is not of the crash. */
	if (!c->start_due)
		confirm(c, now);
	c->start_due = false;
}

size_t cl_crash_take(struct cl_crash *c, uint64_t *running, ba_time now)
{
	size_t n = 0;

	if (now < c->report_at)
		return 0;
	for (size_t i = 0; i < c->n; i++) {
		size_t j = 0;

		while (j < n && running[j] != c->runs[i].request)
			j++;
		if (j == n)
			running[n++] = c->runs[i].request;
	}
	c->n = 0;
	c->report_at = BA_NEVER;
	return n;
}

ba_time cl_crash_next(const struct cl_crash *c)
{
	if (c->report_at != BA_NEVER)
		return c->report_at;
	return c->checking ? BA_NEVER : c->check_at;
}

/* Whether a request that was sent at @sent_at may be part of a crash to come. */
static bool may_explain(struct cl_crash *c, ba_time sent_at)
{
	/* It belongs to the crash that was reported. */
	if (c->down_at != BA_NEVER && c->report_at == BA_NEVER)
		return false;
	if (c->report_at != BA_NEVER &&
	    sent_at >= c->report_at - CL_CRASH_SETTLE_TIME) {
		/* It was sent after the crash that is to be reported. */
		if (c->n || c->down_at != BA_NEVER)
			return false;
		/* Nothing was running at the start that was announced. */
		c->report_at = BA_NEVER;
	}
	return true;
}

/* Copies of a request take one place. */
static void add_run(struct cl_crash *c, uint64_t request, bool abandoned,
		    ba_time now)
{
	for (size_t i = 0; i < c->n; i++)
		if (c->runs[i].request == request && !c->runs[i].survived &&
		    c->runs[i].abandoned == abandoned)
			return;
	if (c->n < CL_CRASH_RUNNING_MAX)
		c->runs[c->n++] =
			(struct cl_crash_run){request, now, false, abandoned};
}

/* The ends of connections may become known after the confirmation. */
static void confirm(struct cl_crash *c, ba_time now)
{
	if (c->report_at == BA_NEVER)
		c->report_at = now + CL_CRASH_SETTLE_TIME;
	c->check_at = BA_NEVER;
}

/* A crash that is confirmed is not forgotten before its report. */
static void forget(struct cl_crash *c, ba_time now)
{
	size_t old = 0;

	if (c->report_at != BA_NEVER)
		return;
	while (old < c->n && c->runs[old].lost_at + CL_CRASH_MEMORY <= now)
		old++;
	if (!old)
		return;
	c->n -= old;
	memmove(c->runs, c->runs + old, c->n * sizeof(*c->runs));
	update(c, BA_NEVER);
}

static void forget_survived(struct cl_crash *c)
{
	size_t kept = 0;

	for (size_t i = 0; i < c->n; i++)
		if (!c->runs[i].survived)
			c->runs[kept++] = c->runs[i];
	c->n = kept;
}

/* A check is due at @check_at if the cause of a loss is not known. */
static void update(struct cl_crash *c, ba_time check_at)
{
	size_t first = 0;

	while (first < c->n &&
	       (c->runs[first].survived || c->runs[first].abandoned))
		first++;
	if (first == c->n)
		c->check_at = BA_NEVER;
	else if (c->down_at == BA_NEVER && check_at < c->check_at)
		c->check_at = check_at;
}
