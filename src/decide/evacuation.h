#ifndef DECIDE_EVACUATION_H
#define DECIDE_EVACUATION_H

#include "decide/types.h"

/*
 * What becomes of statements and transactions while a failure domain is
 * evacuated: none of its databases may get a new statement. Reads go to other
 * databases. A statement that only the primary can run waits until the primary
 * was handed over to another database, or is refused at once if that can't be
 * expected.
 */

/* Longest duration of a hand-over. */
#define EVACUATION_HAND_OVER_MAX_US (3 * USEC_PER_SEC)
/* Time after which a refused caller is told to try again. */
#define EVACUATION_RETRY_US (1 * USEC_PER_SEC)
/*
 * A transaction that is open at an evacuated database goes on for this fraction
 * of the time within which statements have to stop. The rest is for the news to
 * reach all VMs, and for statements under way to end.
 */
#define EVACUATION_TRANSACTION_DIVISOR 4

enum evacuation_verdict {
	EVACUATION_PROCEED,
	EVACUATION_ELSEWHERE, /* choose a database outside */
	EVACUATION_WAIT,      /* for the hand-over */
	EVACUATION_REFUSE,    /* as not run */
};

/* A statement, and what is known of the databases that it may run at. */
struct evacuation_view {
	usec_t now;
	/* the primary's domain is evacuated, known since then; 0: it is not */
	usec_t primary_since;
	bool needs_primary; /* only the primary can run it */
	bool any_inside;    /* a database is in an evacuated domain */
	/* a database outside evacuated domains serves or could lead */
	bool any_outside;
	bool store_answers; /* some VM of the fleet, as far as known */
};

enum evacuation_verdict
evacuation_check_statement(const struct evacuation_view *v);
/*
 * Returns true if a transaction that is open at a database has to end. "since"
 * is when its evacuation became known, 0 if it is not evacuated; "limit" the
 * time within which no statement may reach it any more.
 */
bool evacuation_ends_transaction(usec_t since, usec_t limit, usec_t now);

#endif
