#include "decide/keyring.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "decide/hash_index.h"

#define ENTRIES_FIRST 64

struct entry {
	struct keyring_key key;
	uint32_t object;
	uint32_t mark; /* run of keyring_replace() that last had it */
	bool used;
	uint32_t next_free;
};

struct keyring {
	struct entry *entries;
	uint32_t n; /* ever used */
	uint32_t room;
	uint32_t count;
	uint32_t free; /* first free entry, or HANDLE_NONE */
	uint32_t mark;
	struct hash_index index;
};

static uint32_t find(const struct keyring *k, const uint8_t *hash);
static uint32_t take_entry(struct keyring *k);
static int put(struct keyring *k, uint32_t object,
	       const struct keyring_key *key);
static void sweep(struct keyring *k, uint32_t object);
static uint64_t place(const uint8_t *hash);

/* BLAKE2b-256 of a key's secret, as the platform holds it. */
void key_hash(const char *secret, uint8_t out[KEY_HASH_BYTES])
{
	crypto_generichash(out, KEY_HASH_BYTES, (const unsigned char *)secret,
			   strlen(secret), NULL, 0);
}

/* An empty ring, or NULL without memory. */
struct keyring *keyring_create(void)
{
	struct keyring *k = calloc(1, sizeof(*k));

	if (k)
		k->free = HANDLE_NONE;
	return k;
}

void keyring_destroy(struct keyring *k)
{
	if (!k)
		return;
	hash_index_free(&k->index);
	free(k->entries);
	free(k);
}

/* NULL if unknown; a withdrawn key is returned as such. */
const struct keyring_key *keyring_find(const struct keyring *k,
				       const uint8_t hash[KEY_HASH_BYTES])
{
	uint32_t h = find(k, hash);

	return h == HANDLE_NONE ? NULL : &k->entries[h].key;
}

/*
 * Puts in the keys of a newer version of an object and forgets those that the
 * version no longer has. A key once withdrawn stays so. -1 without memory;
 * keys may then be missing, but none is known that should not be.
 */
int keyring_replace(struct keyring *k, uint32_t object,
		    const struct keyring_key *keys, size_t n)
{
	int rc = 0;
	size_t i;

	k->mark++;
	for (i = 0; i < n; i++) {
		if (put(k, object, &keys[i]) != 0)
			rc = -1;
	}
	sweep(k, object);
	return rc;
}

/* Keys known, withdrawn ones included. */
size_t keyring_count(const struct keyring *k)
{
	return k->count;
}

static uint32_t find(const struct keyring *k, const uint8_t *hash)
{
	uint32_t cursor;
	uint32_t h;

	for (h = hash_index_first(&k->index, place(hash), &cursor);
	     h != HANDLE_NONE;
	     h = hash_index_next(&k->index, place(hash), &cursor)) {
		if (sodium_memcmp(k->entries[h].key.hash, hash,
				  KEY_HASH_BYTES) == 0)
			break;
	}
	return h;
}

/* A free entry, or HANDLE_NONE without memory. */
static uint32_t take_entry(struct keyring *k)
{
	uint32_t h = k->free;

	if (h != HANDLE_NONE) {
		k->free = k->entries[h].next_free;
		return h;
	}
	if (k->n == k->room) {
		uint32_t room = k->room ? k->room * 2 : ENTRIES_FIRST;
		void *p = realloc(k->entries, room * sizeof(*k->entries));

		if (!p)
			return HANDLE_NONE;
		k->entries = p;
		k->room = room;
	}
	return k->n++;
}

/* Adds or changes one key and marks it as seen in this run. */
static int put(struct keyring *k, uint32_t object,
	       const struct keyring_key *key)
{
	uint32_t h = find(k, key->hash);
	bool withdrawn = key->withdrawn;

	if (h == HANDLE_NONE) {
		h = take_entry(k);
		if (h == HANDLE_NONE)
			return -1;
		if (!hash_index_put(&k->index, place(key->hash), h)) {
			k->entries[h].used = false;
			k->entries[h].next_free = k->free;
			k->free = h;
			return -1;
		}
		k->count++;
	} else {
		withdrawn = withdrawn || k->entries[h].key.withdrawn;
	}
	k->entries[h] = (struct entry){
		.key = *key,
		.object = object,
		.mark = k->mark,
		.used = true,
	};
	k->entries[h].key.withdrawn = withdrawn;
	return 0;
}

/* Forgets the keys of an object that this run did not see. */
static void sweep(struct keyring *k, uint32_t object)
{
	uint32_t h;

	for (h = 0; h < k->n; h++) {
		struct entry *t = &k->entries[h];

		if (!t->used || t->object != object || t->mark == k->mark)
			continue;
		hash_index_remove(&k->index, place(t->key.hash), h);
		t->used = false;
		t->next_free = k->free;
		k->free = h;
		k->count--;
	}
}

/* Where a key stands in the index; the hash is random already. */
static uint64_t place(const uint8_t *hash)
{
	uint64_t v;

	memcpy(&v, hash, sizeof(v));
	return v;
}
