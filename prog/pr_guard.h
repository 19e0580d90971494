/*
 * The end of a program whose planned stop does not come to its end by itself.
 * A thread of its own takes the signals and passes them on to the loop, so the
 * deadline does not depend on the loop, on a disk or on whatever reads the log.
 *
 * Rules:
 * - From the first SIGTERM or SIGINT on the process lasts %PR_GUARD_SHARE of its
 *   grace time at most.
 * - What was left is logged, if the log still takes a line.
 */
#ifndef PR_GUARD_H
#define PR_GUARD_H

#include "base/ba_loop.h"

/*
 * Of the usual 6 s this leaves more than the tenth of a second that a process
 * may have to wait for its processor quota.
 */
#define PR_GUARD_SHARE (39.0 / 40)

/**
 * enum pr_stage - how far a planned stop has come
 * @PR_STAGE_UNSEEN: the loop has not taken the signal
 * @PR_STAGE_REQUESTS: requests or their answers are in progress
 * @PR_STAGE_CLOSING: connections and tables are released
 * @PR_STAGE_LOG: the last lines of the log are written
 */
enum pr_stage {
	PR_STAGE_UNSEEN,
	PR_STAGE_REQUESTS,
	PR_STAGE_CLOSING,
	PR_STAGE_LOG,
};

enum { PR_LEFT_UNKNOWN = -1 };

/**
 * pr_guard_start() - start the thread that takes the signals
 * @loop: where @fn is called
 * @grace: time from the signal to stop until the process is killed
 * @fn: called for the first SIGTERM or SIGINT and for each SIGHUP
 *
 * Must be called before any other thread is started, but for that of the log.
 *
 * Return: 0, or the exit status to end with.
 */
int pr_guard_start(struct ba_loop *loop, ba_time grace,
		   void (*fn)(int signo, void *arg), void *arg);

/**
 * pr_guard_note() - note how far the stop has come, from any thread
 * @left: number of requests that are left, or %PR_LEFT_UNKNOWN
 */
void pr_guard_note(enum pr_stage stage, int left);

/** pr_guard_detach() - pass on no more signals, as the loop has ended */
void pr_guard_detach(void);

/** pr_guard_cut() - log that the stop ends with @left requests, unless it is 0 */
void pr_guard_cut(int left);

#endif
