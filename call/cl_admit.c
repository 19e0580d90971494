#include <glib.h>

#include "call/cl_admit.h"

enum { FAST_MEAN_SAMPLES = 16, SLOW_MEAN_SAMPLES = 128 };

#define MIN_MEAN_WINDOW (15 * BA_SECOND)
#define SHED_COOLDOWN (2 * BA_SECOND)

/* Ratios of the slow mean to its lowest value of the last two windows. */
#define CONGESTED_RATIO 1.5
#define UNCONGESTED_RATIO 1.25

/* Calls by which the limit may change with each served call. */
#define LIMIT_DECREASE 0.1
#define LIMIT_INCREASE 0.05

/*
 * The limit is multiplied by this when the backend server sheds a call, at most
 * once per SHED_COOLDOWN.
 */
#define SHED_LIMIT_FACTOR 0.85

/*
 * @share: limit on concurrent calls set by cl_admit_set_share(), 0 for none
 * @limit: current concurrency limit; changes in steps of less than 1
 * @fast_mean, @slow_mean: moving averages of the service time over few and
 *	over many samples, in microseconds
 * @min_mean, @previous_min_mean: lowest @slow_mean in the current window and
 *	in the previous one, 0 if there is none
 * @cooldown_until: the limit is not adapted before this time
 * @rate: calls per second, 0 for no limit
 * @pace: stated limit, or NULL
 * @waiting_late: those of @waiting that are late
 */
struct cl_admit {
	struct cl_admit_options options;
	struct ba_list queue;
	uint32_t waiting;
	uint32_t waiting_late;
	uint32_t running;
	uint32_t share;
	double limit;
	double fast_mean;
	double slow_mean;
	double min_mean;
	double previous_min_mean;
	uint32_t samples;
	ba_time window_end;
	ba_time cooldown_until;
	double rate;
	double tokens;
	ba_time tokens_at;
	struct cl_limit *pace;
};

/*
 * What goes before a call in the queue.
 * @time: service time of these calls, until a slot becomes free included
 * @calls: their number
 */
struct ahead {
	double time;
	uint32_t calls;
};

static const char *const reason_names[] = {
	[CL_ADMIT_FREE_SLOT] = "free-slot",
	[CL_ADMIT_QUEUED] = "queued",
	[CL_ADMIT_QUEUE_FULL] = "queue-full",
	[CL_ADMIT_OUTWEIGHED] = "outweighed",
	[CL_ADMIT_TOO_LATE] = "too-late",
	[CL_ADMIT_RATE] = "rate-limit",
	[CL_ADMIT_SHARE] = "share-limit",
	[CL_ADMIT_PACED] = "stated-limit",
};

static bool take_token(struct cl_admit *a, ba_time now);
static bool is_paced(const struct cl_admit *a);
static ba_time paced_start(const struct cl_admit *a, uint32_t n_ahead,
			   ba_time now);
static struct cl_admit_call *find_late(struct cl_admit *a, ba_time now,
				       enum cl_admit_reason *reason);
static bool misses_deadline(const struct cl_admit *a,
			    const struct cl_admit_call *call,
			    const struct ahead *ahead, ba_time now,
			    enum cl_admit_reason *reason);
static struct ahead find_ahead(const struct cl_admit *a,
			       const struct cl_admit_call *call);
static double expected_time(const struct cl_admit *a,
			    const struct cl_admit_call *call);
static bool precedes(const struct cl_admit_call *a,
		     const struct cl_admit_call *b);
static void enqueue(struct cl_admit *a, struct cl_admit_call *call);
static void dequeue(struct cl_admit *a, struct cl_admit_call *call);
static struct cl_admit_call *queue_tail(const struct cl_admit *a);
static void start(struct cl_admit *a, struct cl_admit_call *call, ba_time now);
static void adapt_limit(struct cl_admit *a, ba_time took, bool full,
			ba_time now);
static double lowest_mean(const struct cl_admit *a);
static double max_limit(const struct cl_admit *a);

struct cl_admit *cl_admit_new(const struct cl_admit_options *o)
{
	struct cl_admit *a = g_new0(struct cl_admit, 1);

	a->options = *o;
	ba_list_init(&a->queue);
	a->limit = max_limit(a);
	return a;
}

void cl_admit_free(struct cl_admit *a)
{
	g_free(a);
}

void cl_admit_set_share(struct cl_admit *a, uint32_t in_flight,
			double per_second, ba_time now)
{
	a->share = in_flight;
	if (a->limit > max_limit(a))
		a->limit = max_limit(a);
	if (per_second == a->rate)
		return;
	a->rate = per_second;
	a->tokens = per_second;
	a->tokens_at = now;
}

void cl_admit_set_slots(struct cl_admit *a, uint32_t slots)
{
	if (a->options.slots == slots)
		return;
	a->options.slots = slots;
	a->limit = max_limit(a);
}

void cl_admit_set_pace(struct cl_admit *a, struct cl_limit *l)
{
	a->pace = l;
}

enum cl_admit_action cl_admit_arrive(struct cl_admit *a,
				     struct cl_admit_call *call, ba_time now,
				     enum cl_admit_reason *reason)
{
	struct ahead ahead;

	ba_list_init(&call->link);
	call->waiting = false;
	call->running = false;
	if (!take_token(a, now)) {
		*reason = CL_ADMIT_RATE;
		return CL_ADMIT_REFUSE;
	}
	if (!a->options.bounded ||
	    (!a->waiting && a->running < cl_admit_limit(a) &&
	     (!a->pace || cl_limit_take(a->pace, now)))) {
		*reason = CL_ADMIT_FREE_SLOT;
		start(a, call, now);
		return CL_ADMIT_START;
	}
	ahead = find_ahead(a, call);
	if (misses_deadline(a, call, &ahead, now, reason))
		return CL_ADMIT_REFUSE;
	*reason = CL_ADMIT_QUEUE_FULL;
	if (a->waiting >= a->options.queue &&
	    (!a->waiting || !precedes(call, queue_tail(a))))
		return CL_ADMIT_REFUSE;
	*reason = CL_ADMIT_QUEUED;
	enqueue(a, call);
	return CL_ADMIT_WAIT;
}

struct cl_admit_call *cl_admit_next(struct cl_admit *a, ba_time now,
				    enum cl_admit_action *act,
				    enum cl_admit_reason *reason)
{
	struct cl_admit_call *call;

	if (!a->waiting)
		return NULL;
	if (a->waiting > a->options.queue) {
		call = queue_tail(a);
		dequeue(a, call);
		*act = CL_ADMIT_REFUSE;
		*reason = CL_ADMIT_OUTWEIGHED;
		return call;
	}
	call = find_late(a, now, reason);
	if (call) {
		dequeue(a, call);
		*act = CL_ADMIT_REFUSE;
		return call;
	}
	call = ba_entry(a->queue.next, struct cl_admit_call, link);
	if (a->running >= cl_admit_limit(a) ||
	    (a->pace && !cl_limit_take(a->pace, now)))
		return NULL;
	dequeue(a, call);
	start(a, call, now);
	*act = CL_ADMIT_START;
	*reason = CL_ADMIT_FREE_SLOT;
	return call;
}

ba_time cl_admit_next_at(const struct cl_admit *a, ba_time now)
{
	if (!is_paced(a) || !a->waiting || a->running >= cl_admit_limit(a))
		return BA_NEVER;
	return cl_limit_start_at(a->pace, 1, now);
}

ba_time cl_admit_room_at(const struct cl_admit *a, ba_time now)
{
	return paced_start(a, a->waiting - a->waiting_late, now);
}

bool cl_admit_done(struct cl_admit *a, struct cl_admit_call *call,
		   enum cl_admit_result result, ba_time now)
{
	uint32_t before = cl_admit_limit(a);
	bool full = a->running >= before;

	if (!call->running)
		return false;
	call->running = false;
	if (result == CL_ADMIT_SHED && a->options.adaptive &&
	    now >= a->cooldown_until) {
		if (a->limit > a->running)
			a->limit = a->running;
		a->limit *= SHED_LIMIT_FACTOR;
		a->cooldown_until = now + SHED_COOLDOWN;
	}
	a->running--;
	if (result == CL_ADMIT_SERVED)
		adapt_limit(a, now - call->started, full, now);
	if (a->limit < 1)
		a->limit = 1;
	if (a->limit > max_limit(a))
		a->limit = max_limit(a);
	return cl_admit_limit(a) != before;
}

void cl_admit_cancel(struct cl_admit *a, struct cl_admit_call *call)
{
	if (call->waiting)
		dequeue(a, call);
}

uint32_t cl_admit_load(const struct cl_admit *a)
{
	return a->running + a->waiting - a->waiting_late;
}

uint32_t cl_admit_limit(const struct cl_admit *a)
{
	return (uint32_t)a->limit;
}

const char *cl_admit_reason_name(enum cl_admit_reason reason)
{
	return reason_names[reason];
}

bool cl_admit_has_capacity(uint32_t in_progress, uint32_t limit,
			   uint32_t weight, uint32_t max_weight)
{
	uint64_t half = limit / 2;

	if (!max_weight)
		return in_progress < limit;
	return in_progress < half + (limit - half) * weight / max_weight;
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

static bool is_paced(const struct cl_admit *a)
{
	return a->pace && a->pace->limited;
}

/* When the stated limit lets a call start that has @n_ahead before it. */
static ba_time paced_start(const struct cl_admit *a, uint32_t n_ahead,
			   ba_time now)
{
	return a->pace ? cl_limit_start_at(a->pace, n_ahead + 1, now) : now;
}

/*
 * Searches the whole queue: a call of low weight may never reach the front,
 * and if it is refused in time, it can still be sent to another endpoint.
 */
static struct cl_admit_call *find_late(struct cl_admit *a, ba_time now,
				       enum cl_admit_reason *reason)
{
	struct ahead ahead = {0};
	struct ba_list *pos;

	ba_list_each(pos, &a->queue)
	{
		struct cl_admit_call *call =
			ba_entry(pos, struct cl_admit_call, link);

		if (misses_deadline(a, call, &ahead, now, reason))
			return call;
		ahead.calls++;
	}
	return NULL;
}

/*
 * While nothing runs, there is no evidence that a call would be late, so only
 * its deadline and the stated limit count.
 */
static bool misses_deadline(const struct cl_admit *a,
			    const struct cl_admit_call *call,
			    const struct ahead *ahead, ba_time now,
			    enum cl_admit_reason *reason)
{
	ba_time start = paced_start(a, ahead->calls, now);
	bool has_slot =
		is_paced(a) && a->running + ahead->calls < cl_admit_limit(a);
	double wait = has_slot ? 0 : ahead->time / a->limit;

	*reason = CL_ADMIT_TOO_LATE;
	if (now >= call->deadline)
		return true;
	if (start > now &&
	    (double)start + expected_time(a, call) > (double)call->deadline) {
		*reason = CL_ADMIT_PACED;
		return true;
	}
	if (!a->running)
		return false;
	return (double)now + wait + expected_time(a, call) >
	       (double)call->deadline;
}

/* The calls that start before @call. */
static struct ahead find_ahead(const struct cl_admit *a,
			       const struct cl_admit_call *call)
{
	struct ahead ahead = {.time = a->fast_mean};
	struct ba_list *pos;

	ba_list_each(pos, &a->queue)
	{
		const struct cl_admit_call *q =
			ba_entry(pos, struct cl_admit_call, link);

		if (precedes(call, q))
			break;
		ahead.time += expected_time(a, q);
		ahead.calls++;
	}
	return ahead;
}

static double expected_time(const struct cl_admit *a,
			    const struct cl_admit_call *call)
{
	return call->expected ? (double)call->expected : a->fast_mean;
}

static bool precedes(const struct cl_admit_call *a,
		     const struct cl_admit_call *b)
{
	if (a->weight != b->weight)
		return a->weight > b->weight;
	return a->deadline < b->deadline;
}

static void enqueue(struct cl_admit *a, struct cl_admit_call *call)
{
	struct ba_list *pos = a->queue.prev;

	while (pos != &a->queue &&
	       precedes(call, ba_entry(pos, struct cl_admit_call, link)))
		pos = pos->prev;
	ba_list_insert_before(pos->next, &call->link);
	call->waiting = true;
	a->waiting++;
	a->waiting_late += call->late;
}

static void dequeue(struct cl_admit *a, struct cl_admit_call *call)
{
	ba_list_remove(&call->link);
	call->waiting = false;
	a->waiting--;
	a->waiting_late -= call->late;
}

static struct cl_admit_call *queue_tail(const struct cl_admit *a)
{
	return ba_entry(a->queue.prev, struct cl_admit_call, link);
}

static void start(struct cl_admit *a, struct cl_admit_call *call, ba_time now)
{
	call->running = true;
	call->started = now;
	a->running++;
}

/*
 * If calls take much longer while all slots are in use than they do at their
 * fastest, the backend server can run fewer calls than it announced.
 */
static void adapt_limit(struct cl_admit *a, ba_time took, bool full,
			ba_time now)
{
	double sample = took > 0 ? (double)took : 1;

	a->samples++;
	if (a->samples == 1) {
		a->fast_mean = sample;
		a->slow_mean = sample;
		a->window_end = now + MIN_MEAN_WINDOW;
	}
	a->fast_mean += (sample - a->fast_mean) / FAST_MEAN_SAMPLES;
	a->slow_mean += (sample - a->slow_mean) / SLOW_MEAN_SAMPLES;
	if (a->samples < SLOW_MEAN_SAMPLES)
		return;
	if (now >= a->window_end) {
		a->previous_min_mean = a->min_mean;
		a->min_mean = 0;
		a->window_end = now + MIN_MEAN_WINDOW;
	}
	if (!a->min_mean || a->slow_mean < a->min_mean)
		a->min_mean = a->slow_mean;
	if (!a->options.adaptive || !full || now < a->cooldown_until)
		return;
	if (a->slow_mean > CONGESTED_RATIO * lowest_mean(a))
		a->limit -= LIMIT_DECREASE;
	else if (a->slow_mean < UNCONGESTED_RATIO * lowest_mean(a))
		a->limit += LIMIT_INCREASE;
}

static double lowest_mean(const struct cl_admit *a)
{
	if (!a->previous_min_mean)
		return a->min_mean;
	return a->min_mean < a->previous_min_mean ? a->min_mean
						  : a->previous_min_mean;
}

static double max_limit(const struct cl_admit *a)
{
	uint32_t n = a->options.slots;

	if (a->options.connections < n)
		n = a->options.connections;
	if (a->share && a->share < n)
		n = a->share;
	return n ? n : 1;
}
