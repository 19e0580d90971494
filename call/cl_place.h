/*
 * Placement: how long a call would take at an endpoint, and which of several
 * endpoints gets it.
 *
 * Needed when the endpoints of a service differ in speed, share their machines
 * with others, so that their speed changes within a second, and are loaded by
 * many senders of which none knows what the others do.
 *
 * Rules:
 * - What is compared is the expected time to the end of the call: the queue
 *   ahead, the work at the speed of the moment, and the network.
 * - The proxy beside an endpoint counts its calls and measures its work; only
 *   the speed is the endpoint's own statement.  The work is measured relative
 *   to it, so an endpoint that states a false speed is found out.
 * - Of a report, only the part that deviates from the usual value loses weight
 *   with age; an old report leaves what is usual.
 * - The sender adds its own calls since the report.  An endpoint that has not
 *   answered any of them for longer than the work takes counts as slower.
 * - Endpoints are drawn at random, weighted by their capacity, and the better
 *   one of two is used.  With the best of all, all senders would choose the same
 *   one until their reports change.
 */
#ifndef CL_PLACE_H
#define CL_PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_clock.h"
#include "base/ba_rand.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Speed of an endpoint as usual, in percent of the time that its work takes. */
enum { CL_PLACE_USUAL_SPEED = 100 };

/* The age at which the deviation of a report from the usual counts half. */
#define CL_PLACE_HALF_WEIGHT_AGE (300 * BA_MS)

/**
 * struct cl_place_report - state of an endpoint, as its proxy tells it
 * @calls: running and queued there
 * @slots: calls that it runs at once
 * @speed: time that work takes there now, in percent of the usual time
 * @hold: mean time that a call holds a slot at usual speed, in microseconds, 0
 *	if unknown
 * @spent: how long the call that is answered was at the proxy
 */
struct cl_place_report {
	uint32_t calls;
	uint32_t slots;
	uint32_t speed;
	ba_time hold;
	ba_time spent;
};

/**
 * struct cl_work - work of a backend server, measured by its proxy
 * @hold: as in struct cl_place_report
 * @speed: last stated speed, 0 if it has stated none
 */
struct cl_work {
	double hold;
	uint32_t speed;
};

/** cl_work_state() - record the @speed that an answer states */
void cl_work_state(struct cl_work *w, uint32_t speed);

/**
 * cl_work_record() - record that a call held a slot for @took
 * @speed_before: stated speed when it began, 0 if unknown
 */
void cl_work_record(struct cl_work *w, uint32_t speed_before, ba_time took);

/**
 * struct cl_place - what a sender knows of one endpoint
 * @others: last reported calls, those of the sender excluded
 * @usual_others: moving average of @others
 * @speed: last reported speed, in percent
 * @usual_speed: moving average of @speed
 * @hold: last reported, in microseconds, 0 if unknown
 * @network: moving average of the time on the way, in microseconds, -1 if
 *	unknown
 * @reported_at: time of the last report, 0 if there is none
 * @heard_at: time of the last answer, or when the sender last had no call there
 */
struct cl_place {
	double others;
	double usual_others;
	double speed;
	double usual_speed;
	double hold;
	double network;
	ba_time reported_at;
	ba_time heard_at;
};

/** cl_place_init() - begin without reports */
void cl_place_init(struct cl_place *p);

/** cl_place_sent() - record that a call was sent; @in_flight counts it */
void cl_place_sent(struct cl_place *p, uint32_t in_flight, ba_time now);

/**
 * cl_place_record() - record a report
 * @in_flight: calls of the sender there, the answered one included
 * @took: from the sending of the answered call to its answer
 */
void cl_place_record(struct cl_place *p, const struct cl_place_report *r,
		     uint32_t in_flight, ba_time took, ba_time now);

/**
 * struct cl_place_site - the circumstances of an estimate
 * @in_flight: calls of the sender there
 * @slots: calls that the endpoint runs at once
 * @hold: assumed for an endpoint without a report, in microseconds
 * @network: assumed if it was not measured, in microseconds
 */
struct cl_place_site {
	uint32_t in_flight;
	uint32_t slots;
	double hold;
	double network;
};

/**
 * struct cl_place_time - expected times of a further call, in microseconds
 * @wait: for a slot, 0 if one is expected to be free
 * @work: in the slot
 * @load: calls there, as a fraction of the slots
 */
struct cl_place_time {
	double wait;
	double work;
	double network;
	double load;
};

/** cl_place_estimate() - estimate the times of a call that is sent now */
struct cl_place_time cl_place_estimate(const struct cl_place *p,
				       const struct cl_place_site *s,
				       ba_time now);

/** cl_place_exact() - the same from a report of this moment, without a network */
struct cl_place_time cl_place_exact(const struct cl_place_report *r,
				    double hold);

/** cl_place_total() - the sum of @t, in microseconds */
static inline double cl_place_total(const struct cl_place_time *t)
{
	return t->wait + t->work + t->network;
}

/**
 * struct cl_place_draw - two endpoints drawn from those of a tier
 * @chosen: drawn independently, NULL if there is none
 * @total: expected time of each
 * @weight: of all that were considered
 * @quickest: the one of these with the least expected time, @least
 */
struct cl_place_draw {
	void *chosen[2];
	double total[2];
	double weight;
	void *quickest;
	double least;
};

/** cl_place_consider() - let @endpoint take part in the draw by its @weight */
void cl_place_consider(struct cl_place_draw *d, void *endpoint, double total,
		       double weight, struct ba_rand *rand);

/**
 * cl_place_better() - the one of the two that is expected to take less time
 * @total: set to that time, in microseconds
 *
 * Return: the endpoint, or NULL if none was considered.
 */
void *cl_place_better(const struct cl_place_draw *d, double *total);

#ifdef __cplusplus
}
#endif
#endif
