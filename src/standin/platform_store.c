#include "standin/platform_store.h"

#include <stdlib.h>
#include <string.h>

#include "standin/skiplist.h"

/* Records kept for each VM, from which an outdated VM list is served. */
#define VM_HISTORY_MAX 64

/* A versioned object. */
struct object {
	uint64_t version;
	uint64_t revision; /* revision of the store at the object's last change
			    */
	json_t *body;
};

/* A record of a VM and when it took effect. */
struct vm_record {
	usec_t since;
	json_t *record;
};

/* The history of a VM, oldest record first, and its last announcement. */
struct vm {
	usec_t announced_at;
	size_t n_records;
	struct vm_record records[VM_HISTORY_MAX];
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

/*
 * Returns an empty store. A VM expires "vm_expiry" after its last
 * announcement.
 */
struct platform_store *platform_store_create(usec_t vm_expiry)
{
	struct platform_store *s = xzalloc(sizeof(*s));

	s->objects = skiplist_create(object_free);
	s->vms = skiplist_create(vm_free);
	s->vm_expiry = vm_expiry;
	return s;
}

/* Frees a store and everything in it. */
void platform_store_destroy(struct platform_store *s)
{
	skiplist_destroy(s->objects);
	skiplist_destroy(s->vms);
	free(s);
}

/*
 * Returns the body of an object, which the store owns, or NULL. Sets
 * "version", 0 if there is no such object.
 */
const json_t *platform_store_get(const struct platform_store *s,
				 const char *name, uint64_t *version)
{
	const struct object *o = skiplist_get(s->objects, name);

	*version = o ? o->version : 0;
	return o ? o->body : NULL;
}

/*
 * Writes an object if its version is "expected" (0: it must not exist). Sets
 * "version" to the current version whether or not the write succeeds.
 */
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

/* Returns the number of changes to objects so far. */
uint64_t platform_store_revision(const struct platform_store *s)
{
	return s->revision;
}

/*
 * Returns a new JSON object with the current revision and the objects whose
 * name has the prefix and that changed after the given revision.
 */
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

/* Tells whether an object with the prefix changed after the revision. */
bool platform_store_has_changes(const struct platform_store *s,
				const char *prefix, uint64_t after)
{
	struct skiplist_node *n = skiplist_lower_bound(s->objects, prefix);

	return find_next_changed(&n, prefix, after);
}

/*
 * Stores a VM's record and the time of its announcement. Returns 0, or -1 with
 * UNPROCESSABLE if the record is invalid or OVERLOAD if there are too many
 * VMs.
 */
int platform_store_announce(struct platform_store *s, const json_t *record,
			    usec_t now, struct error *e)
{
	const char *name = json_string_value(json_object_get(record, "name"));
	const char *state = json_string_value(json_object_get(record, "state"));
	struct vm *v;

	if (!name || !state || !*name)
		return error_set(e, ERR_UNPROCESSABLE, STEP_MEMBERS, NULL,
				 "VM record lacks a name or a state");
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

/*
 * Returns the VM list as it was at "lag" before now: the VMs announced by then
 * that had not expired. Removes the VMs that had expired by then.
 */
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

/* Frees an object. */
static void object_free(void *p)
{
	struct object *o = p;

	json_decref(o->body);
	free(o);
}

/* Frees a VM and its records. */
static void vm_free(void *p)
{
	struct vm *v = p;
	size_t i;

	for (i = 0; i < v->n_records; i++)
		json_decref(v->records[i].record);
	free(v);
}

/*
 * Advances to the next object that has the prefix and changed after the
 * revision. Returns false if there is none.
 */
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

/*
 * Appends a record to the history of a VM and drops the oldest if it is full.
 */
static void append_record(struct vm *v, const json_t *record, usec_t now)
{
	if (v->n_records == VM_HISTORY_MAX) {
		json_decref(v->records[0].record);
		memmove(&v->records[0], &v->records[1],
			(VM_HISTORY_MAX - 1) * sizeof(v->records[0]));
		v->n_records--;
	}
	v->records[v->n_records].since = now;
	v->records[v->n_records].record = json_deep_copy(record);
	v->n_records++;
}

/* Returns the newest record that is not newer than a time, or NULL. */
static json_t *record_at(const struct vm *v, usec_t at_time)
{
	size_t i;

	for (i = v->n_records; i-- > 0;) {
		if (v->records[i].since <= at_time)
			return v->records[i].record;
	}
	return NULL;
}
