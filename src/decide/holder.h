#ifndef DECIDE_HOLDER_H
#define DECIDE_HOLDER_H

#include "decide/members.h"

#define HOLDERS_MAX 32

/*
 * How many VMs can hold connections of a group at "each" connections a VM.
 */
uint32_t holder_count(uint32_t connections, uint32_t each, uint32_t vms);
/*
 * The VMs that hold connections of a group: the first "k" live ones by
 * rendezvous hash, taken from the failure domains in turn so that they
 * spread over all.
 */
size_t holder_pick(const struct members *m, const char *service, uint32_t k,
		   vm_handle *out, size_t max);

enum holder_way {
	HOLDER_DIRECT,
	HOLDER_FORWARD, /* to *to */
	HOLDER_NONE,	/* no holder is alive */
};

/*
 * Which way a statement of this VM goes: direct if it is a holder itself,
 * else to a holder, one of its own failure domain first, "random" among them.
 */
enum holder_way holder_decide(const struct members *m, const char *service,
			      uint32_t k, uint64_t random, vm_handle *to);

#endif
