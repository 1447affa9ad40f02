#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/log.h"
#include "kernel/platform.h"
#include "proxy/proxy_internal.h"

/*
 * A primary that has left a request unanswered for this long counts as failed:
 * six times the longest execution of a statement on a primary.
 */
#define UNANSWERED_US (600 * USEC_PER_MSEC)
/*
 * After this many failed connection attempts in a row the primary counts as not
 * listening.
 */
#define CONNECT_FAILURES_MAX 2
/*
 * How long a group may have no primary in the registry before one is promoted.
 */
#define NO_PRIMARY_US (500 * USEC_PER_MSEC)
/* Longest time from a claim to the promotion. */
#define ATTEMPT_MAX_US (3 * USEC_PER_SEC)
/*
 * Replicas that have been paused for this long are resumed, as any promotion
 * has taken effect by then: an attempt lasts up to ATTEMPT_MAX_US, and the
 * platform takes up to a second more to apply the promotion. The rest is
 * margin.
 */
#define PAUSE_MAX_US (ATTEMPT_MAX_US + 2 * USEC_PER_SEC)
/*
 * Two VMs must not promote in turn within 3 s at the users' sites. It is
 * counted from when this VM learned of the promotion, which is later.
 */
#define TURN_US (3 * USEC_PER_SEC)
/*
 * Steps of the delay of a rank in 1.5 s: a failover with its guard takes less.
 */
#define UNHEARD_RANKS 6
/* Interval between attempts to resume replicas. */
#define RESUME_RETRY_US (300 * USEC_PER_MSEC)
/*
 * A database counts as responsive while its oldest unanswered request is
 * younger than this.
 */
#define RESPONSIVE_US (1500 * USEC_PER_MSEC)

/* One request to pause, step down or resume that was sent to a database. */
struct fence_call {
	struct db_group *group;
	uint64_t term;
	bool step_down;
};

/*
 * A replica to be resumed if this VM's claim is still the newest, so that no
 * other VM relies on the pause.
 */
struct resume_call {
	struct db_group *group;
	uint32_t db;
	uint64_t token;
};

static const struct failover_fsm_policy policy = {
	.margin = 100 * USEC_PER_MSEC,
	.stagger = 250 * USEC_PER_MSEC,
	.phase_max = 2500 * USEC_PER_MSEC,
	.attempt_max = ATTEMPT_MAX_US,
	.retry_interval = 60 * USEC_PER_MSEC,
	.back_off = 700 * USEC_PER_MSEC,
	.turn = TURN_US,
	.catch_up_max = 400 * USEC_PER_MSEC,
	.ask_interval = 200 * USEC_PER_MSEC,
};

static void collect_state(struct db_group *g, usec_t now,
			  struct failover_fsm_env *env);
static uint32_t own_rank(struct db_group *g);
static void run_action(struct db_group *g, const struct failover_fsm_action *a);
static void resume_paused(struct db_group *g,
			  const struct failover_fsm_env *env);
static void send_fence(struct db_group *g, uint32_t db, enum control_verb verb,
		       uint64_t term);
static void on_fence_reply(void *ctx, struct db_member *db, bool ok,
			   const struct db_status_report *report,
			   usec_t requested_at);
static void resume_if_newest(struct db_group *g,
			     const struct failover_fsm_action *a);
static void on_resume_verified(void *ctx,
			       const struct registry_claim_outcome *o);
static void on_claimed(void *ctx, const struct registry_claim_outcome *o);
static void on_verified(void *ctx, const struct registry_claim_outcome *o);
static void on_closed(void *ctx, const struct registry_claim_outcome *o);
static void on_promoted(void *ctx, enum registry_promote_result a);

/* Initializes the failover of a group. */
void failover_init(struct db_group *g)
{
	struct failover_fsm_policy group_policy = policy;

	group_policy.guard = g->proxy->policy.guard;
	failover_fsm_init(&g->succession, &group_policy);
}

/* Advances the failover of a group and carries out the resulting actions. */
void failover_tick(struct db_group *g, usec_t now)
{
	struct failover_fsm *s = &g->succession;
	enum failover_fsm_phase old_phase = s->phase;
	usec_t old_phase_at = s->phase_at;
	struct failover_fsm_actions out;
	struct failover_fsm_env env;
	uint32_t i;

	collect_state(g, now, &env);
	failover_handover_tick(g, &env);
	failover_replicas_tick(g, &env);
	failover_note_hold(g, &env);
	failover_fsm_tick(s, &env, &out);
	if (old_phase == FAILOVER_CLAIM && s->phase == FAILOVER_FENCE &&
	    s->cause == FAILOVER_CAUSE_EVACUATED)
		failover_handover_begun(g);
	if (s->phase != old_phase)
		log_event(EV_SUCCESSION,
			  "service=%s phase=%s cause=%s token=%llu term=%llu "
			  "base=%llu stepped_down=%d before=%s lasted_us=%lld "
			  "hear=%u miss=%u rank=%u",
			  g->service, failover_fsm_phase_name(s->phase),
			  failover_fsm_cause_name(s->cause),
			  (unsigned long long)s->token,
			  (unsigned long long)s->term,
			  (unsigned long long)s->base_term, s->stepped_down,
			  failover_fsm_phase_name(old_phase),
			  (long long)(now - old_phase_at), env.peers_hearing,
			  env.peers_missing, env.rank);
	for (i = 0; i < out.n; i++)
		run_action(g, &out.a[i]);
	if (s->phase == FAILOVER_IDLE)
		resume_paused(g, &env);
}

/*
 * Resumes replicas that are still paused for this VM's promotion, which is
 * over, or for one whose VM has given up or failed. A pause for a later term
 * than that of this VM's promotion is the fence of another one.
 */
static void resume_paused(struct db_group *g,
			  const struct failover_fsm_env *env)
{
	uint32_t i;

	if (g->primary == DB_NONE || env->peer_is_acting ||
	    env->now - g->resumed_at < RESUME_RETRY_US ||
	    (!g->promoted_here && env->rank != 0))
		return;
	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		const struct db_member *d = &g->db[i];

		bool is_own =
			g->promoted_here && d->paused_for <= g->succession.term;

		if (!d->present || i == g->primary || !d->paused_since ||
		    (!is_own && (env->rank != 0 ||
				 env->now - d->paused_since < PAUSE_MAX_US)))
			continue;
		g->resumed_at = env->now;
		send_fence(g, i, CONTROL_RESUME, 0);
	}
}

/*
 * Returns why the group needs another primary as this VM sees it, or
 * FAILOVER_CAUSE_NONE.
 */
enum failover_fsm_cause failover_cause(struct db_group *g, usec_t now)
{
	const struct db_member *p;

	if (g->primary == DB_NONE) {
		if (g->no_primary_since == 0)
			g->no_primary_since = now;
		return now - g->no_primary_since > NO_PRIMARY_US &&
				       registry_listed_at(g->proxy->registry) >
					       0
			       ? FAILOVER_CAUSE_NO_PRIMARY
			       : FAILOVER_CAUSE_NONE;
	}
	g->no_primary_since = 0;
	p = &g->db[g->primary];
	if (p->departing || !p->present)
		return FAILOVER_CAUSE_DEPARTING;
	if (p->connect_failed_at && p->failures >= CONNECT_FAILURES_MAX)
		return FAILOVER_CAUSE_REFUSED;
	if (p->unanswered_since && now - p->unanswered_since > UNANSWERED_US)
		return FAILOVER_CAUSE_SILENT;
	if (p->evacuated_since)
		return FAILOVER_CAUSE_EVACUATED;
	return FAILOVER_CAUSE_NONE;
}

/* Collects what this VM and its peers know of the group. */
static void collect_state(struct db_group *g, usec_t now,
			  struct failover_fsm_env *env)
{
	struct heartbeat_peer_reports o =
		heartbeat_peer_reports(g->proxy->heartbeat, g->service);
	usec_t evacuated_since =
		g->primary == DB_NONE ? 0 : g->db[g->primary].evacuated_since;
	uint32_t i;

	memset(env, 0, sizeof(*env));
	env->now = now;
	env->n = DB_GROUP_MEMBERS_MAX;
	env->primary = g->primary;
	env->term = g->proof.term;
	env->cause = failover_cause(g, now);
	env->peers_hearing = o.n_reachable;
	env->peers_missing = o.n_unreachable;
	env->peer_is_acting = o.in_failover;
	env->promoted_here = g->promoted_here;
	env->term_known_at = g->term_known_at;
	env->rank = own_rank(g);
	env->platform_up = platform_is_up(g->proxy->kernel);
	env->hears_most_vms = heartbeat_sees_majority(g->proxy->heartbeat, now);
	env->knows_all_dbs = registry_is_settled(g->proxy->registry, now) &&
			     unlisted_db_is_known(g->dropped_at, now);
	env->listed_at = registry_listed_at(g->proxy->registry);
	env->is_synchronous = g->sync_replicas > 0;
	env->replica_is_away =
		replica_loss_may_hide(&g->replica_loss, g->sync_replicas);
	for (i = 0; i < DB_GROUP_MEMBERS_MAX; i++) {
		const struct db_member *d = &g->db[i];

		env->db[i] = (struct failover_fsm_db){
			.present = d->present,
			.departing = d->departing,
			.answers = d->present && d->last_seen_at &&
				   (d->unanswered_since == 0 ||
				    now - d->unanswered_since < RESPONSIVE_US),
			.has_new_report =
				d->status_requested_at > g->succession.phase_at,
			.has_evacuation_report =
				evacuated_since &&
				d->status_requested_at > evacuated_since,
			.evacuated = d->evacuated_since != 0,
			.led_term = d->primary_term &&
				    d->primary_term == g->proof.term,
			.reports_primary = d->status.is_primary,
			.term = d->status.term,
			.held_term = d->status.paused_term,
			.received = d->status.received,
		};
	}
}

/*
 * Returns this VM's rank for the group; it changes with the live VMs and with
 * those that the store answers. VMs that would not hear of a failover in
 * progress come later by what one takes.
 */
static uint32_t own_rank(struct db_group *g)
{
	const struct heartbeat *b = g->proxy->heartbeat;

	if (g->rank_version != heartbeat_rank_version(b) + 1) {
		g->rank = heartbeat_rank(b, g->service);
		if (g->rank >= FAILOVER_FIRST_RANKS &&
		    !heartbeat_is_full_mesh(b))
			g->rank += UNHEARD_RANKS;
		g->rank_version = heartbeat_rank_version(b) + 1;
	}
	return g->rank;
}

/* Carries out one action of the failover. */
static void run_action(struct db_group *g, const struct failover_fsm_action *a)
{
	struct proxy *p = g->proxy;

	switch (a->act) {
	case FAILOVER_ACT_CLAIM:
		registry_claim_promotion(p, g, on_claimed, g);
		/*
		 * Tells the peers at once, so that they don't start a failover
		 * too.
		 */
		heartbeat_send_now(p->heartbeat);
		break;
	case FAILOVER_ACT_VERIFY:
		g->claim_verified_at = proxy_now();
		registry_mark_promoting(p, g, on_verified, g);
		registry_list_now(p->registry, proxy_now());
		break;
	case FAILOVER_ACT_PAUSE:
		send_fence(g, a->db, CONTROL_PAUSE, a->term);
		break;
	case FAILOVER_ACT_STEP_DOWN:
		send_fence(g, a->db, CONTROL_STEP_DOWN, a->term);
		break;
	case FAILOVER_ACT_PROBE:
		g->db[a->db].probed_at = 0;
		db_member_probe(&g->db[a->db], proxy_now());
		break;
	case FAILOVER_ACT_PROMOTE:
		log_event(EV_PROMOTE_CLAIM,
			  "service=%s database=%s token=%llu at=%llu.%llu",
			  g->service, g->db[a->db].id,
			  (unsigned long long)g->succession.token,
			  (unsigned long long)g->db[a->db].status.received.term,
			  (unsigned long long)g->db[a->db]
				  .status.received.position);
		registry_promote(p, g, g->db[a->db].id, g->succession.token,
				 on_promoted, g);
		break;
	case FAILOVER_ACT_RESUME_IF_NEWEST:
		resume_if_newest(g, a);
		break;
	case FAILOVER_ACT_RESUME:
		send_fence(g, a->db, CONTROL_RESUME, 0);
		break;
	case FAILOVER_ACT_ADOPT:
		log_event(EV_PROMOTE_DONE, "service=%s database=%s term=%llu",
			  g->service, g->db[a->db].id,
			  (unsigned long long)a->term);
		counter_add(CTR_PROMOTIONS, 1);
		if (g->succession.cause == FAILOVER_CAUSE_EVACUATED)
			failover_handover_done(g, a->db);
		db_group_set_primary(g, a->db, a->term, "promoted");
		/*
		 * When this VM sent the request to mark its claim, no later
		 * claim existed. So no other promotion can take effect until
		 * the guard has passed since then: this is a proof dated
		 * claim_verified_at.
		 */
		primary_proof_add(&g->proof, g->claim_verified_at, a->term,
				  PRIMARY_PROOF_PROMOTION);
		g->promoted_here = true;
		registry_close_claim(p, g, on_closed, g);
		dispatch_waiting(g);
		break;
	}
}

/*
 * Reads the newest claim and resumes the replica if the claim is still this
 * VM's.
 */
static void resume_if_newest(struct db_group *g,
			     const struct failover_fsm_action *a)
{
	struct resume_call *c = calloc(1, sizeof(*c));

	if (!c)
		return;
	c->group = g;
	c->db = a->db;
	c->token = a->term;
	registry_read_claim(g->proxy, g, on_resume_verified, c);
}

/* Resumes the replica if no later claim was made, and frees the request. */
static void on_resume_verified(void *ctx,
			       const struct registry_claim_outcome *o)
{
	struct resume_call *c = ctx;

	if (o->ok && o->token && o->token == c->token)
		send_fence(c->group, c->db, CONTROL_RESUME, 0);
	free(c);
}

/* Sends one database the request to pause, step down or resume. */
static void send_fence(struct db_group *g, uint32_t db, enum control_verb verb,
		       uint64_t term)
{
	struct fence_call *c = calloc(1, sizeof(*c));

	if (!c)
		return;
	c->group = g;
	c->term = term;
	c->step_down = verb == CONTROL_STEP_DOWN;
	if (!db_member_send_control(&g->db[db], verb, term, on_fence_reply, c))
		free(c);
}

/*
 * Handles a database's response to a request of send_fence(), and frees the
 * request. "ok" is false if there was no response.
 */
static void on_fence_reply(void *ctx, struct db_member *db, bool ok,
			   const struct db_status_report *report,
			   usec_t requested_at)
{
	struct fence_call *c = ctx;
	struct db_group *g = c->group;

	(void)requested_at;
	if (ok && c->term &&
	    (c->step_down ? !report->is_primary
			  : report->paused_term >= c->term)) {
		log_event(EV_PROMOTE_FENCE,
			  "service=%s database=%s term=%llu step_down=%d "
			  "received=%llu.%llu held=%llu",
			  g->service, db->id, (unsigned long long)c->term,
			  c->step_down,
			  (unsigned long long)report->received.term,
			  (unsigned long long)report->received.position,
			  (unsigned long long)report->paused_term);
		failover_fsm_fenced(&g->succession, proxy_now(),
				    (uint32_t)(db - g->db), c->term,
				    c->step_down, report->received);
	}
	free(c);
}

/* Passes the result of the claim to the failover. */
static void on_claimed(void *ctx, const struct registry_claim_outcome *o)
{
	struct db_group *g = ctx;

	failover_fsm_claimed(&g->succession, proxy_now(), o->ok, o->token,
			     o->is_term_certain);
	failover_tick(g, proxy_now());
}

/*
 * Tells the failover whether this VM's claim was marked as promoting. That
 * fails if another VM has made a later claim.
 */
static void on_verified(void *ctx, const struct registry_claim_outcome *o)
{
	struct db_group *g = ctx;

	failover_fsm_verified(&g->succession, proxy_now(), o->ok, o->token);
	failover_tick(g, proxy_now());
}

/* Notes that the claim was closed, or what it tells instead. */
static void on_closed(void *ctx, const struct registry_claim_outcome *o)
{
	db_group_on_claim(ctx, o);
}

/* Passes the result of the promotion to the failover. */
static void on_promoted(void *ctx, enum registry_promote_result a)
{
	static const enum failover_fsm_answer answers[] = {
		[REGISTRY_PROMOTE_OK] = FAILOVER_ANSWER_DONE,
		[REGISTRY_PROMOTE_REFUSED] = FAILOVER_ANSWER_REFUSED,
		[REGISTRY_PROMOTE_UNKNOWN] = FAILOVER_ANSWER_LOST,
	};
	struct db_group *g = ctx;

	failover_fsm_promoted(&g->succession, proxy_now(), answers[a]);
	failover_tick(g, proxy_now());
}
