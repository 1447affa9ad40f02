#include "kernel/object_store.h"

#include <apr_general.h>
#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_thread_mutex.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/platform.h"

struct object {
	char name[OBJECT_NAME_BYTES];
	uint64_t version;
	char *body;
	size_t body_len; /* bytes */
};

struct subscriber {
	struct subscriber *next;
	char prefix[OBJECT_NAME_BYTES];
	store_check_fn check;
	store_apply_fn apply;
	void *ctx;
};

/*
 * "update_lock" serialises updates and subscriptions, so that each subscriber
 * sees increasing versions. "lock" protects only the table, so that subscribers
 * may read it while they apply an object. The locks are taken in this order.
 */
struct store {
	apr_pool_t *pool;
	apr_thread_mutex_t *update_lock;
	apr_thread_mutex_t *lock;
	apr_hash_t *objects;
	struct subscriber *subscribers;
};

static struct object *object_create(const char *name, uint64_t version,
				    const char *body);
static void object_destroy(struct object *o);
static bool has_prefix(const char *name, const char *prefix);
static struct object *find_object(struct store *s, const char *name);
static int check_update(struct store *s, const char *name, uint64_t version,
			const char *body, struct error *e);
static void replace_object(struct store *s, struct object *updated);
static void apply_existing(struct store *s, const struct subscriber *u);

/* Creates an empty store; NULL if memory is short. */
struct store *store_create(void)
{
	struct store *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	if (apr_initialize() != APR_SUCCESS ||
	    apr_pool_create(&s->pool, NULL) != APR_SUCCESS) {
		free(s);
		return NULL;
	}
	if (apr_thread_mutex_create(&s->update_lock, APR_THREAD_MUTEX_DEFAULT,
				    s->pool) != APR_SUCCESS ||
	    apr_thread_mutex_create(&s->lock, APR_THREAD_MUTEX_DEFAULT,
				    s->pool) != APR_SUCCESS) {
		apr_pool_destroy(s->pool);
		free(s);
		return NULL;
	}
	s->objects = apr_hash_make(s->pool);
	return s;
}

/* Frees the store, which must no longer be in use. */
void store_destroy(struct store *s)
{
	struct subscriber *u;
	apr_hash_index_t *i;
	void *o;

	if (!s)
		return;
	for (i = apr_hash_first(s->pool, s->objects); i; i = apr_hash_next(i)) {
		apr_hash_this(i, NULL, NULL, &o);
		object_destroy(o);
	}
	while ((u = s->subscribers)) {
		s->subscribers = u->next;
		free(u);
	}
	apr_pool_destroy(s->pool);
	free(s);
}

/*
 * Adds a subscriber for the names under a prefix ("" for all). Its callbacks
 * may read the store, but must neither update it nor subscribe.
 */
void store_subscribe(struct store *s, const char *prefix, store_check_fn check,
		     store_apply_fn apply, void *ctx)
{
	struct subscriber *u = calloc(1, sizeof(*u));

	if (!u)
		abort();
	strncpy(u->prefix, prefix, sizeof(u->prefix) - 1);
	u->check = check;
	u->apply = apply;
	u->ctx = ctx;
	apr_thread_mutex_lock(s->update_lock);
	u->next = s->subscribers;
	s->subscribers = u;
	apply_existing(s, u);
	apr_thread_mutex_unlock(s->update_lock);
}

/*
 * Updates an object. Returns true if the version is newer than the one known,
 * passed every check and was applied. False with an empty error means that this
 * version or a newer one is already known. False with an error means that it
 * was refused and the previous version stays.
 */
bool store_update(struct store *s, const char *name, uint64_t version,
		  const char *body, struct error *e)
{
	struct subscriber *u;
	struct object *updated;

	error_clear(e);
	apr_thread_mutex_lock(s->update_lock);
	if (version <= store_version(s, name) && version > 0) {
		apr_thread_mutex_unlock(s->update_lock);
		return false;
	}
	if (check_update(s, name, version, body, e)) {
		apr_thread_mutex_unlock(s->update_lock);
		return false;
	}
	updated = object_create(name, version, body);
	if (!updated) {
		apr_thread_mutex_unlock(s->update_lock);
		error_set(e, ERR_SYSTEM, STEP_CONFIG_APPLY, name,
			  "out of memory");
		return false;
	}
	replace_object(s, updated);
	/* The table owns it: NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
	for (u = s->subscribers; u; u = u->next) {
		if (u->apply && has_prefix(name, u->prefix))
			u->apply(u->ctx, name, version, body);
	}
	apr_thread_mutex_unlock(s->update_lock);
	return true;
}

/* Calls fn for each object under a prefix, with the table's lock held. */
void store_for_each(struct store *s, const char *prefix, store_visit_fn fn,
		    void *ctx)
{
	apr_hash_index_t *i;
	struct object *o;
	void *value;

	apr_thread_mutex_lock(s->lock);
	for (i = apr_hash_first(NULL, s->objects); i; i = apr_hash_next(i)) {
		apr_hash_this(i, NULL, NULL, &value);
		o = value;
		if (has_prefix(o->name, prefix))
			fn(ctx, o->name, o->version, o->body_len);
	}
	apr_thread_mutex_unlock(s->lock);
}

/* Returns the number of objects. */
size_t store_count(struct store *s)
{
	size_t n;

	apr_thread_mutex_lock(s->lock);
	n = apr_hash_count(s->objects);
	apr_thread_mutex_unlock(s->lock);
	return n;
}

/* Returns the size of an object's body in bytes; 0 if it is not known. */
size_t store_body_size(struct store *s, const char *name)
{
	const struct object *o;
	size_t len;

	apr_thread_mutex_lock(s->lock);
	o = find_object(s, name);
	len = o ? o->body_len : 0;
	apr_thread_mutex_unlock(s->lock);
	return len;
}

/* Returns the known version of an object; 0 if there is none. */
uint64_t store_version(struct store *s, const char *name)
{
	const struct object *o;
	uint64_t v;

	apr_thread_mutex_lock(s->lock);
	o = find_object(s, name);
	v = o ? o->version : 0;
	apr_thread_mutex_unlock(s->lock);
	return v;
}

/*
 * Returns a copy of an object's body, NUL-terminated, for the caller to free;
 * NULL if it is not known or memory is short.
 */
char *store_get(struct store *s, const char *name, uint64_t *version)
{
	const struct object *o;
	char *body = NULL;

	apr_thread_mutex_lock(s->lock);
	o = find_object(s, name);
	if (o)
		body = strdup(o->body);
	if (version)
		*version = body ? o->version : 0;
	apr_thread_mutex_unlock(s->lock);
	return body;
}

/* Copies an object; NULL if memory is short. */
static struct object *object_create(const char *name, uint64_t version,
				    const char *body)
{
	struct object *o = calloc(1, sizeof(*o));

	if (!o)
		return NULL;
	o->body = strdup(body);
	if (!o->body) {
		free(o);
		return NULL;
	}
	strncpy(o->name, name, sizeof(o->name) - 1);
	o->body_len = strlen(body);
	o->version = version;
	return o;
}

/* Frees one object. */
static void object_destroy(struct object *o)
{
	free(o->body);
	free(o);
}

/* Returns whether a name starts with a prefix. */
static bool has_prefix(const char *name, const char *prefix)
{
	return strncmp(name, prefix, strlen(prefix)) == 0;
}

/* Returns an object, or NULL. The table's lock is held. */
static struct object *find_object(struct store *s, const char *name)
{
	return apr_hash_get(s->objects, name, APR_HASH_KEY_STRING);
}

/*
 * Checks the sizes, then calls the check of every subscriber; returns -1 with
 * the first failure.
 */
static int check_update(struct store *s, const char *name, uint64_t version,
			const char *body, struct error *e)
{
	struct subscriber *u;
	size_t len = strlen(name);

	if (len == 0 || len >= OBJECT_NAME_BYTES)
		return error_set(e, ERR_BAD_REQUEST, STEP_CONFIG_CHECK, NULL,
				 "object name has %zu bytes", len);
	if (version == 0)
		return error_set(e, ERR_BAD_REQUEST, STEP_CONFIG_CHECK, NULL,
				 "%s: version must not be 0", name);
	if (strlen(body) > OBJECT_MAX_BYTES)
		return error_set(e, ERR_TOO_LARGE, STEP_CONFIG_CHECK, NULL,
				 "%s is larger than %d bytes", name,
				 OBJECT_MAX_BYTES);
	for (u = s->subscribers; u; u = u->next) {
		if (!u->check || !has_prefix(name, u->prefix))
			continue;
		if (u->check(u->ctx, name, version, body, e))
			return -1;
	}
	return 0;
}

/* Replaces the previous version of an object, or adds it. */
static void replace_object(struct store *s, struct object *updated)
{
	struct object *old;

	apr_thread_mutex_lock(s->lock);
	old = find_object(s, updated->name);
	/* The key is a string in the old object, and the table would keep it
	 * for the new value; so the old entry is removed first. */
	if (old)
		apr_hash_set(s->objects, old->name, APR_HASH_KEY_STRING, NULL);
	apr_hash_set(s->objects, updated->name, APR_HASH_KEY_STRING, updated);
	apr_thread_mutex_unlock(s->lock);
	if (old)
		object_destroy(old);
}

/*
 * Passes every known object under a new subscriber's prefix to its apply().
 * update_lock is held.
 */
static void apply_existing(struct store *s, const struct subscriber *u)
{
	apr_hash_index_t *i;
	struct object *o;
	void *value;

	if (!u->apply)
		return;
	/* No update can change the table here, so it is read without the lock.
	 */
	for (i = apr_hash_first(s->pool, s->objects); i; i = apr_hash_next(i)) {
		apr_hash_this(i, NULL, NULL, &value);
		o = value;
		if (has_prefix(o->name, u->prefix))
			u->apply(u->ctx, o->name, o->version, o->body);
	}
}
