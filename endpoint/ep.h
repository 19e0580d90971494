/*
 * Endpoint records: the known instances of backend servers, each announced by
 * the daemon that runs beside it.
 *
 * Rules:
 * - A record has a single writer; the newest (incarnation, sequence) wins.
 * - A record is valid until its lease deadline and then expires.  The expiry of
 *   more than half of the records of a data centre at once is held back, as in
 *   that case it may be the observer that is cut off.
 * - The state "draining" or "left" is never undone by a record of the same
 *   incarnation and an older sequence.
 * - Changes of endpoints are not written to the replicated log, but for the
 *   departures that are acknowledged to backend servers (ep_departures.h).
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

/* Marks that a record may carry. */
enum { EP_MARKS_MAX = 32 };

/**
 * struct ep_mark - what an instance reports of one request; see cl_poison.h
 * @request: digest of the request
 * @crashes: crashes of its backend server that the request explains, and
 *	renewals of its conviction
 * @acquittals: number of times that it was acquitted by an answer there
 * @convicted: the instance knows it to be convicted
 */
struct ep_mark {
	uint64_t request;
	uint32_t crashes;
	uint32_t acquittals;
	bool convicted;
};

/** enum ep_state - what a backend server has said of itself */
enum ep_state {
	EP_SERVES,
	EP_DRAINS,
	EP_HAS_LEFT, /* it has deregistered */
};

/**
 * struct ep_lifetime - one start of a backend server, as its heartbeats tell
 * @backend: id that the backend server gave itself at its start, or ""
 * @start_wall_ms: wall time of the start in milliseconds, 0 if not stated
 * @sequence: number of the last heartbeat that is known
 * @state: state as of that heartbeat, or of a deregistration after it
 */
struct ep_lifetime {
	const char *backend;
	int64_t start_wall_ms;
	int64_t sequence;
	enum ep_state state;
};

/**
 * struct ep_record - one endpoint
 * @address: address to which daemons of its region forward calls
 * @external_address: the same for daemons of other regions
 * @control_address: address at which siblings get the configuration, or ""
 * @backend: id of the backend server; see struct ep_lifetime
 * @version: version of its software, "" or NULL if it states none
 * @backend_start_wall_ms: wall time of its start in milliseconds
 * @backend_sequence: number of its heartbeat that last changed the record
 * @backend_state: what it has said of itself; its daemon may be leaving, too
 * @cold_time: time after the announcement during which the backend server is
 *	slow, in microseconds
 * @incarnation: wall time of the daemon's start, in microseconds, plus one for
 *	each restart of its backend server
 * @sequence: number of the change within one incarnation
 * @draining: whether the endpoint takes no new work
 * @left: whether the endpoint has left; the record is kept for a while as a
 *	tombstone, so that an older record cannot revive it
 * @slots: calls that the backend server runs at once
 * @connections: connections that the backend server accepts
 * @marks: requests that crash backend servers, as this instance reports them
 * @marks_epoch: wall time of the start of the proxy that counts in @marks, in
 *	microseconds
 * @lease_deadline: time at which the record expires unless it is held by then,
 *	%BA_NEVER while it is held (see ep_table.h); for a tombstone, time at
 *	which it is removed, 0 if that is not yet known
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
	char *version;
	int64_t backend_start_wall_ms;
	int64_t backend_sequence;
	enum ep_state backend_state;
	ba_time cold_time;
	uint64_t incarnation;
	uint64_t sequence;
	bool draining;
	bool left;
	uint32_t slots;
	uint32_t connections;
	struct ep_mark *marks;
	size_t n_marks;
	uint64_t marks_epoch;
	ba_time lease_deadline;
};

/** struct ep_service_view - the endpoints of one service */
struct ep_service_view {
	char *service;
	struct ep_record *records;
	size_t n_records;
};

/** struct ep_report - the marks of one instance; see struct ep_record */
struct ep_report {
	char *instance;
	struct ep_mark *marks;
	size_t n_marks;
	uint64_t epoch;
};

/**
 * struct ep_view - immutable view of all endpoints that a daemon may route to
 * @services: the services with endpoints, sorted by name
 * @generation: generation of the table from which the view was made
 * @refs: reference count, changed atomically
 * @reports: the reports of all instances with marks, also of those that drain,
 *	have left or are not among the records of @services
 * @reports_generation: generation of the last change of a report; views in
 *	which it is equal share @reports
 */
struct ep_view {
	struct ep_service_view *services;
	size_t n_services;
	uint64_t generation;
	int refs;
	const struct ep_report *reports;
	size_t n_reports;
	uint64_t reports_generation;
};

struct ep_table;

/** ep_view_ref() - take a reference; safe from any thread */
struct ep_view *ep_view_ref(struct ep_view *v);

/** ep_view_unref() - drop a reference; NULL is allowed */
void ep_view_unref(struct ep_view *v);

/** ep_view_find() - look up the endpoints of @service; NULL if none */
const struct ep_service_view *ep_view_find(const struct ep_view *v,
					   const char *service);

/**
 * ep_lifetime_is_past() - whether a heartbeat was overtaken by what is known
 * @known: what is known of the backend servers at one place
 * @next: the heartbeat, of any start there
 *
 * A lifetime that has deregistered never comes back.
 */
bool ep_lifetime_is_past(const struct ep_lifetime *known,
			 const struct ep_lifetime *next);

/**
 * ep_lifetime_covers() - whether @known says all that @l does
 *
 * It does if it is of a later start, or of the same in the same state or a later
 * one.
 */
bool ep_lifetime_covers(const struct ep_lifetime *known,
			const struct ep_lifetime *l);

/**
 * ep_start_is_plausible() - whether a start lies no further ahead than clocks
 * differ
 *
 * After one that does, no later start would count.
 */
bool ep_start_is_plausible(int64_t start_wall_ms, int64_t now_wall_ms);

/** ep_record_lifetime() - the lifetime that @r is about; borrows its strings */
struct ep_lifetime ep_record_lifetime(const struct ep_record *r);

/**
 * ep_record_keep_lifetime() - add to a record what its own writer may not know
 * @r: record of a daemon that may have been restarted; may borrow of @known
 * @known: the record that it replaces, or NULL
 *
 * A restarted daemon knows nothing of the backend server, and may hear a
 * heartbeat that was sent before the backend server drained or left.
 */
void ep_record_keep_lifetime(struct ep_record *r,
			     const struct ep_record *known);

/** ep_record_copy() - copy a record with its strings and marks */
void ep_record_copy(struct ep_record *to, const struct ep_record *from);

/** ep_record_clear() - free the strings and marks of a record and zero it */
void ep_record_clear(struct ep_record *r);

#ifdef __cplusplus
}
#endif
#endif
