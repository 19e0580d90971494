/*
 * Placement among endpoints whose speed differs and changes, loaded unevenly by
 * data centre: routing and admission control together, in virtual time.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/ba_rand.h"
#include "call/cl_admit.h"
#include "call/cl_place.h"
#include "call/cl_route.h"

namespace
{

enum { CENTRES = 4, ENDPOINTS = 24, SLOTS = 8, TRIES = 3 };

const char SERVICE[] = "plans";
const ba_time LENGTH = 20 * BA_SECOND, TARGET = BA_SECOND, WORK = 240 * BA_MS;
const double USUAL_TIMES[] = {0.6, 1.0, 1.4};

/* BY_CALLS: number and latency; BY_TIME: expected time; ALL_KNOWN: the bound */
enum way { BY_CALLS, BY_TIME, ALL_KNOWN };

struct pattern {
	const char *name;
	double load; /* as a fraction of what the endpoints can run */
	double shares[CENTRES]; /* of the arrivals */
	bool noisy;		/* speeds change every 600 ms */
	int slow;		/* endpoints that take 8 times as long */
	bool lies;		/* these state that they are as fast as usual */
};

struct result {
	int total, in_time, late, refused, turned_away, sent, far;
	double least; /* share in time of the worst data centre */
	double in_time_share() const
	{
		return (double)in_time / total;
	}
};

class replay
{
	struct call {
		struct cl_admit_call admission; /* first */
		int sender, endpoint;
		double work; /* at usual speed */
		ba_time arrived, sent_at, came_at;
		uint32_t speed;
		std::vector<uint64_t> tried;
		struct cl_endpoint *to;
	};
	struct endpoint {
		struct cl_admit *admit;
		struct cl_work work = {};
		std::vector<ba_time> free_at = std::vector<ba_time>(SLOTS);
	};
	const pattern &p;
	const way w;
	struct ba_rand rand;
	std::multimap<ba_time, std::function<void()>> events;
	ba_time now = BA_HOUR;
	std::vector<endpoint> endpoints{ENDPOINTS};
	std::vector<cl_router *> routers;
	std::vector<std::unique_ptr<call>> calls;
	int total[CENTRES] = {}, in_time[CENTRES] = {};
	result r = {};

	static int centre_of(int i)
	{
		return i % CENTRES;
	}
	static std::string name(const char *kind, int i)
	{
		return kind + std::to_string(i);
	}
	double uniform()
	{
		return (double)(ba_rand_next(&rand) >> 11) / 0x1p53;
	}

	/* Percent of the usual time, as it is, and as the endpoint states it. */
	double speed(int e, ba_time at) const
	{
		struct ba_rand dice = {
			(uint64_t)(e * 7919 + at / (600 * BA_MS))};
		double x = USUAL_TIMES[e / CENTRES % 3];

		if (p.noisy && ba_rand_below(&dice, 100) < 15)
			x *= 2.5;
		return 100 * x * (e < p.slow ? 8 : 1);
	}
	uint32_t stated(int e) const
	{
		return e < p.slow && p.lies ? 100 : (uint32_t)speed(e, now);
	}
	ba_time hop(int from, int to) const
	{
		int a = centre_of(from), b = centre_of(to);

		return from == to	? 0
		       : a == b		? BA_MS / 2
		       : a / 2 == b / 2 ? 7 * BA_MS / 2
					: 30 * BA_MS;
	}

	cl_router *new_router(int i)
	{
		std::string own = name("i", i), dc = name("dc", centre_of(i)),
			    region = name("r", centre_of(i) / 2);
		cl_router_options o = {own.c_str(), dc.c_str(), region.c_str(),
				       true};
		std::vector<std::string> names;
		std::vector<ep_record> records(ENDPOINTS);
		ep_service_view service = {(char *)SERVICE, records.data(),
					   ENDPOINTS};
		ep_view view = {};
		cl_router *router = cl_router_new(&o);

		names.reserve(3 * ENDPOINTS);
		for (int e = 0; e < ENDPOINTS; e++) {
			names.push_back(name("i", e));
			records[e].instance = names.back().data();
			names.push_back(name("dc", centre_of(e)));
			records[e].data_centre = names.back().data();
			names.push_back(name("r", centre_of(e) / 2));
			records[e].region = names.back().data();
			records[e].address = (char *)"192.0.2.1:1";
			records[e].incarnation = 1;
			records[e].slots = SLOTS;
		}
		view.services = &service;
		view.n_services = 1;
		cl_router_update(router, &view, now - BA_MINUTE);
		return router;
	}

	void at(ba_time when, std::function<void()> f)
	{
		events.insert({when, std::move(f)});
	}

	cl_place_report report(int e, ba_time spent)
	{
		return {cl_admit_load(endpoints[e].admit), SLOTS, stated(e),
			(ba_time)endpoints[e].work.hold, spent};
	}

	void send(call *c)
	{
		cl_place_report self = report(c->sender, 0);
		cl_pick_request q = {};
		enum cl_route_reason reason;

		q.service = SERVICE;
		q.self_load = self.calls;
		q.self_work = w == BY_TIME ? &self : nullptr;
		q.target = c->arrived + TARGET;
		q.tried = c->tried.data();
		q.n_tried = c->tried.size();
		c->to = c->tried.size() < TRIES
				? cl_route_pick(routers[c->sender], &q, now,
						&rand, &reason)
				: nullptr;
		if (!c->to) {
			r.refused++;
			return;
		}
		r.sent++;
		r.far += c->to->tier >= CL_TIER_REGION;
		c->tried.push_back(c->to->id);
		c->sent_at = now;
		c->endpoint = atoi(c->to->instance + 1);
		at(now + hop(c->sender, c->endpoint), [=] { arrive(c); });
	}

	void arrive(call *c)
	{
		endpoint &e = endpoints[c->endpoint];
		enum cl_admit_reason reason;
		enum cl_admit_action act;

		c->came_at = now;
		c->admission = {};
		c->admission.deadline = c->arrived + TARGET;
		act = cl_admit_arrive(e.admit, &c->admission, now, &reason);
		if (act == CL_ADMIT_START)
			start(c);
		else if (act == CL_ADMIT_REFUSE)
			answer(c, CL_ATTEMPT_OVERLOADED);
		run_queue(e);
	}

	void start(call *c)
	{
		c->speed = stated(c->endpoint);
		at(now + (ba_time)(c->work * speed(c->endpoint, now) / 100),
		   [=] { end(c); });
	}

	void end(call *c)
	{
		endpoint &e = endpoints[c->endpoint];

		cl_work_state(&e.work, stated(c->endpoint));
		cl_work_record(&e.work, c->speed, now - c->admission.started);
		cl_admit_done(e.admit, &c->admission, CL_ADMIT_SERVED, now);
		answer(c, CL_ATTEMPT_ANSWERED);
		run_queue(e);
	}

	void run_queue(endpoint &e)
	{
		struct cl_admit_call *a;
		enum cl_admit_reason reason;
		enum cl_admit_action act;

		while ((a = cl_admit_next(e.admit, now, &act, &reason)))
			if (act == CL_ADMIT_START)
				start((call *)a);
			else
				answer((call *)a, CL_ATTEMPT_OVERLOADED);
	}

	void answer(call *c, enum cl_attempt_result result)
	{
		cl_place_report told = report(c->endpoint, now - c->came_at);

		r.turned_away += result == CL_ATTEMPT_OVERLOADED;
		at(now + hop(c->sender, c->endpoint), [=] {
			cl_router *router = routers[c->sender];
			uint32_t own = c->to->in_flight;

			cl_route_record_load(
				c->to, told.calls > own ? told.calls - own : 0,
				now);
			if (w == BY_TIME)
				cl_route_record_work(router, c->to, &told,
						     now - c->sent_at, now);
			cl_route_done(router, c->to, result, now - c->sent_at,
				      now);
			if (result == CL_ATTEMPT_ANSWERED)
				count(c, now);
			else
				send(c);
		});
	}

	void count(const call *c, ba_time ended)
	{
		bool ok = ended <= c->arrived + TARGET;

		(ok ? r.in_time : r.late)++;
		in_time[centre_of(c->sender)] += ok;
	}

	/* Knows all slots, work and speeds; what would be late is not run. */
	void place_best(call *c)
	{
		ba_time best = BA_NEVER, best_free = 0;
		ba_time *slot = nullptr;

		for (int e = 0; e < ENDPOINTS; e++) {
			ba_time *s =
				&*std::min_element(endpoints[e].free_at.begin(),
						   endpoints[e].free_at.end());
			ba_time begin = std::max(*s, now + hop(c->sender, e));
			ba_time end = begin + (ba_time)(c->work *
							speed(e, begin) / 100);

			if (end + hop(c->sender, e) >= best)
				continue;
			best = end + hop(c->sender, e);
			best_free = end;
			slot = s;
		}
		if (best > c->arrived + TARGET) {
			r.refused++;
			return;
		}
		*slot = best_free;
		count(c, best);
	}

	void begin_calls()
	{
		double capacity = 0;

		for (int e = 0; e < ENDPOINTS; e++)
			capacity += SLOTS / USUAL_TIMES[e / CENTRES % 3] /
				    (e < p.slow ? 8 : 1);
		/* A tail of 3 in 100 takes 3 times as long: mean 1.06. */
		double gap = (double)WORK * 1.06 / capacity / p.load;

		for (double t = 0; t < (double)LENGTH;
		     t += 2 * gap * uniform()) {
			double u = uniform();
			int dc = 0;
			auto c = std::make_unique<call>();
			call *k = c.get();

			for (; dc + 1 < CENTRES && u >= p.shares[dc]; dc++)
				u -= p.shares[dc];
			k->sender = dc + CENTRES * (int)ba_rand_below(
							   &rand,
							   ENDPOINTS / CENTRES);
			k->work = (double)WORK * (0.5 + uniform()) *
				  (uniform() < 0.03 ? 3 : 1);
			k->arrived = now + (ba_time)t;
			calls.push_back(std::move(c));
			total[dc]++;
			r.total++;
			at(k->arrived,
			   [=] { w == ALL_KNOWN ? place_best(k) : send(k); });
		}
	}

public:
	replay(const pattern &p, way w, uint64_t seed) : p(p), w(w), rand{seed}
	{
		for (int i = 0; i < ENDPOINTS; i++) {
			cl_admit_options o = {SLOTS, UINT32_MAX, SLOTS * 16,
					      false, true};

			endpoints[i].admit = cl_admit_new(&o);
			routers.push_back(new_router(i));
		}
		begin_calls();
		while (!events.empty()) {
			auto e = events.begin();
			auto f = std::move(e->second);

			now = e->first;
			events.erase(e);
			f();
		}
		r.least = 1;
		for (int dc = 0; dc < CENTRES; dc++)
			r.least = std::min(r.least,
					   (double)in_time[dc] / total[dc]);
	}
	~replay()
	{
		for (auto &e : endpoints)
			cl_admit_free(e.admit);
		for (auto *router : routers)
			cl_router_free(router);
	}
	const result &get() const
	{
		return r;
	}
};

result play(const pattern &p, way w)
{
	result sum = {};

	for (uint64_t seed = 1; seed <= 5; seed++) {
		result r = replay(p, w, seed).get();

		sum.total += r.total;
		sum.in_time += r.in_time;
		sum.late += r.late;
		sum.refused += r.refused;
		sum.turned_away += r.turned_away;
		sum.sent += r.sent;
		sum.far += r.far;
		sum.least += r.least / 5;
	}
	return sum;
}

const pattern patterns[] = {
	{"uneven speeds", 0.7, {.25, .25, .25, .25}, true, 0, false},
	{"uneven demand", 0.75, {.55, .15, .15, .15}, true, 0, false},
	{"one region", 0.7, {.45, .35, .1, .1}, true, 0, false},
	{"slow endpoints", 0.75, {.25, .25, .25, .25}, true, 4, false},
	{"lying endpoints", 0.75, {.25, .25, .25, .25}, true, 4, true},
	{"nearly full", 0.95, {.3, .3, .2, .2}, true, 0, false},
};

TEST(ClPlace, ExpectedTimeServesMoreInTimeThanTheNumberOfCalls)
{
	static const char *const ways[] = {"calls", "time", "bound"};

	for (const auto &p : patterns) {
		result r[3];

		for (int w = BY_CALLS; w <= ALL_KNOWN; w++) {
			r[w] = play(p, (way)w);
			printf("%-16s %-6s in time %.4f late %.4f refused %.4f "
			       "turned away %.4f far %.4f worst centre %.4f\n",
			       p.name, ways[w], r[w].in_time_share(),
			       (double)r[w].late / r[w].total,
			       (double)r[w].refused / r[w].total,
			       r[w].sent ? (double)r[w].turned_away / r[w].sent
					 : 0,
			       r[w].sent ? (double)r[w].far / r[w].sent : 0,
			       r[w].least);
		}
		EXPECT_GE(r[BY_TIME].in_time, r[BY_CALLS].in_time) << p.name;
		/* The users' target where the service as a whole has room. */
		if (p.load < 0.8) {
			EXPECT_LT(r[BY_TIME].turned_away,
				  0.03 * r[BY_TIME].sent)
				<< p.name;
		}
	}
}

/* A report of a noisy moment fades to what is usual, and own calls add up. */
TEST(ClPlace, EstimatesTheTimeToTheEndOfACall)
{
	const struct {
		uint32_t calls, own_then, own_now, speed;
		ba_time age;
		double wait, work;
	} cases[] = {
		{0, 0, 0, 100, 0, 0, 100},     {3, 1, 1, 100, 0, 0, 100},
		{4, 0, 0, 100, 0, 25, 100},    {4, 1, 5, 100, 0, 125, 100},
		{0, 0, 0, 260, 0, 0, 260},     {0, 0, 0, 260, 300, 0, 185},
		{0, 0, 0, 260, 900, 0, 147.5},
	};

	for (const auto &c : cases) {
		cl_place_report usual = {0, 4, 100, 100 * BA_MS, 0};
		cl_place_report last = {c.calls, 4, c.speed, 100 * BA_MS, 0};
		cl_place_site site = {c.own_now, 4, 0, 0};
		ba_time now = BA_HOUR;
		cl_place p;

		cl_place_init(&p);
		cl_place_record(&p, &usual, 0, 0, now);
		cl_place_record(&p, &last, c.own_then, 0, now);
		p.usual_speed =
			110; /* before the last report had a part in it */
		p.usual_others = p.others;
		cl_place_time t =
			cl_place_estimate(&p, &site, now + c.age * BA_MS);

		EXPECT_NEAR(t.wait, c.wait * BA_MS, 1) << c.calls;
		EXPECT_NEAR(t.work, c.work * BA_MS, 1) << c.speed;
	}
}

/* It states that it is fast; its calls tell otherwise. */
TEST(ClPlace, WorkIsMeasuredRelativeToTheStatedSpeed)
{
	cl_work honest = {}, lying = {};

	for (int i = 0; i < 200; i++) {
		cl_work_state(&honest, 500);
		cl_work_record(&honest, 500, 500 * BA_MS);
		cl_work_state(&lying, 100);
		cl_work_record(&lying, 100, 500 * BA_MS);
	}
	EXPECT_NEAR(honest.hold, 100 * BA_MS, 1);
	EXPECT_NEAR(lying.hold, 500 * BA_MS, 1);
}

/* No answer to its calls shows what no report can. */
TEST(ClPlace, SilenceMakesAnEndpointCountAsSlower)
{
	cl_place_report r = {1, 4, 100, 100 * BA_MS, 0};
	cl_place_site site = {1, 4, 0, 0};
	ba_time now = BA_HOUR;
	cl_place p;

	cl_place_init(&p);
	cl_place_record(&p, &r, 1, 0, now);
	cl_place_sent(&p, 1, now);
	EXPECT_EQ(cl_place_estimate(&p, &site, now + 200 * BA_MS).work,
		  100 * BA_MS);
	EXPECT_EQ(cl_place_estimate(&p, &site, now + 1500 * BA_MS).work,
		  500 * BA_MS);
}

} // namespace
