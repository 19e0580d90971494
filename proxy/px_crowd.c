#include "proxy/px_internal.h"
#include "report/rt.h"

/* Of the descriptors, for the process's own and for what is being closed. */
#define OWN_DESCRIPTORS_SHARE (1.0 / 16)
#define MIN_OWN_DESCRIPTORS 32
/* Of the others; what is left is for connections to other ends. */
#define CALLERS_SHARE 0.35
#define PEERS_SHARE 0.25
#define CONTROL_SHARE 0.05
/* Of all connections together, where no more are accepted. */
#define ACCEPT_SHARE 0.9
/* Between two looks at what is held, while memory is short. */
#define LOOK_PERIOD (100 * BA_MS)
/* A body waits for memory so long at most. */
#define PAUSE_LIMIT (2 * BA_SECOND)
/* Who takes nothing of its answers for so long may be closed, too. */
#define UNTAKEN_LIMIT (5 * BA_SECOND)

static unsigned int share(const struct px *p, double of_descriptors);
static struct px_downstream *find_idle(struct px *p, bool from_peer);
static struct px_downstream *find_unfinished(struct px *p, bool from_peer);
static bool pause_body(struct px_downstream *d);
static void on_look(struct ba_timer *t, ba_time now);
static void refuse_tired(struct px *p, ba_time now);
static bool close_worst(struct px *p, const struct px_downstream *except);
static double weight_of(const struct px_downstream *d, ba_time now);
static void resume(struct px *p);

void px_crowd_init(struct px *p)
{
	p->memory = ba_account_new((uint64_t)p->o.memory);
	ba_list_init(&p->crowd.paused);
	p->crowd.timer.fire = on_look;
	p->crowd.max_conns[false] = share(p, CALLERS_SHARE);
	p->crowd.max_conns[true] = share(p, PEERS_SHARE);
}

void px_crowd_free(struct px *p)
{
	ba_loop_disarm(p->loop, &p->crowd.timer);
	g_clear_pointer(&p->memory, ba_account_unref);
}

unsigned int px_crowd_max_control(const struct px *p)
{
	return share(p, CONTROL_SHARE);
}

bool px_crowd_admit(struct px *p, bool from_peer)
{
	struct px_crowd *s = &p->crowd;
	unsigned int max_all = share(p, ACCEPT_SHARE);
	struct px_downstream *d;

	if (!max_all || (s->n_conns[from_peer] < s->max_conns[from_peer] &&
			 p->memory->conns < max_all))
		return true;
	rt_count(RT_CONNS_TURNED_AWAY, 1);
	ba_account_note(p->memory, BA_CROWD_TURNED_AWAY, ba_loop_now(p->loop));
	d = find_idle(p, from_peer);
	if (d) {
		px_downstream_free(d);
		return true;
	}
	d = find_unfinished(p, from_peer);
	if (d)
		px_downstream_refuse_unread(d);
	return d != NULL;
}

bool px_crowd_reserve(struct px_downstream *d, size_t bytes)
{
	struct px *p = d->p;

	while (!ba_account_has_room(p->memory, bytes, bytes))
		if (!close_worst(p, d))
			return false;
	ba_charge_set(&d->body_charge, bytes);
	return true;
}

bool px_crowd_grow(struct px_downstream *d)
{
	struct ba_charge *c = &d->body_charge;
	size_t bytes = MAX(d->body.alloc, c->bytes);
	bool fits = ba_account_has_room(d->p->memory, bytes - c->bytes, bytes);

	ba_charge_set(c, bytes);
	return fits || pause_body(d);
}

void px_crowd_unpause(struct px_downstream *d)
{
	if (!d->paused_at)
		return;
	ba_list_remove(&d->paused_link);
	d->paused_at = 0;
	d->p->crowd.n_paused--;
}

size_t px_crowd_high_water(struct px *p)
{
	if (!ba_account_is_tight(p->memory))
		return PX_OUT_HIGH_WATER_BYTES;
	px_crowd_watch(p);
	return PX_OUT_TIGHT_BYTES;
}

void px_crowd_leave(struct px_downstream *d)
{
	px_crowd_unpause(d);
	d->p->crowd.n_conns[d->from_peer]--;
}

void px_crowd_watch(struct px *p)
{
	if (!p->crowd.timer.slot &&
	    (p->crowd.n_paused || ba_account_is_tight(p->memory)))
		ba_loop_arm(p->loop, &p->crowd.timer,
			    ba_loop_now(p->loop) + LOOK_PERIOD);
}

/* Return: 0, for no limit, if the descriptors are not known. */
static unsigned int share(const struct px *p, double of_descriptors)
{
	double all = (double)p->o.descriptors;

	if (!p->o.descriptors)
		return 0;
	all -= MAX(all * OWN_DESCRIPTORS_SHARE, MIN_OWN_DESCRIPTORS);
	return (unsigned int)MAX(all * of_descriptors, 1);
}

/* The connections are in the order in which something last came. */
static struct px_downstream *find_idle(struct px *p, bool from_peer)
{
	struct ba_list *pos;

	ba_list_each(pos, &p->downstreams)
	{
		struct px_downstream *d =
			ba_entry(pos, struct px_downstream, link);

		if (d->from_peer == from_peer && !d->in_request &&
		    !d->is_behind && !ht_conn_out(d->conn)->len)
			return d;
	}
	return NULL;
}

static struct px_downstream *find_unfinished(struct px *p, bool from_peer)
{
	ba_time now = ba_loop_now(p->loop);
	struct ba_list *pos;

	ba_list_each(pos, &p->downstreams)
	{
		struct px_downstream *d =
			ba_entry(pos, struct px_downstream, link);

		if (d->from_peer == from_peer && !d->exchange &&
		    !d->is_behind && d->in_request &&
		    now - d->moved_at >= BA_HOLD_QUIET_TIME)
			return d;
	}
	return NULL;
}

/* Return: false if too many wait already. */
static bool pause_body(struct px_downstream *d)
{
	struct px_crowd *s = &d->p->crowd;

	if (d->paused_at)
		return true;
	if (s->n_paused >= PX_MAX_PAUSED)
		return false;
	s->n_paused++;
	ba_list_append(&s->paused, &d->paused_link);
	d->paused_at = ba_loop_now(d->p->loop);
	ht_conn_pause(d->conn, true);
	px_crowd_watch(d->p);
	return true;
}

/*
 * Answers crowds of bodies that do not end: what waits for memory gets that of
 * the connections that hold most and move least, or is refused.
 */
static void on_look(struct ba_timer *t, ba_time now)
{
	struct px_crowd *s = ba_entry(t, struct px_crowd, timer);
	struct px *p = ba_entry(s, struct px, crowd);

	while ((s->n_paused && ba_account_is_tight(p->memory)) ||
	       p->memory->used > p->memory->limit)
		if (!close_worst(p, NULL))
			break;
	resume(p);
	refuse_tired(p, now);
	px_crowd_watch(p);
}

/* Return: whether there was one, other than @except. */
static bool close_worst(struct px *p, const struct px_downstream *except)
{
	ba_time now = ba_loop_now(p->loop);
	struct px_downstream *worst = NULL;
	struct ba_list *pos;
	double most = 0;

	ba_list_each(pos, &p->downstreams)
	{
		struct px_downstream *d =
			ba_entry(pos, struct px_downstream, link);
		double weight = weight_of(d, now);

		if (except && d == except)
			continue;
		if (weight > most) {
			worst = d;
			most = weight;
		}
	}
	if (!worst)
		return false;
	rt_count(RT_HOLDERS_CLOSED, 1);
	ba_account_note(p->memory, BA_CROWD_CLOSED, now);
	if (worst->exchange || !worst->in_request)
		px_downstream_free(worst);
	else
		px_downstream_refuse_unread(worst);
	return true;
}

/*
 * A request that is being answered goes only if much of the answer is not taken,
 * or if much has come after it.
 */
static double weight_of(const struct px_downstream *d, ba_time now)
{
	size_t held = d->body_charge.bytes + ht_conn_held(d->conn);
	ba_time quiet = now - d->moved_at;

	if (d->paused_at)
		return 0;
	if (d->in_request && !d->exchange)
		return ba_hold_weight(held, quiet);
	if (ht_conn_held(d->conn) < 2 * PX_OUT_TIGHT_BYTES ||
	    quiet < UNTAKEN_LIMIT)
		return 0;
	return ba_hold_weight(held, quiet);
}

static void resume(struct px *p)
{
	while (p->crowd.n_paused && !ba_account_is_tight(p->memory)) {
		struct px_downstream *d =
			ba_entry(p->crowd.paused.next, struct px_downstream,
				 paused_link);

		px_crowd_unpause(d);
		d->moved_at = ba_loop_now(p->loop);
		ht_conn_pause(d->conn, false);
	}
}

static void refuse_tired(struct px *p, ba_time now)
{
	while (p->crowd.n_paused) {
		struct px_downstream *d =
			ba_entry(p->crowd.paused.next, struct px_downstream,
				 paused_link);

		if (now - d->paused_at < PAUSE_LIMIT)
			return;
		px_downstream_refuse_unread(d);
		resume(p);
	}
}
