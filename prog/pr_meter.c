#include <string.h>

#include <glib.h>

#include "base/ba_result.h"
#include "prog/pr_meter.h"
#include "report/rt.h"

enum { MAX_LINK_LABEL_BYTES = 128, MAX_CENTRES = 64 };

/*
 * @silent_centres: data centres where a peer fell silent and with which no
 *	session has been opened since
 */
struct meter {
	struct wi_meter meter;
	const char *data_centre;
	const char *region;
	GHashTable *silent_centres;
};

static void on_opened(struct wi_meter *m, const struct wi_peer *peer);
static void on_transferred(struct wi_meter *m, const struct wi_peer *peer,
			   uint64_t sent, uint64_t received);
static void on_closed(struct wi_meter *m, const struct wi_peer *peer, int code);

struct wi_meter *pr_meter_init(const char *data_centre, const char *region)
{
	static struct meter meter = {
		.meter = {on_opened, on_transferred, on_closed},
	};

	meter.data_centre = data_centre;
	meter.region = region;
	if (!meter.silent_centres)
		meter.silent_centres = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
	return &meter.meter;
}

static void on_opened(struct wi_meter *m, const struct wi_peer *peer)
{
	struct meter *meter = (struct meter *)m;

	if (!g_hash_table_remove(meter->silent_centres, peer->data_centre))
		return;
	rt_count(RT_SESSIONS_REOPENED, 1);
	if (strcmp(peer->data_centre, meter->data_centre) != 0)
		rt_count(RT_PARTITIONS_HEALED, 1);
}

/* Only the sender counts cross-region bytes, so that none counts twice. */
static void on_transferred(struct wi_meter *m, const struct wi_peer *peer,
			   uint64_t sent, uint64_t received)
{
	const struct meter *meter = (const struct meter *)m;
	char label[MAX_LINK_LABEL_BYTES];

	rt_count(RT_CONTROL_BYTES_SENT, sent);
	rt_count(RT_CONTROL_BYTES_RECEIVED, received);
	if (!sent || !strcmp(peer->region, meter->region) || !*peer->region)
		return;
	g_snprintf(label, sizeof(label), "%s>%s", meter->region, peer->region);
	rt_count_label(RT_CROSS_REGION_BYTES, label, sent);
}

/*
 * Counts only sessions whose peer fell silent: those of a process that dies are
 * closed, but a silent peer may be partitioned, together with its whole data
 * centre.
 */
static void on_closed(struct wi_meter *m, const struct wi_peer *peer, int code)
{
	struct meter *meter = (struct meter *)m;

	if (code != WI_PEER_SILENT)
		return;
	rt_count(RT_SESSIONS_LOST, 1);
	if (g_hash_table_size(meter->silent_centres) >= MAX_CENTRES ||
	    !g_hash_table_add(meter->silent_centres,
			      g_strdup(peer->data_centre)))
		return;
	if (strcmp(peer->data_centre, meter->data_centre) != 0)
		rt_count(RT_PARTITIONS, 1);
}
