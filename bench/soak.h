/*
 * Stand-ins of callers, backend servers and the operator for a deployment of
 * caraway-core and caraway-proxy, all in one process, and the schedule of its
 * planned stops.
 *
 * Rules:
 * - The stand-ins use the published protocols only.
 * - Callers use their open connections until the proxy's process is gone.
 * - A request is CUT if it was sent in full and its connection ended without a
 *   complete answer before the caller's budget was over, unless no endpoint got
 *   it and it had been sent no longer than %SOAK_LOSS_SLACK before.
 * - A failure that a stopping proxy gives in place of an answer at which the
 *   backend server is at work counts as CUT.
 * - A backend server in trouble sends improper answers, refuses requests at
 *   random, and writes a refusal once more on a kept connection.
 * - A crowd of connections sends bodies or heads that stop short of their end, or
 *   requests whose answers it does not read; what is closed is opened again.
 * - An overloaded backend server states a limit, one that leaves its departure, in
 *   all answers.  LIMIT and DRAIN count requests that reach it nevertheless.
 */
#ifndef SOAK_H
#define SOAK_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include <glib.h>

#include "base/ba_list.h"
#include "base/ba_loop.h"
#include "base/ba_rand.h"
#include "base/ba_unit.h"
#include "http/ht_conn.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { SOAK_HEAD_LIMIT_BYTES = 16 * 1024, SOAK_ID_BYTES = 32 };

#define SOAK_LOSS_SLACK (250 * BA_MS)
/* A request sent sooner after a crash is not judged. */
#define SOAK_CALM_TIME (3 * BA_SECOND)

/** enum soak_outcome - outcome of a request as its caller saw it */
enum soak_outcome {
	SOAK_WHOLE,    /* complete answer of an endpoint */
	SOAK_REFUSED,  /* 408, 421, 429 or 503 */
	SOAK_FAILED,   /* another failure, of the proxy or the endpoint */
	SOAK_REPLACED, /* a failure of a stopping proxy, for a made answer */
	SOAK_WRONG,    /* the answer is not the endpoint's, or none */
	SOAK_FALSE_REFUSAL, /* refused as not run, but it has run */
	SOAK_NOT_SENT,	    /* no connection */
	SOAK_UNREAD,	    /* the close crossed the request */
	SOAK_LATE,	    /* the caller's budget was over */
	SOAK_CUT,	    /* by the planned stop of the caller's proxy */
	SOAK_CUT_ALLOWED,   /* the same, with the endpoint at work to the end */
	SOAK_CUT_OTHER,	    /* no stop of the caller's proxy */
	SOAK_CUT_UNCALM,    /* with a crash shortly before */
	SOAK_OUTCOMES,
};

/**
 * struct soak_process - a process of the system
 * @at: it listens there
 * @terminated_at: time of its last SIGTERM, 0 for none
 * @disturbed_at: when it last started or was thawed
 * @restart_at: when to start it again, 0 while it runs
 * @stopping: it has got SIGTERM and has not ended yet
 * @crashed: it has been killed and has not ended yet
 * @descriptors: limit of them, 0 for that of this process
 * @frozen: it has got SIGSTOP and no SIGCONT yet
 */
struct soak_process {
	char *program;
	char *settings;
	char *output;
	struct ba_address at;
	pid_t pid;
	int descriptors;
	ba_time terminated_at;
	ba_time disturbed_at;
	ba_time restart_at;
	bool stopping;
	bool crashed;
	bool frozen;
};

struct soak_statement;

/**
 * struct soak_machine - an instance with a proxy, a backend server and callers
 * @conns: open connections of its callers
 * @arrival: timer of the next request of its callers
 * @in_flight: requests at its backend server
 * @statement: what its backend server states, NULL if it never does
 */
struct soak_machine {
	struct soak *soak;
	struct soak_process process;
	char name[SOAK_ID_BYTES];
	const char *service;
	const char *data_centre;
	struct ba_address ready;
	struct ba_address registration;
	struct ba_address backend;
	struct ht_acceptor backend_acceptor;
	struct ht_listener *backend_listener;
	struct ba_list conns;
	struct ba_timer arrival;
	struct ba_timer heartbeat;
	uint64_t sequence;
	int64_t start_wall_ms;
	bool was_ready;
	int in_flight;
	struct soak_statement *statement;
};

/**
 * struct soak_request - a request, from its sending to its end
 * @bytes: length of its answer's body
 * @worked_until: when its endpoint had ended its work, 0 if none got it,
 *	%BA_NEVER while one is at work
 * @order: it must not run twice
 * @improper: its endpoint sent an improper answer
 */
struct soak_request {
	char id[SOAK_ID_BYTES];
	struct soak_machine *machine;
	const char *endpoint;
	size_t bytes;
	size_t read;
	ba_time sent_at;
	ba_time budget_end;
	ba_time worked_until;
	bool order;
	bool improper;
	bool right;
};

/** enum soak_crowd_kind - what the connections of a crowd do */
enum soak_crowd_kind {
	SOAK_CROWD_BODIES, /* send chunked bodies that do not end */
	SOAK_CROWD_HEADS,  /* send heads that do not end */
	SOAK_CROWD_WHOLE,  /* send chunked bodies that end */
	SOAK_CROWD_UNREAD, /* send requests and do not read the answers */
};

struct crowd_conn;

/**
 * struct soak_crowd - a crowd, and what processes use meanwhile
 * @n: its connections
 * @body_bytes: length of a body, a head or an answer
 * @chunk_bytes: length of a chunk
 * @n_refused: answers with an error that it got
 * @n_served: answers with 200
 * @n_closed: its connections that were closed
 * @whole_before: complete answers of callers before its end
 * @peak_kb: highest resident memory of a proxy, in KB
 * @core_peak_kb: the same of a core
 * @peak_fds: most descriptors of a process
 */
struct soak_crowd {
	struct ba_timer measure;
	struct crowd_conn *conns;
	int n;
	enum soak_crowd_kind kind;
	size_t body_bytes;
	size_t chunk_bytes;
	bool on;
	uint64_t n_opened;
	uint64_t n_refused;
	uint64_t n_served;
	uint64_t n_closed;
	uint64_t whole_before;
	uint64_t peak_kb;
	uint64_t core_peak_kb;
	uint64_t peak_fds;
};

/**
 * struct soak_call - a control call; the owner embeds it
 * @done: called once; @status is 0 without a complete answer
 * @cut: it was sent longer than %SOAK_LOSS_SLACK ago, and the other end closed
 *	without a complete answer
 * @crossed: the same, sent no longer ago
 * @location: host and port that it is redirected to, or ""
 */
struct soak_call {
	struct ht_conn_owner owner;
	struct ht_conn *conn;
	void (*done)(struct soak_call *c);
	struct ba_loop *loop;
	ba_time sent_at;
	int status;
	bool cut;
	bool crossed;
	char location[SOAK_ID_BYTES];
};

/**
 * struct soak_rollout - a roll-out of the service that is called
 * @duration: of the order, 0 if none is given
 * @bad: the target version fails half of its calls from the order on
 * @call: sends the order, until it is accepted
 * @core: index of the core that gets the next try
 * @send_at: when the order is sent, %BA_NEVER once it is accepted
 * @ordered_at: when it was sent first, 0 before
 * @judged_at: when the 50th bad answer was sent
 * @n_runs: calls that ran within the duration
 * @n_target: of these, at the target version
 * @n_failed: bad answers
 * @n_late: calls at a bad version after the time that a roll-back may take
 * @n_last: calls of the last seconds of the run, by version
 */
struct soak_rollout {
	ba_time duration;
	gboolean bad;
	struct soak_call call;
	int core;
	bool sending;
	ba_time send_at;
	ba_time ordered_at;
	ba_time judged_at;
	uint64_t n_runs;
	uint64_t n_target;
	uint64_t n_failed;
	uint64_t n_late;
	uint64_t n_last[2];
};

/**
 * struct soak - one run
 * @requests: unfinished requests by id
 * @crashed_at: time of the last crash
 * @grace: time from SIGTERM to SIGKILL
 * @rate: requests a second of one machine's callers
 * @budget: how long a caller waits
 * @work_time: mean time that a backend server works
 * @outcomes: number of requests by outcome
 * @heartbeats_cut: heartbeats that a stopping proxy left unanswered
 * @heartbeats_crossed: heartbeats that crossed its close
 * @orders_cut: orders that a stopping core left unanswered
 * @n_callers: machines with callers
 * @n_called: machines whose backend servers they call
 * @judged_share: of the stated limits, by which LIMIT is judged
 * @n_limited: requests that reached a backend server with a limit
 * @n_limit_broken: requests beyond what LIMIT allows
 * @n_drain_broken: requests beyond what DRAIN allows
 * @improper_one_in: answers of backend servers of which one is improper, 0 for
 *	none
 * @n_improper: improper answers
 * @n_refusals_again: refusals that were written once more
 * @n_twice: orders that ran twice
 * @descriptors: limit of those of a process, 0 for that of this process
 * @calling: callers send requests
 * @rollout: the roll-out that is ordered, if its duration is set
 */
struct soak {
	struct ba_loop *loop;
	struct ba_rand rand;
	struct soak_machine *machines;
	int n_machines;
	struct soak_process *cores;
	int n_cores;
	GHashTable *requests;
	ba_time started_at;
	ba_time crashed_at;
	ba_time grace;
	double rate;
	ba_time budget;
	ba_time work_time;
	int mean_bytes;
	int slots;
	uint64_t n_requests;
	uint64_t outcomes[SOAK_OUTCOMES];
	uint64_t heartbeats_cut;
	uint64_t heartbeats_crossed;
	uint64_t orders_cut;
	int n_callers;
	int n_called;
	double judged_share;
	uint64_t n_limits;
	uint64_t n_departures;
	uint64_t n_limited;
	uint64_t n_limit_broken;
	uint64_t n_drain_broken;
	int improper_one_in;
	uint64_t n_improper;
	uint64_t n_refusals_again;
	uint64_t n_twice;
	struct soak_crowd crowd;
	int descriptors;
	bool calling;
	struct soak_rollout rollout;
};

/** soak_rollout_version() - version that a backend server states */
const char *soak_rollout_version(const struct soak_machine *m);

/** soak_rollout_step() - send the order when it is due; @end: of all calls */
void soak_rollout_step(struct soak *s, ba_time now, ba_time end);

/**
 * soak_rollout_on_work() - judge a call that begins to run
 *
 * Return: whether it is to fail.
 */
bool soak_rollout_on_work(struct soak_machine *m);

/** soak_rollout_print() - print the results as members of a JSON object */
void soak_rollout_print(const struct soak *s);

/** soak_fill() - write bytes @from to @from + @len of the answer to @id */
void soak_fill(const char *id, size_t from, uint8_t *out, size_t len);

/** soak_callers_start() - start the callers of @m */
void soak_callers_start(struct soak_machine *m);

/** soak_backend_start() - start the backend server of @m, with heartbeats */
int soak_backend_start(struct soak_machine *m);

/** soak_limit_start() - let the backend server of @m state limits and leave */
void soak_limit_start(struct soak_machine *m);

/** soak_limit_on_arrival() - judge a request that reaches a backend server */
void soak_limit_on_arrival(struct soak_machine *m,
			   const struct soak_request *r);

/** soak_limit_write() - write what an answer to @r states */
void soak_limit_write(struct soak_machine *m, const struct soak_request *r,
		      struct ba_buf *out);

/** soak_crowd_start() - open the connections of the crowd */
void soak_crowd_start(struct soak *s);

/** soak_crowd_end() - close them */
void soak_crowd_end(struct soak *s);

/** soak_measure_start() - measure memory and descriptors of all processes */
void soak_measure_start(struct soak *s);

/** soak_call_send() - send a control call on a connection of its own */
void soak_call_send(struct ba_loop *loop, struct soak_call *c,
		    const struct ba_address *to, const char *head,
		    const char *body);

/** soak_process_start() - start the process @p */
void soak_process_start(struct soak_process *p);

/** soak_process_poll() - whether a started process has ended since */
bool soak_process_poll(struct soak_process *p);

/** soak_exponential() - draw from the exponential distribution */
ba_time soak_exponential(struct ba_rand *r, double per_second);

/** soak_log() - write a line with the time since the start */
void soak_log(struct soak *s, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

#ifdef __cplusplus
}
#endif
#endif
