/*
 * Private to proxy/:
 *
 *   px.c             start and stop, configuration and endpoints
 *   px_crowd.c       callers that hold more than there is for them
 *   px_downstream.c  downstream connections: of callers and of other proxies
 *   px_exchange.c    life of one request: route, attempts, retries, answer
 *   px_upstream.c    upstream connection of an attempt, and its answer
 *   px_backend.c     local backend server: admission, queueing, heartbeats
 *   px_gate.c        refusal where a request enters a service that is full
 *   px_poison.c      requests that crash backend servers
 *   px_team.c        teams of callers: keys and priority
 *   px_limit.c       limit and departure that the backend server states
 *   px_work.c        load and speed that the backend server states
 *   px_control.c     readiness checks and calls of the backend server
 *   px_departure.c   when its departures are acknowledged
 *   px_compose.c     messages that the proxy writes
 */
#ifndef PX_INTERNAL_H
#define PX_INTERNAL_H

#include <glib.h>

#include "base/ba_account.h"
#include "base/ba_chain.h"
#include "base/ba_list.h"
#include "base/ba_rand.h"
#include "call/cl_admit.h"
#include "call/cl_crash.h"
#include "call/cl_egress.h"
#include "call/cl_gate.h"
#include "call/cl_limit.h"
#include "call/cl_overrun.h"
#include "call/cl_pace.h"
#include "call/cl_poison.h"
#include "call/cl_retry.h"
#include "call/cl_route.h"
#include "call/cl_sched.h"
#include "call/cl_sizes.h"
#include "call/cl_split.h"
#include "call/cl_startup.h"
#include "call/cl_stated.h"
#include "endpoint/ep_presence.h"
#include "http/ht_conn.h"
#include "http/ht_pool.h"
#include "http/ht_service.h"
#include "proxy/px.h"
#include "report/rt_tally.h"

enum {
	/* Default for requests; also the limit of answers and control calls. */
	PX_HEAD_LIMIT_BYTES = 64 * 1024,
	PX_OUT_HIGH_WATER_BYTES = 128 * 1024, /* unsent; then reading pauses */
	PX_OUT_TIGHT_BYTES = 16 * 1024,	      /* the same, with memory short */
	PX_PEER_POOL_MAX_IDLE = 64,	      /* idle connections to a proxy */
	PX_MAX_ENDPOINTS_TRIED = 3,	      /* for one request */
	PX_DEFAULT_ATTEMPTS = 2,
	PX_REQUESTS_BEHIND_LIMIT = 7, /* in progress behind the first */
	PX_FOREIGN_ANSWERS_LIMIT = 4, /* skipped before the answer */
	PX_CONTROL_BODY_LIMIT_BYTES = 64 * 1024, /* of control calls */
	PX_MAX_PAUSED = 64, /* bodies that wait for memory */
};

/*
 * To transfer a larger answer over the paid link costs more than to wait for a
 * slot nearby.
 */
#define PX_LARGE_ANSWER_BYTES (32 * 1024)
#define PX_DEFAULT_HEADER_TIMEOUT (5 * BA_SECOND)
/* Default for connections of callers; also that of control connections. */
#define PX_DEFAULT_IDLE_TIMEOUT BA_MINUTE
#define PX_DEFAULT_ROUTE_TIMEOUT (10 * BA_SECOND)
#define PX_DEFAULT_BODY_LIMIT_BYTES ((uint64_t)64 * 1024 * 1024)
/* The body of a request is written in pieces, as the other end takes them. */
#define PX_BODY_PIECE_BYTES ((size_t)256 * 1024)
/* Of connections to another proxy, while they are in its pool. */
#define PX_PEER_POOL_IDLE_TIMEOUT (20 * BA_SECOND)
/* Of connections of another proxy; longer, so that it closes them first. */
#define PX_PEER_IDLE_TIMEOUT (BA_MINUTE)
#define PX_BACKEND_POOL_IDLE_TIMEOUT (4 * BA_SECOND)
#define PX_CONNECT_TIMEOUT BA_SECOND
/* Retries of a service that each request for it adds to the budget. */
#define PX_RETRY_RATIO 0.15
/* Of these, retries of requests that may have run. */
#define PX_RERUN_RATIO 0.05
/* Retries that one proxy may have saved for a service. */
#define PX_RETRY_BUDGET_MAX 2.0
/* Tokens left to requests whose callers cannot come back in time. */
#define PX_RETRY_RESERVE 1.0
/* An answer that waits for the link for longer is logged. */
#define PX_ANSWER_HELD_TIME BA_SECOND
#define PX_RETRY_AFTER_MIN (200 * BA_MS)
#define PX_RETRY_AFTER_NOT_CONFIGURED (400 * BA_MS)
/* Of a request that crashes backend servers. */
#define PX_RETRY_AFTER_CONVICTED (30 * BA_SECOND)
#define PX_RETRY_AFTER_JITTER (300 * BA_MS)

/* Fields between two proxies; they never reach a caller or backend server. */
#define PX_FIELD_PREFIX "caraway-"
#define PX_FIELD_SERVICE "caraway-service"
#define PX_FIELD_CALLER "caraway-caller"
#define PX_FIELD_TIME_LEFT "caraway-time-left-us"
#define PX_FIELD_PRIORITY "caraway-priority"
#define PX_FIELD_TEAM "caraway-team"
#define PX_FIELD_ROUTE "caraway-route"
#define PX_FIELD_TARGET_LEFT "caraway-target-left-us"
#define PX_FIELD_LEAVES_LEFT "caraway-leaves-left-us"
/* Names a request whose sender is about to leave; no request itself. */
#define PX_FIELD_LEAVING "caraway-leaving"
#define PX_FIELD_LAST_TRY "caraway-last-try"
#define PX_FIELD_NOT_RUN "caraway-not-run"
#define PX_FIELD_LOAD "caraway-load"
/* Calls, slots, speed and work of the backend server, and the time here. */
#define PX_FIELD_WORK "caraway-work"
/* What the backend server states, and when its limit has room again. */
#define PX_FIELD_STATED "caraway-stated"
#define PX_FIELD_ROOM "caraway-room-us"
/* In a request: what the sender was told of the backend server, and its age. */
#define PX_FIELD_TOLD "caraway-told"
/* The configuration version that the sender has in force. */
#define PX_FIELD_VERSION "caraway-version"

struct px_downstream;

/**
 * struct px_retry_budget - retry budget of a service
 * @all: for all retries
 * @reruns: for retries of requests that may have run, which are counted in @all
 *	too
 */
struct px_retry_budget {
	struct cl_retry all;
	struct cl_retry reruns;
};

/**
 * struct px_backend - the local backend server
 * @presence: which one it is, and whether it is there
 * @heartbeat: last heartbeat
 * @admit: admission control for its slots, and the queue of waiting requests
 * @pool: connections to it
 * @sched: order of waiting requests and how long they may wait
 * @dispatch_timer: fires at the end of a loop iteration in which a slot became
 *	free or a request was queued
 * @start: digest of its id and its start
 * @echoes_ids: it has named a request in an answer
 * @names_refusals: it has named a request in a rejection
 * @limit: what it states
 * @warm_at: when it is past its slow start
 * @work: speed that it states, and its work as measured
 * @n_sent: requests sent to it since the last line of the log about @limit
 * @logged_at: time of that line
 */
struct px_backend {
	struct ep_presence presence;
	struct px_heartbeat heartbeat;
	struct cl_admit *admit;
	struct ht_pool *pool;
	struct cl_sched *sched;
	struct ba_timer dispatch_timer;
	uint64_t start;
	bool echoes_ids;
	bool names_refusals;
	struct cl_limit limit;
	ba_time warm_at;
	struct cl_work work;
	uint64_t n_sent;
	ba_time logged_at;
};

/**
 * struct px_departure - departures of the local backend server
 * @waiters: calls of it that are answered once they are logged
 * @timer: fires when the first of them has waited too long
 * @logged: the last one that is in the log; its id is @logged_id
 */
struct px_departure {
	struct ba_list waiters;
	struct ba_timer timer;
	struct ep_lifetime logged;
	char logged_id[EP_ID_BYTES];
};

/**
 * struct px_poison - requests that crash backend servers
 * @table: what is known of requests
 * @generation: of the own report that the owner knows
 * @crash: what is known of the own backend server
 * @timer: next step of @crash
 * @check: test connection to the backend server, or NULL
 * @check_open: it has been opened
 * @hold_timer: fires when @check has been open for long enough
 */
struct px_poison {
	struct cl_poison *table;
	uint64_t generation;
	struct cl_crash crash;
	struct ba_timer timer;
	struct ht_conn_owner check_owner;
	struct ht_conn *check;
	bool check_open;
	struct ba_timer hold_timer;
};

/**
 * struct px_crowd - callers that hold more than there is for them
 * @timer: next look at what they hold, while it is too much
 * @paused: downstream connections whose bodies wait for memory
 * @n_paused: their number
 * @n_conns: open connections, of callers and of other proxies
 * @max_conns: limits of these, 0 for none
 */
struct px_crowd {
	struct ba_timer timer;
	struct ba_list paused;
	unsigned int n_paused;
	unsigned int n_conns[2];
	unsigned int max_conns[2];
};

/**
 * struct px_quota - quotas of teams
 * @tokens: what this instance may use of the limits
 * @timer: fires when the relay is to be asked for more
 * @refusals: refusals to log, by team
 */
struct px_quota {
	struct cl_quota *tokens;
	struct ba_timer timer;
	GHashTable *refusals;
};

/**
 * struct px - one proxy
 * @retry_budgets: struct px_retry_budget by service
 * @gates: struct px_gate by service
 * @splits: struct cl_split by route
 * @patience: struct cl_patience by route
 * @sizes: of answers
 * @begins_nothing: final answers have been given; no attempt begins any more
 * @leaves_at: when this proxy is about to leave, 0 while it is not stopping
 * @notices: calls to other proxies that tell them so
 * @memory: what callers, other proxies and the backend server make this one hold
 * @crowd: what is done when that is too much
 * @peer_pools: struct ht_pool by address of the other proxy
 * @stated: what their backend servers state
 * @tallies: of the own backend server, since @tally_timer was armed
 * @idle_report_at: when its next report is due, if it runs no calls
 */
struct px {
	struct ba_loop *loop;
	struct px_options o;
	const struct px_dialect *dialect;
	struct px_owner *owner;
	struct ht_acceptor caller_acceptor;
	struct ht_acceptor peer_acceptor;
	struct ht_service_owner control_owner;
	struct ht_listener *caller_listener;
	struct ht_listener *peer_listener;
	struct ht_service *ready_service;
	struct ht_service *heartbeat_service;
	struct ba_list downstreams;
	struct ba_list exchanges;
	unsigned int n_exchanges;
	struct cf_snapshot *snapshot;
	struct cl_router *router;
	ba_time started_at;
	bool endpoints_known;
	bool stopping;
	ba_time leaves_at;
	struct ba_list notices;
	struct ba_account *memory;
	struct px_crowd crowd;
	bool refuses_requests;
	bool begins_nothing;
	GHashTable *retry_budgets;
	GHashTable *gates;
	GHashTable *splits;
	GHashTable *patience;
	struct cl_sizes *sizes;
	struct cl_pace pace;
	struct ht_link *link;
	struct cl_egress egress;
	GHashTable *peer_pools;
	struct cl_stated_table *stated;
	struct px_backend backend;
	struct px_departure departure;
	struct px_poison poison;
	struct px_quota quota;
	struct rt_tallies *tallies;
	struct ba_timer tally_timer;
	ba_time idle_report_at;
	struct ba_rand rand;
};

/**
 * struct px_downstream - a connection of a caller or of another proxy
 * @is_behind: answers to earlier requests of the caller go before
 * @waits: the request has arrived, and begins when it is not behind any more
 * @in_request: a request has begun and its answer is not complete
 * @begun_at: when its first byte arrived
 * @body: body of the request, as far as it has arrived
 * @body_charge: for it and for its declared length
 * @moved_at: when something has come of a request, or an answer was taken
 * @paused_link: in the list of those that wait for memory, if it does
 * @paused_at: since when it waits
 * @exchange: the request that is being answered, or NULL
 * @answer_id: id of the last request if its answer is not all sent, or NULL
 * @answered_at: when that answer was complete
 */
struct px_downstream {
	struct ht_conn_owner owner;
	struct ba_list link;
	struct px *p;
	struct ht_conn *conn;
	bool from_peer;
	bool is_behind;
	bool waits;
	bool in_request;
	ba_time begun_at;
	struct ba_chain body;
	struct ba_charge body_charge;
	ba_time moved_at;
	struct ba_list paused_link;
	ba_time paused_at;
	struct px_exchange *exchange;
	char *answer_id;
	ba_time answered_at;
};

/** enum px_attempt_state - where the current attempt is */
enum px_attempt_state {
	PX_ATTEMPT_NONE,
	PX_ATTEMPT_HELD,       /* waits for a configuration or endpoints */
	PX_ATTEMPT_NO_TOKEN,   /* waits for tokens of its team */
	PX_ATTEMPT_RESUMED,    /* held until now; to be tried again */
	PX_ATTEMPT_QUEUED,     /* waits for a local slot */
	PX_ATTEMPT_AT_BACKEND, /* sent to the local backend server */
	PX_ATTEMPT_AT_PEER,    /* sent to another proxy */
};

/**
 * struct px_exchange - one request, from its last byte to the end of its answer
 * @arrived_at: when its first byte arrived, from which all of its times count
 * @route: name of its route, in @snapshot or in the head of the request
 * @team: the team that has its key, in @snapshot; NULL if it shows none, and at
 *	the second proxy
 * @team_name: name of its team, in @snapshot or in the head; NULL for none
 * @digest: of the parts that make it the same request as another
 * @caller_deadline: when the caller stops waiting, %BA_NEVER if unknown
 * @deadline: when the caller stops waiting or the route's timeout expires
 * @route_deadline: when the route's timeout expires, where it is known
 * @latency_target: latency target, as a point in time
 * @leaves_at: when the proxy that it came from is about to leave, 0 if not known
 * @is_told: the proxy that it came from told what the backend server states
 * @idempotent: may run more than once
 * @runs: number of backend servers that may have begun to work on it
 * @max_runs: limit of @runs
 * @may_return: its caller can be refused and be back before the target
 * @returned: its caller has less time left than others: a later attempt
 * @gated: the gate of its service has let it pass
 * @entered_late: it had missed its target before
 * @tried: endpoints that it was sent to
 * @last_try: no further proxy is tried if this attempt fails
 * @quota_until: until when it waits for a token of its team, 0 before it asked
 * @quota_taken: it has taken its token
 * @fresh: the upstream connection was opened for this attempt
 * @paced: a large answer is expected over the paid link
 * @body_written: bytes of the body that were passed to the connection
 * @body_pos: where they end
 * @backend_start: start of the local backend server that it was sent to
 * @foreign: the answer that is being read belongs to an earlier request
 * @from_backend: the answer that is being read was made by a backend server
 * @n_foreign: number of such answers in this attempt
 * @answer_bytes: length of the body received so far
 * @not_run_code: code of an answer that reports "not run", or 0
 * @unnamed: the answer that is being read names no request
 * @answering: the head of the answer has been written to the caller
 * @answering_at: when that was, or when it would have been if the answer were
 *	not held for other requests of the connection; 0 before
 * @checked_bytes: @answer_bytes when the answer was last found to go on
 * @chunked: the body is sent to the caller in chunks
 * @no_body: the answer to the caller has no body
 * @length: length of the answer's body, or %HT_LENGTH_UNKNOWN
 * @buffered_charge: for @buffered
 * @buffered: received part of the body that has not been sent yet
 * @last_code: why the last attempt failed, or 0
 */
struct px_exchange {
	struct px *p;
	struct ba_list link;
	struct px_downstream *downstream;
	struct ba_timer timer;
	struct cf_snapshot *snapshot;
	const char *service;
	const char *route;
	const struct cf_team *team;
	const char *team_name;
	char *caller;
	char *id;
	uint64_t digest;
	ba_time arrived_at;
	ba_time caller_deadline;
	ba_time deadline;
	ba_time route_deadline;
	ba_time latency_target;
	ba_time leaves_at;
	uint32_t priority;
	bool is_told;
	bool idempotent;
	unsigned int runs;
	unsigned int max_runs;
	bool may_return;
	bool returned;
	bool gated;
	bool entered_late;
	uint64_t tried[PX_MAX_ENDPOINTS_TRIED];
	size_t n_tried;
	bool last_try;

	enum px_attempt_state state;
	struct ht_conn_owner upstream;
	struct ht_conn *conn;
	struct ht_pool *pool;
	struct cl_endpoint *endpoint;
	struct cl_admit_call admission;
	struct cl_egress_reservation reservation;
	ba_time sent_at;
	size_t body_written;
	struct ba_chain_pos body_pos;
	uint64_t backend_start;
	uint32_t backend_speed;
	bool paced;
	ba_time quota_until;
	bool quota_taken;
	bool fresh;
	bool foreign;
	bool from_backend;
	unsigned int n_foreign;
	uint64_t answer_bytes;
	int status;
	int not_run_code;
	bool unnamed;
	bool answering;
	ba_time answering_at;
	uint64_t checked_bytes;
	bool chunked;
	bool no_body;
	int64_t length;
	struct ba_charge buffered_charge;
	struct ba_buf buffered;
	int last_code;
};

/** px_downstream_accept_caller() - serve a new connection of a caller */
void px_downstream_accept_caller(struct ht_acceptor *a, int fd);

/** px_downstream_accept_peer() - serve a new connection of another proxy */
void px_downstream_accept_peer(struct ht_acceptor *a, int fd);

/** px_downstream_finish_answer() - send a complete answer; read on or close */
void px_downstream_finish_answer(struct px_downstream *d);

/** px_downstream_note_answer() - note that the answer to @x is complete */
void px_downstream_note_answer(struct px_downstream *d,
			       const struct px_exchange *x);

/** px_downstream_closes() - whether the connection closes after the answer */
bool px_downstream_closes(const struct px_downstream *d);

/** px_downstream_abort() - cut off an answer that cannot be completed */
void px_downstream_abort(struct px_downstream *d);

/**
 * px_downstream_on_leaving() - process the notice that has arrived on @d
 *
 * The notice names a request by its id.
 */
void px_downstream_on_leaving(struct px_downstream *d);

/** px_downstream_free() - cancel the request and close the connection */
void px_downstream_free(struct px_downstream *d);

/** px_downstream_refuse_unread() - refuse a request that has not come whole */
void px_downstream_refuse_unread(struct px_downstream *d);

/**
 * px_crowd_init() - set the limits of memory and connections
 *
 * Unlimited where the options do not tell.
 */
void px_crowd_init(struct px *p);

/** px_crowd_free() - end what px_crowd_init() began */
void px_crowd_free(struct px *p);

/**
 * px_crowd_admit() - whether there is a descriptor for one more connection
 *
 * If not, the connection that has been idle for longest is closed for it.
 */
bool px_crowd_admit(struct px *p, bool from_peer);

/**
 * px_crowd_reserve() - reserve memory for a body of the declared length @bytes
 *
 * Return: whether there is memory for it; if not, the request is to be refused.
 */
bool px_crowd_reserve(struct px_downstream *d, size_t bytes);

/**
 * px_crowd_grow() - account for a body that has grown
 *
 * Without memory for it, the connection is not read until there is some.
 *
 * Return: false if too many wait already; the request is to be refused.
 */
bool px_crowd_grow(struct px_downstream *d);

/** px_crowd_unpause() - a body does not wait for memory any more */
void px_crowd_unpause(struct px_downstream *d);

/** px_crowd_high_water() - unsent bytes at which the reading of an answer pauses */
size_t px_crowd_high_water(struct px *p);

/** px_crowd_max_control() - limit the connections of a control port */
unsigned int px_crowd_max_control(const struct px *p);

/** px_crowd_leave() - a downstream connection is about to be freed */
void px_crowd_leave(struct px_downstream *d);

/** px_crowd_watch() - look at what callers hold, if memory is short */
void px_crowd_watch(struct px *p);

/** px_exchange_begin() - start processing the complete request of @d */
void px_exchange_begin(struct px_downstream *d);

/**
 * px_exchange_may_begin_behind() - whether the request of @d, which others of
 * its caller precede, may begin before they are answered
 */
bool px_exchange_may_begin_behind(const struct px_downstream *d);

/** px_exchange_expected_bytes() - estimate the size of the answer */
double px_exchange_expected_bytes(struct px_exchange *x);

/**
 * px_exchange_find() - find a request whose current attempt is in @state
 *
 * Searches from the start: ending one request may end others in the list.
 */
struct px_exchange *px_exchange_find(struct px *p, enum px_attempt_state state);

/** px_exchange_resume() - try the requests that wait in @state again */
void px_exchange_resume(struct px *p, enum px_attempt_state state);

/** px_exchange_refuse() - answer a request that has not run and will not */
void px_exchange_refuse(struct px_exchange *x, int status, int code);

/** px_exchange_cancel() - cancel a request whose caller has disconnected */
void px_exchange_cancel(struct px_exchange *x);

/** px_exchange_attempt() - send to the next endpoint, or fail the request */
void px_exchange_attempt(struct px_exchange *x);

/** px_exchange_on_not_run() - handle an attempt that was not run, for @code */
void px_exchange_on_not_run(struct px_exchange *x, int code);

/** px_exchange_on_broken() - handle a lost attempt that may have run */
void px_exchange_on_broken(struct px_exchange *x, int code);

/**
 * px_exchange_retry_error() - retry after a 5xx answer of the backend server
 *
 * Return: whether the request is retried; else the answer is to be delivered.
 */
bool px_exchange_retry_error(struct px_exchange *x);

/** px_exchange_is_answered() - whether an answer to it is arriving */
bool px_exchange_is_answered(const struct px_exchange *x);

/** px_exchange_leaves_at() - when a proxy of the request leaves, or %BA_NEVER */
ba_time px_exchange_leaves_at(const struct px_exchange *x);

/** px_exchange_record_answer() - update answer size and retry budget */
void px_exchange_record_answer(struct px_exchange *x);

/**
 * px_exchange_give_up() - end the attempt and give the final answer now
 *
 * No answer to the request may have begun.
 */
void px_exchange_give_up(struct px_exchange *x);

/** px_exchange_free() - unlink and free the request */
void px_exchange_free(struct px_exchange *x);

/** px_exchange_end_attempt() - release what the attempt holds */
void px_exchange_end_attempt(struct px_exchange *x,
			     enum cl_attempt_result result);

/**
 * px_upstream_take_back() - do not count the attempt in progress as a run if
 * nothing can have been passed on to a backend server
 */
void px_upstream_take_back(struct px_exchange *x);

/** px_upstream_announce_leaving() - tell the other proxy of @x when we leave */
void px_upstream_announce_leaving(struct px_exchange *x);

/** px_upstream_end_notices() - close the calls that tell of our leaving */
void px_upstream_end_notices(struct px *p);

/** px_upstream_send_backend() - send the request to the local backend server */
void px_upstream_send_backend(struct px_exchange *x);

/** px_upstream_send_peer() - send the request to the proxy of @x->endpoint */
void px_upstream_send_peer(struct px_exchange *x);

/** px_backend_admit() - start, queue or refuse the request */
void px_backend_admit(struct px_exchange *x);

/**
 * px_backend_schedule_dispatch() - start or refuse queued requests at the end
 * of this loop iteration, when the connection of the last answer is idle again
 */
void px_backend_schedule_dispatch(struct px *p);

/** px_backend_on_dispatch() - start or refuse queued requests */
void px_backend_on_dispatch(struct ba_timer *t, ba_time now);

/** px_backend_on_heartbeat() - process a heartbeat of the backend server */
void px_backend_on_heartbeat(struct px *p, const struct px_heartbeat *hb);

/** px_backend_deregister() - stop using the backend server that leaves */
void px_backend_deregister(struct px *p, const struct ep_departure *d);

/**
 * px_backend_find_departure() - what the backend server has said of its leaving
 * @start_wall_ms: its start, 0 if not stated
 * @out: borrows the id
 *
 * Return: whether it is the last one that is known, and drains or has left.
 */
bool px_backend_find_departure(const struct px *p, const char *backend,
			       int64_t start_wall_ms, struct ep_lifetime *out);

/** px_backend_on_departure() - announce that the backend server leaves */
void px_backend_on_departure(struct px *p);

/** px_backend_is_leaving() - whether it is draining, as it told in any way */
bool px_backend_is_leaving(const struct px_backend *be);

/** px_backend_room_at() - when the stated limit has room for one more request */
ba_time px_backend_room_at(const struct px *p);

/** px_backend_accepts() - whether it accepts new requests for @service */
bool px_backend_accepts(const struct px *p, const char *service);

/**
 * px_team_identify() - find the team of a request that has entered here
 * @r: its route
 *
 * Sets the team and the priority of @x.  Does nothing if the configuration has
 * no teams.
 *
 * Return: %BA_OK, %CL_TEAM_KEY_MISSING or %CL_TEAM_KEY_UNKNOWN.
 */
int px_team_identify(struct px_exchange *x, const struct cf_route *r);

/**
 * px_team_hides() - whether a field of the request is not passed on, because it
 * shows a key or names a team
 */
bool px_team_hides(const struct px_exchange *x, const char *field);

/**
 * px_gate_admits() - whether a request that enters is offered to endpoints
 *
 * Its route, service, priority and target must be set.
 */
bool px_gate_admits(struct px_exchange *x);

/** px_gate_on_accepted() - an endpoint has run the request */
void px_gate_on_accepted(struct px_exchange *x);

/** px_gate_on_refused() - it was offered, and is refused for @code */
void px_gate_on_refused(struct px_exchange *x, int code);

/** px_poison_init() - know nothing of any request */
void px_poison_init(struct px *p);

/** px_poison_free() - end the test connection and free what is known */
void px_poison_free(struct px *p);

/**
 * px_poison_digest() - compute what identifies a request
 *
 * The same at the proxy that it entered and at the one beside the endpoint.
 */
uint64_t px_poison_digest(const struct ht_head *h, const char *caller,
			  const struct ba_chain *body);

/** px_poison_refuses() - whether the request must not run; counts refusals */
bool px_poison_refuses(struct px_exchange *x);

/** px_poison_suspects() - whether the request may have crashed others */
bool px_poison_suspects(const struct px_exchange *x);

/** px_poison_on_abandoned() - handle an attempt that the proxy itself ended */
void px_poison_on_abandoned(struct px_exchange *x);

/** px_poison_on_lost() - handle the end of a connection at the backend server */
void px_poison_on_lost(struct px_exchange *x);

/** px_poison_on_refused() - handle a refused connection to the backend server */
void px_poison_on_refused(struct px *p);

/** px_poison_on_opened() - handle a new connection that has brought an answer */
void px_poison_on_opened(struct px_exchange *x);

/** px_poison_on_start() - handle the heartbeat of a new start */
void px_poison_on_start(struct px *p);

/** px_poison_on_leave() - handle the planned end of the backend server */
void px_poison_on_leave(struct px *p);

/** px_poison_on_answered() - handle a complete answer of a backend server */
void px_poison_on_answered(struct px_exchange *x);

/** px_poison_on_refusal() - handle that another proxy refuses the request */
void px_poison_on_refusal(struct px_exchange *x);

/** px_poison_learn() - process the reports of the other proxies */
void px_poison_learn(struct px *p, const struct ep_view *v);

/** px_quota_init() - begin without limits */
void px_quota_init(struct px *p);

/** px_quota_free() - free what px_quota_init() set up */
void px_quota_free(struct px *p);

/** px_quota_configure() - use the limits of the snapshot from now on */
void px_quota_configure(struct px *p);

/**
 * px_quota_admits() - take a token for a request of a caller
 *
 * Return: whether it may go on.  If not, it waits and is begun again, or has
 * been refused.
 */
bool px_quota_admits(struct px_exchange *x);

/** px_quota_put_back() - give back the token just taken: @x is not sent */
void px_quota_put_back(struct px_exchange *x);

/** px_quota_refuse() - refuse a request that has waited in vain */
void px_quota_refuse(struct px_exchange *x);

/** px_quota_retry_after() - when a refused request may be admitted */
ba_time px_quota_retry_after(const struct px_exchange *x);

/** px_limit_on_start() - forget what an earlier start of the backend server said */
void px_limit_on_start(struct px *p);

/** px_limit_on_answer() - process what an answer of the backend server states */
void px_limit_on_answer(struct px_exchange *x, const struct cl_statement *s);

/** px_limit_on_told() - process what another proxy was told, from its request */
void px_limit_on_told(struct px_exchange *x);

/** px_read_duration() - read a time of another proxy; a day at most either way */
ba_time px_read_duration(const char *text);

/** px_note_version() - pass on which version the other proxy has in force */
void px_note_version(struct px *p, const struct ht_head *h);

/** px_limit_on_stated() - process what another proxy tells with an answer */
void px_limit_on_stated(struct px_exchange *x, const struct ht_head *h);

/** px_limit_write_stated() - write what the own backend server states */
void px_limit_write_stated(const struct px_exchange *x, struct ba_buf *out);

/** px_limit_write_told() - write what is known of the endpoint of @x */
void px_limit_write_told(const struct px_exchange *x, struct ba_buf *out);

/** px_work_on_answer() - take in the load that an answer to @x states */
void px_work_on_answer(struct px_exchange *x, const struct px_stated_load *l);

/** px_work_record() - record that @x was served by the own backend server */
void px_work_record(struct px_exchange *x);

/**
 * px_work_now() - state of the own backend server
 *
 * Return: false if it does not state the speed of its work.
 */
bool px_work_now(const struct px *p, struct cl_place_report *out);

/** px_work_write() - write that state into an answer to another proxy */
void px_work_write(const struct px_exchange *x, struct ba_buf *out);

/** px_work_on_told() - take in what the proxy of an endpoint has written */
void px_work_on_told(struct px_exchange *x, const struct ht_head *h);

/** px_departure_init() - none is logged */
void px_departure_init(struct px *p);

/** px_departure_free() - forget the calls that wait */
void px_departure_free(struct px *p);

/** px_departure_log() - have @l logged; nobody waits for it */
void px_departure_log(struct px *p, const struct ep_lifetime *l);

/**
 * px_departure_wait() - answer @r once @l is logged, or in time that it is not
 *
 * Return: false if it is; then the caller answers.
 */
bool px_departure_wait(struct px *p, struct ht_request *r,
		       const struct ep_lifetime *l);

/** px_departure_on_cancelled() - a call that may wait has ended */
void px_departure_on_cancelled(struct ht_service_owner *o,
			       struct ht_request *r);

/** px_control_on_request() - answer a call of the platform or backend server */
void px_control_on_request(struct ht_service_owner *o, struct ht_request *r);

/** px_compose_request() - write the request for the next hop, but its body */
void px_compose_request(struct px_exchange *x, bool to_backend,
			struct ba_buf *out);

/** px_compose_notice() - write the notice that this proxy leaves, about @x */
void px_compose_notice(const struct px_exchange *x, struct ba_buf *out);

/** px_compose_answer_head() - write the head of the answer to the caller */
void px_compose_answer_head(struct px_exchange *x, const struct ht_head *h,
			    struct ba_buf *out);

/** px_compose_error() - write a complete answer that reports @code */
void px_compose_error(struct px_exchange *x, int status, int code,
		      struct ba_buf *out);

/** px_compose_unread() - refuse, as not run, a request that is not read */
void px_compose_unread(struct px_downstream *d, int code, struct ba_buf *out);

/**
 * px_compose_bodyless() - write an answer without a body
 *
 * The answer states that the connection is closed after it.
 */
void px_compose_bodyless(int status, struct ba_buf *out);

/** px_rollout_init() - no tallies yet */
void px_rollout_init(struct px *p);

/** px_rollout_free() - free the tallies */
void px_rollout_free(struct px *p);

/**
 * px_rollout_count() - count a call that was sent to the own backend server
 *
 * Only while a roll-out of its service runs.
 */
void px_rollout_count(struct px_exchange *x, enum cl_attempt_result result);

/** px_rollout_check() - begin to report if a roll-out has begun */
void px_rollout_check(struct px *p);

/** px_rollout_bars() - whether the own backend server's version gets no calls */
bool px_rollout_bars(const struct px *p);

#endif
