#ifndef PROXY_CATALOG_H
#define PROXY_CATALOG_H

#include "decide/error.h"

/*
 * The configuration in force, whole: routes, services, teams and their keys.
 * A newer version replaces it at once; none is ever applied in parts.
 */

#define CATALOG_ROUTES_MAX   20000
#define CATALOG_SERVICES_MAX 512
#define CATALOG_TEAMS_MAX    4096

/* What a read on a route may miss. */
enum route_freshness {
	READ_PRIMARY, /* nothing that was acknowledged */
	READ_BOUNDED, /* what is younger than the stated age */
	READ_OWN,     /* likewise, but never the session's own work */
	READ_KINDS
};

struct catalog_route {
	char *host; /* the database name that callers ask for */
	char service[NAME_MAX_BYTES];
	enum route_freshness consistency;
	uint32_t timeout_ms;	    /* of one statement */
	uint32_t latency_target_ms; /* latency objective of a whole operation */
	uint32_t priority;	    /* 0 goes first */
	uint32_t max_staleness_ms;
	bool is_public; /* needs no key */
};

struct catalog_service {
	char name[NAME_MAX_BYTES];
	uint32_t max_connections; /* a database takes, of all VMs together */
	uint32_t sync_replicas;
};

struct catalog_key {
	char *key;
	uint32_t team; /* index into teams */
};

struct catalog_team {
	char name[NAME_MAX_BYTES];
	uint32_t rate_per_s;
	uint32_t burst;
	uint32_t priority;
};

struct catalog {
	uint64_t version;  /* the operator's number */
	uint64_t revision; /* the platform's, rises with each version */
	uint32_t n_routes;
	uint32_t n_services;
	uint32_t n_teams;
	uint32_t n_keys;
	struct catalog_route *routes; /* by host */
	struct catalog_service *services;
	struct catalog_team *teams;
	struct catalog_key *keys; /* by key */
	uint32_t transaction_idle_ms;
};

struct catalog *catalog_create(uint32_t routes, uint32_t services,
			       uint32_t teams, uint32_t keys);
void catalog_destroy(struct catalog *c);
/* Brings routes and keys in order, once all are filled in. */
void catalog_sort(struct catalog *c);
const struct catalog_route *catalog_route(const struct catalog *c,
					  const char *host);
const struct catalog_service *catalog_service(const struct catalog *c,
					      const char *name);
/* The team that holds a key; NULL if none does. */
const struct catalog_team *catalog_team(const struct catalog *c,
					const char *key);

#endif
