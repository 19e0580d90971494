#include "base/ba_drain.h"

void ba_drain_begin(struct ba_drain *d, ba_time deadline, ba_time now)
{
	d->deadline = deadline;
	d->stall_deadline = now + BA_DRAIN_STALL_LIMIT;
	d->progress = 0;
}

bool ba_drain_continues(struct ba_drain *d, bool left, uint64_t progress,
			ba_time now)
{
	if (progress != d->progress) {
		d->progress = progress;
		d->stall_deadline = now + BA_DRAIN_STALL_LIMIT;
	}
	return left && now < d->deadline && now < d->stall_deadline;
}
