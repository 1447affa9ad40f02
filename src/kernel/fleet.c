#include "kernel/fleet.h"

#include <apr_general.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/fleet_internal.h"
#include "kernel/kernel.h"

#define RANKED_MAX 64

static int make_lock(struct fleet *f);
static void copy_vm(const struct membership *m, vm_handle h,
		    struct fleet_vm *out);
static bool is_candidate(const struct membership *m, vm_handle h,
			 const char *not_domain);

/* Creates a fleet that knows only this VM; NULL if memory is short. */
struct fleet *fleet_create(const struct kernel *k)
{
	const struct settings *s = &k->settings;
	struct fleet *f = calloc(1, sizeof(*f));
	struct member self = { .incarnation = k->incarnation };

	if (!f)
		return NULL;
	snprintf(self.name, sizeof(self.name), "%s", s->vm);
	snprintf(self.domain, sizeof(self.domain), "%s", s->domain);
	snprintf(self.peer, sizeof(self.peer), "%s", s->peer_listen);
	snprintf(self.caller, sizeof(self.caller), "%s", s->caller_listen);
	f->members = membership_create(&self);
	if (!f->members || make_lock(f)) {
		fleet_destroy(f);
		return NULL;
	}
	freshness_init(&f->fresh, s->domain);
	return f;
}

/* Frees a fleet, which must no longer be in use. */
void fleet_destroy(struct fleet *f)
{
	if (!f)
		return;
	membership_destroy(f->members);
	if (f->pool)
		apr_pool_destroy(f->pool);
	free(f);
}

/* Takes the lock for a plug-in that uses the members or the freshness. */
void fleet_lock(struct fleet *f)
{
	apr_thread_mutex_lock(f->lock);
}

/* Releases the lock. */
void fleet_unlock(struct fleet *f)
{
	apr_thread_mutex_unlock(f->lock);
}

/* Copies at most "max" of the known VMs. Takes the lock. */
size_t fleet_snapshot(struct kernel *k, struct fleet_vm *out, size_t max)
{
	struct fleet *f = k->fleet;
	size_t n = 0;
	vm_handle h;

	fleet_lock(f);
	for (h = 0; h < membership_count(f->members) && n < max; h++) {
		if (membership_get(f->members, h))
			copy_vm(f->members, h, &out[n++]);
	}
	fleet_unlock(f);
	return n;
}

/* Returns how many VMs are known. Takes the lock. */
size_t fleet_size(struct kernel *k)
{
	struct membership *m = k->fleet->members;
	size_t n = 0;
	vm_handle h;

	fleet_lock(k->fleet);
	for (h = 0; h < membership_count(m); h++) {
		if (membership_get(m, h))
			n++;
	}
	fleet_unlock(k->fleet);
	return n;
}

/* Copies one VM by name; false if it is not known. Takes the lock. */
bool fleet_find(struct kernel *k, const char *name, struct fleet_vm *out)
{
	struct fleet *f = k->fleet;
	vm_handle h;

	fleet_lock(f);
	h = membership_find(f->members, name);
	if (h != HANDLE_NONE)
		copy_vm(f->members, h, out);
	fleet_unlock(f);
	return h != HANDLE_NONE;
}

/* Returns this VM's rank for a key; rank 0 acts first. Takes the lock. */
uint32_t fleet_rank(struct kernel *k, const char *key)
{
	struct fleet *f = k->fleet;
	uint32_t rank;

	fleet_lock(f);
	rank = membership_rank(f->members, key, membership_self(f->members));
	fleet_unlock(f);
	return rank;
}

/*
 * Copies the live VMs that rank first for a key, at most RANKED_MAX. Takes the
 * lock.
 */
size_t fleet_top_ranked(struct kernel *k, const char *key, struct fleet_vm *out,
			size_t max)
{
	struct fleet *f = k->fleet;
	vm_handle top[RANKED_MAX];
	size_t n, i;

	fleet_lock(f);
	n = membership_top_ranked(f->members, key, top,
				  max < RANKED_MAX ? max : RANKED_MAX);
	for (i = 0; i < n; i++)
		copy_vm(f->members, top[i], &out[i]);
	fleet_unlock(f);
	return n;
}

/*
 * Copies other live VMs chosen uniformly at random, by reservoir sampling.
 * Takes the lock.
 */
size_t fleet_sample(struct kernel *k, size_t n, const char *not_domain,
		    struct fleet_vm *out)
{
	struct fleet *f = k->fleet;
	size_t candidates = 0, slot;
	vm_handle h, count;

	fleet_lock(f);
	count = (vm_handle)membership_count(f->members);
	for (h = 0; h < count; h++) {
		if (!is_candidate(f->members, h, not_domain))
			continue;
		candidates++;
		slot = candidates <= n
			       ? candidates - 1
			       : randombytes_uniform((uint32_t)candidates);
		if (slot < n)
			copy_vm(f->members, h, &out[slot]);
	}
	fleet_unlock(f);
	return candidates < n ? candidates : n;
}

/*
 * Records a message from a VM; false if its incarnation has been superseded.
 * Takes the lock.
 */
bool fleet_note_message(struct kernel *k, const char *name,
			uint64_t incarnation, usec_t now)
{
	struct fleet *f = k->fleet;
	bool ok = true;

	fleet_lock(f);
	if (membership_find(f->members, name) != HANDLE_NONE)
		ok = membership_on_message(f->members, name, incarnation, now);
	fleet_unlock(f);
	return ok;
}

/* Returns whether an incarnation can never act again. Takes the lock. */
bool fleet_incarnation_ended(struct kernel *k, const char *name,
			     uint64_t incarnation, usec_t now,
			     usec_t gone_after)
{
	bool gone;

	fleet_lock(k->fleet);
	gone = membership_is_gone(k->fleet->members, name, incarnation, now,
				  gone_after);
	fleet_unlock(k->fleet);
	return gone;
}

/* Returns how recent this VM's data on keys is. Takes the lock. */
enum freshness_state fleet_freshness(struct kernel *k, usec_t now)
{
	usec_t limit = (usec_t)k->settings.keys_fresh_ms * USEC_PER_MSEC;
	struct fleet *f = k->fleet;
	enum freshness_state state;

	fleet_lock(f);
	state = freshness_check(&f->fresh, now, limit,
				membership_count(f->members) > 1);
	fleet_unlock(f);
	return state;
}

/* Returns whether the platform lists this VM. Takes the lock. */
bool fleet_self_listed(struct kernel *k)
{
	bool listed;

	fleet_lock(k->fleet);
	listed = membership_is_self_listed(k->fleet->members);
	fleet_unlock(k->fleet);
	return listed;
}

/*
 * Returns whether a majority of the failure domains was in contact within the
 * last "within" microseconds. Takes the lock.
 */
bool fleet_has_majority(struct kernel *k, usec_t now, usec_t within)
{
	bool majority;

	fleet_lock(k->fleet);
	majority = freshness_has_majority(&k->fleet->fresh, now, within);
	fleet_unlock(k->fleet);
	return majority;
}

/*
 * Returns the age in microseconds of the newest data from the platform; -1 if
 * there is none that may be relied on. Takes the lock.
 */
int64_t fleet_platform_data_age(struct kernel *k, usec_t now)
{
	int64_t age;

	fleet_lock(k->fleet);
	age = freshness_platform_age(&k->fleet->fresh, now);
	fleet_unlock(k->fleet);
	return age;
}

/* Creates the lock and its pool; -1 on failure. */
static int make_lock(struct fleet *f)
{
	if (apr_initialize() != APR_SUCCESS ||
	    apr_pool_create(&f->pool, NULL) != APR_SUCCESS)
		return -1;
	return apr_thread_mutex_create(&f->lock, APR_THREAD_MUTEX_DEFAULT,
				       f->pool) == APR_SUCCESS
		       ? 0
		       : -1;
}

/* Copies the public fields of a VM. The lock is held. */
static void copy_vm(const struct membership *m, vm_handle h,
		    struct fleet_vm *out)
{
	const struct member *vm = membership_get(m, h);

	memset(out, 0, sizeof(*out));
	memcpy(out->name, vm->name, sizeof(out->name));
	memcpy(out->domain, vm->domain, sizeof(out->domain));
	memcpy(out->peer_address, vm->peer, sizeof(out->peer_address));
	memcpy(out->caller_address, vm->caller, sizeof(out->caller_address));
	out->incarnation = vm->incarnation;
	out->departing = vm->departing;
	out->alive = membership_is_alive(m, h);
}

/*
 * Returns whether this is another live VM, outside "not_domain" unless that is
 * NULL.
 */
static bool is_candidate(const struct membership *m, vm_handle h,
			 const char *not_domain)
{
	if (h == membership_self(m) || !membership_is_alive(m, h))
		return false;
	return !not_domain ||
	       strcmp(membership_get(m, h)->domain, not_domain) != 0;
}
