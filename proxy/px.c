#include <string.h>

#include "base/ba_result.h"
#include "proxy/px_internal.h"

static void pool_free(gpointer data);
static void split_free(gpointer data);
static int listen_all(struct px *p, const struct ba_address **failed);
static void free_controls(struct px *p);

int px_new(struct ba_loop *loop, const struct px_options *o,
	   struct px_owner *owner, const struct ba_address **failed,
	   struct px **out)
{
	struct px *p = g_new0(struct px, 1);
	const struct cl_router_options router = {
		.instance = o->instance,
		.data_centre = o->data_centre,
		.region = o->region,
		.first_hand = true,
	};
	int ret;

	p->loop = loop;
	p->o = *o;
	p->dialect = o->dialect;
	p->owner = owner;
	p->rand.state = o->seed;
	p->callers.accept = px_front_accept_caller;
	p->peers.accept = px_front_accept_peer;
	p->controls.accept = px_control_accept;
	p->gate.turn.fire = px_gate_on_turn;
	ba_list_init(&p->fronts);
	ba_list_init(&p->controls_open);
	ba_list_init(&p->exchanges);
	p->router = cl_router_new(&router);
	p->retries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->splits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  split_free);
	p->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->gate.wait = cl_wait_new();
	p->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 pool_free);
	ret = listen_all(p, failed);
	if (ret) {
		px_free(p);
		return ret;
	}
	*out = p;
	return BA_OK;
}

void px_configure(struct px *p, struct cf_snapshot *s)
{
	struct cf_snapshot *old = p->snapshot;

	p->snapshot = cf_snapshot_ref(s);
	cf_snapshot_unref(old);
}

void px_endpoints(struct px *p, const struct ep_view *v)
{
	p->n_endpoints = 0;
	for (size_t i = 0; i < v->n_services; i++)
		p->n_endpoints += (uint32_t)v->services[i].n_records;
	cl_router_update(p->router, v, ba_loop_now(p->loop));
	p->routed = true;
}

void px_stop(struct px *p)
{
	p->stopping = true;
}

void px_close(struct px *p)
{
	p->closed = true;
}

void px_finish(struct px *p)
{
	while (!ba_list_empty(&p->exchanges))
		px_exchange_give_up(
			ba_entry(p->exchanges.next, struct px_exchange, link));
}

unsigned int px_in_progress(const struct px *p)
{
	return p->n_exchanges;
}

void px_free(struct px *p)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	if (!p)
		return;
	for (size_t i = 0; i < p->n_listeners; i++)
		ht_listener_close(p->listeners[i]);
	ba_list_each_safe(pos, tmp, &p->fronts)
		px_front_free(ba_entry(pos, struct px_front, link));
	free_controls(p);
	ba_loop_disarm(p->loop, &p->gate.turn);
	g_hash_table_destroy(p->pools);
	g_hash_table_destroy(p->splits);
	cl_wait_free(p->gate.wait);
	g_hash_table_destroy(p->seen);
	g_hash_table_destroy(p->retries);
	ht_pool_free(p->gate.pool);
	cl_admit_free(p->gate.admit);
	cl_router_free(p->router);
	cf_snapshot_unref(p->snapshot);
	g_free(p);
}

static void pool_free(gpointer data)
{
	ht_pool_free(data);
}

static void split_free(gpointer data)
{
	struct px_split *s = data;

	g_free(s->credit);
	g_free(s);
}

static int listen_all(struct px *p, const struct ba_address **failed)
{
	const struct {
		const struct ba_address *at;
		struct ht_acceptor *acceptor;
	} all[] = {
		{&p->o.callers, &p->callers},
		{&p->o.peers, &p->peers},
		{&p->o.ready, &p->controls},
		{&p->o.beats, &p->controls},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++) {
		*failed = all[i].at;
		if (!all[i].at->len)
			continue;
		if (ht_listen(p->loop, all[i].at, all[i].acceptor,
			      &p->listeners[p->n_listeners]))
			return BA_PORT_IN_USE;
		p->n_listeners++;
	}
	return BA_OK;
}

static void free_controls(struct px *p)
{
	while (!ba_list_empty(&p->controls_open))
		px_control_free(p->controls_open.next);
}
