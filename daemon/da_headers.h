/*
 * Header fields of a request or an answer, in their order.
 */
#ifndef DA_HEADERS_H
#define DA_HEADERS_H

#include <stdbool.h>
#include <stddef.h>

/** struct da_header - one field */
struct da_header {
	char *name;
	char *value;
};

/** struct da_headers - fields in their order; zeroed when empty */
struct da_headers {
	struct da_header *list;
	size_t n;
	size_t alloc;
};

/** da_headers_add() - append a field; both strings are copied */
void da_headers_add(struct da_headers *h, const char *name, const char *value);

/** da_headers_get() - the first field named @name, or NULL */
const char *da_headers_get(const struct da_headers *h, const char *name);

/** da_headers_clear() - remove all fields, keep the memory */
void da_headers_clear(struct da_headers *h);

/** da_headers_free() - free the members */
void da_headers_free(struct da_headers *h);

/** da_header_is_hop() - whether a field ends at the next hop */
bool da_header_is_hop(const char *name);

/** da_header_is_own() - whether callers and backend servers may not set it */
bool da_header_is_own(const char *name);

#endif
