/*
 * The operators' API over HTTP: submit a configuration on top of a revision,
 * and read the newest one.
 *
 * Rules:
 * - Only the leader answers, within its lease; another replica names it, and
 *   where none is known the answer is 503.
 * - A submission that was accepted is accepted again, whoever leads now.
 * - The names, paths and bodies on the wire are those of one platform.
 */
#ifndef SO_HTTP_H
#define SO_HTTP_H

#include "http/ht_head.h"
#include "source/so.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum so_call - calls of operators */
enum so_call {
	SO_CALL_UNKNOWN,
	SO_CALL_SUBMIT,
	SO_CALL_READ,
};

/**
 * struct so_dialect - the names and formats of one platform
 * @read_call: which call a request is
 * @read_base: the revision that a submission builds on; false when it cannot
 *	be read
 * @read_configuration: append the body as a packed CfSnapshot
 * @write_configuration: append the body for a snapshot
 */
struct so_dialect {
	enum so_call (*read_call)(const char *method, const char *target);
	bool (*read_base)(const struct ht_head *h, uint64_t *revision);
	bool (*read_configuration)(const void *body, size_t len,
				   struct ba_buf *out,
				   struct ba_problems *problems);
	void (*write_configuration)(const struct cf_snapshot *s,
				    struct ba_buf *out);
};

/**
 * struct so_http_options - how the API runs
 * @at: where operators connect
 * @source: the replica of this process
 */
struct so_http_options {
	const struct ba_address *at;
	struct so_source *source;
	const struct so_dialect *dialect;
};

struct so_http;

/** so_http_new() - listen; %BA_OK or %BA_PORT_IN_USE */
int so_http_new(struct ba_loop *loop, const struct so_http_options *o,
		struct so_http **out);

/** so_http_free() - NULL is allowed */
void so_http_free(struct so_http *h);

#ifdef __cplusplus
}
#endif
#endif
