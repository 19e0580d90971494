/*
 * Digests: BLAKE2b for content and proofs (libsodium), xxHash for placement.
 */
#ifndef BA_DIGEST_H
#define BA_DIGEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BA_DIGEST_BYTES 32
#define BA_KEY_BYTES 32

/** struct ba_digest - a BLAKE2b digest of 256 bits */
struct ba_digest {
	uint8_t bytes[BA_DIGEST_BYTES];
};

/** ba_digest() - the digest of @len bytes */
struct ba_digest ba_digest(const void *data, size_t len);

/** ba_digest_keyed() - the digest of @len bytes under a key */
struct ba_digest ba_digest_keyed(const uint8_t key[BA_KEY_BYTES],
				 const void *data, size_t len);

/** ba_digest_equal() - compare in constant time */
bool ba_digest_equal(const struct ba_digest *a, const struct ba_digest *b);

/** ba_digest_hex() - the first 8 bytes in hexadecimal, for people */
void ba_digest_hex(const struct ba_digest *d, char out[17]);

/** ba_hash() - a 64 bit placement hash; not for secrets */
uint64_t ba_hash(const void *data, size_t len, uint64_t seed);

/** ba_random_bytes() - fill @out from the system's generator */
void ba_random_bytes(void *out, size_t len);

#ifdef __cplusplus
}
#endif
#endif
