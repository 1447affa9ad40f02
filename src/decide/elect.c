#include "decide/elect.h"

#include "decide/route.h"

static void start_fence(struct promote *p, const struct promote_env *env,
			uint64_t term, struct promote_actions *out);
static bool should_wait(const struct promote *p, const struct promote_env *env,
			uint32_t candidates);
static uint32_t choose_best(const struct promote *p,
			    const struct promote_env *env, uint32_t among);
static bool is_better(const struct promote *p, const struct promote_env *env,
		      uint32_t a, uint32_t b);
static uint32_t bit_of(const struct group_view *v, uint32_t db);

/* Starts to fence with the reserved term, or claims a term if there is none. */
void elect_begin(struct promote *p, const struct promote_env *env,
		 struct promote_actions *out)
{
	uint64_t term;

	if (elect_has_reserved_term(p, env)) {
		term = p->reserved_term;
		p->reserved_term = 0;
		start_fence(p, env, term, out);
		return;
	}
	p->reserved_term = 0;
	p->claiming_term = elect_next_term(p, env);
	p->claim_sent_at = env->now;
	promote_emit(out, ACT_CLAIM, DB_NONE, DB_NONE, p->claiming_term);
}

/* Returns true if the reserved term is still above every known term. */
bool elect_has_reserved_term(const struct promote *p,
			     const struct promote_env *env)
{
	return p->reserved_term > p->highest_term &&
	       p->reserved_term > env->view->term;
}

/* Returns a term above every known published, fenced or claimed term. */
uint64_t elect_next_term(const struct promote *p, const struct promote_env *env)
{
	uint64_t top = p->highest_term > p->highest_claim ? p->highest_term
							  : p->highest_claim;

	return (top > env->view->term ? top : env->view->term) + 1;
}

/*
 * Promotes the database with the most complete log once a majority is fenced.
 * A suspected old primary is left out if there is a majority without it:
 * entries that only it has were never confirmed. In a hand-over its report is
 * waited for, so that no write that it executed is lost.
 */
void elect_choose(struct promote *p, const struct promote_env *env,
		  struct promote_actions *out)
{
	uint32_t majority = group_majority(env->view);
	uint32_t candidates = p->fenced_mask;

	if (p->cause != CAUSE_DEPARTING && p->cause != CAUSE_FENCED)
		candidates &= ~bit_of(env->view, env->view->primary);
	if ((uint32_t)__builtin_popcount(p->fenced_mask) < majority)
		return;
	if (should_wait(p, env, candidates))
		return;
	if ((uint32_t)__builtin_popcount(candidates) < majority)
		candidates = p->fenced_mask;
	p->target = choose_best(p, env, candidates);
	promote_enter(p, env, PROMOTE_PROMOTING);
	promote_emit(out, ACT_PROMOTE, p->target, p->target, p->term);
}

/* Fences every database that has not reported its fence yet. */
void elect_fence(struct promote *p, const struct promote_env *env,
		 struct promote_actions *out)
{
	uint32_t i;

	for (i = 0; i < env->view->n; i++) {
		if (!(p->fenced_mask & 1U << i))
			promote_emit(out, ACT_FENCE, i, DB_NONE, p->term);
	}
}

/*
 * Starts to fence all databases to a term. This VM never uses the same term for
 * a second attempt, whatever the result of the first.
 */
static void start_fence(struct promote *p, const struct promote_env *env,
			uint64_t term, struct promote_actions *out)
{
	p->term = term;
	p->fenced_mask = 0;
	p->target = DB_NONE;
	promote_enter(p, env, PROMOTE_FENCING);
	elect_fence(p, env, out);
}

/*
 * Returns true if the choice should wait, for at most retry_us, for more
 * databases to report their fence: in a hand-over the primary and the target,
 * else a majority among "candidates".
 */
static bool should_wait(const struct promote *p, const struct promote_env *env,
			uint32_t candidates)
{
	uint32_t wanted;

	if (env->now - p->phase_at >= p->policy.retry_us)
		return false;
	if (p->cause == CAUSE_DEPARTING) {
		wanted = bit_of(env->view, env->view->primary) |
			 bit_of(env->view, p->handover.target);
		return (p->fenced_mask & wanted) != wanted;
	}
	return (uint32_t)__builtin_popcount(candidates) <
	       group_majority(env->view);
}

/* Returns the best database of the mask "among", or DB_NONE if it is empty. */
static uint32_t choose_best(const struct promote *p,
			    const struct promote_env *env, uint32_t among)
{
	uint32_t best = DB_NONE;
	uint32_t i;

	for (i = 0; i < env->view->n; i++) {
		if (!(among & 1U << i))
			continue;
		if (best == DB_NONE || is_better(p, env, i, best))
			best = i;
	}
	return best;
}

/*
 * Returns true if "a" is a better choice than "b": its log is further ahead,
 * by term and then by position. Among equal logs the hand-over's target is
 * preferred, then a live database.
 */
static bool is_better(const struct promote *p, const struct promote_env *env,
		      uint32_t a, uint32_t b)
{
	int cmp = log_pos_cmp(p->fenced_end[a], p->fenced_end[b]);

	if (cmp != 0)
		return cmp > 0;
	if (p->cause == CAUSE_DEPARTING &&
	    (a == p->handover.target || b == p->handover.target))
		return a == p->handover.target;
	return env->view->db[a].state == DB_LIVE &&
	       env->view->db[b].state != DB_LIVE;
}

/* Returns the mask bit of a database; 0 if there is no such database. */
static uint32_t bit_of(const struct group_view *v, uint32_t db)
{
	return db < v->n ? 1U << db : 0;
}
