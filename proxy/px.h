/*
 * The proxy beside a backend server: takes requests of callers by host and
 * path, sends each to the proxy beside one endpoint, and is the gate to its
 * own backend server.
 *
 * Rules:
 * - Only the proxy beside a backend server passes requests on to it, so that
 *   its slots, its start and its drain are known exactly.
 * - A request has one owner, the proxy it entered.  What may run once only
 *   is passed on again only after a definite "not run".
 * - 503 is answered only for what was not run and will not be.
 * - An answer goes to the request it belongs to, whole, or its connection
 *   ends before its end.
 * - A caller that leaves cancels its request all the way down.
 * - A proxy belongs to the thread of its loop.
 */
#ifndef PX_H
#define PX_H

#include "base/ba_loop.h"
#include "base/ba_unit.h"
#include "config/cf.h"
#include "endpoint/ep.h"
#include "proxy/px_dialect.h"

#ifdef __cplusplus
extern "C" {
#endif

struct px;

/**
 * struct px_owner - what the program does for the proxy; embed it
 * @backend: the backend server has started, changed or gone; @b is NULL when
 *	there is none, @renewed when it is another start
 */
struct px_owner {
	void (*backend)(struct px_owner *o, const struct px_beat *b,
			bool renewed);
};

/**
 * struct px_options - how a proxy runs
 * @callers: where callers send requests
 * @peers: where other proxies send requests for the own backend server
 * @ready: where the platform asks for readiness
 * @beats: where the backend server announces itself
 * @backend: where the backend server listens
 * @link_rate: bytes a second of the outgoing link, or 0 if not known
 * @service: service on this instance, told to backend servers as the caller
 * @seed: of the generator for choices among equals
 */
struct px_options {
	struct ba_address callers;
	struct ba_address peers;
	struct ba_address ready;
	struct ba_address beats;
	struct ba_address backend;
	const char *instance;
	const char *data_centre;
	const char *region;
	int64_t link_rate;
	const char *service;
	const struct px_dialect *dialect;
	uint64_t seed;
};

/**
 * px_new() - listen and serve on @loop
 * @failed: the address that could not be listened on
 *
 * Return: %BA_OK or %BA_PORT_IN_USE.
 */
int px_new(struct ba_loop *loop, const struct px_options *o,
	   struct px_owner *owner, const struct ba_address **failed,
	   struct px **out);

/** px_configure() - @s is in force; takes its own reference */
void px_configure(struct px *p, struct cf_snapshot *s);

/** px_endpoints() - the endpoints are those of @v */
void px_endpoints(struct px *p, const struct ep_view *v);

/** px_stop() - no longer ready; requests are taken in and go on */
void px_stop(struct px *p);

/** px_close() - new requests of callers are refused from now on */
void px_close(struct px *p);

/** px_finish() - whatever is in progress gets its final answer now */
void px_finish(struct px *p);

/** px_in_progress() - requests that have not ended, answers not yet sent */
unsigned int px_in_progress(const struct px *p);

/** px_free() - end everything; NULL is allowed */
void px_free(struct px *p);

#ifdef __cplusplus
}
#endif
#endif
