/*
 * How calls are spread over endpoints of which some state limits: routing,
 * admission control and scheduling together, in virtual time.
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
#include "call/cl_limit.h"
#include "call/cl_route.h"
#include "call/cl_sched.h"

namespace
{

const char SERVICE[] = "plans";

/*
 * @limit: stated limit, calls a second, 0 for none
 * @service_time: mean
 */
struct site {
	const char *instance, *centre, *region;
	double limit;
	ba_time service_time;
};

const std::vector<site> sites = {
	{"e1", "dc1", "r1", 11, 220 * BA_MS},
	{"e2", "dc1", "r1", 12, 150 * BA_MS},
	{"e3", "dc2", "r2", 20, 150 * BA_MS},
	{"e4", "dc2", "r2", 0, 460 * BA_MS},
	{"e5", "dc3", "r1", 17, 220 * BA_MS},
	{"e6", "dc4", "r2", 0, 460 * BA_MS},
};

enum { SLOTS = 12, SENDERS = 14, ROUTES = 2, TRIES = 3 };

/* What the endpoints can run in a second. */
double capacity()
{
	double sum = 0;

	for (const auto &s : sites)
		sum += s.limit ? s.limit
			       : SLOTS * (double)BA_SECOND /
					 (double)s.service_time;
	return sum;
}

/* Calls a second of each route; the first one is the more urgent. */
struct demand {
	double urgent, other;
};

struct count {
	int total, in_time, late, failed;
};

struct spread_mesh {
	static constexpr ba_time LENGTH = 30 * BA_SECOND;
	static constexpr ba_time TARGET = 800 * BA_MS;
	static constexpr ba_time PATIENCE = 5 * BA_SECOND;

	struct call {
		struct cl_admit_call admission; /* first */
		int sender, endpoint, route;
		ba_time first_attempt, sent_at, left_at;
		int retries = 2;
		std::vector<uint64_t> tried;
		struct cl_endpoint *to = nullptr;
	};
	struct endpoint {
		struct cl_admit *admit;
		struct cl_sched *sched = cl_sched_new();
		struct cl_limit limit = {};
		uint32_t waiting_late = 0;
		ba_time next_at = BA_NEVER;
		std::vector<ba_time> arrivals;
	};

	/* Late calls count as load: endpoints that run them look full. */
	bool counts_late;
	struct ba_rand rand;
	std::multimap<ba_time, std::function<void()>> events;
	ba_time now = BA_HOUR;
	ba_time end_at = now + LENGTH;
	std::vector<cl_router *> routers;
	std::vector<endpoint> endpoints;
	std::vector<std::unique_ptr<call>> calls;
	count counts[ROUTES] = {};

	spread_mesh(uint64_t seed, demand d, bool counts_late = false)
	    : counts_late(counts_late), rand{seed}, endpoints(sites.size())
	{
		for (auto &e : endpoints) {
			struct cl_admit_options o = {};

			o.slots = SLOTS;
			o.connections = UINT32_MAX;
			o.queue = SLOTS * 16;
			o.bounded = true;
			e.admit = cl_admit_new(&o);
			cl_admit_set_pace(e.admit, &e.limit);
		}
		for (int i = 0; i < SENDERS; i++)
			routers.push_back(new_router(i));
		begin_calls(0, d.urgent);
		begin_calls(1, d.other);
		run();
	}
	~spread_mesh()
	{
		for (auto &e : endpoints) {
			cl_admit_free(e.admit);
			cl_sched_free(e.sched);
		}
		for (auto *r : routers)
			cl_router_free(r);
	}

	cl_router *new_router(int i)
	{
		const site &near = sites[(size_t)i % sites.size()];
		std::string instance = "s" + std::to_string(i);
		cl_router_options o = {instance.c_str(), near.centre,
				       near.region, true};
		cl_router *r = cl_router_new(&o);
		std::vector<ep_record> records;
		ep_service_view service = {};
		ep_view view = {};

		for (const auto &s : sites) {
			ep_record e = {};

			e.instance = const_cast<char *>(s.instance);
			e.data_centre = const_cast<char *>(s.centre);
			e.region = const_cast<char *>(s.region);
			e.address = const_cast<char *>("192.0.2.1:1");
			e.incarnation = 1;
			e.slots = SLOTS;
			records.push_back(e);
		}
		service.service = const_cast<char *>(SERVICE);
		service.records = records.data();
		service.n_records = records.size();
		view.services = &service;
		view.n_services = 1;
		cl_router_update(r, &view, now - BA_MINUTE);
		return r;
	}

	ba_time between(ba_time least, ba_time most)
	{
		return least +
		       (ba_time)ba_rand_below(&rand, (uint64_t)(most - least));
	}

	void at(ba_time when, std::function<void()> f)
	{
		events.insert({when, std::move(f)});
	}

	void begin_calls(int route, double per_second)
	{
		if (per_second == 0)
			return;
		ba_time gap = (ba_time)((double)BA_SECOND / per_second);

		for (ba_time t = now; t < end_at; t += between(0, 2 * gap)) {
			auto c = std::make_unique<call>();
			call *p = c.get();

			*p = {};
			p->retries = 2;
			p->route = route;
			p->sender = (int)ba_rand_below(&rand, SENDERS);
			p->first_attempt = t;
			calls.push_back(std::move(c));
			counts[route].total++;
			at(t, [=] { send(p); });
		}
	}

	void run()
	{
		while (!events.empty()) {
			auto e = events.begin();
			auto f = std::move(e->second);

			now = e->first;
			events.erase(e);
			f();
		}
	}

	void send(call *c)
	{
		cl_router *r = routers[(size_t)c->sender];
		cl_pick_request q = {};
		enum cl_route_reason reason;

		q.service = SERVICE;
		q.tried = c->tried.data();
		q.n_tried = c->tried.size();
		c->to = c->tried.size() < TRIES
				? cl_route_pick(r, &q, now, &rand, &reason)
				: nullptr;
		if (!c->to) {
			refuse(c);
			return;
		}
		c->tried.push_back(c->to->id);
		c->sent_at = now;
		for (size_t i = 0; i < sites.size(); i++)
			if (!strcmp(sites[i].instance, c->to->instance))
				c->endpoint = (int)i;
		at(now + hop(c), [=] { arrive(c); });
	}

	ba_time hop(const call *c)
	{
		return c->to->tier >= CL_TIER_LINK ? 15 * BA_MS : 2 * BA_MS;
	}

	/* The caller comes back when it is told to. */
	void refuse(call *c)
	{
		ba_time room = cl_route_room_at(routers[(size_t)c->sender],
						SERVICE, 0, now);
		ba_time again = std::max(now + 200 * BA_MS, room) +
				between(0, 300 * BA_MS);

		c->tried.clear();
		if (c->retries-- > 0 && again < c->first_attempt + PATIENCE)
			at(again, [=] { send(c); });
		else
			counts[c->route].failed++;
	}

	void arrive(call *c)
	{
		endpoint &e = endpoints[(size_t)c->endpoint];
		static const char *const names[ROUTES] = {"urgent", "other"};
		struct cl_sched_call arriving = {};
		enum cl_admit_reason reason;

		arriving.route = names[c->route];
		arriving.priority = (uint32_t)c->route;
		arriving.target = c->first_attempt + TARGET;
		arriving.deadline = c->first_attempt + PATIENCE;
		c->admission = {};
		cl_sched_assign(e.sched, &arriving, now, &c->admission);
		switch (cl_admit_arrive(e.admit, &c->admission, now, &reason)) {
		case CL_ADMIT_START:
			start(c);
			break;
		case CL_ADMIT_REFUSE:
			answer(c, CL_ATTEMPT_OVERLOADED);
			break;
		case CL_ADMIT_WAIT:
			e.waiting_late += c->admission.late;
			break;
		}
		process_queue(e);
	}

	void start(call *c)
	{
		endpoint &e = endpoints[(size_t)c->endpoint];
		ba_time mean = sites[(size_t)c->endpoint].service_time;

		e.arrivals.push_back(now);
		at(now + between(mean / 2, mean * 3 / 2), [=] { end(c); });
	}

	void end(call *c)
	{
		endpoint &e = endpoints[(size_t)c->endpoint];
		struct cl_statement s = {};
		bool leaves;

		s.per_second = sites[(size_t)c->endpoint].limit;
		s.limit = s.per_second > 0 ? CL_LIMIT_STATED : CL_LIMIT_ABSENT;
		cl_limit_record(&e.limit, &s, c->admission.started, now,
				&leaves);
		cl_sched_record(e.sched, c->route ? "other" : "urgent",
				now - c->admission.started);
		cl_admit_done(e.admit, &c->admission, CL_ADMIT_SERVED, now);
		answer(c, CL_ATTEMPT_ANSWERED);
		process_queue(e);
	}

	void answer(call *c, enum cl_attempt_result result)
	{
		endpoint &e = endpoints[(size_t)c->endpoint];
		uint32_t load = cl_admit_load(e.admit);
		ba_time room = cl_admit_room_at(e.admit, now) - now;
		double rate = e.limit.limited ? e.limit.rate : 0;

		if (counts_late) {
			load += e.waiting_late;
			if (rate > 0)
				room += (ba_time)((double)e.waiting_late *
						  (double)BA_SECOND / rate);
		}
		at(now + hop(c), [=] {
			uint32_t own = c->to->in_flight;

			cl_route_record_load(c->to, load > own ? load - own : 0,
					     now);
			cl_route_record_limit(c->to, rate,
					      rate > 0 ? now + room : 0);
			cl_route_done(routers[(size_t)c->sender], c->to, result,
				      now - c->sent_at, now);
			if (result == CL_ATTEMPT_ANSWERED)
				count_answer(c);
			else
				send(c);
		});
	}

	void count_answer(const call *c)
	{
		if (now <= c->first_attempt + TARGET)
			counts[c->route].in_time++;
		else
			counts[c->route].late++;
	}

	void process_queue(endpoint &e)
	{
		struct cl_admit_call *admission;
		enum cl_admit_reason reason;
		enum cl_admit_action act;
		ba_time next_at;

		while ((admission =
				cl_admit_next(e.admit, now, &act, &reason))) {
			e.waiting_late -= admission->late;
			if (act == CL_ADMIT_START)
				start((call *)admission);
			else
				answer((call *)admission,
				       CL_ATTEMPT_OVERLOADED);
		}
		next_at = cl_admit_next_at(e.admit, now);
		if (next_at == BA_NEVER || next_at == e.next_at)
			return;
		e.next_at = next_at;
		at(next_at, [this, &e] { process_queue(e); });
	}
};

/* Arrivals beyond what the platform allows in 4 s. */
int excess(const spread_mesh &m)
{
	const ba_time span = 4 * BA_SECOND;
	int n = 0;

	for (size_t e = 0; e < sites.size(); e++) {
		const std::vector<ba_time> &a = m.endpoints[e].arrivals;
		size_t first = 0;

		while (first < a.size() && a[first] < a[0] + span)
			first++;
		for (size_t i = first; sites[e].limit && i < a.size(); i++) {
			while (a[i] - a[first] > span)
				first++;
			n += (double)(i + 1 - first) > 6 * sites[e].limit + 5;
		}
	}
	return n;
}

/*
 * Endpoints without a limit were full of calls that could not be in time any
 * more, so calls in time went to those at their limit, which refused them.
 */
TEST(ClSpread, LateCallsDoNotMakeAnEndpointLookFull)
{
	for (double load : {1.1, 1.2, 1.3}) {
		demand d = {0, load * capacity()};
		int in_time = 0, with_late_counted = 0;

		for (uint64_t seed = 1; seed <= 20; seed++) {
			in_time += spread_mesh(seed, d).counts[1].in_time;
			with_late_counted +=
				spread_mesh(seed, d, true).counts[1].in_time;
		}
		EXPECT_GT(in_time, with_late_counted) << load;
		EXPECT_GT(in_time, 0.75 * capacity() * 30 * 20) << load;
	}
}

TEST(ClSpread, CallsMoveToEndpointsWithRoom)
{
	for (uint64_t seed = 1; seed <= 10; seed++) {
		spread_mesh m(seed, {0, 0.9 * capacity()});

		EXPECT_LT(m.counts[1].failed, m.counts[1].total / 100) << seed;
		EXPECT_GT(m.counts[1].in_time, m.counts[1].total * 9 / 10)
			<< seed;
		EXPECT_EQ(excess(m), 0) << seed;
	}
}

TEST(ClSpread, AboveTheLimitsTheMostUrgentRun)
{
	for (uint64_t seed = 1; seed <= 10; seed++) {
		spread_mesh m(seed, {0.6 * capacity(), capacity()});

		EXPECT_GT(m.counts[0].in_time, m.counts[0].total * 9 / 10)
			<< seed;
		EXPECT_LT(m.counts[0].failed, m.counts[0].total / 100) << seed;
		EXPECT_GT(m.counts[1].failed, m.counts[1].total / 4) << seed;
		EXPECT_EQ(excess(m), 0) << seed;
	}
}

} // namespace
