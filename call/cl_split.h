/*
 * Smooth weighted round robin over the parts of a route.  The shares already
 * hold over a few requests; a random choice would need hundreds.
 *
 * Rules:
 * - A part of weight 0 is never chosen.
 * - Of any consecutive choices, each part gets its share, give or take two.
 * - The state is of use only for the parts and weights that it was made for.
 */
#ifndef CL_SPLIT_H
#define CL_SPLIT_H

#include <stdbool.h>
#include <stddef.h>

#include "base/ba_rand.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct cl_split_part - one part
 * @service: name of the service; borrowed
 * @weight: share of the requests, relative to the sum over all parts
 */
struct cl_split_part {
	const char *service;
	double weight;
};

struct cl_split;

/**
 * cl_split_new() - begin at a random point of the sequence
 *
 * Proxies that start together then do not choose in step.
 */
struct cl_split *cl_split_new(const struct cl_split_part *parts, size_t n,
			      struct ba_rand *rand);

/** cl_split_free() - free @s; NULL is allowed */
void cl_split_free(struct cl_split *s);

/** cl_split_fits() - whether @s was made for the same services and weights */
bool cl_split_fits(const struct cl_split *s, const struct cl_split_part *parts,
		   size_t n);

/** cl_split_choose() - choose a part; the weights must not add up to 0 */
size_t cl_split_choose(struct cl_split *s);

#ifdef __cplusplus
}
#endif
#endif
