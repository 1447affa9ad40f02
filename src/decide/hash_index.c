#include "decide/hash_index.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define SIZE_MIN 64

static bool grow(struct hash_index *ix);
static void insert(struct hash_index *ix, uint64_t hash, uint32_t handle);
static uint32_t scan(const struct hash_index *ix, uint64_t hash, uint32_t i,
		     uint32_t *cursor);

/* Returns the hash of a name; the same on all VMs. */
uint64_t hash_name(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

/* Returns the hash of a byte sequence; the same on all VMs. */
uint64_t hash_bytes(const void *data, size_t len)
{
	return XXH3_64bits(data, len);
}

/* Adds a handle under a hash. False, changing nothing, if memory is short. */
bool hash_index_put(struct hash_index *ix, uint64_t hash, uint32_t handle)
{
	if ((ix->used + 1) * 4 > ix->size * 3 && !grow(ix))
		return false;
	insert(ix, hash, handle);
	ix->used++;
	return true;
}

/*
 * Removes a handle. Entries after it that could no longer be found past the
 * free slot are moved back.
 */
void hash_index_remove(struct hash_index *ix, uint64_t hash, uint32_t handle)
{
	uint32_t mask = ix->size - 1;
	uint32_t cursor;
	uint32_t gap;
	uint32_t h;
	uint32_t i;

	for (h = hash_index_first(ix, hash, &cursor); h != HANDLE_NONE;
	     h = hash_index_next(ix, hash, &cursor)) {
		if (h == handle)
			break;
	}
	if (h == HANDLE_NONE)
		return;
	gap = cursor;
	for (i = (gap + 1) & mask; ix->handle[i] != HANDLE_NONE;
	     i = (i + 1) & mask) {
		uint32_t home = (uint32_t)ix->hash[i] & mask;

		if (((i - home) & mask) < ((i - gap) & mask))
			continue;
		ix->hash[gap] = ix->hash[i];
		ix->handle[gap] = ix->handle[i];
		gap = i;
	}
	ix->handle[gap] = HANDLE_NONE;
	ix->used--;
}

/* Returns the first handle under a hash, or HANDLE_NONE. */
uint32_t hash_index_first(const struct hash_index *ix, uint64_t hash,
			  uint32_t *cursor)
{
	*cursor = 0;
	if (!ix->size)
		return HANDLE_NONE;
	return scan(ix, hash, (uint32_t)hash & (ix->size - 1), cursor);
}

/* Returns the next handle under the same hash, or HANDLE_NONE. */
uint32_t hash_index_next(const struct hash_index *ix, uint64_t hash,
			 uint32_t *cursor)
{
	return scan(ix, hash, (*cursor + 1) & (ix->size - 1), cursor);
}

/* Frees the memory and leaves an empty index. */
void hash_index_free(struct hash_index *ix)
{
	free(ix->hash);
	free(ix->handle);
	memset(ix, 0, sizeof(*ix));
}

/* Doubles the size and reinserts all entries; false if memory is short. */
static bool grow(struct hash_index *ix)
{
	struct hash_index next = {
		.size = ix->size ? ix->size * 2 : SIZE_MIN,
		.used = ix->used,
	};
	uint32_t i;

	next.hash = malloc(next.size * sizeof(*next.hash));
	next.handle = malloc(next.size * sizeof(*next.handle));
	if (!next.hash || !next.handle) {
		hash_index_free(&next);
		return false;
	}
	memset(next.handle, 0xff, next.size * sizeof(*next.handle));
	for (i = 0; i < ix->size; i++) {
		if (ix->handle[i] != HANDLE_NONE)
			insert(&next, ix->hash[i], ix->handle[i]);
	}
	hash_index_free(ix);
	*ix = next;
	return true;
}

/* Stores an entry in the first free slot; the caller ensures there is one. */
static void insert(struct hash_index *ix, uint64_t hash, uint32_t handle)
{
	uint32_t mask = ix->size - 1;
	uint32_t i = (uint32_t)hash & mask;

	while (ix->handle[i] != HANDLE_NONE)
		i = (i + 1) & mask;
	ix->hash[i] = hash;
	ix->handle[i] = handle;
}

/* Searches for an entry of the hash from slot i; HANDLE_NONE if none. */
static uint32_t scan(const struct hash_index *ix, uint64_t hash, uint32_t i,
		     uint32_t *cursor)
{
	uint32_t mask = ix->size - 1;

	for (; ix->handle[i] != HANDLE_NONE; i = (i + 1) & mask) {
		if (ix->hash[i] == hash) {
			*cursor = i;
			return ix->handle[i];
		}
	}
	return HANDLE_NONE;
}
