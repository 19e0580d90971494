/*
 * The parts of carawayd.  Workers share one set of tables; each worker runs
 * one loop with its own HTTP server and clients, and a call stays on the
 * worker that took it in.
 *
 * Lock order: da_tables.lock, then those of report/ and base/.
 */
#ifndef DA_H
#define DA_H

#include <pthread.h>

#include <glib.h>

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

enum { DA_CALLS_LIMIT = 2048 };

/** struct da_settings - the settings file of carawayd */
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
 * struct da_tables - what the workers share, all under @lock
 * @retries: struct cl_retry by service
 * @heaviest: greatest weight of the policy
 * @connected: a relay is heard, so that keys may be run
 * @draining: the backend server takes no new work
 * @closing: callers are refused too
 * @in_progress: calls that have not ended
 */
struct da_tables {
	pthread_mutex_t lock;
	const struct da_settings *settings;
	const struct wi_identity *identity;
	struct rt_figures *figures;
	struct cf_snapshot *snapshot;
	struct cl_router *router;
	struct cl_admit *admit;
	struct cl_dedup *once;
	struct cl_owners *owners;
	GHashTable *retries;
	uint32_t heaviest;
	uint32_t own_weight;
	bool draining;
	bool closing;
	ba_time work_deadline;
	unsigned int in_progress;
};

struct da_http;
struct da_client;
struct da_peers;
struct da_serve;

/**
 * struct da_worker - one thread with its loop
 * @serve: sessions of other daemons, on the first worker only
 * @calls: calls that have not ended
 * @ready: calls whose answer has moved in this turn of the loop
 */
struct da_worker {
	struct da_tables *tables;
	struct ba_loop *loop;
	pthread_t thread;
	struct da_http *callers;
	struct da_serve *serve;
	struct da_client *client;
	struct da_peers *peers;
	struct ba_rand rand;
	struct ba_list calls;
	struct ba_list ready;
	struct ba_timer turn;
	struct ba_timer sweep;
};

#endif
