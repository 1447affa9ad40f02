#ifndef DECIDE_PROMOTE_H
#define DECIDE_PROMOTE_H

#include "decide/handover.h"

#define PROMOTE_ACTIONS_MAX (2 * DB_MAX + 10)

/*
 * State machine that replaces a group's primary by a majority: a VM claims a
 * term at the platform, fences a majority of the databases to it, promotes the
 * one whose log is furthest ahead, and publishes the new primary. The caller
 * carries out the actions and passes in their results.
 */

enum promote_phase {
	PROMOTE_IDLE,
	PROMOTE_SUSPECT,  /* waits for its rank's delay and for opinions */
	PROMOTE_HANDOVER, /* planned: holds writes, replica catches up */
	PROMOTE_CLAIMING,
	PROMOTE_FENCING,
	PROMOTE_PROMOTING,
};

enum promote_cause {
	CAUSE_NONE,
	CAUSE_SILENT,	  /* the primary does not respond */
	CAUSE_FENCED,	  /* it responds but is not primary of the term */
	CAUSE_UNFOLLOWED, /* it responds but too few replicas follow it */
	CAUSE_DEPARTING,
};

enum promote_act {
	ACT_CLAIM,	 /* conditional update of the group's object at the
			     platform: sets its claimed term to term */
	ACT_FENCE,	 /* db, term */
	ACT_PROMOTE,	 /* db, term */
	ACT_FOLLOW,	 /* db, term, primary: the primary to follow */
	ACT_PUBLISH,	 /* conditional update of that object: term, primary */
	ACT_ASK_OPINION, /* ask VMs in other domains: primary, term */
	ACT_HOLD_WRITES, /* start no new write on this VM */
	ACT_RELEASE_WRITES, /* end the hold on this VM */
	ACT_TELL_HOLD,	    /* tell peers to hold writes up to "until" */
	ACT_TELL_RELEASE,   /* tell peers to end the hold */
	ACT_TELL_PEERS,	    /* announce term, primary to peers */
	ACT_ADOPT,	    /* set this VM's view to term, primary */
};

struct promote_action {
	enum promote_act act;
	uint32_t db;
	uint32_t primary;
	uint64_t term;
	usec_t until;
};

/* Actions are started in order; their calls may run concurrently. */
struct promote_actions {
	uint32_t n;
	struct promote_action a[PROMOTE_ACTIONS_MAX];
};

struct promote_policy {
	usec_t suspect_us; /* timeout of a primary that is silent */
	usec_t stagger_us; /* additional delay per rank */
	usec_t opinion_us; /* time to wait for opinions */
	usec_t retry_us;   /* retry interval of calls */
	usec_t phase_us;   /* timeout of a phase */
	usec_t backoff_us; /* base delay after a failed attempt */
	usec_t pause_us;   /* after a longer gap between ticks (VM suspended),
			    earlier signs of a failure are ignored */
	usec_t unfollowed_us;	  /* too few followers for this long */
	usec_t replica_fresh_us;  /* a replica that responded this recently is
				     live */
	uint32_t reserving_ranks; /* VMs below this rank reserve a term */
	uint32_t clock_rate_ppm;  /* bound on the drift between two clocks */
	struct handover_policy handover;
};

/* Inputs of one event: the state of the group as this VM knows it. */
struct promote_env {
	usec_t now;
	const struct group_view *view;
	uint32_t rank; /* rank of this VM for the group; 0 acts first */
	uint32_t running_writes; /* this VM's writes running at the primary */
	usec_t unanswered_at; /* from the primary's struct health_probe; 0: none
			       */
	bool other_domains;   /* live VMs in other domains exist */
	bool platform_up;
	uint64_t random; /* for jitter */
};

enum call_result {
	CALL_OK,
	CALL_REFUSED, /* refused or in conflict; certainly without effect */
	CALL_LOST,    /* may have taken effect */
	CALL_DOWN,    /* not reached; certainly without effect */
};

/* Opinion of a VM in another domain about the primary. */
enum opinion {
	OPINION_ALIVE,	/* recently heard from it as primary of the term */
	OPINION_SILENT, /* gets no response, or it is not primary */
	OPINION_NONE,	/* does not monitor it */
};

/* State of one group's promotion on one VM. */
struct promote {
	struct promote_policy policy;
	enum promote_phase phase;
	enum promote_cause cause;
	usec_t ticked_at;
	usec_t phase_at;       /* start of the phase */
	usec_t asked_at;       /* last round of calls in the phase */
	usec_t quiet_until;    /* no new attempt before this time */
	usec_t evidence_since; /* earlier signs of a failure are ignored */
	enum promote_cause last_cause; /* cause at the last tick */
	bool holds_writes;	       /* writes are held by this hand-over */
	usec_t cause_since;	       /* start of last_cause; 0: no cause */
	uint64_t reserved_term; /* claimed in advance and unused; 0: none */
	uint64_t claiming_term; /* term of the pending claim; 0: none */
	usec_t claim_sent_at;	/* time of the last claim */
	uint64_t term;		/* term of this attempt; 0: none */
	uint64_t highest_term;	/* highest fence or view term known */
	uint64_t highest_claim; /* highest claimed term known */
	uint32_t target;	/* DB_NONE until the fence is done */
	uint32_t fenced_mask;	/* mask of fenced databases */
	struct log_pos fenced_end[DB_MAX]; /* log end reported with the fence */
	uint32_t alive_opinions;
	uint32_t silent_opinions;
	uint64_t published;	  /* highest term published at the platform */
	usec_t publish_at;	  /* no retry of ACT_PUBLISH before this time */
	usec_t follow_at[DB_MAX]; /* time of the next ACT_FOLLOW; 0: none due */
	struct handover handover;
	uint32_t failures; /* consecutive failed attempts */
};

void promote_init(struct promote *p, const struct promote_policy *policy,
		  usec_t now);
/* Must be called at least every retry_us and after each change of the view. */
void promote_tick(struct promote *p, const struct promote_env *env,
		  struct promote_actions *out);
/*
 * Results of the actions. Late, duplicate or unexpected results are ignored.
 * For a claim, "claimed" is the highest claim known after the call. The caller
 * first reads back a LOST claim: it is OK if the object has the caller's own
 * change id.
 */
void promote_claimed(struct promote *p, const struct promote_env *env,
		     uint64_t term, enum call_result r, uint64_t claimed,
		     struct promote_actions *out);
void promote_fenced(struct promote *p, const struct promote_env *env,
		    uint32_t db, uint64_t term, enum call_result r,
		    const struct db_view *status, struct promote_actions *out);
void promote_promoted(struct promote *p, const struct promote_env *env,
		      uint32_t db, uint64_t term, enum call_result r,
		      struct promote_actions *out);
void promote_published(struct promote *p, const struct promote_env *env,
		       uint64_t term, enum call_result r);
void promote_opinion(struct promote *p, const struct promote_env *env,
		     uint64_t term, enum opinion o);
/* Takes in a view from the platform's object ("published") or from a peer. */
void promote_heard(struct promote *p, const struct promote_env *env,
		   uint64_t term, uint32_t primary, bool published,
		   uint64_t claimed, struct promote_actions *out);
/*
 * Returns this VM's response to a peer's ACT_ASK_OPINION. "unanswered_at" is
 * from the primary's struct health_probe. A VM that does not probe the group
 * responds NONE and should start to probe it.
 */
enum opinion promote_give_opinion(const struct promote *p,
				  const struct group_view *v, uint64_t term,
				  usec_t unanswered_at, usec_t now);
/* Used only by the other parts of a promotion, elect.c and maintenance.c. */
void promote_emit(struct promote_actions *out, enum promote_act act,
		  uint32_t db, uint32_t primary, uint64_t term);
void promote_enter(struct promote *p, const struct promote_env *env,
		   enum promote_phase phase);
const char *promote_phase_name(enum promote_phase phase);
const char *promote_cause_name(enum promote_cause cause);

#endif
