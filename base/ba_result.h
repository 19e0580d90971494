/*
 * Result codes.  Each refusal and failure has a number, a sentence that
 * explains it, and a next step for the reader.  docs/RESULTS.md is checked
 * against this table.
 *
 * Ranges: 1xx base and settings, 2xx wire, 3xx config, 4xx replica,
 * 5xx endpoint and distrib, 6xx call, 7xx report and command line.
 */
#ifndef BA_RESULT_H
#define BA_RESULT_H

#include <stddef.h>

#include "base/ba_buf.h"

#ifdef __cplusplus
extern "C" {
#endif

enum ba_result {
	BA_OK = 0,

	BA_SYNTAX = 101,
	BA_KEY_UNKNOWN = 102,
	BA_KEY_MISSING = 103,
	BA_TYPE_WRONG = 104,
	BA_UNIT_WRONG = 105,
	BA_RANGE_WRONG = 106,
	BA_ADDRESS_WRONG = 107,
	BA_FILE_UNREADABLE = 108,
	BA_PORT_IN_USE = 109,
	BA_FOLDER_UNWRITABLE = 110,
	BA_DISK_FULL = 111,
	BA_USAGE = 112,
	BA_INTERNAL = 113,

	WI_FRAME_TOO_LARGE = 201,
	WI_FRAME_GARBAGE = 202,
	WI_FRAME_UNKNOWN = 203,
	WI_MESH_WRONG = 204,
	WI_KEY_WRONG = 205,
	WI_PEER_SILENT = 206,
	WI_PEER_CLOSED = 207,
	WI_CONNECT_FAILED = 208,
	WI_QUEUE_FULL = 209,
	WI_TOO_MANY_PEERS = 210,

	CF_DUPLICATE_NAME = 301,
	CF_NAME_WRONG = 302,
	CF_ROUTE_DANGLING = 303,
	CF_TOO_MANY = 304,
	CF_DIGEST_WRONG = 305,
	CF_DELTA_BASE_WRONG = 306,
	CF_POLICY_ROW_DANGLING = 307,
	CF_ENCODING_WRONG = 308,
	CF_VERSION_OLDER = 309,
	CF_KEY_SHARED = 310,

	RP_NOT_LEADER = 401,
	RP_NO_QUORUM = 402,
	RP_BASE_STALE = 403,
	RP_LOG_DAMAGED = 404,
	RP_TERM_OLD = 405,
	RP_SUBMISSION_TIMEOUT = 406,
	RP_NOT_A_MEMBER = 407,
	RP_MEMBERSHIP_BUSY = 408,
	RP_ROLLOUT_IN_PROGRESS = 409,
	RP_SERVICE_UNKNOWN = 410,

	DS_OVERLOADED = 501,
	DS_NO_UPSTREAM = 502,
	DS_FLOOR_UNKNOWN = 503,
	EP_INCARNATION_OLD = 504,
	EP_LEASE_EXPIRED = 505,
	EP_TABLE_FULL = 506,

	CL_NO_ROUTE = 601,
	CL_NO_ENDPOINT = 602,
	CL_OVERLOADED = 603,
	CL_DEADLINE_PASSED = 604,
	CL_KEY_REQUIRED = 605,
	CL_KEY_STALE = 606,
	CL_MAY_HAVE_RUN = 607,
	CL_ANSWER_BROKEN = 608,
	CL_REQUEST_TOO_LARGE = 609,
	CL_REQUEST_MALFORMED = 610,
	CL_DRAINING = 611,
	CL_BACKEND_UNREACHABLE = 612,
	CL_NOT_CONFIGURED = 613,
	CL_KEY_IN_PROGRESS = 614,
	CL_CANCELLED = 615,
	CL_DEADLINE_EXPIRED = 616,
	CL_KEY_MALFORMED = 617,
	CL_KEY_REUSED = 618,
	CL_SHED_BY_BACKEND = 619,
	CL_LINK_FULL = 620,
	CL_REQUEST_CRASHES = 621,
	CL_NOT_CURRENT = 622,
	CL_TEAM_KEY_MISSING = 623,
	CL_TEAM_KEY_UNKNOWN = 624,
	CL_QUOTA_EXCEEDED = 625,
	CL_SERVICE_FULL = 626,

	RT_DAY_UNKNOWN = 701,
	RT_SOURCE_UNREACHABLE = 702,
	RT_PROMISE_BROKEN = 703,
};

/**
 * struct ba_result_info - description of one result code for users
 * @name: stable name, as in docs/RESULTS.md
 * @text: one sentence that says what happened
 * @next_step: what the reader can do about it
 * @http_status: status for callers over HTTP, 0 where none applies
 * @exit_code: exit status of command line programs
 */
struct ba_result_info {
	const char *name;
	const char *text;
	const char *next_step;
	int http_status;
	int exit_code;
};

/**
 * ba_result_info() - look up the description of a code
 * @code: any integer, such as a code received from a peer
 *
 * Return: the row of @code, or the row of %BA_INTERNAL for an unknown one;
 * never NULL.
 */
const struct ba_result_info *ba_result_info(int code);

/** ba_result_json() - append code, name and text as members of a JSON object */
void ba_result_json(int code, struct ba_buf *out);

/**
 * ba_result_next() - iterate over the table
 * @code: the last code seen, or -1 to start
 *
 * Return: the next code that has a row, or -1 at the end.
 */
int ba_result_next(int code);

#ifdef __cplusplus
}
#endif
#endif
