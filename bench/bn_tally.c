#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "bench/bn_tally.h"

enum { KEY_BYTES = 128 };

struct entry {
	bool keyed;
	bool answered;
	bool not_run;
	bool may_have_run; /* after an attempt without a clear outcome */
	int runs;
};

struct bn_tally {
	GHashTable *entries;
	GArray *latencies;	     /* ba_time, of answered calls */
	uint64_t calls[BN_OUTCOMES]; /* ended, by outcome */
	uint64_t attempts;
	bool has_runs; /* a backend server's counts were added */
};

struct violations {
	uint64_t double_runs;	   /* keyed calls that ran more than once */
	uint64_t false_not_run;	   /* calls reported as not run that ran */
	uint64_t answered_not_run; /* answered calls that did not run */
};

static const char *const outcome_names[BN_OUTCOMES] = {
	[BN_ANSWERED] = "answered",
	[BN_NOT_RUN] = "not_run",
	[BN_MAY_HAVE_RUN] = "may_have_run",
	[BN_REFUSED] = "refused",
	[BN_LOST] = "lost",
	[BN_WRONG] = "wrong_or_short_answers",
};

static void find_violations(const struct bn_tally *t, struct violations *v);
static void write_latencies(struct bn_tally *t, struct ba_buf *out);
static ba_time quantile(const GArray *sorted, double q);
static int compare_times(const void *a, const void *b);

struct bn_tally *bn_tally_new(void)
{
	struct bn_tally *t = g_new0(struct bn_tally, 1);

	t->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t->latencies = g_array_new(FALSE, FALSE, sizeof(ba_time));
	return t;
}

void bn_tally_add_attempt(struct bn_tally *t, const char *key, bool keyed,
			  enum bn_outcome o)
{
	struct entry *e = g_hash_table_lookup(t->entries, key);

	if (!e) {
		e = g_new0(struct entry, 1);
		e->keyed = keyed;
		g_hash_table_insert(t->entries, g_strdup(key), e);
	}
	t->attempts++;
	e->answered |= o == BN_ANSWERED;
	e->not_run |= o == BN_NOT_RUN;
	e->may_have_run |=
		o == BN_MAY_HAVE_RUN || o == BN_LOST || o == BN_WRONG;
}

void bn_tally_add_call(struct bn_tally *t, enum bn_outcome o, ba_time latency)
{
	t->calls[o]++;
	if (o == BN_ANSWERED)
		g_array_append_val(t->latencies, latency);
}

void bn_tally_add_runs(struct bn_tally *t, const char *json)
{
	const char *at = strstr(json, "\"runs\":{");
	char key[KEY_BYTES];

	t->has_runs = true;
	at = at ? at + strlen("\"runs\":{") : "";
	while (*at == '"') {
		const char *end = strchr(at + 1, '"');
		struct entry *e;
		char *next;

		if (!end || end[1] != ':' || end - at > KEY_BYTES)
			break;
		g_strlcpy(key, at + 1, (size_t)(end - at));
		e = g_hash_table_lookup(t->entries, key);
		if (e)
			e->runs += (int)strtol(end + 2, &next, 10);
		at = end + 2 + strspn(end + 2, "0123456789");
		at += *at == ',';
	}
}

uint64_t bn_tally_calls(const struct bn_tally *t, enum bn_outcome o)
{
	return t->calls[o];
}

void bn_tally_write_json(struct bn_tally *t, ba_time elapsed,
			 struct ba_buf *out)
{
	struct violations v = {0};
	uint64_t calls = 0;

	for (int i = 0; i < BN_OUTCOMES; i++)
		calls += t->calls[i];
	ba_buf_addf(out,
		    "{\"calls\":%" PRIu64 ",\"attempts\":%" PRIu64
		    ",\"elapsed_ms\":%" PRId64,
		    calls, t->attempts, elapsed / BA_MS);
	for (int i = 0; i < BN_OUTCOMES; i++)
		ba_buf_addf(out, ",\"%s\":%" PRIu64, outcome_names[i],
			    t->calls[i]);
	write_latencies(t, out);
	if (t->has_runs) {
		find_violations(t, &v);
		ba_buf_addf(out,
			    ",\"double_runs\":%" PRIu64
			    ",\"false_not_run\":%" PRIu64
			    ",\"answered_not_run\":%" PRIu64,
			    v.double_runs, v.false_not_run, v.answered_not_run);
	}
	ba_buf_addf(out, "}\n");
}

void bn_tally_free(struct bn_tally *t)
{
	g_hash_table_destroy(t->entries);
	g_array_free(t->latencies, TRUE);
	g_free(t);
}

static void find_violations(const struct bn_tally *t, struct violations *v)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, t->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct entry *e = value;

		v->double_runs += e->keyed && e->runs > 1;
		v->false_not_run += e->not_run && !e->may_have_run &&
				    !e->answered && e->runs > 0;
		v->answered_not_run += e->answered && !e->runs;
	}
}

static void write_latencies(struct bn_tally *t, struct ba_buf *out)
{
	if (t->latencies->len)
		qsort(t->latencies->data, t->latencies->len, sizeof(ba_time),
		      compare_times);
	ba_buf_addf(out,
		    ",\"p50_us\":%" PRId64 ",\"p99_us\":%" PRId64
		    ",\"max_us\":%" PRId64,
		    quantile(t->latencies, 0.5), quantile(t->latencies, 0.99),
		    quantile(t->latencies, 1.0));
}

static ba_time quantile(const GArray *sorted, double q)
{
	unsigned int n = sorted->len;
	unsigned int at = (unsigned int)(q * n);

	if (!n)
		return 0;
	return g_array_index(sorted, ba_time, at < n ? at : n - 1);
}

static int compare_times(const void *a, const void *b)
{
	ba_time x = *(const ba_time *)a;
	ba_time y = *(const ba_time *)b;

	return (x > y) - (x < y);
}
