#include "decide/retry.h"

#define MILLI	      1000
#define DOUBLINGS_MAX 20

/* Starts with a full budget. */
void retry_init(struct retry_budget *b, const struct retry_policy *policy)
{
	b->milli = (uint64_t)policy->burst * MILLI;
}

/* Credits the share of one request that needed no retry. */
void retry_earn(struct retry_budget *b, const struct retry_policy *policy)
{
	uint64_t full = (uint64_t)policy->burst * MILLI;

	b->milli += policy->share_permille;
	if (b->milli > full)
		b->milli = full;
}

/*
 * Takes one retry for a request that has made "attempts" calls. False, and
 * nothing is taken, if it has made its most or the budget is spent.
 */
bool retry_take(struct retry_budget *b, const struct retry_policy *policy,
		uint32_t attempts)
{
	if (attempts >= policy->attempts_max || b->milli < MILLI)
		return false;
	b->milli -= MILLI;
	return true;
}

/* Draws from 0 to the back-off of this attempt, doubled each time. */
usec_t retry_delay(const struct retry_policy *policy, uint32_t attempts,
		   uint64_t random)
{
	uint32_t n = attempts > 0 ? attempts - 1 : 0;
	usec_t most = policy->base_us;

	if (n > DOUBLINGS_MAX)
		n = DOUBLINGS_MAX;
	while (n-- > 0 && most < policy->cap_us)
		most *= 2;
	if (most > policy->cap_us)
		most = policy->cap_us;
	return (usec_t)(random % (uint64_t)(most + 1));
}
