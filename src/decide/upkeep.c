#include "decide/upkeep.h"

#include "decide/elect.h"
#include "decide/suspect.h"

static void keep_ahead(struct promote *p, const struct promote_env *env,
		       struct promote_actions *out);
static void keep_following(struct promote *p, const struct promote_env *env,
			   struct promote_actions *out);
static void keep_published(struct promote *p, const struct promote_env *env,
			   struct promote_actions *out);

/* Does what is due while nothing is under way. */
void upkeep_tick(struct promote *p, const struct promote_env *env,
		 enum promote_cause cause, struct promote_actions *out)
{
	keep_published(p, env, out);
	keep_ahead(p, env, out);
	if (cause == CAUSE_NONE || cause == CAUSE_UNFOLLOWED ||
	    cause == CAUSE_DEPARTING)
		keep_following(p, env, out);
}

/* Claims a term to hold in hand, unless a claim is under way or just failed. */
void upkeep_claim(struct promote *p, const struct promote_env *env,
		  struct promote_actions *out)
{
	usec_t wait = p->ahead_ask ? p->policy.phase_us : p->policy.backoff_us;

	if (!env->platform_up)
		return;
	if (p->ahead_at && env->now - p->ahead_at < wait)
		return;
	p->ahead = 0;
	p->ahead_ask = elect_next_term(p, env);
	p->ahead_at = env->now;
	promote_emit(out, ACT_CLAIM, DB_NONE, DB_NONE, p->ahead_ask);
}

/* Holds one claimed term in hand, so that a platform outage is no hindrance. */
static void keep_ahead(struct promote *p, const struct promote_env *env,
		       struct promote_actions *out)
{
	if (env->rank >= p->policy.ahead_ranks)
		return;
	if (!elect_term_in_hand(p, env))
		upkeep_claim(p, env, out);
}

/* Tells databases that lost their way to follow; harmless if done twice. */
static void keep_following(struct promote *p, const struct promote_env *env,
			   struct promote_actions *out)
{
	usec_t turn =
		p->policy.call_us + (usec_t)env->rank * p->policy.stagger_us;
	uint32_t i;

	for (i = 0; i < env->view->n; i++) {
		if (!suspect_astray(&p->policy, env->view, i, env->now)) {
			p->follow_at[i] = 0;
			continue;
		}
		if (!p->follow_at[i])
			p->follow_at[i] = env->now + turn;
		if (env->now < p->follow_at[i])
			continue;
		p->follow_at[i] = env->now + p->policy.backoff_us + turn;
		promote_emit(out, ACT_FOLLOW, i, env->view->primary,
			     env->view->term);
	}
}

/* Publishes a known primary that the platform has not heard of. */
static void keep_published(struct promote *p, const struct promote_env *env,
			   struct promote_actions *out)
{
	if (env->view->term <= p->published || env->view->primary == DB_NONE) {
		p->publish_at = 0;
		return;
	}
	if (!p->publish_at)
		p->publish_at =
			env->now + (usec_t)env->rank * p->policy.stagger_us;
	if (env->now < p->publish_at || !env->platform_up)
		return;
	p->publish_at = env->now + p->policy.phase_us;
	promote_emit(out, ACT_PUBLISH, env->view->primary, env->view->primary,
		     env->view->term);
}
