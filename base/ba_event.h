/*
 * Numbered log events.  All of them are logged by ba_event(), through the
 * structured logging of GLib; docs/EVENTS.md is checked against the table.
 *
 * Ranges: 1xxx base and programs, 2xxx wire, 3xxx config, 4xxx replica,
 * 5xxx endpoint and distrib, 6xxx call, 7xxx report and command line.
 */
#ifndef BA_EVENT_H
#define BA_EVENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

enum ba_severity {
	BA_DEBUG,
	BA_INFO,
	BA_NOTICE,
	BA_WARNING,
	BA_ERROR,
};

enum ba_event_id {
	BA_EV_STARTED = 1001,
	BA_EV_STOPPING = 1002,
	BA_EV_STOPPED = 1003,
	BA_EV_SETTINGS_REFUSED = 1004,
	BA_EV_LISTENING = 1005,
	BA_EV_LISTEN_FAILED = 1006,
	BA_EV_LOG_DROPPED = 1007,
	BA_EV_LOG_REOPENED = 1008,
	BA_EV_UNDELIVERED = 1009,
	BA_EV_STOP_CUT = 1010,
	BA_EV_CROWDED = 1011,

	WI_EV_SESSION_OPEN = 2001,
	WI_EV_SESSION_CLOSED = 2002,
	WI_EV_SESSION_REFUSED = 2003,
	WI_EV_PEER_SILENT = 2004,

	CF_EV_APPLIED = 3001,
	CF_EV_REFUSED = 3002,

	RP_EV_ELECTED = 4001,
	RP_EV_DEPOSED = 4002,
	RP_EV_ACCEPTED = 4003,
	RP_EV_SUBMISSION_REFUSED = 4004,
	RP_EV_RECOVERED = 4005,
	RP_EV_LOG_CUT = 4006,
	RP_EV_LOG_DAMAGED = 4007,
	RP_EV_DISK_FULL = 4008,
	RP_EV_CAUGHT_UP = 4009,
	RP_EV_MEMBERS = 4010,
	RP_EV_QUORUM_LOST = 4011,
	RP_EV_ROLLOUT = 4012,
	RP_EV_FORMING_WAITS = 4013,

	DS_EV_PUBLISHED = 5001,
	DS_EV_UPSTREAM = 5002,
	DS_EV_UPSTREAM_LOST = 5003,
	DS_EV_IN_FORCE = 5004,
	DS_EV_SESSION_DEFERRED = 5005,
	DS_EV_CATCH_UP = 5006,
	DS_EV_FLOOR = 5007,
	DS_EV_OLDER_REFUSED = 5008,
	DS_EV_PASSED_OVER = 5009,
	DS_EV_BEHIND = 5010,
	EP_EV_JOINED = 5101,
	EP_EV_LEFT = 5102,
	EP_EV_DRAINING = 5103,
	EP_EV_EXPIRED = 5104,
	EP_EV_EXPIRY_HELD = 5105,
	EP_EV_REFUSED = 5106,
	EP_EV_NOT_LOGGED = 5107,

	CL_EV_ROUTED = 6001,
	CL_EV_NOT_RUN = 6002,
	CL_EV_RETRIED = 6003,
	CL_EV_SHED = 6004,
	CL_EV_EJECTED = 6005,
	CL_EV_RESTORED = 6006,
	CL_EV_KEY_REFUSED = 6007,
	CL_EV_ANSWERED = 6008,
	CL_EV_MAY_HAVE_RUN = 6009,
	CL_EV_LIMIT = 6010,
	CL_EV_BREACH = 6011,
	CL_EV_FOREIGN_ANSWER = 6012,
	CL_EV_CRASH_SUSPECTED = 6013,
	CL_EV_REQUEST_CONVICTED = 6014,
	CL_EV_ANSWER_HELD = 6015,
	CL_EV_BACKEND_LIMIT = 6016,
	CL_EV_BACKEND_LEAVING = 6017,
	CL_EV_STATED_DROPPED = 6018,
	CL_EV_ANSWER_CUT = 6019,
	CL_EV_ANSWER_FLAWED = 6020,
	CL_EV_QUOTA_SCARCE = 6024,
	CL_EV_QUOTA_REFUSED = 6025,
	CL_EV_SERVICE_FULL = 6026,

	RT_EV_DAY_CLOSED = 7001,
	RT_EV_FIGURES = 7002,
};

/**
 * struct ba_event_info - one row of the table of events
 * @name: stable name, as in docs/EVENTS.md
 * @severity: severity at which the event is logged
 * @text: one sentence that says what happened
 */
struct ba_event_info {
	const char *name;
	enum ba_severity severity;
	const char *text;
};

/** ba_event_info() - look up the row of @id; NULL if there is none */
const struct ba_event_info *ba_event_info(int id);

/**
 * ba_event_next() - iterate over the table
 * @id: the last id seen, or -1 to start
 *
 * Return: the next id that has a row, or -1 at the end.
 */
int ba_event_next(int id);

/**
 * ba_event() - log one event
 * @id: id of the event
 * @fmt: details as key=value pairs, in the format of printf()
 *
 * Callable from any thread.  The log thread writes the line.  While its bounded
 * queue is full, lines are dropped; their number is logged as
 * %BA_EV_LOG_DROPPED.
 */
void ba_event(enum ba_event_id id, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** ba_event_enabled() - whether @id is severe enough to be logged */
bool ba_event_enabled(enum ba_event_id id);

/**
 * ba_event_open() - start the log thread
 * @program: name of the program and its instance, written in each line
 * @path: file to append to, "-" for standard output, or NULL for standard
 *	error
 * @min_severity: lowest severity that is logged
 *
 * Return: %BA_OK or %BA_FILE_UNREADABLE.
 */
int ba_event_open(const char *program, const char *path,
		  enum ba_severity min_severity);

/** ba_event_reopen() - reopen the log file, after it was rotated */
void ba_event_reopen(void);

/** ba_event_flush() - wait until all lines are written, or for @timeout */
void ba_event_flush(ba_time timeout);

/** ba_event_close() - write the queued lines and end the log thread */
void ba_event_close(void);

#ifdef __cplusplus
}
#endif
#endif
