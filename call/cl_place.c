#include <glib.h>

#include "call/cl_place.h"

enum {
	WORK_SAMPLES = 32,   /* in the moving average of the work */
	USUAL_SAMPLES = 16,  /* in those of speed and load */
	NETWORK_SAMPLES = 8, /* in that of the time on the way */
};

/* A silence of this many times the work makes an endpoint count as slower. */
#define SILENCE_RATIO 3.0

static double faded(double last, double usual, ba_time age);
static void set_wait(struct cl_place_time *t, double calls, double slots);

void cl_work_state(struct cl_work *w, uint32_t speed)
{
	w->speed = speed;
}

void cl_work_record(struct cl_work *w, uint32_t speed_before, ba_time took)
{
	double speed = w->speed ? w->speed : CL_PLACE_USUAL_SPEED;
	double sample;

	if (speed_before)
		speed = (speed + speed_before) / 2;
	sample = (double)MAX(took, 1) * CL_PLACE_USUAL_SPEED / speed;
	if (w->hold > 0)
		w->hold += (sample - w->hold) / WORK_SAMPLES;
	else
		w->hold = sample;
}

void cl_place_init(struct cl_place *p)
{
	*p = (struct cl_place){
		.speed = CL_PLACE_USUAL_SPEED,
		.usual_speed = CL_PLACE_USUAL_SPEED,
		.network = -1,
	};
}

void cl_place_sent(struct cl_place *p, uint32_t in_flight, ba_time now)
{
	if (in_flight <= 1)
		p->heard_at = now;
}

void cl_place_record(struct cl_place *p, const struct cl_place_report *r,
		     uint32_t in_flight, ba_time took, ba_time now)
{
	double network = (double)MAX(took - r->spent, 0);

	p->others = r->calls > in_flight ? r->calls - in_flight : 0;
	p->speed = r->speed;
	if (!p->reported_at) {
		p->usual_others = p->others;
		p->usual_speed = p->speed;
	}
	p->usual_others += (p->others - p->usual_others) / USUAL_SAMPLES;
	p->usual_speed += (p->speed - p->usual_speed) / USUAL_SAMPLES;
	if (r->hold > 0)
		p->hold = (double)r->hold;
	if (p->network < 0)
		p->network = network;
	p->network += (network - p->network) / NETWORK_SAMPLES;
	p->reported_at = now;
	p->heard_at = now;
}

struct cl_place_time cl_place_estimate(const struct cl_place *p,
				       const struct cl_place_site *s,
				       ba_time now)
{
	ba_time age = now - p->reported_at;
	double calls = s->in_flight + faded(p->others, p->usual_others, age);
	double hold = p->hold > 0 ? p->hold : s->hold;
	double silence = s->in_flight ? (double)(now - p->heard_at) : 0;
	struct cl_place_time t = {
		.work = hold * faded(p->speed, p->usual_speed, age) /
			CL_PLACE_USUAL_SPEED,
		.network = p->network < 0 ? s->network : p->network,
	};

	t.work = MAX(t.work, silence / SILENCE_RATIO);
	set_wait(&t, calls, MAX(s->slots, 1));
	return t;
}

struct cl_place_time cl_place_exact(const struct cl_place_report *r,
				    double hold)
{
	struct cl_place_time t = {
		.work = (r->hold > 0 ? (double)r->hold : hold) * r->speed /
			CL_PLACE_USUAL_SPEED,
	};

	set_wait(&t, r->calls, MAX(r->slots, 1));
	return t;
}

/* Two reservoirs of one, so that both are drawn by weight. */
void cl_place_consider(struct cl_place_draw *d, void *endpoint, double total,
		       double weight, struct ba_rand *rand)
{
	uint64_t bits = ba_rand_next(rand);

	if (!d->quickest || total < d->least) {
		d->quickest = endpoint;
		d->least = total;
	}
	d->weight += weight;
	for (int i = 0; i < 2; i++, bits >>= 32) {
		double u = (double)(uint32_t)bits / 4294967296.0;

		if (d->chosen[i] && u * d->weight >= weight)
			continue;
		d->chosen[i] = endpoint;
		d->total[i] = total;
	}
}

void *cl_place_better(const struct cl_place_draw *d, double *total)
{
	int best = d->total[1] < d->total[0];

	*total = d->total[best];
	return d->chosen[best];
}

static double faded(double last, double usual, ba_time age)
{
	return usual + (last - usual) * (double)CL_PLACE_HALF_WEIGHT_AGE /
			       (double)(CL_PLACE_HALF_WEIGHT_AGE + age);
}

/* A call waits until one more than those ahead of the slots has ended. */
static void set_wait(struct cl_place_time *t, double calls, double slots)
{
	double ahead = calls + 1 - slots;

	t->load = calls / slots;
	if (ahead > 0)
		t->wait = t->work * ahead / slots;
}
