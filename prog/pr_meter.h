/*
 * Traffic counters of the control sessions of this process: bytes in total and
 * per link between regions, sessions lost, and partitions, that is, data
 * centres that cannot be reached.
 */
#ifndef PR_METER_H
#define PR_METER_H

#include "wire/wi_session.h"

/**
 * pr_meter_init() - set up the meter of the sessions of one loop
 * @data_centre: data centre of this process
 * @region: region of this process; both strings are kept by reference
 *
 * Return: the meter; there is one for the whole process, which is never freed.
 */
struct wi_meter *pr_meter_init(const char *data_centre, const char *region);

#endif
