/*
 * A fixed pool of worker threads with one bounded queue of jobs.
 */
#ifndef BA_POOL_H
#define BA_POOL_H

#include <stddef.h>

#include "base/ba_list.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ba_pool;

/** struct ba_job - one job, embedded in its owner until it has run */
struct ba_job {
	struct ba_list link;
	void (*run)(struct ba_job *job);
};

/** ba_pool_new() - start @n_workers threads; the queue holds @limit jobs */
struct ba_pool *ba_pool_new(unsigned int n_workers, size_t limit);

/** ba_pool_submit() - queue a job; %BA_OK, or %CL_OVERLOADED if full */
int ba_pool_submit(struct ba_pool *pool, struct ba_job *job);

/** ba_pool_free() - run the queued jobs, end the threads and free the pool */
void ba_pool_free(struct ba_pool *pool);

#ifdef __cplusplus
}
#endif
#endif
