#include <glib.h>

#include "call/cl_admit.h"

enum { ESTIMATE_SHARE = 16, STEADY_SHARE = 128 };

#define WINDOW (15 * BA_SECOND)
#define QUIET_AFTER_SHED (2 * BA_SECOND)
#define CROWDED 1.5
#define ROOMY 1.25
#define STEP_DOWN 0.1
#define STEP_UP 0.05
#define SHED_FACTOR 0.85

/*
 * @estimate follows the time of a call closely, @steady slowly; @least and
 * @least_before are the lowest @steady of this window and the one before.
 */
struct cl_admit {
	struct cl_admit_options options;
	struct ba_list queue;
	uint32_t waiting;
	uint32_t running;
	uint32_t share;
	double limit;
	double estimate;
	double steady;
	double least;
	double least_before;
	uint32_t samples;
	ba_time window_end;
	ba_time quiet_until;
	double rate;
	double tokens;
	ba_time tokens_at;
};

static const char *const reason_names[] = {
	[CL_ADMIT_FREE_SLOT] = "free-slot",
	[CL_ADMIT_QUEUED] = "queued",
	[CL_ADMIT_QUEUE_FULL] = "queue-full",
	[CL_ADMIT_OUTWEIGHED] = "outweighed",
	[CL_ADMIT_TOO_LATE] = "too-late",
	[CL_ADMIT_RATE] = "rate-limit",
	[CL_ADMIT_SHARE] = "share-limit",
};

static bool take_token(struct cl_admit *a, ba_time now);
static struct cl_ticket *find_too_late(struct cl_admit *a, ba_time now);
static bool too_late(const struct cl_admit *a, const struct cl_ticket *t,
		     double ahead, ba_time now);
static double work_ahead(const struct cl_admit *a, const struct cl_ticket *t);
static double work_of(const struct cl_admit *a, const struct cl_ticket *t);
static bool goes_before(const struct cl_ticket *a, const struct cl_ticket *b);
static void enqueue(struct cl_admit *a, struct cl_ticket *t);
static void dequeue(struct cl_admit *a, struct cl_ticket *t);
static struct cl_ticket *last(const struct cl_admit *a);
static void start(struct cl_admit *a, struct cl_ticket *t, ba_time now);
static void learn(struct cl_admit *a, ba_time took, bool full, ba_time now);
static double lowest(const struct cl_admit *a);
static double most(const struct cl_admit *a);

struct cl_admit *cl_admit_new(const struct cl_admit_options *o)
{
	struct cl_admit *a = g_new0(struct cl_admit, 1);

	a->options = *o;
	ba_list_init(&a->queue);
	a->limit = most(a);
	return a;
}

void cl_admit_free(struct cl_admit *a)
{
	g_free(a);
}

void cl_admit_share(struct cl_admit *a, uint32_t in_flight, double per_second,
		    ba_time now)
{
	a->share = in_flight;
	if (a->limit > most(a))
		a->limit = most(a);
	if (per_second == a->rate)
		return;
	a->rate = per_second;
	a->tokens = per_second;
	a->tokens_at = now;
}

void cl_admit_resize(struct cl_admit *a, uint32_t slots)
{
	if (a->options.slots == slots)
		return;
	a->options.slots = slots;
	a->limit = most(a);
}

enum cl_admit_act cl_admit_arrive(struct cl_admit *a, struct cl_ticket *t,
				  ba_time now, enum cl_admit_reason *reason)
{
	ba_list_init(&t->link);
	t->waiting = false;
	t->running = false;
	if (!take_token(a, now)) {
		*reason = CL_ADMIT_RATE;
		return CL_ADMIT_REFUSE;
	}
	if (!a->options.bounded ||
	    (!a->waiting && a->running < cl_admit_limit(a))) {
		*reason = CL_ADMIT_FREE_SLOT;
		start(a, t, now);
		return CL_ADMIT_START;
	}
	*reason = CL_ADMIT_TOO_LATE;
	if (too_late(a, t, work_ahead(a, t), now))
		return CL_ADMIT_REFUSE;
	*reason = CL_ADMIT_QUEUE_FULL;
	if (a->waiting >= a->options.queue &&
	    (!a->waiting || !goes_before(t, last(a))))
		return CL_ADMIT_REFUSE;
	*reason = CL_ADMIT_QUEUED;
	enqueue(a, t);
	return CL_ADMIT_WAIT;
}

struct cl_ticket *cl_admit_next(struct cl_admit *a, ba_time now,
				enum cl_admit_act *act,
				enum cl_admit_reason *reason)
{
	struct cl_ticket *t;

	if (!a->waiting)
		return NULL;
	if (a->waiting > a->options.queue) {
		t = last(a);
		dequeue(a, t);
		*act = CL_ADMIT_REFUSE;
		*reason = CL_ADMIT_OUTWEIGHED;
		return t;
	}
	t = find_too_late(a, now);
	if (t) {
		dequeue(a, t);
		*act = CL_ADMIT_REFUSE;
		*reason = CL_ADMIT_TOO_LATE;
		return t;
	}
	t = ba_entry(a->queue.next, struct cl_ticket, link);
	if (a->running >= cl_admit_limit(a))
		return NULL;
	dequeue(a, t);
	start(a, t, now);
	*act = CL_ADMIT_START;
	*reason = CL_ADMIT_FREE_SLOT;
	return t;
}

bool cl_admit_done(struct cl_admit *a, struct cl_ticket *t,
		   enum cl_admit_seen seen, ba_time now)
{
	uint32_t before = cl_admit_limit(a);
	bool full = a->running >= before;

	if (!t->running)
		return false;
	t->running = false;
	if (seen == CL_ADMIT_SHED && a->options.adaptive &&
	    now >= a->quiet_until) {
		if (a->limit > a->running)
			a->limit = a->running;
		a->limit *= SHED_FACTOR;
		a->quiet_until = now + QUIET_AFTER_SHED;
	}
	a->running--;
	if (seen == CL_ADMIT_SERVED)
		learn(a, now - t->started, full, now);
	if (a->limit < 1)
		a->limit = 1;
	if (a->limit > most(a))
		a->limit = most(a);
	return cl_admit_limit(a) != before;
}

void cl_admit_leave(struct cl_admit *a, struct cl_ticket *t)
{
	if (t->waiting)
		dequeue(a, t);
}

uint32_t cl_admit_load(const struct cl_admit *a)
{
	return a->running + a->waiting;
}

uint32_t cl_admit_limit(const struct cl_admit *a)
{
	return (uint32_t)a->limit;
}

const char *cl_admit_reason_name(enum cl_admit_reason reason)
{
	return reason_names[reason];
}

bool cl_admit_entry(uint32_t in_progress, uint32_t limit, uint32_t weight,
		    uint32_t most)
{
	uint64_t half = limit / 2;

	if (!most)
		return in_progress < limit;
	return in_progress < half + (limit - half) * weight / most;
}

static bool take_token(struct cl_admit *a, ba_time now)
{
	if (!a->rate)
		return true;
	a->tokens += (double)(now - a->tokens_at) * a->rate / (double)BA_SECOND;
	a->tokens_at = now;
	if (a->tokens > a->rate)
		a->tokens = a->rate;
	if (a->tokens < 1)
		return false;
	a->tokens -= 1;
	return true;
}

/* Light ones may never come to the front, and can still go elsewhere. */
static struct cl_ticket *find_too_late(struct cl_admit *a, ba_time now)
{
	struct ba_list *pos;

	ba_list_each(pos, &a->queue)
	{
		struct cl_ticket *t = ba_entry(pos, struct cl_ticket, link);

		if (too_late(a, t, 0, now))
			return t;
	}
	return NULL;
}

/* With nothing running there is no evidence that a call would be late. */
static bool too_late(const struct cl_admit *a, const struct cl_ticket *t,
		     double ahead, ba_time now)
{
	double wait = ahead / a->limit;

	if (now >= t->deadline)
		return true;
	if (!a->running)
		return false;
	return (double)now + wait + work_of(a, t) > (double)t->deadline;
}

/* Of the calls that start before @t, and until the first slot is free. */
static double work_ahead(const struct cl_admit *a, const struct cl_ticket *t)
{
	double work = a->estimate;
	struct ba_list *pos;

	ba_list_each(pos, &a->queue)
	{
		const struct cl_ticket *q =
			ba_entry(pos, struct cl_ticket, link);

		if (goes_before(t, q))
			break;
		work += work_of(a, q);
	}
	return work;
}

static double work_of(const struct cl_admit *a, const struct cl_ticket *t)
{
	return t->expected ? (double)t->expected : a->estimate;
}

static bool goes_before(const struct cl_ticket *a, const struct cl_ticket *b)
{
	if (a->weight != b->weight)
		return a->weight > b->weight;
	return a->deadline < b->deadline;
}

static void enqueue(struct cl_admit *a, struct cl_ticket *t)
{
	struct ba_list *pos = a->queue.prev;

	while (pos != &a->queue &&
	       goes_before(t, ba_entry(pos, struct cl_ticket, link)))
		pos = pos->prev;
	ba_list_insert_before(pos->next, &t->link);
	t->waiting = true;
	a->waiting++;
}

static void dequeue(struct cl_admit *a, struct cl_ticket *t)
{
	ba_list_remove(&t->link);
	t->waiting = false;
	a->waiting--;
}

static struct cl_ticket *last(const struct cl_admit *a)
{
	return ba_entry(a->queue.prev, struct cl_ticket, link);
}

static void start(struct cl_admit *a, struct cl_ticket *t, ba_time now)
{
	t->running = true;
	t->started = now;
	a->running++;
}

/*
 * When all slots are busy and calls take much longer than they do with room,
 * the backend server has fewer slots than it announced.
 */
static void learn(struct cl_admit *a, ba_time took, bool full, ba_time now)
{
	double t = took > 0 ? (double)took : 1;

	a->samples++;
	if (a->samples == 1) {
		a->estimate = t;
		a->steady = t;
		a->window_end = now + WINDOW;
	}
	a->estimate += (t - a->estimate) / ESTIMATE_SHARE;
	a->steady += (t - a->steady) / STEADY_SHARE;
	if (a->samples < STEADY_SHARE)
		return;
	if (now >= a->window_end) {
		a->least_before = a->least;
		a->least = 0;
		a->window_end = now + WINDOW;
	}
	if (!a->least || a->steady < a->least)
		a->least = a->steady;
	if (!a->options.adaptive || !full || now < a->quiet_until)
		return;
	if (a->steady > CROWDED * lowest(a))
		a->limit -= STEP_DOWN;
	else if (a->steady < ROOMY * lowest(a))
		a->limit += STEP_UP;
}

static double lowest(const struct cl_admit *a)
{
	if (!a->least_before)
		return a->least;
	return a->least < a->least_before ? a->least : a->least_before;
}

static double most(const struct cl_admit *a)
{
	uint32_t n = a->options.slots;

	if (a->options.connections < n)
		n = a->options.connections;
	if (a->share && a->share < n)
		n = a->share;
	return n ? n : 1;
}
