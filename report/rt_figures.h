/*
 * What one process counted, in packed RtFigures for the source.
 *
 * Rules:
 * - The same figures are sent again under the same sequence until they are
 *   acknowledged; only then is the next sequence begun.
 * - Calls may be added from any thread; packing belongs to one thread.
 */
#ifndef RT_FIGURES_H
#define RT_FIGURES_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_buf.h"
#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { RT_SERVICES_LIMIT = 4096 };

/** RT_FIGURES_INTERVAL - time between two figures of one process */
#define RT_FIGURES_INTERVAL (10 * BA_SECOND)

/** enum rt_outcome - how a call ended, as its caller was told */
enum rt_outcome {
	RT_OUTCOME_ANSWERED,
	RT_OUTCOME_NOT_RUN,
	RT_OUTCOME_MAY_HAVE_RUN,
	RT_OUTCOME_SHED, /* not run, by the policy */
	RT_OUTCOMES,
};

struct rt_figures;

/**
 * rt_figures_new() - count what the process counted since it started
 * @instance: name of this instance; copied
 * @role: "daemon", "relay" or "source"; control bytes are counted under it
 * @incarnation: of this process
 * @wall: when the process started
 */
struct rt_figures *rt_figures_new(const char *instance, const char *role,
				  uint64_t incarnation, ba_time wall);

/** rt_figures_free() - free them; NULL is allowed */
void rt_figures_free(struct rt_figures *f);

/**
 * rt_figures_call() - count one call of a service; from any thread
 * @latency: time until the caller had the whole answer
 * @retries: how often it was tried again
 *
 * Counts %RT_CALLS, %RT_RETRIED and the counter of the outcome as well.
 */
void rt_figures_call(struct rt_figures *f, const char *service,
		     enum rt_outcome outcome, ba_time latency,
		     unsigned int retries);

/**
 * rt_figures_pack() - append a packed RtFigures
 * @wall: time up to which is counted, when a new sequence is begun
 * @final: whether this process ends after them
 */
void rt_figures_pack(struct rt_figures *f, ba_time wall, bool final,
		     struct ba_buf *out);

/** rt_figures_taken() - the figures of (@incarnation, @sequence) are safe */
void rt_figures_taken(struct rt_figures *f, uint64_t incarnation,
		      uint64_t sequence);

/** rt_figures_waiting() - whether figures were packed and not yet taken */
bool rt_figures_waiting(const struct rt_figures *f);

#ifdef __cplusplus
}
#endif
#endif
