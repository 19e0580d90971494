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

/** struct ba_buf - @len bytes at @data; all zero is an empty buffer */
struct ba_buf {
	uint8_t *data;
	size_t len;
	size_t alloc;
};

/** ba_buf_reserve() - make room for @extra bytes behind the content */
void ba_buf_reserve(struct ba_buf *b, size_t extra);

/** ba_buf_add() - append @len bytes */
void ba_buf_add(struct ba_buf *b, const void *data, size_t len);

/** ba_buf_addf() - append formatted text, without its final NUL */
void ba_buf_addf(struct ba_buf *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** ba_buf_consume() - drop @len bytes from the front */
void ba_buf_consume(struct ba_buf *b, size_t len);

/** ba_buf_text() - the content as a string, NUL-terminated in place */
const char *ba_buf_text(struct ba_buf *b);

/** ba_buf_free() - give the memory back; the buffer is empty again */
void ba_buf_free(struct ba_buf *b);

#ifdef __cplusplus
}
#endif
#endif
