#include <stdio.h>

#include <glib.h>

#include "base/ba_result.h"
#include "ctl/ct.h"

#define MAX_SILENCE_MS 15000

enum { TIME_TEXT_BYTES = 40 };

static json_int_t get_integer(json_t *o, const char *key);
static const char *get_string(json_t *o, const char *key);
static void print_version(json_t *v);
static void print_replicas(json_t *status);
static void print_relays(json_t *status);
static void print_silence(json_t *status, json_t *peer);
static void print_behind(json_t *behind);

int ct_history(struct ct *ct)
{
	json_t *history;
	size_t i;
	json_t *v;
	int code = ct_query_json(ct, "history", ct->n_args ? ct->args[0] : NULL,
				 &history);

	if (code)
		return ct_fail(ct, code, "carawayctl history");
	if (ct->json) {
		ct_json_print(history);
		return BA_OK;
	}
	printf("%8s  %-23s  %-23s %8s  %-13s  %-12s %s\n", "version",
	       "accepted (UTC)", "in force everywhere", "after ms", "kind",
	       "operator", "file");
	json_array_foreach (json_object_get(history, "versions"), i, v)
		print_version(v);
	json_decref(history);
	return BA_OK;
}

int ct_status(struct ct *ct)
{
	json_t *s;
	char now[TIME_TEXT_BYTES];
	int code = ct_query_json(ct, "status", NULL, &s);

	if (code)
		return ct_fail(ct, code, "carawayctl status");
	if (ct->json) {
		ct_json_print(s);
		return BA_OK;
	}
	printf("as seen by %s at %s UTC\n", get_string(s, "instance"),
	       ct_time_format(get_integer(s, "now_ms"), now, sizeof(now)));
	printf("leader     %s %s, term %lld%s\n", get_string(s, "leader"),
	       get_string(s, "leader_address"),
	       (long long)get_integer(s, "term"),
	       json_is_false(json_object_get(s, "quorum"))
		       ? ", NO QUORUM: nothing is accepted"
		       : "");
	printf("version    %lld accepted, %lld in force everywhere\n",
	       (long long)get_integer(s, "version"),
	       (long long)get_integer(s, "in_force"));
	print_replicas(s);
	print_relays(s);
	json_decref(s);
	return BA_OK;
}

static json_int_t get_integer(json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

static const char *get_string(json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s && *s ? s : "-";
}

static void print_version(json_t *v)
{
	json_int_t accepted = get_integer(v, "accepted_ms");
	json_int_t in_force = get_integer(v, "in_force_ms");
	char accepted_text[TIME_TEXT_BYTES];
	char in_force_text[TIME_TEXT_BYTES];
	char after[24] = "-";

	if (in_force)
		g_snprintf(after, sizeof(after), "%lld",
			   (long long)(in_force - accepted));
	printf("%8lld  %-23s  %-23s %8s  %-13s  %-12s %s\n",
	       (long long)get_integer(v, "version"),
	       ct_time_format(accepted, accepted_text, sizeof(accepted_text)),
	       in_force ? ct_time_format(in_force, in_force_text,
					 sizeof(in_force_text))
			: "not yet",
	       after, get_string(v, "kind"), get_string(v, "operator"),
	       get_string(v, "file_name"));
}

static void print_replicas(json_t *status)
{
	json_int_t commit = get_integer(status, "commit");
	json_t *list = json_object_get(status, "replicas");
	size_t i;
	json_t *r;

	json_array_foreach (list, i, r) {
		json_int_t match = get_integer(r, "match");

		printf("replica    %-10s %-22s %s", get_string(r, "name"),
		       get_string(r, "address"),
		       json_is_false(json_object_get(r, "voting"))
			       ? "not voting"
			       : "voting");
		if (json_object_get(r, "match") && match < commit)
			printf(", %lld entries behind",
			       (long long)(commit - match));
		print_silence(status, r);
		putchar('\n');
	}
}

static void print_relays(json_t *status)
{
	json_int_t version = get_integer(status, "version");
	json_t *list = json_object_get(status, "subscribers");
	size_t i;
	json_t *r;

	json_array_foreach (list, i, r) {
		json_int_t held = get_integer(r, "version");

		printf("relay      %-10s %s/%s, %lld daemons, version %lld",
		       get_string(r, "instance"), get_string(r, "region"),
		       get_string(r, "data_centre"),
		       (long long)get_integer(r, "daemons"), (long long)held);
		if (held < version)
			printf(", %lld versions BEHIND",
			       (long long)(version - held));
		print_silence(status, r);
		print_behind(json_object_get(r, "behind"));
		putchar('\n');
	}
}

static void print_silence(json_t *status, json_t *peer)
{
	json_int_t heard = get_integer(peer, "heard_ms");
	json_int_t age = get_integer(status, "now_ms") - heard;

	if (!json_object_get(peer, "heard_ms"))
		return;
	if (!heard)
		printf(", CUT OFF: never heard");
	else if (age > MAX_SILENCE_MS)
		printf(", CUT OFF for %lld s", (long long)(age / 1000));
}

static void print_behind(json_t *behind)
{
	size_t i;
	json_t *name;

	if (!json_array_size(behind))
		return;
	printf("; behind:");
	json_array_foreach (behind, i, name)
		printf(" %s", json_string_value(name));
}
