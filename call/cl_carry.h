/*
 * Admission control by the bandwidth of an instance's outgoing link, for calls
 * with long answers.  The link is a limit of its own, beside the slots.
 *
 * Needed when callers request more long answers from a service than the links
 * of its instances can send, while slots are free.
 *
 * Rules:
 * - A call is admitted only if its answer is expected to be sent before its
 *   latency target.  If the caller has no other endpoint to use, or the target
 *   could not be met on an idle link either, the answer need only be sent
 *   before the deadline.
 * - A call whose answer would not be delayed by the link is always admitted.
 * - While answers of both ranks are queued, late ones get one byte for every
 *   %CL_CARRY_WEIGHT bytes of those in time; the link sends in the same
 *   proportion.  So overload does not make all answers late, and every admitted
 *   call is answered.
 * - The size of an answer is estimated from earlier answers of the same route.
 */
#ifndef CL_CARRY_H
#define CL_CARRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum cl_carry_rank - ranks of answers, those sent first come first */
enum cl_carry_rank {
	CL_CARRY_IN_TIME,
	CL_CARRY_LATE,
	CL_CARRY_NEVER, /* the call must not be run */
};

enum { CL_CARRY_RANKS = CL_CARRY_NEVER, CL_CARRY_WEIGHT = 16 };

/**
 * struct cl_carry - one outgoing link
 * @rate: bytes per second, 0 if unknown
 * @reserved: expected bytes of the answers of running calls, by rank
 */
struct cl_carry {
	int64_t rate;
	double reserved[CL_CARRY_RANKS];
};

/**
 * struct cl_carried - reservation of one call, embedded in its owner;
 * initially zeroed
 * @bytes: expected bytes of its answer, 0 once released
 * @rank: rank of its answer
 */
struct cl_carried {
	double bytes;
	enum cl_carry_rank rank;
};

/**
 * struct cl_carry_call - description of an arriving call
 * @bytes: expected size of its answer
 * @work: expected time until its answer begins
 * @target: latency target, as a point in time
 * @deadline: when its caller gives up
 * @last: its caller has no other endpoint to send it to
 * @unsent: bytes of answers queued for sending, by rank
 */
struct cl_carry_call {
	double bytes;
	ba_time work;
	ba_time target;
	ba_time deadline;
	bool last;
	double unsent[CL_CARRY_RANKS];
};

/** cl_carry_judge() - admit the call with a rank, or %CL_CARRY_NEVER */
enum cl_carry_rank cl_carry_judge(const struct cl_carry *c,
				  const struct cl_carry_call *call,
				  ba_time now);

/** cl_carry_begin() - reserve about @bytes for the answer of a started call */
void cl_carry_begin(struct cl_carry *c, struct cl_carried *t, double bytes,
		    enum cl_carry_rank rank);

/**
 * cl_carry_end() - release the reservation of a call
 *
 * To be called once its answer is queued or will not come; may be repeated.
 */
void cl_carry_end(struct cl_carry *c, struct cl_carried *t);

/** cl_carry_time() - return the time to send @bytes, 0 if @c has no rate */
ba_time cl_carry_time(const struct cl_carry *c, double bytes);

#ifdef __cplusplus
}
#endif
#endif
