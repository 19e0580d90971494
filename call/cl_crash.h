/*
 * Tells a crash of the own backend server from the end of a single connection
 * to it, and collects the requests that it was running.
 *
 * Rules:
 * - The loss of a connection without a complete answer is only a suspicion.  It
 *   is confirmed when a new connection is refused, or when a heartbeat of a new
 *   start arrives shortly after.
 * - A new connection that opens shows that the backend server has survived what
 *   was lost before; only a heartbeat of a new start can still tell otherwise.
 * - Connections that end shortly after each other are one crash.  It is
 *   reported once, when no further ones are to be expected.
 * - What is sent while connections are refused is not run.
 */
#ifndef CL_CRASH_H
#define CL_CRASH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { CL_CRASH_RUNNING_MAX = 64 }; /* requests of one crash */

/* How long a lost connection is remembered without a confirmation. */
#define CL_CRASH_MEMORY BA_SECOND
/* Within this time after the confirmation all connections have ended. */
#define CL_CRASH_SETTLE_TIME (50 * BA_MS)
/* Between two test connections, if the first was inconclusive. */
#define CL_CRASH_CHECK_PERIOD (50 * BA_MS)

/** enum cl_crash_dial - what became of a new connection to the backend server
 * @CL_CRASH_OPENED: it is open and stays so
 * @CL_CRASH_REFUSED: nobody listens
 * @CL_CRASH_UNCLEAR: it ended again at once, or nothing was heard
 */
enum cl_crash_dial {
	CL_CRASH_OPENED,
	CL_CRASH_REFUSED,
	CL_CRASH_UNCLEAR,
};

/**
 * struct cl_crash_run - a request whose connection was lost
 * @survived: a connection was opened after that
 * @abandoned: the proxy itself ended the connection
 */
struct cl_crash_run {
	uint64_t request;
	ba_time lost_at;
	bool survived;
	bool abandoned;
};

/**
 * struct cl_crash - what is known of the own backend server
 * @runs: lost connections, oldest first
 * @down_at: when a connection was refused, %BA_NEVER if one has opened since
 * @report_at: when the confirmed crash is reported, %BA_NEVER without one
 * @check_at: when the next test connection is due, %BA_NEVER if none is
 * @checked_from: when the test connection that is in progress was dialled
 * @checking: a test connection is in progress
 * @start_due: a crash was confirmed, and its new start is not announced yet
 */
struct cl_crash {
	struct cl_crash_run runs[CL_CRASH_RUNNING_MAX];
	size_t n;
	ba_time down_at;
	ba_time report_at;
	ba_time check_at;
	ba_time checked_from;
	bool checking;
	bool start_due;
};

/** cl_crash_reset() - know nothing; also for a backend server that has left */
void cl_crash_reset(struct cl_crash *c);

/**
 * cl_crash_lost() - the connection of a running request has ended
 * @fresh: the connection was opened for this request
 * @sent_at: when the request was sent
 */
void cl_crash_lost(struct cl_crash *c, uint64_t request, bool fresh,
		   ba_time sent_at, ba_time now);

/**
 * cl_crash_abandoned() - the proxy has ended the connection of a running request
 * @sent_at: when the request was sent
 *
 * The backend server may go on with it, so it belongs to a crash that follows
 * within %CL_CRASH_MEMORY; it is no reason to test the backend server.
 */
void cl_crash_abandoned(struct cl_crash *c, uint64_t request, ba_time sent_at,
			ba_time now);

/**
 * cl_crash_wants_check() - whether to open a test connection now
 *
 * If so, one counts as in progress until cl_crash_checked().
 */
bool cl_crash_wants_check(struct cl_crash *c, ba_time now);

/** cl_crash_checked() - the test connection has ended */
void cl_crash_checked(struct cl_crash *c, enum cl_crash_dial how, ba_time now);

/** cl_crash_opened() - a connection dialled at @dialled_at has opened */
void cl_crash_opened(struct cl_crash *c, ba_time dialled_at, ba_time now);

/** cl_crash_refused() - a connection for a request was refused */
void cl_crash_refused(struct cl_crash *c, ba_time now);

/** cl_crash_restarted() - a heartbeat of a new start has arrived */
void cl_crash_restarted(struct cl_crash *c, ba_time now);

/**
 * cl_crash_take() - get the requests of a crash that is to be reported now
 * @running: room for %CL_CRASH_RUNNING_MAX digests, each is listed once
 *
 * Return: number of requests, 0 if there is nothing to report.
 */
size_t cl_crash_take(struct cl_crash *c, uint64_t *running, ba_time now);

/** cl_crash_next() - when to ask again, %BA_NEVER without a need */
ba_time cl_crash_next(const struct cl_crash *c);

#ifdef __cplusplus
}
#endif
#endif
