/*
 * The head of an HTTP message: request or status line and fields, in the
 * order in which they came.
 */
#ifndef HT_HEAD_H
#define HT_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/ba_buf.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { HT_LENGTH_UNKNOWN = -1 };

/** struct ht_field - one field; both are offsets into the text of the head */
struct ht_field {
	uint32_t name;
	uint32_t value;
};

/**
 * struct ht_head - a head; zeroed when empty
 * @text: all strings, each ended by NUL
 * @method: of a request, else NULL; a constant
 * @target: offset of path and query in @text
 * @status: of an answer, else 0
 * @length: length of the body, or %HT_LENGTH_UNKNOWN
 * @chunked: the body comes in chunks
 * @last: the sender closes the connection after this message
 * @minor: minor version of HTTP/1
 */
struct ht_head {
	struct ba_buf text;
	struct ht_field *fields;
	size_t n_fields;
	size_t alloc;
	const char *method;
	uint32_t target;
	int status;
	int64_t length;
	bool chunked;
	bool connection_close;
	unsigned int minor;
};

/** ht_head_clear() - make it empty; its memory stays for the next one */
void ht_head_clear(struct ht_head *h);

/** ht_head_free() - give the memory back */
void ht_head_free(struct ht_head *h);

/** ht_head_name() - name of field @i */
const char *ht_head_name(const struct ht_head *h, size_t i);

/** ht_head_value() - value of field @i */
const char *ht_head_value(const struct ht_head *h, size_t i);

/** ht_head_target() - path and query of a request */
const char *ht_head_target(const struct ht_head *h);

/** ht_head_get() - value of the first field @name in any case, or NULL */
const char *ht_head_get(const struct ht_head *h, const char *name);

/** ht_head_count() - number of fields @name */
size_t ht_head_count(const struct ht_head *h, const char *name);

/**
 * ht_head_is_hop_by_hop() - whether field @i concerns only one connection: those of
 * RFC 9110, section 7.6.1, the ones that frame the body, and those that
 * Connection names
 */
bool ht_head_is_hop_by_hop(const struct ht_head *h, size_t i);

/** ht_reason_phrase() - the reason phrase of a status */
const char *ht_reason_phrase(int status);

#ifdef __cplusplus
}
#endif
#endif
