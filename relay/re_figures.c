#include <string.h>

#include "base/ba_clock.h"
#include "base/ba_result.h"
#include "relay/re.h"
#include "report/rt.h"
#include "wire/rt.pb-c.h"

static void queue_figures(struct re_relay *r, RtFigures *m, const char *from);
static void queue_own_figures(struct re_relay *r);
static void schedule_batch(struct re_relay *r);

int re_figures_handle(struct re_conn *c, const struct wi_frame *f)
{
	RtFigures *m = (RtFigures *)wi_frame_unpack(f, &rt_figures__descriptor);
	const char *instance = wi_session_peer(c->session)->instance;

	if (!m)
		return WI_FRAME_GARBAGE;
	if (strcmp(m->instance, instance) != 0) {
		rt_figures__free_unpacked(m, NULL);
		return WI_FRAME_GARBAGE;
	}
	queue_figures(c->relay, m, instance);
	return BA_OK;
}

int re_figures_handle_batch(struct re_conn *c, const struct wi_frame *f)
{
	RtBatch *m = (RtBatch *)wi_frame_unpack(f, &rt_batch__descriptor);

	if (!m)
		return WI_FRAME_GARBAGE;
	re_session_index(c);
	for (size_t i = 0; i < m->n_figures; i++)
		queue_figures(c->relay, m->figures[i],
			      wi_session_peer(c->session)->instance);
	m->n_figures = 0;
	rt_batch__free_unpacked(m, NULL);
	return BA_OK;
}

int re_figures_handle_ack(struct re_relay *r, const struct wi_frame *f)
{
	RtAck *m = (RtAck *)wi_frame_unpack(f, &rt_ack__descriptor);
	const char *from;
	struct re_conn *c;

	if (!m)
		return WI_FRAME_GARBAGE;
	from = g_hash_table_lookup(r->origins, m->instance);
	c = from ? re_session_find(r, from) : NULL;
	if (!strcmp(m->instance, r->identity->instance))
		rt_figures_ack(r->own_figures, m->incarnation, m->sequence);
	else if (c)
		wi_send(c->session, RT_ACK, &m->base);
	g_hash_table_remove(r->origins, m->instance);
	rt_ack__free_unpacked(m, NULL);
	return BA_OK;
}

/* Figures that are lost are sent again by the process that counted them. */
void re_figures_on_timer(struct ba_timer *t, ba_time now)
{
	struct re_relay *r = ba_entry(t, struct re_relay, figures_timer);
	struct wi_session *s = ds_link_session(r->upstream);
	RtBatch m = RT_BATCH__INIT;

	if (now >= r->own_figures_deadline) {
		r->own_figures_deadline = now + RT_FIGURES_INTERVAL;
		queue_own_figures(r);
	}
	if (!s || !r->figures->len)
		return;
	m.relay = (char *)r->identity->instance;
	m.figures = (RtFigures **)r->figures->pdata;
	m.n_figures = r->figures->len;
	wi_send(s, RT_BATCH, &m.base);
	g_ptr_array_set_size(r->figures, 0);
}

void re_figures_free(void *m)
{
	rt_figures__free_unpacked(m, NULL);
}

static void queue_figures(struct re_relay *r, RtFigures *m, const char *from)
{
	if (r->figures->len >= RE_FIGURES_LIMIT) {
		rt_figures__free_unpacked(m, NULL);
		return;
	}
	g_hash_table_replace(r->origins, g_strdup(m->instance), g_strdup(from));
	g_ptr_array_add(r->figures, m);
	schedule_batch(r);
}

static void queue_own_figures(struct re_relay *r)
{
	struct ba_buf out = {0};
	RtFigures *m;

	rt_figures_pack(r->own_figures, ba_clock_wall(), false, &out);
	m = rt_figures__unpack(NULL, out.len, out.data);
	ba_buf_free(&out);
	if (m)
		queue_figures(r, m, r->identity->instance);
}

static void schedule_batch(struct re_relay *r)
{
	if (!r->figures_timer.slot)
		ba_loop_arm(r->loop, &r->figures_timer,
			    ba_loop_now(r->loop) + RE_FIGURES_DELAY);
}
