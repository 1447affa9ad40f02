/*
 * One request over retries, lost replies, two VMs and failover.
 *
 * The caller sends a request to VM 1 and, whenever it likes, the same request
 * with the same id to VM 2; or, without an id, to VM 1 only. A VM's call may
 * arrive at any later time or never, long after the VM stopped waiting for it;
 * so may its answer. Promotion is taken as correct (promotion.pml): a majority
 * is fenced, the furthest of it promoted, the rest follow at any later time or
 * never. Guards are named after the function that carries them.
 *
 * Proved: no log holds the request twice; a VM that answered "not_run" has not
 * run it in any log that counts, and will not; what was answered "done" is in
 * the log of every primary from then on.
 */
/* mutants: RESEND_WITHOUT_ID NOT_RUN_ON_TIMEOUT NOT_RUN_IN_DOUBT NOT_FOUND_IS_NOT_RUN UNSETTLED LOST_UNSETTLED DONE_UNCONFIRMED NEW_ID */
/* spin: -DWITH_ID=1 -DVMS=2 -DCALLS=1 -DTERMS=3 */
/* spin: -DWITH_ID=1 -DVMS=1 -DCALLS=3 -DTERMS=4 */
/* spin: -DWITH_ID=0 -DVMS=1 -DCALLS=2 -DTERMS=4 */
#define N	3
#define MAJ	2
#define NO_REPLY 0
#define DONE	 1
#define REFUSED	 2
#define UNKNOWN	 3
#define NOT_RUN	 4

typedef database {
	byte fence;
	byte primary; /* term it is primary of; 0: replica */
	byte last;    /* log term */
	byte runs;    /* times the request is in the log */
	byte by;      /* VM whose call ran, the last one */
}
typedef message {
	byte term;    /* 0: not under way */
	byte db;
}
typedef vm {
	byte reply;   /* to the newest call */
	byte answer;  /* to the caller */
	byte since;   /* the answer speaks of this term and later ones */
}
database d[N];
byte leader[TERMS];
message sent[VMS * CALLS];
byte newest[VMS];     /* call that the VM waits for; CALLS: none */
vm v[VMS];
byte top = 1;	      /* highest term promoted */

#define LOGS(i, t) (d[i].fence == (t) && d[i].last == (t))
#define HOLDS(i, t) (LOGS(i, t) && d[i].runs > 0)
#define NUMBER(a, b, c) ((a) + (b) + (c))
/* confirm_settled() */
#define SETTLED(t) (NUMBER(LOGS(0, t), LOGS(1, t), LOGS(2, t)) >= MAJ)
/* confirm_check(): done; lost */
#define CONFIRMED(t) (NUMBER(HOLDS(0, t), HOLDS(1, t), HOLDS(2, t)) >= MAJ)
#define PAST(t) (NUMBER(LOGS(0, t) && !HOLDS(0, t), \
	LOGS(1, t) && !HOLDS(1, t), LOGS(2, t) && !HOLDS(2, t)) >= MAJ)

inline check(i) {
	assert(d[i].runs <= 1);
	k = 0;
	do
	:: k < VMS ->
		if
		:: v[k].answer == NOT_RUN && d[i].primary &&
		   d[i].primary >= v[k].since ->
			assert(d[i].runs == 0 || d[i].by != k + 1)
		:: v[k].answer == DONE && d[i].primary &&
		   d[i].primary >= v[k].since ->
			assert(d[i].runs == 1)
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

inline tell(what, term) {
	atomic {
		v[me].answer = what;
		v[me].since = term;
		check(0);
		check(1);
		check(2)
	}
}

/* The view rises to any term that has a primary. */
inline look() {
	if
	:: true
	:: view < top -> view = top
	:: view + 1 < top -> view++
	fi
}

proctype proxy(byte me) {
	byte view = 1;
	byte calls, high, k;
	byte since; /* a lost run is cut off from this term on */
	bool maybe_ran;

again:	atomic {
		look();
		sent[me * CALLS + calls].term = view;
		sent[me * CALLS + calls].db = leader[view];
		newest[me] = calls;
		v[me].reply = NO_REPLY;
		calls++;
		if
		:: view > high -> high = view
		:: else
		fi
	};
	if
	:: atomic { v[me].reply == DONE -> goto confirm }
	:: atomic { v[me].reply == REFUSED -> goto refused }
	:: atomic { newest[me] = CALLS } /* overdue: on_no_reply() */
	fi;
	maybe_ran = true;
#ifdef NOT_RUN_ON_TIMEOUT
	tell(NOT_RUN, 0);
	goto out;
#endif
doubt:
	if
#ifdef RESEND_WITHOUT_ID
	:: calls < CALLS -> goto again
#else
	:: WITH_ID && calls < CALLS -> goto again
#endif
	:: WITH_ID -> goto lookup
	:: tell(UNKNOWN, 0); goto out
	fi;

refused: /* on_refused(): this call ran nothing */
	if
#ifdef NOT_RUN_IN_DOUBT
	:: tell(NOT_RUN, 0); goto out
#else
	:: !maybe_ran -> tell(NOT_RUN, since); goto out
#endif
	:: (!maybe_ran || WITH_ID) && calls < CALLS -> goto again
	:: maybe_ran -> goto doubt
	fi;

lookup:	/* once_resolve() */
	atomic { look() };
	if
	:: atomic { d[leader[view]].primary == view &&
	     d[leader[view]].fence == view ->
		if
		:: d[leader[view]].runs > 0 -> goto confirm
#ifdef NOT_FOUND_IS_NOT_RUN
		:: d[leader[view]].runs == 0 ->
#else
#ifdef UNSETTLED
		:: d[leader[view]].runs == 0 && view > high ->
#else
		:: d[leader[view]].runs == 0 && view > high && SETTLED(view) ->
#endif
#endif
			tell(NOT_RUN, view); goto out
		:: else -> tell(UNKNOWN, 0); goto out
		fi }
	:: tell(UNKNOWN, 0); goto out
	fi;

confirm: /* confirm_check() */
#ifdef DONE_UNCONFIRMED
	atomic { tell(DONE, view); goto out };
#endif
	if
	:: atomic { CONFIRMED(view) -> tell(DONE, view); goto out }
	:: atomic { view < top -> view = top; goto confirm }
#ifdef LOST_UNSETTLED
	:: atomic { view > high && d[leader[view]].primary == view &&
	     d[leader[view]].runs == 0 -> goto gone }
#else
	:: atomic { view > high && PAST(view) -> goto gone }
#endif
	:: tell(UNKNOWN, 0); goto out
	fi;

gone:	/* on_lost(): it ran, and that run is cut off for good */
	since = view;
	if
	:: !maybe_ran -> tell(NOT_RUN, since); goto out
	:: calls < CALLS && (WITH_ID || !maybe_ran) -> goto again
	:: tell(UNKNOWN, 0); goto out
	fi;
out:	skip;
	d_step { view = 0; calls = 0; high = 0; maybe_ran = false; since = 0;
	newest[me] = CALLS }
}

/* A call reaches its database: executed, replayed by its id, or refused. */
inline arrive(c) {
	d_step {
		i = sent[c].db;
		if
		:: d[i].primary == sent[c].term &&
		   d[i].fence == sent[c].term ->
			if
#ifdef NEW_ID
			:: true ->
#else
			:: !WITH_ID || d[i].runs == 0 ->
#endif
				d[i].runs++;
				d[i].by = (c) / CALLS + 1;
				check(i)
			:: else
			fi;
			if
			:: newest[(c) / CALLS] == (c) % CALLS ->
				v[(c) / CALLS].reply = DONE
			:: else
			fi
		:: else ->
			if
			:: newest[(c) / CALLS] == (c) % CALLS ->
				v[(c) / CALLS].reply = REFUSED
			:: else
			fi
		fi;
		sent[c].term = 0;
		i = 0
	}
}

#define FURTHER(a, b) (d[a].last > d[b].last || \
	(d[a].last == d[b].last && d[a].runs > d[b].runs))
#define CAN_RISE (top + 1 < TERMS)

/* A promotion that fences a and b and promotes a. */
inline promote(a, b) {
	d_step {
		top++;
		d[a].fence = top;
		d[b].fence = top;
		d[b].primary = 0;
		d[a].primary = top;
		d[a].last = top;
		leader[top] = a;
		check(a)
	}
}

/* Replication, after following the newest primary if need be. */
#define LAGS(x) (leader[top] != x && d[x].fence <= top && \
	d[leader[top]].primary == top && \
	(d[x].fence < top || d[x].last < top || \
	 d[x].runs != d[leader[top]].runs))
/* Replication in an older term, whose primary is cut off. */
#define LAGS_OLD(x) (d[x].primary == 0 && d[x].fence < top && \
	d[leader[d[x].fence]].primary == d[x].fence && \
	d[leader[d[x].fence]].fence == d[x].fence && \
	(d[x].last < d[x].fence || d[x].runs != d[leader[d[x].fence]].runs))
inline copy(x, t) {
	d_step {
		d[x].fence = t;
		d[x].primary = 0;
		d[x].last = t;
		d[x].runs = d[leader[t]].runs;
		d[x].by = d[leader[t]].by
	}
}

proctype network() {
	byte i, k;

	do
	:: atomic { sent[0].term -> arrive(0) }
#if VMS * CALLS > 1
	:: atomic { sent[1].term -> arrive(1) }
#endif
#if VMS * CALLS > 2
	:: atomic { sent[2].term -> arrive(2) }
#endif
#if VMS * CALLS > 3
	:: atomic { sent[3].term -> arrive(3) }
#endif
	:: atomic { CAN_RISE && !FURTHER(1, 0) -> promote(0, 1) }
	:: atomic { CAN_RISE && !FURTHER(2, 0) -> promote(0, 2) }
	:: atomic { CAN_RISE && !FURTHER(0, 1) -> promote(1, 0) }
	:: atomic { CAN_RISE && !FURTHER(2, 1) -> promote(1, 2) }
	:: atomic { CAN_RISE && !FURTHER(0, 2) -> promote(2, 0) }
	:: atomic { CAN_RISE && !FURTHER(1, 2) -> promote(2, 1) }
	:: atomic { LAGS(0) -> copy(0, top) }
	:: atomic { LAGS(1) -> copy(1, top) }
	:: atomic { LAGS(2) -> copy(2, top) }
	:: atomic { LAGS_OLD(0) -> copy(0, d[0].fence) }
	:: atomic { LAGS_OLD(1) -> copy(1, d[1].fence) }
	:: atomic { LAGS_OLD(2) -> copy(2, d[2].fence) }
	od
}

init {
	d_step {
		d[0].fence = 1; d[0].last = 1; d[0].primary = 1;
		d[1].fence = 1; d[1].last = 1;
		d[2].fence = 1; d[2].last = 1;
		leader[1] = 0;
		newest[0] = CALLS;
#if VMS > 1
		newest[1] = CALLS;
#endif
	};
	atomic {
		run proxy(0);
#if VMS > 1
		run proxy(1);
#endif
		run network()
	}
}
