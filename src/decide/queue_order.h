#ifndef DECIDE_QUEUE_ORDER_H
#define DECIDE_QUEUE_ORDER_H

#include "decide/types.h"

/*
 * The order in which statements that wait for a database's slots are started,
 * for overload: a primary with the reads of replicas that lag, or a burst. By
 * age alone all of them would be late. The order makes as many of them as
 * possible meet their targets, and leaves the rest of the time to the others.
 */
struct queue_order {
	/* it has begun a transaction, which occupies a connection */
	bool is_in_tx;
	uint32_t priority; /* of its route; 0 goes first */
	/* of its route, for the whole operation; 0: none */
	uint32_t latency_target_ms;
	/* of the operation, as far as is known; of the statement in a
	 * transaction, as callers pause in those */
	usec_t began_at;
};

/*
 * Time between a VM and its caller that counts for the target as well: about
 * two round trips.
 */
#define QUEUE_ORDER_CALLER_US (10 * USEC_PER_MSEC)

/* Returns true if it can still meet its target; "work" is what it takes. */
bool queue_order_is_on_time(const struct queue_order *q, usec_t work,
			    usec_t now);
/* Returns true if "a" is started before "b", of those that are on time or of
 * the others. */
bool queue_order_goes_before(const struct queue_order *a,
			     const struct queue_order *b);

#endif
