#include <string.h>

#include "base/ba_result.h"
#include "proxy/px_internal.h"

/* The rank of an answer on the link is what was decided for its call. */
G_STATIC_ASSERT((int)HT_LINK_RANKS == (int)CL_CARRY_RANKS);

static void pool_free(gpointer data);
static void split_free(gpointer data);
static int listen_all(struct px *p, const struct ba_address **failed);
static int serve(struct px *p, const struct ba_address *at,
		 struct ht_service **out);

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
	p->controls.request = px_control_request;
	p->gate.turn.fire = px_gate_on_turn;
	p->link = ht_link_new(loop, o->link_rate, CL_CARRY_WEIGHT,
			      ba_loop_now(loop));
	p->carry.rate = o->link_rate;
	ba_list_init(&p->fronts);
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
	return p->n_exchanges + ht_link_busy(p->link);
}

void px_free(struct px *p)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	if (!p)
		return;
	ht_listener_close(p->caller_listener);
	ht_listener_close(p->peer_listener);
	ht_service_free(p->ready);
	ht_service_free(p->beats);
	ba_list_each_safe(pos, tmp, &p->fronts)
		px_front_free(ba_entry(pos, struct px_front, link));
	ba_loop_disarm(p->loop, &p->gate.turn);
	g_hash_table_destroy(p->pools);
	g_hash_table_destroy(p->splits);
	cl_wait_free(p->gate.wait);
	g_hash_table_destroy(p->seen);
	g_hash_table_destroy(p->retries);
	ht_pool_free(p->gate.pool);
	cl_admit_free(p->gate.admit);
	cl_router_free(p->router);
	ht_link_free(p->link);
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
	*failed = &p->o.callers;
	if (ht_listen(p->loop, *failed, &p->callers, &p->caller_listener))
		return BA_PORT_IN_USE;
	*failed = &p->o.peers;
	if (ht_listen(p->loop, *failed, &p->peers, &p->peer_listener))
		return BA_PORT_IN_USE;
	*failed = &p->o.ready;
	if (serve(p, *failed, &p->ready))
		return BA_PORT_IN_USE;
	*failed = &p->o.beats;
	return serve(p, *failed, &p->beats);
}

/* Calls of the platform, where the settings ask for them. */
static int serve(struct px *p, const struct ba_address *at,
		 struct ht_service **out)
{
	const struct ht_service_options o = {
		.at = at,
		.head_limit = PX_HEAD_LIMIT_BYTES,
		.body_limit = PX_CONTROL_BYTES,
		.idle = PX_IDLE_TIMEOUT,
	};

	return at->len ? ht_service_new(p->loop, &o, &p->controls, out) : BA_OK;
}
