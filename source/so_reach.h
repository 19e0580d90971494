/*
 * Whether the daemons that relays know are all that there are: a pure function.
 *
 * The load that it answers: all processes are restarted at once, and the daemons
 * come back to relays that know of none.  The first of them hold the version in
 * force and are all that is known.
 */
#ifndef SO_REACH_H
#define SO_REACH_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Time in which daemons are back at relays that were restarted. */
#define SO_REACH_RETURN_TIME (6 * BA_SECOND)

/**
 * struct so_reach - what a leader knows of the daemons
 * @live: daemons with a lease, as the relays tell
 * @before: daemons of the last version that was in force everywhere, 0 if there
 *	was none
 * @running: time since the start of the leader's process
 */
struct so_reach {
	uint32_t live;
	uint32_t before;
	ba_time running;
};

/**
 * so_reach_is_known() - whether @live are all daemons
 *
 * Fewer than before may have been taken away, but that is not known until the
 * others have had the time to come back.
 */
bool so_reach_is_known(const struct so_reach *r);

#ifdef __cplusplus
}
#endif
#endif
