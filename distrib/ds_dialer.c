#include <string.h>

#include "distrib/ds_dialer.h"

static size_t next_address(const struct ds_dialer *d, bool was_open,
			   bool silent);
static void count_silent(struct ds_dialer *d, ba_time now);
static ba_time setup_time(const struct ds_dialer *d);
static ba_time backoff_delay(struct ds_dialer *d);
static ba_time jitter(struct ds_dialer *d, ba_time limit);

void ds_dialer_init(struct ds_dialer *d, size_t n, size_t n_preferred,
		    uint64_t seed, ba_time now)
{
	memset(d, 0, sizeof(*d));
	d->n = n;
	d->n_preferred = n_preferred;
	d->rand.state = seed;
	d->dial_deadline = n ? now : BA_NEVER;
	d->setup_deadline = BA_NEVER;
	d->failback_deadline = BA_NEVER;
	d->leave_pause = DS_LEAVE_PAUSE_FIRST;
	d->failback_delay = DS_FAILBACK_DELAY_FIRST;
}

void ds_dialer_set_addresses(struct ds_dialer *d, size_t n, size_t n_preferred,
			     size_t current, ba_time move_deadline)
{
	d->n = n;
	d->n_preferred = n_preferred;
	d->current = current;
	if (current < n_preferred)
		d->failback_deadline = BA_NEVER;
	else if (move_deadline < d->failback_deadline)
		d->failback_deadline = move_deadline;
}

void ds_dialer_dialled(struct ds_dialer *d, ba_time now)
{
	d->dial_deadline = BA_NEVER;
	d->setup_deadline = d->n > 1 ? now + setup_time(d) : BA_NEVER;
}

void ds_dialer_opened(struct ds_dialer *d, ba_time now)
{
	d->open = true;
	d->setup_deadline = BA_NEVER;
	d->stale = false;
	d->attempts = 0;
	if (d->leave_deadline < now + DS_LEAVE_DELAY)
		d->leave_deadline = now + DS_LEAVE_DELAY;
	if (d->n_preferred && d->current >= d->n_preferred)
		d->failback_deadline = now + d->failback_delay +
				       jitter(d, d->failback_delay / 2);
}

/*
 * A peer that named a retry delay is dialled again after it.  In any other
 * case another address is dialled almost at once, and after a round of all
 * addresses without success the back-off delay applies.
 */
void ds_dialer_closed(struct ds_dialer *d, bool silent, ba_time retry_after,
		      ba_time now)
{
	bool was_open = d->open;

	if (was_open && silent)
		count_silent(d, now);
	d->open = false;
	d->setup_deadline = BA_NEVER;
	d->failback_deadline = BA_NEVER;
	d->attempts++;
	if (retry_after) {
		d->dial_deadline = now + retry_after;
		return;
	}
	d->current = next_address(d, was_open, silent);
	d->leaving = false;
	if (d->attempts % d->n)
		d->dial_deadline = now + jitter(d, DS_NEXT_ADDRESS_JITTER);
	else
		d->dial_deadline = now + backoff_delay(d);
}

ba_time ds_dialer_silence_time(const struct ds_dialer *d, ba_time now)
{
	bool is_rare = d->n_silent < DS_SILENT_MAX || now >= d->silent_deadline;

	return d->n > 1 && is_rare ? DS_SILENCE_FIRST : DS_SILENCE_LIMIT;
}

bool ds_dialer_should_give_up(const struct ds_dialer *d, ba_time now)
{
	return now >= d->setup_deadline;
}

/*
 * A peer with fresh data resets the pauses of the search for one.  A peer that
 * has just become stale gets time to find another upstream.
 */
void ds_dialer_set_stale(struct ds_dialer *d, bool stale, ba_time now)
{
	if (stale && !d->stale && d->leave_deadline < now + DS_LEAVE_DELAY)
		d->leave_deadline = now + DS_LEAVE_DELAY;
	if (!stale) {
		d->n_stale = 0;
		d->leave_pause = DS_LEAVE_PAUSE_FIRST;
		d->leave_deadline = now;
		if (d->current < d->n_preferred)
			d->failback_delay = DS_FAILBACK_DELAY_FIRST;
	}
	d->stale = stale;
}

/* When every peer was stale, a pause follows. */
bool ds_dialer_should_leave(struct ds_dialer *d, ba_time now)
{
	if (!d->open || !d->stale || d->n < 2 || now < d->leave_deadline)
		return false;
	d->leaving = true;
	if (d->current < d->n_preferred)
		d->failback_delay *= 2;
	if (d->failback_delay > DS_FAILBACK_DELAY_LIMIT)
		d->failback_delay = DS_FAILBACK_DELAY_LIMIT;
	if (++d->n_stale % d->n)
		return true;
	d->leave_deadline = now + d->leave_pause + jitter(d, d->leave_pause);
	d->leave_pause *= 2;
	if (d->leave_pause > DS_LEAVE_PAUSE_LIMIT)
		d->leave_pause = DS_LEAVE_PAUSE_LIMIT;
	return true;
}

bool ds_dialer_should_fail_back(struct ds_dialer *d, ba_time now)
{
	if (!d->open || now < d->failback_deadline)
		return false;
	d->failback_deadline = BA_NEVER;
	return true;
}

ba_time ds_dialer_deadline(const struct ds_dialer *d)
{
	ba_time deadline = d->dial_deadline;

	if (d->setup_deadline < deadline)
		deadline = d->setup_deadline;
	if (d->failback_deadline < deadline)
		deadline = d->failback_deadline;
	if (d->open && d->stale && d->n > 1 && d->leave_deadline < deadline)
		deadline = d->leave_deadline;
	return deadline;
}

/*
 * The first one if some addresses are preferred and an open session has ended
 * for another reason than a stale peer; otherwise the one after the current.
 */
static size_t next_address(const struct ds_dialer *d, bool was_open,
			   bool silent)
{
	bool is_back_to_first = was_open && d->n_preferred && !d->leaving;

	if (is_back_to_first && !(silent && !d->current))
		return 0;
	return (d->current + 1) % d->n;
}

static void count_silent(struct ds_dialer *d, ba_time now)
{
	if (now >= d->silent_deadline)
		d->n_silent = 0;
	d->n_silent++;
	d->silent_deadline = now + DS_SILENT_PERIOD;
}

static ba_time setup_time(const struct ds_dialer *d)
{
	unsigned int rounds = d->attempts / (unsigned int)d->n;
	ba_time time = DS_SETUP_TIME_FIRST;

	while (rounds-- && time < DS_SETUP_TIME_LIMIT)
		time *= 2;
	return time;
}

static ba_time backoff_delay(struct ds_dialer *d)
{
	unsigned int rounds = d->attempts / (unsigned int)d->n;
	ba_time limit = DS_BACK_OFF_FIRST;

	while (rounds-- > 1 && limit < DS_BACK_OFF_LIMIT)
		limit *= 2;
	if (limit > DS_BACK_OFF_LIMIT)
		limit = DS_BACK_OFF_LIMIT;
	return limit / 2 + jitter(d, limit / 2);
}

static ba_time jitter(struct ds_dialer *d, ba_time limit)
{
	return (ba_time)ba_rand_below(&d->rand, (uint64_t)limit);
}
