#include "source/so.h"

void so_submit(struct so_source *s, struct so_waiter *w, const CtSubmit *submit)
{
	w->token = ++s->last_token;
	g_hash_table_insert(s->waiters, &w->token, w);
	rp_node_submit(s->node, w->token, submit, ba_loop_now(s->loop),
		       ba_clock_wall());
	so_source_rearm(s);
}

void so_submit_cancel(struct so_source *s, struct so_waiter *w)
{
	if (!w->token)
		return;
	rp_node_cancel_wait(s->node, w->token);
	g_hash_table_remove(s->waiters, &w->token);
	w->token = 0;
}

void so_submit_deliver_outcome(struct so_source *s, uint64_t token,
			       const CtOutcome *outcome)
{
	struct so_waiter *w = g_hash_table_lookup(s->waiters, &token);

	if (!w)
		return;
	g_hash_table_remove(s->waiters, &token);
	w->token = 0;
	w->outcome(w, outcome);
}
