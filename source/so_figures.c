#include "base/ba_result.h"
#include "source/so.h"
#include "wire/rp.pb-c.h"

enum { BATCH_LIMIT_BYTES = 8 * 1024 * 1024 };

static void on_timer(struct ba_timer *t, ba_time now);
static void send_acks(struct so_source *s, const RtBatch *batch);

void so_figures_start(struct so_source *s)
{
	s->figures = rt_figures_new(s->identity->instance, "source",
				    s->identity->incarnation, ba_clock_wall());
	s->figures_timer.fire = on_timer;
	ba_loop_arm(s->loop, &s->figures_timer,
		    ba_loop_now(s->loop) + RT_FIGURES_INTERVAL);
}

void so_figures_stop(struct so_source *s)
{
	ba_loop_disarm(s->loop, &s->figures_timer);
	rt_figures_free(s->figures);
}

int so_figures_handle_batch(struct so_conn *c, const struct wi_frame *f)
{
	RtBatch *m = (RtBatch *)wi_frame_unpack(f, &rt_batch__descriptor);

	if (!m)
		return WI_FRAME_GARBAGE;
	rt_batch__free_unpacked(m, NULL);
	if (f->len > BATCH_LIMIT_BYTES)
		return WI_FRAME_TOO_LARGE;
	so_source_propose(c->source, RP_ENTRY_KIND__RP_ENTRY_FIGURES, f->data,
			  f->len);
	return BA_OK;
}

/* Every replica applies the entry; the one with the relay's session replies. */
void so_figures_ack_applied(struct so_source *s, const struct rp_entry *e)
{
	RtBatch *m = rt_batch__unpack(NULL, e->len, e->body);

	if (!m)
		return;
	send_acks(s, m);
	rt_batch__free_unpacked(m, NULL);
}

static void on_timer(struct ba_timer *t, ba_time now)
{
	struct so_source *s = ba_entry(t, struct so_source, figures_timer);
	RtBatch batch = RT_BATCH__INIT;
	struct ba_buf own = {0};
	struct ba_buf out = {0};
	RtFigures *figures;

	ba_loop_arm(s->loop, t, now + RT_FIGURES_INTERVAL);
	rt_figures_pack(s->figures, ba_clock_wall(), false, &own);
	figures = rt_figures__unpack(NULL, own.len, own.data);
	if (figures) {
		batch.relay = (char *)s->identity->instance;
		batch.figures = &figures;
		batch.n_figures = 1;
		ba_buf_reserve(&out, rt_batch__get_packed_size(&batch));
		out.len = rt_batch__pack(&batch, out.data);
		so_source_propose(s, RP_ENTRY_KIND__RP_ENTRY_FIGURES, out.data,
				  out.len);
		rt_figures__free_unpacked(figures, NULL);
	}
	ba_buf_free(&own);
	ba_buf_free(&out);
}

static void send_acks(struct so_source *s, const RtBatch *batch)
{
	struct so_conn *c = so_session_find(s, batch->relay);
	bool is_relay = c && wi_session_peer(c->session)->role == WI_RELAY;

	for (size_t i = 0; i < batch->n_figures; i++) {
		const RtFigures *one = batch->figures[i];
		RtAck ack = RT_ACK__INIT;

		ack.instance = one->instance;
		ack.incarnation = one->incarnation;
		ack.sequence = one->sequence;
		if (!g_strcmp0(one->instance, s->identity->instance))
			rt_figures_ack(s->figures, one->incarnation,
				       one->sequence);
		else if (is_relay)
			wi_send(c->session, RT_ACK, &ack.base);
	}
}
