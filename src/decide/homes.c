#include "decide/homes.h"

#include <string.h>
#include <xxhash.h>

static uint64_t region_hash(const char *region);
static bool has(const struct homes *h, uint64_t region);

/* Adds a region; one that does not fit is not allowed, which is safe. */
void homes_add(struct homes *h, const char *region)
{
	uint64_t hash = region_hash(region);

	h->is_bound = true;
	if (h->n < HOMES_MAX && !has(h, hash))
		h->regions[h->n++] = hash;
}

/* Returns the intersection; it may be empty, and allows nothing then. */
struct homes homes_both(const struct homes *a, const struct homes *b)
{
	struct homes both = { .is_bound = true };
	uint32_t i;

	if (!a->is_bound)
		return *b;
	if (!b->is_bound)
		return *a;
	for (i = 0; i < a->n; i++) {
		if (has(b, a->regions[i]))
			both.regions[both.n++] = a->regions[i];
	}
	return both;
}

/* What has no known region is allowed only where nothing is bound. */
bool homes_allow(const struct homes *h, const char *region)
{
	return !h->is_bound || (region && has(h, region_hash(region)));
}

/* Returns the hash that stands for a region's name. */
static uint64_t region_hash(const char *region)
{
	return XXH3_64bits(region, strlen(region));
}

/* True if the region is one of them. */
static bool has(const struct homes *h, uint64_t region)
{
	uint32_t i;

	for (i = 0; i < h->n; i++) {
		if (h->regions[i] == region)
			return true;
	}
	return false;
}
