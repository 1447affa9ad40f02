#include "decide/succession.h"

#include <string.h>

#define PROMOTE_TRIES 5
/* A departing primary is asked so often before it is taken for silent. */
#define ORDERLY_ASKS 3

static void emit(struct succession_actions *out, enum succession_act act,
		 uint32_t db, uint64_t term);
static void enter(struct succession *s, usec_t now,
		  enum succession_phase phase);
static bool due(struct succession *s, const struct succession_env *env);
static bool ask_again(struct succession *s, usec_t now);
static void give_up(struct succession *s, const struct succession_env *env,
		    struct succession_actions *out);
static void begin_fence(struct succession *s, const struct succession_env *env);
static void fence(struct succession *s, const struct succession_env *env,
		  struct succession_actions *out);
static bool somebody_leads(const struct succession *s,
			   const struct succession_env *env);
static bool fence_done(const struct succession *s,
		       const struct succession_env *env);
static void wait_guard(struct succession *s, const struct succession_env *env,
		       struct succession_actions *out);
static bool pause_lost(const struct succession *s,
		       const struct succession_env *env);
static bool caught_up(const struct succession *s,
		      const struct succession_env *env);
static uint32_t choose(const struct succession *s,
		       const struct succession_env *env);
static void confirm(struct succession *s, const struct succession_env *env,
		    struct succession_actions *out);
static bool can_follow(const struct succession_env *env, uint32_t i);

/* Starts idle. */
void succession_init(struct succession *s,
		     const struct succession_policy *policy)
{
	memset(s, 0, sizeof(*s));
	s->policy = *policy;
	s->old = DB_NONE;
	s->target = DB_NONE;
}

/* Moves on as far as what is known allows. */
void succession_tick(struct succession *s, const struct succession_env *env,
		     struct succession_actions *out)
{
	out->n = 0;
	if (env->cause == SUCCESSION_NONE)
		s->cause_at = 0;
	else if (s->cause_at == 0)
		s->cause_at = env->now;
	if (s->phase != SUCCESSION_IDLE &&
	    env->now - s->phase_at > s->policy.phase_max &&
	    !(s->phase == SUCCESSION_GUARD &&
	      env->now - s->phase_at <=
		      s->policy.guard + s->policy.phase_max)) {
		give_up(s, env, out);
		return;
	}
	switch (s->phase) {
	case SUCCESSION_IDLE:
		if (!due(s, env))
			break;
		s->cause = env->cause;
		s->old = env->primary;
		s->base = env->term;
		s->began_at = env->now;
		s->failed = 0;
		s->attempts = 0;
		s->call_open = true;
		enter(s, env->now, SUCCESSION_CLAIM);
		emit(out, SUCCEED_CLAIM, DB_NONE, 0);
		break;
	case SUCCESSION_CLAIM:
		if (s->call_open || s->token == 0)
			break;
		begin_fence(s, env);
		fence(s, env, out);
		break;
	case SUCCESSION_FENCE:
		fence(s, env, out);
		break;
	case SUCCESSION_GUARD:
		wait_guard(s, env, out);
		break;
	case SUCCESSION_VERIFY:
	case SUCCESSION_PROMOTE:
		if (s->call_open)
			break;
		s->target = choose(s, env);
		/* Replicas may be let go by others after that time. */
		if (s->target == DB_NONE ||
		    env->now - s->began_at > s->policy.all_max) {
			give_up(s, env, out);
			break;
		}
		if (s->phase == SUCCESSION_VERIFY) {
			s->call_open = true;
			s->verify_at = env->now;
			emit(out, SUCCEED_VERIFY, DB_NONE, 0);
			break;
		}
		if (!s->stepped_down && !fence_done(s, env)) {
			begin_fence(s, env);
			break;
		}
		if (!s->stepped_down && env->listed_at < s->verify_at)
			break;
		s->call_open = true;
		emit(out, SUCCEED_PROMOTE, s->target, 0);
		break;
	case SUCCESSION_CONFIRM:
		confirm(s, env, out);
		break;
	}
}

/* The claim's outcome; a failed one is tried again later if still due. */
void succession_claimed(struct succession *s, usec_t now, bool ok,
			uint64_t token)
{
	if (s->phase != SUCCESSION_CLAIM || !s->call_open)
		return;
	s->call_open = false;
	s->token = ok ? token : 0;
	if (ok)
		return;
	enter(s, now, SUCCESSION_IDLE);
	s->quiet_until = now + s->policy.back_off;
}

/* Whether the claim is still the newest; if not, another VM is at it. */
void succession_verified(struct succession *s, usec_t now, bool ok,
			 uint64_t token)
{
	if (s->phase != SUCCESSION_VERIFY || !s->call_open)
		return;
	s->call_open = false;
	if (ok) {
		s->token = token;
		enter(s, now, SUCCESSION_PROMOTE);
		return;
	}
	enter(s, now, SUCCESSION_IDLE);
	s->quiet_until = now + s->policy.back_off;
}

/* One database's part of the fence is done. */
void succession_fenced(struct succession *s, usec_t now, uint32_t db,
		       uint64_t term, bool stepped_down,
		       struct log_pos received)
{
	(void)now;
	if ((s->phase != SUCCESSION_FENCE && s->phase != SUCCESSION_GUARD) ||
	    term != s->term)
		return;
	if (!stepped_down) {
		s->paused |= 1U << db;
	} else if (db == s->old) {
		s->stepped_down = true;
		s->last = received;
	}
}

/* What the platform said to the promotion. */
void succession_promoted(struct succession *s, usec_t now,
			 enum succession_answer a)
{
	if (s->phase != SUCCESSION_PROMOTE || !s->call_open)
		return;
	s->call_open = false;
	s->attempts++;
	if (a == SUCCESSION_DONE) {
		enter(s, now, SUCCESSION_CONFIRM);
		return;
	}
	if (a == SUCCESSION_DENIED)
		s->failed |= 1U << s->target;
	enter(s, now, SUCCESSION_VERIFY);
	if (s->attempts >= PROMOTE_TRIES) {
		enter(s, now, SUCCESSION_IDLE);
		s->quiet_until = now + s->policy.back_off;
	}
}

/* Ends an attempt whose purpose another VM has fulfilled. */
void succession_superseded(struct succession *s, usec_t now)
{
	s->cause_at = 0;
	if (s->phase == SUCCESSION_IDLE || s->phase == SUCCESSION_CONFIRM)
		return;
	enter(s, now, SUCCESSION_IDLE);
	s->call_open = false;
	s->quiet_until = now + s->policy.back_off;
}

const char *succession_phase_name(enum succession_phase phase)
{
	static const char *const names[] = {
		[SUCCESSION_IDLE] = "idle",
		[SUCCESSION_CLAIM] = "claim",
		[SUCCESSION_FENCE] = "fence",
		[SUCCESSION_GUARD] = "guard",
		[SUCCESSION_VERIFY] = "verify",
		[SUCCESSION_PROMOTE] = "promote",
		[SUCCESSION_CONFIRM] = "confirm",
	};

	return names[phase];
}

const char *succession_cause_name(enum succession_cause cause)
{
	static const char *const names[] = {
		[SUCCESSION_NONE] = "none",
		[SUCCESSION_SILENT] = "silent",
		[SUCCESSION_REFUSED] = "refused",
		[SUCCESSION_DEPARTING] = "departing",
		[SUCCESSION_NOBODY] = "nobody",
	};

	return names[cause];
}

static void emit(struct succession_actions *out, enum succession_act act,
		 uint32_t db, uint64_t term)
{
	if (out->n == SUCCESSION_ACTIONS)
		return;
	out->a[out->n++] = (struct succession_action){ .act = act,
						       .db = db,
						       .term = term };
}

static void enter(struct succession *s, usec_t now, enum succession_phase phase)
{
	s->phase = phase;
	s->phase_at = now;
	s->asked_at = 0;
	if (phase == SUCCESSION_IDLE)
		s->token = 0;
}

/*
 * Is it for this VM to act now? A primary that as many peers hear as miss,
 * with this VM, is left alone; a departing one is replaced anyway. A VM that
 * hears few others may be cut off itself. One that may not know all replicas
 * would leave some of them unpaused, and they would go on proving the primary.
 */
static bool due(struct succession *s, const struct succession_env *env)
{
	bool successor = false;
	uint32_t i;

	if (s->cause_at == 0 || env->now < s->quiet_until || !env->settled ||
	    !env->platform_up || !env->in_company || env->peer_at_work)
		return false;
	if (env->cause != SUCCESSION_DEPARTING &&
	    env->cause != SUCCESSION_NOBODY && env->hear >= env->miss + 1)
		return false;
	for (i = 0; i < env->n; i++)
		successor |= can_follow(env, i) && env->db[i].answers;
	return successor &&
	       env->now - s->cause_at >= (usec_t)env->rank * s->policy.stagger;
}

/* May this database take over? */
static bool can_follow(const struct succession_env *env, uint32_t i)
{
	return i != env->primary && env->db[i].present && !env->db[i].departing;
}

/* Is it time for another round of questions? Notes that it is asked. */
static bool ask_again(struct succession *s, usec_t now)
{
	if (s->asked_at != 0 && now - s->asked_at < s->policy.again)
		return false;
	s->asked_at = now;
	return true;
}

/*
 * Lets the replicas follow again and waits before another attempt. A rival
 * with a later claim may rely on their pause, so that is looked at first.
 */
static void give_up(struct succession *s, const struct succession_env *env,
		    struct succession_actions *out)
{
	uint32_t i;

	for (i = 0; i < env->n; i++) {
		if (s->paused & (1U << i))
			emit(out, SUCCEED_RELEASE, i, s->token);
	}
	s->paused = 0;
	s->call_open = false;
	enter(s, env->now, SUCCESSION_IDLE);
	s->quiet_until = env->now + s->policy.back_off;
}

/* The fence's term is above all that any database has told of. */
static void begin_fence(struct succession *s, const struct succession_env *env)
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
	s->paused = 0;
	s->stepped_down = false;
	s->last = (struct log_pos){ 0 };
	enter(s, env->now, SUCCESSION_FENCE);
}

/*
 * Pauses the replicas, or steps a departing primary down: that one answers,
 * and its last commits shall still reach the replicas. One that was taken for
 * silent is only asked how it is, and left alone if it answers.
 */
static void fence(struct succession *s, const struct succession_env *env,
		  struct succession_actions *out)
{
	const bool orderly = s->cause == SUCCESSION_DEPARTING;
	const bool overdue =
		env->now - s->phase_at > ORDERLY_ASKS * s->policy.again;
	uint32_t i;

	if (somebody_leads(s, env)) {
		give_up(s, env, out);
		return;
	}
	if (fence_done(s, env)) {
		enter(s, env->now, SUCCESSION_GUARD);
		wait_guard(s, env, out);
		return;
	}
	if (!ask_again(s, env->now))
		return;
	for (i = 0; i < env->n; i++) {
		if (!env->db[i].present && i != s->old)
			continue;
		if (i == s->old)
			emit(out, orderly ? SUCCEED_STEP_DOWN : SUCCEED_ASK, i,
			     s->term);
		else if (!(s->paused & (1U << i)) && (!orderly || overdue))
			emit(out, SUCCEED_PAUSE, i, s->term);
	}
}

/*
 * Has a database said in this attempt that it leads? A departing primary may;
 * but another one then leads in its place, and replaces it no more.
 */
static bool somebody_leads(const struct succession *s,
			   const struct succession_env *env)
{
	uint32_t i;

	for (i = 0; i < env->n; i++) {
		if (i == s->old && s->cause == SUCCESSION_DEPARTING)
			continue;
		if (env->db[i].present && env->db[i].said &&
		    env->db[i].primary && env->db[i].term >= env->term)
			return true;
	}
	return false;
}

/*
 * The old primary itself, or every database that could still prove it,
 * wherever it came from since the fence began. A
 * departing one that does not answer has to be fenced like a silent one.
 */
static bool fence_done(const struct succession *s,
		       const struct succession_env *env)
{
	uint32_t others = 0;
	uint32_t i;

	if (s->stepped_down)
		return true;
	for (i = 0; i < env->n; i++) {
		if (i == s->old || !env->db[i].present)
			continue;
		if (!(s->paused & (1U << i)))
			return false;
		others++;
	}
	return others > 0;
}

/* Waits until no VM can use the old primary, and a replica has its log. */
static void wait_guard(struct succession *s, const struct succession_env *env,
		       struct succession_actions *out)
{
	usec_t waited = env->now - s->phase_at;
	uint32_t i;

	if (somebody_leads(s, env)) {
		give_up(s, env, out);
		return;
	}
	if (pause_lost(s, env) || !fence_done(s, env)) {
		begin_fence(s, env);
		return;
	}
	if (s->stepped_down) {
		if (caught_up(s, env) || waited >= s->policy.catch_up) {
			s->call_open = false;
			enter(s, env->now, SUCCESSION_VERIFY);
			succession_tick(s, env, out);
			return;
		}
	} else if (s->cause == SUCCESSION_REFUSED ||
		   waited >= s->policy.guard + s->policy.margin) {
		s->call_open = false;
		enter(s, env->now, SUCCESSION_VERIFY);
		succession_tick(s, env, out);
		return;
	}
	if (!ask_again(s, env->now))
		return;
	for (i = 0; i < env->n; i++) {
		if (can_follow(env, i) || i == s->old)
			emit(out, SUCCEED_ASK, i, 0);
	}
}

/* Has a replica been let go since it was paused, or started again? */
static bool pause_lost(const struct succession *s,
		       const struct succession_env *env)
{
	uint32_t i;

	for (i = 0; i < env->n; i++) {
		if ((s->paused & (1U << i)) && env->db[i].said &&
		    !env->db[i].primary && env->db[i].held_term < s->term)
			return true;
	}
	return false;
}

/* Does some replica hold all that the old primary had at its end? */
static bool caught_up(const struct succession *s,
		      const struct succession_env *env)
{
	uint32_t i;

	for (i = 0; i < env->n; i++) {
		if (can_follow(env, i) && i != s->old && env->db[i].said &&
		    log_pos_cmp(env->db[i].received, s->last) >= 0)
			return true;
	}
	return false;
}

/*
 * The furthest one that may take over and has not been refused. If the old
 * primary stepped down and no replica has all of its log, it leads again; but
 * only once, since it departs and has to be without work in time.
 */
static uint32_t choose(const struct succession *s,
		       const struct succession_env *env)
{
	uint32_t best = DB_NONE;
	uint32_t i;

	for (i = 0; i < env->n; i++) {
		if (i == s->old || !env->db[i].present ||
		    env->db[i].departing || (s->failed & (1U << i)) ||
		    !env->db[i].answers)
			continue;
		if (!s->stepped_down && !(s->paused & (1U << i)))
			continue;
		if (best == DB_NONE || log_pos_cmp(env->db[i].received,
						   env->db[best].received) > 0)
			best = i;
	}
	if (s->stepped_down && s->old < env->n && !s->kept &&
	    !(s->failed & (1U << s->old)) &&
	    (best == DB_NONE ||
	     log_pos_cmp(env->db[best].received, s->last) < 0))
		return s->old;
	return best;
}

/* Asks the new primary until it says so itself; then it is made known. */
static void confirm(struct succession *s, const struct succession_env *env,
		    struct succession_actions *out)
{
	const struct succession_db *db = &env->db[s->target];
	uint32_t i;

	if (db->said && db->primary && db->term > s->base) {
		s->kept = s->target == s->old;
		emit(out, SUCCEED_LEAD, s->target, db->term);
		for (i = 0; i < env->n; i++) {
			if (i != s->target && (s->paused & (1U << i)))
				emit(out, SUCCEED_RESUME, i, 0);
		}
		s->paused = 0;
		s->cause_at = 0;
		enter(s, env->now, SUCCESSION_IDLE);
		s->quiet_until = env->now + s->policy.back_off;
		return;
	}
	if (ask_again(s, env->now))
		emit(out, SUCCEED_ASK, s->target, 0);
}
