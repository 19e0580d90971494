/*
 * Conversion between endpoint records and EpRecord messages.  Strings are not
 * copied: the result is valid only as long as its source.
 */
#ifndef EP_WIRE_H
#define EP_WIRE_H

#include "endpoint/ep.h"
#include "wire/ep.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/** ep_record_to_message() - fill in @m with the strings of @r */
void ep_record_to_message(const struct ep_record *r, EpRecord *m);

/** ep_record_from_message() - fill in @r with the strings of @m */
void ep_record_from_message(const EpRecord *m, struct ep_record *r);

#ifdef __cplusplus
}
#endif
#endif
