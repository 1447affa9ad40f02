#include "decide/maintenance.h"

#include "decide/elect.h"
#include "decide/failure_detector.h"

static void reserve_term(struct promote *p, const struct promote_env *env,
			 struct promote_actions *out);
static void repair_following(struct promote *p, const struct promote_env *env,
			     struct promote_actions *out);
static void republish(struct promote *p, const struct promote_env *env,
		      struct promote_actions *out);

/*
 * Appends the maintenance actions that are due to "out". Call only while no
 * change of primary is under way. Replicas are told to follow only for causes
 * with which the primary still responds as primary.
 */
void maintenance_tick(struct promote *p, const struct promote_env *env,
		      enum promote_cause cause, struct promote_actions *out)
{
	republish(p, env, out);
	reserve_term(p, env, out);
	if (cause == CAUSE_NONE || cause == CAUSE_UNFOLLOWED ||
	    cause == CAUSE_DEPARTING)
		repair_following(p, env, out);
}

/*
 * Claims a term in advance, unless the platform is down, a claim is under way
 * or one has just failed.
 */
void maintenance_claim(struct promote *p, const struct promote_env *env,
		       struct promote_actions *out)
{
	usec_t wait =
		p->claiming_term ? p->policy.phase_us : p->policy.backoff_us;

	if (!env->platform_up)
		return;
	if (p->claim_sent_at && env->now - p->claim_sent_at < wait)
		return;
	p->reserved_term = 0;
	p->claiming_term = elect_next_term(p, env);
	p->claim_sent_at = env->now;
	promote_emit(out, ACT_CLAIM, DB_NONE, DB_NONE, p->claiming_term);
}

/*
 * Makes sure that this VM, if it is among the first by rank, has an unused
 * claimed term, so that it can promote a database while the platform is down.
 */
static void reserve_term(struct promote *p, const struct promote_env *env,
			 struct promote_actions *out)
{
	if (env->rank >= p->policy.reserving_ranks)
		return;
	if (!elect_has_reserved_term(p, env))
		maintenance_claim(p, env, out);
}

/*
 * Tells databases that follow no primary, or the wrong one, to follow the
 * primary. VMs take turns by rank; a repeated call is harmless.
 */
static void repair_following(struct promote *p, const struct promote_env *env,
			     struct promote_actions *out)
{
	usec_t delay =
		p->policy.retry_us + (usec_t)env->rank * p->policy.stagger_us;
	uint32_t i;

	for (i = 0; i < env->view->n; i++) {
		if (!detector_needs_follow(&p->policy, env->view, i,
					   env->now)) {
			p->follow_at[i] = 0;
			continue;
		}
		if (!p->follow_at[i])
			p->follow_at[i] = env->now + delay;
		if (env->now < p->follow_at[i])
			continue;
		p->follow_at[i] = env->now + p->policy.backoff_us + delay;
		promote_emit(out, ACT_FOLLOW, i, env->view->primary,
			     env->view->term);
	}
}

/*
 * Publishes a primary whose term is higher than the one at the platform. VMs
 * take turns by rank, and retry after phase_us.
 */
static void republish(struct promote *p, const struct promote_env *env,
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
