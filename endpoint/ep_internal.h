/*
 * Inside of the table of endpoint records.
 */
#ifndef EP_INTERNAL_H
#define EP_INTERNAL_H

#include <glib.h>

#include "base/ba_list.h"
#include "endpoint/ep_table.h"

/**
 * struct ep_centre - what is counted for one data centre
 * @n_waiting: live records that are not held
 * @hold_deadline: expiry is held back until then, %BA_NEVER when it is not
 */
struct ep_centre {
	char *name;
	struct ba_list entries;
	size_t n_live;
	size_t n_waiting;
	ba_time hold_deadline;
	uint64_t buckets[EP_BUCKETS];
};

/** struct ep_service - the records of one service */
struct ep_service {
	char *name;
	struct ba_list entries;
	size_t n_live;
	uint64_t generation;
};

/**
 * struct ep_entry - one record in the table
 * @by_change: in the table's list, in order of @generation
 * @by_state: in the list of those waiting for expiry or of tombstones
 * @full: the last full update that named it
 */
struct ep_entry {
	struct ep_record record;
	struct ep_centre *centre;
	struct ep_service *service;
	struct ba_list by_change;
	struct ba_list by_service;
	struct ba_list by_centre;
	struct ba_list by_state;
	uint64_t generation;
	uint64_t holder;
	uint64_t full;
	unsigned int bucket;
};

struct ep_table {
	size_t limit;
	GHashTable *entries;
	GHashTable *centres;
	GHashTable *services;
	struct ba_list by_change;
	struct ba_list waiting;
	struct ba_list tombstones;
	size_t n_live;
	uint64_t generation;
	uint64_t full;
};

#endif
