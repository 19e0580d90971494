#include <string.h>

#include <glib.h>

#include "endpoint/ep.h"

#define START_AHEAD_LIMIT BA_HOUR

bool ep_lifetime_is_past(const struct ep_lifetime *known,
			 const struct ep_lifetime *next)
{
	if (!*known->backend)
		return false;
	if (next->start_wall_ms != known->start_wall_ms)
		return next->start_wall_ms < known->start_wall_ms;
	if (strcmp(known->backend, next->backend) != 0)
		return false;
	return known->state == EP_HAS_LEFT || next->sequence <= known->sequence;
}

bool ep_lifetime_covers(const struct ep_lifetime *known,
			const struct ep_lifetime *l)
{
	if (known->start_wall_ms != l->start_wall_ms)
		return known->start_wall_ms > l->start_wall_ms;
	return !strcmp(known->backend, l->backend) && known->state >= l->state;
}

bool ep_start_is_plausible(int64_t start_wall_ms, int64_t now_wall_ms)
{
	return start_wall_ms <= now_wall_ms + START_AHEAD_LIMIT / BA_MS;
}

struct ep_lifetime ep_record_lifetime(const struct ep_record *r)
{
	return (struct ep_lifetime){
		.backend = r->backend ? r->backend : "",
		.start_wall_ms = r->backend_start_wall_ms,
		.sequence = r->backend_sequence,
		.state = r->backend_state,
	};
}

/* Within one incarnation the writer itself has compared the heartbeats. */
void ep_record_keep_lifetime(struct ep_record *r, const struct ep_record *known)
{
	struct ep_lifetime next = ep_record_lifetime(r);
	struct ep_lifetime before;
	bool same;

	if (!known || known->incarnation > r->incarnation)
		return;
	before = ep_record_lifetime(known);
	if (!*before.backend ||
	    (!before.start_wall_ms && before.state == EP_SERVES))
		return;
	if (*next.backend && (known->incarnation == r->incarnation ||
			      !ep_lifetime_is_past(&before, &next)))
		return;
	same = *next.backend && next.start_wall_ms == before.start_wall_ms;
	if (same)
		before.state = MAX(before.state, next.state);
	r->left = r->left || !same || before.state == EP_HAS_LEFT;
	r->draining = r->draining || before.state == EP_DRAINS;
	r->backend = known->backend;
	r->backend_start_wall_ms = before.start_wall_ms;
	r->backend_sequence = before.sequence;
	r->backend_state = before.state;
}
