#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/ba_digest.h"
#include "bench/bn.h"

enum {
	CHECKSUM_BYTES = 21, /* "sum=", 16 digits and a line feed */
	BLOCK_BYTES = 8,
	PREFIX_BYTES = 96,
};

static void write_checksum(char out[CHECKSUM_BYTES + 1], const void *data,
			   size_t len);

void bn_answer_write(struct ba_buf *out, const char *service, const char *id,
		     size_t pad)
{
	size_t start = out->len;
	char sum[CHECKSUM_BYTES + 1];

	ba_buf_addf(out, "id=%s service=%s\n", id, service);
	ba_buf_reserve(out, pad);
	memset(out->data + out->len, '.', pad);
	out->len += pad;
	write_checksum(sum, out->data + start, out->len - start);
	ba_buf_add(out, sum, CHECKSUM_BYTES);
}

bool bn_answer_check(const void *data, size_t len, const char *id)
{
	const char *text = data;
	char sum[CHECKSUM_BYTES + 1];
	char prefix[PREFIX_BYTES];
	size_t n = (size_t)snprintf(prefix, sizeof(prefix), "id=%s ", id);

	if (len < n + CHECKSUM_BYTES || memcmp(text, prefix, n) != 0)
		return false;
	write_checksum(sum, text, len - CHECKSUM_BYTES);
	return !memcmp(text + len - CHECKSUM_BYTES, sum, CHECKSUM_BYTES);
}

void bn_download_fill(const char *path, uint64_t offset, uint8_t *out,
		      size_t len)
{
	size_t path_len = strlen(path);
	uint64_t block = 0;

	for (size_t i = 0; i < len; i++) {
		uint64_t pos = offset + i;

		if (!i || pos % BLOCK_BYTES == 0)
			block = ba_hash(path, path_len, pos / BLOCK_BYTES);
		out[i] = (uint8_t)(block >> (pos % BLOCK_BYTES * 8));
	}
}

void bn_download_etag(const char *path, uint64_t size, char out[BN_ETAG_BYTES])
{
	snprintf(out, BN_ETAG_BYTES, "\"%016" PRIx64 "-%" PRIu64 "\"",
		 ba_hash(path, strlen(path), UINT64_MAX), size);
}

/* The ETag contains the size, so that a truncated download is detected. */
bool bn_download_check(const char *path, const char *etag, const void *data,
		       size_t len)
{
	char expected[BN_ETAG_BYTES];
	uint8_t *bytes;
	bool same;

	bn_download_etag(path, len, expected);
	if (strcmp(expected, etag) != 0)
		return false;
	bytes = g_malloc(len + 1);
	bn_download_fill(path, 0, bytes, len);
	same = !memcmp(bytes, data, len);
	g_free(bytes);
	return same;
}

static void write_checksum(char out[CHECKSUM_BYTES + 1], const void *data,
			   size_t len)
{
	snprintf(out, CHECKSUM_BYTES + 1, "sum=%016" PRIx64 "\n",
		 ba_hash(data, len, 0));
}
