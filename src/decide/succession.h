#ifndef DECIDE_SUCCESSION_H
#define DECIDE_SUCCESSION_H

#include "decide/types.h"

/*
 * Another primary for a group whose own is gone, cut off or departing, over
 * databases that can be paused and stepped down by term. One VM does it:
 *
 *   claim     a fencing token, by a conditional write at the platform
 *   fence     the old primary steps down, or all replicas are paused
 *   guard     unless it stepped down, every VM's proof of it runs out
 *   verify    the claim is still the newest, and no replica has come to the
 *             group that is not paused
 *   promote   the replica that has most of the log
 *   confirm   it says itself that it leads a later term
 *
 * Safety rests on the fence and the guard: see decide/lead.h. Rival, dying
 * and waking VMs are harmless, since a token that was superseded is found out
 * before it is used, and no other is given while a promotion may be under way
 * (decide/duty.h).
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
	SUCCESSION_SILENT,    /* does not answer */
	SUCCESSION_REFUSED,   /* its address takes no connections */
	SUCCESSION_DEPARTING, /* is leaving, or has left the registry */
	SUCCESSION_NOBODY,    /* no database says that it leads */
};

enum succession_act {
	SUCCEED_CLAIM,
	SUCCEED_PAUSE,	   /* db, term */
	SUCCEED_STEP_DOWN, /* db, term */
	SUCCEED_ASK,	   /* db: its status */
	SUCCEED_VERIFY,	 /* the claim, by noting its use; list databases anew */
	SUCCEED_PROMOTE, /* db */
	SUCCEED_RESUME,	 /* db */
	SUCCEED_RELEASE, /* db, token in "term": resume it if no later claim */
	SUCCEED_LEAD,	 /* db, term: the new primary */
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

/* One database as this VM knows it. */
struct succession_db {
	bool present; /* registered */
	bool departing;
	bool answers; /* heard lately, or not asked */
	bool said;    /* the report below was asked for in this attempt */
	bool primary; /* it says so */
	uint64_t term;
	uint64_t held_term;
	struct log_pos received;
};

struct succession_env {
	usec_t now;
	uint32_t n;
	struct succession_db db[SUCCESSION_DBS];
	uint32_t primary;	     /* index or DB_NONE */
	uint64_t term;		     /* of the group, as known */
	enum succession_cause cause; /* as seen by this VM now */
	uint32_t hear;		     /* live peers that hear the primary */
	uint32_t miss;	   /* live peers that asked it and hear nothing */
	bool peer_at_work; /* a peer is at it */
	uint32_t rank;	   /* of this VM for the group, 0 first */
	bool platform_up;
	bool in_company;  /* most VMs have been heard for a while */
	bool settled;	  /* the databases listed are all that live */
	usec_t listed_at; /* when the newest list of them was asked for */
};

struct succession_policy {
	usec_t guard;	  /* proofs of a primary are good so long */
	usec_t margin;	  /* for what was sent just before a proof ran out */
	usec_t stagger;	  /* each rank waits so much longer */
	usec_t phase_max; /* a phase is given up after */
	usec_t all_max;	  /* from the claim to the promotion, at most */
	usec_t again;	  /* questions are repeated after */
	usec_t back_off;  /* after giving up */
	usec_t catch_up;  /* a replica may take so long to the last commit */
};

struct succession {
	struct succession_policy policy;
	enum succession_phase phase;
	enum succession_cause cause;
	usec_t cause_at; /* it has been seen since; 0: not */
	usec_t phase_at;
	usec_t began_at;  /* of the attempt */
	usec_t asked_at;  /* last round of questions in the phase */
	usec_t verify_at; /* the claim and the list were asked for then */
	usec_t quiet_until;
	uint64_t token;
	uint64_t term;	     /* the fence's */
	uint64_t base;	     /* of the group, when this began */
	uint32_t old;	     /* the primary that is replaced, or DB_NONE */
	bool stepped_down;   /* it said so */
	bool kept;	     /* it led again once, for want of a replica */
	struct log_pos last; /* its log's end then */
	uint32_t paused;     /* mask */
	uint32_t failed;     /* mask: could not be promoted */
	uint32_t target;
	bool call_open; /* claim, verify or promote not yet answered */
	uint32_t attempts;
};

void succession_init(struct succession *s,
		     const struct succession_policy *policy);
void succession_tick(struct succession *s, const struct succession_env *env,
		     struct succession_actions *out);
void succession_claimed(struct succession *s, usec_t now, bool ok,
			uint64_t token);
/* The claim is still the newest, under a token that rises with it. */
void succession_verified(struct succession *s, usec_t now, bool ok,
			 uint64_t token);
/* The database answered the pause or the step down of this term. */
void succession_fenced(struct succession *s, usec_t now, uint32_t db,
		       uint64_t term, bool stepped_down,
		       struct log_pos received);
enum succession_answer {
	SUCCESSION_DONE,
	SUCCESSION_DENIED, /* surely without effect */
	SUCCESSION_LOST,   /* may have taken effect */
};

void succession_promoted(struct succession *s, usec_t now,
			 enum succession_answer a);
/*
 * Another VM's new primary is known: this VM's own attempt ends. Replicas that
 * it paused are let go by whoever promoted, or by succession_tick().
 */
void succession_superseded(struct succession *s, usec_t now);
const char *succession_phase_name(enum succession_phase phase);
const char *succession_cause_name(enum succession_cause cause);

#endif
