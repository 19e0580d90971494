/*
 * Outcomes of the calls as the caller saw them, compared with the number of
 * times that the backend servers ran each call.
 *
 * Rules:
 * - A call has one entry, whatever the number of attempts.
 * - A call counts as not run only if no attempt was answered or may have run:
 *   each one was answered "not run" or could not be sent.
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

/** enum bn_outcome - outcome of an attempt as its caller saw it */
enum bn_outcome {
	BN_ANSWERED,	 /* complete, and the answer to this call */
	BN_NOT_RUN,	 /* not run, according to the mesh */
	BN_MAY_HAVE_RUN, /* may have run, according to the mesh */
	BN_REFUSED,	 /* no connection to the daemon; not sent */
	BN_LOST,	 /* sent; the answer is missing or truncated */
	BN_WRONG,	 /* received, but too short or of another call */
	BN_OUTCOMES,
};

/** bn_tally_new() - create a tally without calls */
struct bn_tally *bn_tally_new(void);

/**
 * bn_tally_add_attempt() - count an attempt of call @key that ended with @o
 * @keyed: the call must not run more than once
 */
void bn_tally_add_attempt(struct bn_tally *t, const char *key, bool keyed,
			  enum bn_outcome o);

/** bn_tally_add_call() - count a call that ended with @o after @latency */
void bn_tally_add_call(struct bn_tally *t, enum bn_outcome o, ba_time latency);

/**
 * bn_tally_add_runs() - add the runs that a backend server has counted
 * @json: its answer at /_counts
 */
void bn_tally_add_runs(struct bn_tally *t, const char *json);

/** bn_tally_calls() - return the number of calls that ended with @o */
uint64_t bn_tally_calls(const struct bn_tally *t, enum bn_outcome o);

/** bn_tally_write_json() - append a JSON object with the results */
void bn_tally_write_json(struct bn_tally *t, ba_time elapsed,
			 struct ba_buf *out);

void bn_tally_free(struct bn_tally *t);

#ifdef __cplusplus
}
#endif
#endif
