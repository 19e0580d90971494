/*
 * An event loop based on epoll, for descriptors, timers, signals, and callbacks
 * posted by other threads.  A loop belongs to the thread that runs it; only
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

/** enum ba_ready - states of a descriptor; %BA_HANGUP is always reported */
enum ba_ready {
	BA_READABLE = 1,
	BA_WRITABLE = 2,
	BA_HANGUP = 4, /* or an error */
	BA_ENDED = 8,  /* the other end sends no more; bytes may be unread */
};

/**
 * struct ba_watch - a watched descriptor, embedded in its owner
 * @ready: called with the bits of enum ba_ready that are set
 * @fd: the descriptor
 */
struct ba_watch {
	void (*ready)(struct ba_watch *w, unsigned int bits);
	int fd;
};

/**
 * struct ba_timer - a one-shot timer, embedded in its owner; zero it first
 * @fire: called once when @deadline has passed
 * @deadline: time of expiry, on the clock of ba_clock_now()
 * @slot: index in the heap plus one, 0 when not armed
 */
struct ba_timer {
	void (*fire)(struct ba_timer *t, ba_time now);
	ba_time deadline;
	unsigned int slot;
};

/** ba_loop_new() - create a loop; NULL if no descriptor is available */
struct ba_loop *ba_loop_new(void);

/** ba_loop_free() - run the posted callbacks and free a stopped loop */
void ba_loop_free(struct ba_loop *loop);

/** ba_loop_run() - run until ba_loop_stop() */
void ba_loop_run(struct ba_loop *loop);

/** ba_loop_stop() - make ba_loop_run() return; callable from any thread */
void ba_loop_stop(struct ba_loop *loop);

/** ba_loop_now() - time at which the current iteration of the loop began */
ba_time ba_loop_now(const struct ba_loop *loop);

/**
 * ba_loop_watch() - watch @w->fd for @bits, or change the bits of a watch
 *
 * Return: %BA_OK or %BA_INTERNAL.
 */
int ba_loop_watch(struct ba_loop *loop, struct ba_watch *w, unsigned int bits);

/** ba_loop_unwatch() - stop watching; the owner may be freed at once */
void ba_loop_unwatch(struct ba_loop *loop, struct ba_watch *w);

/**
 * ba_loop_arm() - arm @t for @deadline, replacing an earlier deadline;
 * %BA_NEVER disarms it
 */
void ba_loop_arm(struct ba_loop *loop, struct ba_timer *t, ba_time deadline);

/** ba_loop_disarm() - cancel @t; has no effect if it is not armed */
void ba_loop_disarm(struct ba_loop *loop, struct ba_timer *t);

/** ba_loop_post() - call @fn(@arg) in the loop; callable from any thread */
void ba_loop_post(struct ba_loop *loop, void (*fn)(void *arg), void *arg);

/**
 * ba_loop_signals() - call @fn for SIGTERM, SIGINT and SIGHUP, and ignore
 * SIGPIPE
 *
 * Must be called before any thread is started, so that all threads inherit the
 * signal mask.
 *
 * Return: %BA_OK or %BA_INTERNAL.
 */
int ba_loop_signals(struct ba_loop *loop, void (*fn)(int signo, void *arg),
		    void *arg);

#ifdef __cplusplus
}
#endif
#endif
