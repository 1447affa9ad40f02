/*
 * Models, for the form "sessions", that no VM uses the old primary of a group
 * once another database has been promoted: the fence, the guard and the proofs.
 * spec/claim.pml models the claims; what it proves is assumed here: a claim is
 * marked only while no promotion of another can still take effect.
 *
 * Any step may be delayed or omitted, as none is forced. A primary that was
 * replaced commits until it hears of a later term, which may be never. A
 * replica that is resumed after a promotion may not know the new term yet.
 *
 * A proof counts from the time of its question and is good for the guard. Time
 * is abstracted: a wait for the guard ends once every proof is gone whose
 * question was asked before the wait began; questions without an answer count
 * too.
 *
 * Assumed: replicas are resumed only while no failover relies on their pause
 * (PAUSE_MAX_US, FAILOVER_ACT_RESUME_IF_NEWEST; mutant RESUME_LATE); a replica
 * that was paused when a promotion took effect applies no commits of an earlier
 * primary any more (mutant RESUMED_APPLIES); a promotion is called once for a
 * mark; all VMs have the same list of databases. Not modelled: proofs told by
 * peers, the proof of the VM that promoted, reads at a primary that has stepped
 * down, and a departing primary that is promoted again.
 *
 * Proved: no VM has a valid proof of a primary that commits after the promotion
 * of another database has taken effect.
 */
/* mutants: GUARD_SKIP STEP_DOWN_ANY STEP_DOWN_FENCES ENTRY_PROOF OVER_CLOSED REPLY_OF_ERA PAUSE_ONE UNPAUSED_LATE UNPAUSED_ALONE RESUMED_APPLIES RESUME_LATE JOIN_TRUSTED UNCLAIMED_ANY */
/* spin: -DUSERS=1 -DFIRST=1 -DSECOND=0 -DRESTORES=1 */
/* spin: -DUSERS=2 -DFIRST=1 -DSECOND=0 -DRESTORES=0 */
/* spin: -DUSERS=1 -DFIRST=1 -DSECOND=1 -DRESTORES=0 */
/* spin: -DUSERS=1 -DFIRST=1 -DSECOND=1 -DRESTORES=1 */
#define N	3 /* databases */
#define BIT(i)	(1 << (i))
#define ALL	7

/* States of the claim in the newest era. */
#define NONE	0
#define CLAIMED	1
#define MARKED	2
#define CLOSED	3

byte claim_state;
byte claim_holder;
byte claim_term = 1;	/* closed: the term whose primary is confirmed */
byte era;
bool was_closed;	/* the claim was closed at the beginning */
bool copy_is_closed;	/* the restored object of the former era is closed */
byte copy_term;

byte primaries = BIT(0); /* databases that take themselves for the primary */
byte paused;
byte cut;		/* replicas that apply nothing of earlier primaries */
byte left;		/* databases that are in no list */
byte db_term[N];
byte term = 1;		/* newest of the databases */
byte leader;		/* its primary */
byte listed;		/* database that the registry shows as primary */

byte busy;		/* VMs that rely on a fence */
bool called[2];		/* promotion is under way */
byte target[2];
bool done[2];

byte user_term[USERS];	/* newest term that the user knows, */
byte user_primary[USERS]; /* its primary */
byte user_era[USERS];
bool valid[USERS];	/* has a proof */
bool asking[USERS];	/* has asked for a proof */
bool chained[USERS];	/* had a proof when it asked */
byte reports[USERS];	/* databases that answered: not primary, not paused */
bool of_term[USERS];	/* one of them follows the user's term */
byte old_valid[USERS];	/* VMs that wait for the end of the proof */
byte old_asking[USERS];	/* or of a proof asked for now */

/* The proved property. */
inline check(u) {
	assert(!valid[u] || !(primaries & BIT(user_primary[u])) ||
	    user_primary[u] == leader)
}

inline prove(u) {
	valid[u] = true;
	old_valid[u] = old_asking[u];
	check(u);
	end_question(u)
}

inline end_question(u) {
	asking[u] = false;
	old_asking[u] = 0;
	chained[u] = false;
	reports[u] = 0;
	of_term[u] = false
}

inline end_proof(u) {
	valid[u] = false;
	old_valid[u] = 0
}

#define CAN_REPORT(r) (!((paused | primaries | left) & BIT(r)))
/* Database r is a replica in the user's term and reports that it isn't paused. */
#define REPORTS(u, r) (asking[u] && (r) != user_primary[u] && \
	CAN_REPORT(r) && db_term[r] == user_term[u])
/* primary_proof_replica_position(): it applied a commit made after that. */
#ifdef RESUMED_APPLIES
#define APPLIES(u, r) (REPORTS(u, r) && (primaries & BIT(user_primary[u])))
#else
#define APPLIES(u, r) (REPORTS(u, r) && !(cut & BIT(r)) && \
	(primaries & BIT(user_primary[u])))
#endif
/* primary_proof_replica_unpaused(): the former proof is still valid. */
#ifdef UNPAUSED_ALONE
#define EXTENDS(u, r) REPORTS(u, r)
#else
#ifdef UNPAUSED_LATE /* ... was valid when the question was asked */
#define EXTENDS(u, r) (REPORTS(u, r) && chained[u])
#else
#define EXTENDS(u, r) (REPORTS(u, r) && valid[u])
#endif
#endif
/*
 * primary_proof_check_unanimous(): a report that neither is primary nor paused.
 * A former primary that does not know the user's term is skipped.
 */
#define JOINS(u, r) (asking[u] && (r) != user_primary[u] && \
	!((reports[u] | left | paused) & BIT(r)) && \
	db_term[r] <= user_term[u] && \
	(!(primaries & BIT(r)) || db_term[r] < user_term[u]))
#define ENTRY_JOINS(u, r) (asking[u] && (r) != user_primary[u] && \
	!(reports[u] & BIT(r)) && listed != (r))
#define UNANIMOUS(u) (asking[u] && of_term[u] && \
	(reports[u] | left | BIT(user_primary[u])) == ALL)

inline join(u, r) {
	reports[u] = reports[u] | BIT(r);
	of_term[u] = of_term[u] || (CAN_REPORT(r) && db_term[r] == user_term[u])
}

/* db_group_proof_on_claim(): the record was read as closed at the user's term. */
#ifdef REPLY_OF_ERA
#define CLAIM_PROVES(u) (asking[u] && (user_era[u] == era -> \
	(claim_state == CLOSED && claim_term == user_term[u]) : \
	(copy_is_closed && copy_term == user_term[u])))
#else
#define CLAIM_PROVES(u) (asking[u] && user_era[u] == era && \
	claim_state == CLOSED && claim_term == user_term[u])
#endif

/* A VM that uses the primary by a proof. */
proctype user(byte u) {
	do
	:: d_step { user_term[u] != term ->
		user_term[u] = term;
		user_primary[u] = leader;
		end_proof(u);
		end_question(u) }
	:: d_step { user_era[u] != era -> user_era[u] = era }
	:: d_step { !asking[u] -> asking[u] = true; chained[u] = valid[u] }
	:: d_step { asking[u] -> end_question(u) }
	:: d_step { valid[u] -> end_proof(u) } /* the guard has passed */
	:: d_step { APPLIES(u, 0) || APPLIES(u, 1) || APPLIES(u, 2) -> prove(u) }
	:: d_step { EXTENDS(u, 0) || EXTENDS(u, 1) || EXTENDS(u, 2) -> prove(u) }
	:: d_step { JOINS(u, 0) -> join(u, 0) }
	:: d_step { JOINS(u, 1) -> join(u, 1) }
	:: d_step { JOINS(u, 2) -> join(u, 2) }
#ifdef ENTRY_PROOF
	:: d_step { ENTRY_JOINS(u, 0) -> reports[u] = reports[u] | BIT(0) }
	:: d_step { ENTRY_JOINS(u, 1) -> reports[u] = reports[u] | BIT(1) }
	:: d_step { ENTRY_JOINS(u, 2) -> reports[u] = reports[u] | BIT(2) }
#endif
	:: d_step { UNANIMOUS(u) -> prove(u) }
	:: d_step { CLAIM_PROVES(u) -> prove(u) }
	od
}

/* promotion_claim_check(); spec/claim.pml models when a mark is over. */
#define IS_OVER ((claim_state != MARKED && claim_state != NONE) || \
	!(called[0] || called[1]))
#ifdef OVER_CLOSED
#define MAY_CLAIM IS_OVER
#else
#define MAY_CLAIM (IS_OVER && \
	!(claim_state == CLOSED && claim_term > known_term))
#endif
#define HOLDS_CLAIM (claim_state == CLAIMED && claim_holder == me && \
	at_era == era)

/* fence_is_done(): all databases but the primary that is replaced are paused. */
#ifdef PAUSE_ONE
#define FENCE_IS_DONE (fenced | left)
#else
#define FENCE_IS_DONE ((fenced | left | BIT(primary)) == ALL)
#endif

inline start_guard(u) {
	if
	:: valid[u] -> old_valid[u] = old_valid[u] | BIT(me)
	:: else -> old_valid[u] = old_valid[u] & ~BIT(me)
	fi;
	if
	:: asking[u] -> old_asking[u] = old_asking[u] | BIT(me)
	:: else -> old_asking[u] = old_asking[u] & ~BIT(me)
	fi
}
#define GUARD_IS_OVER(u) (!((old_valid[u] | old_asking[u]) & BIT(me)))
#define CAN_PROMOTE(i) (primary != (i) && !((primaries | left) & BIT(i)) && \
	(stepped_down || (fenced & BIT(i))))

/* A VM that may replace the primary. */
proctype vm(byte me; byte attempts) {
	byte known_term = 1, primary, fenced, at_era;
	bool over_closed, stepped_down;

idle:
	atomic {
		fenced = 0;
		at_era = 0;
		over_closed = false;
		stepped_down = false;
		busy = busy & ~BIT(me)
	};
	if
	:: d_step { known_term != term -> known_term = term; primary = leader };
		goto idle
	:: d_step { attempts && MAY_CLAIM ->
		attempts--;
		over_closed = (claim_state == CLOSED);
		claim_state = CLAIMED;
		claim_holder = me;
		claim_term = 0;
		at_era = era;
		busy = busy | BIT(me) }
	fi;

	/* Fences: fence_group(). Another database that is primary ends it. */
	do
	:: d_step { !(fenced & BIT(0)) && primary != 0 && !(primaries & BIT(0)) ->
		fenced = fenced | BIT(0); paused = paused | BIT(0) }
	:: d_step { !(fenced & BIT(1)) && primary != 1 && !(primaries & BIT(1)) ->
		fenced = fenced | BIT(1); paused = paused | BIT(1) }
	:: d_step { !(fenced & BIT(2)) && primary != 2 && !(primaries & BIT(2)) ->
		fenced = fenced | BIT(2); paused = paused | BIT(2) }
	:: FENCE_IS_DONE -> break
	/*
	 * The old primary reports its step-down. That counts only if the claim
	 * replaced a closed record: a primary that had been replaced before
	 * reports the same.
	 */
#if defined(STEP_DOWN_ANY) || defined(STEP_DOWN_FENCES)
	:: d_step { true ->
#else
	:: d_step { over_closed ->
#endif
		primaries = primaries & ~BIT(primary);
		stepped_down = true };
		break
	:: goto give_up
	od;

	/* Waits for the guard: wait_for_guard(). */
	if
#ifdef STEP_DOWN_FENCES
	:: stepped_down && over_closed
#else
	:: stepped_down
#endif
#ifdef GUARD_SKIP
	:: true
#endif
	:: else ->
		d_step {
			start_guard(0);
#if USERS > 1
			start_guard(1)
#endif
		};
		if
#if USERS > 1
		:: GUARD_IS_OVER(0) && GUARD_IS_OVER(1)
#else
		:: GUARD_IS_OVER(0)
#endif
		:: goto give_up
		fi
	fi;

	/* Marks the claim, promotes: registry_mark_promoting(), choose_target(). */
	if
	:: atomic { HOLDS_CLAIM ->
		claim_state = MARKED;
		if
		:: CAN_PROMOTE(0) -> target[me] = 0
		:: CAN_PROMOTE(1) -> target[me] = 1
		:: CAN_PROMOTE(2) -> target[me] = 2
		fi;
		called[me] = true }
	:: goto give_up
	fi;
	if
	:: !called[me] && done[me]
	:: d_step { !called[me] -> done[me] = false }; goto idle
	fi;

	/* Confirms: confirm_primary(). */
	d_step {
		done[me] = false;
		known_term = term;
		primary = leader;
		if
		:: claim_state == MARKED && claim_holder == me && at_era == era ->
			claim_state = CLOSED;
			claim_term = term
		:: else
		fi
	};
	goto idle;

give_up:
	/* Resumes the replicas: resume_if_newest(). */
#ifdef RESUME_LATE
	if
	:: HOLDS_CLAIM -> paused = paused & ~fenced
	:: else
	fi;
#else
	atomic {
		if
		:: HOLDS_CLAIM -> paused = paused & ~fenced
		:: else
		fi
	};
#endif
	goto idle
}

/* The promotion takes effect. */
inline do_promote(v) {
	called[v] = false;
	done[v] = true;
	term++;
	leader = target[v];
	target[v] = 0;
	db_term[leader] = term;
	cut = cut | paused;
	paused = paused & ~BIT(leader);
	cut = cut & ~BIT(leader);
	primaries = primaries | BIT(leader);
	check(0);
#if USERS > 1
	check(1)
#endif
}

inline learn_term(i) {
	db_term[i] = term;
	primaries = primaries & ~BIT(i);
	left = left & ~BIT(i);
	cut = cut & ~BIT(i)
}

#ifdef JOIN_TRUSTED
#define CAN_JOIN(i) true
#else
#ifdef UNCLAIMED_ANY
#define IS_UNCLAIMED (claim_state == NONE)
#else
#define IS_UNCLAIMED (claim_state == NONE && !(called[0] || called[1]))
#endif
#define CAN_JOIN(i) (!(left & BIT(i)) || !busy || IS_UNCLAIMED)
#endif

inline restore(had_closed, number) {
	era++;
	claim_state = NONE;
	claim_holder = 0;
	claim_term = 0;
	copy_is_closed = had_closed;
	copy_term = number
}

/* The store, what is under way, and the databases. */
proctype platform() {
	do
	:: d_step { called[0] -> do_promote(0) }
	:: d_step { called[1] -> do_promote(1) }
	:: d_step { called[0] -> called[0] = false; target[0] = 0 }
	:: d_step { called[1] -> called[1] = false; target[1] = 0 }
	/*
	 * The former primary is unreachable and leaves the list. When it returns
	 * it may have missed a pause, so it is not trusted until that failover is
	 * over (trusted_from in db_group.c), or if a settled era has no claim
	 * (check_unclaimed()).
	 */
	:: d_step { db_term[0] != term && (primaries & BIT(0)) ->
		left = left | BIT(0) }
	:: d_step { db_term[0] != term && !(paused & BIT(0)) &&
		CAN_JOIN(0) -> learn_term(0) }
	:: d_step { db_term[1] != term && !(paused & BIT(1)) -> learn_term(1) }
	:: d_step { db_term[2] != term && !(paused & BIT(2)) -> learn_term(2) }
	:: d_step { !busy && (paused & BIT(0)) -> paused = paused & ~BIT(0) }
	:: d_step { !busy && (paused & BIT(1)) -> paused = paused & ~BIT(1) }
	:: d_step { !busy && (paused & BIT(2)) -> paused = paused & ~BIT(2) }
#ifdef ENTRY_PROOF
	:: d_step { listed != leader -> listed = leader }
#endif
	:: d_step { era < RESTORES && claim_state == CLOSED ->
		restore(true, claim_term) }
	:: d_step { era < RESTORES && was_closed -> restore(true, 1) }
	:: d_step { era < RESTORES -> restore(false, 0) }
	od
}

init {
	if
	:: d_step { claim_state = CLOSED; was_closed = true }
	:: d_step { claim_state = NONE; claim_term = 0 }
	fi;
	d_step {
		db_term[0] = 1;
		db_term[1] = 1;
		db_term[2] = 1;
		user_term[0] = 1;
#if USERS > 1
		user_term[1] = 1
#endif
	};
	atomic {
		run user(0);
#if USERS > 1
		run user(1);
#endif
		run vm(0, FIRST);
		run vm(1, SECOND);
		run platform()
	}
}
