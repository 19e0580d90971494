#include "distrib/ds_floor.h"

void ds_floor_told(struct ds_floor *f, uint64_t floor, bool known)
{
	if (floor > f->floor)
		f->floor = floor;
	if (known)
		f->learnt = true;
}

void ds_floor_source(struct ds_floor *f, bool fresh, ba_time now)
{
	if (f->fresh && !fresh)
		f->settle_deadline = now + DS_SETTLE_TIME;
	f->fresh = fresh;
	if (fresh)
		f->learnt = true;
}

void ds_floor_sibling_lost(struct ds_floor *f, ba_time now)
{
	f->settle_deadline = now + DS_SETTLE_TIME;
}

bool ds_floor_known(const struct ds_floor *f, ba_time now)
{
	if (f->fresh)
		return true;
	return f->learnt && now >= f->settle_deadline;
}
