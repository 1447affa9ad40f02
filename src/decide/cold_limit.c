#include "decide/cold_limit.h"

/* The window in which statements are counted: a former owner's are over then.
 */
#define WINDOW_US USEC_PER_SEC
/* Parts into which the limit is divided: see the header. */
#define OWNERS_MAX 2
/* Longest time that is counted; longer than any database is cold. */
#define WAIT_MAX_US (3600 * USEC_PER_SEC)

static usec_t interval(const struct cold_limit_policy *policy);
static usec_t later_by(const struct cold_limit_policy *policy, uint32_t n);

/* A VM that loses the database and owns it again later is a new owner. */
void cold_limit_set_owner(struct cold_limit *c, bool is_owner, usec_t now)
{
	if (!is_owner) {
		c->owner_since = 0;
		return;
	}
	if (c->owner_since)
		return;
	c->owner_since = now;
	if (c->next_at < now + WINDOW_US)
		c->next_at = now + WINDOW_US;
}

/* Returns when the next statement may be sent; see the header. */
usec_t cold_limit_next_at(const struct cold_limit *c,
			  const struct cold_limit_policy *policy)
{
	if (policy->milli_per_s == 0)
		return 0;
	return c->owner_since ? c->next_at : -1;
}

/*
 * Statements follow each other at the interval: one that was not sent in time
 * is not made up for, so no second gets more than one beyond its rate.
 */
bool cold_limit_take(struct cold_limit *c,
		     const struct cold_limit_policy *policy, usec_t now)
{
	if (policy->milli_per_s == 0)
		return true;
	if (!c->owner_since || now < c->next_at)
		return false;
	c->next_at = now + interval(policy);
	return true;
}

/* Statements go at the interval from next_at on, if that is not over. */
usec_t cold_limit_wait(const struct cold_limit *c,
		       const struct cold_limit_policy *policy, uint32_t ahead,
		       usec_t now)
{
	usec_t wait = c->next_at > now ? c->next_at - now : 0;

	if (policy->milli_per_s == 0)
		return 0;
	return wait + later_by(policy, ahead);
}

/*
 * What a connection lacks of a session's state and the begin of a transaction
 * reach the database too, so the next statement waits for their time as well.
 */
void cold_limit_add(struct cold_limit *c,
		    const struct cold_limit_policy *policy, uint32_t n)
{
	if (policy->milli_per_s && c->owner_since)
		c->next_at += later_by(policy, n);
}

/* Returns the time of n statements; at most WAIT_MAX_US. */
static usec_t later_by(const struct cold_limit_policy *policy, uint32_t n)
{
	usec_t each = interval(policy);

	if (n == 0)
		return 0;
	return each > WAIT_MAX_US / n ? WAIT_MAX_US : each * n;
}

/*
 * Returns the time between two statements of one owner, in microseconds: at the
 * rate that the database is made for, or at this owner's part of the limit if
 * that is less.
 */
static usec_t interval(const struct cold_limit_policy *policy)
{
	double per_s = (double)policy->milli_per_s / 1000;
	double part = per_s * (double)policy->overage_milli / 1000 / OWNERS_MAX;

	if (part < per_s)
		per_s = part;
	if (per_s <= 0)
		return INT64_MAX / 2;
	return (usec_t)((double)USEC_PER_SEC / per_s) + 1;
}
