#include "decide/failover_fsm_internal.h"

#include <string.h>

/* Promotion calls after which the attempt ends. */
#define PROMOTE_ATTEMPTS_MAX 5
/* Requests to a departing primary before it is treated as silent. */
#define STEP_DOWN_ATTEMPTS_MAX 3

static void emit(struct failover_fsm_actions *out, enum failover_fsm_act act,
		 uint32_t db, uint64_t term);
static void enter_phase(struct failover_fsm *s, usec_t now,
			enum failover_fsm_phase phase);
static void ask_successors(struct failover_fsm *s,
			   const struct failover_fsm_env *env,
			   enum failover_fsm_hold hold,
			   struct failover_fsm_actions *out);
static void follow_cause(struct failover_fsm *s,
			 const struct failover_fsm_env *env);
static bool is_planned(const struct failover_fsm *s);
static bool retry_is_due(struct failover_fsm *s, usec_t now);
static void give_up(struct failover_fsm *s, const struct failover_fsm_env *env,
		    struct failover_fsm_actions *out);
static void begin_fence(struct failover_fsm *s,
			const struct failover_fsm_env *env);
static void fence_group(struct failover_fsm *s,
			const struct failover_fsm_env *env,
			struct failover_fsm_actions *out);
static bool primary_exists(const struct failover_fsm *s,
			   const struct failover_fsm_env *env);
static bool may_pause(const struct failover_fsm *s,
		      const struct failover_fsm_env *env);
static bool fence_is_done(const struct failover_fsm *s,
			  const struct failover_fsm_env *env);
static void wait_for_guard(struct failover_fsm *s,
			   const struct failover_fsm_env *env,
			   struct failover_fsm_actions *out);
static bool pause_was_lost(const struct failover_fsm *s,
			   const struct failover_fsm_env *env);
static bool all_reported(const struct failover_fsm *s,
			 const struct failover_fsm_env *env);
static void confirm_primary(struct failover_fsm *s,
			    const struct failover_fsm_env *env,
			    struct failover_fsm_actions *out);

/* Initializes the state machine in the idle phase. */
void failover_fsm_init(struct failover_fsm *s,
		       const struct failover_fsm_policy *policy)
{
	memset(s, 0, sizeof(*s));
	s->policy = *policy;
	s->old_primary = DB_NONE;
	s->target = DB_NONE;
	s->maybe_promoted = DB_NONE;
	s->requested = DB_NONE;
}

/* Advances the failover as far as the current state of the group allows. */
void failover_fsm_tick(struct failover_fsm *s,
		       const struct failover_fsm_env *env,
		       struct failover_fsm_actions *out)
{
	enum failover_fsm_hold hold;

	out->n = 0;
	if (env->cause == FAILOVER_CAUSE_NONE)
		s->cause_since = 0;
	else if (s->cause_since == 0)
		s->cause_since = env->now;
	if (failover_hold_of_vm(s, env) != FAILOVER_HOLD_NONE)
		s->able_since = 0;
	else if (s->able_since == 0)
		s->able_since = env->now;
	if (s->phase != FAILOVER_IDLE &&
	    env->now - s->phase_at > s->policy.phase_max &&
	    !(s->phase == FAILOVER_GUARD &&
	      env->now - s->phase_at <=
		      s->policy.guard + s->policy.phase_max)) {
		give_up(s, env, out);
		return;
	}
	if (s->is_abandoned && s->phase != FAILOVER_IDLE) {
		give_up(s, env, out);
		return;
	}
	switch (s->phase) {
	case FAILOVER_IDLE:
		hold = failover_fsm_hold(s, env);
		if (hold != FAILOVER_HOLD_NONE) {
			ask_successors(s, env, hold, out);
			break;
		}
		s->cause = env->cause;
		s->old_primary = env->primary;
		s->base_term = env->term;
		s->began_at = env->now;
		s->failed_mask = 0;
		s->paused_mask = 0;
		s->ever_paused_mask = 0;
		s->is_abandoned = false;
		s->stepped_down = false;
		s->end_known_at = 0;
		s->maybe_promoted = DB_NONE;
		s->requested = DB_NONE;
		s->attempts = 0;
		s->result_pending = true;
		enter_phase(s, env->now, FAILOVER_CLAIM);
		emit(out, FAILOVER_ACT_CLAIM, DB_NONE, 0);
		break;
	case FAILOVER_CLAIM:
		if (s->result_pending || s->token == 0)
			break;
		follow_cause(s, env);
		if (s->cause == FAILOVER_CAUSE_EVACUATED &&
		    env->cause != FAILOVER_CAUSE_EVACUATED) {
			give_up(s, env, out);
			break;
		}
		begin_fence(s, env);
		fence_group(s, env, out);
		break;
	case FAILOVER_FENCE:
		follow_cause(s, env);
		fence_group(s, env, out);
		break;
	case FAILOVER_GUARD:
		wait_for_guard(s, env, out);
		break;
	case FAILOVER_VERIFY:
	case FAILOVER_PROMOTE:
		if (s->result_pending)
			break;
		s->target = failover_choose_target(s, env);
		/* Other VMs may resume the replicas after attempt_max. */
		if (s->target == DB_NONE ||
		    (s->maybe_promoted != DB_NONE &&
		     s->target != s->maybe_promoted) ||
		    env->now - s->began_at > s->policy.attempt_max) {
			give_up(s, env, out);
			break;
		}
		if (s->phase == FAILOVER_VERIFY) {
			s->result_pending = true;
			s->verify_asked_at = env->now;
			emit(out, FAILOVER_ACT_VERIFY, DB_NONE, 0);
			break;
		}
		if (!s->stepped_down &&
		    (!fence_is_done(s, env) || pause_was_lost(s, env))) {
			begin_fence(s, env);
			break;
		}
		if (!s->stepped_down && env->listed_at < s->verify_asked_at)
			break;
		s->result_pending = true;
		s->requested = s->target;
		s->requested_end = env->db[s->target].received;
		emit(out, FAILOVER_ACT_PROMOTE, s->target, 0);
		break;
	case FAILOVER_CONFIRM:
		confirm_primary(s, env, out);
		break;
	}
}

/* Takes the result of the claim. If it failed, the attempt ends. */
void failover_fsm_claimed(struct failover_fsm *s, usec_t now, bool ok,
			  uint64_t token, bool is_base_certain)
{
	if (s->phase != FAILOVER_CLAIM || !s->result_pending)
		return;
	s->result_pending = false;
	s->token = ok ? token : 0;
	s->is_base_certain = ok && is_base_certain;
	if (ok)
		return;
	enter_phase(s, now, FAILOVER_IDLE);
	s->quiet_until = now + s->policy.back_off;
}

/*
 * Takes the result of the claim check. If the claim is not the newest, another
 * VM has taken over and the attempt ends.
 */
void failover_fsm_verified(struct failover_fsm *s, usec_t now, bool ok,
			   uint64_t token)
{
	if (s->phase != FAILOVER_VERIFY || !s->result_pending)
		return;
	s->result_pending = false;
	if (ok) {
		s->token = token;
		enter_phase(s, now, FAILOVER_PROMOTE);
		return;
	}
	enter_phase(s, now, FAILOVER_IDLE);
	s->quiet_until = now + s->policy.back_off;
}

/*
 * Records that one database is fenced: paused, or stepped down. The step-down
 * of a database that may have been replaced before says nothing of the primary
 * in use, so all replicas have to be paused then.
 */
void failover_fsm_fenced(struct failover_fsm *s, usec_t now, uint32_t db,
			 uint64_t term, bool stepped_down,
			 struct log_pos received)
{
	if ((s->phase != FAILOVER_FENCE && s->phase != FAILOVER_GUARD) ||
	    term != s->term)
		return;
	if (!stepped_down) {
		s->paused_mask |= 1U << db;
		s->ever_paused_mask |= 1U << db;
	} else if (db == s->old_primary) {
		s->stepped_down |= s->is_base_certain;
		if (s->end_known_at == 0)
			s->end_known_at = now;
		s->old_primary_end = received;
	}
}

/*
 * Takes the platform's result of the promotion. If it failed, the claim is
 * verified again before the next call; after PROMOTE_ATTEMPTS_MAX calls the
 * attempt ends. A call without an answer may have taken effect, so no other
 * database is promoted by this attempt.
 */
void failover_fsm_promoted(struct failover_fsm *s, usec_t now,
			   enum failover_fsm_answer a)
{
	if (s->phase != FAILOVER_PROMOTE || !s->result_pending)
		return;
	s->result_pending = false;
	s->attempts++;
	if (a == FAILOVER_ANSWER_DONE) {
		enter_phase(s, now, FAILOVER_CONFIRM);
		return;
	}
	if (a == FAILOVER_ANSWER_REFUSED) {
		s->failed_mask |= 1U << s->target;
		s->requested = DB_NONE;
	} else {
		s->maybe_promoted = s->target;
	}
	enter_phase(s, now, FAILOVER_VERIFY);
	if (s->attempts >= PROMOTE_ATTEMPTS_MAX) {
		enter_phase(s, now, FAILOVER_IDLE);
		s->quiet_until = now + s->policy.back_off;
	}
}

/*
 * The replicas are fenced, or the old primary has stepped down, so the log of
 * the target does not grow any more before it leads.
 */
bool failover_fsm_promoted_end(const struct failover_fsm *s, uint32_t db,
			       struct log_pos *end)
{
	if (s->requested == DB_NONE || s->requested != db)
		return false;
	*end = s->requested_end;
	return true;
}

/*
 * Ends the attempt because another VM has replaced the primary. If the term is
 * that of before, a primary that was not known leads on, and the next tick
 * resumes its replicas: nothing proves it while they are paused, and nobody
 * else resumes them soon. An attempt that only waits for its new primary's
 * confirmation continues. So does a planned one if the primary is the one that
 * it replaces: a VM forgets a primary that refuses a write after its step-down,
 * and peers may name it again.
 */
void failover_fsm_superseded(struct failover_fsm *s, usec_t now, uint32_t db,
			     uint64_t term)
{
	if (s->phase != FAILOVER_IDLE && is_planned(s) &&
	    db == s->old_primary && term <= s->base_term)
		return;
	if (term > s->base_term)
		s->requested = DB_NONE;
	s->cause_since = 0;
	if (s->phase == FAILOVER_IDLE || s->phase == FAILOVER_CONFIRM)
		return;
	if (term <= s->base_term) {
		s->is_abandoned = true;
		return;
	}
	enter_phase(s, now, FAILOVER_IDLE);
	s->result_pending = false;
	s->quiet_until = now + s->policy.back_off;
}

/* Returns the name of a phase for logs. */
const char *failover_fsm_phase_name(enum failover_fsm_phase phase)
{
	static const char *const names[] = {
		[FAILOVER_IDLE] = "idle",	[FAILOVER_CLAIM] = "claim",
		[FAILOVER_FENCE] = "fence",	[FAILOVER_GUARD] = "guard",
		[FAILOVER_VERIFY] = "verify",	[FAILOVER_PROMOTE] = "promote",
		[FAILOVER_CONFIRM] = "confirm",
	};

	return names[phase];
}

/* Returns the name of a cause for logs. */
const char *failover_fsm_cause_name(enum failover_fsm_cause cause)
{
	static const char *const names[] = {
		[FAILOVER_CAUSE_NONE] = "none",
		[FAILOVER_CAUSE_SILENT] = "silent",
		[FAILOVER_CAUSE_REFUSED] = "refused",
		[FAILOVER_CAUSE_DEPARTING] = "departing",
		[FAILOVER_CAUSE_NO_PRIMARY] = "nobody",
		[FAILOVER_CAUSE_EVACUATED] = "evacuated",
	};

	return names[cause];
}

/* Returns what holds an attempt back, for logs. */
const char *failover_fsm_hold_name(enum failover_fsm_hold hold)
{
	static const char *const names[] = {
		[FAILOVER_HOLD_NONE] = "nothing",
		[FAILOVER_HOLD_NO_CAUSE] = "no cause",
		[FAILOVER_HOLD_BACK_OFF] = "an attempt has just ended",
		[FAILOVER_HOLD_UNKNOWN_DBS] = "not all databases may be known",
		[FAILOVER_HOLD_STORE] = "the store does not answer",
		[FAILOVER_HOLD_ALONE] = "this VM hears too few others",
		[FAILOVER_HOLD_PEER] = "another VM is acting",
		[FAILOVER_HOLD_TURN] = "another VM has just promoted",
		[FAILOVER_HOLD_HEARD] = "other VMs hear the primary",
		[FAILOVER_HOLD_NO_TARGET] = "no database can take over",
		[FAILOVER_HOLD_NO_STATUS] = "no status of a log",
		[FAILOVER_HOLD_TARGET_BEHIND] = "no target has the whole log",
		[FAILOVER_HOLD_REPLICA_AWAY] =
			"a replica that left may hold acknowledged commits",
		[FAILOVER_HOLD_RANK] = "VMs of a lower rank go first",
	};

	return names[hold];
}

/* Appends an action, or drops it if the table is full. */
static void emit(struct failover_fsm_actions *out, enum failover_fsm_act act,
		 uint32_t db, uint64_t term)
{
	if (out->n == FAILOVER_ACTIONS_MAX)
		return;
	out->a[out->n++] = (struct failover_fsm_action){ .act = act,
							 .db = db,
							 .term = term };
}

/* Enters a phase. The idle phase drops the fencing token. */
static void enter_phase(struct failover_fsm *s, usec_t now,
			enum failover_fsm_phase phase)
{
	s->phase = phase;
	s->phase_at = now;
	s->asked_at = 0;
	if (phase == FAILOVER_IDLE)
		s->token = 0;
}

/*
 * Requests the status of the databases that could take over but that this VM
 * has not heard from, if only their lack holds the failover back. A VM that has
 * just started need not have used any of them, and no statement reaches them
 * without a primary. VMs ask in the order of their ranks, so that the first one
 * that gets an answer acts before the others ask. A hand-over obtains its
 * reports itself.
 */
static void ask_successors(struct failover_fsm *s,
			   const struct failover_fsm_env *env,
			   enum failover_fsm_hold hold,
			   struct failover_fsm_actions *out)
{
	uint32_t i;

	if ((hold != FAILOVER_HOLD_NO_TARGET &&
	     hold != FAILOVER_HOLD_NO_STATUS) ||
	    env->cause == FAILOVER_CAUSE_EVACUATED ||
	    !failover_rank_is_due(s, env) ||
	    (s->asked_at && env->now - s->asked_at < s->policy.ask_interval))
		return;
	s->asked_at = env->now;
	for (i = 0; i < env->n; i++) {
		if (failover_may_succeed(env, i) &&
		    !failover_may_take_over(env, i))
			emit(out, FAILOVER_ACT_PROBE, i, 0);
	}
}

/*
 * Continues a hand-over as an unplanned failover if the primary has failed, or
 * departs, before it reported its step-down: its answer can't be waited for.
 */
static void follow_cause(struct failover_fsm *s,
			 const struct failover_fsm_env *env)
{
	if (s->cause != FAILOVER_CAUSE_EVACUATED || s->end_known_at)
		return;
	if (env->cause == FAILOVER_CAUSE_DEPARTING)
		s->cause = env->cause;
	if ((env->cause == FAILOVER_CAUSE_SILENT ||
	     env->cause == FAILOVER_CAUSE_REFUSED) &&
	    env->peers_hearing < env->peers_missing + 1)
		s->cause = env->cause;
}

/* Returns true if the primary that is replaced is asked to step down. */
static bool is_planned(const struct failover_fsm *s)
{
	return s->cause == FAILOVER_CAUSE_DEPARTING ||
	       s->cause == FAILOVER_CAUSE_EVACUATED;
}

/* Returns true and records the time if another round of requests is due. */
static bool retry_is_due(struct failover_fsm *s, usec_t now)
{
	if (s->asked_at != 0 && now - s->asked_at < s->policy.retry_interval)
		return false;
	s->asked_at = now;
	return true;
}

/*
 * Ends the attempt, resumes the replicas and backs off. Each replica is resumed
 * only if no other VM has made a later claim, since that VM may rely on the
 * pause, and not while a promotion of this attempt may still take effect: a
 * resumed replica would prove the old primary.
 */
static void give_up(struct failover_fsm *s, const struct failover_fsm_env *env,
		    struct failover_fsm_actions *out)
{
	bool may_take_effect =
		s->maybe_promoted != DB_NONE || s->phase == FAILOVER_CONFIRM ||
		(s->phase == FAILOVER_PROMOTE && s->result_pending);
	uint32_t i;

	for (i = 0; i < env->n && !may_take_effect; i++) {
		if (s->ever_paused_mask & (1U << i))
			emit(out, FAILOVER_ACT_RESUME_IF_NEWEST, i, s->token);
	}
	s->paused_mask = 0;
	s->result_pending = false;
	enter_phase(s, env->now, FAILOVER_IDLE);
	s->quiet_until = env->now + s->policy.back_off;
}

/* Starts to fence with a term above every term that a database reported. */
static void begin_fence(struct failover_fsm *s,
			const struct failover_fsm_env *env)
{
	uint64_t term = env->term;
	uint32_t i;

	for (i = 0; i < env->n; i++) {
		if (env->db[i].term > term)
			term = env->db[i].term;
		if (env->db[i].held_term > term)
			term = env->db[i].held_term;
	}
	s->term = term + 1;
	s->paused_mask = 0;
	s->stepped_down = false;
	s->end_known_at = 0;
	s->old_primary_end = (struct log_pos){ 0 };
	enter_phase(s, env->now, FAILOVER_FENCE);
}

/*
 * Fences the group. A departing or evacuated primary still responds, so it is
 * stepped down and the replicas stay unpaused to receive its last commits; see
 * may_pause() for when they are paused nevertheless. In every other case the
 * replicas are paused and the old primary is only asked for its status; if it
 * responds as primary, it is left in place.
 */
static void fence_group(struct failover_fsm *s,
			const struct failover_fsm_env *env,
			struct failover_fsm_actions *out)
{
	const bool pauses = may_pause(s, env);
	uint32_t i;

	if (primary_exists(s, env)) {
		give_up(s, env, out);
		return;
	}
	if (fence_is_done(s, env)) {
		enter_phase(s, env->now, FAILOVER_GUARD);
		wait_for_guard(s, env, out);
		return;
	}
	if (!retry_is_due(s, env->now))
		return;
	for (i = 0; i < env->n; i++) {
		if (!env->db[i].present && i != s->old_primary)
			continue;
		if (i == s->old_primary)
			emit(out,
			     is_planned(s) ? FAILOVER_ACT_STEP_DOWN
					   : FAILOVER_ACT_PROBE,
			     i, s->term);
		else if (pauses && !(s->paused_mask & (1U << i)))
			emit(out, FAILOVER_ACT_PAUSE, i, s->term);
		else if (s->end_known_at &&
			 s->cause == FAILOVER_CAUSE_EVACUATED)
			emit(out, FAILOVER_ACT_PROBE, i, 0);
	}
}

/*
 * Returns true if the replicas may be paused now. In a planned change they are
 * paused only if the step-down takes too long, or does not prove that the
 * primary was the only one. An evacuated primary goes on committing until it
 * has stepped down, and a paused replica would not receive that; so it has to
 * report its step-down first, and a replica outside gets time to catch up.
 */
static bool may_pause(const struct failover_fsm *s,
		      const struct failover_fsm_env *env)
{
	if (s->cause == FAILOVER_CAUSE_EVACUATED)
		return s->end_known_at &&
		       (failover_caught_up(s, env) ||
			env->now - s->end_known_at > s->policy.catch_up_max);
	return s->cause != FAILOVER_CAUSE_DEPARTING ||
	       env->now - s->phase_at >
		       STEP_DOWN_ATTEMPTS_MAX * s->policy.retry_interval;
}

/*
 * Returns true if a database has reported itself as primary in this phase. The
 * old primary is exempt if its replacement is planned; if any other database is
 * primary, a failover is no longer needed.
 */
static bool primary_exists(const struct failover_fsm *s,
			   const struct failover_fsm_env *env)
{
	uint32_t i;

	for (i = 0; i < env->n; i++) {
		if (i == s->old_primary && is_planned(s))
			continue;
		if (env->db[i].present && env->db[i].has_new_report &&
		    env->db[i].reports_primary && env->db[i].term >= env->term)
			return true;
	}
	return false;
}

/*
 * Returns true if the old primary has stepped down, or if every other database
 * is paused, including those that joined after the fence began. A departing
 * primary that does not respond is fenced like a silent one.
 */
static bool fence_is_done(const struct failover_fsm *s,
			  const struct failover_fsm_env *env)
{
	uint32_t others = 0;
	uint32_t i;

	if (s->stepped_down)
		return true;
	for (i = 0; i < env->n; i++) {
		if (i == s->old_primary || !env->db[i].present)
			continue;
		if (!(s->paused_mask & (1U << i)))
			return false;
		others++;
	}
	return others > 0;
}

/*
 * Waits until no VM can use the old primary any more. If it stepped down, waits
 * until a replica has its whole log and no other database reports itself as
 * primary, for at most catch_up: a former primary that had been replaced before
 * seems to step down too. Otherwise waits until every proof of it has expired,
 * also if its address refuses connections: that may be so for this VM alone, or
 * for a moment.
 */
static void wait_for_guard(struct failover_fsm *s,
			   const struct failover_fsm_env *env,
			   struct failover_fsm_actions *out)
{
	usec_t waited = env->now - s->phase_at;
	uint32_t i;

	if (primary_exists(s, env)) {
		give_up(s, env, out);
		return;
	}
	if (pause_was_lost(s, env) || !fence_is_done(s, env)) {
		begin_fence(s, env);
		return;
	}
	if (s->stepped_down) {
		if ((failover_caught_up(s, env) && all_reported(s, env)) ||
		    waited >= s->policy.catch_up_max) {
			s->result_pending = false;
			enter_phase(s, env->now, FAILOVER_VERIFY);
			failover_fsm_tick(s, env, out);
			return;
		}
	} else if (waited >= s->policy.guard + s->policy.margin) {
		s->result_pending = false;
		enter_phase(s, env->now, FAILOVER_VERIFY);
		failover_fsm_tick(s, env, out);
		return;
	}
	if (!retry_is_due(s, env->now))
		return;
	for (i = 0; i < env->n; i++) {
		if (failover_may_succeed(env, i) || i == s->old_primary)
			emit(out, FAILOVER_ACT_PROBE, i, 0);
	}
}

/* Returns true if a paused replica has since been resumed or restarted. */
static bool pause_was_lost(const struct failover_fsm *s,
			   const struct failover_fsm_env *env)
{
	uint32_t i;

	for (i = 0; i < env->n; i++) {
		if ((s->paused_mask & (1U << i)) && env->db[i].has_new_report &&
		    !env->db[i].reports_primary &&
		    env->db[i].held_term < s->term)
			return true;
	}
	return false;
}

/* Returns true if all other databases that respond have reported in this phase.
 */
static bool all_reported(const struct failover_fsm *s,
			 const struct failover_fsm_env *env)
{
	uint32_t i;

	for (i = 0; i < env->n; i++) {
		if (i != s->old_primary && env->db[i].present &&
		    env->db[i].answers && !env->db[i].has_new_report)
			return false;
	}
	return true;
}

/*
 * Polls the promoted database until it reports itself as primary; then adopts
 * it and resumes the other replicas.
 */
static void confirm_primary(struct failover_fsm *s,
			    const struct failover_fsm_env *env,
			    struct failover_fsm_actions *out)
{
	const struct failover_fsm_db *db = &env->db[s->target];
	uint32_t i;

	if (db->has_new_report && db->reports_primary &&
	    db->term > s->base_term) {
		s->old_primary_kept = s->target == s->old_primary;
		emit(out, FAILOVER_ACT_ADOPT, s->target, db->term);
		for (i = 0; i < env->n; i++) {
			if (i != s->target && (s->ever_paused_mask & (1U << i)))
				emit(out, FAILOVER_ACT_RESUME, i, 0);
		}
		s->paused_mask = 0;
		s->cause_since = 0;
		enter_phase(s, env->now, FAILOVER_IDLE);
		/* The replicas that fell behind need time to catch up. */
		s->quiet_until =
			env->now + (s->cause == FAILOVER_CAUSE_EVACUATED &&
						    s->old_primary_kept
					    ? s->policy.turn
					    : s->policy.back_off);
		return;
	}
	if (retry_is_due(s, env->now))
		emit(out, FAILOVER_ACT_PROBE, s->target, 0);
}
