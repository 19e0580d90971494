/*
 * Benchmark of a source: processor time and total time per accepted change,
 * with the wait for the disk, sizes of snapshots and deltas, and the time to
 * read a log after a restart.
 *
 * usage: rp_bench [FOLDER]
 *
 * It uses a new folder inside FOLDER, by default the system's temporary folder.
 */
#include <stdio.h>
#include <sys/stat.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#include "base/ba_result.h"
#include "replica/rp_disk.h"
#include "replica/rp_node.h"

enum {
	CHANGES = 200,
	LOG_ENTRIES = 18000,
	ROUTES_PER_SERVICE = 2,
	ID_BYTES = 32,
};

static const int service_counts[] = {140, 280, 560};

/*
 * A replica that forms a group alone.
 * @previous: the version before @last
 * @delta: from @previous to @last, encoded for the relays as a source does for
 *	each version
 */
struct bench {
	struct rp_node_owner owner;
	struct rp_node *node;
	struct cf_snapshot *previous;
	struct cf_snapshot *last;
	struct ba_buf delta;
	uint32_t code;
	uint64_t last_token; /* identifies the last submission */
};

static void on_send(struct rp_node_owner *o, int to, const void *data,
		    size_t len);
static void on_published(struct rp_node_owner *o, struct cf_snapshot *s);
static void on_outcome(struct rp_node_owner *o, uint64_t token,
		       const CtOutcome *outcome);
static void measure_changes(const char *folder, int services);
static void measure_recovery(const char *folder);
static void measure_sizes(const struct cf_snapshot *s, int services,
			  size_t delta);
static void measure_apply(const struct bench *b, int services);
static int start_replica(struct bench *b, const char *folder,
			 size_t snapshot_entries);
static void stop_replica(struct bench *b, const char *folder);
static void submit(struct bench *b, const struct ba_buf *text, uint64_t n);
static void write_configuration(struct ba_buf *out, int services, uint64_t n);
static ba_time cpu_time(void);
static int compare_times(const void *a, const void *b);
static uint64_t folder_bytes(const char *folder);
static void remove_folder(const char *folder);

int main(int argc, char **argv)
{
	char *folder = g_build_filename(argc > 1 ? argv[1] : g_get_tmp_dir(),
					"rp-bench-XXXXXX", NULL);

	if (!g_mkdtemp(folder)) {
		fprintf(stderr, "%s: %s\n", folder,
			ba_result_info(BA_FOLDER_UNWRITABLE)->text);
		g_free(folder);
		return ba_result_info(BA_FOLDER_UNWRITABLE)->exit_code;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(service_counts); i++)
		measure_changes(folder, service_counts[i]);
	measure_recovery(folder);
	rmdir(folder);
	g_free(folder);
	return 0;
}

static void measure_changes(const char *folder, int services)
{
	struct bench b = {.code = 0};
	ba_time wall[CHANGES];
	struct ba_buf text = {0};
	ba_time used = 0;
	uint64_t bytes_before;

	if (start_replica(&b, folder, 0))
		return;
	write_configuration(&text, services, 0);
	submit(&b, &text, 0);
	bytes_before = folder_bytes(folder);
	for (uint64_t i = 0; i < CHANGES; i++) {
		ba_time begun;
		ba_time cpu_begun;

		text.len = 0;
		write_configuration(&text, services, i + 1);
		cpu_begun = cpu_time();
		begun = ba_clock_now();
		submit(&b, &text, i + 1);
		used += cpu_time() - cpu_begun;
		wall[i] = ba_clock_now() - begun;
	}
	qsort(wall, CHANGES, sizeof(*wall), compare_times);
	printf("bench source_cpu_us_per_change_%d %.1f us\n", services,
	       (double)used / CHANGES);
	if (services == service_counts[G_N_ELEMENTS(service_counts) - 1])
		printf("bench source_cpu_us_per_change %.1f us\n",
		       (double)used / CHANGES);
	printf("bench source_accept_p50_us_%d %lld us\n", services,
	       (long long)wall[CHANGES / 2]);
	printf("bench source_accept_p99_us_%d %lld us\n", services,
	       (long long)wall[CHANGES * 99 / 100]);
	printf("bench log_bytes_%d %.0f B\n", services,
	       (double)(folder_bytes(folder) - bytes_before) / CHANGES);
	measure_sizes(b.last, services, b.delta.len);
	measure_apply(&b, services);
	ba_buf_free(&text);
	stop_replica(&b, folder);
}

static void measure_sizes(const struct cf_snapshot *s, int services,
			  size_t delta)
{
	struct ba_buf whole = {0};

	cf_snapshot_encode(s, CF_FORM_DIGESTS, &whole);
	printf("bench snapshot_bytes_%d %zu B\n", services, whole.len);
	printf("bench delta_bytes_%d %zu B\n", services, delta);
	ba_buf_free(&whole);
}

/* Processor time of a daemon per change, before it puts the change in force. */
static void measure_apply(const struct bench *b, int services)
{
	ba_time begun = cpu_time();

	for (int i = 0; i < CHANGES; i++) {
		struct cf_snapshot *s = NULL;

		if (cf_delta_apply(b->previous, b->delta.data, b->delta.len,
				   &s))
			fprintf(stderr, "the delta cannot be applied\n");
		cf_snapshot_unref(s);
	}
	printf("bench delta_apply_cpu_us_%d %.1f us\n", services,
	       (double)(cpu_time() - begun) / CHANGES);
}

/* Reads a log with the entries of a day at the target size and no snapshot. */
static void measure_recovery(const char *folder)
{
	struct bench b = {.code = 0};
	struct ba_buf text = {0};
	ba_time begun;

	if (start_replica(&b, folder, 2 * LOG_ENTRIES))
		return;
	for (uint64_t i = 0; i < LOG_ENTRIES; i++) {
		text.len = 0;
		write_configuration(&text, 4, i);
		submit(&b, &text, i);
	}
	rp_node_free(b.node);
	cf_snapshot_unref(b.previous);
	cf_snapshot_unref(b.last);
	b.previous = NULL;
	b.last = NULL;
	begun = ba_clock_now();
	if (start_replica(&b, folder, 2 * LOG_ENTRIES))
		return;
	printf("bench source_recovery_%d_entries_ms %.1f ms\n", LOG_ENTRIES,
	       (double)(ba_clock_now() - begun) / BA_MS);
	ba_buf_free(&text);
	stop_replica(&b, folder);
}

static int start_replica(struct bench *b, const char *folder,
			 size_t snapshot_entries)
{
	static const char *const names[] = {"s1"};
	struct rp_node_options o = {
		.core = {.names = names,
			 .addresses = names,
			 .n_names = 1,
			 .times = rp_times_default},
		.owner = &b->owner,
		.snapshot_entries = snapshot_entries,
	};

	b->owner.send = on_send;
	b->owner.published = on_published;
	b->owner.outcome = on_outcome;
	if (rp_disk_open(folder, &o.store) ||
	    rp_node_new(&o, ba_clock_now(), NULL, &b->node)) {
		fprintf(stderr, "%s: %s\n", folder,
			ba_result_info(BA_FOLDER_UNWRITABLE)->text);
		return BA_FOLDER_UNWRITABLE;
	}
	while (rp_core_proposal_error(rp_node_core(b->node), ba_clock_now()))
		rp_node_tick(b->node, ba_clock_now());
	return BA_OK;
}

static void stop_replica(struct bench *b, const char *folder)
{
	rp_node_free(b->node);
	cf_snapshot_unref(b->previous);
	cf_snapshot_unref(b->last);
	ba_buf_free(&b->delta);
	remove_folder(folder);
}

static void on_send(struct rp_node_owner *o, int to, const void *data,
		    size_t len)
{
	(void)o;
	(void)to;
	(void)data;
	(void)len;
}

static void on_published(struct rp_node_owner *o, struct cf_snapshot *s)
{
	struct bench *b = (struct bench *)o;

	b->delta.len = 0;
	if (b->last)
		cf_delta_encode(b->last, s, CF_FORM_DIGESTS, &b->delta);
	cf_snapshot_unref(b->previous);
	b->previous = b->last;
	b->last = cf_snapshot_ref(s);
}

static void on_outcome(struct rp_node_owner *o, uint64_t token,
		       const CtOutcome *outcome)
{
	struct bench *b = (struct bench *)o;

	(void)token;
	b->code = outcome->code;
}

static void submit(struct bench *b, const struct ba_buf *text, uint64_t n)
{
	CtSubmit s = CT_SUBMIT__INIT;
	char id[ID_BYTES];

	g_snprintf(id, sizeof(id), "change-%llu", (unsigned long long)n);
	rp_node_tick(b->node, ba_clock_now());
	s.submission_id = id;
	s.operator_ = "bench";
	s.base_version = rp_machine_current(rp_node_machine(b->node))->version;
	s.text.data = text->data;
	s.text.len = text->len;
	rp_node_submit(b->node, ++b->last_token, &s, ba_clock_now(),
		       ba_clock_wall());
	if (b->code)
		fprintf(stderr, "change %llu: %s\n", (unsigned long long)n,
			ba_result_info((int)b->code)->text);
}

/* Writes a configuration; change @n modifies one service and one route. */
static void write_configuration(struct ba_buf *out, int services, uint64_t n)
{
	int changed = (int)(n % (uint64_t)services);

	for (int i = 0; i < services; i++)
		ba_buf_addf(out,
			    "[[services]]\nname = \"service-%03d\"\n"
			    "max_in_flight = %llu\ntimeout = \"2s\"\n",
			    i,
			    i == changed ? (unsigned long long)n % 1000 : 100);
	for (int i = 0; i < services * ROUTES_PER_SERVICE; i++)
		ba_buf_addf(out,
			    "[[routes]]\nname = \"route-%04d\"\n"
			    "path = \"/area-%d/part-%d\"\nmethod = \"%s\"\n"
			    "service = \"service-%03d\"\nidempotent = %s\n",
			    i, i / ROUTES_PER_SERVICE, i,
			    i == changed && n % 2 ? "PUT" : "GET",
			    i / ROUTES_PER_SERVICE, i % 2 ? "true" : "false");
}

static ba_time cpu_time(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return ts.tv_sec * BA_SECOND + ts.tv_nsec / 1000;
}

static int compare_times(const void *a, const void *b)
{
	const ba_time *x = a;
	const ba_time *y = b;

	return (*x > *y) - (*x < *y);
}

static uint64_t folder_bytes(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;
	uint64_t sum = 0;

	while (dir && (name = g_dir_read_name(dir))) {
		char *path = g_build_filename(folder, name, NULL);
		struct stat st;

		if (!stat(path, &st))
			sum += (uint64_t)st.st_size;
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	return sum;
}

static void remove_folder(const char *folder)
{
	static const char *const names[] = {"meta", "log", "snapshot", "lock"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char *path = g_build_filename(folder, names[i], NULL);

		unlink(path);
		g_free(path);
	}
}
