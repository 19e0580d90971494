/*
 * Decides which relays a daemon uses, in which order, from the roster of
 * relays that it was sent.  Pure; ds_agent carries the decision out.
 *
 * Needed where the settings of all daemons name the same few relays: without a
 * roster these few would serve every daemon of every data centre, most of them
 * over the paid link.
 *
 * Rules:
 * - Relays of the daemon's data centre come first, then those of its region,
 *   then the addresses of the settings.
 * - Daemons rank the relays of one place differently, by a hash of both, so
 *   that they spread evenly and few move when a relay comes or goes.
 * - A daemon leaves an open session only for a relay that is new to it.  One
 *   that it has known for longer could not be reached before.
 */
#ifndef DS_ROSTER_H
#define DS_ROSTER_H

#include <stdbool.h>
#include <stddef.h>

#include "base/ba_unit.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { DS_ROSTER_LIMIT = 64 };

/** struct ds_place - where an instance is */
struct ds_place {
	const char *instance;
	const char *data_centre;
	const char *region;
};

/** struct ds_relay - a relay of the roster */
struct ds_relay {
	struct ba_address address;
	const char *data_centre;
	const char *region;
};

/**
 * struct ds_ranking - addresses in order of preference
 * @list: the addresses, without duplicates
 * @n_preferred: the first of them, that the daemon returns to from the others
 */
struct ds_ranking {
	struct ba_address list[2 * DS_ROSTER_LIMIT];
	size_t n;
	size_t n_preferred;
};

/**
 * ds_roster_rank() - rank the relays for the daemon at @self
 * @relays: the roster; entries past %DS_ROSTER_LIMIT are ignored
 * @seeds: addresses of the settings, ranked last in their order
 */
void ds_roster_rank(const struct ds_place *self, const struct ds_relay *relays,
		    size_t n_relays, const struct ba_address *seeds,
		    size_t n_seeds, struct ds_ranking *out);

/** ds_ranking_find() - index of @address, or the number of addresses */
size_t ds_ranking_find(const struct ds_ranking *r, const char *address);

/**
 * ds_roster_should_move() - whether to leave the open session to @current
 * @before: the ranking until now
 * @after: the new ranking
 */
bool ds_roster_should_move(const struct ds_ranking *before,
			   const struct ds_ranking *after, const char *current);

#ifdef __cplusplus
}
#endif
#endif
