#ifndef DECIDE_SUCCESSION_H
#define DECIDE_SUCCESSION_H

#include "decide/types.h"

/*
 * State machine of a failover: replaces a group's primary that is dead,
 * partitioned or departing. It needs databases that can be paused and stepped
 * down by term. One VM runs these phases:
 *
 *   claim     obtain a fencing token by a conditional write at the platform
 *   fence     step the old primary down, or pause all replicas
 *   guard     unless it stepped down, wait until every VM's proof of the old
 *             primary has expired
 *   verify    check that the claim is still the newest, and that no replica
 *             that is not paused has joined the group
 *   promote   promote the replica with the most complete log
 *   confirm   wait until it reports itself as primary of a later term
 *
 * Safety rests on the fence and the guard: see decide/lead.h. VMs that compete
 * for a failover, crash or resume in the middle of one do no harm: a superseded
 * token is detected before it is used, and no other token is issued while a
 * promotion may be in progress (decide/duty.h).
 */

#define SUCCESSION_DBS	   8
#define SUCCESSION_ACTIONS 24

enum succession_phase {
	SUCCESSION_IDLE,
	SUCCESSION_CLAIM,
	SUCCESSION_FENCE,
	SUCCESSION_GUARD,
	SUCCESSION_VERIFY,
	SUCCESSION_PROMOTE,
	SUCCESSION_CONFIRM,
};

enum succession_cause {
	SUCCESSION_NONE,
	SUCCESSION_SILENT,    /* the primary does not respond */
	SUCCESSION_REFUSED,   /* its address refuses connections */
	SUCCESSION_DEPARTING, /* it is departing or not in the registry */
	SUCCESSION_NOBODY,    /* no database reports itself as primary */
};

enum succession_act {
	SUCCEED_CLAIM,
	SUCCEED_PAUSE,	   /* db, term */
	SUCCEED_STEP_DOWN, /* db, term */
	SUCCEED_ASK,	   /* db: request its status */
	SUCCEED_VERIFY,	 /* mark the claim as used; list the databases again */
	SUCCEED_PROMOTE, /* db */
	SUCCEED_RESUME,	 /* db */
	SUCCEED_RELEASE, /* db, token in "term": resume if no later claim */
	SUCCEED_LEAD,	 /* db, term: adopt the new primary */
};

struct succession_action {
	enum succession_act act;
	uint32_t db;
	uint64_t term;
};

struct succession_actions {
	uint32_t n;
	struct succession_action a[SUCCESSION_ACTIONS];
};

/* State of one database as known to this VM. */
struct succession_db {
	bool present; /* registered */
	bool departing;
	bool answers;	      /* has responded recently or was not asked */
	bool has_new_report;  /* the report below was requested in this phase */
	bool reports_primary; /* it reports that it is primary */
	uint64_t term;
	uint64_t held_term;	 /* term that paused it; 0: not paused */
	struct log_pos received; /* end of its log */
};

struct succession_env {
	usec_t now;
	uint32_t n;
	struct succession_db db[SUCCESSION_DBS];
	uint32_t primary;	     /* index or DB_NONE */
	uint64_t term;		     /* highest known term of the group */
	enum succession_cause cause; /* as this VM sees it now */
	uint32_t peers_hearing;	     /* live peers that hear from the primary */
	uint32_t peers_missing;	     /* live peers that it does not answer */
	bool peer_is_acting;	     /* a peer is running this failover */
	uint32_t rank; /* of this VM for the group; 0 acts first */
	bool platform_up;
	bool hears_most_vms; /* has heard most VMs for some time */
	bool knows_all_dbs;  /* all live databases are in the list */
	usec_t listed_at;    /* request time of the newest database list */
};

struct succession_policy {
	usec_t guard;	  /* lifetime of a proof of the primary */
	usec_t margin;	  /* for statements sent just before a proof expired */
	usec_t stagger;	  /* additional delay per rank */
	usec_t phase_max; /* timeout of a phase */
	usec_t attempt_max;    /* timeout from the claim to the promotion */
	usec_t retry_interval; /* retry interval of requests */
	usec_t back_off;       /* delay after a failed attempt */
	usec_t catch_up_max;   /* time for a replica to reach the last commit */
};

struct succession {
	struct succession_policy policy;
	enum succession_phase phase;
	enum succession_cause cause;
	usec_t cause_since; /* the cause has lasted since; 0: there is none */
	usec_t phase_at;    /* start of the phase */
	usec_t began_at;    /* start of the attempt */
	usec_t asked_at;    /* last round of requests in the phase; 0: none */
	usec_t verify_asked_at; /* last request of the check and the list */
	usec_t quiet_until;	/* no new attempt before */
	uint64_t token;		/* fencing token of the claim; 0: none */
	uint64_t term;		/* of the fence */
	uint64_t base_term;	/* the group's term when the attempt began */
	uint32_t old_primary;	/* the primary that is replaced, or DB_NONE */
	bool stepped_down;	/* the old primary reported that it has */
	bool old_primary_kept;	/* it was promoted again once */
	struct log_pos old_primary_end; /* its log at the step-down */
	uint32_t paused_mask;		/* replicas that are paused */
	uint32_t failed_mask;		/* promotion was refused */
	uint32_t target;		/* to be promoted, or DB_NONE */
	bool result_pending; /* result of claim, verify or promote is pending */
	uint32_t attempts;   /* promotion calls of this attempt */
};

void succession_init(struct succession *s,
		     const struct succession_policy *policy);
void succession_tick(struct succession *s, const struct succession_env *env,
		     struct succession_actions *out);
void succession_claimed(struct succession *s, usec_t now, bool ok,
			uint64_t token);
/* "ok": the claim is still the newest; marking it gave it a higher token. */
void succession_verified(struct succession *s, usec_t now, bool ok,
			 uint64_t token);
/* The database has carried out the pause or the step-down of this term. */
void succession_fenced(struct succession *s, usec_t now, uint32_t db,
		       uint64_t term, bool stepped_down,
		       struct log_pos received);
enum succession_answer {
	SUCCESSION_DONE,
	SUCCESSION_DENIED, /* certainly without effect */
	SUCCESSION_LOST,   /* may have taken effect */
};

void succession_promoted(struct succession *s, usec_t now,
			 enum succession_answer a);
/*
 * Ends this VM's attempt because another VM's new primary is known. Replicas
 * that this VM paused are resumed by the VM that promoted, or by the caller.
 */
void succession_superseded(struct succession *s, usec_t now);
const char *succession_phase_name(enum succession_phase phase);
const char *succession_cause_name(enum succession_cause cause);

#endif
