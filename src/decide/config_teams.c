#include "decide/config.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "decide/hash_index.h"
#include "decide/json_check.h"

static int parse_team(const char *team, const json_t *v,
		      struct team_config *out, struct error *e);
static int parse_services(const char *team, const json_t *list,
			  struct team_config *out, struct error *e);
static int parse_key(const char *team, const char *id, const json_t *v,
		     uint8_t hash[32], bool *withdrawn, struct error *e);
static int each_key(const char *team, const json_t *keys, config_key_fn fn,
		    void *ctx, struct error *e);
static int each_team(const json_t *root, const char *object,
		     config_team_fn team, config_key_fn key, void *ctx,
		     struct error *e);

/* Sets "name" to the object that holds a team: "teams/BB", BB in hex. */
void config_team_object(const char *team, char name[CONFIG_OBJECT_NAME_BYTES])
{
	snprintf(name, CONFIG_OBJECT_NAME_BYTES, "teams/%02x",
		 config_team_bucket(team));
}

/* Returns that object's number, 0 to 255, from the hash of the team's name. */
uint32_t config_team_bucket(const char *team)
{
	return (uint32_t)(hash_name(team) >> 56);
}

/* Validates a parsed "teams/BB"; each team's hash must give that name. */
int config_teams_check(const char *name, const json_t *root, struct error *e)
{
	return each_team(root, name, NULL, NULL, NULL, e);
}

/*
 * Calls "team" for each team, followed by "key" for each of its keys. The whole
 * body is validated first, so that there are no calls for an invalid one.
 */
int config_for_each_team(const char *body, config_team_fn team,
			 config_key_fn key, void *ctx, struct error *e)
{
	json_t *root = json_check_load(body, "teams", e);
	int rc;

	if (!root)
		return -1;
	rc = each_team(root, NULL, NULL, NULL, NULL, e);
	if (rc == 0)
		rc = each_team(root, NULL, team, key, ctx, e);
	json_decref(root);
	return rc;
}

/*
 * Validates all teams and calls "team" and "key" for them; both may be NULL.
 * If "object" is not NULL, all teams must belong to the object of that name.
 */
static int each_team(const json_t *root, const char *object,
		     config_team_fn team, config_key_fn key, void *ctx,
		     struct error *e)
{
	json_t *teams = json_object_get(root, "teams");
	char expected[CONFIG_OBJECT_NAME_BYTES];
	struct team_config t;
	const char *name;
	json_t *v;

	if (!json_is_object(teams))
		return json_check_fail(e, "teams", "not an object");
	json_object_foreach(teams, name, v)
	{
		if (parse_team(name, v, &t, e) != 0)
			return -1;
		config_team_object(name, expected);
		if (object && strcmp(object, expected) != 0)
			return json_check_fail(e, name, "belongs to object %s",
					       expected);
		if (team)
			team(ctx, &t);
		if (each_key(name, json_object_get(v, "keys"), key, ctx, e))
			return -1;
	}
	return 0;
}

/* Parses one team without its keys. */
static int parse_team(const char *team, const json_t *v,
		      struct team_config *out, struct error *e)
{
	bool has;

	memset(out, 0, sizeof(*out));
	if (!config_name_is_valid(team))
		return json_check_fail(e, team, "not a name");
	if (!json_is_object(v))
		return json_check_fail(e, team, "not an object");
	snprintf(out->team, sizeof(out->team), "%s", team);
	out->weight = 1;
	if (json_check_uint(v, "weight", 1, WEIGHT_MAX, team, &out->weight,
			    &has, e) != 0)
		return -1;
	return parse_services(team, json_object_get(v, "services"), out, e);
}

/* Parses the services that a team may use; the list may be empty. */
static int parse_services(const char *team, const json_t *list,
			  struct team_config *out, struct error *e)
{
	const char *s;
	size_t i;

	if (!json_is_array(list) || json_array_size(list) > TEAM_SERVICES_MAX)
		return json_check_fail(e, team, "services: not up to %d names",
				       TEAM_SERVICES_MAX);
	for (i = 0; i < json_array_size(list); i++) {
		s = json_string_value(json_array_get(list, i));
		if (!s || !config_name_is_valid(s))
			return json_check_fail(e, team,
					       "services: %zu: not a name", i);
		snprintf(out->services[i], NAME_MAX_BYTES, "%s", s);
	}
	out->n_services = (uint32_t)json_array_size(list);
	return 0;
}

/* Validates a team's keys and calls "fn" for each; there may be none. */
static int each_key(const char *team, const json_t *keys, config_key_fn fn,
		    void *ctx, struct error *e)
{
	uint8_t hash[32];
	bool withdrawn = true;
	const char *id;
	json_t *v;

	if (!keys)
		return 0;
	if (!json_is_object(keys) || json_object_size(keys) > TEAM_KEYS_MAX)
		return json_check_fail(e, team, "keys: not up to %d",
				       TEAM_KEYS_MAX);
	json_object_foreach((json_t *)keys, id, v)
	{
		if (parse_key(team, id, v, hash, &withdrawn, e) != 0)
			return -1;
		if (fn)
			fn(ctx, team, id, hash, withdrawn);
	}
	return 0;
}

/* Parses one key: its hash and whether it is withdrawn. */
static int parse_key(const char *team, const char *id, const json_t *v,
		     uint8_t hash[32], bool *withdrawn, struct error *e)
{
	const char *state = json_string_value(json_object_get(v, "state"));

	if (!config_name_is_valid(id))
		return json_check_fail(e, team, "keys: %.64s: not a name", id);
	if (!json_check_hex32(json_object_get(v, "hash"), hash))
		return json_check_fail(e, team,
				       "keys: %s: hash: not 64 hex digits", id);
	if (!state ||
	    (strcmp(state, "live") != 0 && strcmp(state, "withdrawn") != 0))
		return json_check_fail(
			e, team, "keys: %s: state: not live or withdrawn", id);
	*withdrawn = strcmp(state, "withdrawn") == 0;
	return 0;
}
