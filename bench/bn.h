/*
 * Code shared by the stand-ins: answers that the caller can verify, HTTP on
 * the event loop, and the parsing of options.
 *
 * Rules:
 * - The stand-ins use the published protocols only, never the sessions between
 *   the system's processes.
 * - An answer names the request it belongs to and ends with a checksum.  The
 *   bytes of a download depend on its path and offset alone.
 */
#ifndef BN_H
#define BN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/ba_buf.h"
#include "base/ba_clock.h"
#include "base/ba_unit.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Headers that the daemons read and write. */
#define BN_RESULT_HEADER "X-Caraway-Result"
#define BN_TIME_LEFT_HEADER "X-Caraway-Time-Left"
#define BN_LOAD_HEADER "X-Caraway-Load"
#define BN_KEY_HEADER "Idempotency-Key"
#define BN_ID_HEADER "X-Request-Id"
#define BN_HOMES_HEADER "X-Caraway-Key-Homes"

/**
 * bn_answer_write() - append the answer to request @id
 * @pad: number of padding bytes
 */
void bn_answer_write(struct ba_buf *out, const char *service, const char *id,
		     size_t pad);

/** bn_answer_check() - whether @data is the complete answer to request @id */
bool bn_answer_check(const void *data, size_t len, const char *id);

/** bn_download_fill() - write @len bytes of download @path, from @offset on */
void bn_download_fill(const char *path, uint64_t offset, uint8_t *out,
		      size_t len);

enum { BN_ETAG_BYTES = 40 };

/** bn_download_etag() - write the ETag of @path, the same on every server */
void bn_download_etag(const char *path, uint64_t size, char out[BN_ETAG_BYTES]);

/** bn_download_check() - whether @data is the complete download with @etag */
bool bn_download_check(const char *path, const char *etag, const void *data,
		       size_t len);

/** bn_parse_duration() - parse the option @name; exit if it is invalid */
ba_time bn_parse_duration(const char *name, const char *text);

/** bn_parse_address() - parse the option @name; exit if it is invalid */
struct ba_address bn_parse_address(const char *name, const char *text);

/** bn_parse_options() - parse the command line; exit if it is invalid */
void bn_parse_options(int *argc, char ***argv, const GOptionEntry *entries);

#ifdef __cplusplus
}
#endif
#endif
