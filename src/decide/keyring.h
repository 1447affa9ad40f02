#ifndef DECIDE_KEYRING_H
#define DECIDE_KEYRING_H

#include "decide/error.h"

#define KEY_HASH_BYTES 32
#define KEY_SECRET_MAX 128

/* Computes the BLAKE2b-256 hash of a key's secret, as the platform stores it.
 */
void key_hash(const char *secret, uint8_t out[KEY_HASH_BYTES]);

/* Table of the callers' API keys, looked up by the hash of the secret. */
struct keyring;

struct keyring_key {
	uint8_t hash[KEY_HASH_BYTES];
	char team[NAME_MAX_BYTES];
	char key_id[NAME_MAX_BYTES];
	bool withdrawn;
};

struct keyring *keyring_create(void);
void keyring_destroy(struct keyring *k);
/* Returns a key, withdrawn or not, or NULL if the hash is unknown. */
const struct keyring_key *keyring_find(const struct keyring *k,
				       const uint8_t hash[KEY_HASH_BYTES]);
/*
 * Replaces the keys of an object by those of a newer version. Keys that the
 * version lacks are removed. Returns 0, or -1 if memory is short.
 */
int keyring_replace(struct keyring *k, uint32_t object,
		    const struct keyring_key *keys, size_t n);
/* Returns the number of keys, including withdrawn ones. */
size_t keyring_count(const struct keyring *k);

#endif
