/*
 * Models how the VMs of the form "sessions" claim the replacement of a group's
 * primary at a store that may be restored from an older copy. spec/lease.pml
 * models the guard and the proofs; docs/design/platform.md describes both.
 *
 * The store keeps a claim object of each era. A write names the object's
 * revision (0: none) as condition. Revisions rise over the whole store, fall
 * back when it is restored, and are then given out again; each restoration
 * begins an era, and each reply tells the era. The copy is of any earlier point.
 *
 * Any step may be delayed or omitted, as none is forced. The reply to a write
 * may be lost, which counts as a failure; a write whose sender gave up may be
 * executed later. A VM may restart at any point: it gives up its attempt, and
 * forgets the era and what it had seen of claims, but what it had sent goes on.
 *
 * Time is abstracted: "pending" holds the VMs whose claim is marked, from the
 * execution of the mark to the effect of the promotion, or to the point from
 * which it can't take effect any more. A wait of PROMOTION_MAX_US that starts now
 * ends when none of the promotions that are pending now is pending any more.
 *
 * Assumed: a promotion takes effect within PROMOTION_MAX_US of its mark or
 * never, and is called once for a mark. The fence of a VM that does not know the
 * newest term fails, since the newest primary can't be paused, unless that
 * database is lost and has left the list of databases (spec/lease.pml models the
 * fence).
 *
 * Proved: at most one claim is marked for a promotion that may still take
 * effect; the tokens of promotions, in the order in which these take effect,
 * rise; a closed record that a claim replaces is of the newest term.
 */
/* mutants: TOKEN_REVISION CLAIM_SHARED NO_SETTLE REPLY_OF_ERA SINCE_RESTART OVER_CLOSED OVER_MARKED TERM_UNSURE REPEAT_CALL */
/* spin: -DFIRST=1 -DSECOND=1 -DRESTORES=2 -DRESTARTS=1 -DLATE=2 -DLOSSES=1 */
/* spin: -DFIRST=2 -DSECOND=1 -DRESTORES=1 -DRESTARTS=0 -DLATE=1 -DLOSSES=0 */
/* spin: -DFIRST=2 -DSECOND=2 -DRESTORES=0 -DRESTARTS=0 -DLATE=1 -DLOSSES=1 */
#define VMS	2
#define ERAS	(RESTORES + 1)
#define BIT(i)	(1 << (i))
#define NO_ERA	15

typedef record {
	byte revision;	/* 0: there is no record */
	bool promotes;	/* marked: a promotion may be in progress */
	bool closed;	/* the primary of "term" is confirmed */
	bool sure;	/* "term" was the newest one when this was claimed */
	byte term;	/* closed: the newest term; else the one to be ended */
}
record object[ERAS];
byte revision;		/* the newest of the store */
byte era;
record copy[ERAS];	/* of the store at an earlier point */
byte copy_revision;
byte copies;

record late[VMS];	/* write of a VM that gave up; revision 0: none */
byte late_revision[VMS]; /* its condition */
byte late_era[VMS];	/* its object */
#define HAS_LATE(v) (late[v].revision)

byte known_era[VMS];	/* NO_ERA: none since the VM started */
byte settles[VMS];	/* pending VMs that the era at this VM waits for */
byte seen[VMS];		/* revision of the record that was seen last */
byte seen_pending[VMS];	/* VMs pending since its first sight */
byte known_term[VMS];
byte pending;		/* VMs whose promotion may still take effect */
bool called[VMS];	/* promotion is under way */
byte token[VMS];
byte effect[VMS];	/* term that the VM's promotion began; 0: none */
byte term = 1;		/* newest of the databases */
bool is_lost;		/* the newest primary is lost, and in no list */
byte last_token;
byte losses, restarts, n_late;

#ifdef CLAIM_SHARED
#define OBJECT(e) object[0]
#else
#define OBJECT(e) object[e]
#endif
/* store_position_token() */
#ifdef TOKEN_REVISION
#define TOKEN(e, r) (r)
#else
#define TOKEN(e, r) ((e) * 32 + (r))
#endif

inline set_record(r, number, mark, confirms, newest, of_term) {
	r.revision = number;
	r.promotes = mark;
	r.closed = confirms;
	r.sure = newest;
	r.term = of_term
}

inline copy_record(to, from) {
	set_record(to, from.revision, from.promotes, from.closed, from.sure,
	    from.term)
}

inline clear_record(r) {
	set_record(r, 0, 0, 0, 0, 0)
}

/* The VM's promotion has taken effect, or can't any more. */
inline end_pending(v) {
	pending = pending & ~BIT(v);
	settles[0] = settles[0] & ~BIT(v);
	settles[1] = settles[1] & ~BIT(v);
	seen_pending[0] = seen_pending[0] & ~BIT(v);
	seen_pending[1] = seen_pending[1] & ~BIT(v)
}

/* store_era_note(): the time is that of the reply, not of the request. */
inline note_era(v) {
	if
	:: known_era[v] != era ->
#ifdef SINCE_RESTART
		if
		:: known_era[v] == NO_ERA /* counted from the restart */
		:: else -> settles[v] = pending
		fi;
#else
		settles[v] = pending;
#endif
		known_era[v] = era;
		seen[v] = 0;
		seen_pending[v] = 0
	:: else
	fi
}

/* A reply counts if it is of the claim's era: handle_reply(). */
#ifdef REPLY_OF_ERA
#define REPLY_COUNTS(e) true
#else
#define REPLY_COUNTS(e) ((e) == era)
#endif
/* store_era_is_settled(), asked if the era has no record */
#ifdef NO_SETTLE
#define ERA_IS_SETTLED(v) true
#else
#define ERA_IS_SETTLED(v) (settles[v] == 0)
#endif
/*
 * The guards of promotion_claim_check() for a record "r". A later term shows
 * that a promotion is over only if the term that it ends was the newest one.
 */
#ifdef OVER_MARKED
#define IS_OVER(v, r) true
#else
#ifdef TERM_UNSURE
#define IS_OVER(v, r) (!r.promotes || known_term[v] > r.term || \
	seen_pending[v] == 0)
#else
#define IS_OVER(v, r) (!r.promotes || (r.sure && known_term[v] > r.term) || \
	seen_pending[v] == 0)
#endif
#endif
#ifdef OVER_CLOSED
#define KNOWS_CLOSED(v, r) true
#else
#define KNOWS_CLOSED(v, r) (!r.closed || r.term <= known_term[v])
#endif
#define MAY_REPLACE(v, r) ((r.revision != 0 || ERA_IS_SETTLED(v)) && \
	IS_OVER(v, r) && KNOWS_CLOSED(v, r))

/* Executes a write at the store if its condition holds. */
inline execute(in_era, mark, confirms, newest, of_term) {
	revision++;
	OBJECT(in_era).revision = revision;
	OBJECT(in_era).promotes = mark;
	OBJECT(in_era).closed = confirms;
	OBJECT(in_era).sure = newest;
	OBJECT(in_era).term = of_term
}

/* Leaves the write to be executed later, in place of an earlier such one. */
inline leave_late(mark, confirms, newest) {
	n_late++;
	set_record(late[me], 1, mark, confirms, newest, known_term[me]);
	late_revision[me] = held;
	late_era[me] = at_era
}

inline read_claim() {
	note_era(me);
	if
	:: !REPLY_COUNTS(at_era) -> at_era = NO_ERA
	:: else ->
		if
		:: seen[me] != OBJECT(at_era).revision ->
			seen[me] = OBJECT(at_era).revision;
			seen_pending[me] = pending
		:: else
		fi;
		if
		:: MAY_REPLACE(me, OBJECT(at_era)) ->
			held = OBJECT(at_era).revision;
			sure = OBJECT(at_era).closed
		:: else -> at_era = NO_ERA
		fi
	fi
}

/*
 * One VM that may replace the primary. While it acts it learns no term: if it
 * hears of a later one, its attempt ends (failover_fsm_superseded()).
 */
proctype vm(byte me; byte attempts) {
	byte held;
	byte at_era = NO_ERA; /* of the claim; NO_ERA: the attempt ended */
	bool sure;

idle:
	atomic {
		held = 0;
		at_era = NO_ERA;
		sure = false;
		effect[me] = 0
	};
	do
	:: d_step { known_era[me] != era -> note_era(me) }
	:: d_step { known_era[me] != NO_ERA &&
		known_era[me] == known_era[1 - me] && /* a peer's age counts */
		(settles[me] & ~settles[1 - me]) ->
		settles[me] = settles[me] & settles[1 - me] }
	:: d_step { known_term[me] < term -> known_term[me] = term }
	:: d_step { restarts < RESTARTS && known_era[me] != NO_ERA ->
		restarts++;
		known_era[me] = NO_ERA;
		settles[me] = 0;
		seen[me] = 0;
		seen_pending[me] = 0 }
	/* Reads the claim: registry_claim_promotion(). */
	:: d_step { attempts && known_era[me] != NO_ERA ->
		at_era = known_era[me];
		read_claim();
		if
		:: at_era != NO_ERA -> attempts--
		:: else
		fi };
		if
		:: at_era != NO_ERA -> break
		:: else
		fi
	od;

	/* Claims: replace_claim(). */
	if
	:: d_step { OBJECT(at_era).revision == held ->
		assert(!REPLY_COUNTS(at_era) || !sure ||
		    OBJECT(at_era).term == term);
		execute(at_era, false, false, sure, known_term[me]);
		held = revision;
		note_era(me) };
		if
		:: REPLY_COUNTS(at_era)
		:: true -> goto idle /* the reply is lost, or the VM gives up */
		fi
	:: d_step { n_late < LATE ->
		leave_late(false, false, sure) };
		goto idle
	:: goto idle
	fi;

	/* Fences the group: fence_group(); waits for the guard. */
	if
	:: known_term[me] == term || is_lost
	:: true -> goto idle
	fi;

	/* Marks the claim: registry_mark_promoting(). */
	if
	:: d_step { OBJECT(at_era).revision == held ->
		execute(at_era, true, false, sure, known_term[me]);
		held = revision;
		if
		:: REPLY_COUNTS(at_era) ->
			assert(pending == 0);
			pending = pending | BIT(me)
		:: else
		fi;
		note_era(me) };
		if
		:: pending & BIT(me)
		:: !(pending & BIT(me)) -> goto idle
		fi
	:: d_step { OBJECT(at_era).revision == held ->
		execute(at_era, true, false, sure, known_term[me]);
		note_era(me) }; /* the reply is lost */
		goto idle
	:: d_step { n_late < LATE ->
		leave_late(true, false, sure) };
		goto idle
	:: goto idle
	fi;

	/* Promotes: registry_promote(). */
	if
	:: d_step { true ->
		called[me] = true;
		effect[me] = 0;
		token[me] = TOKEN(at_era, held) }
	:: d_step { true -> end_pending(me) }; goto idle
	fi;
	if
	:: d_step { effect[me] -> known_term[me] = effect[me] }
#ifdef REPEAT_CALL
	/* The reply is lost; marks again and calls again. */
	:: d_step { OBJECT(at_era).revision == held && at_era == era ->
		execute(at_era, true, false, sure, known_term[me]);
		held = revision;
		assert(pending == 0) }
#endif
	:: goto idle
	fi;

	/* Closes the record. */
	if
	:: d_step { OBJECT(at_era).revision == held ->
		execute(at_era, false, true, false, known_term[me]) }
	:: d_step { n_late < LATE -> leave_late(false, true, false) }
	:: true
	fi;
	goto idle
}

/* Executes a write whose sender gave up. */
inline do_late(v) {
	if
	:: OBJECT(late_era[v]).revision == late_revision[v] ->
		execute(late_era[v], late[v].promotes,
		    late[v].closed, late[v].sure, late[v].term)
	:: else
	fi;
	clear_record(late[v]);
	late_revision[v] = 0;
	late_era[v] = 0
}

/* The promotion takes effect. */
inline do_promote(v) {
	assert(token[v] > last_token);
	last_token = token[v];
	token[v] = 0;
	called[v] = false;
	end_pending(v);
	term++;
	effect[v] = term;
	is_lost = false
}

inline save_copy() {
	copies++;
	copy_revision = revision;
	k = 0;
	do
	:: k < ERAS -> copy_record(copy[k], object[k]); k++
	:: else -> break
	od;
	k = 0
}

inline restore() {
	era++;
	revision = copy_revision;
	k = 0;
	do
	:: k < ERAS ->
		copy_record(object[k], copy[k]);
		if
		:: era == RESTORES -> clear_record(copy[k]) /* not needed */
		:: else
		fi;
		k++
	:: else -> break
	od;
	if
	:: era == RESTORES -> copy_revision = 0; copies = 0
	:: else
	fi;
	k = 0
}

/* The store, what is under way, and the databases. */
proctype platform() {
	byte k;

	do
	:: d_step { HAS_LATE(0) -> do_late(0) }
	:: d_step { HAS_LATE(1) -> do_late(1) }
	:: d_step { called[0] -> do_promote(0) }
	:: d_step { called[1] -> do_promote(1) }
	:: d_step { called[0] -> called[0] = false; token[0] = 0; end_pending(0) }
	:: d_step { called[1] -> called[1] = false; token[1] = 0; end_pending(1) }
	:: d_step { copies <= era && era < RESTORES -> save_copy() }
	:: d_step { era < RESTORES -> restore() }
	:: d_step { losses < LOSSES && term > 1 && !is_lost ->
		losses++;
		is_lost = true }
	od
}

init {
	d_step {
		known_term[0] = 1;
		known_term[1] = 1
	};
	atomic {
		run vm(0, FIRST);
		run vm(1, SECOND);
		run platform()
	}
}
