/*
 * A growable buffer of bytes.
 */
#ifndef BA_BUF_H
#define BA_BUF_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct ba_buf - a buffer; zeroed when empty
 * @data: content, owned by the buffer
 * @len: length of the content in bytes
 * @alloc: allocated size in bytes
 */
struct ba_buf {
	uint8_t *data;
	size_t len;
	size_t alloc;
};

/** ba_buf_reserve() - make room for @extra bytes after the content */
void ba_buf_reserve(struct ba_buf *b, size_t extra);

/** ba_buf_add() - append @len bytes of @data */
void ba_buf_add(struct ba_buf *b, const void *data, size_t len);

/** ba_buf_addf() - append formatted text, without the final NUL */
void ba_buf_addf(struct ba_buf *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** ba_buf_consume() - remove @len bytes from the front */
void ba_buf_consume(struct ba_buf *b, size_t len);

/**
 * ba_buf_text() - return the content as a string, NUL-terminated in place; it
 * is valid until the buffer changes
 */
const char *ba_buf_text(struct ba_buf *b);

/** ba_buf_free() - free the memory and empty the buffer */
void ba_buf_free(struct ba_buf *b);

#ifdef __cplusplus
}
#endif
#endif
