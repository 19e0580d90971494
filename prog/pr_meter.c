#include <string.h>

#include <glib.h>

#include "base/ba_result.h"
#include "prog/pr_meter.h"
#include "report/rt.h"

enum { LINK_LABEL_BYTES = 128, CENTRES_LIMIT = 64 };

/*
 * @silent: data centres whose sessions fell silent and that were not
 *	reached again since
 */
struct meter {
	struct wi_meter meter;
	const char *data_centre;
	const char *region;
	GHashTable *silent;
};

static void on_opened(struct wi_meter *m, const struct wi_peer *peer);
static void on_carried(struct wi_meter *m, const struct wi_peer *peer,
		       uint64_t sent, uint64_t received);
static void on_closed(struct wi_meter *m, const struct wi_peer *peer, int code);

struct wi_meter *pr_meter(const char *data_centre, const char *region)
{
	static struct meter one = {
		.meter = {on_opened, on_carried, on_closed},
	};

	one.data_centre = data_centre;
	one.region = region;
	if (!one.silent)
		one.silent = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, NULL);
	return &one.meter;
}

static void on_opened(struct wi_meter *m, const struct wi_peer *peer)
{
	struct meter *one = (struct meter *)m;

	if (!g_hash_table_remove(one->silent, peer->data_centre))
		return;
	rt_count(RT_SESSIONS_REOPENED, 1);
	if (strcmp(peer->data_centre, one->data_centre) != 0)
		rt_count(RT_PARTITIONS_HEALED, 1);
}

/* Each end counts what it sends, so that no byte is counted twice. */
static void on_carried(struct wi_meter *m, const struct wi_peer *peer,
		       uint64_t sent, uint64_t received)
{
	const struct meter *one = (const struct meter *)m;
	char label[LINK_LABEL_BYTES];

	rt_count(RT_CONTROL_BYTES_SENT, sent);
	rt_count(RT_CONTROL_BYTES_RECEIVED, received);
	if (!sent || !strcmp(peer->region, one->region) || !*peer->region)
		return;
	g_snprintf(label, sizeof(label), "%s>%s", one->region, peer->region);
	rt_count_label(RT_CROSS_REGION_BYTES, label, sent);
}

/*
 * A process that dies closes its sessions; one that falls silent may be cut
 * off, and with it all of its data centre.
 */
static void on_closed(struct wi_meter *m, const struct wi_peer *peer, int code)
{
	struct meter *one = (struct meter *)m;

	if (code != WI_PEER_SILENT)
		return;
	rt_count(RT_SESSIONS_LOST, 1);
	if (g_hash_table_size(one->silent) >= CENTRES_LIMIT ||
	    !g_hash_table_add(one->silent, g_strdup(peer->data_centre)))
		return;
	if (strcmp(peer->data_centre, one->data_centre) != 0)
		rt_count(RT_PARTITIONS, 1);
}
