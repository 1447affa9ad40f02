#ifndef DECIDE_PROMOTE_H
#define DECIDE_PROMOTE_H

#include "decide/handover.h"

#define PROMOTE_ACTIONS_MAX (2 * DB_MAX + 10)

enum promote_phase {
	PROMOTE_IDLE,
	PROMOTE_SUSPECT,  /* waits its rank's turn and for opinions */
	PROMOTE_HANDOVER, /* planned: holds and catches up */
	PROMOTE_CLAIMING,
	PROMOTE_FENCING,
	PROMOTE_PROMOTING,
};

enum promote_cause {
	CAUSE_NONE,
	CAUSE_SILENT,	  /* no answer of the primary */
	CAUSE_FENCED,	  /* it answers, but is no primary of the term now */
	CAUSE_UNFOLLOWED, /* it answers, but no replica follows it */
	CAUSE_DEPARTING,
};

enum promote_act {
	ACT_CLAIM,	    /* conditional update: claimed = term */
	ACT_FENCE,	    /* db, term */
	ACT_PROMOTE,	    /* db, term */
	ACT_FOLLOW,	    /* db, term; primary is "primary" */
	ACT_PUBLISH,	    /* conditional update: term, primary */
	ACT_ASK_OPINION,    /* of VMs in other domains: primary, term */
	ACT_HOLD_WRITES,    /* here: start no write */
	ACT_RELEASE_WRITES, /* here */
	ACT_TELL_HOLD,	    /* peers: hold writes up to "until" */
	ACT_TELL_RELEASE,   /* peers */
	ACT_TELL_PEERS,	    /* the view term, primary */
	ACT_ADOPT,	    /* set the view to term, primary */
};

struct promote_action {
	enum promote_act act;
	uint32_t db;
	uint32_t primary;
	uint64_t term;
	usec_t until;
};

/* Actions go out in order; all calls may run at the same time. */
struct promote_actions {
	uint32_t n;
	struct promote_action a[PROMOTE_ACTIONS_MAX];
};

struct promote_policy {
	usec_t suspect_us;	 /* silence of a primary */
	usec_t stagger_us;	 /* per rank */
	usec_t opinion_us;	 /* wait for opinions */
	usec_t call_us;		 /* ask again after */
	usec_t phase_us;	 /* a phase is given up after */
	usec_t backoff_us;	 /* least wait after giving up */
	usec_t pause_us;	 /* a longer gap between ticks: start afresh */
	usec_t unfollowed_us;	 /* no replica followed this long */
	usec_t replica_fresh_us; /* a replica counts as alive */
	uint32_t ahead_ranks;	 /* ranks that hold a term ahead */
	uint32_t clock_rate_ppm;
	struct handover_policy handover;
};

/* What surrounds the group, as known now. */
struct promote_env {
	usec_t now;
	const struct group_view *view;
	uint32_t rank;	      /* of this VM for the group */
	uint32_t running;     /* this VM's writes at the primary */
	usec_t unanswered_at; /* of the primary's struct probe */
	bool other_domains;   /* live VMs in other domains exist */
	bool platform_up;
	uint64_t random;
};

enum call_result {
	CALL_OK,
	CALL_REFUSED, /* surely without effect; or conflict */
	CALL_LOST,    /* may have taken effect */
	CALL_DOWN,    /* surely without effect, not reached */
};

/* What a VM in another domain says of the primary. */
enum opinion {
	OPINION_ALIVE,	/* heard it as primary of the term lately */
	OPINION_SILENT, /* has asked it, without an answer */
	OPINION_NONE,	/* does not watch it */
};

/* One group's promotion at one VM. */
struct promote {
	struct promote_policy policy;
	enum promote_phase phase;
	enum promote_cause cause;
	usec_t ticked_at;
	usec_t phase_at; /* begin of the phase */
	usec_t asked_at; /* last round of calls in it */
	usec_t quiet_until;
	usec_t woke_at; /* what was heard before counts for nothing */
	enum promote_cause seen_cause;
	bool holding;	    /* writes are held by this hand-over */
	usec_t cause_at;    /* begin of the cause; 0: none */
	uint64_t ahead;	    /* claimed here, unused; 0: none */
	uint64_t ahead_ask; /* claim under way; 0: none */
	usec_t ahead_at;
	uint64_t term;	  /* of this attempt */
	uint64_t floor;	  /* highest fence or published term heard of */
	uint64_t claimed; /* highest claim heard of */
	uint32_t target;  /* DB_NONE until the fence is done */
	uint32_t fenced;  /* mask */
	struct log_pos end[DB_MAX]; /* reported with the fence */
	uint32_t alive_opinions;
	uint32_t silent_opinions;
	uint64_t published; /* highest term published at the platform */
	usec_t publish_at;  /* next try */
	usec_t follow_at[DB_MAX];
	struct handover handover;
	uint32_t failures;
};

void promote_init(struct promote *p, const struct promote_policy *policy,
		  usec_t now);
/* Call at least every call_us, and after the view has changed. */
void promote_tick(struct promote *p, const struct promote_env *env,
		  struct promote_actions *out);
/*
 * Results of the actions. Late, doubled or foreign ones are harmless. For a
 * claim, "claimed" is the highest claim known after the call. A LOST claim is
 * first read back by the caller: OK if the object carries its own change id.
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
/* A view of the platform's object (published) or of a peer. */
void promote_heard(struct promote *p, const struct promote_env *env,
		   uint64_t term, uint32_t primary, bool published,
		   uint64_t claimed, struct promote_actions *out);
/*
 * This VM's answer to a peer's ACT_ASK_OPINION; "unanswered_at" is that of the
 * primary's struct probe. A VM that does not probe the group answers NONE and
 * should begin to probe it.
 */
enum opinion promote_give_opinion(const struct promote *p,
				  const struct group_view *v, uint64_t term,
				  usec_t unanswered_at, usec_t now);
/* For the parts of a promotion, elect.c and upkeep.c. */
void promote_emit(struct promote_actions *out, enum promote_act act,
		  uint32_t db, uint32_t primary, uint64_t term);
void promote_enter(struct promote *p, const struct promote_env *env,
		   enum promote_phase phase);
const char *promote_phase_name(enum promote_phase phase);
const char *promote_cause_name(enum promote_cause cause);

#endif
