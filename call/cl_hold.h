/*
 * How much of an answer is held back before any of it is sent on.  What was sent
 * on can't be taken back: when the rest does not come, the connection has to be
 * closed over all that is in progress on it.
 *
 * Answers the load of callers that have several requests in progress on a
 * connection, while backend servers break off some of their answers.
 *
 * Rules:
 * - The proxy that a request entered holds short answers until they are whole, so
 *   that one that breaks off is got again or replaced by an error.
 * - It holds longer ones too if other requests of the connection have begun,
 *   unless the memory is nearly used up.
 * - A proxy on the way holds nothing, as the other one does.
 */
#ifndef CL_HOLD_H
#define CL_HOLD_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

enum {
	CL_HOLD_BYTES = 64 * 1024,
	CL_HOLD_SHARED_BYTES = 1024 * 1024,
};

/**
 * struct cl_hold - the connection that an answer goes to
 * @to_proxy: its other end is another proxy
 * @shared: other requests of the connection have begun
 * @memory_tight: the memory for bodies and answers is nearly used up
 */
struct cl_hold {
	bool to_proxy;
	bool shared;
	bool memory_tight;
};

/** cl_hold_limit() - number of bytes up to which an answer is held */
size_t cl_hold_limit(const struct cl_hold *h);

#ifdef __cplusplus
}
#endif
#endif
