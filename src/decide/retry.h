#ifndef DECIDE_RETRY_H
#define DECIDE_RETRY_H

#include "decide/types.h"

/*
 * Retry budget: limits retries to a fraction of the requests that are answered
 * at the first attempt.
 */
struct retry_policy {
	uint32_t share_permille; /* retries per thousand such requests */
	uint32_t burst;		 /* most retries that can accumulate */
	usec_t base_us;		 /* first back-off */
	usec_t cap_us;		 /* longest back-off */
	uint32_t attempts_max;	 /* attempts per request, with the first */
};

struct retry_budget {
	uint64_t balance_milli; /* available retries, in thousandths */
};

void retry_budget_init(struct retry_budget *b,
		       const struct retry_policy *policy);
/* Credits the budget for a request answered at its first attempt. */
void retry_budget_credit(struct retry_budget *b,
			 const struct retry_policy *policy);
/* Takes one retry after "attempts" attempts; false if not allowed. */
bool retry_budget_take(struct retry_budget *b,
		       const struct retry_policy *policy, uint32_t attempts);
/* Returns the back-off after "attempts" attempts, with full jitter. */
usec_t retry_backoff(const struct retry_policy *policy, uint32_t attempts,
		     uint64_t random);

#endif
