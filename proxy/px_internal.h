/*
 * Private to proxy/:
 *
 *   px.c           start, stop, and what the proxy knows
 *   px_front.c     connections of callers and of other proxies
 *   px_exchange.c  one request: its route, its attempts, its end
 *   px_upstream.c  the connection an attempt goes over, and its answer
 *   px_gate.c      the own backend server: who may pass, who waits
 *   px_control.c   readiness, and heartbeats of the backend server
 *   px_compose.c   heads of requests and answers
 */
#ifndef PX_INTERNAL_H
#define PX_INTERNAL_H

#include <glib.h>

#include "base/ba_list.h"
#include "base/ba_rand.h"
#include "call/cl_admit.h"
#include "call/cl_carry.h"
#include "call/cl_pace.h"
#include "call/cl_retry.h"
#include "call/cl_route.h"
#include "call/cl_wait.h"
#include "http/ht_conn.h"
#include "http/ht_pool.h"
#include "http/ht_service.h"
#include "proxy/px.h"

enum {
	PX_HEAD_LIMIT_BYTES = 64 * 1024, /* when the configuration has none */
	PX_HOLD_BYTES = 64 * 1024,	 /* answers this short are sent whole */
	PX_STREAM_BYTES = 128 * 1024, /* of an answer that waits to be sent */
	PX_PEER_IDLE_MOST = 64,	      /* connections to one proxy that wait */
	PX_TRIES_LIMIT = 3,	      /* proxies asked for one request */
	PX_ATTEMPTS_DEFAULT = 2,
	PX_CONTROL_BYTES = 64 * 1024, /* of the body of a call to a proxy */
};

/* Of answers this large the bytes cost more than the wait for a near slot. */
#define PX_HEAVY_BYTES (32 * 1024)
#define PX_HEADER_TIMEOUT (5 * BA_SECOND)
#define PX_IDLE_TIMEOUT BA_MINUTE
#define PX_TIMEOUT_DEFAULT (10 * BA_SECOND)
#define PX_BODY_LIMIT_BYTES ((uint64_t)64 * 1024 * 1024)
#define PX_PEER_IDLE (20 * BA_SECOND)
#define PX_PEER_KEEP (BA_MINUTE)
#define PX_BACKEND_IDLE (4 * BA_SECOND)
#define PX_CONNECT_TIMEOUT BA_SECOND
/* Retries that all proxies together may have saved up for one service. */
#define PX_RETRY_FLEET 30.0
#define PX_RETURN_LEAST (200 * BA_MS)
#define PX_RETURN_CONFIGURED BA_SECOND
#define PX_RETURN_SPREAD (300 * BA_MS)

/* Fields between two proxies; they never reach a caller or backend server. */
#define PX_PRIVATE "caraway-"
#define PX_SERVICE "caraway-service"
#define PX_CALLER "caraway-caller"
#define PX_TIME_LEFT "caraway-time-left-us"
#define PX_PRIORITY "caraway-priority"
#define PX_ROUTE "caraway-route"
#define PX_TARGET_LEFT "caraway-target-left-us"
#define PX_LAST_TRY "caraway-last-try"
#define PX_NOT_RUN "caraway-not-run"
#define PX_LOAD "caraway-load"

struct px_front;

/** struct px_split - the turn of each part of a split route */
struct px_split {
	double *credit;
	size_t n;
};

/**
 * struct px_gate - the own backend server
 * @known: one has announced itself and has not gone
 * @beat: what it last said
 * @admit: who may pass
 * @pool: connections to it
 * @wait: how long requests may wait, and behind whom
 * @turn: fires at the end of a turn of the loop in which a slot became free
 */
struct px_gate {
	bool known;
	struct px_beat beat;
	struct cl_admit *admit;
	struct ht_pool *pool;
	struct cl_wait *wait;
	struct ba_timer turn;
};

/** struct px - one proxy */
struct px {
	struct ba_loop *loop;
	struct px_options o;
	const struct px_dialect *dialect;
	struct px_owner *owner;
	struct ht_acceptor callers;
	struct ht_acceptor peers;
	struct ht_service_owner controls;
	struct ht_listener *caller_listener;
	struct ht_listener *peer_listener;
	struct ht_service *ready;
	struct ht_service *beats;
	struct ba_list fronts;
	struct ba_list exchanges;
	unsigned int n_exchanges;
	struct cf_snapshot *snapshot;
	struct cl_router *router;
	bool routed;
	bool stopping;
	bool closed;
	uint32_t n_endpoints;
	GHashTable *retries;
	GHashTable *splits;
	GHashTable *seen;
	struct cl_pace pace;
	struct ht_link *link;
	struct cl_carry carry;
	GHashTable *pools;
	struct px_gate gate;
	struct ba_rand rand;
};

/**
 * struct px_seen - what was seen of the requests of a route
 * @patience: how long their callers wait
 * @bytes: smoothed size of its answers
 */
struct px_seen {
	struct cl_patience patience;
	double bytes;
};

/**
 * struct px_front - a connection of a caller or of another proxy
 * @exchange: the request that it is busy with, or NULL
 */
struct px_front {
	struct ht_owner owner;
	struct ba_list link;
	struct px *p;
	struct ht_conn *conn;
	bool from_peer;
	bool in_request;
	struct ba_buf body;
	struct px_exchange *exchange;
};

/** enum px_place - where an attempt is */
enum px_place {
	PX_NOWHERE,
	PX_QUEUED,     /* waits for a slot of the own backend server */
	PX_AT_BACKEND, /* at the own backend server */
	PX_AT_PEER,    /* at another proxy */
};

/**
 * struct px_exchange - one request from its last byte to its end
 * @route: name of its route, in @snapshot
 * @deadline: when the caller stops waiting, or the route's timeout
 * @idempotent: may run more than once
 * @runs: backend servers that may have begun to work on it
 * @most_runs: how many may
 * @tried: endpoints that did not take it, or failed
 * @last_try: no other proxy is asked after this one
 * @answer_bytes: of the body that has come
 * @paced: a large answer over the paid link
 * @not_run: the answer that is being read says so, with this code
 * @answering: the head has gone to the caller
 * @chunked: the body goes to the caller in chunks
 * @held: the answer as far as it has come, while it is not sent
 */
struct px_exchange {
	struct px *p;
	struct ba_list link;
	struct px_front *front;
	struct ba_timer timer;
	struct cf_snapshot *snapshot;
	const char *service;
	const char *route;
	char *caller;
	char *id;
	ba_time arrived;
	ba_time deadline;
	ba_time latency_target;
	uint32_t priority;
	bool idempotent;
	unsigned int runs;
	unsigned int most_runs;
	uint64_t tried[PX_TRIES_LIMIT];
	size_t n_tried;
	bool last_try;

	enum px_place place;
	struct ht_owner up;
	struct ht_conn *conn;
	struct ht_pool *pool;
	struct cl_endpoint *endpoint;
	struct cl_ticket ticket;
	struct cl_carried carried;
	ba_time sent_at;
	bool paced;
	bool fresh;
	uint64_t answer_bytes;
	int status;
	int not_run;
	bool answering;
	bool chunked;
	bool bodyless;
	int64_t length;
	struct ba_buf held;
	int last_code;
};

/** px_front_accept_caller() - a caller has connected */
void px_front_accept_caller(struct ht_acceptor *a, int fd);

/** px_front_accept_peer() - another proxy has connected */
void px_front_accept_peer(struct ht_acceptor *a, int fd);

/** px_front_done() - the answer has been written whole */
void px_front_done(struct px_front *f);

/** px_front_broken() - the answer cannot be ended: end the connection */
void px_front_broken(struct px_front *f);

/** px_front_free() - end the connection */
void px_front_free(struct px_front *f);

/** px_exchange_begin() - the request of @f is whole */
void px_exchange_begin(struct px_front *f);

/** px_exchange_bytes() - expected size of its answer */
double px_exchange_bytes(struct px_exchange *x);

/** px_exchange_gone() - the caller has left */
void px_exchange_gone(struct px_exchange *x);

/** px_exchange_attempt() - send it to the next endpoint, or end it */
void px_exchange_attempt(struct px_exchange *x);

/** px_exchange_not_run() - the attempt was not run, for @code */
void px_exchange_not_run(struct px_exchange *x, int code);

/** px_exchange_broken() - the attempt may have run and has no answer */
void px_exchange_broken(struct px_exchange *x, int code);

/**
 * px_exchange_failed() - the backend server has answered with a failure
 *
 * Return: whether the request is tried elsewhere instead.
 */
bool px_exchange_failed(struct px_exchange *x);

/** px_exchange_answered() - it earns its service a part of a retry */
void px_exchange_answered(struct px_exchange *x);

/** px_exchange_give_up() - answer now with what is known of it */
void px_exchange_give_up(struct px_exchange *x);

/** px_exchange_end() - nothing more is to be done for it */
void px_exchange_end(struct px_exchange *x);

/** px_exchange_leave() - give up what the attempt holds */
void px_exchange_leave(struct px_exchange *x, enum cl_seen seen);

/** px_upstream_backend() - send it to the own backend server */
void px_upstream_backend(struct px_exchange *x);

/** px_upstream_peer() - send it to the proxy beside @x->endpoint */
void px_upstream_peer(struct px_exchange *x);

/** px_gate_arrive() - it is for the own backend server */
void px_gate_arrive(struct px_exchange *x);

/**
 * px_gate_next() - let pass, or refuse, those that wait, at the end of this
 * turn of the loop: then the connection of the last answer can be used again
 */
void px_gate_next(struct px *p);

/** px_gate_on_turn() - that end */
void px_gate_on_turn(struct ba_timer *t, ba_time now);

/** px_gate_beat() - the backend server has announced itself */
void px_gate_beat(struct px *p, const struct px_beat *b);

/** px_gate_leave() - the backend server @backend has gone */
void px_gate_leave(struct px *p, const char *backend);

/** px_gate_open() - whether it takes new work for @service */
bool px_gate_open(const struct px *p, const char *service);

/** px_control_request() - the platform or the backend server has called */
void px_control_request(struct ht_service_owner *o, struct ht_request *r);

/** px_compose_request() - the request as the next one on its way gets it */
void px_compose_request(struct px_exchange *x, bool to_backend,
			struct ba_buf *out);

/** px_compose_answer() - the head of the answer as the caller gets it */
void px_compose_answer(struct px_exchange *x, const struct ht_head *h,
		       struct ba_buf *out);

/** px_compose_refusal() - a whole answer of the proxy's own */
void px_compose_refusal(struct px_exchange *x, int status, int code,
			struct ba_buf *out);

/** px_compose_plain() - an answer without a request, then the end */
void px_compose_plain(int status, struct ba_buf *out);

#endif
