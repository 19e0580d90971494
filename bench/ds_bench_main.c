/*
 * Benchmark of distribution and of endpoint tables: processor time of a relay
 * per change and daemon, memory of a daemon and bytes that it receives.  A
 * source, a relay and many daemons run in one process, each role on a thread
 * of its own.
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#include "base/ba_atomic.h"
#include "base/ba_event.h"
#include "base/ba_result.h"
#include "distrib/ds_agent.h"
#include "relay/re.h"

enum {
	SERVICES = 560,
	ENDPOINTS = 16000,
	DATA_CENTRES = 14,
	CHANGES = 30,
	ENDPOINT_EVENTS = 30,
	REPORTS = 100, /* instances that report at once */
	MARKS = 12,
	STORM_DAEMONS = 300,
	MAX_DAEMONS = 400,
	OPEN_FILES = 8192,
	CHANGES_PER_DAY = 18000,
	ENDPOINT_EVENTS_PER_DAY = 24000,
	DAY_S = 86400,
	IDLE_S = 5,
	PORT = 45001,
};

/** struct loop_thread - an event loop and the thread that runs it */
struct loop_thread {
	pthread_t thread;
	struct ba_loop *loop;
};

/** struct source - a listener and the feed of its sessions */
struct source {
	struct wi_acceptor acceptor;
	struct wi_handler handler;
	struct wi_identity identity;
	struct wi_listener *listener;
	struct ds_feed *feed;
	struct cf_snapshot *next;
};

/** struct bench_daemon - the part of a daemon that receives updates */
struct bench_daemon {
	struct ds_agent_owner owner;
	struct wi_identity identity;
	struct ep_record record;
	struct ds_agent *agent;
	char name[32];
};

/** struct bench - state of the benchmark; a daemon belongs to @daemon_thread */
struct bench {
	struct loop_thread source_thread;
	struct loop_thread relay_thread;
	struct loop_thread daemon_thread;
	struct source source;
	struct re_relay relay;
	struct re_settings settings;
	struct wi_identity relay_identity;
	struct ba_address source_at;
	struct ba_address relay_at;
	struct ba_addresses relays;
	struct bench_daemon daemons[MAX_DAEMONS];
	size_t n_daemons; /* in use */
	uint64_t version;
	uint64_t applied; /* snapshots, by all daemons */
	uint64_t views;	  /* received by all daemons */
	uint64_t bytes;	  /* payload of the relay's sessions */
	uint64_t calls_done;
};

static struct bench bench;

static void print_result(const char *name, double value, const char *unit);
static double now_s(void);
static double cpu_s(const struct loop_thread *t);
static void start_thread(struct loop_thread *t);
static void stop_thread(struct loop_thread *t);
static void call_in_thread(struct loop_thread *t, void (*fn)(void *arg));
static struct cf_snapshot *make_snapshot(uint64_t version);
static struct wi_handler *on_accept(struct wi_acceptor *a,
				    struct wi_session *s);
static int on_frame(struct wi_handler *h, struct wi_session *s,
		    const struct wi_frame *f);
static void on_closed(struct wi_handler *h, struct wi_session *s, int code,
		      ba_time retry_after);
static void on_snapshot(struct ds_agent_owner *o, struct cf_snapshot *s);
static void on_view(struct ds_agent_owner *o, struct ep_view *v);
static void start_source(void *arg);
static void stop_source(void *arg);
static void publish_next(void *arg);
static void start_relay(void *arg);
static void stop_relay(void *arg);
static void count_bytes(void *arg);
static void start_daemons(void *arg);
static void stop_daemons(void *arg);
static void drain_first_daemon(void *arg);
static void make_identity(struct wi_identity *id, const char *instance,
			  enum wi_role role);
static void wait_applied(uint64_t applied);
static void publish_change(void);
static void bench_relay_cpu(size_t n);
static double session_bytes(void);
static void bench_bytes(size_t n);
static void bench_storm(void);
static void bench_table(size_t n);
static void bench_reports(struct ep_table *t, size_t n, size_t n_records);
static void bench_memory(void);
static void bench_encoding(void);
static void fill_table(struct ep_table *t, size_t n);
static double rss_mb(void);

int main(void)
{
	struct rlimit files = {OPEN_FILES, OPEN_FILES};
	const char *net = getenv("TEST_NET");
	char text[64];

	setrlimit(RLIMIT_NOFILE, &files);
	ba_event_open("ds_bench", "/dev/null", BA_ERROR);
	g_snprintf(text, sizeof(text), "%s.7.1:%d", net ? net : "127.0", PORT);
	ba_parse_address(text, &bench.source_at);
	g_snprintf(text, sizeof(text), "%s.7.2:%d", net ? net : "127.0", PORT);
	ba_parse_address(text, &bench.relay_at);
	bench.relays.list = &bench.relay_at;
	bench.relays.n = 1;
	bench_memory();
	bench_encoding();
	bench_table(4000);
	bench_table(8000);
	bench_table(16000);
	start_thread(&bench.source_thread);
	start_thread(&bench.relay_thread);
	start_thread(&bench.daemon_thread);
	call_in_thread(&bench.source_thread, start_source);
	bench_relay_cpu(50);
	bench_relay_cpu(100);
	bench_relay_cpu(200);
	bench_relay_cpu(400);
	bench_bytes(50);
	bench_storm();
	call_in_thread(&bench.source_thread, stop_source);
	stop_thread(&bench.daemon_thread);
	stop_thread(&bench.relay_thread);
	stop_thread(&bench.source_thread);
	ba_event_close();
	return 0;
}

static void print_result(const char *name, double value, const char *unit)
{
	printf("bench %s %.3f %s\n", name, value, unit);
	fflush(stdout);
}

static double now_s(void)
{
	return (double)ba_clock_now() / (double)BA_SECOND;
}

static double cpu_s(const struct loop_thread *t)
{
	struct timespec ts = {0};
	clockid_t id;

	pthread_getcpuclockid(t->thread, &id);
	clock_gettime(id, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static void *run_thread(void *arg)
{
	ba_loop_run(((struct loop_thread *)arg)->loop);
	return NULL;
}

static void start_thread(struct loop_thread *t)
{
	t->loop = ba_loop_new();
	pthread_create(&t->thread, NULL, run_thread, t);
}

static void stop_thread(struct loop_thread *t)
{
	ba_loop_stop(t->loop);
	pthread_join(t->thread, NULL);
	ba_loop_free(t->loop);
}

/* Runs @fn on the thread @t and waits until it has increased @calls_done. */
static void call_in_thread(struct loop_thread *t, void (*fn)(void *arg))
{
	uint64_t before = ba_load_64(&bench.calls_done);

	ba_loop_post(t->loop, fn, NULL);
	while (ba_load_64(&bench.calls_done) == before)
		usleep(200);
}

/* All versions have the same services; in each one another limit differs. */
static struct cf_snapshot *make_snapshot(uint64_t version)
{
	struct cf_snapshot *empty = cf_snapshot_empty();
	struct ba_problems problems = {0};
	struct cf_snapshot *s = NULL;
	struct ba_buf text = {0};

	for (int i = 0; i < SERVICES; i++) {
		bool changed = (uint64_t)i == version % SERVICES;

		ba_buf_addf(&text,
			    "[[services]]\nname = \"service-%d\"\n"
			    "max_in_flight = %d\ntimeout = \"2s\"\n"
			    "[[routes]]\nname = \"route-%d\"\n"
			    "path = \"/service/%d\"\nservice = \"service-%d\"\n"
			    "idempotent = true\n",
			    i, changed ? 200 : 100, i, i, i);
	}
	if (cf_parse_configuration(ba_buf_text(&text), text.len, empty, version,
				   &s, &problems))
		abort();
	cf_snapshot_unref(empty);
	ba_buf_free(&text);
	return s;
}

static struct wi_handler *on_accept(struct wi_acceptor *a, struct wi_session *s)
{
	(void)a;
	(void)s;
	return &bench.source.handler;
}

static int on_frame(struct wi_handler *h, struct wi_session *s,
		    const struct wi_frame *f)
{
	(void)h;
	if (f->type == RT_BATCH)
		return BA_OK;
	return ds_feed_handle_frame(bench.source.feed, s, f);
}

static void on_closed(struct wi_handler *h, struct wi_session *s, int code,
		      ba_time retry_after)
{
	(void)h;
	(void)code;
	(void)retry_after;
	ds_feed_remove_session(bench.source.feed, s);
}

static void on_snapshot(struct ds_agent_owner *o, struct cf_snapshot *s)
{
	(void)o;
	cf_snapshot_unref(s);
	ba_add_64(&bench.applied, 1);
}

static void on_view(struct ds_agent_owner *o, struct ep_view *v)
{
	(void)o;
	ep_view_unref(v);
	ba_add_64(&bench.views, 1);
}

static void start_source(void *arg)
{
	struct source *s = &bench.source;

	(void)arg;
	s->acceptor.accept = on_accept;
	s->handler.frame = on_frame;
	s->handler.closed = on_closed;
	make_identity(&s->identity, "s1", WI_SOURCE);
	s->feed = ds_feed_new(bench.source_thread.loop, NULL);
	ds_feed_set_authority(s->feed, true);
	if (wi_listen(bench.source_thread.loop, &bench.source_at, &s->identity,
		      &ds_listen_limits, &s->acceptor, &s->listener))
		abort();
	ba_add_64(&bench.calls_done, 1);
}

static void stop_source(void *arg)
{
	(void)arg;
	wi_listener_close(bench.source.listener);
	ba_add_64(&bench.calls_done, 1);
}

static void publish_next(void *arg)
{
	(void)arg;
	ds_feed_publish(bench.source.feed, bench.source.next);
	ba_add_64(&bench.calls_done, 1);
}

static void start_relay(void *arg)
{
	(void)arg;
	memset(&bench.relay, 0, sizeof(bench.relay));
	memset(&bench.settings, 0, sizeof(bench.settings));
	make_identity(&bench.relay_identity, "y1", WI_RELAY);
	bench.settings.address = bench.relay_at;
	bench.settings.sources.list = &bench.source_at;
	bench.settings.sources.n = 1;
	bench.relay.loop = bench.relay_thread.loop;
	bench.relay.settings = &bench.settings;
	bench.relay.identity = &bench.relay_identity;
	if (re_relay_start(&bench.relay))
		abort();
	ba_add_64(&bench.calls_done, 1);
}

static void stop_relay(void *arg)
{
	(void)arg;
	re_relay_stop(&bench.relay);
	ba_add_64(&bench.calls_done, 1);
}

static void count_bytes(void *arg)
{
	struct ba_list *pos;
	uint64_t bytes = 0;

	(void)arg;
	ba_list_each(pos, &bench.relay.conns)
	{
		struct re_conn *c = ba_entry(pos, struct re_conn, link);

		bytes += wi_session_sent(c->session) +
			 wi_session_received(c->session);
	}
	ba_store_64(&bench.bytes, bytes);
	ba_add_64(&bench.calls_done, 1);
}

static void start_daemons(void *arg)
{
	(void)arg;
	for (size_t i = 0; i < bench.n_daemons; i++) {
		struct bench_daemon *d = &bench.daemons[i];
		struct ds_agent_options o = {
			.identity = &d->identity,
			.relays = &bench.relays,
			.record = &d->record,
			.lease = 5 * BA_SECOND,
			.seed = i + 1,
		};

		g_snprintf(d->name, sizeof(d->name), "daemon-%zu", i);
		make_identity(&d->identity, d->name, WI_DAEMON);
		d->owner.on_snapshot = on_snapshot;
		d->owner.on_view = on_view;
		d->record.instance = d->name;
		d->record.service = (char *)"service-1";
		d->record.data_centre = (char *)d->identity.data_centre;
		d->record.region = (char *)d->identity.region;
		d->record.address = (char *)"127.0.0.1:1";
		d->record.incarnation = d->identity.incarnation;
		d->agent =
			ds_agent_new(bench.daemon_thread.loop, &o, &d->owner);
	}
	ba_add_64(&bench.calls_done, 1);
}

static void stop_daemons(void *arg)
{
	(void)arg;
	for (size_t i = 0; i < bench.n_daemons; i++)
		ds_agent_free(bench.daemons[i].agent);
	ba_add_64(&bench.calls_done, 1);
}

static void drain_first_daemon(void *arg)
{
	(void)arg;
	ds_agent_drain(bench.daemons[0].agent);
	ba_add_64(&bench.calls_done, 1);
}

static void make_identity(struct wi_identity *id, const char *instance,
			  enum wi_role role)
{
	memset(id, 0, sizeof(*id));
	id->mesh = "bench";
	id->instance = instance;
	id->role = role;
	id->data_centre = "d1";
	id->region = "r1";
	id->incarnation = (uint64_t)ba_clock_wall();
	id->key_id = "";
}

static void wait_applied(uint64_t applied)
{
	while (ba_load_64(&bench.applied) < applied)
		usleep(200);
}

static void publish_change(void)
{
	bench.source.next = make_snapshot(++bench.version);
	call_in_thread(&bench.source_thread, publish_next);
	cf_snapshot_unref(bench.source.next);
}

static void bench_relay_cpu(size_t n)
{
	double cpu;
	double cpu_daemons;
	uint64_t before;
	char name[64];

	bench.n_daemons = n;
	call_in_thread(&bench.relay_thread, start_relay);
	before = ba_load_64(&bench.applied);
	publish_change();
	call_in_thread(&bench.daemon_thread, start_daemons);
	wait_applied(before + n);
	sleep(1);
	cpu = cpu_s(&bench.relay_thread);
	cpu_daemons = cpu_s(&bench.daemon_thread);
	for (int i = 0; i < CHANGES; i++) {
		before = ba_load_64(&bench.applied);
		publish_change();
		wait_applied(before + n);
	}
	cpu = cpu_s(&bench.relay_thread) - cpu;
	cpu_daemons = cpu_s(&bench.daemon_thread) - cpu_daemons;
	g_snprintf(name, sizeof(name),
		   "relay_cpu_us_per_change_per_daemon_at_%zu", n);
	print_result(name, cpu * 1e6 / CHANGES / (double)n, "us");
	g_snprintf(name, sizeof(name), "daemon_cpu_us_per_change_at_%zu", n);
	print_result(name, cpu_daemons * 1e6 / CHANGES / (double)n, "us");
	call_in_thread(&bench.daemon_thread, stop_daemons);
	call_in_thread(&bench.relay_thread, stop_relay);
}

static double session_bytes(void)
{
	call_in_thread(&bench.relay_thread, count_bytes);
	return (double)ba_load_64(&bench.bytes);
}

/* Bytes are the payload of the relay's sessions, in both directions. */
static void bench_bytes(size_t n)
{
	double idle;
	double per_change;
	double per_event;
	double bytes;
	double began;
	uint64_t before = ba_load_64(&bench.applied);

	bench.n_daemons = n;
	call_in_thread(&bench.relay_thread, start_relay);
	call_in_thread(&bench.daemon_thread, start_daemons);
	wait_applied(before + n);
	sleep(1);
	bytes = session_bytes();
	began = now_s();
	sleep(IDLE_S);
	idle = (session_bytes() - bytes) / (double)n / (now_s() - began);
	print_result("control_bytes_per_daemon_s_idle", idle, "B/s");
	bytes = session_bytes();
	began = now_s();
	for (int i = 0; i < CHANGES; i++) {
		before = ba_load_64(&bench.applied);
		publish_change();
		wait_applied(before + n);
	}
	per_change = (session_bytes() - bytes) / (double)n -
		     idle * (now_s() - began);
	per_change /= CHANGES;
	print_result("control_bytes_per_change_per_daemon", per_change, "B");
	bytes = session_bytes();
	began = now_s();
	for (int i = 0; i < ENDPOINT_EVENTS; i++) {
		before = ba_load_64(&bench.views);
		call_in_thread(&bench.daemon_thread, drain_first_daemon);
		while (ba_load_64(&bench.views) < before + n)
			usleep(200);
	}
	per_event = (session_bytes() - bytes) / (double)n -
		    idle * (now_s() - began);
	per_event /= ENDPOINT_EVENTS;
	print_result("control_bytes_per_endpoint_event_per_daemon", per_event,
		     "B");
	print_result("control_bytes_per_daemon_s_loaded",
		     idle + (per_change * CHANGES_PER_DAY +
			     per_event * ENDPOINT_EVENTS_PER_DAY) /
				     DAY_S,
		     "B/s");
	call_in_thread(&bench.daemon_thread, stop_daemons);
	call_in_thread(&bench.relay_thread, stop_relay);
}

/*
 * Time from the restart of a relay that was down until a change has reached all
 * 300 daemons.
 */
static void bench_storm(void)
{
	uint64_t before = ba_load_64(&bench.applied);
	double began;
	double cpu;

	bench.n_daemons = STORM_DAEMONS;
	call_in_thread(&bench.relay_thread, start_relay);
	call_in_thread(&bench.daemon_thread, start_daemons);
	wait_applied(before + STORM_DAEMONS);
	call_in_thread(&bench.relay_thread, stop_relay);
	sleep(2);
	before = ba_load_64(&bench.applied);
	publish_change();
	cpu = cpu_s(&bench.relay_thread);
	began = now_s();
	call_in_thread(&bench.relay_thread, start_relay);
	wait_applied(before + STORM_DAEMONS);
	print_result("ds_storm_recovery_ms", (now_s() - began) * 1e3, "ms");
	print_result("ds_storm_relay_cpu_ms",
		     (cpu_s(&bench.relay_thread) - cpu) * 1e3, "ms");
	call_in_thread(&bench.daemon_thread, stop_daemons);
	call_in_thread(&bench.relay_thread, stop_relay);
}

static void fill_table(struct ep_table *t, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		char instance[32];
		char service[32];
		char centre[16];
		struct ep_record r = {
			.instance = instance,
			.service = service,
			.data_centre = centre,
			.region = (char *)"region-1",
			.address = (char *)"192.0.2.111:7400",
			.external_address = (char *)"198.51.100.11:7400",
			.control_address = (char *)"192.0.2.111:7500",
			.incarnation = 1700000000000000,
			.sequence = 1,
			.slots = 12,
			.connections = 120,
		};

		g_snprintf(instance, sizeof(instance), "instance-%zu", i);
		g_snprintf(service, sizeof(service), "service-%zu",
			   i % SERVICES);
		g_snprintf(centre, sizeof(centre), "centre-%zu",
			   i % DATA_CENTRES);
		ep_table_put(t, &r, EP_HELD_BY_PEER, BA_NEVER, 0);
	}
}

static void bench_table(size_t n)
{
	struct ep_view_options o = {"instance-1", "centre-1", "region-1", 64};
	struct ep_table *t = ep_table_new(EP_TABLE_LIMIT);
	struct ep_view *view;
	char name[64];
	double began = now_s();

	fill_table(t, n);
	g_snprintf(name, sizeof(name), "endpoint_put_us_at_%zu", n);
	print_result(name, (now_s() - began) * 1e6 / (double)n, "us");
	began = now_s();
	view = ep_table_view(t, NULL, &o);
	g_snprintf(name, sizeof(name), "endpoint_view_whole_ms_at_%zu", n);
	print_result(name, (now_s() - began) * 1e3, "ms");
	began = now_s();
	for (int i = 0; i < ENDPOINT_EVENTS; i++) {
		struct ep_record r = *ep_table_get(t, "instance-7");
		struct ep_view *next;

		r.sequence++;
		ep_table_put(t, &r, EP_HELD_BY_PEER, BA_NEVER, 0);
		next = ep_table_view(t, view, &o);
		ep_view_unref(view);
		view = next;
	}
	g_snprintf(name, sizeof(name), "endpoint_view_change_us_at_%zu", n);
	print_result(name, (now_s() - began) * 1e6 / ENDPOINT_EVENTS, "us");
	ep_view_unref(view);
	bench_reports(t, REPORTS, n);
	bench_reports(t, n, n);
	ep_table_free(t);
}

/* Time for one change of a report when @n instances report. */
static void bench_reports(struct ep_table *t, size_t n, size_t n_records)
{
	struct ep_view_options o = {"instance-1", "centre-1", "region-1", 64};
	struct ep_mark marks[MARKS] = {{.request = 1, .crashes = 1}};
	struct ep_view *view = NULL;
	char name[64];
	double began = 0;

	for (size_t i = 0; i < n + ENDPOINT_EVENTS; i++) {
		struct ep_view *next;
		struct ep_record r;

		g_snprintf(name, sizeof(name), "instance-%zu", i % n);
		r = *ep_table_get(t, name);
		r.sequence++;
		r.marks = marks;
		r.n_marks = MARKS;
		marks[0].crashes++;
		if (i == n)
			began = now_s();
		ep_table_put(t, &r, EP_HELD_BY_PEER, BA_NEVER, 0);
		if (i + 1 < n)
			continue;
		next = ep_table_view(t, view, &o);
		ep_view_unref(view);
		view = next;
	}
	g_snprintf(name, sizeof(name), "endpoint_view_report_us_%zu_at_%zu", n,
		   n_records);
	print_result(name, (now_s() - began) * 1e6 / ENDPOINT_EVENTS, "us");
	ep_view_unref(view);
}

/*
 * Memory of the endpoint table, view and configuration that a daemon holds.  No
 * other thread runs yet.
 */
static void bench_memory(void)
{
	struct ep_view_options o = {"instance-1", "centre-1", "region-1", 64};
	struct ep_table *t = ep_table_new(EP_TABLE_LIMIT);
	double before = rss_mb();
	struct cf_snapshot *s = make_snapshot(1);
	struct cf_snapshot *next = make_snapshot(2);
	struct ep_view *view;

	fill_table(t, ENDPOINTS);
	view = ep_table_view(t, NULL, &o);
	print_result("daemon_state_mb", rss_mb() - before, "MB");
	print_result("daemon_rss_mb", rss_mb(), "MB");
	ep_view_unref(view);
	ep_table_free(t);
	cf_snapshot_unref(s);
	cf_snapshot_unref(next);
}

static void bench_encoding(void)
{
	struct cf_snapshot *s = make_snapshot(1);
	struct cf_snapshot *next = make_snapshot(2);
	struct ba_buf whole = {0};
	struct ba_buf delta = {0};

	cf_snapshot_encode(next, CF_FORM_DIGESTS, &whole);
	cf_delta_encode(s, next, CF_FORM_DIGESTS, &delta);
	print_result("change_snapshot_bytes", (double)whole.len, "B");
	print_result("change_delta_bytes", (double)delta.len, "B");
	print_result("change_snapshot_to_delta_ratio",
		     (double)whole.len / (double)delta.len, "x");
	ba_buf_free(&whole);
	ba_buf_free(&delta);
	cf_snapshot_unref(s);
	cf_snapshot_unref(next);
}

static double rss_mb(void)
{
	FILE *f = fopen("/proc/self/statm", "r");
	long pages = 0;
	long resident = 0;

	if (!f)
		return 0;
	if (fscanf(f, "%ld %ld", &pages, &resident) != 2)
		resident = 0;
	fclose(f);
	return (double)resident * (double)sysconf(_SC_PAGESIZE) / 1e6;
}
