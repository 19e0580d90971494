/*
 * The HTTP conventions of one platform: how callers, backend servers and
 * operators name and format what they send.  The platform's adapter fills in
 * a table of functions that convert it to and from the structures below; no
 * other module knows the field names, paths and bodies on the wire.
 */
#ifndef PX_DIALECT_H
#define PX_DIALECT_H

#include "base/ba_buf.h"
#include "base/ba_clock.h"
#include "call/cl_limit.h"
#include "config/cf.h"
#include "http/ht_head.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { PX_ID_BYTES = 128, PX_VERSION_BYTES = CF_NAME_BYTES + 1 };

/**
 * struct px_caller_fields - what a caller states about its request
 * @id: id of this attempt of the caller; borrowed from the head, NULL if absent
 * @time_left: how long the caller waits, or -1 if not stated
 */
struct px_caller_fields {
	const char *id;
	ba_time time_left;
};

/**
 * struct px_backend_fields - fields added to a request for a backend server
 * @time_left: how long the caller still waits
 * @caller: service on whose instance the request originated
 * @backend: id of the backend server that the request is meant for
 * @team: team of the caller, or NULL
 */
struct px_backend_fields {
	ba_time time_left;
	const char *caller;
	const char *backend;
	const char *team;
};

/**
 * struct px_stated_load - load that a backend server states
 * @running: requests that it works on
 * @waiting: requests in its queue
 * @speed: time that work takes there now, in percent of the usual time, 0 if it
 *	is not stated
 */
struct px_stated_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t speed;
};

/**
 * struct px_answer_fields - what a backend server states in an answer
 * @id: id of the attempt that it answers; borrowed, NULL if not stated
 * @not_run: the backend server did not begin to work on the request
 * @names_several: it names other attempts than @id, too
 * @statement: its limit, and whether it leaves
 * @load: all 0 if it is not stated
 */
struct px_answer_fields {
	const char *id;
	bool not_run;
	bool names_several;
	struct cl_statement statement;
	struct px_stated_load load;
};

/** enum px_control - calls of the platform to a daemon */
enum px_control {
	PX_CONTROL_UNKNOWN,
	PX_CONTROL_READY,      /* is the daemon ready? */
	PX_CONTROL_HEARTBEAT,  /* a backend server is alive */
	PX_CONTROL_DEREGISTER, /* a backend server has left */
};

/**
 * struct px_heartbeat - a heartbeat of a backend server
 * @backend: id of the backend server, new for each of its starts
 * @service: service that it belongs to
 * @version: version of its software
 * @start_wall_ms: wall time of its start in milliseconds, 0 if not stated
 * @sequence: number of this heartbeat since the start
 * @slots: requests that it works on at once
 * @cold_time: how much longer it is slow after its cold start
 * @draining: it is about to leave
 */
struct px_heartbeat {
	char backend[PX_ID_BYTES];
	char service[PX_ID_BYTES];
	char address[PX_ID_BYTES];
	char version[PX_VERSION_BYTES];
	int64_t start_wall_ms;
	int64_t sequence;
	uint32_t slots;
	ba_time cold_time;
	bool draining;
};

/**
 * struct px_dialect - conversion functions of one platform
 * @read_request: read the caller's fields of a request
 * @is_daemon_field: whether the daemon sets this field of requests itself
 * @is_team_field: whether the daemon sets this field of requests itself where
 *	the configuration has teams
 * @write_backend_fields: append the fields for a backend server, each ended by
 *	CR LF
 * @read_answer: read the backend server's fields of an answer
 * @read_control: classify the call @method @target; @backend receives the id
 *	that the target names
 * @read_heartbeat: parse the body of a heartbeat; false if it is malformed
 * @read_departure: parse the body of a deregistration, which may be empty, and
 *	set the wall time of the start in milliseconds, 0 if it is not stated;
 *	false if it is malformed
 * @write_heartbeat_ack: append the body that acknowledges a heartbeat
 */
struct px_dialect {
	void (*read_request)(const struct ht_head *h,
			     struct px_caller_fields *out);
	bool (*is_daemon_field)(const char *field);
	bool (*is_team_field)(const char *field);
	void (*write_backend_fields)(const struct px_backend_fields *s,
				     struct ba_buf *out);
	void (*read_answer)(const struct ht_head *h,
			    struct px_answer_fields *out);
	enum px_control (*read_control)(const char *method, const char *target,
					char backend[PX_ID_BYTES]);
	bool (*read_heartbeat)(const void *body, size_t len,
			       struct px_heartbeat *out);
	bool (*read_departure)(const void *body, size_t len, int64_t *start);
	void (*write_heartbeat_ack)(struct ba_buf *out);
};

#ifdef __cplusplus
}
#endif
#endif
