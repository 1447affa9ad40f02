#include "decide/shared_poll.h"

#include <math.h>

static usec_t random_delay(usec_t max, uint32_t vms, double unit);

/*
 * An answer counts as newer only beyond the error of ages, since the same one
 * is told again with each heartbeat.
 */
bool shared_poll_answered(struct shared_poll *p,
			  const struct shared_poll_policy *policy,
			  usec_t asked_at, uint32_t vms, double unit)
{
	if (p->asked_at && asked_at - p->asked_at <= SHARED_POLL_AGE_ERROR_US)
		return false;
	p->asked_at = asked_at;
	p->delay = random_delay(policy->spread, vms, unit);
	return true;
}

/* Without an answer nothing is known that could be old. */
usec_t shared_poll_due_at(const struct shared_poll *p,
			  const struct shared_poll_policy *policy)
{
	if (p->asked_at == 0)
		return 0;
	return p->asked_at + policy->min_age + p->delay;
}

/*
 * Returns a delay from 0 to "max" with the truncated exponential distribution
 * of the paper, whose rate grows with the logarithm of the number of VMs.
 */
static usec_t random_delay(usec_t max, uint32_t vms, double unit)
{
	double rate = log(vms > 1 ? vms : 1) + 1;

	return (usec_t)((double)max / rate * log1p(unit * expm1(rate)));
}
