#include <sodium.h>
#include <xxhash.h>

#include "base/ba_digest.h"

struct ba_digest ba_digest(const void *data, size_t len)
{
	struct ba_digest d;

	crypto_generichash(d.bytes, sizeof(d.bytes), data, len, NULL, 0);
	return d;
}

struct ba_digest ba_digest_keyed(const uint8_t key[BA_KEY_BYTES],
				 const void *data, size_t len)
{
	struct ba_digest d;

	crypto_generichash(d.bytes, sizeof(d.bytes), data, len, key,
			   BA_KEY_BYTES);
	return d;
}

bool ba_digest_equal(const struct ba_digest *a, const struct ba_digest *b)
{
	return !sodium_memcmp(a->bytes, b->bytes, sizeof(a->bytes));
}

void ba_digest_hex(const struct ba_digest *d, char out[17])
{
	sodium_bin2hex(out, 17, d->bytes, 8);
}

uint64_t ba_hash(const void *data, size_t len, uint64_t seed)
{
	return XXH64(data, len, seed);
}

void ba_random_bytes(void *out, size_t len)
{
	randombytes_buf(out, len);
}
