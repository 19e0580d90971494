#include <string.h>

#include "base/ba_result.h"
#include "replica/rp_machine_internal.h"
#include "wire/rp.pb-c.h"

static void encode_outcomes(const struct rp_machine *m, RpState *state);
static void encode_versions(const struct rp_machine *m, RpState *state);
static void encode_members(const struct rp_machine *m, struct ba_buf *packed,
			   RpState *state);
static void encode_kept(const struct rp_machine *m, RpState *state);
static void free_encoded(RpState *state);
static int decode_state(struct rp_machine *m, const RpState *state);
static int decode_outcomes(struct rp_machine *m, const RpState *state);
static void add_departure(const struct ep_departure_entry *d, void *arg);
static void decode_version(struct rp_machine *m, const RpVersion *from);
static void pack(const ProtobufCMessage *m, struct ba_buf *out);

void rp_machine_encode(const struct rp_machine *m, struct ba_buf *out)
{
	RpState state = RP_STATE__INIT;
	struct ba_buf configuration = {0};
	struct ba_buf days = {0};
	struct ba_buf members = {0};
	struct ba_buf departures = {0};

	cf_snapshot_encode(m->current, CF_FORM_KEYS, &configuration);
	rt_days_encode(m->days, &days);
	state.configuration.data = configuration.data;
	state.configuration.len = configuration.len;
	state.days.data = days.data;
	state.days.len = days.len;
	ep_departures_pack(m->departures, &departures);
	state.departures.data = departures.data;
	state.departures.len = departures.len;
	state.in_force = m->in_force_version;
	if (m->base != m->current)
		state.base_version = m->base->version;
	encode_outcomes(m, &state);
	encode_versions(m, &state);
	encode_members(m, &members, &state);
	encode_kept(m, &state);
	pack(&state.base, out);
	free_encoded(&state);
	ba_buf_free(&configuration);
	ba_buf_free(&days);
	ba_buf_free(&members);
	ba_buf_free(&departures);
}

int rp_machine_decode(const void *data, size_t len, uint64_t index,
		      struct rp_machine **out)
{
	RpState *state = rp_state__unpack(NULL, len, data);
	struct rp_machine *m;
	int ret;

	if (!state)
		return CF_ENCODING_WRONG;
	m = rp_machine_new();
	m->applied = index;
	ret = decode_state(m, state);
	rp_state__free_unpacked(state, NULL);
	if (ret)
		rp_machine_free(m);
	else
		*out = m;
	return ret;
}

static void encode_outcomes(const struct rp_machine *m, RpState *state)
{
	state->outcomes = g_new0(RpOutcome *, m->outcome_queue.length + 1);
	for (GList *l = m->outcome_queue.head; l; l = l->next) {
		const struct rp_outcome *o = l->data;
		RpOutcome *to = g_new(RpOutcome, 1);

		rp_outcome__init(to);
		to->submission_id = o->id;
		to->outcome.data = o->packed.data;
		to->outcome.len = o->packed.len;
		state->outcomes[state->n_outcomes++] = to;
	}
}

static void encode_versions(const struct rp_machine *m, RpState *state)
{
	state->versions = g_new0(RpVersion *, m->versions.length + 1);
	for (GList *l = m->versions.head; l; l = l->next) {
		const struct rp_version *v = l->data;
		RpVersion *to = g_new(RpVersion, 1);

		rp_version__init(to);
		to->version = v->version;
		to->operator_ = v->operator_name;
		to->submission_id = v->submission_id;
		to->kind = (CtKind)v->kind;
		to->file_name = v->file_name;
		to->digest = (char *)v->digest;
		to->accepted_us = (uint64_t)v->accepted_at;
		to->in_force_us = (uint64_t)v->in_force_at;
		to->daemons = v->daemons;
		state->versions[state->n_versions++] = to;
	}
}

static void encode_members(const struct rp_machine *m, struct ba_buf *packed,
			   RpState *state)
{
	rp_members_encode(&m->members, packed);
	state->members = rp_members__unpack(NULL, packed->len, packed->data);
}

static void encode_kept(const struct rp_machine *m, RpState *state)
{
	GHashTableIter it;
	gpointer service;
	gpointer value;

	state->rollout_tallies =
		g_new0(RpRolloutTallies *, g_hash_table_size(m->kept) + 1);
	g_hash_table_iter_init(&it, m->kept);
	while (g_hash_table_iter_next(&it, &service, &value)) {
		const struct rp_kept *k = value;
		RpRolloutTallies *to = g_new(RpRolloutTallies, 1);

		rp_rollout_tallies__init(to);
		to->service = service;
		to->order = k->order;
		to->kept.data = k->tallies.data;
		to->kept.len = k->tallies.len;
		state->rollout_tallies[state->n_rollout_tallies++] = to;
	}
}

static void free_encoded(RpState *state)
{
	for (size_t i = 0; i < state->n_rollout_tallies; i++)
		g_free(state->rollout_tallies[i]);
	g_free(state->rollout_tallies);
	for (size_t i = 0; i < state->n_outcomes; i++)
		g_free(state->outcomes[i]);
	for (size_t i = 0; i < state->n_versions; i++)
		g_free(state->versions[i]);
	g_free(state->outcomes);
	g_free(state->versions);
	if (state->members)
		rp_members__free_unpacked(state->members, NULL);
}

static int decode_state(struct rp_machine *m, const RpState *state)
{
	struct cf_snapshot *s = NULL;
	struct ba_buf members = {0};
	int ret = cf_snapshot_decode(state->configuration.data,
				     state->configuration.len, &s);

	if (ret)
		return ret;
	cf_snapshot_unref(m->current);
	cf_snapshot_unref(m->base);
	m->current = s;
	m->base = s->n_rollouts ? cf_snapshot_set_rollouts(s, NULL, 0,
							   state->base_version)
				: cf_snapshot_ref(s);
	m->in_force_version = state->in_force;
	for (size_t i = 0; i < state->n_versions; i++)
		decode_version(m, state->versions[i]);
	for (size_t i = 0; i < state->n_rollout_tallies; i++) {
		const RpRolloutTallies *k = state->rollout_tallies[i];

		rp_rollout_keep(m, k->service, k->order, k->kept.data,
				k->kept.len);
	}
	if (state->members) {
		pack(&state->members->base, &members);
		if (!rp_members_decode(&m->members, members.data, members.len))
			ret = CF_ENCODING_WRONG;
		ba_buf_free(&members);
	}
	if (!ret)
		ret = decode_outcomes(m, state);
	if (ep_departures_read(state->departures.data, state->departures.len,
			       add_departure, m->departures) < 0)
		ret = CF_ENCODING_WRONG;
	if (!ret)
		ret = rt_days_decode(m->days, state->days.data,
				     state->days.len);
	return ret;
}

static int decode_outcomes(struct rp_machine *m, const RpState *state)
{
	for (size_t i = 0; i < state->n_outcomes; i++) {
		const RpOutcome *o = state->outcomes[i];

		if (g_hash_table_contains(m->outcomes, o->submission_id))
			return CF_ENCODING_WRONG;
		rp_machine_record_outcome(m, o->submission_id, o->outcome.data,
					  o->outcome.len);
	}
	return BA_OK;
}

static void add_departure(const struct ep_departure_entry *d, void *arg)
{
	ep_departures_add(arg, d);
}

static void decode_version(struct rp_machine *m, const RpVersion *from)
{
	struct rp_version *v = g_new0(struct rp_version, 1);

	v->version = from->version;
	v->operator_name = g_strdup(from->operator_);
	v->submission_id = g_strdup(from->submission_id);
	v->kind = (int)from->kind;
	v->file_name = g_strdup(from->file_name);
	g_strlcpy(v->digest, from->digest, sizeof(v->digest));
	v->accepted_at = (ba_time)from->accepted_us;
	v->in_force_at = (ba_time)from->in_force_us;
	v->daemons = from->daemons;
	rp_machine_add_version(m, v);
}

static void pack(const ProtobufCMessage *m, struct ba_buf *out)
{
	size_t len = protobuf_c_message_get_packed_size(m);

	ba_buf_reserve(out, len);
	out->len += protobuf_c_message_pack(m, out->data + out->len);
}
