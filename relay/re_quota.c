#include "base/ba_clock.h"
#include "base/ba_event.h"
#include "base/ba_result.h"
#include "config/cf.h"
#include "distrib/ds_quota.h"
#include "relay/re.h"

/* Least time between two questions to other relays. */
#define ASK_INTERVAL (100 * BA_MS)

/* Teams that are logged as scarce at the same time. */
enum { SCARCE_LIMIT = 16 };

static void on_timer(struct ba_timer *t, ba_time now);
static unsigned int count_peers(const struct re_relay *r);
static void note_scarce(struct re_relay *r, const struct cl_quota_message *ask,
			const struct cl_quota_message *grant, ba_time now);
static const char *find_name(const struct re_relay *r, uint64_t team);
static gboolean is_over(gpointer key, gpointer value, gpointer arg);
static void log_state(const char *team, const struct cl_quota_pool_state *s);

/*
 * Times of quotas are read from the clock: the time of the loop may be that
 * before a suspension.
 */
void re_quota_start(struct re_relay *r)
{
	r->quota = cl_quota_pool_new(ba_clock_now());
	r->quota_timer.fire = on_timer;
	r->quota_scarce = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, g_free);
}

void re_quota_stop(struct re_relay *r)
{
	cl_quota_pool_free(r->quota);
	g_hash_table_destroy(r->quota_scarce);
}

void re_quota_configure(struct re_relay *r, const struct cf_snapshot *s)
{
	struct cl_quota_limit *list = g_new(struct cl_quota_limit, s->n_teams);
	size_t n = cl_quota_read_limits(s, list);

	cl_quota_pool_configure(r->quota, list, n, ba_clock_now());
	g_free(list);
}

void re_quota_check(struct re_relay *r)
{
	cl_quota_pool_count(r->quota, (uint32_t)ep_table_n_known(r->table),
			    ba_clock_now());
	g_hash_table_foreach_remove(r->quota_scarce, is_over, r);
}

int re_quota_handle_ask(struct re_conn *c, const struct wi_frame *f)
{
	struct re_relay *r = c->relay;
	bool is_relay = wi_session_peer(c->session)->role == WI_RELAY;
	ba_time now = ba_clock_now();
	struct cl_quota_message ask;
	struct cl_quota_message grant;

	if (!ds_quota_read_ask(f, &ask))
		return WI_FRAME_GARBAGE;
	if (is_relay) {
		cl_quota_pool_lend(r->quota, &ask, &grant, now);
	} else {
		cl_quota_pool_grant(r->quota, &c->lender, &ask, &grant, now);
		note_scarce(r, &ask, &grant, now);
		if (cl_quota_pool_is_lacking(r->quota) && !r->quota_timer.slot)
			ba_loop_arm(
				r->loop, &r->quota_timer,
				MAX(ba_loop_now(r->loop), r->quota_not_before));
	}
	ds_quota_send_grant(c->session, &grant);
	return BA_OK;
}

int re_quota_handle_grant(struct re_peer *p, const struct wi_frame *f)
{
	struct cl_quota_message m;

	if (!ds_quota_read_grant(f, &m))
		return WI_FRAME_GARBAGE;
	if (m.number != p->quota_asked.number || m.n != p->quota_asked.n)
		return BA_OK;
	for (size_t i = 0; i < m.n; i++)
		m.amounts[i].team = p->quota_asked.amounts[i].team;
	p->quota_asked.number = 0;
	cl_quota_pool_borrowed(p->relay->quota, &m, p->quota_asked_at,
			       ba_clock_now());
	return BA_OK;
}

void re_quota_end(struct re_conn *c)
{
	cl_quota_pool_end(c->relay->quota, &c->lender, ba_clock_now());
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	struct re_relay *r = ba_entry(t, struct re_relay, quota_timer);
	struct cl_quota_message ask;

	r->quota_not_before = now + ASK_INTERVAL;
	now = ba_clock_now();
	if (!cl_quota_pool_ask(r->quota, count_peers(r), &ask, now))
		return;
	for (guint i = 0; i < r->peers->len; i++) {
		struct re_peer *p = r->peers->pdata[i];
		struct wi_session *s = ds_link_session(p->link);

		if (!s)
			continue;
		p->quota_asked = ask;
		p->quota_asked_at = now;
		ds_quota_send_ask(s, &ask);
	}
}

static unsigned int count_peers(const struct re_relay *r)
{
	unsigned int n = 0;

	for (guint i = 0; i < r->peers->len; i++) {
		const struct re_peer *p = r->peers->pdata[i];

		n += ds_link_session(p->link) != NULL;
	}
	return n;
}

/* Logs the first of the time in which tokens of a team are lacking. */
static void note_scarce(struct re_relay *r, const struct cl_quota_message *ask,
			const struct cl_quota_message *grant, ba_time now)
{
	for (size_t i = 0; i < ask->n; i++) {
		uint64_t team = ask->amounts[i].team;
		struct cl_quota_pool_state state;
		const char *name;

		if (grant->amounts[i].tokens >= ask->amounts[i].tokens ||
		    g_hash_table_size(r->quota_scarce) >= SCARCE_LIMIT ||
		    g_hash_table_contains(r->quota_scarce, &team))
			continue;
		name = find_name(r, team);
		if (!name || !cl_quota_pool_read(r->quota, team, &state, now))
			continue;
		log_state(name, &state);
		g_hash_table_insert(r->quota_scarce,
				    g_memdup2(&team, sizeof(team)),
				    g_strdup(name));
	}
}

static const char *find_name(const struct re_relay *r, uint64_t team)
{
	const struct cf_snapshot *s = r->receiver.current;

	for (size_t i = 0; s && i < s->n_teams; i++)
		if (cl_quota_team(s->teams[i].name) == team)
			return s->teams[i].name;
	return NULL;
}

/* Scarcity ends a second after tokens were last lacking. */
static gboolean is_over(gpointer key, gpointer value, gpointer arg)
{
	struct re_relay *r = arg;
	struct cl_quota_pool_state state = {.scarce = false};

	cl_quota_pool_read(r->quota, *(uint64_t *)key, &state, ba_clock_now());
	if (!state.scarce)
		log_state(value, &state);
	return !state.scarce;
}

static void log_state(const char *team, const struct cl_quota_pool_state *s)
{
	ba_event(CL_EV_QUOTA_SCARCE,
		 "team=%s scarce=%d tokens=%.1f lent=%u instances=%u", team,
		 (int)s->scarce, s->tokens, s->lenders, s->instances);
}
