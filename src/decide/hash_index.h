#ifndef DECIDE_HASH_INDEX_H
#define DECIDE_HASH_INDEX_H

#include "decide/types.h"

/*
 * Hash table with linear probing that maps a 64-bit hash to handles into the
 * caller's own table. Hashes may collide, so the caller compares the keys of
 * the candidates that hash_index_first() and hash_index_next() return.
 */
struct hash_index {
	uint64_t *hash;
	uint32_t *handle; /* HANDLE_NONE: empty */
	uint32_t size;	  /* a power of two, or 0 */
	uint32_t used;
};

uint64_t hash_name(const char *name);
uint64_t hash_bytes(const void *data, size_t len);
bool hash_index_put(struct hash_index *ix, uint64_t hash, uint32_t handle);
void hash_index_remove(struct hash_index *ix, uint64_t hash, uint32_t handle);
uint32_t hash_index_first(const struct hash_index *ix, uint64_t hash,
			  uint32_t *cursor);
uint32_t hash_index_next(const struct hash_index *ix, uint64_t hash,
			 uint32_t *cursor);
void hash_index_free(struct hash_index *ix);

#endif
