/*
 * Conversion between endpoint records and EpRecord messages.  Strings are not
 * copied: the result is valid only as long as its source.  The age of a
 * tombstone is sent along, so that it is not kept longer each time that a table
 * gets it from another.
 */
#ifndef EP_WIRE_H
#define EP_WIRE_H

#include "endpoint/ep.h"
#include "wire/ep.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * ep_record_to_message() - fill in @m with the strings of @r
 *
 * The caller frees the marks of @m with ep_message_clear().
 */
void ep_record_to_message(const struct ep_record *r, ba_time now, EpRecord *m);

/** ep_message_clear() - free what ep_record_to_message() allocated */
void ep_message_clear(EpRecord *m);

/**
 * ep_record_from_message() - fill in @r with the strings of @m
 * @marks: room for %EP_MARKS_MAX marks, to which @r will point
 *
 * Marks beyond %EP_MARKS_MAX are dropped, as the endpoint is needed without
 * them too.
 */
void ep_record_from_message(const EpRecord *m, ba_time now,
			    struct ep_mark *marks, struct ep_record *r);

#ifdef __cplusplus
}
#endif
#endif
