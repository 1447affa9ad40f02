#ifndef DECIDE_CONFIG_H
#define DECIDE_CONFIG_H

#include <jansson.h>

#include "decide/error.h"

#define CONFIG_OBJECT_NAME_BYTES 128
#define CONFIG_OBJECT_MAX_BYTES	 1000000 /* the platform holds up to 1 MB */
#define CHANGE_ID_BYTES		 64
#define CHANGES_KEPT		 32
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
	CONFIG_OTHER, /* not configuration; only its size is checked */
};

struct limits {
	uint32_t rate_per_s;
	uint32_t burst;
	uint32_t read_staleness_ms;
};

/* An exception's fields; what is not set falls back to the defaults. */
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

/* The body of "groups/SERVICE". */
struct group_config {
	char service[NAME_MAX_BYTES];
	uint32_t n;
	struct group_db_config db[DB_MAX];
	uint64_t term;
	uint32_t primary; /* index into db, or DB_NONE */
	uint64_t claimed;
	char claimed_by[NAME_MAX_BYTES];
	char change[CHANGE_ID_BYTES];
};

enum change_kind {
	CHANGE_PUT_TEAM,
	CHANGE_DELETE_TEAM, /* its keys are withdrawn with it */
	CHANGE_ADD_KEY,
	CHANGE_WITHDRAW_KEY,
	CHANGE_PUT_EXCEPTION, /* one team has at most one exception */
	CHANGE_DELETE_EXCEPTION,
	CHANGE_PUT_DEFAULTS,
};

/* One administrative change; "id" is unique, chosen by whoever makes it. */
struct change {
	enum change_kind kind;
	char id[CHANGE_ID_BYTES];
	char by[NAME_MAX_BYTES]; /* operator, for the audit */
	char team[NAME_MAX_BYTES];
	char key_id[NAME_MAX_BYTES];
	char key_hash[KEY_HASH_HEX_BYTES];
	char exception_id[NAME_MAX_BYTES];
	char reason[REASON_MAX_BYTES];
	uint32_t n_services;
	char services[TEAM_SERVICES_MAX][NAME_MAX_BYTES];
	uint32_t weight; /* 0: not given, 1 */
	struct limits_patch patch;
};

/* Calls of config_each_team() and config_each_key(). */
struct team_config {
	char team[NAME_MAX_BYTES];
	uint32_t weight;
	uint32_t n_services;
	char services[TEAM_SERVICES_MAX][NAME_MAX_BYTES];
};

typedef void (*config_team_fn)(void *ctx, const struct team_config *t);
typedef void (*config_key_fn)(void *ctx, const char *team, const char *key_id,
			      const uint8_t hash[32], bool withdrawn);

enum config_kind config_kind_of(const char *name);
/* 0 if the whole object may come into force; else -1 and where it fails. */
int config_check(const char *name, const char *body, struct error *e);
/* Is this a name that teams, keys, services and exceptions may have? */
bool config_name_ok(const char *name);
/* The object that holds a team: "teams/BB". */
void config_team_object(const char *team, char name[CONFIG_OBJECT_NAME_BYTES]);

int config_defaults_parse(const char *body, struct limits *out,
			  struct error *e);
int config_group_parse(const char *body, struct group_config *out,
		       struct error *e);
int config_teams_each(const char *body, config_team_fn team, config_key_fn key,
		      void *ctx, struct error *e);
/* The exception of one team in "config/exceptions"; false if it has none. */
bool config_exception_find(const char *body, const char *team,
			   struct limits_patch *out);
struct limits config_effective(const struct limits *defaults,
			       const struct limits_patch *exception);
int config_session_secrets(const char *body, uint8_t current[32],
			   uint8_t previous[32], bool *has_previous,
			   struct error *e);

/* The name of the object that a change is made in. */
int change_object(const struct change *c, char name[CONFIG_OBJECT_NAME_BYTES],
		  struct error *e);
/*
 * The object's new body, malloc'd and fully checked, or NULL with the reason.
 * "body" is the current one, NULL if the object does not exist yet.
 */
char *change_apply(const struct change *c, const char *body, struct error *e);
/* Did the change with this id take effect in the object? */
bool change_took_effect(const char *body, const char *id);

#endif
