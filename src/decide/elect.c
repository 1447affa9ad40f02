#include "decide/elect.h"

#include "decide/route.h"

static void start_fence(struct promote *p, const struct promote_env *env,
			uint64_t term, struct promote_actions *out);
static bool worth_waiting(const struct promote *p,
			  const struct promote_env *env, uint32_t others);
static uint32_t furthest(const struct promote *p, const struct promote_env *env,
			 uint32_t among);
static bool better(const struct promote *p, const struct promote_env *env,
		   uint32_t a, uint32_t b);
static uint32_t bit_of(const struct group_view *v, uint32_t db);

/* Goes on to the fence with the term in hand, else claims one. */
void elect_begin(struct promote *p, const struct promote_env *env,
		 struct promote_actions *out)
{
	uint64_t term;

	if (elect_term_in_hand(p, env)) {
		term = p->ahead;
		p->ahead = 0;
		start_fence(p, env, term, out);
		return;
	}
	p->ahead = 0;
	p->ahead_ask = elect_next_term(p, env);
	p->ahead_at = env->now;
	promote_emit(out, ACT_CLAIM, DB_NONE, DB_NONE, p->ahead_ask);
}

/* Tells whether the term held ahead is still above all that is known. */
bool elect_term_in_hand(const struct promote *p, const struct promote_env *env)
{
	return p->ahead > p->floor && p->ahead > env->view->term;
}

/* A term above every one that was published, fenced to or claimed. */
uint64_t elect_next_term(const struct promote *p, const struct promote_env *env)
{
	uint64_t top = p->floor > p->claimed ? p->floor : p->claimed;

	return (top > env->view->term ? top : env->view->term) + 1;
}

/*
 * Chooses the furthest of a fenced majority, once. An old primary that is
 * under suspicion is left out if there is a majority without it: what only it
 * holds was never confirmed. In a hand-over its report is waited for, so that
 * nothing that ran there is cut off.
 */
void elect_choose(struct promote *p, const struct promote_env *env,
		  struct promote_actions *out)
{
	uint32_t major = group_majority(env->view);
	uint32_t others = p->fenced;

	if (p->cause != CAUSE_DEPARTING && p->cause != CAUSE_FENCED)
		others &= ~bit_of(env->view, env->view->primary);
	if ((uint32_t)__builtin_popcount(p->fenced) < major)
		return;
	if (worth_waiting(p, env, others))
		return;
	if ((uint32_t)__builtin_popcount(others) < major)
		others = p->fenced;
	p->target = furthest(p, env, others);
	promote_enter(p, env, PROMOTE_PROMOTING);
	promote_emit(out, ACT_PROMOTE, p->target, p->target, p->term);
}

/* Fences every database that has not reported yet. */
void elect_fence(struct promote *p, const struct promote_env *env,
		 struct promote_actions *out)
{
	uint32_t i;

	for (i = 0; i < env->view->n; i++) {
		if (!(p->fenced & 1U << i))
			promote_emit(out, ACT_FENCE, i, DB_NONE, p->term);
	}
}

/* A term enters here once, and leaves hand with it, whatever comes of it. */
static void start_fence(struct promote *p, const struct promote_env *env,
			uint64_t term, struct promote_actions *out)
{
	p->term = term;
	p->fenced = 0;
	p->target = DB_NONE;
	promote_enter(p, env, PROMOTE_FENCING);
	elect_fence(p, env, out);
}

static bool worth_waiting(const struct promote *p,
			  const struct promote_env *env, uint32_t others)
{
	uint32_t wanted;

	if (env->now - p->phase_at >= p->policy.call_us)
		return false;
	if (p->cause == CAUSE_DEPARTING) {
		wanted = bit_of(env->view, env->view->primary) |
			 bit_of(env->view, p->handover.target);
		return (p->fenced & wanted) != wanted;
	}
	return (uint32_t)__builtin_popcount(others) < group_majority(env->view);
}

static uint32_t furthest(const struct promote *p, const struct promote_env *env,
			 uint32_t among)
{
	uint32_t best = DB_NONE;
	uint32_t i;

	for (i = 0; i < env->view->n; i++) {
		if (!(among & 1U << i))
			continue;
		if (best == DB_NONE || better(p, env, i, best))
			best = i;
	}
	return best;
}

/* Of equal logs the hand-over's target goes first, then a live database. */
static bool better(const struct promote *p, const struct promote_env *env,
		   uint32_t a, uint32_t b)
{
	int cmp = log_pos_cmp(p->end[a], p->end[b]);

	if (cmp != 0)
		return cmp > 0;
	if (p->cause == CAUSE_DEPARTING &&
	    (a == p->handover.target || b == p->handover.target))
		return a == p->handover.target;
	return env->view->db[a].state == DB_LIVE &&
	       env->view->db[b].state != DB_LIVE;
}

static uint32_t bit_of(const struct group_view *v, uint32_t db)
{
	return db < v->n ? 1U << db : 0;
}
