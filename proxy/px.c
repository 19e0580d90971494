#include <string.h>

#include "base/ba_result.h"
#include "proxy/px_internal.h"

/* px_upstream.c passes the rank of call/ to the link unconverted. */
G_STATIC_ASSERT((int)HT_LINK_RANKS == (int)CL_EGRESS_RANKS);

static void announce_leaving(struct px *p);
static struct px_exchange *find_unanswered(struct px *p);
static void pool_free(gpointer data);
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
		.load_aware = true,
	};
	int ret;

	p->loop = loop;
	p->started_at = ba_loop_now(loop);
	p->o = *o;
	p->dialect = o->dialect;
	p->owner = owner;
	p->rand.state = o->seed;
	p->caller_acceptor.accept = px_downstream_accept_caller;
	p->peer_acceptor.accept = px_downstream_accept_peer;
	p->control_owner.request = px_control_on_request;
	p->control_owner.cancelled = px_departure_on_cancelled;
	p->backend.dispatch_timer.fire = px_backend_on_dispatch;
	p->link = ht_link_new(loop, o->link_rate, CL_EGRESS_IN_TIME_WEIGHT,
			      ba_loop_now(loop));
	p->egress.rate = o->link_rate;
	ba_list_init(&p->downstreams);
	ba_list_init(&p->exchanges);
	ba_list_init(&p->notices);
	px_crowd_init(p);
	p->router = cl_router_new(&router);
	p->gates =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->retry_budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->splits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  (GDestroyNotify)cl_split_free);
	p->patience =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->sizes = cl_sizes_new();
	ep_presence_init(&p->backend.presence);
	p->backend.sched = cl_sched_new();
	p->stated = cl_stated_new();
	px_departure_init(p);
	px_poison_init(p);
	px_quota_init(p);
	px_rollout_init(p);
	p->peer_pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
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
	px_quota_configure(p);
	cl_router_set_rollouts(p->router, s);
	px_rollout_check(p);
	px_exchange_resume(p, PX_ATTEMPT_HELD);
}

/* What is no number is no version. */
void px_note_version(struct px *p, const struct ht_head *h)
{
	const char *text = ht_head_get(h, PX_FIELD_VERSION);
	uint64_t version;

	if (text &&
	    g_ascii_string_to_unsigned(text, 10, 1, UINT64_MAX, &version, NULL))
		p->owner->version_heard(p->owner, version);
}

ba_time px_read_duration(const char *text)
{
	return CLAMP(g_ascii_strtoll(text, NULL, 10), -24 * BA_HOUR,
		     24 * BA_HOUR);
}

void px_set_endpoints(struct px *p, const struct ep_view *v)
{
	cl_router_update(p->router, v, ba_loop_now(p->loop));
	px_poison_learn(p, v);
	p->endpoints_known = true;
	px_exchange_resume(p, PX_ATTEMPT_HELD);
}

void px_begin_stop(struct px *p, ba_time leaves_at)
{
	p->stopping = true;
	p->leaves_at = leaves_at;
	ht_link_set_end(p->link, leaves_at);
	announce_leaving(p);
}

/* The second notice reaches those that the first one has overtaken. */
void px_refuse_requests(struct px *p)
{
	if (p->refuses_requests)
		return;
	p->refuses_requests = true;
	announce_leaving(p);
}

void px_end_requests(struct px *p)
{
	struct px_exchange *x;

	p->begins_nothing = true;
	while ((x = find_unanswered(p)))
		px_exchange_give_up(x);
}

unsigned int px_count_in_progress(const struct px *p)
{
	return p->n_exchanges + ht_link_count_unsent_users(p->link);
}

void px_free(struct px *p)
{
	if (!p)
		return;
	ht_listener_close(p->caller_listener);
	ht_listener_close(p->peer_listener);
	ht_service_free(p->ready_service);
	ht_service_free(p->heartbeat_service);
	while (!ba_list_empty(&p->downstreams))
		px_downstream_free(ba_entry(p->downstreams.next,
					    struct px_downstream, link));
	px_upstream_end_notices(p);
	px_crowd_free(p);
	ba_loop_disarm(p->loop, &p->backend.dispatch_timer);
	px_departure_free(p);
	px_poison_free(p);
	px_quota_free(p);
	px_rollout_free(p);
	g_hash_table_destroy(p->peer_pools);
	g_hash_table_destroy(p->gates);
	g_hash_table_destroy(p->splits);
	cl_sched_free(p->backend.sched);
	cl_stated_free(p->stated);
	g_hash_table_destroy(p->patience);
	cl_sizes_free(p->sizes);
	g_hash_table_destroy(p->retry_budgets);
	ht_pool_free(p->backend.pool);
	cl_admit_free(p->backend.admit);
	cl_router_free(p->router);
	ht_link_free(p->link);
	cf_snapshot_unref(p->snapshot);
	g_free(p);
}

static void announce_leaving(struct px *p)
{
	struct ba_list *pos;

	ba_list_each(pos, &p->exchanges)
	{
		struct px_exchange *x = ba_entry(pos, struct px_exchange, link);

		if (x->state == PX_ATTEMPT_AT_PEER)
			px_upstream_announce_leaving(x);
	}
}

/* Searches from the start: ending one request may end others in the list. */
static struct px_exchange *find_unanswered(struct px *p)
{
	struct ba_list *pos;

	ba_list_each(pos, &p->exchanges)
	{
		struct px_exchange *x = ba_entry(pos, struct px_exchange, link);

		if (!px_exchange_is_answered(x))
			return x;
	}
	return NULL;
}

static void pool_free(gpointer data)
{
	ht_pool_free(data);
}

static int listen_all(struct px *p, const struct ba_address **failed)
{
	*failed = &p->o.caller_address;
	if (ht_listen(p->loop, *failed, &p->caller_acceptor,
		      &p->caller_listener))
		return BA_PORT_IN_USE;
	*failed = &p->o.peer_address;
	if (ht_listen(p->loop, *failed, &p->peer_acceptor, &p->peer_listener))
		return BA_PORT_IN_USE;
	*failed = &p->o.ready_address;
	if (serve(p, *failed, &p->ready_service))
		return BA_PORT_IN_USE;
	*failed = &p->o.registration_address;
	return serve(p, *failed, &p->heartbeat_service);
}

/* Serves control calls at @at, if the settings name that address. */
static int serve(struct px *p, const struct ba_address *at,
		 struct ht_service **out)
{
	const struct ht_service_options o = {
		.address = at,
		.head_limit = PX_HEAD_LIMIT_BYTES,
		.body_limit = PX_CONTROL_BODY_LIMIT_BYTES,
		.idle_timeout = PX_DEFAULT_IDLE_TIMEOUT,
		.max_connections = px_crowd_max_control(p),
		.account = p->memory,
	};

	return at->len ? ht_service_new(p->loop, &o, &p->control_owner, out)
		       : BA_OK;
}
