#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "base/ba_chain.h"
#include "base/ba_digest.h"

enum {
	MIN_BLOCK_BYTES = 256,
	MAX_BLOCK_BYTES = 32 * 1024,
};

struct ba_chain_block {
	struct ba_chain_block *next;
	size_t len;
	size_t alloc;
	uint8_t data[];
};

static void add_block(struct ba_chain *c, size_t bytes);

void ba_chain_add(struct ba_chain *c, const void *data, size_t len)
{
	const uint8_t *from = data;
	size_t n;

	while (len) {
		if (!c->last || c->last->len == c->last->alloc)
			add_block(c, len);
		n = MIN(len, c->last->alloc - c->last->len);
		memcpy(c->last->data + c->last->len, from, n);
		c->last->len += n;
		c->len += n;
		from += n;
		len -= n;
	}
}

size_t ba_chain_read(const struct ba_chain *c, struct ba_chain_pos *pos,
		     size_t max, const uint8_t **data)
{
	size_t n;

	if (!pos->block)
		pos->block = c->first;
	if (pos->block && pos->offset == pos->block->len && pos->block->next) {
		pos->block = pos->block->next;
		pos->offset = 0;
	}
	if (!pos->block)
		return 0;
	n = MIN(max, pos->block->len - pos->offset);
	*data = pos->block->data + pos->offset;
	pos->offset += n;
	return n;
}

uint64_t ba_chain_hash(const struct ba_chain *c, uint64_t seed)
{
	const struct ba_chain_block *b = c->first;
	XXH64_state_t *state;
	uint64_t hash;

	if (b == c->last)
		return ba_hash(b ? b->data : NULL, c->len, seed);
	state = XXH64_createState();
	XXH64_reset(state, seed);
	for (; b; b = b->next)
		XXH64_update(state, b->data, b->len);
	hash = XXH64_digest(state);
	XXH64_freeState(state);
	return hash;
}

void ba_chain_free(struct ba_chain *c)
{
	struct ba_chain_block *b = c->first;
	struct ba_chain_block *next;

	for (; b; b = next) {
		next = b->next;
		g_free(b);
	}
	memset(c, 0, sizeof(*c));
}

/* As large as all before it together, so that there are few blocks. */
static void add_block(struct ba_chain *c, size_t bytes)
{
	size_t alloc =
		CLAMP(MAX(bytes, c->len), MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
	struct ba_chain_block *b = g_malloc(sizeof(*b) + alloc);

	b->next = NULL;
	b->len = 0;
	b->alloc = alloc;
	if (c->last)
		c->last->next = b;
	else
		c->first = b;
	c->last = b;
	c->alloc += sizeof(*b) + alloc;
}
