#include "plugins/platform_objects.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/platform.h"

static json_t *parse_list(const char *json, const char *list, json_t **items,
			  struct error *e);
static int check_object(const json_t *item, struct error *e);
static void call_for_object(const json_t *item, platform_object_fn fn,
			    void *ctx);
static int parse_vm_record(const json_t *item, struct member *out,
			   struct error *e);
static bool copy_text(const json_t *item, const char *key, char *out,
		      size_t size);
static int malformed(struct error *e, const char *what);

/*
 * Parses the response to a list or watch. A malformed one returns -1 with
 * BAD_REQUEST at step PARSE, before "fn" is called.
 */
int platform_objects_parse(const char *json, uint64_t *revision,
			   platform_object_fn fn, void *ctx, struct error *e)
{
	json_t *items, *item, *rev;
	json_t *root = parse_list(json, "objects", &items, e);
	size_t i;

	if (!root)
		return -1;
	rev = json_object_get(root, "revision");
	if (!json_is_integer(rev) || json_integer_value(rev) < 0) {
		json_decref(root);
		return malformed(e, "revision");
	}
	json_array_foreach(items, i, item)
	{
		if (check_object(item, e)) {
			json_decref(root);
			return -1;
		}
	}
	*revision = (uint64_t)json_integer_value(rev);
	json_array_foreach(items, i, item)
	{
		call_for_object(item, fn, ctx);
	}
	json_decref(root);
	return 0;
}

/*
 * Parses the list of VMs. The first pass checks every record, the second calls
 * "fn"; a VM that is listed twice is passed twice.
 */
int platform_vms_parse(const char *json, platform_vm_fn fn, void *ctx,
		       struct error *e)
{
	json_t *items, *item;
	json_t *root = parse_list(json, "vms", &items, e);
	struct member vm;
	size_t i;
	int pass;

	if (!root)
		return -1;
	if (json_array_size(items) > LISTED_VMS_MAX) {
		json_decref(root);
		return malformed(e, "number of VMs");
	}
	for (pass = 0; pass < 2; pass++) {
		json_array_foreach(items, i, item)
		{
			if (parse_vm_record(item, &vm, e)) {
				json_decref(root);
				return -1;
			}
			if (pass == 1)
				fn(ctx, &vm);
		}
	}
	json_decref(root);
	return 0;
}

/* Returns a VM's record as malloc'd JSON; NULL if memory is short. */
char *platform_vm_record(const struct member *self)
{
	json_t *j = json_pack("{s:s,s:s,s:I,s:s,s:s,s:s}", "name", self->name,
			      "domain", self->domain, "incarnation",
			      (json_int_t)self->incarnation, "peer", self->peer,
			      "caller", self->caller, "state",
			      self->departing ? "departing" : "live");
	char *text;

	if (!j)
		return NULL;
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return text;
}

/*
 * Returns whether an object of this name belongs to this system; the platform
 * stores objects of other systems, too.
 */
bool platform_object_is_own(const char *name)
{
	static const char *const prefixes[] = { "groups/", "config/", "teams/",
						"secrets/", "escrow/" };
	size_t i;

	for (i = 0; i < sizeof(prefixes) / sizeof(prefixes[0]); i++) {
		if (strncmp(name, prefixes[i], strlen(prefixes[i])) == 0)
			return true;
	}
	return false;
}

/*
 * Parses a response and sets "items" to its array "list"; returns NULL with "e"
 * set if it is malformed.
 */
static json_t *parse_list(const char *json, const char *list, json_t **items,
			  struct error *e)
{
	json_error_t why;
	json_t *root = json_loads(json ? json : "", 0, &why);

	if (!root) {
		malformed(e, why.text);
		return NULL;
	}
	*items = json_object_get(root, list);
	if (!json_is_array(*items)) {
		json_decref(root);
		malformed(e, list);
		return NULL;
	}
	return root;
}

/* Checks that an object has a name, a version and a JSON object as body. */
static int check_object(const json_t *item, struct error *e)
{
	const json_t *version = json_object_get(item, "version");
	char name[OBJECT_NAME_BYTES];

	if (!copy_text(item, "name", name, sizeof(name)))
		return malformed(e, "object name");
	if (!json_is_integer(version) || json_integer_value(version) < 1)
		return malformed(e, "object version");
	if (!json_is_object(json_object_get(item, "body")))
		return malformed(e, "object body");
	return 0;
}

/* Calls "fn" for an object if it belongs to this system. */
static void call_for_object(const json_t *item, platform_object_fn fn,
			    void *ctx)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	json_int_t version =
		json_integer_value(json_object_get(item, "version"));
	char *body;

	if (!platform_object_is_own(name))
		return;
	body = json_dumps(json_object_get(item, "body"), JSON_COMPACT);
	if (!body)
		return;
	fn(ctx, name, (uint64_t)version, body);
	free(body);
}

/* Parses one VM's record; returns -1 with "e" set if it is malformed. */
static int parse_vm_record(const json_t *item, struct member *out,
			   struct error *e)
{
	const json_t *incarnation = json_object_get(item, "incarnation");
	char state[16];

	memset(out, 0, sizeof(*out));
	if (!copy_text(item, "name", out->name, sizeof(out->name)) ||
	    !copy_text(item, "domain", out->domain, sizeof(out->domain)) ||
	    !copy_text(item, "peer", out->peer, sizeof(out->peer)) ||
	    !copy_text(item, "caller", out->caller, sizeof(out->caller)) ||
	    !copy_text(item, "state", state, sizeof(state)))
		return malformed(e, "VM record");
	if (!json_is_integer(incarnation) ||
	    json_integer_value(incarnation) < 0)
		return malformed(e, "VM incarnation");
	if (strcmp(state, "live") != 0 && strcmp(state, "departing") != 0)
		return malformed(e, "VM state");
	out->incarnation = (uint64_t)json_integer_value(incarnation);
	out->departing = strcmp(state, "departing") == 0;
	return 0;
}

/* Copies a string; returns false if it is missing, empty or too long. */
static bool copy_text(const json_t *item, const char *key, char *out,
		      size_t size)
{
	const char *text = json_string_value(json_object_get(item, key));

	if (!text || text[0] == '\0' || strlen(text) >= size)
		return false;
	memcpy(out, text, strlen(text) + 1);
	return true;
}

/* Sets the error for a malformed part of a response; returns -1. */
static int malformed(struct error *e, const char *what)
{
	return error_set(e, ERR_BAD_REQUEST, STEP_PARSE, "platform",
			 "malformed answer: %s", what);
}
