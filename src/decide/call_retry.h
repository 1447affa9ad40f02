#ifndef DECIDE_CALL_RETRY_H
#define DECIDE_CALL_RETRY_H

#include "decide/types.h"

/*
 * Decides when a call to the platform's store counts as overdue and what is
 * done with it. A connection may fall silent without a reset while new ones
 * work, so a call that is overdue is continued on a new connection. A store
 * that is merely slow must not get a second call for each: the limit follows
 * the time that answers take, and no call is repeated while a repeated one is
 * overdue, too.
 */

/* A call is never overdue before the first time, and at the latest after the
 * second one. */
#define CALL_RETRY_OVERDUE_MIN_US (250 * USEC_PER_MSEC)
#define CALL_RETRY_OVERDUE_MAX_US (750 * USEC_PER_MSEC)

struct call_retry {
	usec_t took;	 /* of recent answers, the longest; older ones fade */
	bool is_no_help; /* a call on a new connection was slow, too */
};

/* What may be done with a call that is overdue. */
enum call_retry_kind {
	CALL_RETRY_NEVER,     /* it waits for its time-out */
	CALL_RETRY_REPEAT,    /* a read: made again on a new connection */
	CALL_RETRY_READ_BACK, /* a conditional write: its object is read first
			       */
};

enum call_retry_act {
	CALL_RETRY_ACT_WAIT,
	CALL_RETRY_ACT_REPEAT,
	CALL_RETRY_ACT_GIVE_UP, /* its submitter reads the object back */
};

/* Returns the time after which a call in progress counts as overdue. */
usec_t call_retry_limit(const struct call_retry *r);
/*
 * Takes note of an answer that arrived after "took"; "is_repeat": on the second
 * connection of its call.
 */
void call_retry_answered(struct call_retry *r, usec_t took, bool is_repeat);
/* Decides on a call that is overdue; "is_repeat": on its second connection. */
enum call_retry_act call_retry_on_overdue(struct call_retry *r,
					  enum call_retry_kind kind,
					  bool is_repeat);

/* The object of a conditional write, as read back on a new connection. */
struct call_retry_object {
	bool is_ours;	   /* it is what the write would have made */
	uint64_t revision; /* 0: there is none */
};

enum call_retry_verdict {
	CALL_RETRY_DONE,	/* the write has taken effect */
	CALL_RETRY_WRITE_AGAIN, /* under the same condition */
	CALL_RETRY_FAILED,	/* another write has taken effect */
};

/* "condition" is the revision that the write was to replace; 0: none. */
enum call_retry_verdict
call_retry_read_back(const struct call_retry_object *found, uint64_t condition);

#endif
