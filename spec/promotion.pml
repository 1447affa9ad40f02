/*
 * Models confirmation of writes and promotion in one group of three databases.
 *
 * Every process may pause at any point for any time or stop forever, as no step
 * is forced; every message may be lost or late, as a step may be omitted or
 * taken later; a database that was partitioned returns with the log it had. The
 * databases follow docs/PROTOCOLS.md. Comments name the function that implements
 * a guard of the proxy.
 *
 * Proved: a write acknowledged by the reports of a term is in the log of each
 * primary of that term and of every later one, promoted before or after the
 * acknowledgement; a write declared lost by the reports of a term is in none of
 * these logs; a term has at most one primary. (A partitioned primary of an
 * earlier term may differ: route_term_has_majority() guards reads at a primary.)
 */
/* mutants: CLAIM_TWICE FENCE_ONE NOT_FURTHEST TWO_TARGETS CONFIRM_ALONE CONFIRM_ANY_FENCE CONFIRM_OLD_LOG LOST_EARLY LOG_TERM_EARLY FENCE_ON_PAPER */
/* spin: -DTERMS=4 -DLEN=2 -DWRITERS=2 */
/* spin: -DTERMS=5 -DLEN=1 -DWRITERS=1 */
#define N	3 /* databases */
#define MAJ	2
#define ABSENT	15 /* the lineage of the log lacks this term */
#define BIT(i)	(1 << (i))
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))

typedef database {
	byte fence;
	byte primary;	    /* term it is primary of; 0: replica */
	byte follows;	    /* term whose primary it follows; 0: none */
	byte size;
	byte entry[LEN];    /* terms that wrote the entries */
	byte start[TERMS];  /* lineage: where each term began, or ABSENT */
	byte last;	    /* log term: the newest of the lineage */
}
database db[N];
byte leader[TERMS];	    /* database promoted in each term; N: none */
byte at_term[WRITERS];
byte at_pos[WRITERS];
byte acked[WRITERS];	    /* term whose reports confirmed the write; 0: none */
byte lost[WRITERS];	    /* term whose reports declared the write lost; 0: none */

#ifdef FENCE_ON_PAPER
#define CAN_EXECUTE(i) (db[i].primary)
#else
#define CAN_EXECUTE(i) (db[i].primary && db[i].fence == db[i].primary)
#endif
/* lineage_contains(): entry (t, p) of a log; p counts from 1. */
#define HAS_ENTRY(i, t, p) (db[i].size >= (p) && db[i].entry[(p) - 1] == (t))
/* logs_view_term() in write_quorum.c */
#define LOGS_TERM(i, v) (db[i].fence == (v) && db[i].last == (v))

/* Whether database i, in term "view", reports the write of "me" as held or lost. */
#ifdef CONFIRM_ANY_FENCE
#define REPORTS_HELD(i) HAS_ENTRY(i, term, pos)
#else
#ifdef CONFIRM_OLD_LOG
#define REPORTS_HELD(i) (db[i].fence == view && HAS_ENTRY(i, term, pos))
#else
#define REPORTS_HELD(i) (LOGS_TERM(i, view) && HAS_ENTRY(i, term, pos))
#endif
#endif
#define REPORTS_LOST(i) (LOGS_TERM(i, view) && view > term && \
	!HAS_ENTRY(i, term, pos))

#ifdef CONFIRM_ALONE
#define ENOUGH_HELD 1
#else
#define ENOUGH_HELD MAJ
#endif
#ifdef LOST_EARLY
#define ENOUGH_LOST 1
#else
#define ENOUGH_LOST MAJ
#endif

/* Checks the proved properties at a primary. */
inline check_primary(i) {
	w = 0;
	do
	:: w < WRITERS ->
		if
		:: acked[w] && acked[w] <= db[i].primary ->
			assert(HAS_ENTRY(i, at_term[w], at_pos[w]))
		:: lost[w] && lost[w] <= db[i].primary ->
			assert(!HAS_ENTRY(i, at_term[w], at_pos[w]))
		:: else
		fi;
		w++
	:: else -> break
	od;
	w = 0
}

inline check_all() {
	k = 0;
	do
	:: k < N ->
		if
		:: db[k].primary -> check_primary(k)
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

/*
 * Counts a report of database i on the write; the masks hold reports of one
 * term only. See write_quorum_check().
 */
inline do_report(i) {
	d_step {
		if
		:: REPORTS_HELD(i) -> held_mask = held_mask | BIT(i)
		:: else -> lost_mask = lost_mask | BIT(i)
		fi;
		if
		:: COUNT(held_mask) >= ENOUGH_HELD ->
			acked[me] = view;
			check_all();
			view = 0
		:: COUNT(held_mask) < ENOUGH_HELD && COUNT(lost_mask) >= ENOUGH_LOST ->
			lost[me] = view;
			check_all();
			view = 0
		:: else
		fi
	}
}
#define HAS_NEW_REPORT(i) (view && ((REPORTS_HELD(i) && !(held_mask & BIT(i))) || \
		(REPORTS_LOST(i) && !(lost_mask & BIT(i)))))

inline do_execute(i) {
	d_step {
		term = db[i].primary;
		db[i].entry[db[i].size] = term;
		db[i].size++;
		pos = db[i].size;
		at_term[me] = term;
		at_pos[me] = pos;
		view = term;
		held_mask = BIT(i);
		if
		:: COUNT(held_mask) >= ENOUGH_HELD ->
			acked[me] = view;
			check_all();
			view = 0
		:: else
		fi
	}
}

inline do_learn_term(t) {
	d_step {
		view = t;
#ifndef CONFIRM_ANY_FENCE
		held_mask = 0;
		lost_mask = 0
#endif
	}
}

/*
 * One write: executed under a term, then acknowledged or declared lost by
 * reports of the newest term that the VM knows.
 */
proctype writer(byte me) {
	byte term, pos, view, held_mask, lost_mask, k, w;

	if
	:: atomic { CAN_EXECUTE(0) && db[0].size < LEN -> do_execute(0) }
	:: atomic { CAN_EXECUTE(1) && db[1].size < LEN -> do_execute(1) }
	:: atomic { CAN_EXECUTE(2) && db[2].size < LEN -> do_execute(2) }
	fi;
	do
	:: atomic { HAS_NEW_REPORT(0) -> do_report(0) }
	:: atomic { HAS_NEW_REPORT(1) -> do_report(1) }
	:: atomic { HAS_NEW_REPORT(2) -> do_report(2) }
	:: atomic { view && view < 2 && leader[2] != N -> do_learn_term(2) }
	:: atomic { view && view < 3 && leader[3] != N -> do_learn_term(3) }
#if TERMS > 4
	:: atomic { view && view < 4 && leader[4] != N -> do_learn_term(4) }
#endif
	:: atomic { view == 0 ->
		term = 0; pos = 0; held_mask = 0; lost_mask = 0; break }
	od
}

/*
 * Fences database i and takes its log position from the reply; it becomes the
 * candidate if its log is the most advanced so far. See promote_fenced() and
 * choose_best() in elect.c.
 */
inline do_fence(i) {
	d_step {
		if
		:: db[i].fence < term ->
#ifndef FENCE_ON_PAPER
			db[i].primary = 0;
#endif
			db[i].follows = 0
		:: else
		fi;
		db[i].fence = term;
		fenced_mask = fenced_mask | BIT(i);
		if
#ifdef NOT_FURTHEST
		:: true ->
#else
		:: best == N || db[i].last > best_last ||
		   (db[i].last == best_last && db[i].size > best_size) ->
#endif
			best = i;
			best_last = db[i].last;
			best_size = db[i].size
		:: else
		fi
	}
}

inline do_promoted(i) {
	d_step {
		assert(leader[term] == N || leader[term] == i);
		leader[term] = i;
		db[i].primary = term;
		db[i].follows = 0;
		db[i].start[term] = db[i].size;
		db[i].last = term;
		check_primary(i)
	}
}
#define CAN_PROMOTE(i) (db[i].fence == term && db[i].last < term)

#ifdef FENCE_ONE
#define ENOUGH_FENCED 1
#else
#define ENOUGH_FENCED MAJ
#endif

/*
 * One promotion attempt with a claimed term: promote.c, elect.c. Claims are
 * unique by the conditional update at the platform; a claim whose reply is lost
 * is not used (promote_claimed()). A second attempt of a VM is another promoter.
 */
proctype promoter(byte term) {
	byte fenced_mask, best_last, best_size, w;
	byte best = N;

	do
	:: atomic { !(fenced_mask & BIT(0)) && db[0].fence <= term -> do_fence(0) }
	:: atomic { !(fenced_mask & BIT(1)) && db[1].fence <= term -> do_fence(1) }
	:: atomic { !(fenced_mask & BIT(2)) && db[2].fence <= term -> do_fence(2) }
	:: atomic { COUNT(fenced_mask) >= ENOUGH_FENCED -> break }
	od;
#ifdef TWO_TARGETS
	do
	:: atomic { CAN_PROMOTE(0) && (fenced_mask & BIT(0)) -> do_promoted(0) }
	:: atomic { CAN_PROMOTE(1) && (fenced_mask & BIT(1)) -> do_promoted(1) }
	:: break
	od;
#else
	atomic { CAN_PROMOTE(best) -> do_promoted(best) };
#endif
	skip;
	d_step { fenced_mask = 0; best = N; best_last = 0; best_size = 0 }
}

/* Truncates log i at the point up to which it agrees with log p. */
inline do_cut(i, p) {
	k = 0;
	do
	:: k < db[i].size && k < db[p].size && db[i].entry[k] == db[p].entry[k] ->
		k++
	:: else -> break
	od;
	same = (k == db[i].size);
	db[i].size = k;
	do
	:: k < LEN -> db[i].entry[k] = 0; k++
	:: else -> break
	od;
	k = 2;
	db[i].last = 1;
	do
	:: k < TERMS ->
		if
		:: db[p].start[k] == ABSENT -> db[i].start[k] = ABSENT
		:: db[p].start[k] != ABSENT && db[i].start[k] != ABSENT ->
			db[i].last = k
		:: else
		fi;
		k++
	:: else -> break
	od
}

/* Adds the terms of p whose start log i has reached to the lineage of i. */
inline learn_terms(i, p) {
	k = 2;
	do
	:: k < TERMS ->
		if
#ifdef LOG_TERM_EARLY
		:: db[p].start[k] != ABSENT ->
#else
		:: db[p].start[k] != ABSENT && db[i].size >= db[p].start[k] ->
#endif
			db[i].start[k] = db[p].start[k];
			db[i].last = k
		:: else
		fi;
		k++
	:: else -> break
	od
}

/*
 * One step of replication: truncates the log, copies one entry or, if the log
 * is complete, the newest terms.
 */
inline do_replicate(i) {
	d_step {
		p = leader[db[i].follows];
		do_cut(i, p);
#ifdef LOG_TERM_EARLY
		learn_terms(i, p);
#endif
		if
		:: same && db[i].size < db[p].size ->
			db[i].entry[db[i].size] = db[p].entry[db[i].size];
			db[i].size++
		:: same && db[i].size == db[p].size -> learn_terms(i, p)
		:: else
		fi;
		k = 0;
		p = 0;
		same = false
	}
}
#define SOURCE(i) db[leader[db[i].follows]]
#define IS_BEHIND(i) (db[i].follows && db[i].fence == db[i].follows && \
	CAN_EXECUTE(leader[db[i].follows]) && \
	SOURCE(i).primary == db[i].follows && \
	(db[i].last != SOURCE(i).last || db[i].size != SOURCE(i).size))

/*
 * Any VM may make a database follow the primary at any time after the
 * promotion: detector_needs_follow(), maintenance.c.
 */
#define MUST_FOLLOW(i, t) (leader[t] != N && leader[t] != i && \
	db[i].fence <= (t) && db[i].follows != (t))
inline do_follow(i, t) {
	d_step {
		db[i].fence = t;
		db[i].primary = 0;
		db[i].follows = t
	}
}

proctype network() {
	byte k, p;
	bool same;

	do
	:: atomic { IS_BEHIND(0) -> do_replicate(0) }
	:: atomic { IS_BEHIND(1) -> do_replicate(1) }
	:: atomic { IS_BEHIND(2) -> do_replicate(2) }
	:: atomic { MUST_FOLLOW(0, 2) -> do_follow(0, 2) }
	:: atomic { MUST_FOLLOW(1, 2) -> do_follow(1, 2) }
	:: atomic { MUST_FOLLOW(2, 2) -> do_follow(2, 2) }
	:: atomic { MUST_FOLLOW(0, 3) -> do_follow(0, 3) }
	:: atomic { MUST_FOLLOW(1, 3) -> do_follow(1, 3) }
	:: atomic { MUST_FOLLOW(2, 3) -> do_follow(2, 3) }
#if TERMS > 4
	:: atomic { MUST_FOLLOW(0, 4) -> do_follow(0, 4) }
	:: atomic { MUST_FOLLOW(1, 4) -> do_follow(1, 4) }
	:: atomic { MUST_FOLLOW(2, 4) -> do_follow(2, 4) }
#endif
	od
}

init {
	byte i, t;

	d_step {
		do
		:: i < N ->
			db[i].fence = 1;
			db[i].follows = 1;
			db[i].last = 1;
			t = 2;
			do
			:: t < TERMS -> db[i].start[t] = ABSENT; t++
			:: else -> break
			od;
			i++
		:: else -> break
		od;
		db[0].primary = 1;
		db[0].follows = 0;
		t = 2;
		do
		:: t < TERMS -> leader[t] = N; t++
		:: else -> break
		od;
		i = 0;
		t = 0
	};
	atomic {
		run writer(0);
#if WRITERS > 1
		run writer(1);
#endif
		run promoter(2);
#ifdef CLAIM_TWICE
		run promoter(2);
#else
		run promoter(3);
#endif
#if TERMS > 4
		run promoter(4);
#endif
		run network()
	}
}
