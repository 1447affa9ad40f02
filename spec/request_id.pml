/*
 * Models one request with retries, lost replies, two VMs and failover.
 *
 * The caller sends a request to VM 1 and, at any time, the same request with
 * the same id to VM 2; without an id, to VM 1 only. The call of a VM may arrive
 * at any later time, even after the VM stopped waiting for it, or never; so may
 * its reply. Promotion is assumed to be correct (promotion.pml): a majority is
 * fenced, its most advanced log is promoted, and the others follow at any later
 * time or never. Comments name the function that implements a guard.
 *
 * Proved: no log contains the request twice; if a VM answered "not_run", its
 * calls are in the log of no primary of the term of the answer or a later one;
 * if it answered "done", the request is in the log of every such primary.
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
	byte by;      /* VM whose call ran last, from 1 */
}
typedef message {
	byte term;    /* 0: not in flight */
	byte db_index;
}
typedef vm {
	byte reply;   /* reply of the database to the VM's newest call */
	byte answer;  /* answer of the VM to the caller */
	byte since_term;   /* term from which on the answer holds */
}
database db[N];
byte leader[TERMS];
message sent[VMS * CALLS];
byte awaited_call[VMS];     /* call that the VM waits for; CALLS: none */
vm vms[VMS];
byte newest_term = 1;	      /* highest term promoted */

#define LOGS_TERM(i, t) (db[i].fence == (t) && db[i].last == (t))
#define HAS_RUN(i, t) (LOGS_TERM(i, t) && db[i].runs > 0)
#define COUNT(a, b, c) ((a) + (b) + (c))
/* write_quorum_term_is_settled() */
#define SETTLED(t) (COUNT(LOGS_TERM(0, t), LOGS_TERM(1, t), LOGS_TERM(2, t)) >= MAJ)
/* write_quorum_check(): a majority has the run; a majority lacks it */
#define CONFIRMED(t) (COUNT(HAS_RUN(0, t), HAS_RUN(1, t), HAS_RUN(2, t)) >= MAJ)
#define LOST(t) (COUNT(LOGS_TERM(0, t) && !HAS_RUN(0, t), \
	LOGS_TERM(1, t) && !HAS_RUN(1, t), LOGS_TERM(2, t) && !HAS_RUN(2, t)) >= MAJ)

inline check(i) {
	assert(db[i].runs <= 1);
	k = 0;
	do
	:: k < VMS ->
		if
		:: vms[k].answer == NOT_RUN && db[i].primary &&
		   db[i].primary >= vms[k].since_term ->
			assert(db[i].runs == 0 || db[i].by != k + 1)
		:: vms[k].answer == DONE && db[i].primary &&
		   db[i].primary >= vms[k].since_term ->
			assert(db[i].runs == 1)
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

inline answer_caller(what, term) {
	atomic {
		vms[me].answer = what;
		vms[me].since_term = term;
		check(0);
		check(1);
		check(2)
	}
}

/*
 * The VM's view of the term stays, rises by one, or jumps to the highest term
 * promoted.
 */
inline refresh_view() {
	if
	:: true
	:: view < newest_term -> view = newest_term
	:: view + 1 < newest_term -> view++
	fi
}

proctype proxy(byte me) {
	byte view = 1;
	byte calls, highest_sent, k;
	byte since_term; /* from this term on, no log has the lost run */
	bool maybe_ran;

again:	atomic {
		refresh_view();
		sent[me * CALLS + calls].term = view;
		sent[me * CALLS + calls].db_index = leader[view];
		awaited_call[me] = calls;
		vms[me].reply = NO_REPLY;
		calls++;
		if
		:: view > highest_sent -> highest_sent = view
		:: else
		fi
	};
	if
	:: atomic { vms[me].reply == DONE -> goto confirm }
	:: atomic { vms[me].reply == REFUSED -> goto refused }
	:: atomic { awaited_call[me] = CALLS } /* timeout: on_no_reply() */
	fi;
	maybe_ran = true;
#ifdef NOT_RUN_ON_TIMEOUT
	answer_caller(NOT_RUN, 0);
	goto done;
#endif
in_doubt:
	if
#ifdef RESEND_WITHOUT_ID
	:: calls < CALLS -> goto again
#else
	:: WITH_ID && calls < CALLS -> goto again
#endif
	:: WITH_ID -> goto lookup
	:: answer_caller(UNKNOWN, 0); goto done
	fi;

refused: /* on_refused(): the database did not execute this call */
	if
#ifdef NOT_RUN_IN_DOUBT
	:: answer_caller(NOT_RUN, 0); goto done
#else
	:: !maybe_ran -> answer_caller(NOT_RUN, since_term); goto done
#endif
	:: (!maybe_ran || WITH_ID) && calls < CALLS -> goto again
	:: maybe_ran -> goto in_doubt
	fi;

lookup:	/* idem_resolve() */
	atomic { refresh_view() };
	if
	:: atomic { db[leader[view]].primary == view &&
	     db[leader[view]].fence == view ->
		if
		:: db[leader[view]].runs > 0 -> goto confirm
#ifdef NOT_FOUND_IS_NOT_RUN
		:: db[leader[view]].runs == 0 ->
#else
#ifdef UNSETTLED
		:: db[leader[view]].runs == 0 && view > highest_sent ->
#else
		:: db[leader[view]].runs == 0 && view > highest_sent && SETTLED(view) ->
#endif
#endif
			answer_caller(NOT_RUN, view); goto done
		:: else -> answer_caller(UNKNOWN, 0); goto done
		fi }
	:: answer_caller(UNKNOWN, 0); goto done
	fi;

confirm: /* write_quorum_check() */
#ifdef DONE_UNCONFIRMED
	atomic { answer_caller(DONE, view); goto done };
#endif
	if
	:: atomic { CONFIRMED(view) -> answer_caller(DONE, view); goto done }
	:: atomic { view < newest_term -> view = newest_term; goto confirm }
#ifdef LOST_UNSETTLED
	:: atomic { view > highest_sent && db[leader[view]].primary == view &&
	     db[leader[view]].runs == 0 -> goto run_lost }
#else
	:: atomic { view > highest_sent && LOST(view) -> goto run_lost }
#endif
	:: answer_caller(UNKNOWN, 0); goto done
	fi;

run_lost:	/* on_lost(): the request ran, but no later log contains that run */
	since_term = view;
	if
	:: !maybe_ran -> answer_caller(NOT_RUN, since_term); goto done
	:: calls < CALLS && (WITH_ID || !maybe_ran) -> goto again
	:: answer_caller(UNKNOWN, 0); goto done
	fi;
done:	skip;
	d_step { view = 0; calls = 0; highest_sent = 0; maybe_ran = false; since_term = 0;
	awaited_call[me] = CALLS }
}

/* A call reaches its database: executed, replayed by its id, or refused. */
inline deliver(c) {
	d_step {
		i = sent[c].db_index;
		if
		:: db[i].primary == sent[c].term &&
		   db[i].fence == sent[c].term ->
			if
#ifdef NEW_ID
			:: true ->
#else
			:: !WITH_ID || db[i].runs == 0 ->
#endif
				db[i].runs++;
				db[i].by = (c) / CALLS + 1;
				check(i)
			:: else
			fi;
			if
			:: awaited_call[(c) / CALLS] == (c) % CALLS ->
				vms[(c) / CALLS].reply = DONE
			:: else
			fi
		:: else ->
			if
			:: awaited_call[(c) / CALLS] == (c) % CALLS ->
				vms[(c) / CALLS].reply = REFUSED
			:: else
			fi
		fi;
		sent[c].term = 0;
		i = 0
	}
}

#define FURTHER(a, b) (db[a].last > db[b].last || \
	(db[a].last == db[b].last && db[a].runs > db[b].runs))
#define CAN_PROMOTE (newest_term + 1 < TERMS)

/* Fences databases a and b in a new term and promotes a. */
inline promote(a, b) {
	d_step {
		newest_term++;
		db[a].fence = newest_term;
		db[b].fence = newest_term;
		db[b].primary = 0;
		db[a].primary = newest_term;
		db[a].last = newest_term;
		leader[newest_term] = a;
		check(a)
	}
}

/* Replication from the newest primary, which the database follows if needed. */
#define IS_BEHIND(x) (leader[newest_term] != x && db[x].fence <= newest_term && \
	db[leader[newest_term]].primary == newest_term && \
	(db[x].fence < newest_term || db[x].last < newest_term || \
	 db[x].runs != db[leader[newest_term]].runs))
/* Replication in an older term, whose primary is partitioned. */
#define IS_BEHIND_OLD(x) (db[x].primary == 0 && db[x].fence < newest_term && \
	db[leader[db[x].fence]].primary == db[x].fence && \
	db[leader[db[x].fence]].fence == db[x].fence && \
	(db[x].last < db[x].fence || db[x].runs != db[leader[db[x].fence]].runs))
inline replicate(x, t) {
	d_step {
		db[x].fence = t;
		db[x].primary = 0;
		db[x].last = t;
		db[x].runs = db[leader[t]].runs;
		db[x].by = db[leader[t]].by
	}
}

proctype network() {
	byte i, k;

	do
	:: atomic { sent[0].term -> deliver(0) }
#if VMS * CALLS > 1
	:: atomic { sent[1].term -> deliver(1) }
#endif
#if VMS * CALLS > 2
	:: atomic { sent[2].term -> deliver(2) }
#endif
#if VMS * CALLS > 3
	:: atomic { sent[3].term -> deliver(3) }
#endif
	:: atomic { CAN_PROMOTE && !FURTHER(1, 0) -> promote(0, 1) }
	:: atomic { CAN_PROMOTE && !FURTHER(2, 0) -> promote(0, 2) }
	:: atomic { CAN_PROMOTE && !FURTHER(0, 1) -> promote(1, 0) }
	:: atomic { CAN_PROMOTE && !FURTHER(2, 1) -> promote(1, 2) }
	:: atomic { CAN_PROMOTE && !FURTHER(0, 2) -> promote(2, 0) }
	:: atomic { CAN_PROMOTE && !FURTHER(1, 2) -> promote(2, 1) }
	:: atomic { IS_BEHIND(0) -> replicate(0, newest_term) }
	:: atomic { IS_BEHIND(1) -> replicate(1, newest_term) }
	:: atomic { IS_BEHIND(2) -> replicate(2, newest_term) }
	:: atomic { IS_BEHIND_OLD(0) -> replicate(0, db[0].fence) }
	:: atomic { IS_BEHIND_OLD(1) -> replicate(1, db[1].fence) }
	:: atomic { IS_BEHIND_OLD(2) -> replicate(2, db[2].fence) }
	od
}

init {
	d_step {
		db[0].fence = 1; db[0].last = 1; db[0].primary = 1;
		db[1].fence = 1; db[1].last = 1;
		db[2].fence = 1; db[2].last = 1;
		leader[1] = 0;
		awaited_call[0] = CALLS;
#if VMS > 1
		awaited_call[1] = CALLS;
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
