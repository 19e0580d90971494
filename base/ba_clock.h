/*
 * Time.  Code that makes decisions takes the current time as an argument and
 * stores deadlines.  It never reads a clock: the event loop, the log, sessions
 * and the programs do.
 */
#ifndef BA_CLOCK_H
#define BA_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** typedef ba_time - a point in time or a duration, in microseconds */
typedef int64_t ba_time;

#define BA_MS ((ba_time)1000)
#define BA_SECOND ((ba_time)1000000)
#define BA_MINUTE (60 * BA_SECOND)
#define BA_HOUR (60 * BA_MINUTE)
#define BA_NEVER INT64_MAX

/**
 * ba_clock_now() - read the monotonic clock of this instance, for deadlines
 *
 * The clock also advances while the instance is suspended, so that no lease
 * outlives a suspension.
 */
ba_time ba_clock_now(void);

/** ba_clock_wall() - time since 1970 in UTC, for display and for reports */
ba_time ba_clock_wall(void);

#ifdef __cplusplus
}
#endif
#endif
