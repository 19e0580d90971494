#include <string.h>

#include "base/ba_result.h"
#include "source/so.h"
#include "wire/rp.pb-c.h"

#define REDIAL_DELAY_MIN (100 * BA_MS)
#define REDIAL_DELAY_JITTER (200 * BA_MS)

/* A replica that stays unreachable is dialled less often. */
enum { REDIAL_SLOW_AFTER_FAILURES = 30, REDIAL_SLOW_FACTOR = 10 };

/*
 * The times are shorter than those of other sessions, as a new leader has to be
 * elected within seconds.
 */
static const struct wi_limits limits = {
	.heartbeat_interval = 500 * BA_MS,
	.silence_timeout = 1500 * BA_MS,
	.connect_timeout = WI_CONNECT_TIMEOUT,
	.handshake_timeout = 1 * BA_SECOND,
	.max_queue_bytes = 64 * 1024 * 1024,
};

static void dial(struct so_peer *p);
static void on_timer(struct ba_timer *t, ba_time now);
static void on_opened(struct wi_handler *h, struct wi_session *session);
static int on_frame(struct wi_handler *h, struct wi_session *session,
		    const struct wi_frame *f);
static void on_closed(struct wi_handler *h, struct wi_session *session,
		      int code, ba_time retry_after);
static void send_roster(struct so_peer *p);
static int handle_roster(struct so_source *s, const struct wi_frame *f);
static int handle_forward(struct so_source *s, const struct wi_frame *f);

void so_peer_start(struct so_source *s)
{
	for (int i = 0; i < s->n_peers; i++)
		if (i != s->self && !s->peers[i].session)
			dial(&s->peers[i]);
}

int so_peer_add(struct so_source *s, const char *name,
		const struct ba_address *address)
{
	struct so_peer *p = &s->peers[s->n_peers];

	p->handler.opened = on_opened;
	p->handler.frame = on_frame;
	p->handler.closed = on_closed;
	p->timer.fire = on_timer;
	p->source = s;
	p->index = s->n_peers;
	p->address = *address;
	s->names[s->n_peers] = g_strdup(name);
	s->addresses[s->n_peers] = g_strdup(address->text);
	return s->n_peers++;
}

int so_peer_discover(struct so_source *s, const char *name)
{
	struct ba_address address;
	struct ba_addresses one = {&address, 1};
	int i = so_peer_find(s, name);

	if (i != RP_NO_PEER || !s->settings->open_group)
		return i;
	if (ba_parse_address(name, &address))
		return RP_NO_PEER;
	pr_set_port(&one, pr_port(&s->settings->address));
	if (rp_node_add_peer(s->node, name, address.text) != s->n_peers)
		return RP_NO_PEER;
	i = so_peer_add(s, name, &address);
	if (s->listener)
		dial(&s->peers[i]);
	for (int j = 0; j < s->n_peers; j++)
		if (s->peers[j].open)
			send_roster(&s->peers[j]);
	if (s->peer_discovered)
		s->peer_discovered(s, name);
	return i;
}

void so_peer_stop(struct so_source *s)
{
	for (int i = 0; i < s->n_peers; i++) {
		struct so_peer *p = &s->peers[i];

		ba_loop_disarm(s->loop, &p->timer);
		if (p->session)
			wi_detach(p->session);
		p->session = NULL;
		g_free(s->names[i]);
		g_free(s->addresses[i]);
	}
}

bool so_peer_is_open(const struct so_source *s, int index)
{
	return s->peers[index].open;
}

void so_peer_send(struct so_source *s, int to, int type, const void *data,
		  size_t len)
{
	struct so_peer *p = &s->peers[to];

	if (p->open)
		wi_send_packed(p->session, type, data, len);
}

void so_peer_flush(struct so_source *s, int to)
{
	if (s->peers[to].open)
		wi_flush(s->peers[to].session);
}

int so_peer_handle_frame(struct so_conn *c, const struct wi_frame *f)
{
	struct so_source *s = c->source;
	int from = so_peer_find(s, wi_session_peer(c->session)->instance);
	int ret;

	if (f->type == RP_ROSTER)
		return handle_roster(s, f);
	if (f->type == RT_TALLIES)
		return so_rollout_handle_tallies(s, f, true);
	if (f->type == RP_FORWARD)
		return handle_forward(s, f);
	if (f->type == RP_READ && from != RP_NO_PEER)
		return so_read_handle_request(s, from, f);
	if (f->type == RP_READ_REPLY && from != RP_NO_PEER)
		return so_read_handle_reply(s, from, f);
	if (f->type != RP_MESSAGE || from == RP_NO_PEER)
		return WI_FRAME_UNKNOWN;
	/*
	 * The time of the loop may be older than this message.  A voter that
	 * noted it would vote for another before the lease that it renews ends.
	 */
	ret = rp_node_receive(s->node, from, f->data, f->len, ba_clock_now());
	so_source_rearm(s);
	return ret;
}

int so_peer_find(const struct so_source *s, const char *name)
{
	for (int i = 0; i < s->n_peers; i++)
		if (!strcmp(s->names[i], name))
			return i;
	return RP_NO_PEER;
}

static void dial(struct so_peer *p)
{
	struct so_source *s = p->source;

	p->open = false;
	p->session = wi_dial(s->loop, &p->address, s->identity, &limits,
			     &p->handler);
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	(void)now;
	dial(ba_entry(t, struct so_peer, timer));
}

static void on_opened(struct wi_handler *h, struct wi_session *session)
{
	struct so_peer *p = (struct so_peer *)h;

	(void)session;
	p->open = true;
	p->failures = 0;
	if (p->source->settings->open_group)
		send_roster(p);
}

/* A replica sends frames only over sessions it has dialled itself. */
static int on_frame(struct wi_handler *h, struct wi_session *session,
		    const struct wi_frame *f)
{
	(void)h;
	(void)session;
	(void)f;
	return WI_FRAME_UNKNOWN;
}

static void on_closed(struct wi_handler *h, struct wi_session *session,
		      int code, ba_time retry_after)
{
	struct so_peer *p = (struct so_peer *)h;
	struct so_source *s = p->source;
	ba_time wait = REDIAL_DELAY_MIN +
		       (ba_time)ba_rand_below(&s->rand, REDIAL_DELAY_JITTER);

	if (p->failures++ > REDIAL_SLOW_AFTER_FAILURES)
		wait *= REDIAL_SLOW_FACTOR;
	(void)session;
	(void)code;
	p->session = NULL;
	p->open = false;
	ba_loop_arm(s->loop, &p->timer,
		    ba_loop_now(s->loop) + MAX(wait, retry_after));
}

static void send_roster(struct so_peer *p)
{
	struct so_source *s = p->source;
	RpRoster m = RP_ROSTER__INIT;

	m.names = s->names;
	m.n_names = (size_t)s->n_peers;
	wi_send(p->session, RP_ROSTER, &m.base);
}

static int handle_roster(struct so_source *s, const struct wi_frame *f)
{
	RpRoster *m = (RpRoster *)wi_frame_unpack(f, &rp_roster__descriptor);

	if (!m)
		return WI_FRAME_GARBAGE;
	for (size_t i = 0; i < m->n_names; i++)
		so_peer_discover(s, m->names[i]);
	rp_roster__free_unpacked(m, NULL);
	return BA_OK;
}

/*
 * A replica that is no longer the leader drops the entry.  Nothing is lost, as
 * figures and departures are sent again until they are acknowledged.
 */
static int handle_forward(struct so_source *s, const struct wi_frame *f)
{
	RpForward *m = (RpForward *)wi_frame_unpack(f, &rp_forward__descriptor);

	if (!m)
		return WI_FRAME_GARBAGE;
	if (m->kind == RP_ENTRY_KIND__RP_ENTRY_FIGURES ||
	    m->kind == RP_ENTRY_KIND__RP_ENTRY_DEPARTURES)
		rp_node_propose(s->node, (int)m->kind, m->body.data,
				m->body.len, ba_loop_now(s->loop));
	rp_forward__free_unpacked(m, NULL);
	so_source_rearm(s);
	return BA_OK;
}
