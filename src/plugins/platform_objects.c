#include "plugins/platform_objects.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/platform.h"

static json_t *load(const char *json, const char *list, json_t **items,
		    struct error *e);
static int check_object(const json_t *item, struct error *e);
static void pass_object(const json_t *item, platform_object_fn fn, void *ctx);
static int read_vm(const json_t *item, struct member *out, struct error *e);
static bool copy_text(const json_t *item, const char *key, char *out,
		      size_t size);
static int malformed(struct error *e, const char *what);

/* See the header; errors are BAD_REQUEST at PARSE. */
int platform_objects_parse(const char *json, uint64_t *revision,
			   platform_object_fn fn, void *ctx, struct error *e)
{
	json_t *items, *item, *rev;
	json_t *root = load(json, "objects", &items, e);
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
		pass_object(item, fn, ctx);
	}
	json_decref(root);
	return 0;
}

/* See the header; a VM that is named twice is passed on twice. */
int platform_vms_parse(const char *json, platform_vm_fn fn, void *ctx,
		       struct error *e)
{
	json_t *items, *item;
	json_t *root = load(json, "vms", &items, e);
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
			if (read_vm(item, &vm, e)) {
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

/* Writes a VM's record. */
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

/* The platform keeps objects of others, too. */
bool platform_object_ours(const char *name)
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

/* Parses an answer that must hold an array under the key. */
static json_t *load(const char *json, const char *list, json_t **items,
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

/* An object has a name, a version and a body that is an object. */
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

/* Passes one object on, if it is this system's. */
static void pass_object(const json_t *item, platform_object_fn fn, void *ctx)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	json_int_t version =
		json_integer_value(json_object_get(item, "version"));
	char *body;

	if (!platform_object_ours(name))
		return;
	body = json_dumps(json_object_get(item, "body"), JSON_COMPACT);
	if (!body)
		return;
	fn(ctx, name, (uint64_t)version, body);
	free(body);
}

/* Reads one VM's record. */
static int read_vm(const json_t *item, struct member *out, struct error *e)
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

/* Copies a text that is not empty and fits. */
static bool copy_text(const json_t *item, const char *key, char *out,
		      size_t size)
{
	const char *text = json_string_value(json_object_get(item, key));

	if (!text || text[0] == '\0' || strlen(text) >= size)
		return false;
	memcpy(out, text, strlen(text) + 1);
	return true;
}

/* Names what was not as it should be. */
static int malformed(struct error *e, const char *what)
{
	return error_set(e, ERR_BAD_REQUEST, STEP_PARSE, "platform",
			 "malformed answer: %s", what);
}
