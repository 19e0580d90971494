/*
 * Reads requests.  All fronts decide here where a request ends and whether it
 * is one.
 *
 * Rules:
 * - Those of ht_message.h.
 * - A proxy passes a request on in a form of its own, and another reader may
 *   have taken its bytes for something else before.  So what RFC 9112 lets a
 *   recipient mend is a flaw: LF alone, a folded field, a length stated twice.
 * - Empty lines before a request are skipped; they count on its head.
 */
#ifndef HT_REQUEST_H
#define HT_REQUEST_H

#include "http/ht_message.h"

#ifdef __cplusplus
extern "C" {
#endif

/** ht_request_begin() - expect the first byte of a request */
void ht_request_begin(struct ht_message *m);

#ifdef __cplusplus
}
#endif
#endif
