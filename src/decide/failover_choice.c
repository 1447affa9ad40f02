#include "decide/failover_fsm_internal.h"

/* Decides when a failover begins, and which database it promotes. */

/*
 * Returns true if this VM should start a failover now: its rank's delay has
 * passed and a replica can take over. A primary that at least as many peers
 * hear as miss, counting this VM as one that misses it, is left in place unless
 * it departs. A VM that hears few others may be partitioned itself and does not
 * act. Nor does one that may not know all replicas: it would leave some of them
 * unpaused, and they would continue to prove the primary. A VM that has just
 * learned of another VM's promotion leaves the next one to that VM for a while,
 * so that two VMs never promote in turn.
 */
bool failover_should_start(const struct failover_fsm *s,
			   const struct failover_fsm_env *env)
{
	bool has_successor = false;
	uint32_t i;

	if (s->cause_since == 0 || env->now < s->quiet_until ||
	    !env->knows_all_dbs || !env->platform_up || !env->hears_most_vms ||
	    env->peer_is_acting)
		return false;
	if (!env->promoted_here && env->term_known_at &&
	    env->now - env->term_known_at < s->policy.turn)
		return false;
	if (env->cause != FAILOVER_CAUSE_DEPARTING &&
	    env->cause != FAILOVER_CAUSE_NO_PRIMARY &&
	    env->peers_hearing >= env->peers_missing + 1)
		return false;
	for (i = 0; i < env->n; i++)
		has_successor |=
			failover_is_eligible(env, i) && env->db[i].answers;
	return has_successor && env->now - s->cause_since >=
					(usec_t)env->rank * s->policy.stagger;
}

/* Returns true if the database is registered, not primary and not departing. */
bool failover_is_eligible(const struct failover_fsm_env *env, uint32_t i)
{
	return i != env->primary && env->db[i].present && !env->db[i].departing;
}

/* Returns true if a replica has the whole log of the old primary. */
bool failover_caught_up(const struct failover_fsm *s,
			const struct failover_fsm_env *env)
{
	uint32_t i;

	for (i = 0; i < env->n; i++) {
		if (failover_is_eligible(env, i) && i != s->old_primary &&
		    env->db[i].has_new_report &&
		    log_pos_cmp(env->db[i].received, s->old_primary_end) >= 0)
			return true;
	}
	return false;
}

/*
 * Returns the database to promote, or DB_NONE: of those that respond, do not
 * depart and have not refused a promotion in this attempt, the one with the
 * most complete log. Unless the old primary stepped down, it must be paused. If
 * the old primary stepped down and no replica has its whole log, it is promoted
 * again, but not twice in succession: it departs and must be free of work in
 * time.
 */
uint32_t failover_choose_target(const struct failover_fsm *s,
				const struct failover_fsm_env *env)
{
	uint32_t best = DB_NONE;
	uint32_t i;

	for (i = 0; i < env->n; i++) {
		if (i == s->old_primary || !env->db[i].present ||
		    env->db[i].departing || (s->failed_mask & (1U << i)) ||
		    !env->db[i].answers)
			continue;
		if (!s->stepped_down && !(s->paused_mask & (1U << i)))
			continue;
		if (best == DB_NONE || log_pos_cmp(env->db[i].received,
						   env->db[best].received) > 0)
			best = i;
	}
	if (s->stepped_down && s->old_primary < env->n &&
	    !s->old_primary_kept &&
	    !(s->failed_mask & (1U << s->old_primary)) &&
	    (best == DB_NONE ||
	     log_pos_cmp(env->db[best].received, s->old_primary_end) < 0))
		return s->old_primary;
	return best;
}
