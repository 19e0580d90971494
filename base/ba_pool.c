#include <pthread.h>
#include <stdbool.h>

#include <glib.h>

#include "base/ba_pool.h"
#include "base/ba_result.h"

struct ba_pool {
	pthread_mutex_t lock; /* guards all below; a leaf lock */
	pthread_cond_t wake;
	struct ba_list jobs;
	size_t n_jobs;
	size_t limit;
	bool stopping;
	unsigned int n_workers;
	pthread_t *workers;
};

static void *run_jobs(void *arg);
static struct ba_job *next_job(struct ba_pool *pool);

struct ba_pool *ba_pool_new(unsigned int n_workers, size_t limit)
{
	struct ba_pool *pool = g_new0(struct ba_pool, 1);

	pthread_mutex_init(&pool->lock, NULL);
	pthread_cond_init(&pool->wake, NULL);
	ba_list_init(&pool->jobs);
	pool->limit = limit;
	pool->n_workers = n_workers;
	pool->workers = g_new0(pthread_t, n_workers);
	for (unsigned int i = 0; i < n_workers; i++)
		pthread_create(&pool->workers[i], NULL, run_jobs, pool);
	return pool;
}

int ba_pool_submit(struct ba_pool *pool, struct ba_job *job)
{
	int ret = BA_OK;

	pthread_mutex_lock(&pool->lock);
	if (pool->n_jobs >= pool->limit) {
		ret = CL_OVERLOADED;
	} else {
		ba_list_append(&pool->jobs, &job->link);
		pool->n_jobs++;
		pthread_cond_signal(&pool->wake);
	}
	pthread_mutex_unlock(&pool->lock);
	return ret;
}

void ba_pool_free(struct ba_pool *pool)
{
	if (!pool)
		return;
	pthread_mutex_lock(&pool->lock);
	pool->stopping = true;
	pthread_cond_broadcast(&pool->wake);
	pthread_mutex_unlock(&pool->lock);
	for (unsigned int i = 0; i < pool->n_workers; i++)
		pthread_join(pool->workers[i], NULL);
	pthread_mutex_destroy(&pool->lock);
	pthread_cond_destroy(&pool->wake);
	g_free(pool->workers);
	g_free(pool);
}

static void *run_jobs(void *arg)
{
	struct ba_pool *pool = arg;
	struct ba_job *job;

	while ((job = next_job(pool)))
		job->run(job);
	return NULL;
}

static struct ba_job *next_job(struct ba_pool *pool)
{
	struct ba_job *job = NULL;

	pthread_mutex_lock(&pool->lock);
	while (ba_list_empty(&pool->jobs) && !pool->stopping)
		pthread_cond_wait(&pool->wake, &pool->lock);
	if (!ba_list_empty(&pool->jobs)) {
		job = ba_entry(pool->jobs.next, struct ba_job, link);
		ba_list_remove(&job->link);
		pool->n_jobs--;
	}
	pthread_mutex_unlock(&pool->lock);
	return job;
}
