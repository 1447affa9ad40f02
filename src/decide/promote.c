#include "decide/promote.h"

#include <string.h>

#include "decide/elect.h"
#include "decide/failure_detector.h"
#include "decide/maintenance.h"

#define BACKOFF_DOUBLINGS 5

static void emit_until(struct promote_actions *out, enum promote_act act,
		       usec_t until);
static void cancel_attempt(struct promote *p, const struct promote_env *env,
			   struct promote_actions *out);
static void discard_evidence(struct promote *p, const struct promote_env *env);
static void give_up(struct promote *p, const struct promote_env *env,
		    struct promote_actions *out);
static void release_writes(struct promote *p, const struct promote_env *env,
			   struct promote_actions *out);
static void learn_highest_term(struct promote *p,
			       const struct promote_env *env);
static bool adopt_unannounced(struct promote *p, const struct promote_env *env,
			      struct promote_actions *out);
static void tick_idle(struct promote *p, const struct promote_env *env,
		      struct promote_actions *out);
static void tick_suspect(struct promote *p, const struct promote_env *env,
			 struct promote_actions *out);
static void tick_handover(struct promote *p, const struct promote_env *env,
			  struct promote_actions *out);
static void tick_calls(struct promote *p, const struct promote_env *env,
		       struct promote_actions *out);
static enum promote_cause current_cause(struct promote *p,
					const struct promote_env *env);
static bool confirmed_by_others(const struct promote *p,
				const struct promote_env *env);
static void start_handover(struct promote *p, const struct promote_env *env,
			   struct promote_actions *out);
static void complete(struct promote *p, const struct promote_env *env,
		     struct promote_actions *out);

/* Initializes the state of a group about which nothing is known yet. */
void promote_init(struct promote *p, const struct promote_policy *policy,
		  usec_t now)
{
	memset(p, 0, sizeof(*p));
	p->policy = *policy;
	p->ticked_at = now;
	p->phase_at = now;
	p->evidence_since = now;
	p->target = DB_NONE;
}

/*
 * Advances the promotion with time. After a gap longer than pause_us between
 * two ticks, such as a suspended VM, no earlier evidence is trusted: the
 * attempt ends, its term is not reused, and the failure detector starts over.
 */
void promote_tick(struct promote *p, const struct promote_env *env,
		  struct promote_actions *out)
{
	bool was_suspended = env->now - p->ticked_at > p->policy.pause_us;

	p->ticked_at = env->now;
	learn_highest_term(p, env);
	if (was_suspended) {
		cancel_attempt(p, env, out);
		discard_evidence(p, env);
	}
	if (adopt_unannounced(p, env, out))
		return;
	switch (p->phase) {
	case PROMOTE_IDLE:
		tick_idle(p, env, out);
		break;
	case PROMOTE_SUSPECT:
		tick_suspect(p, env, out);
		break;
	case PROMOTE_HANDOVER:
		tick_handover(p, env, out);
		break;
	case PROMOTE_CLAIMING:
	case PROMOTE_FENCING:
	case PROMOTE_PROMOTING:
		tick_calls(p, env, out);
		break;
	}
}

/*
 * Takes the result of a claim. This VM owns the term only if the claim is known
 * to have taken effect; if that is unknown, the term is skipped.
 */
void promote_claimed(struct promote *p, const struct promote_env *env,
		     uint64_t term, enum call_result r, uint64_t claimed,
		     struct promote_actions *out)
{
	if (claimed > p->highest_claim)
		p->highest_claim = claimed;
	if (r == CALL_LOST && term > p->highest_claim)
		p->highest_claim = term;
	if (term != p->claiming_term)
		return;
	p->claiming_term = 0;
	if (r == CALL_OK) {
		p->reserved_term = term;
		if (term > p->highest_claim)
			p->highest_claim = term;
	}
	if (p->phase != PROMOTE_CLAIMING)
		return;
	if (r == CALL_OK || r == CALL_REFUSED || r == CALL_LOST)
		elect_begin(p, env, out);
}

/*
 * Takes the result of a fence call to one database. Only the log position that
 * was reported with the fence is used in the election. A refusal means that
 * the database is fenced to a higher term, so the attempt ends.
 */
void promote_fenced(struct promote *p, const struct promote_env *env,
		    uint32_t db, uint64_t term, enum call_result r,
		    const struct db_view *status, struct promote_actions *out)
{
	if (p->phase != PROMOTE_FENCING || term != p->term || db >= DB_MAX)
		return;
	if (r == CALL_REFUSED) {
		if (status && status->fence_term > p->highest_term)
			p->highest_term = status->fence_term;
		give_up(p, env, out);
		return;
	}
	if (r != CALL_OK || !status || status->fence_term != term)
		return;
	p->fenced_mask |= 1U << db;
	p->fenced_end[db] = status->end;
	elect_choose(p, env, out);
}

/* Takes the result of the promotion of the chosen database. */
void promote_promoted(struct promote *p, const struct promote_env *env,
		      uint32_t db, uint64_t term, enum call_result r,
		      struct promote_actions *out)
{
	if (p->phase != PROMOTE_PROMOTING || term != p->term || db != p->target)
		return;
	if (r == CALL_OK)
		complete(p, env, out);
	else if (r == CALL_REFUSED)
		give_up(p, env, out);
}

/* Takes the result of a publication; on failure it is retried later. */
void promote_published(struct promote *p, const struct promote_env *env,
		       uint64_t term, enum call_result r)
{
	if (r == CALL_OK && term > p->published)
		p->published = term;
	else
		p->publish_at = env->now + p->policy.backoff_us;
}

/* Counts a peer's opinion, unless this VM no longer suspects the primary. */
void promote_opinion(struct promote *p, const struct promote_env *env,
		     uint64_t term, enum opinion o)
{
	if (p->phase != PROMOTE_SUSPECT || term != env->view->term)
		return;
	if (o == OPINION_ALIVE)
		p->alive_opinions++;
	else if (o == OPINION_SILENT)
		p->silent_opinions++;
}

/* Takes in a view from the platform or a peer; a later term is adopted. */
void promote_heard(struct promote *p, const struct promote_env *env,
		   uint64_t term, uint32_t primary, bool published,
		   uint64_t claimed, struct promote_actions *out)
{
	if (claimed > p->highest_claim)
		p->highest_claim = claimed;
	if (published && term > p->published)
		p->published = term;
	if (term <= env->view->term)
		return;
	if (term > p->term)
		cancel_attempt(p, env, out);
	discard_evidence(p, env);
	promote_emit(out, ACT_ADOPT, primary, primary, term);
}

/* Returns this VM's opinion for a peer that suspects the primary. */
enum opinion promote_give_opinion(const struct promote *p,
				  const struct group_view *v, uint64_t term,
				  usec_t unanswered_at, usec_t now)
{
	const struct db_view *d;
	usec_t since = unanswered_at;

	if (term != v->term || v->primary >= v->n)
		return OPINION_NONE;
	if (since && since < p->evidence_since)
		since = p->evidence_since;
	if (since && now - since >= p->policy.suspect_us / 2)
		return OPINION_SILENT;
	d = &v->db[v->primary];
	if (!d->known || now - d->responded_at > p->policy.suspect_us / 2)
		return OPINION_NONE;
	if (d->role != ROLE_PRIMARY || d->fence_term != term)
		return OPINION_SILENT;
	return OPINION_ALIVE;
}

/* Returns the name of a phase for logs and the status page. */
const char *promote_phase_name(enum promote_phase phase)
{
	static const char *const names[] = {
		[PROMOTE_IDLE] = "idle",
		[PROMOTE_SUSPECT] = "suspect",
		[PROMOTE_HANDOVER] = "handover",
		[PROMOTE_CLAIMING] = "claiming",
		[PROMOTE_FENCING] = "fencing",
		[PROMOTE_PROMOTING] = "promoting",
	};

	if ((unsigned int)phase >= sizeof(names) / sizeof(names[0]))
		return "idle";
	return names[phase];
}

/* Returns the name of a cause for logs and the status page. */
const char *promote_cause_name(enum promote_cause cause)
{
	static const char *const names[] = {
		[CAUSE_NONE] = "none",
		[CAUSE_SILENT] = "silent",
		[CAUSE_FENCED] = "fenced",
		[CAUSE_UNFOLLOWED] = "unfollowed",
		[CAUSE_DEPARTING] = "departing",
	};

	if ((unsigned int)cause >= sizeof(names) / sizeof(names[0]))
		return "none";
	return names[cause];
}

/* Appends an action. The table has room for all actions of one event. */
void promote_emit(struct promote_actions *out, enum promote_act act,
		  uint32_t db, uint32_t primary, uint64_t term)
{
	if (out->n == PROMOTE_ACTIONS_MAX)
		return;
	out->a[out->n++] = (struct promote_action){
		.act = act,
		.db = db,
		.primary = primary,
		.term = term,
	};
}

/* Enters a phase. Its first calls count as made now. */
void promote_enter(struct promote *p, const struct promote_env *env,
		   enum promote_phase phase)
{
	p->phase = phase;
	p->phase_at = env->now;
	p->asked_at = env->now;
}

/* Appends an action with a time limit. */
static void emit_until(struct promote_actions *out, enum promote_act act,
		       usec_t until)
{
	promote_emit(out, act, DB_NONE, DB_NONE, 0);
	out->a[out->n - 1].until = until;
}

/* Cancels the attempt, including its fence reports, and releases writes. */
static void cancel_attempt(struct promote *p, const struct promote_env *env,
			   struct promote_actions *out)
{
	release_writes(p, env, out);
	promote_enter(p, env, PROMOTE_IDLE);
	p->cause = CAUSE_NONE;
	p->term = 0;
	p->target = DB_NONE;
	p->fenced_mask = 0;
}

/* Discards all evidence against the primary that was gathered so far. */
static void discard_evidence(struct promote *p, const struct promote_env *env)
{
	p->evidence_since = env->now;
	p->last_cause = CAUSE_NONE;
	p->cause_since = env->now;
}

/*
 * Cancels the attempt and backs off with jitter, so that competing VMs do not
 * keep fencing each other's attempts.
 */
static void give_up(struct promote *p, const struct promote_env *env,
		    struct promote_actions *out)
{
	usec_t wait = p->policy.backoff_us;
	uint32_t n = p->failures++;

	wait <<= n < BACKOFF_DOUBLINGS ? n : BACKOFF_DOUBLINGS;
	cancel_attempt(p, env, out);
	p->quiet_until = env->now + wait / 2 +
			 (usec_t)(env->random % (uint64_t)(wait / 2 + 1));
}

/* Releases writes here and at the peers if a hand-over holds them. */
static void release_writes(struct promote *p, const struct promote_env *env,
			   struct promote_actions *out)
{
	if (!p->holds_writes)
		return;
	p->holds_writes = false;
	if (p->handover.state != HANDOVER_IDLE)
		handover_abandon(&p->handover, &p->policy.handover, env->now);
	promote_emit(out, ACT_RELEASE_WRITES, DB_NONE, DB_NONE, 0);
	promote_emit(out, ACT_TELL_RELEASE, DB_NONE, DB_NONE, 0);
}

/* Updates the highest term from the view and the databases' fence terms. */
static void learn_highest_term(struct promote *p, const struct promote_env *env)
{
	uint32_t i;

	if (env->view->term > p->highest_term)
		p->highest_term = env->view->term;
	for (i = 0; i < env->view->n; i++) {
		if (env->view->db[i].known &&
		    env->view->db[i].fence_term > p->highest_term)
			p->highest_term = env->view->db[i].fence_term;
	}
}

/*
 * Adopts a new primary seen in the databases' reports, whose promoting VM may
 * have failed before it announced it. Returns true if there is one.
 */
static bool adopt_unannounced(struct promote *p, const struct promote_env *env,
			      struct promote_actions *out)
{
	uint32_t db = detector_new_primary(env->view);
	uint64_t term;

	if (db == DB_NONE)
		return false;
	term = env->view->db[db].fence_term;
	if (term <= p->term)
		return false;
	cancel_attempt(p, env, out);
	discard_evidence(p, env);
	promote_emit(out, ACT_ADOPT, db, db, term);
	promote_emit(out, ACT_TELL_PEERS, db, db, term);
	return true;
}

/*
 * Idle: does maintenance, and starts a hand-over or suspects the primary once a
 * cause has lasted long enough.
 */
static void tick_idle(struct promote *p, const struct promote_env *env,
		      struct promote_actions *out)
{
	enum promote_cause cause = current_cause(p, env);

	maintenance_tick(p, env, cause, out);
	if (cause == CAUSE_NONE || env->now < p->quiet_until)
		return;
	if (env->now - p->cause_since < detector_delay(&p->policy, cause))
		return;
	if (cause == CAUSE_DEPARTING) {
		start_handover(p, env, out);
		return;
	}
	p->cause = cause;
	p->alive_opinions = 0;
	p->silent_opinions = 0;
	promote_enter(p, env, PROMOTE_SUSPECT);
	if (cause == CAUSE_SILENT)
		promote_emit(out, ACT_ASK_OPINION, env->view->primary,
			     env->view->primary, env->view->term);
	tick_suspect(p, env, out);
}

/*
 * Suspecting: waits for the delay of this VM's rank and for confirmation by
 * others. Asks again at intervals, because requests for opinions can be lost.
 */
static void tick_suspect(struct promote *p, const struct promote_env *env,
			 struct promote_actions *out)
{
	usec_t waited = env->now - p->phase_at;

	if (current_cause(p, env) != p->cause) {
		promote_enter(p, env, PROMOTE_IDLE);
		return;
	}
	if (p->alive_opinions) {
		promote_enter(p, env, PROMOTE_IDLE);
		p->quiet_until = env->now + p->policy.suspect_us / 2;
		return;
	}
	if (waited < (usec_t)env->rank * p->policy.stagger_us)
		return;
	if (!confirmed_by_others(p, env)) {
		if (env->now - p->asked_at < p->policy.retry_us)
			return;
		p->asked_at = env->now;
		promote_emit(out, ACT_ASK_OPINION, env->view->primary,
			     env->view->primary, env->view->term);
		return;
	}
	promote_enter(p, env, PROMOTE_CLAIMING);
	elect_begin(p, env, out);
}

/* Hand-over: starts the election once the target has caught up. */
static void tick_handover(struct promote *p, const struct promote_env *env,
			  struct promote_actions *out)
{
	enum handover_state s;

	s = handover_step(&p->handover, &p->policy.handover, env->view,
			  env->running_writes, env->now);
	if (s == HANDOVER_IDLE) {
		cancel_attempt(p, env, out);
		return;
	}
	if (s != HANDOVER_READY)
		return;
	promote_enter(p, env, PROMOTE_CLAIMING);
	elect_begin(p, env, out);
}

/* Claiming, fencing, promoting: retries calls and enforces the timeout. */
static void tick_calls(struct promote *p, const struct promote_env *env,
		       struct promote_actions *out)
{
	if (env->now - p->phase_at >= p->policy.phase_us) {
		give_up(p, env, out);
		return;
	}
	if (p->phase == PROMOTE_FENCING) {
		elect_choose(p, env, out);
		if (p->phase != PROMOTE_FENCING)
			return;
	}
	if (env->now - p->asked_at < p->policy.retry_us)
		return;
	p->asked_at = env->now;
	if (p->phase == PROMOTE_CLAIMING)
		elect_begin(p, env, out);
	else if (p->phase == PROMOTE_FENCING)
		elect_fence(p, env, out);
	else
		promote_emit(out, ACT_PROMOTE, p->target, p->target, p->term);
}

/* Returns the current cause and records in cause_since when it began. */
static enum promote_cause current_cause(struct promote *p,
					const struct promote_env *env)
{
	enum promote_cause cause;

	cause = detector_cause(&p->policy, env->view, env->unanswered_at,
			       p->evidence_since, env->now);
	if (cause != p->last_cause) {
		p->last_cause = cause;
		p->cause_since = env->now;
	}
	return cause;
}

/*
 * Returns true if the suspicion is confirmed by others. A primary that is
 * silent only to this VM is not replaced, because this VM may be partitioned
 * itself: another VM or a majority of the databases must get no response
 * either. No confirmation is needed if no other domain has a live VM.
 */
static bool confirmed_by_others(const struct promote *p,
				const struct promote_env *env)
{
	if (p->cause != CAUSE_SILENT)
		return true;
	if (env->now - p->phase_at < p->policy.opinion_us)
		return false;
	if (p->silent_opinions)
		return true;
	if (!env->other_domains)
		return true;
	return detector_replicas_agree(&p->policy, env->view, env->now);
}

/* Starts a hand-over, once a term is reserved and a replica can take over. */
static void start_handover(struct promote *p, const struct promote_env *env,
			   struct promote_actions *out)
{
	usec_t until = env->now + p->policy.handover.hold_max_us;
	uint32_t target;

	if (env->now - p->cause_since <
	    (usec_t)env->rank * p->policy.stagger_us)
		return;
	if (!handover_due(&p->handover, env->view, env->now))
		return;
	target = handover_target(env->view, p->policy.replica_fresh_us,
				 p->policy.clock_rate_ppm, env->now);
	if (target == DB_NONE)
		return;
	if (!elect_has_reserved_term(p, env)) {
		maintenance_claim(p, env, out);
		return;
	}
	p->cause = CAUSE_DEPARTING;
	p->holds_writes = true;
	handover_begin(&p->handover, target, env->now);
	promote_enter(p, env, PROMOTE_HANDOVER);
	emit_until(out, ACT_HOLD_WRITES, until);
	emit_until(out, ACT_TELL_HOLD, until);
}

/* Completes the promotion: adopts the new primary and announces it. */
static void complete(struct promote *p, const struct promote_env *env,
		     struct promote_actions *out)
{
	uint64_t term = p->term;
	uint32_t db = p->target;
	uint32_t i;

	if (p->cause == CAUSE_DEPARTING && env->view->db[db].state == DB_LIVE)
		handover_end(&p->handover);
	p->failures = 0;
	promote_emit(out, ACT_ADOPT, db, db, term);
	promote_emit(out, ACT_TELL_PEERS, db, db, term);
	for (i = 0; i < env->view->n; i++) {
		if (i != db)
			promote_emit(out, ACT_FOLLOW, i, db, term);
	}
	promote_emit(out, ACT_PUBLISH, db, db, term);
	cancel_attempt(p, env, out);
	discard_evidence(p, env);
	p->publish_at = env->now + p->policy.phase_us;
}
