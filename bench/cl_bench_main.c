/*
 * Decisions about calls: what each costs, and what they do under overload,
 * beside a slow endpoint and at total failure, in virtual time.  The
 * baselines run in the same process.
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
	SLOTS = 12,
	CALLS = 60000,
	FAILING_CALLS = 20000,
	KEYS = 20000,
	SLOWER = 10,
	QUEUE = 4 * SLOTS,
};

#define WORK (6 * BA_MS)
#define PATIENCE (50 * BA_MS)
#define SERVICE "plans"

/* A call in virtual time: it arrives, or it ends, at @at. */
struct call {
	struct cl_admit_call ticket;
	struct cl_endpoint *endpoint;
	struct host *host;
	ba_time arrived;
	ba_time at;
	bool ends;
};

struct host {
	struct cl_admit *admit;
	unsigned int running;
	unsigned int slower;
};

struct sim {
	struct cl_router *router;
	struct host hosts[ENDPOINTS];
	unsigned int n_hosts;
	GSequence *events;
	struct ba_rand rand;
	ba_time now;
	double rate;
	unsigned int left;
	unsigned int good;
	GArray *latencies;
};

static void sim_init(struct sim *s, unsigned int n_hosts, bool first_hand,
		     bool bounded);
static void sim_run(struct sim *s, double rate);
static void sim_clear(struct sim *s);
static void arrive(struct sim *s, struct call *c);
static void start(struct sim *s, struct call *c);
static void end(struct sim *s, struct call *c);
static void pump(struct sim *s, struct host *h);
static void drop(struct sim *s, struct call *c);
static void schedule(struct sim *s, struct call *c, ba_time at);
static gint compare(gconstpointer a, gconstpointer b, gpointer user);
static void show_endpoints(struct cl_router *r, unsigned int n);
static double goodput(double load, bool bounded);
static double goodput_ratio(bool bounded);
static double p99(bool first_hand, unsigned int slower);
static double amplification(void);
static void costs(void);
static double cost_of_routing(void);
static double cost_of_admission(void);
static double cost_of_key(void);
static int compare_times(const void *a, const void *b);

int main(void)
{
	costs();
	printf("bench retry_amplification %.4f 1\n", amplification());
	printf("bench goodput_ratio_at_2x %.3f 1\n", goodput_ratio(true));
	printf("bench goodput_ratio_at_2x_admission_off %.3f 1\n",
	       goodput_ratio(false));
	printf("bench p99_ratio_slow_endpoint_virtual %.2f 1\n",
	       p99(true, SLOWER) / p99(true, 1));
	printf("bench p99_ratio_slow_endpoint_random %.2f 1\n",
	       p99(false, SLOWER) / p99(false, 1));
	return 0;
}

static void sim_init(struct sim *s, unsigned int n_hosts, bool first_hand,
		     bool bounded)
{
	struct cl_router_options router = {"caller", "dc1", "r1", first_hand};
	struct cl_admit_options admit = {SLOTS, SLOTS, QUEUE, true, bounded};

	memset(s, 0, sizeof(*s));
	s->router = cl_router_new(&router);
	s->n_hosts = n_hosts;
	s->events = g_sequence_new(NULL);
	s->rand.state = 1;
	s->now = BA_HOUR;
	s->latencies = g_array_new(FALSE, FALSE, sizeof(ba_time));
	for (unsigned int i = 0; i < n_hosts; i++) {
		s->hosts[i].admit = cl_admit_new(&admit);
		s->hosts[i].slower = 1;
	}
	show_endpoints(s->router, n_hosts);
}

static void sim_run(struct sim *s, double rate)
{
	s->rate = rate;
	s->left = CALLS;
	schedule(s, g_new0(struct call, 1), s->now);
	while (!g_sequence_is_empty(s->events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(s->events);
		struct call *c = g_sequence_get(first);

		g_sequence_remove(first);
		s->now = c->at;
		if (c->ends)
			end(s, c);
		else
			arrive(s, c);
	}
}

static void sim_clear(struct sim *s)
{
	for (unsigned int i = 0; i < s->n_hosts; i++)
		cl_admit_free(s->hosts[i].admit);
	cl_router_free(s->router);
	g_sequence_free(s->events);
	g_array_free(s->latencies, TRUE);
}

static void arrive(struct sim *s, struct call *c)
{
	struct cl_pick_request q = {.service = SERVICE, .may_probe = true};
	double u =
		(double)(ba_rand_next(&s->rand) >> 11) / (double)(1ULL << 53);
	enum cl_route_reason why;
	enum cl_admit_reason reason;

	if (--s->left)
		schedule(s, g_new0(struct call, 1),
			 s->now + (ba_time)(-log(1 - u) * BA_SECOND / s->rate));
	c->arrived = s->now;
	c->ticket.weight = 1;
	c->ticket.deadline = s->now + PATIENCE;
	c->endpoint = cl_route_pick(s->router, &q, s->now, &s->rand, &why);
	c->host = &s->hosts[atoi(c->endpoint->instance)];
	switch (cl_admit_arrive(c->host->admit, &c->ticket, s->now, &reason)) {
	case CL_ADMIT_START:
		start(s, c);
		break;
	case CL_ADMIT_REFUSE:
		drop(s, c);
		break;
	default:
		break;
	}
	pump(s, &s->hosts[0]);
}

/* Above its slots a backend server shares its processor among all calls. */
static void start(struct sim *s, struct call *c)
{
	struct host *h = c->host;
	ba_time work = WORK / 2 + (ba_time)ba_rand_below(&s->rand, WORK);

	h->running++;
	work *= h->slower;
	if (h->running > SLOTS)
		work = work * h->running / SLOTS;
	c->ends = true;
	schedule(s, c, s->now + work);
}

static void end(struct sim *s, struct call *c)
{
	struct host *h = c->host;
	ba_time took = s->now - c->arrived;

	h->running--;
	cl_admit_done(h->admit, &c->ticket, CL_ADMIT_SERVED, s->now);
	cl_route_done(s->router, c->endpoint,
		      took > PATIENCE * SLOWER ? CL_ATTEMPT_TIMEOUT
					       : CL_ATTEMPT_ANSWERED,
		      took, s->now);
	s->good += took <= PATIENCE;
	g_array_append_val(s->latencies, took);
	g_free(c);
	pump(s, h);
}

static void pump(struct sim *s, struct host *h)
{
	enum cl_admit_reason reason;
	enum cl_admit_action act;
	struct cl_admit_call *t;

	while ((t = cl_admit_next(h->admit, s->now, &act, &reason))) {
		struct call *c = ba_entry(t, struct call, ticket);

		if (act == CL_ADMIT_START)
			start(s, c);
		else
			drop(s, c);
	}
}

static void drop(struct sim *s, struct call *c)
{
	cl_route_done(s->router, c->endpoint, CL_ATTEMPT_OVERLOADED,
		      s->now - c->arrived, s->now);
	g_free(c);
}

static void schedule(struct sim *s, struct call *c, ba_time at)
{
	c->at = at;
	g_sequence_insert_sorted(s->events, c, compare, NULL);
}

static gint compare(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct call *x = a;
	const struct call *y = b;

	(void)user;
	return (x->at > y->at) - (x->at < y->at);
}

static void show_endpoints(struct cl_router *r, unsigned int n)
{
	static char names[ENDPOINTS][4];
	struct ep_record records[ENDPOINTS];
	struct ep_service_view service = {SERVICE, records, n};
	struct ep_view view = {&service, 1, 1, 1};

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

/* Answers in time for each second, at @load times saturation. */
static double goodput(double load, bool bounded)
{
	struct sim s;
	double rate = load * SLOTS * (double)BA_SECOND / (double)WORK;
	double good;

	sim_init(&s, 1, true, bounded);
	sim_run(&s, rate);
	good = s.good / (CALLS / rate);
	sim_clear(&s);
	return good;
}

static double goodput_ratio(bool bounded)
{
	static const double loads[] = {0.7, 0.8, 0.9, 1.0, 1.1};
	double peak = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++)
		peak = MAX(peak, goodput(loads[i], bounded));
	return goodput(2, bounded) / peak;
}

static double p99(bool first_hand, unsigned int slower)
{
	struct sim s;
	guint rank;
	ba_time at;

	sim_init(&s, ENDPOINTS, first_hand, true);
	s.hosts[1].slower = slower;
	sim_run(&s, 300);
	qsort(s.latencies->data, s.latencies->len, sizeof(ba_time),
	      compare_times);
	rank = s.latencies->len * 99 / 100;
	at = g_array_index(s.latencies, ba_time, rank);
	sim_clear(&s);
	return (double)at;
}

/* Attempts for each call while nothing answers. */
static double amplification(void)
{
	unsigned int attempts = 0;
	struct cl_retry r;

	cl_retry_init(&r);
	for (int i = 0; i < FAILING_CALLS; i++) {
		struct cl_failure f = {CL_BACKEND_UNREACHABLE, true, false, 0,
				       BA_SECOND};
		enum cl_retry_reason reason;

		do {
			attempts++;
			f.attempts++;
		} while (cl_retry_decide(&r, &f, 0, &reason));
	}
	return (double)attempts / FAILING_CALLS;
}

static void costs(void)
{
	printf("bench route_ns %.0f ns\n", cost_of_routing());
	printf("bench admit_ns %.0f ns\n", cost_of_admission());
	printf("bench key_ns %.0f ns\n", cost_of_key());
}

static double cost_of_routing(void)
{
	struct sim s;
	ba_time from;
	ba_time took;

	sim_init(&s, ENDPOINTS, true, true);
	from = ba_clock_now();
	for (int i = 0; i < ROUNDS; i++) {
		struct cl_pick_request q = {.service = SERVICE,
					    .may_probe = true};
		enum cl_route_reason why;
		struct cl_endpoint *e =
			cl_route_pick(s.router, &q, s.now, &s.rand, &why);

		cl_route_done(s.router, e, CL_ATTEMPT_ANSWERED, WORK, s.now);
	}
	took = ba_clock_now() - from;
	sim_clear(&s);
	return 1000.0 * (double)took / ROUNDS;
}

static double cost_of_admission(void)
{
	struct sim s;
	ba_time from;
	ba_time took;

	sim_init(&s, 1, true, true);
	from = ba_clock_now();
	for (int i = 0; i < ROUNDS; i++) {
		struct cl_admit_call t = {.weight = 1,
					  .deadline = s.now + BA_SECOND};
		enum cl_admit_reason reason;

		cl_admit_arrive(s.hosts[0].admit, &t, s.now, &reason);
		s.now += BA_MS;
		cl_admit_done(s.hosts[0].admit, &t, CL_ADMIT_SERVED, s.now);
	}
	took = ba_clock_now() - from;
	sim_clear(&s);
	return 1000.0 * (double)took / ROUNDS;
}

/* Parsing a key, running it once and keeping its answer. */
static double cost_of_key(void)
{
	struct cl_dedup_options o = {0, CL_DEDUP_MAX_KEYS, CL_DEDUP_MAX_BYTES};
	struct cl_dedup *t = cl_dedup_new(&o);
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
		cl_dedup_begin(t, &key, &request, wall, &code, &answer);
		cl_dedup_answered(t, text, text, sizeof(text));
	}
	took = ba_clock_now() - from;
	cl_dedup_free(t);
	return 1000.0 * (double)took / KEYS;
}

static int compare_times(const void *a, const void *b)
{
	ba_time x = *(const ba_time *)a;
	ba_time y = *(const ba_time *)b;

	return (x > y) - (x < y);
}
