/*
 * Replay of a load in virtual time: callers, the proxies that their requests
 * enter at, and the endpoints of one service, each with its own proxy.  Only the
 * decisions of call/ are the product's; the network is a fixed delay and a link
 * of each proxy that offers take turns on.
 */
#ifndef TEST_LOAD_REPLAY_H
#define TEST_LOAD_REPLAY_H

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <vector>

#include "base/ba_rand.h"
#include "call/cl_gate.h"
#include "call/cl_sched.h"

namespace load_replay
{

/* Requests of one kind; several overlap in time to make a burst. */
struct kind {
	const char *route;
	uint32_t priority;
	ba_time from, to;
	double per_second;
	ba_time work;	  /* mean; uniform from half to 1.5 times of it */
	ba_time target;	  /* from the first attempt */
	ba_time patience; /* likewise */
	int retries;
	bool at_once; /* retries without waiting as it was told */
};

struct setup {
	int endpoints, slots, entries;
	ba_time delay;	    /* one way */
	ba_time offer_time; /* on the link of the endpoint's proxy */
	int tries;	    /* endpoints that one request is offered to */
	bool gated;
};

struct count {
	int asked, in_time, late, refused, offers, runs, wasted;
};

struct request {
	struct cl_admit_call call;
	const kind *k;
	ba_time first, target, deadline;
	int retries, entry, tries, at;
	bool late;
};

struct replay {
	struct endpoint {
		struct cl_admit *admit;
		struct cl_sched *sched = cl_sched_new();
		ba_time link_free = 0;
	};
	struct event {
		ba_time at;
		uint64_t order;
		std::function<void()> act;
		bool operator<(const event &o) const
		{
			return at != o.at ? at > o.at : order > o.order;
		}
	};

	setup s;
	ba_time now = 0;
	uint64_t order = 0;
	struct ba_rand rand = {7};
	std::priority_queue<event> events;
	std::vector<endpoint> endpoints;
	std::vector<struct cl_gate> gates;
	std::map<std::string, count> counts;

	explicit replay(const setup &s)
	    : s(s), endpoints((size_t)s.endpoints), gates((size_t)s.entries)
	{
		struct cl_admit_options o = {};

		o.slots = (uint32_t)s.slots;
		o.connections = UINT32_MAX;
		o.queue = o.slots * 16;
		o.bounded = true;
		for (auto &e : endpoints)
			e.admit = cl_admit_new(&o);
	}
	~replay()
	{
		for (auto &e : endpoints) {
			cl_admit_free(e.admit);
			cl_sched_free(e.sched);
		}
	}

	ba_time between(ba_time least, ba_time most)
	{
		return least +
		       (ba_time)ba_rand_below(&rand, (uint64_t)(most - least));
	}
	double draw()
	{
		return (double)ba_rand_below(&rand, 1 << 20) / (1 << 20);
	}
	void after(ba_time delay, std::function<void()> act)
	{
		events.push({now + delay, ++order, std::move(act)});
	}

	void enter(request *r)
	{
		struct cl_gate *g = &gates[(size_t)r->entry];

		enum cl_gate_turn turn = now >= r->target ? CL_GATE_LATE
					 : now > r->first ? CL_GATE_RETURNED
							  : CL_GATE_FRESH;

		r->late = now >= r->target;
		r->tries = 0;
		if (s.gated &&
		    !cl_gate_admit(g, turn, r->k->priority, draw(), now))
			refuse(r);
		else
			offer(r);
	}

	void offer(request *r)
	{
		endpoint *e;

		r->at = (int)ba_rand_below(&rand, endpoints.size());
		e = &endpoints[(size_t)r->at];
		r->tries++;
		counts[r->k->route].offers++;
		e->link_free =
			std::max(e->link_free, now + s.delay) + s.offer_time;
		after(e->link_free - now, [this, r] { arrive(r); });
	}

	void arrive(request *r)
	{
		endpoint *e = &endpoints[(size_t)r->at];
		struct cl_sched_call c = {r->k->route, r->k->priority,
					  r->target - s.delay,
					  r->deadline - s.delay};
		enum cl_admit_reason why;

		r->call = {};
		cl_sched_assign(e->sched, &c, now, &r->call);
		switch (cl_admit_arrive(e->admit, &r->call, now, &why)) {
		case CL_ADMIT_START:
			start(r);
			break;
		case CL_ADMIT_REFUSE:
			turn_away(r);
			break;
		case CL_ADMIT_WAIT:
			break;
		}
	}

	void start(request *r)
	{
		ba_time half = r->k->work / 2;

		counts[r->k->route].runs++;
		after(half + between(0, 2 * half), [this, r] { end(r); });
	}

	void end(request *r)
	{
		endpoint *e = &endpoints[(size_t)r->at];
		count &n = counts[r->k->route];
		ba_time answered = now + s.delay;

		cl_sched_record(e->sched, r->k->route, now - r->call.started);
		cl_admit_done(e->admit, &r->call, CL_ADMIT_SERVED, now);
		n.in_time += answered <= r->target;
		n.late += answered > r->target && answered <= r->deadline;
		n.wasted += answered > r->deadline;
		cl_gate_accepted(&gates[(size_t)r->entry], answered);
		delete r;
		dispatch(e);
	}

	void dispatch(endpoint *e)
	{
		struct cl_admit_call *c;
		enum cl_admit_reason why;
		enum cl_admit_action act;

		while ((c = cl_admit_next(e->admit, now, &act, &why)))
			if (act == CL_ADMIT_START)
				start((request *)c);
			else
				turn_away((request *)c);
	}

	void turn_away(request *r)
	{
		after(s.delay, [this, r] {
			if (r->tries < s.tries && now < r->deadline) {
				offer(r);
				return;
			}
			if (!r->late)
				cl_gate_refused(&gates[(size_t)r->entry], now);
			refuse(r);
		});
	}

	void refuse(request *r)
	{
		ba_time wait = between(200 * BA_MS, 500 * BA_MS);

		if (s.gated && !r->late && !r->tries)
			wait = cl_gate_retry_after(r->target - now, draw());
		if (r->k->at_once)
			wait = 10 * BA_MS;
		if (r->retries-- > 0 && now + wait < r->deadline) {
			after(wait, [this, r] { enter(r); });
			return;
		}
		counts[r->k->route].refused++;
		delete r;
	}

	void run(const std::vector<kind> &kinds)
	{
		for (const auto &k : kinds) {
			ba_time gap =
				(ba_time)((double)BA_SECOND / k.per_second);

			for (now = k.from; now < k.to;
			     now += between(gap / 2, gap + gap / 2)) {
				auto *r = new request();

				r->k = &k;
				r->first = now;
				r->target = now + k.target;
				r->deadline = now + k.patience;
				r->retries = k.retries;
				r->entry =
					(int)ba_rand_below(&rand, gates.size());
				counts[k.route].asked++;
				after(0, [this, r] { enter(r); });
			}
		}
		while (!events.empty()) {
			event e = events.top();

			events.pop();
			now = e.at;
			e.act();
		}
	}
};

} // namespace load_replay
#endif
