/*
 * The figures of one process, packed as RtFigures and sent to the source.
 *
 * Rules:
 * - Figures are resent unchanged with the same sequence until they are
 *   acknowledged; only then does the next sequence begin.
 * - Calls may be added from any thread; packing is done by one thread only.
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

/* Services in the figures of a process; further ones are added as "other". */
enum { RT_SERVICES_LIMIT = 4096 };

/** RT_FIGURES_INTERVAL - time between figures of a process, in us */
#define RT_FIGURES_INTERVAL (10 * BA_SECOND)

/** enum rt_outcome - outcome of a call as reported to its caller */
enum rt_outcome {
	RT_OUTCOME_ANSWERED,
	RT_OUTCOME_NOT_RUN,
	RT_OUTCOME_MAY_HAVE_RUN,
	RT_OUTCOME_SHED, /* not run, because of the policy */
	RT_OUTCOMES,
};

struct rt_figures;

/**
 * rt_figures_new() - create the figures of this process
 * @instance: name of this instance; copied
 * @role: "daemon", "relay" or "source"; control bytes are counted under it
 * @incarnation: incarnation number of this process
 * @wall: time at which the process started
 */
struct rt_figures *rt_figures_new(const char *instance, const char *role,
				  uint64_t incarnation, ba_time wall);

/** rt_figures_free() - free the figures; NULL is allowed */
void rt_figures_free(struct rt_figures *f);

/**
 * rt_figures_add_call() - count one call of a service, from any thread
 * @latency: time until the caller had the whole answer, in us; ignored unless
 * @outcome is %RT_OUTCOME_ANSWERED
 * @retries: number of retries
 *
 * Counts %RT_CALLS, %RT_RETRIED and the counter of the outcome as well.
 */
void rt_figures_add_call(struct rt_figures *f, const char *service,
			 enum rt_outcome outcome, ba_time latency,
			 unsigned int retries);

/**
 * rt_figures_pack() - append a packed RtFigures
 * @wall: end of the interval, if a new sequence is begun
 * @final: whether the process ends after these figures
 *
 * Appends the unacknowledged figures again if there are any.
 */
void rt_figures_pack(struct rt_figures *f, ba_time wall, bool final,
		     struct ba_buf *out);

/** rt_figures_ack() - acknowledge the figures of (@incarnation, @sequence) */
void rt_figures_ack(struct rt_figures *f, uint64_t incarnation,
		    uint64_t sequence);

/** rt_figures_has_pending() - check if packed figures are unacknowledged */
bool rt_figures_has_pending(const struct rt_figures *f);

#ifdef __cplusplus
}
#endif
#endif
