#include "decide/conn_owner.h"

#include <string.h>

#define CANDIDATES_MAX 256 /* owners are picked from the first VMs by rank */

static bool domain_taken(const struct membership *m, const vm_handle *out,
			 size_t from, size_t n, vm_handle h);
static bool contains(const vm_handle *out, size_t n, vm_handle h);

/*
 * Returns how many VMs own connections of a group, at "each" connections per
 * VM: at least one, at most all VMs and CONN_OWNERS_MAX.
 */
uint32_t conn_owner_count(uint32_t connections, uint32_t each, uint32_t vms)
{
	uint32_t k = each ? connections / each : 0;

	if (k > vms)
		k = vms;
	if (k > CONN_OWNERS_MAX)
		k = CONN_OWNERS_MAX;
	return k ? k : 1;
}

/*
 * Picks the VMs that own connections of a group, in rounds: each round takes
 * the next VM of every failure domain in order of rank. Returns how many.
 */
size_t conn_owner_pick(const struct membership *m, const char *service,
		       uint32_t k, vm_handle *out, size_t max)
{
	vm_handle rank[CANDIDATES_MAX];
	size_t candidates =
		membership_top_ranked(m, service, rank, CANDIDATES_MAX);
	size_t round = 0; /* index of the first pick of this round */
	size_t n = 0;
	size_t i;

	if (k < max)
		max = k;
	while (n < max && n < candidates) {
		for (i = 0; i < candidates && n < max; i++) {
			if (contains(out, n, rank[i]) ||
			    domain_taken(m, out, round, n, rank[i]))
				continue;
			out[n++] = rank[i];
		}
		round = n;
	}
	return n;
}

/*
 * Decides how a statement reaches a group: direct if this VM owns connections,
 * else forwarded to an owner in its failure domain, else to any owner.
 */
enum conn_owner_route conn_owner_choose(const struct membership *m,
					const char *service, uint32_t k,
					uint64_t random, vm_handle *to)
{
	const struct member *self = membership_get(m, membership_self(m));
	vm_handle owner[CONN_OWNERS_MAX];
	vm_handle local[CONN_OWNERS_MAX];
	size_t n = conn_owner_pick(m, service, k, owner, CONN_OWNERS_MAX);
	size_t n_local = 0;
	size_t i;

	if (n == 0)
		return CONN_OWNER_NONE;
	for (i = 0; i < n; i++) {
		if (owner[i] == membership_self(m))
			return CONN_OWNER_DIRECT;
		if (strcmp(membership_get(m, owner[i])->domain, self->domain) ==
		    0)
			local[n_local++] = owner[i];
	}
	*to = n_local ? local[random % n_local] : owner[random % n];
	return CONN_OWNER_FORWARD;
}

/* Returns true if out[from] to out[n - 1] has a VM of h's failure domain. */
static bool domain_taken(const struct membership *m, const vm_handle *out,
			 size_t from, size_t n, vm_handle h)
{
	size_t i;

	for (i = from; i < n; i++) {
		if (strcmp(membership_get(m, out[i])->domain,
			   membership_get(m, h)->domain) == 0)
			return true;
	}
	return false;
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
