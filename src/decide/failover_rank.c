#include "decide/failover_rank.h"

/* Compares whether they drain, whether the store answers them, and the hashes.
 */
bool failover_rank_is_before(const struct failover_rank_vm *a,
			     const struct failover_rank_vm *b)
{
	if (a->is_draining)
		return false;
	if (b->is_draining)
		return !a->fails || b->fails;
	if (a->fails != b->fails)
		return b->fails;
	return a->hash > b->hash;
}
