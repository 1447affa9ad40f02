#include "decide/db_owner.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* 2^53: a double holds that many equidistant values from 0 to 1. */
#define HASH_RANGE 9007199254740992.0

static double score(const struct db_owner_vm *vm, uint64_t seed);

/*
 * The VM with the highest score, by the logarithmic method of Schindelhauer and
 * Schomaker, "Weighted Distributed Hash Tables" (SPAA 2005).
 */
uint32_t db_owner_pick(const struct db_owner_vm *vm, uint32_t n,
		       const char *database, const char *domain)
{
	uint64_t seed = XXH3_64bits(database, strlen(database));
	uint32_t best = DB_OWNER_NONE;
	bool best_is_local = false;
	double best_score = 0;
	uint32_t i;

	for (i = 0; i < n; i++) {
		bool is_local = strcmp(vm[i].domain, domain) == 0;
		double vm_score;

		if (!vm[i].usable || (best_is_local && !is_local))
			continue;
		vm_score = score(&vm[i], seed);
		if (best != DB_OWNER_NONE && is_local == best_is_local &&
		    vm_score <= best_score)
			continue;
		best = i;
		best_is_local = is_local;
		best_score = vm_score;
	}
	return best;
}

/* Returns -capacity / ln(h), where h is the VM's hash, between 0 and 1. */
static double score(const struct db_owner_vm *vm, uint64_t seed)
{
	XXH64_hash_t hash =
		XXH3_64bits_withSeed(vm->name, strlen(vm->name), seed);
	double unit = ((double)(hash >> 11) + 0.5) / HASH_RANGE;
	uint32_t capacity = vm->capacity ? vm->capacity : 1;

	return -(double)capacity / log(unit);
}
