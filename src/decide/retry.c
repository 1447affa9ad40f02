#include "decide/retry.h"

#define MILLI	      1000
#define DOUBLINGS_MAX 20

/* Fills the budget. */
void retry_budget_init(struct retry_budget *b,
		       const struct retry_policy *policy)
{
	b->balance_milli = (uint64_t)policy->burst * MILLI;
}

/* Credits the fraction of a retry that one request without retries earns. */
void retry_budget_credit(struct retry_budget *b,
			 const struct retry_policy *policy)
{
	uint64_t full = (uint64_t)policy->burst * MILLI;

	b->balance_milli += policy->share_permille;
	if (b->balance_milli > full)
		b->balance_milli = full;
}

/*
 * Takes one retry for a request that has made "attempts" attempts. Returns
 * false and takes nothing if that is the maximum or the budget is spent.
 */
bool retry_budget_take(struct retry_budget *b,
		       const struct retry_policy *policy, uint32_t attempts)
{
	if (attempts >= policy->attempts_max || b->balance_milli < MILLI)
		return false;
	b->balance_milli -= MILLI;
	return true;
}

/*
 * Returns a random back-off, from 0 to a bound that starts at base_us and
 * doubles with each attempt up to cap_us.
 */
usec_t retry_backoff(const struct retry_policy *policy, uint32_t attempts,
		     uint64_t random)
{
	uint32_t n = attempts > 0 ? attempts - 1 : 0;
	usec_t max = policy->base_us;

	if (n > DOUBLINGS_MAX)
		n = DOUBLINGS_MAX;
	while (n-- > 0 && max < policy->cap_us)
		max *= 2;
	if (max > policy->cap_us)
		max = policy->cap_us;
	return (usec_t)(random % (uint64_t)(max + 1));
}
