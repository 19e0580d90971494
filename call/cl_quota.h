/*
 * Quotas of teams over all instances together: the share of one instance.
 *
 * Answers the load of a team that sends more than its limit, to any instances:
 * in any window no more of its requests may run than its limit allows, while
 * instances are cut off, suspended or restarted, and what stays below the limit
 * is not refused.
 *
 * Rules:
 * - Each instance owns an equal share of each limit.  Tokens come into being
 *   nowhere else.  An instance in touch with a relay lends it its shares for
 *   a time, and is granted tokens out of the pool of all that are lent there
 *   (call/cl_quota_pool.h).  An instance that is alone uses its own share, from
 *   the time on at which the loan has ended for both sides.
 * - A loan is counted by the relay from a time that it stamped itself, and by
 *   the instance from a later one, so that no clocks are compared.
 * - Tokens are granted for a time, which counts from the question for them on
 *   the clock of the instance.
 * - The tokens that exist at a time are bounded by cl_quota_stock(), and so no
 *   more than that are used in any window besides those that accrue in it.
 */
#ifndef CL_QUOTA_H
#define CL_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/ba_clock.h"
#include "config/cf.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Time for which a limit is stated, and by how much it may be exceeded. */
#define CL_QUOTA_WINDOW (5 * BA_SECOND)
#define CL_QUOTA_OVERAGE 0.1
#define CL_QUOTA_SLACK 20 /* requests */

/* Tokens that are granted at the limit for this time are within the overage. */
#define CL_QUOTA_GRANT_TIME (400 * BA_MS)
/* Tokens that a relay gets from another one are granted on for this time. */
#define CL_QUOTA_BORROW_TIME (250 * BA_MS)
/* A relay counts on a share for this time after the stamp. */
#define CL_QUOTA_SHARE_TIME (650 * BA_MS)
/* All that was granted out of a share has been used when its loan ends. */
#define CL_QUOTA_LOAN_TIME \
	(CL_QUOTA_SHARE_TIME + CL_QUOTA_BORROW_TIME + CL_QUOTA_GRANT_TIME)

/* Shares are lent again after this time, well before the loan ends. */
#define CL_QUOTA_ASK_PERIOD (300 * BA_MS)
/* Least time between two questions. */
#define CL_QUOTA_ASK_GAP (20 * BA_MS)
/* Tokens are asked for ahead for the requests of this time. */
#define CL_QUOTA_AHEAD (300 * BA_MS)
/* A team that was granted less than asked for is asked for again after this. */
#define CL_QUOTA_SCARCE_TIME (100 * BA_MS)

enum { CL_QUOTA_AMOUNTS = 128 /* teams in a message */ };

/**
 * struct cl_quota_limit - limit of a team
 * @team: id, a hash of its name
 * @rate: requests a second, above 0
 * @burst: requests beyond these
 */
struct cl_quota_limit {
	uint64_t team;
	double rate;
	double burst;
};

/**
 * struct cl_quota_amount - tokens of a team
 * @tokens: asked for or granted
 * @returned: granted earlier and given back unused with a question
 */
struct cl_quota_amount {
	uint64_t team;
	uint32_t tokens;
	uint32_t returned;
};

/**
 * struct cl_quota_message - a question for tokens, or the grant that answers it
 * @number: of the question
 * @stamp: time on the clock of the relay; a question repeats that of the last
 *	grant in the same session, or 0
 * @lends: a question lends the shares of the instance
 * @instances: instances that share the limits, 0 if not known
 * @n: number of @amounts; a grant has those of the question, in its order
 */
struct cl_quota_message {
	uint64_t number;
	ba_time stamp;
	bool lends;
	uint32_t instances;
	size_t n;
	struct cl_quota_amount amounts[CL_QUOTA_AMOUNTS];
};

enum cl_quota_verdict {
	CL_QUOTA_ADMIT,
	CL_QUOTA_WAIT, /* until the next grant, then try again */
	CL_QUOTA_REFUSE,
};

struct cl_quota;

/**
 * cl_quota_read_limits() - the limits of the teams of a configuration
 * @list: room for all teams
 *
 * Return: the number of teams that have a limit.
 */
size_t cl_quota_read_limits(const struct cf_snapshot *s,
			    struct cl_quota_limit *list);

/** cl_quota_team() - id of the team @name */
uint64_t cl_quota_team(const char *name);

/** cl_quota_stock() - tokens of a limit that may exist at the same time */
double cl_quota_stock(const struct cl_quota_limit *l);

/** cl_quota_new() - state of an instance that starts at @now */
struct cl_quota *cl_quota_new(ba_time now);

/** cl_quota_free() - free @q; NULL is allowed */
void cl_quota_free(struct cl_quota *q);

/** cl_quota_configure() - use these limits and no others from now on */
void cl_quota_configure(struct cl_quota *q, const struct cl_quota_limit *l,
			size_t n, ba_time now);

/** cl_quota_connected() - a session to a relay was opened, or has ended */
void cl_quota_connected(struct cl_quota *q, bool connected, ba_time now);

/**
 * cl_quota_take() - take the token for a request
 * @first: whether it was not tried before
 *
 * A team without a limit is admitted.
 */
enum cl_quota_verdict cl_quota_take(struct cl_quota *q, uint64_t team,
				    bool first, ba_time now);

/**
 * cl_quota_put_back() - give back the token that was taken at @now, as the
 * request is not sent
 */
void cl_quota_put_back(struct cl_quota *q, uint64_t team, ba_time now);

/**
 * cl_quota_retry_after() - time after which a request that was refused now may
 * be admitted
 */
ba_time cl_quota_retry_after(struct cl_quota *q, uint64_t team, ba_time now);

/**
 * struct cl_quota_known - what an instance knows, for logs
 * @lent: whether its shares are lent
 * @demand: requests of the team a second, 0 for a team without a limit
 */
struct cl_quota_known {
	bool connected;
	bool lent;
	uint32_t instances;
	double demand;
};

/** cl_quota_read() - get what is known about @team */
void cl_quota_read(struct cl_quota *q, uint64_t team,
		   struct cl_quota_known *out, ba_time now);

/** cl_quota_ask_at() - when to send the next question, %BA_NEVER for none */
ba_time cl_quota_ask_at(const struct cl_quota *q);

/** cl_quota_ask() - compose the next question; it counts as sent at @now */
void cl_quota_ask(struct cl_quota *q, struct cl_quota_message *out,
		  ba_time now);

/**
 * cl_quota_granted() - take in a grant
 *
 * Return: whether it answers the last question; any other is ignored.
 */
bool cl_quota_granted(struct cl_quota *q, const struct cl_quota_message *m,
		      ba_time now);

#ifdef __cplusplus
}
#endif
#endif
