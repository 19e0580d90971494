/*
 * Departures of backend servers that are in the replicated log, by the instance
 * beside them.  What a daemon has acknowledged lives here beyond its process.
 *
 * Rules:
 * - The last departure of an instance is kept; one of an earlier start, or of an
 *   earlier state, changes nothing.
 * - It is kept for %EP_DEPARTURE_TIME, by the wall times of later departures: so
 *   tables that get the same departures are the same.  Heartbeats that were sent
 *   before it arrive well within that time.
 */
#ifndef EP_DEPARTURES_H
#define EP_DEPARTURES_H

#include "base/ba_buf.h"
#include "endpoint/ep.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { EP_DEPARTURES_LIMIT = 65536 };

#define EP_DEPARTURE_TIME (10 * BA_MINUTE)

/**
 * struct ep_departure_entry - a departure that is kept
 * @lifetime: what was acknowledged; its strings are valid like the entry
 * @wall: wall time at which it was received to be logged
 */
struct ep_departure_entry {
	const char *instance;
	struct ep_lifetime lifetime;
	ba_time wall;
};

/** typedef ep_departure_visit - called for one departure */
typedef void (*ep_departure_visit)(const struct ep_departure_entry *d,
				   void *arg);

struct ep_departures;

/** ep_departures_new() - create a table that knows of none */
struct ep_departures *ep_departures_new(void);

/** ep_departures_free() - free the table; NULL is allowed */
void ep_departures_free(struct ep_departures *t);

/** ep_departures_add() - add one; drops those that are too old by then */
void ep_departures_add(struct ep_departures *t,
		       const struct ep_departure_entry *d);

/** ep_departures_find() - the last departure beside @instance, or NULL */
const struct ep_departure_entry *ep_departures_find(
	const struct ep_departures *t, const char *instance);

/** ep_departures_count() - number of departures */
size_t ep_departures_count(const struct ep_departures *t);

/** ep_departures_pack() - append all as an EpDepartures, oldest first */
void ep_departures_pack(const struct ep_departures *t, struct ba_buf *out);

/** ep_departure_pack() - append an EpDepartures of one */
void ep_departure_pack(const struct ep_departure_entry *d, struct ba_buf *out);

/**
 * ep_departures_read() - call @visit for each of a packed EpDepartures
 *
 * Return: their number, or -1 if they can't be read; then none was visited.
 */
int ep_departures_read(const void *data, size_t len, ep_departure_visit visit,
		       void *arg);

#ifdef __cplusplus
}
#endif
#endif
