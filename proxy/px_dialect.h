/*
 * What callers, backend servers and operators say over HTTP, as values.  The
 * names, paths and bodies on the wire are those of one platform; its adapter
 * fills in a table of these functions, and nothing else knows them.
 */
#ifndef PX_DIALECT_H
#define PX_DIALECT_H

#include "base/ba_buf.h"
#include "base/ba_clock.h"
#include "http/ht_head.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { PX_ID_BYTES = 128 };

/**
 * struct px_request - what a caller says of its request
 * @id: of this attempt of the caller; borrowed from the head, NULL for none
 * @time_left: how long the caller waits, or -1 when it does not say
 */
struct px_request {
	const char *id;
	ba_time time_left;
};

/**
 * struct px_stamp - what a backend server is told with a request
 * @time_left: how long the caller still waits
 * @caller: service on whose instance the request began
 * @backend: id of the backend server that is meant
 */
struct px_stamp {
	ba_time time_left;
	const char *caller;
	const char *backend;
};

/**
 * struct px_answer - what a backend server says with an answer
 * @id: of the attempt it answers; borrowed, NULL when it does not say
 * @not_run: it did not begin to work on the request
 */
struct px_answer {
	const char *id;
	bool not_run;
};

/** enum px_control - calls of the platform to a daemon */
enum px_control {
	PX_CONTROL_UNKNOWN,
	PX_CONTROL_READY, /* is the daemon ready? */
	PX_CONTROL_BEAT,  /* a backend server is alive */
	PX_CONTROL_LEAVE, /* a backend server has gone */
};

/**
 * struct px_beat - what a backend server says of itself
 * @backend: id of this start of it
 * @service: service it belongs to
 * @born: wall time of its start in milliseconds, 0 when it does not say
 * @sequence: counts what it has said since its start
 * @slots: requests it works on at once
 * @cold: how long it stays slow
 * @draining: it is about to leave
 */
struct px_beat {
	char backend[PX_ID_BYTES];
	char service[PX_ID_BYTES];
	char address[PX_ID_BYTES];
	int64_t born;
	int64_t sequence;
	uint32_t slots;
	ba_time cold;
	bool draining;
};

/**
 * struct px_dialect - the names and formats of one platform
 * @read_request: what a caller says
 * @is_set_here: whether the daemon sets this field of requests itself
 * @write_stamp: append fields for a backend server, each ended by CR LF
 * @read_answer: what a backend server says
 * @read_control: which call @method and @target are; @backend gets the id
 *	that the target names
 * @read_beat: whether the body is that of a backend server's heartbeat
 * @write_ack: append the body that acknowledges a heartbeat
 */
struct px_dialect {
	void (*read_request)(const struct ht_head *h, struct px_request *out);
	bool (*is_set_here)(const char *field);
	void (*write_stamp)(const struct px_stamp *s, struct ba_buf *out);
	void (*read_answer)(const struct ht_head *h, struct px_answer *out);
	enum px_control (*read_control)(const char *method, const char *target,
					char backend[PX_ID_BYTES]);
	bool (*read_beat)(const void *body, size_t len, struct px_beat *out);
	void (*write_ack)(struct ba_buf *out);
};

#ifdef __cplusplus
}
#endif
#endif
