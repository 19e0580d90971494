/*
 * Settings, shared state and worker threads of carawayd.
 *
 * All workers share one struct da_shared.  Each worker runs an event loop with
 * its own HTTP server and clients, and a call stays on the worker that
 * accepted it.
 *
 * Lock order: da_shared.lock, then those of report/ and base/.
 */
#ifndef DA_H
#define DA_H

#include <pthread.h>

#include <glib.h>

#include "base/ba_drain.h"
#include "base/ba_list.h"
#include "base/ba_loop.h"
#include "base/ba_rand.h"
#include "call/cl.h"
#include "call/cl_admit.h"
#include "call/cl_key.h"
#include "call/cl_dedup.h"
#include "call/cl_retry.h"
#include "call/cl_route.h"
#include "config/cf.h"
#include "endpoint/ep.h"
#include "prog/pr.h"

enum { DA_MAX_CALLS_IN_PROGRESS = 2048 };

/**
 * struct da_settings - settings file of carawayd
 * @slots: concurrent calls that the backend server can run
 * @connections: connections that it accepts, from all workers together
 */
struct da_settings {
	struct pr_common common;
	struct ba_address caller_address;
	struct ba_address peer_address;
	struct ba_address external_peer_address;
	struct ba_address control_address;
	char *data_folder;
	int64_t workers;
	struct ba_addresses relays;
	char *backend_service;
	struct ba_address backend_address;
	int64_t slots;
	int64_t connections;
};

struct rt_figures;

/**
 * struct da_shared - state that the workers share; @lock protects all of it
 * @retry_budgets: retry budgets, struct cl_retry by service name
 * @max_weight: greatest weight of any service in the policy
 * @own_weight: weight of the service of the own backend server
 * @draining: the backend server accepts only calls with a key that was issued
 *	before the drain
 * @closing: all new calls are refused, from callers and from other daemons
 * @work_deadline: while draining, a call that arrives after this time must
 *	not reach the backend server
 * @current_until: until when @snapshot counts as the newest; without that, a
 *	route that is not in it may be a new one
 * @in_progress: number of calls that have not ended
 */
struct da_shared {
	pthread_mutex_t lock;
	const struct da_settings *settings;
	const struct wi_identity *identity;
	struct rt_figures *figures;
	struct cf_snapshot *snapshot;
	struct cl_router *router;
	struct cl_admit *admit;
	struct cl_dedup *dedup;
	struct cl_owners *owners;
	GHashTable *retry_budgets;
	uint32_t max_weight;
	uint32_t own_weight;
	bool draining;
	bool closing;
	ba_time work_deadline;
	ba_time current_until;
	unsigned int in_progress;
};

struct da_http;
struct da_client;
struct da_peers;
struct da_peer_server;

/**
 * struct da_worker - a thread with its event loop
 * @http_server: HTTP server for callers
 * @peer_server: server for sessions of other daemons, on the first worker only
 * @calls: calls that have not ended
 * @ready_calls: calls whose answer changed in this iteration of the loop
 * @ready_timer: runs da_call_notify_ready() at the end of a loop iteration
 * @sweep_timer: runs da_call_sweep() periodically while there are calls
 * @stop_deadline: when a stop no longer waits for other daemons
 * @drain: the wait for other daemons to read their answers during a stop
 */
struct da_worker {
	struct da_shared *shared;
	struct ba_loop *loop;
	pthread_t thread;
	struct da_http *http_server;
	struct da_peer_server *peer_server;
	struct da_client *client;
	struct da_peers *peers;
	struct ba_rand rand;
	struct ba_list calls;
	struct ba_list ready_calls;
	struct ba_timer ready_timer;
	struct ba_timer sweep_timer;
	struct ba_timer drain_timer;
	ba_time stop_deadline;
	struct ba_drain drain;
};

#endif
