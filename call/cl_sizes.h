/*
 * Mean size of the answers of each route, by which large answers are told before
 * they are there.
 *
 * Rules:
 * - An estimate belongs to a route and the service that it led to: another
 *   service has other answers, also under the same name of a route.
 * - What is assumed of a download holds until its first answer.
 */
#ifndef CL_SIZES_H
#define CL_SIZES_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct cl_sizes;

/** cl_sizes_new() - know of no answer */
struct cl_sizes *cl_sizes_new(void);

/** cl_sizes_free() - free @s; NULL is allowed */
void cl_sizes_free(struct cl_sizes *s);

/** cl_sizes_mean() - return the estimate in bytes, 0 if there is none */
double cl_sizes_mean(const struct cl_sizes *s, const char *route,
		     const char *service);

/** cl_sizes_assume() - use @bytes where there is no estimate */
void cl_sizes_assume(struct cl_sizes *s, const char *route, const char *service,
		     double bytes);

/** cl_sizes_record() - an answer of @bytes has been received */
void cl_sizes_record(struct cl_sizes *s, const char *route, const char *service,
		     uint64_t bytes);

#ifdef __cplusplus
}
#endif
#endif
