/*
 * Quotas of teams over all instances together: the pool of a relay, which holds
 * the shares that its instances have lent it and grants tokens out of them.
 *
 * Rules:
 * - The pool accrues tokens only for shares that are lent, each until its own
 *   time, and never holds or has out more than their part of the stock.
 * - Relays ask each other for what they lack.  A relay grants another one only
 *   what its own instances do not need soon.
 * - A relay that has just started holds no tokens and, until it knows how many
 *   instances there are, accrues none.
 */
#ifndef CL_QUOTA_POOL_H
#define CL_QUOTA_POOL_H

#include "base/ba_list.h"
#include "call/cl_quota.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * After its start a relay waits this long for the instances, unless one of them
 * knows their number.
 */
#define CL_QUOTA_COUNT_TIME BA_SECOND

/* Instances that are gone still count for this time. */
#define CL_QUOTA_COUNT_MEMORY (10 * BA_MINUTE)

/**
 * struct cl_quota_lender - shares of one instance; zeroed, ba_list_init() @link
 * @until: when the relay counts on them no more
 */
struct cl_quota_lender {
	struct ba_list link;
	ba_time until;
};

/**
 * struct cl_quota_pool_state - for logs and counters
 * @scarce: whether tokens that were asked for could not be granted
 * @lenders: instances whose shares are lent
 */
struct cl_quota_pool_state {
	bool scarce;
	unsigned int lenders;
	uint32_t instances;
	double tokens;
};

struct cl_quota_pool;

/** cl_quota_pool_new() - pool of a relay that starts at @now */
struct cl_quota_pool *cl_quota_pool_new(ba_time now);

/** cl_quota_pool_free() - free @p, but not its lenders; NULL is allowed */
void cl_quota_pool_free(struct cl_quota_pool *p);

/** cl_quota_pool_configure() - use these limits and no others from now on */
void cl_quota_pool_configure(struct cl_quota_pool *p,
			     const struct cl_quota_limit *l, size_t n,
			     ba_time now);

/** cl_quota_pool_count() - the relay knows of @instances that are there now */
void cl_quota_pool_count(struct cl_quota_pool *p, uint32_t instances,
			 ba_time now);

/**
 * cl_quota_pool_grant() - answer a question of an instance
 * @l: of that instance
 */
void cl_quota_pool_grant(struct cl_quota_pool *p, struct cl_quota_lender *l,
			 const struct cl_quota_message *ask,
			 struct cl_quota_message *out, ba_time now);

/** cl_quota_pool_end() - the session of the instance has ended */
void cl_quota_pool_end(struct cl_quota_pool *p, struct cl_quota_lender *l,
		       ba_time now);

/** cl_quota_pool_lend() - answer a question of another relay */
void cl_quota_pool_lend(struct cl_quota_pool *p,
			const struct cl_quota_message *ask,
			struct cl_quota_message *out, ba_time now);

/** cl_quota_pool_is_lacking() - whether other relays are to be asked */
bool cl_quota_pool_is_lacking(const struct cl_quota_pool *p);

/**
 * cl_quota_pool_ask() - compose a question to each of @n_peers other relays
 *
 * Return: whether anything is lacking.
 */
bool cl_quota_pool_ask(struct cl_quota_pool *p, unsigned int n_peers,
		       struct cl_quota_message *out, ba_time now);

/**
 * cl_quota_pool_borrowed() - take in the answer of another relay
 * @asked_at: when the question was sent
 */
void cl_quota_pool_borrowed(struct cl_quota_pool *p,
			    const struct cl_quota_message *m, ba_time asked_at,
			    ba_time now);

/** cl_quota_pool_read() - state of @team, or false if it has no limit */
bool cl_quota_pool_read(struct cl_quota_pool *p, uint64_t team,
			struct cl_quota_pool_state *out, ba_time now);

#ifdef __cplusplus
}
#endif
#endif
