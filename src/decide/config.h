#ifndef DECIDE_CONFIG_H
#define DECIDE_CONFIG_H

#include <jansson.h>

#include "decide/error.h"

#define CONFIG_OBJECT_NAME_BYTES 128
#define CONFIG_OBJECT_MAX_BYTES	 1000000 /* limit of the platform, 1 MB */
#define CHANGE_ID_BYTES		 64
#define CHANGES_KEPT		 32 /* newest changes listed in an object */
#define REASON_MAX_BYTES	 512
#define KEY_HASH_HEX_BYTES	 65 /* hex of 32 bytes, and the NUL */
#define TEAM_SERVICES_MAX	 32
#define TEAM_KEYS_MAX		 64
#define EXCEPTIONS_MAX		 1000
#define RATE_MAX_PER_S		 1000000
#define BURST_MAX		 1000000
#define STALENESS_MAX_MS	 3600000
#define WEIGHT_MAX		 1000
#define SLOTS_MAX		 10000
#define CONNECTIONS_MAX		 10000

enum config_kind {
	CONFIG_DEFAULTS,
	CONFIG_EXCEPTIONS,
	CONFIG_TEAMS,
	CONFIG_GROUP,
	CONFIG_SECRETS,
	CONFIG_OTHER, /* not a configuration object; only the size is checked */
};

struct limits {
	uint32_t rate_per_s;
	uint32_t burst;
	uint32_t read_staleness_ms;
};

/* An exception's limits; those that are not set come from the defaults. */
struct limits_patch {
	struct limits limits;
	bool has_rate;
	bool has_burst;
	bool has_staleness;
};

struct group_db_config {
	char name[NAME_MAX_BYTES];
	char address[ADDR_MAX_BYTES];
	char domain[NAME_MAX_BYTES];
	enum db_state state;
	uint32_t slots;
	uint32_t connections;
};

/* The parsed body of "groups/SERVICE". */
struct group_config {
	char service[NAME_MAX_BYTES];
	uint32_t n;
	struct group_db_config db[DB_MAX];
	uint64_t term;			 /* of the published primary */
	uint32_t primary;		 /* index into db, or DB_NONE */
	uint64_t claimed;		 /* highest claimed term */
	char claimed_by[NAME_MAX_BYTES]; /* VM that claimed it */
	char change[CHANGE_ID_BYTES];	 /* id of the newest change */
};

/* A team without its keys, as config_for_each_team() passes it. */
struct team_config {
	char team[NAME_MAX_BYTES];
	uint32_t weight;
	uint32_t n_services;
	char services[TEAM_SERVICES_MAX][NAME_MAX_BYTES];
};

typedef void (*config_exception_fn)(void *ctx, const char *team,
				    const struct limits_patch *p);
typedef void (*config_team_fn)(void *ctx, const struct team_config *t);
typedef void (*config_key_fn)(void *ctx, const char *team, const char *key_id,
			      const uint8_t hash[32], bool withdrawn);

enum config_kind config_object_kind(const char *name);
/* Validates a whole object. Returns 0, or -1 with the place in "e". */
int config_check(const char *name, const char *body, struct error *e);
/* Returns true if teams, keys, services and exceptions may have this name. */
bool config_name_is_valid(const char *name);
/* Sets "name" to the object that holds a team: "teams/BB", BB in hex. */
void config_team_object(const char *team, char name[CONFIG_OBJECT_NAME_BYTES]);
/* Returns the number BB, from the hash of the team's name. */
uint32_t config_team_bucket(const char *team);

int config_defaults_parse(const char *body, struct limits *out,
			  struct error *e);
int config_group_parse(const char *body, struct group_config *out,
		       struct error *e);
int config_teams_check(const char *name, const json_t *root, struct error *e);
int config_for_each_team(const char *body, config_team_fn team,
			 config_key_fn key, void *ctx, struct error *e);
/* Finds a team's exception in "config/exceptions"; false if it has none. */
bool config_exception_find(const char *body, const char *team,
			   struct limits_patch *out);
int config_for_each_exception(const char *body, config_exception_fn fn,
			      void *ctx, struct error *e);
struct limits config_effective_limits(const struct limits *defaults,
				      const struct limits_patch *exception);
int config_session_secrets(const char *body, uint8_t current[32],
			   uint8_t previous[32], bool *has_previous,
			   struct error *e);

#endif
