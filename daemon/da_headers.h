/*
 * Header fields of a request or an answer, in the order of the message.
 */
#ifndef DA_HEADERS_H
#define DA_HEADERS_H

#include <stdbool.h>
#include <stddef.h>

/** struct da_header - a header field */
struct da_header {
	char *name;
	char *value;
};

/** struct da_headers - list of header fields; a zeroed one is empty */
struct da_headers {
	struct da_header *list;
	size_t n;
	size_t alloc;
};

#ifdef __cplusplus
extern "C" {
#endif

/** da_headers_add() - append a field; both strings are copied */
void da_headers_add(struct da_headers *h, const char *name, const char *value);

/** da_headers_get() - return the value of the first @name, or NULL */
const char *da_headers_get(const struct da_headers *h, const char *name);

/** da_headers_count() - number of fields named @name */
size_t da_headers_count(const struct da_headers *h, const char *name);

/** da_headers_clear() - remove all fields, keep the memory */
void da_headers_clear(struct da_headers *h);

/** da_headers_free() - free the members */
void da_headers_free(struct da_headers *h);

/**
 * da_header_is_hop_by_hop() - whether a field belongs to one connection and is
 * not forwarded; Content-Length and Expect count as such
 */
bool da_header_is_hop_by_hop(const char *name);

/**
 * da_header_is_reserved() - whether the daemons set a field themselves; a
 * received one is not forwarded
 */
bool da_header_is_reserved(const char *name);

#ifdef __cplusplus
}
#endif
#endif
