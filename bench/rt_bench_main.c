/*
 * Benchmark of figures and reports: size of a daemon's figures, processor time
 * to apply them, size of the state of a day, and processor time of a report.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <glib.h>

#include "base/ba_rand.h"
#include "report/rt.h"
#include "report/rt_day.h"
#include "report/rt_figures.h"
#include "wire/rt.pb-c.h"

enum {
	ROUNDS = 4,
	CALLS_OF_SERVICE = 400,
	SERVICES_OF_DAEMON = 4,
	VERSION_INTERVAL_US = 4800000, /* 18,000 versions per day */
	COUNTS = 1000000,
	NAME_BYTES = 64,
};

/* 2026-12-04 05:00 UTC, midnight in Bogota. */
#define MIDNIGHT ((ba_time)1796360400 * BA_SECOND)

static const int daemons[] = {1000, 4000, 16000};
static const int services[] = {1, 4, 16};
static const int versions[] = {1000, 6000, 18000};

static void bench_bytes(int n);
static void bench_apply(int n);
static void bench_report(int n);
static void bench_counts(void);
static void add_calls(struct rt_figures *f, int n, struct ba_rand *r);
static void pack_figures(struct ba_buf *out, const char *name, int sequence,
			 int n, struct ba_rand *r);
static void apply_figures(struct rt_days *d, const struct ba_buf *figures);
static double cpu_us(void);

int main(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(services); i++)
		bench_bytes(services[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(daemons); i++)
		bench_apply(daemons[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(versions); i++)
		bench_report(versions[i]);
	bench_counts();
	return 0;
}

static void bench_bytes(int n)
{
	struct ba_rand r = {7};
	struct ba_buf out = {0};

	pack_figures(&out, "floor-plans-12", 1, n, &r);
	printf("bench figures_bytes_at_%d %zu B\n", n, out.len);
	ba_buf_free(&out);
}

/* Each daemon sends figures in several rounds. */
static void bench_apply(int n)
{
	struct rt_days *d = rt_days_new();
	struct ba_rand r = {7};
	struct ba_buf state = {0};
	double used = 0;

	for (int round = 1; round <= ROUNDS; round++) {
		for (int i = 0; i < n; i++) {
			struct ba_buf figures = {0};
			char name[NAME_BYTES];
			double before;

			g_snprintf(name, sizeof(name), "floor-plans-%d", i);
			pack_figures(&figures, name, round, SERVICES_OF_DAEMON,
				     &r);
			before = cpu_us();
			apply_figures(d, &figures);
			used += cpu_us() - before;
			ba_buf_free(&figures);
		}
	}
	rt_days_encode(d, &state);
	printf("bench figures_take_us_at_%d %.2f us\n", n,
	       used / ((double)n * ROUNDS));
	printf("bench figures_state_bytes_at_%d %zu B\n", n, state.len);
	ba_buf_free(&state);
	rt_days_free(d);
}

static void bench_report(int n)
{
	struct rt_days *d = rt_days_new();
	struct cf_snapshot *s = cf_snapshot_empty();
	struct ba_buf json = {0};
	struct ba_buf state = {0};
	double before;

	for (int i = 0; i < n; i++) {
		ba_time at = MIDNIGHT + (ba_time)i * VERSION_INTERVAL_US;

		s->version = (uint64_t)i + 1;
		rt_days_add_version(d, s, at);
		rt_days_set_in_force(d, s->version, 1, 1, at + 200 * BA_MS);
	}
	rt_days_encode(d, &state);
	before = cpu_us();
	rt_days_json(d, s, "", MIDNIGHT + (ba_time)n * VERSION_INTERVAL_US,
		     &json);
	printf("bench report_ms_at_%d %.2f ms\n", n,
	       (cpu_us() - before) / 1000);
	printf("bench versions_state_bytes_at_%d %zu B\n", n, state.len);
	ba_buf_free(&state);
	ba_buf_free(&json);
	cf_snapshot_unref(s);
	rt_days_free(d);
}

static void bench_counts(void)
{
	struct rt_figures *f = rt_figures_new("d", "daemon", 1, 0);
	double before = cpu_us();

	for (int i = 0; i < COUNTS; i++)
		rt_count(RT_RETRIED, 1);
	printf("bench count_ns %.1f ns\n", 1000 * (cpu_us() - before) / COUNTS);
	before = cpu_us();
	for (int i = 0; i < COUNTS; i++)
		rt_figures_add_call(f, "plans", RT_OUTCOME_ANSWERED, i % 5000,
				    0);
	printf("bench count_call_ns %.1f ns\n",
	       1000 * (cpu_us() - before) / COUNTS);
	rt_figures_free(f);
}

/* Latencies between 2 and 10 ms, as those of the present backend servers. */
static void add_calls(struct rt_figures *f, int n, struct ba_rand *r)
{
	char name[NAME_BYTES];

	for (int i = 0; i < n; i++) {
		g_snprintf(name, sizeof(name), "service-%d", i);
		for (int k = 0; k < CALLS_OF_SERVICE; k++)
			rt_figures_add_call(
				f, name, RT_OUTCOME_ANSWERED,
				2 * BA_MS + (ba_time)ba_rand_below(r, 8000), 0);
	}
}

static void pack_figures(struct ba_buf *out, const char *name, int sequence,
			 int n, struct ba_rand *r)
{
	ba_time at = MIDNIGHT + sequence * RT_FIGURES_INTERVAL;
	struct rt_figures *f = rt_figures_new(name, "daemon", 1, at);

	/* The figures before this sequence number were acknowledged. */
	for (int i = 1; i < sequence; i++) {
		struct ba_buf past = {0};

		rt_figures_pack(f, at, false, &past);
		rt_figures_ack(f, 1, (uint64_t)i);
		ba_buf_free(&past);
	}
	add_calls(f, n, r);
	rt_figures_pack(f, at + RT_FIGURES_INTERVAL, false, out);
	rt_figures_free(f);
}

static void apply_figures(struct rt_days *d, const struct ba_buf *figures)
{
	RtFigures *m = rt_figures__unpack(NULL, figures->len, figures->data);
	RtBatch batch = RT_BATCH__INIT;
	uint8_t *data;
	size_t len;

	batch.figures = &m;
	batch.n_figures = 1;
	len = rt_batch__get_packed_size(&batch);
	data = g_malloc(len);
	rt_batch__pack(&batch, data);
	rt_days_add_batch(d, data, len);
	g_free(data);
	rt_figures__free_unpacked(m, NULL);
}

static double cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}
