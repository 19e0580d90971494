#include <string.h>

#include <glib.h>

#include "replica/rp_log.h"

static void drop_front(struct rp_log *l, size_t n);

struct rp_entry *rp_entry_new(uint64_t index, uint64_t term, int kind,
			      const void *body, size_t len)
{
	struct rp_entry *e = g_malloc(sizeof(*e) + len);

	e->index = index;
	e->term = term;
	e->kind = kind;
	e->len = len;
	if (len)
		memcpy(e->body, body, len);
	return e;
}

void rp_log_init(struct rp_log *l, uint64_t snapshot_index,
		 uint64_t snapshot_term)
{
	memset(l, 0, sizeof(*l));
	l->first = snapshot_index + 1;
	l->snapshot_index = snapshot_index;
	l->snapshot_term = snapshot_term;
}

void rp_log_free(struct rp_log *l)
{
	drop_front(l, l->n);
	g_clear_pointer(&l->entries, g_free);
	l->alloc = 0;
}

void rp_log_append(struct rp_log *l, struct rp_entry *e)
{
	if (l->n == l->alloc) {
		l->alloc = l->alloc ? 2 * l->alloc : 64;
		l->entries = g_renew(struct rp_entry *, l->entries, l->alloc);
	}
	if (!l->n)
		l->first = e->index;
	l->entries[l->n++] = e;
	l->bytes += e->len;
}

void rp_log_truncate(struct rp_log *l, uint64_t index)
{
	while (l->n && l->entries[l->n - 1]->index >= index) {
		l->bytes -= l->entries[l->n - 1]->len;
		g_free(l->entries[--l->n]);
	}
}

void rp_log_compact(struct rp_log *l, uint64_t index, size_t keep)
{
	size_t covered = 0;

	if (index <= l->snapshot_index)
		return;
	rp_log_term(l, index, &l->snapshot_term);
	l->snapshot_index = index;
	if (index >= l->first)
		covered = (size_t)(index - l->first + 1);
	if (covered > keep)
		drop_front(l, covered - keep);
}

void rp_log_reset(struct rp_log *l, uint64_t index, uint64_t term)
{
	drop_front(l, l->n);
	l->first = index + 1;
	l->snapshot_index = index;
	l->snapshot_term = term;
}

const struct rp_entry *rp_log_get(const struct rp_log *l, uint64_t index)
{
	if (index < l->first || index - l->first >= l->n)
		return NULL;
	return l->entries[index - l->first];
}

uint64_t rp_log_last(const struct rp_log *l)
{
	return l->n ? l->entries[l->n - 1]->index : l->snapshot_index;
}

bool rp_log_term(const struct rp_log *l, uint64_t index, uint64_t *term)
{
	const struct rp_entry *e = rp_log_get(l, index);

	if (e)
		*term = e->term;
	else if (index == l->snapshot_index)
		*term = l->snapshot_term;
	else if (!index)
		*term = 0;
	else
		return false;
	return true;
}

static void drop_front(struct rp_log *l, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		l->bytes -= l->entries[i]->len;
		g_free(l->entries[i]);
	}
	l->n -= n;
	l->first += n;
	if (l->n)
		memmove(l->entries, l->entries + n, l->n * sizeof(*l->entries));
}
