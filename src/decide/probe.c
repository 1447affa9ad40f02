#include "decide/probe.h"

#define BACKOFF_DOUBLINGS 6

static usec_t interval(const struct probe_policy *policy,
		       const struct probe_need *need, bool primary, usec_t now);

/*
 * Tells when a database is to be probed next; never before the probe under way
 * is answered or expired. What the data path hears counts as a probe. One that
 * does not answer is asked ever more rarely, unless it is the primary, whose
 * silence must be noticed and whose return too.
 */
usec_t probe_due(const struct probe *p, const struct probe_policy *policy,
		 const struct probe_need *need, bool primary, usec_t now)
{
	usec_t every = interval(policy, need, primary, now);
	usec_t last = p->last_at > p->tried_at ? p->last_at : p->tried_at;
	uint32_t n = p->misses;

	if (p->asked_at)
		return p->asked_at + policy->reply_us;
	if (!p->tried_at && !p->last_at)
		return now;
	if (n && !primary && !need->urgent) {
		every <<= n < BACKOFF_DOUBLINGS ? n : BACKOFF_DOUBLINGS;
		if (every > policy->backoff_max_us)
			every = policy->backoff_max_us;
	}
	return last + every;
}

/* A probe leaves now. */
void probe_sent(struct probe *p, usec_t now)
{
	p->asked_at = now;
	p->tried_at = now;
	if (!p->unanswered_at)
		p->unanswered_at = now;
}

/* An answer came to a question asked at "asked_at", a probe or a statement. */
void probe_heard(struct probe *p, usec_t asked_at)
{
	if (asked_at > p->last_at)
		p->last_at = asked_at;
	if (p->asked_at && asked_at >= p->asked_at)
		p->asked_at = 0;
	p->misses = 0;
	p->unanswered_at = p->asked_at;
}

/* Ends a probe that got no answer in time; it counts as a miss once. */
bool probe_expire(struct probe *p, const struct probe_policy *policy,
		  usec_t now)
{
	if (!p->asked_at || now - p->asked_at < policy->reply_us)
		return false;
	p->asked_at = 0;
	p->misses++;
	return true;
}

/* Replicas are polled fast while writes wait; one poll serves all of them. */
static usec_t interval(const struct probe_policy *policy,
		       const struct probe_need *need, bool primary, usec_t now)
{
	if (need->urgent)
		return policy->busy_us;
	if (need->confirms && !primary)
		return policy->busy_us;
	if (now - need->used_at <= policy->active_for_us)
		return policy->active_us;
	return policy->idle_us;
}
