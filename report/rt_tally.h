/*
 * Tallies of a roll-out: what backend servers of one version did with the calls
 * of one route, counted by the proxies beside them.
 */
#ifndef RT_TALLY_H
#define RT_TALLY_H

#include <stddef.h>
#include <stdint.h>

#include "base/ba_buf.h"
#include "base/ba_clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Times are counted in half octaves: bucket 2n ends at 2^n * sqrt(2) ms, the
 * one after it at 2^(n+1) ms; the last one takes all longer times.
 */
enum { RT_TALLY_BUCKETS = 32 };

/**
 * struct rt_tally - calls that backend servers have run
 * @answered: calls with an answer that is no failure
 * @failed: calls with a failure, or with no answer in time
 * @times: answers of servers that were past their slow start, by time
 */
struct rt_tally {
	uint32_t answered;
	uint32_t failed;
	uint32_t times[RT_TALLY_BUCKETS];
};

/** struct rt_tally_key - what a tally is about */
struct rt_tally_key {
	const char *service;
	const char *version;
	const char *route;
};

/** rt_tally_bucket() - bucket of the time @t */
unsigned int rt_tally_bucket(ba_time t);

/** rt_tally_merge() - add @from to @to */
void rt_tally_merge(struct rt_tally *to, const struct rt_tally *from);

/** rt_tally_total() - number of calls */
uint32_t rt_tally_total(const struct rt_tally *t);

struct rt_tallies;

/** rt_tallies_new() - create an empty set of tallies by service, version, route */
struct rt_tallies *rt_tallies_new(void);

/** rt_tallies_free() - free the set; NULL is allowed */
void rt_tallies_free(struct rt_tallies *s);

/**
 * rt_tallies_get() - the tally of @key
 *
 * Return: the tally, valid until rt_tallies_pack(), or NULL when there are too
 * many.
 */
struct rt_tally *rt_tallies_get(struct rt_tallies *s,
				const struct rt_tally_key *key);

/** rt_tallies_count() - number of tallies */
size_t rt_tallies_count(const struct rt_tallies *s);

/** rt_tallies_pack() - append an RtTallies, and empty the set */
void rt_tallies_pack(struct rt_tallies *s, struct ba_buf *out);

/**
 * rt_tallies_add() - add the tallies of an RtTallies
 *
 * Return: %BA_OK or %WI_FRAME_GARBAGE.
 */
int rt_tallies_add(struct rt_tallies *s, const void *data, size_t len);

/** rt_tallies_each() - call @visit for each tally */
void rt_tallies_each(struct rt_tallies *s,
		     void (*visit)(const struct rt_tally_key *key,
				   const struct rt_tally *t, void *arg),
		     void *arg);

#ifdef __cplusplus
}
#endif
#endif
