/* A roll-out during a soak: half of the backend servers state a new version. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "bench/soak.h"
#include "test/platform_names.h"

/* What RULES allow a bad version. */
#define ROLL_BACK_LIMIT (5 * BA_SECOND)
enum { BAD_ANSWERS = 50 };

#define ORDER_DELAY (2 * BA_SECOND)
#define RETRY_DELAY (200 * BA_MS)
#define LAST_TIME (2 * BA_SECOND)

static const char *const versions[] = {"v1", "v2"};

static int index_of(const struct soak_machine *m);
static void send_order(struct soak *s);
static void on_order(struct soak_call *call);

const char *soak_rollout_version(const struct soak_machine *m)
{
	return versions[index_of(m)];
}

void soak_rollout_step(struct soak *s, ba_time now, ba_time end)
{
	struct soak_rollout *r = &s->rollout;

	if (!r->duration || !s->calling)
		return;
	if (!r->send_at)
		r->send_at = now + ORDER_DELAY;
	if (!r->sending && now >= r->send_at)
		send_order(s);
	if (now < end - LAST_TIME)
		memset(r->n_last, 0, sizeof(r->n_last));
}

bool soak_rollout_on_work(struct soak_machine *m)
{
	struct soak *s = m->soak;
	struct soak_rollout *r = &s->rollout;
	ba_time now = ba_loop_now(s->loop);
	int i = index_of(m);

	if (!r->ordered_at || m < s->machines + s->n_callers)
		return false;
	r->n_last[i]++;
	if (now < r->ordered_at + r->duration) {
		r->n_runs++;
		r->n_target += (uint64_t)i;
	}
	if (!i || !r->bad)
		return false;
	r->n_late += r->judged_at && now > r->judged_at + ROLL_BACK_LIMIT;
	if (ba_rand_below(&s->rand, 2))
		return false;
	if (++r->n_failed == BAD_ANSWERS)
		r->judged_at = now;
	return true;
}

void soak_rollout_print(const struct soak *s)
{
	const struct soak_rollout *r = &s->rollout;

	printf(",\"rollout_ordered\":%d,\"rollout_runs\":%" PRIu64
	       ",\"rollout_target\":%" PRIu64 ",\"rollout_failed\":%" PRIu64
	       ",\"rollout_late\":%" PRIu64 ",\"last_old\":%" PRIu64
	       ",\"last_target\":%" PRIu64,
	       (int)(r->send_at == BA_NEVER), r->n_runs, r->n_target,
	       r->n_failed, r->n_late, r->n_last[0], r->n_last[1]);
}

/* Which of the versions it has. */
static int index_of(const struct soak_machine *m)
{
	const struct soak *s = m->soak;
	int i = (int)(m - s->machines);

	return s->rollout.duration && i >= s->n_callers && i % 2;
}

static void send_order(struct soak *s)
{
	struct soak_rollout *r = &s->rollout;
	struct ba_buf body = {0};
	struct ba_address at;

	for (int i = 0; i < s->n_cores; i++)
		if (!strcmp(r->call.location, s->cores[i].at.text))
			r->core = i;
	at = s->cores[r->core].at;
	r->call = (struct soak_call){.done = on_order};
	r->sending = true;
	if (!r->ordered_at)
		r->ordered_at = ba_loop_now(s->loop);
	ba_buf_addf(&body, PN_ROLLOUT, "long", versions[1],
		    (int)(r->duration / BA_MS));
	soak_call_send(s->loop, &r->call, &at,
		       "POST " PN_ROLLOUT_PATH " HTTP/1.1\r\n",
		       ba_buf_text(&body));
	ba_buf_free(&body);
}

static void on_order(struct soak_call *call)
{
	struct soak_rollout *r = ba_entry(call, struct soak_rollout, call);
	struct soak *s = ba_entry(r, struct soak, rollout);

	r->sending = false;
	if (call->status == 200) {
		soak_log(s, "roll-out ordered");
		r->send_at = BA_NEVER;
		return;
	}
	r->core = (r->core + 1) % s->n_cores;
	r->send_at = ba_loop_now(s->loop) + RETRY_DELAY;
}
