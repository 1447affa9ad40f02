#ifndef DECIDE_QUEUE_WAIT_H
#define DECIDE_QUEUE_WAIT_H

#include "decide/types.h"

/*
 * Prediction of the time that a statement waits for one of a database's slots,
 * for overload: more statements arrive than the database executes, so that the
 * queue grows until all of them time out. A statement that can't end before its
 * deadline is refused when it arrives; those that are queued still can.
 */

/* The queue of one database, as its owner sees it. */
struct queue_wait {
	uint32_t slots;	  /* statements that it executes at once */
	uint32_t running; /* statements that it executes now */
	uint32_t ahead;	  /* statements queued that go first */
	usec_t service;	  /* average time that it executes a statement */
};

/* Returns the expected wait until the statement starts. */
usec_t queue_wait_predict(const struct queue_wait *q);
/* True if the statement has to wait and is not expected to end within "left".
 */
bool queue_wait_is_too_long(const struct queue_wait *q, usec_t left);

#endif
