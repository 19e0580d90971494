#include <string.h>

#include "distrib/ds_dialer.h"

static ba_time back_off(struct ds_dialer *d);
static ba_time below(struct ds_dialer *d, ba_time limit);

void ds_dialer_init(struct ds_dialer *d, size_t n, size_t n_preferred,
		    uint64_t seed, ba_time now)
{
	memset(d, 0, sizeof(*d));
	d->n = n;
	d->n_preferred = n_preferred;
	d->rand.state = seed;
	d->dial_deadline = n ? now : BA_NEVER;
	d->return_deadline = BA_NEVER;
	d->leave_after = DS_LEAVE_PAUSE_FIRST;
	d->return_after = DS_FAILBACK_DELAY_FIRST;
}

void ds_dialer_dialled(struct ds_dialer *d)
{
	d->dial_deadline = BA_NEVER;
}

void ds_dialer_opened(struct ds_dialer *d, ba_time now)
{
	d->open = true;
	d->stale = false;
	d->tried = 0;
	if (d->leave_deadline < now + DS_LEAVE_DELAY)
		d->leave_deadline = now + DS_LEAVE_DELAY;
	if (d->n_preferred && d->current >= d->n_preferred)
		d->return_deadline =
			now + d->return_after + below(d, d->return_after / 2);
}

/*
 * A peer that asked to come back later is asked again; after any other end
 * the next address has its turn at once, and a whole round without success
 * is followed by a pause.
 */
void ds_dialer_closed(struct ds_dialer *d, ba_time retry_after, ba_time now)
{
	bool was_open = d->open;

	d->open = false;
	d->return_deadline = BA_NEVER;
	d->tried++;
	if (retry_after) {
		d->dial_deadline = now + retry_after;
		return;
	}
	if (was_open && d->n_preferred && !d->leaving)
		d->current = 0;
	else
		d->current = (d->current + 1) % d->n;
	d->leaving = false;
	if (d->tried % d->n)
		d->dial_deadline = now + below(d, DS_NEXT_ADDRESS_SPREAD);
	else
		d->dial_deadline = now + back_off(d);
}

/* A peer with fresh data ends the search and its growing pauses. */
void ds_dialer_set_stale(struct ds_dialer *d, bool stale, ba_time now)
{
	if (!stale) {
		d->left = 0;
		d->leave_after = DS_LEAVE_PAUSE_FIRST;
		d->leave_deadline = now;
		if (d->current < d->n_preferred)
			d->return_after = DS_FAILBACK_DELAY_FIRST;
	}
	d->stale = stale;
}

/* Each address gets a short try; when all were stale, a pause follows. */
bool ds_dialer_should_leave(struct ds_dialer *d, ba_time now)
{
	if (!d->open || !d->stale || d->n < 2 || now < d->leave_deadline)
		return false;
	d->leaving = true;
	if (d->current < d->n_preferred)
		d->return_after *= 2;
	if (d->return_after > DS_FAILBACK_DELAY_LIMIT)
		d->return_after = DS_FAILBACK_DELAY_LIMIT;
	if (++d->left % d->n)
		return true;
	d->leave_deadline = now + d->leave_after + below(d, d->leave_after);
	d->leave_after *= 2;
	if (d->leave_after > DS_LEAVE_PAUSE_LIMIT)
		d->leave_after = DS_LEAVE_PAUSE_LIMIT;
	return true;
}

bool ds_dialer_should_fail_back(struct ds_dialer *d, ba_time now)
{
	if (!d->open || now < d->return_deadline)
		return false;
	d->return_deadline = BA_NEVER;
	return true;
}

ba_time ds_dialer_deadline(const struct ds_dialer *d)
{
	ba_time deadline = d->dial_deadline;

	if (d->return_deadline < deadline)
		deadline = d->return_deadline;
	if (d->open && d->stale && d->n > 1 && d->leave_deadline < deadline)
		deadline = d->leave_deadline;
	return deadline;
}

static ba_time back_off(struct ds_dialer *d)
{
	unsigned int rounds = d->tried / (unsigned int)d->n;
	ba_time limit = DS_BACK_OFF_FIRST;

	while (rounds-- > 1 && limit < DS_BACK_OFF_LIMIT)
		limit *= 2;
	if (limit > DS_BACK_OFF_LIMIT)
		limit = DS_BACK_OFF_LIMIT;
	return limit / 2 + below(d, limit / 2);
}

static ba_time below(struct ds_dialer *d, ba_time limit)
{
	return (ba_time)ba_rand_below(&d->rand, (uint64_t)limit);
}
