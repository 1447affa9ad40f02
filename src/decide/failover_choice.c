#include "decide/failover_fsm_internal.h"

/* Decides when a failover begins, and which database it promotes. */

static enum failover_fsm_hold
hold_of_successor(const struct failover_fsm_env *env);
static enum failover_fsm_hold
hold_of_hand_over(const struct failover_fsm_env *env);
static uint32_t longest_log(const struct failover_fsm *s,
			    const struct failover_fsm_env *env, bool evacuated);
static uint32_t led_last(const struct failover_fsm *s,
			 const struct failover_fsm_env *env, uint32_t best);
static uint32_t choose_synchronous(const struct failover_fsm *s,
				   const struct failover_fsm_env *env);
static struct log_pos furthest_end(const struct failover_fsm *s,
				   const struct failover_fsm_env *env);
static uint32_t find_complete(const struct failover_fsm *s,
			      const struct failover_fsm_env *env,
			      struct log_pos end, bool departing,
			      bool evacuated);
static bool may_be_target(const struct failover_fsm *s,
			  const struct failover_fsm_env *env, uint32_t i);
static bool lacks_end(const struct failover_fsm *s,
		      const struct failover_fsm_env *env, uint32_t i);
static bool has_outside(const struct failover_fsm *s,
			const struct failover_fsm_env *env);

/*
 * Returns what keeps this VM from starting a failover now, if anything: its
 * rank's delay has to pass, and a replica has to be able to take over. A
 * primary that at least as many peers hear as miss, counting this VM as one
 * that misses it, is left in place unless its replacement is planned. A VM that
 * hears few others may be partitioned itself and does not act. Nor does one
 * that may not know all replicas: it would leave some of them unpaused, and
 * they would continue to prove the primary. A VM that has just learned of
 * another VM's promotion leaves the next one to that VM for a while, so that
 * two VMs never promote in turn.
 */
enum failover_fsm_hold failover_fsm_hold(const struct failover_fsm *s,
					 const struct failover_fsm_env *env)
{
	enum failover_fsm_hold hold = failover_hold_of_vm(s, env);

	if (hold == FAILOVER_HOLD_NONE)
		hold = hold_of_successor(env);
	if (hold != FAILOVER_HOLD_NONE)
		return hold;
	return failover_rank_is_due(s, env) ? FAILOVER_HOLD_NONE
					    : FAILOVER_HOLD_RANK;
}

/*
 * Returns true if this VM's rank has waited for its delay since the VM was able
 * to act.
 */
bool failover_rank_is_due(const struct failover_fsm *s,
			  const struct failover_fsm_env *env)
{
	return env->now - s->able_since >=
	       (usec_t)env->rank * s->policy.stagger;
}

/*
 * Returns what keeps this VM from acting at all. That may end for all VMs at
 * the same moment, so the delays of their ranks count from there.
 */
enum failover_fsm_hold failover_hold_of_vm(const struct failover_fsm *s,
					   const struct failover_fsm_env *env)
{
	if (s->cause_since == 0)
		return FAILOVER_HOLD_NO_CAUSE;
	if (env->now < s->quiet_until)
		return FAILOVER_HOLD_BACK_OFF;
	if (!env->knows_all_dbs)
		return FAILOVER_HOLD_UNKNOWN_DBS;
	if (!env->platform_up)
		return FAILOVER_HOLD_STORE;
	if (!env->hears_most_vms)
		return FAILOVER_HOLD_ALONE;
	if (env->peer_is_acting)
		return FAILOVER_HOLD_PEER;
	if (!env->promoted_here && env->term_known_at &&
	    env->now - env->term_known_at < s->policy.turn)
		return FAILOVER_HOLD_TURN;
	return FAILOVER_HOLD_NONE;
}

/* Returns whether the primary may be replaced, and by any of the others. */
static enum failover_fsm_hold
hold_of_successor(const struct failover_fsm_env *env)
{
	enum failover_fsm_hold hold = FAILOVER_HOLD_NO_TARGET;
	uint32_t i;

	if (env->cause == FAILOVER_CAUSE_EVACUATED)
		return hold_of_hand_over(env);
	if (env->cause != FAILOVER_CAUSE_DEPARTING &&
	    env->cause != FAILOVER_CAUSE_NO_PRIMARY &&
	    env->peers_hearing >= env->peers_missing + 1)
		return FAILOVER_HOLD_HEARD;
	if (env->replica_is_away && env->cause != FAILOVER_CAUSE_DEPARTING)
		return FAILOVER_HOLD_REPLICA_AWAY;
	for (i = 0; i < env->n; i++) {
		if (!failover_may_succeed(env, i) || !env->db[i].answers)
			continue;
		if (failover_may_take_over(env, i))
			return FAILOVER_HOLD_NONE;
		hold = FAILOVER_HOLD_NO_STATUS;
	}
	return hold;
}

/*
 * Returns true if the database may be promoted and responds. A VM that knows no
 * term of the group needs the database's report as well: a pause for a term
 * that is not above the group's has no effect.
 */
bool failover_may_take_over(const struct failover_fsm_env *env, uint32_t i)
{
	return failover_may_succeed(env, i) && env->db[i].answers &&
	       (env->term > 0 || env->db[i].term > 0);
}

/*
 * Returns whether an evacuated primary may be handed over: reports of it and of
 * a database outside, both requested since the evacuation was known, have to
 * show that this database lacks nothing of the log. The primary gets no
 * statements meanwhile, so this is so soon unless the replicas don't receive.
 */
static enum failover_fsm_hold
hold_of_hand_over(const struct failover_fsm_env *env)
{
	enum failover_fsm_hold hold = FAILOVER_HOLD_NO_TARGET;
	const struct failover_fsm_db *primary;
	uint32_t i;

	if (env->primary >= env->n)
		return FAILOVER_HOLD_NO_TARGET;
	primary = &env->db[env->primary];
	for (i = 0; i < env->n; i++) {
		const struct failover_fsm_db *d = &env->db[i];

		if (!failover_is_eligible(env, i) || !d->answers ||
		    d->evacuated)
			continue;
		if (!primary->has_evacuation_report ||
		    !primary->reports_primary)
			return FAILOVER_HOLD_NO_STATUS;
		if (!d->has_evacuation_report) {
			if (hold == FAILOVER_HOLD_NO_TARGET)
				hold = FAILOVER_HOLD_NO_STATUS;
			continue;
		}
		if (log_pos_cmp(d->received, primary->received) >= 0)
			return FAILOVER_HOLD_NONE;
		hold = FAILOVER_HOLD_TARGET_BEHIND;
	}
	return hold;
}

/* Departing databases are eligible only where failover_may_succeed() says so.
 */
bool failover_is_eligible(const struct failover_fsm_env *env, uint32_t i)
{
	return i != env->primary && env->db[i].present && !env->db[i].departing;
}

/*
 * A departing database may be the only one with commits that were acknowledged
 * once it had received them.
 */
bool failover_may_succeed(const struct failover_fsm_env *env, uint32_t i)
{
	return failover_is_eligible(env, i) ||
	       (env->is_synchronous && i != env->primary && env->db[i].present);
}

/*
 * Returns true if a replica has the whole log of the old primary. It has to be
 * outside evacuated domains if any that responds is, or if it is to be handed
 * over to one.
 */
bool failover_caught_up(const struct failover_fsm *s,
			const struct failover_fsm_env *env)
{
	bool only_outside =
		s->cause == FAILOVER_CAUSE_EVACUATED || has_outside(s, env);
	uint32_t i;

	for (i = 0; i < env->n; i++) {
		if (failover_is_eligible(env, i) && i != s->old_primary &&
		    !(only_outside && env->db[i].evacuated) &&
		    env->db[i].has_new_report && !lacks_end(s, env, i))
			return true;
	}
	return false;
}

/*
 * Returns the database to promote, or DB_NONE: of those outside evacuated
 * domains the one with the most complete log, else of those inside. If the old
 * primary stepped down and no replica has its whole log, it is promoted again,
 * but not twice in succession if it departs: it must be free of work in time.
 * An evacuated primary is never replaced by a database without its whole log,
 * nor by one inside an evacuated domain.
 */
uint32_t failover_choose_target(const struct failover_fsm *s,
				const struct failover_fsm_env *env)
{
	bool may_keep = s->old_primary < env->n &&
			!(s->failed_mask & (1U << s->old_primary));
	uint32_t best;

	if (env->is_synchronous)
		return choose_synchronous(s, env);
	best = longest_log(s, env, false);
	if (s->cause == FAILOVER_CAUSE_EVACUATED) {
		if (best != DB_NONE && !lacks_end(s, env, best))
			return best;
		return may_keep ? s->old_primary : DB_NONE;
	}
	if (s->cause == FAILOVER_CAUSE_NO_PRIMARY)
		best = led_last(s, env, best);
	if (best == DB_NONE)
		best = longest_log(s, env, true);
	if (s->stepped_down && may_keep && !s->old_primary_kept &&
	    (best == DB_NONE || lacks_end(s, env, best)))
		return s->old_primary;
	return best;
}

/*
 * Returns, of the databases that respond, do not depart and have not refused a
 * promotion in this attempt, and whose domain is evacuated or not as requested,
 * the one with the most complete log; or DB_NONE. Unless the old primary
 * stepped down, it must be paused.
 */
static uint32_t longest_log(const struct failover_fsm *s,
			    const struct failover_fsm_env *env, bool evacuated)
{
	uint32_t best = DB_NONE;
	uint32_t i;

	for (i = 0; i < env->n; i++) {
		if (!may_be_target(s, env, i) || env->db[i].departing ||
		    env->db[i].evacuated != evacuated)
			continue;
		if (best == DB_NONE || log_pos_cmp(env->db[i].received,
						   env->db[best].received) > 0)
			best = i;
	}
	return best;
}

/*
 * Returns true if the database is fenced like the others, responds, and has not
 * refused a promotion in this attempt.
 */
static bool may_be_target(const struct failover_fsm *s,
			  const struct failover_fsm_env *env, uint32_t i)
{
	return i != s->old_primary && env->db[i].present &&
	       env->db[i].answers && !(s->failed_mask & (1U << i)) &&
	       (s->stepped_down || (s->paused_mask & (1U << i)));
}

/*
 * Returns the database to promote where an acknowledged commit may be held by
 * one replica only, or DB_NONE. No database is promoted whose log ends before
 * that of another one, also if that one no longer responds, or before that of
 * the old primary if it told its end. Of the others those that stay are
 * preferred, in domains that are not evacuated. If there is none, an old
 * primary that stepped down is promoted again, as often as needed: a departing
 * one gets no statements meanwhile. While a replica is away that may hold more,
 * only the old primary's own end tells what the log has to contain.
 */
static uint32_t choose_synchronous(const struct failover_fsm *s,
				   const struct failover_fsm_env *env)
{
	struct log_pos end = furthest_end(s, env);
	uint32_t best;

	if (env->replica_is_away && !s->end_known_at)
		return DB_NONE;
	best = find_complete(s, env, end, false, false);
	if (best == DB_NONE && s->cause != FAILOVER_CAUSE_EVACUATED)
		best = find_complete(s, env, end, false, true);
	if (best != DB_NONE)
		return best;
	if (s->old_primary < env->n &&
	    !(s->failed_mask & (1U << s->old_primary)) &&
	    (s->stepped_down || s->cause == FAILOVER_CAUSE_EVACUATED))
		return s->old_primary;
	if (s->cause == FAILOVER_CAUSE_EVACUATED)
		return DB_NONE;
	best = find_complete(s, env, end, true, false);
	return best == DB_NONE ? find_complete(s, env, end, true, true) : best;
}

/* Returns the furthest end of any fenced database's log. */
static struct log_pos furthest_end(const struct failover_fsm *s,
				   const struct failover_fsm_env *env)
{
	struct log_pos end = { 0 };
	uint32_t i;

	if (s->end_known_at)
		end = s->old_primary_end;
	for (i = 0; i < env->n; i++) {
		if (i != s->old_primary && env->db[i].present &&
		    log_pos_cmp(env->db[i].received, end) > 0)
			end = env->db[i].received;
	}
	return end;
}

/*
 * Returns a database that may be promoted, departs or is evacuated as
 * requested, and has the log up to "end"; or DB_NONE.
 */
static uint32_t find_complete(const struct failover_fsm *s,
			      const struct failover_fsm_env *env,
			      struct log_pos end, bool departing,
			      bool evacuated)
{
	uint32_t i;

	for (i = 0; i < env->n; i++) {
		if (may_be_target(s, env, i) &&
		    env->db[i].departing == departing &&
		    env->db[i].evacuated == evacuated &&
		    log_pos_cmp(env->db[i].received, end) >= 0)
			return i;
	}
	return DB_NONE;
}

/*
 * Returns the evacuated database that led last if its log is longer than that
 * of "best", else "best". If the VM that acted in a hand-over fails after the
 * step-down, the group is left without a primary, and a replica outside may
 * lack confirmed writes.
 */
static uint32_t led_last(const struct failover_fsm *s,
			 const struct failover_fsm_env *env, uint32_t best)
{
	uint32_t former = longest_log(s, env, true);

	if (former == DB_NONE || best == DB_NONE || !env->db[former].led_term ||
	    log_pos_cmp(env->db[former].received, env->db[best].received) <= 0)
		return best;
	return former;
}

/* Returns true if the database's log ends before the old primary's. */
static bool lacks_end(const struct failover_fsm *s,
		      const struct failover_fsm_env *env, uint32_t i)
{
	return log_pos_cmp(env->db[i].received, s->old_primary_end) < 0;
}

/* Returns true if a replica outside evacuated domains responds. */
static bool has_outside(const struct failover_fsm *s,
			const struct failover_fsm_env *env)
{
	uint32_t i;

	for (i = 0; i < env->n; i++) {
		if (failover_is_eligible(env, i) && i != s->old_primary &&
		    env->db[i].answers && !env->db[i].evacuated)
			return true;
	}
	return false;
}
