#ifndef DECIDE_KEYRING_H
#define DECIDE_KEYRING_H

#include "decide/error.h"

#define KEY_HASH_BYTES 32
#define KEY_SECRET_MAX 128

/* BLAKE2b-256 of a key's secret, as the platform holds it. */
void key_hash(const char *secret, uint8_t out[KEY_HASH_BYTES]);

/* Keys by hash. */
struct keyring;

struct keyring_key {
	uint8_t hash[KEY_HASH_BYTES];
	char team[NAME_MAX_BYTES];
	char key_id[NAME_MAX_BYTES];
	bool withdrawn;
};

struct keyring *keyring_create(void);
void keyring_destroy(struct keyring *k);
/* NULL if unknown; a withdrawn key is returned as such. */
const struct keyring_key *keyring_find(const struct keyring *k,
				       const uint8_t hash[KEY_HASH_BYTES]);
/*
 * Puts in what a newer version of an object holds: keys of the object that
 * are not among them are unknown from now on. -1 if memory is short.
 */
int keyring_replace(struct keyring *k, uint32_t object,
		    const struct keyring_key *keys, size_t n);
size_t keyring_count(const struct keyring *k);

#endif
