/*
 * Benchmark of logging: processor time of the logging thread per line, with
 * one and with several threads, and per event below the log level.
 */
#include <pthread.h>
#include <stdio.h>
#include <time.h>

#include "base/ba_clock.h"
#include "base/ba_event.h"
#include "base/ba_result.h"

enum {
	LINES = 200000,
	MAX_THREADS = 8,
	LINES_PER_BURST = 500,
};

static ba_time thread_cpu(void);
static void *log_lines(void *arg);
static double measure_lines(int n_threads);
static double measure_silenced(void);

int main(void)
{
	int ret = ba_event_open("ba_bench", "/dev/null", BA_DEBUG);

	if (ret)
		return ba_result_info(ret)->exit_code;
	printf("bench event_line_ns_1_thread %.0f ns\n", measure_lines(1));
	printf("bench event_line_ns_8_threads %.0f ns\n",
	       measure_lines(MAX_THREADS));
	ba_event_close();
	ret = ba_event_open("ba_bench", "/dev/null", BA_NOTICE);
	if (ret)
		return ba_result_info(ret)->exit_code;
	printf("bench event_silenced_ns %.1f ns\n", measure_silenced());
	ba_event_close();
	return 0;
}

static ba_time thread_cpu(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return ts.tv_sec * BA_SECOND + ts.tv_nsec / 1000;
}

/* Pauses between bursts of lines keep the log queue from overflowing. */
static void *log_lines(void *arg)
{
	static const struct timespec pause = {0, 2000000};
	ba_time *used = arg;
	ba_time start = thread_cpu();

	for (int i = 0; i < LINES; i++) {
		ba_event(CL_EV_ROUTED,
			 "call=%d service=stock-lookup endpoint=sl-3 "
			 "reason=least-loaded",
			 i);
		if (i % LINES_PER_BURST == 0)
			nanosleep(&pause, NULL);
	}
	*used = thread_cpu() - start;
	return NULL;
}

static double measure_lines(int n_threads)
{
	pthread_t threads[MAX_THREADS];
	ba_time used[MAX_THREADS];
	ba_time total = 0;

	for (int i = 0; i < n_threads; i++)
		pthread_create(&threads[i], NULL, log_lines, &used[i]);
	for (int i = 0; i < n_threads; i++) {
		pthread_join(threads[i], NULL);
		total += used[i];
	}
	return (double)total * 1000 / ((double)n_threads * LINES);
}

static double measure_silenced(void)
{
	ba_time start = thread_cpu();

	for (int i = 0; i < LINES; i++)
		ba_event(CL_EV_ROUTED, "call=%d", i);
	return (double)(thread_cpu() - start) * 1000 / LINES;
}
