/*
 * Teams of a configuration: their keys, checks, encoding and look-up.
 */
#include <string.h>

#include "base/ba_result.h"
#include "config/cf_internal.h"

static void add_key(struct cf_draft *d, const struct ba_digest *digest,
		    const char *text);
static gint by_name(gconstpointer a, gconstpointer b);
static gint by_key(gconstpointer a, gconstpointer b);
static void check_team(const struct cf_draft_team *t, struct ba_problems *p);
static void check_shared_keys(const struct cf_draft *d, struct ba_problems *p);
static const struct cf_draft_team *team_at(const struct cf_draft *d, guint i);
static bool is_key(const char *text);

void cf_draft_add_team(struct cf_draft *d, const struct cf_team *t, int line)
{
	struct cf_draft_team entry = {
		.value = *t,
		.line = line,
		.first_key = d->keys->len,
	};

	entry.value.name = cf_draft_strdup(d, t->name);
	entry.value.keys = NULL;
	entry.value.key_texts = NULL;
	entry.value.n_keys = 0;
	d->has_teams = true;
	g_array_append_val(d->teams, entry);
}

void cf_draft_add_key(struct cf_draft *d, const char *text)
{
	struct cf_draft_team *t = &g_array_index(d->teams, struct cf_draft_team,
						 d->teams->len - 1);
	struct ba_digest digest = ba_digest(text, strlen(text));

	t->wrong_key |= !is_key(text);
	add_key(d, &digest, text);
}

void cf_draft_copy_team(struct cf_draft *d, const struct cf_team *t)
{
	cf_draft_add_team(d, t, CF_LINE_FROM_SNAPSHOT);
	for (size_t i = 0; i < t->n_keys; i++)
		add_key(d, &t->keys[i], t->key_texts ? t->key_texts[i] : NULL);
}

void cf_draft_add_team_proto(struct cf_draft *d, const CfTeam *m)
{
	struct cf_team t = {
		.name = m->name,
		.has_priority = m->has_priority,
		.priority = m->priority,
		.has_calls_per_second = m->has_calls_per_second,
		.calls_per_second =
			m->calls_per_second + m->calls_per_second_rest,
		.has_burst = m->has_burst,
		.burst = m->burst + m->burst_rest,
	};

	cf_draft_add_team(d, &t, 0);
	for (size_t i = 0; i < m->n_keys; i++)
		cf_draft_add_key(d, m->keys[i]);
	for (size_t i = 0; !m->n_keys && i < m->n_key_digests; i++) {
		const ProtobufCBinaryData *bytes = &m->key_digests[i];
		struct ba_digest digest = {{0}};

		if (bytes->len == sizeof(digest.bytes))
			memcpy(digest.bytes, bytes->data, bytes->len);
		else
			g_array_index(d->teams, struct cf_draft_team,
				      d->teams->len - 1)
				.wrong_key = true;
		add_key(d, &digest, NULL);
	}
}

static void add_key(struct cf_draft *d, const struct ba_digest *digest,
		    const char *text)
{
	struct cf_draft_key key = {
		.digest = *digest,
		.text = text ? cf_draft_strdup(d, text) : NULL,
	};

	g_array_append_val(d->keys, key);
	g_array_index(d->teams, struct cf_draft_team, d->teams->len - 1)
		.n_keys++;
}

void cf_draft_sort_teams(struct cf_draft *d)
{
	cf_sort_array(d->teams, by_name);
	for (guint i = 0; i < d->teams->len; i++) {
		const struct cf_draft_team *t = team_at(d, i);

		for (guint j = 0; j < t->n_keys; j++) {
			struct cf_key_owner owner = {
				.key = g_array_index(d->keys,
						     struct cf_draft_key,
						     t->first_key + j)
					       .digest,
				.team = i,
			};

			g_array_append_val(d->by_key, owner);
		}
	}
	g_array_sort(d->by_key, by_key);
}

static gint by_name(gconstpointer a, gconstpointer b)
{
	const struct cf_draft_team *x = a;
	const struct cf_draft_team *y = b;

	return strcmp(x->value.name, y->value.name);
}

static gint by_key(gconstpointer a, gconstpointer b)
{
	const struct cf_key_owner *x = a;
	const struct cf_key_owner *y = b;

	return memcmp(x->key.bytes, y->key.bytes, sizeof(x->key.bytes));
}

void cf_draft_check_teams(const struct cf_draft *d, struct ba_problems *p)
{
	const char *last = NULL;

	if (d->teams->len > CF_TEAMS_LIMIT)
		ba_problem_add(p, CF_TOO_MANY, 0, "teams", "%d at most",
			       CF_TEAMS_LIMIT);
	for (guint i = 0; i < d->teams->len; i++) {
		const struct cf_draft_team *t = team_at(d, i);

		if (t->line != CF_LINE_FROM_SNAPSHOT)
			check_team(t, p);
		if (last && !strcmp(last, t->value.name))
			ba_problem_add(p, CF_DUPLICATE_NAME, MAX(t->line, 0),
				       "teams.name", "one team \"%s\"", last);
		last = t->value.name;
	}
	check_shared_keys(d, p);
}

/* Messages name the team; a key never stands in one. */
static void check_team(const struct cf_draft_team *t, struct ba_problems *p)
{
	cf_check_name(t->value.name, t->line, "teams.name", p);
	if (!cf_is_amount(t->value.calls_per_second) ||
	    !cf_is_amount(t->value.burst))
		ba_problem_add(p, BA_RANGE_WRONG, t->line,
			       "teams.calls_per_second",
			       "a rate and a burst of 0 or more for team "
			       "\"%s\"",
			       t->value.name);
	if (t->n_keys > CF_KEYS_LIMIT)
		ba_problem_add(p, CF_TOO_MANY, t->line, "teams.keys",
			       "%d at most for team \"%s\"", CF_KEYS_LIMIT,
			       t->value.name);
	if (t->wrong_key)
		ba_problem_add(p, BA_RANGE_WRONG, t->line, "teams.keys",
			       "keys of 1 to %d visible characters for team "
			       "\"%s\"",
			       CF_KEY_BYTES, t->value.name);
}

static void check_shared_keys(const struct cf_draft *d, struct ba_problems *p)
{
	for (guint i = 1; i < d->by_key->len; i++) {
		const struct cf_key_owner *a =
			&g_array_index(d->by_key, struct cf_key_owner, i - 1);
		const struct cf_key_owner *b =
			&g_array_index(d->by_key, struct cf_key_owner, i);
		const struct cf_draft_team *later =
			team_at(d, MAX(a->team, b->team));

		if (a->team == b->team || by_key(a, b) != 0)
			continue;
		ba_problem_add(p, CF_KEY_SHARED, MAX(later->line, 0),
			       "teams.keys",
			       "one team with each key, not \"%s\" and \"%s\"",
			       team_at(d, MIN(a->team, b->team))->value.name,
			       later->value.name);
	}
}

static const struct cf_draft_team *team_at(const struct cf_draft *d, guint i)
{
	return &g_array_index(d->teams, struct cf_draft_team, i);
}

static bool is_key(const char *text)
{
	size_t len = strlen(text);

	for (size_t i = 0; i < len; i++)
		if (text[i] <= ' ' || text[i] >= 0x7f)
			return false;
	return len && len <= CF_KEY_BYTES;
}

void cf_draft_build_teams(const struct cf_draft *d,
			  struct cf_snapshot_impl *impl)
{
	struct cf_snapshot *s = &impl->s;

	impl->keys = g_new(struct ba_digest, d->keys->len + 1);
	impl->key_texts = g_new(const char *, d->keys->len + 1);
	for (guint i = 0; i < d->keys->len; i++) {
		const struct cf_draft_key *k =
			&g_array_index(d->keys, struct cf_draft_key, i);

		impl->keys[i] = k->digest;
		impl->key_texts[i] = k->text;
	}
	s->has_teams = d->has_teams;
	s->n_teams = d->teams->len;
	s->teams = g_new0(struct cf_team, s->n_teams + 1);
	for (guint i = 0; i < d->teams->len; i++) {
		const struct cf_draft_team *from = team_at(d, i);
		struct cf_team *to = &s->teams[i];

		*to = from->value;
		to->keys = &impl->keys[from->first_key];
		to->n_keys = from->n_keys;
		if (!to->n_keys || impl->key_texts[from->first_key])
			to->key_texts = &impl->key_texts[from->first_key];
	}
	impl->n_keys = d->by_key->len;
	impl->by_key = g_new(struct cf_key_owner, impl->n_keys + 1);
	if (impl->n_keys)
		memcpy(impl->by_key, d->by_key->data,
		       impl->n_keys * sizeof(*impl->by_key));
}

void cf_team_to_proto(CfTeam *m, const struct cf_team *t, enum cf_form form)
{
	cf_team__init(m);
	m->name = (char *)t->name;
	m->has_priority = t->has_priority;
	m->priority = t->priority;
	m->has_calls_per_second = t->has_calls_per_second;
	cf_number_to_proto(t->calls_per_second, &m->calls_per_second,
			   &m->calls_per_second_rest);
	m->has_burst = t->has_burst;
	cf_number_to_proto(t->burst, &m->burst, &m->burst_rest);
	if (form == CF_FORM_KEYS && t->key_texts) {
		m->n_keys = t->n_keys;
		m->keys = (char **)t->key_texts;
		return;
	}
	m->n_key_digests = t->n_keys;
	m->key_digests = g_new(ProtobufCBinaryData, t->n_keys + 1);
	for (size_t i = 0; i < t->n_keys; i++) {
		m->key_digests[i].data = (uint8_t *)t->keys[i].bytes;
		m->key_digests[i].len = sizeof(t->keys[i].bytes);
	}
}

void cf_team_proto_clear(CfTeam *m)
{
	g_free(m->key_digests);
}

bool cf_team_same(const struct cf_team *a, const struct cf_team *b)
{
	return a->has_priority == b->has_priority &&
	       a->priority == b->priority &&
	       a->has_calls_per_second == b->has_calls_per_second &&
	       a->calls_per_second == b->calls_per_second &&
	       a->has_burst == b->has_burst && a->burst == b->burst &&
	       a->n_keys == b->n_keys &&
	       !memcmp(a->keys, b->keys, a->n_keys * sizeof(*a->keys));
}

const struct cf_team *cf_team_find(const struct cf_snapshot *s,
				   const char *name)
{
	size_t low = 0;
	size_t high = s->n_teams;

	while (low < high) {
		size_t mid = (low + high) / 2;
		int order = strcmp(s->teams[mid].name, name);

		if (!order)
			return &s->teams[mid];
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}

const struct cf_team *cf_team_find_key(const struct cf_snapshot *s,
				       const struct ba_digest *key)
{
	const struct cf_snapshot_impl *impl =
		(const struct cf_snapshot_impl *)s;
	size_t low = 0;
	size_t high = impl->n_keys;

	while (low < high) {
		size_t mid = (low + high) / 2;
		const struct cf_key_owner *o = &impl->by_key[mid];
		int order =
			memcmp(o->key.bytes, key->bytes, sizeof(key->bytes));

		if (!order)
			return &s->teams[o->team];
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}
