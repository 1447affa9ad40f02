#include "decide/membership.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide/hash_index.h"
#include "decide/membership_internal.h"

#define CAPACITY_MIN 16
#define SELF	     0
/* A VM that is known through gossip has this long to appear on a list. */
#define ANNOUNCE_US (60 * (usec_t)USEC_PER_SEC)
/*
 * After a VM was seen missing from the list, gossip that it is listed is
 * ignored for this time, since it may be older.
 */
#define RELIST_US (10 * (usec_t)USEC_PER_SEC)

static vm_handle add(struct membership *m, const struct member *vm);
static void replace(struct membership *m, vm_handle h, const struct member *vm);
static bool merge_listed(struct member *v, const struct member_update *news,
			 usec_t now);
static void set_suspect(struct membership *m, vm_handle h, bool suspect);

/* Creates a table that holds this VM only; NULL if memory is short. */
struct membership *membership_create(const struct member *self)
{
	struct membership *m = calloc(1, sizeof(*m));

	if (!m)
		return NULL;
	if (add(m, self) == HANDLE_NONE) {
		membership_destroy(m);
		return NULL;
	}
	return m;
}

/* Frees the table; NULL is allowed. */
void membership_destroy(struct membership *m)
{
	if (!m)
		return;
	hash_index_free(&m->index);
	free(m->vms);
	free(m);
}

/* Starts an update from a newer list of the platform. */
void membership_list_begin(struct membership *m)
{
	m->list_seq++;
}

/*
 * Adds a VM of the list. An incarnation earlier than the known one is ignored,
 * because the list may lag. Returns 0, or -1 if memory is short.
 */
int membership_list_add(struct membership *m, const struct member *vm)
{
	vm_handle h = membership_find(m, vm->name);
	struct vm *v;

	if (h == HANDLE_NONE) {
		h = add(m, vm);
		if (h == HANDLE_NONE)
			return -1;
	} else if (vm->incarnation > m->vms[h].m.incarnation && h != SELF) {
		replace(m, h, vm);
	}
	v = &m->vms[h];
	if (vm->incarnation < v->m.incarnation)
		return 0;
	if (vm->departing && !v->m.departing) {
		v->m.departing = true;
		v->m.times_sent = 0;
	}
	if (!v->m.listed)
		v->m.times_sent = 0;
	v->list_seq = m->list_seq;
	v->m.listed = true;
	v->m.unlisted_at = 0;
	return 0;
}

/*
 * Finishes an update: VMs that were not on the list count as unlisted from now
 * on. A VM that has never been listed has ANNOUNCE_US to appear on a list.
 */
void membership_list_end(struct membership *m, usec_t now)
{
	vm_handle h;

	for (h = 0; h < m->n; h++) {
		struct vm *v = &m->vms[h];

		if (!v->used || v->list_seq == m->list_seq)
			continue;
		if (v->m.listed || (v->m.unlisted_at == 0 &&
				    now - v->known_at > ANNOUNCE_US)) {
			v->m.listed = false;
			v->m.unlisted_at = now;
			v->m.times_sent = 0;
		}
	}
}

/*
 * Handles a message from a VM itself, which clears a suspicion. Returns false
 * if it comes from an earlier incarnation or an unknown VM.
 */
bool membership_on_message(struct membership *m, const char *name,
			   uint64_t incarnation, usec_t now)
{
	vm_handle h = membership_find(m, name);
	struct member *v;

	if (h == HANDLE_NONE)
		return false;
	v = &m->vms[h].m;
	if (incarnation < v->incarnation)
		return false;
	if (incarnation > v->incarnation) {
		struct member next = *v;

		if (h == SELF)
			return false;
		next.refutations = 0;
		next.suspect = false;
		next.incarnation = incarnation;
		next.departing = false;
		replace(m, h, &next);
		v = &m->vms[h].m;
	}
	if (now > v->contact_at)
		v->contact_at = now;
	set_suspect(m, h, false);
	return true;
}

/*
 * Handles a request to a VM that timed out: the VM is suspect until a message
 * from it, or gossip with more refutations, clears it.
 */
void membership_on_timeout(struct membership *m, const char *name,
			   uint64_t incarnation)
{
	vm_handle h = membership_find(m, name);

	if (h == HANDLE_NONE || h == SELF ||
	    m->vms[h].m.incarnation != incarnation)
		return;
	set_suspect(m, h, true);
}

/*
 * Merges a gossip update. A later incarnation replaces the known one, a higher
 * count of refutations overrides the suspect flag, and departing is never
 * undone. If peers suspect this VM itself, it raises its own count above theirs
 * to refute the suspicion. Returns true if the table changed.
 */
bool membership_apply_update(struct membership *m,
			     const struct member_update *news, usec_t now)
{
	const struct member *w = &news->member;
	vm_handle h = membership_find(m, w->name);
	struct member *v;
	bool changed = false;

	if (h == HANDLE_NONE) {
		h = add(m, w);
		if (h == HANDLE_NONE)
			return false;
		m->vms[h].known_at = now;
		m->vms[h].m.listed = false;
		merge_listed(&m->vms[h].m, news, now);
		return true;
	}
	v = &m->vms[h].m;
	if (w->incarnation < v->incarnation)
		return false;
	if (h == SELF) {
		if (w->incarnation != v->incarnation)
			return false;
		changed = merge_listed(v, news, now);
		if (w->suspect && w->refutations >= v->refutations) {
			v->refutations = w->refutations + 1;
			changed = true;
		}
		if (changed)
			v->times_sent = 0;
		return changed;
	}
	if (w->incarnation > v->incarnation) {
		replace(m, h, w);
		merge_listed(&m->vms[h].m, news, now);
		return true;
	}
	if (w->departing && !v->departing) {
		v->departing = true;
		changed = true;
	}
	if (merge_listed(v, news, now))
		changed = true;
	if (w->refutations > v->refutations ||
	    (w->refutations == v->refutations && w->suspect)) {
		changed = changed || w->refutations > v->refutations ||
			  v->suspect != w->suspect;
		v->refutations = w->refutations;
		v->suspect = w->suspect;
	}
	if (changed)
		v->times_sent = 0;
	return changed;
}

/* Marks this VM as departing, to be gossiped. */
void membership_set_departing(struct membership *m)
{
	m->vms[SELF].m.departing = true;
	m->vms[SELF].m.times_sent = 0;
}

/* Sets the addresses that this VM announces for itself. */
void membership_set_addresses(struct membership *m, const char *peer,
			      const char *caller)
{
	struct member *self = &m->vms[SELF].m;

	snprintf(self->peer, sizeof(self->peer), "%s", peer);
	snprintf(self->caller, sizeof(self->caller), "%s", caller);
}

/* Returns the upper bound of the handles; there may be gaps below it. */
size_t membership_count(const struct membership *m)
{
	return m->n;
}

/* Returns a VM by its handle; NULL if there is none. */
const struct member *membership_get(const struct membership *m, vm_handle h)
{
	if (h >= m->n || !m->vms[h].used)
		return NULL;
	return &m->vms[h].m;
}

/* Returns a VM's handle by its name; HANDLE_NONE if it is not known. */
vm_handle membership_find(const struct membership *m, const char *name)
{
	uint64_t hash = hash_name(name);
	uint32_t cursor;
	vm_handle h;

	for (h = hash_index_first(&m->index, hash, &cursor); h != HANDLE_NONE;
	     h = hash_index_next(&m->index, hash, &cursor)) {
		if (strcmp(m->vms[h].m.name, name) == 0)
			break;
	}
	return h;
}

/* Returns this VM's own handle. */
vm_handle membership_self(const struct membership *m)
{
	(void)m;
	return SELF;
}

/* Returns true if this VM is on the newest list known. */
bool membership_is_self_listed(const struct membership *m)
{
	return m->vms[SELF].m.listed;
}

/*
 * Returns true if a VM is known, not suspect and not departing, and is on the
 * newest list or was heard from since it was missing there. The list may lag.
 */
bool membership_is_alive(const struct membership *m, vm_handle h)
{
	const struct member *v = membership_get(m, h);

	if (!v || v->departing)
		return false;
	if (h == SELF)
		return true;
	return !v->suspect && (v->listed || v->unlisted_at == 0 ||
			       v->contact_at > v->unlisted_at);
}

/*
 * Returns true if this incarnation can never act again: a later one is known,
 * or the VM has been off the list for gone_after. False for an unknown VM.
 */
bool membership_is_gone(const struct membership *m, const char *name,
			uint64_t incarnation, usec_t now, usec_t gone_after)
{
	const struct member *v = membership_get(m, membership_find(m, name));

	if (!v)
		return false;
	if (v->incarnation > incarnation)
		return true;
	return !v->listed && v->unlisted_at != 0 &&
	       now - v->unlisted_at >= gone_after;
}

/* Removes VMs that have been off the list for twice gone_after. */
void membership_expire(struct membership *m, usec_t now, usec_t gone_after)
{
	vm_handle h;

	for (h = 1; h < m->n; h++) {
		struct vm *v = &m->vms[h];

		if (!v->used || v->m.listed || v->m.unlisted_at == 0 ||
		    now - v->m.unlisted_at < 2 * gone_after)
			continue;
		hash_index_remove(&m->index, hash_name(v->m.name), h);
		v->used = false;
		m->used--;
	}
}

/* Adds a VM at a free handle; HANDLE_NONE if memory is short. */
static vm_handle add(struct membership *m, const struct member *vm)
{
	vm_handle h;

	h = m->n;
	if (m->used < m->n) {
		for (h = 0; m->vms[h].used; h++)
			;
	}
	if (h == m->capacity) {
		uint32_t capacity =
			m->capacity ? m->capacity * 2 : CAPACITY_MIN;
		void *p = realloc(m->vms, capacity * sizeof(*m->vms));

		if (!p)
			return HANDLE_NONE;
		m->vms = p;
		m->capacity = capacity;
	}
	if (!hash_index_put(&m->index, hash_name(vm->name), h))
		return HANDLE_NONE;
	m->vms[h] = (struct vm){
		.m = *vm,
		.hash = hash_name(vm->name),
		.used = true,
	};
	m->vms[h].m.times_sent = 0;
	m->vms[h].m.unlisted_at = 0;
	m->vms[h].m.contact_at = INT64_MIN;
	if (h == m->n)
		m->n++;
	m->used++;
	return h;
}

/* Replaces an earlier incarnation by a later one, with all state reset. */
static void replace(struct membership *m, vm_handle h, const struct member *vm)
{
	struct vm *v = &m->vms[h];

	v->m = *vm;
	v->m.listed = false;
	v->m.times_sent = 0;
	v->m.unlisted_at = 0;
	v->m.contact_at = INT64_MIN;
	v->list_seq = 0;
}

/*
 * Merges a peer's knowledge of whether a VM is on the platform's list. That it
 * is off the list applies at once; that it is back on the list applies only
 * after RELIST_US, because the update may be old. Returns true on a change.
 */
static bool merge_listed(struct member *v, const struct member_update *news,
			 usec_t now)
{
	if (news->is_unlisted && v->unlisted_at == 0) {
		v->listed = false;
		v->unlisted_at = now;
		return true;
	}
	if (!news->is_listed || v->listed ||
	    (v->unlisted_at != 0 && now - v->unlisted_at < RELIST_US))
		return false;
	v->listed = true;
	v->unlisted_at = 0;
	return true;
}

/* Sets the suspect flag; a change is gossiped. */
static void set_suspect(struct membership *m, vm_handle h, bool suspect)
{
	struct member *v = &m->vms[h].m;

	if (v->suspect == suspect)
		return;
	v->suspect = suspect;
	v->times_sent = 0;
}
