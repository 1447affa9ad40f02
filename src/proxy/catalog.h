#ifndef PROXY_CATALOG_H
#define PROXY_CATALOG_H

#include "decide/error.h"
#include "decide/homes.h"

/*
 * The complete configuration in force: routes, services, teams and their keys.
 * A newer version replaces it as a whole.
 */

#define CATALOG_ROUTES_MAX   20000
#define CATALOG_SERVICES_MAX 512
#define CATALOG_TEAMS_MAX    4096
/* Stands for the team of callers if the configuration has none. */
#define CATALOG_NO_TEAM "open"

/* Consistency of the reads on a route. */
enum read_consistency {
	READ_PRIMARY,		/* sees every acknowledged write */
	READ_BOUNDED_STALENESS, /* may miss writes younger than the staleness
				   bound */
	READ_YOUR_WRITES, /* the same, but always sees the session's own writes
			   */
	READ_KINDS
};

struct catalog_route {
	char *host; /* the database name that callers send */
	char service[NAME_MAX_BYTES];
	enum read_consistency consistency;
	uint32_t timeout_ms;	    /* of one statement */
	uint32_t latency_target_ms; /* of a complete operation */
	uint32_t priority;	    /* 0 is served first */
	uint32_t max_staleness_ms;
	struct homes homes; /* regions in which it may run */
	bool is_public;	    /* needs no key */
};

struct catalog_service {
	char name[NAME_MAX_BYTES];
	/* connections that one database accepts, from all VMs */
	uint32_t max_connections;
	uint32_t sync_replicas;
	/* statements a second that a cold database of it is made for, in
	 * thousandths; 0: any */
	uint64_t cold_milli_per_s;
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
	struct homes homes; /* regions in which its statements may run */
};

struct catalog {
	uint64_t version;  /* the operator's version number */
	uint64_t revision; /* at the platform; increases with each version */
	uint64_t contents; /* hash of what follows; see catalog_complete() */
	uint32_t n_routes;
	uint32_t n_services;
	uint32_t n_teams;
	uint32_t n_keys;
	struct catalog_route *routes; /* sorted by host */
	struct catalog_service *services;
	struct catalog_team *teams;
	struct catalog_key *keys; /* sorted by key */
	uint32_t transaction_idle_ms;
	uint32_t top_priority; /* the first one among those of the routes */
};

struct catalog *catalog_create(uint32_t routes, uint32_t services,
			       uint32_t teams, uint32_t keys);
void catalog_destroy(struct catalog *c);
/* Sorts routes and keys for lookup and hashes all, once all are filled in. */
void catalog_complete(struct catalog *c);
const struct catalog_route *catalog_route(const struct catalog *c,
					  const char *host);
const struct catalog_service *catalog_service(const struct catalog *c,
					      const char *name);
/* Returns the team that holds a key, or NULL. */
const struct catalog_team *catalog_team(const struct catalog *c,
					const char *key);

#endif
