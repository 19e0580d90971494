#include <string.h>

#include "base/ba_digest.h"
#include "endpoint/ep_internal.h"

static void entry_free(void *data);
static void centre_free(void *data);
static void service_free(void *data);
static enum ep_outcome put_new(struct ep_table *t, const struct ep_record *r,
			       uint64_t holder, ba_time lease_deadline,
			       ba_time now);
static enum ep_outcome put_equal(struct ep_table *t, struct ep_entry *e,
				 const struct ep_record *r, uint64_t holder,
				 ba_time now);
static enum ep_outcome put_newer(struct ep_table *t, struct ep_entry *e,
				 const struct ep_record *r, uint64_t holder,
				 ba_time lease_deadline, ba_time now);
static int compare_sequence(const struct ep_record *a,
			    const struct ep_record *b);
static void link_entry(struct ep_table *t, struct ep_entry *e,
		       ba_time lease_deadline, ba_time now);
static void unlink_entry(struct ep_table *t, struct ep_entry *e);
static void start_lease(struct ep_table *t, struct ep_entry *e,
			ba_time lease_deadline);
static void end_lease(struct ep_entry *e);
static void add_tombstone(struct ep_table *t, struct ep_entry *e, ba_time now);
static void add_report(struct ep_table *t, struct ep_entry *e);
static void remove_report(struct ep_table *t, struct ep_entry *e);
static void mark_changed(struct ep_table *t, struct ep_entry *e);
static void toggle_digest(struct ep_entry *e);
static void mark_left(struct ep_table *t, struct ep_entry *e, ba_time now);
static bool update_hold_back(struct ep_centre *c, ba_time now);
static bool too_many_expiring(const struct ep_centre *c);
static struct ep_centre *find_or_add_centre(struct ep_table *t,
					    const char *name);
static struct ep_service *find_or_add_service(struct ep_table *t,
					      const char *name);

struct ep_table *ep_table_new(size_t limit)
{
	struct ep_table *t = g_new0(struct ep_table, 1);

	t->limit = limit;
	t->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   entry_free);
	t->centres = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   centre_free);
	t->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    service_free);
	ba_list_init(&t->by_change);
	ba_list_init(&t->expiring);
	ba_list_init(&t->tombstones);
	ba_list_init(&t->reporting);
	return t;
}

void ep_table_free(struct ep_table *t)
{
	if (!t)
		return;
	g_hash_table_destroy(t->entries);
	g_hash_table_destroy(t->services);
	g_hash_table_destroy(t->centres);
	g_free(t);
}

enum ep_outcome ep_table_put(struct ep_table *t, const struct ep_record *r,
			     uint64_t holder, ba_time lease_deadline,
			     ba_time now)
{
	struct ep_entry *e = g_hash_table_lookup(t->entries, r->instance);
	int order;

	if (!e)
		return put_new(t, r, holder, lease_deadline, now);
	e->last_full_update = t->n_full_updates;
	order = compare_sequence(r, &e->record);
	if (order < 0)
		return EP_OLDER;
	if (!order)
		return put_equal(t, e, r, holder, now);
	return put_newer(t, e, r, holder, lease_deadline, now);
}

void ep_table_release(struct ep_table *t, const char *instance,
		      ba_time lease_deadline)
{
	struct ep_entry *e = g_hash_table_lookup(t->entries, instance);

	if (e && !e->record.left && e->holder == EP_HELD_HERE)
		start_lease(t, e, lease_deadline);
}

void ep_table_release_holder(struct ep_table *t, uint64_t holder,
			     ba_time lease_deadline)
{
	struct ba_list *pos;

	ba_list_each(pos, &t->by_change)
	{
		struct ep_entry *e = ba_entry(pos, struct ep_entry, by_change);

		if (!e->record.left && e->holder == holder)
			start_lease(t, e, lease_deadline);
	}
}

void ep_table_begin_full(struct ep_table *t)
{
	t->n_full_updates++;
}

void ep_table_end_full(struct ep_table *t, const char *data_centre,
		       const uint32_t *buckets, size_t n_buckets,
		       ba_time lease_deadline)
{
	struct ep_centre *c = g_hash_table_lookup(t->centres, data_centre);
	uint64_t mask = 0;
	struct ba_list *pos;

	if (!c)
		return;
	for (size_t i = 0; i < n_buckets; i++)
		mask |= 1ULL << (buckets[i] % EP_BUCKETS);
	ba_list_each(pos, &c->entries)
	{
		struct ep_entry *e = ba_entry(pos, struct ep_entry, by_centre);

		if (!e->record.left && e->holder != EP_HELD_HERE &&
		    e->last_full_update != t->n_full_updates &&
		    (mask >> e->bucket & 1))
			start_lease(t, e, lease_deadline);
	}
}

/*
 * Whether expiry is held back is decided for every data centre before any
 * record expires, as each expiry reduces the share of records not held.
 */
struct ep_expiry ep_table_expire(struct ep_table *t, ba_time now)
{
	struct ep_expiry x = {0};
	struct ba_list *pos;
	struct ba_list *tmp;
	GHashTableIter iter;
	void *c;

	g_hash_table_iter_init(&iter, t->centres);
	while (g_hash_table_iter_next(&iter, NULL, &c))
		update_hold_back(c, now);
	ba_list_each_safe(pos, tmp, &t->expiring)
	{
		struct ep_entry *e = ba_entry(pos, struct ep_entry, by_state);

		if (e->record.lease_deadline > now)
			continue;
		if (e->centre->hold_back_deadline != BA_NEVER &&
		    now < e->centre->hold_back_deadline) {
			x.held_back++;
			continue;
		}
		mark_left(t, e, now);
		x.expired++;
	}
	ba_list_each_safe(pos, tmp, &t->tombstones)
	{
		struct ep_entry *e = ba_entry(pos, struct ep_entry, by_state);

		if (e->record.lease_deadline > now)
			break;
		unlink_entry(t, e);
		g_hash_table_remove(t->entries, e->record.instance);
	}
	return x;
}

ba_time ep_table_deadline(const struct ep_table *t)
{
	ba_time deadline = BA_NEVER;
	struct ba_list *pos;

	ba_list_each(pos, &t->expiring)
	{
		struct ep_entry *e = ba_entry(pos, struct ep_entry, by_state);

		deadline = MIN(deadline, e->record.lease_deadline);
	}
	if (!ba_list_empty(&t->tombstones)) {
		struct ep_entry *e =
			ba_entry(t->tombstones.next, struct ep_entry, by_state);

		deadline = MIN(deadline, e->record.lease_deadline);
	}
	return deadline;
}

const struct ep_record *ep_table_get(const struct ep_table *t,
				     const char *instance)
{
	struct ep_entry *e = g_hash_table_lookup(t->entries, instance);

	return e ? &e->record : NULL;
}

bool ep_table_is_held_here(const struct ep_table *t, const char *instance)
{
	struct ep_entry *e = g_hash_table_lookup(t->entries, instance);

	return e && !e->record.left && e->holder == EP_HELD_HERE;
}

size_t ep_table_n_live(const struct ep_table *t)
{
	return t->n_live;
}

size_t ep_table_n_known(const struct ep_table *t)
{
	return g_hash_table_size(t->entries);
}

uint64_t ep_table_generation(const struct ep_table *t)
{
	return t->generation;
}

void ep_table_visit_since(const struct ep_table *t, uint64_t generation,
			  ep_visit visit, void *arg)
{
	const struct ba_list *pos = t->by_change.prev;

	while (pos != &t->by_change &&
	       ba_entry(pos, struct ep_entry, by_change)->generation >
		       generation)
		pos = pos->prev;
	for (pos = pos->next; pos != &t->by_change; pos = pos->next)
		visit(&ba_entry(pos, struct ep_entry, by_change)->record, arg);
}

void ep_table_visit_held_here(const struct ep_table *t, ep_visit visit,
			      void *arg)
{
	const struct ba_list *pos;

	ba_list_each(pos, &t->by_change)
	{
		struct ep_entry *e = ba_entry(pos, struct ep_entry, by_change);

		if (!e->record.left && e->holder == EP_HELD_HERE)
			visit(&e->record, arg);
	}
}

static void entry_free(void *data)
{
	struct ep_entry *e = data;

	ep_record_clear(&e->record);
	g_free(e);
}

static void centre_free(void *data)
{
	struct ep_centre *c = data;

	g_free(c->name);
	g_free(c);
}

static void service_free(void *data)
{
	struct ep_service *s = data;

	g_free(s->name);
	g_free(s);
}

/* A tombstone that is due for removal would go to and fro between tables. */
static enum ep_outcome put_new(struct ep_table *t, const struct ep_record *r,
			       uint64_t holder, ba_time lease_deadline,
			       ba_time now)
{
	struct ep_entry *e;

	if (r->left && r->lease_deadline && r->lease_deadline <= now)
		return EP_UNCHANGED;
	if (g_hash_table_size(t->entries) >= t->limit)
		return EP_NO_ROOM;
	e = g_new0(struct ep_entry, 1);
	ep_record_copy(&e->record, r);
	e->holder = holder;
	e->last_full_update = t->n_full_updates;
	ba_list_init(&e->by_centre);
	ba_list_init(&e->by_change);
	ba_list_init(&e->by_service);
	ba_list_init(&e->by_state);
	ba_list_init(&e->by_report);
	g_hash_table_insert(t->entries, e->record.instance, e);
	link_entry(t, e, lease_deadline, now);
	return r->left ? EP_UNCHANGED : EP_JOINED;
}

/*
 * A record that is marked as left under the same sequence comes from an
 * observer that lost contact with the endpoint, not from its writer.  While
 * the endpoint's session is open here that is wrong, and the writer refutes
 * it with the next sequence.
 */
static enum ep_outcome put_equal(struct ep_table *t, struct ep_entry *e,
				 const struct ep_record *r, uint64_t holder,
				 ba_time now)
{
	if (e->record.left)
		return r->left ? EP_UNCHANGED : EP_MUST_REFUTE;
	if (r->left) {
		if (e->holder == EP_HELD_HERE)
			return EP_MUST_REFUTE;
		mark_left(t, e, now);
		return EP_LEFT;
	}
	if (holder == EP_HELD_HERE || (holder && e->holder != EP_HELD_HERE)) {
		end_lease(e);
		e->holder = holder;
	}
	return EP_UNCHANGED;
}

static enum ep_outcome put_newer(struct ep_table *t, struct ep_entry *e,
				 const struct ep_record *r, uint64_t holder,
				 ba_time lease_deadline, ba_time now)
{
	bool was_left = e->record.left;
	bool was_draining = e->record.draining;
	struct ep_record copy;

	unlink_entry(t, e);
	ep_record_copy(&copy, r);
	g_hash_table_steal(t->entries, e->record.instance);
	ep_record_clear(&e->record);
	e->record = copy;
	e->holder = holder;
	g_hash_table_insert(t->entries, e->record.instance, e);
	link_entry(t, e, lease_deadline, now);
	if (r->left)
		return was_left ? EP_UNCHANGED : EP_LEFT;
	if (was_left)
		return EP_JOINED;
	if (r->draining && !was_draining)
		return EP_DRAINING;
	return EP_CHANGED;
}

static int compare_sequence(const struct ep_record *a,
			    const struct ep_record *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation < b->incarnation ? -1 : 1;
	if (a->sequence != b->sequence)
		return a->sequence < b->sequence ? -1 : 1;
	return 0;
}

static void link_entry(struct ep_table *t, struct ep_entry *e,
		       ba_time lease_deadline, ba_time now)
{
	struct ep_record *r = &e->record;

	e->centre = find_or_add_centre(t, r->data_centre);
	e->service = find_or_add_service(t, r->service);
	e->bucket =
		(unsigned int)(ba_hash(r->instance, strlen(r->instance), 0) %
			       EP_BUCKETS);
	ba_list_append(&e->service->entries, &e->by_service);
	ba_list_append(&e->centre->entries, &e->by_centre);
	mark_changed(t, e);
	add_report(t, e);
	toggle_digest(e);
	if (r->left) {
		add_tombstone(t, e, now);
		return;
	}
	r->lease_deadline = BA_NEVER;
	e->centre->n_live++;
	e->service->n_live++;
	t->n_live++;
	if (e->holder == EP_HELD_BY_NONE)
		start_lease(t, e, lease_deadline);
}

/* Undo link_entry(), and mark the service of a live record as changed. */
static void unlink_entry(struct ep_table *t, struct ep_entry *e)
{
	toggle_digest(e);
	remove_report(t, e);
	if (!e->record.left) {
		end_lease(e);
		e->centre->n_live--;
		e->service->n_live--;
		t->n_live--;
		e->service->generation = ++t->generation;
	}
	ba_list_remove(&e->by_state);
	ba_list_remove(&e->by_change);
	ba_list_remove(&e->by_service);
	ba_list_remove(&e->by_centre);
}

static void start_lease(struct ep_table *t, struct ep_entry *e,
			ba_time lease_deadline)
{
	if (!ba_list_empty(&e->by_state))
		return;
	e->holder = EP_HELD_BY_NONE;
	e->record.lease_deadline = lease_deadline;
	e->centre->n_expiring++;
	ba_list_append(&t->expiring, &e->by_state);
}

static void end_lease(struct ep_entry *e)
{
	if (ba_list_empty(&e->by_state))
		return;
	e->centre->n_expiring--;
	e->record.lease_deadline = BA_NEVER;
	ba_list_remove(&e->by_state);
}

/* Tombstones that come from other tables are not new; the order is kept. */
static void add_tombstone(struct ep_table *t, struct ep_entry *e, ba_time now)
{
	struct ep_record *r = &e->record;
	struct ba_list *pos = t->tombstones.prev;

	if (!r->lease_deadline || r->lease_deadline > now + EP_TOMBSTONE_TIME)
		r->lease_deadline = now + EP_TOMBSTONE_TIME;
	while (pos != &t->tombstones &&
	       ba_entry(pos, struct ep_entry, by_state)->record.lease_deadline >
		       r->lease_deadline)
		pos = pos->prev;
	ba_list_insert_before(pos->next, &e->by_state);
}

static void add_report(struct ep_table *t, struct ep_entry *e)
{
	if (!e->record.n_marks)
		return;
	ba_list_append(&t->reporting, &e->by_report);
	t->reports_generation = t->generation;
}

static void remove_report(struct ep_table *t, struct ep_entry *e)
{
	if (ba_list_empty(&e->by_report))
		return;
	ba_list_remove(&e->by_report);
	t->reports_generation = ++t->generation;
}

static void mark_changed(struct ep_table *t, struct ep_entry *e)
{
	e->generation = ++t->generation;
	e->service->generation = t->generation;
	ba_list_remove(&e->by_change);
	ba_list_append(&t->by_change, &e->by_change);
}

/* A tombstone with marks has another digest than the live record. */
static void toggle_digest(struct ep_entry *e)
{
	const struct ep_record *r = &e->record;
	uint64_t key[3] = {r->incarnation, r->sequence, 1};
	size_t bytes = sizeof(key) - (r->left ? 0 : sizeof(key[0]));

	if (r->left && !r->n_marks)
		return;
	e->centre->buckets[e->bucket] ^= ba_hash(
		key, bytes, ba_hash(r->instance, strlen(r->instance), 0));
}

static void mark_left(struct ep_table *t, struct ep_entry *e, ba_time now)
{
	unlink_entry(t, e);
	e->record.left = true;
	e->record.lease_deadline = 0;
	e->holder = EP_HELD_BY_NONE;
	link_entry(t, e, 0, now);
}

/*
 * Expiry is held back from the time when more than half of the records are not
 * held, until at least half are held again or EP_HOLD_BACK_LIMIT has passed;
 * then the remaining records expire.
 */
static bool update_hold_back(struct ep_centre *c, ba_time now)
{
	if (!too_many_expiring(c)) {
		c->hold_back_deadline = BA_NEVER;
		return false;
	}
	if (c->hold_back_deadline == BA_NEVER)
		c->hold_back_deadline = now + EP_HOLD_BACK_LIMIT;
	return now < c->hold_back_deadline;
}

static bool too_many_expiring(const struct ep_centre *c)
{
	return c->n_expiring >= EP_HOLD_BACK_MIN_RECORDS &&
	       c->n_expiring * 2 > c->n_live;
}

static struct ep_centre *find_or_add_centre(struct ep_table *t,
					    const char *name)
{
	struct ep_centre *c = g_hash_table_lookup(t->centres, name);

	if (c)
		return c;
	c = g_new0(struct ep_centre, 1);
	c->name = g_strdup(name);
	c->hold_back_deadline = BA_NEVER;
	ba_list_init(&c->entries);
	g_hash_table_insert(t->centres, c->name, c);
	return c;
}

static struct ep_service *find_or_add_service(struct ep_table *t,
					      const char *name)
{
	struct ep_service *s = g_hash_table_lookup(t->services, name);

	if (s)
		return s;
	s = g_new0(struct ep_service, 1);
	s->name = g_strdup(name);
	ba_list_init(&s->entries);
	g_hash_table_insert(t->services, s->name, s);
	return s;
}
