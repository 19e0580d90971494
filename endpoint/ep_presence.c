#include <string.h>

#include <glib.h>

#include "endpoint/ep_presence.h"

static bool may_return(const struct ep_presence *p, ba_time now);
static void set_known(struct ep_presence *p, const struct ep_lifetime *l);
static bool is_same(const struct ep_lifetime *a, const struct ep_lifetime *b);
static bool names_another_start(const struct ep_presence *p,
				const struct ep_departure *d);

void ep_presence_init(struct ep_presence *p)
{
	memset(p, 0, sizeof(*p));
	p->known.backend = p->id;
}

enum ep_heard ep_presence_hear(struct ep_presence *p,
			       const struct ep_lifetime *next, ba_time now)
{
	bool starts = !p->registered || !is_same(&p->known, next);

	if (!may_return(p, now) && ep_lifetime_is_past(&p->known, next))
		return EP_HEARD_PAST;
	if (starts) {
		p->first_heard_at = now;
		p->id_was_used = !strcmp(p->id, next->backend) &&
				 p->known.start_wall_ms != next->start_wall_ms;
	}
	set_known(p, next);
	p->registered = true;
	return starts ? EP_HEARD_START : EP_HEARD_AGAIN;
}

/* Of a start that was never heard of, only the time before which it began. */
bool ep_presence_leave(struct ep_presence *p, const struct ep_departure *d,
		       ba_time now)
{
	const struct ep_lifetime left = {
		.backend = d->backend,
		.start_wall_ms = d->start_wall_ms ? d->start_wall_ms
						  : d->received_wall_ms,
	};
	bool known = !strcmp(p->id, d->backend) &&
		     (!d->start_wall_ms ||
		      d->start_wall_ms == p->known.start_wall_ms);

	if (names_another_start(p, d))
		return false;
	p->left_unsure = !d->start_wall_ms &&
			 (!known || (p->id_was_used &&
				     now < p->first_heard_at + EP_LATE_TIME));
	if (!known)
		set_known(p, &left);
	p->known.state = EP_HAS_LEFT;
	p->left_at = now;
	p->registered = false;
	return true;
}

bool ep_presence_restore(struct ep_presence *p, const struct ep_lifetime *known)
{
	bool same = is_same(&p->known, known);

	if (*p->id && !ep_lifetime_is_past(known, &p->known))
		return false;
	p->registered = p->registered && same && known->state != EP_HAS_LEFT;
	p->left_unsure = false;
	set_known(p, known);
	return true;
}

struct ep_lifetime ep_presence_told(const struct ep_presence *p)
{
	struct ep_lifetime told = p->known;

	if (told.state == EP_HAS_LEFT && p->left_unsure)
		told.state = EP_SERVES;
	return told;
}

static bool may_return(const struct ep_presence *p, ba_time now)
{
	return p->known.state == EP_HAS_LEFT && p->left_unsure &&
	       now >= p->left_at + EP_LATE_TIME;
}

static void set_known(struct ep_presence *p, const struct ep_lifetime *l)
{
	struct ep_lifetime next = *l;

	if (l->backend != p->id)
		g_strlcpy(p->id, l->backend, sizeof(p->id));
	next.backend = p->id;
	p->known = next;
}

static bool is_same(const struct ep_lifetime *a, const struct ep_lifetime *b)
{
	return a->start_wall_ms == b->start_wall_ms &&
	       !strcmp(a->backend, b->backend);
}

/* Whether the deregistration is a late or repeated one of an earlier start. */
static bool names_another_start(const struct ep_presence *p,
				const struct ep_departure *d)
{
	if (p->registered && strcmp(p->id, d->backend) != 0)
		return true;
	return d->start_wall_ms && d->start_wall_ms < p->known.start_wall_ms;
}
