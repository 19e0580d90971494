#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "http/ht_pool.h"

/*
 * An idle connection is closed this long before the timeout that the other end
 * states, so that no request is on its way when the other end closes it.
 */
#define IDLE_MARGIN (500 * BA_MS)

/* An idle connection, and its owner while it is idle. */
struct idle_conn {
	struct ht_conn_owner owner;
	struct ba_list link;
	struct ht_pool *pool;
	struct ht_conn *conn;
};

struct ht_pool {
	struct ba_loop *loop;
	struct ht_pool_options o;
	struct ba_list idle;
	size_t n_idle;
};

static struct idle_conn *find_usable(struct ht_pool *p);
static ba_time find_idle_timeout(const struct ht_pool *p,
				 const struct ht_head *h);
static void remove_idle(struct idle_conn *ic);
static void on_unexpected(struct ht_conn_owner *o, struct ht_conn *c);
static void on_ended(struct ht_conn_owner *o, struct ht_conn *c,
		     enum ht_end why);

struct ht_pool *ht_pool_new(struct ba_loop *loop,
			    const struct ht_pool_options *o)
{
	struct ht_pool *p = g_new0(struct ht_pool, 1);

	p->loop = loop;
	p->o = *o;
	ba_list_init(&p->idle);
	return p;
}

void ht_pool_free(struct ht_pool *p)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	if (!p)
		return;
	ba_list_each_safe(pos, tmp, &p->idle)
	{
		struct idle_conn *ic = ba_entry(pos, struct idle_conn, link);

		ht_conn_abort(ic->conn);
		remove_idle(ic);
	}
	g_free(p);
}

struct ht_conn *ht_pool_take(struct ht_pool *p, struct ht_conn_owner *o,
			     bool *fresh)
{
	struct idle_conn *ic = find_usable(p);
	struct ht_conn *c;

	*fresh = !ic;
	if (!ic) {
		c = ht_conn_dial(p->loop, &p->o.to, p->o.head_limit, o);
		ht_conn_set_account(c, p->o.account);
		return c;
	}
	c = ic->conn;
	remove_idle(ic);
	ht_conn_set_deadline(c, BA_NEVER);
	ht_conn_set_owner(c, o);
	ht_conn_read_next(c);
	return c;
}

/*
 * Skips a connection whose received bytes are still being parsed: bytes may
 * follow its answer.
 */
static struct idle_conn *find_usable(struct ht_pool *p)
{
	struct ba_list *pos;

	ba_list_each(pos, &p->idle)
	{
		struct idle_conn *ic = ba_entry(pos, struct idle_conn, link);

		if (!ht_conn_in_callback(ic->conn))
			return ic;
	}
	return NULL;
}

void ht_pool_give(struct ht_pool *p, struct ht_conn *c)
{
	struct idle_conn *ic;
	ba_time idle;

	if (!p || p->n_idle >= p->o.max_idle || !ht_conn_is_reusable(c)) {
		ht_conn_abort(c);
		return;
	}
	idle = find_idle_timeout(p, ht_conn_head(c));
	if (idle <= 0) {
		ht_conn_abort(c);
		return;
	}
	ic = g_new0(struct idle_conn, 1);
	ic->owner.begun = on_unexpected;
	ic->owner.ended = on_ended;
	ic->pool = p;
	ic->conn = c;
	ba_list_prepend(&p->idle, &ic->link);
	p->n_idle++;
	ht_conn_set_owner(c, &ic->owner);
	ht_conn_set_deadline(c, ba_loop_now(p->loop) + idle);
}

/*
 * Uses the timeout of the Keep-Alive field, which is in whole seconds, up to
 * that of the pool.
 */
static ba_time find_idle_timeout(const struct ht_pool *p,
				 const struct ht_head *h)
{
	const char *value = ht_head_get(h, "Keep-Alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;
	ba_time idle;

	if (!timeout)
		return p->o.idle_timeout;
	idle = atoi(timeout + strlen("timeout=")) * BA_SECOND - IDLE_MARGIN;
	return MIN(idle, p->o.idle_timeout);
}

static void remove_idle(struct idle_conn *ic)
{
	ba_list_remove(&ic->link);
	ic->pool->n_idle--;
	g_free(ic);
}

/* No request is pending, so what begins here is not an answer. */
static void on_unexpected(struct ht_conn_owner *o, struct ht_conn *c)
{
	remove_idle((struct idle_conn *)o);
	ht_conn_abort(c);
}

static void on_ended(struct ht_conn_owner *o, struct ht_conn *c,
		     enum ht_end why)
{
	(void)c;
	(void)why;
	remove_idle((struct idle_conn *)o);
}
