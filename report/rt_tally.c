#include <math.h>
#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "base/ba_result.h"
#include "report/rt_tally.h"
#include "wire/rt.pb-c.h"

/* Tallies of one set; calls of further routes are not counted. */
enum { TALLIES_LIMIT = 4096 };

/* struct entry - a tally and its key, in one allocation with the strings */
struct entry {
	struct rt_tally_key key;
	struct rt_tally tally;
	char text[];
};

struct rt_tallies {
	GHashTable *entries;
};

static guint key_hash(gconstpointer p);
static gboolean key_equal(gconstpointer a, gconstpointer b);
static struct entry *entry_new(const struct rt_tally_key *key);
static bool add_message(struct rt_tallies *s, const RtTally *m);

unsigned int rt_tally_bucket(ba_time t)
{
	double halves = t > BA_MS ? 2 * log2((double)t / (double)BA_MS) : 0;

	return halves < RT_TALLY_BUCKETS ? (unsigned int)halves
					 : RT_TALLY_BUCKETS - 1;
}

void rt_tally_merge(struct rt_tally *to, const struct rt_tally *from)
{
	to->answered += from->answered;
	to->failed += from->failed;
	for (int i = 0; i < RT_TALLY_BUCKETS; i++)
		to->times[i] += from->times[i];
}

uint32_t rt_tally_total(const struct rt_tally *t)
{
	return t->answered + t->failed;
}

struct rt_tallies *rt_tallies_new(void)
{
	struct rt_tallies *s = g_new0(struct rt_tallies, 1);

	s->entries = g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
	return s;
}

void rt_tallies_free(struct rt_tallies *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->entries);
	g_free(s);
}

struct rt_tally *rt_tallies_get(struct rt_tallies *s,
				const struct rt_tally_key *key)
{
	struct entry *e = g_hash_table_lookup(s->entries, key);

	if (!e && g_hash_table_size(s->entries) >= TALLIES_LIMIT)
		return NULL;
	if (!e) {
		e = entry_new(key);
		g_hash_table_insert(s->entries, &e->key, e);
	}
	return &e->tally;
}

size_t rt_tallies_count(const struct rt_tallies *s)
{
	return g_hash_table_size(s->entries);
}

void rt_tallies_pack(struct rt_tallies *s, struct ba_buf *out)
{
	size_t n = g_hash_table_size(s->entries);
	RtTally *list = g_new(RtTally, n + 1);
	RtTally **pointers = g_new(RtTally *, n + 1);
	RtTallies m = RT_TALLIES__INIT;
	GHashTableIter it;
	gpointer p;

	m.tallies = pointers;
	g_hash_table_iter_init(&it, s->entries);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct entry *e = p;
		RtTally *t = &list[m.n_tallies];

		rt_tally__init(t);
		t->service = (char *)e->key.service;
		t->version = (char *)e->key.version;
		t->route = (char *)e->key.route;
		t->answered = e->tally.answered;
		t->failed = e->tally.failed;
		t->times = e->tally.times;
		t->n_times = RT_TALLY_BUCKETS;
		while (t->n_times && !t->times[t->n_times - 1])
			t->n_times--;
		m.tallies[m.n_tallies++] = t;
	}
	ba_buf_reserve(out, rt_tallies__get_packed_size(&m));
	out->len += rt_tallies__pack(&m, out->data + out->len);
	g_hash_table_remove_all(s->entries);
	g_free(list);
	g_free(pointers);
}

int rt_tallies_add(struct rt_tallies *s, const void *data, size_t len)
{
	RtTallies *m = rt_tallies__unpack(NULL, len, data);
	bool ok = m != NULL;

	for (size_t i = 0; ok && i < m->n_tallies; i++)
		ok = add_message(s, m->tallies[i]);
	if (m)
		rt_tallies__free_unpacked(m, NULL);
	return ok ? BA_OK : WI_FRAME_GARBAGE;
}

void rt_tallies_each(struct rt_tallies *s,
		     void (*visit)(const struct rt_tally_key *key,
				   const struct rt_tally *t, void *arg),
		     void *arg)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, s->entries);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct entry *e = p;

		visit(&e->key, &e->tally, arg);
	}
}

static bool add_message(struct rt_tallies *s, const RtTally *m)
{
	const struct rt_tally_key key = {m->service, m->version, m->route};
	struct rt_tally one = {.answered = m->answered, .failed = m->failed};
	struct rt_tally *to;

	if (m->n_times > RT_TALLY_BUCKETS)
		return false;
	if (m->n_times)
		memcpy(one.times, m->times, m->n_times * sizeof(one.times[0]));
	to = rt_tallies_get(s, &key);
	if (to)
		rt_tally_merge(to, &one);
	return true;
}

static guint key_hash(gconstpointer p)
{
	const struct rt_tally_key *k = p;

	return g_str_hash(k->service) ^ (31 * g_str_hash(k->version)) ^
	       (961 * g_str_hash(k->route));
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	const struct rt_tally_key *x = a;
	const struct rt_tally_key *y = b;

	return !strcmp(x->service, y->service) &&
	       !strcmp(x->version, y->version) && !strcmp(x->route, y->route);
}

static struct entry *entry_new(const struct rt_tally_key *key)
{
	size_t service = strlen(key->service) + 1;
	size_t version = strlen(key->version) + 1;
	size_t route = strlen(key->route) + 1;
	struct entry *e = g_malloc0(sizeof(*e) + service + version + route);

	e->key.service = memcpy(e->text, key->service, service);
	e->key.version = memcpy(e->text + service, key->version, version);
	e->key.route = memcpy(e->text + service + version, key->route, route);
	return e;
}
