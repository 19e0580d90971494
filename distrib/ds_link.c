#include <string.h>

#include <glib.h>

#include "base/ba_event.h"
#include "base/ba_list.h"
#include "base/ba_result.h"
#include "distrib/ds_feed.h"
#include "distrib/ds_link.h"
#include "report/rt.h"

/* A timer that fires later than this shows that the process was paused. */
#define OWN_PAUSE (200 * BA_MS)

/*
 * @heard_at: when a peer was last heard in an open session, %BA_NEVER before
 *	the first
 * @awake_at: end of the last pause of this process, in which it heard nobody
 * @n_tried: dials in vain since the last open session
 */
struct ds_link {
	struct wi_handler handler;
	struct ba_timer timer;
	struct ba_loop *loop;
	struct ds_link_owner *owner;
	const struct wi_identity *identity;
	struct ba_address *addresses;
	struct ds_dialer dialer;
	struct wi_session *session;
	bool open;
	ba_time heard_at;
	ba_time awake_at;
	unsigned int n_tried;
};

static void on_opened(struct wi_handler *h, struct wi_session *s);
static int on_frame(struct wi_handler *h, struct wi_session *s,
		    const struct wi_frame *f);
static void on_closed(struct wi_handler *h, struct wi_session *s, int code,
		      ba_time retry_after);
static void pass_over(struct ds_link *l, int code);
static void on_timer(struct ba_timer *t, ba_time now);
static ba_time silence_deadline(const struct ds_link *l, ba_time now);
static void arm(struct ds_link *l);

struct ds_link *ds_link_new(struct ba_loop *loop,
			    const struct ds_link_options *options,
			    struct ds_link_owner *owner)
{
	struct ds_link *l = g_new0(struct ds_link, 1);

	l->handler.opened = on_opened;
	l->handler.frame = on_frame;
	l->handler.closed = on_closed;
	l->timer.fire = on_timer;
	l->loop = loop;
	l->owner = owner;
	l->identity = options->identity;
	l->heard_at = BA_NEVER;
	l->addresses =
		g_memdup2(options->addresses,
			  options->n_addresses * sizeof(struct ba_address));
	ds_dialer_init(&l->dialer, options->n_addresses, options->n_preferred,
		       options->seed, ba_loop_now(loop));
	arm(l);
	return l;
}

/* The current address is added at the end if it is not listed. */
void ds_link_set_addresses(struct ds_link *l,
			   const struct ba_address *addresses, size_t n,
			   size_t n_preferred, ba_time move_deadline)
{
	struct ba_address *list = g_new(struct ba_address, n + 1);
	size_t current = 0;

	memcpy(list, addresses, n * sizeof(*list));
	list[n] = l->addresses[l->dialer.current];
	while (strcmp(list[current].text, list[n].text) != 0)
		current++;
	g_free(l->addresses);
	l->addresses = list;
	ds_dialer_set_addresses(&l->dialer, current == n ? n + 1 : n,
				n_preferred, current, move_deadline);
	arm(l);
}

const char *ds_link_address(const struct ds_link *l)
{
	return l->addresses[l->dialer.current].text;
}

struct wi_session *ds_link_session(const struct ds_link *l)
{
	return l->open ? l->session : NULL;
}

void ds_link_set_stale(struct ds_link *l, bool stale)
{
	ds_dialer_set_stale(&l->dialer, stale, ba_loop_now(l->loop));
	arm(l);
}

void ds_link_free(struct ds_link *l)
{
	if (!l)
		return;
	ba_loop_disarm(l->loop, &l->timer);
	if (l->session)
		wi_detach(l->session);
	g_free(l->addresses);
	g_free(l);
}

static void on_opened(struct wi_handler *h, struct wi_session *s)
{
	struct ds_link *l = (struct ds_link *)h;

	ba_time now = ba_loop_now(l->loop);
	ba_time unheard = l->heard_at == BA_NEVER ? 0 : now - l->heard_at;

	l->open = true;
	ds_dialer_opened(&l->dialer, now);
	ba_event(DS_EV_UPSTREAM, "peer=%s address=%s tried=%u unheard_us=%lld",
		 wi_session_peer(s)->instance, ds_link_address(l),
		 l->n_tried + 1, (long long)unheard);
	rt_count(RT_UPSTREAM_UNHEARD_MS, (uint64_t)(unheard / BA_MS));
	l->n_tried = 0;
	arm(l);
	l->owner->opened(l->owner, s);
}

static int on_frame(struct wi_handler *h, struct wi_session *s,
		    const struct wi_frame *f)
{
	struct ds_link *l = (struct ds_link *)h;

	return l->owner->frame(l->owner, s, f);
}

static void on_closed(struct wi_handler *h, struct wi_session *s, int code,
		      ba_time retry_after)
{
	struct ds_link *l = (struct ds_link *)h;
	ba_time now = ba_loop_now(l->loop);
	bool was_open = l->open;

	l->session = NULL;
	l->open = false;
	if (was_open) {
		l->heard_at = wi_session_heard_at(s);
		ba_event(DS_EV_UPSTREAM_LOST,
			 "code=%d reason=%s address=%s unheard_us=%lld", code,
			 ba_result_info(code)->name, ds_link_address(l),
			 (long long)(now - l->heard_at));
		rt_count(RT_UPSTREAMS_SILENT, code == WI_PEER_SILENT);
	} else {
		pass_over(l, code);
	}
	ds_dialer_closed(&l->dialer, code == WI_PEER_SILENT, retry_after, now);
	arm(l);
	if (was_open)
		l->owner->lost(l->owner, code);
}

/* Logged for the first round only: later ones say the same. */
static void pass_over(struct ds_link *l, int code)
{
	l->n_tried++;
	rt_count(RT_UPSTREAMS_PASSED_OVER, 1);
	if (l->n_tried <= l->dialer.n)
		ba_event(DS_EV_PASSED_OVER, "address=%s code=%d reason=%s",
			 ds_link_address(l), code, ba_result_info(code)->name);
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	struct ds_link *l = ba_entry(t, struct ds_link, timer);

	if (now > t->deadline + OWN_PAUSE)
		l->awake_at = now;
	if (l->open) {
		if (now >= silence_deadline(l, now))
			wi_close(l->session, WI_PEER_SILENT);
		else if (ds_dialer_should_leave(&l->dialer, now))
			wi_close(l->session, DS_NO_UPSTREAM);
		else if (ds_dialer_should_fail_back(&l->dialer, now))
			wi_close(l->session, WI_PEER_CLOSED);
		arm(l);
		return;
	}
	if (l->session) {
		if (ds_dialer_should_give_up(&l->dialer, now))
			wi_close(l->session, WI_PEER_SILENT);
		return;
	}
	ds_dialer_dialled(&l->dialer, now);
	l->session = wi_dial(l->loop, &l->addresses[l->dialer.current],
			     l->identity, &ds_dial_limits, &l->handler);
	arm(l);
}

static ba_time silence_deadline(const struct ds_link *l, ba_time now)
{
	return MAX(wi_session_heard_at(l->session), l->awake_at) +
	       ds_dialer_silence_time(&l->dialer, now);
}

static void arm(struct ds_link *l)
{
	ba_time deadline = ds_dialer_deadline(&l->dialer);

	if (l->open)
		deadline = MIN(deadline,
			       silence_deadline(l, ba_loop_now(l->loop)));
	if (deadline == BA_NEVER)
		ba_loop_disarm(l->loop, &l->timer);
	else
		ba_loop_arm(l->loop, &l->timer, deadline);
}
