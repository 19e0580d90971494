/*
 * Hashes: BLAKE2b (libsodium) for digests of content and for proofs of key
 * possession, xxHash for placement.
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

/** ba_digest() - compute the digest of @len bytes */
struct ba_digest ba_digest(const void *data, size_t len);

/** ba_digest_keyed() - compute the keyed digest (MAC) of @len bytes */
struct ba_digest ba_digest_keyed(const uint8_t key[BA_KEY_BYTES],
				 const void *data, size_t len);

/** ba_digest_equal() - compare two digests in constant time */
bool ba_digest_equal(const struct ba_digest *a, const struct ba_digest *b);

/** ba_digest_hex() - format the first 8 bytes in hexadecimal, for display */
void ba_digest_hex(const struct ba_digest *d, char out[17]);

/** ba_hash() - compute a 64-bit hash for placement; not cryptographic */
uint64_t ba_hash(const void *data, size_t len, uint64_t seed);

/** ba_random_bytes() - fill @out from the random generator of the system */
void ba_random_bytes(void *out, size_t len);

#ifdef __cplusplus
}
#endif
#endif
