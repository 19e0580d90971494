/*
 * Admission where a request enters: refuses at once what the endpoints of its
 * service would turn away.
 *
 * Load that it answers: more requests for a service than its endpoints have
 * room for, over a second or longer.  Without it each request is offered to
 * several endpoints, and the refused offers fill the links that the served ones
 * need.
 *
 * Rules:
 * - It refuses only while endpoints of the service turn requests away that
 *   could have met their target.
 * - What passes is at most %CL_GATE_EXCESS times what the endpoints accept, so
 *   that more room is found at once.
 * - Requests that have missed their target are refused first, then those of
 *   the lowest priority, then those that were not refused before.  Each rank
 *   passes a quarter as often as all.
 * - Instances need no messages for it: all of them see the refusals of the same
 *   endpoints, within %CL_GATE_MEMORY.
 */
#ifndef CL_GATE_H
#define CL_GATE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The time after which a request counts 1/e. */
#define CL_GATE_MEMORY (1 * BA_SECOND)

#define CL_GATE_EXCESS 1.2

/*
 * On a faster link, in bytes per second, offers that are refused take too little
 * of it to delay the others, and the gate would only leave room unused.
 */
#define CL_GATE_LINK_RATE_MAX ((int64_t)(5 * 1000 * 1000 / 8))

/** enum cl_gate_turn - what a request has behind it, in order of passing */
enum cl_gate_turn {
	CL_GATE_RETURNED, /* it was refused before and can meet its target */
	CL_GATE_FRESH,
	CL_GATE_LATE, /* it has missed its target */
};

enum {
	CL_GATE_RANKS = 16,
	CL_GATE_SLACK = 2, /* requests that pass beyond that */
};

/**
 * struct cl_gate_rank - requests of one rank
 * @turn: LATE goes after all others, whatever its priority
 * @priority: 0 is the highest
 * @asked: how many entered lately
 */
struct cl_gate_rank {
	enum cl_gate_turn turn;
	uint32_t priority;
	double asked;
};

/**
 * struct cl_gate - what is known of one service; zero it first
 * @accepted: requests that an endpoint accepted lately
 * @refused: requests that could have met their target and were turned away
 * @ranks: those that entered, in the order in which they pass
 */
struct cl_gate {
	double accepted;
	double refused;
	struct cl_gate_rank ranks[CL_GATE_RANKS];
	unsigned int n_ranks;
	ba_time at;
};

/**
 * cl_gate_pays() - whether to refuse at the entry at all
 * @link_rate: of the links of the instances in bytes per second, 0 if not known
 */
bool cl_gate_pays(int64_t link_rate);

/**
 * cl_gate_admit() - whether a request that enters is offered to endpoints
 * @draw: random number from 0 to 1
 */
bool cl_gate_admit(struct cl_gate *g, enum cl_gate_turn turn, uint32_t priority,
		   double draw, ba_time now);

/**
 * cl_gate_retry_after() - when a refused request that is not late is to return
 * @target_left: time until its target
 * @draw: random number from 0 to 1
 *
 * Spreads the returns over the time in which half of @target_left or more is
 * left, so that those that return can be served in time.
 *
 * Return: a duration.
 */
ba_time cl_gate_retry_after(ba_time target_left, double draw);

/** cl_gate_accepted() - an endpoint accepted a request that was offered */
void cl_gate_accepted(struct cl_gate *g, ba_time now);

/** cl_gate_refused() - endpoints turned a request away that was not late */
void cl_gate_refused(struct cl_gate *g, ba_time now);

#ifdef __cplusplus
}
#endif
#endif
