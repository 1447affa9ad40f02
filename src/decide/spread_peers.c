#include "decide/spread.h"

#include <stdio.h>
#include <string.h>

/* One round in so many also asks a VM that is taken to be down. */
#define ASK_SUSPECT_EVERY 8

/* A VM off the list and silent for this long is not waited for. */
#define ACCEPT_FORGET_US (30 * (usec_t)USEC_PER_SEC)

static bool may_exist(const struct member *v, usec_t now);
static vm_handle pick(const struct members *m, uint64_t random,
		      bool other_domain, bool any_state, const vm_handle *out,
		      size_t n);
static bool fits(const struct members *m, vm_handle h, bool other_domain,
		 bool any_state);
static bool contains(const vm_handle *out, size_t n, vm_handle h);

/*
 * The peers to ask this round, none twice: the first of another failure
 * domain if one is alive there, the rest at random. Now and then one of them
 * may be suspect, so that a healed partition is noticed.
 */
size_t spread_peers(const struct members *m, const uint64_t *random,
		    size_t n_random, vm_handle *out, size_t max)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < n_random && n < max; i++) {
		uint64_t r = random[i];
		bool any = i > 0 && r % ASK_SUSPECT_EVERY == 0;
		vm_handle h = HANDLE_NONE;

		if (i == 0)
			h = pick(m, r, true, false, out, n);
		if (h == HANDLE_NONE)
			h = pick(m, r / ASK_SUSPECT_EVERY, false, any, out, n);
		if (h != HANDLE_NONE)
			out[n++] = h;
	}
	return n;
}

/*
 * The list lags: whoever is not on it counts until it has been off it, and
 * silent, for long.
 */
static bool may_exist(const struct member *v, usec_t now)
{
	return v->listed || v->unlisted_at == 0 ||
	       v->heard_at > v->unlisted_at ||
	       now - v->unlisted_at < ACCEPT_FORGET_US;
}

/* What a write needs to be accepted, as the fleet stands now. */
void spread_acceptance_init(struct spread_acceptance *a,
			    const struct members *m, usec_t now)
{
	const struct member *self = members_at(m, members_self(m));
	vm_handle h;

	memset(a, 0, sizeof(*a));
	snprintf(a->own_domain, sizeof(a->own_domain), "%s", self->domain);
	for (h = 1; h < members_count(m); h++) {
		const struct member *v = members_at(m, h);

		if (!v || !may_exist(v, now))
			continue;
		a->need_peer = true;
		if (strcmp(v->domain, a->own_domain) != 0)
			a->need_domain = true;
	}
	a->accepted = !a->need_peer;
}

/* A peer said that it has the version or a later one; true once accepted. */
bool spread_acceptance_heard(struct spread_acceptance *a,
			     const char *peer_domain)
{
	if (!a->need_domain || strcmp(peer_domain, a->own_domain) != 0)
		a->accepted = true;
	return a->accepted;
}

/* The first VM that fits, counted on from a random place. */
static vm_handle pick(const struct members *m, uint64_t random,
		      bool other_domain, bool any_state, const vm_handle *out,
		      size_t n)
{
	size_t count = members_count(m);
	size_t i;

	for (i = 0; i < count; i++) {
		vm_handle h = (vm_handle)((random + i) % count);

		if (fits(m, h, other_domain, any_state) && !contains(out, n, h))
			return h;
	}
	return HANDLE_NONE;
}

static bool fits(const struct members *m, vm_handle h, bool other_domain,
		 bool any_state)
{
	const struct member *self = members_at(m, members_self(m));
	const struct member *v = members_at(m, h);

	if (!v || h == members_self(m))
		return false;
	if (other_domain && strcmp(v->domain, self->domain) == 0)
		return false;
	return any_state || members_alive(m, h);
}

static bool contains(const vm_handle *out, size_t n, vm_handle h)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (out[i] == h)
			return true;
	}
	return false;
}
