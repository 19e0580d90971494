/*
 * Counts what the control sessions of this process carry: bytes, those of
 * them between regions by link, sessions lost, and data centres that cannot
 * be reached.
 */
#ifndef PR_METER_H
#define PR_METER_H

#include "wire/wi_session.h"

/**
 * pr_meter() - the meter of this process, for the sessions of one loop
 * @data_centre: its own data centre
 * @region: its own region; both are kept by reference
 */
struct wi_meter *pr_meter(const char *data_centre, const char *region);

#endif
