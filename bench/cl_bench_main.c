/*
 * Benchmark of the decisions about calls: the time that each takes, and their
 * effect under overload, with a slow endpoint and when no call succeeds.  Calls
 * are simulated in virtual time; the baselines run in the same process.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/ba_clock.h"
#include "call/cl_admit.h"
#include "call/cl_key.h"
#include "call/cl_dedup.h"
#include "call/cl_retry.h"
#include "call/cl_route.h"

enum {
	ROUNDS = 200000,
	ENDPOINTS = 6,
	ENDPOINTS_LIMIT = 160,
	SLOTS = 12,
	CALLS = 60000,
	FAILING_CALLS = 20000,
	KEYS = 20000,
	SLOW_FACTOR = 10,
	QUEUE_CALLS = 4 * SLOTS,
};

#define SERVICE_TIME (6 * BA_MS)
#define DEADLINE (50 * BA_MS)
#define SERVICE "plans"

/* A simulated call; at @at it arrives or, if it is running, ends. */
struct call {
	struct cl_admit_call admission;
	struct cl_endpoint *endpoint;
	struct backend *backend;
	ba_time arrived;
	ba_time at;
	bool is_running;
};

struct backend {
	struct cl_admit *admit;
	unsigned int running;
	unsigned int slow_factor;
};

struct sim {
	struct cl_router *router;
	struct backend backends[ENDPOINTS];
	unsigned int n_backends;
	GSequence *events;
	struct ba_rand rand;
	ba_time now;
	double rate;
	unsigned int arrivals_left;
	unsigned int in_time; /* answered by their deadline */
	GArray *latencies;
};

static void sim_init(struct sim *s, unsigned int n_backends, bool load_aware,
		     bool bounded);
static void sim_run(struct sim *s, double rate);
static void sim_clear(struct sim *s);
static void arrive_call(struct sim *s, struct call *c);
static void start_call(struct sim *s, struct call *c);
static void end_call(struct sim *s, struct call *c);
static void run_queue(struct sim *s, struct backend *b);
static void refuse_call(struct sim *s, struct call *c);
static void add_event(struct sim *s, struct call *c, ba_time at);
static gint compare_events(gconstpointer a, gconstpointer b, gpointer user);
static void add_endpoints(struct cl_router *r, unsigned int n);
static double goodput(double load, bool bounded);
static double goodput_ratio(bool bounded);
static double p99_latency(bool load_aware, unsigned int slow_factor);
static double retry_amplification(void);
static void print_costs(void);
static double route_cost_ns(unsigned int n, bool states_work);
static double admission_cost_ns(void);
static double key_cost_ns(void);
static int compare_times(const void *a, const void *b);

int main(void)
{
	print_costs();
	printf("bench retry_amplification %.4f 1\n", retry_amplification());
	printf("bench goodput_ratio_at_2x %.3f 1\n", goodput_ratio(true));
	printf("bench goodput_ratio_at_2x_admission_off %.3f 1\n",
	       goodput_ratio(false));
	printf("bench p99_ratio_slow_endpoint_virtual %.2f 1\n",
	       p99_latency(true, SLOW_FACTOR) / p99_latency(true, 1));
	printf("bench p99_ratio_slow_endpoint_random %.2f 1\n",
	       p99_latency(false, SLOW_FACTOR) / p99_latency(false, 1));
	return 0;
}

static void sim_init(struct sim *s, unsigned int n_backends, bool load_aware,
		     bool bounded)
{
	struct cl_router_options router = {"caller", "dc1", "r1", load_aware};
	struct cl_admit_options admit = {SLOTS, SLOTS, QUEUE_CALLS, true,
					 bounded};

	memset(s, 0, sizeof(*s));
	s->router = cl_router_new(&router);
	s->n_backends = n_backends;
	s->events = g_sequence_new(NULL);
	s->rand.state = 1;
	s->now = BA_HOUR;
	s->latencies = g_array_new(FALSE, FALSE, sizeof(ba_time));
	for (unsigned int i = 0; i < n_backends; i++) {
		s->backends[i].admit = cl_admit_new(&admit);
		s->backends[i].slow_factor = 1;
	}
	add_endpoints(s->router, n_backends);
}

static void sim_run(struct sim *s, double rate)
{
	s->rate = rate;
	s->arrivals_left = CALLS;
	add_event(s, g_new0(struct call, 1), s->now);
	while (!g_sequence_is_empty(s->events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(s->events);
		struct call *c = g_sequence_get(first);

		g_sequence_remove(first);
		s->now = c->at;
		if (c->is_running)
			end_call(s, c);
		else
			arrive_call(s, c);
	}
}

static void sim_clear(struct sim *s)
{
	for (unsigned int i = 0; i < s->n_backends; i++)
		cl_admit_free(s->backends[i].admit);
	cl_router_free(s->router);
	g_sequence_free(s->events);
	g_array_free(s->latencies, TRUE);
}

static void arrive_call(struct sim *s, struct call *c)
{
	struct cl_pick_request q = {.service = SERVICE, .may_probe = true};
	double u =
		(double)(ba_rand_next(&s->rand) >> 11) / (double)(1ULL << 53);
	enum cl_route_reason route_reason;
	enum cl_admit_reason reason;

	if (--s->arrivals_left)
		add_event(s, g_new0(struct call, 1),
			  s->now +
				  (ba_time)(-log(1 - u) * BA_SECOND / s->rate));
	c->arrived = s->now;
	c->admission.weight = 1;
	c->admission.deadline = s->now + DEADLINE;
	c->endpoint =
		cl_route_pick(s->router, &q, s->now, &s->rand, &route_reason);
	c->backend = &s->backends[atoi(c->endpoint->instance)];
	switch (cl_admit_arrive(c->backend->admit, &c->admission, s->now,
				&reason)) {
	case CL_ADMIT_START:
		start_call(s, c);
		break;
	case CL_ADMIT_REFUSE:
		refuse_call(s, c);
		break;
	default:
		break;
	}
	run_queue(s, &s->backends[0]);
}

/* More calls than slots share the processor, so that each one takes longer. */
static void start_call(struct sim *s, struct call *c)
{
	struct backend *b = c->backend;
	ba_time time = SERVICE_TIME / 2 +
		       (ba_time)ba_rand_below(&s->rand, SERVICE_TIME);

	b->running++;
	time *= b->slow_factor;
	if (b->running > SLOTS)
		time = time * b->running / SLOTS;
	c->is_running = true;
	add_event(s, c, s->now + time);
}

static void end_call(struct sim *s, struct call *c)
{
	struct backend *b = c->backend;
	ba_time latency = s->now - c->arrived;

	b->running--;
	cl_admit_done(b->admit, &c->admission, CL_ADMIT_SERVED, s->now);
	cl_route_done(s->router, c->endpoint,
		      latency > DEADLINE * SLOW_FACTOR ? CL_ATTEMPT_TIMEOUT
						       : CL_ATTEMPT_ANSWERED,
		      latency, s->now);
	s->in_time += latency <= DEADLINE;
	g_array_append_val(s->latencies, latency);
	g_free(c);
	run_queue(s, b);
}

static void run_queue(struct sim *s, struct backend *b)
{
	enum cl_admit_reason reason;
	enum cl_admit_action act;
	struct cl_admit_call *a;

	while ((a = cl_admit_next(b->admit, s->now, &act, &reason))) {
		struct call *c = ba_entry(a, struct call, admission);

		if (act == CL_ADMIT_START)
			start_call(s, c);
		else
			refuse_call(s, c);
	}
}

static void refuse_call(struct sim *s, struct call *c)
{
	cl_route_done(s->router, c->endpoint, CL_ATTEMPT_OVERLOADED,
		      s->now - c->arrived, s->now);
	g_free(c);
}

static void add_event(struct sim *s, struct call *c, ba_time at)
{
	c->at = at;
	g_sequence_insert_sorted(s->events, c, compare_events, NULL);
}

static gint compare_events(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct call *x = a;
	const struct call *y = b;

	(void)user;
	return (x->at > y->at) - (x->at < y->at);
}

static void add_endpoints(struct cl_router *r, unsigned int n)
{
	static char names[ENDPOINTS_LIMIT][4];
	struct ep_record records[ENDPOINTS_LIMIT];
	struct ep_service_view service = {SERVICE, records, n};
	struct ep_view view = {
		.services = &service,
		.n_services = 1,
		.generation = 1,
		.refs = 1,
	};

	memset(records, 0, sizeof(records));
	for (unsigned int i = 0; i < n; i++) {
		snprintf(names[i], sizeof(names[i]), "%u", i);
		records[i].instance = names[i];
		records[i].data_centre = "dc1";
		records[i].region = "r1";
		records[i].address = "192.0.2.1:1";
		records[i].external_address = "";
		records[i].incarnation = 1;
		records[i].slots = SLOTS;
	}
	cl_router_update(r, &view, BA_HOUR - BA_MINUTE);
}

/* Answers by the deadline per second, at @load times the saturation rate. */
static double goodput(double load, bool bounded)
{
	struct sim s;
	double rate = load * SLOTS * (double)BA_SECOND / (double)SERVICE_TIME;
	double result;

	sim_init(&s, 1, true, bounded);
	sim_run(&s, rate);
	result = s.in_time / (CALLS / rate);
	sim_clear(&s);
	return result;
}

static double goodput_ratio(bool bounded)
{
	static const double loads[] = {0.7, 0.8, 0.9, 1.0, 1.1};
	double peak = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++)
		peak = MAX(peak, goodput(loads[i], bounded));
	return goodput(2, bounded) / peak;
}

static double p99_latency(bool load_aware, unsigned int slow_factor)
{
	struct sim s;
	guint rank;
	ba_time latency;

	sim_init(&s, ENDPOINTS, load_aware, true);
	s.backends[1].slow_factor = slow_factor;
	sim_run(&s, 300);
	qsort(s.latencies->data, s.latencies->len, sizeof(ba_time),
	      compare_times);
	rank = s.latencies->len * 99 / 100;
	latency = g_array_index(s.latencies, ba_time, rank);
	sim_clear(&s);
	return (double)latency;
}

/* Attempts per call while no backend server can be reached. */
static double retry_amplification(void)
{
	unsigned int attempts = 0;
	struct cl_retry r;

	cl_retry_init(&r);
	for (int i = 0; i < FAILING_CALLS; i++) {
		struct cl_failure f = {
			CL_BACKEND_UNREACHABLE, true, false, 0, BA_SECOND, 0};
		enum cl_retry_reason reason;

		do {
			attempts++;
			f.attempts++;
		} while (cl_retry_decide(&r, &f, 0, &reason));
	}
	return (double)attempts / FAILING_CALLS;
}

static void print_costs(void)
{
	printf("bench route_ns %.0f ns\n", route_cost_ns(ENDPOINTS, false));
	printf("bench route_33_ns %.0f ns\n", route_cost_ns(33, false));
	printf("bench route_158_ns %.0f ns\n", route_cost_ns(158, false));
	printf("bench route_by_time_33_ns %.0f ns\n", route_cost_ns(33, true));
	printf("bench route_by_time_158_ns %.0f ns\n",
	       route_cost_ns(158, true));
	printf("bench admit_ns %.0f ns\n", admission_cost_ns());
	printf("bench key_ns %.0f ns\n", key_cost_ns());
}

static double route_cost_ns(unsigned int n, bool states_work)
{
	struct sim s;
	ba_time from;
	ba_time took;

	sim_init(&s, 0, true, true);
	add_endpoints(s.router, n);
	from = ba_clock_now();
	for (int i = 0; i < ROUNDS; i++) {
		struct cl_pick_request q = {.service = SERVICE,
					    .may_probe = true};
		const struct cl_place_report report = {
			.calls = 1,
			.slots = SLOTS,
			.speed = 100,
			.hold = SERVICE_TIME,
		};
		enum cl_route_reason reason;
		struct cl_endpoint *e =
			cl_route_pick(s.router, &q, s.now, &s.rand, &reason);

		if (states_work)
			cl_route_record_work(s.router, e, &report, SERVICE_TIME,
					     s.now);
		cl_route_done(s.router, e, CL_ATTEMPT_ANSWERED, SERVICE_TIME,
			      s.now);
	}
	took = ba_clock_now() - from;
	sim_clear(&s);
	return 1000.0 * (double)took / ROUNDS;
}

static double admission_cost_ns(void)
{
	struct sim s;
	ba_time from;
	ba_time took;

	sim_init(&s, 1, true, true);
	from = ba_clock_now();
	for (int i = 0; i < ROUNDS; i++) {
		struct cl_admit_call a = {.weight = 1,
					  .deadline = s.now + BA_SECOND};
		enum cl_admit_reason reason;

		cl_admit_arrive(s.backends[0].admit, &a, s.now, &reason);
		s.now += BA_MS;
		cl_admit_done(s.backends[0].admit, &a, CL_ADMIT_SERVED, s.now);
	}
	took = ba_clock_now() - from;
	sim_clear(&s);
	return 1000.0 * (double)took / ROUNDS;
}

/* Parses a key, begins its call and records the answer. */
static double key_cost_ns(void)
{
	struct cl_dedup_options o = {0, CL_DEDUP_MAX_KEYS, CL_DEDUP_MAX_BYTES};
	struct cl_dedup *d = cl_dedup_new(&o);
	struct ba_digest request = ba_digest("r", 1);
	ba_time wall = ba_clock_wall();
	ba_time from = ba_clock_now();
	ba_time took;

	for (int i = 0; i < KEYS; i++) {
		const struct ba_buf *answer;
		char text[CL_KEY_TEXT_BYTES];
		struct cl_key key;
		int code;

		snprintf(text, sizeof(text), "dc1.%lld.key-%d",
			 (long long)(wall / BA_MS), i);
		cl_key_parse(text, &key);
		cl_dedup_begin(d, &key, &request, wall, &code, &answer);
		cl_dedup_record_answer(d, text, text, sizeof(text));
	}
	took = ba_clock_now() - from;
	cl_dedup_free(d);
	return 1000.0 * (double)took / KEYS;
}

static int compare_times(const void *a, const void *b)
{
	ba_time x = *(const ba_time *)a;
	ba_time y = *(const ba_time *)b;

	return (x > y) - (x < y);
}
