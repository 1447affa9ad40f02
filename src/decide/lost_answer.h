#ifndef DECIDE_LOST_ANSWER_H
#define DECIDE_LOST_ANSWER_H

#include "decide/types.h"

/*
 * Whether the answer of a database to a request is probably lost: it takes much
 * longer than is usual, and the database has answered one on another connection
 * that was sent later. The answer itself may be lost, or the connection may
 * have fallen silent. The database is done with the request then, so it no
 * longer counts for the slots: with few slots, some lost answers would else
 * stop all that waits for that database. A database that answers nobody is
 * dealt with as a whole, and a slow one has a longer usual time.
 */

/* What would be given up with the connection. */
enum lost_answer_kind {
	LOST_ANSWER_ABANDONED, /* nothing: nobody waits for the answer */
	LOST_ANSWER_READ,      /* a read, or a statement that was not sent */
	LOST_ANSWER_ROLLBACK,  /* a transaction, of which nothing is kept */
	LOST_ANSWER_WRITE      /* a write or commit, whose outcome is unknown */
};

struct lost_answer_view {
	enum lost_answer_kind kind;
	usec_t began_at; /* of the statement that waits */
	usec_t deadline;
	usec_t sent_at;	  /* of the oldest request without an answer */
	usec_t latency;	  /* moving average of the database's answers */
	usec_t deviation; /* mean deviation from that average */
	/* when the newest statement was sent that was answered; 0: none */
	usec_t answered_sent_at;
};

enum lost_answer_action {
	LOST_ANSWER_WAIT,
	LOST_ANSWER_FREE_SLOT, /* wait, but count its slot as free */
	LOST_ANSWER_CLOSE      /* close the connection */
};

/*
 * A request is not overdue before the average and this many mean deviations,
 * nor before a time in which a process or a link may pause.
 */
#define LOST_ANSWER_DEVIATIONS 8
#define LOST_ANSWER_MIN_US     (100 * USEC_PER_MSEC)
/* A read is made again, or a transaction ended, after this many such times. */
#define LOST_ANSWER_CLOSE_LIMITS 3
/*
 * A transaction ends only after this part of the time that its statement may
 * take: repeated, a long one would be ended again and again.
 */
#define LOST_ANSWER_ROLLBACK_DIVISOR 2

enum lost_answer_action lost_answer_check(const struct lost_answer_view *v,
					  usec_t now);

#endif
