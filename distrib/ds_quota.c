#include "distrib/ds_quota.h"
#include "wire/qt.pb-c.h"

void ds_quota_send_ask(struct wi_session *s, const struct cl_quota_message *m)
{
	uint64_t teams[CL_QUOTA_AMOUNTS];
	uint32_t tokens[CL_QUOTA_AMOUNTS];
	uint32_t returned[CL_QUOTA_AMOUNTS];
	QtAsk w = QT_ASK__INIT;

	w.number = m->number;
	w.stamp = (uint64_t)m->stamp;
	w.lends = m->lends;
	w.instances = m->instances;
	w.teams = teams;
	w.tokens = tokens;
	w.returned = returned;
	w.n_teams = m->n;
	w.n_tokens = m->n;
	for (size_t i = 0; i < m->n; i++) {
		teams[i] = m->amounts[i].team;
		tokens[i] = m->amounts[i].tokens;
		returned[i] = m->amounts[i].returned;
		if (returned[i])
			w.n_returned = i + 1;
	}
	wi_send(s, QT_ASK, &w.base);
}

void ds_quota_send_grant(struct wi_session *s, const struct cl_quota_message *m)
{
	uint32_t tokens[CL_QUOTA_AMOUNTS];
	QtGrant w = QT_GRANT__INIT;

	w.number = m->number;
	w.stamp = (uint64_t)m->stamp;
	w.instances = m->instances;
	w.tokens = tokens;
	w.n_tokens = m->n;
	for (size_t i = 0; i < m->n; i++)
		tokens[i] = m->amounts[i].tokens;
	wi_send(s, QT_GRANT, &w.base);
}

bool ds_quota_read_ask(const struct wi_frame *f, struct cl_quota_message *out)
{
	QtAsk *w = (QtAsk *)wi_frame_unpack(f, &qt_ask__descriptor);
	bool ok = w && w->n_teams <= CL_QUOTA_AMOUNTS &&
		  w->n_tokens == w->n_teams && w->n_returned <= w->n_teams;

	if (ok) {
		*out = (struct cl_quota_message){
			.number = w->number,
			.stamp = (ba_time)w->stamp,
			.lends = w->lends,
			.instances = w->instances,
			.n = w->n_teams,
		};
		for (size_t i = 0; i < w->n_teams; i++)
			out->amounts[i] = (struct cl_quota_amount){
				.team = w->teams[i],
				.tokens = w->tokens[i],
				.returned =
					i < w->n_returned ? w->returned[i] : 0,
			};
	}
	if (w)
		qt_ask__free_unpacked(w, NULL);
	return ok;
}

bool ds_quota_read_grant(const struct wi_frame *f, struct cl_quota_message *out)
{
	QtGrant *w = (QtGrant *)wi_frame_unpack(f, &qt_grant__descriptor);
	bool ok = w && w->n_tokens <= CL_QUOTA_AMOUNTS;

	if (ok) {
		*out = (struct cl_quota_message){
			.number = w->number,
			.stamp = (ba_time)w->stamp,
			.instances = w->instances,
			.n = w->n_tokens,
		};
		for (size_t i = 0; i < w->n_tokens; i++)
			out->amounts[i].tokens = w->tokens[i];
	}
	if (w)
		qt_grant__free_unpacked(w, NULL);
	return ok;
}
