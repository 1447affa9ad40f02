#include "decide/peer_gossip.h"

#define SMALL_INTERVAL_US (150 * USEC_PER_MSEC)
#define LARGE_INTERVAL_US (250 * USEC_PER_MSEC)
/* Heartbeats missed in a row while each peer receives all of them. */
#define MISSED_MAX 4
/*
 * Rounds beyond the binary logarithm of the fleet after which news has reached
 * every VM in spite of lost datagrams.
 */
#define SPARE_ROUNDS 4

static uint32_t pick(const bool *is_local, uint32_t n, bool want_local,
		     uint32_t most, peer_gossip_random_fn random, void *ctx,
		     uint32_t *out);
static uint32_t log2_ceil(uint32_t n);

/* Returns the interval between two rounds. */
usec_t peer_gossip_interval(uint32_t peers)
{
	return peers <= PEER_GOSSIP_ALL_MAX ? SMALL_INTERVAL_US
					    : LARGE_INTERVAL_US;
}

/* Returns the age of the news of a peer at which it counts as silent. */
usec_t peer_gossip_timeout(uint32_t peers)
{
	uint32_t rounds = peers <= PEER_GOSSIP_ALL_MAX
				  ? MISSED_MAX
				  : SPARE_ROUNDS + log2_ceil(peers);

	return peer_gossip_interval(peers) * rounds;
}

/* Chooses all peers of a small fleet, else some at random without repetition.
 */
uint32_t peer_gossip_pick(const bool *is_local, uint32_t n,
			  peer_gossip_random_fn random, void *ctx,
			  uint32_t *out)
{
	uint32_t picked;
	uint32_t i;

	if (n <= PEER_GOSSIP_ALL_MAX) {
		for (i = 0; i < n; i++)
			out[i] = i;
		return n;
	}
	picked = pick(is_local, n, true, PEER_GOSSIP_LOCAL, random, ctx, out);
	return picked + pick(is_local, n, false, PEER_GOSSIP_TARGETS - picked,
			     random, ctx, out + picked);
}

/*
 * Chooses up to "most" peers of one kind by reservoir sampling. Returns how
 * many.
 */
static uint32_t pick(const bool *is_local, uint32_t n, bool want_local,
		     uint32_t most, peer_gossip_random_fn random, void *ctx,
		     uint32_t *out)
{
	uint32_t seen = 0;
	uint32_t i;

	for (i = 0; i < n; i++) {
		uint64_t place;

		if (is_local[i] != want_local)
			continue;
		place = seen < most ? seen : random(ctx) % (seen + 1);
		if (place < most)
			out[place] = i;
		seen++;
	}
	return seen < most ? seen : most;
}

/* Returns the binary logarithm of n, rounded up. */
static uint32_t log2_ceil(uint32_t n)
{
	uint32_t bits = 0;

	while (bits < 31 && (1U << bits) < n)
		bits++;
	return bits;
}
