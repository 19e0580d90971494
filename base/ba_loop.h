/*
 * An event loop on epoll: descriptors, timers, work posted from other
 * threads, and signals.  A loop belongs to the thread that runs it; only
 * ba_loop_post() and ba_loop_stop() may be called from other threads.
 */
#ifndef BA_LOOP_H
#define BA_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ba_loop;

enum ba_ready {
	BA_READABLE = 1,
	BA_WRITABLE = 2,
	BA_HANGUP = 4,
};

/**
 * struct ba_watch - a watched descriptor, embedded in its owner
 * @ready: called with the BA_ bits that are set
 * @fd: the descriptor
 */
struct ba_watch {
	void (*ready)(struct ba_watch *w, unsigned int bits);
	int fd;
};

/**
 * struct ba_timer - a deadline, embedded in its owner; zeroed when idle
 * @fire: called once when @deadline has passed
 * @deadline: when to fire, in time of ba_clock_now()
 * @slot: place in the heap plus one, 0 when not armed
 */
struct ba_timer {
	void (*fire)(struct ba_timer *t, ba_time now);
	ba_time deadline;
	unsigned int slot;
};

/** ba_loop_new() - create a loop; NULL when descriptors ran out */
struct ba_loop *ba_loop_new(void);

/** ba_loop_free() - free a loop that does not run */
void ba_loop_free(struct ba_loop *loop);

/** ba_loop_run() - run until ba_loop_stop() */
void ba_loop_run(struct ba_loop *loop);

/** ba_loop_stop() - make ba_loop_run() return; from any thread */
void ba_loop_stop(struct ba_loop *loop);

/** ba_loop_now() - time at which this turn of the loop began */
ba_time ba_loop_now(const struct ba_loop *loop);

/** ba_loop_watch() - watch @w->fd for @bits; again to change the bits */
int ba_loop_watch(struct ba_loop *loop, struct ba_watch *w, unsigned int bits);

/** ba_loop_unwatch() - stop watching; the owner may be freed at once */
void ba_loop_unwatch(struct ba_loop *loop, struct ba_watch *w);

/** ba_loop_arm() - fire @t at @deadline, replacing an earlier deadline */
void ba_loop_arm(struct ba_loop *loop, struct ba_timer *t, ba_time deadline);

/** ba_loop_disarm() - forget the deadline of @t; idle timers are allowed */
void ba_loop_disarm(struct ba_loop *loop, struct ba_timer *t);

/** ba_loop_post() - have @fn(@arg) called by the loop; from any thread */
void ba_loop_post(struct ba_loop *loop, void (*fn)(void *arg), void *arg);

/**
 * ba_loop_signals() - have @fn called for SIGTERM, SIGINT and SIGHUP, and
 * ignore SIGPIPE; call it before any thread is started
 */
int ba_loop_signals(struct ba_loop *loop, void (*fn)(int signo, void *arg),
		    void *arg);

#ifdef __cplusplus
}
#endif
#endif
