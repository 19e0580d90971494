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
 *   %CL_EGRESS_IN_TIME_WEIGHT bytes of those in time; the link sends in the
 *   same proportion.  So overload does not make all answers late, and every
 *   admitted call is answered.
 * - The size of an answer is estimated from earlier answers of the same route.
 */
#ifndef CL_EGRESS_H
#define CL_EGRESS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum cl_egress_rank - ranks of answers, in the order of sending */
enum cl_egress_rank {
	CL_EGRESS_IN_TIME,
	CL_EGRESS_LATE,
	CL_EGRESS_REFUSED, /* the call must not be run */
};

enum { CL_EGRESS_RANKS = CL_EGRESS_REFUSED, CL_EGRESS_IN_TIME_WEIGHT = 16 };

/**
 * struct cl_egress - one outgoing link
 * @rate: bytes per second, 0 if unknown
 * @reserved: expected bytes of the answers of running calls, by rank
 */
struct cl_egress {
	int64_t rate;
	double reserved[CL_EGRESS_RANKS];
};

/**
 * struct cl_egress_reservation - reservation of one call, embedded in its owner
 * @bytes: expected bytes of its answer, 0 once released
 * @rank: rank of its answer
 *
 * Initially zeroed.
 */
struct cl_egress_reservation {
	double bytes;
	enum cl_egress_rank rank;
};

/**
 * struct cl_egress_call - description of an arriving call
 * @bytes: expected size of its answer
 * @service_time: expected time until its answer begins
 * @target: latency target, as a point in time
 * @deadline: when its caller gives up
 * @no_alternative: its caller has no other endpoint to send it to
 * @unsent: bytes of answers queued for sending, by rank
 */
struct cl_egress_call {
	double bytes;
	ba_time service_time;
	ba_time target;
	ba_time deadline;
	bool no_alternative;
	double unsent[CL_EGRESS_RANKS];
};

/**
 * cl_egress_admit() - decide whether a call is admitted
 *
 * Return: the rank of its answer, or %CL_EGRESS_REFUSED.
 */
enum cl_egress_rank cl_egress_admit(const struct cl_egress *e,
				    const struct cl_egress_call *call,
				    ba_time now);

/**
 * cl_egress_reserve() - reserve the link for the answer of a started call
 * @bytes: expected size of the answer
 */
void cl_egress_reserve(struct cl_egress *e, struct cl_egress_reservation *r,
		       double bytes, enum cl_egress_rank rank);

/**
 * cl_egress_release() - release the reservation of a call
 *
 * To be called once its answer is queued or will not come; may be repeated.
 */
void cl_egress_release(struct cl_egress *e, struct cl_egress_reservation *r);

/** cl_egress_transmit_time() - time to send @bytes, 0 if the rate is unknown */
ba_time cl_egress_transmit_time(const struct cl_egress *e, double bytes);

#ifdef __cplusplus
}
#endif
#endif
