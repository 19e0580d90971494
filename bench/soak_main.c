/*
 * A soak of planned stops: overlapping series of SIGTERM and restarts of
 * proxies and of the core, changes of configuration and, on request, crashes,
 * freezes, limits and departures of backend servers, while the outgoing links of
 * the instances with long answers are nearly full.
 * It prints how requests ended as JSON; --seed repeats the schedule.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "base/ba_result.h"
#include "bench/bn.h"
#include "bench/soak.h"
#include "test/platform_names.h"

enum {
	MAX_CORES = 9,
	MAX_MACHINES = 180,
	CORE_OCTET = 10, /* last octets of addresses */
	MACHINE_OCTET = 40,
	STOPPING_SHARE = 4,	 /* at most one in so many stops at once */
	LONG_STOPPED_ONE_IN = 6, /* stops of an instance with long answers */
	ORDER_HEAD_BYTES = 160,
};

/* Share of a link's rate that its proxy uses. */
#define USABLE_RATE_SHARE 0.95
#define TICK (10 * BA_MS)
#define READY_PERIOD (200 * BA_MS)
#define START_LIMIT (20 * BA_SECOND)
#define WARM_UP_TIME (3 * BA_SECOND)
#define ORDER_PERIOD (3 * BA_SECOND)
#define ORDER_RETRY_DELAY (200 * BA_MS)
#define CORE_STOP_PERIOD (9 * BA_SECOND)
#define CRASH_PERIOD (8 * BA_SECOND)
#define AFTER_CROWD_TIME (4 * BA_SECOND)
#define RESTART_DELAY_MAX (1500 * BA_MS)
#define FREEZE_PERIOD (4 * BA_SECOND)
#define FREEZE_TIME_MAX (4 * BA_SECOND)

struct ready_call {
	struct soak_call call;
	struct soak_machine *machine;
};

/*
 * @revision: of the configuration that is accepted, or being sent while
 *	@sending
 * @core: index of the core that gets the next try
 */
struct operator
{
	struct soak_call call;
	int revision;
	int core;
	bool sending;
	ba_time send_at;
};

struct run {
	struct soak soak;
	struct ba_timer tick;
	struct operator operator;
	char *work;
	char *programs;
	char *key;
	char *net;
	char *link_rate;
	double load;
	double stops; /* per second */
	gint64 seed;
	int n_front;
	int n_long;
	gboolean crashes;
	gboolean freezes;
	gboolean limits;
	ba_time target;
	ba_time kill_after; /* time from SIGTERM to SIGKILL */
	ba_time length;
	ba_time ready_at;
	ba_time stop_at;
	ba_time core_stop_at;
	ba_time crash_at;
	ba_time freeze_at;
	ba_time thaw_at;
	ba_time crowd_at;
	ba_time crowd_end;
	int memory_mb;
	struct soak_process *frozen;
	ba_time calls_end;
	uint64_t n_stops;
	uint64_t n_core_stops;
	uint64_t n_crashes;
	uint64_t n_freezes;
	uint64_t n_orders;
	uint64_t n_killed; /* outlived the grace time */
	uint64_t n_ended;  /* neither stopped nor crashed */
	bool failed;
};

static void end_process(struct soak_process *p);
static void read_options(struct run *g, int argc, char **argv);
static void set_rate(struct run *g, const char *link_rate);
static void prepare_cores(struct run *g);
static void prepare_machines(struct run *g);
static struct ba_address address_of(const struct run *g, int octet, int port);
static char *seed_list(const struct run *g);
static void write_settings(const char *file, const char *text);
static void on_tick(struct ba_timer *t, ba_time now);
static void start_calls(struct run *g, ba_time now);
static void poll_ready(struct run *g, ba_time now);
static void on_ready(struct soak_call *call);
static bool is_all_ready(const struct run *g);
static void care_for(struct run *g, struct soak_process *p, ba_time now);
static void stop_one(struct run *g, ba_time now);
static void stop_core(struct run *g, ba_time now);
static bool may_stop(const struct soak_process *p);
static void terminate(struct soak_process *p, ba_time now);
static void crash_one(struct run *g, ba_time now);
static void freeze_one(struct run *g, ba_time now);
static void thaw(struct run *g, ba_time now);
static void play_crowd(struct run *g, ba_time now);
static enum soak_crowd_kind parse_crowd_kind(const char *name);
static void send_order(struct run *g);
static void on_order(struct soak_call *call);
static void print_results(const struct run *g);
static void on_signal(int signo, void *arg);

int main(int argc, char **argv)
{
	struct run g = {0};
	struct soak *s = &g.soak;

	read_options(&g, argc, argv);
	s->loop = ba_loop_new();
	s->requests = g_hash_table_new(g_str_hash, g_str_equal);
	s->started_at = ba_clock_now();
	ba_loop_signals(s->loop, on_signal, &g);
	prepare_cores(&g);
	prepare_machines(&g);
	g.tick.fire = on_tick;
	ba_loop_arm(s->loop, &g.tick, ba_clock_now());
	ba_loop_run(s->loop);
	for (int i = 0; i < s->n_machines; i++)
		end_process(&s->machines[i].process);
	for (int i = 0; i < s->n_cores; i++)
		end_process(&s->cores[i]);
	if (g.failed)
		return 1;
	print_results(&g);
	return 0;
}

/* Waits for the end, as the next run may use the same ports. */
static void end_process(struct soak_process *p)
{
	if (p->pid <= 0)
		return;
	kill(p->pid, SIGKILL);
	waitpid(p->pid, NULL, 0);
}

static void read_options(struct run *g, int argc, char **argv)
{
	struct soak *s = &g->soak;
	char *length = NULL;
	char *budget = NULL;
	char *target = NULL;
	char *work_time = NULL;
	char *grace = NULL;
	char *kill_after = NULL;
	char *crowd_kind = NULL;
	int crowd_bytes = 1024 * 1024;
	int crowd_chunk = 64 * 1024;
	char *rollout = NULL;
	const GOptionEntry entries[] = {
		{"seed", 0, 0, G_OPTION_ARG_INT64, &g->seed,
		 "Seed of the schedule", "N"},
		{"length", 0, 0, G_OPTION_ARG_STRING, &length,
		 "Time during which processes are stopped", "TIME"},
		{"work", 0, 0, G_OPTION_ARG_STRING, &g->work,
		 "Folder of settings, data and logs", "FOLDER"},
		{"programs", 0, 0, G_OPTION_ARG_STRING, &g->programs,
		 "Folder of the programs", "FOLDER"},
		{"key", 0, 0, G_OPTION_ARG_STRING, &g->key,
		 "Key file of the mesh", "FILE"},
		{"net", 0, 0, G_OPTION_ARG_STRING, &g->net,
		 "Loopback network, three octets", "A.B.C"},
		{"front", 0, 0, G_OPTION_ARG_INT, &g->n_front,
		 "Instances with callers", "N"},
		{"long", 0, 0, G_OPTION_ARG_INT, &g->n_long,
		 "Instances whose backend servers give long answers", "N"},
		{"cores", 0, 0, G_OPTION_ARG_INT, &s->n_cores,
		 "Instances of the core", "N"},
		{"link-rate", 0, 0, G_OPTION_ARG_STRING, &g->link_rate,
		 "Rate of each outgoing link", "RATE"},
		{"load", 0, 0, G_OPTION_ARG_DOUBLE, &g->load,
		 "Answers, of what the links carry", "SHARE"},
		{"answer-bytes", 0, 0, G_OPTION_ARG_INT, &s->mean_bytes,
		 "Mean length of answers", "BYTES"},
		{"service-time", 0, 0, G_OPTION_ARG_STRING, &work_time,
		 "Mean time a request runs", "TIME"},
		{"budget", 0, 0, G_OPTION_ARG_STRING, &budget,
		 "Time a caller waits", "TIME"},
		{"target", 0, 0, G_OPTION_ARG_STRING, &target,
		 "Latency target of the routes", "TIME"},
		{"stops", 0, 0, G_OPTION_ARG_DOUBLE, &g->stops,
		 "Stops of proxies a second", "N"},
		{"grace", 0, 0, G_OPTION_ARG_STRING, &grace, "Grace time",
		 "TIME"},
		{"kill-after", 0, 0, G_OPTION_ARG_STRING, &kill_after,
		 "Time from SIGTERM to SIGKILL, if not the grace time", "TIME"},
		{"crashes", 0, 0, G_OPTION_ARG_NONE, &g->crashes,
		 "Kill processes, too", NULL},
		{"freezes", 0, 0, G_OPTION_ARG_NONE, &g->freezes,
		 "Freeze proxies, too", NULL},
		{"limits", 0, 0, G_OPTION_ARG_NONE, &g->limits,
		 "Backend servers state limits and leave", NULL},
		{"improper", 0, 0, G_OPTION_ARG_INT, &s->improper_one_in,
		 "Answers of backend servers of which one is improper", "N"},
		{"crowd", 0, 0, G_OPTION_ARG_INT, &s->crowd.n,
		 "Connections of a crowd that harms", "N"},
		{"crowd-kind", 0, 0, G_OPTION_ARG_STRING, &crowd_kind,
		 "bodies, heads, whole or unread", "KIND"},
		{"crowd-bytes", 0, 0, G_OPTION_ARG_INT, &crowd_bytes,
		 "Length of a body, head or answer of the crowd", "BYTES"},
		{"crowd-chunk", 0, 0, G_OPTION_ARG_INT, &crowd_chunk,
		 "Length of a chunk", "BYTES"},
		{"memory-mb", 0, 0, G_OPTION_ARG_INT, &g->memory_mb,
		 "Memory that a proxy is told to use", "MB"},
		{"descriptors", 0, 0, G_OPTION_ARG_INT, &s->descriptors,
		 "Limit of the descriptors of each process", "N"},
		{"rollout", 0, 0, G_OPTION_ARG_STRING, &rollout,
		 "Duration of a roll-out that is ordered", "TIME"},
		{"bad-version", 0, 0, G_OPTION_ARG_NONE, &s->rollout.bad,
		 "Its version fails half of its calls", NULL},
		{"judged-share", 0, 0, G_OPTION_ARG_DOUBLE, &s->judged_share,
		 "Share of the stated limits that is judged by", "SHARE"},
		G_OPTION_ENTRY_NULL,
	};

	g->seed = 1;
	g->n_front = 8;
	g->n_long = 4;
	g->load = 0.95;
	g->stops = 1.0;
	s->n_cores = 3;
	s->judged_share = 1;
	s->mean_bytes = 90000;
	s->slots = 12;
	bn_parse_options(&argc, &argv, entries);
	if (!g->work || !g->programs || !g->key || !g->net || g->n_front < 1 ||
	    g->n_long < 1 || g->n_front + g->n_long > MAX_MACHINES ||
	    s->n_cores < 1 || s->n_cores > MAX_CORES) {
		fprintf(stderr,
			"%s: --work, --programs, --key and --net are required\n",
			argv[0]);
		exit(ba_result_info(BA_USAGE)->exit_code);
	}
	g->length = bn_parse_duration("length", length ? length : "30s");
	g->target = bn_parse_duration("target", target ? target : "1500ms");
	s->budget = bn_parse_duration("budget", budget ? budget : "6s");
	s->work_time = bn_parse_duration("service-time",
					 work_time ? work_time : "130ms");
	s->grace = bn_parse_duration("grace", grace ? grace : "6s");
	g->kill_after = kill_after ? bn_parse_duration("kill-after", kill_after)
				   : s->grace;
	if (rollout)
		s->rollout.duration = bn_parse_duration("rollout", rollout);
	s->rand.state = (uint64_t)g->seed;
	s->n_callers = g->n_front;
	s->n_called = g->n_long;
	s->crowd.kind = parse_crowd_kind(crowd_kind);
	s->crowd.body_bytes = (size_t)MAX(crowd_bytes, 1);
	s->crowd.chunk_bytes = (size_t)MAX(crowd_chunk, 1);
	g_free(crowd_kind);
	set_rate(g, g->link_rate ? g->link_rate : "8.4Mbit");
	g_free(length);
	g_free(budget);
	g_free(target);
	g_free(work_time);
	g_free(kill_after);
	g_free(rollout);
	g_free(grace);
}

static enum soak_crowd_kind parse_crowd_kind(const char *name)
{
	static const char *const names[] = {
		[SOAK_CROWD_BODIES] = "bodies",
		[SOAK_CROWD_HEADS] = "heads",
		[SOAK_CROWD_WHOLE] = "whole",
		[SOAK_CROWD_UNREAD] = "unread",
	};

	for (size_t i = 0; name && i < G_N_ELEMENTS(names); i++)
		if (!strcmp(name, names[i]))
			return (enum soak_crowd_kind)i;
	if (!name)
		return SOAK_CROWD_BODIES;
	fprintf(stderr, "--crowd-kind=%s\n", name);
	exit(ba_result_info(BA_USAGE)->exit_code);
}

static void set_rate(struct run *g, const char *link_rate)
{
	struct soak *s = &g->soak;
	int64_t rate;

	if (ba_parse_rate(link_rate, &rate)) {
		fprintf(stderr, "--link-rate=%s\n", link_rate);
		exit(ba_result_info(BA_USAGE)->exit_code);
	}
	g->link_rate = g_strdup(link_rate);
	s->rate = g->load * USABLE_RATE_SHARE * (double)rate /
		  (double)s->mean_bytes * g->n_long / g->n_front;
}

static void prepare_cores(struct run *g)
{
	struct soak *s = &g->soak;
	char *seeds = seed_list(g);

	s->cores = g_new0(struct soak_process, s->n_cores);
	for (int i = 0; i < s->n_cores; i++) {
		struct soak_process *p = &s->cores[i];
		int octet = CORE_OCTET + i;
		char *text;

		p->at = address_of(g, octet, 9200);
		p->program = g_strdup_printf("%s/caraway-core", g->programs);
		p->settings = g_strdup_printf("%s/core-%d.toml", g->work, i);
		p->output = g_strdup_printf("%s/core-%d.log", g->work, i);
		text = g_strdup_printf(
			"[mesh]\nname = \"soak\"\nkey_file = \"%s\"\n"
			"[instance]\nname = \"core-%d\"\n"
			"data_centre = \"dc-%d\"\nregion = \"home\"\n"
			"[log]\nfile = \"-\"\nlevel = \"info\"\n"
			"[metrics]\naddress = \"%s.%d:9600\"\n"
			"[core]\noperator_address = \"%s\"\n"
			"source_address = \"%s.%d:9201\"\n"
			"relay_address = \"%s.%d:9202\"\n"
			"data_folder = \"%s/core-%d\"\n"
			"[group]\nseeds = [%s]\nfirst_start = true\n"
			"losses = 1\n",
			g->key, i, i % 2, g->net, octet, p->at.text, g->net,
			octet, g->net, octet, g->work, i, seeds);
		write_settings(p->settings, text);
		g_free(text);
		p->descriptors = s->descriptors;
		soak_process_start(p);
	}
	g_free(seeds);
}

static void prepare_machines(struct run *g)
{
	struct soak *s = &g->soak;
	char *seeds = seed_list(g);
	char *memory =
		g->memory_mb ? g_strdup_printf("memory_mb = %d\n", g->memory_mb)
			     : g_strdup("");

	s->n_machines = g->n_front + g->n_long;
	s->machines = g_new0(struct soak_machine, s->n_machines);
	for (int i = 0; i < s->n_machines; i++) {
		struct soak_machine *m = &s->machines[i];
		struct soak_process *p = &m->process;
		int octet = MACHINE_OCTET + i;
		char *text;

		m->soak = s;
		m->service = i < g->n_front ? "front" : "long";
		m->data_centre = "dc-0";
		g_snprintf(m->name, sizeof(m->name), "%s-%d", m->service, i);
		ba_list_init(&m->conns);
		p->at = address_of(g, octet, 9100);
		m->ready = address_of(g, octet, 9102);
		m->registration = address_of(g, octet, 9103);
		m->backend = address_of(g, octet, 9104);
		p->program = g_strdup_printf("%s/caraway-proxy", g->programs);
		p->settings = g_strdup_printf("%s/%s.toml", g->work, m->name);
		p->output = g_strdup_printf("%s/%s.log", g->work, m->name);
		text = g_strdup_printf(
			"[mesh]\nname = \"soak\"\nkey_file = \"%s\"\n"
			"[instance]\nname = \"%s\"\n"
			"data_centre = \"%s\"\nregion = \"home\"\n"
			"[log]\nfile = \"-\"\nlevel = \"info\"\n"
			"[metrics]\naddress = \"%s.%d:9600\"\n"
			"[proxy]\ncaller_address = \"%s\"\n"
			"peer_address = \"%s.%d:9101\"\n"
			"ready_address = \"%s\"\nbeat_address = \"%s\"\n"
			"grace = \"%" PRId64 "ms\"\nlink_rate = \"%s\"\n%s"
			"[backend]\naddress = \"%s\"\nservice = \"%s\"\n"
			"[relays]\naddresses = [%s]\nport = 9202\n",
			g->key, m->name, m->data_centre, g->net, octet,
			p->at.text, g->net, octet, m->ready.text,
			m->registration.text, s->grace / BA_MS, g->link_rate,
			memory, m->backend.text, m->service, seeds);
		write_settings(p->settings, text);
		g_free(text);
		if (soak_backend_start(m)) {
			fprintf(stderr, "%s: in use\n", m->backend.text);
			exit(1);
		}
		p->descriptors = s->descriptors;
		soak_process_start(p);
	}
	g_free(memory);
	g_free(seeds);
}

static struct ba_address address_of(const struct run *g, int octet, int port)
{
	char *text = g_strdup_printf("%s.%d:%d", g->net, octet, port);
	struct ba_address a = bn_parse_address("net", text);

	g_free(text);
	return a;
}

static char *seed_list(const struct run *g)
{
	struct ba_buf list = {0};

	for (int i = 0; i < g->soak.n_cores; i++)
		ba_buf_addf(&list, "%s\"%s.%d:9200\"", i ? ", " : "", g->net,
			    CORE_OCTET + i);
	ba_buf_reserve(&list, 1);
	list.data[list.len] = '\0';
	return (char *)list.data;
}

static void write_settings(const char *file, const char *text)
{
	if (!g_file_set_contents(file, text, -1, NULL)) {
		fprintf(stderr, "%s: not written\n", file);
		exit(1);
	}
}

static void on_tick(struct ba_timer *t, ba_time now)
{
	struct run *g = ba_entry(t, struct run, tick);
	struct soak *s = &g->soak;

	for (int i = 0; i < s->n_machines; i++)
		care_for(g, &s->machines[i].process, now);
	for (int i = 0; i < s->n_cores; i++)
		care_for(g, &s->cores[i], now);
	if (g->frozen && now >= g->thaw_at)
		thaw(g, now);
	if (!g->operator.sending && now >= g->operator.send_at)
		send_order(g);
	soak_rollout_step(s, now, g->calls_end);
	if (!g->calls_end) {
		poll_ready(g, now);
		if (is_all_ready(g) && g->operator.revision> 1)
			start_calls(g, now);
		else if (now > s->started_at + START_LIMIT) {
			fprintf(stderr, "not ready in time\n");
			g->failed = true;
			ba_loop_stop(s->loop);
		}
	} else if (now < g->calls_end) {
		if (now >= g->stop_at)
			stop_one(g, now);
		if (now >= g->core_stop_at)
			stop_core(g, now);
		if (g->crashes && now >= g->crash_at)
			crash_one(g, now);
		if (g->freezes && now >= g->freeze_at)
			freeze_one(g, now);
		if (s->crowd.n)
			play_crowd(g, now);
	} else {
		s->calling = false;
		if (!g_hash_table_size(s->requests))
			ba_loop_stop(s->loop);
	}
	ba_loop_arm(s->loop, t, now + TICK);
}

static void start_calls(struct run *g, ba_time now)
{
	struct soak *s = &g->soak;

	soak_log(s, "all ready");
	s->calling = true;
	g->calls_end = now + WARM_UP_TIME + g->length;
	g->stop_at = g->stops > 0 ? now + WARM_UP_TIME : BA_NEVER;
	g->core_stop_at = g->stops > 0
				  ? now + WARM_UP_TIME + CORE_STOP_PERIOD / 2
				  : BA_NEVER;
	g->crash_at = now + WARM_UP_TIME + CRASH_PERIOD;
	g->freeze_at = now + WARM_UP_TIME;
	g->crowd_at = now + WARM_UP_TIME;
	g->crowd_end = g->calls_end - AFTER_CROWD_TIME;
	soak_measure_start(s);
	for (int i = 0; i < g->n_front; i++)
		soak_callers_start(&s->machines[i]);
	for (int i = g->n_front; g->limits && i < s->n_machines; i++)
		soak_limit_start(&s->machines[i]);
}

static void poll_ready(struct run *g, ba_time now)
{
	struct soak *s = &g->soak;

	if (now < g->ready_at)
		return;
	g->ready_at = now + READY_PERIOD;
	for (int i = 0; i < s->n_machines; i++) {
		struct ready_call *c = g_new0(struct ready_call, 1);

		c->machine = &s->machines[i];
		c->call.done = on_ready;
		soak_call_send(s->loop, &c->call, &c->machine->ready,
			       "GET " PN_READY_PATH " HTTP/1.1\r\n", "");
	}
}

static void on_ready(struct soak_call *call)
{
	struct ready_call *c = ba_entry(call, struct ready_call, call);

	c->machine->was_ready = call->status == 200;
	g_free(c);
}

static bool is_all_ready(const struct run *g)
{
	for (int i = 0; i < g->soak.n_machines; i++)
		if (!g->soak.machines[i].was_ready)
			return false;
	return true;
}

/* Starts a process that has ended, and kills one that outlives its grace. */
static void care_for(struct run *g, struct soak_process *p, ba_time now)
{
	struct soak *s = &g->soak;

	bool was_ended = p->stopping || p->crashed;

	if (soak_process_poll(p)) {
		p->crashed = false;
		p->restart_at = now + (ba_time)ba_rand_below(&s->rand,
							     RESTART_DELAY_MAX);
		if (!was_ended) {
			soak_log(s, "%s ended by itself", p->settings);
			g->n_ended++;
		}
	}
	if (p->pid <= 0 && p->restart_at && now >= p->restart_at)
		soak_process_start(p);
	if (p->pid > 0 && p->stopping &&
	    now > p->terminated_at + g->kill_after) {
		soak_log(s, "SIGKILL %s, still running", p->settings);
		g->n_killed++;
		p->stopping = false;
		p->crashed = true;
		kill(p->pid, SIGKILL);
	}
}

static void stop_one(struct run *g, ba_time now)
{
	struct soak *s = &g->soak;
	bool of_long = !ba_rand_below(&s->rand, LONG_STOPPED_ONE_IN);
	int first = of_long ? g->n_front : 0;
	int n = of_long ? g->n_long : g->n_front;
	int pick = first + (int)ba_rand_below(&s->rand, (uint64_t)n);
	int n_down = 0;

	g->stop_at = now + soak_exponential(&s->rand, g->stops);
	for (int i = first; i < first + n; i++)
		n_down += !may_stop(&s->machines[i].process);
	if (n_down >= MAX(1, n / STOPPING_SHARE) ||
	    !may_stop(&s->machines[pick].process))
		return;
	soak_log(s, "SIGTERM %s", s->machines[pick].name);
	g->n_stops++;
	terminate(&s->machines[pick].process, now);
}

static void stop_core(struct run *g, ba_time now)
{
	struct soak *s = &g->soak;
	int pick = (int)ba_rand_below(&s->rand, (uint64_t)s->n_cores);

	g->core_stop_at = now + CORE_STOP_PERIOD;
	for (int i = 0; i < s->n_cores; i++)
		if (!may_stop(&s->cores[i]))
			return;
	soak_log(s, "SIGTERM core-%d", pick);
	g->n_core_stops++;
	terminate(&s->cores[pick], now);
}

static bool may_stop(const struct soak_process *p)
{
	return p->pid > 0 && !p->stopping && !p->crashed && !p->frozen;
}

static void terminate(struct soak_process *p, ba_time now)
{
	p->terminated_at = now;
	p->stopping = true;
	kill(p->pid, SIGTERM);
}

static void crash_one(struct run *g, ba_time now)
{
	struct soak *s = &g->soak;
	uint64_t pick = ba_rand_below(&s->rand, (uint64_t)s->n_machines + 1);
	struct soak_process *p = pick ? &s->machines[pick - 1].process
				      : &s->cores[now % s->n_cores];

	g->crash_at = now + CRASH_PERIOD;
	if (!may_stop(p))
		return;
	soak_log(s, "SIGKILL %s", p->settings);
	g->n_crashes++;
	s->crashed_at = now;
	p->crashed = true;
	kill(p->pid, SIGKILL);
}

static void freeze_one(struct run *g, ba_time now)
{
	struct soak *s = &g->soak;
	uint64_t pick = ba_rand_below(&s->rand, (uint64_t)s->n_machines);
	struct soak_process *p = &s->machines[pick].process;

	g->freeze_at = now + FREEZE_PERIOD;
	if (g->frozen || !may_stop(p))
		return;
	soak_log(s, "SIGSTOP %s", s->machines[pick].name);
	g->n_freezes++;
	g->frozen = p;
	g->thaw_at = now + (ba_time)ba_rand_below(&s->rand, FREEZE_TIME_MAX);
	s->crashed_at = now;
	p->frozen = true;
	kill(p->pid, SIGSTOP);
}

static void thaw(struct run *g, ba_time now)
{
	struct soak *s = &g->soak;
	struct soak_process *p = g->frozen;

	g->frozen = NULL;
	s->crashed_at = now;
	/* It may have been killed, and started again. */
	if (!p->frozen)
		return;
	p->frozen = false;
	p->disturbed_at = now;
	if (p->pid > 0)
		kill(p->pid, SIGCONT);
}

static void play_crowd(struct run *g, ba_time now)
{
	struct soak *s = &g->soak;

	if (now >= g->crowd_at) {
		soak_log(s, "%d connections of a crowd", s->crowd.n);
		soak_crowd_start(s);
		g->crowd_at = BA_NEVER;
	}
	if (s->crowd.on && now >= g->crowd_end)
		soak_crowd_end(s);
}

static void send_order(struct run *g)
{
	struct operator* o = & g->operator;
	struct soak *s = &g->soak;
	struct ba_address at;
	struct ba_buf body = {0};
	char head[ORDER_HEAD_BYTES];
	int timeout = (int)((s->budget + 2 * BA_SECOND) / BA_MS);
	int target = (int)(g->target / BA_MS);
	int trial = o->revision % 5;

	if (!o->revision)
		o->revision = 1;
	for (int i = 0; i < s->n_cores; i++)
		if (!strcmp(o->call.location, s->cores[i].at.text))
			o->core = i;
	at = s->cores[o->core].at;
	o->call = (struct soak_call){.done = on_order};
	o->sending = true;
	g_snprintf(head, sizeof(head),
		   "POST " PN_SUBMIT_PATH " HTTP/1.1\r\n" PN_BASE_VERSION
		   ": %08x\r\n",
		   (unsigned int)(o->revision - 1));
	ba_buf_addf(&body, PN_CONFIGURATION, (unsigned int)o->revision, timeout,
		    target, timeout, target, trial, trial, timeout, target);
	soak_call_send(s->loop, &o->call, &at, head, ba_buf_text(&body));
	ba_buf_free(&body);
}

static void on_order(struct soak_call *call)
{
	struct operator* o = ba_entry(call, struct operator, call);
	struct run *g = ba_entry(o, struct run, operator);
	struct soak *s = &g->soak;
	ba_time now = ba_loop_now(s->loop);

	o->sending = false;
	if (call->status == 200) {
		o->revision++;
		g->n_orders++;
		o->send_at = now + ORDER_PERIOD;
		return;
	}
	if (call->cut && s->calling && s->cores[o->core].stopping) {
		s->orders_cut++;
		soak_log(s, "order without an answer from core-%d", o->core);
	}
	o->core = (o->core + 1) % s->n_cores;
	o->send_at = now + ORDER_RETRY_DELAY;
}

static void print_results(const struct run *g)
{
	static const char *const names[SOAK_OUTCOMES] = {
		[SOAK_WHOLE] = "whole",
		[SOAK_REFUSED] = "refused",
		[SOAK_FAILED] = "failed",
		[SOAK_REPLACED] = "replaced",
		[SOAK_WRONG] = "wrong",
		[SOAK_FALSE_REFUSAL] = "false_refusals",
		[SOAK_NOT_SENT] = "not_sent",
		[SOAK_UNREAD] = "unread",
		[SOAK_LATE] = "late",
		[SOAK_CUT] = "cut",
		[SOAK_CUT_ALLOWED] = "cut_allowed",
		[SOAK_CUT_OTHER] = "cut_other",
		[SOAK_CUT_UNCALM] = "cut_near_crash",
	};
	const struct soak *s = &g->soak;

	printf("{\"seed\":%" PRId64 ",\"stops\":%" PRIu64
	       ",\"core_stops\":%" PRIu64 ",\"crashes\":%" PRIu64
	       ",\"orders\":%" PRIu64 ",\"killed\":%" PRIu64
	       ",\"ended\":%" PRIu64 ",\"heartbeats_cut\":%" PRIu64
	       ",\"heartbeats_crossed\":%" PRIu64 ",\"orders_cut\":%" PRIu64
	       ",\"freezes\":%" PRIu64 ",\"limits\":%" PRIu64
	       ",\"departures\":%" PRIu64 ",\"limited\":%" PRIu64
	       ",\"limit_broken\":%" PRIu64 ",\"drain_broken\":%" PRIu64
	       ",\"improper\":%" PRIu64 ",\"refusals_again\":%" PRIu64
	       ",\"twice\":%" PRIu64 ",\"requests\":%" PRIu64
	       ",\"crowd_opened\":%" PRIu64 ",\"crowd_refused\":%" PRIu64
	       ",\"crowd_served\":%" PRIu64 ",\"crowd_closed\":%" PRIu64
	       ",\"peak_kb\":%" PRIu64 ",\"core_peak_kb\":%" PRIu64
	       ",\"peak_fds\":%" PRIu64 ",\"whole_after_crowd\":%" PRIu64,
	       g->seed, g->n_stops, g->n_core_stops, g->n_crashes, g->n_orders,
	       g->n_killed, g->n_ended, s->heartbeats_cut,
	       s->heartbeats_crossed, s->orders_cut, g->n_freezes, s->n_limits,
	       s->n_departures, s->n_limited, s->n_limit_broken,
	       s->n_drain_broken, s->n_improper, s->n_refusals_again,
	       s->n_twice, s->n_requests, s->crowd.n_opened, s->crowd.n_refused,
	       s->crowd.n_served, s->crowd.n_closed, s->crowd.peak_kb,
	       s->crowd.core_peak_kb, s->crowd.peak_fds,
	       s->outcomes[SOAK_WHOLE] - s->crowd.whole_before);
	for (int i = 0; i < SOAK_OUTCOMES; i++)
		printf(",\"%s\":%" PRIu64, names[i], s->outcomes[i]);
	soak_rollout_print(s);
	printf("}\n");
}

static void on_signal(int signo, void *arg)
{
	struct run *g = arg;

	(void)signo;
	g->failed = true;
	ba_loop_stop(g->soak.loop);
}
