#include "decide/health_probe.h"

#define BACKOFF_DOUBLINGS 6

static usec_t probe_interval(const struct health_probe_policy *policy,
			     const struct health_probe_demand *need,
			     bool primary, usec_t now);

/*
 * Returns when a database is to be probed next; not before the pending probe is
 * answered or has timed out. A response to a statement counts as a probe. A
 * database that does not respond is probed with exponential back-off, unless it
 * is the primary, whose failure and return must be detected quickly.
 */
usec_t health_probe_due(const struct health_probe *p,
			const struct health_probe_policy *policy,
			const struct health_probe_demand *need, bool primary,
			usec_t now)
{
	usec_t every = probe_interval(policy, need, primary, now);
	usec_t last = p->answered_at > p->sent_at ? p->answered_at : p->sent_at;
	uint32_t n = p->misses;

	if (p->pending_since)
		return p->pending_since + policy->reply_us;
	if (!p->sent_at && !p->answered_at)
		return now;
	if (n && !primary && !need->urgent) {
		every <<= n < BACKOFF_DOUBLINGS ? n : BACKOFF_DOUBLINGS;
		if (every > policy->backoff_max_us)
			every = policy->backoff_max_us;
	}
	return last + every;
}

/* Records that a probe is sent now. */
void health_probe_sent(struct health_probe *p, usec_t now)
{
	p->pending_since = now;
	p->sent_at = now;
	if (!p->unanswered_at)
		p->unanswered_at = now;
}

/* Records a response to a probe or statement that was sent at "asked_at". */
void health_probe_answered(struct health_probe *p, usec_t asked_at)
{
	if (asked_at > p->answered_at)
		p->answered_at = asked_at;
	if (p->pending_since && asked_at >= p->pending_since)
		p->pending_since = 0;
	p->misses = 0;
	p->unanswered_at = p->pending_since;
}

/* Ends the pending probe if it has timed out, and counts it as missed. */
bool health_probe_expire(struct health_probe *p,
			 const struct health_probe_policy *policy, usec_t now)
{
	if (!p->pending_since || now - p->pending_since < policy->reply_us)
		return false;
	p->pending_since = 0;
	p->misses++;
	return true;
}

/*
 * Returns the probe interval. Replicas are polled fast while writes wait for
 * confirmation; one poll serves all waiting writes.
 */
static usec_t probe_interval(const struct health_probe_policy *policy,
			     const struct health_probe_demand *need,
			     bool primary, usec_t now)
{
	if (need->urgent)
		return policy->busy_us;
	if (need->waiting_writes && !primary)
		return policy->busy_us;
	if (now - need->used_at <= policy->active_for_us)
		return policy->active_us;
	return policy->idle_us;
}
