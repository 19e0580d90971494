/*
 * Whether a long answer still fits on the outgoing link of the instance that
 * would give it: the link is a limit of its own beside the slots.
 *
 * The load it answers: callers of a service with long answers, more of them
 * than the links of its instances carry, while its slots are free.
 *
 * Rules:
 * - A call is taken only while its answer is expected to be sent before its
 *   latency target; when the caller has nowhere else to go, or the target
 *   could not be met on an idle link either, before its deadline.
 * - Where the link adds nothing to the time of the call, it refuses nothing.
 * - Answers that will be late get one byte for %CL_CARRY_WEIGHT of those in
 *   time while both wait, on the link too: too many calls do not make all of
 *   them late, and what was taken is answered.
 * - What a call will send is expected from the answers of its route.
 */
#ifndef CL_CARRY_H
#define CL_CARRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum cl_carry_rank - in the order in which answers are sent */
enum cl_carry_rank {
	CL_CARRY_IN_TIME,
	CL_CARRY_LATE,
	CL_CARRY_NEVER, /* the call is not to be run */
};

enum { CL_CARRY_RANKS = CL_CARRY_NEVER, CL_CARRY_WEIGHT = 16 };

/**
 * struct cl_carry - one link
 * @rate: bytes a second, or 0 when it is not known
 * @promised: bytes that running calls are expected to answer with
 */
struct cl_carry {
	int64_t rate;
	double promised[CL_CARRY_RANKS];
};

/**
 * struct cl_carried - a call's part, embedded in its owner; zeroed at first
 * @bytes: expected of its answer, while it runs
 */
struct cl_carried {
	double bytes;
	enum cl_carry_rank rank;
};

/**
 * struct cl_carry_call - what is known of a call that arrives
 * @bytes: expected size of its answer
 * @work: expected time until the answer begins
 * @target: until when its answer is worth most
 * @deadline: when its caller gives up
 * @last: its caller has nowhere else to send it
 * @unsent: bytes of answers that wait to be sent, by class
 */
struct cl_carry_call {
	double bytes;
	ba_time work;
	ba_time target;
	ba_time deadline;
	bool last;
	double unsent[CL_CARRY_RANKS];
};

/** cl_carry_judge() - whether the call may run, and how its answer goes */
enum cl_carry_rank cl_carry_judge(const struct cl_carry *c,
				  const struct cl_carry_call *call,
				  ba_time now);

/** cl_carry_begin() - the call runs and will send about @bytes */
void cl_carry_begin(struct cl_carry *c, struct cl_carried *t, double bytes,
		    enum cl_carry_rank rank);

/** cl_carry_end() - its answer is here, or will not come; may be repeated */
void cl_carry_end(struct cl_carry *c, struct cl_carried *t);

/** cl_carry_time() - how long the link sends @bytes */
ba_time cl_carry_time(const struct cl_carry *c, double bytes);

#ifdef __cplusplus
}
#endif
#endif
