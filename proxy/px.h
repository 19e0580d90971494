/*
 * The HTTP proxy beside a backend server.  It routes requests of callers by
 * host and path, forwards each one to the proxy beside an endpoint of the
 * route's service, and admits requests to its own backend server.
 *
 * Rules:
 * - Only the proxy beside a backend server forwards requests to it, so the
 *   proxy knows exactly which slots are in use, when the backend server
 *   starts and when it drains.
 * - A request belongs to the proxy that it entered.  A request that must not
 *   run twice is retried only after a definite "not run".
 * - 503 is answered only for a request that was not run and will not be.
 * - An answer is delivered to the request that it belongs to, and is either
 *   complete or cut off by the end of the connection.
 * - A request that crashes backend servers is refused, where it enters and beside
 *   the backend server (call/cl_poison.h).
 * - A request whose caller disconnects is cancelled on every hop.
 * - A proxy is used only from the thread of its loop.
 */
#ifndef PX_H
#define PX_H

#include "base/ba_loop.h"
#include "base/ba_unit.h"
#include "call/cl_quota.h"
#include "config/cf.h"
#include "endpoint/ep.h"
#include "proxy/px_dialect.h"

#ifdef __cplusplus
extern "C" {
#endif

struct px;

/**
 * struct px_owner - callbacks into the program; embed it
 * @backend_changed: the backend server has started, changed its state or left;
 *	@b is its last heartbeat, NULL while it is not to be used; @l is what to
 *	tell others of it; @renewed is set when @b is the first heartbeat of
 *	another start
 * @marks_changed: the own report of requests that crash backend servers has
 *	changed; @marks is all of it
 * @version_heard: another proxy has configuration version @version in force
 * @is_current: whether the configuration is known to be the newest, or was so a
 *	moment ago; without that, an unknown route may be a new one
 * @ask_quota: send a question for tokens to the relay; its answer comes with
 *	px_quota_granted()
 * @tallied: calls were counted for a roll-out; @data is a packed RtTallies; may
 *	be NULL
 */
struct px_owner {
	void (*backend_changed)(struct px_owner *o,
				const struct px_heartbeat *b,
				const struct ep_lifetime *l, bool renewed);
	void (*marks_changed)(struct px_owner *o, const struct ep_mark *marks,
			      size_t n);
	void (*version_heard)(struct px_owner *o, uint64_t version);
	bool (*is_current)(struct px_owner *o);
	void (*ask_quota)(struct px_owner *o, const struct cl_quota_message *m);
	void (*tallied)(struct px_owner *o, const void *data, size_t len);
	void (*log_departure)(struct px_owner *o, const struct ep_lifetime *l);
};

/**
 * struct px_options - configuration of a proxy
 * @caller_address: address that accepts requests of callers
 * @peer_address: address that accepts requests of other proxies for the local
 *	backend server
 * @ready_address: address that answers readiness checks of the platform
 * @registration_address: address that accepts heartbeats and deregistrations of
 *	the backend server
 * @backend_address: address that the backend server listens on
 * @link_rate: bytes a second of the outgoing link, or 0 if not known
 * @memory: bytes of memory that the process may use, or 0 if not known
 * @descriptors: descriptors that it may use, or 0 if not known
 * @service: service of this instance; stated to backend servers as the caller
 *	of the requests that enter this proxy
 * @seed: seed of the generator for choices among equal endpoints, the first
 *	choice of a weighted split and the jitter of Retry-After
 */
struct px_options {
	struct ba_address caller_address;
	struct ba_address peer_address;
	struct ba_address ready_address;
	struct ba_address registration_address;
	struct ba_address backend_address;
	const char *instance;
	const char *data_centre;
	const char *region;
	int64_t link_rate;
	int64_t memory;
	int64_t descriptors;
	const char *service;
	const struct px_dialect *dialect;
	uint64_t seed;
};

/**
 * px_new() - start a proxy on @loop
 * @failed: address that could not be bound, on failure
 *
 * Return: %BA_OK or %BA_PORT_IN_USE.
 */
int px_new(struct ba_loop *loop, const struct px_options *o,
	   struct px_owner *owner, const struct ba_address **failed,
	   struct px **out);

/** px_configure() - use the configuration @s; takes its own reference */
void px_configure(struct px *p, struct cf_snapshot *s);

/**
 * px_restore_backend() - use what was known before the start of this proxy
 *
 * A heartbeat that was sent before the backend server drained or left may
 * arrive after the restart.
 */
void px_restore_backend(struct px *p, const struct ep_lifetime *known);

/**
 * px_departure_logged() - a departure of the backend server is in the log
 *
 * Backend servers get their acknowledgement then.
 */
void px_departure_logged(struct px *p, const struct ep_lifetime *logged);

/** px_set_endpoints() - use the endpoints of @v */
void px_set_endpoints(struct px *p, const struct ep_view *v);

/** px_quota_connected() - a relay can be asked for tokens, or no longer */
void px_quota_connected(struct px *p, bool connected);

/** px_quota_granted() - the relay has answered a question for tokens */
void px_quota_granted(struct px *p, const struct cl_quota_message *m);

/**
 * px_begin_stop() - report not ready; requests are still accepted and answered
 * @leaves_at: when px_end_requests() will be called; links are scheduled for it
 */
void px_begin_stop(struct px *p, ba_time leaves_at);

/** px_refuse_requests() - refuse new requests of callers from now on */
void px_refuse_requests(struct px *p);

/**
 * px_end_requests() - give requests in progress their final answer now
 *
 * Those whose answer is arriving go on.  Requests that arrive later, also from
 * other proxies, are refused.
 */
void px_end_requests(struct px *p);

/** px_count_in_progress() - count unfinished requests and unsent answers */
unsigned int px_count_in_progress(const struct px *p);

/** px_free() - close all connections and free @p; NULL is allowed */
void px_free(struct px *p);

#ifdef __cplusplus
}
#endif
#endif
