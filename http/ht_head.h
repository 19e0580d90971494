/*
 * The head of an HTTP message: request or status line and fields, in the
 * order in which they arrived.
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

/** struct ht_field - offsets of a field's strings in the text of the head */
struct ht_field {
	uint32_t name;
	uint32_t value;
};

/**
 * struct ht_head - a head; zero it before the first ht_head_clear()
 * @text: all strings, each ended by NUL
 * @method: name of a request's method, in @text; NULL in an answer
 * @target: offset of path and query in @text
 * @status: status of an answer; 0 in a request
 * @length: length of the body, or %HT_LENGTH_UNKNOWN
 * @chunked: the body is sent in chunks
 * @connection_close: the sender closes the connection after this message
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

/** ht_head_clear() - make it empty; its memory is kept for reuse */
void ht_head_clear(struct ht_head *h);

/** ht_head_free() - free its memory */
void ht_head_free(struct ht_head *h);

/** ht_head_add() - add a string to the text; does not add a field */
void ht_head_add(struct ht_head *h, const char *text, size_t len);

/** ht_head_name() - get the name of field @i */
const char *ht_head_name(const struct ht_head *h, size_t i);

/** ht_head_value() - get the value of field @i */
const char *ht_head_value(const struct ht_head *h, size_t i);

/** ht_head_target() - get path and query of a request */
const char *ht_head_target(const struct ht_head *h);

/** ht_head_get() - get the first field @name, ignoring case, or NULL */
const char *ht_head_get(const struct ht_head *h, const char *name);

/** ht_head_count() - count the fields @name */
size_t ht_head_count(const struct ht_head *h, const char *name);

/**
 * ht_head_is_hop_by_hop() - whether field @i is not to be forwarded
 *
 * These are the fields of RFC 9110, section 7.6.1, those that frame the body
 * and those that Connection names.
 */
bool ht_head_is_hop_by_hop(const struct ht_head *h, size_t i);

/** ht_list_contains() - whether the comma-separated @list has @word, ignoring case */
bool ht_list_contains(const char *list, const char *word);

/** ht_reason_phrase() - get the reason phrase of a status */
const char *ht_reason_phrase(int status);

#ifdef __cplusplus
}
#endif
#endif
