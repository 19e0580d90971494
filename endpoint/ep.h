/*
 * Endpoint records: which backend server instances there are, told by the
 * one daemon beside each.
 *
 * Rules:
 * - A record has a single writer; the newest (incarnation, sequence) wins.
 * - A record lives until its lease deadline; an expired one is removed, but
 *   never most of a data centre at once: then the observer may be cut off.
 * - A draining or removed record never comes back under the same
 *   incarnation and an older sequence.
 * - Endpoint churn never touches the replicated log.
 */
#ifndef EP_H
#define EP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct ep_record - one endpoint
 * @address: where daemons of its region forward calls to
 * @external_address: the same for daemons of other regions
 * @control_address: where siblings ask for the configuration, or ""
 * @incarnation: wall time of the daemon's start in microseconds
 * @sequence: counts the changes within one incarnation
 * @draining: takes no new work
 * @left: has gone; kept for a while so that older news cannot revive it
 * @slots: calls its backend server runs at once
 * @connections: connections its backend server accepts
 * @backend: id that the backend server gave itself at its start, or ""
 * @cold: the backend server stays slow for so long after the announcement
 * @lease_deadline: when it expires unless renewed
 */
struct ep_record {
	char *instance;
	char *service;
	char *data_centre;
	char *region;
	char *address;
	char *external_address;
	char *control_address;
	char *backend;
	ba_time cold;
	uint64_t incarnation;
	uint64_t sequence;
	bool draining;
	bool left;
	uint32_t slots;
	uint32_t connections;
	ba_time lease_deadline;
};

/** struct ep_service_view - the endpoints of one service */
struct ep_service_view {
	char *service;
	struct ep_record *records;
	size_t n_records;
};

/**
 * struct ep_view - an immutable picture of all endpoints that a daemon may
 * route to, by service name; shared by reference count
 */
struct ep_view {
	struct ep_service_view *services;
	size_t n_services;
	uint64_t generation;
	int refs;
};

struct ep_table;

/** ep_view_ref() - take a reference; safe from any thread */
struct ep_view *ep_view_ref(struct ep_view *v);

/** ep_view_unref() - drop a reference; NULL is allowed */
void ep_view_unref(struct ep_view *v);

/** ep_view_find() - the endpoints of @service, or NULL */
const struct ep_service_view *ep_view_find(const struct ep_view *v,
					   const char *service);

/** ep_record_copy() - copy with its own strings */
void ep_record_copy(struct ep_record *to, const struct ep_record *from);

/** ep_record_clear() - free the strings */
void ep_record_clear(struct ep_record *r);

#ifdef __cplusplus
}
#endif
#endif
