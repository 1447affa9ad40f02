#include "proxy/catalog.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static uint64_t hash_text(uint64_t hash, const char *text);
static uint64_t hash_homes(uint64_t hash, const struct homes *h);
static int compare_hosts(const void *a, const void *b);
static int compare_keys(const void *a, const void *b);

/*
 * Creates an empty catalogue with capacity for this many entries. Returns NULL
 * if memory is short.
 */
struct catalog *catalog_create(uint32_t routes, uint32_t services,
			       uint32_t teams, uint32_t keys)
{
	struct catalog *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->routes = calloc(routes + 1, sizeof(*c->routes));
	c->services = calloc(services + 1, sizeof(*c->services));
	c->teams = calloc(teams + 1, sizeof(*c->teams));
	c->keys = calloc(keys + 1, sizeof(*c->keys));
	if (c->routes && c->services && c->teams && c->keys)
		return c;
	catalog_destroy(c);
	return NULL;
}

/* Frees a catalogue; NULL is allowed. */
void catalog_destroy(struct catalog *c)
{
	uint32_t i;

	if (!c)
		return;
	for (i = 0; i < c->n_routes; i++)
		free(c->routes[i].host);
	for (i = 0; i < c->n_keys; i++)
		free(c->keys[i].key);
	free(c->routes);
	free(c->services);
	free(c->teams);
	free(c->keys);
	free(c);
}

/*
 * Sorts routes and keys for binary search. The hash is that of the sorted
 * fields, so that it is the same whichever order the platform had them in.
 */
void catalog_complete(struct catalog *c)
{
	uint64_t hash = c->transaction_idle_ms;
	uint32_t i;

	qsort(c->routes, c->n_routes, sizeof(*c->routes), compare_hosts);
	qsort(c->keys, c->n_keys, sizeof(*c->keys), compare_keys);
	c->top_priority = UINT32_MAX;
	for (i = 0; i < c->n_routes; i++) {
		const struct catalog_route *r = &c->routes[i];
		const uint32_t numbers[] = {
			r->consistency,	      r->timeout_ms,
			r->latency_target_ms, r->priority,
			r->max_staleness_ms,  r->is_public
		};

		if (r->priority < c->top_priority)
			c->top_priority = r->priority;
		hash = hash_text(hash, r->host);
		hash = hash_text(hash, r->service);
		hash = XXH3_64bits_withSeed(numbers, sizeof(numbers), hash);
		hash = hash_homes(hash, &r->homes);
	}
	for (i = 0; i < c->n_services; i++) {
		const struct catalog_service *s = &c->services[i];
		const uint64_t numbers[] = { s->max_connections,
					     s->sync_replicas,
					     s->cold_milli_per_s };

		hash = hash_text(hash, s->name);
		hash = XXH3_64bits_withSeed(numbers, sizeof(numbers), hash);
	}
	for (i = 0; i < c->n_teams; i++) {
		const struct catalog_team *t = &c->teams[i];
		const uint32_t numbers[] = { t->rate_per_s, t->burst,
					     t->priority };

		hash = hash_text(hash, t->name);
		hash = XXH3_64bits_withSeed(numbers, sizeof(numbers), hash);
		hash = hash_homes(hash, &t->homes);
	}
	for (i = 0; i < c->n_keys; i++) {
		hash = hash_text(hash, c->keys[i].key);
		hash = hash_text(hash, c->teams[c->keys[i].team].name);
	}
	c->contents = hash;
}

/* Continues a hash with the regions, if there are any. */
static uint64_t hash_homes(uint64_t hash, const struct homes *h)
{
	if (!h->is_bound)
		return hash;
	return XXH3_64bits_withSeed(h->regions, h->n * sizeof(h->regions[0]),
				    hash);
}

/* Continues a hash with a string, its end included. */
static uint64_t hash_text(uint64_t hash, const char *text)
{
	return XXH3_64bits_withSeed(text, strlen(text) + 1, hash);
}

/* Finds the route of a host; NULL if there is none. */
const struct catalog_route *catalog_route(const struct catalog *c,
					  const char *host)
{
	const struct catalog_route want = { .host = (char *)host };

	return bsearch(&want, c->routes, c->n_routes, sizeof(want),
		       compare_hosts);
}

/* Finds a service by name; NULL if there is none. */
const struct catalog_service *catalog_service(const struct catalog *c,
					      const char *name)
{
	uint32_t i;

	for (i = 0; i < c->n_services; i++) {
		if (strcmp(c->services[i].name, name) == 0)
			return &c->services[i];
	}
	return NULL;
}

/* Finds the team of a key; NULL if no team holds it. */
const struct catalog_team *catalog_team(const struct catalog *c,
					const char *key)
{
	const struct catalog_key want = { .key = (char *)key };
	const struct catalog_key *found;

	found = bsearch(&want, c->keys, c->n_keys, sizeof(want), compare_keys);
	return found ? &c->teams[found->team] : NULL;
}

/* Orders routes by host, for qsort() and bsearch(). */
static int compare_hosts(const void *a, const void *b)
{
	return strcmp(((const struct catalog_route *)a)->host,
		      ((const struct catalog_route *)b)->host);
}

/* Orders keys, for qsort() and bsearch(). */
static int compare_keys(const void *a, const void *b)
{
	return strcmp(((const struct catalog_key *)a)->key,
		      ((const struct catalog_key *)b)->key);
}
