/*
 * What a caller was told of each of its calls, and the comparison with what
 * the backend servers ran.
 *
 * Rules:
 * - A call has one entry, however often it was sent.
 * - "Not run" is a promise about the call only when every attempt of it was
 *   either not sent or answered so.
 */
#ifndef BN_TALLY_H
#define BN_TALLY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_buf.h"
#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

struct bn_tally;

/** enum bn_outcome - what an attempt told its caller */
enum bn_outcome {
	BN_ANSWERED,	 /* whole and its own */
	BN_NOT_RUN,	 /* not run, says the mesh */
	BN_MAY_HAVE_RUN, /* may have run, says the mesh */
	BN_REFUSED,	 /* the daemon could not be connected to */
	BN_LOST,	 /* sent, but the answer is missing or broke off */
	BN_WRONG,	 /* a complete answer that is short or another's */
	BN_OUTCOMES,
};

/** bn_tally_new() - no calls yet */
struct bn_tally *bn_tally_new(void);

/** bn_tally_note() - an attempt of call @key ended; @keyed: may run once */
void bn_tally_note(struct bn_tally *t, const char *key, bool keyed,
		   enum bn_outcome o);

/** bn_tally_end() - the call ended with @o after @time */
void bn_tally_end(struct bn_tally *t, enum bn_outcome o, ba_time time);

/** bn_tally_runs() - take in what a backend server answered at /_counts */
void bn_tally_runs(struct bn_tally *t, const char *json);

/** bn_tally_ended() - calls that ended with @o */
uint64_t bn_tally_ended(const struct bn_tally *t, enum bn_outcome o);

/** bn_tally_write() - append one JSON object with all figures */
void bn_tally_write(struct bn_tally *t, ba_time elapsed, struct ba_buf *out);

/** bn_tally_free() - free it */
void bn_tally_free(struct bn_tally *t);

#ifdef __cplusplus
}
#endif
#endif
