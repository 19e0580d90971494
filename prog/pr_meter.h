/*
 * Traffic counters of the control sessions of this process: bytes in total and
 * per link between regions, sessions lost, and partitions, that is, data
 * centres that cannot be reached.
 */
#ifndef PR_METER_H
#define PR_METER_H

#include "wire/wi_session.h"

/**
 * pr_meter_init() - set up the meter of the control sessions of this process
 * @data_centre: data centre of this process
 * @region: region of this process; both strings are kept by reference
 *
 * All sessions with this meter run on one loop.
 * Return: the meter; a process has only one, which is never freed.
 */
struct wi_meter *pr_meter_init(const char *data_centre, const char *region);

#endif
