/*
 * Replays a load of long answers that exceeds what the links of a service can
 * send: answers of different sizes, calls of different length, endpoints of
 * different speed, short answers on the same links, and callers that come back
 * after a refusal.  Admission (cl_egress) and the order of sending (ht_link)
 * are the real ones, in virtual time.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "base/ba_rand.h"
#include "call/cl_egress.h"
#include "http/ht_link.h"

namespace
{

const int64_t RATE = 1050000;

enum { INSTANCES = 7, MEAN_BYTES = 90000, RETRIES = 2 };

const ba_time MEAN_SERVICE = 210 * BA_MS;
const ba_time TARGET = BA_SECOND;
const ba_time PATIENCE = 6 * BA_SECOND;

/* A proxy that is stopped takes requests for a while and ends later. */
const ba_time STOP_ACCEPTS = 2500 * BA_MS;
const ba_time STOP_TIME = 5 * BA_SECOND;
/* After that it only passes on answers that have begun. */
const ba_time STOP_TAIL = 750 * BA_MS;
const double SPEEDS[] = {0.7, 0.7, 1.6};

struct result {
	int total = 0;
	int in_time = 0;
	int late = 0;
	int too_late = 0; /* the caller had left */
	int refused = 0;
	int cut = 0; /* the proxy of the caller ended before the answer did */
	double bytes_in_time = 0;
	ba_time max_short_delay = 0;
};

struct replay {
	struct instance {
		struct ht_link *link;
		struct cl_egress egress = {};
		double speed;
		int in_flight = 0;
		ba_time kernel_free_at = 0;
		ba_time next_run = BA_NEVER;
	};

	struct call {
		struct ht_link_user user = {};
		replay *r;
		instance *at = nullptr;
		struct cl_egress_reservation reservation = {};
		ba_time first_attempt;
		ba_time stops_at = BA_NEVER; /* when its proxy is stopped */
		ba_time made_at = 0;	     /* when its answer was made */
		int attempts = 0;
		size_t left = 0;
		size_t sent = 0;
		size_t held = 0; /* the backend server has not written it */
		bool is_short = false;
	};

	struct event {
		ba_time at;
		uint64_t order;
		std::function<void()> run;

		bool operator<(const event &o) const
		{
			return at != o.at ? at > o.at : order > o.order;
		}
	};

	bool by_deadline;
	double load;
	double stopping = 0;   /* share of callers whose proxies are stopped */
	bool told = false;     /* links and admission know when callers leave */
	size_t high_water = 0; /* most that a proxy reads ahead, 0 for all */
	struct ba_rand rand = {11};
	std::vector<std::unique_ptr<instance>> instances;
	std::vector<std::unique_ptr<call>> calls;
	std::priority_queue<event> events;
	uint64_t order = 0;
	ba_time now = 0;
	ba_time end;
	result out;

	/* @by_deadline: answers are sent by deadline, late ones after others */
	replay(bool by_deadline, double load, ba_time length)
	    : by_deadline(by_deadline), load(load), end(length)
	{
		for (int i = 0; i < INSTANCES; i++) {
			instances.push_back(std::make_unique<instance>());
			instances[i]->link = ht_link_new(
				nullptr, RATE, CL_EGRESS_IN_TIME_WEIGHT, 0);
			instances[i]->egress.rate = RATE;
			instances[i]->speed = SPEEDS[i % 3];
		}
	}

	~replay()
	{
		for (auto &i : instances)
			ht_link_free(i->link);
	}

	void at(ba_time when, std::function<void()> run)
	{
		events.push({when, order++, std::move(run)});
	}

	double uniform()
	{
		return ((double)ba_rand_below(&rand, 1000000) + 0.5) / 1e6;
	}

	double lognormal(double mean, double sigma)
	{
		double normal = std::sqrt(-2 * std::log(uniform())) *
				std::cos(2 * M_PI * uniform());

		return mean * std::exp(sigma * normal - sigma * sigma / 2);
	}

	result run()
	{
		arrive();
		for (auto &i : instances)
			send_short(*i);
		while (!events.empty()) {
			event e = events.top();

			events.pop();
			now = e.at;
			e.run();
		}
		return out;
	}

	void arrive()
	{
		double per_s = load * INSTANCES * RATE / MEAN_BYTES;

		calls.push_back(std::make_unique<call>());
		call *c = calls.back().get();

		c->r = this;
		c->first_attempt = now;
		if (stopping > 0 && uniform() < stopping)
			c->stops_at =
				now - STOP_ACCEPTS +
				(ba_time)(uniform() *
					  (double)(STOP_ACCEPTS + PATIENCE));
		out.total++;
		attempt(c);
		if (now < end)
			at(now + (ba_time)(-std::log(uniform()) / per_s *
					   BA_SECOND),
			   [this] { arrive(); });
	}

	/* Up to three endpoints are asked, each the less busy of two. */
	void attempt(call *c)
	{
		std::vector<instance *> left;

		c->attempts++;
		for (auto &i : instances)
			left.push_back(i.get());
		for (int tries = 1; tries <= 3; tries++) {
			size_t a = ba_rand_below(&rand, left.size());
			size_t b = ba_rand_below(&rand, left.size());
			size_t best = left[a]->in_flight / left[a]->speed <
						      left[b]->in_flight /
							      left[b]->speed
					      ? a
					      : b;

			if (admit(c, *left[best], tries == 3))
				return;
			left.erase(left.begin() + (long)best);
		}
		if (c->attempts > RETRIES)
			out.refused++;
		else
			at(now + 200 * BA_MS +
				   (ba_time)ba_rand_below(&rand, 300 * BA_MS),
			   [this, c] { attempt(c); });
	}

	/* When the proxy of the caller ends, or the caller leaves. */
	static ba_time leaves_at(const call *c)
	{
		ba_time patience = c->first_attempt + PATIENCE;

		return c->stops_at == BA_NEVER
			       ? patience
			       : std::min(patience, c->stops_at + STOP_TIME);
	}

	static ba_time ends_at(const call *c)
	{
		return std::min(c->first_attempt + PATIENCE,
				leaves_at(c) + STOP_TAIL);
	}

	/* A stop is not known before it begins. */
	ba_time known_to_leave_at(const call *c) const
	{
		return told && c->stops_at <= now ? leaves_at(c)
						  : c->first_attempt + PATIENCE;
	}

	bool admit(call *c, instance &i, bool last)
	{
		struct cl_egress_call d = {};
		ba_time service = (ba_time)(MEAN_SERVICE / i.speed);
		cl_egress_rank rank;

		d.bytes = MEAN_BYTES;
		d.service_time = service;
		d.target = c->first_attempt + TARGET;
		d.deadline = known_to_leave_at(c);
		d.target = std::min(d.target, d.deadline);
		d.no_alternative = last;
		for (unsigned int k = 0; k < CL_EGRESS_RANKS; k++)
			d.unsent[k] = (double)ht_link_unsent(i.link, k);
		rank = cl_egress_admit(&i.egress, &d, now);
		if (rank == CL_EGRESS_REFUSED)
			return false;
		cl_egress_reserve(&i.egress, &c->reservation, d.bytes, rank);
		i.in_flight++;
		c->at = &i;
		at(now + (ba_time)lognormal((double)service, 0.7),
		   [this, c] { answer(c); });
		return true;
	}

	void answer(call *c)
	{
		cl_egress_rank rank = c->reservation.rank;

		cl_egress_release(&c->at->egress, &c->reservation);
		c->made_at = now;
		c->left = (size_t)lognormal(MEAN_BYTES, 0.55);
		if (high_water && c->left > high_water) {
			c->held = c->left - high_water;
			c->left = high_water;
			c->user.to_come = c->held;
		}
		c->user.rank = rank;
		if (by_deadline && rank == CL_EGRESS_IN_TIME)
			c->user.deadline = c->first_attempt + TARGET;
		if (told)
			c->user.expiry =
				c->stops_at <= now ? known_to_leave_at(c) : 0;
		if (told && c->stops_at > now && c->stops_at != BA_NEVER)
			at(c->stops_at,
			   [this, c] { c->user.expiry = leaves_at(c); });
		start(c);
	}

	void start(call *c)
	{
		ba_list_init(&c->user.link);
		c->user.may_write = [](struct ht_link_user *u) {
			call *one = (call *)u;

			one->r->write(one);
		};
		ht_link_set_unsent(c->at->link, &c->user, c->left);
		write(c);
	}

	void write(call *c)
	{
		instance &i = *c->at;
		size_t n = ht_link_request(i.link, &c->user, c->sent, c->left,
					   now);

		if (n) {
			i.kernel_free_at =
				std::max(i.kernel_free_at, now) +
				(ba_time)((double)n / RATE * BA_SECOND);
			c->sent += n;
			c->left -= n;
			ht_link_account_write(i.link, &c->user, n, false);
			ht_link_set_unsent(i.link, &c->user, c->left);
		}
		if (n && !c->left) {
			ht_link_dequeue(i.link, &c->user);
			if (c->held)
				read_on(c);
			else
				finish(c);
		}
		schedule(i);
	}

	/* All that was read is sent, so the proxy reads from its server again. */
	void read_on(call *c)
	{
		c->left = std::min(c->held, high_water);
		c->held -= c->left;
		c->user.to_come = c->held;
		ht_link_set_unsent(c->at->link, &c->user, c->left);
		write(c);
	}

	void schedule(instance &i)
	{
		ba_time next = ht_link_next_run(i.link);

		if (next == BA_NEVER || next >= i.next_run)
			return;
		i.next_run = std::max(next, now);
		at(i.next_run, [this, &i] {
			i.next_run = BA_NEVER;
			ht_link_run(i.link, now);
			schedule(i);
		});
	}

	void finish(call *c)
	{
		instance &i = *c->at;
		ba_time done = i.kernel_free_at;

		if (c->is_short) {
			out.max_short_delay =
				std::max(out.max_short_delay, done - now);
			return;
		}
		i.in_flight--;
		if (done <= c->first_attempt + TARGET) {
			out.in_time++;
			out.bytes_in_time += (double)c->sent;
		} else if (done <= ends_at(c)) {
			out.late++;
		} else if (ends_at(c) < c->first_attempt + PATIENCE &&
			   c->made_at <= leaves_at(c)) {
			out.cut++;
		} else {
			out.too_late++;
		}
	}

	/* A sixth of the link carries short answers, of other services too. */
	void send_short(instance &i)
	{
		calls.push_back(std::make_unique<call>());
		call *c = calls.back().get();

		c->r = this;
		c->at = &i;
		c->is_short = true;
		c->left = 5000;
		start(c);
		if (now < end)
			at(now + (ba_time)(-std::log(uniform()) * 5000 * 6 /
					   RATE * BA_SECOND),
			   [this, &i] { send_short(i); });
	}
};

struct comparison {
	result r;
	double share; /* of what the links can send, in time */
};

comparison replay_load(const char *name, bool by_deadline, double load)
{
	const ba_time length = 40 * BA_SECOND;
	result r = replay(by_deadline, load, length).run();
	double links = (double)INSTANCES * RATE * 0.95 * 5 / 6 *
		       (double)length / BA_SECOND;
	comparison c = {r, r.bytes_in_time / links};

	printf("%s load %.2f: in time %.3f, late %.3f, refused %.3f, "
	       "too late %.3f, bytes in time of the links' %.3f, short answers wait %lld ms\n",
	       name, load, (double)r.in_time / r.total,
	       (double)r.late / r.total, (double)r.refused / r.total,
	       (double)r.too_late / r.total, c.share,
	       (long long)(r.max_short_delay / BA_MS));
	return c;
}

/* More than 0.9 of what the links can carry arrives in time under overload. */
TEST(FullLink, SendingByDeadlineEndsMoreAnswersInTime)
{
	for (double load : {0.7, 1.0, 1.4, 1.8}) {
		comparison before = replay_load("in order   ", false, load);
		comparison now = replay_load("by deadline", true, load);

		EXPECT_GT(now.r.in_time, before.r.in_time) << load;
		EXPECT_LE(now.r.late, before.r.late) << load;
		EXPECT_LE(now.r.max_short_delay,
			  before.r.max_short_delay + 5 * BA_MS)
			<< load;
		if (load >= 1) {
			EXPECT_GT(now.share, 0.9) << load;
		}
	}
}

/* Seven of ten callers are at proxies that are stopped in turn. */
static result replay_stops(bool told, double load, uint64_t seed,
			   size_t high_water = 0)
{
	replay r(true, load, 40 * BA_SECOND);

	r.stopping = 0.7;
	r.told = told;
	r.high_water = high_water;
	r.rand.state = seed;
	return r.run();
}

/*
 * An answer that was made by STOP_TIME must arrive before the proxy ends; until
 * then a backend server may still be at work.  More seeds:
 * FULL_LINK_SEEDS=50.
 */
TEST(FullLink, NoAnswerIsCutOffByThePlannedStopOfItsCallersProxy)
{
	const char *more = getenv("FULL_LINK_SEEDS");
	uint64_t last = 11 + (more ? strtoull(more, nullptr, 10) : 3);

	for (uint64_t seed = 11; seed < last; seed++)
		for (double load : {0.7, 1.0, 1.4, 1.8}) {
			result out = replay_stops(true, load, seed);

			EXPECT_EQ(out.cut, 0) << load << " seed " << seed;
			if (seed > 11)
				continue;
			printf("load %.2f: in time %.3f, late %.3f, refused "
			       "%.3f, too late %d, cut %d of %d\n",
			       load, (double)out.in_time / out.total,
			       (double)out.late / out.total,
			       (double)out.refused / out.total, out.too_late,
			       out.cut, out.total);
		}
}

/* Links that know nothing of the stops are caught by the check above. */
TEST(FullLink, TheCheckNoticesLinksThatDoNotKnowOfTheStops)
{
	for (double load : {1.0, 1.4, 1.8})
		EXPECT_GT(replay_stops(false, load, 11).cut, 0) << load;
}

/*
 * A proxy reads 128 KB of an answer ahead (PX_OUT_HIGH_WATER_BYTES), and its
 * link does not see the rest, which the backend server holds.  Rare here: these
 * are the seeds of 11 to 110 at which an answer was cut off.
 */
TEST(FullLink, NoAnswerThatIsReadInPartsIsCutOffByThePlannedStop)
{
	static const struct {
		double load;
		uint64_t seed;
	} cases[] = {{1.0, 34}, {1.0, 88}, {1.4, 21}, {1.4, 31}};

	for (const auto &c : cases) {
		result whole = replay_stops(true, c.load, c.seed);
		result in_parts =
			replay_stops(true, c.load, c.seed, 128 * 1024);

		EXPECT_EQ(whole.cut, 0) << c.load << " seed " << c.seed;
		EXPECT_EQ(in_parts.cut, 0) << c.load << " seed " << c.seed;
	}
}

} // namespace
