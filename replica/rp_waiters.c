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

static struct waiter *find_waiter(const struct rp_waiters *w, const char *id);
static void remove_waiter(struct rp_waiters *w, struct waiter *waiter);

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
		remove_waiter(w, ba_entry(pos, struct waiter, link));
	}
}

void rp_waiters_add(struct rp_waiters *w, uint64_t token, const char *id,
		    uint64_t index, ba_time deadline)
{
	struct waiter *waiter = g_new0(struct waiter, 1);

	waiter->token = token;
	waiter->id = g_strdup(id);
	waiter->index = index;
	waiter->deadline = deadline;
	ba_list_append(&w->list, &waiter->link);
	w->n++;
}

uint64_t rp_waiters_index(const struct rp_waiters *w, const char *id)
{
	const struct waiter *waiter = find_waiter(w, id);

	return waiter ? waiter->index : 0;
}

bool rp_waiters_take(struct rp_waiters *w, const char *id, uint64_t *token)
{
	struct waiter *waiter = find_waiter(w, id);

	if (!waiter)
		return false;
	*token = waiter->token;
	remove_waiter(w, waiter);
	return true;
}

void rp_waiters_move(struct rp_waiters *w, ba_time until, uint64_t from,
		     struct rp_waiters *to)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_each_safe(pos, tmp, &w->list)
	{
		const struct waiter *waiter =
			ba_entry(pos, struct waiter, link);

		if (waiter->deadline > until || waiter->index < from)
			continue;
		ba_list_remove(pos);
		ba_list_append(&to->list, pos);
		w->n--;
		to->n++;
	}
}

void rp_waiters_remove(struct rp_waiters *w, uint64_t token)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_each_safe(pos, tmp, &w->list)
	{
		struct waiter *waiter = ba_entry(pos, struct waiter, link);

		if (waiter->token == token)
			remove_waiter(w, waiter);
	}
}

ba_time rp_waiters_deadline(const struct rp_waiters *w)
{
	if (ba_list_empty(&w->list))
		return BA_NEVER;
	return ba_entry(w->list.next, struct waiter, link)->deadline;
}

static struct waiter *find_waiter(const struct rp_waiters *w, const char *id)
{
	const struct ba_list *pos;

	ba_list_each(pos, &w->list)
	{
		struct waiter *waiter = ba_entry(pos, struct waiter, link);

		if (!id || !strcmp(waiter->id, id))
			return waiter;
	}
	return NULL;
}

static void remove_waiter(struct rp_waiters *w, struct waiter *waiter)
{
	ba_list_remove(&waiter->link);
	w->n--;
	g_free(waiter->id);
	g_free(waiter);
}
