#ifndef DECIDE_FAILOVER_RANK_H
#define DECIDE_FAILOVER_RANK_H

#include "decide/types.h"

/*
 * The order in which VMs begin a failover. It needs the platform's store, so
 * VMs that the store does not answer come after those that it answers. The
 * order only avoids that several begin at once: the claim in the store decides.
 */
struct failover_rank_vm {
	uint64_t hash; /* rendezvous hash for the service */
	bool is_draining;
	bool fails; /* the store does not answer it */
};

/* True if VM "a" begins before VM "b". A draining VM goes before no other. */
bool failover_rank_is_before(const struct failover_rank_vm *a,
			     const struct failover_rank_vm *b);

#endif
