#include "standin/platform_store.h"

#include <stdlib.h>
#include <string.h>

#include "standin/omap.h"

#define VM_STATES_MAX 64 /* states of a VM that the lag may still show */

struct object {
	uint64_t version;
	uint64_t revision; /* of its last change */
	json_t *body;
};

/* A record that held from a time on. */
struct vm_state {
	usec_t from;
	json_t *record;
};

/* One incarnation's states, oldest first, and its newest announcement. */
struct vm {
	usec_t announced_at;
	size_t n;
	struct vm_state state[VM_STATES_MAX];
};

struct platform_store {
	struct omap *objects;
	struct omap *vms;
	uint64_t revision;
	usec_t vm_expiry;
};

static void object_free(void *p);
static void vm_free(void *p);
static bool next_match(struct omap_node **n, const char *prefix,
		       uint64_t after);
static void push_state(struct vm *v, const json_t *record, usec_t now);
static json_t *state_at(const struct vm *v, usec_t when);

struct platform_store *platform_store_create(usec_t vm_expiry)
{
	struct platform_store *s = must_alloc(sizeof(*s));

	s->objects = omap_create(object_free);
	s->vms = omap_create(vm_free);
	s->vm_expiry = vm_expiry;
	return s;
}

void platform_store_destroy(struct platform_store *s)
{
	omap_destroy(s->objects);
	omap_destroy(s->vms);
	free(s);
}

const json_t *platform_store_get(const struct platform_store *s,
				 const char *name, uint64_t *version)
{
	const struct object *o = omap_get(s->objects, name);

	*version = o ? o->version : 0;
	return o ? o->body : NULL;
}

enum put_result platform_store_put(struct platform_store *s, const char *name,
				   uint64_t expected, json_t *body,
				   uint64_t *version)
{
	struct object *o = omap_get(s->objects, name);

	*version = o ? o->version : 0;
	if (expected != PLATFORM_EXPECT_ANY && expected != *version)
		return PUT_CONFLICT;
	if (!o) {
		if (omap_size(s->objects) >= PLATFORM_OBJECTS_MAX)
			return PUT_FULL;
		o = must_alloc(sizeof(*o));
		omap_put(s->objects, name, o);
	}
	json_decref(o->body);
	o->body = json_incref(body);
	o->revision = ++s->revision;
	*version = ++o->version;
	return PUT_OK;
}

uint64_t platform_store_revision(const struct platform_store *s)
{
	return s->revision;
}

json_t *platform_store_list(const struct platform_store *s, const char *prefix,
			    uint64_t after)
{
	struct omap_node *n = omap_from(s->objects, prefix);
	json_t *list = json_array();
	const struct object *o;

	for (; next_match(&n, prefix, after); n = omap_next(n)) {
		o = omap_value(n);
		json_array_append_new(list, json_pack("{s:s,s:I,s:O}", "name",
						      omap_key(n), "version",
						      (json_int_t)o->version,
						      "body", o->body));
	}
	return json_pack("{s:I,s:o}", "revision", (json_int_t)s->revision,
			 "objects", list);
}

bool platform_store_changed(const struct platform_store *s, const char *prefix,
			    uint64_t after)
{
	struct omap_node *n = omap_from(s->objects, prefix);

	return next_match(&n, prefix, after);
}

int platform_store_announce(struct platform_store *s, const json_t *record,
			    usec_t now, struct error *e)
{
	const char *name = json_string_value(json_object_get(record, "name"));
	const char *state = json_string_value(json_object_get(record, "state"));
	struct vm *v;

	if (!name || !state || !*name)
		return error_set(e, ERR_UNPROCESSABLE, STEP_MEMBERS, NULL,
				 "a VM needs a name and a state");
	v = omap_get(s->vms, name);
	if (!v && omap_size(s->vms) >= PLATFORM_VMS_MAX)
		return error_set(e, ERR_OVERLOAD, STEP_MEMBERS, NULL,
				 "too many VMs");
	if (!v) {
		v = must_alloc(sizeof(*v));
		omap_put(s->vms, name, v);
	}
	v->announced_at = now;
	if (v->n && json_equal(v->state[v->n - 1].record, record))
		return 0;
	push_state(v, record, now);
	return 0;
}

json_t *platform_store_vms(struct platform_store *s, usec_t now, usec_t lag)
{
	struct omap_node *n = omap_from(s->vms, "");
	struct omap_node *next;
	json_t *list = json_array();
	usec_t when = now - lag;
	const struct vm *v;
	json_t *record;

	for (; n; n = next) {
		next = omap_next(n);
		v = omap_value(n);
		if (when - v->announced_at > s->vm_expiry) {
			omap_remove(s->vms, omap_key(n));
			continue;
		}
		record = state_at(v, when);
		if (record)
			json_array_append(list, record);
	}
	return json_pack("{s:o}", "vms", list);
}

static void object_free(void *p)
{
	struct object *o = p;

	json_decref(o->body);
	free(o);
}

static void vm_free(void *p)
{
	struct vm *v = p;
	size_t i;

	for (i = 0; i < v->n; i++)
		json_decref(v->state[i].record);
	free(v);
}

/* Moves to the next object of a prefix that changed after a revision. */
static bool next_match(struct omap_node **n, const char *prefix, uint64_t after)
{
	size_t len = strlen(prefix);
	const struct object *o;

	for (; *n; *n = omap_next(*n)) {
		if (strncmp(omap_key(*n), prefix, len) != 0)
			return false;
		o = omap_value(*n);
		if (o->revision > after)
			return true;
	}
	return false;
}

static void push_state(struct vm *v, const json_t *record, usec_t now)
{
	if (v->n == VM_STATES_MAX) {
		json_decref(v->state[0].record);
		memmove(&v->state[0], &v->state[1],
			(VM_STATES_MAX - 1) * sizeof(v->state[0]));
		v->n--;
	}
	v->state[v->n].from = now;
	v->state[v->n].record = json_deep_copy(record);
	v->n++;
}

/* The newest record from no later than a time; NULL if there was none. */
static json_t *state_at(const struct vm *v, usec_t when)
{
	size_t i;

	for (i = v->n; i-- > 0;) {
		if (v->state[i].from <= when)
			return v->state[i].record;
	}
	return NULL;
}
