#include <glib.h>

#include "base/ba_list.h"
#include "call/cl_stated.h"

struct entry {
	struct ba_list link;
	char *instance;
	struct cl_stated stated;
};

/*
 * @entries: struct entry by instance
 * @by_age: the same, in the order in which they were told
 */
struct cl_stated_table {
	GHashTable *entries;
	struct ba_list by_age;
};

static void remove_entry(struct cl_stated_table *t, struct entry *e);
static void entry_free(gpointer p);

struct cl_stated_table *cl_stated_new(void)
{
	struct cl_stated_table *t = g_new0(struct cl_stated_table, 1);

	t->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   entry_free);
	ba_list_init(&t->by_age);
	return t;
}

void cl_stated_free(struct cl_stated_table *t)
{
	if (!t)
		return;
	g_hash_table_destroy(t->entries);
	g_free(t);
}

bool cl_stated_learn(struct cl_stated_table *t, const char *instance,
		     uint64_t start, const struct cl_statement *s, ba_time now)
{
	struct entry *e = g_hash_table_lookup(t->entries, instance);
	bool dropped = false;

	if (s->limit != CL_LIMIT_STATED && !s->leaving) {
		if (e)
			remove_entry(t, e);
		return false;
	}
	if (e) {
		ba_list_remove(&e->link);
	} else {
		dropped = cl_stated_count(t) >= CL_STATED_MAX;
		if (dropped)
			remove_entry(t, ba_entry(t->by_age.next, struct entry,
						 link));
		e = g_new0(struct entry, 1);
		e->instance = g_strdup(instance);
		g_hash_table_insert(t->entries, e->instance, e);
	}
	ba_list_append(&t->by_age, &e->link);
	e->stated = (struct cl_stated){start, *s, now};
	return dropped;
}

const struct cl_stated *cl_stated_find(struct cl_stated_table *t,
				       const char *instance, ba_time now)
{
	struct entry *e = g_hash_table_lookup(t->entries, instance);

	if (!e)
		return NULL;
	if (now - e->stated.told_at < CL_STATED_MEMORY)
		return &e->stated;
	remove_entry(t, e);
	return NULL;
}

unsigned int cl_stated_count(const struct cl_stated_table *t)
{
	return g_hash_table_size(t->entries);
}

static void remove_entry(struct cl_stated_table *t, struct entry *e)
{
	ba_list_remove(&e->link);
	g_hash_table_remove(t->entries, e->instance);
}

static void entry_free(gpointer p)
{
	struct entry *e = p;

	g_free(e->instance);
	g_free(e);
}
