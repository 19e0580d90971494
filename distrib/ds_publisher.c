#include <string.h>

#include <glib.h>

#include "base/ba_list.h"
#include "distrib/ds_publisher.h"

/** struct past_version - an earlier version that a delta may start from */
struct past_version {
	uint64_t version;
	struct ba_digest digest;
};

/**
 * struct subscriber - state of one subscriber
 * @held: version it last acknowledged or subscribed with
 * @floor: lowest version it may be given, 0 if unknown
 * @in_flight: version sent and not yet acknowledged, 0 for none
 * @awaited: number of the question for the floor, asked by this publisher,
 *	whose answer the subscriber waits for; 0 for none
 * @ask: number of the subscriber's own question, 0 for none
 * @pace_deadline: earliest time of the next update if it is remote
 */
struct subscriber {
	struct ba_list link;
	uint64_t id;
	uint64_t held;
	struct ba_digest digest;
	uint64_t floor;
	uint64_t in_flight;
	uint64_t awaited;
	uint64_t ask;
	bool remote;
	bool is_relay;
	ba_time pace_deadline;
	struct ds_count counts[DS_COUNTS_LIMIT];
	size_t n_counts;
};

struct ds_publisher {
	GHashTable *by_id;
	struct ba_list subscribers;
	struct past_version history[DS_HISTORY_LIMIT];
	size_t n_history;
	uint64_t version;
	struct ba_digest digest;
	bool authority;
	bool upstream_ready;
	bool ask_pending;
	uint64_t n_asked; /* questions for the floor asked so far */
	size_t n_waiting;
	ba_time window;
	ba_time deadline;
	struct ds_version_counts version_counts;
	struct ds_count summary[DS_COUNTS_LIMIT];
	size_t n_summary;
};

typedef void (*event_handler)(struct ds_publisher *p, const struct ds_event *e,
			      ba_time now, struct ds_actions *out);

static void on_subscribed(struct ds_publisher *p, const struct ds_event *e,
			  ba_time now, struct ds_actions *out);
static void on_acked(struct ds_publisher *p, const struct ds_event *e,
		     ba_time now, struct ds_actions *out);
static void on_dropped(struct ds_publisher *p, const struct ds_event *e,
		       ba_time now, struct ds_actions *out);
static void on_published(struct ds_publisher *p, const struct ds_event *e,
			 ba_time now, struct ds_actions *out);
static void on_floor_asked(struct ds_publisher *p, const struct ds_event *e,
			   ba_time now, struct ds_actions *out);
static void on_floor_answered(struct ds_publisher *p, const struct ds_event *e,
			      ba_time now, struct ds_actions *out);
static void on_upstream_lost(struct ds_publisher *p, const struct ds_event *e,
			     ba_time now, struct ds_actions *out);
static void on_upstream_ready(struct ds_publisher *p, const struct ds_event *e,
			      ba_time now, struct ds_actions *out);
static void on_authority_changed(struct ds_publisher *p,
				 const struct ds_event *e, ba_time now,
				 struct ds_actions *out);
static void on_stale_changed(struct ds_publisher *p, const struct ds_event *e,
			     ba_time now, struct ds_actions *out);
static void on_tick(struct ds_publisher *p, const struct ds_event *e,
		    ba_time now, struct ds_actions *out);
static void set_window(struct ds_publisher *p, ba_time window, ba_time now);
static void send_all(struct ds_publisher *p, ba_time now,
		     struct ds_actions *out);
static void send_one(struct ds_publisher *p, struct subscriber *s, ba_time now,
		     struct ds_actions *out);
static bool may_be_sent(const struct ds_publisher *p,
			const struct subscriber *s);
static void send_first(struct ds_publisher *p, struct subscriber *s,
		       ba_time now, struct ds_actions *out);
static void add_to_history(struct ds_publisher *p, uint64_t version,
			   const struct ba_digest *digest);
static const struct past_version *find_in_history(const struct ds_publisher *p,
						  uint64_t version);
static bool lacks_floor(const struct subscriber *s);
static void wait_for_floor(struct ds_publisher *p, struct subscriber *s,
			   struct ds_actions *out);
static void stop_waiting(struct ds_publisher *p, struct subscriber *s);
static void ask_floor(struct ds_publisher *p, struct ds_actions *out);
static void answer_all(struct ds_publisher *p, uint64_t floor, ba_time now,
		       struct ds_actions *out);
static void answer_one(struct ds_publisher *p, struct subscriber *s,
		       uint64_t floor, ba_time now, struct ds_actions *out);
static struct ds_action *add_action(struct ds_actions *out,
				    enum ds_action_kind kind,
				    enum ds_reason reason, uint64_t subscriber,
				    uint64_t from);
static void update_summary(struct ds_publisher *p, struct ds_actions *out);
static void set_counts(struct ds_publisher *p, struct subscriber *s,
		       const struct ds_event *e);

static const event_handler handlers[] = {
	[DS_SUBSCRIBED] = on_subscribed,
	[DS_ACKED] = on_acked,
	[DS_DROPPED] = on_dropped,
	[DS_PUBLISHED] = on_published,
	[DS_FLOOR_ASKED] = on_floor_asked,
	[DS_FLOOR_ANSWERED] = on_floor_answered,
	[DS_UPSTREAM_LOST] = on_upstream_lost,
	[DS_UPSTREAM_READY] = on_upstream_ready,
	[DS_AUTHORITY_CHANGED] = on_authority_changed,
	[DS_STALE_CHANGED] = on_stale_changed,
	[DS_TICK] = on_tick,
};

struct ds_publisher *ds_publisher_new(void)
{
	struct ds_publisher *p = g_new0(struct ds_publisher, 1);

	p->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	ba_list_init(&p->subscribers);
	p->deadline = BA_NEVER;
	return p;
}

void ds_publisher_free(struct ds_publisher *p)
{
	if (!p)
		return;
	g_hash_table_destroy(p->by_id);
	ds_version_counts_free(&p->version_counts);
	g_free(p);
}

void ds_publisher_step(struct ds_publisher *p, const struct ds_event *e,
		       ba_time now, struct ds_actions *out)
{
	handlers[e->kind](p, e, now, out);
}

ba_time ds_publisher_deadline(const struct ds_publisher *p)
{
	return p->deadline;
}

uint64_t ds_publisher_version(const struct ds_publisher *p)
{
	return p->version;
}

bool ds_publisher_has_base(const struct ds_publisher *p, uint64_t version)
{
	return version == p->version || find_in_history(p, version);
}

size_t ds_publisher_counts(const struct ds_publisher *p,
			   struct ds_count out[DS_COUNTS_LIMIT])
{
	return ds_version_counts_summary(&p->version_counts, out);
}

void ds_actions_free(struct ds_actions *a)
{
	g_free(a->list);
	memset(a, 0, sizeof(*a));
}

static void on_subscribed(struct ds_publisher *p, const struct ds_event *e,
			  ba_time now, struct ds_actions *out)
{
	struct subscriber *s = g_hash_table_lookup(p->by_id, &e->subscriber);

	if (!s && g_hash_table_size(p->by_id) >= DS_SUBSCRIBERS_LIMIT) {
		add_action(out, DS_REFUSE, DS_REASON_FULL, e->subscriber, 0);
		return;
	}
	if (!s) {
		s = g_new0(struct subscriber, 1);
		s->id = e->subscriber;
		g_hash_table_insert(p->by_id, &s->id, s);
		ba_list_append(&p->subscribers, &s->link);
	}
	s->held = e->version;
	s->digest = e->digest;
	s->floor = MAX(e->floor, e->version);
	s->remote = e->remote;
	s->is_relay = e->is_relay;
	s->in_flight = 0;
	stop_waiting(p, s);
	set_counts(p, s, e);
	if (lacks_floor(s))
		wait_for_floor(p, s, out);
	if (s->awaited)
		add_action(out, DS_SEND_RESUME, DS_REASON_FLOOR_UNKNOWN, s->id,
			   0);
	else if (lacks_floor(s))
		answer_one(p, s, p->version, now, out);
	else
		send_first(p, s, now, out);
	update_summary(p, out);
}

/*
 * A subscription is always answered, so that the subscriber learns the age of
 * the data even if there is nothing to apply.
 */
static void send_first(struct ds_publisher *p, struct subscriber *s,
		       ba_time now, struct ds_actions *out)
{
	size_t n = out->n;

	send_one(p, s, now, out);
	if (out->n == n)
		add_action(out, DS_SEND_RESUME,
			   s->floor > p->version ? DS_REASON_BEHIND_SUBSCRIBER
						 : DS_REASON_UP_TO_DATE,
			   s->id, 0);
}

static void on_acked(struct ds_publisher *p, const struct ds_event *e,
		     ba_time now, struct ds_actions *out)
{
	struct subscriber *s = g_hash_table_lookup(p->by_id, &e->subscriber);
	const struct past_version *past;

	if (!s)
		return;
	set_counts(p, s, e);
	if (e->version > s->held) {
		s->held = e->version;
		s->floor = MAX(s->floor, e->version);
		past = find_in_history(p, e->version);
		if (e->version == p->version)
			s->digest = p->digest;
		else if (past)
			s->digest = past->digest;
	}
	if (s->in_flight && s->held >= s->in_flight)
		s->in_flight = 0;
	if (s->held < p->version)
		send_one(p, s, now, out);
	update_summary(p, out);
}

static void on_dropped(struct ds_publisher *p, const struct ds_event *e,
		       ba_time now, struct ds_actions *out)
{
	struct subscriber *s = g_hash_table_lookup(p->by_id, &e->subscriber);

	(void)now;
	if (!s)
		return;
	set_counts(p, s, e);
	stop_waiting(p, s);
	ba_list_remove(&s->link);
	g_hash_table_remove(p->by_id, &e->subscriber);
	update_summary(p, out);
}

static void on_published(struct ds_publisher *p, const struct ds_event *e,
			 ba_time now, struct ds_actions *out)
{
	if (e->version <= p->version)
		return;
	if (p->version)
		add_to_history(p, p->version, &p->digest);
	p->version = e->version;
	p->digest = e->digest;
	set_window(p, e->window, now);
	send_all(p, now, out);
}

/* A window that the policy has shortened takes effect at once. */
static void set_window(struct ds_publisher *p, ba_time window, ba_time now)
{
	struct ba_list *pos;

	p->window = window;
	ba_list_each(pos, &p->subscribers)
	{
		struct subscriber *s = ba_entry(pos, struct subscriber, link);

		s->pace_deadline = MIN(s->pace_deadline, now + window);
	}
}

static void on_floor_asked(struct ds_publisher *p, const struct ds_event *e,
			   ba_time now, struct ds_actions *out)
{
	struct subscriber *s = g_hash_table_lookup(p->by_id, &e->subscriber);

	if (!s)
		return;
	s->ask = e->ask;
	wait_for_floor(p, s, out);
	if (!s->awaited)
		answer_one(p, s, p->version, now, out);
}

static void on_floor_answered(struct ds_publisher *p, const struct ds_event *e,
			      ba_time now, struct ds_actions *out)
{
	if (!p->ask_pending)
		return;
	p->ask_pending = false;
	answer_all(p, e->floor, now, out);
	ask_floor(p, out);
}

static void on_upstream_lost(struct ds_publisher *p, const struct ds_event *e,
			     ba_time now, struct ds_actions *out)
{
	(void)e;
	(void)now;
	(void)out;
	p->upstream_ready = false;
	p->ask_pending = false;
}

static void on_upstream_ready(struct ds_publisher *p, const struct ds_event *e,
			      ba_time now, struct ds_actions *out)
{
	(void)e;
	(void)now;
	p->upstream_ready = true;
	ask_floor(p, out);
}

/*
 * A process with authority knows the newest version.  It answers all waiting
 * subscribers, as if the question that they wait for had been asked.
 */
static void on_authority_changed(struct ds_publisher *p,
				 const struct ds_event *e, ba_time now,
				 struct ds_actions *out)
{
	if (p->authority == e->authority)
		return;
	p->authority = e->authority;
	if (!p->authority)
		return;
	p->n_asked++;
	answer_all(p, p->version, now, out);
}

static void on_stale_changed(struct ds_publisher *p, const struct ds_event *e,
			     ba_time now, struct ds_actions *out)
{
	const struct ba_list *pos;

	(void)e;
	(void)now;
	ba_list_each(pos, &p->subscribers)
		add_action(out, DS_SEND_RESUME, DS_REASON_STALE_CHANGED,
			   ba_entry(pos, struct subscriber, link)->id, 0);
}

static void on_tick(struct ds_publisher *p, const struct ds_event *e,
		    ba_time now, struct ds_actions *out)
{
	(void)e;
	p->deadline = BA_NEVER;
	send_all(p, now, out);
}

static void send_all(struct ds_publisher *p, ba_time now,
		     struct ds_actions *out)
{
	const struct ba_list *pos;

	ba_list_each(pos, &p->subscribers)
		send_one(p, ba_entry(pos, struct subscriber, link), now, out);
}

static void send_one(struct ds_publisher *p, struct subscriber *s, ba_time now,
		     struct ds_actions *out)
{
	const struct past_version *past = find_in_history(p, s->held);

	if (s->in_flight || !may_be_sent(p, s))
		return;
	if (s->held == p->version && ba_digest_equal(&s->digest, &p->digest))
		return;
	if (s->remote && now < s->pace_deadline) {
		p->deadline = MIN(p->deadline, s->pace_deadline);
		return;
	}
	s->pace_deadline = now + p->window;
	s->in_flight = p->version;
	if (past && ba_digest_equal(&past->digest, &s->digest))
		add_action(out, DS_SEND_DELTA, DS_REASON_NEWER, s->id, s->held);
	else
		add_action(out, DS_SEND_SNAPSHOT,
			   past ? DS_REASON_DIGEST_DIFFERS
				: DS_REASON_NOT_IN_HISTORY,
			   s->id, 0);
}

static bool may_be_sent(const struct ds_publisher *p,
			const struct subscriber *s)
{
	return p->version && s->floor <= p->version &&
	       (s->is_relay || !s->awaited);
}

/* A daemon without a floor may have held any version before its restart. */
static bool lacks_floor(const struct subscriber *s)
{
	return !s->is_relay && !s->floor;
}

/*
 * The subscriber waits for the next question, as the answer to one that is
 * already pending may be older than its subscription.
 */
static void wait_for_floor(struct ds_publisher *p, struct subscriber *s,
			   struct ds_actions *out)
{
	if (p->authority)
		return;
	if (!s->awaited)
		p->n_waiting++;
	s->awaited = p->n_asked + 1;
	ask_floor(p, out);
}

static void stop_waiting(struct ds_publisher *p, struct subscriber *s)
{
	if (s->awaited)
		p->n_waiting--;
	s->awaited = 0;
}

static void ask_floor(struct ds_publisher *p, struct ds_actions *out)
{
	if (p->ask_pending || !p->upstream_ready || !p->n_waiting)
		return;
	p->ask_pending = true;
	p->n_asked++;
	add_action(out, DS_ASK_FLOOR, DS_REASON_FLOOR_UNKNOWN, 0, 0);
}

static void answer_all(struct ds_publisher *p, uint64_t floor, ba_time now,
		       struct ds_actions *out)
{
	const struct ba_list *pos;

	ba_list_each(pos, &p->subscribers)
	{
		struct subscriber *s = ba_entry(pos, struct subscriber, link);

		if (!s->awaited || s->awaited > p->n_asked)
			continue;
		stop_waiting(p, s);
		answer_one(p, s, floor, now, out);
	}
}

static void answer_one(struct ds_publisher *p, struct subscriber *s,
		       uint64_t floor, ba_time now, struct ds_actions *out)
{
	struct ds_action *a;
	size_t n = out->n;

	if (!s->is_relay) {
		s->floor = MAX(s->floor, floor);
		send_one(p, s, now, out);
	}
	if (out->n == n)
		add_action(out, DS_SEND_RESUME, DS_REASON_ANSWERED, s->id, 0);
	a = &out->list[out->n - 1];
	a->floor = floor;
	a->floor_known = true;
	a->answer = s->ask;
	s->ask = 0;
}

static void add_to_history(struct ds_publisher *p, uint64_t version,
			   const struct ba_digest *digest)
{
	if (p->n_history == DS_HISTORY_LIMIT) {
		memmove(p->history, p->history + 1,
			(DS_HISTORY_LIMIT - 1) * sizeof(p->history[0]));
		p->n_history--;
	}
	p->history[p->n_history].version = version;
	p->history[p->n_history].digest = *digest;
	p->n_history++;
}

static const struct past_version *find_in_history(const struct ds_publisher *p,
						  uint64_t version)
{
	for (size_t i = p->n_history; i > 0; i--)
		if (p->history[i - 1].version == version)
			return &p->history[i - 1];
	return NULL;
}

static struct ds_action *add_action(struct ds_actions *out,
				    enum ds_action_kind kind,
				    enum ds_reason reason, uint64_t subscriber,
				    uint64_t from)
{
	struct ds_action a = {.kind = kind,
			      .reason = reason,
			      .subscriber = subscriber,
			      .from = from};

	if (out->n == out->alloc) {
		out->alloc = out->alloc ? out->alloc * 2 : 16;
		out->list = g_renew(struct ds_action, out->list, out->alloc);
	}
	out->list[out->n] = a;
	return &out->list[out->n++];
}

static void update_summary(struct ds_publisher *p, struct ds_actions *out)
{
	struct ds_count counts[DS_COUNTS_LIMIT] = {{0}};
	size_t n = ds_publisher_counts(p, counts);

	size_t same = 0;

	while (same < n && same < p->n_summary &&
	       counts[same].version == p->summary[same].version &&
	       counts[same].daemons == p->summary[same].daemons)
		same++;
	if (same == n && n == p->n_summary)
		return;
	memcpy(p->summary, counts, sizeof(counts));
	p->n_summary = n;
	add_action(out, DS_NOTIFY_SUMMARY, DS_REASON_ACKED, 0, 0);
}

static void set_counts(struct ds_publisher *p, struct subscriber *s,
		       const struct ds_event *e)
{
	for (size_t i = 0; i < s->n_counts; i++)
		ds_version_counts_subtract(&p->version_counts,
					   s->counts[i].version,
					   s->counts[i].daemons);
	s->n_counts = e->n_counts;
	for (size_t i = 0; i < s->n_counts; i++) {
		s->counts[i] = e->counts[i];
		ds_version_counts_add(&p->version_counts, s->counts[i].version,
				      s->counts[i].daemons);
	}
}
