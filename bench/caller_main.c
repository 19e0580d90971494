/*
 * Stand-in for a caller: open-loop arrivals at one or several daemons, with
 * Idempotency-Keys and deadlines.  It checks that each answer is complete and
 * belongs to its call, repeats a call under the same key if the answer was
 * lost, and compares the outcomes with the runs that the backend servers
 * counted.
 */
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "base/ba_list.h"
#include "base/ba_loop.h"
#include "base/ba_rand.h"
#include "base/ba_result.h"
#include "bench/bn.h"
#include "bench/bn_http.h"
#include "bench/bn_tally.h"

enum {
	MAX_KINDS = 16,
	MAX_DAEMONS = 512,
	ITEMS_PER_KIND = 40,
	MAX_IN_FLIGHT = 4096,
	URL_BYTES = 512,
	PATH_BYTES = 256,
	ID_BYTES = 64,
	KEY_BYTES = 160,
	NS_PER_US = 1000,
	HTTP_OK_FIRST = 200,
	HTTP_OK_LAST = 299,
	HTTP_BAD_GATEWAY = 502,
	HTTP_UNAVAILABLE = 503,
	HTTP_GATEWAY_TIMEOUT = 504,
	HTTP_CONFLICT = 409,
};

#define RESEND_DELAY (100 * BA_MS)
#define PROGRESS_INTERVAL BA_SECOND

/* A kind of call, its weight, and the data centres that accept its keys. */
struct kind {
	char *method;
	char *path;
	int weight;
	char **homes;
};

struct caller {
	struct ba_loop *loop;
	struct bn_http *http;
	struct bn_tally *tally;
	struct ba_rand rand;
	struct ba_watch arrival;
	struct ba_timer progress;
	struct kind kinds[MAX_KINDS];
	int n_kinds;
	int total_weight;
	char **daemons;
	unsigned int n_daemons;
	char **backends;
	char **preferred_homes;
	char *name;
	double rate;
	int count;
	int resends;
	bool show_progress;
	ba_time time_limit; /* from the arrival of a call to its deadline */
	ba_time started;
	ba_time next_arrival;
	uint64_t n_arrivals;
	uint64_t skipped; /* arrivals above MAX_IN_FLIGHT */
	int in_flight;
	bool stopping;
};

struct call {
	struct bn_request request;
	struct caller *caller;
	struct ba_timer resend_timer;
	struct kind *kind;
	bool keyed;
	int item;
	int attempts;
	unsigned int daemon;
	ba_time arrival;
	ba_time deadline;
	char id[ID_BYTES];
	char home[ID_BYTES];
	char key[KEY_BYTES];
	char url[URL_BYTES];
	char path[PATH_BYTES];
	char body[PATH_BYTES];
};

static void read_options(struct caller *c, int argc, char **argv);
static void add_kind(struct caller *c, const char *text);
static void free_options(struct caller *c);
static void arm_arrival(struct caller *c);
static void on_arrival(struct ba_watch *w, unsigned int bits);
static void begin_call(struct caller *c);
static struct kind *pick_kind(struct caller *c);
static void issue_key(struct call *k);
static const char *pick_home(struct caller *c, char **homes, bool preferred);
static void update_homes(struct call *k);
static void send_call(struct call *k);
static void on_answer(struct bn_request *r);
static enum bn_outcome classify_answer(const struct call *k);
static enum bn_outcome classify_refusal(const struct bn_request *r);
static bool is_valid_answer(const struct call *k);
static bool should_resend(const struct call *k, enum bn_outcome o);
static bool should_issue_new_key(const struct call *k, enum bn_outcome o);
static void on_resend_timer(struct ba_timer *t, ba_time now);
static void end_call(struct call *k, enum bn_outcome o);
static void on_progress(struct ba_timer *t, ba_time now);
static void on_signal(int signo, void *arg);
static void stop_when_idle(struct caller *c);
static void fetch_counts(struct caller *c);
static void on_counts(struct bn_request *r);

int main(int argc, char **argv)
{
	struct caller c = {0};
	struct ba_buf out = {0};
	ba_time elapsed;

	read_options(&c, argc, argv);
	c.loop = ba_loop_new();
	c.http = bn_http_new(c.loop);
	c.tally = bn_tally_new();
	ba_loop_signals(c.loop, on_signal, &c);
	c.arrival.fd =
		timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	c.arrival.ready = on_arrival;
	ba_loop_watch(c.loop, &c.arrival, BA_READABLE);
	c.progress.fire = on_progress;
	if (c.show_progress)
		ba_loop_arm(c.loop, &c.progress,
			    ba_clock_now() + PROGRESS_INTERVAL);
	c.started = ba_clock_now();
	c.next_arrival = c.started;
	arm_arrival(&c);
	ba_loop_run(c.loop);
	elapsed = ba_clock_now() - c.started;
	fetch_counts(&c);
	bn_tally_write_json(c.tally, elapsed, &out);
	fwrite(out.data, 1, out.len, stdout);
	if (c.skipped)
		fprintf(stderr,
			"%" PRIu64 " arrivals skipped: %d calls in flight\n",
			c.skipped, MAX_IN_FLIGHT);
	bn_http_free(c.http);
	bn_tally_free(c.tally);
	ba_buf_free(&out);
	close(c.arrival.fd);
	ba_loop_free(c.loop);
	free_options(&c);
	return 0;
}

static void read_options(struct caller *c, int argc, char **argv)
{
	char **kinds = NULL;
	char *deadline = NULL;
	gint64 seed = 1;
	gboolean progress = FALSE;
	const GOptionEntry entries[] = {
		{"daemon", 0, 0, G_OPTION_ARG_STRING_ARRAY, &c->daemons,
		 "Daemon that is called; may be repeated", "IP:PORT"},
		{"backend", 0, 0, G_OPTION_ARG_STRING_ARRAY, &c->backends,
		 "Backend server to compare with; may be repeated", "IP:PORT"},
		{"call", 0, 0, G_OPTION_ARG_STRING_ARRAY, &kinds,
		 "A kind of call and its share; may be repeated",
		 "METHOD,PATH,WEIGHT"},
		{"home", 0, 0, G_OPTION_ARG_STRING_ARRAY, &c->preferred_homes,
		 "Preferred home of keys; may be repeated", "NAME"},
		{"rate", 0, 0, G_OPTION_ARG_DOUBLE, &c->rate,
		 "Arrivals a second, over all daemons", "N"},
		{"count", 0, 0, G_OPTION_ARG_INT, &c->count,
		 "Calls in all; until SIGTERM when not given", "N"},
		{"deadline", 0, 0, G_OPTION_ARG_STRING, &deadline,
		 "Time a call may take", "TIME"},
		{"resend", 0, 0, G_OPTION_ARG_INT, &c->resends,
		 "Times a call is sent again after a lost answer", "N"},
		{"name", 0, 0, G_OPTION_ARG_STRING, &c->name,
		 "Prefix of keys and ids", "NAME"},
		{"seed", 0, 0, G_OPTION_ARG_INT64, &seed,
		 "Seed of arrivals and choices", "N"},
		{"progress", 0, 0, G_OPTION_ARG_NONE, &progress,
		 "Print a line each second", NULL},
		G_OPTION_ENTRY_NULL,
	};

	c->rate = 100;
	bn_parse_options(&argc, &argv, entries);
	c->time_limit =
		bn_parse_duration("deadline", deadline ? deadline : "2s");
	c->rand.state = (uint64_t)seed;
	c->show_progress = progress;
	c->n_daemons = c->daemons ? g_strv_length(c->daemons) : 0;
	if (!c->name)
		c->name = g_strdup_printf("c%" PRId64, ba_clock_wall());
	for (char **k = kinds; k && *k; k++)
		add_kind(c, *k);
	if (!c->n_kinds || !c->n_daemons || c->rate <= 0) {
		fprintf(stderr,
			"%s: --daemon, --call and a positive --rate are required\n",
			argv[0]);
		exit(ba_result_info(BA_USAGE)->exit_code);
	}
	g_strfreev(kinds);
	g_free(deadline);
}

static void add_kind(struct caller *c, const char *text)
{
	char **part = g_strsplit(text, ",", 3);
	struct kind *k = &c->kinds[c->n_kinds];

	if (g_strv_length(part) != 3 || c->n_kinds == MAX_KINDS) {
		fprintf(stderr, "--call=%s: expected METHOD,PATH,WEIGHT\n",
			text);
		exit(ba_result_info(BA_USAGE)->exit_code);
	}
	c->n_kinds++;
	k->method = part[0];
	k->path = part[1];
	k->weight = atoi(part[2]);
	c->total_weight += k->weight;
	g_free(part[2]);
	g_free(part);
}

static void free_options(struct caller *c)
{
	for (int i = 0; i < c->n_kinds; i++) {
		g_free(c->kinds[i].method);
		g_free(c->kinds[i].path);
		g_strfreev(c->kinds[i].homes);
	}
	g_strfreev(c->daemons);
	g_strfreev(c->backends);
	g_strfreev(c->preferred_homes);
	g_free(c->name);
}

static void arm_arrival(struct caller *c)
{
	struct itimerspec spec = {0};

	spec.it_value.tv_sec = c->next_arrival / BA_SECOND;
	spec.it_value.tv_nsec = c->next_arrival % BA_SECOND * NS_PER_US;
	timerfd_settime(c->arrival.fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

/*
 * Interarrival times are exponential.  Arrivals that are overdue are sent at
 * once, so that a busy process doesn't lower the rate.
 */
static void on_arrival(struct ba_watch *w, unsigned int bits)
{
	struct caller *c = ba_entry(w, struct caller, arrival);
	uint64_t expirations;

	(void)bits;
	if (read(w->fd, &expirations, sizeof(expirations)) < 0 || c->stopping)
		return;
	while (c->next_arrival <= ba_clock_now() && !c->stopping) {
		double u = (double)(ba_rand_next(&c->rand) >> 11) /
			   (double)(1ULL << 53);

		begin_call(c);
		c->next_arrival +=
			(ba_time)(-log(1.0 - u) * BA_SECOND / c->rate);
		if (c->count && c->n_arrivals >= (uint64_t)c->count)
			c->stopping = true;
	}
	if (!c->stopping)
		arm_arrival(c);
	stop_when_idle(c);
}

static void begin_call(struct caller *c)
{
	struct call *k;

	c->n_arrivals++;
	if (c->in_flight >= MAX_IN_FLIGHT) {
		c->skipped++;
		return;
	}
	c->in_flight++;
	k = g_new0(struct call, 1);
	k->caller = c;
	k->kind = pick_kind(c);
	k->keyed = strcmp(k->kind->method, "GET") != 0;
	k->item = (int)ba_rand_below(&c->rand, ITEMS_PER_KIND);
	k->daemon = (unsigned int)ba_rand_below(&c->rand, c->n_daemons);
	k->arrival = c->next_arrival;
	k->deadline = k->arrival + c->time_limit;
	k->resend_timer.fire = on_resend_timer;
	snprintf(k->id, sizeof(k->id), "%s-%" PRIu64, c->name, c->n_arrivals);
	snprintf(k->path, sizeof(k->path), "%s/item-%d", k->kind->path,
		 k->item);
	snprintf(k->body, sizeof(k->body), "{\"id\":\"%s\"}\n", k->id);
	k->request.done = on_answer;
	k->request.url = k->url;
	k->request.method = k->kind->method;
	if (k->keyed) {
		issue_key(k);
		k->request.key = k->key;
		k->request.body = k->body;
	}
	send_call(k);
}

static struct kind *pick_kind(struct caller *c)
{
	int n = (int)ba_rand_below(&c->rand, (uint64_t)c->total_weight);
	struct kind *k = c->kinds;

	while (n >= k->weight) {
		n -= k->weight;
		k++;
	}
	return k;
}

/* A key consists of its home, the time of its issue in ms and the call's id. */
static void issue_key(struct call *k)
{
	struct caller *c = k->caller;
	const char *home = pick_home(c, k->kind->homes, true);

	if (!home)
		home = pick_home(c, k->kind->homes, false);
	if (!home)
		home = pick_home(c, c->preferred_homes, false);
	g_strlcpy(k->home, home ? home : "home", sizeof(k->home));
	snprintf(k->key, sizeof(k->key), "%s.%" PRId64 ".%s", k->home,
		 ba_clock_wall() / BA_MS, k->id);
}

/* Picks one of @homes at random; if @preferred, one that --home names, too. */
static const char *pick_home(struct caller *c, char **homes, bool preferred)
{
	const char *picked = NULL;
	uint64_t n = 0;

	for (char **h = homes; h && *h; h++) {
		if (preferred &&
		    (!c->preferred_homes ||
		     !g_strv_contains((const char *const *)c->preferred_homes,
				      *h)))
			continue;
		n++;
		if (!ba_rand_below(&c->rand, n))
			picked = *h;
	}
	return picked;
}

/* Only an answer that means "not run" may name other homes. */
static void update_homes(struct call *k)
{
	g_strfreev(k->kind->homes);
	k->kind->homes = g_strsplit(k->request.homes, " ", -1);
}

static void send_call(struct call *k)
{
	k->attempts++;
	snprintf(k->url, sizeof(k->url), "http://%s%s?id=%s",
		 k->caller->daemons[k->daemon], k->path, k->id);
	k->request.id = k->id;
	k->request.time_left = k->deadline - ba_clock_now();
	bn_http_send(k->caller->http, &k->request);
}

static void on_answer(struct bn_request *r)
{
	struct call *k = ba_entry(r, struct call, request);
	enum bn_outcome o = classify_answer(k);

	bn_tally_add_attempt(k->caller->tally, k->keyed ? k->key : k->id,
			     k->keyed, o);
	if (should_issue_new_key(k, o)) {
		update_homes(k);
		issue_key(k);
	} else if (!should_resend(k, o)) {
		end_call(k, o);
		return;
	}
	k->daemon = (k->daemon + 1) % k->caller->n_daemons;
	ba_loop_arm(k->caller->loop, &k->resend_timer,
		    ba_clock_now() + (o == BN_REFUSED ? 0 : RESEND_DELAY));
}

static enum bn_outcome classify_answer(const struct call *k)
{
	const struct bn_request *r = &k->request;

	if (r->transport == BN_NOT_SENT)
		return BN_REFUSED;
	if (r->transport == BN_INCOMPLETE)
		return BN_LOST;
	if (r->status < HTTP_OK_FIRST || r->status > HTTP_OK_LAST)
		return classify_refusal(r);
	return is_valid_answer(k) ? BN_ANSWERED : BN_WRONG;
}

/*
 * Classifies a refusal by its result code, or by its status if it has none, as
 * from a backend server that is called directly.
 */
static enum bn_outcome classify_refusal(const struct bn_request *r)
{
	switch (r->result) {
	case CL_DEADLINE_PASSED:
	case CL_KEY_STALE:
	case CL_MAY_HAVE_RUN:
	case CL_ANSWER_BROKEN:
	case CL_KEY_IN_PROGRESS:
	case CL_CANCELLED:
	case BA_INTERNAL:
		return BN_MAY_HAVE_RUN;
	case BA_OK:
	case -1:
		break;
	default:
		return BN_NOT_RUN;
	}
	return r->status == HTTP_BAD_GATEWAY ||
			       r->status == HTTP_GATEWAY_TIMEOUT ||
			       r->status == HTTP_CONFLICT
		       ? BN_MAY_HAVE_RUN
		       : BN_NOT_RUN;
}

static bool is_valid_answer(const struct call *k)
{
	const struct ba_buf *a = &k->request.answer;

	if (k->request.etag[0])
		return bn_download_check(k->path, k->request.etag, a->data,
					 a->len);
	return bn_answer_check(a->data, a->len, k->id);
}

static bool should_resend(const struct call *k, enum bn_outcome o)
{
	if (o == BN_ANSWERED || o == BN_NOT_RUN || o == BN_WRONG)
		return false;
	return k->attempts <= k->caller->resends &&
	       ba_clock_now() + RESEND_DELAY < k->deadline;
}

/*
 * The key has no owner and the call was not run: it can be repeated under a
 * key of a home that has an owner.
 */
static bool should_issue_new_key(const struct call *k, enum bn_outcome o)
{
	return o == BN_NOT_RUN && k->request.homes[0] &&
	       k->attempts <= k->caller->resends &&
	       ba_clock_now() + RESEND_DELAY < k->deadline;
}

static void on_resend_timer(struct ba_timer *t, ba_time now)
{
	(void)now;
	send_call(ba_entry(t, struct call, resend_timer));
}

static void end_call(struct call *k, enum bn_outcome o)
{
	struct caller *c = k->caller;

	bn_tally_add_call(c->tally, o, ba_clock_now() - k->arrival);
	c->in_flight--;
	ba_buf_free(&k->request.answer);
	g_free(k);
	stop_when_idle(c);
}

static void on_progress(struct ba_timer *t, ba_time now)
{
	struct caller *c = ba_entry(t, struct caller, progress);

	fprintf(stderr,
		"%3" PRId64 " s: %" PRIu64 " calls, %" PRIu64
		" answered, %" PRIu64 " not run, %" PRIu64
		" may have run, %" PRIu64 " lost, %" PRIu64 " wrong\n",
		(now - c->started) / BA_SECOND, c->n_arrivals,
		bn_tally_calls(c->tally, BN_ANSWERED),
		bn_tally_calls(c->tally, BN_NOT_RUN),
		bn_tally_calls(c->tally, BN_MAY_HAVE_RUN),
		bn_tally_calls(c->tally, BN_LOST) +
			bn_tally_calls(c->tally, BN_REFUSED),
		bn_tally_calls(c->tally, BN_WRONG));
	ba_loop_arm(c->loop, t, now + PROGRESS_INTERVAL);
}

static void on_signal(int signo, void *arg)
{
	struct caller *c = arg;

	(void)signo;
	c->stopping = true;
	stop_when_idle(c);
}

static void stop_when_idle(struct caller *c)
{
	if (c->stopping && !c->in_flight)
		ba_loop_stop(c->loop);
}

static void fetch_counts(struct caller *c)
{
	ba_loop_disarm(c->loop, &c->progress);
	for (char **b = c->backends; b && *b; b++) {
		struct call k = {.caller = c};

		snprintf(k.url, sizeof(k.url), "http://%s/_counts", *b);
		k.request.url = k.url;
		k.request.method = "GET";
		k.request.done = on_counts;
		bn_http_send(c->http, &k.request);
		ba_loop_run(c->loop);
		ba_buf_free(&k.request.answer);
	}
}

static void on_counts(struct bn_request *r)
{
	struct call *k = ba_entry(r, struct call, request);

	if (r->transport == BN_COMPLETE && r->answer.len)
		bn_tally_add_runs(k->caller->tally, ba_buf_text(&r->answer));
	else
		fprintf(stderr, "%s: the counts were not received\n", r->url);
	ba_loop_stop(k->caller->loop);
}
