#include "decide/keyring.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "decide/hash_index.h"

#define CAPACITY_MIN 64

struct entry {
	struct keyring_key key;
	uint32_t object; /* number of the object that has the key */
	uint32_t mark;	 /* keyring_replace() call that last had it */
	bool used;
	uint32_t next_free;
};

struct keyring {
	struct entry *entries;
	uint32_t n;	   /* entries ever used */
	uint32_t capacity; /* allocated entries */
	uint32_t count;	   /* keys */
	uint32_t free;	   /* first free entry, or HANDLE_NONE */
	uint32_t mark;	   /* number of the newest keyring_replace() call */
	struct hash_index index;
};

static uint32_t find(const struct keyring *k, const uint8_t *hash);
static uint32_t take_entry(struct keyring *k);
static int put(struct keyring *k, uint32_t object,
	       const struct keyring_key *key);
static void sweep(struct keyring *k, uint32_t object);
static uint64_t index_hash(const uint8_t *hash);

/* Computes the BLAKE2b-256 hash of a key's secret, as the platform stores it.
 */
void key_hash(const char *secret, uint8_t out[KEY_HASH_BYTES])
{
	crypto_generichash(out, KEY_HASH_BYTES, (const unsigned char *)secret,
			   strlen(secret), NULL, 0);
}

/* Creates an empty table; NULL if memory is short. */
struct keyring *keyring_create(void)
{
	struct keyring *k = calloc(1, sizeof(*k));

	if (k)
		k->free = HANDLE_NONE;
	return k;
}

/* Frees the table; NULL is allowed. */
void keyring_destroy(struct keyring *k)
{
	if (!k)
		return;
	hash_index_free(&k->index);
	free(k->entries);
	free(k);
}

/* Returns a key, withdrawn or not, or NULL if the hash is unknown. */
const struct keyring_key *keyring_find(const struct keyring *k,
				       const uint8_t hash[KEY_HASH_BYTES])
{
	uint32_t h = find(k, hash);

	return h == HANDLE_NONE ? NULL : &k->entries[h].key;
}

/*
 * Replaces the keys of an object by those of a newer version and removes those
 * that the version lacks. A withdrawn key never becomes live again. Returns 0,
 * or -1 if memory is short: new keys may then be missing, but no removed key
 * remains.
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

/* Returns the number of keys, including withdrawn ones. */
size_t keyring_count(const struct keyring *k)
{
	return k->count;
}

/* Returns the index of a key's entry; HANDLE_NONE if the hash is unknown. */
static uint32_t find(const struct keyring *k, const uint8_t *hash)
{
	uint32_t cursor;
	uint32_t h;

	for (h = hash_index_first(&k->index, index_hash(hash), &cursor);
	     h != HANDLE_NONE;
	     h = hash_index_next(&k->index, index_hash(hash), &cursor)) {
		if (sodium_memcmp(k->entries[h].key.hash, hash,
				  KEY_HASH_BYTES) == 0)
			break;
	}
	return h;
}

/* Returns the index of a free entry; HANDLE_NONE if memory is short. */
static uint32_t take_entry(struct keyring *k)
{
	uint32_t h = k->free;

	if (h != HANDLE_NONE) {
		k->free = k->entries[h].next_free;
		return h;
	}
	if (k->n == k->capacity) {
		uint32_t capacity =
			k->capacity ? k->capacity * 2 : CAPACITY_MIN;
		void *p = realloc(k->entries, capacity * sizeof(*k->entries));

		if (!p)
			return HANDLE_NONE;
		k->entries = p;
		k->capacity = capacity;
	}
	return k->n++;
}

/* Adds or updates a key and marks it as part of the current call. */
static int put(struct keyring *k, uint32_t object,
	       const struct keyring_key *key)
{
	uint32_t h = find(k, key->hash);
	bool withdrawn = key->withdrawn;

	if (h == HANDLE_NONE) {
		h = take_entry(k);
		if (h == HANDLE_NONE)
			return -1;
		if (!hash_index_put(&k->index, index_hash(key->hash), h)) {
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

/* Removes the keys of an object that the current call did not mark. */
static void sweep(struct keyring *k, uint32_t object)
{
	uint32_t h;

	for (h = 0; h < k->n; h++) {
		struct entry *t = &k->entries[h];

		if (!t->used || t->object != object || t->mark == k->mark)
			continue;
		hash_index_remove(&k->index, index_hash(t->key.hash), h);
		t->used = false;
		t->next_free = k->free;
		k->free = h;
		k->count--;
	}
}

/* Returns the index hash of a key; the key's hash is uniform already. */
static uint64_t index_hash(const uint8_t *hash)
{
	uint64_t v;

	memcpy(&v, hash, sizeof(v));
	return v;
}
