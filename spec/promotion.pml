/*
 * Confirmation of writes and promotion in one group of three databases.
 *
 * Every process may pause at any point for any time, or stop for good
 * (interleaving: nothing is forced to go on); every message may be lost or
 * late (a step not taken, or taken later); a database that was cut off comes
 * back with the log it had. The databases keep to docs/PROTOCOLS.md. Guards of
 * the proxy are named after the function that carries them.
 *
 * Proved: a write acknowledged by the reports of a term is in the log of each
 * primary of that term and of every later one, promoted before or after the
 * acknowledgement; a write called lost by the reports of a term is in none of
 * these; a term has one primary. (A primary of an earlier term, cut off, may
 * differ: reads at a primary are guarded by route_term_held().)
 */
/* mutants: CLAIM_TWICE FENCE_ONE NOT_FURTHEST TWO_TARGETS CONFIRM_ALONE CONFIRM_ANY_FENCE CONFIRM_OLD_LOG LOST_EARLY LOG_TERM_EARLY FENCE_ON_PAPER */
/* spin: -DTERMS=4 -DLEN=2 -DWRITERS=2 */
/* spin: -DTERMS=5 -DLEN=1 -DWRITERS=1 */
#define N	3 /* databases */
#define MAJ	2
#define ABSENT	15 /* the log's lineage lacks this term */
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
database d[N];
byte leader[TERMS];	    /* database promoted in each term; N: none */
byte at_term[WRITERS];
byte at_pos[WRITERS];
byte acked[WRITERS];	    /* term whose reports confirmed it; 0: not */
byte lost[WRITERS];	    /* term in which it was called lost */

#ifdef FENCE_ON_PAPER
#define EXECUTES(i) (d[i].primary)
#else
#define EXECUTES(i) (d[i].primary && d[i].fence == d[i].primary)
#endif
/* lineage_covers(): entry (t, p) of a log; p counts from 1. */
#define HAS(i, t, p) (d[i].size >= (p) && d[i].entry[(p) - 1] == (t))
/* logs_term() in confirm.c */
#define LOGS(i, v) (d[i].fence == (v) && d[i].last == (v))

/* What a report of database i says of writer "me"'s write in term "view". */
#ifdef CONFIRM_ANY_FENCE
#define SAYS_HELD(i) HAS(i, term, pos)
#else
#ifdef CONFIRM_OLD_LOG
#define SAYS_HELD(i) (d[i].fence == view && HAS(i, term, pos))
#else
#define SAYS_HELD(i) (LOGS(i, view) && HAS(i, term, pos))
#endif
#endif
#define SAYS_PAST(i) (LOGS(i, view) && view > term && !HAS(i, term, pos))

#ifdef CONFIRM_ALONE
#define ENOUGH_HELD 1
#else
#define ENOUGH_HELD MAJ
#endif
#ifdef LOST_EARLY
#define ENOUGH_PAST 1
#else
#define ENOUGH_PAST MAJ
#endif

/* The promise, at a primary. */
inline check_primary(i) {
	w = 0;
	do
	:: w < WRITERS ->
		if
		:: acked[w] && acked[w] <= d[i].primary ->
			assert(HAS(i, at_term[w], at_pos[w]))
		:: lost[w] && lost[w] <= d[i].primary ->
			assert(!HAS(i, at_term[w], at_pos[w]))
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
		:: d[k].primary -> check_primary(k)
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

/* confirm_check(): the masks speak of one term. */
inline do_report(i) {
	d_step {
		if
		:: SAYS_HELD(i) -> held = held | BIT(i)
		:: else -> past = past | BIT(i)
		fi;
		if
		:: COUNT(held) >= ENOUGH_HELD ->
			acked[me] = view;
			check_all();
			view = 0
		:: COUNT(held) < ENOUGH_HELD && COUNT(past) >= ENOUGH_PAST ->
			lost[me] = view;
			check_all();
			view = 0
		:: else
		fi
	}
}
#define NEWS(i) (view && ((SAYS_HELD(i) && !(held & BIT(i))) || \
		(SAYS_PAST(i) && !(past & BIT(i)))))

inline do_execute(i) {
	d_step {
		term = d[i].primary;
		d[i].entry[d[i].size] = term;
		d[i].size++;
		pos = d[i].size;
		at_term[me] = term;
		at_pos[me] = pos;
		view = term;
		held = BIT(i);
		if
		:: COUNT(held) >= ENOUGH_HELD ->
			acked[me] = view;
			check_all();
			view = 0
		:: else
		fi
	}
}

inline do_see(t) {
	d_step {
		view = t;
#ifndef CONFIRM_ANY_FENCE
		held = 0;
		past = 0
#endif
	}
}

/*
 * One write: executed under a term, then acknowledged, or called lost, by
 * reports of the term that the VM knows to be the newest.
 */
proctype writer(byte me) {
	byte term, pos, view, held, past, k, w;

	if
	:: atomic { EXECUTES(0) && d[0].size < LEN -> do_execute(0) }
	:: atomic { EXECUTES(1) && d[1].size < LEN -> do_execute(1) }
	:: atomic { EXECUTES(2) && d[2].size < LEN -> do_execute(2) }
	fi;
	do
	:: atomic { NEWS(0) -> do_report(0) }
	:: atomic { NEWS(1) -> do_report(1) }
	:: atomic { NEWS(2) -> do_report(2) }
	:: atomic { view && view < 2 && leader[2] != N -> do_see(2) }
	:: atomic { view && view < 3 && leader[3] != N -> do_see(3) }
#if TERMS > 4
	:: atomic { view && view < 4 && leader[4] != N -> do_see(4) }
#endif
	:: atomic { view == 0 ->
		term = 0; pos = 0; held = 0; past = 0; break }
	od
}

/* promote_fenced(): a report with the fence; furthest() in elect.c. */
inline do_fence(i) {
	d_step {
		if
		:: d[i].fence < term ->
#ifndef FENCE_ON_PAPER
			d[i].primary = 0;
#endif
			d[i].follows = 0
		:: else
		fi;
		d[i].fence = term;
		mask = mask | BIT(i);
		if
#ifdef NOT_FURTHEST
		:: true ->
#else
		:: best == N || d[i].last > best_last ||
		   (d[i].last == best_last && d[i].size > best_size) ->
#endif
			best = i;
			best_last = d[i].last;
			best_size = d[i].size
		:: else
		fi
	}
}

inline do_promoted(i) {
	d_step {
		assert(leader[term] == N || leader[term] == i);
		leader[term] = i;
		d[i].primary = term;
		d[i].follows = 0;
		d[i].start[term] = d[i].size;
		d[i].last = term;
		check_primary(i)
	}
}
#define TAKES(i) (d[i].fence == term && d[i].last < term)

#ifdef FENCE_ONE
#define ENOUGH_FENCED 1
#else
#define ENOUGH_FENCED MAJ
#endif

/*
 * One attempt with a claimed term: promote.c, elect.c. That a claim is unique
 * is the platform's conditional update; a claim whose reply is lost is passed
 * over (promote_claimed()). A second attempt of a VM is one more promoter.
 */
proctype promoter(byte term) {
	byte mask, best_last, best_size, w;
	byte best = N;

	do
	:: atomic { !(mask & BIT(0)) && d[0].fence <= term -> do_fence(0) }
	:: atomic { !(mask & BIT(1)) && d[1].fence <= term -> do_fence(1) }
	:: atomic { !(mask & BIT(2)) && d[2].fence <= term -> do_fence(2) }
	:: atomic { COUNT(mask) >= ENOUGH_FENCED -> break }
	od;
#ifdef TWO_TARGETS
	do
	:: atomic { TAKES(0) && (mask & BIT(0)) -> do_promoted(0) }
	:: atomic { TAKES(1) && (mask & BIT(1)) -> do_promoted(1) }
	:: break
	od;
#else
	atomic { TAKES(best) -> do_promoted(best) };
#endif
	skip;
	d_step { mask = 0; best = N; best_last = 0; best_size = 0 }
}

/* The point up to which logs i and p agree, and the cut there. */
inline do_cut(i, p) {
	k = 0;
	do
	:: k < d[i].size && k < d[p].size && d[i].entry[k] == d[p].entry[k] ->
		k++
	:: else -> break
	od;
	same = (k == d[i].size);
	d[i].size = k;
	do
	:: k < LEN -> d[i].entry[k] = 0; k++
	:: else -> break
	od;
	k = 2;
	d[i].last = 1;
	do
	:: k < TERMS ->
		if
		:: d[p].start[k] == ABSENT -> d[i].start[k] = ABSENT
		:: d[p].start[k] != ABSENT && d[i].start[k] != ABSENT ->
			d[i].last = k
		:: else
		fi;
		k++
	:: else -> break
	od
}

/* The terms of p whose start i has reached. */
inline learn_terms(i, p) {
	k = 2;
	do
	:: k < TERMS ->
		if
#ifdef LOG_TERM_EARLY
		:: d[p].start[k] != ABSENT ->
#else
		:: d[p].start[k] != ABSENT && d[i].size >= d[p].start[k] ->
#endif
			d[i].start[k] = d[p].start[k];
			d[i].last = k
		:: else
		fi;
		k++
	:: else -> break
	od
}

/* One step: a cut, or an entry, or, with all entries, the newest terms. */
inline do_replicate(i) {
	d_step {
		p = leader[d[i].follows];
		do_cut(i, p);
#ifdef LOG_TERM_EARLY
		learn_terms(i, p);
#endif
		if
		:: same && d[i].size < d[p].size ->
			d[i].entry[d[i].size] = d[p].entry[d[i].size];
			d[i].size++
		:: same && d[i].size == d[p].size -> learn_terms(i, p)
		:: else
		fi;
		k = 0;
		p = 0;
		same = false
	}
}
#define SOURCE(i) d[leader[d[i].follows]]
#define LAGS(i) (d[i].follows && d[i].fence == d[i].follows && \
	EXECUTES(leader[d[i].follows]) && \
	SOURCE(i).primary == d[i].follows && \
	(d[i].last != SOURCE(i).last || d[i].size != SOURCE(i).size))

/* suspect_astray(), upkeep.c: by anyone, at any time after the promotion. */
#define ASTRAY(i, t) (leader[t] != N && leader[t] != i && \
	d[i].fence <= (t) && d[i].follows != (t))
inline do_follow(i, t) {
	d_step {
		d[i].fence = t;
		d[i].primary = 0;
		d[i].follows = t
	}
}

proctype network() {
	byte k, p;
	bool same;

	do
	:: atomic { LAGS(0) -> do_replicate(0) }
	:: atomic { LAGS(1) -> do_replicate(1) }
	:: atomic { LAGS(2) -> do_replicate(2) }
	:: atomic { ASTRAY(0, 2) -> do_follow(0, 2) }
	:: atomic { ASTRAY(1, 2) -> do_follow(1, 2) }
	:: atomic { ASTRAY(2, 2) -> do_follow(2, 2) }
	:: atomic { ASTRAY(0, 3) -> do_follow(0, 3) }
	:: atomic { ASTRAY(1, 3) -> do_follow(1, 3) }
	:: atomic { ASTRAY(2, 3) -> do_follow(2, 3) }
#if TERMS > 4
	:: atomic { ASTRAY(0, 4) -> do_follow(0, 4) }
	:: atomic { ASTRAY(1, 4) -> do_follow(1, 4) }
	:: atomic { ASTRAY(2, 4) -> do_follow(2, 4) }
#endif
	od
}

init {
	byte i, t;

	d_step {
		do
		:: i < N ->
			d[i].fence = 1;
			d[i].follows = 1;
			d[i].last = 1;
			t = 2;
			do
			:: t < TERMS -> d[i].start[t] = ABSENT; t++
			:: else -> break
			od;
			i++
		:: else -> break
		od;
		d[0].primary = 1;
		d[0].follows = 0;
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
