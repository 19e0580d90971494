#include <string.h>

#include <glib.h>

#include "distrib/ds_version_counts.h"

static size_t lower_bound(const struct ds_version_counts *t, uint64_t version);

void ds_version_counts_add(struct ds_version_counts *t, uint64_t version,
			   uint32_t daemons)
{
	size_t i = lower_bound(t, version);

	if (!daemons)
		return;
	if (i < t->n && t->list[i].version == version) {
		t->list[i].daemons += daemons;
		return;
	}
	if (t->n == t->alloc) {
		t->alloc = t->alloc ? t->alloc * 2 : 8;
		t->list = g_renew(struct ds_count, t->list, t->alloc);
	}
	memmove(t->list + i + 1, t->list + i, (t->n - i) * sizeof(t->list[0]));
	t->list[i].version = version;
	t->list[i].daemons = daemons;
	t->n++;
}

void ds_version_counts_subtract(struct ds_version_counts *t, uint64_t version,
				uint32_t daemons)
{
	size_t i = lower_bound(t, version);

	if (i == t->n || t->list[i].version != version)
		return;
	t->list[i].daemons -= MIN(daemons, t->list[i].daemons);
	if (t->list[i].daemons)
		return;
	t->n--;
	memmove(t->list + i, t->list + i + 1, (t->n - i) * sizeof(t->list[0]));
}

size_t ds_version_counts_summary(const struct ds_version_counts *t,
				 struct ds_count out[DS_COUNTS_LIMIT])
{
	size_t extra = t->n > DS_COUNTS_LIMIT ? t->n - DS_COUNTS_LIMIT : 0;
	size_t n = 0;

	for (size_t i = 0; i < t->n; i++) {
		if (i && i <= extra)
			out[0].daemons += t->list[i].daemons;
		else
			out[n++] = t->list[i];
	}
	return n;
}

void ds_version_counts_free(struct ds_version_counts *t)
{
	g_free(t->list);
	memset(t, 0, sizeof(*t));
}

static size_t lower_bound(const struct ds_version_counts *t, uint64_t version)
{
	size_t low = 0;
	size_t high = t->n;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (t->list[mid].version < version)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}
