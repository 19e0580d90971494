#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "base/ba_buf.h"

enum { MIN_ALLOC_BYTES = 64 };

void ba_buf_reserve(struct ba_buf *b, size_t extra)
{
	size_t need = b->len + extra;
	size_t alloc = b->alloc ? b->alloc : MIN_ALLOC_BYTES;

	if (need <= b->alloc)
		return;
	while (alloc < need)
		alloc *= 2;
	b->data = g_realloc(b->data, alloc);
	b->alloc = alloc;
}

void ba_buf_add(struct ba_buf *b, const void *data, size_t len)
{
	if (!len)
		return;
	ba_buf_reserve(b, len);
	memcpy(b->data + b->len, data, len);
	b->len += len;
}

void ba_buf_addf(struct ba_buf *b, const char *fmt, ...)
{
	va_list ap;
	int len;

	va_start(ap, fmt);
	len = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (len <= 0)
		return;
	ba_buf_reserve(b, (size_t)len + 1);
	va_start(ap, fmt);
	vsnprintf((char *)b->data + b->len, (size_t)len + 1, fmt, ap);
	va_end(ap);
	b->len += (size_t)len;
}

void ba_buf_consume(struct ba_buf *b, size_t len)
{
	if (len >= b->len) {
		b->len = 0;
		return;
	}
	memmove(b->data, b->data + len, b->len - len);
	b->len -= len;
}

const char *ba_buf_text(struct ba_buf *b)
{
	ba_buf_reserve(b, 1);
	b->data[b->len] = '\0';
	return (const char *)b->data;
}

void ba_buf_free(struct ba_buf *b)
{
	g_free(b->data);
	memset(b, 0, sizeof(*b));
}
