#ifndef DECIDE_RETRY_H
#define DECIDE_RETRY_H

#include "decide/types.h"

struct retry_policy {
	uint32_t share_permille; /* retries per thousand answered requests */
	uint32_t burst;		 /* retries that may be saved up */
	usec_t base_us;		 /* first back-off */
	usec_t cap_us;
	uint32_t attempts_max; /* calls of one request, the first included */
};

struct retry_budget {
	uint64_t milli; /* thousandths of a retry */
};

void retry_init(struct retry_budget *b, const struct retry_policy *policy);
/* A request was answered at its first attempt. */
void retry_earn(struct retry_budget *b, const struct retry_policy *policy);
/* Takes one retry after "attempts" calls; false if there is none. */
bool retry_take(struct retry_budget *b, const struct retry_policy *policy,
		uint32_t attempts);
/* Back-off before the call after "attempts" calls, with full jitter. */
usec_t retry_delay(const struct retry_policy *policy, uint32_t attempts,
		   uint64_t random);

#endif
