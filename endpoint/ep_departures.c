#include <string.h>

#include <glib.h>

#include "base/ba_list.h"
#include "endpoint/ep_departures.h"
#include "endpoint/ep_table.h"
#include "wire/ep.pb-c.h"

/* struct kept - a departure in a table, with its strings behind it */
struct kept {
	struct ep_departure_entry d;
	struct ba_list by_age;
	char text[];
};

/*
 * @entries: struct kept by instance
 * @by_age: the same, oldest first
 */
struct ep_departures {
	GHashTable *entries;
	struct ba_list by_age;
};

static void kept_free(gpointer data);
static void drop_old(struct ep_departures *t, ba_time wall);
static void to_message(const struct ep_departure_entry *d, EpDeparture *m);
static void pack(EpDeparture *list, size_t n, struct ba_buf *out);
static bool is_valid(const EpDeparture *m);

struct ep_departures *ep_departures_new(void)
{
	struct ep_departures *t = g_new0(struct ep_departures, 1);

	t->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, kept_free);
	ba_list_init(&t->by_age);
	return t;
}

void ep_departures_free(struct ep_departures *t)
{
	if (!t)
		return;
	g_hash_table_destroy(t->entries);
	g_free(t);
}

void ep_departures_add(struct ep_departures *t,
		       const struct ep_departure_entry *d)
{
	const struct ep_departure_entry *known =
		ep_departures_find(t, d->instance);
	size_t instance = strlen(d->instance) + 1;
	size_t backend = strlen(d->lifetime.backend) + 1;
	struct kept *k;

	if (known && ep_lifetime_covers(&known->lifetime, &d->lifetime))
		return;
	k = g_malloc0(sizeof(*k) + instance + backend);
	k->d = *d;
	k->d.instance = memcpy(k->text, d->instance, instance);
	k->d.lifetime.backend =
		memcpy(k->text + instance, d->lifetime.backend, backend);
	ba_list_append(&t->by_age, &k->by_age);
	g_hash_table_replace(t->entries, (char *)k->d.instance, k);
	drop_old(t, d->wall);
}

const struct ep_departure_entry *ep_departures_find(
	const struct ep_departures *t, const char *instance)
{
	const struct kept *k = g_hash_table_lookup(t->entries, instance);

	return k ? &k->d : NULL;
}

size_t ep_departures_count(const struct ep_departures *t)
{
	return g_hash_table_size(t->entries);
}

void ep_departures_pack(const struct ep_departures *t, struct ba_buf *out)
{
	EpDeparture *list = g_new(EpDeparture, ep_departures_count(t) + 1);
	struct ba_list *pos;
	size_t n = 0;

	ba_list_each(pos, &t->by_age)
		to_message(&ba_entry(pos, struct kept, by_age)->d, &list[n++]);
	pack(list, n, out);
	g_free(list);
}

void ep_departure_pack(const struct ep_departure_entry *d, struct ba_buf *out)
{
	EpDeparture m;

	to_message(d, &m);
	pack(&m, 1, out);
}

int ep_departures_read(const void *data, size_t len, ep_departure_visit visit,
		       void *arg)
{
	EpDepartures *m = ep_departures__unpack(NULL, len, data);
	bool ok = m != NULL;
	int n = 0;

	for (size_t i = 0; ok && i < m->n_departures; i++)
		ok = is_valid(m->departures[i]);
	for (size_t i = 0; ok && i < m->n_departures; i++, n++) {
		const EpDeparture *one = m->departures[i];
		const struct ep_departure_entry d = {
			.instance = one->instance,
			.lifetime = {.backend = one->backend,
				     .start_wall_ms = one->start_ms,
				     .sequence = one->sequence,
				     .state = (enum ep_state)one->state},
			.wall = (ba_time)one->wall_us,
		};

		visit(&d, arg);
	}
	if (m)
		ep_departures__free_unpacked(m, NULL);
	return ok ? n : -1;
}

static void kept_free(gpointer data)
{
	struct kept *k = data;

	ba_list_remove(&k->by_age);
	g_free(k);
}

/* The clocks of two leaders may differ, so one may look younger than a later one. */
static void drop_old(struct ep_departures *t, ba_time wall)
{
	while (!ba_list_empty(&t->by_age)) {
		const struct kept *k =
			ba_entry(t->by_age.next, struct kept, by_age);

		if (k->d.wall + EP_DEPARTURE_TIME >= wall &&
		    ep_departures_count(t) <= EP_DEPARTURES_LIMIT)
			return;
		g_hash_table_remove(t->entries, k->d.instance);
	}
}

static void to_message(const struct ep_departure_entry *d, EpDeparture *m)
{
	ep_departure__init(m);
	m->instance = (char *)d->instance;
	m->backend = (char *)d->lifetime.backend;
	m->start_ms = d->lifetime.start_wall_ms;
	m->sequence = d->lifetime.sequence;
	m->state = (EpBackendState)d->lifetime.state;
	m->wall_us = (uint64_t)d->wall;
}

static void pack(EpDeparture *list, size_t n, struct ba_buf *out)
{
	EpDeparture **pointers = g_new(EpDeparture *, n + 1);
	EpDepartures m = EP_DEPARTURES__INIT;

	for (size_t i = 0; i < n; i++)
		pointers[i] = &list[i];
	m.departures = pointers;
	m.n_departures = n;
	ba_buf_reserve(out, ep_departures__get_packed_size(&m));
	out->len += ep_departures__pack(&m, out->data + out->len);
	g_free(pointers);
}

static bool is_valid(const EpDeparture *m)
{
	return *m->instance && strlen(m->instance) <= EP_STRING_LIMIT_BYTES &&
	       *m->backend && strlen(m->backend) <= EP_STRING_LIMIT_BYTES &&
	       (m->state == EP_BACKEND_STATE__EP_BACKEND_DRAINS ||
		m->state == EP_BACKEND_STATE__EP_BACKEND_HAS_LEFT);
}
