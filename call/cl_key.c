#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/ba_digest.h"
#include "base/ba_list.h"
#include "call/cl_key.h"

enum { ISSUED_DIGITS = 13 };

/*
 * Interval for which an endpoint is not eligible: keys issued from @from up to,
 * but not including, @until belong to other endpoints.
 */
struct gap {
	ba_time from;
	ba_time until;
};

/*
 * One incarnation of an endpoint.  It is eligible for keys issued from
 * @eligible_from up to, but not including, @eligible_until, except those issued
 * in one of its @gaps, which are in order of time.  The last gap has no end
 * while the endpoint is not listed.  @lost_at is the time of the first update
 * that did not list it, 0 while it is listed; @listed is only used during an
 * update.
 */
struct owner {
	struct ba_list link;
	char *instance;
	char *data_centre;
	uint64_t incarnation;
	ba_time eligible_from;
	ba_time eligible_until;
	GArray *gaps;
	ba_time lost_at;
	bool draining;
	bool listed;
};

struct service_owners {
	char *service;
	struct ba_list list;
};

struct cl_owners {
	GHashTable *services;
	ba_time complete_from;
};

static const char *end_of_name(const char *s);
static void service_free(gpointer p);
static struct service_owners *service_get(struct cl_owners *o,
					  const char *name);
static void apply_record(struct service_owners *s, const struct ep_record *rec,
			 ba_time wall);
static void end_earlier_incarnations(struct service_owners *s,
				     const struct ep_record *rec);
static void update_losses(struct service_owners *s, ba_time wall);
static void start_gap(struct owner *w, ba_time from);
static void end_gap(struct owner *w, ba_time wall);
static void drop_old_gaps(struct owner *w, ba_time wall);
static void owner_free(struct owner *w);
static bool is_eligible(const struct owner *w, const struct cl_key *key);
static uint64_t rendezvous_hash(const struct owner *w,
				const struct cl_key *key);

int cl_key_parse(const char *text, struct cl_key *out)
{
	const char *dot = end_of_name(text);
	const char *ms = dot + 1;
	size_t digits;
	const char *random;
	const char *end;

	if (dot == text || *dot != '.' || strlen(text) >= CL_KEY_TEXT_BYTES)
		return CL_KEY_MALFORMED;
	digits = strspn(ms, "0123456789");
	if (digits != ISSUED_DIGITS || ms[digits] != '.')
		return CL_KEY_MALFORMED;
	random = ms + digits + 1;
	end = random;
	while (g_ascii_isalnum(*end) || strchr("-_:", *end ? *end : ' '))
		end++;
	if (*end || end - random < CL_KEY_RANDOM_MIN_BYTES)
		return CL_KEY_MALFORMED;
	out->text = text;
	out->home = text;
	out->home_len = (size_t)(dot - text);
	out->issued = g_ascii_strtoll(ms, NULL, 10) * BA_MS;
	return BA_OK;
}

struct cl_owners *cl_owners_new(ba_time wall)
{
	struct cl_owners *o = g_new0(struct cl_owners, 1);

	o->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    service_free);
	o->complete_from = wall + CL_KEY_JOIN_DELAY;
	return o;
}

void cl_owners_free(struct cl_owners *o)
{
	if (!o)
		return;
	g_hash_table_destroy(o->services);
	g_free(o);
}

void cl_owners_update(struct cl_owners *o, const struct ep_view *v,
		      ba_time wall)
{
	GHashTableIter it;
	gpointer p;

	for (size_t i = 0; i < v->n_services; i++) {
		const struct ep_service_view *sv = &v->services[i];
		struct service_owners *s = service_get(o, sv->service);

		for (size_t j = 0; j < sv->n_records; j++)
			if (!sv->records[j].left)
				apply_record(s, &sv->records[j], wall);
	}
	g_hash_table_iter_init(&it, o->services);
	while (g_hash_table_iter_next(&it, NULL, &p))
		update_losses(p, wall);
}

enum cl_owner_reason cl_owner_find(const struct cl_owners *o,
				   const char *service,
				   const struct cl_key *key,
				   const char **instance, uint64_t *incarnation)
{
	struct service_owners *s = g_hash_table_lookup(o->services, service);
	const struct ba_list empty = {(struct ba_list *)&empty,
				      (struct ba_list *)&empty};
	const struct owner *best = NULL;
	const struct ba_list *pos;

	*instance = NULL;
	*incarnation = 0;
	ba_list_each(pos, s ? &s->list : &empty)
	{
		const struct owner *w = ba_entry(pos, struct owner, link);

		if (is_eligible(w, key) &&
		    (!best ||
		     rendezvous_hash(w, key) > rendezvous_hash(best, key)))
			best = w;
	}
	if (!best)
		return key->issued < o->complete_from ? CL_OWNER_GONE
						      : CL_OWNER_NONE;
	if (best->lost_at)
		return CL_OWNER_GONE;
	*instance = best->instance;
	*incarnation = best->incarnation;
	return CL_OWNER_FOUND;
}

void cl_owners_list_homes(const struct cl_owners *o, const char *service,
			  struct ba_buf *out)
{
	struct service_owners *s = g_hash_table_lookup(o->services, service);
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	struct ba_list *pos;

	for (pos = s ? s->list.next : NULL; s && pos != &s->list;
	     pos = pos->next) {
		const struct owner *w = ba_entry(pos, struct owner, link);

		if (w->lost_at || w->draining ||
		    !g_hash_table_add(seen, w->data_centre))
			continue;
		ba_buf_addf(out, "%s%s", out->len ? " " : "", w->data_centre);
	}
	g_hash_table_destroy(seen);
}

static const char *end_of_name(const char *s)
{
	while (g_ascii_isalnum(*s) || *s == '-' || *s == '_')
		s++;
	return s;
}

static void service_free(gpointer p)
{
	struct service_owners *s = p;
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_each_safe(pos, tmp, &s->list)
		owner_free(ba_entry(pos, struct owner, link));
	g_free(s->service);
	g_free(s);
}

static struct service_owners *service_get(struct cl_owners *o, const char *name)
{
	struct service_owners *s = g_hash_table_lookup(o->services, name);

	if (s)
		return s;
	s = g_new0(struct service_owners, 1);
	s->service = g_strdup(name);
	ba_list_init(&s->list);
	g_hash_table_insert(o->services, s->service, s);
	return s;
}

static void apply_record(struct service_owners *s, const struct ep_record *rec,
			 ba_time wall)
{
	struct ba_list *pos;
	struct owner *w = NULL;

	ba_list_each(pos, &s->list)
	{
		struct owner *x = ba_entry(pos, struct owner, link);

		if (x->incarnation == rec->incarnation &&
		    !strcmp(x->instance, rec->instance))
			w = x;
	}
	if (!w) {
		end_earlier_incarnations(s, rec);
		w = g_new0(struct owner, 1);
		w->instance = g_strdup(rec->instance);
		w->data_centre = g_strdup(rec->data_centre);
		w->incarnation = rec->incarnation;
		w->eligible_from =
			(ba_time)rec->incarnation + CL_KEY_JOIN_DELAY;
		w->eligible_until = BA_NEVER;
		w->gaps = g_array_new(FALSE, FALSE, sizeof(struct gap));
		ba_list_append(&s->list, &w->link);
	}
	if (rec->draining && !w->draining) {
		w->draining = true;
		w->eligible_until =
			MIN(w->eligible_until, wall + CL_KEY_CLOCK_SKEW);
	}
	w->listed = true;
}

/* A new incarnation proves that the earlier ones have ended. */
static void end_earlier_incarnations(struct service_owners *s,
				     const struct ep_record *rec)
{
	struct ba_list *pos;

	ba_list_each(pos, &s->list)
	{
		struct owner *w = ba_entry(pos, struct owner, link);

		if (strcmp(w->instance, rec->instance) ||
		    w->incarnation >= rec->incarnation)
			continue;
		w->eligible_until =
			MIN(w->eligible_until,
			    (ba_time)rec->incarnation + CL_KEY_CLOCK_SKEW);
	}
}

/* Lost endpoints are kept for as long as their keys are accepted. */
static void update_losses(struct service_owners *s, ba_time wall)
{
	struct ba_list *pos;
	struct ba_list *tmp;

	ba_list_each_safe(pos, tmp, &s->list)
	{
		struct owner *w = ba_entry(pos, struct owner, link);

		drop_old_gaps(w, wall);
		if (w->listed) {
			w->listed = false;
			if (w->lost_at)
				end_gap(w, wall);
			continue;
		}
		if (!w->lost_at) {
			w->lost_at = wall;
			start_gap(w, wall + CL_KEY_GRACE);
		}
		if (wall < w->lost_at + CL_KEY_GRACE + CL_KEY_MAX_AGE +
				   CL_KEY_CLOCK_SKEW)
			continue;
		ba_list_remove(&w->link);
		owner_free(w);
	}
}

static void start_gap(struct owner *w, ba_time from)
{
	struct gap g = {from, BA_NEVER};

	g_array_append_val(w->gaps, g);
}

/* An endpoint that returns before its gap began never became ineligible. */
static void end_gap(struct owner *w, ba_time wall)
{
	struct gap *last =
		&g_array_index(w->gaps, struct gap, w->gaps->len - 1);

	w->lost_at = 0;
	if (wall < last->from)
		g_array_set_size(w->gaps, w->gaps->len - 1);
	else
		last->until = wall;
}

/* Every daemon refuses keys that are older than %CL_KEY_MAX_AGE. */
static void drop_old_gaps(struct owner *w, ba_time wall)
{
	while (w->gaps->len &&
	       g_array_index(w->gaps, struct gap, 0).until <
		       wall - CL_KEY_MAX_AGE - CL_KEY_CLOCK_SKEW)
		g_array_remove_index(w->gaps, 0);
}

static void owner_free(struct owner *w)
{
	g_array_free(w->gaps, TRUE);
	g_free(w->instance);
	g_free(w->data_centre);
	g_free(w);
}

static bool is_eligible(const struct owner *w, const struct cl_key *key)
{
	if (strncmp(w->data_centre, key->home, key->home_len) ||
	    w->data_centre[key->home_len] || key->issued < w->eligible_from ||
	    key->issued >= w->eligible_until)
		return false;
	for (guint i = 0; i < w->gaps->len; i++) {
		const struct gap *g = &g_array_index(w->gaps, struct gap, i);

		if (g->from <= key->issued && key->issued < g->until)
			return false;
	}
	return true;
}

static uint64_t rendezvous_hash(const struct owner *w, const struct cl_key *key)
{
	uint64_t seed =
		ba_hash(w->instance, strlen(w->instance), w->incarnation);

	return ba_hash(key->text, strlen(key->text), seed);
}
