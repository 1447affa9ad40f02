#include "standin/platform_store.h"

#include <stdlib.h>
#include <string.h>

#include "standin/omap.h"

#define VM_RECORDS_MAX 64 /* states of a VM that the lag may still show */

struct object {
	uint64_t version;
	uint64_t revision; /* of its last change */
	json_t *body;
};

/* A record that held from a time on. */
struct vm_record {
	usec_t since;
	json_t *record;
};

/* One incarnation's states, oldest first, and its newest announcement. */
struct vm {
	usec_t announced_at;
	size_t n_records;
	struct vm_record records[VM_RECORDS_MAX];
};

struct platform_store {
	struct skiplist *objects;
	struct skiplist *vms;
	uint64_t revision;
	usec_t vm_expiry;
};

static void object_free(void *p);
static void vm_free(void *p);
static bool find_next_changed(struct skiplist_node **n, const char *prefix,
			      uint64_t after);
static void append_record(struct vm *v, const json_t *record, usec_t now);
static json_t *record_at(const struct vm *v, usec_t at_time);

struct platform_store *platform_store_create(usec_t vm_expiry)
{
	struct platform_store *s = xzalloc(sizeof(*s));

	s->objects = skiplist_create(object_free);
	s->vms = skiplist_create(vm_free);
	s->vm_expiry = vm_expiry;
	return s;
}

void platform_store_destroy(struct platform_store *s)
{
	skiplist_destroy(s->objects);
	skiplist_destroy(s->vms);
	free(s);
}

const json_t *platform_store_get(const struct platform_store *s,
				 const char *name, uint64_t *version)
{
	const struct object *o = skiplist_get(s->objects, name);

	*version = o ? o->version : 0;
	return o ? o->body : NULL;
}

enum put_result platform_store_put(struct platform_store *s, const char *name,
				   uint64_t expected, json_t *body,
				   uint64_t *version)
{
	struct object *o = skiplist_get(s->objects, name);

	*version = o ? o->version : 0;
	if (expected != PLATFORM_VERSION_ANY && expected != *version)
		return PUT_CONFLICT;
	if (!o) {
		if (skiplist_size(s->objects) >= PLATFORM_OBJECTS_MAX)
			return PUT_FULL;
		o = xzalloc(sizeof(*o));
		skiplist_put(s->objects, name, o);
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
	struct skiplist_node *n = skiplist_lower_bound(s->objects, prefix);
	json_t *list = json_array();
	const struct object *o;

	for (; find_next_changed(&n, prefix, after); n = skiplist_next(n)) {
		o = skiplist_value(n);
		json_array_append_new(list,
				      json_pack("{s:s,s:I,s:O}", "name",
						skiplist_key(n), "version",
						(json_int_t)o->version, "body",
						o->body));
	}
	return json_pack("{s:I,s:o}", "revision", (json_int_t)s->revision,
			 "objects", list);
}

bool platform_store_has_changes(const struct platform_store *s,
				const char *prefix, uint64_t after)
{
	struct skiplist_node *n = skiplist_lower_bound(s->objects, prefix);

	return find_next_changed(&n, prefix, after);
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
	v = skiplist_get(s->vms, name);
	if (!v && skiplist_size(s->vms) >= PLATFORM_VMS_MAX)
		return error_set(e, ERR_OVERLOAD, STEP_MEMBERS, NULL,
				 "too many VMs");
	if (!v) {
		v = xzalloc(sizeof(*v));
		skiplist_put(s->vms, name, v);
	}
	v->announced_at = now;
	if (v->n_records &&
	    json_equal(v->records[v->n_records - 1].record, record))
		return 0;
	append_record(v, record, now);
	return 0;
}

json_t *platform_store_list_vms(struct platform_store *s, usec_t now,
				usec_t lag)
{
	struct skiplist_node *n = skiplist_lower_bound(s->vms, "");
	struct skiplist_node *next;
	json_t *list = json_array();
	usec_t at_time = now - lag;
	const struct vm *v;
	json_t *record;

	for (; n; n = next) {
		next = skiplist_next(n);
		v = skiplist_value(n);
		if (at_time - v->announced_at > s->vm_expiry) {
			skiplist_remove(s->vms, skiplist_key(n));
			continue;
		}
		record = record_at(v, at_time);
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

	for (i = 0; i < v->n_records; i++)
		json_decref(v->records[i].record);
	free(v);
}

/* Moves to the next object of a prefix that changed after a revision. */
static bool find_next_changed(struct skiplist_node **n, const char *prefix,
			      uint64_t after)
{
	size_t len = strlen(prefix);
	const struct object *o;

	for (; *n; *n = skiplist_next(*n)) {
		if (strncmp(skiplist_key(*n), prefix, len) != 0)
			return false;
		o = skiplist_value(*n);
		if (o->revision > after)
			return true;
	}
	return false;
}

static void append_record(struct vm *v, const json_t *record, usec_t now)
{
	if (v->n_records == VM_RECORDS_MAX) {
		json_decref(v->records[0].record);
		memmove(&v->records[0], &v->records[1],
			(VM_RECORDS_MAX - 1) * sizeof(v->records[0]));
		v->n_records--;
	}
	v->records[v->n_records].since = now;
	v->records[v->n_records].record = json_deep_copy(record);
	v->n_records++;
}

/* The newest record from no later than a time; NULL if there was none. */
static json_t *record_at(const struct vm *v, usec_t at_time)
{
	size_t i;

	for (i = v->n_records; i-- > 0;) {
		if (v->records[i].since <= at_time)
			return v->records[i].record;
	}
	return NULL;
}
