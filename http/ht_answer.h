/*
 * Reads answers.  All modules that read answers decide here where an answer
 * ends and whether it is one.
 *
 * Rules:
 * - Those of ht_message.h.
 * - Allowed forms that are rare pass: LF alone ends a line of the head, the
 *   reason phrase may be absent, a folded field becomes one line.
 */
#ifndef HT_ANSWER_H
#define HT_ANSWER_H

#include "http/ht_message.h"

#ifdef __cplusplus
extern "C" {
#endif

/** ht_answer_begin() - expect the first byte of an answer */
void ht_answer_begin(struct ht_message *m);

/** ht_status_is_final() - whether an answer may end with @status */
bool ht_status_is_final(int64_t status);

#ifdef __cplusplus
}
#endif
#endif
