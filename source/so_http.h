/*
 * The operators' API over HTTP: submits a configuration based on a revision,
 * reads the newest configuration, and orders and reads roll-outs.
 *
 * Rules:
 * - Only the leader serves requests, while its lease is valid.  Another replica
 *   redirects to the leader, or answers 503 if none is known.
 * - A submission that was accepted is answered as accepted when it is repeated,
 *   also after a change of leader.
 * - The order of a roll-out that was accepted is answered as accepted when it is
 *   repeated; another one for the same service is refused until it has ended.
 * - The names, paths and bodies of requests and answers are those of one
 *   platform, see &struct so_dialect.
 */
#ifndef SO_HTTP_H
#define SO_HTTP_H

#include "http/ht_head.h"
#include "source/so.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum so_call - the calls of the API */
enum so_call {
	SO_CALL_UNKNOWN,
	SO_CALL_SUBMIT,
	SO_CALL_READ,
	SO_CALL_ROLLOUT_ORDER,
	SO_CALL_ROLLOUT_READ,
};

/**
 * struct so_dialect - the names and formats of one platform
 * @read_call: tell which call a request makes
 * @read_base: get the revision that a submission is based on; false if it
 *	cannot be parsed
 * @read_configuration: parse the body of a submission and append it as a
 *	packed CfSnapshot; false if it cannot be parsed
 * @write_configuration: append a snapshot in the platform's format
 * @read_order: parse the body of the order of a roll-out and append it as a
 *	packed CfRollout without state; false if it cannot be parsed
 * @read_rollout_service: get the service that the target of a read names; false
 *	if it names none
 * @write_rollout: append the state of a roll-out in the platform's format
 */
struct so_dialect {
	enum so_call (*read_call)(const char *method, const char *target);
	bool (*read_base)(const struct ht_head *h, uint64_t *revision);
	bool (*read_configuration)(const void *body, size_t len,
				   struct ba_buf *out,
				   struct ba_problems *problems);
	void (*write_configuration)(const struct cf_snapshot *s,
				    struct ba_buf *out);
	bool (*read_order)(const void *body, size_t len, struct ba_buf *out,
			   struct ba_problems *problems);
	bool (*read_rollout_service)(const char *target,
				     char service[CF_NAME_BYTES + 1]);
	void (*write_rollout)(const struct cf_rollout *r, struct ba_buf *out);
};

/**
 * struct so_http_options - options of the API
 * @address: address to listen on for operators
 * @source: the replica of this process
 * @dialect: the names and formats to use
 * @memory: bytes that the process may use, or 0 if not known
 */
struct so_http_options {
	const struct ba_address *address;
	struct so_source *source;
	const struct so_dialect *dialect;
	int64_t memory;
};

struct so_http;

/** so_http_stop_listening() - accept no more; open connections continue */
void so_http_stop_listening(struct so_http *h);

/**
 * so_http_is_unfinished() - whether an operator waits for an answer or for the
 * rest of one
 * @progress: set to a number that changes when an operator takes something
 */
bool so_http_is_unfinished(const struct so_http *h, uint64_t *progress);

/**
 * so_http_new() - listen for operators
 *
 * Return: %BA_OK or %BA_PORT_IN_USE.
 */
int so_http_new(struct ba_loop *loop, const struct so_http_options *o,
		struct so_http **out);

/** so_http_free() - stop listening and free the API; NULL is allowed */
void so_http_free(struct so_http *h);

#ifdef __cplusplus
}
#endif
#endif
