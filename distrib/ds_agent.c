#include <string.h>

#include <glib.h>

#include "base/ba_event.h"
#include "base/ba_list.h"
#include "base/ba_result.h"
#include "distrib/ds_agent.h"
#include "distrib/ds_departure.h"
#include "distrib/ds_receiver.h"
#include "distrib/ds_link.h"
#include "distrib/ds_quota.h"
#include "distrib/ds_roster.h"
#include "distrib/ds_sibling.h"
#include "distrib/ds_store.h"
#include "endpoint/ep_table.h"
#include "endpoint/ep_wire.h"
#include "report/rt.h"
#include "wire/ds.pb-c.h"
#include "wire/rt.pb-c.h"

/* Changes of endpoints that arrive within this time are put into one view. */
#define VIEW_DELAY (20 * BA_MS)

/* Least time between two announcements of marks. */
#define MARKS_INTERVAL (200 * BA_MS)

#define FIGURES_PERIOD (5 * BA_SECOND)

/* Period per live daemon: together they send at most 50 times a second. */
#define FIGURES_PERIOD_PER_DAEMON (20 * BA_MS)

#define SIBLING_PERIOD (3 * BA_SECOND)

/* Lease of records that a full update of the relay does not name. */
#define ABSENT_LEASE BA_MINUTE

/* Longest wait for the roster of a relay that was found by the settings. */
#define ROSTER_TIMEOUT (150 * BA_MS)

/* Moves of daemons that hold a configuration are spread over this time. */
#define MOVE_JITTER (2 * BA_SECOND)

/* Changes reach no two instances at the same time. */
#define BEHIND_DELAY BA_SECOND

/*
 * Nothing confirms what another instance was heard of: if it is wrong, it must
 * not hold for ever.
 */
#define NOTED_TIME (10 * BA_SECOND)

enum { VIEW_SUBSET = 64 }; /* most endpoints of one service in a view */

/*
 * @subscribe_timer: fires when the relay has not sent a roster in time
 * @seeds: addresses of the settings
 * @ranking: relays by the last roster, or the seeds
 * @subscribed: whether the open session has got the subscription
 * @confirmed: whether the last update of the open session said that the version
 *	held is the newest
 * @noted: newest version that another instance was heard of
 * @noted_until: when @noted is forgotten
 * @behind_since: since when @noted is newer than the version held
 * @behind_timer: armed while that is so; logs it, then leaves the relay
 * @marks_timer: armed while the marks have changed since the last announcement
 * @marks_not_before: earliest time at which marks are announced again
 */
struct ds_agent {
	struct ds_link_owner link_owner;
	struct ds_sibling_owner sibling_owner;
	struct ds_link *link;
	struct ds_sibling *sibling;
	struct ba_loop *loop;
	struct ds_agent_owner *owner;
	const struct wi_identity *identity;
	char *data_folder;
	struct ba_timer view_timer;
	struct ba_timer figures_timer;
	struct ba_timer expiry_timer;
	struct ba_timer sibling_timer;
	struct ba_timer subscribe_timer;
	struct ba_timer marks_timer;
	struct ba_timer behind_timer;
	ba_time marks_not_before;
	struct ba_address *seeds;
	size_t n_seeds;
	struct ds_ranking *ranking;
	bool subscribed;
	bool confirmed;
	uint64_t noted;
	ba_time noted_until;
	ba_time behind_since;
	struct ds_receiver receiver;
	struct ds_departure departure;
	struct ep_record record;
	ba_time lease;
	struct ep_table *table;
	struct ep_view *view;
	struct ba_rand rand;
};

static void on_opened(struct ds_link_owner *o, struct wi_session *s);
static void on_subscribe_timer(struct ba_timer *t, ba_time now);
static void subscribe(struct ds_agent *a, struct wi_session *s);
static int on_frame(struct ds_link_owner *o, struct wi_session *s,
		    const struct wi_frame *f);
static void on_lost(struct ds_link_owner *o, int code);
static int on_sibling_frame(struct ds_sibling_owner *o, struct wi_session *s,
			    const struct wi_frame *f);
static void on_view_timer(struct ba_timer *t, ba_time now);
static void on_figures_timer(struct ba_timer *t, ba_time now);
static ba_time figures_period(const struct ds_agent *a);
static void on_expiry_timer(struct ba_timer *t, ba_time now);
static void on_sibling_timer(struct ba_timer *t, ba_time now);
static void on_marks_timer(struct ba_timer *t, ba_time now);
static void on_behind_timer(struct ba_timer *t, ba_time now);
static uint64_t versions_behind(const struct ds_agent *a, ba_time now);
/*
 * A relay that has not brought the version for long is as one whose data are
 * stale: the next one may have it.
 */
static void on_behind_timer(struct ba_timer *t, ba_time now)
{
	struct ds_agent *a = ba_entry(t, struct ds_agent, behind_timer);
	const struct wi_session *s = ds_link_session(a->link);
	uint64_t behind = versions_behind(a, now);

	rt_set_gauge(RT_BEHIND, behind);
	if (!behind)
		return;
	ba_event(DS_EV_BEHIND, "held=%llu known=%llu since_us=%lld relay=%s",
		 (unsigned long long)a->receiver.subscriber.held,
		 (unsigned long long)a->noted,
		 (long long)(now - a->behind_since),
		 s ? wi_session_peer(s)->instance : "none");
	if (now < a->behind_since + DS_BEHIND_LIMIT) {
		ba_loop_arm(a->loop, t, a->behind_since + DS_BEHIND_LIMIT);
		return;
	}
	ds_link_set_stale(a->link, true);
	a->behind_since = now;
	ba_loop_arm(a->loop, t, now + BEHIND_DELAY);
}

static uint64_t versions_behind(const struct ds_agent *a, ba_time now)
{
	uint64_t held = a->receiver.subscriber.held;

	return now < a->noted_until && a->noted > held ? a->noted - held : 0;
}

static bool has_marks(const struct ep_record *r, const struct ep_mark *marks,
		      size_t n, uint64_t epoch);
static void load_stored(struct ds_agent *a);
static int handle_update(struct ds_agent *a, struct wi_session *s,
			 const struct wi_frame *f);
static void put_in_force(struct ds_agent *a, struct cf_snapshot *next);
static void acknowledge(struct ds_agent *a, struct wi_session *s,
			const struct ds_receive_result *result);
static int handle_roster(struct ds_agent *a, struct wi_session *s,
			 const struct wi_frame *f);
static size_t read_roster(const DsRoster *m, struct ds_relay *out);
static int handle_records(struct ds_agent *a, const struct wi_frame *f);
static void put_record(struct ds_agent *a, const EpRecord *m, ba_time now);
static void learn_lifetime(struct ds_agent *a, const struct ep_lifetime *known);
static int handle_departed(struct ds_agent *a, const struct wi_frame *f);
static void on_departed(const struct ep_departure_entry *d, void *arg);
static int handle_figures_ack(struct ds_agent *a, const struct wi_frame *f);
static int handle_quota_grant(struct ds_agent *a, const struct wi_frame *f);
static void announce(struct ds_agent *a, struct wi_session *s);
static void announce_if_connected(struct ds_agent *a);
static void send_digest(struct ds_agent *a, struct wi_session *s);
static void add_digest(const struct ep_centre_digest *d, void *arg);
static void arm_timers(struct ds_agent *a);

struct ds_agent *ds_agent_new(struct ba_loop *loop,
			      const struct ds_agent_options *options,
			      struct ds_agent_owner *owner)
{
	struct ds_agent *a = g_new0(struct ds_agent, 1);
	struct ds_link_options link = {
		.identity = options->identity,
		.addresses = options->relays->list,
		.n_addresses = options->relays->n,
		.seed = options->seed,
	};

	a->link_owner.opened = on_opened;
	a->link_owner.frame = on_frame;
	a->link_owner.lost = on_lost;
	a->sibling_owner.frame = on_sibling_frame;
	a->view_timer.fire = on_view_timer;
	a->figures_timer.fire = on_figures_timer;
	a->expiry_timer.fire = on_expiry_timer;
	a->sibling_timer.fire = on_sibling_timer;
	a->subscribe_timer.fire = on_subscribe_timer;
	a->marks_timer.fire = on_marks_timer;
	a->behind_timer.fire = on_behind_timer;
	a->loop = loop;
	a->owner = owner;
	a->identity = options->identity;
	a->data_folder = g_strdup(options->data_folder);
	a->lease = options->lease;
	a->rand.state = options->seed;
	ep_record_copy(&a->record, options->record);
	a->table = ep_table_new(EP_TABLE_LIMIT);
	a->sibling =
		ds_sibling_new(loop, options->identity,
			       options->control_address, &a->sibling_owner);
	if (!a->sibling) {
		ds_agent_free(a);
		return NULL;
	}
	a->n_seeds = options->relays->n;
	a->seeds = g_memdup2(options->relays->list,
			     a->n_seeds * sizeof(struct ba_address));
	a->ranking = g_new0(struct ds_ranking, 1);
	ds_departure_init(&a->departure, loop, options->identity->instance);
	load_stored(a);
	a->link = ds_link_new(loop, &link, &a->link_owner);
	arm_timers(a);
	return a;
}

void ds_agent_announce(struct ds_agent *a, const struct ep_record *record,
		       bool renewed)
{
	struct ep_record next;

	ep_record_copy(&next, record);
	g_free(next.instance);
	next.instance = g_strdup(a->record.instance);
	next.incarnation = a->record.incarnation + renewed;
	next.sequence = renewed ? 0 : a->record.sequence;
	g_free(next.marks);
	next.marks = g_steal_pointer(&a->record.marks);
	next.n_marks = a->record.n_marks;
	next.marks_epoch = a->record.marks_epoch;
	ep_record_clear(&a->record);
	a->record = next;
	announce_if_connected(a);
}

void ds_agent_report_marks(struct ds_agent *a, const struct ep_mark *marks,
			   size_t n, uint64_t epoch)
{
	struct ep_record *r = &a->record;

	n = MIN(n, (size_t)EP_MARKS_MAX);
	if (has_marks(r, marks, n, epoch))
		return;
	g_free(r->marks);
	r->marks = g_memdup2(marks, n * sizeof(*marks));
	r->n_marks = n;
	r->marks_epoch = epoch;
	if (!a->marks_timer.slot)
		ba_loop_arm(a->loop, &a->marks_timer,
			    MAX(ba_loop_now(a->loop), a->marks_not_before));
}

void ds_agent_log_departure(struct ds_agent *a, const struct ep_lifetime *l)
{
	if (!ds_departure_log(&a->departure, l) && a->owner->on_departed)
		a->owner->on_departed(a->owner, l);
}

void ds_agent_drain(struct ds_agent *a)
{
	a->record.draining = true;
	announce_if_connected(a);
}

void ds_agent_leave(struct ds_agent *a)
{
	a->record.left = true;
	announce_if_connected(a);
}

void ds_agent_send_figures(struct ds_agent *a)
{
	struct wi_session *s = ds_link_session(a->link);
	struct ba_buf out = {0};

	if (!s || !a->owner->add_figures)
		return;
	a->owner->add_figures(a->owner, &out);
	if (out.len)
		wi_send_packed(s, RT_FIGURES, out.data, out.len);
	ba_buf_free(&out);
}

void ds_agent_ask_quota(struct ds_agent *a, const struct cl_quota_message *m)
{
	struct wi_session *s = ds_link_session(a->link);

	if (s && a->subscribed)
		ds_quota_send_ask(s, m);
}

void ds_agent_send_tallies(struct ds_agent *a, const void *data, size_t len)
{
	struct wi_session *s = ds_link_session(a->link);

	if (s)
		wi_send_packed(s, RT_TALLIES, data, len);
}

uint64_t ds_agent_version(const struct ds_agent *a)
{
	return a->receiver.subscriber.held;
}

bool ds_agent_connected(const struct ds_agent *a)
{
	return ds_link_session(a->link);
}

void ds_agent_note_version(struct ds_agent *a, uint64_t version)
{
	ba_time now = ba_loop_now(a->loop);

	if (version <= a->receiver.subscriber.held ||
	    (version < a->noted && now < a->noted_until))
		return;
	if (!versions_behind(a, now)) {
		a->behind_since = now;
		ba_loop_arm(a->loop, &a->behind_timer, now + BEHIND_DELAY);
	}
	a->noted = version;
	a->noted_until = now + NOTED_TIME;
}

ba_time ds_agent_current_until(const struct ds_agent *a)
{
	const struct wi_session *s = ds_link_session(a->link);

	if (!s || !a->confirmed || versions_behind(a, ba_loop_now(a->loop)))
		return 0;
	return wi_session_heard_at(s) + DS_CURRENT_SILENCE;
}

bool ds_agent_is_current(const struct ds_agent *a)
{
	return ba_loop_now(a->loop) < ds_agent_current_until(a);
}

void ds_agent_free(struct ds_agent *a)
{
	if (!a)
		return;
	ba_loop_disarm(a->loop, &a->view_timer);
	ba_loop_disarm(a->loop, &a->figures_timer);
	ba_loop_disarm(a->loop, &a->expiry_timer);
	ba_loop_disarm(a->loop, &a->sibling_timer);
	ba_loop_disarm(a->loop, &a->subscribe_timer);
	ba_loop_disarm(a->loop, &a->marks_timer);
	ba_loop_disarm(a->loop, &a->behind_timer);
	if (a->departure.loop)
		ds_departure_stop(&a->departure);
	ds_link_free(a->link);
	ds_sibling_free(a->sibling);
	ds_receiver_free(&a->receiver);
	ep_view_unref(a->view);
	ep_table_free(a->table);
	ep_record_clear(&a->record);
	g_free(a->data_folder);
	g_free(a->seeds);
	g_free(a->ranking);
	g_free(a);
}

/*
 * At a relay that only the settings named, the daemon waits for the roster: it
 * will probably move on to a relay of its data centre, and must not be sent
 * the whole configuration before.
 */
static void on_opened(struct ds_link_owner *o, struct wi_session *s)
{
	struct ds_agent *a = ba_entry(o, struct ds_agent, link_owner);

	a->subscribed = false;
	a->confirmed = false;
	ds_receiver_ask_roster(s);
	if (a->ranking->n)
		subscribe(a, s);
	else
		ba_loop_arm(a->loop, &a->subscribe_timer,
			    ba_loop_now(a->loop) + ROSTER_TIMEOUT);
}

static void on_subscribe_timer(struct ba_timer *t, ba_time now)
{
	struct ds_agent *a = ba_entry(t, struct ds_agent, subscribe_timer);
	struct wi_session *s = ds_link_session(a->link);

	(void)now;
	if (s && !a->subscribed)
		subscribe(a, s);
}

/*
 * The subscription is sent first: a relay that defers this daemon does so on
 * the subscription, before it has spent work on the other messages.
 */
static void subscribe(struct ds_agent *a, struct wi_session *s)
{
	a->subscribed = true;
	ba_loop_disarm(a->loop, &a->subscribe_timer);
	ds_receiver_subscribe(&a->receiver, s, false);
	ds_departure_opened(&a->departure, s);
	announce(a, s);
	send_digest(a, s);
	if (a->owner->on_relay)
		a->owner->on_relay(a->owner, true);
}

static int on_frame(struct ds_link_owner *o, struct wi_session *s,
		    const struct wi_frame *f)
{
	struct ds_agent *a = ba_entry(o, struct ds_agent, link_owner);

	if (f->type == DS_UPDATE)
		return handle_update(a, s, f);
	if (f->type == DS_ROSTER)
		return handle_roster(a, s, f);
	if (f->type == EP_UPDATE)
		return handle_records(a, f);
	if (f->type == EP_DEPARTED)
		return handle_departed(a, f);
	if (f->type == RT_ACK)
		return handle_figures_ack(a, f);
	if (f->type == QT_GRANT)
		return handle_quota_grant(a, f);
	return WI_FRAME_UNKNOWN;
}

static void on_lost(struct ds_link_owner *o, int code)
{
	struct ds_agent *a = ba_entry(o, struct ds_agent, link_owner);

	(void)code;
	ds_departure_lost(&a->departure);
	if (a->owner->on_relay)
		a->owner->on_relay(a->owner, false);
}

static int on_sibling_frame(struct ds_sibling_owner *o, struct wi_session *s,
			    const struct wi_frame *f)
{
	struct ds_agent *a = ba_entry(o, struct ds_agent, sibling_owner);

	if (!f) {
		ds_receiver_subscribe(&a->receiver, s, false);
		return BA_OK;
	}
	return handle_update(a, s, f);
}

static void on_view_timer(struct ba_timer *t, ba_time now)
{
	struct ds_agent *a = ba_entry(t, struct ds_agent, view_timer);
	struct ep_view_options options = {
		.instance = a->identity->instance,
		.data_centre = a->identity->data_centre,
		.region = a->identity->region,
		.subset = VIEW_SUBSET,
	};
	struct ep_view *next = ep_table_view(a->table, a->view, &options);

	(void)now;
	ep_view_unref(a->view);
	a->view = next;
	a->owner->on_view(a->owner, ep_view_ref(next));
}

static void on_figures_timer(struct ba_timer *t, ba_time now)
{
	struct ds_agent *a = ba_entry(t, struct ds_agent, figures_timer);

	ba_loop_arm(a->loop, t, now + figures_period(a));
	ds_agent_send_figures(a);
}

/*
 * The figures of all daemons are written to the replicated log of the sources,
 * so their total rate is limited by what the log can take.
 */
static ba_time figures_period(const struct ds_agent *a)
{
	ba_time period =
		(ba_time)ep_table_n_live(a->table) * FIGURES_PERIOD_PER_DAEMON;

	return period > FIGURES_PERIOD ? period : FIGURES_PERIOD;
}

static void on_expiry_timer(struct ba_timer *t, ba_time now)
{
	struct ds_agent *a = ba_entry(t, struct ds_agent, expiry_timer);
	struct ep_expiry x = ep_table_expire(a->table, now);

	ba_loop_arm(a->loop, t, now + BA_SECOND);
	if (x.expired)
		ba_loop_arm(a->loop, &a->view_timer, now);
}

/* Without a relay, a sibling that still has one may hold a newer version. */
static void on_sibling_timer(struct ba_timer *t, ba_time now)
{
	struct ds_agent *a = ba_entry(t, struct ds_agent, sibling_timer);

	ba_loop_arm(a->loop, t,
		    now + SIBLING_PERIOD +
			    (ba_time)ba_rand_below(&a->rand, SIBLING_PERIOD));
	if (ds_link_session(a->link) || !a->receiver.subscriber.floor_known)
		return;
	ds_sibling_connect(a->sibling, a->table, &a->rand);
}

/* Without a session the marks wait for the announcement that opens the next. */
static void on_marks_timer(struct ba_timer *t, ba_time now)
{
	struct ds_agent *a = ba_entry(t, struct ds_agent, marks_timer);

	a->marks_not_before = now + MARKS_INTERVAL;
	announce_if_connected(a);
}

static bool has_marks(const struct ep_record *r, const struct ep_mark *marks,
		      size_t n, uint64_t epoch)
{
	if (r->n_marks != n || r->marks_epoch != epoch)
		return false;
	for (size_t i = 0; i < n; i++)
		if (r->marks[i].request != marks[i].request ||
		    r->marks[i].crashes != marks[i].crashes ||
		    r->marks[i].acquittals != marks[i].acquittals ||
		    r->marks[i].convicted != marks[i].convicted)
			return false;
	return true;
}

static void load_stored(struct ds_agent *a)
{
	struct cf_snapshot *s =
		a->data_folder ? ds_store_read(a->data_folder) : NULL;

	if (!s)
		return;
	ba_event(DS_EV_FLOOR, "version=%llu from=data_folder",
		 (unsigned long long)s->version);
	ds_receiver_set_current(&a->receiver, s);
	ds_sibling_publish(a->sibling, s);
	a->owner->on_snapshot(a->owner, s);
}

static int handle_update(struct ds_agent *a, struct wi_session *s,
			 const struct wi_frame *f)
{
	bool knew_floor = a->receiver.subscriber.floor_known;
	struct cf_snapshot *next;
	struct ds_receive_result result;
	int ret = ds_receiver_handle_update(&a->receiver, f, &result, &next);

	if (ret)
		return ret;
	if (!knew_floor && a->receiver.subscriber.floor_known)
		ba_event(DS_EV_FLOOR, "version=%llu from=%s",
			 (unsigned long long)a->receiver.subscriber.floor,
			 wi_session_peer(s)->instance);
	if (next)
		put_in_force(a, next);
	if (result.verdict == DS_REFUSE_OLDER)
		ba_event(DS_EV_OLDER_REFUSED, "held=%llu offered=%llu peer=%s",
			 (unsigned long long)a->receiver.subscriber.floor,
			 (unsigned long long)result.current,
			 wi_session_peer(s)->instance);
	if (result.verdict == DS_RESUBSCRIBE)
		ds_receiver_subscribe(&a->receiver, s, true);
	else if (result.verdict == DS_APPLY || result.verdict == DS_UP_TO_DATE)
		acknowledge(a, s, &result);
	if (s == ds_link_session(a->link)) {
		ds_link_set_stale(a->link,
				  result.verdict == DS_PUBLISHER_BEHIND ||
					  result.verdict == DS_REFUSE_OLDER ||
					  result.source_age > 0);
		a->confirmed = (result.verdict == DS_APPLY ||
				result.verdict == DS_UP_TO_DATE) &&
			       !result.source_age;
	}
	return BA_OK;
}

/*
 * A failed write does not keep the version from being put in force; only the
 * floor is lost at the next restart.
 */
static void put_in_force(struct ds_agent *a, struct cf_snapshot *next)
{
	int ret = BA_OK;

	if (a->data_folder)
		ret = ds_store_write(a->data_folder, next);
	if (ret)
		ba_event(CF_EV_REFUSED, "version=%llu kept=no code=%d",
			 (unsigned long long)next->version, ret);
	ds_receiver_set_current(&a->receiver, next);
	rt_set_gauge(RT_BEHIND, versions_behind(a, ba_loop_now(a->loop)));
	ds_sibling_publish(a->sibling, next);
	a->owner->on_snapshot(a->owner, next);
}

static void acknowledge(struct ds_agent *a, struct wi_session *s,
			const struct ds_receive_result *result)
{
	DsAck m = DS_ACK__INIT;

	m.version = a->receiver.subscriber.held;
	m.daemons = 1;
	m.refused_code = (uint32_t)result->code;
	wi_send(s, DS_ACK, &m.base);
}

static int handle_roster(struct ds_agent *a, struct wi_session *s,
			 const struct wi_frame *f)
{
	DsRoster *m = (DsRoster *)wi_frame_unpack(f, &ds_roster__descriptor);
	struct ds_relay relays[DS_ROSTER_LIMIT];
	const struct ds_place self = {
		.instance = a->identity->instance,
		.data_centre = a->identity->data_centre,
		.region = a->identity->region,
	};
	struct ds_ranking before = *a->ranking;
	ba_time move_deadline = BA_NEVER;

	if (!m)
		return WI_FRAME_GARBAGE;
	ds_roster_rank(&self, relays, read_roster(m, relays), a->seeds,
		       a->n_seeds, a->ranking);
	ds_roster__free_unpacked(m, NULL);
	if (ds_roster_should_move(&before, a->ranking,
				  ds_link_address(a->link)))
		move_deadline =
			ba_loop_now(a->loop) +
			(a->receiver.subscriber.held
				 ? (ba_time)ba_rand_below(&a->rand, MOVE_JITTER)
				 : 0);
	if (a->ranking->n)
		ds_link_set_addresses(a->link, a->ranking->list, a->ranking->n,
				      a->ranking->n_preferred, move_deadline);
	if (!a->subscribed && move_deadline > ba_loop_now(a->loop))
		subscribe(a, s);
	return BA_OK;
}

/* Entries whose address cannot be read are left out. */
static size_t read_roster(const DsRoster *m, struct ds_relay *out)
{
	size_t n = 0;

	for (size_t i = 0; i < m->n_relays && n < DS_ROSTER_LIMIT; i++) {
		out[n].data_centre = m->relays[i]->data_centre;
		out[n].region = m->relays[i]->region;
		n += !ba_parse_address(m->relays[i]->address, &out[n].address);
	}
	return n;
}

static int handle_records(struct ds_agent *a, const struct wi_frame *f)
{
	EpUpdate *m = (EpUpdate *)wi_frame_unpack(f, &ep_update__descriptor);
	ba_time now = ba_loop_now(a->loop);

	if (!m)
		return WI_FRAME_GARBAGE;
	if (m->full)
		ep_table_begin_full(a->table);
	for (size_t i = 0; i < m->n_records; i++)
		put_record(a, m->records[i], now);
	if (m->full)
		ep_table_end_full(a->table, m->data_centre, m->buckets,
				  m->n_buckets, now + ABSENT_LEASE);
	ep_update__free_unpacked(m, NULL);
	if (!a->view_timer.slot)
		ba_loop_arm(a->loop, &a->view_timer,
			    a->view ? now + VIEW_DELAY : now);
	return BA_OK;
}

/*
 * An observer that lost contact with this endpoint may have marked it as left.
 * Only its own daemon can refute that, by an announcement with a newer
 * sequence.
 */
static void put_record(struct ds_agent *a, const EpRecord *m, ba_time now)
{
	struct ep_mark marks[EP_MARKS_MAX];
	struct ep_lifetime known;
	struct ep_record r;

	ep_record_from_message(m, now, marks, &r);
	if (ep_record_check(&r))
		return;
	ep_table_put(a->table, &r, EP_HELD_BY_PEER, BA_NEVER, now);
	if (strcmp(r.instance, a->record.instance) != 0 ||
	    r.incarnation != a->record.incarnation ||
	    r.sequence < a->record.sequence)
		return;
	known = ep_record_lifetime(&r);
	learn_lifetime(a, &known);
	if (!r.left || a->record.left || r.sequence < a->record.sequence)
		return;
	a->record.sequence = r.sequence;
	announce_if_connected(a);
}

/*
 * The relay has added what an earlier start of this daemon knew.  The owner may
 * answer with an announcement.
 */
static void learn_lifetime(struct ds_agent *a, const struct ep_lifetime *known)
{
	struct ep_lifetime own = ep_record_lifetime(&a->record);
	bool same = own.start_wall_ms == known->start_wall_ms;

	if (!*known->backend)
		return;
	if (*own.backend && (!ep_lifetime_is_past(known, &own) ||
			     (same && own.state >= known->state)))
		return;
	if (!*own.backend) {
		g_free(a->record.backend);
		a->record.backend = g_strdup(known->backend);
		a->record.backend_start_wall_ms = known->start_wall_ms;
		a->record.backend_sequence = known->sequence;
		a->record.backend_state = known->state;
	}
	if (a->owner->on_lifetime)
		a->owner->on_lifetime(a->owner, known);
}

static int handle_departed(struct ds_agent *a, const struct wi_frame *f)
{
	return ep_departures_read(f->data, f->len, on_departed, a) < 0
		       ? WI_FRAME_GARBAGE
		       : BA_OK;
}

/* An earlier process of this instance may have acknowledged it. */
static void on_departed(const struct ep_departure_entry *d, void *arg)
{
	struct ds_agent *a = arg;

	if (strcmp(d->instance, a->identity->instance) != 0)
		return;
	ds_departure_logged(&a->departure, &d->lifetime);
	learn_lifetime(a, &d->lifetime);
	if (a->owner->on_departed)
		a->owner->on_departed(a->owner, &d->lifetime);
}

static int handle_figures_ack(struct ds_agent *a, const struct wi_frame *f)
{
	RtAck *m = (RtAck *)wi_frame_unpack(f, &rt_ack__descriptor);

	if (!m)
		return WI_FRAME_GARBAGE;
	if (a->owner->on_figures_acked)
		a->owner->on_figures_acked(a->owner, m->incarnation,
					   m->sequence);
	rt_ack__free_unpacked(m, NULL);
	return BA_OK;
}

static int handle_quota_grant(struct ds_agent *a, const struct wi_frame *f)
{
	struct cl_quota_message m;

	if (!ds_quota_read_grant(f, &m))
		return WI_FRAME_GARBAGE;
	if (a->owner->on_quota_granted)
		a->owner->on_quota_granted(a->owner, &m);
	return BA_OK;
}

static void announce(struct ds_agent *a, struct wi_session *s)
{
	EpAnnounce m = EP_ANNOUNCE__INIT;
	EpRecord r;

	ba_loop_disarm(a->loop, &a->marks_timer);
	a->record.sequence++;
	ep_record_to_message(&a->record, ba_loop_now(a->loop), &r);
	m.record = &r;
	m.lease_ms = (uint32_t)(a->lease / BA_MS);
	wi_send(s, EP_ANNOUNCE, &m.base);
	ep_message_clear(&r);
}

static void announce_if_connected(struct ds_agent *a)
{
	struct wi_session *s = ds_link_session(a->link);

	if (s && a->subscribed)
		announce(a, s);
}

/** struct digest_list - digests collected for an EpDigest */
struct digest_list {
	GPtrArray *centres;
};

static void send_digest(struct ds_agent *a, struct wi_session *s)
{
	struct digest_list list = {g_ptr_array_new_with_free_func(g_free)};
	EpDigest m = EP_DIGEST__INIT;

	ep_table_visit_digests(a->table, add_digest, &list);
	m.centres = (EpCentreDigest **)list.centres->pdata;
	m.n_centres = list.centres->len;
	wi_send(s, EP_DIGEST, &m.base);
	g_ptr_array_free(list.centres, TRUE);
}

static void add_digest(const struct ep_centre_digest *d, void *arg)
{
	struct digest_list *list = arg;
	size_t bytes = sizeof(EpCentreDigest) + sizeof(d->buckets);
	EpCentreDigest *c = g_malloc0(bytes);

	ep_centre_digest__init(c);
	c->data_centre = (char *)d->data_centre;
	c->root = d->root;
	c->n_buckets = EP_BUCKETS;
	c->buckets = (uint64_t *)(c + 1);
	memcpy(c->buckets, d->buckets, sizeof(d->buckets));
	g_ptr_array_add(list->centres, c);
}

static void arm_timers(struct ds_agent *a)
{
	ba_time now = ba_loop_now(a->loop);

	ba_loop_arm(a->loop, &a->figures_timer,
		    now + (ba_time)ba_rand_below(&a->rand, FIGURES_PERIOD));
	ba_loop_arm(a->loop, &a->expiry_timer, now + BA_SECOND);
	ba_loop_arm(a->loop, &a->sibling_timer, now + SIBLING_PERIOD);
}
