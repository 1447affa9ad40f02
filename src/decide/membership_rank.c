#include <stdlib.h>
#include <string.h>

#include "decide/membership_internal.h"

static uint64_t weight(uint64_t key, uint64_t vm);
static uint32_t send_limit(const struct membership *m);
static bool is_picked(const struct member_update *out, size_t n,
		      const char *name);

/* Times that an update is gossiped, per doubling of the number of VMs. */
#define SENDS_PER_DOUBLING 3

/*
 * Fills in up to "max" updates to gossip, those sent least often first, and
 * counts each as sent once more. An update is sent only as often as it takes
 * to reach all VMs. Returns how many were filled in.
 */
size_t membership_pick_updates(struct membership *m, struct member_update *out,
			       size_t max)
{
	uint32_t limit = send_limit(m);
	uint32_t told;
	size_t n = 0;
	vm_handle h;

	for (told = 0; told < limit && n < max; told++) {
		for (h = 0; h < m->n && n < max; h++) {
			struct vm *v = &m->vms[h];

			if (!v->used || v->m.times_sent != told)
				continue;
			if (is_picked(out, n, v->m.name))
				continue;
			v->m.times_sent++;
			out[n] = (struct member_update){
				.member = v->m,
				.is_listed = v->m.listed,
				.is_unlisted = v->m.unlisted_at != 0,
			};
			n++;
		}
	}
	return n;
}

/* Returns the rank of h for a key among the live VMs; 0 comes first. */
uint32_t membership_rank(const struct membership *m, const char *key,
			 vm_handle h)
{
	uint64_t k = hash_name(key);
	uint64_t own = weight(k, m->vms[h].hash);
	uint32_t rank = 0;
	vm_handle i;

	for (i = 0; i < m->n; i++) {
		uint64_t w;

		if (i == h || !membership_is_alive(m, i))
			continue;
		w = weight(k, m->vms[i].hash);
		if (w > own || (w == own && i < h))
			rank++;
	}
	return rank;
}

/* Fills in the first live VMs for a key by rank; returns how many, to "max". */
size_t membership_top_ranked(const struct membership *m, const char *key,
			     vm_handle *out, size_t max)
{
	uint64_t k = hash_name(key);
	size_t n = 0;
	vm_handle h;

	for (h = 0; h < m->n; h++) {
		uint64_t w = weight(k, m->vms[h].hash);
		size_t i;

		if (!membership_is_alive(m, h))
			continue;
		for (i = n; i > 0 && weight(k, m->vms[out[i - 1]].hash) < w;
		     i--) {
			if (i < max)
				out[i] = out[i - 1];
		}
		if (i < max) {
			out[i] = h;
			if (n < max)
				n++;
		}
	}
	return n;
}

/*
 * Returns true if this VM is alive and among the "per_domain" VMs of its
 * failure domain that watch the platform's objects, chosen by rendezvous hash.
 */
bool membership_is_watcher(const struct membership *m, uint32_t per_domain)
{
	const struct vm *self = &m->vms[membership_self(m)];
	uint64_t k = hash_name("watch");
	uint64_t own = weight(k, self->hash);
	uint32_t before = 0;
	vm_handle h;

	if (!membership_is_alive(m, membership_self(m)))
		return false;
	for (h = 1; h < m->n; h++) {
		if (membership_is_alive(m, h) &&
		    strcmp(m->vms[h].m.domain, self->m.domain) == 0 &&
		    weight(k, m->vms[h].hash) > own)
			before++;
	}
	return before < per_domain;
}

/* Returns the number of live VMs in other failure domains than this VM's. */
size_t membership_count_other_domains(const struct membership *m)
{
	const char *own = m->vms[membership_self(m)].m.domain;
	size_t n = 0;
	vm_handle h;

	for (h = 1; h < m->n; h++) {
		if (membership_is_alive(m, h) &&
		    strcmp(m->vms[h].m.domain, own) != 0)
			n++;
	}
	return n;
}

/* Returns the rendezvous weight of a VM for a key; the same on all VMs. */
static uint64_t weight(uint64_t key, uint64_t vm)
{
	const uint64_t pair[2] = { key, vm };

	return hash_bytes(pair, sizeof(pair));
}

/* Returns how often an update is gossiped: grows with the log of the VMs. */
static uint32_t send_limit(const struct membership *m)
{
	uint32_t doublings = 1;

	while ((1U << doublings) < m->n)
		doublings++;
	return SENDS_PER_DOUBLING * doublings;
}

/* Returns true if an update of a VM is among those picked so far. */
static bool is_picked(const struct member_update *out, size_t n,
		      const char *name)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (strcmp(out[i].member.name, name) == 0)
			return true;
	}
	return false;
}
