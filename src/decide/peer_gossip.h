#ifndef DECIDE_PEER_GOSSIP_H
#define DECIDE_PEER_GOSSIP_H

#include "decide/types.h"

/*
 * Gossip-style failure detection (van Renesse, Minsky and Hayden, "A
 * Gossip-Style Failure Detection Service", 1998). In each round a VM sends the
 * ages of its news of all VMs to a few others, which keep the newest. What a VM
 * sends and receives does not grow with the fleet but for the size of the
 * table, and the time to detect a failure grows with its logarithm.
 */

/* Up to this many peers each receives every heartbeat. */
#define PEER_GOSSIP_ALL_MAX 16
/* Targets of a round in a larger fleet: most stay in the failure domain. */
#define PEER_GOSSIP_LOCAL   3
#define PEER_GOSSIP_REMOTE  1
#define PEER_GOSSIP_TARGETS (PEER_GOSSIP_LOCAL + PEER_GOSSIP_REMOTE)

/* Returns the interval between two rounds with this many peers. */
usec_t peer_gossip_interval(uint32_t peers);
/* Returns the age of the news of a peer at which it counts as silent. */
usec_t peer_gossip_timeout(uint32_t peers);

typedef uint64_t (*peer_gossip_random_fn)(void *ctx);
/*
 * Chooses the targets of a round among n peers. "is_local" tells which are in
 * this VM's failure domain. "out" holds n indices; returns how many are used.
 */
uint32_t peer_gossip_pick(const bool *is_local, uint32_t n,
			  peer_gossip_random_fn random, void *ctx,
			  uint32_t *out);

#endif
