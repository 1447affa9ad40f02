#include "decide/config.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "decide/hash_index.h"
#include "decide/json_check.h"

static int check_exceptions(const json_t *root, struct error *e);
static int check_exception(const char *id, const json_t *v, struct error *e);
static int check_changes(const json_t *root, struct error *e);
static int parse_patch(const json_t *o, const char *place,
		       struct limits_patch *out, struct error *e);

/* Returns the kind of an object, which decides how it is validated. */
enum config_kind config_object_kind(const char *name)
{
	if (strcmp(name, "config/defaults") == 0)
		return CONFIG_DEFAULTS;
	if (strcmp(name, "config/exceptions") == 0)
		return CONFIG_EXCEPTIONS;
	if (strncmp(name, "teams/", 6) == 0)
		return CONFIG_TEAMS;
	if (strncmp(name, "groups/", 7) == 0)
		return CONFIG_GROUP;
	if (strcmp(name, "secrets/session") == 0)
		return CONFIG_SECRETS;
	return CONFIG_OTHER;
}

/*
 * Validates a whole object before it takes effect. Returns 0, or -1 with the
 * object and the place in it in the error message.
 */
int config_check(const char *name, const char *body, struct error *e)
{
	enum config_kind kind = config_object_kind(name);
	struct group_config group;
	struct limits limits;
	uint8_t secret[2][32];
	bool previous;
	json_t *root;
	int rc = -1;

	if (strlen(body) > CONFIG_OBJECT_MAX_BYTES)
		return error_set(e, ERR_TOO_LARGE, STEP_CONFIG_CHECK, "",
				 "%s: over %d bytes", name,
				 CONFIG_OBJECT_MAX_BYTES);
	if (kind == CONFIG_OTHER)
		return 0;
	root = json_check_load(body, name, e);
	if (!root)
		return -1;
	switch (kind) {
	case CONFIG_DEFAULTS:
		rc = config_defaults_parse(body, &limits, e);
		break;
	case CONFIG_EXCEPTIONS:
		rc = check_exceptions(root, e);
		break;
	case CONFIG_TEAMS:
		rc = config_teams_check(name, root, e);
		break;
	case CONFIG_GROUP:
		rc = config_group_parse(body, &group, e);
		if (rc == 0 && strcmp(name + 7, group.service) != 0)
			rc = json_check_fail(e, name, "names service \"%s\"",
					     group.service);
		break;
	case CONFIG_SECRETS:
		rc = config_session_secrets(body, secret[0], secret[1],
					    &previous, e);
		sodium_memzero(secret, sizeof(secret));
		break;
	case CONFIG_OTHER:
		break;
	}
	if (rc == 0)
		rc = check_changes(root, e);
	json_decref(root);
	return rc;
}

/*
 * Returns true if teams, keys, services and exceptions may have this name. It
 * consists of letters, digits, dots, dashes and underscores, and starts with a
 * letter or digit.
 */
bool config_name_is_valid(const char *name)
{
	size_t n = strlen(name);
	size_t i;

	if (n == 0 || n >= NAME_MAX_BYTES)
		return false;
	for (i = 0; i < n; i++) {
		char c = name[i];
		bool alnum = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
			     (c >= '0' && c <= '9');

		if (!alnum && (i == 0 || !strchr("._-", c)))
			return false;
	}
	return true;
}

/* Parses "config/defaults", in which every field is required. */
int config_defaults_parse(const char *body, struct limits *out, struct error *e)
{
	struct limits_patch p;
	json_t *root = json_check_load(body, "config/defaults", e);
	int rc;

	if (!root)
		return -1;
	rc = parse_patch(root, "config/defaults", &p, e);
	if (rc == 0 && (!p.has_rate || !p.has_burst || !p.has_staleness))
		rc = json_check_fail(e, "config/defaults",
				     "needs rate_per_s, burst and "
				     "read_staleness_ms");
	if (rc == 0)
		*out = p.limits;
	json_decref(root);
	return rc;
}

/* Finds a team's exception in "config/exceptions"; false if it has none. */
bool config_exception_find(const char *body, const char *team,
			   struct limits_patch *out)
{
	json_t *root = json_check_load(body, "config/exceptions", NULL);
	bool found = false;
	const char *id;
	json_t *v;

	json_object_foreach(json_object_get(root, "exceptions"), id, v)
	{
		const char *t = json_string_value(json_object_get(v, "team"));

		if (t && strcmp(t, team) == 0)
			found = parse_patch(v, id, out, NULL) == 0;
	}
	json_decref(root);
	return found;
}

/* Validates "config/exceptions", then calls "fn" for each exception in it. */
int config_for_each_exception(const char *body, config_exception_fn fn,
			      void *ctx, struct error *e)
{
	json_t *root = json_check_load(body, "config/exceptions", e);
	struct limits_patch p;
	const char *id;
	json_t *v;

	if (!root)
		return -1;
	if (check_exceptions(root, e) != 0) {
		json_decref(root);
		return -1;
	}
	json_object_foreach(json_object_get(root, "exceptions"), id, v)
	{
		if (parse_patch(v, id, &p, e) == 0)
			fn(ctx, json_string_value(json_object_get(v, "team")),
			   &p);
	}
	json_decref(root);
	return 0;
}

/* Returns a team's limits: the defaults, overridden by its exception. */
struct limits config_effective_limits(const struct limits *defaults,
				      const struct limits_patch *exception)
{
	struct limits l = *defaults;

	if (!exception)
		return l;
	if (exception->has_rate)
		l.rate_per_s = exception->limits.rate_per_s;
	if (exception->has_burst)
		l.burst = exception->limits.burst;
	if (exception->has_staleness)
		l.read_staleness_ms = exception->limits.read_staleness_ms;
	return l;
}

/*
 * Parses "secrets/session": the current secret and, optionally, the previous
 * one, each 32 bytes in hex.
 */
int config_session_secrets(const char *body, uint8_t current[32],
			   uint8_t previous[32], bool *has_previous,
			   struct error *e)
{
	const char *at = "secrets/session";
	json_t *root = json_check_load(body, at, e);
	const json_t *p;
	int rc = 0;

	if (!root)
		return -1;
	p = json_object_get(root, "previous");
	*has_previous = p && !json_is_null(p);
	if (!json_check_hex32(json_object_get(root, "current"), current))
		rc = json_check_fail(e, at, "current: not 64 hex digits");
	else if (*has_previous && !json_check_hex32(p, previous))
		rc = json_check_fail(e, at, "previous: not 64 hex digits");
	json_decref(root);
	return rc;
}

/* Validates all exceptions; no two may be for the same team. */
static int check_exceptions(const json_t *root, struct error *e)
{
	json_t *all = json_object_get(root, "exceptions");
	json_t *teams;
	const char *id;
	json_t *v;
	int rc = 0;

	if (!json_is_object(all))
		return json_check_fail(e, "exceptions", "not an object");
	if (json_object_size(all) > EXCEPTIONS_MAX)
		return json_check_fail(e, "exceptions", "over %d",
				       EXCEPTIONS_MAX);
	teams = json_object();
	json_object_foreach(all, id, v)
	{
		const char *team;

		rc = check_exception(id, v, e);
		if (rc != 0)
			break;
		team = json_string_value(json_object_get(v, "team"));
		if (json_object_get(teams, team)) {
			rc = json_check_fail(
				e, id, "team %s has another exception", team);
			break;
		}
		json_object_set_new(teams, team, json_true());
	}
	json_decref(teams);
	return rc;
}

/* Validates an exception: it needs a team, a reason and at least one limit. */
static int check_exception(const char *id, const json_t *v, struct error *e)
{
	const char *reason = json_string_value(json_object_get(v, "reason"));
	const char *team = json_string_value(json_object_get(v, "team"));
	struct limits_patch p;

	if (!config_name_is_valid(id))
		return json_check_fail(e, id, "not a name");
	if (!team || !config_name_is_valid(team))
		return json_check_fail(e, id, "team: not a name");
	if (!reason || strspn(reason, " \t\r\n") == strlen(reason))
		return json_check_fail(e, id, "reason: missing");
	if (strlen(reason) >= REASON_MAX_BYTES)
		return json_check_fail(e, id, "reason: over %d bytes",
				       REASON_MAX_BYTES - 1);
	if (parse_patch(v, id, &p, e) != 0)
		return -1;
	if (!p.has_rate && !p.has_burst && !p.has_staleness)
		return json_check_fail(e, id, "sets no limit");
	return 0;
}

/* Validates an object's optional array of its newest changes. */
static int check_changes(const json_t *root, struct error *e)
{
	const json_t *changes = json_object_get(root, "changes");

	if (!changes)
		return 0;
	if (!json_is_array(changes))
		return json_check_fail(e, "changes", "not an array");
	if (json_array_size(changes) > CHANGES_KEPT)
		return json_check_fail(e, "changes", "over %d", CHANGES_KEPT);
	return 0;
}

/* Parses the limits that an object sets and checks their bounds. */
static int parse_patch(const json_t *o, const char *place,
		       struct limits_patch *out, struct error *e)
{
	memset(out, 0, sizeof(*out));
	if (json_check_uint(o, "rate_per_s", 1, RATE_MAX_PER_S, place,
			    &out->limits.rate_per_s, &out->has_rate, e) != 0)
		return -1;
	if (json_check_uint(o, "burst", 1, BURST_MAX, place, &out->limits.burst,
			    &out->has_burst, e) != 0)
		return -1;
	return json_check_uint(o, "read_staleness_ms", 0, STALENESS_MAX_MS,
			       place, &out->limits.read_staleness_ms,
			       &out->has_staleness, e);
}
