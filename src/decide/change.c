#include "decide/change.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide/json_check.h"

static json_t *load(const struct change *c, const char *name, const char *body,
		    struct error *e);
static int apply(const struct change *c, json_t *root, struct error *e);
static int put_team(const struct change *c, json_t *teams);
static int delete_team(const struct change *c, json_t *teams, struct error *e);
static int add_key(const struct change *c, json_t *teams, struct error *e);
static int withdraw_key(const struct change *c, json_t *teams, struct error *e);
static int put_exception(const struct change *c, json_t *exceptions);
static int delete_exception(const struct change *c, json_t *exceptions,
			    struct error *e);
static int put_limits(const struct limits_patch *p, json_t *o);
static int drop_withdrawn(json_t *keys);
static int record_change(const struct change *c, json_t *root);
static bool has_change(const json_t *root, const char *id);
static int no_memory(struct error *e);

static const char *const kind_names[] = {
	[CHANGE_PUT_TEAM] = "put_team",
	[CHANGE_DELETE_TEAM] = "delete_team",
	[CHANGE_ADD_KEY] = "add_key",
	[CHANGE_WITHDRAW_KEY] = "withdraw_key",
	[CHANGE_PUT_EXCEPTION] = "put_exception",
	[CHANGE_DELETE_EXCEPTION] = "delete_exception",
	[CHANGE_PUT_DEFAULTS] = "put_defaults",
};

/* Returns the name of a kind of change, as in an object's "changes". */
const char *change_kind_name(enum change_kind kind)
{
	return kind_names[kind];
}

/*
 * Sets "name" to the object that a change applies to. Returns 0, or -1 if the
 * change needs a team and has no valid one.
 */
int change_object(const struct change *c, char name[CONFIG_OBJECT_NAME_BYTES],
		  struct error *e)
{
	switch (c->kind) {
	case CHANGE_PUT_TEAM:
	case CHANGE_DELETE_TEAM:
	case CHANGE_ADD_KEY:
	case CHANGE_WITHDRAW_KEY:
		if (!config_name_is_valid(c->team))
			return json_check_fail(e, "team", "not a name");
		config_team_object(c->team, name);
		return 0;
	case CHANGE_PUT_EXCEPTION:
	case CHANGE_DELETE_EXCEPTION:
		snprintf(name, CONFIG_OBJECT_NAME_BYTES, "config/exceptions");
		return 0;
	case CHANGE_PUT_DEFAULTS:
		snprintf(name, CONFIG_OBJECT_NAME_BYTES, "config/defaults");
		return 0;
	}
	return json_check_fail(e, "change", "unknown kind");
}

/*
 * Applies a change to an object's body, or to an empty object if "body" is
 * NULL. Returns the new body, malloc'd, with the change recorded in it and
 * validated as a whole. If the change is already recorded, the content stays
 * the same. Returns NULL with the reason in "e", NOT_FOUND if the change
 * concerns a team, key or exception that does not exist.
 */
char *change_apply(const struct change *c, const char *body, struct error *e)
{
	char name[CONFIG_OBJECT_NAME_BYTES];
	char *out = NULL;
	json_t *root;

	if (!c->id[0]) {
		json_check_fail(e, "change", "id: missing");
		return NULL;
	}
	if (change_object(c, name, e) != 0)
		return NULL;
	root = load(c, name, body, e);
	if (!root)
		return NULL;
	if (has_change(root, c->id)) {
		out = json_dumps(root, JSON_COMPACT);
	} else if (apply(c, root, e) == 0) {
		if (record_change(c, root) != 0)
			no_memory(e);
		else
			out = json_dumps(root, JSON_COMPACT);
	}
	json_decref(root);
	if (out && config_check(name, out, e) != 0) {
		free(out);
		return NULL;
	}
	return out;
}

/* Returns true if an object's body can be parsed; else "e" has the place. */
bool change_is_readable(const char *body, struct error *e)
{
	json_t *root = json_check_load(body, "object", e);
	bool ok = root != NULL;

	json_decref(root);
	return ok;
}

/*
 * Returns true if the change with this id is among an object's newest changes;
 * false also if the body can't be parsed.
 */
bool change_took_effect(const char *body, const char *id)
{
	json_t *root = json_check_load(body, "object", NULL);
	bool found = has_change(root, id);

	json_decref(root);
	return found;
}

/* Parses the current object, or creates an empty one if there is none. */
static json_t *load(const struct change *c, const char *name, const char *body,
		    struct error *e)
{
	json_t *root;

	if (body)
		return json_check_load(body, name, e);
	if (c->kind == CHANGE_PUT_DEFAULTS)
		root = json_object();
	else if (c->kind == CHANGE_PUT_EXCEPTION ||
		 c->kind == CHANGE_DELETE_EXCEPTION)
		root = json_pack("{s:{}}", "exceptions");
	else
		root = json_pack("{s:{}}", "teams");
	if (!root)
		no_memory(e);
	return root;
}

/* Applies the change to the parsed object. */
static int apply(const struct change *c, json_t *root, struct error *e)
{
	json_t *teams = json_object_get(root, "teams");
	json_t *exceptions = json_object_get(root, "exceptions");

	switch (c->kind) {
	case CHANGE_PUT_TEAM:
		return put_team(c, teams) ? no_memory(e) : 0;
	case CHANGE_DELETE_TEAM:
		return delete_team(c, teams, e);
	case CHANGE_ADD_KEY:
		return add_key(c, teams, e);
	case CHANGE_WITHDRAW_KEY:
		return withdraw_key(c, teams, e);
	case CHANGE_PUT_EXCEPTION:
		return put_exception(c, exceptions) ? no_memory(e) : 0;
	case CHANGE_DELETE_EXCEPTION:
		return delete_exception(c, exceptions, e);
	case CHANGE_PUT_DEFAULTS:
		return put_limits(&c->patch, root) ? no_memory(e) : 0;
	}
	return json_check_fail(e, "change", "unknown kind");
}

/* Creates a team, or replaces its services and weight; its keys stay. */
static int put_team(const struct change *c, json_t *teams)
{
	json_t *t = json_object_get(teams, c->team);
	json_t *list = json_array();
	int rc = 0;
	uint32_t i;

	if (!t) {
		rc |= json_object_set_new(teams, c->team,
					  json_pack("{s:{}}", "keys"));
		t = json_object_get(teams, c->team);
	}
	for (i = 0; i < c->n_services; i++)
		rc |= json_array_append_new(list, json_string(c->services[i]));
	rc |= json_object_set_new(t, "services", list);
	rc |= json_object_set_new(t, "weight",
				  json_integer(c->weight ? c->weight : 1));
	return rc;
}

/* Removes a team together with its keys. */
static int delete_team(const struct change *c, json_t *teams, struct error *e)
{
	if (json_object_del(teams, c->team) != 0)
		return error_set(e, ERR_NOT_FOUND, STEP_CONFIG_CHECK, "",
				 "no team %s", c->team);
	return 0;
}

/*
 * Adds a live key; its id must be new. If the team has TEAM_KEYS_MAX keys, a
 * withdrawn one is removed to make room.
 */
static int add_key(const struct change *c, json_t *teams, struct error *e)
{
	json_t *t = json_object_get(teams, c->team);
	json_t *keys;
	json_t *key;

	if (!t)
		return error_set(e, ERR_NOT_FOUND, STEP_CONFIG_CHECK, "",
				 "no team %s", c->team);
	keys = json_object_get(t, "keys");
	if (!keys) {
		json_object_set_new(t, "keys", json_object());
		keys = json_object_get(t, "keys");
	}
	if (json_object_get(keys, c->key_id))
		return error_set(e, ERR_CONFLICT, STEP_CONFIG_CHECK, "",
				 "key %s exists", c->key_id);
	if (json_object_size(keys) >= TEAM_KEYS_MAX && !drop_withdrawn(keys))
		return json_check_fail(e, c->team, "has %d live keys",
				       TEAM_KEYS_MAX);
	key = json_pack("{s:s,s:s}", "hash", c->key_hash, "state", "live");
	if (!keys || json_object_set_new(keys, c->key_id, key) != 0)
		return no_memory(e);
	return 0;
}

/* Withdraws a key; succeeds also if it is withdrawn already. */
static int withdraw_key(const struct change *c, json_t *teams, struct error *e)
{
	json_t *t = json_object_get(teams, c->team);
	json_t *key = json_object_get(json_object_get(t, "keys"), c->key_id);

	if (!key)
		return error_set(e, ERR_NOT_FOUND, STEP_CONFIG_CHECK, "",
				 "team %s has no key %s", c->team, c->key_id);
	if (json_object_set_new(key, "state", json_string("withdrawn")) != 0)
		return no_memory(e);
	return 0;
}

/* Creates or replaces an exception, including its reason. */
static int put_exception(const struct change *c, json_t *exceptions)
{
	json_t *v =
		json_pack("{s:s,s:s}", "team", c->team, "reason", c->reason);

	if (!v || put_limits(&c->patch, v) != 0) {
		json_decref(v);
		return -1;
	}
	return json_object_set_new(exceptions, c->exception_id, v);
}

/* Removes an exception. */
static int delete_exception(const struct change *c, json_t *exceptions,
			    struct error *e)
{
	if (json_object_del(exceptions, c->exception_id) != 0)
		return error_set(e, ERR_NOT_FOUND, STEP_CONFIG_CHECK, "",
				 "no exception %s", c->exception_id);
	return 0;
}

/* Sets the limits that the patch contains. */
static int put_limits(const struct limits_patch *p, json_t *o)
{
	int rc = 0;

	if (p->has_rate)
		rc |= json_object_set_new(o, "rate_per_s",
					  json_integer(p->limits.rate_per_s));
	if (p->has_burst)
		rc |= json_object_set_new(o, "burst",
					  json_integer(p->limits.burst));
	if (p->has_staleness)
		rc |= json_object_set_new(
			o, "read_staleness_ms",
			json_integer(p->limits.read_staleness_ms));
	return rc;
}

/* Removes the first withdrawn key; returns 1 if there was one, else 0. */
static int drop_withdrawn(json_t *keys)
{
	const char *id;
	json_t *v;

	json_object_foreach(keys, id, v)
	{
		const char *s = json_string_value(json_object_get(v, "state"));

		if (s && strcmp(s, "withdrawn") == 0)
			return json_object_del(keys, id) == 0;
	}
	return 0;
}

/*
 * Appends the change to the object's "changes": who changed what and why. Keeps
 * the newest CHANGES_KEPT.
 */
static int record_change(const struct change *c, json_t *root)
{
	json_t *list = json_object_get(root, "changes");
	json_t *r;

	if (!json_is_array(list)) {
		if (json_object_set_new(root, "changes", json_array()) != 0)
			return -1;
		list = json_object_get(root, "changes");
	}
	r = json_pack("{s:s,s:s,s:s}", "id", c->id, "by", c->by, "what",
		      change_kind_name(c->kind));
	if (!r)
		return -1;
	if (c->team[0])
		json_object_set_new(r, "team", json_string(c->team));
	if (c->key_id[0])
		json_object_set_new(r, "key", json_string(c->key_id));
	if (c->exception_id[0])
		json_object_set_new(r, "exception",
				    json_string(c->exception_id));
	if (c->reason[0])
		json_object_set_new(r, "reason", json_string(c->reason));
	if (json_array_append_new(list, r) != 0)
		return -1;
	while (json_array_size(list) > CHANGES_KEPT)
		json_array_remove(list, 0);
	return 0;
}

/*
 * Returns true if the id is among an object's "changes", each of which is
 * either a record or just an id.
 */
static bool has_change(const json_t *root, const char *id)
{
	json_t *list = json_object_get(root, "changes");
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		json_t *v = json_array_get(list, i);
		const char *s =
			json_is_string(v)
				? json_string_value(v)
				: json_string_value(json_object_get(v, "id"));

		if (s && strcmp(s, id) == 0)
			return true;
	}
	return false;
}

/* Sets an out-of-memory error; returns -1. */
static int no_memory(struct error *e)
{
	return error_set(e, ERR_SYSTEM, STEP_CONFIG_CHECK, "", "no memory");
}
