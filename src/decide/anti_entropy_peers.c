#include "decide/anti_entropy.h"

#include <stdio.h>
#include <string.h>

/* One random pick in this many may also be a VM that is not alive. */
#define PICK_DOWN_EVERY 8

/*
 * A write does not wait for the acknowledgement of a VM that has been off the
 * list, and has not been heard from, for this long.
 */
#define ABSENT_MAX_US (30 * (usec_t)USEC_PER_SEC)

static bool may_exist(const struct member *v, usec_t now);
static vm_handle pick(const struct membership *m, uint64_t random,
		      bool other_domain, bool any_state, const vm_handle *out,
		      size_t n);
static bool is_eligible(const struct membership *m, vm_handle h,
			bool other_domain, bool any_state);
static bool contains(const vm_handle *out, size_t n, vm_handle h);

/*
 * Picks the peers to query in this round, each at most once: the first from
 * another failure domain if one is alive there, the rest at random.
 * Occasionally a pick may be a VM that is not alive, so that the end of a
 * network partition is noticed. Returns how many were picked.
 */
size_t anti_entropy_pick_peers(const struct membership *m,
			       const uint64_t *random, size_t n_random,
			       vm_handle *out, size_t max)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < n_random && n < max; i++) {
		uint64_t r = random[i];
		bool any = i > 0 && r % PICK_DOWN_EVERY == 0;
		vm_handle h = HANDLE_NONE;

		if (i == 0)
			h = pick(m, r, true, false, out, n);
		if (h == HANDLE_NONE)
			h = pick(m, r / PICK_DOWN_EVERY, false, any, out, n);
		if (h != HANDLE_NONE)
			out[n++] = h;
	}
	return n;
}

/*
 * Returns true unless a VM has been off the list for ABSENT_MAX_US without
 * being heard from. The list may lag, so being off it proves little at first.
 */
static bool may_exist(const struct member *v, usec_t now)
{
	return v->listed || v->unlisted_at == 0 ||
	       v->contact_at > v->unlisted_at ||
	       now - v->unlisted_at < ABSENT_MAX_US;
}

/* Sets what a write needs to be accepted, given the VMs that may exist now. */
void write_acceptance_init(struct write_acceptance *a,
			   const struct membership *m, usec_t now)
{
	const struct member *self = membership_get(m, membership_self(m));
	vm_handle h;

	memset(a, 0, sizeof(*a));
	snprintf(a->own_domain, sizeof(a->own_domain), "%s", self->domain);
	for (h = 1; h < membership_count(m); h++) {
		const struct member *v = membership_get(m, h);

		if (!v || !may_exist(v, now))
			continue;
		a->need_peer = true;
		if (strcmp(v->domain, a->own_domain) != 0)
			a->need_domain = true;
	}
	a->accepted = !a->need_peer;
}

/*
 * Handles a peer's acknowledgement that it has the version or a later one.
 * Returns true once the write is accepted.
 */
bool write_acceptance_on_ack(struct write_acceptance *a,
			     const char *peer_domain)
{
	if (!a->need_domain || strcmp(peer_domain, a->own_domain) != 0)
		a->accepted = true;
	return a->accepted;
}

/*
 * Returns the first eligible VM that is not in "out" yet, searching from a
 * random handle; HANDLE_NONE if there is none.
 */
static vm_handle pick(const struct membership *m, uint64_t random,
		      bool other_domain, bool any_state, const vm_handle *out,
		      size_t n)
{
	size_t count = membership_count(m);
	size_t i;

	for (i = 0; i < count; i++) {
		vm_handle h = (vm_handle)((random + i) % count);

		if (is_eligible(m, h, other_domain, any_state) &&
		    !contains(out, n, h))
			return h;
	}
	return HANDLE_NONE;
}

/*
 * Returns true if a handle is a peer, in another failure domain if
 * "other_domain" is set, and alive unless "any_state" is set.
 */
static bool is_eligible(const struct membership *m, vm_handle h,
			bool other_domain, bool any_state)
{
	const struct member *self = membership_get(m, membership_self(m));
	const struct member *v = membership_get(m, h);

	if (!v || h == membership_self(m))
		return false;
	if (other_domain && strcmp(v->domain, self->domain) == 0)
		return false;
	return any_state || membership_is_alive(m, h);
}

/* Returns true if a handle is among the first n of "out". */
static bool contains(const vm_handle *out, size_t n, vm_handle h)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (out[i] == h)
			return true;
	}
	return false;
}
