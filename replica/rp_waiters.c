#include <string.h>

#include <glib.h>

#include "replica/rp_waiters.h"

struct waiter {
	struct ba_list link;
	uint64_t token;
	char *id;
	uint64_t index;
	ba_time deadline;
};

static struct waiter *find(const struct rp_waiters *w, const char *id);
static void drop(struct rp_waiters *w, struct waiter *one);

void rp_waiters_init(struct rp_waiters *w)
{
	ba_list_init(&w->list);
	w->n = 0;
}

void rp_waiters_free(struct rp_waiters *w)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_each_safe(pos, tmp, &w->list)
	{
		drop(w, ba_entry(pos, struct waiter, link));
	}
}

void rp_waiters_add(struct rp_waiters *w, uint64_t token, const char *id,
		    uint64_t index, ba_time deadline)
{
	struct waiter *one = g_new0(struct waiter, 1);

	one->token = token;
	one->id = g_strdup(id);
	one->index = index;
	one->deadline = deadline;
	ba_list_append(&w->list, &one->link);
	w->n++;
}

uint64_t rp_waiters_index(const struct rp_waiters *w, const char *id)
{
	const struct waiter *one = find(w, id);

	return one ? one->index : 0;
}

bool rp_waiters_take(struct rp_waiters *w, const char *id, uint64_t *token)
{
	struct waiter *one = find(w, id);

	if (!one)
		return false;
	*token = one->token;
	drop(w, one);
	return true;
}

void rp_waiters_move(struct rp_waiters *w, ba_time until, uint64_t from,
		     struct rp_waiters *to)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_each_safe(pos, tmp, &w->list)
	{
		const struct waiter *one = ba_entry(pos, struct waiter, link);

		if (one->deadline > until || one->index < from)
			continue;
		ba_list_remove(pos);
		ba_list_append(&to->list, pos);
		w->n--;
		to->n++;
	}
}

void rp_waiters_forget(struct rp_waiters *w, uint64_t token)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_each_safe(pos, tmp, &w->list)
	{
		struct waiter *one = ba_entry(pos, struct waiter, link);

		if (one->token == token)
			drop(w, one);
	}
}

ba_time rp_waiters_deadline(const struct rp_waiters *w)
{
	if (ba_list_empty(&w->list))
		return BA_NEVER;
	return ba_entry(w->list.next, struct waiter, link)->deadline;
}

static struct waiter *find(const struct rp_waiters *w, const char *id)
{
	const struct ba_list *pos;

	ba_list_each(pos, &w->list)
	{
		struct waiter *one = ba_entry(pos, struct waiter, link);

		if (!id || !strcmp(one->id, id))
			return one;
	}
	return NULL;
}

static void drop(struct rp_waiters *w, struct waiter *one)
{
	ba_list_remove(&one->link);
	w->n--;
	g_free(one->id);
	g_free(one);
}
