#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include <glib.h>

#include "base/ba_atomic.h"
#include "base/ba_event.h"
#include "base/ba_result.h"
#include "prog/pr_guard.h"

/* Longest wait for the log to take its last line. */
#define LAST_LINE_TIMEOUT (20 * BA_MS)

static const char *const stage_names[] = {
	[PR_STAGE_UNSEEN] = "unseen",
	[PR_STAGE_REQUESTS] = "requests",
	[PR_STAGE_CLOSING] = "closing",
};

/*
 * @own: loop of the thread that takes the signals
 * @loop: loop of the program
 * @attached: whether @loop takes signals; used by its thread only
 * @stopping: whether a signal to stop has come
 */
static struct {
	struct ba_loop *own;
	struct ba_loop *loop;
	void (*fn)(int signo, void *arg);
	void *arg;
	ba_time grace;
	struct ba_timer timer;
	pthread_mutex_t lock; /* guards @loop */
	bool attached;
	bool stopping;
	int stage;
	int left;
} guard = {.lock = PTHREAD_MUTEX_INITIALIZER, .left = PR_LEFT_UNKNOWN};

static void log_cut(int stage, int left);
static void *run_own_loop(void *arg);
static void on_signal(int signo, void *arg);
static void pass_on(void *arg);
static void on_deadline(struct ba_timer *t, ba_time now);

int pr_guard_start(struct ba_loop *loop, ba_time grace,
		   void (*fn)(int signo, void *arg), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;
	int ret;

	guard.own = ba_loop_new();
	if (!guard.own || ba_loop_signals(guard.own, on_signal, NULL))
		return ba_result_info(BA_INTERNAL)->exit_code;
	guard.loop = loop;
	guard.fn = fn;
	guard.arg = arg;
	guard.grace = grace;
	guard.timer.fire = on_deadline;
	guard.attached = true;
	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	ret = pthread_create(&thread, &attr, run_own_loop, NULL);
	pthread_attr_destroy(&attr);
	return ret ? ba_result_info(BA_INTERNAL)->exit_code : 0;
}

void pr_guard_note(enum pr_stage stage, int left)
{
	ba_store_int(&guard.left, left);
	ba_store_int(&guard.stage, (int)stage);
}

void pr_guard_detach(void)
{
	pr_guard_note(PR_STAGE_CLOSING, PR_LEFT_UNKNOWN);
	guard.attached = false;
	pthread_mutex_lock(&guard.lock);
	guard.loop = NULL;
	pthread_mutex_unlock(&guard.lock);
}

void pr_guard_cut(int left)
{
	if (left)
		log_cut(PR_STAGE_REQUESTS, left);
}

static void log_cut(int stage, int left)
{
	if (left == PR_LEFT_UNKNOWN)
		ba_event(BA_EV_STOP_CUT, "stage=%s", stage_names[stage]);
	else
		ba_event(BA_EV_STOP_CUT, "stage=%s left=%d", stage_names[stage],
			 left);
}

static void *run_own_loop(void *arg)
{
	(void)arg;
	ba_loop_run(guard.own);
	return NULL;
}

static void on_signal(int signo, void *arg)
{
	(void)arg;
	if (signo != SIGHUP) {
		if (guard.stopping)
			return;
		guard.stopping = true;
		ba_loop_arm(guard.own, &guard.timer,
			    ba_clock_now() + (ba_time)((double)guard.grace *
						       PR_GUARD_SHARE));
	}
	pthread_mutex_lock(&guard.lock);
	if (guard.loop)
		ba_loop_post(guard.loop, pass_on, GINT_TO_POINTER(signo));
	pthread_mutex_unlock(&guard.lock);
}

/* A loop that has ended still runs what was posted to it. */
static void pass_on(void *arg)
{
	if (guard.attached)
		guard.fn(GPOINTER_TO_INT(arg), guard.arg);
}

/* At the end either all lines are written or the log takes no more. */
static void on_deadline(struct ba_timer *t, ba_time now)
{
	int stage = ba_load_int(&guard.stage);

	(void)t;
	(void)now;
	if (stage != PR_STAGE_LOG) {
		log_cut(stage, ba_load_int(&guard.left));
		ba_event_flush(LAST_LINE_TIMEOUT);
	}
	_exit(ba_result_info(BA_INTERNAL)->exit_code);
}
