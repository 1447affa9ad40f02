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
static int put_exception(const struct change *c, json_t *all);
static int delete_exception(const struct change *c, json_t *all,
			    struct error *e);
static int put_limits(const struct limits_patch *p, json_t *o);
static int drop_withdrawn(json_t *keys);
static int record(const struct change *c, json_t *root);
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

/* Name of a kind of change, as in the record of changes. */
const char *change_kind_name(enum change_kind kind)
{
	return kind_names[kind];
}

/* The name of the object that a change is made in; -1 if it names no team. */
int change_object(const struct change *c, char name[CONFIG_OBJECT_NAME_BYTES],
		  struct error *e)
{
	switch (c->kind) {
	case CHANGE_PUT_TEAM:
	case CHANGE_DELETE_TEAM:
	case CHANGE_ADD_KEY:
	case CHANGE_WITHDRAW_KEY:
		if (!config_name_ok(c->team))
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
 * Applies a change to an object's body, NULL if the object does not exist
 * yet. Returns the new body, malloc'd, with the change recorded and the whole
 * checked; the same body if the change is in it already; NULL with the
 * reason, NOT_FOUND where it changes what is not there.
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
		if (record(c, root) != 0)
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

/* Can the object be read? If not, "e" says where it fails. */
bool change_readable(const char *body, struct error *e)
{
	json_t *root = json_check_load(body, "object", e);
	bool ok = root != NULL;

	json_decref(root);
	return ok;
}

/* Did the change with this id take effect in the object? */
bool change_took_effect(const char *body, const char *id)
{
	json_t *root = json_check_load(body, "object", NULL);
	bool found = has_change(root, id);

	json_decref(root);
	return found;
}

/* The current object, or a new one without content. */
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

/* Makes the change in the parsed object. */
static int apply(const struct change *c, json_t *root, struct error *e)
{
	json_t *teams = json_object_get(root, "teams");
	json_t *all = json_object_get(root, "exceptions");

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
		return put_exception(c, all) ? no_memory(e) : 0;
	case CHANGE_DELETE_EXCEPTION:
		return delete_exception(c, all, e);
	case CHANGE_PUT_DEFAULTS:
		return put_limits(&c->patch, root) ? no_memory(e) : 0;
	}
	return json_check_fail(e, "change", "unknown kind");
}

/* Creates a team, or replaces its services and weight and keeps its keys. */
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

/* Removes a team with its keys, which are unknown from then on. */
static int delete_team(const struct change *c, json_t *teams, struct error *e)
{
	if (json_object_del(teams, c->team) != 0)
		return error_set(e, ERR_NOT_FOUND, STEP_CONFIG_CHECK, "",
				 "no team %s", c->team);
	return 0;
}

/*
 * Adds a live key; its id must be new. Where the team has as many as it may,
 * one that is withdrawn makes room.
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

/* Withdraws a key; doing so again is no failure. */
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

/* Creates or replaces an exception, its reason with it. */
static int put_exception(const struct change *c, json_t *all)
{
	json_t *v =
		json_pack("{s:s,s:s}", "team", c->team, "reason", c->reason);

	if (!v || put_limits(&c->patch, v) != 0) {
		json_decref(v);
		return -1;
	}
	return json_object_set_new(all, c->exception_id, v);
}

/* Removes an exception. */
static int delete_exception(const struct change *c, json_t *all,
			    struct error *e)
{
	if (json_object_del(all, c->exception_id) != 0)
		return error_set(e, ERR_NOT_FOUND, STEP_CONFIG_CHECK, "",
				 "no exception %s", c->exception_id);
	return 0;
}

/* Sets those limits that the patch has. */
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

/* Drops the first withdrawn key; 1 if there was one. */
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

/* Adds the change to the object's newest ones: who, what and why. */
static int record(const struct change *c, json_t *root)
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

/* Is the id among the changes, which are records or bare ids? */
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

static int no_memory(struct error *e)
{
	return error_set(e, ERR_SYSTEM, STEP_CONFIG_CHECK, "", "no memory");
}
