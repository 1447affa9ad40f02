#include "decide/holder.h"

#include <string.h>

#define CANDIDATES_MAX 256 /* first VMs by rank among which holders are */

static bool domain_taken(const struct members *m, const vm_handle *out,
			 size_t from, size_t n, vm_handle h);
static bool contains(const vm_handle *out, size_t n, vm_handle h);

/*
 * How many VMs can hold connections of a group at "each" connections a VM: at
 * least one, at most all and HOLDERS_MAX.
 */
uint32_t holder_count(uint32_t connections, uint32_t each, uint32_t vms)
{
	uint32_t k = each ? connections / each : 0;

	if (k > vms)
		k = vms;
	if (k > HOLDERS_MAX)
		k = HOLDERS_MAX;
	return k ? k : 1;
}

/*
 * The VMs that hold connections of a group: in turns over the failure
 * domains, each turn taking the next of every domain in the order of rank.
 */
size_t holder_pick(const struct members *m, const char *service, uint32_t k,
		   vm_handle *out, size_t max)
{
	vm_handle rank[CANDIDATES_MAX];
	size_t candidates = members_top(m, service, rank, CANDIDATES_MAX);
	size_t turn = 0;
	size_t n = 0;
	size_t i;

	if (k < max)
		max = k;
	while (n < max && n < candidates) {
		for (i = 0; i < candidates && n < max; i++) {
			if (contains(out, n, rank[i]) ||
			    domain_taken(m, out, turn, n, rank[i]))
				continue;
			out[n++] = rank[i];
		}
		turn = n;
	}
	return n;
}

/*
 * Which way a statement goes: direct if this VM is a holder, else to one of
 * its own failure domain, else to any.
 */
enum holder_way holder_decide(const struct members *m, const char *service,
			      uint32_t k, uint64_t random, vm_handle *to)
{
	const struct member *self = members_at(m, members_self(m));
	vm_handle holder[HOLDERS_MAX];
	vm_handle near[HOLDERS_MAX];
	size_t n = holder_pick(m, service, k, holder, HOLDERS_MAX);
	size_t n_near = 0;
	size_t i;

	if (n == 0)
		return HOLDER_NONE;
	for (i = 0; i < n; i++) {
		if (holder[i] == members_self(m))
			return HOLDER_DIRECT;
		if (strcmp(members_at(m, holder[i])->domain, self->domain) == 0)
			near[n_near++] = holder[i];
	}
	*to = n_near ? near[random % n_near] : holder[random % n];
	return HOLDER_FORWARD;
}

/* Did this turn take a VM of the same failure domain? */
static bool domain_taken(const struct members *m, const vm_handle *out,
			 size_t from, size_t n, vm_handle h)
{
	size_t i;

	for (i = from; i < n; i++) {
		if (strcmp(members_at(m, out[i])->domain,
			   members_at(m, h)->domain) == 0)
			return true;
	}
	return false;
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
