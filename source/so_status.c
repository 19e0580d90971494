#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "source/so.h"

static json_t *replicas_json(struct so_source *s, ba_time now, ba_time wall);
static json_t *subscribers_json(struct so_source *s, ba_time now, ba_time wall);
static json_t *version_json(const struct rp_version *v);
static void set_heard(json_t *o, ba_time heard_at, ba_time now, ba_time wall);
static void dump(json_t *o, struct ba_buf *out);

void so_status_json(struct so_source *s, struct ba_buf *out)
{
	const struct rp_core *core = rp_node_core(s->node);
	const struct rp_machine *m = rp_node_machine(s->node);
	ba_time now = ba_loop_now(s->loop);
	ba_time wall = ba_clock_wall();
	int leader = rp_core_leader(core);
	json_t *o = json_pack(
		"{ss sI sI sb sI sI sI}", "instance", s->identity->instance,
		"now_ms", (json_int_t)(wall / BA_MS), "term",
		(json_int_t)rp_core_term(core), "quorum",
		rp_core_leader(core) != RP_NO_PEER &&
			(rp_core_role(core) != RP_LEADER ||
			 !rp_core_proposal_error(core, now)),
		"version", (json_int_t)rp_machine_current(m)->version,
		"in_force", (json_int_t)rp_machine_in_force_version(m),
		"commit", (json_int_t)rp_core_commit(core));

	if (leader != RP_NO_PEER) {
		json_object_set_new(o, "leader", json_string(s->names[leader]));
		json_object_set_new(o, "leader_address",
				    json_string(s->addresses[leader]));
	}
	json_object_set_new(o, "replicas", replicas_json(s, now, wall));
	json_object_set_new(o, "subscribers", subscribers_json(s, now, wall));
	dump(o, out);
}

void so_history_json(struct so_source *s, size_t limit, struct ba_buf *out)
{
	const struct rp_machine *m = rp_node_machine(s->node);
	json_t *list = json_array();

	for (size_t i = 0; i < limit; i++) {
		const struct rp_version *v = rp_machine_version(m, i);

		if (!v)
			break;
		json_array_append_new(list, version_json(v));
	}
	dump(json_pack("{so}", "versions", list), out);
}

void so_current_json(struct so_source *s, struct ba_buf *out)
{
	const struct cf_snapshot *c =
		rp_machine_current(rp_node_machine(s->node));
	char digest[17];

	ba_digest_hex(&c->digest, digest);
	dump(json_pack("{sI ss}", "version", (json_int_t)c->version, "digest",
		       digest),
	     out);
}

static json_t *replicas_json(struct so_source *s, ba_time now, ba_time wall)
{
	const struct rp_core *core = rp_node_core(s->node);
	bool leads = rp_core_role(core) == RP_LEADER;
	json_t *list = json_array();

	for (int i = 0; i < s->n_peers; i++) {
		struct rp_peer_state p = rp_core_peer(core, (int)i);
		json_t *o = json_pack("{ss ss sb sb}", "name", p.name,
				      "address", p.address, "member", p.member,
				      "voting", p.voting);

		if (leads || (int)i == s->self)
			json_object_set_new(o, "match",
					    json_integer((json_int_t)p.match));
		set_heard(o, (int)i == s->self ? now : p.heard_at, now, wall);
		json_array_append_new(list, o);
	}
	return list;
}

static json_t *subscribers_json(struct so_source *s, ba_time now, ba_time wall)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->subscribers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct so_subscriber *r = value;
		json_t *behind = json_array();
		json_t *o =
			json_pack("{ss ss ss sI sI}", "instance", r->instance,
				  "data_centre", r->data_centre, "region",
				  r->region, "version", (json_int_t)r->version,
				  "daemons", (json_int_t)r->daemons);

		for (char **name = r->behind; name && *name; name++)
			json_array_append_new(behind, json_string(*name));
		json_object_set_new(o, "behind", behind);
		set_heard(o, r->heard_at, now, wall);
		json_array_append_new(list, o);
	}
	return list;
}

static json_t *version_json(const struct rp_version *v)
{
	json_t *o = json_pack(
		"{sI ss ss ss ss ss sI}", "version", (json_int_t)v->version,
		"kind",
		v->kind == CT_KIND__CT_KIND_POLICY    ? "policy"
		: v->kind == CT_KIND__CT_KIND_ROLLOUT ? "roll-out"
						      : "configuration",
		"operator", v->operator_name, "file_name", v->file_name,
		"submission_id", v->submission_id, "digest", v->digest,
		"accepted_ms", (json_int_t)(v->accepted_at / BA_MS));

	if (v->in_force_at) {
		json_object_set_new(
			o, "in_force_ms",
			json_integer((json_int_t)(v->in_force_at / BA_MS)));
		json_object_set_new(o, "daemons",
				    json_integer((json_int_t)v->daemons));
	}
	return o;
}

static void set_heard(json_t *o, ba_time heard_at, ba_time now, ba_time wall)
{
	json_int_t ms = heard_at ? (wall - (now - heard_at)) / BA_MS : 0;

	json_object_set_new(o, "heard_ms", json_integer(ms));
}

static void dump(json_t *o, struct ba_buf *out)
{
	char *text = json_dumps(o, JSON_COMPACT);

	if (text)
		ba_buf_add(out, text, strlen(text));
	free(text);
	json_decref(o);
}
