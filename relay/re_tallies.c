#include "base/ba_result.h"
#include "relay/re.h"

/* Time over which the tallies of all daemons are added up. */
#define FORWARD_DELAY (150 * BA_MS)
/* They wait this long for an upstream; later, the leader has others. */
#define KEEP_TIME (2 * BA_SECOND)

int re_tallies_handle(struct re_conn *c, const struct wi_frame *f)
{
	struct re_relay *r = c->relay;

	if (!r->tallies)
		r->tallies = rt_tallies_new();
	if (!rt_tallies_count(r->tallies))
		r->tallies_keep_until = ba_loop_now(r->loop) + KEEP_TIME;
	if (!r->tallies_timer.slot)
		ba_loop_arm(r->loop, &r->tallies_timer,
			    ba_loop_now(r->loop) + FORWARD_DELAY);
	return rt_tallies_add(r->tallies, f->data, f->len);
}

/*
 * Tallies are not resent: those that are lost only delay the decision, as a step
 * is taken on what was heard.
 */
void re_tallies_on_timer(struct ba_timer *t, ba_time now)
{
	struct re_relay *r = ba_entry(t, struct re_relay, tallies_timer);
	struct wi_session *s = ds_link_session(r->upstream);
	struct ba_buf packed = {0};

	if (!rt_tallies_count(r->tallies))
		return;
	if (!s && now < r->tallies_keep_until) {
		ba_loop_arm(r->loop, t, now + FORWARD_DELAY);
		return;
	}
	rt_tallies_pack(r->tallies, &packed);
	if (s)
		wi_send_packed(s, RT_TALLIES, packed.data, packed.len);
	ba_buf_free(&packed);
}
