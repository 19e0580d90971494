/*
 * Requests that crash the backend servers that run them ("queries of death"):
 * finds them from the crashes of several backend servers, and keeps them from
 * running again.
 *
 * A request is known by a digest of its host, method, target, caller and body.
 * A proxy reports what its own backend server was running when it crashed; the
 * reports reach all proxies with the endpoint records.  Each proxy decides on
 * its own from the reports that it knows.
 *
 * Rules:
 * - A crash is explained by those of the running requests that have been in
 *   most crashes before; only if none has, all of them are suspected.
 * - Three crashes, of any backend servers, convict a request.
 * - Any answer of a backend server acquits it, at all proxies: a request that
 *   crashes each backend server is never answered.
 * - A request that was answered shortly before is acquitted as soon as some
 *   proxy that saw the answer learns of the suspicion; one answer acquits once.
 * - An acquittal voids the crashes known so far, by all reporters; a witness,
 *   which reports crashes of its own backend server, then withdraws its mark.
 * - A conviction outlives the proxies that reported the crashes.
 * - A witness reports the conviction too, so that one report suffices.
 * - A convicted request that comes again renews its conviction, and the proxy
 *   that refuses it reports the conviction if no other report holds it.
 * - State is bounded; the entry with the oldest evidence is dropped first, and
 *   convictions last.
 */
#ifndef CL_POISON_H
#define CL_POISON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/ba_clock.h"
#include "endpoint/ep.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	CL_POISON_CRASHES = 3,	      /* that convict a request */
	CL_POISON_ENTRIES_MAX = 1024, /* requests known to one proxy */
};

/* How long a conviction or suspicion is kept after its last evidence. */
#define CL_POISON_MEMORY (10 * BA_MINUTE)

/** enum cl_poison_verdict - what is known of a request
 * @CL_POISON_CLEAR: nothing, or it has been acquitted
 * @CL_POISON_SUSPECT: in one crash less than convicts it; it may run, but is
 *	not retried by the proxy
 * @CL_POISON_CONVICTED: it must not run
 */
enum cl_poison_verdict {
	CL_POISON_CLEAR,
	CL_POISON_SUSPECT,
	CL_POISON_CONVICTED,
};

struct cl_poison;

/** cl_poison_new() - create an empty table for the proxy of @instance */
struct cl_poison *cl_poison_new(const char *instance);

/** cl_poison_free() - free @p; NULL is allowed */
void cl_poison_free(struct cl_poison *p);

/**
 * cl_poison_crashed() - the own backend server crashed
 * @running: digests of the requests that it was running
 */
void cl_poison_crashed(struct cl_poison *p, const uint64_t *running, size_t n,
		       ba_time now);

/** cl_poison_answered() - a backend server answered @request */
void cl_poison_answered(struct cl_poison *p, uint64_t request, ba_time now);

/**
 * cl_poison_learn() - process the report of another instance
 * @epoch: start of the reporting proxy; counts start anew with each
 * @marks: its whole report; marks that are missing are no evidence any more,
 *	but what was learned from them stays
 *
 * A report that was processed before, or is older, changes nothing.  The own
 * one, with @instance as in cl_poison_new(), is ignored.
 */
void cl_poison_learn(struct cl_poison *p, const char *instance, uint64_t epoch,
		     const struct ep_mark *marks, size_t n, ba_time now);

/**
 * cl_poison_learn_refusal() - another proxy refused @request as convicted
 *
 * For a proxy that the reports do not reach.
 */
void cl_poison_learn_refusal(struct cl_poison *p, uint64_t request,
			     ba_time now);

/**
 * cl_poison_verdict() - look up what is known of @request
 *
 * To be called for each request that is about to run, since it also renews a
 * conviction.
 */
enum cl_poison_verdict cl_poison_verdict(struct cl_poison *p, uint64_t request,
					 ba_time now);

/**
 * cl_poison_next_convicted() - get a conviction that was not told before
 * @crashes: number that is known here, 0 if only the conviction is known
 *
 * Return: false if there is none.
 */
bool cl_poison_next_convicted(struct cl_poison *p, uint64_t *request,
			      uint32_t *crashes);

/**
 * cl_poison_report() - get the own report
 * @marks: room for %EP_MARKS_MAX marks, sorted by digest
 *
 * Return: number of marks.
 */
size_t cl_poison_report(struct cl_poison *p, struct ep_mark *marks,
			ba_time now);

/** cl_poison_generation() - number that changes with the own report */
uint64_t cl_poison_generation(const struct cl_poison *p);

/** cl_poison_count_convicted() - count the requests that must not run */
unsigned int cl_poison_count_convicted(const struct cl_poison *p);

#ifdef __cplusplus
}
#endif
#endif
