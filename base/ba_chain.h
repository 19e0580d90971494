/*
 * Bytes in blocks that never move: growth copies nothing, needs no second copy
 * for a moment, and leaves gaps of one size only.
 */
#ifndef BA_CHAIN_H
#define BA_CHAIN_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct ba_chain_block;

/**
 * struct ba_chain - bytes in blocks; zeroed when empty
 * @len: length of the content in bytes
 * @alloc: allocated bytes
 */
struct ba_chain {
	struct ba_chain_block *first;
	struct ba_chain_block *last;
	size_t len;
	size_t alloc;
};

/** struct ba_chain_pos - a place in a chain; zeroed at its start */
struct ba_chain_pos {
	const struct ba_chain_block *block;
	size_t offset;
};

/** ba_chain_add() - append @len bytes of @data */
void ba_chain_add(struct ba_chain *c, const void *data, size_t len);

/**
 * ba_chain_read() - get the bytes at @pos that lie in one block, and go on
 * @max: most bytes to get
 * @data: set to the bytes, which are valid until the chain is freed
 *
 * Return: number of bytes, 0 at the end.
 */
size_t ba_chain_read(const struct ba_chain *c, struct ba_chain_pos *pos,
		     size_t max, const uint8_t **data);

/** ba_chain_hash() - compute ba_hash() of the content */
uint64_t ba_chain_hash(const struct ba_chain *c, uint64_t seed);

/** ba_chain_free() - free the memory and empty the chain */
void ba_chain_free(struct ba_chain *c);

#ifdef __cplusplus
}
#endif
#endif
