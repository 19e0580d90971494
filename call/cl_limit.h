/*
 * What a backend server states of itself in its answers: how many requests a
 * second it takes from all callers together, and that it is about to leave.
 * Learns both, and paces the requests by the stated rate.
 *
 * Used by the proxy beside the backend server, through which all of its requests
 * go, so that nothing has to be shared.
 *
 * Rules:
 * - In any span the backend server gets no more than the rate times the span,
 *   and %CL_LIMIT_BURST worth of requests, one at least.
 * - The rate is at least %CL_LIMIT_RATE_MIN: without a request there is no
 *   answer that could end the limit.
 * - A limit holds until %CL_LIMIT_ABSENT_ANSWERS answers in a row state none,
 *   each to a request that was sent after the last statement.  Other answers may
 *   have been overtaken by it.  Silence ends no limit.
 * - A departure holds until the backend server starts anew.
 * - What another proxy tells counts until the backend server has answered.
 * - A malformed statement changes nothing.
 */
#ifndef CL_LIMIT_H
#define CL_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { CL_LIMIT_ABSENT_ANSWERS = 2 };

/* Time whose worth of requests may go out at once. */
#define CL_LIMIT_BURST (250 * BA_MS)

/* Lowest and highest rate that requests are paced by, per second. */
#define CL_LIMIT_RATE_MIN 0.25
#define CL_LIMIT_RATE_MAX 1e6

/** enum cl_limit_field - what an answer says about a limit */
enum cl_limit_field {
	CL_LIMIT_ABSENT,
	CL_LIMIT_MALFORMED,
	CL_LIMIT_STATED,
};

/**
 * struct cl_statement - what one answer states
 * @per_second: the stated limit, not below 0, if @limit is %CL_LIMIT_STATED
 * @leaving: the backend server is about to leave
 */
struct cl_statement {
	enum cl_limit_field limit;
	double per_second;
	bool leaving;
};

/** enum cl_limit_change - effect of a statement */
enum cl_limit_change {
	CL_LIMIT_UNCHANGED,
	CL_LIMIT_LEARNED,
	CL_LIMIT_CHANGED,
	CL_LIMIT_DROPPED,
	CL_LIMIT_IGNORED, /* malformed, for the first time since a valid one */
	CL_LIMIT_CHANGES,
};

/**
 * struct cl_limit - what is known of one start of a backend server
 * @answered: an answer of this start has been read
 * @limited: it states a limit
 * @leaving: it is about to leave
 * @malformed: the last statement of a limit was malformed
 * @stated: the stated limit, per second
 * @rate: what requests are paced by, per second
 * @tokens: requests that may go out at once, at @tokens_at
 * @stated_at: time of the last statement of a limit
 * @absent: answers in a row that state none
 */
struct cl_limit {
	bool answered;
	bool limited;
	bool leaving;
	bool malformed;
	double stated;
	double rate;
	double tokens;
	ba_time tokens_at;
	ba_time stated_at;
	unsigned int absent;
};

/** cl_limit_reset() - know nothing, as of a backend server that has started */
void cl_limit_reset(struct cl_limit *l);

/**
 * cl_limit_record() - process an answer of the backend server
 * @sent_at: when its request was sent
 * @leaves: set if the departure is news
 */
enum cl_limit_change cl_limit_record(struct cl_limit *l,
				     const struct cl_statement *s,
				     ba_time sent_at, ba_time now,
				     bool *leaves);

/**
 * cl_limit_adopt() - process what another proxy was told
 * @told_at: when it was told
 * @leaves: set if the departure is news
 *
 * Of several, the one that was told last counts.
 */
enum cl_limit_change cl_limit_adopt(struct cl_limit *l,
				    const struct cl_statement *s,
				    ba_time told_at, ba_time now, bool *leaves);

/** cl_limit_take() - count a request if one may go out now */
bool cl_limit_take(struct cl_limit *l, ba_time now);

/**
 * cl_limit_start_at() - when the @n-th request from now on may go out
 * @n: 1 for the next one
 *
 * Return: a time, @now if it may go out at once.
 */
ba_time cl_limit_start_at(const struct cl_limit *l, uint32_t n, ba_time now);

/** cl_limit_change_name() - return the name of @change used in logs */
const char *cl_limit_change_name(enum cl_limit_change change);

#ifdef __cplusplus
}
#endif
#endif
