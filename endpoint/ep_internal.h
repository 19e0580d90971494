/*
 * Data structures of the table of endpoint records, private to endpoint/.
 */
#ifndef EP_INTERNAL_H
#define EP_INTERNAL_H

#include <glib.h>

#include "base/ba_list.h"
#include "endpoint/ep_table.h"

/**
 * struct ep_centre - the records of one data centre
 * @entries: its records, tombstones included
 * @n_live: records that have not left
 * @n_expiring: live records that nobody holds
 * @hold_back_deadline: time until which expiry is held back, %BA_NEVER if it is
 *	not
 * @buckets: digest of each bucket, of live records and tombstones with marks
 */
struct ep_centre {
	char *name;
	struct ba_list entries;
	size_t n_live;
	size_t n_expiring;
	ba_time hold_back_deadline;
	uint64_t buckets[EP_BUCKETS];
};

/**
 * struct ep_service - the records of one service
 * @entries: its records, tombstones included
 * @n_live: records that have not left
 * @generation: generation of its last change
 */
struct ep_service {
	char *name;
	struct ba_list entries;
	size_t n_live;
	uint64_t generation;
};

/**
 * struct ep_entry - one record in the table
 * @by_change: link in the table's list, in order of @generation
 * @by_service: link in the list of its service
 * @by_centre: link in the list of its data centre
 * @by_state: link in the table's list of expiring records or of tombstones;
 *	empty while the record is held
 * @by_report: link in the table's list of entries with marks, empty if it has
 *	none
 * @generation: generation of its last change
 * @holder: see enum ep_holder
 * @last_full_update: number of the last full update that named the record
 * @bucket: bucket of the digest, by the hash of the instance
 */
struct ep_entry {
	struct ep_record record;
	struct ep_centre *centre;
	struct ep_service *service;
	struct ba_list by_change;
	struct ba_list by_service;
	struct ba_list by_centre;
	struct ba_list by_state;
	struct ba_list by_report;
	uint64_t generation;
	uint64_t holder;
	uint64_t last_full_update;
	unsigned int bucket;
};

/**
 * struct ep_table - the table
 * @limit: most records, tombstones included
 * @entries: entries by instance
 * @centres: data centres by name
 * @services: services by name
 * @by_change: all entries, in order of their last change
 * @expiring: live entries that nobody holds, which have a lease deadline
 * @tombstones: entries that have left, in order of their lease deadline
 * @reporting: entries with marks, live ones and tombstones
 * @n_live: records that have not left
 * @generation: generation of the last change
 * @reports_generation: generation of the last change of an entry with marks
 * @n_full_updates: number of full updates begun
 */
struct ep_table {
	size_t limit;
	GHashTable *entries;
	GHashTable *centres;
	GHashTable *services;
	struct ba_list by_change;
	struct ba_list expiring;
	struct ba_list tombstones;
	struct ba_list reporting;
	size_t n_live;
	uint64_t generation;
	uint64_t reports_generation;
	uint64_t n_full_updates;
};

#endif
