#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "http/ht_pool.h"

/* A request on its way must not cross the other end's close. */
#define IDLE_MARGIN (500 * BA_MS)

/* struct waiting - one connection; its owner while nobody uses it */
struct waiting {
	struct ht_owner owner;
	struct ba_list link;
	struct ht_pool *pool;
	struct ht_conn *conn;
};

struct ht_pool {
	struct ba_loop *loop;
	struct ht_pool_options o;
	struct ba_list idle;
	size_t n;
};

static struct waiting *find_free(struct ht_pool *p);
static ba_time idle_time(const struct ht_pool *p, const struct ht_head *h);
static void forget(struct waiting *w);
static void on_head(struct ht_owner *o, struct ht_conn *c);
static void on_ended(struct ht_owner *o, struct ht_conn *c, enum ht_end why);

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
		struct waiting *w = ba_entry(pos, struct waiting, link);

		ht_conn_abort(w->conn);
		forget(w);
	}
	g_free(p);
}

struct ht_conn *ht_pool_take(struct ht_pool *p, struct ht_owner *o, bool *fresh)
{
	struct waiting *w = find_free(p);
	struct ht_conn *c;

	*fresh = !w;
	if (!w)
		return ht_conn_dial(p->loop, &p->o.to, p->o.head_limit, o);
	c = w->conn;
	forget(w);
	ht_conn_expect(c, BA_NEVER);
	ht_conn_own(c, o);
	ht_conn_next(c);
	return c;
}

/* One that is still being read may have bytes behind its answer. */
static struct waiting *find_free(struct ht_pool *p)
{
	struct ba_list *pos;

	ba_list_each(pos, &p->idle)
	{
		struct waiting *w = ba_entry(pos, struct waiting, link);

		if (!ht_conn_in_call(w->conn))
			return w;
	}
	return NULL;
}

void ht_pool_give(struct ht_pool *p, struct ht_conn *c)
{
	struct waiting *w;
	ba_time idle;

	if (!p || p->n >= p->o.most || !ht_conn_reusable(c)) {
		ht_conn_abort(c);
		return;
	}
	idle = idle_time(p, ht_conn_head(c));
	if (idle <= 0) {
		ht_conn_abort(c);
		return;
	}
	w = g_new0(struct waiting, 1);
	w->owner.head = on_head;
	w->owner.ended = on_ended;
	w->pool = p;
	w->conn = c;
	ba_list_prepend(&p->idle, &w->link);
	p->n++;
	ht_conn_own(c, &w->owner);
	ht_conn_expect(c, ba_loop_now(p->loop) + idle);
}

/* As told by Keep-Alive, in whole seconds, else as set for the pool. */
static ba_time idle_time(const struct ht_pool *p, const struct ht_head *h)
{
	const char *value = ht_head_get(h, "Keep-Alive");
	const char *told = value ? strstr(value, "timeout=") : NULL;
	ba_time idle;

	if (!told)
		return p->o.idle;
	idle = atoi(told + strlen("timeout=")) * BA_SECOND - IDLE_MARGIN;
	return MIN(idle, p->o.idle);
}

static void forget(struct waiting *w)
{
	ba_list_remove(&w->link);
	w->pool->n--;
	g_free(w);
}

/* Nothing was asked, so whatever comes is no answer. */
static void on_head(struct ht_owner *o, struct ht_conn *c)
{
	forget((struct waiting *)o);
	ht_conn_abort(c);
}

static void on_ended(struct ht_owner *o, struct ht_conn *c, enum ht_end why)
{
	(void)c;
	(void)why;
	forget((struct waiting *)o);
}
