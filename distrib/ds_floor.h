/*
 * What a relay knows of the highest version that any daemon may have held.
 * Pure.
 *
 * Rules:
 * - The floor never falls.
 * - It is known while the source is heard: nothing newer is in force.
 * - Once it was known, a relay that loses the source or a sibling trusts it
 *   again after %DS_SETTLE_TIME: by then, daemons that were given a newer
 *   version elsewhere have subscribed here with it.
 */
#ifndef DS_FLOOR_H
#define DS_FLOOR_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DS_SETTLE_TIME (5 * BA_SECOND)

/**
 * struct ds_floor - zeroed at the start
 * @floor: highest version known to be held
 * @learnt: whether it was known once
 * @fresh: whether the source is heard now
 * @settle_deadline: not known before then
 */
struct ds_floor {
	uint64_t floor;
	bool learnt;
	bool fresh;
	ba_time settle_deadline;
};

/** ds_floor_told() - a publisher or sibling says what it knows */
void ds_floor_told(struct ds_floor *f, uint64_t floor, bool known);

/** ds_floor_source() - the source is heard, or is not any more */
void ds_floor_source(struct ds_floor *f, bool fresh, ba_time now);

/** ds_floor_sibling_lost() - a relay of the same data centre is gone */
void ds_floor_sibling_lost(struct ds_floor *f, ba_time now);

/** ds_floor_known() - whether nothing above @floor can have been held */
bool ds_floor_known(const struct ds_floor *f, ba_time now);

#ifdef __cplusplus
}
#endif
#endif
