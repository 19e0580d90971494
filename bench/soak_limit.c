#include "bench/soak.h"
#include "test/platform_names.h"

/* What the platform allows. */
#define LIMIT_SPAN (4 * BA_SECOND)
#define LIMIT_LEARN_TIME (4 * BA_SECOND)
#define LIMIT_TOLD_TIME (500 * BA_MS)
#define DRAIN_TIME (2500 * BA_MS)
#define LIMIT_FACTOR 1.5
#define LIMIT_SLACK 5

/* How long a backend server states a limit, leaves or neither. */
#define STATE_TIME_MIN (3 * BA_SECOND)
#define STATE_TIME_MAX (14 * BA_SECOND)

enum { LEAVES_ONE_IN = 3, CHANGES_ONE_IN = 3 };

/*
 * @counts: its machine had passed on an answer with the limit in time
 */
struct arrival {
	ba_time at;
	bool counts;
};

/* When a machine first passed on such an answer. */
struct told {
	ba_time limit_at;
	ba_time leaving_at;
};

/*
 * @per_second: limit that is stated, 0 for none
 * @named_at: when an answer first stated it, %BA_NEVER before
 * @highest: the highest that was stated within the span
 * @arrivals: struct arrival of the span, in order
 * @told: by the index of the machine
 */
struct soak_statement {
	struct ba_timer timer;
	struct soak_machine *machine;
	double per_second;
	double highest;
	ba_time named_at;
	bool leaving;
	GArray *arrivals;
	struct told *told;
};

static void on_change(struct ba_timer *t, ba_time now);
static void begin_state(struct soak_statement *st);
static void end_state(struct soak_statement *st);
static bool may_leave(const struct soak_machine *m);
static void judge_limit(struct soak_statement *st, ba_time now);
static bool knows(const struct soak_machine *m, ba_time told_at, ba_time delay,
		  ba_time at);

void soak_limit_start(struct soak_machine *m)
{
	struct soak *s = m->soak;
	struct soak_statement *st = g_new0(struct soak_statement, 1);

	st->machine = m;
	st->named_at = BA_NEVER;
	st->arrivals = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	st->told = g_new(struct told, s->n_machines);
	for (int i = 0; i < s->n_machines; i++)
		st->told[i] = (struct told){BA_NEVER, BA_NEVER};
	st->timer.fire = on_change;
	m->statement = st;
	ba_loop_arm(s->loop, &st->timer,
		    ba_loop_now(s->loop) +
			    (ba_time)ba_rand_below(&s->rand, STATE_TIME_MAX));
}

void soak_limit_on_arrival(struct soak_machine *m, const struct soak_request *r)
{
	struct soak_statement *st = m->statement;
	ba_time now = ba_loop_now(m->soak->loop);
	struct arrival a = {.at = now};
	const struct told *told;

	if (!st || !r)
		return;
	told = &st->told[r->machine - m->soak->machines];
	if (st->leaving &&
	    knows(r->machine, told->leaving_at, DRAIN_TIME, r->sent_at)) {
		m->soak->n_drain_broken++;
		soak_log(m->soak, "DRAIN: %s at %s", r->id, m->name);
	}
	if (st->per_second == 0)
		return;
	a.counts = knows(r->machine, told->limit_at, LIMIT_TOLD_TIME, now);
	g_array_append_val(st->arrivals, a);
	judge_limit(st, now);
}

void soak_limit_write(struct soak_machine *m, const struct soak_request *r,
		      struct ba_buf *out)
{
	struct soak_statement *st = m->statement;
	ba_time now = ba_loop_now(m->soak->loop);
	struct told *told;

	if (!st)
		return;
	if (st->per_second > 0)
		ba_buf_addf(out, PN_LIMIT ": %.1f\r\n", st->per_second);
	if (st->leaving)
		ba_buf_addf(out, PN_LEAVING ": 1\r\n");
	if (!r)
		return;
	told = &st->told[r->machine - m->soak->machines];
	if (st->per_second > 0) {
		st->named_at = MIN(st->named_at, now);
		told->limit_at = MIN(told->limit_at, now);
	}
	if (st->leaving)
		told->leaving_at = MIN(told->leaving_at, now);
}

static void on_change(struct ba_timer *t, ba_time now)
{
	struct soak_statement *st = ba_entry(t, struct soak_statement, timer);
	struct soak *s = st->machine->soak;

	if (st->per_second > 0 && !ba_rand_below(&s->rand, CHANGES_ONE_IN)) {
		st->per_second *=
			0.5 + (double)ba_rand_below(&s->rand, 100) / 100;
		st->highest = MAX(st->highest, st->per_second);
		soak_log(s, "%s states %.1f a second", st->machine->name,
			 st->per_second);
	} else if (st->per_second > 0 || st->leaving) {
		end_state(st);
	} else {
		begin_state(st);
	}
	ba_loop_arm(s->loop, t,
		    now + STATE_TIME_MIN +
			    (ba_time)ba_rand_below(
				    &s->rand, STATE_TIME_MAX - STATE_TIME_MIN));
}

static void begin_state(struct soak_statement *st)
{
	struct soak_machine *m = st->machine;
	struct soak *s = m->soak;

	if ((s->n_limits + s->n_departures) % LEAVES_ONE_IN ==
		    LEAVES_ONE_IN - 1 &&
	    may_leave(m)) {
		st->leaving = true;
		s->n_departures++;
		soak_log(s, "%s leaves", m->name);
		return;
	}
	/* Three to nine tenths of what comes on average. */
	st->per_second = s->rate * s->n_callers / s->n_called *
			 (0.3 + (double)ba_rand_below(&s->rand, 60) / 100);
	st->highest = st->per_second;
	st->named_at = BA_NEVER;
	s->n_limits++;
	soak_log(s, "%s states %.1f a second", m->name, st->per_second);
}

/* One that has left comes back as a new start under its id. */
static void end_state(struct soak_statement *st)
{
	struct soak_machine *m = st->machine;

	soak_log(m->soak, "%s is well", m->name);
	if (st->leaving) {
		m->start_wall_ms = ba_clock_wall() / BA_MS;
		m->sequence = 0;
	}
	st->leaving = false;
	st->per_second = 0;
	g_array_set_size(st->arrivals, 0);
	for (int i = 0; i < m->soak->n_machines; i++)
		st->told[i] = (struct told){BA_NEVER, BA_NEVER};
}

/* The others carry what one leaves to them. */
static bool may_leave(const struct soak_machine *m)
{
	const struct soak *s = m->soak;

	for (int i = 0; i < s->n_machines; i++)
		if (s->machines[i].statement &&
		    s->machines[i].statement->leaving)
			return false;
	return true;
}

static void judge_limit(struct soak_statement *st, ba_time now)
{
	struct soak *s = st->machine->soak;
	double allowed = LIMIT_FACTOR * st->highest * s->judged_share *
				 (double)LIMIT_SPAN / (double)BA_SECOND +
			 LIMIT_SLACK;
	ba_time from = now - LIMIT_SPAN;
	unsigned int n = 0;

	if (st->named_at == BA_NEVER || now < st->named_at + LIMIT_LEARN_TIME)
		return;
	s->n_limited++;
	for (unsigned int i = st->arrivals->len; i-- > 0;) {
		const struct arrival *a =
			&g_array_index(st->arrivals, struct arrival, i);

		if (a->at < MAX(from, st->named_at + LIMIT_LEARN_TIME))
			break;
		n += a->counts;
	}
	if (n <= allowed)
		return;
	s->n_limit_broken++;
	soak_log(s, "LIMIT: %s got %u in 4 s, %.1f allowed", st->machine->name,
		 n, allowed);
}

/* A restart or a freeze of the machine since then excuses it. */
static bool knows(const struct soak_machine *m, ba_time told_at, ba_time delay,
		  ba_time at)
{
	return told_at != BA_NEVER && told_at > m->process.disturbed_at &&
	       !m->process.frozen && at > told_at + delay;
}
