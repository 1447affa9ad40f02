#ifndef DECIDE_FAILOVER_FSM_H
#define DECIDE_FAILOVER_FSM_H

#include "decide/types.h"

/*
 * State machine of a failover: replaces a group's primary that is dead,
 * partitioned or departing. It needs databases that can be paused and stepped
 * down by term. One VM runs these phases:
 *
 *   claim     obtain a fencing token by a conditional write at the platform
 *   fence     step the old primary down, or pause all replicas
 *   guard     unless it stepped down, and is certainly the only primary, wait
 *             until every VM's proof of the old primary has expired
 *   verify    check that the claim is still the newest, and that no replica
 *             that is not paused has joined the group
 *   promote   promote the replica with the most complete log
 *   confirm   wait until it reports itself as primary of a later term
 *
 * Safety rests on the fence and the guard: see decide/primary_proof.h. VMs that
 * compete for a failover, crash or resume in the middle of one do no harm: a
 * superseded token is detected before it is used, and no other token is issued
 * while a promotion may be in progress (decide/promotion_claim.h).
 *
 * A primary that answers in an evacuated failure domain is replaced by a
 * hand-over, which may not lose a confirmed write:
 *   - It begins only when a database outside is known to have the whole log.
 *   - Replicas are paused, where the step-down proves nothing by itself, only
 *     after the primary has reported its step-down and the end of its log.
 *   - Only a database outside that has the log up to this end is promoted, or
 *     else the old primary again.
 * Where commits are acknowledged only once a replica has received them, no
 * promotion may leave one out ("is_synchronous"): the most complete log of all
 * databases is promoted, be it that of a departing or an evacuated one, or none
 * is. It is handed over once another database has that log.
 *
 * If the evacuation ends before the step-down was requested, nothing was
 * changed and the attempt ends. Later it is completed, since the request may
 * take effect at any time.
 */

#define FAILOVER_DBS_MAX     8
#define FAILOVER_ACTIONS_MAX 24

enum failover_fsm_phase {
	FAILOVER_IDLE,
	FAILOVER_CLAIM,
	FAILOVER_FENCE,
	FAILOVER_GUARD,
	FAILOVER_VERIFY,
	FAILOVER_PROMOTE,
	FAILOVER_CONFIRM,
};

enum failover_fsm_cause {
	FAILOVER_CAUSE_NONE,
	FAILOVER_CAUSE_SILENT,	   /* the primary does not respond */
	FAILOVER_CAUSE_REFUSED,	   /* its address refuses connections */
	FAILOVER_CAUSE_DEPARTING,  /* it is departing or not in the registry */
	FAILOVER_CAUSE_NO_PRIMARY, /* no database reports itself as primary */
	FAILOVER_CAUSE_EVACUATED, /* it responds, but its domain is evacuated */
};

/* Why no attempt begins although there is a cause. */
enum failover_fsm_hold {
	FAILOVER_HOLD_NONE, /* an attempt may begin */
	FAILOVER_HOLD_NO_CAUSE,
	FAILOVER_HOLD_BACK_OFF,	     /* an attempt has just ended */
	FAILOVER_HOLD_UNKNOWN_DBS,   /* not all databases may be known */
	FAILOVER_HOLD_STORE,	     /* the store does not answer */
	FAILOVER_HOLD_ALONE,	     /* this VM hears too few others */
	FAILOVER_HOLD_PEER,	     /* another VM is acting */
	FAILOVER_HOLD_TURN,	     /* another VM has just promoted */
	FAILOVER_HOLD_HEARD,	     /* other VMs hear the primary */
	FAILOVER_HOLD_NO_TARGET,     /* no database can take over */
	FAILOVER_HOLD_NO_STATUS,     /* its log, or the primary's, is unknown */
	FAILOVER_HOLD_TARGET_BEHIND, /* it lacks a part of the log */
	FAILOVER_HOLD_REPLICA_AWAY,  /* one that left may hold more of it */
	FAILOVER_HOLD_RANK,	     /* VMs of a lower rank go first */
};

enum failover_fsm_act {
	FAILOVER_ACT_CLAIM,
	FAILOVER_ACT_PAUSE,	/* db, term */
	FAILOVER_ACT_STEP_DOWN, /* db, term */
	FAILOVER_ACT_PROBE,	/* db: request its status */
	FAILOVER_ACT_VERIFY, /* mark the claim as used; list the databases again
			      */
	FAILOVER_ACT_PROMOTE,	       /* db */
	FAILOVER_ACT_RESUME,	       /* db */
	FAILOVER_ACT_RESUME_IF_NEWEST, /* db, token in "term": resume if no
					  later claim */
	FAILOVER_ACT_ADOPT,	       /* db, term: adopt the new primary */
};

struct failover_fsm_action {
	enum failover_fsm_act act;
	uint32_t db;
	uint64_t term;
};

struct failover_fsm_actions {
	uint32_t n;
	struct failover_fsm_action a[FAILOVER_ACTIONS_MAX];
};

/* State of one database as known to this VM. */
struct failover_fsm_db {
	bool present; /* registered */
	bool departing;
	/* has been heard from, and leaves no request unanswered for long */
	bool answers;
	bool has_new_report;  /* the report below was requested in this phase */
	bool reports_primary; /* it reports that it is primary */
	uint64_t term;	      /* that it reported; 0: it has not reported */
	bool evacuated; /* its failure domain is, as far as this VM knows */
	/* the report below was requested since the primary's evacuation was
	 * known */
	bool has_evacuation_report;
	bool led_term;	    /* it was primary of the group's highest term */
	uint64_t held_term; /* term that paused it; 0: not paused */
	struct log_pos received; /* end of its log */
};

struct failover_fsm_env {
	usec_t now;
	uint32_t n;
	struct failover_fsm_db db[FAILOVER_DBS_MAX];
	uint32_t primary;	       /* index or DB_NONE */
	uint64_t term;		       /* highest known term of the group */
	enum failover_fsm_cause cause; /* as this VM sees it now */
	uint32_t peers_hearing; /* live peers that hear from the primary */
	uint32_t peers_missing; /* live peers that get no response from it */
	bool peer_is_acting;	/* a peer is running this failover */
	bool promoted_here;	/* this VM promoted the primary of "term" */
	usec_t term_known_at;	/* when this VM learned of "term"; 0: never */
	uint32_t rank; /* rank of this VM for the group; 0 acts first */
	bool platform_up;
	bool hears_most_vms; /* has heard most VMs for some time */
	bool knows_all_dbs;  /* all live databases are in the list */
	usec_t listed_at;    /* request time of the newest database list */
	/* a commit is acknowledged only once replicas have received it */
	bool is_synchronous;
	/* a replica that left may be the only one with such commits */
	bool replica_is_away;
};

struct failover_fsm_policy {
	usec_t guard;	  /* lifetime of a proof of the primary */
	usec_t margin;	  /* added to the guard for statements sent just before
			     a proof expired */
	usec_t stagger;	  /* additional delay per rank */
	usec_t phase_max; /* timeout of a phase; the guard phase gets the guard
			     in addition */
	usec_t attempt_max;    /* timeout from the claim to the promotion */
	usec_t retry_interval; /* retry interval of requests */
	usec_t back_off;       /* delay from an attempt's end to the next */
	usec_t turn;	       /* time for which the VM that promoted last is
				  the only one to promote again */
	usec_t catch_up_max;   /* time for a replica to reach the last commit */
	usec_t ask_interval;   /* between requests to databases that may take
				  over but are not known to respond */
};

struct failover_fsm {
	struct failover_fsm_policy policy;
	enum failover_fsm_phase phase;
	enum failover_fsm_cause cause;
	usec_t cause_since; /* start of the current cause; 0: no cause */
	/* nothing but its rank has kept this VM from acting since; 0: something
	 * does */
	usec_t able_since;
	usec_t phase_at;	/* start of the phase */
	usec_t began_at;	/* start of the attempt */
	usec_t asked_at;	/* time of the phase's last requests; 0: none */
	usec_t verify_asked_at; /* time of the last FAILOVER_ACT_VERIFY */
	usec_t quiet_until;	/* no new attempt before this time */
	uint64_t token;		/* fencing token of the claim; 0: none */
	uint64_t term;		/* term that the databases are fenced to */
	uint64_t base_term;	/* the group's term when the attempt began */
	uint32_t old_primary;	/* the primary that is replaced, or DB_NONE */
	bool stepped_down;	/* the old primary reported its step-down */
	bool is_base_certain;	/* base_term was the group's newest at the claim
				 */
	bool old_primary_kept;	/* the last failover promoted it again */
	usec_t end_known_at;	/* since when its end is known; 0: it is not */
	struct log_pos old_primary_end; /* end of its log at the step-down */
	uint32_t paused_mask;		/* replicas paused for this term */
	/* replicas paused by this attempt, for any of its terms */
	uint32_t ever_paused_mask;
	bool is_abandoned;	 /* the primary that it replaces leads on */
	uint32_t failed_mask;	 /* databases that refused the promotion */
	uint32_t maybe_promoted; /* its promotion had no answer; or DB_NONE */
	uint32_t target;	 /* database to promote, or DB_NONE */
	/* database whose promotion was requested last and has not been seen to
	 * take effect, and the end of its log then; or DB_NONE */
	uint32_t requested;
	struct log_pos requested_end;
	bool result_pending; /* result of claim, verify or promote is pending */
	uint32_t attempts;   /* promotion calls of this attempt */
};

void failover_fsm_init(struct failover_fsm *s,
		       const struct failover_fsm_policy *policy);
void failover_fsm_tick(struct failover_fsm *s,
		       const struct failover_fsm_env *env,
		       struct failover_fsm_actions *out);
/* "is_base_certain": nobody had promoted since the known term began. */
void failover_fsm_claimed(struct failover_fsm *s, usec_t now, bool ok,
			  uint64_t token, bool is_base_certain);
/* "ok": the claim is still the newest; marking it gave it a higher token. */
void failover_fsm_verified(struct failover_fsm *s, usec_t now, bool ok,
			   uint64_t token);
/* The database has carried out the pause or the step-down of this term. */
void failover_fsm_fenced(struct failover_fsm *s, usec_t now, uint32_t db,
			 uint64_t term, bool stepped_down,
			 struct log_pos received);
enum failover_fsm_answer {
	FAILOVER_ANSWER_DONE,
	FAILOVER_ANSWER_REFUSED, /* certainly without effect */
	FAILOVER_ANSWER_LOST,	 /* may have taken effect */
};

void failover_fsm_promoted(struct failover_fsm *s, usec_t now,
			   enum failover_fsm_answer a);
/*
 * Ends this VM's attempt because "db" is now known as primary of "term", unless
 * that is the primary that it replaces. Replicas that this VM paused are
 * resumed by the VM that promoted, or by the caller.
 */
void failover_fsm_superseded(struct failover_fsm *s, usec_t now, uint32_t db,
			     uint64_t term);
/*
 * Returns true if the newest attempt may have promoted the database, and the
 * end of the log with which it leads then.
 */
bool failover_fsm_promoted_end(const struct failover_fsm *s, uint32_t db,
			       struct log_pos *end);
/* Returns what holds an attempt back, if the machine is idle. */
enum failover_fsm_hold failover_fsm_hold(const struct failover_fsm *s,
					 const struct failover_fsm_env *env);
const char *failover_fsm_hold_name(enum failover_fsm_hold hold);
const char *failover_fsm_phase_name(enum failover_fsm_phase phase);
const char *failover_fsm_cause_name(enum failover_fsm_cause cause);

#endif
