/*
 * Decides how long a planned stop waits for what was written to reach the
 * other ends.
 *
 * Rules:
 * - The wait ends when nothing is left, at its deadline, or when the other ends
 *   have made no progress for %BA_DRAIN_STALL_LIMIT.
 */
#ifndef BA_DRAIN_H
#define BA_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BA_DRAIN_STALL_LIMIT (2 * BA_SECOND)

/**
 * struct ba_drain - a wait in progress
 * @deadline: when the wait ends in any case
 * @stall_deadline: when it ends unless @progress changes
 * @progress: last measure of progress
 */
struct ba_drain {
	ba_time deadline;
	ba_time stall_deadline;
	uint64_t progress;
};

/** ba_drain_begin() - begin a wait that ends at @deadline at the latest */
void ba_drain_begin(struct ba_drain *d, ba_time deadline, ba_time now);

/**
 * ba_drain_continues() - tell whether to wait on
 * @left: whether something has not reached the other end
 * @progress: any number that changes when the other ends take something
 */
bool ba_drain_continues(struct ba_drain *d, bool left, uint64_t progress,
			ba_time now);

#ifdef __cplusplus
}
#endif
#endif
