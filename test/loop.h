/*
 * Loops of tests.  A connection that was closed is freed by a later iteration
 * of its loop; a loop that is freed before leaks it.
 */
#ifndef TEST_LOOP_H
#define TEST_LOOP_H

#include "base/ba_loop.h"

/** settle() - run a loop until what was closed on it is freed */
static inline void settle(struct ba_loop *loop)
{
	struct stopper {
		struct ba_timer timer;
		struct ba_loop *loop;
	} s = {};

	s.timer.fire = [](struct ba_timer *t, ba_time) {
		ba_loop_stop(((struct stopper *)t)->loop);
	};
	s.loop = loop;
	ba_loop_arm(loop, &s.timer, ba_clock_now() + 20 * BA_MS);
	while (s.timer.slot)
		ba_loop_run(loop);
}

/** settle_and_free() - free a loop once what was closed on it is freed */
static inline void settle_and_free(struct ba_loop *loop)
{
	settle(loop);
	ba_loop_free(loop);
}

#endif
